package cells

import (
	"fmt"
	"slices"
)

// Diff names what differs between two maps, a line each, for operators. Parts that they share are not looked at.
func Diff(old, m *Map) []string {
	if m == old {
		return nil
	}
	d := difference{old: old, new: m, before: old.anyIndex(), after: m.anyIndex()}
	d.cells()
	d.servers()
	d.tenants()
	if old.KeyWindow != m.KeyWindow || old.MaxClockSkew != m.MaxClockSkew || old.Lease != m.Lease || old.CallerTimeout != m.CallerTimeout {
		d.add("times: window %v, skew %v, lease %v, patience %v", m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout)
	}
	return d.lines
}

// difference is what differs between two maps, as it is found.
type difference struct {
	old, new      *Map
	before, after *index
	lines         []string
}

func (d *difference) add(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *difference) cells() {
	for _, c := range d.new.Cells {
		if i := slices.IndexFunc(d.old.Cells, func(o Cell) bool { return o.Name == c.Name }); i < 0 {
			d.add("cell %s: new", c.Name)
		} else if d.old.Cells[i] != c {
			d.add("cell %s: capacity %g, was %g", c.Name, c.Capacity, d.old.Cells[i].Capacity)
		}
	}
	for _, c := range d.old.Cells {
		if !slices.ContainsFunc(d.new.Cells, func(n Cell) bool { return n.Name == c.Name }) {
			d.add("cell %s: gone", c.Name)
		}
	}
}

func (d *difference) servers() {
	for _, s := range d.new.serversNotIn(d.before) {
		switch was := d.before.server(s.Name); {
		case was == nil:
			d.add("server %s: new in cell %s from %d", s.Name, s.Cell, s.JoinsAt)
		case *was != *s:
			d.add("server %s: %s, was %s", s.Name, s.fields(), was.fields())
		}
	}
	for _, s := range d.old.serversNotIn(d.after) {
		if d.after.server(s.Name) == nil {
			d.add("server %s: gone", s.Name)
		}
	}
}

// fields are a server's fields as operators' scripts read them from Diff. They stay under these names, whatever the fields' own are.
func (s *Server) fields() string {
	return fmt.Sprintf("{Name:%s Addr:%s Cell:%s Mgmt:%s Weight:%v From:%d Until:%d}", s.Name, s.Addr, s.Cell, s.AdminAddr, s.Weight, s.JoinsAt, s.LeavesAt)
}

func (d *difference) tenants() {
	for _, t := range d.new.tenantsNotIn(d.before) {
		was := d.before.tenant(t.Name)
		if was == nil {
			d.add("tenant %q: new in cell %s", t.Name, t.Homes[0].Cell)
			continue
		}
		if was.Rate != t.Rate {
			d.add("tenant %q: rate %g, was %g", t.Name, t.Rate, was.Rate)
		}
		for _, h := range t.Homes {
			if !slices.Contains(was.Homes, h) {
				d.add("tenant %q: to cell %s at %d", t.Name, h.Cell, h.Since)
			}
		}
		for _, h := range was.Homes {
			if !slices.Contains(t.Homes, h) {
				d.add("tenant %q: no longer in cell %s from %d", t.Name, h.Cell, h.Since)
			}
		}
	}
	for _, t := range d.old.tenantsNotIn(d.after) {
		if d.after.tenant(t.Name) == nil {
			d.add("tenant %q: gone", t.Name)
		}
	}
}
