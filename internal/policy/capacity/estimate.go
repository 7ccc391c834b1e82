package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"
)

// Basis says how the value of an Estimate was obtained.
type Basis string

// The kinds of basis, from the most to the least reliable.
const (
	Measured     Basis = "measured"     // at this size, or interpolated between two measured sizes
	Extrapolated Basis = "foretold"     // extrapolated by a fit outside the measured sizes
	Assumed      Basis = "assumed"      // computed from intervals and bounds of the code, or from fields of the target's file
	NotMeasured  Basis = "not measured" // no measurement applies; the value is NaN
)

var basisRank = map[Basis]int{Measured: 0, Extrapolated: 1, Assumed: 2, NotMeasured: 3}

// Number is a float64 whose NaN and infinities are null in JSON.
type Number float64

// MarshalJSON returns null for NaN and infinities, else the number.
func (n Number) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(n)) || math.IsInf(float64(n), 0) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(n))
}

// Estimate is a value and its basis.
type Estimate struct {
	Value         Number  `json:"value"`
	Basis         Basis   `json:"basis"`
	Factor        float64 `json:"factor,omitempty"` // Extrapolated: the size divided by the largest measured size
	RelativeError float64 `json:"off,omitempty"`    // Extrapolated by an unreliable fit: the fit's relative error
	Series        string  `json:"series,omitempty"` // Measured and Extrapolated: the name of the series
	MeasuredOn    string  `json:"of,omitempty"`     // "hollow" or "simulated"; empty if only real processes were measured
}

// String returns the basis as tables show it.
func (e Estimate) String() string {
	switch {
	case e.Basis == Extrapolated && e.RelativeError != 0:
		return e.withMeasuredOn(fmt.Sprintf("foretold ×%s, not believed (off by %.0f%%)", short(e.Factor), 100*e.RelativeError))
	case e.Basis == Extrapolated:
		return e.withMeasuredOn("foretold ×" + short(e.Factor))
	}
	return e.withMeasuredOn(string(e.Basis))
}

// withMeasuredOn appends MeasuredOn to the text of a basis that rests on measurements.
func (e Estimate) withMeasuredOn(text string) string {
	if e.MeasuredOn != "" && (e.Basis == Measured || e.Basis == Extrapolated) {
		return text + ", " + e.MeasuredOn
	}
	return text
}

// assumed returns v with the basis Assumed.
func assumed(v float64) Estimate { return Estimate{Value: Number(v), Basis: Assumed} }

// notMeasured returns NaN with the basis NotMeasured.
func notMeasured() Estimate { return Estimate{Value: Number(math.NaN()), Basis: NotMeasured} }

// add returns the sum of two estimates with the less reliable basis of the two.
func (e Estimate) add(o Estimate) Estimate {
	sum := e
	if basisRank[o.Basis] > basisRank[e.Basis] {
		sum = o
	}
	sum.Value, sum.Factor = e.Value+o.Value, max(e.Factor, o.Factor)
	if math.Abs(o.RelativeError) > math.Abs(e.RelativeError) {
		sum.RelativeError = o.RelativeError
	} else {
		sum.RelativeError = e.RelativeError
	}
	if sum.MeasuredOn = e.MeasuredOn; o.MeasuredOn == "simulated" || sum.MeasuredOn == "" {
		sum.MeasuredOn = o.MeasuredOn
	}
	if e.Series != o.Series && e.Series != "" && o.Series != "" {
		sum.Series = e.Series + " + " + o.Series
	}
	return sum
}

// scale returns e with its value multiplied by n.
func (e Estimate) scale(n float64) Estimate {
	e.Value *= Number(n)
	return e
}

// find returns the series of a name, if it has points.
func (r Results) find(name string) (Series, bool) {
	for _, s := range r.Series {
		if s.Name == name && len(s.Points) > 0 {
			return s, true
		}
	}
	return Series{}, false
}

// At estimates the value of a series at a size. Between two measured sizes it interpolates their medians linearly; outside the measured
// sizes it extrapolates by the fit, or returns notMeasured for a series without a fit.
func (r Results) At(name string, at float64) Estimate {
	s, ok := r.find(name)
	if !ok || math.IsNaN(at) || math.IsInf(at, 0) {
		return notMeasured()
	}
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	e := Estimate{Basis: Measured, Series: name}
	if s.MeasuredOn != "real" {
		e.MeasuredOn = s.MeasuredOn
	}
	switch {
	case at >= first.Size && at <= last.Size:
		i := sort.Search(len(s.Points), func(i int) bool { return s.Points[i].Size >= at })
		if b := s.Points[i]; b.Size == at {
			e.Value = Number(b.Median())
		} else {
			a := s.Points[i-1]
			e.Value = Number(a.Median() + (b.Median()-a.Median())*(at-a.Size)/(b.Size-a.Size))
		}
		return e
	case s.Fit == nil:
		return notMeasured()
	}
	e.Basis, e.Factor = Extrapolated, at/last.Size
	// Above the last measured size, add the growth of the fit to the median measured there: the fit's error at that size is left out.
	e.Value = Number(max(0, s.Fit.Value(at)))
	if at > last.Size {
		e.Value = Number(last.Median() + s.Fit.Value(at) - s.Fit.Value(last.Size))
	}
	if !s.Fit.Reliable() {
		e.RelativeError = s.Fit.RelativeError
	}
	return e
}

// baseline returns the value of a series at size 0: that of the ".rest" series of the same role and figure if there is one, else the base
// of the fit, else the first point. It returns 0 for an unknown series.
func (r Results) baseline(name string) float64 {
	s, ok := r.find(name)
	rest, hasRest := r.find(s.Role + "." + s.Figure + ".rest")
	switch {
	case !ok:
		return 0
	case hasRest && s.Role != "":
		return rest.Points[0].Median()
	case s.Fit != nil:
		return max(0, s.Fit.Base)
	}
	return s.Points[0].Median()
}

// The range of shares of the target that lowestShareOver searches.
const (
	minShare    = 1e-4
	maxShare    = 20
	searchSteps = 400 // each multiplies the share by 1.03
)

// lowestShareOver returns the lowest share of the target at which a figure exceeds a budget, and the estimate at that share. The share is 0
// if the figure exceeds the budget already at minShare, infinite if it does not at maxShare, and NaN if the figure was not measured.
func lowestShareOver(budget float64, figure func(share float64) Estimate) (share float64, e Estimate) {
	over := func(s float64) bool { return float64(figure(s).Value) > budget }
	if over(minShare) {
		return 0, figure(minShare)
	}
	step := math.Pow(maxShare/minShare, 1.0/searchSteps)
	low, high := minShare, 0.0
	for i := 1; i <= searchSteps; i++ {
		s := minShare * math.Pow(step, float64(i))
		if over(s) {
			high = s
			break
		}
		low = s
	}
	if high == 0 {
		if e = figure(1); e.Basis == NotMeasured {
			return math.NaN(), e
		}
		return math.Inf(1), e
	}
	for range 60 {
		if mid := (low + high) / 2; over(mid) {
			high = mid
		} else {
			low = mid
		}
	}
	return high, figure(high)
}
