package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"silverpath/internal/cells"
	"silverpath/internal/duties"
	"silverpath/internal/fleet"
	"silverpath/internal/group"
	"silverpath/internal/harness"
	"silverpath/internal/lease"
	"silverpath/internal/owner"
	"silverpath/internal/quorum"
	"silverpath/internal/quorum/member"
	"silverpath/internal/settings"
	"silverpath/internal/standin"
	"silverpath/internal/standin/faults"
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
		owner.Boundary = func(duty, boundary string, step uint64) {
			if at == fmt.Sprintf("%s:%s:%d", duty, boundary, step) && once.CompareAndSwap(false, true) {
				fmt.Fprintln(os.Stderr, "stopped at", at)
				syscall.Kill(os.Getpid(), syscall.SIGSTOP)
				time.Sleep(20 * time.Millisecond) // the signal is the process's: it may come a little later
			}
		}
	}
	if rate, err := strconv.ParseFloat(os.Getenv("SILVERPATH_CLOCK"), 64); err == nil {
		member.Clocks = rate
	}
	if file := os.Getenv("SILVERPATH_DISK"); file != "" {
		member.Fault = func(string) error {
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

// testGroup is a group of this program's processes. Each hears the others, and those who ask, by a way of its own.
type testGroup struct {
	t       testing.TB
	dir     string
	addrs   []string // where the members listen
	ways    []*faults.Between
	members []*harness.Process
	client  *quorum.Client
}

func freeAddr(t testing.TB) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newGroup(t testing.TB, n int) *testGroup {
	t.Helper()
	g := &testGroup{t: t, dir: t.TempDir(), client: &quorum.Client{Group: "test"}, members: make([]*harness.Process, n)}
	for i := range n {
		g.addrs = append(g.addrs, freeAddr(t))
		way, err := faults.Listen(g.addrs[i], true, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(way.Close)
		g.ways = append(g.ways, way)
		g.client.Addrs = append(g.client.Addrs, way.Addr())
	}
	t.Cleanup(g.client.Close)
	t.Cleanup(func() {
		for i, m := range g.members {
			if t.Failed() && m != nil {
				t.Logf("member %d:\n%s", i, m.Log())
			}
		}
	})
	for i := range n {
		g.start(i)
	}
	if _, err := g.client.Found(g.within(10*time.Second), lease.Terms{TTL: testLease, Drift: 0.05}); err != nil {
		t.Fatal(err)
	}
	g.awaitLeader()
	return g
}

func (g *testGroup) within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	g.t.Cleanup(cancel)
	return ctx
}

func (g *testGroup) diskOf(i int) string { return filepath.Join(g.dir, fmt.Sprint("q", i)) }

func (g *testGroup) start(i int, env ...string) {
	g.t.Helper()
	list, _ := json.Marshal(g.client.Addrs)
	file := write(g.t, "quorum.json", fmt.Sprintf(`{"name":"q%d","group":"test","members":%s,"member":{"listen":%q,"addr":%q,"dir":%q,"tick_ms":20}}`,
		i, list, g.addrs[i], g.ways[i].Addr(), g.diskOf(i)))
	g.members[i] = begin(g.t, []string{"quorum", "--config", file}, append(env, "SILVERPATH_DISK="+g.diskOf(i)+".fault")...)
	if _, err := g.members[i].Await(10*time.Second, 0, "group.listening"); err != nil {
		g.t.Fatal(err)
	}
}

// fault has a member's disk fail, or stall for a time with every write; empty: well again.
func (g *testGroup) fault(i int, text string) {
	if text == "" {
		os.Remove(g.diskOf(i) + ".fault")
	} else if err := os.WriteFile(g.diskOf(i)+".fault", []byte(text), 0o600); err != nil {
		g.t.Fatal(err)
	}
}

func (g *testGroup) awaitLeader() int {
	g.t.Helper()
	if _, err := g.client.Read(g.within(10*time.Second), ""); err != nil {
		g.t.Fatalf("no leader: %v", err)
	}
	for i, a := range g.client.Addrs {
		if s, err := g.client.StatusOf(g.within(time.Second), a); err == nil && s.State == "leader" {
			return i
		}
	}
	return g.awaitLeader()
}

func (g *testGroup) view() quorum.View {
	g.t.Helper()
	v, err := g.client.Read(g.within(10*time.Second), "*")
	if err != nil {
		g.t.Fatal(err)
	}
	return v
}

func (g *testGroup) do(c group.Command) group.Result {
	g.t.Helper()
	r, err := g.client.Do(g.within(10*time.Second), c)
	if err != nil {
		g.t.Fatal(err)
	}
	return r
}

// submit queues a request to a duty.
func (g *testGroup) submit(duty, id, kind string, args any) {
	g.t.Helper()
	raw, err := json.Marshal(args)
	if err != nil {
		g.t.Fatal(err)
	}
	if r := g.do(group.Command{Submit: &group.Submit{Duty: duty, ID: id, Kind: kind, Args: raw}}); r.Error != "" {
		g.t.Fatal(r.Error)
	}
}

// over waits until nothing more becomes of an item.
func (g *testGroup) over(duty, id string, within time.Duration) duties.Item {
	g.t.Helper()
	it, err := follow(g.within(within), g.client, duty, id, func(duties.Item) {})
	if err != nil {
		g.t.Fatalf("%s is %s, %s: %v", id, it.State, it.Note, err)
	}
	return it
}

// owner starts a process that owns duties, and asks the group by ways of its own where those are given.
func (g *testGroup) owner(name, dir string, list []string, members []string, env ...string) *harness.Process {
	g.t.Helper()
	if members == nil {
		members = g.client.Addrs
	}
	ds, _ := json.Marshal(list)
	ms, _ := json.Marshal(members)
	file := write(g.t, "owner.json", fmt.Sprintf(`{"name":%q,"group":"test","members":%s,"owner":{"duties":%s,"map":%q}}`, name, ms, ds, dir))
	return begin(g.t, []string{"duty", "run", "--config", file}, env...)
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
		Version: 1, Window: time.Second, Skew: 50 * time.Millisecond, Lease: time.Second, Patient: time.Second,
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
	if err := (fleet.Series{Dir: dir}).Put(1, settings.FormatCells(m)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// A member is told apart by group, and by disk: one whose disk was emptied has no vote until it was added anew; one whose
// disk is older than its words stops and says so; two processes on copies of one disk don't both go on.
func TestMembers(t *testing.T) {
	g := newGroup(t, 3)
	for i := range 30 {
		g.do(group.Command{Ask: &lease.Ask{Op: lease.Pause, Duty: duties.Conducts, Why: fmt.Sprint(i)}})
	}
	stranger := &quorum.Client{Group: "other", Addrs: g.client.Addrs}
	defer stranger.Close()
	if _, err := stranger.Read(g.within(5*time.Second), ""); err == nil || !strings.Contains(err.Error(), `this is group "test", not "other"`) {
		t.Errorf("a stranger: %v", err)
	}
	// An empty disk under the old name.
	lead := g.awaitLeader()
	x := (lead + 1) % 3
	g.members[x].Kill()
	if err := os.Rename(g.diskOf(x), g.diskOf(x)+".aside"); err != nil {
		t.Fatal(err)
	}
	g.start(x)
	s, err := g.client.StatusOf(g.within(time.Second), g.client.Addrs[x])
	if err != nil || s.State != "unfounded" || s.Voter {
		t.Errorf("on an empty disk: %+v, %v", s, err)
	}
	if _, err := g.client.Found(g.within(5*time.Second), lease.Terms{TTL: testLease}); err == nil {
		t.Error("a group is founded over another one")
	}
	flags := []string{"--group", "test", "--members", strings.Join(g.client.Addrs, ",")}
	if code, _, message := run(t, "", append([]string{"quorum", "add", "--addr", g.client.Addrs[x]}, flags...)...); code != 1 || !strings.Contains(message, "by another disk: remove that first") {
		t.Errorf("added beside its old disk: %d, %s", code, message)
	}
	for _, args := range [][]string{{"remove", "--name", fmt.Sprint("q", x)}, {"add", "--addr", g.client.Addrs[x]}} {
		if code, out, message := run(t, "", append(append([]string{"quorum"}, args...), flags...)...); code != 0 {
			t.Fatalf("%v: %s%s", args, out, message)
		}
	}
	await(t, "the new disk has a vote", 5*time.Second, func() bool {
		s, err := g.client.StatusOf(g.within(time.Second), g.client.Addrs[x])
		return err == nil && s.Voter && s.State == "follower"
	})
	if g.view().Table.Duties[duties.Conducts].Paused != "29" {
		t.Error("what was agreed is gone")
	}
	// An older disk: copied, then more is agreed on, and the copy put back.
	g.members[x].Kill()
	data, err := os.ReadFile(filepath.Join(g.diskOf(x), "group.db"))
	if err != nil {
		t.Fatal(err)
	}
	g.start(x)
	for i := range 30 {
		g.do(group.Command{Ask: &lease.Ask{Op: lease.Pause, Duty: duties.Conducts, Why: fmt.Sprint("b", i)}})
	}
	time.Sleep(1300 * time.Millisecond) // it has said how far it is
	g.members[x].Kill()
	if err := os.WriteFile(filepath.Join(g.diskOf(x), "group.db"), data, 0o600); err != nil {
		t.Fatal(err)
	}
	g.start(x)
	if _, err := g.members[x].Await(10*time.Second, 0, "this disk has no vote"); err != nil {
		t.Errorf("an older disk: %v", err)
	}
	if g.view().Table.Duties[duties.Conducts].Paused != "b29" {
		t.Error("what was agreed is gone")
	}
}

// What was agreed on is there after all have lost power, and epochs only rise; a disk that stalls, is full or fails stops
// nobody else, and what it did not keep is not trusted.
func TestGroupDisks(t *testing.T) {
	g := newGroup(t, 3)
	ask := func(op lease.Op, who string, e lease.Epoch) group.Result {
		return g.do(group.Command{Ask: &lease.Ask{Op: op, Duty: duties.Watches, Who: who, Epoch: e}})
	}
	last := lease.Epoch(0)
	for n := range 4 {
		lead := g.awaitLeader()
		switch n {
		case 0:
			g.fault((lead+1)%3, "2s") // every write
		case 1:
			g.fault(lead, "no space left on device")
		case 2:
			g.fault(lead, "input/output error")
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
		for i := range g.members {
			g.fault(i, "")
			if n == 0 {
				time.Sleep(700 * time.Millisecond) // together the stall
			}
			if n == 3 {
				g.members[i].Kill() // the power
			}
		}
		for i, m := range g.members {
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
			old := g.owner("old", dir, []string{duties.MapKeeper}, nil, "SILVERPATH_STOP_AT=keeper:"+at)
			if _, err := old.Await(10*time.Second, 0, "duty.owned"); err != nil {
				t.Fatal(err)
			}
			for i := range 3 {
				g.submit(duties.MapKeeper, fmt.Sprint("m", i), duties.KindMove, duties.Move{Tenant: fmt.Sprint("t", i), To: "b"})
			}
			if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
				t.Fatal(err)
			}
			next := g.owner("next", dir, []string{duties.MapKeeper}, nil)
			for i := range 3 {
				if it := g.over(duties.MapKeeper, fmt.Sprint("m", i), 15*time.Second); it.State != duties.Done {
					t.Errorf("m%d: %s, %s", i, it.State, it.Note)
				}
			}
			head, raw, err := fleet.Series{Dir: dir}.Head()
			if err != nil || head.Version != 4 {
				t.Fatalf("version %d, %v", head.Version, err)
			}
			from := old.Lines()
			old.Wake()
			if _, err := old.Await(10*time.Second, from, "duty.lost"); err != nil {
				t.Error(err)
			}
			time.Sleep(300 * time.Millisecond)
			again, after, err := fleet.Series{Dir: dir}.Head()
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
	members, _ := json.Marshal(g.client.Addrs)
	for i := range n {
		m, err := standin.Listen(standin.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: standin.Shape{Knee: 8, Speed: 1},
			Other: standin.Class{Least: time.Millisecond, Most: 2 * time.Millisecond}, RunFactor: 1, Seed: uint64(i + 1)})
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
		list = append(list, cells.Server{Name: name, Addr: freeAddr(t), Mgmt: way.Addr(), Cell: string(rune('a' + i%2)), Weight: 1})
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
			old := g.owner("old", s.dir, []string{duties.Conducts}, nil, "SILVERPATH_STOP_AT=conductor:"+at)
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
			g.submit(duties.Conducts, "r", duties.KindRoll, duties.Roll{CellMost: 1, AllMost: 1, DwellMS: 50, BackMS: 5000})
			if _, err := old.Await(10*time.Second, 0, "stopped at"); err != nil {
				t.Fatal(err)
			}
			g.owner("next", s.dir, []string{duties.Conducts}, nil)
			if it := g.over(duties.Conducts, "r", 20*time.Second); it.State != duties.Done {
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
	first := g.owner("first", s.dir, []string{duties.Conducts}, nil)
	g.submit(duties.Conducts, "r1", duties.KindRoll, duties.Roll{CellMost: 1, AllMost: 1, DwellMS: 10, BackMS: 5000})
	g.over(duties.Conducts, "r1", 15*time.Second)
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
	second := g.owner("second", s.dir, []string{duties.Conducts}, nil)
	if _, err := second.Await(10*time.Second, 0, "duty.owned"); err != nil {
		t.Fatal(err)
	}
	g.submit(duties.Conducts, "r2", duties.KindRoll, duties.Roll{CellMost: 1, AllMost: 1, DwellMS: 10, BackMS: 5000})
	g.over(duties.Conducts, "r2", 15*time.Second)
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
	for i := range g.ways {
		g.ways[i].Cut(true)
	}
	if a, err := s.mgmt[0].Again(evacuate); err != nil || !strings.Contains(a, "no epoch is known yet") {
		t.Errorf("without book and group: %q, %v", a, err)
	}
	for i := range g.ways {
		g.ways[i].Cut(false)
	}
	g.awaitLeader()
	if a, err := s.mgmt[0].Again(evacuate); err != nil || !strings.Contains(a, "stale epoch") {
		t.Errorf("without its book: %q, %v", a, err)
	}
	if s.out() != 0 {
		t.Error("a late order took effect")
	}
}

// The group loses its majority in the middle of a roll: servers serve on, nobody is sent out meanwhile, and the roll is
// finished when it is back.
func TestMajorityLost(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 4)
	g.owner("one", s.dir, []string{duties.Conducts, duties.MapKeeper}, nil)
	g.submit(duties.Conducts, "r", duties.KindRoll, duties.Roll{CellMost: 1, AllMost: 2, DwellMS: 100, BackMS: 8000})
	await(t, "one is out", 10*time.Second, func() bool { return s.out() > 0 })
	g.members[0].Kill()
	g.members[1].Freeze()
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
	g.submitLater("m", duties.KindMove, duties.Move{Tenant: "t1", To: "b"})
	g.members[1].Wake()
	g.start(0)
	if it := g.over(duties.Conducts, "r", 20*time.Second); it.State != duties.Done {
		t.Errorf("the roll: %s, %s", it.State, it.Note)
	}
	if it := g.over(duties.MapKeeper, "m", 10*time.Second); it.State != duties.Done {
		t.Errorf("the move: %s, %s", it.State, it.Note)
	}
}

// submitLater queues a request once the group can be asked.
func (g *testGroup) submitLater(id, kind string, args any) {
	raw, _ := json.Marshal(args)
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.client.Do(g.within(20*time.Second), group.Command{Submit: &group.Submit{Duty: duties.MapKeeper, ID: id, Kind: kind, Args: raw}})
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
				g.members[i].Kill()
				g.start(i, "SILVERPATH_CLOCK="+clocks[1])
			}
			g.awaitLeader()
			var ways []*faults.Between
			var addrs []string
			for _, a := range g.client.Addrs {
				w, err := faults.Listen(a, true, 1)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(w.Close)
				ways, addrs = append(ways, w), append(addrs, w.Addr())
			}
			dir := testMap(t)
			one := g.owner("one", dir, []string{duties.MapKeeper}, addrs, "SILVERPATH_CLOCK="+clocks[0])
			if _, err := one.Await(10*time.Second, 0, "duty.owned"); err != nil {
				t.Fatal(err)
			}
			two := g.owner("two", dir, []string{duties.MapKeeper}, nil)
			await(t, "two waits", 5*time.Second, func() bool { return len(g.view().Table.Duties[duties.MapKeeper].Queue) == 1 })
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
			if lost[:15] > owned[:15] { // both logs have the time of day of one machine
				t.Errorf("two owned before one had stopped: %s, %s", owned[:15], lost[:15])
			}
		})
	}
}

// A server that can't be told, or does not come back, stops the roll, which says why, and blocks no other duty.
func TestRollStops(t *testing.T) {
	g := newGroup(t, 3)
	s := newServers(t, g, 3)
	g.owner("one", s.dir, []string{duties.Conducts, duties.MapKeeper}, nil)
	g.submit(duties.Conducts, "r", duties.KindRoll, duties.Roll{CellMost: 1, AllMost: 1, DwellMS: 300, BackMS: 700})
	await(t, "one is out", 10*time.Second, func() bool { return s.out() > 0 })
	for i, p := range s.procs {
		if strings.Contains(p.Log(), "phase evacuated") {
			s.procs[i].Freeze()
		}
	}
	g.submit(duties.MapKeeper, "m", duties.KindMove, duties.Move{Tenant: "t1", To: "b"})
	if it := g.over(duties.MapKeeper, "m", 5*time.Second); it.State != duties.Done {
		t.Errorf("the other duty: %s, %s", it.State, it.Note)
	}
	it := g.over(duties.Conducts, "r", 30*time.Second)
	if it.State != duties.Failed || !strings.Contains(it.Note, "come back") {
		t.Errorf("%s: %s", it.State, it.Note)
	}
	if n := len(g.view().Journals[duties.Conducts].Items); n != 1 {
		t.Errorf("%d items", n)
	}
}
