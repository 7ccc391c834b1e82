package proxy

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/testkit/pipes"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

var classes = []silverpath.Class{
	{Name: "read", Objective: 2 * time.Second, Deadline: 4 * time.Second, Weight: 1},
	{Name: "pay", Objective: 2 * time.Second, Deadline: 4 * time.Second, Weight: 1, Effect: silverpath.NonIdempotent},
	{Name: "sheet", Objective: 2 * time.Second, Deadline: 4 * time.Second, Weight: 1, Effect: silverpath.Idempotent, IdempotencyWindow: 10 * time.Second},
}

// testServer is a server of the fleet whose runner is a stand-in.
type testServer struct {
	core *core.Core
	pipe *pipes.Listener
	ln   *listener.Listener

	mu         sync.Mutex
	runs       []string
	runTime    time.Duration
	fails      bool
	dropsConns bool // it closes its connections instead of answering
	down       bool
	conns      []net.Conn
}

func (s *testServer) Run(id, _ string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, string(body))
	runTime, fails, dropsConns := s.runTime, s.fails, s.dropsConns
	time.AfterFunc(runTime, func() {
		switch {
		case dropsConns:
			s.mu.Lock()
			for _, c := range s.conns {
				c.Close()
			}
			s.conns = nil
			s.mu.Unlock()
			s.currentCore().RunEnded(id, silverpath.Failed, runTime, nil)
		case fails:
			s.currentCore().RunEnded(id, silverpath.Failed, runTime, nil)
		default:
			s.currentCore().RunEnded(id, silverpath.OK, runTime, append([]byte("done "), body...))
		}
	})
}
func (s *testServer) Resume(string, []byte) {}
func (s *testServer) Probe()                { s.currentCore().Gauges(silverpath.Gauges{}) }

func (s *testServer) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// start starts the server, or restarts it with a new core.
func (s *testServer) start(t *testing.T) {
	quiet, counters := log.New(io.Discard, "", 0), &metrics.Counters{}
	c, err := core.New(core.Config{MemoryMB: 64, Log: quiet, Stats: counters, Cell: true, Settings: silverpath.Settings{
		Cores: 8, MemoryKB: 1e6, MaxRunsPerCore: 8, RetryAfter: true, MaxRetryAfter: time.Second, Classes: classes}})
	if err != nil {
		t.Fatal(err)
	}
	pipe := pipes.Listen()
	s.mu.Lock()
	s.core, s.pipe, s.down = c, pipe, false
	s.mu.Unlock()
	if err := c.Attach(s, nil); err != nil {
		t.Fatal(err)
	}
	c.RunnerReady()
	s.ln = listener.New("s", pipe, 100, c.IdleAfter, msgpackrpc.New(c, quiet, counters).Serve, quiet, counters)
	go s.ln.Serve()
}

// currentCore returns the core since the last start.
func (s *testServer) currentCore() *core.Core {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core
}

func (s *testServer) kill() {
	s.mu.Lock()
	s.down = true
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
	s.mu.Unlock()
	s.currentCore().Stop()
	s.ln.Close()
}

// fakeCore implements Events and records the answers.
type fakeCore struct {
	mu      sync.Mutex
	answers map[string]core.Answer
}

func (c *fakeCore) RunnerReady() {}
func (c *fakeCore) Class(name string) (silverpath.Class, bool) {
	for _, c := range classes {
		if c.Name == name {
			return c, true
		}
	}
	return silverpath.Class{}, false
}
func (c *fakeCore) RunEnded(id string, _ silverpath.Outcome, _ time.Duration, result []byte) {
	c.ForwardReturned(id, core.Answer{Outcome: core.Served, Body: result}, 0)
}
func (c *fakeCore) ForwardReturned(id string, a core.Answer, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[id] = a
}
func (c *fakeCore) Gauges(silverpath.Gauges)  {}
func (c *fakeCore) RetryAfter() time.Duration { return time.Second }

type fixedMap struct{ *cells.Map }

func (f fixedMap) Load(*cells.Map) (*cells.Map, time.Time, error) { return f.Map, time.Now(), nil }

// fleet is a Runner with its servers, in simulated time.
type fleet struct {
	t        *testing.T
	servers  []*testServer
	runner   *Runner
	core     *fakeCore
	stats    *metrics.Counters
	requests int
}

// withFleet is withInterval with a health check every 500 ms.
func withFleet(t *testing.T, n int, do func(f *fleet)) { withInterval(t, n, 500*time.Millisecond, do) }

// withInterval runs a test with n servers and the given interval of health checks in simulated time.
func withInterval(t *testing.T, n int, interval time.Duration, do func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, core: &fakeCore{answers: map[string]core.Answer{}}, stats: &metrics.Counters{}}
		m := &cells.Map{Version: 1, KeyWindow: 10 * time.Second, Lease: time.Hour, CallerTimeout: 4 * time.Second,
			Cells: []cells.Cell{{Name: "a"}}, Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}}}
		for k := range n {
			s := &testServer{runTime: 20 * time.Millisecond}
			s.start(t)
			f.servers = append(f.servers, s)
			m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("s", k), Addr: fmt.Sprint(k), Cell: "a", Weight: 1, JoinsAt: time.Now().UnixMilli()})
		}
		var err error
		f.runner, err = New(Config{
			Source: fixedMap{m}, Cores: 100, HealthCheckInterval: interval, MaxConnections: 50, LoadBalancing: loadbalancer.Config{RetryRatio: 1, HedgeRatio: 1, Seed: 3},
			Dial: func(_ context.Context, addr string) (*msgpackrpc.Conn, error) {
				s := f.servers[addr[0]-'0']
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.down {
					return nil, fmt.Errorf("connecting: %w", syscall.ECONNREFUSED)
				}
				c := s.pipe.Dial()
				s.conns = append(s.conns, c)
				return msgpackrpc.NewConn(c), nil
			},
		}, f.core, log.New(io.Discard, "", 0), f.stats)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go f.runner.Maintain(ctx)
		time.Sleep(time.Second)
		do(f)
		cancel()
		f.runner.Close()
		for _, s := range f.servers {
			if !s.down {
				s.kill()
			}
		}
		time.Sleep(2 * time.Hour)
	})
}

// forward forwards a request and returns its answer, after the time of its deadline has passed.
func (f *fleet) forward(class, key string) core.Answer {
	f.t.Helper()
	f.requests++
	id := fmt.Sprintf("%016x", f.requests)
	now := time.Now()
	f.runner.Forward(core.Request{ID: id, Class: class, Key: key, MemoryKB: 1, ReceivedAt: now, Deadline: now.Add(4 * time.Second), Body: []byte(class + key)})
	time.Sleep(4 * time.Second)
	f.core.mu.Lock()
	defer f.core.mu.Unlock()
	a, ok := f.core.answers[id]
	if !ok {
		f.t.Fatalf("a request of class %s has no answer", class)
	}
	return a
}

func (f *fleet) forEachServer(do func(s *testServer)) {
	for _, s := range f.servers {
		s.mu.Lock()
		do(s)
		s.mu.Unlock()
	}
}

func (f *fleet) runs() (n int) {
	for _, s := range f.servers {
		n += s.ran()
	}
	return n
}

// A read that fails, or whose connection breaks, is retried on another server. A write is not, as it may have run. Both are retried
// if no connection could be opened.
func TestRetries(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		f.servers[0].fails = true
		for range 6 {
			if a := f.forward("read", ""); a.Outcome != core.Served {
				t.Errorf("a read with one failing server: %+v", a)
			}
		}
	})
	withFleet(t, 2, func(f *fleet) {
		f.forEachServer(func(s *testServer) { s.dropsConns = true })
		before := f.runs()
		for _, class := range []string{"pay", "sheet"} { // a request of an idempotent class without a key is treated like a write
			if a := f.forward(class, ""); a.Outcome != core.Failed || f.runs() != before+1 {
				t.Errorf("%s request whose connection broke: %+v, %d runs", class, a, f.runs()-before)
			}
			before = f.runs()
		}
	})
	withFleet(t, 2, func(f *fleet) {
		f.servers[0].kill()
		for range 4 {
			if a := f.forward("pay", ""); a.Outcome != core.Served {
				t.Errorf("a write with one server down: %+v", a)
			}
		}
		if f.runs() != 4 {
			t.Errorf("%d runs, want 4", f.runs())
		}
		f.servers[1].kill()
		if a := f.forward("pay", ""); a.Outcome != core.Rejected || a.RetryAfter == 0 {
			t.Errorf("a write with all servers down: %+v", a)
		}
	})
}

// A read whose server does not answer gets a hedged request on another server, and its answer.
func TestHedgedRequest(t *testing.T) {
	withFleet(t, 2, func(f *fleet) {
		for range 80 {
			f.forward("read", "")
		}
		f.servers[0].mu.Lock()
		f.servers[0].runTime = time.Hour
		f.servers[0].mu.Unlock()
		for range 4 {
			if a := f.forward("read", ""); a.Outcome != core.Served {
				t.Errorf("a read with one server that does not answer: %+v", a)
			}
		}
		if f.stats.Get("fleet", "hedged") == 0 {
			t.Error("no hedged request was sent")
		}
	})
}

// A keyed request whose home died after the run must not run again elsewhere. A repeat before the death gets the first result. A repeat
// while the home is down, or restarted without its records, fails. After the key window a request with a new key is served.
func TestHomeDies(t *testing.T) {
	withFleet(t, 3, func(f *fleet) {
		var key string
		for n := 0; f.servers[0].ran() == 0; n++ {
			key = fmt.Sprint("k", n)
			if a := f.forward("sheet", key); a.Outcome != core.Served {
				t.Fatalf("%+v", a)
			}
		}
		before := f.runs()
		if a := f.forward("sheet", key); a.Outcome != core.Served || string(a.Body) != "done sheet"+key || f.runs() != before {
			t.Fatalf("repeat: %+v, %d further runs", a, f.runs()-before)
		}
		f.servers[0].kill()
		if a := f.forward("sheet", key); a.Outcome != core.Failed || f.runs() != before {
			t.Errorf("while its home is down: %+v", a)
		}
		f.servers[0].start(t)
		if a := f.forward("sheet", key); a.Outcome != core.Failed || f.runs() != before {
			t.Errorf("after its home restarted: %+v, %d further runs", a, f.runs()-before)
		}
		if f.stats.Get("fleet", "failed", "home_lost")+f.stats.Get("fleet", "failed", "home_boot") == 0 {
			t.Error("the failure is not counted as home_lost or home_boot")
		}
		time.Sleep(15 * time.Second)
		if a := f.forward("sheet", key+"new"); a.Outcome != core.Served {
			t.Errorf("after the key window: %+v", a)
		}
	})
}

// A home restarts and the router has not noticed yet. The restarted server must reject a request that carries the incarnation of the
// previous start, as an earlier attempt may have run there.
func TestHomeRestartsUnseen(t *testing.T) {
	withInterval(t, 1, time.Hour, func(f *fleet) {
		f.forward("sheet", "k")
		before := f.runs()
		f.servers[0].kill()
		time.Sleep(10 * time.Millisecond)
		f.servers[0].start(t)
		if a := f.forward("sheet", "k"); a.Outcome != core.Failed || f.runs() != before {
			t.Errorf("%+v, %d further runs", a, f.runs()-before)
		}
		if f.stats.Get("fleet", "failed", "home_boot") != 1 {
			t.Errorf("home_boot is not 1: counters %v", f.stats.Snapshot())
		}
	})
}
