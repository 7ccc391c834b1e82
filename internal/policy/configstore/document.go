package configstore

import (
	"maps"
	"slices"
)

// Document is a document with what is to become of it. The JSON names are those of snapshots and of the wire.
type Document struct {
	Name            string      `json:"name"`
	HighestVersion  int         `json:"top"`             // that was ever given
	Active          *Revision   `json:"force,omitempty"` // nil: none yet
	Proposed        *Revision   `json:"next,omitempty"`  // nil: no change is under way
	Stage           Stage       `json:"stage,omitempty"` // of Proposed
	HoldReason      string      `json:"held,omitempty"`  // why an operator has Proposed wait; empty: it does not
	History         []*Revision `json:"history,omitempty"`
	RejectedDigests []uint64    `json:"bad,omitempty"` // digests that were reverted, or withdrawn from canaries: they made things worse
	Draft           *Draft      `json:"draft,omitempty"`
}

// Revision is one version of a document.
type Revision struct {
	ID          ID             `json:"id"`
	Format      int            `json:"format"` // a process that reads lower ones only is not offered it
	Text        string         `json:"text,omitempty"`
	Author      string         `json:"by,omitempty"`
	ProposedAt  int64          `json:"at,omitempty"`        // Unix milliseconds, by the clock of the group's leader then: for people
	Exclusive   bool           `json:"exclusive,omitempty"` // it differs from the one before in what may not overlap
	Rollout     *RolloutPolicy `json:"try,omitempty"`       // how it is observed; nil: not
	RevertsTo   int            `json:"back,omitempty"`      // it has the contents of this version again
	Baseline    *Goodput       `json:"base,omitempty"`      // before it became active
	ActiveSince int64          `json:"since,omitempty"`     // when it became active, as ProposedAt; 0: never
	Outcome     string         `json:"ended,omitempty"`     // what became of it: replaced, withdrawn, taken back; empty: nothing yet
	Canaries    []string       `json:"parts,omitempty"`     // processes that act on it first; "parts" is from before documents had parts
	Scope       []string       `json:"touches,omitempty"`   // of one that is exclusive, what pauses while all quiesce; empty: everything

	// Of a document in parts, which has no text:
	InParts      bool            `json:"split,omitempty"`
	Parts        map[string]Part `json:"by_part,omitempty"` // of the active one: all; of the proposed one: those that differ from the active ones
	ChangedParts []string        `json:"changed,omitempty"` // the parts in which it differed from the version before
}

// The stages of a change, in their order. One that is not exclusive may have canaries; one that is exclusive has all quiesce.
const (
	StageProposed  Stage = "proposed" // all processes that use the document check it and keep it: they prepare
	StageCanary    Stage = "trial"    // some of them act on it, and their goodput is compared with that of the others
	StageQuiescing Stage = "turning"  // all stop what it excludes, and none begins the new yet
)

// Stage is how far a change has come.
type Stage string

// RolloutPolicy is how a change that may be bad is observed.
type RolloutPolicy struct {
	CanaryRatio float64 `json:"part,omitempty"` // of the processes, that are canaries; 0: all at once. No part of a document
	ObserveMS   int64   `json:"for_ms"`         // milliseconds that it is observed at its canaries, and once it is active
	MaxLoss     float64 `json:"worse"`          // by which the goodput ratio may be lower than the baseline; beyond it the change is reverted
}

// Goodput is what a process was asked for and what it served since its start, each request counted by its priority weight.
type Goodput struct {
	Offered float64 `json:"asked"`
	Served  float64 `json:"served"`
}

// Ratio is the ratio that was served, 1 of nothing.
func (g Goodput) Ratio() float64 {
	if g.Offered <= 0 {
		return 1
	}
	return g.Served / g.Offered
}

// Refusal is why a process can't act on a version.
type Refusal struct {
	Version int    `json:"version"`
	Reason  string `json:"why"`
}

// Process is a process that uses documents: one start of it, so that what comes back after a restart is another one.
type Process struct {
	Name     string             `json:"name"`
	Formats  map[string]int     `json:"reads"`   // the highest format that it reads of each document that it uses
	Prepared map[string]int     `json:"holds"`   // the proposed version that it has checked and kept
	Quiesced map[string]int     `json:"stopped"` // the proposed version for which it has stopped what that excludes
	Refusals map[string]Refusal `json:"refuses,omitempty"`
}

// Revision returns a version that is kept: the active one, the proposed one, or one of the history. It is nil for none.
func (d *Document) Revision(version int) *Revision {
	for _, revision := range append([]*Revision{d.Active, d.Proposed}, d.History...) {
		if revision != nil && revision.ID.Version == version {
			return revision
		}
	}
	return nil
}

// archive puts a revision into the history, without the texts of parts.
func (d *Document) archive(revision *Revision) {
	d.History = append(d.History, revision.withoutParts())
	if n := len(d.History) - maxHistory; n > 0 {
		d.History = slices.Delete(d.History, 0, n)
	}
}

// rejectDigest notes that a digest made things worse.
func (d *Document) rejectDigest(digest uint64) {
	if !slices.Contains(d.RejectedDigests, digest) {
		d.RejectedDigests = append(d.RejectedDigests, digest)
	}
	if n := len(d.RejectedDigests) - maxRejected; n > 0 {
		d.RejectedDigests = slices.Delete(d.RejectedDigests, 0, n)
	}
}

// activated is an entry in parts as it comes into force on top of another one.
func (r *Revision) activated(active *Revision) *Revision {
	activated := *r
	activated.ChangedParts = slices.Sorted(maps.Keys(r.Parts))
	if active != nil {
		activated.Parts = mergeParts(active.Parts, r.Parts)
	}
	return &activated
}

// withoutParts is an entry without what a document in parts says: a version that is over is kept so, as it is never taken back.
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

// PartsAt are all parts of a version that is in force or under way, with its ID.
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

// IsOfferedTo reports whether a process is told of the proposed revision: not of one in a format that it does not read.
func (d *Document) IsOfferedTo(process *Process) bool {
	return d.Proposed != nil && process.Formats[d.Name] >= d.Proposed.Format
}
