package proxy

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/settings"
)

func exampleMap() *cells.Map {
	return &cells.Map{
		Version: 3, KeyWindow: 2 * time.Second, MaxClockSkew: 100 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells:   []cells.Cell{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}},
		Servers: []cells.Server{{Name: "s1", Addr: "127.0.0.1:1", Cell: "a", Weight: 1}, {Name: "s2", Addr: "127.0.0.1:2", Cell: "b", Weight: 2.5}},
		Tenants: []cells.Tenant{{Name: "x", Rate: 1.5, Homes: []cells.Home{{Cell: "a"}, {Cell: "b", ShardSize: 1, Since: 1700000000000},
			{Cell: "a", Since: 1700000100000, IsAbort: true}}}},
	}
}

// A valid map is read as it was written. A map is rejected if it is truncated or older, lists a server twice, or has a cell without a
// server, an unknown field or a value of a wrong type. The error is one line and names the field.
func TestMapFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "cells.json")
	if err := WriteMap(path, exampleMap()); err != nil {
		t.Fatal(err)
	}
	f, err := OpenFileSource(path, "")
	if err != nil {
		t.Fatal(err)
	}
	m, _, err := f.Load(nil)
	if err != nil || len(cells.Diff(exampleMap(), m)) > 0 || m.Version != 3 {
		t.Fatalf("%+v, %v", m, err)
	}
	text := string(settings.FormatCells(exampleMap()))
	for _, c := range []struct{ old, new, want string }{
		{text[len(text)/2:], "", "not JSON"},
		{`"version": 3`, `"version": 2`, "version: 2 is not above"},
		{`"s2"`, `"s1"`, `servers[1].name: "s1" given twice`},
		{`"cell": "b",`, `"cell": "a",`, `cells[1]: "b" has no server`},
		{`"homes"`, `"house"`, "tenants[0].house: unknown"},
		{`"rate": 1.5`, `"rate": "1.5"`, "tenants[0].rate: a string where a number belongs"},
	} {
		if !strings.Contains(text, c.old) {
			t.Fatalf("test case: %s is not in the map", c.old)
		}
		if err := os.WriteFile(path, []byte(strings.Replace(text, c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := f.Load(m); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", c.want, err)
		}
	}
}

// A router that restarts with an invalid or older map file must start with its stored map. The map's confirmation time is that of the
// last read, as a later one would allow keyed requests by a map that may be outdated. Two routers can't open one state file.
func TestStateOutlivesTheRouter(t *testing.T) {
	dir := t.TempDir()
	path, state := filepath.Join(dir, "cells.json"), filepath.Join(dir, "state.db")
	if err := WriteMap(path, exampleMap()); err != nil {
		t.Fatal(err)
	}
	f, err := OpenFileSource(path, state)
	if err != nil {
		t.Fatal(err)
	}
	_, readAt, err := f.Load(nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := OpenFileSource(path, state); err == nil {
		t.Error("two routers have opened one state file")
	}
	closeNow(t, f)
	time.Sleep(20 * time.Millisecond)
	older := exampleMap()
	older.Version = 2
	for what, write := range map[string]func() error{
		"a truncated file": func() error { return os.WriteFile(path, []byte(`{"version":`), 0o600) },
		"an older map":     func() error { return WriteMap(path, older) },
	} {
		if err := write(); err != nil {
			t.Fatal(err)
		}
		if f, err = OpenFileSource(path, state); err != nil {
			t.Fatal(err)
		}
		m, confirmedAt, err := f.Load(nil)
		if err != nil || m.Version != 3 || confirmedAt.Sub(readAt).Abs() > 5*time.Millisecond {
			t.Errorf("%s: version %d, confirmed %v after the read, %v", what, m.Version, confirmedAt.Sub(readAt), err)
		}
		closeNow(t, f)
	}
	if err := errors.Join(os.Remove(state), os.WriteFile(path, []byte(`{"version":`), 0o600)); err != nil {
		t.Fatal(err)
	}
	if f, err = OpenFileSource(path, state); err != nil {
		t.Fatal(err)
	}
	closeLater(t, f)
	if _, _, err := f.Load(nil); err == nil {
		t.Error("a router has started without a map")
	}
}
