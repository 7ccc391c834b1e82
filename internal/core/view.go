package core

import (
	"time"

	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/lifecycle"
)

// View is what can be told without asking the module: health checks, status requests and the values that go out
// with answers read it without the core's lock, so they never wait behind a decision.
type View struct {
	Phase     lifecycle.State
	Health    bool
	Owed      int              // requests without their answer
	InHand    int              // requests of which something is left to do
	Pools     *admission.State // nil: no pools; never changed once shown
	Signal    float64
	SignalSet bool
	IdleAfter time.Duration
	Gauges    [3]float64 // cores busy, work on the cores, share of the memory
}

// View returns the latest.
func (c *Core) View() View {
	v := *c.shown.Load()
	v.Phase = c.state.now() // an evacuation takes no lock, so it may be newer than the view
	v.Health = v.Health && v.Phase.Healthy()
	return v
}

// show publishes what changed; it is called under the lock.
func (c *Core) show() {
	v := c.view
	v.Phase, v.Owed, v.InHand = c.state.now(), c.owed, len(c.tasks)
	v.Gauges = [3]float64{c.gauges.CPU, c.gauges.OnCores, c.gauges.Memory}
	c.shown.Store(&v)
}
