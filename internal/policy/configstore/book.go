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
	Proposed Stage = "proposed" // all who use the document are to check it and to hold it
	Trial    Stage = "trial"    // some of them act on it
	Turning  Stage = "turning"  // all stop what it excludes, and nobody begins the new yet
)

// Entry is one version of a document.
type Entry struct {
	ID        ID       `json:"id"`
	Format    int      `json:"format"` // a process of a build that reads a lower one is not handed it
	Text      string   `json:"text,omitempty"`
	By        string   `json:"by,omitempty"`
	At        int64    `json:"at,omitempty"`        // Unix milliseconds, by the clock of the group's leader then: for people
	Exclusive bool     `json:"exclusive,omitempty"` // it differs from the one before in what may not overlap
	Try       *Try     `json:"try,omitempty"`       // how it is watched; nil: not
	Back      int      `json:"back,omitempty"`      // it has the contents of this version again
	Base      *Worth   `json:"base,omitempty"`      // what was served before it came into force
	Since     int64    `json:"since,omitempty"`     // when it came into force, as At
	Ended     string   `json:"ended,omitempty"`     // what became of it: replaced, withdrawn, taken back; empty: nothing yet
	Canaries  []string `json:"parts,omitempty"`     // who acted on it in its trial; by its name of before there were parts
	Touches   []string `json:"touches,omitempty"`   // of one that is exclusive, what stops while all turn; empty: everything

	// Of a document in parts, which has no text:
	Split   bool            `json:"split,omitempty"`
	Parts   map[string]Part `json:"by_part,omitempty"` // in force: all; under way: those that differ from what is in force
	Changed []string        `json:"changed,omitempty"` // the parts in which it differed from the version before
}

// Try is how a change that may be bad is watched.
type Try struct {
	Part  float64 `json:"part,omitempty"` // of the processes that act on it first; 0: all at once
	For   int64   `json:"for_ms"`         // so long, in milliseconds, in the trial and once it is in force
	Worse float64 `json:"worse"`          // by so much less of the worth is served than else, and it is taken back
}

// Worth is what a process was asked for and what it served, since its start.
type Worth struct {
	Asked  float64 `json:"asked"`
	Served float64 `json:"served"`
}

// Share is the part that was served, 1 of nothing.
func (w Worth) Share() float64 {
	if w.Asked <= 0 {
		return 1
	}
	return w.Served / w.Asked
}

// Doc is a document with what is to become of it.
type Doc struct {
	Name    string   `json:"name"`
	Top     int      `json:"top"`             // the highest version that was ever given
	Force   *Entry   `json:"force,omitempty"` // nil: none yet
	Next    *Entry   `json:"next,omitempty"`  // nil: no change is under way
	Stage   Stage    `json:"stage,omitempty"` // of Next
	Held    string   `json:"held,omitempty"`  // why an operator has Next wait; empty: it does not
	History []*Entry `json:"history,omitempty"`
	Bad     []uint64 `json:"bad,omitempty"` // digests that were taken back
	Draft   *Draft   `json:"draft,omitempty"`
}

// Refusal is why a process can't act on a version.
type Refusal struct {
	Version int    `json:"version"`
	Why     string `json:"why"`
}

// Find returns a version that is kept, nil for none.
func (d *Doc) Find(version int) *Entry {
	for _, e := range append([]*Entry{d.Force, d.Next}, d.History...) {
		if e != nil && e.ID.Version == version {
			return e
		}
	}
	return nil
}

// User is a process that uses documents. It is one start of it: what comes back under a name is another one.
type User struct {
	Name    string             `json:"name"`
	Reads   map[string]int     `json:"reads"` // the highest format that it reads of each document that it uses
	Holds   map[string]int     `json:"holds"` // the version that it has checked and kept
	Stopped map[string]int     `json:"stopped"`
	Refuses map[string]Refusal `json:"refuses,omitempty"`
}

// Book is what a group agrees on. It knows no time, and is never changed but by Apply, in the order of the group's log.
type Book struct {
	Docs  map[string]*Doc  `json:"docs"`
	Users map[string]*User `json:"users"`
}

// NewBook returns a book without documents.
func NewBook() *Book { return &Book{map[string]*Doc{}, map[string]*User{}} }

// Op is what is asked of a book.
type Op string

const (
	Put      Op = "put"      // a change, on top of a version that is in force
	Load     Op = "load"     // parts of a draft that a later Put names
	Join     Op = "join"     // by a process, before it acts on anything
	Lapse    Op = "lapse"    // by the group's leader, of a process that it has not heard of for so long that it acts on nothing
	Say      Op = "say"      // by a process: what it holds, refuses, and has stopped
	Advance  Op = "advance"  // by the leader, once nothing is waited for
	Withdraw Op = "withdraw" // of a version that is not in force
	TakeBack Op = "takeback" // of one that is: the contents before it, as a new version
	Hold     Op = "hold"     // have a change wait
	Release  Op = "release"  // and go on
)

// Change is one thing asked of a book.
type Change struct {
	Op        Op     `json:"op"`
	Doc       string `json:"doc,omitempty"`
	Version   int    `json:"version,omitempty"` // Put: the one in force, 0 for none; else the one that is meant
	Format    int    `json:"format,omitempty"`
	Text      string `json:"text,omitempty"`
	Exclusive bool   `json:"exclusive,omitempty"`
	Try       *Try   `json:"try,omitempty"`

	Parts   map[string]string `json:"parts,omitempty"`  // Put and Load: the texts of the parts that change
	Draft   string            `json:"draft,omitempty"`  // Load: the one that they belong to; Put: the one whose parts it puts
	Digest  uint64            `json:"digest,omitempty"` // Put in parts: what the whole must come to
	Touches []string          `json:"touches,omitempty"`

	Again bool   `json:"again,omitempty"` // put what was taken back before
	Stage Stage  `json:"stage,omitempty"` // Advance: from this one
	Base  *Worth `json:"base,omitempty"`  // Advance into force: what is served until now
	User  *User  `json:"user,omitempty"`  // Join and Say
	By    string `json:"by,omitempty"`
	Why   string `json:"why,omitempty"`
	At    int64  `json:"at,omitempty"`
}

// What a book says no for.
var (
	ErrBase    = errors.New("another version is in force")
	ErrUnder   = errors.New("a change is under way")
	ErrNone    = errors.New("there is no such change")
	ErrWaits   = errors.New("it still waits")
	ErrUnknown = errors.New("not registered")
	ErrBad     = errors.New("it was taken back before")
)

// MostUsers bounds the processes that are registered. The leader keeps two minutes of each one's words, 24 bytes each: 12 MB of all
// where they ask once a second.
const MostUsers = 4096

// Bounds of what the group keeps.
const (
	mostDocs    = 32
	mostHistory = 16
	mostBad     = 8
	longestText = 256 << 10
	longestWhy  = 512
)

// Apply does what is asked. An error changes nothing.
func (b *Book) Apply(c Change) (*Doc, error) {
	switch c.Op {
	case Join, Say:
		return nil, b.said(c)
	case Lapse:
		delete(b.Users, c.By)
		return nil, nil
	case Put:
		return b.put(c)
	case Load:
		return b.load(c)
	}
	d := b.Docs[c.Doc]
	if d == nil {
		return nil, fmt.Errorf("%w: no document %q", ErrNone, c.Doc)
	}
	if c.Op == TakeBack {
		return d, d.takeBack(c)
	}
	if d.Next == nil || d.Next.ID.Version != c.Version {
		return d, fmt.Errorf("%w: version %d of %s is not under way", ErrNone, c.Version, c.Doc)
	}
	switch c.Op {
	case Hold:
		if d.Held = clip(c.Why); d.Held == "" {
			d.Held = "by an operator"
		}
	case Release:
		d.Held = ""
	case Withdraw:
		d.Next.Ended = clip("withdrawn: " + c.Why)
		if d.Stage == Trial && c.By == Watcher {
			d.bad(d.Next.ID.Digest)
		}
		if d.Next.Back > 0 {
			d.Force.Ended = "" // it stays after all
		}
		d.past(d.Next)
		d.Next, d.Stage, d.Held = nil, "", ""
	case Advance:
		return d, b.advance(d, c)
	default:
		return d, fmt.Errorf("no such op: %q", c.Op)
	}
	return d, nil
}

// Watcher is who takes back what made things worse.
const Watcher = "the watch"

func clip(s string) string { return s[:min(len(s), longestWhy)] }

func (d *Doc) past(e *Entry) {
	d.History = append(d.History, e.bare())
	if n := len(d.History) - mostHistory; n > 0 {
		d.History = slices.Delete(d.History, 0, n)
	}
}

func (d *Doc) bad(digest uint64) {
	if !slices.Contains(d.Bad, digest) {
		d.Bad = append(d.Bad, digest)
	}
	if n := len(d.Bad) - mostBad; n > 0 {
		d.Bad = slices.Delete(d.Bad, 0, n)
	}
}

func (b *Book) put(c Change) (*Doc, error) {
	d := b.Docs[c.Doc]
	if d == nil {
		d = &Doc{Name: c.Doc}
	}
	force, digest := 0, Name(1, []byte(c.Text)).Digest
	split := len(c.Parts) > 0 || c.Draft != ""
	if d.Force != nil {
		force = d.Force.ID.Version
	}
	switch {
	case c.Doc == "" || len(b.Docs) >= mostDocs && b.Docs[c.Doc] == nil:
		return d, fmt.Errorf("%d documents are all that there can be", mostDocs)
	case !split && d.Force != nil && d.Force.Split:
		return d, fmt.Errorf("%s is in parts: a whole text can't be put on it, silverpath rules put splits it", c.Doc)
	case split && c.Text != "":
		return d, fmt.Errorf("%s: a text beside parts", c.Doc)
	case !split && (len(c.Text) > longestText || c.Text == ""):
		return d, fmt.Errorf("%s: %d bytes, of 1 to %d", c.Doc, len(c.Text), longestText)
	case d.Next != nil:
		return d, fmt.Errorf("%w: version %d of %s is %s", ErrUnder, d.Next.ID.Version, c.Doc, d.Stage)
	case c.Version != force:
		return d, fmt.Errorf("%w: %d of %s, not %d", ErrBase, force, c.Doc, c.Version)
	}
	var over map[string]Part
	if split {
		var err error
		if over, digest, err = d.overlay(c); err != nil {
			return d, err
		}
	}
	switch {
	case d.Force != nil && d.Force.ID.Digest == digest:
		return d, fmt.Errorf("version %d of %s says the same", force, c.Doc)
	case slices.Contains(d.Bad, digest) && !c.Again:
		return d, fmt.Errorf("%w: made things worse", ErrBad)
	}
	d.Bad = slices.DeleteFunc(d.Bad, func(was uint64) bool { return was == digest })
	d.Top++
	e := &Entry{ID: ID{d.Top, digest}, Format: max(1, c.Format), Text: c.Text, By: clip(c.By), At: c.At, Exclusive: c.Exclusive,
		Touches: c.Touches, Try: c.Try, Split: split, Parts: over}
	if split {
		e.Format, d.Draft = max(FormatInParts, c.Format), nil
	}
	d.Next, d.Stage, d.Held = e, Proposed, clip(c.Why)
	b.Docs[c.Doc] = d
	return d, nil
}

// takeBack makes the contents from before the version in force the next one. It goes the same way as any change.
func (d *Doc) takeBack(c Change) error {
	if d.Force == nil || d.Force.ID.Version != c.Version {
		return fmt.Errorf("%w: version %d of %s is not in force", ErrNone, c.Version, c.Doc)
	}
	if d.Next != nil {
		return fmt.Errorf("%w: version %d of %s is %s", ErrUnder, d.Next.ID.Version, c.Doc, d.Stage)
	}
	if d.Force.Split {
		return fmt.Errorf("%s is in parts, of which no version before is kept: put what it was", c.Doc)
	}
	for _, was := range slices.Backward(d.History) {
		if was.Since == 0 || was.ID.Digest == d.Force.ID.Digest {
			continue // it was never in force
		}
		d.bad(d.Force.ID.Digest)
		d.Force.Ended = clip("taken back: " + c.Why)
		d.Top++
		d.Next = &Entry{ID: ID{d.Top, was.ID.Digest}, Format: was.Format, Text: was.Text, By: clip(c.By), At: c.At,
			Exclusive: d.Force.Exclusive, Touches: d.Force.Touches, Back: was.ID.Version}
		d.Stage, d.Held = Proposed, ""
		return nil
	}
	return fmt.Errorf("%w: nothing was in force before", ErrNone)
}

// said takes what a process says of itself.
func (b *Book) said(c Change) error {
	if c.User == nil || c.User.Name == "" {
		return errors.New("who: missing")
	}
	u := b.Users[c.User.Name]
	if c.Op == Join {
		if u == nil && len(b.Users) >= MostUsers {
			return fmt.Errorf("%d processes are registered already", MostUsers)
		}
		u = &User{Name: c.User.Name, Reads: c.User.Reads, Holds: map[string]int{}, Stopped: map[string]int{}, Refuses: map[string]Refusal{}}
		b.Users[u.Name] = u
	}
	if u == nil {
		return fmt.Errorf("%w: %s", ErrUnknown, c.User.Name)
	}
	for name := range u.Reads {
		// Only of what is under way: what a late word says of another version is no news.
		d := b.Docs[name]
		if d == nil || d.Next == nil {
			continue
		}
		n := d.Next.ID.Version
		if c.User.Holds[name] == n {
			u.Holds[name] = n
		}
		if c.User.Stopped[name] == n && u.Holds[name] == n && d.Stage == Turning {
			u.Stopped[name] = n
		}
		if r, ok := c.User.Refuses[name]; ok && r.Version == n {
			if u.Refuses == nil {
				u.Refuses = map[string]Refusal{}
			}
			r.Why = clip(r.Why)
			u.Refuses[name] = r
		}
	}
	return nil
}

// New is what a word of a process adds to what is known of it.
func (b *Book) New(u User) bool {
	was := b.Users[u.Name]
	if was == nil {
		return true
	}
	for name, d := range b.Docs {
		if _, uses := was.Reads[name]; !uses || d.Next == nil {
			continue
		}
		n := d.Next.ID.Version
		if u.Holds[name] == n && was.Holds[name] != n || u.Stopped[name] == n && was.Stopped[name] != n && d.Stage == Turning ||
			u.Refuses[name].Version == n && was.Refuses[name].Version != n {
			return true
		}
	}
	return false
}

// Waits names what a change waits for, the first in the order of names, and is empty where that is nothing.
func (b *Book) Waits(d *Doc) string {
	if d.Next == nil {
		return ""
	}
	if d.Held != "" {
		return "held: " + d.Held
	}
	n := d.Next.ID.Version
	for _, name := range slices.Sorted(maps.Keys(b.Users)) {
		u := b.Users[name]
		format, uses := u.Reads[d.Name]
		switch {
		case !uses:
		case format < d.Next.Format:
			return fmt.Sprintf("%s reads format %d, and this is %d", name, format, d.Next.Format)
		case d.Stage == Proposed && u.Refuses[d.Name].Version == n:
			return fmt.Sprintf("%s can't act on it: %s", name, u.Refuses[d.Name].Why)
		case d.Stage != Turning && u.Holds[d.Name] != n:
			return name + " does not hold it yet"
		case d.Stage == Turning && u.Stopped[d.Name] != n:
			return name + " has not stopped yet"
		}
	}
	return ""
}

// Refused is who can't act on a change, and why, where anybody said so.
func (b *Book) Refused(d *Doc) (who, why string) {
	if d.Next == nil || d.Stage != Proposed {
		return "", ""
	}
	for _, name := range slices.Sorted(maps.Keys(b.Users)) {
		if r := b.Users[name].Refuses[d.Name]; r.Version == d.Next.ID.Version {
			return name, r.Why
		}
	}
	return "", ""
}

// Handed is whether a process is handed a change: not one of a format that it does not read.
func (d *Doc) Handed(u *User) bool { return d.Next != nil && u.Reads[d.Name] >= d.Next.Format }

// advance takes a change a stage on. Whoever leads the group asks for it; that nothing is waited for is seen here, in the log's
// order, by every member alike.
func (b *Book) advance(d *Doc, c Change) error {
	if c.Stage != d.Stage {
		return fmt.Errorf("%w: it is %s, not %s", ErrNone, d.Stage, c.Stage)
	}
	if why := b.Waits(d); why != "" {
		return fmt.Errorf("%w: %s", ErrWaits, why)
	}
	switch {
	case d.Stage == Proposed && d.Next.Try != nil && d.Next.Try.Part > 0 && !d.Next.Exclusive && d.Force != nil:
		d.Stage = Trial
		d.Next.Canaries = b.part(d)
	case d.Stage != Turning && d.Next.Exclusive && d.Force != nil:
		d.Stage = Turning
	default:
		if d.Force != nil {
			if d.Force.Ended == "" {
				d.Force.Ended = fmt.Sprintf("replaced by version %d", d.Next.ID.Version)
			}
			d.past(d.Force)
		}
		if d.Next.Split {
			d.Next = d.Next.onto(d.Force)
		}
		d.Next.Since, d.Next.Base = max(1, c.At), c.Base
		d.Force, d.Next, d.Stage = d.Next, nil, ""
	}
	return nil
}

// part are the processes that act on a change first: the first of their names' digests, so that it is not always the same.
func (b *Book) part(d *Doc) (names []string) {
	for name, u := range b.Users {
		if _, uses := u.Reads[d.Name]; uses {
			names = append(names, name)
		}
	}
	order := func(name string) uint64 { return Name(1, []byte(fmt.Sprint(d.Next.ID, name))).Digest }
	slices.SortFunc(names, func(x, y string) int {
		if order(x) < order(y) {
			return -1
		}
		return 1
	})
	n := int(float64(len(names))*d.Next.Try.Part + 0.5)
	return names[:min(len(names), max(1, n))]
}
