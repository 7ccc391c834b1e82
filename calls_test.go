package silverpath

import (
	"fmt"
	"testing"
	"time"
)

func TestCallWithPossibleEffectIsNotRetried(t *testing.T) {
	for outcome, want := range map[Outcome]string{Failed: "fail", TimedOut: "fail", Disconnected: "fail",
		Overloaded: "call", Unreachable: "call"} {
		s, h := newTestShedder(t)
		s.Arrive(0, testRequest("a", "pay"))
		s.NeedsCall(0, "a")
		h.lines = nil
		s.CallEnded(10*time.Millisecond, "a", outcome, 10*time.Millisecond)
		for i := range 10 {
			s.Tick(time.Duration(i)*50*time.Millisecond, Gauges{})
		}
		if !h.called(want+" a") || len(h.lines) != 1 && want == "fail" && h.called("call a") {
			t.Errorf("outcome %v: actions %v", outcome, h.lines)
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

// The throughput of an overloaded dependency falls, so calls that take several times their base time must
// lower the limit of calls.
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
		t.Errorf("maxSharedCalls was %v, is %v after slow calls", before, s.maxSharedCalls)
	}
}

// A rejected call must lower the limit of calls to the tier below, at most once per typical call time, and
// a success must raise it again. Calls that fail or time out do not indicate the capacity of the tier and
// must not change the limit. Waiting calls must be made in the order of the weight that is lost without
// them.
func TestRejectedCallsLowerTheTierLimit(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) {
		set.Dependency, set.Preemption, set.Cores, set.MemoryKB = DependencyTier, PreemptNone, 20, 1e6
		set.Classes[0].DegradedWeight = 0
	})
	now, n := time.Duration(0), 0
	arriveAndCall := func(class string) string {
		n++
		id := fmt.Sprint(class, n)
		s.Arrive(now, testRequest(id, class))
		s.NeedsCall(now, id)
		return id
	}
	id := arriveAndCall("read")
	s.CallEnded(now, id, OK, 100*time.Millisecond)
	initial := s.maxTierCalls
	for _, outcome := range []Outcome{Failed, TimedOut, Unreachable} {
		s.CallEnded(now, arriveAndCall("read"), outcome, 0)
	}
	if s.maxTierCalls != initial {
		t.Fatalf("maxTierCalls is %v after failed calls, want %v", s.maxTierCalls, initial)
	}
	for range 5 { // all within the time of one call
		s.CallEnded(now, arriveAndCall("read"), Overloaded, 0)
	}
	if s.maxTierCalls != initial*callLimitDecrease {
		t.Fatalf("maxTierCalls is %v after one round of rejections, want %v", s.maxTierCalls, initial*callLimitDecrease)
	}
	s.maxTierCalls = 2
	now += time.Second
	first, second := arriveAndCall("read"), arriveAndCall("read")
	low, high := arriveAndCall("read"), arriveAndCall("pay")
	if !h.called("call "+first) || !h.called("call "+second) || h.called("call "+low) || h.called("call "+high) {
		t.Fatalf("calls in progress do not match the limit of 2: %v", h.lines)
	}
	s.CallEnded(now, first, OK, 100*time.Millisecond)
	if !h.called("call "+high) || h.called("call "+low) || s.maxTierCalls <= 2 {
		t.Fatalf("the call with the highest loss was not made first, or the limit did not grow: %v", h.lines)
	}
	for range 1000 {
		now += time.Second
		s.advanceClock(now)
		s.adaptTierCalls(Overloaded)
	}
	if s.maxTierCalls != 1 {
		t.Fatalf("maxTierCalls is %v after many rejections, want 1", s.maxTierCalls)
	}
}

// A safe call whose connection broke must be made again at once, but only the first time; a rejected or
// failed call must wait for the backoff.
func TestBrokenReplyIsRetriedAtOnce(t *testing.T) {
	for outcome, want := range map[Outcome]int{Disconnected: 2, Overloaded: 1, Failed: 1} {
		s, h := newTestShedder(t, func(set *Settings) {
			set.Dependency = DependencyTier
			set.Classes[0].DegradedWeight = 0
		})
		s.Arrive(0, testRequest("a", "read"))
		s.NeedsCall(0, "a")
		s.CallEnded(time.Millisecond, "a", outcome, time.Millisecond)
		if n := h.count("call a"); n != want {
			t.Errorf("outcome %v: %d calls before the backoff, want %d", outcome, n, want)
		}
		s.CallEnded(2*time.Millisecond, "a", outcome, time.Millisecond)
		if n := h.count("call a"); n != want {
			t.Errorf("outcome %v twice: %d calls before the backoff, want %d", outcome, n, want)
		}
		s.Tick(200*time.Millisecond, Gauges{})
		if n := h.count("call a"); n != want+1 {
			t.Errorf("outcome %v: %d calls after the backoff, want %d", outcome, n, want+1)
		}
	}
}

// If a late answer earns nothing, a request that still waits for its call must fail at its latency
// objective; if it earns something, the request must go on until its deadline.
func TestCallsEndAtTheObjective(t *testing.T) {
	for lateWeight, want := range map[float64]time.Duration{0: time.Second, 0.5: 2950 * time.Millisecond} {
		s, h := newTestShedder(t, func(set *Settings) {
			set.Dependency = DependencyTier
			set.Classes[0].DegradedWeight, set.Classes[0].LateWeight = 0, lateWeight
		})
		s.Arrive(0, testRequest("a", "read"))
		s.NeedsCall(0, "a")
		if !h.called(fmt.Sprint("call a ", want)) {
			t.Errorf("late weight %v: the call timeout is not %v: %v", lateWeight, want, h.lines)
		}
		s.CallEnded(want-10*time.Millisecond, "a", Overloaded, 0)
		s.Tick(want, Gauges{})
		if h.count("fail a") != 1 {
			t.Errorf("late weight %v: request not failed after %v: %v", lateWeight, want, h.lines)
		}
	}
}

// A tier that rejects calls is overloaded, and each retry costs it the work of reading it, so a rejected
// call must be skipped if the class allows that.
func TestRejectedCallIsSkipped(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "read"))
	s.NeedsCall(0, "a")
	s.CallEnded(10*time.Millisecond, "a", Overloaded, 10*time.Millisecond)
	if h.count("call a") != 1 || !h.called("skip a") {
		t.Error(h.lines)
	}
}

// Below a limit of one concurrent call, the delay to the next call must follow the duration of the last
// call and not the mean: once the dependency is fast again, calls must be made again at once.
func TestRecoveredDependencyIsCalledAgain(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.CallQuota = 1 })
	s.adaptSharedCalls(0.1)
	for range 50 {
		s.adaptSharedCalls(2)
	}
	if wait := s.nextCallAt - s.now; wait < 2*time.Second {
		t.Errorf("delay of %v after calls of 2 s, want at least 2 s; maxSharedCalls is %v", wait, s.maxSharedCalls)
	}
	s.adaptSharedCalls(0.1)
	if wait := s.nextCallAt - s.now; wait > time.Second {
		t.Errorf("delay of %v after a fast call, want at most 1 s; maxSharedCalls is %v", wait, s.maxSharedCalls)
	}
}

// Guards against skipping calls too early: a call was skipped as soon as the typical call time exceeded the
// remaining time, although half of all calls end sooner. The expected weight with the call and without it
// must decide.
func TestCallIsSkippedByExpectedWeight(t *testing.T) {
	s, _ := newTestShedder(t)
	s.typicalCallTime = 1
	r := &request{class: s.classByName["read"]} // DegradedWeight 0.5: skip below the median call time, ln 2 of the mean
	for remaining, want := range map[time.Duration]bool{690 * time.Millisecond: true, 700 * time.Millisecond: false} {
		if got := s.skippingEarnsMore(r, remaining); got != want {
			t.Errorf("%v remaining for a call of 1 s: skippingEarnsMore is %v", remaining, got)
		}
	}
	r.class.DegradedWeight = 1
	if !s.skippingEarnsMore(r, time.Hour) {
		t.Error("a call that adds no weight is not skipped")
	}
}

// Guards against calls beyond the quota after a reload that lengthens CallWindow: calls of the longer window
// that the shorter one has forgotten count as if they had used their quota.
func TestLongerCallWindowCountsForgottenCalls(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.CallQuota, set.CallWindow = 1, 5*time.Second })
	s.advanceClock(time.Minute)
	if got := s.reservedCallTime(); got != 0 {
		t.Fatalf("%v reserved without calls, want none", got)
	}
	longer := s.settings
	longer.CallWindow = 15 * time.Second
	if err := s.Reconfigure(time.Minute, longer); err != nil {
		t.Fatal(err)
	}
	for after, want := range map[time.Duration]time.Duration{0: 10 * time.Second, 4 * time.Second: 6 * time.Second, 10 * time.Second: 0} {
		s.now = time.Minute + after
		if got := s.reservedCallTime(); got != time.Duration(limitMargin*float64(want)) {
			t.Errorf("%v after the reload %v are reserved, want the quota of %v", after, got, want)
		}
	}
}
