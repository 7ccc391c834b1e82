// Package recovery decides how a process comes back after an outage of its own or of its machine: what its own heartbeat on the disk
// proves of how long ago it last ran anything, what it may run while it can't write heartbeats, on what the return of its service waits,
// and what of all state it trusts. It decides only: no I/O, no clock, no goroutine.
package recovery

import "time"

// Heartbeat says that a process was running at a time. Times are those of the machine since it was switched on, which no setting of the
// wall clock moves. It stands on the disk as JSON by the names of its tags.
type Heartbeat struct {
	Name      string        `json:"Name"`    // of the service
	Machine   string        `json:"Machine"` // on which it ran; empty: not known
	Boot      string        `json:"Boot"`    // of the machine, by the name of that start
	SinceBoot time.Duration `json:"Up"`      // since then
	Validity  time.Duration `json:"Valid"`   // for so long after it the process may have begun what has an effect
}

// Evidence is by what it is known how long ago a process last ran.
type Evidence uint8

// The kinds of evidence.
const (
	NoEvidence Evidence = iota // no heartbeat, or one of another machine: it may have run until just now
	SameBoot                   // the machine was on all the time, and its clock counted
	Rebooted                   // the machine was switched on since: it ran before that
)

// String names the evidence, in the words of the log and of what operators are shown.
func (e Evidence) String() string { return [...]string{"nothing", "process", "machine"}[e] }

// Downtime is for how long, at the least, nothing has been run, by the heartbeat that was found and the present moment as another one.
// The wall clock has no part in it: it may have been set back, ahead, or have stood still during the outage.
func (h Heartbeat) Downtime(now Heartbeat) (minDowntime time.Duration, evidence Evidence) {
	switch {
	case h.Machine == "" || h.Machine != now.Machine || h.Name != now.Name || h.Boot == "" || now.Boot == "":
		return 0, NoEvidence
	case h.Boot != now.Boot:
		return now.SinceBoot, Rebooted
	case now.SinceBoot < h.SinceBoot: // no clock of one boot runs back: it is not what it says
		return 0, NoEvidence
	}
	return max(0, now.SinceBoot-h.SinceBoot-h.Validity), SameBoot
}

// LeaseTerms are those of a HeartbeatLease.
type LeaseTerms struct {
	Interval time.Duration // between two heartbeats
	Validity time.Duration // after the latest durable one, within which requests with an effect may run
}

// HeartbeatLease is what a process grants itself by its heartbeats: requests with an effect run only while the latest durable one is
// valid. So the next process knows, by that heartbeat alone, since when nothing has run.
type HeartbeatLease struct {
	terms        LeaseTerms
	writeStarted time.Duration // when the latest write was begun
	everWritten  bool
	writing      bool
	durableAt    time.Duration // the latest heartbeat that is durable
	durable      bool
}

// NewHeartbeatLease returns the lease of a process that has written no heartbeat yet: nothing may run.
func NewHeartbeatLease(t LeaseTerms) *HeartbeatLease {
	return &HeartbeatLease{terms: t}
}

// HeartbeatDue reports whether a heartbeat is to be written now, and notes that it is.
func (l *HeartbeatLease) HeartbeatDue(now time.Duration) bool {
	if l.writing || l.everWritten && now-l.writeStarted < l.terms.Interval {
		return false
	}
	l.writeStarted, l.everWritten, l.writing = now, true, true
	return true
}

// HeartbeatWritten is told how the write ended that was due. What the heartbeat says is of the moment at which the write was begun.
func (l *HeartbeatLease) HeartbeatWritten(ok bool) {
	l.writing = false
	if ok {
		l.durableAt, l.durable = l.writeStarted, true
	}
}

// MayExecute reports whether requests with an effect may run: a restart will take nothing to have begun later than this allows.
func (l *HeartbeatLease) MayExecute(now time.Duration) bool {
	return l.durable && now-l.durableAt < l.terms.Validity
}
