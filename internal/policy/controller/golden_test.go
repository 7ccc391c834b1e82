package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/lease"
)

// Owners of two builds follow each other in an upgrade, over one journal. The journals here are as an earlier build wrote them, its
// owner stopped in the middle: s0 is out, the order for s2 is meant and may have been given. An owner of this build goes on from
// there, and every write and order is what the earlier build's next owner made of it, to the byte.
func TestRolloutJournalOfAnEarlierBuild(t *testing.T) {
	j := journalFixture(t, "conductor")
	servers := []RolloutServer{{Name: "s0", Cell: "a", Admin: "m0"}, {Name: "s1", Cell: "a", Admin: "m1"}, {Name: "s2", Cell: "b", Admin: "m2"}}
	table := lease.NewTable(0)
	table.Duties["conductor"] = &lease.Duty{Name: "conductor", Epoch: 6, Holder: "b#1"}
	var c Rollout
	var log strings.Builder
	out := map[string]bool{"s0": true}
	for now := 100 * time.Millisecond; j.Current() != nil; now += 100 * time.Millisecond {
		if now > time.Minute {
			t.Fatalf("not over in a minute:\n%s", &log)
		}
		seen := map[string]Readiness{}
		for _, s := range servers {
			seen[s.Name] = Readiness{ProbedAt: now, Reachable: true, Ready: !out[s.Name]}
		}
		act := c.Next(j, 6, servers, seen, now)
		if act.Kind == SendCommand {
			out[act.Command.Server] = act.Command.Evacuate
			fmt.Fprintf(&log, "%v %s %s %s %v\n", now, act.Kind, act.Command.Server, act.Command.Admin, act.Command.Evacuate)
			c.RecordCommand(act.Command.Server, true)
			if act.Command.Server == "s1" && act.Command.Evacuate {
				c.ObserveLoad(WeightedLoad{100, 40}, 0.5)
				c.ObserveLoad(WeightedLoad{100, 40}, 0.5)
				c.ObserveLoad(WeightedLoad{100, 40}, 0.5)
			}
		}
		if act.Kind == WriteJournal {
			fmt.Fprintf(&log, "%v %s ", now, act.Kind)
			applyWrite(t, &log, j, table, act.Write, "conductor", 6)
		}
	}
	compare(t, log.String(), "conductor")
}

// The same of the map's keeper: version 5 was planned by the owner before and is not there yet.
func TestPlacementJournalOfAnEarlierBuild(t *testing.T) {
	j := journalFixture(t, "keeper")
	table := lease.NewTable(0)
	table.Duties["keeper"] = &lease.Duty{Name: "keeper", Epoch: 6, Holder: "b#1"}
	current := &cells.Map{Version: 4, KeyWindow: time.Second, Lease: time.Second, CallerTimeout: time.Second,
		Cells:   []cells.Cell{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}},
		Servers: []cells.Server{{Name: "s", Addr: "x", Cell: "a", Weight: 1}, {Name: "u", Addr: "y", Cell: "b", Weight: 1}},
		Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}}
	k := Placement{Codec: Codec{
		Format: func(m *cells.Map) []byte { return fmt.Appendf(nil, `{"version":%d}`, m.Version) },
		Parse: func(b []byte) (*cells.Map, error) {
			m := *current
			return &m, json.Unmarshal(b, &struct{ Version *int }{&m.Version})
		},
	}}
	head := PublishedMap{Map: current, Raw: []byte(`{"version":4}`), HighestVersion: 4}
	var log strings.Builder
	for n := 0; j.Current() != nil; n++ {
		if n > 100 {
			t.Fatalf("not over:\n%s", &log)
		}
		act := k.Next(j, head, 6, time.UnixMilli(1e12))
		switch act.Kind {
		case WriteJournal:
			fmt.Fprintf(&log, "%s ", act.Kind)
			applyWrite(t, &log, j, table, act.Write, "keeper", 6)
			if act.Write.Document != "" {
				current.Version = head.HighestVersion
				head.Raw, head.Occupant = []byte(act.Write.Document), nil
			}
		case Publish, Withdraw:
			fmt.Fprintf(&log, "%s %d %s\n", act.Kind, act.Version, act.Raw)
			head.HighestVersion, head.Occupant = act.Version, act.Raw
			if act.Kind == Withdraw {
				head.Occupant = []byte("withdrawn")
			}
		default:
			t.Fatalf("act %s:\n%s", act.Kind, &log)
		}
	}
	compare(t, log.String(), "keeper")
}

// What a verdict asks of the keeper, and what a roll asks of the conductor, as it stands in the journal.
func TestRequestsAsEarlierBuildsWroteThem(t *testing.T) {
	id, gone, ok := GoneRequest("s9", 3, Dead, 4*time.Second)
	if id != "gone-s9-3" || !ok {
		t.Error(id, ok)
	}
	for _, c := range []struct {
		v    any
		want string
	}{
		{gone, `{"server":"s9","why":"all routers that report have said dead for 4s"}`},
		{MoveRequest{"t", "b", 2}, `{"tenant":"t","to":"b","shard":2}`},
		{MoveRequest{Tenant: "t"}, `{"tenant":"t"}`},
		{RolloutSpec{[]string{"s"}, 1, 2, 3, 4, 0.5}, `{"servers":["s"],"cell_most":1,"all_most":2,"dwell_ms":3,"back_ms":4,"worth_least":0.5}`},
		{RolloutProgress{[]RolloutServer{{"s", "c", "m", Returning}}, "why"}, `{"members":[{"name":"s","cell":"c","mgmt":"m","stage":"returning"}],"stopped":"why"}`},
	} {
		got, err := json.Marshal(c.v)
		if err != nil || string(got) != c.want {
			t.Errorf("%s, %v, want %s", got, err, c.want)
		}
	}
}

func journalFixture(t *testing.T, name string) *Journal {
	t.Helper()
	b, err := os.ReadFile("testdata/" + name + ".json")
	if err != nil {
		t.Fatal(err)
	}
	j := &Journal{}
	if err := json.Unmarshal(b, j); err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(j)
	if err != nil || string(again) != strings.TrimSpace(string(b)) {
		t.Errorf("read and written again, %v\n got %s\nwant %s", err, again, b)
	}
	return j
}

func applyWrite(t *testing.T, log *strings.Builder, j *Journal, table *lease.Table, w JournalWrite, duty string, epoch lease.Epoch) {
	t.Helper()
	w.Duty, w.Process, w.Epoch, w.Step = duty, "b#1", epoch, j.Step+1
	b, err := json.Marshal(w)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(log, "%s\n", b)
	if err := j.Apply(w, table); err != nil {
		t.Fatal(err)
	}
}

func compare(t *testing.T, got, name string) {
	t.Helper()
	want, err := os.ReadFile("testdata/" + name + ".acts")
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// Rolls under faults: servers that can't be told, are not seen, come back late or never, owners that follow each other, wishes of
// operators, too little served. What is decided in 600 of them, and what is written of it, is what an earlier build decided.
func TestRolloutDecisionsOfAnEarlierBuild(t *testing.T) {
	sum := sha256.New()
	ended := map[string]int{}
	for seed := range uint64(600) {
		ended[randomRollout(t, sum, rand.New(rand.NewPCG(seed, 30)))]++
	}
	t.Log(ended)
	const want = "d421992a25985833547cdc414ec4e2b9363a54bbfc07c2a6806e92f1f2fd9b7a"
	if got := hex.EncodeToString(sum.Sum(nil)); got != want {
		t.Errorf("digest of the decisions %s, want %s", got, want)
	}
}

// randomRollout plays one roll, writes what is decided, and returns how it ended.
func randomRollout(t *testing.T, log io.Writer, rng *rand.Rand) string {
	t.Helper()
	args, err := json.Marshal(RolloutSpec{MaxOutPerCell: 1 + rng.IntN(2), MaxOut: 1 + rng.IntN(3), DwellMS: int64(rng.IntN(600)), ReturnMS: int64(300 + rng.IntN(900)), MinServedShare: float64(rng.IntN(2)) / 2})
	if err != nil {
		t.Fatal(err)
	}
	j := &Journal{Duty: "conductor"}
	if _, err := j.Submit("r", KindRollout, args); err != nil {
		t.Fatal(err)
	}
	var servers []RolloutServer
	out, broken, late := map[string]bool{}, map[string]bool{}, map[string]time.Duration{}
	for i := range 2 + rng.IntN(4) {
		s := RolloutServer{Name: fmt.Sprint("s", i), Cell: fmt.Sprint("c", i%2), Admin: fmt.Sprint("m", i)}
		servers = append(servers, s)
		broken[s.Name] = rng.IntN(12) == 0
	}
	epoch := lease.Epoch(1)
	table := lease.NewTable(0)
	table.Duties["conductor"] = &lease.Duty{Name: "conductor", Epoch: epoch, Holder: "b#1"}
	direct := func(directive string) {
		if _, err := j.Direct("r", directive); err != nil && err.Error() != "it is being aborted" {
			t.Fatal(err)
		}
	}
	var c Rollout
	for now := 50 * time.Millisecond; now < 40*time.Second && j.Current() != nil; now += 50 * time.Millisecond {
		switch x := rng.IntN(400); {
		case x < 4: // another owner, whose clock begins anew
			epoch++
			c = Rollout{}
			table.Duties["conductor"].Epoch = epoch
		case x < 6:
			direct([]string{"pause", "resume", "abort"}[rng.IntN(3)])
		case x < 8:
			direct("resume")
		case x < 20:
			c.ObserveLoad(WeightedLoad{float64(20 + rng.IntN(100)), float64(rng.IntN(80))}, 0.5)
		case x < 24:
			name := servers[rng.IntN(len(servers))].Name
			broken[name] = !broken[name]
		}
		seen := map[string]Readiness{}
		for _, s := range servers {
			if rng.IntN(20) > 0 {
				seen[s.Name] = Readiness{ProbedAt: now - time.Duration(rng.IntN(2000))*time.Millisecond, Reachable: !broken[s.Name] || rng.IntN(4) == 0, Ready: !out[s.Name] && now >= late[s.Name]}
			}
		}
		act := c.Next(j, uint64(epoch), servers, seen, now)
		fmt.Fprintln(log, now, act.Kind, act.Command.Server, act.Command.Admin, act.Command.Evacuate, act.Version, string(act.Raw))
		if act.Kind == SendCommand {
			yes := !broken[act.Command.Server] && rng.IntN(5) > 0
			if yes || rng.IntN(2) == 0 {
				out[act.Command.Server] = act.Command.Evacuate
				late[act.Command.Server] = now + time.Duration(rng.IntN(900))*time.Millisecond
			}
			c.RecordCommand(act.Command.Server, yes)
		}
		if act.Kind == WriteJournal {
			w := act.Write
			w.Duty, w.Process, w.Epoch, w.Step = "conductor", "b#1", epoch, j.Step+1
			b, err := json.Marshal(w)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(log, "%s\n", b)
			if err := j.Apply(w, table); err != nil {
				t.Fatal(err)
			}
		}
	}
	it := j.Item("r")
	fmt.Fprintln(log, string(it.State), it.Note)
	return string(it.State)
}
