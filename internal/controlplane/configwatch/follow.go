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
	Take   func(text string) error // acts on it from now on

	// Of one in parts the same, by the parts that differ from what was taken last. Whole: they are all that there are. nil: it is in none.
	CheckParts func(changed map[string]string, whole bool) error
	TakeParts  func(id configstore.ID, changed map[string]string, whole bool) error
}

// Config sets up a Follower.
type Config struct {
	Name  string
	Group *quorum.Client
	Docs  map[string]Document
	Worth func() configstore.Worth // what the process was asked for and has served; nil: it doesn't say
	Told  func(asked time.Time)    // called with when it asked, each time that the group has answered; nil: nobody
	Skew  func() time.Duration     // by which the wall clocks of two processes may differ, where times in documents count; nil: they do not
	Share Sharer                   // what it shares with others; nil: nothing
	Log   *log.Logger
	Stats *metrics.Counters
}

// Sharer is a process's part in what a fleet shares.
type Sharer interface {
	// Says returns its word to the group, and what to call with the answer.
	Says() (w quota.Request, told func(g quota.Grant, t lease.Terms))
}

// Formats has a process take other formats for those that it reads, Out has it do without guards, Rate has its clock run fast or
// slow, and Wall is its wall clock, in test programs only.
var (
	Formats map[string]int
	Out     configstore.Guards
	Rate    = 1.0
	Wall    = time.Now
)

const (
	askWithin = time.Second
	unheard   = 100 * time.Millisecond // between two askings while nothing was heard yet
	least     = 10 * time.Millisecond
)

// Follower is a process that acts on documents.
type Follower struct {
	cfg   Config
	began time.Time

	// What a sheet's beginning looks at, without the lock: whoever asks holds locks that a check may wait for.
	until   atomic.Int64                           // it is confirmed until then
	turning atomic.Pointer[[]*configstore.Touched] // what stops while a change turns
	apart   atomic.Bool                            // its wall clock is further from the group's than documents allow

	mu      sync.Mutex
	holder  *configstore.Holder
	said    string // why nothing exclusive begins, as last logged
	saidAt  time.Duration
	longest time.Duration // that it was unconfirmed
	bound   time.Duration
	last    string // what went wrong, as last logged
	skew    time.Duration
}

// New returns a follower that has heard of nothing.
func New(cfg Config) *Follower {
	var b [4]byte
	rand.Read(b[:])
	reads := map[string]int{}
	for name, d := range cfg.Docs {
		reads[name] = d.Format
		if n, other := Formats[name]; other {
			reads[name] = n
		}
	}
	f := &Follower{cfg: cfg, began: time.Now(), said: configstore.Unconfirmed, holder: configstore.NewHolder(cfg.Name+"#"+hex.EncodeToString(b[:]), reads)}
	f.turning.Store(&[]*configstore.Touched{})
	f.holder.Out = Out
	f.holder.CheckParts = func(name string, changed map[string]string, whole bool) error {
		if d := f.cfg.Docs[name]; d.CheckParts != nil {
			return d.CheckParts(changed, whole)
		}
		return errors.New("this process takes it in no parts")
	}
	return f
}

func (f *Follower) clock() time.Duration {
	return time.Duration(float64(time.Since(f.began)) * Rate)
}

// Stops is why anything that is exclusive does not begin, empty where all of it may.
func (f *Follower) Stops() string {
	if why := f.stopsAll(); why != "" || len(*f.turning.Load()) == 0 {
		return why
	}
	return configstore.StopsToTurn
}

// StopsSheet is why a sheet of a class and a tenant does not begin, empty where it may: a change that turns stops what it touches.
func (f *Follower) StopsSheet(class, tenant string) string {
	if why := f.stopsAll(); why != "" {
		return why
	}
	for _, t := range *f.turning.Load() {
		if t.Stops(class, tenant) {
			return configstore.StopsToTurn
		}
	}
	return ""
}

// stopsAll is why nothing that is exclusive begins.
func (f *Follower) stopsAll() string {
	switch {
	case int64(f.clock()) >= f.until.Load():
		return configstore.Unconfirmed
	case f.apart.Load():
		return configstore.ClocksApart
	}
	return ""
}

// Keep asks the group until the context ends, and for parts that are missing in between.
func (f *Follower) Keep(ctx context.Context) {
	go f.mind(ctx)
	for ctx.Err() == nil {
		wait := unheard
		if f.once(ctx) {
			f.mu.Lock()
			wait = max(least, f.holder.Every())
			f.mu.Unlock()
		}
		f.notice()
		f.between(ctx, time.Now().Add(wait))
	}
}

// between asks for parts until the next asking of what is in force, which is at once where they have come.
func (f *Follower) between(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		asked, next := f.fetch(ctx)
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

// fetch asks for parts where it is time to. Next is how long until it is, under 0 where nothing is missing.
func (f *Follower) fetch(ctx context.Context) (asked bool, next time.Duration) {
	f.mu.Lock()
	w, at, ok := f.holder.Wants(f.clock())
	next = -1
	if !ok && at > 0 {
		next = at - f.clock()
	}
	f.mu.Unlock()
	if !ok {
		return false, next
	}
	asking, cancel := context.WithTimeout(ctx, askWithin)
	p, err := f.cfg.Group.Parts(asking, w)
	cancel()
	f.cfg.Stats.Inc("rules", "parts_asked")
	f.mu.Lock()
	var take []configstore.Took
	if err != nil {
		f.cfg.Stats.Inc("rules", "parts_unanswered")
		f.holder.Vain()
	} else {
		take = f.holder.Got(f.clock(), w, p.ID, p.Parts, f.check)
	}
	missing := f.holder.Misses()
	f.mu.Unlock()
	f.offs()
	f.act(take)
	if missing {
		next = 0
	}
	return true, next
}

func (f *Follower) check(name, text string) error { return f.cfg.Docs[name].Check(text) }

// act takes up what the process is to act on now, and reports whether it acts on all of it.
func (f *Follower) act(take []configstore.Took) (all bool) {
	all = true
	for _, t := range take {
		d, err := f.cfg.Docs[t.Doc], error(nil)
		switch {
		case !t.Entry.Split:
			err = d.Take(t.Entry.Text)
		case d.TakeParts != nil:
			err = d.TakeParts(t.Entry.ID, t.Parts, t.Whole)
		}
		if err != nil { // it was checked: something has changed since
			f.cfg.Stats.Inc("rules", "bad")
			events.Log(f.cfg.Log, "rules.bad", t.Doc, t.Entry.ID, err)
			all = false
			if t.Entry.Split { // once more, by all of its parts
				f.mu.Lock()
				f.holder.Again(t.Doc)
				f.mu.Unlock()
			}
			continue
		}
		f.cfg.Stats.Inc("rules", "taken", t.Doc)
		events.Log(f.cfg.Log, "rules.acts", t.Doc, t.Entry.ID)
	}
	return all
}

// offs tells of what came and did not follow from what is here.
func (f *Follower) offs() {
	f.mu.Lock()
	list, acts := f.holder.Offs(), f.holder.Acts()
	f.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(list)) {
		f.cfg.Stats.Add(uint64(list[name].Times), "rules", "parts_off")
		events.Log(f.cfg.Log, "rules.parts_off", name, acts[name], list[name].Why)
	}
}

// mind says at once when a confirmation ends, whatever an asking waits for.
func (f *Follower) mind(ctx context.Context) {
	for ctx.Err() == nil {
		left := time.Duration(f.until.Load()) - f.clock()
		if left <= 0 {
			left = unheard
		}
		select {
		case <-ctx.Done():
		case <-time.After(left + time.Millisecond):
			f.notice()
		}
	}
}

// First asks until the group has answered once and what it says is in force is here, or the context ends.
func (f *Follower) First(ctx context.Context) bool {
	for {
		answered := f.once(ctx)
		f.mu.Lock()
		here := answered && f.holder.Current()
		f.mu.Unlock()
		if here {
			return true
		}
		f.between(ctx, time.Now().Add(unheard))
		if ctx.Err() != nil {
			return false
		}
	}
}

// once asks the group once, and does what it has to by the answer.
func (f *Follower) once(ctx context.Context) bool {
	f.mu.Lock()
	s := quorum.ConfigSync{User: f.holder.Says(), HasVersions: f.holder.Has(), BaseVersions: f.holder.Bases(), ActiveVersions: f.holder.Acts(), StopReason: f.Stops()}
	asked, wall, sent := f.clock(), Wall(), time.Now()
	f.mu.Unlock()
	if f.cfg.Worth != nil {
		s.Load = f.cfg.Worth()
	}
	granted := func(quota.Grant, lease.Terms) {}
	if f.cfg.Share != nil {
		var w quota.Request
		w, granted = f.cfg.Share.Says()
		s.Quota = &w
	}
	asking, cancel := context.WithTimeout(ctx, askWithin)
	a, err := f.cfg.Group.Sync(asking, s)
	cancel()
	if err != nil {
		f.cfg.Stats.Inc("rules", "unanswered")
		f.tell(err)
		return false
	}
	f.notice() // a confirmation that ended while this was asked
	f.mu.Lock()
	take := f.holder.Told(asked, a.Index, a.Terms, a.Docs, f.check)
	f.bound = configstore.Terms{Lease: a.Terms.TTL, Drift: a.Terms.Drift}.Bound()
	f.cfg.Stats.Set(uint64(f.bound.Milliseconds()), "rules", "bound_ms")
	f.cfg.Stats.Set(uint64(f.longest.Milliseconds()), "rules", "longest_unconfirmed_ms")
	confirmed := f.holder.Asked() == asked
	turning := f.holder.Touched()
	both := append(slices.Clone(*f.turning.Load()), turning...)
	f.turning.Store(&both)
	until := f.holder.Until()
	// It answered between the asking and now, so the clocks differ by this at least.
	off := max(0, time.UnixMilli(a.Wall).Sub(Wall()), wall.Sub(time.UnixMilli(a.Wall))-time.Millisecond)
	f.skew = max(f.skew, off)
	f.mu.Unlock()
	f.tell(nil)
	if a.Grant != nil {
		granted(*a.Grant, a.Terms)
	}
	f.offs()
	acts := f.act(take)
	if f.cfg.Skew != nil {
		// Two that are each within half of it of the leader's clock are within it of each other.
		f.apart.Store(off > f.cfg.Skew()/2)
	}
	if f.cfg.Told != nil && confirmed { // who lacks a part of what is in force goes by an older one
		f.cfg.Told(sent)
	}
	// Nothing exclusive goes on before the new is acted on, neither at one that has stopped for it nor at one that comes back to it
	// unconfirmed.
	f.turning.Store(&turning)
	if acts {
		f.until.Store(int64(until))
	}
	return true
}

// notice logs when something exclusive stops, or may begin again.
func (f *Follower) notice() {
	f.mu.Lock()
	now := f.clock()
	why, was, since := f.Stops(), f.said, f.saidAt
	changed := why != was
	if changed {
		f.said, f.saidAt = why, now
	}
	if was == configstore.Unconfirmed {
		f.longest = max(f.longest, now-since)
	}
	f.mu.Unlock()
	switch {
	case !changed:
	case why != "":
		f.cfg.Stats.Inc("rules", "stopped", why)
		ago := time.Duration(0)
		if why == configstore.Unconfirmed {
			ago = now - time.Duration(f.until.Load()) // a process that was stopped sees it late
		}
		events.Log(f.cfg.Log, "rules.stops", why, ago)
	default:
		events.Log(f.cfg.Log, "rules.goes_on", was, now-since)
	}
}

// tell logs what went wrong, once while it stays the same.
func (f *Follower) tell(err error) {
	text := ""
	if err != nil {
		text = "can't ask the group"
	}
	f.mu.Lock()
	changed := text != f.last
	f.last = text
	f.mu.Unlock()
	if changed && err != nil {
		events.Log(f.cfg.Log, "rules.unanswered", err)
	}
}

// Status is what it goes by, as a JSON object.
func (f *Follower) Status() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("who", a.NewString(f.holder.Who))
	o.Set("stops", a.NewString(f.Stops()))
	o.Set("confirmed_ms_ago", a.NewNumberInt(int((now - f.holder.Asked()).Milliseconds())))
	o.Set("bound_ms", a.NewNumberInt(int(f.bound.Milliseconds())))
	o.Set("longest_unconfirmed_ms", a.NewNumberInt(int(f.longest.Milliseconds())))
	o.Set("clock_off_ms", a.NewNumberInt(int(f.skew.Milliseconds())))
	acts, list := f.holder.Acts(), a.NewObject()
	for _, name := range slices.Sorted(maps.Keys(acts)) {
		list.Set(name, a.NewNumberInt(acts[name]))
	}
	o.Set("acts", list)
	if old := f.holder.Old(); len(old) > 0 {
		list := a.NewObject()
		for _, name := range slices.Sorted(maps.Keys(old)) {
			list.Set(name, a.NewNumberInt(old[name]))
		}
		o.Set("old", list) // it acts on these while parts of what is in force are missing
	}
	return o.MarshalTo(nil)
}
