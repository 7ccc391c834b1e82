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

// Property tests take the same course every time.
func init() { _ = flag.Set("rapid.seed", "7"); _ = flag.Set("rapid.nofailfile", "true") }

var t0 = time.UnixMilli(1_800_000_000_000)

// fleetOf is a map of so many servers and tenants, of which every tenth has moved and every hundredth server leaves. Exactly four of
// its tenants stand in the part t00, however many there are.
func fleetOf(servers, tenants int) *cells.Map {
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
	first := 0
	for i := 0; len(m.Tenants) < tenants; i++ {
		t := cells.Tenant{Name: fmt.Sprint("tenant-", i), Rate: float64(i%50) + 0.5, Homes: []cells.Home{{Cell: m.Cells[i%len(m.Cells)].Name, Shard: i % 4}}}
		if cells.TenantPart(t.Name) == 0 {
			if first++; first > 4 {
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

// A map is its parts: what is split and joined again is the same map, whatever the order of its entries; and one in which something
// has changed, joined from the parts that differ, is the whole that it was made from.
func TestSplitAndJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fleetOf(rapid.IntRange(1, 70).Draw(t, "servers"), rapid.IntRange(0, 90).Draw(t, "tenants"))
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
		mixed := *m
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		mixed.Cells, mixed.Servers, mixed.Tenants = slices.Clone(m.Cells), slices.Clone(m.Servers), slices.Clone(m.Tenants)
		r.Shuffle(len(mixed.Cells), func(i, j int) { mixed.Cells[i], mixed.Cells[j] = mixed.Cells[j], mixed.Cells[i] })
		r.Shuffle(len(mixed.Servers), func(i, j int) { mixed.Servers[i], mixed.Servers[j] = mixed.Servers[j], mixed.Servers[i] })
		r.Shuffle(len(mixed.Tenants), func(i, j int) { mixed.Tenants[i], mixed.Tenants[j] = mixed.Tenants[j], mixed.Tenants[i] })
		if !maps.Equal(texts, SplitCells(&mixed)) {
			t.Fatal("another order gives other texts")
		}
		joined, err := JoinCells(nil, texts)
		if err != nil {
			t.Fatal(err)
		}
		alike(t, m, joined)
		if !maps.Equal(texts, SplitCells(joined)) {
			t.Fatal("what was joined gives other texts")
		}
		written, err := ParseCells(FormatCells(joined))
		if err != nil {
			t.Fatal(err)
		}
		alike(t, joined, written)

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
		whole, err := ParseCells(FormatCells(&next))
		if err != nil {
			t.Fatal(err)
		}
		for _, from := range []*cells.Map{joined, written} {
			got, err := JoinCells(from, delta)
			if err != nil {
				t.Fatal(err)
			}
			alike(t, whole, got)
		}
		alike(t, m, joined) // and is as it was
	})
}

// alike has two maps say the same, of what they are and of where requests go.
func alike(t *rapid.T, m, other *cells.Map) {
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

// A part that can't be read, or that no map has, is named with its field, and the map before holds.
func TestBadPart(t *testing.T) {
	m := fleetOf(40, 100)
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
			t.Errorf("%v, want %s", err, c.want)
		}
	}
	less := SplitCells(m)
	delete(less, "s07")
	if _, err := JoinCells(nil, less); err == nil || err.Error() != "part s07: missing" {
		t.Errorf("without a part: %v", err)
	}
	if d := append(cells.Diff(m, old), cells.Diff(old, m)...); len(d) > 0 {
		t.Errorf("the map before has changed: %q", d)
	}
}

// A map from a file is written in the file's order.
func TestFileKeepsItsOrder(t *testing.T) {
	m := fleetOf(40, 100)
	slices.Reverse(m.Tenants)
	text := FormatCells(m)
	read, err := ParseCells(text)
	if err != nil || !bytes.Equal(FormatCells(read), text) {
		t.Errorf("written otherwise, %v", err)
	}
	var v struct{ Tenants []struct{ Name string } }
	if err := json.Unmarshal(text, &v); err != nil || v.Tenants[0].Name != m.Tenants[0].Name {
		t.Errorf("%v: the first is %q", err, v.Tenants[0].Name)
	}
}

// joinsOne is a map in parts and a change of its part t00, which has four tenants.
func joinsOne(servers, tenants int) (*cells.Map, map[string]string) {
	m := fleetOf(servers, tenants)
	old, err := JoinCells(nil, SplitCells(m))
	if err != nil {
		panic(err)
	}
	return old, map[string]string{
		"t00": strings.Replace(SplitCells(m)["t00"], ".5,", ".75,", 1), "top": `{"version":8,"epoch":3}`,
	}
}

// cost is how often and how much a function allocates.
func cost(f func()) (allocs, size float64) {
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

// A change of one part costs that part and a pointer for each other, however many tenants and servers there are; so does the
// check that it can follow the map before, and what differs from it.
func TestChangeCostsWhatChanged(t *testing.T) {
	measure := func(tenants int) (allocs, size float64) {
		old, delta := joinsOne(930, tenants)
		if SplitCells(old)["t00"] == delta["t00"] {
			t.Fatal("nothing is changed")
		}
		return cost(func() {
			m, err := JoinCells(old, delta)
			if err != nil {
				t.Fatal(err)
			}
			if err := m.Follows(old, t0); err != nil {
				t.Fatal(err)
			}
			if d := cells.Diff(old, m); len(d) != 1 || !m.SameServers(old) {
				t.Fatalf("%q", d)
			}
		})
	}
	allocs, size := measure(1000)
	more, larger := measure(21000)
	t.Logf("1,000 tenants: %v allocations of %.0f bytes; 21,000: %v of %.0f", allocs, size, more, larger)
	if more > allocs+5 || larger > size+2048 {
		t.Errorf("1,000 tenants: %v allocations of %.0f bytes; 21,000: %v of %.0f", allocs, size, more, larger)
	}
}

// ---- Benchmarks ----

func benchmark(b *testing.B, f func(b *testing.B, tenants int)) {
	for _, tenants := range []int{100, 1000, 21000} {
		b.Run(fmt.Sprint(tenants), func(b *testing.B) { f(b, tenants) })
	}
}

func BenchmarkJoinOnePart(b *testing.B) {
	benchmark(b, func(b *testing.B, tenants int) {
		old, delta := joinsOne(930, tenants)
		b.ReportAllocs()
		for b.Loop() {
			if _, err := JoinCells(old, delta); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkJoinAllParts(b *testing.B) {
	benchmark(b, func(b *testing.B, tenants int) {
		texts := SplitCells(fleetOf(930, tenants))
		b.ReportAllocs()
		for b.Loop() {
			if _, err := JoinCells(nil, texts); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkSplitCells(b *testing.B) {
	benchmark(b, func(b *testing.B, tenants int) {
		m := fleetOf(930, tenants)
		b.ReportAllocs()
		for b.Loop() {
			SplitCells(m)
		}
	})
}

func BenchmarkParseCells(b *testing.B) {
	benchmark(b, func(b *testing.B, tenants int) {
		text := FormatCells(fleetOf(930, tenants))
		b.ReportAllocs()
		for b.Loop() {
			if _, err := ParseCells(text); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkFollowsOnePart(b *testing.B) {
	benchmark(b, func(b *testing.B, tenants int) {
		old, delta := joinsOne(930, tenants)
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
	benchmark(b, func(b *testing.B, tenants int) {
		text := FormatCells(fleetOf(930, tenants))
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
	benchmark(b, func(b *testing.B, tenants int) {
		m, err := ParseCells(FormatCells(fleetOf(930, tenants)))
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
