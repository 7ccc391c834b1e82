// Package quota divides the capacity of a cell, the requests a second that its servers can process, among the tenants of the cell and
// the routers that forward their requests. It has no I/O, no clock and no goroutine.
//
// Ledger is the side of the group's leader, which grants rates with a lease (ledger.go). Holder is the side of a router, which admits
// requests within its granted rates and a small permanent reserve (holder.go). The target rates follow from demand by weighted max-min
// fairness (targets.go, maxmin.go). docs/design/rules.md proves that the rates valid at any time sum to at most the capacity, even if
// some processes are cut off.
package quota

import (
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/cells"
)

// Key identifies what a rate applies to: the capacity of a cell for one of its tenants.
type Key struct{ Cell, Tenant string }

// ReservedRatio is the fraction of a cell's capacity that is never granted. Each router has an equal part of it, whether it can reach
// the group or not; the number of routers is bounded. A tenth lets a router that is cut off continue at a low rate, and costs little
// while none is.
const ReservedRatio = 0.1

// UsableRatio is the fraction of the servers' capacity that is granted or reserved. Above it the queues of the servers grow, and the
// servers reject requests at random, even those within the rate of their tenant.
const UsableRatio = 0.85

// Capacity is the capacity of a cell: the requests a second that each server can process, and the tenants of the cell.
type Capacity struct {
	Servers map[string]float64
	Tenants map[string]Tenant
}

// Tenant is a tenant of a cell: its agreed rate in requests a second, and the servers that process its requests. Each request goes to
// any of these servers that has free capacity.
type Tenant struct {
	Rate    float64
	Servers []string
}

// CapacityOf returns the capacity of each cell of a map at the time now, by cell name. The result is valid until the next time in the map
// at which a server joins or leaves, or a tenant moves (Map.NextChange).
func CapacityOf(m *cells.Map, now time.Time) map[string]Capacity {
	all := map[string]Capacity{}
	for _, c := range m.Cells {
		all[c.Name] = Capacity{map[string]float64{}, map[string]Tenant{}}
	}
	at := now.UnixMilli()
	perServer := map[string]float64{}
	for _, c := range m.Cells {
		perServer[c.Name] = c.Capacity
	}
	for s := range m.AllServers() {
		if s.JoinsAt > at || s.LeavesAt > 0 && s.LeavesAt <= at {
			continue
		}
		if capacity, known := all[s.Cell]; known {
			capacity.Servers[s.Name] = UsableRatio * s.Weight * perServer[s.Cell]
		}
	}
	for t := range m.AllTenants() {
		route, ok := m.Route(now, t.Name, "")
		if !ok {
			continue
		}
		servers := route.Servers
		if t.Name == "" { // each unlisted tenant has a shard of its own
			servers = slices.Sorted(maps.Keys(all[route.Cell].Servers))
		}
		all[route.Cell].Tenants[t.Name] = Tenant{t.Rate, servers}
	}
	return all
}

// constraint is a set of servers of a cell and the tenants whose requests go to these servers only. Together the tenants get no more
// than the capacity of the servers.
type constraint struct {
	capacity float64 // requests a second
	tenants  []string
}

// maxPairedShards is the highest number of shards of which all pairs are constraints (120 pairs). With more shards only the single
// shards and the whole cell are, so that the cost stays linear.
const maxPairedShards = 16

// constraints returns the constraints on the tenants of a cell: one for each shard, one for each pair of shards, as they may overlap,
// and one for the cell.
func (c Capacity) constraints() (list []constraint) {
	names := slices.Sorted(maps.Keys(c.Tenants))
	for _, set := range c.serverSets(names) {
		bound := constraint{}
		for _, s := range set {
			bound.capacity += c.Servers[s]
		}
		for _, name := range names {
			inside := len(c.Tenants[name].Servers) > 0
			for _, s := range c.Tenants[name].Servers {
				inside = inside && slices.Contains(set, s)
			}
			if inside {
				bound.tenants = append(bound.tenants, name)
			}
		}
		list = append(list, bound)
	}
	return list
}

// serverSets returns the shards of the named tenants, the unions of two shards, and all servers of the cell, each set once.
func (c Capacity) serverSets(tenants []string) (sets [][]string) {
	add := func(set []string) {
		if len(set) > 0 && !slices.ContainsFunc(sets, func(other []string) bool { return slices.Equal(other, set) }) {
			sets = append(sets, set)
		}
	}
	for _, name := range tenants {
		add(slices.Sorted(slices.Values(c.Tenants[name].Servers)))
	}
	if n := len(sets); n <= maxPairedShards {
		for i := range n {
			for j := range i {
				add(slices.Compact(slices.Sorted(slices.Values(slices.Concat(sets[i], sets[j])))))
			}
		}
	}
	add(slices.Sorted(maps.Keys(c.Servers)))
	return sets
}
