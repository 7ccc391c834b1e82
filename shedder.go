package silverpath

// This file has the events of a Shedder, in the order in which a request meets them, and its clock. Each rule
// that they apply has a file of its own, with its constants, inputs and reason at its head:
//
//	overload.go      the ordinary path: concurrency limit from throughput and response time, behind a CPU gate
//	admission.go     the guards on memory, started runs and the drain, and the one place that starts a run
//	capacity.go      estimates: runs that the cores take, warm-up, slowdown, whether a fault is local
//	queue.go         order of the queue, forecast of the end of each request, preemption of surplus runs
//	fairness.go      goal weights of the classes, tenants' quotas
//	calls.go         calls to the dependency: how many, how long, and when one is left out
//	idempotency.go   remembered requests: duplicates join the first, nothing with an effect runs twice
//	deadline.go      latency objective, deadline and patience of callers
//	drain.go         graceful shutdown
//	answer.go        rejecting, failing and preempting a request
//	retryadvice.go   Retry-After and whether a caller may go elsewhere
//	backpressure.go  the signal to callers, and how long connections stay open
//	transitions.go   log lines where an overload or a slow dependency begins and ends
//
// An arrival is decided by the first of these that applies:
//
//  1. a duplicate of a remembered request joins it (idempotency.go);
//  2. its class is over its concurrency limit while the server is overloaded: rejected (overload.go);
//  3. a guard has no place for it: rejected (admission.go);
//  4. it is queued; it starts if there is capacity, and is rejected if the forecast of its end is too late
//     (queue.go).

import (
	"errors"
	"fmt"
	"math"
	"time"

	"silverpath/internal/policy/window"
)

// The clock of the module.
const (
	// tickInterval is the time between two calls of Tick: deadlines are met to within one, at the price of a
	// look at all requests in hand. Ten make a sample.
	tickInterval = 25 * time.Millisecond
	// sampleInterval is the time between two samples of the gauges: the go-zero shedder's own.
	sampleInterval = 250 * time.Millisecond
	// minWork bounds sums and estimates of work away from zero, in seconds: they are divided by.
	minWork = 0.001
)

// New returns a Shedder for the given settings. Its first actions are asked of the host at once. The error
// names the field of settings that no server can have.
func New(now time.Duration, set Settings, host Host) (*Shedder, error) {
	if host == nil {
		return nil, errors.New("silverpath: no host")
	}
	if err := validate(&set); err != nil {
		return nil, fmt.Errorf("silverpath: impossible settings: %w", err)
	}
	s := &Shedder{
		settings: set, host: host, now: now, startedAt: now, baselineStart: now, nextSample: now + sampleInterval,
		requestByID: map[string]*request{}, remembered: newKeyTable(),
	}
	s.setClassesAndTenants(now, set)
	s.baselineSlowdown = 1
	s.maxTierCalls = maxTierCallsPerCore * float64(set.Cores)
	s.completedWork = float64(set.Cores)
	s.completedCoreTime = s.completedWork / math.Sqrt(s.warmupSpeed())
	s.coresPerRun.Add(1, 0)
	s.callerTimeoutRatio.Add(1, 0)
	host.Health(true)
	host.Wake(tickInterval)
	return s, nil
}

// UsePools gives the module pools as one more guard. It is called before the first request.
func (s *Shedder) UsePools(p Pools) { s.pools = p }

// Started reports that the runner, which does the work, started that long ago, and whether it was cold then.
// It may come long after New.
func (s *Shedder) Started(now, ago time.Duration, cold bool) {
	s.advanceClock(now)
	s.settings.Cold, s.startedAt = cold, now-ago
	s.baselineStart = max(s.baselineStart, s.startedAt)
}

// Reconfigure takes up other settings, whole or not at all. Requests in hand keep the class they came with; a
// class that comes back under a name that was dropped starts with no statistics. The server started when it
// did, as before. The error names the field of settings that no server can have.
func (s *Shedder) Reconfigure(now time.Duration, set Settings) error {
	s.advanceClock(now)
	if err := validate(&set); err != nil {
		return fmt.Errorf("silverpath: impossible settings: %w", err)
	}
	set.Cold = s.settings.Cold
	s.setClassesAndTenants(now, set)
	s.settings = set
	s.decideCalls()
	s.schedule()
	return nil
}

// setClassesAndTenants replaces classes and tenants. Those that stay keep their statistics and quota.
func (s *Shedder) setClassesAndTenants(now time.Duration, set Settings) {
	oldClasses := s.classByName
	s.classes, s.classByName = nil, map[string]*class{}
	for _, c := range set.Classes {
		added := &class{c, &classStats{
			goalWeight: c.Weight, completions: window.NewRolling(windowBuckets, windowLength/windowBuckets),
		}}
		if old := oldClasses[c.Name]; old != nil {
			added.classStats = old.classStats
		}
		s.classes = append(s.classes, added)
		s.classByName[c.Name] = added
	}
	s.setTenants(now, set)
}

// Arrive takes a request that was just read. It is answered sooner or later, once.
func (s *Shedder) Arrive(now time.Duration, incoming Request) {
	s.advanceClock(now)
	if s.requestByID[incoming.ID] != nil {
		return // the same id again: the first still waits for its answer
	}
	c := s.classByName[incoming.Class]
	if c == nil {
		s.host.Reject(incoming.ID, 0, true)
		return
	}
	if s.remembered.contains(incoming.ID) {
		s.host.Fail(incoming.ID) // this very request has been run
		return
	}
	r := s.register(incoming, c)
	switch {
	case s.isJoinableDuplicate(r):
		s.join(r)
	case s.overloaded(c):
		s.reject(r, reasonConcurrencyLimit)
	case !s.admissible(r):
		s.reject(r, reasonGuard)
	default:
		s.rememberKey(r)
		s.schedule()
	}
	if r.state != finished {
		r.inFlight = true
		c.inFlight++
	}
}

// RejectedUnread reports that n requests of a class were turned away unread, since those just before them had
// been rejected.
func (s *Shedder) RejectedUnread(now time.Duration, class string, n int) {
	s.advanceClock(now)
	if c := s.classByName[class]; c != nil && n > 0 {
		s.arrivals, s.rejections = s.arrivals+float64(n), s.rejections+float64(n)
		s.rejectedBy[reasonForecast] += n
		c.requestedWork += float64(n) * max(c.meanWork, minWork)
	}
}

// Cancelled reports that nobody waits for the request any more.
func (s *Shedder) Cancelled(now time.Duration, id string) {
	s.advanceClock(now)
	r := s.requestByID[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	s.updateCallerTimeout(r)
	switch r.state {
	case queued, paused, joined:
		s.release(r)
	case running:
		if r.class.Effect != Idempotent { // a retry of an idempotent request takes its result
			s.preempt(r)
		}
	}
	s.schedule()
}

// NeedsCall reports that a running request can't go on without a call to the dependency.
func (s *Shedder) NeedsCall(now time.Duration, id string) {
	s.advanceClock(now)
	if r := s.requestByID[id]; r != nil && (r.state == running || r.state == preempting) {
		s.setState(r, awaitingCall)
		r.nextCallAt, r.backoff = now, firstCallBackoff
		s.decideCalls()
		s.schedule()
	}
}

// CallEnded reports how a call ended, and how long it took.
func (s *Shedder) CallEnded(now time.Duration, id string, outcome Outcome, duration time.Duration) {
	s.advanceClock(now)
	r := s.requestByID[id]
	if r == nil || r.state != calling {
		return
	}
	if outcome == OK || outcome == TimedOut {
		s.adaptSharedCalls(duration.Seconds())
	}
	s.adaptTierCalls(outcome)
	if outcome == OK {
		s.setState(r, running)
	} else {
		s.setState(r, awaitingCall)
		s.scheduleCallRetry(now, r, outcome)
	}
	s.decideCalls()
	s.schedule()
}

// RunEnded reports that a run, or a join, has ended.
func (s *Shedder) RunEnded(now time.Duration, id string, outcome Outcome, duration time.Duration) {
	s.advanceClock(now)
	r := s.requestByID[id]
	if r == nil || r.state == queued || r.state == paused {
		return
	}
	switch {
	case outcome == OK || outcome == Failed:
		s.complete(now, r, outcome)
	case outcome == NotStarted && !r.answered: // neither a completion nor work that was asked for
		r.started = false
		r.class.requestedWork = max(0, r.class.requestedWork-r.expectedWork)
		s.forgetKey(r)
		s.release(r)
	case r.answered:
		s.release(r)
	case s.settings.Preemption == PreemptDrop && r.class.Effect != Safe:
		s.fail(r) // its work is lost and it must not run again
	case s.settings.Preemption == PreemptPause:
		s.setState(r, paused)
	default:
		r.coreTime = 0
		s.setState(r, queued)
	}
	s.decideCalls()
	s.schedule()
}

// Tick is the answer to Host.Wake, with the gauges as they are then.
func (s *Shedder) Tick(now time.Duration, g Gauges) {
	s.advanceClock(now)
	s.host.Wake(tickInterval)
	s.estimateCoresPerRun(g)
	s.nextSample = max(s.nextSample, now-windowLength) // a long pause is not made up for
	for s.nextSample <= now {
		s.nextSample += sampleInterval
		s.sample(g)
	}
	s.remembered.expire(s.now)
	s.answerExpired()
	if s.pools != nil {
		s.pools.Tick(s.now, s.runLimit(), g)
	}
	s.decideCalls()
	s.schedule()
}

// advanceClock sets the clock, which never moves backwards. The core clock goes slower the less of a core
// each run has: what runs take from each other is no sign that the server itself is slow.
func (s *Shedder) advanceClock(now time.Duration) {
	now = max(s.now, now)
	coreTime := time.Duration(float64(now-s.now) * s.coreShare())
	s.coreClock += coreTime
	s.sampleCoreTime += float64(s.runsOnCores()) * coreTime.Seconds()
	s.completedCoreTime += float64(s.runsOnCores()) * coreTime.Seconds()
	s.now = now
}

// sample takes what is read once a sampleInterval and lets the statistics fade.
func (s *Shedder) sample(g Gauges) {
	s.cpu.Add(g.CPU, cpuBeta)
	s.fadeSlowdown()
	s.updatePressure()
	s.updateGoalWeights()
	s.logTransitions()
	s.updateBaselineSlowdown()
}
