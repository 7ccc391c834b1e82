// Package capacity computes what a fleet of a given size asks of each role, and at which share of that size a budget is passed,
// from slopes that were measured. It only computes: a target and results in, tables out.
package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Results is what was measured: docs/results/scale.json.
type Results struct {
	Command string   `json:"command"`
	Machine string   `json:"machine"`
	Program string   `json:"program"` // the commit
	Series  []Series `json:"series"`
}

// Series is one figure of one role over the one size that was varied.
type Series struct {
	Name   string             `json:"name"`   // ROLE.FIGURE.VARIES, and a further word where that is not enough
	Role   string             `json:"role"`   // server, router, caller, leader, member, owner, tool
	Figure string             `json:"figure"` // cpu, resident, heap, allocations, messages, bytes_in, bytes_out, opened, syncs, force_p50, …
	Unit   string             `json:"unit"`   // core, MB, 1/s, KB/s, ms
	Varies string             `json:"varies"` // servers, routers, callers, tenants, followers, changes, requests, restarts, zones
	Fixed  map[string]float64 `json:"fixed"`  // what stayed, by the same words
	Of     string             `json:"of"`     // hollow, real, simulated
	Plays  int                `json:"plays"`
	Points []Point            `json:"points"` // rising
	Fit    *Fit               `json:"fit,omitempty"`
}

// Point is what was read at one size.
type Point struct {
	At     float64   `json:"at"`
	Values []float64 `json:"values"` // a play each
}

// Median is the middle of its plays.
func (p Point) Median() float64 {
	v := slices.Sorted(slices.Values(p.Values))
	return stat.Quantile(0.5, stat.Empirical, v, nil)
}

// Fit is a line through the medians: Base + Per x At to the Power. It was fitted to sizes of up to To, and what it foretold of a size
// beyond stands beside what was measured there.
type Fit struct {
	Base     float64 `json:"base"`
	Per      float64 `json:"per"`
	Power    float64 `json:"power"`
	From     float64 `json:"from"`
	To       float64 `json:"to"`
	At       float64 `json:"at"` // the size that was not fitted to
	Foretold float64 `json:"foretold"`
	Measured float64 `json:"measured"`
	Off      float64 `json:"off"` // of what was measured, by which the foretold is off
	Cause    string  `json:"cause,omitempty"`
}

// maxSlopeError is the part by which what was foretold may be off before a slope is marked.
const maxSlopeError = 0.25

// Believed reports whether the slope foretold a size that it was not fitted to.
func (f Fit) Believed() bool { return f.At >= 2*f.To && math.Abs(f.Off) <= maxSlopeError }

// Value is what the slope says of a size.
func (f Fit) Value(at float64) float64 { return f.Base + f.Per*math.Pow(at, f.Power) }

// errTooFewSizes says that a slope can't be fitted.
var errTooFewSizes = errors.New("a slope needs three sizes, and one of at least twice the largest of them to be held against")

// Draw fits a line of a power through all points but those of at least twice the size of one before; the last of these is what it is held
// against. The fit is by least squares of the medians.
func Draw(points []Point, power float64) (*Fit, error) {
	if len(points) < 4 {
		return nil, errTooFewSizes
	}
	last := points[len(points)-1]
	var x, y []float64
	f := &Fit{Power: power, At: last.At, Measured: last.Median()}
	for _, p := range points[:len(points)-1] {
		if 2*p.At <= last.At {
			x, y = append(x, math.Pow(p.At, power)), append(y, p.Median())
			f.To = p.At
		}
	}
	if len(x) < 3 {
		return nil, errTooFewSizes
	}
	f.From = points[0].At
	f.Base, f.Per = stat.LinearRegression(x, y, nil, false)
	f.Foretold = f.Value(f.At)
	if f.Measured == 0 {
		return nil, fmt.Errorf("nothing was measured at %g", f.At)
	}
	f.Off = f.Foretold/f.Measured - 1
	return f, nil
}

// Check names the first series that can't be.
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
				return fmt.Errorf("series[%d].points[%d].values: none", i, j)
			case j > 0 && p.At <= s.Points[j-1].At:
				return fmt.Errorf("series[%d].points[%d].at: not above the one before: %v", i, j, p.At)
			}
		}
	}
	return nil
}
