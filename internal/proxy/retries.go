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
func (r *Runner) forwardAnywhere(req core.Request, route cells.Route, safe bool) core.Answer {
	r.mu.Lock()
	r.balancer.FirstAttempt(r.clock())
	r.mu.Unlock()
	lastServer, answer := "", core.Answer{Outcome: core.Rejected, RetryAfter: r.events.RetryAfter()}
	for range maxAttempts {
		name, ok := r.pick(req.Tenant, route.Servers, lastServer)
		if !ok {
			if lastServer == "" {
				r.stats.Inc("fleet", "refused", "nobody")
			}
			return answer
		}
		res := r.hedgedAttempt(req, route, name, safe)
		switch {
		case res.outcome == loadbalancer.Served:
			return core.Answer{Outcome: core.Served, Body: res.body}
		case res.outcome == loadbalancer.Rejected:
			answer = core.Answer{Outcome: core.Rejected, RetryAfter: res.retryAfter, Final: res.final}
		case !res.outcome.NeverRan():
			answer = r.fail(res.counterName())
		}
		r.mu.Lock()
		retry := r.balancer.AllowRetry(res.outcome, safe, res.final)
		r.mu.Unlock()
		if !retry || time.Until(req.Deadline) <= 2*answerReserve {
			return answer
		}
		r.stats.Inc("fleet", "retried")
		lastServer = name
	}
	return answer
}

// pick chooses one of the candidates other than exclude. It returns false if none is available.
func (r *Runner) pick(tenant string, candidates []string, exclude string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.Pick(r.clock(), r.tenantInMap(tenant), candidates, exclude)
}

// hedgedAttempt makes an attempt. If the request is safe, its answer takes longer than the hedge delay, and the budget allows it, a hedged
// attempt starts on another server. The first one served is the result, and the other is cancelled.
func (r *Runner) hedgedAttempt(req core.Request, route cells.Route, name string, safe bool) attemptResult {
	r.mu.Lock()
	delay, ok := r.balancer.HedgeDelay()
	r.mu.Unlock()
	if !safe || !ok {
		return r.attempt(req, name, mayRun)
	}
	results := make(chan attemptResult, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { results <- r.attemptIn(ctx, req, name, mayRun) }()
	hedge := time.NewTimer(delay)
	defer hedge.Stop()
	inFlight := 1
	for {
		select {
		case res := <-results:
			if inFlight--; res.outcome == loadbalancer.Served || inFlight == 0 {
				return res
			}
		case <-hedge.C:
			hedgeServer, ok := r.pick(req.Tenant, route.Servers, name)
			if !ok {
				continue
			}
			r.mu.Lock()
			ok = r.balancer.AllowHedge()
			r.mu.Unlock()
			if ok {
				r.stats.Inc("fleet", "hedged")
				inFlight++
				hedged := req
				hedged.ID = req.ID + "h" // the hedged attempt needs an ID of its own
				go func() { results <- r.attemptIn(ctx, hedged, hedgeServer, mayRun) }()
			}
		}
	}
}
