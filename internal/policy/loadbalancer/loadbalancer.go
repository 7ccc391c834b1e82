// Package loadbalancer decides which server of a cell gets an attempt of a request, and whether another attempt is allowed. It decides
// from what the router itself observes: requests in flight, answers, rejections, failures and health checks. It has no I/O, no clock and
// no goroutine: events come in with their time, decisions go out.
//
// Each rule has a file, with its inputs, units and reasons at the head:
//
//   - health.go: failure detection
//   - ejection.go: outlier ejection and the circuit breaker
//   - backpressure.go: limits that servers request
//   - selection.go: the choice of a server
//   - homes.go: requests that are sticky to the home of their idempotency key
//   - retrybudget.go and hedging.go: retries and hedged requests
//   - fairness.go: a cell shared by tenants
//
// docs/design/cells.md discusses the alternatives.
package loadbalancer

import (
	"math/rand/v2"
	"time"

	"silverpath/internal/policy/slowstart"
)

// Config configures a Balancer. A zero field selects its default.
type Config struct {
	RetryRatio      float64       // retries, as a ratio of first attempts; 0.1 by default
	HedgeRatio      float64       // hedged requests, as a ratio of first attempts; 0.05 by default
	MaxEjectedRatio float64       // ratio of a cell's servers that may be skipped as suspect or slow; 0.4 by default. It does not limit ejection
	PanicThreshold  float64       // health and ejection are ignored if a smaller ratio of the candidates is neither dead nor ejected; 0.5 by default
	SlowStart       time.Duration // ramp of a recovered server to its full share; 10 s by default. Servers also grant their own: policy/slowstart
	KeyWindow       time.Duration // period after the start of its run in which a request with an idempotency key may be repeated
	MaxInFlight     int           // maximum requests in flight to a server; 256 by default
	Seed            uint64        // seeds the random choice among servers
}

// Defaults of Config. The router's settings override them: retries, hedges, most_out, panic, slow_start_ms.
const (
	defaultRetryRatio      = 0.1              // a fault of all servers adds a tenth to their load instead of multiplying it
	defaultHedgeRatio      = 0.05             // the ratio of requests that take longer than the hedge delay
	defaultMaxEjectedRatio = 0.4              // the remaining servers carry the load of all
	defaultPanicThreshold  = 0.5              // with half of the servers lost, the fault is more likely shared or the router's own
	defaultSlowStart       = 10 * time.Second // about the time a process takes to fill its caches
	defaultMaxInFlight     = 256              // the requests of eight connections; beyond it they queue and are not served in time
)

// withDefaults returns the configuration with zero fields replaced by their defaults.
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

// Balancer holds a router's state of all servers. It is not safe for concurrent use: the proxy calls it under its lock. All times are
// those of the router's monotonic clock.
type Balancer struct {
	cfg     Config
	rng     *rand.Rand
	servers map[string]*server
	retries retryBudget
	hedges  retryBudget
	latency latencyQuantile
	counts  Counts
}

// server is the state of one server.
type server struct {
	name   string
	weight float64

	// Failure detection: health.go.
	health        Health
	failuresInRow int             // failed health checks and connections since the last answer
	healthChanges []time.Duration // times within flapWindow
	holdDownUntil time.Duration   // a flapping server does not become alive before then
	upSince       time.Duration   // when it became alive, restarted or returned from ejection; its slow start begins then

	// Attempts: ejection.go.
	inFlight      int
	latency       float64 // seconds, a moving average
	failureRatio  float64 // a moving average over recent attempts
	attempts      int     // since the server's process started
	circuit       Circuit
	openUntil     time.Duration // end of the open state
	ejections     int           // consecutive
	trialInFlight bool          // the one attempt of a half-open circuit is in flight

	// Limits that the server requested: backpressure.go.
	retryAfter map[string]time.Duration // by tenant; the server gets no request of the tenant before that time
	credit     float64                  // maximum requests in flight that the server announced; 0 if none

	// Incarnations: homes.go.
	boot        int64         // start of the process in Unix milliseconds, as it reports it; 0 if unknown
	lostKeysAt  time.Duration // latest time at which the previous process may have run requests with a key
	lostKeys    bool          // the previous process may have run such requests, and its record of them is lost; cleared if the window is over
	hasAnswered bool          // the server has answered this router; before that, a restart cannot be ruled out

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

// UpdateConfig applies new ratios and bounds after a change of the routing document. It keeps the state of the servers, the spent budgets, and
// the values of Seed and MaxInFlight that New was given and the key window.
func (b *Balancer) UpdateConfig(c Config) {
	c.KeyWindow, c.Seed, c.MaxInFlight = b.cfg.KeyWindow, b.cfg.Seed, b.cfg.MaxInFlight
	b.cfg = c.withDefaults()
	b.retries.ratio, b.hedges.ratio = b.cfg.RetryRatio, b.cfg.HedgeRatio
}

// SetServers sets the servers and their weights. It is called with each new cell map. A server that is in the previous and the new map
// keeps its state.
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

// InFlight returns the number of attempts in flight to a server.
func (b *Balancer) InFlight(name string) int {
	if s := b.servers[name]; s != nil {
		return s.inFlight
	}
	return 0
}
