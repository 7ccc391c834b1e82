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

// GroupSource provides the map that the control group has agreed on. A state file keeps the last one across restarts of the router. Its
// methods may be called by several goroutines: configwatch applies maps while the runner loads them.
type GroupSource struct {
	state *stateFile

	taking               sync.Mutex // held while a map is parsed and applied
	mu                   sync.Mutex
	latest               namedMap          // applied last; its Map is nil until the group has sent one
	latestConfirmedAt    time.Time         // when the request was sent whose answer confirmed latest as the newest; zero: not confirmed yet
	delivered            namedMap          // the map that Load returned last
	deliveredConfirmedAt time.Time         // when delivered was last known to be the newest
	deliveredInParts     *cells.Map        // the map in parts that Load returned last; nil: none, or a map in one document was applied since
	delta                map[string]string // the parts by which latest differs from deliveredInParts
	joined               joinedParts       // result of the last join: a proposed change is checked repeatedly before it is applied
}

// joinedParts is a map that was joined from parts, with the arguments of the join.
type joinedParts struct {
	base, m  *cells.Map // base has the parts that did not change; nil: all parts were given
	digest   uint64     // of the given parts
	complete bool
}

// namedMap is a map with the digest by which the group identifies it, if it was applied in parts.
type namedMap struct {
	*cells.Map
	digest  uint64
	inParts bool
}

var errNoGroupMap = errors.New("the group has no map yet: add one with silverpath rules put map FILE")

// OpenGroupSource returns a source whose state file is at the path state. If the path is empty, nothing is stored.
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

// Check parses a map and returns an error if it is invalid or can't follow the map in force.
func (a *GroupSource) Check(text string) error {
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	return a.follows(m)
}

// follows returns an error if m can't follow the map that Load returned last.
func (a *GroupSource) follows(m *cells.Map) error {
	a.mu.Lock()
	old, since := a.delivered.Map, a.deliveredConfirmedAt
	a.mu.Unlock()
	if old == nil {
		return nil
	}
	return m.FollowsLate(old, since, time.Now())
}

// CheckParts joins the changed parts with the previous map and returns an error if the result is invalid or can't follow the map in force.
// The previous map is the one that was applied last, or the one of the state file if none was. If complete is set, changed has all parts
// of the map.
func (a *GroupSource) CheckParts(changed map[string]string, complete bool) error {
	m, err := a.join(changed, complete)
	if err != nil {
		return err
	}
	return a.follows(m)
}

// join returns the map of the changed parts on top of the previous map. It keeps the last result, so that repeated checks of one change
// parse and validate its parts once.
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

// ApplyParts joins parts that CheckParts has accepted and makes the result the map that Load returns. The digest of id, by which the group
// identifies the map, identifies it to servers and other routers too, with the map's own version. After an error the previous map stays.
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

// DigestOf returns the digest by which the group identifies a map that was applied in parts; ok is false for any other map.
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

// Apply parses a map that Check has accepted and makes it the map that Load returns.
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

// Confirm records that the latest map is the newest as of asked, the time at which the group was asked for it. It is called after the
// group has answered and the process acts on the answer.
func (a *GroupSource) Confirm(asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latestConfirmedAt = asked
}

// MaxClockSkew returns the difference between the wall clocks of two routers that the latest map allows.
func (a *GroupSource) MaxClockSkew() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.latest.Map == nil {
		return time.Hour // no map of the group is in use yet, so no skew is too large
	}
	return a.latest.MaxClockSkew
}

// Load returns the group's latest map and the time of its confirmation. Until the group has confirmed one, it returns the map of the
// state file. It returns an error if there is neither, or if the latest map can't follow old.
func (a *GroupSource) Load(old *cells.Map) (*cells.Map, time.Time, error) { return a.load(old, false) }

// LoadOutdated is like Load, for a router whose map in force was outdated for longer than its lease. It accepts a map that was
// announced too late for this router.
func (a *GroupSource) LoadOutdated(old *cells.Map) (*cells.Map, time.Time, error) {
	return a.load(old, true)
}

// load implements Load and LoadOutdated.
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
			old = m // the first map: unconfirmed, as deliveredConfirmedAt is zero, until Confirm is called
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

// Newest returns the ID of the group's latest map; ok is false if that is old or not confirmed.
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

// store writes the latest map to the state file. If the map is already stored, it writes only the time; if the stored one is in parts too,
// the changed parts; else the complete map. The caller holds a.mu.
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
