package configstore

import (
	"maps"
	"slices"
)

// Document is a document with its active and its proposed revision. The JSON names are those of snapshots and of the wire.
type Document struct {
	Name            string      `json:"name"`
	HighestVersion  int         `json:"top"`             // the highest version that was ever assigned
	Active          *Revision   `json:"force,omitempty"` // nil: none yet
	Proposed        *Revision   `json:"next,omitempty"`  // nil: no change is pending
	Stage           Stage       `json:"stage,omitempty"` // of Proposed
	HoldReason      string      `json:"held,omitempty"`  // why an operator holds Proposed; empty: it is not held
	History         []*Revision `json:"history,omitempty"`
	RejectedDigests []uint64    `json:"bad,omitempty"` // digests that were reverted, or withdrawn by the monitor
	Draft           *Draft      `json:"draft,omitempty"`
}

// Revision is one version of a document.
type Revision struct {
	ID          ID             `json:"id"`
	Format      int            `json:"format"` // a process that reads only lower formats is not offered this revision
	Text        string         `json:"text,omitempty"`
	Author      string         `json:"by,omitempty"`
	ProposedAt  int64          `json:"at,omitempty"`        // Unix milliseconds by the clock of the group's leader; shown to operators only
	Exclusive   bool           `json:"exclusive,omitempty"` // it differs from the previous revision in an exclusive field
	Rollout     *RolloutPolicy `json:"try,omitempty"`       // how it is observed; nil: it is not observed
	RevertsTo   int            `json:"back,omitempty"`      // the version whose contents it restores; 0: none
	Baseline    *Goodput       `json:"base,omitempty"`      // goodput before it became active
	ActiveSince int64          `json:"since,omitempty"`     // when it became active, in the unit of ProposedAt; 0: never
	Outcome     string         `json:"ended,omitempty"`     // how it ended: replaced, withdrawn or reverted; empty: it has not ended
	Canaries    []string       `json:"parts,omitempty"`     // processes that act on it first; the JSON name is older than documents in parts
	Scope       []string       `json:"touches,omitempty"`   // of an exclusive revision: what pauses while processes quiesce; empty: everything

	// Fields of a document in parts, which has no text:
	InParts      bool            `json:"split,omitempty"`
	Parts        map[string]Part `json:"by_part,omitempty"` // of the active revision: all; of the proposed one: those that differ
	ChangedParts []string        `json:"changed,omitempty"` // names of the parts that differ from the previous version
}

// The stages of a change, in order. A change that is not exclusive may have canaries. An exclusive change makes all processes quiesce.
const (
	StageProposed  Stage = "proposed" // all processes that use the document fetch and check the revision
	StageCanary    Stage = "trial"    // canaries act on it, and their goodput is compared with that of the other processes
	StageQuiescing Stage = "turning"  // all processes stop what it excludes, and none begins the new version yet
)

// Stage is the progress of a change.
type Stage string

// RolloutPolicy is how a change is observed and when it is reverted.
type RolloutPolicy struct {
	CanaryRatio float64 `json:"part,omitempty"` // ratio of processes that are canaries, 0: all at once; unrelated to parts of a document
	ObserveMS   int64   `json:"for_ms"`         // milliseconds of observation at the canaries, and again once the change is active
	MaxLoss     float64 `json:"worse"`          // how far the goodput ratio may fall below the baseline before the change is reverted
}

// Goodput is the load offered to a process and the load it served since its start. Each request counts with its priority weight.
type Goodput struct {
	Offered float64 `json:"asked"`
	Served  float64 `json:"served"`
}

// Ratio returns the ratio of the offered load that was served, or 1 if none was offered.
func (g Goodput) Ratio() float64 {
	if g.Offered <= 0 {
		return 1
	}
	return g.Served / g.Offered
}

// Refusal is the reason why a process can't act on a version.
type Refusal struct {
	Version int    `json:"version"`
	Reason  string `json:"why"`
}

// Process is one start of a process that uses documents. After a restart it is another Process.
type Process struct {
	Name     string             `json:"name"`
	Formats  map[string]int     `json:"reads"`   // the highest format that it reads, by document that it uses
	Prepared map[string]int     `json:"holds"`   // the proposed version that it has fetched and checked, by document
	Quiesced map[string]int     `json:"stopped"` // the proposed version for which it has quiesced, by document
	Refusals map[string]Refusal `json:"refuses,omitempty"`
}

// Revision returns the active, proposed or archived revision with this version, or nil if it is not kept.
func (d *Document) Revision(version int) *Revision {
	for _, revision := range append([]*Revision{d.Active, d.Proposed}, d.History...) {
		if revision != nil && revision.ID.Version == version {
			return revision
		}
	}
	return nil
}

// archive appends a revision to the history, without the texts of its parts, and drops the oldest beyond maxHistory.
func (d *Document) archive(revision *Revision) {
	d.History = append(d.History, revision.withoutParts())
	if n := len(d.History) - maxHistory; n > 0 {
		d.History = slices.Delete(d.History, 0, n)
	}
}

// rejectDigest records a digest that OpPropose then rejects unless AllowRejected is set, and drops the oldest beyond maxRejectedDigests.
func (d *Document) rejectDigest(digest uint64) {
	if !slices.Contains(d.RejectedDigests, digest) {
		d.RejectedDigests = append(d.RejectedDigests, digest)
	}
	if n := len(d.RejectedDigests) - maxRejectedDigests; n > 0 {
		d.RejectedDigests = slices.Delete(d.RejectedDigests, 0, n)
	}
}

// activated returns a revision in parts as it becomes active: its changed parts merged with those of the active revision.
func (r *Revision) activated(active *Revision) *Revision {
	activated := *r
	activated.ChangedParts = slices.Sorted(maps.Keys(r.Parts))
	if active != nil {
		activated.Parts = mergeParts(active.Parts, r.Parts)
	}
	return &activated
}

// withoutParts returns a revision without the contents of its parts. The history keeps it so, as a document in parts is never reverted.
func (r *Revision) withoutParts() *Revision {
	if !r.InParts {
		return r
	}
	stripped := *r
	if stripped.Parts != nil && stripped.ChangedParts == nil {
		stripped.ChangedParts = slices.Sorted(maps.Keys(r.Parts))
	}
	stripped.Parts = nil
	return &stripped
}

// PartsAt returns the ID and all parts of a version that is active or proposed, and false for any other version.
func (d *Document) PartsAt(version int) (ID, map[string]Part, bool) {
	switch {
	case d.Active != nil && d.Active.ID.Version == version && d.Active.InParts:
		return d.Active.ID, d.Active.Parts, true
	case d.Proposed != nil && d.Proposed.ID.Version == version && d.Proposed.InParts:
		var active map[string]Part
		if d.Active != nil {
			active = d.Active.Parts
		}
		return d.Proposed.ID, mergeParts(active, d.Proposed.Parts), true
	}
	return ID{}, nil, false
}

// IsOfferedTo reports whether the proposed revision is sent to a process: only if the process reads its format.
func (d *Document) IsOfferedTo(process *Process) bool {
	return d.Proposed != nil && process.Formats[d.Name] >= d.Proposed.Format
}
