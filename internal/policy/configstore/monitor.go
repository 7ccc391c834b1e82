package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// ProcessMonitor runs on the group's leader and records the reports of the processes that use documents. It proposes the expiry of silent
// processes, the next stage of a change, its withdrawal, or the revert of a change that lowered goodput. All times are the leader's own
// monotonic clock. A new leader assumes that all processes have just reported, as it can't know what its predecessor answered.
type ProcessMonitor struct {
	terms        lease.Terms
	leadingSince time.Duration // negative: the member does not lead
	reports      map[string]*ProcessReport
	expiring     map[string]bool // processes whose expiry was proposed
	stages       map[string]stageStart
	proposedAt   map[string]time.Duration // when a change was last proposed, by document
}

// ProcessReport is the last report of a process.
type ProcessReport struct {
	ReceivedAt     time.Duration  `json:"-"`
	AgeMS          int64          `json:"ago_ms"`
	ActiveVersions map[string]int `json:"acts"`
	Goodput        Goodput        `json:"worth"`
	StopReason     string         `json:"stops,omitempty"` // why no exclusive work begins there
	samples        []goodputSample
}

type goodputSample struct {
	at      time.Duration
	goodput Goodput
}

// stageStart is the start of a document's current stage.
type stageStart struct {
	version  int
	stage    Stage
	at       time.Duration
	baseline map[string]Goodput // goodput of each process at the start
}

// NewProcessMonitor returns the monitor of a member that does not lead.
func NewProcessMonitor(t lease.Terms) *ProcessMonitor {
	m := &ProcessMonitor{terms: t}
	m.StopLeading()
	return m
}

// StartLeading records that the member became the leader.
func (m *ProcessMonitor) StartLeading(now time.Duration) {
	*m = ProcessMonitor{terms: m.terms, leadingSince: now, reports: map[string]*ProcessReport{}, expiring: map[string]bool{}, stages: map[string]stageStart{}, proposedAt: map[string]time.Duration{}}
}

// StopLeading records that the member is no longer the leader.
func (m *ProcessMonitor) StopLeading() { *m = ProcessMonitor{terms: m.terms, leadingSince: -1} }

// Observe records the report of a process. It returns whether the active version may be sent to the process: false if the member does
// not lead, or once the expiry of the process was proposed, as it would act on the version after the group has stopped waiting for it.
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
	report.samples = append(report.samples, goodputSample{now, goodput})
	report.samples = slices.DeleteFunc(report.samples, func(sample goodputSample) bool { return now-sample.at > goodputRetention })
	return true
}

const (
	goodputRetention     = 2 * time.Minute // how long goodput samples are kept; a change is observed for less
	activeObserveFactor  = 2               // times RolloutPolicy.ObserveMS during which the monitor may still revert an active version
	minObservedDivisor   = 4               // a quarter of RolloutPolicy.ObserveMS has to pass before the monitor judges a change as worse
	proposalRetryDivisor = 4               // a quarter of the lease until a change is proposed again: the first one may be pending
)

// Reports returns the last report of each process, for operators.
func (m *ProcessMonitor) Reports(now time.Duration) map[string]ProcessReport {
	reports := map[string]ProcessReport{}
	for name, report := range m.reports {
		copied := *report
		copied.AgeMS, copied.samples = (now - report.ReceivedAt).Milliseconds(), nil
		reports[name] = copied
	}
	return reports
}

// Unregistered records that a process is no longer registered, or that its expiry was not proposed after all.
func (m *ProcessMonitor) Unregistered(name string) {
	delete(m.expiring, name)
	delete(m.reports, name)
}

// Proposals returns the changes that the leader has to propose now: the expiry of processes that have not reported for a lease, and the
// next stages of changes that wait for no process. The leader calls it several times a lease.
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
		if proposedAt, ok := m.proposedAt[name]; ok && now-proposedAt < m.terms.TTL/proposalRetryDivisor {
			continue // an earlier proposal may not be applied yet
		}
		if c, ok := m.nextChange(store, d, now); ok {
			m.proposedAt[name] = now
			list = append(list, c)
		}
	}
	return list
}

// noteStage records when the current stage of a document began, and the goodput of all processes at that time.
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

// nextChange returns the change to propose for a document now, and false if there is none.
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

// usersOf returns a function that reports whether a process uses a document. A change of the document affects only the goodput of those.
func usersOf(store *Store, d *Document) func(name string) bool {
	return func(name string) bool {
		process := store.Processes[name]
		return process != nil && process.Formats[d.Name] > 0
	}
}

// revertIfWorse returns the revert of an active version under observation whose goodput is worse than its baseline.
func (m *ProcessMonitor) revertIfWorse(store *Store, d *Document, now time.Duration) (Change, bool) {
	c, start, active := Change{Doc: d.Name, Stage: d.Stage}, m.stages[d.Name], d.Active
	if active == nil || active.Rollout == nil || active.Baseline == nil || active.RevertsTo > 0 || active.Outcome != "" {
		return c, false
	}
	observe := milliseconds(active.Rollout.ObserveMS)
	if now-start.at > activeObserveFactor*observe || now-start.at < observe/minObservedDivisor {
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

// judgeCanaries compares the goodput of a change's canaries with that of the other processes since the canaries began. Loss describes how
// much worse it is, and is empty if it is not. Observed reports whether the observation time has passed.
func (m *ProcessMonitor) judgeCanaries(store *Store, d *Document, now time.Duration) (loss string, observed bool) {
	start, policy, uses := m.stages[d.Name], d.Proposed.Rollout, usersOf(store, d)
	isCanary := func(name string) bool { return slices.Contains(d.Proposed.Canaries, name) }
	canaries := m.goodputSince(start, isCanary)
	others := m.goodputSince(start, func(name string) bool { return uses(name) && !isCanary(name) })
	observe := milliseconds(policy.ObserveMS)
	if isWorse(others, canaries, policy.MaxLoss) && now-start.at >= observe/minObservedDivisor {
		return fmt.Sprintf("%.0f%% of the worth was served where it was tried, else %.0f%%", 100*canaries.Ratio(), 100*others.Ratio()), false
	}
	return "", now-start.at >= observe
}
