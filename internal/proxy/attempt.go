package proxy

import (
	"context"
	"errors"
	"strconv"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/transport/msgpackrpc"
)

// attemptResult is how a try ended.
type attemptResult struct {
	outcome    loadbalancer.Outcome
	body       []byte
	retryAfter time.Duration
	final      bool
	reason     string
}

func (e attemptResult) name() string {
	return [...]string{"served", "refused", "failed", "broken", "unreachable", "timed_out", "unwritten"}[e.outcome]
}

func (r *Runner) attempt(q core.Request, name string, known bool, due time.Time) attemptResult {
	return r.attemptIn(context.Background(), q, name, known, due)
}

// attemptIn sends a try to a server and waits for its answer until shortly before it is due.
func (r *Runner) attemptIn(ctx context.Context, q core.Request, name string, known bool, due time.Time) attemptResult {
	r.mu.Lock()
	p := r.upstreams[name]
	room := r.balancer.Acquire(r.clock(), name)
	r.mu.Unlock()
	if !room {
		r.stats.Inc("fleet", "refused", "slow_start")
		return attemptResult{outcome: loadbalancer.Rejected, retryAfter: r.events.RetryAfter()}
	}
	began := time.Now()
	e, fields := attemptResult{outcome: loadbalancer.ConnectFailed}, map[string]string(nil)
	if p != nil {
		ctx, cancel := context.WithDeadline(ctx, due.Add(-answerReserve))
		defer cancel()
		e, fields = p.send(ctx, msgpackrpc.Attempt{
			ID: q.ID, Class: q.Class, Tenant: q.Tenant, Key: q.Key, ReceivedAt: began, Timeout: due.Sub(began) - answerReserve/2,
			HeldKB: q.MemoryKB, Rank: q.Rank, Caller: q.Caller, Body: q.Body, KnownOnly: known, Incarnation: p.boot.Load(), ConfigID: q.RulesID,
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if fields != nil {
		r.noteAnswer(name, fields)
		credit, _ := strconv.ParseFloat(fields["v"], 64)
		away := e.retryAfter
		if e.outcome != loadbalancer.Rejected || e.reason != "" {
			away = 0
		}
		r.balancer.Backpressure(now, r.tenantInMap(q.Tenant), name, credit, away)
	}
	if errors.Is(ctx.Err(), context.Canceled) && e.outcome == loadbalancer.TimedOut {
		r.balancer.Done(now, name, loadbalancer.Rejected, 0, false) // given up for another copy's answer: says nothing of it
		return e
	}
	r.balancer.Done(now, name, e.outcome, time.Since(began), q.Key == "")
	return e
}

func resultOf(a msgpackrpc.Reply) attemptResult {
	ms, _ := strconv.ParseInt(a.Fields["w"], 10, 64)
	switch a.Error {
	case "":
		return attemptResult{outcome: loadbalancer.Served, body: a.Body}
	case "Full":
		return attemptResult{
			outcome: loadbalancer.Rejected, retryAfter: time.Duration(ms) * time.Millisecond, final: a.Fields["l"] == "1", reason: a.Fields["x"],
		}
	}
	return attemptResult{outcome: loadbalancer.Failed}
}
