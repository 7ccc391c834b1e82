package core

import (
	"time"

	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/lifecycle"
)

// View is the state that can be read without the core's lock: health checks, status requests and the values that are sent with
// answers use it, so that they never wait for a decision of the module.
type View struct {
	Phase          lifecycle.State
	Health         bool
	PendingAnswers int                 // requests without an answer
	InProgress     int                 // requests that still have work to do, answered or not
	Pools          *admission.Snapshot // nil without pools; never modified after it is published
	Signal         float64
	SignalSet      bool
	IdleAfter      time.Duration
	Gauges         [3]float64 // CPU use, load on the cores, share of the memory in use
}

// View returns the latest view.
func (c *Core) View() View {
	v := *c.published.Load()
	v.Phase = c.lifecycle.current() // evacuation does not take the core's lock, so the phase may be newer than the published view
	v.Health = v.Health && v.Phase.Healthy()
	return v
}

// publish replaces the published view by the current state. It is called under the lock.
func (c *Core) publish() {
	v := c.view
	v.Phase, v.PendingAnswers, v.InProgress = c.lifecycle.current(), c.pendingAnswers, len(c.tasks)
	v.Gauges = [3]float64{c.gauges.CPU, c.gauges.RunnableTasks, c.gauges.Memory}
	c.published.Store(&v)
}
