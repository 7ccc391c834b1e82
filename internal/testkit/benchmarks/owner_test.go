package benchmarks

import "testing"

// Runs 1000 of the simulated schedules, of which the benchmark runs 100,000. The schedules also have to detect the faults
// that occur if servers ignore the fence, and if a published version of the map can be overwritten.
func TestOwnerSchedules(t *testing.T) {
	const n = 1000
	finished, ownerChanges, err := SimOwners(1, n, nil)
	if err != nil {
		t.Fatal(err)
	}
	if finished < 4*n || ownerChanges < 2*n {
		t.Errorf("only %d rollouts and moves finished and %d changes of owner", finished, ownerChanges)
	}
	for name, edit := range map[string]func(*OwnerSim){
		"no fence":             func(s *OwnerSim) { s.NoFence = true },
		"overwritten versions": func(s *OwnerSim) { s.AllowOverwrite = true },
	} {
		_, _, err := SimOwners(1, 3*n, edit)
		if err == nil {
			t.Errorf("%s: no schedule detected the fault", name)
		}
		t.Logf("%s: %v", name, err)
	}
}
