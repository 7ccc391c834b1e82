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

// During an upgrade, holders of two builds work on one journal in turn. If they read it differently, a rollout would break off or
// evacuate too many servers. The fixture is a journal of an earlier build whose holder stopped during a rollout: s0 is out, and the
// command to s2 is intended and may have been sent. Every write and command of this build's holder must equal that of the earlier
// build's next holder, byte by byte.
func TestRolloutJournalOfAnEarlierBuild(t *testing.T) {
	j := journalFixture(t, "conductor")
	servers := []RolloutServer{{Name: "s0", Cell: "a", Admin: "m0"}, {Name: "s1", Cell: "a", Admin: "m1"}, {Name: "s2", Cell: "b", Admin: "m2"}}
	table := lease.NewTable(0)
	table.Duties["conductor"] = &lease.Duty{Name: "conductor", Epoch: 6, Holder: "b#1"}
	var rollout Rollout
	var log strings.Builder
	evacuated := map[string]bool{"s0": true}
	for now := 100 * time.Millisecond; j.Current() != nil; now += 100 * time.Millisecond {
		if now > time.Minute {
			t.Fatalf("the rollout did not finish within a minute:\n%s", &log)
		}
		readiness := map[string]Readiness{}
		for _, s := range servers {
			readiness[s.Name] = Readiness{ProbedAt: now, Reachable: true, Ready: !evacuated[s.Name]}
		}
		action := rollout.Next(j, 6, servers, readiness, now)
		if action.Kind == SendCommand {
			evacuated[action.Command.Server] = action.Command.Evacuate
			fmt.Fprintf(&log, "%v %s %s %s %v\n", now, action.Kind, action.Command.Server, action.Command.Admin, action.Command.Evacuate)
			rollout.RecordCommand(action.Command.Server, true)
			if action.Command.Server == "s1" && action.Command.Evacuate {
				rollout.ObserveLoad(WeightedLoad{100, 40}, 0.5)
				rollout.ObserveLoad(WeightedLoad{100, 40}, 0.5)
				rollout.ObserveLoad(WeightedLoad{100, 40}, 0.5)
			}
		}
		if action.Kind == WriteJournal {
			fmt.Fprintf(&log, "%v %s ", now, action.Kind)
			applyWrite(t, &log, j, table, action.Write, "conductor", 6)
		}
	}
	compare(t, log.String(), "conductor")
}

// The same upgrade for Placement: the earlier holder planned version 5 and has not published it.
func TestPlacementJournalOfAnEarlierBuild(t *testing.T) {
	j := journalFixture(t, "keeper")
	table := lease.NewTable(0)
	table.Duties["keeper"] = &lease.Duty{Name: "keeper", Epoch: 6, Holder: "b#1"}
	current := &cells.Map{Version: 4, KeyWindow: time.Second, Lease: time.Second, CallerTimeout: time.Second,
		Cells:   []cells.Cell{{Name: "a", Capacity: 10}, {Name: "b", Capacity: 10}},
		Servers: []cells.Server{{Name: "s", Addr: "x", Cell: "a", Weight: 1}, {Name: "u", Addr: "y", Cell: "b", Weight: 1}},
		Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}}
	placement := Placement{Codec: Codec{
		Format: func(m *cells.Map) []byte { return fmt.Appendf(nil, `{"version":%d}`, m.Version) },
		Parse: func(b []byte) (*cells.Map, error) {
			m := *current
			return &m, json.Unmarshal(b, &struct{ Version *int }{&m.Version})
		},
	}}
	published := PublishedMap{Map: current, Raw: []byte(`{"version":4}`), HighestVersion: 4}
	var log strings.Builder
	for n := 0; j.Current() != nil; n++ {
		if n > 100 {
			t.Fatalf("unfinished items after 100 actions:\n%s", &log)
		}
		action := placement.Next(j, published, 6, time.UnixMilli(1e12))
		switch action.Kind {
		case WriteJournal:
			fmt.Fprintf(&log, "%s ", action.Kind)
			applyWrite(t, &log, j, table, action.Write, "keeper", 6)
			if action.Write.Document != "" {
				current.Version = published.HighestVersion
				published.Raw, published.VersionEntry = []byte(action.Write.Document), nil
			}
		case Publish, Withdraw:
			fmt.Fprintf(&log, "%s %d %s\n", action.Kind, action.Version, action.Raw)
			published.HighestVersion, published.VersionEntry = action.Version, action.Raw
			if action.Kind == Withdraw {
				published.VersionEntry = []byte("withdrawn")
			}
		default:
			t.Fatalf("unexpected action %s:\n%s", action.Kind, &log)
		}
	}
	compare(t, log.String(), "keeper")
}

// Holders of other builds read the arguments and plans of items, so their JSON must not change.
func TestRequestsAsEarlierBuildsWroteThem(t *testing.T) {
	id, removal, ok := RemovalRequest("s9", 3, Dead, 4*time.Second)
	if id != "gone-s9-3" || !ok {
		t.Error(id, ok)
	}
	for _, c := range []struct {
		v    any
		want string
	}{
		{removal, `{"server":"s9","why":"all routers that report have said dead for 4s"}`},
		{MoveRequest{"t", "b", 2}, `{"tenant":"t","to":"b","shard":2}`},
		{MoveRequest{Tenant: "t"}, `{"tenant":"t"}`},
		{RolloutSpec{[]string{"s"}, 1, 2, 3, 4, 0.5}, `{"servers":["s"],"cell_most":1,"all_most":2,"dwell_ms":3,"back_ms":4,"worth_least":0.5}`},
		{RolloutProgress{[]RolloutServer{{"s", "c", "m", Returning}}, "why"}, `{"members":[{"name":"s","cell":"c","mgmt":"m","stage":"returning"}],"stopped":"why"}`},
	} {
		got, err := json.Marshal(c.v)
		if err != nil || string(got) != c.want {
			t.Errorf("got %s, %v, want %s", got, err, c.want)
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
		t.Errorf("decoded and encoded again, %v\n got %s\nwant %s", err, again, b)
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

// A change of the code must not change the decisions of a rollout. 600 random rollouts run with unreachable servers, missing probes, late
// or no returns, changes of the holder, directives and overload. The digest of their decisions and writes must equal that of an
// earlier build.
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

// randomRollout simulates one rollout with random faults, writes its decisions to log, and returns the final state of its item.
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
	evacuated, unreachable, readyAt := map[string]bool{}, map[string]bool{}, map[string]time.Duration{}
	for i := range 2 + rng.IntN(4) {
		s := RolloutServer{Name: fmt.Sprint("s", i), Cell: fmt.Sprint("c", i%2), Admin: fmt.Sprint("m", i)}
		servers = append(servers, s)
		unreachable[s.Name] = rng.IntN(12) == 0
	}
	epoch := lease.Epoch(1)
	table := lease.NewTable(0)
	table.Duties["conductor"] = &lease.Duty{Name: "conductor", Epoch: epoch, Holder: "b#1"}
	direct := func(directive string) {
		if _, err := j.SetDirective("r", directive); err != nil && err.Error() != "it is being aborted" {
			t.Fatal(err)
		}
	}
	var rollout Rollout
	for now := 50 * time.Millisecond; now < 40*time.Second && j.Current() != nil; now += 50 * time.Millisecond {
		switch event := rng.IntN(400); {
		case event < 4: // another holder, without the state of the earlier one
			epoch++
			rollout = Rollout{}
			table.Duties["conductor"].Epoch = epoch
		case event < 6:
			direct([]string{"pause", "resume", "abort"}[rng.IntN(3)])
		case event < 8:
			direct("resume")
		case event < 20:
			rollout.ObserveLoad(WeightedLoad{float64(20 + rng.IntN(100)), float64(rng.IntN(80))}, 0.5)
		case event < 24:
			name := servers[rng.IntN(len(servers))].Name
			unreachable[name] = !unreachable[name]
		}
		readiness := map[string]Readiness{}
		for _, s := range servers {
			if rng.IntN(20) > 0 {
				readiness[s.Name] = Readiness{ProbedAt: now - time.Duration(rng.IntN(2000))*time.Millisecond, Reachable: !unreachable[s.Name] || rng.IntN(4) == 0, Ready: !evacuated[s.Name] && now >= readyAt[s.Name]}
			}
		}
		action := rollout.Next(j, uint64(epoch), servers, readiness, now)
		fmt.Fprintln(log, now, action.Kind, action.Command.Server, action.Command.Admin, action.Command.Evacuate, action.Version, string(action.Raw))
		if action.Kind == SendCommand {
			accepted := !unreachable[action.Command.Server] && rng.IntN(5) > 0
			if accepted || rng.IntN(2) == 0 {
				evacuated[action.Command.Server] = action.Command.Evacuate
				readyAt[action.Command.Server] = now + time.Duration(rng.IntN(900))*time.Millisecond
			}
			rollout.RecordCommand(action.Command.Server, accepted)
		}
		if action.Kind == WriteJournal {
			w := action.Write
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
	item := j.Item("r")
	fmt.Fprintln(log, string(item.State), item.Note)
	return string(item.State)
}
