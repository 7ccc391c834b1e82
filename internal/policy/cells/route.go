package cells

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Homes and routes. Inputs: the map, the time on the router's wall clock, a tenant and an idempotency key. A key's home is the server with
// the highest rendezvous score for the key among the tenant's servers. These are a shard of the tenant's cell, drawn by rendezvous scores
// for the tenant's name. A change of a tenant's cell or servers moves homes. For OverlapWindow after the change, a request that ran at the
// key's former home may still be repeated, so the router asks the former home before the new home runs the request.

// Route is the set of servers that a request may go to.
type Route struct {
	Cell        string
	Servers     []string // servers of the tenant, for requests without a key
	Home        string   // home of the key; empty without a key
	FormerHomes []string // servers that may know the key; the router asks them, the latest first, before the home runs the request
	State       State    // of the tenant's latest migration
}

// Route returns the route of a tenant's request at a time on the router's wall clock. The idempotency key is empty for a request without
// one. Route reports false if the map has no server for the tenant. It is called for each request.
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

// OverlapWindow returns how long after a change a request that ran at the key's former home may still be repeated. It is the key window,
// counted from the last run that a router with a slow clock may have sent to the former home, plus the time that a caller waits.
func (m *Map) OverlapWindow() time.Duration { return m.KeyWindow + m.CallerTimeout + 2*m.MaxClockSkew }

// recentChanges returns the times of the changes that can have moved a tenant's keys within OverlapWindow before a time, the latest first.
// With an index, it considers only servers of the cells that the tenant has been in, because others do not affect it.
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
	return drawShard(name, h.ShardSize, m.activeServers(h.Cell, at))
}

// activeServers returns the servers that belong to a cell at a time. Callers must not change the list.
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

// homeAt returns a tenant's home at a time.
func (t *Tenant) homeAt(at int64) Home {
	h := t.Homes[0]
	for _, next := range t.Homes[1:] {
		if next.Since <= at {
			h = next
		}
	}
	return h
}

// drawShard selects the given number of a tenant's servers from those of its cell, by their rendezvous scores for the tenant's name.
// Adding or removing one server of the cell changes at most one server of the shard.
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

// highestScoring returns the server with the highest rendezvous score for a tenant's key, or nil for an empty list.
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

// rendezvousScore returns a server's rendezvous score for a key, after Thaler and Ravishankar, "A Name-Based Mapping Scheme for
// Rendezvous" (1996), weighted after Schindelhauer and Schomaker (2005).
func rendezvousScore(key, server string, weight float64) float64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(server) // never fails
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	uniform := (float64(digest.Sum64()>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// scoredServer is a server with its rendezvous score.
type scoredServer struct {
	*Server
	score float64
}

// compare orders servers by falling score, then by name.
func (a scoredServer) compare(b scoredServer) int {
	return cmp.Or(cmp.Compare(b.score, a.score), strings.Compare(a.Name, b.Name))
}

// NextChange returns the earliest time after the given one at which a route may change without a new map, because a server joins or
// leaves or a tenant moves. It reports false if no change is announced. It visits all cells and tenants.
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
