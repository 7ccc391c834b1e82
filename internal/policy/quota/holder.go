package quota

import (
	"maps"
	"math"
	"time"

	"silverpath/internal/policy/lease"
)

// Admission within a quota. Inputs: the grant of the group's leader and its lease, the router's reserve, and the requests of each key.
// A key's requests are admitted by a token bucket that the key's rate fills: what the router was lent while the lease holds, and its
// reserve. What it was asked for of late, admitted or not, is the demand that it tells the leader.
const (
	demandTimeConstant = 1.0         // seconds over which demand is averaged; longer follows a shift of load later, shorter is moved by chance
	burstSeconds       = 1.0         // seconds of a rate that may be used at once
	minBurst           = 6.0         // requests that may be used at once, so that a rate of less than one a second is of use
	minDemand          = 0.01        // requests a second; less is not told
	keyIdleTimeout     = time.Minute // without a request, of a key whose demand is under minDemand
	maxKeysListed      = 256         // keys that Rates lists whatever they are; more are too long for a status
)

// Holder is the side of a router: what it was lent, what it is asked for, and whether one more request is within its quota. All times
// are the router's own monotonic clock. It is not safe for concurrent use: the proxy calls it under its lock.
type Holder struct {
	maxRouters      int
	hasReserve      bool // no second router can be there under its name, so that it has its part of the reserve
	grantSeq        uint64
	leaseUntil      time.Duration
	granted         map[Key]float64
	reserved        map[Key]float64
	reservedPerCell map[string]float64 // by cell
	usage           map[Key]*keyUsage
	counts          Counts
}

// Counts are what a holder has decided since the start.
type Counts struct {
	Within uint64 // requests that were admitted
	Beyond uint64 // and those that were beyond the quota
}

// keyUse is what a key is asked for, and its token bucket.
type keyUsage struct {
	demand   float64 // requests a second, a moving average
	demandAt time.Duration
	tokens   float64
	filledAt time.Duration
}

// NewHolder returns the side of one of at most so many routers. HasReserve says that nobody else can be there under its name.
func NewHolder(maxRouters int, hasReserve bool) *Holder {
	return &Holder{maxRouters: maxRouters, hasReserve: hasReserve, granted: map[Key]float64{}, usage: map[Key]*keyUsage{}}
}

// SetCapacity sets the capacity of cells, by their names, of which the reserve is a part. It is called with each new cell map and at
// its changes by the time alone.
func (h *Holder) SetCapacity(cells map[string]Capacity) {
	h.reserved, h.reservedPerCell = map[Key]float64{}, map[string]float64{}
	if !h.hasReserve {
		return
	}
	for cell, c := range cells {
		for tenant, rate := range c.divide(ReservedRatio/float64(h.maxRouters), nil) {
			h.reserved[Key{cell, tenant}] = rate
			h.reservedPerCell[cell] += rate
		}
	}
}

// TakeGrant takes a grant that was asked for at a time, by a request that said which grant was in use then. One that was overtaken says
// nothing: the leader counts it until a later one is in use. Nor does one for a request from before what is in use now: another leader
// may have lent since what that request said was in use.
func (h *Holder) TakeGrant(requestedAt time.Duration, applied uint64, g Grant, terms lease.Terms) {
	if g.Seq <= h.grantSeq || applied != h.grantSeq {
		return
	}
	h.grantSeq, h.leaseUntil, h.granted = g.Seq, requestedAt+terms.HolderTTL(), map[Key]float64{}
	for _, a := range g.Rates {
		h.granted[Key{a.Cell, a.Tenant}] = a.Rate
	}
}

// Rate is what may be used of a key now, in requests a second: what is lent while the lease holds, and the reserve.
func (h *Holder) Rate(now time.Duration, k Key) float64 {
	rate := 0.0
	if now < h.leaseUntil {
		rate = h.granted[k]
	}
	return rate + h.reserved[k]
}

// Rates are what may be used now, in requests a second, by key: of many keys those that something is lent of, or that were asked for of
// late. Rest is the reserve of all others in each cell. It runs over the former alone, as a map has thousands of tenants.
func (h *Holder) Rates(now time.Duration) (list map[Key]float64, rest map[string]float64) {
	list, rest = map[Key]float64{}, maps.Clone(h.reservedPerCell)
	addKey := func(k Key) {
		if _, ok := list[k]; !ok {
			list[k] = h.Rate(now, k)
			rest[k.Cell] = max(0, rest[k.Cell]-h.reserved[k])
		}
	}
	for k := range h.usage {
		addKey(k)
	}
	if now < h.leaseUntil {
		for k := range h.granted {
			addKey(k)
		}
	}
	if len(h.reserved) <= maxKeysListed {
		for k := range h.reserved {
			addKey(k)
		}
	}
	return list, rest
}

// Request is the router's request to the group's leader. Keys that were not asked for in forgetAfter are forgotten.
func (h *Holder) Request(now time.Duration) Request {
	r := Request{MaxRouters: h.maxRouters, Applied: h.grantSeq}
	if now < h.leaseUntil {
		for k, rate := range h.granted {
			r.Rates = append(r.Rates, Allocation{k.Cell, k.Tenant, rate})
		}
	}
	for k, u := range h.usage {
		u.decay(now)
		if u.demand > minDemand {
			r.Demand = append(r.Demand, Allocation{k.Cell, k.Tenant, u.demand})
		} else if now-u.filledAt > keyIdleTimeout {
			delete(h.usage, k)
		}
	}
	return r
}

// decay brings the moving average of the demand to a time.
func (u *keyUsage) decay(now time.Duration) {
	u.demand *= math.Exp(-(now - u.demandAt).Seconds() / demandTimeConstant)
	u.demandAt = now
}

// Admit counts a request of a key as asked for, and reports whether it is within the quota.
func (h *Holder) Admit(now time.Duration, k Key) bool {
	u := h.usage[k]
	if u == nil {
		u = &keyUsage{demandAt: now, filledAt: now, tokens: minBurst}
		h.usage[k] = u
	}
	u.decay(now)
	u.demand += 1 / demandTimeConstant
	rate := h.Rate(now, k)
	u.tokens = min(u.tokens+rate*(now-u.filledAt).Seconds(), max(minBurst, rate*burstSeconds))
	u.filledAt = now
	if u.tokens < 1 {
		h.counts.Beyond++
		return false
	}
	u.tokens--
	h.counts.Within++
	return true
}

// Counts returns what was decided since the start.
func (h *Holder) Counts() Counts { return h.counts }

// HasLease reports whether there are rates whose lease holds.
func (h *Holder) HasLease(now time.Duration) bool { return now < h.leaseUntil }
