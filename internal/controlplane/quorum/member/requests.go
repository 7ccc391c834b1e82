package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// replyFunc sends the reply to a call. It is called exactly once, by the event loop or by a goroutine that encodes a large reply.
type replyFunc func(msgpackrpc.CallResult)

// HandleCall starts to handle a call and returns a function that waits for its reply. The listener calls HandleCall for the calls of a
// connection in the order of their arrival. The reply is CodeUnknownOutcome if the member stops or the context ends first.
func (m *Member) HandleCall(ctx context.Context, call msgpackrpc.Call) func() msgpackrpc.CallResult {
	if g := call.Fields["g"]; g != m.cfg.Group {
		m.stats.Inc("group", "strangers")
		return replyNow(msgpackrpc.CallResult{Error: quorum.CodeWrongGroup, Fields: []string{"why", fmt.Sprintf("this is group %q, not %q", m.cfg.Group, g)}})
	}
	if call.Method == quorum.MethodStatus {
		b, err := json.Marshal(m.Status())
		if err != nil {
			return replyNow(errorReply(quorum.CodeRefused, "%v", err))
		}
		return replyNow(msgpackrpc.CallResult{Body: b})
	}
	// The event loop handles all other calls.
	result := make(chan msgpackrpc.CallResult, 1)
	m.enqueue(func() { m.dispatch(call, func(r msgpackrpc.CallResult) { result <- r }) })
	return func() msgpackrpc.CallResult {
		select {
		case r := <-result:
			return r
		case <-m.stopped:
		case <-ctx.Done():
		}
		return msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome}
	}
}

// replyNow returns a function that returns a reply without waiting.
func replyNow(r msgpackrpc.CallResult) func() msgpackrpc.CallResult {
	return func() msgpackrpc.CallResult { return r }
}

// errorReply returns a reply with an error code and a reason in words.
func errorReply(code, format string, args ...any) msgpackrpc.CallResult {
	return msgpackrpc.CallResult{Error: code, Fields: []string{"why", fmt.Sprintf(format, args...)}}
}

// dispatch handles a call in the event loop.
func (m *Member) dispatch(call msgpackrpc.Call, reply replyFunc) {
	switch call.Method {
	case quorum.MethodRaft, quorum.MethodVouch, quorum.MethodMark, quorum.MethodSnapshotPart:
		reply(m.handlePeer(call))
	case quorum.MethodBootstrap:
		reply(m.handleBootstrap(call))
	case quorum.MethodJoin:
		reply(m.handleJoin(call))
	case quorum.MethodDo:
		m.handleDo(call, reply)
	case quorum.MethodRenew:
		m.handleRenew(call, reply)
	case quorum.MethodRead:
		m.handleRead(call, reply)
	case quorum.MethodConfigSync:
		m.handleConfigSync(call, reply)
	case quorum.MethodConfigRead:
		m.handleConfigRead(reply)
	case quorum.MethodConfigParts:
		m.handleConfigParts(call, reply)
	case quorum.MethodAdd, quorum.MethodRemove:
		m.handleMemberChange(call, reply)
	default:
		reply(errorReply(quorum.CodeRefused, "no such word: %q", call.Method))
	}
}

// handlePeer handles a call of another member. It rejects calls from another group, from a copy of this disk, and from a start of a disk
// of which a later start was seen.
func (m *Member) handlePeer(call msgpackrpc.Call) msgpackrpc.CallResult {
	id, self := uintField(call, "id"), m.identity.Load()
	switch {
	case self.Group == "" || call.Fields["gi"] != self.Group:
		m.stats.Inc("group", "strangers")
		return errorReply(quorum.CodeWrongGroup, "this is group %q, not %q", self.Group, call.Fields["gi"])
	case id == self.ID:
		return errorReply(quorum.CodeSuperseded, "two processes run on copies of one disk")
	}
	last := m.marks[id]
	mark := diskMark{uintField(call, "st"), uintField(call, "n"), uintField(call, "t"), uintField(call, "c")}
	if mark.Starts < last.Starts || mark.Starts == last.Starts && mark.Nonce != last.Nonce {
		return errorReply(quorum.CodeSuperseded, "start %d of this disk, and start %d of it was seen elsewhere", mark.Starts, last.Starts)
	}
	switch call.Method {
	case quorum.MethodVouch:
		return m.handleVouch(id, mark)
	case quorum.MethodMark:
		m.handleMark(id, mark)
	case quorum.MethodSnapshotPart:
		return m.handleSnapshotPart(call, id)
	case quorum.MethodRaft:
		return m.handleRaft(call, id)
	}
	return msgpackrpc.CallResult{}
}

// uintField parses a numeric field. It returns 0 if the field is missing or malformed.
func uintField(call msgpackrpc.Call, key string) uint64 {
	n, err := strconv.ParseUint(call.Fields[key], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// handleRaft passes the raft messages of a call to the library. A member that is not confirmed drops them: it must not vote or
// acknowledge.
func (m *Member) handleRaft(call msgpackrpc.Call, from uint64) msgpackrpc.CallResult {
	if !m.confirmed {
		return msgpackrpc.CallResult{}
	}
	messages, err := parseMessages(call.Body)
	if err != nil {
		m.stats.Inc("malformed", ListenerName)
		return errorReply(quorum.CodeRefused, "%v", err)
	}
	for _, message := range messages {
		m.stepRaft(message, from)
	}
	return msgpackrpc.CallResult{}
}

// stepRaft passes a message to the library, unless the message shows that this disk has lost an entry that it had acknowledged. The commit
// index in a leader's heartbeat never exceeds what this member has acknowledged, so a commit index beyond the end of the log means that
// entries were lost here. The library would panic on it.
func (m *Member) stepRaft(message *pb.Message, from uint64) {
	if message.GetFrom() != from || message.GetTo() != m.identity.Load().ID || raft.IsLocalMsg(message.GetType()) {
		m.stats.Inc("malformed", ListenerName)
		return
	}
	if last, _ := m.store.memory.LastIndex(); message.GetType() == pb.MsgHeartbeat && message.GetCommit() > last {
		m.abort(fmt.Errorf("the disk is older than its words: entry %d was acknowledged, but the log ends at %d; move %s aside and add the member again",
			message.GetCommit(), last, m.cfg.Dir))
		return
	}
	_ = m.node.Step(message) // the errors concern outdated messages only
}

// notLeader returns the reply of a member that is not the leader, with the leader's address if it is known.
func (m *Member) notLeader() msgpackrpc.CallResult {
	reply := errorReply(quorum.CodeNotLeader, "member %s does not lead", m.cfg.Name)
	if m.node != nil {
		if leader, ok := m.state.Members[m.node.BasicStatus().Lead]; ok && leader.ID != m.identity.Load().ID {
			reply.Fields = append(reply.Fields, "leader", leader.Addr)
		}
	}
	return reply
}

// resultReply returns the reply with the result of a command. If ok is false, the outcome is unknown.
func resultReply(r statemachine.Result, ok bool) msgpackrpc.CallResult {
	if !ok {
		return msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return errorReply(quorum.CodeRefused, "%v", err)
	}
	return msgpackrpc.CallResult{Body: b}
}

// handleDo proposes a command and replies with its result once it is applied.
func (m *Member) handleDo(call msgpackrpc.Call, reply replyFunc) {
	var cmd statemachine.Command
	if err := json.Unmarshal(call.Body, &cmd); err != nil {
		reply(errorReply(quorum.CodeRefused, "%v", err))
		return
	}
	if cmd.Lease != nil && leaderOnly(*cmd.Lease) {
		reply(errorReply(quorum.CodeRefused, "only the group's leader may"))
		return
	}
	if cmd.Config != nil {
		if !m.leading || !m.caughtUp {
			reply(m.notLeader())
			return
		}
		if reason := m.completeChange(cmd.Config); reason != "" {
			reply(resultReply(statemachine.Result{Error: reason}, true))
			return
		}
	}
	if cmd.Lease != nil && cmd.Lease.Op == lease.Acquire && m.leading {
		if m.holdsOrWaits(cmd.Lease.Duty, cmd.Lease.Process) {
			m.handleRenew(call, reply) // the request changes no state, so it needs no log entry
			return
		}
		m.lessor.RecordWaiter(cmd.Lease.Duty, cmd.Lease.Process, m.clock())
	}
	m.proposeAndReply(cmd, reply)
}

// proposeAndReply proposes a command and replies with its result, or with the reason why it could not be proposed.
func (m *Member) proposeAndReply(cmd statemachine.Command, reply replyFunc) {
	err := m.propose(cmd, func(r statemachine.Result, ok bool) { reply(resultReply(r, ok)) })
	switch {
	case errors.Is(err, errNotLeader):
		reply(m.notLeader())
	case errors.Is(err, errCommandTooLong):
		reply(errorReply(quorum.CodeRefused, "%v", err))
	case err != nil:
		reply(errorReply(quorum.CodeUnknownOutcome, "%v", err))
	}
}

// leaderOnly reports whether only the leader may propose a lease request, because it follows from a timeout. An operator's Dequeue has a
// reason, the leader's has none.
func leaderOnly(request lease.Request) bool {
	return request.Op == lease.Expire || request.Op == lease.Dequeue && request.Reason == ""
}

// holdsOrWaits reports whether a process holds a duty or is in its queue.
func (m *Member) holdsOrWaits(duty, process string) bool {
	d := m.state.Table.Duties[duty]
	return d != nil && (d.Holder == process || slices.Contains(d.Queue, process))
}

// handleRenew renews a lease, or records that a process still waits for a duty. Only the leader records this; it writes no log entry. It
// replies once a majority has confirmed that this member still led after the call arrived, so no other leader can have ended the lease in
// between.
func (m *Member) handleRenew(call msgpackrpc.Call, reply replyFunc) {
	var cmd statemachine.Command
	if err := json.Unmarshal(call.Body, &cmd); err != nil || cmd.Lease == nil {
		reply(errorReply(quorum.CodeRefused, "no renewal"))
		return
	}
	request, now := *cmd.Lease, m.clock()
	if !m.leading || !m.caughtUp {
		reply(m.notLeader())
		return
	}
	expiring := false // the leader has proposed the end of the lease
	if d := m.state.Table.Duties[request.Duty]; d != nil && d.Holder == request.Process {
		expiring = !m.lessor.Renew(request.Duty, d.Epoch, request.Op != lease.Renew, now)
	}
	m.lessor.RecordWaiter(request.Duty, request.Process, now)
	m.stats.Inc("group", "renewals")
	err := m.confirmLeadership(func(ok bool) {
		r := statemachine.Result{}
		if d := m.state.Table.Duties[request.Duty]; d != nil {
			copied := *d
			r.Duty = &copied
			if expiring && d.Holder == request.Process || request.Op == lease.Renew && (d.Holder != request.Process || d.Epoch != request.Epoch) {
				r.Error, r.ErrorKind = d.StaleError(request.Epoch).Error(), statemachine.KindStaleEpoch
			}
		} else {
			r.Error = lease.ErrUnknownDuty.Error()
		}
		reply(resultReply(r, ok))
	})
	if err != nil {
		reply(m.notLeader())
	}
}

// handleRead replies with the current state of the group, once a majority has confirmed that this member still led after the call arrived.
func (m *Member) handleRead(call msgpackrpc.Call, reply replyFunc) {
	if !m.leading {
		reply(m.notLeader())
		return
	}
	err := m.confirmLeadership(func(ok bool) {
		if !ok {
			reply(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
			return
		}
		view := quorum.StateView{Terms: m.state.Terms, Table: m.state.Table, Journals: map[string]*controller.Journal{}, Wall: time.Now().UnixMilli()}
		for _, duty := range controller.Duties {
			if call.Fields["duty"] == duty || call.Fields["duty"] == "*" {
				view.Journals[duty] = m.state.Journal(duty)
			}
		}
		b, err := json.Marshal(view)
		if err != nil {
			reply(errorReply(quorum.CodeRefused, "%v", err))
			return
		}
		reply(msgpackrpc.CallResult{Body: b})
	})
	if err != nil {
		reply(m.notLeader())
	}
}
