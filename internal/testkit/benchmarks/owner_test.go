package benchmarks

import "testing"

// A few of the schedules that the lab plays a hundred thousand of; without the fence, or with places that are written
// over, the harm is found among as many.
func TestOwnerSchedules(t *testing.T) {
	const n = 1000
	finished, handed, err := SimOwners(1, n, nil)
	if err != nil {
		t.Fatal(err)
	}
	if finished < 4*n || handed < 2*n {
		t.Errorf("%d rolls and moves finished, %d changes of owner", finished, handed)
	}
	for name, edit := range map[string]func(*OwnerSim){
		"no fence":  func(s *OwnerSim) { s.NoFence = true },
		"no places": func(s *OwnerSim) { s.NoPlaces = true },
	} {
		_, _, err := SimOwners(1, 3*n, edit)
		if err == nil {
			t.Errorf("%s: no harm found", name)
		}
		t.Logf("%s: %v", name, err)
	}
}
