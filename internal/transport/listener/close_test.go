package listener

import (
	"errors"
	"io"
	"log"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"silverpath/internal/metrics"
	"silverpath/internal/testkit/pipes"
	"silverpath/internal/transport/linger"
)

// echo serves lines of one byte over loopback: what is read is written back, once turn lets it. It notes what it has taken.
type echo struct {
	*Listener
	addr string
	turn chan struct{} // one token a byte that may be read; closed: all

	mu    sync.Mutex
	taken string
}

func newEcho(t *testing.T, most int) *echo {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{addr: ln.Addr().String(), turn: make(chan struct{}, 100)}
	e.Listener = New("test", ln, most, func() time.Duration { return 0 }, e.handle, log.New(io.Discard, "", 0), &metrics.Counters{})
	go e.Serve()
	t.Cleanup(e.Close)
	return e
}

func (e *echo) handle(conn net.Conn, s *Slot) {
	for b := []byte{0}; ; s.EndMessage() {
		<-e.turn
		if _, err := conn.Read(b); err != nil || !s.BeginMessage() {
			break
		}
		e.mu.Lock()
		e.taken += string(b)
		e.mu.Unlock()
		conn.Write(b)
	}
	s.CloseGracefully(nil)
}

func (e *echo) has() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.taken
}

func (e *echo) dial(t *testing.T, bytes string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", e.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.WriteString(c, bytes); err != nil {
		t.Fatal(err)
	}
	return c
}

func read(t *testing.T, c net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("read %q, %v; want %q", b, err, want)
	}
}

// ended reads the end of a connection: in good order, and not by a reset.
func ended(t *testing.T, c net.Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Fatalf("%d bytes and %v where the connection ends", n, err)
	}
}

// until waits for what an event of the other side brings about.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
	}
}

// slot is the one slot there is, once it has taken so many messages.
func (e *echo) slot(t *testing.T, asked int) (only *Slot) {
	t.Helper()
	until(t, "a connection that has asked", func() bool {
		e.Listener.mu.Lock()
		defer e.Listener.mu.Unlock()
		for s := range e.slots {
			if s.messages == asked && !s.handling {
				only = s
			}
		}
		return only != nil
	})
	return only
}

// What has come on a connection that rests, and was not read yet, keeps its place: it is answered.
func TestEvictionMeetsARequest(t *testing.T) {
	e := newEcho(t, 2)
	e.turn <- struct{}{}
	c := e.dial(t, "a")
	read(t, c, "a")
	s := e.slot(t, 1)
	io.WriteString(c, "b") // the handler has no turn to read it
	until(t, "the byte has come", func() bool { return linger.Peek(s.conn) == linger.Unread })
	if s.evict(0) {
		t.Fatal("a connection with a request that was not read gave way")
	}
	e.turn <- struct{}{}
	read(t, c, "b")
}

// What comes after the sending half has ended is read and not taken, and the client sees an end in good order.
func TestRequestAfterTheEnd(t *testing.T) {
	e := newEcho(t, 2)
	e.lingerTimeout = time.Minute // for as long as this test takes
	e.turn <- struct{}{}
	c := e.dial(t, "a")
	read(t, c, "a")
	s := e.slot(t, 1)
	if !s.evict(0) || s.evict(0) || !s.Evicted() {
		t.Fatal("one that rests does not give way, or twice")
	}
	ended(t, c)
	io.WriteString(c, "b") // in the instant of the end
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatalf("reset: %v", err)
	}
	close(e.turn)
	until(t, "the connection is gone", func() bool { return e.Connections() == 0 })
	if got := e.has(); got != "a" {
		t.Fatalf("taken %q: what can't be answered was taken", got)
	}
}

// A connection that was given up is closed soon, though its client ends nothing.
func TestEvictedConnectionIsClosed(t *testing.T) {
	e := newEcho(t, 2)
	close(e.turn)
	c := e.dial(t, "a")
	read(t, c, "a")
	if !e.slot(t, 1).evict(0) {
		t.Fatal("one that rests does not give way")
	}
	until(t, "the connection is gone", func() bool { return e.Connections() == 0 })
}

// The last answer arrives though more lies unread as the connection ends: it ends in good order.
func TestLingerOverUnread(t *testing.T) {
	e := newEcho(t, 2)
	e.turn <- struct{}{}
	c := e.dial(t, "a"+strings.Repeat("x", 20000))
	s := e.slot(t, 1)
	until(t, "the rest has come", func() bool { return linger.Peek(s.conn) == linger.Unread })
	e.Listener.mu.Lock()
	s.closing = true // as one that is told not to take any more
	e.Listener.mu.Unlock()
	e.turn <- struct{}{}
	read(t, c, "a")
	ended(t, c)
	c.Close()
	until(t, "the connection is gone", func() bool { return e.Connections() == 0 })
}

// A listener that closes takes in who waits already: their bytes may lie on this machine.
func TestCloseAcceptsPending(t *testing.T) {
	e := newEcho(t, 1)
	first := e.dial(t, "")
	until(t, "the first is served", func() bool { return e.Connections() == 1 })
	e.Listener.mu.Lock()
	for s := range e.slots {
		s.inFlight = 1 // so that it does not give way
	}
	e.Listener.mu.Unlock()
	second := e.dial(t, "b") // is accepted, and waits for room
	until(t, "the second waits", func() bool { return e.stats.Get("connections", "test") == 2 })
	third := e.dial(t, "c") // waits to be accepted
	e.Close()
	close(e.turn)
	io.WriteString(first, "a")
	read(t, first, "a")
	read(t, second, "b")
	read(t, third, "c")
	until(t, "the address is closed", func() bool {
		c, err := net.Dial("tcp", e.addr)
		if err == nil {
			c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
}

// At the end of the process connections that rest are ended in good order, those with a request once it is answered, and one
// that never is takes no longer than it may.
func TestEndConnections(t *testing.T) {
	e := newEcho(t, 4)
	close(e.turn)
	rests, busy, never := e.dial(t, "a"), e.dial(t, "b"), e.dial(t, "c")
	read(t, rests, "a")
	read(t, busy, "b")
	read(t, never, "c")
	until(t, "all are seen to", func() bool {
		e.Listener.mu.Lock()
		defer e.Listener.mu.Unlock()
		for s := range e.slots {
			if s.handling || s.messages != 1 {
				return false
			}
		}
		return len(e.slots) == 3
	})
	port := func(c net.Conn) *Slot {
		e.Listener.mu.Lock()
		defer e.Listener.mu.Unlock()
		for s := range e.slots {
			if s.conn.RemoteAddr().String() == c.LocalAddr().String() {
				return s
			}
		}
		t.Fatal("no slot")
		return nil
	}
	answering, open := port(busy), port(never)
	answering.SetInFlight(1)
	open.SetInFlight(1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.EndConnections(2 * time.Second)
	}()
	ended(t, rests)
	busy.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := busy.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("one with an open request was ended: %v", err)
	}
	busy.SetReadDeadline(time.Now().Add(20 * time.Second))
	answering.SetInFlight(0)
	ended(t, busy)
	<-done
	if open.Evicted() {
		t.Error("one with an open request was ended at last")
	}
}

// failing is a listener that is out of descriptors until a connection was given up.
type failing struct {
	net.Listener
	left int
	free func() bool
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left > 0 && !f.free() {
		f.left--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return f.Listener.Accept()
}

// One newcomer has one connection give way, however often room is looked for while that one lingers.
func TestOneEvictionForOneNewcomer(t *testing.T) {
	e := newEcho(t, 3)
	e.lingerTimeout = 300 * time.Millisecond
	close(e.turn)
	for range 3 {
		read(t, e.dial(t, "a"), "a")
	}
	until(t, "all have rested", func() bool {
		e.Listener.mu.Lock()
		defer e.Listener.mu.Unlock()
		n := 0
		for s := range e.slots {
			if s.idle(minIdleBeforeEviction) {
				n++
			}
		}
		return n == 3
	})
	c := e.dial(t, "b") // the clients that rest end nothing: one of them lingers for as long as it may
	for range 20 {
		select {
		case e.released <- struct{}{}: // as of one that was over before
		default:
		}
		time.Sleep(time.Millisecond)
	}
	read(t, c, "b")
	if n := e.stats.Get("evicted", "test"); n != 1 {
		t.Errorf("%d gave way for one", n)
	}
}

// Out of descriptors, accepting neither spins nor stops: the connection that is missed least gives way, one line a second says
// so, and who waits is served as soon as there is room.
func TestNoDescriptors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		var out strings.Builder
		var l *Listener
		f := &failing{Listener: p, free: func() bool { return l.stats.Get("evicted", "test") > 0 }}
		l = New("test", f, 100, func() time.Duration { return 0 }, func(conn net.Conn, s *Slot) {
			_, _ = io.Copy(io.Discard, conn)
		}, log.New(&out, "", 0), &metrics.Counters{})
		go l.Serve()
		idle, busy := p.Dial(), p.Dial()
		synctest.Wait()
		l.mu.Lock()
		for s := range l.slots {
			if s.id == 2 {
				s.inFlight = 1
			}
		}
		l.mu.Unlock()
		time.Sleep(minIdleBeforeEviction)
		f.left = 1000
		began := time.Now()
		wakes := p.Dial() // has the listener look again
		waits := p.Dial()
		synctest.Wait()
		time.Sleep(time.Second)
		synctest.Wait()
		if n := l.Connections(); n != 3 {
			t.Fatalf("%d connections %v after accepting failed, want 3", n, time.Since(began))
		}
		if !closed(t, idle) || closed(t, busy) {
			t.Error("the one with a request gave way, or none did")
		}
		f.free = func() bool { return false }
		f.left = 300
		third := p.Dial()
		p.Dial().Close()
		before := l.stats.Get("accept_failed", "test")
		time.Sleep(time.Second)
		if n := l.stats.Get("accept_failed", "test") - before; n > uint64(time.Second/acceptRetryDelay)+1 {
			t.Errorf("failed %d times within 1 s: it spins", n)
		}
		time.Sleep(9 * time.Second)
		if n := l.stats.Get("accept_failed", "test"); n < 200 || n > 302 {
			t.Errorf("failed %d times within 10 s", n)
		}
		if n := strings.Count(out.String(), "\n"); n > 12 {
			t.Errorf("%d lines in 11 s", n)
		}
		l.Close()
		for _, c := range []net.Conn{idle, busy, wakes, waits, third} {
			c.Close()
		}
	})
}

// A crowd that waits as the listener closes is taken in within the budget: what never asked gives way to who comes after it, and
// a request among the crowd is answered.
func TestCloseAcceptsACrowd(t *testing.T) {
	const most, crowd = 4, 24
	e := newEcho(t, most)
	e.acceptBacklogTimeout = time.Minute
	for range most {
		e.dial(t, "")
	}
	until(t, "the budget is full", func() bool { return e.Connections() == most })
	e.Listener.mu.Lock()
	for s := range e.slots {
		s.inFlight = 1 // nothing gives way until all of the crowd waits
	}
	e.Listener.mu.Unlock()
	e.dial(t, "") // is accepted, and waits for room
	until(t, "one waits for room", func() bool { return e.stats.Get("connections", "test") == most+1 })
	for range crowd {
		e.dial(t, "")
	}
	asks := e.dial(t, "q")
	e.Listener.mu.Lock()
	for s := range e.slots {
		s.inFlight = 0
	}
	e.Listener.mu.Unlock()
	e.Close()
	close(e.turn)
	peak := 0
	until(t, "the request among the crowd is answered", func() bool {
		peak = max(peak, e.Connections())
		return e.has() == "q"
	})
	read(t, asks, "q")
	if peak > most {
		t.Errorf("%d connections, of a budget of %d", peak, most)
	}
}
