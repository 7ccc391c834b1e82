package controller

import (
	"testing"
	"time"
)

// A router with a failed link reports all servers as dead, and removing them would take down the fleet. A server is dead only if a
// majority of the routers report and all of their reports have said dead for DeadAfter. Without enough reports the verdict is Unknown.
func TestServerIsDeadOnlyIfRoutersAgree(t *testing.T) {
	m := &Monitor{Routers: []string{"r1", "r2", "r3"}, DeadAfter: 4 * time.Second, MaxReportAge: 3 * time.Second}
	now := time.Duration(0)
	report := func(router string, dead ...string) {
		r := HealthReport{Router: router, RequestedAt: now, Dead: map[string]bool{}}
		for _, d := range dead {
			r.Dead[d] = true
		}
		m.AddReport(r)
	}
	expect := func(v Verdict) {
		t.Helper()
		if got := m.Verdicts([]string{"s"}, now)["s"]; got != v {
			t.Errorf("at %v: %s, want %s", now, got, v)
		}
	}
	expect(Unknown)
	report("r1", "s")
	expect(Unknown) // the only reporting router may have lost its own link
	report("r2")
	expect(PartlyReachable)
	for range 5 {
		now += time.Second
		report("r1", "s")
		report("r2", "s")
		if now < 5*time.Second {
			expect(Suspected)
		}
	}
	expect(Dead)
	if id, removal, ok := RemovalRequest("s", 3, Dead, m.DeadAfter); !ok || id != "gone-s-3" || removal.Server != "s" {
		t.Error(id, removal, ok)
	}
	report("r3")
	expect(PartlyReachable)
	report("r3", "s")
	expect(Suspected) // DeadAfter starts again
	now += 4 * time.Second
	expect(Unknown)
}
