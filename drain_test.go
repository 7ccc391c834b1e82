package silverpath

import (
	"testing"
	"time"
)

func TestDrain(t *testing.T) {
	s, h := newTestShedder(t)
	s.Arrive(0, testRequest("before", "pay"))
	s.Drain(time.Second, 4*time.Second)
	s.Arrive(2100*time.Millisecond, testRequest("after", "pay"))
	if !h.called("refuse after") || h.called("run after") || !h.called("health false") {
		t.Error(h.lines)
	}
	s.Tick(3950*time.Millisecond, Gauges{})
	if !h.called("fail before") {
		t.Errorf("request not answered before the stop: %v", h.lines)
	}
}
