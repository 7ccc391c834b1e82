package silverpath

// Overload: the ordinary path. This is the adaptive shedder of go-zero, from "Adaptive load shedding for
// microservice governance" (access9, 21 November 2021). While smoothed CPU is at cpuThreshold or over, and
// for coolOffTime after each rejection, an arrival is rejected if both the current and the average number of
// requests of its class in flight exceed the highest completion rate times the lowest response time of the
// last windowLength.
//
// Inputs: the CPU gauge (share of the cores busy, once a sampleInterval) and the completions of each class.

import (
	"time"

	"silverpath/internal/policy/window"
)

const (
	// cpuThreshold is the smoothed share of busy cores from which on the concurrency limit applies. go-zero
	// ships 900 in 1000.
	cpuThreshold = 0.9
	// cpuBeta is the part of smoothed CPU kept at each sample, as the source gives it: half of a change shows in
	// 3.4 s.
	cpuBeta = 0.95
	// inFlightBeta is the part of the average number in flight kept at each completion. The source does not give
	// it; this is the one that it gives for CPU.
	inFlightBeta = 0.95
	// coolOffTime has the limit apply for a while after a rejection, so that it isn't lifted by the relief that
	// rejecting brought.
	coolOffTime = time.Second
	// windowLength and windowBuckets shape the window of completions: 50 buckets of 100 ms, the source's
	// default.
	windowLength  = 5 * time.Second
	windowBuckets = 50
	// maxMinResponseTime is the response time assumed while nothing has completed, the source's default.
	maxMinResponseTime = time.Second
	// minCompletions is the number of completions that a rate or a response time is taken from. One in a bucket
	// of 100 ms would read as ten a second, and the quickest request as what the server can do.
	minCompletions = 3
)

// overloaded reports whether an arrival of the class is to be rejected. It isn't counted in flight itself
// yet.
func (s *Shedder) overloaded(c *class) bool {
	coolingOff := s.everRejected && s.now-s.lastRejection < coolOffTime
	if s.cpu.Value() < cpuThreshold && !coolingOff {
		return false
	}
	limit := s.maxInFlight(c)
	return float64(c.inFlight) > limit && c.avgInFlight.Value() > limit
}

// maxInFlight is the highest completion rate times the lowest mean response time of a class, not under the
// number of cores and not over the runs that the server survives. Where completions are few, so many buckets
// are taken for one that they hold minCompletions on average. At high rates this is the source's own figure;
// with hardly a completion in the window it is the source's default.
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

// recordCompletion takes a released request out of those in flight. It counts as a completion with its
// response time, unless it expired or never ran. A request that was rejected on arrival was never in flight.
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
