package proxy

import (
	"math"
	"strconv"
	"strings"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/policy/quota"
	"silverpath/internal/settings"
)

// Boundary is called in test programs only, which stop the process there: routed (a sheet has been found its home, by the map
// that was in force then, and was not sent).
var Boundary = func(at string) {}

// Wall is the clock by which times in maps come, and Rate has the one by which parts end run fast or slow, in test programs only.
var (
	Wall = time.Now
	Rate = 1.0
)

// leased is the clock by which parts end.
func (r *Runner) leased() time.Duration { return time.Duration(float64(r.clock()) * Rate) }

// identify names a map.
func identify(m *cells.Map) configstore.ID {
	return configstore.Name(m.Version, settings.FormatCells(m))
}

// identify names a map as its source does, or else by its text.
func (r *Runner) identify(m *cells.Map) configstore.ID {
	if src, can := r.cfg.Source.(Naming); can {
		if digest, named := src.Named(m); named {
			return configstore.ID{Version: m.Version, Digest: digest}
		}
	}
	return identify(m)
}

// terms are those of a map, as this router looks after its servers.
func (r *Runner) terms(m *cells.Map) configstore.Terms {
	return configstore.Terms{Lease: m.Lease, Skew: m.Skew, Drift: clockDrift, Probe: r.probeEvery(), Wait: probeWithin, Dual: m.Window + m.Patient + 2*m.Skew}
}

// clockDrift is by which the monotonic clock of a machine may run fast or slow, as a share.
const clockDrift = 0.05

// Share has this router share its cells with others: it is one of so many, and has a part for good where nobody else can be there
// under its name. It is called before the first request.
func (r *Runner) Share(most int, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.share, r.shared = quota.NewHolder(most, good), wholesOf{}
	r.wholes()
}

// wholesOf is of which map, and from when until before when, Unix milliseconds, what there is to share is as it was told.
type wholesOf struct {
	m           *cells.Map
	from, until int64
}

// wholes tells the share what there is, under the lock. It runs over all servers and tenants, and only where the map is another one or
// the time has come at which one of them comes, goes or moves.
func (r *Runner) wholes() {
	m, now := r.cells.Load().Map, Wall()
	if at := now.UnixMilli(); r.shared.m == m && r.shared.from <= at && at < r.shared.until {
		return
	}
	r.share.SetCapacity(quota.CapacityOf(m, now))
	r.shared = wholesOf{m, now.UnixMilli(), math.MaxInt64}
	if next, ok := m.NextChange(now); ok {
		r.shared.until = next.UnixMilli()
	}
}

// Says is this router's word to the group, for its part in the cells.
func (r *Runner) Says() (w quota.Request, told func(quota.Grant, lease.Terms)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := r.leased()
	w = r.share.Request(asked)
	return w, func(g quota.Grant, t lease.Terms) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.wholes()
		r.share.TakeGrant(asked, w.Applied, g, t)
	}
}

// introduces are the fields by which this router tells a server what it goes by.
func (r *Runner) introduces(m *view) []string {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	t := r.terms(m.Map)
	return []string{"g", m.named, "gn", r.cfg.Name, "gl", ms(t.Lease), "gs", ms(t.Skew), "gp", ms(t.Probe), "gw", ms(t.Wait), "gd", ms(t.Dual)}
}

// told takes what a server knows of the rules, under the lock.
func (r *Runner) told(server string, fields map[string]string) {
	now := r.clock()
	if n, words, ok := strings.Cut(fields["gc"], " "); ok {
		if n, err := strconv.Atoi(n); err == nil && r.rules.Told(now, n, words) == configstore.Conflict {
			r.contradicted()
		}
	}
	if id, ok := configstore.ParseID(fields["g"]); ok {
		r.heard(now, id, fields["gn"]+" at server "+server)
	}
	if ms, err := strconv.ParseInt(fields["gq"], 10, 64); err == nil && ms > 0 {
		r.rules.Hush(now, min(time.Duration(ms)*time.Millisecond, time.Hour))
	}
}

// heard takes that there is a document, under the lock. One that is newer than its own has this router read its map again.
func (r *Runner) heard(now time.Duration, id configstore.ID, source string) {
	switch r.rules.Hear(now, id, source) {
	case configstore.Conflict:
		r.contradicted()
	case configstore.Newer:
		if m := r.cells.Load(); m != nil && id.Version > m.Version {
			events.Log(r.log, "rules.newer", id, m.id, source)
		}
	}
	if m := r.cells.Load(); m != nil && id.Version > m.Version {
		select {
		case r.again <- struct{}{}:
		default: // it is about to
		}
	}
}

func (r *Runner) contradicted() {
	n, words := r.rules.Differ()
	r.stats.Inc("rules", "contradictions")
	events.Log(r.log, "rules.contradiction", n, words)
}

// late is told that a newer map is taken up by one that has gone by an old one beyond its time. What it then sent, where the
// newer one says otherwise, may come again.
func (r *Runner) late(m *cells.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if used := time.Duration(r.used.Load()); used > 0 {
		now := r.clock()
		r.rules.Hush(now, used+r.terms(m).Dual-now)
	}
}

// standing tells whether a sheet may be sent by a map.
func (r *Runner) standing(m *view) configstore.Verdict {
	if core.Unfenced {
		return configstore.Good
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rules.Judge(r.clock(), m.id)
}

func (r *Runner) probeEvery() time.Duration { return time.Duration(r.every.Load()) }

// Retune takes up other ways of choosing and trying.
func (r *Runner) Retune(c loadbalancer.Config, probe time.Duration) {
	r.every.Store(int64(probe))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Retune(c)
}

// Worth is what was asked for and served since the start.
func (r *Runner) Worth() configstore.Worth {
	return configstore.Worth{Asked: float64(r.asked.Load()) / 1000, Served: float64(r.served.Load()) / 1000}
}

// Returned is how far a router has come since its start: whether its map holds, whether sheets may be sent by it, and whether it has
// its parts of what routers share.
func (r *Runner) Returned() (mapped, sure, shared bool) {
	m := r.cells.Load()
	if m == nil {
		return false, false, false
	}
	mapped = time.Since(m.read) <= m.Lease
	sure = mapped && r.standing(m) == configstore.Good
	r.mu.Lock()
	defer r.mu.Unlock()
	return mapped, sure, r.share == nil || r.share.HasLease(r.leased())
}
