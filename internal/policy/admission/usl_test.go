package admission

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

// USL is a limiter for comparison. It fits the Universal Scalability Law (Gunther, "Guerrilla Capacity Planning", 2007) to the observed
// burst times at each number of runs: X(n) = λn / (1 + σ(n-1) + κn(n-1)). So the time of a burst, n/X(n), is linear in 1, n-1 and
// n(n-1), and the peak is at n* = √((1-σ)/κ). The limit oscillates, because a fit needs points at different numbers of runs. It is one
// of the options compared in docs/design/pools.md. Its weakness is that it applies the points of a machine that has since become slow to
// the new conditions until their weight has decayed.
type USL struct {
	Bounds
	limit     float64
	points    []uslPoint
	window    throughputWindow
	nextFit   time.Duration
	probing   bool
	diagnosis string
}

// uslPoint is the measurement of one interval: the mean number of runs, the mean burst time and the weight in the fit.
type uslPoint struct{ runs, burstTime, weight float64 }

const (
	uslInterval      = 600 * time.Millisecond
	uslPointDecay    = 0.9 // the weight of a point is multiplied by this for each later point
	uslMaxPoints     = 24
	uslProbeDistance = 0.2 // fraction by which every second interval is below the limit
	uslGrowth        = 1.15
	uslStepFraction  = 0.5 // fraction of the distance to the fitted peak in one interval
)

// NewUSL returns a limiter that fits the Universal Scalability Law.
func NewUSL(bounds Bounds) *USL { return &USL{Bounds: bounds, limit: bounds.Start} }

func (u *USL) RunsChanged(now time.Duration, n int) {
	u.window.advance(now)
	u.window.currentRuns = float64(n)
}

func (u *USL) BurstEnded(now, spent time.Duration, work float64) {
	u.window.advance(now)
	u.window.workDone += spent.Seconds() / work
	u.window.burstsEnded++
}

func (u *USL) Limit(now time.Duration, ceiling float64, demand bool) float64 {
	if u.limit == 0 {
		u.limit = ceiling
	}
	u.window.advance(now)
	if now >= u.nextFit {
		u.nextFit = now + uslInterval
		if demand && u.window.burstsEnded >= 3 {
			u.addPoint(ceiling)
		}
		u.probing = !u.probing
		u.window.restart(now)
	}
	limit := u.limit
	if u.probing {
		limit *= 1 - uslProbeDistance
	}
	return u.clamp(limit, ceiling)
}

func (u *USL) addPoint(ceiling float64) {
	for i := range u.points {
		u.points[i].weight *= uslPointDecay
	}
	runs := u.window.meanRuns()
	u.points = append(u.points, uslPoint{runs, u.window.workDone / float64(u.window.burstsEnded), 1})
	if len(u.points) > uslMaxPoints {
		u.points = u.points[1:]
	}
	peak, ok := u.fit()
	switch {
	case !ok: // without a peak the limit grows until one is found
		u.limit = u.clamp(u.limit*uslGrowth, ceiling)
		u.diagnosis = diagnosisBelowKnee
	default:
		u.diagnosis = diagnosisAtKnee
		if peak < u.limit {
			u.diagnosis = diagnosisAboveKnee
		}
		u.limit = u.clamp(u.limit+(peak-u.limit)*uslStepFraction, ceiling)
	}
}

// fit returns the peak of the law by weighted least squares, or false if the fit has no peak.
func (u *USL) fit() (float64, bool) {
	if len(u.points) < 4 {
		return 0, false
	}
	coefficients, times := mat.NewDense(len(u.points), 3, nil), mat.NewVecDense(len(u.points), nil)
	for i, p := range u.points {
		weight := math.Sqrt(p.weight)
		coefficients.SetRow(i, []float64{weight, weight * (p.runs - 1), weight * p.runs * (p.runs - 1)})
		times.SetVec(i, weight*p.burstTime)
	}
	var qr mat.QR
	qr.Factorize(coefficients)
	var solution mat.VecDense
	if err := qr.SolveVecTo(&solution, false, times); err != nil {
		return 0, false
	}
	base, sigma, kappa := solution.AtVec(0), solution.AtVec(1), solution.AtVec(2)
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
