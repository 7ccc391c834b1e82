package quorum

import (
	"context"
	"encoding/json"
	"fmt"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
)

// request sends value as the JSON body of a call, repeats the call until the leader answers, and decodes the reply into answer.
func (c *Client) request(ctx context.Context, method string, fields map[string]string, value, answer any) error {
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			return err
		}
	}
	reply, err := c.callUntilAnswered(ctx, method, fields, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(reply, answer)
}

// Do sends a command to the group, which appends it to its log; a lease renewal goes to the leader alone. Result.Error says why the
// command failed when it was applied. Do returns ErrUnavailable, after which the command may have been applied or not, or ErrRefused.
// The command may be applied more than once, so it must be idempotent.
func (c *Client) Do(ctx context.Context, cmd statemachine.Command) (r statemachine.Result, err error) {
	method := MethodDo
	if cmd.Lease != nil && cmd.Lease.Op == lease.Renew {
		method = MethodRenew
	}
	return r, c.request(ctx, method, nil, cmd, &r)
}

// Read returns the current state of the group: the lease table, and the journal of a duty, or of all duties if duty is "*".
func (c *Client) Read(ctx context.Context, duty string) (v StateView, err error) {
	return v, c.request(ctx, MethodRead, map[string]string{"duty": duty}, nil, &v)
}

// Sync reports the state of a process that uses configuration documents and returns the versions that it is to apply or prepare.
func (c *Client) Sync(ctx context.Context, s ConfigSync) (r ConfigSyncReply, err error) {
	return r, c.request(ctx, MethodConfigSync, nil, s, &r)
}

// Config returns the configuration documents and the reports of the processes that use them.
func (c *Client) Config(ctx context.Context) (v ConfigView, err error) {
	return v, c.request(ctx, MethodConfigRead, nil, nil, &v)
}

// Parts returns parts of a version of a document, or its manifest if the request names no parts. It makes one attempt, with callLeader:
// callers have their own backoff between requests for parts.
func (c *Client) Parts(ctx context.Context, request configstore.PartsRequest) (parts DocumentParts, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return parts, err
	}
	reply, err := c.callLeader(ctx, MethodConfigParts, nil, body)
	if err == nil && reply.Error != "" {
		err = fmt.Errorf("%s %s", reply.Error, reply.Fields["why"])
	}
	if err != nil {
		return parts, err
	}
	return parts, json.Unmarshal(reply.Body, &parts)
}
