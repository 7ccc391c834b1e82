package silverpath

import (
	"fmt"
	"testing"
)

// The memory of all requests must stay below MemoryKB, whatever the number of arrivals.
func TestMemoryLimit(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) { set.MemoryKB = 100 })
	for i := range 20 {
		s.Arrive(0, testRequest(fmt.Sprint("r", i), "pay"))
	}
	if s.memoryKB > 100 || h.count("run") != 2 {
		t.Errorf("%v kB in use, want at most 100, with 2 runs: %v", s.memoryKB, h.lines)
	}
}

func TestStartedRunsStayUnderMaxRuns(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.MaxRunsPerCore, set.CallQuota = 2, 0.1 })
	for i := range 12 {
		id := fmt.Sprint("r", i)
		s.Arrive(0, testRequest(id, "pay"))
		s.NeedsCall(0, id)
	}
	if n := s.startedRuns(); float64(n) > s.maxRuns() {
		t.Errorf("%d started runs, want at most %v", n, s.maxRuns())
	}
}
