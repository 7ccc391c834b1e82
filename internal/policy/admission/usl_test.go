package admission

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

// USL is a limiter to compare with. It fits the Universal Scalability Law (Gunther, "Guerrilla Capacity Planning", 2007) to what was seen of the time
// that runs take at each number of runs: X(n) = λn / (1 + σ(n-1) + κn(n-1)), so the time of a run, n/X(n), is linear
// in 1, n-1 and n(n-1), and the peak lies at n* = √((1-σ)/κ). The limit swings about it, or there would be nothing to
// fit to. It is one of the options weighed in docs/design/pools.md: a fit needs runs at many numbers, and what it saw of
// a machine that has since become slow it takes for the law of the new one until that has faded.
type USL struct {
	Bounds
	limit     float64
	points    []uslPoint
	window    throughputWindow
	next      time.Duration
	probing   bool
	diagnosis string
}

// uslPoint is one stretch: its mean number of runs, the mean time of a run and how much it counts.
type uslPoint struct{ n, time, weight float64 }

const (
	uslEvery  = 600 * time.Millisecond
	uslFade   = 0.9 // of the weight of a stretch with each later one
	uslPoints = 24
	uslSwing  = 0.2 // of the limit, down from it, in every second stretch
	uslGrow   = 1.15
	uslMove   = 0.5 // part of the way to the fitted peak in one stretch
)

// NewUSL returns a limiter that fits the law.
func NewUSL(r Bounds) *USL { return &USL{Bounds: r, limit: r.Start} }

func (u *USL) RunsChanged(now time.Duration, n int) {
	u.window.advance(now)
	u.window.currentRuns = float64(n)
}

func (u *USL) BurstEnded(now, spent time.Duration, unit float64) {
	u.window.advance(now)
	u.window.workDone += spent.Seconds() / unit
	u.window.burstsEnded++
}

func (u *USL) Limit(now time.Duration, ceiling float64, wanted bool) float64 {
	if u.limit == 0 {
		u.limit = ceiling
	}
	u.window.advance(now)
	if now >= u.next {
		u.next = now + uslEvery
		if wanted && u.window.burstsEnded >= 3 {
			u.learn(ceiling)
		}
		u.probing = !u.probing
		u.window.restart(now)
	}
	limit := u.limit
	if u.probing {
		limit *= 1 - uslSwing
	}
	return u.clamp(limit, ceiling)
}

func (u *USL) learn(ceiling float64) {
	for i := range u.points {
		u.points[i].weight *= uslFade
	}
	n := u.window.meanRuns()
	u.points = append(u.points, uslPoint{n, u.window.workDone / float64(u.window.burstsEnded), 1})
	if len(u.points) > uslPoints {
		u.points = u.points[1:]
	}
	peak, ok := u.fit()
	switch {
	case !ok: // no peak in sight: more runs, until there is
		u.limit = u.clamp(u.limit*uslGrow, ceiling)
		u.diagnosis = diagnosisBelowKnee
	default:
		u.diagnosis = diagnosisAtKnee
		if peak < u.limit {
			u.diagnosis = diagnosisAboveKnee
		}
		u.limit = u.clamp(u.limit+(peak-u.limit)*uslMove, ceiling)
	}
}

// fit returns the peak of the law by weighted least squares; false where the fit has none.
func (u *USL) fit() (float64, bool) {
	if len(u.points) < 4 {
		return 0, false
	}
	a, b := mat.NewDense(len(u.points), 3, nil), mat.NewVecDense(len(u.points), nil)
	for i, p := range u.points {
		w := math.Sqrt(p.weight)
		a.SetRow(i, []float64{w, w * (p.n - 1), w * p.n * (p.n - 1)})
		b.SetVec(i, w*p.time)
	}
	var qr mat.QR
	qr.Factorize(a)
	var x mat.VecDense
	if err := qr.SolveVecTo(&x, false, b); err != nil {
		return 0, false
	}
	base, sigma, kappa := x.AtVec(0), x.AtVec(1), x.AtVec(2)
	if base <= 0 || kappa <= 0 {
		return 0, false
	}
	sigma, kappa = sigma/base, kappa/base
	if sigma >= 1 {
		return 1, true
	}
	return math.Sqrt((1 - sigma) / kappa), true
}

func (u *USL) Diagnosis() string { return u.diagnosis }
