package silverpath

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// script is a host that writes its actions down.
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

// After a long pause the samples missed are not made up for one by one.
func TestMissedSamplesAreSkipped(t *testing.T) {
	s, _ := newTestShedder(t)
	s.Tick(200*365*24*time.Hour, Gauges{CPU: 1})
	if s.cpu.Value() >= cpuThreshold {
		t.Errorf("CPU %v from one reading", s.cpu.Value())
	}
}

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

// What a server may not be told: no servers, no callers, no share of calls, no class that calls.
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
		t.Error("no call is in the share, and it was not left out:", h.lines)
	}
	for _, l := range h.lines {
		if strings.Contains(l, "NaN") || strings.Contains(l, "Inf") {
			t.Error(l)
		}
	}
}

// Retuning: classes come and go, requests in hand keep the class they came with, what was seen of the classes that stay
// is kept, and one that comes back under its name starts clean.
func TestReconfigure(t *testing.T) {
	roomy := func(set *Settings) { set.Cores = 16 }
	s, h := newTestShedder(t, roomy)
	s.Arrive(0, testRequest("a", "read"))
	s.Arrive(0, testRequest("b", "book"))
	s.Arrive(0, testRequest("c", "read"))
	seen := s.classByName["read"].classStats
	seen.meanWork, seen.requestedWork = 0.5, 7
	s.cpu.Add(0.7, 0)

	next := testSettings()
	roomy(&next)
	next.Classes = []Class{next.Classes[0], next.Classes[2], {Name: "new", Objective: time.Second, Deadline: 2 * time.Second, Weight: 1}}
	next.Classes[0].Objective, next.Classes[0].Weight = 500*time.Millisecond, 2
	if err := s.Reconfigure(time.Second, next); err != nil {
		t.Fatal(err)
	}
	if k := s.classByName["read"]; k.classStats != seen || k.Objective != 500*time.Millisecond || k.inFlight != 2 || s.cpu.Value() != 0.7 {
		t.Errorf("the class that stays: %+v, %+v, CPU %v, %v", k.Class, k.classStats, s.cpu.Value(), h.lines)
	}
	if k := s.requestByID["a"].class; k.Objective != time.Second || k.Weight != 1 {
		t.Errorf("a request in hand has class %+v", k.Class)
	}
	s.Arrive(time.Second, testRequest("d", "book"))
	if !h.called("refuse d") {
		t.Error("a dropped class is taken")
	}
	s.Arrive(time.Second, testRequest("e", "new"))
	s.Arrive(time.Second, testRequest("f", "read"))
	if h.called("refuse e") || s.requestByID["f"].objective != time.Second+500*time.Millisecond {
		t.Error("the new classes do not hold")
	}
	// The dropped class ends its runs, and its counts touch no other's.
	s.RunEnded(1100*time.Millisecond, "b", OK, time.Second)
	if s.requestByID["b"] != nil || len(s.classes) != 3 {
		t.Error("a run of a dropped class does not end")
	}
	s.RunEnded(1100*time.Millisecond, "a", OK, time.Second)
	if n := s.classByName["read"].inFlight; n != 2 {
		t.Errorf("%d of the class in flight, want c and f", n)
	}
	s.Arrive(1200*time.Millisecond, testRequest("g", "new"))
	if err := s.Reconfigure(1200*time.Millisecond, testSettings()); err != nil {
		t.Fatal(err)
	}
	if k := s.classByName["book"]; k.inFlight != 0 || k.meanWork != 0 || k.requestedWork != 0 {
		t.Errorf("a class that comes back: %+v", k.classStats)
	}
	s.RunEnded(1300*time.Millisecond, "g", OK, 0)
	if s.classByName["new"] != nil || s.requestByID["g"] != nil {
		t.Error("a class that went again")
	}
}

// Settings that no server can have change nothing.
func TestReconfigureRejectsImpossibleSettings(t *testing.T) {
	s, _ := newTestShedder(t)
	for _, spoil := range []func(*Settings){
		func(set *Settings) { set.Classes = nil },
		func(set *Settings) { set.Classes[1].Deadline = 0 },
		func(set *Settings) { set.Classes[1].Deadline = -time.Second },
		func(set *Settings) { set.Classes[2].Name = "read" },
		func(set *Settings) { set.Cores = 0 },
		func(set *Settings) { set.MemoryKB = math.NaN() },
	} {
		bad := testSettings()
		spoil(&bad)
		if err := s.Reconfigure(time.Second, bad); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("taken: %+v", bad)
		}
	}
	if len(s.classes) != 3 || s.settings.Cores != 2 || s.classByName["book"].Deadline != 5*time.Second {
		t.Errorf("%+v", s.settings)
	}
}
