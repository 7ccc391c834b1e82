package silverpath

// Fairness between classes and between tenants. The goal counts the weight that is served and, in the
// proportion ClassMix, how well the worst-served class is served; a unit of work of that class therefore
// earns more than its own weight (goalWeight). A tenant over its quota is not cut off: its requests over
// the quota count OverQuotaWeight of the weight of their class.
//
// Inputs: work requested and served in time by class, in seconds; rates of the tenants, in requests per
// second.

import (
	"math"
	"slices"
	"time"

	"silverpath/internal/policy/window"
)

const (
	// fairnessRetention is the part of requested and served work that is kept at each sample; the sums span
	// about 50 s. With a shorter span, a single request would decide whether a class with few requests is the
	// worst served.
	fairnessRetention = 0.995
	// worstClassSpread is the difference in served share within which classes count together as the worst
	// served, so that the weight does not jump between two classes with similar shares.
	worstClassSpread = 0.05
	// minBurst is the number of requests that any tenant may send at once. A bucket that holds less than one
	// token would admit none.
	minBurst = 2
)

// updateGoalWeights computes what a unit of work of each class adds to the goal: its own weight and, for
// the worst-served classes, the weight that the goal gives to them. It also reduces the influence of older
// requested and served work.
func (s *Shedder) updateGoalWeights() {
	total, worstShare, proximity := 0.0, 1.0, 0.0
	for _, c := range s.classes {
		c.requestedWork, c.servedWork = c.requestedWork*fairnessRetention, c.servedWork*fairnessRetention
		total += c.Weight * c.requestedWork
		worstShare = min(worstShare, c.servedShare())
	}
	for _, c := range s.classes {
		proximity += c.proximityToWorst(worstShare)
	}
	for _, c := range s.classes {
		c.goalWeight = (1 - s.settings.ClassMix) * c.Weight
		if c.requestedWork > 0 {
			c.goalWeight += s.settings.ClassMix * total / c.requestedWork * c.proximityToWorst(worstShare) / proximity
		}
	}
}

// proximityToWorst returns 1 for the worst-served class, and less the better a class is served compared
// with it.
func (c *class) proximityToWorst(worstShare float64) float64 {
	return math.Exp((worstShare - c.servedShare()) / worstClassSpread)
}

// servedShare returns the share of the requested work of a class that was served in time, or 1 if no work
// was requested.
func (c *class) servedShare() float64 {
	if c.requestedWork == 0 {
		return 1
	}
	return c.servedWork / c.requestedWork
}

// setTenants sets the token bucket of each tenant to its part of the quota on this server. A tenant whose
// part is unchanged keeps its remaining tokens.
func (s *Shedder) setTenants(now time.Duration, set Settings) {
	oldBuckets, oldServers := s.tenantBuckets, max(1, s.settings.Servers)
	s.tenantBuckets = map[string]*window.TokenBucket{}
	for _, t := range set.Tenants {
		rate := t.Rate / float64(max(1, set.Servers))
		unchanged := slices.Contains(s.settings.Tenants, t) && oldServers == max(1, set.Servers)
		if s.tenantBuckets[t.Name] = oldBuckets[t.Name]; s.tenantBuckets[t.Name] == nil || !unchanged {
			s.tenantBuckets[t.Name] = window.NewTokenBucket(now, rate, burstSize(rate))
		}
	}
}

// burstSize returns the number of requests that a tenant may send at once within its quota: one second of
// its rate, at least minBurst.
func burstSize(rate float64) float64 { return max(minBurst, rate) }

// tenantWeight returns the share of its class's weight that a new request has, and takes the request from
// the tenant's quota. Quotas are counted only in the tier that receives client requests.
func (s *Shedder) tenantWeight(tenant string) float64 {
	if bucket := s.tenantBuckets[tenant]; bucket != nil && s.settings.Tier == 0 && !bucket.Take(s.now) {
		return s.settings.OverQuotaWeight
	}
	return 1
}
