package admission

import (
	"math"
	"time"
)

// Gradient is a limiter for comparison. It moves the limit by the ratio of the long-term to the short-term response time, as "gradient2"
// limiters do. It allows a queue of the square root of the limit. It is one of the options compared in docs/design/pools.md, and is not
// used in service because it takes every slowdown for overload.
type Gradient struct {
	Bounds
	limit               float64
	shortMean, longMean float64 // moving averages in seconds on the cores
	running             float64
	nextUpdate          time.Duration
	diagnosis           string
}

const (
	gradientInterval   = 100 * time.Millisecond
	gradientLongDecay  = 0.995 // weight of the previous value in longMean, for each burst
	gradientShortDecay = 0.9
	gradientTolerance  = 1.2 // ratio of short-term to long-term mean that does not lower the limit
	gradientSmoothing  = 0.2
)

// NewGradient returns a limiter based on response time.
func NewGradient(bounds Bounds) *Gradient { return &Gradient{Bounds: bounds, limit: bounds.Start} }

func (g *Gradient) RunsChanged(_ time.Duration, n int) { g.running = float64(n) }

func (g *Gradient) BurstEnded(_, spent time.Duration, work float64) {
	burstSeconds := spent.Seconds() / work
	if g.longMean == 0 {
		g.longMean, g.shortMean = burstSeconds, burstSeconds
	}
	g.shortMean = g.shortMean*gradientShortDecay + burstSeconds*(1-gradientShortDecay)
	g.longMean = g.longMean*gradientLongDecay + burstSeconds*(1-gradientLongDecay)
	if g.longMean > 2*g.shortMean { // the long-term mean is outdated
		g.longMean *= 0.95
	}
}

func (g *Gradient) Limit(now time.Duration, ceiling float64, demand bool) float64 {
	if g.limit == 0 {
		g.limit = ceiling
	}
	if now < g.nextUpdate || g.shortMean == 0 || !demand {
		return g.clamp(g.limit, ceiling)
	}
	g.nextUpdate = now + gradientInterval
	ratio := min(1, max(0.5, gradientTolerance*g.longMean/g.shortMean))
	g.diagnosis = diagnosisBelowKnee
	if ratio < 1 {
		g.diagnosis = diagnosisAboveKnee
	}
	target := g.limit*ratio + math.Sqrt(g.limit)
	g.limit = g.clamp(g.limit*(1-gradientSmoothing)+target*gradientSmoothing, ceiling)
	return g.limit
}

func (g *Gradient) Diagnosis() string { return g.diagnosis }
