package configstore

import (
	"errors"
	"fmt"
)

// Store is what a group agrees on. It knows no time, and is never changed but by Apply, in the order of the group's log.
type Store struct {
	Documents map[string]*Document `json:"docs"`
	Processes map[string]*Process  `json:"users"`
}

// NewStore returns a book without documents.
func NewStore() *Store { return &Store{map[string]*Document{}, map[string]*Process{}} }

// Op is what is asked of a book.
type Op string

const (
	OpPropose   Op = "put"      // a change, on top of a version that is in force
	OpLoadDraft Op = "load"     // parts of a draft that a later Put names
	OpRegister  Op = "join"     // by a process, before it acts on anything
	OpExpire    Op = "lapse"    // by the group's leader, of a process that it has not heard of for so long that it acts on nothing
	OpReport    Op = "say"      // by a process: what it holds, refuses, and has stopped
	OpAdvance   Op = "advance"  // by the leader, once nothing is waited for
	OpWithdraw  Op = "withdraw" // of a version that is not in force
	OpRevert    Op = "takeback" // of one that is: the contents before it, as a new version
	OpHold      Op = "hold"     // have a change wait
	OpRelease   Op = "release"  // and go on
)

// Change is one thing asked of a book.
type Change struct {
	Op        Op             `json:"op"`
	Doc       string         `json:"doc,omitempty"`
	Version   int            `json:"version,omitempty"` // Put: the one in force, 0 for none; else the one that is meant
	Format    int            `json:"format,omitempty"`
	Text      string         `json:"text,omitempty"`
	Exclusive bool           `json:"exclusive,omitempty"`
	Rollout   *RolloutPolicy `json:"try,omitempty"`

	Parts  map[string]string `json:"parts,omitempty"`  // Put and Load: the texts of the parts that change
	Draft  string            `json:"draft,omitempty"`  // Load: the one that they belong to; Put: the one whose parts it puts
	Digest uint64            `json:"digest,omitempty"` // Put in parts: what the whole must come to
	Scope  []string          `json:"touches,omitempty"`

	AllowRejected bool     `json:"again,omitempty"` // put what was taken back before
	Stage         Stage    `json:"stage,omitempty"` // Advance: from this one
	Baseline      *Goodput `json:"base,omitempty"`  // Advance into force: what is served until now
	Process       *Process `json:"user,omitempty"`  // Join and Say
	Author        string   `json:"by,omitempty"`
	Reason        string   `json:"why,omitempty"`
	At            int64    `json:"at,omitempty"`
}

// What a book says no for.
var (
	ErrStaleBase      = errors.New("another version is in force")
	ErrChangePending  = errors.New("a change is under way")
	ErrNoSuchChange   = errors.New("there is no such change")
	ErrNotReady       = errors.New("it still waits")
	ErrNotRegistered  = errors.New("not registered")
	ErrRejectedBefore = errors.New("it was taken back before")
)

// MaxProcesses bounds the processes that are registered. The leader keeps two minutes of each one's words, 24 bytes each: 12 MB of all
// where they ask once a second.
const MaxProcesses = 4096

// Bounds of what the group keeps.
const (
	maxDocuments = 32
	maxHistory   = 16
	maxRejected  = 8
	maxTextSize  = 256 << 10
	maxReason    = 512
)

// Apply does what is asked. An error changes nothing.
func (b *Store) Apply(c Change) (*Document, error) {
	switch c.Op {
	case OpRegister, OpReport:
		return nil, b.report(c)
	case OpExpire:
		delete(b.Processes, c.Author)
		return nil, nil
	case OpPropose:
		return b.propose(c)
	case OpLoadDraft:
		return b.loadDraft(c)
	}
	d := b.Documents[c.Doc]
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
		if d.HoldReason = clip(c.Reason); d.HoldReason == "" {
			d.HoldReason = "by an operator"
		}
	case OpRelease:
		d.HoldReason = ""
	case OpWithdraw:
		d.Proposed.Outcome = clip("withdrawn: " + c.Reason)
		if d.Stage == StageCanary && c.Author == MonitorAuthor {
			d.rejectDigest(d.Proposed.ID.Digest)
		}
		if d.Proposed.RevertsTo > 0 {
			d.Active.Outcome = "" // it stays after all
		}
		d.archive(d.Proposed)
		d.Proposed, d.Stage, d.HoldReason = nil, "", ""
	case OpAdvance:
		return d, b.advance(d, c)
	default:
		return d, fmt.Errorf("no such op: %q", c.Op)
	}
	return d, nil
}

func clip(s string) string { return s[:min(len(s), maxReason)] }
