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
func (d *Document) ViewFor(process *Process, known []int, base int) View {
	view := View{Stage: d.Stage, Active: withoutKnown(d.Active, known)}
	if d.Active != nil && d.Active.InParts && view.Active.Parts != nil {
		if 0 < base && base < d.Active.ID.Version {
			view.Since = base
		}
		if view.Active.Parts = changedSince(d.Active.Parts, view.Since); view.Since == 0 && !haveTexts(view.Active.Parts) {
			view.Active.Parts = nil // as many names as there are parts: the process asks for them in its own time
		}
	}
	if !d.IsOfferedTo(process) {
		view.Stage = ""
		return view
	}
	view.Proposed = withoutKnown(d.Proposed, known)
	if view.Proposed.InParts && view.Proposed.Parts != nil {
		view.Proposed.Parts = changedSince(d.Proposed.Parts, 0)
	}
	return view
}

// withoutKnown is a revision without the text that a process has.
func withoutKnown(revision *Revision, known []int) *Revision {
	if revision == nil {
		return nil
	}
	stripped := *revision
	stripped.ChangedParts = nil
	if slices.Contains(known, revision.ID.Version) {
		stripped.Text, stripped.Parts = "", nil
	}
	return &stripped
}

// changedSince are the parts that changed after a version, without their texts where an answer can't carry them.
func changedSince(parts map[string]Part, since int) map[string]Part {
	changed, size := map[string]Part{}, 0
	for name, p := range parts {
		if p.Version > since {
			changed[name] = p
			if size <= MaxViewSize { // beyond it there is no need to know
				size += EncodedSize(p.Text)
			}
		}
	}
	if size > MaxViewSize {
		return Manifest(changed)
	}
	return changed
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
	selected, size := map[string]Part{}, 0
	for _, name := range names {
		p, ok := parts[name]
		if !ok {
			continue
		}
		if size += EncodedSize(p.Text); size > MaxPartsAnswerSize && len(selected) > 0 {
			break
		}
		selected[name] = p
	}
	return selected
}

// EncodedSize is how many bytes a text is as JSON, at most.
func EncodedSize(text string) int {
	size := len(text) + 2
	for i := range len(text) {
		switch char := text[i]; {
		case char == '"' || char == '\\' || char == '\n' || char == '\t' || char == '\r':
			size++
		case char < 0x20 || char == '<' || char == '>' || char == '&' || char >= 0x80:
			size += 5
		}
	}
	return size
}

// Summary is the document for operators: without the texts of its parts and its draft's, and of its history with as many texts, the
// latest first, as an answer can carry.
func (d *Document) Summary() *Document {
	summary := *d
	for _, revision := range []**Revision{&summary.Active, &summary.Proposed} {
		if *revision == nil || !(*revision).InParts {
			continue
		}
		copied := **revision
		copied.Parts = Manifest(copied.Parts)
		*revision = &copied
	}
	if summary.Draft != nil {
		summary.Draft = &Draft{ID: d.Draft.ID}
	}
	summary.History = slices.Clone(d.History)
	for i, size := len(summary.History)-1, 0; i >= 0; i-- {
		if size += EncodedSize(summary.History[i].Text); size > MaxViewSize {
			copied := *summary.History[i]
			copied.Text = ""
			summary.History[i] = &copied
		}
	}
	return &summary
}

// Summary is the store with the summaries of its documents.
func (s *Store) Summary() *Store {
	summary := &Store{map[string]*Document{}, s.Processes}
	for name, d := range s.Documents {
		summary.Documents[name] = d.Summary()
	}
	return summary
}
