package hollow

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

func testSettings() silverpath.Settings {
	c, err := Site(`{"name":"hollow","listen":"127.0.0.1:0","vm":"127.0.0.1:1","stop_ms":3000,"limits":{"cores":1,"memory_mb":64,"sockets":64},
 "settings":{"classes":[{"name":"lestvica","target":1800000,"deadline":4400000,"worth":1,"late_worth":0,"effect":"pure"}],
  "family_info":{"below":"none","callers":3,"cold":true,"cpus":4,"gauges":["core_use","on_cores","heap_share","links"],
   "keepalive_max":15000000,"key_kb":0.5,"memory_kb":65536,"preemption":"none","run_factor":4,"say":"none"},
  "limits":{"max_retry_after":1000000,"retry_after":true},
  "rules":{"cold_from":0.5,"drain_grace":2000000,"fall_multiple":8,"overload_for":3000000,"warm_within":600000000},
  "scoring_mix":{"whole":1,"worst_class":0,"worst_tenant":0,"worst_window":0},"servers":1,"tier":0}}`)
	if err != nil {
		panic(err)
	}
	return c.Server
}

// waitUntil waits until cond returns true. It fails the test with the text what when the test's context ends.
func waitUntil(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for !cond() {
		select {
		case <-t.Context().Done():
			t.Fatal(what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// waitNoGoroutines waits until no goroutine but the test's own runs code of the program. If a goroutine leaks, the test times out and
// the test binary prints its stack.
func waitNoGoroutines(t *testing.T) {
	t.Helper()
	b := make([]byte, 1<<20)
	remaining := func() (list []string) {
		for _, g := range strings.Split(string(b[:runtime.Stack(b, true)]), "\n\n")[1:] {
			if strings.Contains(g, "silverpath/") && !strings.Contains(g, "testing.tRunner") {
				list = append(list, g)
			}
		}
		return list
	}
	waitUntil(t, "goroutines of the program are still running", func() bool { return len(remaining()) == 0 })
}

func startServers(t *testing.T, n int, cold bool) (list []*Server, cellMap *cells.Map) {
	cellMap = &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells: []cells.Cell{{Name: "a", Capacity: 10}}, Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}}
	for i := range n {
		s, err := NewServer(ServerConfig{Name: fmt.Sprint("s", i), IP: IP(0, i+1), Settings: testSettings(), MemoryMB: 16, Sockets: 64, Cold: cold, Echo: true})
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, s)
		cellMap.Servers = append(cellMap.Servers, cells.Server{Name: fmt.Sprint("s", i), Addr: s.Addr, Cell: "a", Weight: 1})
	}
	return list, cellMap
}

// Hollow processes in one operating system process stay isolated. Each server counts only its own health checks, each router knows only the
// servers of its map and connects from its own address, and Close leaves no goroutine.
func TestManyKeepApart(t *testing.T) {
	list, m := startServers(t, 12, false)
	ips := map[string]bool{}
	for _, s := range list {
		host, _, _ := net.SplitHostPort(s.Addr)
		ips[host] = true
	}
	if len(ips) != len(list) {
		t.Errorf("%d distinct addresses, want %d: one for each server", len(ips), len(list))
	}
	var routers []*Router
	for i := range 5 { // routers 0 to 2 have three servers each, 3 and 4 share those of router 0, and no map lists s9 to s11
		routerMap := *m
		if i < 3 {
			routerMap.Servers = m.Servers[3*i : 3*i+3]
		} else {
			routerMap.Servers = m.Servers[:3]
		}
		file := filepath.Join(t.TempDir(), "cells.json")
		if err := proxy.WriteMap(file, &routerMap); err != nil {
			t.Fatal(err)
		}
		r, err := NewRouter(RouterConfig{Name: fmt.Sprint("r", i), IP: IP(1, i+1), Settings: testSettings(), MemoryMB: 16, Sockets: 16, Map: file, HealthCheckInterval: 20 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		routers = append(routers, r)
	}
	for i, r := range routers {
		waitUntil(t, "a router doesn't find its 3 servers alive", func() bool {
			n := 0
			for _, s := range r.States() {
				if s.Health == loadbalancer.Alive {
					n++
				}
			}
			return n == 3
		})
		for _, s := range r.States() {
			first := 3 * i
			if i >= 3 {
				first = 0
			}
			var k int
			fmt.Sscanf(s.Name, "s%d", &k)
			if k < first || k > first+2 {
				t.Errorf("router %d knows server %s, which its map does not list", i, s.Name)
			}
		}
		if r.Counts().Opened < 3 || r.Counts().In == 0 || r.Counts().Out == 0 {
			t.Errorf("router %d: traffic %+v, want at least 3 connections and bytes in both directions", i, r.Counts())
		}
	}
	waitUntil(t, "health checks do not reach servers 0 and 8", func() bool { return list[0].Counts().Opened >= 9 && list[8].Counts().Opened >= 3 })
	for i, s := range list {
		if c := s.Counts(); (i >= 9) != (c == TrafficCounts{}) {
			t.Errorf("server %d: traffic %+v", i, c)
		}
		if n := s.Stats.Snapshot(); i >= 9 && len(n) > 0 {
			t.Errorf("server %d, which gets no health checks: counters %v", i, n)
		}
	}
	for _, r := range routers {
		r.Close()
	}
	for _, s := range list {
		s.Close()
	}
	total, atClose := TrafficCounts{}, []TrafficCounts{}
	for _, r := range routers {
		total, atClose = total.Add(r.Counts()), append(atClose, r.Counts())
	}
	waitNoGoroutines(t)
	accepted := int64(0)
	for _, s := range list {
		accepted += s.Counts().Opened
	}
	if total.Opened > accepted {
		t.Errorf("the routers opened %d connections, but the servers accepted only %d", total.Opened, accepted)
	}
	for i, r := range routers {
		if r.Counts() != atClose[i] {
			t.Errorf("router %d: traffic changed after Close: %+v, then %+v", i, atClose[i], r.Counts())
		}
	}
}

// A cold server tells each caller that reports its document that it is in slow start. A caller that reports nothing, such as a balancer, gets
// no such fields.
func TestCallersOfAColdServer(t *testing.T) {
	list, _ := startServers(t, 1, true)
	s := list[0]
	var callers []*Caller
	for i := range 6 {
		rules := "1.0123456789abcdef"
		if i == 5 {
			rules = ""
		}
		callers = append(callers, NewCaller(CallerConfig{
			Name: fmt.Sprint("c", i), IP: IP(2, i+1), ServerAddr: s.Addr, Interval: 10 * time.Millisecond, InitialDelay: time.Duration(i) * time.Millisecond, ConfigID: rules,
			Terms: configstore.Terms{Lease: time.Second},
		}))
	}
	for i, c := range callers {
		waitUntil(t, "a caller sends no health checks", func() bool { return c.Counts().Opened >= 5 })
		if i < 5 && c.Counts().In <= callers[5].Counts().In/callers[5].Counts().Opened*4 {
			t.Errorf("caller %d received no more than a balancer: %+v, %+v", i, c.Counts(), callers[5].Counts())
		}
	}
	if !s.Core().Cold() {
		t.Error("the server is not in slow start")
	}
	for _, c := range callers {
		c.Close()
	}
	var atClose []TrafficCounts
	for _, c := range callers {
		atClose = append(atClose, c.Counts())
	}
	s.Close()
	for i, c := range callers {
		if c.Counts() != atClose[i] {
			t.Errorf("caller %d: traffic changed after Close: %+v, then %+v", i, atClose[i], c.Counts())
		}
	}
	waitNoGoroutines(t)
}

// fakeGroup is a group of one member that keeps its documents in memory and answers config syncs like the leader.
type fakeGroup struct {
	mu      sync.Mutex
	store   *configstore.Store
	index   uint64
	ln      *listener.Listener
	done    chan struct{}
	reports map[string]int
}

func newFakeGroup(t *testing.T) (*fakeGroup, string) {
	g := &fakeGroup{store: configstore.NewStore(), done: make(chan struct{}), reports: map[string]int{}}
	var c metrics.Counters
	server := msgpackrpc.NewCallServer("test", &c, func(_ context.Context, call msgpackrpc.Call) func() msgpackrpc.CallResult {
		return func() msgpackrpc.CallResult { return g.answer(call) }
	})
	ln, err := listen("127.0.0.1", &Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	g.ln = listener.New("test", ln, 64, func() time.Duration { return 0 }, server.Serve, discardLog(), &c)
	go func() {
		defer close(g.done)
		g.ln.Serve()
	}()
	return g, ln.Addr().String()
}

func (g *fakeGroup) answer(call msgpackrpc.Call) msgpackrpc.CallResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	var s quorum.ConfigSync
	if err := json.Unmarshal(call.Body, &s); err != nil {
		return msgpackrpc.CallResult{Error: quorum.CodeRefused}
	}
	g.reports[strings.SplitN(s.Process.Name, "#", 2)[0]]++
	op := configstore.OpReport
	if g.store.Processes[s.Process.Name] == nil {
		op = configstore.OpRegister
	}
	_ = g.apply(configstore.Change{Op: op, Process: &s.Process})
	docs := map[string]configstore.View{}
	for name := range s.Process.Formats {
		if d := g.store.Documents[name]; d != nil {
			docs[name] = d.ViewFor(&s.Process, s.HasVersions[name], s.BaseVersions[name])
		}
	}
	out, _ := json.Marshal(quorum.ConfigSyncReply{Terms: lease.Terms{TTL: time.Second, Drift: 0.05}, Index: g.index, Wall: time.Now().UnixMilli(), Docs: docs})
	return msgpackrpc.CallResult{Body: out}
}

func (g *fakeGroup) apply(c configstore.Change) error {
	g.index++
	_, err := g.store.Apply(c)
	return err
}

// activate makes text the active revision of a document at once, without waiting for processes to confirm it.
func (g *fakeGroup) activate(t *testing.T, doc, text string) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	if d := g.store.Documents[doc]; d != nil {
		n = d.Active.ID.Version
	}
	id := configstore.NewID(n+1, []byte(text))
	g.index++
	g.store.Documents[doc] = &configstore.Document{Name: doc, HighestVersion: n + 1, Active: &configstore.Revision{ID: id, Format: 1, Text: text}}
}

// Followers, a router and a server in one operating system process each apply the documents that they follow, and changes of them, and no others.
func TestFollowersKeepApart(t *testing.T) {
	g, addr := newFakeGroup(t)
	list, m := startServers(t, 1, false)
	g.activate(t, configstore.DocMap, string(settings.FormatCells(m)))
	g.activate(t, configstore.DocRouting, `{"retries":0.1,"probe_ms":50}`)
	client := func() *quorum.Client { return &quorum.Client{Group: "test", Addrs: []string{addr}} }
	applied := make([]atomic.Int32, 6)
	countApplied := func(i int) func(string) { return func(string) { applied[i].Add(1) } }
	docs := []string{configstore.DocMap, configstore.DocRouting}
	var closers []func()
	for i := range 4 {
		f, err := NewFollower(FollowerConfig{Name: fmt.Sprint("f", i), Group: client(), Docs: docs[i%2:], Site: testSettings(), OnApplied: countApplied(i)})
		if err != nil {
			t.Fatal(err)
		}
		closers = append(closers, f.Close)
	}
	r, err := NewRouter(RouterConfig{Name: "r", IP: IP(1, 1), Settings: testSettings(), MemoryMB: 16, Sockets: 16, Group: client(), Docs: docs, OnApplied: countApplied(4), StartTimeout: 20 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(ServerConfig{Name: "s", IP: IP(0, 100), Settings: testSettings(), MemoryMB: 16, Sockets: 16, Group: client(), Docs: []string{configstore.DocClasses}, OnApplied: countApplied(5)})
	if err != nil {
		t.Fatal(err)
	}
	closers = append(closers, r.Close, s.Close, list[0].Close)
	want := []int32{2, 1, 2, 1, 2, 0}
	for i, n := range want {
		waitUntil(t, "a process does not apply the documents that are active when it starts", func() bool { return applied[i].Load() >= n })
	}
	g.activate(t, configstore.DocRouting, `{"retries":0.2,"probe_ms":50}`)
	for i, n := range want[:5] {
		waitUntil(t, "a process does not apply a changed document", func() bool { return applied[i].Load() == n+1 })
	}
	waitUntil(t, "the router does not find its map's server alive", func() bool { return len(r.States()) == 1 && r.States()[0].Health == loadbalancer.Alive })
	if _, err := NewFollower(FollowerConfig{Name: "f", Group: client(), Docs: []string{"none"}}); err == nil {
		t.Error("NewFollower accepted an unknown document")
	}
	if applied[5].Load() != 0 {
		t.Error("the server applied a document that it does not follow")
	}
	for _, f := range closers {
		f()
	}
	g.mu.Lock()
	if len(g.reports) != 6 || len(g.store.Processes) != 6 {
		t.Errorf("%v reports by process, want reports and registrations of 6 processes", g.reports)
	}
	g.mu.Unlock()
	g.ln.Close()
	g.ln.EndConnections(time.Second)
	<-g.done
	waitNoGoroutines(t)
}

// A follower applies a map that is stored in parts, and then a version in which some parts changed.
func TestFollowerTakesParts(t *testing.T) {
	g, addr := newFakeGroup(t)
	m := &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: time.Second, Lease: time.Second, CallerTimeout: time.Second, Cells: []cells.Cell{{Name: "a", Capacity: 4}},
		Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}, Servers: []cells.Server{{Name: "s", Addr: "127.0.0.1:1", Cell: "a", Weight: 1}}}
	put := func(version int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		parts, old := map[string]configstore.Part{}, map[string]configstore.Part{}
		if d := g.store.Documents[configstore.DocMap]; d != nil {
			old = d.Active.Parts
		}
		for name, text := range settings.SplitCells(m) {
			p := configstore.Part{Version: version, Digest: configstore.PartDigest(text), Text: text}
			if prev, ok := old[name]; ok && prev.Digest == p.Digest {
				p = prev
			}
			parts[name] = p
		}
		g.index++
		g.store.Documents[configstore.DocMap] = &configstore.Document{Name: configstore.DocMap, HighestVersion: version,
			Active: &configstore.Revision{ID: configstore.ID{Version: version, Digest: configstore.PartsDigest(parts)}, Format: configstore.PartsFormat, InParts: true, Parts: parts}}
	}
	put(1)
	var applied atomic.Int32
	f, err := NewFollower(FollowerConfig{Name: "f", Group: &quorum.Client{Group: "test", Addrs: []string{addr}}, Docs: []string{configstore.DocMap}, Site: testSettings(), OnApplied: func(string) { applied.Add(1) }})
	if err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the follower does not apply the map", func() bool { return applied.Load() == 1 && f.AppliedVersion(configstore.DocMap) == 1 })
	m.Version, m.Tenants[0].Rate = 2, 2
	put(2)
	waitUntil(t, "the follower does not apply the changed parts", func() bool { return applied.Load() == 2 && f.AppliedVersion(configstore.DocMap) == 2 })
	f.Close()
	g.ln.Close()
	g.ln.EndConnections(time.Second)
	<-g.done
	waitNoGoroutines(t)
}
