// Package loadbalancer decides which server of a cell gets an attempt of a request, and whether there may be another attempt: from
// what a router observes itself (requests in flight, answers, rejections, failures and health checks). It has no I/O, no clock and no
// goroutine: events come in with their time, decisions go out.
//
// Each rule has a file, with its inputs, units and reasons at the head: health.go (failure detection), ejection.go (outlier ejection
// and the circuit breaker), backpressure.go (what servers ask for), selection.go (the choice among servers), homes.go (servers that
// are sticky for an idempotency key), retrybudget.go, hedging.go and fairness.go (a cell shared among tenants). docs/design/cells.md
// weighs the alternatives.
package loadbalancer

import (
	"math/rand/v2"
	"time"

	"silverpath/internal/policy/slowstart"
)

// Config sets up a Balancer. 0 stands for the default.
type Config struct {
	RetryRatio      float64       // retries, as a ratio of first attempts; 0.1 by default
	HedgeRatio      float64       // hedged requests, as a ratio of first attempts; 0.05 by default
	MaxEjectedRatio float64       // of a cell's servers that may be left out at once as suspect or slow; 0.4 by default. Ejection is bounded by PanicThreshold
	PanicThreshold  float64       // ratio of a cell's servers in use under which health is ignored; 0.5 by default
	SlowStart       time.Duration // until a server that came back gets its whole share from this router; 10 s by default. A server that warms up grants its own: policy/slowstart
	KeyWindow       time.Duration // a request with an idempotency key may be repeated for so long after its run began
	MaxInFlight     int           // requests in flight to a server at once; 256 by default
	Seed            uint64        // of the draws among servers
}

// Defaults of Config. An operator changes them in the router's settings: retries, hedges, most_out, panic, slow_start_ms.
const (
	defaultRetryRatio      = 0.1              // a fault of all servers costs a tenth more load, not a multiple
	defaultHedgeRatio      = 0.05             // as many as requests that take longer than the hedge delay
	defaultMaxEjectedRatio = 0.4              // the servers that stay have to carry the load of all
	defaultPanicThreshold  = 0.5              // with half gone, the fault is more likely shared, or the router's own
	defaultSlowStart       = 10 * time.Second // as long as a process takes to fill its caches
	defaultMaxInFlight     = 256              // eight connections' worth; beyond it a queue grows that nobody drains in time
)

// withDefaults is the configuration with defaults where it has zeros.
func (c Config) withDefaults() Config {
	setDefault := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	setDefault(&c.RetryRatio, defaultRetryRatio)
	setDefault(&c.HedgeRatio, defaultHedgeRatio)
	setDefault(&c.MaxEjectedRatio, defaultMaxEjectedRatio)
	setDefault(&c.PanicThreshold, defaultPanicThreshold)
	if c.SlowStart == 0 {
		c.SlowStart = defaultSlowStart
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = defaultMaxInFlight
	}
	return c
}

// Balancer holds what a router knows of all servers. It is not safe for concurrent use: the proxy calls it under its lock. All times
// are the router's monotonic clock.
type Balancer struct {
	cfg     Config
	rng     *rand.Rand
	servers map[string]*server
	retries retryBudget
	hedges  retryBudget
	latency latencyQuantile
	counts  Counts
}

// server is what is known of one server.
type server struct {
	name   string
	weight float64

	// Failure detection: health.go.
	health        Health
	failuresInRow int             // health checks and connections that failed since the last answer
	healthChanges []time.Duration // of health, within flapWindow
	holdDownUntil time.Duration   // not alive again before then, as it flaps
	upSince       time.Duration   // it came up, or back from ejection: its slow start is measured from then

	// Attempts: ejection.go.
	inFlight      int
	latency       float64 // seconds, a moving average
	failureRatio  float64 // of recent attempts, a moving average
	attempts      int     // since it came up
	circuit       Circuit
	openUntil     time.Duration // the circuit is open until then
	ejections     int           // in a row
	trialInFlight bool          // the one attempt of a half-open circuit is in flight

	// What it asked for: backpressure.go.
	retryAfter map[string]time.Duration // by tenant: it gets nothing of the tenant until then
	credit     float64                  // requests that it wants in flight at most; 0: it has not said

	// Incarnations: homes.go.
	boot        int64         // Unix milliseconds of its start, as it says; 0: it has not said
	lostKeysAt  time.Duration // an incarnation that may have run keyed requests was last there then
	lostKeys    bool          // such an incarnation is gone with what it knew
	hasAnswered bool          // this router has heard of it: until then nobody knows whether it started anew

	warmup slowstart.Caller
}

// New returns a balancer without servers.
func New(c Config) *Balancer {
	c = c.withDefaults()
	return &Balancer{
		cfg: c, rng: rand.New(rand.NewPCG(c.Seed, 6)), servers: map[string]*server{},
		retries: retryBudget{ratio: c.RetryRatio, tokens: budgetMinTokens}, hedges: retryBudget{ratio: c.HedgeRatio, tokens: budgetMinTokens},
	}
}

// Retune takes up other ratios and bounds after a change of the routing document. What is known of servers, and what was spent of
// budgets, stays; KeyWindow, Seed and MaxInFlight stay as they were at the start.
func (b *Balancer) Retune(c Config) {
	c.KeyWindow, c.Seed, c.MaxInFlight = b.cfg.KeyWindow, b.cfg.Seed, b.cfg.MaxInFlight
	b.cfg = c.withDefaults()
	b.retries.ratio, b.hedges.ratio = b.cfg.RetryRatio, b.cfg.HedgeRatio
}

// SetServers sets the servers that there are, with their weights; it is called with each new cell map. A server that stays keeps all
// that is known of it.
func (b *Balancer) SetServers(now time.Duration, weights map[string]float64) {
	for name := range b.servers {
		if _, stays := weights[name]; !stays {
			delete(b.servers, name)
		}
	}
	for name, w := range weights {
		if s := b.servers[name]; s != nil {
			s.weight = w
			continue
		}
		b.servers[name] = &server{name: name, weight: w, latency: initialLatency.Seconds(), upSince: now - b.cfg.SlowStart}
	}
}

// InFlight is the number of attempts that are in flight to a server.
func (b *Balancer) InFlight(name string) int {
	if s := b.servers[name]; s != nil {
		return s.inFlight
	}
	return 0
}
