package configstore

import (
	"cmp"
	"errors"
	"fmt"
)

// Store is what a group agrees on: its documents and the processes that use them. It knows no time, and is never changed but by Apply,
// in the order of the group's log, so that it is the same on every member. It is JSON in snapshots.
type Store struct {
	Documents map[string]*Document `json:"docs"`
	Processes map[string]*Process  `json:"users"`
}

// NewStore returns a store without documents.
func NewStore() *Store { return &Store{map[string]*Document{}, map[string]*Process{}} }

// Op is what a change asks of a store. The texts are in the group's log and on the wire.
type Op string

// The operations.
const (
	OpPropose   Op = "put"      // a change, on top of a version that is in force
	OpLoadDraft Op = "load"     // parts of a draft that a later OpPropose names
	OpRegister  Op = "join"     // by a process, before it acts on anything
	OpExpire    Op = "lapse"    // by the group's leader, of a process that it has not heard of for a lease, so that it acts on nothing exclusive
	OpReport    Op = "say"      // by a process: what it has prepared, refuses, and has quiesced for
	OpAdvance   Op = "advance"  // by the leader: to the next stage, once nothing is waited for
	OpWithdraw  Op = "withdraw" // of a version that is not active
	OpRevert    Op = "takeback" // of one that is: the contents before it, as a new version
	OpHold      Op = "hold"     // have a change wait before its next stage
	OpRelease   Op = "release"  // and have it go on
)

// Change is one thing asked of a store.
type Change struct {
	Op        Op             `json:"op"`
	Doc       string         `json:"doc,omitempty"`
	Version   int            `json:"version,omitempty"` // OpPropose: the active one, 0 for none; else the one that is meant
	Format    int            `json:"format,omitempty"`
	Text      string         `json:"text,omitempty"`
	Exclusive bool           `json:"exclusive,omitempty"`
	Rollout   *RolloutPolicy `json:"try,omitempty"`

	Parts  map[string]string `json:"parts,omitempty"`  // OpPropose and OpLoadDraft: the texts of the parts that change
	Draft  string            `json:"draft,omitempty"`  // OpLoadDraft: the one that they belong to; OpPropose: the one whose parts it proposes
	Digest uint64            `json:"digest,omitempty"` // OpPropose in parts: what the whole must come to
	Scope  []string          `json:"touches,omitempty"`

	AllowRejected bool     `json:"again,omitempty"` // OpPropose: also what was reverted before
	Stage         Stage    `json:"stage,omitempty"` // OpAdvance: from this one
	Baseline      *Goodput `json:"base,omitempty"`  // OpAdvance: the goodput until now
	Process       *Process `json:"user,omitempty"`  // OpRegister and OpReport
	Author        string   `json:"by,omitempty"`
	Reason        string   `json:"why,omitempty"`
	At            int64    `json:"at,omitempty"`
}

// Why Apply refuses a change, with the document and version in the text around it.
var (
	ErrStaleBase      = errors.New("another version is in force") // it was made on top of another one
	ErrChangePending  = errors.New("a change is under way")       // one at a time
	ErrNoSuchChange   = errors.New("there is no such change")     // nor such a document, or version
	ErrNotReady       = errors.New("it still waits")              // for a process, or for an operator
	ErrNotRegistered  = errors.New("not registered")              // a process reports that the group does not know
	ErrRejectedBefore = errors.New("it was taken back before")    // as it made things worse
)

// MaxProcesses bounds the processes that are registered. The leader keeps two minutes of each one's goodput, 24 bytes a report: 12 MB of
// all where they report once a second.
const MaxProcesses = 4096

// Bounds of what the group keeps, and sends in each snapshot.
const (
	maxDocuments = 32        // the member takes four names (DocumentNames); the rest is for those of later builds
	maxHistory   = 16        // versions of a document that can be looked at, and reverted to
	maxRejected  = 8         // digests that are not proposed again by mistake
	maxTextSize  = 256 << 10 // bytes of one change, and of a document that is not in parts: it goes into the log as one entry
	maxReason    = 512       // bytes of a text from an operator or a process
)

// Apply does what a change asks, in the order of the group's log. It returns the document that the change is of, nil where it is of a
// process. An error changes nothing; errors.Is tells the ones above, and the text goes to whoever asked.
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

// clip bounds a text that comes from outside.
func clip(s string) string { return s[:min(len(s), maxReason)] }
