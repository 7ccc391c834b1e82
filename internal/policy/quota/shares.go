// Package quota decides who may use how much of what a fleet has together: the requests a second that the servers of a cell can do,
// among the tenants that live there and the routers that bring them. It has no I/O, no clock and no goroutine. Ledger is the side
// of the group's leader, Holder that of a router. docs/design/rules.md has the proof that valid parts never sum to more than the
// whole, whoever is cut off.
package quota

import (
	"maps"
	"math"
	"slices"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/lease"
)

// Key is what a part is of: a cell's requests a second, for one of its tenants.
type Key struct{ Cell, Tenant string }

// ForGood is the share of a whole that is never lent: each of at most so many routers has an equal part of it, whether it can reach
// the group or not.
const ForGood = 0.1

// Use is the share of what servers can do that is given out: beyond it their queues grow, and they turn away by chance what comes
// within everybody's part.
const Use = 0.85

// Whole is what there is in a cell: the requests a second that each of its servers can do, and the tenants that live there.
type Whole struct {
	Servers map[string]float64
	Tenants map[string]Tenant
}

// Tenant is a tenant of a cell: the rate that it has agreed on, and the servers that its requests go to, to whichever has room.
type Tenant struct {
	Rate float64
	On   []string
}

// Of are the wholes of a map's cells at a time. They are the same until the map's next change by the time alone.
func Of(m *cells.Map, now time.Time) map[string]Whole {
	all := map[string]Whole{}
	for _, c := range m.Cells {
		all[c.Name] = Whole{map[string]float64{}, map[string]Tenant{}}
	}
	at := now.UnixMilli()
	capacity := map[string]float64{}
	for _, c := range m.Cells {
		capacity[c.Name] = c.Capacity
	}
	for s := range m.AllServers() {
		if s.From > at || s.Until > 0 && s.Until <= at {
			continue
		}
		if w, known := all[s.Cell]; known {
			w.Servers[s.Name] = Use * s.Weight * capacity[s.Cell]
		}
	}
	for t := range m.AllTenants() {
		r, ok := m.Route(now, t.Name, "")
		if !ok {
			continue
		}
		on := r.Servers
		if t.Name == "" { // those that are not named have a shard each
			on = slices.Sorted(maps.Keys(all[r.Cell].Servers))
		}
		all[r.Cell].Tenants[t.Name] = Tenant{t.Rate, on}
	}
	return all
}

// ---- How a whole is divided ----

// Claim is somebody's claim on some resources, of each of which he uses all that he is given.
type Claim struct {
	Weight float64
	Demand float64 // what he would use; what is left when all have theirs goes to all by weight
	On     []int   // which
}

// Fill divides resources by weighted max-min, filling all claims at once until one has what it wants or meets a resource that is
// used up (Bertsekas and Gallager, "Data Networks", 6.5.2): nobody gets more while another one who wants more has less by weight.
func Fill(caps []float64, claims []Claim) []float64 {
	got, left := make([]float64, len(claims)), slices.Clone(caps)
	for _, bounded := range []bool{true, false} { // first what is wanted, then what is left
		open := make([]bool, len(claims))
		for i, c := range claims {
			open[i] = c.Weight > 0 && len(c.On) > 0 && (!bounded || c.Demand > 0)
		}
		for {
			grow, any := math.Inf(1), false
			rate := make([]float64, len(caps))
			for i, c := range claims {
				if !open[i] {
					continue
				}
				any = true
				for _, j := range c.On {
					rate[j] += c.Weight
				}
				if bounded {
					grow = min(grow, (c.Demand-got[i])/c.Weight)
				}
			}
			if !any {
				break
			}
			for j := range caps {
				if rate[j] > 0 {
					grow = min(grow, left[j]/rate[j])
				}
			}
			grow = max(0, grow)
			for j := range caps {
				left[j] -= grow * rate[j]
			}
			for i, c := range claims {
				if !open[i] {
					continue
				}
				got[i] += grow * c.Weight
				if bounded && got[i] >= c.Demand-tiny {
					open[i] = false
				}
				for _, j := range c.On {
					open[i] = open[i] && left[j] > tiny
				}
			}
		}
	}
	return got
}

const tiny = 1e-9

// group is some servers of a cell and the tenants that live on these alone: together they get no more than these can do.
type group struct {
	capacity float64
	members  []string
}

// mostShards bounds the shards of which all pairs are looked at; with more, only each by itself and the whole cell are.
const mostShards = 16

// groups are all that bound the tenants of a cell: each shard, two that may overlap, and the cell.
func (w Whole) groups() (list []group) {
	var sets [][]string
	add := func(set []string) bool {
		if len(set) == 0 || slices.ContainsFunc(sets, func(other []string) bool { return slices.Equal(other, set) }) {
			return false
		}
		sets = append(sets, set)
		return true
	}
	names := slices.Sorted(maps.Keys(w.Tenants))
	for _, name := range names {
		add(slices.Sorted(slices.Values(w.Tenants[name].On)))
	}
	if n := len(sets); n <= mostShards {
		for i := range n {
			for j := range i {
				add(slices.Compact(slices.Sorted(slices.Values(slices.Concat(sets[i], sets[j])))))
			}
		}
	}
	add(slices.Sorted(maps.Keys(w.Servers)))
	for _, set := range sets {
		g := group{}
		for _, s := range set {
			g.capacity += w.Servers[s]
		}
		for _, name := range names {
			inside := len(w.Tenants[name].On) > 0
			for _, s := range w.Tenants[name].On {
				inside = inside && slices.Contains(set, s)
			}
			if inside {
				g.members = append(g.members, name)
			}
		}
		list = append(list, g)
	}
	return list
}

// split divides a share of a cell among its tenants by what each wants, nil for nothing.
func (w Whole) split(share float64, wants map[string]float64) map[string]float64 {
	var caps []float64
	claims, names := map[string]*Claim{}, slices.Sorted(maps.Keys(w.Tenants))
	for _, name := range names {
		claims[name] = &Claim{Weight: max(w.Tenants[name].Rate, leastRate), Demand: wants[name]}
	}
	for j, g := range w.groups() {
		caps = append(caps, share*g.capacity)
		for _, name := range g.members {
			claims[name].On = append(claims[name].On, j)
		}
	}
	list := make([]Claim, len(names))
	for i, name := range names {
		list[i] = *claims[name]
	}
	got := map[string]float64{}
	for i, part := range Fill(caps, list) {
		got[names[i]] = part
	}
	return got
}

// want is what somebody is to have who was asked for a rate lately: with what chance adds to it, as that rate was seen for a time
// only.
func want(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	return rate + chance*math.Sqrt(rate/(2*lately)) + 1
}

// Targets are the parts of one cell that all routers should have by what they say that they are asked for: the cell among tenants
// by their rates, and each tenant's part among the routers that bring it. Who brings nothing keeps a little to begin with.
func Targets(w Whole, demand map[string]map[string]float64) map[string]map[string]float64 {
	routers := slices.Sorted(maps.Keys(demand))
	got, sums := map[string]map[string]float64{}, map[string]float64{}
	for _, r := range routers {
		got[r] = map[string]float64{}
		for t, d := range demand[r] {
			sums[t] += want(d)
		}
	}
	for tenant, part := range w.split(1-ForGood, sums) {
		each := make([]Claim, len(routers))
		for j, r := range routers {
			d := want(demand[r][tenant])
			each[j] = Claim{d + little*(sums[tenant]+1), d, []int{0}}
		}
		for j, p := range Fill([]float64{part}, each) {
			got[routers[j]][tenant] = p
		}
	}
	return got
}

const (
	chance    = 2.0  // standard deviations of what is asked for
	leastRate = 1e-3 // of a tenant that has agreed on nothing
	little    = 0.02 // of all that a tenant is asked for: by so much a router counts that brings nothing
)

// ---- The leader's side ----

// Word is what a router says to be given parts.
type Word struct {
	Most    int    `json:"most"`    // routers that there can be, as it was told
	Applied uint64 `json:"applied"` // the grant that it acts on
	Parts   []Part `json:"parts"`   // that it acts on
	Demand  []Part `json:"demand"`  // that it was asked for lately
}

// Part is so much of a key.
type Part struct {
	Cell   string  `json:"c"`
	Tenant string  `json:"t"`
	Rate   float64 `json:"r"` // requests a second
}

// Grant is what a router is given, with its lease.
type Grant struct {
	Seq   uint64 `json:"seq"` // rises with each, also from leader to leader
	Parts []Part `json:"parts"`
}

// Ledger is what the group's leader has granted. Its times are those of its own monotonic clock.
type Ledger struct {
	terms lease.Terms
	since time.Duration // it has led since; under 0: it does not lead
	term  uint64
	n     uint64
	most  int
	cells map[string]Whole
	users map[string]*user
}

// user is a router.
type user struct {
	heard  time.Duration
	demand map[Key]float64
	out    []granted // what it may be acting on, the oldest first
}

type granted struct {
	seq   uint64
	at    time.Duration
	parts map[Key]float64
}

// NewLedger returns the ledger of a member that does not lead.
func NewLedger(t lease.Terms) *Ledger { return &Ledger{terms: t, since: -1} }

// Lead is told when the member has begun to lead, in a term.
func (l *Ledger) Lead(now time.Duration, term uint64) {
	*l = Ledger{terms: l.terms, since: now, term: term, cells: l.cells, users: map[string]*user{}}
}

// Follow is told when it has ceased to.
func (l *Ledger) Follow() { *l = Ledger{terms: l.terms, since: -1, cells: l.cells} }

// Set sets what there is.
func (l *Ledger) Set(cells map[string]Whole) { l.cells = cells }

// may is the most that a user may be acting on of each group of a cell: it acts on one of what it was given.
func (l *Ledger) may(u *user, cell string, groups []group, now time.Duration) []float64 {
	most := make([]float64, len(groups))
	for _, g := range u.out {
		if now-g.at >= l.terms.Wait() {
			continue
		}
		for i, of := range groups {
			sum := 0.0
			for _, tenant := range of.members {
				sum += g.parts[Key{cell, tenant}]
			}
			most[i] = max(most[i], sum)
		}
	}
	return most
}

// Hear takes a router's word and returns what it is given. Nothing is given where routers were told of different numbers of them.
func (l *Ledger) Hear(now time.Duration, name string, w Word) (Grant, bool) {
	if l.since < 0 || w.Most <= 0 {
		return Grant{}, false
	}
	if l.live(now) == 0 {
		l.most = w.Most
	}
	u := l.users[name]
	if u == nil {
		if w.Most != l.most || len(l.users) >= l.most {
			return Grant{}, false
		}
		u = &user{}
		l.users[name] = u
	}
	before := u.heard
	u.heard, u.demand = now, map[Key]float64{}
	for _, p := range w.Demand {
		u.demand[Key{p.Cell, p.Tenant}] = max(0, p.Rate)
	}
	u.out = slices.DeleteFunc(u.out, func(g granted) bool { return g.seq < w.Applied || now-g.at >= l.terms.Wait() })
	held := map[Key]float64{}
	for _, p := range w.Parts {
		held[Key{p.Cell, p.Tenant}] = p.Rate
	}
	early := now-l.since < l.terms.Wait()
	if before == 0 && early && len(held) > 0 { // given by a leader before this one, and perhaps still valid
		u.out = append(u.out, granted{w.Applied, now, held})
	}
	l.n++
	g := granted{l.term<<32 + l.n, now, map[Key]float64{}}
	for cell, whole := range l.cells {
		demand := map[string]map[string]float64{}
		for who, other := range l.users {
			if now-other.heard < l.terms.Wait() {
				demand[who] = map[string]float64{}
				for tenant := range whole.Tenants {
					demand[who][tenant] = other.demand[Key{cell, tenant}]
				}
			}
		}
		mine := Targets(whole, demand)[name]
		if early { // others may hold what this leader has not heard of
			for tenant, want := range mine {
				mine[tenant] = min(want, held[Key{cell, tenant}])
			}
		}
		for tenant, part := range l.clamp(cell, whole, u, mine, now) {
			g.parts[Key{cell, tenant}] = math.Floor(part*1e6) / 1e6 // so that sums hold whatever is lost in writing them
		}
	}
	u.out = append(u.out, g)
	out := Grant{Seq: g.seq}
	for _, k := range slices.SortedFunc(maps.Keys(g.parts), func(a, b Key) int {
		if a.Cell < b.Cell || a.Cell == b.Cell && a.Tenant < b.Tenant {
			return -1
		}
		return 1
	}) {
		out.Parts = append(out.Parts, Part{k.Cell, k.Tenant, g.parts[k]})
	}
	return out, true
}

// live is the number of routers that may be acting on a grant; the others are forgotten.
func (l *Ledger) live(now time.Duration) int {
	maps.DeleteFunc(l.users, func(_ string, u *user) bool { return now-u.heard >= l.terms.Wait() })
	return len(l.users)
}

// clamp bounds what a user is to be given so that with all that others may be acting on no group has more than there is.
func (l *Ledger) clamp(cell string, w Whole, u *user, mine map[string]float64, now time.Duration) map[string]float64 {
	groups := w.groups()
	room := make([]float64, len(groups))
	for i, g := range groups {
		room[i] = g.capacity * (1 - ForGood)
	}
	for _, other := range l.users {
		if other == u {
			continue
		}
		for i, r := range l.may(other, cell, groups, now) {
			room[i] -= r
		}
	}
	got := maps.Clone(mine)
	for i, g := range groups {
		wants := 0.0
		for _, tenant := range g.members {
			wants += mine[tenant]
		}
		for _, tenant := range g.members {
			if wants > 0 {
				got[tenant] = min(got[tenant], mine[tenant]*max(0, room[i])/wants)
			}
		}
	}
	return got
}

// Lent is the most that all routers together may be acting on of any group of a cell, as a share of what there is to lend.
func (l *Ledger) Lent(now time.Duration, cell string) (most float64) {
	groups := l.cells[cell].groups()
	sums := make([]float64, len(groups))
	for _, u := range l.users {
		for i, r := range l.may(u, cell, groups, now) {
			sums[i] += r
		}
	}
	for i, g := range groups {
		if g.capacity > 0 {
			most = max(most, sums[i]/(g.capacity*(1-ForGood)))
		}
	}
	return most
}

// All is Lent of all cells.
func (l *Ledger) All(now time.Duration) map[string]float64 {
	all := map[string]float64{}
	for cell := range l.cells {
		all[cell] = l.Lent(now, cell)
	}
	return all
}
