package silverpath

// Capacity: estimates of what the server can process at present.
//
//   - maxRuns is the number of runs that the server survives: given by the settings, lower while the server
//     warms up after a cold start.
//   - runLimit is the number of runs that keep the cores busy: the number of cores, divided by the share of a
//     core that a run uses.
//   - slowdown is the core time per second of expected work. If it is well above its own baseline, the fault
//     is local to this server, and other servers may do better.
//
// Inputs: the gauges RunnableTasks and CPU at each tick, the core clock, the expected work of requests.

import (
	"math"
	"time"
)

const (
	// minRunsPerCore bounds coresPerRun on both sides: a core has at least this many runs, and a run counts as
	// at least this many cores. With a lower bound, reading requests takes more cores from the runs before the
	// run limit stops falling.
	minRunsPerCore = 0.25
	// slowdownRetention is the part of the sums of the slowdown that is kept per sampleInterval of fully used
	// cores. The sums span about 2.5 s of work: a slow server shows within that time, and idle cores forget
	// nothing.
	slowdownRetention = 0.9
	// localFaultRatio is the ratio of the slowdown to its baseline above which the fault counts as local to
	// this server. A lower ratio sends callers to other servers on normal variation between requests.
	localFaultRatio = 1.5
	// minWarmupSpeed keeps the capacity above zero for any ColdSpeed in the settings.
	minWarmupSpeed = 0.01
	// minRemainingDivisor is the inverse of the share of its expected work that a request is assumed to need
	// still, however long it has run. A larger divisor makes the forecast assume that overdue runs end at
	// once.
	minRemainingDivisor = 4
)

// warmupSpeed returns the minimum speed of the server as a share of its full speed: 1 when warm; after a
// cold start it rises linearly from ColdSpeed to 1 over WarmupTime.
func (s *Shedder) warmupSpeed() float64 {
	if !s.settings.Cold || s.now-s.startedAt >= s.settings.WarmupTime {
		return 1
	}
	progress := (s.now - s.startedAt).Seconds() / s.settings.WarmupTime.Seconds()
	return max(minWarmupSpeed, s.settings.ColdSpeed+(1-s.settings.ColdSpeed)*progress)
}

// maxRuns returns the number of runs on the cores that the server survives at present, reduced by
// limitMargin.
func (s *Shedder) maxRuns() float64 {
	return limitMargin * float64(s.settings.Cores) * (1 + (s.settings.MaxRunsPerCore-1)*s.warmupSpeed())
}

// runLimit returns the number of runs that keep every core busy: the number of cores, more if runs wait for
// disk, fewer if reading requests takes cores from the runs. Unread requests cannot be prioritized and grow
// old, and every task on the cores slows down all others.
func (s *Shedder) runLimit() float64 {
	return min(float64(s.settings.Cores)/max(minRunsPerCore, s.coresPerRun.Value()), s.maxRuns())
}

// estimateCoresPerRun updates coresPerRun, at each tick, with the number of runnable tasks per run.
func (s *Shedder) estimateCoresPerRun(g Gauges) {
	runs := s.stateCount[running]
	if runs == 0 {
		return
	}
	perRun := g.RunnableTasks / float64(runs)
	if g.RunnableTasks <= float64(s.settings.Cores) {
		perRun = min(1, perRun) // a core is free to read requests
	}
	if s.stateCount[queued] > 0 {
		perRun *= g.CPU // requests wait: idle cores allow more runs
	}
	s.coresPerRun.Add(min(perRun, 1/minRunsPerCore), cpuBeta)
}

// coreShare returns the share of a core that each run gets.
func (s *Shedder) coreShare() float64 {
	wanted := max(1, float64(s.runsOnCores())) * max(minRunsPerCore, s.coresPerRun.Value())
	return min(1, float64(s.settings.Cores)/wanted)
}

// slowdown returns the core time, in seconds, per second of expected work. Core time counts as it passes
// and work when it completes, so a server that slows down or hangs is detected before a run completes.
func (s *Shedder) slowdown() float64 { return s.completedCoreTime / s.completedWork }

// fadeSlowdown reduces the influence of older core time and work, in proportion to the utilization of the
// cores since the last sample.
func (s *Shedder) fadeSlowdown() {
	utilization := s.sampleCoreTime / (sampleInterval.Seconds() * float64(s.settings.Cores))
	s.sampleCoreTime = 0
	s.completedCoreTime *= math.Pow(slowdownRetention, utilization)
	s.completedWork = max(s.completedWork*math.Pow(slowdownRetention, utilization), minWork)
}

// updateBaselineSlowdown moves the baseline towards the slowdown: at once during the first windowLength,
// then down at the rate of slowdownRetention and up at the rate of fairnessRetention, which is slow enough
// for a fault of some seconds to stay visible.
func (s *Shedder) updateBaselineSlowdown() {
	switch slowdown := s.slowdown(); {
	case s.now-s.baselineStart < windowLength:
		s.baselineSlowdown = slowdown
	case slowdown < s.baselineSlowdown:
		s.baselineSlowdown += (slowdown - s.baselineSlowdown) * (1 - slowdownRetention)
	default:
		s.baselineSlowdown += (slowdown - s.baselineSlowdown) * (1 - fairnessRetention)
	}
}

// faultIsLocal reports whether this server itself is at fault, so that other servers may do better: it
// drains, warms up, or is slow compared with its own baseline.
func (s *Shedder) faultIsLocal() bool {
	return s.stopAt != 0 || s.warmupSpeed() < 1 || s.slowdown() > localFaultRatio*s.baselineSlowdown
}

// remainingWork returns the core time, in seconds, that a request is expected to need still.
func (s *Shedder) remainingWork(r *request, slowdown float64) float64 {
	total := r.expectedWork * slowdown
	return max(total-s.coreTimeSoFar(r).Seconds(), total/minRemainingDivisor)
}

// coreTimeSoFar returns the core time that a request has used.
func (s *Shedder) coreTimeSoFar(r *request) time.Duration {
	if r.state == running || r.state == preempting {
		return r.coreTime + s.coreClock - r.coreClockAtState
	}
	return r.coreTime
}

// seconds converts a number of seconds to a Duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
