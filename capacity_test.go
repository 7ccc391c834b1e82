package silverpath

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestRunsStayWithinTheRunLimit(t *testing.T) {
	s, h := newTestShedder(t)
	for i := range 5 {
		s.Arrive(0, testRequest(fmt.Sprint("r", i), "read"))
	}
	if n := len(s.requests); n != 5 || s.stateCount[running] != 2 {
		t.Errorf("%d open requests, %d running, want 5 and 2: %v", n, s.stateCount[running], h.lines)
	}
}

// Reading requests shares the cores with the runs, and it fell behind while every core had a run. The run
// limit must fall as reading takes cores from the runs.
func TestReadingLowersTheRunLimit(t *testing.T) {
	s, _ := newTestShedder(t)
	s.Arrive(0, testRequest("a", "pay"))
	s.Arrive(0, testRequest("b", "pay"))
	before := s.runLimit()
	for range 40 {
		s.Tick(s.now, Gauges{RunnableTasks: 4})
	}
	if after := s.runLimit(); after > before*0.7 {
		t.Errorf("run limit %v without reading, %v with as much reading as runs", before, after)
	}
}

// The runner may start long after the server, cold or warm. Its own report must replace the Cold setting
// that New received.
func TestWarmupCountsFromTheRunnersStart(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.Cold, set.ColdSpeed, set.WarmupTime = true, 0.25, 16*time.Second })
	s.Tick(20*time.Second, Gauges{})
	warm := s.maxRuns()
	s.RunnerStarted(20*time.Second, time.Second, true)
	if got, want := s.warmupSpeed(), 0.25+0.75/16; math.Abs(got-want) > 1e-9 || s.maxRuns() >= warm || !s.faultIsLocal() {
		t.Errorf("speed %v one second after a cold start, want %v; maxRuns is %v, warm %v", got, want, s.maxRuns(), warm)
	}
	s.RunnerStarted(21*time.Second, time.Hour, false)
	if s.warmupSpeed() != 1 || s.maxRuns() != warm {
		t.Errorf("speed %v after a warm start, want 1", s.warmupSpeed())
	}
}

// Guards against taking contention for a slow server, which sent callers on to the next server. The core
// clock slows down with the share of a core that each run has, so only a slow server may show a high
// slowdown.
func TestCrowdedCoresAreNoLocalFault(t *testing.T) {
	for _, c := range []struct {
		onCores float64
		want    bool
	}{{6, false}, {1, true}} { // each run takes three times as long: on a third of a core, or on a whole core
		s, _ := newTestShedder(t, func(set *Settings) { set.Dependency = DependencyNone })
		now := time.Duration(0)
		runRequests := func(n int, duration time.Duration, onCores float64) {
			for range n {
				id := fmt.Sprint("a", now)
				s.Arrive(now, testRequest(id, "pay"))
				for end := now + duration; now < end; now += tickInterval {
					s.Tick(now, Gauges{CPU: 1, RunnableTasks: onCores})
				}
				s.RunEnded(now, id, OK, duration)
			}
		}
		runRequests(100, 100*time.Millisecond, 1)
		runRequests(40, 300*time.Millisecond, c.onCores)
		if got := s.faultIsLocal(); got != c.want {
			t.Errorf("%v runnable tasks: slowdown %v, baseline %v: faultIsLocal is %v", c.onCores, s.slowdown(), s.baselineSlowdown, got)
		}
	}
}

// Idle time must neither erase nor distort the slowdown of a busy period: the slowdown decays with the
// utilization of the cores.
func TestIdlingKeepsTheSlowdown(t *testing.T) {
	s, _ := newTestShedder(t)
	s.completedCoreTime, s.completedWork = 6, 2
	for i := range 4000 {
		s.Tick(time.Duration(i)*tickInterval, Gauges{})
	}
	if s.completedWork < 2 || s.slowdown() < 2.99 || s.slowdown() > 3.01 {
		t.Errorf("slowdown %v from %v s of work after an idle period, want 3 from at least 2 s", s.slowdown(), s.completedWork)
	}
}
