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

// transcript records the bytes of connections, in the order in which they were opened.
type transcript struct {
	mu    sync.Mutex
	conns []*recordedConn
}

// recordedConn is a connection that records the bytes of each direction.
type recordedConn struct {
	net.Conn
	transcript     *transcript
	name           string
	sent, received []byte
}

func (c *recordedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transcript.mu.Lock()
	defer c.transcript.mu.Unlock()
	c.sent = append(c.sent, b[:n]...)
	return n, err
}

func (c *recordedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transcript.mu.Lock()
	defer c.transcript.mu.Unlock()
	c.received = append(c.received, b[:n]...)
	return n, err
}

func (tr *transcript) record(name string, conn net.Conn) net.Conn {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	recorded := &recordedConn{Conn: conn, transcript: tr, name: name}
	tr.conns = append(tr.conns, recorded)
	return recorded
}

func (tr *transcript) String() string {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	var b strings.Builder
	conns := slices.Clone(tr.conns)
	slices.SortStableFunc(conns, func(a, b *recordedConn) int { return strings.Compare(a.name, b.name) })
	for _, c := range conns {
		fmt.Fprintf(&b, "connection to %s\n> %x\n< %x\n", c.name, c.sent, c.received)
	}
	return b.String()
}

// During a rolling upgrade a router of one build talks to servers of another. If a field were renamed or a value encoded differently, the
// other side would ignore it silently: a keyed request would carry no map ID, or a restart would not be noticed. So testdata records all bytes
// that a router and its servers sent each other, as written by a build from before the identifiers were renamed. The scenario has health
// checks, reads, a keyed request, its repeat, and a keyed request whose tenant has moved.
func TestBytesBetweenRouterAndServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := &transcript{}
		quiet, counters := log.New(io.Discard, "", 0), &metrics.Counters{}
		servers := map[string]*testServer{}
		m := &cells.Map{Version: 3, KeyWindow: 10 * time.Second, MaxClockSkew: 50 * time.Millisecond, Lease: time.Hour, CallerTimeout: 4 * time.Second,
			Cells: []cells.Cell{{Name: "a", Capacity: 100}, {Name: "b", Capacity: 100}},
			Tenants: []cells.Tenant{{Name: "kviz", Rate: 20, Homes: []cells.Home{{Cell: "a"}, {Cell: "b", Since: time.Now().Add(4 * time.Second).UnixMilli()}}},
				{Homes: []cells.Home{{Cell: "b"}}}}}
		for i, cell := range []string{"a", "b"} {
			s := &testServer{runTime: 20 * time.Millisecond}
			s.start(t)
			name := fmt.Sprint("s", i)
			servers[name] = s
			m.Servers = append(m.Servers, cells.Server{Name: name, Addr: name, Cell: cell, Weight: 1, JoinsAt: time.Now().UnixMilli()})
		}
		events := &fakeCore{answers: map[string]core.Answer{}}
		runner, err := New(Config{
			Name: "router-1", Source: fixedMap{m}, Cores: 100, HealthCheckInterval: 500 * time.Millisecond, MaxConnections: 50, LoadBalancing: loadbalancer.Config{RetryRatio: 1, HedgeRatio: 1, Seed: 3},
			Dial: func(_ context.Context, addr string) (*msgpackrpc.Conn, error) {
				return msgpackrpc.NewConn(tr.record(addr, servers[addr].pipe.Dial())), nil
			},
		}, events, quiet, counters)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go runner.Maintain(ctx)
		time.Sleep(750 * time.Millisecond)
		answers := ""
		for i, req := range []core.Request{
			{Class: "read", Body: []byte("one")},
			{Class: "read", Tenant: "kviz", Rank: 0.25, Caller: 2, MemoryKB: 12.5, Body: []byte("two")},
			{Class: "pay", Tenant: "other", Body: []byte{}},
			{Class: "sheet", Tenant: "kviz", Key: "k1", MemoryKB: 1, Body: []byte("sheet of k1")},
			{Class: "sheet", Tenant: "kviz", Key: "k1", MemoryKB: 1, Body: []byte("sheet of k1")},
			{Class: "sheet", Tenant: "kviz", Key: "k1", MemoryKB: 1, Body: []byte("sheet of k1")}, // the tenant has moved by now
			{Class: "sheet", Tenant: "kviz", Key: "k2", MemoryKB: 1, Body: []byte("sheet of k2")},
		} {
			req.ID, req.ReceivedAt = fmt.Sprintf("%016x", i+1), time.Now()
			req.Deadline = req.ReceivedAt.Add(4 * time.Second)
			runner.Forward(req)
			time.Sleep(740 * time.Millisecond)
			events.mu.Lock()
			a := events.answers[req.ID]
			events.mu.Unlock()
			answers += fmt.Sprintf("answer to %s: %d %q wait %v final %v\n", req.ID, a.Outcome, a.Body, a.RetryAfter, a.Final)
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

// A router must interpret the answers of servers of the previous build as that build's router did. Each case has an answer as literal bytes,
// the third of which is the request's number, and the expected result.
func TestAnswersOfAServerAsARouterReadsThem(t *testing.T) {
	const (
		healthCheckReply = "940101c092c381a162a53137303030"             // incarnation 17000
		served           = "940100c092c40568656c6c6f81a162a53137303030" // "hello"
	)
	for _, c := range []struct{ name, class, key, reply, want string }{
		{"served", "pay", "", served, `0 "hello" wait 0s final false`},
		{"an empty result", "pay", "", "940100c092c40081a162a53137303030", `0 "" wait 0s final false`},
		{"failed", "pay", "", "94010092a54572726f7280c0", `2 "" wait 0s final false`},
		{"an error of another name", "pay", "", "94010092a5496e6e657280c0", `2 "" wait 0s final false`},
		{"full, with a wait", "pay", "", "94010092a446756c6c81a177a431323530c0", `1 "" wait 1.25s final false`},
		{"full, for good", "pay", "", "94010092a446756c6c82a177a431323530a16ca131c0", `1 "" wait 1.25s final true`},
		{"full without a wait", "pay", "", "94010092a446756c6c80c0", `1 "" wait 0s final false`},
		{"a keyed request is served", "sheet", "k", served, `0 "hello" wait 0s final false`},
		{"a keyed request's home is full", "sheet", "k", "94010092a446756c6c81a177a431323530c0", `1 "" wait 1.25s final false`},
		{"restarted", "sheet", "k", "94010092a446756c6c82a177a431323530a178a4626f6f74c0", `2 "" wait 0s final false home_boot`},
		{"has seen a newer map", "sheet", "k", "94010092a446756c6c82a177a431323530a178a6626568696e64c0", `2 "" wait 0s final false home_behind`},
		{"the key has moved", "sheet", "k", "94010092a446756c6c82a177a431323530a178a56d6f766564c0", `2 "" wait 0s final false moved_nowhere`},
		{"maps conflict", "sheet", "k", "94010092a446756c6c82a177a431323530a178ac636f6e747261646963746564c0", `2 "" wait 0s final false home_contradicted`},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &cells.Map{Version: 3, KeyWindow: time.Second, Lease: time.Hour, CallerTimeout: time.Second, Cells: []cells.Cell{{Name: "a"}},
					Servers: []cells.Server{{Name: "s", Addr: "s", Cell: "a", Weight: 1}}, Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}}}
				events, counters := &fakeCore{answers: map[string]core.Answer{}}, &metrics.Counters{}
				runner, err := New(Config{
					Name: "r", Source: fixedMap{m}, Cores: 1, HealthCheckInterval: time.Hour, MaxConnections: 9, LoadBalancing: loadbalancer.Config{Seed: 3},
					Dial: func(context.Context, string) (*msgpackrpc.Conn, error) {
						client, server := net.Pipe()
						go answerWith(t, server, healthCheckReply, c.reply)
						return msgpackrpc.NewConn(client), nil
					},
				}, events, log.New(io.Discard, "", 0), counters)
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithCancel(t.Context())
				go runner.Maintain(ctx)
				time.Sleep(100 * time.Millisecond)
				now := time.Now()
				runner.Forward(core.Request{ID: "1", Class: c.class, Key: c.key, MemoryKB: 1, ReceivedAt: now, Deadline: now.Add(4 * time.Second)})
				time.Sleep(4 * time.Second)
				events.mu.Lock()
				a := events.answers["1"]
				events.mu.Unlock()
				got := fmt.Sprintf("%d %q wait %v final %v", a.Outcome, a.Body, a.RetryAfter, a.Final)
				for name, n := range counters.Snapshot() {
					if reason, ok := strings.CutPrefix(name, "fleet.failed."); ok && n > 0 && strings.Contains(c.want, reason) {
						got += " " + reason
					}
				}
				if got != c.want {
					t.Errorf("got %s, want %s, counters %v", got, c.want, counters.Snapshot())
				}
				if states, _ := runner.States(); states[0].Boot != 17000 {
					t.Errorf("incarnation %d, want 17000", states[0].Boot)
				}
				cancel()
				runner.Close()
				time.Sleep(2 * time.Hour)
			})
		})
	}
}

// answerWith answers each health check with the message probe and each request with reply. It sets the third byte of either to the number
// of the request.
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
