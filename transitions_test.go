package silverpath

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// Slow calls must be logged once they have been slow for windowLength, and not at every variation.
func TestSlowCallsAreLogged(t *testing.T) {
	s, h := newTestShedder(t)
	s.baseCallTime = 1
	for i := range 400 {
		s.typicalCallTime = []float64{1, 3}[i%2]
		s.Tick(s.now+sampleInterval, Gauges{})
	}
	if h.called("log calls") {
		t.Errorf("short variations of the call time are logged: %v", h.lines)
	}
	s.typicalCallTime = 3
	s.Tick(s.now+sampleInterval, Gauges{})
	s.Tick(s.now+windowLength+sampleInterval, Gauges{})
	if !h.called("log calls slow: true, they take 3.00 s and took 1.00 s") {
		t.Errorf("slow calls are not logged: %v", h.lines)
	}
}

// An overload must be logged once when it begins and once when it ends, with the number of rejections by
// rule, and never for each request.
func TestOverloadIsLoggedOnce(t *testing.T) {
	s, h := newTestShedder(t)
	for i := range 400 {
		now := time.Duration(i) * tickInterval
		if i < 100 {
			r := testRequest(fmt.Sprint("r", i), "read")
			r.ReadDelay = 990 * time.Millisecond
			s.Arrive(now, r)
		}
		s.Tick(now, Gauges{CPU: 1, RunnableTasks: 2})
	}
	if h.count("log overload begins:") != 1 || h.count("log overload ends:") != 1 || h.count("log") != 2 {
		for _, l := range h.lines {
			if strings.HasPrefix(l, "log") {
				t.Error(l)
			}
		}
	}
}
