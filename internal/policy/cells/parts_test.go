package cells

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// ---- The plain way: every list from end to end, as it is written down in docs/design/cells.md ----

func plainServer(m *Map, name string) *Server {
	for i := range m.Servers {
		if m.Servers[i].Name == name {
			return &m.Servers[i]
		}
	}
	return nil
}

func plainTenant(m *Map, name string, exact bool) *Tenant {
	var others *Tenant
	for i := range m.Tenants {
		if m.Tenants[i].Name == name {
			return &m.Tenants[i]
		}
		if m.Tenants[i].Name == "" {
			others = &m.Tenants[i]
		}
	}
	if exact {
		return nil
	}
	return others
}

func plainFollows(m, old *Map, known, now time.Time) error {
	if m.Version == old.Version && len(plainDiff(old, m)) == 0 {
		return nil
	}
	if m.Version <= old.Version {
		return fmt.Errorf("version: %d is not above that in force, %d", m.Version, old.Version)
	}
	if m.Epoch < old.Epoch {
		return fmt.Errorf("epoch: %d is under that of the map in force, %d", m.Epoch, old.Epoch)
	}
	if m.KeyWindow < old.KeyWindow {
		return fmt.Errorf("window_ms: shorter than before")
	}
	if m.MaxClockSkew != old.MaxClockSkew || m.Lease != old.Lease {
		return fmt.Errorf("lease_ms: neither it nor skew_ms may change under way")
	}
	least := known.Add(m.Lease + m.MaxClockSkew).UnixMilli()
	kept := now.Add(-m.OverlapWindow()).UnixMilli()
	for i, t := range m.Tenants {
		was := plainTenant(old, t.Name, true)
		for j, h := range t.Homes {
			known := was != nil && slices.Contains(was.Homes, h)
			if !known && h.Since < least && (j != 0 || was != nil || h.Since != 0) {
				return fmt.Errorf("tenants[%d].homes[%d].from_ms: not a lease ahead: %d is before %d", i, j, h.Since, least)
			}
		}
		if was == nil {
			if others := plainTenant(old, t.Name, false); others != nil && t.Homes[0] != others.Homes[0] {
				return fmt.Errorf("tenants[%d].homes[0]: a tenant that is named anew begins where the unnamed live", i)
			}
			continue
		}
		for j, h := range was.Homes {
			ended := j+1 < len(was.Homes) && was.Homes[j+1].Since < kept || t.Homes[0].Since >= least && t.Homes[0].Since < kept
			if !slices.Contains(t.Homes, h) && !ended && h.Since < least {
				return fmt.Errorf("tenants[%d].homes: %q was in %q, which can't be undone: append a home", i, t.Name, h.Cell)
			}
		}
	}
	for _, t := range old.Tenants {
		if plainTenant(m, t.Name, true) == nil {
			return fmt.Errorf("tenants: %q is gone", t.Name)
		}
	}
	for i, s := range m.Servers {
		was := plainServer(old, s.Name)
		switch {
		case was == nil:
			if s.JoinsAt < least {
				return fmt.Errorf("servers[%d].from_ms: not a lease ahead: %d is before %d", i, s.JoinsAt, least)
			}
		case s.Cell != was.Cell || s.Weight != was.Weight || s.JoinsAt != was.JoinsAt && was.JoinsAt < least:
			return fmt.Errorf("servers[%d]: %q changes its cell, weight or from_ms: give it another name", i, s.Name)
		case s.LeavesAt != was.LeavesAt && (s.LeavesAt > 0 && s.LeavesAt < least || was.LeavesAt > 0 && was.LeavesAt < least):
			return fmt.Errorf("servers[%d].until_ms: not a lease ahead: %d is before %d", i, s.LeavesAt, least)
		}
	}
	for _, s := range old.Servers {
		if plainServer(m, s.Name) == nil && (s.LeavesAt == 0 && least >= kept || s.LeavesAt >= kept) {
			return fmt.Errorf("servers: %q is gone, and its keys may come again: set until_ms", s.Name)
		}
	}
	return nil
}

func plainDiff(old, m *Map) []string {
	var list []string
	add := func(format string, args ...any) { list = append(list, fmt.Sprintf(format, args...)) }
	for _, c := range m.Cells {
		if i := slices.IndexFunc(old.Cells, func(o Cell) bool { return o.Name == c.Name }); i < 0 {
			add("cell %s: new", c.Name)
		} else if old.Cells[i] != c {
			add("cell %s: capacity %g, was %g", c.Name, c.Capacity, old.Cells[i].Capacity)
		}
	}
	for _, c := range old.Cells {
		if !slices.ContainsFunc(m.Cells, func(n Cell) bool { return n.Name == c.Name }) {
			add("cell %s: gone", c.Name)
		}
	}
	for _, s := range m.Servers {
		switch was := plainServer(old, s.Name); {
		case was == nil:
			add("server %s: new in cell %s from %d", s.Name, s.Cell, s.JoinsAt)
		case *was != s:
			add("server %s: %s, was %s", s.Name, s.formatFields(), was.formatFields())
		}
	}
	for _, s := range old.Servers {
		if plainServer(m, s.Name) == nil {
			add("server %s: gone", s.Name)
		}
	}
	for _, t := range m.Tenants {
		was := plainTenant(old, t.Name, true)
		if was == nil {
			add("tenant %q: new in cell %s", t.Name, t.Homes[0].Cell)
			continue
		}
		if was.Rate != t.Rate {
			add("tenant %q: rate %g, was %g", t.Name, t.Rate, was.Rate)
		}
		for _, h := range t.Homes {
			if !slices.Contains(was.Homes, h) {
				add("tenant %q: to cell %s at %d", t.Name, h.Cell, h.Since)
			}
		}
		for _, h := range was.Homes {
			if !slices.Contains(t.Homes, h) {
				add("tenant %q: no longer in cell %s from %d", t.Name, h.Cell, h.Since)
			}
		}
	}
	for _, t := range old.Tenants {
		if plainTenant(m, t.Name, true) == nil {
			add("tenant %q: gone", t.Name)
		}
	}
	if old.KeyWindow != m.KeyWindow || old.MaxClockSkew != m.MaxClockSkew || old.Lease != m.Lease || old.CallerTimeout != m.CallerTimeout {
		add("times: window %v, skew %v, lease %v, patience %v", m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout)
	}
	return list
}

func plainAt(m *Map, t *Tenant, name string, when int64) []*Server {
	h := t.homeAt(when)
	var list []*Server
	for i := range m.Servers {
		s := &m.Servers[i]
		if s.Cell == h.Cell && s.JoinsAt <= when && (s.LeavesAt == 0 || when < s.LeavesAt) {
			list = append(list, s)
		}
	}
	if h.Shard <= 0 || h.Shard >= len(list) {
		return list
	}
	slices.SortFunc(list, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(rendezvousScore("shard\x00"+name, b.Name, b.Weight), rendezvousScore("shard\x00"+name, a.Name, a.Weight)),
			strings.Compare(a.Name, b.Name))
	})
	return list[:h.Shard]
}

func plainRoute(m *Map, now time.Time, tenant, key string) (r Route, ok bool) {
	t := plainTenant(m, tenant, false)
	if t == nil {
		return r, false
	}
	at := now.UnixMilli()
	list := plainAt(m, t, tenant, at)
	if len(list) == 0 {
		return r, false
	}
	r.Cell, r.State = t.homeAt(at).Cell, m.moveState(t, at)
	for _, s := range list {
		r.Servers = append(r.Servers, s.Name)
	}
	if key == "" {
		return r, true
	}
	r.Home = highestScoring(list, tenant, key).Name
	least := at - m.OverlapWindow().Milliseconds()
	var times []int64
	add := func(when int64) {
		if when > least && when <= at && when > 0 && !slices.Contains(times, when) {
			times = append(times, when)
		}
	}
	for _, h := range t.Homes[1:] {
		add(h.Since)
	}
	for _, s := range m.Servers { // of all cells
		add(s.JoinsAt)
		add(s.LeavesAt)
	}
	slices.SortFunc(times, func(a, b int64) int { return cmp.Compare(b, a) })
	for _, when := range times {
		before := plainAt(m, t, tenant, when-1)
		if len(before) == 0 {
			continue
		}
		if former := highestScoring(before, tenant, key).Name; former != r.Home && !slices.Contains(r.FormerHomes, former) {
			r.FormerHomes = append(r.FormerHomes, former)
		}
	}
	return r, true
}

func plainOverlap(m *Map, now time.Time) float64 {
	at, sum, n := now.UnixMilli(), 0.0, 0
	for i := range m.Tenants {
		for j := range m.Tenants {
			a, b := &m.Tenants[i], &m.Tenants[j]
			if i == j || a.homeAt(at).Cell != b.homeAt(at).Cell {
				continue
			}
			common, mine := 0, plainAt(m, a, a.Name, at)
			for _, s := range plainAt(m, b, b.Name, at) {
				if slices.Contains(mine, s) {
					common++
				}
			}
			sum += float64(common) / float64(max(1, len(mine)))
			n++
		}
	}
	return sum / float64(max(1, n))
}

// ---- Maps by chance ----

// copied is a map of the same contents that shares nothing with it.
func copied(m *Map) *Map {
	c := *m
	c.index = nil
	c.Cells, c.Servers, c.Tenants = slices.Clone(m.Cells), slices.Clone(m.Servers), slices.Clone(m.Tenants)
	for i := range c.Tenants {
		c.Tenants[i].Homes = slices.Clone(c.Tenants[i].Homes)
	}
	return &c
}

// partsOf are all parts of a map in lists.
func partsOf(m *Map) Parts {
	m = copied(m)
	p := Parts{Top: m, Head: m, Servers: map[int][]Server{}, Tenants: map[int][]Tenant{}}
	for i := range ServerParts {
		p.Servers[i] = nil
	}
	for i := range TenantParts {
		p.Tenants[i] = nil
	}
	for _, s := range m.Servers {
		p.Servers[ServerPart(s.Name)] = append(p.Servers[ServerPart(s.Name)], s)
	}
	for _, t := range m.Tenants {
		p.Tenants[TenantPart(t.Name)] = append(p.Tenants[TenantPart(t.Name)], t)
	}
	for _, list := range p.Servers {
		slices.SortStableFunc(list, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	}
	for _, list := range p.Tenants {
		slices.SortStableFunc(list, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })
	}
	return p
}

// changed are the parts by which a map differs from the one before.
func changed(old, m *Map) Parts {
	was, p := partsOf(old), partsOf(m)
	if was.Top.Version == p.Top.Version && was.Top.Epoch == p.Top.Epoch {
		p.Top = nil
	}
	if h, o := p.Head, was.Head; h.KeyWindow == o.KeyWindow && h.MaxClockSkew == o.MaxClockSkew && h.Lease == o.Lease && h.CallerTimeout == o.CallerTimeout && slices.Equal(h.Cells, o.Cells) {
		p.Head = nil
	}
	maps.DeleteFunc(p.Servers, func(i int, list []Server) bool { return slices.Equal(list, was.Servers[i]) })
	maps.DeleteFunc(p.Tenants, func(i int, list []Tenant) bool { return reflect.DeepEqual(list, was.Tenants[i]) })
	for _, list := range p.Servers { // in any order
		slices.Reverse(list)
	}
	for _, list := range p.Tenants {
		slices.Reverse(list)
	}
	return p
}

func drawMap(t *rapid.T) *Map {
	m := fleet(rapid.IntRange(4, 15).Draw(t, "servers"))
	for i := range rapid.IntRange(0, 40).Draw(t, "tenants") {
		at := rapid.SampledFrom([]string{"a", "b", "c"})
		tenant := Tenant{fmt.Sprint("t", i), 1, []Home{{Cell: at.Draw(t, "cell"), Shard: rapid.IntRange(0, 3).Draw(t, "shard")}}}
		for n := range rapid.IntRange(0, 2).Draw(t, "moves") {
			tenant.Homes = append(tenant.Homes, Home{Cell: at.Draw(t, "cell"), Since: t0.UnixMilli() + int64(n*20000+rapid.IntRange(-19000, 0).Draw(t, "from"))})
		}
		m.Tenants = append(m.Tenants, tenant)
	}
	if rapid.Bool().Draw(t, "all are named") {
		m.Tenants = slices.DeleteFunc(m.Tenants, func(t Tenant) bool { return t.Name == "" })
	}
	return m
}

// mutate changes a map by chance, in ways that may be good or not.
func mutate(t *rapid.T, m *Map) {
	some := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
	when := func() int64 { return t0.UnixMilli() + int64(rapid.IntRange(-30000, 30000).Draw(t, "when")) }
	cell := func() string {
		if some(12) == 0 {
			return "nowhere"
		}
		return m.Cells[some(len(m.Cells))].Name
	}
	switch kind := some(16); {
	case kind == 0:
		m.Version += some(3) - 1
	case kind == 1:
		m.Epoch++
	case kind == 2:
		m.KeyWindow += time.Duration(some(3)-1) * time.Second
	case kind == 3:
		m.Cells[some(len(m.Cells))].Capacity = float64(some(3) * 100)
	case kind == 4:
		m.Cells = append(m.Cells, Cell{fmt.Sprint("new", len(m.Cells)), 1})
		if some(2) == 0 {
			m.Servers = append(m.Servers, Server{Name: fmt.Sprint("in", len(m.Cells)), Addr: fmt.Sprint("x", len(m.Cells)), Cell: m.Cells[len(m.Cells)-1].Name, Weight: 1, JoinsAt: when()})
		}
	case kind == 5 && len(m.Cells) > 1:
		i := some(len(m.Cells))
		name := m.Cells[i].Name
		m.Cells = slices.Delete(m.Cells, i, i+1)
		if some(2) == 0 { // with all that refers to it
			m.Servers = slices.DeleteFunc(m.Servers, func(s Server) bool { return s.Cell == name })
			m.Tenants = slices.DeleteFunc(m.Tenants, func(t Tenant) bool {
				return slices.ContainsFunc(t.Homes, func(h Home) bool { return h.Cell == name })
			})
		}
	case kind == 6 && len(m.Servers) > 1:
		i := some(len(m.Servers))
		m.Servers = slices.Delete(m.Servers, i, i+1)
	case kind == 7:
		n := rapid.IntRange(0, 200).Draw(t, "name")
		m.Servers = append(m.Servers, Server{Name: fmt.Sprint("s", n), Addr: fmt.Sprint("127.0.0.1:", 5000+n), Cell: cell(), Weight: 1, JoinsAt: when()})
	case kind == 8:
		m.Servers[some(len(m.Servers))].LeavesAt = when()
	case kind == 9:
		s := &m.Servers[some(len(m.Servers))]
		switch some(5) {
		case 0:
			s.Cell = cell()
		case 1:
			s.Weight = float64(some(3))
		case 2:
			s.JoinsAt = when()
		case 3:
			s.Addr = fmt.Sprint("127.0.0.1:", 5000+some(20))
		case 4:
			s.AdminAddr = "there"
		}
	case kind == 10 && len(m.Tenants) > 0:
		i := some(len(m.Tenants))
		m.Tenants = slices.Delete(m.Tenants, i, i+1)
	case kind == 11:
		m.Tenants = append(m.Tenants, Tenant{fmt.Sprint("t", rapid.IntRange(0, 60).Draw(t, "name")), 1, []Home{{Cell: cell()}}})
	case kind == 12 && len(m.Tenants) > 0:
		m.Tenants[some(len(m.Tenants))].Rate = float64(some(9) - 1)
	case kind >= 13 && len(m.Tenants) > 0:
		tenant := &m.Tenants[some(len(m.Tenants))]
		if some(4) == 0 {
			tenant.Homes = tenant.Homes[1:]
		} else {
			tenant.Homes = append(tenant.Homes, Home{Cell: cell(), Shard: some(3), Since: when() + 20000, IsAbort: some(6) == 0})
		}
	}
}

// ---- Properties ----

// Over random maps and changes of them, good and bad: a map that was joined from what changed says, of whether it is good, whether it
// can follow the one before, what differs and where a request goes, what the plain way says of the whole; and one from a file says it
// in the same words.
func TestPartsAreTheWhole(t *testing.T) {
	good, bad, follows, not := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		old := drawMap(t)
		before, err := Join(nil, partsOf(old))
		if (err == nil) != (old.Check() == nil) {
			t.Fatalf("joined: %v, the whole: %v", err, old.Check())
		}
		if err != nil {
			return
		}
		old.Index()
		m := copied(old)
		m.Version++
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			mutate(t, m)
		}
		delta := changed(old, m)
		for _, from := range []*Map{before, old} {
			base := "a file"
			if from == before {
				base = "a map in parts"
			}
			joined, err := Join(from, delta)
			if (err == nil) != (m.Check() == nil) {
				t.Fatalf("on %s: joined: %v, the whole: %v", base, err, m.Check())
			}
			if err != nil {
				bad++
				continue
			}
			good++
			known := t0.Add(time.Duration(rapid.IntRange(-60000, 0).Draw(t, "known")) * time.Millisecond)
			want := plainFollows(m, old, known, t0)
			for what, got := range map[string]error{
				"joined after it": joined.FollowsLate(from, known, t0), "joined after the file": joined.FollowsLate(old, known, t0),
				"a file after parts": m.FollowsLate(before, known, t0),
			} {
				if (got == nil) != (want == nil) {
					t.Fatalf("on %s, %s: %v, want %v", base, what, got, want)
				}
			}
			if want == nil {
				follows++
			} else {
				not++
			}
			if got := m.FollowsLate(old, known, t0); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%v, want %v", got, want)
			}
			if got := Diff(old, m); !slices.Equal(got, plainDiff(old, m)) {
				t.Fatalf("%q, want %q", got, plainDiff(old, m))
			}
			for what, got := range map[string][]string{"from it": Diff(from, joined), "from the file": Diff(old, joined)} {
				if !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(plainDiff(old, m)))) {
					t.Fatalf("on %s, %s: %q, want %q", base, what, got, plainDiff(old, m))
				}
			}
			least := 0 // of tenants that have to be looked at
			for i := range TenantParts {
				_, changed := delta.Tenants[i]
				if shared := joined.index.tenants[i] == from.anyIndex().tenants[i]; shared == changed {
					t.Fatalf("on %s, part %d: changed %v, shared %v", base, i, changed, shared)
				}
				least += len(delta.Tenants[i])
			}
			looked := 0
			for range joined.tenantsNotIn(from.anyIndex()) {
				looked++
			}
			if looked != least {
				t.Fatalf("on %s: %d tenants are looked at, not the %d of the parts that changed", base, looked, least)
			}
			if same := joined.SameServers(from); same != (len(delta.Servers) == 0) {
				t.Fatalf("the same servers: %v, with %d parts of them changed", same, len(delta.Servers))
			}
			flat := joined.Flat()
			if flat.Check() != nil || len(plainDiff(m, flat))+len(plainDiff(flat, m)) > 0 || flat.Version != m.Version || flat.Epoch != m.Epoch {
				t.Fatalf("flat: %v, %q", flat.Check(), plainDiff(m, flat))
			}
			if s, n := joined.Size(); s != len(m.Servers) || n != len(m.Tenants) {
				t.Fatalf("%d servers and %d tenants, of %d and %d", s, n, len(m.Servers), len(m.Tenants))
			}
			if !routesAlike(t, m, joined) {
				return
			}
			if a, b := plainOverlap(m, t0), joined.Overlap(t0); math.Abs(a-b) > 1e-9 {
				t.Fatalf("overlap %v, want %v", b, a)
			}
		}
		if m.Check() == nil {
			m.Index()
			routesAlike(t, m, m)
		}
	})
	if good < 10 || bad < 10 || follows < 10 || not < 10 {
		t.Errorf("%d good and %d bad, %d that follow and %d that don't: too few to say anything", good, bad, follows, not)
	}
}

func routesAlike(t *rapid.T, m, other *Map) bool {
	for range 5 {
		tenant := rapid.SampledFrom([]string{"kvizmojster", "krcmarski", "t0", "t7", "t33", "nobody", ""}).Draw(t, "tenant")
		key := rapid.SampledFrom([]string{"", "k1", "k2", "k3"}).Draw(t, "key")
		now := t0.Add(time.Duration(rapid.IntRange(-60000, 60000).Draw(t, "at")) * time.Millisecond)
		want, ok := plainRoute(m, now, tenant, key)
		got, found := other.Route(now, tenant, key)
		if other != m { // a map in parts has its servers by their names
			slices.Sort(want.Servers)
			slices.Sort(got.Servers)
		}
		if ok != found || !reflect.DeepEqual(got, want) {
			t.Fatalf("%q, %q at %v: %+v, %v, want %+v, %v", tenant, key, now.Sub(t0), got, found, want, ok)
		}
		name, rate := other.AgreedRate(tenant)
		if p := plainTenant(m, tenant, false); p != nil && (p.Name != name || p.Rate != rate) {
			t.Fatalf("agreed with %q: %q, %v", tenant, name, rate)
		}
	}
	return true
}

// A part that is no good is named with its field, and the map before is as it was.
func TestJoinNamesThePart(t *testing.T) {
	m := fleet(12)
	old, err := Join(nil, partsOf(m))
	if err != nil {
		t.Fatal(err)
	}
	at, other := ServerPart("s0"), ServerPart("s1")
	stray := (TenantPart("pametna") + 1) % TenantParts
	server := func(change func(s *Server)) Parts {
		s := m.Servers[0]
		change(&s)
		list := partsOf(m).Servers[at]
		return Parts{Servers: map[int][]Server{at: append(slices.DeleteFunc(list, func(s Server) bool { return s.Name == "s0" }), s)}}
	}
	head := func(change func(m *Map)) Parts {
		c := copied(m)
		change(c)
		return Parts{Head: c}
	}
	for _, c := range []struct {
		want string
		p    Parts
	}{
		{"part top: version: under 1: 0", Parts{Top: &Map{}}},
		{"part head: window_ms: not above 0: 0", head(func(m *Map) { m.KeyWindow = 0 })},
		{`part head: cells[3]: "d" has no server that stays`, head(func(m *Map) { m.Cells = append(m.Cells, Cell{Name: "d"}) })},
		{`: no such cell: "a"`, head(func(m *Map) { m.Cells = m.Cells[1:] })},
		{fmt.Sprintf("part s%02x: servers[", at), server(func(s *Server) { s.Weight = 0 })},
		{fmt.Sprintf("part s%02x: servers[", at), server(func(s *Server) { s.Addr = m.Servers[1].Addr })},
		{`no such cell: "x"`, server(func(s *Server) { s.Cell = "x" })},
		{fmt.Sprintf(`name: "s0" belongs in part s%02x`, at), Parts{Servers: map[int][]Server{other: {m.Servers[0]}}}},
		{fmt.Sprintf(`part t%02x: tenants[0].name: "pametna" belongs in part t%02x`, stray, TenantPart("pametna")),
			Parts{Tenants: map[int][]Tenant{stray: {m.Tenants[1]}}}},
		{fmt.Sprintf(`part t%02x: tenants[1].name: "pametna" given twice`, TenantPart("pametna")),
			Parts{Tenants: map[int][]Tenant{TenantPart("pametna"): {m.Tenants[1], m.Tenants[1]}}}},
		{fmt.Sprintf(`part t%02x: tenants[0].homes[0].cell: no such cell: "x"`, TenantPart("new")),
			Parts{Tenants: map[int][]Tenant{TenantPart("new"): {{"new", 1, []Home{{Cell: "x"}}}}}}},
	} {
		if _, err := Join(old, c.p); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v, want %s", err, c.want)
		}
	}
	if d := plainDiff(m, old.Flat()); len(d) > 0 || old.FollowsLate(old, t0, t0) != nil {
		t.Errorf("the map before has changed: %q", d)
	}
}

// A copy of a map with other lists is not answered from the index of the first.
func TestCopyHasItsOwnLists(t *testing.T) {
	m := fleet(12)
	m.Index()
	servers, tenants, fewer := *m, *m, *m
	servers.Servers = slices.Clone(m.Servers)
	servers.Servers[0].Weight = 9
	if s := servers.Server("s0"); s == nil || s.Weight != 9 {
		t.Errorf("%+v", s)
	}
	tenants.Tenants = slices.Clone(m.Tenants)
	tenants.Tenants[0].Rate = 7
	if _, rate := tenants.AgreedRate("kvizmojster"); rate != 7 {
		t.Errorf("rate %v", rate)
	}
	fewer.Servers, fewer.Tenants = m.Servers[:11], m.Tenants[:3]
	if _, ok := fewer.Route(t0, "nobody", ""); ok || fewer.Server("s11") != nil {
		t.Error("what was left out is found")
	}
	for _, c := range []*Map{&servers, &tenants, &fewer} {
		if c.Follows(m, t0) == nil {
			t.Error("a map of the same version that differs follows")
		}
	}
	for name, next := range map[string]*Map{"joined": must(Join(m, Parts{})), "a file": m} {
		gone, err := next.PlanRemoval(t0, "s0")
		if err != nil || gone.Server("s0").LeavesAt == 0 || next.Server("s0").LeavesAt != 0 || gone.Check() != nil {
			t.Errorf("%s: %v, %+v", name, err, next.Server("s0"))
		}
	}
}

func must(m *Map, err error) *Map {
	if err != nil {
		panic(err)
	}
	return m
}

// The next change by the time alone is the first time at which some route may differ.
func TestNextChange(t *testing.T) {
	m := fleet(12)
	m.Servers[3].LeavesAt = t0.UnixMilli() + 500
	m.Tenants[1].Homes = append(m.Tenants[1].Homes, Home{Cell: "c", Since: t0.UnixMilli() + 300})
	m.Index()
	for name, m := range map[string]*Map{"a file": m, "joined": must(Join(nil, partsOf(m)))} {
		var times []int64
		for at := t0.Add(-time.Second); ; {
			next, ok := m.NextChange(at)
			if !ok {
				break
			}
			times, at = append(times, next.Sub(t0).Milliseconds()), next
		}
		if !slices.Equal(times, []int64{300, 500}) {
			t.Errorf("%s: %v", name, times)
		}
	}
}
