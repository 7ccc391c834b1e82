package quota

import (
	"maps"
	"math"
	"slices"
)

// Parameters of the target rates. Inputs are the capacity of a cell and the demand that each router reports for each tenant, in requests
// a second. The capacity is divided among the tenants by weighted max-min fairness, with the agreed rates as weights. The rate of each
// tenant is then divided among the routers that forward its requests.
const (
	demandDeviations = 2.0  // standard deviations added to an observed demand, because it was observed for a short time
	minTenantRate    = 1e-3 // requests a second; weight of a tenant without an agreed rate
	baseRouterWeight = 0.02 // fraction of a tenant's total demand, added to each router's weight as the initial rate of an idle router
)

// Targets returns the target rates of all routers for one cell, by router and tenant, given their demand by router and tenant. A router
// without requests of a tenant gets a small initial rate.
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
			claims[j] = Claim{routerDemand + baseRouterWeight*(sums[tenant]+1), routerDemand, []int{0}}
		}
		for j, share := range MaxMin([]float64{rate}, claims) {
			targets[routers[j]][tenant] = share
		}
	}
	return targets
}

// divide divides a ratio of the capacity of a cell among its tenants by their demands. If demands is nil, all demands are 0.
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

// paddedDemand returns the rate that a router needs for an observed demand: the demand plus demandDeviations standard deviations plus
// one request a second. The observation covers only about twice demandTimeConstant.
func paddedDemand(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate + demandDeviations*math.Sqrt(rate/(2*demandTimeConstant)) + 1
}
