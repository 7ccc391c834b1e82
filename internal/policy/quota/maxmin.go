package quota

import (
	"math"
	"slices"
)

// Claim is a claim on some resources. The claimant uses the same amount of each of them.
type Claim struct {
	Weight    float64
	Demand    float64 // amount that the claimant can use; a remainder after all demands are met is divided by weight
	Resources []int   // indices of the claimed resources
}

// epsilon is the amount below which a remainder counts as zero. Rates are 1e-3 to 1e6 requests a second, and rounding errors of their
// sums are smaller.
const epsilon = 1e-9

// MaxMin divides resources by weighted max-min fairness and returns the amount of each claim. It uses progressive filling (Bertsekas and
// Gallager, "Data Networks", 6.5.2): all claims rise together, each until its demand is met or one of its resources is exhausted. So no
// claim gets more while another unmet claim has less by weight.
func MaxMin(capacities []float64, claims []Claim) []float64 {
	f := progressiveFilling{claims: claims, allocated: make([]float64, len(claims)), remaining: slices.Clone(capacities)}
	f.fill(true)  // first up to the demands,
	f.fill(false) // then the remainder
	return f.allocated
}

// progressiveFilling is the state of a division.
type progressiveFilling struct {
	claims    []Claim
	allocated []float64 // by claim
	remaining []float64 // by resource
}

// fill raises all open claims together, step by step, until none is open. If bounded is set, a claim closes when its demand is met.
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

// step returns how far all open claims can rise in proportion to their weights until the first demand is met or the first resource is
// exhausted. usage is the amount of each resource that a rise of 1 uses.
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

// staysOpen reports whether a claim stays open: its demand is not met, and none of its resources is exhausted.
func (f *progressiveFilling) staysOpen(i int, bounded bool) bool {
	c := f.claims[i]
	if bounded && f.allocated[i] >= c.Demand-epsilon {
		return false
	}
	return !slices.ContainsFunc(c.Resources, func(j int) bool { return f.remaining[j] <= epsilon })
}
