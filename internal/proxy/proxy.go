// Package proxy implements the Runner of a router: it forwards requests to the servers of a fleet over the platform's balancer protocol.
// Package policy/cells decides which servers a request belongs to, package policy/loadbalancer which of them gets an attempt; this package
// does the I/O. A request with an idempotency key that may have run is never sent to a server other than its home.
//
// forward.go has the path of a request, keyed.go and retries.go the attempts with and without a key, attempt.go and upstream.go one attempt
// at one server. maps.go has the map in force, which is loaded from a file (filesource.go) or from the group (groupsource.go) and stored
// across restarts (statefile.go). healthchecks.go and versions.go process what servers report in their answers.
package proxy

import (
	"context"
	"log"
	"sync"
	"sync/atomic"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/policy/quota"
	"silverpath/internal/transport/msgpackrpc"
)

// Events receives the results of requests. The core implements it.
type Events interface {
	RunnerReady()
	Class(name string) (silverpath.Class, bool)
	RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte)
	ForwardReturned(id string, a core.Answer, spent time.Duration)
	Gauges(g silverpath.Gauges)
	RetryAfter() time.Duration
}

// Config configures a Runner.
type Config struct {
	Name                string // identifies the router to servers and to the group
	Source              Source // of the cell map
	LoadBalancing       loadbalancer.Config
	Cores               int // assumed capacity of the whole fleet, in requests in flight
	HealthCheckInterval time.Duration
	MaxConnections      int // limit of the connections to all servers together
	// Dial opens a connection to a server; nil: over TCP.
	Dial func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)
}

const (
	dialTimeout        = 500 * time.Millisecond // several round trips on a poor link within the fleet; a server that takes longer is unusable
	healthCheckTimeout = time.Second            // longer than the pauses of a loaded server
	answerReserve      = 50 * time.Millisecond  // an attempt ends this long before the deadline, so that the caller still gets an answer
	minConnections     = 8                      // to all servers together, even if Config.MaxConnections is lower
	maxAttempts        = 4                      // of a request without a key, in sequence
)

// Runner forwards requests. Its methods may be called by several goroutines.
type Runner struct {
	cfg             Config
	events          Events
	log             *log.Logger
	stats           *metrics.Counters
	startedAt       time.Time
	current         atomic.Pointer[mapInForce]
	connectionSlots chan struct{}

	mu                  sync.Mutex // guards the fields below, up to lastHealthReport, except atomics and reloadSoon
	balancer            *loadbalancer.Balancer
	tenants             *loadbalancer.TenantLimiter
	quota               *quota.Holder // nil: this router shares its cells with no other
	upstreams           map[string]*upstream
	inFlight            atomic.Int64
	offeredWeight       atomic.Uint64 // sum of the priority weights of all answered requests, in thousandths
	servedWeight        atomic.Uint64 // the same for served requests
	loggedHealth        map[string]loadbalancer.Health
	versions            configstore.VersionTracker // versions of maps that were seen at other routers and servers
	reloadSoon          chan struct{}              // signals that a newer map was seen, so that the map is reloaded
	lastKeyedSent       atomic.Int64               // when a request with a key was last sent, as a time of clock
	healthCheckInterval atomic.Int64               // nanoseconds between two health checks of a server

	quotaCapacity    capacitySpan  // map and time span of the capacity that was last passed to quota
	lastHealthReport time.Duration // when the health of all servers was last compared with what was logged

	reloadMu       sync.Mutex // held by Reload
	loggedBadMapAt time.Time
}

var (
	_ core.Runner    = (*Runner)(nil)
	_ core.Forwarder = (*Runner)(nil)
)

// New returns a Runner with the map of cfg.Source, or an error if the source has none. Servers are not checked, and the map is not
// reloaded, until Maintain runs.
func New(cfg Config, events Events, l *log.Logger, s *metrics.Counters) (*Runner, error) {
	m, confirmedAt, err := cfg.Source.Load(nil)
	if err != nil {
		return nil, err
	}
	if cfg.Dial == nil {
		cfg.Dial = msgpackrpc.Dial
	}
	cfg.LoadBalancing.KeyWindow = m.OverlapWindow()
	r := &Runner{
		cfg: cfg, events: events, log: l, stats: s, startedAt: time.Now(),
		balancer: loadbalancer.New(cfg.LoadBalancing), tenants: loadbalancer.NewTenantLimiter(),
		upstreams: map[string]*upstream{}, loggedHealth: map[string]loadbalancer.Health{},
		reloadSoon: make(chan struct{}, 1), connectionSlots: make(chan struct{}, max(minConnections, cfg.MaxConnections)),
	}
	r.healthCheckInterval.Store(int64(cfg.HealthCheckInterval))
	r.activateMap(m, confirmedAt)
	return r, nil
}

// clock returns the time since an hour before the start, by the monotonic clock, so that 0 is always long ago.
func (r *Runner) clock() time.Duration { return r.clockAt(time.Now()) }

// clockAt returns a time by the clock. A time long before the start is negative.
func (r *Runner) clockAt(t time.Time) time.Duration { return t.Sub(r.startedAt) + time.Hour }

// Forward forwards a request in a new goroutine and reports its result to Events. It does not block.
func (r *Runner) Forward(req core.Request) {
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Add(-1)
		startedAt := time.Now()
		class, _ := r.events.Class(req.Class)
		a := r.route(req, class)
		weight := uint64(1000 * max(0, class.Weight))
		r.offeredWeight.Add(weight)
		if a.Outcome == core.Served {
			r.servedWeight.Add(weight)
			r.events.RunEnded(req.ID, silverpath.OK, time.Since(startedAt), a.Body)
		} else {
			r.events.ForwardReturned(req.ID, a, time.Since(startedAt))
		}
	}()
}

// Run does nothing. It implements core.Runner; the core calls Forward instead.
func (r *Runner) Run(string, string, []byte) {}

// Resume does nothing. It implements core.Runner; a forwarded request never waits for a call of this process.
func (r *Runner) Resume(string, []byte) {}

// Probe reports the gauges to Events. CPU is the requests in flight divided by Config.Cores, at most 1.
func (r *Runner) Probe() {
	n := float64(r.inFlight.Load())
	r.events.Gauges(silverpath.Gauges{CPU: min(1, n/float64(max(1, r.cfg.Cores))), RunnableTasks: n, Connections: n})
}

// Close closes the connections to all servers.
func (r *Runner) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		u.close()
	}
}

// States returns the state of each server and the counts of the load balancer's decisions, for operators.
func (r *Runner) States() ([]loadbalancer.ServerState, loadbalancer.Counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.balancer.States(r.clock()), r.balancer.Counts()
}

// Map returns the map in force.
func (r *Runner) Map() *cells.Map { return r.current.Load().Map }

// Retune replaces the load balancing configuration and the interval of health checks. It is called when the routing document has changed.
func (r *Runner) Retune(c loadbalancer.Config, healthCheckInterval time.Duration) {
	r.healthCheckInterval.Store(int64(healthCheckInterval))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.UpdateConfig(c)
}

// Goodput returns the sums of the priority weights of the answered and of the served requests since the start.
func (r *Runner) Goodput() configstore.Goodput {
	return configstore.Goodput{Offered: float64(r.offeredWeight.Load()) / 1000, Served: float64(r.servedWeight.Load()) / 1000}
}

// Readiness reports whether the map is within its lease, whether requests with a key may be sent, and whether the router has a lease of its
// quota. HasQuota is true too if the router shares its cells with no other.
func (r *Runner) Readiness() (hasMap, keyedAllowed, hasQuota bool) {
	m := r.current.Load()
	if m == nil {
		return false, false, false
	}
	hasMap = time.Since(m.confirmedAt) <= m.Lease
	keyedAllowed = hasMap && r.verdict(m) == configstore.VerdictValid
	r.mu.Lock()
	defer r.mu.Unlock()
	return hasMap, keyedAllowed, r.quota == nil || r.quota.HasLease(r.leaseClock())
}
