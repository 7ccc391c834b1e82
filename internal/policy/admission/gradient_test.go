package admission

import (
	"math"
	"time"
)

// Gradient is a limiter to compare with. It moves the limit by the ratio of the usual response time to the present one, as "gradient2"
// limiters do: a queue of the root of the limit is allowed. It is one of the options weighed in docs/design/pools.md; since it takes
// every slow stretch for overload it is not the one that serves.
type Gradient struct {
	Bounds
	limit       float64
	short, long float64 // seconds on the cores
	running     float64
	next        time.Duration
	diagnosis   string
}

const (
	gradientEvery  = 100 * time.Millisecond
	gradientLong   = 0.995 // weight of the past in the usual time, for each end
	gradientShort  = 0.9
	gradientSlack  = 1.2 // times the usual that is taken for usual
	gradientSmooth = 0.2
)

// NewGradient returns a limiter on response time.
func NewGradient(r Bounds) *Gradient { return &Gradient{Bounds: r, limit: r.Start} }

func (g *Gradient) RunsChanged(_ time.Duration, n int) { g.running = float64(n) }

func (g *Gradient) BurstEnded(_, spent time.Duration, unit float64) {
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
	g.diagnosis = diagnosisBelowKnee
	if ratio < 1 {
		g.diagnosis = diagnosisAboveKnee
	}
	target := g.limit*ratio + math.Sqrt(g.limit)
	g.limit = g.clamp(g.limit*(1-gradientSmooth)+target*gradientSmooth, ceiling)
	return g.limit
}

func (g *Gradient) Diagnosis() string { return g.diagnosis }
