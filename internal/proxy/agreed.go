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

// Agreed is a map that a group agrees on, beside a store that keeps the last one over a restart of the router.
type Agreed struct {
	state *state

	taking sync.Mutex // one map at a time is read and taken
	mu     sync.Mutex
	m      version           // taken last, without a Map where none was heard of
	known  time.Time         // when it was asked for what was then the newest
	old    version           // handed out last
	since  time.Time         // when that was last known to be the newest
	from   *cells.Map        // the map in parts that was handed out last; nil: none, or another kind came since
	delta  map[string]string // the parts by which m differs from that
	tried  tried             // what was joined last: a change is checked again and again while it waits, and then taken
}

// tried is a map that was put together of parts.
type tried struct {
	base, m *cells.Map // base is what the rest is of; nil: nothing
	sum     uint64     // of the parts
	whole   bool
}

// version is a map, and, where it was taken in parts, the digest by which the group names it.
type version struct {
	*cells.Map
	digest  uint64
	inParts bool
}

var errNoMap = errors.New("the group has no map yet: silverpath rules put map FILE")

// OpenAgreed returns the source; the state's path is empty where nothing is kept.
func OpenAgreed(state string) (*Agreed, error) {
	s, err := openState(state)
	if err != nil {
		return nil, err
	}
	k := s.load()
	a := &Agreed{state: s, old: version{k.Map, k.digest, k.inParts}, since: k.read}
	if k.inParts {
		a.from = k.Map
	}
	return a, nil
}

// Close closes the store.
func (a *Agreed) Close() error { return a.state.close() }

// Check names why a map can't follow the one that is in force here.
func (a *Agreed) Check(text string) error {
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	return a.follows(m)
}

func (a *Agreed) follows(m *cells.Map) error {
	a.mu.Lock()
	old, since := a.old.Map, a.since
	a.mu.Unlock()
	if old == nil {
		return nil
	}
	return m.FollowsLate(old, since, time.Now())
}

// CheckParts names why the map that has these parts in place of those of the one handed out can't follow it. That is the one that was
// taken last, or, before any was, the one that was kept. whole: the parts are all there are.
func (a *Agreed) CheckParts(changed map[string]string, whole bool) error {
	m, err := a.join(changed, whole)
	if err != nil {
		return err
	}
	return a.follows(m)
}

// join reads the parts and what they can break once for as long as neither they nor the map below them change.
func (a *Agreed) join(changed map[string]string, whole bool) (*cells.Map, error) {
	a.mu.Lock()
	base, last := cmp.Or(a.m.Map, a.old.Map), a.tried
	a.mu.Unlock()
	if whole {
		base = nil
	}
	sum := configstore.SumOf(changed)
	if last.m != nil && last.base == base && last.sum == sum && last.whole == whole {
		return last.m, nil
	}
	m, err := settings.JoinCells(base, changed)
	if err == nil {
		a.mu.Lock()
		a.tried = tried{base, m, sum, whole}
		a.mu.Unlock()
	}
	return m, err
}

// TakeParts has that map, which was checked, be the one that is handed out; id is the group's name of it: its digest names the
// document to servers and other routers, beside the map's own version. After an error the map before stands.
func (a *Agreed) TakeParts(id configstore.ID, changed map[string]string, whole bool) error {
	a.taking.Lock()
	defer a.taking.Unlock()
	m, err := a.join(changed, whole)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case whole:
		a.from, a.delta = nil, nil
	case a.from != nil:
		if a.delta == nil {
			a.delta = map[string]string{}
		}
		maps.Copy(a.delta, changed)
	}
	a.m, a.known, a.tried = version{m, id.Digest, true}, time.Time{}, tried{}
	return nil
}

// Named is the digest by which the group names a map that was taken in parts.
func (a *Agreed) Named(m *cells.Map) (digest uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, v := range []version{a.old, a.m} {
		if v.Map == m && v.inParts {
			return v.digest, true
		}
	}
	return 0, false
}

// Take has a map, which was checked, be the one that is handed out.
func (a *Agreed) Take(text string) error {
	a.taking.Lock()
	defer a.taking.Unlock()
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.m, a.known, a.from, a.delta, a.tried = version{Map: m}, time.Time{}, nil, nil, tried{}
	return nil
}

// Confirm is told when the group was asked that then said what is in force.
func (a *Agreed) Confirm(asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known = asked
}

// Skew is by which the map allows the wall clocks of two routers to differ.
func (a *Agreed) Skew() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.m.Map == nil {
		return time.Hour // nothing is sent by it yet
	}
	return a.m.Skew
}

// Load returns the group's map, or, until the group was heard, the one that was kept.
func (a *Agreed) Load(old *cells.Map) (*cells.Map, time.Time, error) { return a.load(old, false) }

// LoadBehind is Load for a router that is behind.
func (a *Agreed) LoadBehind(old *cells.Map) (*cells.Map, time.Time, error) { return a.load(old, true) }

func (a *Agreed) load(old *cells.Map, behind bool) (*cells.Map, time.Time, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if old == nil {
		old = a.old.Map
	}
	m := a.m.Map
	switch {
	case m == nil && old == nil:
		return nil, time.Time{}, errNoMap
	case m == nil || a.known.IsZero():
		if old == nil {
			old = m // the first one, and the word that confirms it comes with it
		}
		return old, a.since, nil
	}
	if old != nil && old != m {
		since := a.since
		if behind {
			since = time.Time{}
		}
		if err := m.FollowsLate(old, since, time.Now()); err != nil {
			return nil, time.Time{}, fmt.Errorf("the group's map: %w", err)
		}
	}
	if a.old.Map != m || a.known.Sub(a.since) > m.Lease/4 {
		if err := a.keep(); err != nil {
			return nil, time.Time{}, err
		}
	}
	a.old, a.since = a.m, a.known
	return m, a.known, nil
}

// Newest is the group's map, where it is another one than that which was handed out.
func (a *Agreed) Newest(old *cells.Map) (configstore.ID, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.m.Map == nil || a.m.Map == old || a.known.IsZero():
		return configstore.ID{}, false
	case a.m.inParts:
		return configstore.ID{Version: a.m.Version, Digest: a.m.digest}, true
	}
	return identify(a.m.Map), true
}

// keep keeps the map that is handed out, under the lock: all of it where it is another kind than the one before, else what changed,
// or, where it is the same, the time alone.
func (a *Agreed) keep() error {
	if !a.m.inParts {
		return a.state.keepWhole(a.m.Map, a.known)
	}
	err := a.state.keepParts(a.m.Map, a.m.digest, a.from, a.delta, a.known)
	if err == nil {
		a.from, a.delta = a.m.Map, nil
	}
	return err
}
