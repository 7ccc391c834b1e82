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

// gatedConn is a connection whose received data is held back until the test opens it.
type gatedConn struct {
	net.Conn
	mu       sync.Mutex
	open     chan struct{} // closed while nothing is held back
	received chan struct{} // signals each read while data is held back
	written  chan struct{} // signals each write while data is held back
}

func (g *gatedConn) gate() (open chan struct{}, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		return g.open, false
	default:
		return g.open, true
	}
}

func (g *gatedConn) Read(b []byte) (int, error) {
	n, err := g.Conn.Read(b)
	if open, closed := g.gate(); closed {
		g.received <- struct{}{}
		<-open
	}
	return n, err
}

func (g *gatedConn) Write(b []byte) (int, error) {
	n, err := g.Conn.Write(b)
	if _, closed := g.gate(); closed {
		g.written <- struct{}{}
	}
	return n, err
}

// A keyed request is written to an idle connection at the moment at which the server closes it. The server's last message says which
// requests it has processed, which proves that this one has not run: it must be sent again on a new connection and run once, instead of
// failing.
func TestKeyedRequestCrossesTheEndOfAnIdleConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quiet, counters := log.New(io.Discard, "", 0), &metrics.Counters{}
	s := &testServer{}
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
	var first *gatedConn
	ended := make(chan struct{}) // closed when the server has no connection; until then EndConnections ends new ones too
	u := &upstream{name: "s", addr: ln.Addr().String(), slots: make(chan struct{}, 4), dial: func(ctx context.Context, addr string) (*msgpackrpc.Conn, error) {
		if first != nil {
			<-ended
		}
		conn, err := net.Dial("tcp", addr)
		if err != nil || first != nil {
			return msgpackrpc.NewConn(conn), err
		}
		first = &gatedConn{Conn: conn, open: make(chan struct{}), received: make(chan struct{}, 10), written: make(chan struct{}, 10)}
		close(first.open)
		return msgpackrpc.NewConn(first), nil
	}}
	defer u.close()
	send := func(id string) attemptResult {
		res, _ := u.send(t.Context(), msgpackrpc.Attempt{ID: id, Class: "sheet", Key: id, ReceivedAt: time.Now(), Timeout: 4 * time.Second, MemoryKB: 1, Body: []byte(id)})
		return res
	}
	if res := send("one"); res.outcome != loadbalancer.Served {
		t.Fatalf("%+v", res)
	}
	first.mu.Lock()
	first.open = make(chan struct{})
	first.mu.Unlock()
	go func() {
		l.EndConnections(10 * time.Second) // closes the connection as soon as it is idle
		close(ended)
	}()
	<-first.received // the server's last message has arrived and is held back from the router
	done := make(chan attemptResult)
	go func() { done <- send("two") }()
	<-first.written
	close(first.open)
	if res := <-done; res.outcome != loadbalancer.Served || string(res.body) != "done two" {
		t.Fatalf("%+v", res)
	}
	if n := s.ran(); n != 2 {
		t.Errorf("%d runs of two requests", n)
	}
}

// A connection ends without an answer and without a message about what was processed. A keyed request on it may have run and must not be
// sent again.
func TestKeyedRequestOnABrokenConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	attempts, closed := 0, make(chan struct{})
	go func() {
		defer close(closed)
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if n, _ := conn.Read(make([]byte, 4<<10)); n > 0 {
				mu.Lock()
				attempts++
				mu.Unlock()
			}
			conn.Close()
		}
	}()
	u := &upstream{name: "s", addr: ln.Addr().String(), slots: make(chan struct{}, 4), dial: func(_ context.Context, addr string) (*msgpackrpc.Conn, error) {
		conn, err := net.Dial("tcp", addr)
		return msgpackrpc.NewConn(conn), err
	}}
	defer u.close()
	res, _ := u.send(t.Context(), msgpackrpc.Attempt{ID: "one", Class: "sheet", Key: "one", ReceivedAt: time.Now(), Timeout: 20 * time.Second, MemoryKB: 1, Body: []byte("x")})
	ln.Close()
	<-closed
	mu.Lock()
	defer mu.Unlock()
	if res.outcome != loadbalancer.ConnectionLost || attempts != 1 {
		t.Errorf("%+v after %d attempts", res, attempts)
	}
}

// A health check without an answer must end at its timeout and count as failed. Otherwise a server that accepts connections and does not
// answer would stay alive.
func TestHealthCheckWithoutAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := cells.Server{Name: "s", Addr: "nowhere", Cell: "a", Weight: 1, JoinsAt: time.Now().UnixMilli()}
		r, err := New(Config{Name: "r", Cores: 1, HealthCheckInterval: time.Second, MaxConnections: 10, Source: fixedMap{&cells.Map{
			Version: 1, KeyWindow: 10 * time.Second, Lease: time.Hour, CallerTimeout: 4 * time.Second, Cells: []cells.Cell{{Name: "a"}},
			Servers: []cells.Server{s}, Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}},
		}}, Dial: func(context.Context, string) (*msgpackrpc.Conn, error) {
			client, server := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, server) }() // until the other end closes the connection
			return msgpackrpc.NewConn(client), nil
		}}, &fakeCore{answers: map[string]core.Answer{}}, log.New(io.Discard, "", 0), &metrics.Counters{})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		for n := range 10 {
			startedAt := time.Now()
			r.checkHealth(t.Context(), s)
			if d := time.Since(startedAt); d != healthCheckTimeout {
				t.Fatalf("health check %d took %v", n, d)
			}
		}
		if states, _ := r.States(); len(states) != 1 || states[0].Health != loadbalancer.Dead {
			t.Errorf("%+v", states)
		}
	})
}
