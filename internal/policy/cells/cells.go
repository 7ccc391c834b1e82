// Package cells decides which server of a fleet a request belongs to: a versioned map of servers in cells and of tenants in cells, the
// home of every idempotency key, and migrations of tenants and servers that lose no repeat. It has no I/O, no clock and no goroutine.
// Everything follows from the map and the time, so that routers that have read the same map agree without talking, and one that
// restarts knows all that it knew.
//
// route.go has the homes of keys, move.go the states of a migration, follow.go which map may follow another, plan.go what operators and
// controllers plan, and join.go maps in parts. docs/design/cells.md weighs the alternatives.
package cells

import "time"

// Map is who serves whom. It is never changed once it is checked; a change is a new map of a higher version. Its servers and tenants
// stand in lists, as in a file, or, where it was joined from parts, in these alone: AllServers and AllTenants run over either, and
// Flat has lists of either. settings.ParseCells reads it from JSON.
type Map struct {
	Version       int
	Epoch         uint64        // of the placement controller that made it, 0 where there is none: docs/duties.md
	KeyWindow     time.Duration // a request may be repeated under its idempotency key for so long after its run began
	MaxClockSkew  time.Duration // by which the clocks of two routers may differ
	Lease         time.Duration // a router that could not confirm its map for so long sends no more requests with a key
	CallerTimeout time.Duration // the longest that a caller waits
	Cells         []Cell
	Servers       []Server
	Tenants       []Tenant

	index *index // nil: what is asked for is searched for in the lists
}

// Cell is a part of the fleet, which a fault or a flood of its tenants stays in.
type Cell struct {
	Name     string
	Capacity float64 // requests a second that one of its servers of weight 1 can do
}

// Server is a member of a cell from a time to a time.
type Server struct {
	Name, Addr, Cell  string
	AdminAddr         string // of its admin API, for a rollout; empty: it takes part in none
	Weight            float64
	JoinsAt, LeavesAt int64 // Unix milliseconds; LeavesAt 0: it stays
}

// Tenant is a customer and the cells that it has lived in, the latest last.
type Tenant struct {
	Name  string  // "" stands for all tenants that are not named
	Rate  float64 // requests a second, as agreed
	Homes []Home
}

// Home is a tenant's cell from a time on.
type Home struct {
	Cell    string
	Shard   int   // so many servers of the cell, drawn for the tenant; 0: all
	Since   int64 // Unix milliseconds
	IsAbort bool  // it takes a migration back
}

// Server returns a server by its name, nil for none.
func (m *Map) Server(name string) *Server {
	if idx := m.validIndex(); idx != nil {
		return idx.server(name)
	}
	for i := range m.Servers {
		if m.Servers[i].Name == name {
			return &m.Servers[i]
		}
	}
	return nil
}

// tenant returns a tenant, or, where it is not named and the exact one is not asked for, that of all others.
func (m *Map) tenant(name string, exact bool) *Tenant {
	if idx := m.validIndex(); idx != nil {
		t := idx.tenant(name)
		if t == nil && !exact {
			t = idx.tenant("")
		}
		return t
	}
	var defaultTenant *Tenant
	for i := range m.Tenants {
		if m.Tenants[i].Name == name {
			return &m.Tenants[i]
		}
		if m.Tenants[i].Name == "" {
			defaultTenant = &m.Tenants[i]
		}
	}
	if exact {
		return nil
	}
	return defaultTenant
}

// AgreedRate is a tenant's name in the map, "" for all that are not named, and the rate agreed with it, in requests a second. Who
// counts by the name that it returns has no more entries than the map has tenants, whatever names callers send.
func (m *Map) AgreedRate(tenant string) (name string, rate float64) {
	if t := m.tenant(tenant, false); t != nil {
		return t.Name, t.Rate
	}
	return "", 0
}
