// Package silverpath is an overload controller for one server of a fleet. It decides which requests the server
// admits, runs and rejects, how long an outgoing call may take, and what callers are told.
//
// A server creates one [Shedder] with [New], reports events to it by calling its methods, and carries out the
// actions that the Shedder asks of its [Host], in the order asked. Every event carries the time, so a Shedder
// reads no clock and has no goroutines. An instance is single-threaded: a host that has several goroutines
// must call it under one lock. Instances share nothing.
//
// Times are durations since an instant of the host's choice; they never go backwards. Work is time on a core of
// standard speed. Memory is in kilobytes.
//
// This file is the whole interface. shedder.go has the events and says which file has which rule.
package silverpath

import "time"

// Effect tells whether a request of a class may run more than once.
type Effect int

// Effects.
const (
	Safe          Effect = iota // may run any number of times
	Idempotent                  // may be sent again with its key within IdempotencyWindow, and must run once
	NonIdempotent               // must run at most once and is not sent again after it may have run
)

// Class describes one class of requests. Weights are priority weights: what an answer is worth to the goal.
type Class struct {
	Name              string
	Objective         time.Duration // latency objective: an answer within this of the first attempt earns the full Weight
	ObjectiveStretch  float64       // Objective grows by this multiple of the request's own work, up to Deadline
	Deadline          time.Duration // how long a client waits in all
	Weight            float64
	LateWeight        float64 // share of Weight earned between Objective and Deadline
	Effect            Effect
	IdempotencyWindow time.Duration // for Idempotent: how long after its arrival a request may come again
	CallsDependency   bool          // its requests may call the dependency
	DegradedWeight    float64       // share of Weight earned when a call is left out; 0 forbids it
}

// Tenant describes one customer and the rate within its quota, over the whole fleet.
type Tenant struct {
	Name string
	Rate float64 // requests a second
}

// Preemption tells how running work can be stopped.
type Preemption int

// Preemptions.
const (
	PreemptNone  Preemption = iota // not at all
	PreemptDrop                    // its progress is lost
	PreemptPause                   // it keeps its progress and memory until it is run again
)

// Signal is the kind of value that callers heed, set by Host.Signal.
type Signal int

// Signals.
const (
	SignalNone   Signal = iota
	SignalLevel         // callers send nothing of lower rank than the value
	SignalCredit        // callers keep no more than this number of requests outstanding here
	SignalWeight        // probability that a caller does not pass this server over
)

// Dependency is what lies below a server.
type Dependency int

// Dependencies.
const (
	DependencyNone   Dependency = iota
	DependencyShared            // one service that every server calls
	DependencyTier              // another tier of servers, which run this code
)

// Settings describe the server, its site and its goal. [New] and [Shedder.Reconfigure] name the field that no
// server can have, some by an older name (settings.go).
type Settings struct {
	Cores          int
	MemoryKB       float64
	RunFactor      float64       // memory of a running request, as a multiple of its memory while queued
	KeyKB          float64       // memory of one remembered request
	Cold           bool          // the server has only recently been started
	ColdSpeed      float64       // share of its full speed that a cold server has at least
	WarmupTime     time.Duration // from a cold start to full speed, evenly
	MaxRunsPerCore float64       // simultaneous runs on the cores, for each core, that a warm server survives
	RunsWindow     time.Duration // the time over which they are averaged
	DrainGrace     time.Duration // what arrives later than this after Drain must not run

	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // weight of traffic beyond a tenant's quota, as a share of the usual
	WeightByWork    bool    // weight is counted for each unit of work, not for each request
	ClassMix        float64 // part of the goal that the worst-served class has, from 0 to 1

	Servers       int           // servers of this tier
	Callers       int           // callers of this tier
	Tier          int           // 0 where clients' requests enter
	FreshFor      time.Duration // how long the answer to a read may serve others
	Preemption    Preemption
	Signal        Signal
	RetryAfter    bool          // the advice to stay away reaches callers
	MaxRetryAfter time.Duration // the longest that is heeded
	Dependency    Dependency
	CallQuota     float64       // for DependencyShared: mean number of calls in its hands that this server may have
	CallWindow    time.Duration // the time over which they are averaged
	CallLinger    time.Duration // a call given up stays in the dependency's hands this long
	Readiness     bool          // the list that callers follow reflects Host.Health
	KeepAlive     time.Duration // callers close idle connections after this
	MarksRetries  bool          // callers mark retries
	Seed          int64
}

// Request is one attempt of a request, just read.
type Request struct {
	ID           string
	Class        string
	Tenant       string
	Key          string // its subject, where told
	DuplicateOf  string // the remembered request that this one duplicates
	Caller       int
	QueuedKB     float64       // memory while it is queued
	Unread       time.Duration // since it reached the machine
	Deadline     time.Duration // time at which its caller stops waiting; 0 when not told
	ExpectedWork time.Duration // 0 when not told
	Retry        bool          // marked as a retry or a hedge
	Rank         float64       // its priority among all, from 0 to under 1
}

// Outcome is how a run or a call ended.
type Outcome int

// Outcomes.
const (
	OK           Outcome = iota
	Failed               // it failed, and may have had its effect
	Overloaded           // the call was rejected unseen
	TimedOut             // the call was given up and may have had its effect
	Unreachable          // the dependency could not be contacted
	Disconnected         // the call broke off and may have had its effect
	Canceled             // the run was preempted, or its answer had been given
	NotStarted           // nothing was started: the request was over
)

// NeverRan reports whether the outcome proves that there was no effect.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == Unreachable || o == NotStarted }

// Gauges are readings of the server, taken when a timer fires.
type Gauges struct {
	CPU         float64 // share of the cores busy of late
	OnCores     float64 // all tasks that want a core now
	Memory      float64 // share of the memory in use
	Connections float64
}

// Place is where a request is, as Pools are told.
type Place int

// Places.
const (
	PlaceOver    Place = iota // nowhere any more
	PlaceWaiting              // queued
	PlaceOnCores              // on the cores, or waiting for disk
	PlaceAway                 // its run waits for a call, or is paused
)

// Pools are one more guard beside the module's own, bulkheads between classes: they know how many runs there may
// be on the cores and whose they are, and what gives way where memory is short. See [Shedder.UsePools]. They are
// called from within the events of a Shedder and must not call back into it.
type Pools interface {
	// Moved tells where a request has come to be.
	Moved(now time.Duration, id, class string, to Place)
	// Tick gives, at each Shedder.Tick, the module's own limit of runs and the gauges.
	Tick(now time.Duration, runLimit float64, g Gauges)
	// HasCapacity reports whether one more run of the class may start.
	HasCapacity(now time.Duration, class string) bool
	// Admits reports whether memory lets one more request of the class wait.
	Admits(class string) bool
	// Concurrency is the number of runs at once that the class can count on.
	Concurrency(class string) float64
	// Queue names the queue in which the class waits.
	Queue(class string) string
}

// Host carries out the actions of a Shedder. It must not call back into the Shedder from them.
type Host interface {
	// Run starts a queued request, or resumes a paused one. It ends with Shedder.RunEnded.
	Run(id string)
	// Reject answers that the request never ran, with advice to stay away for after (0: none). Final asks the caller
	// not to try elsewhere.
	Reject(id string, after time.Duration, final bool)
	// Fail answers with a failure, which promises nothing.
	Fail(id string)
	// Join answers with the result of the request that this one duplicates. It ends with Shedder.RunEnded.
	Join(id string)
	// Stop stops running work. It ends with Shedder.RunEnded and Canceled.
	Stop(id string)
	// Call makes the call that a request stands at and gives it up after the timeout. It ends with Shedder.CallEnded.
	Call(id string, timeout time.Duration)
	// SkipCall lets a request go on without its call.
	SkipCall(id string)
	// RememberKey remembers a request for d, so that duplicates of it name it; ForgetKey forgets it.
	RememberKey(id string, d time.Duration)
	ForgetKey(id string)
	// Health sets what health checks are told, without real work.
	Health(good bool)
	// Signal sets the value that goes out with answers.
	Signal(value float64)
	// CloseIdle closes connections idle for this long; 0 leaves that to the callers.
	CloseIdle(after time.Duration)
	// Wake asks for one Shedder.Tick after this long.
	Wake(after time.Duration)
	// Log writes a line for who is on call.
	Log(text string)
}
