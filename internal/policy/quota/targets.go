package quota

import (
	"maps"
	"math"
	"slices"
)

// Targets: what each router should have of a cell. Inputs: the capacity, and the requests a second that each router says that it was
// asked for of each tenant. The cell is divided among tenants by weighted max-min, by the rates that they have agreed on, and each
// tenant's rate among the routers that bring its requests.
const (
	demandDeviations = 2.0  // standard deviations that a demand gets beyond what was observed, as it was observed for a short time
	minTenantRate    = 1e-3 // requests a second, the weight of a tenant that has agreed on nothing
	idleRouterWeight = 0.02 // of all that a tenant is asked for: a router that brings nothing yet has so much to begin with
)

// Targets are the rates of one cell that all routers should have, by router and tenant, by the demand that they report, likewise. A
// router that brings nothing of a tenant keeps a little to begin with.
func Targets(c Capacity, demand map[string]map[string]float64) map[string]map[string]float64 {
	routers := slices.Sorted(maps.Keys(demand))
	targets, sums := map[string]map[string]float64{}, map[string]float64{}
	for _, r := range routers {
		targets[r] = map[string]float64{}
		for tenant, rate := range demand[r] {
			sums[tenant] += paddedDemand(rate)
		}
	}
	for tenant, rate := range c.divide(1-ReservedRatio, sums) {
		claims := make([]Claim, len(routers))
		for j, r := range routers {
			routerDemand := paddedDemand(demand[r][tenant])
			claims[j] = Claim{routerDemand + idleRouterWeight*(sums[tenant]+1), routerDemand, []int{0}}
		}
		for j, share := range MaxMin([]float64{rate}, claims) {
			targets[routers[j]][tenant] = share
		}
	}
	return targets
}

// divide divides a ratio of a cell among its tenants by what each demands, nil for nothing.
func (c Capacity) divide(ratio float64, demands map[string]float64) map[string]float64 {
	var capacities []float64
	claims, names := map[string]*Claim{}, slices.Sorted(maps.Keys(c.Tenants))
	for _, name := range names {
		claims[name] = &Claim{Weight: max(c.Tenants[name].Rate, minTenantRate), Demand: demands[name]}
	}
	for j, bound := range c.constraints() {
		capacities = append(capacities, ratio*bound.capacity)
		for _, name := range bound.tenants {
			claims[name].Resources = append(claims[name].Resources, j)
		}
	}
	list := make([]Claim, len(names))
	for i, name := range names {
		list[i] = *claims[name]
	}
	rates := map[string]float64{}
	for i, rate := range MaxMin(capacities, list) {
		rates[names[i]] = rate
	}
	return rates
}

// paddedDemand is the rate that a router is to have that was asked for a rate of late: with what chance adds to it, as that rate was
// observed over twice demandSpan only.
func paddedDemand(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate + demandDeviations*math.Sqrt(rate/(2*demandTimeConstant)) + 1
}
