package silverpath

import (
	"fmt"
	"testing"
	"time"
)

// Guards against too many runs on the cores: calls that end at the same time return more runs than the
// cores can take.
func TestSurplusRunsArePaused(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) { set.Dependency, set.MaxRunsPerCore = DependencyTier, 20 })
	for i := range 8 {
		id := fmt.Sprint("r", i)
		s.Arrive(0, testRequest(id, "pay"))
		s.NeedsCall(0, id)
	}
	if n := h.count("call"); n != 0 && s.stateCount[calling] != 8 {
		t.Fatalf("%d calls in progress: %v", s.stateCount[calling], h.lines)
	}
	for i := range 8 {
		s.CallEnded(10*time.Millisecond, fmt.Sprint("r", i), OK, 0)
	}
	if s.stateCount[running] > int(pauseRatio*s.runLimit())+1 {
		t.Errorf("%d running, more than pauseRatio allows: %v", s.stateCount[running], h.lines)
	}
}

func TestForecastRejectsAtOnce(t *testing.T) {
	s, h := newTestShedder(t)
	for i := range 2 {
		r := testRequest(fmt.Sprint("r", i), "pay")
		r.ExpectedWork = 1500 * time.Millisecond
		s.Arrive(0, r)
	}
	r := testRequest("late", "read")
	r.ReadDelay = 900 * time.Millisecond
	s.Arrive(0, r)
	if !h.called("refuse late") {
		t.Errorf("request queued, though it cannot meet its objective: %v", h.lines)
	}
}

func TestHighestWeightRunsFirst(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) { set.Cores = 1 })
	for _, r := range []Request{testRequest("first", "read"), testRequest("low", "read"), testRequest("high", "pay")} {
		s.Arrive(0, r)
	}
	s.RunEnded(100*time.Millisecond, "first", OK, 0)
	if !h.called("run high") || h.called("run low") {
		t.Error(h.lines)
	}
}
