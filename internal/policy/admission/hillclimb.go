package admission

import (
	"math"
	"time"
)

// HillClimber is the adaptive concurrency limit used in service. It searches for the knee, the number of runs beyond which throughput
// falls, by hill climbing. It compares samples at the limit with samples below it, called probes. If throughput was lower with fewer
// runs, the limit rises; if it was higher with fewer runs, the limit falls. Comparing adjacent samples distinguishes overload from a
// slow machine, whose throughput is low at either number of runs. A sudden drop of throughput is checked at once by a deep cut of the
// limit.
//
// Inputs are the number of runs and the time on the cores of each burst ([HillClimber.RunsChanged], [HillClimber.BurstEnded]). The
// output is [HillClimber.Limit], in runs. The search is additive increase and multiplicative decrease in the logarithm of the limit. The
// step grows while the search continues in one direction and shrinks when it turns.
type HillClimber struct {
	Bounds
	limit           float64
	lowerBound      float64 // highest limit known to be below the knee; 0: none
	upperBound      float64 // lowest limit known to be above the knee; 0: none
	step            float64 // in the logarithm of the limit
	lastProbeUp     bool    // the latest probe raised the limit
	streak          int     // number of consecutive probes with the same direction
	phase           searchPhase
	restSamplesLeft int // samples at the limit before the next probe

	window    throughputWindow // of the current sample
	settledAt time.Duration    // start of the measurement of the current sample
	baseline  []sample         // the last two samples at the limit, the latest last
	probe     *sample          // sample to compare with: below the limit, or before a deep cut; nil: none

	averageThroughput float64          // units of work a second at the limit, moving average
	meanBurst         float64          // seconds on the cores of a burst, moving average
	dropWindow        throughputWindow // in which sudden drops are detected
	dropCheckFrom     time.Duration    // drops before this time are ignored
	deepCutLimit      float64
	limitBeforeCut    float64 // limit before the latest deep cut, until the cut is known to have been right; 0: none
	deepCuts          int     // since the start
	diagnosis         string
}

// sample is the measurement of a period at one limit.
type sample struct {
	throughput     float64 // units of work a second, by Little's law
	completionRate float64 // units of work a second, by the bursts that ended
	runs           float64 // mean number of runs
	limited        bool    // the limit held runs back
}

type searchPhase int

const (
	atLimit      searchPhase = iota
	probing                  // below the limit
	checkingDrop             // at the limit, after a sudden drop of throughput
	deepCutting              // far below the limit
)

// Parameters of the search. Ratios are relative to the limit unless stated otherwise. TestLimitersFollowTheKnee shows the effect of a
// change on the simulated machines of docs/design/pools.md.
const (
	probeRatio    = 0.84 // limit of a probe: the effect of a higher one is lost in noise, a lower one costs more work
	baselineRatio = 0.96 // limit between probes: each second past the knee costs more than one below it
	kneeSlope     = 0.2  // relative gain of throughput per relative gain of runs at which the limit stays: the last runs add little

	initialStep     = 0.18 // in the logarithm of the limit, in a new search
	stepGrowth      = 2.5  // factor of the step for each probe with the same direction as the one before
	maxStep         = 0.32 // in the logarithm of the limit: 38% up or 27% down in one move
	fineStep        = 0.04 // first step once the knee is known
	boundsConverged = 0.13 // the knee is known once the logarithms of the limit and of a bound of the search differ by at most this

	maxBaselineChange   = 0.5  // of the logarithm of throughput across a probe; above it, something else changed and the probe is void
	minProbeDistance    = 0.05 // distance of the runs of probe and baseline in the logarithm; closer ones compare noise
	restSamplesNearKnee = 3    // samples without a probe once the knee is known: each probe costs work

	throughputDecay = 0.8 // weight of the previous value in averageThroughput, for each sample
	burstDecay      = 0.9 // weight of the previous value in meanBurst, for each burst
)

// Length of a sample.
const (
	minBurstsPerSample   = 12                     // bursts that end in a sample: fewer give no comparable figure
	minBurstsPerCheck    = 6                      // bursts in the sample that follows a sudden drop, which has to be quick
	minBurstsPerDeepCut  = 9                      // bursts in the sample of a deep cut
	minSampleLength      = 300 * time.Millisecond // a shorter one measures single runs
	maxSampleLength      = 4 * time.Second        // applies even if too few bursts ended, so that a stalled server is followed
	sampleLengthInBursts = 1.5                    // minimum length of a sample, as a multiple of the mean burst time: a run that starts with the sample can end within it
	settleTimeInBursts   = 1.2                    // wait before a sample, as a multiple of the mean burst time: runs from the previous limit have ended by then

	minUtilization = 0.85 // fraction of the limit that must be in use for a sample to say something about the limit
	maxUtilization = 1.3  // fraction of the limit above which something other than runs loads the cores
)

// Parameters of sudden drops and deep cuts.
const (
	dropRatio         = 0.55                   // of averageThroughput; a lower throughput is a sudden drop
	dropRecoveryRatio = 1.2                    // of the highest throughput of a drop; above it in the next sample, the drop was a brief fluctuation
	dropWindowLength  = 400 * time.Millisecond // in which sudden drops are detected
	speedupRatio      = 2.2                    // of averageThroughput after a deep cut; above it, a slow machine is fast again
	deepCutRatio      = 0.60                   // of the limit, in a deep cut
	furtherCutRatio   = 0.75                   // of the deep cut, in a further cut
	furtherCutSlope   = -0.5                   // throughput gain per gain of runs, below which another cut follows: fewer runs get much more done
	aboveKneeSlope    = 0.7                    // throughput gain per gain of runs, below which a drop is overload; a slow machine has about 1
	cutSpeedupRatio   = 3.5                    // of the throughput before a deep cut; no cut raises it so far, so a slow machine is fast again
)

// NewHillClimber returns a limiter without any measurement.
func NewHillClimber(b Bounds) *HillClimber {
	return &HillClimber{Bounds: b, limit: b.Start, step: initialStep, diagnosis: diagnosisUnconstrained}
}

// RunsChanged records a change of the number of runs on the cores. See [Limiter].
func (c *HillClimber) RunsChanged(now time.Duration, n int) {
	c.window.advance(now)
	c.dropWindow.advance(now)
	c.window.currentRuns, c.dropWindow.currentRuns = float64(n), float64(n)
}

// BurstEnded records the end of a burst on the cores. See [Limiter].
func (c *HillClimber) BurstEnded(now, spent time.Duration, work float64) {
	burstSeconds := spent.Seconds() / work
	if c.meanBurst == 0 {
		c.meanBurst = burstSeconds
	}
	c.meanBurst = c.meanBurst*burstDecay + burstSeconds*(1-burstDecay)
	c.dropWindow.advance(now)
	c.dropWindow.workDone += work
	c.dropWindow.burstsEnded++
	if now >= c.settledAt {
		c.window.advance(now)
		c.window.workDone += work
		c.window.burstSeconds += burstSeconds
		c.window.burstsEnded++
	}
}

// Diagnosis returns the state of the server. See [Limiter].
func (c *HillClimber) Diagnosis() string { return c.diagnosis }

// DeepCuts returns the number of deep cuts since the start.
func (c *HillClimber) DeepCuts() int { return c.deepCuts }

// activeLimit returns the limit in force in the current phase. Runs are whole, so a probe is at least one run below the baseline.
func (c *HillClimber) activeLimit() float64 {
	baseline := max(1, math.Round(c.limit*baselineRatio))
	switch c.phase {
	case probing:
		return max(1, min(math.Round(c.limit*probeRatio), baseline-1))
	case deepCutting:
		return max(1, min(math.Round(c.deepCutLimit), baseline-1))
	}
	return baseline
}

// Limit returns the limit on runs from now on, at most the ceiling. It must be called at every tick. demand says whether more runs would
// start if the limit were higher.
func (c *HillClimber) Limit(now time.Duration, ceiling float64, demand bool) float64 {
	if c.limit == 0 {
		c.limit = ceiling / baselineRatio
	}
	c.limit = c.clamp(c.limit, ceiling/baselineRatio)
	c.window.advance(now)
	c.dropWindow.advance(now)
	switch {
	case now < c.settledAt:
		c.window.restart(now)
	case c.detectSuddenDrop(now, demand):
		c.diagnosis, c.baseline, c.probe, c.phase = diagnosisCheckingDrop, nil, nil, checkingDrop
		c.window.restart(now)
	case c.sampleComplete(now):
		c.handleSample(now, c.measure(c.clamp(c.activeLimit(), ceiling), demand))
	}
	return c.clamp(c.activeLimit(), ceiling)
}

// handleSample acts on a complete sample according to the current phase.
func (c *HillClimber) handleSample(now time.Duration, s sample) {
	switch c.phase {
	case atLimit:
		c.addBaseline(now, s)
	case probing:
		c.probe = &s
		c.enterPhase(now, atLimit)
	case checkingDrop:
		c.evaluateDropCheck(now, s)
	case deepCutting:
		c.evaluateDeepCut(now, s)
	}
}

// sampleComplete reports whether the current sample is long enough to be evaluated.
func (c *HillClimber) sampleComplete(now time.Duration) bool {
	elapsed := now - c.window.startedAt
	return elapsed >= c.requiredLength() && (c.window.burstsEnded >= c.requiredBursts() || elapsed >= maxSampleLength)
}

// requiredLength returns the minimum length of a sample.
func (c *HillClimber) requiredLength() time.Duration {
	return min(maxSampleLength, max(minSampleLength, time.Duration(sampleLengthInBursts*c.meanBurst*float64(time.Second))))
}

// requiredBursts returns the minimum number of bursts that end in a sample of the current phase.
func (c *HillClimber) requiredBursts() int {
	switch c.phase {
	case checkingDrop:
		return minBurstsPerCheck
	case deepCutting:
		return minBurstsPerDeepCut
	}
	return minBurstsPerSample
}

// measure returns the current sample, taken at the given limit.
func (c *HillClimber) measure(limit float64, demand bool) sample {
	runs := c.window.meanRuns()
	return sample{throughput: c.window.littleThroughput(), completionRate: c.window.throughput(), runs: runs,
		limited: demand && runs >= minUtilization*limit-0.5 && runs <= maxUtilization*limit+1}
}

// enterPhase starts a sample in another phase. Bursts that started before still run, so the measurement starts only after the settling
// time.
func (c *HillClimber) enterPhase(now time.Duration, p searchPhase) {
	c.phase = p
	settle := settleTimeInBursts * c.meanBurst
	c.settledAt = now + min(maxSampleLength/2, time.Duration(settle*float64(time.Second)))
	c.window.restart(now)
}

// addBaseline adds a sample at the limit. The sample completes a probe or is a rest before the next probe.
func (c *HillClimber) addBaseline(now time.Duration, s sample) {
	c.window.restart(now)
	if !s.limited {
		c.baseline, c.probe, c.restSamplesLeft = nil, nil, 0
		c.diagnosis = diagnosisUnconstrained
		return
	}
	if c.averageThroughput == 0 {
		c.averageThroughput = s.completionRate
	}
	c.averageThroughput = c.averageThroughput*throughputDecay + s.completionRate*(1-throughputDecay)
	c.baseline = append(c.baseline, s)
	if len(c.baseline) > 2 {
		c.baseline = c.baseline[len(c.baseline)-2:]
	}
	if c.probe != nil && len(c.baseline) == 2 {
		c.evaluateProbe()
	}
	if c.restSamplesLeft > 0 {
		c.restSamplesLeft--
		return
	}
	c.enterPhase(now, probing)
}

// evaluateProbe compares a probe with the samples before and after it.
func (c *HillClimber) evaluateProbe() {
	before, probe, after := c.baseline[0], *c.probe, c.baseline[1]
	c.probe = nil
	if before.throughput <= 0 || probe.throughput <= 0 || after.throughput <= 0 || !probe.limited {
		return
	}
	if math.Abs(math.Log(after.throughput/before.throughput)) > maxBaselineChange {
		c.diagnosis = diagnosisSlowMachine // or suddenly overloaded: the next probe decides
		return
	}
	runsGain := (math.Log(before.runs)+math.Log(after.runs))/2 - math.Log(probe.runs)
	throughputGain := (math.Log(before.throughput)+math.Log(after.throughput))/2 - math.Log(probe.throughput)
	if runsGain < minProbeDistance {
		return
	}
	c.applySlope(throughputGain / runsGain)
}

// applySlope moves the limit up or down according to the slope that a probe measured. The knee is searched for between the highest limit known to be below it
// and the lowest limit known to be above it, and then followed in small steps. A single probe is often wrong, so a bound is
// discarded only after two consecutive probes contradict that bound.
func (c *HillClimber) applySlope(slope float64) {
	up := slope > kneeSlope
	if up == c.lastProbeUp {
		c.streak++
	} else {
		c.lastProbeUp, c.streak = up, 1
	}
	sameSideBound, oppositeBound := &c.lowerBound, &c.upperBound
	if !up {
		sameSideBound, oppositeBound = oppositeBound, sameSideBound
	}
	*sameSideBound = c.limit
	if c.streak > 1 {
		c.step = min(maxStep, stepGrowth*c.step)
	}
	step := c.step
	if !up {
		step = -step * min(1, max(0.5, kneeSlope-slope))
	}
	c.limit = max(c.Min, c.nextLimit(step, oppositeBound))
	switch {
	case *oppositeBound != 0 && math.Abs(math.Log(c.upperBound/c.lowerBound)) < 2*boundsConverged:
		c.diagnosis = diagnosisAtKnee
	case up:
		c.diagnosis = diagnosisBelowKnee
	default:
		c.diagnosis = diagnosisAboveKnee
	}
}

// nextLimit returns the limit after a step. If the opposite bound is known and distant, it is the geometric mean of the limit and that
// bound. Otherwise it is one step away. nextLimit discards an opposite bound that probes contradict.
func (c *HillClimber) nextLimit(step float64, oppositeBound *float64) float64 {
	switch {
	case *oppositeBound == 0:
	case math.Abs(math.Log(*oppositeBound/c.limit)) < boundsConverged:
		c.step = fineStep
		if c.streak > 1 { // the knee lies beyond
			*oppositeBound = 0
			c.step = fineStep * stepGrowth
		} else {
			c.restSamplesLeft = restSamplesNearKnee
		}
		return c.limit * math.Exp(math.Copysign(c.step, step))
	case c.streak > 2:
		*oppositeBound = 0
	default:
		next := math.Sqrt(c.limit * *oppositeBound)
		c.step = max(fineStep, math.Abs(math.Log(next/c.limit)))
		return next
	}
	return c.limit * math.Exp(step)
}

// restoreLimitBeforeCut restores the limit before the latest deep cut and restarts the search. It is called when throughput suddenly
// rises at an unchanged limit. Then either a slow machine was mistaken for overload and is fast again, or the knee has moved back.
func (c *HillClimber) restoreLimitBeforeCut(now time.Duration) {
	c.limit, c.limitBeforeCut = max(c.limit, c.limitBeforeCut), 0
	c.baseline, c.probe, c.restSamplesLeft, c.streak, c.lowerBound, c.upperBound, c.step = nil, nil, 0, 0, 0, 0, initialStep
	c.averageThroughput, c.diagnosis = 0, diagnosisBelowKnee
	c.enterPhase(now, atLimit)
}

// detectSuddenDrop reports whether throughput at the limit dropped suddenly. If it rose suddenly after a deep cut, detectSuddenDrop
// restores the limit before the cut.
func (c *HillClimber) detectSuddenDrop(now time.Duration, demand bool) bool {
	if c.dropWindow.seconds() < max(dropWindowLength.Seconds(), 2*min(c.meanBurst, 1)) {
		return false
	}
	throughput, runs := c.dropWindow.throughput(), c.dropWindow.meanRuns()
	c.dropWindow.restart(now)
	if c.phase > probing || c.averageThroughput == 0 || !demand {
		return false
	}
	if c.limitBeforeCut > 0 && throughput > speedupRatio*c.averageThroughput {
		c.restoreLimitBeforeCut(now)
		return false
	}
	if now < c.dropCheckFrom {
		return false
	}
	scale := min(1, runs/max(1, c.limit*baselineRatio)) // fewer runs have a lower throughput
	return throughput < dropRatio*c.averageThroughput*scale && runs >= minUtilization*c.activeLimit()-0.5
}

// evaluateDropCheck acts on the sample after a sudden drop. If the drop persists it starts a deep cut, which compares the throughput at
// the current number of runs with that of fewer runs.
func (c *HillClimber) evaluateDropCheck(now time.Duration, s sample) {
	if !s.limited || s.completionRate > dropRatio*c.averageThroughput*dropRecoveryRatio { // the drop was a brief fluctuation
		c.diagnosis = diagnosisAtKnee
		c.enterPhase(now, atLimit)
		return
	}
	c.deepCuts++
	c.limitBeforeCut = c.limit
	c.deepCutLimit = c.limit * deepCutRatio
	c.averageThroughput = 0
	c.probe = &s
	c.enterPhase(now, deepCutting)
	c.settledAt = now + time.Duration(c.meanBurst*float64(time.Second))/2 // by then the number of runs has fallen
}

// evaluateDeepCut compares the sample of a deep cut with the one before the cut. With fewer runs, throughput falls in proportion on a
// slow machine and rises on an overloaded one. Unclear results count as overload: a limit that is too low recovers within seconds,
// whereas each second past the knee loses throughput.
func (c *HillClimber) evaluateDeepCut(now time.Duration, s sample) {
	previous := *c.probe
	c.probe = nil
	slope := math.Log(max(s.completionRate, 0.01)/max(previous.completionRate, 0.01)) / math.Log(min(0.95, s.runs/previous.runs))
	if s.completionRate > cutSpeedupRatio*previous.completionRate {
		c.restoreLimitBeforeCut(now)
		return
	}
	if slope < furtherCutSlope && c.deepCutLimit*furtherCutRatio >= c.Min {
		c.limit = c.deepCutLimit
		c.deepCutLimit *= furtherCutRatio
		c.probe = &s
		c.enterPhase(now, deepCutting)
		return
	}
	if slope < aboveKneeSlope || c.limit < c.limitBeforeCut {
		c.diagnosis = diagnosisAboveKnee
		if c.limit == c.limitBeforeCut || slope < kneeSlope { // otherwise the last cut went too far
			c.limit = max(c.Min, c.deepCutLimit/baselineRatio)
		}
		c.lowerBound, c.upperBound, c.streak, c.step = 0, 0, 0, initialStep
	} else {
		c.diagnosis, c.limitBeforeCut = diagnosisSlowMachine, 0
	}
	c.averageThroughput = s.completionRate
	c.dropCheckFrom = now + maxSampleLength
	c.restSamplesLeft = 0
	c.enterPhase(now, atLimit)
}
