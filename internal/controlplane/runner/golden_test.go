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

// Compatibility with an earlier build: a runner commands servers of other builds and writes a journal and map versions that
// other builds read. The test runs a rollout of one server and a move of a tenant with a group of one member and a fake
// server. The server refuses the first command like one that has seen a higher epoch: the runner raises the group's epoch
// above it and sends the next command with the epoch after. The requests to the server, the journal and the files in the
// map's folder must be byte for byte those of the earlier build.
func TestOrdersAndMapOfAnEarlierBuild(t *testing.T) {
	client := groupOfOne(t)
	server := &fakeServer{}
	dir := t.TempDir()
	first, err := os.ReadFile("testdata/map-1.json")
	if err != nil {
		t.Fatal(err)
	}
	first = []byte(strings.ReplaceAll(string(first), "MGMT", server.serve(t)))
	if err := os.WriteFile(filepath.Join(dir, "0000000001.json"), first, 0o644); err != nil {
		t.Fatal(err)
	}
	process := runner.New(runner.Config{Name: "o1", Group: client, Log: zerolog.Nop(), Stats: &metrics.Counters{},
		Set: settings.Runner{Controllers: []string{"keeper", "conductor"}, Map: dir, DeadAfter: time.Second}})
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { process.Run(ctx) })
	t.Cleanup(func() { cancel(); goroutines.Wait() })

	waitForItem := func(duty, id string) (found string) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("item %s has not finished: %s\n%s", id, found, server.commandLines())
			}
			requestCtx, cancel := context.WithTimeout(ctx, 5*time.Second)
			v, err := client.Read(requestCtx, duty)
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
		requestCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		if r, err := client.Do(requestCtx, statemachine.Command{Submit: &statemachine.SubmitItem{Duty: duty, ID: id, Kind: kind, Args: []byte(args)}}); err != nil || r.Error != "" {
			t.Fatal(err, r.Error)
		}
	}
	submit("conductor", "roll-1", "roll", `{"servers":["s0"],"cell_most":1,"all_most":1,"dwell_ms":100,"back_ms":20000,"worth_least":0}`)
	adminAddr := server.addr
	if got, want := waitForItem("conductor", "roll-1"), `done 4294967303 8 {"members":[{"name":"s0","cell":"c0","mgmt":"`+adminAddr+`","stage":"back"}]} "1 servers"`; got != want {
		t.Errorf("\n got %s\nwant %s", got, want)
	}
	if got, want := server.commandLines(), "POST /api/evacuate?duty=conductor&epoch=4294967297&step=2\n"+
		"POST /api/evacuate?duty=conductor&epoch=4294967303&step=3\nPOST /api/rejoin?duty=conductor&epoch=4294967303&step=5\n"; got != want {
		t.Errorf("commands\n got %s\nwant %s", got, want)
	}

	submit("keeper", "move-1", "move", `{"tenant":"t","to":"c1"}`)
	got := waitForItem("keeper", "move-1")
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

// groupOfOne starts a group of one member in this process and returns a client of it.
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
	callServer := msgpackrpc.NewCallServer(member.ListenerName, counters, m.HandleCall)
	ln, err := listener.Listen(member.ListenerName, addr, 64, func() time.Duration { return time.Minute }, callServer.Serve, log.New(io.Discard, "", 0), counters)
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
	foundCtx, cancelFound := context.WithTimeout(ctx, 20*time.Second)
	defer cancelFound()
	if _, err := client.CreateGroup(foundCtx, lease.Terms{TTL: 6 * time.Second, Drift: 0.05}); err != nil {
		t.Fatal(err)
	}
	return client
}

// fakeServer is the fake admin address of a server. It records commands, refuses the first one, and reports that it is ready
// unless it was evacuated.
type fakeServer struct {
	addr      string
	mu        sync.Mutex
	commands  []string
	evacuated bool
}

func (s *fakeServer) serve(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.addr = ln.Addr().String()
	var all sync.WaitGroup
	all.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			line, err := bufio.NewReader(conn).ReadString('\n')
			if call, ok := strings.CutSuffix(line, " HTTP/1.1\r\n"); ok && err == nil {
				fmt.Fprint(conn, s.answer(call))
			}
			conn.Close()
		}
	})
	t.Cleanup(func() { ln.Close(); all.Wait() })
	return s.addr
}

func (s *fakeServer) answer(call string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted, reason := !s.evacuated, ""
	if strings.HasPrefix(call, "POST ") {
		s.commands = append(s.commands, call)
		if accepted = len(s.commands) > 1; accepted {
			s.evacuated = strings.Contains(call, "evacuate")
		} else {
			reason = "stale epoch 1.1 of conductor: 1.6 was seen"
		}
	}
	status := map[bool]string{true: "200 OK", false: "409 Conflict"}[accepted]
	return "HTTP/1.1 " + status + "\r\nConnection: close\r\n\r\n" + reason + "\n"
}

func (s *fakeServer) commandLines() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.commands, "\n") + "\n"
}
