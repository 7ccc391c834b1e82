package main

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// documentFleet is a fleet that reads its config documents from a group: the routers their map, the servers
// their classes.
type documentFleet struct {
	*testFleet
	g *testGroup
}

// rulesSection returns the section of an edge file that subscribes a process to documents. It lists the given
// members, or all members of the group if members is nil.
func (f *documentFleet) rulesSection(members []string, docs ...string) string {
	if members == nil {
		members = f.g.Client.Addrs
	}
	membersJSON, _ := json.Marshal(members)
	docsJSON, _ := json.Marshal(docs)
	return fmt.Sprintf(`"rules":{"group":"test","members":%s,"documents":%s}`, membersJSON, docsJSON)
}

func newDocumentFleet(t testing.TB, window time.Duration, env ...string) *documentFleet {
	t.Helper()
	f := &documentFleet{g: newGroup(t, 3)}
	f.testFleet = newFleetWithEdge(t, window, fmt.Sprintf(`{"cell":true,%s}`, f.rulesSection(nil, "classes")), env...)
	f.Map.Lease = 1500 * time.Millisecond // long enough that a loaded machine stores a moved map in time
	f.put("map", f.writeMap(f.Map))
	return f
}

// startRouter starts a router that reads the map and the routing document from the group.
func (f *documentFleet) startRouter(name string, members []string, env ...string) *process {
	f.t.Helper()
	return startServingWithEnv(f.t, env, "route", "--config", writeServerConfig(f.t, name, ""), "--edge", writeFile(f.t, name+"-edge.json", fmt.Sprintf(
		`{"status":true,"fleet":{"state":%q,"probe_ms":100},%s}`, filepath.Join(f.t.TempDir(), name+".db"), f.rulesSection(members, "map", "routing"))))
}

// runRules runs a subcommand of rules on the group's documents.
func (f *documentFleet) runRules(args ...string) (code int, out, message string) {
	f.t.Helper()
	return runCommand(f.t, "", append([]string{"rules", "--group", "test", "--members", strings.Join(f.g.Client.Addrs, ","), "--within", "15s"}, args...)...)
}

// put stores a document and waits until it is active.
func (f *documentFleet) put(name, file string, args ...string) {
	f.t.Helper()
	if code, out, message := f.runRules(append([]string{"put", name, file, "--wait"}, args...)...); code != 0 {
		f.t.Fatalf("failed to put document %s: %s%s", name, out, message)
	}
}

// expect runs a subcommand of rules, checks its exit code and that its output contains a text, and returns
// the standard output.
func (f *documentFleet) expect(code int, want string, args ...string) string {
	f.t.Helper()
	got, out, message := f.runRules(args...)
	if got != code || !strings.Contains(out+message, want) || code != 0 && strings.Count(message, "\n") != 1 {
		f.t.Errorf("rules %v: exit code %d, %q, %q; want %d, %q", args, got, out, message, code, want)
	}
	return out
}

// writeClasses writes a classes document for the class of writeServerConfig and returns its path.
func writeClasses(t testing.TB, effect string, window time.Duration, worth int) string {
	return writeFile(t, "classes.json", fmt.Sprintf(`{"classes":[{"name":"oddaja","target":900000,"deadline":1000000,"worth":%d,"effect":%q,"memory_span":%d}]}`,
		worth, effect, window.Microseconds()))
}

// The rules command stores, diffs, holds, releases, withdraws and lists documents, and reports errors to the
// operator. A map that is planned from a file and stored as a document moves a tenant without running a
// request twice.
func TestRules(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	one, two := f.startRouter("r1", nil), f.startRouter("r2", nil)
	if got := sendToAll(10, "first", one, two); got["served"] != 20 || countRunTwice(f.runsByBody()) != 0 {
		t.Fatalf("outcomes with the group's map: %v, want 20 served and none run twice", got)
	}
	f.expect(1, `no such document: "colours"`, "put", "colours", "../../deploy/route.json")
	f.expect(1, "says the same", "put", "map", f.writeMap(f.Map))
	f.put("routing", "../../deploy/route.json")
	f.expect(0, `"retries": 0.1`, "get", "routing")
	f.expect(0, "routing", "get")
	changed := writeFile(t, "routing.json", `{"retries":0.2,"hedges":0.05,"most_out":0.4,"panic":0.5,"slow_start_ms":10000,"probe_ms":100}`)
	f.expect(0, "retries", "diff", "routing", changed)
	f.expect(0, "for r1#", "put", "routing", changed, "--dry-run")
	f.expect(1, "retries: not from 0 to 1: 7", "put", "routing", writeFile(t, "bad.json", `{"retries":7}`))
	f.expect(0, "version 2 proposed", "put", "routing", changed, "--hold", "not before noon")
	f.expect(1, "a change is under way: version 2 of routing is proposed", "put", "routing", "../../deploy/route.json")
	f.expect(0, "held: not before noon", "who", "routing")
	f.expect(0, "", "release", "routing")
	for _, p := range []*process{one, two} {
		if _, err := p.Await(5*time.Second, 0, "config: active: routing 2."); err != nil {
			t.Error(err)
		}
	}
	f.expect(0, "version 3: takeback", "withdraw", "routing", "--why", "too many tries")
	if _, err := one.Await(5*time.Second, 0, "config: active: routing 3."); err != nil {
		t.Error(err)
	}
	f.expect(0, "taken back: too many tries", "history", "routing")
	f.expect(0, "(version 1 again)", "history", "routing")
	f.expect(1, "it was taken back before", "put", "routing", changed)
	f.expect(0, "retries", "diff", "routing", "--versions", "1,2")
	// A process that cannot apply a version reports the reason, and the version is withdrawn.
	code, _, message := f.runRules("put", "classes", writeFile(t, "classes.json",
		`{"classes":[{"name":"oddaja","target":900000,"deadline":1000000,"worth":-1,"effect":"token","memory_span":2000000}]}`), "--wait")
	if code != 1 || !strings.Contains(message, "version 1: withdrawn: s") || !strings.Contains(message, "Classes[0].Worth: not a number of 0 or more: -1") {
		t.Errorf("put of an invalid classes document: exit code %d, %s", code, message)
	}
	f.put("classes", writeClasses(t, "token", keyWindow, 3))
	f.put("classes", writeClasses(t, "token", keyWindow, 4))
	out := f.expect(0, `"doc": "classes"`, "who", "classes", "--json")
	var who []struct {
		Process string
		Acts    int
		Stops   string
	}
	if err := json.Unmarshal([]byte(out), &who); err != nil || len(who) != 4 {
		t.Fatalf("rules who classes: %v: %s; want 4 processes", err, out)
	}
	// Plan a move on a map file and store the file as the map document. No request runs twice during the
	// move.
	file := f.writeMap(f.Map)
	if code, out, message := runCommand(t, "", "cells", "--map", file, "move", "--tenant", "brand", "--to", "b"); code != 0 {
		t.Fatal(out, message)
	}
	f.put("map", file)
	for end := time.Now().Add(4500 * time.Millisecond); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		sendToAll(3, fmt.Sprint("moving", time.Until(end)), one, two)
	}
	if n := countRunTwice(f.runsByBody()); n != 0 {
		t.Errorf("%d requests ran twice during the move", n)
	}
	if got := sendToAll(10, "moved", one, two); got["served"] != 20 {
		t.Errorf("outcomes after the move: %v, want 20 served", got)
	}
	ran := f.interpreters["s3"].Runs()
	for body, n := range f.interpreters["s4"].Runs() {
		ran[body] += n
	}
	if ran["moved-3"] != 1 {
		t.Error("the moved tenant's request did not run in its new cell")
	}
}
