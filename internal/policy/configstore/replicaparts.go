package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Documents in parts at a process: the process acts on a version only once it has all parts and the digest over them is the version's.
// Until then it keeps acting on the last complete version.

// partialDocument is a version of a document in parts, as far as a process has received it.
type partialDocument struct {
	id    ID
	parts map[string]Part // nil: the manifest is unknown; a part with an empty text is missing
}

// isComplete reports whether all parts were received.
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

// missing returns the names of the parts whose texts were not received.
func (p *partialDocument) missing() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(p.parts)) {
		if p.parts[name].Text == "" {
			names = append(names, name)
		}
	}
	return names
}

// DisabledGuards selects guards that tests turn off, to show which failure each guard prevents.
type DisabledGuards struct {
	SinceCheck bool // parts that changed since another version are merged into the version here as well
	SumCheck   bool // the digest over all parts is not checked
	TextCheck  bool // the digest of a part's text is not checked
	IndexCheck bool // an answer from an older index of the group's log is accepted
	Pacing     bool // requests for parts are sent without a pause
}

// Mismatch counts answers that are inconsistent with the parts here, and has the reason of the last one.
type Mismatch struct {
	Count  int
	Reason string
}

// partsOf returns the parts of the active and the proposed revision as of the answer that contains the view.
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
			basis = &partialDocument{parts: map[string]Part{}} // the first version in parts
		}
		proposed = d.partsInView(view.Proposed, basis, disabled)
	}
	return active, proposed
}

// partsInView returns the parts of a revision in an answer, with only the ID if the parts can't be derived. Basis is the version that the
// received parts differ from, nil if it is unknown.
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
		d.noteMismatch("%v: the digest over its parts does not match", revision.ID)
		return partial
	}
	partial.parts = parts
	return partial
}

// basisFor returns the version here that parts changed since another version are merged into, or nil if it is not here.
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

// findText returns the text of a part if any version here has it, else "".
func (d *replicaDocument) findText(name string, digest uint64) string {
	for _, known := range []*partialDocument{d.delivered, d.activeParts, d.proposedParts} {
		if known != nil && known.parts[name].Text != "" && known.parts[name].Digest == digest {
			return known.parts[name].Text
		}
	}
	return ""
}

// noteMismatch counts an answer that is inconsistent with the parts of this replica, and keeps the reason.
func (d *replicaDocument) noteMismatch(format string, args ...any) {
	d.mismatches.Count++
	d.mismatches.Reason = fmt.Sprintf(format, args...)
}

// TakeMismatches returns the mismatches since the last call, by document, and resets them.
func (r *Replica) TakeMismatches() map[string]Mismatch {
	mismatches := map[string]Mismatch{}
	for name, d := range r.docs {
		if d.mismatches.Count > 0 {
			mismatches[name], d.mismatches = d.mismatches, Mismatch{}
		}
	}
	return mismatches
}

// CompleteVersions returns, by document in parts, the version that the process acts on. The group sends what changed since that version.
func (r *Replica) CompleteVersions() map[string]int {
	versions := map[string]int{}
	for name, d := range r.docs {
		if d.delivered != nil {
			versions[name] = d.delivered.id.Version
		}
	}
	return versions
}

// changesTo returns the texts of the parts of a version that differ from the version that the process acts on. Complete reports whether
// these are all parts of the version, which is the case if nothing was delivered yet or a part was removed.
func (d *replicaDocument) changesTo(target *partialDocument) (changed map[string]string, complete bool) {
	changed, complete = map[string]string{}, d.delivered == nil
	if !complete {
		for name := range d.delivered.parts {
			if _, ok := target.parts[name]; !ok {
				complete = true // a part was removed
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

// ReceiveParts handles the answer to a request for parts of the version with this ID: parts with texts, or the manifest if the
// request named no parts. It returns the updates to act on now.
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
		r.pacer = requestPacer{isScheduled: true, notBefore: now} // no pause: first requests are spread already
	}
	return r.deliver(now, check)
}

// acceptManifest records the names and digests of all parts, and reports whether they were unknown before and match the digest.
func (d *replicaDocument) acceptManifest(partial *partialDocument, parts map[string]Part, disabled DisabledGuards) bool {
	if partial.parts != nil || len(parts) == 0 || len(parts) > MaxParts {
		return false
	}
	if PartsDigest(parts) != partial.id.Digest && !disabled.SumCheck {
		d.noteMismatch("%v: the digest over its manifest does not match", partial.id)
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

// acceptTexts records texts of parts, and reports whether any of them was missing before.
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
