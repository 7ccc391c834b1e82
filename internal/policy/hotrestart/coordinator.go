// Package hotrestart decides how two processes act as one service during a hot restart, while the successor takes over from the
// predecessor: which process owns a key, when the successor is ready, and what each does when the other is silent or dead. It has no I/O,
// no clock and no goroutine: events go in, messages for the peer and effects for this process come out. The core calls it under its lock.
//
// An idempotent request is run only by the process that owns its key. The predecessor owns every key of which neither process has a run;
// the successor owns the keys that the predecessor granted to it. Before the predecessor runs a request, it notifies the successor, in
// order, on a link whose bytes outlive the predecessor. If the predecessor dies, the successor therefore knows every request that may
// have run. If the predecessor has to run a request without a link, it leaves a mark first, and a successor that finds the mark fails the
// requests that it does not know.
package hotrestart

import (
	"errors"
	"fmt"
	"time"
)

// Role is a process's role in a hot restart.
type Role uint8

// The roles.
const (
	Joining Role = iota // it is not known yet whether there is a peer
	Sole                // there is no peer
	Predecessor
	Successor
)

// String returns the role's name in the log: elder is Predecessor, younger is Successor.
func (r Role) String() string { return [...]string{"joining", "sole", "elder", "younger"}[r] }

// ClaimState says whether an attempt that claims its key may proceed.
type ClaimState uint8

// The states of a claim.
const (
	Granted        ClaimState = iota // the attempt may proceed: this process owns the key, or knows its run
	Pending                          // the attempt calls CheckClaim again after the next change
	OutcomeUnknown                   // it cannot be determined whether the request ran: the attempt fails
)

// Effects are the actions that this process must take after events.
type Effects struct {
	Send      []Message
	Changed   bool // role, readiness or a key changed: pending attempts call CheckClaim again
	Evacuated *bool
	ClearMark bool // after Send is written, the mark is removed if Marks is unchanged: the peer then knows all runs
	Marks     int
}

// Notice is how the peer is notified of a run before the run begins.
type Notice uint8

// The kinds of notice.
const (
	NoNotice     Notice = iota // no notice is needed
	NoticeByLink               // a message in Effects.Send must be written before the run; if the write fails, the mark must be left
	NoticeByMark               // there is no link, so the mark must be left before the run
)

// ErrPeerReplaced closes the link: the peer is a different process than before, so the earlier one is dead.
var ErrPeerReplaced = errors.New("peer process was replaced")

// ErrStaleIdentity closes the link: the peer expected a different process in this slot. It learns of the replacement from this link's
// Hello.
var ErrStaleIdentity = errors.New("peer expected a different process")

// Coordinator holds one process's state of a hot restart. It is not safe for concurrent use.
type Coordinator struct {
	startedAt     int64 // Unix nanoseconds; it identifies this process to the peer
	slot          int   // 0 or 1; it breaks the tie between equal start times
	executions    Executions
	role          Role
	linked        bool
	helloReceived bool  // the peer's Hello was received on this link
	synced        bool  // all runs of the peer were received on this link
	everSynced    bool  // all runs of the peer were received on this or an earlier link
	peerStartedAt int64 // start of the peer; 0 before its Hello
	peerReady     bool
	ready         bool
	evacuated     bool
	evacuationSeq int64
	hadPeer       bool  // a peer was present
	unknownUntil  int64 // requests received until then (Unix nanoseconds) may repeat a run that is unknown here
	marks         int   // runs that were notified by the mark
	claims        map[string]*claim
	listedKeys    map[string]bool // keys of the peer's runs received on this link, until SyncComplete
	effects       Effects
}

// claim is the claim of this process's attempts to a key that the peer may own.
type claim struct {
	waiters   int // attempts between BeginClaim and EndClaim
	requested bool
	granted   bool
}

// New returns the coordinator of a process that has no slot yet.
func New(e Executions) *Coordinator {
	return &Coordinator{executions: e, claims: map[string]*claim{}, listedKeys: map[string]bool{}}
}

// TakeEffects returns the effects since its last call and clears them.
func (c *Coordinator) TakeEffects() Effects {
	e := c.effects
	c.effects = Effects{}
	return e
}

// TakeClearMark returns Effects.ClearMark and Effects.Marks and clears ClearMark, before the other effects are taken.
func (c *Coordinator) TakeClearMark() (clearMark bool, marks int) {
	clearMark, marks = c.effects.ClearMark, c.effects.Marks
	c.effects.ClearMark = false
	return clearMark, marks
}

// send adds a message to the effects if there is a link.
func (c *Coordinator) send(m Message) {
	if c.linked {
		c.effects.Send = append(c.effects.Send, m)
	}
}

// Role returns this process's role.
func (c *Coordinator) Role() Role { return c.role }

// HasPeer reports whether this process is the predecessor or the successor of another.
func (c *Coordinator) HasPeer() bool { return c.role == Predecessor || c.role == Successor }

// MayServe reports whether this process may accept requests: it is alone, or the predecessor, or a successor that has received all runs
// of the predecessor.
func (c *Coordinator) MayServe() bool {
	return c.role == Sole || c.role == Predecessor || c.role == Successor && c.everSynced
}

// SuccessorReady reports whether the peer is a successor that is ready, so that this process may shut down at once.
func (c *Coordinator) SuccessorReady() bool { return c.role == Predecessor && c.peerReady }

// UnknownUntil returns the time, in Unix nanoseconds, up to which a received request may repeat a run that is unknown here.
func (c *Coordinator) UnknownUntil() int64 { return c.unknownUntil }

// ExtendUnknown prolongs the time in which requests may repeat an unknown run, because their window has grown. It changes nothing if that
// time is over at now, in Unix nanoseconds.
func (c *Coordinator) ExtendUnknown(now int64, growth time.Duration) {
	if c.unknownUntil > now {
		c.unknownUntil += int64(growth)
	}
}

// PeerStartedAt returns the start of the peer in Unix nanoseconds, or 0 if no Hello of a peer was received.
func (c *Coordinator) PeerStartedAt() int64 { return c.peerStartedAt }

// Marks returns the number of runs that were notified by the mark.
func (c *Coordinator) Marks() int { return c.marks }

// ---- Peer and link ----

// SlotTaken is called when this process has taken one of the two slots; startedAt is that time in Unix nanoseconds.
func (c *Coordinator) SlotTaken(startedAt int64, slot int) { c.startedAt, c.slot = startedAt, slot }

// PeerPresent is called when the other slot is found taken.
func (c *Coordinator) PeerPresent() { c.hadPeer = true }

// PeerAbsent is called when the other slot is found empty: at the start, or after the peer died. Marked reports whether the peer left the
// mark of having run requests without a link. If it did, or never listed all its runs, requests received up to until (Unix nanoseconds)
// may repeat a run that is unknown here.
func (c *Coordinator) PeerAbsent(marked bool, until int64) {
	previous := c.role
	if previous == Sole {
		return
	}
	c.linked, c.helloReceived, c.synced, c.peerReady, c.peerStartedAt = false, false, false, false, 0
	c.role = Sole
	c.effects = Effects{Changed: true, Evacuated: c.effects.Evacuated}
	unknown := c.hadPeer && previous != Predecessor && (!c.everSynced || marked)
	if unknown {
		c.unknownUntil = max(c.unknownUntil, until)
	}
	// A predecessor that has listed all its runs notifies this process before it runs a queued request, so such a request did not run. A
	// successor may have run any key that it was granted.
	c.executions.PeerLost(func(e Execution) bool { return previous == Predecessor || unknown || e.Stage != Queued })
	c.everSynced, c.hadPeer = false, false
	c.resetClaims()
}

// LinkUp is called when a link is established. It sends this process's Hello.
func (c *Coordinator) LinkUp() {
	c.linked, c.helloReceived, c.synced = true, false, false
	c.effects.Send = nil
	clear(c.listedKeys)
	c.send(Message{Kind: Hello, StartedAt: c.startedAt, PeerStartedAt: c.peerStartedAt, Sole: c.servedAlone(), Evacuated: c.evacuated,
		EvacuationSeq: c.evacuationSeq, Ready: c.ready, UnknownUntil: c.unknownUntil})
}

// LinkDown is called when the link is closed and the peer is not known to be dead. mayHaveUnread reports that the peer may have written
// messages that were not read.
func (c *Coordinator) LinkDown(mayHaveUnread bool) {
	c.everSynced = c.everSynced && !mayHaveUnread
	c.linked, c.helloReceived, c.synced = false, false, false
	c.effects.Send = nil
	c.effects.Changed = true
	c.resetClaims()
}

// resetClaims resets all claims, which are sent again on the next link. Granted keys that are in use need no new claim: their runs are in
// the table, which is listed again.
func (c *Coordinator) resetClaims() {
	for key, k := range c.claims {
		k.requested, k.granted = false, false
		if k.waiters == 0 {
			delete(c.claims, key)
		}
	}
}

// Receive handles a message of the peer. After an error the caller closes the link; ErrPeerReplaced and ErrStaleIdentity identify two
// causes. If neither process knows all earlier runs, requests received up to until (Unix nanoseconds) may repeat one of them.
func (c *Coordinator) Receive(m Message, until int64) error {
	if !c.linked {
		return nil // the message is of a closed link
	}
	if c.helloReceived == (m.Kind == Hello) {
		return fmt.Errorf("message of kind %d out of order", m.Kind)
	}
	switch m.Kind {
	case Hello:
		return c.receiveHello(m, until)
	case Status:
		c.receiveStatus(m)
	case Run:
		if !c.synced {
			c.listedKeys[m.Execution.Key] = true
		}
		c.executions.Apply(m.Execution)
	case Released:
		c.executions.Forget(m.Execution.Key)
	case SyncComplete:
		if c.synced {
			return errors.New("received SyncComplete twice on one link")
		}
		c.synced, c.everSynced = true, true
		// Runs that the peer did not list were abandoned while there was no link, or never reached it.
		c.executions.Retain(func(key string) bool { return c.listedKeys[key] })
		clear(c.listedKeys)
		c.effects.Changed = true
	case Claim:
		return c.receiveClaim(m)
	case Grant, Denied:
		c.receiveClaimReply(m)
	default:
		return fmt.Errorf("unknown message kind %d", m.Kind)
	}
	return nil
}

// receiveHello determines the roles and sends all runs of this process.
func (c *Coordinator) receiveHello(m Message, until int64) error {
	if c.peerStartedAt != 0 && c.peerStartedAt != m.StartedAt && c.HasPeer() {
		return ErrPeerReplaced
	}
	if m.PeerStartedAt != 0 && m.PeerStartedAt != c.startedAt {
		return ErrStaleIdentity
	}
	role, err := c.negotiateRole(m, until)
	if err != nil {
		return err
	}
	c.role = role
	c.peerStartedAt, c.helloReceived = m.StartedAt, true
	c.unknownUntil = max(c.unknownUntil, m.UnknownUntil)
	c.receiveStatus(m)
	c.sendStatus() // it may have changed since this process's own Hello
	for _, e := range c.executions.Local() {
		c.send(Message{Kind: Run, Execution: e})
	}
	c.send(Message{Kind: SyncComplete})
	c.effects.ClearMark, c.effects.Marks = true, c.marks
	return nil
}

// servedAlone reports whether this process is the only one or the predecessor, that is, the one that serves.
func (c *Coordinator) servedAlone() bool { return c.role == Sole || c.role == Predecessor }

// negotiateRole returns this process's role towards the sender of a Hello. The predecessor is the process that has served alone, otherwise
// the one that started first; of two with equal start times it is the one in slot 0. If neither has served alone, each found a peer before
// it served, and neither knows what an earlier process ran.
func (c *Coordinator) negotiateRole(m Message, until int64) (Role, error) {
	predecessor := c.servedAlone()
	if predecessor && m.Sole {
		return c.role, errors.New("both processes have served alone")
	}
	if !predecessor && !m.Sole && c.role == Joining {
		c.unknownUntil = max(c.unknownUntil, until)
		predecessor = c.startedAt < m.StartedAt || c.startedAt == m.StartedAt && c.slot == 0
	}
	if !predecessor {
		return Successor, nil
	}
	if c.role == Successor {
		return c.role, errors.New("the predecessor claims to be the successor")
	}
	return Predecessor, nil
}

// receiveStatus applies the peer's readiness and evacuation state. If both processes changed the evacuation at the same time, the
// predecessor's change wins.
func (c *Coordinator) receiveStatus(m Message) {
	c.peerReady = m.Ready
	if m.EvacuationSeq > c.evacuationSeq || m.EvacuationSeq == c.evacuationSeq && c.role == Successor {
		if c.evacuationSeq = m.EvacuationSeq; m.Evacuated != c.evacuated {
			c.evacuated = m.Evacuated
			c.effects.Evacuated = &m.Evacuated
		}
	}
	c.effects.Changed = true
}

// sendStatus sends this process's status if the peer's Hello was received.
func (c *Coordinator) sendStatus() {
	if c.helloReceived {
		c.send(Message{Kind: Status, Evacuated: c.evacuated, EvacuationSeq: c.evacuationSeq, Ready: c.ready})
	}
}

// SetEvacuated is called when an operator began or ended an evacuation at this process. The change applies to both processes.
func (c *Coordinator) SetEvacuated(evacuated bool) {
	if c.evacuated != evacuated {
		c.evacuated = evacuated
		c.evacuationSeq++
		c.sendStatus()
	}
}

// SetReady is called when this process becomes ready to serve or stops being so.
func (c *Coordinator) SetReady(ready bool) {
	if c.ready != ready {
		c.ready = ready
		c.sendStatus()
	}
}
