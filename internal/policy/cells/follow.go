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
func (m *Map) FollowsLate(old *Map, confirmedAt, now time.Time) error {
	if m == old || m.Version == old.Version && len(Diff(old, m)) == 0 {
		return nil
	}
	if err := m.checkHeadFollows(old); err != nil {
		return err
	}
	t := transition{
		from: old, to: m, oldIndex: old.anyIndex(), updatedIndex: m.anyIndex(),
		earliest:     confirmedAt.Add(m.Lease + m.MaxClockSkew).UnixMilli(),
		retainedFrom: now.Add(-m.OverlapWindow()).UnixMilli(),
	}
	if err := t.checkTenants(); err != nil {
		return err
	}
	return t.checkServers()
}

// headFollows checks the version, the epoch and the times.
func (m *Map) checkHeadFollows(old *Map) error {
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
	from, to               *Map
	oldIndex, updatedIndex *index
	earliest               int64 // Unix milliseconds at which something new may come into force
	retainedFrom           int64 // Unix milliseconds; what ended before may be left out
}

func (t *transition) checkTenants() error {
	defaultTenant := t.oldIndex.tenant("")
	for pos, tenant := range t.to.tenantsNotIn(t.oldIndex) {
		previous := t.oldIndex.tenant(tenant.Name)
		if err := t.checkNewHomes(pos, tenant, previous); err != nil {
			return err
		}
		if previous == nil {
			if defaultTenant != nil && tenant.Homes[0] != defaultTenant.Homes[0] {
				return fmt.Errorf("%v.homes[0]: a tenant that is named anew begins where the unnamed live", pos)
			}
			continue
		}
		if err := t.checkOldHomes(pos, tenant, previous); err != nil {
			return err
		}
	}
	for _, tenant := range t.from.tenantsNotIn(t.updatedIndex) {
		if t.updatedIndex.tenant(tenant.Name) == nil {
			return fmt.Errorf("tenants: %q is gone", tenant.Name)
		}
	}
	return nil
}

// checkNewHomes checks that homes that a tenant did not have are announced in time. A tenant that is named anew may have had its first
// one from the beginning.
func (t *transition) checkNewHomes(pos position, tenant, previous *Tenant) error {
	for j, h := range tenant.Homes {
		existed := previous != nil && slices.Contains(previous.Homes, h)
		initialHome := j == 0 && previous == nil && h.Since == 0
		if !existed && h.Since < t.earliest && !initialHome {
			return fmt.Errorf("%v.homes[%d].from_ms: not a lease ahead: %d is before %d", pos, j, h.Since, t.earliest)
		}
	}
	return nil
}

// checkOldHomes checks that homes that have been in force stay, but for those that ended before keptFrom.
func (t *transition) checkOldHomes(pos position, tenant, previous *Tenant) error {
	firstSince := tenant.Homes[0].Since
	for j, h := range previous.Homes {
		ended := j+1 < len(previous.Homes) && previous.Homes[j+1].Since < t.retainedFrom || firstSince >= t.earliest && firstSince < t.retainedFrom
		if !slices.Contains(tenant.Homes, h) && !ended && h.Since < t.earliest {
			return fmt.Errorf("%v.homes: %q was in %q, which can't be undone: append a home", pos, tenant.Name, h.Cell)
		}
	}
	return nil
}

func (t *transition) checkServers() error {
	for pos, s := range t.to.serversNotIn(t.oldIndex) {
		if err := t.checkServer(pos, s, t.oldIndex.server(s.Name)); err != nil {
			return err
		}
	}
	for _, s := range t.from.serversNotIn(t.updatedIndex) {
		// One that had left before what may be left out, by a map that was never heard of, is not missed.
		if t.updatedIndex.server(s.Name) == nil && (s.LeavesAt == 0 && t.earliest >= t.retainedFrom || s.LeavesAt >= t.retainedFrom) {
			return fmt.Errorf("servers: %q is gone, and its keys may come again: set until_ms", s.Name)
		}
	}
	return nil
}

// checkServer checks a server that is new or has changed. A server that was there for a while keeps all that scores are taken of.
func (t *transition) checkServer(pos position, s, previous *Server) error {
	switch {
	case previous == nil:
		if s.JoinsAt < t.earliest {
			return fmt.Errorf("%v.from_ms: not a lease ahead: %d is before %d", pos, s.JoinsAt, t.earliest)
		}
	case s.Cell != previous.Cell || s.Weight != previous.Weight || s.JoinsAt != previous.JoinsAt && previous.JoinsAt < t.earliest:
		return fmt.Errorf("%v: %q changes its cell, weight or from_ms: give it another name", pos, s.Name)
	case s.LeavesAt != previous.LeavesAt && (t.isTooEarly(s.LeavesAt) || t.isTooEarly(previous.LeavesAt)):
		return fmt.Errorf("%v.until_ms: not a lease ahead: %d is before %d", pos, s.LeavesAt, t.earliest)
	}
	return nil
}

// isTooEarly reports whether a time at which a server leaves, 0 for never, comes before a change may take effect.
func (t *transition) isTooEarly(leavesAt int64) bool { return leavesAt > 0 && leavesAt < t.earliest }
