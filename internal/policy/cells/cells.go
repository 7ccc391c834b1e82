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
	Version int
	Epoch   uint64        // of the keeper that made it, 0 where there is none: docs/duties.md
	Window  time.Duration // a sheet may come again for so long after its run began
	Skew    time.Duration // by which the clocks of two routers may differ
	Lease   time.Duration // a router that has not read a good map for so long sends no more sheets
	Patient time.Duration // the longest that a caller waits
	Cells   []Cell
	Servers []Server
	Tenants []Tenant

	index *index // nil: what is asked for is searched for in the lists
}

// Cell is a part of the fleet.
type Cell struct {
	Name     string
	Capacity float64 // requests a second that one of its servers of weight 1 can do
}

// Server is a member of a cell from a time to a time.
type Server struct {
	Name, Addr, Cell string
	Mgmt             string // where its operators call, for a roll; empty: it takes part in none
	Weight           float64
	From, Until      int64 // Unix milliseconds; Until 0: for good
}

// Tenant is a customer and the cells that it has lived in, the latest last.
type Tenant struct {
	Name  string  // "" is all tenants that are not named
	Rate  float64 // requests a second, as agreed
	Homes []Home
}

// Home is a tenant's place from a time on.
type Home struct {
	Cell  string
	Shard int   // so many servers of the cell, drawn for the tenant; 0: all
	From  int64 // Unix milliseconds
	Abort bool  // it takes a move back
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
	}{{"window_ms", m.Window, false}, {"skew_ms", m.Skew, true}, {"lease_ms", m.Lease, false}, {"patience_ms", m.Patient, false}} {
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
		full[s.Cell] = full[s.Cell] || s.Until == 0
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
	case s.From < 0 || s.Until < 0 || s.Until > 0 && s.Until <= s.From:
		return fmt.Errorf("until_ms: not after from_ms: %d", s.Until)
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
		case j > 0 && h.From <= t.Homes[j-1].From:
			return fmt.Errorf("homes[%d].from_ms: not after that of the home before: %d", j, h.From)
		case h.Abort && (j < 2 || h.Cell != t.Homes[j-2].Cell):
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
	if m.Window < old.Window {
		return fmt.Errorf("window_ms: shorter than before")
	}
	if m.Skew != old.Skew || m.Lease != old.Lease {
		return fmt.Errorf("lease_ms: neither it nor skew_ms may change under way")
	}
	x, before := m.lookup(), old.lookup()
	others := before.tenant("")
	least := known.Add(m.Lease + m.Skew).UnixMilli()
	kept := now.Add(-m.dual()).UnixMilli() // what ended before may be left out
	for at, t := range m.tenantsBeside(before) {
		was := before.tenant(t.Name)
		for j, h := range t.Homes {
			known := was != nil && slices.Contains(was.Homes, h)
			if !known && h.From < least && !(j == 0 && was == nil && h.From == 0) {
				return fmt.Errorf("%v.homes[%d].from_ms: not a lease ahead: %d is before %d", at, j, h.From, least)
			}
		}
		if was == nil {
			if others != nil && t.Homes[0] != others.Homes[0] {
				return fmt.Errorf("%v.homes[0]: a tenant that is named anew begins where the unnamed live", at)
			}
			continue
		}
		for j, h := range was.Homes {
			ended := j+1 < len(was.Homes) && was.Homes[j+1].From < kept || t.Homes[0].From >= least && t.Homes[0].From < kept
			if !slices.Contains(t.Homes, h) && !ended && h.From < least {
				return fmt.Errorf("%v.homes: %q was in %q, which can't be undone: append a home", at, t.Name, h.Cell)
			}
		}
	}
	for _, t := range old.tenantsBeside(x) {
		if x.tenant(t.Name) == nil {
			return fmt.Errorf("tenants: %q is gone", t.Name)
		}
	}
	return m.followServers(old, x, before, least, kept)
}

func (m *Map) followServers(old *Map, x, before *index, least, kept int64) error {
	for at, s := range m.serversBeside(before) {
		was := before.server(s.Name)
		switch {
		case was == nil:
			if s.From < least {
				return fmt.Errorf("%v.from_ms: not a lease ahead: %d is before %d", at, s.From, least)
			}
		case s.Cell != was.Cell || s.Weight != was.Weight || s.From != was.From && was.From < least:
			return fmt.Errorf("%v: %q changes its cell, weight or from_ms: give it another name", at, s.Name)
		case s.Until != was.Until && (s.Until > 0 && s.Until < least || was.Until > 0 && was.Until < least):
			return fmt.Errorf("%v.until_ms: not a lease ahead: %d is before %d", at, s.Until, least)
		}
	}
	for _, s := range old.serversBeside(x) {
		// One that had left before what may be left out, by a map that was never heard of, is not missed.
		if x.server(s.Name) == nil && (s.Until == 0 && least >= kept || s.Until >= kept) {
			return fmt.Errorf("servers: %q is gone, and its keys may come again: set until_ms", s.Name)
		}
	}
	return nil
}

// Server returns a server by its name, nil for none.
func (m *Map) Server(name string) *Server {
	if x := m.indexed(); x != nil {
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
	if x := m.indexed(); x != nil {
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
func (m *Map) Agreed(tenant string) (name string, rate float64) {
	if t := m.tenant(tenant, false); t != nil {
		return t.Name, t.Rate
	}
	return "", 0
}

// dual is how long after a change a key may still come again from where it ran before: its window, from the last run that
// a router whose clock is behind may have sent there, and as long as its caller waits for it.
func (m *Map) dual() time.Duration { return m.Window + m.Patient + 2*m.Skew }

// ---- Homes ----

// score is a server's rendezvous score for a key: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous"
// (1996), weighted as by Schindelhauer and Schomaker (2005).
func score(key, server string, weight float64) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(server)
	d.WriteString("\x00")
	d.WriteString(key)
	u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// members are the servers of a cell at a time, of all that ever belong to it. The list is not to be changed.
func (m *Map) members(cell string, at int64) []*Server {
	var list []*Server
	if x := m.indexed(); x != nil {
		c := x.cells[cell]
		if c == nil {
			return nil
		}
		if !slices.ContainsFunc(c.servers, func(s *Server) bool { return !s.in(at) }) {
			return c.servers
		}
		list = make([]*Server, 0, len(c.servers))
		for _, s := range c.servers {
			if s.in(at) {
				list = append(list, s)
			}
		}
		return list
	}
	for i := range m.Servers {
		s := &m.Servers[i]
		if s.Cell == cell && s.in(at) {
			list = append(list, s)
		}
	}
	return list
}

// in reports whether a server belongs to its cell at a time.
func (s *Server) in(at int64) bool { return s.From <= at && (s.Until == 0 || at < s.Until) }

// home is a tenant's home at a time.
func (t *Tenant) home(at int64) Home {
	h := t.Homes[0]
	for _, next := range t.Homes[1:] {
		if next.From <= at {
			h = next
		}
	}
	return h
}

// shard draws a tenant's servers from those of its cell: the first of them by the rendezvous score of its name, so that
// one server more or less changes at most one of them.
func shard(tenant string, n int, list []*Server) []*Server {
	if n <= 0 || n >= len(list) {
		return list
	}
	all := make([]ranked, len(list))
	for i, s := range list {
		all[i] = ranked{s, score("shard\x00"+tenant, s.Name, s.Weight)}
	}
	slices.SortFunc(all, ranked.before)
	drawn := make([]*Server, n)
	for i := range drawn {
		drawn[i] = all[i].Server
	}
	return drawn
}

// at returns the servers of a tenant at a time.
func (m *Map) at(t *Tenant, name string, when int64) []*Server {
	h := t.home(when)
	return shard(name, h.Shard, m.members(h.Cell, when))
}

// pick is the server of a list whose score for a key is the highest.
func pick(list []*Server, tenant, key string) *Server {
	var best *Server
	most := 0.0
	for _, s := range list {
		if v := score(tenant+"\x00"+key, s.Name, s.Weight); best == nil || v > most || v == most && s.Name < best.Name {
			best, most = s, v
		}
	}
	return best
}

// Route is where a request may go.
type Route struct {
	Cell    string
	Servers []string // those of its tenant, for what needs no home
	Home    string   // of its key; empty without one
	Ask     []string // former homes, which may know the key: to be asked, the latest first, before the home runs it
	State   State    // of its tenant
}

// Route tells where a request of a tenant with a key goes at a time. ok is false where the map has no place for it.
func (m *Map) Route(now time.Time, tenant, key string) (r Route, ok bool) {
	t := m.tenant(tenant, false)
	if t == nil {
		return r, false
	}
	at := now.UnixMilli()
	list := m.at(t, tenant, at)
	if len(list) == 0 {
		return r, false
	}
	r.Cell, r.State = t.home(at).Cell, m.state(t, at)
	for _, s := range list {
		r.Servers = append(r.Servers, s.Name)
	}
	if key == "" {
		return r, true
	}
	r.Home = pick(list, tenant, key).Name
	for _, when := range m.changes(t, at) {
		before := m.at(t, tenant, when-1)
		if len(before) == 0 {
			continue
		}
		if former := pick(before, tenant, key).Name; former != r.Home && !slices.Contains(r.Ask, former) {
			r.Ask = append(r.Ask, former)
		}
	}
	return r, true
}

// changes are the times, the latest first, of the changes that a tenant's keys may come across: within the dual stretch
// before a time, and, as another router's clock may be ahead, just after it. Of servers, those of the cells that it has lived in
// count: others change nothing for it.
func (m *Map) changes(t *Tenant, at int64) []int64 {
	least, most := at-m.dual().Milliseconds(), at
	var list []int64
	add := func(when int64) {
		if when > least && when <= most && when > 0 && !slices.Contains(list, when) {
			list = append(list, when)
		}
	}
	for _, h := range t.Homes[1:] {
		add(h.From)
	}
	if x := m.indexed(); x != nil {
		for _, h := range t.Homes {
			if c := x.cells[h.Cell]; c != nil {
				i, _ := slices.BinarySearch(c.times, least+1)
				for ; i < len(c.times) && c.times[i] <= most; i++ {
					add(c.times[i])
				}
			}
		}
	} else {
		for i := range m.Servers {
			add(m.Servers[i].From)
			add(m.Servers[i].Until)
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
	return m.state(t, now.UnixMilli()), true
}

func (m *Map) state(t *Tenant, at int64) State {
	if len(t.Homes) < 2 {
		return Settled
	}
	last := t.Homes[len(t.Homes)-1]
	switch since := at - last.From; {
	case since < 0 && last.Abort:
		return Dual // the move still holds until its abort does
	case since < 0:
		return Prepared
	case since < m.dual().Milliseconds() && last.Abort:
		return Aborted
	case since < m.dual().Milliseconds():
		return Dual
	case since < (m.dual() + m.Patient).Milliseconds():
		return Draining
	}
	return Settled
}

// Diff names what differs between two maps, a line each. Parts that they share are not looked at.
func Diff(old, m *Map) []string {
	if m == old {
		return nil
	}
	x, before := m.lookup(), old.lookup()
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
	for _, s := range m.serversBeside(before) {
		switch was := before.server(s.Name); {
		case was == nil:
			add("server %s: new in cell %s from %d", s.Name, s.Cell, s.From)
		case *was != *s:
			add("server %s: %+v, was %+v", s.Name, *s, *was)
		}
	}
	for _, s := range old.serversBeside(x) {
		if x.server(s.Name) == nil {
			add("server %s: gone", s.Name)
		}
	}
	for _, t := range m.tenantsBeside(before) {
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
				add("tenant %q: to cell %s at %d", t.Name, h.Cell, h.From)
			}
		}
		for _, h := range was.Homes {
			if !slices.Contains(t.Homes, h) {
				add("tenant %q: no longer in cell %s from %d", t.Name, h.Cell, h.From)
			}
		}
	}
	for _, t := range old.tenantsBeside(x) {
		if x.tenant(t.Name) == nil {
			add("tenant %q: gone", t.Name)
		}
	}
	if old.Window != m.Window || old.Skew != m.Skew || old.Lease != m.Lease || old.Patient != m.Patient {
		add("times: window %v, skew %v, lease %v, patience %v", m.Window, m.Skew, m.Lease, m.Patient)
	}
	return list
}
