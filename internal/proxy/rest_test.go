package proxy

import (
	"context"
	"io"
	"log"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// gate is a connection of which what comes is held back until the test lets it through.
type gate struct {
	net.Conn
	mu      sync.Mutex
	through chan struct{} // closed: nothing is held back
	came    chan struct{} // told of what comes while it is
	written chan struct{} // told of what is written while it is
}

func (g *gate) held() (through chan struct{}, holds bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.through:
		return g.through, false
	default:
		return g.through, true
	}
}

func (g *gate) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if through, holds := g.held(); holds {
		g.came <- struct{}{}
		<-through
	}
	return n, err
}

func (g *gate) Write(b []byte) (int, error) {
	n, err := g.Conn.Write(b)
	if _, holds := g.held(); holds {
		g.written <- struct{}{}
	}
	return n, err
}

// A connection to a server that rested, and that the server gives up in the very moment in which a keyed request goes out on it, costs
// nothing: the server says what it took last, so the keyed request is known not to have run, goes out on a new one and runs once.
func TestKeyedRequestCrossesTheEndOfAnIdleConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quiet, counters := log.New(io.Discard, "", 0), &metrics.Counters{}
	s := &server{}
	s.core, err = core.New(core.Config{MemoryMB: 64, Log: quiet, Stats: counters, Cell: true, Settings: silverpath.Settings{
		Cores: 8, MemoryKB: 1e6, MaxRunsPerCore: 8, RetryAfter: true, MaxRetryAfter: time.Second, Classes: classes}})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.core.Attach(s, nil); err != nil {
		t.Fatal(err)
	}
	s.core.RunnerReady()
	l := listener.New("s", ln, 100, s.core.IdleAfter, msgpackrpc.New(s.core, quiet, counters).Serve, quiet, counters)
	go l.Serve()
	defer l.Close()
	defer s.core.Stop()
	var first *gate
	p := &upstream{name: "s", addr: ln.Addr().String(), slots: make(chan struct{}, 4), dial: func(ctx context.Context, addr string) (*msgpackrpc.Conn, error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil || first != nil {
			return msgpackrpc.NewConn(conn), err
		}
		first = &gate{Conn: conn, through: make(chan struct{}), came: make(chan struct{}, 10), written: make(chan struct{}, 10)}
		close(first.through)
		return msgpackrpc.NewConn(first), nil
	}}
	defer p.close()
	send := func(id string) attemptResult {
		e, _ := p.send(t.Context(), msgpackrpc.Attempt{ID: id, Class: "sheet", Key: id, ReceivedAt: time.Now(), Timeout: 4 * time.Second, MemoryKB: 1, Body: []byte(id)})
		return e
	}
	if e := send("one"); e.outcome != loadbalancer.Served {
		t.Fatalf("%+v", e)
	}
	first.mu.Lock()
	first.through = make(chan struct{})
	first.mu.Unlock()
	go l.EndConnections(10 * time.Second) // ends it as soon as it rests
	<-first.came                          // what the server says last is here, and the router has not seen it
	done := make(chan attemptResult)
	go func() { done <- send("two") }()
	<-first.written
	close(first.through)
	if e := <-done; e.outcome != loadbalancer.Served || string(e.body) != "done two" {
		t.Fatalf("%+v", e)
	}
	if n := s.ran(); n != 2 {
		t.Errorf("%d runs of two sheets", n)
	}
}

// A keyed request whose connection ends without an answer and without a word of what was taken may have run: it is not sent again.
func TestKeyedRequestOnABrokenConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	tries, over := 0, make(chan struct{})
	go func() {
		defer close(over)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if n, _ := conn.Read(make([]byte, 4<<10)); n > 0 {
				mu.Lock()
				tries++
				mu.Unlock()
			}
			conn.Close()
		}
	}()
	p := &upstream{name: "s", addr: ln.Addr().String(), slots: make(chan struct{}, 4), dial: func(_ context.Context, addr string) (*msgpackrpc.Conn, error) {
		conn, err := net.Dial("tcp", addr)
		return msgpackrpc.NewConn(conn), err
	}}
	defer p.close()
	e, _ := p.send(t.Context(), msgpackrpc.Attempt{ID: "one", Class: "sheet", Key: "one", ReceivedAt: time.Now(), Timeout: 20 * time.Second, MemoryKB: 1, Body: []byte("x")})
	ln.Close()
	<-over
	mu.Lock()
	defer mu.Unlock()
	if e.outcome != loadbalancer.ConnectionLost || tries != 1 {
		t.Errorf("%+v after %d tries", e, tries)
	}
}

// A probe that nobody answers is over after its time and counts as missed.
func TestHealthCheckWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := cells.Server{Name: "s", Addr: "nowhere", Cell: "a", Weight: 1, JoinsAt: time.Now().UnixMilli()}
		r, err := New(Config{Name: "r", Cores: 1, HealthCheckInterval: time.Second, MaxConnections: 10, Source: fixedMap{&cells.Map{
			Version: 1, KeyWindow: 10 * time.Second, Lease: time.Hour, CallerTimeout: 4 * time.Second, Cells: []cells.Cell{{Name: "a"}},
			Servers: []cells.Server{s}, Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}},
		}}, Dial: func(context.Context, string) (*msgpackrpc.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }() // until the other end closes
			return msgpackrpc.NewConn(near), nil
		}}, &router{ends: map[string]core.Answer{}}, log.New(io.Discard, "", 0), &metrics.Counters{})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		for n := range 10 {
			began := time.Now()
			r.checkHealth(t.Context(), s)
			if d := time.Since(began); d != healthCheckTimeout {
				t.Fatalf("probe %d took %v", n, d)
			}
		}
		if states, _ := r.States(); len(states) != 1 || states[0].Health != loadbalancer.Dead {
			t.Errorf("%+v", states)
		}
	})
}
