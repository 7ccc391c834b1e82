package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"silverpath/internal/builtinworker"
	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/controlplane/quorum/member"
	"silverpath/internal/controlplane/runner"
	"silverpath/internal/core"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/testkit/standin/faults"
)

// memberProgram makes this test's program that of members and owners too, with the faults that a test asks for in the
// environment: a boundary at which it stops itself, a clock that runs fast or slow, and a disk that stalls, fills up or fails
// while a file is there.
func memberProgram() {
	runMember = func(args ...string) error {
		cmd := member.Command()
		cmd.SetArgs(args)
		return cmd.Execute()
	}
	if at := os.Getenv("SILVERPATH_STOP_AT"); at != "" { // DUTY:BOUNDARY:STEP, once
		var once atomic.Bool
		runner.Boundary = func(duty, boundary string, step uint64) {
			if at == fmt.Sprintf("%s:%s:%d", duty, boundary, step) && once.CompareAndSwap(false, true) {
				fmt.Fprintln(os.Stderr, "stopped at", at)
				_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
				time.Sleep(20 * time.Millisecond) // the signal is the process's: it may come a little later
			}
		}
	}
	if by, err := time.ParseDuration(os.Getenv("SILVERPATH_WALL")); err == nil {
		runner.Wall = func() time.Time { return time.Now().Add(by) }
		configwatch.Wall, proxy.Wall = runner.Wall, runner.Wall
	}
	if n, err := strconv.Atoi(os.Getenv("SILVERPATH_FORMAT")); err == nil { // a build that reads another format of the routing
		configwatch.Formats = map[string]int{configstore.DocRouting: n}
	}
	if n, err := strconv.Atoi(os.Getenv("SILVERPATH_MAP_FORMAT")); err == nil { // or of the map
		configwatch.Formats = map[string]int{configstore.DocMap: n}
	}
	configwatch.DisabledGuards.TextCheck = os.Getenv("SILVERPATH_ANY_TEXT") != "" // parts are taken whatever their digests
	storeProgram()
	core.Unfenced = os.Getenv("SILVERPATH_UNFENCED") != ""
	if os.Getenv("SILVERPATH_STOP_ROUTED") != "" {
		var once atomic.Bool
		proxy.Boundary = func(at string) {
			if once.CompareAndSwap(false, true) {
				fmt.Fprintln(os.Stderr, "stopped", at)
				_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
				time.Sleep(20 * time.Millisecond)
			}
		}
	}
	if rate, err := strconv.ParseFloat(os.Getenv("SILVERPATH_CLOCK"), 64); err == nil {
		member.ClockRate, configwatch.Rate, proxy.Rate = rate, rate, rate
	}
	if file := os.Getenv("SILVERPATH_DISK"); file != "" {
		member.DiskFaultHook = func(string) error {
			text, err := os.ReadFile(file)
			if err != nil {
				return nil
			}
			if d, err := time.ParseDuration(string(text)); err == nil {
				time.Sleep(d)
				return nil
			}
			return fmt.Errorf("%s", text)
		}
	}
}

const testLease = 600 * time.Millisecond

// testGroup is a group of this program's processes.
type testGroup struct {
	*harness.Group
	t testing.TB
}

func newGroup(t testing.TB, n int) *testGroup {
	t.Helper()
	g, err := harness.NewGroup(t.TempDir(), n, lease.Terms{TTL: testLease, Drift: 0.05}, 20*time.Millisecond,
		func(args []string, env ...string) (*harness.Process, error) {
			return harness.Start(program(t, args, env...))
		})
	t.Cleanup(func() {
		for i, m := range g.Members {
			if t.Failed() && m != nil {
				t.Logf("member %d:\n%s", i, m.Log())
			}
		}
		g.Close()
	})
	if err != nil {
		t.Fatal(err)
	}
	return &testGroup{g, t}
}

func freeAddr(t testing.TB) string {
	t.Helper()
	addr, err := harness.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

func (g *testGroup) within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	g.t.Cleanup(cancel)
	return ctx
}

func must[T any](t testing.TB) func(T, error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

func (g *testGroup) start(i int, env ...string) {
	g.t.Helper()
	if err := g.Start(i, env...); err != nil {
		g.t.Fatal(err)
	}
}

func (g *testGroup) awaitLeader() int { g.t.Helper(); return must[int](g.t)(g.Leader()) }

func (g *testGroup) view() quorum.StateView {
	g.t.Helper()
	return must[quorum.StateView](g.t)(g.View())
}

func (g *testGroup) do(c statemachine.Command) statemachine.Result {
	g.t.Helper()
	return must[statemachine.Result](g.t)(g.Do(c))
}

func (g *testGroup) submit(duty, id, kind string, args any) {
	g.t.Helper()
	if err := g.Submit(duty, id, kind, args); err != nil {
		g.t.Fatal(err)
	}
}

func (g *testGroup) over(duty, id string, within time.Duration) controller.Item {
	g.t.Helper()
	return must[controller.Item](g.t)(g.Over(duty, id, within))
}

func (g *testGroup) owner(name, dir string, list []string, members []string, env ...string) *harness.Process {
	g.t.Helper()
	p := must[*harness.Process](g.t)(g.Owner(name, dir, list, members, nil, env...))
	g.t.Cleanup(p.Kill)
	return p
}

func await(t testing.TB, what string, within time.Duration, yes func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !yes(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// testMap is a map of two cells in a folder of versions.
func testMap(t testing.TB, servers ...cells.Server) (dir string) {
	t.Helper()
	m := &cells.Map{
		Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells: []cells.Cell{{Name: "a", Capacity: 1000}, {Name: "b", Capacity: 1000}}, Servers: servers,
	}
	if servers == nil {
		for i, c := range []string{"a", "b"} {
			m.Servers = append(m.Servers, cells.Server{Name: "s" + c, Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Cell: c, Weight: 1})
		}
	}
	for i := range 20 {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprint("t", i), Rate: 1, Homes: []cells.Home{{Cell: "a"}}})
	}
	dir = t.TempDir()
	if err := (proxy.VersionDir{Dir: dir}).Put(1, settings.FormatCells(m)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// A member is told apart by group, and by disk: one whose disk was emptied has no vote until it was added anew; one whose
// disk is older than its words stops and says so; two processes on copies of one disk don't both go on.
func TestMembers(t *testing.T) {
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

// What was agreed on is there after all have lost power, and epochs only rise; a disk that stalls, is full or fails stops
// nobody else, and what it did not keep is not trusted.
func TestGroupDisks(t *testing.T) {
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

// The map's keeper is stopped at every boundary of its act; another one takes the duty and the moves are finished, each
// once; then the first wakes: nothing that it does takes effect, and it says that it has lost the duty.
func TestKeeperStopped(t *testing.T) {
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

// testServers are servers of this program that take orders of the fleet, each behind a way for its management front.
type testServers struct {
	t     testing.TB
	g     *testGroup
	files []string
	edges []string
	procs []*harness.Process
	mgmt  []*faults.Between
	dir   string // of the map
}

func newServers(t testing.TB, g *testGroup, n int) *testServers {
	t.Helper()
	s := &testServers{t: t, g: g}
	var list []cells.Server
	members, _ := json.Marshal(g.Client.Addrs)
	for i := range n {
		m, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Speed: 1},
			Other: builtinworker.Class{Least: time.Millisecond, Most: 2 * time.Millisecond}, RunFactor: 1, Seed: uint64(i + 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(m.Close)
		name, at := fmt.Sprint("s", i), freeAddr(t)
		s.files = append(s.files, siteFile(t, name, m.Addr()))
		s.edges = append(s.edges, write(t, "edge.json", fmt.Sprintf(`{"cell":true,"orders":{"state":%q,"group":"test","members":%s}}`,
			filepath.Join(t.TempDir(), "orders"), members)))
		s.procs = append(s.procs, nil)
		way, err := faults.Listen(at, false, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(way.Close)
		s.mgmt = append(s.mgmt, way)
		s.start(i, at)
		list = append(list, cells.Server{Name: name, Addr: freeAddr(t), AdminAddr: way.Addr(), Cell: string(rune('a' + i%2)), Weight: 1})
	}
	s.dir = testMap(t, list...)
	return s
}

func (s *testServers) start(i int, at string) {
	s.t.Helper()
	s.procs[i] = begin(s.t, []string{"serve", "--config", s.files[i], "--edge", s.edges[i]}, "LB_MGMT="+at)
	if _, err := s.procs[i].Await(20*time.Second, 0, "phase serving"); err != nil {
		s.t.Fatal(err)
	}
	s.mgmt[i].To(at)
}

// outNow is how many say that they are out as they are asked. A log tells later than an answer: its line may still be on its way
// as the answer is here.
func (s *testServers) outNow() (n int) {
	s.t.Helper()
	for _, way := range s.mgmt {
		a, err := way.Again([]byte("GET /api/ready HTTP/1.1\r\n\r\n"))
		if err != nil {
			s.t.Fatal(err)
		}
		if strings.Contains(a, "evacuated") {
			n++
		}
	}
	return n
}

// out is how many are out by their logs.
func (s *testServers) out() (n int) {
	for _, p := range s.procs {
		log := p.Log()
		if strings.LastIndex(log, "phase evacuated") > strings.LastIndex(log, "phase serving") {
			n++
		}
	}
	return n
}

// roll is the order of steps of a roll of two servers: 1 begins it, 2 means the first to go out, 3 says that it is.
func TestConductorStopped(t *testing.T) {
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

// An order of the old owner that was held on the way comes after the new owner's, also at a server that was started anew in
// between and whose book is gone: it is refused by name.
func TestOrderHeld(t *testing.T) {
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

// pauses is what a history of the group must be like: a duty's pause as a register that is written and read.
var pauses = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if in.(string) != "" {
			return true, in
		}
		return out.(string) == state.(string), state
	},
}

// What the group agrees on is one history, whatever becomes of its members and of what they say.
func TestGroupHistory(t *testing.T) {
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

// The group loses its majority in the middle of a roll: servers serve on, nobody is sent out meanwhile, and the roll is
// finished when it is back.
func TestMajorityLost(t *testing.T) {
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

// submitLater queues a request once the group can be asked.
func (g *testGroup) submitLater(id, kind string, args any) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Submit(controller.PlacementDuty, id, kind, args)
	}()
	g.t.Cleanup(func() { <-done })
}

// An owner that reaches the servers and not the group stops by itself before another one begins, on a fast and on a slow
// clock; one that reaches the group and not the servers gives up by the stated rule, and another duty goes on.
func TestOwnerCut(t *testing.T) {
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

// A server that can't be told, or does not come back, stops the roll, which says why, and blocks no other duty.
func TestRollStops(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 3)
	g.owner("one", s.dir, []string{controller.RolloutDuty, controller.PlacementDuty}, nil)
	g.submit(controller.RolloutDuty, "r", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 1, DwellMS: 300, ReturnMS: 700})
	await(t, "one is out", 10*time.Second, func() bool { return s.out() > 0 })
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

// The watcher takes a server out of the map that all routers have lost, through the keeper; not one that only one router
// can't reach, and never one whose cell would be left with too few.
func TestWatcherOut(t *testing.T) {
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
	if _, err := o.Await(20*time.Second, 0, "watcher.partly", "server=s1"); err != nil {
		t.Fatal(err)
	}
	ways[0].Cut(true)
	servers[0].Kill()
	if _, err := o.Await(20*time.Second, 0, "watcher.dead", "server=s0"); err != nil {
		t.Fatal(err)
	}
	if it := g.over(controller.PlacementDuty, "gone-s0-1", 10*time.Second); it.State != controller.Done {
		t.Errorf("%s: %s", it.State, it.Note)
	}
	ways[3].Cut(true)
	servers[3].Kill()
	if _, err := o.Await(20*time.Second, 0, "watcher.dead", "server=s3"); err != nil {
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

// An owner whose wall clock is an hour off keeps its lease, which does not count by it, and plans no map by it: it hands the
// duty on to one whose clock is right, and says why.
func TestWallClock(t *testing.T) {
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

// Two candidates at once, a thousand rounds: each time one owns it, by an epoch of its own, and the other comes next.
func TestCandidates(t *testing.T) {
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

// The owner's own process leads the group, and dies with it: another one goes on where it stopped.
func TestLeaderOwnerDies(t *testing.T) {
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

// A clock that all but stops, far beyond the bound for drift: its process believes to own the duty for a minute after another
// one does, and nothing that it does takes effect.
func TestClockStops(t *testing.T) {
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

// That words have come is lost for some seconds, and nobody is told: what waits for it fills no connection up for good, and once
// it gets through again there is a leader.
func TestLostWords(t *testing.T) {
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

// One that was stopped after it had seen that it owns the duty, and before its word in the journal, wakes when another one owns
// it and has written nothing: the word is refused by its epoch, and not by its step alone.
func TestStaleWrite(t *testing.T) {
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

// One that was stopped before it published a version wakes when that came too late and its place was withdrawn: it stays so.
func TestLatePublish(t *testing.T) {
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
	if _, err := next.Await(10*time.Second, 0, "map.withdraw", "version=2"); err != nil {
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

// A leader that was stopped while another one was elected, and hears nobody as it wakes, takes itself for the leader for a
// while: what it is asked in that time it does not answer, neither a read nor a renewal.
func TestStaleLeader(t *testing.T) {
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

// A member reaches some members and not others: while one of them reaches a majority there is an owner's work, whoever leads.
func TestPartlyCut(t *testing.T) {
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
