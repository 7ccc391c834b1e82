package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

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
