package settings

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/valyala/fastjson"

	"silverpath/internal/policy/cells"
)

// cellPartNames has the names of a map's parts in order. The two maps have the index of each server part and tenant part by its name.
var (
	cellPartNames   []string
	serverPartIndex = map[string]int{}
	tenantPartIndex = map[string]int{}
)

func init() {
	cellPartNames = append(cellPartNames, cells.TopName, cells.HeadName)
	for i := range cells.ServerParts {
		name := cells.ServerPartName(i)
		cellPartNames, serverPartIndex[name] = append(cellPartNames, name), i
	}
	for i := range cells.TenantParts {
		name := cells.TenantPartName(i)
		cellPartNames, tenantPartIndex[name] = append(cellPartNames, name), i
	}
}

// CellParts returns the names of a map's parts in order: "top" with the version and the epoch, "head" with the durations and the
// cells, "s00" to "s1f" with the servers, and "t00" to "tff" with the tenants. The xxhash of its name selects the part of a server or
// tenant.
func CellParts() []string { return slices.Clone(cellPartNames) }

// SplitCells returns the text of every part of a map as compact JSON, with entries sorted by name. The texts do not depend on the
// order of the map's entries.
func SplitCells(m *cells.Map) map[string]string {
	texts := make(map[string]string, len(cellPartNames))
	var a fastjson.Arena
	write := func(name string, fill func(o *fastjson.Value)) {
		o := a.NewObject()
		fill(o)
		texts[name] = string(o.MarshalTo(nil))
		a.Reset()
	}
	write(cells.TopName, func(o *fastjson.Value) { writeTop(&a, o, m) })
	write(cells.HeadName, func(o *fastjson.Value) {
		writeHead(&a, o, m, slices.SortedFunc(slices.Values(m.Cells), func(a, b cells.Cell) int { return strings.Compare(a.Name, b.Name) }))
	})
	var servers [cells.ServerParts][]*cells.Server
	for s := range m.AllServers() {
		i := cells.ServerPart(s.Name)
		servers[i] = append(servers[i], s)
	}
	for i, part := range servers {
		slices.SortFunc(part, func(a, b *cells.Server) int { return cmp.Compare(a.Name, b.Name) })
		write(cells.ServerPartName(i), func(o *fastjson.Value) {
			list := a.NewArray()
			for j, s := range part {
				list.SetArrayItem(j, serverValue(&a, s))
			}
			o.Set("servers", list)
		})
	}
	var tenants [cells.TenantParts][]*cells.Tenant
	for t := range m.AllTenants() {
		i := cells.TenantPart(t.Name)
		tenants[i] = append(tenants[i], t)
	}
	for i, part := range tenants {
		slices.SortFunc(part, func(a, b *cells.Tenant) int { return cmp.Compare(a.Name, b.Name) })
		write(cells.TenantPartName(i), func(o *fastjson.Value) {
			list := a.NewArray()
			for j, t := range part {
				list.SetArrayItem(j, tenantValue(&a, t))
			}
			o.Set("tenants", list)
		})
	}
	return texts
}

// JoinCells returns a map with the changed parts in place of those of old, and shares the other parts with old. If old is nil, changed
// has to contain all parts. JoinCells validates the changed parts, and in the others whatever the change can invalidate. An error
// names the part and the field; an entry whose name belongs in another part is an error too.
func JoinCells(old *cells.Map, changed map[string]string) (*cells.Map, error) {
	if old == nil {
		for _, name := range cellPartNames {
			if _, ok := changed[name]; !ok {
				return nil, fmt.Errorf("part %s: missing", name)
			}
		}
	}
	parts := cells.Parts{Servers: map[int][]cells.Server{}, Tenants: map[int][]cells.Tenant{}}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if err := readPart(&parts, name, changed[name]); err != nil {
			return nil, fmt.Errorf("part %s: %w", name, err)
		}
	}
	return cells.Join(old, parts)
}

// requireArray records an error if a list is absent. Without it, an absent list would be read as an empty one.
func (f fields) requireArray(key string) {
	if f.get(key, fastjson.TypeArray) == nil {
		f.fail(key, "missing")
	}
}

// readPart parses the text of one part of a map and stores it in parts.
func readPart(parts *cells.Parts, name, text string) (err error) {
	f := parseObject([]byte(text), &err)
	if err != nil {
		return err
	}
	server, isServer := serverPartIndex[name]
	tenant, isTenant := tenantPartIndex[name]
	switch {
	case name == cells.TopName:
		f.rejectUnknown(topKeys...)
		parts.Top = &cells.Map{}
		readTop(f, parts.Top)
	case name == cells.HeadName:
		f.rejectUnknown(headKeys...)
		parts.Head = &cells.Map{}
		readHead(f, parts.Head)
	case isServer:
		f.rejectUnknown("servers")
		f.requireArray("servers")
		parts.Servers[server] = readServers(f)
	case isTenant:
		f.rejectUnknown("tenants")
		f.requireArray("tenants")
		parts.Tenants[tenant] = readTenants(f)
	default:
		return fmt.Errorf("no map has it")
	}
	return err
}
