package proxy

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// GroupSource is the map that a group agrees on, beside a state file that keeps the last one over a restart of the router. Its methods may
// be called by several goroutines: configwatch applies maps while the runner loads them.
type GroupSource struct {
	state *stateFile

	taking               sync.Mutex // held while a map is read and applied
	mu                   sync.Mutex
	latest               namedMap          // applied last; without a Map where the group has told of none
	latestConfirmedAt    time.Time         // when the group was asked that then said that it is the newest
	delivered            namedMap          // by Load
	deliveredConfirmedAt time.Time         // when that was last known to be the newest
	deliveredInParts     *cells.Map        // the map in parts that Load delivered last; nil: none, or one in one piece came since
	delta                map[string]string // the parts by which latest differs from that
	joined               joinedParts       // last: a change is checked again and again while it waits, and then applied
}

// joinedParts is a map that was joined from parts.
type joinedParts struct {
	base, m  *cells.Map // base is the map that the rest is of; nil: there is none
	digest   uint64     // of the parts
	complete bool
}

// namedMap is a map, and, where it was applied in parts, the digest by which the group names it.
type namedMap struct {
	*cells.Map
	digest  uint64
	inParts bool
}

var errNoGroupMap = errors.New("the group has no map yet: silverpath rules put map FILE")

// OpenGroupSource returns the source; the state's path is empty where nothing is kept.
func OpenGroupSource(state string) (*GroupSource, error) {
	s, err := openStateFile(state)
	if err != nil {
		return nil, err
	}
	k := s.load()
	a := &GroupSource{state: s, delivered: namedMap{k.Map, k.digest, k.inParts}, deliveredConfirmedAt: k.confirmedAt}
	if k.inParts {
		a.deliveredInParts = k.Map
	}
	return a, nil
}

// Close closes the state file.
func (a *GroupSource) Close() error { return a.state.close() }

// Check is an error that names why a map can't follow the one that is in force here.
func (a *GroupSource) Check(text string) error {
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	return a.follows(m)
}

func (a *GroupSource) follows(m *cells.Map) error {
	a.mu.Lock()
	old, since := a.delivered.Map, a.deliveredConfirmedAt
	a.mu.Unlock()
	if old == nil {
		return nil
	}
	return m.FollowsLate(old, since, time.Now())
}

// CheckParts is an error that names why the map that has these parts in place of those of the one before can't follow it. That is the one
// that was applied last, or, before any was, the one of the state file. Whole says that the parts are all that there are.
func (a *GroupSource) CheckParts(changed map[string]string, complete bool) error {
	m, err := a.join(changed, complete)
	if err != nil {
		return err
	}
	return a.follows(m)
}

// join reads the parts, and what they can break, once for as long as neither they nor the map below them change.
func (a *GroupSource) join(changed map[string]string, complete bool) (*cells.Map, error) {
	a.mu.Lock()
	base, last := cmp.Or(a.latest.Map, a.delivered.Map), a.joined
	a.mu.Unlock()
	if complete {
		base = nil
	}
	sum := configstore.TextsDigest(changed)
	if last.m != nil && last.base == base && last.digest == sum && last.complete == complete {
		return last.m, nil
	}
	m, err := settings.JoinCells(base, changed)
	if err == nil {
		a.mu.Lock()
		a.joined = joinedParts{base, m, sum, complete}
		a.mu.Unlock()
	}
	return m, err
}

// ApplyParts has the map of these parts, which was checked, be the one that Load delivers. The digest of id, by which the group names it,
// names the map to servers and other routers, beside the map's own version. After an error the map before stays.
func (a *GroupSource) ApplyParts(id configstore.ID, changed map[string]string, complete bool) error {
	a.taking.Lock()
	defer a.taking.Unlock()
	m, err := a.join(changed, complete)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case complete:
		a.deliveredInParts, a.delta = nil, nil
	case a.deliveredInParts != nil:
		if a.delta == nil {
			a.delta = map[string]string{}
		}
		maps.Copy(a.delta, changed)
	}
	a.latest, a.latestConfirmedAt, a.joined = namedMap{m, id.Digest, true}, time.Time{}, joinedParts{}
	return nil
}

// DigestOf is the digest by which the group names a map that was applied in parts.
func (a *GroupSource) DigestOf(m *cells.Map) (digest uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range []namedMap{a.delivered, a.latest} {
		if v.Map == m && v.inParts {
			return v.digest, true
		}
	}
	return 0, false
}

// Apply has a map, which was checked, be the one that Load delivers.
func (a *GroupSource) Apply(text string) error {
	a.taking.Lock()
	defer a.taking.Unlock()
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latest, a.latestConfirmedAt, a.deliveredInParts, a.delta, a.joined = namedMap{Map: m}, time.Time{}, nil, nil, joinedParts{}
	return nil
}

// Confirm records when the group was asked for what is in force, once it has answered and the process acts on it.
func (a *GroupSource) Confirm(asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latestConfirmedAt = asked
}

// MaxClockSkew is by how much the map allows the wall clocks of two routers to differ.
func (a *GroupSource) MaxClockSkew() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latest.Map == nil {
		return time.Hour // nothing is sent by it yet
	}
	return a.latest.MaxClockSkew
}

// Load returns the group's map, or, until the group has answered, the one of the state file.
func (a *GroupSource) Load(old *cells.Map) (*cells.Map, time.Time, error) { return a.load(old, false) }

// LoadOutdated is Load for a router that has gone by an old map beyond its lease.
func (a *GroupSource) LoadOutdated(old *cells.Map) (*cells.Map, time.Time, error) {
	return a.load(old, true)
}

func (a *GroupSource) load(old *cells.Map, behind bool) (*cells.Map, time.Time, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old == nil {
		old = a.delivered.Map
	}
	m := a.latest.Map
	switch {
	case m == nil && old == nil:
		return nil, time.Time{}, errNoGroupMap
	case m == nil || a.latestConfirmedAt.IsZero():
		if old == nil {
			old = m // the first one: what confirms it comes with it
		}
		return old, a.deliveredConfirmedAt, nil
	}
	if old != nil && old != m {
		since := a.deliveredConfirmedAt
		if behind {
			since = time.Time{}
		}
		if err := m.FollowsLate(old, since, time.Now()); err != nil {
			return nil, time.Time{}, fmt.Errorf("the group's map: %w", err)
		}
	}
	if a.delivered.Map != m || a.latestConfirmedAt.Sub(a.deliveredConfirmedAt) > m.Lease/4 {
		if err := a.store(); err != nil {
			return nil, time.Time{}, err
		}
	}
	a.delivered, a.deliveredConfirmedAt = a.latest, a.latestConfirmedAt
	return m, a.latestConfirmedAt, nil
}

// Newest is the ID of the group's map, where it is another one than that which Load delivered.
func (a *GroupSource) Newest(old *cells.Map) (configstore.ID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.latest.Map == nil || a.latest.Map == old || a.latestConfirmedAt.IsZero():
		return configstore.ID{}, false
	case a.latest.inParts:
		return configstore.ID{Version: a.latest.Version, Digest: a.latest.digest}, true
	}
	return identifyMap(a.latest.Map), true
}

// store writes the latest map to the state file, under the lock: all of it where it is another kind than the one before, else what
// changed, or, where it is the same, the time alone.
func (a *GroupSource) store() error {
	if !a.latest.inParts {
		return a.state.storeWhole(a.latest.Map, a.latestConfirmedAt)
	}
	err := a.state.storeParts(a.latest.Map, a.latest.digest, a.deliveredInParts, a.delta, a.latestConfirmedAt)
	if err == nil {
		a.deliveredInParts, a.delta = a.latest.Map, nil
	}
	return err
}
