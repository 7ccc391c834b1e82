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

// echo is a listener on loopback that writes each byte back. It reads a byte only after it has received a token, and records the bytes that
// it handled.
type echo struct {
	*Listener
	addr   string
	tokens chan struct{} // one token per byte that may be read; closed: no limit

	mu      sync.Mutex
	handled string
}

func newEcho(t *testing.T, maxConns int) *echo {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{addr: ln.Addr().String(), tokens: make(chan struct{}, 100)}
	e.Listener = New("test", ln, maxConns, func() time.Duration { return 0 }, e.handle, log.New(io.Discard, "", 0), &metrics.Counters{})
	go e.Serve()
	t.Cleanup(e.Close)
	return e
}

func (e *echo) handle(conn net.Conn, s *Slot) {
	for b := []byte{0}; ; s.EndMessage() {
		<-e.tokens
		if _, err := conn.Read(b); err != nil || !s.BeginMessage() {
			break
		}
		e.mu.Lock()
		e.handled += string(b)
		e.mu.Unlock()
		conn.Write(b)
	}
	s.CloseGracefully(nil)
}

func (e *echo) handledBytes() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.handled
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

func expectRead(t *testing.T, c net.Conn, want string) {
	t.Helper()
	b := make([]byte, len(want))
	if _, err := io.ReadFull(c, b); err != nil || string(b) != want {
		t.Fatalf("read %q, %v; want %q", b, err, want)
	}
}

// expectEOF reads from a connection and requires io.EOF, neither data nor a reset.
func expectEOF(t *testing.T, c net.Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Fatalf("read %d bytes, %v; want io.EOF", n, err)
	}
}

// waitUntil waits until condition returns true, for up to 20 seconds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// slot waits for a slot that has handled this number of messages, and returns it.
func (e *echo) slot(t *testing.T, messages int) (found *Slot) {
	t.Helper()
	waitUntil(t, "a connection has sent its messages", func() bool {
		e.Listener.mu.Lock()
		defer e.Listener.mu.Unlock()
		for s := range e.slots {
			if s.messages == messages && !s.handling {
				found = s
			}
		}
		return found != nil
	})
	return found
}

// An idle connection on which a request has arrived that was not read yet is not evicted, and the request is answered.
func TestEvictionMeetsARequest(t *testing.T) {
	e := newEcho(t, 2)
	e.tokens <- struct{}{}
	c := e.dial(t, "a")
	expectRead(t, c, "a")
	s := e.slot(t, 1)
	io.WriteString(c, "b") // the handler has no token to read it
	waitUntil(t, "the byte has arrived", func() bool { return linger.Peek(s.conn) == linger.Unread })
	if s.evict(0) {
		t.Fatal("a connection with an unread request was evicted")
	}
	e.tokens <- struct{}{}
	expectRead(t, c, "b")
}

// A request that arrives after an eviction has closed the sending half is read and not handled. The client sees io.EOF and no reset.
func TestRequestAfterTheEnd(t *testing.T) {
	e := newEcho(t, 2)
	e.lingerTimeout = time.Minute // longer than the test runs
	e.tokens <- struct{}{}
	c := e.dial(t, "a")
	expectRead(t, c, "a")
	s := e.slot(t, 1)
	if !s.evict(0) || s.evict(0) || !s.Evicted() {
		t.Fatal("an idle connection was not evicted, or was evicted twice")
	}
	expectEOF(t, c)
	io.WriteString(c, "b") // crosses the close
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatalf("closing the sending half: %v", err)
	}
	close(e.tokens)
	waitUntil(t, "the connection is gone", func() bool { return e.Connections() == 0 })
	if got := e.handledBytes(); got != "a" {
		t.Fatalf("handled %q: a request that can't be answered was handled", got)
	}
}

// An evicted connection is closed soon even if its client does not close its end.
func TestEvictedConnectionIsClosed(t *testing.T) {
	e := newEcho(t, 2)
	close(e.tokens)
	c := e.dial(t, "a")
	expectRead(t, c, "a")
	if !e.slot(t, 1).evict(0) {
		t.Fatal("an idle connection was not evicted")
	}
	waitUntil(t, "the connection is gone", func() bool { return e.Connections() == 0 })
}

// If unread bytes remain when the connection is closed, the last answer still arrives and the connection ends without a reset.
func TestLingerOverUnread(t *testing.T) {
	e := newEcho(t, 2)
	e.tokens <- struct{}{}
	c := e.dial(t, "a"+strings.Repeat("x", 20000))
	s := e.slot(t, 1)
	waitUntil(t, "the remaining bytes have arrived", func() bool { return linger.Peek(s.conn) == linger.Unread })
	e.Listener.mu.Lock()
	s.closing = true // as after an eviction: no further message is handled
	e.Listener.mu.Unlock()
	e.tokens <- struct{}{}
	expectRead(t, c, "a")
	expectEOF(t, c)
	c.Close()
	waitUntil(t, "the connection is gone", func() bool { return e.Connections() == 0 })
}

// Close must not lose connections in the backlog, whose first requests the kernel may already hold.
func TestCloseAcceptsPending(t *testing.T) {
	e := newEcho(t, 1)
	first := e.dial(t, "")
	waitUntil(t, "the first connection has a slot", func() bool { return e.Connections() == 1 })
	e.Listener.mu.Lock()
	for s := range e.slots {
		s.inFlight = 1 // prevents its eviction
	}
	e.Listener.mu.Unlock()
	second := e.dial(t, "b") // is accepted, and waits for a slot
	waitUntil(t, "the second connection is accepted", func() bool { return e.stats.Get("connections", "test") == 2 })
	third := e.dial(t, "c") // stays in the backlog
	e.Close()
	close(e.tokens)
	io.WriteString(first, "a")
	expectRead(t, first, "a")
	expectRead(t, second, "b")
	expectRead(t, third, "c")
	waitUntil(t, "the socket is closed", func() bool {
		c, err := net.Dial("tcp", e.addr)
		if err == nil {
			c.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
}

// EndConnections closes idle connections at once and without a reset, and a connection with a request when the request is answered. If a
// request is never answered, EndConnections returns after its timeout and leaves the connection open.
func TestEndConnections(t *testing.T) {
	e := newEcho(t, 4)
	close(e.tokens)
	idle, busy, unanswered := e.dial(t, "a"), e.dial(t, "b"), e.dial(t, "c")
	expectRead(t, idle, "a")
	expectRead(t, busy, "b")
	expectRead(t, unanswered, "c")
	waitUntil(t, "the first message of each connection is handled", func() bool {
		e.Listener.mu.Lock()
		defer e.Listener.mu.Unlock()
		for s := range e.slots {
			if s.handling || s.messages != 1 {
				return false
			}
		}
		return len(e.slots) == 3
	})
	slotOf := func(c net.Conn) *Slot {
		e.Listener.mu.Lock()
		defer e.Listener.mu.Unlock()
		for s := range e.slots {
			if s.conn.RemoteAddr().String() == c.LocalAddr().String() {
				return s
			}
		}
		t.Fatal("the connection has no slot")
		return nil
	}
	busySlot, unansweredSlot := slotOf(busy), slotOf(unanswered)
	busySlot.SetInFlight(1)
	unansweredSlot.SetInFlight(1)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.EndConnections(2 * time.Second)
	}()
	expectEOF(t, idle)
	busy.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := busy.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("read on a connection with a request in flight: %v, want a timeout", err)
	}
	busy.SetReadDeadline(time.Now().Add(20 * time.Second))
	busySlot.SetInFlight(0)
	expectEOF(t, busy)
	<-done
	if unansweredSlot.Evicted() {
		t.Error("a connection with a request in flight was closed after the timeout")
	}
}

// failing is a listener whose Accept fails up to failures times for lack of descriptors, while free returns false.
type failing struct {
	net.Listener
	failures int
	free     func() bool
}

func (f *failing) Accept() (net.Conn, error) {
	if f.failures > 0 && !f.free() {
		f.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return f.Listener.Accept()
}

// A new connection evicts only one connection, however often awaitCapacity looks for a slot while the evicted one lingers.
func TestOneEvictionForOneNewcomer(t *testing.T) {
	e := newEcho(t, 3)
	e.lingerTimeout = 300 * time.Millisecond
	close(e.tokens)
	for range 3 {
		expectRead(t, e.dial(t, "a"), "a")
	}
	waitUntil(t, "all connections are idle", func() bool {
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
	c := e.dial(t, "b") // idle clients do not close their ends, so the evicted connection lingers until its timeout
	for range 20 {
		select {
		case e.released <- struct{}{}: // as if an earlier connection had been released
		default:
		}
		time.Sleep(time.Millisecond)
	}
	expectRead(t, c, "b")
	if n := e.stats.Get("evicted", "test"); n != 1 {
		t.Errorf("%d connections evicted for one new one", n)
	}
}

// When the process is out of descriptors, accepting neither spins nor stops. An idle connection is evicted, the failure is logged at most
// once per second, and waiting connections are accepted when a descriptor is free.
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
		f.failures = 1000
		startedAt := time.Now()
		wakeup := p.Dial() // wakes the blocked Accept, so that the next one fails
		waiting := p.Dial()
		synctest.Wait()
		time.Sleep(time.Second)
		synctest.Wait()
		if n := l.Connections(); n != 3 {
			t.Fatalf("%d connections %v after accept began to fail, want 3", n, time.Since(startedAt))
		}
		if !closed(t, idle) || closed(t, busy) {
			t.Error("the connection with a request was evicted, or the idle one was not")
		}
		f.free = func() bool { return false }
		f.failures = 300
		third := p.Dial()
		p.Dial().Close()
		before := l.stats.Get("accept_failed", "test")
		time.Sleep(time.Second)
		if n := l.stats.Get("accept_failed", "test") - before; n > uint64(time.Second/acceptRetryDelay)+1 {
			t.Errorf("accept failed %d times within 1 s: it spins", n)
		}
		time.Sleep(9 * time.Second)
		if n := l.stats.Get("accept_failed", "test"); n < 200 || n > 302 {
			t.Errorf("accept failed %d times within 10 s", n)
		}
		if n := strings.Count(out.String(), "\n"); n > 12 {
			t.Errorf("%d lines logged in 11 s", n)
		}
		l.Close()
		for _, c := range []net.Conn{idle, busy, wakeup, waiting, third} {
			c.Close()
		}
	})
}

// After Close, the listener accepts a backlog with more connections than its limit without exceeding the limit: it evicts connections that
// have sent no message to make room for later ones. A request in the backlog is answered.
func TestCloseAcceptsACrowd(t *testing.T) {
	const maxConns, backlog = 4, 24
	e := newEcho(t, maxConns)
	e.acceptBacklogTimeout = time.Minute
	for range maxConns {
		e.dial(t, "")
	}
	waitUntil(t, "the budget is full", func() bool { return e.Connections() == maxConns })
	e.Listener.mu.Lock()
	for s := range e.slots {
		s.inFlight = 1 // prevents evictions until all connections are in the backlog
	}
	e.Listener.mu.Unlock()
	e.dial(t, "") // is accepted, and waits for a slot
	waitUntil(t, "one connection waits for a slot", func() bool { return e.stats.Get("connections", "test") == maxConns+1 })
	for range backlog {
		e.dial(t, "")
	}
	requester := e.dial(t, "q")
	e.Listener.mu.Lock()
	for s := range e.slots {
		s.inFlight = 0
	}
	e.Listener.mu.Unlock()
	e.Close()
	close(e.tokens)
	peak := 0
	waitUntil(t, "the request in the backlog is handled", func() bool {
		peak = max(peak, e.Connections())
		return e.handledBytes() == "q"
	})
	expectRead(t, requester, "q")
	if peak > maxConns {
		t.Errorf("%d connections exceed the budget of %d", peak, maxConns)
	}
}
