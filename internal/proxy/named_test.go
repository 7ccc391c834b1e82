package proxy

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// namedTenantMaps returns a map whose unnamed tenants have moved from cell b to cell a, the next map, which names one of them as if they
// had not moved, and the same with the home where they live.
func namedTenantMaps() (active, moving, staying *cells.Map) {
	active = exampleMap()
	active.Tenants = append(active.Tenants, cells.Tenant{Homes: []cells.Home{{Cell: "b"}, {Cell: "a", Since: time.Now().Add(-time.Hour).UnixMilli()}}})
	name := func(cell string) *cells.Map {
		m := nextVersion(active)
		m.Tenants = append(m.Tenants, cells.Tenant{Name: "new", Homes: []cells.Home{{Cell: cell}}})
		return m
	}
	return active, name("b"), name("a")
}

// A map that names a tenant where the unnamed lived before they moved would move the tenant at once, and a repeat of its keyed requests
// would run in the other cell (review/7). It is refused whichever way it comes: as a file, in a folder of versions, from the group as
// one text or in parts, and at a restart. One that names the tenant where it lives is accepted.
func TestNamedTenantByEveryWayToAMap(t *testing.T) {
	const refusal = "a tenant that is named anew begins where the unnamed live"
	active, moving, staying := namedTenantMaps()
	folder := func(t *testing.T, next *cells.Map) error {
		dir := VersionDir{t.TempDir()}
		if err := dir.Put(active.Version, settings.FormatCells(active)); err != nil {
			t.Fatal(err)
		}
		src, err := OpenFileSource(dir.Dir, "")
		if err != nil {
			t.Fatal(err)
		}
		m, _, err := src.Load(nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := dir.Put(next.Version, settings.FormatCells(next)); err != nil {
			t.Fatal(err)
		}
		_, _, err = src.Load(m)
		return err
	}
	file := func(t *testing.T, next *cells.Map) error {
		path := filepath.Join(t.TempDir(), "cells.json")
		if err := WriteMap(path, active); err != nil {
			t.Fatal(err)
		}
		_, err := UpdateMap(path, time.Second, func(*cells.Map, time.Time) (*cells.Map, error) { return next, nil })
		return err
	}
	group := func(t *testing.T, next *cells.Map) error {
		src := newGroupSource(t, "", active)
		if _, _, err := src.Load(nil); err != nil {
			t.Fatal(err)
		}
		return src.Check(string(settings.FormatCells(next)))
	}
	parts := func(t *testing.T, next *cells.Map) error {
		src := newGroupSource(t, "", active)
		if _, _, err := src.Load(nil); err != nil {
			t.Fatal(err)
		}
		return src.CheckParts(changedParts(active, next), false)
	}
	partsAfterRestart := func(t *testing.T, next *cells.Map) error {
		state := filepath.Join(t.TempDir(), "state.db")
		src, err := OpenGroupSource(state)
		if err != nil {
			t.Fatal(err)
		}
		if err := src.ApplyParts(configstore.ID{Version: 70, Digest: 77}, settings.SplitCells(active), true); err != nil {
			t.Fatal(err)
		}
		src.Confirm(time.Now())
		if _, _, err := src.Load(nil); err != nil {
			t.Fatal(err)
		}
		closeNow(t, src)
		if src, err = OpenGroupSource(state); err != nil {
			t.Fatal(err)
		}
		closeLater(t, src)
		return src.CheckParts(changedParts(active, next), false)
	}
	for name, offer := range map[string]func(*testing.T, *cells.Map) error{
		"file": file, "folder": folder, "group": group, "parts": parts, "parts after a restart": partsAfterRestart,
	} {
		t.Run(name, func(t *testing.T) {
			if err := offer(t, moving); err == nil || !strings.Contains(err.Error(), refusal) {
				t.Errorf("named where the unnamed lived before: %v, want %q", err, refusal)
			}
			if err := offer(t, staying); err != nil {
				t.Errorf("named where it lives: %v", err)
			}
		})
	}
}

// A router that restarts keeps its stored map if the file names a tenant elsewhere than where the stored map has it.
func TestNamedTenantAtARestart(t *testing.T) {
	active, moving, staying := namedTenantMaps()
	for _, c := range []struct {
		file *cells.Map
		want int
	}{{moving, active.Version}, {staying, staying.Version}} {
		path, state := filepath.Join(t.TempDir(), "cells.json"), filepath.Join(t.TempDir(), "state.db")
		for _, m := range []*cells.Map{active, c.file} {
			if err := WriteMap(path, m); err != nil {
				t.Fatal(err)
			}
			src, err := OpenFileSource(path, state)
			if err != nil {
				t.Fatal(err)
			}
			loaded, _, err := src.Load(nil)
			closeNow(t, src)
			if err != nil {
				t.Fatal(err)
			}
			if m == c.file && loaded.Version != c.want {
				t.Errorf("named in cell %s: the router starts with version %d, want %d", m.Tenants[len(m.Tenants)-1].Homes[0].Cell, loaded.Version, c.want)
			}
		}
	}
}
