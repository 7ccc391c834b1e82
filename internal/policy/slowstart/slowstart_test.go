package slowstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"silverpath"
)

var settings = silverpath.Settings{Cores: 6, MaxRunsPerCore: 8, Cold: true, ColdSpeed: 0.25, WarmupTime: 12 * time.Second}

func TestCapacity(t *testing.T) {
	for uptime, want := range map[time.Duration]float64{-time.Second: 0.9 * 6 * 2.75, 0: 0.9 * 6 * 2.75, 6 * time.Second: 0.9 * 6 * 5.375} {
		if got, warming := Capacity(settings, uptime); !warming || math.Abs(got-want) > 1e-9 {
			t.Errorf("capacity at uptime %v: got %v, warming %v; want %v", uptime, got, warming, want)
		}
	}
	warm := settings
	warm.Cold = false
	if _, warming := Capacity(warm, 0); warming {
		t.Error("warming although Settings.Cold is false")
	}
	if _, warming := Capacity(settings, settings.WarmupTime); warming {
		t.Error("warming after Settings.WarmupTime")
	}
}

// A caller must not send to a restarted server before it has a grant, uses the grant for a term from its health check on, and sends
// nothing after the term.
func TestCaller(t *testing.T) {
	var c Caller
	if !c.HasCapacity(0, 1000) || c.Warming() {
		t.Fatal("a warm server is limited")
	}
	c.Restarted()
	if c.HasCapacity(0, 0) || !c.Warming() {
		t.Fatal("a restarted server has capacity before it granted anything")
	}
	c.Granted(time.Second, 2, 3*time.Second)
	for _, x := range []struct {
		at       time.Duration
		inFlight int
		want     bool
	}{{time.Second, 1, true}, {time.Second, 2, false}, {4*time.Second - 1, 0, true}, {4 * time.Second, 0, false}} {
		if got := c.HasCapacity(x.at, x.inFlight); got != x.want {
			t.Errorf("at %v with %d in flight: unexpected capacity %v", x.at, x.inFlight, got)
		}
	}
	c.WarmedUp()
	if !c.HasCapacity(time.Hour, 5) {
		t.Error("a server is limited after it has warmed up")
	}
}

// simulatedCaller sends as many requests as its grants allow.
type simulatedCaller struct {
	name            string
	startsAt        time.Duration
	stopsAt         time.Duration // the caller crashes then
	nextHealthCheck time.Duration // time of its next health check
	replies         []reply
	caller          Caller
	inFlight        []time.Duration // end times of its requests
}

type reply struct {
	arrivesAt, requestedAt time.Duration
	granted                int
}

const (
	step     = 20 * time.Millisecond
	interval = time.Second
	term     = 3 * interval
)

// simulate lets n callers send all requests that grant allows to a warming server. Callers join, crash and are replaced; answers are late
// or lost. It returns the largest excess of the requests in flight over the capacity, as a multiple of the allowed random excess, and the
// average utilization of the capacity after the first seconds.
func simulate(seed uint64, n int, grant func(s *Server, now time.Duration, caller string, inFlight int, capacity float64) int) (worstExcess, utilization float64) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	s := NewServer(0, n)
	var callers []*simulatedCaller
	for i := range n {
		c := &simulatedCaller{name: fmt.Sprint("c", i), stopsAt: time.Hour, nextHealthCheck: time.Duration(rng.Int64N(int64(interval)))}
		if rng.IntN(4) == 0 { // the caller joins late
			c.startsAt = time.Duration(rng.Int64N(int64(5 * time.Second)))
			c.nextHealthCheck += c.startsAt
		}
		if rng.IntN(5) == 0 {
			c.stopsAt = c.startsAt + time.Duration(rng.Int64N(int64(6*time.Second)))
		}
		c.caller.Restarted()
		callers = append(callers, c)
	}
	worstExcess = math.Inf(-1)
	steps := 0
	for now := time.Duration(0); ; now += step {
		capacity, warming := Capacity(settings, now)
		if !warming {
			return worstExcess, utilization / float64(steps)
		}
		inFlight := 0
		for i, c := range callers {
			if now < c.startsAt {
				continue
			}
			if now >= c.stopsAt { // its requests in flight end with it; a new caller replaces it 2 s later
				callers[i] = &simulatedCaller{name: c.name + "'", startsAt: now + 2*time.Second, stopsAt: time.Hour, nextHealthCheck: now + 2*time.Second}
				callers[i].caller.Restarted()
				continue
			}
			unfinished := c.inFlight[:0]
			for _, end := range c.inFlight {
				if end > now {
					unfinished = append(unfinished, end)
				}
			}
			c.inFlight = unfinished
			if now >= c.nextHealthCheck {
				c.nextHealthCheck = now + interval
				granted := grant(s, now, c.name, len(c.inFlight), capacity)
				if rng.IntN(5) > 0 { // otherwise the answer is lost
					c.replies = append(c.replies, reply{now + time.Duration(rng.Int64N(int64(800*time.Millisecond))), now, granted})
				}
			}
			for len(c.replies) > 0 && c.replies[0].arrivesAt <= now {
				c.caller.Granted(c.replies[0].requestedAt, c.replies[0].granted, term)
				c.replies = c.replies[1:]
			}
			for c.caller.HasCapacity(now, len(c.inFlight)) {
				c.inFlight = append(c.inFlight, now+100*time.Millisecond+time.Duration(rng.Int64N(int64(2*time.Second))))
			}
			inFlight += len(c.inFlight)
		}
		worstExcess = max(worstExcess, (float64(inFlight)-capacity)/(2*math.Sqrt(capacity)+2))
		if now > 4*time.Second {
			utilization += float64(inFlight) / capacity
			steps++
		}
	}
}

// The requests in flight of all callers must stay within the warming server's capacity, except for a small random excess, and must use
// most of it, for any number of callers.
func TestSumOfAllCallers(t *testing.T) {
	for _, n := range []int{1, 2, 5, 20, 30} {
		const seeds = 100
		meanUtilization := 0.0
		for seed := range uint64(seeds) {
			worstExcess, utilization := simulate(seed, n, func(s *Server, now time.Duration, caller string, inFlight int, capacity float64) int {
				return s.Grant(now, caller, inFlight, capacity, term)
			})
			if worstExcess > 1 {
				t.Fatalf("%d callers, seed %d: %.2f times the allowed random excess over the capacity", n, seed, worstExcess)
			}
			meanUtilization += utilization / seeds
		}
		if meanUtilization < 0.5 {
			t.Errorf("%d callers use %.2f of the capacity on average, want at least 0.5", n, meanUtilization)
		}
	}
}

// The simulation must detect grants that exceed the capacity: the whole capacity for each caller, a fixed fraction that is rounded up, and
// grants that do not count the callers that are late or have crashed.
func TestSumOfOtherWays(t *testing.T) {
	for name, grant := range map[string]func(s *Server, now time.Duration, caller string, inFlight int, capacity float64) int{
		"whole capacity each": func(_ *Server, _ time.Duration, _ string, _ int, capacity float64) int { return int(capacity) },
		"a third, rounded up": func(_ *Server, _ time.Duration, _ string, _ int, total float64) int { return int(math.Ceil(total / 3)) },
		"other callers are not counted": func(s *Server, now time.Duration, caller string, inFlight int, capacity float64) int {
			for _, c := range s.callers {
				c.requests, c.inFlight = 0, 0
			}
			s.assumedCallers = 1
			return s.Grant(now, caller, inFlight, capacity, term)
		},
	} {
		found := false
		for seed := range uint64(200) {
			worstExcess, _ := simulate(seed, 20, grant)
			found = found || worstExcess > 1
		}
		if !found {
			t.Errorf("%s: no excess over the capacity was found", name)
		}
	}
}

// Another caller counts until its term ends, with the larger of its grant and its requests in flight. After that it is deleted.
func TestWhatOthersWereGranted(t *testing.T) {
	for _, x := range []struct {
		name     string
		inFlight int
		at       time.Duration
		want     int
	}{
		{"the other has the whole capacity", 0, term - 1, 0},
		{"the other's term is over", 0, term, 10},
		{"the other has more in flight than its grant", 7, term + interval - 1, 3},
		{"the other's term is over, with requests in flight", 7, term + interval, 10},
	} {
		s := NewServer(0, 1)
		if granted := s.Grant(0, "other", 0, 10, term); granted != 10 {
			t.Fatalf("%s: a single caller is granted %d, want 10", x.name, granted)
		}
		if x.inFlight > 0 {
			if granted := s.Grant(interval, "other", x.inFlight, 4, term); granted != 4 { // fewer than it has in flight
				t.Fatalf("%s: a single caller is granted %d, want 4", x.name, granted)
			}
		}
		if got := s.Grant(x.at, "one", 0, 10, term); got != x.want {
			t.Errorf("%s: granted %d, want %d", x.name, got, x.want)
		}
		if _, known := s.callers["other"]; known != (x.want < 10) {
			t.Errorf("%s: the other caller is stored: %v", x.name, known)
		}
	}
}

// During the first term, the first of several callers must not be granted the shares of those that have not sent a health check yet.
func TestFirstCallerOfSeveral(t *testing.T) {
	for at, want := range map[time.Duration][2]int{0: {2, 3}, term - 1: {2, 3}, term: {10, 10}} {
		if granted := NewServer(0, 4).Grant(at, "first", 0, 10, term); granted < want[0] || granted > want[1] {
			t.Errorf("at %v the first of four callers is granted %d, want %v", at, granted, want)
		}
	}
}

// An unlimited number of callers must not use unlimited memory: callers beyond the bound are not stored and are granted nothing.
func TestCallersAreBounded(t *testing.T) {
	s := NewServer(0, 1)
	for i := range maxCallers + 10 {
		s.Grant(time.Duration(i), fmt.Sprint(i), 0, 1e6, time.Hour)
	}
	if len(s.callers) > maxCallers {
		t.Fatalf("%d callers are stored, above the bound", len(s.callers))
	}
	if granted := s.Grant(time.Minute, "new", 0, 1e6, time.Hour); granted != 0 {
		t.Errorf("a caller beyond the bound is granted %d, want 0", granted)
	}
}
