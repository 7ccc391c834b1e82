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

// upstream is a server with its connections.
type upstream struct {
	name, addr string
	boot       atomic.Int64
	slots      chan struct{} // of the router's connections to all servers
	dial       func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)

	mu    sync.Mutex
	conns []*msgpackrpc.Conn
}

// close closes the connections and gives their places back; there may be no peer.
func (p *upstream) close() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
		<-p.slots
	}
	p.conns = nil
}

// conn returns a connection with room for one more request, a new one where there is none.
func (p *upstream) conn(ctx context.Context) (*msgpackrpc.Conn, error) {
	p.mu.Lock()
	kept := p.conns[:0]
	var found *msgpackrpc.Conn
	for _, c := range p.conns {
		room, usable := c.Capacity()
		if !usable {
			<-p.slots
			continue
		}
		kept = append(kept, c)
		if room && found == nil {
			found = c
		}
	}
	p.conns = kept
	p.mu.Unlock()
	if found != nil {
		return found, nil
	}
	select {
	case p.slots <- struct{}{}:
	default:
		return nil, fmt.Errorf("connecting to %s: no connections left", p.name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, p.addr)
	if err != nil {
		<-p.slots
		return nil, err
	}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	return c, nil
}

// send sends a try and waits for its end. Where the connection turns out to be closed as it is written to, the try goes
// out on a new one: nothing of it was read.
func (p *upstream) send(ctx context.Context, t msgpackrpc.Attempt) (attemptResult, map[string]string) {
	for crossed := 0; crossed < 2; {
		c, err := p.conn(ctx)
		if err != nil {
			return attemptResult{outcome: connectOutcome(ctx, err)}, nil
		}
		id, reply, err := c.Send(func(id uint64) []byte { return t.Append(nil, id) })
		switch {
		case errors.Is(err, msgpackrpc.ErrFull): // others were quicker
			continue
		case err != nil:
			crossed++
			continue
		}
		select {
		case a, ok := <-reply:
			if !ok {
				return attemptResult{outcome: loadbalancer.ConnectionLost}, nil
			}
			if a.Unprocessed() { // it crossed the end of a connection that had rested: proven that it never ran
				crossed++
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
func connectOutcome(_ context.Context, err error) loadbalancer.Outcome {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) {
		return loadbalancer.ConnectFailed
	}
	return loadbalancer.NotSent
}
