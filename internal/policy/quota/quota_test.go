package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"silverpath/internal/policy/lease"
)

var terms = lease.Terms{TTL: time.Second, Drift: 0.05}

func one(capacity float64, rates ...float64) map[string]Capacity {
	w := Capacity{map[string]float64{"s": capacity}, map[string]Tenant{}}
	for i, r := range rates {
		w.Tenants[fmt.Sprint("t", i)] = Tenant{r, []string{"s"}}
	}
	return map[string]Capacity{"c": w}
}

func TestMaxMin(t *testing.T) {
	on := []int{0}
	for _, c := range []struct {
		caps   []float64
		claims []Claim
		want   []float64
	}{
		{[]float64{10}, []Claim{{1, 2, on}, {1, 20, on}}, []float64{2, 8}},
		{[]float64{10}, []Claim{{1, 20, on}, {3, 20, on}}, []float64{2.5, 7.5}},
		{[]float64{10}, []Claim{{1, 2, on}, {1, 2, on}}, []float64{5, 5}}, // what is left goes to all
		{[]float64{10}, []Claim{{1, 0, on}, {1, 20, on}}, []float64{0, 10}},
		{[]float64{10, 4}, []Claim{{1, 100, []int{0}}, {1, 100, []int{0, 1}}}, []float64{6, 4}}, // one lives on some servers of the other's alone
		{[]float64{10, 10}, []Claim{{1, 100, []int{0}}, {1, 100, []int{1}}}, []float64{10, 10}},
		{nil, []Claim{{1, 1, nil}}, []float64{0}},
	} {
		for i, got := range MaxMin(c.caps, c.claims) {
			if math.Abs(got-c.want[i]) > 1e-6 {
				t.Errorf("%v %+v: %v, want %v", c.caps, c.claims, got, c.want[i])
			}
		}
	}
}

// fault is what can be left out of the sum's guards.
type fault int

const (
	none      fault = iota
	noLease         // a router goes on with its part when its lease is over
	noClamp         // the leader gives everybody his target at once
	noWait          // a new leader does not wait for what it has not heard of
	anyAnswer       // an answer that was overtaken is taken
)

// router of a play, whose clock runs apart by the drift.
type router struct {
	name string
	h    *Holder
	rate float64
	out  []func()
	dark bool
}

func (r *router) clock(now time.Duration) time.Duration { return time.Duration(float64(now) * r.rate) }

// Whatever is lost, late or in another order, whoever is cut off, starts anew or leads: at no time do the parts that routers may use
// sum to more than the whole. Each guard that is left out is missed.
func TestSumHolds(t *testing.T) {
	for _, c := range []struct {
		out  fault
		harm bool
	}{{none, false}, {noLease, true}, {noClamp, true}, {noWait, true}, {anyAnswer, true}} {
		worst, full := 0.0, 0.0
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 20))
			cells := one(100, 60, 20, 0)
			l := NewLedger(terms)
			now, term := time.Duration(0), uint64(1)
			l.SetCapacity(cells)
			l.StartLeading(now, term)
			var routers []*router
			add := func() {
				n := len(routers)
				r := &router{name: fmt.Sprint("r", n), h: NewHolder(8, true), rate: []float64{0.96, 1, 1.04}[n%3]}
				r.h.SetCapacity(cells)
				routers = append(routers, r)
			}
			for range 4 {
				add()
			}
			load := func(r *router, tenant string) {
				for range rng.IntN(120) {
					r.h.Admit(r.clock(now), Key{"c", tenant})
				}
			}
			for range 400 {
				r := routers[rng.IntN(len(routers))]
				switch rng.IntN(12) {
				case 0, 1, 2:
					load(r, fmt.Sprint("t", rng.IntN(3)))
				case 3, 4, 5, 6: // it asks; the answer comes some time, or never
					if r.dark {
						break
					}
					asked := r.clock(now)
					w := r.h.Request(asked)
					g, ok := l.Lend(now, r.name, w)
					if c.out == noClamp && ok {
						for i, p := range g.Rates {
							g.Rates[i].Rate = Targets(l.cells["c"], demands(l, now))[r.name][p.Tenant]
						}
					}
					if ok {
						r.out = append(r.out, func() {
							if c.out == anyAnswer {
								r.h.grantSeq, w.Applied = 0, 0
							}
							r.h.TakeGrant(asked, w.Applied, g, terms)
						})
					}
				case 7, 8:
					if len(r.out) > 0 {
						i := rng.IntN(len(r.out))
						if rng.IntN(2) == 0 {
							i = len(r.out) - 1
						}
						r.out[i]()
						r.out = append(r.out[:i:i], r.out[i+1:]...)
					}
				case 9:
					now += time.Duration(rng.IntN(400)) * time.Millisecond
				case 10:
					r.dark = rng.IntN(3) == 0
				case 11:
					if rng.IntN(4) == 0 { // another member leads
						term++
						l.StopLeading()
						l.StartLeading(now, term)
						if c.out == noWait {
							l.leadingSince -= 2 * time.Second
						}
					} else if len(routers) < 8 && rng.IntN(8) == 0 {
						add()
					}
				}
				sum := 0.0
				for _, r := range routers {
					for tenant := range cells["c"].Tenants {
						k, at := Key{"c", tenant}, r.clock(now)
						if c.out == noLease {
							at = min(at, r.h.leaseUntil-1)
						}
						sum += r.h.Rate(at, k)
					}
				}
				worst = max(worst, sum)
				if len(routers) < 8 {
					full = max(full, sum)
				}
			}
		}
		if harm := worst > 100.0001; harm != c.harm {
			t.Errorf("fault %d: the parts sum to %.2f of 100", c.out, worst)
		}
		if full < 70 {
			t.Errorf("fault %d: never more than %.0f of 100 was lent", c.out, full)
		}
	}
}

func demands(l *Ledger, now time.Duration) map[string]map[string]float64 {
	all := map[string]map[string]float64{}
	for who, u := range l.routers {
		all[who] = map[string]float64{}
		for tenant := range l.cells["c"].Tenants {
			all[who][tenant] = u.demand[Key{"c", tenant}]
		}
	}
	return all
}

// play has routers ask each third of the lease, with a constant load, and calls at with each step.
func play(l *Ledger, hs map[string]*Holder, from, to time.Duration, load func(name string, now time.Duration) map[string]float64, at func(now time.Duration)) {
	due := map[string]float64{}
	for now := from; now < to; now += 10 * time.Millisecond {
		for name, h := range hs {
			for tenant, rate := range load(name, now) {
				for due[name+tenant] += rate / 100; due[name+tenant] >= 1; due[name+tenant]-- {
					h.Admit(now, Key{"c", tenant})
				}
			}
			if now%(340*time.Millisecond) == 0 {
				w := h.Request(now)
				if g, ok := l.Lend(now, name, w); ok {
					h.TakeGrant(now, w.Applied, g, terms)
				}
			}
		}
		at(now)
	}
}

// Rates follow demand: a tenant that floods gets what is left, one that is within its rate loses nothing, the load's shift to another router is
// followed within two and a half leases, and with a steady load the parts stand still. A router that joins, and one whose tenant was
// silent, get theirs as soon.
func TestRatesFollowDemand(t *testing.T) {
	cells := one(100, 30, 10)
	l := NewLedger(terms)
	l.SetCapacity(cells)
	l.StartLeading(0, 1)
	hs := map[string]*Holder{}
	add := func(name string) {
		hs[name] = NewHolder(8, true)
		hs[name].SetCapacity(cells)
	}
	for _, n := range []string{"r0", "r1", "r2"} {
		add(n)
	}
	part := func(name, tenant string, now time.Duration) float64 { return hs[name].Rate(now, Key{"c", tenant}) }
	shift := 10 * time.Second
	load := func(name string, now time.Duration) map[string]float64 {
		switch {
		case name == "r0" && now < shift, name == "r1" && now >= shift:
			return map[string]float64{"t0": 25, "t1": 300} // t0 within its rate, t1 floods
		}
		return nil
	}
	var low, high float64 = 1e9, 0
	play(l, hs, 0, shift, load, func(now time.Duration) {
		if now > 5*time.Second {
			low, high = min(low, part("r0", "t1", now)), max(high, part("r0", "t1", now))
		}
	})
	if p := part("r0", "t0", shift-1); p < 25 {
		t.Errorf("who is within its rate has %.1f", p)
	}
	if high-low > 0.1*high || low < 40 {
		t.Errorf("with a steady load from %.1f to %.1f", low, high)
	}
	if p := part("r2", "t1", shift-1); p > 5 {
		t.Errorf("a router without traffic holds %.1f", p)
	}
	followed := time.Duration(0)
	play(l, hs, shift, shift+10*time.Second, load, func(now time.Duration) {
		if followed == 0 && part("r1", "t0", now) >= 25 && part("r1", "t1", now) >= 40 {
			followed = now - shift
		}
		if now == shift+5*time.Second {
			add("r3")
		}
	})
	t.Logf("the shift was followed after %v", followed)
	if followed == 0 || followed > 2500*time.Millisecond {
		t.Errorf("the shift was followed after %v", followed)
	}
	if p := part("r3", "t0", shift+10*time.Second-1); p <= 0 {
		t.Error("a router that joined has nothing")
	}
	if lent := l.LentRatio(shift+10*time.Second, "c"); lent > 1.0001 {
		t.Errorf("%.3f of what there is was lent", lent)
	}
	// Cut off it keeps its part for a lease and no longer; what it has for good stays.
	now := shift + 10*time.Second
	if a, b := part("r1", "t0", now), part("r1", "t0", now+terms.TTL); b >= a || b <= 0 {
		t.Errorf("cut off: %.2f, then %.2f", a, b)
	}
	if n := NewHolder(8, false); n.Rate(0, Key{"c", "t0"}) != 0 {
		t.Error("one that may be there twice has a part for good")
	}
	if _, ok := l.Lend(now, "r9", Request{MaxRouters: 3}); ok {
		t.Error("routers were told of different numbers of them")
	}
}

// A request that was delayed was answered after a newer one. Its grant has a higher number, and was made by what the router used when it
// asked: another leader may have lent that since. Did the router take it, two could use what there is once. So it takes a grant only for
// a request that told what it uses now.
func TestGrantForAnEarlierRequestIsNotTaken(t *testing.T) {
	h, k := NewHolder(8, false), Key{"c", "t0"}
	grant := func(seq uint64, rate float64) Grant { return Grant{Seq: seq, Rates: []Allocation{{"c", "t0", rate}}} }
	h.TakeGrant(0, 0, grant(5, 10), terms)
	if got := h.Rate(0, k); got != 10 {
		t.Fatalf("of the first grant %v may be used", got)
	}
	h.TakeGrant(0, 0, grant(7, 90), terms) // asked for before the first was in use
	if got := h.Rate(0, k); got != 10 {
		t.Errorf("of a grant for an earlier request %v may be used", got)
	}
	h.TakeGrant(0, 5, grant(4, 90), terms) // overtaken
	if got := h.Rate(0, k); got != 10 {
		t.Errorf("of a grant that was overtaken %v may be used", got)
	}
	h.TakeGrant(0, 5, grant(8, 20), terms)
	if got := h.Rate(0, k); got != 20 {
		t.Errorf("of the next grant %v may be used", got)
	}
}
