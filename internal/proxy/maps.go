package proxy

import (
	"context"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// The map in force. It is read again at a third of its lease, and at once where a newer one was heard of; where it could not be confirmed
// for a lease, requests with a key fail.

// mapInForce is the map in force and when it was last known to be the newest.
type mapInForce struct {
	*cells.Map
	confirmedAt time.Time
	id          configstore.ID
	name        string // id as it is on the wire
}

// useMap puts a map in force that was confirmed at a time. Its servers are gone through where one of them has changed, and its text is
// made to name it where its source knows no digest; a map that is in force already costs nothing that grows with it.
func (r *Runner) useMap(m *cells.Map, confirmedAt time.Time) {
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
	r.current.Store(v)
	r.versions.ExtendTerms(r.conflictTerms(m))
	r.observeVersion(r.clock(), v.id, r.cfg.Name)
}

// setServers takes up the servers of a map, under the lock.
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

// Reload reads the map again. One that is no good, or can't follow the one in force, is logged, and the old one stays in force. It is
// called at SIGHUP, by reloadMap, and where a server knows of a newer map.
func (r *Runner) Reload() {
	r.reading.Lock()
	defer r.reading.Unlock()
	old := r.current.Load()
	load := r.cfg.Source.Load
	src, can := r.cfg.Source.(OutdatedSource)
	outdated := can && r.verdict(old) == configstore.VerdictOutdated
	if outdated {
		load = src.LoadOutdated
	}
	m, confirmedAt, err := load(old.Map)
	if err != nil {
		r.noteBadMap(old, err)
		return
	}
	if m.Version != old.Version {
		if outdated {
			r.catchUp(m)
		}
		r.stats.Inc("cells", "new_map")
		events.Log(r.log, "cells.map_active", m.Version, old.Version, len(cells.Diff(old.Map, m)))
	}
	r.useMap(m, confirmedAt)
}

// noteBadMap counts and logs that no map can follow the one in force, once a lease.
func (r *Runner) noteBadMap(old *mapInForce, err error) {
	r.stats.Inc("cells", "bad_map")
	if time.Since(r.loggedBadMapAt) > old.Lease {
		r.loggedBadMapAt = time.Now()
		events.Log(r.log, "cells.map_rejected", old.Version, err)
	}
	// Where it was checked in time and comes too late, perhaps at all routers, nobody else tells that there is a newer one.
	if src, can := r.cfg.Source.(NewestSource); can {
		if id, ok := src.Newest(old.Map); ok {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.observeVersion(r.clock(), id, "the group")
		}
	}
}

// reloadMap reads the map again at a third of its lease, and where a newer one was heard of, until the context ends.
func (r *Runner) reloadMap(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.current.Load().Lease / 3):
			r.Reload()
		case <-r.reloadSoon:
			r.Reload()
			pause(ctx, max(minReloadPause, r.current.Load().Lease/10))
		}
	}
}

// minReloadPause is the least time between two readings of the map because a newer one was heard of: one that never comes, as its file
// was forgotten, must not have the map read with each health check.
const minReloadPause = 100 * time.Millisecond

// pause waits for so long, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// identifyMap names a map by its text.
func identifyMap(m *cells.Map) configstore.ID {
	return configstore.NewID(m.Version, settings.FormatCells(m))
}

// identify names a map by the digest that its source knows, or else by its text.
func (r *Runner) identify(m *cells.Map) configstore.ID {
	if src, can := r.cfg.Source.(DigestSource); can {
		if digest, named := src.DigestOf(m); named {
			return configstore.ID{Version: m.Version, Digest: digest}
		}
	}
	return identifyMap(m)
}

// catchUp records that a newer map is taken up by a router that has gone by an old one beyond its lease. What it sent then, where the newer
// one has another home for it, may be repeated: nothing exclusive begins until it can't be any more.
func (r *Runner) catchUp(m *cells.Map) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if used := time.Duration(r.lastKeyedSent.Load()); used > 0 {
		now := r.clock()
		r.versions.Suspend(now, used+r.conflictTerms(m).OverlapWindow-now)
	}
}
