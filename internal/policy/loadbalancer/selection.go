package loadbalancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Selection: power of two choices (Mitzenmacher, 2001) among the servers of a tenant that may be used. Inputs: health, circuit,
// backpressure, in-flight requests and latency of each. Of two that are drawn, the one whose cost is lower is taken: its latency times
// the requests that would then be in flight, by its weight and by the ratio of its share that it gets in its slow start.
//
// Suspects and slow outliers are left out, the worst first, while at least 1-MaxEjectedRatio of the cell's servers stay. Where fewer
// than PanicThreshold of them are neither dead nor ejected, the fault is more likely the router's own, or that of all: health is
// ignored, and all are drawn from but those that asked to be left alone or are full.
const (
	maxCandidates  = 16  // servers among which a choice is made: all of a small cell, a sample of a large one, so that it costs the same
	minForMedian   = 3   // servers; of two nobody can say which is the outlier
	slowOutlier    = 4   // times the median latency of its cell; less is the difference of two machines
	minWarmupRatio = 0.1 // of its share for a server that just came up, so that it gets anything at all
)

// Pick chooses the server for an attempt of a request that is not sticky, among those of its tenant; exclude is the one of the attempt
// before, empty for none. It reports false where nobody can be asked.
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

// sample returns the servers of a list, or, of a long list, maxCandidates of them drawn without repetition.
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

// usable are the candidates that may get an attempt now, and the number of those that are dead or ejected.
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

// isUsable reports whether a server may get an attempt now, by its own state. A circuit whose time is over is half open from here on.
func (b *Balancer) isUsable(now time.Duration, tenant string, s *server) bool {
	if s.circuit == CircuitOpen && now >= s.openUntil {
		s.circuit = CircuitHalfOpen
	}
	return s.health != Dead && s.circuit != CircuitOpen && (s.circuit != CircuitHalfOpen || !s.trialInFlight) &&
		!s.inBackoff(now, tenant) && b.hasCapacity(now, s) && !s.overCredit()
}

// ignoringHealth appends the candidates that have capacity and have not asked to be left alone.
func (b *Balancer) ignoringHealth(now time.Duration, tenant string, candidates []*server, exclude string, list []*server) []*server {
	for _, s := range candidates {
		if s.name != exclude && !s.inBackoff(now, tenant) && b.hasCapacity(now, s) {
			list = append(list, s)
		}
	}
	return list
}

// withoutOutliers leaves out suspects and the slow, the worst first, as long as enough servers stay.
func (b *Balancer) withoutOutliers(usable, candidates []*server) []*server {
	minKept := max(1, int(math.Ceil(float64(len(candidates))*(1-b.cfg.MaxEjectedRatio))))
	median := medianLatency(candidates)
	isOutlier := func(s *server) bool {
		return s.health == Suspect || median > 0 && s.attempts >= minAttempts && s.latency > slowOutlier*median
	}
	if len(usable) <= minKept || !slices.ContainsFunc(usable, isOutlier) {
		return usable
	}
	slices.SortFunc(usable, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.health, a.health), cmp.Compare(b.latency, a.latency), cmp.Compare(a.name, b.name))
	})
	removable := len(usable) - minKept
	return slices.DeleteFunc(usable, func(s *server) bool {
		if removable > 0 && isOutlier(s) {
			removable--
			return true
		}
		return false
	})
}

// medianLatency is the median latency of some servers in seconds, 0 for fewer than minForMedian.
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

// cost is what a further attempt at a server is expected to wait, in seconds by weight.
func (b *Balancer) cost(now time.Duration, s *server) float64 {
	return s.latency * float64(s.inFlight+1) / (s.weight * b.warmupRatio(now, s))
}

// warmupRatio is the ratio of its share that a server gets while it has come up not long ago: it rises evenly over Config.SlowStart.
func (b *Balancer) warmupRatio(now time.Duration, s *server) float64 {
	if up := now - s.upSince; up < b.cfg.SlowStart {
		return max(minWarmupRatio, up.Seconds()/b.cfg.SlowStart.Seconds())
	}
	return 1
}
