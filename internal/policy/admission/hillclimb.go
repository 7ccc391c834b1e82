package admission

import (
	"math"
	"time"
)

// HillClimber is the adaptive concurrency limit that serves: it searches by hill climbing for the knee, the number of runs past which
// the server gets less done. It compares samples at the limit with samples below it. Where fewer runs got less done, more runs have
// something to gain; where they got more done, there were too many. Comparing neighbours in time tells overload from a slow machine,
// which is slow at either number of runs. A sudden drop of the throughput is looked into at once by a deep cut.
//
// Inputs: the number of runs, and how long each burst on the cores took ([HillClimber.RunsChanged], [HillClimber.BurstEnded]). Output:
// [HillClimber.Limit], in runs. The search is additive increase and multiplicative decrease in the logarithm of the limit, with a step
// that grows while it goes one way and shrinks as it turns.
type HillClimber struct {
	Bounds
	limit           float64
	lowerBound      float64 // the highest limit known to be below the knee; 0: none
	upperBound      float64 // the lowest limit known to be above it; 0: none
	step            float64 // of the logarithm of the limit
	lastProbeUp     bool    // the latest probe said that the limit should rise
	streak          int     // so many probes in a row said the same
	phase           searchPhase
	restSamplesLeft int // samples at the limit still to come before the next probe

	window    throughputWindow // of the sample that is being taken
	settledAt time.Duration    // the sample is measured from then on
	baseline  []sample         // at the limit, the latest last; two at most
	probe     *sample          // below the limit, until it is judged

	averageThroughput float64          // units of work a second at the limit, slowly following
	meanBurst         float64          // seconds on the cores of a burst, of late
	dropWindow        throughputWindow // in which a sudden drop is looked for
	dropCheckFrom     time.Duration    // no drop is looked for before then
	deepCutLimit      float64
	limitBeforeCut    float64 // until the deep cut is known to have been right; 0: there is none
	deepCuts          int     // so far
	diagnosis         string
}

// sample is what was measured of a stretch of time at one limit.
type sample struct {
	throughput     float64 // units of work a second, by Little's law
	completionRate float64 // units of work a second, by the bursts that ended
	runs           float64 // mean number
	limited        bool    // the limit held runs back
}

type searchPhase int

const (
	atLimit      searchPhase = iota
	probing                  // somewhat below it
	checkingDrop             // at it, after a sudden drop: how much is done now?
	deepCutting              // far below it
)

// The search in rest. Ratios are of the limit unless they say otherwise. All were found by trial against the simulated machines of
// docs/design/pools.md; what a change of one does shows in TestLimitersFollowTheKnee.
const (
	probeRatio    = 0.84 // of a probe. Nearer to 1 the difference drowns in noise; lower, each probe costs work
	baselineRatio = 0.96 // in use between probes: past the knee every second costs more than below it
	kneeSlope     = 0.2  // gain of throughput in per cent for one per cent of runs, at which the limit stands still: the last runs gain little

	initialStep     = 0.18 // of the limit's logarithm in a new search
	stepGrowth      = 2.5  // times the step, for each probe that says the same as the one before
	maxStep         = 0.32 // of the logarithm: 38% up, or 27% down, in one move
	fineStep        = 0.04 // the first one once the knee is known
	boundsConverged = 0.13 // logarithm between limit and bound at which the knee is known

	maxBaselineChange   = 0.5  // logarithm by which the throughput about a probe may differ: else something else changed, and the probe says nothing
	minProbeDistance    = 0.05 // logarithm between the runs of probe and baseline; closer ones compare noise
	restSamplesNearKnee = 3    // samples without a probe once the knee is known: each probe costs work

	throughputDecay = 0.8 // weight of the past in the usual throughput, for each sample
	burstDecay      = 0.9 // weight of the past in the mean burst, for each end
)

// How long a sample is.
const (
	minBurstsPerSample   = 12                     // bursts that end in a sample, at least: fewer are too few to compare
	minBurstsPerCheck    = 6                      // in the sample that follows a sudden drop: it has to be quick
	minBurstsPerDeepCut  = 9                      // in the one of a deep cut
	minSampleLength      = 300 * time.Millisecond // shorter ones are of single runs
	maxSampleLength      = 4 * time.Second        // whatever has ended: a stalled server is followed all the same
	sampleLengthInBursts = 1.5                    // times the mean burst: a run that began with the sample can end in it
	settleTimeInBursts   = 1.2                    // times the mean burst, before a sample is measured: what was started at the old limit has ended

	minUtilization = 0.85 // of the limit must be in use for a sample to tell anything of the limit
	maxUtilization = 1.3  // and no more than so much: past it something else than runs loads the cores
)

// Sudden drops and deep cuts.
const (
	dropRatio         = 0.55                   // of the usual throughput: a sudden drop
	dropRecoveryRatio = 1.2                    // times that, in the sample that follows: it was a lull
	dropWindowLength  = 400 * time.Millisecond // in which it is looked for
	speedupRatio      = 2.2                    // times the usual throughput after a deep cut: what was slow is fast again
	deepCutRatio      = 0.60                   // of the limit, in a deep cut
	furtherCutRatio   = 0.75                   // of that, while fewer runs still get much more done
	furtherCutSlope   = -0.5                   // gain of throughput for a gain of runs, below which they do
	aboveKneeSlope    = 0.7                    // below which a drop is taken for overload: a slow machine has about 1
	cutSpeedupRatio   = 3.5                    // times the throughput before a deep cut, which no cut brings about: what was slow is fast again
)

// NewHillClimber returns a search that has seen nothing yet.
func NewHillClimber(b Bounds) *HillClimber {
	return &HillClimber{Bounds: b, limit: b.Start, step: initialStep, diagnosis: diagnosisUnconstrained}
}

// RunsChanged is told of every change in the number of runs on the cores.
func (c *HillClimber) RunsChanged(now time.Duration, n int) {
	c.window.advance(now)
	c.dropWindow.advance(now)
	c.window.currentRuns, c.dropWindow.currentRuns = float64(n), float64(n)
}

// BurstEnded is told of the end of a burst on the cores; see [Limiter].
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

// Diagnosis says what the limiter takes the server to be.
func (c *HillClimber) Diagnosis() string { return c.diagnosis }

// DeepCuts is the number of deep cuts so far.
func (c *HillClimber) DeepCuts() int { return c.deepCuts }

// activeLimit is the limit in force in the present phase. Runs are whole, so a probe is at least one run below the baseline.
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

// Limit is the limit on runs from now on, at most the ceiling. It is asked at every tick; demand says whether more would run if it
// were higher.
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

// take acts on a complete sample.
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

// sampleComplete reports whether the present sample is long enough to be judged.
func (c *HillClimber) sampleComplete(now time.Duration) bool {
	elapsed := now - c.window.startedAt
	return elapsed >= c.requiredLength() && (c.window.burstsEnded >= c.requiredBursts() || elapsed >= maxSampleLength)
}

// minLength is the least length of a sample.
func (c *HillClimber) requiredLength() time.Duration {
	return min(maxSampleLength, max(minSampleLength, time.Duration(sampleLengthInBursts*c.meanBurst*float64(time.Second))))
}

// minEnds is the least number of bursts that end in a sample.
func (c *HillClimber) requiredBursts() int {
	switch c.phase {
	case checkingDrop:
		return minBurstsPerCheck
	case deepCutting:
		return minBurstsPerDeepCut
	}
	return minBurstsPerSample
}

// measure is the present sample, taken at a limit.
func (c *HillClimber) measure(limit float64, demand bool) sample {
	runs := c.window.meanRuns()
	return sample{throughput: c.window.littleThroughput(), completionRate: c.window.throughput(), runs: runs,
		limited: demand && runs >= minUtilization*limit-0.5 && runs <= maxUtilization*limit+1}
}

// enter begins a sample in another phase. What was started before goes on, so that the first run's time tells nothing.
func (c *HillClimber) enterPhase(now time.Duration, p searchPhase) {
	c.phase = p
	settle := settleTimeInBursts * c.meanBurst
	c.settledAt = now + min(maxSampleLength/2, time.Duration(settle*float64(time.Second)))
	c.window.restart(now)
}

// addBaseline takes a sample at the limit: it ends a probe, or is a rest before the next.
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

// judgeProbe compares a probe with the samples before and after it.
func (c *HillClimber) evaluateProbe() {
	before, probe, after := c.baseline[0], *c.probe, c.baseline[1]
	c.probe = nil
	if before.throughput <= 0 || probe.throughput <= 0 || after.throughput <= 0 || !probe.limited {
		return
	}
	if math.Abs(math.Log(after.throughput/before.throughput)) > maxBaselineChange {
		c.diagnosis = diagnosisSlowMachine // or overloaded all at once: the next probe tells
		return
	}
	runsGain := (math.Log(before.runs)+math.Log(after.runs))/2 - math.Log(probe.runs)
	throughputGain := (math.Log(before.throughput)+math.Log(after.throughput))/2 - math.Log(probe.throughput)
	if runsGain < minProbeDistance {
		return
	}
	c.applySlope(throughputGain / runsGain)
}

// applySlope moves the limit by the slope that a probe has found. The knee is searched for between the highest limit known to be
// below it and the lowest known to be above it, and followed from there in small steps: one probe alone is often wrong, so that a far
// bound is given up only for two that say so.
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

// nextLimit is where a step leads: half way to the far bound while that is known and far off, else as far as the step goes. A far
// bound that probes contradict is given up.
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

// restoreLimit takes up the limit of before the latest deep cut, and begins the search anew: at a limit that has not risen much more
// is done all at once, so a slow machine was taken for overload and is fast again, or the knee is back where it was.
func (c *HillClimber) restoreLimitBeforeCut(now time.Duration) {
	c.limit, c.limitBeforeCut = max(c.limit, c.limitBeforeCut), 0
	c.baseline, c.probe, c.restSamplesLeft, c.streak, c.lowerBound, c.upperBound, c.step = nil, nil, 0, 0, 0, 0, initialStep
	c.averageThroughput, c.diagnosis = 0, diagnosisBelowKnee
	c.enterPhase(now, atLimit)
}

// suddenDrop reports a sudden drop of the throughput at the limit.
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
	scale := min(1, runs/max(1, c.limit*baselineRatio)) // fewer runs may do less
	return throughput < dropRatio*c.averageThroughput*scale && runs >= minUtilization*c.activeLimit()-0.5
}

// beginDeepCut looks into a sudden drop: what is done now at this many runs is compared with what fewer get done.
func (c *HillClimber) evaluateDropCheck(now time.Duration, s sample) {
	if !s.limited || s.completionRate > dropRatio*c.averageThroughput*dropRecoveryRatio { // it was no more than a lull
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
	c.settledAt = now + time.Duration(c.meanBurst*float64(time.Second))/2 // until the runs are fewer
}

// judgeDeepCut compares a deep cut with how the work went as the runs grew fewer. A slow machine does less for fewer runs, in
// proportion; an overloaded one does more. In doubt it is overload: a limit that is too low is climbed from within seconds, and past
// the knee every second is lost.
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
		if c.limit == c.limitBeforeCut || slope < kneeSlope { // else the last cut went too far
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
