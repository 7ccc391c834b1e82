package silverpath

import (
	"fmt"
	"testing"
	"time"
)

func TestOverQuotaRunsLast(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) { set.Cores = 1; set.Tenants = []Tenant{{Name: "t", Rate: 2}} })
	for i := range 4 { // two within the share, and the first of them starts at once
		r := testRequest(fmt.Sprint("t", i), "read")
		r.Tenant = "t"
		s.Arrive(0, r)
	}
	s.Arrive(0, testRequest("free", "read"))
	s.RunEnded(time.Millisecond, "t0", OK, 0)
	s.RunEnded(2*time.Millisecond, "t1", OK, 0)
	if !h.called("run free") || h.called("run t2") {
		t.Error(h.lines)
	}
}

// A class of which nothing was requested yet is not the worst served: its goal weight stays its own.
func TestIdleClassKeepsItsWeight(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.ClassMix = 0.2 })
	read, book := s.classByName["read"], s.classByName["book"]
	read.requestedWork, read.servedWork = 10, 5
	s.updateGoalWeights()
	if !(read.goalWeight > 0.8) || book.goalWeight != 0.8*book.Weight {
		t.Errorf("weights %v and %v", read.goalWeight, book.goalWeight)
	}
}

// A tenant that stays keeps what is left of its share; one of another rate starts with a full one.
func TestReconfigureKeepsQuotas(t *testing.T) {
	with := func(rates ...float64) func(*Settings) {
		return func(set *Settings) {
			for i, r := range rates {
				set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("t", i), Rate: r})
			}
		}
	}
	s, _ := newTestShedder(t, with(4, 4))
	for range 4 {
		s.tenantBuckets["t0"].Take(0)
		s.tenantBuckets["t1"].Take(0)
	}
	next := testSettings()
	with(4, 8, 2)(&next)
	if err := s.Reconfigure(0, next); err != nil {
		t.Fatal(err)
	}
	if s.tenantBuckets["t0"].Take(0) || !s.tenantBuckets["t1"].Take(0) || !s.tenantBuckets["t2"].Take(0) {
		t.Error("shares are not as they should be")
	}
}
