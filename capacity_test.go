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
		t.Errorf("%d in hand, %d running: %v", n, s.stateCount[running], h.lines)
	}
}

// Reading shares the cores with the runs: it fell behind while every core had a run. The limit of runs falls as reading takes
// cores from them.
func TestReadingLowersTheRunLimit(t *testing.T) {
	s, _ := newTestShedder(t)
	s.Arrive(0, testRequest("a", "pay"))
	s.Arrive(0, testRequest("b", "pay"))
	before := s.runLimit()
	for range 40 {
		s.Tick(s.now, Gauges{OnCores: 4})
	}
	if after := s.runLimit(); after > before*0.7 {
		t.Errorf("limit %v before, %v with as much reading as runs", before, after)
	}
}

// The runner may start long after the server, cold or warm: what the settings told at the start does not count.
func TestWarmupCountsFromTheRunnersStart(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.Cold, set.ColdSpeed, set.WarmupTime = true, 0.25, 16*time.Second })
	s.Tick(20*time.Second, Gauges{})
	warm := s.maxRuns()
	s.Started(20*time.Second, time.Second, true)
	if got, want := s.warmupSpeed(), 0.25+0.75/16; math.Abs(got-want) > 1e-9 || s.maxRuns() >= warm || !s.faultIsLocal() {
		t.Errorf("speed %v a second after a cold start, want %v; it survives %v runs, warm %v", got, want, s.maxRuns(), warm)
	}
	s.Started(21*time.Second, time.Hour, false)
	if s.warmupSpeed() != 1 || s.maxRuns() != warm {
		t.Errorf("speed %v after a warm start", s.warmupSpeed())
	}
}

// Crowded cores once looked like a slow server, and its callers were sent on to the next. The core clock goes slower the less of
// a core each run has, so that only a slow server has a high slowdown.
func TestCrowdedCoresAreNoLocalFault(t *testing.T) {
	for _, c := range []struct {
		onCores float64
		want    bool
	}{{6, false}, {1, true}} { // the run takes three times as long: with a third of a core, or with a whole one
		s, _ := newTestShedder(t, func(set *Settings) { set.Dependency = DependencyNone })
		now := time.Duration(0)
		work := func(n int, took time.Duration, onCores float64) {
			for range n {
				id := fmt.Sprint("a", now)
				s.Arrive(now, testRequest(id, "pay"))
				for end := now + took; now < end; now += tickInterval {
					s.Tick(now, Gauges{CPU: 1, OnCores: onCores})
				}
				s.RunEnded(now, id, OK, took)
			}
		}
		work(100, 100*time.Millisecond, 1)
		work(40, 300*time.Millisecond, c.onCores)
		if got := s.faultIsLocal(); got != c.want {
			t.Errorf("%v on the cores: slowdown %v, usually %v: local %v", c.onCores, s.slowdown(), s.baselineSlowdown, got)
		}
	}
}

// The slowdown of a busy minute must not be forgotten, nor turn to nothing, while the server idles: it fades by the use of the cores.
func TestIdlingKeepsTheSlowdown(t *testing.T) {
	s, _ := newTestShedder(t)
	s.completedCoreTime, s.completedWork = 6, 2
	for i := range 4000 {
		s.Tick(time.Duration(i)*tickInterval, Gauges{})
	}
	if s.completedWork < 2 || s.slowdown() < 2.99 || s.slowdown() > 3.01 {
		t.Errorf("slowdown %v from %v s of work after idling", s.slowdown(), s.completedWork)
	}
}
