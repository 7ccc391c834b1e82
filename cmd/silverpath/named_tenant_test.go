package main

import (
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/proxy"
)

// Guards against a second run in another cell when a map names a tenant that the default entry served before (review/7). The unnamed tenants
// have moved from cell b to cell a. Routers keep the old map when the next one names the tenant in b, and accept one that names it in a.
func TestMapNamesATenant(t *testing.T) {
	t.Parallel()
	f := newFleet(t, longWindow)
	moved := cells.Home{Cell: "a", Since: time.Now().Add(-time.Hour).UnixMilli()}
	other := cells.Tenant{Name: "other", Rate: 10, Homes: []cells.Home{{Cell: "a"}}}
	unnamed := cells.Tenant{Rate: 10, Homes: []cells.Home{{Cell: "b"}, moved}}
	f.Map.Tenants = []cells.Tenant{other, unnamed}
	mapFile := f.writeMap(f.Map)
	one, two := f.startRouter("r1", mapFile, ""), f.startRouter("r2", mapFile, "")
	if got := sendToAll(10, "sheet", one); got["served"] != 10 {
		t.Fatalf("outcomes of the first attempts: %v, want 10 served", got)
	}
	publish := func(version int, home cells.Home, event string) {
		t.Helper()
		f.Map.Version = version
		f.Map.Tenants = []cells.Tenant{other, unnamed, {Name: "brand", Rate: 10, Homes: []cells.Home{home}}}
		if err := proxy.WriteMap(mapFile, f.Map); err != nil {
			t.Fatal(err)
		}
		for _, router := range []*process{one, two} {
			if _, err := router.Await(5*time.Second, 0, event); err != nil {
				t.Fatal(err)
			}
		}
	}
	publish(2, cells.Home{Cell: "b"}, "a tenant that is named anew begins where the unnamed live")
	if got := sendToAll(10, "sheet", two); got["served"] != 10 || countRunTwice(f.runsByBody()) != 0 {
		t.Errorf("repeats after version 2: %v, and %d requests ran twice; want 10 served", got, countRunTwice(f.runsByBody()))
	}
	publish(3, cells.Home{Cell: "a"}, "cells: map version 3")
	if got := sendToAll(10, "sheet", one, two); got["served"] != 20 || countRunTwice(f.runsByBody()) != 0 {
		t.Errorf("repeats after version 3: %v, and %d requests ran twice; want 20 served", got, countRunTwice(f.runsByBody()))
	}
}
