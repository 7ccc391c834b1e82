package admission

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Property tests take the same course every time.
func init() {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func threePools() Config {
	return Config{
		Pools: []Pool{
			{Name: "sheets", Classes: []string{"oddaja"}, Weight: 100, Floor: 0.25},
			{Name: "rounds", Classes: []string{"krog"}, Weight: 30, Floor: 0.1},
			{Name: "standings", Classes: []string{"lestvica"}, Weight: 1, Floor: 0.05},
		},
		Limit: Bounds{Fixed: 20},
	}
}

// withWeights is three pools with other weights and floors, and a fixed limit.
func withWeights(weights, floors [3]float64, limit float64) Config {
	c := threePools()
	c.Limit.Fixed = limit
	for i := range c.Pools {
		c.Pools[i].Weight, c.Pools[i].Floor = weights[i], floors[i]
	}
	return c
}

var classes = []string{"oddaja", "krog", "lestvica"}

type activeRun struct {
	class string
	end   time.Duration
}

// harness is a controller with queues in front of it, from which the module takes classes in a given order.
type harness struct {
	t          testing.TB
	controller *Controller
	now        time.Duration
	seq        int
	queued     map[string][]string
	running    map[string]activeRun
	order      []string
	started    map[string]int // runs, by class
}

func newHarness(t testing.TB, c Config) *harness {
	controller, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, controller: controller, queued: map[string][]string{}, running: map[string]activeRun{}, order: classes, started: map[string]int{}}
	controller.Tick(0, Readings{Ceiling: 1000})
	return h
}

func (h *harness) arrive(class string, n int) {
	for range n {
		h.seq++
		id := fmt.Sprint(h.seq)
		h.controller.Moved(h.now, id, class, Queued)
		h.queued[class] = append(h.queued[class], id)
	}
}

// start starts what is admitted, in the module's order; each run takes so long.
func (h *harness) start(took time.Duration) {
	for _, class := range h.order {
		for len(h.queued[class]) > 0 && h.controller.HasCapacity(h.now, class) {
			id := h.queued[class][0]
			h.queued[class] = h.queued[class][1:]
			h.controller.Moved(h.now, id, class, Running)
			h.running[id] = activeRun{class, h.now + took}
			h.started[class]++
			if float64(len(h.running)) > h.controller.Limit() {
				h.t.Fatalf("%d runs with a limit of %v", len(h.running), h.controller.Limit())
			}
		}
	}
}

// pass lets time pass in ticks; before, where given, is called at each.
func (h *harness) pass(d, run time.Duration, before func()) {
	for end := h.now + d; h.now < end; {
		h.now += tickInterval
		for id, r := range h.running {
			if r.end <= h.now {
				h.controller.Moved(h.now, id, r.class, Finished)
				delete(h.running, id)
			}
		}
		if before != nil {
			before()
		}
		h.controller.Tick(h.now, Readings{Ceiling: 1000})
		h.start(run)
	}
}

func (h *harness) runningOf(class string) (n int) {
	for _, r := range h.running {
		if r.class == class {
			n++
		}
	}
	return n
}

func TestCheck(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		want   string
	}{
		"floors over 1":    {func(c *Config) { c.Pools[0].Floor, c.Pools[1].Floor = 0.6, 0.5 }, "pools[0].floor, pools[1].floor, pools[2].floor: add up to 1.15, which is more than 1"},
		"no name":          {func(c *Config) { c.Pools[1].Name = "" }, "pools[1].name: missing"},
		"name twice":       {func(c *Config) { c.Pools[1].Name = "sheets" }, `pools[1].name: "sheets" is already the name of pools[0]`},
		"class twice":      {func(c *Config) { c.Pools[2].Classes = []string{"krog"} }, `pools[2].classes: "krog" is already a class of pools[1]`},
		"negative weight":  {func(c *Config) { c.Pools[2].Weight = -1 }, "pools[2].weight: not a number of 0 or more: -1"},
		"floor over 1":     {func(c *Config) { c.Pools[2].Floor = 2 }, "pools[2].floor: not from 0 to 1: 2"},
		"two for the rest": {func(c *Config) { c.Pools[0].Classes, c.Pools[2].Classes = nil, nil }, "pools[2].classes: empty, but pools[0] already has the classes that no pool lists"},
		"none":             {func(c *Config) { c.Pools = nil }, "pools: no pool is configured"},
		"memory":           {func(c *Config) { c.Memory.Scarce = 0.5 }, "memory.scarce: under memory.tight: 0.5"},
		"limit":            {func(c *Config) { c.Limit.Min = -1 }, "limit.least: not a number of 0 or more: -1"},
	} {
		cfg := threePools()
		c.change(&cfg)
		if _, err := New(cfg); err == nil || err.Error() != c.want {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

// A pool idles for minutes while others borrow its floor, and then its whole load comes at once. Were the borrowers to go on, its
// requests would wait behind work that is worth less. From its first request on nobody beyond its entitlement starts a run, and by the
// time of one run the floor has come back.
func TestBorrowedCapacityReturnsWithinOneRun(t *testing.T) {
	h := newHarness(t, withWeights([3]float64{1, 1, 1}, [3]float64{0.5, 0, 0}, 20))
	run := 300 * time.Millisecond
	h.order = []string{"lestvica", "krog", "oddaja"} // the module puts the owner last: the pools alone help it
	h.pass(3*time.Minute, run, func() { h.arrive("lestvica", 5) })
	if n := h.runningOf("lestvica"); n != 20 {
		t.Fatalf("%d runs while the others idle, want all 20", n)
	}
	h.arrive("oddaja", 200)
	before := h.started["lestvica"]
	h.pass(run+tickInterval, run, func() { h.arrive("lestvica", 5) })
	if n := h.runningOf("oddaja"); n < 10 {
		t.Errorf("%d runs of its own one run later, want its floor of 10", n)
	}
	if got := h.started["lestvica"] - before; got > 10 {
		t.Errorf("%d runs started past the owner, over the borrower's entitlement of 10", got)
	}
}

// Under steady load of all pools each keeps within a run of its entitlement: parts that swing would show as latency that swings.
func TestEntitlementsAreStableUnderSteadyLoad(t *testing.T) {
	h := newHarness(t, withWeights([3]float64{2, 1, 1}, [3]float64{0.1, 0.1, 0.1}, 20))
	load := func() {
		for _, c := range classes {
			if len(h.queued[c]) < 100 {
				h.arrive(c, 10)
			}
		}
	}
	h.pass(5*time.Second, 300*time.Millisecond, load)
	least, most := map[string]int{}, map[string]int{}
	for range 200 {
		h.pass(tickInterval, 300*time.Millisecond, load)
		for _, c := range classes {
			n := h.runningOf(c)
			if least[c] == 0 || n < least[c] {
				least[c] = n
			}
			most[c] = max(most[c], n)
		}
	}
	for c, want := range map[string]int{"oddaja": 9, "krog": 5, "lestvica": 5} {
		if least[c] < want || most[c] > want+1 {
			t.Errorf("%s: %d to %d runs, want %d or %d", c, least[c], most[c], want, want+1)
		}
	}
}

// A class with hardly any traffic is served at once, an unknown one from what is left, all traffic in one class has all
// there is, and weights of zero leave the order to the module.
func TestUnevenLoads(t *testing.T) {
	run := 300 * time.Millisecond
	t.Run("hardly any", func(t *testing.T) {
		h := newHarness(t, threePools())
		h.order = []string{"oddaja", "krog", "lestvica"}
		for range 10 {
			h.pass(2*time.Second, run, func() { h.arrive("oddaja", 10) })
			h.arrive("lestvica", 1)
			h.pass(run+tickInterval, run, func() { h.arrive("oddaja", 10) })
			if len(h.queued["lestvica"]) > 0 {
				t.Fatal("the one request of its class still waits a run later")
			}
		}
	})
	t.Run("unknown", func(t *testing.T) {
		h := newHarness(t, threePools())
		h.order = append(h.order, "other")
		h.arrive("other", 1)
		h.pass(tickInterval, run, nil)
		if h.runningOf("other") != 1 || h.controller.Queue("other") != defaultPoolName {
			t.Fatalf("%d runs, line %s", h.runningOf("other"), h.controller.Queue("other"))
		}
	})
	t.Run("all in one", func(t *testing.T) {
		h := newHarness(t, threePools())
		h.pass(time.Second, run, func() { h.arrive("lestvica", 5) })
		if n := h.runningOf("lestvica"); n != 20 {
			t.Fatalf("%d runs, want 20", n)
		}
	})
	t.Run("no weights", func(t *testing.T) {
		h := newHarness(t, withWeights([3]float64{}, [3]float64{0.1, 0.1, 0.1}, 20))
		h.pass(3*time.Second, run, func() {
			for _, c := range classes {
				h.arrive(c, 5)
			}
		})
		if a, b, c := h.runningOf("oddaja"), h.runningOf("krog"), h.runningOf("lestvica"); a != 16 || b != 2 || c != 2 {
			t.Fatalf("%d, %d and %d runs, want the floors of 2, and the rest for the first in order", a, b, c)
		}
	})
}

// A limit falls below the number of pools, and no floor is a whole run any more. Each pool is still served, in turn.
func TestLimitBelowPoolCountStarvesNoPool(t *testing.T) {
	h := newHarness(t, withWeights([3]float64{100, 1, 0}, [3]float64{0.4, 0.3, 0.3}, 1))
	h.pass(20*time.Second, 100*time.Millisecond, func() {
		for _, c := range classes {
			if len(h.queued[c]) < 5 {
				h.arrive(c, 1)
			}
		}
	})
	for _, c := range classes {
		if h.started[c] < 5 {
			t.Errorf("%s: %d runs in 20 s", c, h.started[c])
		}
	}
}

// An operator changes weights and floors while every run is taken: nothing is lost, and the new floors hold a run later. Floors that
// can't be are refused, and the old ones hold.
func TestReloadUnderLoadKeepsRuns(t *testing.T) {
	h := newHarness(t, withWeights([3]float64{1, 0, 0}, [3]float64{0.8, 0, 0}, 20))
	run := 300 * time.Millisecond
	load := func() {
		for _, c := range classes {
			if len(h.queued[c]) < 100 {
				h.arrive(c, 20)
			}
		}
	}
	h.pass(2*time.Second, run, load)
	if h.runningOf("oddaja") < 16 || len(h.running) != 20 {
		t.Fatalf("%d of %d runs", h.runningOf("oddaja"), len(h.running))
	}
	if err := h.controller.Reload(withWeights([3]float64{0, 0, 1}, [3]float64{0, 0.2, 0.6}, 20)); err != nil {
		t.Fatal(err)
	}
	if st := h.controller.Snapshot(h.now); st.Running != 20 || st.Pools[0].Running != h.runningOf("oddaja") {
		t.Fatalf("after the reload %+v", st)
	}
	h.pass(2*run, run, load)
	if a, b, c := h.runningOf("oddaja"), h.runningOf("krog"), h.runningOf("lestvica"); c < 12 || b < 4 || a > 4 {
		t.Errorf("%d, %d and %d runs, want the new floors of 0, 4 and 12", a, b, c)
	}
	bad := withWeights([3]float64{}, [3]float64{0.9, 0.9, 0}, 20)
	if err := h.controller.Reload(bad); err == nil || !strings.Contains(err.Error(), "floor") {
		t.Errorf("floors over 1: %v", err)
	}
}

// Over random events the floors hold, no run starts past the limit, every run ends, no count goes negative, and a pool under its floor
// is never refused while a run is free and nobody starves.
func TestFloorsAndLimitsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var weights, floors [3]float64
		left := 1.0
		for i := range weights {
			weights[i] = rapid.Float64Range(0, 100).Draw(t, "weight")
			floors[i] = rapid.Float64Range(0, left).Draw(t, "floor")
			left -= floors[i]
		}
		set, err := New(withWeights(weights, floors, rapid.Float64Range(1, 40).Draw(t, "limit")))
		if err != nil {
			t.Fatal(err)
		}
		states := map[string]RequestState{}
		class := map[string]string{}
		var ids []string
		now := time.Duration(0)
		set.Tick(now, Readings{Ceiling: 1000})
		count := func(c string, p RequestState) (n int) {
			for id, at := range states {
				if at == p && (c == "" || class[id] == c) {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				id := fmt.Sprint(len(ids))
				ids = append(ids, id)
				class[id], states[id] = rapid.SampledFrom(classes).Draw(t, "class"), Queued
				set.Moved(now, id, class[id], Queued)
			case 2, 3:
				for _, id := range ids {
					if states[id] == Queued {
						room := set.HasCapacity(now, class[id])
						st := set.Snapshot(now)
						p := st.Pools[strings.Index("okl", class[id][:1])]
						if !room && float64(p.Running) < p.Floor && st.RunLimit-float64(st.Running) >= 1 && set.longestStarved(now) == nil {
							t.Fatalf("%s is refused under its floor of %v: %+v", class[id], p.Floor, st)
						}
						if room {
							if float64(count("", Running)+1) > st.RunLimit {
								t.Fatalf("started past the limit: %+v", st)
							}
							states[id] = Running
							set.Moved(now, id, class[id], Running)
							break
						}
					}
				}
			case 4:
				for _, id := range ids {
					if states[id] == Running || states[id] == InCall {
						to := rapid.SampledFrom([]RequestState{Finished, InCall, Finished}).Draw(t, "to")
						states[id] = to
						set.Moved(now, id, class[id], to)
						break
					}
				}
			case 5:
				set.Tick(now, Readings{Ceiling: 1000})
			}
			st := set.Snapshot(now)
			entitlements := 0.0
			for i, p := range st.Pools[:3] {
				if p.Running != count(classes[i], Running) || p.Queued != count(classes[i], Queued) || p.Entitlement < 0 {
					t.Fatalf("%+v, counted %d and %d", p, count(classes[i], Running), count(classes[i], Queued))
				}
				entitlements += p.Entitlement
			}
			if entitlements > st.RunLimit+3 { // a whole run for each that has a floor at all
				t.Fatalf("entitlements of %v with a limit of %v", entitlements, st.RunLimit)
			}
		}
		for _, id := range ids {
			set.Moved(now, id, class[id], Finished)
		}
		if st := set.Snapshot(now); st.Running != 0 || len(set.requests) != 0 {
			t.Fatalf("in the end %+v", st)
		}
	})
}
