// Package runner holds duties of the fleet for a process: it keeps their leases and carries out what their controllers decide. What is
// decided is in package controller, who holds a duty in package lease.
//
// Each duty has one goroutine for its lease and one for its work, so that nothing that an action waits for holds up a renewal, or
// another duty. All goroutines end with the context of Run, which waits for them.
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
	Name  string // of the process, for good
	Set   settings.Runner
	Group *quorum.Client
	Log   zerolog.Logger
	Stats *metrics.Counters
	Rate  float64 // of its clock, for tests; 0: 1
}

// Boundary is called at every boundary of an action, in test programs only, which stop the process there: "check" (before it looks
// whether it still holds the duty), "write" (after that, before a journal entry), "intent" (the entry is written), "act" (the action is
// made, and its outcome not written).
var Boundary = func(duty, at string, step uint64) {}

// Wall is the wall clock by which maps are made; test programs set another one.
var Wall = time.Now

// requestTimeout is how long the group is asked: longer than an election takes, so that a request outlasts a change of the leader.
const requestTimeout = 2 * time.Second

// noGroupPause is the pause between two questions to a group that is not there, or not founded, at the start.
const noGroupPause = time.Second

// Runner is a process that holds duties, or waits for them.
type Runner struct {
	cfg       Config
	process   string // the name of this start
	startedAt time.Time
	maps      proxy.VersionDir

	mu            sync.Mutex // of what follows: what was observed
	servers       []controller.RolloutServer
	mapVersion    int
	rolloutActive bool // a rollout is under way: servers are probed
	readiness     map[string]controller.Readiness
	monitor       controller.Monitor
	loads         map[string]controller.WeightedLoad // by router, since its start, as it last said
	verdicts      map[string]controller.Verdict      // as last looked at; nil: they are all to be looked at anew
}

// processTokenBytes tell the starts of a process apart.
const processTokenBytes = 4

// New returns a runner. The process that the group knows it by is this start of it: another start is another process.
func New(cfg Config) *Runner {
	var token [processTokenBytes]byte
	rand.Read(token[:]) // it never fails: it ends the program instead
	if cfg.Rate == 0 {
		cfg.Rate = 1
	}
	return &Runner{
		cfg: cfg, process: cfg.Name + "#" + hex.EncodeToString(token[:]), startedAt: time.Now(), maps: proxy.VersionDir{Dir: cfg.Set.Map},
		readiness: map[string]controller.Readiness{}, loads: map[string]controller.WeightedLoad{},
		monitor: controller.Monitor{Routers: cfg.Set.Routers, DeadAfter: cfg.Set.DeadAfter, MaxReportAge: maxReportAge},
	}
}

// clock is the runner's monotonic clock.
func (r *Runner) clock() time.Duration {
	return time.Duration(float64(time.Since(r.startedAt)) * r.cfg.Rate)
}

// Run holds what duties it can until the context ends, and releases them then.
func (r *Runner) Run(ctx context.Context) {
	terms := r.leaseTerms(ctx)
	var all sync.WaitGroup
	for _, name := range r.cfg.Set.Controllers {
		d := &duty{Runner: r, name: name, holder: lease.NewHolder(name, r.process, terms),
			log: r.cfg.Log.With().Str("process", r.cfg.Name).Str("duty", name).Logger()}
		all.Go(func() { d.keepLease(ctx) })
		all.Go(func() { d.work(ctx) })
	}
	if len(r.cfg.Set.Routers) > 0 {
		all.Go(func() { r.pollRouters(ctx) })
	}
	all.Go(func() { r.probeServers(ctx) })
	all.Wait()
}

// leaseTerms asks the group for the terms of its leases until it answers, or the context ends.
func (r *Runner) leaseTerms(ctx context.Context) (terms lease.Terms) {
	for ctx.Err() == nil && terms.TTL == 0 {
		asking, cancel := context.WithTimeout(ctx, requestTimeout)
		v, err := r.cfg.Group.Read(asking, "")
		cancel()
		if terms = v.Terms; err != nil || terms.TTL == 0 {
			r.cfg.Log.Warn().Str("event", "owner.no_group").Err(err).Send()
			pause(ctx, noGroupPause)
		}
	}
	return terms
}

// pause waits, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// duty is one duty of a runner.
type duty struct {
	*Runner
	name string
	log  zerolog.Logger

	mu     sync.Mutex // of holder and acting
	holder *lease.Holder
	acting bool // between its check and the end of its action

	// The rest is the work's.
	placement   controller.Placement
	rollout     controller.Rollout
	putFailures int                     // of a version of the map, in a row
	lastError   string                  // as last logged
	totalLoad   controller.WeightedLoad // of all routers, when the rollout last looked
	loadAt      time.Duration           // when that was
}
