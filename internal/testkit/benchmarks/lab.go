// Package benchmarks measures whole processes on loopback: the service in a separate process, a stand-in
// interpreter whose point of collapse the service does not know, and an open-loop load that sends at
// scheduled times regardless of earlier answers. It is not part of the service. Its benchmarks print the
// tables kept in docs/results.
package benchmarks

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silverpath/internal/builtinworker"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/transport/client"
)

// Site describes the machine that the service is configured for, apart from its addresses.
type Site struct {
	Cores    int
	MemoryKB float64 // memory of the interpreter
	ProcMB   float64 // memory limit of the service process
	Sockets  int
	Mgmt     string // management address; empty for any free port
	Tenants  string // JSON array of tenants for the settings; empty for none
}

// config returns the service's configuration file for the site, with vm as the interpreter's address.
func (s Site) config(vm string) string {
	class := func(name string, worth int, effect string) string {
		return fmt.Sprintf(`{"name":%q,"target":1800000,"deadline":4400000,"worth":%d,"late_worth":0,%s}`, name, worth, effect)
	}
	mgmt := s.Mgmt
	if mgmt == "" {
		mgmt = "127.0.0.1:0"
	}
	tenants := ""
	if s.Tenants != "" {
		tenants = `,"over_share_worth":0.1,"tenants":` + s.Tenants
	}
	return fmt.Sprintf(`{"name":"lab","listen":"127.0.0.1:0","mgmt":%q,"vm":%q,"stop_ms":3000,
 "limits":{"cores":1,"memory_mb":%g,"sockets":%d},"scgi":{"listen":"127.0.0.1:0","deadline_ms":4400},
 "settings":{"classes":[%s,%s,%s],
  "family_info":{"below":"none","callers":3,"cpus":%d,"gauges":["core_use","on_cores","heap_share","links"],
   "keepalive_max":15000000,"key_kb":0.5,"memory_kb":%g,"preemption":"none","run_factor":4,"say":"none"},
  "limits":{"max_retry_after":1000000,"retry_after":true},
  "rules":{"cold_from":1,"drain_grace":2000000,"fall_multiple":8,"overload_for":3000000,"warm_within":0},
  "scoring_mix":{"whole":1,"worst_class":0,"worst_tenant":0,"worst_window":0},"servers":1,"tier":0%s}}`,
		mgmt, vm, s.ProcMB, s.Sockets, class("lestvica", 1, `"effect":"pure"`), class("krog", 2, `"effect":"pure"`),
		class("oddaja", 3, `"effect":"token","memory_span":13170000`), s.Cores, s.MemoryKB, tenants)
}

// Build compiles the service into dir and returns the path of the binary.
func Build(dir string) (string, error) {
	bin := filepath.Join(dir, "silverpath")
	out, err := exec.Command("go", "build", "-o", bin, "silverpath/cmd/silverpath").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("failed to build the service: %w\n%s", err, out)
	}
	return bin, nil
}

// Process is a running service or router process with the addresses that it has logged.
type Process struct {
	*harness.Process
	Platform, SCGI, Mgmt string
	edge                 string             // path of its edge file; empty for none
	earlier              []*harness.Process // earlier processes of the same service
}

// Start starts the service for a site and waits until it serves. If edge is not empty, it is written to an
// edge file that the service reads. The further arguments are passed to the command.
func Start(bin, dir string, s Site, vm, edge string, more ...string) (*Process, error) {
	return start(bin, dir, "serve", s, vm, edge, more...)
}

// Route starts a router with the given edge file contents and waits until it serves.
func Route(bin, dir string, s Site, edge string) (*Process, error) {
	return start(bin, dir, "route", s, "", edge)
}

func start(bin, dir, command string, s Site, vm, edge string, more ...string) (*Process, error) {
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, []byte(s.config(vm)), 0o600); err != nil {
		return nil, err
	}
	edgeFile := ""
	args := append([]string{command, "--config", file}, more...)
	if edge != "" {
		edgeFile = filepath.Join(dir, "edge.json")
		if err := os.WriteFile(edgeFile, []byte(edge), 0o600); err != nil {
			return nil, err
		}
		args = append(args, "--edge", edgeFile)
	}
	p, err := launch(exec.Command(bin, args...))
	if err != nil {
		return nil, err
	}
	p.edge = edgeFile
	if _, err := p.Await(startTimeout, 0, "phase serving"); err != nil {
		p.Kill()
		return nil, fmt.Errorf("service not serving after start: %w", err)
	}
	p.readAddresses()
	return p, nil
}

// startTimeout is how long a process may take to reach the awaited log line after its start.
const startTimeout = 30 * time.Second

// launch starts a process and collects its log.
func launch(cmd *exec.Cmd) (*Process, error) {
	h, err := harness.Start(cmd)
	if err != nil {
		return nil, err
	}
	return &Process{Process: h}, nil
}

// readAddresses reads the listening addresses from the log written so far.
func (p *Process) readAddresses() {
	for _, line := range strings.Split(p.Log(), "\n") {
		for name, field := range map[string]*string{"msgpack": &p.Platform, "scgi": &p.SCGI, "mgmt": &p.Mgmt} {
			if _, addr, ok := strings.Cut(line, name+": listening on "); ok {
				*field = addr
			}
		}
	}
}

// Reload replaces the edge file and sends SIGHUP so that the process reads it.
func (p *Process) Reload(edge string) error {
	if err := os.WriteFile(p.edge, []byte(edge), 0o600); err != nil {
		return err
	}
	return p.Signal(syscall.SIGHUP)
}

var counter = regexp.MustCompile(`(?m)^counter (\S+) (\d+)$`)

// Stop drains the service and returns the counters that it logs at exit, with an error if the exit was not
// clean.
func (p *Process) Stop() (map[string]int, error) {
	err := p.Process.Leave()
	all := map[string]int{}
	for _, m := range counter.FindAllStringSubmatch(p.Log(), -1) {
		all[m[1]], _ = strconv.Atoi(m[2])
	}
	return all, err
}

// ---- The load ----

// Share is one class's fraction of the load and the worth of one of its requests.
type Share struct {
	Class string
	Part  float64
	Worth float64
}

// Shares is the class mix of the operators' site.
var Shares = []Share{{"lestvica", 0.36, 1}, {"krog", 0.34, 2}, {"oddaja", 0.30, 3}}

// pickClass picks a class at random, weighted by Shares.
func pickClass(rng *rand.Rand) Share {
	pick := rng.Float64()
	for _, s := range Shares[:len(Shares)-1] {
		if pick < s.Part {
			return s
		}
		pick -= s.Part
	}
	return Shares[len(Shares)-1]
}

// arrivals generates an open-loop load of duration d: Poisson arrivals at rate per second, with classes drawn
// from Shares. It calls one at the time of each arrival, regardless of the state of earlier requests.
func arrivals(rng *rand.Rand, rate float64, d time.Duration, one func(rng *rand.Rand, seq int, s Share, at time.Time)) {
	startedAt, due := time.Now(), 0.0
	for seq := 0; ; seq++ {
		due += rng.ExpFloat64() / rate
		at := startedAt.Add(time.Duration(due * float64(time.Second)))
		if at.Sub(startedAt) > d {
			return
		}
		time.Sleep(time.Until(at))
		one(rng, seq, pickClass(rng), at)
	}
}

const (
	latencyTarget  = 1800 * time.Millisecond
	requestTimeout = 4400 * time.Millisecond
	deadlineSlack  = 130 * time.Millisecond // how long after its deadline the rules allow an answer
	loadConns      = 8                      // connections that the load is spread over
)

// Load is an open-loop load on one service.
type Load struct {
	Rate     float64 // requests per second
	For      time.Duration
	MemoryKB float64
	Seed     uint64
}

// Result counts the outcomes of a load.
type Result struct {
	mu                        sync.Mutex
	Sent, Served, Late        int
	Refused, Failed, Lost     int
	RefusedLate               int // requests refused more than 100 ms after sending
	ServedWorth, OfferedWorth float64
	Refusals, Cheap           *hdrhistogram.Histogram // latencies in microseconds
	CheapLost, CheapWrong     int
	Repeats, RepeatsRefused   int
	Violations                []string          // violations of the rules, one text each
	ByClass                   map[string][2]int // served in time, sent
}

func newResult() *Result {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	return &Result{Refusals: h(), Cheap: h(), ByClass: map[string][2]int{}}
}

// Percentile returns a percentile (0 to 100) of a histogram of microseconds.
func Percentile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// Run sends the load to a service and its interpreter, with cheap calls in parallel, and waits for the last
// answer. A request with an idempotency key (class oddaja) that ran more than once is a violation.
func (l Load) Run(p *Process, i *builtinworker.Interpreter) (*Result, error) {
	res := newResult()
	var conns []*client.Conn
	for range loadConns {
		c, err := client.Dial(p.Platform)
		if err != nil {
			return nil, err
		}
		defer c.Close()
		conns = append(conns, c)
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() { l.sendCheap(p, res, stop) })
	startedAt := time.Now()
	arrivals(rand.New(rand.NewPCG(l.Seed, 3)), l.Rate, l.For, func(rng *rand.Rand, seq int, share Share, at time.Time) {
		q := client.Request{
			Class: share.Class, Timeout: requestTimeout, MemoryKB: l.MemoryKB, ID: fmt.Sprintf("%016x", seq+1),
			Body: fmt.Appendf(nil, "%s-%d", share.Class, seq),
		}
		if share.Class == "oddaja" {
			q.Key = fmt.Sprintf("key-%d", seq)
		}
		repeated := rng.Float64() < 0.1
		wg.Go(func() {
			served := l.sendOnce(conns[seq%loadConns], i, q, share, at, res)
			if repeated && q.Key != "" {
				l.repeat(conns[seq%loadConns], q, served, res)
			}
		})
	})
	time.Sleep(time.Until(startedAt.Add(l.For)))
	close(stop)
	wg.Wait()
	for body, n := range i.Runs() {
		if n > 1 && strings.HasPrefix(body, "oddaja") {
			res.Violations = append(res.Violations, fmt.Sprintf("%s was run %d times", body, n))
		}
	}
	return res, nil
}

// sendOnce sends one request, counts its outcome and reports whether it was served. It reports a missing
// answer, or one later than requestTimeout plus deadlineSlack, as a violation.
func (l Load) sendOnce(c *client.Conn, i *builtinworker.Interpreter, q client.Request, s Share, at time.Time, res *Result) (served bool) {
	i.Read(q.ID, q.MemoryKB)
	defer i.Release(q.ID)
	sent := time.Now()
	var a client.Reply
	answered := false
	select {
	case a, answered = <-c.Do(q):
	case <-time.After(requestTimeout + 2*time.Second):
	}
	took := time.Since(sent)
	res.mu.Lock()
	defer res.mu.Unlock()
	res.Sent++
	res.OfferedWorth += s.Worth
	counts := res.ByClass[s.Class]
	counts[1]++
	switch {
	case !answered:
		res.Lost++
		res.Violations = append(res.Violations, fmt.Sprintf("%s %s was not answered", s.Class, q.ID))
	case took > requestTimeout+deadlineSlack:
		res.Violations = append(res.Violations, fmt.Sprintf("%s %s was answered after %v", s.Class, q.ID, took))
	case a.Outcome == "served" && time.Since(at) <= latencyTarget:
		res.Served++
		res.ServedWorth += s.Worth
		counts[0]++
	case a.Outcome == "served":
		res.Late++
	case a.Outcome == "refused":
		res.Refused++
		_ = res.Refusals.RecordValue(took.Microseconds())
		if took > 100*time.Millisecond {
			res.RefusedLate++
		}
	default:
		res.Failed++
	}
	res.ByClass[s.Class] = counts
	return a.Outcome == "served"
}

// repeat sends a request with an idempotency key a second time. If the first attempt was served, the repeat
// is cheap, because the service has stored the result.
func (l Load) repeat(c *client.Conn, q client.Request, stored bool, res *Result) {
	q.ID = ""
	first := string(q.Body)
	intended := time.Now()
	a, ok := <-c.Do(q)
	res.mu.Lock()
	defer res.mu.Unlock()
	res.Repeats++
	switch {
	case !ok:
		res.CheapLost++
	case a.Outcome == "refused":
		res.RepeatsRefused++
	case a.Outcome == "served" && !strings.HasPrefix(string(a.Body), "oddaja: "+first+" "):
		res.Violations = append(res.Violations, fmt.Sprintf("repeat of %s was answered with %q", first, a.Body))
	case a.Outcome == "served":
		if stored { // otherwise the request had to run first
			_ = res.Cheap.RecordValue(time.Since(intended).Microseconds())
		}
	}
}

// sendCheap sends calls that need no run of the interpreter, one every 20 ms until stop is closed: health
// checks on new connections and, if there is an edge file, status requests on the SCGI front.
func (l Load) sendCheap(p *Process, res *Result, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	calls := []func() (bool, error){
		func() (bool, error) { return probe(p.Platform) },
		func() (bool, error) { return probe(p.Platform) },
		func() (bool, error) { b, err := client.Status(client.SCGI, p.SCGI); return len(b) > 0, err },
	}
	if p.edge == "" {
		calls = calls[:2]
	}
	startedAt := time.Now()
	for n := 0; ; n++ {
		due := startedAt.Add(time.Duration(n) * 20 * time.Millisecond)
		select {
		case <-stop:
			return
		case <-time.After(time.Until(due)):
		}
		wg.Go(func() {
			served, err := calls[n%len(calls)]()
			took := time.Since(due)
			res.mu.Lock()
			defer res.mu.Unlock()
			switch {
			case err != nil:
				res.CheapLost++
			case !served:
				res.CheapWrong++
			default:
				_ = res.Cheap.RecordValue(took.Microseconds())
			}
		})
	}
}

// probe makes a health check on a new connection and reports whether it was served.
func probe(addr string) (bool, error) {
	c, err := client.Dial(addr)
	if err != nil {
		return false, err
	}
	defer c.Close()
	a, ok := <-c.Probe()
	if !ok {
		return false, io.ErrUnexpectedEOF
	}
	return a.Outcome == "served", nil
}
