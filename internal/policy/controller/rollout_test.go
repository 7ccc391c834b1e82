package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/lease"
)

// A rollout that goes on while the servers that are left can't carry the load sheds requests until it ends. It stops where too little is
// served, and says so; the server that is out returns.
func TestRolloutStopsWhereTooLittleIsServed(t *testing.T) {
	j := &Journal{Duty: RolloutDuty}
	args, _ := json.Marshal(RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, ReturnMS: 1000, MinServedShare: 0.9})
	submit(t, j, "r", KindRollout, args)
	servers := []RolloutServer{{Name: "s0", Cell: "a", Admin: "x"}, {Name: "s1", Cell: "b", Admin: "y"}}
	var c Rollout
	tab := lease.NewTable(0)
	tab.Duties[RolloutDuty] = &lease.Duty{Name: RolloutDuty, Epoch: 1, Holder: "o"}
	now, orders := time.Duration(0), ""
	for range 100 {
		now += 100 * time.Millisecond
		seen := map[string]Readiness{}
		for _, s := range servers {
			seen[s.Name] = Readiness{ProbedAt: now, Reachable: true, Ready: !strings.HasSuffix(orders, s.Name+" out ")}
		}
		switch a := c.Next(j, 1, servers, seen, now); a.Kind {
		case WriteJournal:
			a.Write.Duty, a.Write.Process, a.Write.Epoch, a.Write.Step = RolloutDuty, "o", 1, j.Step+1
			if err := j.Apply(a.Write, tab); err != nil {
				t.Fatal(err)
			}
		case SendCommand:
			orders += a.Command.Server + map[bool]string{true: " out ", false: " back "}[a.Command.Evacuate]
			c.RecordCommand(a.Command.Server, true)
			if a.Command.Evacuate {
				c.ObserveLoad(WeightedLoad{30, 0}, 0.9) // too little was asked to say anything
				for range maxLowShareCount {
					c.ObserveLoad(WeightedLoad{100, 80}, 0.9)
				}
			}
		}
	}
	it := j.Item("r")
	if it.State != Failed || it.Note != "80% of the worth was served, at least 90% has to be" || orders != "s0 out s0 back " {
		t.Errorf("%s: %s, after %q", it.State, it.Note, orders)
	}
	for _, bad := range []RolloutSpec{{}, {MaxOutPerCell: 1}, {MaxOutPerCell: 1, MaxOut: 1}, {MaxOutPerCell: 1, MaxOut: 1, ReturnMS: 1, MinServedShare: 2}, {MaxOutPerCell: 1, MaxOut: 1, ReturnMS: 1, DwellMS: -1}} {
		if bad.Check() == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// A server of the cell is down for another reason: a rollout that takes one more leaves the cell short. A server that is not there
// counts as out: one of the cell that is no part of the rollout, and one that was observed long ago.
func TestServerThatIsNotThereCountsAsOut(t *testing.T) {
	servers := []RolloutServer{{Name: "s0", Cell: "a", Admin: "x"}, {Name: "s1", Cell: "a", Admin: "y"}, {Name: "s2", Cell: "b", Admin: "z"}}
	p := RolloutProgress{Servers: []RolloutServer{servers[0]}}
	now := time.Minute
	ready := Readiness{ProbedAt: now - time.Second, Reachable: true, Ready: true}
	for name, c := range map[string]struct {
		all  int
		seen map[string]Readiness
		want bool
	}{
		"all there":                {1, map[string]Readiness{"s0": ready, "s1": ready, "s2": ready}, true},
		"another of the cell gone": {2, map[string]Readiness{"s0": ready, "s1": {ProbedAt: now}, "s2": ready}, false},
		"one elsewhere gone":       {2, map[string]Readiness{"s0": ready, "s1": ready, "s2": {ProbedAt: now}}, true},
		"and one in all":           {1, map[string]Readiness{"s0": ready, "s1": ready, "s2": {ProbedAt: now}}, false},
		"never seen":               {2, map[string]Readiness{"s0": ready, "s2": ready}, false},
		"seen long ago":            {2, map[string]Readiness{"s0": ready, "s1": {ProbedAt: time.Second, Reachable: true, Ready: true}, "s2": ready}, false},
		"itself not there":         {2, map[string]Readiness{"s1": ready, "s2": ready}, false},
	} {
		if got := (rolloutInput{spec: RolloutSpec{MaxOutPerCell: 1, MaxOut: c.all}, progress: p, servers: servers, readiness: c.seen, now: now}).mayEvacuate(servers[0]); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
