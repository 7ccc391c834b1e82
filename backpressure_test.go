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
		t.Error("the pressure is 0 with 80% of the arrivals rejected")
	}
	for range 100 {
		s.updatePressure()
	}
	if s.pressure != 0 {
		t.Error("the pressure stays above 0 without rejections")
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
			t.Errorf("80%% of the arrivals rejected: signal went from %v to %v, want less than half", first, last)
		}
	}
}

// Guards against a full connection table: a thousand callers with little traffic each left most requests
// without a connection, so idle connections must be closed early when there are many callers.
func TestIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		callers int
		want    time.Duration
	}{{1000, sampleInterval}, {10, 0}} {
		s, _ := newTestShedder(t, func(set *Settings) { set.Callers, set.KeepAlive = c.callers, 30*time.Second })
		for range 100 {
			s.arrivals = 1 // four per second
			s.updatePressure()
		}
		if s.idleTimeout != c.want {
			t.Errorf("%d callers: idle timeout %v, want %v", c.callers, s.idleTimeout, c.want)
		}
	}
}
