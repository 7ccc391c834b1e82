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

func site() silverpath.Settings {
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

// until waits for what has to come about, for as long as the test may run.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatal(what)
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// ended waits until no goroutine runs code of the program any more but the test's own: one that stays has the test run out of time, with its
// stack in what is said then.
func ended(t *testing.T) {
	t.Helper()
	b := make([]byte, 1<<20)
	left := func() (list []string) {
		for _, g := range strings.Split(string(b[:runtime.Stack(b, true)]), "\n\n")[1:] {
			if strings.Contains(g, "silverpath/") && !strings.Contains(g, "testing.tRunner") {
				list = append(list, g)
			}
		}
		return list
	}
	until(t, "code still runs", func() bool { return len(left()) == 0 })
}

func servers(t *testing.T, n int, cold bool) (list []*Server, m *cells.Map) {
	m = &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Second, CallerTimeout: time.Second,
		Cells: []cells.Cell{{Name: "a", Capacity: 10}}, Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}}
	for i := range n {
		s, err := NewServer(ServerConfig{Name: fmt.Sprint("s", i), IP: IP(0, i+1), Settings: site(), MemoryMB: 16, Sockets: 64, Cold: cold, Echo: true})
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, s)
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprint("s", i), Addr: s.Addr, Cell: "a", Weight: 1})
	}
	return list, m
}

// Many in one process of the system keep apart: each server counts the health checks that came to it alone, each router knows its own servers
// from its own address, and all end without a goroutine left.
func TestManyKeepApart(t *testing.T) {
	list, m := servers(t, 12, false)
	ips := map[string]bool{}
	for _, s := range list {
		host, _, _ := net.SplitHostPort(s.Addr)
		ips[host] = true
	}
	if len(ips) != len(list) {
		t.Errorf("%d addresses of %d servers", len(ips), len(list))
	}
	var routers []*Router
	for i := range 5 { // each but the last knows three servers of its own; nobody is told of those of the last three
		own := *m
		if i < 3 {
			own.Servers = m.Servers[3*i : 3*i+3]
		} else {
			own.Servers = m.Servers[:3]
		}
		file := filepath.Join(t.TempDir(), "cells.json")
		if err := proxy.WriteMap(file, &own); err != nil {
			t.Fatal(err)
		}
		r, err := NewRouter(RouterConfig{Name: fmt.Sprint("r", i), IP: IP(1, i+1), Settings: site(), MemoryMB: 16, Sockets: 16, Map: file, HealthCheckInterval: 20 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		routers = append(routers, r)
	}
	for i, r := range routers {
		until(t, "a router doesn't know its servers", func() bool {
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
				t.Errorf("router %d knows %s", i, s.Name)
			}
		}
		if r.Now().Opened < 3 || r.Now().In == 0 || r.Now().Out == 0 {
			t.Errorf("router %d: %+v", i, r.Now())
		}
	}
	until(t, "checks", func() bool { return list[0].Now().Opened >= 9 && list[8].Now().Opened >= 3 })
	for i, s := range list {
		if c := s.Now(); (i >= 9) != (c == Count{}) {
			t.Errorf("server %d has counted %+v", i, c)
		}
		if n := s.Stats.Snapshot(); i >= 9 && len(n) > 0 {
			t.Errorf("server %d has counted %v", i, n)
		}
	}
	for _, r := range routers {
		r.Close()
	}
	for _, s := range list {
		s.Close()
	}
	sum, own := Count{}, []Count{}
	for _, r := range routers {
		sum, own = sum.Add(r.Now()), append(own, r.Now())
	}
	ended(t)
	at := int64(0)
	for _, s := range list {
		at += s.Now().Opened
	}
	if sum.Opened > at {
		t.Errorf("the routers opened %d connections, the servers took %d", sum.Opened, at)
	}
	for i, r := range routers {
		if r.Now() != own[i] {
			t.Errorf("router %d goes on after its end: %+v, %+v", i, own[i], r.Now())
		}
	}
}

// A server that is cold tells its callers so, by what each says of itself; one that says nothing of itself is given no part.
func TestCallersOfAColdServer(t *testing.T) {
	list, _ := servers(t, 1, true)
	s := list[0]
	var callers []*Caller
	for i := range 6 {
		rules := "1.0123456789abcdef"
		if i == 5 {
			rules = ""
		}
		callers = append(callers, NewCaller(CallerConfig{
			Name: fmt.Sprint("c", i), IP: IP(2, i+1), To: s.Addr, Every: 10 * time.Millisecond, First: time.Duration(i) * time.Millisecond, Rules: rules,
			Terms: configstore.Terms{Lease: time.Second},
		}))
	}
	for i, c := range callers {
		until(t, "a caller that says nothing", func() bool { return c.Now().Opened >= 5 })
		if i < 5 && c.Now().In <= callers[5].Now().In/callers[5].Now().Opened*4 {
			t.Errorf("caller %d was told no more than a balancer: %+v, %+v", i, c.Now(), callers[5].Now())
		}
	}
	if !s.Core().Cold() {
		t.Error("the server is warm")
	}
	for _, c := range callers {
		c.Close()
	}
	var was []Count
	for _, c := range callers {
		was = append(was, c.Now())
	}
	s.Close()
	for i, c := range callers {
		if c.Now() != was[i] {
			t.Errorf("caller %d goes on after its end: %+v, %+v", i, was[i], c.Now())
		}
	}
	ended(t)
}

// book is a group of one, without a disk: it answers as the leader does.
type book struct {
	mu    sync.Mutex
	b     *configstore.Store
	index uint64
	ln    *listener.Listener
	done  chan struct{}
	heard map[string]int
}

func newBook(t *testing.T) (*book, string) {
	g := &book{b: configstore.NewStore(), done: make(chan struct{}), heard: map[string]int{}}
	var c metrics.Counters
	words := msgpackrpc.NewCallServer("test", &c, func(_ context.Context, w msgpackrpc.Call) func() msgpackrpc.CallResult {
		return func() msgpackrpc.CallResult { return g.answer(w) }
	})
	ln, err := listen("127.0.0.1", &Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	g.ln = listener.New("test", ln, 64, func() time.Duration { return 0 }, words.Serve, silent(), &c)
	go func() {
		defer close(g.done)
		g.ln.Serve()
	}()
	return g, ln.Addr().String()
}

func (g *book) answer(w msgpackrpc.Call) msgpackrpc.CallResult {
	g.mu.Lock()
	defer g.mu.Unlock()
	var s quorum.ConfigSync
	if err := json.Unmarshal(w.Body, &s); err != nil {
		return msgpackrpc.CallResult{Error: quorum.CodeRefused}
	}
	g.heard[strings.SplitN(s.Process.Name, "#", 2)[0]]++
	op := configstore.OpReport
	if g.b.Processes[s.Process.Name] == nil {
		op = configstore.OpRegister
	}
	_ = g.apply(configstore.Change{Op: op, Process: &s.Process})
	docs := map[string]configstore.View{}
	for name := range s.Process.Formats {
		if d := g.b.Documents[name]; d != nil {
			docs[name] = d.ViewFor(&s.Process, s.HasVersions[name], s.BaseVersions[name])
		}
	}
	out, _ := json.Marshal(quorum.ConfigSyncReply{Terms: lease.Terms{TTL: time.Second, Drift: 0.05}, Index: g.index, Wall: time.Now().UnixMilli(), Docs: docs})
	return msgpackrpc.CallResult{Body: out}
}

func (g *book) apply(c configstore.Change) error {
	g.index++
	_, err := g.b.Apply(c)
	return err
}

// put has a text in force at once, as one that everybody holds.
func (g *book) put(t *testing.T, doc, text string) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	if d := g.b.Documents[doc]; d != nil {
		n = d.Active.ID.Version
	}
	id := configstore.NewID(n+1, []byte(text))
	g.index++
	g.b.Documents[doc] = &configstore.Document{Name: doc, HighestVersion: n + 1, Active: &configstore.Revision{ID: id, Format: 1, Text: text}}
}

// Followers in one process each have their documents, and take what comes: routers, servers, and those that only follow.
func TestFollowersKeepApart(t *testing.T) {
	g, addr := newBook(t)
	list, m := servers(t, 1, false)
	g.put(t, configstore.DocMap, string(settings.FormatCells(m)))
	g.put(t, configstore.DocRouting, `{"retries":0.1,"probe_ms":50}`)
	client := func() *quorum.Client { return &quorum.Client{Group: "test", Addrs: []string{addr}} }
	took := make([]atomic.Int32, 6)
	tell := func(i int) func(string) { return func(string) { took[i].Add(1) } }
	docs := []string{configstore.DocMap, configstore.DocRouting}
	var close []func()
	for i := range 4 {
		f, err := NewFollower(FollowerConfig{Name: fmt.Sprint("f", i), Group: client(), Docs: docs[i%2:], Site: site(), OnApplied: tell(i)})
		if err != nil {
			t.Fatal(err)
		}
		close = append(close, f.Close)
	}
	r, err := NewRouter(RouterConfig{Name: "r", IP: IP(1, 1), Settings: site(), MemoryMB: 16, Sockets: 16, Group: client(), Docs: docs, OnApplied: tell(4), StartTimeout: 20 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewServer(ServerConfig{Name: "s", IP: IP(0, 100), Settings: site(), MemoryMB: 16, Sockets: 16, Group: client(), Docs: []string{configstore.DocClasses}, Took: tell(5)})
	if err != nil {
		t.Fatal(err)
	}
	close = append(close, r.Close, s.Close, list[0].Close)
	want := []int32{2, 1, 2, 1, 2, 0}
	for i, n := range want {
		until(t, "documents that were there", func() bool { return took[i].Load() >= n })
	}
	g.put(t, configstore.DocRouting, `{"retries":0.2,"probe_ms":50}`)
	for i, n := range want[:5] {
		until(t, "a change", func() bool { return took[i].Load() == n+1 })
	}
	until(t, "its map's server", func() bool { return len(r.States()) == 1 && r.States()[0].Health == loadbalancer.Alive })
	if _, err := NewFollower(FollowerConfig{Name: "f", Group: client(), Docs: []string{"none"}}); err == nil {
		t.Error("a document that nobody has a use for")
	}
	if took[5].Load() != 0 {
		t.Error("a server took what it does not use")
	}
	for _, f := range close {
		f()
	}
	g.mu.Lock()
	if len(g.heard) != 6 || len(g.b.Processes) != 6 {
		t.Errorf("heard %v", g.heard)
	}
	g.mu.Unlock()
	g.ln.Close()
	g.ln.EndConnections(time.Second)
	<-g.done
	ended(t)
}

// A follower takes a map in parts, and then what changes of it.
func TestFollowerTakesParts(t *testing.T) {
	g, addr := newBook(t)
	m := &cells.Map{Version: 1, KeyWindow: time.Second, MaxClockSkew: time.Second, Lease: time.Second, CallerTimeout: time.Second, Cells: []cells.Cell{{Name: "a", Capacity: 4}},
		Tenants: []cells.Tenant{{Name: "t", Rate: 1, Homes: []cells.Home{{Cell: "a"}}}}, Servers: []cells.Server{{Name: "s", Addr: "127.0.0.1:1", Cell: "a", Weight: 1}}}
	put := func(version int) {
		g.mu.Lock()
		defer g.mu.Unlock()
		parts, old := map[string]configstore.Part{}, map[string]configstore.Part{}
		if d := g.b.Documents[configstore.DocMap]; d != nil {
			old = d.Active.Parts
		}
		for name, text := range settings.SplitCells(m) {
			p := configstore.Part{Version: version, Digest: configstore.PartDigest(text), Text: text}
			if was, there := old[name]; there && was.Digest == p.Digest {
				p = was
			}
			parts[name] = p
		}
		g.index++
		g.b.Documents[configstore.DocMap] = &configstore.Document{Name: configstore.DocMap, HighestVersion: version,
			Active: &configstore.Revision{ID: configstore.ID{Version: version, Digest: configstore.PartsDigest(parts)}, Format: configstore.PartsFormat, InParts: true, Parts: parts}}
	}
	put(1)
	var took atomic.Int32
	f, err := NewFollower(FollowerConfig{Name: "f", Group: &quorum.Client{Group: "test", Addrs: []string{addr}}, Docs: []string{configstore.DocMap}, Site: site(), OnApplied: func(string) { took.Add(1) }})
	if err != nil {
		t.Fatal(err)
	}
	until(t, "the map", func() bool { return took.Load() == 1 && f.Acts(configstore.DocMap) == 1 })
	m.Version, m.Tenants[0].Rate = 2, 2
	put(2)
	until(t, "what changed of it", func() bool { return took.Load() == 2 && f.Acts(configstore.DocMap) == 2 })
	f.Close()
	g.ln.Close()
	g.ln.EndConnections(time.Second)
	<-g.done
	ended(t)
}
