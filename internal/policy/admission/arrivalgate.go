package admission

import "time"

// ArrivalGate decides, at the first bytes of a request, whether the rest of the request is read. It serves one class. After many
// consecutive rejections on arrival by the decision module, the gate closes for a short time. While it is closed, requests of the class
// are rejected without being read in full. Then the module is asked again.
type ArrivalGate struct {
	consecutiveRejections int // rejections on arrival without an accepted request in between
	closedUntil           time.Duration
	lastRejection         time.Duration
}

const (
	closeThreshold   = 16                     // consecutive rejections that close an open gate
	recloseThreshold = 4                      // consecutive rejections that close the gate again after it opened
	closedDuration   = 20 * time.Millisecond  // shorter than the tick interval of the module, whose decision on an arrival can change with each tick
	maxRejectionGap  = 100 * time.Millisecond // longest time between two consecutive rejections; rarer ones are not a flood
)

// Rejected records that the module rejected a request on arrival. It closes the gate if there were enough consecutive rejections.
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

// Accepted records that the module accepted a request on arrival. It opens the gate.
func (g *ArrivalGate) Accepted() { g.consecutiveRejections, g.closedUntil = 0, 0 }

// Closed reports whether requests are rejected without being read in full.
func (g *ArrivalGate) Closed(now time.Duration) bool { return now < g.closedUntil }

// ClosedUntil returns the time at which the gate opens again.
func (g *ArrivalGate) ClosedUntil() time.Duration { return g.closedUntil }
