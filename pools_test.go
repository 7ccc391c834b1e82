package silverpath

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// unlimitedPools are pools without limits or separate queues. With them the module must decide as without
// pools, except for what it does only without pools.
type unlimitedPools struct {
	s     *Shedder
	moves int
}

func (p *unlimitedPools) Moved(time.Duration, string, string, Place) { p.moves++ }
func (p *unlimitedPools) Tick(time.Duration, float64, Gauges)        {}
func (p *unlimitedPools) HasCapacity(time.Duration, string) bool     { return true }
func (p *unlimitedPools) Admits(string) bool                         { return true }
func (p *unlimitedPools) Concurrency(string) float64                 { return p.s.runLimit() }
func (p *unlimitedPools) Queue(string) string                        { return "" }

// playEvents plays random events, the same for a seed, and returns the actions of the module. If busy is
// not set, few requests are open, so the bound on open requests is not reached; with pools that bound
// applies to each queue.
func playEvents(t *testing.T, seed uint64, busy bool, setup func(*Shedder)) []string {
	s, h := newTestShedder(t, func(set *Settings) { set.MemoryKB = 40000; set.Preemption = PreemptNone })
	if setup != nil {
		setup(s)
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	now, seq := time.Duration(0), 0
	maxOpen := 6
	if busy {
		maxOpen = 60
	}
	var ids []string
	for range 4000 {
		now += time.Duration(rng.IntN(12)) * time.Millisecond
		switch k := rng.IntN(10); {
		case k < 4 && len(s.requests) < maxOpen:
			seq++
			id := fmt.Sprint("r", seq)
			ids = append(ids, id)
			s.Arrive(now, Request{
				ID: id, Class: []string{"read", "book", "pay"}[rng.IntN(3)], QueuedKB: 1 + 40*rng.Float64(),
				Deadline: now + time.Duration(200+rng.IntN(4000))*time.Millisecond, Rank: rng.Float64(),
			})
		case k < 7 && len(ids) > 0:
			i := rng.IntN(len(ids))
			if r := s.requestByID[ids[i]]; r != nil && r.state == running {
				if rng.IntN(4) == 0 {
					s.NeedsCall(now, r.ID)
				} else {
					s.RunEnded(now, r.ID, []Outcome{OK, OK, OK, Failed, NotStarted}[rng.IntN(5)], 50*time.Millisecond)
				}
			} else if r != nil && r.state == calling {
				s.CallEnded(now, r.ID, []Outcome{OK, OK, TimedOut, Overloaded}[rng.IntN(4)], 20*time.Millisecond)
			}
		case k == 7 && len(ids) > 0:
			s.Cancelled(now, ids[rng.IntN(len(ids))])
		default:
			s.Tick(now, Gauges{CPU: rng.Float64(), RunnableTasks: float64(rng.IntN(6))})
		}
	}
	s.Drain(now, now+time.Second)
	s.Tick(now+900*time.Millisecond, Gauges{})
	return h.lines
}

// digest returns a hash of the actions.
func digest(lines []string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(strings.Join(lines, "\n")))
	return sum.Sum64()
}

// Without pools the actions must be the same as before pools were introduced: the digests were taken from
// that version.
func TestWithoutPools(t *testing.T) {
	for seed, want := range []uint64{0xfac48b99eca1ac9e, 0x452efc6e538db490, 0x5f93ea6e3be283bb} {
		if got := digest(playEvents(t, uint64(seed), true, nil)); got != want {
			t.Errorf("seed %d: the digest of the actions is %#x, want %#x", seed, got, want)
		}
	}
}

// Pools without limits must not change any action.
func TestUnlimitedPoolsChangeNothing(t *testing.T) {
	for seed := range uint64(5) {
		var pools *unlimitedPools
		without := playEvents(t, seed, false, nil)
		with := playEvents(t, seed, false, func(s *Shedder) { pools = &unlimitedPools{s: s}; s.UsePools(pools) })
		if digest(without) != digest(with) {
			t.Errorf("seed %d: the actions differ with and without pools", seed)
		}
		if pools.moves < 100 {
			t.Errorf("seed %d: %d moves reported to the pools, want at least 100", seed, pools.moves)
		}
	}
}

// closedPool are pools that have no capacity for one class.
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

// A class whose pool has no capacity must wait while other classes run, and requests that its pool cannot
// run in time must be rejected on arrival.
func TestPoolLimitsItsClass(t *testing.T) {
	s, h := newTestShedder(t, func(set *Settings) { set.MemoryKB = 100000 })
	s.UsePools(&closedPool{unlimitedPools{s: s}, "book"})
	s.Arrive(1, Request{ID: "b1", Class: "book", QueuedKB: 1, ExpectedWork: 100 * time.Millisecond})
	s.Arrive(2, Request{ID: "r1", Class: "read", QueuedKB: 1, ExpectedWork: 100 * time.Millisecond})
	if h.called("run b1") || !h.called("run r1") || h.called("refuse b1") {
		t.Fatalf("a class with a full pool did not wait, or another class did: %v", h.lines)
	}
	for i := range 30 {
		s.Arrive(3, Request{ID: fmt.Sprint("c", i), Class: "book", QueuedKB: 1, ExpectedWork: 100 * time.Millisecond})
	}
	if n := h.count("refuse"); n < 28 || h.called("refuse b1") {
		t.Errorf("%d of 30 requests that cannot meet their objective were rejected on arrival: %v", n, h.lines)
	}
}

// Requests rejected unread must count as rejected for the statistics and for the signal to callers.
func TestRejectedUnread(t *testing.T) {
	s, _ := newTestShedder(t, func(set *Settings) { set.Signal = SignalCredit })
	s.RejectedUnread(time.Second, "read", 100)
	s.RejectedUnread(time.Second, "nothing", 100)
	if s.arrivals != 100 || s.rejections != 100 || s.rejectedBy[reasonForecast] != 100 || s.classByName["read"].requestedWork <= 0 {
		t.Errorf("100 requests rejected unread: %v arrivals, %v rejections, by rule %v, want 100, 100 and 100 by forecast, and work", s.arrivals, s.rejections, s.rejectedBy)
	}
	for range 40 {
		s.RejectedUnread(s.now+tickInterval, "read", 100)
		s.Tick(s.now, Gauges{})
	}
	if s.pressure < 0.4 {
		t.Errorf("the pressure is %v, want at least 0.4", s.pressure)
	}
}

// BenchmarkDecide measures one decision with n queued requests. Every caller that needs the lock of the
// core waits for this time.
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
