package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// ProcessMonitor is what the group's leader has heard of the processes that use documents, on its own monotonic clock. It is its
// lease.Watch for them: a new leader has heard everybody just now, as it can't know what the one before it answered.
type ProcessMonitor struct {
	terms        lease.Terms
	leadingSince time.Duration // it has led since; under 0: it does not lead
	reports      map[string]*ProcessReport
	expiring     map[string]bool
	stages       map[string]stageStart
	proposedAt   map[string]time.Duration // when an advance was last proposed
}

// ProcessReport is the last word of a process.
type ProcessReport struct {
	ReceivedAt     time.Duration  `json:"-"`
	AgeMS          int64          `json:"ago_ms"`
	ActiveVersions map[string]int `json:"acts"`
	Goodput        Goodput        `json:"worth"`
	StopReason     string         `json:"stops,omitempty"` // why nothing exclusive begins there
	past           []goodputSample
}

type goodputSample struct {
	at      time.Duration
	goodput Goodput
}

// stageStart is since when a document is as it is.
type stageStart struct {
	version  int
	stage    Stage
	at       time.Duration
	baseline map[string]Goodput // of each process, then
}

// NewProcessMonitor returns the watch of a member that does not lead.
func NewProcessMonitor(t lease.Terms) *ProcessMonitor {
	w := &ProcessMonitor{terms: t}
	w.StopLeading()
	return w
}

// StartLeading is told when the member has begun to lead.
func (w *ProcessMonitor) StartLeading(now time.Duration) {
	*w = ProcessMonitor{terms: w.terms, leadingSince: now, reports: map[string]*ProcessReport{}, expiring: map[string]bool{}, stages: map[string]stageStart{}, proposedAt: map[string]time.Duration{}}
}

// StopLeading is told when it has ceased to.
func (w *ProcessMonitor) StopLeading() { *w = ProcessMonitor{terms: w.terms, leadingSince: -1} }

// Observe takes the word of a process as it comes. It reports whether the process may be told what is in force: no once its end is
// on its way.
func (w *ProcessMonitor) Observe(who string, now time.Duration, acts map[string]int, worth Goodput, stops string) bool {
	if w.leadingSince < 0 || w.expiring[who] {
		return false
	}
	h := w.reports[who]
	if h == nil {
		h = &ProcessReport{}
		w.reports[who] = h
	}
	h.ReceivedAt, h.ActiveVersions, h.Goodput, h.StopReason = now, acts, worth, stops
	h.past = append(h.past, goodputSample{now, worth})
	h.past = slices.DeleteFunc(h.past, func(s goodputSample) bool { return now-s.at > maxObserved })
	return true
}

// maxObserved bounds the time over which worth is looked at.
const maxObserved = 2 * time.Minute

// Reports is what was last heard of all.
func (w *ProcessMonitor) Reports(now time.Duration) map[string]ProcessReport {
	all := map[string]ProcessReport{}
	for name, h := range w.reports {
		one := *h
		one.AgeMS, one.past = (now - h.ReceivedAt).Milliseconds(), nil
		all[name] = one
	}
	return all
}

// Unregistered is told that a process is registered no more, or that its end was not proposed after all.
func (w *ProcessMonitor) Unregistered(who string) {
	delete(w.expiring, who)
	delete(w.reports, who)
}

// Proposals is what is to be proposed now: the end of processes that were not heard of, and stages that nothing is waited for any more.
func (w *ProcessMonitor) Proposals(b *Store, now time.Duration) (list []Change) {
	if w.leadingSince < 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(b.Processes)) {
		at := w.leadingSince
		if h := w.reports[name]; h != nil {
			at = max(at, h.ReceivedAt)
		}
		if now-at >= w.terms.LeaderTTL() && !w.expiring[name] {
			w.expiring[name] = true
			list = append(list, Change{Op: OpExpire, Author: name})
		}
	}
	maps.DeleteFunc(w.reports, func(name string, h *ProcessReport) bool {
		return b.Processes[name] == nil && now-h.ReceivedAt > w.terms.LeaderTTL()
	})
	for _, name := range slices.Sorted(maps.Keys(b.Documents)) {
		d := b.Documents[name]
		w.noteStage(b, d, now)
		if at, ok := w.proposedAt[name]; ok && now-at < w.terms.TTL/4 {
			continue // the one before is on its way
		}
		if c, ok := w.nextChange(b, d, now); ok {
			w.proposedAt[name] = now
			list = append(list, c)
		}
	}
	return list
}

// noteStage notes since when a document is as it is, and what everybody had served then.
func (w *ProcessMonitor) noteStage(b *Store, d *Document, now time.Duration) {
	version := 0
	if d.Proposed != nil {
		version = d.Proposed.ID.Version
	} else if d.Active != nil {
		version = d.Active.ID.Version
	}
	if s := w.stages[d.Name]; s.baseline != nil && s.version == version && s.stage == d.Stage {
		return
	}
	s := stageStart{version, d.Stage, now, map[string]Goodput{}}
	for name, h := range w.reports {
		s.baseline[name] = h.Goodput
	}
	w.stages[d.Name] = s
	delete(w.proposedAt, d.Name)
}

// nextChange is what becomes of a document now.
func (w *ProcessMonitor) nextChange(b *Store, d *Document, now time.Duration) (Change, bool) {
	c := Change{Doc: d.Name, Stage: d.Stage}
	s := w.stages[d.Name]
	uses := func(name string) bool { // only those that act on it have anything to say of it
		u := b.Processes[name]
		return u != nil && u.Formats[d.Name] > 0
	}
	if d.Proposed == nil {
		if d.Active == nil || d.Active.Rollout == nil || d.Active.Baseline == nil || d.Active.RevertsTo > 0 || d.Active.Outcome != "" || now-s.at > 2*milliseconds(d.Active.Rollout.ObserveMS) {
			return c, false
		}
		got := w.goodputSince(s, uses)
		if bad := isWorse(*d.Active.Baseline, got, d.Active.Rollout.MaxLoss); bad && now-s.at >= milliseconds(d.Active.Rollout.ObserveMS)/4 {
			c.Op, c.Version, c.Author = OpRevert, d.Active.ID.Version, MonitorAuthor
			c.Reason = fmt.Sprintf("%.0f%% of the worth was served, before it %.0f%%", 100*got.Ratio(), 100*d.Active.Baseline.Ratio())
			return c, true
		}
		return c, false
	}
	c.Version = d.Proposed.ID.Version
	if who, why := b.RefusedBy(d); who != "" {
		c.Op, c.Author, c.Reason = OpWithdraw, who, who+" can't act on it: "+why
		return c, true
	}
	if b.WaitingFor(d) != "" {
		return c, false
	}
	c.Op = OpAdvance
	if d.Stage == StageCanary {
		try := d.Proposed.Rollout
		with, rest := w.goodputSince(s, func(name string) bool { return slices.Contains(d.Proposed.Canaries, name) }),
			w.goodputSince(s, func(name string) bool { return uses(name) && !slices.Contains(d.Proposed.Canaries, name) })
		if isWorse(rest, with, try.MaxLoss) && now-s.at >= milliseconds(try.ObserveMS)/4 {
			c.Op, c.Author = OpWithdraw, MonitorAuthor
			c.Reason = fmt.Sprintf("%.0f%% of the worth was served where it was tried, else %.0f%%", 100*with.Ratio(), 100*rest.Ratio())
			return c, true
		}
		if now-s.at < milliseconds(try.ObserveMS) {
			return c, false
		}
	}
	if d.Proposed.Rollout != nil {
		base := w.goodputOver(milliseconds(d.Proposed.Rollout.ObserveMS), now, uses)
		c.Baseline = &base
	}
	return c, true
}
