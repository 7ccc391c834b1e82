// Package quota decides how much of a cell's capacity each router may use: the requests a second that the cell's servers can do, among
// the tenants that live there and the routers that bring their requests. It has no I/O, no clock and no goroutine.
//
// Ledger is the side of the group's leader, which lends rates with a lease: ledger.go. Holder is that of a router, which admits requests
// within the rates that it was lent and a small reserve that it has for good: holder.go. What each should have is decided by demand and
// weighted max-min fairness: targets.go, maxmin.go. docs/design/rules.md has the proof that valid rates never sum to more than the
// capacity, whoever is cut off.
package quota

import (
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/cells"
)

// Key is what a rate is of: a cell's capacity, for one of its tenants.
type Key struct{ Cell, Tenant string }

// ReservedRatio is the ratio of a cell's capacity that is never lent: each of at most so many routers has an equal part of it, whether
// it can reach the group or not. A tenth lets a router that is cut off go on with a little, and costs little where none is.
const ReservedRatio = 0.1

// UsableRatio is the ratio of what servers can do that is given out: beyond it their queues grow, and they reject by chance what comes
// within every tenant's rate.
const UsableRatio = 0.85

// Capacity is what there is in a cell: the requests a second that each of its servers can do, and the tenants that live there.
type Capacity struct {
	Servers map[string]float64
	Tenants map[string]Tenant
}

// Tenant is a tenant of a cell: the requests a second that it has agreed on, and the servers that its requests go to, to whichever has
// capacity.
type Tenant struct {
	Rate    float64
	Servers []string
}

// CapacityOf is the capacity of a map's cells at a time, by their names. It is the same until the map's next change by the time alone.
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
		if t.Name == "" { // those that are not named have a shard each
			servers = slices.Sorted(maps.Keys(all[route.Cell].Servers))
		}
		all[route.Cell].Tenants[t.Name] = Tenant{t.Rate, servers}
	}
	return all
}

// constraint is some servers of a cell and the tenants whose requests go to these alone: together they get no more than these can do.
type constraint struct {
	capacity float64 // requests a second
	tenants  []string
}

// maxPairedShards bounds the shards of which all pairs are looked at, 120 of them; with more, only each by itself and the whole cell
// are, so that the cost stays linear.
const maxPairedShards = 16

// constraints are all that bound the tenants of a cell: each shard, two that may overlap, and the cell.
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

// serverSets are the shards of the named tenants, the pairs of them, and the cell, each once.
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
