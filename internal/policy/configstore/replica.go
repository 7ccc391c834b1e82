package configstore

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"silverpath/internal/policy/lease"
)

// The process's side. A process polls the group every PollInterval, reports which versions it has prepared and quiesced for, and acts on
// the updates that Receive returns. It begins exclusive work only while it is confirmed: within the last lease it received the active
// versions, and it has all their parts.

// Replica is the process's side of the documents that a process acts on. All times are the process's own monotonic clock. It is not safe
// for concurrent use: controlplane/configwatch calls it under its lock.
type Replica struct {
	Name string // of one start of the process
	// CheckParts returns an error if this process can't act on the changed parts, which are all parts if complete is true, else the
	// differences from the last update.
	CheckParts func(name string, changed map[string]string, complete bool) error
	Disabled   DisabledGuards // for tests

	formats        map[string]int
	terms          lease.Terms
	confirmedUntil time.Duration
	lastConfirmed  time.Duration // when the latest request was sent whose answer confirmed the process
	logIndex       uint64        // index of the group's log in the newest answer
	docs           map[string]*replicaDocument

	pacer requestPacer
}

// replicaDocument is a process's state of a document.
type replicaDocument struct {
	active, proposed *Revision
	stage            Stage
	refusal          Refusal
	activeVersion    int // the version that the process acts on
	quiescedFor      int // the version for which it has quiesced; 0: none

	// Fields of a document in parts:
	delivered                  *partialDocument // the version that the process acts on; nil: none
	activeParts, proposedParts *partialDocument // as far as their parts were received
	checked                    ID               // ID of the proposed revision that was checked last
	checkedAt                  time.Duration
	mismatches                 Mismatch

	// scope is what pauses while the process quiesces. It is cached, as finding the tenants of a cell takes the whole map.
	scope         *PauseScope
	scopeOf       ID
	scopeComplete bool
}

// Update is a revision of a document that the process must act on from now on.
type Update struct {
	Doc      string
	Revision *Revision
	Parts    map[string]string // of a document in parts: the parts that differ from the previous update
	Complete bool              // Parts has all parts of the document
}

// NewReplica returns a replica that is not confirmed. Name identifies one start of the process, and formats has the highest format that
// the process reads, by document that it uses.
func NewReplica(name string, formats map[string]int) *Replica {
	r := &Replica{Name: name, formats: formats, docs: map[string]*replicaDocument{}}
	for doc := range formats {
		r.docs[doc] = &replicaDocument{}
	}
	return r
}

// LastConfirmed returns when the request was sent that confirmed the process last. The versions that it acts on were the newest then.
func (r *Replica) LastConfirmed() time.Duration { return r.lastConfirmed }

// PollInterval returns the pause before the next poll of the group: a third of the lease, so that two answers may be lost, and a twelfth
// while a change is proposed or parts are missing.
func (r *Replica) PollInterval() time.Duration {
	for _, doc := range r.docs {
		if doc.proposed != nil {
			return r.terms.TTL / 12
		}
	}
	if !r.IsCurrent() {
		return r.terms.TTL / 12 // the process is not confirmed until it has the active version
	}
	return r.terms.TTL / 3
}

// Report returns the state that the process reports to the group.
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

// KnownVersions returns, by document, the versions whose text or manifest the process has. The group need not send these again.
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

// hasManifest reports whether the names and digests of a version's parts are known.
func (d *replicaDocument) hasManifest(id ID) bool {
	for _, partial := range []*partialDocument{d.activeParts, d.proposedParts} {
		if partial != nil && partial.id == id && partial.parts != nil {
			return true
		}
	}
	return false
}

// ActiveVersions returns the versions that the process acts on, by document.
func (r *Replica) ActiveVersions() map[string]int {
	versions := map[string]int{}
	for name, d := range r.docs {
		versions[name] = d.activeVersion
	}
	return versions
}

// The reasons why no exclusive work begins. The texts are part of the status, the log and the wire.
const (
	StopUnconfirmed = "unconfirmed" // no answer of the group within a lease; check whether the group is reachable
	StopClockSkew   = "clock"       // the wall clock is too far from the leader's, so that times in documents are reached at another moment
	StopQuiescing   = "turning"     // all processes stop acting on the old version before any begins the new one
)

// ConfirmedUntil returns when the confirmation ends unless another answer arrives before.
func (r *Replica) ConfirmedUntil() time.Duration { return r.confirmedUntil }

// IsQuiesced reports whether the process must have stopped what a change excludes. It must do so before it sends the next Report.
func (r *Replica) IsQuiesced() bool {
	for _, d := range r.docs {
		if d.quiescedFor != 0 {
			return true
		}
	}
	return false
}

// StopReason returns why no exclusive work may begin, or "" if it may.
func (r *Replica) StopReason(now time.Duration) string {
	switch {
	case now >= r.confirmedUntil:
		return StopUnconfirmed
	case r.IsQuiesced():
		return StopQuiescing
	}
	return ""
}

// Receive handles the group's answer to a request that was sent at requestedAt: the group's terms, and its documents as of an index of its
// log. Check returns an error if this process can't act on a document's text; it is called once per proposed text. Receive returns the
// updates to act on now.
func (r *Replica) Receive(requestedAt time.Duration, index uint64, terms lease.Terms, docs map[string]View, check func(name, text string) error) (updates []Update) {
	// This answer was delayed and arrives after a newer one. It may belong to a later request and still be older, if it came from a member
	// that lagged. Exclusive work that the newer answer stopped would then begin again while other processes act on the next version. The
	// index of the log shows which answer is newer.
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
		default: // the change became active or was withdrawn
			d.quiescedFor = 0
		}
	}
	updates = r.deliver(requestedAt, check)
	// An answer does not confirm a process that lacks parts, as the process does not act on the active version yet.
	if r.IsCurrent() {
		r.lastConfirmed = max(r.lastConfirmed, requestedAt)
		r.confirmedUntil = max(r.confirmedUntil, requestedAt+terms.HolderTTL())
	}
	return updates
}

// deliver checks proposed revisions and returns the updates to act on now: to the active revision, or to the proposed one if the process is
// a canary. A document in parts is delivered once it is complete.
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

// isDelivered reports whether the process already received an update to a revision.
func (d *replicaDocument) isDelivered(r *Revision) bool {
	return d.activeVersion == r.ID.Version && (!r.InParts || d.delivered != nil && d.delivered.id == r.ID)
}

// checkProposed checks the proposed revision. A revision in parts is checked once it is complete, and again every third of the lease,
// as the result may depend on the time.
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

// isPrepared reports whether the proposed revision is complete and was checked.
func (d *replicaDocument) isPrepared() bool {
	return d.proposed != nil && (!d.proposed.InParts || d.proposedParts.isComplete() && d.proposedParts.id == d.proposed.ID && d.checked == d.proposed.ID)
}

// IsCurrent reports whether the process acts on the active revisions, or on those that it is a canary of. It is false only
// while parts are missing.
func (r *Replica) IsCurrent() bool {
	for _, d := range r.docs {
		if d.active != nil && d.active.InParts && !d.actsOn(d.active) && (d.stage != StageCanary || !d.actsOn(d.proposed)) {
			return false
		}
	}
	return true
}

// actsOn reports whether the process acts on a revision of a document in parts.
func (d *replicaDocument) actsOn(r *Revision) bool {
	return r != nil && d.delivered != nil && d.delivered.id == r.ID
}

// OutdatedVersions returns, by document, the version that the process acts on while parts of the active version are missing.
func (r *Replica) OutdatedVersions() map[string]int {
	versions := map[string]int{}
	for name, d := range r.docs {
		if d.active != nil && d.active.InParts && d.activeVersion != d.active.ID.Version && !d.activeParts.isComplete() {
			versions[name] = d.activeVersion
		}
	}
	return versions
}

// Redeliver makes the next update of a document contain all parts, after the process failed to act on the last one.
func (r *Replica) Redeliver(name string) {
	if d := r.docs[name]; d != nil && d.delivered != nil {
		d.delivered = nil
	}
}

// withText adds the text to a revision that was sent without it, if the process already has the text.
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

// PauseScopes returns what pauses at this process for changes that quiesce. It is empty if there are none.
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

// activeAndProposedTexts returns the texts of the active and the proposed revision, or of their parts. For a missing part it
// returns a text that is not JSON, which makes PauseScope.Add pause everything.
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
			texts = append(texts, cmp.Or(partial.parts[name].Text, "missing"))
		}
	}
	return texts
}
