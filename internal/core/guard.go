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
type guard struct {
	*admission.Set
	memory float64 // bytes that the process may have
	sample []metrics.Sample
	at     time.Duration // of the last look at the process's own memory
	share  float64
}

var _ silverpath.Pools = (*guard)(nil)

func newGuard(c admission.Config, memoryMB float64) (*guard, error) {
	set, err := admission.New(c)
	if err != nil {
		return nil, err
	}
	return &guard{Set: set, memory: memoryMB * (1 << 20), at: math.MinInt64 / 2, sample: []metrics.Sample{
		{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
	}}, nil
}

func (g *guard) Moved(now time.Duration, id, class string, to silverpath.Place) {
	g.Set.Moved(now, id, class, admission.Place(to))
}

func (g *guard) Tick(now time.Duration, ceiling float64, gauges silverpath.Gauges) {
	if now-g.at >= lookEvery {
		g.at = now
		metrics.Read(g.sample)
		g.share = (float64(g.sample[0].Value.Uint64()) - float64(g.sample[1].Value.Uint64())) / g.memory
	}
	g.Set.Tick(now, admission.Readings{Ceiling: ceiling, OnCores: gauges.OnCores, Booked: gauges.Memory, Process: g.share})
}

const (
	lookEvery = 100 * time.Millisecond // at the process's own memory, and for what operators see
	moved     = 0.25                   // part by which the limit must have moved to be logged again
	sayLimit  = 5 * time.Second        // and the least time between two such lines
)

// door is one class's door, beside what who is turned away there is told.
type door struct {
	admission.Door
	answer atomic.Pointer[Answer] // the module's latest refusal
	shut   atomic.Int64           // nanoseconds of the core's clock until which it is; read without the lock
	turned atomic.Int64           // since the module last heard
}

// doors are the doors by class. A map that is in use is never changed.
type doors map[string]*door

func (c *Core) allDoors() doors {
	if d := c.doors.Load(); d != nil {
		return *d
	}
	return nil
}

func (c *Core) door(class string) *door { return c.allDoors()[class] }

// hang gives every class of the settings its door; those that had one keep it.
func (c *Core) hang(set silverpath.Settings) {
	d := doors{}
	for _, k := range set.Classes {
		if k.Effect != silverpath.Safe || set.FreshFor != 0 {
			continue
		}
		if d[k.Name] = c.door(k.Name); d[k.Name] == nil {
			d[k.Name] = &door{}
		}
	}
	c.doors.Store(&d)
}

// Shut reports whether a request of a class is to be turned away before it is read in full, and with which answer. It
// takes no lock. The module has decided so for those just before it; a class whose requests may be repeats of one that
// has run is always read.
func (c *Core) Shut(front, class string) (Answer, bool) {
	d := c.door(class)
	if d == nil || int64(c.clock()) >= d.shut.Load() {
		return Answer{}, false
	}
	d.turned.Add(1)
	c.stats.Inc("unread", front, class)
	return *d.answer.Load(), true
}

// knock tells a door what the module has said to an arrival.
func (c *Core) knock(t *task) {
	d := c.door(t.Class)
	if d == nil {
		return
	}
	now := c.clock()
	if a, refused := t.refusal(); refused {
		d.answer.Store(&a)
		d.Refused(now)
	} else {
		d.Taken()
	}
	d.shut.Store(int64(d.Until()))
}

// refusal is the answer by which a request was turned away, if it was.
func (t *task) refusal() (Answer, bool) {
	if n := len(t.mail); n > 0 && t.mail[n-1].kind == toAnswer && t.mail[n-1].answer.Outcome == Refused {
		return t.mail[n-1].answer, true
	}
	return Answer{}, false
}

// watch keeps what operators see of the pools, tells the module who was turned away unread, and logs what changed. It
// is called under the lock, at every tick.
func (c *Core) watch() {
	for class, d := range c.allDoors() {
		if n := d.turned.Swap(0); n > 0 {
			c.decide(func(m *silverpath.Shedder, now time.Duration) { m.RejectedUnread(now, class, int(n)) })
		}
	}
	now := c.clock()
	if c.guard == nil || now-c.looked < lookEvery {
		return
	}
	c.looked = now
	old := c.view.Pools
	st := c.guard.State(now)
	c.view.Pools = &st
	if old == nil || old.Memory != st.Memory {
		events.Log(c.log, "pools.memory", st.Memory, st.Booked, st.Process)
	}
	for i, p := range st.Pools {
		was := old != nil && i < len(old.Pools) && old.Pools[i].Starving
		if p.Starving && !was {
			events.Log(c.log, "pools.starves", p.Name, p.Waiting, p.Used, p.Floor)
		}
	}
	if math.Abs(math.Log(st.Limit/c.saidLimit)) > moved && now-c.saidAt >= sayLimit {
		c.saidLimit, c.saidAt = st.Limit, now
		events.Log(c.log, "pools.limit", st.Limit, st.Ceiling, st.Belief)
	}
}

// ReloadPools takes up other pools, weights, floors and memory stages under load. No run is lost.
func (c *Core) ReloadPools(cfg admission.Config) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard == nil {
		return nil
	}
	return c.guard.Reload(cfg)
}

// MostBody is the largest body that a front takes now, of the largest that it ever takes.
func (c *Core) MostBody(most int) int {
	if p := c.shown.Load().Pools; p != nil {
		return p.Memory.Body(most)
	}
	return most
}
