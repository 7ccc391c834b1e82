// Package cells decides which server of a fleet handles a request. It has a versioned map that assigns servers and tenants to cells, the
// home server of every idempotency key, and migrations of tenants and servers that lose no repeated request. It has no I/O, no clock and
// no goroutine. Every decision is computed from the map and the time alone, so routers that have read the same map agree without
// communicating, and a restarted router loses no state.
//
// route.go computes the homes of keys, move.go the states of a migration, follow.go which map may replace another, plan.go the changes
// that operators and controllers plan, and join.go maps that are stored in parts. docs/design/cells.md weighs the alternatives.
package cells

import "time"

// Map assigns servers and tenants to cells. It is immutable once it has been checked; a change is a new map with a higher version. A map
// from a file has its servers and tenants in the lists Servers and Tenants. A joined map, which Join returns, has them only in its parts.
// AllServers and AllTenants iterate over both kinds, and Flat converts either to lists. settings.ParseCells reads a map from JSON.
type Map struct {
	Version       int
	Epoch         uint64        // of the placement controller that wrote the map, 0 if none did: docs/duties.md
	KeyWindow     time.Duration // how long after its run began a request may be repeated with the same idempotency key
	MaxClockSkew  time.Duration // largest difference between the clocks of two routers
	Lease         time.Duration // a router that could not confirm its map for this long sends no more keyed requests
	CallerTimeout time.Duration // longest time that a caller waits for a response
	Cells         []Cell
	Servers       []Server
	Tenants       []Tenant

	index *index // nil: lookups search the lists
}

// Cell is a group of servers that confines a fault, or a flood of requests from its tenants, to itself.
type Cell struct {
	Name     string
	Capacity float64 // requests per second that a server of weight 1 can serve
}

// Server is a member of a cell from JoinsAt to LeavesAt.
type Server struct {
	Name, Addr, Cell  string
	AdminAddr         string // address of its admin API, for rollouts; empty: rollouts skip the server
	Weight            float64
	JoinsAt, LeavesAt int64 // Unix milliseconds; LeavesAt 0: the server stays
}

// Tenant is a customer and its homes, the latest last.
type Tenant struct {
	Name  string  // empty for the default entry, which applies to every tenant that the map does not list
	Rate  float64 // agreed rate, in requests per second
	Homes []Home
}

// Home is the cell of a tenant from the time Since on.
type Home struct {
	Cell      string
	ShardSize int   // number of the cell's servers that are drawn for the tenant; 0: all
	Since     int64 // Unix milliseconds
	IsAbort   bool  // the home reverts a migration
}

// Server returns the server with a name, or nil.
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

// tenant returns the entry of a tenant. For a tenant that the map does not list it returns the default entry, or nil if exact is set.
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

// AgreedRate returns the name and the agreed rate, in requests per second, of the entry that applies to a tenant. The name is empty for
// a tenant that the map does not list. A counter per returned name has no more entries than the map has tenants, whatever names callers
// send.
func (m *Map) AgreedRate(tenant string) (name string, rate float64) {
	if t := m.tenant(tenant, false); t != nil {
		return t.Name, t.Rate
	}
	return "", 0
}
