// Package configwatch has a process act on the documents that a group agrees on: it asks the group again and again, and carries out what
// policy/configstore's Replica decides. sync.go is one round, stop.go when nothing exclusive begins, parts.go fetches missing parts.
package configwatch

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"log"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
)

// Document is what a process does with a document that it uses.
type Document struct {
	Format int                     // the highest that it reads
	Check  func(text string) error // an error tells why this process can't act on a text
	Apply  func(text string) error // acts on it from now on

	// The same of a document in parts, by the parts that differ from what was applied last; whole says that they are all that there are.
	// They are nil where the process uses it in no parts.
	CheckParts func(changed map[string]string, whole bool) error
	ApplyParts func(id configstore.ID, changed map[string]string, whole bool) error
}

// Config sets up a Watcher.
type Config struct {
	Name         string // of the process
	Group        *quorum.Client
	Documents    map[string]Document
	Goodput      func() configstore.Goodput // since the start; nil: it reports none
	OnConfirmed  func(asked time.Time)      // called with when the group was asked, each time that its answer confirmed what is active; nil: nobody
	MaxClockSkew func() time.Duration       // between two processes, where times in documents count; nil: they do not
	Quota        QuotaClient                // where the process shares cells with others; nil: it does not
	Log          *log.Logger
	Stats        *metrics.Counters
}

// QuotaClient is a process that is lent a quota.
type QuotaClient interface {
	// QuotaRequest returns its request to the group's leader, and what to call with the grant that answers it.
	QuotaRequest() (r quota.Request, granted func(g quota.Grant, t lease.Terms))
}

// Formats has a process take other formats for those that it reads, DisabledGuards has it do without guards, Rate has its clock run fast
// or slow, and Wall is its wall clock, in test programs only.
var (
	Formats        map[string]int
	DisabledGuards configstore.DisabledGuards
	Rate           = 1.0
	Wall           = time.Now
)

const (
	requestTimeout = time.Second            // longer than a change of the group's leader takes to be noticed
	retryInterval  = 100 * time.Millisecond // between two requests while the group does not answer
	minInterval    = 10 * time.Millisecond  // between two requests, whatever the lease
)

// Watcher has one process act on documents. Its methods may be called by several goroutines.
type Watcher struct {
	cfg   Config
	began time.Time

	// What decides whether a request with a key begins, read without the lock: stop.go.
	confirmedUntil atomic.Int64                              // by clock, nanoseconds
	paused         atomic.Pointer[[]*configstore.PauseScope] // while a change quiesces
	clockApart     atomic.Bool                               // its wall clock is further from the leader's than documents allow

	mu                 sync.Mutex
	replica            *configstore.Replica
	loggedReason       string // why nothing exclusive begins, as last logged
	loggedAt           time.Duration
	longestUnconfirmed time.Duration // time that it was unconfirmed
	conflictBound      time.Duration
	loggedError        string // what went wrong, as last logged
	observedSkew       time.Duration
}

// New returns a watcher of a process that is not confirmed. It asks nothing before Run or WaitCurrent.
func New(cfg Config) *Watcher {
	var b [4]byte
	rand.Read(b[:])
	formats := map[string]int{}
	for name, d := range cfg.Documents {
		formats[name] = d.Format
		if n, other := Formats[name]; other {
			formats[name] = n
		}
	}
	w := &Watcher{
		cfg: cfg, began: time.Now(), loggedReason: configstore.StopUnconfirmed,
		replica: configstore.NewReplica(cfg.Name+"#"+hex.EncodeToString(b[:]), formats),
	}
	w.paused.Store(&[]*configstore.PauseScope{})
	w.replica.Disabled = DisabledGuards
	w.replica.CheckParts = func(name string, changed map[string]string, whole bool) error {
		if d := w.cfg.Documents[name]; d.CheckParts != nil {
			return d.CheckParts(changed, whole)
		}
		return errors.New("this process takes it in no parts")
	}
	return w
}

// clock is the process's monotonic clock.
func (w *Watcher) clock() time.Duration {
	return time.Duration(float64(time.Since(w.began)) * Rate)
}

// Run asks the group until the context ends, and fetches parts that are missing in between.
func (w *Watcher) Run(ctx context.Context) {
	go w.watchConfirmation(ctx)
	for ctx.Err() == nil {
		wait := retryInterval
		if w.sync(ctx) {
			w.mu.Lock()
			wait = max(minInterval, w.replica.PollInterval())
			w.mu.Unlock()
		}
		w.logStopReason()
		w.fetchUntil(ctx, time.Now().Add(wait))
	}
}

// WaitCurrent asks until the group has answered and the process acts on all that is active, or the context ends; it reports false then.
func (w *Watcher) WaitCurrent(ctx context.Context) bool {
	for {
		answered := w.sync(ctx)
		w.mu.Lock()
		here := answered && w.replica.IsCurrent()
		w.mu.Unlock()
		if here {
			return true
		}
		w.fetchUntil(ctx, time.Now().Add(retryInterval))
		if ctx.Err() != nil {
			return false
		}
	}
}

// Status is which versions the process acts on, and whether it is confirmed, as a JSON object for operators.
func (w *Watcher) Status() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("who", a.NewString(w.replica.Name))
	o.Set("stops", a.NewString(w.StopReason()))
	o.Set("confirmed_ms_ago", a.NewNumberInt(int((now - w.replica.LastConfirmed()).Milliseconds())))
	o.Set("bound_ms", a.NewNumberInt(int(w.conflictBound.Milliseconds())))
	o.Set("longest_unconfirmed_ms", a.NewNumberInt(int(w.longestUnconfirmed.Milliseconds())))
	o.Set("clock_off_ms", a.NewNumberInt(int(w.observedSkew.Milliseconds())))
	active, list := w.replica.ActiveVersions(), a.NewObject()
	for _, name := range slices.Sorted(maps.Keys(active)) {
		list.Set(name, a.NewNumberInt(active[name]))
	}
	o.Set("acts", list)
	if old := w.replica.OutdatedVersions(); len(old) > 0 {
		list := a.NewObject()
		for _, name := range slices.Sorted(maps.Keys(old)) {
			list.Set(name, a.NewNumberInt(old[name]))
		}
		o.Set("old", list) // it acts on these while parts of what is active are missing
	}
	return o.MarshalTo(nil)
}
