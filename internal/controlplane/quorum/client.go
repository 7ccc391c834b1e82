// Package quorum is the client of the group that agrees on the fleet's work, and the messages of its wire. A member of the group is in
// package member, which brings the raft library: a process that only asks links none of it.
package quorum

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"silverpath/internal/transport/msgpackrpc"
)

// Client asks a group, by whichever member answers. Its methods may be called at the same time.
type Client struct {
	Group string
	Addrs []string // of members; no others are asked, whatever a member answers

	mu     sync.Mutex
	conns  map[string]*msgpackrpc.Conn
	leader string // the address of the member that was last known to lead; empty: none is
	next   int    // of Addrs, to be tried where no leader is known
}

// Errors that callers decide by.
var (
	// ErrUnavailable says that no member answered as the leader in the time that there was. What was asked may have been done.
	ErrUnavailable = errors.New("the group can't be asked")
	// ErrRefused says that the group said no.
	ErrRefused = errors.New("refused")
)

// Times of a call that is repeated until the leader answers.
const (
	attemptTimeout = 700 * time.Millisecond // of one call to one member: a leader that lost its majority answers nothing
	retryPause     = 20 * time.Millisecond  // between two members: one round over all of them is quick
	roundPause     = 100 * time.Millisecond // once all were asked: an election takes a few of these
)

// Close ends the client's connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// connTo returns the connection to a member, opened anew where it was lost.
func (c *Client) connTo(ctx context.Context, addr string) (*msgpackrpc.Conn, error) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil {
		if _, usable := conn.Capacity(); usable {
			return conn, nil
		}
		conn.Close()
	}
	dialing, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := msgpackrpc.DialCalls(dialing, addr)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[string]*msgpackrpc.Conn{}
	}
	if old := c.conns[addr]; old != nil {
		old.Close()
	}
	c.conns[addr] = conn
	return conn, nil
}

// Call makes one call to one member and returns its reply, which may carry an error code. With an error nobody knows whether the call
// took effect.
func (c *Client) Call(ctx context.Context, addr, method string, fields map[string]string, body []byte) (msgpackrpc.Reply, error) {
	conn, err := c.connTo(ctx, addr)
	if err != nil {
		return msgpackrpc.Reply{}, err
	}
	all := map[string]string{"g": c.Group}
	for k, v := range fields {
		all[k] = v
	}
	reply, err := conn.Call(msgpackrpc.Call{Method: method, Fields: all, Body: body})
	if err != nil {
		return msgpackrpc.Reply{}, err
	}
	timeout := time.NewTimer(attemptTimeout)
	defer timeout.Stop()
	select {
	case r, ok := <-reply:
		if !ok {
			return r, errors.New("the connection ended without an answer")
		}
		return r, nil
	case <-timeout.C:
		conn.Close() // what it carries may be stuck: the next call has a new one
		return msgpackrpc.Reply{}, fmt.Errorf("no answer within %v", attemptTimeout)
	case <-ctx.Done():
		return msgpackrpc.Reply{}, ctx.Err()
	}
}

// callLeader calls the member that is thought to lead, else the next in turn, and notes who leads by its reply.
func (c *Client) callLeader(ctx context.Context, method string, fields map[string]string, body []byte) (msgpackrpc.Reply, error) {
	c.mu.Lock()
	addr := c.leader
	if addr == "" {
		addr = c.Addrs[c.next%len(c.Addrs)]
		c.next++
	}
	c.mu.Unlock()
	r, err := c.Call(ctx, addr, method, fields, body)
	c.mu.Lock()
	switch {
	case err != nil, r.Error == CodeUnknownOutcome:
		c.leader = ""
	case r.Error == CodeNotLeader:
		if c.leader = r.Fields["leader"]; !slices.Contains(c.Addrs, c.leader) {
			c.leader = "" // only those are asked that the client was told of
		}
	default:
		c.leader = addr
	}
	c.mu.Unlock()
	return r, err
}

// callUntilAnswered calls until the leader has answered, or the context ends: then the error wraps ErrUnavailable. It may call twice,
// so it is for what changes nothing by being asked twice. A no of the group wraps ErrRefused.
func (c *Client) callUntilAnswered(ctx context.Context, method string, fields map[string]string, body []byte) ([]byte, error) {
	var last error
	for n := 0; ; n++ {
		r, err := c.callLeader(ctx, method, fields, body)
		switch {
		case err != nil:
			last = err
		case r.Error == "":
			return r.Body, nil
		case r.Error == CodeRefused, r.Error == CodeWrongGroup:
			return nil, fmt.Errorf("%w: %s", ErrRefused, r.Fields["why"])
		default:
			last = fmt.Errorf("%s %s", r.Error, r.Fields["why"])
		}
		pause := retryPause
		if n > len(c.Addrs) {
			pause = roundPause
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, last)
		case <-time.After(pause):
		}
	}
}
