package member

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/transport/msgpackrpc"
)

// This file detects a disk that was restored from a copy, and two processes that run on copies of one disk.
//
// A member that loses its vote or an acknowledged entry can make the group commit two different entries at one index. Such a member's
// term or commit index is lower than what it has sent before. So each member regularly sends its term and commit index, the mark of its
// disk, and the other members store it. After a start a member does not vote or acknowledge entries until a majority, which includes
// itself, has vouched: each member of it has confirmed that the disk is not behind the stored mark. A member whose disk is behind ends
// its process.

// markInterval is the minimum time between two marks of a member. A copy of the disk that is newer than the last stored mark is not
// detected.
const markInterval = time.Second

// diskMark is the progress of a member's disk. Starts, Term and Commit decrease only if the disk is restored from a copy.
type diskMark struct {
	Starts uint64 `json:"starts"` // process starts on this disk
	Nonce  uint64 `json:"nonce"`  // random number of the latest start
	Term   uint64 `json:"term"`
	Commit uint64 `json:"commit"`
}

// aheadOf compares a mark with another one of the same disk. If its term or its commit index is higher than that of other, it returns an
// error text that names the two values. Otherwise it returns an empty string.
func (m diskMark) aheadOf(other diskMark) string {
	switch {
	case m.Term > other.Term:
		return fmt.Sprintf("term %d was said before, the disk has %d", m.Term, other.Term)
	case m.Commit > other.Commit:
		return fmt.Sprintf("entry %d was said to be known before, the disk knows %d", m.Commit, other.Commit)
	}
	return ""
}

// ownMark returns the present mark of this disk.
func (m *Member) ownMark() diskMark {
	hardState, _, _ := m.store.memory.InitialState()
	return diskMark{Starts: m.identity.Load().Starts, Nonce: m.startNonce, Term: hardState.GetTerm(), Commit: hardState.GetCommit()}
}

// confirm reports whether enough other members have vouched for this disk since the start. Once they have, it lets this member vote and
// acknowledge entries.
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
	needed := len(voters) / 2 // vouches of other members: with this member they are a majority
	if !slices.Contains(voters, self) {
		needed = min(1, len(voters))
	}
	if vouched >= needed {
		m.confirmed = true
		m.log.Info().Str("event", "group.confirmed").Int("by", vouched).Send()
	}
	return m.confirmed
}

// requestVouches asks the other members to vouch for this disk. It is called at the start and then every electionTicks until the member is
// confirmed.
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
					m.abort(fmt.Errorf("member %s rejected this disk: %s; this disk has no vote: move %s aside and add the member again", p.Name, reply.Fields["why"], m.cfg.Dir))
				case reply.Error == "":
					m.vouchedBy[id] = true
					m.confirm()
				}
			})
		})
	}
}

// sendMark sends this disk's mark to the other members if it has changed, at most once per markInterval.
func (m *Member) sendMark() {
	own := m.ownMark()
	if !m.confirmed || own == m.sentMark || time.Since(m.markSentAt) < markInterval {
		return
	}
	m.sentMark, m.markSentAt = own, time.Now()
	call := m.newMarkCall(quorum.MethodMark, own)
	for _, p := range m.peers {
		m.background.Go(func() {
			_, _ = callPeer(m.ctx, p.Addr, call) // a lost mark is superseded by the next one
		})
	}
}

// newMarkCall returns a call that carries a mark of this disk.
func (m *Member) newMarkCall(method string, own diskMark) msgpackrpc.Call {
	call := m.newPeerCall(method, nil)
	call.Fields["t"], call.Fields["c"] = strconv.FormatUint(own.Term, 10), strconv.FormatUint(own.Commit, 10)
	return call
}

// handleVouch vouches for another member's disk, or rejects it if the disk is behind the mark recorded here.
func (m *Member) handleVouch(id uint64, mark diskMark) msgpackrpc.CallResult {
	if reason := m.marks[id].aheadOf(mark); reason != "" {
		m.log.Warn().Str("event", "group.disk_older").Str("member", m.state.Members[id].Name).Str("why", reason).Send()
		return errorReply(quorum.CodeSuperseded, "the disk is older than its words: %s", reason)
	}
	m.marks[id] = mark
	// The mark is stored before the other member may vote. Otherwise this member could restart, lose the mark and vouch for an older copy.
	if err := m.store.save(nil, nil, nil, m.marks); err != nil {
		m.abort(err)
		return errorReply(quorum.CodeUnknownOutcome, "%v", err)
	}
	return msgpackrpc.CallResult{}
}

// handleMark records the mark of another member's disk. The mark is stored with the next write.
func (m *Member) handleMark(id uint64, mark diskMark) {
	if last := m.marks[id]; mark.Term >= last.Term && mark.Commit >= last.Commit && mark != last {
		m.marks[id], m.marksDirty = mark, true
	}
}
