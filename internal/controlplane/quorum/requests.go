package quorum

import (
	"context"
	"encoding/json"
	"fmt"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
)

// request makes a call with a value as its JSON body, until the leader has answered, and reads the answer into another.
func (c *Client) request(ctx context.Context, method string, fields map[string]string, value, answer any) error {
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			return err
		}
	}
	out, err := c.callUntilAnswered(ctx, method, fields, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(out, answer)
}

// Do has the group agree on a command. An error in the result is the group's own no; Do's errors are as of every request: ErrUnavailable,
// after which the command may have been done or not, and ErrRefused. A command that is done twice must come to the same.
func (c *Client) Do(ctx context.Context, cmd statemachine.Command) (r statemachine.Result, err error) {
	method := MethodDo
	if cmd.Lease != nil && cmd.Lease.Op == lease.Renew {
		method = MethodRenew
	}
	return r, c.request(ctx, method, nil, cmd, &r)
}

// Read returns what the group has agreed on by now: the table, and the journal of a duty, or, with "*", of all.
func (c *Client) Read(ctx context.Context, duty string) (v StateView, err error) {
	return v, c.request(ctx, MethodRead, map[string]string{"duty": duty}, nil, &v)
}

// Sync says what a process that acts on documents has to say, and returns what is in force.
func (c *Client) Sync(ctx context.Context, s ConfigSync) (r ConfigSyncReply, err error) {
	return r, c.request(ctx, MethodConfigSync, nil, s, &r)
}

// Config returns the documents, and who acts on which.
func (c *Client) Config(ctx context.Context) (v ConfigView, err error) {
	return v, c.request(ctx, MethodConfigRead, nil, nil, &v)
}

// Parts returns parts of a version of a document, or its manifest where none are named. It asks once, of the member that was last known
// to lead: who asks for parts has a pause of its own before it asks again.
func (c *Client) Parts(ctx context.Context, w configstore.PartsRequest) (p DocumentParts, err error) {
	body, err := json.Marshal(w)
	if err != nil {
		return p, err
	}
	r, err := c.callLeader(ctx, MethodConfigParts, nil, body)
	if err == nil && r.Error != "" {
		err = fmt.Errorf("%s %s", r.Error, r.Fields["why"])
	}
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(r.Body, &p)
}
