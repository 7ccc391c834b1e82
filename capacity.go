package silverpath

// Capacity: estimates of what the server can do now. Three are kept:
//
//   - how many runs it survives (maxRuns): told by the settings, less while it warms up after a cold start;
//   - how many keep its cores busy (runLimit): the cores, divided by the part of a core that a run uses;
//   - its slowdown: time on the cores for each second of expected work. One well over its own baseline is a
//     fault of this server, so that others may do better.
//
// Inputs: the gauges OnCores (tasks that want a core) and CPU at each tick, the core clock, the expected work
// of requests.

import (
	"math"
	"time"
)

const (
	// minRunsPerCore bounds coresPerRun on both sides: a core has this many runs at least, a run this many cores
	// at least. Found by trial; lowering it lets reading take more cores from runs before the number of runs
	// stops to follow.
	minRunsPerCore = 0.25
	// slowdownRetention is the part of the slowdown's sums kept for each sampleInterval of fully used cores:
	// they span about 2.5 s of work. A slow server shows within that time, and idle cores forget nothing.
	slowdownRetention = 0.9
	// localFaultRatio is how many times the baseline the slowdown must be for the fault to be this server's own.
	// Found by trial; lowering it sends callers elsewhere over the ordinary spread of requests.
	localFaultRatio = 1.5
	// minWarmupSpeed keeps capacity above zero, whatever the settings tell of a cold start.
	minWarmupSpeed = 0.01
	// minRemainingDivisor: a request is taken to need one in so many parts of its expected work still, however
	// long it ran. Found by trial; raising it makes the forecast believe that overdue runs end at once.
	minRemainingDivisor = 4
)

// warmupSpeed is the share of its full speed that the server has at least: 1 when warm, and from ColdSpeed up
// to 1 evenly over WarmupTime after a cold start.
func (s *Shedder) warmupSpeed() float64 {
	if !s.settings.Cold || s.now-s.startedAt >= s.settings.WarmupTime {
		return 1
	}
	progress := (s.now - s.startedAt).Seconds() / s.settings.WarmupTime.Seconds()
	return max(minWarmupSpeed, s.settings.ColdSpeed+(1-s.settings.ColdSpeed)*progress)
}

// maxRuns is the number of runs on the cores that the server survives now, with a margin.
func (s *Shedder) maxRuns() float64 {
	return limitMargin * float64(s.settings.Cores) * (1 + (s.settings.MaxRunsPerCore-1)*s.warmupSpeed())
}

// runLimit is the number of runs that keeps every core busy: the cores, more where runs wait for disk, fewer
// while reading takes cores from the runs. What lies unread can't be chosen from and grows old, and all that
// is on the cores slows all of it down.
func (s *Shedder) runLimit() float64 {
	return min(float64(s.settings.Cores)/max(minRunsPerCore, s.coresPerRun.Value()), s.maxRuns())
}

// estimateCoresPerRun takes, at each tick, how many tasks want a core for each run.
func (s *Shedder) estimateCoresPerRun(g Gauges) {
	runs := s.stateCount[running]
	if runs == 0 {
		return
	}
	perRun := g.OnCores / float64(runs)
	if g.OnCores <= float64(s.settings.Cores) {
		perRun = min(1, perRun) // a core is free for whatever is read
	}
	if s.stateCount[queued] > 0 {
		perRun *= g.CPU // cores that idle while requests wait want more runs
	}
	s.coresPerRun.Add(min(perRun, 1/minRunsPerCore), cpuBeta)
}

// coreShare is the part of a core that each run has.
func (s *Shedder) coreShare() float64 {
	wanted := max(1, float64(s.runsOnCores())) * max(minRunsPerCore, s.coresPerRun.Value())
	return min(1, float64(s.settings.Cores)/wanted)
}

// slowdown is the time on the cores, in seconds, that a second of expected work takes. Time counts as it
// passes and work as it completes, so a server that became slow or hangs shows before anything completes.
func (s *Shedder) slowdown() float64 { return s.completedCoreTime / s.completedWork }

// fadeSlowdown lets older time and work count less, by how much of the cores was used since the last sample.
func (s *Shedder) fadeSlowdown() {
	utilization := s.sampleCoreTime / (sampleInterval.Seconds() * float64(s.settings.Cores))
	s.sampleCoreTime = 0
	s.completedCoreTime *= math.Pow(slowdownRetention, utilization)
	s.completedWork = max(s.completedWork*math.Pow(slowdownRetention, utilization), minWork)
}

// updateBaselineSlowdown moves the baseline towards the slowdown: at once during the first windowLength, then
// down with slowdownRetention, and up with fairnessRetention, so slowly that a fault of some seconds stays
// visible.
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

// faultIsLocal reports whether the server itself is at fault, so that others may do better: it drains, warms
// up, or is slow by its own baseline.
func (s *Shedder) faultIsLocal() bool {
	return s.stopAt != 0 || s.warmupSpeed() < 1 || s.slowdown() > localFaultRatio*s.baselineSlowdown
}

// remainingWork is the time on the cores, in seconds, that a request is expected to need still.
func (s *Shedder) remainingWork(r *request, slowdown float64) float64 {
	total := r.expectedWork * slowdown
	return max(total-s.coreTimeSoFar(r).Seconds(), total/minRemainingDivisor)
}

// coreTimeSoFar is the time on the cores that a request has had.
func (s *Shedder) coreTimeSoFar(r *request) time.Duration {
	if r.state == running || r.state == preempting {
		return r.coreTime + s.coreClock - r.coreClockAtState
	}
	return r.coreTime
}

// seconds turns a number of seconds into a Duration.
func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
