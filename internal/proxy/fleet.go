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
	Up()
	Class(name string) (silverpath.Class, bool)
	Ended(id string, o silverpath.Outcome, spent time.Duration, result []byte)
	Returned(id string, a core.Answer, spent time.Duration)
	Gauges(g silverpath.Gauges)
	Advice() time.Duration
}

// Config sets up a Runner.
type Config struct {
	Name    string // by which others know it
	Source  Source // of the cell map
	Routing loadbalancer.Config
	Cores   int // runs at once that the whole fleet is taken to have room for
	Probe   time.Duration
	Sockets int // connections to all servers at most
	// Dial opens a connection to a server; nil: over TCP.
	Dial func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)
}

const (
	dialTimeout = 500 * time.Millisecond
	probeWithin = time.Second
	lateAnswer  = 50 * time.Millisecond // before its due time a try is given up, so that its caller still gets an answer
	mostHops    = 4                     // servers that one request is sent to, retries and hedges and homes together
)

// Runner hands requests on.
type Runner struct {
	cfg    Config
	events Events
	log    *log.Logger
	stats  *metrics.Counters
	began  time.Time
	cells  atomic.Pointer[view]
	room   chan struct{}

	mu     sync.Mutex // the table's
	table  *loadbalancer.Balancer
	fair   *loadbalancer.TenantLimiter
	share  *quota.Holder // nil: it knows nothing of what other routers let in
	peers  map[string]*peer
	flying atomic.Int64
	asked  atomic.Uint64 // worth, in thousandths, of all requests that have been answered
	served atomic.Uint64 // and of those that were served
	said   map[string]loadbalancer.Health
	rules  configstore.Seen // what was heard of others' maps
	again  chan struct{}    // the map is to be read again, as a newer one was heard of
	used   atomic.Int64     // when a sheet was last sent, by the clock
	every  atomic.Int64     // nanoseconds between two health checks of a server

	shared   wholesOf      // what the share was last told of
	reported time.Duration // when the health of all servers was last looked through

	reading sync.Mutex // of the map
	saidBad time.Time
}

// view is the map in force and when it was last known to be the newest.
type view struct {
	*cells.Map
	read  time.Time
	id    configstore.ID
	named string // the same, as it is said
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
	cfg.Routing.KeyWindow = m.Window + m.Patient + 2*m.Skew
	r := &Runner{
		cfg: cfg, events: events, log: l, stats: s, began: time.Now(), table: loadbalancer.New(cfg.Routing), fair: loadbalancer.NewTenantLimiter(),
		peers: map[string]*peer{}, said: map[string]loadbalancer.Health{}, again: make(chan struct{}, 1), room: make(chan struct{}, max(8, cfg.Sockets)),
	}
	r.every.Store(int64(cfg.Probe))
	r.take(m, fresh)
	return r, nil
}

func (r *Runner) clock() time.Duration { return time.Since(r.began) + time.Hour }

// take puts a map in force. Its servers are gone through where one of them has changed, and its text is made to name it where its
// source knows no name; a map that is in force already costs nothing that grows with it.
func (r *Runner) take(m *cells.Map, read time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := r.cells.Load()
	if was == nil || !m.SameServers(was.Map) {
		r.members(m)
	}
	v := &view{Map: m, read: read}
	if was != nil && was.Map == m {
		v.id, v.named = was.id, was.named
	} else {
		v.id = r.identify(m)
		v.named = v.id.String()
	}
	r.cells.Store(v)
	r.rules.Agree(r.terms(m))
	r.heard(r.clock(), v.id, r.cfg.Name)
}

// members takes up the servers of a map, under the lock.
func (r *Runner) members(m *cells.Map) {
	weights := map[string]float64{}
	var unheard []string
	for s := range m.AllServers() {
		weights[s.Name] = s.Weight
		if r.peers[s.Name] == nil {
			unheard = append(unheard, s.Name)
		}
		if p := r.peers[s.Name]; p == nil || p.addr != s.Addr {
			p.close()
			r.peers[s.Name] = &peer{name: s.Name, addr: s.Addr, room: r.room, dial: r.cfg.Dial}
		}
	}
	for name, p := range r.peers {
		if m.Server(name) == nil {
			p.close()
			delete(r.peers, name)
		}
	}
	r.table.SetServers(r.clock(), weights)
	for _, name := range unheard {
		r.table.AwaitHealthCheck(name)
	}
}

// Reload reads the map again. One that is no good, or can't follow the one in force, is logged, and the old one holds.
func (r *Runner) Reload() {
	r.reading.Lock()
	defer r.reading.Unlock()
	old := r.cells.Load()
	load := r.cfg.Source.Load
	src, can := r.cfg.Source.(Behind)
	behind := can && r.standing(old) == configstore.Behind
	if behind {
		load = src.LoadBehind
	}
	m, read, err := load(old.Map)
	if err != nil {
		r.stats.Inc("cells", "bad_map")
		if time.Since(r.saidBad) > old.Lease {
			r.saidBad = time.Now()
			events.Log(r.log, "cells.bad_map", old.Version, err)
		}
		// Where it was checked in time and comes too late, perhaps at all routers, nobody else tells that there is a newer one.
		if src, can := r.cfg.Source.(Newest); can {
			if id, ok := src.Newest(old.Map); ok {
				r.mu.Lock()
				r.heard(r.clock(), id, "the group")
				r.mu.Unlock()
			}
		}
		return
	}
	if behind && m.Version != old.Version {
		r.late(m)
	}
	if m.Version != old.Version {
		r.stats.Inc("cells", "new_map")
		events.Log(r.log, "cells.new_map", m.Version, old.Version, len(cells.Diff(old.Map, m)))
	}
	r.take(m, read)
}

// Keep probes the servers and reads the map again well within its lease, until the context ends.
func (r *Runner) Keep(ctx context.Context) {
	go r.refresh(ctx)
	first := true
	for ctx.Err() == nil {
		r.round(ctx)
		if first {
			r.events.Up()
			first = false
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.probeEvery()):
		}
	}
}

// round probes every server once.
func (r *Runner) round(ctx context.Context) {
	var wg sync.WaitGroup
	for s := range r.cells.Load().AllServers() {
		wg.Go(func() { r.probe(ctx, *s) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report()
}

func (r *Runner) refresh(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(r.cells.Load().Lease / 3):
			r.Reload()
		case <-r.again:
			r.Reload()
			pause(ctx, max(minReload, r.cells.Load().Lease/10))
		}
	}
}

// minReload is the least time between two readings of the map because a newer one was heard of.
const minReload = 100 * time.Millisecond

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// probe asks a server for its health on a connection of its own.
func (r *Runner) probe(ctx context.Context, s cells.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeWithin)
	defer cancel()
	r.mu.Lock()
	asked, flying := r.clock(), r.table.InFlight(s.Name)
	r.mu.Unlock()
	every := r.probeEvery()
	c, err := r.cfg.Dial(ctx, s.Addr)
	good := false
	var a msgpackrpc.Reply
	if err == nil {
		defer c.Close()
		var reply <-chan msgpackrpc.Reply
		if _, reply, err = c.Send(func(id uint64) []byte {
			return msgpackrpc.AppendProbe(nil, id, append(r.introduces(r.cells.Load()), "fl", strconv.Itoa(flying))...)
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
		r.reached(s.Name, a.Fields)
		if part, err := strconv.Atoi(a.Fields["c"]); err == nil {
			r.table.SlowStartGranted(asked, s.Name, part, msgpackrpc.SlowStartProbeIntervals*every)
		}
	} else {
		r.table.Unreachable(r.clock(), s.Name)
	}
	if r.clock()-r.reported >= reportEvery {
		r.report()
	}
}

// reportEvery is how often at most the health of all servers is looked through while answers of a round come in; so is it at its end.
// After each answer it would be the square of their number.
const reportEvery = 100 * time.Millisecond

// reached notes an answer of a server, under the lock.
func (r *Runner) reached(name string, fields map[string]string) {
	boot, _ := strconv.ParseInt(fields["b"], 10, 64)
	entered := int64(0)
	if s := r.cells.Load().Server(name); s != nil {
		entered = s.From
	}
	ran, _ := strconv.ParseInt(fields["l"], 10, 64)
	r.table.Answered(r.clock(), name, loadbalancer.Incarnation{Boot: boot, RanUntil: ran, Joined: entered, Now: time.Now().UnixMilli()})
	if fields["cs"] == "" {
		r.table.WarmedUp(name)
	}
	if p := r.peers[name]; p != nil {
		p.boot.Store(boot)
	}
	if fields["g"] != "" {
		r.told(name, fields)
	}
}

// report logs what changed in the health of servers, under the lock.
func (r *Runner) report() {
	r.reported = r.clock()
	for _, s := range r.table.States(r.clock()) {
		if old, known := r.said[s.Name]; s.Health != old || !known {
			r.said[s.Name] = s.Health
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
	n := float64(r.flying.Load())
	r.events.Gauges(silverpath.Gauges{CPU: min(1, n/float64(max(1, r.cfg.Cores))), OnCores: n, Connections: n})
}

// Forward hands a request on. It does not block.
func (r *Runner) Forward(q core.Request) {
	r.flying.Add(1)
	go func() {
		defer r.flying.Add(-1)
		began := time.Now()
		class, _ := r.events.Class(q.Class)
		a := r.lead(q, class)
		worth := uint64(1000 * max(0, class.Weight))
		r.asked.Add(worth)
		if a.Outcome == core.Served {
			r.served.Add(worth)
			r.events.Ended(q.ID, silverpath.OK, time.Since(began), a.Body)
		} else {
			r.events.Returned(q.ID, a, time.Since(began))
		}
	}()
}

// lead is one request's way through the fleet, from the map to its answer.
func (r *Runner) lead(q core.Request, class silverpath.Class) (a core.Answer) {
	m := r.cells.Load()
	keyed := class.Effect == silverpath.Idempotent && q.Key != ""
	key := ""
	if keyed {
		key = q.Key
	}
	route, ok := m.Route(Wall(), q.Tenant, key)
	if ok && !r.admit(m, q.Tenant, route) {
		if keyed { // another router may have handed on a try of it, and only its home can tell
			return r.failed("over_share")
		}
		return r.refuse("over_share")
	}
	if ok {
		defer func() { r.done(m, q.Tenant, route, a) }()
	}
	switch {
	case !ok:
		return r.refuse("no_cell")
	case keyed:
		return r.led(q, m, route)
	}
	// A keyed class's request without a key can't be told from another one: it is tried elsewhere only on proof, like
	// whatever must run at most once.
	return r.tries(q, route, class.Effect == silverpath.Safe)
}

// led is a sheet's way to its home. Where a server knows of rules by which it must not run there, it has not run by this try,
// and where this router then finds newer ones, they are asked once.
func (r *Runner) led(q core.Request, m *view, route cells.Route) core.Answer {
	for anew := false; ; anew = true {
		if time.Since(m.read) > m.Lease {
			return r.failed("stale_map") // it may have been moved, and run elsewhere
		}
		if v := r.standing(m); v != configstore.Good {
			return r.failed(v.String())
		}
		q.Rules = m.named
		r.used.Store(int64(r.clock()))
		Boundary("routed")
		a := r.sheet(q, m, route)
		if a.Why != core.WhyBehind || anew {
			return a
		}
		r.Reload()
		now := r.cells.Load()
		ok := false
		if route, ok = now.Route(Wall(), q.Tenant, q.Key); !ok || now.Version == m.Version {
			return a
		}
		m = now
	}
}

// admit reports whether a tenant may send one more request into its cell.
func (r *Runner) admit(m *view, tenant string, route cells.Route) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, rate := m.Agreed(tenant)
	if r.share != nil {
		// By its part of what all routers share in place of what was agreed for all of them.
		k, now := quota.Key{Cell: route.Cell, Tenant: name}, r.leased()
		if !r.share.Admit(now, k) {
			return false
		}
		rate = r.share.Rate(now, k)
	}
	return r.fair.Admit(r.clock(), route.Cell, name, rate, len(route.Servers))
}

// agreed is a tenant's name as the map has it, which bounds how many there are.
func (r *Runner) agreed(tenant string) string {
	name, _ := r.cells.Load().Agreed(tenant)
	return name
}

// done ends what admit let in. A failure says nothing of the cell's room.
func (r *Runner) done(m *view, tenant string, route cells.Route, a core.Answer) {
	o := loadbalancer.Failed
	switch a.Outcome {
	case core.Served:
		o = loadbalancer.Served
	case core.Refused:
		o = loadbalancer.Rejected
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	name, _ := m.Agreed(tenant)
	r.fair.Done(r.clock(), route.Cell, name, o)
}

func (r *Runner) refuse(why string) core.Answer {
	r.stats.Inc("fleet", "refused", why)
	return core.Answer{Outcome: core.Refused, Wait: r.events.Advice()}
}

func (r *Runner) failed(why string) core.Answer {
	r.stats.Inc("fleet", "failed", why)
	return core.Answer{Outcome: core.Failed}
}

// behind is the answer where a server knows of newer rules, which may have the sheet run elsewhere.
func (r *Runner) behind(why string) core.Answer {
	a := r.failed(why)
	a.Why = core.WhyBehind
	return a
}

// sheet brings a keyed request to its home. Former homes are asked first whether they know it; one that can't be asked
// may have run it, so then it fails. What is answered there is the answer; what no former home knows, the home runs.
func (r *Runner) sheet(q core.Request, m *view, route cells.Route) core.Answer {
	for _, former := range route.Ask {
		if r.home(q.Tenant, former) == loadbalancer.HomeLost {
			return r.failed("former_home_lost")
		}
		switch e := r.try(q, former, true, q.Due); {
		case e.outcome == loadbalancer.Served:
			r.stats.Inc("fleet", "former_home")
			return core.Answer{Outcome: core.Served, Body: e.body}
		case e.outcome == loadbalancer.Rejected && (e.why == core.WhyUnknown || e.why == core.WhyMoved):
		case e.outcome == loadbalancer.Rejected && e.why == core.WhyBehind:
			return r.behind("former_home_behind")
		default:
			return r.failed("former_home_" + e.name())
		}
	}
	home := route.Home
	for range 2 {
		switch r.home(q.Tenant, home) {
		case loadbalancer.HomeLost:
			return r.failed("home_lost")
		case loadbalancer.HomeBusy:
			return r.refuse("home_full")
		}
		switch e := r.try(q, home, false, q.Due); {
		case e.outcome == loadbalancer.Served:
			return core.Answer{Outcome: core.Served, Body: e.body}
		case e.outcome == loadbalancer.Rejected && e.why == core.WhyMoved:
			// Another router, whose clock is ahead, has asked here before it ran the sheet in its new home.
			next, ok := m.Route(Wall().Add(2*m.Skew), q.Tenant, q.Key)
			if !ok || next.Home == home {
				return r.failed("moved_nowhere")
			}
			home = next.Home
		case e.outcome == loadbalancer.Rejected && e.why == core.WhyBehind:
			return r.behind("home_behind")
		case e.outcome == loadbalancer.Rejected && e.why != "":
			return r.failed("home_" + e.why) // it started anew: an earlier try may have run before
		case e.outcome == loadbalancer.Rejected:
			r.stats.Inc("fleet", "refused", "home")
			return core.Answer{Outcome: core.Refused, Wait: e.away, Final: e.final}
		default:
			return r.failed("home_" + e.name())
		}
	}
	return r.failed("moved_twice")
}

func (r *Runner) home(tenant, name string) loadbalancer.HomeState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CheckHome(r.clock(), r.agreed(tenant), name)
}

// tries brings a request that has no home to a server. A safe one that fails is tried elsewhere, and gets a second copy where
// the first takes longer than nearly all do; any other goes elsewhere only on proof that it never ran.
func (r *Runner) tries(q core.Request, route cells.Route, safe bool) core.Answer {
	r.mu.Lock()
	r.table.FirstAttempt(r.clock())
	r.mu.Unlock()
	last, worst := "", core.Answer{Outcome: core.Refused, Wait: r.events.Advice()}
	for range mostHops {
		name, ok := r.pick(q.Tenant, route.Servers, last)
		if !ok {
			if last == "" {
				r.stats.Inc("fleet", "refused", "nobody")
			}
			return worst
		}
		e := r.hedged(q, route, name, safe)
		switch {
		case e.outcome == loadbalancer.Served:
			return core.Answer{Outcome: core.Served, Body: e.body}
		case e.outcome == loadbalancer.Rejected:
			worst = core.Answer{Outcome: core.Refused, Wait: e.away, Final: e.final}
		case !e.outcome.NeverRan():
			worst = r.failed(e.name())
		}
		r.mu.Lock()
		again := r.table.AllowRetry(e.outcome, safe, e.final)
		r.mu.Unlock()
		if !again || time.Until(q.Due) <= 2*lateAnswer {
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
	return r.table.Pick(r.clock(), r.agreed(tenant), among, not)
}

// hedged makes a try, and a second copy of it elsewhere where it is a read that takes long and the budget has one left.
// Whichever is served first is the answer; the other is given up.
func (r *Runner) hedged(q core.Request, route cells.Route, name string, safe bool) ending {
	r.mu.Lock()
	after, known := r.table.HedgeDelay()
	r.mu.Unlock()
	if !safe || !known {
		return r.try(q, name, false, q.Due)
	}
	ends := make(chan ending, 2)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { ends <- r.tryIn(ctx, q, name, false, q.Due) }()
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
			ok = r.table.AllowHedge()
			r.mu.Unlock()
			if ok {
				r.stats.Inc("fleet", "hedged")
				out++
				second := q
				second.ID = q.ID + "h" // its own try, by its own id
				go func() { ends <- r.tryIn(ctx, second, other, false, q.Due) }()
			}
		}
	}
}

// ending is how a try ended.
type ending struct {
	outcome loadbalancer.Outcome
	body    []byte
	away    time.Duration
	final   bool
	why     string
}

func (e ending) name() string {
	return [...]string{"served", "refused", "failed", "broken", "unreachable", "timed_out", "unwritten"}[e.outcome]
}

func (r *Runner) try(q core.Request, name string, known bool, due time.Time) ending {
	return r.tryIn(context.Background(), q, name, known, due)
}

// tryIn sends a try to a server and waits for its answer until shortly before it is due.
func (r *Runner) tryIn(ctx context.Context, q core.Request, name string, known bool, due time.Time) ending {
	r.mu.Lock()
	p := r.peers[name]
	room := r.table.Acquire(r.clock(), name)
	r.mu.Unlock()
	if !room {
		r.stats.Inc("fleet", "refused", "slow_start")
		return ending{outcome: loadbalancer.Rejected, away: r.events.Advice()}
	}
	began := time.Now()
	e, fields := ending{outcome: loadbalancer.ConnectFailed}, map[string]string(nil)
	if p != nil {
		ctx, cancel := context.WithDeadline(ctx, due.Add(-lateAnswer))
		defer cancel()
		e, fields = p.send(ctx, msgpackrpc.Attempt{
			ID: q.ID, Class: q.Class, Tenant: q.Tenant, Key: q.Key, ReceivedAt: began, Timeout: due.Sub(began) - lateAnswer/2,
			HeldKB: q.HeldKB, Rank: q.Rank, Caller: q.Caller, Body: q.Body, KnownOnly: known, Incarnation: p.boot.Load(), ConfigID: q.Rules,
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	if fields != nil {
		r.reached(name, fields)
		credit, _ := strconv.ParseFloat(fields["v"], 64)
		away := e.away
		if e.outcome != loadbalancer.Rejected || e.why != "" {
			away = 0
		}
		r.table.Backpressure(now, r.agreed(q.Tenant), name, credit, away)
	}
	if errors.Is(ctx.Err(), context.Canceled) && e.outcome == loadbalancer.TimedOut {
		r.table.Done(now, name, loadbalancer.Rejected, 0, false) // given up for another copy's answer: says nothing of it
		return e
	}
	r.table.Done(now, name, e.outcome, time.Since(began), q.Key == "")
	return e
}

// Close closes the connections to all servers.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		p.close()
	}
}

// States are the servers as they are known, and what was decided, for operators.
func (r *Runner) States() ([]loadbalancer.ServerState, loadbalancer.Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.States(r.clock()), r.table.Counts()
}

// Map is the map in force.
func (r *Runner) Map() *cells.Map { return r.cells.Load().Map }

// ---- Connections ----

// peer is a server with its connections.
type peer struct {
	name, addr string
	boot       atomic.Int64
	room       chan struct{} // of the router's connections to all servers
	dial       func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)

	mu    sync.Mutex
	conns []*msgpackrpc.Conn
}

// close closes the connections and gives their places back; there may be no peer.
func (p *peer) close() {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Close()
		<-p.room
	}
	p.conns = nil
}

// conn returns a connection with room for one more request, a new one where there is none.
func (p *peer) conn(ctx context.Context) (*msgpackrpc.Conn, error) {
	p.mu.Lock()
	kept := p.conns[:0]
	var found *msgpackrpc.Conn
	for _, c := range p.conns {
		room, usable := c.Capacity()
		if !usable {
			<-p.room
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
	case p.room <- struct{}{}:
	default:
		return nil, fmt.Errorf("connecting to %s: no connections left", p.name)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := p.dial(ctx, p.addr)
	if err != nil {
		<-p.room
		return nil, err
	}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	return c, nil
}

// send sends a try and waits for its end. Where the connection turns out to be closed as it is written to, the try goes
// out on a new one: nothing of it was read.
func (p *peer) send(ctx context.Context, t msgpackrpc.Attempt) (ending, map[string]string) {
	for crossed := 0; crossed < 2; {
		c, err := p.conn(ctx)
		if err != nil {
			return ending{outcome: refusing(ctx, err)}, nil
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
				return ending{outcome: loadbalancer.ConnectionLost}, nil
			}
			if a.Unprocessed() { // it crossed the end of a connection that had rested: proven that it never ran
				crossed++
				continue
			}
			return end(a), a.Fields
		case <-ctx.Done():
			c.Cancel(id)
			return ending{outcome: loadbalancer.TimedOut}, nil
		}
	}
	return ending{outcome: loadbalancer.NotSent}, nil
}

// refusing says what a connection that could not be had proves: nothing was sent, so nothing ran.
func refusing(_ context.Context, err error) loadbalancer.Outcome {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &op) {
		return loadbalancer.ConnectFailed
	}
	return loadbalancer.NotSent
}

func end(a msgpackrpc.Reply) ending {
	ms, _ := strconv.ParseInt(a.Fields["w"], 10, 64)
	switch a.Error {
	case "":
		return ending{outcome: loadbalancer.Served, body: a.Body}
	case "Full":
		return ending{
			outcome: loadbalancer.Rejected, away: time.Duration(ms) * time.Millisecond, final: a.Fields["l"] == "1", why: a.Fields["x"],
		}
	}
	return ending{outcome: loadbalancer.Failed}
}
