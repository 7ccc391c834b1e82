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
			Other: builtinworker.Class{MinWork: time.Millisecond, MaxWork: 2 * time.Millisecond}, RunFactor: 1, Seed: uint64(i + 1)})
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

// submitLater queues a request once the group can be asked.
func (g *testGroup) submitLater(id, kind string, args any) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Submit(controller.PlacementDuty, id, kind, args)
	}()
	g.t.Cleanup(func() { <-done })
}
