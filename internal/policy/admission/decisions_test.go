package admission

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"
)

// Every answer of the package for random hours is held by a digest that was taken before its code was renamed: limits, claims, who may
// start and who may wait, what memory and the reserve do. A change of what is decided shows here even where no rule is broken.
func TestDecisionsAreAsBefore(t *testing.T) {
	for name, c := range map[string]struct {
		play func(w io.Writer, rng *rand.Rand)
		want string
	}{
		"hill climber":                  {func(w io.Writer, rng *rand.Rand) { playPools(w, rng, NewHillClimber(Bounds{Min: 1, Start: 8})) }, "e7580efd0fe59918"},
		"hill climber from the ceiling": {func(w io.Writer, rng *rand.Rand) { playPools(w, rng, NewHillClimber(Bounds{})) }, "d16c61654c58aeff"},
		"gradient":                      {func(w io.Writer, rng *rand.Rand) { playPools(w, rng, NewGradient(Bounds{Min: 2})) }, "43ebab2cb9182586"},
		"fit":                           {func(w io.Writer, rng *rand.Rand) { playPools(w, rng, NewUSL(Bounds{Min: 2, Start: 10})) }, "cbb5e9b30b750cfb"},
		"fixed":                         {func(w io.Writer, rng *rand.Rand) { playPools(w, rng, Bounds{Fixed: 6}.newLimiter()) }, "1fd913618bff7421"},
		"reserve":                       {playReserve, "54496c1f993874aa"},
		"door":                          {playDoor, "ee5fbc8f0803090a"},
	} {
		t.Run(name, func(t *testing.T) {
			h := sha256.New()
			for seed := range uint64(3) {
				c.play(h, rand.New(rand.NewPCG(seed, 30)))
			}
			if got := fmt.Sprintf("%x", h.Sum(nil)[:8]); got != c.want {
				t.Errorf("%s, want %s", got, c.want)
			}
		})
	}
}

// playPools is three minutes of requests on a machine whose point of collapse moves, with a change of the pools in the middle.
func playPools(w io.Writer, rng *rand.Rand, l Limiter) {
	cfg := Config{Pools: []Pool{{Name: "a", Classes: []string{"x"}, Weight: 4, Floor: 0.25}, {Name: "b", Classes: []string{"y", "z"}, Weight: 1, Floor: 0.1},
		{Name: "c", Weight: 0, Floor: 0.05}}}
	s, err := NewWithLimiter(cfg, l)
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	type run struct {
		id, class string
		until     time.Duration
		calls     int
		place     RequestState
	}
	var held, running []*run
	point, next := 12.0, 0
	for now := time.Duration(0); now < 3*time.Minute; now += 5 * time.Millisecond {
		switch now {
		case 50 * time.Second:
			point = 5
		case 90 * time.Second:
			cfg.Pools[1].Weight, cfg.Pools[0].Floor = 9, 0.4
			fmt.Fprintln(w, s.Reload(cfg))
		case 120 * time.Second:
			point = 20
		}
		for rng.Float64() < 0.25 && len(held) < 60 {
			r := &run{id: fmt.Sprint(next), class: []string{"x", "y", "z", "other"}[rng.IntN(4)], calls: rng.IntN(3)}
			next++
			admitted := s.Admits(r.class)
			fmt.Fprintln(w, r.id, admitted, s.Queue(r.class))
			if !admitted {
				continue
			}
			s.Moved(now, r.id, r.class, Queued)
			held = append(held, r)
		}
		busy := 0
		for _, r := range running {
			if r.place == Running {
				busy++
			}
		}
		span := func() time.Duration {
			slow := 1 + max(0, float64(busy)-point)/point*2
			if now > 140*time.Second && now < 150*time.Second {
				slow *= 8
			}
			return time.Duration((0.1 + 0.2*rng.Float64()) * slow * float64(time.Second))
		}
		for i := 0; i < len(running); i++ {
			r := running[i]
			if now < r.until {
				continue
			}
			switch {
			case r.place == Running && r.calls > 0:
				r.calls--
				r.place, r.until = InCall, now+span()/2
			case r.place == InCall:
				r.place, r.until = Running, now+span()
			default:
				r.place = Finished
				running = append(running[:i], running[i+1:]...)
				i--
			}
			s.Moved(now, r.id, r.class, r.place)
		}
		for i := 0; i < len(held); i++ {
			if r := held[i]; s.HasCapacity(now, r.class) {
				fmt.Fprintln(w, "runs", r.id)
				r.place, r.until = Running, now+span()
				s.Moved(now, r.id, r.class, Running)
				running = append(running, r)
				held = append(held[:i], held[i+1:]...)
				i--
			}
		}
		if now%tickInterval == 0 {
			memory := float64(len(held)) / 66
			s.Tick(now, Readings{Ceiling: 24, Load: float64(busy) + 3*rng.Float64(), BookedMemory: memory, ProcessMemory: memory * rng.Float64()})
			fmt.Fprintf(w, "%.6g %.6g %+.6g\n", s.Limit(), s.Concurrency("x"), s.Snapshot(now).Pools[1].Entitlement)
		}
		if now%(5*time.Second) == 0 {
			st := s.Snapshot(now)
			fmt.Fprintf(w, "%.6g %.6g %.6g %d %s %v %.6g %.6g\n", st.TotalLimit, st.RunLimit, st.Ceiling, st.Running, st.Diagnosis, st.Memory, st.BookedMemory, st.ProcessMemory)
			for _, p := range st.Pools {
				fmt.Fprintf(w, " %s %.6g %.6g %d %d %.6g %.6g %d %d %d %v\n", p.Name, p.Weight, p.Floor, p.Running, p.Queued, p.Demand, p.Entitlement, p.Started,
					p.Borrowed, p.Rejected, p.Starving)
			}
		}
	}
}

// playReserve is a minute of a front whose connections open, ask, work and close.
func playReserve(w io.Writer, rng *rand.Rand) {
	r := NewReserve(ReserveConfig{CheapRate: 300, CheapRatePerPeer: 40}, 40)
	var open []uint64
	next := uint64(0)
	for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
		switch n := rng.IntN(100); {
		case n < 2 && len(open) == 40:
			id, yes := r.Evict(now)
			fmt.Fprintln(w, "victim", id, yes)
		case n < 3 && len(open) < 40:
			next++
			open = append(open, next)
			r.Opened(now, next)
		case n < 4 && len(open) > 20:
			i := rng.IntN(len(open))
			r.Closed(open[i])
			open = append(open[:i], open[i+1:]...)
		case n < 6 && len(open) > 0:
			fmt.Fprintln(w, "work", r.AdmitWork(open[rng.IntN(len(open))]))
		case n < 60 && len(open) > 0:
			fmt.Fprintln(w, "cheap", r.CheapCall(now, open[min(rng.IntN(len(open)), rng.IntN(len(open)))]).Round(time.Microsecond))
		}
	}
	st := r.Snapshot()
	fmt.Fprintln(w, st.Connections, st.Working, st.Reserved, st.Busy, st.Cheap, st.Delayed, st.WorkRejected, st.Evicted, r.Reserved(), ReserveConfig{})
}

// playDoor is arrivals of which most are refused.
func playDoor(w io.Writer, rng *rand.Rand) {
	var d ArrivalGate
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(rng.IntN(12)) * time.Millisecond {
		shut := d.Closed(now)
		fmt.Fprintln(w, shut, d.ClosedUntil())
		switch {
		case shut:
		case rng.IntN(30) == 0:
			d.Accepted()
		default:
			d.Rejected(now)
		}
	}
}
