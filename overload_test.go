package silverpath

import (
	"testing"
	"time"

	"silverpath/internal/policy/window"
)

// setInFlight sets the number of a class's requests in flight to n and the average to avg.
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
			t.Errorf("CPU %v: overloaded is %v", c.cpu, got)
		}
	}
}

func TestOverloadNeedsCurrentAndAverageInFlight(t *testing.T) {
	for _, c := range []struct {
		inFlight int
		avg      float64
		want     bool
	}{{10, 10.5, false}, {11, 10, false}, {11, 10.5, true}} { // without completions the limit is 1 x 10 x 1 s
		s, _ := newTestShedder(t)
		s.cpu.Add(1, 0)
		if got := s.overloaded(setInFlight(s, "read", c.inFlight, c.avg)); got != c.want {
			t.Errorf("%v: overloaded is %v", c, got)
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
		t.Error("not overloaded within the cool-off time")
	}
	s.advanceClock(5*time.Second + coolOffTime)
	if s.overloaded(c) {
		t.Error("overloaded after the cool-off time, with low CPU")
	}
}

// fillWindow adds perBucket completions with the same response time to every bucket of the window but the
// current one.
func fillWindow(s *Shedder, c *class, perBucket int, seconds float64) {
	for range windowBuckets {
		for range perBucket {
			c.completions.Add(s.now, seconds)
		}
		s.advanceClock(s.now + windowLength/windowBuckets)
	}
}

func TestMaxInFlight(t *testing.T) {
	s, _ := newTestShedder(t)
	c := s.classByName["read"]
	fillWindow(s, c, 6, 0.1) // six completions of 100 ms in each bucket: the limit is 6 x 10 x 0.1, as in the source
	if got := s.maxInFlight(c); got < 5.99 || got > 6.01 {
		t.Errorf("maxInFlight is %v, want 6", got)
	}
	s.advanceClock(s.now + time.Hour) // after an idle pause the limit is 1 x 10 x maxMinResponseTime
	if got := s.maxInFlight(c); got != 10 {
		t.Errorf("maxInFlight is %v after an idle pause, want 10", got)
	}
}

// Guards against limits computed from single completions. At four completions per second a bucket holds one
// or none: one in 100 ms counted as ten per second, and one fast completion as the response time.
func TestMaxInFlightWithFewCompletions(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.Cores = 1 })
	c := s.classByName["read"]
	for i := range 24 {
		seconds := 1.0
		if i%6 == 0 {
			seconds = 0.01
		}
		c.completions.Add(s.now, seconds)
		s.advanceClock(s.now + 250*time.Millisecond)
	}
	if got := s.maxInFlight(c); got < 2 || got > 5 { // about 4 per second x 0.8 s
		t.Errorf("maxInFlight is %v at 4 completions per second of 0.8 s, want 2 to 5", got)
	}
}

func TestMaxInFlightBounds(t *testing.T) {
	s, _ := newTestShedder(t)
	c := s.classByName["read"]
	fillWindow(s, c, 10, 0.9)
	if got := s.maxInFlight(c); got != s.maxRuns() {
		t.Errorf("maxInFlight is %v, want maxRuns, %v", got, s.maxRuns())
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
		t.Errorf("completions of %v s and %d in flight after an expired request, want none", n, s.classByName["read"].inFlight)
	}
}

// A run that was never started must not count as a completion: its short time would be taken for the speed
// of the server.
func TestRunNeverStartedIsNoCompletion(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("a", "book"))
	s.RunEnded(time.Millisecond, "a", NotStarted, 0)
	n, c := 0, s.classByName["book"]
	c.completions.Each(s.now, func(b window.Bucket) { n += b.Count })
	if n != 0 || c.requestedWork != 0 || c.inFlight != 0 || s.remembered.contains("a") || !h.called("forget a") {
		t.Errorf("%d completions, requested work %v, %d in flight, want none: %v", n, c.requestedWork, c.inFlight, h.lines)
	}
}

// Guards against two faults of the number in flight: rejected arrivals moved the average, and an arrival
// counted itself.
func TestRejectedAreNotInFlight(t *testing.T) {
	s, _ := newTestShedder(t)
	c := setInFlight(s, "read", 11, 10.5)
	s.cpu.Add(1, 0)
	s.Arrive(0, testRequest("a", "read"))
	if c.inFlight != 11 || c.avgInFlight.Value() != 10.5 {
		t.Errorf("%d in flight, %v on average after a rejection, want 11 and 10.5", c.inFlight, c.avgInFlight.Value())
	}
	setInFlight(s, "read", 10, 10.5)
	s.Arrive(0, testRequest("b", "read"))
	if c.inFlight != 11 {
		t.Errorf("%d in flight, want the eleventh request admitted", c.inFlight)
	}
}
