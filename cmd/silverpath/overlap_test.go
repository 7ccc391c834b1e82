package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/quota"
	"silverpath/internal/proxy"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/testkit/standin/faults"
	"silverpath/internal/transport/client"
)

// memberLinks starts one fault-injecting proxy per group member and returns the addresses and the proxies. A process
// that uses these addresses can be cut off from the group on its own.
func (f *documentFleet) memberLinks() (addrs []string, links []*faults.Proxy) {
	f.t.Helper()
	for i, addr := range f.g.Addrs {
		link, err := faults.Listen(addr, true, uint64(100+i))
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(link.Close)
		links, addrs = append(links, link), append(addrs, link.Addr())
	}
	return addrs, links
}

// writeClassesWithExtra writes a classes document that has the class oddaja and the given number of extra classes, and
// returns its path. Versions that differ in their classes exclude each other.
func writeClassesWithExtra(t testing.TB, extra int) string {
	text := fmt.Sprintf(`{"classes":[{"name":"oddaja","target":900000,"deadline":1000000,"worth":3,"effect":"token","memory_span":%d}`, keyWindow.Microseconds())
	for i := range extra {
		text += fmt.Sprintf(`,{"name":"krog%d","target":900000,"deadline":1000000,"worth":1,"effect":"pure"}`, i)
	}
	return writeFile(t, "classes.json", text+"]}")
}

// checkNoOverlap checks in the logs that no two processes could start exclusive work under different versions
// of a document at one time, and that at least the given number of versions became active.
func checkNoOverlap(t testing.TB, doc string, versions int, procs map[string]*harness.Process) {
	t.Helper()
	var all []harness.ActivePeriod
	for name, p := range procs {
		all = append(all, harness.ActivePeriodsOf(name, p, doc)...)
	}
	if d, what := harness.Overlap(all); d > 0 {
		t.Errorf("for %v two versions of %s were active: %s", d, doc, what)
	}
	if n := len(harness.Versions(all)); n < versions {
		t.Errorf("%d versions of %s were active, want at least %d", n, doc, versions)
	}
}

// processes returns the fleet's servers and the given routers by name.
func (f *documentFleet) processes(routers map[string]*process) map[string]*harness.Process {
	all := map[string]*harness.Process{}
	for name, p := range f.servers {
		all[name] = p.Process
	}
	for name, p := range routers {
		all[name] = p.Process
	}
	return all
}

// documentState returns the active version of a document, the stage of its pending change, and what the change waits
// for.
func (f *documentFleet) documentState(name string) (active int, stage configstore.Stage, waits string) {
	f.t.Helper()
	r, err := f.g.Client.Config(f.g.within(10 * time.Second))
	if err != nil {
		f.t.Fatal(err)
	}
	d := r.Store.Documents[name]
	if d == nil {
		return 0, "", ""
	}
	if d.Active != nil {
		active = d.Active.ID.Version
	}
	return active, d.Stage, r.Store.WaitingFor(d)
}

// awaitActive waits until a version of a document is active, and returns the time that it waited.
func (f *documentFleet) awaitActive(name string, version int, within time.Duration) time.Duration {
	f.t.Helper()
	for start := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		active, stage, waits := f.documentState(name)
		if active >= version {
			return time.Since(start)
		}
		if time.Since(start) > within {
			f.t.Fatalf("document %s: version %d is active after %v, want %d: stage %q, %s", name, active, within, version, stage, waits)
		}
	}
}

// A router is cut off at each step of a change whose version excludes the active one: before the proposal,
// while the proposal is held, and while all processes stop using the active version. Then it is suspended
// (SIGSTOP) at the same steps. The change waits for the router no longer than a lease. The router accepts no
// requests in that time, and uses the new version once it is back. Without the lease, or if the processes did
// not stop, two versions would be active at one time.
func TestCutOffInAChange(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	f.put("classes", writeClassesWithExtra(t, 0))
	addrs, links := f.memberLinks()
	faulty := f.startClassRouter("cut", addrs)
	healthy := f.startClassRouter("whole", nil)
	cutOff := func(on bool) {
		for _, link := range links {
			link.Cut(on)
		}
	}
	freeze := func(on bool) {
		if on {
			faulty.Freeze()
		} else {
			faulty.Resume()
		}
	}
	// The lease with its drift, then the stages of the change on a loaded machine.
	timeout := time.Duration(float64(testLease)*1.05*2) + 2*time.Second
	version := 1
	for _, isolate := range []func(bool){cutOff, freeze} {
		for _, at := range []string{"before", "proposed", "turning"} {
			version++
			file := writeClassesWithExtra(t, version%2+1)
			if at == "before" {
				isolate(true)
			}
			args := []string{"put", "classes", file}
			if at == "proposed" {
				args = append(args, "--hold", "until it is cut off")
			}
			f.expect(0, "proposed", args...)
			switch at {
			case "proposed":
				time.Sleep(testLease / 2)
				isolate(true)
				f.expect(0, "", "release", "classes")
			case "turning":
				for {
					if _, stage, _ := f.documentState("classes"); stage != configstore.StageProposed {
						break
					}
				}
				isolate(true)
			}
			f.awaitActive("classes", version, timeout)
			f.awaitServed(fmt.Sprint("cut", version), healthy)
			from := faulty.LineCount()
			isolate(false)
			if _, err := faulty.Await(5*time.Second, from, fmt.Sprintf("config: active: classes %d.", version)); err != nil {
				if at == "turning" { // the router may have received the version before it was isolated
					_, err = faulty.Await(time.Second, 0, fmt.Sprintf("config: active: classes %d.", version))
				}
				if err != nil {
					t.Fatal(at, err)
				}
			}
			f.awaitServed(fmt.Sprint("back", version), faulty)
		}
	}
	if n := countRunTwice(f.runsByBody()); n != 0 {
		t.Errorf("%d requests ran twice", n)
	}
	checkNoOverlap(t, "classes", 7, f.processes(map[string]*process{"cut": faulty, "whole": healthy}))
}

// awaitServed waits until each of the routers serves a request. A router may still have to learn that a change is
// complete.
func (f *documentFleet) awaitServed(name string, routers ...*process) {
	f.t.Helper()
	for n, end := 0, time.Now().Add(5*time.Second); sendToAll(1, fmt.Sprint(name, "-", n), routers...)["served"] != len(routers); n++ {
		if time.Now().After(end) {
			f.t.Fatalf("%s: not all routers serve a request within 5 s", name)
		}
	}
}

// startClassRouter starts a router that uses the documents map, routing and classes of the group.
func (f *documentFleet) startClassRouter(name string, members []string, env ...string) *process {
	f.t.Helper()
	return startServingWithEnv(f.t, env, "route", "--config", writeServerConfig(f.t, name, ""), "--edge", writeFile(f.t, name+"-edge.json", fmt.Sprintf(
		`{"status":true,"fleet":{"state":%q,"probe_ms":100},%s}`, filepath.Join(f.t.TempDir(), name+".db"), f.rulesSection(members, "map", "routing", "classes"))))
}

// harness.Overlap detects two versions that are active at one time. The clock of a router that is cut off
// runs at a hundredth of its rate, so that the router uses its version long after its lease has expired.
func TestOverlapIsFound(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	f.put("classes", writeClassesWithExtra(t, 0))
	addrs, links := f.memberLinks()
	slow := f.startClassRouter("slow", addrs, "SILVERPATH_CLOCK=0.01")
	for _, link := range links {
		link.Cut(true)
	}
	f.expect(0, "proposed", "put", "classes", writeClassesWithExtra(t, 1))
	f.awaitActive("classes", 2, 5*time.Second)
	time.Sleep(testLease)
	var all []harness.ActivePeriod
	for name, p := range f.processes(map[string]*process{"slow": slow}) {
		all = append(all, harness.ActivePeriodsOf(name, p, "classes")...)
	}
	if d, what := harness.Overlap(all); d < testLease/4 {
		t.Errorf("overlap of %v, want at least a quarter of the lease: %s", d, what)
	}
}

// The group's leader is killed during each of three changes. Then the whole group is down for longer than a
// lease, during a fourth change: the routers serve no new requests, but retries get their results. When the
// group is back, the proposed version becomes active.
func TestGroupGoesInAChange(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	f.put("classes", writeClassesWithExtra(t, 0))
	one, two := f.startClassRouter("r1", nil), f.startClassRouter("r2", nil)
	version := 1
	for n := range 3 {
		version++
		f.expect(0, "proposed", "put", "classes", writeClassesWithExtra(t, n%2+1))
		leader := f.g.awaitLeader()
		time.Sleep(time.Duration(n) * 60 * time.Millisecond)
		f.g.Members[leader].Kill()
		f.awaitActive("classes", version, 10*time.Second)
		f.g.start(leader)
	}
	f.awaitServed("turned", one, two)
	if got := sendToAll(5, "before", one, two); got["served"] != 10 {
		t.Errorf("outcomes before the group's outage: %v, want 10 served", got)
	}
	version++
	f.expect(0, "proposed", "put", "classes", writeClassesWithExtra(t, 4))
	for _, m := range f.g.Members {
		m.Kill()
	}
	time.Sleep(2 * testLease)
	if got := sendToAll(5, "away", one, two); got["served"] != 0 {
		t.Errorf("new requests during the group's outage: %v, want none served", got)
	}
	if got := sendToAll(5, "before", one, two); got["served"] != 10 {
		t.Errorf("retries during the group's outage: %v, want 10 served", got)
	}
	for i := range f.g.Members {
		f.g.start(i)
	}
	f.awaitActive("classes", version, 15*time.Second)
	f.awaitServed("back", one, two)
	if n := countRunTwice(f.runsByBody()); n != 0 {
		t.Errorf("%d requests ran twice", n)
	}
	checkNoOverlap(t, "classes", version, f.processes(map[string]*process{"r1": one, "r2": two}))
}

// A withdrawal races with the activation of its version. Whichever is first, all processes use the same
// version afterwards. Then two operators make 100 changes as fast as possible.
func TestCrossing(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	f.put("classes", writeClassesWithExtra(t, 0))
	one := f.startClassRouter("r1", nil)
	activated, withdrawn := 0, 0
	// The delay grows after each withdrawal that was first, and shrinks after each activation that was first.
	// It converges on the time that a change takes on this machine.
	delay := 150 * time.Millisecond
	for n := 0; n < 40 && (n < 12 || activated < 2 || withdrawn < 2); n++ {
		f.expect(0, "proposed", "put", "classes", writeClassesWithExtra(t, n+1))
		time.Sleep(delay)
		f.runRules("withdraw", "classes", "--why", "crossing")
		for { // until no change is pending
			active, stage, _ := f.documentState("classes")
			if stage == "" {
				r, err := f.g.Client.Config(f.g.within(5 * time.Second))
				if err != nil {
					t.Fatal(err)
				}
				d := r.Store.Documents["classes"]
				if last := d.History[len(d.History)-1]; strings.HasPrefix(last.Outcome, "withdrawn") {
					withdrawn++
					delay = delay * 3 / 2
				} else {
					activated++
					delay = delay * 2 / 3
				}
				for name, p := range f.processes(map[string]*process{"r1": one}) {
					if _, err := p.Await(3*time.Second, 0, fmt.Sprintf("config: active: classes %d.", active)); err != nil {
						t.Fatal(name, err)
					}
				}
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	if activated == 0 || withdrawn == 0 {
		t.Errorf("%d versions were withdrawn and %d activated, want some of both", withdrawn, activated)
	}
	checkNoOverlap(t, "classes", 2, f.processes(map[string]*process{"r1": one}))
	start := time.Now()
	var wg sync.WaitGroup
	for i := range 2 { // two operators
		wg.Go(func() {
			for n := 0; n < 50; {
				file := writeFile(t, "routing.json", fmt.Sprintf(`{"retries":0.%d%d,"probe_ms":100}`, i+1, n+10))
				if code, _, message := f.runRules("put", "routing", file, "--wait"); code == 0 {
					n++
				} else if !strings.Contains(message, "under way") && !strings.Contains(message, "another version") {
					t.Error(message)
					return
				}
			}
		})
	}
	wg.Wait()
	took := time.Since(start)
	active, _, _ := f.documentState("routing")
	if _, err := one.Await(3*time.Second, 0, fmt.Sprintf("config: active: routing %d.", active)); err != nil || active != 100 || took > time.Minute {
		t.Errorf("%d changes in %v, want 100 within a minute: %v", active, took, err)
	}
}

// A change that lowers the goodput of all processes is reverted automatically, and the same document is
// rejected when it is put again at once. If the change is forced as a canary for half of the processes, it is
// withdrawn there. A process of an older build, which cannot read a document's format, holds up the change
// until it ends.
func TestTakenBack(t *testing.T) {
	t.Parallel()
	f := &documentFleet{g: newGroup(t, 3)}
	const limits = `"pools":[{"name":"sheets","classes":["oddaja"],"weight":1,"floor":0.1}],"limit":{"fixed":%d}`
	f.testFleet = newFleetWithEdge(t, keyWindow, fmt.Sprintf(`{"cell":true,`+limits+`,%s}`, 8, f.rulesSection(nil, "classes", "pools")))
	f.Map.Tenants = append(f.Map.Tenants, cells.Tenant{Homes: []cells.Home{{Cell: "b"}}})
	f.put("map", f.writeMap(f.Map))
	f.put("classes", writeClassesWithExtra(t, 1))
	f.put("routing", writeFile(t, "routing.json", `{"probe_ms":100}`))
	f.put("pools", writeFile(t, "pools.json", fmt.Sprintf("{"+limits+"}", 8)))
	one, two := f.startClassRouter("r1", nil), f.startClassRouter("r2", nil)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, r := range []*process{one, two, one, two, one, two, one, two, one, two, one, two, one, two, one, two} {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					key := fmt.Sprint("load", i, "-", n)
					_, _ = client.Do(client.MessagePack, r.addr, client.Request{Class: "oddaja", Tenant: []string{"brand", "other"}[i/2%2], Key: key, Body: []byte(key), Timeout: 800 * time.Millisecond})
				}
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	bad := writeFile(t, "bad.json", fmt.Sprintf("{"+limits+"}", 1))
	start := time.Now()
	f.put("pools", bad, "--watch", "2s")
	f.awaitActive("pools", 3, 8*time.Second)
	t.Logf("reverted after %v", time.Since(start))
	f.expect(1, "it was taken back before", "put", "pools", bad)
	f.expect(0, "taken back: ", "history", "pools")
	f.expect(0, "", "put", "pools", bad, "--again", "--watch", "4s", "--part", "0.5")
	if _, stage, _ := f.documentState("pools"); stage != configstore.StageProposed && stage != configstore.StageCanary {
		t.Errorf("canary: stage %q, want proposed or canary", stage)
	}
	for end := time.Now().Add(8 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if active, stage, waits := f.documentState("pools"); stage == "" {
			if active != 3 {
				t.Errorf("after the canary: version %d is active, want 3", active)
			}
			break
		} else if time.Now().After(end) {
			t.Fatalf("the canary is not withdrawn within 8 s: stage %q, %s", stage, waits)
		}
	}
	f.expect(0, "worth was served where it was tried", "history", "pools")
	close(stop)
	wg.Wait()
	older := f.startClassRouter("older", nil)
	newer := f.startClassRouter("newer", nil, "SILVERPATH_FORMAT=2")
	format := writeFile(t, "format.json", `{"format":2,"probe_ms":100,"retries":0.3}`)
	f.expect(0, "proposed", "put", "routing", format)
	time.Sleep(2 * testLease)
	if active, stage, waits := f.documentState("routing"); active != 1 || stage != configstore.StageProposed || !strings.Contains(waits, "reads format 1, and this is 2") {
		t.Errorf("document of a newer format: version %d is active, stage %q, %s; want 1 and proposed", active, stage, waits)
	}
	// The change waits for these processes until they end, as they cannot read the format.
	for _, p := range []*process{older, one, two} {
		p.Kill()
	}
	f.awaitActive("routing", 2, 10*time.Second)
	if _, err := newer.Await(3*time.Second, 0, "config: active: routing 2."); err != nil {
		t.Error(err)
	}
}

// readFile returns the content of a file.
func readFile(t testing.TB, path string) string {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// A router whose wall clock differs from the group's by less than the allowed skew serves requests. Beyond
// the skew, the router logs the difference and sends no requests with a key. A tenant moves while its rate
// changes and a router joins, and no request runs twice.
func TestClocksApart(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, 500*time.Millisecond)
	inSkew, outOfSkew := f.startRouter("near", nil, "SILVERPATH_WALL=60ms"), f.startRouter("far", nil, "SILVERPATH_WALL=250ms")
	if _, err := outOfSkew.Await(3*time.Second, 0, "config: nothing that is exclusive begins: clock"); err != nil {
		t.Error(err)
	}
	if got := sendToAll(10, "clocks", inSkew); got["served"] != 10 {
		t.Errorf("outcomes within the skew: %v, want 10 served", got)
	}
	if got := sendToAll(10, "apart", outOfSkew); got["served"] != 0 {
		t.Errorf("outcomes beyond the skew: %v, want none served", got)
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	routers := []*process{inSkew}
	for i := range 3 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				mu.Lock()
				all := append([]*process(nil), routers...)
				mu.Unlock()
				sendToAll(1, fmt.Sprint("move", i, "-", n), all...)
			}
		})
	}
	file := f.writeMap(f.Map)
	if code, out, message := runCommand(t, "", "cells", "--map", file, "move", "--tenant", "brand", "--to", "b"); code != 0 {
		t.Fatal(out, message)
	}
	f.put("map", file)
	joined := f.startRouter("joins", nil)
	mu.Lock()
	routers = append(routers, joined)
	mu.Unlock()
	var m *cells.Map
	src, err := proxy.OpenFileSource(file, "")
	if err == nil {
		m, _, err = src.Load(nil)
	}
	if err != nil {
		t.Fatal(err)
	}
	m.Version, m.Tenants[0].Rate = m.Version+1, 20
	f.put("map", f.writeMap(m))
	time.Sleep(4500 * time.Millisecond)
	close(stop)
	wg.Wait()
	if got := sendToAll(10, "moved", inSkew, joined); got["served"] != 20 || countRunTwice(f.runsByBody()) != 0 {
		t.Errorf("outcomes after the move: %v, %d ran twice; want 20 served, 0 twice", got, countRunTwice(f.runsByBody()))
	}
	if f.interpreters["s3"].Runs()["moved-1"]+f.interpreters["s4"].Runs()["moved-1"] != 1 {
		t.Error("the moved tenant's request did not run in its new cell")
	}
	tenants, _ := json.Marshal(m.Tenants)
	if !strings.Contains(f.expect(0, "", "get", "map"), `"rate": 20`) {
		t.Errorf("the stored map lacks the new rate of %s", tenants)
	}
}

// A router that is cut off, suspended, or killed and restarted keeps its granted quota of a cell for at most
// a lease. The quotas of all routers never sum to more than the usable capacity. With a router clock that
// runs at a hundredth of its rate they do, and the test detects it.
func TestPartsOfACell(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name  string
		clock string
	}{{"correct clock", "SILVERPATH_CLOCK=1"}, {"slow clock", "SILVERPATH_CLOCK=0.01"}} {
		t.Run(c.name, func(t *testing.T) {
			f := newDocumentFleet(t, keyWindow)
			addrs, links := f.memberLinks()
			rulesSection := func(members []string) string {
				return strings.Replace(f.rulesSection(members, "map"), `"rules":{`, `"rules":{"most_routers":4,`, 1)
			}
			route := func(name string, members []string, env ...string) *process {
				return startServingWithEnv(t, env, "route", "--config", writeServerConfig(t, name, ""), "--edge", writeFile(t, name+"-edge.json", fmt.Sprintf(
					`{"status":true,"fleet":{"state":%q,"probe_ms":100},%s}`, filepath.Join(f.edgeFile+name+".db"), rulesSection(members))))
			}
			const capacity = 2 * 1000 * quota.UsableRatio // the two servers of cell a
			quotaOf := func(p *process) float64 {
				status, err := client.Status(client.MessagePack, p.addr)
				if err != nil {
					t.Fatal(err)
				}
				var s struct {
					Fleet struct{ Parts map[string]map[string]float64 }
				}
				if err := json.Unmarshal(status, &s); err != nil {
					t.Fatal(err)
				}
				return s.Fleet.Parts["a"]["brand"]
			}
			one := route("one", addrs, c.clock)
			two := route("two", nil)
			awaitQuota := func(p *process, minimum float64, within time.Duration) time.Duration {
				for start := time.Now(); ; time.Sleep(5 * time.Millisecond) {
					got := quotaOf(p)
					if sum := quotaOf(one) + got; sum > capacity*1.0001 && c.clock == "SILVERPATH_CLOCK=1" {
						// A grant may have moved between the two reads, so the quotas are read again in both
						// orders.
						if again := quotaOf(p); again+quotaOf(one) > capacity*1.0001 && quotaOf(p)+quotaOf(one) > capacity*1.0001 {
							t.Fatalf("the quotas sum to %.0f, above the capacity of %.0f", sum, capacity)
						}
					}
					if got >= minimum {
						return time.Since(start)
					}
					if time.Since(start) > within {
						t.Fatalf("a quota of %.0f after %v, want at least %.0f", got, within, minimum)
					}
				}
			}
			awaitQuota(two, capacity*0.35, 5*time.Second) // about half of the grants, and its reserve
			awaitQuota(one, capacity*0.35, 5*time.Second)
			for _, link := range links {
				link.Cut(true)
			}
			took := awaitQuota(two, capacity*0.8, 5*time.Second)
			sum := quotaOf(one) + quotaOf(two)
			if c.clock != "SILVERPATH_CLOCK=1" {
				if sum < capacity*1.1 {
					t.Errorf("with a slow clock the quotas sum to %.0f, want at least 110%% of the capacity of %.0f", sum, capacity)
				}
				return
			}
			if quotaOf(one) < capacity*0.02 || quotaOf(one) > capacity*0.03 {
				t.Errorf("router that was cut off for a lease has a quota of %.0f, want only its reserve", quotaOf(one))
			}
			t.Logf("the grant of the router that was cut off moved to the other one after %v", took)
			for _, link := range links {
				link.Cut(false)
			}
			awaitQuota(one, capacity*0.3, 5*time.Second)
			one.Freeze()
			for end := time.Now().Add(5 * time.Second); quotaOf(two) < capacity*0.8; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the grant of the suspended router did not move to the other one within 5 s")
				}
			}
			one.Resume()
			awaitQuota(one, capacity*0.3, 5*time.Second)
			one.Kill()
			one = route("one", addrs, c.clock)
			awaitQuota(one, capacity*0.3, 5*time.Second)
		})
	}
}
