package runner_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/controlplane/quorum/member"
	"silverpath/internal/controlplane/runner"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// An owner of one build orders servers of another, over a journal that others read. Here a roll of one server and a tenant's move
// run against a group of one, with a server that is played by the test. It refuses the first order as a server does that has seen a
// higher epoch: the owner has the group rise above it, and its next order has the epoch after. What goes to the server, what stands
// in the journal and what is put into the map's folder is, to the byte, what an earlier build made of it.
func TestOrdersAndMapOfAnEarlierBuild(t *testing.T) {
	client := groupOfOne(t)
	calls := &calls{}
	dir := t.TempDir()
	first, err := os.ReadFile("testdata/map-1.json")
	if err != nil {
		t.Fatal(err)
	}
	first = []byte(strings.ReplaceAll(string(first), "MGMT", calls.serve(t)))
	if err := os.WriteFile(filepath.Join(dir, "0000000001.json"), first, 0o644); err != nil {
		t.Fatal(err)
	}
	o := runner.New(runner.Config{Name: "o1", Group: client, Log: zerolog.Nop(), Stats: &metrics.Counters{},
		Set: settings.Runner{Controllers: []string{"keeper", "conductor"}, Map: dir, DeadAfter: time.Second}})
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() { o.Run(ctx) })
	t.Cleanup(func() { cancel(); all.Wait() })

	item := func(duty, id string) (found string) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s is not over: %s\n%s", id, found, calls.text())
			}
			asking, cancel := context.WithTimeout(ctx, 5*time.Second)
			v, err := client.Read(asking, duty)
			cancel()
			if err != nil || v.Journals[duty] == nil || v.Journals[duty].Item(id) == nil {
				continue
			}
			it := v.Journals[duty].Item(id)
			found = fmt.Sprintf("%s %d %d %s %q", it.State, it.Epoch, it.Step, it.Plan, it.Note)
			if it.State.Finished() {
				return found
			}
		}
	}
	submit := func(duty, id, kind, args string) {
		t.Helper()
		asking, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		if r, err := client.Do(asking, statemachine.Command{Submit: &statemachine.SubmitItem{Duty: duty, ID: id, Kind: kind, Args: []byte(args)}}); err != nil || r.Error != "" {
			t.Fatal(err, r.Error)
		}
	}
	submit("conductor", "roll-1", "roll", `{"servers":["s0"],"cell_most":1,"all_most":1,"dwell_ms":100,"back_ms":20000,"worth_least":0}`)
	mgmt := calls.addr
	if got, want := item("conductor", "roll-1"), `done 4294967303 8 {"members":[{"name":"s0","cell":"c0","mgmt":"`+mgmt+`","stage":"back"}]} "1 servers"`; got != want {
		t.Errorf("\n got %s\nwant %s", got, want)
	}
	if got, want := calls.text(), "POST /api/evacuate?duty=conductor&epoch=4294967297&step=2\n"+
		"POST /api/evacuate?duty=conductor&epoch=4294967303&step=3\nPOST /api/rejoin?duty=conductor&epoch=4294967303&step=5\n"; got != want {
		t.Errorf("orders\n got %s\nwant %s", got, want)
	}

	submit("keeper", "move-1", "move", `{"tenant":"t","to":"c1"}`)
	got := item("keeper", "move-1")
	second, err := os.ReadFile(filepath.Join(dir, "0000000002.json"))
	if err != nil {
		t.Fatal(err)
	}
	if want := "done 4294967297 3  \"version 2\""; got != want && got != "done 4294967297 3 "+string(second)+" \"version 2\"" {
		t.Errorf("got %s\nwant %s", got, want)
	}
	text := string(second)
	if !strings.Contains(text, `"version": 2,`) || !strings.Contains(text, `"epoch": 4294967297,`) {
		t.Error(text)
	}
	names, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, n := range names {
		files = append(files, n.Name())
	}
	if !slices.Equal(files, []string{"0000000001.json", "0000000002.json"}) {
		t.Error(files)
	}
}

// groupOfOne is a group of one member, in this process.
func groupOfOne(t *testing.T) *quorum.Client {
	t.Helper()
	counters := &metrics.Counters{}
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := probe.Addr().String()
	probe.Close()
	m, err := member.Open(member.Config{Name: "q0", Group: "test", Addr: addr, Dir: t.TempDir(), Tick: 20 * time.Millisecond, Log: zerolog.Nop(), Stats: counters})
	if err != nil {
		t.Fatal(err)
	}
	words := msgpackrpc.NewCallServer(member.Name, counters, m.Answer)
	ln, err := listener.Listen(member.Name, addr, 64, func() time.Duration { return time.Minute }, words.Serve, log.New(io.Discard, "", 0), counters)
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve()
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	all.Go(func() {
		if err := m.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	client := &quorum.Client{Group: "test", Addrs: []string{addr}}
	t.Cleanup(func() {
		client.Close()
		ln.Close()
		cancel()
		all.Wait()
	})
	founding, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if _, err := client.Found(founding, lease.Terms{TTL: 6 * time.Second, Drift: 0.05}); err != nil {
		t.Fatal(err)
	}
	return client
}

// calls plays a server's admin address: it is ready unless it was evacuated, and refuses the first order.
type calls struct {
	addr string
	mu   sync.Mutex
	list []string
	out  bool
}

func (c *calls) serve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c.addr = ln.Addr().String()
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			line, err := bufio.NewReader(conn).ReadString('\n')
			if call, ok := strings.CutSuffix(line, " HTTP/1.1\r\n"); ok && err == nil {
				fmt.Fprint(conn, c.answer(call))
			}
			conn.Close()
		}
	})
	t.Cleanup(func() { ln.Close(); all.Wait() })
	return c.addr
}

func (c *calls) answer(call string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	yes, why := !c.out, ""
	if strings.HasPrefix(call, "POST ") {
		c.list = append(c.list, call)
		if yes = len(c.list) > 1; yes {
			c.out = strings.Contains(call, "evacuate")
		} else {
			why = "stale epoch 1.1 of conductor: 1.6 was seen"
		}
	}
	status := map[bool]string{true: "200 OK", false: "409 Conflict"}[yes]
	return "HTTP/1.1 " + status + "\r\nConnection: close\r\n\r\n" + why + "\n"
}

func (c *calls) text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.list, "\n") + "\n"
}
