package admission

import (
	"math"
	"time"
)

// RequestState is the state of a request as far as admission is concerned.
type RequestState int

// The states of a request. Their numbers are those of silverpath.Place.
const (
	Finished RequestState = iota // not in the system
	Queued                       // waits for a run
	Running                      // its run is on the cores or waits for a disk
	InCall                       // its run waits for a call to the tier below
)

// Controller makes the admission decisions of one server. It has the limit, the pools and the memory stages. It is not safe for
// concurrent use.
type Controller struct {
	pools            []*pool
	byClass          map[string]*pool
	catchAll         *pool // pool of the classes that no pool lists
	limiter          Limiter
	configuredBounds Bounds // bounds that the limiter was created with
	memory           *MemoryGovernor

	totalLimit float64 // on runs and all other work on the cores
	runLimit   float64 // on the runs on the cores
	ceiling    float64 // upper bound of runLimit, set by the caller of Tick
	running    int
	otherLoad  float64 // moving average of the work on the cores other than runs
	requests   map[string]*request
	meanBurst  float64 // seconds on the cores; moving average over the bursts of all classes
}

// pool is one pool with its counts and averages.
type pool struct {
	Pool
	index        int
	queued       int
	running      int           // runs on the cores
	arrivalRate  float64       // requests a second, moving average
	arrivals     float64       // requests since the last tick
	meanRunTime  float64       // seconds on the cores of a run, moving average
	meanBurst    float64       // seconds on the cores of a burst, moving average; a burst ends at a call or at the end of the run
	demand       float64       // runs that the pool could keep busy
	entitlement  float64       // runs that the pool is entitled to
	starvedSince time.Duration // start of the wait below the floor; 0: the pool does not wait below its floor
	started      uint64        // runs
	borrowed     uint64        // runs that started beyond the entitlement
	rejected     uint64        // requests rejected because of memory use
}

// request is a request that is not finished.
type request struct {
	class       string
	pool        *pool
	state       RequestState
	stateSince  time.Duration
	timeOnCores time.Duration
}

// Parameters of the moving averages. A higher weight of new values follows a change sooner, but follows noise as well.
const (
	tickInterval    = 25 * time.Millisecond // between two calls of Tick; equal to the tick of the decision module
	arrivalWindow   = 2 * time.Second       // time constant of the arrival rate: the length of a few runs
	runTimeDecay    = 0.95                  // weight of the previous mean in the mean time of a run or burst
	initialRunTime  = 0.3                   // seconds, until a run has ended
	otherLoadWeight = 0.1                   // weight of a new reading in otherLoad
	minBurstWork    = 0.25                  // lower bound of a class's relative mean burst: no single class must dominate the search
	maxBurstWork    = 4                     // upper bound of the same
)

// New returns a controller with the limiter that the bounds in cfg select. An error is one of [Config.Check].
func New(cfg Config) (*Controller, error) {
	return NewWithLimiter(cfg, cfg.Limit.newLimiter())
}

// NewWithLimiter returns a controller with the given limiter. An error is one of [Config.Check].
func NewWithLimiter(cfg Config, limiter Limiter) (*Controller, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	c := &Controller{limiter: limiter, memory: NewMemoryGovernor(cfg.Memory), requests: map[string]*request{}, meanBurst: initialRunTime,
		configuredBounds: cfg.Limit, runLimit: max(1, cfg.Limit.Start, cfg.Limit.Fixed, float64(len(cfg.Pools)))}
	c.buildPools(cfg)
	return c, nil
}

// Reload replaces pools, weights, floors and bounds. Runs continue and are counted in the pool to which their class now belongs. If
// [Config.Check] returns an error, Reload returns it and changes nothing.
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
	for _, p := range c.pools { // a pool with an unchanged name keeps its counts
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

// buildPools creates the pools of cfg, with all counts at 0.
func (c *Controller) buildPools(cfg Config) {
	c.pools, c.byClass, c.catchAll = nil, map[string]*pool{}, nil
	for _, poolConfig := range cfg.Pools {
		p := c.addPool(poolConfig)
		for _, class := range poolConfig.Classes {
			c.byClass[class] = p
		}
		if len(poolConfig.Classes) == 0 {
			c.catchAll = p
		}
	}
	if c.catchAll == nil {
		c.catchAll = c.addPool(Pool{Name: defaultPoolName})
	}
}

func (c *Controller) addPool(poolConfig Pool) *pool {
	p := &pool{Pool: poolConfig, index: len(c.pools), meanRunTime: c.meanBurst, meanBurst: c.meanBurst}
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

// Moved records a change of the state of a request. It must be called for every change.
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

// leaveState removes a request from the counts of its current state.
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

// enterRunning counts a run of a pool that starts or returns from a call.
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

// updateStarvation records since when a pool has waited below its floor. Each run that starts restarts the wait.
func (c *Controller) updateStarvation(now time.Duration, p *pool, to RequestState) {
	if p.queued == 0 || float64(p.running) >= c.guaranteedRuns(p) {
		p.starvedSince = 0
	} else if p.starvedSince == 0 || to == Running {
		p.starvedSince = max(1, now)
	}
}

// coreLoad returns the amount of work on the cores: runs and other load.
func (c *Controller) coreLoad() int { return c.running + int(math.Round(c.otherLoad)) }

// burstEnded records the end of a burst on the cores, at a call or at the end of the run. Bursts that end at a call count because runs
// stop ending when calls suddenly become slow, although the cores do as much work as before.
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

// Readings are the measurements that Tick takes.
type Readings struct {
	Ceiling       float64 // upper bound of the number of runs on the cores
	Load          float64 // all work that wants a core: runs and requests being read; 0: unknown
	BookedMemory  float64 // used fraction of the memory that requests book
	ProcessMemory float64 // used fraction of the memory of the process
}

// Tick takes readings and updates the limits and entitlements. It is called every 25 ms. The knee is a property of all work on the
// cores, so the limiter sees the total load. Requests being read reduce the limit on runs, but never below minRunFraction of the total
// limit.
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

// ---- Status for operators ----

// Snapshot is the state of admission for status output.
type Snapshot struct {
	TotalLimit    float64 // on runs and all other work on the cores
	RunLimit      float64 // on the runs on the cores
	Ceiling       float64 // upper bound of RunLimit
	Running       int
	Diagnosis     string // of the limiter
	Memory        MemoryStage
	BookedMemory  float64 // used fraction
	ProcessMemory float64 // used fraction
	Pools         []PoolSnapshot
}

// PoolSnapshot is the state of one pool in a [Snapshot].
type PoolSnapshot struct {
	Name                string
	Weight              float64
	Floor               float64 // runs guaranteed to the pool
	Running, Queued     int
	Demand, Entitlement float64 // runs
	Started, Borrowed   uint64  // runs since the process started; Borrowed counts those beyond the entitlement
	Rejected            uint64  // requests rejected because of memory use
	Starving            bool
}

// Snapshot returns the current state of admission.
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
