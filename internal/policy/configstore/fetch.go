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
	inFlight    bool          // a request is in flight
	failures    int           // in a row
	isScheduled bool          // a pause is drawn
	notBefore   time.Duration // the pause ends then
}

// backoff is the pause before the next request of a process after so many failures: a ratio of the whole by its name, so that a thousand
// processes have a thousand moments.
func backoff(name string, failures int) time.Duration {
	maxPause := initialBackoff << min(failures, maxDoublings)
	ratio := float64(PartDigest(fmt.Sprint(name, "/", failures))>>11) / (1 << 53)
	return time.Duration(ratio * float64(maxPause))
}

// nextMissing is what is missing first, in the order of documents: of the active one before the proposed one.
func (r *Replica) nextMissing() (request PartsRequest, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(r.docs)) {
		doc := r.docs[name]
		for _, partial := range []*partialDocument{doc.activeParts, doc.proposedParts} {
			if partial == nil || partial.isComplete() {
				continue
			}
			request = PartsRequest{Doc: name, Version: partial.id.Version}
			if partial.parts != nil {
				request.Names = partial.missing()
				request.Names = request.Names[:min(len(request.Names), maxRequested)]
			}
			return request, true
		}
	}
	return request, false
}

// NextRequest is what to ask the group for now; ReceiveParts or RequestFailed is told of its end. Ok is false where nothing is to be asked
// for yet; at says when to call again, 0 for when something was received.
func (r *Replica) NextRequest(now time.Duration) (request PartsRequest, retryAt time.Duration, ok bool) {
	if r.pacer.inFlight {
		return request, 0, false
	}
	if request, ok = r.nextMissing(); !ok {
		r.pacer = requestPacer{}
		return request, 0, false
	}
	if !r.pacer.isScheduled {
		r.pacer.isScheduled = true
		r.pacer.notBefore = now + backoff(r.Name, r.pacer.failures)
	}
	if now < r.pacer.notBefore && !r.Disabled.Pacing {
		return request, r.pacer.notBefore, false
	}
	r.pacer.inFlight = true
	return request, 0, true
}

// IsIncomplete reports whether parts are missing.
func (r *Replica) IsIncomplete() bool {
	_, ok := r.nextMissing()
	return ok
}

// RequestFailed records that a request had no answer, or was refused.
func (r *Replica) RequestFailed() {
	r.pacer = requestPacer{failures: r.pacer.failures + 1}
}
