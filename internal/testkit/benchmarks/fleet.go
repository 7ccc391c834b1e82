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

// Fleet is twelve servers, each with a machine of its own, behind two routers.
type Fleet struct {
	bin, dir string
	site     Site
	MapFile  string
	Map      *cells.Map
	Machines []*builtinworker.Interpreter
	Servers  []*Process
	Routers  []*Process
	edge     func(dir string) string
	outs     sync.Mutex
	out      int // servers that are out, and the most at once
	mostOut  int
}

const (
	fleetCores = 4
	fleetWork  = 60 * time.Millisecond
	cellEdge   = `{"cell":true}`
)

// ServerRate is what one of the fleet's servers can run in a second.
func ServerRate() float64 { return fleetCores / fleetWork.Seconds() }

// NewFleet starts a fleet whose servers are spread over the cells, in turn, and whose tenants live where the map has them.
func NewFleet(bin, dir string, servers, routers int, cellNames []string, tenants []cells.Tenant) (*Fleet, error) {
	return NewFleetWith(bin, dir, servers, routers, cellNames, tenants, func(string) string { return cellEdge })
}

// NewFleetWith starts one whose servers have edge files by their folders.
func NewFleetWith(bin, dir string, servers, routers int, cellNames []string, tenants []cells.Tenant, edge func(dir string) string) (*Fleet, error) {
	f := &Fleet{bin: bin, dir: dir, edge: edge, MapFile: filepath.Join(dir, "cells.json")}
	var list []string
	for _, t := range tenants { // a server's part of what its tenants have agreed on, with as much again to spare
		list = append(list, fmt.Sprintf(`{"name":%q,"allowance_per_s":%g}`, t.Name, 2*t.Rate*float64(len(cellNames))/float64(servers)))
	}
	f.site = Site{Cores: fleetCores, MemoryKB: 65536, ProcMB: 64, Sockets: 512, Tenants: "[" + strings.Join(list, ",") + "]"}
	f.Map = &cells.Map{
		Version: 1, KeyWindow: 13170 * time.Millisecond, MaxClockSkew: 500 * time.Millisecond, Lease: 5 * time.Second, CallerTimeout: patience,
		Tenants: tenants,
	}
	for _, c := range cellNames {
		f.Map.Cells = append(f.Map.Cells, cells.Cell{Name: c, Capacity: ServerRate()})
	}
	for n := range servers {
		i, err := builtinworker.Listen(builtinworker.Config{
			Listen: "127.0.0.1:0", Cores: fleetCores, Shape: builtinworker.Shape{Knee: fleetCores, Thrash: 1, Speed: 1}, Audit: true,
			Other: builtinworker.Class{MinWork: fleetWork * 11 / 15, MaxWork: fleetWork * 19 / 15}, MemoryKB: 65536, RunFactor: 4, Seed: uint64(n + 1),
		})
		if err != nil {
			return f, err
		}
		f.Machines = append(f.Machines, i)
		p, err := Start(bin, f.sub(fmt.Sprint("s", n)), f.site, i.Addr(), edge(f.sub(fmt.Sprint("s", n))))
		if err != nil {
			return f, err
		}
		f.Servers = append(f.Servers, p)
	}
	entered := time.Now().UnixMilli() + 1
	for n, p := range f.Servers {
		f.Map.Servers = append(f.Map.Servers, cells.Server{Name: fmt.Sprint("s", n), Addr: p.Platform, Cell: cellNames[n%len(cellNames)], Weight: 1, JoinsAt: entered})
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
	time.Sleep(time.Second) // until the routers know all servers
	return f, nil
}

// sub returns a folder of the fleet's own.
func (f *Fleet) sub(name string) string {
	dir := filepath.Join(f.dir, name)
	if err := os.MkdirAll(dir, 0o700); err != nil {
		panic(err) // the folder above it is the test's own
	}
	return dir
}

// Restart kills a server and has it come back cold, after a while, under its name and address.
func (f *Fleet) Restart(n int, after time.Duration) error {
	f.enter(1)
	defer f.enter(-1)
	return f.restartAt(n, after)
}

// restartAt starts a server anew at all of its addresses.
func (f *Fleet) restartAt(n int, after time.Duration) error {
	old := f.Servers[n]
	old.Kill()
	time.Sleep(after)
	dir := f.sub(fmt.Sprint("s", n))
	site := f.site
	site.Mgmt = old.Mgmt
	p, err := Start(f.bin, dir, site, f.Machines[n].Addr(), f.edge(dir), "--listen", old.Platform)
	if err == nil {
		f.Servers[n] = p
	}
	return err
}

// enter counts those that are out.
func (f *Fleet) enter(n int) {
	f.outs.Lock()
	defer f.outs.Unlock()
	f.out += n
	f.mostOut = max(f.mostOut, f.out)
}

// Stop ends the fleet.
func (f *Fleet) Stop() {
	for _, p := range append(f.Routers, f.Servers...) {
		p.Kill()
	}
	for _, i := range f.Machines {
		i.Close()
	}
}

// Twice counts sheets that ran more than once, on whatever machines.
func (f *Fleet) Twice() (twice, ran int) {
	all := map[string]int{}
	for _, i := range f.Machines {
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

// TenantLoad is what one tenant sends.
type TenantLoad struct {
	Tenant string
	Rate   float64
	For    time.Duration
}

// TenantResult is what came of it.
type TenantResult struct {
	mu                          sync.Mutex
	Worth, Asked                float64
	Sent, Served                int
	Refused, Failed, Lost       int
	Repeats, Same, Missed, Gone int // repeats of served sheets: the same answer; another one or a refusal; a failure
	Times                       *hdrhistogram.Histogram
}

// Share is the part of the worth that was served in time.
func (r *TenantResult) Share() float64 { return r.Worth / max(1, r.Asked) }

// Run sends every tenant's load by the clock, each request by the next router or server in turn, and where repeats are
// asked for sends every served sheet again at some time within its window, by either.
func (f *Fleet) Run(to []*Process, loads []TenantLoad, repeats bool, seed uint64) (map[string]*TenantResult, error) {
	results := map[string]*TenantResult{}
	var wg sync.WaitGroup
	var conns []*client.Conn
	for _, p := range to {
		for range peers {
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
				q := client.Request{Class: share.Class, Tenant: l.Tenant, Timeout: patience, MemoryKB: 8, Body: fmt.Appendf(nil, "%s-%s-%d", share.Class, l.Tenant, seq)}
				if share.Class == "oddaja" {
					q.Key = fmt.Sprintf("%s-%d", l.Tenant, seq)
				}
				c, other, later := conns[rng.IntN(len(conns))], conns[rng.IntN(len(conns))], time.Duration(rng.Float64()*float64(12*time.Second))
				wg.Go(func() { res.one(c, other, q, share, at, later, repeats) })
			})
		})
	}
	wg.Wait()
	return results, nil
}

// answer waits for a reply, in bounds.
func answer(reply <-chan client.Reply) (client.Reply, bool) {
	select {
	case a, ok := <-reply:
		return a, ok
	case <-time.After(patience + 2*time.Second):
		return client.Reply{}, false
	}
}

func (r *TenantResult) one(c, other *client.Conn, q client.Request, s Share, at time.Time, later time.Duration, repeats bool) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	a, ok := answer(c.Do(q))
	took := time.Since(at)
	r.mu.Lock()
	r.Sent++
	r.Asked += s.Worth
	switch {
	case !ok:
		r.Lost++
	case a.Outcome == "served":
		r.Served++
		_ = r.Times.RecordValue(took.Microseconds())
		if took <= aim {
			r.Worth += s.Worth
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
	time.Sleep(later)
	q.ID = ""
	b, ok := answer(other.Do(q))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Repeats++
	switch {
	case ok && b.Outcome == "served" && string(b.Body) == string(a.Body):
		r.Same++
	case ok && b.Outcome == "failed":
		r.Gone++
	default:
		r.Missed++
	}
}
