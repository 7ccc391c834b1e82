package controller

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/lease"
)

// A rollout that continues while the remaining servers can't carry the load causes shed requests until it ends. It must stop once the
// served share is too low, give the reason, and let the evacuated server rejoin.
func TestRolloutStopsWhereTooLittleIsServed(t *testing.T) {
	j := &Journal{Duty: RolloutDuty}
	args, _ := json.Marshal(RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, ReturnMS: 1000, MinServedShare: 0.9})
	submit(t, j, "r", KindRollout, args)
	servers := []RolloutServer{{Name: "s0", Cell: "a", Admin: "x"}, {Name: "s1", Cell: "b", Admin: "y"}}
	var rollout Rollout
	table := lease.NewTable(0)
	table.Duties[RolloutDuty] = &lease.Duty{Name: RolloutDuty, Epoch: 1, Holder: "o"}
	now, commands := time.Duration(0), ""
	for range 100 {
		now += 100 * time.Millisecond
		readiness := map[string]Readiness{}
		for _, s := range servers {
			readiness[s.Name] = Readiness{ProbedAt: now, Reachable: true, Ready: !strings.HasSuffix(commands, s.Name+" out ")}
		}
		switch action := rollout.Next(j, 1, servers, readiness, now); action.Kind {
		case WriteJournal:
			action.Write.Duty, action.Write.Process, action.Write.Epoch, action.Write.Step = RolloutDuty, "o", 1, j.Step+1
			if err := j.Apply(action.Write, table); err != nil {
				t.Fatal(err)
			}
		case SendCommand:
			commands += action.Command.Server + map[bool]string{true: " out ", false: " back "}[action.Command.Evacuate]
			rollout.RecordCommand(action.Command.Server, true)
			if action.Command.Evacuate {
				rollout.ObserveLoad(WeightedLoad{30, 0}, 0.9) // below minRequestedWeight: ignored
				for range maxLowShareCount {
					rollout.ObserveLoad(WeightedLoad{100, 80}, 0.9)
				}
			}
		}
	}
	item := j.Item("r")
	if item.State != Failed || item.Note != "80% of the worth was served, at least 90% has to be" || commands != "s0 out s0 back " {
		t.Errorf("item %s, note %q, after the commands %q", item.State, item.Note, commands)
	}
	for _, spec := range []RolloutSpec{{}, {MaxOutPerCell: 1}, {MaxOutPerCell: 1, MaxOut: 1}, {MaxOutPerCell: 1, MaxOut: 1, ReturnMS: 1, MinServedShare: 2}, {MaxOutPerCell: 1, MaxOut: 1, ReturnMS: 1, DwellMS: -1}} {
		if spec.Check() == nil {
			t.Errorf("invalid spec accepted: %+v", spec)
		}
	}
}

// A server of the cell is down for another reason, and a rollout that evacuates one more leaves the cell short of capacity. A server
// that is not ready counts as out, also one outside the rollout and one without a recent observation.
func TestServerThatIsNotThereCountsAsOut(t *testing.T) {
	servers := []RolloutServer{{Name: "s0", Cell: "a", Admin: "x"}, {Name: "s1", Cell: "a", Admin: "y"}, {Name: "s2", Cell: "b", Admin: "z"}}
	p := RolloutProgress{Servers: []RolloutServer{servers[0]}}
	now := time.Minute
	ready := Readiness{ProbedAt: now - time.Second, Reachable: true, Ready: true}
	for name, c := range map[string]struct {
		maxOut    int
		readiness map[string]Readiness
		want      bool
	}{
		"all ready":             {1, map[string]Readiness{"s0": ready, "s1": ready, "s2": ready}, true},
		"same cell, not ready":  {2, map[string]Readiness{"s0": ready, "s1": {ProbedAt: now}, "s2": ready}, false},
		"other cell, not ready": {2, map[string]Readiness{"s0": ready, "s1": ready, "s2": {ProbedAt: now}}, true},
		"bound on all servers":  {1, map[string]Readiness{"s0": ready, "s1": ready, "s2": {ProbedAt: now}}, false},
		"never observed":        {2, map[string]Readiness{"s0": ready, "s2": ready}, false},
		"observation too old":   {2, map[string]Readiness{"s0": ready, "s1": {ProbedAt: time.Second, Reachable: true, Ready: true}, "s2": ready}, false},
		"itself not ready":      {2, map[string]Readiness{"s1": ready, "s2": ready}, false},
	} {
		if got := (rolloutInput{spec: RolloutSpec{MaxOutPerCell: 1, MaxOut: c.maxOut}, progress: p, servers: servers, readiness: c.readiness, now: now}).mayEvacuate(servers[0]); got != c.want {
			t.Errorf("%s: mayEvacuate returned %v", name, got)
		}
	}
}
