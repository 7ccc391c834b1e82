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

// server is a server of the fleet with a stand-in for what does its work.
type server struct {
	core *core.Core
	pipe *pipes.Listener
	ln   *listener.Listener

	mu    sync.Mutex
	runs  []string
	takes time.Duration
	fails bool
	cuts  bool // it drops its connections instead of an answer
	down  bool
	conns []net.Conn
}

func (s *server) Run(id, _ string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, string(body))
	takes, fails, cuts := s.takes, s.fails, s.cuts
	time.AfterFunc(takes, func() {
		switch {
		case cuts:
			s.mu.Lock()
			for _, c := range s.conns {
				c.Close()
			}
			s.conns = nil
			s.mu.Unlock()
			s.now().RunEnded(id, silverpath.Failed, takes, nil)
		case fails:
			s.now().RunEnded(id, silverpath.Failed, takes, nil)
		default:
			s.now().RunEnded(id, silverpath.OK, takes, append([]byte("done "), body...))
		}
	})
}
func (s *server) Resume(string, []byte) {}
func (s *server) Probe()                { s.now().Gauges(silverpath.Gauges{}) }

func (s *server) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// boot starts the server, or starts it anew.
func (s *server) boot(t *testing.T) {
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

// now is the core that the server has at present.
func (s *server) now() *core.Core {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core
}

func (s *server) kill() {
	s.mu.Lock()
	s.down = true
	for _, c := range s.conns {
		c.Close()
	}
	s.conns = nil
	s.mu.Unlock()
	s.now().Stop()
	s.ln.Close()
}

// router is the core of a router, as far as the runner sees it.
type router struct {
	mu   sync.Mutex
	ends map[string]core.Answer
}

func (r *router) RunnerReady() {}
func (r *router) Class(name string) (silverpath.Class, bool) {
	for _, c := range classes {
		if c.Name == name {
			return c, true
		}
	}
	return silverpath.Class{}, false
}
func (r *router) RunEnded(id string, _ silverpath.Outcome, _ time.Duration, result []byte) {
	r.ForwardReturned(id, core.Answer{Outcome: core.Served, Body: result}, 0)
}
func (r *router) ForwardReturned(id string, a core.Answer, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[id] = a
}
func (r *router) Gauges(silverpath.Gauges)  {}
func (r *router) RetryAfter() time.Duration { return time.Second }

type fixedMap struct{ *cells.Map }

func (f fixedMap) Load(*cells.Map) (*cells.Map, time.Time, error) { return f.Map, time.Now(), nil }

// lab is a runner in front of servers, in simulated time.
type lab struct {
	t       *testing.T
	servers []*server
	runner  *Runner
	router  *router
	stats   *metrics.Counters
	seq     int
}

func play(t *testing.T, n int, test func(l *lab)) { probing(t, n, 500*time.Millisecond, test) }

// probing plays with so long between two health checks of a server.
func probing(t *testing.T, n int, every time.Duration, test func(l *lab)) {
	synctest.Test(t, func(t *testing.T) {
		l := &lab{t: t, router: &router{ends: map[string]core.Answer{}}, stats: &metrics.Counters{}}
		m := &cells.Map{Version: 1, KeyWindow: 10 * time.Second, Lease: time.Hour, CallerTimeout: 4 * time.Second,
			Cells: []cells.Cell{{Name: "a"}}, Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}}}
		for k := range n {
			s := &server{takes: 20 * time.Millisecond}
			s.boot(t)
			l.servers = append(l.servers, s)
			m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("s", k), Addr: fmt.Sprint(k), Cell: "a", Weight: 1, JoinsAt: time.Now().UnixMilli()})
		}
		var err error
		l.runner, err = New(Config{
			Source: fixedMap{m}, Cores: 100, HealthCheckInterval: every, MaxConnections: 50, LoadBalancing: loadbalancer.Config{RetryRatio: 1, HedgeRatio: 1, Seed: 3},
			Dial: func(_ context.Context, addr string) (*msgpackrpc.Conn, error) {
				s := l.servers[addr[0]-'0']
				s.mu.Lock()
				defer s.mu.Unlock()
				if s.down {
					return nil, fmt.Errorf("connecting: %w", syscall.ECONNREFUSED)
				}
				c := s.pipe.Dial()
				s.conns = append(s.conns, c)
				return msgpackrpc.NewConn(c), nil
			},
		}, l.router, log.New(io.Discard, "", 0), l.stats)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go l.runner.Maintain(ctx)
		time.Sleep(time.Second)
		test(l)
		cancel()
		l.runner.Close()
		for _, s := range l.servers {
			if !s.down {
				s.kill()
			}
		}
		time.Sleep(2 * time.Hour)
	})
}

// ask hands a request on and returns its answer, waiting as long as it may take.
func (l *lab) ask(class, key string) core.Answer {
	l.t.Helper()
	l.seq++
	id := fmt.Sprintf("%016x", l.seq)
	now := time.Now()
	l.runner.Forward(core.Request{ID: id, Class: class, Key: key, MemoryKB: 1, ReceivedAt: now, Deadline: now.Add(4 * time.Second), Body: []byte(class + key)})
	time.Sleep(4 * time.Second)
	l.router.mu.Lock()
	defer l.router.mu.Unlock()
	a, ok := l.router.ends[id]
	if !ok {
		l.t.Fatalf("%s has no answer", class)
	}
	return a
}

func (l *lab) each(do func(s *server)) {
	for _, s := range l.servers {
		s.mu.Lock()
		do(s)
		s.mu.Unlock()
	}
}

func (l *lab) runs() (n int) {
	for _, s := range l.servers {
		n += s.ran()
	}
	return n
}

// A read that fails, or whose connection breaks, is tried elsewhere; a write is not, as it may have run; both are where
// nothing could be connected to.
func TestRetries(t *testing.T) {
	play(t, 2, func(l *lab) {
		l.servers[0].fails = true
		for range 6 {
			if a := l.ask("read", ""); a.Outcome != core.Served {
				t.Errorf("a read with one server that fails: %+v", a)
			}
		}
	})
	play(t, 2, func(l *lab) {
		l.each(func(s *server) { s.cuts = true })
		before := l.runs()
		for _, class := range []string{"pay", "sheet"} { // a request of a keyed class that has no key is a write like any other
			if a := l.ask(class, ""); a.Outcome != core.Failed || l.runs() != before+1 {
				t.Errorf("%s whose connection broke: %+v, %d runs", class, a, l.runs()-before)
			}
			before = l.runs()
		}
	})
	play(t, 2, func(l *lab) {
		l.servers[0].kill()
		for range 4 {
			if a := l.ask("pay", ""); a.Outcome != core.Served {
				t.Errorf("a write with one server gone: %+v", a)
			}
		}
		if l.runs() != 4 {
			t.Errorf("%d runs", l.runs())
		}
		l.servers[1].kill()
		if a := l.ask("pay", ""); a.Outcome != core.Rejected || a.RetryAfter == 0 {
			t.Errorf("a write with all gone: %+v", a)
		}
	})
}

// A read that takes longer than nearly all others gets a hedged request elsewhere, and its answer.
func TestHedgedRequest(t *testing.T) {
	play(t, 2, func(l *lab) {
		for range 80 {
			l.ask("read", "")
		}
		l.servers[0].mu.Lock()
		l.servers[0].takes = time.Hour
		l.servers[0].mu.Unlock()
		for range 4 {
			if a := l.ask("read", ""); a.Outcome != core.Served {
				t.Errorf("%+v", a)
			}
		}
		if l.stats.Get("fleet", "hedged") == 0 {
			t.Error("no second copy was sent")
		}
	})
}

// A keyed request whose server died after it ran is run nowhere else: it fails while the server is gone, when it is back and knows
// nothing of it, and until its window is over; a keyed request of another home is not touched. Repeats before get the first result.
func TestHomeDies(t *testing.T) {
	play(t, 3, func(l *lab) {
		var key string
		for n := 0; l.servers[0].ran() == 0; n++ {
			key = fmt.Sprint("k", n)
			if a := l.ask("sheet", key); a.Outcome != core.Served {
				t.Fatalf("%+v", a)
			}
		}
		before := l.runs()
		if a := l.ask("sheet", key); a.Outcome != core.Served || string(a.Body) != "done sheet"+key || l.runs() != before {
			t.Fatalf("a repeat: %+v, %d runs more", a, l.runs()-before)
		}
		l.servers[0].kill()
		if a := l.ask("sheet", key); a.Outcome != core.Failed || l.runs() != before {
			t.Errorf("while its home is gone: %+v", a)
		}
		l.servers[0].boot(t)
		if a := l.ask("sheet", key); a.Outcome != core.Failed || l.runs() != before {
			t.Errorf("with its home back cold: %+v, %d runs more", a, l.runs()-before)
		}
		if l.stats.Get("fleet", "failed", "home_lost")+l.stats.Get("fleet", "failed", "home_boot") == 0 {
			t.Error("it is not counted apart")
		}
		time.Sleep(15 * time.Second)
		if a := l.ask("sheet", key+"new"); a.Outcome != core.Served {
			t.Errorf("after the window: %+v", a)
		}
	})
}

// The same when the router has not noticed yet: what is meant for the start that it knows is refused by the next.
func TestHomeRestartsUnseen(t *testing.T) {
	probing(t, 1, time.Hour, func(l *lab) {
		l.ask("sheet", "k")
		before := l.runs()
		l.servers[0].kill()
		time.Sleep(10 * time.Millisecond)
		l.servers[0].boot(t)
		if a := l.ask("sheet", "k"); a.Outcome != core.Failed || l.runs() != before {
			t.Errorf("%+v, %d runs more", a, l.runs()-before)
		}
		if l.stats.Get("fleet", "failed", "home_boot") != 1 {
			t.Errorf("counters %v", l.stats.Snapshot())
		}
	})
}
