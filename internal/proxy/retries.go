package proxy

import (
	"context"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
)

// forwardAnywhere brings a request that has no home to a server. A safe one that fails is tried elsewhere, and gets a second copy where
// the first takes longer than nearly all do; any other goes elsewhere only on proof that it never ran.
func (r *Runner) forwardAnywhere(q core.Request, route cells.Route, safe bool) core.Answer {
	r.mu.Lock()
	r.balancer.FirstAttempt(r.clock())
	r.mu.Unlock()
	last, worst := "", core.Answer{Outcome: core.Rejected, RetryAfter: r.events.RetryAfter()}
	for range maxAttempts {
		name, ok := r.pick(q.Tenant, route.Servers, last)
		if !ok {
			if last == "" {
				r.stats.Inc("fleet", "refused", "nobody")
			}
			return worst
		}
		e := r.hedgedAttempt(q, route, name, safe)
		switch {
		case e.outcome == loadbalancer.Served:
			return core.Answer{Outcome: core.Served, Body: e.body}
		case e.outcome == loadbalancer.Rejected:
			worst = core.Answer{Outcome: core.Rejected, RetryAfter: e.retryAfter, Final: e.final}
		case !e.outcome.NeverRan():
			worst = r.fail(e.name())
		}
		r.mu.Lock()
		again := r.balancer.AllowRetry(e.outcome, safe, e.final)
		r.mu.Unlock()
		if !again || time.Until(q.Deadline) <= 2*answerReserve {
			return worst
		}
		r.stats.Inc("fleet", "retried")
		last = name
	}
	return worst
}

func (r *Runner) pick(tenant string, among []string, not string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Pick(r.clock(), r.tenantInMap(tenant), among, not)
}

// hedgedAttempt makes a try, and a second copy of it elsewhere where it is a read that takes long and the budget has one left.
// Whichever is served first is the answer; the other is given up.
func (r *Runner) hedgedAttempt(q core.Request, route cells.Route, name string, safe bool) attemptResult {
	r.mu.Lock()
	after, known := r.balancer.HedgeDelay()
	r.mu.Unlock()
	if !safe || !known {
		return r.attempt(q, name, false, q.Deadline)
	}
	ends := make(chan attemptResult, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { ends <- r.attemptIn(ctx, q, name, false, q.Deadline) }()
	hedge := time.NewTimer(after)
	defer hedge.Stop()
	out := 1
	for {
		select {
		case e := <-ends:
			if out--; e.outcome == loadbalancer.Served || out == 0 {
				return e
			}
		case <-hedge.C:
			other, ok := r.pick(q.Tenant, route.Servers, name)
			if !ok {
				continue
			}
			r.mu.Lock()
			ok = r.balancer.AllowHedge()
			r.mu.Unlock()
			if ok {
				r.stats.Inc("fleet", "hedged")
				out++
				second := q
				second.ID = q.ID + "h" // its own try, by its own id
				go func() { ends <- r.attemptIn(ctx, second, other, false, q.Deadline) }()
			}
		}
	}
}
