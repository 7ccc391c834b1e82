package cells

import (
	"fmt"
	"slices"
)

// Maps in parts. A change of a large map is sent, stored and read part by part, and the new map shares all other parts with the previous
// one: docs/design/parts.md.

// Parts are the parts of a map that replace those of another map.
type Parts struct {
	Top     *Map             // a map with a version and an epoch; nil: unchanged
	Head    *Map             // a map with times and cells; nil: unchanged
	Servers map[int][]Server // by part number
	Tenants map[int][]Tenant // by part number
}

// Join returns the map that results from replacing parts of the map old, and shares the other parts with it. A nil old is an empty map.
// Join validates the replaced parts, and whatever else the change can break: a change of servers or cells visits all servers, and the
// removal of a cell visits all tenants. A change of tenants visits only the replaced parts, and copies a pointer for each part. An error
// names the part and the field.
func Join(old *Map, changes Parts) (*Map, error) {
	m := newJoined(old)
	if changes.Top != nil {
		m.Version, m.Epoch = changes.Top.Version, changes.Top.Epoch
	}
	if err := m.checkVersion(); err != nil {
		return nil, fmt.Errorf("part %s: %w", TopName, err)
	}
	hasCell, cellRemoved, err := m.joinHead(changes.Head)
	if err != nil {
		return nil, err
	}
	if err := m.joinServers(changes, hasCell, cellRemoved); err != nil {
		return nil, err
	}
	if changes.Head != nil || len(changes.Servers) > 0 || old == nil {
		if err := m.indexCells(changes); err != nil {
			return nil, err
		}
	}
	if err := m.joinTenants(changes, hasCell, cellRemoved); err != nil {
		return nil, err
	}
	return m, nil
}

// newJoined returns a joined map that shares all parts with the map old, or an empty one if old is nil.
func newJoined(old *Map) *Map {
	m, idx := &Map{}, &index{joined: true}
	if old != nil {
		oldIndex := old.anyIndex()
		*m = Map{Version: old.Version, Epoch: old.Epoch, KeyWindow: old.KeyWindow, MaxClockSkew: old.MaxClockSkew, Lease: old.Lease,
			CallerTimeout: old.CallerTimeout, Cells: old.Cells}
		idx.servers, idx.tenants, idx.cells = oldIndex.servers, oldIndex.tenants, oldIndex.cells
	}
	m.index = idx
	for i, p := range idx.servers {
		if p == nil {
			idx.servers[i] = &part[Server]{}
		}
	}
	for i, p := range idx.tenants {
		if p == nil {
			idx.tenants[i] = &part[Tenant]{}
		}
	}
	return m
}

// joinHead replaces the times and the cells, unless head is nil. It returns a function that reports whether a cell exists, and whether a
// cell was removed that servers or tenants of unchanged parts may refer to.
func (m *Map) joinHead(head *Map) (hasCell func(name string) bool, cellRemoved bool, err error) {
	if head == nil {
		return m.index.hasCell, false, nil
	}
	m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout, m.Cells = head.KeyWindow, head.MaxClockSkew, head.Lease, head.CallerTimeout, head.Cells
	cellNames, err := m.checkHead()
	if err != nil {
		return nil, false, fmt.Errorf("part %s: %w", HeadName, err)
	}
	for name, previous := range m.index.cells {
		cellRemoved = cellRemoved || previous.declared && !cellNames[name]
	}
	return func(name string) bool { return cellNames[name] }, cellRemoved, nil
}

// joinServers replaces the changed parts of the servers and validates them. With checkAll it validates the unchanged parts too.
func (m *Map) joinServers(changes Parts, hasCell func(name string) bool, checkAll bool) error {
	idx := m.index
	for i := range idx.servers {
		list, changed := changes.Servers[i]
		if changed {
			idx.servers[i] = &part[Server]{pointersTo(list)}
		}
		if !changed && !checkAll {
			continue
		}
		seenNames, seenAddrs := map[string]bool{}, map[string]bool{}
		for j, s := range idx.servers[i].entries {
			err := s.check(hasCell, seenNames, seenAddrs)
			if err == nil && ServerPart(s.Name) != i {
				err = fmt.Errorf("name: %q belongs in part %s", s.Name, ServerPartName(ServerPart(s.Name)))
			}
			if err != nil {
				return fmt.Errorf("%v.%w", position{ServerPartName, i, "servers", j}, err)
			}
		}
		if changed {
			slices.SortFunc(idx.servers[i].entries, compareServers)
		}
	}
	return nil
}

// joinTenants is joinServers for tenants.
func (m *Map) joinTenants(changes Parts, hasCell func(name string) bool, checkAll bool) error {
	idx := m.index
	for i := range idx.tenants {
		list, changed := changes.Tenants[i]
		if changed {
			idx.tenants[i] = &part[Tenant]{pointersTo(list)}
		}
		if !changed && !checkAll {
			continue
		}
		seenNames := make(map[string]bool, len(idx.tenants[i].entries))
		for j, t := range idx.tenants[i].entries {
			err := t.check(hasCell, seenNames)
			if err == nil && TenantPart(t.Name) != i {
				err = fmt.Errorf("name: %q belongs in part %s", t.Name, TenantPartName(TenantPart(t.Name)))
			}
			if err != nil {
				return fmt.Errorf("%v.%w", position{TenantPartName, i, "tenants", j}, err)
			}
		}
		if changed {
			slices.SortFunc(idx.tenants[i].entries, compareTenants)
		}
	}
	return nil
}

// indexCells checks that the addresses of all servers are unique and that every cell has a server that stays, and builds the index of
// the cells.
func (m *Map) indexCells(changes Parts) error {
	idx := m.index
	seenAddrs := map[string]bool{}
	for _, wantChanged := range []bool{false, true} { // unchanged parts first, so that the error names the changed server
		for i, p := range idx.servers {
			if _, changed := changes.Servers[i]; changed != wantChanged {
				continue
			}
			for j, s := range p.entries {
				if seenAddrs[s.Addr] {
					return fmt.Errorf("%v.addr: %q given twice", position{ServerPartName, i, "servers", j}, s.Addr)
				}
				seenAddrs[s.Addr] = true
			}
		}
	}
	idx.cells = newCellIndexes(m.Cells, m.AllServers())
	for _, c := range idx.cells {
		slices.SortFunc(c.servers, compareServers)
	}
	for i, c := range m.Cells {
		if !slices.ContainsFunc(idx.cells[c.Name].servers, func(s *Server) bool { return s.LeavesAt == 0 }) {
			return fmt.Errorf("part %s: cells[%d]: %q has no server that stays", HeadName, i, c.Name)
		}
	}
	return nil
}

// hasCell reports whether the map lists a cell.
func (idx *index) hasCell(cell string) bool {
	c := idx.cells[cell]
	return c != nil && c.declared
}

// pointersTo returns pointers to the elements of a list.
func pointersTo[E any](list []E) []*E {
	all := make([]*E, len(list))
	for i := range list {
		all[i] = &list[i]
	}
	return all
}
