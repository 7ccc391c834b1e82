// Package configstore decides by which version of the fleet's replicated, versioned configuration a process may act. It has no I/O, no
// clock and no goroutine.
//
// Store is what a group agrees on: documents, each with an active revision and a proposed one, and the processes that use them.
// ProcessMonitor is the leader's side, which expires processes and judges a rollout. Replica is the side of a process that acts on
// documents. VersionTracker is the memory of a process that hears of others' versions, and holds without a group.
//
// What may not overlap, where an old and a new value would harm each other, is exclusive (kinds.go): all processes stop the old before
// any begins the new, and one that can't confirm its version within a lease stops too. docs/design/rules.md has the bound on how long
// two processes can act on versions that contradict each other, and its proof; docs/design/parts.md has documents in parts.
package configstore

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID tells one document from all others: two of one version have one digest only if they say the same.
type ID struct {
	Version int    `json:"version"`
	Digest  uint64 `json:"digest"` // of the text as the program writes it, so that blanks don't matter
}

// NewID is the ID of a document by its version and text.
func NewID(version int, text []byte) ID { return ID{version, xxhash.Sum64(text)} }

// String is the ID on the wire and in the log: the version, and the digest in hexadecimal.
func (id ID) String() string { return fmt.Sprintf("%d.%016x", id.Version, id.Digest) }

// ParseID reads what String wrote, and reports false for anything else.
func ParseID(s string) (ID, bool) {
	version, digest, ok := strings.Cut(s, ".")
	number, versionErr := strconv.Atoi(version)
	sum, digestErr := strconv.ParseUint(digest, 16, 64)
	return ID{number, sum}, ok && versionErr == nil && digestErr == nil && number > 0 && len(digest) == 16
}

// Terms are what the bounds are made of.
type Terms struct {
	// Lease: a process that could not confirm its version for so long stops what is exclusive. It is the TTL of the group, or, at routers and
	// servers that act on a map, the lease_ms of the map.
	Lease         time.Duration
	ClockSkew     time.Duration // by which the wall clocks of two processes may differ
	ClockDrift    float64       // by which a clock may run fast or slow, as a ratio
	ProbeInterval time.Duration // between two health checks of a server by a router
	ProbeTimeout  time.Duration // of a health check
	OverlapWindow time.Duration // after a change a key may still be repeated for so long that ran at its former home
}

// DetectionBound is the longest until routers that reach a common server know that their documents of one version differ, from when
// both were started: each tells its own at its next health check, and hears of the other at the one after that.
func (t Terms) DetectionBound() time.Duration {
	return onSlowClock(2*(t.ProbeInterval+t.ProbeTimeout), t.ClockDrift)
}

// ConflictBound is the longest in which two processes can act on versions that contradict each other: one that is cut off from its
// source goes on for a lease, by a clock that may be slow, and times in a document come to the two apart by ClockSkew; two
// documents of one version are found within DetectionBound.
func (t Terms) ConflictBound() time.Duration {
	return max(onSlowClock(t.Lease, t.ClockDrift)+t.ClockSkew, t.DetectionBound())
}

// onSlowClock is a time as a clock that is slow by the drift may count it.
func onSlowClock(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 - drift))
}
