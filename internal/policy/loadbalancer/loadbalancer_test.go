package loadbalancer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes the property tests deterministic.
func init() {
	for name, value := range map[string]string{"rapid.seed": "7", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func newBalancer(n int, c Config) (*Balancer, []string) {
	c.KeyWindow = 13 * time.Second
	balancer := New(c)
	weights, names := map[string]float64{}, []string{}
	for i := range n {
		names = append(names, fmt.Sprint("s", i))
		weights[names[i]] = 1
	}
	balancer.SetServers(time.Hour, weights)
	for _, s := range names {
		balancer.Answered(time.Hour, s, Incarnation{})
		balancer.servers[s].upSince = 0
	}
	return balancer, names
}

// simulate sends n attempts at the given interval. Server returns the outcome and the duration of an attempt at a server. It returns the
// number of attempts by server, and under the empty name the number of requests for which Pick found none.
func simulate(balancer *Balancer, names []string, now time.Duration, n int, interval time.Duration, server func(name string) (Outcome, time.Duration)) map[string]int {
	attempts := map[string]int{}
	type attempt struct {
		name    string
		end     time.Duration
		outcome Outcome
		took    time.Duration
	}
	var inFlight []attempt
	for range n {
		now += interval
		unfinished := inFlight[:0]
		for _, a := range inFlight {
			if a.end <= now {
				balancer.Done(now, a.name, a.outcome, a.took, true)
			} else {
				unfinished = append(unfinished, a)
			}
		}
		inFlight = unfinished
		balancer.FirstAttempt(now)
		name, ok := balancer.Pick(now, "", names, "")
		if !ok {
			attempts[""]++
			continue
		}
		attempts[name]++
		balancer.started(name)
		o, took := server(name)
		inFlight = append(inFlight, attempt{name, now + took, o, took})
	}
	return attempts
}

// A server that fails at once has the lowest latency and no requests in flight, so it could attract all requests. It must be ejected,
// probed with one attempt at a time, and used again after it has recovered.
func TestFastFailuresAttractNothing(t *testing.T) {
	balancer, names := newBalancer(4, Config{})
	now := time.Hour
	got := simulate(balancer, names, now, 2000, 5*time.Millisecond, func(name string) (Outcome, time.Duration) {
		if name == "s0" {
			return Failed, time.Millisecond
		}
		return Served, 80 * time.Millisecond
	})
	if got["s0"] > 60 || balancer.Counts().Ejected < 1 {
		t.Fatalf("attempts by server: %v, want at most 60 at s0; counts %+v, want an ejection", got, balancer.Counts())
	}
	now += 2 * time.Minute
	got = simulate(balancer, names, now, 4000, 5*time.Millisecond, func(string) (Outcome, time.Duration) { return Served, 80 * time.Millisecond })
	if got["s0"] < 600 {
		t.Errorf("attempts by server after the recovery: %v, want at least 600 at s0", got)
	}
}

// A server that is ten times slower than the others of its cell gets few attempts. A cell whose servers are all slow is used normally.
func TestSlowOutliers(t *testing.T) {
	balancer, names := newBalancer(4, Config{})
	latencyOf := func(slow ...string) func(string) (Outcome, time.Duration) {
		return func(name string) (Outcome, time.Duration) {
			for _, s := range slow {
				if s == name {
					return Served, 800 * time.Millisecond
				}
			}
			return Served, 80 * time.Millisecond
		}
	}
	if got := simulate(balancer, names, time.Hour, 2000, 10*time.Millisecond, latencyOf("s0")); got["s0"] > 100 {
		t.Errorf("attempts by server: %v, want at most 100 at s0", got)
	}
	if got := simulate(balancer, names, 2*time.Hour, 2000, 10*time.Millisecond, latencyOf(names...)); got[""] > 0 || got["s1"] < 300 {
		t.Errorf("attempts by server of a slow cell: %v, want at least 300 at s1 and none without a server", got)
	}
}

// If more than half of a cell's servers are ejected, the fault is probably the router's: all servers must be tried. Otherwise at most
// MaxEjectedRatio of them are skipped as outliers.
func TestPanicThreshold(t *testing.T) {
	balancer, names := newBalancer(4, Config{})
	got := simulate(balancer, names, time.Hour, 400, 10*time.Millisecond, func(string) (Outcome, time.Duration) { return Failed, time.Millisecond })
	if got[""] > 0 || balancer.Counts().Panicked == 0 {
		t.Errorf("attempts by server: %v, want none without a server; counts %+v, want choices that ignore health", got, balancer.Counts())
	}
	for _, n := range names {
		if got[n] < 50 {
			t.Errorf("attempts by server: %v, want at least 50 at each", got)
		}
	}
	balancer, names = newBalancer(5, Config{})
	for _, n := range names[:2] {
		balancer.Unreachable(time.Hour, n)
	}
	if kept := balancer.withoutOutliers(balancer.sample(names), balancer.sample(names)); len(kept) != 3 {
		t.Errorf("%d of five servers with two suspects remain, want 3", len(kept))
	}
}

// A server becomes suspect before it is dead. After a restart it has a slow start and has lost its keys. A flapping server becomes alive
// only after the hold-down.
func TestFailureDetection(t *testing.T) {
	balancer, _ := newBalancer(3, Config{})
	now := time.Hour
	health := func() Health { return balancer.servers["s0"].health }
	balancer.Unreachable(now, "s0")
	if health() != Suspect {
		t.Fatalf("health %v after one failure, want suspect", health())
	}
	balancer.Unreachable(now, "s0")
	balancer.Unreachable(now, "s0")
	if health() != Dead || balancer.CheckHome(now, "", "s0") != HomeLost {
		t.Fatalf("health %v after three failures, want dead and a lost home", health())
	}
	now += time.Second
	balancer.Answered(now, "s0", Incarnation{}) // without a boot time: the process may be a different one
	if health() != Alive || balancer.CheckHome(now, "", "s0") != HomeLost || balancer.warmupRatio(now, balancer.servers["s0"]) > 0.2 {
		t.Fatalf("health %v, home %v after a restart; want alive, a lost home and a slow start", health(), balancer.CheckHome(now, "", "s0"))
	}
	if balancer.CheckHome(now+14*time.Second, "", "s0") != HomeReady {
		t.Error("the home is not ready after the key window has ended")
	}
	for range 6 {
		now += time.Second
		for range 3 {
			balancer.Unreachable(now, "s0")
		}
		balancer.Answered(now, "s0", Incarnation{})
	}
	if health() == Alive {
		t.Error("a flapping server is alive")
	}
	if balancer.Answered(now+holdDown+time.Second, "s0", Incarnation{}); health() != Alive {
		t.Error("a flapping server is not alive after the hold-down")
	}
}

// A home that restarted within the key window must not get requests with a key, as it may have lost them. The boot time distinguishes a
// restart from a broken connection. A router that started after the restart detects it too, unless the server was added to the map after
// its boot and had no earlier process.
func TestRestartsAreNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		boots    []int64
		ranUntil int64
		joined   int64
		want     HomeState
	}{
		"same process":                     {[]int64{1000, 1000}, 0, 5000, HomeReady},
		"restart":                          {[]int64{1000, 99000}, 0, 500, HomeLost},
		"restart before the key window":    {[]int64{1000, 50000}, 0, 500, HomeReady},
		"new router":                       {[]int64{95000}, 0, 500, HomeLost},
		"added to the map after its boot":  {[]int64{95000}, 0, 96000, HomeReady},
		"downtime longer than the window":  {[]int64{1000, 99000}, 86000, 500, HomeReady},
		"downtime shorter than the window": {[]int64{1000, 99000}, 90000, 500, HomeLost},
		"new router, long downtime":        {[]int64{95000}, 80000, 500, HomeReady},
		"RanUntil later than the boot":     {[]int64{1000, 50000}, 99000, 500, HomeReady},
		"new router, no answer yet":        {nil, 0, 500, HomeLost},
	} {
		balancer := New(Config{KeyWindow: 13 * time.Second})
		balancer.SetServers(time.Hour, map[string]float64{"s": 1})
		for _, boot := range c.boots {
			balancer.Answered(time.Hour, "s", Incarnation{Boot: boot, RanUntil: c.ranUntil, Joined: c.joined, Now: 100000})
		}
		if got := balancer.CheckHome(time.Hour, "", "s"); got == HomeReady && len(c.boots) > 1 && c.boots[0] != c.boots[1] {
			t.Errorf("%s: the home is ready before the restarted server granted anything", name)
		}
		balancer.WarmedUp("s")
		if got := balancer.CheckHome(time.Hour, "", "s"); got != c.want {
			t.Errorf("%s: home state %v, want %v", name, got, c.want)
		}
	}
}

// A warming server gets at most as many requests in flight as it granted: first attempts, retries, hedged requests and requests with a
// key, even when health is ignored because too many servers are lost. The grant ends with its term.
func TestSlowStartIsABound(t *testing.T) {
	balancer, now := New(Config{SlowStart: 1}), time.Hour // without this router's own ramp
	balancer.SetServers(now, map[string]float64{"s": 1, "gone": 1, "too": 1})
	balancer.Answered(now-time.Second, "s", Incarnation{Boot: 1000, Now: 100000})
	balancer.Answered(now-time.Second, "s", Incarnation{Boot: 90000, Joined: 95000, Now: 100000})
	for range deadAfter {
		balancer.Unreachable(now, "gone")
		balancer.Unreachable(now, "too")
		balancer.started("gone") // makes the warming server the cheaper choice
		balancer.started("too")
	}
	isOffered := func(at time.Duration) (pick, home bool) {
		for range 100 { // Pick draws the other servers too
			name, _ := balancer.Pick(at, "", []string{"s", "gone", "too"}, "")
			pick = pick || name == "s"
		}
		return pick, balancer.CheckHome(at, "", "s") != HomeBusy
	}
	check := func(what string, at time.Duration, want bool) {
		t.Helper()
		if pick, home := isOffered(at); pick != want || home != want {
			t.Errorf("%s: picked %v, home not busy %v; want %v", what, pick, home, want)
		}
	}
	check("before a grant", now, false)
	balancer.SlowStartGranted(now, "s", 2, 3*time.Second)
	check("with a grant of two", now, true)
	balancer.started("s")
	check("with one in flight", now, true)
	balancer.started("s")
	check("with two in flight", now, false)
	balancer.Done(now, "s", Served, time.Millisecond, true)
	check("after one has ended", now, true)
	if !balancer.Acquire(now, "s") || balancer.Acquire(now, "s") { // two attempts compete for the capacity of one
		t.Error("want exactly the first of two attempts to be acquired")
	}
	check("after one more was acquired", now, false)
	check("after the term", now+3*time.Second, false)
	balancer.WarmedUp("s")
	check("warm", now+time.Hour, true)
}

// Retries and hedged requests are limited to a ratio of first attempts, even if all attempts fail. A write is retried only if the previous
// attempt provably did not run.
func TestRetryBudgets(t *testing.T) {
	balancer, _ := newBalancer(3, Config{RetryRatio: 0.1, HedgeRatio: 0.05})
	retried, hedged := 0, 0
	for i := range 10000 {
		balancer.FirstAttempt(time.Hour + time.Duration(i)*time.Millisecond)
		if balancer.AllowRetry(Rejected, true, false) {
			retried++
		}
		if balancer.AllowHedge() {
			hedged++
		}
	}
	if retried > 1100 || retried < 900 || hedged > 550 || hedged < 450 {
		t.Errorf("%d retries and %d hedges for 10000 first attempts, want about 1000 and 500", retried, hedged)
	}
	balancer, _ = newBalancer(3, Config{RetryRatio: 1})
	for o, want := range map[Outcome][2]bool{ // of a write, of a read
		Served: {false, false}, Rejected: {true, true}, ConnectFailed: {true, true}, NotSent: {true, true},
		Failed: {false, true}, ConnectionLost: {false, true}, TimedOut: {false, false},
	} {
		for range 5 {
			balancer.FirstAttempt(time.Hour)
		}
		if got := [2]bool{balancer.AllowRetry(o, false, false), balancer.AllowRetry(o, true, false)}; got != want {
			t.Errorf("outcome %d: retry of a write and of a read: %v, want %v", o, got, want)
		}
	}
	if balancer.AllowRetry(Rejected, true, true) {
		t.Error("a retry was allowed although the server ruled out another attempt")
	}
}

// A server gets at most as many requests in flight as its credit, and no request of a tenant before that tenant's Retry-After has passed.
func TestBackpressure(t *testing.T) {
	balancer, _ := newBalancer(1, Config{})
	now := time.Hour
	balancer.Backpressure(now, "", "s0", 2, 0)
	for range 2 {
		if _, ok := balancer.Pick(now, "", []string{"s0"}, ""); !ok {
			t.Fatal("no server for an attempt within the credit")
		}
		balancer.started("s0")
	}
	if n, ok := balancer.Pick(now, "", []string{"s0"}, ""); ok {
		t.Errorf("picked %s with two requests in flight and a credit of two", n)
	}
	balancer.Done(now, "s0", Served, time.Millisecond, true)
	balancer.Backpressure(now, "", "s0", 0, time.Second)
	if _, ok := balancer.Pick(now, "", []string{"s0"}, ""); ok || balancer.CheckHome(now, "", "s0") != HomeBusy {
		t.Error("a request was allowed before the Retry-After passed")
	}
	if n, ok := balancer.Pick(now, "other", []string{"s0"}, ""); !ok || balancer.CheckHome(now, "other", "s0") != HomeReady {
		t.Errorf("the Retry-After of one tenant applies to another: picked %q", n)
	}
	for i := range 2 * maxRetryAfterTenants {
		balancer.Backpressure(now, fmt.Sprint("t", i), "s0", 0, time.Second)
	}
	if n := len(balancer.servers["s0"].retryAfter); n > maxRetryAfterTenants {
		t.Errorf("Retry-After is stored for %d tenants, above the bound", n)
	}
	balancer.Backpressure(now, "", "s0", 0, time.Second)
	if _, ok := balancer.Pick(now+time.Second, "", []string{"s0"}, ""); !ok {
		t.Error("no request was allowed after the Retry-After passed")
	}
}

// The hedge delay is a high quantile of the latencies: nearly all requests are answered before they would be hedged.
func TestHedgeDelay(t *testing.T) {
	balancer, _ := newBalancer(1, Config{})
	if _, known := balancer.HedgeDelay(); known {
		t.Error("a hedge delay is known before any answer")
	}
	for i := range 200 {
		balancer.started("s0")
		balancer.Done(time.Hour, "s0", Served, time.Duration(i+1)*time.Millisecond, true)
	}
	if delay, known := balancer.HedgeDelay(); !known || delay < 180*time.Millisecond || delay > 195*time.Millisecond {
		t.Errorf("hedge delay %v, known %v; want 180 to 195 ms", delay, known)
	}
}

// Over random events, the requests in flight are counted correctly, Pick returns a listed server that is not excluded, and retries stay
// within their budget.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer, names := newBalancer(rapid.IntRange(1, 6).Draw(t, "servers"), Config{RetryRatio: 0.1})
		now := time.Hour
		inFlight := map[string]int{}
		first, retried := 0, 0
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			name := rapid.SampledFrom(names).Draw(t, "server")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				first++
				balancer.FirstAttempt(now)
				if got, ok := balancer.Pick(now, "", names, name); ok {
					if got == name || balancer.servers[got] == nil {
						t.Fatalf("picked %q with %q excluded", got, name)
					}
					balancer.started(got)
					inFlight[got]++
				}
			case 2:
				if inFlight[name] > 0 {
					inFlight[name]--
					o := Outcome(rapid.IntRange(0, int(NotSent)).Draw(t, "outcome"))
					balancer.Done(now, name, o, time.Duration(rapid.IntRange(1, 3000).Draw(t, "took"))*time.Millisecond, true)
					if balancer.AllowRetry(o, true, false) {
						retried++
					}
				}
			case 3:
				balancer.Unreachable(now, name)
			case 4:
				balancer.Answered(now, name, Incarnation{})
			case 5:
				balancer.Backpressure(now, "", name, float64(rapid.IntRange(0, 5).Draw(t, "credit")), time.Duration(rapid.IntRange(0, 2).Draw(t, "away"))*time.Second)
			}
			for _, n := range names {
				if balancer.servers[n].inFlight != inFlight[n] {
					t.Fatalf("%d attempts in flight at %s, want %d", balancer.servers[n].inFlight, n, inFlight[n])
				}
			}
			if float64(retried) > budgetMinTokens+0.1*float64(first)+1e-6 {
				t.Fatalf("%d retries of %d first attempts exceed the budget", retried, first)
			}
		}
	})
}

// Measures the cost of a choice by the number of servers.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 120, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer, names := newBalancer(n, Config{})
			rng := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				s, _ := balancer.Pick(time.Hour, "", names, "")
				balancer.started(s)
				balancer.Done(time.Hour, s, Served, time.Duration(50+rng.IntN(50))*time.Millisecond, true)
			}
		})
	}
}

// Guards against a second run at a server that restarted without its keys while the key window grows: its requests fail for the longer
// window. A window that was over while it was the current one does not come back; a router that has just started and still has an outdated
// map does not know that it was.
func TestLostKeysFollowALongerWindow(t *testing.T) {
	const window, longer, restarted = 10 * time.Second, 30 * time.Second, time.Hour
	for name, c := range map[string]struct {
		confirmedAt, checkedAt time.Duration // after the restart
		lost                   bool
	}{
		"in the window":               {5 * time.Second, 29 * time.Second, true},
		"after the longer window":     {5 * time.Second, 30 * time.Second, false},
		"the shorter window was over": {10 * time.Second, 15 * time.Second, false},
		"the map was outdated":        {-time.Minute, 15 * time.Second, true},
	} {
		for _, known := range []bool{true, false} { // the router saw the earlier process
			balancer := New(Config{KeyWindow: window})
			balancer.SetServers(restarted, map[string]float64{"s": 1})
			if known {
				balancer.Answered(restarted, "s", Incarnation{Boot: 1, Joined: 1, Now: 100000})
				balancer.Answered(restarted, "s", Incarnation{Boot: 100000, Joined: 1, Now: 100000})
			}
			balancer.Answered(restarted+12*time.Second, "s", Incarnation{Boot: 100000, Joined: 1, Now: 112000})
			balancer.ExtendKeyWindow(restarted+c.confirmedAt, longer)
			if got := balancer.CheckHome(restarted+c.checkedAt, "", "s"); (got == HomeLost) != c.lost {
				t.Errorf("%s, earlier process seen: %v: home state %v, want HomeLost: %v", name, known, got, c.lost)
			}
		}
	}
}
