package core

import (
	"log"
	"sync"
	"sync/atomic"

	"silverpath/internal/events"
	"silverpath/internal/policy/lifecycle"
)

// lifecycleState is the phase of the service. It has a lock of its own, held for a look at a table, so that an operator's call
// never waits for a decision of the module.
type lifecycleState struct {
	log   *log.Logger
	mu    sync.Mutex
	state atomic.Int32
}

// current is the present phase.
func (p *lifecycleState) current() lifecycle.State { return lifecycle.State(p.state.Load()) }

// apply takes an event and returns what became of it.
func (p *lifecycleState) apply(e lifecycle.Event) lifecycle.Outcome {
	p.mu.Lock()
	previous := p.current()
	a := previous.On(e)
	p.state.Store(int32(a.To))
	p.mu.Unlock()
	if a.To != previous {
		events.Log(p.log, "phase", a.To)
	}
	return a
}

// Phase returns the current phase.
func (c *Core) Phase() lifecycle.State { return c.lifecycle.current() }

// Ready reports whether the service is ready to serve, and why or why not.
func (c *Core) Ready() (bool, string) {
	yes, why := c.lifecycle.current().Ready()
	if !yes && c.waitsForPeer.Load() {
		why = "starting: what another process of this service ran is not known yet"
	}
	return yes, why
}

// Evacuate begins a drain that Rejoin ends: health is bad, and all that comes is served as before. It reports whether
// that holds now, and why.
func (c *Core) Evacuate() (bool, string) { return c.operator(lifecycle.Evacuate) }

// Rejoin ends such a drain.
func (c *Core) Rejoin() (bool, string) { return c.operator(lifecycle.Rejoin) }

// operator applies an operator's event and tells the other process of a pair.
func (c *Core) operator(e lifecycle.Event) (bool, string) {
	a := c.lifecycle.apply(e)
	if a.OK && c.pair != nil {
		go c.notifyEvacuated() // the answer waits for no lock
	}
	return a.OK, a.Reason
}

// serveIfReady makes the service serve once its runner is up and, of two processes, this one may take requests. It is called
// under the lock.
func (c *Core) serveIfReady() {
	waits := c.pair != nil && !c.pair.coordinator.MayServe()
	c.waitsForPeer.Store(c.runnerUp && waits)
	if !c.runnerUp || waits {
		return
	}
	c.lifecycle.apply(lifecycle.WorkerUp)
	if c.pair != nil && !c.pair.ready {
		c.pair.ready = true
		close(c.pair.readyChannel)
		c.pair.coordinator.SetReady(!c.lifecycle.current().ShuttingDown())
		c.applyPairEffects()
	}
	c.publish()
}
