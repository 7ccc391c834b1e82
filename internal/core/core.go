// Package core is the transport-independent part of the service. It guards the decision module with one lock, implements its Host,
// and takes every request from arrival to its one answer. Fronts pass requests to Core.Serve and send the answers. A Runner
// executes requests, and a Caller makes their dependency calls.
//
// Each request is handled on the front's goroutine that called Serve, until the request has no work left. Whatever happens to a
// request is an event in its queue: a decision of the module, the end of its run, its deadline, a disconnecting caller. The
// goroutine processes the events in order and waits for the network and the disk without holding the lock.
//
//	request.go      the life of one request, from Serve to its answer
//	arrival.go      limits that apply on arrival, before the module is asked
//	task.go         the record of a request in progress, and its events
//	idempotency.go  the key table: attempts of one request share one execution
//	retention.go    how long keys are kept while the settings change
//	persistence.go  waiting for the disk, if runs are persisted
//	peer.go         the other process during a hot restart
//	peerkeys.go     the other process's runs in the key table
//	peerclaim.go    claims: which of the two processes owns a key
//	peernotify.go   notices of runs to the other process
//	host.go         the actions of the module
//	pools.go        pools, and the gates that reject floods unread
//	lifecycle.go    the phases of the service
//	rules.go        fencing against outdated routing documents
//	slowstart.go    quotas of routers while the interpreter is cold
//	settings.go     settings and their reload
//	status.go       the status document
//	view.go         the state that is readable without the lock
package core

import (
	"fmt"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"silverpath"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lifecycle"
)

const (
	// gaugeTimeout is how long a tick waits for fresh gauges before it uses the previous ones: most of the interval between ticks.
	gaugeTimeout = 15 * time.Millisecond
	// answerMargin is how long before its deadline the core answers a request that the module has not answered. It leaves time for
	// the answer to reach the caller. It is short enough that the module, which answers earlier, comes first unless it is delayed.
	answerMargin = 20 * time.Millisecond
	// windowSlack extends every idempotency window. The time limits on sockets are extended by as much, so an attempt may arrive
	// that much later than its sender intended.
	windowSlack = 50 * time.Millisecond
	// requestKB is the memory of a request in progress, in kilobytes: body, record and goroutine.
	requestKB = 24
	// entryBytes is the memory of a key table entry without its result.
	entryBytes = 512
	// keyMemoryDivisor limits keys and results to 1/keyMemoryDivisor of the process's memory. Requests in progress may use half.
	keyMemoryDivisor = 8
	// minTasks and minTasksShared are lower bounds of the limit on requests in progress. Fewer could not keep an interpreter busy,
	// however small the process's memory is.
	minTasks, minTasksShared = 64, 32
)

// Config configures a Core. If Log is nil, the standard logger is used. If Stats is nil, the counters are not exported.
type Config struct {
	Name     string
	Settings silverpath.Settings
	MemoryMB float64           // the memory limit of this process
	Status   bool              // fronts answer status requests
	Pools    *admission.Config // nil disables pools
	Cell     bool              // the service is part of a cell, behind routers
	Pair     *PairConfig       // nil: the service never hands over to another process
	Log      *log.Logger
	Stats    *metrics.Counters
}

// Core coordinates the lifecycle, the module and all requests in progress. Its methods are safe for concurrent use.
type Core struct {
	// Set before the first request and never modified afterwards.
	name             string
	log              *log.Logger
	stats            *metrics.Counters
	lockWait         *metrics.Timing // time spent waiting for the lock
	decideTime       *metrics.Timing // time of the module's decisions, under the lock
	startedAt        time.Time
	runner           Runner
	caller           Caller                   // nil if the service has no dependencies
	store            Store                    // nil: runs are not persisted
	forwards         bool                     // the runner forwards requests; another router may have forwarded an attempt of the same request
	cell             bool                     // the service is part of a cell, behind routers
	servesStatus     bool                     // fronts answer status requests
	statusParts      map[string]func() []byte // further parts of the status, by name; each returns JSON
	unknownRunsUntil int64                    // see SetUnknownRunsUntil

	// Read without the lock, so that fronts and health checks never wait for a decision of the module.
	published    atomic.Pointer[View]
	settings     atomic.Pointer[silverpath.Settings]               // current settings; replaced as a whole, never modified
	gates        atomic.Pointer[arrivalGates]                      // of the classes that may be rejected unread; nil without pools
	blockRule    atomic.Pointer[func(class, tenant string) string] // see SetBlockRule; nil: no block rule
	waitsForPeer atomic.Bool                                       // the runner is up, but the other process's runs are not known yet
	lifecycle    lifecycleState                                    // has its own lock
	slowStart    slowStart                                         // has its own lock
	idle         chan struct{}                                     // closed when the service drains and every request is answered

	mu sync.Mutex // guards the fields below

	module      *silverpath.Shedder
	actions     []func() // requested by the module, executed in order once it has returned
	gauges      silverpath.Gauges
	tickPending bool // a tick waits for its gauges
	runnerUp    bool

	tasks          map[string]*task // requests in progress, by id
	maxTasks       int
	pendingAnswers int
	drainStartedAt time.Time

	keys          keyTable
	lastEviction  time.Time                  // when expired keys were evicted last
	observedRules configstore.VersionTracker // tracks the routing documents that routers have named
	pair          *pair                      // nil without Config.Pair

	view           View       // published by publish
	pools          *poolGuard // nil without pools
	poolsUpdatedAt time.Duration
	loggedLimit    float64 // the run limit of the pools that was logged last
	limitLoggedAt  time.Duration
}

// New returns a Core in the phase Starting. Attach must be called before the first request. New returns an error if the pools are
// invalid.
func New(cfg Config) (*Core, error) {
	c := &Core{
		name: cfg.Name, log: cfg.Log, stats: cfg.Stats, startedAt: time.Now(),
		cell: cfg.Cell, servesStatus: cfg.Status,
		idle: make(chan struct{}), tasks: map[string]*task{}, view: View{Health: true},
		maxTasks: max(minTasks, int(cfg.MemoryMB*1024/2/requestKB)),
		keys:     newKeyTable(int(cfg.MemoryMB * (1 << 20) / keyMemoryDivisor)),
	}
	settings := supportedSettings(cfg.Settings)
	c.settings.Store(&settings)
	c.keys.setTerms(classTerms(settings.Classes))
	if c.stats == nil {
		c.stats = &metrics.Counters{}
	}
	if c.log == nil {
		c.log = log.Default()
	}
	c.lifecycle.log = c.log
	c.lockWait, c.decideTime = c.stats.Timing("lock_wait"), c.stats.Timing("decide")
	if cfg.Pools != nil {
		var err error
		if c.pools, err = newPoolGuard(*cfg.Pools, cfg.MemoryMB); err != nil {
			return nil, err
		}
		c.loggedLimit = 1
		c.setGates(settings)
	}
	if cfg.Pair != nil {
		c.pair = newPair(c, *cfg.Pair)
	}
	c.publish()
	return c, nil
}

// Attach sets the runner and the caller and starts the module. The caller is nil if the service has no dependencies. The error
// names the invalid field of the settings.
func (c *Core) Attach(r Runner, caller Caller) error {
	c.runner, c.caller = r, caller
	_, c.forwards = r.(Forwarder)
	c.mu.Lock()
	defer c.mu.Unlock()
	m, err := silverpath.New(c.clock(), c.plannedSettings(*c.settings.Load()), (*host)(c))
	if err != nil {
		return fmt.Errorf("failed to start the decision module: %w", err)
	}
	if c.pools != nil {
		m.UsePools(c.pools)
	}
	c.module = m
	c.performActions()
	return nil
}

// clock returns the module's time. It is monotonic, so steps of the wall clock do not affect timers.
func (c *Core) clock() time.Duration { return time.Since(c.startedAt) + time.Hour }

// decide reports an event to the module and then executes the actions that it requested. It is called under the lock. No action
// blocks or writes to the network.
func (c *Core) decide(report func(m *silverpath.Shedder, now time.Duration)) {
	startedAt := time.Now()
	report(c.module, c.clock())
	c.performActions()
	c.decideTime.Record(time.Since(startedAt))
}

// performActions executes the module's requested actions in order. An action may call the module and thereby add actions.
func (c *Core) performActions() {
	for len(c.actions) > 0 {
		action := c.actions[0]
		c.actions = c.actions[1:]
		action()
	}
	c.actions = nil
	c.publish()
}

// Started is called by the runner before RunnerReady. It reports how long ago the interpreter started and whether it was cold
// then.
func (c *Core) Started(cold bool, uptime time.Duration) {
	c.slowStart.begin(cold, time.Now().Add(-uptime), c.settings.Load().Callers)
	c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.RunnerStarted(now, uptime, cold) })
}

// RunnerReady is called by the runner once it can take requests.
func (c *Core) RunnerReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runnerUp = true
	c.serveIfReady()
}

// Drain starts the graceful shutdown of a process that ends after stopAfter. Further calls have no effect.
func (c *Core) Drain(stopAfter time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle.current().ShuttingDown() {
		return
	}
	c.lifecycle.apply(lifecycle.Shutdown)
	c.drainStartedAt = time.Now()
	if c.pair != nil {
		c.pair.coordinator.SetReady(false)
		c.applyPairEffects()
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Drain(now, now+stopAfter) })
	c.closeIfIdle()
}

// Idle returns a channel that is closed once the service drains and every request is answered. Requests may still arrive until
// Stop.
func (c *Core) Idle() <-chan struct{} { return c.idle }

// Stop ends the draining phase; requests that arrive later are rejected. It reports whether every request was answered.
func (c *Core) Stop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.apply(lifecycle.Drained)
	c.publish()
	return c.pendingAnswers == 0
}

// AnswerAll answers all requests that have no answer at the end of the process, even if the module is delayed. Likewise,
// answerAtDeadline answers one request at its deadline. A request is rejected only if it certainly never ran, else it fails.
func (c *Core) AnswerAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.tasks {
		if t.response != responsePending {
			continue
		}
		a := Answer{Outcome: Failed}
		forwarded := c.forwards && t.idempotent() // it may have run for an attempt that came through another router
		if !t.started && t.duplicateOf == nil && !forwarded {
			a = Answer{Outcome: Rejected, RetryAfter: c.settings.Load().MaxRetryAfter}
		}
		c.stats.Inc("backstop")
		c.settle(t, a)
		c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
	}
}

// PendingAnswers returns the number of requests without an answer.
func (c *Core) PendingAnswers() int { return c.published.Load().PendingAnswers }

// closeIfIdle closes idle once the service drains and the last request is answered. It is called under the lock.
func (c *Core) closeIfIdle() {
	if c.lifecycle.current().ShuttingDown() && c.pendingAnswers == 0 {
		select {
		case <-c.idle:
		default:
			close(c.idle)
		}
	}
}

// Health returns the health that health checks report.
func (c *Core) Health() bool { return c.published.Load().Health && c.lifecycle.current().Healthy() }

// Signal returns the load signal that is sent with answers, and whether the module has set one.
func (c *Core) Signal() (float64, bool) {
	v := c.published.Load()
	return v.Signal, v.SignalSet
}

// IdleAfter returns how long a connection may be idle before it is closed; 0 means that callers close idle connections.
func (c *Core) IdleAfter() time.Duration { return c.published.Load().IdleAfter }

// StartStamp returns when the service started, in Unix milliseconds, and whether routers receive it, which is the case in a cell.
// If runs are persisted, it returns the time since which all runs are known. That time does not change at a restart, so routers do not
// treat the keys of this server as lost.
func (c *Core) StartStamp() (int64, bool) {
	if c.cell && c.store != nil {
		return c.store.CompleteSince(), true
	}
	return c.startedAt.UnixMilli(), c.cell
}

// AddStatus adds a named part to the status. The function returns JSON. AddStatus is called before the first request.
func (c *Core) AddStatus(name string, part func() []byte) {
	if c.statusParts == nil {
		c.statusParts = map[string]func() []byte{}
	}
	c.statusParts[name] = part
}

// Class returns the settings of a class, and whether the class exists.
func (c *Core) Class(name string) (silverpath.Class, bool) {
	for _, k := range c.settings.Load().Classes {
		if k.Name == name {
			return k, true
		}
	}
	return silverpath.Class{}, false
}

// Classes returns the current classes.
func (c *Core) Classes() []silverpath.Class { return c.settings.Load().Classes }

// MaxDeadline returns the longest deadline of any class.
func (c *Core) MaxDeadline() (longest time.Duration) {
	for _, k := range c.settings.Load().Classes {
		longest = max(longest, k.Deadline)
	}
	return longest
}

// RetryAfter returns the Retry-After of requests that the core rejects without asking the module.
func (c *Core) RetryAfter() time.Duration { return c.settings.Load().MaxRetryAfter }

// probeGauges asks the runner for fresh gauges. If none arrive within gaugeTimeout, the module ticks with the previous ones.
func (c *Core) probeGauges() {
	c.mu.Lock()
	c.tickPending = true
	c.mu.Unlock()
	time.AfterFunc(gaugeTimeout, c.tick)
	c.runner.Probe()
}

// Gauges is called by the runner with its readings, in response to Runner.Probe.
func (c *Core) Gauges(g silverpath.Gauges) {
	c.mu.Lock()
	c.gauges = g
	c.mu.Unlock()
	c.tick()
}

// tick ticks the module, once for each Wake that it requested.
func (c *Core) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tickPending || c.lifecycle.current() == lifecycle.Stopped {
		return
	}
	c.tickPending = false
	if now := time.Now(); now.Sub(c.lastEviction) >= time.Second {
		c.lastEviction = now
		c.keys.evictExpired(now)
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Tick(now, c.gauges) })
	c.reportUnread()
	c.updatePools()
}
