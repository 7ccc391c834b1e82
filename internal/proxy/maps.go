package proxy

import (
	"context"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// The map in force. It is reloaded at a third of its lease, and at once when a newer version was seen. If it could not be confirmed for a
// lease, requests with a key fail.

// mapInForce is the map in force with the time at which it was last known to be the newest.
type mapInForce struct {
	*cells.Map
	confirmedAt time.Time
	id          configstore.ID
	name        string // id as it is on the wire
}

// activateMap puts a map in force that was last confirmed at confirmedAt. It iterates over the servers only if one has changed, and formats
// the map for its ID only if the source has no digest of it. The cost for a map that is already in force does not grow with its size.
func (r *Runner) activateMap(m *cells.Map, confirmedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.current.Load()
	if before == nil || !m.SameServers(before.Map) {
		r.setServers(m)
	}
	v := &mapInForce{Map: m, confirmedAt: confirmedAt}
	if before != nil && before.Map == m {
		v.id, v.name = before.id, before.name
	} else {
		v.id = r.identify(m)
		v.name = v.id.String()
	}
	if before != nil {
		r.balancer.ExtendKeyWindow(r.clockAt(before.confirmedAt), m.OverlapWindow())
	}
	r.current.Store(v)
	r.versions.ExtendTerms(r.clock(), r.conflictTerms(m))
	r.observeVersion(r.clock(), v.id, r.cfg.Name)
}

// setServers replaces the upstreams and the balancer's servers by those of a map. The caller holds r.mu.
func (r *Runner) setServers(m *cells.Map) {
	weights := map[string]float64{}
	var unchecked []string
	for s := range m.AllServers() {
		weights[s.Name] = s.Weight
		if r.upstreams[s.Name] == nil {
			unchecked = append(unchecked, s.Name)
		}
		if u := r.upstreams[s.Name]; u == nil || u.addr != s.Addr {
			u.close()
			r.upstreams[s.Name] = &upstream{name: s.Name, addr: s.Addr, slots: r.connectionSlots, dial: r.cfg.Dial}
		}
	}
	for name, u := range r.upstreams {
		if m.Server(name) == nil {
			u.close()
			delete(r.upstreams, name)
		}
	}
	r.balancer.SetServers(r.clock(), weights)
	for _, name := range unchecked {
		r.balancer.AwaitHealthCheck(name)
	}
}

// Reload loads the map from its source. If the map is invalid or can't follow the one in force, Reload logs the error and the old map stays
// in force. It is called at SIGHUP, by reloadMap, and when a server has rejected a request because it has seen a newer map.
func (r *Runner) Reload() {
	r.reloadMu.Lock()
	defer r.reloadMu.Unlock()
	old := r.current.Load()
	load := r.cfg.Source.Load
	src, ok := r.cfg.Source.(OutdatedSource)
	outdated := ok && r.verdict(old) == configstore.VerdictOutdated
	if outdated {
		load = src.LoadOutdated
	}
	m, confirmedAt, err := load(old.Map)
	if err != nil {
		r.recordMapError(old, err)
		return
	}
	if m.Version != old.Version {
		if outdated {
			r.suspendAfterOutdated(m)
		}
		r.stats.Inc("cells", "new_map")
		events.Log(r.log, "cells.map_active", m.Version, old.Version, len(cells.Diff(old.Map, m)))
	}
	r.activateMap(m, confirmedAt)
}

// recordMapError counts a failed load of the map, and logs it at most once in a lease.
func (r *Runner) recordMapError(old *mapInForce, err error) {
	r.stats.Inc("cells", "bad_map")
	if time.Since(r.loggedBadMapAt) > old.Lease {
		r.loggedBadMapAt = time.Now()
		events.Log(r.log, "cells.map_rejected", old.Version, err)
	}
	// A map that passed its check in time may still take effect too late, perhaps at all routers. Then no server has seen it, so this
	// router records its version itself.
	if src, ok := r.cfg.Source.(NewestSource); ok {
		if id, ok := src.Newest(old.Map); ok {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.observeVersion(r.clock(), id, "the group")
		}
	}
}

// reloadMap reloads the map at a third of its lease, and when a newer version was seen, until ctx is done.
func (r *Runner) reloadMap(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.current.Load().Lease / 3):
			r.Reload()
		case <-r.reloadSoon:
			r.Reload()
			sleep(ctx, max(minReloadInterval, r.current.Load().Lease/10))
		}
	}
}

// minReloadInterval is the least time between two reloads because a newer version was seen. Without it a newer map that never arrives, for
// example because its file was not copied to this router, would cause a reload at each health check.
const minReloadInterval = 100 * time.Millisecond

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// identifyMap returns the ID of a map by the digest of its text.
func identifyMap(m *cells.Map) configstore.ID {
	return configstore.NewID(m.Version, settings.FormatCells(m))
}

// identify returns the ID of a map by the digest that its source has for it, or else by the digest of its text.
func (r *Runner) identify(m *cells.Map) configstore.ID {
	if src, ok := r.cfg.Source.(DigestSource); ok {
		if digest, named := src.DigestOf(m); named {
			return configstore.ID{Version: m.Version, Digest: digest}
		}
	}
	return identifyMap(m)
}

// suspendAfterOutdated is called before m replaces a map that was outdated for longer than its lease. Requests with a key that this router
// sent by the old map may be repeated, and m may give their keys other homes. So no request with a key is sent until the overlap window
// has passed since the last of them.
func (r *Runner) suspendAfterOutdated(m *cells.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if lastSent := time.Duration(r.lastKeyedSent.Load()); lastSent > 0 {
		r.versions.ExtendTerms(r.clock(), r.conflictTerms(m))
		r.versions.SuspendAfter(lastSent)
	}
}
