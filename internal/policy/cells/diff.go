package cells

import (
	"fmt"
	"slices"
)

// Diff lists the differences between two maps for operators, one per line. It skips the parts that the maps share.
func Diff(old, m *Map) []string {
	if m == old {
		return nil
	}
	d := diffBuilder{old: old, new: m, oldIndex: old.anyIndex(), updatedIndex: m.anyIndex()}
	d.cells()
	d.servers()
	d.tenants()
	if old.KeyWindow != m.KeyWindow || old.MaxClockSkew != m.MaxClockSkew || old.Lease != m.Lease || old.CallerTimeout != m.CallerTimeout {
		d.addLine("times: window %v, skew %v, lease %v, patience %v", m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout)
	}
	return d.lines
}

// diffBuilder collects the lines of Diff.
type diffBuilder struct {
	old, new               *Map
	oldIndex, updatedIndex *index
	lines                  []string
}

func (d *diffBuilder) addLine(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *diffBuilder) cells() {
	for _, c := range d.new.Cells {
		if i := slices.IndexFunc(d.old.Cells, func(o Cell) bool { return o.Name == c.Name }); i < 0 {
			d.addLine("cell %s: new", c.Name)
		} else if d.old.Cells[i] != c {
			d.addLine("cell %s: capacity %g, was %g", c.Name, c.Capacity, d.old.Cells[i].Capacity)
		}
	}
	for _, c := range d.old.Cells {
		if !slices.ContainsFunc(d.new.Cells, func(n Cell) bool { return n.Name == c.Name }) {
			d.addLine("cell %s: gone", c.Name)
		}
	}
}

func (d *diffBuilder) servers() {
	for _, s := range d.new.serversNotIn(d.oldIndex) {
		switch previous := d.oldIndex.server(s.Name); {
		case previous == nil:
			d.addLine("server %s: new in cell %s from %d", s.Name, s.Cell, s.JoinsAt)
		case *previous != *s:
			d.addLine("server %s: %s, was %s", s.Name, s.formatFields(), previous.formatFields())
		}
	}
	for _, s := range d.old.serversNotIn(d.updatedIndex) {
		if d.updatedIndex.server(s.Name) == nil {
			d.addLine("server %s: gone", s.Name)
		}
	}
}

// formatFields formats a server's fields for Diff. Operators' scripts read this text, so the names in it stay even where the Go fields
// have other names.
func (s *Server) formatFields() string {
	return fmt.Sprintf("{Name:%s Addr:%s Cell:%s Mgmt:%s Weight:%v From:%d Until:%d}", s.Name, s.Addr, s.Cell, s.AdminAddr, s.Weight, s.JoinsAt, s.LeavesAt)
}

func (d *diffBuilder) tenants() {
	for _, t := range d.new.tenantsNotIn(d.oldIndex) {
		previous := d.oldIndex.tenant(t.Name)
		if previous == nil {
			d.addLine("tenant %q: new in cell %s", t.Name, t.Homes[0].Cell)
			for _, h := range t.Homes[1:] {
				d.addLine("tenant %q: to cell %s at %d", t.Name, h.Cell, h.Since)
			}
			continue
		}
		if previous.Rate != t.Rate {
			d.addLine("tenant %q: rate %g, was %g", t.Name, t.Rate, previous.Rate)
		}
		for _, h := range t.Homes {
			if !slices.Contains(previous.Homes, h) {
				d.addLine("tenant %q: to cell %s at %d", t.Name, h.Cell, h.Since)
			}
		}
		for _, h := range previous.Homes {
			if !slices.Contains(t.Homes, h) {
				d.addLine("tenant %q: no longer in cell %s from %d", t.Name, h.Cell, h.Since)
			}
		}
	}
	for _, t := range d.old.tenantsNotIn(d.updatedIndex) {
		if d.updatedIndex.tenant(t.Name) == nil {
			d.addLine("tenant %q: gone", t.Name)
		}
	}
}
