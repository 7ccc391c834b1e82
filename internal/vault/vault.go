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
	"silverpath/internal/buf"
)

const (
	// idleFor is how long a connection is kept for the next call. The other side closes after 10 s; a call
	// that meets that close would break off, which proves nothing, so ours go long before.
	idleFor     = 3 * time.Second
	longestBody = 64 << 10
	longestHead = 64 // lines
)

// Client makes calls. It is the core's Caller.
type Client struct {
	addr string
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	room chan struct{} // one token for each connection

	mu    sync.Mutex
	idle  []*conn
	calls map[string]*call // by request
}

type call struct{ giveUp context.CancelFunc }

type conn struct {
	net.Conn
	r     *bufio.Reader
	since time.Time
}

// New returns a client with at most the given number of connections.
func New(addr string, most int) *Client {
	return &Client{
		addr: addr, dial: (&net.Dialer{}).DialContext, room: make(chan struct{}, max(1, most)),
		calls: map[string]*call{},
	}
}

// Call makes one call for a request; a second one for the same request gives up the first.
func (c *Client) Call(ctx context.Context, id string, patience time.Duration, body []byte) (silverpath.Outcome, []byte) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	this := &call{cancel}
	c.mu.Lock()
	if first := c.calls[id]; first != nil {
		first.giveUp()
	}
	c.calls[id] = this
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.calls[id] == this {
			delete(c.calls, id)
		}
	}()
	select {
	case c.room <- struct{}{}:
		defer func() { <-c.room }()
	case <-ctx.Done():
		return silverpath.Unreachable, nil // nothing was sent
	}
	k, err := c.connect(ctx)
	if err != nil {
		return silverpath.Unreachable, nil
	}
	stop := context.AfterFunc(ctx, func() { k.Close() })
	status, unseen, keep, reply, err := k.exchange(id, patience, body)
	if !stop() || err != nil || !keep {
		k.Close()
		buf.PutReader(k.r)
	} else {
		c.put(k)
	}
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return silverpath.Canceled, nil
	case err != nil && ctx.Err() != nil:
		return silverpath.TimedOut, nil
	case err != nil:
		return silverpath.Disconnected, nil
	}
	return outcome(status, unseen), reply
}

// outcome maps a reply's status. Only the word that the call was not seen proves that it never ran.
func outcome(status int, unseen bool) silverpath.Outcome {
	switch {
	case status == 200:
		return silverpath.OK
	case status == 503 && unseen:
		return silverpath.Overloaded
	case status == 409 && unseen:
		return silverpath.Ignored
	case status == 504:
		return silverpath.TimedOut
	}
	return silverpath.Failed
}

func (c *Client) connect(ctx context.Context) (*conn, error) {
	now := time.Now()
	c.mu.Lock()
	for len(c.idle) > 0 {
		k := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Sub(k.since) < idleFor {
			c.mu.Unlock()
			return k, nil
		}
		k.Close()
		buf.PutReader(k.r)
	}
	c.mu.Unlock()
	n, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return &conn{Conn: n, r: buf.Reader(n)}, nil
}

// put keeps a connection for the next call and closes those that have waited too long.
func (c *Client) put(k *conn) {
	k.since = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && k.since.Sub(c.idle[0].since) >= idleFor {
		c.close(c.idle[0])
		c.idle = c.idle[1:]
	}
	if len(c.idle) == cap(c.room) {
		c.close(c.idle[0])
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, k)
	if len(c.idle) == 1 {
		time.AfterFunc(idleFor, c.sweep)
	}
}

func (c *Client) close(k *conn) {
	k.Close()
	buf.PutReader(k.r)
}

// sweep closes idle connections, so that none is kept when no call comes to use it.
func (c *Client) sweep() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 && time.Since(c.idle[0].since) >= idleFor {
		c.close(c.idle[0])
		c.idle = c.idle[1:]
	}
	if len(c.idle) > 0 {
		time.AfterFunc(idleFor-time.Since(c.idle[0].since), c.sweep)
	}
}

// exchange writes a call and reads its reply.
func (k *conn) exchange(id string, patience time.Duration, body []byte) (status int, unseen, keep bool, reply []byte, err error) {
	b := buf.Get()
	defer buf.Put(b)
	*b = fmt.Appendf(*b, "POST /v2/read HTTP/1.1\r\nHost: vault\r\nX-Ticket: %s\r\nX-Max-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, max(1, patience.Milliseconds()), len(body))
	*b = append(*b, body...)
	if _, err := k.Write(*b); err != nil {
		return 0, false, false, nil, fmt.Errorf("writing the call: %w", err)
	}
	return readReply(k.r)
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadSlice('\n')
	if err != nil {
		return "", fmt.Errorf("reading the reply: %w", err)
	}
	return strings.TrimRight(string(line), "\r\n"), nil
}

// readReply reads one reply: its status, whether it says that the call was not seen, and whether the
// connection can take another call.
func readReply(r *bufio.Reader) (status int, unseen, keep bool, body []byte, err error) {
	fail := func(format string, args ...any) (int, bool, bool, []byte, error) {
		return 0, false, false, nil, fmt.Errorf(format, args...)
	}
	line, err := readLine(r)
	if err != nil {
		return fail("%w", err)
	}
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err = strconv.Atoi(code)
	if err != nil || !strings.HasPrefix(version, "HTTP/1.") || status < 200 || status > 599 {
		return fail("not a status line: %q", line)
	}
	keep, length, chunked := version == "HTTP/1.1", -1, false
	for n := 0; ; n++ {
		if line, err = readLine(r); err != nil {
			return fail("%w", err)
		}
		if line == "" {
			break
		}
		name, value, ok := strings.Cut(line, ":")
		if value = strings.TrimSpace(value); !ok || n == longestHead {
			return fail("not a header: %q", line)
		}
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > longestBody {
				return fail("Content-Length: %q", value)
			}
		case "transfer-encoding":
			chunked = true
		case "connection":
			keep = keep && !strings.EqualFold(value, "close")
		case "x-refused-unseen":
			unseen = value == "1"
		}
	}
	switch {
	case chunked:
		if body, err = readChunks(r); err != nil {
			return fail("%w", err)
		}
	case length >= 0:
		body = make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return fail("reading the reply's body: %w", err)
		}
	case status != 204 && status != 304:
		keep = false
		if body, err = io.ReadAll(io.LimitReader(r, longestBody+1)); err != nil || len(body) > longestBody {
			return fail("a reply's body without end: %w", err)
		}
	}
	return status, unseen, keep, body, nil
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
		if err != nil || len(body)+int(n) > longestBody {
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
