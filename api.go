// Package silverpath implements an overload controller for one server of a fleet. The controller decides
// which requests the server admits, runs and rejects, sets the timeout of outgoing calls, and sets the
// signals that callers receive.
//
// A server creates a [Shedder] with [New], reports events by calling its methods, and carries out the
// actions that the Shedder requests from its [Host], in the order requested. Each event carries its time,
// so a Shedder reads no clock and starts no goroutines. An instance is not safe for concurrent use: a host
// with several goroutines must serialize all calls with one lock. Instances share no state.
//
// Times are durations since an instant chosen by the host, and never decrease. Work is measured in time on
// a core of standard speed. Memory is in kilobytes.
//
// This file declares the types of the public interface. shedder.go has the methods for events and lists the
// file of each rule.
package silverpath

import "time"

// Effect defines how often a request of a class may run.
type Effect int

// Values of Effect.
const (
	Safe          Effect = iota // may run any number of times
	Idempotent                  // may be sent again with its key within IdempotencyWindow; must run only once
	NonIdempotent               // must run at most once; must not be sent again after it may have run
)

// Class describes a class of requests. Its weights are priority weights: the value of an answer to the
// goal.
type Class struct {
	Name              string
	Objective         time.Duration // latency objective: answered this soon after the first attempt, full Weight
	ObjectiveStretch  float64       // Objective grows by this multiple of the expected work, up to Deadline
	Deadline          time.Duration // total time that a client waits
	Weight            float64
	LateWeight        float64 // share of Weight earned between Objective and Deadline
	Effect            Effect
	IdempotencyWindow time.Duration // for Idempotent: how long after arrival it may be resent
	CallsDependency   bool          // requests of the class may call the dependency
	DegradedWeight    float64       // share of Weight earned without the call; 0: never skip it
}

// Tenant describes a customer and its quota over the whole fleet.
type Tenant struct {
	Name string
	Rate float64 // quota, in requests per second
}

// Preemption defines how the host can stop a running request.
type Preemption int

// Values of Preemption.
const (
	PreemptNone  Preemption = iota // running requests cannot be stopped
	PreemptDrop                    // a stopped request loses its progress
	PreemptPause                   // a stopped request keeps its progress and memory until it is resumed
)

// Signal is the kind of backpressure value that callers follow. Host.Signal sets the value.
type Signal int

// Values of Signal.
const (
	SignalNone   Signal = iota
	SignalLevel         // callers send no request with a Rank below the value
	SignalCredit        // each caller keeps at most this number of requests outstanding at this server
	SignalWeight        // probability that a caller does not skip this server
)

// Dependency is the kind of service that a server calls.
type Dependency int

// Values of Dependency.
const (
	DependencyNone   Dependency = iota
	DependencyShared            // one service that all servers call
	DependencyTier              // another tier of servers that run this module
)

// Settings describe the server, its deployment and its goal. [New] and [Shedder.Reconfigure] return an
// error that names an invalid field; for some fields the error uses an older name (settings.go).
type Settings struct {
	Cores          int
	MemoryKB       float64
	RunFactor      float64       // memory of a running request, as a multiple of its memory while queued
	KeyKB          float64       // memory of one remembered request
	Cold           bool          // the last start of the server was cold
	ColdSpeed      float64       // minimum speed after a cold start, as a share of full speed
	WarmupTime     time.Duration // time from a cold start to full speed; the speed rises linearly
	MaxRunsPerCore float64       // concurrent runs per core that a warm server survives
	RunsWindow     time.Duration // window over which concurrent runs are averaged
	DrainGrace     time.Duration // requests that arrive later than this after Drain must not run

	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // weight of requests over a tenant's quota, as a share of their class's weight
	WeightByWork    bool    // weight counts per unit of work instead of per request
	ClassMix        float64 // share of the goal that depends on the worst-served class, from 0 to 1

	Servers       int           // number of servers in this tier
	Callers       int           // number of callers of this tier
	Tier          int           // 0 for the tier that receives client requests
	FreshFor      time.Duration // how long the answer to a read may be used for other requests
	Preemption    Preemption
	Signal        Signal
	RetryAfter    bool          // Retry-After advice reaches callers
	MaxRetryAfter time.Duration // longest Retry-After that callers follow
	Dependency    Dependency
	CallQuota     float64       // for DependencyShared: mean concurrent calls allowed to this server
	CallWindow    time.Duration // window over which the number of calls is averaged
	CallLinger    time.Duration // an abandoned call still counts against CallQuota for this long
	Readiness     bool          // the server list that callers use reflects Host.Health
	KeepAlive     time.Duration // callers close connections idle for this long
	MarksRetries  bool          // callers mark retries
	Seed          int64
}

// Request describes one attempt of a request that has just been read.
type Request struct {
	ID           string
	Class        string
	Tenant       string
	Key          string // object of the request, if known
	DuplicateOf  string // ID of the remembered request that this one duplicates
	Caller       int
	QueuedKB     float64       // memory while the request is queued
	ReadDelay    time.Duration // time between receipt by the machine and reading
	Deadline     time.Duration // time at which the caller stops waiting; 0 if unknown
	ExpectedWork time.Duration // 0 if unknown
	Retry        bool          // marked as a retry or a hedge
	Rank         float64       // priority among all requests, from 0 to below 1
}

// Outcome is the result of a run or of a call.
type Outcome int

// Values of Outcome.
const (
	OK           Outcome = iota
	Failed               // the run or call failed and may have had its effect
	Overloaded           // the dependency rejected the call without processing it
	TimedOut             // the call was abandoned at its timeout and may have had its effect
	Unreachable          // no connection to the dependency could be made
	Disconnected         // the connection broke during the call, which may have had its effect
	Canceled             // the run was preempted, or its request was already answered
	NotStarted           // the run never started because its request was already over
)

// NeverRan reports whether the outcome proves that no effect occurred.
func (o Outcome) NeverRan() bool { return o == Overloaded || o == Unreachable || o == NotStarted }

// Gauges are readings of the server's load, taken when a timer fires.
type Gauges struct {
	CPU           float64 // recent share of busy cores
	RunnableTasks float64 // runnable tasks: those on a core and those waiting for one
	Memory        float64 // share of memory in use
	Connections   float64
}

// Place is the location of a request as reported to Pools.
type Place int

// Values of Place.
const (
	PlaceFinished Place = iota // finished
	PlaceQueued                // queued
	PlaceOnCores               // running on the cores, or waiting for disk
	PlaceOffCores              // waiting for a call or for the request that it duplicates, or paused
)

// Pools are an optional guard in addition to the module's own: bulkheads that limit the runs of each class
// on the cores and decide which class yields when memory is short. See [Shedder.UsePools]. A Shedder calls
// the methods while it handles an event, so they must not call back into it.
type Pools interface {
	// Moved reports the new place of a request.
	Moved(now time.Duration, id, class string, to Place)
	// Tick is called at each Shedder.Tick, with the module's own limit of runs and the gauges.
	Tick(now time.Duration, runLimit float64, g Gauges)
	// HasCapacity reports whether one more run of the class may start.
	HasCapacity(now time.Duration, class string) bool
	// Admits reports whether memory allows one more request of the class to be queued.
	Admits(class string) bool
	// Concurrency returns the number of concurrent runs available to the class.
	Concurrency(class string) float64
	// Queue returns the name of the queue in which requests of the class wait.
	Queue(class string) string
}

// Host carries out the actions of a Shedder. Its methods must not call back into the Shedder.
type Host interface {
	// Run starts a queued request or resumes a paused one. The host reports the end with Shedder.RunEnded.
	Run(id string)
	// Reject answers that the request never ran and advises the caller to wait for after before a retry (0: no
	// advice). If final is set, the caller is asked not to try another server.
	Reject(id string, after time.Duration, final bool)
	// Fail answers with a failure, which does not state whether the request ran.
	Fail(id string)
	// Join answers with the result of the request that this one duplicates. The host reports the end with
	// Shedder.RunEnded.
	Join(id string)
	// Stop stops a running request. The host reports the end with Shedder.RunEnded and Canceled.
	Stop(id string)
	// Call makes the call that a request needs and abandons it after timeout. The host reports the end with
	// Shedder.CallEnded.
	Call(id string, timeout time.Duration)
	// SkipCall lets a request continue without its call.
	SkipCall(id string)
	// RememberKey remembers a request for d, so that its duplicates name it in DuplicateOf; ForgetKey forgets
	// it.
	RememberKey(id string, d time.Duration)
	ForgetKey(id string)
	// Health sets the result that health checks get without running a request.
	Health(good bool)
	// Signal sets the backpressure value that is sent with answers.
	Signal(value float64)
	// CloseIdle closes connections that are idle for this long; 0 leaves closing to the callers.
	CloseIdle(after time.Duration)
	// Wake requests one call of Shedder.Tick after this delay.
	Wake(after time.Duration)
	// Log writes a line to the log for operators.
	Log(text string)
}
