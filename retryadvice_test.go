package silverpath

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Guards against long failover chains: a request rejected by slow servers was sent to hundreds of servers
// one after another and cost each the work of reading it. Every second rejection for a local fault must be
// final.
func TestEverySecondRejectionIsFinal(t *testing.T) {
	s, h := newTestShedder(t)
	s.Drain(0, time.Hour)
	for i := range 20 {
		r := testRequest(fmt.Sprint("r", i), "pay")
		r.ReadDelay = -2 * time.Second
		s.Arrive(0, r)
	}
	final := 0
	for _, l := range h.lines {
		if strings.HasPrefix(l, "refuse") && strings.HasSuffix(l, "true") {
			final++
		}
	}
	if final != 10 {
		t.Errorf("%d of 20 rejections are final during a drain, want 10: %v", final, h.lines)
	}
}
