// Package recovery decides how a process resumes service after an outage of the process or its machine: how long ago it last ran
// requests, according to its durable heartbeat; what it may run while it cannot write heartbeats; which prerequisites each kind of work
// has; and which stored state it trusts. It has no I/O, no clock and no goroutine.
package recovery

import "time"

// Heartbeat proves that a process was running at a time. Times are measured since the machine's boot, so setting the wall clock does not
// change them. A heartbeat is stored on disk as JSON under the names of its tags.
type Heartbeat struct {
	Name      string        `json:"Name"`    // name of the service
	Machine   string        `json:"Machine"` // machine on which it ran; empty if unknown
	Boot      string        `json:"Boot"`    // identifier of the machine's boot
	SinceBoot time.Duration `json:"Up"`      // time of the heartbeat, since that boot
	Validity  time.Duration `json:"Valid"`   // period after the heartbeat in which the process may have begun requests with an effect
}

// Evidence is what the duration of a downtime is derived from.
type Evidence uint8

// The kinds of evidence.
const (
	NoEvidence Evidence = iota // no heartbeat, or one of another machine or service: the process may have run until now
	SameBoot                   // the machine was not rebooted, and its clock counted the downtime
	Rebooted                   // the machine was rebooted since the heartbeat: the process ran before that
)

// String returns the evidence's name in the log and in operators' output.
func (e Evidence) String() string { return [...]string{"nothing", "process", "machine"}[e] }

// Downtime returns the minimum time for which no request was run, and the evidence for it. The receiver is the stored heartbeat; now is a
// heartbeat of the present time. The wall clock is not used, because it may have been set or have stopped during the outage.
func (h Heartbeat) Downtime(now Heartbeat) (minDowntime time.Duration, evidence Evidence) {
	switch {
	case h.Machine == "" || h.Machine != now.Machine || h.Name != now.Name || h.Boot == "" || now.Boot == "":
		return 0, NoEvidence
	case h.Boot != now.Boot:
		return now.SinceBoot, Rebooted
	case now.SinceBoot < h.SinceBoot: // time since boot never decreases, so the heartbeat is invalid
		return 0, NoEvidence
	}
	return max(0, now.SinceBoot-h.SinceBoot-h.Validity), SameBoot
}

// LeaseTerms are the terms of a HeartbeatLease.
type LeaseTerms struct {
	Interval time.Duration // between two heartbeats
	Validity time.Duration // period after the latest durable heartbeat in which requests with an effect may run
}

// HeartbeatLease allows requests with an effect to run only while the latest durable heartbeat is valid. The next process therefore knows
// from that heartbeat alone since when nothing has run.
type HeartbeatLease struct {
	terms        LeaseTerms
	writeStarted time.Duration // start of the latest write
	everWritten  bool
	writing      bool
	durableAt    time.Duration // time of the latest durable heartbeat
	durable      bool
}

// NewHeartbeatLease returns the lease of a process that has written no heartbeat yet. MayExecute returns false until one is durable.
func NewHeartbeatLease(t LeaseTerms) *HeartbeatLease {
	return &HeartbeatLease{terms: t}
}

// HeartbeatDue reports whether a heartbeat must be written now. If it returns true, the write counts as started.
func (l *HeartbeatLease) HeartbeatDue(now time.Duration) bool {
	if l.writing || l.everWritten && now-l.writeStarted < l.terms.Interval {
		return false
	}
	l.writeStarted, l.everWritten, l.writing = now, true, true
	return true
}

// HeartbeatWritten is called when the started write has ended; ok reports that the heartbeat is durable. The heartbeat's time is the start
// of the write.
func (l *HeartbeatLease) HeartbeatWritten(ok bool) {
	l.writing = false
	if ok {
		l.durableAt, l.durable = l.writeStarted, true
	}
}

// MayExecute reports whether requests with an effect may run. After a restart, Downtime assumes that none began after the time up to which
// this function returned true.
func (l *HeartbeatLease) MayExecute(now time.Duration) bool {
	return l.durable && now-l.durableAt < l.terms.Validity
}
