package cells

import (
	"fmt"
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// A map's servers and tenants stand in parts by the hash of their names. A map that was joined shares all parts but the changed
// ones with the map before, so that a change costs what changed, and what two maps share need not be compared.
const (
	ServerParts = 32  // a change of a server sends some 30 others of a fleet of 1,000
	TenantParts = 256 // a change of a tenant sends some 80 others of 20,000
)

// ServerPart is the part that a server of a name stands in.
func ServerPart(name string) int { return int(xxhash.Sum64String(name) % ServerParts) }

// TenantPart is the part that a tenant of a name stands in.
func TenantPart(name string) int { return int(xxhash.Sum64String(name) % TenantParts) }

// Names of the parts.
const (
	TopName  = "top"  // the version and the epoch: they change with every map
	HeadName = "head" // the times and the cells
)

// ServerPartName is the name of a part of the servers.
func ServerPartName(i int) string { return fmt.Sprintf("s%02x", i) }

// TenantPartName is the name of a part of the tenants.
func TenantPartName(i int) string { return fmt.Sprintf("t%02x", i) }

// part is a part of a map's servers or tenants, sorted by their names. It is never changed, and may be of several maps.
type part[E any] struct{ entries []*E }

// index finds what a request asks a map for. Of a map as it stands in a file it points into the lists there; of one that was
// joined it is all that there is.
type index struct {
	servers [ServerParts]*part[Server]
	tenants [TenantParts]*part[Tenant]
	cells   map[string]*cellIndex
	joined  bool
	// The lists that it was made of, so that a copy of the map with other ones is not taken for it.
	firstServer *Server
	firstTenant *Tenant
	listLengths [2]int
}

// cellIndex is what a route needs of one.
type cellIndex struct {
	declared    bool      // it stands in the map, not in a server alone
	servers     []*Server // whenever they belong to it: in the file's order, or, of a map that was joined, by name
	changeTimes []int64   // at which one of them comes or goes, rising, Unix milliseconds
}

// Index has the map, which is not changed from here on, find what it is asked for without running over its lists. It is called
// before anybody else knows the map; a map without it does the same, slowly.
func (m *Map) Index() {
	if !m.isJoined() {
		m.index = newIndex(m)
	}
}

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

// newCellIndex has every server in its cell. It grows with the servers, and is made anew where one of them or a cell has changed.
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

// isJoined reports whether the map has its servers and tenants in parts alone.
func (m *Map) isJoined() bool {
	return m.index != nil && m.index.joined && m.Servers == nil && m.Tenants == nil
}

// validIndex is the map's index, nil where it has none that is of its lists.
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

// anyIndex is the map's index, or, where it has none, one for a while.
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
