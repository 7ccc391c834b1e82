package member

import (
	"encoding/json"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// memberChange is the context of a membership change in the log.
type memberChange struct {
	Seq    uint64              `json:"seq"` // ID of the proposal, by which the proposer finds the pending reply
	Peer   statemachine.Member `json:"peer"`
	Remove uint64              `json:"remove,omitempty"`
}

// handleBootstrap makes this member one of the first members of a group. It is idempotent.
func (m *Member) handleBootstrap(call msgpackrpc.Call) msgpackrpc.CallResult {
	var bootstrap quorum.Bootstrap
	if err := json.Unmarshal(call.Body, &bootstrap); err != nil {
		return errorReply(quorum.CodeRefused, "%v", err)
	}
	identity := *m.identity.Load()
	switch {
	case identity.Group == bootstrap.ID():
		return msgpackrpc.CallResult{}
	case identity.Group != "":
		return errorReply(quorum.CodeRefused, "member %s belongs to group %s already", identity.Name, identity.Group)
	case bootstrap.Group != m.cfg.Group || !slices.ContainsFunc(bootstrap.Members, func(p statemachine.Member) bool { return p.ID == identity.ID }):
		return errorReply(quorum.CodeRefused, "not among the first members")
	}
	if err := bootstrap.Terms.Check(); err != nil {
		return errorReply(quorum.CodeRefused, "%v", err)
	}
	state := statemachine.New(1)
	state.Terms = bootstrap.Terms
	for _, member := range bootstrap.Members {
		state.Members[member.ID] = member
	}
	identity.Group = bootstrap.ID()
	if err := m.store.writeBootstrap(identity, state); err != nil {
		m.abort(err)
		return errorReply(quorum.CodeUnknownOutcome, "%v", err)
	}
	m.identity.Store(&identity)
	m.log.Info().Str("event", "group.founded").Str("group", identity.Group).Int("members", len(bootstrap.Members)).Send()
	m.startMember()
	return msgpackrpc.CallResult{}
}

// handleJoin assigns this member, whose disk is empty, to an existing group. The member has no vote until the group adds it. It is
// idempotent.
func (m *Member) handleJoin(call msgpackrpc.Call) msgpackrpc.CallResult {
	var join quorum.Join
	if err := json.Unmarshal(call.Body, &join); err != nil || join.ID == "" {
		return errorReply(quorum.CodeRefused, "no group")
	}
	identity := *m.identity.Load()
	switch {
	case identity.Group == join.ID:
		return msgpackrpc.CallResult{}
	case identity.Group != "":
		return errorReply(quorum.CodeRefused, "member %s belongs to group %s already", identity.Name, identity.Group)
	}
	identity.Group = join.ID
	if err := m.store.writeJoin(identity, join.Members); err != nil {
		m.abort(err)
		return errorReply(quorum.CodeUnknownOutcome, "%v", err)
	}
	m.identity.Store(&identity)
	m.log.Info().Str("event", "group.joined").Str("group", identity.Group).Send()
	m.startMember()
	return msgpackrpc.CallResult{}
}

// startMember starts raft on a member that has just been assigned to a group.
func (m *Member) startMember() {
	if err := m.startRaft(); err != nil {
		m.abort(err)
		return
	}
	m.updatePeers()
	m.requestVouches()
}

// handleMemberChange adds or removes a member, one membership change per call. A new member is added as a learner; a later call makes it
// a voter once it has caught up. So a slow or unreachable new member does not raise the number of votes that a majority needs.
func (m *Member) handleMemberChange(call msgpackrpc.Call, reply replyFunc) {
	var member statemachine.Member
	if err := json.Unmarshal(call.Body, &member); err != nil || member.ID == 0 {
		reply(errorReply(quorum.CodeRefused, "no member"))
		return
	}
	if !m.leading {
		reply(m.notLeader())
		return
	}
	if call.Method == quorum.MethodRemove {
		m.proposeMemberChange(pb.ConfChangeRemoveNode, member.ID, memberChange{Remove: member.ID}, reply)
		return
	}
	progress, known := m.node.Status().Progress[member.ID]
	switch {
	case slices.Contains(m.confState.GetVoters(), member.ID):
		reply(msgpackrpc.CallResult{Body: []byte(quorum.ReplyVoter)})
	case known && progress.IsLearner && !m.nearlyCaughtUp(progress.Match):
		reply(msgpackrpc.CallResult{Body: []byte(quorum.ReplyCatchingUp)})
	case known && progress.IsLearner:
		m.proposeMemberChange(pb.ConfChangeAddNode, member.ID, memberChange{Peer: member}, reply)
	case m.hasName(member.Name):
		reply(errorReply(quorum.CodeRefused, "member %s is in the group by another disk: remove that first", member.Name))
	default:
		m.proposeMemberChange(pb.ConfChangeAddLearnerNode, member.ID, memberChange{Peer: member}, reply)
	}
}

// nearlyCaughtUp reports whether a member whose log matches up to an index is so little behind that it needs no snapshot.
func (m *Member) nearlyCaughtUp(match uint64) bool {
	last, err := m.store.memory.LastIndex()
	return err == nil && match > 0 && match+compactKeepEntries >= last
}

// hasName reports whether the group has a member with a name.
func (m *Member) hasName(name string) bool {
	for _, member := range m.state.Members {
		if member.Name == name {
			return true
		}
	}
	return false
}

// proposeMemberChange proposes a membership change and replies once it is applied here.
func (m *Member) proposeMemberChange(kind pb.ConfChangeType, id uint64, change memberChange, reply replyFunc) {
	m.seq++
	change.Seq = m.startNonce + m.seq
	payload, err := json.Marshal(change)
	if err != nil {
		reply(errorReply(quorum.CodeRefused, "%v", err))
		return
	}
	confChange := &pb.ConfChangeV2{Context: payload, Changes: []*pb.ConfChangeSingle{{Type: kind.Enum(), NodeId: proto.Uint64(id)}}}
	if err := m.node.ProposeConfChange(confChange); err != nil {
		reply(errorReply(quorum.CodeUnknownOutcome, "%v", err))
		return
	}
	m.proposals[change.Seq] = func(_ statemachine.Result, ok bool) {
		if !ok {
			reply(msgpackrpc.CallResult{Error: quorum.CodeUnknownOutcome})
			return
		}
		reply(msgpackrpc.CallResult{Body: []byte(quorum.ReplyChanged)})
	}
}
