package cells

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Homes and routes. Inputs: the map, the time by the router's wall clock, a tenant and an idempotency key. A key's home is the server
// with the highest rendezvous score for it among the servers of its tenant; these are a shard of the tenant's cell, drawn by scores of
// the tenant's name. A change of a tenant's cell or servers moves homes: for OverlapWindow after it a key may still be repeated that
// ran at its former home, so that one is asked before the new home runs it.

// Route is where a request may go.
type Route struct {
	Cell        string
	Servers     []string // those of its tenant, for what needs no home
	Home        string   // of its key; empty without one
	FormerHomes []string // which may know the key: to be asked, the latest first, before the home runs it
	State       State    // of its tenant
}

// Route tells where a request of a tenant with an idempotency key, empty for none, goes at a time of the router's wall clock. It
// reports false where the map has no server for it. It is called with each request.
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
	r.Home = highestScoring(list, tenant, key).Name
	for _, changedAt := range m.recentChanges(t, at) {
		formerServers := m.serversOf(t, tenant, changedAt-1)
		if len(formerServers) == 0 {
			continue
		}
		if former := highestScoring(formerServers, tenant, key).Name; former != r.Home && !slices.Contains(r.FormerHomes, former) {
			r.FormerHomes = append(r.FormerHomes, former)
		}
	}
	return r, true
}

// OverlapWindow is how long after a change a key may still be repeated that ran at its former home: its window, from the last run that
// a router whose clock is behind may have sent there, and as long as its caller waits for it.
func (m *Map) OverlapWindow() time.Duration { return m.KeyWindow + m.CallerTimeout + 2*m.MaxClockSkew }

// recentChanges are the times, the latest first, of the changes that a tenant's keys may come across: within OverlapWindow before a
// time. Of servers, those of the cells that it has lived in count: others change nothing for it.
func (m *Map) recentChanges(t *Tenant, at int64) []int64 {
	windowStart := at - m.OverlapWindow().Milliseconds()
	var list []int64
	addChange := func(changedAt int64) {
		if changedAt > windowStart && changedAt <= at && changedAt > 0 && !slices.Contains(list, changedAt) {
			list = append(list, changedAt)
		}
	}
	for _, h := range t.Homes[1:] {
		addChange(h.Since)
	}
	if idx := m.validIndex(); idx != nil {
		for _, h := range t.Homes {
			if c := idx.cells[h.Cell]; c != nil {
				i, _ := slices.BinarySearch(c.changeTimes, windowStart+1)
				for ; i < len(c.changeTimes) && c.changeTimes[i] <= at; i++ {
					addChange(c.changeTimes[i])
				}
			}
		}
	} else {
		for i := range m.Servers {
			addChange(m.Servers[i].JoinsAt)
			addChange(m.Servers[i].LeavesAt)
		}
	}
	slices.SortFunc(list, func(a, b int64) int { return cmp.Compare(b, a) })
	return list
}

// serversOf returns the servers of a tenant at a time.
func (m *Map) serversOf(t *Tenant, name string, at int64) []*Server {
	h := t.homeAt(at)
	return drawShard(name, h.Shard, m.activeServers(h.Cell, at))
}

// activeServers are the servers of a cell at a time, of all that ever belong to it. The list is not to be changed.
func (m *Map) activeServers(cell string, at int64) []*Server {
	var list []*Server
	if idx := m.validIndex(); idx != nil {
		c := idx.cells[cell]
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

// isActive reports whether a server belongs to its cell at a time.
func (s *Server) isActive(at int64) bool {
	return s.JoinsAt <= at && (s.LeavesAt == 0 || at < s.LeavesAt)
}

// homeAt is a tenant's home at a time.
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
func drawShard(tenant string, size int, list []*Server) []*Server {
	if size <= 0 || size >= len(list) {
		return list
	}
	scored := make([]scoredServer, len(list))
	for i, s := range list {
		scored[i] = scoredServer{s, rendezvousScore("shard\x00"+tenant, s.Name, s.Weight)}
	}
	slices.SortFunc(scored, scoredServer.compare)
	shard := make([]*Server, size)
	for i := range shard {
		shard[i] = scored[i].Server
	}
	return shard
}

// highestScore is the server of a list whose score for a key is the highest.
func highestScoring(list []*Server, tenant, key string) *Server {
	var best *Server
	highest := 0.0
	for _, s := range list {
		if score := rendezvousScore(tenant+"\x00"+key, s.Name, s.Weight); best == nil || score > highest || score == highest && s.Name < best.Name {
			best, highest = s, score
		}
	}
	return best
}

// rendezvousScore is a server's rendezvous score for a key: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous"
// (1996), weighted as by Schindelhauer and Schomaker (2005).
func rendezvousScore(key, server string, weight float64) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(server) // it never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// scoredServer is a server with its score.
type scoredServer struct {
	*Server
	score float64
}

func (a scoredServer) compare(b scoredServer) int {
	return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.Name, b.Name))
}

// NextChange is the first time after another at which a route may change by the time alone: a server comes or goes, or a tenant
// moves. ok is false where none is announced. It runs over all cells and tenants.
func (m *Map) NextChange(after time.Time) (next time.Time, ok bool) {
	at, earliest := after.UnixMilli(), int64(math.MaxInt64)
	for _, c := range m.anyIndex().cells {
		if i, _ := slices.BinarySearch(c.changeTimes, at+1); i < len(c.changeTimes) {
			earliest = min(earliest, c.changeTimes[i])
		}
	}
	for t := range m.AllTenants() {
		for _, h := range t.Homes {
			if h.Since > at {
				earliest = min(earliest, h.Since)
			}
		}
	}
	return time.UnixMilli(earliest), earliest < math.MaxInt64
}
