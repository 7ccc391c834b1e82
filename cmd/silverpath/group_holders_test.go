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

// The holder of the placement duty is suspended at each boundary of its actions. Another process acquires the
// duty and completes each move once. When the old holder resumes, nothing that it does takes effect, and it
// logs that it has lost the duty.
func TestStoppedPlacementHolderTakesNoEffect(t *testing.T) {
	for _, at := range []string{"check:0", "check:1", "intent:2", "act:2", "check:2", "check:3"} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3)
			dir := testMap(t)
			old := g.startOwner("old", dir, []string{controller.PlacementDuty}, nil, "SILVERPATH_STOP_AT=keeper:"+at)
			if _, err := old.Await(10*time.Second, 0, "duty.owned"); err != nil {
				t.Fatal(err)
			}
			for i := range 3 {
				g.submit(controller.PlacementDuty, fmt.Sprint("m", i), controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", i), To: "b"})
			}
			if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
				t.Fatal(err)
			}
			next := g.startOwner("next", dir, []string{controller.PlacementDuty}, nil)
			for i := range 3 {
				if item := g.awaitItem(controller.PlacementDuty, fmt.Sprint("m", i), 15*time.Second); item.State != controller.Done {
					t.Errorf("move m%d: state %s, want done: %s", i, item.State, item.Note)
				}
			}
			head, raw, err := proxy.VersionDir{Dir: dir}.Head()
			if err != nil || head.Version != 4 {
				t.Fatalf("map version %d, %v; want 4", head.Version, err)
			}
			from := old.LineCount()
			old.Resume()
			if _, err := old.Await(10*time.Second, from, "duty.lost"); err != nil {
				t.Error(err)
			}
			time.Sleep(300 * time.Millisecond)
			last, lastRaw, err := proxy.VersionDir{Dir: dir}.Head()
			if err != nil || string(raw) != string(lastRaw) {
				t.Errorf("the old holder changed the map: version %d, %v", last.Version, err)
			}
			for i := range 3 {
				if n := len(last.Tenants[i].Homes); n != 2 {
					t.Errorf("tenant t%d has %d homes, want 2", i, n)
				}
			}
			if strings.Contains(next.Log(), "duty.lost") {
				t.Error("the new holder lost the duty")
			}
		})
	}
}

// The holder of the rollout duty is suspended at several boundaries of its actions, and another process
// acquires the duty. At most one server is evacuated at a time, and each one once. In the journal, step 1
// starts the rollout, step 2 intends the first evacuation, and step 3 records that it is complete.
func TestStoppedRolloutHolderTakesNoEffect(t *testing.T) {
	for _, at := range []string{"check:1", "intent:2", "act:2", "check:3", "intent:4", "act:4"} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3)
			s := newServers(t, g, 3)
			old := g.startOwner("old", s.dir, []string{controller.RolloutDuty}, nil, "SILVERPATH_STOP_AT=conductor:"+at)
			if _, err := old.Await(10*time.Second, 0, "duty.owned"); err != nil {
				t.Fatal(err)
			}
			maxOut := make(chan int)
			stop := make(chan struct{})
			go func() { // samples the number of evacuated servers
				highest := 0
				for {
					select {
					case <-stop:
						maxOut <- highest
						return
					case <-time.After(2 * time.Millisecond):
						highest = max(highest, s.evacuatedInLogs())
					}
				}
			}()
			g.submit(controller.RolloutDuty, "r", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 50, ReturnMS: 5000})
			if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
				t.Fatal(err)
			}
			g.startOwner("next", s.dir, []string{controller.RolloutDuty}, nil)
			if item := g.awaitItem(controller.RolloutDuty, "r", 20*time.Second); item.State != controller.Done {
				t.Errorf("rollout: state %s, want done: %s", item.State, item.Note)
			}
			from := old.LineCount()
			lines := make([]int, len(s.procs))
			for i, p := range s.procs {
				lines[i] = p.LineCount()
			}
			old.Resume()
			if _, err := old.Await(10*time.Second, from, "duty.lost"); err != nil {
				t.Error(err)
			}
			time.Sleep(300 * time.Millisecond)
			close(stop)
			if n := <-maxOut; n > 1 {
				t.Errorf("%d servers were evacuated at once, want at most 1", n)
			}
			for i, p := range s.procs {
				if _, err := p.Await(time.Millisecond, lines[i], "phase evacuated"); err == nil {
					t.Errorf("the old holder evacuated server s%d", i)
				}
				if n := strings.Count(p.Log(), "phase evacuated"); n != 1 {
					t.Errorf("server s%d was evacuated %d times, want 1", i, n)
				}
			}
		})
	}
}

// A command of the old holder is delayed on the network and arrives after the new holder's commands. The
// server rejects it with an error that names the duty and the epochs, also after a restart and after the loss
// of its fence file.
func TestDelayedCommandIsRefused(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 2)
	first := g.startOwner("first", s.dir, []string{controller.RolloutDuty}, nil)
	g.submit(controller.RolloutDuty, "r1", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 10, ReturnMS: 5000})
	g.awaitItem(controller.RolloutDuty, "r1", 15*time.Second)
	var evacuate []byte
	for _, call := range s.mgmt[0].Calls() {
		if strings.Contains(string(call), "/api/evacuate") {
			evacuate = call
		}
	}
	if evacuate == nil {
		t.Fatal("the proxy saw no evacuate command")
	}
	if a, err := s.mgmt[0].Replay(evacuate); err != nil || !strings.Contains(a, "stale step") {
		t.Errorf("command repeated in its own epoch: %q, %v; want a stale step", a, err)
	}
	first.Kill()
	second := g.startOwner("second", s.dir, []string{controller.RolloutDuty}, nil)
	if _, err := second.Await(10*time.Second, 0, "duty.owned"); err != nil {
		t.Fatal(err)
	}
	g.submit(controller.RolloutDuty, "r2", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 10, ReturnMS: 5000})
	g.awaitItem(controller.RolloutDuty, "r2", 15*time.Second)
	if a, err := s.mgmt[0].Replay(evacuate); err != nil || !strings.Contains(a, "409") || !strings.Contains(a, "stale epoch 1.1 of conductor: 1.2 was seen") {
		t.Errorf("command repeated in the next epoch: %q, %v; want 409 and a stale epoch", a, err)
	}
	// A server that restarts without its fence file asks the group for the epoch, and accepts no command
	// while the group is unreachable.
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
	for i := range g.Proxies {
		g.Proxies[i].Cut(true)
	}
	if a, err := s.mgmt[0].Replay(evacuate); err != nil || !strings.Contains(a, "no epoch is known yet") {
		t.Errorf("command to a server without a fence file and a group: %q, %v", a, err)
	}
	for i := range g.Proxies {
		g.Proxies[i].Cut(false)
	}
	g.awaitLeader()
	if a, err := s.mgmt[0].Replay(evacuate); err != nil || !strings.Contains(a, "stale epoch") {
		t.Errorf("command to a server without a fence file: %q, %v; want a stale epoch", a, err)
	}
	if s.evacuatedNow() != 0 {
		t.Error("a stale command took effect")
	}
	// Without a fence the stale command takes effect, and the test detects it.
	s.procs[0].Kill()
	s.edges[0] = writeFile(t, "edge.json", `{"cell":true}`)
	s.start(0, freeAddr(t))
	if a, err := s.mgmt[0].Replay(evacuate); err != nil || !strings.Contains(a, "200") || s.evacuatedNow() != 1 {
		t.Errorf("command to a server without a fence: %q, %v, %d evacuated; want 200 and 1 evacuated", a, err, s.evacuatedNow())
	}
}

// A holder that reaches the servers but not the group could act at the same time as the next holder. It stops
// by itself before the next holder starts, also if its clock runs faster or slower than the group's. The
// opposite case, a holder that reaches the group but not a server, is
// TestRolloutStopsAtAServerThatDoesNotReturn.
func TestHolderThatIsCutOffStopsByItself(t *testing.T) {
	for _, clocks := range [][2]string{{"1", "1"}, {"0.955", "1.045"}, {"1.045", "0.955"}} {
		t.Run(strings.Join(clocks[:], " "), func(t *testing.T) {
			t.Parallel()
			g := newGroup(t, 3)
			for i := range 3 { // restart the members with another clock rate
				g.Members[i].Kill()
				g.start(i, "SILVERPATH_CLOCK="+clocks[1])
			}
			g.awaitLeader()
			var links []*faults.Proxy
			var addrs []string
			for _, addr := range g.Client.Addrs {
				link, err := faults.Listen(addr, true, 1)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(link.Close)
				links, addrs = append(links, link), append(addrs, link.Addr())
			}
			dir := testMap(t)
			one := g.startOwner("one", dir, []string{controller.PlacementDuty}, addrs, "SILVERPATH_CLOCK="+clocks[0])
			if _, err := one.Await(10*time.Second, 0, "duty.owned"); err != nil {
				t.Fatal(err)
			}
			two := g.startOwner("two", dir, []string{controller.PlacementDuty}, nil)
			await(t, "the second process is queued for the duty", 5*time.Second, func() bool { return len(g.view().Table.Duties[controller.PlacementDuty].Queue) == 1 })
			for i, link := range links {
				if i == 0 { // with equal clocks the first link loses only replies
					link.SetFault(faults.ToClient, faults.Fault{Drop: true})
					link.SetFault(faults.ToListener, faults.Fault{Drop: clocks[0] != "1"})
				} else {
					link.Cut(true)
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
			// Both logs have the time of day of one machine. The line duty.lost also has the time since the
			// holder stopped.
			timeOfDay := func(line string) time.Duration {
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
			gap := timeOfDay(owned) - (timeOfDay(lost) - time.Duration(ms*float64(time.Millisecond)))
			if gap < -12*time.Hour {
				gap += 24 * time.Hour // midnight lies between the lines
			}
			if gap < 0 {
				t.Errorf("the second process owned the duty %v before the first one stopped: %s, %s", -gap, owned, lost)
			}
		})
	}
}

// A server does not accept commands, or does not return after its evacuation. A rollout that continued would
// evacuate the next server as well. The rollout fails and records the reason, and other duties are not
// blocked.
func TestRolloutStopsAtAServerThatDoesNotReturn(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 3)
	holder := g.startOwner("one", s.dir, []string{controller.RolloutDuty, controller.PlacementDuty}, nil)
	g.submit(controller.RolloutDuty, "r", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 2000, ReturnMS: 700})
	await(t, "a server is evacuated", 10*time.Second, func() bool { return s.evacuatedInLogs() > 0 })
	// Suspend the server after its answer has arrived and well before the rejoin command: earlier, the
	// evacuate command itself would fail; later, the server could already be back.
	if _, err := holder.Await(10*time.Second, 0, "command.evacuate", "yes=true"); err != nil {
		t.Fatal(err)
	}
	for i, p := range s.procs {
		if strings.Contains(p.Log(), "phase evacuated") {
			s.procs[i].Freeze()
		}
	}
	g.submit(controller.PlacementDuty, "m", controller.KindMove, controller.MoveRequest{Tenant: "t1", To: "b"})
	if item := g.awaitItem(controller.PlacementDuty, "m", 5*time.Second); item.State != controller.Done {
		t.Errorf("move under the placement duty: state %s, want done: %s", item.State, item.Note)
	}
	item := g.awaitItem(controller.RolloutDuty, "r", 30*time.Second)
	if item.State != controller.Failed || !strings.Contains(item.Note, "come back") {
		t.Errorf("rollout: state %s, want failed: %s", item.State, item.Note)
	}
	if n := len(g.view().Journals[controller.RolloutDuty].Items); n != 1 {
		t.Errorf("the rollout journal has %d items, want 1", n)
	}
}

// The monitor removes a server that no router can reach from the map, through the placement duty. It does not
// remove a server that only one router cannot reach, or one whose removal would leave its cell with too few
// servers.
func TestDeadServerLeavesTheMap(t *testing.T) {
	g := newGroup(t, 3)
	var servers []*process
	var links []*faults.Proxy
	m := &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells:   []cells.Cell{{Name: "a", Capacity: 1000}, {Name: "b", Capacity: 1000}},
		Tenants: []cells.Tenant{{Name: "brand", Rate: 10, Homes: []cells.Home{{Cell: "a"}}}}}
	for i, cell := range []string{"a", "a", "a", "b"} {
		worker, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Speed: 1}, RunFactor: 1, Seed: 1})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(worker.Close)
		name := fmt.Sprint("s", i)
		p := startServing(t, "serve", "--config", writeServerConfig(t, name, worker.Addr()), "--edge", writeFile(t, "cell.json", `{"cell":true}`))
		link, err := faults.Listen(p.addr, true, 1)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		servers, links = append(servers, p), append(links, link)
		m.Servers = append(m.Servers, cells.Server{Name: name, Addr: link.Addr(), Cell: cell, Weight: 1})
	}
	dir := t.TempDir()
	if err := (proxy.VersionDir{Dir: dir}).Put(1, settings.FormatCells(m)); err != nil {
		t.Fatal(err)
	}
	// The third router cannot reach s1.
	ownMap := strings.ReplaceAll(string(settings.FormatCells(m)), links[1].Addr(), freeAddr(t))
	var routers []string
	for i, file := range []string{dir, dir, writeFile(t, "own.json", ownMap)} {
		p := startServing(t, "route", "--config", writeServerConfig(t, fmt.Sprint("r", i), ""), "--edge", writeFile(t, "route.json",
			fmt.Sprintf(`{"status":true,"fleet":{"map":%q,"probe_ms":100}}`, file)))
		routers = append(routers, p.addr)
	}
	o := must[*harness.Process](t)(g.StartController("o", dir, []string{controller.PlacementDuty, controller.MonitorDuty}, nil, routers))
	t.Cleanup(o.Kill)
	if _, err := o.Await(20*time.Second, 0, "monitor.partly", "server=s1"); err != nil {
		t.Fatal(err)
	}
	links[0].Cut(true)
	servers[0].Kill()
	if _, err := o.Await(20*time.Second, 0, "monitor.dead", "server=s0"); err != nil {
		t.Fatal(err)
	}
	if item := g.awaitItem(controller.PlacementDuty, "gone-s0-1", 10*time.Second); item.State != controller.Done {
		t.Errorf("removal of s0: state %s, want done: %s", item.State, item.Note)
	}
	links[3].Cut(true)
	servers[3].Kill()
	if _, err := o.Await(20*time.Second, 0, "monitor.dead", "server=s3"); err != nil {
		t.Fatal(err)
	}
	item := g.awaitItem(controller.PlacementDuty, "gone-s3-2", 10*time.Second)
	if item.State != controller.Failed || !strings.Contains(item.Note, "cell b would be left with 0 of 1 servers") {
		t.Errorf("removal of s3: state %s, want failed: %s", item.State, item.Note)
	}
	head, _, err := proxy.VersionDir{Dir: dir}.Head()
	if err != nil || head.Server("s0").LeavesAt == 0 || head.Server("s1").LeavesAt != 0 || head.Server("s3").LeavesAt != 0 {
		t.Errorf("servers of the map: %+v, %v; want only s0 leaving", head.Servers, err)
	}
}

// A map that is planned with a wall clock an hour off would take effect at another time than the routers
// expect. The holder keeps its lease, which does not depend on the wall clock, but plans no map. It releases
// the placement duty to a process with a correct clock and logs the reason.
func TestHolderWithAWrongWallClockHandsOn(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	for _, offset := range []string{"1h", "-1h"} {
		skewed := g.startOwner("off"+offset, dir, []string{controller.PlacementDuty, controller.RolloutDuty}, nil, "SILVERPATH_WALL="+offset)
		if _, err := skewed.Await(10*time.Second, 0, "duty.owned", "keeper"); err != nil {
			t.Fatal(err)
		}
		if _, err := skewed.Await(10*time.Second, 0, "duty.held_up", "the clock differs from the group's", "by 59m59"); err != nil {
			t.Error(err)
		}
		correct := g.startOwner("right"+offset, dir, []string{controller.PlacementDuty}, nil)
		g.submit(controller.PlacementDuty, "m"+offset, controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", len(offset)), To: "b"})
		if item := g.awaitItem(controller.PlacementDuty, "m"+offset, 15*time.Second); item.State != controller.Done {
			t.Errorf("move: state %s, want done: %s", item.State, item.Note)
		}
		if strings.Contains(skewed.Log(), `duty.lost`) && strings.Contains(skewed.Log(), "duty=conductor epoch=0.0") {
			t.Error("the wall clock offset ended a lease")
		}
		skewed.Kill()
		correct.Kill()
	}
}

// The process that holds the placement duty and leads the group is killed. Another member becomes the leader,
// and another process acquires the duty and completes the remaining moves.
func TestHolderThatLeadsTheGroupDies(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	members, _ := json.Marshal(g.Client.Addrs)
	for i := range 3 { // restart each member as a candidate for the placement duty too
		g.Members[i].Kill()
		file := writeFile(t, "both.json", fmt.Sprintf(`{"name":"q%d","group":"test","members":%s,"member":{"listen":%q,"addr":%q,"dir":%q,"tick_ms":20},"owner":{"duties":["keeper"],"map":%q}}`,
			i, members, g.Addrs[i], g.Proxies[i].Addr(), g.DataDir(i), dir))
		g.Members[i] = startProgram(t, []string{"quorum", "--config", file})
		if _, err := g.Members[i].Await(10*time.Second, 0, "group.listening"); err != nil {
			t.Fatal(err)
		}
	}
	leader := g.awaitLeader()
	holder := func() string {
		if d := g.view().Table.Duties[controller.PlacementDuty]; d != nil {
			return d.Holder
		}
		return ""
	}
	await(t, "the duty has a holder and two candidates", 10*time.Second, func() bool { return holder() != "" && len(g.view().Table.Duties[controller.PlacementDuty].Queue) == 2 })
	if prefix := fmt.Sprint("q", leader, "#"); !strings.HasPrefix(holder(), prefix) {
		for _, candidate := range g.view().Table.Duties[controller.PlacementDuty].Queue {
			if strings.HasPrefix(candidate, prefix) {
				g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Transfer, Duty: controller.PlacementDuty, Process: candidate}})
			}
		}
		await(t, "the duty is transferred to the leader", 5*time.Second, func() bool { return strings.HasPrefix(holder(), prefix) })
	}
	for i := range 4 {
		g.submit(controller.PlacementDuty, fmt.Sprint("m", i), controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", i), To: "b"})
		if i == 1 {
			g.Members[leader].Kill()
			g.awaitLeader()
		}
	}
	for i := range 4 {
		if item := g.awaitItem(controller.PlacementDuty, fmt.Sprint("m", i), 15*time.Second); item.State != controller.Done {
			t.Errorf("move: state %s, want done: %s", item.State, item.Note)
		}
	}
	if head, _, err := (proxy.VersionDir{Dir: dir}).Head(); err != nil || head.Version != 5 {
		t.Errorf("map version %d, %v; want 5", head.Version, err)
	}
}

// The clock of a holder runs at 0.5 % of its rate, far beyond the bound for drift. The process acts as the
// holder for a minute after another process has acquired the duty, and nothing that it does takes effect.
func TestHolderWhoseClockStopsTakesNoEffect(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	one := g.startOwner("one", dir, []string{controller.PlacementDuty}, nil, "SILVERPATH_CLOCK=0.005")
	if _, err := one.Await(10*time.Second, 0, "duty.owned"); err != nil {
		t.Fatal(err)
	}
	two := g.startOwner("two", dir, []string{controller.PlacementDuty}, nil)
	if _, err := two.Await(10*time.Second, 0, "duty.owned"); err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		g.submit(controller.PlacementDuty, fmt.Sprint("m", i), controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", i), To: "b"})
		if item := g.awaitItem(controller.PlacementDuty, fmt.Sprint("m", i), 10*time.Second); item.State != controller.Done || item.Epoch != lease.BaseEpoch(1)+2 {
			t.Errorf("move: state %s, %s, epoch %v; want done in the second epoch", item.State, item.Note, item.Epoch)
		}
	}
	if strings.Contains(one.Log(), "duty.step") && strings.Contains(one.Log(), "item=m") {
		t.Errorf("the process with the slow clock wrote to the journal:\n%s", one.Log())
	}
	if strings.Contains(one.Log(), "duty.lost") {
		t.Error("the process with the slow clock noticed that its lease had expired, so the test checks nothing")
	}
}

// A holder is suspended after its lease check and before its journal write. It resumes when another process
// holds the duty and has written nothing, so the write's step still matches. The group rejects the write by
// its epoch.
func TestStaleJournalWriteIsRefused(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	old := g.startOwner("old", dir, []string{controller.PlacementDuty}, nil, "SILVERPATH_STOP_AT=keeper:write:1")
	if _, err := old.Await(10*time.Second, 0, "duty.step"); err != nil { // the holder has loaded the map
		t.Fatal(err)
	}
	g.submit(controller.PlacementDuty, "m", controller.KindMove, controller.MoveRequest{Tenant: "t0", To: "b"})
	if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
		t.Fatal(err)
	}
	await(t, "another process holds the duty", 10*time.Second, func() bool {
		r := g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: controller.PlacementDuty, Process: "next"}})
		return r.Duty != nil && r.Duty.Holder == "next"
	})
	old.Resume()
	if _, err := old.Await(10*time.Second, 0, "duty.refused", "stale epoch 1.1 of keeper"); err != nil {
		t.Error(err)
	}
	if j := g.view().Journals[controller.PlacementDuty]; j.Step != 1 || j.Item("m").State != controller.Queued {
		t.Errorf("the journal is at step %d and the move is %s, want step 1 and queued", j.Step, j.Item("m").State)
	}
}

// A holder is suspended before it publishes a map version. It resumes when the next holder has withdrawn that
// version number because it was too late to announce the version. The withdrawn version is not published.
func TestLatePublishFindsItsPlaceWithdrawn(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	old := g.startOwner("old", dir, []string{controller.PlacementDuty}, nil, "SILVERPATH_STOP_AT=keeper:intent:2")
	g.submit(controller.PlacementDuty, "m", controller.KindMove, controller.MoveRequest{Tenant: "t0", To: "b"})
	if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(1300 * time.Millisecond) // until version 2 can no longer be announced a lease ahead
	g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.PlacementDuty, Reason: "nothing new"}})
	next := g.startOwner("next", dir, []string{controller.PlacementDuty}, nil)
	if _, err := next.Await(10*time.Second, 0, "placement.withdraw", "version=2"); err != nil {
		t.Fatal(err)
	}
	from := old.LineCount()
	old.Resume()
	if _, err := old.Await(10*time.Second, from, "duty.lost"); err != nil {
		t.Error(err)
	}
	time.Sleep(300 * time.Millisecond)
	if m, _, err := (proxy.VersionDir{Dir: dir}).Head(); err != nil || m.Version != 1 {
		t.Errorf("map version %d, %v; want 1, as version 2 was withdrawn", m.Version, err)
	}
	g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Resume, Duty: controller.PlacementDuty}})
	if item := g.awaitItem(controller.PlacementDuty, "m", 10*time.Second); item.State != controller.Done || item.Note != "version 3" {
		t.Errorf("move: state %s, note %q; want done and version 3", item.State, item.Note)
	}
}
