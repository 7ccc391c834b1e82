package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/policy/cells"
)

// ParseCells parses and validates a cell map. If the map parses but is not valid, ParseCells returns it together with the error.
func ParseCells(data []byte) (*cells.Map, error) {
	var err error
	f := parseObject(data, &err)
	if err != nil {
		return nil, err
	}
	f.rejectUnknown(slices.Concat(topKeys, headKeys, []string{"servers", "tenants"})...)
	m := &cells.Map{}
	readTop(f, m)
	readHead(f, m)
	m.Servers, m.Tenants = readServers(f), readTenants(f)
	if err != nil {
		return nil, err
	}
	if err := m.Check(); err != nil {
		return m, err
	}
	m.Index()
	return m, nil
}

// JSON keys of a map apart from its servers and tenants, by the part that contains them.
var (
	topKeys  = []string{"version", "epoch"}
	headKeys = []string{"window_ms", "skew_ms", "lease_ms", "patience_ms", "cells"}
)

// readTop reads the version and the epoch of a map.
func readTop(f fields, m *cells.Map) {
	m.Version, m.Epoch = int(f.integer("version")), uint64(f.integer("epoch"))
}

// readHead reads the durations and the cells of a map.
func readHead(f fields, m *cells.Map) {
	ms := func(key string) time.Duration { return time.Duration(f.integer(key)) * time.Millisecond }
	m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout = ms("window_ms"), ms("skew_ms"), ms("lease_ms"), ms("patience_ms")
	f.each("cells", func(_ int, c fields) {
		c.rejectUnknown("name", "capacity")
		m.Cells = append(m.Cells, cells.Cell{Name: c.text("name"), Capacity: c.number("capacity")})
	})
}

// readServers reads the servers of a map or of one of its parts.
func readServers(f fields) (list []cells.Server) {
	f.each("servers", func(_ int, s fields) {
		s.rejectUnknown("name", "addr", "mgmt", "cell", "weight", "from_ms", "until_ms")
		weight := 1.0
		if s.v.Exists("weight") {
			weight = s.number("weight")
		}
		list = append(list, cells.Server{
			Name: s.text("name"), Addr: s.text("addr"), AdminAddr: s.text("mgmt"), Cell: s.text("cell"), Weight: weight,
			JoinsAt: s.integer("from_ms"), LeavesAt: s.integer("until_ms"),
		})
	})
	return list
}

// readTenants reads the tenants of a map or of one of its parts.
func readTenants(f fields) (list []cells.Tenant) {
	f.each("tenants", func(_ int, t fields) {
		t.rejectUnknown("name", "rate", "homes")
		tenant := cells.Tenant{Name: t.text("name"), Rate: t.number("rate")}
		t.each("homes", func(_ int, h fields) {
			h.rejectUnknown("cell", "shard", "from_ms", "abort")
			tenant.Homes = append(tenant.Homes, cells.Home{
				Cell: h.text("cell"), ShardSize: int(h.integer("shard")), Since: h.integer("from_ms"), IsAbort: h.boolean("abort"),
			})
		})
		list = append(list, tenant)
	})
	return list
}

// FormatCells returns a cell map as indented JSON that ParseCells accepts.
func FormatCells(m *cells.Map) []byte {
	m = m.Flat()
	var a fastjson.Arena
	o := a.NewObject()
	writeTop(&a, o, m)
	writeHead(&a, o, m, m.Cells)
	list := a.NewArray()
	for i := range m.Servers {
		list.SetArrayItem(i, serverValue(&a, &m.Servers[i]))
	}
	o.Set("servers", list)
	list = a.NewArray()
	for i := range m.Tenants {
		list.SetArrayItem(i, tenantValue(&a, &m.Tenants[i]))
	}
	o.Set("tenants", list)
	var b bytes.Buffer
	if json.Indent(&b, o.MarshalTo(nil), "", "  ") != nil {
		return o.MarshalTo(nil)
	}
	return append(b.Bytes(), '\n')
}

// writeTop adds the version and the epoch of a map to o.
func writeTop(a *fastjson.Arena, o *fastjson.Value, m *cells.Map) {
	o.Set("version", a.NewNumberInt(m.Version))
	if m.Epoch > 0 {
		o.Set("epoch", a.NewNumberString(fmt.Sprint(m.Epoch)))
	}
}

// writeHead adds the durations of a map to o, and the given cells in their order.
func writeHead(a *fastjson.Arena, o *fastjson.Value, m *cells.Map, cellList []cells.Cell) {
	for _, t := range []struct {
		key string
		d   time.Duration
	}{{"window_ms", m.KeyWindow}, {"skew_ms", m.MaxClockSkew}, {"lease_ms", m.Lease}, {"patience_ms", m.CallerTimeout}} {
		o.Set(t.key, a.NewNumberInt(int(t.d.Milliseconds())))
	}
	list := a.NewArray()
	for i, c := range cellList {
		e := a.NewObject()
		e.Set("name", a.NewString(c.Name))
		e.Set("capacity", a.NewNumberFloat64(c.Capacity))
		list.SetArrayItem(i, e)
	}
	o.Set("cells", list)
}

// serverValue returns a server as a JSON object.
func serverValue(a *fastjson.Arena, s *cells.Server) *fastjson.Value {
	e := a.NewObject()
	e.Set("name", a.NewString(s.Name))
	e.Set("addr", a.NewString(s.Addr))
	if s.AdminAddr != "" {
		e.Set("mgmt", a.NewString(s.AdminAddr))
	}
	e.Set("cell", a.NewString(s.Cell))
	e.Set("weight", a.NewNumberFloat64(s.Weight))
	e.Set("from_ms", a.NewNumberString(fmt.Sprint(s.JoinsAt)))
	if s.LeavesAt > 0 {
		e.Set("until_ms", a.NewNumberString(fmt.Sprint(s.LeavesAt)))
	}
	return e
}

// tenantValue returns a tenant as a JSON object.
func tenantValue(a *fastjson.Arena, t *cells.Tenant) *fastjson.Value {
	e, homes := a.NewObject(), a.NewArray()
	e.Set("name", a.NewString(t.Name))
	e.Set("rate", a.NewNumberFloat64(t.Rate))
	for j, h := range t.Homes {
		x := a.NewObject()
		x.Set("cell", a.NewString(h.Cell))
		x.Set("shard", a.NewNumberInt(h.ShardSize))
		x.Set("from_ms", a.NewNumberString(fmt.Sprint(h.Since)))
		if h.IsAbort {
			x.Set("abort", a.NewTrue())
		}
		homes.SetArrayItem(j, x)
	}
	e.Set("homes", homes)
	return e
}
