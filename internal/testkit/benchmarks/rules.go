package benchmarks

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/proxy"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/testkit/standin/faults"
	"silverpath/internal/transport/client"
)

// Rules measures the configuration documents that a group distributes to a fleet.
func Rules(b *testing.B) {
	bin, err := buildCommands(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	b.Run("simulated", func(b *testing.B) { rulesInForce(b) })
	b.Run("files", func(b *testing.B) { rulesFiles(b, bin) })
	b.Run("flood", func(b *testing.B) { sharedFlood(b, bin) })
	b.Run("shift", func(b *testing.B) { sharedShift(b, bin) })
	b.Run("cost", func(b *testing.B) { rulesCost(b, bin) })
	b.Run("schedules", func(b *testing.B) { rulesSchedules(b, bin) })
}

var rulesTerms = lease.Terms{TTL: time.Second, Drift: 0.05}

// groupFleet is a fleet whose routers get their map from a group.
type groupFleet struct {
	*Fleet
	g *harness.Group
}

// newGroupFleet starts a group of three members and a fleet that reads its documents. If maxRouters is 0, each router divides the cells'
// capacity by itself.
func newGroupFleet(bin, dir string, servers, routers int, names []string, tenants []cells.Tenant, maxRouters int, terms lease.Terms) (*groupFleet, error) {
	return newEditedGroupFleet(bin, dir, servers, routers, names, tenants, maxRouters, terms, func(*cells.Map) {})
}

// newEditedGroupFleet is newGroupFleet with a function that edits the first map before it is put.
func newEditedGroupFleet(bin, dir string, servers, routers int, names []string, tenants []cells.Tenant, maxRouters int, terms lease.Terms, edit func(*cells.Map)) (*groupFleet, error) {
	g, err := harness.NewGroup(dir, 3, terms, 20*time.Millisecond, processStarter(bin))
	if err != nil {
		return nil, err
	}
	r := &groupFleet{g: g}
	list, _ := json.Marshal(g.Client.Addrs)
	r.Fleet, err = NewFleetWith(bin, dir, servers, 0, names, tenants, func(string) string {
		return fmt.Sprintf(`{"cell":true,"rules":{"group":"test","members":%s,"documents":["classes"]}}`, list)
	})
	if err != nil {
		return r, err
	}
	edit(r.Map)
	if err := proxy.WriteMap(r.MapFile, r.Map); err != nil {
		return r, err
	}
	if err := r.put("map", r.MapFile); err != nil {
		return r, err
	}
	for range routers {
		if err := r.startRouter(maxRouters, list); err != nil {
			return r, err
		}
	}
	time.Sleep(2 * time.Second) // until the routers have probed all servers
	return r, nil
}

// startRouter starts one more router, which reaches the group at the given members.
func (r *groupFleet) startRouter(maxRouters int, members []byte) error {
	i := len(r.Routers)
	p, err := Route(r.bin, r.sub(fmt.Sprint("r", i)), r.routerSite(), r.routerEdgeFor(i, maxRouters, members))
	if err == nil {
		r.Routers = append(r.Routers, p)
	}
	return err
}

// routerSite returns the configuration of a router: that of the fleet's servers with limits that are high enough for all of them.
func (f *Fleet) routerSite() Site {
	site := f.site
	site.Cores, site.Tenants, site.MemoryKB = 16*len(f.Servers)*fleetCores, "", 1<<20
	return site
}

// Stop stops the fleet, if it was started, and the group.
func (r *groupFleet) Stop() {
	if r.Fleet != nil {
		r.Fleet.Stop()
	}
	r.g.Close()
}

// put changes a document by the command "rules put" and waits until the change is in force.
func (r *groupFleet) put(doc, file string, flags ...string) error {
	_, err := r.putWithFlags(doc, file, append(flags, "--wait")...)
	return err
}

// putWithFlags changes a document by the command "rules put" with further arguments and returns the command's output.
func (r *groupFleet) putWithFlags(doc, file string, flags ...string) (output string, err error) {
	args := append([]string{"rules", "put", doc, file, "--group", "test", "--members", strings.Join(r.g.Client.Addrs, ","), "--within", "30s"}, flags...)
	p, err := processStarter(r.bin)(args)
	if err != nil {
		return "", err
	}
	if err = p.Wait(); err != nil {
		return "", fmt.Errorf("%s", p.Log())
	}
	return p.Log(), nil
}

// capacityShares returns the shares of a cell's capacity that a router reports, by tenant. The key " rest" holds the total of the
// tenants that the router does not list.
func capacityShares(p *Process, cell string) (map[string]float64, error) {
	body, err := client.Status(client.MessagePack, p.Platform)
	if err != nil {
		return nil, err
	}
	var s struct {
		Fleet struct {
			Parts map[string]map[string]float64
			Rest  map[string]float64 `json:"parts_rest"`
		}
	}
	err = json.Unmarshal(body, &s)
	shares := s.Fleet.Parts[cell]
	if rest := s.Fleet.Rest[cell]; rest > 0 && shares != nil {
		shares[" rest"] = rest
	}
	return shares, err
}

// sharedFlood has one tenant flood a fleet through four routers. It measures the goodput of the other tenants with shares that the
// leader grants and with shares that each router computes by itself.
func sharedFlood(b *testing.B, bin string) {
	d := time.Duration(envInt("SILVERPATH_SECONDS", 20)) * time.Second
	fmt.Println("\n| fleet | parts | flood | others' worth, mean | cell mates' worst | flooder | of its rate | refused of others | failed |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		name  string
		cells []string
		shard int
	}{{"three cells", []string{"a", "b", "c"}, 0}, {"three cells, shards of two", []string{"a", "b", "c"}, 2}} {
		for _, shares := range []int{0, 8} {
			for _, factor := range []float64{1, 10} {
				r, err := newGroupFleet(bin, b.TempDir(), 12, 4, c.cells, tenantsIn(c.cells, c.shard), shares, rulesTerms)
				if err != nil {
					b.Fatal(err)
				}
				var loads []TenantLoad
				for n, t := range tenantNames {
					l := TenantLoad{Tenant: t, Rate: tenantRate(), For: d}
					if n == 0 {
						l.Rate *= factor
					}
					loads = append(loads, l)
				}
				res, err := r.Run(r.Routers, loads, false, 11)
				if err != nil {
					b.Fatal(err)
				}
				sum, lowestMate := 0.0, 1.0
				var refused, failed int
				for n, t := range tenantNames[1:] {
					v := res[t].Share()
					sum += v
					if (n+1)%len(c.cells) == 0 {
						lowestMate = min(lowestMate, v)
					}
					refused, failed = refused+res[t].Refused, failed+res[t].Failed
				}
				flooder := res["t0"]
				fmt.Printf("| %s | %v | %.0f times | %.3f | %.3f | %.3f | %.2f | %d | %d |\n", c.name, shares > 0, factor, sum/float64(len(tenantNames)-1),
					lowestMate, flooder.Share(), float64(flooder.Served)/d.Seconds()/tenantRate(), refused, failed)
				b.ReportMetric(lowestMate, fmt.Sprintf("mate-%d-%d-%.0f", c.shard, shares, factor))
				r.Stop()
			}
		}
	}
}

// sharedShift moves a tenant's load from one router to another and measures how long the router's share for the tenant takes to
// follow.
func sharedShift(b *testing.B, bin string) {
	names := []string{"a"}
	r, err := newGroupFleet(bin, b.TempDir(), 4, 4, names, tenantsIn(names, 0)[:2], 8, rulesTerms)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Stop()
	rate := 1.5 * ServerRate()
	var times []time.Duration
	for n := range 6 {
		router := r.Routers[n%2]
		done := make(chan error, 1)
		go func() {
			_, err := r.Run([]*Process{router}, []TenantLoad{{"t0", rate, 6 * time.Second}}, false, uint64(n))
			done <- err
		}()
		startTime := time.Now()
		for {
			shares, err := capacityShares(router, "a")
			if err != nil {
				b.Fatal(err)
			}
			if shares["t0"] >= rate {
				break
			}
			if time.Since(startTime) > 6*time.Second {
				b.Errorf("after 6 s the router's share is %.1f, want %.1f", shares["t0"], rate)
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		times = append(times, time.Since(startTime).Round(10*time.Millisecond))
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	fmt.Printf("\nload of %.0f a second moves to another router: its part has followed after %v, with a lease of %v\n", rate, times, rulesTerms.TTL)
}

// rulesCost measures the latency, CPU time and allocations of a request at a router with and without documents, and with the
// baseline executable if SILVERPATH_BASELINE names one.
func rulesCost(b *testing.B, bin string) {
	fmt.Println("\n| router | requests | p50 | p99 | CPU a request | allocations a request |")
	fmt.Println("|---|---|---|---|---|---|")
	base := os.Getenv("SILVERPATH_BASELINE")
	for range 2 {
		for _, variant := range []string{"as it was", "files alone", "a group", "a group and shares"} {
			var f *Fleet
			var stop func()
			if variant == "as it was" && base == "" {
				continue
			}
			if strings.HasPrefix(variant, "a group") {
				shares := 0
				if strings.HasSuffix(variant, "shares") {
					shares = 4
				}
				r, err := newGroupFleet(bin, b.TempDir(), 4, 1, []string{"a"}, []cells.Tenant{{Name: "t0", Rate: 400, Homes: []cells.Home{{Cell: "a"}}}}, shares, rulesTerms)
				if err != nil {
					b.Fatal(err)
				}
				f, stop = r.Fleet, r.Stop
			} else {
				program := bin
				if variant == "as it was" {
					program = base
				}
				var err error
				if f, err = NewFleet(program, b.TempDir(), 4, 1, []string{"a"}, []cells.Tenant{{Name: "t0", Rate: 400, Homes: []cells.Home{{Cell: "a"}}}}); err != nil {
					b.Fatal(err)
				}
				stop = f.Stop
			}
			allocs := func() float64 {
				var st struct{ Allocations float64 }
				if body, err := client.Status(client.MessagePack, f.Routers[0].Platform); err != nil || json.Unmarshal(body, &st) != nil {
					b.Fatal(err)
				}
				return st.Allocations
			}
			cpu, objects := f.Routers[0].CPU(), allocs()
			time.Sleep(4 * time.Second)
			idleCPU, idleObjects := f.Routers[0].CPU()-cpu, allocs()-objects
			cpu, objects = f.Routers[0].CPU(), allocs()
			const d = 12 * time.Second
			res, err := f.Run(f.Routers, []TenantLoad{{"t0", 2 * ServerRate(), d}}, false, 13)
			if err != nil {
				b.Fatal(err)
			}
			result := res["t0"]
			n := float64(max(1, result.Sent))
			cpu = f.Routers[0].CPU() - cpu - idleCPU*3
			fmt.Printf("| %s | %d | %v | %v | %v | %.0f |\n", variant, result.Sent, Percentile(result.Times, 50), Percentile(result.Times, 99),
				time.Duration(float64(cpu)/n).Round(time.Microsecond), (allocs()-objects-3*idleObjects)/n)
			stop()
		}
	}
}

// ---- Schedules of faults over real processes ----

// rulesOutcome is the result of one or several schedules.
type rulesOutcome struct {
	changes, withdrawn    int
	overlap               time.Duration // longest time in which two processes could begin exclusive work under conflicting versions
	ranTwice, ran, served int
	failed, refused       int
	overCapacity          int // number of samples in which the routers' shares summed to more than the cell's capacity
	samples               int
	maxGranted            float64 // largest ratio of the granted quota to a cell's capacity, as the leader reports it
	slowest               time.Duration
	violations            []string
}

// add adds the result of another schedule. The counts of runs are totals of the rig, so that the latest ones replace the earlier.
func (o *rulesOutcome) add(p rulesOutcome) {
	o.changes, o.withdrawn, o.served, o.failed, o.refused = o.changes+p.changes, o.withdrawn+p.withdrawn, o.served+p.served, o.failed+p.failed, o.refused+p.refused
	o.overCapacity, o.samples, o.ran, o.ranTwice = o.overCapacity+p.overCapacity, o.samples+p.samples, p.ran, p.ranTwice
	o.overlap, o.maxGranted, o.slowest = max(o.overlap, p.overlap), max(o.maxGranted, p.maxGranted), max(o.slowest, p.slowest)
	o.violations = append(o.violations, p.violations...)
}

// rulesRig is a fleet in which each router reaches the group through its own fault proxies.
type rulesRig struct {
	*groupFleet
	proxies      [][]*faults.Proxy
	members      [][]byte
	version      int // version of the map
	extraClasses int // number of additional classes in the last document

	faultKinds  int                                  // number of kinds of faults to draw from
	putChange   func(n int) error                    // puts change n
	checkKilled func(router int) string              // checks the stored state of a killed router and describes what is wrong
	checkMended func(violation func(string, ...any)) // further checks after the end of all faults
}

// newRulesRig starts a rig with three cells. It is returned with an error too, because the caller has to stop what was started.
func newRulesRig(bin, dir string, servers, routers int) (*rulesRig, error) {
	return newRulesRigBy(bin, dir, servers, routers, func(*cells.Map) {})
}

// newRulesRigBy is newRulesRig with a function that edits the first map before it is put.
func newRulesRigBy(bin, dir string, servers, routers int, edit func(*cells.Map)) (*rulesRig, error) {
	names := []string{"a", "b", "c"}
	r, err := newEditedGroupFleet(bin, dir, servers, 0, names, tenantsIn(names, 0), 8, ownerTerms, edit)
	rig := &rulesRig{groupFleet: r, version: 1, faultKinds: 8}
	rig.putChange, rig.checkKilled, rig.checkMended = rig.putAnyChange, func(int) string { return "" }, func(func(string, ...any)) {}
	if err != nil {
		return rig, err
	}
	for range routers {
		var proxies []*faults.Proxy
		var addrs []string
		for k, addr := range r.g.Addrs {
			w, err := faults.Listen(addr, true, uint64(k))
			if err != nil {
				return rig, err
			}
			proxies, addrs = append(proxies, w), append(addrs, w.Addr())
		}
		list, _ := json.Marshal(addrs)
		rig.proxies, rig.members = append(rig.proxies, proxies), append(rig.members, list)
		if err := r.startRouter(8, list); err != nil {
			return rig, err
		}
	}
	return rig, rig.putClasses(2)
}

// putClasses puts a document with more additional classes. It conflicts with the one in force if their number differs.
func (r *rulesRig) putClasses(extra int) error {
	r.extraClasses = extra
	text := `{"classes":[`
	for _, c := range []string{`"lestvica","worth":1,"effect":"pure"`, `"krog","worth":2,"effect":"pure"`, `"oddaja","worth":3,"effect":"token","memory_span":13170000`} {
		text += fmt.Sprintf(`{"target":1800000,"deadline":4400000,"late_worth":0,"name":%s},`, c)
	}
	for i := range extra {
		text += fmt.Sprintf(`{"target":1800000,"deadline":4400000,"late_worth":0,"name":"more%d","worth":1,"effect":"pure"},`, i)
	}
	file := filepath.Join(r.dir, "classes.json")
	if err := os.WriteFile(file, []byte(strings.TrimSuffix(text, ",")+"]}"), 0o600); err != nil {
		return err
	}
	return r.put("classes", file)
}

// putRouting puts a routing document. Its versions do not conflict, so that two may be in force at the same time.
func (r *rulesRig) putRouting(n int) error {
	file := filepath.Join(r.dir, "routing.json")
	if err := os.WriteFile(file, fmt.Appendf(nil, `{"retries":0.%03d,"probe_ms":200}`, n%900+100), 0o600); err != nil {
		return err
	}
	return r.put("routing", file)
}

// putMove puts a map in which a tenant moves to another cell.
func (r *rulesRig) putMove(n int) error {
	m := *r.Map
	plan, err := m.PlanMove(time.Now(), tenantNames[n%len(tenantNames)], []string{"a", "b", "c"}[n%3], 0)
	if err != nil {
		return nil // the tenant is in this cell or moves already
	}
	r.Map = plan.Next
	if err := proxy.WriteMap(r.MapFile, r.Map); err != nil {
		return err
	}
	return r.put("map", r.MapFile)
}

// putAnyChange puts change n: a routing document, a map or a document of classes, in turn.
func (r *rulesRig) putAnyChange(n int) error {
	switch n % 4 {
	case 1:
		return r.putRouting(n)
	case 3:
		return r.putMove(n / 4)
	}
	return r.putClasses(n%5 + 1)
}

// leader returns the index of the member that reports itself as the leader, or -1 if none does. Each member has 200 ms to answer.
func (r *rulesRig) leader() int {
	for i, addr := range r.g.Client.Addrs {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		s, err := r.g.Client.StatusOf(ctx, addr)
		cancel()
		if err == nil && s.State == "leader" {
			return i
		}
	}
	return -1
}

// schedule runs the schedule of one seed for 4 s: requests through all routers, a change 300 ms after the last one, and faults of
// every kind. Then all faults end, and the change that is under way has to come into force or be withdrawn.
func (r *rulesRig) schedule(seed uint64) (o rulesOutcome) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	rng := rand.New(rand.NewPCG(seed, 19))
	var mu sync.Mutex
	violation := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		o.violations = append(o.violations, fmt.Sprintf("seed %d: ", seed)+fmt.Sprintf(format, args...))
	}
	stop := make(chan struct{})
	var background sync.WaitGroup
	var routersMu sync.Mutex // guards r.Routers
	router := func(i int) *Process {
		routersMu.Lock()
		defer routersMu.Unlock()
		return r.Routers[i]
	}
	for clientIndex := range 3 {
		background.Go(func() { // sends each request twice, through routers drawn at random
			rng := rand.New(rand.NewPCG(seed, uint64(clientIndex)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				key := fmt.Sprintf("oddaja-%d-%d-%d", seed, clientIndex, n)
				var attempts sync.WaitGroup
				for range 2 {
					target, delay := router(rng.IntN(len(r.Routers))), time.Duration(rng.IntN(300))*time.Millisecond
					attempts.Go(func() {
						time.Sleep(delay)
						a, err := client.Do(client.MessagePack, target.Platform, client.Request{Class: "oddaja", Tenant: tenantNames[n%len(tenantNames)], Key: key, Body: []byte(key), Timeout: time.Second, MemoryKB: 8})
						mu.Lock()
						defer mu.Unlock()
						switch {
						case err != nil:
						case a.Outcome == "served":
							o.served++
						case a.Outcome == "failed":
							o.failed++
						default:
							o.refused++
						}
					})
				}
				attempts.Wait()
			}
		})
	}
	background.Go(func() { r.sample(stop, router, &mu, &o) })
	background.Go(func() {
		for n := int(seed) * 7; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
			startTime := time.Now()
			err := r.putChange(n)
			mu.Lock()
			o.changes++
			o.slowest = max(o.slowest, time.Since(startTime))
			if err != nil {
				o.withdrawn++
			}
			mu.Unlock()
		}
	})
	wakeLater := func(p *harness.Process, limitMS int) {
		time.AfterFunc(time.Duration(rng.IntN(limitMS))*time.Millisecond, p.Resume)
	}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond) {
		routerIndex, memberIndex := rng.IntN(len(r.Routers)), rng.IntN(3)
		switch rng.IntN(r.faultKinds) {
		case 0, 1:
			p := router(routerIndex)
			p.Freeze()
			wakeLater(p.Process, 1500)
		case 2: // a router restarts with its stored state
			p := router(routerIndex)
			p.Kill()
			if problem := r.checkKilled(routerIndex); problem != "" {
				violation("router %d: %s", routerIndex, problem)
			}
			routersMu.Lock()
			next, err := Route(r.bin, r.sub(fmt.Sprint("r", routerIndex)), r.routerSite(), r.routerEdge(routerIndex))
			if err != nil {
				violation("failed to restart router %d: %v", routerIndex, err)
			} else {
				next.earlier = append(p.earlier, p.Process)
				r.Routers[routerIndex] = next
			}
			routersMu.Unlock()
		case 3:
			r.g.Members[memberIndex].Freeze()
			wakeLater(r.g.Members[memberIndex], 1200)
		case 4:
			r.g.Members[memberIndex].Kill()
			if err := r.g.Start(memberIndex); err != nil {
				violation("failed to restart a member: %v", err)
			}
		case 5:
			for _, w := range r.proxies[routerIndex] {
				w.Cut(true)
			}
		case 6:
			r.proxies[routerIndex][memberIndex].SetFault(faults.Direction(rng.IntN(2)), faults.Fault{Drop: rng.IntN(2) == 0, Delay: 100 * time.Millisecond, Duplicate: 0.2, Reorder: 0.2})
		case 7:
			for _, w := range r.proxies[routerIndex] {
				w.Cut(false)
			}
		case 8: // a member is down for a while
			r.g.Members[memberIndex].Kill()
			time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
			if err := r.g.Start(memberIndex); err != nil {
				violation("failed to restart a member: %v", err)
			}
		case 9: // the leader is cut off from the members but not from the routers, or it is paused and comes back as an old leader
			leaderIndex, fault, pauseMS := r.leader(), rng.IntN(2), 300+rng.IntN(900)
			switch {
			case leaderIndex >= 0 && fault == 0:
				r.g.Proxies[leaderIndex].Cut(true)
				time.AfterFunc(time.Duration(pauseMS)*time.Millisecond, func() { r.g.Proxies[leaderIndex].Cut(false) })
			case leaderIndex >= 0:
				r.g.Members[leaderIndex].Freeze()
				time.AfterFunc(time.Duration(pauseMS)*time.Millisecond, r.g.Members[leaderIndex].Resume)
			}
		case 10: // answers to a router are damaged on the way
			for _, w := range r.proxies[routerIndex] {
				w.SetFault(faults.ToClient, faults.Fault{CorruptAfter: `\"rate\":`})
			}
		}
	}
	for i, proxies := range r.proxies {
		router(i).Resume()
		for _, w := range proxies {
			w.Cut(false)
			w.SetFault(faults.ToListener, faults.Fault{})
			w.SetFault(faults.ToClient, faults.Fault{})
		}
	}
	for i, m := range r.g.Members {
		m.Resume()
		r.g.Proxies[i].Cut(false)
	}
	close(stop)
	background.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for { // waits until no change is under way
		b, err := r.g.Client.Config(ctx)
		if err != nil {
			violation("failed to read the configuration of the group: %v", err)
			return o
		}
		pending := ""
		for name, d := range b.Store.Documents {
			if d.Proposed != nil {
				pending = name + " " + string(d.Stage) + ": " + b.Store.WaitingFor(d)
			}
		}
		if pending == "" {
			break
		}
		time.Sleep(20 * time.Millisecond)
		if ctx.Err() != nil {
			violation("change still under way after 20 s: %s", pending)
			return o
		}
	}
	var periods []harness.ActivePeriod
	for _, list := range [][]*Process{r.Servers, r.Routers} {
		for _, p := range list {
			for k, h := range append(slices.Clone(p.earlier), p.Process) {
				periods = append(periods, harness.ActivePeriodsOf(fmt.Sprint(p.Platform, "-", k), h, "classes")...)
			}
		}
	}
	overlap, description := harness.Overlap(periods)
	if o.overlap = overlap; overlap > 0 {
		violation("two conflicting versions in force for %v: %s", overlap, description)
	}
	if o.ranTwice, o.ran = r.CountRepeatedRuns(); o.ranTwice > 0 {
		violation("%d keys ran twice", o.ranTwice)
	}
	r.checkMended(violation)
	if dir := os.Getenv("SILVERPATH_LOGS"); dir != "" && len(o.violations) > 0 {
		r.keepLogs(dir, seed)
	}
	return o
}

// keepLogs writes the logs of routers and members into the directory dir after a check failed.
func (r *rulesRig) keepLogs(dir string, seed uint64) {
	for _, p := range r.Routers {
		for k, h := range append(slices.Clone(p.earlier), p.Process) {
			_ = os.WriteFile(filepath.Join(dir, fmt.Sprintf("seed%d-%s-%d.log", seed, p.Platform, k)), []byte(h.Log()), 0o600)
		}
	}
	for i, m := range r.g.Members {
		_ = os.WriteFile(filepath.Join(dir, fmt.Sprintf("seed%d-member%d.log", seed, i)), []byte(m.Log()), 0o600)
	}
}

// routerEdgeFor returns the edge file of router i. maxRouters is the greatest number of routers that share the capacity, or 0.
func (r *groupFleet) routerEdgeFor(i, maxRouters int, members []byte) string {
	return fmt.Sprintf(`{"status":true,"fleet":{"state":%q,"probe_ms":200},"rules":{"group":"test","members":%s,"documents":["map","routing","classes"],"most_routers":%d}}`,
		filepath.Join(r.sub(fmt.Sprint("r", i)), "state.db"), members, maxRouters)
}

func (r *rulesRig) routerEdge(i int) string { return r.routerEdgeFor(i, 8, r.members[i]) }

// sample adds up the shares of all routers every 50 ms. It reads each router twice and uses the smaller total, so that a share that
// passes from one router to another during the sample is not counted twice. A sum above the cell's capacity is a real excess.
func (r *rulesRig) sample(stop chan struct{}, router func(int) *Process, mu *sync.Mutex, o *rulesOutcome) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		var readings [2][]map[string]float64
		var wg sync.WaitGroup
		for k := range 2 {
			readings[k] = make([]map[string]float64, len(r.Routers))
			for i := range r.Routers {
				p := router(i)
				if p.Stopped() {
					continue
				}
				wg.Go(func() { readings[k][i], _ = capacityShares(p, "a") })
			}
			wg.Wait()
		}
		sum := 0.0
		for i := range r.Routers {
			a, b := 0.0, 0.0
			for _, v := range readings[0][i] {
				a += v
			}
			for _, v := range readings[1][i] {
				b += v
			}
			sum += min(a, b)
		}
		granted := 0.0
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		if b, err := r.g.Client.Config(ctx); err == nil {
			for _, v := range b.GrantedQuota {
				granted = max(granted, v)
			}
		}
		cancel()
		mu.Lock()
		o.samples++
		if sum > ServerRate()*float64(len(r.Servers))/3*1.0001 {
			o.overCapacity++
		}
		o.maxGranted = max(o.maxGranted, granted)
		mu.Unlock()
	}
}

// rulesSchedules runs schedules over real processes, several rigs in parallel, and prints their sum.
func rulesSchedules(b *testing.B, bin string) {
	n, workers := envInt("SILVERPATH_SCHEDULES", 300), envInt("SILVERPATH_WORKERS", 3)
	var mu sync.Mutex
	var sum rulesOutcome
	ran, twice := 0, 0
	next := uint64(0)
	var wg sync.WaitGroup
	startTime := time.Now()
	for range workers {
		wg.Go(func() {
			rig, err := newRulesRig(bin, b.TempDir(), 12, 4)
			defer rig.Stop()
			if err != nil {
				b.Error(err)
				return
			}
			last := rulesOutcome{}
			for {
				mu.Lock()
				next++
				seed := next
				mu.Unlock()
				if seed > uint64(n) {
					break
				}
				last = rig.schedule(seed)
				mu.Lock()
				sum.add(last)
				mu.Unlock()
			}
			mu.Lock()
			ran, twice = ran+last.ran, twice+last.ranTwice
			mu.Unlock()
		})
	}
	wg.Wait()
	fmt.Printf("\n%d schedules in %v: %d changes, %d of them told no or withdrawn, slowest %v; two versions at once %v at longest; %d sheets ran, %d twice; %d served, %d failed, %d refused; parts over the whole in %d of %d samples, lent at most %.3f of what there is; broken %d\n",
		n, time.Since(startTime).Round(time.Second), sum.changes, sum.withdrawn, sum.slowest.Round(time.Millisecond), sum.overlap, ran, twice, sum.served, sum.failed, sum.refused, sum.overCapacity, sum.samples, sum.maxGranted, len(sum.violations))
	for i, s := range sum.violations {
		if i < 10 {
			fmt.Println(s)
		}
	}
	if len(sum.violations) > 0 || sum.overCapacity > 0 {
		b.Errorf("%d checks failed", len(sum.violations))
	}
}

// rulesFiles has two routers apply map files that conflict: two different maps of the same version, or a map that one router did not
// get when a tenant moved. It measures how long both routers begin requests of the tenant in different cells, and how many run twice.
func rulesFiles(b *testing.B, bin string) { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	fmt.Println("\n| program | case | both began sheets for | bound | sheets sent to both | ran twice | said so |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, variant := range []string{"as it was", "files alone"} {
		program := bin
		if variant == "as it was" {
			if program = os.Getenv("SILVERPATH_BASELINE"); program == "" {
				continue
			}
		}
		for _, forgotten := range []bool{false, true} {
			var conflict, bound time.Duration
			sent, ranTwice, logged := 0, 0, 0
			const rounds = 3
			for round := range rounds {
				f, err := NewFleet(program, b.TempDir(), 4, 0, []string{"a", "b"}, []cells.Tenant{{Name: "t0", Rate: 50, Homes: []cells.Home{{Cell: "a"}}}})
				if err != nil {
					b.Fatal(err)
				}
				f.Map.Lease, f.Map.MaxClockSkew, f.Map.KeyWindow, f.Map.CallerTimeout = 900*time.Millisecond, 100*time.Millisecond, 500*time.Millisecond, time.Second
				other := *f.Map
				if !forgotten {
					other.Tenants = []cells.Tenant{{Name: "t0", Rate: 50, Homes: []cells.Home{{Cell: "b"}}}}
				}
				for i, m := range []*cells.Map{f.Map, &other} {
					file := filepath.Join(f.sub(fmt.Sprint("m", i)), "cells.json")
					if err := proxy.WriteMap(file, m); err != nil {
						b.Fatal(err)
					}
					p, err := Route(program, f.sub(fmt.Sprint("r", i)), f.routerSite(), fmt.Sprintf(`{"fleet":{"map":%q,"probe_ms":200}}`, file))
					if err != nil {
						b.Fatal(err)
					}
					f.Routers = append(f.Routers, p)
				}
				startTime := time.Now()
				if forgotten { // from the time at which the move takes effect and the old home gets no more requests
					plan, err := f.Map.PlanMove(time.Now(), "t0", "b", 0)
					if err == nil {
						err = proxy.WriteMap(filepath.Join(f.sub("m1"), "cells.json"), plan.Next)
					}
					if err != nil {
						b.Fatal(err)
					}
					startTime = plan.EffectiveAt
				}
				var lastServed [2]time.Time
				var mu sync.Mutex
				var wg sync.WaitGroup
				for n, end := 0, time.Now().Add(6*time.Second); time.Now().Before(end); n++ {
					key := fmt.Sprintf("oddaja-%d-%d", round, n)
					wg.Go(func() {
						for i, p := range f.Routers {
							at := time.Now()
							a, err := client.Do(client.MessagePack, p.Platform, client.Request{Class: "oddaja", Tenant: "t0", Key: key, Body: []byte(key), Timeout: time.Second, MemoryKB: 8})
							if err == nil && a.Outcome == "served" {
								mu.Lock()
								if at.After(lastServed[i]) {
									lastServed[i] = at
								}
								mu.Unlock()
							}
						}
					})
					sent++
					time.Sleep(25 * time.Millisecond)
				}
				wg.Wait()
				for _, p := range f.Routers {
					if strings.Contains(p.Log(), "config: version") || strings.Contains(p.Log(), "is newer than") {
						logged++
					}
				}
				if d := lastServed[0].Sub(startTime); lastServed[0].Before(lastServed[1]) {
					conflict = max(conflict, d)
				} else {
					conflict = max(conflict, min(d, lastServed[1].Sub(startTime)))
				}
				n, _ := f.CountRepeatedRuns()
				ranTwice += n
				bound = configstore.Terms{Lease: f.Map.Lease, ClockSkew: f.Map.MaxClockSkew, ClockDrift: 0.05, ProbeInterval: 200 * time.Millisecond, ProbeTimeout: time.Second}.ConflictBound()
				f.Stop()
			}
			if conflict < 0 {
				conflict = 0
			}
			fmt.Printf("| %s | %s | %v | %v | %d | %d | %d of %d routers |\n", variant, map[bool]string{false: "two of one version", true: "a forgotten file"}[forgotten],
				conflict.Round(time.Millisecond), bound.Round(time.Millisecond), sent, ranTwice, logged, 2*rounds)
		}
	}
}
