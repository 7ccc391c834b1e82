package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
	"silverpath/internal/transport/client"
)

// addIdleTenants adds tenants without load until the map has n tenants.
func addIdleTenants(m *cells.Map, n int) {
	for i := len(m.Tenants); i < n; i++ {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%05d", i), Rate: 1, Homes: []cells.Home{{Cell: string('a' + rune(i%2))}}})
	}
}

// announceMove announces a move of a tenant and returns the time at which it takes effect. The time ahead has
// to be long enough for all processes of a loaded machine to receive the map before that time.
func announceMove(m *cells.Map, tenant, cell string, ahead time.Duration) time.Time {
	at := time.Now().Add(ahead)
	m.Version++
	for i := range m.Tenants {
		if m.Tenants[i].Name == tenant {
			m.Tenants[i].Homes = append(m.Tenants[i].Homes, cells.Home{Cell: cell, Since: at.UnixMilli()})
		}
	}
	return at
}

// runsInCell counts the runs in a cell's interpreters of request bodies with a prefix.
func (f *testFleet) runsInCell(cell, prefix string) (n int) {
	for _, s := range f.Map.Servers {
		if s.Cell != cell {
			continue
		}
		for body, runs := range f.interpreters[s.Name].Runs() {
			if strings.HasPrefix(body, prefix) {
				n += runs
			}
		}
	}
	return n
}

// A fleet changes from a map as one document to a map of 3,000 tenants in parts. Then a tenant moves while
// the leader of the group is killed. Routers apply each version from the changed parts, and a restarted
// router has the whole map. The commands on documents show the map as before, and reject a map above the
// limits before they send anything.
func TestMapInParts(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	textRouter := f.startRouter("old", nil, "SILVERPATH_MAP_FORMAT=1") // a build that does not read parts
	router1, router2 := f.startRouter("r1", nil), f.startRouter("r2", nil)
	if got := sendToAll(5, "text", router1, router2, textRouter); got["served"] != 15 {
		t.Fatalf("map as one document: outcomes %v", got)
	}
	f.expect(0, "in force", "history", "map")

	m := *f.Map
	m.Version++
	addIdleTenants(&m, 3000)
	mapFile := f.writeMap(&m)
	if out := f.expect(0, `tenants[tenant-00001].name`, "put", "map", mapFile, "--dry-run"); !strings.Contains(out, "reads format 1, and this is 2") {
		t.Errorf("put --dry-run does not report the router of format 1: %.200s", out)
	}
	f.expect(0, "version 2 proposed", "put", "map", mapFile)
	f.expect(0, "reads format 1, and this is 2", "who", "map")
	if err := textRouter.Leave(); err != nil {
		t.Error(err)
	}
	f.awaitActive("map", 2, 20*time.Second)
	for _, p := range []*process{router1, router2} {
		if _, err := p.Await(10*time.Second, 0, "config: active: map 2."); err != nil {
			t.Fatal(err)
		}
	}
	if got := sendToAll(5, "parts", router1, router2); got["served"] != 10 {
		t.Errorf("map in parts: outcomes %v", got)
	}
	f.expect(1, "says the same", "put", "map", mapFile)
	if out := f.expect(0, `"version": 2`, "get", "map"); out != string(settings.FormatCells(m.Flat())) {
		if got, err := settings.ParseCells([]byte(out)); err != nil || len(got.Tenants) != 3000 || got.Version != 2 {
			t.Errorf("get prints another map than was put: %v", err)
		}
	}
	oversized := m
	oversized.Version++
	oversized.Tenants = nil
	for i := range 256 * 40 {
		oversized.Tenants = append(oversized.Tenants, cells.Tenant{Name: fmt.Sprint(i, strings.Repeat("x", 2000)), Rate: 1, Homes: []cells.Home{{Cell: "a"}}})
	}
	f.expect(1, "of 1 to 65536", "put", "map", f.writeMap(&oversized))

	next := m
	next.Tenants = append([]cells.Tenant(nil), m.Tenants...)
	effectiveAt := announceMove(&next, "brand", "b", 12*time.Second)
	movedFile := f.writeMap(&next)
	if out := f.expect(0, "tenants[brand].homes[1].cell", "diff", "map", movedFile); strings.Count(out, "\n") > 6 {
		t.Errorf("diff of a move prints too many lines: %s", out)
	}
	f.expect(0, "version 3 proposed", "put", "map", movedFile, "--hold", "until its leader is gone")
	leader := f.g.awaitLeader()
	f.g.Members[leader].Kill()
	f.expect(0, "", "release", "map")
	f.awaitActive("map", 3, 20*time.Second)
	f.g.start(leader)
	for _, p := range []*process{router1, router2} {
		if _, err := p.Await(10*time.Second, 0, "config: active: map 3."); err != nil {
			t.Fatal(err)
		}
	}
	f.expect(0, "(2 parts)", "history", "map")
	f.expect(1, "of it is kept which changed", "diff", "map", "--versions", "2,3")
	if err := router2.Leave(); err != nil {
		t.Error(err)
	}
	router2 = f.startRouter("r2", nil)
	f.awaitServed("came back", router2)
	if time.Now().After(effectiveAt) {
		t.Fatal("the move took effect before the routers were checked")
	}
	time.Sleep(time.Until(effectiveAt) + f.Map.MaxClockSkew*2 + keyWindow + f.Map.CallerTimeout)
	if got := sendToAll(5, "moved", router1, router2); got["served"] != 10 || f.runsInCell("a", "moved") != 0 || f.runsInCell("b", "moved") != 5 {
		t.Errorf("after the move: outcomes %v, %d runs in cell a, %d in cell b", got, f.runsInCell("a", "moved"), f.runsInCell("b", "moved"))
	}
	if n := countRunTwice(f.runsByBody()); n != 0 {
		t.Errorf("%d requests ran twice", n)
	}
}

// While a change is quiescing, only the requests that it affects stop: a change of classes stops the classes
// that change, a change of cells stops the tenants that are homed there, and a change of a common setting
// stops all. A router that is frozen after it prepared the change keeps it in that stage.
func TestOnlyWhatIsTouchedStops(t *testing.T) {
	t.Parallel()
	f := newDocumentFleet(t, keyWindow)
	frozen, healthy := f.startClassRouter("cut", nil), f.startClassRouter("whole", nil)
	f.put("classes", writeClassesWithExtra(t, 0))
	f.awaitServed("first", frozen, healthy)
	send := func(class, tenant, key string) string {
		a, err := client.Do(client.MessagePack, healthy.addr, client.Request{Class: class, Tenant: tenant, Key: key, Body: []byte(key), Timeout: 800 * time.Millisecond})
		if err != nil {
			return "lost"
		}
		return a.Outcome
	}
	prepared := func(doc string, version int) bool {
		r := must[quorum.ConfigView](t)(f.g.Client.Config(f.g.within(10 * time.Second)))
		for name, u := range r.Store.Processes {
			if strings.HasPrefix(name, "cut#") && u.Prepared[doc] == version {
				return true
			}
		}
		return false
	}
	// checkWhileQuiescing checks whether a keyed request of a class is served while a change of a document is
	// quiescing. It repeats the check with another change if the stage was over before the answer came, or if
	// applies rejects the change.
	checkWhileQuiescing := func(doc string, file func(n int) string, class string, wantStopped bool, applies func(n int) bool) {
		t.Helper()
		for n := range 8 {
			version, _, _ := f.documentState(doc)
			version++
			f.expect(0, "proposed", "put", doc, file(n), "--hold", "until one has it")
			await(t, "the router has prepared the change", 20*time.Second, func() bool { return prepared(doc, version) })
			frozen.Freeze()
			from := healthy.LineCount()
			// Not by the release command: the stage lasts one lease, and the command would first have to
			// start.
			if r := f.g.do(statemachine.Command{Config: &configstore.Change{Op: configstore.OpRelease, Doc: doc, Version: version}}); r.Error != "" {
				t.Fatal(r.Error)
			}
			_, err := healthy.Await(2*time.Second, from, "config: nothing that is exclusive begins: turning")
			got := send(class, "brand", fmt.Sprint(doc, "-", version, class))
			_, stage, _ := f.documentState(doc)
			frozen.Resume()
			f.awaitActive(doc, version, 20*time.Second)
			f.awaitServed(fmt.Sprint("after ", doc, version), frozen, healthy)
			if err != nil || stage != configstore.StageQuiescing || applies != nil && !applies(n) {
				continue
			}
			if (got != "served") != wantStopped {
				t.Errorf("%s version %d: a request of class %s is %s while the change is quiescing", doc, version, class, got)
			}
			return
		}
		t.Errorf("%s: no change was observed while it was quiescing", doc)
	}
	effects := []string{"token", "pure"}
	classes := func(effect string) string {
		class := fmt.Sprintf(`{"name":"krog0","target":900000,"deadline":1000000,"worth":1,"effect":%q`, effect)
		if effect == "token" {
			class += fmt.Sprintf(`,"memory_span":%d`, keyWindow.Microseconds())
		}
		return writeFile(t, "classes.json", strings.Replace(string(must[[]byte](t)(os.ReadFile(writeClassesWithExtra(t, 0)))), "]}", ","+class+"}]}", 1))
	}
	f.put("classes", classes("token"))
	f.awaitServed("second", frozen, healthy)
	awaitClass := func() { // waits until the router and the servers have the class
		t.Helper()
		n := 0
		await(t, "class krog0 is served", 10*time.Second, func() bool { n++; return send("krog0", "brand", fmt.Sprint("known", n)) == "served" })
	}
	awaitClass()
	changes := 0
	toggled := func(int) string { changes++; return classes(effects[changes%2]) }
	checkWhileQuiescing("classes", toggled, "oddaja", false, nil)
	// A pure class has no keyed requests: only the change from token to pure counts.
	checkWhileQuiescing("classes", toggled, "krog0", true, func(int) bool { return effects[changes%2] == "pure" })

	// The first change adds cells without tenants and stops nothing. The second changes the caller timeout
	// and stops all.
	m := *f.Map
	m.Cells = append([]cells.Cell(nil), f.Map.Cells...)
	checkWhileQuiescing("map", func(n int) string {
		m.Version++
		name := fmt.Sprint("c", n)
		m.Cells = append(m.Cells, cells.Cell{Name: name, Capacity: 10})
		m.Servers = append(append([]cells.Server(nil), m.Servers...), cells.Server{Name: "s" + name, Addr: freeAddr(t), Cell: name, Weight: 1, JoinsAt: time.Now().Add(15 * time.Second).UnixMilli()})
		return f.writeMap(&m)
	}, "oddaja", false, nil)
	checkWhileQuiescing("map", func(n int) string {
		m.Version++
		m.CallerTimeout += time.Millisecond
		return f.writeMap(&m)
	}, "oddaja", true, nil)
	for body, n := range f.runsByBody() {
		// The class krog0 is pure at times, and a router that still has it as pure may run a request more
		// than once.
		if n > 1 && !strings.Contains(body, "krog0") && !strings.HasPrefix(body, "known") {
			t.Errorf("%q ran %d times", body, n)
		}
	}
}
