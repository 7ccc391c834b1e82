package capacity

import (
	"math"
	"testing"
)

// makePoints returns points whose median is f of their size.
func makePoints(f func(x float64) float64, at ...float64) (list []Point) {
	for _, x := range at {
		list = append(list, Point{x, []float64{f(x), f(x) * 1.5, f(x) * 0.9}})
	}
	return list
}

func TestDrawForetells(t *testing.T) {
	for _, power := range []float64{1, 2} {
		f, err := FitPoints(makePoints(func(x float64) float64 { return 3 + 2*math.Pow(x, power) }, 1, 2, 4, 8, 16), power)
		if err != nil || math.Abs(f.Base-3) > 1e-9 || math.Abs(f.Slope-2) > 1e-9 || f.To != 8 || f.CheckAt != 16 || !f.Reliable() {
			t.Errorf("power %v: %+v, %v", power, f, err)
		}
	}
}

// A linear fit of a quadratic series is unreliable, and so is a fit checked at less than twice the largest size that it was fitted to.
func TestDrawIsMarked(t *testing.T) {
	f, err := FitPoints(makePoints(func(x float64) float64 { return x * x }, 1, 2, 4, 8, 16), 1)
	if err != nil || f.Reliable() {
		t.Errorf("the linear fit of a quadratic series is reliable: %+v, %v", f, err)
	}
	if f, err := FitPoints(makePoints(func(x float64) float64 { return x }, 1, 2, 4, 5), 1); err == nil {
		t.Errorf("a fit of two sizes: %+v", f)
	}
	near := Fit{To: 8, CheckAt: 15, RelativeError: 0}
	if near.Reliable() {
		t.Error("a fit checked at less than twice the largest size is reliable")
	}
}
