package admission

import (
	"math"
	"time"
)

// RequestState is where a request stands, as far as admission goes.
type RequestState int

// The states of a request; their numbers are those of silverpath.Place.
const (
	Finished RequestState = iota // nowhere any more
	Queued                       // waits for a run
	Running                      // on the cores, or waits for a disk
	InCall                       // its run waits for a call to the tier below
)

// Controller is the admission of one server: its limit, pools and memory stages. It is single-threaded.
type Controller struct {
	pools            []*pool
	byClass          map[string]*pool
	catchAll         *pool // of the classes that no pool names
	limiter          Limiter
	configuredBounds Bounds // what the limiter was made from
	memory           *MemoryGovernor

	totalLimit float64 // on all that is on the cores
	runLimit   float64 // on the runs there
	ceiling    float64 // on the runs, as others set it
	running    int
	otherLoad  float64 // on the cores besides the runs, of late
	requests   map[string]*request
	meanBurst  float64 // seconds on the cores of a burst of any class, of late
}

// pool is one pool with its counts.
type pool struct {
	Pool
	index        int
	queued       int
	running      int           // on the cores
	arrivalRate  float64       // requests a second, of late
	arrivals     float64       // since the last tick
	meanRunTime  float64       // seconds on the cores of its runs, of late
	meanBurst    float64       // seconds on the cores of a burst of one, from its start or a call to its end or the next call
	demand       float64       // runs that it could keep busy
	entitlement  float64       // runs that are its own
	starvedSince time.Duration // it has waited under its floor since; 0: it does not
	started      uint64
	borrowed     uint64 // of these, beyond its entitlement
	rejected     uint64 // not admitted for want of memory
}

// request is one that is not finished.
type request struct {
	class       string
	pool        *pool
	state       RequestState
	stateSince  time.Duration
	timeOnCores time.Duration // on the cores
}

// What is learnt of load and runs. The weights were found by trial: raising them follows a change sooner and noise as well.
const (
	tickInterval    = 25 * time.Millisecond // between two calls of Tick, as the module has it
	arrivalWindow   = 2 * time.Second       // over which arrivals are counted: a few runs long
	runTimeDecay    = 0.95                  // weight of the past in the time of a run, for each end
	initialRunTime  = 0.3                   // seconds, until a run has ended
	otherLoadWeight = 0.1                   // weight of a reading in what else is on the cores
	minBurstWork    = 0.25                  // of the mean burst that a class's counts for: one odd class must not sway the search
	maxBurstWork    = 4
)

// New returns the admission of a server, with the limiter that its bounds ask for. An error is one of [Config.Check].
func New(cfg Config) (*Controller, error) {
	return NewWithLimiter(cfg, cfg.Limit.newLimiter())
}

// NewWithLimiter returns admission with another limiter.
func NewWithLimiter(cfg Config, limiter Limiter) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{limiter: limiter, memory: NewMemoryGovernor(cfg.Memory), requests: map[string]*request{}, meanBurst: initialRunTime,
		configuredBounds: cfg.Limit, runLimit: max(1, cfg.Limit.Start, cfg.Limit.Fixed, float64(len(cfg.Pools)))}
	c.buildPools(cfg)
	return c, nil
}

// Reload takes up other pools, weights and floors. What runs goes on, counted where its class now belongs. An error is one of
// [Config.Check], and then nothing has changed.
func (c *Controller) Reload(cfg Config) error {
	if err := cfg.Check(); err != nil {
		return err
	}
	previousPools := map[string]*pool{}
	for _, p := range c.pools {
		previousPools[p.Name] = p
	}
	c.buildPools(cfg)
	c.memory.cfg = cfg.Memory.withDefaults()
	if cfg.Limit != c.configuredBounds {
		c.limiter, c.configuredBounds = cfg.Limit.newLimiter(), cfg.Limit
	}
	for _, p := range c.pools { // a pool that keeps its name keeps its counts
		if previous := previousPools[p.Name]; previous != nil {
			p.meanRunTime, p.meanBurst, p.arrivalRate = previous.meanRunTime, previous.meanBurst, previous.arrivalRate
			p.started, p.borrowed, p.rejected = previous.started, previous.borrowed, previous.rejected
		}
	}
	for _, r := range c.requests {
		r.pool = c.poolOf(r.class)
		switch r.state {
		case Queued:
			r.pool.queued++
		case Running:
			r.pool.running++
		}
	}
	c.allocate()
	return nil
}

// buildPools sets the pools up, without counts.
func (c *Controller) buildPools(cfg Config) {
	c.pools, c.byClass, c.catchAll = nil, map[string]*pool{}, nil
	for _, set := range cfg.Pools {
		p := c.addPool(set)
		for _, class := range set.Classes {
			c.byClass[class] = p
		}
		if len(set.Classes) == 0 {
			c.catchAll = p
		}
	}
	if c.catchAll == nil {
		c.catchAll = c.addPool(Pool{Name: defaultPoolName})
	}
}

func (c *Controller) addPool(set Pool) *pool {
	p := &pool{Pool: set, index: len(c.pools), meanRunTime: c.meanBurst, meanBurst: c.meanBurst}
	c.pools = append(c.pools, p)
	return p
}

func (c *Controller) poolOf(class string) *pool {
	if p := c.byClass[class]; p != nil {
		return p
	}
	return c.catchAll
}

// ---- Events ----

// Moved is told of every change of a request's state.
func (c *Controller) Moved(now time.Duration, id, class string, to RequestState) {
	r := c.requests[id]
	if r == nil {
		if to == Finished {
			return
		}
		r = &request{class: class, pool: c.poolOf(class), state: Finished}
		c.requests[id] = r
		r.pool.arrivals++
	}
	p := r.pool
	from := r.state
	c.leaveState(now, r)
	r.state, r.stateSince = to, now
	switch to {
	case Queued:
		p.queued++
	case Running:
		c.enterRunning(now, p, from)
	case Finished:
		delete(c.requests, id)
		if from == Running {
			p.meanRunTime = p.meanRunTime*runTimeDecay + r.timeOnCores.Seconds()*(1-runTimeDecay)
		}
	}
	c.updateStarvation(now, p, to)
}

// leave takes a request out of its state's counts.
func (c *Controller) leaveState(now time.Duration, r *request) {
	switch r.state {
	case Queued:
		r.pool.queued--
	case Running:
		r.pool.running--
		c.running--
		r.timeOnCores += now - r.stateSince
		c.burstEnded(now, r.pool, now-r.stateSince)
		c.limiter.RunsChanged(now, c.coreLoad())
	}
}

// run counts a run of a pool that starts, or comes back from a call.
func (c *Controller) enterRunning(now time.Duration, p *pool, from RequestState) {
	if from == Queued {
		p.started++
		if float64(p.running) >= p.entitlement {
			p.borrowed++
		}
	}
	p.running++
	c.running++
	c.limiter.RunsChanged(now, c.coreLoad())
}

// noteStarvation keeps since when a pool waits under its floor; a run that starts begins that anew.
func (c *Controller) updateStarvation(now time.Duration, p *pool, to RequestState) {
	if p.queued == 0 || float64(p.running) >= c.guaranteedRuns(p) {
		p.starvedSince = 0
	} else if p.starvedSince == 0 || to == Running {
		p.starvedSince = max(1, now)
	}
}

// load is all that is on the cores.
func (c *Controller) coreLoad() int { return c.running + int(math.Round(c.otherLoad)) }

// burstEnded counts a burst on the cores that ended, with the run or at a call. It counts at a call too: where calls below grow slow
// all at once, ends of runs stay away while the cores do as much as ever.
func (c *Controller) burstEnded(now time.Duration, p *pool, spent time.Duration) {
	seconds := spent.Seconds()
	c.meanBurst = c.meanBurst*runTimeDecay + seconds*(1-runTimeDecay)
	p.meanBurst = p.meanBurst*runTimeDecay + seconds*(1-runTimeDecay)
	work := 1.0
	if c.meanBurst > 0 {
		work = min(maxBurstWork, max(minBurstWork, p.meanBurst/c.meanBurst))
	}
	c.limiter.BurstEnded(now, spent, work)
}

// Readings are what Tick is told beside the time.
type Readings struct {
	Ceiling       float64 // that others set to the runs on the cores
	Load          float64 // all that wants a core, runs and what is being read alike; 0: not known
	BookedMemory  float64 // share in use of the memory that requests book
	ProcessMemory float64 // share in use of the process's own memory
}

// Tick takes readings; it comes every 25 ms. The knee is one of all that is on the cores, so it is that which the limiter sees; what
// is being read there leaves the runs less, though never less than a part.
func (c *Controller) Tick(now time.Duration, r Readings) {
	if r.Load > 0 {
		c.otherLoad += (max(0, r.Load-float64(c.running)) - c.otherLoad) * otherLoadWeight
	}
	queued := 0
	for _, p := range c.pools {
		queued += p.queued
	}
	c.ceiling = max(1, r.Ceiling)
	c.limiter.RunsChanged(now, c.coreLoad())
	c.totalLimit = c.limiter.Limit(now, c.ceiling+c.otherLoad, queued > 0)
	c.runLimit = min(c.ceiling, max(1, c.totalLimit-c.otherLoad, minRunFraction*c.totalLimit))
	c.memory.Tick(now, r.BookedMemory, r.ProcessMemory)
	decay := math.Exp(-tickInterval.Seconds() / arrivalWindow.Seconds())
	for _, p := range c.pools {
		p.arrivalRate = p.arrivalRate*decay + p.arrivals/tickInterval.Seconds()*(1-decay)
		p.arrivals = 0
	}
	c.allocate()
}

// ---- What operators see ----

// Snapshot is what admission is and believes.
type Snapshot struct {
	TotalLimit    float64 // on all that is on the cores
	RunLimit      float64 // on runs there
	Ceiling       float64 // on runs there, as others set it
	Running       int
	Diagnosis     string // of the limiter
	Memory        MemoryStage
	BookedMemory  float64 // share in use
	ProcessMemory float64 // share in use
	Pools         []PoolSnapshot
}

// PoolSnapshot is one pool of a [Snapshot].
type PoolSnapshot struct {
	Name                string
	Weight              float64
	Floor               float64 // runs that are always its own
	Running, Queued     int
	Demand, Entitlement float64 // runs
	Started, Borrowed   uint64  // runs since the start, and of these those beyond the entitlement
	Rejected            uint64  // requests not admitted for want of memory
	Starving            bool
}

// Snapshot returns the present one.
func (c *Controller) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{
		TotalLimit: c.totalLimit, RunLimit: c.runLimit, Ceiling: c.ceiling, Running: c.running, Diagnosis: c.limiter.Diagnosis(),
		Memory: c.memory.Stage(), BookedMemory: c.memory.booked, ProcessMemory: c.memory.process,
		Pools: make([]PoolSnapshot, 0, len(c.pools)),
	}
	starved := c.longestStarved(now)
	for _, p := range c.pools {
		snapshot.Pools = append(snapshot.Pools, PoolSnapshot{
			Name: p.Name, Weight: p.Weight, Floor: c.guaranteedRuns(p), Running: p.running, Queued: p.queued, Demand: p.demand,
			Entitlement: p.entitlement, Started: p.started, Borrowed: p.borrowed, Rejected: p.rejected, Starving: p == starved,
		})
	}
	return snapshot
}
