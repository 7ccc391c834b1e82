package proxy

import (
	"context"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
)

// Requests without an idempotency key. Inputs: the servers of the request's tenant, whether it is safe to run more than once, and what
// the load balancer knows. A safe request that fails is retried elsewhere, and hedged where its answer takes longer than nearly all do;
// any other is retried only on proof that it never ran. Both are within budgets, and end answerReserve before the deadline.

// forwardAnywhere brings a request that has no home to one server after the other, until it is served or there is no further attempt.
// What it returns then is the worst that happened: a request that may have run is not told as rejected.
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
			worst = r.fail(e.counterName())
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

// pick chooses a server among some, but for the one of the attempt before.
func (r *Runner) pick(tenant string, among []string, exclude string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Pick(r.clock(), r.tenantInMap(tenant), among, exclude)
}

// hedgedAttempt makes an attempt, and a hedged one elsewhere where the request is safe, takes longer than the hedge delay, and the budget
// has one left. Whichever is served first is the answer; the other is cancelled.
func (r *Runner) hedgedAttempt(q core.Request, route cells.Route, name string, safe bool) attemptResult {
	r.mu.Lock()
	delay, known := r.balancer.HedgeDelay()
	r.mu.Unlock()
	if !safe || !known {
		return r.attempt(q, name, mayRun)
	}
	ends := make(chan attemptResult, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { ends <- r.attemptIn(ctx, q, name, mayRun) }()
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	inFlight := 1
	for {
		select {
		case e := <-ends:
			if inFlight--; e.outcome == loadbalancer.Served || inFlight == 0 {
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
				inFlight++
				second := q
				second.ID = q.ID + "h" // an attempt of its own, by its own id
				go func() { ends <- r.attemptIn(ctx, second, other, mayRun) }()
			}
		}
	}
}
