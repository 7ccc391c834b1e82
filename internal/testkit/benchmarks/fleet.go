package benchmarks

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silverpath/internal/builtinworker"
	"silverpath/internal/policy/cells"
	"silverpath/internal/proxy"
	"silverpath/internal/transport/client"
)

// Fleet is a set of servers, each with its own interpreter, behind a set of routers.
type Fleet struct {
	bin, dir     string
	site         Site
	MapFile      string
	Map          *cells.Map
	Interpreters []*builtinworker.Interpreter
	Servers      []*Process
	Routers      []*Process
	edge         func(dir string) string
	downMu       sync.Mutex
	down         int // servers that are down
	maxDown      int // the most servers that were down at once
}

const (
	fleetCores = 4
	fleetWork  = 60 * time.Millisecond
	cellEdge   = `{"cell":true}`
)

// ServerRate returns the requests per second that one server of the fleet can run.
func ServerRate() float64 { return fleetCores / fleetWork.Seconds() }

// NewFleet starts a fleet whose servers are assigned to the cells in turn. The homes of the tenants are those
// in tenants. On an error it returns the part of the fleet that was started.
func NewFleet(bin, dir string, servers, routers int, cellNames []string, tenants []cells.Tenant) (*Fleet, error) {
	return NewFleetWith(bin, dir, servers, routers, cellNames, tenants, func(string) string { return cellEdge })
}

// NewFleetWith is NewFleet with an edge file for each server: edge returns its contents for the server's
// directory.
func NewFleetWith(bin, dir string, servers, routers int, cellNames []string, tenants []cells.Tenant, edge func(dir string) string) (*Fleet, error) {
	f := &Fleet{bin: bin, dir: dir, edge: edge, MapFile: filepath.Join(dir, "cells.json")}
	var list []string
	for _, t := range tenants { // twice a server's part of the tenants' agreed rates
		list = append(list, fmt.Sprintf(`{"name":%q,"allowance_per_s":%g}`, t.Name, 2*t.Rate*float64(len(cellNames))/float64(servers)))
	}
	f.site = Site{Cores: fleetCores, MemoryKB: 65536, ProcMB: 64, Sockets: 512, Tenants: "[" + strings.Join(list, ",") + "]"}
	f.Map = &cells.Map{
		Version: 1, KeyWindow: 13170 * time.Millisecond, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second, CallerTimeout: requestTimeout,
		Tenants: tenants,
	}
	for _, c := range cellNames {
		f.Map.Cells = append(f.Map.Cells, cells.Cell{Name: c, Capacity: ServerRate()})
	}
	for n := range servers {
		i, err := builtinworker.Listen(builtinworker.Config{
			Listen: "127.0.0.1:0", Cores: fleetCores, Shape: builtinworker.Shape{Knee: fleetCores, Thrash: 1, Speed: 1}, Audit: true,
			DefaultClass: builtinworker.Class{MinWork: fleetWork * 11 / 15, MaxWork: fleetWork * 19 / 15}, MemoryKB: 65536, RunFactor: 4, Seed: uint64(n + 1),
		})
		if err != nil {
			return f, err
		}
		f.Interpreters = append(f.Interpreters, i)
		p, err := Start(bin, f.sub(fmt.Sprint("s", n)), f.site, i.Addr(), edge(f.sub(fmt.Sprint("s", n))))
		if err != nil {
			return f, err
		}
		f.Servers = append(f.Servers, p)
	}
	joinsAt := time.Now().UnixMilli() + 1
	for n, p := range f.Servers {
		f.Map.Servers = append(f.Map.Servers, cells.Server{Name: fmt.Sprint("s", n), Addr: p.Platform, Cell: cellNames[n%len(cellNames)], Weight: 1, JoinsAt: joinsAt})
	}
	if err := proxy.WriteMap(f.MapFile, f.Map); err != nil {
		return f, err
	}
	for n := range routers {
		dir := f.sub(fmt.Sprint("r", n))
		site := f.site
		site.Cores, site.Tenants, site.MemoryKB = 16*servers*fleetCores, "", 1<<20
		p, err := Route(bin, dir, site, fmt.Sprintf(`{"fleet":{"map":%q,"state":%q,"probe_ms":200}}`, f.MapFile, filepath.Join(dir, "state.db")))
		if err != nil {
			return f, err
		}
		f.Routers = append(f.Routers, p)
	}
	time.Sleep(time.Second) // until the routers have checked all servers
	return f, nil
}

// sub creates a directory below the fleet's directory and returns its path.
func (f *Fleet) sub(name string) string {
	dir := filepath.Join(f.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		panic(err) // the parent directory belongs to the test, so this is a fault of the test
	}
	return dir
}

// Restart kills a server and starts it again after a delay. It is then cold and has the same platform and
// management addresses.
func (f *Fleet) Restart(n int, delay time.Duration) error {
	f.addDown(1)
	defer f.addDown(-1)
	return f.restartUncounted(n, delay)
}

// restartUncounted is Restart without the count of servers that are down.
func (f *Fleet) restartUncounted(n int, delay time.Duration) error {
	old := f.Servers[n]
	old.Kill()
	time.Sleep(delay)
	dir := f.sub(fmt.Sprint("s", n))
	site := f.site
	site.Mgmt = old.Mgmt
	p, err := Start(f.bin, dir, site, f.Interpreters[n].Addr(), f.edge(dir), "--listen", old.Platform)
	if err == nil {
		f.Servers[n] = p
	}
	return err
}

// addDown adds n to the count of servers that are down and updates its maximum.
func (f *Fleet) addDown(n int) {
	f.downMu.Lock()
	defer f.downMu.Unlock()
	f.down += n
	f.maxDown = max(f.maxDown, f.down)
}

// Stop kills all processes of the fleet and closes the interpreters.
func (f *Fleet) Stop() {
	for _, p := range append(f.Routers, f.Servers...) {
		p.Kill()
	}
	for _, i := range f.Interpreters {
		i.Close()
	}
}

// CountRepeatedRuns returns how many requests with an idempotency key (class oddaja) ran more than once over all
// interpreters, and how many ran at all.
func (f *Fleet) CountRepeatedRuns() (twice, ran int) {
	all := map[string]int{}
	for _, i := range f.Interpreters {
		for body, n := range i.Runs() {
			if strings.HasPrefix(body, "oddaja") {
				all[body] += n
			}
		}
	}
	for _, n := range all {
		if n > 1 {
			twice++
		}
	}
	return twice, len(all)
}

// TenantLoad is the open-loop load of one tenant.
type TenantLoad struct {
	Tenant string
	Rate   float64
	For    time.Duration
}

// TenantResult counts the outcomes of one tenant's load.
type TenantResult struct {
	mu                                              sync.Mutex
	ServedWorth, OfferedWorth                       float64
	Sent, Served                                    int
	Refused, Failed, Lost                           int
	Repeats, SameAnswer, OtherAnswer, RepeatsFailed int // repeats of served requests: all, same answer, another answer or refusal, failed
	Times                                           *hdrhistogram.Histogram
}

// Share returns the fraction of the worth that was served in time.
func (r *TenantResult) Share() float64 { return r.ServedWorth / max(1, r.OfferedWorth) }

// Run sends the load of every tenant, each request over a random connection to one of the given processes. If
// repeats is set, each served request with an idempotency key is sent again over another random connection,
// after up to 12 s, which is within its key window.
func (f *Fleet) Run(to []*Process, loads []TenantLoad, repeats bool, seed uint64) (map[string]*TenantResult, error) {
	results := map[string]*TenantResult{}
	var wg sync.WaitGroup
	var conns []*client.Conn
	for _, p := range to {
		for range loadConns {
			c, err := client.Dial(p.Platform)
			if err != nil {
				return nil, err
			}
			defer c.Close()
			conns = append(conns, c)
		}
	}
	for n, l := range loads {
		res := &TenantResult{Times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
		results[l.Tenant] = res
		wg.Go(func() {
			arrivals(rand.New(rand.NewPCG(seed, uint64(n))), l.Rate, l.For, func(rng *rand.Rand, seq int, share Share, at time.Time) {
				q := client.Request{Class: share.Class, Tenant: l.Tenant, Timeout: requestTimeout, MemoryKB: 8, Body: fmt.Appendf(nil, "%s-%s-%d", share.Class, l.Tenant, seq)}
				if share.Class == "oddaja" {
					q.Key = fmt.Sprintf("%s-%d", l.Tenant, seq)
				}
				c, other, delay := conns[rng.IntN(len(conns))], conns[rng.IntN(len(conns))], time.Duration(rng.Float64()*float64(12*time.Second))
				wg.Go(func() { res.sendOnce(c, other, q, share, at, delay, repeats) })
			})
		})
	}
	wg.Wait()
	return results, nil
}

// awaitReply waits for a reply for at most patience plus 2 s and reports whether one came.
func awaitReply(reply <-chan client.Reply) (client.Reply, bool) {
	select {
	case a, ok := <-reply:
		return a, ok
	case <-time.After(requestTimeout + 2*time.Second):
		return client.Reply{}, false
	}
}

// sendOnce sends one request and counts its outcome. If repeats is set and a request with an idempotency key
// was served, it sends the request again over the connection other after the given delay.
func (r *TenantResult) sendOnce(c, other *client.Conn, q client.Request, s Share, at time.Time, delay time.Duration, repeats bool) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	a, ok := awaitReply(c.Do(q))
	took := time.Since(at)
	r.mu.Lock()
	r.Sent++
	r.OfferedWorth += s.Worth
	switch {
	case !ok:
		r.Lost++
	case a.Outcome == "served":
		r.Served++
		_ = r.Times.RecordValue(took.Microseconds())
		if took <= latencyTarget {
			r.ServedWorth += s.Worth
		}
	case a.Outcome == "refused":
		r.Refused++
	default:
		r.Failed++
	}
	r.mu.Unlock()
	if !repeats || q.Key == "" || !ok || a.Outcome != "served" {
		return
	}
	time.Sleep(delay)
	q.ID = ""
	b, ok := awaitReply(other.Do(q))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Repeats++
	switch {
	case ok && b.Outcome == "served" && string(b.Body) == string(a.Body):
		r.SameAnswer++
	case ok && b.Outcome == "failed":
		r.RepeatsFailed++
	default:
		r.OtherAnswer++
	}
}
