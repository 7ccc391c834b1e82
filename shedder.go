package silverpath

// This file has the events of a Shedder, in the order in which a request passes them, and its clock. Each
// rule has a file of its own, which begins with the rule's inputs, reasons and constants:
//
//	overload.go      adaptive concurrency limit from throughput and response time, applied at high CPU
//	admission.go     guards on memory, started runs and the drain; the only place that starts a run
//	capacity.go      estimates: runs that the cores can take, warm-up, slowdown, whether a fault is local
//	queue.go         order of the queue, forecast of finish times, preemption of surplus runs
//	fairness.go      goal weights of the classes, quotas of the tenants
//	calls.go         calls to the dependency: how many, how long, and when a call is skipped
//	idempotency.go   remembered requests: duplicates join the first, effects occur only once
//	deadline.go      latency objective, deadline and observed timeout of callers
//	drain.go         graceful shutdown
//	answer.go        rejecting, failing and preempting a request
//	retryadvice.go   Retry-After and whether a caller may try another server
//	backpressure.go  the signal to callers, and the idle timeout of connections
//	transitions.go   log lines at the start and end of an overload or of slow calls
//
// The host calls Arrive for requests that its own limits admit. The first of these rules that applies decides
// about an arrival:
//
//   1. it duplicates a remembered request: it joins that request (idempotency.go);
//   2. the server is overloaded and the class is over its concurrency limit: it is rejected (overload.go);
//   3. a guard does not admit it: it is rejected (admission.go);
//   4. it is queued; it starts if there is capacity, and is rejected if its forecast finish is too late
//      (queue.go).

import (
	"errors"
	"fmt"
	"math"
	"time"

	"silverpath/internal/policy/window"
)

// Time constants.
const (
	// tickInterval is the time between two calls of Tick. Deadlines are met to within one tick; each tick
	// scans all open requests. Ten ticks make one sample.
	tickInterval = 25 * time.Millisecond
	// sampleInterval is the time between two samples of the gauges, as in the go-zero shedder.
	sampleInterval = 250 * time.Millisecond
	// minWork is the lower bound, in seconds, of sums and estimates of work that are used as divisors.
	minWork = 0.001
)

// New returns a Shedder with the given settings. It calls the host before it returns. The error reports a
// missing host or names an invalid field of the settings.
func New(now time.Duration, set Settings, host Host) (*Shedder, error) {
	if host == nil {
		return nil, errors.New("silverpath: no host")
	}
	if err := validate(&set); err != nil {
		return nil, fmt.Errorf("silverpath: impossible settings: %w", err)
	}
	s := &Shedder{
		settings: set, host: host, now: now, startedAt: now, baselineStart: now, nextSample: now + sampleInterval,
		callsKnownSince: now - maxDuration,
		requestByID:     map[string]*request{}, remembered: newKeyTable(),
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

// UsePools adds pools as a further guard. It must be called before the first request.
func (s *Shedder) UsePools(p Pools) { s.pools = p }

// RunnerStarted reports that the runner, which executes the requests, was started ago before now, and whether
// that start was cold. It may be called long after New.
func (s *Shedder) RunnerStarted(now, ago time.Duration, cold bool) {
	s.advanceClock(now)
	s.settings.Cold, s.startedAt = cold, now-ago
	s.baselineStart = max(s.baselineStart, s.startedAt)
}

// Reconfigure replaces the settings, entirely or not at all. Open requests keep the class that they arrived
// with. A class that was dropped and is added again starts without statistics. The start time of the server
// and Cold are kept. The error names an invalid field of the settings.
func (s *Shedder) Reconfigure(now time.Duration, set Settings) error {
	s.advanceClock(now)
	if err := validate(&set); err != nil {
		return fmt.Errorf("silverpath: impossible settings: %w", err)
	}
	set.Cold = s.settings.Cold
	s.setClassesAndTenants(now, set)
	s.noteCallWindow(set)
	s.extendKeys()
	s.settings = set
	s.decideCalls()
	s.schedule()
	return nil
}

// setClassesAndTenants replaces classes and tenants. Those that remain keep their statistics and quota.
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

// Arrive handles a request that was just read. The request is answered once, now or later.
func (s *Shedder) Arrive(now time.Duration, incoming Request) {
	s.advanceClock(now)
	if s.requestByID[incoming.ID] != nil {
		return // duplicate ID: the first request with it is still open
	}
	c := s.classByName[incoming.Class]
	if c == nil {
		s.host.Reject(incoming.ID, 0, true)
		return
	}
	if s.remembered.contains(incoming.ID) {
		s.host.Fail(incoming.ID) // this request has run already
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

// RejectedUnread reports that n requests of a class were rejected unread, because the requests just before
// them had been rejected.
func (s *Shedder) RejectedUnread(now time.Duration, class string, n int) {
	s.advanceClock(now)
	if c := s.classByName[class]; c != nil && n > 0 {
		s.arrivals, s.rejections = s.arrivals+float64(n), s.rejections+float64(n)
		s.rejectedBy[reasonForecast] += n
		c.requestedWork += float64(n) * max(c.meanWork, minWork)
	}
}

// Cancelled reports that no caller waits for the request any more.
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
		if r.class.Effect != Idempotent { // a retry of an idempotent request reuses its result
			s.preempt(r)
		}
	}
	s.schedule()
}

// NeedsCall reports that a running request needs a call to the dependency before it can continue.
func (s *Shedder) NeedsCall(now time.Duration, id string) {
	s.advanceClock(now)
	if r := s.requestByID[id]; r != nil && (r.state == running || r.state == preempting) {
		s.setState(r, awaitingCall)
		r.nextCallAt, r.backoff = now, firstCallBackoff
		s.decideCalls()
		s.schedule()
	}
}

// CallEnded reports the outcome and the duration of a call.
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

// RunEnded reports the end of a run or of a join.
func (s *Shedder) RunEnded(now time.Duration, id string, outcome Outcome, duration time.Duration) {
	s.advanceClock(now)
	r := s.requestByID[id]
	if r == nil || r.state == queued || r.state == paused {
		return
	}
	switch {
	case outcome == OK || outcome == Failed:
		s.complete(now, r, outcome)
	case outcome == NotStarted && !r.answered: // counts neither as a completion nor as requested work
		r.started = false
		r.class.requestedWork = max(0, r.class.requestedWork-r.expectedWork)
		s.forgetKey(r)
		s.release(r)
	case r.answered:
		s.release(r)
	case s.settings.Preemption == PreemptDrop && r.class.Effect != Safe:
		s.fail(r) // its progress is lost and it must not run again
	case s.settings.Preemption == PreemptPause:
		s.setState(r, paused)
	default:
		r.coreTime = 0
		s.setState(r, queued)
	}
	s.decideCalls()
	s.schedule()
}

// Tick handles the timer that Host.Wake requested, with the current gauges.
func (s *Shedder) Tick(now time.Duration, g Gauges) {
	s.advanceClock(now)
	s.host.Wake(tickInterval)
	s.estimateCoresPerRun(g)
	s.nextSample = max(s.nextSample, now-windowLength) // skip samples that were missed in a long pause
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

// advanceClock sets the clock, which never moves backwards. The core clock advances more slowly the smaller
// the share of a core that each run has, because contention between runs does not indicate a slow server.
func (s *Shedder) advanceClock(now time.Duration) {
	now = max(s.now, now)
	coreTime := time.Duration(float64(now-s.now) * s.coreShare())
	s.coreClock += coreTime
	s.sampleCoreTime += float64(s.runsOnCores()) * coreTime.Seconds()
	s.completedCoreTime += float64(s.runsOnCores()) * coreTime.Seconds()
	s.now = now
}

// sample processes the gauges once per sampleInterval and reduces the influence of older statistics.
func (s *Shedder) sample(g Gauges) {
	s.cpu.Add(g.CPU, cpuBeta)
	s.fadeSlowdown()
	s.updatePressure()
	s.updateGoalWeights()
	s.logTransitions()
	s.updateBaselineSlowdown()
}
