// Package admission decides how many runs a server executes at a time and to which classes they belong. It consists of:
//
//   - an adaptive concurrency limit ([Limiter]) that follows the knee, the number of runs beyond which throughput falls
//   - bulkheads, called pools as in the settings: groups of classes, each with a guaranteed share that others borrow while it is idle
//   - memory stages that reject work by priority as memory runs short ([MemoryGovernor])
//   - a reserve of connections and time for cheap calls ([Reserve])
//   - a gate that rejects floods of requests without reading them ([ArrivalGate])
//
// It has no I/O, no clock and no goroutine: events come in with their time, and decisions are returned. The core calls it under its
// lock. Listeners call their [Reserve] under their own locks. docs/design/pools.md compares the design options, docs/pools.md is for
// operators.
package admission

import "time"

// Limiter searches for the number of runs on the cores with the highest throughput. All times are relative to one fixed moment.
type Limiter interface {
	// RunsChanged records a change of the number of runs on the cores. It must be called for every change.
	RunsChanged(now time.Duration, n int)
	// BurstEnded records the end of a burst and the time that it spent on the cores. A burst is the time on the cores of a run up to a
	// call or its end. work is the mean burst of its class relative to the mean of all classes.
	BurstEnded(now, spent time.Duration, work float64)
	// Limit returns the limit in runs from now on, at most the ceiling. demand says whether more runs would start if the limit were
	// higher.
	Limit(now time.Duration, ceiling float64, demand bool) float64
	// Diagnosis returns the state of the server as one of the words that docs/pools.md lists.
	Diagnosis() string
}

// Bounds constrain a limit, as an edge file configures them. All values are in runs.
type Bounds struct {
	Min   float64 // lower bound of the limit
	Start float64 // initial limit; 0: the ceiling
	Fixed float64 // constant limit; 0: the limit is adaptive
}

// clamp restricts a limit to the bounds and the ceiling. The ceiling takes precedence over the minimum.
func (b Bounds) clamp(limit, ceiling float64) float64 {
	return min(max(limit, b.Min), max(1, ceiling))
}

// newLimiter returns the limiter that the bounds select: a constant one or a [HillClimber].
func (b Bounds) newLimiter() Limiter {
	if b.Fixed > 0 {
		return fixedLimit(b.Fixed)
	}
	return NewHillClimber(b)
}

// fixedLimit is a constant limit.
type fixedLimit float64

func (fixedLimit) RunsChanged(time.Duration, int)           {}
func (fixedLimit) BurstEnded(_, _ time.Duration, _ float64) {}
func (fixedLimit) Diagnosis() string                        { return "fixed" }
func (f fixedLimit) Limit(_ time.Duration, ceiling float64, _ bool) float64 {
	return min(float64(f), max(1, ceiling))
}

// The diagnoses, as they appear in the status and the log.
const (
	diagnosisUnconstrained = "calm"    // runs are not held back by the limit
	diagnosisAtKnee        = "level"   // at the knee, as far as known
	diagnosisBelowKnee     = "rising"  // more runs increase throughput
	diagnosisAboveKnee     = "crowded" // fewer runs increase throughput
	diagnosisSlowMachine   = "slow"    // throughput is low at any number of runs, so the limit is not the cause
	diagnosisCheckingDrop  = "asking"  // a sudden drop of throughput is being checked
)

// throughputWindow measures the completed work and the mean number of runs over a period.
type throughputWindow struct {
	startedAt    time.Duration
	advancedTo   time.Duration // runSeconds covers the time until then
	currentRuns  float64       // runs on the cores at advancedTo
	runSeconds   float64       // integral of the number of runs over time
	workDone     float64       // units of work of the bursts that ended
	burstsEnded  int
	burstSeconds float64 // seconds on the cores of the bursts that ended, each divided by the relative work of its class
}

func (w *throughputWindow) advance(now time.Duration) {
	if now > w.advancedTo {
		w.runSeconds += w.currentRuns * (now - w.advancedTo).Seconds()
		w.advancedTo = now
	}
}

func (w *throughputWindow) restart(now time.Duration) {
	w.advance(now)
	*w = throughputWindow{startedAt: now, advancedTo: now, currentRuns: w.currentRuns}
}

// seconds returns the length of the window.
func (w *throughputWindow) seconds() float64 { return (w.advancedTo - w.startedAt).Seconds() }

// meanRuns returns the mean number of runs in the window.
func (w *throughputWindow) meanRuns() float64 {
	if seconds := w.seconds(); seconds > 0 {
		return w.runSeconds / seconds
	}
	return w.currentRuns
}

// littleThroughput returns the throughput in units of work a second by Little's law, from the mean number of runs and the mean duration
// of the bursts that ended. It varies far less than a count of ended bursts, but it is only valid for a window in which the measured
// bursts also began.
func (w *throughputWindow) littleThroughput() float64 {
	if w.burstSeconds <= 0 {
		return 0
	}
	return w.meanRuns() * float64(w.burstsEnded) / w.burstSeconds
}

// throughput returns the units of work a second of the bursts that ended.
func (w *throughputWindow) throughput() float64 {
	if seconds := w.seconds(); seconds > 0 {
		return w.workDone / seconds
	}
	return 0
}
