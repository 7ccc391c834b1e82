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

// startInterpreter starts a stand-in that passes every run with the body turned into upper case, but holds back those
// whose body says so until told. It has two addresses and takes one link after another at either; a run goes on
// and is started once, whatever its link does.
func startInterpreter(t *testing.T) (addr, moved string, release func()) {
	t.Helper()
	held := make(chan struct{})
	var mu sync.Mutex
	var link net.Conn
	n := 0
	started := map[string]bool{}
	say := func(conn net.Conn, kind, rest string) {
		fmt.Fprintf(conn, `{"type":"%s",%s}`+"\n", kind, rest)
	}
	serve := func(conn net.Conn) {
		for s := bufio.NewScanner(conn); s.Scan(); {
			v := fastjson.MustParse(s.Text())
			job := string(v.GetStringBytes("job"))
			mu.Lock()
			switch string(v.GetStringBytes("type")) {
			case "CONNECT":
				link = conn
				say(conn, "BANNER", `"state":"LOADED","took":1`)
			case "TOP":
				say(conn, "TOPS", `"ref":"`+string(v.GetStringBytes("ref"))+`","gauges":[0,0,0,0]`)
			case "APPLY":
				if started[job] {
					break
				}
				started[job] = true
				body, _ := base64.StdEncoding.DecodeString(string(v.GetStringBytes("data")))
				go func() {
					if strings.HasPrefix(string(body), "hold") {
						<-held
					}
					mu.Lock()
					defer mu.Unlock()
					n++
					say(link, "VALUE", fmt.Sprintf(`"n":%d,"job":"%s","state":"PASS","took":1,"data":"%s"`,
						n, job, base64.StdEncoding.EncodeToString(bytes.ToUpper(body))))
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
	return addrs[0], addrs[1], sync.OnceFunc(func() { close(held) })
}

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

// peer is one connection of a stand-in caller.
type peer struct {
	net.Conn
	r *bufio.Reader
}

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

// The whole program on loopback sockets: both fronts serve, the notice to leave is passed on to balancers, what
// was read is answered, new connections are refused, and the process ends long before it would be stopped.
func TestServeAndDrain(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	s, err := New(config(vm), log.New(io.Discard, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	if s.drainDelay != 10*time.Second {
		t.Fatalf("peers are served for %v after the notice, want half of the time to the stop", s.drainDelay)
	}
	s.drainDelay = 500 * time.Millisecond
	leave, done := make(chan struct{}), make(chan error, 1)
	go func() { done <- s.Run(leave) }()
	platform, second := s.Addrs()[0], s.Addrs()[1]

	now := time.Now().UnixMilli()
	call := func(id uint64, name, body string) []byte {
		return msgpackrpc.AppendRequest(nil, id, "krog", []byte(body), "i", name, "s", strconv.FormatInt(now, 10), "d", "30000", "m", "1")
	}
	a := dial(t, platform, append(append(msgpackrpc.AppendProbe(nil, 1), call(2, "a1", "fast")...), call(3, "a2", "hold")...))
	if r, err := msgpackrpc.ReadReply(a.r); err != nil || !r.Healthy {
		t.Fatalf("probe: %+v, %v", r, err)
	}
	if r, err := msgpackrpc.ReadReply(a.r); err != nil || r.ID != 2 || string(r.Body) != "FAST" {
		t.Fatalf("request: %+v, %v", r, err)
	}
	b := dial(t, second, scgi.AppendRequest(nil, []byte("web"), "PATH_INFO", "/krog"))
	if r, err := scgi.ReadReply(b.r); err != nil || r.Status != 200 || string(r.Body) != "WEB" {
		t.Fatalf("SCGI: %+v, %v", r, err)
	}

	late := dial(t, second, nil) // connected before the notice, with a request that comes after it
	for s.connections() < 3 {
		time.Sleep(time.Millisecond)
	}
	close(leave)
	told := time.Now()
	fresh := dial(t, platform, nil) // callers don't know yet: they are served
	if _, err := fresh.Write(call(1, "a3", "more")); err != nil {
		t.Fatal(err)
	}
	if r, err := msgpackrpc.ReadReply(fresh.r); err != nil || r.ID != 1 || string(r.Body) != "MORE" {
		t.Fatalf("a request on a new connection after the notice: %+v, %v", r, err)
	}
	fresh.Close()
	if r, err := msgpackrpc.ReadReply(a.r); err != nil || r.Notification != "lastCall" {
		t.Fatalf("in the drain: %+v, %v", r, err)
	}
	if d := time.Since(told); d < s.drainDelay {
		t.Fatalf("asked to leave %v after the notice", d)
	}
	if _, err := late.Write(scgi.AppendRequest(nil, []byte("late"), "PATH_INFO", "/krog")); err != nil {
		t.Fatal(err)
	}
	if r, err := scgi.ReadReply(late.r); err != nil || r.Status != 200 || string(r.Body) != "LATE" {
		t.Fatalf("an SCGI request in the drain: %+v, %v", r, err)
	}
	release()
	if r, err := msgpackrpc.ReadReply(a.r); err != nil || r.ID != 3 || string(r.Body) != "HOLD" {
		t.Fatalf("what was read: %+v, %v", r, err)
	}
	for { // the address closes soon after the notice
		conn, err := net.Dial("tcp", platform.String())
		if err != nil {
			break
		}
		conn.Close()
		time.Sleep(5 * time.Millisecond)
	}
	select {
	case err := <-done:
		t.Fatalf("left while a balancer is connected: %v", err)
	default:
	}
	a.Close()
	b.Close()
	late.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if n := s.Stats().Get("answered", "msgpack", "krog", "served"); n != 3 {
		t.Errorf("%d served by msgpack, want 3", n)
	}
	if n := s.Stats().Get("answered", "scgi", "krog", "served"); n != 2 {
		t.Errorf("%d served by scgi, want 2", n)
	}
}

// output is a log that is waited on.
type output struct {
	mu   sync.Mutex
	text strings.Builder
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

// await returns what follows the given text in the log, to the line's end.
func (o *output) await(t *testing.T, text string) string {
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
	t.Fatalf("the log lacks %q", text)
	return ""
}

// SIGHUP takes up new addresses while requests run, again and again and in a drain too, and no request is lost
// by it; a file that is no good leaves the old configuration, and so does what holds only from a start.
func TestReload(t *testing.T) {
	vm, moved, release := startInterpreter(t)
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
	signals, out, done := Signals{make(chan os.Signal, 1), make(chan os.Signal, 8)}, &output{}, make(chan error, 1)
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
	a := dial(t, addr, append(call(1, "hold1"), call(2, "quick1")...))
	expect := func(id uint64, body string) {
		t.Helper()
		for {
			r, err := msgpackrpc.ReadReply(a.r)
			if err == nil && r.Notification != "" {
				continue
			}
			if err != nil || r.ID != id || string(r.Body) != body {
				t.Fatalf("%+v, %v, want %s", r, err, body)
			}
			return
		}
	}
	expect(2, "QUICK1")

	reload(settings.Config{}, errors.New("vm: no good"))
	out.await(t, "reload: the old configuration holds: vm: no good")
	next := cfg
	next.Interpreter, next.Announce, next.Descriptors = moved, reports.LocalAddr().String(), 64
	reload(next, nil)
	out.await(t, "reload: limits: differs, and holds only from the next start")
	out.await(t, "interpreter moved from "+vm+" to "+moved)
	b := make([]byte, 64)
	if err := reports.SetReadDeadline(time.Now().Add(30 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, _, err := reports.ReadFrom(b); err != nil || string(b[:n]) != "announce n1 true" {
		t.Fatalf("report %q, %v", b[:n], err)
	}
	a.Write(call(3, "quick2"))
	expect(3, "QUICK2")
	for range 3 { // in quick succession, there and back
		reload(cfg, nil)
		reload(next, nil)
	}
	a.Write(call(4, "quick3"))
	expect(4, "QUICK3")

	signals.Shutdown <- syscall.SIGTERM
	out.await(t, "phase draining")
	reload(cfg, nil)
	release()
	expect(1, "HOLD1")
	a.Close()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// An address that is taken is one plain error that names the field.
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
			t.Errorf("error %v, want one with the field %s", err, field)
		}
	}
}

// The shares of the descriptors never add up to more than there are.
func TestBudget(t *testing.T) {
	for _, sockets := range []int{64, 128, 1024} {
		for _, c := range []settings.Config{{Listen: "x", Vault: "x", Interpreter: "x"}, config("x"),
			{SCGI: settings.SCGI{Listen: "x", Upstream: "x"}}, {Listen: "x", Vault: "x", SCGI: settings.SCGI{Listen: "x", Upstream: "x"}}} {
			c.Descriptors = sockets
			b := descriptorBudget(c)
			if sum := b.RPC + b.SCGI + b.Vault + b.Upstream; sum > sockets-reservedDescriptors {
				t.Errorf("%d descriptors: %+v", sockets, b)
			}
			// Two processes: one with all, before it has given up its share, and one that opens its own files.
			c.Admin, c.ListenFD = "x", 7
			b = descriptorBudget(c)
			if sum := b.RPC + b.SCGI + 2*(b.Vault+b.Upstream+reservedDescriptors+admin.ConnectionLimit(sockets)); sum > sockets || b.RPC+b.SCGI < 8 {
				t.Errorf("%d descriptors of two: %+v", sockets, b)
			}
		}
	}
}

// SIGHUP takes new shares up while runs go on, keeps the old ones where the new are no good, and says which; the rest of an
// edge file waits for the next start.
func TestReloadOfPools(t *testing.T) {
	vm, _, release := startInterpreter(t)
	defer release()
	cfg := config(vm)
	cfg.Edge = settings.Edge{On: true, Status: true, Reserve: &admission.ReserveConfig{}, Pools: admission.Config{
		Pools: []admission.Pool{{Name: "rounds", Classes: []string{"krog"}, Weight: 1, Floor: 0.5}}}}
	var out lines
	s, err := New(cfg, log.New(&out, "", 0))
	if err != nil {
		t.Fatal(err)
	}
	leave, done := make(chan struct{}), make(chan error, 1)
	s.drainDelay = 0
	go func() { done <- s.Run(leave) }()
	now := strconv.FormatInt(time.Now().UnixMilli(), 10)
	a := dial(t, s.Addrs()[0], msgpackrpc.AppendRequest(nil, 1, "krog", []byte("hold"), "i", "a1", "s", now, "d", "30000", "m", "1"))
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
			t.Errorf("%q is not in the log: %s", want, text)
		}
	}
	release()
	if r, err := msgpackrpc.ReadReply(a.r); err != nil || string(r.Body) != "HOLD" {
		t.Errorf("the run that went on: %+v, %v", r, err)
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		if v := s.core.View().Pools; v != nil && len(v.Pools) == 2 && v.Pools[0].Weight == 5 {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("the pools are %+v", v)
		}
	}
	a.Close()
	close(leave)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// lines is a log that may be read while it is written.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
