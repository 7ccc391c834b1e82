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
		if got, cold := Capacity(settings, up); !cold || math.Abs(got-want) > 1e-9 {
			t.Errorf("%v after the start: %v, %v; want %v", up, got, cold, want)
		}
	}
	warm := settings
	warm.Cold = false
	if _, cold := Capacity(warm, 0); cold {
		t.Error("cold though it is not")
	}
	if _, cold := Capacity(settings, settings.WarmupTime); cold {
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
		at     time.Duration
		flying int
		want   bool
	}{{time.Second, 1, true}, {time.Second, 2, false}, {4*time.Second - 1, 0, true}, {4 * time.Second, 0, false}} {
		if got := c.HasCapacity(x.at, x.flying); got != x.want {
			t.Errorf("at %v with %d out: %v", x.at, x.flying, got)
		}
	}
	c.WarmedUp()
	if !c.HasCapacity(time.Hour, 5) {
		t.Error("warm, and limited")
	}
}

// sender is a caller that has out whatever it may.
type sender struct {
	name  string
	from  time.Duration
	until time.Duration // it is lost then
	next  time.Duration // it asks
	told  []news
	c     Caller
	out   []time.Duration // ends of its requests
}

type news struct {
	at, asked time.Duration
	part      int
}

const (
	step  = 20 * time.Millisecond
	every = time.Second
	term  = 3 * every
)

// play has so many callers send all that they may to a server that is cold, with callers that join, are lost and come back, and
// news that come late or not at all. It returns the most by which what was out passed the whole, in the chance that is allowed,
// and how much of the whole was used on average once all could be known.
func play(seed uint64, n int, grant func(s *Server, now time.Duration, who string, flying int, capacity float64) int) (worst, used float64) {
	rng := rand.New(rand.NewPCG(seed, uint64(n)))
	s := NewServer(0, n)
	var all []*sender
	for i := range n {
		c := &sender{name: fmt.Sprint("c", i), until: time.Hour, next: time.Duration(rng.Int64N(int64(every)))}
		if rng.IntN(4) == 0 { // joins late
			c.from = time.Duration(rng.Int64N(int64(5 * time.Second)))
			c.next += c.from
		}
		if rng.IntN(5) == 0 {
			c.until = c.from + time.Duration(rng.Int64N(int64(6*time.Second)))
		}
		c.c.Restarted()
		all = append(all, c)
	}
	worst = math.Inf(-1)
	steps := 0
	for now := time.Duration(0); ; now += step {
		capacity, cold := Capacity(settings, now)
		if !cold {
			return worst, used / float64(steps)
		}
		sum := 0
		for i, c := range all {
			if now < c.from {
				continue
			}
			if now >= c.until { // lost, with all that it had out; another takes its place a while later
				all[i] = &sender{name: c.name + "'", from: now + 2*time.Second, until: time.Hour, next: now + 2*time.Second}
				all[i].c.Restarted()
				continue
			}
			open := c.out[:0]
			for _, end := range c.out {
				if end > now {
					open = append(open, end)
				}
			}
			c.out = open
			if now >= c.next {
				c.next = now + every
				p := grant(s, now, c.name, len(c.out), capacity)
				if rng.IntN(5) > 0 { // else the answer is lost
					c.told = append(c.told, news{now + time.Duration(rng.Int64N(int64(800*time.Millisecond))), now, p})
				}
			}
			for len(c.told) > 0 && c.told[0].at <= now {
				c.c.Granted(c.told[0].asked, c.told[0].part, term)
				c.told = c.told[1:]
			}
			for c.c.HasCapacity(now, len(c.out)) {
				c.out = append(c.out, now+100*time.Millisecond+time.Duration(rng.Int64N(int64(2*time.Second))))
			}
			sum += len(c.out)
		}
		worst = max(worst, (float64(sum)-capacity)/(2*math.Sqrt(capacity)+2))
		if now > 4*time.Second {
			used += float64(sum) / capacity
			steps++
		}
	}
}

// However many callers share a cold server, what they have out together stays within what it takes but for chance, and most of
// it is used.
func TestSumOfAllCallers(t *testing.T) {
	for _, n := range []int{1, 2, 5, 20, 30} {
		const seeds = 100
		mean := 0.0
		for seed := range uint64(seeds) {
			worst, used := play(seed, n, func(s *Server, now time.Duration, who string, flying int, whole float64) int {
				return s.Grant(now, who, flying, whole, term)
			})
			if worst > 1 {
				t.Fatalf("%d callers, seed %d: %.2f times what chance may add", n, seed, worst)
			}
			mean += used / seeds
		}
		if mean < 0.5 {
			t.Errorf("%d callers use %.2f of it on average", n, mean)
		}
	}
}

// Where each caller takes its fair part by the number that the settings name, rounded up to one at least, or those that are gone or
// late are not counted, the sum does not hold: this test finds that.
func TestSumOfOtherWays(t *testing.T) {
	for name, part := range map[string]func(s *Server, now time.Duration, who string, flying int, whole float64) int{
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
			worst, _ := play(seed, 20, part)
			found = found || worst > 1
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
		name   string
		flying int
		at     time.Duration
		want   int
	}{
		{"the half of two, as the other holds all", 0, term - 1, 0},
		{"the other's part is over", 0, term, 10},
		{"the other had more out than its part", 7, term + every - 1, 3},
		{"the other's part is over, and what it had out", 7, term + every, 10},
	} {
		s := NewServer(0, 1)
		if p := s.Grant(0, "other", 0, 10, term); p != 10 {
			t.Fatalf("%s: alone it gets %d", x.name, p)
		}
		if x.flying > 0 {
			if p := s.Grant(every, "other", x.flying, 4, term); p != 4 { // of less than it has out
				t.Fatalf("%s: alone it gets %d", x.name, p)
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
		if p := NewServer(0, 4).Grant(at, "first", 0, 10, term); p < want[0] || p > want[1] {
			t.Errorf("after %v the first of four gets %d, want %v", at, p, want)
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
	if p := s.Grant(time.Minute, "new", 0, 1e6, time.Hour); p != 0 {
		t.Errorf("part %d beyond the bound", p)
	}
}
