package quota

import (
	"math"
	"slices"
)

// Claim is a claim on some resources, of each of which the claimant uses all that it is given.
type Claim struct {
	Weight    float64
	Demand    float64 // what it would use; what is left when all have theirs goes to all by weight
	Resources []int   // the resources
}

// epsilon is what counts as nothing, of rates of 1e-3 to 1e6 requests a second: above what sums of them lose by rounding.
const epsilon = 1e-9

// MaxMin divides resources by weighted max-min fairness, filling all claims at once until one has what it demands or meets a resource
// that is used up (Bertsekas and Gallager, "Data Networks", 6.5.2): nobody gets more while another one who wants more has less by
// weight. It returns what each claim gets.
func MaxMin(capacities []float64, claims []Claim) []float64 {
	f := progressiveFilling{claims: claims, allocated: make([]float64, len(claims)), remaining: slices.Clone(capacities)}
	f.fill(true)  // first what is demanded,
	f.fill(false) // then what is left
	return f.allocated
}

// filling is a division under way.
type progressiveFilling struct {
	claims    []Claim
	allocated []float64 // by claim
	remaining []float64 // by resource
}

// fill raises all open claims together, round by round, until none is open. Bounded claims end at their demand.
func (f *progressiveFilling) fill(bounded bool) {
	open := make([]bool, len(f.claims))
	for i, c := range f.claims {
		open[i] = c.Weight > 0 && len(c.Resources) > 0 && (!bounded || c.Demand > 0)
	}
	for slices.Contains(open, true) {
		step, usage := f.step(open, bounded)
		for j := range f.remaining {
			f.remaining[j] -= step * usage[j]
		}
		for i, c := range f.claims {
			if open[i] {
				f.allocated[i] += step * c.Weight
				open[i] = f.staysOpen(i, bounded)
			}
		}
	}
}

// step is how far all open claims can rise, by their weights, until the first demand is met or the first resource used up, and by how
// much each resource is used for each unit of that.
func (f *progressiveFilling) step(open []bool, bounded bool) (step float64, usage []float64) {
	step, usage = math.Inf(1), make([]float64, len(f.remaining))
	for i, c := range f.claims {
		if !open[i] {
			continue
		}
		for _, j := range c.Resources {
			usage[j] += c.Weight
		}
		if bounded {
			step = min(step, (c.Demand-f.allocated[i])/c.Weight)
		}
	}
	for j := range f.remaining {
		if usage[j] > 0 {
			step = min(step, f.remaining[j]/usage[j])
		}
	}
	return max(0, step), usage
}

// stays reports whether a claim stays open: its demand is not met, and none of its resources is used up.
func (f *progressiveFilling) staysOpen(i int, bounded bool) bool {
	c := f.claims[i]
	if bounded && f.allocated[i] >= c.Demand-epsilon {
		return false
	}
	return !slices.ContainsFunc(c.Resources, func(j int) bool { return f.remaining[j] <= epsilon })
}
