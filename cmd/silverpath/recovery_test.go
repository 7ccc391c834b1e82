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

// alive has a service leave heartbeats, valid for so long, and keep its runs if it is to.
func (d *durable) alive(valid time.Duration, keeps bool) {
	parts := []string{fmt.Sprintf(`"life":{"file":%q,"valid_ms":%d}`, filepath.Join(filepath.Dir(d.dir), "life"), valid.Milliseconds())}
	if keeps {
		parts = append(parts, fmt.Sprintf(`"store":{"dir":%q,"size_mb":8}`, d.dir))
	}
	d.Args = []string{"--edge", write(d.t, "edge.json", "{"+strings.Join(parts, ",")+"}")}
}

// state is how far a process has come, and what it waits for.
func (d *durable) state() (state string, waits map[string]bool, steps []string) {
	var s struct {
		Recovery struct {
			State string
			Waits []struct{ For string }
			Steps []struct{ State string }
		}
	}
	text, err := client.Status(client.Platform, d.Addr)
	if err == nil {
		err = json.Unmarshal(text, &s)
	}
	if err != nil {
		d.t.Fatalf("%s: %v", text, err)
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

// full waits until the service is whole again, and returns how long that took by its own count, from its start.
func (d *durable) full(g *benchmarks.Generation) time.Duration {
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

// bare starts the service without waiting for a store.
func (d *durable) bare(env ...string) *benchmarks.Generation {
	d.t.Helper()
	d.Env = env
	g := d.Start()
	g.Ready(d.t)
	return g
}

// Without a store: the window of what may have run counts from the last heartbeat and not from the start, and where the machine
// was switched on since, from that at the latest. A first start, a disk from another machine, and a sign that is torn count from the start.
func TestWindowCountsFromTheLastHeartbeat(t *testing.T) {
	t.Parallel()
	d := newDurable(t)
	d.span = 500 * time.Millisecond // so that what may have run can come again for 3.55 s
	const whole = 3550 * time.Millisecond
	d.alive(400*time.Millisecond, false)
	on := "SILVERPATH_BOOT=one 1h m1"
	g := d.bare(on)
	if _, err := g.Await(5*time.Second, 0, "recovery: reads after "); err != nil {
		t.Fatal(err)
	}
	if state, waits, _ := d.state(); state != "reads" || !waits["window"] || len(waits) != 1 {
		t.Errorf("a first start: %s, waits for %v", state, waits)
	}
	if a := d.ask("early", "early"); a.Outcome != "failed" {
		t.Errorf("a sheet that may have run: %s", a.Outcome)
	}
	if a, err := client.Do(client.Platform, d.Addr, client.Request{Class: "krog", Body: []byte("x"), Timeout: time.Second}); err != nil || a.Outcome != "served" {
		t.Errorf("a read: %s, %v", a.Outcome, err)
	}
	if took := d.full(g); took < whole*9/10 {
		t.Errorf("a first start was whole after %v", took)
	}
	d.serve("before", 3)
	if _, _, steps := d.state(); strings.Join(steps, " ") != "reads full" && strings.Join(steps, " ") != "reads sheets full" {
		t.Errorf("steps %v", steps)
	}
	g.Kill()
	time.Sleep(2 * time.Second)
	// The clock of the tests goes on from what the environment says.
	g = d.bare("SILVERPATH_BOOT=one 1h10s m1")
	if took := d.full(g); took > whole/2 {
		t.Errorf("dead for 10 s by the machine's clock, whole after %v", took)
	}
	g.Kill()
	g = d.bare("SILVERPATH_BOOT=two 2s m1")
	if took := d.full(g); took > whole*8/10 || took < (whole-2*time.Second)*8/10 {
		t.Errorf("switched on 2 s ago, whole after %v", took)
	}
	g.Kill()
	g = d.bare("SILVERPATH_BOOT=three 1h m2")
	if took := d.full(g); took < whole*9/10 {
		t.Errorf("a disk of another machine, whole after %v", took)
	}
}

// A request begins only while heartbeats last. The disk stops taking them, the window of the last one ends, and the process goes on;
// then it is killed: what it ran meanwhile is not run again. Where the rule is left out it is.
func TestNothingRunsWithoutADurableHeartbeat(t *testing.T) {
	t.Parallel()
	for _, unruled := range []bool{false, true} {
		t.Run(fmt.Sprint(unruled), func(t *testing.T) {
			t.Parallel()
			d := newDurable(t)
			d.span = 500 * time.Millisecond
			d.alive(400*time.Millisecond, false)
			var env []string
			if unruled {
				env = []string{"SILVERPATH_UNSIGNED=1"}
			}
			g := d.bare(env...)
			d.full(g)
			d.disk("sign input/output error")
			time.Sleep(4200 * time.Millisecond)
			a := d.ask("late", "late")
			if !unruled && (a.Outcome != "refused" || d.Runs()["late"] != 0) {
				t.Errorf("without signs that last: %s", a.Outcome)
			}
			g.Kill()
			d.disk("")
			d.bare()
			for end := time.Now().Add(6 * time.Second); d.ask("late", "late").Outcome != "served"; time.Sleep(50 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("nothing is served")
				}
			}
			if n := d.Runs()["late"]; unruled != (n > 1) {
				t.Errorf("it ran %d times", n)
			}
		})
	}
}

// Power is lost with everything on: what a store knows is answered at once, and new requests run at once, on a machine that was dark for
// no time that anybody knows.
func TestPowerComesBackToAStore(t *testing.T) {
	t.Parallel()
	d := newDurable(t)
	d.alive(time.Second, true)
	g := d.up("SILVERPATH_BOOT=one 1h m1")
	d.full(g)
	served := d.serve("before", 10)
	for i, on := range []string{"two 1s m1", "three 1s m1", "four 500h m2"} {
		g.Kill()
		g = d.up("SILVERPATH_BOOT=" + on)
		if w := d.again(served); len(w) > 0 {
			t.Error(on, w)
		}
		d.serve(fmt.Sprint("new-", i), 3)
		if took := d.full(g); took > 2*time.Second {
			t.Errorf("%s: %v from the start to all of it", on, took)
		}
	}
}

// awaitAlive waits until the latest that a router logged of a server is that it is alive.
func awaitAlive(t *testing.T, router *process, server string) {
	t.Helper()
	health := fmt.Sprintf("proxy: server %s is ", server)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		log := router.Log()
		if i := strings.LastIndex(log, health); i >= 0 && strings.HasPrefix(log[i+len(health):], "alive") {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s is not alive to a router within 5 s: %s", server, log)
		}
	}
}

// A fleet of servers that keep their runs and leave heartbeats is killed as a whole under load, and comes back in every order of
// its roles, with its cells one after the other: what was served is answered the same by whatever router, nothing runs twice, a
// cell whose servers are back serves though the other is dark, and the processes say how far they are.
func TestWholeFleetComesBack(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, sheetWindow, `{"cell":true}`)
	dirs := map[string]string{}
	for _, name := range f.names {
		f.servers[name].Kill()
		dirs[name] = t.TempDir()
		if err := idempotencystore.Init(filepath.Join(dirs[name], "keys"), name); err != nil {
			t.Fatal(err)
		}
	}
	addrs := map[string]string{}
	up := func(name string, boot int) {
		edge := write(t, "edge.json", fmt.Sprintf(`{"cell":true,"store":{"dir":%q,"size_mb":8},"life":{"file":%q,"valid_ms":1000}}`,
			filepath.Join(dirs[name], "keys"), filepath.Join(dirs[name], "life")))
		args := []string{"serve", "--config", f.files[name], "--edge", edge}
		if addrs[name] != "" {
			args = append(args, "--listen", addrs[name])
		}
		f.servers[name] = spawnIn(t, []string{fmt.Sprintf("SILVERPATH_BOOT=boot%d 1s m1", boot)}, args...)
		addrs[name] = f.servers[name].addr
	}
	entered := time.Now().Add(-time.Minute).UnixMilli()
	for i, name := range f.names {
		up(name, 0)
		f.Map.Servers[i].Addr, f.Map.Servers[i].JoinsAt = addrs[name], entered
	}
	f.Map.Tenants = append(f.Map.Tenants, cells.Tenant{Name: "other", Rate: 10, Homes: []cells.Home{{Cell: "b"}}})
	file := f.write(f.Map)
	routers := []*process{f.route("r1", file, ""), f.route("r2", file, "")}
	ask := func(tenant, key string) client.Reply {
		a, err := client.Do(client.Platform, routers[len(key)%2].addr, client.Request{Class: "oddaja", Tenant: tenant, Key: key, Body: []byte(key), Timeout: 800 * time.Millisecond})
		if err != nil {
			a.Outcome = "lost"
		}
		return a
	}
	served := func(tenant, key string, within time.Duration) {
		t.Helper()
		for n, end := 0, time.Now().Add(within); ; n++ {
			if ask(tenant, fmt.Sprint(key, n)).Outcome == "served" {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("no new sheet of %s is served within %v", tenant, within)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	served("brand", "first", 8*time.Second)
	served("other", "first-other", 8*time.Second)
	for n, order := range []string{"r a b", "a r b", "a b r", "b a r"} {
		results := map[string]string{}
		stop, over := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(over)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("sheet-%d-%d", n, i)
				if a := ask([]string{"brand", "other"}[i%2], key); a.Outcome == "served" {
					results[key] = string(a.Body)
				}
			}
		}()
		time.Sleep(300 * time.Millisecond)
		for _, p := range routers {
			_ = p.Signal(syscall.SIGKILL)
		}
		for _, name := range f.names {
			f.servers[name].Kill()
		}
		for _, p := range routers {
			p.Kill()
		}
		close(stop)
		<-over
		for _, role := range strings.Fields(order) {
			switch role {
			case "r":
				routers = []*process{f.route(fmt.Sprint("r1", n), file, ""), f.route(fmt.Sprint("r2", n), file, "")}
			case "a":
				up("s1", n+1)
				up("s2", n+1)
				if order == "r a b" {
					served("brand", fmt.Sprint("though b is dark ", n), 3*time.Second)
					if a := ask("other", fmt.Sprint("dark ", n)); a.Outcome == "served" {
						t.Error("a dark cell serves")
					}
				}
			case "b":
				up("s3", n+1)
				up("s4", n+1)
			}
		}
		served("brand", fmt.Sprint("after-", n, "-"), 3*time.Second)
		served("other", fmt.Sprint("after-other-", n, "-"), 3*time.Second)
		// One server of a cell serves what is new. What the other one ran is answered once its router has seen it return.
		for _, router := range routers {
			for _, name := range f.names {
				awaitAlive(t, router, name)
			}
		}
		if len(results) < 3 {
			t.Errorf("%s: only %d sheets before the dark", order, len(results))
		}
		for key, body := range results {
			tenant := "brand"
			if key[len(key)-1]%2 == 1 {
				tenant = "other"
			}
			if a := ask(tenant, key); a.Outcome != "served" || string(a.Body) != body {
				t.Errorf("%s: %s: %s %q, was %q", order, key, a.Outcome, a.Body, body)
			}
		}
	}
	if n := twice(f.ran()); n > 0 {
		t.Errorf("%d sheets ran twice", n)
	}
	var at []string
	for _, p := range append(routers, f.servers["s1"], f.servers["s4"]) {
		at = append(at, p.addr)
	}
	code, out, message := run(t, "", "fleet", "status", "--at", strings.Join(at, ",")+",127.0.0.1:1")
	if code != 0 || strings.Count(out, "  full  ") != 4 || strings.Count(out, "  away  ") != 1 {
		t.Errorf("fleet status: %d %s %s", code, out, message)
	}
}

// A server without a store and its router are both new: a retry of what ran before is not sent there before the router has heard
// when the server started. Its probes are lost on the way, as a request that overtakes them would find it.
func TestRouterAndServerAreNew(t *testing.T) {
	t.Parallel()
	f := newFleetWith(t, sheetWindow, `{"cell":true}`)
	way, err := faults.Listen(f.servers["s1"].addr, true, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(way.Close)
	f.Map.Cells, f.Map.Servers = f.Map.Cells[:1], f.Map.Servers[:1]
	f.Map.Servers[0].Addr, f.Map.Servers[0].JoinsAt = way.Addr(), time.Now().Add(-time.Minute).UnixMilli()
	file := f.write(f.Map)
	r := f.route("r1", file, "")
	for end := time.Now().Add(8 * time.Second); toAll(1, fmt.Sprint("first", time.Now().UnixNano()), r)["served"] == 0; {
		if time.Now().After(end) {
			t.Fatal("nothing is served")
		}
	}
	if got := toAll(4, "before", r); got["served"] != 4 {
		t.Fatalf("before: %v", got)
	}
	r.Kill()
	f.servers["s1"].Kill()
	way.Set(faults.There, faults.Fate{Of: "probe", Lost: true})
	f.servers["s1"] = spawn(t, "serve", "--config", f.files["s1"], "--edge", f.edge, "--listen", f.servers["s1"].addr)
	r = f.route("r2", file, "")
	if got := toAll(4, "before", r); got["failed"] != 4 {
		t.Errorf("by a router that has not heard of the server: %v", got)
	}
	if n := twice(f.ran()); n > 0 {
		t.Errorf("%d sheets ran twice", n)
	}
}

// What is left on disks says whose it is, of when and whether it can be trusted; what is torn says so, and the command fails.
func TestInspect(t *testing.T) {
	t.Parallel()
	g := newGroup(t, 3)
	g.Members[0].Kill()
	d := newDurable(t)
	d.alive(400*time.Millisecond, true)
	p := d.up()
	d.serve("one", 2)
	p.Kill()
	f := newFleet(t, sheetWindow)
	state := filepath.Join(t.TempDir(), "state.db")
	r := f.route("r1", f.write(f.Map), state)
	r.Kill()
	sign := filepath.Join(filepath.Dir(d.dir), "life")
	for path, want := range map[string][]string{
		g.Disk(0): {"member of a group of q0, trusted: trusted", "of the group ", "log up to entry "},
		d.dir:     {"runs of keyed requests of lab, trusted: trusted", "done: 2"},
		sign:      {"sign of life of lab, trusted: trusted", "nothing was begun for "},
		state:     {"map of a router, trusted: once confirmed", "map version 1, 4 servers"},
	} {
		code, out, message := run(t, "", "recover", "inspect", path)
		for _, w := range want {
			if code != 0 || !strings.Contains(out, w) {
				t.Errorf("%s: %d %s %s lacks %q", path, code, out, message, w)
			}
		}
	}
	text, err := os.ReadFile(sign)
	if err != nil {
		t.Fatal(err)
	}
	torn := write(t, "torn", string(text[:len(text)-9]))
	if code, out, _ := run(t, "", "recover", "inspect", torn); code != 1 || !strings.Contains(out, "trusted: never") || !strings.Contains(out, "wrong: ") {
		t.Errorf("a torn sign: %d %s", code, out)
	}
	if code, out, _ := run(t, "", "recover", "inspect", write(t, "text", "something else")); code != 1 || !strings.Contains(out, "nothing that this program writes") {
		t.Errorf("another file: %d %s", code, out)
	}
}

// The disk is full as a service starts: it serves reads and answers retries of what it kept; requests begin once the disk is well.
func TestDiskIsFullAtTheStart(t *testing.T) {
	t.Parallel()
	d := newDurable(t)
	d.alive(400*time.Millisecond, true)
	g := d.up()
	d.full(g)
	served := d.serve("before", 3)
	g.Leave(t)
	d.disk("* no space left on device")
	g = d.bare()
	if a, err := client.Do(client.Platform, d.Addr, client.Request{Class: "krog", Body: []byte("x"), Timeout: time.Second}); err != nil || a.Outcome != "served" {
		t.Errorf("a read: %s, %v", a.Outcome, err)
	}
	for end := time.Now().Add(5 * time.Second); len(d.again(served)) > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("repeats are not answered")
		}
	}
	if a := d.ask("new", "new"); a.Outcome == "served" || d.Runs()["new"] > 0 {
		t.Errorf("a new sheet: %s", a.Outcome)
	}
	d.disk("")
	d.full(g)
	d.serve("after", 3)
	g.Kill()
	d.up()
	if w := d.again(served); len(w) > 0 {
		t.Error(w)
	}
}
