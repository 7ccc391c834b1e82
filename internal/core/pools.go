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

// guard is the pools as the module asks them.
type poolGuard struct {
	*admission.Controller
	memoryBytes float64 // bytes that the process may have
	sample      []metrics.Sample
	sampledAt   time.Duration // of the last look at the process's own memory
	memoryShare float64
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

func (g *poolGuard) Moved(now time.Duration, id, class string, to silverpath.Place) {
	g.Controller.Moved(now, id, class, admission.RequestState(to))
}

func (g *poolGuard) Tick(now time.Duration, ceiling float64, gauges silverpath.Gauges) {
	if now-g.sampledAt >= poolsInterval {
		g.sampledAt = now
		metrics.Read(g.sample)
		g.memoryShare = (float64(g.sample[0].Value.Uint64()) - float64(g.sample[1].Value.Uint64())) / g.memoryBytes
	}
	g.Controller.Tick(now, admission.Readings{Ceiling: ceiling, Load: gauges.OnCores, BookedMemory: gauges.Memory, ProcessMemory: g.memoryShare})
}

const (
	poolsInterval    = 100 * time.Millisecond // at the process's own memory, and for what operators see
	limitLogChange   = 0.25                   // part by which the limit must have moved to be logged again
	limitLogInterval = 5 * time.Second        // and the least time between two such lines
)

// door is one class's door, beside what who is turned away there is told.
type gate struct {
	admission.ArrivalGate
	rejection   atomic.Pointer[Answer] // the module's latest refusal
	closedUntil atomic.Int64           // nanoseconds of the core's clock until which it is; read without the lock
	unread      atomic.Int64           // since the module last heard
}

// doors are the doors by class. A map that is in use is never changed.
type gates map[string]*gate

func (c *Core) allGates() gates {
	if d := c.gates.Load(); d != nil {
		return *d
	}
	return nil
}

func (c *Core) gateOf(class string) *gate { return c.allGates()[class] }

// hang gives every class of the settings its door; those that had one keep it.
func (c *Core) setGates(set silverpath.Settings) {
	d := gates{}
	for _, k := range set.Classes {
		if k.Effect != silverpath.Safe || set.FreshFor != 0 {
			continue
		}
		if d[k.Name] = c.gateOf(k.Name); d[k.Name] == nil {
			d[k.Name] = &gate{}
		}
	}
	c.gates.Store(&d)
}

// Shut reports whether a request of a class is to be turned away before it is read in full, and with which answer. It
// takes no lock. The module has decided so for those just before it; a class whose requests may be repeats of one that
// has run is always read.
func (c *Core) RejectsUnread(front, class string) (Answer, bool) {
	d := c.gateOf(class)
	if d == nil || int64(c.clock()) >= d.closedUntil.Load() {
		return Answer{}, false
	}
	d.unread.Add(1)
	c.stats.Inc("unread", front, class)
	return *d.rejection.Load(), true
}

// knock tells a door what the module has said to an arrival.
func (c *Core) updateGate(t *task) {
	d := c.gateOf(t.Class)
	if d == nil {
		return
	}
	now := c.clock()
	if a, refused := t.rejection(); refused {
		d.rejection.Store(&a)
		d.Rejected(now)
	} else {
		d.Accepted()
	}
	d.closedUntil.Store(int64(d.ClosedUntil()))
}

// refusal is the answer by which a request was turned away, if it was.
func (t *task) rejection() (Answer, bool) {
	if n := len(t.events); n > 0 && t.events[n-1].kind == answerSettled && t.events[n-1].answer.Outcome == Rejected {
		return t.events[n-1].answer, true
	}
	return Answer{}, false
}

// watch keeps what operators see of the pools, tells the module who was turned away unread, and logs what changed. It
// is called under the lock, at every tick.
func (c *Core) updatePools() {
	for class, d := range c.allGates() {
		if n := d.unread.Swap(0); n > 0 {
			c.decide(func(m *silverpath.Shedder, now time.Duration) { m.RejectedUnread(now, class, int(n)) })
		}
	}
	now := c.clock()
	if c.pools == nil || now-c.poolsSeenAt < poolsInterval {
		return
	}
	c.poolsSeenAt = now
	old := c.view.Pools
	st := c.pools.Snapshot(now)
	c.view.Pools = &st
	if old == nil || old.Memory != st.Memory {
		events.Log(c.log, "pools.memory", st.Memory, st.BookedMemory, st.ProcessMemory)
	}
	for i, p := range st.Pools {
		was := old != nil && i < len(old.Pools) && old.Pools[i].Starving
		if p.Starving && !was {
			events.Log(c.log, "pools.starves", p.Name, p.Queued, p.Running, p.Floor)
		}
	}
	if math.Abs(math.Log(st.RunLimit/c.loggedLimit)) > limitLogChange && now-c.limitLoggedAt >= limitLogInterval {
		c.loggedLimit, c.limitLoggedAt = st.RunLimit, now
		events.Log(c.log, "pools.limit", st.RunLimit, st.Ceiling, st.Diagnosis)
	}
}

// ReloadPools takes up other pools, weights, floors and memory stages under load. No run is lost.
func (c *Core) ReloadPools(cfg admission.Config) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		return nil
	}
	return c.pools.Reload(cfg)
}

// MostBody is the largest body that a front takes now, of the largest that it ever takes.
func (c *Core) MaxBody(most int) int {
	if p := c.published.Load().Pools; p != nil {
		return p.Memory.MaxBody(most)
	}
	return most
}
