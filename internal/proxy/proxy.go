// Package proxy is the Runner of a router: it forwards requests to the servers of a fleet over the platform's balancer protocol. Which
// server a request belongs to is decided by policy/cells, which of several gets an attempt by policy/loadbalancer; this package carries
// it out. Once a request with an idempotency key may have run, nobody but its home is asked for it again.
//
// forward.go is the way of a request, keyed.go and retries.go its attempts with and without a key, attempt.go and upstream.go one attempt
// at one server. maps.go has the map in force, which comes from a file (filesource.go) or from the group (groupsource.go) and is kept over
// a restart (statefile.go); healthchecks.go and versions.go what servers tell.
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

// Events is who is told what became of requests: the core.
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
	Name                string // by which servers and the group know it
	Source              Source // of the cell map
	LoadBalancing       loadbalancer.Config
	Cores               int // requests in flight that the whole fleet is taken to have capacity for
	HealthCheckInterval time.Duration
	MaxConnections      int // connections to all servers at most
	// Dial opens a connection to a server; nil: over TCP.
	Dial func(ctx context.Context, addr string) (*msgpackrpc.Conn, error)
}

const (
	dialTimeout        = 500 * time.Millisecond // several round trips on a poor link within the fleet; a server that takes longer is no use
	healthCheckTimeout = time.Second            // longer than a pause of a loaded server
	answerReserve      = 50 * time.Millisecond  // before its deadline an attempt is given up, so that its caller still gets an answer
	minConnections     = 8                      // to all servers, whatever few descriptors there are
	maxAttempts        = 4                      // of a request without a key, one after the other
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

	mu                  sync.Mutex // of what follows, but for the atomics
	balancer            *loadbalancer.Balancer
	tenants             *loadbalancer.TenantLimiter
	quota               *quota.Holder // nil: it shares its cells with no other routers
	upstreams           map[string]*upstream
	inFlight            atomic.Int64
	offeredWeight       atomic.Uint64 // priority weight, in thousandths, of all requests that have been answered
	servedWeight        atomic.Uint64 // and of those that were served
	loggedHealth        map[string]loadbalancer.Health
	versions            configstore.VersionTracker // of the maps of others
	reloadSoon          chan struct{}              // the map is to be read again, as a newer one was heard of
	lastKeyedSent       atomic.Int64               // when a request with a key was last sent, by the clock
	healthCheckInterval atomic.Int64               // nanoseconds between two health checks of a server

	quotaCapacity    capacitySpan  // of which the quota was told the capacity
	lastHealthReport time.Duration // when the health of all servers was last compared with what was logged

	reading        sync.Mutex // held while the map is read
	loggedBadMapAt time.Time
}

var (
	_ core.Runner    = (*Runner)(nil)
	_ core.Forwarder = (*Runner)(nil)
)

// New returns a runner with the map that its source has. It is an error where the source has none. Nothing is checked or read again until
// Maintain runs.
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
	r.useMap(m, confirmedAt)
	return r, nil
}

// clock is the router's monotonic clock. It begins at an hour, so that 0 is long ago.
func (r *Runner) clock() time.Duration { return time.Since(r.startedAt) + time.Hour }

// Forward forwards a request, and tells Events of its end. It does not block.
func (r *Runner) Forward(q core.Request) {
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Add(-1)
		startedAt := time.Now()
		class, _ := r.events.Class(q.Class)
		a := r.route(q, class)
		weight := uint64(1000 * max(0, class.Weight))
		r.offeredWeight.Add(weight)
		if a.Outcome == core.Served {
			r.servedWeight.Add(weight)
			r.events.RunEnded(q.ID, silverpath.OK, time.Since(startedAt), a.Body)
		} else {
			r.events.ForwardReturned(q.ID, a, time.Since(startedAt))
		}
	}()
}

// Run is not called: see Forward.
func (r *Runner) Run(string, string, []byte) {}

// Resume is never called: runs of the fleet wait for no call of ours.
func (r *Runner) Resume(string, []byte) {}

// Probe reports the gauges: requests in flight, for each core that the fleet is taken to have.
func (r *Runner) Probe() {
	n := float64(r.inFlight.Load())
	r.events.Gauges(silverpath.Gauges{CPU: min(1, n/float64(max(1, r.cfg.Cores))), OnCores: n, Connections: n})
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

// Retune takes up another load balancing configuration and interval of health checks, after a change of the routing document.
func (r *Runner) Retune(c loadbalancer.Config, healthCheckInterval time.Duration) {
	r.healthCheckInterval.Store(int64(healthCheckInterval))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Retune(c)
}

// Goodput is what was asked for and served since the start, by priority weight.
func (r *Runner) Goodput() configstore.Goodput {
	return configstore.Goodput{Offered: float64(r.offeredWeight.Load()) / 1000, Served: float64(r.servedWeight.Load()) / 1000}
}

// Readiness is how far a router has come since its start: whether its map is within its lease, whether requests with a key may be sent by
// it, and whether it has its quota where routers share cells.
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
