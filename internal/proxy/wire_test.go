package proxy

import (
	"context"
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/transport/msgpackrpc"
)

// transcript is what went over connections, in the order of their opening.
type transcript struct {
	mu    sync.Mutex
	conns []*tapped
}

// tapped is a connection whose bytes are kept, those of each direction together.
type tapped struct {
	net.Conn
	of             *transcript
	name           string
	sent, received []byte
}

func (c *tapped) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.sent = append(c.sent, b[:n]...)
	return n, err
}

func (c *tapped) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.received = append(c.received, b[:n]...)
	return n, err
}

func (tr *transcript) tap(name string, c net.Conn) net.Conn {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	t := &tapped{Conn: c, of: tr, name: name}
	tr.conns = append(tr.conns, t)
	return t
}

func (tr *transcript) String() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var b strings.Builder
	conns := slices.Clone(tr.conns)
	slices.SortStableFunc(conns, func(a, b *tapped) int { return strings.Compare(a.name, b.name) })
	for _, c := range conns {
		fmt.Fprintf(&b, "connection to %s\n> %x\n< %x\n", c.name, c.sent, c.received)
	}
	return b.String()
}

// A fleet is upgraded one process after the other, so a router of one build talks with servers of another. Did a field get another
// name, or a text another form, the other side would pass over it without a word: a keyed request would go by no rules, a restart would not be
// noticed. So every byte between a router and its servers, both ways, in a play of health checks, reads, a keyed request, its repeat, and a
// keyed request that has moved, stands in testdata as the program wrote it before its names were changed.
func TestBytesBetweenRouterAndServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &transcript{}
		quiet, counters := log.New(io.Discard, "", 0), &metrics.Counters{}
		servers := map[string]*server{}
		m := &cells.Map{Version: 3, KeyWindow: 10 * time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Hour, CallerTimeout: 4 * time.Second,
			Cells: []cells.Cell{{Name: "a", Capacity: 100}, {Name: "b", Capacity: 100}},
			Tenants: []cells.Tenant{{Name: "kviz", Rate: 20, Homes: []cells.Home{{Cell: "a"}, {Cell: "b", Since: time.Now().Add(4 * time.Second).UnixMilli()}}},
				{Homes: []cells.Home{{Cell: "b"}}}}}
		for i, cell := range []string{"a", "b"} {
			s := &server{takes: 20 * time.Millisecond}
			s.boot(t)
			name := fmt.Sprint("s", i)
			servers[name] = s
			m.Servers = append(m.Servers, cells.Server{Name: name, Addr: name, Cell: cell, Weight: 1, JoinsAt: time.Now().UnixMilli()})
		}
		to := &router{ends: map[string]core.Answer{}}
		runner, err := New(Config{
			Name: "router-1", Source: fixedMap{m}, Cores: 100, HealthCheckInterval: 500 * time.Millisecond, MaxConnections: 50, LoadBalancing: loadbalancer.Config{RetryRatio: 1, HedgeRatio: 1, Seed: 3},
			Dial: func(_ context.Context, addr string) (*msgpackrpc.Conn, error) {
				return msgpackrpc.NewConn(tr.tap(addr, servers[addr].pipe.Dial())), nil
			},
		}, to, quiet, counters)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go runner.Maintain(ctx)
		time.Sleep(750 * time.Millisecond)
		answers := ""
		for i, q := range []core.Request{
			{Class: "read", Body: []byte("one")},
			{Class: "read", Tenant: "kviz", Rank: 0.25, Caller: 2, MemoryKB: 12.5, Body: []byte("two")},
			{Class: "pay", Tenant: "other", Body: []byte{}},
			{Class: "sheet", Tenant: "kviz", Key: "k1", MemoryKB: 1, Body: []byte("sheet of k1")},
			{Class: "sheet", Tenant: "kviz", Key: "k1", MemoryKB: 1, Body: []byte("sheet of k1")},
			{Class: "sheet", Tenant: "kviz", Key: "k1", MemoryKB: 1, Body: []byte("sheet of k1")}, // it has moved by now
			{Class: "sheet", Tenant: "kviz", Key: "k2", MemoryKB: 1, Body: []byte("sheet of k2")},
		} {
			q.ID, q.ReceivedAt = fmt.Sprintf("%016x", i+1), time.Now()
			q.Deadline = q.ReceivedAt.Add(4 * time.Second)
			runner.Forward(q)
			time.Sleep(740 * time.Millisecond)
			to.mu.Lock()
			a := to.ends[q.ID]
			to.mu.Unlock()
			answers += fmt.Sprintf("answer to %s: %d %q wait %v final %v\n", q.ID, a.Outcome, a.Body, a.RetryAfter, a.Final)
		}
		status := string(runner.Status())
		cancel()
		runner.Close()
		for _, s := range servers {
			s.kill()
		}
		time.Sleep(2 * time.Hour)
		got := answers + status + "\n" + tr.String()
		want, err := os.ReadFile("testdata/conversation.txt")
		if err != nil {
			t.Fatal(err)
		}
		a, b := strings.Split(string(want), "\n"), strings.Split(got, "\n")
		for i := range a {
			if i >= len(b) || a[i] != b[i] {
				t.Fatalf("line %d:\n got %s\nwant %s", i+1, strings.Join(b[min(i, len(b)):min(i+1, len(b))], ""), a[i])
			}
		}
		if len(a) != len(b) {
			t.Errorf("%d lines, want %d", len(b), len(a))
		}
	})
}

// Servers of other builds answer with what the program before wrote, and a router acts on it as that one did: each answer stands here
// as bytes, whose third is the number of the request, and what the router makes of it, as a literal.
func TestAnswersOfAServerAsARouterReadsThem(t *testing.T) {
	const (
		probeGood = "940101c092c381a162a53137303030"             // boot 17000
		served    = "940100c092c40568656c6c6f81a162a53137303030" // "hello"
	)
	for _, c := range []struct{ name, class, key, reply, want string }{
		{"served", "pay", "", served, `0 "hello" wait 0s final false`},
		{"an empty result", "pay", "", "940100c092c40081a162a53137303030", `0 "" wait 0s final false`},
		{"failed", "pay", "", "94010092a54572726f7280c0", `2 "" wait 0s final false`},
		{"an error of another name", "pay", "", "94010092a5496e6e657280c0", `2 "" wait 0s final false`},
		{"full, with a wait", "pay", "", "94010092a446756c6c81a177a431323530c0", `1 "" wait 1.25s final false`},
		{"full, for good", "pay", "", "94010092a446756c6c82a177a431323530a16ca131c0", `1 "" wait 1.25s final true`},
		{"full without a wait", "pay", "", "94010092a446756c6c80c0", `1 "" wait 0s final false`},
		{"a sheet is served", "sheet", "k", served, `0 "hello" wait 0s final false`},
		{"a sheet's home is full", "sheet", "k", "94010092a446756c6c81a177a431323530c0", `1 "" wait 1.25s final false`},
		{"it started anew", "sheet", "k", "94010092a446756c6c82a177a431323530a178a4626f6f74c0", `2 "" wait 0s final false home_boot`},
		{"it knows of newer rules", "sheet", "k", "94010092a446756c6c82a177a431323530a178a6626568696e64c0", `2 "" wait 0s final false home_behind`},
		{"it has moved", "sheet", "k", "94010092a446756c6c82a177a431323530a178a56d6f766564c0", `2 "" wait 0s final false moved_nowhere`},
		{"rules differ", "sheet", "k", "94010092a446756c6c82a177a431323530a178ac636f6e747261646963746564c0", `2 "" wait 0s final false home_contradicted`},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &cells.Map{Version: 3, KeyWindow: time.Second, Lease: time.Hour, CallerTimeout: time.Second, Cells: []cells.Cell{{Name: "a"}},
					Servers: []cells.Server{{Name: "s", Addr: "s", Cell: "a", Weight: 1}}, Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}}}
				to, counters := &router{ends: map[string]core.Answer{}}, &metrics.Counters{}
				runner, err := New(Config{
					Name: "r", Source: fixedMap{m}, Cores: 1, HealthCheckInterval: time.Hour, MaxConnections: 9, LoadBalancing: loadbalancer.Config{Seed: 3},
					Dial: func(context.Context, string) (*msgpackrpc.Conn, error) {
						ours, theirs := net.Pipe()
						go answerWith(t, theirs, probeGood, c.reply)
						return msgpackrpc.NewConn(ours), nil
					},
				}, to, log.New(io.Discard, "", 0), counters)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				go runner.Maintain(ctx)
				time.Sleep(100 * time.Millisecond)
				now := time.Now()
				runner.Forward(core.Request{ID: "1", Class: c.class, Key: c.key, MemoryKB: 1, ReceivedAt: now, Deadline: now.Add(4 * time.Second)})
				time.Sleep(4 * time.Second)
				to.mu.Lock()
				a := to.ends["1"]
				to.mu.Unlock()
				got := fmt.Sprintf("%d %q wait %v final %v", a.Outcome, a.Body, a.RetryAfter, a.Final)
				for why, n := range counters.Snapshot() {
					if after, is := strings.CutPrefix(why, "fleet.failed."); is && n > 0 && strings.Contains(c.want, after) {
						got += " " + after
					}
				}
				if got != c.want {
					t.Errorf("got %s, want %s, counters %v", got, c.want, counters.Snapshot())
				}
				if states, _ := runner.States(); states[0].Boot != 17000 {
					t.Errorf("its start is taken for %d", states[0].Boot)
				}
				cancel()
				runner.Close()
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// answerWith answers a health check with one message and every request with another, whose third byte becomes the request's number.
func answerWith(t *testing.T, conn net.Conn, probe, reply string) {
	t.Helper()
	defer conn.Close()
	buf := make([]byte, 4096)
	for {
		n, err := conn.Read(buf)
		if err != nil {
			return
		}
		text := reply
		if strings.Contains(string(buf[:n]), "probe") {
			text = probe
		}
		b, err := hex.DecodeString(text)
		if err != nil {
			t.Error(err)
			return
		}
		b[2] = buf[2]
		if _, err := conn.Write(b); err != nil {
			return
		}
	}
}
