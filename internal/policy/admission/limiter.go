// Package admission decides how many runs there may be on a server and whose they are: an adaptive concurrency limit, which follows
// the number of runs past which a server gets less done; bulkheads, here called pools as in the settings, a group of classes each with
// a guaranteed share that is borrowed while it idles; stages by which memory gives way; a reserve for what is cheap; and a gate that
// turns floods away unread.
//
// It has no I/O, no clock and no goroutine: events come in with their time, answers go out. The core calls it under its lock, the
// listeners their [Reserve] under theirs. docs/design/pools.md weighs the options, docs/pools.md is for operators.
package admission

import "time"

// Limiter finds the number of runs on the cores that gets most done. Times are since any fixed moment.
type Limiter interface {
	// RunsChanged is told of every change in the number of runs on the cores.
	RunsChanged(now time.Duration, n int)
	// BurstEnded is told of the end of a burst, which is a run's time on the cores up to a call or its end, and how long that was.
	// Unit is the usual work of its class's bursts against the mean of all classes.
	BurstEnded(now, spent time.Duration, work float64)
	// Limit is the limit from now on, in runs. It is at most the ceiling, which others set, and demand tells whether more would run
	// if it were higher.
	Limit(now time.Duration, ceiling float64, demand bool) float64
	// Diagnosis says in a word what the limiter takes the server to be: one of those that docs/pools.md lists.
	Diagnosis() string
}

// Bounds are what a limit keeps to, as an edge file sets them. All are in runs.
type Bounds struct {
	Min   float64 // the limit never falls below
	Start float64 // 0: the ceiling
	Fixed float64 // the limit, which nothing moves then; 0: it is searched for
}

// clamp keeps a limit within its bounds and the ceiling; a ceiling under the minimum wins.
func (b Bounds) clamp(limit, ceiling float64) float64 {
	return min(max(limit, b.Min), max(1, ceiling))
}

// newLimiter is the one that the bounds ask for.
func (b Bounds) newLimiter() Limiter {
	if b.Fixed > 0 {
		return fixedLimit(b.Fixed)
	}
	return NewHillClimber(b)
}

// fixedLimit is a limit that nothing moves.
type fixedLimit float64

func (fixedLimit) RunsChanged(time.Duration, int)           {}
func (fixedLimit) BurstEnded(_, _ time.Duration, _ float64) {}
func (fixedLimit) Diagnosis() string                        { return "fixed" }
func (f fixedLimit) Limit(_ time.Duration, ceiling float64, _ bool) float64 {
	return min(float64(f), max(1, ceiling))
}

// Diagnoses, in the words of the status and the log.
const (
	diagnosisUnconstrained = "calm"    // the limit is not what holds runs back
	diagnosisAtKnee        = "level"   // at the knee, as far as is known
	diagnosisBelowKnee     = "rising"  // more runs get more done
	diagnosisAboveKnee     = "crowded" // fewer runs get more done
	diagnosisSlowMachine   = "slow"    // slower at any number of runs: the limit is not at fault
	diagnosisCheckingDrop  = "asking"  // a sudden drop is being looked into
)

// throughputWindow measures the work done in a stretch of time, and the mean number of runs.
type throughputWindow struct {
	startedAt    time.Duration
	advancedTo   time.Duration // it was advanced to
	currentRuns  float64
	runSeconds   float64 // runs × seconds
	workDone     float64 // units of work whose bursts ended
	burstsEnded  int     // bursts
	burstSeconds float64 // seconds on the cores of the bursts that ended, each against its class
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

// seconds is how long the window has been.
func (w *throughputWindow) seconds() float64 { return (w.advancedTo - w.startedAt).Seconds() }

// meanRuns is the mean number of runs.
func (w *throughputWindow) meanRuns() float64 {
	if seconds := w.seconds(); seconds > 0 {
		return w.runSeconds / seconds
	}
	return w.currentRuns
}

// littleThroughput is the units of work a second by Little's law, from how many ran and how long those that ended took. It swings far
// less than a count of ends, but it is true only of a window whose runs began in it.
func (w *throughputWindow) littleThroughput() float64 {
	if w.burstSeconds <= 0 {
		return 0
	}
	return w.meanRuns() * float64(w.burstsEnded) / w.burstSeconds
}

// throughput is the units of work a second, by the bursts that ended.
func (w *throughputWindow) throughput() float64 {
	if seconds := w.seconds(); seconds > 0 {
		return w.workDone / seconds
	}
	return 0
}
