package admission

import (
	"math"
	"time"
)

// Climb moves the limit by the useful work done. It compares stretches of time at the limit with stretches below it:
// where fewer runs got less done there is room for more, and where they got more done there were too many. Comparing
// neighbours in time tells a crowd from a slow machine, which is slow at either number of runs. A sudden fall in the
// work done is looked into at once by a deep cut.
//
// It is additive increase and multiplicative decrease in the logarithm of the limit, with a step that grows while it
// goes one way and shrinks as it turns.
type Climb struct {
	Range
	limit  float64
	under  float64 // the highest limit known to be under the point of collapse; 0: none
	over   float64 // the lowest known to be over it
	step   float64 // of the logarithm of the limit
	up     bool    // what the latest probe said
	same   int     // so many in a row
	phase  climbPhase
	rest   int // stretches at the limit yet to come before the next probe
	tally  tally
	settle time.Duration // the stretch is measured from then on
	base   []stretch     // at the limit, the latest last
	low    *stretch      // the probe below it, until it is judged
	usual  float64       // work done in a second at the limit, slowly following
	spent  float64       // seconds on the cores of a run, of late
	recent tally         // for the sudden fall
	quiet  time.Duration // no fall is looked into before then
	cutTo  float64
	belief string
	before float64 // the limit before the latest deep cut, until that is known to have been right
	cuts   int     // deep cuts so far
}

// stretch is a measured stretch of time.
type stretch struct {
	rate, runs float64 // work done in a second, by Little's law; mean runs
	ends       float64 // work done in a second, by its ends
	bound      bool    // the limit held runs back
}

type climbPhase int

const (
	atLimit  climbPhase = iota
	probing             // somewhat below it
	doubting            // at it, after a sudden fall: how much is done now?
	cutting             // deep below it
)

const (
	probeDown  = 0.84 // of the limit, in a probe
	cutDown    = 0.60 // of the limit, in a deep cut
	impossible = 3.5  // times the work done that no deep cut brings about: what was slow is back
	cutAgain   = 0.75 // of that, while fewer runs still get much more done
	againUnder = -0.5 // slope at which they do
	restAt     = 0.96 // of the limit is used between probes: the point of collapse is worse from above
	wantSlope  = 0.2  // gain in work for a gain in runs, in per cent for one, at which the limit stands still
	firstStep  = 0.18 // step of the limit's logarithm in a new search; it doubles with every one that goes on
	faster     = 2.5
	mostStep   = 0.32
	smallStep  = 0.04            // the first one once the point is known
	narrow     = 0.13            // logarithm between the bounds at which it is
	inDoubt    = 0.7             // slope of a deep cut below which the fall is taken for a crowd
	stretchEnd = 12              // ends in a stretch, at least
	doubtEnd   = 6               // ends in the stretch that follows a sudden fall
	cutEnd     = 9               // and in the deep cut after it
	longest    = 4 * time.Second // of a stretch, whatever has ended
	shifted    = 0.5             // logarithm by which the two stretches about a probe may differ
	backTo     = 2.2             // times the usual work done: what was slow is back
	fallTo     = 0.55            // of the usual work done: a sudden fall
	fallWithin = 400 * time.Millisecond
	usualPast  = 0.8  // weight of the past in the usual work, for each stretch
	spentPast  = 0.9  // weight of the past in the time of a run, for each end
	boundAt    = 0.85 // of the limit must be in use for a stretch to tell anything
	beyond     = 1.3  // and no more than so much: past it something else than runs crowds the cores
)

// NewClimb returns a limiter on useful work done.
func NewClimb(r Range) *Climb {
	return &Climb{Range: r, limit: r.Start, step: firstStep, belief: calm}
}

func (c *Climb) Running(now time.Duration, n int) {
	c.tally.pass(now)
	c.recent.pass(now)
	c.tally.running, c.recent.running = float64(n), float64(n)
}

func (c *Climb) Ended(now, spent time.Duration, unit float64) {
	t := spent.Seconds() / unit
	if c.spent == 0 {
		c.spent = t
	}
	c.spent = c.spent*spentPast + t*(1-spentPast)
	c.recent.pass(now)
	c.recent.ends += unit
	c.recent.count++
	if now >= c.settle {
		c.tally.pass(now)
		c.tally.ends += unit
		c.tally.spent += t
		c.tally.count++
	}
}

// Belief says what the limiter takes the server to be.
func (c *Climb) Belief() string { return c.belief }

// Cuts is the number of deep cuts so far.
func (c *Climb) Cuts() int { return c.cuts }

// used is the limit in force in the present phase. Runs are whole, so a probe is at least one run below.
func (c *Climb) used() float64 {
	base := max(1, math.Round(c.limit*restAt))
	switch c.phase {
	case probing:
		return max(1, min(math.Round(c.limit*probeDown), base-1))
	case cutting:
		return max(1, min(math.Round(c.cutTo), base-1))
	}
	return base
}

func (c *Climb) Limit(now time.Duration, ceiling float64, wanted bool) float64 {
	if c.limit == 0 {
		c.limit = ceiling / restAt
	}
	c.limit = c.clamp(c.limit, ceiling/restAt)
	c.tally.pass(now)
	c.recent.pass(now)
	if now < c.settle {
		c.tally.restart(now)
		return c.clamp(c.used(), ceiling)
	}
	if c.fallen(now, wanted) {
		c.belief, c.base, c.low, c.phase = asking, nil, nil, doubting
		c.tally.restart(now)
		return c.clamp(c.used(), ceiling)
	}
	length := now - c.tally.since
	if length < c.least() || c.tally.count < c.enough() && length < longest {
		return c.clamp(c.used(), ceiling)
	}
	used := c.clamp(c.used(), ceiling)
	s := stretch{rate: c.tally.little(), ends: c.tally.rate(), runs: c.tally.mean(), bound: wanted && c.tally.mean() >= boundAt*used-0.5 && c.tally.mean() <= beyond*used+1}
	switch c.phase {
	case atLimit:
		c.atLimit(now, s)
	case probing:
		c.low = &s
		c.enter(now, atLimit)
	case doubting:
		c.cut(now, s)
	case cutting:
		c.judgeCut(now, s)
	}
	return c.clamp(c.used(), ceiling)
}

// least is the least length of a stretch: a run's time or two, so that one that began with it can end in it.
func (c *Climb) least() time.Duration {
	return min(longest, max(300*time.Millisecond, time.Duration(1.5*c.spent*float64(time.Second))))
}

func (c *Climb) enough() int {
	switch c.phase {
	case doubting:
		return doubtEnd
	case cutting:
		return cutEnd
	}
	return stretchEnd
}

// enter begins a stretch in another phase. What was started before goes on, so that the first run's time tells
// nothing.
func (c *Climb) enter(now time.Duration, p climbPhase) {
	c.phase = p
	wait := 1.2 * c.spent
	c.settle = now + min(longest/2, time.Duration(wait*float64(time.Second)))
	c.tally.restart(now)
}

// atLimit takes a stretch at the limit: it ends a probe, or is a rest before the next.
func (c *Climb) atLimit(now time.Duration, s stretch) {
	c.tally.restart(now)
	if !s.bound {
		c.base, c.low, c.rest = nil, nil, 0
		c.belief = calm
		return
	}
	if c.usual == 0 {
		c.usual = s.ends
	}
	c.usual = c.usual*usualPast + s.ends*(1-usualPast)
	c.base = append(c.base, s)
	if len(c.base) > 2 {
		c.base = c.base[len(c.base)-2:]
	}
	if c.low != nil && len(c.base) == 2 {
		c.judge()
	}
	if c.rest > 0 {
		c.rest--
		return
	}
	c.enter(now, probing)
}

// judge compares a probe with the stretches before and after it.
func (c *Climb) judge() {
	before, low, after := c.base[0], *c.low, c.base[1]
	c.low = nil
	if before.rate <= 0 || low.rate <= 0 || after.rate <= 0 || !low.bound {
		return
	}
	if math.Abs(math.Log(after.rate/before.rate)) > shifted {
		c.belief = slow // or crowded all at once: the next probe tells
		return
	}
	runs := (math.Log(before.runs)+math.Log(after.runs))/2 - math.Log(low.runs)
	work := (math.Log(before.rate)+math.Log(after.rate))/2 - math.Log(low.rate)
	if runs < 0.05 {
		return
	}
	c.move(work / runs)
}

// move changes the limit by the slope that a probe has found. The point of collapse is searched for between the
// highest limit known to be under it and the lowest known to be over it, and followed from there in small steps: one
// probe alone is often wrong, so that a far bound is given up only for two that say so.
func (c *Climb) move(slope float64) {
	up := slope > wantSlope
	if up == c.up {
		c.same++
	} else {
		c.up, c.same = up, 1
	}
	near, far := &c.under, &c.over
	if !up {
		near, far = far, near
	}
	*near = c.limit
	if c.same > 1 {
		c.step = min(mostStep, faster*c.step)
	}
	step := c.step
	if !up {
		step = -step * min(1, max(0.5, wantSlope-slope))
	}
	next := c.limit * math.Exp(step)
	switch {
	case *far == 0:
	case math.Abs(math.Log(*far/c.limit)) < narrow:
		c.step = smallStep
		if c.same > 1 { // it lies beyond
			*far = 0
			c.step = smallStep * faster
		} else {
			c.rest = 3
		}
		next = c.limit * math.Exp(math.Copysign(c.step, step))
	case c.same > 2:
		*far = 0
	default:
		next = math.Sqrt(c.limit * *far)
		c.step = max(smallStep, math.Abs(math.Log(next/c.limit)))
	}
	c.limit = max(c.Least, next)
	switch {
	case *far != 0 && math.Abs(math.Log(c.over/c.under)) < 2*narrow:
		c.belief = level
	case up:
		c.belief = rising
	default:
		c.belief = crowded
	}
}

// back takes up the limit of before the latest deep cut: at a limit that has not risen much more is done all at once,
// so a slow machine was taken for a crowd, and it is back, or the point of collapse is.
func (c *Climb) back(now time.Duration) {
	c.limit, c.before = max(c.limit, c.before), 0
	c.base, c.low, c.rest, c.same, c.under, c.over, c.step = nil, nil, 0, 0, 0, 0, firstStep
	c.usual, c.belief = 0, rising
	c.enter(now, atLimit)
}

// fallen reports a sudden fall in the work done at the limit.
func (c *Climb) fallen(now time.Duration, wanted bool) bool {
	if c.recent.length() < max(fallWithin.Seconds(), 2*min(c.spent, 1)) {
		return false
	}
	rate, runs := c.recent.rate(), c.recent.mean()
	c.recent.restart(now)
	if c.phase > probing || c.usual == 0 || !wanted {
		return false
	}
	if c.before > 0 && rate > backTo*c.usual {
		c.back(now)
		return false
	}
	if now < c.quiet {
		return false
	}
	scale := min(1, runs/max(1, c.limit*restAt)) // fewer runs may do less
	return rate < fallTo*c.usual*scale && runs >= boundAt*c.used()-0.5
}

// cut looks into a sudden fall: what is done now at this many runs is compared with what fewer get done.
func (c *Climb) cut(now time.Duration, s stretch) {
	if !s.bound || s.ends > fallTo*c.usual*1.2 { // it was no more than a lull
		c.belief = level
		c.enter(now, atLimit)
		return
	}
	c.cuts++
	c.before = c.limit
	c.cutTo = c.limit * cutDown
	c.usual = 0
	c.low = &s
	c.enter(now, cutting)
	c.settle = now + time.Duration(c.spent*float64(time.Second))/2 // until the runs are fewer
}

// judgeCut compares a deep cut with how the work went as the runs grew fewer.
func (c *Climb) judgeCut(now time.Duration, s stretch) {
	first := *c.low
	c.low = nil
	// A slow machine does less for fewer runs, in proportion; a crowd does more. In doubt it is a crowd: a limit that
	// is too low is climbed from within seconds, and past the point of collapse every second is lost.
	slope := math.Log(max(s.ends, 0.01)/max(first.ends, 0.01)) / math.Log(min(0.95, s.runs/first.runs))
	if s.ends > impossible*first.ends {
		c.back(now)
		return
	}
	if slope < againUnder && c.cutTo*cutAgain >= c.Least {
		c.limit = c.cutTo
		c.cutTo *= cutAgain
		c.low = &s
		c.enter(now, cutting)
		return
	}
	if slope < inDoubt || c.limit < c.before {
		c.belief = crowded
		if c.limit == c.before || slope < wantSlope { // else the last cut went too far
			c.limit = max(c.Least, c.cutTo/restAt)
		}
		c.under, c.over, c.same, c.step = 0, 0, 0, firstStep
	} else {
		c.belief, c.before = slow, 0
	}
	c.usual = s.ends
	c.quiet = now + longest
	c.rest = 0
	c.enter(now, atLimit)
}
