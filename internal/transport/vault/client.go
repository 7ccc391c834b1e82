// Package vault makes the calls below, of the vault or of a lower tier, over HTTP/1.1 with a client of the project's own: one call at a
// time on a connection, and a call is given up by closing its connection. What matters is which ends prove that a call never ran.
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

// idleTimeout is how long a connection is kept for the next call. The other side closes after 10 s; a call that meets that close would
// break off, which proves nothing, so ours go long before.
const idleTimeout = 3 * time.Second

// Client makes calls. It is the core's Caller.
type Client struct {
	dial func(ctx context.Context, network, addr string) (net.Conn, error)
	sem  chan struct{} // has a token for each connection in use

	mu    sync.Mutex
	addr  string
	idle  []*persistConn
	calls map[string]*call // by request
}

// call is one that is under way.
type call struct{ cancel context.CancelFunc }

// conn is a connection, in use or idle.
type persistConn struct {
	net.Conn
	addr      string
	r         *bufio.Reader
	idleSince time.Time
	reused    bool
}

// New returns a client with at most maxConns connections at once.
func New(addr string, maxConns int) *Client {
	return &Client{
		addr: addr, dial: (&net.Dialer{}).DialContext, sem: make(chan struct{}, max(1, maxConns)),
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
	for _, pc := range c.idle {
		c.close(pc)
	}
	c.idle = nil
}

// Call makes one call for a request and returns its outcome with the reply's body; a second call for the same request gives up the
// first. It waits for a connection and the reply, for timeout at the most. Outcomes that prove that the call never ran are Unreachable,
// Overloaded and NotStarted.
//
// A call that may be made only once (atMostOnce) goes out on a connection of its own: on one that has idled a reset could mean that the
// other side had forgotten it, so that the call never ran, or as well that it ran and its reply was lost. On a new one only the latter
// is possible. Calls that may be made again take an idle connection where there is one, and are made again at once should it break
// before a reply begins.
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

// errUnreachable is of a connection that could not be made: it proves that no call ran.
var errUnreachable = errors.New("connecting")

// errSurplus is of a reply after which more came than its length says.
var errSurplus = errors.New("reading the reply: more came than its length says")

// callOnce makes a call on one connection, a new one where it must be (fresh). Stale says that it was an idle one that broke before any
// of a reply came.
func (c *Client) callOnce(ctx context.Context, id string, timeout time.Duration, body []byte, fresh bool) (r reply, stale bool, err error) {
	pc, err := c.connect(ctx, fresh)
	if err != nil {
		return r, false, err
	}
	stop := context.AfterFunc(ctx, func() { pc.Close() })
	r, gotReply, err := pc.exchange(id, timeout, body)
	surplus := pc.r.Buffered() > 0
	if err == nil && r.status == 200 && surplus {
		// Its length is wrong, or there are two replies: in either case nobody knows what the reply is. A rejection stands, as nothing of
		// it is handed on.
		err = errSurplus
	}
	stale = pc.reused && err != nil && !gotReply
	// After surplus the connection has lost its place. And one made for one call is not kept: many of those would fill the descriptors.
	if !stop() || err != nil || !r.keepAlive || surplus || fresh {
		c.close(pc)
	} else {
		c.keepIdle(pc)
	}
	return r, stale, err
}

// connect returns an idle connection to use again, or a new one; fresh: always a new one.
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
	for len(c.idle) > 0 && len(c.idle)+len(c.sem) > cap(c.sem) { // those in use count, and this one among them
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

// isIdle reports whether an idle connection is still open and has brought nothing.
func isIdle(conn net.Conn) bool {
	state := linger.Peek(conn)
	return state == linger.Idle || state == linger.Unknown
}

// keepIdle keeps a connection for the next call and closes those that have idled for too long.
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

// close closes a connection that nobody uses.
func (c *Client) close(pc *persistConn) {
	pc.Close()
	bufferpool.PutReader(pc.r)
}

// closeExpired closes idle connections, so that none is kept when no call comes to use it. A timer calls it while there are any.
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

// exchange writes a call and reads its reply. GotReply says whether anything of a reply came.
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
