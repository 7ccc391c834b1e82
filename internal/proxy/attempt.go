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

// attemptResult describes how an attempt ended.
type attemptResult struct {
	outcome    loadbalancer.Outcome
	body       []byte
	retryAfter time.Duration
	final      bool   // a rejection after which no other server is tried
	reason     string // why a request with a key was rejected, core.ReasonUnknown for example; else empty
}

// counterName returns the outcome's name in metrics, as listed in docs/cells.md.
func (res attemptResult) counterName() string {
	return [...]string{"served", "refused", "failed", "broken", "unreachable", "timed_out", "unwritten"}[res.outcome]
}

// Values for the knownOnly parameter of attempt: whether the server may run the request, or answers only if it has a result for its key.
const (
	mayRun    = false
	knownOnly = true
)

// attempt sends a request to a server and waits for the answer until shortly before the request's deadline.
func (r *Runner) attempt(req core.Request, name string, knownOnly bool) attemptResult {
	return r.attemptIn(context.Background(), req, name, knownOnly)
}

// attemptIn is like attempt but also ends when ctx is cancelled, which hedgedAttempt does once the other attempt has succeeded.
func (r *Runner) attemptIn(ctx context.Context, req core.Request, name string, knownOnly bool) attemptResult {
	r.mu.Lock()
	u := r.upstreams[name]
	acquired := r.balancer.Acquire(r.clock(), name)
	r.mu.Unlock()
	if !acquired {
		r.stats.Inc("fleet", "refused", "slow_start")
		return attemptResult{outcome: loadbalancer.Rejected, retryAfter: r.events.RetryAfter()}
	}
	sentAt := time.Now()
	res, fields := attemptResult{outcome: loadbalancer.ConnectFailed}, map[string]string(nil)
	if u != nil {
		ctx, cancel := context.WithDeadline(ctx, req.Deadline.Add(-answerReserve))
		defer cancel()
		res, fields = u.send(ctx, msgpackrpc.Attempt{
			ID: req.ID, Class: req.Class, Tenant: req.Tenant, Key: req.Key, ReceivedAt: sentAt, Timeout: req.Deadline.Sub(sentAt) - answerReserve/2,
			MemoryKB: req.MemoryKB, Rank: req.Rank, Caller: req.Caller, Body: req.Body, KnownOnly: knownOnly, Incarnation: u.boot.Load(), ConfigID: req.RulesID,
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if fields != nil {
		r.recordServerState(name, fields)
		r.recordBackpressure(now, req.Tenant, name, res, fields)
	}
	if errors.Is(ctx.Err(), context.Canceled) && res.outcome == loadbalancer.TimedOut {
		r.balancer.Done(now, name, loadbalancer.Rejected, 0, false) // cancelled after the other attempt succeeded: no evidence about this server
		return res
	}
	r.balancer.Done(now, name, res.outcome, time.Since(sentAt), req.Key == "")
	return res
}

// recordBackpressure passes the capacity signals of an answer to the load balancer. The caller holds r.mu. The Retry-After of a rejection
// with a reason is ignored: such a rejection concerns the request's key, not the server's load.
func (r *Runner) recordBackpressure(now time.Duration, tenant, name string, res attemptResult, fields map[string]string) {
	credit, _ := strconv.ParseFloat(fields[msgpackrpc.FieldSignal], 64)
	retryAfter := res.retryAfter
	if res.outcome != loadbalancer.Rejected || res.reason != "" {
		retryAfter = 0
	}
	r.balancer.Backpressure(now, r.tenantInMap(tenant), name, credit, retryAfter)
}

// parseReply converts a server's answer to the result of the attempt.
func parseReply(a msgpackrpc.Reply) attemptResult {
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
