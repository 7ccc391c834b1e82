package admission

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The fixed seed makes the property tests repeatable.
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

// threePoolsWith returns threePools with other weights and floors and another fixed limit.
func threePoolsWith(weights, floors [3]float64, limit float64) Config {
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

// controllerHarness drives a controller with queues in front of it, from which classes are started in a given order as the module does.
type controllerHarness struct {
	t          testing.TB
	controller *Controller
	now        time.Duration
	seq        int
	queued     map[string][]string
	running    map[string]activeRun
	order      []string
	started    map[string]int // number of started runs, by class
}

func newHarness(t testing.TB, c Config) *controllerHarness {
	controller, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	h := &controllerHarness{t: t, controller: controller, queued: map[string][]string{}, running: map[string]activeRun{}, order: classes, started: map[string]int{}}
	controller.Tick(0, Readings{Ceiling: 1000})
	return h
}

func (h *controllerHarness) arrive(class string, n int) {
	for range n {
		h.seq++
		id := fmt.Sprint(h.seq)
		h.controller.Moved(h.now, id, class, Queued)
		h.queued[class] = append(h.queued[class], id)
	}
}

// startAdmitted starts the admitted requests in the order of classes. Each run takes runTime.
func (h *controllerHarness) startAdmitted(runTime time.Duration) {
	for _, class := range h.order {
		for len(h.queued[class]) > 0 && h.controller.HasCapacity(h.now, class) {
			id := h.queued[class][0]
			h.queued[class] = h.queued[class][1:]
			h.controller.Moved(h.now, id, class, Running)
			h.running[id] = activeRun{class, h.now + runTime}
			h.started[class]++
			if float64(len(h.running)) > h.controller.Limit() {
				h.t.Fatalf("%d runs with a limit of %v", len(h.running), h.controller.Limit())
			}
		}
	}
}

// advance advances time by duration in ticks. It calls beforeTick, unless nil, before each tick.
func (h *controllerHarness) advance(duration, runTime time.Duration, beforeTick func()) {
	for end := h.now + duration; h.now < end; {
		h.now += tickInterval
		for id, r := range h.running {
			if r.end <= h.now {
				h.controller.Moved(h.now, id, r.class, Finished)
				delete(h.running, id)
			}
		}
		if beforeTick != nil {
			beforeTick()
		}
		h.controller.Tick(h.now, Readings{Ceiling: 1000})
		h.startAdmitted(runTime)
	}
}

func (h *controllerHarness) runningCount(class string) (n int) {
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
		"floors over 1":             {func(c *Config) { c.Pools[0].Floor, c.Pools[1].Floor = 0.6, 0.5 }, "pools[0].floor, pools[1].floor, pools[2].floor: add up to 1.15, which is more than 1"},
		"no name":                   {func(c *Config) { c.Pools[1].Name = "" }, "pools[1].name: missing"},
		"name twice":                {func(c *Config) { c.Pools[1].Name = "sheets" }, `pools[1].name: "sheets" is already the name of pools[0]`},
		"class twice":               {func(c *Config) { c.Pools[2].Classes = []string{"krog"} }, `pools[2].classes: "krog" is already a class of pools[1]`},
		"negative weight":           {func(c *Config) { c.Pools[2].Weight = -1 }, "pools[2].weight: not a number of 0 or more: -1"},
		"floor over 1":              {func(c *Config) { c.Pools[2].Floor = 2 }, "pools[2].floor: not from 0 to 1: 2"},
		"two pools without classes": {func(c *Config) { c.Pools[0].Classes, c.Pools[2].Classes = nil, nil }, "pools[2].classes: empty, but pools[0] already has the classes that no pool lists"},
		"no pools":                  {func(c *Config) { c.Pools = nil }, "pools: no pool is configured"},
		"memory stages":             {func(c *Config) { c.Memory.Scarce = 0.5 }, "memory.scarce: under memory.tight: 0.5"},
		"negative limit":            {func(c *Config) { c.Limit.Min = -1 }, "limit.least: not a number of 0 or more: -1"},
	} {
		cfg := threePools()
		c.change(&cfg)
		if _, err := New(cfg); err == nil || err.Error() != c.want {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

// A pool is idle for minutes while others borrow its floor, and then its full load arrives at once. If the borrowers continued to start
// runs, the owner's requests would wait behind work of lower weight. Once the owner's first request has arrived, a pool that uses more than
// its entitlement may not start a run, and the owner must have its floor again within the time of one run.
func TestBorrowedCapacityReturnsWithinOneRun(t *testing.T) {
	h := newHarness(t, threePoolsWith([3]float64{1, 1, 1}, [3]float64{0.5, 0, 0}, 20))
	run := 300 * time.Millisecond
	h.order = []string{"lestvica", "krog", "oddaja"} // the module prefers the borrowers, so only the pools protect the owner
	h.advance(3*time.Minute, run, func() { h.arrive("lestvica", 5) })
	if n := h.runningCount("lestvica"); n != 20 {
		t.Fatalf("%d runs while the other pools are idle, want all 20", n)
	}
	h.arrive("oddaja", 200)
	startedBefore := h.started["lestvica"]
	h.advance(run+tickInterval, run, func() { h.arrive("lestvica", 5) })
	if n := h.runningCount("oddaja"); n < 10 {
		t.Errorf("owner has %d runs after the time of one run, want its floor of 10", n)
	}
	if got := h.started["lestvica"] - startedBefore; got > 10 {
		t.Errorf("borrower started %d runs while the owner waited, want at most its entitlement of 10", got)
	}
}

// Under a steady load of all pools, the runs of each pool stay within one run of its entitlement. Oscillating shares would cause
// oscillating latency.
func TestEntitlementsAreStableUnderSteadyLoad(t *testing.T) {
	h := newHarness(t, threePoolsWith([3]float64{2, 1, 1}, [3]float64{0.1, 0.1, 0.1}, 20))
	load := func() {
		for _, c := range classes {
			if len(h.queued[c]) < 100 {
				h.arrive(c, 10)
			}
		}
	}
	h.advance(5*time.Second, 300*time.Millisecond, load)
	minRunning, maxRunning := map[string]int{}, map[string]int{}
	for range 200 {
		h.advance(tickInterval, 300*time.Millisecond, load)
		for _, c := range classes {
			n := h.runningCount(c)
			if minRunning[c] == 0 || n < minRunning[c] {
				minRunning[c] = n
			}
			maxRunning[c] = max(maxRunning[c], n)
		}
	}
	for c, want := range map[string]int{"oddaja": 9, "krog": 5, "lestvica": 5} {
		if minRunning[c] < want || maxRunning[c] > want+1 {
			t.Errorf("%s: %d to %d runs, want %d or %d", c, minRunning[c], maxRunning[c], want, want+1)
		}
	}
}

// A class with very little traffic is served at once. An unlisted class is served by the default pool. A single class with all the
// traffic gets the whole limit. Without weights the order of the module decides.
func TestUnevenLoads(t *testing.T) {
	run := 300 * time.Millisecond
	t.Run("little traffic", func(t *testing.T) {
		h := newHarness(t, threePools())
		h.order = []string{"oddaja", "krog", "lestvica"}
		for range 10 {
			h.advance(2*time.Second, run, func() { h.arrive("oddaja", 10) })
			h.arrive("lestvica", 1)
			h.advance(run+tickInterval, run, func() { h.arrive("oddaja", 10) })
			if len(h.queued["lestvica"]) > 0 {
				t.Fatal("the single request of its class still waits after the time of one run")
			}
		}
	})
	t.Run("unlisted class", func(t *testing.T) {
		h := newHarness(t, threePools())
		h.order = append(h.order, "other")
		h.arrive("other", 1)
		h.advance(tickInterval, run, nil)
		if h.runningCount("other") != 1 || h.controller.Queue("other") != defaultPoolName {
			t.Fatalf("%d runs, queue %s", h.runningCount("other"), h.controller.Queue("other"))
		}
	})
	t.Run("all traffic in one class", func(t *testing.T) {
		h := newHarness(t, threePools())
		h.advance(time.Second, run, func() { h.arrive("lestvica", 5) })
		if n := h.runningCount("lestvica"); n != 20 {
			t.Fatalf("%d runs, want 20", n)
		}
	})
	t.Run("no weights", func(t *testing.T) {
		h := newHarness(t, threePoolsWith([3]float64{}, [3]float64{0.1, 0.1, 0.1}, 20))
		h.advance(3*time.Second, run, func() {
			for _, c := range classes {
				h.arrive(c, 5)
			}
		})
		if a, b, c := h.runningCount("oddaja"), h.runningCount("krog"), h.runningCount("lestvica"); a != 16 || b != 2 || c != 2 {
			t.Fatalf("%d, %d and %d runs, want floors of 2 and the rest for the first class", a, b, c)
		}
	})
}

// The limit falls below the number of pools, so that no floor is a whole run. Each pool must still be served in turn.
func TestLimitBelowPoolCountStarvesNoPool(t *testing.T) {
	h := newHarness(t, threePoolsWith([3]float64{100, 1, 0}, [3]float64{0.4, 0.3, 0.3}, 1))
	h.advance(20*time.Second, 100*time.Millisecond, func() {
		for _, c := range classes {
			if len(h.queued[c]) < 5 {
				h.arrive(c, 1)
			}
		}
	})
	for _, c := range classes {
		if h.started[c] < 5 {
			t.Errorf("%s: %d runs in 20 s, want at least 5", c, h.started[c])
		}
	}
}

// An operator changes weights and floors while all runs are in use. All runs stay counted, and the new floors are in effect within the
// time of one run. Invalid floors are rejected, and the previous ones remain in effect.
func TestReloadUnderLoadKeepsRuns(t *testing.T) {
	h := newHarness(t, threePoolsWith([3]float64{1, 0, 0}, [3]float64{0.8, 0, 0}, 20))
	run := 300 * time.Millisecond
	load := func() {
		for _, c := range classes {
			if len(h.queued[c]) < 100 {
				h.arrive(c, 20)
			}
		}
	}
	h.advance(2*time.Second, run, load)
	if h.runningCount("oddaja") < 16 || len(h.running) != 20 {
		t.Fatalf("%d of %d runs, want at least 16 of 20", h.runningCount("oddaja"), len(h.running))
	}
	if err := h.controller.Reload(threePoolsWith([3]float64{0, 0, 1}, [3]float64{0, 0.2, 0.6}, 20)); err != nil {
		t.Fatal(err)
	}
	if snapshot := h.controller.Snapshot(h.now); snapshot.Running != 20 || snapshot.Pools[0].Running != h.runningCount("oddaja") {
		t.Fatalf("wrong counts after the reload: %+v", snapshot)
	}
	h.advance(2*run, run, load)
	if a, b, c := h.runningCount("oddaja"), h.runningCount("krog"), h.runningCount("lestvica"); c < 12 || b < 4 || a > 4 {
		t.Errorf("%d, %d and %d runs, want the new floors of 0, 4 and 12", a, b, c)
	}
	invalid := threePoolsWith([3]float64{}, [3]float64{0.9, 0.9, 0}, 20)
	if err := h.controller.Reload(invalid); err == nil || !strings.Contains(err.Error(), "floor") {
		t.Errorf("reload with floors over 1: error %v, want one about a floor", err)
	}
}

// For random events: floors are guaranteed, no run starts beyond the limit, every run ends, no count is wrong or negative, and a pool
// below its floor is not refused while a run is free and no pool starves.
func TestFloorsAndLimitsHoldForRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var weights, floors [3]float64
		left := 1.0
		for i := range weights {
			weights[i] = rapid.Float64Range(0, 100).Draw(t, "weight")
			floors[i] = rapid.Float64Range(0, left).Draw(t, "floor")
			left -= floors[i]
		}
		controller, err := New(threePoolsWith(weights, floors, rapid.Float64Range(1, 40).Draw(t, "limit")))
		if err != nil {
			t.Fatal(err)
		}
		states := map[string]RequestState{}
		classOf := map[string]string{}
		var ids []string
		now := time.Duration(0)
		controller.Tick(now, Readings{Ceiling: 1000})
		count := func(c string, state RequestState) (n int) {
			for id, current := range states {
				if current == state && (c == "" || classOf[id] == c) {
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
				classOf[id], states[id] = rapid.SampledFrom(classes).Draw(t, "class"), Queued
				controller.Moved(now, id, classOf[id], Queued)
			case 2, 3:
				for _, id := range ids {
					if states[id] == Queued {
						hasCapacity := controller.HasCapacity(now, classOf[id])
						snapshot := controller.Snapshot(now)
						p := snapshot.Pools[strings.Index("okl", classOf[id][:1])]
						if !hasCapacity && float64(p.Running) < p.Floor && snapshot.RunLimit-float64(snapshot.Running) >= 1 && controller.longestStarved(now) == nil {
							t.Fatalf("%s is refused below its floor of %v: %+v", classOf[id], p.Floor, snapshot)
						}
						if hasCapacity {
							if float64(count("", Running)+1) > snapshot.RunLimit {
								t.Fatalf("run started beyond the limit: %+v", snapshot)
							}
							states[id] = Running
							controller.Moved(now, id, classOf[id], Running)
							break
						}
					}
				}
			case 4:
				for _, id := range ids {
					if states[id] == Running || states[id] == InCall {
						to := rapid.SampledFrom([]RequestState{Finished, InCall, Finished}).Draw(t, "to")
						states[id] = to
						controller.Moved(now, id, classOf[id], to)
						break
					}
				}
			case 5:
				controller.Tick(now, Readings{Ceiling: 1000})
			}
			snapshot := controller.Snapshot(now)
			entitlements := 0.0
			for i, p := range snapshot.Pools[:3] {
				if p.Running != count(classes[i], Running) || p.Queued != count(classes[i], Queued) || p.Entitlement < 0 {
					t.Fatalf("got %+v, want %d running and %d queued", p, count(classes[i], Running), count(classes[i], Queued))
				}
				entitlements += p.Entitlement
			}
			if entitlements > snapshot.RunLimit+3 { // each pool with a floor has at least one run
				t.Fatalf("entitlements of %v with a limit of %v", entitlements, snapshot.RunLimit)
			}
		}
		for _, id := range ids {
			controller.Moved(now, id, classOf[id], Finished)
		}
		if snapshot := controller.Snapshot(now); snapshot.Running != 0 || len(controller.requests) != 0 {
			t.Fatalf("requests remain after all finished: %+v", snapshot)
		}
	})
}
