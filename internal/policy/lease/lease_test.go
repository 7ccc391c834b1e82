package lease

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation guards against two processes that act for one duty at once, because a process is paused while its lease expires or an
// answer is delayed until another process holds the duty. It has three processes that request one duty, a group whose leader changes,
// messages that are delayed, lost and delivered twice, processes that are paused, and clocks that drift within the bound. In true time
// no two processes hold the duty at once, and epochs never decrease. With any one of the guards disabled, it finds two holders.
type simulation struct {
	terms       Terms
	table       *Table
	lessor      *Lessor
	leaderRate  float64 // rate of the leader's clock, relative to true time
	holders     []*Holder
	clockRates  []float64
	pausedUntil []int // for each process, the step at which its pause ends
	now         time.Duration
	inFlight    []message
	guards      guards
	lastEpoch   Epoch
}

type guards struct {
	holderSubtractsDrift bool // subtracts the drift, and counts from before the request
	leaderWaitsFullTTL   bool // waits a whole lease plus the drift
	newLeaderWaits       bool // waits a whole lease from its election
	expiringNotRenewed   bool // refuses to renew a holding whose end was proposed
}

type message struct {
	step        int // the step at which the message arrives
	holder      int
	request     Request
	requestedAt time.Duration
	reply       bool
	duty        Duty
	refused     bool
}

func (s *simulation) holderClock(i int) time.Duration {
	return time.Duration(float64(s.now) * s.clockRates[i])
}
func (s *simulation) leaderClock() time.Duration { return time.Duration(float64(s.now) * s.leaderRate) }

// answerRequest returns the answer of the group's leader and whether the request was refused. Package member takes several steps for
// this; the simulation takes one.
func (s *simulation) answerRequest(request Request) (Duty, bool) {
	d := s.table.Duties[request.Duty]
	if d != nil && (request.Op == Renew || request.Op == Acquire && (d.Holder == request.Process || slices.Contains(d.Queue, request.Process))) {
		expiring := d.Holder == request.Process && !s.lessor.Renew(request.Duty, d.Epoch, request.Op != Renew, s.leaderClock())
		if !s.guards.expiringNotRenewed {
			expiring = false
		}
		s.lessor.RecordWaiter(request.Duty, request.Process, s.leaderClock())
		return *d, expiring || request.Op == Renew && (d.Holder != request.Process || d.Epoch != request.Epoch)
	}
	duty, err := s.table.Apply(request)
	s.lessor.RecordGrant(duty.Name, duty.Epoch, s.leaderClock())
	return duty, err != nil
}

// activeHolders returns the processes that believe they hold the duty now.
func (s *simulation) activeHolders() (list []int) {
	for i, h := range s.holders {
		if _, ok := h.Holds(s.holderClock(i)); ok {
			list = append(list, i)
		}
	}
	return list
}

// drawFunc returns a random number between low and high, both included. It comes from rapid, which shrinks failing cases, or from a
// seeded generator.
type drawFunc func(low, high int, what string) int

func simulate(draw drawFunc, g guards) (err error) {
	terms := Terms{TTL: 300 * time.Millisecond, Drift: 0.1}
	s := &simulation{terms: terms, table: NewTable(1), guards: g, leaderRate: 1 + 0.1*float64(draw(-9, 9, "leader clock rate"))/10}
	holderTerms, lessorTerms := terms, terms
	if !g.holderSubtractsDrift {
		holderTerms.Drift = 0
		lessorTerms.Drift = 0
	}
	if !g.leaderWaitsFullTTL {
		lessorTerms.TTL /= 2
	}
	s.lessor = NewLessor(lessorTerms)
	s.lessor.Promote(0)
	for i := range 3 {
		s.holders = append(s.holders, NewHolder("d", fmt.Sprint("p", i), holderTerms))
		s.clockRates = append(s.clockRates, 1+0.1*float64(draw(-9, 9, "clock rate"))/10)
		s.pausedUntil = append(s.pausedUntil, 0)
	}
	pending := []Request{} // requests of Overdue that were proposed and not applied yet
	loss := draw(0, 60, "loss")
	maxDelay := 30 * draw(0, 1, "long delays") // longest delay of a message, in steps
	for step := range draw(50, 250, "steps") {
		s.now += 10 * time.Millisecond
		switch event := draw(0, 99, "event"); {
		case event < 2: // another member becomes the leader
			s.lessor.Demote()
			s.lessor.Promote(s.leaderClock())
			if !g.newLeaderWaits {
				s.lessor.leadingSince = 0
			}
			pending = nil // the previous leader's proposals are lost
		case event < 5:
			i := draw(0, 2, "process")
			s.pausedUntil[i] = step + draw(1, 60, "pause")
		case event < 6:
			if d := s.table.Duties["d"]; d != nil && len(d.Queue) > 0 {
				if _, err := s.table.Apply(Request{Op: Transfer, Duty: "d", Process: d.Queue[len(d.Queue)-1]}); err != nil {
					return fmt.Errorf("transfer to a waiting process: %w", err)
				}
			}
		}
		for i, h := range s.holders {
			if s.pausedUntil[i] > step {
				continue
			}
			if _, ok := h.Holds(s.holderClock(i)); ok && h.TransferRequested() {
				h.Release(s.holderClock(i), true)
			}
			request, ok := h.NextRequest(s.holderClock(i))
			if ok && draw(0, 99, "lost") >= loss {
				copies := 1 + draw(0, 9, "delivered twice")/9
				for range copies {
					s.inFlight = append(s.inFlight, message{step: step + draw(0, maxDelay, "delay"), holder: i, request: request, requestedAt: s.holderClock(i)})
				}
			}
		}
		var remaining []message
		for _, m := range s.inFlight {
			switch {
			case m.step > step || m.reply && s.pausedUntil[m.holder] > step:
				remaining = append(remaining, m)
			case m.reply:
				s.holders[m.holder].HandleAnswer(m.requestedAt, m.request, m.duty, m.refused, s.holderClock(m.holder))
			default:
				m.duty, m.refused = s.answerRequest(m.request)
				m.reply, m.step = true, step+draw(0, maxDelay/3, "reply delay")
				remaining = append(remaining, m)
			}
		}
		s.inFlight = remaining
		for _, request := range pending {
			if d, err := s.table.Apply(request); err == nil {
				s.lessor.RecordGrant(d.Name, d.Epoch, s.leaderClock())
			}
		}
		pending = s.lessor.Overdue(s.table, s.leaderClock())
		if d := s.table.Duties["d"]; d != nil {
			if d.Epoch < s.lastEpoch {
				return fmt.Errorf("epoch decreased to %v from %v", d.Epoch, s.lastEpoch)
			}
			s.lastEpoch = d.Epoch
		}
		if active := s.activeHolders(); len(active) > 1 {
			return fmt.Errorf("processes %v hold the duty at once", active)
		}
	}
	return nil
}

var allGuards = guards{true, true, true, true}

func TestOneHolderAtATime(t *testing.T) {
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 18))
		if err := simulate(func(low, high int, _ string) int { return low + rng.IntN(high-low+1) }, allGuards); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(low, high int, what string) int { return rapid.IntRange(low, high).Draw(t, what) }
		if err := simulate(draw, allGuards); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a simulation too weak to notice that a guard was removed by mistake. Each guard is disabled in turn, and the
// simulation must find two holders within a bounded number of runs.
func TestEachGuardOfOneHolderIsNeeded(t *testing.T) {
	for name, g := range map[string]guards{
		"the holder ignores the drift":   {false, true, true, true},
		"the leader waits half a lease":  {true, false, true, true},
		"a new leader does not wait":     {true, true, false, true},
		"an expiring holding is renewed": {true, true, true, false},
	} {
		found, runs := errors.New("two holders were never found"), 0
		for seed := range 20000 {
			runs++
			rng := rand.New(rand.NewPCG(uint64(seed), 18))
			if simulate(func(low, high int, _ string) int { return low + rng.IntN(high-low+1) }, g) != nil {
				found = nil
			}
			if found == nil {
				break
			}
		}
		if found != nil {
			t.Errorf("%s: %v", name, found)
		}
		t.Logf("%s: %d simulations were run", name, runs)
	}
}

// Waiting processes get the duty in queue order, a named successor goes first, a stale epoch is refused with an error that names it, and
// RaiseEpoch ends the current holding.
func TestTableQueuesTransfersAndRefusesStaleEpochs(t *testing.T) {
	table := NewTable(2)
	apply := func(op Op, process string, epoch Epoch) (Duty, error) {
		return table.Apply(Request{Op: op, Duty: "d", Process: process, Epoch: epoch})
	}
	mustApply := func(op Op, process string) Duty {
		t.Helper()
		d, err := apply(op, process, 0)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	for _, process := range []string{"a", "b", "c", "a"} {
		mustApply(Acquire, process)
	}
	if d, err := apply(Release, "b", BaseEpoch(2)+1); !errors.Is(err, ErrStaleEpoch) || d.Holder != "a" {
		t.Errorf("Release by a process that does not hold the duty: %+v, %v", d, err)
	}
	mustApply(Transfer, "c")
	if d, err := apply(Release, "a", BaseEpoch(2)+1); err != nil || d.Holder != "c" || d.Epoch != BaseEpoch(2)+2 || d.Successor != "" {
		t.Errorf("Release after a transfer to c: %+v, %v", d, err)
	}
	if _, err := apply(Expire, "", BaseEpoch(2)+1); err == nil || err.Error() != "stale epoch 2.1 of d: it has had 2.2" {
		t.Error(err)
	}
	if d, err := apply(RaiseEpoch, "", BaseEpoch(3)); err != nil || d.Holder != "b" || d.Epoch != BaseEpoch(3)+1 {
		t.Errorf("RaiseEpoch: %+v, %v", d, err)
	}
	if table.CheckHolder("d", "c", BaseEpoch(2)+2) == nil || table.CheckHolder("d", "b", BaseEpoch(3)+1) != nil {
		t.Error("CheckHolder accepts a former holder or refuses the current one")
	}
	mustApply(Acquire, "e")
	if d := mustApply(Dequeue, "e"); len(d.Queue) != 0 {
		t.Errorf("Dequeue left a process in the queue: %+v", d)
	}
	if _, err := apply("nonsense", "", 0); !errors.Is(err, ErrUnknownOp) {
		t.Error(err)
	}
	if _, err := apply(Transfer, "nobody", 0); err == nil {
		t.Error("a transfer to a process that does not wait was accepted")
	}
}
