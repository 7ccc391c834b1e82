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

// poolGuard is the pools as the module asks them, with the process's own memory, which the module isn't told of.
type poolGuard struct {
	*admission.Controller
	memoryBytes float64 // that the process may have
	sample      []metrics.Sample
	sampledAt   time.Duration // when memoryShare was read
	memoryShare float64       // of memoryBytes, in use
}

var _ silverpath.Pools = (*poolGuard)(nil)

func newPoolGuard(c admission.Config, memoryMB float64) (*poolGuard, error) {
	set, err := admission.New(c)
	if err != nil {
		return nil, err
	}
	return &poolGuard{Controller: set, memoryBytes: memoryMB * (1 << 20), sampledAt: math.MinInt64 / 2, sample: []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
	}}, nil
}

// Moved takes where a request has come to be.
func (g *poolGuard) Moved(now time.Duration, id, class string, to silverpath.Place) {
	g.Controller.Moved(now, id, class, admission.RequestState(to))
}

// Tick takes the module's own limit of runs and the gauges.
func (g *poolGuard) Tick(now time.Duration, ceiling float64, gauges silverpath.Gauges) {
	if now-g.sampledAt >= poolsInterval {
		g.sampledAt = now
		metrics.Read(g.sample)
		g.memoryShare = (float64(g.sample[0].Value.Uint64()) - float64(g.sample[1].Value.Uint64())) / g.memoryBytes
	}
	g.Controller.Tick(now, admission.Readings{Ceiling: ceiling, Load: gauges.OnCores, BookedMemory: gauges.Memory, ProcessMemory: g.memoryShare})
}

const (
	// poolsInterval is the time between two readings of the process's own memory, and two updates of what operators see: a
	// reading walks over the runtime's statistics, which is too much for each tick.
	poolsInterval = 100 * time.Millisecond
	// limitLogChange is how far the limit must have moved since it was logged last, as the logarithm of the ratio: by a
	// quarter. Its search moves it by less all the time.
	limitLogChange = 0.25
	// limitLogInterval is the least time between two such lines.
	limitLogInterval = 5 * time.Second
)

// gate is one class's gate: while it is closed, requests of the class are rejected before they are read in full.
type gate struct {
	admission.ArrivalGate
	rejection   atomic.Pointer[Answer] // the module's latest, which those are given
	closedUntil atomic.Int64           // nanoseconds of the core's clock; read without the lock
	unread      atomic.Int64           // requests rejected so since the module was told last
}

// gates are the gates by class. A map that is in use is never changed.
type gates map[string]*gate

func (c *Core) allGates() gates {
	if g := c.gates.Load(); g != nil {
		return *g
	}
	return nil
}

func (c *Core) gateOf(class string) *gate { return c.allGates()[class] }

// setGates gives every class of the settings its gate, but for those whose requests may be duplicates of one that has run: these
// must always be read. A class that had a gate keeps it.
func (c *Core) setGates(set silverpath.Settings) {
	g := gates{}
	for _, k := range set.Classes {
		if k.Effect != silverpath.Safe || set.FreshFor != 0 {
			continue
		}
		if g[k.Name] = c.gateOf(k.Name); g[k.Name] == nil {
			g[k.Name] = &gate{}
		}
	}
	c.gates.Store(&g)
}

// RejectsUnread reports whether a request of a class is to be rejected before it is read in full, and with which answer. Fronts
// ask it; it takes no lock. The module has decided so for those just before it.
func (c *Core) RejectsUnread(front, class string) (Answer, bool) {
	g := c.gateOf(class)
	if g == nil || int64(c.clock()) >= g.closedUntil.Load() {
		return Answer{}, false
	}
	g.unread.Add(1)
	c.stats.Inc("unread", front, class)
	return *g.rejection.Load(), true
}

// updateGate tells a gate what the module has decided on an arrival. It is called under the lock.
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

// rejection is the answer by which a request that has just arrived was rejected, if it was.
func (t *task) rejection() (Answer, bool) {
	if n := len(t.events); n > 0 && t.events[n-1].kind == answerSettled && t.events[n-1].answer.Outcome == Rejected {
		return t.events[n-1].answer, true
	}
	return Answer{}, false
}

// reportUnread tells the module how many were rejected unread. It is called under the lock, at every tick.
func (c *Core) reportUnread() {
	for class, g := range c.allGates() {
		if n := g.unread.Swap(0); n > 0 {
			c.decide(func(m *silverpath.Shedder, now time.Duration) { m.RejectedUnread(now, class, int(n)) })
		}
	}
}

// updatePools keeps what operators see of the pools, and logs what changed. It is called under the lock, at every tick.
func (c *Core) updatePools() {
	now := c.clock()
	if c.pools == nil || now-c.poolsReadAt < poolsInterval {
		return
	}
	c.poolsReadAt = now
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

// ReloadPools takes up other pools, weights, floors and memory stages under load. No run is lost. The error is that of
// admission.Controller.Reload.
func (c *Core) ReloadPools(cfg admission.Config) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		return nil
	}
	return c.pools.Reload(cfg)
}

// MaxBody is the largest body that a front takes now, in bytes, of the largest that it ever takes: less while memory is short.
func (c *Core) MaxBody(limit int) int {
	if p := c.published.Load().Pools; p != nil {
		return p.Memory.MaxBody(limit)
	}
	return limit
}
