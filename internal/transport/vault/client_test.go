package vault

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/transport/linger"
)

// pipeClient is a client whose connections are pipes. The test takes the server's ends from conns and replies on them.
type pipeClient struct {
	*Client
	conns chan net.Conn
}

func newPipeClient() *pipeClient {
	c := &pipeClient{New("", 4), make(chan net.Conn, 8)}
	c.dial = func(context.Context, string, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		c.conns <- serverConn
		return clientConn, nil
	}
	return c
}

// readCall reads one call from a connection and returns its head and body.
func readCall(t *testing.T, r *bufio.Reader) string {
	t.Helper()
	var all strings.Builder
	n := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			t.Error(err)
			return ""
		}
		all.WriteString(line)
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			n = int(v[0] - '0')
		}
		if line == "\r\n" {
			break
		}
	}
	body := make([]byte, n)
	_, _ = io.ReadFull(r, body)
	return all.String() + string(body)
}

func TestOutcomes(t *testing.T) {
	for reply, want := range map[string]silverpath.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                silverpath.OK,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nok\r\n0\r\n\r\n": silverpath.OK,
		"HTTP/1.1 503 Busy\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n":         silverpath.Overloaded,
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n":                                silverpath.Failed,
		"HTTP/1.1 409 Conflict\r\nx-refused-unseen:1\r\nContent-Length: 0\r\n\r\n":      silverpath.NotStarted,
		"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n":                               silverpath.Failed,
		"HTTP/1.1 504 Timeout\r\nContent-Length: 0\r\n\r\n":                             silverpath.TimedOut,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut":                               silverpath.Disconnected,
		"SSH-2.0\r\n":               silverpath.Disconnected,
		"":                          silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nbroken": silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\n\r\nto the end, or broken off":                                                                   silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nok":                                                                     silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno":                       silverpath.Disconnected,
		"HTTP/1.1 299 Odd\r\nContent-Length: 2\r\n\r\nok":                                                                    silverpath.Failed,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok": silverpath.OK,
		"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok":                                                            silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok":                                                                    silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok":                                                silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nok":                                                silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n":                     silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 1000) + "\r\n":                                                    silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 100000):                                                               silverpath.Disconnected,
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 50) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":               silverpath.Disconnected,
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newPipeClient()
			go func() {
				conn := <-c.conns
				call := readCall(t, bufio.NewReader(conn))
				if call != "POST /v2/read HTTP/1.1\r\nHost: vault\r\nX-Ticket: id\r\nX-Max-Ms: 250\r\nContent-Length: 3\r\n\r\na\x00b" {
					t.Errorf("call %q", call)
				}
				io.WriteString(conn, reply)
				conn.Close()
			}()
			got, body := c.Call(t.Context(), "id", 250*time.Millisecond, []byte("a\x00b"), false)
			if got != want || got == silverpath.OK && string(body) != "ok" {
				t.Errorf("%q: outcome %v, body %q, want %v", reply, got, body, want)
			}
			time.Sleep(time.Minute) // until the idle connection is closed
		})
	}
}

// Surplus bytes after a reply, whenever they arrive, must close the connection and not be read as the reply to the next call.
// Otherwise a duplicated 503 would cause a call that has run to be repeated.
func TestSurplus(t *testing.T) {
	const ok, busy = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 503 Busy\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n"
	for name, reply := range map[string][]string{
		"duplicate": {busy + busy}, "garbage": {busy + "\x00\xffnoise"}, "late duplicate": {busy, busy}, "early close": {busy, ""},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan bool)
		go func() {
			for first := true; ; first = false {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				readCall(t, bufio.NewReader(conn))
				if !first {
					io.WriteString(conn, ok)
					continue
				}
				for _, part := range reply {
					if io.WriteString(conn, part); part == "" {
						conn.Close()
					}
					done <- true
				}
			}
		}()
		c := New(ln.Addr().String(), 4)
		go func() {
			if got, _ := c.Call(t.Context(), "a", 10*time.Second, nil, false); got != silverpath.Overloaded {
				t.Errorf("%s: first call: outcome %v, want Overloaded", name, got)
			}
			done <- true
		}()
		for range len(reply) + 1 {
			<-done
		}
		for len(reply) > 1 { // until the surplus bytes or the close have arrived
			c.mu.Lock()
			idle := len(c.idle) > 0 && linger.Peek(c.idle[0].Conn) == linger.Idle
			c.mu.Unlock()
			if !idle {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if got, body := c.Call(t.Context(), "b", 10*time.Second, nil, false); got != silverpath.OK || string(body) != "ok" {
			t.Errorf("%s: next call: outcome %v, body %q, want OK, \"ok\"", name, got, body)
		}
		ln.Close()
	}
}

// If a reused connection breaks before the reply, the server may have dropped it while it was idle, or the call may have run. Calls
// that may be repeated are repeated on a new connection, and at-most-once calls never use an idle connection.
func TestForgottenConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPipeClient()
		calls := 0
		go func() {
			for conn := range c.conns {
				go func() {
					for r := bufio.NewReader(conn); ; {
						if _, err := r.Peek(1); err != nil {
							return
						}
						readCall(t, r)
						if calls++; calls == 2 {
							conn.Close()
							return
						}
						io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
			}
		}()
		for n := range 2 {
			if got, _ := c.Call(t.Context(), "id", time.Second, nil, false); got != silverpath.OK {
				t.Fatalf("call %d: outcome %v", n, got)
			}
		}
		if calls != 3 {
			t.Fatalf("the server received %d calls, want 3 (the second one twice)", calls)
		}
		c.Call(t.Context(), "id", time.Second, nil, false)
		c.mu.Lock()
		idle := c.idle[0]
		c.mu.Unlock()
		if got, _ := c.Call(t.Context(), "id", time.Second, nil, true); got != silverpath.OK {
			t.Fatalf("outcome %v", got)
		}
		c.mu.Lock()
		if len(c.idle) != 1 || c.idle[0] != idle || idle.reused {
			t.Fatal("an at-most-once call reused an idle connection or left its own in the pool")
		}
		c.mu.Unlock()
		calls = 1
		if got, _ := c.Call(t.Context(), "id", time.Second, nil, true); got != silverpath.Disconnected || calls != 2 {
			t.Fatalf("at-most-once call: outcome %v, received %d times, want Disconnected, once", got, calls-1)
		}
		time.Sleep(time.Minute)
		close(c.conns)
	})
}

// countedConn decrements the number of open connections when it is first closed.
type countedConn struct {
	net.Conn
	open *atomic.Int32
	once sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// The connections in use and the idle ones together never exceed the client's limit.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPipeClient()
		var open, maxOpen atomic.Int32
		c.dial = func(context.Context, string, string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			if n := open.Add(1); n > maxOpen.Load() {
				maxOpen.Store(n)
			}
			go func() {
				for r := bufio.NewReader(serverConn); ; {
					if _, err := r.Peek(1); err != nil {
						return
					}
					readCall(t, r)
					time.Sleep(100 * time.Millisecond)
					io.WriteString(serverConn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			return &countedConn{Conn: clientConn, open: &open}, nil
		}
		for n := range 40 {
			go c.Call(t.Context(), fmt.Sprint(n), time.Minute, nil, n%3 == 0)
			time.Sleep(time.Duration(n) * 7 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		if int(maxOpen.Load()) > cap(c.sem) || open.Load() != 0 {
			t.Fatalf("at most %d connections were open at once, and %d are still open", maxOpen.Load(), open.Load())
		}
	})
}

// After Redirect, calls go to the new address and reuse no connection to the old one. A call in progress ends on its old connection.
func TestRedirect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPipeClient()
		var dialed []string
		c.dial = func(_ context.Context, _, addr string) (net.Conn, error) {
			dialed = append(dialed, addr)
			clientConn, serverConn := net.Pipe()
			go func() {
				for r := bufio.NewReader(serverConn); ; {
					if _, err := r.Peek(1); err != nil {
						return
					}
					readCall(t, r)
					time.Sleep(time.Second)
					io.WriteString(serverConn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			return clientConn, nil
		}
		call := func() {
			if got, _ := c.Call(t.Context(), "id", 5*time.Second, nil, false); got != silverpath.OK {
				t.Errorf("outcome %v", got)
			}
		}
		c.Redirect("old")
		call()
		go call()
		time.Sleep(time.Millisecond)
		c.Redirect("new")
		time.Sleep(2 * time.Second)
		call()
		call()
		if want := []string{"old", "new"}; !slices.Equal(dialed, want) {
			t.Fatalf("dialed %q, want %q", dialed, want)
		}
		time.Sleep(time.Minute)
	})
}

// If the connection is refused, the call never ran, and its outcome is Unreachable.
func TestUnreachable(t *testing.T) {
	c := newPipeClient()
	c.dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	if got, _ := c.Call(t.Context(), "id", time.Second, nil, false); got != silverpath.Unreachable {
		t.Fatalf("outcome %v", got)
	}
}

// A call is ended by its timeout and by a second call for the same request. Both close the connection.
func TestCancelledCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPipeClient()
		startedAt := time.Now()
		if got, _ := c.Call(t.Context(), "id", 250*time.Millisecond, nil, false); got != silverpath.TimedOut || time.Since(startedAt) != 250*time.Millisecond {
			t.Fatalf("outcome %v after %v", got, time.Since(startedAt))
		}
		if _, err := io.ReadAll(<-c.conns); err != nil {
			t.Fatal(err)
		}
		first := make(chan silverpath.Outcome)
		go func() {
			got, _ := c.Call(t.Context(), "id", time.Second, nil, false)
			first <- got
		}()
		synctest.Wait()
		go c.Call(t.Context(), "id", time.Second, nil, false)
		if got := <-first; got != silverpath.Canceled || time.Since(startedAt) != 250*time.Millisecond {
			t.Fatalf("first call: outcome %v after %v, want Canceled at once", got, time.Since(startedAt))
		}
		time.Sleep(time.Minute)
		c.mu.Lock()
		defer c.mu.Unlock()
		if len(c.calls) != 0 {
			t.Fatalf("%d ended calls are still in the call table", len(c.calls))
		}
	})
}

// A connection is reused for consecutive calls. An idle connection is closed before the server's timeout of 10 s.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPipeClient()
		serve := func(conn net.Conn, r *bufio.Reader) {
			readCall(t, r)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		var conn net.Conn
		go func() {
			conn = <-c.conns
			r := bufio.NewReader(conn)
			serve(conn, r)
			serve(conn, r)
		}()
		for range 2 {
			if got, _ := c.Call(t.Context(), "id", time.Second, nil, false); got != silverpath.OK {
				t.Fatalf("outcome %v", got)
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(7 * time.Second)
		c.mu.Lock()
		idle := len(c.idle)
		c.mu.Unlock()
		if idle != 0 {
			t.Fatal("a connection is still idle after 9 s")
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
			t.Fatalf("reading on the server's side: error %v, want EOF", err)
		}
	})
}

func FuzzReply(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 503 Busy\r\nX-Refused-Unseen: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n")
	f.Add("HTTP/1.0 200 OK\r\n\r\nto the end")
	f.Add("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n\x00\xff")
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: -2\r\nContent-Length: 2\r\n\r\nok")
	f.Fuzz(func(t *testing.T, in string) {
		r, err := readReply(bufio.NewReader(strings.NewReader(in)))
		if err == nil && (r.status < 200 || r.status > 599 || len(r.body) > maxBodyBytes) {
			t.Fatal("accepted a reply that exceeds its bounds")
		}
	})
}
