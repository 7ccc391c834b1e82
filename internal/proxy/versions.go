package proxy

import (
	"strconv"
	"strings"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/transport/msgpackrpc"
)

// Versions of maps that servers tell of. Routers that can't reach each other meet at servers: each tells its map with a health check and
// hears of the newest one, and of two that differ. By what it heard a router stops sending requests with a key: policy/configstore.

// clockDrift is the ratio by which the monotonic clock of a machine may run fast or slow; quartz stays within a thousandth of that.
const clockDrift = 0.05

// conflictTerms are the terms of a map, with this router's health checks.
func (r *Runner) conflictTerms(m *cells.Map) configstore.Terms {
	return configstore.Terms{
		Lease: m.Lease, ClockSkew: m.MaxClockSkew, ClockDrift: clockDrift, ProbeInterval: r.checkInterval(), ProbeTimeout: healthCheckTimeout,
		OverlapWindow: m.OverlapWindow(),
	}
}

// maxSuspend bounds what a server may have this router stop for by its word.
const maxSuspend = time.Hour

// noteServersMap takes what a server knows of maps, under the lock.
func (r *Runner) noteServersMap(server string, fields map[string]string) {
	now := r.clock()
	if n, description, ok := strings.Cut(fields[msgpackrpc.FieldConflict], " "); ok {
		if version, err := strconv.Atoi(n); err == nil && r.versions.ObserveConflict(now, version, description) == configstore.ConflictFound {
			r.reportConflict()
		}
	}
	if id, ok := configstore.ParseID(fields[msgpackrpc.FieldConfigID]); ok {
		r.observeVersion(now, id, fields[msgpackrpc.FieldConfigSource]+" at server "+server)
	}
	if ms, err := strconv.ParseInt(fields[msgpackrpc.FieldSuspended], 10, 64); err == nil && ms > 0 {
		r.versions.Suspend(now, min(time.Duration(ms)*time.Millisecond, maxSuspend))
	}
}

// observeVersion takes that there is a map, under the lock. One that is newer than its own has this router read its map again.
func (r *Runner) observeVersion(now time.Duration, id configstore.ID, source string) {
	switch r.versions.Observe(now, id, source) {
	case configstore.ConflictFound:
		r.reportConflict()
	case configstore.NewerVersion:
		if m := r.current.Load(); m != nil && id.Version > m.Version {
			events.Log(r.log, "config.newer_seen", id, m.id, source)
		}
	}
	if m := r.current.Load(); m != nil && id.Version > m.Version {
		select {
		case r.reloadSoon <- struct{}{}:
		default: // it is to be read already
		}
	}
}

// reportConflict logs and counts two maps of one version that differ, under the lock.
func (r *Runner) reportConflict() {
	version, description := r.versions.Conflict()
	r.stats.Inc("rules", "contradictions")
	events.Log(r.log, "config.contradiction", version, description)
}

// verdict tells whether a request with a key may be sent by a map.
func (r *Runner) verdict(m *mapInForce) configstore.Verdict {
	if core.Unfenced {
		return configstore.VerdictValid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.Check(r.clock(), m.id)
}
