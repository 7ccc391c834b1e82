package core

import (
	"sync"
	"time"

	"silverpath/internal/policy/slowstart"
)

// slowStart is the server's own part in its slow start: it shares out among the routers that ask what it takes while it is cold.
// It has a lock of its own, since health checks wait for no decision of the module.
type slowStart struct {
	mu      sync.Mutex
	cold    bool
	started time.Time
	server  *slowstart.Server
}

// sameStart is by how much two links may tell the start of one interpreter differently: it rounds, and messages take a while.
const sameStart = time.Second

// begin takes when the interpreter started, and whether it was cold then.
func (s *slowStart) begin(cold bool, started time.Time, callers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil && started.Sub(s.started).Abs() < sameStart {
		return // a further link to the same interpreter: what was shared out holds
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

// totalAllowed is how many requests the server takes at once, and whether it is cold. It is called under the lock of s.
func (s *slowStart) totalAllowed(c *Core) (total float64, cold bool) {
	if !s.cold || !c.cell {
		return 0, false
	}
	set := *c.settings.Load()
	set.Cold = true
	total, s.cold = slowstart.Capacity(set, time.Since(s.started))
	return total, s.cold
}

// SlowStart is how many requests a router that asks may have out here for a term from its asking, and whether there is such a
// bound. InFlight are those that it has out.
func (c *Core) SlowStart(who string, inFlight int, term time.Duration) (part int, cold bool) {
	s := &c.slowStart
	s.mu.Lock()
	defer s.mu.Unlock()
	total, cold := s.totalAllowed(c)
	if !cold {
		return 0, false
	}
	return s.server.Grant(time.Since(s.started), who, inFlight, total, term), true
}
