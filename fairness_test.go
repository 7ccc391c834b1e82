package silverpath

import (
	"fmt"
	"testing"
	"time"
)

func TestOverQuotaRunsLast(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) { set.Cores = 1; set.Tenants = []Tenant{{Name: "t", Rate: 2}} })
	for i := range 4 { // two are within the quota; the first of them starts at once
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

// A class without requested work must not count as the worst served; its goal weight must not be raised.
func TestIdleClassKeepsItsWeight(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.ClassMix = 0.2 })
	read, book := s.classByName["read"], s.classByName["book"]
	read.requestedWork, read.servedWork = 10, 5
	s.updateGoalWeights()
	if !(read.goalWeight > 0.8) || book.goalWeight != 0.8*book.Weight {
		t.Errorf("goal weights %v and %v, want a raised one and an unchanged one", read.goalWeight, book.goalWeight)
	}
}

// A tenant with an unchanged rate must keep its remaining quota; a tenant with another rate must start with
// a full quota.
func TestReconfigureKeepsQuotas(t *testing.T) {
	addTenants := func(rates ...float64) func(*Settings) {
		return func(set *Settings) {
			for i, r := range rates {
				set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("t", i), Rate: r})
			}
		}
	}
	s, _ := newTestShedder(t, addTenants(4, 4))
	for range 4 {
		s.tenantBuckets["t0"].Take(0)
		s.tenantBuckets["t1"].Take(0)
	}
	newSettings := testSettings()
	addTenants(4, 8, 2)(&newSettings)
	if err := s.Reconfigure(0, newSettings); err != nil {
		t.Fatal(err)
	}
	if s.tenantBuckets["t0"].Take(0) || !s.tenantBuckets["t1"].Take(0) || !s.tenantBuckets["t2"].Take(0) {
		t.Error("t0 got new tokens, or t1 or t2 did not start with a full bucket")
	}
}
