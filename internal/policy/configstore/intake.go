package configstore

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// This file is the side of a process that holds a document in parts: it acts on a version only once it has every part of it, and the
// digest over them is the version's. Until then the last good one holds.

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

// PartsRequest is what a process asks the group for: the manifest of a version, or texts of parts by name.
type PartsRequest struct {
	Doc     string   `json:"doc"`
	Version int      `json:"version"`
	Names   []string `json:"names,omitempty"`
}

// Pauses before a process asks for parts. One that comes back has a megabyte or two to ask for, and a zone that comes back is
// hundreds: each draws its moment by its own name, and waits longer each time that it got nothing.
const (
	initialBackoff = 2 * time.Second
	maxDoublings   = 4 // times: half a minute
	maxRequested   = MaxParts
)

// requestPacer paces what a process asks for: one asking at a time.
type requestPacer struct {
	asking      bool
	failures    int           // times in a row that nothing came of it
	isScheduled bool          // a pause is under way, or over
	notBefore   time.Duration // it asks then
}

// backoff is the pause before the next asking of a process: a part of the spread by its name, so that a thousand have a thousand moments.
func backoff(who string, vain int) time.Duration {
	spread := initialBackoff << min(vain, maxDoublings)
	share := float64(PartDigest(fmt.Sprint(who, "/", vain))>>11) / (1 << 53)
	return time.Duration(share * float64(spread))
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

// deliver checks and hands out what is here whole by now.
func (h *Replica) deliver(now time.Duration, check func(name, text string) error) (take []Update) {
	for _, name := range slices.Sorted(maps.Keys(h.docs)) {
		d := h.docs[name]
		if d.proposed != nil && d.refusal.Version != d.proposed.ID.Version {
			d.refusal = Refusal{}
			if err := h.checkProposed(now, name, d, check); err != nil {
				d.refusal = Refusal{d.proposed.ID.Version, err.Error()}
			}
		}
		to, of := d.active, d.activeParts
		if d.proposed != nil && d.stage == StageCanary && slices.Contains(d.proposed.Canaries, h.Name) {
			to, of = d.proposed, d.proposedParts
		}
		switch {
		case to == nil || d.activeVersion == to.ID.Version && (!to.InParts || d.delivered != nil && d.delivered.id == to.ID):
		case !to.InParts:
			d.activeVersion, d.delivered = to.ID.Version, nil
			take = append(take, Update{Doc: name, Revision: to})
		case of.isComplete() && of.id == to.ID:
			t := Update{Doc: name, Revision: to}
			t.Parts, t.Complete = d.changesTo(of)
			d.activeVersion, d.delivered = to.ID.Version, of
			take = append(take, t)
		}
	}
	return take
}

// checkProposed checks a version that is under way: one in parts once it is here whole, and then again once in a while, as what a process
// can't act on may follow from the time.
func (h *Replica) checkProposed(now time.Duration, name string, d *replicaDocument, check func(name, text string) error) error {
	switch {
	case !d.proposed.InParts:
		return check(name, d.proposed.Text)
	case !d.proposedParts.isComplete() || d.proposedParts.id != d.proposed.ID || h.CheckParts == nil:
		return nil
	case d.checked == d.proposed.ID && now-d.checkedAt < h.terms.TTL/3:
		return nil
	}
	changed, whole := d.changesTo(d.proposedParts)
	d.checked, d.checkedAt = d.proposed.ID, now
	return h.CheckParts(name, changed, whole)
}

// isPrepared reports whether a process has a version that is under way, so that it can say that it holds it.
func (d *replicaDocument) isPrepared() bool {
	return d.proposed != nil && (!d.proposed.InParts || d.proposedParts.isComplete() && d.proposedParts.id == d.proposed.ID && d.checked == d.proposed.ID)
}

// IsCurrent reports whether it acts on what it was told is in force.
func (h *Replica) IsCurrent() bool {
	for _, d := range h.docs {
		if d.active != nil && d.active.InParts && (d.delivered == nil || d.delivered.id != d.active.ID) &&
			!(d.proposed != nil && d.delivered != nil && d.delivered.id == d.proposed.ID && d.stage == StageCanary) {
			return false
		}
	}
	return true
}

// OutdatedVersions are the documents of which it acts on an older version than it was told of, and since when.
func (h *Replica) OutdatedVersions() map[string]int {
	old := map[string]int{}
	for name, d := range h.docs {
		if d.active != nil && d.active.InParts && d.activeVersion != d.active.ID.Version && !d.activeParts.isComplete() {
			old[name] = d.activeVersion
		}
	}
	return old
}

// Redeliver has a document that could not be acted on after all be handed whole, once.
func (h *Replica) Redeliver(name string) {
	if d := h.docs[name]; d != nil && d.delivered != nil {
		d.delivered = nil
	}
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

// nextMissing is what it lacks first, in the order of documents: what is in force before what is under way.
func (h *Replica) nextMissing() (w PartsRequest, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(h.docs)) {
		d := h.docs[name]
		for _, p := range []*partialDocument{d.activeParts, d.proposedParts} {
			if p == nil || p.isComplete() {
				continue
			}
			w = PartsRequest{Doc: name, Version: p.id.Version}
			if p.parts != nil {
				w.Names = p.missing()
				w.Names = w.Names[:min(len(w.Names), maxRequested)]
			}
			return w, true
		}
	}
	return w, false
}

// NextRequest is what to ask the group for now. It has one asking under way at most, whose end Got or Vain is told; ok is false where it
// asks for nothing yet, and at says when to look again, 0 for when it was told something.
func (h *Replica) NextRequest(now time.Duration) (w PartsRequest, at time.Duration, ok bool) {
	if h.pacer.asking {
		return w, 0, false
	}
	if w, ok = h.nextMissing(); !ok {
		h.pacer = requestPacer{}
		return w, 0, false
	}
	if !h.pacer.isScheduled {
		h.pacer.isScheduled = true
		h.pacer.notBefore = now + backoff(h.Name, h.pacer.failures)
	}
	if now < h.pacer.notBefore && !h.Disabled.Pacing {
		return w, h.pacer.notBefore, false
	}
	h.pacer.asking = true
	return w, 0, true
}

// IsIncomplete reports whether parts are missing.
func (h *Replica) IsIncomplete() bool {
	_, ok := h.nextMissing()
	return ok
}

// RequestFailed is told that an asking had no answer, or a no.
func (h *Replica) RequestFailed() {
	h.pacer = requestPacer{failures: h.pacer.failures + 1}
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

// activeAndProposedTexts are those of a document's version that is in force and of the one under way, whole or in parts.
func (d *replicaDocument) activeAndProposedTexts() (list []string) {
	for _, e := range []*Revision{d.active, d.proposed} {
		if e != nil && e.Text != "" {
			list = append(list, e.Text)
		}
	}
	for _, p := range []*partialDocument{d.delivered, d.proposedParts} {
		if p == nil {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(p.parts)) {
			if p != d.delivered && d.delivered != nil && d.delivered.parts[name].Digest == p.parts[name].Digest {
				continue
			}
			list = append(list, cmp.Or(p.parts[name].Text, "not here"))
		}
	}
	return list
}

// PauseScopes is what stops here for changes that turn, empty where none does.
func (h *Replica) PauseScopes() (list []*PauseScope) {
	for _, name := range slices.Sorted(maps.Keys(h.docs)) {
		d := h.docs[name]
		if d.quiescedFor == 0 {
			continue
		}
		if here := d.isPrepared(); d.scope == nil || d.scopeOf != d.proposed.ID || d.scopeComplete != here {
			d.scope, d.scopeOf, d.scopeComplete = &PauseScope{}, d.proposed.ID, here
			d.scope.Add(d.proposed.Scope, d.activeAndProposedTexts())
		}
		list = append(list, d.scope)
	}
	return list
}
