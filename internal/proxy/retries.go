package proxy

import (
	"context"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
)

// Requests without an idempotency key. Inputs: the servers of the request's tenant, whether the request is safe to run more than once, and
// the state of the load balancer. A safe request that fails is retried on another server, and hedged if its answer takes longer than nearly
// all answers do. Any other request is retried only on proof that it never ran. Retries and hedges have budgets, and end answerReserve
// before the deadline.

// forwardAnywhere sends a request without a home to one server after another, until it is served or no further attempt is allowed. If it
// was not served, the answer is that of the last attempt that was rejected or may have run, and a rejection if there was none. A request
// that is not safe and may have run fails, as it is not retried.
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

// pick chooses one of the candidates other than exclude. It returns false if none is available.
func (r *Runner) pick(tenant string, among []string, exclude string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Pick(r.clock(), r.tenantInMap(tenant), among, exclude)
}

// hedgedAttempt makes an attempt. If the request is safe, its answer takes longer than the hedge delay, and the budget allows it, a hedged
// attempt starts on another server. The first one served is the result, and the other is cancelled.
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
				second.ID = q.ID + "h" // the hedged attempt needs an ID of its own
				go func() { ends <- r.attemptIn(ctx, second, other, mayRun) }()
			}
		}
	}
}
