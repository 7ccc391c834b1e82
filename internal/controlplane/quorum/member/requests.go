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

// replyFunc takes the reply to a call. It is called once, at once or later, by the loop or by a goroutine that marshals a large one.
type replyFunc func(msgpackrpc.CallResult)

// Answer takes a call of a connection, in the order in which they came, and returns what waits for its reply. It is what the listener of
// calls is given.
func (m *Member) Answer(ctx context.Context, call msgpackrpc.Call) func() msgpackrpc.CallResult {
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
	// The rest is the loop's.
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

// replyNow is a reply that waits for nothing.
func replyNow(r msgpackrpc.CallResult) func() msgpackrpc.CallResult {
	return func() msgpackrpc.CallResult { return r }
}

// refuse is a reply with an error code and a reason for people.
func errorReply(code, format string, args ...any) msgpackrpc.CallResult {
	return msgpackrpc.CallResult{Error: code, Fields: []string{"why", fmt.Sprintf(format, args...)}}
}

// dispatch carries out a call in the loop.
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

// handlePeer takes a call of another member, after a look at who it is.
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

// uintField reads a field that is a number, 0 where it is none.
func uintField(call msgpackrpc.Call, key string) uint64 {
	n, err := strconv.ParseUint(call.Fields[key], 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// handleRaft takes messages of the library. A member that is not confirmed drops them: it may not answer any.
func (m *Member) handleRaft(call msgpackrpc.Call, from uint64) msgpackrpc.CallResult {
	if !m.confirmed {
		return msgpackrpc.CallResult{}
	}
	messages, err := parseMessages(call.Body)
	if err != nil {
		m.stats.Inc("malformed", Name)
		return errorReply(quorum.CodeRefused, "%v", err)
	}
	for _, message := range messages {
		m.stepRaft(message, from)
	}
	return msgpackrpc.CallResult{}
}

// stepRaft hands a message to the library, unless it shows that this disk has lost an entry that it had acknowledged: a leader's heartbeat
// names no entry as agreed that this member did not acknowledge, so one beyond the log's end was lost here.
func (m *Member) stepRaft(message *pb.Message, from uint64) {
	if message.GetFrom() != from || message.GetTo() != m.identity.Load().ID || raft.IsLocalMsg(message.GetType()) {
		m.stats.Inc("malformed", Name)
		return
	}
	if last, _ := m.store.memory.LastIndex(); message.GetType() == pb.MsgHeartbeat && message.GetCommit() > last {
		m.abort(fmt.Errorf("the disk is older than its words: entry %d was said to be on it, it ends at %d; set %s aside and add the member anew",
			message.GetCommit(), last, m.cfg.Dir))
		return
	}
	_ = m.node.Step(message) // its errors are of messages that came late
}

// notLeader is the reply of a member that does not lead, with the address of the one that does where it is known.
func (m *Member) notLeader() msgpackrpc.CallResult {
	reply := errorReply(quorum.CodeNotLeader, "member %s does not lead", m.cfg.Name)
	if m.node != nil {
		if p, ok := m.state.Members[m.node.BasicStatus().Lead]; ok && p.ID != m.identity.Load().ID {
			reply.Fields = append(reply.Fields, "leader", p.Addr)
		}
	}
	return reply
}

// resultReply is the reply with what a command came to; ok is false where nobody here can say.
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

// handleDo puts a command into the log and replies with what it came to.
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
			m.handleRenew(call, reply) // it changes nothing: no entry of the log
			return
		}
		m.lessor.RecordWaiter(cmd.Lease.Duty, cmd.Lease.Process, m.clock())
	}
	m.proposeAndReply(cmd, reply)
}

// proposeAndReply puts a command into the log and replies with what it came to, or why it could not be proposed.
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

// leaderOnly reports whether a request is one that only the leader may propose: an end by its time. An operator's Dequeue says why.
func leaderOnly(request lease.Request) bool {
	return request.Op == lease.Expire || request.Op == lease.Dequeue && request.Reason == ""
}

// holdsOrWaits reports whether a process holds a duty, or waits for it.
func (m *Member) holdsOrWaits(duty, process string) bool {
	d := m.state.Table.Duties[duty]
	return d != nil && (d.Holder == process || slices.Contains(d.Queue, process))
}

// handleRenew notes that a holder goes on, or that a process waits, by the leader alone: no entry is written. It replies once a majority
// has confirmed that this member led after the call came, so that no other leader can have ended the lease meanwhile.
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
	expiring := false // its end was proposed
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

// handleRead replies with what the group has agreed on by now.
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
