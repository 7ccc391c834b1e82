package silverpath

import (
	"fmt"
	"testing"
	"time"
)

func TestCallWithPossibleEffectIsNotRetried(t *testing.T) {
	for o, want := range map[Outcome]string{Failed: "fail", TimedOut: "fail", Disconnected: "fail",
		Overloaded: "call", Unreachable: "call"} {
		s, h := newTestShedder(t)
		s.Arrive(0, testRequest("a", "pay"))
		s.NeedsCall(0, "a")
		h.lines = nil
		s.CallEnded(10*time.Millisecond, "a", o, 10*time.Millisecond)
		for i := range 10 {
			s.Tick(time.Duration(i)*50*time.Millisecond, Gauges{})
		}
		if !h.called(want+" a") || len(h.lines) != 1 && want == "fail" && h.called("call a") {
			t.Errorf("%v: %v", o, h.lines)
		}
	}
}

func TestTimedOutCallIsSkipped(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "read"))
	s.NeedsCall(0, "a")
	s.CallEnded(980*time.Millisecond, "a", TimedOut, 980*time.Millisecond)
	if !h.called("skip a") {
		t.Error(h.lines)
	}
}

// A crowded dependency does less in all: calls that take several times their base must become fewer.
func TestSlowCallsLowerTheSharedLimit(t *testing.T) {
	s, _ := newTestShedder(t)
	for range 20 {
		s.adaptSharedCalls(0.05)
	}
	before := s.maxSharedCalls
	for range 20 {
		s.adaptSharedCalls(1)
	}
	if least := minCallQuotaRatio * s.settings.CallQuota; s.maxSharedCalls >= before || s.maxSharedCalls < least {
		t.Errorf("limit %v, then %v", before, s.maxSharedCalls)
	}
}

// A tier below that rejects calls gets fewer at once, once for each time that a call takes; what waits goes by
// need, and the number grows again as calls go well. Calls that fail or time out say nothing of its capacity.
func TestRejectedCallsLowerTheTierLimit(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) {
		set.Dependency, set.Preemption, set.Cores, set.MemoryKB = DependencyTier, PreemptNone, 20, 1e6
		set.Classes[0].DegradedWeight = 0
	})
	now, n := time.Duration(0), 0
	stand := func(class string) string {
		n++
		id := fmt.Sprint(class, n)
		s.Arrive(now, testRequest(id, class))
		s.NeedsCall(now, id)
		return id
	}
	id := stand("read")
	s.CallEnded(now, id, OK, 100*time.Millisecond)
	whole := s.maxTierCalls
	for _, o := range []Outcome{Failed, TimedOut, Unreachable} {
		s.CallEnded(now, stand("read"), o, 0)
	}
	if s.maxTierCalls != whole {
		t.Fatalf("limit of %v calls, want still %v", s.maxTierCalls, whole)
	}
	for range 5 { // all within one call's time
		s.CallEnded(now, stand("read"), Overloaded, 0)
	}
	if s.maxTierCalls != whole*callLimitDecrease {
		t.Fatalf("limit of %v calls after one round of rejections, want %v", s.maxTierCalls, whole*callLimitDecrease)
	}
	s.maxTierCalls = 2
	now += time.Second
	first, second := stand("read"), stand("read")
	low, high := stand("read"), stand("pay")
	if !h.called("call "+first) || !h.called("call "+second) || h.called("call "+low) || h.called("call "+high) {
		t.Fatalf("not two calls at once: %v", h.lines)
	}
	s.CallEnded(now, first, OK, 100*time.Millisecond)
	if !h.called("call "+high) || h.called("call "+low) || s.maxTierCalls <= 2 {
		t.Fatalf("the call most needed did not go first, or the limit did not grow: %v", h.lines)
	}
	for range 1000 {
		now += time.Second
		s.advanceClock(now)
		s.adaptTierCalls(Overloaded)
	}
	if s.maxTierCalls != 1 {
		t.Fatalf("limit of %v calls at least, want 1", s.maxTierCalls)
	}
}

// A safe call whose reply broke is made again at once, one that was rejected later, and so is one that broke again.
func TestBrokenReplyIsRetriedAtOnce(t *testing.T) {
	for o, want := range map[Outcome]int{Disconnected: 2, Overloaded: 1, Failed: 1} {
		s, h := newTestShedder(t, func(set *Settings) {
			set.Dependency = DependencyTier
			set.Classes[0].DegradedWeight = 0
		})
		s.Arrive(0, testRequest("a", "read"))
		s.NeedsCall(0, "a")
		s.CallEnded(time.Millisecond, "a", o, time.Millisecond)
		if n := h.count("call a"); n != want {
			t.Errorf("outcome %v: %d calls at once, want %d", o, n, want)
		}
		s.CallEnded(2*time.Millisecond, "a", o, time.Millisecond)
		if n := h.count("call a"); n != want {
			t.Errorf("outcome %v twice: %d calls at once, want %d", o, n, want)
		}
		s.Tick(200*time.Millisecond, Gauges{})
		if n := h.count("call a"); n != want+1 {
			t.Errorf("outcome %v: %d calls after a while, want %d", o, n, want+1)
		}
	}
}

// Where a late answer earns nothing a request that still stands at its call fails at its objective, at once; where
// it earns something it goes on to its deadline.
func TestCallsEndAtTheObjective(t *testing.T) {
	for lateWeight, want := range map[float64]time.Duration{0: time.Second, 0.5: 2950 * time.Millisecond} {
		s, h := newTestShedder(t, func(set *Settings) {
			set.Dependency = DependencyTier
			set.Classes[0].DegradedWeight, set.Classes[0].LateWeight = 0, lateWeight
		})
		s.Arrive(0, testRequest("a", "read"))
		s.NeedsCall(0, "a")
		if !h.called(fmt.Sprint("call a ", want)) {
			t.Errorf("late weight %v: the call may not take %v: %v", lateWeight, want, h.lines)
		}
		s.CallEnded(want-10*time.Millisecond, "a", Overloaded, 0)
		s.Tick(want, Gauges{})
		if h.count("fail a") != 1 {
			t.Errorf("late weight %v: not failed after %v: %v", lateWeight, want, h.lines)
		}
	}
}

// A tier that rejects calls is overloaded, and each retry costs it another reading: the call is skipped where it may be.
func TestRejectedCallIsSkipped(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "read"))
	s.NeedsCall(0, "a")
	s.CallEnded(10*time.Millisecond, "a", Overloaded, 10*time.Millisecond)
	if h.count("call a") != 1 || !h.called("skip a") {
		t.Error(h.lines)
	}
}

// Under one call at a time the pause follows the last call, not a mean of them: when the dependency is quick
// again, calls are made again at once.
func TestRecoveredDependencyIsCalledAgain(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.CallQuota = 1 })
	s.adaptSharedCalls(0.1)
	for range 50 {
		s.adaptSharedCalls(2)
	}
	if wait := s.nextCallAt - s.now; wait < 2*time.Second {
		t.Errorf("%v between slow calls of 2 s, limit %v", wait, s.maxSharedCalls)
	}
	s.adaptSharedCalls(0.1)
	if wait := s.nextCallAt - s.now; wait > time.Second {
		t.Errorf("%v after a quick call, limit %v", wait, s.maxSharedCalls)
	}
}

// A call was left out as soon as a typical one would have been late, though half of all end sooner: what counts is the weight
// expected with the call against that without it.
func TestCallIsSkippedByExpectedWeight(t *testing.T) {
	s, _ := newTestShedder(t)
	s.typicalCallTime = 1
	r := &request{class: s.classByName["read"]} // half of the weight without the call: the median of its time, ln 2
	for left, want := range map[time.Duration]bool{690 * time.Millisecond: true, 700 * time.Millisecond: false} {
		if got := s.skippingEarnsMore(r, left); got != want {
			t.Errorf("%v left of a call of 1 s: too late %v", left, got)
		}
	}
	r.class.DegradedWeight = 1
	if !s.skippingEarnsMore(r, time.Hour) {
		t.Error("a call that adds nothing is made")
	}
}
