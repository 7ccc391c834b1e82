package core

import (
	"slices"
	"time"

	"silverpath"
	"silverpath/internal/policy/idempotency"
	"silverpath/internal/policy/lifecycle"
)

// arrive takes a request in and tells the module. It returns nil, and the answer, for what the core itself can't take: those
// limits keep the process alive and are far from what the module allows.
func (c *Core) arrive(r Request) (*task, Answer) {
	class, known := c.Class(r.Class)
	name := r.Class
	if !known {
		name = "unknown" // counters are bounded, what comes off a wire is not
	}
	c.stats.Inc("read", r.Front, name)
	startedAt := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lockWait.Record(time.Since(startedAt))
	if a, over := c.claimKey(&r, class); over { // waits, without the lock, where another process may have its key
		c.stats.Inc("answered", r.Front, name, a.Outcome.String())
		return nil, a
	}
	defer c.releaseClaim(&r, class)
	t := &task{Request: r, class: class, readAt: time.Now(), wake: make(chan struct{}, 1)}
	if reason, a := c.admit(t, known); reason != "" {
		if a.Outcome == Rejected && c.mayHaveRunElsewhere(t) {
			a = Answer{Outcome: Failed}
		}
		c.stats.Inc("turned_away", r.Front, reason)
		c.stats.Inc("answered", r.Front, name, a.Outcome.String())
		return nil, a
	}
	c.register(t)
	return t, Answer{}
}

// mayHaveRunElsewhere reports whether another attempt of a request that is handed on may have gone another way and run: only
// its home can tell, so it must not be rejected here, as that would promise that it never ran.
func (c *Core) mayHaveRunElsewhere(t *task) bool {
	return c.forwards && t.idempotent() && !c.lifecycle.current().ShuttingDown()
}

// admit applies the core's own limits to a request. It returns why the request can't be taken, as counters name it, and its
// answer; an empty reason lets it go on. The order matters: what is known of a key is answered before the drain and the
// deadline are looked at, as a duplicate starts nothing.
func (c *Core) admit(t *task, known bool) (reason string, a Answer) {
	if t.idempotent() {
		t.blockedBy = c.blockReason(&t.Request)
	}
	set := c.settings.Load()
	rejected := Answer{Outcome: Rejected, RetryAfter: set.MaxRetryAfter}
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
	if reason, a = c.admitKey(t, set); reason != "" || t.duplicateOf != nil {
		return reason, a
	}
	switch {
	case c.lifecycle.current().ShuttingDown() && t.readAt.Sub(c.drainStartedAt) > set.DrainGrace:
		// Read after the drain window, whenever it was written: nobody could be sure that its answer still arrives. The module
		// stops at a part of the window already, counted from when a request reached the machine.
		c.releaseKey(t)
		return "drained", rejected
	case t.Deadline.Sub(t.readAt) <= answerMargin:
		// Due as it is read: the module has no tick left to answer it in, and would start it where there is capacity.
		c.releaseKey(t)
		return "due", Answer{Outcome: Expired}
	}
	return "", Answer{}
}

// admitKey looks the request's key up and returns why it can't be taken by what is known of that.
func (c *Core) admitKey(t *task, set *silverpath.Settings) (reason string, a Answer) {
	rejected := Answer{Outcome: Rejected, RetryAfter: set.MaxRetryAfter}
	switch {
	case !c.keys.resolve(t, set.FreshFor, t.readAt):
		return "keys_full", rejected
	case t.keyConflict:
		return "key_conflict", Answer{Outcome: Invalid}
	case t.verdict.Action != idempotency.Execute:
		return t.verdict.Reason, c.verdictAnswer(t.verdict)
	case t.movedReason != "":
		rejected.Reason = t.movedReason
		if t.movedReason == ReasonUnknown {
			c.persistMoved(t, &rejected)
		}
		return t.movedReason, rejected
	}
	return "", Answer{}
}

// register takes a request in hand, sets the timer that answers it if nobody else does, and tells the module.
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
	q := silverpath.Request{
		ID: t.ID, Class: t.Class, Tenant: t.Tenant, Key: t.Object, Caller: t.Caller, QueuedKB: t.MemoryKB,
		Unread: max(0, t.readAt.Sub(t.ReceivedAt)), Deadline: max(1, c.clock()+t.Deadline.Sub(t.readAt)), Rank: t.Rank,
	}
	if t.duplicateOf != nil {
		q.DuplicateOf = t.duplicateOf.requestID
		c.stats.Inc("repeats", t.Front, t.Class)
	}
	c.decide(func(m *silverpath.Shedder, now time.Duration) { m.Arrive(now, q) })
	c.updateGate(t)
}

// unknownTenant reports whether a site that names its tenants does not know this one.
func (c *Core) unknownTenant(tenant string) bool {
	tenants := c.settings.Load().Tenants
	return tenant != "" && len(tenants) > 0 &&
		!slices.ContainsFunc(tenants, func(t silverpath.Tenant) bool { return t.Name == tenant })
}
