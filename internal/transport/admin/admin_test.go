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

// recordingOperator records the methods that are called.
type recordingOperator struct {
	mu      sync.Mutex
	calls   []string
	refuses bool // every method returns false
}

func (o *recordingOperator) record(call string) (bool, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.calls = append(o.calls, call)
	return !o.refuses, call
}
func (o *recordingOperator) Ready() (bool, string)    { return o.record("ready") }
func (o *recordingOperator) Evacuate() (bool, string) { return o.record("evacuate") }
func (o *recordingOperator) Rejoin() (bool, string)   { return o.record("rejoin") }

func serve(t *testing.T) (*Server, *recordingOperator, *metrics.Counters) {
	t.Helper()
	op, counters := &recordingOperator{}, &metrics.Counters{}
	s, err := Listen("127.0.0.1:0", MaxConnections, op, log.New(io.Discard, "", 0), counters)
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	t.Cleanup(s.Close)
	return s, op, counters
}

// exchange sends a text on a new connection and returns everything that the server sends until it closes.
func exchange(t *testing.T, s *Server, parts ...string) string {
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

// Each kind of request has its own status, a one-line body and a counter. Only a valid request reaches the operator.
func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		text, status, message, counter string
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
		op.refuses = strings.Contains(c.text, "X: no")
		got := exchange(t, s, c.text)
		head, body, _ := strings.Cut(got, "\r\n\r\n")
		if !strings.HasPrefix(head, "HTTP/1.1 "+c.status) || !strings.Contains(body, c.message) || strings.Count(body, "\n") != 1 ||
			!strings.Contains(head, fmt.Sprintf("Content-Length: %d\r\n", len(body))) || !strings.Contains(head, "Connection: close") {
			t.Errorf("%.60q: %q", c.text, got)
		}
		if counters.Get(c.counter) != 1 {
			t.Errorf("%.60q: counter %s is not 1: %v", c.text, c.counter, counters.Snapshot())
		}
		if rejected := !strings.HasPrefix(c.status, "200") && !op.refuses; rejected == (len(op.calls) > 0) || len(op.calls) > 1 {
			t.Errorf("%.60q: calls of the operator: %v", c.text, op.calls)
		}
	}
}

const completeRequest = "POST /api/evacuate HTTP/1.1\r\nHost: edge\r\nContent-Length: 7\r\n\r\n{\"a\":1}"

// A request that arrives in two segments, split at any byte, is executed. A request that ends at that byte is not.
func TestEveryCut(t *testing.T) {
	s, op, counters := serve(t)
	for i := 1; i < len(completeRequest); i++ {
		conn, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, completeRequest[:i])
		conn.Close()
		if got := exchange(t, s, completeRequest[:i], completeRequest[i:]); !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Fatalf("split at byte %d: %q", i, got)
		}
	}
	if len(op.calls) != len(completeRequest)-1 {
		t.Errorf("%d requests executed, want %d", len(op.calls), len(completeRequest)-1)
	}
	for deadline := time.Now().Add(5 * time.Second); counters.Get("cut_short", Name) != uint64(len(completeRequest)-1); {
		if time.Now().After(deadline) {
			t.Fatalf("%d counted as cut short", counters.Get("cut_short", Name))
		}
		time.Sleep(time.Millisecond)
	}
}

// Callers that never complete a request do not block others, and occupy at most MaxConnections connections.
func TestStalledCallersAreEvicted(t *testing.T) {
	s, _, counters := serve(t)
	for i := range 50 {
		conn, err := net.Dial("tcp", s.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		io.WriteString(conn, completeRequest[:i])
	}
	began := time.Now()
	if got := exchange(t, s, completeRequest); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Fatal(got)
	}
	if took := time.Since(began); took >= time.Second {
		t.Errorf("answered after %v", took)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) > MaxConnections || counters.Get("evicted", Name) < 50-MaxConnections {
		t.Errorf("%d connections, %d evicted", len(s.conns), counters.Get("evicted", Name))
	}
}

// A connection with unread bytes is not evicted at minEvictionAge, even if it is the oldest: its goroutine may not have been scheduled
// yet. At maxEvictionAge it is evicted, so that a caller that keeps sending single bytes does not occupy it forever.
func TestUnreadCallIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Server{maxConns: 2, stats: &metrics.Counters{}, released: make(chan struct{}, 1)}
	for _, text := range []string{completeRequest, ""} {
		client, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		accepted, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer accepted.Close()
		io.WriteString(client, text)
		c := &clientConn{conn: accepted, acceptedAt: time.Now().Add(-minEvictionAge)}
		unread := func() bool { return linger.Peek(accepted) == linger.Unread }
		for deadline := time.Now().Add(10 * time.Second); unread() != (text != ""); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("unread bytes: %v, after sending %q", unread(), text)
			}
		}
		s.conns = append(s.conns, c)
	}
	first := s.conns[0]
	if s.awaitCapacity(); len(s.conns) != 1 || s.conns[0] != first || first.evicted {
		t.Fatal("the connection with unread bytes was evicted, want the one without")
	}
	s.maxConns, first.acceptedAt = 1, time.Now().Add(-maxEvictionAge)
	if s.awaitCapacity(); len(s.conns) != 0 || !first.evicted {
		t.Error("a connection with unread bytes is not evicted at maxEvictionAge")
	}
}

func FuzzHead(f *testing.F) {
	f.Add([]byte(completeRequest))
	f.Add([]byte("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
	f.Add([]byte("GET /api/ready HTTP/1.0\n\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 18446744073709551616\r\n\r\n"))
	f.Add([]byte(" / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		req, err := readHead(bufio.NewReaderSize(strings.NewReader(string(b)), maxHeadBytes))
		var bad *rejection
		switch {
		case err == nil:
			if req.method == "" || !strings.HasPrefix(req.path, "/") || req.bodyLength < 0 || req.bodyLength > maxBodyBytes || len(b) == 0 {
				t.Fatalf("%q: %+v", b, req)
			}
		case errors.As(err, &bad):
			if reasonPhrases[bad.code] == "" || bad.message == "" || strings.Contains(bad.message, "\n") {
				t.Fatalf("%q: %+v", b, bad)
			}
		case !errors.Is(err, io.EOF):
			t.Fatalf("%q: %v", b, err)
		}
	})
}
