// Package vault makes the calls below, over HTTP/1.1 with a client of the project's own: one call at a time on
// a connection, and a call is given up by closing its connection.
package vault

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"silverpath"
	"silverpath/internal/transport/bufferpool"
	"silverpath/internal/transport/linger"
)

const (
	// idleTimeout is how long a connection is kept for the next call. The other side closes after 10 s; a call
	// that meets that close would break off, which proves nothing, so ours go long before.
	idleTimeout       = 3 * time.Second
	maxBodyBytes      = 64 << 10
	maxHeaders        = 64 // lines
	maxInterimReplies = 8
)

// Client makes calls. It is the core's Caller.
type Client struct {
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	connections chan struct{} // one token for each connection

	mu    sync.Mutex
	addr  string
	idle  []*conn
	calls map[string]*call // by request
}

type call struct{ cancel context.CancelFunc }

type conn struct {
	net.Conn
	addr      string
	r         *bufio.Reader
	idleSince time.Time
	reused    bool
}

// New returns a client with at most the given number of connections.
func New(addr string, maxConns int) *Client {
	return &Client{
		addr: addr, dial: (&net.Dialer{}).DialContext, connections: make(chan struct{}, max(1, maxConns)),
		calls: map[string]*call{},
	}
}

// Redirect sends calls to another address from now on. Those under way end where they are.
func (c *Client) Redirect(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	for _, k := range c.idle {
		c.close(k)
	}
	c.idle = nil
}

// Call makes one call for a request; a second one for the same request gives up the first. A call that may be
// made only once goes out on a connection of its own: on one that has idled a reset could mean that the other
// side had forgotten it, so that the call never ran, or as well that it ran and its reply was lost. On a new one
// only the latter is possible. Calls that may be made again take an idle connection where there is one, and are
// made again at once should it break before a reply begins.
func (c *Client) Call(ctx context.Context, id string, timeout time.Duration, body []byte, atMostOnce bool) (silverpath.Outcome, []byte) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	current := &call{cancel}
	c.mu.Lock()
	if previous := c.calls[id]; previous != nil {
		previous.cancel()
	}
	c.calls[id] = current
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.calls[id] == current {
			delete(c.calls, id)
		}
	}()
	select {
	case c.connections <- struct{}{}:
		defer func() { <-c.connections }()
	case <-ctx.Done():
		return silverpath.Unreachable, nil // nothing was sent
	}
	startedAt := time.Now()
	status, notReceived, reply, stale, err := c.callOnce(ctx, id, timeout, body, atMostOnce)
	if stale && ctx.Err() == nil {
		status, notReceived, reply, _, err = c.callOnce(ctx, id, timeout-time.Since(startedAt), body, true)
	}
	switch {
	case errors.Is(err, errUnreachable):
		return silverpath.Unreachable, nil
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return silverpath.Canceled, nil
	case err != nil && ctx.Err() != nil:
		return silverpath.TimedOut, nil
	case err != nil:
		return silverpath.Disconnected, nil
	}
	return outcome(status, notReceived), reply
}

// outcome maps a reply's status. Only the word that the call was not seen proves that it never ran.
func outcome(status int, notReceived bool) silverpath.Outcome {
	switch {
	case status == 200:
		return silverpath.OK
	case status == 503 && notReceived:
		return silverpath.Overloaded
	case status == 409 && notReceived:
		return silverpath.NotStarted
	case status == 504:
		return silverpath.TimedOut
	}
	return silverpath.Failed
}

// errUnreachable proves that no call ran.
var errUnreachable = errors.New("connecting")

// callOnce makes a call on one connection, a new one where it must be. It reports as stale an idle connection that
// broke before any of a reply came.
func (c *Client) callOnce(ctx context.Context, id string, timeout time.Duration, body []byte, fresh bool) (
	status int, notReceived bool, reply []byte, stale bool, err error) {
	k, err := c.connect(ctx, fresh)
	if err != nil {
		return 0, false, nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { k.Close() })
	status, notReceived, keepAlive, reply, err := k.exchange(id, timeout, body)
	if err == nil && status == 200 && k.r.Buffered() > 0 {
		// Its length is wrong, or there are two of it: in either case nobody knows what the reply is. A refusal stands, as
		// nothing of it is handed on.
		err = errors.New("reading the reply: more came than its length says")
	}
	stale = k.reused && err != nil && status == 0
	// What follows a reply belongs to no call of ours: the connection has lost its place.
	// And a connection made for one call is not kept: many of those would fill the descriptors.
	if !stop() || err != nil || !keepAlive || k.r.Buffered() > 0 || fresh {
		k.Close()
		bufferpool.PutReader(k.r)
	} else {
		c.keepIdle(k)
	}
	return status, notReceived, reply, stale, err
}

func (c *Client) connect(ctx context.Context, fresh bool) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	for len(c.idle) > 0 && !fresh {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Sub(k.idleSince) < idleTimeout && isIdle(k.Conn) {
			c.mu.Unlock()
			k.reused = true
			return k, nil
		}
		c.close(k)
	}
	for len(c.idle) > 0 && len(c.idle)+len(c.connections) > cap(c.connections) { // those in use count, and this one among them
		c.close(c.idle[0])
		c.idle = c.idle[1:]
	}
	addr := c.addr
	c.mu.Unlock()
	n, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return &conn{Conn: n, addr: addr, r: bufferpool.GetReader(n)}, nil
}

// isIdle reports whether an idle connection is still open and has brought nothing.
func isIdle(conn net.Conn) bool {
	state := linger.Peek(conn)
	return state == linger.Idle || state == linger.Unknown
}

// keepIdle keeps a connection for the next call and closes those that have waited too long.
func (c *Client) keepIdle(k *conn) {
	k.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.addr != c.addr {
		c.close(k)
		return
	}
	for len(c.idle) > 0 && k.idleSince.Sub(c.idle[0].idleSince) >= idleTimeout {
		c.close(c.idle[0])
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, k)
	if len(c.idle) == 1 {
		time.AfterFunc(idleTimeout, c.closeExpired)
	}
}

func (c *Client) close(k *conn) {
	k.Close()
	bufferpool.PutReader(k.r)
}

// closeExpired closes idle connections, so that none is kept when no call comes to use it.
func (c *Client) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && time.Since(c.idle[0].idleSince) >= idleTimeout {
		c.close(c.idle[0])
		c.idle = c.idle[1:]
	}
	if len(c.idle) > 0 {
		time.AfterFunc(idleTimeout-time.Since(c.idle[0].idleSince), c.closeExpired)
	}
}

// exchange writes a call and reads its reply. The status is 0 where nothing of a reply came.
func (k *conn) exchange(id string, timeout time.Duration, body []byte) (status int, notReceived, keepAlive bool, reply []byte, err error) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	*b = fmt.Appendf(*b, "POST /v2/read HTTP/1.1\r\nHost: vault\r\nX-Ticket: %s\r\nX-Max-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, max(1, timeout.Milliseconds()), len(body))
	*b = append(*b, body...)
	if _, err := k.Write(*b); err != nil {
		return 0, false, false, nil, fmt.Errorf("writing the call: %w", err)
	}
	if _, err := k.r.Peek(1); err != nil {
		return 0, false, false, nil, fmt.Errorf("reading the reply: %w", err)
	}
	status, notReceived, keepAlive, reply, err = readReply(k.r)
	if err != nil {
		status = -1
	}
	return status, notReceived, keepAlive, reply, err
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return "", fmt.Errorf("reading the reply: %w", err)
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// head is the head of a reply.
type head struct {
	status                 int
	notReceived, keepAlive bool
	length                 int // -1 where it is not told
	chunked                bool
}

// parseDigits reads a number of nothing but digits.
func parseDigits(s string) (int, error) {
	if s == "" || len(s) > 9 || strings.Trim(s, "0123456789") != "" {
		return 0, fmt.Errorf("not a number: %q", s)
	}
	return strconv.Atoi(s)
}

// readHead reads one head. What is no plain HTTP/1 is an error: a length that is guessed wrong would hand the
// run another reply than the one that was made for it.
func readHead(r *bufio.Reader) (h head, err error) {
	line, err := readLine(r)
	if err != nil {
		return h, err
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	h.status, err = parseDigits(code)
	if err != nil || version != "HTTP/1.1" && version != "HTTP/1.0" || h.status < 100 || h.status > 599 {
		return h, fmt.Errorf("not a status line: %q", line)
	}
	h.keepAlive, h.length = version == "HTTP/1.1", -1
	for n := 0; ; n++ {
		if line, err = readLine(r); err != nil || line == "" {
			return h, err
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t") || n == maxHeaders {
			return h, fmt.Errorf("not a header: %q", line)
		}
		switch value = strings.TrimSpace(value); strings.ToLower(name) {
		case "content-length":
			length, err := parseDigits(value)
			if err != nil || length > maxBodyBytes || h.length >= 0 && h.length != length {
				return h, fmt.Errorf("Content-Length: %q", value)
			}
			h.length = length
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || h.chunked {
				return h, fmt.Errorf("Transfer-Encoding: %q", value)
			}
			h.chunked = true
		case "connection":
			h.keepAlive = h.keepAlive && !strings.EqualFold(value, "close")
		case "x-refused-unseen":
			h.notReceived = value == "1"
		}
	}
}

// readReply reads one reply: its status, whether it says that the call was not seen, and whether the
// connection can take another call. Answers of the class 1xx before it are passed over.
func readReply(r *bufio.Reader) (status int, notReceived, keepAlive bool, body []byte, err error) {
	fail := func(format string, args ...any) (int, bool, bool, []byte, error) {
		return 0, false, false, nil, fmt.Errorf(format, args...)
	}
	var h head
	for n := 0; h.status < 200; n++ {
		if h, err = readHead(r); err != nil {
			return fail("%w", err)
		}
		if n == maxInterimReplies {
			return fail("over %d answers of the class 1xx", maxInterimReplies)
		}
	}
	status, notReceived, keepAlive = h.status, h.notReceived, h.keepAlive
	switch length := h.length; {
	case h.chunked && length >= 0:
		return fail("both a length and chunks")
	case status == 204 || status == 304:
	case h.chunked:
		if body, err = readChunks(r); err != nil {
			return fail("%w", err)
		}
	case length >= 0:
		body = make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return fail("reading the reply's body: %w", err)
		}
	case status == 200:
		// To read to the end would take a reply that broke off for a whole one.
		return fail("a reply without a length")
	default:
		keepAlive = false
		if body, err = io.ReadAll(io.LimitReader(r, maxBodyBytes+1)); err != nil || len(body) > maxBodyBytes {
			return fail("a reply's body without end: %w", err)
		}
	}
	return status, notReceived, keepAlive, body, nil
}

func readChunks(r *bufio.Reader) ([]byte, error) {
	var body []byte
	for {
		line, err := readLine(r)
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(body)+int(n) > maxBodyBytes {
			return nil, fmt.Errorf("a chunk of size %q", line)
		}
		if n == 0 {
			for { // trailers
				if line, err = readLine(r); err != nil || line == "" {
					return body, err
				}
			}
		}
		at := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[at:]); err != nil {
			return nil, fmt.Errorf("reading a chunk: %w", err)
		}
		if line, err = readLine(r); err != nil || line != "" {
			return nil, fmt.Errorf("a chunk's end: %q: %w", line, err)
		}
	}
}
