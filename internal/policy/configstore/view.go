package configstore

import (
	"slices"
)

// View is a document as it is sent to a process, without the texts that the process has. The JSON names are those of the wire.
type View struct {
	Active   *Revision `json:"force,omitempty"`
	Proposed *Revision `json:"next,omitempty"`
	Stage    Stage     `json:"stage,omitempty"`
	Since    int       `json:"since,omitempty"` // of a document in parts: Active has the parts changed after this version; 0: all, or none
}

// Limits of the contents of an answer, in encoded bytes: a message of the group's protocol is at most 1 MiB.
const (
	// MaxViewSize limits the parts in an answer to a poll. Beyond it the answer has only their names and digests.
	MaxViewSize = 128 << 10
	// MaxPartsAnswerSize limits the parts in the answer to a request for parts.
	MaxPartsAnswerSize = 256 << 10
)

// ViewFor returns the document as it is sent to a process. Known has the versions whose text or manifest the process has. Base is the
// version in parts that the process has completely, 0 for none.
func (d *Document) ViewFor(process *Process, known []int, base int) View {
	view := View{Stage: d.Stage, Active: withoutKnown(d.Active, known)}
	if d.Active != nil && d.Active.InParts && view.Active.Parts != nil {
		if 0 < base && base < d.Active.ID.Version {
			view.Since = base
		}
		if view.Active.Parts = changedSince(d.Active.Parts, view.Since); view.Since == 0 && !hasTexts(view.Active.Parts) {
			view.Active.Parts = nil // the manifest has as many entries as there are parts; the process requests it later
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

// withoutKnown returns a revision without its text or parts if the process has the version.
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

// changedSince returns the parts that changed after a version, without their texts if these exceed MaxViewSize.
func changedSince(parts map[string]Part, since int) map[string]Part {
	changed, size := map[string]Part{}, 0
	for name, p := range parts {
		if p.Version > since {
			changed[name] = p
			if size <= MaxViewSize { // the exact size beyond the limit is not needed
				size += EncodedSize(p.Text)
			}
		}
	}
	if size > MaxViewSize {
		return Manifest(changed)
	}
	return changed
}

// hasTexts reports whether parts from changedSince have their texts: all of them have, or none.
func hasTexts(parts map[string]Part) bool {
	for _, p := range parts {
		return p.Text != ""
	}
	return true
}

// SelectParts returns the named parts of a version, as many as MaxPartsAnswerSize allows and at least one. Without names it returns the
// manifest.
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

// EncodedSize returns an upper bound of the size of a text as JSON.
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

// Summary returns the document for operators: without the texts of its parts and the parts of its draft, and with as many texts of its
// history, latest first, as an answer can carry.
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

// Summary returns the store with the summaries of its documents.
func (s *Store) Summary() *Store {
	summary := &Store{map[string]*Document{}, s.Processes}
	for name, d := range s.Documents {
		summary.Documents[name] = d.Summary()
	}
	return summary
}
