package admission

import (
	"testing"
	"time"
)

// A gate closes after many consecutive rejections, for less than a tick, and an accepted request opens it.
func TestArrivalGateClosesOnFloodOnly(t *testing.T) {
	var g ArrivalGate
	for range closeThreshold - 1 {
		g.Rejected(0)
	}
	if g.Closed(0) {
		t.Error("closed too early")
	}
	if g.Rejected(0); !g.Closed(0) || g.Closed(closedDuration) {
		t.Errorf("closed until %v", g.ClosedUntil())
	}
	if g.Accepted(); g.Closed(0) {
		t.Error("still closed after an accepted request")
	}
	for now := time.Duration(0); now < time.Minute; now += maxRejectionGap + 1 { // rare rejections are not a flood
		if g.Rejected(now); g.Closed(now) {
			t.Fatal("closed without a flood")
		}
	}
}
