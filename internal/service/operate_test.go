package service

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/benchmarks"
	"silverpath/internal/transport/msgpackrpc"
)

// An operator's drain: health is bad at once, all that comes is served, the end of it makes health good, and the drain
// of SIGTERM can't be undone.
func TestEvacuate(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	cfg := config(vm)
	cfg.Admin = "127.0.0.1:0"
	s, err := New(cfg, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	s.drainDelay = 300 * time.Millisecond
	leave, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(leave) }()
	ops, platform := s.admin.Addr().String(), s.Addrs()[0]
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if code, _ := benchmarks.Call(ops, "GET /api/ready"); code == 200 {
			break
		} else if time.Now().After(deadline) {
			t.Fatal("not ready")
		}
	}
	healthy := func() bool {
		p := dial(t, platform, msgpackrpc.AppendProbe(nil, 1))
		defer p.Close()
		r, err := msgpackrpc.ReadReply(p.r)
		if err != nil {
			t.Fatal(err)
		}
		return r.Healthy
	}
	served := func(id string) {
		t.Helper()
		p := dial(t, platform, msgpackrpc.AppendRequest(nil, 1, "krog", []byte("x"), "i", id,
			"s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "30000", "m", "1"))
		defer p.Close()
		if r, err := msgpackrpc.ReadReply(p.r); err != nil || string(r.Body) != "X" {
			t.Fatalf("%s: %+v, %v", id, r, err)
		}
	}
	for i, c := range []struct {
		call    string
		code    int
		healthy bool
	}{
		{"POST /api/rejoin", 200, true}, {"POST /api/evacuate", 200, false}, {"POST /api/evacuate", 200, false},
		{"GET /api/ready", 503, false}, {"POST /api/rejoin", 200, true}, {"GET /api/ready", 200, true},
		{"POST /api/evacuate", 200, false},
	} {
		if code, why := benchmarks.Call(ops, c.call); code != c.code || why == "" || healthy() != c.healthy {
			t.Errorf("%s: %d %q, healthy %v", c.call, code, why, healthy())
		}
		served(fmt.Sprint(i, c.call))
	}
	close(leave)
	for s.core.Phase().String() != "draining" {
		time.Sleep(time.Millisecond)
	}
	for _, c := range []struct {
		call string
		code int
	}{{"POST /api/rejoin", 409}, {"POST /api/evacuate", 200}, {"GET /api/ready", 503}} {
		if code, why := benchmarks.Call(ops, c.call); code != c.code || why == "" || healthy() {
			t.Errorf("leaving, %s: %d %q", c.call, code, why)
		}
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Fifty operators that never finish keep one that does from nothing, while clients saturate the service.
func TestAdminUnderClientFlood(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	cfg := config(vm)
	cfg.Admin, cfg.Descriptors = "127.0.0.1:0", 512
	s, err := New(cfg, log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	s.drainDelay = 0
	leave, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(leave) }()
	over := make(chan struct{})
	var flood sync.WaitGroup
	for c := range 40 {
		flood.Add(1)
		go func() {
			defer flood.Done()
			conn, err := net.Dial("tcp", s.Addrs()[0].String())
			if err != nil {
				return
			}
			defer conn.Close()
			go func() { _, _ = io.Copy(io.Discard, conn) }()
			for n := uint64(1); ; n++ {
				select {
				case <-over:
					return
				default:
				}
				conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
				if _, err := conn.Write(msgpackrpc.AppendRequest(nil, n, "krog", make([]byte, 1024), "i", fmt.Sprint(c, "-", n),
					"s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "1000", "m", "1")); err != nil {
					return
				}
			}
		}()
	}
	for i := range 50 {
		conn, err := net.Dial("tcp", s.admin.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, "POST /api/evacuate HTTP/1.1\r\nContent-Length: 9\r\n\r\n"[:i+1])
	}
	for s.stats.Get("read", "msgpack", "krog") < 2000 {
		time.Sleep(time.Millisecond)
	}
	began := time.Now()
	code, why := benchmarks.Call(s.admin.Addr().String(), "POST /api/evacuate")
	t.Logf("answered after %v", time.Since(began))
	if took := time.Since(began); code != 200 || took > time.Second {
		t.Errorf("%d %q after %v", code, why, took)
	}
	close(over)
	flood.Wait()
	close(leave)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// SIGHUP under load takes up classes that come and go; requests in hand end under the class that they came with, keys
// included. What is no good changes nothing.
func TestReconfigureUnderLoad(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	cfgs, errs := make(chan settings.Config, 8), make(chan error, 8)
	load := func() (settings.Config, error) { return <-cfgs, <-errs }
	signals, out, done := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}, &output{}, make(chan error, 1)
	sheet := silverpath.Class{Name: "oddaja", Objective: 10 * time.Second, Deadline: 30 * time.Second, Weight: 1,
		Effect: silverpath.Idempotent, IdempotencyWindow: 20 * time.Second}
	cfg := config(vm)
	cfg.Server.Classes = append(cfg.Server.Classes, sheet)
	cfg.StopTimeout = 3 * time.Second
	cfgs <- cfg
	errs <- nil
	go func() { done <- Main(load, signals, out, Hooks{}) }()
	addr, err := net.ResolveTCPAddr("tcp", out.await(t, "msgpack: listening on "))
	if err != nil {
		t.Fatal(err)
	}
	out.await(t, "phase serving")
	id := 0
	ask := func(class, key, body string) peer {
		id++
		fields := []string{"i", fmt.Sprint("r", id), "s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "30000", "m", "1"}
		if key != "" {
			fields = append(fields, "k", key)
		}
		return dial(t, addr, msgpackrpc.AppendRequest(nil, 1, class, []byte(body), fields...))
	}
	expect := func(what string, p peer, fault, body string) {
		t.Helper()
		r, err := msgpackrpc.ReadReply(bufio.NewReader(p))
		if err != nil || r.Error != fault || string(r.Body) != body {
			t.Errorf("%s: %+v, %v", what, r, err)
		}
	}
	held, sent := ask("krog", "", "hold1"), ask("oddaja", "k", "hold2")
	expect("before", ask("krog", "", "a"), "", "A")

	next := cfg
	next.Server.Classes = []silverpath.Class{{Name: "krog-next", Objective: time.Second, Deadline: 5 * time.Second, Weight: 1}, sheet}
	next.Server.Classes[1].Name = "oddaja-next"
	cfgs <- next
	errs <- nil
	signals.Others <- syscall.SIGHUP
	out.await(t, "reload: settings: taken up, classes krog-next, oddaja-next")
	expect("the new class", ask("krog-next", "", "b"), "", "B")
	expect("the dropped class", ask("krog", "", "c"), "Full", "")
	again := ask("oddaja-next", "k", "hold2")

	bad := next
	bad.Server.Classes = nil
	for _, b := range []struct {
		cfg settings.Config
		err error
	}{{bad, nil}, {settings.Config{}, errors.New("settings.classes[0].deadline: not a number above 0")}} {
		cfgs <- b.cfg
		errs <- b.err
		signals.Others <- syscall.SIGHUP
	}
	out.await(t, "reload: the old configuration holds: settings.classes[0].deadline: not a number above 0")
	expect("after bad files", ask("krog-next", "", "d"), "", "D")
	release()
	expect("a request of the dropped class", held, "", "HOLD1")
	expect("a sheet of the dropped class", sent, "", "HOLD2")
	expect("its try under the new name", again, "", "HOLD2")
	signals.Shutdown <- syscall.SIGTERM
	for _, p := range []peer{held, sent, again} {
		p.Close()
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	if text := out.text.String(); !strings.Contains(text, "counter reloads.bad 2") || !strings.Contains(text, "counter runs.oddaja.ok 1") ||
		strings.Contains(text, "counter runs.oddaja-next") {
		t.Error(text)
	}
}
