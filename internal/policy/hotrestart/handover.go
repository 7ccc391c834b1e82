// Package hotrestart decides how two processes are one service while the newer takes over from the older: who owns a
// key, when the newer one is ready, and what each does when the other is silent or dead. It decides only: no I/O, no
// clock, no goroutine. Events go in, messages for the other process and effects for this one come out.
//
// One rule carries the rest: a keyed request is run only by the process that owns its key. The elder owns every key
// that neither has; the younger owns what the elder has granted it. Before the elder runs a key it says so, in order,
// on a link whose bytes outlive it, so the younger knows after the elder's death all that may have run. Where the elder
// has to run without a link it leaves a mark first, and the younger that finds the mark fails what it does not know.
package hotrestart

import (
	"errors"
	"fmt"
	"time"
)

// Stage says how far the run of a key has come, as the other process is told.
type Stage uint8

const (
	Queued    Stage = iota // taken, not run
	Running                // it may have run
	Succeeded              // its result is here
	Failed                 // it may have run, and has no result
	stages
)

// Flight is the one run of a keyed request.
type Execution struct {
	Key, ID     string
	Fingerprint uint64        // of what every try of it must be
	ReceivedAt  int64         // Unix nanoseconds at which it reached the machine
	ExpiresAt   int64         // and at which the last of its tries is past
	Window      time.Duration // within which its tries come
	Stage       Stage
	Result      []byte
	Remote      bool // of the other process; not told
}

// Keys are this process's runs of keyed requests, and what it was told of the other's.
type Executions interface {
	// Holds returns the run that a try repeats which reached the machine then, own or the other's.
	Find(key string, reached int64) (Execution, bool)
	Apply(f Execution)                          // the other's run has come so far
	Forget(key string)                          // the other let go of it unrun
	Local() []Execution                         // of this process, within their windows
	PeerLost(mayHaveRun func(f Execution) bool) // the other is gone: what has no end has none any more
	Retain(listed func(key string) bool)        // of the other's runs without an end, those it told of just now
}

// Kind is the kind of a message.
type Kind uint8

const (
	Hello        Kind = iota + 1 // the first: who sends it
	Status                       // what else the other has to know
	Run                          // how far a run of the sender's has come
	Released                     // the sender let go of a run, unrun, or of a key that it was granted
	SyncComplete                 // all runs of the sender's have been told
	Claim                        // may the sender run this key?
	Grant                        // it may
	Denied                       // it may not: the run was told just before
	kinds
)

// Message is what one process tells the other.
type Message struct {
	Kind          Kind
	StartedAt     int64 // Hello: of the sender's start
	PeerStartedAt int64 // Hello: and of the process that it takes the other one for, 0 for none yet
	Sole          bool  // Hello: it served alone
	Evacuated     bool  // Hello, Status: evacuated
	EvacuationSeq int64 // Hello, Status: the number of that change, of all that either knew of
	Ready         bool  // Hello, Status: ready to serve
	UnknownUntil  int64 // Hello: until when requests that come may repeat a run that the sender does not know
	Execution     Execution
}

// Role is what a process is to the other.
type Role uint8

const (
	Joining Role = iota // it does not know yet whether there is another
	Sole                // there is none
	Predecessor
	Successor
)

func (r Role) String() string { return [...]string{"joining", "sole", "elder", "younger"}[r] }

// Verdict is what becomes of a try that wants its key.
type ClaimState uint8

const (
	Granted    ClaimState = iota // go on: the run is this process's, or known here
	Pending                      // ask again at the next change
	Unknowable                   // who ran it can't be known: it fails
)

// Effects are what this process has to do after an event.
type Effects struct {
	Send      []Message
	Changed   bool // role, readiness or a key: those that wait ask again
	Evacuated *bool
	ClearMark bool // once all is sent, take the mark away if Marks is still that: the other knows all again
	Marks     int
}

// Note is how the other hears of a run before it begins.
type Notice uint8

const (
	NoNotice     Notice = iota // it need not
	NoticeByLink               // by what is to be sent, which has to be written first; where that fails, as Marked
	NoticeByMark               // there is no link: by the mark that is left for it
)

// ErrOther ends a link: another process is there than before, so that one is dead.
var ErrPeerReplaced = errors.New("another process than before")

// ErrStale ends a link too: the other side takes this process for another one, and finds out by this link's Hello.
var ErrStaleIdentity = errors.New("taken for another process")

// Side is one process's half.
type Coordinator struct {
	startedAt     int64
	slot          int // 0 or 1, which decides between equal stamps
	executions    Executions
	role          Role
	linked        bool
	helloReceived bool  // the other's Hello came on this link
	synced        bool  // and all its runs
	everSynced    bool  // all its runs were told once, on some link
	peerStartedAt int64 // the stamp of the other, 0 before any
	peerReady     bool
	ready         bool
	evacuated     bool
	evacuationSeq int64
	peerSeen      bool  // there was another
	unknownUntil  int64 // requests that reached the machine until then (Unix nanoseconds) may repeat a run that is not known here
	marks         int
	claims        map[string]*claim
	listed        map[string]bool // keys of the runs that were told on this link, until all are told
	effects       Effects
}

// claim is a key that tries here want, and the other may have.
type claim struct {
	waiters   int
	requested bool
	granted   bool
}

// New returns the half of a process that has no place yet.
func New(keys Executions) *Coordinator {
	return &Coordinator{executions: keys, claims: map[string]*claim{}, listed: map[string]bool{}}
}

// Take returns the effects since the last call.
func (s *Coordinator) TakeEffects() Effects {
	fx := s.effects
	s.effects = Effects{}
	return fx
}

// TakeClear takes the effect of that name before the others.
func (s *Coordinator) TakeClearMark() (clearMark bool, marks int) {
	clearMark, marks = s.effects.ClearMark, s.effects.Marks
	s.effects.ClearMark = false
	return clearMark, marks
}

func (s *Coordinator) send(m Message) {
	if s.linked {
		s.effects.Send = append(s.effects.Send, m)
	}
}

// Role is what this process is to the other.
func (s *Coordinator) Role() Role { return s.role }

// Pair reports whether there is another process.
func (s *Coordinator) HasPeer() bool { return s.role == Predecessor || s.role == Successor }

// May reports whether this process may take requests: it is alone, or the elder, or knows all that the elder ran.
func (s *Coordinator) MayServe() bool {
	return s.role == Sole || s.role == Predecessor || s.role == Successor && s.everSynced
}

// Successor reports whether the other is younger and ready, so that this one may leave at once.
func (s *Coordinator) SuccessorReady() bool { return s.role == Predecessor && s.peerReady }

// Blind is until when requests may repeat a run that is not known here, in Unix nanoseconds.
func (s *Coordinator) UnknownUntil() int64 { return s.unknownUntil }

// Peer is the stamp of the other, 0 before any was met.
func (s *Coordinator) PeerStartedAt() int64 { return s.peerStartedAt }

// Marks is the number of runs that needed the mark.
func (s *Coordinator) Marks() int { return s.marks }

// ---- The other process ----

// Placed is told when the process took one of the two places, and when that was, in Unix nanoseconds.
func (s *Coordinator) SlotTaken(startedAt int64, slot int) { s.startedAt, s.slot = startedAt, slot }

// Other is told when the other place is taken.
func (s *Coordinator) PeerPresent() { s.peerSeen = true }

// Alone is told when the other place is empty: at the start, or as the other is dead. Marked says whether it left the
// mark of having run without a link; then, and where it never told all, what reached the machine until the given time
// may repeat a run that is not known here.
func (s *Coordinator) PeerAbsent(marked bool, until int64) {
	previous := s.role
	if previous == Sole {
		return
	}
	s.linked, s.helloReceived, s.synced, s.peerReady, s.peerStartedAt = false, false, false, false, 0
	s.role = Sole
	s.effects = Effects{Changed: true, Evacuated: s.effects.Evacuated}
	unknown := s.peerSeen && previous != Predecessor && (!s.everSynced || marked)
	if unknown {
		s.unknownUntil = max(s.unknownUntil, until)
	}
	// An elder that is known to have told all says so before it runs what it holds. A younger that was granted a key may
	// have run it.
	s.executions.PeerLost(func(f Execution) bool { return previous == Predecessor || unknown || f.Stage != Queued })
	s.everSynced, s.peerSeen = false, false
	for key, c := range s.claims {
		c.requested, c.granted = false, false
		if c.waiters == 0 {
			delete(s.claims, key)
		}
	}
}

// Linked is told when there is a link: this process introduces itself.
func (s *Coordinator) LinkUp() {
	s.linked, s.helloReceived, s.synced = true, false, false
	s.effects.Send = nil
	clear(s.listed)
	s.send(Message{Kind: Hello, StartedAt: s.startedAt, PeerStartedAt: s.peerStartedAt, Sole: s.role == Sole || s.role == Predecessor, Evacuated: s.evacuated,
		EvacuationSeq: s.evacuationSeq, Ready: s.ready, UnknownUntil: s.unknownUntil})
}

// Cut is told when the link is gone, and the other not known to be dead. Unread says that something that the other
// wrote may not have been read.
func (s *Coordinator) LinkDown(unread bool) {
	s.everSynced = s.everSynced && !unread
	s.linked, s.helloReceived, s.synced = false, false, false
	s.effects.Send = nil
	s.effects.Changed = true
	for key, c := range s.claims {
		c.requested, c.granted = false, false // a key in use has its run in the table, which is told anew
		if c.waiters == 0 {
			delete(s.claims, key)
		}
	}
}

// Receive takes a message of the other's. An error means that the link is no good. What reaches the machine until the
// given time may repeat a run from before, where neither knows of all of those.
func (s *Coordinator) Receive(m Message, until int64) error {
	if !s.linked {
		return nil // of a link that is gone
	}
	if s.helloReceived == (m.Kind == Hello) {
		return fmt.Errorf("message of kind %d out of turn", m.Kind)
	}
	switch m.Kind {
	case Hello:
		return s.receiveHello(m, until)
	case Status:
		s.receiveStatus(m)
	case Run:
		if !s.synced {
			s.listed[m.Execution.Key] = true
		}
		s.executions.Apply(m.Execution)
	case Released:
		s.executions.Forget(m.Execution.Key)
	case SyncComplete:
		if s.synced {
			return fmt.Errorf("all runs told twice")
		}
		s.synced, s.everSynced = true, true
		// What the other does not have any more it let go of while there was no link, or never got.
		s.executions.Retain(func(key string) bool { return s.listed[key] })
		clear(s.listed)
		s.effects.Changed = true
	case Claim:
		return s.receiveClaim(m)
	case Grant, Denied:
		s.receiveClaimReply(m)
	default:
		return fmt.Errorf("message of unknown kind %d", m.Kind)
	}
	return nil
}

// hello settles who is the elder: who served alone, else who started first.
func (s *Coordinator) receiveHello(m Message, until int64) error {
	if s.peerStartedAt != 0 && s.peerStartedAt != m.StartedAt && s.HasPeer() {
		return ErrPeerReplaced
	}
	if m.PeerStartedAt != 0 && m.PeerStartedAt != s.startedAt {
		return ErrStaleIdentity
	}
	predecessor := s.role == Sole || s.role == Predecessor
	if predecessor && m.Sole {
		return fmt.Errorf("both have served alone")
	}
	if !predecessor && !m.Sole && s.role == Joining {
		// Each saw another before it served, and neither knows what had run by then.
		s.unknownUntil = max(s.unknownUntil, until)
		predecessor = s.startedAt < m.StartedAt || s.startedAt == m.StartedAt && s.slot == 0
	}
	if s.role == Successor && predecessor {
		return fmt.Errorf("the elder says that it is the younger")
	}
	s.peerStartedAt, s.helloReceived = m.StartedAt, true
	s.unknownUntil = max(s.unknownUntil, m.UnknownUntil)
	if s.role = Successor; predecessor {
		s.role = Predecessor
	}
	s.receiveStatus(m)
	s.sendStatus() // what has changed since this one's own Hello
	for _, f := range s.executions.Local() {
		s.send(Message{Kind: Run, Execution: f})
	}
	s.send(Message{Kind: SyncComplete})
	s.effects.ClearMark, s.effects.Marks = true, s.marks
	return nil
}

func (s *Coordinator) receiveStatus(m Message) {
	s.peerReady = m.Ready
	// Of two changes at once the elder's holds.
	if m.EvacuationSeq > s.evacuationSeq || m.EvacuationSeq == s.evacuationSeq && s.role == Successor {
		if s.evacuationSeq = m.EvacuationSeq; m.Evacuated != s.evacuated {
			s.evacuated = m.Evacuated
			s.effects.Evacuated = &m.Evacuated
		}
	}
	s.effects.Changed = true
}

func (s *Coordinator) sendStatus() {
	if s.helloReceived {
		s.send(Message{Kind: Status, Evacuated: s.evacuated, EvacuationSeq: s.evacuationSeq, Ready: s.ready})
	}
}

// Evacuated is told when an operator began a drain here, or ended it: it holds for both.
func (s *Coordinator) SetEvacuated(evacuated bool) {
	if s.evacuated != evacuated {
		s.evacuated = evacuated
		s.evacuationSeq++
		s.sendStatus()
	}
}

// Ready is told when this process serves, or no longer does.
func (s *Coordinator) SetReady(ready bool) {
	if s.ready != ready {
		s.ready = ready
		s.sendStatus()
	}
}

// ---- Keys ----

// Want begins a try's claim to its key. Done ends it, however it went.
func (s *Coordinator) BeginClaim(key string) {
	c := s.claims[key]
	if c == nil {
		c = &claim{}
		s.claims[key] = c
	}
	c.waiters++
}

// Ask says whether a try may go on; who waits asks again at every change. Where it may, its run is entered into the
// table at once, before any other event.
func (s *Coordinator) CheckClaim(f Execution) ClaimState {
	_, known := s.executions.Find(f.Key, f.ReceivedAt)
	switch {
	case s.role == Joining:
		return Pending
	case known:
		return Granted
	case f.ReceivedAt <= s.unknownUntil:
		return Unknowable
	case s.role != Successor:
		return Granted
	}
	c := s.claims[f.Key]
	if c == nil || !s.synced { // without a link, or before all is known, nobody can tell
		return Pending
	}
	if c.granted {
		return Granted
	}
	if !c.requested {
		c.requested = true
		s.send(Message{Kind: Claim, Execution: f})
	}
	return Pending
}

// Done ends a try's claim. A key that was granted and that nothing here holds is given back.
func (s *Coordinator) EndClaim(key string, receivedAt int64) {
	c := s.claims[key]
	if c == nil {
		return
	}
	if c.waiters--; c.waiters > 0 {
		return
	}
	if c.requested && !c.granted && s.linked {
		return // its answer is on the way
	}
	delete(s.claims, key)
	if _, held := s.executions.Find(key, receivedAt); c.granted && !held {
		s.send(Message{Kind: Released, Execution: Execution{Key: key}})
	}
}

// claimed answers the younger's claim.
func (s *Coordinator) receiveClaim(m Message) error {
	if s.role != Predecessor {
		return fmt.Errorf("a claim to one that is not the elder")
	}
	key := Execution{Key: m.Execution.Key, ID: m.Execution.ID}
	// What it was granted before and asks for anew it let go of.
	if f, held := s.executions.Find(m.Execution.Key, m.Execution.ReceivedAt); held && !(f.Remote && f.Stage <= Running) {
		s.send(Message{Kind: Run, Execution: f})
		s.send(Message{Kind: Denied, Execution: key})
		return nil
	}
	f := m.Execution
	f.Stage, f.Result = Running, nil // from now on it may be
	s.executions.Apply(f)
	s.send(Message{Kind: Grant, Execution: key})
	return nil
}

// answered takes the elder's answer to a claim.
func (s *Coordinator) receiveClaimReply(m Message) {
	c := s.claims[m.Execution.Key]
	if c == nil || !c.requested {
		if m.Kind == Grant {
			s.send(Message{Kind: Released, Execution: Execution{Key: m.Execution.Key}})
		}
		return
	}
	c.requested = false
	c.granted = m.Kind == Grant
	s.effects.Changed = true
	if c.waiters == 0 {
		delete(s.claims, m.Execution.Key)
		if c.granted {
			s.send(Message{Kind: Released, Execution: Execution{Key: m.Execution.Key}})
		}
	}
}

// Starts is told when a run of this process is about to begin, and says how the other hears of it first, as it must of
// the elder's.
func (s *Coordinator) RunStarts(f Execution) Notice {
	switch {
	case s.role != Predecessor:
		return NoNotice
	case s.helloReceived:
		s.send(Message{Kind: Run, Execution: f})
		return NoticeByLink
	}
	s.marks++
	return NoticeByMark
}

// Unwritten is told when what a run's note was in could not be written: it is marked instead.
func (s *Coordinator) NoticeLost() { s.marks++ }

// Ended is told how a run of this process ended.
func (s *Coordinator) RunEnded(f Execution) {
	if s.helloReceived {
		s.send(Message{Kind: Run, Execution: f})
	}
}

// Dropped is told when this process let go of a request that did not run.
func (s *Coordinator) RequestDropped(key string) {
	if c := s.claims[key]; c != nil {
		c.granted = false
	}
	if s.helloReceived {
		s.send(Message{Kind: Released, Execution: Execution{Key: key}})
	}
}
