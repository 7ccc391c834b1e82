package silverpath

import (
	"testing"
	"time"

	"silverpath/internal/policy/window"
)

// full puts n requests of a class in flight and sets their average to avg.
func setInFlight(s *Shedder, name string, n int, avg float64) *class {
	c := s.classByName[name]
	c.inFlight = n
	c.avgInFlight.Add(avg, 0)
	return c
}

func TestOverloadNeedsTheCPUGate(t *testing.T) {
	for _, c := range []struct {
		cpu  float64
		want bool
	}{{cpuThreshold - 0.001, false}, {cpuThreshold, true}} {
		s, _ := newTestShedder(t)
		s.cpu.Add(c.cpu, 0)
		if got := s.overloaded(setInFlight(s, "read", 11, 11)); got != c.want {
			t.Errorf("CPU %v: overloaded %v", c.cpu, got)
		}
	}
}

func TestOverloadNeedsCurrentAndAverageInFlight(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		avg      float64
		want     bool
	}{{10, 10.5, false}, {11, 10, false}, {11, 10.5, true}} { // no completions yet: 1 x 10 x 1 s
		s, _ := newTestShedder(t)
		s.cpu.Add(1, 0)
		if got := s.overloaded(setInFlight(s, "read", c.inFlight, c.avg)); got != c.want {
			t.Errorf("%v: overloaded %v", c, got)
		}
	}
}

func TestCoolOffAfterRejection(t *testing.T) {
	s, _ := newTestShedder(t)
	c := setInFlight(s, "read", 30, 30)
	s.advanceClock(5 * time.Second)
	s.lastRejection, s.everRejected = s.now, true
	s.advanceClock(5*time.Second + coolOffTime - 1)
	if !s.overloaded(c) {
		t.Error("not overloaded within the cool-off")
	}
	s.advanceClock(5*time.Second + coolOffTime)
	if s.overloaded(c) {
		t.Error("overloaded after the cool-off, with CPU low")
	}
}

// fill adds the same ends to every bucket of the window but the one being written.
func fillWindow(s *Shedder, c *class, each int, took float64) {
	for range windowBuckets {
		for range each {
			c.completions.Add(s.now, took)
		}
		s.advanceClock(s.now + windowLength/windowBuckets)
	}
}

func TestMaxInFlight(t *testing.T) {
	s, _ := newTestShedder(t)
	c := s.classByName["read"]
	fillWindow(s, c, 6, 0.1) // six completions of 100 ms in each bucket: 6 x 10 x 0.1, as in the source
	if got := s.maxInFlight(c); got < 5.99 || got > 6.01 {
		t.Errorf("limit %v, want 6", got)
	}
	s.advanceClock(s.now + time.Hour) // an idle pause: back to 1 pass x 10 x the longest time
	if got := s.maxInFlight(c); got != 10 {
		t.Errorf("limit %v after a pause, want 10", got)
	}
}

// At four completions a second a bucket holds one or none: one in 100 ms was read as ten a second, and one lucky completion
// as the response time.
func TestMaxInFlightWithFewCompletions(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.Cores = 1 })
	c := s.classByName["read"]
	for i := range 24 {
		took := 1.0
		if i%6 == 0 {
			took = 0.01
		}
		c.completions.Add(s.now, took)
		s.advanceClock(s.now + 250*time.Millisecond)
	}
	if got := s.maxInFlight(c); got < 2 || got > 5 { // about 4 a second x 0.8 s
		t.Errorf("limit %v at 4 a second of 0.8 s", got)
	}
}

func TestMaxInFlightBounds(t *testing.T) {
	s, _ := newTestShedder(t)
	c := s.classByName["read"]
	fillWindow(s, c, 10, 0.9)
	if got := s.maxInFlight(c); got != s.maxRuns() {
		t.Errorf("limit %v, want the runs that the server survives, %v", got, s.maxRuns())
	}
}

func TestExpiredRequestsAreNoCompletions(t *testing.T) {
	s, _ := newTestShedder(t)
	s.Arrive(0, testRequest("a", "read"))
	s.advanceClock(2999 * time.Millisecond)
	s.Tick(s.now, Gauges{})
	s.RunEnded(s.now, "a", Canceled, 0)
	s.advanceClock(s.now + time.Second)
	n := 0.0
	s.classByName["read"].completions.Each(s.now, func(b window.Bucket) { n += b.Sum })
	if n != 0 || s.classByName["read"].inFlight != 0 {
		t.Errorf("%v completed, %d in flight", n, s.classByName["read"].inFlight)
	}
}

// A run that was never started is no completion: its short time would be taken for what the server can do.
func TestRunNeverStartedIsNoCompletion(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "book"))
	s.RunEnded(time.Millisecond, "a", NotStarted, 0)
	n, c := 0, s.classByName["book"]
	c.completions.Each(s.now, func(b window.Bucket) { n += b.Count })
	if n != 0 || c.requestedWork != 0 || c.inFlight != 0 || s.remembered.contains("a") || !h.called("forget a") {
		t.Errorf("%d passes, work asked for %v, %d in flight: %v", n, c.requestedWork, c.inFlight, h.lines)
	}
}

// Rejected arrivals once moved the average in flight, and each arrival counted itself: neither may.
func TestRejectedAreNotInFlight(t *testing.T) {
	s, _ := newTestShedder(t)
	c := setInFlight(s, "read", 11, 10.5)
	s.cpu.Add(1, 0)
	s.Arrive(0, testRequest("a", "read"))
	if c.inFlight != 11 || c.avgInFlight.Value() != 10.5 {
		t.Errorf("%d in flight, %v on average after a rejection", c.inFlight, c.avgInFlight.Value())
	}
	setInFlight(s, "read", 10, 10.5)
	s.Arrive(0, testRequest("b", "read"))
	if c.inFlight != 11 {
		t.Errorf("the eleventh is not taken: %d in flight", c.inFlight)
	}
}
