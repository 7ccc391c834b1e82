package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/proxy"
	"silverpath/internal/testkit/standin/faults"
)

// A member that loses entries that it has acknowledged could let the group commit two different entries at
// one index. Members are identified by group and by disk. A member with an empty disk has no vote until it is
// removed and added again. A member whose disk was restored from an older copy stops and logs the reason. Two
// processes on copies of one disk do not both continue.
func TestMembersAreToldApartByGroupAndDisk(t *testing.T) {
	g := newGroup(t, 3)
	for i := range 30 {
		g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.RolloutDuty, Reason: fmt.Sprint(i)}})
	}
	foreign := &quorum.Client{Group: "other", Addrs: g.Client.Addrs}
	defer foreign.Close()
	if _, err := foreign.Read(g.within(5*time.Second), ""); err == nil || !strings.Contains(err.Error(), `this is group "test", not "other"`) {
		t.Errorf("read by a client of another group: got error %v", err)
	}
	// A member restarts with an empty disk under its old name.
	leader := g.awaitLeader()
	x := (leader + 1) % 3
	g.Members[x].Kill()
	if err := os.Rename(g.DataDir(x), g.DataDir(x)+".aside"); err != nil {
		t.Fatal(err)
	}
	g.start(x)
	s, err := g.Client.StatusOf(g.within(time.Second), g.Client.Addrs[x])
	if err != nil || s.State != "unfounded" || s.Voter {
		t.Errorf("status of a member with an empty disk: %+v, %v; want unfounded without a vote", s, err)
	}
	if _, err := g.Client.CreateGroup(g.within(5*time.Second), lease.Terms{TTL: testLease}); err == nil {
		t.Error("a second group was founded over the existing one")
	}
	flags := []string{"--group", "test", "--members", strings.Join(g.Client.Addrs, ",")}
	if code, _, message := runCommand(t, "", append([]string{"quorum", "add", "--addr", g.Client.Addrs[x]}, flags...)...); code != 1 || !strings.Contains(message, "by another disk: remove that first") {
		t.Errorf("quorum add while the old disk is still a member: exit code %d, %s", code, message)
	}
	for _, args := range [][]string{{"remove", "--name", fmt.Sprint("q", x)}, {"add", "--addr", g.Client.Addrs[x]}} {
		if code, out, message := runCommand(t, "", append(append([]string{"quorum"}, args...), flags...)...); code != 0 {
			t.Fatalf("quorum %v: %s%s", args, out, message)
		}
	}
	await(t, "the member with the new disk has a vote", 5*time.Second, func() bool {
		s, err := g.Client.StatusOf(g.within(time.Second), g.Client.Addrs[x])
		return err == nil && s.Voter && s.State == "follower"
	})
	if g.view().Table.Duties[controller.RolloutDuty].PauseReason != "29" {
		t.Error("a committed entry is lost")
	}
	// The disk is copied while the member runs, so the copy has the same count of starts. More entries are
	// committed and the copy is restored.
	time.Sleep(200 * time.Millisecond) // until nothing is being written
	data, err := os.ReadFile(filepath.Join(g.DataDir(x), "group.db"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.RolloutDuty, Reason: fmt.Sprint("b", i)}})
	}
	time.Sleep(1300 * time.Millisecond) // until the member has reported its progress
	g.Members[x].Kill()
	if err := os.WriteFile(filepath.Join(g.DataDir(x), "group.db"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	g.start(x)
	if _, err := g.Members[x].Await(10*time.Second, 0, "the disk is older than its words", "this disk has no vote"); err != nil {
		t.Errorf("member with an older disk: %v", err)
	}
	if g.view().Table.Duties[controller.RolloutDuty].PauseReason != "b29" {
		t.Error("a committed entry is lost")
	}
}

// A disk of one member stalls, fills up or fails, or all members lose power. Committed entries survive, and
// epochs only increase. A faulty disk does not stop the other members, and entries that it failed to store do
// not count as stored.
func TestGroupSurvivesPowerLossAndFailingDisks(t *testing.T) {
	g := newGroup(t, 3)
	request := func(op lease.Op, process string, epoch lease.Epoch) statemachine.Result {
		return g.do(statemachine.Command{Lease: &lease.Request{Op: op, Duty: controller.MonitorDuty, Process: process, Epoch: epoch}})
	}
	last := lease.Epoch(0)
	for round := range 4 {
		leader := g.awaitLeader()
		switch round {
		case 0:
			g.SetDiskFault((leader+1)%3, "2s") // delay of every write
		case 1:
			g.SetDiskFault(leader, "no space left on device")
		case 2:
			g.SetDiskFault(leader, "input/output error")
		}
		for i := range 5 {
			process := fmt.Sprintf("p%d-%d", round, i)
			r := request(lease.Acquire, process, 0)
			if r.Duty == nil || r.Duty.Holder != process || r.Duty.Epoch <= last {
				t.Fatalf("round %d: acquire returned %+v, want a new epoch after %v", round, r, last)
			}
			last = r.Duty.Epoch
			request(lease.Release, process, last)
		}
		for i := range g.Members {
			g.SetDiskFault(i, "")
			if round == 0 {
				time.Sleep(700 * time.Millisecond) // three of these outlast a stalled write
			}
			if round == 3 {
				g.Members[i].Kill() // power loss of all members
			}
		}
		for i, m := range g.Members {
			if round < 3 {
				select {
				case <-m.Ended():
					if round == 0 || !strings.Contains(m.Log(), "writing to the disk") {
						t.Errorf("round %d: member %d ended unexpectedly:\n%s", round, i, m.Log())
					}
				default:
					continue
				}
			}
			g.start(i)
		}
	}
	if r := request(lease.Acquire, "after", 0); r.Duty.Epoch <= last {
		t.Errorf("epoch after the power loss: %v, want above %v", r.Duty.Epoch, last)
	}
}

// Members are suspended, killed and cut off, and messages are lost, delayed, duplicated and reordered. The
// history of reads and writes stays linearizable.
func TestGroupHasOneHistory(t *testing.T) {
	g := newGroup(t, 3)
	var mu sync.Mutex
	var history []porcupine.Operation
	start := time.Now()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Go(func() {
			client := &quorum.Client{Group: "test", Addrs: g.Client.Addrs}
			defer client.Close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				in, out := "", ""
				call := time.Since(start)
				var err error
				if n%2 == 0 {
					in = fmt.Sprint(c, "-", n)
					_, err = client.Do(g.within(400*time.Millisecond), statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.MonitorDuty, Reason: in}})
				} else {
					var v quorum.StateView
					v, err = client.Read(g.within(400*time.Millisecond), "")
					if d := v.Table; err == nil && d.Duties[controller.MonitorDuty] != nil {
						out = d.Duties[controller.MonitorDuty].PauseReason
					}
				}
				returned := int64(time.Since(start))
				switch {
				case err != nil && in == "":
					continue // a failed read has no effect
				case err != nil:
					returned = 1 << 60 // a failed write may take effect at any later time, or never
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: len(history), Input: in, Output: out, Call: int64(call), Return: returned})
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	rng := rand.New(rand.NewPCG(1, 18))
	for n := range 14 {
		time.Sleep(150 * time.Millisecond)
		x := rng.IntN(3)
		switch n % 5 {
		case 0:
			g.Proxies[x].SetFault(faults.Direction(rng.IntN(2)), faults.Fault{Drop: true})
		case 1:
			g.Members[x].Kill()
			g.start(x)
		case 2:
			g.Members[x].Freeze()
			time.AfterFunc(300*time.Millisecond, g.Members[x].Resume)
		case 3:
			g.Proxies[x].SetFault(faults.ToListener, faults.Fault{Delay: 20 * time.Millisecond, Duplicate: 0.3, Reorder: 0.3})
		case 4:
			for _, link := range g.Proxies {
				link.SetFault(faults.ToListener, faults.Fault{})
				link.SetFault(faults.ToClient, faults.Fault{})
			}
		}
	}
	close(stop)
	wg.Wait()
	if len(history) < 100 {
		t.Errorf("the history has %d operations, want at least 100", len(history))
	}
	if res := porcupine.CheckOperationsTimeout(pauseModel, history, 30*time.Second); res != porcupine.Ok {
		t.Errorf("linearizability check of %d operations: %v", len(history), res)
	}
	// The checker must detect a read of a value that was never written.
	for i := len(history) - 1; i > 0; i-- {
		if o := history[i]; o.Input == "" && o.Output != "" {
			history[i].Output = "never written"
			break
		}
	}
	if porcupine.CheckOperationsTimeout(pauseModel, history, 30*time.Second) == porcupine.Ok {
		t.Error("the checker accepts a read of a value that was never written")
	}
	t.Logf("checked %d operations", len(history))
}

// The group loses its majority during a rollout. Servers continue to serve, and none receives a
// command in that time. The rollout is finished when the majority is back.
func TestRolloutWaitsForALostMajority(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 4)
	g.startOwner("one", s.dir, []string{controller.RolloutDuty, controller.PlacementDuty}, nil)
	g.submit(controller.RolloutDuty, "r", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 2, DwellMS: 100, ReturnMS: 8000})
	await(t, "a server is evacuated", 10*time.Second, func() bool { return s.evacuatedInLogs() > 0 })
	g.Members[0].Kill()
	g.Members[1].Freeze()
	time.Sleep(2 * testLease)
	evacuated := s.evacuatedInLogs()
	from := make([]int, 4)
	for i, p := range s.procs {
		from[i] = p.LineCount()
	}
	time.Sleep(time.Second)
	for i, p := range s.procs {
		if _, err := p.Await(time.Millisecond, from[i], "phase "); err == nil {
			t.Errorf("server s%d changed its phase while the group had no majority", i)
		}
	}
	if evacuated > 2 {
		t.Errorf("%d servers were evacuated at once, want at most 2", evacuated)
	}
	g.submitAsync("m", controller.KindMove, controller.MoveRequest{Tenant: "t1", To: "b"})
	g.Members[1].Resume()
	g.start(0)
	if item := g.awaitItem(controller.RolloutDuty, "r", 20*time.Second); item.State != controller.Done {
		t.Errorf("rollout: state %s, want done: %s", item.State, item.Note)
	}
	if item := g.awaitItem(controller.PlacementDuty, "m", 10*time.Second); item.State != controller.Done {
		t.Errorf("move: state %s, want done: %s", item.State, item.Note)
	}
}

// Two processes acquire a duty concurrently, 1000 times. Each time one of them holds it under a new epoch,
// and the other one holds it after the release.
func TestOneOfTwoCandidatesHolds(t *testing.T) {
	g := newGroup(t, 3)
	clients := []*quorum.Client{{Group: "test", Addrs: g.Client.Addrs}, {Group: "test", Addrs: g.Client.Addrs}}
	last := lease.Epoch(0)
	for round := range 1000 {
		var got [2]lease.Duty
		var wg sync.WaitGroup
		for k, c := range clients {
			wg.Go(func() {
				r, err := c.Do(g.within(10*time.Second), statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: controller.MonitorDuty, Process: fmt.Sprint("c", k, "-", round)}})
				if err != nil || r.Duty == nil {
					t.Error(err, r.Error)
					return
				}
				got[k] = *r.Duty
			})
		}
		wg.Wait()
		if t.Failed() {
			return
		}
		if got[0].Holder != got[1].Holder || got[0].Epoch != got[1].Epoch || got[0].Epoch <= last {
			t.Fatalf("round %d: clients got %+v and %+v, want one holder and a new epoch", round, got[0], got[1])
		}
		first := got[0].Holder
		r := g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Release, Duty: controller.MonitorDuty, Process: first, Epoch: got[0].Epoch}})
		if r.Error != "" || r.Duty.Holder == first || r.Duty.Holder == "" || r.Duty.Epoch != got[0].Epoch+1 {
			t.Fatalf("round %d: release returned %q, %+v; want the other holder and the next epoch", round, r.Error, r.Duty)
		}
		last = r.Duty.Epoch
		g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Release, Duty: controller.MonitorDuty, Process: r.Duty.Holder, Epoch: last}})
	}
	for _, c := range clients {
		c.Close()
	}
	// The log has been compacted more than once by now. The state survives a restart of all members, and a
	// member that starts on an empty disk receives all of it.
	for _, m := range g.Members {
		m.Kill()
	}
	for i := range g.Members {
		g.start(i)
	}
	g.awaitLeader()
	if d := g.view().Table.Duties[controller.MonitorDuty]; d.Epoch != last {
		t.Errorf("epoch after the restart: %v, want %v", d.Epoch, last)
	}
	s, err := g.Client.StatusOf(g.within(time.Second), g.Client.Addrs[g.awaitLeader()])
	if err != nil || s.Applied < 4000 {
		t.Errorf("status of the leader: %+v, %v; want at least 4000 applied entries", s, err)
	}
}

// The replies between members are lost for 3 s, without an error. The calls that wait for them must not block
// a connection permanently: a leader is elected once replies arrive again.
func TestLostRepliesFillNoConnection(t *testing.T) {
	g := newGroup(t, 3)
	for _, link := range g.Proxies {
		link.SetFault(faults.ToClient, faults.Fault{Drop: true})
	}
	time.Sleep(3 * time.Second)
	for _, link := range g.Proxies {
		link.SetFault(faults.ToClient, faults.Fault{})
	}
	g.awaitLeader()
	g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.MonitorDuty}})
}

// A leader is suspended while another one is elected. When it resumes, it is cut off from the other members
// and still acts as the leader for a while. In that time it answers neither reads nor renewals.
func TestReplacedLeaderAnswersNothing(t *testing.T) {
	g := newGroup(t, 3)
	write := func(reason string) {
		g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.MonitorDuty, Reason: reason}})
	}
	write("old")
	g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: controller.MonitorDuty, Process: "holder"}})
	for range 5 {
		leader := g.awaitLeader()
		write("old")
		g.Members[leader].Freeze()
		g.Proxies[leader].Cut(true)
		write("new") // through the next leader
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 4 { // so that some calls are pending when the old leader resumes
			wg.Go(func() {
				direct := &quorum.Client{Group: "test", Addrs: []string{g.Addrs[leader]}}
				defer direct.Close()
				for {
					select {
					case <-stop:
						return
					default:
					}
					ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
					if v, err := direct.Read(ctx, ""); err == nil && v.Table.Duties[controller.MonitorDuty].PauseReason != "new" {
						t.Errorf("the replaced leader answered a read with %q", v.Table.Duties[controller.MonitorDuty].PauseReason)
					}
					r, err := direct.Do(ctx, statemachine.Command{Lease: &lease.Request{Op: lease.Renew, Duty: controller.MonitorDuty, Process: "holder", Epoch: lease.BaseEpoch(1) + 1}})
					if err == nil && r.Error == "" {
						t.Error("the replaced leader renewed a lease")
					}
					cancel()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		g.Members[leader].Resume()
		time.Sleep(500 * time.Millisecond)
		close(stop)
		wg.Wait()
		g.Proxies[leader].Cut(false)
	}
}

// Two members cannot reach each other, but both reach the third. Duties continue, as some member still
// reaches a majority.
func TestMemberThatReachesOnlySomeOthers(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	g.startOwner("o", dir, []string{controller.PlacementDuty}, nil)
	ids := make([]string, 3) // member IDs as they appear in messages
	for i, addr := range g.Client.Addrs {
		s, err := g.Client.StatusOf(g.within(time.Second), addr)
		if err != nil {
			t.Fatal(err)
		}
		n, err := strconv.ParseUint(s.ID, 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		ids[i] = strconv.FormatUint(n, 10)
	}
	setPartitioned := func(x, y int, cut bool) {
		g.Proxies[x].SetFault(faults.ToListener, faults.Fault{Drop: cut, Match: ids[y]})
		g.Proxies[y].SetFault(faults.ToListener, faults.Fault{Drop: cut, Match: ids[x]})
	}
	for round := range 3 {
		leader := g.awaitLeader()
		x, y := (leader+1)%3, (leader+2)%3
		if round == 2 {
			x, y = leader, (leader+1)%3 // the leader reaches only the third member
		}
		setPartitioned(x, y, true)
		time.Sleep(700 * time.Millisecond) // longer than an election
		id := fmt.Sprint("m", round)
		g.submit(controller.PlacementDuty, id, controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", round), To: "b"})
		if item := g.awaitItem(controller.PlacementDuty, id, 15*time.Second); item.State != controller.Done {
			t.Errorf("move: state %s, want done: %s", item.State, item.Note)
		}
		setPartitioned(x, y, false)
	}
	if head, _, err := (proxy.VersionDir{Dir: dir}).Head(); err != nil || head.Version != 4 {
		t.Errorf("map version %d, %v; want 4", head.Version, err)
	}
}
