package member

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/transport/msgpackrpc"
)

// proposalIDBytes is the length of the proposal ID before each command in the log.
const proposalIDBytes = 8

// maxCommandBytes bounds an encoded command, so that its log entry and the other contents of a call to a member fit into one call.
const maxCommandBytes = msgpackrpc.MaxCallBody/2 - 64<<10

// maxConfigBatch bounds the process reports that are proposed as one entry, which so stays well below maxCommandBytes.
const maxConfigBatch = 256

// Errors of proposals and reads.
var (
	errNotLeader      = errors.New("this member does not lead")
	errTooManyPending = errors.New("too much is under way")
	errCommandTooLong = fmt.Errorf("over %d bytes in one command", maxCommandBytes)
)

// pendingRead is a read that waits until a majority has confirmed that this member still led after the read was requested.
type pendingRead struct {
	index       uint64 // log index to apply before the read completes; 0: leadership is not confirmed yet
	requestedAt time.Time
	done        func(ok bool)
}

// encodeEntry encodes a command for the log: the ID of the proposal, then the command as JSON. The proposer finds the pending callback by
// the ID.
func encodeEntry(id uint64, cmd statemachine.Command) ([]byte, error) {
	b, err := json.Marshal(cmd)
	return append(binary.BigEndian.AppendUint64(nil, id), b...), err
}

// propose proposes a command. It calls done, which may be nil, with the result once the command is applied, or with false if the outcome
// is unknown. It returns errNotLeader, errTooManyPending, errCommandTooLong or an error of the library, and does not call done then.
func (m *Member) propose(cmd statemachine.Command, done func(statemachine.Result, bool)) error {
	if !m.leading || m.node == nil {
		return errNotLeader
	}
	if len(m.proposals) >= maxPending {
		return errTooManyPending
	}
	if cmd.Lease != nil {
		cmd.Lease.ProposedAt = time.Now().UnixMilli()
	}
	if cmd.Config != nil {
		cmd.Config.At = time.Now().UnixMilli()
	}
	m.seq++
	id := m.startNonce + m.seq
	b, err := encodeEntry(id, cmd)
	if err == nil && len(b) > maxCommandBytes {
		err = errCommandTooLong
	}
	if err == nil {
		err = m.node.Propose(b)
	}
	if err == nil && done != nil {
		m.proposals[id] = done
	}
	return err
}

// completeProposal calls the pending callback of a proposal, if this member has one.
func (m *Member) completeProposal(id uint64, r statemachine.Result) {
	if done := m.proposals[id]; done != nil {
		delete(m.proposals, id)
		done(r, true)
	}
}

// confirmLeadership calls done once a majority has confirmed that this member still led after this call, and all entries committed by then
// are applied here. So reads in done are linearizable although no log entry is written. One confirmation serves all reads of an iteration
// of the event loop. It returns errNotLeader or errTooManyPending, and does not call done then.
func (m *Member) confirmLeadership(done func(ok bool)) error {
	if !m.leading {
		return errNotLeader
	}
	if m.pendingReadCount >= maxPending {
		return errTooManyPending
	}
	m.pendingReadCount++
	m.readWaiters = append(m.readWaiters, done)
	return nil
}

// readIndex asks the library to confirm that this member is the leader.
func (m *Member) readIndex(done func(ok bool)) {
	m.seq++
	ctx := string(binary.BigEndian.AppendUint64(nil, m.startNonce+m.seq))
	m.reads[ctx] = pendingRead{requestedAt: time.Now(), done: done}
	m.node.ReadIndex([]byte(ctx))
}

// recordReadStates records the leadership confirmations that the library returned.
func (m *Member) recordReadStates(states []raft.ReadState) {
	for _, rs := range states {
		if r, ok := m.reads[string(rs.RequestCtx)]; ok {
			r.index = max(1, rs.Index)
			m.reads[string(rs.RequestCtx)] = r
		}
	}
}

// completeReads completes the confirmed reads whose log index is applied.
func (m *Member) completeReads() {
	for ctx, r := range m.reads {
		if r.index > 0 && r.index <= m.applied {
			delete(m.reads, ctx)
			r.done(true)
		}
	}
}

// dropStalledReads fails reads whose confirmation has not arrived within quorum.CallTimeout.
func (m *Member) dropStalledReads() {
	for ctx, r := range m.reads {
		if time.Since(r.requestedAt) > quorum.CallTimeout {
			delete(m.reads, ctx)
			r.done(false)
		}
	}
}

// failPending completes all pending reports, reads and proposals with an unknown outcome.
func (m *Member) failPending() {
	for _, done := range m.configBatchDone {
		done(statemachine.Result{}, false)
	}
	for _, done := range m.readWaiters {
		done(false)
	}
	m.pendingReadCount -= len(m.readWaiters)
	m.configBatch, m.configBatchDone, m.readWaiters = nil, nil, nil
	for id, done := range m.proposals {
		delete(m.proposals, id)
		done(statemachine.Result{}, false)
	}
	for ctx, r := range m.reads {
		delete(m.reads, ctx)
		r.done(false)
	}
}

// proposeReport proposes a process's report of itself. If a document is in parts, no member has a build that cannot decode a batch: then
// reports that arrive while the disk is busy are proposed as one entry.
func (m *Member) proposeReport(change configstore.Change, done func(r statemachine.Result, ok bool)) error {
	if !slices.ContainsFunc(configstore.DocumentNames, func(name string) bool {
		d := m.state.Config.Documents[name]
		return d != nil && d.Active != nil && d.Active.InParts
	}) {
		return m.propose(statemachine.Command{Config: &change}, done)
	}
	if len(m.configBatch) >= maxPending {
		return errTooManyPending
	}
	change.At = time.Now().UnixMilli()
	m.configBatch, m.configBatchDone = append(m.configBatch, change), append(m.configBatchDone, done)
	return nil
}

// flushBatches starts one leadership confirmation for all reads of this iteration of the event loop, and proposes its reports in batches
// of at most maxConfigBatch.
func (m *Member) flushBatches() {
	for len(m.configBatch) > 0 {
		n := min(len(m.configBatch), maxConfigBatch)
		changes, done := slices.Clone(m.configBatch[:n]), slices.Clone(m.configBatchDone[:n])
		m.configBatch, m.configBatchDone = m.configBatch[n:], m.configBatchDone[n:]
		completeAll := func(r statemachine.Result, ok bool) {
			for _, complete := range done {
				complete(r, ok)
			}
		}
		if err := m.propose(statemachine.Command{ConfigBatch: changes}, completeAll); err != nil {
			completeAll(statemachine.Result{}, false)
			continue
		}
		m.stats.Add(uint64(n), "rules", "together")
	}
	if len(m.readWaiters) == 0 {
		return
	}
	waiters := m.readWaiters
	m.readWaiters = nil
	m.readIndex(func(ok bool) {
		m.pendingReadCount -= len(waiters)
		for _, done := range waiters {
			done(ok)
		}
	})
}
