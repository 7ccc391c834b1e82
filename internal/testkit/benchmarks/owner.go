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

// asMember is the environment variable that makes the benchmark's own executable run as a quorum member whose disk writes
// can be delayed. The built program has no setting for a slow disk.
const asMember = "SILVERPATH_LAB"

// RunMember runs the process as a quorum member if the environment variable SILVERPATH_LAB is set, and reports whether it
// did. If the variable SILVERPATH_DISK names a file, each disk operation is delayed by the duration in that file. An error
// of the member ends the process with exit code 1.
func RunMember() bool {
	if os.Getenv(asMember) == "" {
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

// starter returns a harness.Starter that starts the executable bin without the variable LB_CONFIG.
func starter(bin string) harness.Starter {
	return func(args []string, env ...string) (*harness.Process, error) {
		cmd := exec.Command(bin, args...)
		cmd.Env = append(append(os.Environ(), "LB_CONFIG="), env...)
		return harness.Start(cmd)
	}
}

// slowStarter returns a harness.Starter that starts the benchmark's own executable as a quorum member whose disk writes can
// be delayed.
func slowStarter() harness.Starter {
	return func(args []string, env ...string) (*harness.Process, error) {
		exe, err := os.Executable()
		if err != nil {
			return nil, err
		}
		return starter(exe)(args, append(env, asMember+"=1")...)
	}
}

var ownerTerms = lease.Terms{TTL: 600 * time.Millisecond, Drift: 0.05}

// Owner measures the leased controllers: how safely and how fast their leases change hands, and what the quorum costs.
func Owner(b *testing.B) {
	bin, err := buildAll(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("simulated", simulated)
	b.Run("schedules", func(b *testing.B) { schedules(b, bin) })
	b.Run("operators", func(b *testing.B) { twoOperators(b, bin) })
	b.Run("gap", func(b *testing.B) { gaps(b, bin) })
	b.Run("commits", func(b *testing.B) { commits(b) })
	b.Run("roll", func(b *testing.B) { rolls(b, bin) })
	b.Run("down", func(b *testing.B) { groupDown(b, bin) })
}

// buildAll builds all commands of the module into dir and returns the path of the silverpath executable.
func buildAll(dir string) (string, error) {
	out, err := exec.Command("go", "build", "-o", dir+"/", "silverpath/cmd/...").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("failed to build the commands: %w\n%s", err, out)
	}
	return filepath.Join(dir, "silverpath"), nil
}

// number returns the integer in the environment variable name, or def if the variable holds none.
func number(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

// simulated runs schedules of faults in simulated time and prints how many rollouts and moves finished.
func simulated(b *testing.B) {
	n := uint64(number("SILVERPATH_SIMULATED", 100_000))
	const parts = 6
	var wg sync.WaitGroup
	var finished, handed atomic.Int64
	began := time.Now()
	for k := range uint64(parts) {
		wg.Go(func() {
			f, h, err := SimOwners(1+k*n/parts, n/parts, nil)
			finished.Add(int64(f))
			handed.Add(int64(h))
			if err != nil {
				b.Error(err)
			}
		})
	}
	wg.Wait()
	fmt.Printf("\nsimulated: %d schedules in %v, %d rolls and moves finished, %d changes of owner\n", n, time.Since(began).Round(time.Second), finished.Load(), handed.Load())
}

// ---- Schedules of faults over real processes ----

// rig is a quorum group and the servers that receive commands from its leased controllers.
type rig struct {
	g       *harness.Group
	dir     string // directory of the map's versions
	servers []*Process
	ways    []*faults.Between
	close   []func()
	bin     string
	site    Site
	homes   []string
	vms     []*builtinworker.Interpreter
}

func (r *rig) Close() {
	for _, c := range slices.Backward(r.close) {
		c()
	}
}

// newRig starts a group of three members and n servers in two cells, and publishes the first version of their map. The rig
// is returned with an error too, because the caller has to close what was started.
func newRig(bin, home string, n int, sets lease.Terms) (r *rig, err error) {
	r = &rig{dir: filepath.Join(home, "map"), bin: bin, site: Site{Cores: 8, MemoryKB: 65536, ProcMB: 64, Sockets: 128}}
	if err = os.MkdirAll(r.dir, 0o755); err != nil {
		return r, err
	}
	r.g, err = harness.NewGroup(home, 3, sets, 20*time.Millisecond, starter(bin))
	r.close = append(r.close, r.g.Close)
	if err != nil {
		return r, err
	}
	m := ownerMap()
	for i := range n {
		vm, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Speed: 1}, RunFactor: 1, Seed: uint64(i + 1)})
		if err != nil {
			return r, err
		}
		r.close = append(r.close, vm.Close)
		r.vms, r.homes = append(r.vms, vm), append(r.homes, filepath.Join(home, fmt.Sprint("s", i)))
		r.servers = append(r.servers, nil)
		if err := r.start(i); err != nil {
			return r, err
		}
		way, err := faults.Listen(r.servers[i].Mgmt, false, uint64(i))
		if err != nil {
			return r, err
		}
		r.close = append(r.close, way.Close, func() { r.servers[i].Kill() })
		r.ways = append(r.ways, way)
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("s", i), Addr: r.servers[i].Platform, AdminAddr: way.Addr(), Cell: string(rune('a' + i%2)), Weight: 1})
	}
	return r, proxy.VersionDir{Dir: r.dir}.Put(1, settings.FormatCells(m))
}

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
	if err := os.MkdirAll(r.homes[i], 0o700); err != nil {
		return err
	}
	list, _ := json.Marshal(r.g.Client.Addrs)
	p, err := Start(r.bin, r.homes[i], r.site, r.vms[i].Addr(), fmt.Sprintf(`{"cell":true,"orders":{"state":%q,"group":"test","members":%s}}`,
		filepath.Join(r.homes[i], "orders"), list))
	if err == nil {
		r.servers[i] = p
		if i < len(r.ways) {
			r.ways[i].To(p.Mgmt)
		}
	}
	return err
}

// outcome is the result of one or several schedules.
type outcome struct {
	finished, handed, refused, mostOut int
	broken                             []string
	given                              []string // notes of the moves and rollouts that failed
}

var (
	phaseLine = regexp.MustCompile(`(?m)^(\S+) phase (\w+)$`)
	orderLine = regexp.MustCompile(`(?m)^(\S+) orders: (\w+) of conductor, epoch (\d+)\.(\d+), step (\d+): (.*)$`)
)

// schedule runs the schedule of one seed: two owners perform a rollout over the servers and two moves while faults of every
// kind are injected for 1.8 s. Then all faults end, and the rollout and both moves have to finish or fail.
func (r *rig) schedule(seed uint64) (o outcome) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	rng := rand.New(rand.NewPCG(seed, 500))
	broke := func(format string, args ...any) {
		o.broken = append(o.broken, fmt.Sprintf("seed %d: ", seed)+fmt.Sprintf(format, args...))
	}
	marks := make([]int, len(r.servers))
	for i, p := range r.servers {
		marks[i] = len(p.Log())
	}
	before := slices.Clone(r.servers)
	head, _, err := proxy.VersionDir{Dir: r.dir}.Head()
	if err != nil {
		broke("failed to read the latest map: %v", err)
		return o
	}
	var owners []*harness.Process
	both := []string{controller.PlacementDuty, controller.RolloutDuty}
	own := func() {
		p, err := r.g.Owner(fmt.Sprint("o", len(owners)), r.dir, both, nil, nil)
		if err != nil {
			broke("failed to start an owner: %v", err)
			return
		}
		owners = append(owners, p)
	}
	own()
	own()
	defer func() {
		for _, p := range owners {
			o.handed += strings.Count(p.Log(), "event=duty.owned")
			o.refused += strings.Count(p.Log(), "event=duty.refused")
			p.Kill()
		}
	}()
	roll, moves := fmt.Sprint("r", seed), []string{fmt.Sprint("m", seed, "a"), fmt.Sprint("m", seed, "b")}
	fail := func(err error) bool {
		if err != nil {
			broke("%v", err)
		}
		return err != nil
	}
	if fail(r.g.Submit(controller.RolloutDuty, roll, controller.KindRollout, controller.RolloutSpec{MaxOutPerCell: 1, MaxOut: 2, DwellMS: 60, ReturnMS: 8000})) {
		return o
	}
	t := int(seed) % 31 * 2
	for k, id := range moves {
		to := "b"
		tenant := head.Tenants[t+k]
		if tenant.Homes[len(tenant.Homes)-1].Cell == "b" {
			to = "a"
		}
		if fail(r.g.Submit(controller.PlacementDuty, id, controller.KindMove, controller.MoveRequest{Tenant: tenant.Name, To: to})) {
			return o
		}
	}
	var held []int
	for end := time.Now().Add(1800 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Duration(rng.IntN(180)) * time.Millisecond) {
		x, q := rng.IntN(len(owners)), rng.IntN(3)
		switch rng.IntN(10) {
		case 0, 1:
			owners[x].Freeze()
		case 2:
			owners[x].Wake()
		case 3:
			owners[x].Kill()
			own()
		case 4:
			r.g.Members[q].Freeze()
			time.AfterFunc(time.Duration(rng.IntN(1500))*time.Millisecond, r.g.Members[q].Wake)
		case 5:
			r.g.Members[q].Kill()
			fail(r.g.Start(q))
		case 6:
			r.g.Ways[q].Set(faults.Way(rng.IntN(2)), faults.Fate{Lost: true})
		case 7:
			r.g.Ways[q].Set(faults.There, faults.Fate{Delay: 30 * time.Millisecond, Twice: 0.2, Swap: 0.2})
		case 8:
			i := rng.IntN(len(r.ways))
			r.ways[i].Set(faults.There, faults.Fate{Held: true})
			held = append(held, i)
		case 9:
			if i := rng.IntN(len(r.servers)); rng.IntN(3) == 0 {
				r.servers[i].Kill()
				before[i], marks[i] = nil, 0
				if rng.IntN(2) == 0 {
					_ = os.Remove(filepath.Join(r.homes[i], "orders"))
				}
				fail(r.start(i))
			}
		}
	}
	var copies [][]byte
	for _, w := range r.ways {
		calls := w.Calls()
		if len(calls) > 0 {
			copies = append(copies, calls[rng.IntN(len(calls))])
		} else {
			copies = append(copies, nil)
		}
	}
	for _, w := range r.g.Ways {
		w.Set(faults.There, faults.Fate{})
		w.Set(faults.Back, faults.Fate{})
	}
	for _, m := range r.g.Members {
		m.Wake()
	}
	for _, i := range held {
		r.ways[i].Set(faults.There, faults.Fate{})
	}
	for _, p := range owners {
		p.Wake()
	}
	for i, c := range copies { // a copy that the network held back arrives now
		if c != nil && strings.HasPrefix(string(c), "POST") {
			_, _ = r.ways[i].Again(c)
		}
	}
	for _, id := range moves {
		if it, err := r.g.Over(controller.PlacementDuty, id, 20*time.Second); fail(err) {
			return o
		} else if it.State == controller.Done {
			o.finished++
		} else {
			o.given = append(o.given, it.Note)
		}
	}
	it, err := r.g.Over(controller.RolloutDuty, roll, 60*time.Second)
	if fail(err) {
		return o
	}
	if it.State == controller.Done {
		o.finished++
	} else {
		o.given = append(o.given, it.Note)
	}
	for i, c := range copies {
		if c != nil && strings.HasPrefix(string(c), "POST") {
			_, _ = r.ways[i].Again(c)
		}
	}
	r.judge(&o, broke, marks, before, it)
	after, _, err := proxy.VersionDir{Dir: r.dir}.Head()
	if fail(err) {
		return o
	}
	for k, id := range moves {
		mv, _ := r.g.View()
		did := mv.Journals[controller.PlacementDuty].Item(id).State == controller.Done
		grown := len(after.Tenants[t+k].Homes) - len(head.Tenants[t+k].Homes)
		if did && grown != 1 || !did && grown != 0 {
			broke("move %s: done is %v, but the tenant has %d more homes", id, did, grown)
		}
	}
	return o
}

// judge checks the logs of the servers: at no time too many servers were evacuated, no command of an older epoch took effect
// after one of a newer epoch, and no server stays evacuated after a rollout that finished.
func (r *rig) judge(o *outcome, broke func(string, ...any), marks []int, before []*Process, it controller.Item) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	type event struct {
		at     string
		server int
		what   string
		epoch  uint64
	}
	var list []event
	for i, p := range r.servers {
		log := p.Log()
		if before[i] == p {
			log = log[marks[i]:]
		}
		for _, m := range phaseLine.FindAllStringSubmatch(log, -1) {
			list = append(list, event{m[1], i, m[2], 0})
		}
		for _, m := range orderLine.FindAllStringSubmatch(log, -1) {
			g, _ := strconv.ParseUint(m[3], 10, 64)
			n, _ := strconv.ParseUint(m[4], 10, 64)
			if strings.Contains(m[6], "before") || strings.Contains(m[6], "was not") {
				continue // the command was rejected and changed nothing
			}
			list = append(list, event{m[1], i, "order", g<<32 | n})
		}
	}
	slices.SortStableFunc(list, func(a, b event) int { return strings.Compare(a.at, b.at) })
	out := map[int]bool{}
	var newest uint64
	for _, e := range list {
		switch e.what {
		case "order":
			if e.epoch < newest {
				broke("command of epoch %d executed at s%d after one of epoch %d", e.epoch, e.server, newest)
			}
			newest = max(newest, e.epoch)
		case "evacuated":
			out[e.server] = true
		case "serving":
			delete(out, e.server)
		}
		o.mostOut = max(o.mostOut, len(out))
		cell := [2]int{}
		for s := range out {
			cell[s%2]++
		}
		if len(out) > 2 || cell[0] > 1 || cell[1] > 1 {
			broke("%d servers evacuated at %s, by cell %v", len(out), e.at, cell)
		}
	}
	if it.State == controller.Done && len(out) > 0 {
		broke("servers %v are evacuated after the rollout", out)
	}
}

// schedules runs schedules over real processes, several rigs in parallel, and prints their sum.
func schedules(b *testing.B, bin string) {
	n, workers := number("SILVERPATH_SCHEDULES", 500), number("SILVERPATH_WORKERS", 4)
	var mu sync.Mutex
	var all outcome
	var wg sync.WaitGroup
	began := time.Now()
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
				all.finished, all.handed, all.refused = all.finished+o.finished, all.handed+o.handed, all.refused+o.refused
				all.mostOut = max(all.mostOut, o.mostOut)
				all.broken = append(all.broken, o.broken...)
				all.given = append(all.given, o.given...)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, s := range all.broken {
		b.Error(s)
	}
	why := map[string]int{}
	for _, n := range all.given {
		why[regexp.MustCompile(`[0-9]+`).ReplaceAllString(n, "N")]++
	}
	fmt.Printf("\ngiven up, by note: %v", why)
	fmt.Printf("\nschedules: %d over real processes in %v: %d of %d rolls and moves finished, %d ownerships, %d writes refused as stale, at most %d out, broken %d\n",
		n, time.Since(began).Round(time.Second), all.finished, 3*n, all.handed, all.refused, all.mostOut, len(all.broken))
}

// ---- Two operators at once ----

// twoOperators has two operators move tenants at the same time, by a map file and by the placement controller, and counts the
// confirmed moves that are not in the map afterwards.
func twoOperators(b *testing.B, bin string) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	fmt.Println("\n| build | rounds | both said yes | changes lost | one was told no |")
	fmt.Println("|---|---|---|---|---|")
	variants := []struct{ name, bin string }{{"this, a file", bin}}
	if old := os.Getenv(baseline); old != "" {
		variants = append([]struct{ name, bin string }{{"baseline, a file", old}}, variants...)
	}
	const rounds = 200
	count := func(name string, move func(tenant string) error, homes func(tenant int) int) {
		yes, lost, no := 0, 0, 0
		for n := range rounds {
			var errs [2]error
			var wg sync.WaitGroup
			for k := range errs {
				wg.Go(func() { errs[k] = move(fmt.Sprint("t", 2*n+k)) })
			}
			wg.Wait()
			for k, err := range errs {
				if err == nil && homes(2*n+k) != 2 {
					lost++
				}
			}
			if errs[0] == nil && errs[1] == nil {
				yes++
			} else {
				no++
			}
		}
		fmt.Printf("| %s | %d | %d | %d | %d |\n", name, rounds, yes, lost, no)
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
		count(v.name, func(tenant string) error {
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
	p, err := r.g.Owner("o", dir, []string{controller.PlacementDuty}, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer p.Kill()
	count("this, by the keeper", func(tenant string) error {
		return exec.Command(bin, "cells", "move", "--group", "test", "--members", strings.Join(r.g.Client.Addrs, ","), "--tenant", tenant, "--to", "b").Run()
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
		dir := r.dir
		rest := restCost(b, r, dir)
		for _, what := range []string{"SIGKILL", "SIGSTOP", "cut"} {
			rounds := number("SILVERPATH_GAPS", map[time.Duration]int{300 * time.Millisecond: 20, time.Second: 12, 3 * time.Second: 6}[ttl])
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			twice := 0
			for n := range rounds {
				gap, two, err := oneGap(r, dir, what, n)
				if err != nil {
					b.Error(err)
					continue
				}
				_ = h.RecordValue(gap.Microseconds())
				if two {
					twice++
				}
			}
			fmt.Printf("| %d | %s | %d | %d | %d | %d | %s |\n", ttl.Milliseconds(), what, rounds, At(h, 50).Milliseconds(), At(h, 99).Milliseconds(), twice, rest)
			rest = "| |"
		}
		r.Close()
	}
}

// restCost returns table cells with the group's messages and disk syncs per second and the CPU load of the leader and of an
// owner, while one owner holds all duties and nothing happens.
func restCost(b *testing.B, r *rig, dir string) string {
	p, err := r.g.Owner("rest", dir, controller.Duties, nil, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer p.Kill()
	if _, err := p.Await(10*time.Second, 0, "duty.owned"); err != nil {
		b.Fatal(err)
	}
	time.Sleep(time.Second)
	lead, err := r.g.Leader()
	if err != nil {
		b.Fatal(err)
	}
	const span = 5 * time.Second
	count := func() (messages, syncs int) {
		for _, m := range r.g.Members {
			from := m.Lines()
			_ = m.Signal(syscall.SIGUSR1)
			line, err := m.Await(2*time.Second, from, "counter group.messages")
			if err == nil {
				n, _ := strconv.Atoi(line[strings.LastIndexByte(line, ' ')+1:])
				messages += n
			}
		}
		for _, a := range r.g.Client.Addrs {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			if s, err := r.g.Client.StatusOf(ctx, a); err == nil {
				syncs += int(s.Syncs)
			}
			cancel()
		}
		return messages, syncs
	}
	m0, s0 := count()
	c0, o0 := r.g.Members[lead].CPU(), p.CPU()
	time.Sleep(span)
	c1, o1 := r.g.Members[lead].CPU(), p.CPU()
	m1, s1 := count()
	per := func(d time.Duration) float64 { return 100 * d.Seconds() / span.Seconds() }
	return fmt.Sprintf("%.0f | %.1f | %.1f%%, %.1f%%", float64(m1-m0)/span.Seconds(), float64(s1-s0)/span.Seconds(), per(c1-c0), per(o1-o0))
}

// oneGap fails the owner of the placement duty in the given way and returns how long it took until the other owner held the
// duty, and whether both held it at the same time.
func oneGap(r *rig, dir, what string, n int) (gap time.Duration, two bool, err error) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	var ways []*faults.Between
	var addrs []string
	for _, a := range r.g.Client.Addrs {
		w, err := faults.Listen(a, true, uint64(n))
		if err != nil {
			return 0, false, err
		}
		defer w.Close()
		ways, addrs = append(ways, w), append(addrs, w.Addr())
	}
	keeper := []string{controller.PlacementDuty}
	one, err := r.g.Owner(fmt.Sprint("one", n), dir, keeper, addrs, nil)
	if err != nil {
		return 0, false, err
	}
	defer one.Kill()
	if _, err := one.Await(20*time.Second, 0, "duty.owned"); err != nil {
		return 0, false, err
	}
	next, err := r.g.Owner(fmt.Sprint("two", n), dir, keeper, nil, nil)
	if err != nil {
		return 0, false, err
	}
	defer next.Kill()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if v, err := r.g.View(); err == nil && len(v.Table.Duties[controller.PlacementDuty].Queue) == 1 {
			break
		}
	}
	time.Sleep(time.Duration(n*37%200) * time.Millisecond)
	began := time.Now().UTC()
	switch what {
	case "SIGKILL":
		one.Kill()
	case "SIGSTOP":
		one.Freeze()
	case "cut":
		for _, w := range ways {
			w.Cut(true)
		}
	}
	line, err := next.Await(30*time.Second, 0, "duty.owned")
	if err != nil {
		return 0, false, err
	}
	at := logTime(line)
	gap = at - began.Sub(began.Truncate(24*time.Hour))
	if what == "cut" {
		lost, err := one.Await(10*time.Second, 0, "duty.lost")
		if two = err != nil; err == nil { // the line has the time since the owner stopped, by its own clock
			_, rest, _ := strings.Cut(lost, "ago=")
			ms, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			two = logTime(lost)-time.Duration(ms*float64(time.Millisecond)) > at
		}
	}
	one.Wake()
	_ = next.Leave()
	return gap, two, nil
}

// ---- Commits ----

// commits measures the rate and the latency of commits in groups of three and five members, also with members that are dead
// or have a slow disk.
func commits(b *testing.B) {
	fmt.Println("\n| members | what | at once | commits/s | p50 ms | p99 ms |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, c := range []struct {
		n, lanes int
		what     string
	}{{3, 1, "all well"}, {3, 32, "all well"}, {3, 32, "one dead"}, {3, 32, "one disk 20 ms a sync"}, {5, 1, "all well"}, {5, 32, "all well"}, {5, 32, "two dead"}} {
		g, err := harness.NewGroup(b.TempDir(), c.n, lease.Terms{TTL: 3 * time.Second, Drift: 0.05}, 50*time.Millisecond, slowStarter())
		if err != nil {
			b.Fatal(err)
		}
		lead, err := g.Leader()
		if err != nil {
			b.Fatal(err)
		}
		switch c.what {
		case "one dead", "two dead":
			g.Members[(lead+1)%c.n].Kill()
			if c.what == "two dead" {
				g.Members[(lead+2)%c.n].Kill()
			}
		case "one disk 20 ms a sync":
			g.Fault((lead+1)%c.n, "20ms")
		}
		h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		var mu sync.Mutex
		var wg sync.WaitGroup
		const span = 4 * time.Second
		end := time.Now().Add(span)
		for k := range c.lanes {
			wg.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					began := time.Now()
					r, err := g.Do(statemachine.Command{Lease: &lease.Request{Op: lease.Pause, Duty: controller.MonitorDuty, Reason: fmt.Sprint(k, n)}})
					if err != nil || r.Error != "" {
						b.Error(err, r.Error)
						return
					}
					mu.Lock()
					_ = h.RecordValue(time.Since(began).Microseconds())
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		fmt.Printf("| %d | %s | %d | %.0f | %.1f | %.1f |\n", c.n, c.what, c.lanes, float64(h.TotalCount())/span.Seconds(), ms(50), ms(99))
		g.Close()
	}
}

// ---- A rolling restart under load ----

// rolls measures the goodput of a fleet during restarts of all its servers, for each way to order the restarts.
func rolls(b *testing.B, bin string) {
	fmt.Println("\n| how | took | worth | lowest tenant | out at once |")
	fmt.Println("|---|---|---|---|---|")
	for _, how := range []string{"none", "all at once", "by hand, one after the other", "the conductor, 3 in all and 1 in a cell"} {
		if err := oneRoll(b, bin, how); err != nil {
			b.Error(err)
		}
	}
}

// oneRoll runs a fleet under load, restarts all its servers in the given way and prints a row of the table.
func oneRoll(b *testing.B, bin, how string) error { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	home := b.TempDir()
	g, err := harness.NewGroup(home, 3, lease.Terms{TTL: time.Second, Drift: 0.05}, 50*time.Millisecond, starter(bin))
	defer g.Close() //nolint:staticcheck // what was begun is returned beside an error, to be closed
	if err != nil {
		return err
	}
	list, _ := json.Marshal(g.Client.Addrs)
	names := []string{"a", "b", "c"}
	f, err := NewFleetWith(bin, home, 12, 1, names, brandsIn(names, 0), func(dir string) string {
		return fmt.Sprintf(`{"cell":true,"orders":{"state":%q,"group":"test","members":%s}}`, filepath.Join(dir, "orders"), list)
	})
	defer f.Stop()
	if err != nil {
		return err
	}
	const span = 45 * time.Second
	var loads []TenantLoad
	for _, t := range brands {
		loads = append(loads, TenantLoad{Tenant: t, Rate: 0.8 * 12 * ServerRate() / float64(len(brands)), For: span})
	}
	// A server is away for 1.5 s during a restart, and is cold when it comes back.
	restart := func(n int) error {
		time.Sleep(500 * time.Millisecond)
		return f.Restart(n, time.Second)
	}
	done := make(chan time.Duration, 1)
	go func() {
		time.Sleep(3 * time.Second)
		began := time.Now()
		switch how {
		case "all at once":
			var wg sync.WaitGroup
			for n := range f.Servers {
				wg.Go(func() { _ = restart(n) })
			}
			wg.Wait()
		case "by hand, one after the other":
			for n := range f.Servers {
				f.Servers[n].Call("POST /api/evacuate")
				if restart(n) != nil {
					break
				}
				for f.Servers[n].Call("GET /api/ready") != 200 {
					time.Sleep(20 * time.Millisecond)
				}
			}
		case "none":
		default:
			_ = f.conduct(g, home)
		}
		done <- time.Since(began)
	}()
	res, err := f.Run(f.Routers, loads, false, 18)
	if err != nil {
		return err
	}
	asked, worth, lowest := 0.0, 0.0, 1.0
	for _, r := range res {
		asked, worth = asked+r.Asked, worth+r.Worth
		lowest = min(lowest, r.Share())
	}
	took := time.Duration(0)
	select {
	case took = <-done:
	case <-time.After(time.Second):
		took = span
	}
	fmt.Printf("| %s | %.1f s | %.4f | %.4f | %d |\n", how, took.Seconds(), worth/asked, lowest, f.mostOut)
	return nil
}

// conduct has the rollout controller evacuate the servers of the fleet in turn, and restarts each server while it is
// evacuated.
func (f *Fleet) conduct(g *harness.Group, home string) error {
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
	o, err := g.Owner("o", dir, []string{controller.RolloutDuty}, nil, nil)
	if err != nil {
		return err
	}
	defer o.Kill()
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
					f.enter(1)
					time.Sleep(500 * time.Millisecond)
					_ = f.restartAt(n, time.Second)
					f.enter(-1)
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
	_, err = g.Over(controller.RolloutDuty, "r", time.Minute)
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
		g, err := harness.NewGroup(home, 3, lease.Terms{TTL: time.Second, Drift: 0.05}, 50*time.Millisecond, starter(bin))
		if err != nil {
			b.Fatal(err)
		}
		list, _ := json.Marshal(g.Client.Addrs)
		names := []string{"a", "b"}
		f, err := NewFleetWith(bin, home, 4, 1, names, brandsIn(names, 0), func(dir string) string {
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
		for _, t := range brands {
			loads = append(loads, TenantLoad{Tenant: t, Rate: 0.5 * 4 * ServerRate() / float64(len(brands)), For: 20 * time.Second})
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
