package configstore

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// Replica is the side of a process that acts on documents. Its times are those of the process's own monotonic clock.
type Replica struct {
	Name string
	// CheckParts tells why this process can't act on parts of a document that differ from what it was handed last, or on all of them.
	CheckParts func(name string, changed map[string]string, whole bool) error
	Disabled   DisabledGuards

	formats        map[string]int
	terms          lease.Terms
	confirmedUntil time.Duration // it is confirmed until then
	lastAsked      time.Duration // the latest asking that was answered
	logIndex       uint64        // how far the group's log had come in what it was last told
	docs           map[string]*replicaDocument

	pacer requestPacer
}

// replicaDocument is what a process has of a document.
type replicaDocument struct {
	active, proposed *Revision
	stage            Stage
	refusal          Refusal
	activeVersion    int // the version that it acts on
	quiescedFor      int // the version for which it has stopped; 0: none

	// Of a document in parts:
	delivered                  *partialDocument // what the process was handed last, whole; nil: nothing
	activeParts, proposedParts *partialDocument // what is in force, and under way, as far as it is here
	checked                    ID               // of the one under way
	checkedAt                  time.Duration
	mismatches                 Mismatch

	// What stops while it turns, as it was last worked out: who lives in a cell is a matter of the whole map.
	scope         *PauseScope
	scopeOf       ID
	scopeComplete bool
}

// Update is what a process has to do now: act on a version of a document.
type Update struct {
	Doc      string
	Revision *Revision
	Parts    map[string]string // of one in parts: those that differ from what was handed last
	Complete bool              // they are all that there are
}

// NewReplica returns the side of a process that has confirmed nothing. Who names one start of it, and reads has the highest format
// that it reads of each document that it uses.
func NewReplica(who string, reads map[string]int) *Replica {
	h := &Replica{Name: who, formats: reads, docs: map[string]*replicaDocument{}}
	for name := range reads {
		h.docs[name] = &replicaDocument{}
	}
	return h
}

// LastAsked is when it asked for what it was last told, and so what it acts on was the newest.
func (h *Replica) LastAsked() time.Duration { return h.lastAsked }

// PollInterval is how long it waits before it asks again: a third of the lease, and less while a change is under way.
func (h *Replica) PollInterval() time.Duration {
	for _, d := range h.docs {
		if d.proposed != nil {
			return h.terms.TTL / 12
		}
	}
	if !h.IsCurrent() {
		return h.terms.TTL / 12 // it confirms nothing until it has what is in force
	}
	return h.terms.TTL / 3
}

// Report is what it has to say of itself.
func (h *Replica) Report() Process {
	u := Process{Name: h.Name, Formats: h.formats, Prepared: map[string]int{}, Quiesced: map[string]int{}, Refusals: map[string]Refusal{}}
	for name, d := range h.docs {
		if d.proposed == nil {
			continue
		}
		n := d.proposed.ID.Version
		if d.refusal.Version == n {
			u.Refusals[name] = d.refusal
		} else if d.isPrepared() {
			u.Prepared[name] = n
		}
		if d.quiescedFor == n {
			u.Quiesced[name] = n
		}
	}
	return u
}

// KnownVersions are the texts that it has, by document.
func (h *Replica) KnownVersions() map[string][]int {
	has := map[string][]int{}
	for name, d := range h.docs {
		for _, e := range []*Revision{d.active, d.proposed} {
			if e != nil && (!e.InParts || d.knowsParts(e.ID)) {
				has[name] = append(has[name], e.ID.Version)
			}
		}
	}
	return has
}

// knowsParts reports whether the parts of a version are known by names and digests, so that it needn't be told of them again.
func (d *replicaDocument) knowsParts(id ID) bool {
	for _, p := range []*partialDocument{d.activeParts, d.proposedParts} {
		if p != nil && p.id == id && p.parts != nil {
			return true
		}
	}
	return false
}

// ActiveVersions are the versions that it acts on.
func (h *Replica) ActiveVersions() map[string]int {
	acts := map[string]int{}
	for name, d := range h.docs {
		acts[name] = d.activeVersion
	}
	return acts
}

// Why nothing that is exclusive begins.
const (
	StopUnconfirmed = "unconfirmed" // it could not be told within the lease what is in force
	StopClockSkew   = "clock"       // its wall clock is not within the skew, so times in documents come to it at another moment
	StopQuiescing   = "turning"     // everybody stops the old before anybody begins the new
)

// ConfirmedUntil is when its confirmation ends.
func (h *Replica) ConfirmedUntil() time.Duration { return h.confirmedUntil }

// IsQuiesced reports whether it has stopped what a change excludes. It has to be so before it says so.
func (h *Replica) IsQuiesced() bool {
	for _, d := range h.docs {
		if d.quiescedFor != 0 {
			return true
		}
	}
	return false
}

// StopReason is why nothing that is exclusive begins, empty where it may.
func (h *Replica) StopReason(now time.Duration) string {
	switch {
	case now >= h.confirmedUntil:
		return StopUnconfirmed
	case h.IsQuiesced():
		return StopQuiescing
	}
	return ""
}

// Receive takes what the group has answered to what was asked at a time, by its terms, as its log had it up to an index. Check tells why this process can't act on
// a document's text; it is asked once of each. It returns what to act on now.
func (h *Replica) Receive(asked time.Duration, index uint64, terms lease.Terms, docs map[string]View, check func(name, text string) error) (take []Update) {
	// An answer that was held on the way: more was heard since. It may have been asked for later and yet know less, and what was
	// stopped by the other must not begin again.
	if index < h.logIndex && !h.Disabled.IndexCheck {
		return nil
	}
	h.logIndex, h.terms = index, terms
	for name, d := range h.docs {
		v := docs[name]
		d.active, d.proposed, d.stage = d.withText(v.Active), d.withText(v.Proposed), v.Stage
		d.activeParts, d.proposedParts = d.partsOf(v, h.Disabled)
		switch {
		case d.proposed != nil && d.stage == StageQuiescing:
			d.quiescedFor = d.proposed.ID.Version
		default: // it has come into force, or was withdrawn
			d.quiescedFor = 0
		}
	}
	take = h.deliver(asked, check)
	// What it lacks a part of it doesn't act on, and so confirms nothing by this answer.
	if h.IsCurrent() {
		h.lastAsked = max(h.lastAsked, asked)
		h.confirmedUntil = max(h.confirmedUntil, asked+terms.HolderTTL())
	}
	return take
}

// deliver checks what is proposed and returns what the process has to act on now: the active version, or the proposed one where the
// process is a canary of it. Of a document in parts that is once all of them are here.
func (h *Replica) deliver(now time.Duration, check func(name, text string) error) (updates []Update) {
	for _, name := range slices.Sorted(maps.Keys(h.docs)) {
		d := h.docs[name]
		if d.proposed != nil && d.refusal.Version != d.proposed.ID.Version {
			d.refusal = Refusal{}
			if err := h.checkProposed(now, name, d, check); err != nil {
				d.refusal = Refusal{d.proposed.ID.Version, err.Error()}
			}
		}
		to, parts := d.active, d.activeParts
		if d.proposed != nil && d.stage == StageCanary && slices.Contains(d.proposed.Canaries, h.Name) {
			to, parts = d.proposed, d.proposedParts
		}
		if to == nil || d.isDelivered(to) {
			continue
		}
		switch {
		case !to.InParts:
			d.activeVersion, d.delivered = to.ID.Version, nil
			updates = append(updates, Update{Doc: name, Revision: to})
		case parts.isComplete() && parts.id == to.ID:
			u := Update{Doc: name, Revision: to}
			u.Parts, u.Complete = d.changesTo(parts)
			d.activeVersion, d.delivered = to.ID.Version, parts
			updates = append(updates, u)
		}
	}
	return updates
}

// isDelivered reports whether the process was handed a version already.
func (d *replicaDocument) isDelivered(r *Revision) bool {
	return d.activeVersion == r.ID.Version && (!r.InParts || d.delivered != nil && d.delivered.id == r.ID)
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

// withText puts in a text that it was known to have.
func (d *replicaDocument) withText(e *Revision) *Revision {
	if e == nil || e.Text != "" || e.InParts {
		return e
	}
	for _, was := range []*Revision{d.active, d.proposed} {
		if was != nil && was.ID == e.ID {
			full := *e
			full.Text = was.Text
			return &full
		}
	}
	return e
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
