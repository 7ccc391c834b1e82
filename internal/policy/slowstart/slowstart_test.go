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
	for up, want := range map[time.Duration]float64{-time.Second: 0.9 * 6 * 2.75, 0: 0.9 * 6 * 2.75, 6 * time.Second: 0.9 * 6 * 5.375} {
		if got, warming := Capacity(settings, up); !warming || math.Abs(got-want) > 1e-9 {
			t.Errorf("%v after the start: %v, %v; want %v", up, got, warming, want)
		}
	}
	warm := settings
	warm.Cold = false
	if _, warming := Capacity(warm, 0); warming {
		t.Error("cold though it is not")
	}
	if _, warming := Capacity(settings, settings.WarmupTime); warming {
		t.Error("cold for longer than told")
	}
}

// A caller claims nothing of a start that it has just heard of, goes by its part for a term from its asking on, and by none after.
func TestCaller(t *testing.T) {
	var c Caller
	if !c.HasCapacity(0, 1000) || c.Warming() {
		t.Fatal("a warm server is limited")
	}
	c.Restarted()
	if c.HasCapacity(0, 0) || !c.Warming() {
		t.Fatal("a part of a start that was only heard of")
	}
	c.Granted(time.Second, 2, 3*time.Second)
	for _, x := range []struct {
		at       time.Duration
		inFlight int
		want     bool
	}{{time.Second, 1, true}, {time.Second, 2, false}, {4*time.Second - 1, 0, true}, {4 * time.Second, 0, false}} {
		if got := c.HasCapacity(x.at, x.inFlight); got != x.want {
			t.Errorf("at %v with %d out: %v", x.at, x.inFlight, got)
		}
	}
	c.WarmedUp()
	if !c.HasCapacity(time.Hour, 5) {
		t.Error("warm, and limited")
	}
}

// sender is a caller that has out whatever it may.
type simulatedCaller struct {
	name        string
	startsAt    time.Duration
	stopsAt     time.Duration // it is lost then
	nextRequest time.Duration // it asks
	replies     []reply
	c           Caller
	inFlight    []time.Duration // ends of its requests
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

// play has so many callers send all that they may to a server that is cold, with callers that join, are lost and come back, and
// news that come late or not at all. It returns the most by which what was out passed the whole, in the chance that is allowed,
// and how much of the whole was used on average once all could be known.
func simulate(seed uint64, n int, grant func(s *Server, now time.Duration, who string, flying int, capacity float64) int) (worstExcess, utilization float64) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	s := NewServer(0, n)
	var callers []*simulatedCaller
	for i := range n {
		c := &simulatedCaller{name: fmt.Sprint("c", i), stopsAt: time.Hour, nextRequest: time.Duration(rng.Int64N(int64(interval)))}
		if rng.IntN(4) == 0 { // joins late
			c.startsAt = time.Duration(rng.Int64N(int64(5 * time.Second)))
			c.nextRequest += c.startsAt
		}
		if rng.IntN(5) == 0 {
			c.stopsAt = c.startsAt + time.Duration(rng.Int64N(int64(6*time.Second)))
		}
		c.c.Restarted()
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
			if now >= c.stopsAt { // lost, with all that it had out; another takes its place a while later
				callers[i] = &simulatedCaller{name: c.name + "'", startsAt: now + 2*time.Second, stopsAt: time.Hour, nextRequest: now + 2*time.Second}
				callers[i].c.Restarted()
				continue
			}
			unfinished := c.inFlight[:0]
			for _, end := range c.inFlight {
				if end > now {
					unfinished = append(unfinished, end)
				}
			}
			c.inFlight = unfinished
			if now >= c.nextRequest {
				c.nextRequest = now + interval
				granted := grant(s, now, c.name, len(c.inFlight), capacity)
				if rng.IntN(5) > 0 { // else the answer is lost
					c.replies = append(c.replies, reply{now + time.Duration(rng.Int64N(int64(800*time.Millisecond))), now, granted})
				}
			}
			for len(c.replies) > 0 && c.replies[0].arrivesAt <= now {
				c.c.Granted(c.replies[0].requestedAt, c.replies[0].granted, term)
				c.replies = c.replies[1:]
			}
			for c.c.HasCapacity(now, len(c.inFlight)) {
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

// However many callers share a cold server, what they have out together stays within what it takes but for chance, and most of
// it is used.
func TestSumOfAllCallers(t *testing.T) {
	for _, n := range []int{1, 2, 5, 20, 30} {
		const seeds = 100
		meanUtilization := 0.0
		for seed := range uint64(seeds) {
			worstExcess, utilization := simulate(seed, n, func(s *Server, now time.Duration, who string, flying int, whole float64) int {
				return s.Grant(now, who, flying, whole, term)
			})
			if worstExcess > 1 {
				t.Fatalf("%d callers, seed %d: %.2f times what chance may add", n, seed, worstExcess)
			}
			meanUtilization += utilization / seeds
		}
		if meanUtilization < 0.5 {
			t.Errorf("%d callers use %.2f of it on average", n, meanUtilization)
		}
	}
}

// Where each caller takes its fair part by the number that the settings name, rounded up to one at least, or those that are gone or
// late are not counted, the sum does not hold: this test finds that.
func TestSumOfOtherWays(t *testing.T) {
	for name, grant := range map[string]func(s *Server, now time.Duration, who string, flying int, whole float64) int{
		"each the whole":       func(_ *Server, _ time.Duration, _ string, _ int, whole float64) int { return int(whole) },
		"rounded up, by three": func(_ *Server, _ time.Duration, _ string, _ int, whole float64) int { return int(math.Ceil(whole / 3)) },
		"what others hold is not counted": func(s *Server, now time.Duration, who string, flying int, whole float64) int {
			for _, c := range s.callers {
				c.requests, c.inFlight = 0, 0
			}
			s.assumedCallers = 1
			return s.Grant(now, who, flying, whole, term)
		},
	} {
		found := false
		for seed := range uint64(200) {
			worstExcess, _ := simulate(seed, 20, grant)
			found = found || worstExcess > 1
		}
		if !found {
			t.Errorf("%s: no harm found", name)
		}
	}
}

// What another holds counts for as long as its part lasts, by the part or by what it had out, whichever is more; from its end on
// the other is forgotten.
func TestWhatOthersWereGranted(t *testing.T) {
	for _, x := range []struct {
		name     string
		inFlight int
		at       time.Duration
		want     int
	}{
		{"the half of two, as the other holds all", 0, term - 1, 0},
		{"the other's part is over", 0, term, 10},
		{"the other had more out than its part", 7, term + interval - 1, 3},
		{"the other's part is over, and what it had out", 7, term + interval, 10},
	} {
		s := NewServer(0, 1)
		if granted := s.Grant(0, "other", 0, 10, term); granted != 10 {
			t.Fatalf("%s: alone it gets %d", x.name, granted)
		}
		if x.inFlight > 0 {
			if granted := s.Grant(interval, "other", x.inFlight, 4, term); granted != 4 { // of less than it has out
				t.Fatalf("%s: alone it gets %d", x.name, granted)
			}
		}
		if got := s.Grant(x.at, "one", 0, 10, term); got != x.want {
			t.Errorf("%s: %d, want %d", x.name, got, x.want)
		}
		if _, known := s.callers["other"]; known != (x.want < 10) {
			t.Errorf("%s: the other is known: %v", x.name, known)
		}
	}
}

// Whoever is first leaves the others' parts to them, until all had a term to be heard of.
func TestFirstCallerOfSeveral(t *testing.T) {
	for at, want := range map[time.Duration][2]int{0: {2, 3}, term - 1: {2, 3}, term: {10, 10}} {
		if granted := NewServer(0, 4).Grant(at, "first", 0, 10, term); granted < want[0] || granted > want[1] {
			t.Errorf("after %v the first of four gets %d, want %v", at, granted, want)
		}
	}
}

// Callers without end get no part, and take no memory without end.
func TestCallersAreBounded(t *testing.T) {
	s := NewServer(0, 1)
	for i := range maxCallers + 10 {
		s.Grant(time.Duration(i), fmt.Sprint(i), 0, 1e6, time.Hour)
	}
	if len(s.callers) > maxCallers {
		t.Fatalf("%d callers", len(s.callers))
	}
	if granted := s.Grant(time.Minute, "new", 0, 1e6, time.Hour); granted != 0 {
		t.Errorf("part %d beyond the bound", granted)
	}
}
