package configstore

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Fetching missing parts. Inputs: the parts of a version that the process lacks, and the results of its requests. A process has at most
// one request in flight and waits before the first one: a returning process requests a megabyte or two, and a returning zone has hundreds
// of processes. The pause depends on the process's name, and grows after each failure.

// PartsRequest is a request of a process to the group: for the manifest of a version, or for the texts of named parts.
type PartsRequest struct {
	Doc     string   `json:"doc"`
	Version int      `json:"version"`
	Names   []string `json:"names,omitempty"`
}

const (
	initialBackoff    = 2 * time.Second // spreads the first requests of a zone's hundreds of processes
	maxDoublings      = 4               // of initialBackoff, up to 32 seconds
	maxRequestedParts = MaxParts        // names in a request; the answer carries as many parts as fit
)

// requestPacer paces the requests of a process.
type requestPacer struct {
	inFlight    bool          // a request was sent and has not ended
	failures    int           // consecutive
	isScheduled bool          // notBefore is set
	notBefore   time.Duration // the earliest time of the next request
}

// backoff returns the pause before the next request of a process after a number of failures. The hash of the name selects a point of the
// whole range, so that the requests of a thousand processes are spread evenly.
func backoff(name string, failures int) time.Duration {
	maxPause := initialBackoff << min(failures, maxDoublings)
	ratio := float64(PartDigest(fmt.Sprint(name, "/", failures))>>11) / (1 << 53)
	return time.Duration(ratio * float64(maxPause))
}

// nextMissing returns the request for what is missing first: documents in order of name, the active revision before the proposed one.
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
				request.Names = request.Names[:min(len(request.Names), maxRequestedParts)]
			}
			return request, true
		}
	}
	return request, false
}

// NextRequest returns the request to send to the group now. The caller reports its result to ReceiveParts or RequestFailed. If ok is false,
// there is nothing to send yet: retryAt is when to call again, or 0 to call again after the next answer.
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

// RequestFailed records that a request had no answer, was refused, or brought nothing new.
func (r *Replica) RequestFailed() {
	r.pacer = requestPacer{failures: r.pacer.failures + 1}
}
