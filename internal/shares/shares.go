// Package shares decides who may use how much of what a fleet has together: the requests a second that the servers of a cell can do,
// among the tenants that live there and the routers that bring them. It has no I/O, no clock and no goroutine. Ledger is the side
// of the group's leader, Holder that of a router. docs/design/rules.md has the proof that valid parts never sum to more than the
// whole, whoever is cut off.
package shares

import (
	"maps"
	"math"
	"slices"
	"time"

	"silverpath/internal/cells"
	"silverpath/internal/lease"
)

// Key is what a part is of: a cell's requests a second, for one of its tenants.
type Key struct{ Cell, Tenant string }

// ForGood is the share of a whole that is never lent: each of at most so many routers has an equal part of it, whether it can reach
// the group or not.
const ForGood = 0.2

// Whole is what there is in a cell: the requests a second that each of its servers can do, and the tenants that live there.
type Whole struct {
	Servers map[string]float64
	Tenants map[string]Tenant
}

// Tenant is a tenant of a cell: the rate that it has agreed on, and the servers that its requests go to, to each alike.
type Tenant struct {
	Rate float64
	On   []string
}

// Of are the wholes of a map's cells at a time.
func Of(m *cells.Map, now time.Time) map[string]Whole {
	all := map[string]Whole{}
	for _, c := range m.Cells {
		all[c.Name] = Whole{map[string]float64{}, map[string]Tenant{}}
	}
	for _, s := range m.Servers {
		at := now.UnixMilli()
		if s.From > at || s.Until > 0 && s.Until <= at {
			continue
		}
		for _, c := range m.Cells {
			if c.Name == s.Cell {
				all[c.Name].Servers[s.Name] = s.Weight * c.Capacity
			}
		}
	}
	for _, t := range m.Tenants {
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

// good is the part of a tenant that each of so many routers has for good.
func (w Whole) good(tenant string, most int) float64 {
	if most <= 0 {
		return 0
	}
	names, claims := w.claims(nil)
	for i, part := range Fill(w.caps(ForGood/float64(most)), claims) {
		if names[i] == tenant {
			return part
		}
	}
	return 0
}

// ---- How a whole is divided ----

// Claim is somebody's claim on some resources, which he uses alike.
type Claim struct {
	Weight float64
	Demand float64 // what he would use of all of them together; what is left when all have theirs goes to all by weight
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
					rate[j] += c.Weight / float64(len(c.On))
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

// caps are the capacities of the servers by name, times a share.
func (w Whole) caps(share float64) []float64 {
	var list []float64
	for _, name := range slices.Sorted(maps.Keys(w.Servers)) {
		list = append(list, share*w.Servers[name])
	}
	return list
}

// claims are those of the tenants by name; demand may be nil for none.
func (w Whole) claims(demand map[string]float64) (names []string, list []Claim) {
	servers := slices.Sorted(maps.Keys(w.Servers))
	names = slices.Sorted(maps.Keys(w.Tenants))
	for _, name := range names {
		t := w.Tenants[name]
		c := Claim{Weight: max(t.Rate, leastRate), Demand: spare * demand[name]}
		for _, s := range t.On {
			if j, ok := slices.BinarySearch(servers, s); ok {
				c.On = append(c.On, j)
			}
		}
		list = append(list, c)
	}
	return names, list
}

// Targets are the parts of one cell that all routers should have by what they say that they are asked for: the cell among tenants
// by their rates, and each tenant's part among the routers that bring it. Who brings nothing keeps a little to begin with.
func Targets(w Whole, demand map[string]map[string]float64) map[string]map[string]float64 {
	routers := slices.Sorted(maps.Keys(demand))
	got, sums := map[string]map[string]float64{}, map[string]float64{}
	for _, r := range routers {
		got[r] = map[string]float64{}
		for t, d := range demand[r] {
			sums[t] += d
		}
	}
	tenants, claims := w.claims(sums)
	for i, part := range Fill(w.caps(1-ForGood), claims) {
		each := make([]Claim, len(routers))
		for j, r := range routers {
			d := demand[r][tenants[i]]
			each[j] = Claim{d + little*(sums[tenants[i]]+1), spare * d, []int{0}}
		}
		for j, p := range Fill([]float64{part}, each) {
			got[routers[j]][tenants[i]] = p
		}
	}
	return got
}

const (
	spare     = 1.25 // of what a tenant was asked for lately, so that it can grow between two words
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

// may is the most that a user may be acting on at each server of a cell: it acts on one of what it was given.
func (l *Ledger) may(u *user, cell string, w Whole, now time.Duration) map[string]float64 {
	most := map[string]float64{}
	for _, g := range u.out {
		if now-g.at >= l.terms.Wait() {
			continue
		}
		on := map[string]float64{}
		for tenant, t := range w.Tenants {
			for _, s := range t.On {
				on[s] += g.parts[Key{cell, tenant}] / float64(len(t.On))
			}
		}
		for s, r := range on {
			most[s] = max(most[s], r)
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

// clamp bounds what a user is to be given so that with all that others may be acting on no server has more than there is.
func (l *Ledger) clamp(cell string, w Whole, u *user, mine map[string]float64, now time.Duration) map[string]float64 {
	room, wants := map[string]float64{}, map[string]float64{}
	for s, c := range w.Servers {
		room[s] = c * (1 - ForGood)
	}
	for _, other := range l.users {
		if other == u {
			continue
		}
		for s, r := range l.may(other, cell, w, now) {
			room[s] -= r
		}
	}
	for tenant, part := range mine {
		t := w.Tenants[tenant]
		for _, s := range t.On {
			wants[s] += part / float64(len(t.On))
		}
	}
	got := map[string]float64{}
	for tenant, part := range mine {
		fits := 1.0
		for _, s := range w.Tenants[tenant].On {
			if wants[s] > 0 {
				fits = min(fits, max(0, room[s])/wants[s])
			}
		}
		got[tenant] = part * fits
	}
	return got
}

// Lent is the most that all routers together may be acting on at each server of a cell, as a share of what there is to lend.
func (l *Ledger) Lent(now time.Duration, cell string) (most float64) {
	w, sum := l.cells[cell], map[string]float64{}
	for _, u := range l.users {
		for s, r := range l.may(u, cell, w, now) {
			sum[s] += r
		}
	}
	for s, r := range sum {
		most = max(most, r/(w.Servers[s]*(1-ForGood)))
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
