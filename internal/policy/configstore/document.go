package configstore

import (
	"maps"
	"slices"
)

// Document is a document with what is to become of it.
type Document struct {
	Name            string      `json:"name"`
	HighestVersion  int         `json:"top"`             // the highest version that was ever given
	Active          *Revision   `json:"force,omitempty"` // nil: none yet
	Proposed        *Revision   `json:"next,omitempty"`  // nil: no change is under way
	Stage           Stage       `json:"stage,omitempty"` // of Next
	HoldReason      string      `json:"held,omitempty"`  // why an operator has Next wait; empty: it does not
	History         []*Revision `json:"history,omitempty"`
	RejectedDigests []uint64    `json:"bad,omitempty"` // digests that were taken back
	Draft           *Draft      `json:"draft,omitempty"`
}

// Revision is one version of a document.
type Revision struct {
	ID          ID             `json:"id"`
	Format      int            `json:"format"` // a process of a build that reads a lower one is not handed it
	Text        string         `json:"text,omitempty"`
	Author      string         `json:"by,omitempty"`
	ProposedAt  int64          `json:"at,omitempty"`        // Unix milliseconds, by the clock of the group's leader then: for people
	Exclusive   bool           `json:"exclusive,omitempty"` // it differs from the one before in what may not overlap
	Rollout     *RolloutPolicy `json:"try,omitempty"`       // how it is watched; nil: not
	RevertsTo   int            `json:"back,omitempty"`      // it has the contents of this version again
	Baseline    *Goodput       `json:"base,omitempty"`      // what was served before it came into force
	ActiveSince int64          `json:"since,omitempty"`     // when it came into force, as At
	Outcome     string         `json:"ended,omitempty"`     // what became of it: replaced, withdrawn, taken back; empty: nothing yet
	Canaries    []string       `json:"parts,omitempty"`     // who acted on it in its trial; by its name of before there were parts
	Scope       []string       `json:"touches,omitempty"`   // of one that is exclusive, what stops while all turn; empty: everything

	// Of a document in parts, which has no text:
	InParts      bool            `json:"split,omitempty"`
	Parts        map[string]Part `json:"by_part,omitempty"` // in force: all; under way: those that differ from what is in force
	ChangedParts []string        `json:"changed,omitempty"` // the parts in which it differed from the version before
}

const (
	StageProposed  Stage = "proposed" // all who use the document are to check it and to hold it
	StageCanary    Stage = "trial"    // some of them act on it
	StageQuiescing Stage = "turning"  // all stop what it excludes, and nobody begins the new yet
)

// Stage is how far a change has come.
type Stage string

// RolloutPolicy is how a change that may be bad is watched.
type RolloutPolicy struct {
	CanaryRatio float64 `json:"part,omitempty"` // of the processes that act on it first; 0: all at once
	ObserveMS   int64   `json:"for_ms"`         // so long, in milliseconds, in the trial and once it is in force
	MaxLoss     float64 `json:"worse"`          // by so much less of the worth is served than else, and it is taken back
}

// Goodput is what a process was asked for and what it served, since its start.
type Goodput struct {
	Offered float64 `json:"asked"`
	Served  float64 `json:"served"`
}

// Ratio is the part that was served, 1 of nothing.
func (w Goodput) Ratio() float64 {
	if w.Offered <= 0 {
		return 1
	}
	return w.Served / w.Offered
}

// Refusal is why a process can't act on a version.
type Refusal struct {
	Version int    `json:"version"`
	Reason  string `json:"why"`
}

// Process is a process that uses documents. It is one start of it: what comes back under a name is another one.
type Process struct {
	Name     string             `json:"name"`
	Formats  map[string]int     `json:"reads"` // the highest format that it reads of each document that it uses
	Prepared map[string]int     `json:"holds"` // the version that it has checked and kept
	Quiesced map[string]int     `json:"stopped"`
	Refusals map[string]Refusal `json:"refuses,omitempty"`
}

// Revision returns a version that is kept, nil for none.
func (d *Document) Revision(version int) *Revision {
	for _, e := range append([]*Revision{d.Active, d.Proposed}, d.History...) {
		if e != nil && e.ID.Version == version {
			return e
		}
	}
	return nil
}

func (d *Document) archive(e *Revision) {
	d.History = append(d.History, e.withoutParts())
	if n := len(d.History) - maxHistory; n > 0 {
		d.History = slices.Delete(d.History, 0, n)
	}
}

func (d *Document) rejectDigest(digest uint64) {
	if !slices.Contains(d.RejectedDigests, digest) {
		d.RejectedDigests = append(d.RejectedDigests, digest)
	}
	if n := len(d.RejectedDigests) - maxRejected; n > 0 {
		d.RejectedDigests = slices.Delete(d.RejectedDigests, 0, n)
	}
}

// activated is an entry in parts as it comes into force on top of another one.
func (e *Revision) activated(force *Revision) *Revision {
	whole := *e
	whole.ChangedParts = slices.Sorted(maps.Keys(e.Parts))
	if force != nil {
		whole.Parts = merged(force.Parts, e.Parts)
	}
	return &whole
}

// withoutParts is an entry without what a document in parts says: a version that is over is kept so, as it is never taken back.
func (e *Revision) withoutParts() *Revision {
	if !e.InParts {
		return e
	}
	short := *e
	if short.Parts != nil && short.ChangedParts == nil {
		short.ChangedParts = slices.Sorted(maps.Keys(e.Parts))
	}
	short.Parts = nil
	return &short
}

// PartsAt are all parts of a version that is in force or under way, with its ID.
func (d *Document) PartsAt(version int) (ID, map[string]Part, bool) {
	switch {
	case d.Active != nil && d.Active.ID.Version == version && d.Active.InParts:
		return d.Active.ID, d.Active.Parts, true
	case d.Proposed != nil && d.Proposed.ID.Version == version && d.Proposed.InParts:
		var force map[string]Part
		if d.Active != nil {
			force = d.Active.Parts
		}
		return d.Proposed.ID, merged(force, d.Proposed.Parts), true
	}
	return ID{}, nil, false
}

// IsOfferedTo is whether a process is handed a change: not one of a format that it does not read.
func (d *Document) IsOfferedTo(u *Process) bool {
	return d.Proposed != nil && u.Formats[d.Name] >= d.Proposed.Format
}
