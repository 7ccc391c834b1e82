package proxy

import (
	"strconv"
	"strings"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
)

// clockDrift is by which the monotonic clock of a machine may run fast or slow, as a share.
const clockDrift = 0.05

// conflictTerms are those of a map, as this router looks after its servers.
func (r *Runner) conflictTerms(m *cells.Map) configstore.Terms {
	return configstore.Terms{Lease: m.Lease, ClockSkew: m.MaxClockSkew, ClockDrift: clockDrift, ProbeInterval: r.checkInterval(), ProbeTimeout: healthCheckTimeout, OverlapWindow: m.KeyWindow + m.CallerTimeout + 2*m.MaxClockSkew}
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

// verdict tells whether a sheet may be sent by a map.
func (r *Runner) verdict(m *mapInForce) configstore.Verdict {
	if core.Unfenced {
		return configstore.VerdictValid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.Check(r.clock(), m.id)
}
