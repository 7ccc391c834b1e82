package proxy

import (
	"context"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// mapInForce is the map in force and when it was last known to be the newest.
type mapInForce struct {
	*cells.Map
	confirmedAt time.Time
	id          configstore.ID
	name        string // the same, as it is said
}

// useMap puts a map in force. Its servers are gone through where one of them has changed, and its text is made to name it where its
// source knows no name; a map that is in force already costs nothing that grows with it.
func (r *Runner) useMap(m *cells.Map, read time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.current.Load()
	if was == nil || !m.SameServers(was.Map) {
		r.setServers(m)
	}
	v := &mapInForce{Map: m, confirmedAt: read}
	if was != nil && was.Map == m {
		v.id, v.name = was.id, was.name
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
	var unheard []string
	for s := range m.AllServers() {
		weights[s.Name] = s.Weight
		if r.upstreams[s.Name] == nil {
			unheard = append(unheard, s.Name)
		}
		if p := r.upstreams[s.Name]; p == nil || p.addr != s.Addr {
			p.close()
			r.upstreams[s.Name] = &upstream{name: s.Name, addr: s.Addr, slots: r.connectionSlots, dial: r.cfg.Dial}
		}
	}
	for name, p := range r.upstreams {
		if m.Server(name) == nil {
			p.close()
			delete(r.upstreams, name)
		}
	}
	r.balancer.SetServers(r.clock(), weights)
	for _, name := range unheard {
		r.balancer.AwaitHealthCheck(name)
	}
}

// Reload reads the map again. One that is no good, or can't follow the one in force, is logged, and the old one holds.
func (r *Runner) Reload() {
	r.reading.Lock()
	defer r.reading.Unlock()
	old := r.current.Load()
	load := r.cfg.Source.Load
	src, can := r.cfg.Source.(OutdatedSource)
	behind := can && r.verdict(old) == configstore.VerdictOutdated
	if behind {
		load = src.LoadOutdated
	}
	m, read, err := load(old.Map)
	if err != nil {
		r.stats.Inc("cells", "bad_map")
		if time.Since(r.loggedBadMapAt) > old.Lease {
			r.loggedBadMapAt = time.Now()
			events.Log(r.log, "cells.bad_map", old.Version, err)
		}
		// Where it was checked in time and comes too late, perhaps at all routers, nobody else tells that there is a newer one.
		if src, can := r.cfg.Source.(NewestSource); can {
			if id, ok := src.Newest(old.Map); ok {
				r.mu.Lock()
				r.observeVersion(r.clock(), id, "the group")
				r.mu.Unlock()
			}
		}
		return
	}
	if behind && m.Version != old.Version {
		r.catchUp(m)
	}
	if m.Version != old.Version {
		r.stats.Inc("cells", "new_map")
		events.Log(r.log, "cells.new_map", m.Version, old.Version, len(cells.Diff(old.Map, m)))
	}
	r.useMap(m, read)
}

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

// minReloadPause is the least time between two readings of the map because a newer one was heard of.
const minReloadPause = 100 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

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
