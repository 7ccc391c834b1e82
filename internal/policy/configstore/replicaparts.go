package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// partialDocument is a version of a document in parts, as far as a process has it.
type partialDocument struct {
	id    ID
	parts map[string]Part // nil until they are known by names and digests; a text that is not here yet is empty
}

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

// DisabledGuards can be left out by tests, which show the harm that each keeps away.
type DisabledGuards struct {
	SinceCheck bool // what changed since another version than the one here is put on it too
	SumCheck   bool // the digest over all parts is not looked at
	TextCheck  bool // nor that of a part's text
	IndexCheck bool // what is told by an older state of the group's log is taken too
	Pacing     bool // nobody waits before he asks
}

// Mismatch counts what didn't follow from what was here, and why it was last.
type Mismatch struct {
	Count  int
	Reason string
}

// partsOf are what is in force and under way of a document in parts, by what it was told.
func (d *replicaDocument) partsOf(v View, out DisabledGuards) (now, then *partialDocument) {
	if v.Active != nil && v.Active.InParts {
		var base *partialDocument
		if v.Active.Parts != nil {
			base = d.base(v.Since, out)
		}
		now = d.partsTold(v.Active, base, out)
	}
	if v.Proposed != nil && v.Proposed.InParts {
		base := now
		if base == nil {
			base = &partialDocument{parts: map[string]Part{}} // the first in parts
		}
		then = d.partsTold(v.Proposed, base, out)
	}
	return now, then
}

// partsTold is what a process has of a version that it was told of: nothing but its ID where that doesn't follow from what is here.
// Base is what the parts that came differ from, nil for nothing known.
func (d *replicaDocument) partsTold(e *Revision, base *partialDocument, out DisabledGuards) *partialDocument {
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

// base is the version here that parts told as changed since another one are put on, nil where there is none.
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

// noteMismatch notes that something didn't follow.
func (d *replicaDocument) noteMismatch(format string, args ...any) {
	d.mismatches.Count++
	d.mismatches.Reason = fmt.Sprintf(format, args...)
}

// TakeMismatches is what didn't follow from what was here since the last call, by document.
func (h *Replica) TakeMismatches() map[string]Mismatch {
	all := map[string]Mismatch{}
	for name, d := range h.docs {
		if d.mismatches.Count > 0 {
			all[name], d.mismatches = d.mismatches, Mismatch{}
		}
	}
	return all
}

// CompleteVersions are the versions of documents in parts that it has whole, to be told what has changed since.
func (h *Replica) CompleteVersions() map[string]int {
	bases := map[string]int{}
	for name, d := range h.docs {
		if d.delivered != nil {
			bases[name] = d.delivered.id.Version
		}
	}
	return bases
}

// changesTo are the texts of the parts of a version that differ from what the process was handed last. Whole: they are all.
func (d *replicaDocument) changesTo(to *partialDocument) (changed map[string]string, whole bool) {
	changed, whole = map[string]string{}, d.delivered == nil
	if !whole {
		for name := range d.delivered.parts {
			if _, ok := to.parts[name]; !ok {
				whole = true // one is gone
			}
		}
	}
	for name, p := range to.parts {
		if whole || d.delivered.parts[name].Digest != p.Digest {
			changed[name] = p.Text
		}
	}
	return changed, whole
}

// ReceiveParts takes the answer to what it asked for: of a version by its ID, parts with their texts, or without where their names were asked
// for. It returns what to act on now.
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
		h.pacer = requestPacer{isScheduled: true, notBefore: now} // it goes on at once: the others drew other moments
	}
	return h.deliver(now, check)
}

// takeManifest takes a manifest.
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

// takeTexts takes texts.
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
