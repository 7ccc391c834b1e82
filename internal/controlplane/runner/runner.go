// Package runner runs the fleet's leased controllers (duties) in a process: it acquires and renews their leases and carries
// out the controllers' actions. Package controller decides the actions, package lease decides which process holds a duty.
//
// Each duty has one goroutine for its lease and one for its work, so that a slow action delays neither a renewal nor another
// duty. All goroutines end with the context of Run, which waits for them.
package runner

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
)

// Config sets up a runner.
type Config struct {
	Name  string // of the process, the same across restarts
	Set   settings.Runner
	Group *quorum.Client
	Log   zerolog.Logger
	Stats *metrics.Counters
	Rate  float64 // speed of its clock relative to real time, for tests; 0 means 1
}

// BoundaryHook is called at each boundary of an action. Test programs set it to stop the process there. The boundaries are:
//   - check: before the last check of the lease
//   - write: after that check, before a journal entry is written
//   - intent: the entry is written, the action is not made
//   - act: the action is made, its outcome is not written
var BoundaryHook = func(duty, at string, step uint64) {}

// WallClock returns the wall clock time that maps are made with. Test programs replace it.
var WallClock = time.Now

// requestTimeout is the timeout of a request to the group. It is longer than an election, so that a request survives a
// change of the leader.
const requestTimeout = 2 * time.Second

// groupRetryInterval is the pause between requests at the start while the group is unreachable or not founded.
const groupRetryInterval = time.Second

// Runner is a process that holds duties or waits to acquire them.
type Runner struct {
	cfg       Config
	process   string // Config.Name and a token that is unique to this start
	startedAt time.Time
	maps      proxy.VersionDir

	mu            sync.Mutex // protects the observations below
	servers       []controller.RolloutServer
	mapVersion    int
	rolloutActive bool // servers are probed while it is set
	readiness     map[string]controller.Readiness
	monitor       controller.Monitor
	loads         map[string]controller.WeightedLoad // by router: cumulative since the router's start, as last reported
	verdicts      map[string]controller.Verdict      // of the last check; nil before the first and after a failed submission
}

// processTokenBytes is the size of the random token that distinguishes the starts of a process.
const processTokenBytes = 4

// New returns a runner. Its process name in the group is unique to this start: after a restart the group sees another
// process.
func New(cfg Config) *Runner {
	var token [processTokenBytes]byte
	rand.Read(token[:]) // never returns an error: it crashes the program instead
	if cfg.Rate == 0 {
		cfg.Rate = 1
	}
	return &Runner{
		cfg: cfg, process: cfg.Name + "#" + hex.EncodeToString(token[:]), startedAt: time.Now(), maps: proxy.VersionDir{Dir: cfg.Set.Map},
		readiness: map[string]controller.Readiness{}, loads: map[string]controller.WeightedLoad{},
		monitor: controller.Monitor{Routers: cfg.Set.Routers, DeadAfter: cfg.Set.DeadAfter, MaxReportAge: maxReportAge},
	}
}

// clock returns the time since the start by the runner's monotonic clock.
func (r *Runner) clock() time.Duration {
	return time.Duration(float64(time.Since(r.startedAt)) * r.cfg.Rate)
}

// Run acquires the configured duties and carries out their work until the context ends. It then releases them and returns.
func (r *Runner) Run(ctx context.Context) {
	terms := r.leaseTerms(ctx)
	var goroutines sync.WaitGroup
	for _, name := range r.cfg.Set.Controllers {
		d := &duty{Runner: r, name: name, holder: lease.NewHolder(name, r.process, terms),
			log: r.cfg.Log.With().Str("process", r.cfg.Name).Str("duty", name).Logger()}
		goroutines.Go(func() { d.maintainLease(ctx) })
		goroutines.Go(func() { d.work(ctx) })
	}
	if len(r.cfg.Set.Routers) > 0 {
		goroutines.Go(func() { r.pollRouters(ctx) })
	}
	goroutines.Go(func() { r.probeServers(ctx) })
	goroutines.Wait()
}

// leaseTerms asks the group for its lease terms until it answers or the context ends.
func (r *Runner) leaseTerms(ctx context.Context) (terms lease.Terms) {
	for ctx.Err() == nil && terms.TTL == 0 {
		requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		view, err := r.cfg.Group.Read(requestCtx, "")
		cancel()
		if terms = view.Terms; err != nil || terms.TTL == 0 {
			r.cfg.Log.Warn().Str("event", "owner.no_group").Err(err).Send()
			sleep(ctx, groupRetryInterval)
		}
	}
	return terms
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// duty is one leased controller of a runner.
type duty struct {
	*Runner
	name string
	log  zerolog.Logger

	mu               sync.Mutex // protects holder and actionInProgress
	holder           *lease.Holder
	actionInProgress bool // an action is in progress, from beginAction to endAction

	// The fields below are used by the goroutine of work only.
	placement     controller.Placement
	rollout       controller.Rollout
	putFailures   int                     // consecutive failures to write a version of the map
	loggedError   string                  // the error that was logged last
	sampledLoad   controller.WeightedLoad // of all routers, at the last sample
	loadSampledAt time.Duration           // time of the last sample
}
