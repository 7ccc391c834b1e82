package core

import (
	"time"

	"silverpath/internal/events"
)

// expiredWithin: a failure this short before the deadline is told as an expired request, since its time ran out.
const expiredWithin = 100 * time.Millisecond

// host is the module's host. The module calls it under the core's lock; every method notes an action, which
// performActions carries out once the module has returned.
type host Core

// enqueueAction notes an action on a request that is still in hand when its turn comes.
func (h *host) enqueueAction(id string, act func(c *Core, t *task)) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() {
		if t := c.tasks[id]; t != nil {
			act(c, t)
		}
	})
}

// Run starts the request.
func (h *host) Run(id string) { h.enqueueAction(id, (*Core).startRun) }

// Reject answers a request that has never run.
func (h *host) Reject(id string, after time.Duration, final bool) {
	h.enqueueAction(id, func(c *Core, t *task) {
		if c.mayHaveRunElsewhere(t) {
			c.settle(t, Answer{Outcome: Failed})
			return
		}
		if t.started { // a run is never rejected; the module keeps to this, so the line should not be seen
			events.Log(c.log, "guard.rejection", id)
			c.settle(t, Answer{Outcome: Failed})
			return
		}
		c.settle(t, Answer{Outcome: Rejected, RetryAfter: after, Final: final})
	})
}

// Fail answers a request without assurance.
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

// Stop is never asked for: see supportedSettings.
func (h *host) Stop(string) {}

// Call has the request's goroutine make the call that its run waits for.
func (h *host) Call(id string, timeout time.Duration) {
	h.enqueueAction(id, func(_ *Core, t *task) {
		t.calling = true
		t.enqueue(event{kind: callChosen, timeout: timeout})
	})
}

// SkipCall is never asked for: see supportedSettings.
func (h *host) SkipCall(string) {}

// RememberKey lets a read serve others for d; the keys of idempotent requests are kept from their arrival on, whatever the module
// asks for.
func (h *host) RememberKey(id string, d time.Duration) {
	h.enqueueAction(id, func(c *Core, t *task) { c.keys.shareRead(t, d) })
}

// ForgetKey frees the key of a request that has not run.
func (h *host) ForgetKey(id string) {
	h.enqueueAction(id, func(c *Core, t *task) { c.releaseKey(t) })
}

// Health sets what health checks are told.
func (h *host) Health(good bool) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.Health = good })
}

// Signal sets the value that goes out with answers.
func (h *host) Signal(value float64) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.Signal, c.view.SignalSet = value, true })
}

// CloseIdle sets how long connections may carry nothing.
func (h *host) CloseIdle(after time.Duration) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { c.view.IdleAfter = after })
}

// Wake has the module's timer called after this long.
func (h *host) Wake(after time.Duration) {
	c := (*Core)(h)
	c.actions = append(c.actions, func() { time.AfterFunc(after, c.wake) })
}

// Log writes a line of the module's to the log at once.
func (h *host) Log(text string) { events.Log((*Core)(h).log, "module", text) }
