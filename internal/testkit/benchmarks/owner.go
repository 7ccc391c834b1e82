package benchmarks

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silverpath/internal/builtinworker"
	"silverpath/internal/controlplane/quorum/member"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/testkit/standin/faults"
)

// memberEnv is the environment variable that makes the benchmark's own executable run as a quorum member whose disk writes
// can be delayed. The built program has no setting for a slow disk.
const memberEnv = "SILVERPATH_LAB"

// RunMember runs the process as a quorum member if the environment variable SILVERPATH_LAB is set, and reports whether it
// did. If the variable SILVERPATH_DISK names a file, each disk operation is delayed by the duration in that file. An error
// of the member ends the process with exit code 1.
func RunMember() bool {
	if os.Getenv(memberEnv) == "" {
		return false
	}
	if file := os.Getenv("SILVERPATH_DISK"); file != "" {
		member.DiskFaultHook = func(string) error {
			if text, err := os.ReadFile(file); err == nil {
				if d, err := time.ParseDuration(string(text)); err == nil {
					time.Sleep(d)
				}
			}
			return nil
		}
	}
	cmd := member.Command()
	cmd.SetArgs(append([]string{"member"}, os.Args[2:]...))
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	return true
}

// processStarter returns a harness.Starter that starts the executable bin without the variable LB_CONFIG.
func processStarter(bin string) harness.Starter {
	return func(args []string, env ...string) (*harness.Process, error) {
		cmd := exec.Command(bin, args...)
		cmd.Env = append(append(os.Environ(), "LB_CONFIG="), env...)
		return harness.Start(cmd)
	}
}

// slowDiskStarter returns a harness.Starter that starts the benchmark's own executable as a quorum member whose disk writes can
// be delayed.
func slowDiskStarter() harness.Starter {
	return func(args []string, env ...string) (*harness.Process, error) {
		exe, err := os.Executable()
		if err != nil {
			return nil, err
		}
		return processStarter(exe)(args, append(env, memberEnv+"=1")...)
	}
}

var ownerTerms = lease.Terms{TTL: 600 * time.Millisecond, Drift: 0.05}

// Owner measures the leased controllers: how safely and how fast their leases change hands, and what the quorum costs.
func Owner(b *testing.B) {
	bin, err := buildCommands(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("simulated", simulated)
	b.Run("schedules", func(b *testing.B) { schedules(b, bin) })
	b.Run("operators", func(b *testing.B) { twoOperators(b, bin) })
	b.Run("gap", func(b *testing.B) { gaps(b, bin) })
	b.Run("commits", func(b *testing.B) { commits(b) })
	b.Run("roll", func(b *testing.B) { rollingRestarts(b, bin) })
	b.Run("down", func(b *testing.B) { groupDown(b, bin) })
}

// buildCommands builds all commands of the module into dir and returns the path of the silverpath executable.
func buildCommands(dir string) (string, error) {
	out, err := exec.Command("go", "build", "-o", dir+"/", "silverpath/cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("failed to build the commands: %w\n%s", err, out)
	}
	return filepath.Join(dir, "silverpath"), nil
}

// envInt returns the integer in the environment variable name, or def if the variable holds none.
func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// simulated runs schedules of faults in simulated time and prints how many rollouts and moves finished.
func simulated(b *testing.B) {
	n := uint64(envInt("SILVERPATH_SIMULATED", 100_000))
	const workers = 6
	var wg sync.WaitGroup
	var finished, ownerChanges atomic.Int64
	startTime := time.Now()
	for worker := range uint64(workers) {
		wg.Go(func() {
			f, h, err := SimOwners(1+worker*n/workers, n/workers, nil)
			finished.Add(int64(f))
			ownerChanges.Add(int64(h))
			if err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	fmt.Printf("\nsimulated: %d schedules in %v, %d rolls and moves finished, %d changes of owner\n", n, time.Since(startTime).Round(time.Second), finished.Load(), ownerChanges.Load())
}

// ---- Schedules of faults over real processes ----

// rig is a quorum group and the servers that receive commands from its leased controllers.
type rig struct {
	group        *harness.Group
	mapDir       string // directory of the map's versions
	servers      []*Process
	proxies      []*faults.Proxy
	closers      []func()
	bin          string
	site         Site
	dirs         []string
	interpreters []*builtinworker.Interpreter
}

// Close stops what the rig has started, in reverse order.
func (r *rig) Close() {
	for _, c := range slices.Backward(r.closers) {
		c()
	}
}

// newRig starts a group of three members and serverCount servers in two cells, and publishes the first version of their map. The rig
// is returned with an error too, because the caller has to close what was started.
func newRig(bin, home string, serverCount int, terms lease.Terms) (r *rig, err error) {
	r = &rig{mapDir: filepath.Join(home, "map"), bin: bin, site: Site{Cores: 8, MemoryKB: 65536, ProcMB: 64, Sockets: 128}}
	if err = os.MkdirAll(r.mapDir, 0o755); err != nil {
		return r, err
	}
	r.group, err = harness.NewGroup(home, 3, terms, 20*time.Millisecond, processStarter(bin))
	r.closers = append(r.closers, r.group.Close)
	if err != nil {
		return r, err
	}
	m := ownerMap()
	for i := range serverCount {
		interpreter, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Speed: 1}, RunFactor: 1, Seed: uint64(i + 1)})
		if err != nil {
			return r, err
		}
		r.closers = append(r.closers, interpreter.Close)
		r.interpreters, r.dirs = append(r.interpreters, interpreter), append(r.dirs, filepath.Join(home, fmt.Sprint("s", i)))
		r.servers = append(r.servers, nil)
		if err := r.start(i); err != nil {
			return r, err
		}
		faultProxy, err := faults.Listen(r.servers[i].Mgmt, false, uint64(i))
		if err != nil {
			return r, err
		}
		r.closers = append(r.closers, faultProxy.Close, func() { r.servers[i].Kill() })
		r.proxies = append(r.proxies, faultProxy)
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("s", i), Addr: r.servers[i].Platform, AdminAddr: faultProxy.Addr(), Cell: string(rune('a' + i%2)), Weight: 1})
	}
	return r, proxy.VersionDir{Dir: r.mapDir}.Put(1, settings.FormatCells(m))
}

// ownerMap returns a map of two cells and 64 tenants, without servers. A caller can extend the tenants up to 4096 by reslicing.
func ownerMap() *cells.Map {
	m := &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells: []cells.Cell{{Name: "a", Capacity: 1e6}, {Name: "b", Capacity: 1e6}}}
	for i := range 4096 {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprint("t", i), Rate: 1, Homes: []cells.Home{{Cell: "a"}}})
	}
	m.Tenants = m.Tenants[:64]
	return m
}

// start starts server i and points its fault proxy at it.
func (r *rig) start(i int) error {
	if err := os.MkdirAll(r.dirs[i], 0o700); err != nil {
		return err
	}
	list, _ := json.Marshal(r.group.Client.Addrs)
	p, err := Start(r.bin, r.dirs[i], r.site, r.interpreters[i].Addr(), fmt.Sprintf(`{"cell":true,"orders":{"state":%q,"group":"test","members":%s}}`,
		filepath.Join(r.dirs[i], "orders"), list))
	if err == nil {
		r.servers[i] = p
		if i < len(r.proxies) {
			r.proxies[i].SetTarget(p.Mgmt)
		}
	}
	return err
}

// outcome is the result of one or several schedules.
type outcome struct {
	finished, ownerChanges, staleWrites, maxEvacuated int
	violations                                        []string
	failureNotes                                      []string // notes of the moves and rollouts that failed
}

var (
	phaseLine = regexp.MustCompile(`(?m)^(\S+) phase (\w+)$`)
	orderLine = regexp.MustCompile(`(?m)^(\S+) orders: (\w+) of conductor, epoch (\d+)\.(\d+), step (\d+): (.*)$`)
)

// schedule runs the schedule of one seed: two owners perform a rollout over the servers and two moves while faults of every
// kind are injected for 1.8 s. Then all faults end, and the rollout and both moves have to finish or fail.
func (r *rig) schedule(seed uint64) (o outcome) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	rng := rand.New(rand.NewPCG(seed, 500))
	violation := func(format string, args ...any) {
		o.violations = append(o.violations, fmt.Sprintf("seed %d: ", seed)+fmt.Sprintf(format, args...))
	}
	logOffsets := make([]int, len(r.servers))
	for i, p := range r.servers {
		logOffsets[i] = len(p.Log())
	}
	processes := slices.Clone(r.servers)
	head, _, err := proxy.VersionDir{Dir: r.mapDir}.Head()
	if err != nil {
		violation("failed to read the latest map: %v", err)
		return o
	}
	var owners []*harness.Process
	duties := []string{controller.PlacementDuty, controller.RolloutDuty}
	startOwner := func() {
		p, err := r.group.StartController(fmt.Sprint("o", len(owners)), r.mapDir, duties, nil, nil)
		if err != nil {
			violation("failed to start an owner: %v", err)
			return
		}
		owners = append(owners, p)
	}
	startOwner()
	startOwner()
	defer func() {
		for _, p := range owners {
			o.ownerChanges += strings.Count(p.Log(), "event=duty.owned")
			o.staleWrites += strings.Count(p.Log(), "event=duty.refused")
			p.Kill()
		}
	}()
	rolloutID, moveIDs := fmt.Sprint("r", seed), []string{fmt.Sprint("m", seed, "a"), fmt.Sprint("m", seed, "b")}
	fail := func(err error) bool {
		if err != nil {
			violation("call to the group failed: %v", err)
		}
		return err != nil
	}
	if fail(r.group.Submit(controller.RolloutDuty, rolloutID, controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 2, DwellMS: 60, ReturnMS: 8000})) {
		return o
	}
	firstTenant := int(seed) % 31 * 2
	for k, id := range moveIDs {
		to := "b"
		tenant := head.Tenants[firstTenant+k]
		if tenant.Homes[len(tenant.Homes)-1].Cell == "b" {
			to = "a"
		}
		if fail(r.group.Submit(controller.PlacementDuty, id, controller.KindMove, controller.MoveRequest{Tenant: tenant.Name, To: to})) {
			return o
		}
	}
	var heldServers []int
	for end := time.Now().Add(1800 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Duration(rng.IntN(180)) * time.Millisecond) {
		ownerIndex, memberIndex := rng.IntN(len(owners)), rng.IntN(3)
		switch rng.IntN(10) {
		case 0, 1:
			owners[ownerIndex].Freeze()
		case 2:
			owners[ownerIndex].Resume()
		case 3:
			owners[ownerIndex].Kill()
			startOwner()
		case 4:
			r.group.Members[memberIndex].Freeze()
			time.AfterFunc(time.Duration(rng.IntN(1500))*time.Millisecond, r.group.Members[memberIndex].Resume)
		case 5:
			r.group.Members[memberIndex].Kill()
			fail(r.group.Start(memberIndex))
		case 6:
			r.group.Proxies[memberIndex].SetFault(faults.Direction(rng.IntN(2)), faults.Fault{Drop: true})
		case 7:
			r.group.Proxies[memberIndex].SetFault(faults.ToListener, faults.Fault{Delay: 30 * time.Millisecond, Duplicate: 0.2, Reorder: 0.2})
		case 8:
			i := rng.IntN(len(r.proxies))
			r.proxies[i].SetFault(faults.ToListener, faults.Fault{Hold: true})
			heldServers = append(heldServers, i)
		case 9:
			if i := rng.IntN(len(r.servers)); rng.IntN(3) == 0 {
				r.servers[i].Kill()
				processes[i], logOffsets[i] = nil, 0
				if rng.IntN(2) == 0 {
					_ = os.Remove(filepath.Join(r.dirs[i], "orders"))
				}
				fail(r.start(i))
			}
		}
	}
	var heldCalls [][]byte
	for _, w := range r.proxies {
		calls := w.Calls()
		if len(calls) > 0 {
			heldCalls = append(heldCalls, calls[rng.IntN(len(calls))])
		} else {
			heldCalls = append(heldCalls, nil)
		}
	}
	for _, w := range r.group.Proxies {
		w.SetFault(faults.ToListener, faults.Fault{})
		w.SetFault(faults.ToClient, faults.Fault{})
	}
	for _, m := range r.group.Members {
		m.Resume()
	}
	for _, i := range heldServers {
		r.proxies[i].SetFault(faults.ToListener, faults.Fault{})
	}
	for _, p := range owners {
		p.Resume()
	}
	for i, c := range heldCalls { // a copy that the network held back arrives now
		if c != nil && strings.HasPrefix(string(c), "POST") {
			_, _ = r.proxies[i].Replay(c)
		}
	}
	for _, id := range moveIDs {
		if it, err := r.group.AwaitItem(controller.PlacementDuty, id, 20*time.Second); fail(err) {
			return o
		} else if it.State == controller.Done {
			o.finished++
		} else {
			o.failureNotes = append(o.failureNotes, it.Note)
		}
	}
	rollout, err := r.group.AwaitItem(controller.RolloutDuty, rolloutID, 60*time.Second)
	if fail(err) {
		return o
	}
	if rollout.State == controller.Done {
		o.finished++
	} else {
		o.failureNotes = append(o.failureNotes, rollout.Note)
	}
	for i, c := range heldCalls {
		if c != nil && strings.HasPrefix(string(c), "POST") {
			_, _ = r.proxies[i].Replay(c)
		}
	}
	r.checkLogs(&o, violation, logOffsets, processes, rollout)
	after, _, err := proxy.VersionDir{Dir: r.mapDir}.Head()
	if fail(err) {
		return o
	}
	for k, id := range moveIDs {
		view, _ := r.group.View()
		done := view.Journals[controller.PlacementDuty].Item(id).State == controller.Done
		addedHomes := len(after.Tenants[firstTenant+k].Homes) - len(head.Tenants[firstTenant+k].Homes)
		if done && addedHomes != 1 || !done && addedHomes != 0 {
			violation("move %s: done is %v, but the tenant has %d more homes", id, done, addedHomes)
		}
	}
	return o
}

// checkLogs checks the logs of the servers: at no time too many servers were evacuated, no command of an older epoch took effect
// after one of a newer epoch, and no server stays evacuated after a rollout that finished.
func (r *rig) checkLogs(o *outcome, violation func(string, ...any), logOffsets []int, processes []*Process, rollout controller.Item) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	type event struct {
		at     string
		server int
		what   string
		epoch  uint64
	}
	var events []event
	for i, p := range r.servers {
		log := p.Log()
		if processes[i] == p {
			log = log[logOffsets[i]:]
		}
		for _, m := range phaseLine.FindAllStringSubmatch(log, -1) {
			events = append(events, event{m[1], i, m[2], 0})
		}
		for _, m := range orderLine.FindAllStringSubmatch(log, -1) {
			g, _ := strconv.ParseUint(m[3], 10, 64)
			n, _ := strconv.ParseUint(m[4], 10, 64)
			if strings.Contains(m[6], "before") || strings.Contains(m[6], "was not") {
				continue // the command was rejected and changed nothing
			}
			events = append(events, event{m[1], i, "order", g<<32 | n})
		}
	}
	slices.SortStableFunc(events, func(a, b event) int { return strings.Compare(a.at, b.at) })
	evacuated := map[int]bool{}
	var newestEpoch uint64
	for _, e := range events {
		switch e.what {
		case "order":
			if e.epoch < newestEpoch {
				violation("command of epoch %d executed at s%d after one of epoch %d", e.epoch, e.server, newestEpoch)
			}
			newestEpoch = max(newestEpoch, e.epoch)
		case "evacuated":
			evacuated[e.server] = true
		case "serving":
			delete(evacuated, e.server)
		}
		o.maxEvacuated = max(o.maxEvacuated, len(evacuated))
		perCell := [2]int{}
		for s := range evacuated {
			perCell[s%2]++
		}
		if len(evacuated) > 2 || perCell[0] > 1 || perCell[1] > 1 {
			violation("%d servers evacuated at %s, by cell %v", len(evacuated), e.at, perCell)
		}
	}
	if rollout.State == controller.Done && len(evacuated) > 0 {
		violation("servers %v are evacuated after the rollout", evacuated)
	}
}

// schedules runs schedules over real processes, several rigs in parallel, and prints their sum.
func schedules(b *testing.B, bin string) {
	n, workers := envInt("SILVERPATH_SCHEDULES", 500), envInt("SILVERPATH_WORKERS", 4)
	var mu sync.Mutex
	var all outcome
	var wg sync.WaitGroup
	startTime := time.Now()
	for w := range workers {
		wg.Go(func() {
			r, err := newRig(bin, b.TempDir(), 6, ownerTerms)
			defer r.Close() //nolint:staticcheck // what was begun is returned beside an error, to be closed
			if err != nil {
				b.Error(err)
				return
			}
			for seed := w; seed < n; seed += workers {
				o := r.schedule(uint64(seed + 1))
				mu.Lock()
				all.finished, all.ownerChanges, all.staleWrites = all.finished+o.finished, all.ownerChanges+o.ownerChanges, all.staleWrites+o.staleWrites
				all.maxEvacuated = max(all.maxEvacuated, o.maxEvacuated)
				all.violations = append(all.violations, o.violations...)
				all.failureNotes = append(all.failureNotes, o.failureNotes...)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, s := range all.violations {
		b.Error(s)
	}
	failures := map[string]int{}
	for _, n := range all.failureNotes {
		failures[regexp.MustCompile(`[0-9]+`).ReplaceAllString(n, "N")]++
	}
	fmt.Printf("\ngiven up, by note: %v", failures)
	fmt.Printf("\nschedules: %d over real processes in %v: %d of %d rolls and moves finished, %d ownerships, %d writes refused as stale, at most %d out, broken %d\n",
		n, time.Since(startTime).Round(time.Second), all.finished, 3*n, all.ownerChanges, all.staleWrites, all.maxEvacuated, len(all.violations))
}

// ---- Two operators at once ----

// twoOperators has two operators move tenants at the same time, by a map file and by the placement controller, and counts the
// confirmed moves that are not in the map afterwards.
func twoOperators(b *testing.B, bin string) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	fmt.Println("\n| build | rounds | both said yes | changes lost | one was told no |")
	fmt.Println("|---|---|---|---|---|")
	variants := []struct{ name, bin string }{{"this, a file", bin}}
	if old := os.Getenv(baselineEnv); old != "" {
		variants = append([]struct{ name, bin string }{{"baseline, a file", old}}, variants...)
	}
	const rounds = 200
	measure := func(name string, move func(tenant string) error, homes func(tenant int) int) {
		bothConfirmed, lostMoves, oneRejected := 0, 0, 0
		for n := range rounds {
			var errs [2]error
			var wg sync.WaitGroup
			for k := range errs {
				wg.Go(func() { errs[k] = move(fmt.Sprint("t", 2*n+k)) })
			}
			wg.Wait()
			for k, err := range errs {
				if err == nil && homes(2*n+k) != 2 {
					lostMoves++
				}
			}
			if errs[0] == nil && errs[1] == nil {
				bothConfirmed++
			} else {
				oneRejected++
			}
		}
		fmt.Printf("| %s | %d | %d | %d | %d |\n", name, rounds, bothConfirmed, lostMoves, oneRejected)
	}
	m := ownerMap()
	m.Tenants = m.Tenants[:2*rounds]
	for i, c := range []string{"a", "b"} {
		m.Servers = append(m.Servers, cells.Server{Name: "s" + c, Addr: fmt.Sprint("127.0.0.1:", i+1), Cell: c, Weight: 1})
	}
	for _, v := range variants {
		file := filepath.Join(b.TempDir(), "cells.json")
		if err := os.WriteFile(file, settings.FormatCells(m), 0o644); err != nil {
			b.Fatal(err)
		}
		measure(v.name, func(tenant string) error {
			return exec.Command(v.bin, "cells", "move", "--map", file, "--tenant", tenant, "--to", "b").Run()
		}, func(t int) int {
			m, err := proxy.ReadMap(file)
			if err != nil {
				b.Fatal(err)
			}
			return len(m.Tenants[t].Homes)
		})
	}
	r, err := newRig(bin, b.TempDir(), 0, ownerTerms)
	defer r.Close() //nolint:staticcheck // what was begun is returned beside an error, to be closed
	if err != nil {
		b.Logf("%v", err) // a map without servers is invalid; the map with servers is written below
	}
	dir := b.TempDir()
	if err := (proxy.VersionDir{Dir: dir}).Put(1, settings.FormatCells(m)); err != nil {
		b.Fatal(err)
	}
	p, err := r.group.StartController("o", dir, []string{controller.PlacementDuty}, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer p.Kill()
	measure("this, by the keeper", func(tenant string) error {
		return exec.Command(bin, "cells", "move", "--group", "test", "--members", strings.Join(r.group.Client.Addrs, ","), "--tenant", tenant, "--to", "b").Run()
	}, func(t int) int {
		m, _, err := proxy.VersionDir{Dir: dir}.Head()
		if err != nil {
			b.Fatal(err)
		}
		return len(m.Tenants[t].Homes)
	})
}

// ---- Time without an owner ----

// logTime returns the time of day at the start of a log line, or 0 if the line starts with none.
func logTime(line string) time.Duration {
	t, err := time.Parse("15:04:05.000000", line[:15])
	if err != nil {
		return 0
	}
	return t.Sub(t.Truncate(24 * time.Hour))
}

// gaps measures for several lease times how long a duty has no owner after its owner was killed, stopped or cut off from the
// group.
func gaps(b *testing.B, bin string) {
	fmt.Println("\n| lease ms | what | rounds | p50 ms | p99 ms | two at once | messages/s at rest | syncs/s at rest | CPU of the leader, of an owner |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, ttl := range []time.Duration{300 * time.Millisecond, time.Second, 3 * time.Second} {
		r, err := newRig(bin, b.TempDir(), 0, lease.Terms{TTL: ttl, Drift: 0.05})
		_ = err
		dir := r.mapDir
		idleCells := idleCost(b, r, dir)
		for _, fault := range []string{"SIGKILL", "SIGSTOP", "cut"} {
			rounds := envInt("SILVERPATH_GAPS", map[time.Duration]int{300 * time.Millisecond: 20, time.Second: 12, 3 * time.Second: 6}[ttl])
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			overlaps := 0
			for n := range rounds {
				gap, overlap, err := measureGap(r, dir, fault, n)
				if err != nil {
					b.Error(err)
					continue
				}
				_ = h.RecordValue(gap.Microseconds())
				if overlap {
					overlaps++
				}
			}
			fmt.Printf("| %d | %s | %d | %d | %d | %d | %s |\n", ttl.Milliseconds(), fault, rounds, Percentile(h, 50).Milliseconds(), Percentile(h, 99).Milliseconds(), overlaps, idleCells)
			idleCells = "| |"
		}
		r.Close()
	}
}

// idleCost returns table cells with the group's messages and disk syncs per second and the CPU load of the leader and of an
// owner, while one owner holds all duties and nothing happens.
func idleCost(b *testing.B, r *rig, mapDir string) string {
	p, err := r.group.StartController("rest", mapDir, controller.Duties, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer p.Kill()
	if _, err := p.Await(10*time.Second, 0, "duty.owned"); err != nil {
		b.Fatal(err)
	}
	time.Sleep(time.Second)
	lead, err := r.group.Leader()
	if err != nil {
		b.Fatal(err)
	}
	const idleTime = 5 * time.Second
	readCounters := func() (messages, syncs int) {
		for _, m := range r.group.Members {
			from := m.LineCount()
			_ = m.Signal(syscall.SIGUSR1)
			line, err := m.Await(2*time.Second, from, "counter group.messages")
			if err == nil {
				n, _ := strconv.Atoi(line[strings.LastIndexByte(line, ' ')+1:])
				messages += n
			}
		}
		for _, a := range r.group.Client.Addrs {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if s, err := r.group.Client.StatusOf(ctx, a); err == nil {
				syncs += int(s.Syncs)
			}
			cancel()
		}
		return messages, syncs
	}
	messagesBefore, syncsBefore := readCounters()
	leaderBefore, ownerBefore := r.group.Members[lead].CPU(), p.CPU()
	time.Sleep(idleTime)
	leaderAfter, ownerAfter := r.group.Members[lead].CPU(), p.CPU()
	messagesAfter, syncsAfter := readCounters()
	percent := func(d time.Duration) float64 { return 100 * d.Seconds() / idleTime.Seconds() }
	return fmt.Sprintf("%.0f | %.1f | %.1f%%, %.1f%%", float64(messagesAfter-messagesBefore)/idleTime.Seconds(), float64(syncsAfter-syncsBefore)/idleTime.Seconds(), percent(leaderAfter-leaderBefore), percent(ownerAfter-ownerBefore))
}

// measureGap makes the owner of the placement duty fail in the given way. It returns how long it took until the other owner held the
// duty, and whether both held it at the same time.
func measureGap(r *rig, dir, fault string, n int) (gap time.Duration, overlap bool, err error) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	var proxies []*faults.Proxy
	var addrs []string
	for _, a := range r.group.Client.Addrs {
		w, err := faults.Listen(a, true, uint64(n))
		if err != nil {
			return 0, false, err
		}
		defer w.Close()
		proxies, addrs = append(proxies, w), append(addrs, w.Addr())
	}
	duties := []string{controller.PlacementDuty}
	owner, err := r.group.StartController(fmt.Sprint("one", n), dir, duties, addrs, nil)
	if err != nil {
		return 0, false, err
	}
	defer owner.Kill()
	if _, err := owner.Await(20*time.Second, 0, "duty.owned"); err != nil {
		return 0, false, err
	}
	successor, err := r.group.StartController(fmt.Sprint("two", n), dir, duties, nil, nil)
	if err != nil {
		return 0, false, err
	}
	defer successor.Kill()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v, err := r.group.View(); err == nil && len(v.Table.Duties[controller.PlacementDuty].Queue) == 1 {
			break
		}
	}
	time.Sleep(time.Duration(n*37%200) * time.Millisecond)
	failedAt := time.Now().UTC()
	switch fault {
	case "SIGKILL":
		owner.Kill()
	case "SIGSTOP":
		owner.Freeze()
	case "cut":
		for _, w := range proxies {
			w.Cut(true)
		}
	}
	line, err := successor.Await(30*time.Second, 0, "duty.owned")
	if err != nil {
		return 0, false, err
	}
	at := logTime(line)
	gap = at - failedAt.Sub(failedAt.Truncate(24*time.Hour))
	if fault == "cut" {
		lost, err := owner.Await(10*time.Second, 0, "duty.lost")
		if overlap = err != nil; err == nil { // the line has the time since the owner stopped, by its own clock
			_, rest, _ := strings.Cut(lost, "ago=")
			ms, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			overlap = logTime(lost)-time.Duration(ms*float64(time.Millisecond)) > at
		}
	}
	owner.Resume()
	_ = successor.Leave()
	return gap, overlap, nil
}

// ---- Commits ----

// commits measures the rate and the latency of commits in groups of three and five members, also with members that are dead
// or have a slow disk.
func commits(b *testing.B) {
	fmt.Println("\n| members | what | at once | commits/s | p50 ms | p99 ms |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, c := range []struct {
		members, clients int
		fault            string
	}{{3, 1, "all well"}, {3, 32, "all well"}, {3, 32, "one dead"}, {3, 32, "one disk 20 ms a sync"}, {5, 1, "all well"}, {5, 32, "all well"}, {5, 32, "two dead"}} {
		g, err := harness.NewGroup(b.TempDir(), c.members, lease.Terms{TTL: 3 * time.Second, Drift: 0.05}, 50*time.Millisecond, slowDiskStarter())
		if err != nil {
			b.Fatal(err)
		}
		lead, err := g.Leader()
		if err != nil {
			b.Fatal(err)
		}
		switch c.fault {
		case "one dead", "two dead":
			g.Members[(lead+1)%c.members].Kill()
			if c.fault == "two dead" {
				g.Members[(lead+2)%c.members].Kill()
			}
		case "one disk 20 ms a sync":
			g.SetDiskFault((lead+1)%c.members, "20ms")
		}
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		var mu sync.Mutex
		var wg sync.WaitGroup
		const span = 4 * time.Second
		end := time.Now().Add(span)
		for k := range c.clients {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					startTime := time.Now()
					r, err := g.Do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.MonitorDuty, Reason: fmt.Sprint(k, n)}})
					if err != nil || r.Error != "" {
						b.Error(err, r.Error)
						return
					}
					mu.Lock()
					_ = h.RecordValue(time.Since(startTime).Microseconds())
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		fmt.Printf("| %d | %s | %d | %.0f | %.1f | %.1f |\n", c.members, c.fault, c.clients, float64(h.TotalCount())/span.Seconds(), ms(50), ms(99))
		g.Close()
	}
}

// ---- A rolling restart under load ----

// rollingRestarts measures the goodput of a fleet during restarts of all its servers, for each way to order the restarts.
func rollingRestarts(b *testing.B, bin string) {
	fmt.Println("\n| how | took | worth | lowest tenant | out at once |")
	fmt.Println("|---|---|---|---|---|")
	for _, order := range []string{"none", "all at once", "by hand, one after the other", "the conductor, 3 in all and 1 in a cell"} {
		if err := measureRollingRestart(b, bin, order); err != nil {
			b.Error(err)
		}
	}
}

// measureRollingRestart runs a fleet under load, restarts all its servers in the given way and prints a row of the table.
func measureRollingRestart(b *testing.B, bin, order string) error { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	home := b.TempDir()
	g, err := harness.NewGroup(home, 3, lease.Terms{TTL: time.Second, Drift: 0.05}, 50*time.Millisecond, processStarter(bin))
	defer g.Close() //nolint:staticcheck // what was begun is returned beside an error, to be closed
	if err != nil {
		return err
	}
	list, _ := json.Marshal(g.Client.Addrs)
	names := []string{"a", "b", "c"}
	f, err := NewFleetWith(bin, home, 12, 1, names, tenantsIn(names, 0), func(dir string) string {
		return fmt.Sprintf(`{"cell":true,"orders":{"state":%q,"group":"test","members":%s}}`, filepath.Join(dir, "orders"), list)
	})
	defer f.Stop()
	if err != nil {
		return err
	}
	const loadTime = 45 * time.Second
	var loads []TenantLoad
	for _, t := range tenantNames {
		loads = append(loads, TenantLoad{Tenant: t, Rate: 0.8 * 12 * ServerRate() / float64(len(tenantNames)), For: loadTime})
	}
	// A server is away for 1.5 s during a restart, and is cold when it comes back.
	restartCold := func(n int) error {
		time.Sleep(500 * time.Millisecond)
		return f.Restart(n, time.Second)
	}
	done := make(chan time.Duration, 1)
	go func() {
		time.Sleep(3 * time.Second)
		startTime := time.Now()
		switch order {
		case "all at once":
			var wg sync.WaitGroup
			for n := range f.Servers {
				wg.Go(func() { _ = restartCold(n) })
			}
			wg.Wait()
		case "by hand, one after the other":
			for n := range f.Servers {
				f.Servers[n].Call("POST /api/evacuate")
				if restartCold(n) != nil {
					break
				}
				for f.Servers[n].Call("GET /api/ready") != 200 {
					time.Sleep(20 * time.Millisecond)
				}
			}
		case "none":
		default:
			_ = f.rollout(g, home)
		}
		done <- time.Since(startTime)
	}()
	res, err := f.Run(f.Routers, loads, false, 18)
	if err != nil {
		return err
	}
	offeredWorth, earnedWorth, lowestShare := 0.0, 0.0, 1.0
	for _, r := range res {
		offeredWorth, earnedWorth = offeredWorth+r.OfferedWorth, earnedWorth+r.ServedWorth
		lowestShare = min(lowestShare, r.Share())
	}
	took := time.Duration(0)
	select {
	case took = <-done:
	case <-time.After(time.Second):
		took = loadTime
	}
	fmt.Printf("| %s | %.1f s | %.4f | %.4f | %d |\n", order, took.Seconds(), earnedWorth/offeredWorth, lowestShare, f.maxDown)
	return nil
}

// rollout has the rollout controller evacuate the servers of the fleet in turn, and restarts each server while it is
// evacuated.
func (f *Fleet) rollout(g *harness.Group, home string) error {
	dir := filepath.Join(home, "series")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	m := *f.Map
	m.Servers = slices.Clone(m.Servers)
	for n := range m.Servers {
		m.Servers[n].AdminAddr = f.Servers[n].Mgmt
	}
	if err := (proxy.VersionDir{Dir: dir}).Put(1, settings.FormatCells(&m)); err != nil {
		return err
	}
	owner, err := g.StartController("o", dir, []string{controller.RolloutDuty}, nil, nil)
	if err != nil {
		return err
	}
	defer owner.Kill()
	if err := g.Submit(controller.RolloutDuty, "r", controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 3, DwellMS: 2500, ReturnMS: 10000}); err != nil {
		return err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for n := range f.Servers {
		wg.Go(func() {
			p := f.Servers[n]
			for {
				if _, err := p.Await(100*time.Millisecond, 0, "phase evacuated"); err == nil {
					f.addDown(1)
					time.Sleep(500 * time.Millisecond)
					_ = f.restartUncounted(n, time.Second)
					f.addDown(-1)
					return
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	_, err = g.AwaitItem(controller.RolloutDuty, "r", time.Minute)
	close(stop)
	wg.Wait()
	return err
}

// ---- Group unavailable ----

// groupDown measures the latency of a fleet with its group up and with all members killed.
func groupDown(b *testing.B, bin string) {
	fmt.Println("\n| the group | asked | served in time | p50 ms | p99 ms |")
	fmt.Println("|---|---|---|---|---|")
	for _, down := range []bool{false, true} {
		home := b.TempDir()
		g, err := harness.NewGroup(home, 3, lease.Terms{TTL: time.Second, Drift: 0.05}, 50*time.Millisecond, processStarter(bin))
		if err != nil {
			b.Fatal(err)
		}
		list, _ := json.Marshal(g.Client.Addrs)
		names := []string{"a", "b"}
		f, err := NewFleetWith(bin, home, 4, 1, names, tenantsIn(names, 0), func(dir string) string {
			return fmt.Sprintf(`{"cell":true,"orders":{"state":%q,"group":"test","members":%s}}`, filepath.Join(dir, "orders"), list)
		})
		if err != nil {
			b.Fatal(err)
		}
		if down {
			for _, m := range g.Members {
				m.Kill()
			}
		}
		var loads []TenantLoad
		for _, t := range tenantNames {
			loads = append(loads, TenantLoad{Tenant: t, Rate: 0.5 * 4 * ServerRate() / float64(len(tenantNames)), For: 20 * time.Second})
		}
		res, err := f.Run(f.Routers, loads, false, 3)
		if err != nil {
			b.Fatal(err)
		}
		sent, served := 0, 0
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for _, r := range res {
			sent, served = sent+r.Sent, served+r.Served
			h.Merge(r.Times)
		}
		name := "there"
		if down {
			name = "killed, all members"
		}
		fmt.Printf("| %s | %d | %d | %.1f | %.1f |\n", name, sent, served, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000)
		f.Stop()
		g.Close()
	}
}
