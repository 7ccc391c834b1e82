package fleet

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"silverpath/internal/cells"
	"silverpath/internal/settings"
)

// Agreed is a map that a group agrees on, beside a store that keeps the last one over a restart of the router.
type Agreed struct {
	kept *File // for its store alone

	mu    sync.Mutex
	m     *cells.Map // nil: none was heard of
	known time.Time  // when it was asked for what was then the newest
	old   *cells.Map // handed out last
	since time.Time  // when that was last known to be the newest
}

var errNoMap = errors.New("the group has no map yet: silverpath rules put map FILE")

// OpenAgreed returns the source; the state's path is empty where nothing is kept.
func OpenAgreed(state string) (*Agreed, error) {
	f, err := OpenFile("", state)
	if err != nil {
		return nil, err
	}
	a := &Agreed{kept: f}
	a.old, a.since = f.kept()
	return a, nil
}

// Check names why a map can't follow the one that is in force here.
func (a *Agreed) Check(text string) error {
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.old == nil {
		return nil
	}
	return m.FollowsLate(a.old, a.since, time.Now())
}

// Take has a map, which was checked, be the one that is handed out.
func (a *Agreed) Take(text string) error {
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.m, a.known = m, time.Time{}
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
	if a.m == nil {
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
		old = a.old
	}
	switch {
	case a.m == nil && old == nil:
		return nil, time.Time{}, errNoMap
	case a.m == nil || a.known.IsZero():
		if old == nil {
			old = a.m // the first one, and the word that confirms it comes with it
		}
		return old, a.since, nil
	}
	if old != nil && old != a.m {
		since := a.since
		if behind {
			since = time.Time{}
		}
		if err := a.m.FollowsLate(old, since, time.Now()); err != nil {
			return nil, time.Time{}, fmt.Errorf("the group's map: %w", err)
		}
	}
	if a.old != a.m || a.known.Sub(a.since) > a.m.Lease/4 {
		if err := a.kept.keep(a.m, a.known); err != nil {
			return nil, time.Time{}, err
		}
	}
	a.old, a.since = a.m, a.known
	return a.m, a.known, nil
}
