package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/cells"
)

// ParseCells reads a cell map and checks it whole.
func ParseCells(data []byte) (*cells.Map, error) {
	var err error
	f := object(data, &err)
	if err != nil {
		return nil, err
	}
	f.only("version", "epoch", "window_ms", "skew_ms", "lease_ms", "patience_ms", "cells", "servers", "tenants")
	ms := func(key string) time.Duration { return time.Duration(f.integer(key)) * time.Millisecond }
	m := &cells.Map{
		Version: int(f.integer("version")), Epoch: uint64(f.integer("epoch")), Window: ms("window_ms"), Skew: ms("skew_ms"), Lease: ms("lease_ms"),
		Patient: ms("patience_ms"),
	}
	f.each("cells", func(_ int, c fields) {
		c.only("name", "capacity")
		m.Cells = append(m.Cells, cells.Cell{Name: c.text("name"), Capacity: c.number("capacity")})
	})
	f.each("servers", func(_ int, s fields) {
		s.only("name", "addr", "mgmt", "cell", "weight", "from_ms", "until_ms")
		weight := 1.0
		if s.v.Exists("weight") {
			weight = s.number("weight")
		}
		m.Servers = append(m.Servers, cells.Server{
			Name: s.text("name"), Addr: s.text("addr"), Mgmt: s.text("mgmt"), Cell: s.text("cell"), Weight: weight,
			From: s.integer("from_ms"), Until: s.integer("until_ms"),
		})
	})
	f.each("tenants", func(_ int, t fields) {
		t.only("name", "rate", "homes")
		set := cells.Tenant{Name: t.text("name"), Rate: t.number("rate")}
		t.each("homes", func(_ int, h fields) {
			h.only("cell", "shard", "from_ms", "abort")
			set.Homes = append(set.Homes, cells.Home{
				Cell: h.text("cell"), Shard: int(h.integer("shard")), From: h.integer("from_ms"), Abort: h.flag("abort"),
			})
		})
		m.Tenants = append(m.Tenants, set)
	})
	if err != nil {
		return nil, err
	}
	return m, m.Check()
}

// FormatCells writes a cell map, for people to read and ParseCells.
func FormatCells(m *cells.Map) []byte {
	var a fastjson.Arena
	num := func(o *fastjson.Value, key string, v float64) { o.Set(key, a.NewNumberFloat64(v)) }
	o := a.NewObject()
	o.Set("version", a.NewNumberInt(m.Version))
	if m.Epoch > 0 {
		o.Set("epoch", a.NewNumberString(fmt.Sprint(m.Epoch)))
	}
	for _, t := range []struct {
		key string
		d   time.Duration
	}{{"window_ms", m.Window}, {"skew_ms", m.Skew}, {"lease_ms", m.Lease}, {"patience_ms", m.Patient}} {
		o.Set(t.key, a.NewNumberInt(int(t.d.Milliseconds())))
	}
	list := a.NewArray()
	for i, c := range m.Cells {
		e := a.NewObject()
		e.Set("name", a.NewString(c.Name))
		num(e, "capacity", c.Capacity)
		list.SetArrayItem(i, e)
	}
	o.Set("cells", list)
	list = a.NewArray()
	for i, s := range m.Servers {
		e := a.NewObject()
		e.Set("name", a.NewString(s.Name))
		e.Set("addr", a.NewString(s.Addr))
		if s.Mgmt != "" {
			e.Set("mgmt", a.NewString(s.Mgmt))
		}
		e.Set("cell", a.NewString(s.Cell))
		num(e, "weight", s.Weight)
		e.Set("from_ms", a.NewNumberString(fmt.Sprint(s.From)))
		if s.Until > 0 {
			e.Set("until_ms", a.NewNumberString(fmt.Sprint(s.Until)))
		}
		list.SetArrayItem(i, e)
	}
	o.Set("servers", list)
	list = a.NewArray()
	for i, t := range m.Tenants {
		e, homes := a.NewObject(), a.NewArray()
		e.Set("name", a.NewString(t.Name))
		num(e, "rate", t.Rate)
		for j, h := range t.Homes {
			x := a.NewObject()
			x.Set("cell", a.NewString(h.Cell))
			x.Set("shard", a.NewNumberInt(h.Shard))
			x.Set("from_ms", a.NewNumberString(fmt.Sprint(h.From)))
			if h.Abort {
				x.Set("abort", a.NewTrue())
			}
			homes.SetArrayItem(j, x)
		}
		e.Set("homes", homes)
		list.SetArrayItem(i, e)
	}
	o.Set("tenants", list)
	var b bytes.Buffer
	if json.Indent(&b, o.MarshalTo(nil), "", "  ") != nil {
		return o.MarshalTo(nil)
	}
	return append(b.Bytes(), '\n')
}
