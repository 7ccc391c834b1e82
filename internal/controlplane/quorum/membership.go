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

// catchUpPollInterval is the pause between polls of whether a new member has caught up, which takes seconds.
const catchUpPollInterval = 50 * time.Millisecond

// Replies to MethodAdd and MethodRemove, as JSON strings.
const (
	ReplyVoter      = `"voter"`       // the member is a voter
	ReplyCatchingUp = `"catching up"` // the member is a learner, whose log is still too far behind the leader's for a vote
	ReplyChanged    = `"changed"`     // one membership change was applied; for MethodAdd, call again
)

// StatusOf returns the status of one member.
func (c *Client) StatusOf(ctx context.Context, addr string) (s Status, err error) {
	body, err := c.callMember(ctx, addr, MethodStatus, nil)
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	return s, err
}

// callMember makes one call to one member and returns the body of the reply. An error code in the reply is an error.
func (c *Client) callMember(ctx context.Context, addr, method string, body []byte) ([]byte, error) {
	r, err := c.Call(ctx, addr, method, nil, body)
	if err == nil && r.Error != "" {
		err = fmt.Errorf("%s: %s", r.Error, r.Fields["why"])
	}
	return r.Body, err
}

// callMemberJSON makes one call to one member with a value as its JSON body.
func (c *Client) callMemberJSON(ctx context.Context, addr, method string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	if _, err := c.callMember(ctx, addr, method, body); err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	return nil
}

// CreateGroup creates a group of the client's members. It fails if one of them belongs to another group. After an error it can be called
// again, even if some members already belong to the new group.
func (c *Client) CreateGroup(ctx context.Context, terms lease.Terms) (Bootstrap, error) {
	bootstrap := Bootstrap{Group: c.Group, Terms: terms}
	for _, addr := range c.Addrs {
		s, err := c.StatusOf(ctx, addr)
		if err != nil {
			return bootstrap, fmt.Errorf("%s: %w", addr, err)
		}
		bootstrap.Members = append(bootstrap.Members, statemachine.Member{ID: parseMemberID(s.ID), Name: s.Name, Addr: addr})
	}
	id := bootstrap.ID()
	for _, addr := range c.Addrs {
		if s, err := c.StatusOf(ctx, addr); err != nil || s.GroupID != "" && s.GroupID != id {
			return bootstrap, fmt.Errorf("%s: belongs to group %s already: a group is founded of members whose disks are empty", addr, s.GroupID)
		}
	}
	for _, addr := range c.Addrs {
		if err := c.callMemberJSON(ctx, addr, MethodBootstrap, bootstrap); err != nil {
			return bootstrap, err
		}
	}
	return bootstrap, nil
}

// parseMemberID parses the ID in a Status. It returns 0, which is no member's ID, if the ID is malformed.
func parseMemberID(hex string) uint64 {
	id, err := strconv.ParseUint(hex, 16, 64)
	if err != nil {
		return 0
	}
	return id
}

// Add adds a member whose disk is empty to the group. The member is a learner until it has caught up, and then becomes a voter. Add
// returns once the member is a voter, or with an error if the context ends first.
func (c *Client) Add(ctx context.Context, addr string) error {
	s, err := c.StatusOf(ctx, addr)
	if err != nil {
		return fmt.Errorf("%s: %w", addr, err)
	}
	leader, err := c.leaderStatus(ctx)
	if err != nil {
		return err
	}
	if err := c.callMemberJSON(ctx, addr, MethodJoin, Join{ID: leader.GroupID, Members: leader.Members}); err != nil {
		return err
	}
	member, err := json.Marshal(statemachine.Member{ID: parseMemberID(s.ID), Name: s.Name, Addr: addr})
	if err != nil {
		return err
	}
	for {
		reply, err := c.callUntilAnswered(ctx, MethodAdd, nil, member)
		if err != nil || string(reply) == ReplyVoter {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("member %s is a learner and not yet a voter: %w", addr, ctx.Err())
		case <-time.After(catchUpPollInterval):
		}
	}
}

// Remove removes the member with a name from the group.
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

// leaderStatus returns the status of the leader.
func (c *Client) leaderStatus(ctx context.Context) (Status, error) {
	if _, err := c.Read(ctx, ""); err != nil {
		return Status{}, err
	}
	c.mu.Lock()
	addr := c.leader
	c.mu.Unlock()
	return c.StatusOf(ctx, addr)
}
