// Package core is the service without a wire. It owns the decision module behind one lock, is its Host, and leads every request
// from its reading to its one answer. Fronts bring requests by Core.Serve and carry answers away; a Runner does the work and a
// Caller makes the calls below.
//
// Each request has a goroutine, its front's, which Serve keeps until nothing of the request is left to do. Whatever happens to
// a request (the module's choice, the end of its run, its deadline, its caller's leaving) is an event in its queue, so that
// network and disk are waited for without the lock.
//
//	request.go      one request's life, from Serve to its answer
//	arrival.go      what is answered on arrival without the module
//	task.go         the record of a request in hand, and its events
//	idempotency.go  keys: attempts of one request share one execution
//	persistence.go  where a request waits for the disk, if runs are kept over a restart
//	peer.go         the other process of a hot restart
//	host.go         the module's actions
//	pools.go        pools, and the gates that turn floods away unread
//	lifecycle.go    phases of the service
//	rules.go        fencing by the routers' rules
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
	// gaugeTimeout is how long a tick waits for fresh gauges before it goes on with the last ones: most of a tick's interval.
	gaugeTimeout = 15 * time.Millisecond
	// answerMargin is how long before a request's deadline the core answers what the module has not: long enough for the
	// answer to leave, and short enough that the module, which answers earlier, comes first unless it is held up.
	answerMargin = 20 * time.Millisecond
	// windowSlack is how much longer an idempotency window is kept than the settings say: time limits on sockets are extended
	// by as much, so an attempt may arrive that much later than it was meant to.
	windowSlack = 50 * time.Millisecond
	// readDelay is how long after its arrival an attempt may still be read. A key is kept that long past the last moment at
	// which an attempt of it may come.
	readDelay = 2 * time.Second
	// requestKB is what a request in hand costs the process, in kilobytes: body, record and goroutine.
	requestKB = 24
	// entryBytes is what a key costs besides its result.
	entryBytes = 512
	// keyMemoryDivisor: keys and results take at most one part in so many of the memory. The requests in hand take half.
	keyMemoryDivisor = 8
	// minTasks and minTasksShared bound the requests in hand from below, also in the smallest process: fewer would keep no
	// interpreter busy.
	minTasks, minTasksShared = 64, 32
)

// Config sets up a Core. Log and Stats may be nil: the log is the standard one then, and nobody reads the counters.
type Config struct {
	Name     string
	Settings silverpath.Settings
	MemoryMB float64           // the process's own limit
	Status   bool              // fronts answer requests for the state of the service
	Pools    *admission.Config // nil: none
	Cell     bool              // serves in a cell, behind routers
	Pair     *PairConfig       // nil: no other process ever takes over from this one
	Log      *log.Logger
	Stats    *metrics.Counters
}

// Core is the service's one object: its phase, the module and all requests in hand. Its methods may be called by any goroutine.
type Core struct {
	// Set before the first request and never changed.
	name             string
	log              *log.Logger
	stats            *metrics.Counters
	lockWait         *metrics.Timing // waits for the lock
	decideTime       *metrics.Timing // the module's decisions, under the lock
	startedAt        time.Time
	runner           Runner
	caller           Caller                   // nil: nothing lies below
	store            Store                    // nil: runs are forgotten with the process
	forwards         bool                     // hands requests on: another router may have handed on an attempt of the same
	cell             bool                     // serves in a cell, behind routers
	servesStatus     bool                     // fronts answer requests for the state of the service
	statusParts      map[string]func() []byte // further parts of the status, JSON each
	unknownRunsUntil int64                    // see SetUnknownRunsUntil

	// Read without the lock, so that fronts and health checks never wait behind a decision.
	published    atomic.Pointer[View]
	settings     atomic.Pointer[silverpath.Settings]               // in force; never changed, only replaced
	gates        atomic.Pointer[gates]                             // of the classes that may be rejected unread; nil without pools
	blockRule    atomic.Pointer[func(class, tenant string) string] // see SetBlockRule; nil: nobody is asked
	waitsForPeer atomic.Bool                                       // the runner is up, and another process's runs are not known yet
	lifecycle    lifecycleState                                    // has a lock of its own
	slowStart    slowStart                                         // likewise
	idle         chan struct{}                                     // closed when draining and every request is answered

	mu sync.Mutex // holds all below

	module      *silverpath.Shedder
	actions     []func() // asked for by the module, carried out in order once it has returned
	gauges      silverpath.Gauges
	tickPending bool // a tick waits for its gauges
	runnerUp    bool

	tasks          map[string]*task // the requests in hand, by id
	maxTasks       int
	pendingAnswers int
	drainStartedAt time.Time

	keys          keyTable
	lastSweep     time.Time                  // of the keys that expired
	observedRules configstore.VersionTracker // that routers have named
	pair          *pair                      // nil: see Config.Pair

	view          View       // what publish makes others see
	pools         *poolGuard // nil: no pools
	poolsReadAt   time.Duration
	loggedLimit   float64 // of runs, as the pools have it
	limitLoggedAt time.Duration
}

// New returns a Core in the phase Starting. Attach gives it its runner before the first request. The error is of pools that can't
// be.
func New(cfg Config) (*Core, error) {
	c := &Core{
		name: cfg.Name, log: cfg.Log, stats: cfg.Stats, startedAt: time.Now(),
		cell: cfg.Cell, servesStatus: cfg.Status,
		idle: make(chan struct{}), tasks: map[string]*task{}, view: View{Health: true},
		maxTasks: max(minTasks, int(cfg.MemoryMB*1024/2/requestKB)),
		keys:     newKeyTable(int(cfg.MemoryMB * (1 << 20) / keyMemoryDivisor)),
	}
	set := supportedSettings(cfg.Settings)
	c.settings.Store(&set)
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
		c.setGates(set)
	}
	if cfg.Pair != nil {
		c.pair = newPair(c, *cfg.Pair)
	}
	c.publish()
	return c, nil
}

// Attach gives the core those who do the work and make the calls, and starts the module. The caller is nil where nothing lies
// below. The error names the field of settings that no server can have.
func (c *Core) Attach(r Runner, below Caller) error {
	c.runner, c.caller = r, below
	_, c.forwards = r.(Forwarder)
	c.mu.Lock()
	defer c.mu.Unlock()
	m, err := silverpath.New(c.clock(), c.plannedSettings(*c.settings.Load()), (*host)(c))
	if err != nil {
		return fmt.Errorf("starting the module: %w", err)
	}
	if c.pools != nil {
		m.UsePools(c.pools)
	}
	c.module = m
	c.performActions()
	return nil
}

// clock is the module's time. It is monotonic: a step of the system's clock moves no timer.
func (c *Core) clock() time.Duration { return time.Since(c.startedAt) + time.Hour }

// decide reports an event to the module and then carries out, in order, what it asked for. It is called under the lock, and no
// action blocks or writes to a network.
func (c *Core) decide(report func(m *silverpath.Shedder, now time.Duration)) {
	startedAt := time.Now()
	report(c.module, c.clock())
	c.performActions()
	c.decideTime.Record(time.Since(startedAt))
}

// performActions carries out what the module asked for, in order. An action may ask the module again.
func (c *Core) performActions() {
	for len(c.actions) > 0 {
		action := c.actions[0]
		c.actions = c.actions[1:]
		action()
	}
	c.actions = nil
	c.publish()
}

// Started is called by the runner, before RunnerReady, with how long ago that which does the work started and whether it was
// cold then.
func (c *Core) Started(cold bool, ago time.Duration) {
	c.slowStart.begin(cold, time.Now().Add(-ago), c.settings.Load().Callers)
	c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.Started(now, ago, cold) })
}

// RunnerReady is called by the runner once it can take requests.
func (c *Core) RunnerReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runnerUp = true
	c.serveIfReady()
}

// Drain is the notice to leave; the process ends after the given time. A second notice changes nothing.
func (c *Core) Drain(stop time.Duration) {
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
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Drain(now, now+stop) })
	c.closeIfIdle()
}

// Idle is closed once the service drains and every request is answered. More may still come: see Stop.
func (c *Core) Idle() <-chan struct{} { return c.idle }

// Stop ends the last phase: whatever still comes is rejected. It reports whether every request was answered.
func (c *Core) Stop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.apply(lifecycle.Drained)
	c.publish()
	return c.pendingAnswers == 0
}

// AnswerAll answers, at the end of the process, every request that has no answer yet, whatever holds the module up; at a
// request's deadline answerAtDeadline does the same. What never ran is rejected where that is certain.
func (c *Core) AnswerAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.tasks {
		if t.response != responsePending {
			continue
		}
		a := Answer{Outcome: Failed}
		handedOn := c.forwards && t.idempotent() // it may have run, by an attempt that came another way
		if !t.started && t.duplicateOf == nil && !handedOn {
			a = Answer{Outcome: Rejected, RetryAfter: c.settings.Load().MaxRetryAfter}
		}
		c.stats.Inc("backstop")
		c.settle(t, a)
		c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
	}
}

// PendingAnswers returns the number of requests that have not had their answer.
func (c *Core) PendingAnswers() int { return c.published.Load().PendingAnswers }

// closeIfIdle tells those that wait for the last answer. It is called under the lock.
func (c *Core) closeIfIdle() {
	if c.lifecycle.current().ShuttingDown() && c.pendingAnswers == 0 {
		select {
		case <-c.idle:
		default:
			close(c.idle)
		}
	}
}

// Health is what a health check is told.
func (c *Core) Health() bool { return c.published.Load().Health && c.lifecycle.current().Healthy() }

// Signal is the value that goes out with answers from now on, and whether there is one.
func (c *Core) Signal() (float64, bool) {
	v := c.published.Load()
	return v.Signal, v.SignalSet
}

// IdleAfter is how long a connection may carry nothing before it is closed; 0 leaves that to the callers.
func (c *Core) IdleAfter() time.Duration { return c.published.Load().IdleAfter }

// StartStamp is when the service started, in Unix milliseconds, and whether routers are told of it: where it serves in a cell.
// Where runs are kept over a restart, it is since when they are.
func (c *Core) StartStamp() (int64, bool) {
	if c.cell && c.store != nil {
		return c.store.CompleteSince(), true
	}
	return c.startedAt.UnixMilli(), c.cell
}

// AddStatus adds a part to the status; the function returns JSON. It is called before the first request.
func (c *Core) AddStatus(name string, part func() []byte) {
	if c.statusParts == nil {
		c.statusParts = map[string]func() []byte{}
	}
	c.statusParts[name] = part
}

// Class returns the settings of a class.
func (c *Core) Class(name string) (silverpath.Class, bool) {
	for _, k := range c.settings.Load().Classes {
		if k.Name == name {
			return k, true
		}
	}
	return silverpath.Class{}, false
}

// Classes are the classes in force.
func (c *Core) Classes() []silverpath.Class { return c.settings.Load().Classes }

// MaxDeadline is the longest time that a client waits, of any class.
func (c *Core) MaxDeadline() (longest time.Duration) {
	for _, k := range c.settings.Load().Classes {
		longest = max(longest, k.Deadline)
	}
	return longest
}

// RetryAfter is how long a caller is told to stay away where the core rejects without the module.
func (c *Core) RetryAfter() time.Duration { return c.settings.Load().MaxRetryAfter }

// wake asks for fresh gauges, and ticks with the last ones should none come.
func (c *Core) wake() {
	c.mu.Lock()
	c.tickPending = true
	c.mu.Unlock()
	time.AfterFunc(gaugeTimeout, c.tick)
	c.runner.Probe()
}

// Gauges is called by the runner with its readings, as the answer to Runner.Probe.
func (c *Core) Gauges(g silverpath.Gauges) {
	c.mu.Lock()
	c.gauges = g
	c.mu.Unlock()
	c.tick()
}

// tick calls the module's timer, once for each time that it asked for one.
func (c *Core) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.tickPending || c.lifecycle.current() == lifecycle.Stopped {
		return
	}
	c.tickPending = false
	if now := time.Now(); now.Sub(c.lastSweep) >= time.Second {
		c.lastSweep = now
		c.keys.evictExpired(now)
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Tick(now, c.gauges) })
	c.reportUnread()
	c.updatePools()
}
