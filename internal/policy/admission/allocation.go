package admission

import (
	"math"
	"time"
)

// Bulkheads. Every pool is entitled to a part of the limit on runs: its floor as far as it has demand for it, and of the rest its part
// by weight (weighted max-min fairness), no pool more than its demand. What nobody is entitled to is borrowed by whoever the module
// puts first. Runs can't be stopped, so a pool borrows only while the owners of what it would borrow have nothing queued: by the end
// of one run a share is back.
const (
	starvationThreshold = time.Second // a pool that waits under its floor for so long goes before all: at a limit smaller than the pools nobody starves
	minRunFraction      = 0.15        // of the limit that runs always have, however much is being read
	minConcurrency      = 0.05        // runs that a class can count on: a forecast is never divided by nothing
	roundingTolerance   = 1e-9        // runs below which a rest of a division is nothing
)

// allocate gives every pool its entitlement.
func (c *Controller) allocate() {
	unallocated := c.runLimit
	for _, p := range c.pools {
		p.demand = max(float64(p.running+p.queued), p.arrivalRate*p.meanRunTime)
		p.entitlement = min(p.demand, c.guaranteedRuns(p))
		unallocated -= p.entitlement
	}
	for unallocated > roundingTolerance {
		totalWeight := 0.0
		for _, p := range c.pools {
			if p.demand > p.entitlement {
				totalWeight += p.Weight
			}
		}
		if totalWeight <= 0 {
			return
		}
		allocated := 0.0
		for _, p := range c.pools {
			if p.demand > p.entitlement {
				increment := min(p.demand-p.entitlement, unallocated*p.Weight/totalWeight)
				p.entitlement += increment
				allocated += increment
			}
		}
		unallocated -= allocated
		if allocated <= roundingTolerance {
			return
		}
	}
}

// guaranteed is the number of runs that are always a pool's own: a whole one at least, where it has a floor at all and the limit is
// enough for one each.
func (c *Controller) guaranteedRuns(p *pool) float64 {
	if p.Floor <= 0 {
		return 0
	}
	return max(min(1, c.runLimit/float64(len(c.pools))), p.Floor*c.runLimit)
}

// HasCapacity reports whether one more run of the class may start. A pool under its floor may always, where the limit leaves a run at all and
// no pool has starved for longer; one under its entitlement, where the floors of those that wait stay free; any other, which borrows,
// where their entitlements do.
func (c *Controller) HasCapacity(now time.Duration, class string) bool {
	p := c.poolOf(class)
	free := c.runLimit - float64(c.running)
	if free < 1 {
		return false
	}
	running := float64(p.running)
	if starved := c.longestStarved(now); starved != nil && starved != p {
		return free >= 2 && running < p.entitlement
	}
	if running < c.guaranteedRuns(p) {
		return true
	}
	return free-c.reservedForOthers(p) >= 1
}

// reservedFor is how many free runs one more run of a pool must leave to the others that wait.
func (c *Controller) reservedForOthers(p *pool) float64 {
	borrowing := float64(p.running) >= p.entitlement
	reserved := 0.0
	for _, q := range c.pools {
		if q == p || q.queued == 0 {
			continue
		}
		claim := c.guaranteedRuns(q)
		if borrowing {
			claim = q.entitlement
		}
		reserved += math.Ceil(max(0, min(claim, float64(q.running+q.queued))-float64(q.running)) - roundingTolerance)
	}
	return reserved
}

// longestStarved is the pool that has waited the longest under its floor without a run, nil where none has for long.
func (c *Controller) longestStarved(now time.Duration) *pool {
	var longest *pool
	for _, p := range c.pools {
		if p.starvedSince == 0 || p.queued == 0 || now-p.starvedSince < starvationThreshold {
			continue
		}
		if longest == nil || p.starvedSince < longest.starvedSince {
			longest = p
		}
	}
	return longest
}

// Admits reports whether the memory lets one more request of the class wait.
func (c *Controller) Admits(class string) bool {
	p := c.poolOf(class)
	if c.memory.Admits(c.rank(p)) {
		return true
	}
	p.rejected++
	return false
}

// rank is a pool's place among the others by weight, from 0 for the least to 1 for the most.
func (c *Controller) rank(p *pool) float64 {
	if len(c.pools) < 2 {
		return 1
	}
	lower := 0
	for _, q := range c.pools {
		if q != p && (q.Weight < p.Weight || q.Weight == p.Weight && q.index > p.index) {
			lower++
		}
	}
	return float64(lower) / float64(len(c.pools)-1)
}

// Concurrency is the number of runs at once that a class can count on: its entitlement, and what the others leave.
func (c *Controller) Concurrency(class string) float64 {
	p := c.poolOf(class)
	others := 0.0
	for _, q := range c.pools {
		if q != p {
			others += min(q.demand, q.entitlement)
		}
	}
	return max(p.entitlement, c.runLimit-others, c.guaranteedRuns(p), minConcurrency)
}

// Queue names the queue in which a class waits: that of its pool.
func (c *Controller) Queue(class string) string { return c.poolOf(class).Name }

// Limit is the limit on runs on the cores.
func (c *Controller) Limit() float64 { return c.runLimit }
