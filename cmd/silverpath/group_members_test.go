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

// A member that has forgotten what it acknowledged could have the group agree on two things. Members are told apart by group and by
// disk: one whose disk was emptied has no vote until it was added anew; one whose disk was put back from a copy ends and says so; two
// processes on copies of one disk don't both go on.
func TestMembersAreToldApartByGroupAndDisk(t *testing.T) {
	g := newGroup(t, 3)
	for i := range 30 {
		g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.RolloutDuty, Reason: fmt.Sprint(i)}})
	}
	stranger := &quorum.Client{Group: "other", Addrs: g.Client.Addrs}
	defer stranger.Close()
	if _, err := stranger.Read(g.within(5*time.Second), ""); err == nil || !strings.Contains(err.Error(), `this is group "test", not "other"`) {
		t.Errorf("a stranger: %v", err)
	}
	// An empty disk under the old name.
	lead := g.awaitLeader()
	x := (lead + 1) % 3
	g.Members[x].Kill()
	if err := os.Rename(g.Disk(x), g.Disk(x)+".aside"); err != nil {
		t.Fatal(err)
	}
	g.start(x)
	s, err := g.Client.StatusOf(g.within(time.Second), g.Client.Addrs[x])
	if err != nil || s.State != "unfounded" || s.Voter {
		t.Errorf("on an empty disk: %+v, %v", s, err)
	}
	if _, err := g.Client.Found(g.within(5*time.Second), lease.Terms{TTL: testLease}); err == nil {
		t.Error("a group is founded over another one")
	}
	flags := []string{"--group", "test", "--members", strings.Join(g.Client.Addrs, ",")}
	if code, _, message := run(t, "", append([]string{"quorum", "add", "--addr", g.Client.Addrs[x]}, flags...)...); code != 1 || !strings.Contains(message, "by another disk: remove that first") {
		t.Errorf("added beside its old disk: %d, %s", code, message)
	}
	for _, args := range [][]string{{"remove", "--name", fmt.Sprint("q", x)}, {"add", "--addr", g.Client.Addrs[x]}} {
		if code, out, message := run(t, "", append(append([]string{"quorum"}, args...), flags...)...); code != 0 {
			t.Fatalf("%v: %s%s", args, out, message)
		}
	}
	await(t, "the new disk has a vote", 5*time.Second, func() bool {
		s, err := g.Client.StatusOf(g.within(time.Second), g.Client.Addrs[x])
		return err == nil && s.Voter && s.State == "follower"
	})
	if g.view().Table.Duties[controller.RolloutDuty].PauseReason != "29" {
		t.Error("what was agreed is gone")
	}
	// An older disk: copied in the middle of a start, so that its number of starts tells nothing, then more is agreed on, and the
	// copy is put back.
	time.Sleep(200 * time.Millisecond) // nothing is written meanwhile
	data, err := os.ReadFile(filepath.Join(g.Disk(x), "group.db"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range 30 {
		g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.RolloutDuty, Reason: fmt.Sprint("b", i)}})
	}
	time.Sleep(1300 * time.Millisecond) // it has said how far it is
	g.Members[x].Kill()
	if err := os.WriteFile(filepath.Join(g.Disk(x), "group.db"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	g.start(x)
	if _, err := g.Members[x].Await(10*time.Second, 0, "the disk is older than its words", "this disk has no vote"); err != nil {
		t.Errorf("an older disk: %v", err)
	}
	if g.view().Table.Duties[controller.RolloutDuty].PauseReason != "b29" {
		t.Error("what was agreed is gone")
	}
}

// All members lose power, or a disk stalls, fills up or fails. What was agreed on is there afterwards, and epochs only rise; the disk
// stops nobody else, and what it did not store is not trusted.
func TestGroupSurvivesPowerLossAndFailingDisks(t *testing.T) {
	g := newGroup(t, 3)
	ask := func(op lease.Op, who string, e lease.Epoch) statemachine.Result {
		return g.do(statemachine.Command{Lease: &lease.Request{Op: op, Duty: controller.MonitorDuty, Process: who, Epoch: e}})
	}
	last := lease.Epoch(0)
	for n := range 4 {
		lead := g.awaitLeader()
		switch n {
		case 0:
			g.Fault((lead+1)%3, "2s") // every write
		case 1:
			g.Fault(lead, "no space left on device")
		case 2:
			g.Fault(lead, "input/output error")
		}
		for i := range 5 {
			who := fmt.Sprintf("p%d-%d", n, i)
			r := ask(lease.Acquire, who, 0)
			if r.Duty == nil || r.Duty.Holder != who || r.Duty.Epoch <= last {
				t.Fatalf("round %d: %+v after %v", n, r, last)
			}
			last = r.Duty.Epoch
			ask(lease.Release, who, last)
		}
		for i := range g.Members {
			g.Fault(i, "")
			if n == 0 {
				time.Sleep(700 * time.Millisecond) // together the stall
			}
			if n == 3 {
				g.Members[i].Kill() // the power
			}
		}
		for i, m := range g.Members {
			if n < 3 {
				select {
				case <-m.Ended():
					if n == 0 || !strings.Contains(m.Log(), "writing to the disk") {
						t.Errorf("round %d: member %d ended:\n%s", n, i, m.Log())
					}
				default:
					continue
				}
			}
			g.start(i)
		}
	}
	if r := ask(lease.Acquire, "after", 0); r.Duty.Epoch <= last {
		t.Errorf("after the power: %v, was %v", r.Duty.Epoch, last)
	}
}

// Members are stopped, killed and cut off, and their messages are lost. What the group agrees on is one history all the same.
func TestGroupHasOneHistory(t *testing.T) {
	g := newGroup(t, 3)
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
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
				call := time.Since(began)
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
				back := int64(time.Since(began))
				switch {
				case err != nil && in == "":
					continue // it says nothing
				case err != nil:
					back = 1 << 60 // it may come into force at any time, or never
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: len(history), Input: in, Output: out, Call: int64(call), Return: back})
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
			g.Ways[x].Set(faults.Way(rng.IntN(2)), faults.Fate{Lost: true})
		case 1:
			g.Members[x].Kill()
			g.start(x)
		case 2:
			g.Members[x].Freeze()
			time.AfterFunc(300*time.Millisecond, g.Members[x].Wake)
		case 3:
			g.Ways[x].Set(faults.There, faults.Fate{Delay: 20 * time.Millisecond, Twice: 0.3, Swap: 0.3})
		case 4:
			for _, w := range g.Ways {
				w.Set(faults.There, faults.Fate{})
				w.Set(faults.Back, faults.Fate{})
			}
		}
	}
	close(stop)
	wg.Wait()
	if len(history) < 100 {
		t.Errorf("only %d operations", len(history))
	}
	if res := porcupine.CheckOperationsTimeout(pauses, history, 30*time.Second); res != porcupine.Ok {
		t.Errorf("the history of %d operations is %v", len(history), res)
	}
	// The checker finds a read that is behind.
	for i := len(history) - 1; i > 0; i-- {
		if o := history[i]; o.Input == "" && o.Output != "" {
			history[i].Output = "never written"
			break
		}
	}
	if porcupine.CheckOperationsTimeout(pauses, history, 30*time.Second) == porcupine.Ok {
		t.Error("the checker finds nothing")
	}
	t.Logf("%d operations", len(history))
}

// The group loses its majority in the middle of a rollout. Servers serve on, none is evacuated meanwhile, and the rollout is finished
// when the majority is back.
func TestRolloutWaitsForALostMajority(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 4)
	g.owner("one", s.dir, []string{controller.RolloutDuty, controller.PlacementDuty}, nil)
	g.submit(controller.RolloutDuty, "r", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 2, DwellMS: 100, ReturnMS: 8000})
	await(t, "one is out", 10*time.Second, func() bool { return s.out() > 0 })
	g.Members[0].Kill()
	g.Members[1].Freeze()
	time.Sleep(2 * testLease)
	was := s.out()
	from := make([]int, 4)
	for i, p := range s.procs {
		from[i] = p.Lines()
	}
	time.Sleep(time.Second)
	for i, p := range s.procs {
		if _, err := p.Await(time.Millisecond, from[i], "phase "); err == nil {
			t.Errorf("s%d was told something without a group", i)
		}
	}
	if was > 2 {
		t.Errorf("%d were out", was)
	}
	g.submitLater("m", controller.KindMove, controller.MoveRequest{Tenant: "t1", To: "b"})
	g.Members[1].Wake()
	g.start(0)
	if it := g.over(controller.RolloutDuty, "r", 20*time.Second); it.State != controller.Done {
		t.Errorf("the roll: %s, %s", it.State, it.Note)
	}
	if it := g.over(controller.PlacementDuty, "m", 10*time.Second); it.State != controller.Done {
		t.Errorf("the move: %s, %s", it.State, it.Note)
	}
}

// Two processes ask for a duty at once, a thousand times. Each time one holds it, by an epoch of its own, and the other comes next.
func TestOneOfTwoCandidatesHolds(t *testing.T) {
	g := newGroup(t, 3)
	clients := []*quorum.Client{{Group: "test", Addrs: g.Client.Addrs}, {Group: "test", Addrs: g.Client.Addrs}}
	last := lease.Epoch(0)
	for n := range 1000 {
		var got [2]lease.Duty
		var wg sync.WaitGroup
		for k, c := range clients {
			wg.Go(func() {
				r, err := c.Do(g.within(10*time.Second), statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: controller.MonitorDuty, Process: fmt.Sprint("c", k, "-", n)}})
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
			t.Fatalf("round %d: %+v, %+v", n, got[0], got[1])
		}
		first := got[0].Holder
		r := g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Release, Duty: controller.MonitorDuty, Process: first, Epoch: got[0].Epoch}})
		if r.Error != "" || r.Duty.Holder == first || r.Duty.Holder == "" || r.Duty.Epoch != got[0].Epoch+1 {
			t.Fatalf("round %d: %s, %+v", n, r.Error, r.Duty)
		}
		last = r.Duty.Epoch
		g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Release, Duty: controller.MonitorDuty, Process: r.Duty.Holder, Epoch: last}})
	}
	for _, c := range clients {
		c.Close()
	}
	// By now the log was made short more than once; what it came to outlives a loss of all power, and one started on an empty
	// disk gets it whole.
	for _, m := range g.Members {
		m.Kill()
	}
	for i := range g.Members {
		g.start(i)
	}
	g.awaitLeader()
	if d := g.view().Table.Duties[controller.MonitorDuty]; d.Epoch != last {
		t.Errorf("epoch %v after a start, was %v", d.Epoch, last)
	}
	s, err := g.Client.StatusOf(g.within(time.Second), g.Client.Addrs[g.awaitLeader()])
	if err != nil || s.Applied < 4000 {
		t.Errorf("%+v, %v", s, err)
	}
}

// The replies between members are lost for some seconds, without an error. Calls that wait for them must not fill a connection for good:
// once replies get through again there is a leader.
func TestLostRepliesFillNoConnection(t *testing.T) {
	g := newGroup(t, 3)
	for _, w := range g.Ways {
		w.Set(faults.Back, faults.Fate{Lost: true})
	}
	time.Sleep(3 * time.Second)
	for _, w := range g.Ways {
		w.Set(faults.Back, faults.Fate{})
	}
	g.awaitLeader()
	g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.MonitorDuty}})
}

// A leader is stopped while another one is elected, reaches nobody as it wakes, and takes itself for the leader for a while. What it is
// asked in that time it does not answer, neither a read nor a renewal.
func TestReplacedLeaderAnswersNothing(t *testing.T) {
	g := newGroup(t, 3)
	write := func(why string) {
		g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.MonitorDuty, Reason: why}})
	}
	write("old")
	g.do(statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: controller.MonitorDuty, Process: "holder"}})
	for range 5 {
		lead := g.awaitLeader()
		write("old")
		g.Members[lead].Freeze()
		g.Ways[lead].Cut(true)
		write("new") // by another one
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 4 { // some are there as it wakes
			wg.Go(func() {
				direct := &quorum.Client{Group: "test", Addrs: []string{g.Addrs[lead]}}
				defer direct.Close()
				for {
					select {
					case <-stop:
						return
					default:
					}
					ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
					if v, err := direct.Read(ctx, ""); err == nil && v.Table.Duties[controller.MonitorDuty].PauseReason != "new" {
						t.Errorf("a leader of the past answers %q", v.Table.Duties[controller.MonitorDuty].PauseReason)
					}
					r, err := direct.Do(ctx, statemachine.Command{Lease: &lease.Request{Op: lease.Renew, Duty: controller.MonitorDuty, Process: "holder", Epoch: lease.BaseEpoch(1) + 1}})
					if err == nil && r.Error == "" {
						t.Error("a leader of the past renews a lease")
					}
					cancel()
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		g.Members[lead].Wake()
		time.Sleep(500 * time.Millisecond)
		close(stop)
		wg.Wait()
		g.Ways[lead].Cut(false)
	}
}

// A member reaches some members and not others. While one of them reaches a majority the duties' work goes on, whoever leads.
func TestMemberThatReachesOnlySomeOthers(t *testing.T) {
	g := newGroup(t, 3)
	dir := testMap(t)
	g.owner("o", dir, []string{controller.PlacementDuty}, nil)
	ids := make([]string, 3) // as members name themselves in their words
	for i, a := range g.Client.Addrs {
		s, err := g.Client.StatusOf(g.within(time.Second), a)
		if err != nil {
			t.Fatal(err)
		}
		n, err := strconv.ParseUint(s.ID, 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		ids[i] = strconv.FormatUint(n, 10)
	}
	apart := func(x, y int, cut bool) {
		g.Ways[x].Set(faults.There, faults.Fate{Lost: cut, Of: ids[y]})
		g.Ways[y].Set(faults.There, faults.Fate{Lost: cut, Of: ids[x]})
	}
	for round := range 3 {
		lead := g.awaitLeader()
		x, y := (lead+1)%3, (lead+2)%3
		if round == 2 {
			x, y = lead, (lead+1)%3 // the one that leads is left with the third
		}
		apart(x, y, true)
		time.Sleep(700 * time.Millisecond) // over an election
		id := fmt.Sprint("m", round)
		g.submit(controller.PlacementDuty, id, controller.KindMove, controller.MoveRequest{Tenant: fmt.Sprint("t", round), To: "b"})
		if it := g.over(controller.PlacementDuty, id, 15*time.Second); it.State != controller.Done {
			t.Errorf("%s: %s", it.State, it.Note)
		}
		apart(x, y, false)
	}
	if head, _, err := (proxy.VersionDir{Dir: dir}).Head(); err != nil || head.Version != 4 {
		t.Errorf("version %d, %v", head.Version, err)
	}
}
