package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Fetching missing parts. Inputs: what the process was told of and has not, and how its requests ended. It has one request in flight at
// most, and waits before the first one: a process that comes back has a megabyte or two to ask for, and a zone that comes back is
// hundreds of them. Each draws its moment by its name, and waits longer after each failure.

// PartsRequest is what a process asks the group for: the manifest of a version, or texts of parts by name.
type PartsRequest struct {
	Doc     string   `json:"doc"`
	Version int      `json:"version"`
	Names   []string `json:"names,omitempty"`
}

const (
	initialBackoff = 2 * time.Second // over which the first requests of a zone's hundreds of processes are spread
	maxDoublings   = 4               // of initialBackoff, to half a minute
	maxRequested   = MaxParts        // names in a request; the answer carries as many as fit
)

// requestPacer paces the requests of a process.
type requestPacer struct {
	asking      bool          // a request is in flight
	failures    int           // in a row
	isScheduled bool          // a pause is drawn
	notBefore   time.Duration // the pause ends then
}

// backoff is the pause before the next request of a process after so many failures: a ratio of the whole by its name, so that a thousand
// processes have a thousand moments.
func backoff(name string, failures int) time.Duration {
	spread := initialBackoff << min(failures, maxDoublings)
	ratio := float64(PartDigest(fmt.Sprint(name, "/", failures))>>11) / (1 << 53)
	return time.Duration(ratio * float64(spread))
}

// nextMissing is what is missing first, in the order of documents: of the active one before the proposed one.
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

// NextRequest is what to ask the group for now; ReceiveParts or RequestFailed is told of its end. Ok is false where nothing is to be asked
// for yet; at says when to call again, 0 for when something was received.
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

// RequestFailed records that a request had no answer, or was refused.
func (h *Replica) RequestFailed() {
	h.pacer = requestPacer{failures: h.pacer.failures + 1}
}
