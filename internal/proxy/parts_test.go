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

// fleetOf is a map of so many servers and tenants.
func fleetOf(servers, tenants int) *cells.Map {
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

// next is a map of the next version, in which a tenant has another rate; its file has the same size.
func next(m *cells.Map) *cells.Map {
	n := *m.Flat()
	n.Version++
	n.Tenants = slices.Clone(n.Tenants)
	n.Tenants[0].Rate = float64(n.Version % 10)
	return &n
}

// beyondTick waits until a change of a file has another time than all those before.
func beyondTick(t *testing.T) {
	t.Helper()
	probe := filepath.Join(t.TempDir(), "probe")
	change := func() int64 {
		if err := os.WriteFile(probe, nil, 0o600); err != nil {
			t.Fatal(err)
		}
		l, err := stampOf(probe, 0)
		if err != nil {
			t.Fatal(err)
		}
		return l.ctime
	}
	for first := change(); change() == first; time.Sleep(time.Millisecond) {
	}
}

// cost is how often and how much a function allocates.
func cost(f func()) (allocs, size float64) {
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

// pagesOf is how many bytes of pages were written to a state.
func pagesOf(s *stateFile) int64 {
	all := s.db.Stats()
	return all.TxStats.GetPageAlloc()
}

// ---- A file ----

// A file that is unchanged is neither read nor parsed nor written again, however large: its map is the same, by now.
func TestUnchangedFileCostsNothing(t *testing.T) {
	measure := func(tenants int) (allocs, size, written float64) {
		dir := t.TempDir()
		path := filepath.Join(dir, "cells.json")
		if err := WriteMap(path, fleetOf(tenants/20, tenants)); err != nil {
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
		pages := pagesOf(f.state)
		runs := 0
		allocs, size = cost(func() {
			runs++
			now := time.Now()
			again, read, err := f.Load(m)
			if err != nil || again != m || read.Before(now) {
				t.Fatalf("another map, read %v after, %v", read.Sub(now), err)
			}
		})
		return allocs, size, float64(pagesOf(f.state)-pages) / float64(runs)
	}
	allocs, size, written := measure(100)
	more, larger, longer := measure(5000)
	t.Logf("100 tenants: %v allocations of %.0f bytes, pages of %.0f; 5,000: %v of %.0f, pages of %.0f", allocs, size, written, more, larger, longer)
	if more > allocs+20 || larger > size+32<<10 || longer > written+32<<10 {
		t.Errorf("100 tenants: %v allocations of %.0f bytes, pages of %.0f; 5,000: %v of %.0f, pages of %.0f", allocs, size, written, more, larger, longer)
	}
}

// Whatever changes a file, or a folder of versions, is noticed at the next look, and what is unchanged is the same map again.
func TestChangesAreNoticed(t *testing.T) {
	write := func(t *testing.T, path string, m *cells.Map) {
		t.Helper()
		if err := os.WriteFile(path, settings.FormatCells(m), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name   string
		change func(t *testing.T, path string, m *cells.Map) // to the next of a map
		fails  string
	}{
		{"in place, of the same size", func(t *testing.T, path string, m *cells.Map) { write(t, path, next(m)) }, ""},
		{"grown", func(t *testing.T, path string, m *cells.Map) {
			n := next(m)
			n.Tenants = append(n.Tenants, cells.Tenant{Name: "new", Homes: []cells.Home{{Cell: "a"}}})
			write(t, path, n)
		}, ""},
		{"replaced", func(t *testing.T, path string, m *cells.Map) {
			if err := WriteMap(path, next(m)); err != nil {
				t.Fatal(err)
			}
		}, ""},
		{"of the same size and time", func(t *testing.T, path string, m *cells.Map) {
			was, err := os.Stat(path)
			if err != nil {
				t.Fatal(err)
			}
			write(t, path, next(m))
			if err := os.Chtimes(path, was.ModTime(), was.ModTime()); err != nil {
				t.Fatal(err)
			}
		}, ""},
		{"replaced by an older file of the same size", func(t *testing.T, path string, m *cells.Map) {
			write(t, path+".other", next(m))
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
			write(t, path, next(m))
		}, ""},
		{"no good", func(t *testing.T, path string, m *cells.Map) {
			if err := os.Truncate(path, 100); err != nil {
				t.Fatal(err)
			}
		}, "not JSON"},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "cells.json")
			write(t, path, fleetOf(4, 10))
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
				t.Fatalf("unchanged, and not the same: %v", err)
			}
			beyondTick(t)
			c.change(t, path, m)
			n, _, err := f.Load(m)
			if c.fails != "" {
				if err == nil || !strings.Contains(err.Error(), c.fails) {
					t.Fatalf("%v, want %s", err, c.fails)
				}
				if _, _, err := f.Load(m); err == nil {
					t.Fatal("an error is one once only")
				}
				beyondTick(t)
				write(t, path, next(m))
				n, _, err = f.Load(m)
			}
			if err != nil || n.Version != m.Version+1 {
				t.Fatalf("%v, %v", n, err)
			}
			if again, _, err := f.Load(n); err != nil || again != n {
				t.Fatalf("unchanged, and not the same: %v", err)
			}
		})
	}
}

// The same for the head of a folder: a version that comes, one that is mended above the head, and a head that goes.
func TestChangesOfAFolderAreNoticed(t *testing.T) {
	dir := t.TempDir()
	s := VersionDir{dir}
	put := func(m *cells.Map) {
		t.Helper()
		if err := s.Put(m.Version, settings.FormatCells(m)); err != nil {
			t.Fatal(err)
		}
	}
	first := fleetOf(4, 10)
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
	looked := func(what string, version int) {
		t.Helper()
		n, _, err := f.Load(m)
		if err != nil || n.Version != version {
			t.Fatalf("%s: %v", what, err)
		}
		if again, _, err := f.Load(n); err != nil || again != n {
			t.Fatalf("%s: unchanged, and not the same: %v", what, err)
		}
		m = n
		beyondTick(t)
	}
	looked("nothing", 3)
	second := next(first)
	put(second)
	looked("the next", 4)
	third := next(second)
	text := settings.FormatCells(third)
	if err := os.WriteFile(s.path(5), text[:50], 0o600); err != nil {
		t.Fatal(err)
	}
	looked("one that is no good", 4)
	if n := len(f.stamps); n != 3 {
		t.Errorf("%d looks at a folder, its head, and one above it", n)
	}
	if err := os.WriteFile(s.path(5), text, 0o600); err != nil {
		t.Fatal(err)
	}
	looked("that one mended in place", 5)
	if n := len(f.stamps); n != 2 {
		t.Errorf("%d looks at a folder and its head", n)
	}
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
	if _, _, err := f.Load(m); err == nil {
		t.Error("a folder that has gone is no error")
	}
}

// Two changes within one tick of the clock look alike: so a file that changed lately is read at each look. One that had settled when
// it was looked at is not, which is all that a look says.
func TestChangeWithinATick(t *testing.T) {
	for _, lately := range []bool{true, false} {
		path := filepath.Join(t.TempDir(), "cells.json")
		if err := WriteMap(path, fleetOf(4, 10)); err != nil {
			t.Fatal(err)
		}
		f, err := OpenFileSource(path, "")
		if err != nil {
			t.Fatal(err)
		}
		f.settleTime = map[bool]time.Duration{true: math.MaxInt64, false: 0}[lately]
		m, _, err := f.Load(nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := WriteMap(path, next(m)); err != nil {
			t.Fatal(err)
		}
		if f.stamps, err = stampsOf(path, f.settleTime); err != nil { // as if the first had had the same time, size and place
			t.Fatal(err)
		}
		n, _, err := f.Load(m)
		if err != nil || (n.Version == m.Version+1) != lately {
			t.Errorf("lately %v: version %d after %d, %v", lately, n.Version, m.Version, err)
		}
	}
}

// ---- Maps in parts ----

// agreedOn is a source whose group has agreed on a map, in parts.
func agreedOn(t *testing.T, state string, m *cells.Map) *GroupSource {
	t.Helper()
	a, err := OpenGroupSource(state)
	if err != nil {
		t.Fatal(err)
	}
	closeLater(t, a)
	if err := a.CheckParts(settings.SplitCells(m), true); err != nil {
		t.Fatal(err)
	}
	if err := a.ApplyParts(configstore.ID{Version: 70, Digest: 77}, settings.SplitCells(m), true); err != nil {
		t.Fatal(err)
	}
	a.Confirm(time.Now())
	return a
}

// delta are the parts by which a map differs from another.
func delta(old, m *cells.Map) map[string]string {
	was, is := settings.SplitCells(old), settings.SplitCells(m)
	maps.DeleteFunc(is, func(name, text string) bool { return was[name] == text })
	return is
}

// A router takes the parts that changed, on top of those that it has; one that is no good, or can't follow, leaves all as it was. What
// it has outlives it, with the digest by which the group names it.
func TestGroupSourceInParts(t *testing.T) {
	state := filepath.Join(t.TempDir(), "state.db")
	first := fleetOf(10, 200)
	a := agreedOn(t, state, first)
	m, _, err := a.Load(nil)
	if err != nil || len(cells.Diff(first, m))+len(cells.Diff(m, first)) > 0 {
		t.Fatalf("%v", err)
	}
	if digest, ok := a.DigestOf(m); !ok || digest != 77 {
		t.Errorf("named %d, %v", digest, ok)
	}
	second := next(m)
	gone := *second
	gone.Tenants = second.Tenants[1:]
	for _, c := range []struct {
		changed map[string]string
		whole   bool
		want    string
	}{
		{delta(m, &gone), false, `tenants: "tenant-0" is gone`},
		{map[string]string{"top": `{"version":2}`}, false, "version: 2 is not above that in force, 3"},
		{map[string]string{"t00": `{"tenants":[{}]}`}, false, "part t00: tenants[0]"},
		{delta(m, second), true, "part head: missing"},
	} {
		if err := a.CheckParts(c.changed, c.whole); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
	if err := a.ApplyParts(configstore.ID{Version: 71, Digest: 78}, map[string]string{"t00": `{"tenants":[{}]}`}, false); err == nil {
		t.Error("a part that is no good is taken")
	}
	if again, _, err := a.Load(m); err != nil || again != m {
		t.Errorf("the map before does not hold: %v", err)
	}
	changed := delta(m, second)
	if len(changed) != 2 {
		t.Fatalf("changed: %v", slices.Sorted(maps.Keys(changed)))
	}
	if err := a.CheckParts(changed, false); err != nil {
		t.Fatal(err)
	}
	third := next(second)
	third.Tenants[0].Rate, third.Tenants[1].Rate = second.Tenants[0].Rate, 9 // another part than the second
	for i, m := range []*cells.Map{second, third} {                          // two before the router asks
		if err := a.ApplyParts(configstore.ID{Version: 71 + i, Digest: 78 + uint64(i)}, delta([]*cells.Map{first, second}[i], m), false); err != nil {
			t.Fatal(err)
		}
	}
	asked := time.Now()
	a.Confirm(asked)
	n, known, err := a.Load(m)
	if err != nil || !known.Equal(asked) || len(cells.Diff(third, n)) > 0 || n.Version != third.Version || !n.SameServers(m) {
		t.Fatalf("%v: %q", err, cells.Diff(third, n))
	}
	closeNow(t, a)

	a, err = OpenGroupSource(state)
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, a)
	m, since, err := a.Load(nil)
	if err != nil || m.Version != third.Version || len(cells.Diff(third, m))+len(cells.Diff(m, third)) > 0 || since.UnixMilli() != asked.UnixMilli() {
		t.Fatalf("after a restart: %v, known %v after", err, since.Sub(asked))
	}
	if digest, ok := a.DigestOf(m); !ok || digest != 79 {
		t.Errorf("after a restart it is named %d, %v", digest, ok)
	}
	fourth := next(third)
	if err := a.ApplyParts(configstore.ID{Version: 73, Digest: 80}, delta(third, fourth), false); err != nil {
		t.Fatal(err)
	}
	a.Confirm(time.Now())
	if n, _, err := a.Load(m); err != nil || len(cells.Diff(fourth, n)) > 0 || !n.SameServers(m) {
		t.Errorf("on what was kept: %v", err)
	}
	// A group that is of an older build again sends it whole.
	fifth := next(fourth)
	if err := a.Apply(string(settings.FormatCells(fifth))); err != nil {
		t.Fatal(err)
	}
	a.Confirm(time.Now())
	n, _, err = a.Load(m)
	if err != nil || n.Version != fifth.Version {
		t.Fatal(err)
	}
	if _, ok := a.DigestOf(n); ok {
		t.Error("a whole map is named by a digest of parts")
	}
	sixth := next(fifth)
	if err := a.ApplyParts(configstore.ID{Version: 75, Digest: 82}, delta(fifth, sixth), false); err != nil {
		t.Fatal(err)
	}
	a.Confirm(time.Now())
	if n, _, err := a.Load(n); err != nil || len(cells.Diff(sixth, n)) > 0 {
		t.Fatal(err)
	}
	closeNow(t, a)
	a, err = OpenGroupSource(state)
	if err != nil {
		t.Fatal(err)
	}
	defer closeNow(t, a)
	if m, _, err := a.Load(nil); err != nil || m.Version != sixth.Version || len(cells.Diff(sixth, m))+len(cells.Diff(m, sixth)) > 0 {
		t.Errorf("after another restart: %v", err)
	}
}

// A change of one tenant writes its part, and a confirmation the time, however many tenants there are.
func TestStateWritesWhatChanged(t *testing.T) {
	measure := func(tenants int) (change, confirm int64) {
		first := fleetOf(10, tenants)
		a := agreedOn(t, filepath.Join(t.TempDir(), "state.db"), first)
		m, _, err := a.Load(nil)
		if err != nil {
			t.Fatal(err)
		}
		pages := func() int64 { return pagesOf(a.state) }
		before := pages()
		if err := a.ApplyParts(configstore.ID{Version: 71, Digest: 78}, delta(m, next(m)), false); err != nil {
			t.Fatal(err)
		}
		a.Confirm(time.Now())
		m, _, err = a.Load(m)
		if err != nil || m.Version != 4 {
			t.Fatal(err)
		}
		change, before = pages()-before, pages()
		a.Confirm(time.Now().Add(time.Minute))
		if _, _, err := a.Load(m); err != nil {
			t.Fatal(err)
		}
		if confirm = pages() - before; confirm == 0 {
			t.Fatal("a confirmation is not kept")
		}
		return change, confirm
	}
	change, confirm := measure(200)
	more, longer := measure(5000)
	t.Logf("200 tenants: a change writes %d bytes of pages, a confirmation %d; 5,000: %d and %d", change, confirm, more, longer)
	if more > change+64<<10 || longer > confirm+16<<10 {
		t.Errorf("200 tenants: a change writes %d bytes of pages, a confirmation %d; 5,000: %d and %d", change, confirm, more, longer)
	}
}

// The state of a build that knew no parts is read, and nothing is left in its place that such a build could take for its own; what it
// writes when it comes back is newer than what stands beside it.
func TestStateOfAnOlderBuild(t *testing.T) {
	for _, kind := range []string{"a file", "the group's, whole", "the group's, in parts"} {
		t.Run(kind, func(t *testing.T) {
			state := filepath.Join(t.TempDir(), "state.db")
			raw := func(do func(b *bbolt.Bucket) error) {
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
			older := func(m *cells.Map, at time.Time) { // as it writes
				raw(func(b *bbolt.Bucket) error {
					return errors.Join(b.Put([]byte("map"), settings.FormatCells(m)),
						b.Put([]byte("read"), binary.BigEndian.AppendUint64(nil, uint64(at.UnixMilli()))))
				})
			}
			m, at := fleetOf(4, 10), time.Now().Add(-time.Minute)
			path := filepath.Join(t.TempDir(), "cells.json")
			for range 2 { // the second time it has come back meanwhile
				older(m, at)
				bad := os.WriteFile(path, []byte("{"), 0o600)
				if bad != nil {
					t.Fatal(bad)
				}
				n := next(m)
				var kept *cells.Map
				var since time.Time
				var err error
				if kind == "a file" {
					var f *FileSource
					if f, err = OpenFileSource(path, state); err == nil {
						kept, since, err = f.Load(nil)
						if bad := WriteMap(path, n); bad != nil {
							t.Fatal(bad)
						}
						if m, _, bad := f.Load(kept); bad != nil || m.Version != n.Version {
							t.Fatal(bad)
						}
						closeNow(t, f)
					}
				} else {
					var a *GroupSource
					if a, err = OpenGroupSource(state); err == nil {
						kept, since, err = a.Load(nil)
						take := a.Apply(string(settings.FormatCells(n)))
						if kind == "the group's, in parts" {
							take = a.ApplyParts(configstore.ID{Version: 9, Digest: 9}, delta(m, n), false)
						}
						if take != nil {
							t.Fatal(take)
						}
						a.Confirm(time.Now())
						if m, _, bad := a.Load(kept); bad != nil || m.Version != n.Version {
							t.Fatal(bad)
						}
						closeNow(t, a)
					}
				}
				if err != nil || kept.Version != m.Version || since.UnixMilli() != at.UnixMilli() {
					t.Fatalf("%v: version %v", err, kept)
				}
				raw(func(b *bbolt.Bucket) error {
					if b.Get([]byte("map")) != nil || b.Get([]byte("read")) != nil {
						t.Error("an older build would find half of it")
					}
					return nil
				})
				m, at = next(n), at.Add(time.Second)
			}
		})
	}
}

// ---- A router ----

func runnerOn(t *testing.T, src Source, out io.Writer, dial func(context.Context, string) (*msgpackrpc.Conn, error)) *Runner {
	t.Helper()
	r, err := New(Config{Name: "r", Source: src, Cores: 1, HealthCheckInterval: time.Hour, MaxConnections: 10, Dial: dial}, &router{}, log.New(out, "", 0), &metrics.Counters{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// What was taken in parts goes by the group's digest, beside the map's own version; all else by its text, as ever.
func TestRouterNamesTheMap(t *testing.T) {
	m := fleetOf(4, 10)
	a := agreedOn(t, "", m)
	r := runnerOn(t, a, io.Discard, nil)
	if id := r.current.Load().id; id != (configstore.ID{Version: 3, Digest: 77}) {
		t.Errorf("in parts: %v", id)
	}
	if err := a.Apply(string(settings.FormatCells(next(m)))); err != nil {
		t.Fatal(err)
	}
	a.Confirm(time.Now())
	r.Reload()
	if id := r.current.Load().id; id != configstore.NewID(4, settings.FormatCells(next(m))) {
		t.Errorf("whole: %v", id)
	}
}

// To read an unchanged map again costs a router the same for every map, and to take up a change of one tenant the same for every
// number of others.
func TestReloadCostsWhatChanged(t *testing.T) {
	measure := func(tenants int) (rest, restSize, change, changeSize float64) {
		m := fleetOf(tenants/20, tenants)
		a := agreedOn(t, "", m)
		r := runnerOn(t, a, io.Discard, nil)
		rest, restSize = cost(func() {
			a.Confirm(time.Now())
			r.Reload()
		})
		version := 3
		change, changeSize = cost(func() {
			version++
			top := map[string]string{"top": fmt.Sprintf(`{"version":%d}`, version), "t00": `{"tenants":[]}`}
			if version == 4 { // whoever stands there first is moved out of the way by the test, not by the group
				a.mu.Lock()
				var err error
				if a.latest.Map, err = settings.JoinCells(a.latest.Map, map[string]string{"t00": `{"tenants":[]}`}); err != nil {
					t.Fatal(err)
				}
				a.delivered = a.latest
				a.mu.Unlock()
				r.current.Store(&mapInForce{Map: a.latest.Map, confirmedAt: time.Now(), id: r.current.Load().id, name: r.current.Load().name})
			}
			if err := a.ApplyParts(configstore.ID{Version: version, Digest: uint64(version)}, top, false); err != nil {
				t.Fatal(err)
			}
			a.Confirm(time.Now())
			r.Reload()
			if v := r.current.Load(); v.Version != version || v.id.Digest != uint64(version) {
				t.Fatalf("version %d, named %v, want %d", v.Version, v.id, version)
			}
		})
		return
	}
	a1, b1, c1, d1 := measure(400)
	a2, b2, c2, d2 := measure(5000)
	t.Logf("400 tenants: at rest %v of %.0f bytes, a change %v of %.0f; 5,000: %v of %.0f, %v of %.0f", a1, b1, c1, d1, a2, b2, c2, d2)
	if a2 > a1+5 || b2 > b1+4096 || c2 > c1+10 || d2 > d1+8192 {
		t.Errorf("400 tenants: at rest %v of %.0f bytes, a change %v of %.0f; 5,000: %v of %.0f, %v of %.0f", a1, b1, c1, d1, a2, b2, c2, d2)
	}
}

// A router's status can be read however large its map is: of tenants it has those that have moved, and of parts those that are lent or
// were asked for, and all others together.
func TestStatusOfALargeFleet(t *testing.T) {
	for _, tenants := range []int{20, 21_000} {
		m := fleetOf(930, tenants)
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
		r := runnerOn(t, agreedOn(t, "", m), io.Discard, nil)
		r.ShareQuota(470, true)
		text := r.Status()
		if len(text) > msgpackrpc.MaxCallBody/2 {
			t.Errorf("of %d tenants it has %d bytes", tenants, len(text))
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
			t.Errorf("of %d tenants it has the moves of %d", tenants, len(s.Tenants))
		}
		for i, cell := range m.Cells {
			sum, want, listed := s.Rest[cell.Name], 0.0, 0
			for _, p := range s.Parts[cell.Name] {
				sum += p
			}
			if i < tenants { // a tenant lives there
				want = 30 * 10 * quota.UsableRatio * quota.ReservedRatio / 470
			}
			if i < tenants && tenants < 100 {
				listed = 1
			}
			if math.Abs(sum-want) > want/1000 || len(s.Parts[cell.Name]) != listed {
				t.Errorf("of %d tenants cell %s has %d parts, with the rest %g, want %g", tenants, cell.Name, len(s.Parts[cell.Name]), sum, want)
			}
		}
	}
}

// What there is to share is told anew where the map, or a server by the time in it, has changed, and else not at all.
func TestQuotaCapacityIsSetOnce(t *testing.T) {
	defer func(was func() time.Time) { Wall = was }(Wall)
	now := time.Now()
	Wall = func() time.Time { return now }
	m := fleetOf(4, 2)
	m.Servers[0].LeavesAt = now.Add(time.Minute).UnixMilli()
	a := agreedOn(t, "", m)
	r := runnerOn(t, a, io.Discard, nil)
	r.ShareQuota(1, true)
	part := func() float64 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.updateQuotaCapacity()
		return r.quota.Rate(r.leaseClock(), quota.Key{Cell: "a", Tenant: "tenant-0"})
	}
	whole := part()
	told := r.quotaCapacity
	if whole <= 0 || testing.AllocsPerRun(10, func() { part() }) > 0 || r.quotaCapacity != told {
		t.Errorf("part %v, told again", whole)
	}
	now = now.Add(time.Minute) // one of the two servers of its cell is gone
	if half := part(); math.Abs(half-whole/2) > 1e-9 {
		t.Errorf("%v, of %v before", half, whole)
	}
	now = now.Add(-2 * time.Minute) // by a clock that was set back
	if p := part(); p != whole {
		t.Errorf("%v, want %v", p, whole)
	}
	more := next(m)
	more.Cells = []cells.Cell{{Name: "a", Capacity: 30}, {Name: "b", Capacity: 10}}
	if err := a.ApplyParts(configstore.ID{Version: 9, Digest: 9}, delta(m, more), false); err != nil {
		t.Fatal(err)
	}
	a.Confirm(time.Now())
	r.Reload()
	if p := part(); math.Abs(p-3*whole) > 1e-9 {
		t.Errorf("of a map with three times as much: %v, of %v", p, whole)
	}
}

// The health of all servers is looked through at the end of a round of health checks, and not after each answer: none is missing then.
func TestHealthIsLoggedAtTheEndOfARound(t *testing.T) {
	const servers = 60
	var out bytes.Buffer
	refused := func(context.Context, string) (*msgpackrpc.Conn, error) { return nil, errors.New("refused") }
	r := runnerOn(t, agreedOn(t, "", fleetOf(servers, 2)), &out, refused)
	r.mu.Lock()
	r.lastHealthReport = r.clock() + time.Hour // no other occasion
	r.mu.Unlock()
	for s := range r.Map().AllServers() {
		r.checkHealth(t.Context(), *s)
	}
	if len(r.loggedHealth) != 0 {
		t.Errorf("after single answers the health of %d is told", len(r.loggedHealth))
	}
	r.checkAll(t.Context())
	if len(r.loggedHealth) != servers {
		t.Errorf("after a round the health of %d is told, of %d", len(r.loggedHealth), servers)
	}
}

// ---- Benchmarks ----

func benchmark(b *testing.B, f func(b *testing.B, tenants int)) {
	for _, tenants := range []int{100, 1000, 21000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) { f(b, tenants) })
	}
}

// BenchmarkLoad is the look of a third of a lease at a file that is unchanged.
func BenchmarkLoad(b *testing.B) {
	for _, kept := range []bool{false, true} {
		b.Run(fmt.Sprint("kept ", kept), func(b *testing.B) {
			benchmark(b, func(b *testing.B, tenants int) {
				dir := b.TempDir()
				path, state := filepath.Join(dir, "cells.json"), ""
				if kept {
					state = filepath.Join(dir, "state.db")
				}
				if err := WriteMap(path, fleetOf(930, tenants)); err != nil {
					b.Fatal(err)
				}
				time.Sleep(2100 * time.Millisecond) // until it has settled
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

// BenchmarkProbe is a server's failed probe, beside 929 others.
func BenchmarkProbe(b *testing.B) {
	for _, servers := range []int{10, 930} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			r, err := New(Config{Name: "r", Source: fixedMap{fleetOf(servers, 2)}, HealthCheckInterval: time.Second, MaxConnections: 10,
				Dial: func(context.Context, string) (*msgpackrpc.Conn, error) { return nil, errors.New("refused") }}, &router{}, log.New(io.Discard, "", 0), &metrics.Counters{})
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

// A change that was announced just a lease ahead can be checked in time and be too late as it comes into force, as the old map was
// confirmed once more between. A router on which that happens, and be it all of them, stops by the old map once its lease is over, and then
// takes up the new one.
func TestTooLateAsItComesIntoForce(t *testing.T) {
	m := fleetOf(4, 10)
	m.Lease = 300 * time.Millisecond
	a := agreedOn(t, "", m)
	r := runnerOn(t, a, io.Discard, nil)
	a.Confirm(time.Now())
	r.Reload()
	n := *next(m)
	n.Tenants[1].Homes = append(slices.Clone(n.Tenants[1].Homes), cells.Home{Cell: "a", Since: time.Now().Add(m.Lease+m.MaxClockSkew).UnixMilli() + 1})
	changed := delta(m, &n)
	time.Sleep(20 * time.Millisecond)
	if err := a.CheckParts(changed, false); err != nil {
		t.Fatal(err)
	}
	a.Confirm(time.Now())
	r.Reload()
	if err := a.ApplyParts(configstore.ID{Version: 71, Digest: 78}, changed, false); err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	for r.current.Load().Version != n.Version {
		if time.Since(began) > 20*time.Second {
			t.Fatalf("it goes by map %d", r.current.Load().Version)
		}
		a.Confirm(time.Now())
		r.Reload()
		time.Sleep(10 * time.Millisecond)
	}
	if took := time.Since(began); took < m.Lease {
		t.Errorf("it took it up after %v, and may have sent by the old one within its lease", took)
	}
	if v := r.verdict(r.current.Load()); v != configstore.VerdictSettling && v != configstore.VerdictValid {
		t.Errorf("it is %v", v)
	}
}

// A change that waits is checked again and again, which reads its parts once; another one, and the same on another map, is read.
func TestCheckedOnceRead(t *testing.T) {
	a, err := OpenGroupSource("")
	if err != nil {
		t.Fatal(err)
	}
	m := fleetOf(30, 3000)
	texts := settings.SplitCells(m)
	if err := a.ApplyParts(configstore.ID{Version: 1, Digest: 1}, texts, true); err != nil {
		t.Fatal(err)
	}
	changed := map[string]string{}
	for name, text := range settings.SplitCells(next(m)) {
		if texts[name] != text {
			changed[name] = text
		}
	}
	check := func(changed map[string]string, whole bool) {
		if err := a.CheckParts(changed, whole); err != nil {
			t.Fatal(err)
		}
	}
	first, _ := cost(func() { a.joined = joinedParts{}; check(texts, true) })
	again, _ := cost(func() { check(texts, true) })
	if again > first/10 {
		t.Errorf("checked again it allocates %.0f times, of %.0f at first", again, first)
	}
	check(changed, false)
	for n := range a.joined.m.AllTenants() {
		if n.Name == "tenant-0" && n.Rate != 4 {
			t.Errorf("it was checked by what was read before: %+v", n)
		}
	}
	spoilt := maps.Clone(changed)
	for name := range spoilt {
		spoilt[name] = "{}"
	}
	if err := a.CheckParts(spoilt, false); err == nil {
		t.Error("spoilt parts pass after good ones")
	}
	check(changed, false)
	if err := a.ApplyParts(configstore.ID{Version: 2, Digest: 2}, changed, false); err != nil {
		t.Fatal(err)
	}
	if a.latest.Version != 4 || a.joined.m != nil {
		t.Errorf("taken %d, and still kept: %v", a.latest.Version, a.joined.m != nil)
	}
}
