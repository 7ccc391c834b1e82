package silverpath

import (
	"testing"
)

// Whatever led there, startRun starts no second run of a request with an effect, and reject promises of none that has started that
// it never ran.
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
		t.Error("a request that is not idempotent was started a second time")
	}
	s.reject(c, reasonGuard)
	if h.called("refuse c") || !h.called("fail c") {
		t.Error("a request that has run was rejected")
	}
	s, h = newTestShedder(t, func(set *Settings) { set.Preemption = PreemptDrop })
	s.Arrive(0, testRequest("a", "pay"))
	s.RunEnded(0, "a", Canceled, 0)
	if !h.called("fail a") || h.count("run a") != 1 {
		t.Errorf("preempted work with an effect: %v", h.lines)
	}
}
