package cells

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Servers and tenants are assigned to parts by the hash of their names. A joined map shares all unchanged parts with the map before it,
// so the cost of a change depends on the changed parts, and parts that two maps share need no comparison.
const (
	ServerParts = 32  // a change of one server sends about 30 others in a fleet of 1,000
	TenantParts = 256 // a change of one tenant sends about 80 others of 20,000
)

// ServerPart returns the number of the part that contains the server with a name.
func ServerPart(name string) int { return int(xxhash.Sum64String(name) % ServerParts) }

// TenantPart returns the number of the part that contains the tenant with a name.
func TenantPart(name string) int { return int(xxhash.Sum64String(name) % TenantParts) }

// Names of the parts.
const (
	TopName  = "top"  // the version and the epoch, which change with every map
	HeadName = "head" // the times and the cells
)

// ServerPartName returns the name of a part of the servers.
func ServerPartName(i int) string { return fmt.Sprintf("s%02x", i) }

// TenantPartName returns the name of a part of the tenants.
func TenantPartName(i int) string { return fmt.Sprintf("t%02x", i) }

// part is a part of a map's servers or tenants, sorted by name. It is immutable, and several maps may share it.
type part[E any] struct{ entries []*E }

// index looks up the servers, tenants and cells of a map. For a map from a file it points into the map's lists; for a joined map it is
// the only storage.
type index struct {
	servers [ServerParts]*part[Server]
	tenants [TenantParts]*part[Tenant]
	cells   map[string]*cellIndex
	joined  bool
	// Identity of the lists that the index was built from. A copy of the map with other lists does not use the index.
	firstServer *Server
	firstTenant *Tenant
	listLengths [2]int
}

// cellIndex has the data of one cell that a route needs.
type cellIndex struct {
	declared    bool      // the map lists the cell; false: only a server refers to it
	servers     []*Server // at any time; in the file's order, or by name for a joined map
	changeTimes []int64   // times at which a server joins or leaves, ascending, Unix milliseconds
}

// Index builds an index, so that lookups do not search the map's lists. The map must not change afterwards. Index is called before other
// goroutines use the map. A map without an index gives the same results, more slowly.
func (m *Map) Index() {
	if !m.isJoined() {
		m.index = newIndex(m)
	}
}

// newIndex returns an index of the map's lists.
func newIndex(m *Map) *index {
	idx := &index{listLengths: [2]int{len(m.Servers), len(m.Tenants)}}
	if len(m.Servers) > 0 {
		idx.firstServer = &m.Servers[0]
	}
	if len(m.Tenants) > 0 {
		idx.firstTenant = &m.Tenants[0]
	}
	for i := range idx.servers {
		idx.servers[i] = &part[Server]{}
	}
	for i := range idx.tenants {
		idx.tenants[i] = &part[Tenant]{}
	}
	for i := range m.Servers {
		p := idx.servers[ServerPart(m.Servers[i].Name)]
		p.entries = append(p.entries, &m.Servers[i])
	}
	for i := range m.Tenants {
		p := idx.tenants[TenantPart(m.Tenants[i].Name)]
		p.entries = append(p.entries, &m.Tenants[i])
	}
	for _, p := range idx.servers {
		slices.SortStableFunc(p.entries, compareServers)
	}
	for _, p := range idx.tenants {
		slices.SortStableFunc(p.entries, compareTenants)
	}
	idx.cells = newCellIndexes(m.Cells, m.AllServers())
	return idx
}

func compareServers(a, b *Server) int { return strings.Compare(a.Name, b.Name) }

func compareTenants(a, b *Tenant) int { return strings.Compare(a.Name, b.Name) }

// newCellIndexes returns the index of every cell, by name. Its cost grows with the number of servers, and it runs again whenever a server
// or a cell has changed.
func newCellIndexes(cells []Cell, servers iter.Seq[*Server]) map[string]*cellIndex {
	indexes := make(map[string]*cellIndex, len(cells))
	for _, c := range cells {
		indexes[c.Name] = &cellIndex{declared: true}
	}
	for s := range servers {
		c := indexes[s.Cell]
		if c == nil {
			c = &cellIndex{}
			indexes[s.Cell] = c
		}
		c.servers = append(c.servers, s)
		for _, at := range []int64{s.JoinsAt, s.LeavesAt} {
			if at > 0 {
				c.changeTimes = append(c.changeTimes, at)
			}
		}
	}
	for _, c := range indexes {
		slices.Sort(c.changeTimes)
		c.changeTimes = slices.Compact(c.changeTimes)
	}
	return indexes
}

// isJoined reports whether the map has its servers and tenants only in parts.
func (m *Map) isJoined() bool {
	return m.index != nil && m.index.joined && m.Servers == nil && m.Tenants == nil
}

// validIndex returns the map's index, or nil if there is none or it was built from other lists.
func (m *Map) validIndex() *index {
	idx := m.index
	switch {
	case idx == nil || idx.joined && !m.isJoined() || idx.listLengths != [2]int{len(m.Servers), len(m.Tenants)}:
		return nil
	case len(m.Servers) > 0 && idx.firstServer != &m.Servers[0], len(m.Tenants) > 0 && idx.firstTenant != &m.Tenants[0]:
		return nil
	}
	return idx
}

// anyIndex returns the map's index, or builds a temporary one.
func (m *Map) anyIndex() *index {
	if idx := m.validIndex(); idx != nil {
		return idx
	}
	return newIndex(m)
}

func (idx *index) server(name string) *Server {
	list := idx.servers[ServerPart(name)].entries
	i, found := slices.BinarySearchFunc(list, name, func(s *Server, name string) int { return strings.Compare(s.Name, name) })
	if !found {
		return nil
	}
	return list[i]
}

func (idx *index) tenant(name string) *Tenant {
	list := idx.tenants[TenantPart(name)].entries
	i, found := slices.BinarySearchFunc(list, name, func(t *Tenant, name string) int { return strings.Compare(t.Name, name) })
	if !found {
		return nil
	}
	return list[i]
}
