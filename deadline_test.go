package silverpath

import (
	"fmt"
	"testing"
	"time"
)

// Callers that cancel an attempt before its objective made the rest of its run work for nobody: such runs were started, and took
// the cores from those whose callers still waited. The patience that callers show bounds the objective.
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
		t.Errorf("queued, though its caller waits 0.3 s: %v", h.lines[len(h.lines)-4:])
	}
}

// Where a request tells how long its caller waits, cancelled attempts teach nothing: connections that broke and hedges that
// were cancelled would make everything that takes longer look hopeless.
func TestKnownDeadlineOverridesPatience(t *testing.T) {
	s, h := newTestShedder(t)
	now := time.Duration(0)
	told := func(id string, work time.Duration) {
		r := testRequest(id, "read")
		r.ExpectedWork, r.Deadline = work, now+3*time.Second
		s.Arrive(now, r)
	}
	for i := range 30 {
		id := fmt.Sprint("r", i)
		told(id, 100*time.Millisecond)
		s.Cancelled(now+10*time.Millisecond, id)
		now += time.Second
		s.RunEnded(now, id, Canceled, 0)
	}
	told("x", 800*time.Millisecond)
	if !h.called("run x") {
		t.Errorf("not run, though its caller waits 3 s: %v", h.lines[len(h.lines)-2:])
	}
}

func TestAnsweredBeforeTheDeadline(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "book"))
	s.NeedsCall(0, "a")
	s.Tick(4990*time.Millisecond, Gauges{})
	if !h.called("fail a") {
		t.Errorf("not answered by its deadline: %v", h.lines)
	}
}
