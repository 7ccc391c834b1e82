package settings

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silverpath/internal/policy/cells"
)

// A fixed seed makes property tests deterministic.
func init() { _ = flag.Set("rapid.seed", "7"); _ = flag.Set("rapid.nofailfile", "true") }

var t0 = time.UnixMilli(1_800_000_000_000)

// generateMap returns a map with the given numbers of servers and tenants. Every hundredth server leaves, and about every tenth tenant
// has moved to another cell. At most four tenants are in part t00, so that the size of that part does not grow with the map.
func generateMap(servers, tenants int) *cells.Map {
	m := &cells.Map{Version: 7, Epoch: 3, KeyWindow: 13 * time.Second, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second, CallerTimeout: 4 * time.Second}
	for i := range 1 + servers/30 {
		m.Cells = append(m.Cells, cells.Cell{Name: fmt.Sprint("c", i), Capacity: 100})
	}
	for i := range servers {
		s := cells.Server{Name: fmt.Sprint("s", i), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Cell: m.Cells[i%len(m.Cells)].Name, Weight: 1}
		if i%100 == 99 {
			s.LeavesAt = t0.UnixMilli() + int64(i)
		}
		m.Servers = append(m.Servers, s)
	}
	inFirstPart := 0
	for i := 0; len(m.Tenants) < tenants; i++ {
		t := cells.Tenant{Name: fmt.Sprint("tenant-", i), Rate: float64(i%50) + 0.5, Homes: []cells.Home{{Cell: m.Cells[i%len(m.Cells)].Name, ShardSize: i % 4}}}
		if cells.TenantPart(t.Name) == 0 {
			if inFirstPart++; inFirstPart > 4 {
				continue
			}
		}
		if i%10 == 0 {
			t.Homes = append(t.Homes, cells.Home{Cell: m.Cells[(i+1)%len(m.Cells)].Name, Since: t0.UnixMilli() - int64(i)})
		}
		m.Tenants = append(m.Tenants, t)
	}
	return m
}

// Joining the parts of a map gives an equivalent map, in whatever order its entries are. Joining the parts that differ between two maps
// to the first one gives the second and leaves the first unchanged.
func TestSplitAndJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := generateMap(rapid.IntRange(1, 70).Draw(t, "servers"), rapid.IntRange(0, 90).Draw(t, "tenants"))
		if rapid.Bool().Draw(t, "others") {
			m.Tenants = append(m.Tenants, cells.Tenant{Name: "", Rate: 1, Homes: []cells.Home{{Cell: "c0"}}})
		}
		if err := m.Check(); err != nil {
			t.Fatal(err)
		}
		texts := SplitCells(m)
		if !slices.Equal(slices.Sorted(maps.Keys(texts)), slices.Sorted(slices.Values(CellParts()))) {
			t.Fatalf("parts %v", slices.Sorted(maps.Keys(texts)))
		}
		shuffled := *m
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		shuffled.Cells, shuffled.Servers, shuffled.Tenants = slices.Clone(m.Cells), slices.Clone(m.Servers), slices.Clone(m.Tenants)
		r.Shuffle(len(shuffled.Cells), func(i, j int) { shuffled.Cells[i], shuffled.Cells[j] = shuffled.Cells[j], shuffled.Cells[i] })
		r.Shuffle(len(shuffled.Servers), func(i, j int) { shuffled.Servers[i], shuffled.Servers[j] = shuffled.Servers[j], shuffled.Servers[i] })
		r.Shuffle(len(shuffled.Tenants), func(i, j int) { shuffled.Tenants[i], shuffled.Tenants[j] = shuffled.Tenants[j], shuffled.Tenants[i] })
		if !maps.Equal(texts, SplitCells(&shuffled)) {
			t.Fatal("the texts of the parts depend on the order of the entries")
		}
		joined, err := JoinCells(nil, texts)
		if err != nil {
			t.Fatal(err)
		}
		requireEquivalent(t, m, joined)
		if !maps.Equal(texts, SplitCells(joined)) {
			t.Fatal("splitting the joined map gives different texts")
		}
		reparsed, err := ParseCells(FormatCells(joined))
		if err != nil {
			t.Fatal(err)
		}
		requireEquivalent(t, joined, reparsed)

		next := *m
		next.Servers, next.Tenants = slices.Clone(m.Servers), slices.Clone(m.Tenants)
		next.Version++
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				next.KeyWindow += time.Second
			case 1:
				next.Servers[rapid.IntRange(0, len(next.Servers)-1).Draw(t, "server")].Weight++
			case 2:
				next.Tenants = append(next.Tenants, cells.Tenant{Name: fmt.Sprint("new", len(next.Tenants)), Homes: []cells.Home{{Cell: "c0"}}})
			case 3:
				if n := len(next.Tenants); n > 0 {
					next.Tenants = slices.Delete(next.Tenants, n/2, n/2+1)
				}
			}
		}
		delta := SplitCells(&next)
		maps.DeleteFunc(delta, func(name, text string) bool { return texts[name] == text })
		want, err := ParseCells(FormatCells(&next))
		if err != nil {
			t.Fatal(err)
		}
		for _, base := range []*cells.Map{joined, reparsed} {
			got, err := JoinCells(base, delta)
			if err != nil {
				t.Fatal(err)
			}
			requireEquivalent(t, want, got)
		}
		requireEquivalent(t, m, joined) // JoinCells has not changed its argument
	})
}

// requireEquivalent checks that two maps have the same content and route requests of sampled tenants to the same servers.
func requireEquivalent(t *rapid.T, m, other *cells.Map) {
	if d := append(cells.Diff(m, other), cells.Diff(other, m)...); len(d) > 0 || m.Version != other.Version || m.Epoch != other.Epoch {
		t.Fatalf("version %d, epoch %d and %d, %d: %q", m.Version, m.Epoch, other.Version, other.Epoch, d)
	}
	for range 3 {
		tenant := fmt.Sprint("tenant-", rapid.IntRange(0, 100).Draw(t, "tenant"))
		key := rapid.SampledFrom([]string{"", "k1", "k2"}).Draw(t, "key")
		now := t0.Add(time.Duration(rapid.IntRange(-30000, 30000).Draw(t, "at")) * time.Millisecond)
		a, okA := m.Route(now, tenant, key)
		b, okB := other.Route(now, tenant, key)
		slices.Sort(a.Servers)
		slices.Sort(b.Servers)
		if fmt.Sprint(a, okA) != fmt.Sprint(b, okB) {
			t.Fatalf("%s, %q at %v: %+v and %+v", tenant, key, now, a, b)
		}
	}
}

// The error for a part that is malformed, invalid or unknown names the part and the field. The old map stays unchanged.
func TestBadPart(t *testing.T) {
	m := generateMap(40, 100)
	old, err := JoinCells(nil, SplitCells(m))
	if err != nil {
		t.Fatal(err)
	}
	name := cells.TenantPartName(cells.TenantPart("tenant-1"))
	for _, c := range []struct{ part, text, want string }{
		{"t00", `{"tenants":[`, "part t00: not JSON"},
		{"t00", `[]`, "part t00: not a JSON object"},
		{"t00", `{}`, "part t00: tenants: missing"},
		{"s00", `{"servers":null}`, "part s00: servers: missing"},
		{"t00", `{"servers":[]}`, "part t00: servers: unknown"},
		{"t100", `{"tenants":[]}`, "part t100: no map has it"},
		{"top", `{"version":8,"window_ms":5}`, "part top: window_ms: unknown"},
		{"top", `{}`, "part top: version: under 1"},
		{"head", `{"window_ms":13000,"skew_ms":500,"lease_ms":5000,"patience_ms":4000,"cells":[]}`, "part head: cells: none"},
		{name, `{"tenants":[{"name":"tenant-1","rate":"1","homes":[{"cell":"c0"}]}]}`, "part " + name + ": tenants[0].rate: a string where a number belongs"},
		{name, `{"tenants":[{"name":"tenant-1","rate":1,"homes":[{"cell":"gone"}]}]}`, "part " + name + ": tenants[0].homes[0].cell: no such cell"},
		{"t00", `{"tenants":[{"name":"tenant-1","rate":1,"homes":[{"cell":"c0"}]}]}`, `part t00: tenants[0].name: "tenant-1" belongs in part ` + name},
	} {
		if _, err := JoinCells(old, map[string]string{c.part: c.text}); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("error %v, want %s", err, c.want)
		}
	}
	incomplete := SplitCells(m)
	delete(incomplete, "s07")
	if _, err := JoinCells(nil, incomplete); err == nil || err.Error() != "part s07: missing" {
		t.Errorf("JoinCells without part s07: error %v, want one that says that it is missing", err)
	}
	if d := append(cells.Diff(m, old), cells.Diff(old, m)...); len(d) > 0 {
		t.Errorf("the old map has changed: %q", d)
	}
}

// FormatCells writes the entries of a parsed map in the order of the file.
func TestFileKeepsItsOrder(t *testing.T) {
	m := generateMap(40, 100)
	slices.Reverse(m.Tenants)
	text := FormatCells(m)
	parsed, err := ParseCells(text)
	if err != nil || !bytes.Equal(FormatCells(parsed), text) {
		t.Errorf("the formatted map differs from the parsed text, error %v", err)
	}
	var v struct{ Tenants []struct{ Name string } }
	if err := json.Unmarshal(text, &v); err != nil || v.Tenants[0].Name != m.Tenants[0].Name {
		t.Errorf("error %v, first tenant %q", err, v.Tenants[0].Name)
	}
}

// onePartChange returns a map that was joined from its parts, and a change of its part t00, which has up to four tenants.
func onePartChange(servers, tenants int) (*cells.Map, map[string]string) {
	m := generateMap(servers, tenants)
	old, err := JoinCells(nil, SplitCells(m))
	if err != nil {
		panic(err)
	}
	return old, map[string]string{
		"t00": strings.Replace(SplitCells(m)["t00"], ".5,", ".75,", 1), "top": `{"version":8,"epoch":3}`,
	}
}

// measureAllocs returns the mean number of allocations and of allocated bytes of one call of f.
func measureAllocs(f func()) (allocs, size float64) {
	const runs = 50
	allocs = testing.AllocsPerRun(runs, f)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range runs {
		f()
	}
	runtime.ReadMemStats(&after)
	return allocs, float64(after.TotalAlloc-before.TotalAlloc) / runs
}

// Joining a change of one part allocates that part and one pointer for each other part, independent of the number of tenants. The same
// holds for checking that the new map may follow the old one and for comparing the two.
func TestChangeCostsWhatChanged(t *testing.T) {
	measure := func(tenants int) (allocs, size float64) {
		old, delta := onePartChange(930, tenants)
		if SplitCells(old)["t00"] == delta["t00"] {
			t.Fatal("the change leaves part t00 as it was")
		}
		return measureAllocs(func() {
			m, err := JoinCells(old, delta)
			if err != nil {
				t.Fatal(err)
			}
			if err := m.Follows(old, t0); err != nil {
				t.Fatal(err)
			}
			if d := cells.Diff(old, m); len(d) != 1 || !m.SameServers(old) {
				t.Fatalf("differences %q, want one that leaves the servers unchanged", d)
			}
		})
	}
	allocs, size := measure(1000)
	largeAllocs, largeSize := measure(21000)
	t.Logf("1,000 tenants: %v allocations of %.0f bytes; 21,000: %v of %.0f", allocs, size, largeAllocs, largeSize)
	if largeAllocs > allocs+5 || largeSize > size+2048 {
		t.Errorf("1,000 tenants: %v allocations of %.0f bytes; 21,000: %v of %.0f", allocs, size, largeAllocs, largeSize)
	}
}

// ---- Benchmarks ----

func benchmarkTenants(b *testing.B, f func(b *testing.B, tenants int)) {
	for _, tenants := range []int{100, 1000, 21000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) { f(b, tenants) })
	}
}

func BenchmarkJoinOnePart(b *testing.B) {
	benchmarkTenants(b, func(b *testing.B, tenants int) {
		old, delta := onePartChange(930, tenants)
		b.ReportAllocs()
		for b.Loop() {
			if _, err := JoinCells(old, delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkJoinAllParts(b *testing.B) {
	benchmarkTenants(b, func(b *testing.B, tenants int) {
		texts := SplitCells(generateMap(930, tenants))
		b.ReportAllocs()
		for b.Loop() {
			if _, err := JoinCells(nil, texts); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkSplitCells(b *testing.B) {
	benchmarkTenants(b, func(b *testing.B, tenants int) {
		m := generateMap(930, tenants)
		b.ReportAllocs()
		for b.Loop() {
			SplitCells(m)
		}
	})
}

func BenchmarkParseCells(b *testing.B) {
	benchmarkTenants(b, func(b *testing.B, tenants int) {
		text := FormatCells(generateMap(930, tenants))
		b.ReportAllocs()
		for b.Loop() {
			if _, err := ParseCells(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkFollowsOnePart(b *testing.B) {
	benchmarkTenants(b, func(b *testing.B, tenants int) {
		old, delta := onePartChange(930, tenants)
		m, err := JoinCells(old, delta)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			if err := m.Follows(old, t0); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkFollowsFiles(b *testing.B) {
	benchmarkTenants(b, func(b *testing.B, tenants int) {
		text := FormatCells(generateMap(930, tenants))
		old, _ := ParseCells(text)
		m, _ := ParseCells(text)
		m.Version++
		b.ReportAllocs()
		for b.Loop() {
			if err := m.Follows(old, t0); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkRoute(b *testing.B) {
	benchmarkTenants(b, func(b *testing.B, tenants int) {
		m, err := ParseCells(FormatCells(generateMap(930, tenants)))
		if err != nil {
			b.Fatal(err)
		}
		i := 0
		b.ReportAllocs()
		for b.Loop() {
			i = (i + 7919) % tenants
			if _, ok := m.Route(t0.Add(5*time.Second), m.Tenants[i].Name, "key"); !ok {
				b.Fatal("no route")
			}
		}
	})
}
