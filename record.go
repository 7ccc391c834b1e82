package silverpath

// This file has what is kept of the server, its classes and requests, and the one place where a request
// changes its state.

import (
	"slices"
	"time"

	"silverpath/internal/policy/window"
)

// Shedder decides for one server. It is single-threaded: a host must not call it from two goroutines at once,
// nor from within an action.
type Shedder struct {
	settings Settings
	host     Host
	pools    Pools         // nil: none
	now      time.Duration // time of the last event

	classes       []*class // in the order of the settings
	classByName   map[string]*class
	tenantBuckets map[string]*window.TokenBucket // what is left of each tenant's quota
	remembered    keyTable

	// Requests in hand.
	requests    []*request // in the order of arrival
	requestByID map[string]*request
	lastSeq     int
	stateCount  [finished + 1]int // requests in each state
	memoryKB    float64           // of all requests, in their states

	// Overload.
	cpu           window.Average // share of the cores busy
	nextSample    time.Duration
	lastRejection time.Duration
	everRejected  bool

	// Capacity.
	startedAt         time.Duration  // of the runner; where it was cold, it warms up from then on
	coreClock         time.Duration  // time that a run alone on its core would have had
	coresPerRun       window.Average // tasks that want a core, for each run
	sampleCoreTime    float64        // seconds on the cores of all runs since the last sample
	completedCoreTime float64        // seconds on the cores of all runs, faded: the slowdown is this ...
	completedWork     float64        // ... divided by this, the expected work of the completed, in seconds
	baselineSlowdown  float64
	baselineStart     time.Duration // when the baseline began to be learned

	// Calls to the dependency.
	typicalCallTime  float64       // seconds, of late
	baseCallTime     float64       // seconds, the lowest that it has been, rising slowly
	maxSharedCalls   float64       // calls out at once to a shared dependency; under 1, calls keep a distance
	nextCallAt       time.Duration // no call to a shared dependency before then
	maxTierCalls     float64       // calls out at once to a tier below
	nextTierDecrease time.Duration // maxTierCalls falls no further before then
	finishedCalls    []finishedCall

	// Backpressure.
	arrivals, rejections float64        // requests read and rejected since the last sample
	arrivalRate          window.Average // requests a second
	pressure             float64        // from 0 to 1
	idleTimeout          time.Duration  // connections idle for longer are closed; 0: the longest
	callerTimeoutRatio   window.Average // share of the deadline after which callers cancel

	// Graceful shutdown.
	drainStartedAt time.Duration
	stopAt         time.Duration // 0 until the notice to leave

	// What was logged last.
	loggedOverload       bool
	rejectedBy           [rejectionReasonCount]int // since the overload began
	loggedSlowCalls      bool
	slowCallsConfirmedAt time.Duration // when calls were last as logged
}

// rejectionReason is the rule that rejected a request.
type rejectionReason int

const (
	reasonConcurrencyLimit rejectionReason = iota // the ordinary path
	reasonGuard                                   // memory, keys, drain, more in hand than the server survives
	reasonForecast                                // it can't make its objective
	rejectionReasonCount                          // how many there are
)

// requestState is where a request stands on its way. It begins queued and ends finished.
type requestState uint8

const (
	queued       requestState = iota
	running                   // on the cores, or waiting for disk
	preempting                // running, asked to stop
	paused                    // stopped, with its progress and memory
	awaitingCall              // stands at a call that has not been made
	calling                   // its call is out
	joined                    // waits for the request it duplicates
	finished
)

// places are the states as pools are told of them.
var placeOfState = [finished + 1]Place{
	queued: PlaceWaiting, running: PlaceOnCores, preempting: PlaceOnCores, paused: PlaceAway,
	awaitingCall: PlaceAway, calling: PlaceAway, joined: PlaceAway, finished: PlaceOver,
}

// class is a class with its statistics, which a class of other settings under the same name shares.
type class struct {
	Class
	*classStats
}

type classStats struct {
	completions               *window.Rolling // response times, in seconds
	inFlight                  int
	avgInFlight               window.Average
	meanWork                  float64 // seconds, of its requests so far
	requestedWork, servedWork float64 // seconds, all and that served in time, faded
	goalWeight                float64 // what a unit of its work adds to the goal
	typicalCallWait           float64 // seconds that calls of its requests are out
}

// classMeanDivisor: the mean work and call wait of a class move by one in so many parts of the distance to
// each completed request's own, so that ten requests show a change.
const classMeanDivisor = 10

// request is the record of one request.
type request struct {
	Request
	seq      int // in the order of arrival
	class    *class
	state    requestState
	answered bool
	started  bool // it may have run
	inFlight bool // counted in flight for the ordinary path
	expired  bool // its time ran out
	// completed: its run, or the one it joined, came to its end.
	completed bool

	arrivedAt    time.Duration // when it was read
	receivedAt   time.Duration // when it reached the machine
	objective    time.Duration // answered by then, it earns its full weight
	deadline     time.Duration // when its client stops waiting
	tenantWeight float64       // part of its class's weight: less beyond the tenant's quota
	expectedWork float64       // seconds on a standard core

	stateSince       time.Duration
	coreClockAtState time.Duration // core clock when the state began
	coreTime         time.Duration // on the cores, before this state
	callWait         time.Duration // time that its calls were out
	callDeadline     time.Duration // when an outstanding call is given up
	nextCallAt       time.Duration // when its next call may be made
	backoff          time.Duration // before the call is made again
}

// register makes the record of a request that arrived. It is queued, though not yet admitted.
func (s *Shedder) register(incoming Request, c *class) *request {
	s.lastSeq++
	s.arrivals++
	r := &request{
		Request: incoming, seq: s.lastSeq, class: c, arrivedAt: s.now, stateSince: s.now, backoff: firstCallBackoff,
		receivedAt: s.now - incoming.Unread, expectedWork: incoming.ExpectedWork.Seconds(),
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

// setState changes the state of a request: the one place that accounts memory, runs and calls.
func (s *Shedder) setState(r *request, to requestState) {
	if r.state == running || r.state == preempting {
		r.coreTime = s.coreTimeSoFar(r)
	}
	if r.state == calling {
		callTime := s.now - r.stateSince
		r.callWait += callTime
		if to != running { // it may have been given up, and linger
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

// complete notes that a request's run, or the one it joined, came to its end, which answers it.
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

// release forgets a request that is over.
func (s *Shedder) release(r *request) {
	if r.state == queued && !r.started {
		s.forgetKey(r) // it was cancelled and never ran
	}
	wasJoined := r.state == joined
	s.setState(r, finished)
	delete(s.requestByID, r.ID)
	s.requests = slices.DeleteFunc(s.requests, func(other *request) bool { return other == r })
	s.recordCompletion(r)
	s.recordWork(r, wasJoined)
}

// recordWork counts the work of a request that is over towards the slowdown and, where its own run came to its
// end, towards the mean of its class.
func (s *Shedder) recordWork(r *request, wasJoined bool) {
	switch {
	case !r.completed:
		s.completedWork += min(r.expectedWork, r.coreTime.Seconds()/s.baselineSlowdown)
	case !wasJoined:
		s.completedWork += r.expectedWork
		r.class.typicalCallWait += (r.callWait.Seconds() - r.class.typicalCallWait) / classMeanDivisor
		work := r.expectedWork
		if r.ExpectedWork <= 0 { // not told: what it took
			work = r.coreTime.Seconds()
		}
		r.class.meanWork += (work - r.class.meanWork) / classMeanDivisor
	}
}

// requestMemoryKB is the memory that a request takes in its state.
func (s *Shedder) requestMemoryKB(r *request) float64 {
	switch r.state {
	case queued, joined:
		return r.QueuedKB
	case finished:
		return 0
	}
	return r.QueuedKB * s.settings.RunFactor
}

// notifyPools tells the pools where a request is.
func (s *Shedder) notifyPools(r *request) {
	if s.pools != nil {
		s.pools.Moved(s.now, r.ID, r.class.Name, placeOfState[r.state])
	}
}

// runsOnCores is the number of runs on the cores, or waiting for disk.
func (s *Shedder) runsOnCores() int { return s.stateCount[running] + s.stateCount[preempting] }

// startedRuns is the number of all runs that have not ended.
func (s *Shedder) startedRuns() int {
	return s.runsOnCores() + s.stateCount[paused] + s.stateCount[awaitingCall] + s.stateCount[calling]
}
