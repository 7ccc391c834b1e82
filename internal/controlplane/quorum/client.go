package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// Client asks a group, by whichever member answers.
type Client struct {
	Group string
	Addrs []string // of members

	mu     sync.Mutex
	conns  map[string]*msgpackrpc.Conn
	leader string // who was last known to lead
	next   int    // of Addrs, to be tried
}

var (
	// ErrNoGroup says that no member answered as one that leads, in the time that there was.
	ErrNoGroup = errors.New("the group can't be asked")
	// ErrRefused says that the group said no.
	ErrRefused = errors.New("refused")
)

const askWithin = 700 * time.Millisecond

// Close ends its connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

// to returns the connection to a member, opened anew where it was lost.
func (c *Client) to(ctx context.Context, addr string) (*msgpackrpc.Conn, error) {
	c.mu.Lock()
	conn := c.conns[addr]
	c.mu.Unlock()
	if conn != nil {
		if _, usable := conn.Capacity(); usable {
			return conn, nil
		}
		conn.Close()
	}
	dial, cancel := context.WithTimeout(ctx, DialWithin)
	defer cancel()
	conn, err := msgpackrpc.DialCalls(dial, addr)
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

// Say says a word to one member.
func (c *Client) Say(ctx context.Context, addr, method string, fields map[string]string, body []byte) (msgpackrpc.Reply, error) {
	conn, err := c.to(ctx, addr)
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
	wait := time.NewTimer(askWithin)
	defer wait.Stop()
	select {
	case a, ok := <-reply:
		if !ok {
			return a, errors.New("the connection ended without an answer")
		}
		return a, nil
	case <-wait.C:
		conn.Close() // what it carries may be stuck: the next word has a new one
		return msgpackrpc.Reply{}, fmt.Errorf("no answer within %v", askWithin)
	case <-ctx.Done():
		return msgpackrpc.Reply{}, ctx.Err()
	}
}

// once asks the member that is thought to lead, else the next in turn, and notes who leads by its answer.
func (c *Client) once(ctx context.Context, method string, fields map[string]string, body []byte) (msgpackrpc.Reply, error) {
	c.mu.Lock()
	addr := c.leader
	if addr == "" {
		addr = c.Addrs[c.next%len(c.Addrs)]
		c.next++
	}
	c.mu.Unlock()
	a, err := c.Say(ctx, addr, method, fields, body)
	c.mu.Lock()
	switch {
	case err != nil, a.Error == WordLost:
		c.leader = ""
	case a.Error == WordNotLeader:
		if c.leader = a.Fields["leader"]; !slices.Contains(c.Addrs, c.leader) {
			c.leader = "" // only those are asked that it was told of
		}
	default:
		c.leader = addr
	}
	c.mu.Unlock()
	return a, err
}

// ask asks until a member that leads has answered, or the context ends. Whatever is asked changes nothing by being asked
// twice.
func (c *Client) ask(ctx context.Context, method string, fields map[string]string, body []byte) ([]byte, error) {
	var last error
	for n := 0; ; n++ {
		a, err := c.once(ctx, method, fields, body)
		switch {
		case err != nil:
			last = err
		case a.Error == "":
			return a.Body, nil
		case a.Error == WordNo, a.Error == WordStranger:
			return nil, fmt.Errorf("%w: %s", ErrRefused, a.Fields["why"])
		default:
			last = fmt.Errorf("%s %s", a.Error, a.Fields["why"])
		}
		pause := 20 * time.Millisecond
		if n > len(c.Addrs) {
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoGroup, last)
		case <-time.After(pause):
		}
	}
}

// Do has the group agree on a command. An error in the result is the group's own no.
func (c *Client) Do(ctx context.Context, cmd statemachine.Command) (r statemachine.Result, err error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return r, err
	}
	method := "group.do"
	if cmd.Lease != nil && cmd.Lease.Op == lease.Renew {
		method = "group.renew"
	}
	out, err := c.ask(ctx, method, nil, body)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(out, &r)
}

// Read reads what all have agreed on by now: the table, and the journal of a duty, or, with "*", of all.
func (c *Client) Read(ctx context.Context, duty string) (v View, err error) {
	out, err := c.ask(ctx, "group.read", map[string]string{"duty": duty}, nil)
	if err != nil {
		return v, err
	}
	return v, json.Unmarshal(out, &v)
}

// Sync says what a process that acts on documents has to say, and returns what is in force.
func (c *Client) Sync(ctx context.Context, s Sync) (a Synced, err error) {
	body, err := json.Marshal(s)
	if err != nil {
		return a, err
	}
	out, err := c.ask(ctx, "rules.sync", nil, body)
	if err != nil {
		return a, err
	}
	return a, json.Unmarshal(out, &a)
}

// Rules reads the documents, and who acts on which.
func (c *Client) Rules(ctx context.Context) (r Rules, err error) {
	out, err := c.ask(ctx, "rules.read", nil, nil)
	if err != nil {
		return r, err
	}
	return r, json.Unmarshal(out, &r)
}

// Parts asks for parts of a version of a document, or for its manifest where none are named: once, of the member that was last
// known to lead.
func (c *Client) Parts(ctx context.Context, w configstore.Want) (p Parts, err error) {
	body, err := json.Marshal(w)
	if err != nil {
		return p, err
	}
	a, err := c.once(ctx, "rules.parts", nil, body)
	if err == nil && a.Error != "" {
		err = fmt.Errorf("%s %s", a.Error, a.Fields["why"])
	}
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(a.Body, &p)
}

// StatusOf asks one member what it is.
func (c *Client) StatusOf(ctx context.Context, addr string) (s Status, err error) {
	a, err := c.Say(ctx, addr, "group.status", nil, nil)
	if err == nil && a.Error != "" {
		err = fmt.Errorf("%s: %s", a.Error, a.Fields["why"])
	}
	if err == nil {
		err = json.Unmarshal(a.Body, &s)
	}
	return s, err
}

func (c *Client) must(ctx context.Context, addr, method string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	a, err := c.Say(ctx, addr, method, nil, body)
	if err == nil && a.Error != "" {
		err = fmt.Errorf("%s: %s", a.Error, a.Fields["why"])
	}
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	return nil
}

// Found makes a group of members that belong to none. It can be said again where it failed half way.
func (c *Client) Found(ctx context.Context, terms lease.Terms) (Founding, error) {
	f := Founding{Group: c.Group, Terms: terms}
	for _, addr := range c.Addrs {
		s, err := c.StatusOf(ctx, addr)
		if err != nil {
			return f, fmt.Errorf("%s: %w", addr, err)
		}
		f.Members = append(f.Members, statemachine.Member{ID: idOf(s.ID), Name: s.Name, Addr: addr})
	}
	id := f.ID()
	for _, addr := range c.Addrs {
		if s, err := c.StatusOf(ctx, addr); err != nil || s.GroupID != "" && s.GroupID != id {
			return f, fmt.Errorf("%s: belongs to group %s already: a group is founded of members whose disks are empty", addr, s.GroupID)
		}
	}
	for _, addr := range c.Addrs {
		if err := c.must(ctx, addr, "group.found", f); err != nil {
			return f, err
		}
	}
	return f, nil
}

func idOf(hex string) uint64 {
	var id uint64
	fmt.Sscanf(hex, "%x", &id)
	return id
}

// Add makes a member whose disk is empty one of the group: it listens until it has caught up, then it has a vote.
func (c *Client) Add(ctx context.Context, addr string) error {
	s, err := c.StatusOf(ctx, addr)
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	at, err := c.leading(ctx)
	if err != nil {
		return err
	}
	if err := c.must(ctx, addr, "group.join", Joining{ID: at.GroupID, Members: at.Members}); err != nil {
		return err
	}
	p, _ := json.Marshal(statemachine.Member{ID: idOf(s.ID), Name: s.Name, Addr: addr})
	for {
		out, err := c.ask(ctx, "group.add", nil, p)
		if err != nil || string(out) == `"voter"` {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s listens and has no vote yet: %w", addr, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Remove takes a member out, by name.
func (c *Client) Remove(ctx context.Context, name string) error {
	at, err := c.leading(ctx)
	if err != nil {
		return err
	}
	for _, p := range at.Members {
		if p.Name == name {
			b, _ := json.Marshal(p)
			_, err := c.ask(ctx, "group.remove", nil, b)
			return err
		}
	}
	return fmt.Errorf("no such member: %q", name)
}

// leading is the status of the member that leads.
func (c *Client) leading(ctx context.Context) (Status, error) {
	if _, err := c.Read(ctx, ""); err != nil {
		return Status{}, err
	}
	c.mu.Lock()
	addr := c.leader
	c.mu.Unlock()
	return c.StatusOf(ctx, addr)
}
