package configstore

import (
	"fmt"
	"maps"
	"slices"
)

// The stages of a change. Inputs: the change, and what each registered process that uses the document has reported of it. A change goes
// on only once no process is waited for: each has to read its format, and to have prepared it; before what is exclusive becomes active,
// each has to have quiesced. A process that reports nothing for a lease is expired, as it has stopped what is exclusive by itself then.
// One that can't act on a proposed change has it withdrawn.

// advance takes a change to its next stage. The group's leader proposes it; that nothing is waited for is checked here, in the log's
// order, by every member alike, as the leader may have been deposed meanwhile.
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

// canaries are the processes that act on a change first: the first by the digests of their names with the change's ID, so that it is
// not always the same ones. One at least.
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

// WaitingFor names what the proposed revision of a document waits for, the first in the order of processes' names, empty for nothing.
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

// RefusedBy is the first process that can't act on the proposed revision, and why; empty for none.
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

// MonitorAuthor is the author of changes that ProcessMonitor proposes as something made things worse. It stands in logs and snapshots.
const MonitorAuthor = "the watch"

// withdraw takes back a change that is not active yet. What the monitor withdraws from its canaries is not proposed again by mistake.
func (d *Document) withdraw(c Change) {
	d.Proposed.Outcome = clip("withdrawn: " + c.Reason)
	if d.Stage == StageCanary && c.Author == MonitorAuthor {
		d.rejectDigest(d.Proposed.ID.Digest)
	}
	if d.Proposed.RevertsTo > 0 {
		d.Active.Outcome = "" // it stays after all
	}
	d.archive(d.Proposed)
	d.Proposed, d.Stage, d.HoldReason = nil, "", ""
}
