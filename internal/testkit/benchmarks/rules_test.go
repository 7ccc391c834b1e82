package benchmarks

import (
	"testing"
)

// Runs 3 of the schedules over real processes, of which the benchmark runs hundreds, with 3 members, 4 routers and 6 servers.
func TestRulesSchedules(t *testing.T) {
	bin, err := buildCommands(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	rig, err := newRulesRig(bin, t.TempDir(), 6, 4)
	defer rig.Stop()
	if err != nil {
		t.Fatal(err)
	}
	var sum rulesOutcome
	for seed := range uint64(3) {
		sum.add(rig.schedule(seed + 1))
	}
	for _, s := range sum.violations {
		t.Error(s)
	}
	if sum.overCapacity > 0 || sum.changes < 3 || sum.served < 20 || sum.samples < 20 {
		t.Errorf("%+v", sum)
	}
}

// Runs 2 schedules with a map in parts. Members are down for a while, deposed leaders return, and parts are damaged on the way to
// routers. Routers may only apply and store versions that the group had, and no acknowledged change may get lost.
func TestPartsSchedules(t *testing.T) {
	bin, err := buildCommands(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	rig, err := newPartsFaultRig(bin, t.TempDir(), 6, 4, 700)
	defer rig.Stop()
	if err != nil {
		t.Fatal(err)
	}
	var sum rulesOutcome
	for seed := range uint64(2) {
		sum.add(rig.schedule(seed + 1))
	}
	for _, s := range sum.violations {
		t.Error(s)
	}
	if sum.overCapacity > 0 || sum.served < 10 || rig.total.activeMaps < 2 || rig.total.acknowledged < 1 || rig.total.activations < 8 {
		t.Errorf("outcome %+v, totals %+v, want none over capacity, 10 served, 2 active maps, 1 acknowledged and 8 activations", sum, rig.total)
	}
}
