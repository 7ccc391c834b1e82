package configstore

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Versions that a process hears of without a group. Inputs: the IDs of documents that routers and servers tell each other with health
// checks and requests. A newer version that has been known for a lease has the process stop what is exclusive; two documents of one
// version that differ have all stop it that hear of them, until what either has begun can't be repeated any more.

// Verdict says what a process may do by its document.
type Verdict int

// The verdicts.
const (
	VerdictValid       Verdict = iota // good
	VerdictOutdated                   // behind: a newer version has been known for a lease: nothing exclusive begins by this one
	VerdictConflicting                // contradicted: two documents of its version differ: nothing exclusive begins by either
	VerdictSettling                   // quiet: two have differed not long ago, and what either began may still be repeated
)

// String is the verdict's name in the status, and in counters of requests that failed by it.
func (v Verdict) String() string { return [...]string{"good", "behind", "contradicted", "quiet"}[v] }

// News is what a process has learned by an observation.
type Observation int

// The kinds of news.
const (
	NothingNew    Observation = iota
	NewerVersion              // a version above all that it knew
	ConflictFound             // a second document of one version
)

// Sighting is a document that a process has.
type Sighting struct {
	ID     ID
	Source string // which process told of it, and where it was heard
}

// String is the sighting as the log and other processes are told of it.
func (s Sighting) String() string { return fmt.Sprintf("%v by %s", s.ID, s.Source) }

// Bounds on what is remembered: what comes off a wire is not bounded by itself.
const (
	maxVersions   = 16 // versions that are remembered; a fleet has two or three at a time
	maxSourceName = 64 // bytes of a process's name
)

// trackedVersion is what is known of a version's documents.
type trackedVersion struct {
	number              int
	firstObservedAt     time.Duration // when it was first heard of
	sightings           []Sighting    // one, or the first two that differ
	conflictAt          time.Duration // since when two are known to
	conflictDescription string        // or that two differ, as another process said
}

func (v *trackedVersion) isConflicting() bool {
	return len(v.sightings) > 1 || v.conflictDescription != ""
}

// VersionTracker is what a process has heard of the versions of others. The zero value has heard nothing. All times are the process's
// own monotonic clock. It is not safe for concurrent use.
type VersionTracker struct {
	terms           Terms             // the longest lease and the rest of it that anyone named
	versions        []*trackedVersion // rising
	suspendedUntil  time.Duration
	longestOutdated time.Duration // that a process was seen to be outdated, or that two differed
}

// ExtendTerms takes the terms that a document, or another process, names. Of two, the longer ones hold: they err on the safe side.
func (t *VersionTracker) ExtendTerms(terms Terms) {
	t.terms = Terms{max(t.terms.Lease, terms.Lease), max(t.terms.ClockSkew, terms.ClockSkew), max(t.terms.ClockDrift, terms.ClockDrift),
		max(t.terms.ProbeInterval, terms.ProbeInterval), max(t.terms.ProbeTimeout, terms.ProbeTimeout), max(t.terms.OverlapWindow, terms.OverlapWindow)}
}

// at returns what is known of a version, new where it is not too old to matter.
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

// Observe takes that a process has a document.
func (t *VersionTracker) Observe(now time.Duration, id ID, source string) Observation {
	v, newest := t.findOrAdd(id.Version, now)
	if v == nil {
		return NothingNew
	}
	switch {
	case len(v.sightings) == 0 || len(v.sightings) == 1 && v.sightings[0].ID != id:
		v.sightings = append(v.sightings, Sighting{id, source[:min(len(source), maxSourceName)]})
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

// ObserveConflict takes that another process knows of two documents of a version that differ, with its description of them.
func (t *VersionTracker) ObserveConflict(now time.Duration, number int, description string) Observation {
	v, _ := t.findOrAdd(number, now)
	if v == nil || v.isConflicting() || description == "" {
		return NothingNew
	}
	v.conflictDescription = description[:min(len(description), 4*maxSourceName)]
	t.noteConflict(now, v)
	return ConflictFound
}

// noteConflict begins the time in which what either document has begun may be repeated. Until others know as well they go on, for
// DetectionBound at most.
func (t *VersionTracker) noteConflict(now time.Duration, v *trackedVersion) {
	v.conflictAt = now
	t.Suspend(now, t.terms.DetectionBound()+t.terms.OverlapWindow)
}

// Suspend has nothing exclusive begin for so long: another process has found two documents that differ.
func (t *VersionTracker) Suspend(now, d time.Duration) {
	t.suspendedUntil = max(t.suspendedUntil, now+d)
}

// SuspendedFor is how much longer nothing exclusive begins.
func (t *VersionTracker) SuspendedFor(now time.Duration) time.Duration {
	return max(0, t.suspendedUntil-now)
}

// Newest is the newest document that was heard of, and its first sighting; ok is false where there is none.
func (t *VersionTracker) Newest() (newest Sighting, ok bool) {
	for _, v := range slices.Backward(t.versions) {
		if len(v.sightings) > 0 {
			return v.sightings[0], true
		}
	}
	return Sighting{}, false
}

// Conflict is the newest version and the description of its two documents that differ, empty where they don't.
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

// Check tells what may be done by a document. The newest version decides: one above two that differ ends their conflict, but for what
// they may have begun. It is called with each request that has an idempotency key.
func (t *VersionTracker) Check(now time.Duration, id ID) Verdict {
	if count := len(t.versions); count > 0 && t.versions[count-1].isConflicting() && id.Version <= t.versions[count-1].number {
		t.longestOutdated = max(t.longestOutdated, now-t.versions[count-1].conflictAt)
		return VerdictConflicting
	}
	if now < t.suspendedUntil {
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

// LongestOutdated is the longest in which a process was seen to act, or to want to, by a document that is not the newest, or that
// another one contradicts.
func (t *VersionTracker) LongestOutdated() time.Duration { return t.longestOutdated }

// Terms are the terms that it goes by.
func (t *VersionTracker) Terms() Terms { return t.terms }
