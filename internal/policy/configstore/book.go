package configstore

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Stage is how far a change has come.
type Stage string

const (
	StageProposed  Stage = "proposed" // all who use the document are to check it and to hold it
	StageCanary    Stage = "trial"    // some of them act on it
	StageQuiescing Stage = "turning"  // all stop what it excludes, and nobody begins the new yet
)

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

// Refusal is why a process can't act on a version.
type Refusal struct {
	Version int    `json:"version"`
	Reason  string `json:"why"`
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

// Process is a process that uses documents. It is one start of it: what comes back under a name is another one.
type Process struct {
	Name     string             `json:"name"`
	Formats  map[string]int     `json:"reads"` // the highest format that it reads of each document that it uses
	Prepared map[string]int     `json:"holds"` // the version that it has checked and kept
	Quiesced map[string]int     `json:"stopped"`
	Refusals map[string]Refusal `json:"refuses,omitempty"`
}

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

// MonitorAuthor is who takes back what made things worse.
const MonitorAuthor = "the watch"

func clip(s string) string { return s[:min(len(s), maxReason)] }

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

func (b *Store) propose(c Change) (*Document, error) {
	d := b.Documents[c.Doc]
	if d == nil {
		d = &Document{Name: c.Doc}
	}
	force, digest := 0, NewID(1, []byte(c.Text)).Digest
	split := len(c.Parts) > 0 || c.Draft != ""
	if d.Active != nil {
		force = d.Active.ID.Version
	}
	switch {
	case c.Doc == "" || len(b.Documents) >= maxDocuments && b.Documents[c.Doc] == nil:
		return d, fmt.Errorf("%d documents are all that there can be", maxDocuments)
	case !split && d.Active != nil && d.Active.InParts:
		return d, fmt.Errorf("%s is in parts: a whole text can't be put on it, silverpath rules put splits it", c.Doc)
	case split && c.Text != "":
		return d, fmt.Errorf("%s: a text beside parts", c.Doc)
	case !split && (len(c.Text) > maxTextSize || c.Text == ""):
		return d, fmt.Errorf("%s: %d bytes, of 1 to %d", c.Doc, len(c.Text), maxTextSize)
	case d.Proposed != nil:
		return d, fmt.Errorf("%w: version %d of %s is %s", ErrChangePending, d.Proposed.ID.Version, c.Doc, d.Stage)
	case c.Version != force:
		return d, fmt.Errorf("%w: %d of %s, not %d", ErrStaleBase, force, c.Doc, c.Version)
	}
	var over map[string]Part
	if split {
		var err error
		if over, digest, err = d.changedParts(c); err != nil {
			return d, err
		}
	}
	switch {
	case d.Active != nil && d.Active.ID.Digest == digest:
		return d, fmt.Errorf("version %d of %s says the same", force, c.Doc)
	case slices.Contains(d.RejectedDigests, digest) && !c.AllowRejected:
		return d, fmt.Errorf("%w: made things worse", ErrRejectedBefore)
	}
	d.RejectedDigests = slices.DeleteFunc(d.RejectedDigests, func(was uint64) bool { return was == digest })
	d.HighestVersion++
	e := &Revision{ID: ID{d.HighestVersion, digest}, Format: max(1, c.Format), Text: c.Text, Author: clip(c.Author), ProposedAt: c.At, Exclusive: c.Exclusive,
		Scope: c.Scope, Rollout: c.Rollout, InParts: split, Parts: over}
	if split {
		e.Format, d.Draft = max(PartsFormat, c.Format), nil
	}
	d.Proposed, d.Stage, d.HoldReason = e, StageProposed, clip(c.Reason)
	b.Documents[c.Doc] = d
	return d, nil
}

// revert makes the contents from before the version in force the next one. It goes the same way as any change.
func (d *Document) revert(c Change) error {
	if d.Active == nil || d.Active.ID.Version != c.Version {
		return fmt.Errorf("%w: version %d of %s is not in force", ErrNoSuchChange, c.Version, c.Doc)
	}
	if d.Proposed != nil {
		return fmt.Errorf("%w: version %d of %s is %s", ErrChangePending, d.Proposed.ID.Version, c.Doc, d.Stage)
	}
	if d.Active.InParts {
		return fmt.Errorf("%s is in parts, of which no version before is kept: put what it was", c.Doc)
	}
	for _, was := range slices.Backward(d.History) {
		if was.ActiveSince == 0 || was.ID.Digest == d.Active.ID.Digest {
			continue // it was never in force
		}
		d.rejectDigest(d.Active.ID.Digest)
		d.Active.Outcome = clip("taken back: " + c.Reason)
		d.HighestVersion++
		d.Proposed = &Revision{ID: ID{d.HighestVersion, was.ID.Digest}, Format: was.Format, Text: was.Text, Author: clip(c.Author), ProposedAt: c.At,
			Exclusive: d.Active.Exclusive, Scope: d.Active.Scope, RevertsTo: was.ID.Version}
		d.Stage, d.HoldReason = StageProposed, ""
		return nil
	}
	return fmt.Errorf("%w: nothing was in force before", ErrNoSuchChange)
}

// report takes what a process says of itself.
func (b *Store) report(c Change) error {
	if c.Process == nil || c.Process.Name == "" {
		return errors.New("who: missing")
	}
	u := b.Processes[c.Process.Name]
	if c.Op == OpRegister {
		if u == nil && len(b.Processes) >= MaxProcesses {
			return fmt.Errorf("%d processes are registered already", MaxProcesses)
		}
		u = &Process{Name: c.Process.Name, Formats: c.Process.Formats, Prepared: map[string]int{}, Quiesced: map[string]int{}, Refusals: map[string]Refusal{}}
		b.Processes[u.Name] = u
	}
	if u == nil {
		return fmt.Errorf("%w: %s", ErrNotRegistered, c.Process.Name)
	}
	for name := range u.Formats {
		// Only of what is under way: what a late word says of another version is no news.
		d := b.Documents[name]
		if d == nil || d.Proposed == nil {
			continue
		}
		n := d.Proposed.ID.Version
		if c.Process.Prepared[name] == n {
			u.Prepared[name] = n
		}
		if c.Process.Quiesced[name] == n && u.Prepared[name] == n && d.Stage == StageQuiescing {
			u.Quiesced[name] = n
		}
		if r, ok := c.Process.Refusals[name]; ok && r.Version == n {
			if u.Refusals == nil {
				u.Refusals = map[string]Refusal{}
			}
			r.Reason = clip(r.Reason)
			u.Refusals[name] = r
		}
	}
	return nil
}

// HasNews is what a word of a process adds to what is known of it.
func (b *Store) HasNews(u Process) bool {
	was := b.Processes[u.Name]
	if was == nil {
		return true
	}
	for name, d := range b.Documents {
		if _, uses := was.Formats[name]; !uses || d.Proposed == nil {
			continue
		}
		n := d.Proposed.ID.Version
		if u.Prepared[name] == n && was.Prepared[name] != n || u.Quiesced[name] == n && was.Quiesced[name] != n && d.Stage == StageQuiescing ||
			u.Refusals[name].Version == n && was.Refusals[name].Version != n {
			return true
		}
	}
	return false
}

// WaitingFor names what a change waits for, the first in the order of names, and is empty where that is nothing.
func (b *Store) WaitingFor(d *Document) string {
	if d.Proposed == nil {
		return ""
	}
	if d.HoldReason != "" {
		return "held: " + d.HoldReason
	}
	n := d.Proposed.ID.Version
	for _, name := range slices.Sorted(maps.Keys(b.Processes)) {
		u := b.Processes[name]
		format, uses := u.Formats[d.Name]
		switch {
		case !uses:
		case format < d.Proposed.Format:
			return fmt.Sprintf("%s reads format %d, and this is %d", name, format, d.Proposed.Format)
		case d.Stage == StageProposed && u.Refusals[d.Name].Version == n:
			return fmt.Sprintf("%s can't act on it: %s", name, u.Refusals[d.Name].Reason)
		case d.Stage != StageQuiescing && u.Prepared[d.Name] != n:
			return name + " does not hold it yet"
		case d.Stage == StageQuiescing && u.Quiesced[d.Name] != n:
			return name + " has not stopped yet"
		}
	}
	return ""
}

// RefusedBy is who can't act on a change, and why, where anybody said so.
func (b *Store) RefusedBy(d *Document) (who, why string) {
	if d.Proposed == nil || d.Stage != StageProposed {
		return "", ""
	}
	for _, name := range slices.Sorted(maps.Keys(b.Processes)) {
		if r := b.Processes[name].Refusals[d.Name]; r.Version == d.Proposed.ID.Version {
			return name, r.Reason
		}
	}
	return "", ""
}

// IsOfferedTo is whether a process is handed a change: not one of a format that it does not read.
func (d *Document) IsOfferedTo(u *Process) bool {
	return d.Proposed != nil && u.Formats[d.Name] >= d.Proposed.Format
}

// advance takes a change a stage on. Whoever leads the group asks for it; that nothing is waited for is seen here, in the log's
// order, by every member alike.
func (b *Store) advance(d *Document, c Change) error {
	if c.Stage != d.Stage {
		return fmt.Errorf("%w: it is %s, not %s", ErrNoSuchChange, d.Stage, c.Stage)
	}
	if why := b.WaitingFor(d); why != "" {
		return fmt.Errorf("%w: %s", ErrNotReady, why)
	}
	switch {
	case d.Stage == StageProposed && d.Proposed.Rollout != nil && d.Proposed.Rollout.CanaryRatio > 0 && !d.Proposed.Exclusive && d.Active != nil:
		d.Stage = StageCanary
		d.Proposed.Canaries = b.canaries(d)
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

// canaries are the processes that act on a change first: the first of their names' digests, so that it is not always the same.
func (b *Store) canaries(d *Document) (names []string) {
	for name, u := range b.Processes {
		if _, uses := u.Formats[d.Name]; uses {
			names = append(names, name)
		}
	}
	order := func(name string) uint64 { return NewID(1, []byte(fmt.Sprint(d.Proposed.ID, name))).Digest }
	slices.SortFunc(names, func(x, y string) int {
		if order(x) < order(y) {
			return -1
		}
		return 1
	})
	n := int(float64(len(names))*d.Proposed.Rollout.CanaryRatio + 0.5)
	return names[:min(len(names), max(1, n))]
}
