package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"silverpath/internal/proxy"
	"silverpath/internal/testkit/benchmarks"
	"silverpath/internal/transport/client"
)

// Windows of the class in these tests. With the deadline of 1 s, a run under the short one was forgotten after 3.2 s.
const (
	shortWindow = 200 * time.Millisecond
	longWindow  = 20 * time.Second
	forgotten   = 5 * time.Second // after a run, by the short window
)

// reloadWindow changes memory_span in the configuration of a process and waits until the process has reloaded it.
func reloadWindow(t *testing.T, g *benchmarks.Generation, window time.Duration) {
	t.Helper()
	text, err := os.ReadFile(g.File)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, _ := strings.Cut(string(text), `"memory_span":`)
	next := fmt.Sprintf(`%s"memory_span":%d%s`, before, window.Microseconds(), rest[strings.IndexAny(rest, ",}"):])
	if err := os.WriteFile(g.File, []byte(next), 0o600); err != nil {
		t.Fatal(err)
	}
	lines := g.LineCount()
	_ = g.Signal(syscall.SIGHUP)
	if _, err := g.Await(5*time.Second, lines, "reload: done"); err != nil {
		t.Fatal(err)
	}
}

// serveOnce sends the first attempt of a request and returns the time at which it was sent.
func (d *durableService) serveOnce(key string) time.Time {
	d.t.Helper()
	sentAt := time.Now()
	if a := d.sendAttempt(key, key); a.Outcome != "served" {
		d.t.Fatalf("first attempt of %s: got %s, want served", key, a.Outcome)
	}
	return sentAt
}

// checkRanOnce sends another attempt of a request some time after the first one. The request must not have run again.
func (d *durableService) checkRanOnce(key string, first time.Time, after time.Duration) {
	d.t.Helper()
	time.Sleep(time.Until(first.Add(after)))
	a := d.sendAttempt(key, key)
	if n := d.Runs()[key]; n != 1 || a.Outcome == "refused" {
		d.t.Errorf("%s: %d runs, the attempt after %v was %s; want 1 run, and not refused", key, n, after, a.Outcome)
	}
}

// Guards against a second run after a reload that lengthens the window of a class: the record of the run expired by the window that it
// had run under.
func TestReloadLengthensTheWindow(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.span, d.Args = shortWindow, nil
	g := d.Start()
	g.AwaitReady(t)
	first := d.serveOnce("sheet")
	reloadWindow(t, g, longWindow)
	d.checkRanOnce("sheet", first, forgotten)
}

// Guards against a second run after a reload that shortens the window of a class: the run was judged by the new window at once.
func TestReloadShortensTheWindow(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.span, d.Args = longWindow, nil
	g := d.Start()
	g.AwaitReady(t)
	first := d.serveOnce("sheet")
	reloadWindow(t, g, shortWindow)
	second := d.serveOnce("sheet-after") // its caller may not know the shorter window yet
	reloadWindow(t, g, shortWindow)
	d.checkRanOnce("sheet", first, time.Second)
	d.checkRanOnce("sheet-after", second, time.Second)
}

// Guards against a second run at a server that lost its keys, after the map's window has grown: routers kept the window of the map that they
// had started with.
func TestMapWindowGrowsBeforeAServerLosesItsKeys(t *testing.T) {
	t.Parallel()
	f := newFleet(t, shortWindow)
	name := f.serverNames[0]
	f.Map.Servers, f.Map.Cells = f.Map.Servers[:1], f.Map.Cells[:1] // the only server of its cell
	mapFile := f.writeMap(f.Map)
	one, two := f.startRouter("r1", mapFile, ""), f.startRouter("r2", mapFile, "")
	if got := sendToAll(10, "sheet", one); got["served"] != 10 {
		t.Fatalf("outcomes of the first attempts: %v, want 10 served", got)
	}
	first, oldOverlap := time.Now(), f.Map.OverlapWindow()
	f.Map.Version, f.Map.KeyWindow = 2, longWindow
	if err := proxy.WriteMap(mapFile, f.Map); err != nil {
		t.Fatal(err)
	}
	if _, err := two.Await(5*time.Second, 0, "cells: map version 2"); err != nil {
		t.Fatal(err)
	}
	f.servers[name].Kill()
	f.servers[name] = startServing(t, "serve", "--config", f.configFiles[name], "--edge", f.edgeFile, "--listen", f.servers[name].addr)
	restarted := time.Now()
	time.Sleep(time.Until(restarted.Add(oldOverlap + time.Second)))
	if got := sendToAll(10, "sheet", two); got["failed"] != 10 || countRunTwice(f.runsByBody()) != 0 {
		t.Errorf("outcomes after %v: %v, and %d requests ran twice; want 10 failed", time.Since(first), got, countRunTwice(f.runsByBody()))
	}
}

// restart kills a process and starts the next one with another window, ready and with its store loaded.
func (d *durableService) restart(g *benchmarks.Generation, window time.Duration) *benchmarks.Generation {
	d.t.Helper()
	g.Kill()
	d.span = window
	return d.startLoaded()
}

// Guards against a second run after a restart with a longer window: a stored run expired by the window that it had run under.
func TestRestartWithALongerWindow(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.span = shortWindow
	g := d.startLoaded()
	first := d.serveOnce("sheet")
	g = d.restart(g, longWindow)
	time.Sleep(time.Until(first.Add(forgotten)))
	d.restart(g, longWindow)
	d.checkRanOnce("sheet", first, forgotten)
}

// Guards against a second run after restarts with a shorter window: a stored run was judged by the new window. The second restart must
// not lose what the first one has kept.
func TestRestartWithAShorterWindow(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.span = longWindow
	g := d.startLoaded()
	first := d.serveOnce("sheet")
	g = d.restart(g, shortWindow)
	second := d.serveOnce("sheet-after") // its caller may not know the shorter window yet
	d.checkRanOnce("sheet", first, time.Second)
	d.restart(g, shortWindow)
	d.checkRanOnce("sheet", first, forgotten)
	d.checkRanOnce("sheet-after", second, forgotten)
}

// Guards against a second run after a reload that lengthens the window and a restart that shortens it again: the store had the run with the
// window before the reload only.
func TestRestartAfterAReloadThatLengthensTheWindow(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.span = shortWindow
	g := d.startLoaded()
	first := d.serveOnce("sheet")
	reloadWindow(t, g, longWindow)
	d.checkRanOnce("sheet", first, forgotten-time.Second) // the store would have removed its record by now
	d.restart(g, shortWindow)
	d.checkRanOnce("sheet", first, forgotten)
}

// Guards against a run of an unknown key that may have run before the store was created: a restart with a shorter window ended the time in
// which such keys fail.
func TestUnknownRunsKeepTheLongerWindow(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	if err := os.RemoveAll(d.dir); err != nil {
		t.Fatal(err)
	}
	d.span = longWindow
	started := time.Now()
	g := d.restart(d.startLoaded(), shortWindow)
	d.restart(g, shortWindow)
	time.Sleep(time.Until(started.Add(forgotten)))
	if a := d.sendAttempt("sheet", "sheet"); a.Outcome != "failed" || d.Runs()["sheet"] != 0 {
		t.Errorf("a key that may have run under the longer window: %s, %d runs; want failed and none", a.Outcome, d.Runs()["sheet"])
	}
}

// Guards against a second run of a request that an earlier process without a store ran, after a restart with a shorter window. Before that,
// a reload that lengthens the window must not bring the time back in which unknown keys fail.
func TestHeartbeatsKeepTheLongerWindow(t *testing.T) {
	t.Parallel()
	d := newDurableService(t)
	d.configureHeartbeat(400*time.Millisecond, false)
	d.span = shortWindow
	g := d.startBeforeLoad()
	d.awaitRecovered(g)
	reloadWindow(t, g, longWindow)
	first := d.serveOnce("sheet")
	time.Sleep(400 * time.Millisecond) // until a heartbeat has the longer window
	for range 2 {
		g.Kill()
		g = d.startBeforeLoad()
	}
	d.checkRanOnce("sheet", first, forgotten)
}

// newPairService returns a service whose processes share a socket for a hot restart, with the given window.
func newPairService(t *testing.T, window time.Duration) *durableService {
	t.Helper()
	d := newDurableService(t)
	edit := d.Edit
	d.Shared, d.span = sharedService(t), window
	d.Timeout, d.Edit = 900*time.Millisecond, edit
	return d
}

// Guards against a second run after a hot restart with another window: the successor expired or judged the predecessor's runs by one window
// only, and the predecessor forgot a run that the successor still remembered.
func TestHotRestartWithAnotherWindow(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		old, next    time.Duration
		after        time.Duration
		oldStays     bool // attempts reach either process
		successorRan bool // the successor ran the requests, not the predecessor
	}{
		"longer":                                 {shortWindow, longWindow, forgotten, false, false},
		"shorter":                                {longWindow, shortWindow, time.Second, false, false},
		"longer, both processes":                 {shortWindow, longWindow, forgotten, true, false},
		"longer, both processes, later requests": {shortWindow, longWindow, forgotten, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newPairService(t, c.old)
			old := d.Start()
			old.AwaitReady(t)
			var first time.Time
			serve := func() {
				first = time.Now()
				d.serveNew("sheet", 10)
			}
			if !c.successorRan {
				serve()
			}
			d.span = c.next
			next := d.Start()
			next.AwaitReady(t)
			if c.successorRan {
				serve()
			}
			if !c.oldStays {
				old.Leave(t)
			}
			for i := range 10 {
				d.checkRanOnce(fmt.Sprintf("sheet-%d", i), first, c.after)
			}
		})
	}
}

// Guards against a run of an unknown key after the predecessor died before it had listed its runs: the successor, which has a shorter
// window, took its own for that of the runs that it does not know.
func TestPredecessorWithALongerWindowDies(t *testing.T) {
	t.Parallel()
	d := newPairService(t, longWindow)
	old := d.Start()
	old.AwaitReady(t)
	first := d.serveOnce("sheet")
	old.Freeze()
	d.span = shortWindow
	next := d.Start()
	old.Kill()
	next.AwaitReady(t)
	d.checkRanOnce("sheet", first, forgotten)
}

// Guards against a second run after the group has lengthened the window of a class.
func TestGroupLengthensTheWindow(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	server := f.servers["s1"]
	send := func() string {
		a, err := client.Do(client.MessagePack, server.addr, client.Request{Class: "oddaja", Tenant: "brand", Key: "sheet", Body: []byte("sheet"), Timeout: 800 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		return a.Outcome
	}
	f.put("classes", writeClasses(t, "token", keyWindow, 3))
	first := time.Now()
	if got := send(); got != "served" {
		t.Fatalf("first attempt: %s, want served", got)
	}
	f.put("classes", writeClasses(t, "token", longWindow, 3))
	time.Sleep(time.Until(first.Add(keyWindow + forgotten)))
	if got, n := send(), f.runsByBody()["sheet"]; got != "served" || n != 1 {
		t.Errorf("second attempt: %s, %d runs; want served and 1", got, n)
	}
}

// Guards against a run after the drain window: a reload during the drain lengthened it.
func TestReloadDoesNotLengthenADrain(t *testing.T) {
	t.Parallel()
	d := newPairService(t, longWindow)  // a held socket accepts until the end
	d.Edit = func(text string) string { // exits after 3.7 s
		return strings.Replace(text, `"stop_ms":1000`, `"stop_ms":3700`, 1)
	}
	g := d.Start()
	g.AwaitReady(t)
	text, err := os.ReadFile(g.File)
	if err != nil {
		t.Fatal(err)
	}
	longer := strings.Replace(string(text), `"drain_grace":2000000`, `"drain_grace":9000000`, 1)
	if longer == string(text) {
		t.Fatal("the configuration has no drain_grace of 2 s")
	}
	_ = g.Signal(syscall.SIGTERM)
	if _, err := g.Await(5*time.Second, 0, "phase draining"); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(g.File, []byte(longer), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = g.Signal(syscall.SIGHUP)
	if _, err := g.Await(time.Second, 0, "reload: done"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2100 * time.Millisecond) // after the drain window of 2 s, and before the process stops accepting
	if a := d.sendAttempt("late", "late"); a.Outcome != "refused" || d.Runs()["late"] != 0 {
		t.Errorf("after the drain window: %s, %d runs; want refused and none", a.Outcome, d.Runs()["late"])
	}
}
