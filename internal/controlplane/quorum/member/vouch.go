package member

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/transport/msgpackrpc"
)

// This file finds a disk that was put back from a copy, or two processes on copies of one disk.
//
// A member that votes, or acknowledges an entry, and later forgets that it did, can have the group agree on two different things. It
// shows as a member whose term, or last agreed entry, is lower than what it has said before. So each member says once in a while how
// far its disk is, its mark, and the others store that. After a start a member takes no part (no vote, no acknowledgement) until, with
// it, a majority has vouched that its disk is no older than the mark they know. An older one ends its process.

// markInterval is the pause between two marks of a member. A copy of the disk that is younger than the last stored mark is not found.
const markInterval = time.Second

// diskMark is how far a member's disk is. No field falls but on a disk that was put back from a copy.
type diskMark struct {
	Starts uint64 `json:"starts"` // of the program on the disk
	Nonce  uint64 `json:"nonce"`  // of that start
	Term   uint64 `json:"term"`
	Commit uint64 `json:"commit"`
}

// aheadOf says what of a mark is ahead of another one of the same disk, by its text in refusals; empty: nothing is.
func (m diskMark) aheadOf(other diskMark) string {
	switch {
	case m.Term > other.Term:
		return fmt.Sprintf("term %d was said before, the disk has %d", m.Term, other.Term)
	case m.Commit > other.Commit:
		return fmt.Sprintf("entry %d was said to be known before, the disk knows %d", m.Commit, other.Commit)
	}
	return ""
}

// ownMark is how far this disk is now.
func (m *Member) ownMark() diskMark {
	hardState, _, _ := m.store.memory.InitialState()
	return diskMark{Starts: m.identity.Load().Starts, Nonce: m.startNonce, Term: hardState.GetTerm(), Commit: hardState.GetCommit()}
}

// confirm reports whether enough others have vouched for this disk since the start, and has the member take part once they have.
func (m *Member) confirm() bool {
	if m.confirmed || m.node == nil {
		return m.confirmed
	}
	self := m.identity.Load().ID
	voters := m.confState.GetVoters()
	vouched := 0
	for _, id := range voters {
		if id != self && m.vouchedBy[id] {
			vouched++
		}
	}
	needed := len(voters) / 2 // of the others: with this member a majority
	if !slices.Contains(voters, self) {
		needed = min(1, len(voters))
	}
	if vouched >= needed {
		m.confirmed = true
		m.log.Info().Str("event", "group.confirmed").Int("by", vouched).Send()
	}
	return m.confirmed
}

// requestVouches asks the others whether this disk is as new as they know it. It is called at the start and once an election's time
// until the member is confirmed.
func (m *Member) requestVouches() {
	if m.node == nil || m.confirmed || m.confirm() {
		return
	}
	call := m.newMarkCall(quorum.MethodVouch, m.ownMark())
	for id, p := range m.peers {
		if m.vouchedBy[id] {
			continue
		}
		m.background.Go(func() {
			reply, err := callPeer(m.ctx, p.Addr, call)
			m.enqueue(func() {
				switch {
				case err != nil:
				case reply.Error == quorum.CodeSuperseded:
					m.abort(fmt.Errorf("member %s says: %s; this disk has no vote: set %s aside and add the member anew", p.Name, reply.Fields["why"], m.cfg.Dir))
				case reply.Error == "":
					m.vouchedBy[id] = true
					m.confirm()
				}
			})
		})
	}
}

// sendMark tells the others how far this disk is, where that has changed, once in markInterval.
func (m *Member) sendMark() {
	own := m.ownMark()
	if !m.confirmed || own == m.sentMark || time.Since(m.markSentAt) < markInterval {
		return
	}
	m.sentMark, m.markSentAt = own, time.Now()
	call := m.newMarkCall(quorum.MethodMark, own)
	for _, p := range m.peers {
		m.background.Go(func() {
			_, _ = callPeer(m.ctx, p.Addr, call) // one that is lost is made up for by the next
		})
	}
}

// newMarkCall is a call that says how far this disk is.
func (m *Member) newMarkCall(method string, own diskMark) msgpackrpc.Call {
	call := m.newPeerCall(method, nil)
	call.Fields["t"], call.Fields["c"] = strconv.FormatUint(own.Term, 10), strconv.FormatUint(own.Commit, 10)
	return call
}

// handleVouch answers a member that asks whether its disk is as new as this one knows it.
func (m *Member) handleVouch(id uint64, mark diskMark) msgpackrpc.CallResult {
	if reason := m.marks[id].aheadOf(mark); reason != "" {
		m.log.Warn().Str("event", "group.disk_older").Str("member", m.state.Members[id].Name).Str("why", reason).Send()
		return errorReply(quorum.CodeSuperseded, "the disk is older than its words: %s", reason)
	}
	m.marks[id] = mark
	// It is stored before the other may vote: else a restart of this member would let an older disk in.
	if err := m.store.save(nil, nil, nil, m.marks); err != nil {
		m.abort(err)
		return errorReply(quorum.CodeUnknownOutcome, "%v", err)
	}
	return msgpackrpc.CallResult{}
}

// handleMark notes how far another member's disk is; it is stored with the next write.
func (m *Member) handleMark(id uint64, mark diskMark) {
	if last := m.marks[id]; mark.Term >= last.Term && mark.Commit >= last.Commit && mark != last {
		m.marks[id], m.marksDirty = mark, true
	}
}
