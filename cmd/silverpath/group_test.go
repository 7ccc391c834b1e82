package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
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

// installTestHooks lets the test binary run as a group member or duty owner, and installs the faults that the
// environment asks for: a boundary at which the process suspends itself, a clock of another rate or offset,
// other document formats, disabled checks, and a disk that stalls, fills up or fails while a fault file
// exists.
func installTestHooks() {
	runQuorumProgram = func(args ...string) error {
		cmd := member.Command()
		cmd.SetArgs(args)
		return cmd.Execute()
	}
	if at := os.Getenv("SILVERPATH_STOP_AT"); at != "" { // DUTY:BOUNDARY:STEP, once
		var once atomic.Bool
		runner.BoundaryHook = func(duty, boundary string, step uint64) {
			if at == fmt.Sprintf("%s:%s:%d", duty, boundary, step) && once.CompareAndSwap(false, true) {
				fmt.Fprintln(os.Stderr, "stopped at", at)
				_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
				time.Sleep(20 * time.Millisecond) // SIGSTOP may reach this thread a little later
			}
		}
	}
	if offset, err := time.ParseDuration(os.Getenv("SILVERPATH_WALL")); err == nil {
		runner.WallClock = func() time.Time { return time.Now().Add(offset) }
		configwatch.WallClock, proxy.Wall = runner.WallClock, runner.WallClock
	}
	// Act as a build that reads another format of the routing document or of the map.
	if n, err := strconv.Atoi(os.Getenv("SILVERPATH_FORMAT")); err == nil {
		configwatch.FormatOverrides = map[string]int{configstore.DocRouting: n}
	}
	if n, err := strconv.Atoi(os.Getenv("SILVERPATH_MAP_FORMAT")); err == nil {
		configwatch.FormatOverrides = map[string]int{configstore.DocMap: n}
	}
	// Accept snapshot parts without checking their digests.
	configwatch.DisabledGuards.TextCheck = os.Getenv("SILVERPATH_ANY_TEXT") != ""
	installStoreFaults()
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
		member.ClockRate, configwatch.ClockRate, proxy.Rate = rate, rate, rate
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

// testGroup is a quorum group whose members are processes of the test binary.
type testGroup struct {
	*harness.Group
	t testing.TB
}

func newGroup(t testing.TB, n int) *testGroup {
	t.Helper()
	g, err := harness.NewGroup(t.TempDir(), n, lease.Terms{TTL: testLease, Drift: 0.05}, 20*time.Millisecond,
		func(args []string, env ...string) (*harness.Process, error) {
			return harness.Start(programCommand(t, args, env...))
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

// freeAddr reserves a local address for the duration of the test.
func freeAddr(t testing.TB) string {
	t.Helper()
	reserved, err := harness.Reserve()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(reserved.Release)
	return reserved.Addr
}

func (g *testGroup) within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	g.t.Cleanup(cancel)
	return ctx
}

// must returns a function that passes a value through, or ends the test with the error.
func must[T any](t testing.TB) func(T, error) T {
	return func(value T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
}

func (g *testGroup) start(i int, env ...string) {
	g.t.Helper()
	if err := g.Start(i, env...); err != nil {
		g.t.Fatal(err)
	}
}

// awaitLeader waits for a leader and returns its index.
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

// awaitItem waits until an item of a duty is finished, and returns it.
func (g *testGroup) awaitItem(duty, id string, within time.Duration) controller.Item {
	g.t.Helper()
	return must[controller.Item](g.t)(g.AwaitItem(duty, id, within))
}

// startOwner starts a process that competes for the given duties and keeps its maps in dir.
func (g *testGroup) startOwner(name, dir string, duties []string, members []string, env ...string) *harness.Process {
	g.t.Helper()
	p := must[*harness.Process](g.t)(g.StartController(name, dir, duties, members, nil, env...))
	g.t.Cleanup(p.Kill)
	return p
}

// await polls a condition until it is true. It ends the test if the condition is still false after the given
// time.
func await(t testing.TB, what string, within time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not reached within %v: %s", within, what)
		}
	}
}

// testMap writes a map of two cells as version 1 into a new version directory, and returns the directory.
// Without servers it adds one per cell.
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

// testServers are server processes that accept fenced commands. The management front of each is behind a
// fault-injecting proxy.
type testServers struct {
	t     testing.TB
	g     *testGroup
	files []string
	edges []string
	procs []*harness.Process
	mgmt  []*faults.Proxy // proxies of the management fronts
	dir   string          // version directory of the map
}

func newServers(t testing.TB, g *testGroup, n int) *testServers {
	t.Helper()
	s := &testServers{t: t, g: g}
	var list []cells.Server
	members, _ := json.Marshal(g.Client.Addrs)
	for i := range n {
		worker, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Speed: 1},
			DefaultClass: builtinworker.Class{MinWork: time.Millisecond, MaxWork: 2 * time.Millisecond}, RunFactor: 1, Seed: uint64(i + 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(worker.Close)
		name, addr := fmt.Sprint("s", i), freeAddr(t)
		s.files = append(s.files, writeServerConfig(t, name, worker.Addr()))
		s.edges = append(s.edges, writeFile(t, "edge.json", fmt.Sprintf(`{"cell":true,"orders":{"state":%q,"group":"test","members":%s}}`,
			filepath.Join(t.TempDir(), "orders"), members)))
		s.procs = append(s.procs, nil)
		link, err := faults.Listen(addr, false, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(link.Close)
		s.mgmt = append(s.mgmt, link)
		s.start(i, addr)
		list = append(list, cells.Server{Name: name, Addr: freeAddr(t), AdminAddr: link.Addr(), Cell: string(rune('a' + i%2)), Weight: 1})
	}
	s.dir = testMap(t, list...)
	return s
}

// start starts server i with its management front at addr, and points its proxy there.
func (s *testServers) start(i int, addr string) {
	s.t.Helper()
	s.procs[i] = startProgram(s.t, []string{"serve", "--config", s.files[i], "--edge", s.edges[i]}, "LB_MGMT="+addr)
	if _, err := s.procs[i].Await(20*time.Second, 0, "phase serving"); err != nil {
		s.t.Fatal(err)
	}
	s.mgmt[i].SetTarget(addr)
}

// evacuatedNow returns the number of servers that report themselves evacuated when they are asked. A log line
// may arrive later than the answer to a command.
func (s *testServers) evacuatedNow() (n int) {
	s.t.Helper()
	for _, link := range s.mgmt {
		answer, err := link.Replay([]byte("GET /api/ready HTTP/1.1\r\n\r\n"))
		if err != nil {
			s.t.Fatal(err)
		}
		if strings.Contains(answer, "evacuated") {
			n++
		}
	}
	return n
}

// evacuatedInLogs returns the number of servers that are evacuated according to their logs.
func (s *testServers) evacuatedInLogs() (n int) {
	for _, p := range s.procs {
		log := p.Log()
		if strings.LastIndex(log, "phase evacuated") > strings.LastIndex(log, "phase serving") {
			n++
		}
	}
	return n
}

// pauseModel is the model of a linearizable history of the group. A duty's pause reason is a register: an
// operation with an input writes it, one without reads it.
var pauseModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if in.(string) != "" {
			return true, in
		}
		return out.(string) == state.(string), state
	},
}

// submitAsync submits an item in the background, as the group may have no majority yet.
func (g *testGroup) submitAsync(id, kind string, args any) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Submit(controller.PlacementDuty, id, kind, args)
	}()
	g.t.Cleanup(func() { <-done })
}
