package cells

import (
	"fmt"
	"slices"
	"time"
)

// The functions of this file plan the changes that operators and the placement controller may make to a map. Each function returns the next
// map, or an error with the reason why the change is not possible. A planned change takes effect two leases and MaxClockSkew after the plan:
// within the first lease routers read the map, and within the second those that could not read it stop.

// Load is the capacity and the agreed load of a cell. Commands print it as JSON with these names.
type Load struct {
	Cell     string  `json:"Cell"`
	Capacity float64 `json:"Capacity"` // requests per second
	Rate     float64 `json:"Rate"`     // sum of the agreed rates of its tenants, requests per second
}

// Utilization returns the ratio of the rate to the capacity, or 0 for a cell without capacity.
func (l Load) Utilization() float64 {
	if l.Capacity <= 0 {
		return 0
	}
	return l.Rate / l.Capacity
}

// Loads returns the load of every cell at a time.
func (m *Map) Loads(now time.Time) []Load {
	at := now.UnixMilli()
	var loads []Load
	for _, c := range m.Cells {
		load := Load{Cell: c.Name}
		for _, s := range m.activeServers(c.Name, at) {
			load.Capacity += s.Weight * c.Capacity
		}
		for t := range m.AllTenants() {
			if t.homeAt(at).Cell == c.Name {
				load.Rate += t.Rate
			}
		}
		loads = append(loads, load)
	}
	return loads
}

// Plan is a possible migration of a tenant.
type Plan struct {
	Tenant      string
	From, To    string
	ShardSize   int       // number of servers of the shard; 0: all
	EffectiveAt time.Time // when the migration takes effect
	SettledAt   time.Time // when it is over and former homes are not needed any more
	Before      []Load    // loads of the two cells before and after
	After       []Load
	Next        *Map // the map with the migration
}

// maxUtilization is the highest utilization that a migration may leave in a cell. Beyond it, the failure of one server overloads the
// rest of the cell.
const maxUtilization = 0.8

// PlanMove plans the migration of a tenant to a cell, onto a shard of shardSize of its servers, or all of them for 0. It returns an error
// if the target cell does not have enough capacity or servers, or if a migration of the tenant is in progress.
func (m *Map) PlanMove(now time.Time, tenant, to string, shardSize int) (Plan, error) {
	p := Plan{Tenant: tenant, To: to, ShardSize: shardSize}
	t := m.tenant(tenant, true)
	if t == nil {
		return p, fmt.Errorf("tenant %q is not in the map", tenant)
	}
	if state := m.moveState(t, now.UnixMilli()); state != Settled {
		return p, fmt.Errorf("tenant %q: a move is %v", tenant, state)
	}
	home := t.homeAt(now.UnixMilli())
	p.From = home.Cell
	if !slices.ContainsFunc(m.Cells, func(c Cell) bool { return c.Name == to }) {
		return p, fmt.Errorf("no such cell: %q", to)
	}
	if p.From == to && home.ShardSize == shardSize {
		return p, fmt.Errorf("tenant %q lives in cell %s", tenant, to)
	}
	if n := len(m.activeServers(to, now.UnixMilli())); shardSize > n {
		return p, fmt.Errorf("cell %s has %d servers, not %d", to, n, shardSize)
	}
	p.EffectiveAt = now.Add(2*m.Lease + m.MaxClockSkew) // one lease to read the map, and one for routers that cannot read it
	p.SettledAt = p.EffectiveAt.Add(m.OverlapWindow() + m.CallerTimeout)
	p.Next = m.withNextHome(tenant, Home{Cell: to, ShardSize: shardSize, Since: p.EffectiveAt.UnixMilli()})
	selectAffected := func(loads []Load) (affected []Load) {
		for _, load := range loads {
			if load.Cell == p.From || load.Cell == to {
				affected = append(affected, load)
			}
		}
		return affected
	}
	p.Before, p.After = selectAffected(m.Loads(now)), selectAffected(p.Next.Loads(p.EffectiveAt))
	for _, load := range p.After {
		if load.Cell == to && load.Capacity > 0 && load.Utilization() > maxUtilization {
			return p, fmt.Errorf("cell %s can't carry it: %.0f of %.0f requests a second would be taken, at most %.0f%% may be",
				to, load.Rate, load.Capacity, 100*maxUtilization)
		}
	}
	return p, nil
}

// withNextHome returns the next map, in which a tenant has one more home.
func (m *Map) withNextHome(tenant string, h Home) *Map {
	next := m.nextVersion()
	for i := range next.Tenants {
		if next.Tenants[i].Name == tenant {
			next.Tenants[i].Homes = append(slices.Clone(next.Tenants[i].Homes), h)
		}
	}
	return next
}

// PlanAbort plans the reversal of a migration that is prepared or in force. A prepared migration is removed from the map if all routers
// can receive that map in time. Otherwise the reversal is itself a migration, with the same guarantees for repeated requests.
func (m *Map) PlanAbort(now time.Time, tenant string) (*Map, error) {
	t := m.tenant(tenant, true)
	if t == nil {
		return nil, fmt.Errorf("tenant %q is not in the map", tenant)
	}
	last := len(t.Homes) - 1
	switch state := m.moveState(t, now.UnixMilli()); {
	case last < 1 || state == Settled || state == Draining:
		return nil, fmt.Errorf("tenant %q: no move to abort, it is %v", tenant, state)
	case t.Homes[last].IsAbort:
		return nil, fmt.Errorf("tenant %q: its move is already being aborted", tenant)
	}
	earliest := now.Add(2*m.Lease + m.MaxClockSkew).UnixMilli()
	if t.Homes[last].Since > earliest {
		next := m.withNextHome(tenant, Home{})
		for i := range next.Tenants {
			if next.Tenants[i].Name == tenant {
				next.Tenants[i].Homes = next.Tenants[i].Homes[:last]
			}
		}
		return next, nil
	}
	previous := t.Homes[last-1]
	return m.withNextHome(tenant, Home{Cell: previous.Cell, ShardSize: previous.ShardSize, Since: max(earliest, t.Homes[last].Since+1), IsAbort: true}), nil
}

// PlanRemoval returns the next map, in which a failed server leaves its cell two leases and MaxClockSkew from now. It returns an error if
// the cell would keep less than half of its servers, because then the failed health checks more likely come from a fault of the routers.
func (m *Map) PlanRemoval(now time.Time, server string) (*Map, error) {
	s := m.Server(server)
	if s == nil {
		return nil, fmt.Errorf("no such server: %q", server)
	}
	if s.LeavesAt > 0 {
		return nil, fmt.Errorf("server %s is already leaving its cell", server)
	}
	total, remaining := 0, 0
	for other := range m.AllServers() {
		if other.Cell == s.Cell {
			total++
			if other.LeavesAt == 0 && other.Name != server {
				remaining++
			}
		}
	}
	if remaining < 1 || 2*remaining < total {
		return nil, fmt.Errorf("cell %s would be left with %d of %d servers", s.Cell, remaining, total)
	}
	next := m.nextVersion()
	next.Server(server).LeavesAt = now.Add(2*m.Lease + m.MaxClockSkew).UnixMilli()
	return next, nil
}

// Compact returns the next map, without the homes and servers whose keyed requests can no longer be repeated. Without it, a map would
// grow with each migration.
func (m *Map) Compact(now time.Time) *Map {
	next := m.nextVersion()
	retainedFrom := now.Add(-m.OverlapWindow() - m.CallerTimeout).UnixMilli()
	for i, t := range next.Tenants {
		for len(t.Homes) > 1 && t.Homes[1].Since < retainedFrom {
			t.Homes = t.Homes[1:]
			t.Homes = append([]Home{{Cell: t.Homes[0].Cell, ShardSize: t.Homes[0].ShardSize, Since: t.Homes[0].Since}}, t.Homes[1:]...)
		}
		next.Tenants[i].Homes = t.Homes
	}
	next.Servers = slices.DeleteFunc(next.Servers, func(s Server) bool { return s.LeavesAt > 0 && s.LeavesAt < retainedFrom })
	return next
}

// Overlap returns the mean ratio of a tenant's servers that another tenant also uses, over all ordered pairs of the map's tenants in the
// same cell. Shuffle sharding keeps this ratio small. The cost grows with the square of the number of tenants in a cell.
func (m *Map) Overlap(now time.Time) float64 {
	at := now.UnixMilli()
	serversByCell := map[string][][]*Server{} // by cell, the servers of each of its tenants
	for t := range m.AllTenants() {
		cell := t.homeAt(at).Cell
		serversByCell[cell] = append(serversByCell[cell], m.serversOf(t, t.Name, at))
	}
	sum, pairs := 0.0, 0
	for _, c := range m.Cells {
		for i, own := range serversByCell[c.Name] {
			for j, others := range serversByCell[c.Name] {
				if i == j {
					continue
				}
				common := 0
				for _, s := range others {
					if slices.Contains(own, s) {
						common++
					}
				}
				sum += float64(common) / float64(max(1, len(own)))
				pairs++
			}
		}
	}
	return sum / float64(max(1, pairs))
}
