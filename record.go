package silverpath

// This file has the state of a Shedder and of its classes and requests, and setState, the only function
// that moves a request to another state.

import (
	"slices"
	"time"

	"silverpath/internal/policy/window"
)

// Shedder makes the decisions for one server. It is not safe for concurrent use, and a host must not call
// it from within an action.
type Shedder struct {
	settings Settings
	host     Host
	pools    Pools         // nil if there are none
	now      time.Duration // time of the last event

	classes       []*class // in the order of the settings
	classByName   map[string]*class
	tenantBuckets map[string]*window.TokenBucket // remaining quota of each tenant
	remembered    keyTable

	// Open requests.
	requests    []*request // in the order of arrival
	requestByID map[string]*request
	lastSeq     int
	stateCount  [finished + 1]int // requests in each state
	memoryKB    float64           // of all requests, according to their states

	// Overload.
	cpu           window.Average // share of the cores busy
	nextSample    time.Duration
	lastRejection time.Duration
	everRejected  bool

	// Capacity.
	startedAt         time.Duration  // start time of the runner; if it was cold, warm-up counts from then
	coreClock         time.Duration  // core time of a run that was on the cores throughout
	coresPerRun       window.Average // runnable tasks per run
	sampleCoreTime    float64        // core time of all runs since the last sample, in seconds
	completedCoreTime float64        // core time of all runs, in seconds, decayed: the slowdown is this ...
	completedWork     float64        // ... divided by this, the expected work of ended requests, in seconds
	baselineSlowdown  float64
	baselineStart     time.Duration // when the learning of the baseline began

	// Calls to the dependency.
	typicalCallTime  float64       // recent mean, in seconds
	baseCallTime     float64       // lowest typicalCallTime, in seconds, rising slowly
	maxSharedCalls   float64       // limit of concurrent calls to a shared service; under 1, calls are spaced
	nextCallAt       time.Duration // earliest next call to a shared service
	maxTierCalls     float64       // limit of concurrent calls to a tier below
	nextTierDecrease time.Duration // earliest next decrease of maxTierCalls
	finishedCalls    []finishedCall
	callsKnownSince  time.Duration // finished calls before it may be forgotten within CallWindow

	// Backpressure.
	arrivals, rejections float64        // requests read and rejected since the last sample
	arrivalRate          window.Average // requests per second
	pressure             float64        // from 0 to 1
	idleTimeout          time.Duration  // idle connections are closed after this; 0: by their callers
	callerTimeoutRatio   window.Average // share of the deadline after which callers cancel

	// Graceful shutdown.
	drainStartedAt time.Duration
	stopAt         time.Duration // 0 until the drain notice

	// State of the log lines.
	loggedOverload       bool
	rejectedBy           [rejectionReasonCount]int // since the overload began
	loggedSlowCalls      bool
	slowCallsConfirmedAt time.Duration // when callsAreSlow last equalled loggedSlowCalls
}

// rejectionReason is the rule that rejected a request.
type rejectionReason int

const (
	reasonConcurrencyLimit rejectionReason = iota // the adaptive concurrency limit
	reasonGuard                                   // memory (also of its key), drain, pool, open requests
	reasonForecast                                // forecast too late, expired in the queue, or rejected unread
	rejectionReasonCount                          // number of reasons
)

// requestState is the state of a request, from queued to finished.
type requestState uint8

const (
	queued       requestState = iota
	running                   // on the cores, or waiting for disk
	preempting                // running, and the host was asked to stop it
	paused                    // stopped; keeps its progress and memory
	awaitingCall              // needs a call that is not made yet
	calling                   // its call is in progress
	joined                    // waits for the result of the request that it duplicates
	finished
)

// placeOfState maps the states to the places that are reported to pools.
var placeOfState = [finished + 1]Place{
	queued: PlaceQueued, running: PlaceOnCores, preempting: PlaceOnCores, paused: PlaceOffCores,
	awaitingCall: PlaceOffCores, calling: PlaceOffCores, joined: PlaceOffCores, finished: PlaceFinished,
}

// class is a class of the settings with its statistics. A class of the same name in later settings shares
// them.
type class struct {
	Class
	*classStats
}

// classStats holds the statistics of a class.
type classStats struct {
	completions               *window.Rolling // response times, in seconds
	inFlight                  int
	avgInFlight               window.Average
	meanWork                  float64 // mean work of its requests, in seconds
	requestedWork, servedWork float64 // in seconds: all work, and work served in time, decayed
	goalWeight                float64 // what a unit of its work adds to the goal
	typicalCallWait           float64 // seconds that its requests wait for calls
}

// classMeanDivisor is the inverse of the weight of a completed request in the mean work and call wait of
// its class. With it, ten requests change the means noticeably.
const classMeanDivisor = 10

// request is the state of one attempt of a request.
type request struct {
	Request
	seq      int // in the order of arrival
	class    *class
	state    requestState
	answered bool
	started  bool // may have run
	inFlight bool // counted in the number in flight of its class
	expired  bool // answered because its time ran out
	// completed: its own run, or the run that it joined, has ended with an answer.
	completed bool

	arrivedAt    time.Duration // when it was read
	receivedAt   time.Duration // when it reached the machine
	objective    time.Duration // an answer until then earns the full weight
	deadline     time.Duration // when its client stops waiting
	tenantWeight float64       // factor on its class's weight: less over the tenant's quota
	expectedWork float64       // seconds on a standard core

	stateSince       time.Duration
	coreClockAtState time.Duration // core clock when the state began
	coreTime         time.Duration // core time that it used before this state
	callWait         time.Duration // total time of its calls
	callDeadline     time.Duration // when a call in progress is abandoned
	nextCallAt       time.Duration // earliest time of its next call
	backoff          time.Duration // delay before its call is made again
}

// register adds an arrived request to the open requests. The state of the request is queued, although it is
// not admitted yet.
func (s *Shedder) register(incoming Request, c *class) *request {
	s.lastSeq++
	s.arrivals++
	r := &request{
		Request: incoming, seq: s.lastSeq, class: c, arrivedAt: s.now, stateSince: s.now, backoff: firstCallBackoff,
		receivedAt: s.now - incoming.ReadDelay, expectedWork: incoming.ExpectedWork.Seconds(),
		tenantWeight: s.tenantWeight(incoming.Tenant),
	}
	r.deadline = r.receivedAt + c.Deadline
	if incoming.Deadline > 0 {
		r.deadline = incoming.Deadline
	}
	if r.expectedWork <= 0 {
		r.expectedWork = max(c.meanWork, minWork)
	}
	r.objective = s.latencyObjective(r)
	c.requestedWork += r.expectedWork
	s.requests = append(s.requests, r)
	s.requestByID[r.ID] = r
	s.stateCount[queued]++
	s.memoryKB += s.requestMemoryKB(r)
	s.notifyPools(r)
	return r
}

// setState changes the state of a request and accounts for its memory, runs and calls. No other function
// changes the state.
func (s *Shedder) setState(r *request, to requestState) {
	if r.state == running || r.state == preempting {
		r.coreTime = s.coreTimeSoFar(r)
	}
	if r.state == calling {
		callTime := s.now - r.stateSince
		r.callWait += callTime
		if to != running { // the call may have been abandoned, and linger
			callTime += s.settings.CallLinger
		}
		s.finishedCalls = append(s.finishedCalls, finishedCall{s.now, callTime})
	}
	s.memoryKB -= s.requestMemoryKB(r)
	s.stateCount[r.state]--
	r.state, r.stateSince, r.coreClockAtState = to, s.now, s.coreClock
	s.stateCount[r.state]++
	s.memoryKB += s.requestMemoryKB(r)
	s.notifyPools(r)
}

// complete records that the run of a request, or the run that it joined, has ended, which answers the
// request.
func (s *Shedder) complete(now time.Duration, r *request, outcome Outcome) {
	r.completed = true
	if !r.answered {
		r.answered = true
		if outcome == OK && now <= r.objective {
			r.class.servedWork += r.expectedWork
		}
	}
	s.release(r)
}

// release removes a request that is over.
func (s *Shedder) release(r *request) {
	if r.state == queued && !r.started {
		s.forgetKey(r) // cancelled before it ran
	}
	joinedAnother := r.state == joined
	s.setState(r, finished)
	delete(s.requestByID, r.ID)
	s.requests = slices.DeleteFunc(s.requests, func(other *request) bool { return other == r })
	s.recordCompletion(r)
	s.recordWork(r, joinedAnother)
}

// recordWork adds the work of a request that is over to completedWork and, if its own run completed,
// updates the means of its class.
func (s *Shedder) recordWork(r *request, joinedAnother bool) {
	switch {
	case !r.completed:
		s.completedWork += min(r.expectedWork, r.coreTime.Seconds()/s.baselineSlowdown)
	case !joinedAnother:
		s.completedWork += r.expectedWork
		r.class.typicalCallWait += (r.callWait.Seconds() - r.class.typicalCallWait) / classMeanDivisor
		work := r.expectedWork
		if r.ExpectedWork <= 0 { // unknown: the work that it took
			work = r.coreTime.Seconds()
		}
		r.class.meanWork += (work - r.class.meanWork) / classMeanDivisor
	}
}

// requestMemoryKB returns the memory that a request takes in its state.
func (s *Shedder) requestMemoryKB(r *request) float64 {
	switch r.state {
	case queued, joined:
		return r.QueuedKB
	case finished:
		return 0
	}
	return r.QueuedKB * s.settings.RunFactor
}

// notifyPools reports the place of a request to the pools.
func (s *Shedder) notifyPools(r *request) {
	if s.pools != nil {
		s.pools.Moved(s.now, r.ID, r.class.Name, placeOfState[r.state])
	}
}

// runsOnCores returns the number of runs on the cores or waiting for disk.
func (s *Shedder) runsOnCores() int { return s.stateCount[running] + s.stateCount[preempting] }

// startedRuns returns the number of runs that have started and not ended.
func (s *Shedder) startedRuns() int {
	return s.runsOnCores() + s.stateCount[paused] + s.stateCount[awaitingCall] + s.stateCount[calling]
}
