// Package configwatch has a process act on the documents that a group agrees on: it asks the group, and carries out what
// configstore.Holder decides.
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
	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
)

// Document is what a process does with one.
type Document struct {
	Format int                     // the highest that it reads
	Check  func(text string) error // names why this process can't act on a text
	Apply  func(text string) error // acts on it from now on

	// Of one in parts the same, by the parts that differ from what was taken last. Whole: they are all that there are. nil: it is in none.
	CheckParts func(changed map[string]string, whole bool) error
	ApplyParts func(id configstore.ID, changed map[string]string, whole bool) error
}

// Config sets up a Follower.
type Config struct {
	Name         string
	Group        *quorum.Client
	Documents    map[string]Document
	Goodput      func() configstore.Goodput // what the process was asked for and has served; nil: it doesn't say
	OnConfirmed  func(asked time.Time)      // called with when it asked, each time that the group has answered; nil: nobody
	MaxClockSkew func() time.Duration       // by which the wall clocks of two processes may differ, where times in documents count; nil: they do not
	Quota        QuotaClient                // what it shares with others; nil: nothing
	Log          *log.Logger
	Stats        *metrics.Counters
}

// QuotaClient is a process's part in what a fleet shares.
type QuotaClient interface {
	// QuotaRequest returns its word to the group, and what to call with the answer.
	QuotaRequest() (w quota.Request, told func(g quota.Grant, t lease.Terms))
}

// Formats has a process take other formats for those that it reads, Out has it do without guards, Rate has its clock run fast or
// slow, and Wall is its wall clock, in test programs only.
var (
	Formats        map[string]int
	DisabledGuards configstore.DisabledGuards
	Rate           = 1.0
	Wall           = time.Now
)

const (
	requestTimeout = time.Second
	retryInterval  = 100 * time.Millisecond // between two askings while nothing was heard yet
	minInterval    = 10 * time.Millisecond
)

// Watcher is a process that acts on documents.
type Watcher struct {
	cfg   Config
	began time.Time

	// What a sheet's beginning looks at, without the lock: whoever asks holds locks that a check may wait for.
	confirmedUntil atomic.Int64                              // it is confirmed until then
	paused         atomic.Pointer[[]*configstore.PauseScope] // what stops while a change turns
	clockApart     atomic.Bool                               // its wall clock is further from the group's than documents allow

	mu                 sync.Mutex
	replica            *configstore.Replica
	loggedReason       string // why nothing exclusive begins, as last logged
	loggedAt           time.Duration
	longestUnconfirmed time.Duration // that it was unconfirmed
	conflictBound      time.Duration
	loggedError        string // what went wrong, as last logged
	observedSkew       time.Duration
}

// New returns a follower that has heard of nothing.
func New(cfg Config) *Watcher {
	var b [4]byte
	rand.Read(b[:])
	reads := map[string]int{}
	for name, d := range cfg.Documents {
		reads[name] = d.Format
		if n, other := Formats[name]; other {
			reads[name] = n
		}
	}
	f := &Watcher{cfg: cfg, began: time.Now(), loggedReason: configstore.StopUnconfirmed, replica: configstore.NewReplica(cfg.Name+"#"+hex.EncodeToString(b[:]), reads)}
	f.paused.Store(&[]*configstore.PauseScope{})
	f.replica.Disabled = DisabledGuards
	f.replica.CheckParts = func(name string, changed map[string]string, whole bool) error {
		if d := f.cfg.Documents[name]; d.CheckParts != nil {
			return d.CheckParts(changed, whole)
		}
		return errors.New("this process takes it in no parts")
	}
	return f
}

func (f *Watcher) clock() time.Duration {
	return time.Duration(float64(time.Since(f.began)) * Rate)
}

// StopReason is why anything that is exclusive does not begin, empty where all of it may.
func (f *Watcher) StopReason() string {
	if why := f.stopReasonForAll(); why != "" || len(*f.paused.Load()) == 0 {
		return why
	}
	return configstore.StopQuiescing
}

// StopReasonFor is why a sheet of a class and a tenant does not begin, empty where it may: a change that turns stops what it touches.
func (f *Watcher) StopReasonFor(class, tenant string) string {
	if why := f.stopReasonForAll(); why != "" {
		return why
	}
	for _, t := range *f.paused.Load() {
		if t.Pauses(class, tenant) {
			return configstore.StopQuiescing
		}
	}
	return ""
}

// stopReasonForAll is why nothing that is exclusive begins.
func (f *Watcher) stopReasonForAll() string {
	switch {
	case int64(f.clock()) >= f.confirmedUntil.Load():
		return configstore.StopUnconfirmed
	case f.clockApart.Load():
		return configstore.StopClockSkew
	}
	return ""
}

// Run asks the group until the context ends, and for parts that are missing in between.
func (f *Watcher) Run(ctx context.Context) {
	go f.watchConfirmation(ctx)
	for ctx.Err() == nil {
		wait := retryInterval
		if f.sync(ctx) {
			f.mu.Lock()
			wait = max(minInterval, f.replica.PollInterval())
			f.mu.Unlock()
		}
		f.logStopReason()
		f.fetchUntil(ctx, time.Now().Add(wait))
	}
}

// fetchUntil asks for parts until the next asking of what is in force, which is at once where they have come.
func (f *Watcher) fetchUntil(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		asked, next := f.fetchParts(ctx)
		left := time.Until(until)
		if left <= 0 || asked && next < 0 {
			return
		}
		if asked {
			continue
		}
		if next >= 0 {
			left = min(left, max(next, time.Millisecond))
		}
		select {
		case <-ctx.Done():
		case <-time.After(left):
		}
	}
}

// fetchParts asks for parts where it is time to. Next is how long until it is, under 0 where nothing is missing.
func (f *Watcher) fetchParts(ctx context.Context) (asked bool, next time.Duration) {
	f.mu.Lock()
	w, at, ok := f.replica.NextRequest(f.clock())
	next = -1
	if !ok && at > 0 {
		next = at - f.clock()
	}
	f.mu.Unlock()
	if !ok {
		return false, next
	}
	asking, cancel := context.WithTimeout(ctx, requestTimeout)
	p, err := f.cfg.Group.Parts(asking, w)
	cancel()
	f.cfg.Stats.Inc("rules", "parts_asked")
	f.mu.Lock()
	var take []configstore.Update
	if err != nil {
		f.cfg.Stats.Inc("rules", "parts_unanswered")
		f.replica.RequestFailed()
	} else {
		take = f.replica.ReceiveParts(f.clock(), w, p.ID, p.Parts, f.check)
	}
	missing := f.replica.IsIncomplete()
	f.mu.Unlock()
	f.logMismatches()
	f.apply(take)
	if missing {
		next = 0
	}
	return true, next
}

func (f *Watcher) check(name, text string) error { return f.cfg.Documents[name].Check(text) }

// apply takes up what the process is to act on now, and reports whether it acts on all of it.
func (f *Watcher) apply(take []configstore.Update) (all bool) {
	all = true
	for _, t := range take {
		d, err := f.cfg.Documents[t.Doc], error(nil)
		switch {
		case !t.Revision.InParts:
			err = d.Apply(t.Revision.Text)
		case d.ApplyParts != nil:
			err = d.ApplyParts(t.Revision.ID, t.Parts, t.Complete)
		}
		if err != nil { // it was checked: something has changed since
			f.cfg.Stats.Inc("rules", "bad")
			events.Log(f.cfg.Log, "rules.bad", t.Doc, t.Revision.ID, err)
			all = false
			if t.Revision.InParts { // once more, by all of its parts
				f.mu.Lock()
				f.replica.Redeliver(t.Doc)
				f.mu.Unlock()
			}
			continue
		}
		f.cfg.Stats.Inc("rules", "taken", t.Doc)
		events.Log(f.cfg.Log, "rules.acts", t.Doc, t.Revision.ID)
	}
	return all
}

// logMismatches tells of what came and did not follow from what is here.
func (f *Watcher) logMismatches() {
	f.mu.Lock()
	list, acts := f.replica.TakeMismatches(), f.replica.ActiveVersions()
	f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(list)) {
		f.cfg.Stats.Add(uint64(list[name].Count), "rules", "parts_off")
		events.Log(f.cfg.Log, "rules.parts_off", name, acts[name], list[name].Reason)
	}
}

// watchConfirmation says at once when a confirmation ends, whatever an asking waits for.
func (f *Watcher) watchConfirmation(ctx context.Context) {
	for ctx.Err() == nil {
		left := time.Duration(f.confirmedUntil.Load()) - f.clock()
		if left <= 0 {
			left = retryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(left + time.Millisecond):
			f.logStopReason()
		}
	}
}

// WaitCurrent asks until the group has answered once and what it says is in force is here, or the context ends.
func (f *Watcher) WaitCurrent(ctx context.Context) bool {
	for {
		answered := f.sync(ctx)
		f.mu.Lock()
		here := answered && f.replica.IsCurrent()
		f.mu.Unlock()
		if here {
			return true
		}
		f.fetchUntil(ctx, time.Now().Add(retryInterval))
		if ctx.Err() != nil {
			return false
		}
	}
}

// sync asks the group once, and does what it has to by the answer.
func (f *Watcher) sync(ctx context.Context) bool {
	f.mu.Lock()
	s := quorum.ConfigSync{User: f.replica.Report(), HasVersions: f.replica.KnownVersions(), BaseVersions: f.replica.CompleteVersions(), ActiveVersions: f.replica.ActiveVersions(), StopReason: f.StopReason()}
	asked, wall, sent := f.clock(), Wall(), time.Now()
	f.mu.Unlock()
	if f.cfg.Goodput != nil {
		s.Load = f.cfg.Goodput()
	}
	granted := func(quota.Grant, lease.Terms) {}
	if f.cfg.Quota != nil {
		var w quota.Request
		w, granted = f.cfg.Quota.QuotaRequest()
		s.Quota = &w
	}
	asking, cancel := context.WithTimeout(ctx, requestTimeout)
	a, err := f.cfg.Group.Sync(asking, s)
	cancel()
	if err != nil {
		f.cfg.Stats.Inc("rules", "unanswered")
		f.logError(err)
		return false
	}
	f.logStopReason() // a confirmation that ended while this was asked
	f.mu.Lock()
	take := f.replica.Receive(asked, a.Index, a.Terms, a.Docs, f.check)
	f.conflictBound = configstore.Terms{Lease: a.Terms.TTL, ClockDrift: a.Terms.Drift}.ConflictBound()
	f.cfg.Stats.Set(uint64(f.conflictBound.Milliseconds()), "rules", "bound_ms")
	f.cfg.Stats.Set(uint64(f.longestUnconfirmed.Milliseconds()), "rules", "longest_unconfirmed_ms")
	confirmed := f.replica.LastConfirmed() == asked
	turning := f.replica.PauseScopes()
	both := append(slices.Clone(*f.paused.Load()), turning...)
	f.paused.Store(&both)
	until := f.replica.ConfirmedUntil()
	// It answered between the asking and now, so the clocks differ by this at least.
	off := max(0, time.UnixMilli(a.Wall).Sub(Wall()), wall.Sub(time.UnixMilli(a.Wall))-time.Millisecond)
	f.observedSkew = max(f.observedSkew, off)
	f.mu.Unlock()
	f.logError(nil)
	if a.Grant != nil {
		granted(*a.Grant, a.Terms)
	}
	f.logMismatches()
	acts := f.apply(take)
	if f.cfg.MaxClockSkew != nil {
		// Two that are each within half of it of the leader's clock are within it of each other.
		f.clockApart.Store(off > f.cfg.MaxClockSkew()/2)
	}
	if f.cfg.OnConfirmed != nil && confirmed { // who lacks a part of what is in force goes by an older one
		f.cfg.OnConfirmed(sent)
	}
	// Nothing exclusive goes on before the new is acted on, neither at one that has stopped for it nor at one that comes back to it
	// unconfirmed.
	f.paused.Store(&turning)
	if acts {
		f.confirmedUntil.Store(int64(until))
	}
	return true
}

// logStopReason logs when something exclusive stops, or may begin again.
func (f *Watcher) logStopReason() {
	f.mu.Lock()
	now := f.clock()
	why, was, since := f.StopReason(), f.loggedReason, f.loggedAt
	changed := why != was
	if changed {
		f.loggedReason, f.loggedAt = why, now
	}
	if was == configstore.StopUnconfirmed {
		f.longestUnconfirmed = max(f.longestUnconfirmed, now-since)
	}
	f.mu.Unlock()
	switch {
	case !changed:
	case why != "":
		f.cfg.Stats.Inc("rules", "stopped", why)
		ago := time.Duration(0)
		if why == configstore.StopUnconfirmed {
			ago = now - time.Duration(f.confirmedUntil.Load()) // a process that was stopped sees it late
		}
		events.Log(f.cfg.Log, "rules.stops", why, ago)
	default:
		events.Log(f.cfg.Log, "rules.goes_on", was, now-since)
	}
}

// logError logs what went wrong, once while it stays the same.
func (f *Watcher) logError(err error) {
	text := ""
	if err != nil {
		text = "can't ask the group"
	}
	f.mu.Lock()
	changed := text != f.loggedError
	f.loggedError = text
	f.mu.Unlock()
	if changed && err != nil {
		events.Log(f.cfg.Log, "rules.unanswered", err)
	}
}

// Status is what it goes by, as a JSON object.
func (f *Watcher) Status() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("who", a.NewString(f.replica.Name))
	o.Set("stops", a.NewString(f.StopReason()))
	o.Set("confirmed_ms_ago", a.NewNumberInt(int((now - f.replica.LastConfirmed()).Milliseconds())))
	o.Set("bound_ms", a.NewNumberInt(int(f.conflictBound.Milliseconds())))
	o.Set("longest_unconfirmed_ms", a.NewNumberInt(int(f.longestUnconfirmed.Milliseconds())))
	o.Set("clock_off_ms", a.NewNumberInt(int(f.observedSkew.Milliseconds())))
	acts, list := f.replica.ActiveVersions(), a.NewObject()
	for _, name := range slices.Sorted(maps.Keys(acts)) {
		list.Set(name, a.NewNumberInt(acts[name]))
	}
	o.Set("acts", list)
	if old := f.replica.OutdatedVersions(); len(old) > 0 {
		list := a.NewObject()
		for _, name := range slices.Sorted(maps.Keys(old)) {
			list.Set(name, a.NewNumberInt(old[name]))
		}
		o.Set("old", list) // it acts on these while parts of what is in force are missing
	}
	return o.MarshalTo(nil)
}
