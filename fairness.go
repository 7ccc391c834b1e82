package silverpath

// Fairness between classes and between tenants. The goal counts the weight that is served and, with the part
// ClassMix, how well the worst-served class is served; so a unit of work of that class earns more than its
// own weight (goalWeight). A tenant that sends more than its quota is not cut off: what it sends beyond
// counts OverQuotaWeight of its class's weight.
//
// Inputs: work requested and served in time by class, in seconds; tenants' rates, in requests a second.

import (
	"math"
	"slices"
	"time"

	"silverpath/internal/policy/window"
)

const (
	// fairnessRetention is the part of requested and served work kept at each sample: they span about 50 s.
	// Shorter, and a class with a request now and then would be the worst-served one or not by a single request.
	fairnessRetention = 0.995
	// worstClassSpread is the difference in served share within which classes count as the worst served
	// together, so that the weight doesn't jump between two that are served alike.
	worstClassSpread = 0.05
	// minBurst is the number of requests that any tenant may send at once. A bucket that held less than one
	// request would admit none.
	minBurst = 2
)

// updateGoalWeights finds what a unit of work of each class adds to the goal: its own weight, and for the
// worst-served classes the weight that the goal gives to these. Requested and served work fades.
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

// nearness is 1 for the worst-served class and falls as a class is served better than it.
func (c *class) proximityToWorst(worstShare float64) float64 {
	return math.Exp((worstShare - c.servedShare()) / worstClassSpread)
}

// servedShare is the share of its requested work that was served in time: 1 for a class of which nothing was
// requested.
func (c *class) servedShare() float64 {
	if c.requestedWork == 0 {
		return 1
	}
	return c.servedWork / c.requestedWork
}

// setTenants gives each tenant its part of the quota on this server. A tenant that stays as it was keeps what
// is left of its quota.
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

// burstSize is the number of requests that a tenant may send at once within its quota: a second's worth.
func burstSize(rate float64) float64 { return max(minBurst, rate) }

// tenantWeight is the part of its class's weight that a new request has. Quotas are counted where clients'
// requests enter.
func (s *Shedder) tenantWeight(tenant string) float64 {
	if bucket := s.tenantBuckets[tenant]; bucket != nil && s.settings.Tier == 0 && !bucket.Take(s.now) {
		return s.settings.OverQuotaWeight
	}
	return 1
}
