package cells

import (
	"fmt"
	"slices"
	"time"
)

// Plans of changes: what operators and the placement controller may do to a map. Each returns the map that would follow, or an error
// that names why there is none. Whatever a plan changes comes into force two leases and the clocks' difference after it: a lease for
// routers that read the map, and one for those that can't and stop.

// Load is what a cell has to carry. Commands print it as JSON under these names.
type Load struct {
	Cell     string  `json:"Cell"`
	Capacity float64 `json:"Capacity"` // requests a second
	Rate     float64 `json:"Rate"`     // of its tenants, as agreed
}

// Utilization is how much of the capacity is taken.
func (l Load) Utilization() float64 {
	if l.Capacity <= 0 {
		return 0
	}
	return l.Rate / l.Capacity
}

// Loads returns what every cell carries at a time.
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

// Plan is a migration that could be made.
type Plan struct {
	Tenant   string
	From, To string
	Shard    int
	At       time.Time // when it comes into force
	Settled  time.Time // when it is over
	Before   []Load    // of the two cells
	After    []Load
	Next     *Map // the map that makes it
}

// maxUtilization is the ratio of a cell's capacity that a migration may leave taken: beyond it a server that fails takes the rest of its
// cell over what it can do.
const maxUtilization = 0.8

// PlanMove plans a tenant's migration to a cell, and to a shard of so many servers there, 0 for all. It is an error where the target
// can't carry the tenant or has too few servers for it, or where a migration of it is under way.
func (m *Map) PlanMove(now time.Time, tenant, to string, shardSize int) (Plan, error) {
	p := Plan{Tenant: tenant, To: to, Shard: shardSize}
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
	if p.From == to && home.Shard == shardSize {
		return p, fmt.Errorf("tenant %q lives in cell %s", tenant, to)
	}
	if n := len(m.activeServers(to, now.UnixMilli())); shardSize > n {
		return p, fmt.Errorf("cell %s has %d servers, not %d", to, n, shardSize)
	}
	p.At = now.Add(2*m.Lease + m.MaxClockSkew) // a lease for whoever reads the map, and one for whoever can't
	p.Settled = p.At.Add(m.OverlapWindow() + m.CallerTimeout)
	p.Next = m.withNextHome(tenant, Home{Cell: to, Shard: shardSize, Since: p.At.UnixMilli()})
	selectAffected := func(loads []Load) (affected []Load) {
		for _, load := range loads {
			if load.Cell == p.From || load.Cell == to {
				affected = append(affected, load)
			}
		}
		return affected
	}
	p.Before, p.After = selectAffected(m.Loads(now)), selectAffected(p.Next.Loads(p.At))
	for _, load := range p.After {
		if load.Cell == to && load.Capacity > 0 && load.Utilization() > maxUtilization {
			return p, fmt.Errorf("cell %s can't carry it: %.0f of %.0f requests a second would be taken, at most %.0f%% may be",
				to, load.Rate, load.Capacity, 100*maxUtilization)
		}
	}
	return p, nil
}

// withHome is the next map, in which a tenant has one home more.
func (m *Map) withNextHome(tenant string, h Home) *Map {
	next := m.nextVersion()
	for i := range next.Tenants {
		if next.Tenants[i].Name == tenant {
			next.Tenants[i].Homes = append(slices.Clone(next.Tenants[i].Homes), h)
		}
	}
	return next
}

// PlanAbort plans the way back from a migration that is prepared or in force. One that is prepared is taken out again where there is
// time for all routers to hear of it; else the way back is a migration of its own, with the same care for repeats.
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
		return nil, fmt.Errorf("tenant %q: its move is being aborted", tenant)
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
	return m.withNextHome(tenant, Home{Cell: previous.Cell, Shard: previous.Shard, Since: max(earliest, t.Homes[last].Since+1), IsAbort: true}), nil
}

// PlanRemoval is the next map without a server that is gone: it leaves its cell two leases ahead. It is an error where the cell would be
// left with under half of its servers, as then health says more of the routers that report it than of the servers.
func (m *Map) PlanRemoval(now time.Time, server string) (*Map, error) {
	s := m.Server(server)
	if s == nil {
		return nil, fmt.Errorf("no such server: %q", server)
	}
	if s.LeavesAt > 0 {
		return nil, fmt.Errorf("server %s leaves already", server)
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

// Compact is the next map without the homes and servers that no repeat can come from any more. Without it a map would grow with each
// migration.
func (m *Map) Compact(now time.Time) *Map {
	next := m.nextVersion()
	retainedFrom := now.Add(-m.OverlapWindow() - m.CallerTimeout).UnixMilli()
	for i, t := range next.Tenants {
		for len(t.Homes) > 1 && t.Homes[1].Since < retainedFrom {
			t.Homes = t.Homes[1:]
			t.Homes = append([]Home{{Cell: t.Homes[0].Cell, Shard: t.Homes[0].Shard, Since: t.Homes[0].Since}}, t.Homes[1:]...)
		}
		next.Tenants[i].Homes = t.Homes
	}
	next.Servers = slices.DeleteFunc(next.Servers, func(s Server) bool { return s.LeavesAt > 0 && s.LeavesAt < retainedFrom })
	return next
}

// Overlap is, of all pairs of named tenants in one cell, the mean share of its servers that one has in common with the
// other: what shuffle sharding keeps small. It grows with the square of the tenants of a cell.
func (m *Map) Overlap(now time.Time) float64 {
	at := now.UnixMilli()
	serversByCell := map[string][][]*Server{} // by cell, of each tenant that lives there
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
