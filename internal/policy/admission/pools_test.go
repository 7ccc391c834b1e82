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
func init() { flag.Set("rapid.seed", "7"); flag.Set("rapid.nofailfile", "true") }

func three() Config {
	return Config{
		Pools: []Pool{
			{Name: "sheets", Classes: []string{"oddaja"}, Weight: 100, Floor: 0.25},
			{Name: "rounds", Classes: []string{"krog"}, Weight: 30, Floor: 0.1},
			{Name: "standings", Classes: []string{"lestvica"}, Weight: 1, Floor: 0.05},
		},
		Limit: Range{Fixed: 20},
	}
}

// with has weights and floors of one's own for the three pools.
func with(weights, floors [3]float64, limit float64) Config {
	c := three()
	c.Limit.Fixed = limit
	for i := range c.Pools {
		c.Pools[i].Weight, c.Pools[i].Floor = weights[i], floors[i]
	}
	return c
}

var classes = []string{"oddaja", "krog", "lestvica"}

type run struct {
	class string
	end   time.Duration
}

// hall is a set of pools with a hold in front of them, in which the module's order is that of the classes.
type hall struct {
	t       testing.TB
	set     *Set
	now     time.Duration
	seq     int
	hold    map[string][]string
	runs    map[string]run
	order   []string
	started map[string]int // since the last look
}

func newHall(t testing.TB, c Config) *hall {
	set, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	h := &hall{t: t, set: set, hold: map[string][]string{}, runs: map[string]run{}, order: classes, started: map[string]int{}}
	set.Tick(0, Readings{Ceiling: 1000})
	return h
}

func (h *hall) arrive(class string, n int) {
	for range n {
		h.seq++
		id := fmt.Sprint(h.seq)
		h.set.Moved(h.now, id, class, Waiting)
		h.hold[class] = append(h.hold[class], id)
	}
}

// start starts what there is room for, in the module's order; each run takes so long.
func (h *hall) start(took time.Duration) {
	for _, class := range h.order {
		for len(h.hold[class]) > 0 && h.set.HasCapacity(h.now, class) {
			id := h.hold[class][0]
			h.hold[class] = h.hold[class][1:]
			h.set.Moved(h.now, id, class, OnCores)
			h.runs[id] = run{class, h.now + took}
			h.started[class]++
			if float64(len(h.runs)) > h.set.Limit() {
				h.t.Fatalf("%d runs with a limit of %v", len(h.runs), h.set.Limit())
			}
		}
	}
}

// pass lets time pass in ticks; before, where given, is called at each.
func (h *hall) pass(d, run time.Duration, before func()) {
	for end := h.now + d; h.now < end; {
		h.now += tickSpan
		for id, r := range h.runs {
			if r.end <= h.now {
				h.set.Moved(h.now, id, r.class, Over)
				delete(h.runs, id)
			}
		}
		if before != nil {
			before()
		}
		h.set.Tick(h.now, Readings{Ceiling: 1000})
		h.start(run)
	}
}

func (h *hall) used(class string) (n int) {
	for _, r := range h.runs {
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
		"floors over 1":    {func(c *Config) { c.Pools[0].Floor, c.Pools[1].Floor = 0.6, 0.5 }, "pools[0].floor, pools[1].floor, pools[2].floor: add up to 1.15, more than there is"},
		"no name":          {func(c *Config) { c.Pools[1].Name = "" }, "pools[1].name: missing"},
		"name twice":       {func(c *Config) { c.Pools[1].Name = "sheets" }, `pools[1].name: "sheets" is that of pools[0] too`},
		"class twice":      {func(c *Config) { c.Pools[2].Classes = []string{"krog"} }, `pools[2].classes: "krog" is in pools[1] too`},
		"negative weight":  {func(c *Config) { c.Pools[2].Weight = -1 }, "pools[2].weight: not a number of 0 or more: -1"},
		"floor over 1":     {func(c *Config) { c.Pools[2].Floor = 2 }, "pools[2].floor: not from 0 to 1: 2"},
		"two for the rest": {func(c *Config) { c.Pools[0].Classes, c.Pools[2].Classes = nil, nil }, "pools[2].classes: none, as in pools[0]"},
		"none":             {func(c *Config) { c.Pools = nil }, "pools: none"},
		"memory":           {func(c *Config) { c.Memory.Scarce = 0.5 }, "memory.scarce: under memory.tight: 0.5"},
		"limit":            {func(c *Config) { c.Limit.Least = -1 }, "limit.least: not a number of 0 or more: -1"},
	} {
		cfg := three()
		c.change(&cfg)
		if _, err := New(cfg); err == nil || err.Error() != c.want {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

// A pool that idled for minutes while its share was lent gets its whole load at once: from then on nobody over its
// claim is granted anything, and by the time of one run its share has come back.
func TestLentShareComesBack(t *testing.T) {
	h := newHall(t, with([3]float64{1, 1, 1}, [3]float64{0.5, 0, 0}, 20))
	run := 300 * time.Millisecond
	h.order = []string{"lestvica", "krog", "oddaja"} // the module puts the owner last: the pools alone help it
	h.pass(3*time.Minute, run, func() { h.arrive("lestvica", 5) })
	if n := h.used("lestvica"); n != 20 {
		t.Fatalf("%d runs while the others idle, want all 20", n)
	}
	h.arrive("oddaja", 200)
	before := h.started["lestvica"]
	h.pass(run+tickSpan, run, func() { h.arrive("lestvica", 5) })
	if n := h.used("oddaja"); n < 10 {
		t.Errorf("%d runs of its own one run later, want its floor of 10", n)
	}
	if got := h.started["lestvica"] - before; got > 10 {
		t.Errorf("%d runs started past the lender, over the borrower's claim of 10", got)
	}
}

// Shares don't swing: under steady load of all, each keeps within a run of its claim.
func TestSharesHoldStill(t *testing.T) {
	h := newHall(t, with([3]float64{2, 1, 1}, [3]float64{0.1, 0.1, 0.1}, 20))
	load := func() {
		for _, c := range classes {
			if len(h.hold[c]) < 100 {
				h.arrive(c, 10)
			}
		}
	}
	h.pass(5*time.Second, 300*time.Millisecond, load)
	least, most := map[string]int{}, map[string]int{}
	for range 200 {
		h.pass(tickSpan, 300*time.Millisecond, load)
		for _, c := range classes {
			n := h.used(c)
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
func TestOddLoads(t *testing.T) {
	run := 300 * time.Millisecond
	t.Run("hardly any", func(t *testing.T) {
		h := newHall(t, three())
		h.order = []string{"oddaja", "krog", "lestvica"}
		for range 10 {
			h.pass(2*time.Second, run, func() { h.arrive("oddaja", 10) })
			h.arrive("lestvica", 1)
			h.pass(run+tickSpan, run, func() { h.arrive("oddaja", 10) })
			if len(h.hold["lestvica"]) > 0 {
				t.Fatal("the one request of its class still waits a run later")
			}
		}
	})
	t.Run("unknown", func(t *testing.T) {
		h := newHall(t, three())
		h.order = append(h.order, "other")
		h.arrive("other", 1)
		h.pass(tickSpan, run, nil)
		if h.used("other") != 1 || h.set.Queue("other") != rest {
			t.Fatalf("%d runs, line %s", h.used("other"), h.set.Queue("other"))
		}
	})
	t.Run("all in one", func(t *testing.T) {
		h := newHall(t, three())
		h.pass(time.Second, run, func() { h.arrive("lestvica", 5) })
		if n := h.used("lestvica"); n != 20 {
			t.Fatalf("%d runs, want 20", n)
		}
	})
	t.Run("no weights", func(t *testing.T) {
		h := newHall(t, with([3]float64{}, [3]float64{0.1, 0.1, 0.1}, 20))
		h.pass(3*time.Second, run, func() {
			for _, c := range classes {
				h.arrive(c, 5)
			}
		})
		if a, b, c := h.used("oddaja"), h.used("krog"), h.used("lestvica"); a != 16 || b != 2 || c != 2 {
			t.Fatalf("%d, %d and %d runs, want the floors of 2, and the rest for the first in order", a, b, c)
		}
	})
}

// A limit smaller than the number of pools still serves each, in turn.
func TestTinyLimitStarvesNobody(t *testing.T) {
	h := newHall(t, with([3]float64{100, 1, 0}, [3]float64{0.4, 0.3, 0.3}, 1))
	h.pass(20*time.Second, 100*time.Millisecond, func() {
		for _, c := range classes {
			if len(h.hold[c]) < 5 {
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

// New shares are taken up while every run is taken: nothing is lost, and the new floors hold a run later.
func TestReloadUnderLoad(t *testing.T) {
	h := newHall(t, with([3]float64{1, 0, 0}, [3]float64{0.8, 0, 0}, 20))
	run := 300 * time.Millisecond
	load := func() {
		for _, c := range classes {
			if len(h.hold[c]) < 100 {
				h.arrive(c, 20)
			}
		}
	}
	h.pass(2*time.Second, run, load)
	if h.used("oddaja") < 16 || len(h.runs) != 20 {
		t.Fatalf("%d of %d runs", h.used("oddaja"), len(h.runs))
	}
	if err := h.set.Reload(with([3]float64{0, 0, 1}, [3]float64{0, 0.2, 0.6}, 20)); err != nil {
		t.Fatal(err)
	}
	if st := h.set.State(h.now); st.OnCores != 20 || st.Pools[0].Used != h.used("oddaja") {
		t.Fatalf("after the reload %+v", st)
	}
	h.pass(2*run, run, load)
	if a, b, c := h.used("oddaja"), h.used("krog"), h.used("lestvica"); c < 12 || b < 4 || a > 4 {
		t.Errorf("%d, %d and %d runs, want the new floors of 0, 4 and 12", a, b, c)
	}
	bad := with([3]float64{}, [3]float64{0.9, 0.9, 0}, 20)
	if err := h.set.Reload(bad); err == nil || !strings.Contains(err.Error(), "floor") {
		t.Errorf("floors over 1: %v", err)
	}
}

// Over random events the floors hold, nothing is granted past the limit, every grant ends, no count goes negative, and
// a pool under its floor is never refused while there is room and nobody starves.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var weights, floors [3]float64
		left := 1.0
		for i := range weights {
			weights[i] = rapid.Float64Range(0, 100).Draw(t, "weight")
			floors[i] = rapid.Float64Range(0, left).Draw(t, "floor")
			left -= floors[i]
		}
		set, err := New(with(weights, floors, rapid.Float64Range(1, 40).Draw(t, "limit")))
		if err != nil {
			t.Fatal(err)
		}
		places := map[string]Place{}
		class := map[string]string{}
		var ids []string
		now := time.Duration(0)
		set.Tick(now, Readings{Ceiling: 1000})
		count := func(c string, p Place) (n int) {
			for id, at := range places {
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
				class[id], places[id] = rapid.SampledFrom(classes).Draw(t, "class"), Waiting
				set.Moved(now, id, class[id], Waiting)
			case 2, 3:
				for _, id := range ids {
					if places[id] == Waiting {
						room := set.HasCapacity(now, class[id])
						st := set.State(now)
						p := st.Pools[strings.Index("okl", class[id][:1])]
						if !room && float64(p.Used) < p.Floor && st.Limit-float64(st.OnCores) >= 1 && set.starving(now) == nil {
							t.Fatalf("%s is refused under its floor of %v: %+v", class[id], p.Floor, st)
						}
						if room {
							if float64(count("", OnCores)+1) > st.Limit {
								t.Fatalf("granted past the limit: %+v", st)
							}
							places[id] = OnCores
							set.Moved(now, id, class[id], OnCores)
							break
						}
					}
				}
			case 4:
				for _, id := range ids {
					if places[id] == OnCores || places[id] == Away {
						to := rapid.SampledFrom([]Place{Over, Away, Over}).Draw(t, "to")
						places[id] = to
						set.Moved(now, id, class[id], to)
						break
					}
				}
			case 5:
				set.Tick(now, Readings{Ceiling: 1000})
			}
			st := set.State(now)
			claims := 0.0
			for i, p := range st.Pools[:3] {
				if p.Used != count(classes[i], OnCores) || p.Waiting != count(classes[i], Waiting) || p.Claim < 0 {
					t.Fatalf("%+v, counted %d and %d", p, count(classes[i], OnCores), count(classes[i], Waiting))
				}
				claims += p.Claim
			}
			if claims > st.Limit+3 { // a whole run for each that has a floor at all
				t.Fatalf("claims of %v with a limit of %v", claims, st.Limit)
			}
		}
		for _, id := range ids {
			set.Moved(now, id, class[id], Over)
		}
		if st := set.State(now); st.OnCores != 0 || len(set.requests) != 0 {
			t.Fatalf("in the end %+v", st)
		}
	})
}

// The governor enters a stage at once, leaves it one at a time, and does not swing about a bound.
func TestGovernor(t *testing.T) {
	g := NewGovernor(Memory{})
	changes, last := 0, Plenty
	at := func(now time.Duration, booked, process float64) Stage {
		g.Tick(now, booked, process)
		if g.Stage() != last {
			changes, last = changes+1, g.Stage()
		}
		return g.Stage()
	}
	if at(0, 0.5, 0.2) != Plenty || at(1, 0.95, 0.2) != Critical || at(2, 0.1, 0.95) != Critical {
		t.Fatalf("stage %v", g.Stage())
	}
	if at(3, 0.95, 0.2); g.Admits(1) {
		t.Error("a critical stage takes something new")
	}
	for now := time.Second; now < 30*time.Second; now += tickSpan { // about the bound of Scarce
		at(now, 0.80+0.015*float64(int(now/tickSpan)%3-1), 0)
	}
	if g.Stage() != Scarce || changes > 4 {
		t.Errorf("stage %v after %d changes", g.Stage(), changes)
	}
	if g.Admits(0) || !g.Admits(1) || Scarce.Body(2048) != 512 {
		t.Error("scarce: the pools of less weight go first, and large bodies")
	}
	for now := 30 * time.Second; now < 40*time.Second; now += tickSpan {
		at(now, 0.2, 0.2)
	}
	if g.Stage() != Plenty {
		t.Errorf("stage %v in the end", g.Stage())
	}
}

// Who asks within its part is never held up, whatever 500 others do; who floods is, and gives way first.
func TestReserve(t *testing.T) {
	r := NewReserve(ReserveConfig{Cheap: 1000, Each: 50}, 400)
	now := time.Duration(0)
	for id := range uint64(501) {
		r.Opened(now, id)
	}
	next := make([]time.Duration, 501)
	answered, late := 0, 0
	for ; now < 5*time.Second; now += time.Millisecond {
		for id := uint64(1); id <= 500; id++ {
			if next[id] <= now {
				wait := r.Cheap(now, id)
				next[id] = now + wait + time.Millisecond
				answered++
			}
		}
		if now%(600*time.Millisecond) == 0 {
			if r.Cheap(now, 0) > 0 {
				late++
			}
		}
	}
	if late > 0 {
		t.Errorf("the peer that asks seldom was held up %d times", late)
	}
	if answered > 1000*5*3/2+500*10 {
		t.Errorf("%d answers to the flood in 5 s, with 1000 a second for all", answered)
	}
	if id, some := r.Victim(now); !some || id == 0 {
		t.Errorf("gives way: %d, %v", id, some)
	}
}

// Connections that carry work leave room for those that never do.
func TestReservedConnections(t *testing.T) {
	r := NewReserve(ReserveConfig{}, 80)
	took := 0
	for id := range uint64(80) {
		r.Opened(0, id)
		if r.Work(id) {
			took++
		}
	}
	if took != 70 || r.Kept() != 10 || !r.Work(0) {
		t.Errorf("%d connections of 80 carry work, %d kept", took, r.Kept())
	}
	r.Closed(0)
	r.Closed(0)
	r.Opened(0, 100)
	if !r.Work(100) || r.Work(101) {
		t.Error("a connection that ended does not free its place, or one that is not there has one")
	}
}

// A door shuts after a row of refusals, for less than a tick, and a request that was taken opens it.
func TestDoor(t *testing.T) {
	var d Door
	for range doorRow - 1 {
		d.Refused(0)
	}
	if d.Shut(0) {
		t.Error("shut too early")
	}
	if d.Refused(0); !d.Shut(0) || d.Shut(doorShut) {
		t.Errorf("shut until %v", d.Until())
	}
	if d.Taken(); d.Shut(0) {
		t.Error("still shut after one was taken")
	}
	for now := time.Duration(0); now < time.Minute; now += doorSpan + 1 { // refusals here and there are no flood
		if d.Refused(now); d.Shut(now) {
			t.Fatal("shut without a flood")
		}
	}
}
