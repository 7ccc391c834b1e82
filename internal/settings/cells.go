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

// ParseCells reads a cell map and checks it whole. A map that can be read and is no good comes with the error.
func ParseCells(data []byte) (*cells.Map, error) {
	var err error
	f := object(data, &err)
	if err != nil {
		return nil, err
	}
	f.only(slices.Concat(topKeys, headKeys, []string{"servers", "tenants"})...)
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

// The members of a map beside its servers and tenants, by the part that they stand in.
var (
	topKeys  = []string{"version", "epoch"}
	headKeys = []string{"window_ms", "skew_ms", "lease_ms", "patience_ms", "cells"}
)

// readTop reads the version of a map.
func readTop(f fields, m *cells.Map) {
	m.Version, m.Epoch = int(f.integer("version")), uint64(f.integer("epoch"))
}

// readHead reads the times and the cells of a map.
func readHead(f fields, m *cells.Map) {
	ms := func(key string) time.Duration { return time.Duration(f.integer(key)) * time.Millisecond }
	m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout = ms("window_ms"), ms("skew_ms"), ms("lease_ms"), ms("patience_ms")
	f.each("cells", func(_ int, c fields) {
		c.only("name", "capacity")
		m.Cells = append(m.Cells, cells.Cell{Name: c.text("name"), Capacity: c.number("capacity")})
	})
}

// readServers reads the servers of a map, or of a part of it.
func readServers(f fields) (list []cells.Server) {
	f.each("servers", func(_ int, s fields) {
		s.only("name", "addr", "mgmt", "cell", "weight", "from_ms", "until_ms")
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

// readTenants reads the tenants of a map, or of a part of it.
func readTenants(f fields) (list []cells.Tenant) {
	f.each("tenants", func(_ int, t fields) {
		t.only("name", "rate", "homes")
		set := cells.Tenant{Name: t.text("name"), Rate: t.number("rate")}
		t.each("homes", func(_ int, h fields) {
			h.only("cell", "shard", "from_ms", "abort")
			set.Homes = append(set.Homes, cells.Home{
				Cell: h.text("cell"), Shard: int(h.integer("shard")), Since: h.integer("from_ms"), IsAbort: h.flag("abort"),
			})
		})
		list = append(list, set)
	})
	return list
}

// FormatCells writes a cell map, for people to read and ParseCells.
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

// writeTop writes the version of a map.
func writeTop(a *fastjson.Arena, o *fastjson.Value, m *cells.Map) {
	o.Set("version", a.NewNumberInt(m.Version))
	if m.Epoch > 0 {
		o.Set("epoch", a.NewNumberString(fmt.Sprint(m.Epoch)))
	}
}

// writeHead writes the times of a map, with its cells in the order given.
func writeHead(a *fastjson.Arena, o *fastjson.Value, m *cells.Map, all []cells.Cell) {
	for _, t := range []struct {
		key string
		d   time.Duration
	}{{"window_ms", m.KeyWindow}, {"skew_ms", m.MaxClockSkew}, {"lease_ms", m.Lease}, {"patience_ms", m.CallerTimeout}} {
		o.Set(t.key, a.NewNumberInt(int(t.d.Milliseconds())))
	}
	list := a.NewArray()
	for i, c := range all {
		e := a.NewObject()
		e.Set("name", a.NewString(c.Name))
		e.Set("capacity", a.NewNumberFloat64(c.Capacity))
		list.SetArrayItem(i, e)
	}
	o.Set("cells", list)
}

// serverValue is a server as JSON.
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

// tenantValue is a tenant as JSON.
func tenantValue(a *fastjson.Arena, t *cells.Tenant) *fastjson.Value {
	e, homes := a.NewObject(), a.NewArray()
	e.Set("name", a.NewString(t.Name))
	e.Set("rate", a.NewNumberFloat64(t.Rate))
	for j, h := range t.Homes {
		x := a.NewObject()
		x.Set("cell", a.NewString(h.Cell))
		x.Set("shard", a.NewNumberInt(h.Shard))
		x.Set("from_ms", a.NewNumberString(fmt.Sprint(h.Since)))
		if h.IsAbort {
			x.Set("abort", a.NewTrue())
		}
		homes.SetArrayItem(j, x)
	}
	e.Set("homes", homes)
	return e
}
