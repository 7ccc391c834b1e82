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

// leaseClock is the clock by which parts end.
func (r *Runner) leaseClock() time.Duration { return time.Duration(float64(r.clock()) * Rate) }

// identifyMap names a map.
func identifyMap(m *cells.Map) configstore.ID {
	return configstore.NewID(m.Version, settings.FormatCells(m))
}

// identify names a map as its source does, or else by its text.
func (r *Runner) identify(m *cells.Map) configstore.ID {
	if src, can := r.cfg.Source.(DigestSource); can {
		if digest, named := src.DigestOf(m); named {
			return configstore.ID{Version: m.Version, Digest: digest}
		}
	}
	return identifyMap(m)
}

// conflictTerms are those of a map, as this router looks after its servers.
func (r *Runner) conflictTerms(m *cells.Map) configstore.Terms {
	return configstore.Terms{Lease: m.Lease, ClockSkew: m.MaxClockSkew, ClockDrift: clockDrift, ProbeInterval: r.checkInterval(), ProbeTimeout: healthCheckTimeout, OverlapWindow: m.KeyWindow + m.CallerTimeout + 2*m.MaxClockSkew}
}

// clockDrift is by which the monotonic clock of a machine may run fast or slow, as a share.
const clockDrift = 0.05

// ShareQuota has this router share its cells with others: it is one of so many, and has a part for good where nobody else can be there
// under its name. It is called before the first request.
func (r *Runner) ShareQuota(most int, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quota, r.quotaCapacity = quota.NewHolder(most, good), capacitySpan{}
	r.updateQuotaCapacity()
}

// capacitySpan is of which map, and from when until before when, Unix milliseconds, what there is to share is as it was told.
type capacitySpan struct {
	m           *cells.Map
	from, until int64
}

// updateQuotaCapacity tells the share what there is, under the lock. It runs over all servers and tenants, and only where the map is another one or
// the time has come at which one of them comes, goes or moves.
func (r *Runner) updateQuotaCapacity() {
	m, now := r.current.Load().Map, Wall()
	if at := now.UnixMilli(); r.quotaCapacity.m == m && r.quotaCapacity.from <= at && at < r.quotaCapacity.until {
		return
	}
	r.quota.SetCapacity(quota.CapacityOf(m, now))
	r.quotaCapacity = capacitySpan{m, now.UnixMilli(), math.MaxInt64}
	if next, ok := m.NextChange(now); ok {
		r.quotaCapacity.until = next.UnixMilli()
	}
}

// QuotaRequest is this router's word to the group, for its part in the cells.
func (r *Runner) QuotaRequest() (w quota.Request, told func(quota.Grant, lease.Terms)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	asked := r.leaseClock()
	w = r.quota.Request(asked)
	return w, func(g quota.Grant, t lease.Terms) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.updateQuotaCapacity()
		r.quota.TakeGrant(asked, w.Applied, g, t)
	}
}

// healthCheckFields are the fields by which this router tells a server what it goes by.
func (r *Runner) healthCheckFields(m *mapInForce) []string {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	t := r.conflictTerms(m.Map)
	return []string{"g", m.name, "gn", r.cfg.Name, "gl", ms(t.Lease), "gs", ms(t.ClockSkew), "gp", ms(t.ProbeInterval), "gw", ms(t.ProbeTimeout), "gd", ms(t.OverlapWindow)}
}

// noteServersRules takes what a server knows of the rules, under the lock.
func (r *Runner) noteServersRules(server string, fields map[string]string) {
	now := r.clock()
	if n, words, ok := strings.Cut(fields["gc"], " "); ok {
		if n, err := strconv.Atoi(n); err == nil && r.versions.ObserveConflict(now, n, words) == configstore.ConflictFound {
			r.reportConflict()
		}
	}
	if id, ok := configstore.ParseID(fields["g"]); ok {
		r.observeVersion(now, id, fields["gn"]+" at server "+server)
	}
	if ms, err := strconv.ParseInt(fields["gq"], 10, 64); err == nil && ms > 0 {
		r.versions.Suspend(now, min(time.Duration(ms)*time.Millisecond, time.Hour))
	}
}

// observeVersion takes that there is a document, under the lock. One that is newer than its own has this router read its map again.
func (r *Runner) observeVersion(now time.Duration, id configstore.ID, source string) {
	switch r.versions.Observe(now, id, source) {
	case configstore.ConflictFound:
		r.reportConflict()
	case configstore.NewerVersion:
		if m := r.current.Load(); m != nil && id.Version > m.Version {
			events.Log(r.log, "rules.newer", id, m.id, source)
		}
	}
	if m := r.current.Load(); m != nil && id.Version > m.Version {
		select {
		case r.reloadSoon <- struct{}{}:
		default: // it is about to
		}
	}
}

func (r *Runner) reportConflict() {
	n, words := r.versions.Conflict()
	r.stats.Inc("rules", "contradictions")
	events.Log(r.log, "rules.contradiction", n, words)
}

// catchUp is told that a newer map is taken up by one that has gone by an old one beyond its time. What it then sent, where the
// newer one says otherwise, may come again.
func (r *Runner) catchUp(m *cells.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if used := time.Duration(r.lastKeyedSent.Load()); used > 0 {
		now := r.clock()
		r.versions.Suspend(now, used+r.conflictTerms(m).OverlapWindow-now)
	}
}

// verdict tells whether a sheet may be sent by a map.
func (r *Runner) verdict(m *mapInForce) configstore.Verdict {
	if core.Unfenced {
		return configstore.VerdictValid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.Check(r.clock(), m.id)
}

func (r *Runner) checkInterval() time.Duration { return time.Duration(r.healthCheckInterval.Load()) }

// Retune takes up other ways of choosing and trying.
func (r *Runner) Retune(c loadbalancer.Config, probe time.Duration) {
	r.healthCheckInterval.Store(int64(probe))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Retune(c)
}

// Goodput is what was asked for and served since the start.
func (r *Runner) Goodput() configstore.Goodput {
	return configstore.Goodput{Offered: float64(r.offeredWeight.Load()) / 1000, Served: float64(r.servedWeight.Load()) / 1000}
}

// Readiness is how far a router has come since its start: whether its map holds, whether sheets may be sent by it, and whether it has
// its parts of what routers share.
func (r *Runner) Readiness() (mapped, sure, shared bool) {
	m := r.current.Load()
	if m == nil {
		return false, false, false
	}
	mapped = time.Since(m.confirmedAt) <= m.Lease
	sure = mapped && r.verdict(m) == configstore.VerdictValid
	r.mu.Lock()
	defer r.mu.Unlock()
	return mapped, sure, r.quota == nil || r.quota.HasLease(r.leaseClock())
}
