// Package hotrestart decides how two processes are one service during a hot restart, while the newer takes over from the older: who owns
// a key, when the newer one is ready, and what each does when the other is silent or dead. It decides only: no I/O, no clock, no
// goroutine. Events go in, messages for the other process and effects for this one come out. The core calls it under its lock.
//
// One rule carries the rest: an idempotent request is run only by the process that owns its key. The predecessor owns every key that
// neither has; the successor owns what the predecessor has granted it. Before the predecessor runs a key it says so, in order, on a link
// whose bytes outlive it, so the successor knows after the predecessor's death all that may have run. Where the predecessor has to run
// without a link it leaves a mark first, and a successor that finds the mark fails what it does not know.
package hotrestart

import (
	"errors"
	"fmt"
)

// Role is what a process is to the other.
type Role uint8

// The roles.
const (
	Joining Role = iota // it does not know yet whether there is another
	Sole                // there is none
	Predecessor
	Successor
)

// String names a role in the words of the log: elder is Predecessor, younger is Successor.
func (r Role) String() string { return [...]string{"joining", "sole", "elder", "younger"}[r] }

// ClaimState is what becomes of an attempt that claims its key.
type ClaimState uint8

// The states of a claim.
const (
	Granted    ClaimState = iota // it may go on: the key is this process's, or its run is known here
	Pending                      // it asks again at the next change
	Unknowable                   // whether it ran can't be known: it fails
)

// Effects are what this process has to do after events.
type Effects struct {
	Send      []Message
	Changed   bool // role, readiness or a key changed: attempts that wait ask again
	Evacuated *bool
	ClearMark bool // once all is sent, the mark is removed if Marks is still that: the other knows all again
	Marks     int
}

// Notice is how the other is notified of a run before it begins.
type Notice uint8

// The kinds of notice.
const (
	NoNotice     Notice = iota // none is needed
	NoticeByLink               // by what is to be sent, which has to be written first; where that fails, as NoticeByMark
	NoticeByMark               // there is no link: by the mark that is left for it
)

// ErrPeerReplaced ends a link: another process is there than before, so that one is dead.
var ErrPeerReplaced = errors.New("another process than before")

// ErrStaleIdentity ends a link too: the other side takes this process for another one, and finds out by this link's Hello.
var ErrStaleIdentity = errors.New("taken for another process")

// Coordinator is one process's half of a hot restart. It is single-threaded.
type Coordinator struct {
	startedAt     int64 // Unix nanoseconds, by which the other tells this process from another
	slot          int   // 0 or 1, which decides between equal starts
	executions    Executions
	role          Role
	linked        bool
	helloReceived bool  // the other's Hello came on this link
	synced        bool  // all its runs came on this link
	everSynced    bool  // all its runs came once, on some link
	peerStartedAt int64 // of the other; 0: none was met
	peerReady     bool
	ready         bool
	evacuated     bool
	evacuationSeq int64
	peerSeen      bool  // there was another
	unknownUntil  int64 // requests that reached the machine until then (Unix nanoseconds) may repeat a run that is not known here
	marks         int   // runs that needed the mark
	claims        map[string]*claim
	listedKeys    map[string]bool // keys of the runs that came on this link, until all have
	effects       Effects
}

// claim is a key that attempts here want, and the other may have.
type claim struct {
	waiters   int // attempts
	requested bool
	granted   bool
}

// New returns the half of a process that has no slot yet.
func New(e Executions) *Coordinator {
	return &Coordinator{executions: e, claims: map[string]*claim{}, listedKeys: map[string]bool{}}
}

// TakeEffects returns the effects since the last call.
func (c *Coordinator) TakeEffects() Effects {
	e := c.effects
	c.effects = Effects{}
	return e
}

// TakeClearMark takes the effect of that name before the others.
func (c *Coordinator) TakeClearMark() (clearMark bool, marks int) {
	clearMark, marks = c.effects.ClearMark, c.effects.Marks
	c.effects.ClearMark = false
	return clearMark, marks
}

// send has a message sent, where there is a link.
func (c *Coordinator) send(m Message) {
	if c.linked {
		c.effects.Send = append(c.effects.Send, m)
	}
}

// Role is what this process is to the other.
func (c *Coordinator) Role() Role { return c.role }

// HasPeer reports whether there is another process.
func (c *Coordinator) HasPeer() bool { return c.role == Predecessor || c.role == Successor }

// MayServe reports whether this process may take requests: it is alone, or the predecessor, or knows all that the predecessor ran.
func (c *Coordinator) MayServe() bool {
	return c.role == Sole || c.role == Predecessor || c.role == Successor && c.everSynced
}

// SuccessorReady reports whether the other is the successor and ready, so that this one may leave at once.
func (c *Coordinator) SuccessorReady() bool { return c.role == Predecessor && c.peerReady }

// UnknownUntil is until when requests may repeat a run that is not known here, in Unix nanoseconds.
func (c *Coordinator) UnknownUntil() int64 { return c.unknownUntil }

// PeerStartedAt is when the other started, in Unix nanoseconds; 0: none was met.
func (c *Coordinator) PeerStartedAt() int64 { return c.peerStartedAt }

// Marks is the number of runs that needed the mark.
func (c *Coordinator) Marks() int { return c.marks }

// ---- The other process ----

// SlotTaken is told when the process took one of the two slots, and when that was, in Unix nanoseconds.
func (c *Coordinator) SlotTaken(startedAt int64, slot int) { c.startedAt, c.slot = startedAt, slot }

// PeerPresent is told when the other slot is taken.
func (c *Coordinator) PeerPresent() { c.peerSeen = true }

// PeerAbsent is told when the other slot is empty: at the start, or as the other is dead. Marked says whether it left the mark of having
// run without a link; then, and where it never listed all its runs, what reached the machine until the given time may repeat a run that
// is not known here.
func (c *Coordinator) PeerAbsent(marked bool, until int64) {
	previous := c.role
	if previous == Sole {
		return
	}
	c.linked, c.helloReceived, c.synced, c.peerReady, c.peerStartedAt = false, false, false, false, 0
	c.role = Sole
	c.effects = Effects{Changed: true, Evacuated: c.effects.Evacuated}
	unknown := c.peerSeen && previous != Predecessor && (!c.everSynced || marked)
	if unknown {
		c.unknownUntil = max(c.unknownUntil, until)
	}
	// A predecessor that is known to have listed all says so before it runs what it has queued. A successor that was granted a key may
	// have run it.
	c.executions.PeerLost(func(e Execution) bool { return previous == Predecessor || unknown || e.Stage != Queued })
	c.everSynced, c.peerSeen = false, false
	c.resetClaims()
}

// LinkUp is told when there is a link: this process introduces itself.
func (c *Coordinator) LinkUp() {
	c.linked, c.helloReceived, c.synced = true, false, false
	c.effects.Send = nil
	clear(c.listedKeys)
	c.send(Message{Kind: Hello, StartedAt: c.startedAt, PeerStartedAt: c.peerStartedAt, Sole: c.servedAlone(), Evacuated: c.evacuated,
		EvacuationSeq: c.evacuationSeq, Ready: c.ready, UnknownUntil: c.unknownUntil})
}

// LinkDown is told when the link is gone, and the other not known to be dead. Unread says that something that the other wrote may not
// have been read.
func (c *Coordinator) LinkDown(mayHaveUnread bool) {
	c.everSynced = c.everSynced && !mayHaveUnread
	c.linked, c.helloReceived, c.synced = false, false, false
	c.effects.Send = nil
	c.effects.Changed = true
	c.resetClaims()
}

// resetClaims has all claims made anew, on the next link. A key in use has its run in the table, which is listed anew.
func (c *Coordinator) resetClaims() {
	for key, k := range c.claims {
		k.requested, k.granted = false, false
		if k.waiters == 0 {
			delete(c.claims, key)
		}
	}
}

// Receive takes a message of the other's. An error means that the link is no good; ErrPeerReplaced and ErrStaleIdentity say more. What
// reaches the machine until the given time may repeat a run from before, where neither knows of all of those.
func (c *Coordinator) Receive(m Message, until int64) error {
	if !c.linked {
		return nil // of a link that is gone
	}
	if c.helloReceived == (m.Kind == Hello) {
		return fmt.Errorf("message of kind %d out of turn", m.Kind)
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
			return errors.New("all runs told twice")
		}
		c.synced, c.everSynced = true, true
		// What the other does not have any more it abandoned while there was no link, or never got.
		c.executions.Retain(func(key string) bool { return c.listedKeys[key] })
		clear(c.listedKeys)
		c.effects.Changed = true
	case Claim:
		return c.receiveClaim(m)
	case Grant, Denied:
		c.receiveClaimReply(m)
	default:
		return fmt.Errorf("message of unknown kind %d", m.Kind)
	}
	return nil
}

// receiveHello settles the roles, and lists all runs of this process.
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
	c.sendStatus() // what has changed since this one's own Hello
	for _, e := range c.executions.Local() {
		c.send(Message{Kind: Run, Execution: e})
	}
	c.send(Message{Kind: SyncComplete})
	c.effects.ClearMark, c.effects.Marks = true, c.marks
	return nil
}

// servedAlone reports whether this process has been the one that serves.
func (c *Coordinator) servedAlone() bool { return c.role == Sole || c.role == Predecessor }

// negotiateRole is this process's role to one that introduces itself: the predecessor is the process that has served alone, else the one that
// started first, of two that started at once the one in slot 0. Where neither has served alone each saw another before it served, and
// neither knows what had run by then.
func (c *Coordinator) negotiateRole(m Message, until int64) (Role, error) {
	predecessor := c.servedAlone()
	if predecessor && m.Sole {
		return c.role, errors.New("both have served alone")
	}
	if !predecessor && !m.Sole && c.role == Joining {
		c.unknownUntil = max(c.unknownUntil, until)
		predecessor = c.startedAt < m.StartedAt || c.startedAt == m.StartedAt && c.slot == 0
	}
	if !predecessor {
		return Successor, nil
	}
	if c.role == Successor {
		return c.role, errors.New("the elder says that it is the younger")
	}
	return Predecessor, nil
}

// receiveStatus takes readiness and evacuation of the other's. Of two changes of the evacuation at once the predecessor's holds.
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

// sendStatus sends this process's, once the other has introduced itself.
func (c *Coordinator) sendStatus() {
	if c.helloReceived {
		c.send(Message{Kind: Status, Evacuated: c.evacuated, EvacuationSeq: c.evacuationSeq, Ready: c.ready})
	}
}

// SetEvacuated is told when an operator began a drain here, or ended it: it holds for both.
func (c *Coordinator) SetEvacuated(evacuated bool) {
	if c.evacuated != evacuated {
		c.evacuated = evacuated
		c.evacuationSeq++
		c.sendStatus()
	}
}

// SetReady is told when this process serves, or no longer does.
func (c *Coordinator) SetReady(ready bool) {
	if c.ready != ready {
		c.ready = ready
		c.sendStatus()
	}
}
