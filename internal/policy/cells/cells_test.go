package cells

import (
	"errors"
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Property tests use a fixed seed, so that each run draws the same cases.
func init() {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var t0 = time.UnixMilli(1_800_000_000_000)

// fleet returns a map of n servers in three cells, with three listed tenants and the default entry.
func fleet(n int) *Map {
	m := &Map{
		Version: 1, KeyWindow: 13170 * time.Millisecond, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second,
		CallerTimeout: 4400 * time.Millisecond, Cells: []Cell{{"a", 100}, {"b", 100}, {"c", 100}},
		Tenants: []Tenant{{"kvizmojster", 100, []Home{{Cell: "a"}}}, {"pametna", 50, []Home{{Cell: "b"}}},
			{"krcmarski", 20, []Home{{Cell: "b", ShardSize: 2}}}, {"", 10, []Home{{Cell: "c"}}}},
	}
	for i := range n {
		m.Servers = append(m.Servers, Server{Name: fmt.Sprintf("s%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 5000+i),
			Cell: m.Cells[i%3].Name, Weight: 1})
	}
	return m
}

// Check names the first invalid field of a map.
func TestCheck(t *testing.T) {
	if err := fleet(12).Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(m *Map){
		"version: under 1: 0":                                      func(m *Map) { m.Version = 0 },
		"window_ms: not above 0: 0":                                func(m *Map) { m.KeyWindow = 0 },
		`cells[1].name: "a" given twice`:                           func(m *Map) { m.Cells[1].Name = "a" },
		`servers[4].name: "s0" given twice`:                        func(m *Map) { m.Servers[4].Name = "s0" },
		`servers[4].addr: "127.0.0.1:5000" given twice`:            func(m *Map) { m.Servers[4].Addr = "127.0.0.1:5000" },
		`servers[2].cell: no such cell: "x"`:                       func(m *Map) { m.Servers[2].Cell = "x" },
		"servers[2].weight: not above 0: 0":                        func(m *Map) { m.Servers[2].Weight = 0 },
		"servers[2].until_ms: not after from_ms: 5":                func(m *Map) { m.Servers[2].JoinsAt, m.Servers[2].LeavesAt = 5, 5 },
		`cells[3]: "d" has no server that stays`:                   func(m *Map) { m.Cells = append(m.Cells, Cell{Name: "d"}) },
		`tenants[1].homes: "pametna" has no cell`:                  func(m *Map) { m.Tenants[1].Homes = nil },
		`tenants[1].homes[0].cell: no such cell: "x"`:              func(m *Map) { m.Tenants[1].Homes[0].Cell = "x" },
		`tenants[2].name: "pametna" given twice`:                   func(m *Map) { m.Tenants[2].Name = "pametna" },
		"tenants[0].homes[1].from_ms: not after that of the home ": func(m *Map) { m.Tenants[0].Homes = append(m.Tenants[0].Homes, Home{Cell: "b"}) },
		"tenants[0].homes[1].abort: it takes no move back": func(m *Map) {
			m.Tenants[0].Homes = append(m.Tenants[0].Homes, Home{Cell: "b", Since: 9, IsAbort: true})
		},
	} {
		m := fleet(12)
		change(m)
		if err := m.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// Entries that have been in force cannot change, and future changes must be announced a lease ahead.
func TestFollows(t *testing.T) {
	ahead := t0.Add(6 * time.Second).UnixMilli()
	for name, c := range map[string]struct {
		change func(m *Map)
		want   string
	}{
		"unchanged":             {func(m *Map) { m.Version-- }, ""},
		"older":                 {func(m *Map) { m.Version = 0; m.Tenants[0].Rate = 7 }, "version: 0 is not above"},
		"a move ahead":          {func(m *Map) { m.Tenants[0].Homes = append(m.Tenants[0].Homes, Home{Cell: "b", Since: ahead}) }, ""},
		"a move at once":        {func(m *Map) { m.Tenants[0].Homes = append(m.Tenants[0].Homes, Home{Cell: "b", Since: ahead - 2000}) }, "tenants[0].homes[1].from_ms: not a lease ahead"},
		"a changed past home":   {func(m *Map) { m.Tenants[0].Homes = []Home{{Cell: "b"}} }, "tenants[0].homes[0].from_ms: not a lease ahead"},
		"a tenant removed":      {func(m *Map) { m.Tenants = m.Tenants[1:] }, `tenants: "kvizmojster" is gone`},
		"a server removed":      {func(m *Map) { m.Servers = m.Servers[1:] }, `servers: "s0" is gone`},
		"a server leaves":       {func(m *Map) { m.Servers[0].LeavesAt = ahead }, ""},
		"a server leaves now":   {func(m *Map) { m.Servers[0].LeavesAt = ahead - 3000 }, "servers[0].until_ms: not a lease ahead"},
		"a server changes cell": {func(m *Map) { m.Servers[0].Cell = "b" }, `servers[0]: "s0" changes its cell`},
		"a server joins": {func(m *Map) {
			m.Servers = append(m.Servers, Server{Name: "n", Addr: "127.0.0.1:1", Cell: "a", Weight: 1, JoinsAt: ahead})
		}, ""},
		"a server joins now": {func(m *Map) {
			m.Servers = append(m.Servers, Server{Name: "n", Addr: "127.0.0.1:1", Cell: "a", Weight: 1, JoinsAt: 0})
		}, "servers[12].from_ms: not a lease ahead"},
		"a shorter window":       {func(m *Map) { m.KeyWindow-- }, "window_ms: shorter"},
		"a shorter patience":     {func(m *Map) { m.CallerTimeout-- }, "patience_ms: shorter"},
		"a changed lease":        {func(m *Map) { m.Lease-- }, "lease_ms: neither"},
		"a new tenant":           {func(m *Map) { m.Tenants = append(m.Tenants, Tenant{"new", 1, []Home{{Cell: "c"}}}) }, ""},
		"a new tenant elsewhere": {func(m *Map) { m.Tenants = append(m.Tenants, Tenant{"new", 1, []Home{{Cell: "a"}}}) }, "tenants[4].homes[0]: a tenant that is named anew"},
	} {
		old, m := fleet(12), fleet(12)
		m.Version = 2
		c.change(m)
		err := m.Follows(old, t0)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
	}
}

// A tenant that gets an entry of its own stays where the default entry placed it, by whatever form of entry. Otherwise a keyed request
// and its repeat would run in two cells (review/7).
func TestNamedTenantStaysWhereItLives(t *testing.T) {
	overlap := fleet(12).OverlapWindow()
	ms := func(after time.Duration) int64 { return t0.Add(after).UnixMilli() }
	longAgo, recently, soon, announced := ms(-24*time.Hour), ms(-overlap+time.Millisecond), ms(4*time.Second), ms(6*time.Second)
	for name, c := range map[string]struct {
		unnamed, named []Home
		want           string
	}{
		"first home of the unnamed":        {[]Home{{Cell: "b"}, {Cell: "a", Since: longAgo}}, []Home{{Cell: "b"}}, "tenants[4].homes[0]: a tenant that is named anew begins where the unnamed live: in cell \"a\""},
		"present home of the unnamed":      {[]Home{{Cell: "b"}, {Cell: "a", Since: longAgo}}, []Home{{Cell: "a"}}, ""},
		"present home with its time":       {[]Home{{Cell: "b"}, {Cell: "a", Since: longAgo}}, []Home{{Cell: "a", Since: longAgo}}, ""},
		"all homes of the unnamed":         {[]Home{{Cell: "b"}, {Cell: "a", Since: longAgo}}, []Home{{Cell: "b"}, {Cell: "a", Since: longAgo}}, ""},
		"compacted homes of the unnamed":   {[]Home{{Cell: "a", Since: longAgo}}, []Home{{Cell: "a"}}, ""},
		"another shard":                    {[]Home{{Cell: "a", ShardSize: 2}}, []Home{{Cell: "a"}}, "tenants[4].homes[0]: a tenant that is named anew begins where the unnamed live: in cell \"a\" with shard 2"},
		"former home left out too early":   {[]Home{{Cell: "b"}, {Cell: "a", Since: recently}}, []Home{{Cell: "a"}}, "tenants[4].homes[0]: a tenant that is named anew begins where the unnamed live: in cell \"b\""},
		"former home kept":                 {[]Home{{Cell: "b"}, {Cell: "a", Since: recently}}, []Home{{Cell: "b"}, {Cell: "a", Since: recently}}, ""},
		"another time of the move":         {[]Home{{Cell: "b"}, {Cell: "a", Since: recently}}, []Home{{Cell: "b"}, {Cell: "a", Since: recently + 1}}, "tenants[4].homes[0]: a tenant that is named anew"},
		"move of the unnamed left out":     {[]Home{{Cell: "b"}, {Cell: "a", Since: soon}}, []Home{{Cell: "b"}}, "tenants[4].homes[0]: a tenant that is named anew begins where the unnamed live: in cell \"a\""},
		"announced move may be left out":   {[]Home{{Cell: "b"}, {Cell: "a", Since: announced}}, []Home{{Cell: "b"}}, ""},
		"move of its own in time":          {[]Home{{Cell: "b"}, {Cell: "a", Since: longAgo}}, []Home{{Cell: "a"}, {Cell: "c", Since: announced}}, ""},
		"move of its own at once":          {[]Home{{Cell: "b"}, {Cell: "a", Since: longAgo}}, []Home{{Cell: "a"}, {Cell: "c", Since: soon}}, "tenants[4].homes[1]: a tenant that is named anew begins where the unnamed live: in cell \"a\""},
		"only home in the future":          {[]Home{{Cell: "b"}}, []Home{{Cell: "c", Since: announced}}, "tenants[4].homes[0]: a tenant that is named anew"},
		"time of the only home is ignored": {[]Home{{Cell: "b", Since: announced}}, []Home{{Cell: "b"}}, ""},
	} {
		old, m := fleet(12), fleet(12)
		old.Tenants[3].Homes, m.Tenants[3].Homes = c.unnamed, c.unnamed
		m.Version = 2
		m.Tenants = append(m.Tenants, Tenant{"new", 1, c.named})
		if err := errors.Join(old.Check(), m.Check()); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		joinedOld, err := Join(nil, partsOf(old))
		if err != nil {
			t.Fatal(err)
		}
		joined, err := Join(joinedOld, changedParts(old, m))
		if err != nil {
			t.Fatal(err)
		}
		if err := m.Follows(old, t0); c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%s: %v, want %q", name, err, c.want)
		}
		if err := joined.Follows(joinedOld, t0); (err == nil) != (c.want == "") {
			t.Errorf("%s, in parts: %v, want %q", name, err, c.want)
		}
		if c.want != "" {
			continue
		}
		for back := time.Duration(0); back < overlap; back += 97 * time.Millisecond {
			was, _ := old.Route(t0.Add(-back), "new", "key")
			if r, ok := m.Route(t0, "new", "key"); !ok || r.Home != was.Home && !slices.Contains(r.FormerHomes, was.Home) {
				t.Errorf("%s: %v before the change the home was %s, which is not asked: %+v", name, back, was.Home, r)
			}
		}
	}
}

// A router that restarts with a map of last week refuses an entry that contradicts what it knows. It accepts one whose earlier homes were
// left out since, and every entry if it can't send keyed requests by the old map any more.
func TestNamedTenantAfterALongTime(t *testing.T) {
	old := fleet(12)
	old.Tenants[3].Homes = []Home{{Cell: "b"}, {Cell: "a", Since: t0.Add(-time.Hour).UnixMilli()}}
	week := t0.Add(7 * 24 * time.Hour)
	day := t0.Add(24 * time.Hour).UnixMilli()
	for name, c := range map[string]struct {
		homes []Home
		want  bool
	}{
		"first home of the unnamed":   {[]Home{{Cell: "b"}}, false},
		"present home of the unnamed": {[]Home{{Cell: "a"}}, true},
		"moved since":                 {[]Home{{Cell: "a"}, {Cell: "c", Since: day}}, true},
		"moved since, compacted":      {[]Home{{Cell: "c", Since: day}}, true},
		"moved without a time":        {[]Home{{Cell: "c"}}, false},
		"only home just now":          {[]Home{{Cell: "c", Since: week.UnixMilli() - 1}}, false},
	} {
		m := deepCopy(old)
		m.Version++
		m.Tenants = append(m.Tenants, Tenant{"new", 1, c.homes})
		if err := m.FollowsLate(old, t0, week); (err == nil) != c.want {
			t.Errorf("%s: %v, want accepted: %v", name, err, c.want)
		}
		if err := m.FollowsLate(old, time.Time{}, week); err != nil {
			t.Errorf("%s, outdated: %v", name, err)
		}
	}
}

// The only home of an entry applies whatever its time is, so a map can't replace it at once even if that time is still to come.
func TestOnlyHomeOfAnEntryStays(t *testing.T) {
	announced := t0.Add(time.Minute).UnixMilli()
	for name, homes := range map[string][]Home{
		"replaced":         {{Cell: "b", Since: announced + 1}},
		"another is ahead": {{Cell: "b", Since: announced - 1}, {Cell: "a", Since: announced}},
	} {
		old, m := fleet(12), fleet(12)
		m.Version = 2
		old.Tenants[0].Homes, m.Tenants[0].Homes = []Home{{Cell: "a", Since: announced}}, homes
		want := `tenants[0].homes[0]: "kvizmojster" moves from "a" to "b" without notice`
		if err := m.Follows(old, t0); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v, want %q", name, err, want)
		}
	}
}

// A move passes through its states by the time alone. Former homes are asked for a key as long as its request may be repeated. An abort
// halfway does the same in the opposite direction.
func TestMigration(t *testing.T) {
	m := fleet(12)
	p, err := m.PlanMove(t0, "kvizmojster", "b", 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Next.Follows(m, t0); err != nil {
		t.Fatal(err)
	}
	overlap := p.Next.OverlapWindow()
	for _, c := range []struct {
		after       time.Duration
		state       State
		cell        string
		formerHomes int
	}{
		{-time.Millisecond, Prepared, "a", 0}, {0, Dual, "b", 1}, {overlap - time.Millisecond, Dual, "b", 1},
		{overlap, Draining, "b", 0}, {overlap + m.CallerTimeout, Settled, "b", 0},
	} {
		r, ok := p.Next.Route(p.EffectiveAt.Add(c.after), "kvizmojster", "key")
		if !ok || r.State != c.state || r.Cell != c.cell || len(r.FormerHomes) != c.formerHomes {
			t.Errorf("route %v after the move: %+v, want %v in cell %s", c.after, r, c.state, c.cell)
		}
		if c.formerHomes > 0 && m.Server(r.FormerHomes[0]).Cell != "a" || m.Server(r.Home).Cell != c.cell {
			t.Errorf("route %v after the move: homes in the wrong cells: %+v", c.after, r)
		}
	}
	midway := p.EffectiveAt.Add(overlap / 2)
	if _, err := p.Next.PlanMove(midway, "kvizmojster", "c", 0); err == nil {
		t.Error("PlanMove accepts a second move while one is in progress")
	}
	aborted, err := p.Next.PlanAbort(midway, "kvizmojster")
	if err != nil {
		t.Fatal(err)
	}
	if err := aborted.Check(); err != nil {
		t.Fatal(err)
	}
	if err := aborted.Follows(p.Next, midway); err != nil {
		t.Fatal(err)
	}
	r, _ := aborted.Route(midway.Add(2*m.Lease+2*m.MaxClockSkew), "kvizmojster", "key")
	if r.State != Aborted || r.Cell != "a" || len(r.FormerHomes) != 1 || m.Server(r.FormerHomes[0]).Cell != "b" {
		t.Errorf("route after the abort: %+v", r)
	}
	if _, err := aborted.PlanAbort(midway.Add(2*m.Lease+2*m.MaxClockSkew), "kvizmojster"); err == nil {
		t.Error("PlanAbort accepts the abort of an abort")
	}
	early := t0.Add(-time.Hour)
	earlyPlan, err := m.PlanMove(early, "kvizmojster", "b", 0)
	if err != nil {
		t.Fatal(err)
	}
	earlyPlan.Next.Tenants[0].Homes[1].Since = t0.UnixMilli()
	if withdrawn, err := earlyPlan.Next.PlanAbort(early, "kvizmojster"); err != nil || len(withdrawn.Tenants[0].Homes) != 1 {
		t.Errorf("PlanAbort does not remove a move far in the future: %+v, %v", withdrawn, err)
	}
	later := p.SettledAt.Add(time.Second)
	compacted := p.Next.Compact(later)
	if err := compacted.Check(); err != nil || len(compacted.Tenants[0].Homes) != 1 || compacted.Follows(p.Next, later) != nil {
		t.Errorf("Compact: %+v, %v, %v", compacted.Tenants[0], err, compacted.Follows(p.Next, later))
	}
	if d := Diff(m, p.Next); len(d) != 1 || !strings.Contains(d[0], `"kvizmojster": to cell b`) {
		t.Errorf("Diff returned %q", d)
	}
}

// PlanMove refuses a move that exceeds the target's capacity, and returns the loads of both cells.
func TestPlannerRefuses(t *testing.T) {
	m := fleet(12) // four servers per cell, each of capacity 100
	m.Tenants[0].Rate = 300
	if _, err := m.PlanMove(t0, "kvizmojster", "b", 0); err == nil || !strings.Contains(err.Error(), "cell b can't carry it: 370 of 400") {
		t.Errorf("PlanMove beyond the capacity: %v", err)
	}
	m.Tenants[0].Rate = 200
	p, err := m.PlanMove(t0, "kvizmojster", "b", 0)
	if err != nil || p.Before[0].Rate != 200 || p.After[0].Rate != 0 || p.Before[1].Rate != 70 || p.After[1].Rate != 270 {
		t.Errorf("PlanMove within the capacity: %+v, %v", p, err)
	}
	for _, c := range []struct {
		tenant, to string
		shard      int
	}{{"kvizmojster", "a", 0}, {"nobody", "b", 0}, {"kvizmojster", "x", 0}, {"kvizmojster", "b", 9}} {
		if _, err := m.PlanMove(t0, c.tenant, c.to, c.shard); err == nil {
			t.Errorf("PlanMove accepts %+v", c)
		}
	}
}

// When one of twelve servers leaves, only its own keys move, about a twelfth of all keys.
func TestKeysMoved(t *testing.T) {
	m := fleet(12)
	for i := range m.Servers {
		m.Servers[i].Cell = "a"
	}
	reduced := *m
	reduced.Servers = slices.Clone(m.Servers)
	reduced.Servers[3].LeavesAt = t0.UnixMilli()
	moved, movedFromOthers := 0, 0
	const keys = 20000
	for i := range keys {
		key := fmt.Sprint("key", i)
		before, _ := m.Route(t0, "kvizmojster", key)
		after, _ := reduced.Route(t0, "kvizmojster", key)
		if before.Home != after.Home {
			moved++
			if before.Home != "s3" {
				movedFromOthers++
			}
		}
	}
	if movedFromOthers > 0 || float64(moved)/keys > 1.0/12+0.01 || float64(moved)/keys < 1.0/12-0.01 {
		t.Errorf("%d of %d keys moved, %d of them from servers that stay", moved, keys, movedFromOthers)
	}
}

// Shuffle sharding keeps the share of servers that two tenants of a cell have in common small.
func TestOverlap(t *testing.T) {
	m := fleet(36)
	m.Tenants = nil
	for i := range 40 {
		m.Tenants = append(m.Tenants, Tenant{Name: fmt.Sprint("t", i), Rate: 1, Homes: []Home{{Cell: "a", ShardSize: 3}}})
	}
	if overlap := m.Overlap(t0); overlap < 0.15 || overlap > 0.35 { // the expected value is 3/12
		t.Errorf("overlap %v", overlap)
	}
	r, _ := m.Route(t0, "t7", "")
	if len(r.Servers) != 3 {
		t.Errorf("servers of a shard of 3: %v", r.Servers)
	}
}

// For random maps, moves, joining and leaving servers, and times: a key has exactly one home, the same for every router. Every server that
// was the key's home within OverlapWindow is asked, and without a change in that time none is.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := fleet(rapid.IntRange(6, 15).Draw(t, "servers"))
		now := t0
		type change struct{ at time.Time }
		var changes []change
		for range rapid.IntRange(0, 5).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60000).Draw(t, "ms")) * time.Millisecond)
			next := *m
			next.Version++
			at := now.Add(m.Lease + m.MaxClockSkew + time.Duration(rapid.IntRange(0, 5000).Draw(t, "ahead"))*time.Millisecond)
			next.Servers, next.Tenants = slices.Clone(m.Servers), slices.Clone(m.Tenants)
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				i := rapid.IntRange(0, len(next.Servers)-1).Draw(t, "server")
				if next.Servers[i].LeavesAt == 0 && next.Servers[i].JoinsAt < at.UnixMilli() {
					next.Servers[i].LeavesAt = at.UnixMilli()
				}
			case 1:
				n := len(next.Servers)
				next.Servers = append(next.Servers, Server{Name: fmt.Sprint("n", n), Addr: fmt.Sprint("127.0.0.2:", n),
					Cell: "a", Weight: 1, JoinsAt: at.UnixMilli()})
			case 2:
				tenant := &next.Tenants[0]
				if last := tenant.Homes[len(tenant.Homes)-1]; last.Since < at.UnixMilli() {
					tenant.Homes = append(slices.Clone(tenant.Homes), Home{Cell: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "cell"), Since: at.UnixMilli()})
				}
			}
			if next.Check() != nil || next.Follows(m, now) != nil {
				continue
			}
			m = &next
			changes = append(changes, change{at})
		}
		key := "k" + rapid.String().Draw(t, "key")
		when := t0.Add(time.Duration(rapid.IntRange(0, 400000).Draw(t, "when")) * time.Millisecond)
		r, ok := m.Route(when, "kvizmojster", key)
		if !ok {
			return
		}
		again, _ := m.Route(when, "kvizmojster", key)
		if r.Home != again.Home || !slices.Contains(r.Servers, r.Home) || slices.Contains(r.FormerHomes, r.Home) {
			t.Fatalf("two routers have routes %+v and %+v", r, again)
		}
		for back := time.Duration(1); back < m.OverlapWindow(); back += 97 * time.Millisecond {
			former, ok := m.Route(when.Add(-back), "kvizmojster", key)
			if ok && former.Home != r.Home && !slices.Contains(r.FormerHomes, former.Home) {
				t.Fatalf("%v earlier the home was %s, which is not asked: %+v", back, former.Home, r)
			}
		}
		unchanged := true
		for _, c := range changes {
			unchanged = unchanged && (when.Before(c.at) || when.Sub(c.at) >= m.OverlapWindow())
		}
		if unchanged && len(r.FormerHomes) > 0 {
			t.Fatalf("nothing changed within the overlap window, but %v are asked", r.FormerHomes)
		}
	})
}

// A router that was disconnected accepts changes that were announced in time for it, and removals made in the meantime, however late it
// receives them. It refuses a change that took effect while it may have sent requests by the old map.
func TestFollowsLate(t *testing.T) {
	m := fleet(12)
	p, err := m.PlanMove(t0, "kvizmojster", "b", 0)
	if err != nil {
		t.Fatal(err)
	}
	week := t0.Add(7 * 24 * time.Hour)
	laterPlan, err := p.Next.PlanMove(week, "kvizmojster", "a", 0)
	if err != nil {
		t.Fatal(err)
	}
	late := week.Add(24 * time.Hour)
	if next := laterPlan.Next; next.FollowsLate(m, t0, late) != nil || p.Next.FollowsLate(m, t0, late) != nil {
		t.Errorf("FollowsLate refuses a map announced in time: %v, %v", next.FollowsLate(m, t0, late), p.Next.FollowsLate(m, t0, late))
	}
	if p.Next.Follows(m, late) == nil || p.Next.FollowsLate(m, late, late) == nil {
		t.Error("a move that began while the old map was in force is accepted")
	}
	withoutServer := *m
	withoutServer.Version++
	withoutServer.Servers = withoutServer.Servers[1:]
	if withoutServer.FollowsLate(m, t0, t0) == nil || withoutServer.FollowsLate(m, t0, late) != nil {
		t.Errorf("removal of a server, in time and late: %v, %v", withoutServer.FollowsLate(m, t0, t0), withoutServer.FollowsLate(m, t0, late))
	}
	older := *m
	older.Version--
	if older.FollowsLate(m, t0, late) == nil {
		t.Error("an older map is accepted")
	}
}
