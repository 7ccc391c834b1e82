// Package idempotency decides what may become of an idempotent request, one with an idempotency key, whose runs are kept on a disk: the
// states of a key, what each allows before and after a restart, which new request there is capacity and time for, and when a key
// expires. It decides only: no I/O, no clock, no goroutine. Events come in with their time, answers go out.
//
// One rule carries the rest, as in write-ahead logging: the intent to run is durable before a run begins, and its result is durable
// before the answer leaves. So an intent without a result that a restart finds may have run, and is never run again.
package idempotency

import "time"

// State is how far the one run of a key has come. Its numbers stand on the disk.
type State uint8

// The states of a key.
const (
	Unknown   State = iota // nothing is known under the key
	Intended               // the intent to run is being written; the run does not begin before it is durable
	Running                // it may run, or has: the intent is durable
	Completed              // its result is durable
	Failed                 // it ran, or may have, and no result will ever be known
	Moved                  // a router asked for it, it was not known, and it runs elsewhere
	Expired                // its window is over
)

// String names a state in the words that operators have been shown from the first build on: promised is Intended, done is Completed.
func (s State) String() string {
	return [...]string{"unknown", "promised", "running", "done", "failed", "moved", "expired"}[s]
}

// Action is what may be done for an attempt.
type Action uint8

// The actions.
const (
	Execute Action = iota // it may be the first of its key and run
	Join                  // it waits for the run that there is
	Replay                // it gets the result that is kept
	Fail                  // it is answered failed: nothing runs for it
	Reject                // it is rejected before anything ran for it
)

// String names an action in the words of the status: begin is Execute, answer is Replay, refuse is Reject.
func (a Action) String() string { return [...]string{"begin", "join", "answer", "fail", "refuse"}[a] }

// Action is what an attempt gets whose key is in a state, in the process that brought it there.
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

// AfterRestart is the state in which a restart takes up what it finds on the disk in another one: of what was under way nobody knows
// how far it came.
func (s State) AfterRestart() State {
	switch s {
	case Intended, Running:
		return Failed
	}
	return s
}

// transitions lists where a state may go, so that a mistake of the caller's is found where it is made.
var transitions = map[State][]State{
	Intended:  {Running, Failed, Expired}, // Expired: withdrawn, it never ran
	Running:   {Completed, Failed, Expired},
	Completed: {Expired},
	Failed:    {Expired},
	Moved:     {Expired},
}

// CanBecome reports whether a state may follow another.
func (s State) CanBecome(next State) bool {
	for _, n := range transitions[s] {
		if n == next {
			return true
		}
	}
	return false
}

// Decision is what becomes of a new request, and of a rejected one why, and when to come back.
type Decision struct {
	Action     Action
	Reason     string // one of those below; empty where it may run
	RetryAfter time.Duration
}

// Why a new request may not run, in the words of counters and answers.
const (
	ReasonLoading    = "store_loading" // what ran before is not all read yet
	ReasonIncomplete = "store_blind"   // incomplete: what ran before is not all known, and won't be before its window is over
	ReasonFull       = "store_full"    // the records are as many bytes as they may be
	ReasonFailing    = "store_failing" // the disk fails
	ReasonSlow       = "store_slow"    // its result would not be durable by its deadline
)

// Record is one key as it stands on the disk. Times are those of the machine since it was switched on, which no setting of the wall
// clock moves: see Clock.
type Record struct {
	Seq         uint64        // in the order of the intents
	State       State         // Running, Completed, Failed or Moved
	Key, ID     string        // of the request
	Fingerprint uint64        // of the request; every attempt must have the same
	RecordedAt  time.Duration // the intent
	ReceivedAt  time.Duration // the attempt that ran
	ExpiresAt   time.Duration // when the record may be forgotten
	Window      time.Duration // within which attempts come
	Result      []byte
}

// recordOverhead is what a record takes beside key, name and result, with its part of a page, in bytes.
const recordOverhead = 128

// Size is what a record takes on the disk, in bytes.
func (r *Record) Size() int { return recordOverhead + len(r.Key) + len(r.ID) + len(r.Result) }

// Recover is how a record that was found is taken up, its times shifted, and whether it still matters now.
func (r Record) Recover(shift time.Duration, now time.Duration) (Record, bool) {
	r.RecordedAt, r.ReceivedAt, r.ExpiresAt = r.RecordedAt+shift, r.ReceivedAt+shift, r.ExpiresAt+shift
	r.State = r.State.AfterRestart()
	if r.State != Completed {
		r.Result = nil
	}
	return r, now <= r.ExpiresAt && r.State != Unknown && r.State != Expired
}

// Clock is a time since a machine was switched on, which machine that is (empty: nobody knows), and which boot.
type Clock struct {
	Machine, Boot string
	SinceBoot     time.Duration
}

// Coverage is from when on a store knows every run.
type Coverage struct {
	Machine, Boot     string // in which its times count
	CompleteSince     time.Duration
	Complete          bool  // no run of before CompleteSince can matter any more
	CompleteSinceWall int64 // Unix milliseconds of CompleteSince, by which routers tell its knowledge from that of another
}

// TimeShift is what to add to the times of a store for them to count by the present clock. Where the same machine was switched on
// since, nobody knows how long it was off, but all was written before: the store's last time is taken for the moment of switching on.
// On another machine it is taken for the present. So every window is too long and none too short. The last is the time of the newest
// record.
func (v Coverage) TimeShift(last time.Duration, c Clock) time.Duration {
	last = max(last, v.CompleteSince)
	switch {
	case c.Boot == v.Boot && c.SinceBoot >= last:
		return 0
	case c.Boot != v.Boot && v.Machine != "" && c.Machine == v.Machine:
		return -last
	}
	return c.SinceBoot - last
}
