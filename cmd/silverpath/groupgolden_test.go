package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/controlplane/quorum/member"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/statemachine"
	listener "silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// Operators' scripts read the output of the commands on the group and its controllers, and cron files hold
// their flags. The help, output, exit code and error message of each command, run against a group of one
// member in a known state, are compared with testdata/group/commands.txt.
func TestGroupCommandsWriteWhatTheyWrote(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := probe.Addr().String()
	probe.Close()
	counters := &metrics.Counters{}
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
	var running sync.WaitGroup
	running.Go(func() { _ = m.Run(ctx) })
	client := &quorum.Client{Group: "test", Addrs: []string{addr}}
	t.Cleanup(func() {
		client.Close()
		ln.Close()
		cancel()
		running.Wait()
	})

	var got strings.Builder
	command := func(args ...string) {
		t.Helper()
		code, out, message := runCommand(t, "", args...)
		fmt.Fprintf(&got, "$ %s\n[exit %d]\n%s%s", strings.Join(args, " "), code, out, message)
	}
	groupFlags := []string{"--group", "test", "--members", addr, "--within", "20s"}
	groupCommand := func(args ...string) { t.Helper(); command(append(args, groupFlags...)...) }
	apply := func(c statemachine.Command) {
		t.Helper()
		doCtx, cancel := context.WithTimeout(ctx, 20*time.Second)
		defer cancel()
		if r, err := client.Do(doCtx, c); err != nil || r.Error != "" {
			t.Fatal(err, r.Error)
		}
	}
	for _, c := range []string{"quorum", "quorum found", "quorum add", "quorum remove", "quorum status", "quorum try", "duty", "duty run", "duty list", "duty show", "duty hand",
		"duty pause", "duty resume", "fleet", "fleet roll", "fleet status", "fleet pause", "fleet resume", "fleet abort"} {
		command(append(strings.Fields(c), "--help")...)
	}
	command("duty", "list")
	groupCommand("quorum", "status")
	groupCommand("quorum", "found", "--lease", "0s")
	groupCommand("quorum", "found", "--drift", "0.7")
	groupCommand("quorum", "found", "--lease", "1m")
	groupCommand("quorum", "found", "--lease", "2m")
	groupCommand("duty", "list")
	groupCommand("duty", "show", "--duty", "keeper")
	groupCommand("duty", "show", "--duty", "cook")
	groupCommand("duty", "show")
	groupCommand("fleet", "status")
	apply(statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: "keeper", Process: "a#1"}})
	apply(statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: "keeper", Process: "b#2"}})
	apply(statemachine.Command{Lease: &lease.Request{Op: lease.Acquire, Duty: "conductor", Process: "b#2"}})
	apply(statemachine.Command{Submit: &statemachine.SubmitItem{Duty: "keeper", ID: "move-1", Kind: "move", Args: []byte(`{"tenant":"t","to":"c1"}`)}})
	apply(statemachine.Command{Journal: &controller.JournalWrite{Duty: "keeper", Process: "a#1", Epoch: 1<<32 | 1, Step: 1, Item: "move-1", State: controller.Intended, Attempts: 1, Plan: `{"version":2}`, Note: "n"}})
	groupCommand("duty", "hand", "--duty", "keeper", "--to", "b#2")
	groupCommand("duty", "hand", "--duty", "keeper", "--to", "c#3")
	groupCommand("duty", "pause", "--duty", "watcher", "--why", "a fire")
	groupCommand("duty", "pause", "--duty", "cook")
	groupCommand("duty", "list")
	groupCommand("duty", "list", "--json")
	groupCommand("duty", "show", "--duty", "keeper")
	groupCommand("duty", "show", "--duty", "keeper", "--json")
	groupCommand("duty", "resume", "--duty", "watcher")
	groupCommand("fleet", "roll", "--cell-most", "0")
	groupCommand("fleet", "roll", "--all-most", "0")
	groupCommand("fleet", "roll", "--back", "0s")
	groupCommand("fleet", "roll", "--dwell", "-1s")
	groupCommand("fleet", "roll", "--worth-least", "2")
	groupCommand("fleet", "roll", "--servers", "s0,s1", "--cell-most", "1", "--all-most", "2", "--dwell", "5s", "--back", "30s", "--worth-least", "0.9")
	rolloutID := regexp.MustCompile(`roll-[0-9a-f]{12}`).FindString(got.String())
	groupCommand("fleet", "status")
	apply(statemachine.Command{Journal: &controller.JournalWrite{Duty: "conductor", Process: "b#2", Epoch: 1<<32 | 1, Step: 1, Item: rolloutID, State: controller.Intended,
		Plan: `{"members":[{"name":"s0","cell":"a","mgmt":"m0","stage":"back"},{"name":"s1","cell":"b","mgmt":"m1","stage":"going_out"}]}`}})
	groupCommand("fleet", "pause")
	groupCommand("fleet", "status")
	groupCommand("fleet", "status", "--json")
	groupCommand("fleet", "resume")
	groupCommand("fleet", "abort")
	groupCommand("fleet", "resume")
	apply(statemachine.Command{Journal: &controller.JournalWrite{Duty: "conductor", Process: "b#2", Epoch: 1<<32 | 1, Step: 2, Item: rolloutID, State: controller.Failed, Note: "aborted by an operator"}})
	groupCommand("fleet", "status")
	groupCommand("fleet", "abort")
	groupCommand("quorum", "remove", "--name", "q9")
	groupCommand("quorum", "status")
	groupCommand("quorum", "status", "--json")

	text := strings.ReplaceAll(got.String(), addr, "ADDR")
	for _, mask := range [][2]string{
		{`roll-[0-9a-f]{12}`, "ROLL"}, {`"(wall|since|syncs|applied|commit)": \d+`, `"$1": 0`}, {`"(id|group_id)": "[0-9a-f]{16}"`, `"$1": "ID"`},
		{`"id": \d{10,}`, `"id": 0`}, {`(number|group) [0-9a-f]{16}`, "$1 ID"}, {`  \d  +\d+  +1       [0-9a-f]{16}`, "  TERM  APPLIED  1  ID"}, {`  +\d+s  +`, "  AGE  "},
		{`(APPLIED|AGE)  +`, "$1  "},
	} {
		text = regexp.MustCompile(mask[0]).ReplaceAllString(text, mask[1])
	}
	compareWithFile(t, "testdata/group/commands.txt", text)
}
