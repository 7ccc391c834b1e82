package core

import (
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/policy/admission"
)

// poolGuard implements silverpath.Pools. It adds the memory use of this process, which the module does not measure.
type poolGuard struct {
	*admission.Controller
	memoryBytes float64 // the memory limit of this process
	sample      []metrics.Sample
	sampledAt   time.Duration // when memoryShare was sampled
	memoryShare float64       // the share of memoryBytes in use
}

var _ silverpath.Pools = (*poolGuard)(nil)

func newPoolGuard(cfg admission.Config, memoryMB float64) (*poolGuard, error) {
	controller, err := admission.New(cfg)
	if err != nil {
		return nil, err
	}
	return &poolGuard{Controller: controller, memoryBytes: memoryMB * (1 << 20), sampledAt: math.MinInt64 / 2, sample: []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
	}}, nil
}

// Moved records the new state of a request.
func (g *poolGuard) Moved(now time.Duration, id, class string, to silverpath.Place) {
	g.Controller.Moved(now, id, class, admission.RequestState(to))
}

// Tick passes the module's own run limit and the gauges to the pools, together with the process's memory use.
func (g *poolGuard) Tick(now time.Duration, ceiling float64, gauges silverpath.Gauges) {
	if now-g.sampledAt >= poolsInterval {
		g.sampledAt = now
		metrics.Read(g.sample)
		g.memoryShare = (float64(g.sample[0].Value.Uint64()) - float64(g.sample[1].Value.Uint64())) / g.memoryBytes
	}
	g.Controller.Tick(now, admission.Readings{Ceiling: ceiling, Load: gauges.RunnableTasks, BookedMemory: gauges.Memory, ProcessMemory: g.memoryShare})
}

const (
	// poolsInterval is the time between two samples of the process's memory, and between two updates of the pools in the status.
	// Sampling walks the runtime's statistics, which is too expensive for each tick.
	poolsInterval = 100 * time.Millisecond
	// limitLogChange is the change of the run limit, as the natural logarithm of the ratio to the last logged value, above which
	// the limit is logged again: about a quarter. The search for the limit constantly causes smaller changes.
	limitLogChange = 0.25
	// limitLogInterval is the minimum time between two such log lines.
	limitLogInterval = 5 * time.Second
)

// arrivalGate is the gate of one class. While it is closed, requests of the class are rejected before they are read in full.
type arrivalGate struct {
	admission.ArrivalGate
	rejection   atomic.Pointer[Answer] // the module's latest rejection, returned to requests that are rejected unread
	closedUntil atomic.Int64           // on the core's clock, in nanoseconds; read without the lock
	unread      atomic.Int64           // requests rejected unread since the last report to the module
}

// arrivalGates holds the gates by class. A published map is never modified.
type arrivalGates map[string]*arrivalGate

func (c *Core) currentGates() arrivalGates {
	if g := c.gates.Load(); g != nil {
		return *g
	}
	return nil
}

func (c *Core) gateOf(class string) *arrivalGate { return c.currentGates()[class] }

// setGates creates the gate of each class of the settings and keeps existing gates. Classes whose requests may be duplicates of an
// earlier run have no gate, because their requests must always be read.
func (c *Core) setGates(settings silverpath.Settings) {
	g := arrivalGates{}
	for _, k := range settings.Classes {
		if k.Effect != silverpath.Safe || settings.FreshFor != 0 {
			continue
		}
		if g[k.Name] = c.gateOf(k.Name); g[k.Name] == nil {
			g[k.Name] = &arrivalGate{}
		}
	}
	c.gates.Store(&g)
}

// RejectsUnread reports whether a request of a class must be rejected before it is read in full, and with which answer: the one
// that the module gave to the requests just before. Fronts call it. It takes no lock.
func (c *Core) RejectsUnread(front, class string) (Answer, bool) {
	g := c.gateOf(class)
	if g == nil || int64(c.clock()) >= g.closedUntil.Load() {
		return Answer{}, false
	}
	g.unread.Add(1)
	c.stats.Inc("unread", front, class)
	return *g.rejection.Load(), true
}

// updateGate passes the module's decision on an arrival to the gate of its class. It is called under the lock.
func (c *Core) updateGate(t *task) {
	g := c.gateOf(t.Class)
	if g == nil {
		return
	}
	now := c.clock()
	if a, rejected := t.rejection(); rejected {
		g.rejection.Store(&a)
		g.Rejected(now)
	} else {
		g.Accepted()
	}
	g.closedUntil.Store(int64(g.ClosedUntil()))
}

// rejection returns the answer if a request that has just arrived was rejected.
func (t *task) rejection() (Answer, bool) {
	if n := len(t.events); n > 0 && t.events[n-1].kind == answerSettled && t.events[n-1].answer.Outcome == Rejected {
		return t.events[n-1].answer, true
	}
	return Answer{}, false
}

// reportUnread reports to the module how many requests were rejected unread. It is called under the lock, at every tick.
func (c *Core) reportUnread() {
	for class, g := range c.currentGates() {
		if n := g.unread.Swap(0); n > 0 {
			c.decide(func(m *silverpath.Shedder, now time.Duration) { m.RejectedUnread(now, class, int(n)) })
		}
	}
}

// updatePools updates the pools in the view and logs changes. It is called under the lock, at every tick.
func (c *Core) updatePools() {
	now := c.clock()
	if c.pools == nil || now-c.poolsUpdatedAt < poolsInterval {
		return
	}
	c.poolsUpdatedAt = now
	old := c.view.Pools
	st := c.pools.Snapshot(now)
	c.view.Pools = &st
	if old == nil || old.Memory != st.Memory {
		events.Log(c.log, "admission.memory", st.Memory, st.BookedMemory, st.ProcessMemory)
	}
	for i, p := range st.Pools {
		starvedBefore := old != nil && i < len(old.Pools) && old.Pools[i].Starving
		if p.Starving && !starvedBefore {
			events.Log(c.log, "admission.pool_starved", p.Name, p.Queued, p.Running, p.Floor)
		}
	}
	if math.Abs(math.Log(st.RunLimit/c.loggedLimit)) > limitLogChange && now-c.limitLoggedAt >= limitLogInterval {
		c.loggedLimit, c.limitLoggedAt = st.RunLimit, now
		events.Log(c.log, "admission.limit", st.RunLimit, st.Ceiling, st.Diagnosis)
	}
}

// ReloadPools applies other pools, weights, floors and memory stages while requests run. No run is lost. It returns the error of
// admission.Controller.Reload.
func (c *Core) ReloadPools(cfg admission.Config) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		return nil
	}
	return c.pools.Reload(cfg)
}

// MaxBody returns the largest body that a front accepts now, in bytes. It is at most limit, and less while memory is short.
func (c *Core) MaxBody(limit int) int {
	if p := c.published.Load().Pools; p != nil {
		return p.Memory.MaxBody(limit)
	}
	return limit
}
