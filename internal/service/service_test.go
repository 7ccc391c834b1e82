package service

import (
	"bufio"
	"bytes"
	"encoding/base64"
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

	"github.com/valyala/fastjson"

	"silverpath"
	"silverpath/internal/policy/admission"
	"silverpath/internal/settings"
	"silverpath/internal/transport/admin"
	"silverpath/internal/transport/msgpackrpc"
	"silverpath/internal/transport/scgi"
)

// startInterpreter starts a stand-in interpreter that answers every run with its body in upper case. Runs whose body starts with
// "hold" are answered only after release is called. The stand-in listens on two addresses and serves one link at a time on each. A
// run starts only once and continues if its link is replaced.
func startInterpreter(t *testing.T) (addr, secondAddr string, release func()) {
	t.Helper()
	released := make(chan struct{})
	var mu sync.Mutex
	var link net.Conn
	runs := 0
	started := map[string]bool{}
	send := func(conn net.Conn, kind, fields string) {
		fmt.Fprintf(conn, `{"type":"%s",%s}`+"\n", kind, fields)
	}
	serve := func(conn net.Conn) {
		for s := bufio.NewScanner(conn); s.Scan(); {
			v := fastjson.MustParse(s.Text())
			job := string(v.GetStringBytes("job"))
			mu.Lock()
			switch string(v.GetStringBytes("type")) {
			case "CONNECT":
				link = conn
				send(conn, "BANNER", `"state":"LOADED","took":1`)
			case "TOP":
				send(conn, "TOPS", `"ref":"`+string(v.GetStringBytes("ref"))+`","gauges":[0,0,0,0]`)
			case "APPLY":
				if started[job] {
					break
				}
				started[job] = true
				body, _ := base64.StdEncoding.DecodeString(string(v.GetStringBytes("data")))
				go func() {
					if strings.HasPrefix(string(body), "hold") {
						<-released
					}
					mu.Lock()
					defer mu.Unlock()
					runs++
					send(link, "VALUE", fmt.Sprintf(`"n":%d,"job":"%s","state":"PASS","took":1,"data":"%s"`,
						runs, job, base64.StdEncoding.EncodeToString(bytes.ToUpper(body))))
				}()
			}
			mu.Unlock()
		}
	}
	var addrs []string
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		addrs = append(addrs, ln.Addr().String())
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				serve(conn)
				conn.Close()
			}
		}()
	}
	return addrs[0], addrs[1], sync.OnceFunc(func() { close(released) })
}

// config returns the configuration of a server with both fronts on loopback addresses and the interpreter at vm.
func config(vm string) settings.Config {
	return settings.Config{
		Name: "n1", Listen: "127.0.0.1:0", Interpreter: vm, StopTimeout: 20 * time.Second, MemoryMB: 64, Descriptors: 128,
		Gauges: []string{"core_use", "on_cores", "heap_share", "links"},
		SCGI:   settings.SCGI{Listen: "127.0.0.1:0", MaxBody: 64, RequestKB: 1},
		Server: silverpath.Settings{
			Cores: 2, MemoryKB: 10000, MaxRunsPerCore: 8, RunsWindow: time.Second, DrainGrace: 15 * time.Second,
			Classes: []silverpath.Class{{Name: "krog", Objective: 10 * time.Second, Deadline: 30 * time.Second, Weight: 1}},
		},
	}
}

// peer is a client connection of a test.
type peer struct {
	net.Conn
	r *bufio.Reader
}

// dial connects to addr and sends raw.
func dial(t *testing.T, addr net.Addr, raw []byte) peer {
	t.Helper()
	conn, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := conn.Write(raw); err != nil {
		t.Fatal(err)
	}
	return peer{conn, bufio.NewReader(conn)}
}

// Serves on both fronts over loopback sockets and then drains: load balancers are notified, requests that were read are answered,
// new connections are refused, and the process ends well before it would be stopped.
func TestServeAndDrain(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	s, err := New(config(vm), log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	if s.drainDelay != 10*time.Second {
		t.Fatalf("drainDelay is %v, want half of the stop timeout", s.drainDelay)
	}
	s.drainDelay = 500 * time.Millisecond
	shutdown, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(shutdown) }()
	rpcAddr, scgiAddr := s.Addrs()[0], s.Addrs()[1]

	now := time.Now().UnixMilli()
	call := func(id uint64, name, body string) []byte {
		return msgpackrpc.AppendRequest(nil, id, "krog", []byte(body), "i", name, "s", strconv.FormatInt(now, 10), "d", "30000", "m", "1")
	}
	rpcConn := dial(t, rpcAddr, append(append(msgpackrpc.AppendProbe(nil, 1), call(2, "a1", "fast")...), call(3, "a2", "hold")...))
	if r, err := msgpackrpc.ReadReply(rpcConn.r); err != nil || !r.Healthy {
		t.Fatalf("probe: got reply %+v, error %v", r, err)
	}
	if r, err := msgpackrpc.ReadReply(rpcConn.r); err != nil || r.ID != 2 || string(r.Body) != "FAST" {
		t.Fatalf("request: got reply %+v, error %v", r, err)
	}
	scgiConn := dial(t, scgiAddr, scgi.AppendRequest(nil, []byte("web"), "PATH_INFO", "/krog"))
	if r, err := scgi.ReadReply(scgiConn.r); err != nil || r.Status != 200 || string(r.Body) != "WEB" {
		t.Fatalf("SCGI request: got reply %+v, error %v", r, err)
	}

	lateConn := dial(t, scgiAddr, nil) // connects before the shutdown signal and sends its request after it
	for s.connections() < 3 {
		time.Sleep(time.Millisecond)
	}
	close(shutdown)
	shutdownAt := time.Now()
	newConn := dial(t, rpcAddr, nil) // callers are not notified yet, so their requests are served
	if _, err := newConn.Write(call(1, "a3", "more")); err != nil {
		t.Fatal(err)
	}
	if r, err := msgpackrpc.ReadReply(newConn.r); err != nil || r.ID != 1 || string(r.Body) != "MORE" {
		t.Fatalf("request on a new connection after the shutdown signal: got reply %+v, error %v", r, err)
	}
	newConn.Close()
	if r, err := msgpackrpc.ReadReply(rpcConn.r); err != nil || r.Notification != "lastCall" {
		t.Fatalf("drain notification: got reply %+v, error %v", r, err)
	}
	if d := time.Since(shutdownAt); d < s.drainDelay {
		t.Fatalf("peers were asked to leave %v after the shutdown signal, which is too early", d)
	}
	if _, err := lateConn.Write(scgi.AppendRequest(nil, []byte("late"), "PATH_INFO", "/krog")); err != nil {
		t.Fatal(err)
	}
	if r, err := scgi.ReadReply(lateConn.r); err != nil || r.Status != 200 || string(r.Body) != "LATE" {
		t.Fatalf("SCGI request during the drain: got reply %+v, error %v", r, err)
	}
	release()
	if r, err := msgpackrpc.ReadReply(rpcConn.r); err != nil || r.ID != 3 || string(r.Body) != "HOLD" {
		t.Fatalf("request read before the drain: got reply %+v, error %v", r, err)
	}
	for { // the address closes soon after the shutdown signal
		conn, err := net.Dial("tcp", rpcAddr.String())
		if err != nil {
			break
		}
		conn.Close()
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case err := <-done:
		t.Fatalf("Run returned while a load balancer was connected: %v", err)
	default:
	}
	rpcConn.Close()
	scgiConn.Close()
	lateConn.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if n := s.Stats().Get("answered", "msgpack", "krog", "served"); n != 3 {
		t.Errorf("msgpack served %d requests, want 3", n)
	}
	if n := s.Stats().Get("answered", "scgi", "krog", "served"); n != 2 {
		t.Errorf("scgi served %d requests, want 2", n)
	}
}

// logBuffer is a log buffer that tests wait on. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *logBuffer) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// await waits until the log contains text and returns the rest of that line.
func (o *logBuffer) await(t *testing.T, text string) string {
	t.Helper()
	for range 30000 {
		o.mu.Lock()
		_, after, ok := strings.Cut(o.text.String(), text)
		o.mu.Unlock()
		if line, _, whole := strings.Cut(after, "\n"); ok && whole {
			return line
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%q did not appear in the log", text)
	return ""
}

// SIGHUP applies new addresses while requests run, repeatedly and during a drain, and no request is lost. An invalid file leaves
// the configuration unchanged. A field that takes effect only at a start keeps its value.
func TestReload(t *testing.T) {
	vm, secondAddr, release := startInterpreter(t)
	defer release()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	reports, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer reports.Close()
	cfgs := make(chan settings.Config, 8)
	errs := make(chan error, 8)
	load := func() (settings.Config, error) { return <-cfgs, <-errs }
	signals, out, done := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}, &logBuffer{}, make(chan error, 1)
	reload := func(c settings.Config, err error) {
		cfgs <- c
		errs <- err
		signals.Others <- syscall.SIGHUP
	}
	cfg := config(vm)
	cfg.StopTimeout = 6 * time.Second
	cfgs <- cfg
	errs <- nil
	go func() { done <- Main(load, signals, out, Hooks{}) }()
	addr, err := net.ResolveTCPAddr("tcp", out.await(t, "msgpack: listening on "))
	if err != nil {
		t.Fatal(err)
	}
	call := func(id uint64, body string) []byte {
		return msgpackrpc.AppendRequest(nil, id, "krog", []byte(body), "i", body,
			"s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "30000", "m", "1")
	}
	out.await(t, "phase serving")
	conn := dial(t, addr, append(call(1, "hold1"), call(2, "quick1")...))
	expect := func(id uint64, body string) {
		t.Helper()
		for {
			r, err := msgpackrpc.ReadReply(conn.r)
			if err == nil && r.Notification != "" {
				continue
			}
			if err != nil || r.ID != id || string(r.Body) != body {
				t.Fatalf("got reply %+v, error %v; want body %s", r, err, body)
			}
			return
		}
	}
	expect(2, "QUICK1")

	reload(settings.Config{}, errors.New("vm: invalid address"))
	out.await(t, "reload: the old configuration holds: vm: invalid address")
	next := cfg
	next.Interpreter, next.Announce, next.Descriptors = secondAddr, reports.LocalAddr().String(), 64
	reload(next, nil)
	out.await(t, "reload: limits: differs, and holds only from the next start")
	out.await(t, "interpreter moved from "+vm+" to "+secondAddr)
	report := make([]byte, 64)
	if err := reports.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, _, err := reports.ReadFrom(report); err != nil || string(report[:n]) != "announce n1 true" {
		t.Fatalf("got load report %q, error %v", report[:n], err)
	}
	conn.Write(call(3, "quick2"))
	expect(3, "QUICK2")
	for range 3 { // change the address and change it back in quick succession
		reload(cfg, nil)
		reload(next, nil)
	}
	conn.Write(call(4, "quick3"))
	expect(4, "QUICK3")

	signals.Shutdown <- syscall.SIGTERM
	out.await(t, "phase draining")
	reload(cfg, nil)
	release()
	expect(1, "HOLD1")
	conn.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// An address in use is reported as a single-line error that starts with the configuration field.
func TestListenAddressTaken(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, field := range []string{"listen", "scgi.listen"} {
		c := config("127.0.0.1:1")
		if field == "listen" {
			c.Listen = ln.Addr().String()
		} else {
			c.SCGI.Listen = ln.Addr().String()
		}
		_, err := New(c, log.New(io.Discard, "", 0))
		if err == nil || !strings.HasPrefix(err.Error(), field+": ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("got error %v, want a single line that starts with %s", err, field)
		}
	}
}

// The descriptor budget never exceeds the limit, for one process and for the two processes of a hot restart.
func TestBudget(t *testing.T) {
	for _, descriptors := range []int{64, 128, 1024} {
		for _, c := range []settings.Config{{Listen: "x", Vault: "x", Interpreter: "x"}, config("x"),
			{SCGI: settings.SCGI{Listen: "x", Upstream: "x"}}, {Listen: "x", Vault: "x", SCGI: settings.SCGI{Listen: "x", Upstream: "x"}}} {
			c.Descriptors = descriptors
			b := descriptorBudget(c)
			if sum := b.RPC + b.SCGI + b.Vault + b.Upstream; sum > descriptors-reservedDescriptors {
				t.Errorf("budget for %d descriptors exceeds them: %+v", descriptors, b)
			}
			// Hot restart: the predecessor still has all its connections while the successor opens its own descriptors.
			c.Admin, c.ListenFD = "x", 7
			b = descriptorBudget(c)
			if sum := b.RPC + b.SCGI + 2*(b.Vault+b.Upstream+reservedDescriptors+admin.ConnectionLimit(descriptors)); sum > descriptors || b.RPC+b.SCGI < 8 {
				t.Errorf("budget of two processes for %d descriptors exceeds them, or clients get fewer than 8: %+v", descriptors, b)
			}
		}
	}
}

// A reload applies new pools while requests run, and keeps the old pools and logs the invalid field if the new ones are invalid.
// Other changes of the edge file are logged and take effect only at the next start.
func TestReloadOfPools(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	cfg := config(vm)
	cfg.Edge = settings.Edge{Enabled: true, Status: true, Reserve: &admission.ReserveConfig{}, Pools: admission.Config{
		Pools: []admission.Pool{{Name: "rounds", Classes: []string{"krog"}, Weight: 1, Floor: 0.5}}}}
	var out syncBuffer
	s, err := New(cfg, log.New(&out, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	shutdown, done := make(chan struct{}), make(chan error, 1)
	s.drainDelay = 0
	go func() { done <- s.Run(shutdown) }()
	now := strconv.FormatInt(time.Now().UnixMilli(), 10)
	conn := dial(t, s.Addrs()[0], msgpackrpc.AppendRequest(nil, 1, "krog", []byte("hold"), "i", "a1", "s", now, "d", "30000", "m", "1"))
	for s.stats.Get("read", "msgpack", "krog") == 0 {
		time.Sleep(time.Millisecond)
	}
	next := cfg
	next.Edge.Pools.Pools = []admission.Pool{{Name: "rounds", Classes: []string{"krog"}, Weight: 5, Floor: 0.9}, {Name: "others"}}
	if err := s.Reload(next); err != nil {
		t.Fatal(err)
	}
	bad := next
	bad.Edge.Status = false
	bad.Edge.Pools.Pools = []admission.Pool{{Name: "rounds", Floor: 7}}
	if err := s.Reload(bad); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	for _, want := range []string{"reload: pools: taken up", "reload: the old pools hold: pools[0].floor", "reload: edge: differs"} {
		if !strings.Contains(text, want) {
			t.Errorf("log does not contain %q: %s", want, text)
		}
	}
	release()
	if r, err := msgpackrpc.ReadReply(conn.r); err != nil || string(r.Body) != "HOLD" {
		t.Errorf("request that ran during the reloads: got reply %+v, error %v", r, err)
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if v := s.core.View().Pools; v != nil && len(v.Pools) == 2 && v.Pools[0].Weight == 5 {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("new pools were not applied: got %+v", v)
		}
	}
	conn.Close()
	close(shutdown)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// syncBuffer is a log buffer that can be read while the service writes to it.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *syncBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
