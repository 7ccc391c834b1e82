package admission

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"
)

// The digests cover every decision of the package for random requests: limits, entitlements, admission and starts, memory stages and the
// reserve. A change of behavior shows here even if it breaks no rule. The texts that the simulations write are a part of the digests.
func TestDecisionsAreAsBefore(t *testing.T) {
	for name, c := range map[string]struct {
		simulate func(w io.Writer, rng *rand.Rand)
		want     string
	}{
		"hill climber":                  {func(w io.Writer, rng *rand.Rand) { simulatePools(w, rng, NewHillClimber(Bounds{Min: 1, Start: 8})) }, "e7580efd0fe59918"},
		"hill climber from the ceiling": {func(w io.Writer, rng *rand.Rand) { simulatePools(w, rng, NewHillClimber(Bounds{})) }, "d16c61654c58aeff"},
		"gradient":                      {func(w io.Writer, rng *rand.Rand) { simulatePools(w, rng, NewGradient(Bounds{Min: 2})) }, "43ebab2cb9182586"},
		"fit":                           {func(w io.Writer, rng *rand.Rand) { simulatePools(w, rng, NewUSL(Bounds{Min: 2, Start: 10})) }, "cbb5e9b30b750cfb"},
		"fixed":                         {func(w io.Writer, rng *rand.Rand) { simulatePools(w, rng, Bounds{Fixed: 6}.newLimiter()) }, "1fd913618bff7421"},
		"reserve":                       {simulateReserve, "54496c1f993874aa"},
		"arrival gate":                  {simulateArrivalGate, "ee5fbc8f0803090a"},
	} {
		t.Run(name, func(t *testing.T) {
			h := sha256.New()
			for seed := range uint64(3) {
				c.simulate(h, rand.New(rand.NewPCG(seed, 30)))
			}
			if got := fmt.Sprintf("%x", h.Sum(nil)[:8]); got != c.want {
				t.Errorf("digest %s, want %s", got, c.want)
			}
		})
	}
}

// simulatePools simulates three minutes of requests on a machine whose knee moves, with a reload of the pools in between.
func simulatePools(w io.Writer, rng *rand.Rand, l Limiter) {
	cfg := Config{Pools: []Pool{{Name: "a", Classes: []string{"x"}, Weight: 4, Floor: 0.25}, {Name: "b", Classes: []string{"y", "z"}, Weight: 1, Floor: 0.1},
		{Name: "c", Weight: 0, Floor: 0.05}}}
	controller, err := NewWithLimiter(cfg, l)
	if err != nil {
		fmt.Fprintln(w, err)
		return
	}
	type run struct {
		id, class string
		endsAt    time.Duration
		callsLeft int
		state     RequestState
	}
	var queued, running []*run
	knee, nextID := 12.0, 0
	for now := time.Duration(0); now < 3*time.Minute; now += 5 * time.Millisecond {
		switch now {
		case 50 * time.Second:
			knee = 5
		case 90 * time.Second:
			cfg.Pools[1].Weight, cfg.Pools[0].Floor = 9, 0.4
			fmt.Fprintln(w, controller.Reload(cfg))
		case 120 * time.Second:
			knee = 20
		}
		for rng.Float64() < 0.25 && len(queued) < 60 {
			r := &run{id: fmt.Sprint(nextID), class: []string{"x", "y", "z", "other"}[rng.IntN(4)], callsLeft: rng.IntN(3)}
			nextID++
			admitted := controller.Admits(r.class)
			fmt.Fprintln(w, r.id, admitted, controller.Queue(r.class))
			if !admitted {
				continue
			}
			controller.Moved(now, r.id, r.class, Queued)
			queued = append(queued, r)
		}
		onCores := 0
		for _, r := range running {
			if r.state == Running {
				onCores++
			}
		}
		burstLength := func() time.Duration {
			slowdown := 1 + max(0, float64(onCores)-knee)/knee*2
			if now > 140*time.Second && now < 150*time.Second {
				slowdown *= 8
			}
			return time.Duration((0.1 + 0.2*rng.Float64()) * slowdown * float64(time.Second))
		}
		for i := 0; i < len(running); i++ {
			r := running[i]
			if now < r.endsAt {
				continue
			}
			switch {
			case r.state == Running && r.callsLeft > 0:
				r.callsLeft--
				r.state, r.endsAt = InCall, now+burstLength()/2
			case r.state == InCall:
				r.state, r.endsAt = Running, now+burstLength()
			default:
				r.state = Finished
				running = append(running[:i], running[i+1:]...)
				i--
			}
			controller.Moved(now, r.id, r.class, r.state)
		}
		for i := 0; i < len(queued); i++ {
			if r := queued[i]; controller.HasCapacity(now, r.class) {
				fmt.Fprintln(w, "runs", r.id)
				r.state, r.endsAt = Running, now+burstLength()
				controller.Moved(now, r.id, r.class, Running)
				running = append(running, r)
				queued = append(queued[:i], queued[i+1:]...)
				i--
			}
		}
		if now%tickInterval == 0 {
			memory := float64(len(queued)) / 66
			controller.Tick(now, Readings{Ceiling: 24, Load: float64(onCores) + 3*rng.Float64(), BookedMemory: memory, ProcessMemory: memory * rng.Float64()})
			fmt.Fprintf(w, "%.6g %.6g %+.6g\n", controller.Limit(), controller.Concurrency("x"), controller.Snapshot(now).Pools[1].Entitlement)
		}
		if now%(5*time.Second) == 0 {
			snapshot := controller.Snapshot(now)
			fmt.Fprintf(w, "%.6g %.6g %.6g %d %s %v %.6g %.6g\n", snapshot.TotalLimit, snapshot.RunLimit, snapshot.Ceiling, snapshot.Running, snapshot.Diagnosis, snapshot.Memory, snapshot.BookedMemory, snapshot.ProcessMemory)
			for _, p := range snapshot.Pools {
				fmt.Fprintf(w, " %s %.6g %.6g %d %d %.6g %.6g %d %d %d %v\n", p.Name, p.Weight, p.Floor, p.Running, p.Queued, p.Demand, p.Entitlement, p.Started,
					p.Borrowed, p.Rejected, p.Starving)
			}
		}
	}
}

// simulateReserve simulates one minute of a front whose connections open, make cheap calls, carry work and close.
func simulateReserve(w io.Writer, rng *rand.Rand) {
	r := NewReserve(ReserveConfig{CheapRate: 300, CheapRatePerPeer: 40}, 40)
	var open []uint64
	lastID := uint64(0)
	for now := time.Duration(0); now < time.Minute; now += time.Millisecond {
		switch n := rng.IntN(100); {
		case n < 2 && len(open) == 40:
			id, ok := r.Evict(now)
			fmt.Fprintln(w, "victim", id, ok)
		case n < 3 && len(open) < 40:
			lastID++
			open = append(open, lastID)
			r.Opened(now, lastID)
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
	snapshot := r.Snapshot()
	fmt.Fprintln(w, snapshot.Connections, snapshot.Working, snapshot.Reserved, snapshot.Busy, snapshot.Cheap, snapshot.Delayed, snapshot.WorkRejected, snapshot.Evicted, r.Reserved(), ReserveConfig{})
}

// simulateArrivalGate simulates arrivals of which most are rejected.
func simulateArrivalGate(w io.Writer, rng *rand.Rand) {
	var gate ArrivalGate
	for now := time.Duration(0); now < 20*time.Second; now += time.Duration(rng.IntN(12)) * time.Millisecond {
		closed := gate.Closed(now)
		fmt.Fprintln(w, closed, gate.ClosedUntil())
		switch {
		case closed:
		case rng.IntN(30) == 0:
			gate.Accepted()
		default:
			gate.Rejected(now)
		}
	}
}
