package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/storage/idempotencystore"
	"silverpath/internal/testkit/benchmarks"
	"silverpath/internal/testkit/standin/faults"
	"silverpath/internal/transport/client"
)

// configureHeartbeat configures heartbeats that are valid for the given time, and optionally a store.
func (d *durableService) configureHeartbeat(valid time.Duration, withStore bool) {
	parts := []string{fmt.Sprintf(`"life":{"file":%q,"valid_ms":%d}`, filepath.Join(filepath.Dir(d.dir), "life"), valid.Milliseconds())}
	if withStore {
		parts = append(parts, fmt.Sprintf(`"store":{"dir":%q,"size_mb":8}`, d.dir))
	}
	d.Args = []string{"--edge", writeFile(d.t, "edge.json", "{"+strings.Join(parts, ",")+"}")}
}

// recoveryState returns the recovery state of the process, the conditions that it waits for, and the states
// that it has passed through.
func (d *durableService) recoveryState() (state string, waits map[string]bool, steps []string) {
	var s struct {
		Recovery struct {
			State string
			Waits []struct{ For string }
			Steps []struct{ State string }
		}
	}
	text, err := client.Status(client.MessagePack, d.Addr)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err != nil {
		d.t.Fatalf("failed to read the status %q: %v", text, err)
	}
	waits = map[string]bool{}
	for _, w := range s.Recovery.Waits {
		waits[w.For] = true
	}
	for _, st := range s.Recovery.Steps {
		steps = append(steps, st.State)
	}
	return s.Recovery.State, waits, steps
}

// awaitRecovered waits until the recovery is complete, and returns its duration from the start of the
// process, as the process logs it.
func (d *durableService) awaitRecovered(g *benchmarks.Generation) time.Duration {
	d.t.Helper()
	text, err := g.TextAfter(20*time.Second, "recovery: full after ")
	if err != nil {
		d.t.Fatal(err)
	}
	took, err := time.ParseDuration(strings.TrimSuffix(text, ":"))
	if err != nil {
		d.t.Fatal(err)
	}
	return took
}

// startBeforeLoad starts the service and waits until it is ready, but not until its store is loaded.
func (d *durableService) startBeforeLoad(env ...string) *benchmarks.Generation {
	d.t.Helper()
	d.Env = env
	g := d.Start()
	g.AwaitReady(d.t)
	return g
}

// Without a store, the window in which requests may have run before counts from the last heartbeat and not
// from the start of the process, and at the latest from the boot of the machine. After a first start, with a
// disk of another machine and with a torn heartbeat file it counts from the start of the process.
func TestWindowCountsFromTheLastHeartbeat(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.span = 500 * time.Millisecond // gives a window of 3.55 s
	const window = 3550 * time.Millisecond
	d.configureHeartbeat(400*time.Millisecond, false)
	boot := "SILVERPATH_BOOT=one 1h m1"
	g := d.startBeforeLoad(boot)
	if _, err := g.Await(5*time.Second, 0, "recovery: reads after "); err != nil {
		t.Fatal(err)
	}
	if state, waits, _ := d.recoveryState(); state != "reads" || !waits["window"] || len(waits) != 1 {
		t.Errorf("first start: state %s, waits for %v; want state reads and only the window", state, waits)
	}
	if a := d.sendAttempt("early", "early"); a.Outcome != "failed" {
		t.Errorf("request that may have run before the start: got %s, want failed", a.Outcome)
	}
	if a, err := client.Do(client.MessagePack, d.Addr, client.Request{Class: "krog", Body: []byte("x"), Timeout: time.Second}); err != nil || a.Outcome != "served" {
		t.Errorf("read during recovery: got %s, %v", a.Outcome, err)
	}
	if took := d.awaitRecovered(g); took < window*9/10 {
		t.Errorf("first start: recovered after %v, want at least 90%% of the window", took)
	}
	d.serveNew("before", 3)
	if _, _, steps := d.recoveryState(); strings.Join(steps, " ") != "reads full" && strings.Join(steps, " ") != "reads sheets full" {
		t.Errorf("recovery states: %v", steps)
	}
	g.Kill()
	time.Sleep(2 * time.Second)
	// The test clock continues from the uptime in the environment.
	g = d.startBeforeLoad("SILVERPATH_BOOT=one 1h10s m1")
	if took := d.awaitRecovered(g); took > window/2 {
		t.Errorf("down for 10 s by the machine's clock: recovered after %v, want at most half the window", took)
	}
	g.Kill()
	g = d.startBeforeLoad("SILVERPATH_BOOT=two 2s m1")
	if took := d.awaitRecovered(g); took > window*8/10 || took < (window-2*time.Second)*8/10 {
		t.Errorf("booted 2 s ago: recovered after %v, want 80%% of the window less up to 2 s", took)
	}
	g.Kill()
	g = d.startBeforeLoad("SILVERPATH_BOOT=three 1h m2")
	if took := d.awaitRecovered(g); took < window*9/10 {
		t.Errorf("disk of another machine: recovered after %v, want at least 90%% of the window", took)
	}
}

// Requests are accepted only while the last durable heartbeat is valid. The disk stops storing heartbeats,
// the last one expires, and later the process is killed and restarted. A request that was sent after the
// expiry runs once. With the check disabled it runs twice.
func TestNothingRunsWithoutADurableHeartbeat(t *testing.T) {
	t.Parallel()
	for _, unchecked := range []bool{false, true} {
		t.Run(fmt.Sprint(unchecked), func(t *testing.T) {
			t.Parallel()
			d := newDurableService(t)
			d.span = 500 * time.Millisecond
			d.configureHeartbeat(400*time.Millisecond, false)
			var env []string
			if unchecked {
				env = []string{"SILVERPATH_UNSIGNED=1"}
			}
			g := d.startBeforeLoad(env...)
			d.awaitRecovered(g)
			d.setDiskFault("sign input/output error")
			time.Sleep(4200 * time.Millisecond)
			a := d.sendAttempt("late", "late")
			if !unchecked && (a.Outcome != "refused" || d.Runs()["late"] != 0) {
				t.Errorf("request without a durable heartbeat: got %s, want refused and no run", a.Outcome)
			}
			g.Kill()
			d.setDiskFault("")
			d.startBeforeLoad()
			for end := time.Now().Add(6 * time.Second); d.sendAttempt("late", "late").Outcome != "served"; time.Sleep(50 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the request is not served within 6 s of the restart")
				}
			}
			if n := d.Runs()["late"]; unchecked != (n > 1) {
				t.Errorf("the request ran %d times", n)
			}
		})
	}
}

// A server with a store restarts after a power loss of unknown length. It answers retries from the store and
// runs new requests at once.
func TestPowerComesBackToAStore(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.configureHeartbeat(time.Second, true)
	g := d.startLoaded("SILVERPATH_BOOT=one 1h m1")
	d.awaitRecovered(g)
	served := d.serveNew("before", 10)
	for i, boot := range []string{"two 1s m1", "three 1s m1", "four 500h m2"} {
		g.Kill()
		g = d.startLoaded("SILVERPATH_BOOT=" + boot)
		if w := d.checkRetries(served); len(w) > 0 {
			t.Error(boot, w)
		}
		d.serveNew(fmt.Sprint("new-", i), 3)
		if took := d.awaitRecovered(g); took > 2*time.Second {
			t.Errorf("boot %q: recovered after %v, want at most 2 s", boot, took)
		}
	}
}

// awaitAlive waits until the last health that a router logged for a server is alive.
func awaitAlive(t *testing.T, router *process, server string) {
	t.Helper()
	health := fmt.Sprintf("proxy: server %s is ", server)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		log := router.Log()
		if i := strings.LastIndex(log, health); i >= 0 && strings.HasPrefix(log[i+len(health):], "alive") {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("router did not log server %s as alive within 5 s:\n%s", server, log)
		}
	}
}

// A whole fleet, whose servers have stores and heartbeats, is killed under load and restarted in several
// orders of its routers and cells. Every router returns the same results as before, and no request runs
// twice. A cell whose servers are back serves requests while the other cell is down. The fleet status command
// shows the recovery state of each process.
func TestWholeFleetComesBack(t *testing.T) {
	t.Parallel()
	f := newFleetWithEdge(t, keyWindow, `{"cell":true}`)
	dirs := map[string]string{}
	for _, name := range f.serverNames {
		f.servers[name].Kill()
		dirs[name] = t.TempDir()
		if err := idempotencystore.Init(filepath.Join(dirs[name], "keys"), name); err != nil {
			t.Fatal(err)
		}
	}
	addrs := map[string]string{}
	up := func(name string, boot int) {
		edge := writeFile(t, "edge.json", fmt.Sprintf(`{"cell":true,"store":{"dir":%q,"size_mb":8},"life":{"file":%q,"valid_ms":1000}}`,
			filepath.Join(dirs[name], "keys"), filepath.Join(dirs[name], "life")))
		args := []string{"serve", "--config", f.configFiles[name], "--edge", edge}
		if addrs[name] != "" {
			args = append(args, "--listen", addrs[name])
		}
		f.servers[name] = startServingWithEnv(t, []string{fmt.Sprintf("SILVERPATH_BOOT=boot%d 1s m1", boot)}, args...)
		addrs[name] = f.servers[name].addr
	}
	joinedAt := time.Now().Add(-time.Minute).UnixMilli()
	for i, name := range f.serverNames {
		up(name, 0)
		f.Map.Servers[i].Addr, f.Map.Servers[i].JoinsAt = addrs[name], joinedAt
	}
	f.Map.Tenants = append(f.Map.Tenants, cells.Tenant{Name: "other", Rate: 10, Homes: []cells.Home{{Cell: "b"}}})
	file := f.writeMap(f.Map)
	routers := []*process{f.startRouter("r1", file, ""), f.startRouter("r2", file, "")}
	ask := func(tenant, key string) client.Reply {
		a, err := client.Do(client.MessagePack, routers[len(key)%2].addr, client.Request{Class: "oddaja", Tenant: tenant, Key: key, Body: []byte(key), Timeout: 800 * time.Millisecond})
		if err != nil {
			a.Outcome = "lost"
		}
		return a
	}
	awaitServed := func(tenant, key string, within time.Duration) {
		t.Helper()
		for n, end := 0, time.Now().Add(within); ; n++ {
			if ask(tenant, fmt.Sprint(key, n)).Outcome == "served" {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("no new request of tenant %s is served within %v", tenant, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	awaitServed("brand", "first", 8*time.Second)
	awaitServed("other", "first-other", 8*time.Second)
	for n, order := range []string{"r a b", "a r b", "a b r", "b a r"} {
		results, servedAt := map[string]string{}, map[string]time.Time{}
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(done)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("sheet-%d-%d", n, i)
				if a := ask([]string{"brand", "other"}[i%2], key); a.Outcome == "served" {
					results[key], servedAt[key] = string(a.Body), time.Now()
				}
			}
		}()
		time.Sleep(300 * time.Millisecond)
		for _, p := range routers {
			_ = p.Signal(syscall.SIGKILL)
		}
		for _, name := range f.serverNames {
			f.servers[name].Kill()
		}
		for _, p := range routers {
			p.Kill()
		}
		close(stop)
		<-done
		for _, role := range strings.Fields(order) {
			switch role {
			case "r":
				routers = []*process{f.startRouter(fmt.Sprint("r1", n), file, ""), f.startRouter(fmt.Sprint("r2", n), file, "")}
			case "a":
				up("s1", n+1)
				up("s2", n+1)
				if order == "r a b" {
					awaitServed("brand", fmt.Sprint("though b is dark ", n), 3*time.Second)
					if a := ask("other", fmt.Sprint("dark ", n)); a.Outcome == "served" {
						t.Error("a request of a cell that is down was served")
					}
				}
			case "b":
				up("s3", n+1)
				up("s4", n+1)
			}
		}
		awaitServed("brand", fmt.Sprint("after-", n, "-"), 3*time.Second)
		awaitServed("other", fmt.Sprint("after-other-", n, "-"), 3*time.Second)
		// One server of a cell is enough for new requests. The other one's results are available once its
		// router has found it alive.
		for _, router := range routers {
			for _, name := range f.serverNames {
				awaitAlive(t, router, name)
			}
		}
		if len(results) < 3 {
			t.Errorf("order %q: %d requests were served before the kill, want at least 3", order, len(results))
		}
		for key, body := range results {
			tenant := "brand"
			if key[len(key)-1]%2 == 1 {
				tenant = "other"
			}
			if a := ask(tenant, key); a.Outcome != "served" || string(a.Body) != body {
				t.Errorf("order %q: retry of %s after %v: got %s %q, want served %q", order, key, time.Since(servedAt[key]), a.Outcome, a.Body, body)
			}
		}
	}
	if n := countRunTwice(f.runsByBody()); n > 0 {
		t.Errorf("%d requests ran twice", n)
	}
	var targets []string
	for _, p := range append(routers, f.servers["s1"], f.servers["s4"]) {
		targets = append(targets, p.addr)
	}
	code, out, message := runCommand(t, "", "fleet", "status", "--at", strings.Join(targets, ",")+",127.0.0.1:1")
	if code != 0 || strings.Count(out, "  full  ") != 4 || strings.Count(out, "  away  ") != 1 {
		t.Errorf("fleet status: exit code %d, %s%s; want 4 full and 1 away", code, out, message)
	}
}

// A server without a store and its router are both restarted. The router sends the server no retry of an
// earlier request before it has learned when the server started. The test drops the probes, so that a request
// always arrives before the first probe.
func TestRouterAndServerAreNew(t *testing.T) {
	t.Parallel()
	f := newFleetWithEdge(t, keyWindow, `{"cell":true}`)
	link, err := faults.Listen(f.servers["s1"].addr, true, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(link.Close)
	f.Map.Cells, f.Map.Servers = f.Map.Cells[:1], f.Map.Servers[:1]
	f.Map.Servers[0].Addr, f.Map.Servers[0].JoinsAt = link.Addr(), time.Now().Add(-time.Minute).UnixMilli()
	file := f.writeMap(f.Map)
	r := f.startRouter("r1", file, "")
	for end := time.Now().Add(8 * time.Second); sendToAll(1, fmt.Sprint("first", time.Now().UnixNano()), r)["served"] == 0; {
		if time.Now().After(end) {
			t.Fatal("no request is served within 8 s")
		}
	}
	if got := sendToAll(4, "before", r); got["served"] != 4 {
		t.Fatalf("outcomes before the restart: %v, want 4 served", got)
	}
	r.Kill()
	f.servers["s1"].Kill()
	link.SetFault(faults.ToListener, faults.Fault{Match: "probe", Drop: true})
	f.servers["s1"] = startServing(t, "serve", "--config", f.configFiles["s1"], "--edge", f.edgeFile, "--listen", f.servers["s1"].addr)
	r = f.startRouter("r2", file, "")
	if got := sendToAll(4, "before", r); got["failed"] != 4 {
		t.Errorf("retries before the router knows the server's start: %v, want 4 failed", got)
	}
	if n := countRunTwice(f.runsByBody()); n > 0 {
		t.Errorf("%d requests ran twice", n)
	}
}

// The recover inspect command reports the owner, content and trust of each kind of file. It fails on a torn
// file and on one of unknown format.
func TestInspect(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.Members[0].Kill()
	d := newDurableService(t)
	d.configureHeartbeat(400*time.Millisecond, true)
	p := d.startLoaded()
	d.serveNew("one", 2)
	p.Kill()
	f := newFleet(t, keyWindow)
	state := filepath.Join(t.TempDir(), "state.db")
	r := f.startRouter("r1", f.writeMap(f.Map), state)
	r.Kill()
	heartbeatFile := filepath.Join(filepath.Dir(d.dir), "life")
	for path, want := range map[string][]string{
		g.DataDir(0):  {"member of a group of q0, trusted: trusted", "of the group ", "log up to entry "},
		d.dir:         {"runs of keyed requests of lab, trusted: trusted", "done: 2"},
		heartbeatFile: {"sign of life of lab, trusted: trusted", "nothing was begun for "},
		state:         {"map of a router, trusted: once confirmed", "map version 1, 4 servers"},
	} {
		code, out, message := runCommand(t, "", "recover", "inspect", path)
		for _, w := range want {
			if code != 0 || !strings.Contains(out, w) {
				t.Errorf("recover inspect %s: exit code %d, %s%s; want 0 and %q", path, code, out, message, w)
			}
		}
	}
	text, err := os.ReadFile(heartbeatFile)
	if err != nil {
		t.Fatal(err)
	}
	torn := writeFile(t, "torn", string(text[:len(text)-9]))
	if code, out, _ := runCommand(t, "", "recover", "inspect", torn); code != 1 || !strings.Contains(out, "trusted: never") || !strings.Contains(out, "wrong: ") {
		t.Errorf("recover inspect of a torn heartbeat: exit code %d, %s", code, out)
	}
	if code, out, _ := runCommand(t, "", "recover", "inspect", writeFile(t, "text", "something else")); code != 1 || !strings.Contains(out, "nothing that this program writes") {
		t.Errorf("recover inspect of a foreign file: exit code %d, %s", code, out)
	}
}

// A service starts with a full disk. It serves reads and answers retries from its store. It accepts new
// requests once the disk has space again.
func TestDiskIsFullAtTheStart(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.configureHeartbeat(400*time.Millisecond, true)
	g := d.startLoaded()
	d.awaitRecovered(g)
	served := d.serveNew("before", 3)
	g.Leave(t)
	d.setDiskFault("* no space left on device")
	g = d.startBeforeLoad()
	if a, err := client.Do(client.MessagePack, d.Addr, client.Request{Class: "krog", Body: []byte("x"), Timeout: time.Second}); err != nil || a.Outcome != "served" {
		t.Errorf("read with a full disk: got %s, %v", a.Outcome, err)
	}
	for end := time.Now().Add(5 * time.Second); len(d.checkRetries(served)) > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("retries are not answered within 5 s")
		}
	}
	if a := d.sendAttempt("new", "new"); a.Outcome == "served" || d.Runs()["new"] > 0 {
		t.Errorf("new request with a full disk: got %s, want not served and no run", a.Outcome)
	}
	d.setDiskFault("")
	d.awaitRecovered(g)
	d.serveNew("after", 3)
	g.Kill()
	d.startLoaded()
	if w := d.checkRetries(served); len(w) > 0 {
		t.Error(w)
	}
}
