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

// cellParts are the names of a map's parts, in their order, and where each stands in it.
var (
	cellParts    []string
	serverPartOf = map[string]int{}
	tenantPartOf = map[string]int{}
)

func init() {
	cellParts = append(cellParts, cells.TopName, cells.HeadName)
	for i := range cells.ServerParts {
		name := cells.ServerPartName(i)
		cellParts, serverPartOf[name] = append(cellParts, name), i
	}
	for i := range cells.TenantParts {
		name := cells.TenantPartName(i)
		cellParts, tenantPartOf[name] = append(cellParts, name), i
	}
}

// CellParts are the names of a map's parts, in their order: "top" with the version and the epoch, "head" with the times and the
// cells, "s00" to "s1f" with the servers by xxhash of their names, and "t00" to "tff" with the tenants by that of theirs.
func CellParts() []string { return slices.Clone(cellParts) }

// SplitCells returns the text of each part of a map: compact JSON, its entries by name. The same map gives the same texts,
// whatever the order of its entries; all parts are there.
func SplitCells(m *cells.Map) map[string]string {
	texts := make(map[string]string, len(cellParts))
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

// JoinCells returns the map that has these parts in place of those of the old one, and shares the rest with it. Without an old one
// all parts have to be there. What changed is read and checked, and of the rest what the change can break; an error names the part
// and the field that is no good, an entry that stands in a part where its name does not belong among them.
func JoinCells(old *cells.Map, changed map[string]string) (*cells.Map, error) {
	if old == nil {
		for _, name := range cellParts {
			if _, there := changed[name]; !there {
				return nil, fmt.Errorf("part %s: missing", name)
			}
		}
	}
	p := cells.Parts{Servers: map[int][]cells.Server{}, Tenants: map[int][]cells.Tenant{}}
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if err := readPart(&p, name, changed[name]); err != nil {
			return nil, fmt.Errorf("part %s: %w", name, err)
		}
	}
	return cells.Join(old, p)
}

// need fails where a list is absent: it would else be taken for an empty one.
func (f fields) need(key string) {
	if f.get(key, fastjson.TypeArray) == nil {
		f.fail(key, "missing")
	}
}

// readPart reads the text of one part of a map into p.
func readPart(p *cells.Parts, name, text string) (err error) {
	f := object([]byte(text), &err)
	if err != nil {
		return err
	}
	server, isServer := serverPartOf[name]
	tenant, isTenant := tenantPartOf[name]
	switch {
	case name == cells.TopName:
		f.only(topKeys...)
		p.Top = &cells.Map{}
		readTop(f, p.Top)
	case name == cells.HeadName:
		f.only(headKeys...)
		p.Head = &cells.Map{}
		readHead(f, p.Head)
	case isServer:
		f.only("servers")
		f.need("servers")
		p.Servers[server] = readServers(f)
	case isTenant:
		f.only("tenants")
		f.need("tenants")
		p.Tenants[tenant] = readTenants(f)
	default:
		return fmt.Errorf("no map has it")
	}
	return err
}
