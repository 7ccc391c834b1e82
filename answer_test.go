package silverpath

import (
	"testing"
)

// Guards against a second effect: startRun must not start a request with an effect twice, and reject must
// fail a request that was started, because a rejection guarantees that the request never ran.
func TestNoSecondRunNorRejectionAfterStart(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "pay"))
	s.Arrive(0, testRequest("b", "pay"))
	s.Arrive(0, testRequest("c", "pay"))
	c := s.requestByID["c"]
	c.started = true
	s.RunEnded(0, "a", OK, 0)
	s.startRun(c)
	if h.called("run c") {
		t.Error("startRun started a non-idempotent request twice")
	}
	s.reject(c, reasonGuard)
	if h.called("refuse c") || !h.called("fail c") {
		t.Error("reject rejected a request that was started, want a failure")
	}
	s, h = newTestShedder(t, func(set *Settings) { set.Preemption = PreemptDrop })
	s.Arrive(0, testRequest("a", "pay"))
	s.RunEnded(0, "a", Canceled, 0)
	if !h.called("fail a") || h.count("run a") != 1 {
		t.Errorf("preempted request with an effect was not failed after one run: %v", h.lines)
	}
}
