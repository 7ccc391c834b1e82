package core

import (
	"sync"
	"time"

	"silverpath/internal/policy/slowstart"
)

// slowStart divides the server's reduced capacity among the routers while its interpreter is cold. It has its own lock, so that
// health checks do not wait for a decision of the module.
type slowStart struct {
	mu        sync.Mutex
	cold      bool
	startedAt time.Time
	server    *slowstart.Server
}

// startTolerance is the tolerance for start times of one interpreter that arrive over different links: they are rounded and delayed in
// transit.
const startTolerance = time.Second

// begin records when the interpreter started, and whether it was cold then.
func (s *slowStart) begin(cold bool, startedAt time.Time, callers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil && startedAt.Sub(s.startedAt).Abs() < startTolerance {
		return // another link to the same interpreter: the grants stay valid
	}
	s.cold, s.startedAt, s.server = cold, startedAt, slowstart.NewServer(time.Since(startedAt), callers)
}

// Cold reports whether the server is in slow start. Routers receive it with every answer. A router that learns of the slow start
// this way sends nothing until it has asked for its quota.
func (c *Core) Cold() bool {
	s := &c.slowStart
	s.mu.Lock()
	defer s.mu.Unlock()
	_, cold := s.capacity(c)
	return cold
}

// capacity returns how many concurrent requests the server takes, and whether it is cold. It is called under the lock of s.
func (s *slowStart) capacity(c *Core) (total float64, cold bool) {
	if !s.cold || !c.cell {
		return 0, false
	}
	settings := *c.settings.Load()
	settings.Cold = true
	total, s.cold = slowstart.Capacity(settings, time.Since(s.startedAt))
	return total, s.cold
}

// SlowStartQuota returns how many requests a router may have in flight here during the given term, and whether there is
// such a limit. InFlight is how many it has in flight now.
func (c *Core) SlowStartQuota(router string, inFlight int, term time.Duration) (quota int, cold bool) {
	s := &c.slowStart
	s.mu.Lock()
	defer s.mu.Unlock()
	total, cold := s.capacity(c)
	if !cold {
		return 0, false
	}
	return s.server.Grant(time.Since(s.startedAt), router, inFlight, total, term), true
}
