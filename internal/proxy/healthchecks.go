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

// Health checks. Each server is checked every Config.HealthCheckInterval, all at the same time. The answers tell more than health: when
// the server started, what it grants in its slow start, and which map it knows of.

// Maintain checks the servers' health and reads the map again well within its lease, until the context ends. It runs in a goroutine of
// the service's; the first round that is over makes the router ready.
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

// checkAll checks every server once.
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

// checkHealth checks a server's health on a connection of its own. A server that answers is alive, also where it says that it is unwell:
// it drains, and knows its keys.
func (r *Runner) checkHealth(ctx context.Context, s cells.Server) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	r.mu.Lock()
	sent, inFlight := r.clock(), r.balancer.InFlight(s.Name)
	r.mu.Unlock()
	interval := r.checkInterval()
	a, ok := r.askHealth(ctx, s.Addr, inFlight)
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.noteAnswer(s.Name, a.Fields)
		if requests, err := strconv.Atoi(a.Fields[msgpackrpc.FieldSlowStartShare]); err == nil {
			r.balancer.SlowStartGranted(sent, s.Name, requests, msgpackrpc.SlowStartProbeIntervals*interval)
		}
	} else {
		r.balancer.Unreachable(r.clock(), s.Name)
	}
	if r.clock()-r.lastHealthReport >= minHealthReportInterval {
		r.logHealthChanges()
	}
}

// askHealth sends a health check, and reports false where no answer came in time.
func (r *Runner) askHealth(ctx context.Context, addr string, inFlight int) (a msgpackrpc.Reply, ok bool) {
	c, err := r.cfg.Dial(ctx, addr)
	if err != nil {
		return a, false
	}
	defer c.Close()
	_, reply, err := c.Send(func(id uint64) []byte {
		return msgpackrpc.AppendProbe(nil, id, append(r.healthCheckFields(r.current.Load()), msgpackrpc.FieldInFlight, strconv.Itoa(inFlight))...)
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

// minHealthReportInterval is how often at most the health of all servers is compared with what was logged while answers of a round come
// in; it is at the round's end too. After each answer it would cost the square of the number of servers.
const minHealthReportInterval = 100 * time.Millisecond

// noteAnswer notes what an answer of a server tells of the server, under the lock.
func (r *Runner) noteAnswer(name string, fields map[string]string) {
	boot, _ := strconv.ParseInt(fields[msgpackrpc.FieldIncarnation], 10, 64)
	ranUntil, _ := strconv.ParseInt(fields[msgpackrpc.FieldUnknownRuns], 10, 64)
	joined := int64(0)
	if s := r.current.Load().Server(name); s != nil {
		joined = s.JoinsAt
	}
	r.balancer.Answered(r.clock(), name, loadbalancer.Incarnation{Boot: boot, RanUntil: ranUntil, Joined: joined, Now: time.Now().UnixMilli()})
	if fields[msgpackrpc.FieldWarmingUp] == "" {
		r.balancer.WarmedUp(name)
	}
	if u := r.upstreams[name]; u != nil {
		u.boot.Store(boot)
	}
	if fields[msgpackrpc.FieldConfigID] != "" {
		r.noteServersMap(name, fields)
	}
}

// logHealthChanges logs what changed in the health of servers, under the lock.
func (r *Runner) logHealthChanges() {
	r.lastHealthReport = r.clock()
	for _, s := range r.balancer.States(r.clock()) {
		if old, known := r.loggedHealth[s.Name]; s.Health != old || !known {
			r.loggedHealth[s.Name] = s.Health
			events.Log(r.log, "proxy.server_health", s.Name, s.Health)
		}
	}
}

// checkInterval is the time between two checks of a server.
func (r *Runner) checkInterval() time.Duration { return time.Duration(r.healthCheckInterval.Load()) }

// healthCheckFields are the fields by which this router tells a server which map it goes by, as names and values in turn.
func (r *Runner) healthCheckFields(m *mapInForce) []string {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	t := r.conflictTerms(m.Map)
	return []string{
		msgpackrpc.FieldConfigID, m.name, msgpackrpc.FieldConfigSource, r.cfg.Name, msgpackrpc.FieldLease, ms(t.Lease), msgpackrpc.FieldClockSkew, ms(t.ClockSkew),
		msgpackrpc.FieldProbeInterval, ms(t.ProbeInterval), msgpackrpc.FieldProbeTimeout, ms(t.ProbeTimeout), msgpackrpc.FieldOverlapWindow, ms(t.OverlapWindow),
	}
}
