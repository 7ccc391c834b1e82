package quorum

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
)

// addPause is the pause between two looks at whether a new member has caught up: short beside the seconds that it takes.
const addPause = 50 * time.Millisecond

// Answers to MethodAdd, as JSON strings.
const (
	AnswerVoter      = `"voter"`       // the member has a vote
	AnswerCatchingUp = `"catching up"` // it listens, and is not near enough to the leader yet to have one
	AnswerChanged    = `"changed"`     // one step was made: ask again
)

// StatusOf asks one member what it is.
func (c *Client) StatusOf(ctx context.Context, addr string) (s Status, err error) {
	body, err := c.callMember(ctx, addr, MethodStatus, nil)
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	return s, err
}

// callMember makes one call to one member, whose error code is an error.
func (c *Client) callMember(ctx context.Context, addr, method string, body []byte) ([]byte, error) {
	r, err := c.Call(ctx, addr, method, nil, body)
	if err == nil && r.Error != "" {
		err = fmt.Errorf("%s: %s", r.Error, r.Fields["why"])
	}
	return r.Body, err
}

// callMemberWith tells one member a value.
func (c *Client) callMemberWith(ctx context.Context, addr, method string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if _, err := c.callMember(ctx, addr, method, body); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	return nil
}

// Found makes a group of the client's members, which must belong to none. It can be called again where it failed half way.
func (c *Client) Found(ctx context.Context, terms lease.Terms) (Bootstrap, error) {
	b := Bootstrap{Group: c.Group, Terms: terms}
	for _, addr := range c.Addrs {
		s, err := c.StatusOf(ctx, addr)
		if err != nil {
			return b, fmt.Errorf("%s: %w", addr, err)
		}
		b.Members = append(b.Members, statemachine.Member{ID: parseMemberID(s.ID), Name: s.Name, Addr: addr})
	}
	id := b.ID()
	for _, addr := range c.Addrs {
		if s, err := c.StatusOf(ctx, addr); err != nil || s.GroupID != "" && s.GroupID != id {
			return b, fmt.Errorf("%s: belongs to group %s already: a group is founded of members whose disks are empty", addr, s.GroupID)
		}
	}
	for _, addr := range c.Addrs {
		if err := c.callMemberWith(ctx, addr, MethodFound, b); err != nil {
			return b, err
		}
	}
	return b, nil
}

// parseMemberID reads a member's ID as a Status has it, 0 where it can't be read: no member has that.
func parseMemberID(hex string) uint64 {
	id, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		return 0
	}
	return id
}

// Add makes a member whose disk is empty one of the group: it listens until it has caught up, then it has a vote. Add returns then, or
// with the context's end.
func (c *Client) Add(ctx context.Context, addr string) error {
	s, err := c.StatusOf(ctx, addr)
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	leader, err := c.leaderStatus(ctx)
	if err != nil {
		return err
	}
	if err := c.callMemberWith(ctx, addr, MethodJoin, Join{ID: leader.GroupID, Members: leader.Members}); err != nil {
		return err
	}
	member, err := json.Marshal(statemachine.Member{ID: parseMemberID(s.ID), Name: s.Name, Addr: addr})
	if err != nil {
		return err
	}
	for {
		answer, err := c.callUntilAnswered(ctx, MethodAdd, nil, member)
		if err != nil || string(answer) == AnswerVoter {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s listens and has no vote yet: %w", addr, ctx.Err())
		case <-time.After(addPause):
		}
	}
}

// Remove takes a member out, by name.
func (c *Client) Remove(ctx context.Context, name string) error {
	leader, err := c.leaderStatus(ctx)
	if err != nil {
		return err
	}
	for _, m := range leader.Members {
		if m.Name == name {
			body, err := json.Marshal(m)
			if err != nil {
				return err
			}
			_, err = c.callUntilAnswered(ctx, MethodRemove, nil, body)
			return err
		}
	}
	return fmt.Errorf("no such member: %q", name)
}

// leaderStatus is the status of the member that leads.
func (c *Client) leaderStatus(ctx context.Context) (Status, error) {
	if _, err := c.Read(ctx, ""); err != nil {
		return Status{}, err
	}
	c.mu.Lock()
	addr := c.leader
	c.mu.Unlock()
	return c.StatusOf(ctx, addr)
}
