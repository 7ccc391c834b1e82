package cells

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Rules for replacing one map by another. Inputs: both maps, the time at which the old one was last confirmed as the newest, and the
// current time.
//
// Entries that have been in force cannot change, because keyed requests have run where those entries sent them. A future change must be
// announced Lease and MaxClockSkew ahead: a router that has not received it by then has stopped sending keyed requests by the old map,
// because it could not confirm its map for a lease. Entries may be removed once no key that ran under them can be repeated. A map that
// breaks these rules could make one keyed request run on two servers.

// Follows returns nil if the map may replace another one now, else an error that names the field. It is called before a map is written,
// and when one is read.
func (m *Map) Follows(old *Map, now time.Time) error { return m.FollowsLate(old, now, now) }

// FollowsLate is Follows for a router that last confirmed the old map as the newest at confirmedAt, and has sent no keyed requests by it
// since a lease after that. The router may therefore accept any change that takes effect Lease and MaxClockSkew after confirmedAt or
// later, however late it receives the map. FollowsLate skips the parts that the maps share.
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

// checkHeadFollows checks the version, the epoch and the times.
func (m *Map) checkHeadFollows(old *Map) error {
	switch {
	case m.Version <= old.Version:
		return fmt.Errorf("version: %d is not above that in force, %d", m.Version, old.Version)
	case m.Epoch < old.Epoch:
		return fmt.Errorf("epoch: %d is under that of the map in force, %d", m.Epoch, old.Epoch)
	case m.KeyWindow < old.KeyWindow:
		return errors.New("window_ms: shorter than before")
	case m.CallerTimeout < old.CallerTimeout: // it is part of OverlapWindow
		return errors.New("patience_ms: shorter than before")
	case m.MaxClockSkew != old.MaxClockSkew || m.Lease != old.Lease:
		return errors.New("lease_ms: neither it nor skew_ms may change under way")
	}
	return nil
}

// transition is the replacement of one map by another.
type transition struct {
	from, to               *Map
	oldIndex, updatedIndex *index
	earliest               int64 // Unix milliseconds; the earliest time at which a change may take effect
	retainedFrom           int64 // Unix milliseconds; entries that ended before this may be removed
}

// checkTenants checks the tenants that differ between the maps.
func (t *transition) checkTenants() error {
	for pos, tenant := range t.to.tenantsNotIn(t.oldIndex) {
		if err := t.checkTenant(pos, tenant); err != nil {
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

// checkTenant checks one tenant of the new map against the entry that applied to it in the old one: its own, or else the default entry.
func (t *transition) checkTenant(pos position, tenant *Tenant) error {
	previous := t.oldIndex.tenant(tenant.Name)
	if previous == nil {
		if defaultTenant := t.oldIndex.tenant(""); defaultTenant != nil {
			return t.checkNamed(pos, tenant, defaultTenant)
		}
		return t.checkNewHomes(pos, tenant, nil)
	}
	if err := t.checkNewHomes(pos, tenant, previous); err != nil {
		return err
	}
	if err := t.checkOldHomes(pos, tenant, previous); err != nil {
		return err
	}
	if j, at, moved := t.firstMove(previous, tenant); moved {
		return fmt.Errorf("%v.homes[%d]: %q moves from %q to %q without notice, at %d", pos, j, tenant.Name,
			previous.homeAt(at).Cell, tenant.Homes[j].Cell, at)
	}
	return nil
}

// checkNamed checks a tenant that was served by the default entry and gets an entry of its own. The new entry may leave out homes that
// have ended, or give their times otherwise, as long as it moves no key that has run.
func (t *transition) checkNamed(pos position, tenant, defaultTenant *Tenant) error {
	if j, at, moved := t.firstMove(defaultTenant, tenant); moved {
		home := defaultTenant.homeAt(at)
		return fmt.Errorf("%v.homes[%d]: a tenant that is named anew begins where the unnamed live: in cell %q with shard %d at %d",
			pos, j, home.Cell, home.ShardSize, at)
	}
	return nil
}

// firstMove returns the earliest time at which a new entry of a tenant places it elsewhere than the previous entry does, with the index of
// the new entry's home at that time. It considers the times of comparedFrom and later, up to the earliest at which a change may take effect.
func (t *transition) firstMove(previous, updated *Tenant) (home int, at int64, moved bool) {
	from, comparable := t.comparedFrom(updated)
	if !comparable {
		return 0, 0, false
	}
	times := []int64{from}
	for _, entry := range []*Tenant{previous, updated} {
		for _, h := range entry.Homes[1:] {
			if h.Since > from {
				times = append(times, h.Since)
			}
		}
	}
	slices.Sort(times)
	for _, at := range times {
		if at >= t.earliest {
			break
		}
		was, is := previous.homeAt(at), updated.homeAt(at)
		if was.Cell != is.Cell || was.ShardSize != is.ShardSize {
			return slices.Index(updated.Homes, is), at, true
		}
	}
	return 0, 0, false
}

// comparedFrom returns the time, in Unix milliseconds, from which a new entry of a tenant is compared with the previous one: from then on
// keyed requests may still be repeated. If the old map was last confirmed longer ago, the time is the last at which it was surely in force.
// Comparable is false if there is no such time, or if the new entry begins after it, because a map in between moved the tenant and
// a later one left out its former homes.
func (t *transition) comparedFrom(updated *Tenant) (from int64, comparable bool) {
	if t.earliest > t.retainedFrom {
		return t.retainedFrom, true
	}
	begins := updated.Homes[0].Since
	compacted := begins >= t.earliest && begins < t.retainedFrom
	return t.earliest - 1, t.earliest > 0 && !compacted
}

// checkNewHomes checks that a tenant's new homes are announced early enough. A tenant that the old map did not list may have had its
// first home from the start.
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

// checkOldHomes checks that homes that have been in force stay, except those that ended before retainedFrom.
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

// checkServers returns an error if a server is added, changed or removed in a way that the new map may not do.
func (t *transition) checkServers() error {
	for pos, s := range t.to.serversNotIn(t.oldIndex) {
		if err := t.checkServer(pos, s, t.oldIndex.server(s.Name)); err != nil {
			return err
		}
	}
	for _, s := range t.from.serversNotIn(t.updatedIndex) {
		// A server that stays in the old map may be missing: a map that this router never received can have ended it before retainedFrom.
		if t.updatedIndex.server(s.Name) == nil && (s.LeavesAt == 0 && t.earliest >= t.retainedFrom || s.LeavesAt >= t.retainedFrom) {
			return fmt.Errorf("servers: %q is gone, and its keys may come again: set until_ms", s.Name)
		}
	}
	return nil
}

// checkServer checks a server that is new or has changed. A server that has been in force keeps every field that its rendezvous scores
// depend on.
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

// isTooEarly reports whether leavesAt, 0 for never, comes before the earliest time at which a change may take effect.
func (t *transition) isTooEarly(leavesAt int64) bool { return leavesAt > 0 && leavesAt < t.earliest }
