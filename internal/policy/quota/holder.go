package quota

import (
	"maps"
	"math"
	"time"

	"silverpath/internal/policy/lease"
)

// Parameters of admission within a quota. Inputs are the grant of the group's leader with its lease, the router's reserve, and the
// requests of each key. A token bucket admits the requests of a key. It is filled at the rate of the key: the granted rate while the
// lease is valid, plus the reserve. The rate of recent requests, admitted or not, is the demand that the router reports to the leader.
const (
	demandTimeConstant = 1.0         // seconds over which demand is averaged: longer follows a shift of load later, shorter follows noise
	burstSeconds       = 1.0         // seconds of a rate that may be used at once
	minBurst           = 6.0         // requests that may be used at once, so that a rate below one a second is usable
	minDemand          = 0.01        // requests a second; lower demand is not reported
	keyIdleTimeout     = time.Minute // time without a request after which a key with less than minDemand is deleted
	maxKeysListed      = 256         // reserved keys up to which Rates lists all of them; more would make the status too long
)

// Holder is the side of a router: its grant, its demand, and the decision whether a request is within the quota. All times are of the
// router's own monotonic clock. It is not safe for concurrent use: the proxy calls it under its lock.
type Holder struct {
	maxRouters      int
	hasReserve      bool // no other router can run under the same name, so this one has its part of the reserve
	grantSeq        uint64
	leaseUntil      time.Duration
	granted         map[Key]float64
	reserved        map[Key]float64
	reservedPerCell map[string]float64 // sum of reserved, by cell
	usage           map[Key]*keyUsage
	counts          Counts
}

// Counts are the numbers of decisions of a holder since the start.
type Counts struct {
	Admitted uint64 // requests that were admitted
	Rejected uint64 // requests beyond the quota, which were not admitted
}

// keyUsage is the demand and the token bucket of a key.
type keyUsage struct {
	demand   float64       // requests a second, moving average
	demandAt time.Duration // time to which the average has decayed
	tokens   float64
	filledAt time.Duration // time of the last refill of the bucket
}

// NewHolder returns the holder of one of at most maxRouters routers. hasReserve says that no other router can run under the same name.
func NewHolder(maxRouters int, hasReserve bool) *Holder {
	return &Holder{maxRouters: maxRouters, hasReserve: hasReserve, granted: map[Key]float64{}, usage: map[Key]*keyUsage{}}
}

// SetCapacity sets the capacity of each cell, by cell name, from which the reserve is computed. It must be called with each new cell map
// and at each change that the map makes by time alone.
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

// ApplyGrant applies a grant that was requested at requestedAt, by a request that reported applied as the grant in use. It ignores a
// grant that is not newer than the one in use, because the leader stops counting a grant once the router reports a later one. It also
// ignores a grant whose request reported an earlier grant: another leader may since have granted the rates that the request reported as
// in use.
func (h *Holder) ApplyGrant(requestedAt time.Duration, applied uint64, g Grant, terms lease.Terms) {
	if g.Seq <= h.grantSeq || applied != h.grantSeq {
		return
	}
	h.grantSeq, h.leaseUntil, h.granted = g.Seq, requestedAt+terms.HolderTTL(), map[Key]float64{}
	for _, a := range g.Rates {
		h.granted[Key{a.Cell, a.Tenant}] = a.Rate
	}
}

// Rate returns the current rate of a key in requests a second: the granted rate while the lease is valid, plus the reserve.
func (h *Holder) Rate(now time.Duration, k Key) float64 {
	rate := 0.0
	if now < h.leaseUntil {
		rate = h.granted[k]
	}
	return rate + h.reserved[k]
}

// Rates returns the current rates in requests a second. If there are many keys, list contains only those with a granted rate or a recent
// request, and rest is the reserve of all other keys of each cell. The cost depends on the listed keys only, because a map has thousands
// of tenants.
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

// Request returns the router's request to the group's leader. It deletes keys without a request in keyIdleTimeout.
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

// decay advances the moving average of the demand to now.
func (u *keyUsage) decay(now time.Duration) {
	u.demand *= math.Exp(-(now - u.demandAt).Seconds() / demandTimeConstant)
	u.demandAt = now
}

// Admit adds a request to the demand of a key and reports whether it is within the quota.
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
		h.counts.Rejected++
		return false
	}
	u.tokens--
	h.counts.Admitted++
	return true
}

// Counts returns the numbers of decisions since the start.
func (h *Holder) Counts() Counts { return h.counts }

// HasLease reports whether the lease of the latest grant is valid.
func (h *Holder) HasLease(now time.Duration) bool { return now < h.leaseUntil }
