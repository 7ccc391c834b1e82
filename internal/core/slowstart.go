package core

import (
	"sync"
	"time"

	"silverpath/internal/policy/slowstart"
)

// slowStart is the server's own part in its slow start. It has a lock of its own, since health checks wait for no decision
// of the module.
type slowStart struct {
	mu      sync.Mutex
	cold    bool
	started time.Time
	server  *slowstart.Server
}

// sameStart is by how much two links may tell the start of one interpreter differently.
const sameStart = time.Second

func (s *slowStart) begin(cold bool, started time.Time, callers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil && started.Sub(s.started).Abs() < sameStart {
		return // a further link to the same interpreter: what was told holds
	}
	s.cold, s.started, s.server = cold, started, slowstart.NewServer(time.Since(started), callers)
}

// Cold reports whether the server is in its slow start, as routers are told with every answer: one that hears of the start so
// claims nothing until it has asked for its part.
func (c *Core) Cold() bool {
	s := &c.slowStart
	s.mu.Lock()
	defer s.mu.Unlock()
	_, cold := s.totalAllowed(c)
	return cold
}

// whole is what the server takes at once, and whether it is cold. It is called under the lock.
func (s *slowStart) totalAllowed(c *Core) (whole float64, cold bool) {
	if !s.cold || !c.cell {
		return 0, false
	}
	set := *c.settings.Load()
	set.Cold = true
	whole, s.cold = slowstart.Capacity(set, time.Since(s.started))
	return whole, s.cold
}

// SlowStart is how many requests a router that asks may have out here for a term from its asking, and whether there is such a
// bound. Flying are those that it has out.
func (c *Core) SlowStart(who string, flying int, term time.Duration) (part int, cold bool) {
	s := &c.slowStart
	s.mu.Lock()
	defer s.mu.Unlock()
	whole, cold := s.totalAllowed(c)
	if !cold {
		return 0, false
	}
	return s.server.Grant(time.Since(s.started), who, flying, whole, term), true
}
