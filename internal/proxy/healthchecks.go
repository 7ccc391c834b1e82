package proxy

import (
	"context"
	"strconv"
	"sync"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/transport/msgpackrpc"
)

// Health checks. All servers are checked concurrently, every Config.HealthCheckInterval. An answer also carries the server's start time, the
// requests that it grants this router during its slow start, and the newest map that it has seen.

// Maintain checks the servers' health and reloads the map well within its lease, until ctx is done. The service runs it in a goroutine of
// its own. The router is reported ready after the first round of health checks.
func (r *Runner) Maintain(ctx context.Context) {
	go r.reloadMap(ctx)
	first := true
	for ctx.Err() == nil {
		r.checkAll(ctx)
		if first {
			r.events.RunnerReady()
			first = false
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.checkInterval()):
		}
	}
}

// checkAll checks every server once, waits for the answers, and logs the changes in health.
func (r *Runner) checkAll(ctx context.Context) {
	var wg sync.WaitGroup
	for s := range r.current.Load().AllServers() {
		wg.Go(func() { r.checkHealth(ctx, *s) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logHealthChanges()
}

// checkHealth checks a server on a new connection. A server that answers is alive, even if it reports itself unhealthy: it is draining and
// still has the results of its idempotency keys.
func (r *Runner) checkHealth(ctx context.Context, s cells.Server) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	r.mu.Lock()
	sentAt, inFlight := r.clock(), r.balancer.InFlight(s.Name)
	r.mu.Unlock()
	interval := r.checkInterval()
	a, ok := r.sendHealthCheck(ctx, s.Addr, interval, inFlight)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.recordServerState(s.Name, a.Fields)
		if requests, err := strconv.Atoi(a.Fields[msgpackrpc.FieldSlowStartQuota]); err == nil {
			r.balancer.SlowStartGranted(sentAt, s.Name, requests, msgpackrpc.SlowStartProbeIntervals*interval)
		}
	} else {
		r.balancer.Unreachable(r.clock(), s.Name)
	}
	if r.clock()-r.lastHealthReport >= minHealthReportInterval {
		r.logHealthChanges()
	}
}

// sendHealthCheck sends a health check on a new connection. It returns false if the connection fails or no answer arrives in time. The
// server's grant during its slow start is for a number of the given intervals, so the check names the interval by which the caller counts.
func (r *Runner) sendHealthCheck(ctx context.Context, addr string, interval time.Duration, inFlight int) (a msgpackrpc.Reply, ok bool) {
	c, err := r.cfg.Dial(ctx, addr)
	if err != nil {
		return a, false
	}
	defer c.Close()
	_, reply, err := c.Send(func(id uint64) []byte {
		return msgpackrpc.AppendProbe(nil, id, append(r.healthCheckFields(r.current.Load(), interval), msgpackrpc.FieldInFlight, strconv.Itoa(inFlight))...)
	})
	if err != nil {
		return a, false
	}
	select {
	case a, ok = <-reply:
		return a, ok && !a.Unprocessed()
	case <-ctx.Done():
		return a, false
	}
}

// minHealthReportInterval is the least time between two comparisons of the health of all servers with what was logged, apart from the one
// at the end of a round. A comparison after each answer would make a round's cost quadratic in the number of servers.
const minHealthReportInterval = 100 * time.Millisecond

// recordServerState updates a server's state from the fields of its answer. The caller holds r.mu.
func (r *Runner) recordServerState(name string, fields map[string]string) {
	boot, _ := strconv.ParseInt(fields[msgpackrpc.FieldIncarnation], 10, 64)
	ranUntil, _ := strconv.ParseInt(fields[msgpackrpc.FieldUnknownRuns], 10, 64)
	joinedAt := int64(0)
	if s := r.current.Load().Server(name); s != nil {
		joinedAt = s.JoinsAt
	}
	r.balancer.Answered(r.clock(), name, loadbalancer.Incarnation{Boot: boot, RanUntil: ranUntil, Joined: joinedAt, Now: time.Now().UnixMilli()})
	if fields[msgpackrpc.FieldSlowStart] == "" {
		r.balancer.WarmedUp(name)
	}
	if u := r.upstreams[name]; u != nil {
		u.boot.Store(boot)
	}
	if fields[msgpackrpc.FieldConfigID] != "" {
		r.recordServerMap(name, fields)
	}
}

// logHealthChanges logs each server whose health differs from the one logged last. The caller holds r.mu.
func (r *Runner) logHealthChanges() {
	r.lastHealthReport = r.clock()
	for _, s := range r.balancer.States(r.clock()) {
		if old, known := r.loggedHealth[s.Name]; s.Health != old || !known {
			r.loggedHealth[s.Name] = s.Health
			events.Log(r.log, "proxy.server_health", s.Name, s.Health)
		}
	}
}

// checkInterval returns the time between two health checks of a server.
func (r *Runner) checkInterval() time.Duration { return time.Duration(r.healthCheckInterval.Load()) }

// healthCheckFields returns the fields of a health check that describe this router's map, its terms and the interval of its health checks,
// as alternating names and values.
func (r *Runner) healthCheckFields(m *mapInForce, interval time.Duration) []string {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	t := r.conflictTerms(m.Map)
	return []string{
		msgpackrpc.FieldConfigID, m.name, msgpackrpc.FieldConfigSource, r.cfg.Name, msgpackrpc.FieldLease, ms(t.Lease), msgpackrpc.FieldClockSkew, ms(t.ClockSkew),
		msgpackrpc.FieldProbeInterval, ms(interval), msgpackrpc.FieldProbeTimeout, ms(t.ProbeTimeout), msgpackrpc.FieldOverlapWindow, ms(t.OverlapWindow),
	}
}
