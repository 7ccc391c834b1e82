package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// ProcessMonitor is what the group's leader knows of the processes that use documents. It proposes what follows from their reports: the
// expiry of those that are silent, the next stage of a change, its withdrawal, or the reversal of one that made things worse. All times
// are the leader's own monotonic clock. A new leader takes all to have reported just now, as it can't know what the one before answered.
type ProcessMonitor struct {
	terms        lease.Terms
	leadingSince time.Duration // under 0: it does not lead
	reports      map[string]*ProcessReport
	expiring     map[string]bool // their expiry was proposed
	stages       map[string]stageStart
	proposedAt   map[string]time.Duration // when a change was last proposed, by document
}

// ProcessReport is the last report of a process.
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

// stageStart is since when a document is at its stage.
type stageStart struct {
	version  int
	stage    Stage
	at       time.Duration
	baseline map[string]Goodput // of each process, then
}

// NewProcessMonitor returns the process monitor of a member that does not lead.
func NewProcessMonitor(t lease.Terms) *ProcessMonitor {
	w := &ProcessMonitor{terms: t}
	w.StopLeading()
	return w
}

// StartLeading records that the member has begun to lead.
func (w *ProcessMonitor) StartLeading(now time.Duration) {
	*w = ProcessMonitor{terms: w.terms, leadingSince: now, reports: map[string]*ProcessReport{}, expiring: map[string]bool{}, stages: map[string]stageStart{}, proposedAt: map[string]time.Duration{}}
}

// StopLeading records that it has ceased to.
func (w *ProcessMonitor) StopLeading() { *w = ProcessMonitor{terms: w.terms, leadingSince: -1} }

// Observe takes the report of a process as it comes. It reports whether the process may be told what is active: no once its expiry was
// proposed, as it would act on that after the group has ceased to wait for it.
func (w *ProcessMonitor) Observe(name string, now time.Duration, versions map[string]int, goodput Goodput, stopReason string) bool {
	if w.leadingSince < 0 || w.expiring[name] {
		return false
	}
	h := w.reports[name]
	if h == nil {
		h = &ProcessReport{}
		w.reports[name] = h
	}
	h.ReceivedAt, h.ActiveVersions, h.Goodput, h.StopReason = now, versions, goodput, stopReason
	h.past = append(h.past, goodputSample{now, goodput})
	h.past = slices.DeleteFunc(h.past, func(s goodputSample) bool { return now-s.at > maxObserved })
	return true
}

const (
	maxObserved      = 2 * time.Minute // over which goodput is kept; a change is observed for less
	observeActiveFor = 2               // times RolloutPolicy.ObserveMS that an active version may still be reverted by the monitor
	minObserved      = 4               // a quarter of RolloutPolicy.ObserveMS has to be over before the monitor says that it is worse
	proposalRetry    = 4               // a quarter of the lease until a change is proposed again: the one before may be on its way
)

// Reports are the last reports of all processes, for operators.
func (w *ProcessMonitor) Reports(now time.Duration) map[string]ProcessReport {
	all := map[string]ProcessReport{}
	for name, h := range w.reports {
		one := *h
		one.AgeMS, one.past = (now - h.ReceivedAt).Milliseconds(), nil
		all[name] = one
	}
	return all
}

// Unregistered records that a process is registered no more, or that its expiry was not proposed after all.
func (w *ProcessMonitor) Unregistered(who string) {
	delete(w.expiring, who)
	delete(w.reports, who)
}

// Proposals are the changes that the leader is to propose now: the expiry of processes that have not reported for a lease, and the next
// stages of changes that nothing is waited for any more. The leader calls it several times a lease.
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
		if at, ok := w.proposedAt[name]; ok && now-at < w.terms.TTL/proposalRetry {
			continue // the one before is on its way
		}
		if c, ok := w.nextChange(b, d, now); ok {
			w.proposedAt[name] = now
			list = append(list, c)
		}
	}
	return list
}

// noteStage notes since when a document is at its stage, and the goodput of all processes then.
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

// nextChange is what is to be proposed of a document now, if anything.
func (w *ProcessMonitor) nextChange(b *Store, d *Document, now time.Duration) (Change, bool) {
	if d.Proposed == nil {
		return w.revertIfWorse(b, d, now)
	}
	c := Change{Doc: d.Name, Stage: d.Stage, Version: d.Proposed.ID.Version}
	if who, why := b.RefusedBy(d); who != "" {
		c.Op, c.Author, c.Reason = OpWithdraw, who, who+" can't act on it: "+why
		return c, true
	}
	if b.WaitingFor(d) != "" {
		return c, false
	}
	c.Op = OpAdvance
	if d.Stage == StageCanary {
		switch loss, over := w.judgeCanaries(b, d, now); {
		case loss != "":
			c.Op, c.Author, c.Reason = OpWithdraw, MonitorAuthor, loss
			return c, true
		case !over:
			return c, false
		}
	}
	if d.Proposed.Rollout != nil {
		baseline := w.goodputOver(milliseconds(d.Proposed.Rollout.ObserveMS), now, usersOf(b, d))
		c.Baseline = &baseline
	}
	return c, true
}

// usersOf tells which processes use a document: only those have anything to say of it.
func usersOf(b *Store, d *Document) func(name string) bool {
	return func(name string) bool {
		p := b.Processes[name]
		return p != nil && p.Formats[d.Name] > 0
	}
}

// revertIfWorse reverts an active version that is still observed, where the goodput since it became active is worse than its baseline.
func (w *ProcessMonitor) revertIfWorse(b *Store, d *Document, now time.Duration) (Change, bool) {
	c, s, r := Change{Doc: d.Name, Stage: d.Stage}, w.stages[d.Name], d.Active
	if r == nil || r.Rollout == nil || r.Baseline == nil || r.RevertsTo > 0 || r.Outcome != "" {
		return c, false
	}
	observe := milliseconds(r.Rollout.ObserveMS)
	if now-s.at > observeActiveFor*observe || now-s.at < observe/minObserved {
		return c, false
	}
	got := w.goodputSince(s, usersOf(b, d))
	if !isWorse(*r.Baseline, got, r.Rollout.MaxLoss) {
		return c, false
	}
	c.Op, c.Version, c.Author = OpRevert, r.ID.Version, MonitorAuthor
	c.Reason = fmt.Sprintf("%.0f%% of the worth was served, before it %.0f%%", 100*got.Ratio(), 100*r.Baseline.Ratio())
	return c, true
}

// judgeCanaries compares the goodput of the canaries of a change with that of the others since they began. Loss says how much worse it
// is, empty for not; over, whether they have been observed for long enough.
func (w *ProcessMonitor) judgeCanaries(b *Store, d *Document, now time.Duration) (loss string, over bool) {
	s, policy, uses := w.stages[d.Name], d.Proposed.Rollout, usersOf(b, d)
	isCanary := func(name string) bool { return slices.Contains(d.Proposed.Canaries, name) }
	canaries := w.goodputSince(s, isCanary)
	others := w.goodputSince(s, func(name string) bool { return uses(name) && !isCanary(name) })
	observe := milliseconds(policy.ObserveMS)
	if isWorse(others, canaries, policy.MaxLoss) && now-s.at >= observe/minObserved {
		return fmt.Sprintf("%.0f%% of the worth was served where it was tried, else %.0f%%", 100*canaries.Ratio(), 100*others.Ratio()), false
	}
	return "", now-s.at >= observe
}
