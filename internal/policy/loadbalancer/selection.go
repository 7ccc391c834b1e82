package loadbalancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Selection: power of two choices (Mitzenmacher, 2001) among the usable servers of a tenant. Inputs: health, circuit, backpressure,
// requests in flight and latency of each. Two servers are drawn, and the one with the lower cost is chosen. The cost is the latency times
// the requests that would then be in flight, divided by the weight and by the ratio of its share that the server gets in its slow start.
//
// Suspects and slow outliers are skipped, the worst first, as long as at least 1-MaxEjectedRatio of the candidates remain. If fewer
// than PanicThreshold of the candidates are neither dead nor ejected, the fault is more likely the router's own or shared by all servers.
// Health is then ignored, and all servers are eligible except those that are full or have an active Retry-After.
const (
	maxCandidates  = 16  // servers per choice: all of a small cell, a sample of a large one, which bounds the cost
	minForMedian   = 3   // servers; with two, the outlier cannot be determined
	slowOutlier    = 4   // multiple of the cell's median latency; differences between machines are smaller
	minWarmupRatio = 0.1 // ratio of its share that a server gets at the start of its slow start, so that it gets any requests
)

// Pick chooses a server for an attempt of a request that is not sticky. Names are the servers of the tenant; exclude is the server of the
// previous attempt, or empty. Pick returns false if no server is available.
func (b *Balancer) Pick(now time.Duration, tenant string, names []string, exclude string) (string, bool) {
	candidates := b.sample(names)
	usable, unavailable := b.usable(now, tenant, candidates, exclude)
	if len(candidates) > 0 && 1-float64(unavailable)/float64(len(candidates)) < b.cfg.PanicThreshold {
		b.counts.Panicked++
		usable = b.ignoringHealth(now, tenant, candidates, exclude, usable[:0])
	} else {
		usable = b.withoutOutliers(usable, candidates)
	}
	switch len(usable) {
	case 0:
		return "", false
	case 1:
		return usable[0].name, true
	}
	return b.betterOfTwo(now, usable).name, true
}

// sample returns the servers of a list. From a list longer than maxCandidates it draws up to that many without repetition.
func (b *Balancer) sample(names []string) []*server {
	list := make([]*server, 0, min(maxCandidates, len(names)))
	if len(names) <= maxCandidates {
		for _, name := range names {
			if s := b.servers[name]; s != nil {
				list = append(list, s)
			}
		}
		return list
	}
	for range 2 * maxCandidates {
		s := b.servers[names[b.rng.IntN(len(names))]]
		if s != nil && !slices.Contains(list, s) {
			if list = append(list, s); len(list) == maxCandidates {
				break
			}
		}
	}
	return list
}

// usable returns the candidates that may get an attempt now, and the number of candidates that are dead or ejected.
func (b *Balancer) usable(now time.Duration, tenant string, candidates []*server, exclude string) (usable []*server, unavailable int) {
	usable = make([]*server, 0, len(candidates))
	for _, s := range candidates {
		if s.name == exclude {
			continue
		}
		if b.isUsable(now, tenant, s) {
			usable = append(usable, s)
		} else if s.health == Dead || s.circuit == CircuitOpen {
			unavailable++
		}
	}
	return usable, unavailable
}

// isUsable reports whether a server may get an attempt now. It changes an open circuit whose time is over to half open.
func (b *Balancer) isUsable(now time.Duration, tenant string, s *server) bool {
	if s.circuit == CircuitOpen && now >= s.openUntil {
		s.circuit = CircuitHalfOpen
	}
	return s.health != Dead && s.circuit != CircuitOpen && (s.circuit != CircuitHalfOpen || !s.trialInFlight) &&
		!s.inBackoff(now, tenant) && b.hasCapacity(now, s) && !s.overCredit()
}

// ignoringHealth appends the candidates that have capacity and no active Retry-After, regardless of their health.
func (b *Balancer) ignoringHealth(now time.Duration, tenant string, candidates []*server, exclude string, list []*server) []*server {
	for _, s := range candidates {
		if s.name != exclude && !s.inBackoff(now, tenant) && b.hasCapacity(now, s) {
			list = append(list, s)
		}
	}
	return list
}

// withoutOutliers removes suspects and slow servers, the worst first, as long as enough servers remain.
func (b *Balancer) withoutOutliers(usable, candidates []*server) []*server {
	minRemaining := max(1, int(math.Ceil(float64(len(candidates))*(1-b.cfg.MaxEjectedRatio))))
	median := medianLatency(candidates)
	isOutlier := func(s *server) bool {
		return s.health == Suspect || median > 0 && s.attempts >= minAttempts && s.latency > slowOutlier*median
	}
	if len(usable) <= minRemaining || !slices.ContainsFunc(usable, isOutlier) {
		return usable
	}
	slices.SortFunc(usable, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.health, a.health), cmp.Compare(b.latency, a.latency), cmp.Compare(a.name, b.name))
	})
	removable := len(usable) - minRemaining
	return slices.DeleteFunc(usable, func(s *server) bool {
		if removable > 0 && isOutlier(s) {
			removable--
			return true
		}
		return false
	})
}

// medianLatency returns the median latency of the servers in seconds, or 0 for fewer than minForMedian.
func medianLatency(list []*server) float64 {
	if len(list) < minForMedian {
		return 0
	}
	var buffer [maxCandidates]float64
	all := buffer[:0]
	for _, s := range list {
		all = append(all, s.latency)
	}
	slices.Sort(all)
	return all[len(all)/2]
}

// betterOfTwo draws two servers and returns the one with the lower cost.
func (b *Balancer) betterOfTwo(now time.Duration, usable []*server) *server {
	i := b.rng.IntN(len(usable))
	j := b.rng.IntN(len(usable) - 1)
	if j >= i {
		j++
	}
	first, second := usable[i], usable[j]
	if b.cost(now, second) < b.cost(now, first) {
		return second
	}
	return first
}

// cost returns the expected wait of one more attempt at a server, in seconds divided by its weight and its slow-start ratio.
func (b *Balancer) cost(now time.Duration, s *server) float64 {
	return s.latency * float64(s.inFlight+1) / (s.weight * b.warmupRatio(now, s))
}

// warmupRatio returns the ratio of its share that a server gets in its slow start. It rises linearly over Config.SlowStart.
func (b *Balancer) warmupRatio(now time.Duration, s *server) float64 {
	if up := now - s.upSince; up < b.cfg.SlowStart {
		return max(minWarmupRatio, up.Seconds()/b.cfg.SlowStart.Seconds())
	}
	return 1
}
