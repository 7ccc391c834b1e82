package loadbalancer

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// The choice of a server depends on the observations so far and on the order of the draws from a seeded source. An additional draw, or a
// rule that is evaluated at a different point, changes the choices of routers without failing another test. The test compares the choices
// of a simulation of 12 servers, with failures, a slow server, restarts, Retry-After, budgets and hedges, with those recorded in testdata.
func TestChoicesStayWhatTheyWere(t *testing.T) {
	balancer := New(Config{Seed: 11, KeyWindow: 3 * time.Second, RetryRatio: 0.2})
	names, weights := []string{}, map[string]float64{}
	for i := range 12 {
		name := fmt.Sprint("s", i)
		names, weights[name] = append(names, name), 1+float64(i%3)
	}
	balancer.SetServers(0, weights)
	var got strings.Builder
	wall := int64(1700000000000)
	for _, n := range names {
		balancer.AwaitHealthCheck(n)
		balancer.Answered(time.Hour, n, Incarnation{Boot: wall, Joined: wall, Now: wall + 60000})
		balancer.WarmedUp(n)
	}
	exclude := ""
	for step := range 400 {
		now := time.Hour + time.Duration(step)*37*time.Millisecond
		tenant := fmt.Sprint("t", step%3)
		balancer.FirstAttempt(now)
		name, ok := balancer.Pick(now, tenant, names, exclude)
		exclude = ""
		if !ok || !balancer.Acquire(now, name) {
			fmt.Fprintf(&got, "%d nobody\n", step)
			continue
		}
		o, took := Served, time.Duration(20+step%7*3)*time.Millisecond
		switch {
		case name == "s3":
			o = Failed
		case name == "s5":
			took = 900 * time.Millisecond
		case name == "s7" && step%2 == 0:
			o = ConnectFailed
		case name == "s9" && step%5 == 0:
			o = Rejected
			balancer.Backpressure(now, tenant, name, 3, 300*time.Millisecond)
		case step%41 == 0:
			o = TimedOut
		case step%43 == 0:
			o = NotSent
		}
		if step%3 != 0 { // the other attempts never end
			balancer.Done(now+took, name, o, took, step%2 == 0)
		}
		retry := balancer.AllowRetry(o, step%2 == 0, step%97 == 0)
		if retry {
			exclude = name
		}
		hedgeDelay, known := balancer.HedgeDelay()
		hedge := known && step%9 == 0 && balancer.AllowHedge()
		switch step {
		case 100:
			balancer.Answered(now, "s1", Incarnation{Boot: wall + 900000, RanUntil: wall + 890000, Joined: wall, Now: wall + 901000}) // restarted
		case 150:
			balancer.SlowStartGranted(now, "s2", 2, time.Second)
		case 200:
			for range 4 {
				balancer.Unreachable(now, "s0")
			}
		case 300:
			balancer.Answered(now, "s0", Incarnation{Boot: wall, Joined: wall, Now: wall + 900000})
		}
		fmt.Fprintf(&got, "%d %s %v again %v hedge %v %v home %v\n", step, name, o, retry, hedgeDelay, hedge, balancer.CheckHome(now, tenant, "s1"))
	}
	for _, s := range balancer.States(2 * time.Hour) {
		fmt.Fprintf(&got, "%s %v %v %d %v %.6f %.6f %v %d\n", s.Name, s.Health, s.Circuit, s.InFlight, s.Latency, s.FailureRatio, s.WarmupRatio, s.LostKeys, s.Boot)
	}
	c := balancer.Counts()
	fmt.Fprintf(&got, "ejected %d panicked %d retried %d spent %d hedged %d spent %d cold back %d\n",
		c.Ejected, c.Panicked, c.Retried, c.RetriesDenied, c.Hedged, c.HedgesDenied, c.LostKeyRestarts)
	limiter := NewTenantLimiter()
	for step := range 600 {
		now := time.Duration(step) * 11 * time.Millisecond
		tenant := []string{"small", "flood", "flood", "flood", "mid"}[step%5]
		admitted := limiter.Admit(now, "a", tenant, map[string]float64{"small": 10, "flood": 5, "mid": 7}[tenant], 1)
		if step%4 == 3 {
			limiter.Done(now, "a", []string{"small", "flood", "mid"}[step%3], Outcome(step/4%3))
		}
		if step%10 == 0 || !admitted {
			limit, inFlight := limiter.Window("a")
			fmt.Fprintf(&got, "%d %s %v %.6f %d\n", step, tenant, admitted, limit, inFlight)
		}
	}
	fmt.Fprintf(&got, "not let in %d\n", limiter.Rejected())
	want, err := os.ReadFile("testdata/choices.txt")
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got.String(), "\n")
	for i := range wantLines {
		if i >= len(gotLines) || wantLines[i] != gotLines[i] {
			t.Fatalf("line %d: got %q, want %q", i+1, strings.Join(gotLines[min(i, len(gotLines)):min(i+1, len(gotLines))], ""), wantLines[i])
		}
	}
	if len(wantLines) != len(gotLines) {
		t.Errorf("%d lines, want %d", len(gotLines), len(wantLines))
	}
}
