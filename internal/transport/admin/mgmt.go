// Package admin is the front for operators: HTTP/1.1, one call a connection. It asks nothing of the core's lock and has
// its own few connections and buffers, so that a crowd of clients keeps no operator out.
package admin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/transport/linger"
)

// Name is the front's name in counters and log lines.
const Name = "mgmt"

const (
	// MaxConnections is the greatest number of connections at once. A further one takes the place of the one that has been unfinished
	// for longest, so callers that never finish keep nobody out.
	MaxConnections           = 24
	minConnections           = 4
	descriptorsPerConnection = 16 // of the descriptors, one in so many

	maxHeadBytes = 4 << 10 // bytes of request line and headers
	maxBodyBytes = 4 << 10 // what a call brings is read and not looked at
	callTimeout  = 5 * time.Second
	// minCallTime is for a call to come whole before its place may be taken. Callers that never finish and come back at once can
	// so hold up one that does, but not push it out: of fifty, for three times that.
	minCallTime  = 50 * time.Millisecond
	maxCallTime  = 500 * time.Millisecond // of one that always has a byte more to send
	writeTimeout = 2 * time.Second
	// lingerTimeout is how long what a caller still sends is read after its answer: to close on unread bytes would reset the
	// connection, and the answer might be lost with it.
	lingerTimeout      = 200 * time.Millisecond
	maxLingerBytes     = 64 << 10
	badCallLogInterval = time.Second // lines about bad calls, at most
)

// Operator is who does what is called for. No method blocks. Each says yes or no, and why in one line.
type Operator interface {
	Ready() (bool, string)
	Evacuate() (bool, string)
	Rejoin() (bool, string)
}

// status is the code of an answer, with its reason phrase.
type status int

var reasons = map[status]string{
	200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
	411: "Length Required", 413: "Content Too Large", 431: "Request Header Fields Too Large", 503: "Service Unavailable",
	505: "HTTP Version Not Supported",
}

// rejection is a call that is answered without being made.
type rejection struct {
	code    status
	counter string // of its counter
	message string
}

func (p *rejection) Error() string { return p.message }

// Commands is who takes orders of the fleet: calls that name a duty, the epoch of its owner and the step of its intent.
type Commands interface {
	// Execute carries out a command by perform, or returns why not. It may wait for a disk, and for the group.
	Execute(action, controller string, epoch, step uint64, perform func() (bool, string)) (accepted bool, reason string)
}

// call is one call as it was read.
type call struct {
	method, path string
	query        string
	body         int // bytes
}

// readHead reads request line and headers, bounded.
func readHead(r *bufio.Reader) (c call, err error) {
	left := maxHeadBytes
	line := func() ([]byte, error) {
		b, err := r.ReadSlice('\n')
		left -= len(b)
		if errors.Is(err, bufio.ErrBufferFull) || left < 0 {
			return nil, &rejection{431, "too_large", "request line and headers over 4 KiB"}
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(b, []byte("\n")), []byte("\r")), err
	}
	first, err := line()
	if err != nil {
		return c, err
	}
	parts := strings.Split(string(first), " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") || !strings.HasPrefix(parts[2], "HTTP/") {
		return c, &rejection{400, "malformed", "the first line is not METHOD /PATH HTTP/1.1"}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return c, &rejection{505, "malformed", "not HTTP/1.1"}
	}
	c.method = parts[0]
	c.path, c.query, _ = strings.Cut(parts[1], "?")
	hasLength := false
	for {
		b, err := line()
		if err != nil {
			return c, err
		}
		if len(b) == 0 {
			return c, nil
		}
		name, value, ok := strings.Cut(string(b), ":")
		if !ok || name == "" || strings.TrimSpace(name) != name {
			return c, &rejection{400, "malformed", "a header line is not NAME: VALUE"}
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || hasLength && int(n) != c.body {
				return c, &rejection{400, "malformed", "Content-Length is no number"}
			}
			if n > maxBodyBytes {
				return c, &rejection{413, "too_large", "a body over 4 KiB"}
			}
			c.body, hasLength = int(n), true
		case "transfer-encoding":
			return c, &rejection{411, "malformed", "give a Content-Length"}
		}
	}
}

// readCall reads one whole call.
func readCall(r *bufio.Reader) (call, error) {
	c, err := readHead(r)
	if err == nil && c.body > 0 {
		_, err = io.CopyN(io.Discard, r, int64(c.body))
	}
	return c, err
}

// ConnectionLimit is the number of connections at once of a process with so many descriptors.
func ConnectionLimit(descriptors int) int {
	return min(max(descriptors/descriptorsPerConnection, minConnections), MaxConnections)
}

// Server answers operators at one address.
type Server struct {
	ln       net.Listener
	maxConns int
	op       Operator
	commands Commands // nil: none are taken
	snapshot func() (string, error)
	log      *log.Logger
	stats    *metrics.Counters
	callTime *metrics.Timing

	mu              sync.Mutex
	conns           []*callerConn // in the order of their coming
	badCallLoggedAt time.Time
	closed          bool
	released        chan struct{}
}

type callerConn struct {
	conn       net.Conn
	acceptedAt time.Time
	evicted    bool
}

// Listen opens the address, for so many connections at once.
func Listen(addr string, maxConns int, op Operator, l *log.Logger, s *metrics.Counters) (*Server, error) {
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{ln: ln, maxConns: maxConns, op: op, log: l, stats: s, callTime: s.Timing("call", Name), released: make(chan struct{}, 1)}, nil
}

// SetCommands sets who takes orders. It is called before Serve.
func (s *Server) SetCommands(o Commands) { s.commands = o }

// SetSnapshots sets who makes a copy of the store and says where it lies. It is called before Serve.
func (s *Server) SetSnapshots(make func() (path string, err error)) { s.snapshot = make }

// Addr is the address listened on.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close ends the front: calls under way are cut off.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, p := range s.conns {
		p.conn.Close()
	}
}

// Serve accepts calls until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.stats.Inc("accept_failed", Name)
			time.Sleep(10 * time.Millisecond) // out of descriptors: some will come free
			continue
		}
		s.stats.Inc("connections", Name)
		p := &callerConn{conn: conn}
		s.awaitCapacity()
		p.acceptedAt = time.Now()
		s.mu.Lock()
		s.conns = append(s.conns, p)
		if s.closed {
			conn.Close()
		}
		s.mu.Unlock()
		go s.serve(p)
	}
}

// awaitCapacity waits until there is a place. The one who has been unfinished for longest gives way, once its grace is over.
func (s *Server) awaitCapacity() {
	for {
		s.mu.Lock()
		if len(s.conns) < s.maxConns || s.closed {
			s.mu.Unlock()
			return
		}
		i := slices.IndexFunc(s.conns, (*callerConn).stalled)
		if i >= 0 {
			victim := s.conns[i]
			s.conns = slices.Delete(s.conns, i, i+1)
			victim.evicted = true
			victim.conn.Close()
		}
		s.mu.Unlock()
		if i >= 0 {
			s.stats.Inc("evicted", Name)
			continue
		}
		timer := time.NewTimer(minCallTime / 10)
		select {
		case <-timer.C:
		case <-s.released:
			timer.Stop()
		}
	}
}

// stalled reports whether a call has had its time to come whole. One of which bytes lie unread waits for the service, not
// the service for it: on a busy core its goroutine may have had no turn yet.
func (p *callerConn) stalled() bool {
	age := time.Since(p.acceptedAt)
	return age >= maxCallTime || age >= minCallTime && linger.Peek(p.conn) != linger.Unread
}

func (s *Server) release(p *callerConn) {
	p.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = slices.DeleteFunc(s.conns, func(q *callerConn) bool { return q == p })
	select {
	case s.released <- struct{}{}:
	default:
	}
}

// serve is the life of one call.
func (s *Server) serve(p *callerConn) {
	defer s.release(p)
	conn := p.conn
	conn.SetReadDeadline(time.Now().Add(callTimeout))
	r := bufio.NewReaderSize(conn, maxHeadBytes)
	c, err := readCall(r)
	receivedAt := time.Now()
	var bad *rejection
	switch {
	case err == nil:
		s.dispatch(conn, c)
		s.callTime.Record(time.Since(receivedAt))
	case errors.As(err, &bad):
		s.reject(conn, bad)
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.reject(conn, &rejection{408, "too_slow", "no whole call came within 5 s"})
	default: // the caller has left, or its place was taken
		if s.mu.Lock(); !p.evicted {
			s.stats.Inc("cut_short", Name)
		}
		s.mu.Unlock()
		return
	}
	if err == nil && r.Buffered() > 0 {
		s.stats.Inc("pipelined", Name) // one call a connection: what follows it is not made
	}
	linger.Close(conn, nil, lingerTimeout, maxLingerBytes)
}

// calls are what may be called for.
var calls = map[string]struct {
	method string
	do     func(Operator) (bool, string)
	no     status
}{
	"/api/ready":    {"GET", Operator.Ready, 503},
	"/api/evacuate": {"POST", Operator.Evacuate, 409},
	"/api/rejoin":   {"POST", Operator.Rejoin, 409},
}

// dispatch makes a call and says what became of it.
func (s *Server) dispatch(conn net.Conn, c call) {
	k, known := calls[c.path]
	if c.path == "/api/snapshot" && s.snapshot != nil {
		k.method, k.no, known = "POST", 503, true
		k.do = func(Operator) (bool, string) {
			path, err := s.snapshot()
			if err != nil {
				return false, err.Error()
			}
			return true, path
		}
	}
	if !known {
		s.reject(conn, &rejection{404, "unknown_path", "no such call"})
		return
	}
	if c.method != k.method {
		s.reject(conn, &rejection{405, "wrong_method", "call it with " + k.method}, "Allow: "+k.method)
		return
	}
	perform := func() (bool, string) { return k.do(s.op) }
	if s.commands != nil && k.method == "POST" && c.query != "" && c.path != "/api/snapshot" {
		var bad *rejection
		if perform, bad = s.asCommand(c, perform); bad != nil {
			s.reject(conn, bad)
			return
		}
	}
	done, message := perform()
	code, outcome := status(200), "yes"
	if !done {
		code, outcome = k.no, "no"
	}
	s.stats.Inc("calls", Name, strings.TrimPrefix(c.path, "/api/"), outcome)
	s.write(conn, code, message)
}

// asCommand has a call that is an order taken as one.
func (s *Server) asCommand(c call, perform func() (bool, string)) (func() (bool, string), *rejection) {
	q, err := url.ParseQuery(c.query)
	bad := &rejection{400, "malformed", "an order has duty, epoch and step"}
	if err != nil || q.Get("duty") == "" {
		return nil, bad
	}
	epoch, err := strconv.ParseUint(q.Get("epoch"), 10, 64)
	if err != nil {
		return nil, bad
	}
	step, err := strconv.ParseUint(q.Get("step"), 10, 64)
	if err != nil {
		return nil, bad
	}
	return func() (bool, string) {
		done, message := s.commands.Execute(strings.TrimPrefix(c.path, "/api/"), q.Get("duty"), epoch, step, perform)
		s.stats.Inc("orders", map[bool]string{true: "taken", false: "refused"}[done])
		if !done {
			events.Log(s.log, "orders.refused", c.path, message)
		}
		return done, message
	}, nil
}

// Call makes one call of another process: the form is METHOD /PATH. It reports whether the answer is a yes, and its line.
func Call(ctx context.Context, addr, requestLine string) (ok bool, message string, err error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, "", err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nContent-Length: 0\r\n\r\n", requestLine); err != nil {
		return false, "", err
	}
	r := bufio.NewReader(io.LimitReader(conn, maxHeadBytes))
	first, err := r.ReadString('\n')
	if err != nil {
		return false, "", err
	}
	parts := strings.SplitN(first, " ", 3)
	if len(parts) < 2 {
		return false, "", fmt.Errorf("no answer that can be read: %q", first)
	}
	for line := first; strings.TrimSpace(line) != "" && err == nil; {
		line, err = r.ReadString('\n')
	}
	if err != nil {
		return false, "", err
	}
	body, err := io.ReadAll(r)
	if err != nil && len(body) == 0 {
		return false, "", err
	}
	return strings.HasPrefix(parts[1], "2"), strings.TrimSpace(string(body)), nil
}

// reject answers a call that is not made. Lines about bad calls are bounded; the counters have them all.
func (s *Server) reject(conn net.Conn, p *rejection, headers ...string) {
	s.stats.Inc("bad_call", Name, p.counter)
	s.mu.Lock()
	logIt := time.Since(s.badCallLoggedAt) >= badCallLogInterval
	if logIt {
		s.badCallLoggedAt = time.Now()
	}
	s.mu.Unlock()
	if logIt {
		events.Log(s.log, "mgmt.bad_call", int(p.code), conn.RemoteAddr(), p.message)
	}
	s.write(conn, p.code, p.message, headers...)
}

func (s *Server) write(conn net.Conn, code status, why string, headers ...string) {
	b := fmt.Appendf(make([]byte, 0, 256), "HTTP/1.1 %d %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n",
		code, reasons[code], len(why)+1)
	for _, h := range headers {
		b = append(append(b, h...), "\r\n"...)
	}
	b = fmt.Appendf(b, "\r\n%s\n", why)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(b); err != nil {
		s.stats.Inc("write_failed", Name)
	}
}
