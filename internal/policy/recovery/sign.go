// Package recovery decides how a process comes back after it, or its machine, was dark: what its own sign of life proves of how long
// ago it last ran anything, what it may begin while it can't leave such signs, and on what the return of its service waits. It
// decides only: no I/O, no clock, no goroutine.
package recovery

import "time"

// Sign is a sign of life: that a process was running at a time. Times are those of the machine since it was switched on, which no
// setting of the wall clock moves.
type Heartbeat struct {
	Name      string        `json:"Name"`    // of the service
	Machine   string        `json:"Machine"` // on which it ran; empty: not known
	Boot      string        `json:"Boot"`    // which time the machine was switched on
	SinceBoot time.Duration `json:"Up"`      // since then
	Validity  time.Duration `json:"Valid"`   // for so long after it the process may have begun what has an effect
}

// Evidence is by what it is known how long ago a process last ran.
type Evidence uint8

const (
	NoEvidence Evidence = iota // no sign, or one of another machine: it may have run until just now
	SameBoot                   // the machine was on all the time, and its clock counted
	Rebooted                   // the machine was switched on since: it ran before that
)

func (e Evidence) String() string { return [...]string{"nothing", "process", "machine"}[e] }

// Dark is for how long, at the least, nothing has been begun, by the sign that was found and the present moment as another one. The
// wall clock has no part in it: it may have been set back, ahead, or have stood still in the dark.
func (s Heartbeat) Downtime(now Heartbeat) (atLeast time.Duration, by Evidence) {
	switch {
	case s.Machine == "" || s.Machine != now.Machine || s.Name != now.Name || s.Boot == "" || now.Boot == "":
		return 0, NoEvidence
	case s.Boot != now.Boot:
		return now.SinceBoot, Rebooted
	case now.SinceBoot < s.SinceBoot: // no clock of one switching-on runs back: it is not what it says
		return 0, NoEvidence
	}
	return max(0, now.SinceBoot-s.SinceBoot-s.Validity), SameBoot
}

// Terms are how signs are left.
type LeaseTerms struct {
	Interval time.Duration // a sign is due
	Validity time.Duration // after the latest that lasts, what has an effect may begin
}

// Life is one process's signs: when one is due, and whether what has an effect may begin.
type HeartbeatLease struct {
	terms          LeaseTerms
	writeStarted   time.Duration // when the latest write was begun
	everWritten    bool
	writing        bool
	durableAt      time.Duration // of the latest sign that lasts
	durable        bool
	suspendedSince time.Duration // it may not begin anything
	suspended      bool
}

// NewLife returns the life of a process that has left no sign yet.
func NewHeartbeatLease(t LeaseTerms) *HeartbeatLease {
	return &HeartbeatLease{terms: t, suspended: true}
}

// Due reports whether a sign is to be written now, and notes that it is.
func (l *HeartbeatLease) HeartbeatDue(now time.Duration) bool {
	if l.writing || l.everWritten && now-l.writeStarted < l.terms.Interval {
		return false
	}
	l.writeStarted, l.everWritten, l.writing = now, true, true
	return true
}

// Written is told how the write ended that was due. What it says is of the moment at which it was begun.
func (l *HeartbeatLease) HeartbeatWritten(ok bool) {
	l.writing = false
	if ok {
		l.durableAt, l.durable = l.writeStarted, true
	}
}

// May reports whether what has an effect may begin: a restart will take nothing to have begun later than this allows.
func (l *HeartbeatLease) MayExecute(now time.Duration) bool {
	may := l.durable && now-l.durableAt < l.terms.Validity
	if !may && !l.suspended {
		l.suspendedSince = now
	}
	l.suspended = !may
	return may
}

// Quiet is for how long nothing may begin; 0 while it may.
func (l *HeartbeatLease) SuspendedFor(now time.Duration) time.Duration {
	if l.MayExecute(now) {
		return 0
	}
	return max(1, now-l.suspendedSince)
}
