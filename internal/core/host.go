package core

import (
	"time"

	"silverpath/internal/events"
)

// expiredWithin: a failure less than this before the deadline is reported as Expired.
const expiredWithin = 100 * time.Millisecond

// host implements silverpath.Host. The module calls it under the core's lock. Every method records an action, and performActions
// executes the actions after the module has returned.
type host Core

// enqueueAction records an action on a request. The action is skipped if the request is over when its turn comes.
func (h *host) enqueueAction(id string, action func(c *Core, t *task)) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() {
		if t := c.tasks[id]; t != nil {
			action(c, t)
		}
	})
}

// Run starts a run of the request.
func (h *host) Run(id string) { h.enqueueAction(id, (*Core).startRun) }

// Reject answers a request that has never run.
func (h *host) Reject(id string, after time.Duration, final bool) {
	h.enqueueAction(id, func(c *Core, t *task) {
		if c.mayHaveRunElsewhere(t) {
			c.settle(t, Answer{Outcome: Failed})
			return
		}
		if t.started { // a started request may have run, so it fails; the module should never ask for this
			events.Log(c.log, "guard.rejection", id)
			c.settle(t, Answer{Outcome: Failed})
			return
		}
		c.settle(t, Answer{Outcome: Rejected, RetryAfter: after, Final: final})
	})
}

// Fail answers a request as failed, or as expired shortly before its deadline. The request may have run.
func (h *host) Fail(id string) {
	h.enqueueAction(id, func(c *Core, t *task) {
		out := Failed
		if time.Until(t.Deadline) < expiredWithin {
			out = Expired
		}
		c.settle(t, Answer{Outcome: out})
	})
}

// Join answers a request with the result of the run that it duplicates.
func (h *host) Join(id string) { h.enqueueAction(id, (*Core).join) }

// Stop does nothing: supportedSettings disables preemption, so the module never calls it.
func (h *host) Stop(string) {}

// Call makes the dependency call that the request's run waits for, on a separate goroutine.
func (h *host) Call(id string, timeout time.Duration) {
	h.enqueueAction(id, func(_ *Core, t *task) {
		t.calling = true
		t.enqueue(event{kind: callRequested, timeout: timeout})
	})
}

// SkipCall does nothing: supportedSettings disables degraded runs, so the module never calls it.
func (h *host) SkipCall(string) {}

// RememberKey shares the result of a read with later reads for d. It does not affect idempotent requests, whose keys are kept from
// their arrival on.
func (h *host) RememberKey(id string, d time.Duration) {
	h.enqueueAction(id, func(c *Core, t *task) { c.keys.shareRead(t, d) })
}

// ForgetKey releases the key of a request that has not run.
func (h *host) ForgetKey(id string) {
	h.enqueueAction(id, func(c *Core, t *task) { c.releaseKey(t) })
}

// Health sets the health that health checks report.
func (h *host) Health(healthy bool) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.Health = healthy })
}

// Signal sets the load signal that is sent with answers.
func (h *host) Signal(value float64) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.Signal, c.view.SignalSet = value, true })
}

// CloseIdle sets how long a connection may be idle before it is closed.
func (h *host) CloseIdle(after time.Duration) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.IdleAfter = after })
}

// Wake schedules the next tick of the module.
func (h *host) Wake(after time.Duration) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { time.AfterFunc(after, c.probeGauges) })
}

// Log writes a log line of the module immediately.
func (h *host) Log(text string) { events.Log((*Core)(h).log, "module", text) }
