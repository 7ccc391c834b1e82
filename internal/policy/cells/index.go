package cells

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A map's servers and tenants stand in parts by the hash of their names. A map that was joined shares all parts but the changed
// ones with the map before, so that a change costs what changed, and what two maps share need not be compared.
const (
	ServerParts = 32
	TenantParts = 256
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
type part[E any] struct{ list []*E }

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
	lengths     [2]int
}

// cell is what a route needs of one.
type cellIndex struct {
	inMap       bool      // it stands in the map, not in a server alone
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
	x := &index{lengths: [2]int{len(m.Servers), len(m.Tenants)}}
	if len(m.Servers) > 0 {
		x.firstServer = &m.Servers[0]
	}
	if len(m.Tenants) > 0 {
		x.firstTenant = &m.Tenants[0]
	}
	for i := range x.servers {
		x.servers[i] = &part[Server]{}
	}
	for i := range x.tenants {
		x.tenants[i] = &part[Tenant]{}
	}
	for i := range m.Servers {
		p := x.servers[ServerPart(m.Servers[i].Name)]
		p.list = append(p.list, &m.Servers[i])
	}
	for i := range m.Tenants {
		p := x.tenants[TenantPart(m.Tenants[i].Name)]
		p.list = append(p.list, &m.Tenants[i])
	}
	for _, p := range x.servers {
		slices.SortStableFunc(p.list, compareServers)
	}
	for _, p := range x.tenants {
		slices.SortStableFunc(p.list, compareTenants)
	}
	x.cells = newCellIndex(m.Cells, m.AllServers())
	return x
}

func compareServers(a, b *Server) int { return strings.Compare(a.Name, b.Name) }
func compareTenants(a, b *Tenant) int { return strings.Compare(a.Name, b.Name) }

// cellsOf has every server in its cell. It grows with the servers, and is made anew where one of them or a cell has changed.
func newCellIndex(list []Cell, servers iter.Seq[*Server]) map[string]*cellIndex {
	all := make(map[string]*cellIndex, len(list))
	for _, c := range list {
		all[c.Name] = &cellIndex{inMap: true}
	}
	for s := range servers {
		c := all[s.Cell]
		if c == nil {
			c = &cellIndex{}
			all[s.Cell] = c
		}
		c.servers = append(c.servers, s)
		for _, at := range []int64{s.JoinsAt, s.LeavesAt} {
			if at > 0 {
				c.changeTimes = append(c.changeTimes, at)
			}
		}
	}
	for _, c := range all {
		slices.Sort(c.changeTimes)
		c.changeTimes = slices.Compact(c.changeTimes)
	}
	return all
}

// joined reports whether the map has its servers and tenants in parts alone.
func (m *Map) isJoined() bool {
	return m.index != nil && m.index.joined && m.Servers == nil && m.Tenants == nil
}

// indexed is the map's index, nil where it has none that is of its lists.
func (m *Map) validIndex() *index {
	x := m.index
	switch {
	case x == nil || x.joined && !m.isJoined() || x.lengths != [2]int{len(m.Servers), len(m.Tenants)}:
		return nil
	case len(m.Servers) > 0 && x.firstServer != &m.Servers[0], len(m.Tenants) > 0 && x.firstTenant != &m.Tenants[0]:
		return nil
	}
	return x
}

// lookup is the map's index, or, where it has none, one for a while.
func (m *Map) anyIndex() *index {
	if x := m.validIndex(); x != nil {
		return x
	}
	return newIndex(m)
}

func (x *index) server(name string) *Server {
	list := x.servers[ServerPart(name)].list
	i, found := slices.BinarySearchFunc(list, name, func(s *Server, name string) int { return strings.Compare(s.Name, name) })
	if !found {
		return nil
	}
	return list[i]
}

func (x *index) tenant(name string) *Tenant {
	list := x.tenants[TenantPart(name)].list
	i, found := slices.BinarySearchFunc(list, name, func(t *Tenant, name string) int { return strings.Compare(t.Name, name) })
	if !found {
		return nil
	}
	return list[i]
}

// AllServers runs over the servers: in the order of their file, or by the parts of a map that was joined.
func (m *Map) AllServers() iter.Seq[*Server] {
	return func(yield func(*Server) bool) {
		for _, s := range m.serversNotIn(nil) {
			if !yield(s) {
				return
			}
		}
	}
}

// AllTenants runs over the tenants, as AllServers.
func (m *Map) AllTenants() iter.Seq[*Tenant] {
	return func(yield func(*Tenant) bool) {
		for _, t := range m.tenantsNotIn(nil) {
			if !yield(t) {
				return
			}
		}
	}
}

// Size is the number of servers and of tenants.
func (m *Map) Size() (servers, tenants int) {
	if !m.isJoined() {
		return len(m.Servers), len(m.Tenants)
	}
	for _, p := range m.index.servers {
		servers += len(p.list)
	}
	for _, p := range m.index.tenants {
		tenants += len(p.list)
	}
	return servers, tenants
}

// place is where an entry of a map stands: in the list of a file, or in that of a part.
type position struct {
	partName func(int) string // nil: in a file
	number   int
	list     string
	index    int
}

func (p position) String() string {
	if p.partName == nil {
		return fmt.Sprintf("%s[%d]", p.list, p.index)
	}
	return fmt.Sprintf("part %s: %s[%d]", p.partName(p.number), p.list, p.index)
}

// serversBeside runs over the servers but for those in parts that the map shares with another one.
func (m *Map) serversNotIn(other *index) iter.Seq2[position, *Server] {
	return func(yield func(position, *Server) bool) {
		if !m.isJoined() {
			for i := range m.Servers {
				if !yield(position{list: "servers", index: i}, &m.Servers[i]) {
					return
				}
			}
			return
		}
		for n, p := range m.index.servers {
			if other != nil && other.servers[n] == p {
				continue
			}
			for i, s := range p.list {
				if !yield(position{ServerPartName, n, "servers", i}, s) {
					return
				}
			}
		}
	}
}

// tenantsBeside is serversBeside for tenants.
func (m *Map) tenantsNotIn(other *index) iter.Seq2[position, *Tenant] {
	return func(yield func(position, *Tenant) bool) {
		if !m.isJoined() {
			for i := range m.Tenants {
				if !yield(position{list: "tenants", index: i}, &m.Tenants[i]) {
					return
				}
			}
			return
		}
		for n, p := range m.index.tenants {
			if other != nil && other.tenants[n] == p {
				continue
			}
			for i, t := range p.list {
				if !yield(position{TenantPartName, n, "tenants", i}, t) {
					return
				}
			}
		}
	}
}

// SameServers reports whether the map shares all its servers with another one, without looking at any.
func (m *Map) SameServers(other *Map) bool {
	x, o := m.validIndex(), other.validIndex()
	return m == other || x != nil && o != nil && x.servers == o.servers
}

// Flat is the map with its servers and tenants in lists, as it stands in a file; those of one that was joined are by name. The
// lists are not to be changed.
func (m *Map) Flat() *Map {
	if !m.isJoined() {
		return m
	}
	flat := *m
	flat.index = nil
	for s := range m.AllServers() {
		flat.Servers = append(flat.Servers, *s)
	}
	for t := range m.AllTenants() {
		flat.Tenants = append(flat.Tenants, *t)
	}
	slices.SortFunc(flat.Servers, func(a, b Server) int { return compareServers(&a, &b) })
	slices.SortFunc(flat.Tenants, func(a, b Tenant) int { return compareTenants(&a, &b) })
	return &flat
}

// draft is a copy of the map, of the next version, whose lists may be changed.
func (m *Map) nextVersion() *Map {
	next := *m.Flat()
	next.index = nil
	next.Version++
	next.Servers, next.Tenants = slices.Clone(next.Servers), slices.Clone(next.Tenants)
	return &next
}

// NextChange is the first time after another at which a route may change by the time alone: a server comes or goes, or a tenant
// moves. ok is false where none is announced. It runs over all cells and tenants.
func (m *Map) NextChange(after time.Time) (next time.Time, ok bool) {
	at, first := after.UnixMilli(), int64(math.MaxInt64)
	for _, c := range m.anyIndex().cells {
		if i, _ := slices.BinarySearch(c.changeTimes, at+1); i < len(c.changeTimes) {
			first = min(first, c.changeTimes[i])
		}
	}
	for t := range m.AllTenants() {
		for _, h := range t.Homes {
			if h.Since > at {
				first = min(first, h.Since)
			}
		}
	}
	return time.UnixMilli(first), first < math.MaxInt64
}

// ---- Joining ----

// Parts are parts of a map that take the place of those of another.
type Parts struct {
	Top     *Map // nil, or one with a version and an epoch
	Head    *Map // nil, or one with times and cells
	Servers map[int][]Server
	Tenants map[int][]Tenant
}

// Join returns the map that has these parts in place of those of another, nil for none, and shares the rest with it. What has
// changed is checked, and of the rest what the change can break: with servers or cells it runs over all servers, and over all
// tenants where a cell is gone; a change of tenants looks at their parts alone, and copies a pointer for each part.
func Join(old *Map, c Parts) (*Map, error) {
	m, x := &Map{}, &index{joined: true}
	if old != nil {
		was := old.anyIndex()
		*m = Map{Version: old.Version, Epoch: old.Epoch, KeyWindow: old.KeyWindow, MaxClockSkew: old.MaxClockSkew, Lease: old.Lease, CallerTimeout: old.CallerTimeout, Cells: old.Cells}
		x.servers, x.tenants, x.cells = was.servers, was.tenants, was.cells
	}
	m.index = x
	for i, p := range x.servers {
		if p == nil {
			x.servers[i] = &part[Server]{}
		}
	}
	for i, p := range x.tenants {
		if p == nil {
			x.tenants[i] = &part[Tenant]{}
		}
	}
	if c.Top != nil {
		m.Version, m.Epoch = c.Top.Version, c.Top.Epoch
	}
	if err := m.checkTop(); err != nil {
		return nil, fmt.Errorf("part %s: %w", TopName, err)
	}
	has := x.hasCell
	lost := false // a cell that others may refer to
	if c.Head != nil {
		m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout, m.Cells = c.Head.KeyWindow, c.Head.MaxClockSkew, c.Head.Lease, c.Head.CallerTimeout, c.Head.Cells
		known, err := m.checkHead()
		if err != nil {
			return nil, fmt.Errorf("part %s: %w", HeadName, err)
		}
		has = func(name string) bool { return known[name] }
		for name, was := range x.cells {
			lost = lost || was.inMap && !known[name]
		}
	}
	for i := range x.servers {
		list, changed := c.Servers[i]
		if changed {
			x.servers[i] = &part[Server]{pointers(list)}
		}
		if !changed && !lost {
			continue
		}
		names, addrs := map[string]bool{}, map[string]bool{}
		for j, s := range x.servers[i].list {
			err := s.check(has, names, addrs)
			if err == nil && ServerPart(s.Name) != i {
				err = fmt.Errorf("name: %q belongs in part %s", s.Name, ServerPartName(ServerPart(s.Name)))
			}
			if err != nil {
				return nil, fmt.Errorf("%v.%w", position{ServerPartName, i, "servers", j}, err)
			}
		}
		if changed {
			slices.SortFunc(x.servers[i].list, compareServers)
		}
	}
	if c.Head != nil || len(c.Servers) > 0 || old == nil {
		if err := m.joinServers(c); err != nil {
			return nil, err
		}
	}
	for i := range x.tenants {
		list, changed := c.Tenants[i]
		if changed {
			x.tenants[i] = &part[Tenant]{pointers(list)}
		}
		if !changed && !lost {
			continue
		}
		names := make(map[string]bool, len(x.tenants[i].list))
		for j, t := range x.tenants[i].list {
			err := t.check(has, names)
			if err == nil && TenantPart(t.Name) != i {
				err = fmt.Errorf("name: %q belongs in part %s", t.Name, TenantPartName(TenantPart(t.Name)))
			}
			if err != nil {
				return nil, fmt.Errorf("%v.%w", position{TenantPartName, i, "tenants", j}, err)
			}
		}
		if changed {
			slices.SortFunc(x.tenants[i].list, compareTenants)
		}
	}
	return m, nil
}

// joinServers checks what all servers have to have between them, and puts each in its cell.
func (m *Map) joinServers(c Parts) error {
	x := m.index
	addrs := map[string]bool{}
	for _, changed := range []bool{false, true} { // of two with one address, it is a changed one that is named
		for i, p := range x.servers {
			if _, is := c.Servers[i]; is != changed {
				continue
			}
			for j, s := range p.list {
				if addrs[s.Addr] {
					return fmt.Errorf("%v.addr: %q given twice", position{ServerPartName, i, "servers", j}, s.Addr)
				}
				addrs[s.Addr] = true
			}
		}
	}
	x.cells = newCellIndex(m.Cells, m.AllServers())
	for _, c := range x.cells {
		slices.SortFunc(c.servers, compareServers)
	}
	for i, c := range m.Cells {
		if !slices.ContainsFunc(x.cells[c.Name].servers, func(s *Server) bool { return s.LeavesAt == 0 }) {
			return fmt.Errorf("part %s: cells[%d]: %q has no server that stays", HeadName, i, c.Name)
		}
	}
	return nil
}

func (x *index) hasCell(cell string) bool {
	c := x.cells[cell]
	return c != nil && c.inMap
}

func pointers[E any](list []E) []*E {
	all := make([]*E, len(list))
	for i := range list {
		all[i] = &list[i]
	}
	return all
}

// ranked is a server with its score.
type scoredServer struct {
	*Server
	score float64
}

func (a scoredServer) before(b scoredServer) int {
	return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.Name, b.Name))
}
