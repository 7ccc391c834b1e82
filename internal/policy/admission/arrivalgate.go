package admission

import "time"

// ArrivalGate decides at the first bytes of a request whether the rest of it is worth reading. The decision module rejects requests
// of a class on arrival; where it has done so for many in a row without accepting one, the next few of that class are told the same
// without being read in full, until the module is asked again. It serves one class.
type ArrivalGate struct {
	consecutiveRejections int // on arrival, one after the other
	closedUntil           time.Duration
	lastRejection         time.Duration
}

const (
	closeThreshold   = 16                     // rejections in a row that close a gate: a flood, and no chance
	recloseThreshold = 4                      // rejections in a row that close it again after it opened
	closedDuration   = 20 * time.Millisecond  // less than a tick of the module: it is asked again as soon as it may decide otherwise
	maxRejectionGap  = 100 * time.Millisecond // between two rejections of a row; rarer ones are no flood
)

// Rejected is told that the module has rejected an arrival at once.
func (g *ArrivalGate) Rejected(now time.Duration) {
	if now-g.lastRejection > maxRejectionGap {
		g.consecutiveRejections = 0
	}
	g.lastRejection = now
	if g.consecutiveRejections++; g.consecutiveRejections >= closeThreshold {
		g.closedUntil = now + closedDuration
		g.consecutiveRejections = closeThreshold - recloseThreshold
	}
}

// Accepted is told that the module has accepted an arrival.
func (g *ArrivalGate) Accepted() { g.consecutiveRejections, g.closedUntil = 0, 0 }

// Closed reports whether a request is turned away unread.
func (g *ArrivalGate) Closed(now time.Duration) bool { return now < g.closedUntil }

// ClosedUntil is when the gate opens again.
func (g *ArrivalGate) ClosedUntil() time.Duration { return g.closedUntil }
