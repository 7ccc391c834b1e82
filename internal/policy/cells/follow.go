package cells

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Which map may follow another. Inputs: both maps, when the old one was last known to be the newest, and the present.
//
// What has been in force can't be changed, since keys have run where it sent them. What is to come must be announced Lease and
// MaxClockSkew ahead: a router that has not heard of it has ended the keyed requests of the old map by then, as it sends none once it
// could not confirm its map for a lease. What ended before a key's repeats are over may be left out. A map that breaks this would have
// a request with one key run on two servers.

// Follows reports, naming the field, why the map can't take the place of another one now. It is called before a map is written, and
// when one is read.
func (m *Map) Follows(old *Map, now time.Time) error { return m.FollowsLate(old, now, now) }

// FollowsLate is Follows for a router that last knew the old map to be the newest at a time, and has sent no keyed requests by it for
// more than a lease after that: what was announced a lease ahead of then holds for it too, however late it hears of it. Of two maps
// that share parts it looks at the others alone.
func (m *Map) FollowsLate(old *Map, known, now time.Time) error {
	if m == old || m.Version == old.Version && len(Diff(old, m)) == 0 {
		return nil
	}
	if err := m.headFollows(old); err != nil {
		return err
	}
	t := transition{
		from: old, to: m, before: old.anyIndex(), after: m.anyIndex(),
		earliest: known.Add(m.Lease + m.MaxClockSkew).UnixMilli(),
		keptFrom: now.Add(-m.OverlapWindow()).UnixMilli(),
	}
	if err := t.checkTenants(); err != nil {
		return err
	}
	return t.checkServers()
}

// headFollows checks the version, the epoch and the times.
func (m *Map) headFollows(old *Map) error {
	switch {
	case m.Version <= old.Version:
		return fmt.Errorf("version: %d is not above that in force, %d", m.Version, old.Version)
	case m.Epoch < old.Epoch:
		return fmt.Errorf("epoch: %d is under that of the map in force, %d", m.Epoch, old.Epoch)
	case m.KeyWindow < old.KeyWindow:
		return errors.New("window_ms: shorter than before")
	case m.MaxClockSkew != old.MaxClockSkew || m.Lease != old.Lease:
		return errors.New("lease_ms: neither it nor skew_ms may change under way")
	}
	return nil
}

// transition is a change from one map to another.
type transition struct {
	from, to      *Map
	before, after *index
	earliest      int64 // Unix milliseconds at which something new may come into force
	keptFrom      int64 // Unix milliseconds; what ended before may be left out
}

func (t *transition) checkTenants() error {
	unnamed := t.before.tenant("")
	for at, tenant := range t.to.tenantsNotIn(t.before) {
		was := t.before.tenant(tenant.Name)
		if err := t.checkNewHomes(at, tenant, was); err != nil {
			return err
		}
		if was == nil {
			if unnamed != nil && tenant.Homes[0] != unnamed.Homes[0] {
				return fmt.Errorf("%v.homes[0]: a tenant that is named anew begins where the unnamed live", at)
			}
			continue
		}
		if err := t.checkOldHomes(at, tenant, was); err != nil {
			return err
		}
	}
	for _, tenant := range t.from.tenantsNotIn(t.after) {
		if t.after.tenant(tenant.Name) == nil {
			return fmt.Errorf("tenants: %q is gone", tenant.Name)
		}
	}
	return nil
}

// checkNewHomes checks that homes that a tenant did not have are announced in time. A tenant that is named anew may have had its first
// one from the beginning.
func (t *transition) checkNewHomes(at position, tenant, was *Tenant) error {
	for j, h := range tenant.Homes {
		known := was != nil && slices.Contains(was.Homes, h)
		fromTheBeginning := j == 0 && was == nil && h.Since == 0
		if !known && h.Since < t.earliest && !fromTheBeginning {
			return fmt.Errorf("%v.homes[%d].from_ms: not a lease ahead: %d is before %d", at, j, h.Since, t.earliest)
		}
	}
	return nil
}

// checkOldHomes checks that homes that have been in force stay, but for those that ended before keptFrom.
func (t *transition) checkOldHomes(at position, tenant, was *Tenant) error {
	first := tenant.Homes[0].Since
	for j, h := range was.Homes {
		ended := j+1 < len(was.Homes) && was.Homes[j+1].Since < t.keptFrom || first >= t.earliest && first < t.keptFrom
		if !slices.Contains(tenant.Homes, h) && !ended && h.Since < t.earliest {
			return fmt.Errorf("%v.homes: %q was in %q, which can't be undone: append a home", at, tenant.Name, h.Cell)
		}
	}
	return nil
}

func (t *transition) checkServers() error {
	for at, s := range t.to.serversNotIn(t.before) {
		if err := t.checkServer(at, s, t.before.server(s.Name)); err != nil {
			return err
		}
	}
	for _, s := range t.from.serversNotIn(t.after) {
		// One that had left before what may be left out, by a map that was never heard of, is not missed.
		if t.after.server(s.Name) == nil && (s.LeavesAt == 0 && t.earliest >= t.keptFrom || s.LeavesAt >= t.keptFrom) {
			return fmt.Errorf("servers: %q is gone, and its keys may come again: set until_ms", s.Name)
		}
	}
	return nil
}

// checkServer checks a server that is new or has changed. A server that was there for a while keeps all that scores are taken of.
func (t *transition) checkServer(at position, s, was *Server) error {
	switch {
	case was == nil:
		if s.JoinsAt < t.earliest {
			return fmt.Errorf("%v.from_ms: not a lease ahead: %d is before %d", at, s.JoinsAt, t.earliest)
		}
	case s.Cell != was.Cell || s.Weight != was.Weight || s.JoinsAt != was.JoinsAt && was.JoinsAt < t.earliest:
		return fmt.Errorf("%v: %q changes its cell, weight or from_ms: give it another name", at, s.Name)
	case s.LeavesAt != was.LeavesAt && (t.isTooEarly(s.LeavesAt) || t.isTooEarly(was.LeavesAt)):
		return fmt.Errorf("%v.until_ms: not a lease ahead: %d is before %d", at, s.LeavesAt, t.earliest)
	}
	return nil
}

// isTooEarly reports whether a time at which a server leaves, 0 for never, comes before a change may take effect.
func (t *transition) isTooEarly(leavesAt int64) bool { return leavesAt > 0 && leavesAt < t.earliest }
