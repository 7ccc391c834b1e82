package vault

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
)

// below is a stand-in for the vault: connections are pipes, and the test answers on them.
type below struct {
	*Client
	conns chan net.Conn
}

func newBelow() *below {
	b := &below{New("", 4), make(chan net.Conn, 8)}
	b.dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		b.conns <- far
		return near, nil
	}
	return b
}

// take reads one call.
func take(t *testing.T, r *bufio.Reader) string {
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
	io.ReadFull(r, body)
	return all.String() + string(body)
}

func TestOutcomes(t *testing.T) {
	for reply, want := range map[string]silverpath.Outcome{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                                silverpath.OK,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nok\r\n0\r\n\r\n": silverpath.OK,
		"HTTP/1.1 503 Busy\r\nX-Refused-Unseen: 1\r\nContent-Length: 0\r\n\r\n":         silverpath.Overloaded,
		"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n":                                silverpath.Failed,
		"HTTP/1.1 409 Conflict\r\nx-refused-unseen:1\r\nContent-Length: 0\r\n\r\n":      silverpath.Ignored,
		"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n":                               silverpath.Failed,
		"HTTP/1.1 504 Timeout\r\nContent-Length: 0\r\n\r\n":                             silverpath.TimedOut,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut":                               silverpath.Disconnected,
		"SSH-2.0\r\n":               silverpath.Disconnected,
		"":                          silverpath.Disconnected,
		"HTTP/1.1 200 OK\r\nbroken": silverpath.Disconnected,
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newBelow()
			go func() {
				conn := <-b.conns
				call := take(t, bufio.NewReader(conn))
				if call != "POST /v2/read HTTP/1.1\r\nHost: vault\r\nX-Ticket: id\r\nX-Max-Ms: 250\r\nContent-Length: 3\r\n\r\na\x00b" {
					t.Errorf("call %q", call)
				}
				io.WriteString(conn, reply)
				conn.Close()
			}()
			got, body := b.Call(t.Context(), "id", 250*time.Millisecond, []byte("a\x00b"))
			if got != want || got == silverpath.OK && string(body) != "ok" {
				t.Errorf("%q: outcome %v, body %q, want %v", reply, got, body, want)
			}
			time.Sleep(time.Minute) // the idle connection is swept
		})
	}
}

// A refused connection proves that no call ran, as does one never made for want of room.
func TestUnreachable(t *testing.T) {
	b := newBelow()
	b.dial = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
	if got, _ := b.Call(t.Context(), "id", time.Second, nil); got != silverpath.Unreachable {
		t.Fatalf("outcome %v", got)
	}
}

// Patience ends a call, and so does a second call for the same request; both close the connection.
func TestGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBelow()
		began := time.Now()
		if got, _ := b.Call(t.Context(), "id", 250*time.Millisecond, nil); got != silverpath.TimedOut || time.Since(began) != 250*time.Millisecond {
			t.Fatalf("outcome %v after %v", got, time.Since(began))
		}
		if _, err := io.ReadAll(<-b.conns); err != nil {
			t.Fatal(err)
		}
		first := make(chan silverpath.Outcome)
		go func() {
			got, _ := b.Call(t.Context(), "id", time.Second, nil)
			first <- got
		}()
		synctest.Wait()
		go b.Call(t.Context(), "id", time.Second, nil)
		if got := <-first; got != silverpath.Canceled || time.Since(began) != 250*time.Millisecond {
			t.Fatalf("the first call: %v after %v", got, time.Since(began))
		}
		time.Sleep(time.Minute)
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.calls) != 0 {
			t.Fatalf("%d calls are remembered", len(b.calls))
		}
	})
}

// A connection serves one call after another, and none idles for as long as the other side would keep it.
func TestIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBelow()
		serve := func(conn net.Conn, r *bufio.Reader) {
			take(t, r)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
		var conn net.Conn
		go func() {
			conn = <-b.conns
			r := bufio.NewReader(conn)
			serve(conn, r)
			serve(conn, r)
		}()
		for range 2 {
			if got, _ := b.Call(t.Context(), "id", time.Second, nil); got != silverpath.OK {
				t.Fatalf("outcome %v", got)
			}
			time.Sleep(2 * time.Second)
		}
		time.Sleep(7 * time.Second)
		b.mu.Lock()
		idle := len(b.idle)
		b.mu.Unlock()
		if idle != 0 {
			t.Fatal("a connection idles for 9 s")
		}
		if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("the other side reads %v", err)
		}
	})
}

func FuzzReply(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("HTTP/1.1 503 Busy\r\nX-Refused-Unseen: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffff\r\n")
	f.Add("HTTP/1.0 200 OK\r\n\r\nto the end")
	f.Fuzz(func(t *testing.T, in string) {
		status, _, _, body, err := readReply(bufio.NewReader(strings.NewReader(in)))
		if err == nil && (status < 200 || status > 599 || len(body) > longestBody) {
			t.Fatal("a reply beyond its bounds")
		}
	})
}
