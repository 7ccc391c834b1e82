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

// play runs a test on a listener of at most two connections. Its handler reads until the end; a byte opens
// requests, as many as the byte says.
func play(t *testing.T, idle time.Duration, test func(l *Listener, dial func() net.Conn, left func() int)) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		var mu sync.Mutex
		asked := 0
		handle := func(conn net.Conn, s *Slot) {
			s.OnDrain(func() {
				mu.Lock()
				defer mu.Unlock()
				asked++
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
			near := p.Dial()
			all = append(all, near)
			synctest.Wait()
			return near
		}, func() int {
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			return asked
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

// Over the budget the connection that has idled longest makes room, never one with a request open.
func TestBudget(t *testing.T) {
	play(t, 0, func(l *Listener, dial func() net.Conn, _ func() int) {
		a, b := dial(), dial()
		a.Write([]byte{1})
		c := dial() // waits until b may go
		time.Sleep(time.Second)
		if closed(t, a) || !closed(t, b) || closed(t, c) || l.Connections() != 2 {
			t.Fatalf("%d connections", l.Connections())
		}
		c.Write([]byte{1})
		d := dial() // none idles: it waits
		time.Sleep(time.Minute)
		if closed(t, a) || closed(t, c) || l.Connections() != 2 {
			t.Fatal("a connection with a request open was closed")
		}
		a.Write([]byte{0})
		time.Sleep(time.Second)
		if !closed(t, a) || closed(t, d) {
			t.Fatal("the one that had become idle did not make room")
		}
	})
}

// Who has asked nothing goes before one that has, however long that idles, and who asked once before one that
// comes again: those that connect and say nothing must not push out the balancers.
func TestEvictionOrder(t *testing.T) {
	play(t, 0, func(l *Listener, dial func() net.Conn, _ func() int) {
		usual := dial()
		for range 3 {
			usual.Write([]byte{1})
			usual.Write([]byte{0})
		}
		time.Sleep(time.Minute)
		once := dial()
		once.Write([]byte{0})
		time.Sleep(time.Second)
		silent := dial() // pushes out the one that asked once
		time.Sleep(time.Second)
		if closed(t, usual) || !closed(t, once) {
			t.Fatal("who asked once stays, or who comes again goes")
		}
		last := dial()
		time.Sleep(time.Second)
		if closed(t, usual) || !closed(t, silent) || closed(t, last) {
			t.Fatal("who said nothing stays, or who comes again goes")
		}
	})
}

// Lines about peers are few, however many peers there are.
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
			t.Fatalf("%d lines", n)
		}
	})
}

// Idle connections are asked to leave, once, and those with requests open are not.
func TestIdle(t *testing.T) {
	play(t, time.Second, func(_ *Listener, dial func() net.Conn, left func() int) {
		a := dial()
		dial()
		a.Write([]byte{1})
		time.Sleep(900 * time.Millisecond)
		if left() != 0 {
			t.Fatal("asked too early")
		}
		time.Sleep(5 * time.Second)
		if n := left(); n != 1 {
			t.Fatalf("%d asked, want 1", n)
		}
	})
}

// In a drain all peers are asked to leave, those that come later too.
func TestDrain(t *testing.T) {
	play(t, 0, func(l *Listener, dial func() net.Conn, left func() int) {
		dial().Write([]byte{1})
		l.Drain()
		if n := left(); n != 1 {
			t.Fatalf("%d asked, want 1", n)
		}
		dial()
		if n := left(); n != 2 {
			t.Fatalf("%d asked, want 2", n)
		}
	})
}

// floods plays a listener of eight connections, one of them reserved, whose peers ask something cheap with a 1 and open
// work with a 2, and are answered with the same byte, or a 0 where the connection may carry no work.
func floods(t *testing.T, test func(l *Listener, dial func() net.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		handle := func(conn net.Conn, s *Slot) {
			for b := []byte{0}; ; s.EndMessage() {
				if _, err := conn.Read(b); err != nil || !s.BeginMessage() {
					return
				}
				if b[0] == 1 {
					s.PaceCheapCall()
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
			near := p.Dial()
			all = append(all, near)
			synctest.Wait()
			return near
		})
		l.Close()
		for _, c := range all {
			c.Close()
		}
	})
}

func say(t *testing.T, c net.Conn, b byte) (byte, time.Duration) {
	t.Helper()
	began := time.Now()
	if _, err := c.Write([]byte{b}); err != nil {
		t.Fatal(err)
	}
	a := []byte{9}
	if _, err := c.Read(a); err != nil {
		t.Fatal(err)
	}
	return a[0], time.Since(began)
}

// When work holds all the connections that it may have, the next who brings work is told so at once, and who asks what
// is cheap is answered.
func TestReserveOfConnections(t *testing.T) {
	floods(t, func(l *Listener, dial func() net.Conn) {
		for range 7 {
			if a, _ := say(t, dial(), 2); a != 2 {
				t.Fatal("work is turned away while there is room for it")
			}
		}
		last := dial()
		if a, _ := say(t, last, 2); a != 0 {
			t.Error("work in the reserve")
		}
		if a, took := say(t, last, 1); a != 1 || took > 0 {
			t.Errorf("a cheap call: %d after %v", a, took)
		}
		if st, on := l.Reserved(); !on || st.Working != 7 || st.WorkRejected != 1 {
			t.Errorf("%+v, %v", st, on)
		}
	})
}

// Peers that only ask what is cheap, at full speed, fill every connection: each is held to its part, and a new
// connection takes the place of the one furthest beyond it, so that a quiet peer is answered at once.
func TestReserveUnderAFlood(t *testing.T) {
	floods(t, func(l *Listener, dial func() net.Conn) {
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
		if st, _ := l.Reserved(); st.Cheap > 3*400*3/2 || st.Delayed == 0 {
			t.Errorf("%d cheap calls in 3 s with 400 a second for all, %d paced", st.Cheap, st.Delayed)
		}
		quiet := dial()
		if a, took := say(t, quiet, 1); a != 1 || took > 50*time.Millisecond {
			t.Errorf("a quiet peer's call: %d after %v", a, took)
		}
		close(stop)
		time.Sleep(2 * time.Second)
	})
}

// A smaller budget holds at once for those that idle, the least missed first; what has a request open stays.
func TestSetMaxConnections(t *testing.T) {
	play(t, 0, func(l *Listener, dial func() net.Conn, _ func() int) {
		l.SetMaxConnections(4)
		var all []net.Conn
		for range 4 {
			all = append(all, dial())
		}
		for _, c := range all[:2] {
			c.Write([]byte{1}) // a request is open
		}
		all[3].Write([]byte{0}) // has asked once
		synctest.Wait()
		time.Sleep(2 * minIdleBeforeEviction)
		l.SetMaxConnections(3)
		synctest.Wait()
		for i, want := range []bool{false, false, true, false} {
			if closed(t, all[i]) != want {
				t.Errorf("connection %d: closed is %v", i, !want)
			}
		}
		l.SetMaxConnections(1)
		synctest.Wait()
		if n := l.Connections(); n != 2 || !closed(t, all[3]) {
			t.Errorf("%d connections, want the two with requests", n)
		}
	})
}
