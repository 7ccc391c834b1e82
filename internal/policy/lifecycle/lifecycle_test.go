package lifecycle

import (
	"testing"

	"pgregory.net/rapid"
)

// Checks the next state, the result and the reason for every event in every state, and the readiness and health of every state.
func TestEveryEventInEveryState(t *testing.T) {
	rejected := func(s State) Outcome { return Outcome{To: s} }
	accepted := func(s State) Outcome { return Outcome{To: s, OK: true} }
	want := [states][events]Outcome{ //  Up, Evacuate, Rejoin, Leave, End
		Starting:          {accepted(Serving), accepted(EvacuatedStarting), accepted(Starting), accepted(Draining), accepted(Stopped)},
		EvacuatedStarting: {accepted(Evacuated), accepted(EvacuatedStarting), accepted(Starting), accepted(Draining), accepted(Stopped)},
		Serving:           {accepted(Serving), accepted(Evacuated), accepted(Serving), accepted(Draining), accepted(Stopped)},
		Evacuated:         {accepted(Evacuated), accepted(Evacuated), accepted(Serving), accepted(Draining), accepted(Stopped)},
		Draining:          {rejected(Draining), accepted(Draining), rejected(Draining), accepted(Draining), accepted(Stopped)},
		Stopped:           {rejected(Stopped), accepted(Stopped), rejected(Stopped), accepted(Stopped), accepted(Stopped)},
	}
	healthy := [states]bool{Starting: true, Serving: true}
	ready := [states]bool{Serving: true}
	shuttingDown := [states]bool{Draining: true, Stopped: true}
	for s := range states {
		for e := range events {
			if got := s.On(e); got.To != want[s][e].To || got.OK != want[s][e].OK || got.Reason == "" {
				t.Errorf("state %v, event %v: got %+v, want %+v with a reason", s, e, got, want[s][e])
			}
		}
		isReady, reason := s.Ready()
		if isReady != ready[s] || s.Healthy() != healthy[s] || s.ShuttingDown() != shuttingDown[s] || reason == "" {
			t.Errorf("state %v: ready %v, healthy %v, shutting down %v, reason %q", s, isReady, s.Healthy(), s.ShuttingDown(), reason)
		}
	}
}

// In any order of events, a shutdown is final, health checks fail from an evacuation to the rejoin, and a service that is up and not
// evacuated is ready.
func TestOrders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, up, evacuated, leaving := Starting, false, false, false
		for _, e := range rapid.SliceOf(rapid.SampledFrom([]Event{WorkerUp, Evacuate, Rejoin, Shutdown, Drained})).Draw(t, "events") {
			outcome := s.On(e)
			s = outcome.To
			up, leaving = up || e == WorkerUp, leaving || e == Shutdown || e == Drained
			evacuated = (evacuated || e == Evacuate) && e != Rejoin
			ready, _ := s.Ready()
			if leaving != s.ShuttingDown() || ready != (up && !evacuated && !leaving) || !leaving && s.Healthy() == evacuated {
				t.Fatalf("after event %v: state %v, with up %v, evacuated %v, leaving %v", e, s, up, evacuated, leaving)
			}
			if (e == Evacuate || e == Rejoin) && !leaving && !outcome.OK {
				t.Fatalf("%v was rejected", e)
			}
		}
	})
}
