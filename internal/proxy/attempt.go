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

// attemptResult is how an attempt ended.
type attemptResult struct {
	outcome    loadbalancer.Outcome
	body       []byte
	retryAfter time.Duration
	final      bool   // no other attempt is of use
	reason     string // of a rejection of a request with a key; core has the reasons
}

// counterName is the outcome's name in counters: docs/cells.md.
func (e attemptResult) counterName() string {
	return [...]string{"served", "refused", "failed", "broken", "unreachable", "timed_out", "unwritten"}[e.outcome]
}

// Whether a server may run a request, or only answers where it knows the request's key.
const (
	mayRun    = false
	knownOnly = true
)

// attempt sends a request to a server and waits for its answer until shortly before its deadline.
func (r *Runner) attempt(q core.Request, name string, knownOnly bool) attemptResult {
	return r.attemptIn(context.Background(), q, name, knownOnly)
}

// attemptIn is attempt that ends with a context too, where another attempt's answer is taken.
func (r *Runner) attemptIn(ctx context.Context, q core.Request, name string, knownOnly bool) attemptResult {
	r.mu.Lock()
	u := r.upstreams[name]
	acquired := r.balancer.Acquire(r.clock(), name)
	r.mu.Unlock()
	if !acquired {
		r.stats.Inc("fleet", "refused", "slow_start")
		return attemptResult{outcome: loadbalancer.Rejected, retryAfter: r.events.RetryAfter()}
	}
	sentAt := time.Now()
	e, fields := attemptResult{outcome: loadbalancer.ConnectFailed}, map[string]string(nil)
	if u != nil {
		ctx, cancel := context.WithDeadline(ctx, q.Deadline.Add(-answerReserve))
		defer cancel()
		e, fields = u.send(ctx, msgpackrpc.Attempt{
			ID: q.ID, Class: q.Class, Tenant: q.Tenant, Key: q.Key, ReceivedAt: sentAt, Timeout: q.Deadline.Sub(sentAt) - answerReserve/2,
			MemoryKB: q.MemoryKB, Rank: q.Rank, Caller: q.Caller, Body: q.Body, KnownOnly: knownOnly, Incarnation: u.boot.Load(), ConfigID: q.RulesID,
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if fields != nil {
		r.noteAnswer(name, fields)
		r.noteBackpressure(now, q.Tenant, name, e, fields)
	}
	if errors.Is(ctx.Err(), context.Canceled) && e.outcome == loadbalancer.TimedOut {
		r.balancer.Done(now, name, loadbalancer.Rejected, 0, false) // given up for another attempt's answer: it says nothing of the server
		return e
	}
	r.balancer.Done(now, name, e.outcome, time.Since(sentAt), q.Key == "")
	return e
}

// noteBackpressure notes what an answer says of the server's capacity, under the lock. A rejection that has a reason is of the request's
// key, and says nothing of it.
func (r *Runner) noteBackpressure(now time.Duration, tenant, name string, e attemptResult, fields map[string]string) {
	credit, _ := strconv.ParseFloat(fields[msgpackrpc.FieldSignal], 64)
	retryAfter := e.retryAfter
	if e.outcome != loadbalancer.Rejected || e.reason != "" {
		retryAfter = 0
	}
	r.balancer.Backpressure(now, r.tenantInMap(tenant), name, credit, retryAfter)
}

// resultOf is what a server's answer says of an attempt.
func resultOf(a msgpackrpc.Reply) attemptResult {
	ms, _ := strconv.ParseInt(a.Fields[msgpackrpc.FieldRetryAfter], 10, 64)
	switch a.Error {
	case "":
		return attemptResult{outcome: loadbalancer.Served, body: a.Body}
	case msgpackrpc.ErrorFull:
		return attemptResult{
			outcome: loadbalancer.Rejected, retryAfter: time.Duration(ms) * time.Millisecond, final: a.Fields[msgpackrpc.FieldFinal] == msgpackrpc.FlagSet, reason: a.Fields[msgpackrpc.FieldReason],
		}
	}
	return attemptResult{outcome: loadbalancer.Failed}
}
