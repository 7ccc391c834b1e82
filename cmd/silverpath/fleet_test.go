package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"silverpath/internal/builtinworker"
	"silverpath/internal/policy/cells"
	"silverpath/internal/proxy"
	"silverpath/internal/testkit/harness"
	"silverpath/internal/transport/client"
)

// process is a server or a router that a test started. Its addr is that of the MessagePack front.
type process struct {
	*harness.Process
	addr string
}

// programCommand returns a command that runs main of this test binary, with additional environment variables.
func programCommand(t testing.TB, args []string, env ...string) *exec.Cmd {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(exe, args...)
	cmd.Env = append(append(os.Environ(), "SILVERPATH_RUN=1", "LB_CONFIG="), env...)
	return cmd
}

// startProgram starts the program without waiting until it serves, and kills it when the test ends.
func startProgram(t testing.TB, args []string, env ...string) *harness.Process {
	t.Helper()
	p, err := harness.Start(programCommand(t, args, env...))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

// startServing starts the program and waits until it serves.
func startServing(t testing.TB, args ...string) *process {
	t.Helper()
	return startServingWithEnv(t, nil, args...)
}

// startServingWithEnv is startServing with additional environment variables.
func startServingWithEnv(t testing.TB, env []string, args ...string) *process {
	t.Helper()
	p := &process{Process: startProgram(t, args, env...)}
	if _, err := p.Await(30*time.Second, 0, "phase serving"); err != nil {
		t.Fatalf("%v: %v", args, err)
	}
	var err error
	if p.addr, err = p.TextAfter(0, "msgpack: listening on "); err != nil {
		t.Fatal(err)
	}
	return p
}

// keyWindow is the key window of the class oddaja in the configuration of writeServerConfig.
const keyWindow = 2 * time.Second

// writeServerConfig writes a configuration with one keyed class, oddaja, and returns the path of its file.
func writeServerConfig(t testing.TB, name, vm string) string {
	t.Helper()
	text := fmt.Sprintf(`{"name":%q,"listen":"127.0.0.1:0","vm":%q,"stop_ms":1000,"limits":{"memory_mb":64,"sockets":256},
 "settings":{"classes":[{"name":"oddaja","target":900000,"deadline":1000000,"worth":3,"effect":"token","memory_span":%d}],
 "family_info":{"below":"none","callers":2,"cpus":8,"gauges":["core_use","on_cores","heap_share","links"],"key_kb":0.1,
 "memory_kb":65536,"run_factor":1},"rules":{"cold_from":1,"fall_multiple":8,"overload_for":3000000,"drain_grace":500000},
 "limits":{"retry_after":true,"max_retry_after":100000},"servers":1}}`, name, vm, keyWindow.Microseconds())
	path := filepath.Join(t.TempDir(), name+".json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// writeFile writes a text to a file of the given name in a new temporary directory and returns its path.
func writeFile(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// attemptRecord is one attempt of a keyed request in a history.
type attemptRecord struct{ key, outcome, body string }

// keyedRequests is the model of a history, by idempotency key: all served attempts have the result of one
// run, and no attempt is refused after the run. A failed attempt is valid in every state.
var keyedRequests = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			byKey[o.Output.(attemptRecord).key] = append(byKey[o.Output.(attemptRecord).key], o)
		}
		var partitions [][]porcupine.Operation
		for _, ops := range byKey {
			partitions = append(partitions, ops)
		}
		return partitions
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		o, ran := output.(attemptRecord), state.(string)
		switch o.outcome {
		case "served":
			return ran == "" || ran == o.body, o.body
		case "refused":
			return ran == "", ran
		}
		return true, ran
	},
}

func linearizable(history []porcupine.Operation) bool {
	return porcupine.CheckOperations(keyedRequests, history)
}

// The model rejects a keyed request that ran twice, and one that was refused after it ran.
func TestCheckerFindsBugs(t *testing.T) {
	op := func(client int, from, to int64, outcome, body string) porcupine.Operation {
		return porcupine.Operation{ClientId: client, Call: from, Return: to, Output: attemptRecord{"k", outcome, body}}
	}
	for name, c := range map[string]struct {
		linearizable bool
		history      []porcupine.Operation
	}{
		"served twice, one run": {true, []porcupine.Operation{op(0, 0, 1, "refused", ""), op(0, 2, 3, "served", "a"), op(1, 2, 5, "served", "a")}},
		"ran twice":             {false, []porcupine.Operation{op(0, 0, 1, "served", "a"), op(1, 2, 3, "served", "b")}},
		"refused after its run": {false, []porcupine.Operation{op(0, 0, 1, "served", "a"), op(1, 2, 3, "refused", "")}},
		"failed attempts":       {true, []porcupine.Operation{op(0, 0, 1, "failed", ""), op(1, 2, 3, "served", "a"), op(1, 4, 5, "failed", "")}},
	} {
		if got := linearizable(c.history); got != c.linearizable {
			t.Errorf("%s: linearizable: %v", name, got)
		}
	}
}

// testFleet is four servers in two cells, each with an interpreter of its own that counts its runs. Its map
// has one tenant, in cell a.
type testFleet struct {
	t            testing.TB
	serverNames  []string
	interpreters map[string]*builtinworker.Interpreter
	servers      map[string]*process
	configFiles  map[string]string
	edgeFile     string
	Map          *cells.Map
}

// newFleet starts the servers and their interpreters.
func newFleet(t testing.TB, window time.Duration, env ...string) *testFleet {
	t.Helper()
	return newFleetWithEdge(t, window, `{"cell":true}`, env...)
}

// newFleetWithEdge is newFleet with a given edge file for all servers.
func newFleetWithEdge(t testing.TB, window time.Duration, edge string, env ...string) *testFleet {
	t.Helper()
	f := &testFleet{
		t: t, serverNames: []string{"s1", "s2", "s3", "s4"}, interpreters: map[string]*builtinworker.Interpreter{}, servers: map[string]*process{},
		configFiles: map[string]string{}, edgeFile: writeFile(t, "cell.json", edge),
		Map: &cells.Map{
			Version: 1, KeyWindow: window, MaxClockSkew: 200 * time.Millisecond, Lease: 900 * time.Millisecond, CallerTimeout: time.Second,
			Cells:   []cells.Cell{{Name: "a", Capacity: 1000}, {Name: "b", Capacity: 1000}},
			Tenants: []cells.Tenant{{Name: "brand", Rate: 10, Homes: []cells.Home{{Cell: "a"}}}},
		},
	}
	for n, name := range f.serverNames {
		i, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Speed: 1}, Audit: true,
			DefaultClass: builtinworker.Class{MinWork: 2 * time.Millisecond, MaxWork: 60 * time.Millisecond}, RunFactor: 1, Seed: uint64(n + 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(i.Close)
		f.interpreters[name], f.configFiles[name] = i, writeServerConfig(t, name, i.Addr())
		f.servers[name] = startServingWithEnv(t, env, "serve", "--config", f.configFiles[name], "--edge", f.edgeFile)
	}
	joinsAt := time.Now().UnixMilli() + 1
	for n, name := range f.serverNames {
		f.Map.Servers = append(f.Map.Servers, cells.Server{Name: name, Addr: f.servers[name].addr, Cell: string('a' + rune(n/2)), Weight: 1, JoinsAt: joinsAt})
	}
	return f
}

// writeMap writes a map to a new file and returns its path.
func (f *testFleet) writeMap(m *cells.Map) string {
	f.t.Helper()
	path := filepath.Join(f.t.TempDir(), "cells.json")
	if err := proxy.WriteMap(path, m); err != nil {
		f.t.Fatal(err)
	}
	return path
}

// startRouter starts a router that reads the given map file. An empty state path gives it no state file.
func (f *testFleet) startRouter(name, mapFile, state string, env ...string) *process {
	f.t.Helper()
	return startServingWithEnv(f.t, env, "route", "--config", writeServerConfig(f.t, name, ""), "--edge", writeFile(f.t, "route.json", fmt.Sprintf(
		`{"status":true,"fleet":{"map":%q,"state":%q,"probe_ms":100}}`, mapFile, state)))
}

// runsByBody returns the number of runs of each request body, summed over all interpreters.
func (f *testFleet) runsByBody() map[string]int {
	runs := map[string]int{}
	for _, i := range f.interpreters {
		for body, n := range i.Runs() {
			runs[body] += n
		}
	}
	return runs
}

// A tenant moves under load, with repeated attempts of every keyed request through both routers. During the
// move a server of the old cell is killed and restarts without its keys under the same name and address, and
// a router is killed and restarted. Then the move is aborted. No request runs twice, all attempts of a
// request see one run, and no request is refused after its run.
func TestMoveUnderFire(t *testing.T) {
	f := newFleet(t, keyWindow)
	machines, servers, files, mapFile := f.interpreters, f.servers, f.configFiles, f.writeMap(f.Map)
	router := func(state string) *process { return f.startRouter("router", mapFile, state) }
	states := []string{filepath.Join(t.TempDir(), "r0.db"), filepath.Join(t.TempDir(), "r1.db")}
	var mu sync.Mutex
	routers := []*process{router(states[0]), router(states[1])}
	var history []porcupine.Operation
	outcomes := map[string]int{}
	began := time.Now()
	send := func(clientID int, key string, routerIndex int) {
		mu.Lock()
		addr := routers[routerIndex].addr
		mu.Unlock()
		calledAt := time.Since(began)
		a, err := client.Do(client.MessagePack, addr, client.Request{Class: "oddaja", Tenant: "brand", Key: key, Body: []byte(key), Timeout: 800 * time.Millisecond})
		if err != nil {
			a.Outcome = "failed" // the router was killed
		}
		mu.Lock()
		defer mu.Unlock()
		outcomes[a.Outcome]++
		history = append(history, porcupine.Operation{ClientId: clientID, Call: int64(calledAt), Return: int64(time.Since(began)),
			Output: attemptRecord{key, a.Outcome, string(a.Body)}})
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(client), 8))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				key := fmt.Sprintf("sheet-%d-%d", client, n)
				var attempts sync.WaitGroup
				for k := range 3 { // immediately, soon after, and late in the key window, each through a random router
					routerIndex, delay := rng.IntN(2), time.Duration(k*rng.IntN(600))*time.Millisecond
					attempts.Go(func() {
						time.Sleep(delay)
						send(client*10+k, key, routerIndex)
					})
				}
				attempts.Wait()
			}
		})
	}
	command := func(args ...string) {
		t.Helper()
		if code, out, message := runCommand(t, "", append([]string{"cells", "--map", mapFile}, args...)...); code != 0 {
			t.Errorf("cells %v: %s%s", args, out, message)
		}
	}
	time.Sleep(700 * time.Millisecond)
	command("move", "--tenant", "brand", "--to", "b")
	time.Sleep(2300 * time.Millisecond) // until the move is in effect
	servers["s1"].Kill()
	mu.Lock()
	killed := routers[1]
	mu.Unlock()
	killed.Kill()
	restarted := router(states[1])
	mu.Lock()
	routers[1] = restarted
	mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	servers["s1"] = startServing(t, "serve", "--config", files["s1"], "--edge", f.edgeFile, "--listen", servers["s1"].addr)
	for _, name := range []string{"s3", "s4"} { // the target cell becomes too slow for the load
		machines[name].ScheduleFaults([]builtinworker.Fault{{Speed: 0.2, For: 3 * time.Second}})
	}
	command("abort", "--tenant", "brand")
	time.Sleep(4 * time.Second)
	close(stop)
	wg.Wait()
	runs := f.runsByBody()
	for body, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", body, n)
		}
	}
	if !linearizable(history) {
		t.Error("the history is not linearizable: a request ran twice or was refused after its run")
	}
	if outcomes["served"] < 50 || len(runs) < 20 {
		t.Errorf("outcomes %v, %d requests ran", outcomes, len(runs))
	}
	for name, i := range machines {
		if len(i.Runs()) == 0 {
			t.Errorf("nothing ran on %s", name)
		}
	}
	t.Logf("outcomes %v, %d requests ran", outcomes, len(runs))
}

// The cells commands print the expected text. An invalid command exits with code 1 and one line of error.
func TestCells(t *testing.T) {
	data, err := os.ReadFile("../../deploy/cells.json")
	if err != nil {
		t.Fatal(err)
	}
	file := writeFile(t, "cells.json", string(data))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"show"}, 0, "kvizmojster     a     settled"},
		{[]string{"show", "--json"}, 0, `"tenant": "kvizmojster"`},
		{[]string{"check"}, 0, "ok, version 1, 2 cells, 4 servers, 4 tenants"},
		{[]string{"plan", "--tenant", "kvizmojster", "--to", "b"}, 1, "cell b can't carry it"},
		{[]string{"plan", "--tenant", "nobody", "--to", "b"}, 1, `tenant "nobody" is not in the map`},
		{[]string{"abort", "--tenant", "kvizmojster"}, 1, "no move to abort"},
		{[]string{"plan", "--tenant", "krcmarski-kviz", "--to", "b", "--shard", "2", "--json"}, 0, `"shard": 2`},
		{[]string{"move", "--tenant", "krcmarski-kviz", "--to", "b", "--shard", "2"}, 0, "version 2 written"},
		{[]string{"move", "--tenant", "krcmarski-kviz", "--to", "a"}, 1, "a move is prepared"},
		{[]string{"check", "--after", "../../deploy/cells.json"}, 0, `tenant "krcmarski-kviz": to cell b at`},
		{[]string{"abort", "--tenant", "krcmarski-kviz"}, 0, "version 3 written"},
		{[]string{"check", "--after", "nothing.json"}, 1, "nothing.json"},
		{[]string{"nonsense"}, 1, "one of show, plan, move, abort, check, publish"},
	} {
		code, out, message := runCommand(t, "", append([]string{"cells", "--map", file}, c.args...)...)
		if code != c.code || !strings.Contains(out+message, c.want) || c.code != 0 && strings.Count(message, "\n") != 1 {
			t.Errorf("cells %v: exit code %d, output %q, message %q", c.args, code, out, message)
		}
	}
	if code, _, message := runCommand(t, "", "route", "--config", "../../deploy/router.json"); code != 1 || !strings.Contains(message, "no fleet") {
		t.Errorf("route without a fleet: exit code %d, message %q", code, message)
	}
	if code, out, message := runCommand(t, "", "check", "--config", "../../deploy/scgi.json", "--edge", "../../deploy/route.json"); code != 0 || !strings.Contains(out, "fleet: deploy/cells.json") {
		t.Errorf("check of a router's edge file: exit code %d, output %q, message %q", code, out, message)
	}
}
