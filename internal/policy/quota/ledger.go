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

// Granting. Inputs are the requests of routers, the capacity of cells and the leader's clock. A router is granted its target rates as
// far as they fit beside all that the other routers may still be using. For each of these routers that is the largest of its outstanding
// grants: those that were sent, are not superseded by an acknowledged one and have not expired. So the sum is within the capacity
// whichever grant a router uses. A new leader does not know the grants of its predecessor. For the length of a lease it grants a router
// no more than the router reports as in use.

// Request is the message by which a router asks the group's leader for rates. It is exchanged as JSON between builds.
type Request struct {
	MaxRouters int          `json:"most"`    // maximum number of routers in the settings of this router
	Applied    uint64       `json:"applied"` // sequence number of the grant in use
	Rates      []Allocation `json:"parts"`   // rates in use
	Demand     []Allocation `json:"demand"`  // rates of recent requests
}

// Allocation is the rate of a key.
type Allocation struct {
	Cell   string  `json:"c"`
	Tenant string  `json:"t"`
	Rate   float64 `json:"r"` // requests a second
}

// Grant is the leader's answer to a [Request]: rates that are valid for a lease.
type Grant struct {
	Seq   uint64       `json:"seq"` // increases with each grant, also across leaders
	Rates []Allocation `json:"parts"`
}

// grantRateSteps is the number of steps in a rate of one request a second. Rates in grants are rounded down to a step, so that their
// sums stay within the capacity despite rounding in JSON.
const grantRateSteps = 1e6

// Ledger records the grants of the group's leader. All times are of the leader's own monotonic clock. It is not safe for concurrent use:
// only the member's loop calls it.
type Ledger struct {
	terms        lease.Terms
	leadingSince time.Duration // negative: the member does not lead
	term         uint64
	grantsSent   uint64 // number of grants in this term
	maxRouters   int
	cells        map[string]Capacity
	routers      map[string]*borrower
}

// borrower is the state of a router that requests rates.
type borrower struct {
	lastRequest time.Duration
	demand      map[Key]float64
	outstanding []outstandingGrant // grants that the router may be using, the oldest first
}

// outstandingGrant is a grant that a router may be using.
type outstandingGrant struct {
	seq    uint64
	sentAt time.Duration
	rates  map[Key]float64
}

// NewLedger returns the ledger of a member that does not lead.
func NewLedger(t lease.Terms) *Ledger { return &Ledger{terms: t, leadingSince: -1} }

// StartLeading records that the member leads the group since now, in the given term. It discards all earlier grants.
func (l *Ledger) StartLeading(now time.Duration, term uint64) {
	*l = Ledger{terms: l.terms, leadingSince: now, term: term, cells: l.cells, routers: map[string]*borrower{}}
}

// StopLeading records that the member no longer leads the group.
func (l *Ledger) StopLeading() { *l = Ledger{terms: l.terms, leadingSince: -1, cells: l.cells} }

// SetCapacity sets the capacity of each cell, by cell name. It must be called with each new cell map and at each change that the map
// makes by time alone.
func (l *Ledger) SetCapacity(cells map[string]Capacity) { l.cells = cells }

// Grant records a router's request and returns its grant. It returns false and grants nothing if the member does not lead, if there are
// already MaxRouters routers, or if routers have different settings of MaxRouters: their reserves would not sum to [ReservedRatio].
func (l *Ledger) Grant(now time.Duration, router string, r Request) (Grant, bool) {
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
	if firstRequest && isNewLeader && len(inUse) > 0 { // granted by an earlier leader, and possibly still valid
		b.outstanding = append(b.outstanding, outstandingGrant{r.Applied, now, inUse})
	}
	l.grantsSent++
	g := outstandingGrant{l.term<<32 + l.grantsSent, now, map[Key]float64{}}
	for cell, capacity := range l.cells {
		target := Targets(capacity, l.demand(now, cell, capacity))[router]
		if isNewLeader { // other routers may use rates that this leader does not know
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

// recordRequest records the demand of a router and removes the grants that it can no longer be using.
func (l *Ledger) recordRequest(now time.Duration, b *borrower, r Request) {
	b.lastRequest, b.demand = now, map[Key]float64{}
	for _, d := range r.Demand {
		b.demand[Key{d.Cell, d.Tenant}] = max(0, d.Rate)
	}
	b.outstanding = slices.DeleteFunc(b.outstanding, func(o outstandingGrant) bool { return o.seq < r.Applied || now-o.sentAt >= l.terms.LeaderTTL() })
}

// demand returns the demand for a cell by router and tenant. It includes only routers whose last request is more recent than LeaderTTL.
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

// clamp limits the target rates of a router for a cell. Together with all that other routers may be using, no constraint exceeds the
// capacity that can be granted.
func (l *Ledger) clamp(now time.Duration, cell string, c Capacity, to *borrower, target map[string]float64) map[string]float64 {
	constraints := c.constraints()
	remaining := make([]float64, len(constraints))
	for i, bound := range constraints {
		remaining[i] = bound.capacity * (1 - ReservedRatio)
	}
	for _, other := range l.routers {
		if other == to {
			continue
		}
		for i, rate := range l.maxInUse(now, cell, constraints, other) {
			remaining[i] -= rate
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
				clamped[tenant] = min(clamped[tenant], target[tenant]*max(0, remaining[i])/sum)
			}
		}
	}
	return clamped
}

// maxInUse returns, for each constraint of a cell, the highest rate that a router may be using. For each unexpired grant of the router
// it sums the rates of the tenants of the constraint. It takes the largest of these sums, because a router uses one grant at a time.
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

// removeExpiredRouters removes the routers that can no longer be using a grant.
func (l *Ledger) removeExpiredRouters(now time.Duration) {
	maps.DeleteFunc(l.routers, func(_ string, b *borrower) bool { return now-b.lastRequest >= l.terms.LeaderTTL() })
}

// toGrant returns the grant as sent to the router, sorted by cell and tenant.
func (o outstandingGrant) toGrant() Grant {
	g := Grant{Seq: o.seq}
	for _, k := range slices.SortedFunc(maps.Keys(o.rates), func(a, b Key) int {
		return cmp.Or(strings.Compare(a.Cell, b.Cell), strings.Compare(a.Tenant, b.Tenant))
	}) {
		g.Rates = append(g.Rates, Allocation{k.Cell, k.Tenant, o.rates[k]})
	}
	return g
}

// ratesByKey returns the rates of a list by key.
func ratesByKey(list []Allocation) map[Key]float64 {
	rates := map[Key]float64{}
	for _, a := range list {
		rates[Key{a.Cell, a.Tenant}] = a.Rate
	}
	return rates
}

// GrantedRatio returns the highest ratio of the rates that all routers together may be using to the capacity that can be granted, over the
// constraints of a cell. It is never above 1. Members report it in their status.
func (l *Ledger) GrantedRatio(now time.Duration, cell string) (ratio float64) {
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

// GrantedRatios returns the result of [Ledger.GrantedRatio] for each cell, by cell name.
func (l *Ledger) GrantedRatios(now time.Duration) map[string]float64 {
	all := map[string]float64{}
	for cell := range l.cells {
		all[cell] = l.GrantedRatio(now, cell)
	}
	return all
}
