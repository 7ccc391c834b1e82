package silverpath

// Overload: the adaptive concurrency limit, which rejects arrivals in ordinary operation. It is the
// adaptive shedder of go-zero, from "Adaptive load shedding for microservice governance" (access9, 21
// November 2021). The limit applies while smoothed CPU is at least cpuThreshold, and for coolOffTime after
// each rejection. It is the highest completion rate times the lowest response time of the last
// windowLength. An arrival is rejected if both the current and the average number of requests of its class
// in flight exceed it.
//
// Inputs: the CPU gauge (share of busy cores, once per sampleInterval) and the completions of each class.

import (
	"time"

	"silverpath/internal/policy/window"
)

const (
	// cpuThreshold is the smoothed share of busy cores from which the concurrency limit applies. The default
	// of go-zero is 900 in 1000.
	cpuThreshold = 0.9
	// cpuBeta is the weight of the old average in smoothed CPU at each sample, as in the source: half of a
	// change shows after 3.4 s.
	cpuBeta = 0.95
	// inFlightBeta is the weight of the old average in the number in flight at each completion. The source
	// does not give it; this is the value that the source gives for CPU.
	inFlightBeta = 0.95
	// coolOffTime is how long the limit applies after a rejection, so that the relief from rejecting does not
	// lift it.
	coolOffTime = time.Second
	// windowLength and windowBuckets define the window of completions: 50 buckets of 100 ms, the default of
	// the source.
	windowLength  = 5 * time.Second
	windowBuckets = 50
	// maxMinResponseTime is the response time assumed while nothing has completed, the default of the source.
	maxMinResponseTime = time.Second
	// minCompletions is the number of completions from which a rate or a response time is computed. With one,
	// a single completion in a bucket of 100 ms would count as ten per second, and the fastest request as the
	// speed of the server.
	minCompletions = 3
)

// overloaded reports whether an arrival of the class is to be rejected. The arrival itself is not yet
// counted in flight.
func (s *Shedder) overloaded(c *class) bool {
	coolingOff := s.everRejected && s.now-s.lastRejection < coolOffTime
	if s.cpu.Value() < cpuThreshold && !coolingOff {
		return false
	}
	limit := s.maxInFlight(c)
	return float64(c.inFlight) > limit && c.avgInFlight.Value() > limit
}

// maxInFlight returns the highest completion rate times the lowest mean response time of a class, at least
// the number of cores and at most maxRuns. If completions are few, adjacent buckets are grouped so that a
// group has minCompletions on average. At high rates the result is that of the source; with almost no
// completions in the window it is the default of the source.
func (s *Shedder) maxInFlight(c *class) float64 {
	count := 0
	c.completions.Each(s.now, func(b window.Bucket) { count += b.Count })
	bucketsPerGroup := min(windowBuckets-1, max(1, (minCompletions*windowBuckets+count-1)/max(1, count)))
	rate, minResponse := windowBuckets/windowLength.Seconds(), maxMinResponseTime.Seconds()
	if count >= minCompletions {
		rate = 0
	}
	var group window.Bucket
	groupBuckets := 0
	c.completions.Each(s.now, func(b window.Bucket) {
		group.Sum, group.Count, groupBuckets = group.Sum+b.Sum, group.Count+b.Count, groupBuckets+1
		if groupBuckets < bucketsPerGroup {
			return
		}
		rate = max(rate, float64(group.Count)/float64(groupBuckets)*windowBuckets/windowLength.Seconds())
		if group.Count >= minCompletions {
			minResponse = min(minResponse, group.Sum/float64(group.Count))
		}
		group, groupBuckets = window.Bucket{}, 0
	})
	return min(max(rate*minResponse, float64(s.settings.Cores)), s.maxRuns())
}

// recordCompletion removes a released request from those in flight. The request counts as a completion with
// its response time, unless it expired or never ran. A request that was rejected on arrival was never in
// flight.
func (s *Shedder) recordCompletion(r *request) {
	if !r.inFlight {
		return
	}
	c := r.class
	c.inFlight--
	c.avgInFlight.Add(float64(c.inFlight), inFlightBeta)
	if r.started && !r.expired {
		c.completions.Add(s.now, (s.now - r.arrivedAt).Seconds())
	}
}
