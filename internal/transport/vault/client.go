// Package vault is the HTTP/1.1 client for calls to the vault or to a lower tier. A connection carries one call at a time, and a call is
// canceled by closing its connection. The client distinguishes failures that prove that a call never ran from those that do not.
package vault

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"silverpath"
	"silverpath/internal/transport/bufferpool"
	"silverpath/internal/transport/linger"
)

// idleTimeout is how long an idle connection is kept for reuse. The server closes idle connections after 10 s. A call that races with
// that close fails without proof that it did not run, so the client closes its idle connections much earlier.
const idleTimeout = 3 * time.Second

// Client makes calls on a bounded number of connections. It implements core.Caller.
type Client struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	sem  chan struct{} // semaphore: one token for each connection in use

	mu    sync.Mutex
	addr  string
	idle  []*persistConn
	calls map[string]*call // by request ID
}

// call is a call in progress.
type call struct{ cancel context.CancelFunc }

// persistConn is a connection to the server, in use or idle.
type persistConn struct {
	net.Conn
	addr      string
	r         *bufio.Reader
	idleSince time.Time
	reused    bool
}

// New returns a client that calls the server at addr over at most maxConns connections at a time.
func New(addr string, maxConns int) *Client {
	return &Client{
		addr: addr, dial: (&net.Dialer{}).DialContext, sem: make(chan struct{}, max(1, maxConns)),
		calls: map[string]*call{},
	}
}

// Redirect changes the address for later calls and closes the idle connections to the old address. Calls in progress continue on their
// connections.
func (c *Client) Redirect(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if addr == c.addr {
		return
	}
	c.addr = addr
	for _, pc := range c.idle {
		c.close(pc)
	}
	c.idle = nil
}

// Call makes a call for the request with the given ID and returns its outcome and the body of the reply. It waits at most timeout for a
// connection and the reply. A second call for the same request cancels the first. The outcomes Unreachable, Overloaded and NotStarted
// prove that the call never ran.
//
// With atMostOnce set, the call gets a new connection that no other call uses. A reset of a reused connection is ambiguous: the server
// may have dropped the idle connection, so that the call never ran, or the call ran and its reply was lost. On a new connection only the
// second is possible. Other calls reuse an idle connection if there is one. If that connection breaks before the reply begins, Call
// immediately repeats the call on a new one.
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
	case c.sem <- struct{}{}:
		defer func() { <-c.sem }()
	case <-ctx.Done():
		return silverpath.Unreachable, nil // nothing was sent
	}
	startedAt := time.Now()
	r, stale, err := c.callOnce(ctx, id, timeout, body, atMostOnce)
	if stale && ctx.Err() == nil {
		r, _, err = c.callOnce(ctx, id, timeout-time.Since(startedAt), body, true)
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
	return r.outcome(), r.body
}

// errUnreachable means that no connection could be established, which proves that the call never ran.
var errUnreachable = errors.New("connecting")

// errSurplus means that the connection holds more bytes than the length of the reply accounts for.
var errSurplus = errors.New("reading the reply: unexpected bytes after its end")

// callOnce makes a call on one connection, which is a new one if fresh is set. The result stale reports that a reused connection broke
// before any byte of the reply arrived.
func (c *Client) callOnce(ctx context.Context, id string, timeout time.Duration, body []byte, fresh bool) (r reply, stale bool, err error) {
	pc, err := c.connect(ctx, fresh)
	if err != nil {
		return r, false, err
	}
	stop := context.AfterFunc(ctx, func() { pc.Close() })
	r, gotReply, err := pc.exchange(id, timeout, body)
	surplus := pc.r.Buffered() > 0
	if err == nil && r.status == 200 && surplus {
		// Either the stated length is wrong or there are two replies, so the content of the reply is uncertain. Replies with another
		// status stay valid, because their bodies are not used.
		err = errSurplus
	}
	stale = pc.reused && err != nil && !gotReply
	// Surplus bytes would be read as the start of the next reply. A connection that was opened for a single call is not kept either,
	// because many of them would exhaust the file descriptors.
	if !stop() || err != nil || !r.keepAlive || surplus || fresh {
		c.close(pc)
	} else {
		c.keepIdle(pc)
	}
	return r, stale, err
}

// connect returns an idle connection for reuse, or a new one if there is none or fresh is set. Its error is errUnreachable.
func (c *Client) connect(ctx context.Context, fresh bool) (*persistConn, error) {
	now := time.Now()
	c.mu.Lock()
	for len(c.idle) > 0 && !fresh {
		pc := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if now.Sub(pc.idleSince) < idleTimeout && isIdle(pc.Conn) {
			c.mu.Unlock()
			pc.reused = true
			return pc, nil
		}
		c.close(pc)
	}
	for len(c.idle) > 0 && len(c.idle)+len(c.sem) > cap(c.sem) { // len(c.sem) includes the connection to be opened
		c.close(c.idle[0])
		c.idle = c.idle[1:]
	}
	addr := c.addr
	c.mu.Unlock()
	netConn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnreachable, err)
	}
	return &persistConn{Conn: netConn, addr: addr, r: bufferpool.GetReader(netConn)}, nil
}

// isIdle reports whether an idle connection is still open and has received no bytes, as far as the platform can tell.
func isIdle(conn net.Conn) bool {
	state := linger.Peek(conn)
	return state == linger.Idle || state == linger.Unknown
}

// keepIdle keeps a connection for reuse and closes those that have been idle for idleTimeout. If the address has changed, it closes the
// connection instead.
func (c *Client) keepIdle(pc *persistConn) {
	pc.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if pc.addr != c.addr {
		c.close(pc)
		return
	}
	for len(c.idle) > 0 && pc.idleSince.Sub(c.idle[0].idleSince) >= idleTimeout {
		c.close(c.idle[0])
		c.idle = c.idle[1:]
	}
	c.idle = append(c.idle, pc)
	if len(c.idle) == 1 {
		time.AfterFunc(idleTimeout, c.closeExpired)
	}
}

// close closes a connection and recycles its read buffer. No call may be using the connection.
func (c *Client) close(pc *persistConn) {
	pc.Close()
	bufferpool.PutReader(pc.r)
}

// closeExpired closes the connections that have been idle for idleTimeout. A timer calls it as long as there are idle connections, so
// that they are closed even if no further call is made.
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

// exchange writes a call and reads its reply. The result gotReply reports whether any byte of the reply arrived.
func (pc *persistConn) exchange(id string, timeout time.Duration, body []byte) (r reply, gotReply bool, err error) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	*b = fmt.Appendf(*b, "POST /v2/read HTTP/1.1\r\nHost: vault\r\nX-Ticket: %s\r\nX-Max-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		id, max(1, timeout.Milliseconds()), len(body))
	*b = append(*b, body...)
	if _, err := pc.Write(*b); err != nil {
		return r, false, fmt.Errorf("writing the call: %w", err)
	}
	if _, err := pc.r.Peek(1); err != nil {
		return r, false, fmt.Errorf("reading the reply: %w", err)
	}
	r, err = readReply(pc.r)
	return r, true, err
}
