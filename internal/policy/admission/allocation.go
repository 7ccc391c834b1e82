package admission

import (
	"math"
	"time"
)

// Pools are bulkheads. Each pool is entitled to a part of the run limit: first its guaranteed runs, as far as it has demand for them,
// then a part of the rest by weight (weighted max-min fairness). No pool is entitled to more than its demand. Runs beyond all
// entitlements are borrowed by the pool whose request the decision module picks first. A run cannot be stopped, so a pool may borrow
// only while the owners of that capacity have nothing queued. Borrowed capacity returns within the time of one run.
const (
	starvationThreshold = time.Second // a pool that waited this long below its floor goes first, so none starves at a limit below the pool count
	minRunFraction      = 0.15        // fraction of the limit that runs always get, whatever request reading uses
	minConcurrency      = 0.05        // runs; minimum of Concurrency, so that callers can divide by it
	roundingTolerance   = 1e-9        // runs; smaller remainders are rounding errors
)

// allocate computes the demand and the entitlement of each pool.
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

// guaranteedRuns returns the number of runs that a pool can always have. It is at least one run for a pool with a floor, provided that
// the limit allows one run for each pool.
func (c *Controller) guaranteedRuns(p *pool) float64 {
	if p.Floor <= 0 {
		return 0
	}
	return max(min(1, c.runLimit/float64(len(c.pools))), p.Floor*c.runLimit)
}

// HasCapacity reports whether one more run of the class may start. A pool below its floor may start a run whenever the limit leaves one
// free. A pool below its entitlement must leave the floors of the waiting pools free. A pool at or above its entitlement borrows, and
// must leave the entitlements of the waiting pools free. While another pool starves, a pool needs two free runs and must be below its
// entitlement.
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

// reservedForOthers returns the number of free runs that pool p must leave for the other pools that have requests queued.
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

// longestStarved returns the pool that has waited longest below its floor without starting a run, or nil if no pool has waited for
// starvationThreshold.
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

// Admits reports whether memory use allows one more request of the class to be queued. It counts a rejection against the pool.
func (c *Controller) Admits(class string) bool {
	p := c.poolOf(class)
	if c.memory.Admits(c.rank(p)) {
		return true
	}
	p.rejected++
	return false
}

// rank returns the position of a pool by weight among all pools, from 0 (lowest) to 1 (highest). For equal weights the earlier pool
// ranks higher.
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

// Concurrency returns the number of concurrent runs that a class can rely on: its entitlement, or what the other pools leave if that is
// more.
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

// Queue returns the name of the queue that holds requests of the class, which is the name of its pool.
func (c *Controller) Queue(class string) string { return c.poolOf(class).Name }

// Limit returns the limit on the number of runs on the cores.
func (c *Controller) Limit() float64 { return c.runLimit }
