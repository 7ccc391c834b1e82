package configstore

import (
	"slices"
)

// View is a document as a process is told of it, without the texts that it has. The JSON names are those of the wire.
type View struct {
	Active   *Revision `json:"force,omitempty"`
	Proposed *Revision `json:"next,omitempty"`
	Stage    Stage     `json:"stage,omitempty"`
	Since    int       `json:"since,omitempty"` // of a document in parts: Active has those that changed after this version; 0: all, or none
}

// Budgets of what one answer carries, in bytes as they go over the wire: a message of the group's protocol is at most 1 MiB.
const (
	// MaxViewSize bounds the parts in the answer to a process that asks what has changed. What is beyond is named, and asked for.
	MaxViewSize = 128 << 10
	// MaxPartsAnswerSize bounds the parts in the answer to a process that asks for them.
	MaxPartsAnswerSize = 256 << 10
)

// ViewFor is the document as a process is told of it. Has are the versions whose texts it has, or whose parts it can name; base is the
// version in parts that it has whole, 0 for none.
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

// withoutKnown is a revision without the text that a process has.
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

// SelectParts are the named parts of a version, as many as MaxPartsAnswerSize allows, and one at least; without names it is the manifest
// of all.
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

// EncodedSize is how many bytes a text is as JSON, at most.
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

// Summary is the document for operators: without the texts of its parts and its draft's, and of its history with as many texts, the
// latest first, as an answer can carry.
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

// Summary is the store with the summaries of its documents.
func (b *Store) Summary() *Store {
	short := &Store{map[string]*Document{}, b.Processes}
	for name, d := range b.Documents {
		short.Documents[name] = d.Summary()
	}
	return short
}
