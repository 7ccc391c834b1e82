package configstore

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// This file has documents in parts: what a change pays for is what it changes. docs/design/parts.md.

// Part is a piece of a document.
type Part struct {
	Version int    `json:"v"` // of the document, in which it last changed
	Digest  uint64 `json:"d"` // of its text
	Text    string `json:"t,omitempty"`
}

// Draft is a document in parts that is too large for one change, while it is put together. A document has one at most.
type Draft struct {
	ID    string            `json:"id"`
	Parts map[string]string `json:"parts"`
}

// Bounds of a document in parts.
const (
	// MaxParts bounds what has to be named to name a document whole: a manifest of so many is about 50 KB.
	MaxParts = 1024
	// MaxPartSize bounds the least that can be sent of a change: an answer carries several.
	MaxPartSize = 64 << 10
	// MaxDocumentSize bounds what each member keeps and sends in a snapshot, and each process holds: eight times the map of 930
	// servers and 21,000 tenants.
	MaxDocumentSize = 16 << 20
	maxPartName     = 64
	PartsFormat     = 2 // of a document that is not in parts it is 1: a process that reads only those is not handed this
)

// PartDigest is the digest of a part's text.
func PartDigest(text string) uint64 { return xxhash.Sum64String(text) }

// PartsDigest is the digest of a document in parts: that of the names and digests of its parts.
func PartsDigest(parts map[string]Part) uint64 {
	h := xxhash.New()
	var b [9]byte // of a 0, which no name has, and a digest
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		h.WriteString(name)
		binary.BigEndian.PutUint64(b[1:], parts[name].Digest)
		h.Write(b[:])
	}
	return h.Sum64()
}

// TextsDigest is Sum for texts.
func TextsDigest(texts map[string]string) uint64 {
	parts := map[string]Part{}
	for name, text := range texts {
		parts[name] = Part{Digest: PartDigest(text)}
	}
	return PartsDigest(parts)
}

// CheckSize names the bound that parts of a document are beyond.
func CheckSize(doc string, texts map[string]string) error {
	if len(texts) > MaxParts {
		return fmt.Errorf("%s: %d parts, of at most %d", doc, len(texts), MaxParts)
	}
	size := 0
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		n := len(texts[name])
		size += len(name) + n
		switch {
		case name == "" || len(name) > maxPartName || strings.ContainsRune(name, 0):
			return fmt.Errorf("%s: a part's name %.70q: of 1 to %d bytes, none of them 0", doc, name, maxPartName)
		case n == 0 || n > MaxPartSize:
			return fmt.Errorf("%s: part %s: %d bytes, of 1 to %d", doc, name, n, MaxPartSize)
		}
	}
	if size > MaxDocumentSize {
		return fmt.Errorf("%s: %d bytes in parts, of at most %d", doc, size, MaxDocumentSize)
	}
	return nil
}

// CheckChangeSize is Fits for what one change carries. What is larger goes into a draft by several.
func CheckChangeSize(doc string, texts map[string]string) error {
	if err := CheckSize(doc, texts); err != nil {
		return err
	}
	if n := sizeOf(texts); n > maxTextSize {
		return fmt.Errorf("%s: %d bytes in one change, of at most %d", doc, n, maxTextSize)
	}
	return nil
}

func sizeOf(texts map[string]string) (n int) {
	for name, text := range texts {
		n += len(name) + len(text)
	}
	return n
}

// Batches splits parts into what one change each can carry, in the order of their names.
func Batches(texts map[string]string) (list []map[string]string) {
	size := 0
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		n := len(name) + len(texts[name])
		if len(list) == 0 || size+n > maxTextSize/2 { // half, as quotes in a text take two bytes on the way
			list, size = append(list, map[string]string{}), 0
		}
		list[len(list)-1][name] = texts[name]
		size += n
	}
	return list
}

// loadDraft takes parts into the document's draft.
func (b *Store) loadDraft(c Change) (*Document, error) {
	d := b.Documents[c.Doc]
	if d == nil {
		if c.Doc == "" || len(b.Documents) >= maxDocuments {
			return nil, fmt.Errorf("%d documents are all that there can be", maxDocuments)
		}
		d = &Document{Name: c.Doc}
	}
	if c.Draft == "" || len(c.Draft) > maxPartName {
		return d, fmt.Errorf("%s: a draft's name: of 1 to %d bytes", c.Doc, maxPartName)
	}
	if err := CheckChangeSize(c.Doc, c.Parts); err != nil {
		return d, err
	}
	all := map[string]string{}
	if d.Draft != nil && d.Draft.ID == c.Draft {
		maps.Copy(all, d.Draft.Parts)
	}
	maps.Copy(all, c.Parts)
	if err := CheckSize(c.Doc, all); err != nil {
		return d, err
	}
	d.Draft = &Draft{c.Draft, all}
	b.Documents[c.Doc] = d
	return d, nil
}

// DraftedParts are the parts that a change puts: its own, or those of the draft that it names.
func (d *Document) DraftedParts(c Change) (map[string]string, error) {
	if c.Draft == "" {
		return c.Parts, CheckChangeSize(d.Name, c.Parts)
	}
	if d.Draft == nil || d.Draft.ID != c.Draft {
		return nil, fmt.Errorf("%w: no draft %.70q of %s: another has begun", ErrNoSuchChange, c.Draft, d.Name)
	}
	return d.Draft.Parts, nil
}

// changedParts is what a change in parts differs in from what is in force, and the digest that the whole then has.
func (d *Document) changedParts(c Change) (over map[string]Part, digest uint64, err error) {
	texts, err := d.DraftedParts(c)
	if err != nil {
		return nil, 0, err
	}
	var force map[string]Part
	if d.Active != nil {
		force = d.Active.Parts
	}
	over = map[string]Part{}
	for name, text := range texts {
		p := Part{d.HighestVersion + 1, PartDigest(text), text}
		if was, ok := force[name]; !ok || was.Digest != p.Digest {
			over[name] = p
		}
	}
	all := merged(force, over)
	whole := make(map[string]string, len(all))
	for name, p := range all {
		whole[name] = p.Text
	}
	if err := CheckSize(d.Name, whole); err != nil {
		return nil, 0, err
	}
	if digest = PartsDigest(all); digest != c.Digest {
		return nil, 0, fmt.Errorf("%s: with these parts its digest is %016x, not %016x: they are of another version", d.Name, digest, c.Digest)
	}
	return over, digest, nil
}

func merged(parts, over map[string]Part) map[string]Part {
	all := make(map[string]Part, len(parts)+len(over))
	maps.Copy(all, parts)
	maps.Copy(all, over)
	return all
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

// Summary is a document without the texts of its parts and its draft's, and of the versions that are over with as many texts, the latest
// first, as an answer can carry.
func (d *Document) Summary() *Document {
	short := *d
	for _, e := range []**Revision{&short.Active, &short.Proposed} {
		if *e == nil || !(*e).InParts {
			continue
		}
		one := **e
		one.Parts = Manifest(one.Parts)
		*e = &one
	}
	if short.Draft != nil {
		short.Draft = &Draft{ID: d.Draft.ID}
	}
	short.History = slices.Clone(d.History)
	for i, size := len(short.History)-1, 0; i >= 0; i-- {
		if size += EncodedSize(short.History[i].Text); size > MaxViewSize {
			one := *short.History[i]
			one.Text = ""
			short.History[i] = &one
		}
	}
	return &short
}

// Summary is a book without the texts of documents in parts, to be looked at.
func (b *Store) Summary() *Store {
	short := &Store{map[string]*Document{}, b.Processes}
	for name, d := range b.Documents {
		short.Documents[name] = d.Summary()
	}
	return short
}

// Manifest are parts without their texts.
func Manifest(parts map[string]Part) map[string]Part {
	list := make(map[string]Part, len(parts))
	for name, p := range parts {
		p.Text = ""
		list[name] = p
	}
	return list
}

// Budgets of what one answer carries, in bytes as they go over the wire: a word is at most 1 MiB.
const (
	// MaxViewSize bounds the parts in the answer to a process that asks what has changed. What is beyond is named, and asked for.
	MaxViewSize = 128 << 10
	// MaxPartsAnswerSize bounds the parts in the answer to a process that asks for them.
	MaxPartsAnswerSize = 256 << 10
)

// ViewFor is a document as a process is told of it: what it says to have is left out. Of a document in parts it has the versions named,
// and acts on base, 0 for none.
func (d *Document) ViewFor(u *Process, has []int, base int) View {
	v := View{Stage: d.Stage, Active: withoutKnown(d.Active, has)}
	if d.Active != nil && d.Active.InParts && v.Active.Parts != nil {
		if 0 < base && base < d.Active.ID.Version {
			v.Since = base
		}
		if v.Active.Parts = changedSince(d.Active.Parts, v.Since); v.Since == 0 && !haveTexts(v.Active.Parts) {
			v.Active.Parts = nil // as many names as there are parts: the process asks for them in its own time
		}
	}
	if !d.IsOfferedTo(u) {
		v.Stage = ""
		return v
	}
	v.Proposed = withoutKnown(d.Proposed, has)
	if v.Proposed.InParts && v.Proposed.Parts != nil {
		v.Proposed.Parts = changedSince(d.Proposed.Parts, 0)
	}
	return v
}

// withoutKnown is an entry without the text that a process has.
func withoutKnown(e *Revision, has []int) *Revision {
	if e == nil {
		return nil
	}
	short := *e
	short.ChangedParts = nil
	if slices.Contains(has, e.ID.Version) {
		short.Text, short.Parts = "", nil
	}
	return &short
}

// changedSince are the parts that changed after a version, without their texts where an answer can't carry them.
func changedSince(parts map[string]Part, since int) map[string]Part {
	list, size := map[string]Part{}, 0
	for name, p := range parts {
		if p.Version > since {
			list[name] = p
			if size <= MaxViewSize { // beyond it there is no need to know
				size += EncodedSize(p.Text)
			}
		}
	}
	if size > MaxViewSize {
		return Manifest(list)
	}
	return list
}

func haveTexts(parts map[string]Part) bool {
	for _, p := range parts {
		return p.Text != ""
	}
	return true
}

// SelectParts are the named parts of a version, as many as an answer can carry, and one at least; without names it is the manifest of all.
func SelectParts(parts map[string]Part, names []string) map[string]Part {
	if len(names) == 0 {
		return Manifest(parts)
	}
	list, size := map[string]Part{}, 0
	for _, name := range names {
		p, ok := parts[name]
		if !ok {
			continue
		}
		if size += EncodedSize(p.Text); size > MaxPartsAnswerSize && len(list) > 0 {
			break
		}
		list[name] = p
	}
	return list
}

// EncodedSize is how long a text is as JSON, at most.
func EncodedSize(text string) int {
	n := len(text) + 2
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"' || c == '\\' || c == '\n' || c == '\t' || c == '\r':
			n++
		case c < 0x20 || c == '<' || c == '>' || c == '&' || c >= 0x80:
			n += 5
		}
	}
	return n
}

// What a change that excludes touches: only that stops while everybody turns.
const (
	ScopeClass = "class:" // and the class's name
	ScopeCell  = "cell:"  // and the cell's name
)

// ScopeOf names what the exclusive differences of a change touch, nothing where that is everything.
func ScopeOf(doc string, list []Difference) (touched []string) {
	for _, d := range list {
		if d.kind != KindExclusive && d.kind != KindUnknown {
			continue
		}
		name := ""
		for _, f := range []struct{ doc, array, field, as string }{
			{DocClasses, "classes[", "].name", ScopeClass}, {DocClasses, "classes[", "].effect", ScopeClass}, {DocMap, "cells[", "].name", ScopeCell},
		} {
			if rest, ok := strings.CutPrefix(d.Path, f.array); ok && doc == f.doc && d.kind == KindExclusive {
				if in, ok := strings.CutSuffix(rest, f.field); ok {
					name = f.as + in
				}
			}
		}
		if name == "" {
			return nil
		}
		if !slices.Contains(touched, name) {
			touched = append(touched, name)
		}
	}
	slices.Sort(touched)
	return touched
}

// DiffParts are the fields in which parts differ from those that are there, part by part: it costs what changed.
func DiffParts(doc string, old map[string]Part, changed map[string]string) (list []Difference, err error) {
	for _, name := range slices.Sorted(maps.Keys(changed)) {
		if was, ok := old[name]; ok && was.Digest == PartDigest(changed[name]) {
			continue
		}
		more, err := Diff(doc, old[name].Text, changed[name])
		if err != nil {
			return nil, fmt.Errorf("part %s: %w", name, err)
		}
		list = append(list, more...)
	}
	slices.SortStableFunc(list, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return list, nil
}

// PauseScope is what stops at a process while a change that excludes turns.
type PauseScope struct {
	all          bool
	classes      map[string]bool
	tenants      map[string]bool // of those that a map names; "" is all the others
	namedTenants map[string]bool
}

// Add adds what a change touches. Texts are those of its document before and after, or of their parts, by which it is known who
// lives in a cell.
func (t *PauseScope) Add(touches []string, texts []string) {
	if t.classes == nil {
		t.classes, t.tenants, t.namedTenants = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	if len(touches) == 0 {
		t.all = true
		return
	}
	cells := map[string]bool{}
	for _, name := range touches {
		if class, ok := strings.CutPrefix(name, ScopeClass); ok {
			t.classes[class] = true
		} else if cell, ok := strings.CutPrefix(name, ScopeCell); ok {
			cells[cell] = true
		} else {
			t.all = true // of a newer build
		}
	}
	if len(cells) == 0 || t.all {
		return
	}
	for _, text := range texts {
		var of struct {
			Tenants []struct {
				Name  string
				Homes []struct{ Cell string }
			}
		}
		if json.Unmarshal([]byte(text), &of) != nil {
			t.all = true // nobody can say who lives there
			return
		}
		for _, one := range of.Tenants {
			t.namedTenants[one.Name] = true
			for _, h := range one.Homes {
				if cells[h.Cell] {
					t.tenants[one.Name] = true
				}
			}
		}
	}
}

// Pauses reports whether a sheet of a class and a tenant is touched.
func (t *PauseScope) Pauses(class, tenant string) bool {
	return t.all || t.classes[class] || t.tenants[tenant] || t.tenants[""] && !t.namedTenants[tenant]
}
