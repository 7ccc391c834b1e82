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

	applyMu              sync.Mutex // held while a map is parsed and applied
	mu                   sync.Mutex
	latest               namedMap          // applied last; its Map is nil until the group has sent one
	latestConfirmedAt    time.Time         // when the request was sent whose answer confirmed latest as the newest; zero: not confirmed yet
	delivered            namedMap          // the map that Load returned last
	deliveredConfirmedAt time.Time         // when delivered was last known to be the newest
	deliveredInParts     *cells.Map        // the last map that Load returned, if it came in parts; nil if none has, or if a map has since come as one text
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
	file, err := openStateFile(state)
	if err != nil {
		return nil, err
	}
	stored := file.load()
	g := &GroupSource{state: file, delivered: namedMap{stored.Map, stored.digest, stored.inParts}, deliveredConfirmedAt: stored.confirmedAt}
	if stored.inParts {
		g.deliveredInParts = stored.Map
	}
	return g, nil
}

// Close closes the state file.
func (g *GroupSource) Close() error { return g.state.close() }

// Check parses a map and returns an error if it is invalid or can't follow the map in force.
func (g *GroupSource) Check(text string) error {
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	return g.follows(m)
}

// follows returns an error if m can't follow the map that Load returned last.
func (g *GroupSource) follows(m *cells.Map) error {
	g.mu.Lock()
	old, confirmedAt := g.delivered.Map, g.deliveredConfirmedAt
	g.mu.Unlock()
	if old == nil {
		return nil
	}
	return m.FollowsLate(old, confirmedAt, time.Now())
}

// CheckParts joins the changed parts with the previous map and returns an error if the result is invalid or can't follow the map in force.
// The previous map is the one that was applied last, or the one of the state file if none was. If complete is set, changed has all parts
// of the map.
func (g *GroupSource) CheckParts(changed map[string]string, complete bool) error {
	m, err := g.join(changed, complete)
	if err != nil {
		return err
	}
	return g.follows(m)
}

// join returns the map of the changed parts on top of the previous map. It keeps the last result, so that repeated checks of one change
// parse and validate its parts once.
func (g *GroupSource) join(changed map[string]string, complete bool) (*cells.Map, error) {
	g.mu.Lock()
	base, last := cmp.Or(g.latest.Map, g.delivered.Map), g.joined
	g.mu.Unlock()
	if complete {
		base = nil
	}
	digest := configstore.TextsDigest(changed)
	if last.m != nil && last.base == base && last.digest == digest && last.complete == complete {
		return last.m, nil
	}
	m, err := settings.JoinCells(base, changed)
	if err == nil {
		g.mu.Lock()
		g.joined = joinedParts{base, m, digest, complete}
		g.mu.Unlock()
	}
	return m, err
}

// ApplyParts joins parts that CheckParts has accepted and makes the result the map that Load returns. The digest of id, by which the group
// identifies the map, identifies it to servers and other routers too, with the map's own version. After an error the previous map stays.
func (g *GroupSource) ApplyParts(id configstore.ID, changed map[string]string, complete bool) error {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	m, err := g.join(changed, complete)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case complete:
		g.deliveredInParts, g.delta = nil, nil
	case g.deliveredInParts != nil:
		if g.delta == nil {
			g.delta = map[string]string{}
		}
		maps.Copy(g.delta, changed)
	}
	g.latest, g.latestConfirmedAt, g.joined = namedMap{m, id.Digest, true}, time.Time{}, joinedParts{}
	return nil
}

// DigestOf returns the digest by which the group identifies a map that was applied in parts; ok is false for any other map.
func (g *GroupSource) DigestOf(m *cells.Map) (digest uint64, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, v := range []namedMap{g.delivered, g.latest} {
		if v.Map == m && v.inParts {
			return v.digest, true
		}
	}
	return 0, false
}

// Apply parses a map that Check has accepted and makes it the map that Load returns.
func (g *GroupSource) Apply(text string) error {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latest, g.latestConfirmedAt, g.deliveredInParts, g.delta, g.joined = namedMap{Map: m}, time.Time{}, nil, nil, joinedParts{}
	return nil
}

// Confirm records that the latest map is the newest as of requestedAt, the time of the request to the group. It is called after
// the group has answered and the process acts on the answer.
func (g *GroupSource) Confirm(requestedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latestConfirmedAt = requestedAt
}

// MaxClockSkew returns the difference between the wall clocks of two routers that the latest map allows.
func (g *GroupSource) MaxClockSkew() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latest.Map == nil {
		return time.Hour // no map of the group is in use yet, so no skew is too large
	}
	return g.latest.MaxClockSkew
}

// Load returns the group's latest map and the time of its confirmation. Until the group has confirmed one, it returns the map of the
// state file. It returns an error if there is neither, or if the latest map can't follow old.
func (g *GroupSource) Load(old *cells.Map) (*cells.Map, time.Time, error) { return g.load(old, false) }

// LoadOutdated is like Load, for a router whose map in force was outdated for longer than its lease. It accepts a map that was
// announced too late for this router.
func (g *GroupSource) LoadOutdated(old *cells.Map) (*cells.Map, time.Time, error) {
	return g.load(old, true)
}

// load implements Load and LoadOutdated. With outdated set it accepts a map that was announced too late.
func (g *GroupSource) load(old *cells.Map, outdated bool) (*cells.Map, time.Time, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if old == nil {
		old = g.delivered.Map
	}
	m := g.latest.Map
	switch {
	case m == nil && old == nil:
		return nil, time.Time{}, errNoGroupMap
	case m == nil || g.latestConfirmedAt.IsZero():
		if old == nil {
			old = m // the first map: unconfirmed, as deliveredConfirmedAt is zero, until Confirm is called
		}
		return old, g.deliveredConfirmedAt, nil
	}
	if old != nil && old != m {
		confirmedAt := g.deliveredConfirmedAt
		if outdated {
			confirmedAt = time.Time{}
		}
		if err := m.FollowsLate(old, confirmedAt, time.Now()); err != nil {
			return nil, time.Time{}, fmt.Errorf("the group's map: %w", err)
		}
	}
	if g.delivered.Map != m || g.latestConfirmedAt.Sub(g.deliveredConfirmedAt) > m.Lease/4 {
		if err := g.store(); err != nil {
			return nil, time.Time{}, err
		}
	}
	g.delivered, g.deliveredConfirmedAt = g.latest, g.latestConfirmedAt
	return m, g.latestConfirmedAt, nil
}

// Newest returns the ID of the group's latest map; ok is false if that is old or not confirmed.
func (g *GroupSource) Newest(old *cells.Map) (configstore.ID, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.latest.Map == nil || g.latest.Map == old || g.latestConfirmedAt.IsZero():
		return configstore.ID{}, false
	case g.latest.inParts:
		return configstore.ID{Version: g.latest.Version, Digest: g.latest.digest}, true
	}
	return identifyMap(g.latest.Map), true
}

// store writes the latest map to the state file. If the map is already stored, it writes only the time; if the stored one is in parts too,
// the changed parts; else the complete map. The caller holds g.mu.
func (g *GroupSource) store() error {
	if !g.latest.inParts {
		return g.state.storeWhole(g.latest.Map, g.latestConfirmedAt)
	}
	err := g.state.storeParts(g.latest.Map, g.latest.digest, g.deliveredInParts, g.delta, g.latestConfirmedAt)
	if err == nil {
		g.deliveredInParts, g.delta = g.latest.Map, nil
	}
	return err
}
