package configstore

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Versions reported without a group. Inputs: the IDs of documents that routers and servers exchange with health checks and requests. A
// process that has known of a newer version for a lease stops exclusive work. If two documents of one version differ, all processes that
// receive both IDs stop it, until work begun under either can't be repeated any more.

// Verdict is whether a process may act on its document.
type Verdict int

// The verdicts, with their names in the status.
const (
	VerdictValid       Verdict = iota // "good": exclusive work may begin
	VerdictOutdated                   // "behind": a newer version has been known for a lease; no exclusive work begins
	VerdictConflicting                // "contradicted": two documents of its version differ; no exclusive work begins under either
	VerdictSettling                   // "quiet": two documents differed recently, and work begun under either may still be repeated
)

// String returns the verdict's name in the status and in the counters of rejected requests.
func (v Verdict) String() string { return [...]string{"good", "behind", "contradicted", "quiet"}[v] }

// Observation is what an observed document or conflict added to the tracker.
type Observation int

// The results of an observation.
const (
	NothingNew    Observation = iota
	NewerVersion              // a version higher than all known ones
	ConflictFound             // a second document of one version
)

// Sighting is a document that a process was reported to have.
type Sighting struct {
	ID     ID
	Source string // the reporting process, and where the report was received
}

// String returns the sighting as it is written in the log and sent to other processes.
func (s Sighting) String() string { return fmt.Sprintf("%v by %s", s.ID, s.Source) }

// Limits of what is stored, as the data received from other processes is unbounded.
const (
	maxVersions       = 16 // versions that are stored; a fleet has two or three at a time
	maxSourceNameSize = 64 // bytes of a process's name
)

// trackedVersion has the documents that were reported for a version.
type trackedVersion struct {
	number              int
	firstObservedAt     time.Duration // when the version was first reported
	sightings           []Sighting    // one, or the first two that differ
	conflictAt          time.Duration // when the conflict was detected
	conflictDescription string        // conflict that another process reported; empty: none
}

func (v *trackedVersion) isConflicting() bool {
	return len(v.sightings) > 1 || v.conflictDescription != ""
}

// VersionTracker records the versions that other processes report. The zero value has no versions. All times are the process's own
// monotonic clock. It is not safe for concurrent use.
type VersionTracker struct {
	terms           Terms             // the maximum of each term over all that were given
	versions        []*trackedVersion // in ascending order
	suspendedUntil  time.Duration     // as other processes reported it
	suspensions     []suspension      // that this process found reasons for, at most one of each kind
	longestOutdated time.Duration     // longest time that a document was seen to be outdated or in conflict
}

// suspension is a time after which exclusive work may have begun under another document than the one in force.
type suspension struct {
	from       time.Duration
	byConflict bool // processes that have not detected the conflict at from yet continue for DetectionBound
}

// until returns the end of a suspension: the time from which the work that began under the other document can't be repeated any more.
func (s suspension) until(terms Terms) time.Duration {
	if s.byConflict {
		return s.from + terms.DetectionBound() + terms.OverlapWindow
	}
	return s.from + terms.OverlapWindow
}

// ExtendTerms raises each term to the given one if that is longer. It is called with the terms of documents and of other processes. Longer
// terms are always safe. They prolong a suspension in progress, but do not bring back one that has ended.
func (t *VersionTracker) ExtendTerms(now time.Duration, terms Terms) {
	t.suspensions = slices.DeleteFunc(t.suspensions, func(s suspension) bool { return s.until(t.terms) <= now })
	if now < t.suspendedUntil { // the process that reported it may not have the longer window yet
		t.suspendedUntil += max(0, terms.OverlapWindow-t.terms.OverlapWindow)
	}
	t.terms = Terms{max(t.terms.Lease, terms.Lease), max(t.terms.ClockSkew, terms.ClockSkew), max(t.terms.ClockDrift, terms.ClockDrift),
		max(t.terms.ProbeInterval, terms.ProbeInterval), max(t.terms.ProbeTimeout, terms.ProbeTimeout), max(t.terms.OverlapWindow, terms.OverlapWindow)}
}

// findOrAdd returns the entry of a version, and whether it was added as the newest. It returns nil for a version that is too old to store.
func (t *VersionTracker) findOrAdd(number int, now time.Duration) (v *trackedVersion, newest bool) {
	index, found := slices.BinarySearchFunc(t.versions, number, func(v *trackedVersion, n int) int { return cmp.Compare(v.number, n) })
	if found {
		return t.versions[index], false
	}
	if index == 0 && len(t.versions) >= maxVersions {
		return nil, false
	}
	newest = index == len(t.versions)
	v = &trackedVersion{number: number, firstObservedAt: now}
	t.versions = slices.Insert(t.versions, index, v)
	if len(t.versions) > maxVersions {
		t.versions = slices.Delete(t.versions, 0, 1)
	}
	return v, newest
}

// Observe records that a process has a document.
func (t *VersionTracker) Observe(now time.Duration, id ID, source string) Observation {
	v, newest := t.findOrAdd(id.Version, now)
	if v == nil {
		return NothingNew
	}
	switch {
	case len(v.sightings) == 0 || len(v.sightings) == 1 && v.sightings[0].ID != id:
		v.sightings = append(v.sightings, Sighting{id, source[:min(len(source), maxSourceNameSize)]})
		if len(v.sightings) == 2 && v.conflictDescription == "" {
			t.noteConflict(now, v)
			return ConflictFound
		}
	}
	if newest && len(t.versions) > 1 {
		return NewerVersion
	}
	return NothingNew
}

// ObserveConflict records that another process detected two different documents of a version, with its description of them.
func (t *VersionTracker) ObserveConflict(now time.Duration, number int, description string) Observation {
	v, _ := t.findOrAdd(number, now)
	if v == nil || v.isConflicting() || description == "" {
		return NothingNew
	}
	v.conflictDescription = description[:min(len(description), 4*maxSourceNameSize)]
	t.noteConflict(now, v)
	return ConflictFound
}

// noteConflict suspends exclusive work while work begun under either document may be repeated.
func (t *VersionTracker) noteConflict(now time.Duration, v *trackedVersion) {
	v.conflictAt = now
	t.addSuspension(suspension{from: now, byConflict: true})
}

// SuspendAfter suspends exclusive work while work that began until lastBegun, under a document that is no longer in force, may be repeated.
func (t *VersionTracker) SuspendAfter(lastBegun time.Duration) {
	t.addSuspension(suspension{from: lastBegun})
}

// addSuspension adds a suspension, unless a later one of its kind is in progress.
func (t *VersionTracker) addSuspension(added suspension) {
	for i, s := range t.suspensions {
		if s.byConflict == added.byConflict {
			t.suspensions[i].from = max(s.from, added.from)
			return
		}
	}
	t.suspensions = append(t.suspensions, added)
}

// Suspend stops exclusive work from beginning for d. It is called when another process has found two documents that differ.
func (t *VersionTracker) Suspend(now, d time.Duration) {
	t.suspendedUntil = max(t.suspendedUntil, now+d)
}

// SuspendedFor returns how much longer no exclusive work begins.
func (t *VersionTracker) SuspendedFor(now time.Duration) time.Duration {
	until := t.suspendedUntil
	for _, s := range t.suspensions {
		until = max(until, s.until(t.terms))
	}
	return max(0, until-now)
}

// Newest returns the first sighting of the newest document, and false if there is none.
func (t *VersionTracker) Newest() (newest Sighting, ok bool) {
	for _, v := range slices.Backward(t.versions) {
		if len(v.sightings) > 0 {
			return v.sightings[0], true
		}
	}
	return Sighting{}, false
}

// Conflict returns the newest version, and a description of its two documents that differ, or "" if they don't.
func (t *VersionTracker) Conflict() (number int, description string) {
	if len(t.versions) == 0 {
		return 0, ""
	}
	v := t.versions[len(t.versions)-1]
	if v.conflictDescription != "" || len(v.sightings) < 2 {
		return v.number, v.conflictDescription
	}
	return v.number, v.sightings[0].String() + " and " + v.sightings[1].String()
}

// Check returns the verdict on a document. The newest version decides: a version above one in conflict ends the conflict, except for the
// time in which work begun under it may be repeated. Check is called for each request with an idempotency key.
func (t *VersionTracker) Check(now time.Duration, id ID) Verdict {
	if count := len(t.versions); count > 0 && t.versions[count-1].isConflicting() && id.Version <= t.versions[count-1].number {
		t.longestOutdated = max(t.longestOutdated, now-t.versions[count-1].conflictAt)
		return VerdictConflicting
	}
	if t.SuspendedFor(now) > 0 {
		return VerdictSettling
	}
	for _, v := range t.versions {
		if v.number <= id.Version {
			continue
		}
		t.longestOutdated = max(t.longestOutdated, now-v.firstObservedAt)
		if now-v.firstObservedAt > onSlowClock(t.terms.Lease, t.terms.ClockDrift) {
			return VerdictOutdated
		}
	}
	return VerdictValid
}

// LongestOutdated returns the longest time in which a process was seen to act, or to try to act, on a document that was outdated or in
// conflict.
func (t *VersionTracker) LongestOutdated() time.Duration { return t.longestOutdated }

// Terms returns the longest terms that were given to ExtendTerms.
func (t *VersionTracker) Terms() Terms { return t.terms }
