package cells

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// Check validates the map. Its error names the first invalid field.
func (m *Map) Check() error {
	m = m.Flat()
	if err := m.checkVersion(); err != nil {
		return err
	}
	cells, err := m.checkHead()
	if err != nil {
		return err
	}
	hasCell := func(name string) bool { return cells[name] }
	if err := m.checkServers(hasCell); err != nil {
		return err
	}
	seenNames := make(map[string]bool, len(m.Tenants))
	for i := range m.Tenants {
		if err := m.Tenants[i].check(hasCell, seenNames); err != nil {
			return fmt.Errorf("tenants[%d].%w", i, err)
		}
	}
	return nil
}

// checkVersion validates the version.
func (m *Map) checkVersion() error {
	if m.Version < 1 {
		return fmt.Errorf("version: under 1: %d", m.Version)
	}
	return nil
}

// checkHead validates the times and the cells, and returns the set of the cells' names.
func (m *Map) checkHead() (map[string]bool, error) {
	for _, f := range []struct {
		name      string
		d         time.Duration
		allowZero bool
	}{{"window_ms", m.KeyWindow, false}, {"skew_ms", m.MaxClockSkew, true}, {"lease_ms", m.Lease, false}, {"patience_ms", m.CallerTimeout, false}} {
		if f.d < 0 || f.d == 0 && !f.allowZero {
			return nil, fmt.Errorf("%s: not above 0: %d", f.name, f.d.Milliseconds())
		}
	}
	cells := map[string]bool{}
	for i, c := range m.Cells {
		switch {
		case c.Name == "":
			return nil, fmt.Errorf("cells[%d].name: missing", i)
		case cells[c.Name]:
			return nil, fmt.Errorf("cells[%d].name: %q given twice", i, c.Name)
		case !(c.Capacity >= 0) || math.IsInf(c.Capacity, 1):
			return nil, fmt.Errorf("cells[%d].capacity: not a number of 0 or more: %v", i, c.Capacity)
		}
		cells[c.Name] = true
	}
	if len(cells) == 0 {
		return nil, fmt.Errorf("cells: none")
	}
	return cells, nil
}

// checkServers validates all servers, and checks that every cell has a server that stays.
func (m *Map) checkServers(hasCell func(cell string) bool) error {
	seenNames, seenAddrs, hasPermanentServer := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range m.Servers {
		s := &m.Servers[i]
		if err := s.check(hasCell, seenNames, seenAddrs); err != nil {
			return fmt.Errorf("servers[%d].%w", i, err)
		}
		hasPermanentServer[s.Cell] = hasPermanentServer[s.Cell] || s.LeavesAt == 0
	}
	for i, c := range m.Cells {
		if !hasPermanentServer[c.Name] {
			return fmt.Errorf("cells[%d]: %q has no server that stays", i, c.Name)
		}
	}
	return nil
}

// check validates a server, including that its name and address are not among those seen before, and adds them there. Its error names
// the first invalid field.
func (s *Server) check(hasCell func(cell string) bool, seenNames, seenAddrs map[string]bool) error {
	switch {
	case s.Name == "":
		return errors.New("name: missing")
	case seenNames[s.Name]:
		return fmt.Errorf("name: %q given twice", s.Name)
	case s.Addr == "":
		return errors.New("addr: missing")
	case seenAddrs[s.Addr]:
		return fmt.Errorf("addr: %q given twice", s.Addr)
	case !hasCell(s.Cell):
		return fmt.Errorf("cell: no such cell: %q", s.Cell)
	case !(s.Weight > 0) || math.IsInf(s.Weight, 1):
		return fmt.Errorf("weight: not above 0: %v", s.Weight)
	case s.JoinsAt < 0 || s.LeavesAt < 0 || s.LeavesAt > 0 && s.LeavesAt <= s.JoinsAt:
		return fmt.Errorf("until_ms: not after from_ms: %d", s.LeavesAt)
	}
	seenNames[s.Name], seenAddrs[s.Addr] = true, true
	return nil
}

// check validates a tenant, including that its name is not among those seen before, and adds it there. Its error names the first
// invalid field.
func (t *Tenant) check(hasCell func(cell string) bool, seenNames map[string]bool) error {
	if seenNames[t.Name] {
		return fmt.Errorf("name: %q given twice", t.Name)
	}
	seenNames[t.Name] = true
	if !(t.Rate >= 0) || math.IsInf(t.Rate, 1) {
		return fmt.Errorf("rate: not a number of 0 or more: %v", t.Rate)
	}
	if len(t.Homes) == 0 {
		return fmt.Errorf("homes: %q has no cell", t.Name)
	}
	for j, h := range t.Homes {
		switch {
		case !hasCell(h.Cell):
			return fmt.Errorf("homes[%d].cell: no such cell: %q", j, h.Cell)
		case h.ShardSize < 0:
			return fmt.Errorf("homes[%d].shard: negative: %d", j, h.ShardSize)
		case j > 0 && h.Since <= t.Homes[j-1].Since:
			return fmt.Errorf("homes[%d].from_ms: not after that of the home before: %d", j, h.Since)
		case h.IsAbort && (j < 2 || h.Cell != t.Homes[j-2].Cell):
			return fmt.Errorf("homes[%d].abort: it takes no move back", j)
		}
	}
	return nil
}
