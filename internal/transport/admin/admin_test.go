package admin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath/internal/metrics"
	"silverpath/internal/transport/linger"
)

// operated notes what it is asked.
type operated struct {
	mu    sync.Mutex
	made  []string
	never bool // says no
}

func (o *operated) note(what string) (bool, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.made = append(o.made, what)
	return !o.never, what
}
func (o *operated) Ready() (bool, string)    { return o.note("ready") }
func (o *operated) Evacuate() (bool, string) { return o.note("evacuate") }
func (o *operated) Rejoin() (bool, string)   { return o.note("rejoin") }

func serve(t *testing.T) (*Server, *operated, *metrics.Counters) {
	t.Helper()
	op, counters := &operated{}, &metrics.Counters{}
	s, err := Listen("127.0.0.1:0", MaxConnections, op, log.New(io.Discard, "", 0), counters)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s, op, counters
}

// say sends a text and returns all that comes back.
func say(t *testing.T, s *Server, parts ...string) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	for _, p := range parts {
		if _, err := io.WriteString(conn, p); err != nil {
			t.Fatal(err)
		}
	}
	b, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("%q: %v", parts, err)
	}
	return string(b)
}

// Every kind of call has its own answer, with one line that says why, and its counter.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		text, status, why, counter string
	}{
		{"GET /api/ready HTTP/1.1\r\nX: no\r\n\r\n", "503", "ready", "calls.mgmt.ready.no"},
		{"POST /api/evacuate HTTP/1.1\r\nX: no\r\n\r\n", "409", "evacuate", "calls.mgmt.evacuate.no"},
		{"POST /api/rejoin HTTP/1.1\r\nX: no\r\n\r\n", "409", "rejoin", "calls.mgmt.rejoin.no"},
		{"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", "200 OK", "ready", "calls.mgmt.ready.yes"},
		{"GET /api/ready?x=1 HTTP/1.0\n\n", "200 OK", "ready", "calls.mgmt.ready.yes"},
		{"POST /api/evacuate HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", "200 OK", "evacuate", "calls.mgmt.evacuate.yes"},
		{"POST /api/rejoin HTTP/1.1\r\n\r\n", "200 OK", "rejoin", "calls.mgmt.rejoin.yes"},
		{"POST /api/rejoin HTTP/1.1\r\n\r\nPOST /api/evacuate HTTP/1.1\r\n\r\n", "200 OK", "rejoin", "pipelined.mgmt"},
		{"GET /api/ever HTTP/1.1\r\n\r\n", "404 Not Found", "no such call", "bad_call.mgmt.unknown_path"},
		{"GET /api/evacuate HTTP/1.1\r\n\r\n", "405 Method Not Allowed", "call it with POST", "bad_call.mgmt.wrong_method"},
		{"POST /api/ready HTTP/1.1\r\n\r\n", "405 Method Not Allowed", "call it with GET", "bad_call.mgmt.wrong_method"},
		{"nonsense\r\n\r\n", "400 Bad Request", "first line", "bad_call.mgmt.malformed"},
		{"GET  /api/ready HTTP/1.1\r\n\r\n", "400 Bad Request", "first line", "bad_call.mgmt.malformed"},
		{"GET /api/ready HTTP/2\r\n\r\n", "505", "not HTTP/1.1", "bad_call.mgmt.malformed"},
		{"GET /api/ready HTTP/1.1\r\nno colon\r\n\r\n", "400", "NAME: VALUE", "bad_call.mgmt.malformed"},
		{"POST /api/rejoin HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "400", "Content-Length", "bad_call.mgmt.malformed"},
		{"POST /api/rejoin HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400", "Content-Length", "bad_call.mgmt.malformed"},
		{"POST /api/rejoin HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "411", "Content-Length", "bad_call.mgmt.malformed"},
		{"POST /api/rejoin HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", "413", "4 KiB", "bad_call.mgmt.too_large"},
		{"GET /" + strings.Repeat("x", 9000) + " HTTP/1.1\r\n\r\n", "431", "4 KiB", "bad_call.mgmt.too_large"},
		{"GET /api/ready HTTP/1.1\r\n" + strings.Repeat("a: b\r\n", 900) + "\r\n", "431", "4 KiB", "bad_call.mgmt.too_large"},
	} {
		s, op, counters := serve(t)
		op.never = strings.Contains(c.text, "X: no")
		got := say(t, s, c.text)
		head, body, _ := strings.Cut(got, "\r\n\r\n")
		if !strings.HasPrefix(head, "HTTP/1.1 "+c.status) || !strings.Contains(body, c.why) || strings.Count(body, "\n") != 1 ||
			!strings.Contains(head, fmt.Sprintf("Content-Length: %d\r\n", len(body))) || !strings.Contains(head, "Connection: close") {
			t.Errorf("%.60q: %q", c.text, got)
		}
		if counters.Get(c.counter) != 1 {
			t.Errorf("%.60q: %s is not counted: %v", c.text, c.counter, counters.Snapshot())
		}
		if wrong := !strings.HasPrefix(c.status, "200") && !op.never; wrong == (len(op.made) > 0) || len(op.made) > 1 {
			t.Errorf("%.60q: made %v", c.text, op.made)
		}
	}
}

const whole = "POST /api/evacuate HTTP/1.1\r\nHost: edge\r\nContent-Length: 7\r\n\r\n{\"a\":1}"

// A call that comes cut at any byte is made as if it came whole, and one that ends there is not made.
func TestEveryCut(t *testing.T) {
	s, op, counters := serve(t)
	for i := 1; i < len(whole); i++ {
		conn, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, whole[:i])
		conn.Close()
		if got := say(t, s, whole[:i], whole[i:]); !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Fatalf("cut at %d: %q", i, got)
		}
	}
	if len(op.made) != len(whole)-1 {
		t.Errorf("%d calls made, want %d", len(op.made), len(whole)-1)
	}
	for deadline := time.Now().Add(5 * time.Second); counters.Get("cut_short", Name) != uint64(len(whole)-1); {
		if time.Now().After(deadline) {
			t.Fatalf("%d counted as cut short", counters.Get("cut_short", Name))
		}
		time.Sleep(time.Millisecond)
	}
}

// Callers that never finish keep nobody out, and hold no more than their few places.
func TestStalledCallersAreEvicted(t *testing.T) {
	s, _, counters := serve(t)
	for i := range 50 {
		conn, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, whole[:i])
	}
	began := time.Now()
	if got := say(t, s, whole); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Fatal(got)
	}
	if took := time.Since(began); took >= time.Second {
		t.Errorf("answered after %v", took)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) > MaxConnections || counters.Get("evicted", Name) < 50-MaxConnections {
		t.Errorf("%d places, %d evicted", len(s.conns), counters.Get("evicted", Name))
	}
}

// A call whose bytes have come keeps its place, though it is the oldest and its goroutine has had no turn yet; one that
// sends a byte now and then does not keep it for ever.
func TestUnreadCallIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Server{maxConns: 2, stats: &metrics.Counters{}, released: make(chan struct{}, 1)}
	for _, text := range []string{whole, ""} {
		near, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer near.Close()
		far, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer far.Close()
		io.WriteString(near, text)
		p := &callerConn{conn: far, acceptedAt: time.Now().Add(-minCallTime)}
		unread := func() bool { return linger.Peek(far) == linger.Unread }
		for deadline := time.Now().Add(10 * time.Second); unread() != (text != ""); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("unread is %v of %q", unread(), text)
			}
		}
		s.conns = append(s.conns, p)
	}
	first := s.conns[0]
	if s.awaitCapacity(); len(s.conns) != 1 || s.conns[0] != first || first.evicted {
		t.Fatal("the call whose bytes have come gave way")
	}
	s.maxConns, first.acceptedAt = 1, time.Now().Add(-maxCallTime)
	if s.awaitCapacity(); len(s.conns) != 0 || !first.evicted {
		t.Error("a place is kept for ever")
	}
}

func FuzzHead(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("GET /api/ready HTTP/1.0\n\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 18446744073709551616\r\n\r\n"))
	f.Add([]byte(" / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := readHead(bufio.NewReaderSize(strings.NewReader(string(b)), maxHeadBytes))
		var bad *rejection
		switch {
		case err == nil:
			if c.method == "" || !strings.HasPrefix(c.path, "/") || c.body < 0 || c.body > maxBodyBytes || len(b) == 0 {
				t.Fatalf("%q: %+v", b, c)
			}
		case errors.As(err, &bad):
			if reasons[bad.code] == "" || bad.message == "" || strings.Contains(bad.message, "\n") {
				t.Fatalf("%q: %+v", b, bad)
			}
		case !errors.Is(err, io.EOF):
			t.Fatalf("%q: %v", b, err)
		}
	})
}
