// Package proxy is the Runner of a router: it hands requests on to the servers of a fleet over the platform's balancer
// protocol. Which server a request belongs to is decided by cells, which of several gets a try by routing; this package
// carries it out. Once a sheet may have run, nobody but its home is asked for it again.
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

// Run is not called: see Forward.
func (r *Runner) Run(string, string, []byte) {}

// Resume is never asked: runs of the fleet wait for no call of ours.
func (r *Runner) Resume(string, []byte) {}

// Probe reports the gauges: what is out there, for each core that the fleet is taken to have.
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

// Retune takes up other ways of choosing and trying.
func (r *Runner) Retune(c loadbalancer.Config, probe time.Duration) {
	r.healthCheckInterval.Store(int64(probe))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.Retune(c)
}

// Goodput is what was asked for and served since the start.
func (r *Runner) Goodput() configstore.Goodput {
	return configstore.Goodput{Offered: float64(r.offeredWeight.Load()) / 1000, Served: float64(r.servedWeight.Load()) / 1000}
}

// Readiness is how far a router has come since its start: whether its map holds, whether sheets may be sent by it, and whether it has
// its parts of what routers share.
func (r *Runner) Readiness() (mapped, sure, shared bool) {
	m := r.current.Load()
	if m == nil {
		return false, false, false
	}
	mapped = time.Since(m.confirmedAt) <= m.Lease
	sure = mapped && r.verdict(m) == configstore.VerdictValid
	r.mu.Lock()
	defer r.mu.Unlock()
	return mapped, sure, r.quota == nil || r.quota.HasLease(r.leaseClock())
}
