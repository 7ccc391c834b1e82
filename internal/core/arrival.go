package core

import (
	"slices"
	"time"

	"silverpath"
	"silverpath/internal/policy/idempotency"
	"silverpath/internal/policy/lifecycle"
)

// arrive registers a request and reports it to the module. If one of the core's own limits rejects the request, it returns a nil
// task and the answer. These limits protect the process and are far above what the module admits.
func (c *Core) arrive(r Request) (*task, Answer) {
	startedAt := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lockWait.Record(time.Since(startedAt))
	class, known := c.Class(r.Class)
	classLabel := r.Class
	if !known {
		classLabel = "unknown" // the set of counters must stay bounded, and class names on the wire are not
	}
	c.stats.Inc("read", r.Front, classLabel)
	if a, answered := c.claimKey(&r, class); answered { // releases the lock while it waits for a key that another process may own
		c.stats.Inc("answered", r.Front, classLabel, a.Outcome.String())
		return nil, a
	}
	defer c.releaseClaim(&r, class)
	if current, ok := c.Class(r.Class); ok { // the settings may have changed during the wait
		class = current
	}
	t := &task{Request: r, class: class, readAt: time.Now(), wake: make(chan struct{}, 1)}
	if reason, a := c.admit(t, known); reason != "" {
		if a.Outcome == Rejected && c.mayHaveRunElsewhere(t) {
			a = Answer{Outcome: Failed}
		}
		c.stats.Inc("turned_away", r.Front, reason)
		c.stats.Inc("answered", r.Front, classLabel, a.Outcome.String())
		return nil, a
	}
	c.register(t)
	return t, Answer{}
}

// mayHaveRunElsewhere reports whether another attempt of a forwarded request may have reached its home through another router and
// run there. Only the home can rule that out. Rejecting the request here would guarantee that it never ran, so it must fail
// instead.
func (c *Core) mayHaveRunElsewhere(t *task) bool {
	return c.forwards && t.idempotent() && !c.lifecycle.current().ShuttingDown()
}

// admit applies the core's own limits to a request. It returns an empty reason if the request may continue, else the counter name
// of the reason and the answer. The key is looked up before the drain and the deadline are checked: a duplicate starts no run, so
// neither check applies to it.
func (c *Core) admit(t *task, known bool) (reason string, a Answer) {
	if t.idempotent() {
		t.blockedBy = c.blockReason(&t.Request)
	}
	settings := c.settings.Load()
	rejected := Answer{Outcome: Rejected, RetryAfter: settings.MaxRetryAfter}
	switch {
	case c.tasks[t.ID] != nil:
		return "same_id", Answer{Outcome: Invalid}
	case c.lifecycle.current() == lifecycle.Stopped || c.module == nil:
		return "stopped", rejected
	case len(c.tasks) >= c.maxTasks:
		return "too_many", rejected
	case !known:
		return "unknown_class", Answer{Outcome: Rejected, Final: true}
	case c.unknownTenant(t.Tenant):
		return "unknown_tenant", Answer{Outcome: Invalid}
	}
	if reason, a = c.admitKey(t, settings); reason != "" || t.duplicateOf != nil {
		return reason, a
	}
	switch {
	case c.lifecycle.current().ShuttingDown() && t.readAt.Sub(c.drainStartedAt) > settings.DrainGrace:
		// The request was read after the drain window, so its answer might not arrive, whenever it was sent. The module itself
		// stops earlier, at a fraction of the window that it counts from when a request reached the machine.
		c.releaseKey(t)
		return "drained", rejected
	case t.Deadline.Sub(t.readAt) <= answerMargin:
		// The deadline is too close. The module has no tick left to answer the request in, and would start it if there were
		// capacity.
		c.releaseKey(t)
		return "due", Answer{Outcome: Expired}
	}
	return "", Answer{}
}

// admitKey looks up the key of a request. It returns why the state of the key forbids the request, or an empty reason.
func (c *Core) admitKey(t *task, settings *silverpath.Settings) (reason string, a Answer) {
	rejected := Answer{Outcome: Rejected, RetryAfter: settings.MaxRetryAfter}
	switch {
	case !c.keys.resolve(t, settings.FreshFor, t.readAt):
		return "keys_full", rejected
	case t.keyConflict:
		return "key_conflict", Answer{Outcome: Invalid}
	case t.repeatedID: // it may have run, and its result is not kept
		return "same_id", Answer{Outcome: Failed}
	case t.decision.Action != idempotency.Execute:
		return t.decision.Reason, c.decisionAnswer(t.decision)
	case t.movedReason != "":
		rejected.Reason = t.movedReason
		if t.movedReason == ReasonUnknown {
			c.persistMoved(t, &rejected)
		}
		return t.movedReason, rejected
	}
	return "", Answer{}
}

// register adds a request to the tasks, starts its deadline timer and reports it to the module.
func (c *Core) register(t *task) {
	c.tasks[t.ID] = t
	c.pendingAnswers++
	t.deadlineTimer = time.AfterFunc(t.Deadline.Sub(t.readAt)-answerMargin, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if t.response == responsePending {
			t.enqueue(event{kind: deadlineReached})
		}
	})
	arrival := silverpath.Request{
		ID: t.ID, Class: t.Class, Tenant: t.Tenant, Key: t.Object, Caller: t.Caller, QueuedKB: t.MemoryKB,
		ReadDelay: max(0, t.readAt.Sub(t.ReceivedAt)), Deadline: max(1, c.clock()+t.Deadline.Sub(t.readAt)), Rank: t.Rank,
	}
	if t.duplicateOf != nil {
		arrival.DuplicateOf = t.duplicateOf.requestID
		c.stats.Inc("repeats", t.Front, t.Class)
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Arrive(now, arrival) })
	c.updateGate(t)
}

// unknownTenant reports whether the settings list tenants and the given tenant is not among them.
func (c *Core) unknownTenant(tenant string) bool {
	tenants := c.settings.Load().Tenants
	return tenant != "" && len(tenants) > 0 &&
		!slices.ContainsFunc(tenants, func(t silverpath.Tenant) bool { return t.Name == tenant })
}
