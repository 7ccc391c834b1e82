package configstore

import (
	"fmt"
	"maps"
	"slices"
)

// The stages of a change. Inputs: the change, and what each registered process that uses the document has reported of it. A change advances
// only when it waits for no process: each must read its format and have prepared it, and before an exclusive change (kinds.go) becomes
// active, each must have quiesced. A process that has not reported for the duration of a lease is expired: it has stopped exclusive work by
// then. A change that a
// process can't act on is withdrawn.

// advance takes a change to its next stage. The group's leader proposes it. Every member checks in log order that the change waits for
// nothing, as the leader may have been deposed meanwhile.
func (s *Store) advance(d *Document, c Change) error {
	if c.Stage != d.Stage {
		return fmt.Errorf("%w: it is %s, not %s", ErrNoSuchChange, d.Stage, c.Stage)
	}
	if reason := s.WaitingFor(d); reason != "" {
		return fmt.Errorf("%w: %s", ErrNotReady, reason)
	}
	switch {
	case d.Stage == StageProposed && d.Proposed.Rollout != nil && d.Proposed.Rollout.CanaryRatio > 0 && !d.Proposed.Exclusive && d.Active != nil:
		d.Stage = StageCanary
		d.Proposed.Canaries = s.canaries(d)
	case d.Stage != StageQuiescing && d.Proposed.Exclusive && d.Active != nil:
		d.Stage = StageQuiescing
	default:
		if d.Active != nil {
			if d.Active.Outcome == "" {
				d.Active.Outcome = fmt.Sprintf("replaced by version %d", d.Proposed.ID.Version)
			}
			d.archive(d.Active)
		}
		if d.Proposed.InParts {
			d.Proposed = d.Proposed.activated(d.Active)
		}
		d.Proposed.ActiveSince, d.Proposed.Baseline = max(1, c.At), c.Baseline
		d.Active, d.Proposed, d.Stage = d.Proposed, nil, ""
	}
	return nil
}

// canaries returns the processes that act on a change first, at least one. It selects them by the digest of their name and the change's ID,
// so that different changes have different canaries.
func (s *Store) canaries(d *Document) (names []string) {
	for name, process := range s.Processes {
		if _, uses := process.Formats[d.Name]; uses {
			names = append(names, name)
		}
	}
	hash := func(name string) uint64 { return NewID(1, []byte(fmt.Sprint(d.Proposed.ID, name))).Digest }
	slices.SortFunc(names, func(x, y string) int {
		if hash(x) < hash(y) {
			return -1
		}
		return 1
	})
	count := int(float64(len(names))*d.Proposed.Rollout.CanaryRatio + 0.5)
	return names[:min(len(names), max(1, count))]
}

// WaitingFor returns what the proposed revision of a document waits for, the first process in order of name, or "" for nothing.
func (s *Store) WaitingFor(d *Document) string {
	if d.Proposed == nil {
		return ""
	}
	if d.HoldReason != "" {
		return "held: " + d.HoldReason
	}
	version := d.Proposed.ID.Version
	for _, name := range slices.Sorted(maps.Keys(s.Processes)) {
		process := s.Processes[name]
		format, uses := process.Formats[d.Name]
		switch {
		case !uses:
		case format < d.Proposed.Format:
			return fmt.Sprintf("%s reads format %d, and this is %d", name, format, d.Proposed.Format)
		case d.Stage == StageProposed && process.Refusals[d.Name].Version == version:
			return fmt.Sprintf("%s can't act on it: %s", name, process.Refusals[d.Name].Reason)
		case d.Stage != StageQuiescing && process.Prepared[d.Name] != version:
			return name + " does not hold it yet"
		case d.Stage == StageQuiescing && process.Quiesced[d.Name] != version:
			return name + " has not stopped yet"
		}
	}
	return ""
}

// RefusedBy returns the first process that can't act on the proposed revision, and the reason. Both are empty if there is none.
func (s *Store) RefusedBy(d *Document) (process, reason string) {
	if d.Proposed == nil || d.Stage != StageProposed {
		return "", ""
	}
	for _, name := range slices.Sorted(maps.Keys(s.Processes)) {
		if refusal := s.Processes[name].Refusals[d.Name]; refusal.Version == d.Proposed.ID.Version {
			return name, refusal.Reason
		}
	}
	return "", ""
}

// MonitorAuthor is the author of changes that ProcessMonitor proposes because goodput fell. It is part of logs and snapshots.
const MonitorAuthor = "the watch"

// withdraw ends a change that is not active yet. If the monitor withdraws it from its canaries, its digest is rejected
// from then on.
func (d *Document) withdraw(c Change) {
	d.Proposed.Outcome = clip("withdrawn: " + c.Reason)
	if d.Stage == StageCanary && c.Author == MonitorAuthor {
		d.rejectDigest(d.Proposed.ID.Digest)
	}
	if d.Proposed.RevertsTo > 0 {
		d.Active.Outcome = "" // the version stays active
	}
	d.archive(d.Proposed)
	d.Proposed, d.Stage, d.HoldReason = nil, "", ""
}
