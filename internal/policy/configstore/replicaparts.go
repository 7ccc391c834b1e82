package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Documents in parts at a process: it acts on a version only once it has every part of it, and the digest over them is the version's.
// Until then the last good one stays active here.

// partialDocument is a version of a document in parts, as far as a process has it.
type partialDocument struct {
	id    ID
	parts map[string]Part // nil until they are known by names and digests; a text that is not here yet is empty
}

// isComplete reports whether all parts are here.
func (p *partialDocument) isComplete() bool {
	if p == nil || p.parts == nil {
		return false
	}
	for _, part := range p.parts {
		if part.Text == "" {
			return false
		}
	}
	return true
}

// missing are the names of parts whose texts are not here.
func (p *partialDocument) missing() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(p.parts)) {
		if p.parts[name].Text == "" {
			names = append(names, name)
		}
	}
	return names
}

// DisabledGuards are the guards that tests leave out, to show the harm that each keeps away.
type DisabledGuards struct {
	SinceCheck bool // parts that changed since another version than the one here are put on it too
	SumCheck   bool // the digest over all parts is not looked at
	TextCheck  bool // nor that of a part's text
	IndexCheck bool // an answer by an older index of the group's log is taken too
	Pacing     bool // requests for parts don't wait
}

// Mismatch counts answers that did not follow from what was here, and tells why of the last one.
type Mismatch struct {
	Count  int
	Reason string
}

// partsOf are the parts of the active and the proposed revision, by what the process was told.
func (d *replicaDocument) partsOf(view View, disabled DisabledGuards) (active, proposed *partialDocument) {
	if view.Active != nil && view.Active.InParts {
		var basis *partialDocument
		if view.Active.Parts != nil {
			basis = d.basisFor(view.Since, disabled)
		}
		active = d.partsInView(view.Active, basis, disabled)
	}
	if view.Proposed != nil && view.Proposed.InParts {
		basis := active
		if basis == nil {
			basis = &partialDocument{parts: map[string]Part{}} // the first in parts
		}
		proposed = d.partsInView(view.Proposed, basis, disabled)
	}
	return active, proposed
}

// partsInView is what the process has of a revision that it was told of: nothing but its ID where that doesn't follow from what is here.
// Base is what the parts that came differ from, nil for unknown.
func (d *replicaDocument) partsInView(revision *Revision, basis *partialDocument, disabled DisabledGuards) *partialDocument {
	for _, known := range []*partialDocument{d.delivered, d.activeParts, d.proposedParts} {
		if known != nil && known.id == revision.ID && known.parts != nil {
			return known
		}
	}
	partial := &partialDocument{id: revision.ID}
	if basis == nil || basis.parts == nil || revision.Parts == nil {
		return partial
	}
	parts := make(map[string]Part, len(basis.parts)+len(revision.Parts))
	maps.Copy(parts, basis.parts)
	for name, part := range revision.Parts {
		if part.Text != "" && PartDigest(part.Text) != part.Digest && !disabled.TextCheck {
			d.noteMismatch("part %s of %v: its text has another digest", name, revision.ID)
			part.Text = ""
		}
		if part.Text == "" {
			part.Text = d.findText(name, part.Digest)
		}
		parts[name] = part
	}
	if PartsDigest(parts) != revision.ID.Digest && !disabled.SumCheck {
		d.noteMismatch("%v: its parts come to another digest", revision.ID)
		return partial
	}
	partial.parts = parts
	return partial
}

// base is the version here that parts which changed since another one are put on, nil where there is none.
func (d *replicaDocument) basisFor(since int, disabled DisabledGuards) *partialDocument {
	if since == 0 {
		return &partialDocument{parts: map[string]Part{}}
	}
	for _, known := range []*partialDocument{d.delivered, d.activeParts} {
		if known != nil && known.parts != nil && (known.id.Version == since || disabled.SinceCheck) {
			return known
		}
	}
	d.noteMismatch("what changed since version %d was told, which is not here", since)
	return nil
}

// text finds the text of a part that is here already, under whichever version.
func (d *replicaDocument) findText(name string, digest uint64) string {
	for _, known := range []*partialDocument{d.delivered, d.activeParts, d.proposedParts} {
		if known != nil && known.parts[name].Text != "" && known.parts[name].Digest == digest {
			return known.parts[name].Text
		}
	}
	return ""
}

// noteMismatch counts an answer that did not follow.
func (d *replicaDocument) noteMismatch(format string, args ...any) {
	d.mismatches.Count++
	d.mismatches.Reason = fmt.Sprintf(format, args...)
}

// TakeMismatches are the answers that did not follow from what was here since the last call, by document.
func (r *Replica) TakeMismatches() map[string]Mismatch {
	mismatches := map[string]Mismatch{}
	for name, d := range r.docs {
		if d.mismatches.Count > 0 {
			mismatches[name], d.mismatches = d.mismatches, Mismatch{}
		}
	}
	return mismatches
}

// CompleteVersions are the versions of documents in parts that it acts on: it is told what has changed since.
func (r *Replica) CompleteVersions() map[string]int {
	versions := map[string]int{}
	for name, d := range r.docs {
		if d.delivered != nil {
			versions[name] = d.delivered.id.Version
		}
	}
	return versions
}

// changesTo are the texts of the parts of a version that differ from what the process acts on. Whole says that they are all.
func (d *replicaDocument) changesTo(target *partialDocument) (changed map[string]string, complete bool) {
	changed, complete = map[string]string{}, d.delivered == nil
	if !complete {
		for name := range d.delivered.parts {
			if _, ok := target.parts[name]; !ok {
				complete = true // one is gone
			}
		}
	}
	for name, p := range target.parts {
		if complete || d.delivered.parts[name].Digest != p.Digest {
			changed[name] = p.Text
		}
	}
	return changed, complete
}

// ReceiveParts takes the answer to a request: of a version by its ID, parts with their texts, or without where the request named none.
// It returns what to act on now.
func (r *Replica) ReceiveParts(now time.Duration, request PartsRequest, id ID, parts map[string]Part, check func(name, text string) error) []Update {
	progressed := false
	d := r.docs[request.Doc]
	for _, partial := range []*partialDocument{d.activeParts, d.proposedParts} {
		if partial == nil || partial.id != id || partial.isComplete() {
			continue
		}
		if len(request.Names) == 0 {
			progressed = d.acceptManifest(partial, parts, r.Disabled) || progressed
		} else {
			progressed = d.acceptTexts(partial, parts, r.Disabled) || progressed
		}
	}
	if !progressed {
		r.RequestFailed()
	} else {
		r.pacer = requestPacer{isScheduled: true, notBefore: now} // the next request goes out at once: other processes drew other moments
	}
	return r.deliver(now, check)
}

// acceptManifest takes the names and digests of all parts, and reports whether that was of use.
func (d *replicaDocument) acceptManifest(partial *partialDocument, parts map[string]Part, disabled DisabledGuards) bool {
	if partial.parts != nil || len(parts) == 0 || len(parts) > MaxParts {
		return false
	}
	if PartsDigest(parts) != partial.id.Digest && !disabled.SumCheck {
		d.noteMismatch("%v: the manifest has another digest", partial.id)
		return false
	}
	manifest := make(map[string]Part, len(parts))
	for name, part := range parts {
		part.Text = d.findText(name, part.Digest)
		manifest[name] = part
	}
	partial.parts = manifest
	return true
}

// acceptTexts takes texts of parts, and reports whether one was of use.
func (d *replicaDocument) acceptTexts(partial *partialDocument, parts map[string]Part, disabled DisabledGuards) (progressed bool) {
	for name, received := range parts {
		part, ok := partial.parts[name]
		if !ok || part.Text != "" || received.Text == "" {
			continue
		}
		if PartDigest(received.Text) != part.Digest && !disabled.TextCheck {
			d.noteMismatch("part %s of %v: its text has another digest", name, partial.id)
			continue
		}
		part.Text = received.Text
		partial.parts[name] = part
		progressed = true
	}
	return progressed
}
