package admission

import (
	"testing"
	"time"
)

// A gate closes after many rejections in a row, for less than a tick, and a request that was accepted opens it.
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
		t.Error("still closed after one was accepted")
	}
	for now := time.Duration(0); now < time.Minute; now += maxRejectionGap + 1 { // rejections here and there are no flood
		if g.Rejected(now); g.Closed(now) {
			t.Fatal("closed without a flood")
		}
	}
}
