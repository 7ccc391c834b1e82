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

func oneServerCell(capacity float64, rates ...float64) map[string]Capacity {
	cell := Capacity{map[string]float64{"s": capacity}, map[string]Tenant{}}
	for i, r := range rates {
		cell.Tenants[fmt.Sprint("t", i)] = Tenant{r, []string{"s"}}
	}
	return map[string]Capacity{"c": cell}
}

func TestMaxMin(t *testing.T) {
	on := []int{0}
	for _, c := range []struct {
		capacities []float64
		claims     []Claim
		want       []float64
	}{
		{[]float64{10}, []Claim{{1, 2, on}, {1, 20, on}}, []float64{2, 8}},
		{[]float64{10}, []Claim{{1, 20, on}, {3, 20, on}}, []float64{2.5, 7.5}},
		{[]float64{10}, []Claim{{1, 2, on}, {1, 2, on}}, []float64{5, 5}}, // the remainder goes to all claims
		{[]float64{10}, []Claim{{1, 0, on}, {1, 20, on}}, []float64{0, 10}},
		{[]float64{10, 4}, []Claim{{1, 100, []int{0}}, {1, 100, []int{0, 1}}}, []float64{6, 4}}, // the second claim uses a subset of the first claim's servers
		{[]float64{10, 10}, []Claim{{1, 100, []int{0}}, {1, 100, []int{1}}}, []float64{10, 10}},
		{nil, []Claim{{1, 1, nil}}, []float64{0}},
	} {
		for i, got := range MaxMin(c.capacities, c.claims) {
			if math.Abs(got-c.want[i]) > 1e-6 {
				t.Errorf("%v %+v: %v, want %v", c.capacities, c.claims, got, c.want[i])
			}
		}
	}
}

// omittedGuard is a guard of the sum of rates that a test case leaves out.
type omittedGuard int

const (
	noneOmitted     omittedGuard = iota
	leaseExpiry                  // a router continues to use its grant after the lease has ended
	ledgerClamp                  // the leader grants every router its target rates at once
	newLeaderWait                // a new leader does not wait for the grants of its predecessor to end
	staleGrantCheck              // a router applies a reply that a later one has overtaken
)

// router is a simulated router whose clock deviates by the allowed drift.
type router struct {
	name           string
	holder         *Holder
	speed          float64
	pendingReplies []func()
	disconnected   bool
}

func (r *router) clock(now time.Duration) time.Duration { return time.Duration(float64(now) * r.speed) }

// Replies are lost, late or reordered, and routers are cut off, join, or get another leader. The rates that routers may use must never
// sum to more than the capacity. Without any one of the guards the sum exceeds the capacity.
func TestSumHolds(t *testing.T) {
	for _, c := range []struct {
		omitted omittedGuard
		exceeds bool
	}{{noneOmitted, false}, {leaseExpiry, true}, {ledgerClamp, true}, {newLeaderWait, true}, {staleGrantCheck, true}} {
		maxSum, maxSumWithFreeSlot := 0.0, 0.0
		for seed := range uint64(300) {
			rng := rand.New(rand.NewPCG(seed, 20))
			capacities := oneServerCell(100, 60, 20, 0)
			l := NewLedger(terms)
			now, term := time.Duration(0), uint64(1)
			l.SetCapacity(capacities)
			l.StartLeading(now, term)
			var routers []*router
			add := func() {
				n := len(routers)
				r := &router{name: fmt.Sprint("r", n), holder: NewHolder(8, true), speed: []float64{0.96, 1, 1.04}[n%3]}
				r.holder.SetCapacity(capacities)
				routers = append(routers, r)
			}
			for range 4 {
				add()
			}
			load := func(r *router, tenant string) {
				for range rng.IntN(120) {
					r.holder.Admit(r.clock(now), Key{"c", tenant})
				}
			}
			for range 400 {
				r := routers[rng.IntN(len(routers))]
				switch rng.IntN(12) {
				case 0, 1, 2:
					load(r, fmt.Sprint("t", rng.IntN(3)))
				case 3, 4, 5, 6: // the router sends a request; the reply arrives later or never
					if r.disconnected {
						break
					}
					requestedAt := r.clock(now)
					request := r.holder.Request(requestedAt)
					g, ok := l.Grant(now, r.name, request)
					if c.omitted == ledgerClamp && ok {
						for i, allocation := range g.Rates {
							g.Rates[i].Rate = Targets(l.cells["c"], reportedDemand(l, now))[r.name][allocation.Tenant]
						}
					}
					if ok {
						r.pendingReplies = append(r.pendingReplies, func() {
							if c.omitted == staleGrantCheck {
								r.holder.grantSeq, request.Applied = 0, 0
							}
							r.holder.ApplyGrant(requestedAt, request.Applied, g, terms)
						})
					}
				case 7, 8:
					if len(r.pendingReplies) > 0 {
						i := rng.IntN(len(r.pendingReplies))
						if rng.IntN(2) == 0 {
							i = len(r.pendingReplies) - 1
						}
						r.pendingReplies[i]()
						r.pendingReplies = append(r.pendingReplies[:i:i], r.pendingReplies[i+1:]...)
					}
				case 9:
					now += time.Duration(rng.IntN(400)) * time.Millisecond
				case 10:
					r.disconnected = rng.IntN(3) == 0
				case 11:
					if rng.IntN(4) == 0 { // another member becomes leader
						term++
						l.StopLeading()
						l.StartLeading(now, term)
						if c.omitted == newLeaderWait {
							l.leadingSince -= 2 * time.Second
						}
					} else if len(routers) < 8 && rng.IntN(8) == 0 {
						add()
					}
				}
				sum := 0.0
				for _, r := range routers {
					for tenant := range capacities["c"].Tenants {
						k, at := Key{"c", tenant}, r.clock(now)
						if c.omitted == leaseExpiry {
							at = min(at, r.holder.leaseUntil-1)
						}
						sum += r.holder.Rate(at, k)
					}
				}
				maxSum = max(maxSum, sum)
				if len(routers) < 8 {
					maxSumWithFreeSlot = max(maxSumWithFreeSlot, sum)
				}
			}
		}
		if exceeds := maxSum > 100.0001; exceeds != c.exceeds {
			t.Errorf("omitted guard %d: the rates sum to %.2f of 100", c.omitted, maxSum)
		}
		if maxSumWithFreeSlot < 70 {
			t.Errorf("omitted guard %d: at most %.0f of 100 was granted, want at least 70", c.omitted, maxSumWithFreeSlot)
		}
	}
}

func reportedDemand(l *Ledger, now time.Duration) map[string]map[string]float64 {
	all := map[string]map[string]float64{}
	for name, b := range l.routers {
		all[name] = map[string]float64{}
		for tenant := range l.cells["c"].Tenants {
			all[name][tenant] = b.demand[Key{"c", tenant}]
		}
	}
	return all
}

// simulate lets routers send a request every 340 ms, a third of the lease, under a load, and calls eachStep every 10 ms.
func simulate(l *Ledger, holders map[string]*Holder, from, to time.Duration, load func(name string, now time.Duration) map[string]float64, eachStep func(now time.Duration)) {
	due := map[string]float64{}
	for now := from; now < to; now += 10 * time.Millisecond {
		for name, h := range holders {
			for tenant, rate := range load(name, now) {
				for due[name+tenant] += rate / 100; due[name+tenant] >= 1; due[name+tenant]-- {
					h.Admit(now, Key{"c", tenant})
				}
			}
			if now%(340*time.Millisecond) == 0 {
				request := h.Request(now)
				if g, ok := l.Grant(now, name, request); ok {
					h.ApplyGrant(now, request.Applied, g, terms)
				}
			}
		}
		eachStep(now)
	}
}

// A tenant that floods gets the remainder, and a tenant within its rate loses nothing. A shift of load to another router is followed
// within two and a half leases, and rates are stable under a steady load. A router that joins, or that had no requests of a tenant
// before, gets a rate too.
func TestRatesFollowDemand(t *testing.T) {
	capacities := oneServerCell(100, 30, 10)
	l := NewLedger(terms)
	l.SetCapacity(capacities)
	l.StartLeading(0, 1)
	holders := map[string]*Holder{}
	add := func(name string) {
		holders[name] = NewHolder(8, true)
		holders[name].SetCapacity(capacities)
	}
	for _, n := range []string{"r0", "r1", "r2"} {
		add(n)
	}
	rateOf := func(name, tenant string, now time.Duration) float64 { return holders[name].Rate(now, Key{"c", tenant}) }
	shiftAt := 10 * time.Second
	load := func(name string, now time.Duration) map[string]float64 {
		switch {
		case name == "r0" && now < shiftAt, name == "r1" && now >= shiftAt:
			return map[string]float64{"t0": 25, "t1": 300} // t0 within its rate, t1 floods
		}
		return nil
	}
	var minRate, maxRate float64 = 1e9, 0
	simulate(l, holders, 0, shiftAt, load, func(now time.Duration) {
		if now > 5*time.Second {
			minRate, maxRate = min(minRate, rateOf("r0", "t1", now)), max(maxRate, rateOf("r0", "t1", now))
		}
	})
	if rate := rateOf("r0", "t0", shiftAt-1); rate < 25 {
		t.Errorf("tenant within its rate has %.1f, want at least 25", rate)
	}
	if maxRate-minRate > 0.1*maxRate || minRate < 40 {
		t.Errorf("under a steady load the rate varies from %.1f to %.1f", minRate, maxRate)
	}
	if rate := rateOf("r2", "t1", shiftAt-1); rate > 5 {
		t.Errorf("a router without traffic has a rate of %.1f, want at most 5", rate)
	}
	followedAfter := time.Duration(0)
	simulate(l, holders, shiftAt, shiftAt+10*time.Second, load, func(now time.Duration) {
		if followedAfter == 0 && rateOf("r1", "t0", now) >= 25 && rateOf("r1", "t1", now) >= 40 {
			followedAfter = now - shiftAt
		}
		if now == shiftAt+5*time.Second {
			add("r3")
		}
	})
	t.Logf("rates followed the shift of load after %v", followedAfter)
	if followedAfter == 0 || followedAfter > 2500*time.Millisecond {
		t.Errorf("rates followed the shift of load after %v, want at most 2.5s", followedAfter)
	}
	if rate := rateOf("r3", "t0", shiftAt+10*time.Second-1); rate <= 0 {
		t.Error("a router that joined has no rate")
	}
	if grantedRatio := l.GrantedRatio(shiftAt+10*time.Second, "c"); grantedRatio > 1.0001 {
		t.Errorf("%.3f of the grantable capacity is granted", grantedRatio)
	}
	// A router that is cut off keeps its granted rate for one lease only. Its reserve remains.
	now := shiftAt + 10*time.Second
	if connected, expired := rateOf("r1", "t0", now), rateOf("r1", "t0", now+terms.TTL); expired >= connected || expired <= 0 {
		t.Errorf("rate of %.2f before and %.2f after the lease of a router that is cut off, want only the reserve after", connected, expired)
	}
	if holder := NewHolder(8, false); holder.Rate(0, Key{"c", "t0"}) != 0 {
		t.Error("a router that may run twice has a reserve")
	}
	if _, ok := l.Grant(now, "r9", Request{MaxRouters: 3}); ok {
		t.Error("a router with another maximum number of routers was granted rates")
	}
}

// The reply to a delayed request arrives after that to a newer one. Its grant has a higher sequence number, but it was computed from the
// grant that the router used when it sent the request, and another leader may have granted those rates since. If the router applied it,
// two routers could use the same capacity. So a router applies a grant only for a request that reported the grant now in use.
func TestGrantForAnEarlierRequestIsNotTaken(t *testing.T) {
	h, k := NewHolder(8, false), Key{"c", "t0"}
	grant := func(seq uint64, rate float64) Grant { return Grant{Seq: seq, Rates: []Allocation{{"c", "t0", rate}}} }
	h.ApplyGrant(0, 0, grant(5, 10), terms)
	if got := h.Rate(0, k); got != 10 {
		t.Fatalf("rate %v after the first grant, want 10", got)
	}
	h.ApplyGrant(0, 0, grant(7, 90), terms) // requested before the first grant was in use
	if got := h.Rate(0, k); got != 10 {
		t.Errorf("rate %v after a grant for an earlier request, want 10", got)
	}
	h.ApplyGrant(0, 5, grant(4, 90), terms) // older than the grant in use
	if got := h.Rate(0, k); got != 10 {
		t.Errorf("rate %v after an older grant, want 10", got)
	}
	h.ApplyGrant(0, 5, grant(8, 20), terms)
	if got := h.Rate(0, k); got != 20 {
		t.Errorf("rate %v after the next grant, want 20", got)
	}
}
