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

// Maintain probes the servers and reads the map again well within its lease, until the context ends.
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

// checkAll probes every server once.
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

// checkHealth asks a server for its health on a connection of its own.
func (r *Runner) checkHealth(ctx context.Context, s cells.Server) {
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	r.mu.Lock()
	asked, flying := r.clock(), r.balancer.InFlight(s.Name)
	r.mu.Unlock()
	every := r.checkInterval()
	c, err := r.cfg.Dial(ctx, s.Addr)
	good := false
	var a msgpackrpc.Reply
	if err == nil {
		defer c.Close()
		var reply <-chan msgpackrpc.Reply
		if _, reply, err = c.Send(func(id uint64) []byte {
			return msgpackrpc.AppendProbe(nil, id, append(r.healthCheckFields(r.current.Load()), "fl", strconv.Itoa(flying))...)
		}); err == nil {
			select {
			case a, good = <-reply:
				good = good && !a.Unprocessed()
			case <-ctx.Done():
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if good { // one that says that it is unwell is there all the same: it drains, and knows its sheets
		r.noteAnswer(s.Name, a.Fields)
		if part, err := strconv.Atoi(a.Fields["c"]); err == nil {
			r.balancer.SlowStartGranted(asked, s.Name, part, msgpackrpc.SlowStartProbeIntervals*every)
		}
	} else {
		r.balancer.Unreachable(r.clock(), s.Name)
	}
	if r.clock()-r.lastHealthReport >= minHealthReportInterval {
		r.logHealthChanges()
	}
}

// minHealthReportInterval is how often at most the health of all servers is looked through while answers of a round come in; so is it at its end.
// After each answer it would be the square of their number.
const minHealthReportInterval = 100 * time.Millisecond

// noteAnswer notes an answer of a server, under the lock.
func (r *Runner) noteAnswer(name string, fields map[string]string) {
	boot, _ := strconv.ParseInt(fields["b"], 10, 64)
	entered := int64(0)
	if s := r.current.Load().Server(name); s != nil {
		entered = s.JoinsAt
	}
	ran, _ := strconv.ParseInt(fields["l"], 10, 64)
	r.balancer.Answered(r.clock(), name, loadbalancer.Incarnation{Boot: boot, RanUntil: ran, Joined: entered, Now: time.Now().UnixMilli()})
	if fields["cs"] == "" {
		r.balancer.WarmedUp(name)
	}
	if p := r.upstreams[name]; p != nil {
		p.boot.Store(boot)
	}
	if fields["g"] != "" {
		r.noteServersRules(name, fields)
	}
}

// logHealthChanges logs what changed in the health of servers, under the lock.
func (r *Runner) logHealthChanges() {
	r.lastHealthReport = r.clock()
	for _, s := range r.balancer.States(r.clock()) {
		if old, known := r.loggedHealth[s.Name]; s.Health != old || !known {
			r.loggedHealth[s.Name] = s.Health
			events.Log(r.log, "fleet.health", s.Name, s.Health)
		}
	}
}

func (r *Runner) checkInterval() time.Duration { return time.Duration(r.healthCheckInterval.Load()) }

// healthCheckFields are the fields by which this router tells a server what it goes by.
func (r *Runner) healthCheckFields(m *mapInForce) []string {
	ms := func(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
	t := r.conflictTerms(m.Map)
	return []string{"g", m.name, "gn", r.cfg.Name, "gl", ms(t.Lease), "gs", ms(t.ClockSkew), "gp", ms(t.ProbeInterval), "gw", ms(t.ProbeTimeout), "gd", ms(t.OverlapWindow)}
}
