// Package proxy is the Runner of a router: it hands requests on to the servers of a fleet over the platform's balancer
// protocol. Which server a request belongs to is decided by cells, which of several gets a try by routing; this package
// carries it out. Once a sheet may have run, nobody but its home is asked for it again.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/policy/quota"
	"silverpath/internal/transport/msgpackrpc"
)

// Events is who hears of what came back: the core.
type Events interface {
	RunnerReady()
	Class(name string) (silverpath.Class, bool)
	RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte)
	ForwardReturned(id string, a core.Answer, spent time.Duration)
	Gauges(g silverpath.Gauges)
	RetryAfter() time.Duration
}

// Config sets up a Runner.
type Config struct {
	Name                string // by which others know it
	Source              Source // of the cell map
	LoadBalancing       loadbalancer.Config
	Cores               int // runs at once that the whole fleet is taken to have room for
	HealthCheckInterval time.Duration
	MaxConnections      int // connections to all servers at most
	// Dial opens a connection to a server; nil: over TCP.
	Dial func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)
}

const (
	dialTimeout        = 500 * time.Millisecond
	healthCheckTimeout = time.Second
	answerReserve      = 50 * time.Millisecond // before its due time a try is given up, so that its caller still gets an answer
	maxAttempts        = 4                     // servers that one request is sent to, retries and hedges and homes together
)

// Runner hands requests on.
type Runner struct {
	cfg             Config
	events          Events
	log             *log.Logger
	stats           *metrics.Counters
	began           time.Time
	current         atomic.Pointer[mapInForce]
	connectionSlots chan struct{}

	mu                  sync.Mutex // the table's
	balancer            *loadbalancer.Balancer
	tenants             *loadbalancer.TenantLimiter
	quota               *quota.Holder // nil: it knows nothing of what other routers let in
	upstreams           map[string]*upstream
	inFlight            atomic.Int64
	offeredWeight       atomic.Uint64 // worth, in thousandths, of all requests that have been answered
	servedWeight        atomic.Uint64 // and of those that were served
	loggedHealth        map[string]loadbalancer.Health
	versions            configstore.VersionTracker // what was heard of others' maps
	reloadSoon          chan struct{}              // the map is to be read again, as a newer one was heard of
	lastKeyedSent       atomic.Int64               // when a sheet was last sent, by the clock
	healthCheckInterval atomic.Int64               // nanoseconds between two health checks of a server

	quotaCapacity    capacitySpan  // what the share was last told of
	lastHealthReport time.Duration // when the health of all servers was last looked through

	reading        sync.Mutex // of the map
	loggedBadMapAt time.Time
}

// mapInForce is the map in force and when it was last known to be the newest.
type mapInForce struct {
	*cells.Map
	confirmedAt time.Time
	id          configstore.ID
	name        string // the same, as it is said
}

var (
	_ core.Runner    = (*Runner)(nil)
	_ core.Forwarder = (*Runner)(nil)
)

// New returns a runner with the map that its source has.
func New(cfg Config, events Events, l *log.Logger, s *metrics.Counters) (*Runner, error) {
	m, fresh, err := cfg.Source.Load(nil)
	if err != nil {
		return nil, err
	}
	if cfg.Dial == nil {
		cfg.Dial = msgpackrpc.Dial
	}
	cfg.LoadBalancing.KeyWindow = m.KeyWindow + m.CallerTimeout + 2*m.MaxClockSkew
	r := &Runner{
		cfg: cfg, events: events, log: l, stats: s, began: time.Now(), balancer: loadbalancer.New(cfg.LoadBalancing), tenants: loadbalancer.NewTenantLimiter(),
		upstreams: map[string]*upstream{}, loggedHealth: map[string]loadbalancer.Health{}, reloadSoon: make(chan struct{}, 1), connectionSlots: make(chan struct{}, max(8, cfg.MaxConnections)),
	}
	r.healthCheckInterval.Store(int64(cfg.HealthCheckInterval))
	r.useMap(m, fresh)
	return r, nil
}

func (r *Runner) clock() time.Duration { return time.Since(r.began) + time.Hour }

// useMap puts a map in force. Its servers are gone through where one of them has changed, and its text is made to name it where its
// source knows no name; a map that is in force already costs nothing that grows with it.
func (r *Runner) useMap(m *cells.Map, read time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.current.Load()
	if was == nil || !m.SameServers(was.Map) {
		r.setServers(m)
	}
	v := &mapInForce{Map: m, confirmedAt: read}
	if was != nil && was.Map == m {
		v.id, v.name = was.id, was.name
	} else {
		v.id = r.identify(m)
		v.name = v.id.String()
	}
	r.current.Store(v)
	r.versions.ExtendTerms(r.conflictTerms(m))
	r.observeVersion(r.clock(), v.id, r.cfg.Name)
}

// setServers takes up the servers of a map, under the lock.
func (r *Runner) setServers(m *cells.Map) {
	weights := map[string]float64{}
	var unheard []string
	for s := range m.AllServers() {
		weights[s.Name] = s.Weight
		if r.upstreams[s.Name] == nil {
			unheard = append(unheard, s.Name)
		}
		if p := r.upstreams[s.Name]; p == nil || p.addr != s.Addr {
			p.close()
			r.upstreams[s.Name] = &upstream{name: s.Name, addr: s.Addr, slots: r.connectionSlots, dial: r.cfg.Dial}
		}
	}
	for name, p := range r.upstreams {
		if m.Server(name) == nil {
			p.close()
			delete(r.upstreams, name)
		}
	}
	r.balancer.SetServers(r.clock(), weights)
	for _, name := range unheard {
		r.balancer.AwaitHealthCheck(name)
	}
}

// Reload reads the map again. One that is no good, or can't follow the one in force, is logged, and the old one holds.
func (r *Runner) Reload() {
	r.reading.Lock()
	defer r.reading.Unlock()
	old := r.current.Load()
	load := r.cfg.Source.Load
	src, can := r.cfg.Source.(OutdatedSource)
	behind := can && r.verdict(old) == configstore.VerdictOutdated
	if behind {
		load = src.LoadOutdated
	}
	m, read, err := load(old.Map)
	if err != nil {
		r.stats.Inc("cells", "bad_map")
		if time.Since(r.loggedBadMapAt) > old.Lease {
			r.loggedBadMapAt = time.Now()
			events.Log(r.log, "cells.bad_map", old.Version, err)
		}
		// Where it was checked in time and comes too late, perhaps at all routers, nobody else tells that there is a newer one.
		if src, can := r.cfg.Source.(NewestSource); can {
			if id, ok := src.Newest(old.Map); ok {
				r.mu.Lock()
				r.observeVersion(r.clock(), id, "the group")
				r.mu.Unlock()
			}
		}
		return
	}
	if behind && m.Version != old.Version {
		r.catchUp(m)
	}
	if m.Version != old.Version {
		r.stats.Inc("cells", "new_map")
		events.Log(r.log, "cells.new_map", m.Version, old.Version, len(cells.Diff(old.Map, m)))
	}
	r.useMap(m, read)
}

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

func (r *Runner) reloadMap(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.current.Load().Lease / 3):
			r.Reload()
		case <-r.reloadSoon:
			r.Reload()
			pause(ctx, max(minReloadPause, r.current.Load().Lease/10))
		}
	}
}

// minReloadPause is the least time between two readings of the map because a newer one was heard of.
const minReloadPause = 100 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
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

// Run is not called: see Forward.
func (r *Runner) Run(string, string, []byte) {}

// Resume is never asked: runs of the fleet wait for no call of ours.
func (r *Runner) Resume(string, []byte) {}

// Probe reports the gauges: what is out there, for each core that the fleet is taken to have.
func (r *Runner) Probe() {
	n := float64(r.inFlight.Load())
	r.events.Gauges(silverpath.Gauges{CPU: min(1, n/float64(max(1, r.cfg.Cores))), OnCores: n, Connections: n})
}

// Forward hands a request on. It does not block.
func (r *Runner) Forward(q core.Request) {
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Add(-1)
		began := time.Now()
		class, _ := r.events.Class(q.Class)
		a := r.route(q, class)
		worth := uint64(1000 * max(0, class.Weight))
		r.offeredWeight.Add(worth)
		if a.Outcome == core.Served {
			r.servedWeight.Add(worth)
			r.events.RunEnded(q.ID, silverpath.OK, time.Since(began), a.Body)
		} else {
			r.events.ForwardReturned(q.ID, a, time.Since(began))
		}
	}()
}

// route is one request's way through the fleet, from the map to its answer.
func (r *Runner) route(q core.Request, class silverpath.Class) (a core.Answer) {
	m := r.current.Load()
	keyed := class.Effect == silverpath.Idempotent && q.Key != ""
	key := ""
	if keyed {
		key = q.Key
	}
	route, ok := m.Route(Wall(), q.Tenant, key)
	if ok && !r.admit(m, q.Tenant, route) {
		if keyed { // another router may have handed on a try of it, and only its home can tell
			return r.fail("over_share")
		}
		return r.reject("over_share")
	}
	if ok {
		defer func() { r.done(m, q.Tenant, route, a) }()
	}
	switch {
	case !ok:
		return r.reject("no_cell")
	case keyed:
		return r.forwardToHome(q, m, route)
	}
	// A keyed class's request without a key can't be told from another one: it is tried elsewhere only on proof, like
	// whatever must run at most once.
	return r.forwardAnywhere(q, route, class.Effect == silverpath.Safe)
}

// forwardToHome is a sheet's way to its home. Where a server knows of rules by which it must not run there, it has not run by this try,
// and where this router then finds newer ones, they are asked once.
func (r *Runner) forwardToHome(q core.Request, m *mapInForce, route cells.Route) core.Answer {
	for anew := false; ; anew = true {
		if time.Since(m.confirmedAt) > m.Lease {
			return r.fail("stale_map") // it may have been moved, and run elsewhere
		}
		if v := r.verdict(m); v != configstore.VerdictValid {
			return r.fail(v.String())
		}
		q.RulesID = m.name
		r.lastKeyedSent.Store(int64(r.clock()))
		Boundary("routed")
		a := r.forwardKeyed(q, m, route)
		if a.Reason != core.ReasonBehind || anew {
			return a
		}
		r.Reload()
		now := r.current.Load()
		ok := false
		if route, ok = now.Route(Wall(), q.Tenant, q.Key); !ok || now.Version == m.Version {
			return a
		}
		m = now
	}
}

// admit reports whether a tenant may send one more request into its cell.
func (r *Runner) admit(m *mapInForce, tenant string, route cells.Route) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, rate := m.AgreedRate(tenant)
	if r.quota != nil {
		// By its part of what all routers share in place of what was agreed for all of them.
		k, now := quota.Key{Cell: route.Cell, Tenant: name}, r.leaseClock()
		if !r.quota.Admit(now, k) {
			return false
		}
		rate = r.quota.Rate(now, k)
	}
	return r.tenants.Admit(r.clock(), route.Cell, name, rate, len(route.Servers))
}

// tenantInMap is a tenant's name as the map has it, which bounds how many there are.
func (r *Runner) tenantInMap(tenant string) string {
	name, _ := r.current.Load().AgreedRate(tenant)
	return name
}

// done ends what admit let in. A failure says nothing of the cell's room.
func (r *Runner) done(m *mapInForce, tenant string, route cells.Route, a core.Answer) {
	o := loadbalancer.Failed
	switch a.Outcome {
	case core.Served:
		o = loadbalancer.Served
	case core.Rejected:
		o = loadbalancer.Rejected
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _ := m.AgreedRate(tenant)
	r.tenants.Done(r.clock(), route.Cell, name, o)
}

func (r *Runner) reject(why string) core.Answer {
	r.stats.Inc("fleet", "refused", why)
	return core.Answer{Outcome: core.Rejected, RetryAfter: r.events.RetryAfter()}
}

func (r *Runner) fail(why string) core.Answer {
	r.stats.Inc("fleet", "failed", why)
	return core.Answer{Outcome: core.Failed}
}

// failOutdated is the answer where a server knows of newer rules, which may have the sheet run elsewhere.
func (r *Runner) failOutdated(why string) core.Answer {
	a := r.fail(why)
	a.Reason = core.ReasonBehind
	return a
}

// forwardKeyed brings a keyed request to its home. Former homes are asked first whether they know it; one that can't be asked
// may have run it, so then it fails. What is answered there is the answer; what no former home knows, the home runs.
func (r *Runner) forwardKeyed(q core.Request, m *mapInForce, route cells.Route) core.Answer {
	for _, former := range route.FormerHomes {
		if r.checkHome(q.Tenant, former) == loadbalancer.HomeLost {
			return r.fail("former_home_lost")
		}
		switch e := r.attempt(q, former, true, q.Deadline); {
		case e.outcome == loadbalancer.Served:
			r.stats.Inc("fleet", "former_home")
			return core.Answer{Outcome: core.Served, Body: e.body}
		case e.outcome == loadbalancer.Rejected && (e.reason == core.ReasonUnknown || e.reason == core.ReasonMoved):
		case e.outcome == loadbalancer.Rejected && e.reason == core.ReasonBehind:
			return r.failOutdated("former_home_behind")
		default:
			return r.fail("former_home_" + e.name())
		}
	}
	home := route.Home
	for range 2 {
		switch r.checkHome(q.Tenant, home) {
		case loadbalancer.HomeLost:
			return r.fail("home_lost")
		case loadbalancer.HomeBusy:
			return r.reject("home_full")
		}
		switch e := r.attempt(q, home, false, q.Deadline); {
		case e.outcome == loadbalancer.Served:
			return core.Answer{Outcome: core.Served, Body: e.body}
		case e.outcome == loadbalancer.Rejected && e.reason == core.ReasonMoved:
			// Another router, whose clock is ahead, has asked here before it ran the sheet in its new home.
			next, ok := m.Route(Wall().Add(2*m.MaxClockSkew), q.Tenant, q.Key)
			if !ok || next.Home == home {
				return r.fail("moved_nowhere")
			}
			home = next.Home
		case e.outcome == loadbalancer.Rejected && e.reason == core.ReasonBehind:
			return r.failOutdated("home_behind")
		case e.outcome == loadbalancer.Rejected && e.reason != "":
			return r.fail("home_" + e.reason) // it started anew: an earlier try may have run before
		case e.outcome == loadbalancer.Rejected:
			r.stats.Inc("fleet", "refused", "home")
			return core.Answer{Outcome: core.Rejected, RetryAfter: e.retryAfter, Final: e.final}
		default:
			return r.fail("home_" + e.name())
		}
	}
	return r.fail("moved_twice")
}

func (r *Runner) checkHome(tenant, name string) loadbalancer.HomeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.CheckHome(r.clock(), r.tenantInMap(tenant), name)
}

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

// Close closes the connections to all servers.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.upstreams {
		p.close()
	}
}

// States are the servers as they are known, and what was decided, for operators.
func (r *Runner) States() ([]loadbalancer.ServerState, loadbalancer.Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.States(r.clock()), r.balancer.Counts()
}

// Map is the map in force.
func (r *Runner) Map() *cells.Map { return r.current.Load().Map }

// ---- Connections ----

// upstream is a server with its connections.
type upstream struct {
	name, addr string
	boot       atomic.Int64
	slots      chan struct{} // of the router's connections to all servers
	dial       func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)

	mu    sync.Mutex
	conns []*msgpackrpc.Conn
}

// close closes the connections and gives their places back; there may be no peer.
func (p *upstream) close() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
		<-p.slots
	}
	p.conns = nil
}

// conn returns a connection with room for one more request, a new one where there is none.
func (p *upstream) conn(ctx context.Context) (*msgpackrpc.Conn, error) {
	p.mu.Lock()
	kept := p.conns[:0]
	var found *msgpackrpc.Conn
	for _, c := range p.conns {
		room, usable := c.Capacity()
		if !usable {
			<-p.slots
			continue
		}
		kept = append(kept, c)
		if room && found == nil {
			found = c
		}
	}
	p.conns = kept
	p.mu.Unlock()
	if found != nil {
		return found, nil
	}
	select {
	case p.slots <- struct{}{}:
	default:
		return nil, fmt.Errorf("connecting to %s: no connections left", p.name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, p.addr)
	if err != nil {
		<-p.slots
		return nil, err
	}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	return c, nil
}

// send sends a try and waits for its end. Where the connection turns out to be closed as it is written to, the try goes
// out on a new one: nothing of it was read.
func (p *upstream) send(ctx context.Context, t msgpackrpc.Attempt) (attemptResult, map[string]string) {
	for crossed := 0; crossed < 2; {
		c, err := p.conn(ctx)
		if err != nil {
			return attemptResult{outcome: connectOutcome(ctx, err)}, nil
		}
		id, reply, err := c.Send(func(id uint64) []byte { return t.Append(nil, id) })
		switch {
		case errors.Is(err, msgpackrpc.ErrFull): // others were quicker
			continue
		case err != nil:
			crossed++
			continue
		}
		select {
		case a, ok := <-reply:
			if !ok {
				return attemptResult{outcome: loadbalancer.ConnectionLost}, nil
			}
			if a.Unprocessed() { // it crossed the end of a connection that had rested: proven that it never ran
				crossed++
				continue
			}
			return resultOf(a), a.Fields
		case <-ctx.Done():
			c.Cancel(id)
			return attemptResult{outcome: loadbalancer.TimedOut}, nil
		}
	}
	return attemptResult{outcome: loadbalancer.NotSent}, nil
}

// connectOutcome says what a connection that could not be had proves: nothing was sent, so nothing ran.
func connectOutcome(_ context.Context, err error) loadbalancer.Outcome {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) {
		return loadbalancer.ConnectFailed
	}
	return loadbalancer.NotSent
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
