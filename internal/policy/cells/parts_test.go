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

// ---- Reference implementation of docs/design/cells.md: it searches every list from end to end ----

func referenceServer(m *Map, name string) *Server {
	for i := range m.Servers {
		if m.Servers[i].Name == name {
			return &m.Servers[i]
		}
	}
	return nil
}

func referenceTenant(m *Map, name string, exact bool) *Tenant {
	var defaultTenant *Tenant
	for i := range m.Tenants {
		if m.Tenants[i].Name == name {
			return &m.Tenants[i]
		}
		if m.Tenants[i].Name == "" {
			defaultTenant = &m.Tenants[i]
		}
	}
	if exact {
		return nil
	}
	return defaultTenant
}

func referenceFollows(m, old *Map, confirmedAt, now time.Time) error {
	if m.Version == old.Version && len(referenceDiff(old, m)) == 0 {
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
	earliest := confirmedAt.Add(m.Lease + m.MaxClockSkew).UnixMilli()
	retainedFrom := now.Add(-m.OverlapWindow()).UnixMilli()
	for i, t := range m.Tenants {
		previous := referenceTenant(old, t.Name, true)
		if defaultTenant := referenceTenant(old, t.Name, false); previous == nil && defaultTenant != nil {
			if at, j, was := referenceMove(defaultTenant, &t, retainedFrom, earliest); at > 0 {
				return fmt.Errorf("tenants[%d].homes[%d]: a tenant that is named anew begins where the unnamed live: in cell %q with shard %d at %d",
					i, j, was.Cell, was.ShardSize, at)
			}
			continue
		}
		for j, h := range t.Homes {
			existed := previous != nil && slices.Contains(previous.Homes, h)
			if !existed && h.Since < earliest && (j != 0 || previous != nil || h.Since != 0) {
				return fmt.Errorf("tenants[%d].homes[%d].from_ms: not a lease ahead: %d is before %d", i, j, h.Since, earliest)
			}
		}
		if previous == nil {
			continue
		}
		for j, h := range previous.Homes {
			ended := j+1 < len(previous.Homes) && previous.Homes[j+1].Since < retainedFrom || t.Homes[0].Since >= earliest && t.Homes[0].Since < retainedFrom
			if !slices.Contains(t.Homes, h) && !ended && h.Since < earliest {
				return fmt.Errorf("tenants[%d].homes: %q was in %q, which can't be undone: append a home", i, t.Name, h.Cell)
			}
		}
		if at, j, was := referenceMove(previous, &t, retainedFrom, earliest); at > 0 {
			return fmt.Errorf("tenants[%d].homes[%d]: %q moves from %q to %q without notice, at %d", i, j, t.Name, was.Cell, t.Homes[j].Cell, at)
		}
	}
	for _, t := range old.Tenants {
		if referenceTenant(m, t.Name, true) == nil {
			return fmt.Errorf("tenants: %q is gone", t.Name)
		}
	}
	for i, s := range m.Servers {
		previous := referenceServer(old, s.Name)
		switch {
		case previous == nil:
			if s.JoinsAt < earliest {
				return fmt.Errorf("servers[%d].from_ms: not a lease ahead: %d is before %d", i, s.JoinsAt, earliest)
			}
		case s.Cell != previous.Cell || s.Weight != previous.Weight || s.JoinsAt != previous.JoinsAt && previous.JoinsAt < earliest:
			return fmt.Errorf("servers[%d]: %q changes its cell, weight or from_ms: give it another name", i, s.Name)
		case s.LeavesAt != previous.LeavesAt && (s.LeavesAt > 0 && s.LeavesAt < earliest || previous.LeavesAt > 0 && previous.LeavesAt < earliest):
			return fmt.Errorf("servers[%d].until_ms: not a lease ahead: %d is before %d", i, s.LeavesAt, earliest)
		}
	}
	for _, s := range old.Servers {
		if referenceServer(m, s.Name) == nil && (s.LeavesAt == 0 && earliest >= retainedFrom || s.LeavesAt >= retainedFrom) {
			return fmt.Errorf("servers: %q is gone, and its keys may come again: set until_ms", s.Name)
		}
	}
	return nil
}

// referenceHome returns the index of an entry's home at a time.
func referenceHome(t *Tenant, at int64) int {
	for j := len(t.Homes) - 1; j > 0; j-- {
		if t.Homes[j].Since <= at {
			return j
		}
	}
	return 0
}

// referenceMove returns the earliest time at which two entries have different homes, the index of the later entry's home then and the
// earlier entry's home. The time is 0 if there is none. Homes change only where one of them begins. If nothing that may be repeated ran
// before the given times, the entries are compared at the last millisecond before a change may take effect.
func referenceMove(was, is *Tenant, retainedFrom, effective int64) (earliest int64, home int, wasIn Home) {
	times := []int64{retainedFrom}
	for _, h := range slices.Concat(was.Homes, is.Homes) {
		times = append(times, h.Since)
	}
	if effective <= retainedFrom {
		if first := is.Homes[0].Since; first >= effective && first < retainedFrom {
			return 0, 0, Home{}
		}
		retainedFrom, times = effective-1, []int64{effective - 1}
	}
	for _, at := range times {
		a, b := was.Homes[referenceHome(was, at)], is.Homes[referenceHome(is, at)]
		differ := a.Cell != b.Cell || a.ShardSize != b.ShardSize
		if differ && at >= retainedFrom && at < effective && (earliest == 0 || at < earliest) {
			earliest, home, wasIn = at, referenceHome(is, at), a
		}
	}
	return earliest, home, wasIn
}

func referenceDiff(old, m *Map) []string {
	var lines []string
	addLine := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, c := range m.Cells {
		if i := slices.IndexFunc(old.Cells, func(o Cell) bool { return o.Name == c.Name }); i < 0 {
			addLine("cell %s: new", c.Name)
		} else if old.Cells[i] != c {
			addLine("cell %s: capacity %g, was %g", c.Name, c.Capacity, old.Cells[i].Capacity)
		}
	}
	for _, c := range old.Cells {
		if !slices.ContainsFunc(m.Cells, func(n Cell) bool { return n.Name == c.Name }) {
			addLine("cell %s: gone", c.Name)
		}
	}
	for _, s := range m.Servers {
		switch previous := referenceServer(old, s.Name); {
		case previous == nil:
			addLine("server %s: new in cell %s from %d", s.Name, s.Cell, s.JoinsAt)
		case *previous != s:
			addLine("server %s: %s, was %s", s.Name, s.formatFields(), previous.formatFields())
		}
	}
	for _, s := range old.Servers {
		if referenceServer(m, s.Name) == nil {
			addLine("server %s: gone", s.Name)
		}
	}
	for _, t := range m.Tenants {
		previous := referenceTenant(old, t.Name, true)
		if previous == nil {
			addLine("tenant %q: new in cell %s", t.Name, t.Homes[0].Cell)
			for _, h := range t.Homes[1:] {
				addLine("tenant %q: to cell %s at %d", t.Name, h.Cell, h.Since)
			}
			continue
		}
		if previous.Rate != t.Rate {
			addLine("tenant %q: rate %g, was %g", t.Name, t.Rate, previous.Rate)
		}
		for _, h := range t.Homes {
			if !slices.Contains(previous.Homes, h) {
				addLine("tenant %q: to cell %s at %d", t.Name, h.Cell, h.Since)
			}
		}
		for _, h := range previous.Homes {
			if !slices.Contains(t.Homes, h) {
				addLine("tenant %q: no longer in cell %s from %d", t.Name, h.Cell, h.Since)
			}
		}
	}
	for _, t := range old.Tenants {
		if referenceTenant(m, t.Name, true) == nil {
			addLine("tenant %q: gone", t.Name)
		}
	}
	if old.KeyWindow != m.KeyWindow || old.MaxClockSkew != m.MaxClockSkew || old.Lease != m.Lease || old.CallerTimeout != m.CallerTimeout {
		addLine("times: window %v, skew %v, lease %v, patience %v", m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout)
	}
	return lines
}

func referenceServersOf(m *Map, t *Tenant, name string, at int64) []*Server {
	h := t.homeAt(at)
	var list []*Server
	for i := range m.Servers {
		s := &m.Servers[i]
		if s.Cell == h.Cell && s.JoinsAt <= at && (s.LeavesAt == 0 || at < s.LeavesAt) {
			list = append(list, s)
		}
	}
	if h.ShardSize <= 0 || h.ShardSize >= len(list) {
		return list
	}
	slices.SortFunc(list, func(a, b *Server) int {
		return cmp.Or(cmp.Compare(rendezvousScore("shard\x00"+name, b.Name, b.Weight), rendezvousScore("shard\x00"+name, a.Name, a.Weight)),
			strings.Compare(a.Name, b.Name))
	})
	return list[:h.ShardSize]
}

func referenceRoute(m *Map, now time.Time, tenant, key string) (r Route, ok bool) {
	t := referenceTenant(m, tenant, false)
	if t == nil {
		return r, false
	}
	at := now.UnixMilli()
	list := referenceServersOf(m, t, tenant, at)
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
	windowStart := at - m.OverlapWindow().Milliseconds()
	var changeTimes []int64
	addChange := func(changedAt int64) {
		if changedAt > windowStart && changedAt <= at && changedAt > 0 && !slices.Contains(changeTimes, changedAt) {
			changeTimes = append(changeTimes, changedAt)
		}
	}
	for _, h := range t.Homes[1:] {
		addChange(h.Since)
	}
	for _, s := range m.Servers { // of all cells, unlike Map.recentChanges with an index
		addChange(s.JoinsAt)
		addChange(s.LeavesAt)
	}
	slices.SortFunc(changeTimes, func(a, b int64) int { return cmp.Compare(b, a) })
	for _, changedAt := range changeTimes {
		formerServers := referenceServersOf(m, t, tenant, changedAt-1)
		if len(formerServers) == 0 {
			continue
		}
		if former := highestScoring(formerServers, tenant, key).Name; former != r.Home && !slices.Contains(r.FormerHomes, former) {
			r.FormerHomes = append(r.FormerHomes, former)
		}
	}
	return r, true
}

func referenceOverlap(m *Map, now time.Time) float64 {
	at, sum, pairs := now.UnixMilli(), 0.0, 0
	for i := range m.Tenants {
		for j := range m.Tenants {
			a, b := &m.Tenants[i], &m.Tenants[j]
			if i == j || a.homeAt(at).Cell != b.homeAt(at).Cell {
				continue
			}
			common, own := 0, referenceServersOf(m, a, a.Name, at)
			for _, s := range referenceServersOf(m, b, b.Name, at) {
				if slices.Contains(own, s) {
					common++
				}
			}
			sum += float64(common) / float64(max(1, len(own)))
			pairs++
		}
	}
	return sum / float64(max(1, pairs))
}

// ---- Random maps ----

// deepCopy returns a map with the same contents that shares no memory with the original.
func deepCopy(m *Map) *Map {
	copied := *m
	copied.index = nil
	copied.Cells, copied.Servers, copied.Tenants = slices.Clone(m.Cells), slices.Clone(m.Servers), slices.Clone(m.Tenants)
	for i := range copied.Tenants {
		copied.Tenants[i].Homes = slices.Clone(copied.Tenants[i].Homes)
	}
	return &copied
}

// partsOf returns all parts of a map from a file.
func partsOf(m *Map) Parts {
	m = deepCopy(m)
	parts := Parts{Top: m, Head: m, Servers: map[int][]Server{}, Tenants: map[int][]Tenant{}}
	for i := range ServerParts {
		parts.Servers[i] = nil
	}
	for i := range TenantParts {
		parts.Tenants[i] = nil
	}
	for _, s := range m.Servers {
		parts.Servers[ServerPart(s.Name)] = append(parts.Servers[ServerPart(s.Name)], s)
	}
	for _, t := range m.Tenants {
		parts.Tenants[TenantPart(t.Name)] = append(parts.Tenants[TenantPart(t.Name)], t)
	}
	for _, list := range parts.Servers {
		slices.SortStableFunc(list, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	}
	for _, list := range parts.Tenants {
		slices.SortStableFunc(list, func(a, b Tenant) int { return strings.Compare(a.Name, b.Name) })
	}
	return parts
}

// changedParts returns the parts of a map that differ from those of the map before it. The entries of each part are in reverse order, as
// Join accepts any order.
func changedParts(old, m *Map) Parts {
	oldParts, parts := partsOf(old), partsOf(m)
	if oldParts.Top.Version == parts.Top.Version && oldParts.Top.Epoch == parts.Top.Epoch {
		parts.Top = nil
	}
	if h, o := parts.Head, oldParts.Head; h.KeyWindow == o.KeyWindow && h.MaxClockSkew == o.MaxClockSkew && h.Lease == o.Lease && h.CallerTimeout == o.CallerTimeout && slices.Equal(h.Cells, o.Cells) {
		parts.Head = nil
	}
	maps.DeleteFunc(parts.Servers, func(i int, list []Server) bool { return slices.Equal(list, oldParts.Servers[i]) })
	maps.DeleteFunc(parts.Tenants, func(i int, list []Tenant) bool { return reflect.DeepEqual(list, oldParts.Tenants[i]) })
	for _, list := range parts.Servers { // Join accepts any order
		slices.Reverse(list)
	}
	for _, list := range parts.Tenants {
		slices.Reverse(list)
	}
	return parts
}

// drawMap returns a random map, which may be invalid.
func drawMap(t *rapid.T) *Map {
	m := fleet(rapid.IntRange(4, 15).Draw(t, "servers"))
	for i := range rapid.IntRange(0, 40).Draw(t, "tenants") {
		cellNames := rapid.SampledFrom([]string{"a", "b", "c"})
		tenant := Tenant{fmt.Sprint("t", i), 1, []Home{{Cell: cellNames.Draw(t, "cell"), ShardSize: rapid.IntRange(0, 3).Draw(t, "shard")}}}
		for n := range rapid.IntRange(0, 2).Draw(t, "moves") {
			tenant.Homes = append(tenant.Homes, Home{Cell: cellNames.Draw(t, "cell"), Since: t0.UnixMilli() + int64(n*20000+rapid.IntRange(-19000, 0).Draw(t, "since"))})
		}
		m.Tenants = append(m.Tenants, tenant)
	}
	defaultTenant := referenceTenant(m, "", true)
	for n := range rapid.IntRange(0, 2).Draw(t, "moves of the default entry") {
		since := t0.UnixMilli() + int64(n*20000+rapid.IntRange(-39000, 0).Draw(t, "since"))
		defaultTenant.Homes = append(defaultTenant.Homes, Home{Cell: m.Cells[n].Name, Since: since})
	}
	if rapid.Bool().Draw(t, "no default entry") {
		m.Tenants = slices.DeleteFunc(m.Tenants, func(t Tenant) bool { return t.Name == "" })
	}
	return m
}

// mutate makes one random change to a map. The result may be invalid.
func mutate(t *rapid.T, m *Map) {
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "index") }
	drawTime := func() int64 { return t0.UnixMilli() + int64(rapid.IntRange(-30000, 30000).Draw(t, "time")) }
	drawCell := func() string {
		if pick(12) == 0 {
			return "nowhere"
		}
		return m.Cells[pick(len(m.Cells))].Name
	}
	switch kind := pick(16); {
	case kind == 0:
		m.Version += pick(3) - 1
	case kind == 1:
		m.Epoch++
	case kind == 2:
		m.KeyWindow += time.Duration(pick(3)-1) * time.Second
	case kind == 3:
		m.Cells[pick(len(m.Cells))].Capacity = float64(pick(3) * 100)
	case kind == 4:
		m.Cells = append(m.Cells, Cell{fmt.Sprint("new", len(m.Cells)), 1})
		if pick(2) == 0 {
			m.Servers = append(m.Servers, Server{Name: fmt.Sprint("in", len(m.Cells)), Addr: fmt.Sprint("x", len(m.Cells)), Cell: m.Cells[len(m.Cells)-1].Name, Weight: 1, JoinsAt: drawTime()})
		}
	case kind == 5 && len(m.Cells) > 1:
		i := pick(len(m.Cells))
		name := m.Cells[i].Name
		m.Cells = slices.Delete(m.Cells, i, i+1)
		if pick(2) == 0 { // and everything that refers to the cell
			m.Servers = slices.DeleteFunc(m.Servers, func(s Server) bool { return s.Cell == name })
			m.Tenants = slices.DeleteFunc(m.Tenants, func(t Tenant) bool {
				return slices.ContainsFunc(t.Homes, func(h Home) bool { return h.Cell == name })
			})
		}
	case kind == 6 && len(m.Servers) > 1:
		i := pick(len(m.Servers))
		m.Servers = slices.Delete(m.Servers, i, i+1)
	case kind == 7:
		n := rapid.IntRange(0, 200).Draw(t, "name")
		m.Servers = append(m.Servers, Server{Name: fmt.Sprint("s", n), Addr: fmt.Sprint("127.0.0.1:", 5000+n), Cell: drawCell(), Weight: 1, JoinsAt: drawTime()})
	case kind == 8:
		m.Servers[pick(len(m.Servers))].LeavesAt = drawTime()
	case kind == 9:
		s := &m.Servers[pick(len(m.Servers))]
		switch pick(5) {
		case 0:
			s.Cell = drawCell()
		case 1:
			s.Weight = float64(pick(3))
		case 2:
			s.JoinsAt = drawTime()
		case 3:
			s.Addr = fmt.Sprint("127.0.0.1:", 5000+pick(20))
		case 4:
			s.AdminAddr = "there"
		}
	case kind == 10 && len(m.Tenants) > 0:
		i := pick(len(m.Tenants))
		m.Tenants = slices.Delete(m.Tenants, i, i+1)
	case kind == 11:
		homes := []Home{{Cell: drawCell()}}
		if defaultTenant := referenceTenant(m, "", true); defaultTenant != nil && pick(4) > 0 {
			homes = slices.Clone(defaultTenant.Homes[pick(len(defaultTenant.Homes)):])
			homes[0].Since *= int64(pick(2))
		}
		m.Tenants = append(m.Tenants, Tenant{fmt.Sprint("t", rapid.IntRange(0, 60).Draw(t, "name")), 1, homes})
	case kind == 12 && len(m.Tenants) > 0:
		m.Tenants[pick(len(m.Tenants))].Rate = float64(pick(9) - 1)
	case kind >= 13 && len(m.Tenants) > 0:
		tenant := &m.Tenants[pick(len(m.Tenants))]
		if pick(4) == 0 {
			tenant.Homes = tenant.Homes[1:]
		} else {
			tenant.Homes = append(tenant.Homes, Home{Cell: drawCell(), ShardSize: pick(3), Since: drawTime() + 20000, IsAbort: pick(6) == 0})
		}
	}
}

// ---- Properties ----

// For random maps and random valid and invalid changes: a map that Join makes from the changed parts agrees with the reference
// implementation on validity, on whether it may follow the previous map, on the differences and on every route. A map from a file agrees
// with the reference implementation letter for letter.
func TestPartsAreTheWhole(t *testing.T) {
	valid, invalid, following, notFollowing := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		old := drawMap(t)
		joinedOld, err := Join(nil, partsOf(old))
		if (err == nil) != (old.Check() == nil) {
			t.Fatalf("Join: %v, Check of the whole map: %v", err, old.Check())
		}
		if err != nil {
			return
		}
		old.Index()
		m := deepCopy(old)
		m.Version++
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			mutate(t, m)
		}
		delta := changedParts(old, m)
		for _, base := range []*Map{joinedOld, old} {
			baseKind := "a file"
			if base == joinedOld {
				baseKind = "a joined map"
			}
			joined, err := Join(base, delta)
			if (err == nil) != (m.Check() == nil) {
				t.Fatalf("based on %s: Join: %v, Check of the whole map: %v", baseKind, err, m.Check())
			}
			if err != nil {
				invalid++
				continue
			}
			valid++
			confirmedAt := t0.Add(time.Duration(rapid.IntRange(-60000, 0).Draw(t, "known")) * time.Millisecond)
			want := referenceFollows(m, old, confirmedAt, t0)
			for pair, got := range map[string]error{
				"joined follows its base": joined.FollowsLate(base, confirmedAt, t0), "joined follows the file": joined.FollowsLate(old, confirmedAt, t0),
				"a file follows a joined map": m.FollowsLate(joinedOld, confirmedAt, t0),
			} {
				if (got == nil) != (want == nil) {
					t.Fatalf("based on %s: %s: %v, want %v", baseKind, pair, got, want)
				}
			}
			if want == nil {
				following++
			} else {
				notFollowing++
			}
			if got := m.FollowsLate(old, confirmedAt, t0); fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("FollowsLate between files: %v, want %v", got, want)
			}
			if got := Diff(old, m); !slices.Equal(got, referenceDiff(old, m)) {
				t.Fatalf("Diff between files: %q, want %q", got, referenceDiff(old, m))
			}
			for pair, got := range map[string][]string{"Diff from its base": Diff(base, joined), "Diff from the file": Diff(old, joined)} {
				if !slices.Equal(slices.Sorted(slices.Values(got)), slices.Sorted(slices.Values(referenceDiff(old, m)))) {
					t.Fatalf("based on %s: %s: %q, want %q", baseKind, pair, got, referenceDiff(old, m))
				}
			}
			changedTenants := 0 // number of tenants in changed parts
			for i := range TenantParts {
				_, changed := delta.Tenants[i]
				if shared := joined.index.tenants[i] == base.anyIndex().tenants[i]; shared == changed {
					t.Fatalf("based on %s: part %d: changed %v, shared %v", baseKind, i, changed, shared)
				}
				changedTenants += len(delta.Tenants[i])
			}
			visited := 0
			for range joined.tenantsNotIn(base.anyIndex()) {
				visited++
			}
			if visited != changedTenants {
				t.Fatalf("based on %s: %d tenants are visited, want the %d of the changed parts", baseKind, visited, changedTenants)
			}
			if same := joined.SameServers(base); same != (len(delta.Servers) == 0) {
				t.Fatalf("SameServers is %v with %d changed parts of servers", same, len(delta.Servers))
			}
			flat := joined.Flat()
			if flat.Check() != nil || len(referenceDiff(m, flat))+len(referenceDiff(flat, m)) > 0 || flat.Version != m.Version || flat.Epoch != m.Epoch {
				t.Fatalf("Flat: Check: %v, differences: %q", flat.Check(), referenceDiff(m, flat))
			}
			if servers, tenants := joined.Size(); servers != len(m.Servers) || tenants != len(m.Tenants) {
				t.Fatalf("Size: %d servers and %d tenants, want %d and %d", servers, tenants, len(m.Servers), len(m.Tenants))
			}
			if !compareRoutes(t, m, joined) {
				return
			}
			if want, got := referenceOverlap(m, t0), joined.Overlap(t0); math.Abs(want-got) > 1e-9 {
				t.Fatalf("Overlap is %v, want %v", got, want)
			}
		}
		if m.Check() == nil {
			m.Index()
			compareRoutes(t, m, m)
		}
	})
	if valid < 10 || invalid < 10 || following < 10 || notFollowing < 10 {
		t.Errorf("%d valid and %d invalid maps, %d that follow and %d that do not: want at least 10 of each", valid, invalid, following, notFollowing)
	}
}

// compareRoutes checks random routes and agreed rates of a map against the reference implementation on m. It fails t on a difference.
func compareRoutes(t *rapid.T, m, other *Map) bool {
	for range 5 {
		tenant := rapid.SampledFrom([]string{"kvizmojster", "krcmarski", "t0", "t7", "t33", "nobody", ""}).Draw(t, "tenant")
		key := rapid.SampledFrom([]string{"", "k1", "k2", "k3"}).Draw(t, "key")
		now := t0.Add(time.Duration(rapid.IntRange(-60000, 60000).Draw(t, "at")) * time.Millisecond)
		want, ok := referenceRoute(m, now, tenant, key)
		got, found := other.Route(now, tenant, key)
		if other != m { // a map that is joined from its parts lists its servers in the order of their names
			slices.Sort(want.Servers)
			slices.Sort(got.Servers)
		}
		if ok != found || !reflect.DeepEqual(got, want) {
			t.Fatalf("Route of tenant %q, key %q at %v: %+v, %v, want %+v, %v", tenant, key, now.Sub(t0), got, found, want, ok)
		}
		name, rate := other.AgreedRate(tenant)
		if p := referenceTenant(m, tenant, false); p != nil && (p.Name != name || p.Rate != rate) {
			t.Fatalf("AgreedRate of %q: %q, %v", tenant, name, rate)
		}
	}
	return true
}

// Join names the part and the field that are invalid, and leaves the previous map unchanged.
func TestJoinNamesThePart(t *testing.T) {
	m := fleet(12)
	old, err := Join(nil, partsOf(m))
	if err != nil {
		t.Fatal(err)
	}
	part, otherPart := ServerPart("s0"), ServerPart("s1")
	wrongPart := (TenantPart("pametna") + 1) % TenantParts
	server := func(change func(s *Server)) Parts {
		s := m.Servers[0]
		change(&s)
		list := partsOf(m).Servers[part]
		return Parts{Servers: map[int][]Server{part: append(slices.DeleteFunc(list, func(s Server) bool { return s.Name == "s0" }), s)}}
	}
	head := func(change func(m *Map)) Parts {
		changedMap := deepCopy(m)
		change(changedMap)
		return Parts{Head: changedMap}
	}
	for _, c := range []struct {
		want  string
		parts Parts
	}{
		{"part top: version: under 1: 0", Parts{Top: &Map{}}},
		{"part head: window_ms: not above 0: 0", head(func(m *Map) { m.KeyWindow = 0 })},
		{`part head: cells[3]: "d" has no server that stays`, head(func(m *Map) { m.Cells = append(m.Cells, Cell{Name: "d"}) })},
		{`: no such cell: "a"`, head(func(m *Map) { m.Cells = m.Cells[1:] })},
		{fmt.Sprintf("part s%02x: servers[", part), server(func(s *Server) { s.Weight = 0 })},
		{fmt.Sprintf("part s%02x: servers[", part), server(func(s *Server) { s.Addr = m.Servers[1].Addr })},
		{`no such cell: "x"`, server(func(s *Server) { s.Cell = "x" })},
		{fmt.Sprintf(`name: "s0" belongs in part s%02x`, part), Parts{Servers: map[int][]Server{otherPart: {m.Servers[0]}}}},
		{fmt.Sprintf(`part t%02x: tenants[0].name: "pametna" belongs in part t%02x`, wrongPart, TenantPart("pametna")),
			Parts{Tenants: map[int][]Tenant{wrongPart: {m.Tenants[1]}}}},
		{fmt.Sprintf(`part t%02x: tenants[1].name: "pametna" given twice`, TenantPart("pametna")),
			Parts{Tenants: map[int][]Tenant{TenantPart("pametna"): {m.Tenants[1], m.Tenants[1]}}}},
		{fmt.Sprintf(`part t%02x: tenants[0].homes[0].cell: no such cell: "x"`, TenantPart("new")),
			Parts{Tenants: map[int][]Tenant{TenantPart("new"): {{"new", 1, []Home{{Cell: "x"}}}}}}},
	} {
		if _, err := Join(old, c.parts); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("Join: %v, want %s", err, c.want)
		}
	}
	if d := referenceDiff(m, old.Flat()); len(d) > 0 || old.FollowsLate(old, t0, t0) != nil {
		t.Errorf("the previous map has changed: %q", d)
	}
}

// Guards against a copy of a map with other lists that still uses the index of the original.
func TestCopyHasItsOwnLists(t *testing.T) {
	m := fleet(12)
	m.Index()
	otherServers, otherTenants, shorter := *m, *m, *m
	otherServers.Servers = slices.Clone(m.Servers)
	otherServers.Servers[0].Weight = 9
	if s := otherServers.Server("s0"); s == nil || s.Weight != 9 {
		t.Errorf("server s0 of the copy: %+v, want weight 9", s)
	}
	otherTenants.Tenants = slices.Clone(m.Tenants)
	otherTenants.Tenants[0].Rate = 7
	if _, rate := otherTenants.AgreedRate("kvizmojster"); rate != 7 {
		t.Errorf("rate of kvizmojster in the copy: %v, want 7", rate)
	}
	shorter.Servers, shorter.Tenants = m.Servers[:11], m.Tenants[:3]
	if _, ok := shorter.Route(t0, "nobody", ""); ok || shorter.Server("s11") != nil {
		t.Error("a removed server or tenant is found")
	}
	for _, c := range []*Map{&otherServers, &otherTenants, &shorter} {
		if c.Follows(m, t0) == nil {
			t.Error("a different map of the same version follows")
		}
	}
	for name, next := range map[string]*Map{"joined": mustJoin(Join(m, Parts{})), "a file": m} {
		removal, err := next.PlanRemoval(t0, "s0")
		if err != nil || removal.Server("s0").LeavesAt == 0 || next.Server("s0").LeavesAt != 0 || removal.Check() != nil {
			t.Errorf("PlanRemoval on %s: %v, %+v", name, err, next.Server("s0"))
		}
	}
}

// mustJoin returns the result of Join and panics on an error.
func mustJoin(m *Map, err error) *Map {
	if err != nil {
		panic(err)
	}
	return m
}

// NextChange returns the earliest future time at which a route may change without a new map.
func TestNextChange(t *testing.T) {
	m := fleet(12)
	m.Servers[3].LeavesAt = t0.UnixMilli() + 500
	m.Tenants[1].Homes = append(m.Tenants[1].Homes, Home{Cell: "c", Since: t0.UnixMilli() + 300})
	m.Index()
	for name, m := range map[string]*Map{"a file": m, "joined": mustJoin(Join(nil, partsOf(m)))} {
		var changeTimes []int64
		for at := t0.Add(-time.Second); ; {
			next, ok := m.NextChange(at)
			if !ok {
				break
			}
			changeTimes, at = append(changeTimes, next.Sub(t0).Milliseconds()), next
		}
		if !slices.Equal(changeTimes, []int64{300, 500}) {
			t.Errorf("%s: NextChange returned the times %v, want 300 and 500", name, changeTimes)
		}
	}
}
