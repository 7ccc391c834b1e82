package lifecycle

import (
	"testing"

	"pgregory.net/rapid"
)

// Every pair of state and event, whole: where it leads and what the operator is told.
func TestEveryEventInEveryState(t *testing.T) {
	no := func(s State) Outcome { return Outcome{To: s} }
	yes := func(s State) Outcome { return Outcome{To: s, OK: true} }
	want := [states][events]Outcome{ //  Up, Evacuate, Rejoin, Leave, End
		Starting:          {yes(Serving), yes(EvacuatedStarting), yes(Starting), yes(Draining), yes(Stopped)},
		EvacuatedStarting: {yes(Evacuated), yes(EvacuatedStarting), yes(Starting), yes(Draining), yes(Stopped)},
		Serving:           {yes(Serving), yes(Evacuated), yes(Serving), yes(Draining), yes(Stopped)},
		Evacuated:         {yes(Evacuated), yes(Evacuated), yes(Serving), yes(Draining), yes(Stopped)},
		Draining:          {no(Draining), yes(Draining), no(Draining), yes(Draining), yes(Stopped)},
		Stopped:           {no(Stopped), yes(Stopped), no(Stopped), yes(Stopped), yes(Stopped)},
	}
	healthy := [states]bool{Starting: true, Serving: true}
	ready := [states]bool{Serving: true}
	leaving := [states]bool{Draining: true, Stopped: true}
	for s := range states {
		for e := range events {
			if a := s.On(e); a.To != want[s][e].To || a.OK != want[s][e].OK || a.Reason == "" {
				t.Errorf("%v, %v: %+v, want %+v and why", s, e, a, want[s][e])
			}
		}
		r, why := s.Ready()
		if r != ready[s] || s.Healthy() != healthy[s] || s.ShuttingDown() != leaving[s] || why == "" {
			t.Errorf("%v: ready %v, healthy %v, leaving %v, %q", s, r, s.Healthy(), s.ShuttingDown(), why)
		}
	}
}

// Whatever the order of events: leaving is final, health is bad from an evacuation to the rejoin, and a service that
// is up and rejoined is ready.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, up, out, left := Starting, false, false, false
		for _, e := range rapid.SliceOf(rapid.SampledFrom([]Event{WorkerUp, Evacuate, Rejoin, Shutdown, Drained})).Draw(t, "events") {
			a := s.On(e)
			s = a.To
			up, left = up || e == WorkerUp, left || e == Shutdown || e == Drained
			out = (out || e == Evacuate) && e != Rejoin
			r, _ := s.Ready()
			if left != s.ShuttingDown() || r != (up && !out && !left) || !left && s.Healthy() == out {
				t.Fatalf("after %v: %v, with up %v, out %v, left %v", e, s, up, out, left)
			}
			if (e == Evacuate || e == Rejoin) && !left && !a.OK {
				t.Fatalf("%v is refused", e)
			}
		}
	})
}
