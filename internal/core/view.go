package core

import (
	"time"

	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/lifecycle"
)

// View is what can be told without asking the module: health checks, status requests and the values that go out
// with answers read it without the core's lock, so they never wait behind a decision.
type View struct {
	Phase          lifecycle.State
	Health         bool
	PendingAnswers int                 // requests that have not had their answer
	InHand         int                 // requests of which something is left to do
	Pools          *admission.Snapshot // nil: no pools; never changed once shown
	Signal         float64
	SignalSet      bool
	IdleAfter      time.Duration
	Gauges         [3]float64 // cores busy, work on the cores, share of the memory
}

// View returns the latest.
func (c *Core) View() View {
	v := *c.published.Load()
	v.Phase = c.lifecycle.current() // an evacuation takes no lock, so it may be newer than the view
	v.Health = v.Health && v.Phase.Healthy()
	return v
}

// publish makes the present view the one that others see. It is called under the lock.
func (c *Core) publish() {
	v := c.view
	v.Phase, v.PendingAnswers, v.InHand = c.lifecycle.current(), c.pendingAnswers, len(c.tasks)
	v.Gauges = [3]float64{c.gauges.CPU, c.gauges.OnCores, c.gauges.Memory}
	c.published.Store(&v)
}
