// Package cells decides which server of a fleet a request belongs to: a versioned map of servers in cells and of tenants
// in cells, the home of every key, and moves of tenants and servers that lose no repeat. It has no I/O, no clock and no
// goroutine. Everything follows from the map and the time, so that routers that have read the same map agree without
// talking, and one that restarts knows all that it knew. docs/design/cells.md weighs the ways.
package cells

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Map is who serves whom. It is never changed once it is checked; a change is a new map of a higher version. Its servers and tenants
// stand in lists, as in a file, or, where it was joined from parts, in these alone: AllServers and AllTenants run over either, and
// Flat has lists of either.
type Map struct {
	Version       int
	Epoch         uint64        // of the keeper that made it, 0 where there is none: docs/duties.md
	KeyWindow     time.Duration // a sheet may come again for so long after its run began
	MaxClockSkew  time.Duration // by which the clocks of two routers may differ
	Lease         time.Duration // a router that has not read a good map for so long sends no more sheets
	CallerTimeout time.Duration // the longest that a caller waits
	Cells         []Cell
	Servers       []Server
	Tenants       []Tenant

	index *index // nil: what is asked for is searched for in the lists
}

// Cell is a part of the fleet.
type Cell struct {
	Name     string
	Capacity float64 // requests a second that one of its servers of weight 1 can do
}

// Server is a member of a cell from a time to a time.
type Server struct {
	Name, Addr, Cell  string
	AdminAddr         string // where its operators call, for a roll; empty: it takes part in none
	Weight            float64
	JoinsAt, LeavesAt int64 // Unix milliseconds; Until 0: for good
}

// Tenant is a customer and the cells that it has lived in, the latest last.
type Tenant struct {
	Name  string  // "" is all tenants that are not named
	Rate  float64 // requests a second, as agreed
	Homes []Home
}

// Home is a tenant's place from a time on.
type Home struct {
	Cell    string
	Shard   int   // so many servers of the cell, drawn for the tenant; 0: all
	Since   int64 // Unix milliseconds
	IsAbort bool  // it takes a move back
}

// Check names the first field that no map can have.
func (m *Map) Check() error {
	m = m.Flat()
	if err := m.checkTop(); err != nil {
		return err
	}
	cells, err := m.checkHead()
	if err != nil {
		return err
	}
	has := func(name string) bool { return cells[name] }
	if err := m.checkServers(has); err != nil {
		return err
	}
	names := make(map[string]bool, len(m.Tenants))
	for i := range m.Tenants {
		if err := m.Tenants[i].check(has, names); err != nil {
			return fmt.Errorf("tenants[%d].%w", i, err)
		}
	}
	return nil
}

func (m *Map) checkTop() error {
	if m.Version < 1 {
		return fmt.Errorf("version: under 1: %d", m.Version)
	}
	return nil
}

// checkHead checks the times and the cells, and returns the names of these.
func (m *Map) checkHead() (map[string]bool, error) {
	for _, f := range []struct {
		name string
		d    time.Duration
		zero bool
	}{{"window_ms", m.KeyWindow, false}, {"skew_ms", m.MaxClockSkew, true}, {"lease_ms", m.Lease, false}, {"patience_ms", m.CallerTimeout, false}} {
		if f.d < 0 || f.d == 0 && !f.zero {
			return nil, fmt.Errorf("%s: not above 0: %d", f.name, f.d.Milliseconds())
		}
	}
	cells := map[string]bool{}
	for i, c := range m.Cells {
		switch {
		case c.Name == "":
			return nil, fmt.Errorf("cells[%d].name: missing", i)
		case cells[c.Name]:
			return nil, fmt.Errorf("cells[%d].name: %q given twice", i, c.Name)
		case !(c.Capacity >= 0) || math.IsInf(c.Capacity, 1):
			return nil, fmt.Errorf("cells[%d].capacity: not a number of 0 or more: %v", i, c.Capacity)
		}
		cells[c.Name] = true
	}
	if len(cells) == 0 {
		return nil, fmt.Errorf("cells: none")
	}
	return cells, nil
}

func (m *Map) checkServers(has func(cell string) bool) error {
	names, addrs, full := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for i := range m.Servers {
		s := &m.Servers[i]
		if err := s.check(has, names, addrs); err != nil {
			return fmt.Errorf("servers[%d].%w", i, err)
		}
		full[s.Cell] = full[s.Cell] || s.LeavesAt == 0
	}
	for i, c := range m.Cells {
		if !full[c.Name] {
			return fmt.Errorf("cells[%d]: %q has no server that stays", i, c.Name)
		}
	}
	return nil
}

// check names the first field that no server can have beside those whose names and addresses are given, and adds its own.
func (s *Server) check(has func(cell string) bool, names, addrs map[string]bool) error {
	switch {
	case s.Name == "":
		return errors.New("name: missing")
	case names[s.Name]:
		return fmt.Errorf("name: %q given twice", s.Name)
	case s.Addr == "":
		return errors.New("addr: missing")
	case addrs[s.Addr]:
		return fmt.Errorf("addr: %q given twice", s.Addr)
	case !has(s.Cell):
		return fmt.Errorf("cell: no such cell: %q", s.Cell)
	case !(s.Weight > 0) || math.IsInf(s.Weight, 1):
		return fmt.Errorf("weight: not above 0: %v", s.Weight)
	case s.JoinsAt < 0 || s.LeavesAt < 0 || s.LeavesAt > 0 && s.LeavesAt <= s.JoinsAt:
		return fmt.Errorf("until_ms: not after from_ms: %d", s.LeavesAt)
	}
	names[s.Name], addrs[s.Addr] = true, true
	return nil
}

// check names the first field that no tenant can have beside those whose names are given, and adds its own.
func (t *Tenant) check(has func(cell string) bool, names map[string]bool) error {
	if names[t.Name] {
		return fmt.Errorf("name: %q given twice", t.Name)
	}
	names[t.Name] = true
	if !(t.Rate >= 0) || math.IsInf(t.Rate, 1) {
		return fmt.Errorf("rate: not a number of 0 or more: %v", t.Rate)
	}
	if len(t.Homes) == 0 {
		return fmt.Errorf("homes: %q has no cell", t.Name)
	}
	for j, h := range t.Homes {
		switch {
		case !has(h.Cell):
			return fmt.Errorf("homes[%d].cell: no such cell: %q", j, h.Cell)
		case h.Shard < 0:
			return fmt.Errorf("homes[%d].shard: negative: %d", j, h.Shard)
		case j > 0 && h.Since <= t.Homes[j-1].Since:
			return fmt.Errorf("homes[%d].from_ms: not after that of the home before: %d", j, h.Since)
		case h.IsAbort && (j < 2 || h.Cell != t.Homes[j-2].Cell):
			return fmt.Errorf("homes[%d].abort: it takes no move back", j)
		}
	}
	return nil
}

// Follows reports, naming the field, why another map can't take this one's place now. What has been in force can't be
// changed, since keys have run where it sent them; what is to come must be announced a lease ahead, so that whoever
// has not heard of it sends no more sheets by the time it holds.
func (m *Map) Follows(old *Map, now time.Time) error { return m.FollowsLate(old, now, now) }

// FollowsLate is Follows for one that last knew the old map to be the newest at a time, and has sent no sheets by it for more
// than a lease after that: what was announced a lease ahead of then holds for it too, however late it hears of it. Of two maps that
// share parts it looks at the others alone.
func (m *Map) FollowsLate(old *Map, known, now time.Time) error {
	if m == old {
		return nil
	}
	if m.Version == old.Version && len(Diff(old, m)) == 0 {
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
	x, before := m.anyIndex(), old.anyIndex()
	others := before.tenant("")
	least := known.Add(m.Lease + m.MaxClockSkew).UnixMilli()
	kept := now.Add(-m.overlapWindow()).UnixMilli() // what ended before may be left out
	for at, t := range m.tenantsNotIn(before) {
		was := before.tenant(t.Name)
		for j, h := range t.Homes {
			known := was != nil && slices.Contains(was.Homes, h)
			if !known && h.Since < least && !(j == 0 && was == nil && h.Since == 0) {
				return fmt.Errorf("%v.homes[%d].from_ms: not a lease ahead: %d is before %d", at, j, h.Since, least)
			}
		}
		if was == nil {
			if others != nil && t.Homes[0] != others.Homes[0] {
				return fmt.Errorf("%v.homes[0]: a tenant that is named anew begins where the unnamed live", at)
			}
			continue
		}
		for j, h := range was.Homes {
			ended := j+1 < len(was.Homes) && was.Homes[j+1].Since < kept || t.Homes[0].Since >= least && t.Homes[0].Since < kept
			if !slices.Contains(t.Homes, h) && !ended && h.Since < least {
				return fmt.Errorf("%v.homes: %q was in %q, which can't be undone: append a home", at, t.Name, h.Cell)
			}
		}
	}
	for _, t := range old.tenantsNotIn(x) {
		if x.tenant(t.Name) == nil {
			return fmt.Errorf("tenants: %q is gone", t.Name)
		}
	}
	return m.checkServersFollow(old, x, before, least, kept)
}

func (m *Map) checkServersFollow(old *Map, x, before *index, least, kept int64) error {
	for at, s := range m.serversNotIn(before) {
		was := before.server(s.Name)
		switch {
		case was == nil:
			if s.JoinsAt < least {
				return fmt.Errorf("%v.from_ms: not a lease ahead: %d is before %d", at, s.JoinsAt, least)
			}
		case s.Cell != was.Cell || s.Weight != was.Weight || s.JoinsAt != was.JoinsAt && was.JoinsAt < least:
			return fmt.Errorf("%v: %q changes its cell, weight or from_ms: give it another name", at, s.Name)
		case s.LeavesAt != was.LeavesAt && (s.LeavesAt > 0 && s.LeavesAt < least || was.LeavesAt > 0 && was.LeavesAt < least):
			return fmt.Errorf("%v.until_ms: not a lease ahead: %d is before %d", at, s.LeavesAt, least)
		}
	}
	for _, s := range old.serversNotIn(x) {
		// One that had left before what may be left out, by a map that was never heard of, is not missed.
		if x.server(s.Name) == nil && (s.LeavesAt == 0 && least >= kept || s.LeavesAt >= kept) {
			return fmt.Errorf("servers: %q is gone, and its keys may come again: set until_ms", s.Name)
		}
	}
	return nil
}

// Server returns a server by its name, nil for none.
func (m *Map) Server(name string) *Server {
	if x := m.validIndex(); x != nil {
		return x.server(name)
	}
	for i := range m.Servers {
		if m.Servers[i].Name == name {
			return &m.Servers[i]
		}
	}
	return nil
}

// tenant returns a tenant, or, where it is not named and the exact one is not asked for, that of all others.
func (m *Map) tenant(name string, exact bool) *Tenant {
	if x := m.validIndex(); x != nil {
		t := x.tenant(name)
		if t == nil && !exact {
			t = x.tenant("")
		}
		return t
	}
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

// Agreed is a tenant's name in the map, "" for all that are not named, and the rate agreed with it.
func (m *Map) AgreedRate(tenant string) (name string, rate float64) {
	if t := m.tenant(tenant, false); t != nil {
		return t.Name, t.Rate
	}
	return "", 0
}

// overlapWindow is how long after a change a key may still come again from where it ran before: its window, from the last run that
// a router whose clock is behind may have sent there, and as long as its caller waits for it.
func (m *Map) overlapWindow() time.Duration { return m.KeyWindow + m.CallerTimeout + 2*m.MaxClockSkew }

// ---- Homes ----

// rendezvousScore is a server's rendezvous score for a key: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous"
// (1996), weighted as by Schindelhauer and Schomaker (2005).
func rendezvousScore(key, server string, weight float64) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(server)
	d.WriteString("\x00")
	d.WriteString(key)
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// members are the servers of a cell at a time, of all that ever belong to it. The list is not to be changed.
func (m *Map) activeServers(cell string, at int64) []*Server {
	var list []*Server
	if x := m.validIndex(); x != nil {
		c := x.cells[cell]
		if c == nil {
			return nil
		}
		if !slices.ContainsFunc(c.servers, func(s *Server) bool { return !s.isActive(at) }) {
			return c.servers
		}
		list = make([]*Server, 0, len(c.servers))
		for _, s := range c.servers {
			if s.isActive(at) {
				list = append(list, s)
			}
		}
		return list
	}
	for i := range m.Servers {
		s := &m.Servers[i]
		if s.Cell == cell && s.isActive(at) {
			list = append(list, s)
		}
	}
	return list
}

// in reports whether a server belongs to its cell at a time.
func (s *Server) isActive(at int64) bool {
	return s.JoinsAt <= at && (s.LeavesAt == 0 || at < s.LeavesAt)
}

// home is a tenant's home at a time.
func (t *Tenant) homeAt(at int64) Home {
	h := t.Homes[0]
	for _, next := range t.Homes[1:] {
		if next.Since <= at {
			h = next
		}
	}
	return h
}

// drawShard draws a tenant's servers from those of its cell: the first of them by the rendezvous score of its name, so that
// one server more or less changes at most one of them.
func drawShard(tenant string, n int, list []*Server) []*Server {
	if n <= 0 || n >= len(list) {
		return list
	}
	all := make([]scoredServer, len(list))
	for i, s := range list {
		all[i] = scoredServer{s, rendezvousScore("shard\x00"+tenant, s.Name, s.Weight)}
	}
	slices.SortFunc(all, scoredServer.before)
	drawn := make([]*Server, n)
	for i := range drawn {
		drawn[i] = all[i].Server
	}
	return drawn
}

// at returns the servers of a tenant at a time.
func (m *Map) serversOf(t *Tenant, name string, when int64) []*Server {
	h := t.homeAt(when)
	return drawShard(name, h.Shard, m.activeServers(h.Cell, when))
}

// pick is the server of a list whose score for a key is the highest.
func highestScore(list []*Server, tenant, key string) *Server {
	var best *Server
	most := 0.0
	for _, s := range list {
		if v := rendezvousScore(tenant+"\x00"+key, s.Name, s.Weight); best == nil || v > most || v == most && s.Name < best.Name {
			best, most = s, v
		}
	}
	return best
}

// Route is where a request may go.
type Route struct {
	Cell        string
	Servers     []string // those of its tenant, for what needs no home
	Home        string   // of its key; empty without one
	FormerHomes []string // former homes, which may know the key: to be asked, the latest first, before the home runs it
	State       State    // of its tenant
}

// Route tells where a request of a tenant with a key goes at a time. ok is false where the map has no place for it.
func (m *Map) Route(now time.Time, tenant, key string) (r Route, ok bool) {
	t := m.tenant(tenant, false)
	if t == nil {
		return r, false
	}
	at := now.UnixMilli()
	list := m.serversOf(t, tenant, at)
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
	r.Home = highestScore(list, tenant, key).Name
	for _, when := range m.recentChanges(t, at) {
		before := m.serversOf(t, tenant, when-1)
		if len(before) == 0 {
			continue
		}
		if former := highestScore(before, tenant, key).Name; former != r.Home && !slices.Contains(r.FormerHomes, former) {
			r.FormerHomes = append(r.FormerHomes, former)
		}
	}
	return r, true
}

// recentChanges are the times, the latest first, of the changes that a tenant's keys may come across: within the dual stretch
// before a time, and, as another router's clock may be ahead, just after it. Of servers, those of the cells that it has lived in
// count: others change nothing for it.
func (m *Map) recentChanges(t *Tenant, at int64) []int64 {
	least, most := at-m.overlapWindow().Milliseconds(), at
	var list []int64
	add := func(when int64) {
		if when > least && when <= most && when > 0 && !slices.Contains(list, when) {
			list = append(list, when)
		}
	}
	for _, h := range t.Homes[1:] {
		add(h.Since)
	}
	if x := m.validIndex(); x != nil {
		for _, h := range t.Homes {
			if c := x.cells[h.Cell]; c != nil {
				i, _ := slices.BinarySearch(c.changeTimes, least+1)
				for ; i < len(c.changeTimes) && c.changeTimes[i] <= most; i++ {
					add(c.changeTimes[i])
				}
			}
		}
	} else {
		for i := range m.Servers {
			add(m.Servers[i].JoinsAt)
			add(m.Servers[i].LeavesAt)
		}
	}
	slices.SortFunc(list, func(a, b int64) int { return cmp.Compare(b, a) })
	return list
}

// ---- Moves ----

// State is the state of a tenant's latest move. Each is entered and left by the time alone.
type State int

const (
	Settled  State = iota // it lives in one cell, and no repeat can come from another
	Prepared              // announced, not yet in force: left when its time comes, a lease and the skew after the announcement at least
	Dual                  // in force: former homes are asked first; left after the window, a caller's patience and twice the skew
	Draining              // nobody is asked any more; former homes may still have answers to give: left after a caller's patience
	Aborted               // taken back: the stretch of Dual in the other direction
)

func (s State) String() string {
	return [...]string{"settled", "prepared", "dual", "draining", "aborted"}[s]
}

// MoveState is the state of a tenant's latest move at a time.
func (m *Map) MoveState(tenant string, now time.Time) (State, bool) {
	t := m.tenant(tenant, false)
	if t == nil {
		return Settled, false
	}
	return m.moveState(t, now.UnixMilli()), true
}

func (m *Map) moveState(t *Tenant, at int64) State {
	if len(t.Homes) < 2 {
		return Settled
	}
	last := t.Homes[len(t.Homes)-1]
	switch since := at - last.Since; {
	case since < 0 && last.IsAbort:
		return Dual // the move still holds until its abort does
	case since < 0:
		return Prepared
	case since < m.overlapWindow().Milliseconds() && last.IsAbort:
		return Aborted
	case since < m.overlapWindow().Milliseconds():
		return Dual
	case since < (m.overlapWindow() + m.CallerTimeout).Milliseconds():
		return Draining
	}
	return Settled
}

// fields are a server's fields as operators' scripts read them from Diff. They stay under these names, whatever the fields' own are.
func (s *Server) fields() string {
	return fmt.Sprintf("{Name:%s Addr:%s Cell:%s Mgmt:%s Weight:%v From:%d Until:%d}", s.Name, s.Addr, s.Cell, s.AdminAddr, s.Weight, s.JoinsAt, s.LeavesAt)
}

// Diff names what differs between two maps, a line each. Parts that they share are not looked at.
func Diff(old, m *Map) []string {
	if m == old {
		return nil
	}
	x, before := m.anyIndex(), old.anyIndex()
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
	for _, s := range m.serversNotIn(before) {
		switch was := before.server(s.Name); {
		case was == nil:
			add("server %s: new in cell %s from %d", s.Name, s.Cell, s.JoinsAt)
		case *was != *s:
			add("server %s: %s, was %s", s.Name, s.fields(), was.fields())
		}
	}
	for _, s := range old.serversNotIn(x) {
		if x.server(s.Name) == nil {
			add("server %s: gone", s.Name)
		}
	}
	for _, t := range m.tenantsNotIn(before) {
		was := before.tenant(t.Name)
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
	for _, t := range old.tenantsNotIn(x) {
		if x.tenant(t.Name) == nil {
			add("tenant %q: gone", t.Name)
		}
	}
	if old.KeyWindow != m.KeyWindow || old.MaxClockSkew != m.MaxClockSkew || old.Lease != m.Lease || old.CallerTimeout != m.CallerTimeout {
		add("times: window %v, skew %v, lease %v, patience %v", m.KeyWindow, m.MaxClockSkew, m.Lease, m.CallerTimeout)
	}
	return list
}
