package fleet

import (
	"context"
	"io"
	"log"
	"net"
	"sync"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/front"
	"silverpath/internal/msgpackrpc"
	"silverpath/internal/routing"
	"silverpath/internal/stats"
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

// A connection to a server that rested, and that the server gives up in the very moment in which a sheet goes out on it, costs
// nothing: the server says what it took last, so the sheet is known not to have run, goes out on a new one and runs once.
func TestSheetCrossesTheEndOfRest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	quiet, counters := log.New(io.Discard, "", 0), &stats.Counters{}
	s := &server{}
	s.core, err = core.New(core.Config{MemoryMB: 64, Log: quiet, Stats: counters, Cell: true, Settings: silverpath.Settings{
		Cores: 8, MemoryKB: 1e6, CrowdLimit: 8, Advice: true, MaxAdvice: time.Second, Classes: classes}})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.core.Attach(s, nil); err != nil {
		t.Fatal(err)
	}
	s.core.Up()
	l := front.New("s", ln, 100, s.core.IdleAfter, msgpackrpc.New(s.core, quiet, counters).Serve, quiet, counters)
	go l.Serve()
	defer l.Close()
	defer s.core.Stop()
	var first *gate
	p := &peer{name: "s", addr: ln.Addr().String(), room: make(chan struct{}, 4), dial: func(ctx context.Context, addr string) (*msgpackrpc.Conn, error) {
		conn, err := net.Dial("tcp", addr)
		if err != nil || first != nil {
			return msgpackrpc.NewConn(conn), err
		}
		first = &gate{Conn: conn, through: make(chan struct{}), came: make(chan struct{}, 10), written: make(chan struct{}, 10)}
		close(first.through)
		return msgpackrpc.NewConn(first), nil
	}}
	defer p.close()
	send := func(id string) ending {
		e, _ := p.send(t.Context(), msgpackrpc.Try{ID: id, Class: "sheet", Key: id, Reached: time.Now(), Wait: 4 * time.Second, HeldKB: 1, Body: []byte(id)})
		return e
	}
	if e := send("one"); e.outcome != routing.Served {
		t.Fatalf("%+v", e)
	}
	first.mu.Lock()
	first.through = make(chan struct{})
	first.mu.Unlock()
	go l.End(10 * time.Second) // ends it as soon as it rests
	<-first.came               // what the server says last is here, and the router has not seen it
	done := make(chan ending)
	go func() { done <- send("two") }()
	<-first.written
	close(first.through)
	if e := <-done; e.outcome != routing.Served || string(e.body) != "done two" {
		t.Fatalf("%+v", e)
	}
	if n := s.ran(); n != 2 {
		t.Errorf("%d runs of two sheets", n)
	}
}
