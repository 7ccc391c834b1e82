package front

import (
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"silverpath/internal/pipes"
	"silverpath/internal/stats"
)

// play runs a test on a listener of at most two connections. Its handler reads until the end; a byte opens
// requests, as many as the byte says.
func play(t *testing.T, idle time.Duration, test func(l *Listener, dial func() net.Conn, left func() int)) {
	synctest.Test(t, func(t *testing.T) {
		p := pipes.Listen()
		var mu sync.Mutex
		asked := 0
		handle := func(conn net.Conn, s *Slot) {
			s.OnLeave(func() {
				mu.Lock()
				defer mu.Unlock()
				asked++
			})
			for b := []byte{0}; ; s.Open(int(b[0])) {
				if _, err := conn.Read(b); err != nil {
					return
				}
				s.Asked()
			}
		}
		l := New("test", p, 2, func() time.Duration { return idle }, handle, log.New(io.Discard, "", 0), &stats.Counters{})
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
	return err == io.EOF
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
func TestWhoGoesFirst(t *testing.T) {
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
		l := New("test", pipes.Listen(), 2, nil, nil, log.New(&out, "", 0), &stats.Counters{})
		s := &Slot{owner: l}
		for range 10 {
			for range 100 {
				s.Logf("a line")
			}
			time.Sleep(time.Second)
		}
		if n := strings.Count(out.String(), "\n"); n != 10*mostLines || l.stats.Get("unlogged", "test") != 1000-10*mostLines {
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
