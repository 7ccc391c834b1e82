// Package configstore decides by which version of the fleet's rules a process may act. It has no I/O, no clock and no goroutine.
// Seen is the memory of a process that hears of others' rules, and holds without a group; Book is what a group agrees on.
// docs/design/rules.md has the bound on how long two processes can act on rules that contradict each other, and its proof.
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

// NewID is the ID of a document.
func NewID(version int, text []byte) ID { return ID{version, xxhash.Sum64(text)} }

func (id ID) String() string { return fmt.Sprintf("%d.%016x", id.Version, id.Digest) }

// ParseID reads what String wrote.
func ParseID(s string) (ID, bool) {
	version, digest, ok := strings.Cut(s, ".")
	n, err := strconv.Atoi(version)
	d, bad := strconv.ParseUint(digest, 16, 64)
	return ID{n, d}, ok && err == nil && bad == nil && n > 0 && len(digest) == 16
}

// Terms are what the bound is made of.
type Terms struct {
	Lease         time.Duration // who could not confirm his rules for so long stops what is exclusive
	ClockSkew     time.Duration // by which the wall clocks of two processes may differ
	ClockDrift    float64       // by which a clock may run fast or slow, as a share
	ProbeInterval time.Duration // between two words of a router to each server
	ProbeTimeout  time.Duration // for an answer to one
	OverlapWindow time.Duration // after a change a sheet may still come again from where it ran before
}

// DetectionBound is the longest until routers that reach a common server know that their documents of one version differ, from when
// both were started: each tells it at its next word, and hears at the one after that.
func (t Terms) DetectionBound() time.Duration {
	return onSlowClock(2*(t.ProbeInterval+t.ProbeTimeout), t.ClockDrift)
}

// ConflictBound is the longest in which two processes can act on rules that contradict each other: one that is cut off from its
// source goes on for a lease, by a clock that may be slow, and times in the rules come to the two apart by the skew; two
// documents of one version are found within Found.
func (t Terms) ConflictBound() time.Duration {
	return max(onSlowClock(t.Lease, t.ClockDrift)+t.ClockSkew, t.DetectionBound())
}

// onSlowClock is a time as a clock that is slow by the drift may count it.
func onSlowClock(d time.Duration, drift float64) time.Duration {
	return time.Duration(float64(d) / (1 - drift))
}
