package silverpath

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// open are pools that hold nothing back and know no queues: with them the module decides as without any, but for what
// it does only where there are none.
type unlimitedPools struct {
	s     *Shedder
	moves int
}

func (o *unlimitedPools) Moved(time.Duration, string, string, Place) { o.moves++ }
func (o *unlimitedPools) Tick(time.Duration, float64, Gauges)        {}
func (o *unlimitedPools) HasCapacity(time.Duration, string) bool     { return true }
func (o *unlimitedPools) Admits(string) bool                         { return true }
func (o *unlimitedPools) Concurrency(string) float64                 { return o.s.runLimit() }
func (o *unlimitedPools) Queue(string) string                        { return "" }

// evening plays recorded events, the same for a seed, and returns what the module asked for. With few in hand the
// bound on runs in hand, for which pools have a queue each instead, is not met.
func playEvents(t *testing.T, seed uint64, busy bool, use func(*Shedder)) []string {
	s, h := newTestShedder(t, func(set *Settings) { set.MemoryKB = 40000; set.Preemption = PreemptNone })
	if use != nil {
		use(s)
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	now, seq := time.Duration(0), 0
	most := 6
	if busy {
		most = 60
	}
	var live []string
	for range 4000 {
		now += time.Duration(rng.IntN(12)) * time.Millisecond
		switch k := rng.IntN(10); {
		case k < 4 && len(s.requests) < most:
			seq++
			id := fmt.Sprint("r", seq)
			live = append(live, id)
			s.Arrive(now, Request{
				ID: id, Class: []string{"read", "book", "pay"}[rng.IntN(3)], QueuedKB: 1 + 40*rng.Float64(),
				Deadline: now + time.Duration(200+rng.IntN(4000))*time.Millisecond, Rank: rng.Float64(),
			})
		case k < 7 && len(live) > 0:
			i := rng.IntN(len(live))
			if r := s.requestByID[live[i]]; r != nil && r.state == running {
				if rng.IntN(4) == 0 {
					s.NeedsCall(now, r.ID)
				} else {
					s.RunEnded(now, r.ID, []Outcome{OK, OK, OK, Failed, NotStarted}[rng.IntN(5)], 50*time.Millisecond)
				}
			} else if r != nil && r.state == calling {
				s.CallEnded(now, r.ID, []Outcome{OK, OK, TimedOut, Overloaded}[rng.IntN(4)], 20*time.Millisecond)
			}
		case k == 7 && len(live) > 0:
			s.Cancelled(now, live[rng.IntN(len(live))])
		default:
			s.Tick(now, Gauges{CPU: rng.Float64(), OnCores: float64(rng.IntN(6))})
		}
	}
	s.Drain(now, now+time.Second)
	s.Tick(now+900*time.Millisecond, Gauges{})
	return h.lines
}

func digest(lines []string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(strings.Join(lines, "\n")))
	return sum.Sum64()
}

// With pools off the module's actions are bit for bit those of the program before there were any: these digests were
// taken from it.
func TestWithoutPools(t *testing.T) {
	for seed, want := range []uint64{0xfac48b99eca1ac9e, 0x452efc6e538db490, 0x5f93ea6e3be283bb} {
		if got := digest(playEvents(t, uint64(seed), true, nil)); got != want {
			t.Errorf("seed %d: the actions have the digest %#x, had %#x", seed, got, want)
		}
	}
}

// Pools that hold nothing back change nothing either.
func TestUnlimitedPoolsChangeNothing(t *testing.T) {
	for seed := range uint64(5) {
		var o *unlimitedPools
		without := playEvents(t, seed, false, nil)
		with := playEvents(t, seed, false, func(s *Shedder) { o = &unlimitedPools{s: s}; s.UsePools(o) })
		if digest(without) != digest(with) {
			t.Errorf("seed %d: the actions differ", seed)
		}
		if o.moves < 100 {
			t.Errorf("seed %d: the pools were told of %d moves", seed, o.moves)
		}
	}
}

// closedPool are pools without capacity for one class.
type closedPool struct {
	unlimitedPools
	class string
}

func (p *closedPool) HasCapacity(_ time.Duration, class string) bool { return class != p.class }
func (p *closedPool) Concurrency(class string) float64 {
	if class == p.class {
		return 0.3
	}
	return p.s.runLimit()
}
func (p *closedPool) Queue(class string) string { return class }

// A class whose pool has no capacity waits while others run past it, and what its pool can't run in time is rejected at
// once, on arrival.
func TestPoolLimitsItsClass(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) { set.MemoryKB = 100000 })
	s.UsePools(&closedPool{unlimitedPools{s: s}, "book"})
	s.Arrive(1, Request{ID: "b1", Class: "book", QueuedKB: 1, ExpectedWork: 100 * time.Millisecond})
	s.Arrive(2, Request{ID: "r1", Class: "read", QueuedKB: 1, ExpectedWork: 100 * time.Millisecond})
	if h.called("run b1") || !h.called("run r1") || h.called("refuse b1") {
		t.Fatalf("%v", h.lines)
	}
	for i := range 30 {
		s.Arrive(3, Request{ID: fmt.Sprint("c", i), Class: "book", QueuedKB: 1, ExpectedWork: 100 * time.Millisecond})
	}
	if n := h.count("refuse"); n < 28 || h.called("refuse b1") {
		t.Errorf("%d of 30 that can't make their objective were rejected on arrival: %v", n, h.lines)
	}
}

// What is rejected unread counts as rejected: the ordinary path and what callers are told see it.
func TestRejectedUnread(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.Signal = SignalCredit })
	s.RejectedUnread(time.Second, "read", 100)
	s.RejectedUnread(time.Second, "nothing", 100)
	if s.arrivals != 100 || s.rejections != 100 || s.rejectedBy[reasonForecast] != 100 || s.classByName["read"].requestedWork <= 0 {
		t.Errorf("arrivals %v, rejections %v, by rule %v", s.arrivals, s.rejections, s.rejectedBy)
	}
	for range 40 {
		s.RejectedUnread(s.now+tickInterval, "read", 100)
		s.Tick(s.now, Gauges{})
	}
	if s.pressure < 0.4 {
		t.Errorf("the pressure that callers are told of is %v", s.pressure)
	}
}

// How long the module takes for one decision with so many in the hold: what everybody waits for who needs the core's
// lock.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			set, h := testSettings(), &scriptHost{}
			set.MemoryKB, set.Classes[0].Objective, set.Classes[0].Deadline, set.MaxRunsPerCore = 1e9, time.Hour, time.Hour, 10000
			s, err := New(0, set, h)
			if err != nil {
				b.Fatal(err)
			}
			for i := range n {
				s.Arrive(1, Request{ID: fmt.Sprint(i), Class: "read", QueuedKB: 1, ExpectedWork: time.Millisecond})
			}
			for b.Loop() {
				s.schedule()
			}
			b.ReportMetric(float64(s.stateCount[queued]), "held")
		})
	}
}
