package silverpath

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// scriptHost is a host that records its actions.
type scriptHost struct{ lines []string }

func (h *scriptHost) add(a ...any)                              { h.lines = append(h.lines, fmt.Sprint(a...)) }
func (h *scriptHost) Run(id string)                             { h.add("run ", id) }
func (h *scriptHost) Reject(id string, d time.Duration, f bool) { h.add("refuse ", id, " ", d, " ", f) }
func (h *scriptHost) Fail(id string)                            { h.add("fail ", id) }
func (h *scriptHost) Join(id string)                            { h.add("join ", id) }
func (h *scriptHost) Stop(id string)                            { h.add("stop ", id) }
func (h *scriptHost) Call(id string, d time.Duration)           { h.add("call ", id, " ", d) }
func (h *scriptHost) SkipCall(id string)                        { h.add("skip ", id) }
func (h *scriptHost) RememberKey(id string, d time.Duration)    { h.add("keep ", id, " ", d) }
func (h *scriptHost) ForgetKey(id string)                       { h.add("forget ", id) }
func (h *scriptHost) Health(good bool)                          { h.add("health ", good) }
func (h *scriptHost) Signal(v float64)                          { h.add("signal ", v) }
func (h *scriptHost) CloseIdle(d time.Duration)                 {}
func (h *scriptHost) Wake(time.Duration)                        {}
func (h *scriptHost) Log(text string)                           { h.add("log ", text) }
func (h *scriptHost) called(prefix string) bool                 { return h.count(prefix) > 0 }
func (h *scriptHost) count(prefix string) (n int) {
	for _, l := range h.lines {
		if strings.HasPrefix(l+" ", prefix+" ") {
			n++
		}
	}
	return n
}

// testSettings returns the settings of a small server with three classes, one for each Effect.
func testSettings() Settings {
	return Settings{
		Cores: 2, MemoryKB: 10000, RunFactor: 4, KeyKB: 10, MaxRunsPerCore: 8, RunsWindow: 2 * time.Second,
		DrainGrace: time.Second, OverQuotaWeight: 0.1, WeightByWork: true, Servers: 1, Callers: 1,
		Preemption: PreemptPause, RetryAfter: true, MaxRetryAfter: time.Second, Dependency: DependencyShared, CallQuota: 4,
		CallWindow: 5 * time.Second, CallLinger: 100 * time.Millisecond,
		Classes: []Class{
			{Name: "read", Objective: time.Second, Deadline: 3 * time.Second, Weight: 1, CallsDependency: true, DegradedWeight: 0.5},
			{Name: "book", Objective: 2 * time.Second, Deadline: 5 * time.Second, Weight: 3, Effect: Idempotent,
				IdempotencyWindow: 10 * time.Second, CallsDependency: true},
			{Name: "pay", Objective: 2 * time.Second, Deadline: 5 * time.Second, Weight: 5, Effect: NonIdempotent, CallsDependency: true},
		},
	}
}

// newTestShedder returns a Shedder with testSettings, changed by change, and its host.
func newTestShedder(t *testing.T, change ...func(*Settings)) (*Shedder, *scriptHost) {
	t.Helper()
	set, h := testSettings(), &scriptHost{}
	for _, f := range change {
		f(&set)
	}
	s, err := New(0, set, h)
	if err != nil {
		t.Fatal(err)
	}
	return s, h
}

func testRequest(id, class string) Request {
	return Request{ID: id, Class: class, QueuedKB: 10, ExpectedWork: 100 * time.Millisecond}
}

// Samples missed in a long pause must be skipped, and not processed one by one.
func TestMissedSamplesAreSkipped(t *testing.T) {
	s, _ := newTestShedder(t)
	s.Tick(200*365*24*time.Hour, Gauges{CPU: 1})
	if s.cpu.Value() >= cpuThreshold {
		t.Errorf("smoothed CPU is %v after one reading", s.cpu.Value())
	}
}

// Events for unknown IDs and classes must be ignored or rejected, and a known ID must not run twice.
func TestUnknownIDsAndClasses(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("odd", "no such class"))
	s.Cancelled(0, "nobody")
	s.NeedsCall(0, "nobody")
	s.CallEnded(0, "nobody", OK, 0)
	s.RunEnded(0, "nobody", OK, 0)
	s.Arrive(0, testRequest("a", "pay"))
	s.Arrive(0, testRequest("a", "pay"))
	s.RunEnded(0, "a", OK, 0)
	s.Arrive(0, testRequest("a", "pay"))
	if h.count("refuse odd") != 1 || h.count("run a") != 1 {
		t.Error(h.lines)
	}
}

// Settings without servers, callers, a call quota or a class that calls must not lead to invalid numbers or
// to calls.
func TestMissingSettings(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) {
		set.Servers, set.Callers, set.CallQuota, set.CallWindow, set.KeepAlive = 0, 0, 0, 0, 0
		set.Signal, set.Tenants = SignalCredit, []Tenant{{Name: "t"}}
		set.Classes = slices.Clone(set.Classes)
		for i := range set.Classes {
			set.Classes[i].CallsDependency = false
		}
	})
	r := testRequest("a", "read")
	r.Tenant = "t"
	s.Arrive(0, r)
	s.NeedsCall(0, "a")
	for i := range 200 {
		s.Tick(time.Duration(i)*tickInterval, Gauges{})
	}
	if !h.called("skip a") || h.called("call a") {
		t.Error("the call was not skipped with a call quota of 0:", h.lines)
	}
	for _, l := range h.lines {
		if strings.Contains(l, "NaN") || strings.Contains(l, "Inf") {
			t.Error(l)
		}
	}
}

// Reconfigure must keep the class of open requests and the statistics of classes that remain. A class that
// is dropped and added again must start without statistics.
func TestReconfigure(t *testing.T) {
	sixteenCores := func(set *Settings) { set.Cores = 16 }
	s, h := newTestShedder(t, sixteenCores)
	s.Arrive(0, testRequest("a", "read"))
	s.Arrive(0, testRequest("b", "book"))
	s.Arrive(0, testRequest("c", "read"))
	stats := s.classByName["read"].classStats
	stats.meanWork, stats.requestedWork = 0.5, 7
	s.cpu.Add(0.7, 0)

	next := testSettings()
	sixteenCores(&next)
	next.Classes = []Class{next.Classes[0], next.Classes[2], {Name: "new", Objective: time.Second, Deadline: 2 * time.Second, Weight: 1}}
	next.Classes[0].Objective, next.Classes[0].Weight = 500*time.Millisecond, 2
	if err := s.Reconfigure(time.Second, next); err != nil {
		t.Fatal(err)
	}
	if c := s.classByName["read"]; c.classStats != stats || c.Objective != 500*time.Millisecond || c.inFlight != 2 || s.cpu.Value() != 0.7 {
		t.Errorf("the remaining class is %+v with %+v, CPU %v, %v", c.Class, c.classStats, s.cpu.Value(), h.lines)
	}
	if c := s.requestByID["a"].class; c.Objective != time.Second || c.Weight != 1 {
		t.Errorf("an open request has class %+v, want the one that it arrived with", c.Class)
	}
	s.Arrive(time.Second, testRequest("d", "book"))
	if !h.called("refuse d") {
		t.Error("a request of a dropped class was not rejected")
	}
	s.Arrive(time.Second, testRequest("e", "new"))
	s.Arrive(time.Second, testRequest("f", "read"))
	if h.called("refuse e") || s.requestByID["f"].objective != time.Second+500*time.Millisecond {
		t.Error("a request of a new class was rejected, or the new objective does not apply")
	}
	// The dropped class ends its runs without changing the counts of other classes.
	s.RunEnded(1100*time.Millisecond, "b", OK, time.Second)
	if s.requestByID["b"] != nil || len(s.classes) != 3 {
		t.Error("a run of a dropped class did not end")
	}
	s.RunEnded(1100*time.Millisecond, "a", OK, time.Second)
	if n := s.classByName["read"].inFlight; n != 2 {
		t.Errorf("%d requests of the class in flight, want c and f", n)
	}
	s.Arrive(1200*time.Millisecond, testRequest("g", "new"))
	if err := s.Reconfigure(1200*time.Millisecond, testSettings()); err != nil {
		t.Fatal(err)
	}
	if c := s.classByName["book"]; c.inFlight != 0 || c.meanWork != 0 || c.requestedWork != 0 {
		t.Errorf("a class that was added again has statistics %+v, want none", c.classStats)
	}
	s.RunEnded(1300*time.Millisecond, "g", OK, 0)
	if s.classByName["new"] != nil || s.requestByID["g"] != nil {
		t.Error("a class dropped again is still known, or its run did not end")
	}
}

// Reconfigure must reject invalid settings and change nothing.
func TestReconfigureRejectsImpossibleSettings(t *testing.T) {
	s, _ := newTestShedder(t)
	for _, invalidate := range []func(*Settings){
		func(set *Settings) { set.Classes = nil },
		func(set *Settings) { set.Classes[1].Deadline = 0 },
		func(set *Settings) { set.Classes[1].Deadline = -time.Second },
		func(set *Settings) { set.Classes[2].Name = "read" },
		func(set *Settings) { set.Cores = 0 },
		func(set *Settings) { set.MemoryKB = math.NaN() },
	} {
		invalid := testSettings()
		invalidate(&invalid)
		if err := s.Reconfigure(time.Second, invalid); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("Reconfigure accepted invalid settings: %+v", invalid)
		}
	}
	if len(s.classes) != 3 || s.settings.Cores != 2 || s.classByName["book"].Deadline != 5*time.Second {
		t.Errorf("invalid settings changed the settings in force: %+v", s.settings)
	}
}
