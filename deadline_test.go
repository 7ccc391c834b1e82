package silverpath

import (
	"fmt"
	"testing"
	"time"
)

// Guards against running requests that no caller waits for. When callers cancelled an attempt before its
// latency objective, its run continued and took cores from requests whose callers still waited. The observed caller
// timeout must bound the objective.
func TestCallerPatienceIsLearned(t *testing.T) {
	s, h := newTestShedder(t)
	now := time.Duration(0)
	for i := range 30 {
		id := fmt.Sprint("r", i)
		s.Arrive(now, testRequest(id, "read"))
		s.Cancelled(now+300*time.Millisecond, id)
		now += time.Second
		s.RunEnded(now, id, Canceled, 0)
	}
	r := testRequest("x", "read")
	r.ExpectedWork = 800 * time.Millisecond
	s.Arrive(now, testRequest("a", "pay"))
	s.Arrive(now, testRequest("b", "pay"))
	s.Arrive(now, r)
	if !h.called("refuse x") {
		t.Errorf("request queued, though callers cancel after 0.3 s: %v", h.lines[len(h.lines)-4:])
	}
}

// For a request that carries a deadline, cancelled attempts must not shorten the objective: broken
// connections and cancelled hedges would make every longer request look hopeless.
func TestKnownDeadlineOverridesPatience(t *testing.T) {
	s, h := newTestShedder(t)
	now := time.Duration(0)
	arriveWithDeadline := func(id string, work time.Duration) {
		r := testRequest(id, "read")
		r.ExpectedWork, r.Deadline = work, now+3*time.Second
		s.Arrive(now, r)
	}
	for i := range 30 {
		id := fmt.Sprint("r", i)
		arriveWithDeadline(id, 100*time.Millisecond)
		s.Cancelled(now+10*time.Millisecond, id)
		now += time.Second
		s.RunEnded(now, id, Canceled, 0)
	}
	arriveWithDeadline("x", 800*time.Millisecond)
	if !h.called("run x") {
		t.Errorf("request not run, though its caller waits for 3 s: %v", h.lines[len(h.lines)-2:])
	}
}

func TestAnsweredBeforeTheDeadline(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "book"))
	s.NeedsCall(0, "a")
	s.Tick(4990*time.Millisecond, Gauges{})
	if !h.called("fail a") {
		t.Errorf("request not answered by its deadline: %v", h.lines)
	}
}
