package member

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// memberChange is the context of a change of members.
type memberChange struct {
	Seq    uint64              `json:"seq"`
	Peer   statemachine.Member `json:"peer"`
	Remove uint64              `json:"remove,omitempty"`
}

// Answer answers the words of a connection; it is the one that msgpackrpc.NewWords asks for.
func (m *Member) Answer(ctx context.Context, w msgpackrpc.Call) func() msgpackrpc.CallResult {
	if g := w.Fields["g"]; g != m.cfg.Group {
		m.stats.Inc("group", "strangers")
		return replyNow(msgpackrpc.CallResult{Error: quorum.CodeWrongGroup, Fields: []string{"why", fmt.Sprintf("this is group %q, not %q", m.cfg.Group, g)}})
	}
	if w.Method == "group.status" {
		b, _ := json.Marshal(m.Status())
		return replyNow(msgpackrpc.CallResult{Body: b})
	}
	// The rest is the loop's: in the order in which it came.
	out := make(chan msgpackrpc.CallResult, 1)
	m.enqueue(func() { m.dispatch(w, func(v msgpackrpc.CallResult) { out <- v }) })
	return func() msgpackrpc.CallResult {
		select {
		case v := <-out:
			return v
		case <-m.stopped:
		case <-ctx.Done():
		}
		return msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome}
	}
}

func replyNow(v msgpackrpc.CallResult) func() msgpackrpc.CallResult {
	return func() msgpackrpc.CallResult { return v }
}

func refuse(kind, format string, args ...any) msgpackrpc.CallResult {
	return msgpackrpc.CallResult{Error: kind, Fields: []string{"why", fmt.Sprintf(format, args...)}}
}

// dispatch does what a word asks. Answer is called once, now or later.
func (m *Member) dispatch(w msgpackrpc.Call, answer func(msgpackrpc.CallResult)) {
	switch w.Method {
	case "group.raft", "group.vouch", "group.mark", "group.chunk":
		answer(m.handlePeer(w))
	case "group.found":
		answer(m.handleFound(w))
	case "group.join":
		answer(m.handleJoin(w))
	case "group.do":
		m.handleDo(w, answer)
	case "group.renew":
		m.handleRenew(w, answer)
	case "group.read":
		m.handleRead(w, answer)
	case "rules.sync":
		m.handleConfigSync(w, answer)
	case "rules.read":
		m.handleConfigRead(answer)
	case "rules.parts":
		m.handleConfigParts(w, answer)
	case "group.add", "group.remove":
		m.handleMemberChange(w, answer)
	default:
		answer(refuse(quorum.CodeRefused, "no such word: %q", w.Method))
	}
}

// handlePeer takes what another member says of itself, and its messages.
func (m *Member) handlePeer(w msgpackrpc.Call) msgpackrpc.CallResult {
	number := func(key string) uint64 { n, _ := strconv.ParseUint(w.Fields[key], 10, 64); return n }
	id, who := number("id"), m.identity.Load()
	switch {
	case who.Group == "" || w.Fields["gi"] != who.Group:
		m.stats.Inc("group", "strangers")
		return refuse(quorum.CodeWrongGroup, "this is group %q, not %q", who.Group, w.Fields["gi"])
	case id == who.ID:
		return refuse(quorum.CodeSuperseded, "two processes run on copies of one disk")
	}
	last, says := m.marks[id], diskMark{number("st"), number("n"), number("t"), number("c")}
	if says.Starts < last.Starts || says.Starts == last.Starts && says.Nonce != last.Nonce {
		return refuse(quorum.CodeSuperseded, "start %d of this disk, and start %d of it was seen elsewhere", says.Starts, last.Starts)
	}
	switch w.Method {
	case "group.vouch":
		if why := last.aheadOf(says); why != "" {
			m.log.Warn().Str("event", "group.disk_older").Str("member", m.state.Members[id].Name).Str("why", why).Send()
			return refuse(quorum.CodeSuperseded, "the disk is older than its words: %s", why)
		}
		m.marks[id] = says
		// It lasts before the other may vote: else a restart of this one would let an older disk in.
		if err := m.store.save(nil, nil, nil, m.marks); err != nil {
			m.abort(err)
			return refuse(quorum.CodeUnknownOutcome, "%v", err)
		}
	case "group.mark":
		if says.Term >= last.Term && says.Commit >= last.Commit && says != last {
			m.marks[id], m.marksDirty = says, true // with the next write
		}
	case "group.chunk":
		return m.handleSnapshotPart(w, id)
	case "group.raft":
		if !m.confirmed {
			return msgpackrpc.CallResult{} // not yet one that may say anything
		}
		list, err := parseMessages(w.Body)
		if err != nil {
			m.stats.Inc("malformed", Name)
			return refuse(quorum.CodeRefused, "%v", err)
		}
		for _, x := range list {
			m.stepRaft(x, id)
		}
	}
	return msgpackrpc.CallResult{}
}

// stepRaft hands a message to the library, unless it shows that this disk has lost what it had said.
func (m *Member) stepRaft(x *pb.Message, from uint64) {
	if x.GetFrom() != from || x.GetTo() != m.identity.Load().ID || raft.IsLocalMsg(x.GetType()) {
		m.stats.Inc("malformed", Name)
		return
	}
	if last, _ := m.store.memory.LastIndex(); x.GetType() == pb.MsgHeartbeat && x.GetCommit() > last {
		m.abort(fmt.Errorf("the disk is older than its words: entry %d was said to be on it, it ends at %d; set %s aside and add the member anew",
			x.GetCommit(), last, m.cfg.Dir))
		return
	}
	m.node.Step(x) // its errors are of messages that came late
}

// handleFound makes this member one of the first of a group.
func (m *Member) handleFound(w msgpackrpc.Call) msgpackrpc.CallResult {
	var f quorum.Bootstrap
	if err := json.Unmarshal(w.Body, &f); err != nil {
		return refuse(quorum.CodeRefused, "%v", err)
	}
	who := *m.identity.Load()
	switch {
	case who.Group == f.ID():
		return msgpackrpc.CallResult{}
	case who.Group != "":
		return refuse(quorum.CodeRefused, "member %s belongs to group %s already", who.Name, who.Group)
	case f.Group != m.cfg.Group || !slices.ContainsFunc(f.Members, func(p statemachine.Member) bool { return p.ID == who.ID }):
		return refuse(quorum.CodeRefused, "not among the first members")
	}
	if err := f.Terms.Check(); err != nil {
		return refuse(quorum.CodeRefused, "%v", err)
	}
	state := statemachine.New(1)
	state.Terms = f.Terms
	for _, p := range f.Members {
		state.Members[p.ID] = p
	}
	who.Group = f.ID()
	if err := m.store.writeFounding(who, state); err != nil {
		m.abort(err)
		return refuse(quorum.CodeUnknownOutcome, "%v", err)
	}
	m.identity.Store(&who)
	m.log.Info().Str("event", "group.founded").Str("group", who.Group).Int("members", len(f.Members)).Send()
	m.startMember()
	return msgpackrpc.CallResult{}
}

// handleJoin makes this member, whose disk is empty, one that listens to a group until it was added there.
func (m *Member) handleJoin(w msgpackrpc.Call) msgpackrpc.CallResult {
	var j quorum.Join
	if err := json.Unmarshal(w.Body, &j); err != nil || j.ID == "" {
		return refuse(quorum.CodeRefused, "no group")
	}
	who := *m.identity.Load()
	switch {
	case who.Group == j.ID:
		return msgpackrpc.CallResult{}
	case who.Group != "":
		return refuse(quorum.CodeRefused, "member %s belongs to group %s already", who.Name, who.Group)
	}
	who.Group = j.ID
	if err := m.store.writeJoin(who, j.Members); err != nil {
		m.abort(err)
		return refuse(quorum.CodeUnknownOutcome, "%v", err)
	}
	m.identity.Store(&who)
	m.log.Info().Str("event", "group.joined").Str("group", who.Group).Send()
	m.startMember()
	return msgpackrpc.CallResult{}
}

// startMember has a member take part that has just become one.
func (m *Member) startMember() {
	if err := m.startRaft(); err != nil {
		m.abort(err)
		return
	}
	m.updatePeers()
	m.requestVouches()
}

// notLeader answers for one that does not lead.
func (m *Member) notLeader() msgpackrpc.CallResult {
	v := refuse(quorum.CodeNotLeader, "member %s does not lead", m.cfg.Name)
	if m.node != nil {
		if p, ok := m.state.Members[m.node.BasicStatus().Lead]; ok && p.ID != m.identity.Load().ID {
			v.Fields = append(v.Fields, "leader", p.Addr)
		}
	}
	return v
}

func resultReply(r statemachine.Result, ok bool) msgpackrpc.CallResult {
	if !ok {
		return msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return refuse(quorum.CodeRefused, "%v", err)
	}
	return msgpackrpc.CallResult{Body: b}
}

// handleDo puts a command into the log.
func (m *Member) handleDo(w msgpackrpc.Call, answer func(msgpackrpc.CallResult)) {
	var c statemachine.Command
	if err := json.Unmarshal(w.Body, &c); err != nil {
		answer(refuse(quorum.CodeRefused, "%v", err))
		return
	}
	if c.Lease != nil && (c.Lease.Op == lease.Expire || c.Lease.Op == lease.Dequeue && c.Lease.Reason == "") {
		answer(refuse(quorum.CodeRefused, "only the group's leader may"))
		return
	}
	if c.Config != nil {
		if !m.leading || !m.caughtUp {
			answer(m.notLeader())
			return
		}
		if why := m.checkChange(c.Config); why != "" {
			answer(resultReply(statemachine.Result{Error: why}, true))
			return
		}
	}
	if c.Lease != nil && c.Lease.Op == lease.Acquire && m.leading {
		// Who has it, or waits already, changes nothing: no word in the log.
		if d := m.state.Table.Duties[c.Lease.Duty]; d != nil && (d.Holder == c.Lease.Process || slices.Contains(d.Queue, c.Lease.Process)) {
			m.handleRenew(w, answer)
			return
		}
		m.lessor.RecordWaiter(c.Lease.Duty, c.Lease.Process, m.clock())
	}
	if err := m.propose(c, func(r statemachine.Result, ok bool) { answer(resultReply(r, ok)) }); err == errNotLeader {
		answer(m.notLeader())
	} else if err == errCommandTooLong {
		answer(refuse(quorum.CodeRefused, "%v", err))
	} else if err != nil {
		answer(refuse(quorum.CodeUnknownOutcome, "%v", err))
	}
}

// handleRenew notes that an owner goes on, or that one waits, by the leader's word alone: it answers once a majority has said
// that it led after the word came.
func (m *Member) handleRenew(w msgpackrpc.Call, answer func(msgpackrpc.CallResult)) {
	var c statemachine.Command
	if err := json.Unmarshal(w.Body, &c); err != nil || c.Lease == nil {
		answer(refuse(quorum.CodeRefused, "no renewal"))
		return
	}
	a, now := *c.Lease, m.clock()
	d := m.state.Table.Duties[a.Duty]
	if !m.leading || !m.caughtUp {
		answer(m.notLeader())
		return
	}
	ending := false
	if d != nil && d.Holder == a.Process {
		ending = !m.lessor.Renew(a.Duty, d.Epoch, a.Op != lease.Renew, now)
	}
	m.lessor.RecordWaiter(a.Duty, a.Process, now)
	m.stats.Inc("group", "renewals")
	err := m.confirmLeadership(func(ok bool) {
		r := statemachine.Result{}
		if d := m.state.Table.Duties[a.Duty]; d != nil {
			copied := *d
			r.Duty = &copied
			if ending && d.Holder == a.Process || a.Op == lease.Renew && (d.Holder != a.Process || d.Epoch != a.Epoch) {
				r.Error, r.ErrorKind = d.StaleError(a.Epoch).Error(), statemachine.KindStaleEpoch
			}
		} else {
			r.Error = lease.ErrUnknownDuty.Error()
		}
		answer(resultReply(r, ok))
	})
	if err != nil {
		answer(m.notLeader())
	}
}

// handleRead answers with what all have agreed on by now.
func (m *Member) handleRead(w msgpackrpc.Call, answer func(msgpackrpc.CallResult)) {
	if !m.leading {
		answer(m.notLeader())
		return
	}
	err := m.confirmLeadership(func(ok bool) {
		if !ok {
			answer(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
			return
		}
		v := quorum.StateView{Terms: m.state.Terms, Table: m.state.Table, Journals: map[string]*controller.Journal{}, Wall: time.Now().UnixMilli()}
		for _, name := range controller.Duties {
			if w.Fields["duty"] == name || w.Fields["duty"] == "*" {
				v.Journals[name] = m.state.Journal(name)
			}
		}
		b, err := json.Marshal(v)
		if err != nil {
			answer(refuse(quorum.CodeRefused, "%v", err))
			return
		}
		answer(msgpackrpc.CallResult{Body: b})
	})
	if err != nil {
		answer(m.notLeader())
	}
}

// handleMemberChange adds a member, first as one that only listens and then, asked again once it has caught up, with a vote, or removes
// one: one at a time.
func (m *Member) handleMemberChange(w msgpackrpc.Call, answer func(msgpackrpc.CallResult)) {
	var p statemachine.Member
	if err := json.Unmarshal(w.Body, &p); err != nil || p.ID == 0 {
		answer(refuse(quorum.CodeRefused, "no member"))
		return
	}
	if !m.leading {
		answer(m.notLeader())
		return
	}
	kind, of := pb.ConfChangeAddLearnerNode, memberChange{Peer: p}
	switch pr, known := m.node.Status().Progress[p.ID]; {
	case w.Method == "group.remove":
		kind, of = pb.ConfChangeRemoveNode, memberChange{Remove: p.ID}
	case slices.Contains(m.confState.GetVoters(), p.ID):
		answer(msgpackrpc.CallResult{Body: []byte(`"voter"`)})
		return
	case known && pr.IsLearner:
		if last, _ := m.store.memory.LastIndex(); pr.Match+compactKeepEntries < last || pr.Match == 0 {
			answer(msgpackrpc.CallResult{Body: []byte(`"catching up"`)})
			return
		}
		kind = pb.ConfChangeAddNode
	default:
		for _, q := range m.state.Members {
			if q.Name == p.Name {
				answer(refuse(quorum.CodeRefused, "member %s is in the group by another disk: remove that first", p.Name))
				return
			}
		}
	}
	m.seq++
	of.Seq = m.salt + m.seq
	ctx, _ := json.Marshal(of)
	cc := &pb.ConfChangeV2{Context: ctx, Changes: []*pb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(p.ID)}}}
	if err := m.node.ProposeConfChange(cc); err != nil {
		answer(refuse(quorum.CodeUnknownOutcome, "%v", err))
		return
	}
	m.proposals[of.Seq] = func(_ statemachine.Result, ok bool) {
		if !ok {
			answer(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
			return
		}
		answer(msgpackrpc.CallResult{Body: []byte(`"changed"`)})
	}
}
