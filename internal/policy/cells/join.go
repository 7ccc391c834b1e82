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

// newJoined is a map that shares all parts with another one, nil for an empty one.
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

// joinHead takes up the times and cells, nil for those of before. It returns which cells there are, and whether one is gone that
// servers or tenants of unchanged parts may refer to.
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

// joinServers takes up the parts of servers that have changed. CheckAll has the others be checked too.
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

// indexCells checks what all servers have to have between them, and puts each in its cell.
func (m *Map) indexCells(changes Parts) error {
	idx := m.index
	seenAddrs := map[string]bool{}
	for _, wantChanged := range []bool{false, true} { // of two with one address, it is a changed one that is named
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

// hasCell reports whether a cell stands in the map.
func (idx *index) hasCell(cell string) bool {
	c := idx.cells[cell]
	return c != nil && c.declared
}

func pointersTo[E any](list []E) []*E {
	all := make([]*E, len(list))
	for i := range list {
		all[i] = &list[i]
	}
	return all
}
