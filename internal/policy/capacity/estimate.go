package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"
)

// Basis is what a figure rests on.
type Basis string

// Kinds of basis, from the best to none.
const (
	Measured     Basis = "measured"     // at this size or between two that were measured
	Extrapolated Basis = "foretold"     // by a slope, beyond what was measured
	Assumed      Basis = "assumed"      // counted from the code's own periods and bounds, or a field of the target's file
	NotMeasured  Basis = "not measured" // nothing was, and nothing is made up
)

var basisRank = map[Basis]int{Measured: 0, Extrapolated: 1, Assumed: 2, NotMeasured: 3}

// Number is a figure; what is not a number stands as null in JSON.
type Number float64

// MarshalJSON writes it.
func (n Number) MarshalJSON() ([]byte, error) {
	if math.IsNaN(float64(n)) || math.IsInf(float64(n), 0) {
		return []byte("null"), nil
	}
	return json.Marshal(float64(n))
}

// Estimate is a figure and what it rests on.
type Estimate struct {
	Value         Number  `json:"value"`
	Basis         Basis   `json:"basis"`
	Factor        float64 `json:"factor,omitempty"` // Foretold: this many times the largest size that was measured
	RelativeError float64 `json:"off,omitempty"`    // Foretold, by a slope that is not believed: by which it was off where it was held against a size
	Series        string  `json:"series,omitempty"` // Measured and Foretold: what was read
	MeasuredOn    string  `json:"of,omitempty"`     // hollow or simulated, where it was not of real processes alone
}

// String is the basis for people.
func (e Estimate) String() string {
	switch {
	case e.Basis == Extrapolated && e.RelativeError != 0:
		return e.withMeasuredOn(fmt.Sprintf("foretold ×%s, not believed (off by %.0f%%)", short(e.Factor), 100*e.RelativeError))
	case e.Basis == Extrapolated:
		return e.withMeasuredOn("foretold ×" + short(e.Factor))
	}
	return e.withMeasuredOn(string(e.Basis))
}

func (e Estimate) withMeasuredOn(text string) string {
	if e.MeasuredOn != "" && (e.Basis == Measured || e.Basis == Extrapolated) {
		return text + ", " + e.MeasuredOn
	}
	return text
}

func assumed(v float64) Estimate { return Estimate{Value: Number(v), Basis: Assumed} }

func notMeasured() Estimate { return Estimate{Value: Number(math.NaN()), Basis: NotMeasured} }

// plus is a sum, which rests on the worse of its parts.
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

// times is a figure for each of so many.
func (e Estimate) scale(n float64) Estimate {
	e.Value *= Number(n)
	return e
}

// find returns a series by name.
func (r Results) find(name string) (Series, bool) {
	for _, s := range r.Series {
		if s.Name == name && len(s.Points) > 0 {
			return s, true
		}
	}
	return Series{}, false
}

// At is what a series says of a size: between two that were measured the line from one median to the next, beyond them its slope.
// Without a slope there is nothing to say of what lies beyond.
func (r Results) At(name string, at float64) Estimate {
	s, ok := r.find(name)
	if !ok || math.IsNaN(at) || math.IsInf(at, 0) {
		return notMeasured()
	}
	first, last := s.Points[0], s.Points[len(s.Points)-1]
	e := Estimate{Basis: Measured, Series: name}
	if s.Of != "real" {
		e.MeasuredOn = s.Of
	}
	switch {
	case at >= first.At && at <= last.At:
		i := sort.Search(len(s.Points), func(i int) bool { return s.Points[i].At >= at })
		if b := s.Points[i]; b.At == at {
			e.Value = Number(b.Median())
		} else {
			a := s.Points[i-1]
			e.Value = Number(a.Median() + (b.Median()-a.Median())*(at-a.At)/(b.At-a.At))
		}
		return e
	case s.Fit == nil:
		return notMeasured()
	}
	e.Basis, e.Factor = Extrapolated, at/last.At
	// From the last size that was measured on, by the slope: what the fit missed there is not added to what it foretells.
	e.Value = Number(max(0, s.Fit.Value(at)))
	if at > last.At {
		e.Value = Number(last.Median() + s.Fit.Value(at) - s.Fit.Value(last.At))
	}
	if !s.Fit.Believed() {
		e.RelativeError = s.Fit.Off
	}
	return e
}

// base is what a series says of a size of nothing.
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

// Shares of the target between which a budget's passing is looked for.
const (
	minShare    = 1e-4
	maxShare    = 20
	searchSteps = 400 // of the search, each by 3%
)

// firstShareOver is the least share of the target at which a figure is over a budget: 0 where it is over it at any size that is looked at, NaN where
// nothing can be said, and infinite where it is not over it at 20 times the target.
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
