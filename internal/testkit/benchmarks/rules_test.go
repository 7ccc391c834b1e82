package benchmarks

import (
	"testing"
)

// A few of the schedules that the lab plays hundreds of, over real processes: 3 of the group, 4 routers, 6 servers.
func TestRulesSchedules(t *testing.T) {
	bin, err := buildAll(t.TempDir())
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
	for _, s := range sum.broken {
		t.Error(s)
	}
	if sum.over > 0 || sum.changes < 3 || sum.served < 20 || sum.samples < 20 {
		t.Errorf("%+v", sum)
	}
}

// The same over a map in parts, with members that are gone for a while, old leaders, and parts that are damaged on their way: what
// routers act on and keep is a version that the group had, and what was acknowledged stays.
func TestPartsSchedules(t *testing.T) {
	bin, err := buildAll(t.TempDir())
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
	for _, s := range sum.broken {
		t.Error(s)
	}
	if sum.over > 0 || sum.served < 10 || rig.sum.maps < 2 || rig.sum.acked < 1 || rig.sum.acts < 8 {
		t.Errorf("%+v, %+v", sum, rig.sum)
	}
}
