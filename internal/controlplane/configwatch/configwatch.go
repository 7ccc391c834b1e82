// Package configwatch applies the configuration documents that a group agrees on to a process. It polls the group and
// carries out the decisions of policy/configstore's Replica. sync.go is one poll, stop.go decides whether exclusive work may
// begin, parts.go fetches missing parts of documents.
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

// Document describes how a process handles one of the documents that it uses.
type Document struct {
	Format int                     // the highest format that the process reads
	Check  func(text string) error // returns why the process can't act on the text, nil if it can
	Apply  func(text string) error // makes the process act on the text

	// CheckParts and ApplyParts are Check and Apply for a document in parts. They receive the parts that differ from those
	// that were applied last, or all parts if complete is true. They are nil if the process does not use the document in parts.
	CheckParts func(changed map[string]string, complete bool) error
	ApplyParts func(id configstore.ID, changed map[string]string, complete bool) error
}

// Config configures a Watcher.
type Config struct {
	Name         string // of the process
	Group        *quorum.Client
	Documents    map[string]Document
	Goodput      func() configstore.Goodput  // cumulative since the start; nil: none is reported
	OnConfirmed  func(requestedAt time.Time) // called with the time of each request whose answer confirmed the active versions; may be nil
	MaxClockSkew func() time.Duration        // limit between two processes; nil: no document depends on wall clock times
	Quota        QuotaClient                 // nil: the process shares no cells with other processes
	Log          *log.Logger
	Stats        *metrics.Counters
}

// QuotaClient requests a quota from the group's leader and applies the grant.
type QuotaClient interface {
	// QuotaRequest returns the request for the next poll, and a function to call with the grant in the answer.
	QuotaRequest() (r quota.Request, granted func(g quota.Grant, t lease.Terms))
}

// Test programs set these variables. FormatOverrides overrides the highest format that the process reads, by
// document. DisabledGuards disables guards of the replica. ClockRate is the speed of the process's clock relative to real time.
// WallClock is its wall clock.
var (
	FormatOverrides map[string]int
	DisabledGuards  configstore.DisabledGuards
	ClockRate       = 1.0
	WallClock       = time.Now
)

const (
	requestTimeout = time.Second            // longer than it takes to detect a change of the group's leader
	retryInterval  = 100 * time.Millisecond // between requests while the group does not answer
	minInterval    = 10 * time.Millisecond  // lower bound of the interval between polls, for short leases
)

// Watcher polls the group for one process and applies the documents. Its methods are safe for concurrent use.
type Watcher struct {
	cfg       Config
	startedAt time.Time

	// These fields decide whether a request with a key may begin. They are read without the lock: see stop.go.
	confirmedUntil atomic.Int64                              // nanoseconds of clock
	paused         atomic.Pointer[[]*configstore.PauseScope] // scopes that are paused while a change quiesces
	clockSkewed    atomic.Bool                               // the wall clock differs from the leader's by more than documents allow

	mu                 sync.Mutex
	replica            *configstore.Replica
	loggedReason       string        // the stop reason that was logged last, empty if exclusive work may begin
	reasonChangedAt    time.Duration // when loggedReason last changed
	longestUnconfirmed time.Duration // longest period without a confirmation
	conflictBound      time.Duration // configstore.Terms.ConflictBound of the group's terms
	loggedError        string        // the kind of error that was logged last, empty after a success
	observedSkew       time.Duration // largest difference from the leader's wall clock
}

// New returns a watcher of an unconfirmed process. It sends no request before Run or WaitCurrent is called.
func New(cfg Config) *Watcher {
	var token [4]byte
	rand.Read(token[:])
	formats := map[string]int{}
	for name, doc := range cfg.Documents {
		formats[name] = doc.Format
		if format, overridden := FormatOverrides[name]; overridden {
			formats[name] = format
		}
	}
	w := &Watcher{
		cfg: cfg, startedAt: time.Now(), loggedReason: configstore.StopUnconfirmed,
		replica: configstore.NewReplica(cfg.Name+"#"+hex.EncodeToString(token[:]), formats),
	}
	w.paused.Store(&[]*configstore.PauseScope{})
	w.replica.Disabled = DisabledGuards
	w.replica.CheckParts = func(name string, changed map[string]string, complete bool) error {
		if doc := w.cfg.Documents[name]; doc.CheckParts != nil {
			return doc.CheckParts(changed, complete)
		}
		return errors.New("this process takes it in no parts")
	}
	return w
}

// clock returns the time since the start by the process's monotonic clock.
func (w *Watcher) clock() time.Duration {
	return time.Duration(float64(time.Since(w.startedAt)) * ClockRate)
}

// Run polls the group until the context ends, and fetches missing parts between polls.
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

// WaitCurrent polls the group until the process acts on all active versions and returns true. It returns false if the
// context ends first.
func (w *Watcher) WaitCurrent(ctx context.Context) bool {
	for {
		answered := w.sync(ctx)
		w.mu.Lock()
		current := answered && w.replica.IsCurrent()
		w.mu.Unlock()
		if current {
			return true
		}
		w.fetchUntil(ctx, time.Now().Add(retryInterval))
		if ctx.Err() != nil {
			return false
		}
	}
}

// Status returns a JSON object for operators: the versions that the process acts on and the state of its confirmation.
func (w *Watcher) Status() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock()
	var arena fastjson.Arena
	status := arena.NewObject()
	status.Set("who", arena.NewString(w.replica.Name))
	status.Set("stops", arena.NewString(w.StopReason()))
	status.Set("confirmed_ms_ago", arena.NewNumberInt(int((now - w.replica.LastConfirmed()).Milliseconds())))
	status.Set("bound_ms", arena.NewNumberInt(int(w.conflictBound.Milliseconds())))
	status.Set("longest_unconfirmed_ms", arena.NewNumberInt(int(w.longestUnconfirmed.Milliseconds())))
	status.Set("clock_off_ms", arena.NewNumberInt(int(w.observedSkew.Milliseconds())))
	active, list := w.replica.ActiveVersions(), arena.NewObject()
	for _, name := range slices.Sorted(maps.Keys(active)) {
		list.Set(name, arena.NewNumberInt(active[name]))
	}
	status.Set("acts", list)
	if outdated := w.replica.OutdatedVersions(); len(outdated) > 0 {
		list := arena.NewObject()
		for _, name := range slices.Sorted(maps.Keys(outdated)) {
			list.Set(name, arena.NewNumberInt(outdated[name]))
		}
		status.Set("old", list) // versions that the process acts on while parts of the active ones are missing
	}
	return status.MarshalTo(nil)
}
