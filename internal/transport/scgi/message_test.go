package scgi

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/settings"
	"silverpath/internal/transport/listener"
)

// specExample is the example request in the specification of the protocol.
const specExample = "70:CONTENT_LENGTH\x0027\x00SCGI\x001\x00REQUEST_METHOD\x00POST\x00REQUEST_URI\x00/deepthought\x00," +
	"What is the answer to life?"

func read(s string) (message, error) { return readMessage(bufio.NewReader(strings.NewReader(s)), 100) }

// readMessage reads a request whose body has at most maxBody bytes.
func readMessage(r *bufio.Reader, maxBody int) (message, error) {
	m, err := readHead(r)
	if err == nil {
		err = m.readBody(r, maxBody, admission.NewBodyBudget(1<<20).Reserve())
	}
	return m, err
}

func TestSpecimen(t *testing.T) {
	m, err := read(specExample)
	if err != nil || string(m.body) != "What is the answer to life?" || m.headers["REQUEST_URI"] != "/deepthought" {
		t.Fatalf("%+v, %v", m, err)
	}
	got := appendMessage(nil, m.body, "REQUEST_METHOD", "POST", "REQUEST_URI", "/deepthought")
	if string(got) != specExample {
		t.Fatalf("encoded as %q, want the example", got)
	}
}

// A request that is truncated at any byte is never accepted as complete.
func TestCuts(t *testing.T) {
	for n := 1; n < len(specExample); n++ {
		if _, err := read(specExample[:n]); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("truncated to %d bytes: error %v, want io.ErrUnexpectedEOF", n, err)
		}
	}
}

func netstring(s string) string { return strconv.Itoa(len(s)) + ":" + s + "," }

func TestMalformed(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want error
	}{
		"no length":               {":,", errMalformed},
		"a length with a sign":    {"-1:,", errMalformed},
		"a leading zero":          {"01:x,", errMalformed},
		"no comma":                {"1:xy", errMalformed},
		"no headers":              {"0:,", errMalformed},
		"unterminated header":     {netstring("CONTENT_LENGTH\x000"), errMalformed},
		"SCGI first":              {netstring("SCGI\x001\x00CONTENT_LENGTH\x000\x00"), errMalformed},
		"no SCGI":                 {netstring("CONTENT_LENGTH\x000\x00"), errMalformed},
		"SCGI version 2":          {netstring("CONTENT_LENGTH\x000\x00SCGI\x002\x00"), errMalformed},
		"CONTENT_LENGTH empty":    {netstring("CONTENT_LENGTH\x00\x00SCGI\x001\x00"), errMalformed},
		"CONTENT_LENGTH signed":   {netstring("CONTENT_LENGTH\x00+1\x00SCGI\x001\x00"), errMalformed},
		"a header twice":          {netstring("CONTENT_LENGTH\x000\x00SCGI\x001\x00A\x001\x00A\x002\x00"), errMalformed},
		"a header with no name":   {netstring("CONTENT_LENGTH\x000\x00SCGI\x001\x00\x00x\x00"), errMalformed},
		"a netstring of 1 GB":     {"1000000000:", errTooLarge},
		"a body over the limit":   {netstring("CONTENT_LENGTH\x00101\x00SCGI\x001\x00"), errTooLarge},
		"a length that overflows": {netstring("CONTENT_LENGTH\x00" + strings.Repeat("9", 30) + "\x00SCGI\x001\x00"), errTooLarge},
	} {
		if _, err := read(c.in); !errors.Is(err, c.want) {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
	}
}

// A randomly corrupted request (fixed seed) leads to an error or to a request within its bounds.
func TestGarbage(t *testing.T) {
	rnd := rand.New(rand.NewPCG(3, 4))
	for range 20000 {
		b := []byte(specExample)
		for range 1 + rnd.IntN(4) {
			b[rnd.IntN(len(b))] = byte(rnd.Uint32())
		}
		if m, err := read(string(b)); err == nil && len(m.body) > 100 {
			t.Fatalf("accepted a body of %d bytes, limit 100", len(m.body))
		}
	}
}

func FuzzMessage(f *testing.F) {
	f.Add(specExample)
	f.Add(netstring("CONTENT_LENGTH\x000\x00SCGI\x001\x00"))
	f.Add(specExample[:len(specExample)/2])
	f.Add(netstring("CONTENT_LENGTH\x0060000000\x00SCGI\x001\x00") + strings.Repeat("x", 4096))
	f.Add(netstring("CONTENT_LENGTH\x00-1\x00SCGI\x001\x00"))
	f.Add("99999999999999999999:")
	f.Add("-5:")
	f.Add("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		m, err := read(in)
		if err == nil && (len(m.body) > 100 || len(m.headers) > maxHeaders || m.headers["SCGI"] != "1") {
			t.Fatal("accepted a request that exceeds its bounds")
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add("Status: 200 OK\r\nContent-Length: 2\r\n\r\nok")
	f.Add("Content-Type: text/plain\n\nto the end")
	f.Add("Status: 200 OK\r\nContent-Length: 3000000000\r\n\r\nok")
	f.Add("Status: 200 OK\r\nContent-Length: -2\r\n\r\nok")
	f.Add(strings.Repeat("X: y\r\n", 1000))
	f.Fuzz(func(t *testing.T, in string) {
		a, err := readResponse(bufio.NewReader(strings.NewReader(in)), 100)
		if err == nil && (len(a.body) > 100 || a.status < 100 || a.status > 599) {
			t.Fatal("accepted a response that exceeds its bounds")
		}
	})
}

var testSettings = silverpath.Settings{
	Cores: 2, MemoryKB: 20000, MaxRunsPerCore: 8, RunsWindow: time.Second, RetryAfter: true, MaxRetryAfter: time.Second,
	Classes: []silverpath.Class{
		{Name: "lestvica", Objective: time.Second, Deadline: 4 * time.Second, Weight: 1},
		{Name: "oddaja", Objective: time.Second, Deadline: 4 * time.Second, Weight: 3, Effect: silverpath.Idempotent, IdempotencyWindow: 10 * time.Second},
	},
}

// startApplicationServer starts a stand-in application server and returns its address. It calls serve with the request of each
// connection.
func startApplicationServer(t *testing.T, serve func(m message, conn net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if m, err := readMessage(bufio.NewReader(conn), 2048); err == nil {
					serve(m, conn)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// startService starts a front and a core that use the application server at upstreamAddr, and returns the address of the front.
func startService(t *testing.T, upstreamAddr string, timeout time.Duration) (addr string, c *core.Core, counters *metrics.Counters) {
	t.Helper()
	discardLog := log.New(io.Discard, "", 0)
	counters = &metrics.Counters{}
	c, err := core.New(core.Config{Settings: testSettings, MemoryMB: 32, Log: discardLog, Stats: counters})
	if err != nil {
		t.Fatal(err)
	}
	up := NewUpstream(upstreamAddr, 2, 8, timeout, c, discardLog, counters)
	if err := c.Attach(up, nil); err != nil {
		t.Fatal(err)
	}
	up.ReportUp(t.Context())
	f := New(c, settings.SCGI{MaxBody: 64, RequestKB: 20}, admission.NewBodyBudget(1<<20), 1, discardLog, counters)
	ln, err := listener.Listen(Name, "127.0.0.1:0", 100, c.IdleAfter, f.Serve, discardLog, counters)
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve()
	t.Cleanup(func() { ln.Close(); c.Stop() })
	return ln.Addr().String(), c, counters
}

func sendRequest(t *testing.T, addr string, raw []byte) (Reply, error) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := conn.Write(raw); err != nil {
		t.Fatal(err)
	}
	return ReadReply(bufio.NewReader(conn))
}

// Each outcome leads to its status. The requests go over real sockets from a web server to the application server and back.
func TestStatuses(t *testing.T) {
	upstream := startApplicationServer(t, func(m message, conn net.Conn) {
		switch string(m.body) {
		case "fine":
			conn.Write(appendResponse(nil, "200 OK", []byte("\x00result"), "text/plain"))
		case "plain":
			conn.Write([]byte("Content-Type: text/plain\n\nto the end"))
		case "error":
			conn.Write(appendResponse(nil, "500 Oops", nil, "text/plain"))
		case "cut":
			conn.Write([]byte("Status: 200 OK\r\nContent-Length: 50\r\n\r\nshort"))
		case "slow":
			_, _ = io.Copy(io.Discard, conn)
		}
	})
	addr, _, _ := startService(t, upstream, 30*time.Second)
	for name, c := range map[string]struct {
		raw    []byte
		status int
		body   string
	}{
		"served":            {AppendRequest(nil, []byte("fine"), "PATH_INFO", "/lestvica"), 200, "\x00result"},
		"class by header":   {AppendRequest(nil, []byte("fine"), "PATH_INFO", "/x", "HTTP_X_REQUEST_CLASS", "oddaja"), 200, "\x00result"},
		"class by URI":      {AppendRequest(nil, []byte("plain"), "REQUEST_URI", "/lestvica/7?q=1"), 200, "to the end"},
		"failed":            {AppendRequest(nil, []byte("error"), "PATH_INFO", "/lestvica"), 502, "failed\n"},
		"cut short":         {AppendRequest(nil, []byte("cut"), "PATH_INFO", "/lestvica"), 502, "failed\n"},
		"out of time":       {AppendRequest(nil, []byte("slow"), "PATH_INFO", "/lestvica", "HTTP_X_TIMEOUT_MS", "300"), 504, "expired\n"},
		"malformed":         {[]byte("x"), 400, ""},
		"not SCGI":          {[]byte("GET / HTTP/1.1\r\n\r\n"), 400, ""},
		"bad deadline":      {AppendRequest(nil, nil, "PATH_INFO", "/lestvica", "HTTP_X_TIMEOUT_MS", "soon"), 400, ""},
		"bad rank":          {AppendRequest(nil, nil, "PATH_INFO", "/lestvica", "HTTP_X_RANK", "1"), 400, ""},
		"too large":         {AppendRequest(nil, bytes.Repeat([]byte("x"), 65), "PATH_INFO", "/lestvica"), 413, ""},
		"headers too large": {AppendRequest(nil, nil, "A", strings.Repeat("x", maxHeaderBytes)), 413, ""},
		"unknown class":     {AppendRequest(nil, nil, "PATH_INFO", "/nothing"), 404, ""},
		"no class":          {AppendRequest(nil, nil), 404, ""},
	} {
		t.Run(name, func(t *testing.T) {
			a, err := sendRequest(t, addr, c.raw)
			if err != nil || a.Status != c.status || c.body != "" && string(a.Body) != c.body {
				t.Fatalf("status %d, body %q, error %v; want %d, %q", a.Status, a.Body, err, c.status, c.body)
			}
		})
	}
}

// A broken connection to the application server does not prove that nothing ran, so a retry does not run again. A refused connection
// proves it, so a retry does run.
func TestBrokenUpstream(t *testing.T) {
	runs := make(chan string, 10)
	upstream := startApplicationServer(t, func(m message, conn net.Conn) { runs <- m.headers["HTTP_X_REQUEST_ID"] })
	addr, _, _ := startService(t, upstream, 30*time.Second)
	keyedRequest := AppendRequest(nil, []byte("x"), "PATH_INFO", "/oddaja", "HTTP_IDEMPOTENCY_KEY", "k")
	for range 3 {
		if a, err := sendRequest(t, addr, keyedRequest); err != nil || a.Status != 502 {
			t.Fatalf("status %d, error %v", a.Status, err)
		}
	}
	if n := len(runs); n != 1 {
		t.Fatalf("the application server received %d runs, want 1", n)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	addr, _, counters := startService(t, ln.Addr().String(), 30*time.Second)
	for range 2 {
		if a, err := sendRequest(t, addr, keyedRequest); err != nil || a.Status != 502 {
			t.Fatalf("status %d, error %v", a.Status, err)
		}
	}
	if n := counters.Get("upstream", "unreachable"); n != 2 {
		t.Fatalf("%d attempts to connect, want 2: after a refused connection the retry may run", n)
	}
}

// With half_close set, a caller that has closed only its sending half still gets its answer. Without it the caller counts as gone.
func TestHalfClose(t *testing.T) {
	for _, halfClose := range []bool{true, false} {
		clientConn, serverConn := net.Pipe()
		c, err := core.New(core.Config{Settings: testSettings, MemoryMB: 32, Log: log.New(io.Discard, "", 0)})
		if err != nil {
			t.Fatal(err)
		}
		started := make(chan string, 1)
		if err := c.Attach(manualRunner{c, started}, nil); err != nil {
			t.Fatal(err)
		}
		counters := &metrics.Counters{}
		f := New(c, settings.SCGI{MaxBody: 64, RequestKB: 20, HalfClose: halfClose}, admission.NewBodyBudget(1<<20), 1, log.New(io.Discard, "", 0), counters)
		done := make(chan struct{})
		q, err := f.mapRequest(message{headers: map[string]string{"PATH_INFO": "/oddaja"}}, time.Now(), nil)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer close(done)
			f.awaitAnswer(serverConn, bufio.NewReader(strings.NewReader("")), q, func() {}, func() {}) // the caller has closed its sending half
		}()
		id := <-started
		if halfClose {
			c.RunEnded(id, silverpath.OK, 0, []byte("done"))
			if a, err := ReadReply(bufio.NewReader(clientConn)); err != nil || string(a.Body) != "done" {
				t.Fatalf("body %q, error %v", a.Body, err)
			}
		}
		<-done
		if n := counters.Get("dropped", Name); (n == 1) == halfClose {
			t.Fatalf("half_close %v: %d requests counted as dropped", halfClose, n)
		}
		c.Stop()
	}
}

type manualRunner struct {
	core    *core.Core
	started chan string
}

func (r manualRunner) Run(id, _ string, _ []byte) { r.started <- id }
func (r manualRunner) Resume(string, []byte)      {}
func (r manualRunner) Probe()                     {}

func TestIDsDiffer(t *testing.T) {
	f := New(nil, settings.SCGI{}, nil, 7, nil, &metrics.Counters{})
	seen := map[string]bool{}
	for range 10000 {
		id := f.newID()
		if len(id) != 16 || seen[id] {
			t.Fatalf("request ID %q is not unique or not 16 characters long", id)
		}
		seen[id] = true
	}
}

// Under a flood of requests of one class, further ones are rejected by their headers, without waiting for the body. After such a
// rejection, after a status request and after a malformed request, the server reads what the client still sends before it closes the
// connection.
func TestRefusedByItsHeaders(t *testing.T) {
	c, err := core.New(core.Config{Settings: testSettings, MemoryMB: 32, Log: log.New(io.Discard, "", 0), Status: true,
		Pools: &admission.Config{Pools: []admission.Pool{{Name: "all", Weight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := c.Attach(manualRunner{c, make(chan string, 1000)}, nil); err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	f := New(c, settings.SCGI{MaxBody: 64, RequestKB: 20}, admission.NewBodyBudget(1<<20), 1, log.New(io.Discard, "", 0), &metrics.Counters{})
	trackingLn := newTrackingListener(t)
	ln := listener.New(Name, trackingLn, 100, c.IdleAfter, f.Serve, log.New(io.Discard, "", 0), &metrics.Counters{})
	go ln.Serve()
	defer ln.Close()
	if a := trackingLn.sendWhileReading(t, AppendRequest(nil, nil, "PATH_INFO", "/status")); a.Status != 200 ||
		!strings.Contains(string(a.Body), `"phase"`) || a.Headers["content-type"] != "application/json" {
		t.Fatalf("%+v", a)
	}
	if a := trackingLn.sendWhileReading(t, []byte("no request")); a.Status != 400 {
		t.Fatalf("%+v", a)
	}
	head := bytes.TrimSuffix(AppendRequest(nil, bytes.Repeat([]byte("x"), 60), "PATH_INFO", "/lestvica"), bytes.Repeat([]byte("x"), 60))
	for deadline := time.Now().Add(20 * time.Second); ; {
		now := time.Now() // far more requests than two cores can run before the deadline
		for i := range 2000 {
			go c.Serve(core.Request{Front: "test", ID: fmt.Sprint(now.UnixNano(), i), Class: "lestvica", MemoryKB: 1, ReceivedAt: now,
				Deadline: now.Add(200 * time.Millisecond)}, func(core.Answer) {})
		}
		a := trackingLn.sendWhileReading(t, head)
		if a.Status == 503 && a.RetryAfter > 0 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%+v", a)
		}
	}
}

// Bodies of 60 MB are rejected by their stated length while they are still being sent. No memory is allocated for them.
func TestHugeBodiesTakeNoMemory(t *testing.T) {
	addr, _, _ := startService(t, startApplicationServer(t, func(message, net.Conn) {}), 30*time.Second)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(30 * time.Second))
			block := "CONTENT_LENGTH\x0062914560\x00SCGI\x001\x00PATH_INFO\x00/lestvica\x00"
			fmt.Fprintf(conn, "%d:%s,", len(block), block)
			go func() {
				chunk := make([]byte, 64<<10)
				for range 960 {
					if _, err := conn.Write(chunk); err != nil {
						return
					}
				}
			}()
			if a, err := ReadReply(bufio.NewReader(conn)); err != nil || a.Status != 413 {
				t.Errorf("%+v, %v", a, err)
			}
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	if allocated := int64(after.TotalAlloc - before.TotalAlloc); allocated > 8<<20 {
		t.Errorf("%d KB were allocated for eight bodies of 60 MB, limit 8 MB", allocated>>10)
	}
}

// While memory is short, large bodies are rejected, except those of an idempotent class: the retry of a request that has run must not be
// rejected.
func TestLargeBodiesWhileMemoryIsShort(t *testing.T) {
	c, err := core.New(core.Config{Settings: testSettings, MemoryMB: 64, Log: log.New(io.Discard, "", 0),
		Pools: &admission.Config{Pools: []admission.Pool{{Name: "all", Weight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	started := make(chan string, 10)
	if err := c.Attach(lowMemoryRunner{manualRunner{c, started}}, nil); err != nil {
		t.Fatal(err)
	}
	defer c.Stop()
	f := New(c, settings.SCGI{MaxBody: 64, RequestKB: 1}, admission.NewBodyBudget(1<<20), 1, log.New(io.Discard, "", 0), &metrics.Counters{})
	ln, err := listener.Listen(Name, "127.0.0.1:0", 100, c.IdleAfter, f.Serve, log.New(io.Discard, "", 0), &metrics.Counters{})
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve()
	defer ln.Close()
	keyedRequest := AppendRequest(nil, bytes.Repeat([]byte("x"), 60), "PATH_INFO", "/oddaja", "HTTP_IDEMPOTENCY_KEY", "k")
	go func() { c.RunEnded(<-started, silverpath.OK, 0, []byte("scored")) }()
	if a, err := sendRequest(t, ln.Addr().String(), keyedRequest); err != nil || a.Status != 200 {
		t.Fatalf("%+v, %v", a, err)
	}
	for deadline := time.Now().Add(20 * time.Second); c.MaxBody(64) != 16; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the body limit is not reduced although memory is short")
		}
	}
	if a, err := sendRequest(t, ln.Addr().String(), AppendRequest(nil, bytes.Repeat([]byte("x"), 60), "PATH_INFO", "/lestvica")); err != nil || a.Status != 413 {
		t.Errorf("request of a class that is not idempotent: %+v, error %v; want status 413", a, err)
	}
	if a, err := sendRequest(t, ln.Addr().String(), keyedRequest); err != nil || a.Status != 200 || string(a.Body) != "scored" {
		t.Errorf("retry of an idempotent request: %+v, error %v; want status 200", a, err)
	}
}

// lowMemoryRunner is a runner that reports a memory use of 85 %.
type lowMemoryRunner struct{ manualRunner }

func (s lowMemoryRunner) Probe() { s.core.Gauges(silverpath.Gauges{Memory: 0.85}) }
