// Package idempotency decides what may become of a keyed request whose runs are kept on a disk: the life of a key, what each
// state of it allows before and after a restart, which new one there is room and time for, and when one is forgotten.
// It decides only: no I/O, no clock, no goroutine. Events come in with their time, actions go out.
//
// One rule carries the rest: a run is promised on the disk before it begins, and its result is there before the answer
// leaves. So what a restart finds promised and without a result may have run, and is never run again.
package idempotency

import "time"

// State is how far the one run of a key has come.
type State uint8

const (
	Unknown   State = iota // nothing is known under the key
	Intended               // that it will run is being written; it does not run before that lasts
	Running                // it may run, or has: the promise lasts
	Completed              // its result lasts
	Failed                 // it ran, or may have, and no result will ever be known
	Moved                  // a router asked for it, it was not known, and it runs elsewhere
	Expired                // its window is over
)

func (s State) String() string {
	return [...]string{"unknown", "promised", "running", "done", "failed", "moved", "expired"}[s]
}

// Do is what may be done for a try.
type Action uint8

const (
	Execute Action = iota // it may be the first of its key and run
	Join                  // it waits for the run that there is
	Replay                // it gets the result that is kept
	Fail                  // it is answered failed: nothing runs for it
	Reject                // it is refused before anything ran for it
)

func (d Action) String() string { return [...]string{"begin", "join", "answer", "fail", "refuse"}[d] }

// Allows is what a try gets whose key is in a state, in the process that brought it there.
func (s State) Action() Action {
	switch s {
	case Intended, Running:
		return Join
	case Completed:
		return Replay
	case Failed:
		return Fail
	case Moved:
		return Reject
	}
	return Execute
}

// After is the state in which a restart takes up what it finds on the disk in another one.
func (s State) AfterRestart() State {
	switch s {
	case Intended, Running: // nobody knows how far it came
		return Failed
	}
	return s
}

// step lists where a state may go, so that a mistake of the caller's is found where it is made.
var transitions = map[State][]State{
	Intended:  {Running, Failed, Expired}, // Expired: withdrawn, it never ran
	Running:   {Completed, Failed, Expired},
	Completed: {Expired},
	Failed:    {Expired},
	Moved:     {Expired},
}

// May reports whether a state may follow another.
func (s State) CanBecome(next State) bool {
	for _, n := range transitions[s] {
		if n == next {
			return true
		}
	}
	return false
}

// Verdict is what becomes of a new sheet, and of a refused one when to come back and why.
type Decision struct {
	Action     Action
	Reason     string // one of those below; empty where it may begin
	RetryAfter time.Duration
}

// Why a new sheet may not begin.
const (
	ReasonLoading    = "store_loading" // what ran before is not all read yet
	ReasonIncomplete = "store_blind"   // what ran before is not all known, and won't be before its window is over
	ReasonFull       = "store_full"
	ReasonFailing    = "store_failing"
	ReasonSlow       = "store_slow" // its result would not last by the time that it is due
)

// Record is one key as it stands on the disk. Times are those of the machine since it was switched on, which no setting
// of the wall clock moves: see Clock.
type Record struct {
	Seq         uint64 // in the order of the promises
	State       State  // Running, Done, Failed or Moved
	Key, ID     string
	Fingerprint uint64 // of the request that every try must be
	RecordedAt  time.Duration
	ReceivedAt  time.Duration // when the try that ran reached the machine
	ExpiresAt   time.Duration // when the record may be forgotten
	Window      time.Duration
	Result      []byte
}

// overhead is what a record costs beside key, name and result, with its part of a page.
const recordOverhead = 128

// Size is what a record takes on the disk, in bytes.
func (r *Record) Size() int { return recordOverhead + len(r.Key) + len(r.ID) + len(r.Result) }

// Clock is a time since a machine was switched on, which machine that is (empty: nobody knows), and which time it was switched on.
type Clock struct {
	Machine, Boot string
	SinceBoot     time.Duration
}

// Meta is what a store knows of itself.
type Coverage struct {
	Machine, Boot string // in which its times count
	// Since is from when on it knows every run; Whole says that no run of before then can matter any more.
	CompleteSince     time.Duration
	Complete          bool
	CompleteSinceWall int64 // Unix milliseconds of Since, by which routers tell its knowledge from that of another
}

// Shift is what to add to the times of a store for them to count by the present clock. Where the same machine was switched on since,
// nobody knows how long it was dark, but all was written before: the store's last time is taken for the moment of switching on. On
// another machine it is taken for the present. So every window is too long and none too short. The last is the time of the newest
// record.
func (m Coverage) TimeShift(last time.Duration, c Clock) time.Duration {
	last = max(last, m.CompleteSince)
	switch {
	case c.Boot == m.Boot && c.SinceBoot >= last:
		return 0
	case c.Boot != m.Boot && m.Machine != "" && c.Machine == m.Machine:
		return -last
	}
	return c.SinceBoot - last
}

// Recover is how a record that was found is taken up, and whether it still matters.
func (r Record) Recover(shift time.Duration, now time.Duration) (Record, bool) {
	r.RecordedAt, r.ReceivedAt, r.ExpiresAt = r.RecordedAt+shift, r.ReceivedAt+shift, r.ExpiresAt+shift
	r.State = r.State.AfterRestart()
	if r.State != Completed {
		r.Result = nil
	}
	return r, now <= r.ExpiresAt && r.State != Unknown && r.State != Expired
}
