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
	// MostParts bounds what has to be named to name a document whole: a manifest of so many is about 50 KB.
	MostParts = 1024
	// LongestPart bounds the least that can be sent of a change: an answer carries several.
	LongestPart = 64 << 10
	// LongestDocument bounds what each member keeps and sends in a snapshot, and each process holds: eight times the map of 930
	// servers and 21,000 tenants.
	LongestDocument = 16 << 20
	longestPartName = 64
	FormatInParts   = 2 // of a document that is not in parts it is 1: a process that reads only those is not handed this
)

// DigestOf is the digest of a part's text.
func DigestOf(text string) uint64 { return xxhash.Sum64String(text) }

// Sum is the digest of a document in parts: that of the names and digests of its parts.
func Sum(parts map[string]Part) uint64 {
	h := xxhash.New()
	var b [9]byte // of a 0, which no name has, and a digest
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		h.WriteString(name)
		binary.BigEndian.PutUint64(b[1:], parts[name].Digest)
		h.Write(b[:])
	}
	return h.Sum64()
}

// SumOf is Sum for texts.
func SumOf(texts map[string]string) uint64 {
	parts := map[string]Part{}
	for name, text := range texts {
		parts[name] = Part{Digest: DigestOf(text)}
	}
	return Sum(parts)
}

// Fits names the bound that parts of a document are beyond.
func Fits(doc string, texts map[string]string) error {
	if len(texts) > MostParts {
		return fmt.Errorf("%s: %d parts, of at most %d", doc, len(texts), MostParts)
	}
	size := 0
	for _, name := range slices.Sorted(maps.Keys(texts)) {
		n := len(texts[name])
		size += len(name) + n
		switch {
		case name == "" || len(name) > longestPartName || strings.ContainsRune(name, 0):
			return fmt.Errorf("%s: a part's name %.70q: of 1 to %d bytes, none of them 0", doc, name, longestPartName)
		case n == 0 || n > LongestPart:
			return fmt.Errorf("%s: part %s: %d bytes, of 1 to %d", doc, name, n, LongestPart)
		}
	}
	if size > LongestDocument {
		return fmt.Errorf("%s: %d bytes in parts, of at most %d", doc, size, LongestDocument)
	}
	return nil
}

// FitsChange is Fits for what one change carries. What is larger goes into a draft by several.
func FitsChange(doc string, texts map[string]string) error {
	if err := Fits(doc, texts); err != nil {
		return err
	}
	if n := sizeOf(texts); n > longestText {
		return fmt.Errorf("%s: %d bytes in one change, of at most %d", doc, n, longestText)
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
		if len(list) == 0 || size+n > longestText/2 { // half, as quotes in a text take two bytes on the way
			list, size = append(list, map[string]string{}), 0
		}
		list[len(list)-1][name] = texts[name]
		size += n
	}
	return list
}

// load takes parts into the document's draft.
func (b *Book) load(c Change) (*Doc, error) {
	d := b.Docs[c.Doc]
	if d == nil {
		if c.Doc == "" || len(b.Docs) >= mostDocs {
			return nil, fmt.Errorf("%d documents are all that there can be", mostDocs)
		}
		d = &Doc{Name: c.Doc}
	}
	if c.Draft == "" || len(c.Draft) > longestPartName {
		return d, fmt.Errorf("%s: a draft's name: of 1 to %d bytes", c.Doc, longestPartName)
	}
	if err := FitsChange(c.Doc, c.Parts); err != nil {
		return d, err
	}
	all := map[string]string{}
	if d.Draft != nil && d.Draft.ID == c.Draft {
		maps.Copy(all, d.Draft.Parts)
	}
	maps.Copy(all, c.Parts)
	if err := Fits(c.Doc, all); err != nil {
		return d, err
	}
	d.Draft = &Draft{c.Draft, all}
	b.Docs[c.Doc] = d
	return d, nil
}

// Drafted are the parts that a change puts: its own, or those of the draft that it names.
func (d *Doc) Drafted(c Change) (map[string]string, error) {
	if c.Draft == "" {
		return c.Parts, FitsChange(d.Name, c.Parts)
	}
	if d.Draft == nil || d.Draft.ID != c.Draft {
		return nil, fmt.Errorf("%w: no draft %.70q of %s: another has begun", ErrNone, c.Draft, d.Name)
	}
	return d.Draft.Parts, nil
}

// overlay is what a change in parts differs in from what is in force, and the digest that the whole then has.
func (d *Doc) overlay(c Change) (over map[string]Part, digest uint64, err error) {
	texts, err := d.Drafted(c)
	if err != nil {
		return nil, 0, err
	}
	var force map[string]Part
	if d.Force != nil {
		force = d.Force.Parts
	}
	over = map[string]Part{}
	for name, text := range texts {
		p := Part{d.Top + 1, DigestOf(text), text}
		if was, ok := force[name]; !ok || was.Digest != p.Digest {
			over[name] = p
		}
	}
	all := merged(force, over)
	whole := make(map[string]string, len(all))
	for name, p := range all {
		whole[name] = p.Text
	}
	if err := Fits(d.Name, whole); err != nil {
		return nil, 0, err
	}
	if digest = Sum(all); digest != c.Digest {
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

// onto is an entry in parts as it comes into force on top of another one.
func (e *Entry) onto(force *Entry) *Entry {
	whole := *e
	whole.Changed = slices.Sorted(maps.Keys(e.Parts))
	if force != nil {
		whole.Parts = merged(force.Parts, e.Parts)
	}
	return &whole
}

// bare is an entry without what a document in parts says: a version that is over is kept so, as it is never taken back.
func (e *Entry) bare() *Entry {
	if !e.Split {
		return e
	}
	short := *e
	if short.Parts != nil && short.Changed == nil {
		short.Changed = slices.Sorted(maps.Keys(e.Parts))
	}
	short.Parts = nil
	return &short
}

// At are all parts of a version that is in force or under way, with its ID.
func (d *Doc) At(version int) (ID, map[string]Part, bool) {
	switch {
	case d.Force != nil && d.Force.ID.Version == version && d.Force.Split:
		return d.Force.ID, d.Force.Parts, true
	case d.Next != nil && d.Next.ID.Version == version && d.Next.Split:
		var force map[string]Part
		if d.Force != nil {
			force = d.Force.Parts
		}
		return d.Next.ID, merged(force, d.Next.Parts), true
	}
	return ID{}, nil, false
}

// Listed is a document without the texts of its parts and its draft's, and of the versions that are over with as many texts, the latest
// first, as an answer can carry.
func (d *Doc) Listed() *Doc {
	short := *d
	for _, e := range []**Entry{&short.Force, &short.Next} {
		if *e == nil || !(*e).Split {
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
		if size += Encoded(short.History[i].Text); size > TellBudget {
			one := *short.History[i]
			one.Text = ""
			short.History[i] = &one
		}
	}
	return &short
}

// Listed is a book without the texts of documents in parts, to be looked at.
func (b *Book) Listed() *Book {
	short := &Book{map[string]*Doc{}, b.Users}
	for name, d := range b.Docs {
		short.Docs[name] = d.Listed()
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
	// TellBudget bounds the parts in the answer to a process that asks what has changed. What is beyond is named, and asked for.
	TellBudget = 128 << 10
	// SendBudget bounds the parts in the answer to a process that asks for them.
	SendBudget = 256 << 10
)

// Tell is a document as a process is told of it: what it says to have is left out. Of a document in parts it has the versions named,
// and acts on base, 0 for none.
func (d *Doc) Tell(u *User, has []int, base int) View {
	v := View{Stage: d.Stage, Force: brief(d.Force, has)}
	if d.Force != nil && d.Force.Split && v.Force.Parts != nil {
		if 0 < base && base < d.Force.ID.Version {
			v.Since = base
		}
		if v.Force.Parts = told(d.Force.Parts, v.Since); v.Since == 0 && !carried(v.Force.Parts) {
			v.Force.Parts = nil // as many names as there are parts: the process asks for them in its own time
		}
	}
	if !d.Handed(u) {
		v.Stage = ""
		return v
	}
	v.Next = brief(d.Next, has)
	if v.Next.Split && v.Next.Parts != nil {
		v.Next.Parts = told(d.Next.Parts, 0)
	}
	return v
}

// brief is an entry without the text that a process has.
func brief(e *Entry, has []int) *Entry {
	if e == nil {
		return nil
	}
	short := *e
	short.Changed = nil
	if slices.Contains(has, e.ID.Version) {
		short.Text, short.Parts = "", nil
	}
	return &short
}

// told are the parts that changed after a version, without their texts where an answer can't carry them.
func told(parts map[string]Part, since int) map[string]Part {
	list, size := map[string]Part{}, 0
	for name, p := range parts {
		if p.Version > since {
			list[name] = p
			if size <= TellBudget { // beyond it there is no need to know
				size += Encoded(p.Text)
			}
		}
	}
	if size > TellBudget {
		return Manifest(list)
	}
	return list
}

func carried(parts map[string]Part) bool {
	for _, p := range parts {
		return p.Text != ""
	}
	return true
}

// Send are the named parts of a version, as many as an answer can carry, and one at least; without names it is the manifest of all.
func Send(parts map[string]Part, names []string) map[string]Part {
	if len(names) == 0 {
		return Manifest(parts)
	}
	list, size := map[string]Part{}, 0
	for _, name := range names {
		p, ok := parts[name]
		if !ok {
			continue
		}
		if size += Encoded(p.Text); size > SendBudget && len(list) > 0 {
			break
		}
		list[name] = p
	}
	return list
}

// Encoded is how long a text is as JSON, at most.
func Encoded(text string) int {
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
	TouchClass = "class:" // and the class's name
	TouchCell  = "cell:"  // and the cell's name
)

// Touches names what the exclusive differences of a change touch, nothing where that is everything.
func Touches(doc string, list []Difference) (touched []string) {
	for _, d := range list {
		if d.kind != Exclusive && d.kind != Unknown {
			continue
		}
		name := ""
		for _, f := range []struct{ doc, array, field, as string }{
			{DocClasses, "classes[", "].name", TouchClass}, {DocClasses, "classes[", "].effect", TouchClass}, {DocMap, "cells[", "].name", TouchCell},
		} {
			if rest, ok := strings.CutPrefix(d.Path, f.array); ok && doc == f.doc && d.kind == Exclusive {
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
		if was, ok := old[name]; ok && was.Digest == DigestOf(changed[name]) {
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

// Touched is what stops at a process while a change that excludes turns.
type Touched struct {
	all     bool
	classes map[string]bool
	tenants map[string]bool // of those that a map names; "" is all the others
	named   map[string]bool
}

// Touch adds what a change touches. Texts are those of its document before and after, or of their parts, by which it is known who
// lives in a cell.
func (t *Touched) Touch(touches []string, texts []string) {
	if t.classes == nil {
		t.classes, t.tenants, t.named = map[string]bool{}, map[string]bool{}, map[string]bool{}
	}
	if len(touches) == 0 {
		t.all = true
		return
	}
	cells := map[string]bool{}
	for _, name := range touches {
		if class, ok := strings.CutPrefix(name, TouchClass); ok {
			t.classes[class] = true
		} else if cell, ok := strings.CutPrefix(name, TouchCell); ok {
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
			t.named[one.Name] = true
			for _, h := range one.Homes {
				if cells[h.Cell] {
					t.tenants[one.Name] = true
				}
			}
		}
	}
}

// Stops reports whether a sheet of a class and a tenant is touched.
func (t *Touched) Stops(class, tenant string) bool {
	return t.all || t.classes[class] || t.tenants[tenant] || t.tenants[""] && !t.named[tenant]
}
