package controller

import (
	"testing"
	"time"
)

// A router whose link is cut says that all servers are dead. A server is dead where a majority of the routers report, and all that
// report have said so for long enough; one that some reach is not, and silence of the routers says nothing.
func TestServerIsDeadOnlyIfRoutersAgree(t *testing.T) {
	w := &Monitor{Routers: []string{"r1", "r2", "r3"}, DeadAfter: 4 * time.Second, MaxReportAge: 3 * time.Second}
	at := time.Duration(0)
	say := func(who string, dead ...string) {
		r := HealthReport{Router: who, RequestedAt: at, Dead: map[string]bool{}}
		for _, d := range dead {
			r.Dead[d] = true
		}
		w.AddReport(r)
	}
	want := func(v Verdict) {
		t.Helper()
		if got := w.Verdicts([]string{"s"}, at)["s"]; got != v {
			t.Errorf("at %v: %s, want %s", at, got, v)
		}
	}
	want(Unknown)
	say("r1", "s")
	want(Unknown) // one router alone may be the one that is cut off
	say("r2")
	want(PartlyReachable)
	for range 5 {
		at += time.Second
		say("r1", "s")
		say("r2", "s")
		if at < 5*time.Second {
			want(Suspected)
		}
	}
	want(Dead)
	if id, g, ok := GoneRequest("s", 3, Dead, w.DeadAfter); !ok || id != "gone-s-3" || g.Server != "s" {
		t.Error(id, g, ok)
	}
	say("r3")
	want(PartlyReachable)
	say("r3", "s")
	want(Suspected) // from the beginning
	at += 4 * time.Second
	want(Unknown)
}
