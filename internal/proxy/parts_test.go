package proxy

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/quota"
	"silverpath/internal/settings"
	"silverpath/internal/transport/msgpackrpc"
)

// newFleetMap returns a map with the given numbers of servers and tenants.
func newFleetMap(servers, tenants int) *cells.Map {
	m := &cells.Map{Version: 3, KeyWindow: 2 * time.Second, MaxClockSkew: 100 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells: []cells.Cell{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}}}
	for i := range servers {
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("s", i), Addr: fmt.Sprint("127.0.0.1:", i+1), Cell: m.Cells[i%2].Name, Weight: 1})
	}
	for i := range tenants {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprint("tenant-", i), Rate: 1, Homes: []cells.Home{{Cell: m.Cells[i%2].Name}}})
	}
	return m
}

// nextVersion returns a map of the next version, in which one tenant has another rate. Its file has the same size as that of m.
func nextVersion(m *cells.Map) *cells.Map {
	next := *m.Flat()
	next.Version++
	next.Tenants = slices.Clone(next.Tenants)
	next.Tenants[0].Rate = float64(next.Version % 10)
	return &next
}

// waitForNextTick waits until the clock of the file system has advanced, so that the next change of a file gets a new time.
func waitForNextTick(t *testing.T) {
	t.Helper()
	probe := filepath.Join(t.TempDir(), "probe")
	change := func() int64 {
		if err := os.WriteFile(probe, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		st, err := stampOf(probe, 0)
		if err != nil {
			t.Fatal(err)
		}
		return st.ctime
	}
	for first := change(); change() == first; time.Sleep(time.Millisecond) {
	}
}

// measureAllocs returns the average number and total size of the allocations of a call of f.
func measureAllocs(f func()) (allocs, size float64) {
	const runs = 20
	allocs = testing.AllocsPerRun(runs, f)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		f()
	}
	runtime.ReadMemStats(&after)
	return allocs, float64(after.TotalAlloc-before.TotalAlloc) / runs
}

// pageBytes returns the bytes of pages that were allocated in a state file.
func pageBytes(s *stateFile) int64 {
	stats := s.db.Stats()
	return stats.TxStats.GetPageAlloc()
}

// ---- File source ----

// Loading an unchanged file must not read, parse or store the map again, whatever its size. It returns the same map, confirmed now.
func TestUnchangedFileCostsNothing(t *testing.T) {
	measure := func(tenants int) (allocs, size, written float64) {
		dir := t.TempDir()
		path := filepath.Join(dir, "cells.json")
		if err := WriteMap(path, newFleetMap(tenants/20, tenants)); err != nil {
			t.Fatal(err)
		}
		f, err := OpenFileSource(path, filepath.Join(dir, "state.db"))
		if err != nil {
			t.Fatal(err)
		}
		defer closeNow(t, f)
		f.settleTime = 0
		m, _, err := f.Load(nil)
		if err != nil {
			t.Fatal(err)
		}
		pages := pageBytes(f.state)
		runs := 0
		allocs, size = measureAllocs(func() {
			runs++
			now := time.Now()
			again, read, err := f.Load(m)
			if err != nil || again != m || read.Before(now) {
				t.Fatalf("a different map, confirmed %v after the call, %v", read.Sub(now), err)
			}
		})
		return allocs, size, float64(pageBytes(f.state)-pages) / float64(runs)
	}
	allocs, size, written := measure(100)
	allocsLarge, sizeLarge, writtenLarge := measure(5000)
	t.Logf("100 tenants: %v allocations of %.0f bytes, pages of %.0f; 5,000: %v of %.0f, pages of %.0f", allocs, size, written, allocsLarge, sizeLarge, writtenLarge)
	if allocsLarge > allocs+20 || sizeLarge > size+32<<10 || writtenLarge > written+32<<10 {
		t.Errorf("100 tenants: %v allocations of %.0f bytes, pages of %.0f; 5,000: %v of %.0f, pages of %.0f", allocs, size, written, allocsLarge, sizeLarge, writtenLarge)
	}
}

// Every kind of change of a map file must be detected at the next load. Without a change, Load returns the same map.
func TestChangesAreNoticed(t *testing.T) {
	write := func(t *testing.T, path string, m *cells.Map) {
		t.Helper()
		if err := os.WriteFile(path, settings.FormatCells(m), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name    string
		change  func(t *testing.T, path string, m *cells.Map) // to the next version of m
		wantErr string
	}{
		{"in place, of the same size", func(t *testing.T, path string, m *cells.Map) { write(t, path, nextVersion(m)) }, ""},
		{"grown", func(t *testing.T, path string, m *cells.Map) {
			n := nextVersion(m)
			n.Tenants = append(n.Tenants, cells.Tenant{Name: "new", Homes: []cells.Home{{Cell: "a"}}})
			write(t, path, n)
		}, ""},
		{"replaced", func(t *testing.T, path string, m *cells.Map) {
			if err := WriteMap(path, nextVersion(m)); err != nil {
				t.Fatal(err)
			}
		}, ""},
		{"of the same size and time", func(t *testing.T, path string, m *cells.Map) {
			was, err := os.Stat(path)
			if err != nil {
				t.Fatal(err)
			}
			write(t, path, nextVersion(m))
			if err := os.Chtimes(path, was.ModTime(), was.ModTime()); err != nil {
				t.Fatal(err)
			}
		}, ""},
		{"replaced by an older file of the same size", func(t *testing.T, path string, m *cells.Map) {
			write(t, path+".other", nextVersion(m))
			past := time.Now().Add(-time.Hour)
			if err := errors.Join(os.Chtimes(path+".other", past, past), os.Rename(path+".other", path)); err != nil {
				t.Fatal(err)
			}
		}, ""},
		{"removed", func(t *testing.T, path string, m *cells.Map) {
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
		}, "no such file"},
		{"removed and put back", func(t *testing.T, path string, m *cells.Map) {
			if err := os.Remove(path); err != nil {
				t.Fatal(err)
			}
			write(t, path, nextVersion(m))
		}, ""},
		{"invalid", func(t *testing.T, path string, m *cells.Map) {
			if err := os.Truncate(path, 100); err != nil {
				t.Fatal(err)
			}
		}, "not JSON"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "cells.json")
			write(t, path, newFleetMap(4, 10))
			f, err := OpenFileSource(path, "")
			if err != nil {
				t.Fatal(err)
			}
			f.settleTime = 0
			m, _, err := f.Load(nil)
			if err != nil {
				t.Fatal(err)
			}
			if again, _, err := f.Load(m); err != nil || again != m {
				t.Fatalf("the unchanged map was not returned again: %v", err)
			}
			waitForNextTick(t)
			c.change(t, path, m)
			n, _, err := f.Load(m)
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Fatalf("error %v, want %s", err, c.wantErr)
				}
				if _, _, err := f.Load(m); err == nil {
					t.Fatal("the second load of an invalid file returned no error")
				}
				waitForNextTick(t)
				write(t, path, nextVersion(m))
				n, _, err = f.Load(m)
			}
			if err != nil || n.Version != m.Version+1 {
				t.Fatalf("after the change: map %v, %v", n, err)
			}
			if again, _, err := f.Load(n); err != nil || again != n {
				t.Fatalf("the unchanged map was not returned again: %v", err)
			}
		})
	}
}

// Changes of a folder of versions must be detected at the next load: a new version, an invalid version above the head that is corrected,
// and the removal of the folder.
func TestChangesOfAFolderAreNoticed(t *testing.T) {
	dir := t.TempDir()
	versions := VersionDir{dir}
	put := func(m *cells.Map) {
		t.Helper()
		if err := versions.Put(m.Version, settings.FormatCells(m)); err != nil {
			t.Fatal(err)
		}
	}
	first := newFleetMap(4, 10)
	put(first)
	f, err := OpenFileSource(dir, "")
	if err != nil {
		t.Fatal(err)
	}
	f.settleTime = 0
	m, _, err := f.Load(nil)
	if err != nil {
		t.Fatal(err)
	}
	expectVersion := func(what string, version int) {
		t.Helper()
		n, _, err := f.Load(m)
		if err != nil || n.Version != version {
			t.Fatalf("%s: error %v or the wrong version", what, err)
		}
		if again, _, err := f.Load(n); err != nil || again != n {
			t.Fatalf("%s: the unchanged map was not returned again: %v", what, err)
		}
		m = n
		waitForNextTick(t)
	}
	expectVersion("no change", 3)
	second := nextVersion(first)
	put(second)
	expectVersion("a new version", 4)
	third := nextVersion(second)
	text := settings.FormatCells(third)
	if err := os.WriteFile(versions.path(5), text[:50], 0o600); err != nil {
		t.Fatal(err)
	}
	expectVersion("an invalid version above the head", 4)
	if n := len(f.stamps); n != 3 {
		t.Errorf("%d stamps for a folder, its head, and one version above it, want 3", n)
	}
	if err := os.WriteFile(versions.path(5), text, 0o600); err != nil {
		t.Fatal(err)
	}
	expectVersion("the invalid version corrected in place", 5)
	if n := len(f.stamps); n != 2 {
		t.Errorf("%d stamps for a folder and its head, want 2", n)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Load(m); err == nil {
		t.Error("loading from a removed folder returned no error")
	}
}

// Two changes within one tick of the file system's clock can leave the same stamp. So a file that changed less than settleTime ago must be
// read at each load. A file whose stamp is older is not read, even if its contents differ.
func TestChangeWithinATick(t *testing.T) {
	for _, recent := range []bool{true, false} {
		path := filepath.Join(t.TempDir(), "cells.json")
		if err := WriteMap(path, newFleetMap(4, 10)); err != nil {
			t.Fatal(err)
		}
		f, err := OpenFileSource(path, "")
		if err != nil {
			t.Fatal(err)
		}
		f.settleTime = map[bool]time.Duration{true: math.MaxInt64, false: 0}[recent]
		m, _, err := f.Load(nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := WriteMap(path, nextVersion(m)); err != nil {
			t.Fatal(err)
		}
		if f.stamps, err = stampsOf(path, f.settleTime); err != nil { // as if the file had the same size and times with both versions
			t.Fatal(err)
		}
		n, _, err := f.Load(m)
		if err != nil || (n.Version == m.Version+1) != recent {
			t.Errorf("recent change %v: version %d after %d, %v", recent, n.Version, m.Version, err)
		}
	}
}

// ---- Maps in parts ----

// newGroupSource returns a source to which m was applied in parts and confirmed.
func newGroupSource(t *testing.T, state string, m *cells.Map) *GroupSource {
	t.Helper()
	src, err := OpenGroupSource(state)
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, src)
	if err := src.CheckParts(settings.SplitCells(m), true); err != nil {
		t.Fatal(err)
	}
	if err := src.ApplyParts(configstore.ID{Version: 70, Digest: 77}, settings.SplitCells(m), true); err != nil {
		t.Fatal(err)
	}
	src.Confirm(time.Now())
	return src
}

// changedParts returns the parts of m that differ from those of old.
func changedParts(old, m *cells.Map) map[string]string {
	oldParts, parts := settings.SplitCells(old), settings.SplitCells(m)
	maps.DeleteFunc(parts, func(name, text string) bool { return oldParts[name] == text })
	return parts
}

// A router applies changed parts on top of its map. A part that is invalid or can't follow must leave the map as it was. After a restart the
// source must return the last map, with the digest by which the group identifies it.
func TestGroupSourceInParts(t *testing.T) {
	state := filepath.Join(t.TempDir(), "state.db")
	first := newFleetMap(10, 200)
	src := newGroupSource(t, state, first)
	m, _, err := src.Load(nil)
	if err != nil || len(cells.Diff(first, m))+len(cells.Diff(m, first)) > 0 {
		t.Fatalf("load: %v, or a different map", err)
	}
	if digest, ok := src.DigestOf(m); !ok || digest != 77 {
		t.Errorf("digest %d, %v, want 77", digest, ok)
	}
	second := nextVersion(m)
	removed := *second
	removed.Tenants = second.Tenants[1:]
	for _, c := range []struct {
		changed  map[string]string
		complete bool
		want     string
	}{
		{changedParts(m, &removed), false, `tenants: "tenant-0" is gone`},
		{map[string]string{"top": `{"version":2}`}, false, "version: 2 is not above that in force, 3"},
		{map[string]string{"t00": `{"tenants":[{}]}`}, false, "part t00: tenants[0]"},
		{changedParts(m, second), true, "part head: missing"},
	} {
		if err := src.CheckParts(c.changed, c.complete); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want %s", err, c.want)
		}
	}
	if err := src.ApplyParts(configstore.ID{Version: 71, Digest: 78}, map[string]string{"t00": `{"tenants":[{}]}`}, false); err == nil {
		t.Error("an invalid part was applied")
	}
	if again, _, err := src.Load(m); err != nil || again != m {
		t.Errorf("the previous map was not kept: %v", err)
	}
	changed := changedParts(m, second)
	if len(changed) != 2 {
		t.Fatalf("changed parts: %v, want 2", slices.Sorted(maps.Keys(changed)))
	}
	if err := src.CheckParts(changed, false); err != nil {
		t.Fatal(err)
	}
	third := nextVersion(second)
	third.Tenants[0].Rate, third.Tenants[1].Rate = second.Tenants[0].Rate, 9 // a change in another part than that of second
	for i, m := range []*cells.Map{second, third} {                          // two changes before the router loads
		if err := src.ApplyParts(configstore.ID{Version: 71 + i, Digest: 78 + uint64(i)}, changedParts([]*cells.Map{first, second}[i], m), false); err != nil {
			t.Fatal(err)
		}
	}
	requestedAt := time.Now()
	src.Confirm(requestedAt)
	n, confirmedAt, err := src.Load(m)
	if err != nil || !confirmedAt.Equal(requestedAt) || len(cells.Diff(third, n)) > 0 || n.Version != third.Version || !n.SameServers(m) {
		t.Fatalf("after two changes: %v, differences %q", err, cells.Diff(third, n))
	}
	closeNow(t, src)

	src, err = OpenGroupSource(state)
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, src)
	m, storedAt, err := src.Load(nil)
	if err != nil || m.Version != third.Version || len(cells.Diff(third, m))+len(cells.Diff(m, third)) > 0 || storedAt.UnixMilli() != requestedAt.UnixMilli() {
		t.Fatalf("after a restart: %v, confirmed %v after the request", err, storedAt.Sub(requestedAt))
	}
	if digest, ok := src.DigestOf(m); !ok || digest != 79 {
		t.Errorf("after a restart: digest %d, %v, want 79", digest, ok)
	}
	fourth := nextVersion(third)
	if err := src.ApplyParts(configstore.ID{Version: 73, Digest: 80}, changedParts(third, fourth), false); err != nil {
		t.Fatal(err)
	}
	src.Confirm(time.Now())
	if n, _, err := src.Load(m); err != nil || len(cells.Diff(fourth, n)) > 0 || !n.SameServers(m) {
		t.Errorf("parts on top of the stored map: %v", err)
	}
	// A group that was downgraded to an older build sends the map as one document.
	fifth := nextVersion(fourth)
	if err := src.Apply(string(settings.FormatCells(fifth))); err != nil {
		t.Fatal(err)
	}
	src.Confirm(time.Now())
	n, _, err = src.Load(m)
	if err != nil || n.Version != fifth.Version {
		t.Fatal(err)
	}
	if _, ok := src.DigestOf(n); ok {
		t.Error("a map applied as one document has a digest of parts")
	}
	sixth := nextVersion(fifth)
	if err := src.ApplyParts(configstore.ID{Version: 75, Digest: 82}, changedParts(fifth, sixth), false); err != nil {
		t.Fatal(err)
	}
	src.Confirm(time.Now())
	if n, _, err := src.Load(n); err != nil || len(cells.Diff(sixth, n)) > 0 {
		t.Fatal(err)
	}
	closeNow(t, src)
	src, err = OpenGroupSource(state)
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, src)
	if m, _, err := src.Load(nil); err != nil || m.Version != sixth.Version || len(cells.Diff(sixth, m))+len(cells.Diff(m, sixth)) > 0 {
		t.Errorf("after another restart: %v", err)
	}
}

// A change of one tenant must write only its part to the state file, and a confirmation only the time, whatever the number of tenants.
func TestStateWritesWhatChanged(t *testing.T) {
	measure := func(tenants int) (change, confirm int64) {
		first := newFleetMap(10, tenants)
		src := newGroupSource(t, filepath.Join(t.TempDir(), "state.db"), first)
		m, _, err := src.Load(nil)
		if err != nil {
			t.Fatal(err)
		}
		pages := func() int64 { return pageBytes(src.state) }
		before := pages()
		if err := src.ApplyParts(configstore.ID{Version: 71, Digest: 78}, changedParts(m, nextVersion(m)), false); err != nil {
			t.Fatal(err)
		}
		src.Confirm(time.Now())
		m, _, err = src.Load(m)
		if err != nil || m.Version != 4 {
			t.Fatal(err)
		}
		change, before = pages()-before, pages()
		src.Confirm(time.Now().Add(time.Minute))
		if _, _, err := src.Load(m); err != nil {
			t.Fatal(err)
		}
		if confirm = pages() - before; confirm == 0 {
			t.Fatal("a confirmation was not stored")
		}
		return change, confirm
	}
	change, confirm := measure(200)
	changeLarge, confirmLarge := measure(5000)
	t.Logf("200 tenants: a change writes %d bytes of pages, a confirmation %d; 5,000: %d and %d", change, confirm, changeLarge, confirmLarge)
	if changeLarge > change+64<<10 || confirmLarge > confirm+16<<10 {
		t.Errorf("written bytes grow with the tenants: with 200 a change writes %d and a confirmation %d, with 5,000 %d and %d, want at most 64 KiB and 16 KiB more", change, confirm, changeLarge, confirmLarge)
	}
}

// The state file of a build without support for parts must be read, and its entries deleted at the next write: otherwise that build would
// load an outdated map after a downgrade. If its entries exist again, they are newer than the others and must be used.
func TestStateOfAnOlderBuild(t *testing.T) {
	for _, kind := range []string{"map file", "group map in one document", "group map in parts"} {
		t.Run(kind, func(t *testing.T) {
			state := filepath.Join(t.TempDir(), "state.db")
			updateLegacy := func(do func(b *bbolt.Bucket) error) {
				t.Helper()
				db, err := bbolt.Open(state, 0o600, nil)
				if err != nil {
					t.Fatal(err)
				}
				defer closeNow(t, db)
				err = db.Update(func(tx *bbolt.Tx) error {
					b, err := tx.CreateBucketIfNotExists([]byte("cells"))
					return errors.Join(err, do(b))
				})
				if err != nil {
					t.Fatal(err)
				}
			}
			writeLegacy := func(m *cells.Map, at time.Time) { // writes the entries of an older build
				updateLegacy(func(b *bbolt.Bucket) error {
					return errors.Join(b.Put([]byte("map"), settings.FormatCells(m)),
						b.Put([]byte("read"), binary.BigEndian.AppendUint64(nil, uint64(at.UnixMilli()))))
				})
			}
			m, at := newFleetMap(4, 10), time.Now().Add(-time.Minute)
			path := filepath.Join(t.TempDir(), "cells.json")
			for range 2 { // the second time after a downgrade
				writeLegacy(m, at)
				writeErr := os.WriteFile(path, []byte("{"), 0o600)
				if writeErr != nil {
					t.Fatal(writeErr)
				}
				n := nextVersion(m)
				var stored *cells.Map
				var confirmedAt time.Time
				var err error
				if kind == "map file" {
					var f *FileSource
					if f, err = OpenFileSource(path, state); err == nil {
						stored, confirmedAt, err = f.Load(nil)
						if writeErr := WriteMap(path, n); writeErr != nil {
							t.Fatal(writeErr)
						}
						if m, _, loadErr := f.Load(stored); loadErr != nil || m.Version != n.Version {
							t.Fatal(loadErr)
						}
						closeNow(t, f)
					}
				} else {
					var src *GroupSource
					if src, err = OpenGroupSource(state); err == nil {
						stored, confirmedAt, err = src.Load(nil)
						applyErr := src.Apply(string(settings.FormatCells(n)))
						if kind == "group map in parts" {
							applyErr = src.ApplyParts(configstore.ID{Version: 9, Digest: 9}, changedParts(m, n), false)
						}
						if applyErr != nil {
							t.Fatal(applyErr)
						}
						src.Confirm(time.Now())
						if m, _, loadErr := src.Load(stored); loadErr != nil || m.Version != n.Version {
							t.Fatal(loadErr)
						}
						closeNow(t, src)
					}
				}
				if err != nil || stored.Version != m.Version || confirmedAt.UnixMilli() != at.UnixMilli() {
					t.Fatalf("stored map %v, %v", stored, err)
				}
				updateLegacy(func(b *bbolt.Bucket) error {
					if b.Get([]byte("map")) != nil || b.Get([]byte("read")) != nil {
						t.Error("an entry of the older build is left")
					}
					return nil
				})
				m, at = nextVersion(n), at.Add(time.Second)
			}
		})
	}
}

// ---- Runner ----

// newRunner returns a Runner that reads maps from src. The Runner is closed at the end of the test.
func newRunner(t *testing.T, src Source, out io.Writer, dial func(context.Context, string) (*msgpackrpc.Conn, error)) *Runner {
	t.Helper()
	r, err := New(Config{Name: "r", Source: src, Cores: 1, HealthCheckInterval: time.Hour, MaxConnections: 10, Dial: dial}, &fakeCore{}, log.New(out, "", 0), &metrics.Counters{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// A map in parts is identified by its own version and the group's digest, any other map by the digest of its text. Otherwise routers would
// see two IDs for one version and stop keyed requests.
func TestRouterNamesTheMap(t *testing.T) {
	m := newFleetMap(4, 10)
	src := newGroupSource(t, "", m)
	r := newRunner(t, src, io.Discard, nil)
	if id := r.current.Load().id; id != (configstore.ID{Version: 3, Digest: 77}) {
		t.Errorf("ID of a map in parts: %v", id)
	}
	if err := src.Apply(string(settings.FormatCells(nextVersion(m)))); err != nil {
		t.Fatal(err)
	}
	src.Confirm(time.Now())
	r.Reload()
	if id := r.current.Load().id; id != configstore.NewID(4, settings.FormatCells(nextVersion(m))) {
		t.Errorf("ID of a map that is not in parts: %v, want that of its text", id)
	}
}

// The cost of reloading an unchanged map must not depend on the map's size, and the cost of activating a change of one tenant not on the
// number of other tenants.
func TestReloadCostsWhatChanged(t *testing.T) {
	measure := func(tenants int) (unchanged, unchangedSize, change, changeSize float64) {
		m := newFleetMap(tenants/20, tenants)
		src := newGroupSource(t, "", m)
		r := newRunner(t, src, io.Discard, nil)
		unchanged, unchangedSize = measureAllocs(func() {
			src.Confirm(time.Now())
			r.Reload()
		})
		version := 3
		change, changeSize = measureAllocs(func() {
			version++
			parts := map[string]string{"top": fmt.Sprintf(`{"version":%d}`, version), "t00": `{"tenants":[]}`}
			if version == 4 { // the test empties part t00 itself, as the group would reject the removal of its tenants
				src.mu.Lock()
				var err error
				if src.latest.Map, err = settings.JoinCells(src.latest.Map, map[string]string{"t00": `{"tenants":[]}`}); err != nil {
					t.Fatal(err)
				}
				src.delivered = src.latest
				src.mu.Unlock()
				r.current.Store(&mapInForce{Map: src.latest.Map, confirmedAt: time.Now(), id: r.current.Load().id, name: r.current.Load().name})
			}
			if err := src.ApplyParts(configstore.ID{Version: version, Digest: uint64(version)}, parts, false); err != nil {
				t.Fatal(err)
			}
			src.Confirm(time.Now())
			r.Reload()
			if v := r.current.Load(); v.Version != version || v.id.Digest != uint64(version) {
				t.Fatalf("version %d, ID %v, want %d", v.Version, v.id, version)
			}
		})
		return
	}
	unchanged, unchangedSize, change, changeSize := measure(400)
	unchangedLarge, unchangedSizeLarge, changeLarge, changeSizeLarge := measure(5000)
	t.Logf("400 tenants: no change: %v allocations of %.0f bytes, a change: %v of %.0f; 5,000: %v of %.0f, %v of %.0f", unchanged, unchangedSize, change, changeSize, unchangedLarge, unchangedSizeLarge, changeLarge, changeSizeLarge)
	if unchangedLarge > unchanged+5 || unchangedSizeLarge > unchangedSize+4096 || changeLarge > change+10 || changeSizeLarge > changeSize+8192 {
		t.Errorf("400 tenants: no change: %v allocations of %.0f bytes, a change: %v of %.0f; 5,000: %v of %.0f, %v of %.0f", unchanged, unchangedSize, change, changeSize, unchangedLarge, unchangedSizeLarge, changeLarge, changeSizeLarge)
	}
}

// A router's status must fit in a message, however large its map is. It lists only the tenants that have migrated, and only the rates that
// were granted or requested, with the sum of all others.
func TestStatusOfALargeFleet(t *testing.T) {
	for _, tenants := range []int{20, 21_000} {
		m := newFleetMap(930, tenants)
		m.Cells = nil
		for i := range 31 {
			m.Cells = append(m.Cells, cells.Cell{Name: fmt.Sprint("c", i), Capacity: 10})
		}
		for i := range m.Servers {
			m.Servers[i].Cell = m.Cells[i%31].Name
		}
		for i := range m.Tenants {
			m.Tenants[i].Homes = []cells.Home{{Cell: m.Cells[i%31].Name}}
		}
		m.Tenants[7].Homes = append(m.Tenants[7].Homes, cells.Home{Cell: "c0", Since: time.Now().Add(time.Hour).UnixMilli()})
		r := newRunner(t, newGroupSource(t, "", m), io.Discard, nil)
		r.EnableQuota(470, true)
		text := r.Status()
		if len(text) > msgpackrpc.MaxCallBody/2 {
			t.Errorf("the status for %d tenants has %d bytes", tenants, len(text))
		}
		var s struct {
			Tenants map[string]string
			Parts   map[string]map[string]float64
			Rest    map[string]float64 `json:"parts_rest"`
		}
		if err := json.Unmarshal(text, &s); err != nil {
			t.Fatal(err)
		}
		if len(s.Tenants) != 1 || s.Tenants["tenant-7"] != "prepared" {
			t.Errorf("the status for %d tenants has %d migrations, want 1", tenants, len(s.Tenants))
		}
		for i, cell := range m.Cells {
			sum, want, listed := s.Rest[cell.Name], 0.0, 0
			for _, p := range s.Parts[cell.Name] {
				sum += p
			}
			if i < tenants { // the cell has a tenant
				want = 30 * 10 * quota.UsableRatio * quota.ReservedRatio / 470
			}
			if i < tenants && tenants < 100 {
				listed = 1
			}
			if math.Abs(sum-want) > want/1000 || len(s.Parts[cell.Name]) != listed {
				t.Errorf("%d tenants: cell %s has %d rates, their sum with the rest is %g, want %g", tenants, cell.Name, len(s.Parts[cell.Name]), sum, want)
			}
		}
	}
}

// The capacity for the quota must be computed again if the map has changed, or a server has joined or left by its time in the map. It
// must not be computed for each grant, at a cost that grows with the map.
func TestQuotaCapacityIsSetOnce(t *testing.T) {
	defer func(original func() time.Time) { Wall = original }(Wall)
	now := time.Now()
	Wall = func() time.Time { return now }
	m := newFleetMap(4, 2)
	m.Servers[0].LeavesAt = now.Add(time.Minute).UnixMilli()
	src := newGroupSource(t, "", m)
	r := newRunner(t, src, io.Discard, nil)
	r.EnableQuota(1, true)
	rate := func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.updateQuotaCapacity()
		return r.quota.Rate(r.leaseClock(), quota.Key{Cell: "a", Tenant: "tenant-0"})
	}
	full := rate()
	computed := r.quotaCapacity
	if full <= 0 || testing.AllocsPerRun(10, func() { rate() }) > 0 || r.quotaCapacity != computed {
		t.Errorf("rate %v; the capacity was computed again without a change, or allocates", full)
	}
	now = now.Add(time.Minute) // one of the two servers of the cell has left
	if half := rate(); math.Abs(half-full/2) > 1e-9 {
		t.Errorf("rate %v after one of two servers has left, %v before", half, full)
	}
	now = now.Add(-2 * time.Minute) // the clock was set back
	if p := rate(); p != full {
		t.Errorf("rate %v after the clock was set back, want %v", p, full)
	}
	larger := nextVersion(m)
	larger.Cells = []cells.Cell{{Name: "a", Capacity: 30}, {Name: "b", Capacity: 10}}
	if err := src.ApplyParts(configstore.ID{Version: 9, Digest: 9}, changedParts(m, larger), false); err != nil {
		t.Fatal(err)
	}
	src.Confirm(time.Now())
	r.Reload()
	if p := rate(); math.Abs(p-3*full) > 1e-9 {
		t.Errorf("rate %v with three times the capacity, %v before", p, full)
	}
}

// The health of all servers is compared with the logged one at the end of a round of health checks, and not after each answer, whose cost
// would be quadratic. No server may be missing after the round.
func TestHealthIsLoggedAtTheEndOfARound(t *testing.T) {
	const servers = 60
	var out bytes.Buffer
	refused := func(context.Context, string) (*msgpackrpc.Conn, error) { return nil, errors.New("refused") }
	r := newRunner(t, newGroupSource(t, "", newFleetMap(servers, 2)), &out, refused)
	r.mu.Lock()
	r.lastHealthReport = r.clock() + time.Hour // no comparison after single answers
	r.mu.Unlock()
	for s := range r.Map().AllServers() {
		r.checkHealth(t.Context(), *s)
	}
	if len(r.loggedHealth) != 0 {
		t.Errorf("after single answers the health of %d servers is logged, want 0", len(r.loggedHealth))
	}
	r.checkAll(t.Context())
	if len(r.loggedHealth) != servers {
		t.Errorf("after a round the health of %d servers is logged, want %d", len(r.loggedHealth), servers)
	}
}

// ---- Benchmarks ----

func forTenantCounts(b *testing.B, f func(b *testing.B, tenants int)) {
	for _, tenants := range []int{100, 1000, 21000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) { f(b, tenants) })
	}
}

// BenchmarkLoad measures the load of an unchanged file, which happens at a third of each lease.
func BenchmarkLoad(b *testing.B) {
	for _, stored := range []bool{false, true} {
		b.Run(fmt.Sprint("kept ", stored), func(b *testing.B) {
			forTenantCounts(b, func(b *testing.B, tenants int) {
				dir := b.TempDir()
				path, state := filepath.Join(dir, "cells.json"), ""
				if stored {
					state = filepath.Join(dir, "state.db")
				}
				if err := WriteMap(path, newFleetMap(930, tenants)); err != nil {
					b.Fatal(err)
				}
				time.Sleep(2100 * time.Millisecond) // until the file's stamp is older than settleTime
				f, err := OpenFileSource(path, state)
				if err != nil {
					b.Fatal(err)
				}
				defer closeNow(b, f)
				m, _, err := f.Load(nil)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportAllocs()
				for b.Loop() {
					if m, _, err = f.Load(m); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}

// BenchmarkProbe measures a failed health check of one server among 10 or 930.
func BenchmarkProbe(b *testing.B) {
	for _, servers := range []int{10, 930} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r, err := New(Config{Name: "r", Source: fixedMap{newFleetMap(servers, 2)}, HealthCheckInterval: time.Second, MaxConnections: 10,
				Dial: func(context.Context, string) (*msgpackrpc.Conn, error) { return nil, errors.New("refused") }}, &fakeCore{}, log.New(io.Discard, "", 0), &metrics.Counters{})
			if err != nil {
				b.Fatal(err)
			}
			s := r.Map().Servers[0]
			b.ReportAllocs()
			for b.Loop() {
				r.checkHealth(b.Context(), s)
			}
		})
	}
}

// A change that is announced exactly a lease ahead can pass its check and be too late when it takes effect, because the old map was
// confirmed again in between. A router to which that happens, perhaps together with all others, must stop sending keyed requests by the old map when
// its lease is over, and then activate the new map.
func TestTooLateAsItComesIntoForce(t *testing.T) {
	m := newFleetMap(4, 10)
	m.Lease = 300 * time.Millisecond
	src := newGroupSource(t, "", m)
	r := newRunner(t, src, io.Discard, nil)
	src.Confirm(time.Now())
	r.Reload()
	n := *nextVersion(m)
	n.Tenants[1].Homes = append(slices.Clone(n.Tenants[1].Homes), cells.Home{Cell: "a", Since: time.Now().Add(m.Lease+m.MaxClockSkew).UnixMilli() + 1})
	changed := changedParts(m, &n)
	time.Sleep(20 * time.Millisecond)
	if err := src.CheckParts(changed, false); err != nil {
		t.Fatal(err)
	}
	src.Confirm(time.Now())
	r.Reload()
	if err := src.ApplyParts(configstore.ID{Version: 71, Digest: 78}, changed, false); err != nil {
		t.Fatal(err)
	}
	startedAt := time.Now()
	for r.current.Load().Version != n.Version {
		if time.Since(startedAt) > 20*time.Second {
			t.Fatalf("map %d is still in force", r.current.Load().Version)
		}
		src.Confirm(time.Now())
		r.Reload()
		time.Sleep(10 * time.Millisecond)
	}
	if elapsed := time.Since(startedAt); elapsed < m.Lease {
		t.Errorf("the new map was activated after %v, when the old map's lease was not over", elapsed)
	}
	if v := r.verdict(r.current.Load()); v != configstore.VerdictSettling && v != configstore.VerdictValid {
		t.Errorf("verdict %v, want settling or valid", v)
	}
}

// A proposed change is checked repeatedly, and its parts must be parsed only once. Another change, or the same one on another map, must be
// parsed again.
func TestCheckedOnceRead(t *testing.T) {
	src, err := OpenGroupSource("")
	if err != nil {
		t.Fatal(err)
	}
	m := newFleetMap(30, 3000)
	parts := settings.SplitCells(m)
	if err := src.ApplyParts(configstore.ID{Version: 1, Digest: 1}, parts, true); err != nil {
		t.Fatal(err)
	}
	changed := map[string]string{}
	for name, text := range settings.SplitCells(nextVersion(m)) {
		if parts[name] != text {
			changed[name] = text
		}
	}
	check := func(changed map[string]string, complete bool) {
		if err := src.CheckParts(changed, complete); err != nil {
			t.Fatal(err)
		}
	}
	first, _ := measureAllocs(func() { src.joined = joinedParts{}; check(parts, true) })
	again, _ := measureAllocs(func() { check(parts, true) })
	if again > first/10 {
		t.Errorf("the second check makes %.0f allocations, the first %.0f", again, first)
	}
	check(changed, false)
	for n := range src.joined.m.AllTenants() {
		if n.Name == "tenant-0" && n.Rate != 4 {
			t.Errorf("the check used the parts of the previous one: %+v", n)
		}
	}
	invalid := maps.Clone(changed)
	for name := range invalid {
		invalid[name] = "{}"
	}
	if err := src.CheckParts(invalid, false); err == nil {
		t.Error("invalid parts passed the check after valid ones")
	}
	check(changed, false)
	if err := src.ApplyParts(configstore.ID{Version: 2, Digest: 2}, changed, false); err != nil {
		t.Fatal(err)
	}
	if src.latest.Version != 4 || src.joined.m != nil {
		t.Errorf("version %d applied, join result still kept: %v", src.latest.Version, src.joined.m != nil)
	}
}
