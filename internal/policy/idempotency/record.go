// Package idempotency implements the rules of a durable store of idempotency keys: the states of a key, the action that each state
// allows before and after a restart, the admission of new requests by capacity and time, and the expiry of keys. It has no I/O, no
// clock and no goroutine: the caller passes in each event with its time.
//
// The rules follow from write-ahead logging: the intent to run is durable before the run begins, and its result is durable before the
// response is sent. An intent without a result that is found at a restart belongs to a request that may have run, so that request is
// never run again.
package idempotency

import "time"

// State is the state of the single run of a key. Its numeric values are stored on disk.
type State uint8

// The states of a key.
const (
	Unknown   State = iota // the store has no record of the key
	Intended               // the intent to run is being written, as a record in state Running; the run begins after the intent is durable
	Running                // the intent is durable; the request may be running or may have run
	Completed              // the result is durable
	Failed                 // the request may have run, as far as the store knows, and its result is lost for good
	Moved                  // a router looked up the key while it was unknown here; the request runs on another server
	Expired                // the window of the key is over
)

// String returns the name of a state in status output, which operators' tools read: Intended is "promised", Completed is "done".
func (s State) String() string {
	return [...]string{"unknown", "promised", "running", "done", "failed", "moved", "expired"}[s]
}

// Action is how an attempt is handled.
type Action uint8

// The actions.
const (
	Execute Action = iota // run the attempt as the first of its key
	Join                  // wait for the run that is in progress
	Replay                // answer with the stored result
	Fail                  // answer that the request failed; nothing runs for the attempt
	Reject                // reject the attempt; nothing has run for it
)

// String returns the name of an action in status output: Execute is "begin", Replay is "answer", Reject is "refuse".
func (a Action) String() string { return [...]string{"begin", "join", "answer", "fail", "refuse"}[a] }

// Action returns how to handle an attempt whose key is in state s. It applies to states that this process set or recovered.
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

// AfterRestart returns the state that a restart assigns to a key stored in state s. A key whose run was intended or in progress becomes Failed,
// as it is unknown whether the request ran.
func (s State) AfterRestart() State {
	switch s {
	case Intended, Running:
		return Failed
	}
	return s
}

// transitions lists the allowed successors of each state. Checking them reports a caller's mistake where it is made.
var transitions = map[State][]State{
	Intended:  {Running, Failed, Expired}, // Expired: the intent was withdrawn and the request never ran
	Running:   {Completed, Failed, Expired},
	Completed: {Expired},
	Failed:    {Expired},
	Moved:     {Expired},
}

// CanBecome reports whether a key may go from state s to state next.
func (s State) CanBecome(next State) bool {
	for _, n := range transitions[s] {
		if n == next {
			return true
		}
	}
	return false
}

// Decision is the outcome of the admission of a new request.
type Decision struct {
	Action     Action
	Reason     string        // one of the reasons below; empty for Execute
	RetryAfter time.Duration // of Reject: how long the caller waits before its next attempt
}

// Reasons why a new request may not run. Counters and responses carry these texts.
const (
	ReasonLoading    = "store_loading" // the stored records are still being read
	ReasonIncomplete = "store_blind"   // some earlier runs are not in the store, and their window is not over
	ReasonFull       = "store_full"    // the records have reached Limits.Bytes
	ReasonFailing    = "store_failing" // the store can't write, or is closed
	ReasonSlow       = "store_slow"    // the result would be durable only after the deadline of the request
)

// Record is the stored form of one key. Its times count from the boot of the machine, so that changes of the wall clock don't affect
// them: see Clock.
type Record struct {
	Seq         uint64        // ascending in the order of the intents
	State       State         // Running, Completed, Failed or Moved
	Key, ID     string        // idempotency key and ID of the request
	Fingerprint uint64        // of the request; all attempts of a key must have the same
	RecordedAt  time.Duration // when the intent was recorded
	ReceivedAt  time.Duration // when the attempt that ran was received
	ExpiresAt   time.Duration // when the record may be deleted
	Window      time.Duration // how long attempts of the key are accepted
	Result      []byte
}

// recordOverhead is the size in bytes of a record without key, ID and result, its share of a database page included.
const recordOverhead = 128

// Size returns the size of the record on disk, in bytes.
func (r *Record) Size() int { return recordOverhead + len(r.Key) + len(r.ID) + len(r.Result) }

// Recover returns the record as a restart loads it: its times are shifted, its state is that of AfterRestart, and only a completed one
// keeps its result. The second result is false for a record that must not be loaded: it has expired, or its state is not a stored one.
func (r Record) Recover(shift time.Duration, now time.Duration) (Record, bool) {
	r.RecordedAt, r.ReceivedAt, r.ExpiresAt = r.RecordedAt+shift, r.ReceivedAt+shift, r.ExpiresAt+shift
	r.State = r.State.AfterRestart()
	if r.State != Completed {
		r.Result = nil
	}
	return r, now <= r.ExpiresAt && r.State != Unknown && r.State != Expired
}

// Clock is a reading of the time since boot, with the IDs of the machine and of its boot.
type Clock struct {
	Machine, Boot string // Machine is empty if it is unknown
	SinceBoot     time.Duration
}

// Coverage is the period for which a store has a record of every run.
type Coverage struct {
	Machine, Boot     string        // the machine and the boot that the times count from
	CompleteSince     time.Duration // the store has every run since then
	Complete          bool          // the windows of all runs before CompleteSince are over
	CompleteSinceWall int64         // CompleteSince in Unix milliseconds, which routers get as the store's start stamp
}

// TimeShift returns the duration to add to the times of a store so that they count from the boot of c. The parameter last is the time
// of the newest record.
//
// After a reboot of the same machine, the time that it was off is unknown: the newest time of the store is mapped to the moment of the
// boot. On another machine it is mapped to the present. So a window can become longer, never shorter.
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
