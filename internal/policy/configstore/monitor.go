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
	m := &ProcessMonitor{terms: t}
	m.StopLeading()
	return m
}

// StartLeading records that the member has begun to lead.
func (m *ProcessMonitor) StartLeading(now time.Duration) {
	*m = ProcessMonitor{terms: m.terms, leadingSince: now, reports: map[string]*ProcessReport{}, expiring: map[string]bool{}, stages: map[string]stageStart{}, proposedAt: map[string]time.Duration{}}
}

// StopLeading records that it has ceased to.
func (m *ProcessMonitor) StopLeading() { *m = ProcessMonitor{terms: m.terms, leadingSince: -1} }

// Observe takes the report of a process as it comes. It reports whether the process may be told what is active: no once its expiry was
// proposed, as it would act on that after the group has ceased to wait for it.
func (m *ProcessMonitor) Observe(name string, now time.Duration, versions map[string]int, goodput Goodput, stopReason string) bool {
	if m.leadingSince < 0 || m.expiring[name] {
		return false
	}
	report := m.reports[name]
	if report == nil {
		report = &ProcessReport{}
		m.reports[name] = report
	}
	report.ReceivedAt, report.ActiveVersions, report.Goodput, report.StopReason = now, versions, goodput, stopReason
	report.past = append(report.past, goodputSample{now, goodput})
	report.past = slices.DeleteFunc(report.past, func(sample goodputSample) bool { return now-sample.at > maxObserved })
	return true
}

const (
	maxObserved      = 2 * time.Minute // over which goodput is kept; a change is observed for less
	observeActiveFor = 2               // times RolloutPolicy.ObserveMS that an active version may still be reverted by the monitor
	minObserved      = 4               // a quarter of RolloutPolicy.ObserveMS has to be over before the monitor says that it is worse
	proposalRetry    = 4               // a quarter of the lease until a change is proposed again: the one before may be on its way
)

// Reports are the last reports of all processes, for operators.
func (m *ProcessMonitor) Reports(now time.Duration) map[string]ProcessReport {
	reports := map[string]ProcessReport{}
	for name, report := range m.reports {
		copied := *report
		copied.AgeMS, copied.past = (now - report.ReceivedAt).Milliseconds(), nil
		reports[name] = copied
	}
	return reports
}

// Unregistered records that a process is registered no more, or that its expiry was not proposed after all.
func (m *ProcessMonitor) Unregistered(name string) {
	delete(m.expiring, name)
	delete(m.reports, name)
}

// Proposals are the changes that the leader is to propose now: the expiry of processes that have not reported for a lease, and the next
// stages of changes that nothing is waited for any more. The leader calls it several times a lease.
func (m *ProcessMonitor) Proposals(store *Store, now time.Duration) (list []Change) {
	if m.leadingSince < 0 {
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(store.Processes)) {
		lastReport := m.leadingSince
		if report := m.reports[name]; report != nil {
			lastReport = max(lastReport, report.ReceivedAt)
		}
		if now-lastReport >= m.terms.LeaderTTL() && !m.expiring[name] {
			m.expiring[name] = true
			list = append(list, Change{Op: OpExpire, Author: name})
		}
	}
	maps.DeleteFunc(m.reports, func(name string, report *ProcessReport) bool {
		return store.Processes[name] == nil && now-report.ReceivedAt > m.terms.LeaderTTL()
	})
	for _, name := range slices.Sorted(maps.Keys(store.Documents)) {
		d := store.Documents[name]
		m.noteStage(store, d, now)
		if proposedAt, ok := m.proposedAt[name]; ok && now-proposedAt < m.terms.TTL/proposalRetry {
			continue // the one before is on its way
		}
		if c, ok := m.nextChange(store, d, now); ok {
			m.proposedAt[name] = now
			list = append(list, c)
		}
	}
	return list
}

// noteStage notes since when a document is at its stage, and the goodput of all processes then.
func (m *ProcessMonitor) noteStage(store *Store, d *Document, now time.Duration) {
	version := 0
	if d.Proposed != nil {
		version = d.Proposed.ID.Version
	} else if d.Active != nil {
		version = d.Active.ID.Version
	}
	if start := m.stages[d.Name]; start.baseline != nil && start.version == version && start.stage == d.Stage {
		return
	}
	start := stageStart{version, d.Stage, now, map[string]Goodput{}}
	for name, report := range m.reports {
		start.baseline[name] = report.Goodput
	}
	m.stages[d.Name] = start
	delete(m.proposedAt, d.Name)
}

// nextChange is what is to be proposed of a document now, if anything.
func (m *ProcessMonitor) nextChange(store *Store, d *Document, now time.Duration) (Change, bool) {
	if d.Proposed == nil {
		return m.revertIfWorse(store, d, now)
	}
	c := Change{Doc: d.Name, Stage: d.Stage, Version: d.Proposed.ID.Version}
	if process, reason := store.RefusedBy(d); process != "" {
		c.Op, c.Author, c.Reason = OpWithdraw, process, process+" can't act on it: "+reason
		return c, true
	}
	if store.WaitingFor(d) != "" {
		return c, false
	}
	c.Op = OpAdvance
	if d.Stage == StageCanary {
		switch loss, observed := m.judgeCanaries(store, d, now); {
		case loss != "":
			c.Op, c.Author, c.Reason = OpWithdraw, MonitorAuthor, loss
			return c, true
		case !observed:
			return c, false
		}
	}
	if d.Proposed.Rollout != nil {
		baseline := m.goodputOver(milliseconds(d.Proposed.Rollout.ObserveMS), now, usersOf(store, d))
		c.Baseline = &baseline
	}
	return c, true
}

// usersOf tells which processes use a document: only those have anything to say of it.
func usersOf(store *Store, d *Document) func(name string) bool {
	return func(name string) bool {
		process := store.Processes[name]
		return process != nil && process.Formats[d.Name] > 0
	}
}

// revertIfWorse reverts an active version that is still observed, where the goodput since it became active is worse than its baseline.
func (m *ProcessMonitor) revertIfWorse(store *Store, d *Document, now time.Duration) (Change, bool) {
	c, start, active := Change{Doc: d.Name, Stage: d.Stage}, m.stages[d.Name], d.Active
	if active == nil || active.Rollout == nil || active.Baseline == nil || active.RevertsTo > 0 || active.Outcome != "" {
		return c, false
	}
	observe := milliseconds(active.Rollout.ObserveMS)
	if now-start.at > observeActiveFor*observe || now-start.at < observe/minObserved {
		return c, false
	}
	goodput := m.goodputSince(start, usersOf(store, d))
	if !isWorse(*active.Baseline, goodput, active.Rollout.MaxLoss) {
		return c, false
	}
	c.Op, c.Version, c.Author = OpRevert, active.ID.Version, MonitorAuthor
	c.Reason = fmt.Sprintf("%.0f%% of the worth was served, before it %.0f%%", 100*goodput.Ratio(), 100*active.Baseline.Ratio())
	return c, true
}

// judgeCanaries compares the goodput of the canaries of a change with that of the others since they began. Loss says how much worse it
// is, empty for not; over, whether they have been observed for long enough.
func (m *ProcessMonitor) judgeCanaries(store *Store, d *Document, now time.Duration) (loss string, observed bool) {
	start, policy, uses := m.stages[d.Name], d.Proposed.Rollout, usersOf(store, d)
	isCanary := func(name string) bool { return slices.Contains(d.Proposed.Canaries, name) }
	canaries := m.goodputSince(start, isCanary)
	others := m.goodputSince(start, func(name string) bool { return uses(name) && !isCanary(name) })
	observe := milliseconds(policy.ObserveMS)
	if isWorse(others, canaries, policy.MaxLoss) && now-start.at >= observe/minObserved {
		return fmt.Sprintf("%.0f%% of the worth was served where it was tried, else %.0f%%", 100*canaries.Ratio(), 100*others.Ratio()), false
	}
	return "", now-start.at >= observe
}
