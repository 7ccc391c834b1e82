package member

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/statemachine"
)

// Limits at which a snapshot of the state replaces the log.
const (
	compactAfterEntries = 2000 // entries since the last snapshot; with more, a start reads and applies more of the log
	compactKeepEntries  = 200  // entries to keep: a member that is no further behind needs no snapshot
	// compactAfterBytes triggers a snapshot after many large changes, and compactKeepBytes bounds the entries that are kept then.
	compactAfterBytes = 16 << 20
	compactKeepBytes  = 4 << 20
)

// startRaft starts the raft library on the stored state. It is called when a member that belongs to a group starts, and when a member is
// assigned to a group.
func (m *Member) startRaft() error {
	snap, err := m.store.memory.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snap) { // the member has joined, but has no state of the group yet
		peers, err := getJSON[[]statemachine.Member](m.store, keyPeers)
		if err != nil {
			return fmt.Errorf("%s: failed to read the members of the group: %w", m.cfg.Dir, err)
		}
		for _, peer := range peers {
			m.state.Members[peer.ID] = peer
		}
	} else if m.state, err = statemachine.Restore(snap.GetData()); err != nil {
		return fmt.Errorf("%s: %w", m.cfg.Dir, err)
	}
	m.adoptSnapshot(m.state, snap.GetMetadata())
	m.node, err = raft.NewRawNode(&raft.Config{
		ID: m.identity.Load().ID, ElectionTick: electionTicks, HeartbeatTick: 1, Storage: m.store.memory, Applied: m.applied,
		MaxSizePerMsg: maxMessageEntries, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted, CheckQuorum: true, PreVote: true,
		Logger: raftLogger{m.log},
	})
	if err != nil {
		return fmt.Errorf("%s: %w", m.cfg.Dir, err)
	}
	m.confirm()
	return nil
}

// adoptSnapshot replaces the member's state with that of a snapshot. It resets the leader's timers, which refer to the old state.
func (m *Member) adoptSnapshot(state *statemachine.State, meta *pb.SnapshotMetadata) {
	m.state, m.confState = state, meta.GetConfState()
	m.applied = meta.GetIndex()
	m.snapshotIndex = m.applied
	m.lessor, m.processMonitor, m.quotaLedger = lease.NewLessor(state.Terms), configstore.NewProcessMonitor(state.Terms), quota.NewLedger(state.Terms)
}

// handleReady carries out what the library returns as ready, in the order that raft requires: entries and votes are durable before the
// messages that depend on them are sent, and committed entries are applied after that.
func (m *Member) handleReady() {
	rd := m.node.Ready()
	if err := m.saveReady(rd); err != nil {
		m.abort(err)
		return
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		state, err := statemachine.Restore(rd.Snapshot.GetData())
		if err != nil {
			m.abort(err)
			return
		}
		m.adoptSnapshot(state, rd.Snapshot.GetMetadata())
		m.updatePeers()
	}
	if rd.SoftState != nil {
		m.leadershipChanged(rd.RaftState == raft.StateLeader)
	}
	for _, message := range rd.Messages {
		m.send(message)
	}
	m.recordReadStates(rd.ReadStates)
	for _, entry := range rd.CommittedEntries {
		m.applyEntry(entry)
	}
	m.node.Advance(rd)
	m.completeReads()
	m.compactIfDue()
}

// saveReady writes the state that must be durable, if any, together with marks of other members that are not stored yet.
func (m *Member) saveReady(rd raft.Ready) error {
	if rd.HardState == nil && len(rd.Entries) == 0 && raft.IsEmptySnap(rd.Snapshot) {
		return nil
	}
	var marks map[uint64]diskMark
	if m.marksDirty {
		marks, m.marksDirty = m.marks, false
	}
	if err := m.store.save(rd.HardState, rd.Entries, rd.Snapshot, marks); err != nil {
		return err
	}
	m.stats.Inc("group", "syncs")
	return nil
}

// compactIfDue replaces the beginning of the log with a snapshot once a limit is reached. A membership change always triggers a snapshot:
// an older one does not name the new member, and the new member would reject it.
func (m *Member) compactIfDue() {
	due := m.applied-m.snapshotIndex >= compactAfterEntries || m.bytesSinceSnapshot >= compactAfterBytes || m.membersChanged
	if !due || m.fatal != nil {
		return
	}
	m.membersChanged, m.bytesSinceSnapshot = false, 0
	data, err := m.state.Snapshot()
	if err == nil {
		err = m.store.compact(m.applied, m.confState, data, compactKeepEntries, compactKeepBytes)
	}
	if err != nil {
		m.abort(err)
		return
	}
	m.snapshotIndex = m.applied
	m.stats.Inc("group", "snapshots")
}

// leadershipChanged is called with whether this member is the leader now. When it stops leading, pending reads and proposals fail with an
// unknown outcome.
func (m *Member) leadershipChanged(leading bool) {
	if leading == m.leading {
		return
	}
	m.leading, m.caughtUp = leading, false
	m.capacityMap.refreshAt = time.Time{} // the ledger's capacity must be set again
	if leading {
		m.lessor.Promote(m.clock())
		m.processMonitor.StartLeading(m.clock())
		m.quotaLedger.StartLeading(m.clock(), m.node.BasicStatus().GetTerm())
		m.log.Info().Str("event", "group.leads").Uint64("term", m.node.BasicStatus().GetTerm()).Send()
		m.stats.Inc("group", "led")
		return
	}
	m.lessor.Demote()
	m.processMonitor.StopLeading()
	m.quotaLedger.StopLeading()
	m.log.Info().Str("event", "group.follows").Send()
	m.failPending()
}

// applyEntry applies a committed entry.
func (m *Member) applyEntry(entry *pb.Entry) {
	m.applied = entry.GetIndex()
	m.bytesSinceSnapshot += len(entry.GetData())
	m.caughtUp = m.caughtUp || m.leading && entry.GetTerm() == m.node.BasicStatus().GetTerm()
	switch entry.GetType() {
	case pb.EntryNormal:
		m.applyCommand(entry.GetData())
	case pb.EntryConfChangeV2, pb.EntryConfChange:
		m.applyMemberChange(entry.GetData())
	}
}

// applyCommand applies a command from the log and completes its proposal if this member made it.
func (m *Member) applyCommand(data []byte) {
	if len(data) < proposalIDBytes {
		return // the empty entry of a newly elected leader
	}
	var cmd statemachine.Command
	result := statemachine.Result{Error: "a command that can't be read"}
	if err := json.Unmarshal(data[proposalIDBytes:], &cmd); err == nil {
		result = m.state.Apply(cmd)
	}
	m.stats.Inc("group", "applied")
	if cmd.Lease != nil {
		m.leaseApplied(*cmd.Lease, result)
	}
	if cmd.Config != nil {
		m.configApplied(*cmd.Config, result)
	}
	for _, change := range cmd.ConfigBatch {
		m.configApplied(change, statemachine.Result{})
	}
	m.completeProposal(binary.BigEndian.Uint64(data), result)
}

// applyMemberChange applies a membership change.
func (m *Member) applyMemberChange(data []byte) {
	var confChange pb.ConfChangeV2
	if err := proto.Unmarshal(data, &confChange); err != nil {
		m.abort(fmt.Errorf("failed to decode a membership change: %w", err))
		return
	}
	m.confState = m.node.ApplyConfChange(&confChange)
	m.membersChanged = true
	var change memberChange
	_ = json.Unmarshal(confChange.GetContext(), &change) // a change without a context comes from the library and names no member
	if change.Remove != 0 {
		delete(m.state.Members, change.Remove)
	} else if change.Peer.ID != 0 {
		m.state.Members[change.Peer.ID] = change.Peer
	}
	m.log.Info().Str("event", "group.members").Int("voters", len(m.confState.GetVoters())).Int("learners", len(m.confState.GetLearners())).Send()
	m.updatePeers()
	m.completeProposal(change.Seq, statemachine.Result{})
}

// leaseApplied is called after a lease request was applied. It starts the lease timer of a new grant; a leader also logs the request.
func (m *Member) leaseApplied(request lease.Request, r statemachine.Result) {
	if r.Error != "" || r.Duty == nil {
		return
	}
	m.lessor.RecordGrant(r.Duty.Name, r.Duty.Epoch, m.clock())
	if m.leading {
		m.stats.Inc("group", "asks", string(request.Op))
		event := "group." + string(request.Op) // group.acquire, release, forget, expire, hand, pause, resume or raise
		if request.Op == lease.Acquire && r.Duty.Holder != request.Process {
			event = "group.waits"
		}
		m.log.Info().Str("event", event).Str("who", request.Process).Str("duty", r.Duty.Name).Stringer("epoch", r.Duty.Epoch).Str("owner", r.Duty.Holder).Send()
	}
}

// leaderTick is called at every tick. A leader proposes what has become due. Any member drops incomplete snapshots and reads that have
// timed out.
func (m *Member) leaderTick() {
	if m.leading && m.caughtUp {
		for _, request := range m.lessor.Overdue(m.state.Table, m.clock()) {
			if err := m.propose(statemachine.Command{Lease: &request}, nil); err != nil {
				m.lessor.ProposalDropped(request)
			}
		}
		m.proposeOverdueConfig()
	}
	m.dropStalledSnapshot()
	m.dropStalledReads()
}

// raftLogger logs the errors of the raft library as warnings and drops its lower levels. Fatal errors panic.
type raftLogger struct{ log zerolog.Logger }

func (l raftLogger) Debug(...any)              {}
func (l raftLogger) Debugf(string, ...any)     {}
func (l raftLogger) Info(...any)               {}
func (l raftLogger) Infof(string, ...any)      {}
func (l raftLogger) Warning(...any)            {}
func (l raftLogger) Warningf(string, ...any)   {}
func (l raftLogger) Error(v ...any)            { l.warn(fmt.Sprint(v...)) }
func (l raftLogger) Errorf(f string, v ...any) { l.warn(fmt.Sprintf(f, v...)) }
func (l raftLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (l raftLogger) warn(text string) {
	l.log.Warn().Str("event", "group.raft_library").Str("text", text).Send()
}
