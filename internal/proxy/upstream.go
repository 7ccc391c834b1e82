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

// upstream is a server with its connections. A connection carries several requests at a time; a further one is opened where all are
// full and the router has a slot left.
type upstream struct {
	name, addr string
	boot       atomic.Int64  // Unix milliseconds of its start, as it said last; 0: it has not
	slots      chan struct{} // of the router's connections to all servers
	dial       func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)

	mu    sync.Mutex
	conns []*msgpackrpc.Conn
}

// close closes the connections and gives their slots back; the upstream may be nil.
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

// conn returns a connection with capacity for one more request, a new one where there is none. It is an error where none can be opened.
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
		return nil, fmt.Errorf("connecting to %s: no connections left", u.name)
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

// maxSends is how often an attempt is written: once more where its connection turned out to be closed. A server closes connections that
// rest, and a request that crosses that end is proven not to have run: failing it would show an error for each idle connection.
const maxSends = 2

// send sends an attempt and waits for its end. It returns the fields of the server's answer, nil for none. Where the connection is closed
// as it is written to, or the server says that it has not processed the request, the attempt goes out on a new connection.
func (u *upstream) send(ctx context.Context, t msgpackrpc.Attempt) (attemptResult, map[string]string) {
	for sends := 0; sends < maxSends; {
		c, err := u.conn(ctx)
		if err != nil {
			return attemptResult{outcome: connectOutcome(err)}, nil
		}
		id, reply, err := c.Send(func(id uint64) []byte { return t.Append(nil, id) })
		switch {
		case errors.Is(err, msgpackrpc.ErrFull): // other requests were quicker
			continue
		case err != nil:
			sends++
			continue
		}
		select {
		case a, ok := <-reply:
			if !ok {
				return attemptResult{outcome: loadbalancer.ConnectionLost}, nil
			}
			if a.Unprocessed() { // it crossed the end of an idle connection
				sends++
				continue
			}
			return resultOf(a), a.Fields
		case <-ctx.Done():
			c.Cancel(id)
			return attemptResult{outcome: loadbalancer.TimedOut}, nil
		}
	}
	return attemptResult{outcome: loadbalancer.NotSent}, nil
}

// connectOutcome says what a connection that could not be had proves: nothing was sent, so nothing ran.
func connectOutcome(err error) loadbalancer.Outcome {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) {
		return loadbalancer.ConnectFailed
	}
	return loadbalancer.NotSent
}
