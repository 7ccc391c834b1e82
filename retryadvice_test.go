package silverpath

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Rejected by slow servers, a request went down a list of hundreds and cost each a reading. Every second rejection for a fault of
// this server's own is final, so that such chains end.
func TestEverySecondRejectionIsFinal(t *testing.T) {
	s, h := newTestShedder(t)
	s.Drain(0, time.Hour)
	for i := range 20 {
		r := testRequest(fmt.Sprint("r", i), "pay")
		r.Unread = -2 * time.Second
		s.Arrive(0, r)
	}
	final := 0
	for _, l := range h.lines {
		if strings.HasPrefix(l, "refuse") && strings.HasSuffix(l, "true") {
			final++
		}
	}
	if final != 10 {
		t.Errorf("%d of 20 end here while leaving, want every second: %v", final, h.lines)
	}
}
