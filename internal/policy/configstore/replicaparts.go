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
	for _, one := range p.parts {
		if one.Text == "" {
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
func (d *replicaDocument) partsOf(v View, out DisabledGuards) (active, proposed *partialDocument) {
	if v.Active != nil && v.Active.InParts {
		var base *partialDocument
		if v.Active.Parts != nil {
			base = d.base(v.Since, out)
		}
		active = d.partsInView(v.Active, base, out)
	}
	if v.Proposed != nil && v.Proposed.InParts {
		base := active
		if base == nil {
			base = &partialDocument{parts: map[string]Part{}} // the first in parts
		}
		proposed = d.partsInView(v.Proposed, base, out)
	}
	return active, proposed
}

// partsInView is what the process has of a revision that it was told of: nothing but its ID where that doesn't follow from what is here.
// Base is what the parts that came differ from, nil for unknown.
func (d *replicaDocument) partsInView(e *Revision, base *partialDocument, out DisabledGuards) *partialDocument {
	for _, p := range []*partialDocument{d.delivered, d.activeParts, d.proposedParts} {
		if p != nil && p.id == e.ID && p.parts != nil {
			return p
		}
	}
	to := &partialDocument{id: e.ID}
	if base == nil || base.parts == nil || e.Parts == nil {
		return to
	}
	parts := make(map[string]Part, len(base.parts)+len(e.Parts))
	maps.Copy(parts, base.parts)
	for name, p := range e.Parts {
		if p.Text != "" && PartDigest(p.Text) != p.Digest && !out.TextCheck {
			d.noteMismatch("part %s of %v: its text has another digest", name, e.ID)
			p.Text = ""
		}
		if p.Text == "" {
			p.Text = d.text(name, p.Digest)
		}
		parts[name] = p
	}
	if PartsDigest(parts) != e.ID.Digest && !out.SumCheck {
		d.noteMismatch("%v: its parts come to another digest", e.ID)
		return to
	}
	to.parts = parts
	return to
}

// base is the version here that parts which changed since another one are put on, nil where there is none.
func (d *replicaDocument) base(since int, out DisabledGuards) *partialDocument {
	if since == 0 {
		return &partialDocument{parts: map[string]Part{}}
	}
	for _, p := range []*partialDocument{d.delivered, d.activeParts} {
		if p != nil && p.parts != nil && (p.id.Version == since || out.SinceCheck) {
			return p
		}
	}
	d.noteMismatch("what changed since version %d was told, which is not here", since)
	return nil
}

// text finds the text of a part that is here already, under whichever version.
func (d *replicaDocument) text(name string, digest uint64) string {
	for _, p := range []*partialDocument{d.delivered, d.activeParts, d.proposedParts} {
		if p != nil && p.parts[name].Text != "" && p.parts[name].Digest == digest {
			return p.parts[name].Text
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
func (h *Replica) TakeMismatches() map[string]Mismatch {
	all := map[string]Mismatch{}
	for name, d := range h.docs {
		if d.mismatches.Count > 0 {
			all[name], d.mismatches = d.mismatches, Mismatch{}
		}
	}
	return all
}

// CompleteVersions are the versions of documents in parts that it acts on: it is told what has changed since.
func (h *Replica) CompleteVersions() map[string]int {
	bases := map[string]int{}
	for name, d := range h.docs {
		if d.delivered != nil {
			bases[name] = d.delivered.id.Version
		}
	}
	return bases
}

// changesTo are the texts of the parts of a version that differ from what the process acts on. Whole says that they are all.
func (d *replicaDocument) changesTo(to *partialDocument) (changed map[string]string, complete bool) {
	changed, complete = map[string]string{}, d.delivered == nil
	if !complete {
		for name := range d.delivered.parts {
			if _, ok := to.parts[name]; !ok {
				complete = true // one is gone
			}
		}
	}
	for name, p := range to.parts {
		if complete || d.delivered.parts[name].Digest != p.Digest {
			changed[name] = p.Text
		}
	}
	return changed, complete
}

// ReceiveParts takes the answer to a request: of a version by its ID, parts with their texts, or without where the request named none.
// It returns what to act on now.
func (h *Replica) ReceiveParts(now time.Duration, w PartsRequest, id ID, parts map[string]Part, check func(name, text string) error) []Update {
	gained := false
	d := h.docs[w.Doc]
	for _, p := range []*partialDocument{d.activeParts, d.proposedParts} {
		if p == nil || p.id != id || p.isComplete() {
			continue
		}
		if len(w.Names) == 0 {
			gained = d.takeManifest(p, parts, h.Disabled) || gained
		} else {
			gained = d.takeTexts(p, parts, h.Disabled) || gained
		}
	}
	if !gained {
		h.RequestFailed()
	} else {
		h.pacer = requestPacer{isScheduled: true, notBefore: now} // the next request goes out at once: other processes drew other moments
	}
	return h.deliver(now, check)
}

// takeManifest takes the names and digests of all parts, and reports whether that was of use.
func (d *replicaDocument) takeManifest(p *partialDocument, parts map[string]Part, out DisabledGuards) bool {
	if p.parts != nil || len(parts) == 0 || len(parts) > MaxParts {
		return false
	}
	if PartsDigest(parts) != p.id.Digest && !out.SumCheck {
		d.noteMismatch("%v: the manifest has another digest", p.id)
		return false
	}
	all := make(map[string]Part, len(parts))
	for name, one := range parts {
		one.Text = d.text(name, one.Digest)
		all[name] = one
	}
	p.parts = all
	return true
}

// takeTexts takes texts of parts, and reports whether one was of use.
func (d *replicaDocument) takeTexts(p *partialDocument, parts map[string]Part, out DisabledGuards) (gained bool) {
	for name, got := range parts {
		one, ok := p.parts[name]
		if !ok || one.Text != "" || got.Text == "" {
			continue
		}
		if PartDigest(got.Text) != one.Digest && !out.TextCheck {
			d.noteMismatch("part %s of %v: its text has another digest", name, p.id)
			continue
		}
		one.Text = got.Text
		p.parts[name] = one
		gained = true
	}
	return gained
}
