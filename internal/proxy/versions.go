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

// Versions of maps that servers report. Routers that can't reach each other exchange versions through the servers: a router sends the ID of
// its map with a health check, and the answer has the newest ID that the server has seen, and any two of one version that differ.
// Package policy/configstore decides from these whether a router must stop sending requests with a key.

// clockDrift is the ratio by which the monotonic clock of a machine may run fast or slow. The drift of a quartz clock is less than a
// thousandth of it.
const clockDrift = 0.05

// conflictTerms returns the terms of a map, with the interval and timeout of this router's health checks.
func (r *Runner) conflictTerms(m *cells.Map) configstore.Terms {
	return configstore.Terms{
		Lease: m.Lease, ClockSkew: m.MaxClockSkew, ClockDrift: clockDrift, ProbeInterval: r.checkInterval(), ProbeTimeout: healthCheckTimeout,
		OverlapWindow: m.OverlapWindow(),
	}
}

// maxSuspend bounds the time for which a server's answer can stop this router from sending requests with a key.
const maxSuspend = time.Hour

// recordServerMap records the versions of maps that a server reports in an answer. The caller holds r.mu.
func (r *Runner) recordServerMap(server string, fields map[string]string) {
	now := r.clock()
	if number, description, ok := strings.Cut(fields[msgpackrpc.FieldConflict], " "); ok {
		if version, err := strconv.Atoi(number); err == nil && r.versions.ObserveConflict(now, version, description) == configstore.ConflictFound {
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

// observeVersion records that source has a map with this ID. If it is newer than the map in force, the map is reloaded soon. The caller
// holds r.mu.
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
		default: // a reload is already due
		}
	}
}

// reportConflict logs and counts a conflict: two maps of one version that differ. The caller holds r.mu.
func (r *Runner) reportConflict() {
	version, description := r.versions.Conflict()
	r.stats.Inc("rules", "contradictions")
	events.Log(r.log, "config.contradiction", version, description)
}

// verdict returns whether requests with a key may be sent by a map.
func (r *Runner) verdict(m *mapInForce) configstore.Verdict {
	if core.Unfenced {
		return configstore.VerdictValid
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.Check(r.clock(), m.id)
}
