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

// An operator evacuates the server and has it rejoin. The server turns unhealthy at once, still serves every request, and is healthy
// again after the rejoin. A drain that SIGTERM started can't be undone.
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
	shutdown, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(shutdown) }()
	adminAddr, rpcAddr := s.admin.Addr().String(), s.Addrs()[0]
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if code, _ := benchmarks.Call(adminAddr, "GET /api/ready"); code == 200 {
			break
		} else if time.Now().After(deadline) {
			t.Fatal("server did not become ready within 20 s")
		}
	}
	healthy := func() bool {
		p := dial(t, rpcAddr, msgpackrpc.AppendProbe(nil, 1))
		defer p.Close()
		r, err := msgpackrpc.ReadReply(p.r)
		if err != nil {
			t.Fatal(err)
		}
		return r.Healthy
	}
	expectServed := func(id string) {
		t.Helper()
		p := dial(t, rpcAddr, msgpackrpc.AppendRequest(nil, 1, "krog", []byte("x"), "i", id,
			"s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "30000", "m", "1"))
		defer p.Close()
		if r, err := msgpackrpc.ReadReply(p.r); err != nil || string(r.Body) != "X" {
			t.Fatalf("%s: got reply %+v, error %v", id, r, err)
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
		if code, why := benchmarks.Call(adminAddr, c.call); code != c.code || why == "" || healthy() != c.healthy {
			t.Errorf("%s: got status %d, text %q, healthy %v", c.call, code, why, healthy())
		}
		expectServed(fmt.Sprint(i, c.call))
	}
	close(shutdown)
	for s.core.Phase().String() != "draining" {
		time.Sleep(time.Millisecond)
	}
	for _, c := range []struct {
		call string
		code int
	}{{"POST /api/rejoin", 409}, {"POST /api/evacuate", 200}, {"GET /api/ready", 503}} {
		if code, why := benchmarks.Call(adminAddr, c.call); code != c.code || why == "" || healthy() {
			t.Errorf("during the drain, %s: got status %d, text %q", c.call, code, why)
		}
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// 50 operators with unfinished requests must not block an operator's complete request while clients saturate the service.
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
	shutdown, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(shutdown) }()
	floodDone := make(chan struct{})
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
				case <-floodDone:
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
	startedAt := time.Now()
	code, why := benchmarks.Call(s.admin.Addr().String(), "POST /api/evacuate")
	t.Logf("the admin API answered after %v", time.Since(startedAt))
	if took := time.Since(startedAt); code != 200 || took > time.Second {
		t.Errorf("got status %d, text %q after %v; want 200 within 1 s", code, why, took)
	}
	close(floodDone)
	flood.Wait()
	close(shutdown)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// SIGHUP under load adds and removes classes. Requests in progress finish under the class they arrived with, including those with an
// idempotency key. An invalid configuration changes nothing.
func TestReconfigureUnderLoad(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	cfgs, errs := make(chan settings.Config, 8), make(chan error, 8)
	load := func() (settings.Config, error) { return <-cfgs, <-errs }
	signals, out, done := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}, &logBuffer{}, make(chan error, 1)
	keyedClass := silverpath.Class{Name: "oddaja", Objective: 10 * time.Second, Deadline: 30 * time.Second, Weight: 1,
		Effect: silverpath.Idempotent, IdempotencyWindow: 20 * time.Second}
	cfg := config(vm)
	cfg.Server.Classes = append(cfg.Server.Classes, keyedClass)
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
	sendRequest := func(class, key, body string) peer {
		id++
		fields := []string{"i", fmt.Sprint("r", id), "s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "30000", "m", "1"}
		if key != "" {
			fields = append(fields, "k", key)
		}
		return dial(t, addr, msgpackrpc.AppendRequest(nil, 1, class, []byte(body), fields...))
	}
	expect := func(name string, p peer, wantError, wantBody string) {
		t.Helper()
		r, err := msgpackrpc.ReadReply(bufio.NewReader(p))
		if err != nil || r.Error != wantError || string(r.Body) != wantBody {
			t.Errorf("%s: got reply %+v, error %v", name, r, err)
		}
	}
	heldRequest, keyedRequest := sendRequest("krog", "", "hold1"), sendRequest("oddaja", "k", "hold2")
	expect("before the reload", sendRequest("krog", "", "a"), "", "A")

	next := cfg
	next.Server.Classes = []silverpath.Class{{Name: "krog-next", Objective: time.Second, Deadline: 5 * time.Second, Weight: 1}, keyedClass}
	next.Server.Classes[1].Name = "oddaja-next"
	cfgs <- next
	errs <- nil
	signals.Others <- syscall.SIGHUP
	out.await(t, "reload: settings: taken up, classes krog-next, oddaja-next")
	expect("the new class", sendRequest("krog-next", "", "b"), "", "B")
	expect("the dropped class", sendRequest("krog", "", "c"), "Full", "")
	keyedRetry := sendRequest("oddaja-next", "k", "hold2")

	bad := next
	bad.Server.Classes = nil
	for _, invalid := range []struct {
		cfg settings.Config
		err error
	}{{bad, nil}, {settings.Config{}, errors.New("settings.classes[0].deadline: not a number above 0")}} {
		cfgs <- invalid.cfg
		errs <- invalid.err
		signals.Others <- syscall.SIGHUP
	}
	out.await(t, "reload: the old configuration holds: settings.classes[0].deadline: not a number above 0")
	expect("after invalid files", sendRequest("krog-next", "", "d"), "", "D")
	release()
	expect("a request of the dropped class", heldRequest, "", "HOLD1")
	expect("a keyed request of the dropped class", keyedRequest, "", "HOLD2")
	expect("its retry under the new class name", keyedRetry, "", "HOLD2")
	signals.Shutdown <- syscall.SIGTERM
	for _, p := range []peer{heldRequest, keyedRequest, keyedRetry} {
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
