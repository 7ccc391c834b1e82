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
	p := &partsBench{b: b, file: os.Getenv("SILVERPATH_PARTS"), hollow: number("SILVERPATH_FOLLOWERS", 300), small: max(1, number("SILVERPATH_SMALL", 1)),
		base: os.Getenv("SILVERPATH_BASELINE")}
	var err error
	if p.bin, err = buildAll(b.TempDir()); err != nil {
		b.Fatal(err)
	}
	if p.file == "" {
		p.file = filepath.Join("..", "..", "..", "docs", "results", "parts.json")
	}
	if text, err := os.ReadFile(p.file); err == nil {
		if err := json.Unmarshal(text, &p.plays); err != nil {
			b.Fatalf("%s: %v", p.file, err)
		}
	}
	p.res = partsResults{Command: "go test -run '^$' -bench 'Parts$' -benchtime 1x -timeout 20m ./internal/testkit/benchmarks/", Machine: scaleMachine(),
		Program: (&scale{bin: p.bin}).program(), Hollow: p.hollow, Real: partsRouters}
	if p.base != "" {
		p.res.Baseline = (&scale{bin: p.base}).program()
	}
	for _, part := range []struct {
		name string
		run  func() error
	}{
		{"baseline", func() error { return p.sizes(p.base, 3000, 1000, 300) }},
		{"full", func() error { return p.sizes(p.bin, partsSizes()...) }},
		{"fleet", p.smallFleet},
	} {
		b.Run(part.name, func(b *testing.B) {
			if p.b = b; part.name == "baseline" && p.base == "" {
				b.Skip("SILVERPATH_BASELINE is not set")
			}
			began := time.Now()
			if err := part.run(); err != nil {
				b.Errorf("%s: %v", part.name, err)
			}
			fmt.Printf("parts: %s took %v\n", part.name, time.Since(began).Round(time.Second))
			if err := p.write(); err != nil {
				b.Error(err)
			}
		})
	}
	fmt.Print(p.res.tables())
}

const (
	partsRouters  = 4
	partsServers  = 930
	partsLease    = 3 * time.Second
	partsRest     = 8 * time.Second
	partsSettle   = 3 * time.Second
	partsEach     = 5 // changes per map size
	partsBound    = 8 * time.Second
	partsPatience = 40 * time.Second
	partsADay     = 1600 // changes a day
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
var partsSite = Site{Cores: 256, MemoryKB: 1 << 20, ProcMB: scaleMB, Sockets: 4096}

// partsBench is the state of one run of the Parts benchmark.
type partsBench struct {
	b                 *testing.B
	bin, base, file   string
	hollow, small, no int
	res               partsResults
	plays             []partsResults // of earlier runs, read from file
}

// partsResults holds the results of one run, as they are stored in the results file.
type partsResults struct {
	Command, Machine, Program, Baseline string
	Hollow, Real                        int
	Sizes                               []partsSize
	Stretches                           []partsStretch
	Fleet                               []partsStretch
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
	CPUDay   float64   // projected cores of a router at partsADay changes a day
	KBDay    float64   // projected KB/s of a router at partsADay changes a day
	Slowest  float64   // seconds of the slowest change until every process acted on it
	Failures []string
}

// partsStretch holds the results of a series of changes.
type partsStretch struct {
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
	text, err := json.MarshalIndent(append(slices.Clone(p.plays), p.res), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(p.file, append(text, '\n'), 0o644)
}

// dir creates a new directory and returns its path.
func (p *partsBench) dir() string {
	p.no++
	dir := filepath.Join(p.b.TempDir(), fmt.Sprint("d", p.no))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		panic(err) // the parent is a temporary directory of this benchmark
	}
	return dir
}

// ---- Group ----

// partsGroup is a group of three members on loopback, without proxies in between.
type partsGroup struct {
	bin      string
	dir      string
	addrs    []string
	reserved []*harness.Reservation // of addrs, released by close
	files    []string
	members  []*harness.Process
	client   *quorum.Client
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
		g.addrs, g.reserved = append(g.addrs, reserved.Addr), append(g.reserved, reserved)
	}
	g.client = &quorum.Client{Group: "test", Addrs: g.addrs}
	list, _ := json.Marshal(g.addrs)
	for i, addr := range g.addrs {
		file := filepath.Join(dir, fmt.Sprintf("member%d.json", i))
		text := fmt.Sprintf(`{"name":"q%d","group":"test","members":%s,"member":{"listen":%q,"addr":%q,"dir":%q}}`, i, list, addr, addr, filepath.Join(dir, fmt.Sprint("q", i)))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			return g, err
		}
		g.files = append(g.files, file)
		if err := g.start(i); err != nil {
			return g, err
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if _, err := g.client.Found(ctx, lease.Terms{TTL: partsLease, Drift: 0.05}); err != nil {
		return g, err
	}
	_, err := g.leader()
	return g, err
}

// start starts a member on its existing data directory.
func (g *partsGroup) start(i int) (err error) {
	if g.members[i], err = starter(g.bin)([]string{"quorum", "--config", g.files[i]}); err == nil {
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
	for _, r := range g.reserved {
		r.Release()
	}
}

// leader waits up to 15 s for a leader that answers reads and returns its index.
func (g *partsGroup) leader() (int, error) {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, a := range g.addrs {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			s, err := g.client.StatusOf(ctx, a)
			if err == nil && s.State == "leader" {
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

var proposed = regexp.MustCompile(`version (\d+) proposed`)

// put runs "rules put" for a document without waiting for the change to become active, and returns the
// proposed version.
func (g *partsGroup) put(doc, file string) (version int, err error) {
	c, err := starter(g.bin)([]string{"rules", "put", doc, file, "--group", "test", "--members", strings.Join(g.addrs, ","), "--within", "20s"})
	if err != nil {
		return 0, err
	}
	if err := c.Wait(); err != nil {
		return 0, errors.New(strings.TrimSpace(c.Log()))
	}
	m := proposed.FindStringSubmatch(c.Log())
	if m == nil {
		return 0, fmt.Errorf("no version in output of rules put: %q", c.Log())
	}
	_, _ = fmt.Sscan(m[1], &version)
	return version, nil
}

// ---- Byte-counting proxies ----

// pipe is a TCP proxy to a member that counts the bytes in each direction.
type pipe struct {
	ln      net.Listener
	to      string
	in, out *atomic.Int64 // bytes that the client received and sent
	mu      sync.Mutex
	conns   map[net.Conn]bool // nil once closed
}

// newPipe listens on a loopback port and forwards each connection to the address.
func newPipe(to string, in, out *atomic.Int64) (*pipe, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &pipe{ln: ln, to: to, in: in, out: out, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

// carry forwards one connection in both directions until either side ends.
func (p *pipe) carry(c net.Conn) {
	defer c.Close()
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	defer d.Close()
	if !p.keep(c, d) {
		return
	}
	defer p.drop(c, d)
	done := make(chan struct{}, 2)
	pass := func(to, from net.Conn, n *atomic.Int64) {
		_, _ = io.Copy(counted{to, n}, struct{ io.Reader }{from})
		done <- struct{}{}
	}
	go pass(d, c, p.out)
	go pass(c, d, p.in)
	<-done
	c.Close()
	d.Close()
	<-done
}

// keep registers connections for close to close. It returns false if the pipe is closed already.
func (p *pipe) keep(list ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		if p.conns != nil {
			p.conns[c] = true
		}
	}
	return p.conns != nil
}

func (p *pipe) drop(list ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range list {
		delete(p.conns, c)
	}
}

func (p *pipe) close() {
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
	p.conns = nil
}

// counted is a connection that adds the bytes written to a counter.
type counted struct {
	net.Conn
	n *atomic.Int64
}

// Write counts the bytes before it sends them, so that a peer that has read them finds them in the counter.
func (c counted) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n - len(b)))
	return n, err
}

// ---- Processes that follow the group ----

// moment is the time at which a process started to act on a version.
type moment struct {
	at      time.Time
	version int
}

// partsRouter is a real router process that reaches the group through pipes.
type partsRouter struct {
	mu       sync.Mutex
	*Process // nil while it starts
	dir      string
	pipes    []*pipe
	in, out  atomic.Int64
	docs     string              // JSON list of the documents that it follows
	fleet    string              // further fleet settings, as a JSON fragment
	lines    int                 // log lines when acts was parsed
	acts     map[string][]moment // by document
}

// router starts a real router behind new pipes. The router is returned also with an error, for the caller to
// close.
func (p *partsBench) router(g *partsGroup, docs, fleet string) (*partsRouter, error) {
	r := &partsRouter{dir: p.dir(), docs: docs, fleet: fleet}
	for _, addr := range g.addrs {
		x, err := newPipe(addr, &r.in, &r.out)
		if err != nil {
			return r, err
		}
		r.pipes = append(r.pipes, x)
	}
	return r, r.begin(g.bin)
}

// begin kills the router, if it runs, and starts it with an empty state file.
func (r *partsRouter) begin(bin string) error {
	var addrs []string
	for _, x := range r.pipes {
		addrs = append(addrs, x.ln.Addr().String())
	}
	list, _ := json.Marshal(addrs)
	r.mu.Lock()
	old := r.Process
	r.Process, r.lines, r.acts = nil, 0, nil
	r.mu.Unlock()
	if old != nil {
		old.Kill()
	}
	state := filepath.Join(r.dir, "state.db")
	_ = os.Remove(state)
	p, err := Route(bin, r.dir, partsSite,
		fmt.Sprintf(`{"status":true,"fleet":{"state":%q%s},"rules":{"group":"test","members":%s,"documents":%s}}`, state, r.fleet, list, r.docs))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Process = p
	return err
}

func (r *partsRouter) close() {
	if r.Process != nil {
		r.Kill()
	}
	for _, x := range r.pipes {
		x.close()
	}
}

var actsOn = regexp.MustCompile(`^(\d\d):(\d\d):(\d\d\.\d+) config: active: (\w+) (\S+)`)

// moments returns the times from the router's log at which it started to act on versions of a document.
func (r *partsRouter) moments(doc string) []moment {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Process == nil {
		return nil
	}
	if n := r.Lines(); n != r.lines {
		r.lines, r.acts = n, map[string][]moment{}
		for line := range strings.Lines(r.Log()) {
			m := actsOn.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			var h, min int
			var sec float64
			_, _ = fmt.Sscan(m[1], &h)
			_, _ = fmt.Sscan(m[2], &min)
			_, _ = fmt.Sscan(m[3], &sec)
			at := time.Now().UTC().Truncate(24 * time.Hour).Add(time.Duration(h)*time.Hour + time.Duration(min)*time.Minute + time.Duration(sec*float64(time.Second)))
			if id, ok := configstore.ParseID(m[5]); ok {
				r.acts[m[4]] = append(r.acts[m[4]], moment{at, id.Version})
			}
		}
	}
	return r.acts[doc]
}

// partsRig is a group with its followers: hollow followers in this process, and real routers.
type partsRig struct {
	*partsGroup
	p       *partsBench
	build   string // name of the build in tables
	docs    string // of its routers, as in partsRouter
	fleet   string
	routers []*partsRouter
	plain   *Process // a router with the map in a file, without a group

	mu        sync.Mutex
	followers []*hollow.Follower // nil once stopped
	took      [][]moment         // by follower, versions of the map

	m    *cells.Map // last written to file
	file string
	n    int // changes so far
}

// rig starts a group of a build without followers. The caller closes the rig, also after an error.
func (p *partsBench) rig(bin string) (*partsRig, error) {
	build := "this"
	if bin == p.base {
		build = "as it was"
	}
	r := &partsRig{p: p, build: build, followers: make([]*hollow.Follower, p.hollow), took: make([][]moment, p.hollow), docs: `["map"]`, fleet: `,"probe_ms":600000`}
	dir := p.dir()
	r.file = filepath.Join(dir, "map.json")
	var err error
	r.partsGroup, err = newPartsGroup(bin, dir)
	return r, err
}

func (r *partsRig) close() {
	if r.plain != nil {
		r.plain.Kill()
	}
	for _, x := range r.routers {
		x.close()
	}
	var all sync.WaitGroup
	for i := range r.followers {
		all.Go(func() { r.quiet(i) })
	}
	all.Wait()
	r.partsGroup.close()
}

// follow starts a hollow follower without any document.
func (r *partsRig) follow(i int) (err error) {
	g := &quorum.Client{Group: "test", Addrs: append(slices.Clone(r.addrs[i%3:]), r.addrs[:i%3]...)} // spreads the first request over the members
	r.mu.Lock()
	defer r.mu.Unlock()
	r.took[i] = nil
	var f *hollow.Follower
	f, err = hollow.NewFollower(hollow.FollowerConfig{Name: fmt.Sprint("follower", i), Group: g, Docs: []string{configstore.DocMap}, OnApplied: func(string) {
		at := time.Now()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.took[i] = append(r.took[i], moment{at, f.Acts(configstore.DocMap)})
	}})
	r.followers[i] = f
	return err
}

// quiet stops a hollow follower. The group gets no notice of it.
func (r *partsRig) quiet(i int) {
	r.mu.Lock()
	f := r.followers[i]
	r.followers[i] = nil
	r.mu.Unlock()
	if f != nil {
		f.Close()
	}
}

// acted returns when the last running process started to act on the version or a later one, and how many have
// not done so yet.
func (r *partsRig) acted(doc string, version int) (last time.Time, missing int) {
	see := func(list []moment) {
		i := slices.IndexFunc(list, func(m moment) bool { return m.version >= version })
		if i < 0 {
			missing++
		} else if list[i].at.After(last) {
			last = list[i].at
		}
	}
	r.mu.Lock()
	for i, f := range r.followers {
		if f != nil {
			see(r.took[i])
		}
	}
	r.mu.Unlock()
	for _, x := range r.routers {
		see(x.moments(doc))
	}
	return last, missing
}

// everywhere waits until all running processes act on the version or a later one, and returns when the last
// of them started to.
func (r *partsRig) everywhere(doc string, version int, within time.Duration) (time.Time, error) {
	for end := time.Now().Add(within); ; time.Sleep(10 * time.Millisecond) {
		at, missing := r.acted(doc, version)
		if missing == 0 {
			return at, nil
		}
		if time.Now().After(end) {
			return at, fmt.Errorf("after %v, %d processes do not act on version %d of %s", within, missing, version, doc)
		}
	}
}

// grow writes the next version of the map with the given number of tenants, spread over ten cells.
func (r *partsRig) grow(tenants int) error {
	version := 1
	if r.m != nil {
		version = r.m.Version + 1
	}
	r.m = scaleMap(places(max(1, partsServers/r.p.small)), 10, tenants)
	r.m.Version = version
	return os.WriteFile(r.file, settings.FormatCells(r.m), 0o600)
}

// turn writes the next version of the map, with the rate of one tenant changed.
func (r *partsRig) turn() error {
	m := *r.m
	m.Version++
	m.Tenants = slices.Clone(m.Tenants)
	r.n++
	m.Tenants[r.n*7919%len(m.Tenants)].Rate++
	r.m = &m
	return os.WriteFile(r.file, settings.FormatCells(r.m), 0o600)
}

// insist puts the map and retries while another change is pending, the base version is stale or the group is
// unavailable. It returns the proposed version and the number of attempts.
func (r *partsRig) insist(within time.Duration) (version, tries int, err error) {
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		tries++
		if version, err = r.put(configstore.DocMap, r.file); err == nil || time.Now().After(end) {
			return version, tries, err
		}
		if !strings.Contains(err.Error(), configstore.ErrChangePending.Error()) && !strings.Contains(err.Error(), configstore.ErrStaleBase.Error()) && !strings.Contains(err.Error(), quorum.ErrUnavailable.Error()) {
			return version, tries, err
		}
	}
}

// reading is the resource use of the routers and members up to one moment.
type reading struct {
	at               time.Time
	routers, members []used
}

// used is the resource use of the process with the given PID.
type used struct {
	usage
	pid int
}

// read reads the current resource use of the routers and members.
func (r *partsRig) read() (x reading) {
	for _, p := range r.routers {
		u := usageOf(p.Pid())
		u.in, u.out = float64(p.in.Load()), float64(p.out.Load()) // traffic with the group only
		x.routers = append(x.routers, used{u, p.Pid()})
	}
	for _, m := range r.members {
		x.members = append(x.members, used{usageOf(m.Pid()), m.Pid()})
	}
	x.at = time.Now()
	return x
}

// costOf returns the maximum of each resource between two readings. It skips processes that were restarted in
// between or have ended.
func costOf(was, now []used) (most partsCost) {
	for i := range now {
		if now[i].pid != was[i].pid || now[i].resident == 0 {
			continue
		}
		cpu, in, out, _ := now[i].since(was[i].usage)
		most = partsCost{max(most.CPU, cpu), max(most.In, in), max(most.Out, out), max(most.Resident, now[i].resident)}
	}
	return most
}

// stretch puts n changes, one per interval, and measures each until all processes act on it. If before is
// set, it is called ahead of each change.
func (r *partsRig) stretch(name string, n int, every time.Duration, before func(i int) error) (s partsStretch) {
	s = partsStretch{Build: r.build, Name: name, Changes: make([]partsChange, n)}
	var mu sync.Mutex
	fail := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		s.Failures = append(s.Failures, err.Error())
	}
	was, began := r.read(), time.Now()
	type asked struct {
		i, version int
		due        time.Time
	}
	queue := make(chan asked, n)
	var all sync.WaitGroup
	all.Go(func() { // waits for the changes in order
		for q := range queue {
			at, err := r.everywhere(configstore.DocMap, q.version, partsPatience)
			if s.Changes[q.i].InForce = at.Sub(q.due).Seconds(); err != nil {
				s.Changes[q.i].InForce = -1
				fail(fmt.Errorf("change %d: %w", q.i, err))
			}
		}
	})
	for i := range n {
		due := began.Add(time.Duration(i) * every)
		if err := r.turn(); err != nil {
			fail(err)
			break
		}
		time.Sleep(time.Until(due))
		if before != nil {
			if err := before(i); err != nil {
				fail(fmt.Errorf("before change %d: %w", i, err))
			}
		}
		version, tries, err := r.insist(partsPatience)
		s.Changes[i] = partsChange{time.Since(due).Seconds(), -1, tries}
		if err != nil {
			s.Changes[i].Accepted = -1
			fail(fmt.Errorf("change %d: %w", i, err))
			continue
		}
		queue <- asked{i, version, due}
	}
	close(queue)
	all.Wait()
	time.Sleep(time.Until(began.Add(time.Duration(n) * every)))
	now := r.read()
	s.Router, s.Leader = costOf(was.routers, now.routers), costOf(was.members, now.members)
	fmt.Println("parts:", s.row())
	for _, f := range s.Failures {
		fmt.Println("parts: failed:", f)
	}
	return s
}

// sizes measures a build at each map size. The current build is then measured under faults, at the last size.
func (p *partsBench) sizes(bin string, sizes ...int) error {
	r, err := p.rig(bin)
	defer func() { r.close() }()
	if err != nil {
		return err
	}
	for i := range r.followers {
		if err := r.follow(i); err != nil {
			return err
		}
		time.Sleep(5 * time.Millisecond) // the processes of a fleet do not start all at once either
	}
	for _, n := range sizes {
		s, err := r.size(max(10, n/p.small))
		p.res.Sizes = append(p.res.Sizes, s)
		fmt.Println("parts:", s.row())
		for _, f := range s.Failures {
			fmt.Println("parts: failed:", f)
		}
		if err != nil {
			return fmt.Errorf("%d tenants: %w", n, err)
		}
	}
	if bin == p.base {
		return nil
	}
	return r.faults()
}

// size measures one map size.
func (r *partsRig) size(tenants int) (s partsSize, err error) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	s = partsSize{Build: r.build, Tenants: tenants}
	before := r.m
	if err := r.grow(tenants); err != nil {
		return s, err
	}
	if info, err := os.Stat(r.file); err == nil {
		s.Text = int(info.Size())
	}
	began := time.Now()
	version, _, err := r.insist(time.Second)
	if err != nil {
		if r.build != "this" { // a baseline that rejects the map is a result, not an error
			s.Refused, err = err.Error(), nil
			r.m = before
		}
		return s, err
	}
	at, err := r.everywhere(configstore.DocMap, version, partsPatience)
	if err != nil {
		return s, err
	}
	s.Import = at.Sub(began).Seconds()
	var all sync.WaitGroup
	errs := make([]error, partsRouters)
	for i := range partsRouters { // restarted, so that resident memory reflects this size alone
		if i >= len(r.routers) {
			x, err := r.p.router(r.partsGroup, r.docs, r.fleet)
			if r.routers = append(r.routers, x); err != nil {
				return s, err
			}
			continue
		}
		all.Go(func() { errs[i] = r.routers[i].begin(r.bin) })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return s, err
	}
	if r.plain != nil {
		r.plain.Kill()
	}
	dir := r.p.dir()
	file := filepath.Join(dir, "cells.json")
	if err := proxy.WriteMap(file, r.m); err != nil {
		return s, err
	}
	if r.plain, err = Route(r.bin, dir, partsSite, fmt.Sprintf(`{"status":true,"fleet":{"map":%q,"state":%q%s}}`, file, filepath.Join(dir, "state.db"), r.fleet)); err != nil {
		return s, err
	}
	time.Sleep(partsSettle)
	lead, err := r.leader()
	if err != nil {
		return s, err
	}
	own := usageOf(os.Getpid())
	was, plain := r.read(), used{usageOf(r.plain.Pid()), r.plain.Pid()}
	time.Sleep(partsRest)
	now := r.read()
	ownCPU, _, _, _ := usageOf(os.Getpid()).since(own)
	s.Hollow = ownCPU / float64(max(1, len(r.followers)))
	s.Plain = costOf([]used{plain}, []used{{usageOf(r.plain.Pid()), r.plain.Pid()}})
	of := func(x reading) []used { return x.members[lead : lead+1] }
	s.Router, s.Leader = costOf(was.routers, now.routers), costOf(of(was), of(now))
	was = r.read()
	sum, done := 0.0, 0.0
	for range partsEach {
		if err := r.turn(); err != nil {
			return s, err
		}
		began := time.Now()
		version, _, err := r.insist(time.Second)
		if err != nil {
			s.Failures = append(s.Failures, fmt.Sprintf("after %v changes: %v", done, err))
			break
		}
		done++
		at, err := r.everywhere(configstore.DocMap, version, partsPatience)
		if err != nil {
			s.Failures = append(s.Failures, err.Error())
			continue
		}
		sum += at.Sub(began).Seconds()
		s.Slowest = max(s.Slowest, at.Sub(began).Seconds())
	}
	if done == 0 {
		return s, nil
	}
	time.Sleep(partsLease / 3) // includes the work that follows a change
	now = r.read()
	s.Changed = sum / done
	d := now.at.Sub(was.at).Seconds()
	each := func(c, rest partsCost) (cpu, kb float64) {
		return (c.CPU - rest.CPU) * d / done * 1000, (c.In + c.Out - rest.In - rest.Out) * d / done
	}
	c, l := costOf(was.routers, now.routers), costOf(of(was), of(now))
	s.Router.Resident, s.Leader.Resident = max(s.Router.Resident, c.Resident), max(s.Leader.Resident, l.Resident)
	s.CPUEach, s.KBEach = each(c, s.Router)
	s.LeadCPU, s.LeadKB = each(l, s.Leader)
	const a = partsADay / 86400.0
	s.CPUDay, s.KBDay = s.Router.CPU+a*s.CPUEach/1000, s.Router.In+s.Router.Out+a*s.KBEach
	return s, nil
}

// faults measures changes at the current map size: without faults, with processes that fall silent, with a
// killed leader and with restarted processes.
func (r *partsRig) faults() error { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	p := r.p
	add := func(s partsStretch) {
		p.res.Stretches = append(p.res.Stretches, s)
		if err := p.write(); err != nil {
			p.b.Error(err)
		}
	}
	add(r.stretch("40 changes in 60 s", 40, time.Minute/40, nil))
	silent := (p.hollow + partsRouters + 99) / 100
	gone := -1
	add(r.stretch(fmt.Sprintf("%d processes fall silent at each change", silent), 10, 4*time.Second, func(i int) error {
		var errs []error
		for k := range silent {
			if gone >= 0 {
				errs = append(errs, r.follow((gone+k)%p.hollow))
			}
		}
		gone = i * silent
		for k := range silent {
			r.quiet((gone + k) % p.hollow)
		}
		return errors.Join(errs...)
	}))
	for k := range silent {
		if err := r.follow((gone + k) % p.hollow); err != nil {
			return err
		}
	}
	time.Sleep(partsLease)
	killed := -1
	add(r.stretch("the leader is killed at the third change, and comes back at the seventh", 10, 2500*time.Millisecond, func(i int) (err error) {
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
	time.Sleep(partsLease)
	fifth := (p.hollow + partsRouters + 4) / 5
	var back sync.WaitGroup
	var took time.Duration
	var backErr error
	s := r.stretch(fmt.Sprintf("%d processes start anew at the third change", fifth), 10, 2500*time.Millisecond, func(i int) error {
		if i != 2 {
			return nil
		}
		var all sync.WaitGroup
		var mu sync.Mutex
		var errs []error
		again := func(f func() error) {
			all.Go(func() {
				if err := f(); err != nil {
					mu.Lock()
					errs = append(errs, err)
					mu.Unlock()
				}
			})
		}
		began := time.Now()
		real := r.routers[partsRouters-1]
		for k := range fifth - 1 {
			again(func() error {
				r.quiet(k)
				return r.follow(k)
			})
		}
		back.Go(func() {
			if err := real.begin(r.bin); err != nil {
				p.b.Error(err)
			}
		})
		all.Wait()
		back.Go(func() {
			for end := began.Add(partsPatience); ; time.Sleep(10 * time.Millisecond) {
				missing := 0
				r.mu.Lock()
				for k := range fifth - 1 {
					if len(r.took[k]) == 0 {
						missing++
					}
				}
				r.mu.Unlock()
				if missing == 0 || time.Now().After(end) {
					took = time.Since(began)
					if missing > 0 {
						backErr = fmt.Errorf("%d restarted processes act on no version", missing)
					}
					return
				}
			}
		})
		return errors.Join(errs...)
	})
	back.Wait()
	if s.Back = took.Seconds(); backErr != nil {
		s.Failures = append(s.Failures, backErr.Error())
	}
	add(s)
	return nil
}

// smallFleet measures changes of the map and of classes with twelve routers, alternating between the baseline
// and the current build.
func (p *partsBench) smallFleet() error { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	const routers, puts = 12, 10
	builds := []string{p.bin}
	if p.base != "" {
		builds = []string{p.base, p.bin}
	}
	was := p.hollow
	p.hollow = 0
	defer func() { p.hollow = was }()
	var rigs []*partsRig
	for _, bin := range builds {
		r, err := p.rig(bin)
		defer func() { r.close() }()
		if err != nil {
			return err
		}
		r.docs, r.fleet = `["map","classes"]`, ""
		r.m = scaleMap(places(4), 1, 20)
		if err := r.document(configstore.DocMap); err != nil {
			return err
		}
		for _, doc := range []string{configstore.DocMap, configstore.DocClasses} {
			if err := r.document(doc); err != nil {
				return err
			}
			if _, err := r.put(doc, r.file); err != nil {
				return err
			}
		}
		for range routers {
			x, err := p.router(r.partsGroup, r.docs, r.fleet)
			if r.routers = append(r.routers, x); err != nil {
				return err
			}
		}
		rigs = append(rigs, r)
	}
	time.Sleep(partsSettle)
	all := map[string]*partsStretch{}
	for i := range puts {
		for k := range rigs {
			r := rigs[(i+k)%len(rigs)] // the builds take turns at going first
			for _, doc := range []string{configstore.DocClasses, configstore.DocMap} {
				s := all[r.build+doc]
				if s == nil {
					s = &partsStretch{Build: r.build, Name: doc}
					all[r.build+doc] = s
				}
				if err := r.document(doc); err != nil {
					return err
				}
				// The time depends more on when the put falls between two polls than on the build. The puts
				// are spread evenly over the poll interval, at the same offsets for both builds.
				time.Sleep(partsLease / 3 * time.Duration(i) / puts)
				began := time.Now()
				version, err := r.put(doc, r.file)
				c := partsChange{time.Since(began).Seconds(), -1, 1}
				if err == nil {
					var at time.Time
					if at, err = r.everywhere(doc, version, partsPatience); err == nil {
						c.InForce = at.Sub(began).Seconds()
					}
				}
				if err != nil {
					s.Failures = append(s.Failures, err.Error())
				}
				s.Changes = append(s.Changes, c)
			}
		}
	}
	for _, doc := range []string{configstore.DocClasses, configstore.DocMap} {
		for _, r := range rigs {
			p.res.Fleet = append(p.res.Fleet, *all[r.build+doc])
		}
	}
	return nil
}

// document writes the next version of the map or of classes to the rig's file.
func (r *partsRig) document(doc string) error {
	if doc == configstore.DocMap {
		return r.turn()
	}
	r.n++
	return os.WriteFile(r.file, []byte(classesText(r.n)), 0o600)
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
func (s partsStretch) row() string {
	var force, accepted []float64
	tries, not := 0, 0
	for _, c := range s.Changes {
		tries += c.Tries
		accepted = append(accepted, c.Accepted)
		if c.InForce < 0 {
			not++
			continue
		}
		force = append(force, c.InForce)
	}
	p50, p99, worst := quantiles(force)
	_, _, slow := quantiles(accepted)
	said := "yes"
	if not > 0 || math.IsNaN(worst) || worst > partsBound.Seconds() {
		said = "**no**"
	}
	back := ""
	if s.Back > 0 {
		back = fmt.Sprintf("%.2f", s.Back)
	}
	return fmt.Sprintf("| %s | %s | %d | %d | %d | %.2f | %.2f | %.2f | %.2f | %s | %s | %.2f | %.1f | %.1f | %.1f | %.0f |", s.Build, s.Name, len(s.Changes), tries, not, p50, p99, worst, slow, said, back,
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
		name string
		of   func(partsSize) float64
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
				points = append(points, capacity.Point{At: float64(s.Tenants), Values: []float64{f.of(s)}})
			}
		}
		if fit := bestFit(points); fit != nil {
			fmt.Fprintf(&b, "| %s | %s |\n", f.name, fitted(fit))
		}
	}
	head := "\n| build | what | changes | puts | not everywhere | p50 s | p99 s | worst s | slowest accepted s | under 8 s | back after s | router CPU % | KB/s | MB | leader CPU % | KB/s |\n|" + strings.Repeat("---|", 16) + "\n"
	b.WriteString(head)
	for _, s := range r.Stretches {
		b.WriteString(s.row() + "\n")
	}
	b.WriteString(head)
	for _, s := range r.Fleet {
		b.WriteString(s.row() + "\n")
	}
	return b.String()
}
