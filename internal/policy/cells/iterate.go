package cells

import (
	"fmt"
	"iter"
	"slices"
)

// AllServers iterates over the servers, in the file's order, or part by part for a joined map.
func (m *Map) AllServers() iter.Seq[*Server] {
	return func(yield func(*Server) bool) {
		for _, s := range m.serversNotIn(nil) {
			if !yield(s) {
				return
			}
		}
	}
}

// AllTenants iterates over the tenants, in the same order as AllServers.
func (m *Map) AllTenants() iter.Seq[*Tenant] {
	return func(yield func(*Tenant) bool) {
		for _, t := range m.tenantsNotIn(nil) {
			if !yield(t) {
				return
			}
		}
	}
}

// Size returns the number of servers and of tenants.
func (m *Map) Size() (servers, tenants int) {
	if !m.isJoined() {
		return len(m.Servers), len(m.Tenants)
	}
	for _, p := range m.index.servers {
		servers += len(p.entries)
	}
	for _, p := range m.index.tenants {
		tenants += len(p.entries)
	}
	return servers, tenants
}

// SameServers reports whether the map shares all parts of its servers with another one. It compares no server.
func (m *Map) SameServers(other *Map) bool {
	idx, otherIdx := m.validIndex(), other.validIndex()
	return m == other || idx != nil && otherIdx != nil && idx.servers == otherIdx.servers
}

// Flat returns the map with its servers and tenants in lists, as in a file. The lists of a joined map are sorted by name. Callers must
// not change the lists.
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

// nextVersion returns a copy of the map with the next version, whose lists may be changed.
func (m *Map) nextVersion() *Map {
	next := *m.Flat()
	next.index = nil
	next.Version++
	next.Servers, next.Tenants = slices.Clone(next.Servers), slices.Clone(next.Tenants)
	return &next
}

// position locates an entry of a map: its index in a list of the file or of a part.
type position struct {
	partName func(int) string // nil: the list is in a file
	number   int
	list     string
	index    int
}

// String formats the position for errors, for example "servers[4]" or "part s0a: servers[0]".
func (p position) String() string {
	if p.partName == nil {
		return fmt.Sprintf("%s[%d]", p.list, p.index)
	}
	return fmt.Sprintf("part %s: %s[%d]", p.partName(p.number), p.list, p.index)
}

// serversNotIn iterates over the servers, except those in parts that the map shares with another index. A nil index excludes none.
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
			for i, s := range p.entries {
				if !yield(position{ServerPartName, n, "servers", i}, s) {
					return
				}
			}
		}
	}
}

// tenantsNotIn is serversNotIn for tenants.
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
			for i, t := range p.entries {
				if !yield(position{TenantPartName, n, "tenants", i}, t) {
					return
				}
			}
		}
	}
}
