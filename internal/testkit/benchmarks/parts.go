package benchmarks

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/capacity"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/testkit/hollow"
)

// Parts measures how long a change of the map takes to reach every process of a group and what it costs, by
// number of tenants and under faults. SILVERPATH_BASELINE names an older program to compare with. The results
// are appended to docs/results/parts.json, or to the file that SILVERPATH_PARTS names.
func Parts(b *testing.B) {
	p := &partsBench{b: b, resultsFile: os.Getenv("SILVERPATH_PARTS"), hollowCount: envInt("SILVERPATH_FOLLOWERS", 300), sizeDivisor: max(1, envInt("SILVERPATH_SMALL", 1)),
		baseline: os.Getenv("SILVERPATH_BASELINE")}
	var err error
	if p.bin, err = buildCommands(b.TempDir()); err != nil {
		b.Fatal(err)
	}
	if p.resultsFile == "" {
		p.resultsFile = filepath.Join("..", "..", "..", "docs", "results", "parts.json")
	}
	if text, err := os.ReadFile(p.resultsFile); err == nil {
		if err := json.Unmarshal(text, &p.earlierRuns); err != nil {
			b.Fatalf("failed to parse results file %s: %v", p.resultsFile, err)
		}
	}
	p.res = partsResults{Command: "go test -run '^$' -bench 'Parts$' -benchtime 1x -timeout 20m ./internal/testkit/benchmarks/", Machine: scaleMachine(),
		Program: (&scale{bin: p.bin}).program(), Hollow: p.hollowCount, Real: partsRouters}
	if p.baseline != "" {
		p.res.Baseline = (&scale{bin: p.baseline}).program()
	}
	for _, step := range []struct {
		name string
		run  func() error
	}{
		{"baseline", func() error { return p.measureSizes(p.baseline, 3000, 1000, 300) }},
		{"full", func() error { return p.measureSizes(p.bin, partsSizes()...) }},
		{"fleet", p.measureSmallFleet},
	} {
		b.Run(step.name, func(b *testing.B) {
			if p.b = b; step.name == "baseline" && p.baseline == "" {
				b.Skip("SILVERPATH_BASELINE is not set")
			}
			startedAt := time.Now()
			if err := step.run(); err != nil {
				b.Errorf("%s: %v", step.name, err)
			}
			fmt.Printf("parts: %s took %v\n", step.name, time.Since(startedAt).Round(time.Second))
			if err := p.write(); err != nil {
				b.Error(err)
			}
		})
	}
	fmt.Print(p.res.tables())
}

const (
	partsRouters        = 4
	partsServers        = 930 // in the map
	partsLeaseTTL       = 3 * time.Second
	partsIdleTime       = 8 * time.Second // duration of the stretch without changes
	partsSettleTime     = 3 * time.Second
	partsChangesPerSize = 5
	partsMaxDelay       = 8 * time.Second // longest allowed time from a change until every process acts on it
	partsTimeout        = 40 * time.Second
	partsChangesPerDay  = 1600
)

// partsSizes returns the numbers of tenants to measure: those that SILVERPATH_TENANTS lists, else the
// default.
func partsSizes() (list []int) {
	for _, text := range strings.Split(os.Getenv("SILVERPATH_TENANTS"), ",") {
		if n, err := strconv.Atoi(text); err == nil {
			list = append(list, n)
		}
	}
	if len(list) == 0 {
		list = []int{300, 1000, 3000, 9000, 21000}
	}
	return list
}

// partsSite is the configuration of the real routers.
var partsSite = Site{Cores: 256, MemoryKB: 1 << 20, ProcMB: scaleMemoryMB, Sockets: 4096}

// partsBench is the state of one run of the Parts benchmark.
type partsBench struct {
	b                                  *testing.B
	bin, baseline, resultsFile         string
	hollowCount, sizeDivisor, dirCount int // sizes are divided by sizeDivisor, for trial runs
	res                                partsResults
	earlierRuns                        []partsResults // read from resultsFile
}

// partsResults holds the results of one run, as they are stored in the results file.
type partsResults struct {
	Command, Machine, Program, Baseline string
	Hollow, Real                        int
	Sizes                               []partsSize
	Stretches                           []partsSeries
	Fleet                               []partsSeries
}

// partsCost is the resource use of a process: for routers, the highest of the real ones, and for members, the
// leader's.
type partsCost struct {
	CPU      float64 // cores
	In, Out  float64 // KB/s
	Resident float64 // MB
}

// partsSize holds the results for one map size.
type partsSize struct {
	Build    string
	Tenants  int
	Text     int     // size of the map file in bytes
	Refused  string  // why the baseline program rejected the map
	Import   float64 // seconds from the start of the put until every process acted on the map
	Changed  float64 // mean of the same time for a change of one tenant
	Router   partsCost
	Leader   partsCost
	Plain    partsCost // of a router that reads the same map from a file, without a group
	Hollow   float64   // cores that one idle hollow follower uses
	CPUEach  float64   // CPU ms of a router per change, above idle
	KBEach   float64   // KB of a router per change, above idle
	LeadCPU  float64   // CPU ms of the leader per change, above idle
	LeadKB   float64   // KB of the leader per change, above idle
	CPUDay   float64   // projected cores of a router at partsChangesPerDay changes a day
	KBDay    float64   // projected KB/s of a router at partsChangesPerDay changes a day
	Slowest  float64   // seconds of the slowest change until every process acted on it
	Failures []string
}

// partsSeries holds the results of a series of changes.
type partsSeries struct {
	Build, Name string
	Changes     []partsChange
	Router      partsCost
	Leader      partsCost // the highest of the members that ran the whole time
	Back        float64   // seconds until all restarted hollow followers acted on a version; 0: none restarted
	Failures    []string
}

// partsChange holds the times of one change, in seconds since its scheduled time. Negative: the change was
// not accepted, or not every process acted on it in time.
type partsChange struct {
	Accepted, InForce float64
	Tries             int
}

func (p *partsBench) write() error {
	text, err := json.MarshalIndent(append(slices.Clone(p.earlierRuns), p.res), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.resultsFile, append(text, '\n'), 0o644)
}

// newDir creates a new directory and returns its path.
func (p *partsBench) newDir() string {
	p.dirCount++
	dir := filepath.Join(p.b.TempDir(), fmt.Sprint("d", p.dirCount))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		panic(err) // the parent is a temporary directory of this benchmark
	}
	return dir
}

// ---- Group ----

// partsGroup is a group of three members on loopback, without proxies in between.
type partsGroup struct {
	bin          string
	dir          string
	addrs        []string
	reservations []*harness.Reservation // of addrs, released by close
	configFiles  []string
	members      []*harness.Process
	client       *quorum.Client
}

// newPartsGroup starts the members, founds the group and waits for a leader. The caller closes the group,
// also after an error.
func newPartsGroup(bin, dir string) (*partsGroup, error) {
	g := &partsGroup{bin: bin, dir: dir, members: make([]*harness.Process, 3)}
	for range g.members {
		reserved, err := harness.Reserve()
		if err != nil {
			return g, err
		}
		g.addrs, g.reservations = append(g.addrs, reserved.Addr), append(g.reservations, reserved)
	}
	g.client = &quorum.Client{Group: "test", Addrs: g.addrs}
	list, _ := json.Marshal(g.addrs)
	for i, addr := range g.addrs {
		file := filepath.Join(dir, fmt.Sprintf("member%d.json", i))
		text := fmt.Sprintf(`{"name":"q%d","group":"test","members":%s,"member":{"listen":%q,"addr":%q,"dir":%q}}`, i, list, addr, addr, filepath.Join(dir, fmt.Sprint("q", i)))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return g, err
		}
		g.configFiles = append(g.configFiles, file)
		if err := g.start(i); err != nil {
			return g, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := g.client.CreateGroup(ctx, lease.Terms{TTL: partsLeaseTTL, Drift: 0.05}); err != nil {
		return g, err
	}
	_, err := g.leader()
	return g, err
}

// start starts a member on its existing data directory.
func (g *partsGroup) start(i int) (err error) {
	if g.members[i], err = processStarter(g.bin)([]string{"quorum", "--config", g.configFiles[i]}); err == nil {
		_, err = g.members[i].Await(10*time.Second, 0, "group.listening")
	}
	return err
}

func (g *partsGroup) close() {
	for _, m := range g.members {
		if m != nil {
			m.Kill()
		}
	}
	if g.client != nil {
		g.client.Close()
	}
	for _, reservation := range g.reservations {
		reservation.Release()
	}
}

// leader waits up to 15 s for a leader that answers reads and returns its index.
func (g *partsGroup) leader() (int, error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, addr := range g.addrs {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			status, err := g.client.StatusOf(ctx, addr)
			if err == nil && status.State == "leader" {
				if _, err = g.client.Read(ctx, ""); err == nil {
					cancel()
					return i, nil
				}
			}
			cancel()
		}
	}
	return 0, errors.New("no leader within 15 s")
}

var proposedLine = regexp.MustCompile(`version (\d+) proposed`)

// put runs "rules put" for a document without waiting for the change to become active, and returns the
// proposed version.
func (g *partsGroup) put(doc, file string) (version int, err error) {
	cmd, err := processStarter(g.bin)([]string{"rules", "put", doc, file, "--group", "test", "--members", strings.Join(g.addrs, ","), "--within", "20s"})
	if err != nil {
		return 0, err
	}
	if err := cmd.Wait(); err != nil {
		return 0, errors.New(strings.TrimSpace(cmd.Log()))
	}
	match := proposedLine.FindStringSubmatch(cmd.Log())
	if match == nil {
		return 0, fmt.Errorf("no version in output of rules put: %q", cmd.Log())
	}
	_, _ = fmt.Sscan(match[1], &version)
	return version, nil
}

// ---- Byte-counting proxies ----

// countingProxy is a TCP proxy to a member that counts the bytes in each direction.
type countingProxy struct {
	ln      net.Listener
	target  string
	in, out *atomic.Int64 // bytes that the client received and sent
	mu      sync.Mutex
	conns   map[net.Conn]bool // nil once closed
}

// newCountingProxy listens on a loopback port and forwards each connection to the address.
func newCountingProxy(target string, in, out *atomic.Int64) (*countingProxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &countingProxy{ln: ln, target: target, in: in, out: out, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p, nil
}

// forward forwards one connection in both directions until either side ends.
func (p *countingProxy) forward(conn net.Conn) {
	defer conn.Close()
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer upstream.Close()
	if !p.track(conn, upstream) {
		return
	}
	defer p.untrack(conn, upstream)
	done := make(chan struct{}, 2)
	forwardBytes := func(to, from net.Conn, n *atomic.Int64) {
		_, _ = io.Copy(countingConn{to, n}, struct{ io.Reader }{from})
		done <- struct{}{}
	}
	go forwardBytes(upstream, conn, p.out)
	go forwardBytes(conn, upstream, p.in)
	<-done
	conn.Close()
	upstream.Close()
	<-done
}

// track registers connections for close to close. It returns false if the proxy is closed already.
func (p *countingProxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		if p.conns != nil {
			p.conns[c] = true
		}
	}
	return p.conns != nil
}

func (p *countingProxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
	}
}

func (p *countingProxy) close() {
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// countingConn is a connection that adds the bytes written to a counter.
type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write counts the bytes before it sends them, so that a peer that has read them finds them in the counter.
func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n - len(b)))
	return n, err
}

// ---- Processes that follow the group ----

// activation is the time at which a process started to act on a version.
type activation struct {
	at      time.Time
	version int
}

// partsRouter is a real router process that reaches the group through counting proxies.
type partsRouter struct {
	mu             sync.Mutex
	*Process       // nil while it starts
	dir            string
	proxies        []*countingProxy
	in, out        atomic.Int64
	docs           string                  // JSON list of the documents that it follows
	fleetSettings  string                  // further fleet settings, as a JSON fragment
	parsedLines    int                     // log lines when activatedByDoc was parsed
	activatedByDoc map[string][]activation // parsed from the log
}

// newRouter starts a real router behind new proxies. The router is returned also with an error, for the
// caller to close.
func (p *partsBench) newRouter(g *partsGroup, docs, fleet string) (*partsRouter, error) {
	r := &partsRouter{dir: p.newDir(), docs: docs, fleetSettings: fleet}
	for _, addr := range g.addrs {
		memberProxy, err := newCountingProxy(addr, &r.in, &r.out)
		if err != nil {
			return r, err
		}
		r.proxies = append(r.proxies, memberProxy)
	}
	return r, r.restart(g.bin)
}

// restart kills the router, if it runs, and starts it with an empty state file.
func (r *partsRouter) restart(bin string) error {
	var addrs []string
	for _, memberProxy := range r.proxies {
		addrs = append(addrs, memberProxy.ln.Addr().String())
	}
	list, _ := json.Marshal(addrs)
	r.mu.Lock()
	old := r.Process
	r.Process, r.parsedLines, r.activatedByDoc = nil, 0, nil
	r.mu.Unlock()
	if old != nil {
		old.Kill()
	}
	state := filepath.Join(r.dir, "state.db")
	_ = os.Remove(state)
	process, err := Route(bin, r.dir, partsSite,
		fmt.Sprintf(`{"status":true,"fleet":{"state":%q%s},"rules":{"group":"test","members":%s,"documents":%s}}`, state, r.fleetSettings, list, r.docs))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Process = process
	return err
}

func (r *partsRouter) close() {
	if r.Process != nil {
		r.Kill()
	}
	for _, memberProxy := range r.proxies {
		memberProxy.close()
	}
}

var activationLine = regexp.MustCompile(`^(\d\d):(\d\d):(\d\d\.\d+) config: active: (\w+) (\S+)`)

// activations returns the times from the router's log at which it started to act on versions of a document.
func (r *partsRouter) activations(doc string) []activation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Process == nil {
		return nil
	}
	if n := r.LineCount(); n != r.parsedLines {
		r.parsedLines, r.activatedByDoc = n, map[string][]activation{}
		for line := range strings.Lines(r.Log()) {
			match := activationLine.FindStringSubmatch(line)
			if match == nil {
				continue
			}
			var hour, minute int
			var second float64
			_, _ = fmt.Sscan(match[1], &hour)
			_, _ = fmt.Sscan(match[2], &minute)
			_, _ = fmt.Sscan(match[3], &second)
			at := time.Now().UTC().Truncate(24 * time.Hour).Add(time.Duration(hour)*time.Hour + time.Duration(minute)*time.Minute + time.Duration(second*float64(time.Second)))
			if id, ok := configstore.ParseID(match[5]); ok {
				r.activatedByDoc[match[4]] = append(r.activatedByDoc[match[4]], activation{at, id.Version})
			}
		}
	}
	return r.activatedByDoc[doc]
}

// partsRig is a group with its followers: hollow followers in this process, and real routers.
type partsRig struct {
	*partsGroup
	bench         *partsBench
	build         string // name of the build in tables
	docs          string // of its routers, as in partsRouter
	fleetSettings string
	routers       []*partsRouter
	fileRouter    *Process // a router with the map in a file, without a group

	mu          sync.Mutex
	followers   []*hollow.Follower // nil once stopped
	activations [][]activation     // by follower, versions of the map

	currentMap *cells.Map // last written to file
	docFile    string
	changes    int // changes so far
}

// newRig starts a group of a build without followers. The caller closes the rig, also after an error.
func (p *partsBench) newRig(bin string) (*partsRig, error) {
	build := "this"
	if bin == p.baseline {
		build = "as it was"
	}
	r := &partsRig{bench: p, build: build, followers: make([]*hollow.Follower, p.hollowCount), activations: make([][]activation, p.hollowCount), docs: `["map"]`, fleetSettings: `,"probe_ms":600000`}
	dir := p.newDir()
	r.docFile = filepath.Join(dir, "map.json")
	var err error
	r.partsGroup, err = newPartsGroup(bin, dir)
	return r, err
}

func (r *partsRig) close() {
	if r.fileRouter != nil {
		r.fileRouter.Kill()
	}
	for _, router := range r.routers {
		router.close()
	}
	var wg sync.WaitGroup
	for i := range r.followers {
		wg.Go(func() { r.stopFollower(i) })
	}
	wg.Wait()
	r.partsGroup.close()
}

// startFollower starts a hollow follower without any document.
func (r *partsRig) startFollower(i int) (err error) {
	group := &quorum.Client{Group: "test", Addrs: append(slices.Clone(r.addrs[i%3:]), r.addrs[:i%3]...)} // spreads the first request over the members
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activations[i] = nil
	var follower *hollow.Follower
	follower, err = hollow.NewFollower(hollow.FollowerConfig{Name: fmt.Sprint("follower", i), Group: group, Docs: []string{configstore.DocMap}, OnApplied: func(string) {
		at := time.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.activations[i] = append(r.activations[i], activation{at, follower.AppliedVersion(configstore.DocMap)})
	}})
	r.followers[i] = follower
	return err
}

// stopFollower stops a hollow follower. The group gets no notice of it.
func (r *partsRig) stopFollower(i int) {
	r.mu.Lock()
	follower := r.followers[i]
	r.followers[i] = nil
	r.mu.Unlock()
	if follower != nil {
		follower.Close()
	}
}

// lastActivation returns when the last running process started to act on the version or a later one, and how
// many have not done so yet.
func (r *partsRig) lastActivation(doc string, version int) (last time.Time, missing int) {
	count := func(activations []activation) {
		i := slices.IndexFunc(activations, func(m activation) bool { return m.version >= version })
		if i < 0 {
			missing++
		} else if activations[i].at.After(last) {
			last = activations[i].at
		}
	}
	r.mu.Lock()
	for i, follower := range r.followers {
		if follower != nil {
			count(r.activations[i])
		}
	}
	r.mu.Unlock()
	for _, router := range r.routers {
		count(router.activations(doc))
	}
	return last, missing
}

// awaitActive waits until all running processes act on the version or a later one, and returns when the last
// of them started to.
func (r *partsRig) awaitActive(doc string, version int, timeout time.Duration) (time.Time, error) {
	for end := time.Now().Add(timeout); ; time.Sleep(10 * time.Millisecond) {
		at, missing := r.lastActivation(doc, version)
		if missing == 0 {
			return at, nil
		}
		if time.Now().After(end) {
			return at, fmt.Errorf("after %v, %d processes do not act on version %d of %s", timeout, missing, version, doc)
		}
	}
}

// writeMap writes the next version of the map with the given number of tenants, spread over ten cells.
func (r *partsRig) writeMap(tenants int) error {
	version := 1
	if r.currentMap != nil {
		version = r.currentMap.Version + 1
	}
	r.currentMap = scaleMap(serverAddrs(max(1, partsServers/r.bench.sizeDivisor)), 10, tenants)
	r.currentMap.Version = version
	return os.WriteFile(r.docFile, settings.FormatCells(r.currentMap), 0o600)
}

// changeTenantRate writes the next version of the map, with the rate of one tenant changed.
func (r *partsRig) changeTenantRate() error {
	m := *r.currentMap
	m.Version++
	m.Tenants = slices.Clone(m.Tenants)
	r.changes++
	m.Tenants[r.changes*7919%len(m.Tenants)].Rate++
	r.currentMap = &m
	return os.WriteFile(r.docFile, settings.FormatCells(r.currentMap), 0o600)
}

// putWithRetry puts the map and retries while another change is pending, the base version is stale or the
// group is unavailable. It returns the proposed version and the number of attempts.
func (r *partsRig) putWithRetry(timeout time.Duration) (version, attempts int, err error) {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		attempts++
		if version, err = r.put(configstore.DocMap, r.docFile); err == nil || time.Now().After(end) {
			return version, attempts, err
		}
		if !strings.Contains(err.Error(), configstore.ErrChangePending.Error()) && !strings.Contains(err.Error(), configstore.ErrStaleBase.Error()) && !strings.Contains(err.Error(), quorum.ErrUnavailable.Error()) {
			return version, attempts, err
		}
	}
}

// usageReading is the resource use of the routers and members up to one moment.
type usageReading struct {
	at               time.Time
	routers, members []processUsage
}

// processUsage is the resource use of the process with the given PID.
type processUsage struct {
	usage
	pid int
}

// readUsage reads the current resource use of the routers and members.
func (r *partsRig) readUsage() (reading usageReading) {
	for _, p := range r.routers {
		u := usageOf(p.Pid())
		u.in, u.out = float64(p.in.Load()), float64(p.out.Load()) // traffic with the group only
		reading.routers = append(reading.routers, processUsage{u, p.Pid()})
	}
	for _, m := range r.members {
		reading.members = append(reading.members, processUsage{usageOf(m.Pid()), m.Pid()})
	}
	reading.at = time.Now()
	return reading
}

// costOf returns the maximum of each resource between two readings. It skips processes that were restarted in
// between or have ended.
func costOf(before, after []processUsage) (highest partsCost) {
	for i := range after {
		if after[i].pid != before[i].pid || after[i].resident == 0 {
			continue
		}
		cpu, in, out, _ := after[i].since(before[i].usage)
		highest = partsCost{max(highest.CPU, cpu), max(highest.In, in), max(highest.Out, out), max(highest.Resident, after[i].resident)}
	}
	return highest
}

// measureSeries puts n changes, one per interval, and measures each until all processes act on it. If before
// is set, it is called ahead of each change.
func (r *partsRig) measureSeries(name string, n int, interval time.Duration, before func(i int) error) (series partsSeries) {
	series = partsSeries{Build: r.build, Name: name, Changes: make([]partsChange, n)}
	var mu sync.Mutex
	addFailure := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		series.Failures = append(series.Failures, err.Error())
	}
	usageBefore, startedAt := r.readUsage(), time.Now()
	type acceptedChange struct {
		i, version int
		due        time.Time
	}
	queue := make(chan acceptedChange, n)
	var wg sync.WaitGroup
	wg.Go(func() { // waits for the changes in order
		for change := range queue {
			at, err := r.awaitActive(configstore.DocMap, change.version, partsTimeout)
			if series.Changes[change.i].InForce = at.Sub(change.due).Seconds(); err != nil {
				series.Changes[change.i].InForce = -1
				addFailure(fmt.Errorf("change %d: %w", change.i, err))
			}
		}
	})
	for i := range n {
		due := startedAt.Add(time.Duration(i) * interval)
		if err := r.changeTenantRate(); err != nil {
			addFailure(err)
			break
		}
		time.Sleep(time.Until(due))
		if before != nil {
			if err := before(i); err != nil {
				addFailure(fmt.Errorf("before change %d: %w", i, err))
			}
		}
		version, attempts, err := r.putWithRetry(partsTimeout)
		series.Changes[i] = partsChange{time.Since(due).Seconds(), -1, attempts}
		if err != nil {
			series.Changes[i].Accepted = -1
			addFailure(fmt.Errorf("change %d: %w", i, err))
			continue
		}
		queue <- acceptedChange{i, version, due}
	}
	close(queue)
	wg.Wait()
	time.Sleep(time.Until(startedAt.Add(time.Duration(n) * interval)))
	usageAfter := r.readUsage()
	series.Router, series.Leader = costOf(usageBefore.routers, usageAfter.routers), costOf(usageBefore.members, usageAfter.members)
	fmt.Println("parts:", series.row())
	for _, f := range series.Failures {
		fmt.Println("parts: failed:", f)
	}
	return series
}

// measureSizes measures a build at each map size. The current build is then measured under faults, at the
// last size.
func (p *partsBench) measureSizes(bin string, sizes ...int) error {
	r, err := p.newRig(bin)
	defer func() { r.close() }()
	if err != nil {
		return err
	}
	for i := range r.followers {
		if err := r.startFollower(i); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond) // the processes of a fleet do not start all at once either
	}
	for _, n := range sizes {
		s, err := r.measureSize(max(10, n/p.sizeDivisor))
		p.res.Sizes = append(p.res.Sizes, s)
		fmt.Println("parts:", s.row())
		for _, f := range s.Failures {
			fmt.Println("parts: failed:", f)
		}
		if err != nil {
			return fmt.Errorf("%d tenants: %w", n, err)
		}
	}
	if bin == p.baseline {
		return nil
	}
	return r.measureFaults()
}

// measureSize measures one map size.
func (r *partsRig) measureSize(tenants int) (s partsSize, err error) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	s = partsSize{Build: r.build, Tenants: tenants}
	previousMap := r.currentMap
	if err := r.writeMap(tenants); err != nil {
		return s, err
	}
	if info, err := os.Stat(r.docFile); err == nil {
		s.Text = int(info.Size())
	}
	startedAt := time.Now()
	version, _, err := r.putWithRetry(time.Second)
	if err != nil {
		if r.build != "this" { // a baseline that rejects the map is a result, not an error
			s.Refused, err = err.Error(), nil
			r.currentMap = previousMap
		}
		return s, err
	}
	at, err := r.awaitActive(configstore.DocMap, version, partsTimeout)
	if err != nil {
		return s, err
	}
	s.Import = at.Sub(startedAt).Seconds()
	var wg sync.WaitGroup
	errs := make([]error, partsRouters)
	for i := range partsRouters { // restarted, so that resident memory reflects this size alone
		if i >= len(r.routers) {
			router, err := r.bench.newRouter(r.partsGroup, r.docs, r.fleetSettings)
			if r.routers = append(r.routers, router); err != nil {
				return s, err
			}
			continue
		}
		wg.Go(func() { errs[i] = r.routers[i].restart(r.bin) })
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return s, err
	}
	if r.fileRouter != nil {
		r.fileRouter.Kill()
	}
	dir := r.bench.newDir()
	file := filepath.Join(dir, "cells.json")
	if err := proxy.WriteMap(file, r.currentMap); err != nil {
		return s, err
	}
	if r.fileRouter, err = Route(r.bin, dir, partsSite, fmt.Sprintf(`{"status":true,"fleet":{"map":%q,"state":%q%s}}`, file, filepath.Join(dir, "state.db"), r.fleetSettings)); err != nil {
		return s, err
	}
	time.Sleep(partsSettleTime)
	leader, err := r.leader()
	if err != nil {
		return s, err
	}
	ownBefore := usageOf(os.Getpid())
	usageBefore, fileRouterBefore := r.readUsage(), processUsage{usageOf(r.fileRouter.Pid()), r.fileRouter.Pid()}
	time.Sleep(partsIdleTime)
	usageAfter := r.readUsage()
	ownCPU, _, _, _ := usageOf(os.Getpid()).since(ownBefore)
	s.Hollow = ownCPU / float64(max(1, len(r.followers)))
	s.Plain = costOf([]processUsage{fileRouterBefore}, []processUsage{{usageOf(r.fileRouter.Pid()), r.fileRouter.Pid()}})
	leaderOf := func(reading usageReading) []processUsage { return reading.members[leader : leader+1] }
	s.Router, s.Leader = costOf(usageBefore.routers, usageAfter.routers), costOf(leaderOf(usageBefore), leaderOf(usageAfter))
	usageBefore = r.readUsage()
	totalDelay, accepted := 0.0, 0.0
	for range partsChangesPerSize {
		if err := r.changeTenantRate(); err != nil {
			return s, err
		}
		startedAt := time.Now()
		version, _, err := r.putWithRetry(time.Second)
		if err != nil {
			s.Failures = append(s.Failures, fmt.Sprintf("after %v changes: %v", accepted, err))
			break
		}
		accepted++
		at, err := r.awaitActive(configstore.DocMap, version, partsTimeout)
		if err != nil {
			s.Failures = append(s.Failures, err.Error())
			continue
		}
		totalDelay += at.Sub(startedAt).Seconds()
		s.Slowest = max(s.Slowest, at.Sub(startedAt).Seconds())
	}
	if accepted == 0 {
		return s, nil
	}
	time.Sleep(partsLeaseTTL / 3) // includes the work that follows a change
	usageAfter = r.readUsage()
	s.Changed = totalDelay / accepted
	elapsed := usageAfter.at.Sub(usageBefore.at).Seconds()
	perChange := func(cost, idle partsCost) (cpu, kb float64) {
		return (cost.CPU - idle.CPU) * elapsed / accepted * 1000, (cost.In + cost.Out - idle.In - idle.Out) * elapsed / accepted
	}
	routerCost, leaderCost := costOf(usageBefore.routers, usageAfter.routers), costOf(leaderOf(usageBefore), leaderOf(usageAfter))
	s.Router.Resident, s.Leader.Resident = max(s.Router.Resident, routerCost.Resident), max(s.Leader.Resident, leaderCost.Resident)
	s.CPUEach, s.KBEach = perChange(routerCost, s.Router)
	s.LeadCPU, s.LeadKB = perChange(leaderCost, s.Leader)
	const changesPerSecond = partsChangesPerDay / 86400.0
	s.CPUDay, s.KBDay = s.Router.CPU+changesPerSecond*s.CPUEach/1000, s.Router.In+s.Router.Out+changesPerSecond*s.KBEach
	return s, nil
}

// measureFaults measures changes at the current map size: without faults, with processes that fall silent,
// with a killed leader and with restarted processes.
func (r *partsRig) measureFaults() error { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	p := r.bench
	addSeries := func(series partsSeries) {
		p.res.Stretches = append(p.res.Stretches, series)
		if err := p.write(); err != nil {
			p.b.Error(err)
		}
	}
	addSeries(r.measureSeries("40 changes in 60 s", 40, time.Minute/40, nil))
	silentCount := (p.hollowCount + partsRouters + 99) / 100
	firstSilent := -1
	addSeries(r.measureSeries(fmt.Sprintf("%d processes fall silent at each change", silentCount), 10, 4*time.Second, func(i int) error {
		var errs []error
		for k := range silentCount {
			if firstSilent >= 0 {
				errs = append(errs, r.startFollower((firstSilent+k)%p.hollowCount))
			}
		}
		firstSilent = i * silentCount
		for k := range silentCount {
			r.stopFollower((firstSilent + k) % p.hollowCount)
		}
		return errors.Join(errs...)
	}))
	for k := range silentCount {
		if err := r.startFollower((firstSilent + k) % p.hollowCount); err != nil {
			return err
		}
	}
	time.Sleep(partsLeaseTTL)
	killed := -1
	addSeries(r.measureSeries("the leader is killed at the third change, and comes back at the seventh", 10, 2500*time.Millisecond, func(i int) (err error) {
		switch i {
		case 2:
			if killed, err = r.leader(); err == nil {
				r.members[killed].Kill()
			}
		case 6:
			if killed >= 0 {
				err = r.start(killed)
			}
		}
		return err
	}))
	time.Sleep(partsLeaseTTL)
	restartCount := (p.hollowCount + partsRouters + 4) / 5
	var restarts sync.WaitGroup
	var restartTime time.Duration
	var restartErr error
	s := r.measureSeries(fmt.Sprintf("%d processes start anew at the third change", restartCount), 10, 2500*time.Millisecond, func(i int) error {
		if i != 2 {
			return nil
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		var errs []error
		runAsync := func(restart func() error) {
			wg.Go(func() {
				if err := restart(); err != nil {
					mu.Lock()
					errs = append(errs, err)
					mu.Unlock()
				}
			})
		}
		startedAt := time.Now()
		realRouter := r.routers[partsRouters-1]
		for k := range restartCount - 1 {
			runAsync(func() error {
				r.stopFollower(k)
				return r.startFollower(k)
			})
		}
		restarts.Go(func() {
			if err := realRouter.restart(r.bin); err != nil {
				p.b.Error(err)
			}
		})
		wg.Wait()
		restarts.Go(func() {
			for deadline := startedAt.Add(partsTimeout); ; time.Sleep(10 * time.Millisecond) {
				missing := 0
				r.mu.Lock()
				for k := range restartCount - 1 {
					if len(r.activations[k]) == 0 {
						missing++
					}
				}
				r.mu.Unlock()
				if missing == 0 || time.Now().After(deadline) {
					restartTime = time.Since(startedAt)
					if missing > 0 {
						restartErr = fmt.Errorf("%d restarted processes act on no version", missing)
					}
					return
				}
			}
		})
		return errors.Join(errs...)
	})
	restarts.Wait()
	if s.Back = restartTime.Seconds(); restartErr != nil {
		s.Failures = append(s.Failures, restartErr.Error())
	}
	addSeries(s)
	return nil
}

// measureSmallFleet measures changes of the map and of classes with twelve routers, alternating between the
// baseline and the current build.
func (p *partsBench) measureSmallFleet() error { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	const routers, puts = 12, 10
	builds := []string{p.bin}
	if p.baseline != "" {
		builds = []string{p.baseline, p.bin}
	}
	hollowCount := p.hollowCount
	p.hollowCount = 0
	defer func() { p.hollowCount = hollowCount }()
	var rigs []*partsRig
	for _, bin := range builds {
		r, err := p.newRig(bin)
		defer func() { r.close() }()
		if err != nil {
			return err
		}
		r.docs, r.fleetSettings = `["map","classes"]`, ""
		r.currentMap = scaleMap(serverAddrs(4), 1, 20)
		if err := r.writeDocument(configstore.DocMap); err != nil {
			return err
		}
		for _, doc := range []string{configstore.DocMap, configstore.DocClasses} {
			if err := r.writeDocument(doc); err != nil {
				return err
			}
			if _, err := r.put(doc, r.docFile); err != nil {
				return err
			}
		}
		for range routers {
			router, err := p.newRouter(r.partsGroup, r.docs, r.fleetSettings)
			if r.routers = append(r.routers, router); err != nil {
				return err
			}
		}
		rigs = append(rigs, r)
	}
	time.Sleep(partsSettleTime)
	seriesByName := map[string]*partsSeries{}
	for i := range puts {
		for k := range rigs {
			r := rigs[(i+k)%len(rigs)] // the builds take turns at going first
			for _, doc := range []string{configstore.DocClasses, configstore.DocMap} {
				series := seriesByName[r.build+doc]
				if series == nil {
					series = &partsSeries{Build: r.build, Name: doc}
					seriesByName[r.build+doc] = series
				}
				if err := r.writeDocument(doc); err != nil {
					return err
				}
				// The time depends more on when the put falls between two polls than on the build. The puts
				// are spread evenly over the poll interval, at the same offsets for both builds.
				time.Sleep(partsLeaseTTL / 3 * time.Duration(i) / puts)
				startedAt := time.Now()
				version, err := r.put(doc, r.docFile)
				change := partsChange{time.Since(startedAt).Seconds(), -1, 1}
				if err == nil {
					var at time.Time
					if at, err = r.awaitActive(doc, version, partsTimeout); err == nil {
						change.InForce = at.Sub(startedAt).Seconds()
					}
				}
				if err != nil {
					series.Failures = append(series.Failures, err.Error())
				}
				series.Changes = append(series.Changes, change)
			}
		}
	}
	for _, doc := range []string{configstore.DocClasses, configstore.DocMap} {
		for _, r := range rigs {
			p.res.Fleet = append(p.res.Fleet, *seriesByName[r.build+doc])
		}
	}
	return nil
}

// writeDocument writes the next version of the map or of classes to the rig's file.
func (r *partsRig) writeDocument(doc string) error {
	if doc == configstore.DocMap {
		return r.changeTenantRate()
	}
	r.changes++
	return os.WriteFile(r.docFile, []byte(classesText(r.changes)), 0o600)
}

// ---- Tables ----

// row formats the results as a table row.
func (s partsSize) row() string {
	if s.Refused != "" {
		return fmt.Sprintf("| %s | %d | %d | refused: %s | | | | | | | | | | | | | | | |", s.Build, s.Tenants, s.Text/1024, s.Refused)
	}
	return fmt.Sprintf("| %s | %d | %d | %.2f | %.2f | %.2f | %.2f | %.1f | %.1f | %.1f | %.1f | %.2f | %.1f | %.2f | %.1f | %.3f | %.1f | %.1f | %.1f |", s.Build, s.Tenants, s.Text/1024, s.Import, s.Changed, s.Slowest,
		100*s.Router.CPU, s.Router.In+s.Router.Out, s.Router.Resident, s.CPUEach, s.KBEach, 100*s.CPUDay, s.KBDay, 100*s.Plain.CPU, s.Plain.Resident, 100*s.Hollow, 100*s.Leader.CPU, s.LeadCPU, s.LeadKB)
}

// row formats the results as a table row.
func (s partsSeries) row() string {
	var activeTimes, acceptedTimes []float64
	attempts, inactive := 0, 0
	for _, c := range s.Changes {
		attempts += c.Tries
		acceptedTimes = append(acceptedTimes, c.Accepted)
		if c.InForce < 0 {
			inactive++
			continue
		}
		activeTimes = append(activeTimes, c.InForce)
	}
	p50, p99, worst := quantiles(activeTimes)
	_, _, slowestAccepted := quantiles(acceptedTimes)
	withinBound := "yes"
	if inactive > 0 || math.IsNaN(worst) || worst > partsMaxDelay.Seconds() {
		withinBound = "**no**"
	}
	restartTime := ""
	if s.Back > 0 {
		restartTime = fmt.Sprintf("%.2f", s.Back)
	}
	return fmt.Sprintf("| %s | %s | %d | %d | %d | %.2f | %.2f | %.2f | %.2f | %s | %s | %.2f | %.1f | %.1f | %.1f | %.0f |", s.Build, s.Name, len(s.Changes), attempts, inactive, p50, p99, worst, slowestAccepted, withinBound, restartTime,
		100*s.Router.CPU, s.Router.In+s.Router.Out, s.Router.Resident, 100*s.Leader.CPU, s.Leader.In+s.Leader.Out)
}

// tables formats all results as Markdown tables.
func (r partsResults) tables() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n%s; this: %s; as it was: %s; %d hollow, %d real\n", r.Machine, r.Program, r.Baseline, r.Hollow, r.Real)
	b.WriteString("\n| build | tenants | file KB | import s | change s | worst s | rest CPU % | rest KB/s | resident MB | CPU ms a change | KB a change | CPU % at 1,600 a day | KB/s at 1,600 a day | without a group: rest CPU % | resident MB | hollow follower's rest CPU % | leader's rest CPU % | leader's CPU ms a change | leader's KB a change |\n")
	b.WriteString("|" + strings.Repeat("---|", 19) + "\n")
	for _, s := range r.Sizes {
		b.WriteString(s.row() + "\n")
	}
	b.WriteString("\n| figure, by tenants, this build | slope | foretold | measured | off |\n|---|---|---|---|---|\n")
	for _, f := range []struct {
		name  string
		value func(partsSize) float64
	}{
		{"a change in force everywhere, s", func(s partsSize) float64 { return s.Changed }},
		{"router's rest CPU, % of a core", func(s partsSize) float64 { return 100 * s.Router.CPU }},
		{"router's rest KB/s", func(s partsSize) float64 { return s.Router.In + s.Router.Out }},
		{"router's CPU ms a change", func(s partsSize) float64 { return s.CPUEach }},
		{"router's KB a change", func(s partsSize) float64 { return s.KBEach }},
		{"router's resident MB", func(s partsSize) float64 { return s.Router.Resident }},
		{"leader's rest CPU, % of a core", func(s partsSize) float64 { return 100 * s.Leader.CPU }},
		{"leader's CPU ms a change", func(s partsSize) float64 { return s.LeadCPU }},
		{"leader's KB a change", func(s partsSize) float64 { return s.LeadKB }},
		{"import, s", func(s partsSize) float64 { return s.Import }},
	} {
		var points []capacity.Point
		for _, s := range r.Sizes {
			if s.Build == "this" {
				points = append(points, capacity.Point{Size: float64(s.Tenants), Values: []float64{f.value(s)}})
			}
		}
		if fit := bestFit(points); fit != nil {
			fmt.Fprintf(&b, "| %s | %s |\n", f.name, fitColumns(fit))
		}
	}
	seriesHeader := "\n| build | what | changes | puts | not everywhere | p50 s | p99 s | worst s | slowest accepted s | under 8 s | back after s | router CPU % | KB/s | MB | leader CPU % | KB/s |\n|" + strings.Repeat("---|", 16) + "\n"
	b.WriteString(seriesHeader)
	for _, s := range r.Stretches {
		b.WriteString(s.row() + "\n")
	}
	b.WriteString(seriesHeader)
	for _, s := range r.Fleet {
		b.WriteString(s.row() + "\n")
	}
	return b.String()
}
