package loadbalancer

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Property tests take the same course every time.
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

// play sends tries, of which each server takes and gives what it is said to, and returns how many went to each.
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

// A server that fails at once is the quickest and has nothing in flight: it must not attract what there is. It is
// ejected, tried again one at a time, and taken back when it is well.
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
		t.Fatalf("%v went to each, %+v", got, balancer.Counts())
	}
	now += 2 * time.Minute
	got = simulate(balancer, names, now, 4000, 5*time.Millisecond, func(string) (Outcome, time.Duration) { return Served, 80 * time.Millisecond })
	if got["s0"] < 600 {
		t.Errorf("%v went to each once it was well", got)
	}
}

// A server ten times slower than the others of its cell gets next to nothing; a cell that is slow as a whole is used.
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
		t.Errorf("%v went to each", got)
	}
	if got := simulate(balancer, names, 2*time.Hour, 2000, 10*time.Millisecond, latencyOf(names...)); got[""] > 0 || got["s1"] < 300 {
		t.Errorf("%v went to each of a slow cell", got)
	}
}

// When more than half of a cell is out, health says more of the router than of the servers: all are tried, and no more
// than the cap is out otherwise.
func TestPanicThreshold(t *testing.T) {
	balancer, names := newBalancer(4, Config{})
	got := simulate(balancer, names, time.Hour, 400, 10*time.Millisecond, func(string) (Outcome, time.Duration) { return Failed, time.Millisecond })
	if got[""] > 0 || balancer.Counts().Panicked == 0 {
		t.Errorf("%v, %+v", got, balancer.Counts())
	}
	for _, n := range names {
		if got[n] < 50 {
			t.Errorf("%v went to each", got)
		}
	}
	balancer, names = newBalancer(5, Config{})
	for _, n := range names[:2] {
		balancer.Unreachable(time.Hour, n)
	}
	if kept := balancer.withoutOutliers(balancer.sample(names), balancer.sample(names)); len(kept) != 3 {
		t.Errorf("%d are left of five with two suspects", len(kept))
	}
}

// Suspicion comes before death, one that restarted is eased in and has forgotten its keyed requests, and one that flaps must be
// well for a while.
func TestFailureDetection(t *testing.T) {
	balancer, _ := newBalancer(3, Config{})
	now := time.Hour
	health := func() Health { return balancer.servers["s0"].health }
	balancer.Unreachable(now, "s0")
	if health() != Suspect {
		t.Fatalf("after one failure %v", health())
	}
	balancer.Unreachable(now, "s0")
	balancer.Unreachable(now, "s0")
	if health() != Dead || balancer.CheckHome(now, "", "s0") != HomeLost {
		t.Fatalf("after three %v", health())
	}
	now += time.Second
	balancer.Answered(now, "s0", Incarnation{}) // it says nothing of its start: it may be another one
	if health() != Alive || balancer.CheckHome(now, "", "s0") != HomeLost || balancer.warmupRatio(now, balancer.servers["s0"]) > 0.2 {
		t.Fatalf("%v, home %v", health(), balancer.CheckHome(now, "", "s0"))
	}
	if balancer.CheckHome(now+14*time.Second, "", "s0") != HomeReady {
		t.Error("no sheet of before can come again, and it still gets none")
	}
	for range 6 {
		now += time.Second
		for range 3 {
			balancer.Unreachable(now, "s0")
		}
		balancer.Answered(now, "s0", Incarnation{})
	}
	if health() == Alive {
		t.Error("one that comes and goes counts as alive")
	}
	if balancer.Answered(now+holdDown+time.Second, "s0", Incarnation{}); health() != Alive {
		t.Error("it never does again")
	}
}

// What a server says of its start tells a restart from a broken link, and a router that starts itself learns of what it
// missed; one that entered the map after it had started has nothing to forget.
func TestRestartsAreNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		boots    []int64
		ranUntil int64
		joined   int64
		want     HomeState
	}{
		"the same start":                        {[]int64{1000, 1000}, 0, 5000, HomeReady},
		"started anew":                          {[]int64{1000, 99000}, 0, 500, HomeLost},
		"long ago":                              {[]int64{1000, 50000}, 0, 500, HomeReady},
		"a router that comes":                   {[]int64{95000}, 0, 500, HomeLost},
		"new in the map":                        {[]int64{95000}, 0, 96000, HomeReady},
		"dark for longer than the window":       {[]int64{1000, 99000}, 86000, 500, HomeReady},
		"dark for less":                         {[]int64{1000, 99000}, 90000, 500, HomeLost},
		"a router that comes, to one long dark": {[]int64{95000}, 80000, 500, HomeReady},
		"what ran after the start is no news":   {[]int64{1000, 50000}, 99000, 500, HomeReady},
		"a router that comes, before a word":    {nil, 0, 500, HomeLost},
	} {
		balancer := New(Config{KeyWindow: 13 * time.Second})
		balancer.SetServers(time.Hour, map[string]float64{"s": 1})
		for _, boot := range c.boots {
			balancer.Answered(time.Hour, "s", Incarnation{Boot: boot, RanUntil: c.ranUntil, Joined: c.joined, Now: 100000})
		}
		if got := balancer.CheckHome(time.Hour, "", "s"); got == HomeReady && len(c.boots) > 1 && c.boots[0] != c.boots[1] {
			t.Errorf("%s: a sheet goes to a start that was only heard of", name)
		}
		balancer.WarmedUp("s") // it says so
		if got := balancer.CheckHome(time.Hour, "", "s"); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// A server that is warming up gets no more than it granted: first attempts, retries and hedged requests alike, keyed requests too, also
// where so many servers are out that health is not looked at. Without news the part ends.
func TestSlowStartIsABound(t *testing.T) {
	balancer, now := New(Config{SlowStart: 1}), time.Hour // without the weight that eases a server in
	balancer.SetServers(now, map[string]float64{"s": 1, "gone": 1, "too": 1})
	balancer.Answered(now-time.Second, "s", Incarnation{Boot: 1000, Now: 100000})
	balancer.Answered(now-time.Second, "s", Incarnation{Boot: 90000, Joined: 95000, Now: 100000})
	for range deadAfter {
		balancer.Unreachable(now, "gone")
		balancer.Unreachable(now, "too")
		balancer.started("gone") // so that the one that is there is the better one
		balancer.started("too")
	}
	isOffered := func(at time.Duration) (pick, home bool) {
		for range 100 { // the others are drawn too
			name, _ := balancer.Pick(at, "", []string{"s", "gone", "too"}, "")
			pick = pick || name == "s"
		}
		return pick, balancer.CheckHome(at, "", "s") != HomeBusy
	}
	check := func(what string, at time.Duration, want bool) {
		t.Helper()
		if pick, home := isOffered(at); pick != want || home != want {
			t.Errorf("%s: reads %v, sheets %v; want %v", what, pick, home, want)
		}
	}
	check("only heard of", now, false)
	balancer.SlowStartGranted(now, "s", 2, 3*time.Second)
	check("with room", now, true)
	balancer.started("s")
	check("with room for one", now, true)
	balancer.started("s")
	check("full", now, false)
	balancer.Done(now, "s", Served, time.Millisecond, true)
	check("with one back", now, true)
	if !balancer.Acquire(now, "s") || balancer.Acquire(now, "s") { // two were told that there is room for one
		t.Error("not one of two goes out")
	}
	check("full again", now, false)
	check("without news for a term", now+3*time.Second, false)
	balancer.WarmedUp("s")
	check("warm", now+time.Hour, true)
}

// Retries are a ratio of first attempts, whatever fails; a write is tried again only on proof.
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
		t.Errorf("%d retries and %d hedges for 10000 first tries", retried, hedged)
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
			t.Errorf("outcome %d: %v, want %v", o, got, want)
		}
	}
	if balancer.AllowRetry(Rejected, true, true) {
		t.Error("tried elsewhere against the server's wish")
	}
}

// Who asked to be left alone is, and a told credit is kept.
func TestBackpressure(t *testing.T) {
	balancer, _ := newBalancer(1, Config{})
	now := time.Hour
	balancer.Backpressure(now, "", "s0", 2, 0)
	for range 2 {
		if _, ok := balancer.Pick(now, "", []string{"s0"}, ""); !ok {
			t.Fatal("nobody")
		}
		balancer.started("s0")
	}
	if n, ok := balancer.Pick(now, "", []string{"s0"}, ""); ok {
		t.Errorf("%s, with two out there of two", n)
	}
	balancer.Done(now, "s0", Served, time.Millisecond, true)
	balancer.Backpressure(now, "", "s0", 0, time.Second)
	if _, ok := balancer.Pick(now, "", []string{"s0"}, ""); ok || balancer.CheckHome(now, "", "s0") != HomeBusy {
		t.Error("it is not left alone")
	}
	if n, ok := balancer.Pick(now, "other", []string{"s0"}, ""); !ok || balancer.CheckHome(now, "other", "s0") != HomeReady {
		t.Errorf("what one tenant was told keeps another one away from %q", n)
	}
	for i := range 2 * maxRetryAfterTenants {
		balancer.Backpressure(now, fmt.Sprint("t", i), "s0", 0, time.Second)
	}
	if n := len(balancer.servers["s0"].retryAfter); n > maxRetryAfterTenants {
		t.Errorf("%d tenants are remembered", n)
	}
	balancer.Backpressure(now, "", "s0", 0, time.Second)
	if _, ok := balancer.Pick(now+time.Second, "", []string{"s0"}, ""); !ok {
		t.Error("left alone for good")
	}
}

// A hedged request goes out later than nearly all first ones have been answered.
func TestHedgeDelay(t *testing.T) {
	balancer, _ := newBalancer(1, Config{})
	if _, known := balancer.HedgeDelay(); known {
		t.Error("known without an answer")
	}
	for i := range 200 {
		balancer.started("s0")
		balancer.Done(time.Hour, "s0", Served, time.Duration(i+1)*time.Millisecond, true)
	}
	if delay, known := balancer.HedgeDelay(); !known || delay < 180*time.Millisecond || delay > 195*time.Millisecond {
		t.Errorf("%v, %v", delay, known)
	}
}

// Over random events nothing in flight goes negative, what is picked is among those asked for and never the one left
// out, and budgets hold.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		balancer, names := newBalancer(rapid.IntRange(1, 6).Draw(t, "servers"), Config{RetryRatio: 0.1})
		now := time.Hour
		out := map[string]int{}
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
						t.Fatalf("picked %q but for %q", got, name)
					}
					balancer.started(got)
					out[got]++
				}
			case 2:
				if out[name] > 0 {
					out[name]--
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
				if balancer.servers[n].inFlight != out[n] {
					t.Fatalf("%d in flight at %s, sent %d", balancer.servers[n].inFlight, n, out[n])
				}
			}
			if float64(retried) > budgetMinTokens+0.1*float64(first)+1e-6 {
				t.Fatalf("%d further tries of %d first ones", retried, first)
			}
		}
	})
}

// What a choice costs, by the number of servers.
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
