package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"silverpath/internal/policy/lease"
)

// Lending. Inputs: the requests of routers, the capacity of cells, and the leader's clock. A router is lent its target, as far as it
// fits beside all that the others may still be using: of each grant that was sent and is neither acknowledged nor over, the largest.
// So the sum holds whichever of its grants a router uses. A leader that is new does not know what the one before it lent: for a lease
// it gives a router no more than that one says that it has.

// Request is what a router asks the group's leader for rates with. It is JSON between builds.
type Request struct {
	MaxRouters int          `json:"most"`    // routers that there can be, by this one's settings
	Applied    uint64       `json:"applied"` // the grant that it uses
	Rates      []Allocation `json:"parts"`   // that it uses
	Demand     []Allocation `json:"demand"`  // that it was asked for of late
}

// Allocation is a rate of a key.
type Allocation struct {
	Cell   string  `json:"c"`
	Tenant string  `json:"t"`
	Rate   float64 `json:"r"` // requests a second
}

// Grant is what a router is lent, with a lease.
type Grant struct {
	Seq   uint64       `json:"seq"` // rises with each, also from leader to leader
	Rates []Allocation `json:"parts"`
}

// grantPrecision is by what rates in grants are rounded down, in parts of a request a second: sums hold whatever is lost in writing
// them.
const grantRateSteps = 1e6

// Ledger is what the group's leader has lent. All times are its own monotonic clock. It is not safe for concurrent use: the member's
// loop alone calls it.
type Ledger struct {
	terms        lease.Terms
	leadingSince time.Duration // under 0: it does not lead
	term         uint64
	grantsSent   uint64 // sent in this term
	maxRouters   int
	cells        map[string]Capacity
	routers      map[string]*borrower
}

// borrower is a router that is lent rates.
type borrower struct {
	lastRequest time.Duration
	demand      map[Key]float64
	outstanding []outstandingGrant // what it may be using, the oldest first
}

// outstanding is a grant that a router may be using.
type outstandingGrant struct {
	seq    uint64
	sentAt time.Duration
	rates  map[Key]float64
}

// NewLedger returns the ledger of a member that does not lead.
func NewLedger(t lease.Terms) *Ledger { return &Ledger{terms: t, leadingSince: -1} }

// StartLeading records that the member has begun to lead, in a term of the group.
func (l *Ledger) StartLeading(now time.Duration, term uint64) {
	*l = Ledger{terms: l.terms, leadingSince: now, term: term, cells: l.cells, routers: map[string]*borrower{}}
}

// StopLeading records that the member has ceased to lead.
func (l *Ledger) StopLeading() { *l = Ledger{terms: l.terms, leadingSince: -1, cells: l.cells} }

// SetCapacity sets the capacity of cells, by their names. It is called with each new cell map and at its changes by the time alone.
func (l *Ledger) SetCapacity(cells map[string]Capacity) { l.cells = cells }

// Lend takes a router's request and returns what it is lent. It reports false, and lends nothing, where the member does not lead, or
// where routers were set up for different numbers of them: their reserves would then sum to another ratio.
func (l *Ledger) Lend(now time.Duration, router string, r Request) (Grant, bool) {
	if l.leadingSince < 0 || r.MaxRouters <= 0 {
		return Grant{}, false
	}
	if l.removeExpiredRouters(now); len(l.routers) == 0 {
		l.maxRouters = r.MaxRouters
	}
	b := l.routers[router]
	if b == nil {
		if r.MaxRouters != l.maxRouters || len(l.routers) >= l.maxRouters {
			return Grant{}, false
		}
		b = &borrower{}
		l.routers[router] = b
	}
	inUse, isNewLeader := ratesByKey(r.Rates), now-l.leadingSince < l.terms.LeaderTTL()
	firstRequest := b.lastRequest == 0
	l.recordRequest(now, b, r)
	if firstRequest && isNewLeader && len(inUse) > 0 { // lent by a leader before this one, and perhaps still valid
		b.outstanding = append(b.outstanding, outstandingGrant{r.Applied, now, inUse})
	}
	l.grantsSent++
	g := outstandingGrant{l.term<<32 + l.grantsSent, now, map[Key]float64{}}
	for cell, capacity := range l.cells {
		target := Targets(capacity, l.demand(now, cell, capacity))[router]
		if isNewLeader { // others may use what this leader has not heard of
			for tenant, rate := range target {
				target[tenant] = min(rate, inUse[Key{cell, tenant}])
			}
		}
		for tenant, rate := range l.clamp(now, cell, capacity, b, target) {
			g.rates[Key{cell, tenant}] = math.Floor(rate*grantRateSteps) / grantRateSteps
		}
	}
	b.outstanding = append(b.outstanding, g)
	return g.toGrant(), true
}

// take notes a router's demand, and forgets the grants that it can't be using any more.
func (l *Ledger) recordRequest(now time.Duration, b *borrower, r Request) {
	b.lastRequest, b.demand = now, map[Key]float64{}
	for _, d := range r.Demand {
		b.demand[Key{d.Cell, d.Tenant}] = max(0, d.Rate)
	}
	b.outstanding = slices.DeleteFunc(b.outstanding, func(o outstandingGrant) bool { return o.seq < r.Applied || now-o.sentAt >= l.terms.LeaderTTL() })
}

// demand is what all routers that were heard of within a lease are asked for of a cell, by router and tenant.
func (l *Ledger) demand(now time.Duration, cell string, c Capacity) map[string]map[string]float64 {
	demand := map[string]map[string]float64{}
	for name, b := range l.routers {
		if now-b.lastRequest < l.terms.LeaderTTL() {
			demand[name] = map[string]float64{}
			for tenant := range c.Tenants {
				demand[name][tenant] = b.demand[Key{cell, tenant}]
			}
		}
	}
	return demand
}

// clamp bounds what a router is to be lent of a cell so that with all that others may be using no constraint has more than there is.
func (l *Ledger) clamp(now time.Duration, cell string, c Capacity, to *borrower, target map[string]float64) map[string]float64 {
	constraints := c.constraints()
	left := make([]float64, len(constraints))
	for i, bound := range constraints {
		left[i] = bound.capacity * (1 - ReservedRatio)
	}
	for _, other := range l.routers {
		if other == to {
			continue
		}
		for i, rate := range l.maxInUse(now, cell, constraints, other) {
			left[i] -= rate
		}
	}
	clamped := maps.Clone(target)
	for i, bound := range constraints {
		sum := 0.0
		for _, tenant := range bound.tenants {
			sum += target[tenant]
		}
		for _, tenant := range bound.tenants {
			if sum > 0 {
				clamped[tenant] = min(clamped[tenant], target[tenant]*max(0, left[i])/sum)
			}
		}
	}
	return clamped
}

// maxInUse is the most that a router may be using of each constraint of a cell: it uses one of what it was lent.
func (l *Ledger) maxInUse(now time.Duration, cell string, constraints []constraint, b *borrower) []float64 {
	inUse := make([]float64, len(constraints))
	for _, o := range b.outstanding {
		if now-o.sentAt >= l.terms.LeaderTTL() {
			continue
		}
		for i, bound := range constraints {
			sum := 0.0
			for _, tenant := range bound.tenants {
				sum += o.rates[Key{cell, tenant}]
			}
			inUse[i] = max(inUse[i], sum)
		}
	}
	return inUse
}

// forgetSilent forgets the routers that can't be using a grant any more.
func (l *Ledger) removeExpiredRouters(now time.Duration) {
	maps.DeleteFunc(l.routers, func(_ string, b *borrower) bool { return now-b.lastRequest >= l.terms.LeaderTTL() })
}

// grant is the grant as it is sent, by cell and tenant.
func (o outstandingGrant) toGrant() Grant {
	g := Grant{Seq: o.seq}
	for _, k := range slices.SortedFunc(maps.Keys(o.rates), func(a, b Key) int {
		return cmp.Or(strings.Compare(a.Cell, b.Cell), strings.Compare(a.Tenant, b.Tenant))
	}) {
		g.Rates = append(g.Rates, Allocation{k.Cell, k.Tenant, o.rates[k]})
	}
	return g
}

func ratesByKey(list []Allocation) map[Key]float64 {
	rates := map[Key]float64{}
	for _, a := range list {
		rates[Key{a.Cell, a.Tenant}] = a.Rate
	}
	return rates
}

// LentRatio is the most that all routers together may be using of any constraint of a cell, as a ratio of what there is to lend. It is
// never above 1; members tell it with their status.
func (l *Ledger) LentRatio(now time.Duration, cell string) (ratio float64) {
	constraints := l.cells[cell].constraints()
	sums := make([]float64, len(constraints))
	for _, b := range l.routers {
		for i, rate := range l.maxInUse(now, cell, constraints, b) {
			sums[i] += rate
		}
	}
	for i, bound := range constraints {
		if bound.capacity > 0 {
			ratio = max(ratio, sums[i]/(bound.capacity*(1-ReservedRatio)))
		}
	}
	return ratio
}

// LentRatios are those of all cells, by their names.
func (l *Ledger) LentRatios(now time.Duration) map[string]float64 {
	all := map[string]float64{}
	for cell := range l.cells {
		all[cell] = l.LentRatio(now, cell)
	}
	return all
}
