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
	Held    Stage = iota // taken, not run
	Running              // it may have run
	Passed               // its result is here
	Failed               // it may have run, and has no result
	stages
)

// Flight is the one run of a keyed request.
type Flight struct {
	Key, ID string
	Sum     uint64        // of what every try of it must be
	Reached int64         // Unix nanoseconds at which it reached the machine
	Until   int64         // and at which the last of its tries is past
	Window  time.Duration // within which its tries come
	Stage   Stage
	Result  []byte
	Theirs  bool // of the other process; not told
}

// Keys are this process's runs of keyed requests, and what it was told of the other's.
type Keys interface {
	// Holds returns the run that a try repeats which reached the machine then, own or the other's.
	Holds(key string, reached int64) (Flight, bool)
	Put(f Flight)                        // the other's run has come so far
	Drop(key string)                     // the other let go of it unrun
	Own() []Flight                       // of this process, within their windows
	Lost(mayHaveRun func(f Flight) bool) // the other is gone: what has no end has none any more
	Keep(listed func(key string) bool)   // of the other's runs without an end, those it told of just now
}

// Kind is the kind of a message.
type Kind uint8

const (
	Hello  Kind = iota + 1 // the first: who sends it
	Status                 // what else the other has to know
	Run                    // how far a run of the sender's has come
	Gone                   // the sender let go of a run, unrun, or of a key that it was granted
	Whole                  // all runs of the sender's have been told
	Claim                  // may the sender run this key?
	Grant                  // it may
	Taken                  // it may not: the run was told just before
	kinds
)

// Message is what one process tells the other.
type Message struct {
	Kind   Kind
	Stamp  int64 // Hello: of the sender's start
	Peer   int64 // Hello: and of the process that it takes the other one for, 0 for none yet
	Sole   bool  // Hello: it served alone
	Out    bool  // Hello, Status: evacuated
	OutSeq int64 // Hello, Status: the number of that change, of all that either knew of
	Ready  bool  // Hello, Status: ready to serve
	Blind  int64 // Hello: until when requests that come may repeat a run that the sender does not know
	Flight Flight
}

// Role is what a process is to the other.
type Role uint8

const (
	Joining Role = iota // it does not know yet whether there is another
	Sole                // there is none
	Elder
	Younger
)

func (r Role) String() string { return [...]string{"joining", "sole", "elder", "younger"}[r] }

// Verdict is what becomes of a try that wants its key.
type Verdict uint8

const (
	Own   Verdict = iota // go on: the run is this process's, or known here
	Wait                 // ask again at the next change
	Never                // who ran it can't be known: it fails
)

// Effects are what this process has to do after an event.
type Effects struct {
	Send    []Message
	Changed bool // role, readiness or a key: those that wait ask again
	Out     *bool
	Clear   bool // once all is sent, take the mark away if Marks is still that: the other knows all again
	Marks   int
}

// Note is how the other hears of a run before it begins.
type Note uint8

const (
	None    Note = iota // it need not
	Written             // by what is to be sent, which has to be written first; where that fails, as Marked
	Marked              // there is no link: by the mark that is left for it
)

// ErrOther ends a link: another process is there than before, so that one is dead.
var ErrOther = errors.New("another process than before")

// ErrStale ends a link too: the other side takes this process for another one, and finds out by this link's Hello.
var ErrStale = errors.New("taken for another process")

// Side is one process's half.
type Side struct {
	stamp     int64
	slot      int // 0 or 1, which decides between equal stamps
	keys      Keys
	role      Role
	linked    bool
	met       bool  // the other's Hello came on this link
	whole     bool  // and all its runs
	knew      bool  // all its runs were told once, on some link
	peer      int64 // the stamp of the other, 0 before any
	peerReady bool
	ready     bool
	out       bool
	outSeq    int64
	saw       bool  // there was another
	blind     int64 // requests that reached the machine until then (Unix nanoseconds) may repeat a run that is not known here
	marks     int
	claims    map[string]*claim
	listed    map[string]bool // keys of the runs that were told on this link, until all are told
	fx        Effects
}

// claim is a key that tries here want, and the other may have.
type claim struct {
	tries   int
	asked   bool
	granted bool
}

// New returns the half of a process that has no place yet.
func New(keys Keys) *Side {
	return &Side{keys: keys, claims: map[string]*claim{}, listed: map[string]bool{}}
}

// Take returns the effects since the last call.
func (s *Side) Take() Effects {
	fx := s.fx
	s.fx = Effects{}
	return fx
}

// TakeClear takes the effect of that name before the others.
func (s *Side) TakeClear() (clear bool, marks int) {
	clear, marks = s.fx.Clear, s.fx.Marks
	s.fx.Clear = false
	return clear, marks
}

func (s *Side) send(m Message) {
	if s.linked {
		s.fx.Send = append(s.fx.Send, m)
	}
}

// Role is what this process is to the other.
func (s *Side) Role() Role { return s.role }

// Pair reports whether there is another process.
func (s *Side) Pair() bool { return s.role == Elder || s.role == Younger }

// May reports whether this process may take requests: it is alone, or the elder, or knows all that the elder ran.
func (s *Side) May() bool { return s.role == Sole || s.role == Elder || s.role == Younger && s.knew }

// Successor reports whether the other is younger and ready, so that this one may leave at once.
func (s *Side) Successor() bool { return s.role == Elder && s.peerReady }

// Blind is until when requests may repeat a run that is not known here, in Unix nanoseconds.
func (s *Side) Blind() int64 { return s.blind }

// Peer is the stamp of the other, 0 before any was met.
func (s *Side) Peer() int64 { return s.peer }

// Marks is the number of runs that needed the mark.
func (s *Side) Marks() int { return s.marks }

// ---- The other process ----

// Placed is told when the process took one of the two places, and when that was, in Unix nanoseconds.
func (s *Side) Placed(stamp int64, slot int) { s.stamp, s.slot = stamp, slot }

// Other is told when the other place is taken.
func (s *Side) Other() { s.saw = true }

// Alone is told when the other place is empty: at the start, or as the other is dead. Marked says whether it left the
// mark of having run without a link; then, and where it never told all, what reached the machine until the given time
// may repeat a run that is not known here.
func (s *Side) Alone(marked bool, until int64) {
	was := s.role
	if was == Sole {
		return
	}
	s.linked, s.met, s.whole, s.peerReady, s.peer = false, false, false, false, 0
	s.role = Sole
	s.fx = Effects{Changed: true, Out: s.fx.Out}
	unknown := s.saw && was != Elder && (!s.knew || marked)
	if unknown {
		s.blind = max(s.blind, until)
	}
	// An elder that is known to have told all says so before it runs what it holds. A younger that was granted a key may
	// have run it.
	s.keys.Lost(func(f Flight) bool { return was == Elder || unknown || f.Stage != Held })
	s.knew, s.saw = false, false
	for key, c := range s.claims {
		c.asked, c.granted = false, false
		if c.tries == 0 {
			delete(s.claims, key)
		}
	}
}

// Linked is told when there is a link: this process introduces itself.
func (s *Side) Linked() {
	s.linked, s.met, s.whole = true, false, false
	s.fx.Send = nil
	clear(s.listed)
	s.send(Message{Kind: Hello, Stamp: s.stamp, Peer: s.peer, Sole: s.role == Sole || s.role == Elder, Out: s.out,
		OutSeq: s.outSeq, Ready: s.ready, Blind: s.blind})
}

// Cut is told when the link is gone, and the other not known to be dead. Unread says that something that the other
// wrote may not have been read.
func (s *Side) Cut(unread bool) {
	s.knew = s.knew && !unread
	s.linked, s.met, s.whole = false, false, false
	s.fx.Send = nil
	s.fx.Changed = true
	for key, c := range s.claims {
		c.asked, c.granted = false, false // a key in use has its run in the table, which is told anew
		if c.tries == 0 {
			delete(s.claims, key)
		}
	}
}

// Receive takes a message of the other's. An error means that the link is no good. What reaches the machine until the
// given time may repeat a run from before, where neither knows of all of those.
func (s *Side) Receive(m Message, until int64) error {
	if !s.linked {
		return nil // of a link that is gone
	}
	if s.met == (m.Kind == Hello) {
		return fmt.Errorf("message of kind %d out of turn", m.Kind)
	}
	switch m.Kind {
	case Hello:
		return s.hello(m, until)
	case Status:
		s.status(m)
	case Run:
		if !s.whole {
			s.listed[m.Flight.Key] = true
		}
		s.keys.Put(m.Flight)
	case Gone:
		s.keys.Drop(m.Flight.Key)
	case Whole:
		if s.whole {
			return fmt.Errorf("all runs told twice")
		}
		s.whole, s.knew = true, true
		// What the other does not have any more it let go of while there was no link, or never got.
		s.keys.Keep(func(key string) bool { return s.listed[key] })
		clear(s.listed)
		s.fx.Changed = true
	case Claim:
		return s.claimed(m)
	case Grant, Taken:
		s.answered(m)
	default:
		return fmt.Errorf("message of unknown kind %d", m.Kind)
	}
	return nil
}

// hello settles who is the elder: who served alone, else who started first.
func (s *Side) hello(m Message, until int64) error {
	if s.peer != 0 && s.peer != m.Stamp && s.Pair() {
		return ErrOther
	}
	if m.Peer != 0 && m.Peer != s.stamp {
		return ErrStale
	}
	elder := s.role == Sole || s.role == Elder
	if elder && m.Sole {
		return fmt.Errorf("both have served alone")
	}
	if !elder && !m.Sole && s.role == Joining {
		// Each saw another before it served, and neither knows what had run by then.
		s.blind = max(s.blind, until)
		elder = s.stamp < m.Stamp || s.stamp == m.Stamp && s.slot == 0
	}
	if s.role == Younger && elder {
		return fmt.Errorf("the elder says that it is the younger")
	}
	s.peer, s.met = m.Stamp, true
	s.blind = max(s.blind, m.Blind)
	if s.role = Younger; elder {
		s.role = Elder
	}
	s.status(m)
	s.tell() // what has changed since this one's own Hello
	for _, f := range s.keys.Own() {
		s.send(Message{Kind: Run, Flight: f})
	}
	s.send(Message{Kind: Whole})
	s.fx.Clear, s.fx.Marks = true, s.marks
	return nil
}

func (s *Side) status(m Message) {
	s.peerReady = m.Ready
	// Of two changes at once the elder's holds.
	if m.OutSeq > s.outSeq || m.OutSeq == s.outSeq && s.role == Younger {
		if s.outSeq = m.OutSeq; m.Out != s.out {
			s.out = m.Out
			s.fx.Out = &m.Out
		}
	}
	s.fx.Changed = true
}

func (s *Side) tell() {
	if s.met {
		s.send(Message{Kind: Status, Out: s.out, OutSeq: s.outSeq, Ready: s.ready})
	}
}

// Evacuated is told when an operator began a drain here, or ended it: it holds for both.
func (s *Side) Evacuated(out bool) {
	if s.out != out {
		s.out = out
		s.outSeq++
		s.tell()
	}
}

// Ready is told when this process serves, or no longer does.
func (s *Side) Ready(ready bool) {
	if s.ready != ready {
		s.ready = ready
		s.tell()
	}
}

// ---- Keys ----

// Want begins a try's claim to its key. Done ends it, however it went.
func (s *Side) Want(key string) {
	c := s.claims[key]
	if c == nil {
		c = &claim{}
		s.claims[key] = c
	}
	c.tries++
}

// Ask says whether a try may go on; who waits asks again at every change. Where it may, its run is entered into the
// table at once, before any other event.
func (s *Side) Ask(f Flight) Verdict {
	_, known := s.keys.Holds(f.Key, f.Reached)
	switch {
	case s.role == Joining:
		return Wait
	case known:
		return Own
	case f.Reached <= s.blind:
		return Never
	case s.role != Younger:
		return Own
	}
	c := s.claims[f.Key]
	if c == nil || !s.whole { // without a link, or before all is known, nobody can tell
		return Wait
	}
	if c.granted {
		return Own
	}
	if !c.asked {
		c.asked = true
		s.send(Message{Kind: Claim, Flight: f})
	}
	return Wait
}

// Done ends a try's claim. A key that was granted and that nothing here holds is given back.
func (s *Side) Done(key string, reached int64) {
	c := s.claims[key]
	if c == nil {
		return
	}
	if c.tries--; c.tries > 0 {
		return
	}
	if c.asked && !c.granted && s.linked {
		return // its answer is on the way
	}
	delete(s.claims, key)
	if _, held := s.keys.Holds(key, reached); c.granted && !held {
		s.send(Message{Kind: Gone, Flight: Flight{Key: key}})
	}
}

// claimed answers the younger's claim.
func (s *Side) claimed(m Message) error {
	if s.role != Elder {
		return fmt.Errorf("a claim to one that is not the elder")
	}
	key := Flight{Key: m.Flight.Key, ID: m.Flight.ID}
	// What it was granted before and asks for anew it let go of.
	if f, held := s.keys.Holds(m.Flight.Key, m.Flight.Reached); held && !(f.Theirs && f.Stage <= Running) {
		s.send(Message{Kind: Run, Flight: f})
		s.send(Message{Kind: Taken, Flight: key})
		return nil
	}
	f := m.Flight
	f.Stage, f.Result = Running, nil // from now on it may be
	s.keys.Put(f)
	s.send(Message{Kind: Grant, Flight: key})
	return nil
}

// answered takes the elder's answer to a claim.
func (s *Side) answered(m Message) {
	c := s.claims[m.Flight.Key]
	if c == nil || !c.asked {
		if m.Kind == Grant {
			s.send(Message{Kind: Gone, Flight: Flight{Key: m.Flight.Key}})
		}
		return
	}
	c.asked = false
	c.granted = m.Kind == Grant
	s.fx.Changed = true
	if c.tries == 0 {
		delete(s.claims, m.Flight.Key)
		if c.granted {
			s.send(Message{Kind: Gone, Flight: Flight{Key: m.Flight.Key}})
		}
	}
}

// Starts is told when a run of this process is about to begin, and says how the other hears of it first, as it must of
// the elder's.
func (s *Side) Starts(f Flight) Note {
	switch {
	case s.role != Elder:
		return None
	case s.met:
		s.send(Message{Kind: Run, Flight: f})
		return Written
	}
	s.marks++
	return Marked
}

// Unwritten is told when what a run's note was in could not be written: it is marked instead.
func (s *Side) Unwritten() { s.marks++ }

// Ended is told how a run of this process ended.
func (s *Side) Ended(f Flight) {
	if s.met {
		s.send(Message{Kind: Run, Flight: f})
	}
}

// Dropped is told when this process let go of a request that did not run.
func (s *Side) Dropped(key string) {
	if c := s.claims[key]; c != nil {
		c.granted = false
	}
	if s.met {
		s.send(Message{Kind: Gone, Flight: Flight{Key: key}})
	}
}
