package proxy

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/transport/msgpackrpc"
)

// upstream is a server with its connections. A connection carries several requests at a time. Another one is opened if all are full and the
// router has a connection slot left.
type upstream struct {
	name, addr string
	boot       atomic.Int64  // Unix milliseconds of the server's start, from its latest answer; 0: unknown
	slots      chan struct{} // limits the router's connections to all servers together
	dial       func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)

	mu    sync.Mutex
	conns []*msgpackrpc.Conn
}

// close closes the connections and releases their slots. It does nothing for a nil upstream.
func (u *upstream) close() {
	if u == nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.Close()
		<-u.slots
	}
	u.conns = nil
}

// conn returns a connection with capacity for one more request. If there is none, it opens one, and returns an error if that fails or no
// slot is left.
func (u *upstream) conn(ctx context.Context) (*msgpackrpc.Conn, error) {
	u.mu.Lock()
	open := u.conns[:0]
	var found *msgpackrpc.Conn
	for _, c := range u.conns {
		hasCapacity, usable := c.Capacity()
		if !usable {
			<-u.slots
			continue
		}
		open = append(open, c)
		if hasCapacity && found == nil {
			found = c
		}
	}
	u.conns = open
	u.mu.Unlock()
	if found != nil {
		return found, nil
	}
	select {
	case u.slots <- struct{}{}:
	default:
		return nil, fmt.Errorf("connecting to %s: the limit of connections to all servers is reached", u.name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := u.dial(ctx, u.addr)
	if err != nil {
		<-u.slots
		return nil, err
	}
	u.mu.Lock()
	u.conns = append(u.conns, c)
	u.mu.Unlock()
	return c, nil
}

// maxSends is the number of times that an attempt is written: once more if its connection turns out to be closed. A server closes idle
// connections, and a request sent while it does is proven not to have run. Failing such a request would turn each closed idle connection
// into an error.
const maxSends = 2

// send sends an attempt and waits for its result. It also returns the fields of the server's answer, or nil without an answer. If the write
// fails on a closed connection, or the server reports that it has not processed the request, the attempt is sent again on another
// connection.
func (u *upstream) send(ctx context.Context, attempt msgpackrpc.Attempt) (attemptResult, map[string]string) {
	for sends := 0; sends < maxSends; {
		c, err := u.conn(ctx)
		if err != nil {
			return attemptResult{outcome: connectOutcome(err)}, nil
		}
		id, reply, err := c.Send(func(id uint64) []byte { return attempt.Append(nil, id) })
		switch {
		case errors.Is(err, msgpackrpc.ErrFull): // other requests took the connection's capacity first
			continue
		case err != nil:
			sends++
			continue
		}
		select {
		case answer, ok := <-reply:
			if !ok {
				return attemptResult{outcome: loadbalancer.ConnectionLost}, nil
			}
			if answer.Unprocessed() { // the server was closing the idle connection
				sends++
				continue
			}
			return parseReply(answer), answer.Fields
		case <-ctx.Done():
			c.Cancel(id)
			return attemptResult{outcome: loadbalancer.TimedOut}, nil
		}
	}
	return attemptResult{outcome: loadbalancer.NotSent}, nil
}

// connectOutcome returns the outcome for an error of conn. Either outcome is proof that the request never ran, as nothing was
// sent. Both count as failures of the server.
func connectOutcome(err error) loadbalancer.Outcome {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) {
		return loadbalancer.ConnectFailed
	}
	return loadbalancer.NotSent
}
