package configstore

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// The side of a process. It asks the group every PollInterval, reports what it has prepared and quiesced for, and acts on what Receive
// returns. What is exclusive it begins only while it is confirmed: it was told within a lease what is active, and has that whole.

// Replica is the side of a process that acts on documents. All times are the process's own monotonic clock. It is not safe for
// concurrent use: controlplane/configwatch calls it under its lock.
type Replica struct {
	Name string // of one start of the process
	// CheckParts is an error that tells why this process can't act on parts that differ from what it was handed last, or on all of them.
	CheckParts func(name string, changed map[string]string, whole bool) error
	Disabled   DisabledGuards // for tests

	formats        map[string]int
	terms          lease.Terms
	confirmedUntil time.Duration
	lastConfirmed  time.Duration // the latest request whose answer confirmed it
	logIndex       uint64        // of the group's log, in what it was last told
	docs           map[string]*replicaDocument

	pacer requestPacer
}

// replicaDocument is what a process has of a document.
type replicaDocument struct {
	active, proposed *Revision
	stage            Stage
	refusal          Refusal
	activeVersion    int // the version that it acts on
	quiescedFor      int // the version for which it has stopped what that excludes; 0: none

	// Of a document in parts:
	delivered                  *partialDocument // what the process acts on; nil: nothing
	activeParts, proposedParts *partialDocument // as far as they are here
	checked                    ID               // of the proposed one
	checkedAt                  time.Duration
	mismatches                 Mismatch

	// What pauses while it quiesces, as it was last computed: which tenants live in a cell is a matter of the whole map.
	scope         *PauseScope
	scopeOf       ID
	scopeComplete bool
}

// Update is a revision of a document that the process has to act on from now on.
type Update struct {
	Doc      string
	Revision *Revision
	Parts    map[string]string // of one in parts: those that differ from the update before
	Complete bool              // Parts are all that there are
}

// NewReplica returns the side of a process that is not confirmed. Name is that of one start of it, and formats has the highest format
// that it reads of each document that it uses.
func NewReplica(name string, formats map[string]int) *Replica {
	r := &Replica{Name: name, formats: formats, docs: map[string]*replicaDocument{}}
	for doc := range formats {
		r.docs[doc] = &replicaDocument{}
	}
	return r
}

// LastConfirmed is when it asked for what confirmed it last: what it acts on was the newest then.
func (r *Replica) LastConfirmed() time.Duration { return r.lastConfirmed }

// PollInterval is how long it waits before it asks the group again: a third of the lease, so that two answers may be lost, and a twelfth
// while a change is proposed or parts are missing.
func (r *Replica) PollInterval() time.Duration {
	for _, doc := range r.docs {
		if doc.proposed != nil {
			return r.terms.TTL / 12
		}
	}
	if !r.IsCurrent() {
		return r.terms.TTL / 12 // it is not confirmed until it has what is active
	}
	return r.terms.TTL / 3
}

// Report is what it tells the group of itself.
func (r *Replica) Report() Process {
	report := Process{Name: r.Name, Formats: r.formats, Prepared: map[string]int{}, Quiesced: map[string]int{}, Refusals: map[string]Refusal{}}
	for name, d := range r.docs {
		if d.proposed == nil {
			continue
		}
		version := d.proposed.ID.Version
		if d.refusal.Version == version {
			report.Refusals[name] = d.refusal
		} else if d.isPrepared() {
			report.Prepared[name] = version
		}
		if d.quiescedFor == version {
			report.Quiesced[name] = version
		}
	}
	return report
}

// KnownVersions are the versions whose texts it has, or whose parts it can name, by document: it need not be told of them again.
func (r *Replica) KnownVersions() map[string][]int {
	known := map[string][]int{}
	for name, d := range r.docs {
		for _, revision := range []*Revision{d.active, d.proposed} {
			if revision != nil && (!revision.InParts || d.hasManifest(revision.ID)) {
				known[name] = append(known[name], revision.ID.Version)
			}
		}
	}
	return known
}

// hasManifest reports whether the parts of a version are known by names and digests.
func (d *replicaDocument) hasManifest(id ID) bool {
	for _, partial := range []*partialDocument{d.activeParts, d.proposedParts} {
		if partial != nil && partial.id == id && partial.parts != nil {
			return true
		}
	}
	return false
}

// ActiveVersions are the versions that it acts on, by document.
func (r *Replica) ActiveVersions() map[string]int {
	versions := map[string]int{}
	for name, d := range r.docs {
		versions[name] = d.activeVersion
	}
	return versions
}

// Why nothing exclusive begins. The texts stand in the status, in the log and on the wire.
const (
	StopUnconfirmed = "unconfirmed" // no answer of the group within a lease: is the group reachable?
	StopClockSkew   = "clock"       // its wall clock is too far from the leader's, so that times in documents come at another moment
	StopQuiescing   = "turning"     // all processes stop the old before any begins the new
)

// ConfirmedUntil is when its confirmation ends, unless an answer comes before.
func (r *Replica) ConfirmedUntil() time.Duration { return r.confirmedUntil }

// IsQuiesced reports whether it has stopped what a change excludes. It has to have done so before Report says so.
func (r *Replica) IsQuiesced() bool {
	for _, d := range r.docs {
		if d.quiescedFor != 0 {
			return true
		}
	}
	return false
}

// StopReason is why nothing exclusive begins, empty where it may.
func (r *Replica) StopReason(now time.Duration) string {
	switch {
	case now >= r.confirmedUntil:
		return StopUnconfirmed
	case r.IsQuiesced():
		return StopQuiescing
	}
	return ""
}

// Receive takes what the group has answered to a request that was made at a time: its terms, and its documents as its log had them up to
// an index. Check is an error that tells why this process can't act on a document's text; it is called once of each. Receive returns what
// to act on now.
func (r *Replica) Receive(requestedAt time.Duration, index uint64, terms lease.Terms, docs map[string]View, check func(name, text string) error) (updates []Update) {
	// An answer that was delayed, after a newer one. It may have been asked for later and yet know less, as it came from a member that
	// lagged: what was stopped by the newer one would begin again while others act on its successor. The index of the log tells.
	if index < r.logIndex && !r.Disabled.IndexCheck {
		return nil
	}
	r.logIndex, r.terms = index, terms
	for name, d := range r.docs {
		view := docs[name]
		d.active, d.proposed, d.stage = d.withText(view.Active), d.withText(view.Proposed), view.Stage
		d.activeParts, d.proposedParts = d.partsOf(view, r.Disabled)
		switch {
		case d.proposed != nil && d.stage == StageQuiescing:
			d.quiescedFor = d.proposed.ID.Version
		default: // it has become active, or was withdrawn
			d.quiescedFor = 0
		}
	}
	updates = r.deliver(requestedAt, check)
	// What it lacks a part of it doesn't act on, and so this answer does not confirm it.
	if r.IsCurrent() {
		r.lastConfirmed = max(r.lastConfirmed, requestedAt)
		r.confirmedUntil = max(r.confirmedUntil, requestedAt+terms.HolderTTL())
	}
	return updates
}

// deliver checks what is proposed and returns what the process has to act on now: the active version, or the proposed one where the
// process is a canary of it. Of a document in parts that is once all of them are here.
func (r *Replica) deliver(now time.Duration, check func(name, text string) error) (updates []Update) {
	for _, name := range slices.Sorted(maps.Keys(r.docs)) {
		d := r.docs[name]
		if d.proposed != nil && d.refusal.Version != d.proposed.ID.Version {
			d.refusal = Refusal{}
			if err := r.checkProposed(now, name, d, check); err != nil {
				d.refusal = Refusal{d.proposed.ID.Version, err.Error()}
			}
		}
		target, parts := d.active, d.activeParts
		if d.proposed != nil && d.stage == StageCanary && slices.Contains(d.proposed.Canaries, r.Name) {
			target, parts = d.proposed, d.proposedParts
		}
		if target == nil || d.isDelivered(target) {
			continue
		}
		switch {
		case !target.InParts:
			d.activeVersion, d.delivered = target.ID.Version, nil
			updates = append(updates, Update{Doc: name, Revision: target})
		case parts.isComplete() && parts.id == target.ID:
			update := Update{Doc: name, Revision: target}
			update.Parts, update.Complete = d.changesTo(parts)
			d.activeVersion, d.delivered = target.ID.Version, parts
			updates = append(updates, update)
		}
	}
	return updates
}

// isDelivered reports whether the process was handed a version already.
func (d *replicaDocument) isDelivered(r *Revision) bool {
	return d.activeVersion == r.ID.Version && (!r.InParts || d.delivered != nil && d.delivered.id == r.ID)
}

// checkProposed checks the proposed revision: one in parts once it is complete, and then again each third of the lease, as whether the
// process can act on it may depend on the time.
func (r *Replica) checkProposed(now time.Duration, name string, d *replicaDocument, check func(name, text string) error) error {
	switch {
	case !d.proposed.InParts:
		return check(name, d.proposed.Text)
	case !d.proposedParts.isComplete() || d.proposedParts.id != d.proposed.ID || r.CheckParts == nil:
		return nil
	case d.checked == d.proposed.ID && now-d.checkedAt < r.terms.TTL/3:
		return nil
	}
	changed, complete := d.changesTo(d.proposedParts)
	d.checked, d.checkedAt = d.proposed.ID, now
	return r.CheckParts(name, changed, complete)
}

// isPrepared reports whether the proposed revision is here and was checked.
func (d *replicaDocument) isPrepared() bool {
	return d.proposed != nil && (!d.proposed.InParts || d.proposedParts.isComplete() && d.proposedParts.id == d.proposed.ID && d.checked == d.proposed.ID)
}

// IsCurrent reports whether it acts on what it was told is active, or on what it is a canary of. Only parts can be missing.
func (r *Replica) IsCurrent() bool {
	for _, d := range r.docs {
		if d.active != nil && d.active.InParts && !d.actsOn(d.active) && (d.stage != StageCanary || !d.actsOn(d.proposed)) {
			return false
		}
	}
	return true
}

// acts reports whether the process acts on a revision of a document in parts.
func (d *replicaDocument) actsOn(r *Revision) bool {
	return r != nil && d.delivered != nil && d.delivered.id == r.ID
}

// OutdatedVersions are the versions that it acts on of documents of which parts of the active one are missing, by document.
func (r *Replica) OutdatedVersions() map[string]int {
	versions := map[string]int{}
	for name, d := range r.docs {
		if d.active != nil && d.active.InParts && d.activeVersion != d.active.ID.Version && !d.activeParts.isComplete() {
			versions[name] = d.activeVersion
		}
	}
	return versions
}

// Redeliver has a document that the process could not act on after all be delivered again, whole.
func (r *Replica) Redeliver(name string) {
	if d := r.docs[name]; d != nil && d.delivered != nil {
		d.delivered = nil
	}
}

// withText puts in the text of a revision that is here already.
func (d *replicaDocument) withText(revision *Revision) *Revision {
	if revision == nil || revision.Text != "" || revision.InParts {
		return revision
	}
	for _, previous := range []*Revision{d.active, d.proposed} {
		if previous != nil && previous.ID == revision.ID {
			complete := *revision
			complete.Text = previous.Text
			return &complete
		}
	}
	return revision
}

// PauseScopes is what pauses here for changes that quiesce, empty where none does.
func (r *Replica) PauseScopes() (scopes []*PauseScope) {
	for _, name := range slices.Sorted(maps.Keys(r.docs)) {
		d := r.docs[name]
		if d.quiescedFor == 0 {
			continue
		}
		if prepared := d.isPrepared(); d.scope == nil || d.scopeOf != d.proposed.ID || d.scopeComplete != prepared {
			d.scope, d.scopeOf, d.scopeComplete = &PauseScope{}, d.proposed.ID, prepared
			d.scope.Add(d.proposed.Scope, d.activeAndProposedTexts())
		}
		scopes = append(scopes, d.scope)
	}
	return scopes
}

// activeAndProposedTexts are the texts of the active and the proposed revision, or of their parts.
func (d *replicaDocument) activeAndProposedTexts() (texts []string) {
	for _, revision := range []*Revision{d.active, d.proposed} {
		if revision != nil && revision.Text != "" {
			texts = append(texts, revision.Text)
		}
	}
	for _, partial := range []*partialDocument{d.delivered, d.proposedParts} {
		if partial == nil {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(partial.parts)) {
			if partial != d.delivered && d.delivered != nil && d.delivered.parts[name].Digest == partial.parts[name].Digest {
				continue
			}
			texts = append(texts, cmp.Or(partial.parts[name].Text, "not here"))
		}
	}
	return texts
}
