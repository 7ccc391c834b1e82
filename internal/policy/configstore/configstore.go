// Package configstore decides which version of the fleet's replicated, versioned configuration a process may act on. It has no I/O, no
// clock and no goroutine.
// Store is the state that a group replicates: documents, each with an active and a proposed revision, and the processes that use them.
// ProcessMonitor runs on the group's leader, expires silent processes and observes rollouts. Replica runs in a process that acts on
// documents. VersionTracker records the versions that other processes report; it also works without a group.
// A field is exclusive (kinds.go) if processes that act on its old and its new value at the same time would harm each other. All processes
// stop acting on the old value before any starts on the new one, and a process that can't confirm its version within a lease stops as well.
// docs/design/rules.md has the bound on how long two processes can act on contradicting versions, and its proof. docs/design/parts.md
// describes documents in parts.
package configstore

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID identifies a document. Two documents of one version have the same digest only if their contents are the same.
type ID struct {
	Version int    `json:"version"`
	Digest  uint64 `json:"digest"` // of the text as the program writes it, so that whitespace doesn't matter
}

// NewID returns the ID of a document by its version and text.
func NewID(version int, text []byte) ID { return ID{version, xxhash.Sum64(text)} }

// String returns the ID as it is written on the wire and in the log: the version, and the digest in hexadecimal.
func (id ID) String() string { return fmt.Sprintf("%d.%016x", id.Version, id.Digest) }

// ParseID parses the output of String. It returns false for anything else.
func ParseID(s string) (ID, bool) {
	version, digest, ok := strings.Cut(s, ".")
	number, versionErr := strconv.Atoi(version)
	sum, digestErr := strconv.ParseUint(digest, 16, 64)
	return ID{number, sum}, ok && versionErr == nil && digestErr == nil && number > 0 && len(digest) == 16
}

// Terms are the times from which the bounds are computed.
type Terms struct {
	// Lease is how long a process acts on exclusive fields without confirming its version. It is the TTL of the group, or, at routers and
	// servers that act on a map, the lease_ms of the map.
	Lease         time.Duration
	ClockSkew     time.Duration // maximum difference between the wall clocks of two processes
	ClockDrift    float64       // maximum error of a clock's rate, as a ratio
	ProbeInterval time.Duration // between two health checks of a server by a router
	ProbeTimeout  time.Duration // of a health check
	OverlapWindow time.Duration // after a change, how long a key that ran at its former home may still be repeated
}

// DetectionBound returns the longest time, from the start of the later one, until routers that reach a common server know that their
// documents of one version differ. Each router sends its own ID with its next health check and receives the other ID with the one after.
func (t Terms) DetectionBound() time.Duration {
	return onSlowClock(2*(t.ProbeInterval+t.ProbeTimeout), t.ClockDrift)
}

// ConflictBound returns the longest time in which two processes can act on contradicting versions. A process that is cut off from its
// source continues for a lease, measured by a clock that may be slow. Two processes reach a time written in a document up to ClockSkew
// apart. Two documents of one version are detected within DetectionBound.
func (t Terms) ConflictBound() time.Duration {
	return max(onSlowClock(t.Lease, t.ClockDrift)+t.ClockSkew, t.DetectionBound())
}

// onSlowClock returns the longest real time that may pass while a clock measures d, if the clock runs slow by the fraction drift.
func onSlowClock(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 - drift))
}
