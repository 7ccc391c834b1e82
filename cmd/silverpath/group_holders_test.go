package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"silverpath/internal/builtinworker"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/testkit/standin/faults"
)

// The holder of the placement duty is stopped at every boundary of its action. Another one takes the duty and the moves are finished,
// each once; then the first wakes: nothing that it does takes effect, and it logs that it has lost the duty.
func TestStoppedPlacementHolderTakesNoEffect(t *testing.T) {
	for _, at := range []string{"check:0", "check:1", "intent:2", "act:2", "check:2", "check:3"} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3)
			dir := testMap(t)
			old := g.owner("old", dir, []string{controller.PlacementDuty}, nil, "SILVERPATH_STOP_AT=keeper:"+at)
			if _, err := old.Await(10*time.Second, 0, "duty.owned"); err != nil {
				t.Fatal(err)
			}
			for i := range 3 {
				g.submit(controller.PlacementDuty, fmt.Sprint("m", i), controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", i), To: "b"})
			}
			if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
				t.Fatal(err)
			}
			next := g.owner("next", dir, []string{controller.PlacementDuty}, nil)
			for i := range 3 {
				if it := g.over(controller.PlacementDuty, fmt.Sprint("m", i), 15*time.Second); it.State != controller.Done {
					t.Errorf("m%d: %s, %s", i, it.State, it.Note)
				}
			}
			head, raw, err := proxy.VersionDir{Dir: dir}.Head()
			if err != nil || head.Version != 4 {
				t.Fatalf("version %d, %v", head.Version, err)
			}
			from := old.Lines()
			old.Wake()
			if _, err := old.Await(10*time.Second, from, "duty.lost"); err != nil {
				t.Error(err)
			}
			time.Sleep(300 * time.Millisecond)
			again, after, err := proxy.VersionDir{Dir: dir}.Head()
			if err != nil || string(raw) != string(after) {
				t.Errorf("the map is changed by one that woke: version %d, %v", again.Version, err)
			}
			for i := range 3 {
				if n := len(again.Tenants[i].Homes); n != 2 {
					t.Errorf("t%d has %d homes", i, n)
				}
			}
			if strings.Contains(next.Log(), "duty.lost") {
				t.Error("the new owner lost the duty")
			}
		})
	}
}

// roll is the order of steps of a roll of two servers: 1 begins it, 2 means the first to go out, 3 says that it is.
func TestStoppedRolloutHolderTakesNoEffect(t *testing.T) {
	for _, at := range []string{"check:1", "intent:2", "act:2", "check:3", "intent:4", "act:4"} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3)
			s := newServers(t, g, 3)
			old := g.owner("old", s.dir, []string{controller.RolloutDuty}, nil, "SILVERPATH_STOP_AT=conductor:"+at)
			if _, err := old.Await(10*time.Second, 0, "duty.owned"); err != nil {
				t.Fatal(err)
			}
			most := make(chan int)
			stop := make(chan struct{})
			go func() { // never more out than one, whoever believes to own the duty
				worst := 0
				for {
					select {
					case <-stop:
						most <- worst
						return
					case <-time.After(2 * time.Millisecond):
						worst = max(worst, s.out())
					}
				}
			}()
			g.submit(controller.RolloutDuty, "r", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 50, ReturnMS: 5000})
			if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
				t.Fatal(err)
			}
			g.owner("next", s.dir, []string{controller.RolloutDuty}, nil)
			if it := g.over(controller.RolloutDuty, "r", 20*time.Second); it.State != controller.Done {
				t.Errorf("%s: %s", it.State, it.Note)
			}
			from := old.Lines()
			lines := make([]int, len(s.procs))
			for i, p := range s.procs {
				lines[i] = p.Lines()
			}
			old.Wake()
			if _, err := old.Await(10*time.Second, from, "duty.lost"); err != nil {
				t.Error(err)
			}
			time.Sleep(300 * time.Millisecond)
			close(stop)
			if n := <-most; n > 1 {
				t.Errorf("%d servers were out at once", n)
			}
			for i, p := range s.procs {
				if _, err := p.Await(time.Millisecond, lines[i], "phase evacuated"); err == nil {
					t.Errorf("one that woke sent s%d out", i)
				}
				if out := strings.Count(p.Log(), "phase evacuated"); out != 1 {
					t.Errorf("s%d was out %d times", i, out)
				}
			}
		})
	}
}

// A command of the old holder is delayed on its way and arrives after the new holder's, also at a server that was started anew in
// between and whose fence's file is gone. It is refused by name.
func TestDelayedCommandIsRefused(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 2)
	first := g.owner("first", s.dir, []string{controller.RolloutDuty}, nil)
	g.submit(controller.RolloutDuty, "r1", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 10, ReturnMS: 5000})
	g.over(controller.RolloutDuty, "r1", 15*time.Second)
	var evacuate []byte
	for _, c := range s.mgmt[0].Calls() {
		if strings.Contains(string(c), "/api/evacuate") {
			evacuate = c
		}
	}
	if evacuate == nil {
		t.Fatal("no order was seen")
	}
	if a, err := s.mgmt[0].Again(evacuate); err != nil || !strings.Contains(a, "stale step") {
		t.Errorf("late in its own epoch: %q, %v", a, err)
	}
	first.Kill()
	second := g.owner("second", s.dir, []string{controller.RolloutDuty}, nil)
	if _, err := second.Await(10*time.Second, 0, "duty.owned"); err != nil {
		t.Fatal(err)
	}
	g.submit(controller.RolloutDuty, "r2", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 10, ReturnMS: 5000})
	g.over(controller.RolloutDuty, "r2", 15*time.Second)
	if a, err := s.mgmt[0].Again(evacuate); err != nil || !strings.Contains(a, "409") || !strings.Contains(a, "stale epoch 1.1 of conductor: 1.2 was seen") {
		t.Errorf("held until the next epoch: %q, %v", a, err)
	}
	// Started anew, with its book lost: it asks the group, and takes nothing while that can't be asked.
	s.procs[0].Kill()
	data, err := os.ReadFile(s.edges[0])
	if err != nil {
		t.Fatal(err)
	}
	var edge struct{ Orders struct{ State string } }
	if err := json.Unmarshal(data, &edge); err != nil || os.Remove(edge.Orders.State) != nil {
		t.Fatal(err)
	}
	s.start(0, freeAddr(t))
	for i := range g.Ways {
		g.Ways[i].Cut(true)
	}
	if a, err := s.mgmt[0].Again(evacuate); err != nil || !strings.Contains(a, "no epoch is known yet") {
		t.Errorf("without book and group: %q, %v", a, err)
	}
	for i := range g.Ways {
		g.Ways[i].Cut(false)
	}
	g.awaitLeader()
	if a, err := s.mgmt[0].Again(evacuate); err != nil || !strings.Contains(a, "stale epoch") {
		t.Errorf("without its book: %q, %v", a, err)
	}
	if s.outNow() != 0 {
		t.Error("a late order took effect")
	}
	// Without the fence it does, and it is seen that it does.
	s.procs[0].Kill()
	s.edges[0] = write(t, "edge.json", `{"cell":true}`)
	s.start(0, freeAddr(t))
	if a, err := s.mgmt[0].Again(evacuate); err != nil || !strings.Contains(a, "200") || s.outNow() != 1 {
		t.Errorf("without a fence: %q, %v, %d out", a, err, s.outNow())
	}
}

// A holder that reaches the servers and not the group would go on beside its successor. It stops by itself before another one begins, on
// a fast and on a slow clock; one that reaches the group and not the servers gives up by its rule, and another duty goes on.
func TestHolderThatIsCutOffStopsByItself(t *testing.T) {
	for _, clocks := range [][2]string{{"1", "1"}, {"0.955", "1.045"}, {"1.045", "0.955"}} {
		t.Run(strings.Join(clocks[:], " "), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3)
			for i := range 3 { // the group's clocks
				g.Members[i].Kill()
				g.start(i, "SILVERPATH_CLOCK="+clocks[1])
			}
			g.awaitLeader()
			var ways []*faults.Between
			var addrs []string
			for _, a := range g.Client.Addrs {
				w, err := faults.Listen(a, true, 1)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(w.Close)
				ways, addrs = append(ways, w), append(addrs, w.Addr())
			}
			dir := testMap(t)
			one := g.owner("one", dir, []string{controller.PlacementDuty}, addrs, "SILVERPATH_CLOCK="+clocks[0])
			if _, err := one.Await(10*time.Second, 0, "duty.owned"); err != nil {
				t.Fatal(err)
			}
			two := g.owner("two", dir, []string{controller.PlacementDuty}, nil)
			await(t, "two waits", 5*time.Second, func() bool { return len(g.view().Table.Duties[controller.PlacementDuty].Queue) == 1 })
			for i, w := range ways {
				if i == 0 { // one way only
					w.Set(faults.Back, faults.Fate{Lost: true})
					w.Set(faults.There, faults.Fate{Lost: clocks[0] != "1"})
				} else {
					w.Cut(true)
				}
			}
			lost, err := one.Await(10*time.Second, 0, "duty.lost")
			if err != nil {
				t.Fatal(err)
			}
			owned, err := two.Await(10*time.Second, 0, "duty.owned")
			if err != nil {
				t.Fatal(err)
			}
			// Both logs have the time of day of one machine; one says how long ago it had stopped as it saw it.
			clock := func(line string) time.Duration {
				at, err := time.Parse("15:04:05.000000", line[:15])
				if err != nil {
					t.Fatal(err)
				}
				return at.Sub(at.Truncate(24 * time.Hour))
			}
			_, rest, _ := strings.Cut(lost, "ago=")
			ms, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			if err != nil {
				t.Fatal(err)
			}
			between := clock(owned) - (clock(lost) - time.Duration(ms*float64(time.Millisecond)))
			if between < -12*time.Hour {
				between += 24 * time.Hour // midnight
			}
			if between < 0 {
				t.Errorf("two owned %v before one had stopped: %s, %s", -between, owned, lost)
			}
		})
	}
}

// A server can't be told, or does not return: a rollout that went on would take the next one out too. It stops and says why, and no
// other duty is blocked.
func TestRolloutStopsAtAServerThatDoesNotReturn(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 3)
	holder := g.owner("one", s.dir, []string{controller.RolloutDuty, controller.PlacementDuty}, nil)
	g.submit(controller.RolloutDuty, "r", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 2000, ReturnMS: 700})
	await(t, "one is out", 10*time.Second, func() bool { return s.out() > 0 })
	// It is stopped once its answer has arrived, and long before it is to return: else it could not be told, or were back.
	if _, err := holder.Await(10*time.Second, 0, "command.evacuate", "yes=true"); err != nil {
		t.Fatal(err)
	}
	for i, p := range s.procs {
		if strings.Contains(p.Log(), "phase evacuated") {
			s.procs[i].Freeze()
		}
	}
	g.submit(controller.PlacementDuty, "m", controller.KindMove, controller.MoveRequest{Tenant: "t1", To: "b"})
	if it := g.over(controller.PlacementDuty, "m", 5*time.Second); it.State != controller.Done {
		t.Errorf("the other duty: %s, %s", it.State, it.Note)
	}
	it := g.over(controller.RolloutDuty, "r", 30*time.Second)
	if it.State != controller.Failed || !strings.Contains(it.Note, "come back") {
		t.Errorf("%s: %s", it.State, it.Note)
	}
	if n := len(g.view().Journals[controller.RolloutDuty].Items); n != 1 {
		t.Errorf("%d items", n)
	}
}

// A server that all routers have lost is taken out of the map by the monitor, through the placement duty; not one that only one router
// can't reach, and never one whose cell would be left with too few.
func TestDeadServerLeavesTheMap(t *testing.T) {
	g := newGroup(t, 3)
	var servers []*process
	var ways []*faults.Between
	m := &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells:   []cells.Cell{{Name: "a", Capacity: 1000}, {Name: "b", Capacity: 1000}},
		Tenants: []cells.Tenant{{Name: "brand", Rate: 10, Homes: []cells.Home{{Cell: "a"}}}}}
	for i, cell := range []string{"a", "a", "a", "b"} {
		vm, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Speed: 1}, RunFactor: 1, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(vm.Close)
		name := fmt.Sprint("s", i)
		p := spawn(t, "serve", "--config", siteFile(t, name, vm.Addr()), "--edge", write(t, "cell.json", `{"cell":true}`))
		way, err := faults.Listen(p.addr, true, 1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(way.Close)
		servers, ways = append(servers, p), append(ways, way)
		m.Servers = append(m.Servers, cells.Server{Name: name, Addr: way.Addr(), Cell: cell, Weight: 1})
	}
	dir := t.TempDir()
	if err := (proxy.VersionDir{Dir: dir}).Put(1, settings.FormatCells(m)); err != nil {
		t.Fatal(err)
	}
	own := strings.ReplaceAll(string(settings.FormatCells(m)), ways[1].Addr(), freeAddr(t)) // the third router can't reach s1
	var routers []string
	for i, file := range []string{dir, dir, write(t, "own.json", own)} {
		p := spawn(t, "route", "--config", siteFile(t, fmt.Sprint("r", i), ""), "--edge", write(t, "route.json",
			fmt.Sprintf(`{"status":true,"fleet":{"map":%q,"probe_ms":100}}`, file)))
		routers = append(routers, p.addr)
	}
	o := must[*harness.Process](t)(g.Owner("o", dir, []string{controller.PlacementDuty, controller.MonitorDuty}, nil, routers))
	t.Cleanup(o.Kill)
	if _, err := o.Await(20*time.Second, 0, "monitor.partly", "server=s1"); err != nil {
		t.Fatal(err)
	}
	ways[0].Cut(true)
	servers[0].Kill()
	if _, err := o.Await(20*time.Second, 0, "monitor.dead", "server=s0"); err != nil {
		t.Fatal(err)
	}
	if it := g.over(controller.PlacementDuty, "gone-s0-1", 10*time.Second); it.State != controller.Done {
		t.Errorf("%s: %s", it.State, it.Note)
	}
	ways[3].Cut(true)
	servers[3].Kill()
	if _, err := o.Await(20*time.Second, 0, "monitor.dead", "server=s3"); err != nil {
		t.Fatal(err)
	}
	it := g.over(controller.PlacementDuty, "gone-s3-2", 10*time.Second)
	if it.State != controller.Failed || !strings.Contains(it.Note, "cell b would be left with 0 of 1 servers") {
		t.Errorf("%s: %s", it.State, it.Note)
	}
	head, _, err := proxy.VersionDir{Dir: dir}.Head()
	if err != nil || head.Server("s0").LeavesAt == 0 || head.Server("s1").LeavesAt != 0 || head.Server("s3").LeavesAt != 0 {
		t.Errorf("%+v, %v", head.Servers, err)
	}
}

// A map that is planned by a wall clock an hour off would hold at another time than routers read it. The holder keeps its lease, which
// does not count by that clock, and plans no map: it releases the duty to a process whose clock is right, and says why.
func TestHolderWithAWrongWallClockHandsOn(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	for _, by := range []string{"1h", "-1h"} {
		off := g.owner("off"+by, dir, []string{controller.PlacementDuty, controller.RolloutDuty}, nil, "SILVERPATH_WALL="+by)
		if _, err := off.Await(10*time.Second, 0, "duty.owned", "keeper"); err != nil {
			t.Fatal(err)
		}
		if _, err := off.Await(10*time.Second, 0, "duty.held_up", "the clock differs from the group's", "by 59m59"); err != nil {
			t.Error(err)
		}
		right := g.owner("right"+by, dir, []string{controller.PlacementDuty}, nil)
		g.submit(controller.PlacementDuty, "m"+by, controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", len(by)), To: "b"})
		if it := g.over(controller.PlacementDuty, "m"+by, 15*time.Second); it.State != controller.Done {
			t.Errorf("%s: %s", it.State, it.Note)
		}
		if strings.Contains(off.Log(), `duty.lost`) && strings.Contains(off.Log(), "duty=conductor epoch=0.0") {
			t.Error("a wall clock ended a lease")
		}
		off.Kill()
		right.Kill()
	}
}

// The holder's own process leads the group, and dies. Another member leads, and another process goes on where the holder stopped.
func TestHolderThatLeadsTheGroupDies(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	list, _ := json.Marshal(g.Client.Addrs)
	for i := range 3 { // each member owns duties too
		g.Members[i].Kill()
		file := write(t, "both.json", fmt.Sprintf(`{"name":"q%d","group":"test","members":%s,"member":{"listen":%q,"addr":%q,"dir":%q,"tick_ms":20},"owner":{"duties":["keeper"],"map":%q}}`,
			i, list, g.Addrs[i], g.Ways[i].Addr(), g.Disk(i), dir))
		g.Members[i] = begin(t, []string{"quorum", "--config", file})
		if _, err := g.Members[i].Await(10*time.Second, 0, "group.listening"); err != nil {
			t.Fatal(err)
		}
	}
	lead := g.awaitLeader()
	holder := func() string {
		if d := g.view().Table.Duties[controller.PlacementDuty]; d != nil {
			return d.Holder
		}
		return ""
	}
	await(t, "an owner", 10*time.Second, func() bool { return holder() != "" && len(g.view().Table.Duties[controller.PlacementDuty].Queue) == 2 })
	if me := fmt.Sprint("q", lead, "#"); !strings.HasPrefix(holder(), me) {
		for _, w := range g.view().Table.Duties[controller.PlacementDuty].Queue {
			if strings.HasPrefix(w, me) {
				g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Transfer, Duty: controller.PlacementDuty, Process: w}})
			}
		}
		await(t, "handed on by consent", 5*time.Second, func() bool { return strings.HasPrefix(holder(), me) })
	}
	for i := range 4 {
		g.submit(controller.PlacementDuty, fmt.Sprint("m", i), controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", i), To: "b"})
		if i == 1 {
			g.Members[lead].Kill()
			g.awaitLeader()
		}
	}
	for i := range 4 {
		if it := g.over(controller.PlacementDuty, fmt.Sprint("m", i), 15*time.Second); it.State != controller.Done {
			t.Errorf("%s: %s", it.State, it.Note)
		}
	}
	if head, _, err := (proxy.VersionDir{Dir: dir}).Head(); err != nil || head.Version != 5 {
		t.Errorf("version %d, %v", head.Version, err)
	}
}

// A clock all but stops, far beyond the bound for drift. Its process believes to hold the duty for a minute after another one does, and
// nothing that it does takes effect.
func TestHolderWhoseClockStopsTakesNoEffect(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	one := g.owner("one", dir, []string{controller.PlacementDuty}, nil, "SILVERPATH_CLOCK=0.005")
	if _, err := one.Await(10*time.Second, 0, "duty.owned"); err != nil {
		t.Fatal(err)
	}
	two := g.owner("two", dir, []string{controller.PlacementDuty}, nil)
	if _, err := two.Await(10*time.Second, 0, "duty.owned"); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		g.submit(controller.PlacementDuty, fmt.Sprint("m", i), controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", i), To: "b"})
		if it := g.over(controller.PlacementDuty, fmt.Sprint("m", i), 10*time.Second); it.State != controller.Done || it.Epoch != lease.BaseEpoch(1)+2 {
			t.Errorf("%s: %s, by epoch %v", it.State, it.Note, it.Epoch)
		}
	}
	if strings.Contains(one.Log(), "duty.step") && strings.Contains(one.Log(), "item=m") {
		t.Errorf("one whose clock stands still wrote:\n%s", one.Log())
	}
	if strings.Contains(one.Log(), "duty.lost") {
		t.Error("its clock did not stand still: the test shows nothing")
	}
}

// A holder is stopped after its look at the lease and before its journal entry, and wakes when another one holds the duty and has
// written nothing. The entry is refused by its epoch, and not by its step alone.
func TestStaleJournalWriteIsRefused(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	old := g.owner("old", dir, []string{controller.PlacementDuty}, nil, "SILVERPATH_STOP_AT=keeper:write:1")
	if _, err := old.Await(10*time.Second, 0, "duty.step"); err != nil { // it has taken the map up
		t.Fatal(err)
	}
	g.submit(controller.PlacementDuty, "m", controller.KindMove, controller.MoveRequest{Tenant: "t0", To: "b"})
	if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
		t.Fatal(err)
	}
	await(t, "another owner", 10*time.Second, func() bool {
		r := g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: controller.PlacementDuty, Process: "next"}})
		return r.Duty != nil && r.Duty.Holder == "next"
	})
	old.Wake()
	if _, err := old.Await(10*time.Second, 0, "duty.refused", "stale epoch 1.1 of keeper"); err != nil {
		t.Error(err)
	}
	if j := g.view().Journals[controller.PlacementDuty]; j.Step != 1 || j.Item("m").State != controller.Queued {
		t.Errorf("the journal is at step %d, the move is %s", j.Step, j.Item("m").State)
	}
}

// A holder is stopped before it publishes a version, and wakes when that came too late and its place was withdrawn. It stays withdrawn.
func TestLatePublishFindsItsPlaceWithdrawn(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	old := g.owner("old", dir, []string{controller.PlacementDuty}, nil, "SILVERPATH_STOP_AT=keeper:intent:2")
	g.submit(controller.PlacementDuty, "m", controller.KindMove, controller.MoveRequest{Tenant: "t0", To: "b"})
	if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1300 * time.Millisecond) // too late to be announced a lease ahead
	g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.PlacementDuty, Reason: "nothing new"}})
	next := g.owner("next", dir, []string{controller.PlacementDuty}, nil)
	if _, err := next.Await(10*time.Second, 0, "placement.withdraw", "version=2"); err != nil {
		t.Fatal(err)
	}
	from := old.Lines()
	old.Wake()
	if _, err := old.Await(10*time.Second, from, "duty.lost"); err != nil {
		t.Error(err)
	}
	time.Sleep(300 * time.Millisecond)
	if m, _, err := (proxy.VersionDir{Dir: dir}).Head(); err != nil || m.Version != 1 {
		t.Errorf("version %d was published by one that woke, %v", m.Version, err)
	}
	g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Resume, Duty: controller.PlacementDuty}})
	if it := g.over(controller.PlacementDuty, "m", 10*time.Second); it.State != controller.Done || it.Note != "version 3" {
		t.Errorf("%s: %s", it.State, it.Note)
	}
}
