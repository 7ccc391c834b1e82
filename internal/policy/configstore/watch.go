package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// Watch is what the group's leader has heard of the processes that use documents, on its own monotonic clock. It is its
// lease.Watch for them: a new leader has heard everybody just now, as it can't know what the one before it answered.
type Watch struct {
	terms   lease.Terms
	since   time.Duration // it has led since; under 0: it does not lead
	heard   map[string]*Heard
	lapsing map[string]bool
	staged  map[string]staged
	asked   map[string]time.Duration // when an advance was last proposed
}

// Heard is the last word of a process.
type Heard struct {
	At    time.Duration  `json:"-"`
	Ago   int64          `json:"ago_ms"`
	Acts  map[string]int `json:"acts"`
	Worth Worth          `json:"worth"`
	Stops string         `json:"stops,omitempty"` // why nothing exclusive begins there
	past  []sample
}

type sample struct {
	at    time.Duration
	worth Worth
}

// staged is since when a document is as it is.
type staged struct {
	version int
	stage   Stage
	at      time.Duration
	marks   map[string]Worth // of each process, then
}

// NewWatch returns the watch of a member that does not lead.
func NewWatch(t lease.Terms) *Watch {
	w := &Watch{terms: t}
	w.Follow()
	return w
}

// Lead is told when the member has begun to lead.
func (w *Watch) Lead(now time.Duration) {
	*w = Watch{terms: w.terms, since: now, heard: map[string]*Heard{}, lapsing: map[string]bool{}, staged: map[string]staged{}, asked: map[string]time.Duration{}}
}

// Follow is told when it has ceased to.
func (w *Watch) Follow() { *w = Watch{terms: w.terms, since: -1} }

// Heard takes the word of a process as it comes. It reports whether the process may be told what is in force: no once its end is
// on its way.
func (w *Watch) Heard(who string, now time.Duration, acts map[string]int, worth Worth, stops string) bool {
	if w.since < 0 || w.lapsing[who] {
		return false
	}
	h := w.heard[who]
	if h == nil {
		h = &Heard{}
		w.heard[who] = h
	}
	h.At, h.Acts, h.Worth, h.Stops = now, acts, worth, stops
	h.past = append(h.past, sample{now, worth})
	h.past = slices.DeleteFunc(h.past, func(s sample) bool { return now-s.at > mostWatched })
	return true
}

// mostWatched bounds the time over which worth is looked at.
const mostWatched = 2 * time.Minute

// List is what was last heard of all.
func (w *Watch) List(now time.Duration) map[string]Heard {
	all := map[string]Heard{}
	for name, h := range w.heard {
		one := *h
		one.Ago, one.past = (now - h.At).Milliseconds(), nil
		all[name] = one
	}
	return all
}

// Lapsed is told that a process is registered no more, or that its end was not proposed after all.
func (w *Watch) Lapsed(who string) {
	delete(w.lapsing, who)
	delete(w.heard, who)
}

// Due is what is to be proposed now: the end of processes that were not heard of, and stages that nothing is waited for any more.
func (w *Watch) Due(b *Book, now time.Duration) (list []Change) {
	if w.since < 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(b.Users)) {
		at := w.since
		if h := w.heard[name]; h != nil {
			at = max(at, h.At)
		}
		if now-at >= w.terms.LeaderTTL() && !w.lapsing[name] {
			w.lapsing[name] = true
			list = append(list, Change{Op: Lapse, By: name})
		}
	}
	maps.DeleteFunc(w.heard, func(name string, h *Heard) bool { return b.Users[name] == nil && now-h.At > w.terms.LeaderTTL() })
	for _, name := range slices.Sorted(maps.Keys(b.Docs)) {
		d := b.Docs[name]
		w.stage(b, d, now)
		if at, ok := w.asked[name]; ok && now-at < w.terms.TTL/4 {
			continue // the one before is on its way
		}
		if c, ok := w.next(b, d, now); ok {
			w.asked[name] = now
			list = append(list, c)
		}
	}
	return list
}

// stage notes since when a document is as it is, and what everybody had served then.
func (w *Watch) stage(b *Book, d *Doc, now time.Duration) {
	version := 0
	if d.Next != nil {
		version = d.Next.ID.Version
	} else if d.Force != nil {
		version = d.Force.ID.Version
	}
	if s := w.staged[d.Name]; s.marks != nil && s.version == version && s.stage == d.Stage {
		return
	}
	s := staged{version, d.Stage, now, map[string]Worth{}}
	for name, h := range w.heard {
		s.marks[name] = h.Worth
	}
	w.staged[d.Name] = s
	delete(w.asked, d.Name)
}

// next is what becomes of a document now.
func (w *Watch) next(b *Book, d *Doc, now time.Duration) (Change, bool) {
	c := Change{Doc: d.Name, Stage: d.Stage}
	s := w.staged[d.Name]
	uses := func(name string) bool { // only those that act on it have anything to say of it
		u := b.Users[name]
		return u != nil && u.Reads[d.Name] > 0
	}
	if d.Next == nil {
		if d.Force == nil || d.Force.Try == nil || d.Force.Base == nil || d.Force.Back > 0 || d.Force.Ended != "" || now-s.at > 2*ms(d.Force.Try.For) {
			return c, false
		}
		got := w.sums(s, uses)
		if bad := worse(*d.Force.Base, got, d.Force.Try.Worse); bad && now-s.at >= ms(d.Force.Try.For)/4 {
			c.Op, c.Version, c.By = TakeBack, d.Force.ID.Version, Watcher
			c.Why = fmt.Sprintf("%.0f%% of the worth was served, before it %.0f%%", 100*got.Share(), 100*d.Force.Base.Share())
			return c, true
		}
		return c, false
	}
	c.Version = d.Next.ID.Version
	if who, why := b.Refused(d); who != "" {
		c.Op, c.By, c.Why = Withdraw, who, who+" can't act on it: "+why
		return c, true
	}
	if b.Waits(d) != "" {
		return c, false
	}
	c.Op = Advance
	if d.Stage == Trial {
		try := d.Next.Try
		with, rest := w.sums(s, func(name string) bool { return slices.Contains(d.Next.Canaries, name) }),
			w.sums(s, func(name string) bool { return uses(name) && !slices.Contains(d.Next.Canaries, name) })
		if worse(rest, with, try.Worse) && now-s.at >= ms(try.For)/4 {
			c.Op, c.By = Withdraw, Watcher
			c.Why = fmt.Sprintf("%.0f%% of the worth was served where it was tried, else %.0f%%", 100*with.Share(), 100*rest.Share())
			return c, true
		}
		if now-s.at < ms(try.For) {
			return c, false
		}
	}
	if d.Next.Try != nil {
		base := w.over(ms(d.Next.Try.For), now, uses)
		c.Base = &base
	}
	return c, true
}

func ms(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// leastAsked is the worth under which nothing can be said.
const leastAsked = 20

// worse reports whether less was served than before by more than a bound, and enough was asked for to say so.
func worse(before, now Worth, by float64) bool {
	return before.Asked >= leastAsked && now.Asked >= leastAsked && now.Share() < before.Share()-by
}

// sums sums what processes were asked for and have served since a stage began.
func (w *Watch) sums(s staged, of func(string) bool) (sum Worth) {
	for name, h := range w.heard {
		mark, ok := s.marks[name]
		if !ok || !of(name) || h.Worth.Asked < mark.Asked {
			continue // it came later
		}
		sum.Asked += h.Worth.Asked - mark.Asked
		sum.Served += h.Worth.Served - mark.Served
	}
	return sum
}

// over sums what was asked for and served in the latest stretch.
func (w *Watch) over(d, now time.Duration, of func(string) bool) (sum Worth) {
	for name, h := range w.heard {
		if !of(name) {
			continue
		}
		for _, s := range h.past {
			if now-s.at <= d {
				sum.Asked += h.Worth.Asked - s.worth.Asked
				sum.Served += h.Worth.Served - s.worth.Served
				break
			}
		}
	}
	return sum
}
