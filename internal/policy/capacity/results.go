// Package capacity computes the load that a fleet of a given size puts on each role, and the share of that size at which a budget is
// exceeded, from the results of scale measurements. It has no side effects: its input is a target and results, its output tables.
package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Results has the measurements of one commit, as in docs/results/scale.json.
type Results struct {
	Command string   `json:"command"`
	Machine string   `json:"machine"`
	Program string   `json:"program"` // the commit that was measured
	Series  []Series `json:"series"`
}

// Series has the measurements of one figure of one role at several values of one size.
type Series struct {
	Name        string             `json:"name"`   // ROLE.FIGURE.VARIES, and a fourth word where these are ambiguous
	Role        string             `json:"role"`   // server, router, caller, leader, member, owner, tool
	Figure      string             `json:"figure"` // cpu, resident, heap, allocations, messages, bytes_in, bytes_out, opened, syncs, force_p50, …
	Unit        string             `json:"unit"`   // core, MB, 1/s, KB/s, ms
	Varies      string             `json:"varies"` // servers, routers, callers, tenants, followers, changes, requests, restarts, zones
	Fixed       map[string]float64 `json:"fixed"`  // the sizes that were constant, by the words of Varies, and intervals such as check_ms
	MeasuredOn  string             `json:"of"`     // what was measured: real processes, hollow ones, or simulated (the code of a decision alone)
	Repetitions int                `json:"plays"`  // the largest number of repetitions at a size
	Points      []Point            `json:"points"` // by ascending size
	Fit         *Fit               `json:"fit,omitempty"`
}

// Point has the values measured at one size.
type Point struct {
	Size   float64   `json:"at"`     // the size
	Values []float64 `json:"values"` // one per repetition
}

// Median returns the median of the values.
func (p Point) Median() float64 {
	v := slices.Sorted(slices.Values(p.Values))
	return stat.Quantile(0.5, stat.Empirical, v, nil)
}

// Fit is a curve through the medians of a series, Base + Per × size^Power, fitted to the sizes From to To. Its prediction for a larger size,
// At, is compared with the measurement there.
type Fit struct {
	Base          float64 `json:"base"`
	Slope         float64 `json:"per"`
	Power         float64 `json:"power"`
	From          float64 `json:"from"`
	To            float64 `json:"to"`
	CheckAt       float64 `json:"at"` // the size that the fit is checked against
	Predicted     float64 `json:"foretold"`
	Measured      float64 `json:"measured"`
	RelativeError float64 `json:"off"` // relative error of Predicted: Predicted/Measured - 1
	Cause         string  `json:"cause,omitempty"`
}

// maxError is the largest relative error of the prediction at which a fit is reliable.
const maxError = 0.25

// Reliable reports whether the fit is reliable: it predicted a size of at least 2 × To within maxError.
func (f Fit) Reliable() bool { return f.CheckAt >= 2*f.To && math.Abs(f.RelativeError) <= maxError }

// Value returns the value of the fit at a size.
func (f Fit) Value(at float64) float64 { return f.Base + f.Slope*math.Pow(at, f.Power) }

// errTooFewSizes is returned by FitPoints.
var errTooFewSizes = errors.New("too few sizes: a fit needs three, and its check a further size of at least twice the largest of them")

// FitPoints fits a curve of a power by least squares to the medians of all points up to half the size of the last point, and checks it against
// the last point. It returns an error if fewer than three points are left for the fit, or if the last median is 0.
func FitPoints(points []Point, power float64) (*Fit, error) {
	if len(points) < 4 {
		return nil, errTooFewSizes
	}
	last := points[len(points)-1]
	var x, y []float64
	f := &Fit{Power: power, CheckAt: last.Size, Measured: last.Median()}
	for _, p := range points[:len(points)-1] {
		if 2*p.Size <= last.Size {
			x, y = append(x, math.Pow(p.Size, power)), append(y, p.Median())
			f.To = p.Size
		}
	}
	if len(x) < 3 {
		return nil, errTooFewSizes
	}
	f.From = points[0].Size
	f.Base, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.Predicted = f.Value(f.CheckAt)
	if f.Measured == 0 {
		return nil, fmt.Errorf("the median at size %g is 0: the relative error of the fit is undefined", f.CheckAt)
	}
	f.RelativeError = f.Predicted/f.Measured - 1
	return f, nil
}

// Check returns an error that names the first invalid series.
func (r Results) Check() error {
	names := map[string]bool{}
	for i, s := range r.Series {
		switch {
		case s.Name == "":
			return fmt.Errorf("series[%d].name: missing", i)
		case names[s.Name]:
			return fmt.Errorf("series[%d].name: %q given twice", i, s.Name)
		}
		names[s.Name] = true
		for j, p := range s.Points {
			switch {
			case len(p.Values) == 0:
				return fmt.Errorf("series[%d].points[%d].values: empty", i, j)
			case j > 0 && p.Size <= s.Points[j-1].Size:
				return fmt.Errorf("series[%d].points[%d].at: not above the previous point: %v", i, j, p.Size)
			}
		}
	}
	return nil
}
