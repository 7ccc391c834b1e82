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

// proposalIDBytes is the length of the number before each command of the log.
const proposalIDBytes = 8

// maxCommandBytes bounds a command as it is in the log: with what else a call to a member carries it stays within one call.
const maxCommandBytes = msgpackrpc.MaxCallBody/2 - 64<<10

// maxConfigBatch bounds the changes of processes that are proposed as one entry: the entry stays well below maxCommandBytes.
const maxConfigBatch = 256

// Errors of what is proposed, or waits for a confirmation.
var (
	errNotLeader      = errors.New("this member does not lead")
	errTooManyPending = errors.New("too much is under way")
	errCommandTooLong = fmt.Errorf("over %d bytes in one command", maxCommandBytes)
)

// pendingRead is what waits for the library's confirmation that this member still led after it came.
type pendingRead struct {
	index       uint64 // of the log, to be applied before the answer; 0: not known yet
	requestedAt time.Time
	done        func(ok bool)
}

// entry is a command as it is in the log: the number of the proposal, then the command. The member that proposed it finds by the number
// who waits for it.
func encodeEntry(id uint64, cmd statemachine.Command) ([]byte, error) {
	b, err := json.Marshal(cmd)
	return append(binary.BigEndian.AppendUint64(nil, id), b...), err
}

// propose puts a command into the log; done, which may be nil, is called with what it came to, or with false if nobody here can say. It
// returns errNotLeader, errTooManyPending, errCommandTooLong or an error of the library: then done is not called.
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

// completeProposal answers who waits here for the entry of a number, if anybody does.
func (m *Member) completeProposal(id uint64, r statemachine.Result) {
	if done := m.proposals[id]; done != nil {
		delete(m.proposals, id)
		done(r, true)
	}
}

// confirmLeadership calls done once a majority has confirmed that this member led after now, and all that was agreed by then is applied
// here. So an answer of done is as new as the request, although no entry is written for it. One confirmation is for all that wait.
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

// readIndex asks the library for a confirmation that this member leads.
func (m *Member) readIndex(done func(ok bool)) {
	m.seq++
	ctx := string(binary.BigEndian.AppendUint64(nil, m.startNonce+m.seq))
	m.reads[ctx] = pendingRead{requestedAt: time.Now(), done: done}
	m.node.ReadIndex([]byte(ctx))
}

// recordReadStates takes the library's confirmations.
func (m *Member) recordReadStates(states []raft.ReadState) {
	for _, rs := range states {
		if r, ok := m.reads[string(rs.RequestCtx)]; ok {
			r.index = max(1, rs.Index)
			m.reads[string(rs.RequestCtx)] = r
		}
	}
}

// completeReads answers reads that are confirmed, once all that was agreed by then is applied.
func (m *Member) completeReads() {
	for ctx, r := range m.reads {
		if r.index > 0 && r.index <= m.applied {
			delete(m.reads, ctx)
			r.done(true)
		}
	}
}

// dropStalledReads gives up reads whose confirmation was lost.
func (m *Member) dropStalledReads() {
	for ctx, r := range m.reads {
		if time.Since(r.requestedAt) > quorum.CallTimeout {
			delete(m.reads, ctx)
			r.done(false)
		}
	}
}

// failPending answers all that waits with an unknown outcome.
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

// proposeReport puts a process's report of itself into the log. Where a document is in parts, no member is of a build that can't read a
// batch: then reports that come while the disk is busy are one entry.
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

// flushBatches handles together what came together in a turn of the loop: one confirmation for all reads, one entry for the reports.
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
