package quota

import (
	"math"
	"slices"
)

// Claim is a claim on some resources, of each of which the claimant uses all that it is given.
type Claim struct {
	Weight float64
	Demand float64 // what it would use; what is left when all have theirs goes to all by weight
	On     []int   // the resources
}

// epsilon is what counts as nothing, of rates of 1e-3 to 1e6 requests a second: above what sums of them lose by rounding.
const epsilon = 1e-9

// MaxMin divides resources by weighted max-min fairness, filling all claims at once until one has what it demands or meets a resource
// that is used up (Bertsekas and Gallager, "Data Networks", 6.5.2): nobody gets more while another one who wants more has less by
// weight. It returns what each claim gets.
func MaxMin(capacities []float64, claims []Claim) []float64 {
	f := filling{claims: claims, got: make([]float64, len(claims)), left: slices.Clone(capacities)}
	f.fill(true)  // first what is demanded,
	f.fill(false) // then what is left
	return f.got
}

// filling is a division under way.
type filling struct {
	claims []Claim
	got    []float64 // by claim
	left   []float64 // by resource
}

// fill raises all open claims together, round by round, until none is open. Bounded claims end at their demand.
func (f *filling) fill(bounded bool) {
	open := make([]bool, len(f.claims))
	for i, c := range f.claims {
		open[i] = c.Weight > 0 && len(c.On) > 0 && (!bounded || c.Demand > 0)
	}
	for slices.Contains(open, true) {
		step, rates := f.step(open, bounded)
		for j := range f.left {
			f.left[j] -= step * rates[j]
		}
		for i, c := range f.claims {
			if open[i] {
				f.got[i] += step * c.Weight
				open[i] = f.stays(i, bounded)
			}
		}
	}
}

// step is how far all open claims can rise, by their weights, until the first demand is met or the first resource used up, and by how
// much each resource is used for each unit of that.
func (f *filling) step(open []bool, bounded bool) (step float64, rates []float64) {
	step, rates = math.Inf(1), make([]float64, len(f.left))
	for i, c := range f.claims {
		if !open[i] {
			continue
		}
		for _, j := range c.On {
			rates[j] += c.Weight
		}
		if bounded {
			step = min(step, (c.Demand-f.got[i])/c.Weight)
		}
	}
	for j := range f.left {
		if rates[j] > 0 {
			step = min(step, f.left[j]/rates[j])
		}
	}
	return max(0, step), rates
}

// stays reports whether a claim stays open: its demand is not met, and none of its resources is used up.
func (f *filling) stays(i int, bounded bool) bool {
	c := f.claims[i]
	if bounded && f.got[i] >= c.Demand-epsilon {
		return false
	}
	return !slices.ContainsFunc(c.On, func(j int) bool { return f.left[j] <= epsilon })
}
