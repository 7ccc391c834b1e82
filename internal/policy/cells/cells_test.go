package cells

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Property tests take the same course every time.
func init() {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

var t0 = time.UnixMilli(1_800_000_000_000)

// fleet is a map of n servers in three cells, and four brands.
func fleet(n int) *Map {
	m := &Map{
		Version: 1, KeyWindow: 13170 * time.Millisecond, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second,
		CallerTimeout: 4400 * time.Millisecond, Cells: []Cell{{"a", 100}, {"b", 100}, {"c", 100}},
		Tenants: []Tenant{{"kvizmojster", 100, []Home{{Cell: "a"}}}, {"pametna", 50, []Home{{Cell: "b"}}},
			{"krcmarski", 20, []Home{{Cell: "b", Shard: 2}}}, {"", 10, []Home{{Cell: "c"}}}},
	}
	for i := range n {
		m.Servers = append(m.Servers, Server{Name: fmt.Sprintf("s%d", i), Addr: fmt.Sprintf("127.0.0.1:%d", 5000+i),
			Cell: m.Cells[i%3].Name, Weight: 1})
	}
	return m
}

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

// What has been in force can't be changed, and what is to come is announced a lease ahead.
func TestFollows(t *testing.T) {
	ahead := t0.Add(6 * time.Second).UnixMilli()
	for name, c := range map[string]struct {
		change func(m *Map)
		want   string
	}{
		"the same":          {func(m *Map) { m.Version-- }, ""},
		"older":             {func(m *Map) { m.Version = 0; m.Tenants[0].Rate = 7 }, "version: 0 is not above"},
		"a move":            {func(m *Map) { m.Tenants[0].Homes = append(m.Tenants[0].Homes, Home{Cell: "b", Since: ahead}) }, ""},
		"a move at once":    {func(m *Map) { m.Tenants[0].Homes = append(m.Tenants[0].Homes, Home{Cell: "b", Since: ahead - 2000}) }, "tenants[0].homes[1].from_ms: not a lease ahead"},
		"another past":      {func(m *Map) { m.Tenants[0].Homes = []Home{{Cell: "b"}} }, "tenants[0].homes[0].from_ms: not a lease ahead"},
		"a tenant gone":     {func(m *Map) { m.Tenants = m.Tenants[1:] }, `tenants: "kvizmojster" is gone`},
		"a server gone":     {func(m *Map) { m.Servers = m.Servers[1:] }, `servers: "s0" is gone`},
		"a server ends":     {func(m *Map) { m.Servers[0].LeavesAt = ahead }, ""},
		"a server ends now": {func(m *Map) { m.Servers[0].LeavesAt = ahead - 3000 }, "servers[0].until_ms: not a lease ahead"},
		"a server moves":    {func(m *Map) { m.Servers[0].Cell = "b" }, `servers[0]: "s0" changes its cell`},
		"a server comes": {func(m *Map) {
			m.Servers = append(m.Servers, Server{Name: "n", Addr: "127.0.0.1:1", Cell: "a", Weight: 1, JoinsAt: ahead})
		}, ""},
		"a server comes now": {func(m *Map) {
			m.Servers = append(m.Servers, Server{Name: "n", Addr: "127.0.0.1:1", Cell: "a", Weight: 1, JoinsAt: 0})
		}, "servers[12].from_ms: not a lease ahead"},
		"a shorter window":    {func(m *Map) { m.KeyWindow-- }, "window_ms: shorter"},
		"another lease":       {func(m *Map) { m.Lease-- }, "lease_ms: neither"},
		"named anew":          {func(m *Map) { m.Tenants = append(m.Tenants, Tenant{"new", 1, []Home{{Cell: "c"}}}) }, ""},
		"named anew and away": {func(m *Map) { m.Tenants = append(m.Tenants, Tenant{"new", 1, []Home{{Cell: "a"}}}) }, "tenants[4].homes[0]: a tenant that is named anew"},
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

// A move goes through its states by the time alone, its keys are asked for where they were as long as they may come
// again, and an abort half way does the same the other way round.
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
		r, ok := p.Next.Route(p.At.Add(c.after), "kvizmojster", "key")
		if !ok || r.State != c.state || r.Cell != c.cell || len(r.FormerHomes) != c.formerHomes {
			t.Errorf("%v after: %+v, want %v in %s", c.after, r, c.state, c.cell)
		}
		if c.formerHomes > 0 && m.Server(r.FormerHomes[0]).Cell != "a" || m.Server(r.Home).Cell != c.cell {
			t.Errorf("%v after: %+v", c.after, r)
		}
	}
	midway := p.At.Add(overlap / 2)
	if _, err := p.Next.PlanMove(midway, "kvizmojster", "c", 0); err == nil {
		t.Error("a second move is planned while one is under way")
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
		t.Errorf("aborted: %+v", r)
	}
	if _, err := aborted.PlanAbort(midway.Add(2*m.Lease+2*m.MaxClockSkew), "kvizmojster"); err == nil {
		t.Error("an abort is aborted")
	}
	early := t0.Add(-time.Hour)
	earlyPlan, err := m.PlanMove(early, "kvizmojster", "b", 0)
	if err != nil {
		t.Fatal(err)
	}
	earlyPlan.Next.Tenants[0].Homes[1].Since = t0.UnixMilli()
	if withdrawn, err := earlyPlan.Next.PlanAbort(early, "kvizmojster"); err != nil || len(withdrawn.Tenants[0].Homes) != 1 {
		t.Errorf("one that is not in force for long is taken out: %+v, %v", withdrawn, err)
	}
	later := p.Settled.Add(time.Second)
	compacted := p.Next.Compact(later)
	if err := compacted.Check(); err != nil || len(compacted.Tenants[0].Homes) != 1 || compacted.Follows(p.Next, later) != nil {
		t.Errorf("compacted: %+v, %v, %v", compacted.Tenants[0], err, compacted.Follows(p.Next, later))
	}
	if d := Diff(m, p.Next); len(d) != 1 || !strings.Contains(d[0], `"kvizmojster": to cell b`) {
		t.Errorf("diff %q", d)
	}
}

// The planner says no to what the target can't carry, and shows both loads.
func TestPlannerRefuses(t *testing.T) {
	m := fleet(12) // four servers of 100 a cell
	m.Tenants[0].Rate = 300
	if _, err := m.PlanMove(t0, "kvizmojster", "b", 0); err == nil || !strings.Contains(err.Error(), "cell b can't carry it: 370 of 400") {
		t.Errorf("%v", err)
	}
	m.Tenants[0].Rate = 200
	p, err := m.PlanMove(t0, "kvizmojster", "b", 0)
	if err != nil || p.Before[0].Rate != 200 || p.After[0].Rate != 0 || p.Before[1].Rate != 70 || p.After[1].Rate != 270 {
		t.Errorf("%+v, %v", p, err)
	}
	for _, c := range []struct {
		tenant, to string
		shard      int
	}{{"kvizmojster", "a", 0}, {"nobody", "b", 0}, {"kvizmojster", "x", 0}, {"kvizmojster", "b", 9}} {
		if _, err := m.PlanMove(t0, c.tenant, c.to, c.shard); err == nil {
			t.Errorf("%+v is planned", c)
		}
	}
}

// One server of twelve that leaves takes its own keys along and no others: a twelfth and a little.
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

// Shuffle sharding keeps what two tenants of a cell have in common small, and is the same wherever it is drawn.
func TestOverlap(t *testing.T) {
	m := fleet(36)
	m.Tenants = nil
	for i := range 40 {
		m.Tenants = append(m.Tenants, Tenant{Name: fmt.Sprint("t", i), Rate: 1, Homes: []Home{{Cell: "a", Shard: 3}}})
	}
	if overlap := m.Overlap(t0); overlap < 0.15 || overlap > 0.35 { // by chance 3/12
		t.Errorf("overlap %v", overlap)
	}
	r, _ := m.Route(t0, "t7", "")
	if len(r.Servers) != 3 {
		t.Errorf("%v", r.Servers)
	}
}

// Over random maps, moves, servers that come and go, and times: a key has one home, the same for every router; every
// change of a key's home within the dual stretch is asked about; and out of it nobody is asked.
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
			t.Fatalf("%+v and %+v", r, again)
		}
		for back := time.Duration(1); back < m.OverlapWindow(); back += 97 * time.Millisecond {
			former, ok := m.Route(when.Add(-back), "kvizmojster", key)
			if ok && former.Home != r.Home && !slices.Contains(r.FormerHomes, former.Home) {
				t.Fatalf("%v before it lived in %s, which is not asked: %+v", back, former.Home, r)
			}
		}
		unchanged := true
		for _, c := range changes {
			unchanged = unchanged && (when.Before(c.at) || when.Sub(c.at) >= m.OverlapWindow())
		}
		if unchanged && len(r.FormerHomes) > 0 {
			t.Fatalf("nothing has changed of late, and %v are asked", r.FormerHomes)
		}
	})
}

// A router that was away takes up what was announced in time for it, however late it hears of it, and what was pruned since; it
// does not take what began while it may have sent by the old map.
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
	reconnectedAt := week.Add(24 * time.Hour)
	if next := laterPlan.Next; next.FollowsLate(m, t0, reconnectedAt) != nil || p.Next.FollowsLate(m, t0, reconnectedAt) != nil {
		t.Errorf("announced in time: %v, %v", next.FollowsLate(m, t0, reconnectedAt), p.Next.FollowsLate(m, t0, reconnectedAt))
	}
	if p.Next.Follows(m, reconnectedAt) == nil || p.Next.FollowsLate(m, reconnectedAt, reconnectedAt) == nil {
		t.Error("a move is taken up that began while the old map was in force")
	}
	withoutServer := *m
	withoutServer.Version++
	withoutServer.Servers = withoutServer.Servers[1:]
	if withoutServer.FollowsLate(m, t0, t0) == nil || withoutServer.FollowsLate(m, t0, reconnectedAt) != nil {
		t.Errorf("a server that is left out: %v, %v", withoutServer.FollowsLate(m, t0, t0), withoutServer.FollowsLate(m, t0, reconnectedAt))
	}
	older := *m
	older.Version--
	if older.FollowsLate(m, t0, reconnectedAt) == nil {
		t.Error("an older map is taken up")
	}
}
