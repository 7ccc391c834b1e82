package recovery

import "time"

// UnknownRuns is the period after a start in which a client may repeat a request that an earlier process ran and that is not known here.
// It ends a retention after the last time at which that process may have run a request. The zero value has ended.
type UnknownRuns struct {
	retention time.Duration
}

// NewUnknownRuns returns the period of a process that starts. The retention is how long a request may be repeated by the settings of this
// process, and previous by those of the earlier one, 0 if they are unknown.
func NewUnknownRuns(retention, previous time.Duration) UnknownRuns {
	return UnknownRuns{max(retention, previous)}
}

// Remaining returns the time until the end of the period, not positive once it has ended. Downtime is how long no earlier process has run
// a request.
func (u UnknownRuns) Remaining(downtime time.Duration) time.Duration { return u.retention - downtime }

// Extended returns the period after the settings have changed. A longer retention prolongs it. A period that has ended does not begin again.
func (u UnknownRuns) Extended(retention, downtime time.Duration) UnknownRuns {
	if u.Remaining(downtime) <= 0 {
		return u
	}
	return UnknownRuns{max(u.retention, retention)}
}

// RecentRetention tracks the longest retention by which requests that ran recently may be repeated. The next process of the service has to
// know it, because its settings may have a shorter one.
type RecentRetention struct {
	longest   time.Duration
	lastInUse time.Duration // when longest was last in use
}

// Update records the retention that is in use now, and returns the longest by which a request of the past may still be repeated.
func (r *RecentRetention) Update(now, retention time.Duration) time.Duration {
	if retention >= r.longest || now-r.lastInUse > r.longest {
		r.longest, r.lastInUse = retention, now
	}
	return r.longest
}
