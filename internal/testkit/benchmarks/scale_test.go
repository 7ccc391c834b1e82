package benchmarks

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"silverpath/internal/policy/capacity"
)

// The tables of docs/results/scale.md match scale.json, and each fit that is off has a cause.
func TestScalePage(t *testing.T) {
	dir := filepath.Join("..", "..", "..", "docs", "results")
	text, err := os.ReadFile(filepath.Join(dir, "scale.json"))
	if err != nil {
		t.Fatal(err)
	}
	var r capacity.Results
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "scale.md"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := replaceTables(string(page), r)
	if err != nil {
		t.Fatal(err)
	}
	if want != string(page) {
		t.Error("docs/results/scale.md differs from scale.json: go test -run '^$' -bench Scale/page -benchtime 1x ./internal/testkit/benchmarks/")
	}
	if len(r.Series) == 0 {
		t.Error("scale.json has no series")
	}
	for _, x := range r.Series {
		if words := strings.Split(x.Name, "."); len(words) < 3 || words[0] != x.Role || words[1] != x.Figure || words[2] != x.Varies {
			t.Errorf("series %s: name does not match role %s, figure %s, varies %s", x.Name, x.Role, x.Figure, x.Varies)
		}
		if f := x.Fit; f != nil && !f.Reliable() && f.Cause == "" {
			t.Errorf("series %s is off by %.0f%% without a cause", x.Name, 100*f.RelativeError)
		}
		for i, p := range x.Points {
			if len(p.Values) == 0 || i > 0 && p.Size <= x.Points[i-1].Size {
				t.Errorf("series %s: points are empty or not ascending: %v", x.Name, x.Points)
			}
		}
	}
}

// Linear data gets a linear fit, quadratic data a quadratic fit, and a single point gets none.
func TestBestFit(t *testing.T) {
	for _, power := range []float64{1, 2} {
		var points []capacity.Point
		for _, x := range []float64{30, 60, 120, 240, 930} {
			v := 1 + x
			if power == 2 {
				v = 1 + x*x
			}
			points = append(points, capacity.Point{Size: x, Values: []float64{v}})
		}
		if f := bestFit(points); f == nil || f.Power != power || !f.Reliable() {
			t.Errorf("fit of data of power %v: %+v", power, f)
		}
	}
	if f := bestFit([]capacity.Point{{Size: 1, Values: []float64{1}}}); f != nil {
		t.Errorf("fit through one point is not nil: %+v", f)
	}
}
