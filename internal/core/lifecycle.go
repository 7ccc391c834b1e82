package core

import (
	"log"
	"sync"
	"sync/atomic"

	"silverpath/internal/events"
	"silverpath/internal/policy/lifecycle"
)

// lifecycleState holds the lifecycle phase of the service. It has its own lock, held only for one state transition, so that an
// operator's command never waits for a decision of the module.
type lifecycleState struct {
	log   *log.Logger
	mu    sync.Mutex
	state atomic.Int32
}

// current returns the current phase.
func (p *lifecycleState) current() lifecycle.State { return lifecycle.State(p.state.Load()) }

// apply applies an event to the phase and returns the outcome of the transition.
func (p *lifecycleState) apply(e lifecycle.Event) lifecycle.Outcome {
	p.mu.Lock()
	previous := p.current()
	outcome := previous.On(e)
	p.state.Store(int32(outcome.To))
	p.mu.Unlock()
	if outcome.To != previous {
		events.Log(p.log, "phase", outcome.To)
	}
	return outcome
}

// Phase returns the current phase.
func (c *Core) Phase() lifecycle.State { return c.lifecycle.current() }

// Ready reports whether the service is ready to serve, and the reason.
func (c *Core) Ready() (bool, string) {
	ready, reason := c.lifecycle.current().Ready()
	if !ready && c.waitsForPeer.Load() {
		reason = "starting: what another process of this service ran is not known yet"
	}
	return ready, reason
}

// Evacuate starts a drain that Rejoin can undo: health checks fail, but requests are still served. It reports whether the service
// is evacuated now, and the reason.
func (c *Core) Evacuate() (bool, string) { return c.applyOperatorEvent(lifecycle.Evacuate) }

// Rejoin ends an evacuation. It reports whether the service is back in rotation, and the reason.
func (c *Core) Rejoin() (bool, string) { return c.applyOperatorEvent(lifecycle.Rejoin) }

// applyOperatorEvent applies an operator's event and notifies the other process of a pair.
func (c *Core) applyOperatorEvent(e lifecycle.Event) (bool, string) {
	outcome := c.lifecycle.apply(e)
	if outcome.OK && c.pair != nil {
		go c.notifyEvacuated() // on its own goroutine, since it takes the core's lock and the operator must not wait for that
	}
	return outcome.OK, outcome.Reason
}

// serveIfReady moves the service to serving once its runner is up and, in a pair, this process may take requests. It is called
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
