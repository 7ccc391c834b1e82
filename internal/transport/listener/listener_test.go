package listener

import (
	"errors"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/testkit/pipes"
)

// runWithListener runs test with a listener of at most two connections, in simulated time. The handler sets the number of requests in
// flight to the value of each byte that it reads. DrainNotices returns how often peers were asked to close their connections.
func runWithListener(t *testing.T, idle time.Duration, test func(l *Listener, dial func() net.Conn, drainNotices func() int)) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		var mu sync.Mutex
		notices := 0
		handle := func(conn net.Conn, s *Slot) {
			s.OnDrain(func() {
				mu.Lock()
				defer mu.Unlock()
				notices++
			})
			for b := []byte{0}; ; s.EndMessage() {
				if _, err := conn.Read(b); err != nil || !s.BeginMessage() {
					return
				}
				s.SetInFlight(int(b[0]))
			}
		}
		l := New("test", p, 2, func() time.Duration { return idle }, handle, log.New(io.Discard, "", 0), &metrics.Counters{})
		go l.Serve()
		var all []net.Conn
		test(l, func() net.Conn {
			conn := p.Dial()
			all = append(all, conn)
			synctest.Wait()
			return conn
		}, func() int {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return notices
		})
		l.Close()
		for _, c := range all {
			c.Close()
		}
	})
}

func closed(t *testing.T, c net.Conn) bool {
	t.Helper()
	synctest.Wait()
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return errors.Is(err, io.EOF)
}

// For a new connection over the budget, the connection that has been idle longest is evicted, never one with a request in flight.
func TestBudget(t *testing.T) {
	runWithListener(t, 0, func(l *Listener, dial func() net.Conn, _ func() int) {
		a, b := dial(), dial()
		a.Write([]byte{1})
		c := dial() // waits until b may be evicted
		time.Sleep(time.Second)
		if closed(t, a) || !closed(t, b) || closed(t, c) || l.Connections() != 2 {
			t.Fatalf("%d connections", l.Connections())
		}
		c.Write([]byte{1})
		d := dial() // no connection is idle, so this one waits
		time.Sleep(time.Minute)
		if closed(t, a) || closed(t, c) || l.Connections() != 2 {
			t.Fatal("a connection with a request in flight was closed")
		}
		a.Write([]byte{0})
		time.Sleep(time.Second)
		if !closed(t, a) || closed(t, d) {
			t.Fatal("the connection that became idle was not evicted for the new one")
		}
	})
}

// Connections without any message are evicted before those with one message, and these before connections with several messages, however
// long the latter have been idle. Otherwise silent connections would displace balancers.
func TestEvictionOrder(t *testing.T) {
	runWithListener(t, 0, func(l *Listener, dial func() net.Conn, _ func() int) {
		frequent := dial()
		for range 3 {
			frequent.Write([]byte{1})
			frequent.Write([]byte{0})
		}
		time.Sleep(time.Minute)
		once := dial()
		once.Write([]byte{0})
		time.Sleep(time.Second)
		silent := dial() // evicts the connection with one message
		time.Sleep(time.Second)
		if closed(t, frequent) || !closed(t, once) {
			t.Fatal("connection with one message was not evicted, or the one with several messages was")
		}
		last := dial()
		time.Sleep(time.Second)
		if closed(t, frequent) || !closed(t, silent) || closed(t, last) {
			t.Fatal("silent connection was not evicted, or the one with several messages was")
		}
	})
}

// At most maxLinesPerWindow lines about peers are logged per second. Further events are counted as unlogged.
func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out strings.Builder
		l := New("test", pipes.Listen(), 2, nil, nil, log.New(&out, "", 0), &metrics.Counters{})
		s := &Slot{owner: l}
		for range 10 {
			for range 100 {
				s.LogPeer("exit")
			}
			time.Sleep(time.Second)
		}
		if n := strings.Count(out.String(), "\n"); n != 10*maxLinesPerWindow || l.stats.Get("unlogged", "test") != 1000-10*maxLinesPerWindow {
			t.Fatalf("%d lines logged in 10 s", n)
		}
	})
}

// The peer of an idle connection is asked once to close it. The peer of a connection with a request in flight is not asked.
func TestIdle(t *testing.T) {
	runWithListener(t, time.Second, func(_ *Listener, dial func() net.Conn, drainNotices func() int) {
		a := dial()
		dial()
		a.Write([]byte{1})
		time.Sleep(900 * time.Millisecond)
		if drainNotices() != 0 {
			t.Fatal("peer asked to leave before the idle timeout")
		}
		time.Sleep(5 * time.Second)
		if n := drainNotices(); n != 1 {
			t.Fatalf("%d idle peers asked to leave, want 1", n)
		}
	})
}

// A drain asks all peers to close their connections, including those that connect during the drain.
func TestDrain(t *testing.T) {
	runWithListener(t, 0, func(l *Listener, dial func() net.Conn, drainNotices func() int) {
		dial().Write([]byte{1})
		l.Drain()
		if n := drainNotices(); n != 1 {
			t.Fatalf("%d peers asked to leave, want 1", n)
		}
		dial()
		if n := drainNotices(); n != 2 {
			t.Fatalf("%d peers asked to leave, want 2", n)
		}
	})
}

// runWithReserve runs test with a listener of eight connections, one of them reserved, in simulated time. A byte of 1 is a cheap call, and
// a 2 is a request for work, which stays in flight. The answer is the same byte, or 0 if the connection may not carry work.
func runWithReserve(t *testing.T, test func(l *Listener, dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		handle := func(conn net.Conn, s *Slot) {
			for b := []byte{0}; ; s.EndMessage() {
				if _, err := conn.Read(b); err != nil || !s.BeginMessage() {
					return
				}
				if b[0] == 1 {
					s.ThrottleCheapCall()
				} else if !s.AdmitsWork() {
					b[0] = 0
				} else {
					s.SetInFlight(1)
				}
				if _, err := conn.Write(b); err != nil {
					return
				}
			}
		}
		l := New("test", p, 8, func() time.Duration { return 0 }, handle, log.New(io.Discard, "", 0), &metrics.Counters{})
		l.Reserve(admission.ReserveConfig{CheapRate: 400, CheapRatePerPeer: 50})
		go l.Serve()
		var all []net.Conn
		test(l, func() net.Conn {
			conn := p.Dial()
			all = append(all, conn)
			synctest.Wait()
			return conn
		})
		l.Close()
		for _, c := range all {
			c.Close()
		}
	})
}

func exchange(t *testing.T, c net.Conn, b byte) (byte, time.Duration) {
	t.Helper()
	startedAt := time.Now()
	if _, err := c.Write([]byte{b}); err != nil {
		t.Fatal(err)
	}
	a := []byte{9}
	if _, err := c.Read(a); err != nil {
		t.Fatal(err)
	}
	return a[0], time.Since(startedAt)
}

// When all connections that may carry work do, a further connection is reserved: it rejects work at once and answers cheap calls.
func TestReserveOfConnections(t *testing.T) {
	runWithReserve(t, func(l *Listener, dial func() net.Conn) {
		for range 7 {
			if a, _ := exchange(t, dial(), 2); a != 2 {
				t.Fatal("work was rejected on an unreserved connection")
			}
		}
		last := dial()
		if a, _ := exchange(t, last, 2); a != 0 {
			t.Error("work was accepted on a reserved connection")
		}
		if a, took := exchange(t, last, 1); a != 1 || took > 0 {
			t.Errorf("cheap call: answer %d after %v", a, took)
		}
		if st, on := l.ReserveState(); !on || st.Working != 7 || st.WorkRejected != 1 {
			t.Errorf("state of the reserve: %+v, %v", st, on)
		}
	})
}

// Peers that make cheap calls at full speed occupy every connection. Each is limited to its share, and a new connection replaces the one
// that exceeds its share most, so that the call of a quiet peer is answered at once.
func TestReserveUnderAFlood(t *testing.T) {
	runWithReserve(t, func(l *Listener, dial func() net.Conn) {
		stop := make(chan struct{})
		for range 8 {
			c := dial()
			go func() {
				a := []byte{1}
				for {
					select {
					case <-stop:
						return
					default:
					}
					if _, err := c.Write([]byte{1}); err != nil {
						return
					}
					if _, err := c.Read(a); err != nil {
						return
					}
				}
			}()
		}
		time.Sleep(3 * time.Second)
		if st, _ := l.ReserveState(); st.Cheap > 3*400*3/2 || st.Delayed == 0 {
			t.Errorf("%d cheap calls in 3 s at a limit of 400 per second, %d delayed", st.Cheap, st.Delayed)
		}
		quiet := dial()
		if a, took := exchange(t, quiet, 1); a != 1 || took > 50*time.Millisecond {
			t.Errorf("call of a quiet peer: answer %d after %v", a, took)
		}
		close(stop)
		time.Sleep(2 * time.Second)
	})
}

// Lowering the budget evicts idle connections at once, in the order of evictBefore. Connections with a request in flight stay.
func TestSetMaxConnections(t *testing.T) {
	runWithListener(t, 0, func(l *Listener, dial func() net.Conn, _ func() int) {
		l.SetMaxConnections(4)
		var all []net.Conn
		for range 4 {
			all = append(all, dial())
		}
		for _, c := range all[:2] {
			c.Write([]byte{1}) // a request is in flight
		}
		all[3].Write([]byte{0}) // has sent one message
		synctest.Wait()
		time.Sleep(2 * minIdleBeforeEviction)
		l.SetMaxConnections(3)
		synctest.Wait()
		for i, want := range []bool{false, false, true, false} {
			if closed(t, all[i]) != want {
				t.Errorf("connection %d: closed = %v", i, !want)
			}
		}
		l.SetMaxConnections(1)
		synctest.Wait()
		if n := l.Connections(); n != 2 || !closed(t, all[3]) {
			t.Errorf("%d connections, want the 2 with requests in flight", n)
		}
	})
}
