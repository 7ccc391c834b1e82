package benchmarks

import (
	"bufio"
	"bytes"
	"context"
	"debug/buildinfo"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
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
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/testkit/hollow"
	"silverpath/internal/transport/client"
)

// Scale measures the cost of each role as a function of the quantities that it depends on. It runs real
// processes, with hollow ones in separate operating system processes so that their processor time is not
// counted as that of the benchmark. Results are written to docs/results/scale.json, or to the file named by
// SILVERPATH_SCALE. A series that is measured again replaces the previous one.
func Scale(b *testing.B) {
	s, err := newScale(b)
	if err != nil {
		b.Fatal(err)
	}
	for _, part := range []struct {
		name string
		run  func(*scale) error
	}{
		{"decide", (*scale).decisions},
		{"loss", (*scale).losses},
		{"router/servers", (*scale).routerServers},
		{"router/hollow", (*scale).routerHollow},
		{"router/tenants", (*scale).routerTenants},
		{"router/requests", (*scale).routerRequests},
		{"map", (*scale).mapSizes},
		{"server/callers", (*scale).serverCallers},
		{"group/followers", (*scale).groupFollowers},
		{"group/connections", (*scale).groupConnections},
		{"group/changes", (*scale).groupChanges},
		{"group/restarts", (*scale).groupRestarts},
		{"group/delay", (*scale).groupDelay},
		{"group/tenants", (*scale).groupTenants},
	} {
		b.Run(part.name, func(b *testing.B) {
			if b.N > 1 {
				return // a part is measured once, whatever b.N is
			}
			s.b = b
			startedAt := time.Now()
			if err := part.run(s); err != nil {
				b.Errorf("%s: %v", part.name, err)
			}
			fmt.Printf("scale: %s took %v\n", part.name, time.Since(startedAt).Round(time.Second))
			if err := s.write(); err != nil {
				b.Error(err)
			}
		})
	}
	b.Run("page", func(b *testing.B) { // rewrites the causes and the tables from the stored results
		if err := s.write(); err != nil {
			b.Error(err)
		}
	})
}

// scale is one run of the scale tests.
type scale struct {
	b           *testing.B
	bin         string
	file        string
	res         *capacity.Results
	repetitions int
	settleTime  time.Duration // pause before a measurement starts
	duration    time.Duration
	divisor     int // divisor of the sizes, for trial runs
	series      map[string]*capacity.Series
	measured    map[string]bool // names of the series measured in this run
	version     int             // of the latest cell map
}

const (
	scaleLease    = 3 * time.Second
	scaleCheck    = 500 * time.Millisecond // between two health checks; the default of the router
	scaleMemoryMB = 2048                   // memory limit of the processes, wide so that it does not affect the measured use
)

func newScale(b *testing.B) (*scale, error) {
	s := &scale{b: b, bin: os.Getenv("SILVERPATH_BASELINE"), file: os.Getenv("SILVERPATH_SCALE"), res: &capacity.Results{},
		repetitions: envInt("SILVERPATH_PLAYS", 2), settleTime: 1500 * time.Millisecond, duration: time.Duration(envInt("SILVERPATH_STRETCH_MS", 4000)) * time.Millisecond,
		divisor: max(1, envInt("SILVERPATH_SMALL", 1)), series: map[string]*capacity.Series{}, measured: map[string]bool{}}
	var err error
	if s.bin == "" {
		if s.bin, err = buildCommands(b.TempDir()); err != nil {
			return s, err
		}
	}
	if s.file == "" {
		s.file = filepath.Join("..", "..", "..", "docs", "results", "scale.json")
	}
	if text, err := os.ReadFile(s.file); err == nil {
		if err := json.Unmarshal(text, s.res); err != nil {
			return s, fmt.Errorf("%s: %w", s.file, err)
		}
	}
	for i := range s.res.Series {
		s.series[s.res.Series[i].Name] = &s.res.Series[i]
	}
	return s, nil
}

// program returns the short commit hash that the measured binary was built from, and whether there were local
// changes.
func (s *scale) program() string {
	info, err := buildinfo.ReadFile(s.bin)
	if err != nil {
		return "unknown"
	}
	revision, dirty := "unknown", ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value[:min(7, len(setting.Value))]
		case setting.Key == "vcs.modified" && setting.Value == "true":
			dirty = ", with changes"
		}
	}
	return revision + dirty
}

// scaleMachine describes the machine that the benchmark runs on.
func scaleMachine() string {
	model := "unknown"
	if text, err := os.ReadFile("/proc/cpuinfo"); err == nil {
		for line := range strings.Lines(string(text)) {
			if k, v, ok := strings.Cut(line, ":"); ok && strings.TrimSpace(k) == "model name" {
				model = strings.TrimSpace(v)
				break
			}
		}
	}
	gb := 0.0
	if text, err := os.ReadFile("/proc/meminfo"); err == nil {
		var kb float64
		_, _ = fmt.Sscanf(string(text), "MemTotal: %f", &kb)
		gb = kb / (1 << 20)
	}
	return fmt.Sprintf("%d processors (%s), %.0f GB, all on loopback", runtime.NumCPU(), model, gb)
}

// scaled returns the sizes divided by s.divisor, at least 1 and without duplicates.
func (s *scale) scaled(sizes ...int) (list []int) {
	for _, n := range sizes {
		if n = max(1, n/s.divisor); len(list) == 0 || n > list[len(list)-1] {
			list = append(list, n)
		}
	}
	return list
}

// add appends a value to the named series at a size. The name is ROLE.FIGURE.VARIES, with further words
// allowed. The first value of a run replaces the stored series. NaN and infinite values are dropped.
func (s *scale) add(name, unit, kind string, fixed map[string]float64, at, value float64) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		return
	}
	x := s.series[name]
	if x == nil || !s.measured[name] {
		words := strings.Split(name, ".")
		x = &capacity.Series{Name: name, Role: words[0], Figure: words[1], Varies: words[2], Unit: unit, MeasuredOn: kind, Fixed: fixed}
		s.series[name], s.measured[name] = x, true
	}
	value, _ = strconv.ParseFloat(strconv.FormatFloat(value, 'g', 4, 64), 64)
	i := slices.IndexFunc(x.Points, func(p capacity.Point) bool { return p.Size == at })
	if i < 0 {
		x.Points = append(x.Points, capacity.Point{Size: at})
		i = len(x.Points) - 1
	}
	x.Points[i].Values = append(x.Points[i].Values, value)
	x.Repetitions = max(x.Repetitions, len(x.Points[i].Values))
	slices.SortFunc(x.Points, func(p, q capacity.Point) int {
		if p.Size < q.Size {
			return -1
		}
		return 1
	})
}

// write fits a curve to each series, writes the results and, if the Markdown page exists, its tables.
func (s *scale) write() error {
	s.res.Command = "go test -run '^$' -bench Scale -benchtime 1x -timeout 30m ./internal/testkit/benchmarks/"
	if len(s.measured) > 0 {
		s.res.Machine, s.res.Program = scaleMachine(), s.program()
	}
	s.res.Series = nil
	for _, x := range s.series {
		x.Fit = nil
		if x.Unit != "%" && x.Unit != "1" { // percentages and counts per item have no slope
			x.Fit = bestFit(x.Points)
		}
		if x.Fit != nil && !x.Fit.Reliable() {
			x.Fit.Cause = scaleCauses[x.Name]
		}
		s.res.Series = append(s.res.Series, *x)
	}
	slices.SortFunc(s.res.Series, func(a, b capacity.Series) int { return strings.Compare(a.Name, b.Name) })
	for i := range s.res.Series {
		s.series[s.res.Series[i].Name] = &s.res.Series[i]
	}
	text, err := json.MarshalIndent(s.res, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.file, append(compactValues(text), '\n'), 0o644); err != nil {
		return err
	}
	page := strings.TrimSuffix(s.file, ".json") + ".md"
	old, err := os.ReadFile(page)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	next, err := replaceTables(string(old), *s.res)
	if err != nil {
		return err
	}
	return os.WriteFile(page, []byte(next), 0o644)
}

// compactValues joins the lines of each "values" list of indented JSON into one line.
func compactValues(text []byte) []byte {
	var b bytes.Buffer
	depth := 0
	for _, line := range bytes.Split(text, []byte("\n")) {
		t := bytes.TrimSpace(line)
		if depth == 0 {
			if b.Len() > 0 {
				b.WriteByte('\n')
			}
			b.Write(line)
		} else {
			b.Write(t)
			if bytes.HasSuffix(t, []byte(",")) {
				b.WriteByte(' ')
			}
		}
		switch {
		case bytes.HasSuffix(t, []byte(`"values": [`)):
			depth++
		case depth > 0 && (bytes.Equal(t, []byte("]")) || bytes.Equal(t, []byte("],"))):
			depth--
		}
	}
	return b.Bytes()
}

// bestFit returns the linear or the quadratic fit, whichever has the smaller squared error at the sizes that
// it is fitted to. The size that the fit is checked against does not count. It returns nil if no fit is
// possible.
func bestFit(points []capacity.Point) (best *capacity.Fit) {
	minError := math.Inf(1)
	for _, power := range []float64{1, 2} {
		f, err := capacity.FitPoints(points, power)
		if err != nil {
			return nil
		}
		squaredError := 0.0
		for _, p := range points {
			if p.Size <= f.To {
				squaredError += math.Pow(f.Value(p.Size)-p.Median(), 2)
			}
		}
		if squaredError < minError/2 { // prefer the linear fit unless the quadratic one halves the error
			best, minError = f, squaredError
		}
	}
	for _, v := range []*float64{&best.Base, &best.Slope, &best.Predicted, &best.RelativeError} {
		*v, _ = strconv.ParseFloat(strconv.FormatFloat(*v, 'g', 4, 64), 64)
	}
	return best
}

// ---- Process measurements ----

// usage is a snapshot of the resources that a process has used since its start.
type usage struct {
	cpu      time.Duration
	in, out  float64 // bytes read and written, on connections and files
	writes   float64 // write system calls
	resident float64 // MB
	at       time.Time
}

// usageOf reads the usage of a process from /proc, with processor time in nanoseconds.
func usageOf(pid int) (u usage) {
	u.at = time.Now()
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range tasks {
		var ns int64
		if text, err := os.ReadFile(file); err == nil {
			_, _ = fmt.Sscan(string(text), &ns)
		}
		u.cpu += time.Duration(ns)
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid)); err == nil {
		for line := range strings.Lines(string(text)) {
			k, v, _ := strings.Cut(strings.TrimSpace(line), ": ")
			n, _ := strconv.ParseFloat(v, 64)
			switch k {
			case "rchar":
				u.in = n
			case "wchar":
				u.out = n
			case "syscw":
				u.writes = n
			}
		}
	}
	if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)); err == nil {
		if _, rest, ok := strings.Cut(string(text), "VmRSS:"); ok {
			var kb float64
			_, _ = fmt.Sscan(rest, &kb)
			u.resident = kb / 1024
		}
	}
	return u
}

// since returns the use per second between two snapshots of a process.
func (u usage) since(before usage) (cpu, inKB, outKB, writes float64) {
	d := u.at.Sub(before.at).Seconds()
	return (u.cpu - before.cpu).Seconds() / d, (u.in - before.in) / d / 1024, (u.out - before.out) / d / 1024, (u.writes - before.writes) / d
}

// measure takes snapshots of some processes at the start and the end of a measurement of length s.duration.
func (s *scale) measure(pids ...int) (before, now []usage) {
	for _, p := range pids {
		before = append(before, usageOf(p))
	}
	time.Sleep(s.duration)
	for _, p := range pids {
		now = append(now, usageOf(p))
	}
	return before, now
}

// connectionStates returns the peer addresses of connections with a loopback address, each with whether it is
// still established. The system keeps a closed connection in TIME_WAIT for a minute, at the end that closed
// it first.
func connectionStates(addr string) map[string]bool {
	all := map[string]bool{}
	_, port, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(port)
	at := fmt.Sprintf(":%04X", n)
	text, _ := os.ReadFile("/proc/net/tcp")
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 4 || f[3] == "0A" { // the listening socket itself
			continue
		}
		switch {
		case strings.HasSuffix(f[1], at):
			all[f[2]] = all[f[2]] || f[3] == "01"
		case strings.HasSuffix(f[2], at):
			all[f[1]] = all[f[1]] || f[3] == "01"
		}
	}
	return all
}

// allocations returns the number of objects that a process has allocated, from its status. If the status
// cannot be read, as when it exceeds 64 KB, it returns NaN, which add drops.
func allocations(p *Process) float64 {
	var st struct{ Allocations float64 }
	if body, err := client.Status(client.MessagePack, p.Platform); err != nil || json.Unmarshal(body, &st) != nil {
		return math.NaN()
	}
	return st.Allocations
}

// ---- Hollow processes, in a separate operating system process ----

const hollowEnv = "SILVERPATH_HOLLOW"

// hollowSet describes hollow processes of one kind that run in one operating system process.
type hollowSet struct {
	Kind     string // servers, routers, callers, followers
	N, First int
	Map      string
	Every    time.Duration
	Members  []string
	Docs     []string
	To       string
	Cold     bool
	Restarts float64 // per minute, one member at a time
}

// RunHollow runs the hollow processes described in the environment variable SILVERPATH_HOLLOW until standard
// input ends, and reports whether the variable was set. If they fail, it exits with status 1.
func RunHollow() bool {
	text := os.Getenv(hollowEnv)
	if text == "" {
		return false
	}
	var h hollowSet
	err := json.Unmarshal([]byte(text), &h)
	if err == nil {
		err = h.run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "hollow failed:", err)
		os.Exit(1)
	}
	return true
}

// hollowMember is one hollow process of a set.
type hollowMember interface{ Close() }

// start starts the hollow process with index i.
func (h hollowSet) start(i int, site settings.Config) (m hollowMember, err error) {
	n := h.First + i
	name := fmt.Sprintf("%s%d", h.Kind, n)
	logApplied := func(doc string) { fmt.Fprintf(os.Stderr, "hollow took %s %d %d\n", doc, n, time.Now().UnixNano()) }
	var g *quorum.Client
	if len(h.Members) > 0 {
		g = &quorum.Client{Group: "test", Addrs: slices.Clone(h.Members)}
		k := n % len(h.Members) // spread the first calls over the members
		g.Addrs = append(g.Addrs[k:], g.Addrs[:k]...)
	}
	switch h.Kind {
	case "servers":
		return hollow.NewServer(hollow.ServerConfig{Name: name, IP: hollow.IP(0, n+1), Settings: site.Server, MemoryMB: 16, Sockets: 1024, Cold: h.Cold, Echo: true, Group: g, Docs: h.Docs, OnApplied: logApplied})
	case "routers":
		return hollow.NewRouter(hollow.RouterConfig{Name: name, IP: hollow.IP(1, n+1), Settings: site.Server, MemoryMB: 16, Sockets: 1024, Map: h.Map, HealthCheckInterval: h.Every, Group: g, Docs: h.Docs, OnApplied: logApplied, StartTimeout: hollowTimeout})
	case "callers":
		return hollow.NewCaller(hollow.CallerConfig{Name: name, IP: hollow.IP(2, n+1), ServerAddr: h.To, Interval: h.Every, InitialDelay: h.Every * time.Duration(i) / time.Duration(h.N),
			ConfigID: "1.0123456789abcdef", Terms: configstore.Terms{Lease: 5 * time.Second, ClockSkew: 500 * time.Millisecond, OverlapWindow: 10 * time.Second}}), nil
	case "followers":
		return hollow.NewFollower(hollow.FollowerConfig{Name: name, Group: g, Docs: h.Docs, Site: site.Server, OnApplied: logApplied})
	}
	return nil, fmt.Errorf("unknown kind of hollow process: %q", h.Kind)
}

// hollowTimeout limits the start of a hollow router and one change of a document.
const hollowTimeout = 20 * time.Second

// run starts the hollow processes. For each line of standard input it logs their traffic with the text of the
// line, and it returns when standard input ends.
func (h hollowSet) run() error {
	site, err := hollow.Site(Site{Cores: 256, MemoryKB: 1 << 20, ProcMB: scaleMemoryMB, Sockets: 4096}.config("127.0.0.1:1"))
	if err != nil {
		return err
	}
	members := make([]hollowMember, h.N)
	for i := range members {
		if members[i], err = h.start(i, site); err != nil {
			return err
		}
		if s, ok := members[i].(*hollow.Server); ok {
			fmt.Fprintln(os.Stderr, "hollow listening", s.Addr)
		}
		if h.Kind == "followers" { // spread the starts over a second, as in a fleet
			time.Sleep(time.Second / time.Duration(h.N))
		}
	}
	fmt.Fprintln(os.Stderr, "hollow ready")
	var mu sync.Mutex
	var stopped atomic.Bool
	var restarts sync.WaitGroup
	if h.Restarts > 0 {
		restarts.Go(func() {
			for k := 0; !stopped.Load(); k++ {
				time.Sleep(time.Duration(float64(time.Minute) / h.Restarts))
				i := k % h.N
				mu.Lock()
				members[i].Close()
				members[i], err = h.start(i, site)
				mu.Unlock()
			}
		})
	}
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		total := hollow.TrafficCounts{}
		mu.Lock()
		for _, m := range members {
			if t, ok := m.(interface{ Now() hollow.TrafficCounts }); ok {
				total = total.Add(t.Now())
			}
		}
		mu.Unlock()
		countJSON, _ := json.Marshal(total)
		fmt.Fprintf(os.Stderr, "hollow traffic %s %s\n", in.Text(), countJSON)
	}
	stopped.Store(true)
	restarts.Wait()
	return nil
}

// hollowProcess is the operating system process that runs a hollowSet.
type hollowProcess struct {
	*harness.Process
	in      io.WriteCloser
	queries int
	Addrs   []string
}

// startHollowSet runs a set in a new process of this test binary and waits until its hollow processes have
// started.
func startHollowSet(h hollowSet) (*hollowProcess, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(exe)
	cmd.Env = append(os.Environ(), hollowEnv+"="+string(text))
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	p, err := harness.Start(cmd)
	if err != nil {
		return nil, err
	}
	x := &hollowProcess{Process: p, in: in}
	if _, err := p.Await(time.Minute, 0, "hollow ready"); err != nil {
		p.Kill()
		return nil, err
	}
	for line := range strings.Lines(p.Log()) {
		if _, addr, ok := strings.Cut(strings.TrimSpace(line), "hollow listening "); ok {
			x.Addrs = append(x.Addrs, addr)
		}
	}
	return x, nil
}

// traffic returns the sum of the connection counters of the hollow processes. It is zero if they do not
// answer within 10 s.
func (x *hollowProcess) traffic() (c hollow.TrafficCounts) {
	x.queries++
	from := x.LineCount()
	fmt.Fprintln(x.in, x.queries)
	if line, err := x.Await(10*time.Second, from, fmt.Sprintf("hollow traffic %d ", x.queries)); err == nil {
		_, text, _ := strings.Cut(line, "{")
		_ = json.Unmarshal([]byte("{"+text), &c)
	}
	return c
}

// appliedTimes returns the times at which the hollow processes applied a document, from line number from of
// its log.
func (x *hollowProcess) appliedTimes(from int, doc string) (list []time.Time) {
	lines := strings.Split(x.Log(), "\n")
	for _, line := range lines[min(from, len(lines)):] {
		var name string
		var n int
		var at int64
		if k, _ := fmt.Sscanf(line, "hollow took %s %d %d", &name, &n, &at); k == 3 && name == doc {
			list = append(list, time.Unix(0, at))
		}
	}
	return list
}

// ---- Cell maps and quorum groups of a given size ----

// scaleMap returns a cell map with one server per address and with tenants. Servers and tenants are assigned
// to the zones, which are the cells, in turn.
func scaleMap(addrs []string, zones, tenants int) *cells.Map {
	m := &cells.Map{Version: 1, KeyWindow: 13170 * time.Millisecond, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second, CallerTimeout: requestTimeout}
	for z := range zones {
		m.Cells = append(m.Cells, cells.Cell{Name: fmt.Sprint("zone", z), Capacity: 200})
	}
	for i, addr := range addrs {
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("s", i), Addr: addr, Cell: m.Cells[i%zones].Name, Weight: 1})
	}
	for i := range tenants {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprint("tenant", i), Rate: 10, Homes: []cells.Home{{Cell: m.Cells[i%zones].Name}}})
	}
	return m
}

// serverAddrs returns n server addresses at which nothing listens.
func serverAddrs(n int) (list []string) {
	for i := range n {
		list = append(list, hollow.IP(0, i+1)+":7000")
	}
	return list
}

func (s *scale) routerSite() Site {
	return Site{Cores: 256, MemoryKB: 1 << 20, ProcMB: scaleMemoryMB, Sockets: 4096}
}

// dir creates a directory and returns its path.
func (s *scale) dir() string {
	dir, err := os.MkdirTemp(s.b.TempDir(), "")
	if err != nil {
		panic(err) // the parent directory belongs to the benchmark, so this is a fault of the benchmark
	}
	return dir
}

// startRouter starts a router with the cell map in a file and returns how long it took to serve.
func (s *scale) startRouter(m *cells.Map) (*Process, time.Duration, error) {
	dir := s.dir()
	file := filepath.Join(dir, "cells.json")
	if err := proxy.WriteMap(file, m); err != nil {
		return nil, 0, err
	}
	startedAt := time.Now()
	p, err := Route(s.bin, dir, s.routerSite(), fmt.Sprintf(`{"status":true,"fleet":{"map":%q}}`, file))
	return p, time.Since(startedAt), err
}

// documentGroup is a running quorum group with the versions of its active documents.
type documentGroup struct {
	*harness.Group
	leader   int
	addrs    []string // listening addresses of the members, which bypass the harness's proxies
	versions map[string]int
}

// startGroup starts a quorum of three members and activates the given documents.
func (s *scale) startGroup(docs map[string]string) (*documentGroup, error) {
	g, err := harness.NewGroup(s.dir(), 3, lease.Terms{TTL: scaleLease, Drift: 0.05}, 50*time.Millisecond, processStarter(s.bin))
	a := &documentGroup{Group: g, versions: map[string]int{}}
	if err != nil {
		g.Close()
		return nil, err
	}
	a.addrs = g.Addrs
	if a.leader, err = g.Leader(); err != nil {
		g.Close()
		return nil, err
	}
	for _, doc := range configstore.DocumentNames {
		if docs[doc] == "" {
			continue
		}
		if _, err := a.propose(doc, docs[doc]); err != nil {
			g.Close()
			return nil, fmt.Errorf("%s: %w", doc, err)
		}
		if err := a.awaitActive(doc, time.Minute); err != nil {
			g.Close()
			return nil, err
		}
	}
	return a, nil
}

// propose proposes a document as the command line does and returns the time of the proposal.
func (g *documentGroup) propose(doc, text string) (at time.Time, err error) {
	text, format, err := settings.ExtractDocument(doc, []byte(text))
	if err != nil {
		return at, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), hollowTimeout)
	defer cancel()
	at = time.Now()
	c := configstore.Change{Op: configstore.OpPropose, Doc: doc, Text: text, Format: format, Version: g.versions[doc], Author: "scale"}
	r, err := g.Client.Do(ctx, statemachine.Command{Config: &c})
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	return at, err
}

// awaitActive waits until a document is active and has no proposed version.
func (g *documentGroup) awaitActive(doc string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for {
		r, err := g.Client.Config(ctx)
		if err == nil {
			if d := r.Store.Documents[doc]; d != nil && d.Proposed == nil && d.Active != nil {
				g.versions[doc] = d.Active.ID.Version
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("document %s is not active after %v: %w", doc, timeout, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// initialDocs returns the initial documents of a group, with a cell map of four servers.
func initialDocs(tenants int) map[string]string {
	return map[string]string{
		configstore.DocMap: string(settings.FormatCells(scaleMap(serverAddrs(4), 1, tenants))), configstore.DocRouting: routingText(0), configstore.DocClasses: classesText(0),
	}
}

// routingText returns a routing document whose retry ratio depends on n, so that consecutive texts differ.
func routingText(n int) string { return fmt.Sprintf(`{"retries":0.%03d,"probe_ms":500}`, n%900+100) }

// classesText returns a classes document with n%5+1 extra classes, so that consecutive texts differ in their
// classes.
func classesText(n int) string {
	text := `{"classes":[`
	for _, c := range []string{`"lestvica","worth":1,"effect":"pure"`, `"krog","worth":2,"effect":"pure"`, `"oddaja","worth":3,"effect":"token","memory_span":13170000`} {
		text += fmt.Sprintf(`{"target":1800000,"deadline":4400000,"late_worth":0,"name":%s},`, c)
	}
	for i := range n%5 + 1 {
		text += fmt.Sprintf(`{"target":1800000,"deadline":4400000,"late_worth":0,"name":"more%d","worth":1,"effect":"pure"},`, i)
	}
	return strings.TrimSuffix(text, ",") + "]}"
}

// quantiles returns the median, the 99th percentile and the maximum of a list, or NaN if it is empty.
func quantiles(list []float64) (p50, p99, worst float64) {
	if len(list) == 0 {
		return math.NaN(), math.NaN(), math.NaN()
	}
	list = slices.Sorted(slices.Values(list))
	quantile := func(q float64) float64 { return list[min(len(list)-1, int(math.Ceil(q*float64(len(list))))-1)] }
	return quantile(0.5), quantile(0.99), list[len(list)-1]
}
