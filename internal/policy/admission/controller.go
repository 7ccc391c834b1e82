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
	class string
	pool  *pool
	state RequestState
	since time.Duration
	busy  time.Duration // on the cores
}

// What is learnt of load and runs. The weights were found by trial: raising them follows a change sooner and noise as well.
const (
	tickInterval    = 25 * time.Millisecond // between two calls of Tick, as the module has it
	arrivalWindow   = 2 * time.Second       // over which arrivals are counted: a few runs long
	runTimeDecay    = 0.95                  // weight of the past in the time of a run, for each end
	initialRunTime  = 0.3                   // seconds, until a run has ended
	otherLoadWeight = 0.1                   // weight of a reading in what else is on the cores
	minBurstUnit    = 0.25                  // of the mean burst that a class's counts for: one odd class must not sway the search
	maxBurstUnit    = 4
)

// New returns the admission of a server, with the limiter that its bounds ask for. An error is one of [Config.Check].
func New(c Config) (*Controller, error) {
	return NewWithLimiter(c, c.Limit.newLimiter())
}

// NewWithLimiter returns admission with another limiter.
func NewWithLimiter(c Config, l Limiter) (*Controller, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	s := &Controller{limiter: l, memory: NewMemoryGovernor(c.Memory), requests: map[string]*request{}, meanBurst: initialRunTime,
		configuredBounds: c.Limit, runLimit: max(1, c.Limit.Start, c.Limit.Fixed, float64(len(c.Pools)))}
	s.buildPools(c)
	return s, nil
}

// Reload takes up other pools, weights and floors. What runs goes on, counted where its class now belongs. An error is one of
// [Config.Check], and then nothing has changed.
func (s *Controller) Reload(c Config) error {
	if err := c.Check(); err != nil {
		return err
	}
	old := map[string]*pool{}
	for _, p := range s.pools {
		old[p.Name] = p
	}
	s.buildPools(c)
	s.memory.cfg = c.Memory.withDefaults()
	if c.Limit != s.configuredBounds {
		s.limiter, s.configuredBounds = c.Limit.newLimiter(), c.Limit
	}
	for _, p := range s.pools { // a pool that keeps its name keeps its counts
		if o := old[p.Name]; o != nil {
			p.meanRunTime, p.meanBurst, p.arrivalRate = o.meanRunTime, o.meanBurst, o.arrivalRate
			p.started, p.borrowed, p.rejected = o.started, o.borrowed, o.rejected
		}
	}
	for _, r := range s.requests {
		r.pool = s.poolOf(r.class)
		switch r.state {
		case Queued:
			r.pool.queued++
		case Running:
			r.pool.running++
		}
	}
	s.allocate()
	return nil
}

// buildPools sets the pools up, without counts.
func (s *Controller) buildPools(c Config) {
	s.pools, s.byClass, s.catchAll = nil, map[string]*pool{}, nil
	for _, set := range c.Pools {
		p := s.addPool(set)
		for _, k := range set.Classes {
			s.byClass[k] = p
		}
		if len(set.Classes) == 0 {
			s.catchAll = p
		}
	}
	if s.catchAll == nil {
		s.catchAll = s.addPool(Pool{Name: defaultPoolName})
	}
}

func (s *Controller) addPool(set Pool) *pool {
	p := &pool{Pool: set, index: len(s.pools), meanRunTime: s.meanBurst, meanBurst: s.meanBurst}
	s.pools = append(s.pools, p)
	return p
}

func (s *Controller) poolOf(class string) *pool {
	if p := s.byClass[class]; p != nil {
		return p
	}
	return s.catchAll
}

// ---- Events ----

// Moved is told of every change of a request's state.
func (s *Controller) Moved(now time.Duration, id, class string, to RequestState) {
	r := s.requests[id]
	if r == nil {
		if to == Finished {
			return
		}
		r = &request{class: class, pool: s.poolOf(class), state: Finished}
		s.requests[id] = r
		r.pool.arrivals++
	}
	p := r.pool
	from := r.state
	s.leave(now, r)
	r.state, r.since = to, now
	switch to {
	case Queued:
		p.queued++
	case Running:
		s.run(now, p, from)
	case Finished:
		delete(s.requests, id)
		if from == Running {
			p.meanRunTime = p.meanRunTime*runTimeDecay + r.busy.Seconds()*(1-runTimeDecay)
		}
	}
	s.noteStarvation(now, p, to)
}

// leave takes a request out of its state's counts.
func (s *Controller) leave(now time.Duration, r *request) {
	switch r.state {
	case Queued:
		r.pool.queued--
	case Running:
		r.pool.running--
		s.running--
		r.busy += now - r.since
		s.burstEnded(now, r.pool, now-r.since)
		s.limiter.RunsChanged(now, s.load())
	}
}

// run counts a run of a pool that starts, or comes back from a call.
func (s *Controller) run(now time.Duration, p *pool, from RequestState) {
	if from == Queued {
		p.started++
		if float64(p.running) >= p.entitlement {
			p.borrowed++
		}
	}
	p.running++
	s.running++
	s.limiter.RunsChanged(now, s.load())
}

// noteStarvation keeps since when a pool waits under its floor; a run that starts begins that anew.
func (s *Controller) noteStarvation(now time.Duration, p *pool, to RequestState) {
	if p.queued == 0 || float64(p.running) >= s.guaranteed(p) {
		p.starvedSince = 0
	} else if p.starvedSince == 0 || to == Running {
		p.starvedSince = max(1, now)
	}
}

// load is all that is on the cores.
func (s *Controller) load() int { return s.running + int(math.Round(s.otherLoad)) }

// burstEnded counts a burst on the cores that ended, with the run or at a call. It counts at a call too: where calls below grow slow
// all at once, ends of runs stay away while the cores do as much as ever.
func (s *Controller) burstEnded(now time.Duration, p *pool, spent time.Duration) {
	t := spent.Seconds()
	s.meanBurst = s.meanBurst*runTimeDecay + t*(1-runTimeDecay)
	p.meanBurst = p.meanBurst*runTimeDecay + t*(1-runTimeDecay)
	unit := 1.0
	if s.meanBurst > 0 {
		unit = min(maxBurstUnit, max(minBurstUnit, p.meanBurst/s.meanBurst))
	}
	s.limiter.BurstEnded(now, spent, unit)
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
func (s *Controller) Tick(now time.Duration, r Readings) {
	if r.Load > 0 {
		s.otherLoad += (max(0, r.Load-float64(s.running)) - s.otherLoad) * otherLoadWeight
	}
	queued := 0
	for _, p := range s.pools {
		queued += p.queued
	}
	s.ceiling = max(1, r.Ceiling)
	s.limiter.RunsChanged(now, s.load())
	s.totalLimit = s.limiter.Limit(now, s.ceiling+s.otherLoad, queued > 0)
	s.runLimit = min(s.ceiling, max(1, s.totalLimit-s.otherLoad, minRunShare*s.totalLimit))
	s.memory.Tick(now, r.BookedMemory, r.ProcessMemory)
	decay := math.Exp(-tickInterval.Seconds() / arrivalWindow.Seconds())
	for _, p := range s.pools {
		p.arrivalRate = p.arrivalRate*decay + p.arrivals/tickInterval.Seconds()*(1-decay)
		p.arrivals = 0
	}
	s.allocate()
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
func (s *Controller) Snapshot(now time.Duration) Snapshot {
	snapshot := Snapshot{
		TotalLimit: s.totalLimit, RunLimit: s.runLimit, Ceiling: s.ceiling, Running: s.running, Diagnosis: s.limiter.Diagnosis(),
		Memory: s.memory.Stage(), BookedMemory: s.memory.booked, ProcessMemory: s.memory.process,
		Pools: make([]PoolSnapshot, 0, len(s.pools)),
	}
	starved := s.longestStarved(now)
	for _, p := range s.pools {
		snapshot.Pools = append(snapshot.Pools, PoolSnapshot{
			Name: p.Name, Weight: p.Weight, Floor: s.guaranteed(p), Running: p.running, Queued: p.queued, Demand: p.demand,
			Entitlement: p.entitlement, Started: p.started, Borrowed: p.borrowed, Rejected: p.rejected, Starving: p == starved,
		})
	}
	return snapshot
}
