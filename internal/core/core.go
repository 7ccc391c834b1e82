// Package core is the service without a wire. It owns the decision module behind one lock, is its Host, and
// leads every request from its reading to its one answer. Fronts bring requests and carry answers away; a
// Runner does the work and a Caller makes the calls below.
package core

import (
	"context"
	"fmt"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lifecycle"
)

// Outcome is what a request's one answer says.
type Outcome int

const (
	Served   Outcome = iota
	Rejected         // this try never ran
	Failed           // no assurance
	Expired          // failed, since its time was up
	Invalid          // failed, since it is no request that can be: nothing of it ran
)

func (o Outcome) String() string {
	return [...]string{"served", "refused", "failed", "expired", "invalid"}[o]
}

// Request is one try of a request as a front read it.
type Request struct {
	Front, ID            string // the id is new with every try
	Class, Tenant        string
	Key                  string // keyed classes: the same for all tries of one request
	Object               string // what a read is about, where told
	Caller               int
	MemoryKB, Rank       float64
	ReceivedAt, Deadline time.Time // when it reached the machine; until when its caller waits
	Body                 []byte
	// Known asks for a sheet only where it is known here: see Why.
	OnlyIfKnown bool
	// Rules names the document by which a router has sent a sheet here, and Source where that came from; both may be empty.
	RulesID, RulesSource string
}

// Answer is a final answer.
type Answer struct {
	Outcome    Outcome
	Body       []byte        // served: the result, unchanged
	RetryAfter time.Duration // refused: stay away for so long
	Final      bool          // refused: don't try elsewhere
	Reason     string        // refused: what a router has to know of it; empty where that is nothing

	persisted <-chan error // it may go once this is told; nil: at once
}

// What a router is told beside a refusal.
const (
	ReasonUnknown = "unknown" // a sheet that was asked for only if known is not, and will not be run here within its window
	ReasonMoved   = "moved"   // the sheet belongs elsewhere: its key was asked for, and was not known
	ReasonBoot    = "boot"    // meant for an earlier start of this service
	// The router's rules can't be acted on: the names of verdicts in the package rulebook.
	ReasonBehind       = "behind"
	ReasonContradicted = "contradicted"
	ReasonQuiet        = "quiet"
)

// Runner does the work of requests. Its methods never block; what becomes of a run is told by Core.Ended and,
// when it waits for a call, by Core.Awaits.
type Runner interface {
	Run(id, class string, body []byte)
	Resume(id string, reply []byte) // the reply to the call that the run waits for
	Probe()                         // ask for the gauges; told by Core.Gauges
}

// Forwarder is a Runner that hands a request on as it is; Run is not called then.
type Forwarder interface {
	Forward(r Request)
}

// Caller makes one call below for the run of a request and returns how it ended. It gives the call up when
// the patience is over or the context ends. Where the call may be made only once, Call sends it only once, and
// the outcome tells truly whether it may have run.
type Caller interface {
	Call(ctx context.Context, id string, patience time.Duration, body []byte, once bool) (silverpath.Outcome, []byte)
}

const (
	gaugeTimeout     = 15 * time.Millisecond // a tick goes on with the last gauges when none come in this time
	answerMargin     = 20 * time.Millisecond // before the due time the core answers what the module has not
	windowSlack      = 50 * time.Millisecond // by which time limits on sockets are extended; windows are kept that much longer
	readDelay        = 2 * time.Second       // past the last moment at which a repeat could still be read
	requestKB        = 24                    // what a request in hand is taken to cost the process, body and goroutine
	entryBytes       = 512                   // what a key costs besides its result
	keyMemoryDivisor = 8                     // keys and results take at most one part in so many of the memory
)

// Config sets up a Core.
type Config struct {
	Name     string
	Settings silverpath.Settings
	MemoryMB float64           // the process's own limit
	Status   bool              // fronts answer requests for the state of the service
	Pools    *admission.Config // nil: none
	Cell     bool              // serves in a cell, behind routers: see Known
	Pair     *PairConfig       // nil: no other process ever takes over from this one
	Log      *log.Logger
	Stats    *metrics.Counters
}

// Core is the service's one object: its phase, the module and all requests in hand.
type Core struct {
	name             string
	log              *log.Logger
	stats            *metrics.Counters
	runner           Runner
	caller           Caller
	store            Store // nil: runs are forgotten with the process
	unknownRunsUntil int64 // see RanUntil
	startedAt        time.Time
	idle             chan struct{} // closed when draining and nothing is owed
	published        atomic.Pointer[View]
	settings         atomic.Pointer[silverpath.Settings] // in force; never changed, only replaced
	lifecycle        lifecycleState
	blockRule        atomic.Pointer[func(class, tenant string) string] // why no sheet of theirs begins; nil: nobody is asked
	waitsForPeer     atomic.Bool                                       // the runner is up, and another process's runs are not known yet

	slowStart    slowStart // how what it takes while cold is shared out
	servesStatus bool
	cell         bool
	forwards     bool                     // hands requests on: another router may have handed on a try of the same sheet
	statusParts  map[string]func() []byte // further parts of the status, JSON each
	gates        atomic.Pointer[gates]    // of the classes that need not be read in full to be refused; nil without pools
	lockWait     *metrics.Timing          // waits for the lock
	decideTime   *metrics.Timing          // the module's decisions, under the lock

	mu             sync.Mutex
	module         *silverpath.Shedder
	actions        []func() // asked by the module, taken in order once it has returned
	drainStartedAt time.Time
	tasks          map[string]*task
	pendingAnswers int
	maxTasks       int
	keys           keyTable
	view           View
	gauges         silverpath.Gauges
	tickPending    bool // a tick waits for its gauges
	lastSweep      time.Time
	pools          *poolGuard                 // nil: no pools
	observedRules  configstore.VersionTracker // what routers have named
	poolsSeenAt    time.Duration
	loggedLimit    float64
	limitLoggedAt  time.Duration
	runnerUp       bool
	pair           *pair // nil: see Config
}

// New returns a Core in the phase Starting. Attach gives it its runner before the first request.
func New(cfg Config) (*Core, error) {
	c := &Core{
		name: cfg.Name, servesStatus: cfg.Status, cell: cfg.Cell, log: cfg.Log, stats: cfg.Stats, startedAt: time.Now(), idle: make(chan struct{}),
		tasks: map[string]*task{}, view: View{Health: true},
		maxTasks: max(64, int(cfg.MemoryMB*1024/2/requestKB)),
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

// Attach gives the core those who do the work and make the calls, and starts the module. The caller is nil
// where nothing lies below.
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

// decide calls the module and then carries out, in order, what it asked for. It is called under the lock, and
// no action blocks or writes to a network.
func (c *Core) decide(event func(m *silverpath.Shedder, now time.Duration)) {
	began := time.Now()
	event(c.module, c.clock())
	c.performActions()
	c.decideTime.Record(time.Since(began))
}

func (c *Core) performActions() {
	for len(c.actions) > 0 {
		act := c.actions[0]
		c.actions = c.actions[1:]
		act()
	}
	c.actions = nil
	c.publish()
}

// ---- Phases ----

// Started is told when that which does the work started, and whether it was cold then.
func (c *Core) Started(cold bool, ago time.Duration) {
	c.slowStart.begin(cold, time.Now().Add(-ago), c.settings.Load().Callers)
	c.notifyModule(func(m *silverpath.Shedder, now time.Duration) { m.Started(now, ago, cold) })
}

// Up is told when the runner is ready.
func (c *Core) RunnerReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runnerUp = true
	c.serveIfReady()
}

// Drain is the notice to leave; the process ends after the given time.
func (c *Core) Drain(stop time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle.current().Leaving() {
		return
	}
	c.lifecycle.apply(lifecycle.Leave)
	c.drainStartedAt = time.Now()
	if c.pair != nil {
		c.pair.side.Ready(false)
		c.applyPairEffects()
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Drain(now, now+stop) })
	c.closeIfIdle()
}

// Idle is closed once the service drains and owes no answer. More may still come: see Stop.
func (c *Core) Idle() <-chan struct{} { return c.idle }

// Stop ends the last phase: whatever still comes is refused. It reports whether nothing was owed.
func (c *Core) Stop() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lifecycle.apply(lifecycle.End)
	c.publish()
	return c.pendingAnswers == 0
}

// AnswerAll is the backstop at the end of the process, as expire is at a request's due time: whatever holds the module up, what
// is still owed is answered now. What never ran is refused where that is known.
func (c *Core) AnswerAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.tasks {
		if t.response != responsePending {
			continue
		}
		a := Answer{Outcome: Failed}
		if !t.started && t.duplicateOf == nil && !(c.forwards && t.idempotent()) {
			a = Answer{Outcome: Rejected, RetryAfter: c.settings.Load().MaxRetryAfter}
		}
		c.stats.Inc("backstop")
		c.settle(t, a)
		c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Cancelled(now, t.ID) })
	}
}

// Owed returns the number of requests that have not had their answer.
func (c *Core) PendingAnswers() int { return c.published.Load().PendingAnswers }

func (c *Core) closeIfIdle() {
	if c.lifecycle.current().Leaving() && c.pendingAnswers == 0 {
		select {
		case <-c.idle:
		default:
			close(c.idle)
		}
	}
}

// ---- What fronts ask ----

// Health is what a health check is told.
func (c *Core) Health() bool { return c.published.Load().Health && c.lifecycle.current().Healthy() }

// Signal is the value that goes out with answers from now on, and whether there is one.
func (c *Core) Signal() (float64, bool) {
	v := c.published.Load()
	return v.Signal, v.SignalSet
}

// IdleAfter is how long a connection may carry nothing before it is closed; 0 leaves that to the callers.
func (c *Core) IdleAfter() time.Duration { return c.published.Load().IdleAfter }

// Boot is when the service started, in Unix milliseconds, where it serves in a cell, and whether it does.
// Where runs are kept over a restart, it is since when they are.
func (c *Core) StartStamp() (int64, bool) {
	if c.cell && c.store != nil {
		return c.store.Since(), true
	}
	return c.startedAt.UnixMilli(), c.cell
}

// Tells adds a part to the status; the function returns JSON. It is called before the first request.
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

// Longest is the longest time that a client waits, of any class.
func (c *Core) MaxDeadline() (longest time.Duration) {
	for _, k := range c.settings.Load().Classes {
		longest = max(longest, k.Deadline)
	}
	return longest
}

// Advice is how long a caller is told to stay away where the core refuses without the module.
func (c *Core) RetryAfter() time.Duration { return c.settings.Load().MaxRetryAfter }

// ---- The clock ----

// wake asks for fresh gauges, and ticks with the last ones should none come.
func (c *Core) wake() {
	c.mu.Lock()
	c.tickPending = true
	c.mu.Unlock()
	time.AfterFunc(gaugeTimeout, c.tick)
	c.runner.Probe()
}

// Gauges is told the runner's readings.
func (c *Core) Gauges(g silverpath.Gauges) {
	c.mu.Lock()
	c.gauges = g
	c.mu.Unlock()
	c.tick()
}

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
	c.updatePools()
}

// ---- The module's host: every method notes an action for perform ----

type host Core

func (h *host) enqueueAction(id string, act func(c *Core, t *task)) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() {
		if t := c.tasks[id]; t != nil {
			act(c, t)
		}
	})
}

func (h *host) Run(id string) { h.enqueueAction(id, (*Core).startRun) }

func (h *host) Reject(id string, after time.Duration, final bool) {
	h.enqueueAction(id, func(c *Core, t *task) {
		if c.forwards && t.idempotent() && !c.lifecycle.current().Leaving() { // it may have run, by a try that came another way: only its home can tell
			c.settle(t, Answer{Outcome: Failed})
			return
		}
		if t.started { // a run is never refused; the module keeps to this, so the line should not be seen
			events.Log(c.log, "guard.refusal", id)
			c.settle(t, Answer{Outcome: Failed})
			return
		}
		c.settle(t, Answer{Outcome: Rejected, RetryAfter: after, Final: final})
	})
}

func (h *host) Fail(id string) {
	h.enqueueAction(id, func(c *Core, t *task) {
		out := Failed
		if time.Until(t.Deadline) < 100*time.Millisecond {
			out = Expired
		}
		c.settle(t, Answer{Outcome: out})
	})
}

func (h *host) Join(id string) { h.enqueueAction(id, (*Core).join) }

func (h *host) Stop(string) {} // see New: no site has it

func (h *host) Call(id string, patience time.Duration) {
	h.enqueueAction(id, func(_ *Core, t *task) {
		t.calling = true
		t.enqueue(event{kind: callChosen, patience: patience})
	})
}

func (h *host) SkipCall(string) {} // see New

func (h *host) RememberKey(id string, d time.Duration) {
	h.enqueueAction(id, func(c *Core, t *task) { c.keys.shareRead(t, d) })
}

func (h *host) ForgetKey(id string) {
	h.enqueueAction(id, func(c *Core, t *task) { c.releaseKey(t) })
}

func (h *host) Health(good bool) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.Health = good })
}

func (h *host) Signal(value float64) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.Signal, c.view.SignalSet = value, true })
}

func (h *host) CloseIdle(after time.Duration) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.IdleAfter = after })
}

func (h *host) Wake(after time.Duration) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { time.AfterFunc(after, c.wake) })
}

func (h *host) Log(text string) { events.Log((*Core)(h).log, "module", text) }
