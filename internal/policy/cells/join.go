package cells

import (
	"fmt"
	"slices"
)

// A map in parts. A change of a large map is sent, stored and read part by part; the map that follows shares all other parts with the
// one before. docs/design/parts.md.

// Parts are parts of a map that take the place of those of another.
type Parts struct {
	Top     *Map             // nil, or one with a version and an epoch
	Head    *Map             // nil, or one with times and cells
	Servers map[int][]Server // by the number of their part
	Tenants map[int][]Tenant // by the number of their part
}

// Join returns the map that has these parts in place of those of another, nil for none, and shares the rest with it. What has
// changed is checked, and of the rest what the change can break: with servers or cells it runs over all servers, and over all
// tenants where a cell is gone; a change of tenants looks at their parts alone, and copies a pointer for each part. An error names the
// part and the field.
func Join(old *Map, c Parts) (*Map, error) {
	m := newJoined(old)
	if c.Top != nil {
		m.Version, m.Epoch = c.Top.Version, c.Top.Epoch
	}
	if err := m.checkTop(); err != nil {
		return nil, fmt.Errorf("part %s: %w", TopName, err)
	}
	hasCell, cellGone, err := m.joinHead(c.Head)
	if err != nil {
		return nil, err
	}
	if err := m.joinServers(c, hasCell, cellGone); err != nil {
		return nil, err
	}
	if c.Head != nil || len(c.Servers) > 0 || old == nil {
		if err := m.indexCells(c); err != nil {
			return nil, err
		}
	}
	if err := m.joinTenants(c, hasCell, cellGone); err != nil {
		return nil, err
	}
	return m, nil
}

// newJoined is a map that shares all parts with another one, nil for an empty one.
func newJoined(old *Map) *Map {
	m, x := &Map{}, &index{joined: true}
	if old != nil {
		before := old.anyIndex()
		*m = Map{Version: old.Version, Epoch: old.Epoch, KeyWindow: old.KeyWindow, MaxClockSkew: old.MaxClockSkew, Lease: old.Lease,
			CallerTimeout: old.CallerTimeout, Cells: old.Cells}
		x.servers, x.tenants, x.cells = before.servers, before.tenants, before.cells
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
	return m
}

// joinHead takes up the times and cells, nil for those of before. It returns which cells there are, and whether one is gone that
// servers or tenants of unchanged parts may refer to.
func (m *Map) joinHead(head *Map) (hasCell func(name string) bool, cellGone bool, err error) {
	if head == nil {
		return m.index.hasCell, false, nil
	}
	m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout, m.Cells = head.KeyWindow, head.MaxClockSkew, head.Lease, head.CallerTimeout, head.Cells
	known, err := m.checkHead()
	if err != nil {
		return nil, false, fmt.Errorf("part %s: %w", HeadName, err)
	}
	for name, before := range m.index.cells {
		cellGone = cellGone || before.inMap && !known[name]
	}
	return func(name string) bool { return known[name] }, cellGone, nil
}

// joinServers takes up the parts of servers that have changed. CheckAll has the others be checked too.
func (m *Map) joinServers(c Parts, hasCell func(name string) bool, checkAll bool) error {
	x := m.index
	for i := range x.servers {
		list, changed := c.Servers[i]
		if changed {
			x.servers[i] = &part[Server]{pointers(list)}
		}
		if !changed && !checkAll {
			continue
		}
		names, addrs := map[string]bool{}, map[string]bool{}
		for j, s := range x.servers[i].list {
			err := s.check(hasCell, names, addrs)
			if err == nil && ServerPart(s.Name) != i {
				err = fmt.Errorf("name: %q belongs in part %s", s.Name, ServerPartName(ServerPart(s.Name)))
			}
			if err != nil {
				return fmt.Errorf("%v.%w", position{ServerPartName, i, "servers", j}, err)
			}
		}
		if changed {
			slices.SortFunc(x.servers[i].list, compareServers)
		}
	}
	return nil
}

// joinTenants is joinServers for tenants.
func (m *Map) joinTenants(c Parts, hasCell func(name string) bool, checkAll bool) error {
	x := m.index
	for i := range x.tenants {
		list, changed := c.Tenants[i]
		if changed {
			x.tenants[i] = &part[Tenant]{pointers(list)}
		}
		if !changed && !checkAll {
			continue
		}
		names := make(map[string]bool, len(x.tenants[i].list))
		for j, t := range x.tenants[i].list {
			err := t.check(hasCell, names)
			if err == nil && TenantPart(t.Name) != i {
				err = fmt.Errorf("name: %q belongs in part %s", t.Name, TenantPartName(TenantPart(t.Name)))
			}
			if err != nil {
				return fmt.Errorf("%v.%w", position{TenantPartName, i, "tenants", j}, err)
			}
		}
		if changed {
			slices.SortFunc(x.tenants[i].list, compareTenants)
		}
	}
	return nil
}

// indexCells checks what all servers have to have between them, and puts each in its cell.
func (m *Map) indexCells(c Parts) error {
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

// hasCell reports whether a cell stands in the map.
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
