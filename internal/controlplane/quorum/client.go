// Package quorum has the client of the raft group that coordinates the fleet, and the messages of its protocol. The members are in
// package member, which imports the raft library; a process that is only a client does not link that library.
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

// Client sends requests to the leader of a group, which it finds by asking the members. It is safe for concurrent use.
type Client struct {
	Group string
	Addrs []string // of members; the client calls no other address, even if a reply names one as the leader

	mu       sync.Mutex
	conns    map[string]*msgpackrpc.Conn
	leader   string // address of the last known leader; empty: unknown
	nextAddr int    // index in Addrs, modulo its length, of the member to try next if no leader is known
}

// Errors that callers distinguish.
var (
	// ErrUnavailable means that no member answered as the leader before the context ended. The request may have been executed.
	ErrUnavailable = errors.New("the group is unavailable")
	// ErrRefused means that the group rejected the request.
	ErrRefused = errors.New("refused")
)

// Timeouts and pauses of a call that is retried until the leader answers.
const (
	attemptTimeout = 700 * time.Millisecond // for one call to one member: a leader that lost its majority does not answer
	retryPause     = 20 * time.Millisecond  // between attempts in the first round over the members
	roundPause     = 100 * time.Millisecond // between attempts after that round: an election lasts several of these
)

// Close closes the client's connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// connTo returns the connection to a member. It dials if there is none or if the present one accepts no more calls.
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
	dialCtx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	conn, err := msgpackrpc.DialCalls(dialCtx, addr)
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

// Call makes one call to one member and returns its reply, which may carry an error code. If Call returns an error, the call may have
// been executed or not.
func (c *Client) Call(ctx context.Context, addr, method string, fields map[string]string, body []byte) (msgpackrpc.Reply, error) {
	conn, err := c.connTo(ctx, addr)
	if err != nil {
		return msgpackrpc.Reply{}, err
	}
	allFields := map[string]string{"g": c.Group}
	for k, v := range fields {
		allFields[k] = v
	}
	replies, err := conn.Call(msgpackrpc.Call{Method: method, Fields: allFields, Body: body})
	if err != nil {
		return msgpackrpc.Reply{}, err
	}
	timeout := time.NewTimer(attemptTimeout)
	defer timeout.Stop()
	select {
	case r, ok := <-replies:
		if !ok {
			return r, errors.New("connection closed before the reply arrived")
		}
		return r, nil
	case <-timeout.C:
		conn.Close() // the connection may be stuck: the next call opens a new one
		return msgpackrpc.Reply{}, fmt.Errorf("no reply within %v", attemptTimeout)
	case <-ctx.Done():
		return msgpackrpc.Reply{}, ctx.Err()
	}
}

// callLeader calls the last known leader, or the next member in turn if none is known. It updates the known leader from the reply.
func (c *Client) callLeader(ctx context.Context, method string, fields map[string]string, body []byte) (msgpackrpc.Reply, error) {
	c.mu.Lock()
	addr := c.leader
	if addr == "" {
		addr = c.Addrs[c.nextAddr%len(c.Addrs)]
		c.nextAddr++
	}
	c.mu.Unlock()
	r, err := c.Call(ctx, addr, method, fields, body)
	c.mu.Lock()
	switch {
	case err != nil, r.Error == CodeUnknownOutcome:
		c.leader = ""
	case r.Error == CodeNotLeader:
		if c.leader = r.Fields["leader"]; !slices.Contains(c.Addrs, c.leader) {
			c.leader = "" // the client calls only the addresses in Addrs
		}
	default:
		c.leader = addr
	}
	c.mu.Unlock()
	return r, err
}

// callUntilAnswered repeats a call until the leader answers. If the context ends first, the error wraps ErrUnavailable. If the group
// rejects the call, the error wraps ErrRefused. The group may execute the call several times, so the call must be idempotent.
func (c *Client) callUntilAnswered(ctx context.Context, method string, fields map[string]string, body []byte) ([]byte, error) {
	var lastErr error
	for n := 0; ; n++ {
		r, err := c.callLeader(ctx, method, fields, body)
		switch {
		case err != nil:
			lastErr = err
		case r.Error == "":
			return r.Body, nil
		case r.Error == CodeRefused, r.Error == CodeWrongGroup:
			return nil, fmt.Errorf("%w: %s", ErrRefused, r.Fields["why"])
		default:
			lastErr = fmt.Errorf("%s %s", r.Error, r.Fields["why"])
		}
		pause := retryPause
		if n > len(c.Addrs) {
			pause = roundPause
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, lastErr)
		case <-time.After(pause):
		}
	}
}
