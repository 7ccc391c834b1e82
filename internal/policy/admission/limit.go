// Package admission decides how many runs there may be and whose they are: a limit that follows the point past which a
// server gets less done, pools by class with a floor each that lend what they leave idle, a governor of memory and a
// reserve for what is cheap. It has no I/O, no clock and no goroutine: events come in with their time, answers go
// out. docs/design/pools.md weighs the ways and docs/pools.md is for operators.
package admission

import (
	"math"
	"time"
)

// Limiter finds the number of runs on the cores that gets most done.
type Limiter interface {
	// Running is told of every change in the number of runs on the cores.
	Running(now time.Duration, n int)
	// Ended is told of the end of a stretch of a run, at a call or with the run, that had spent so long on the cores;
	// unit is its usual work against the mean of all classes.
	Ended(now, spent time.Duration, unit float64)
	// Limit is the limit from now on. It is at most the ceiling, which others set, and wanted tells whether more
	// would run if it were higher.
	Limit(now time.Duration, ceiling float64, wanted bool) float64
	// Belief says in a word what the limiter takes the server to be.
	Belief() string
}

// Range bounds a limit.
type Range struct {
	Least float64 // runs; the limit never falls below
	Start float64 // 0: the ceiling
	Fixed float64 // the limit, which nothing moves then; 0: it is found
}

// fixed is a limit that nothing moves.
type fixed float64

func (fixed) Running(time.Duration, int)                         {}
func (fixed) Ended(_, _ time.Duration, _ float64)                {}
func (f fixed) Limit(_ time.Duration, c float64, _ bool) float64 { return min(float64(f), max(1, c)) }
func (fixed) Belief() string                                     { return "fixed" }

// limiter is the one that a range asks for.
func (r Range) limiter() Limiter {
	if r.Fixed > 0 {
		return fixed(r.Fixed)
	}
	return NewClimb(r)
}

// Beliefs.
const (
	calm    = "calm"    // the limit is not what holds runs back
	level   = "level"   // at the point of collapse, as far as is known
	rising  = "rising"  // more runs get more done
	crowded = "crowded" // fewer runs get more done
	slow    = "slow"    // slower at any number of runs: the limit is not at fault
	asking  = "asking"  // a sudden fall is being looked into
)

// tally measures a stretch of time: its ends, in units of work, and the mean number of runs.
type tally struct {
	since   time.Duration
	at      time.Duration
	running float64
	area    float64 // runs × seconds
	ends    float64
	count   int
	spent   float64 // seconds on the cores of the runs that ended, each against its class
}

func (t *tally) pass(now time.Duration) {
	if now > t.at {
		t.area += t.running * (now - t.at).Seconds()
		t.at = now
	}
}

func (t *tally) restart(now time.Duration) {
	t.pass(now)
	*t = tally{since: now, at: now, running: t.running}
}

// length is how long the stretch has been, in seconds.
func (t *tally) length() float64 { return (t.at - t.since).Seconds() }

// mean is the mean number of runs.
func (t *tally) mean() float64 {
	if l := t.length(); l > 0 {
		return t.area / l
	}
	return t.running
}

// little is the work done in a second by Little's law, from how many ran and how long those that ended took. It
// swings far less than a count of ends, but it is true only of a stretch whose runs began in it.
func (t *tally) little() float64 {
	if t.spent <= 0 {
		return 0
	}
	return t.mean() * float64(t.count) / t.spent
}

// rate is the work done in a second, by its ends.
func (t *tally) rate() float64 {
	if l := t.length(); l > 0 {
		return t.ends / l
	}
	return 0
}

// clamp keeps a limit within its range and the ceiling; a ceiling under the least wins.
func (r Range) clamp(limit, ceiling float64) float64 {
	return min(max(limit, r.Least), max(1, ceiling))
}

// ---- Gradient ----

// Gradient moves the limit by the ratio of the usual response time to the present one, as "gradient2" limiters do:
// a queue of the root of the limit is allowed. It is one of the ways weighed in docs/design/pools.md; since it takes
// every slow stretch for a crowd it is not the one that serves.
type Gradient struct {
	Range
	limit       float64
	short, long float64 // seconds on the cores
	running     float64
	next        time.Duration
	belief      string
}

const (
	gradientEvery  = 100 * time.Millisecond
	gradientLong   = 0.995 // weight of the past in the usual time, for each end
	gradientShort  = 0.9
	gradientSlack  = 1.2 // times the usual that is taken for usual
	gradientSmooth = 0.2
)

// NewGradient returns a limiter on response time.
func NewGradient(r Range) *Gradient { return &Gradient{Range: r, limit: r.Start} }

func (g *Gradient) Running(_ time.Duration, n int) { g.running = float64(n) }

func (g *Gradient) Ended(_, spent time.Duration, unit float64) {
	t := spent.Seconds() / unit
	if g.long == 0 {
		g.long, g.short = t, t
	}
	g.short = g.short*gradientShort + t*(1-gradientShort)
	g.long = g.long*gradientLong + t*(1-gradientLong)
	if g.long > 2*g.short { // the usual is long past
		g.long *= 0.95
	}
}

func (g *Gradient) Limit(now time.Duration, ceiling float64, wanted bool) float64 {
	if g.limit == 0 {
		g.limit = ceiling
	}
	if now < g.next || g.short == 0 || !wanted {
		return g.clamp(g.limit, ceiling)
	}
	g.next = now + gradientEvery
	ratio := min(1, max(0.5, gradientSlack*g.long/g.short))
	g.belief = rising
	if ratio < 1 {
		g.belief = crowded
	}
	target := g.limit*ratio + math.Sqrt(g.limit)
	g.limit = g.clamp(g.limit*(1-gradientSmooth)+target*gradientSmooth, ceiling)
	return g.limit
}

func (g *Gradient) Belief() string { return g.belief }
