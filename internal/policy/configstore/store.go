package configstore

import (
	"cmp"
	"errors"
	"fmt"
)

// Store is the state that a group replicates: its documents and the processes that use them. It has no clock, and only Apply changes it, in
// the order of the group's log, so that it is the same on every member. Snapshots contain it as JSON.
type Store struct {
	Documents map[string]*Document `json:"docs"`
	Processes map[string]*Process  `json:"users"`
}

// NewStore returns a store without documents.
func NewStore() *Store { return &Store{map[string]*Document{}, map[string]*Process{}} }

// Op is the operation of a change. The texts are part of the group's log and of the wire.
type Op string

// The operations.
const (
	OpPropose   Op = "put"      // propose a revision based on the active version
	OpLoadDraft Op = "load"     // add parts to a draft that a later OpPropose names
	OpRegister  Op = "join"     // register a process, before it acts on any document
	OpExpire    Op = "lapse"    // by the leader: remove a process that has not reported for a lease and so has stopped exclusive work
	OpReport    Op = "say"      // by a process: the versions that it has prepared, refused and quiesced for
	OpAdvance   Op = "advance"  // by the leader: go to the next stage, once the change waits for nothing
	OpWithdraw  Op = "withdraw" // end a change that is not active
	OpRevert    Op = "takeback" // propose the contents before the active version as a new version
	OpHold      Op = "hold"     // make a change wait before its next stage
	OpRelease   Op = "release"  // end OpHold
)

// Change is one operation on a store.
type Change struct {
	Op        Op             `json:"op"`
	Doc       string         `json:"doc,omitempty"`
	Version   int            `json:"version,omitempty"` // OpPropose: the active version, 0 for none; else the version to operate on
	Format    int            `json:"format,omitempty"`
	Text      string         `json:"text,omitempty"`
	Exclusive bool           `json:"exclusive,omitempty"`
	Rollout   *RolloutPolicy `json:"try,omitempty"`

	Parts  map[string]string `json:"parts,omitempty"`  // OpPropose and OpLoadDraft: texts of the changed parts
	Draft  string            `json:"draft,omitempty"`  // OpLoadDraft: the draft that they belong to; OpPropose: the draft to propose
	Digest uint64            `json:"digest,omitempty"` // OpPropose in parts: the digest over all parts of the new version
	Scope  []string          `json:"touches,omitempty"`

	AllowRejected bool     `json:"again,omitempty"` // OpPropose: accept contents that were reverted before
	Stage         Stage    `json:"stage,omitempty"` // OpAdvance: the current stage
	Baseline      *Goodput `json:"base,omitempty"`  // OpAdvance: goodput before the change
	Process       *Process `json:"user,omitempty"`  // OpRegister and OpReport
	Author        string   `json:"by,omitempty"`
	Reason        string   `json:"why,omitempty"`
	At            int64    `json:"at,omitempty"`
}

// The errors that Apply wraps with the document and version.
var (
	ErrStaleBase      = errors.New("another version is in force") // the change is based on another version
	ErrChangePending  = errors.New("a change is under way")       // a document has at most one pending change
	ErrNoSuchChange   = errors.New("there is no such change")     // nor such a document or version
	ErrNotReady       = errors.New("it still waits")              // for a process or an operator
	ErrNotRegistered  = errors.New("not registered")              // the reporting process is not in the store
	ErrRejectedBefore = errors.New("it was taken back before")    // reverted, or withdrawn by the monitor
)

// MaxProcesses limits the registered processes. The leader keeps two minutes of each one's goodput, 24 bytes a report: 12 MB in total
// if they report once a second.
const MaxProcesses = 4096

// Limits of what the group stores and sends in each snapshot.
const (
	maxDocuments       = 32        // the member accepts the four DocumentNames; the rest is for documents of later builds
	maxHistory         = 16        // versions of a document that can be shown and reverted to
	maxRejectedDigests = 8         // digests that are not proposed again by mistake
	maxTextSize        = 256 << 10 // bytes of a change, and of a document that is not in parts, as it is one log entry
	maxReasonSize      = 512       // bytes of a text from an operator or a process
)

// Apply applies a change, in the order of the group's log. It returns the document of the change, or nil if the change is for a process. A
// change that returns an error has no effect. Callers test for the errors above with errors.Is, and the text is sent to the requester.
func (s *Store) Apply(c Change) (*Document, error) {
	switch c.Op {
	case OpRegister, OpReport:
		return nil, s.recordReport(c)
	case OpExpire:
		delete(s.Processes, c.Author)
		return nil, nil
	case OpPropose:
		return s.propose(c)
	case OpLoadDraft:
		return s.loadDraft(c)
	}
	d := s.Documents[c.Doc]
	if d == nil {
		return nil, fmt.Errorf("%w: no document %q", ErrNoSuchChange, c.Doc)
	}
	if c.Op == OpRevert {
		return d, d.revert(c)
	}
	if d.Proposed == nil || d.Proposed.ID.Version != c.Version {
		return d, fmt.Errorf("%w: version %d of %s is not under way", ErrNoSuchChange, c.Version, c.Doc)
	}
	switch c.Op {
	case OpHold:
		d.HoldReason = cmp.Or(clip(c.Reason), "by an operator")
	case OpRelease:
		d.HoldReason = ""
	case OpWithdraw:
		d.withdraw(c)
	case OpAdvance:
		return d, s.advance(d, c)
	default:
		return d, fmt.Errorf("no such op: %q", c.Op)
	}
	return d, nil
}

// clip limits the size of a text that comes from outside.
func clip(s string) string { return s[:min(len(s), maxReasonSize)] }
