package silverpath

import (
	"fmt"
	"testing"
	"time"
)

func TestSignalFollowsRejections(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.Signal = SignalLevel })
	s.arrivals, s.rejections = 10, 8
	s.updatePressure()
	if s.pressure <= 0 {
		t.Error("eight in ten rejected, and no level")
	}
	for range 100 {
		s.updatePressure()
	}
	if s.pressure != 0 {
		t.Error("the level stays up with nothing rejected")
	}
	for _, signal := range []Signal{SignalCredit, SignalWeight} {
		s, h := newTestShedder(t, func(set *Settings) { set.Signal = signal })
		for range 100 {
			s.arrivals, s.rejections = 10, 8
			s.updatePressure()
		}
		var first, last float64
		fmt.Sscanf(h.lines[1], "signal %g", &first)
		fmt.Sscanf(h.lines[len(h.lines)-1], "signal %g", &last)
		if last <= 0 || last > first/2 {
			t.Errorf("eight in ten rejected: from %v to %v", first, last)
		}
	}
}

// A table that a thousand callers fill, each with a request now and then, left most requests without a
// connection.
func TestIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		callers int
		want    time.Duration
	}{{1000, sampleInterval}, {10, 0}} {
		s, _ := newTestShedder(t, func(set *Settings) { set.Callers, set.KeepAlive = c.callers, 30*time.Second })
		for range 100 {
			s.arrivals = 1 // four a second
			s.updatePressure()
		}
		if s.idleTimeout != c.want {
			t.Errorf("%d callers: connections closed after %v, want %v", c.callers, s.idleTimeout, c.want)
		}
	}
}
