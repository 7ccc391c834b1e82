package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/builtinworker"
	"silverpath/internal/transport/client"
	"silverpath/internal/transport/msgpackrpc"
)

// runsWithPrefix returns the number of runs of the bodies that begin with a prefix.
func runsWithPrefix(i *builtinworker.Interpreter, prefix string) (n int) {
	for body, runs := range i.Runs() {
		if strings.HasPrefix(body, prefix) {
			n += runs
		}
	}
	return n
}

// dialFlooded opens a connection to a target.
func dialFlooded(t testing.TB, addr string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return c.(*net.TCPConn)
}

// leave closes a connection, in order or with a reset.
func leave(t testing.TB, c *net.TCPConn, reset bool) {
	t.Helper()
	if reset {
		if err := c.SetLinger(0); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
}

// pause stops the process of a target, and waits until each of its threads has stopped: until then one may still read.
func (f floodTarget) pause(t testing.TB) {
	t.Helper()
	if err := unix.Kill(f.Pid(), unix.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); !allThreadsStopped(t, f.Pid()); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("process %d doesn't stop", f.Pid())
		}
	}
}

// allThreadsStopped reports whether every thread of a process is stopped by a signal.
func allThreadsStopped(t testing.TB, pid int) bool {
	t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil || len(files) == 0 {
		t.Fatalf("threads of process %d: %v, %v", pid, files, err)
	}
	for _, file := range files {
		stat, err := os.ReadFile(file)
		if err != nil {
			return false // the thread has just ended
		}
		if _, state, _ := strings.Cut(string(stat), ") "); !strings.HasPrefix(state, "T") {
			return false
		}
	}
	return true
}

// resume continues a paused process, after the kernel had time to deliver what clients have sent.
func (f floodTarget) resume(t testing.TB) {
	t.Helper()
	time.Sleep(50 * time.Millisecond)
	if err := unix.Kill(f.Pid(), unix.SIGCONT); err != nil {
		t.Fatal(err)
	}
}

// Guards against requests that are sent on after their client has left: unread when it resets its connection or closes an SCGI connection, and
// queued when it has closed a connection of the platform's front in order, which only a failed write of an answer shows.
func TestRequestsOfAClientThatLeftAreNotSentOn(t *testing.T) {
	t.Parallel()
	const (
		requests = 40
		cores    = 2
		// inProgress bounds the runs that had begun before the first write of an answer failed: those that run at one time, and those that follow
		// the ones whose answers were written before the peer's reset had arrived.
		inProgress = 16
	)
	targets, interpreter := startFloodTargetsWithWork(t, cores, 40*time.Millisecond)
	for name, f := range targets {
		f.checkServes(t)
		for _, class := range []string{"oddaja", "zapis", "krog"} {
			pipelined := func(prefix string) {
				c := dialFlooded(t, f.addr)
				var b []byte
				for n := range uint64(requests) {
					id := fmt.Sprintf("%s %d", prefix, n)
					b = msgpackrpc.AppendRequest(b, n+1, class, []byte(id), "i", id, "k", id, "s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "1900", "m", "1")
				}
				if _, err := c.Write(b); err != nil {
					t.Fatal(err)
				}
				leave(t, c, strings.Contains(prefix, "reset"))
			}
			single := func(prefix string) {
				for n := range requests {
					c := dialFlooded(t, f.scgiAddr)
					body := fmt.Sprintf("%s %d", prefix, n)
					if _, err := c.Write([]byte(scgiHead(class, len(body), "HTTP_IDEMPOTENCY_KEY", body) + body)); err != nil {
						t.Fatal(err)
					}
					leave(t, c, false)
				}
			}
			for kind, c := range map[string]struct {
				leave func(prefix string)
				want  int // largest number of runs
			}{"msgpack reset": {pipelined, 0}, "msgpack closed": {pipelined, inProgress}, "scgi closed": {single, 0}} {
				prefix := fmt.Sprintf("%s %s %s", name, class, kind)
				f.pause(t) // all that the client does arrives before the process reads
				c.leave(prefix)
				f.resume(t)
				time.Sleep(700 * time.Millisecond) // for a quarter of the requests that wait
				n := runsWithPrefix(interpreter, prefix)
				t.Logf("%s: %d of %d requests ran", prefix, n, requests)
				if n > c.want {
					t.Errorf("%s: %d of %d requests ran, want at most %d", prefix, n, requests, c.want)
				}
			}
		}
		f.checkServes(t)
	}
}

// Guards against a second run of a request with an effect and without an idempotency key that comes again under its id after its client has
// left. The id was remembered for the deadline of its class only, however long the client waits.
func TestIDThatComesAgainDoesNotRunTwice(t *testing.T) {
	t.Parallel()
	targets, interpreter := startFloodTargetsWithWork(t, 8, 5*time.Millisecond)
	for name, f := range targets {
		f.checkServes(t)
		id := fmt.Sprintf("%016x", time.Now().UnixNano())
		body := "id again " + name
		send := func() {
			c := dialFlooded(t, f.addr)
			b := msgpackrpc.AppendRequest(nil, 1, "zapis", []byte(body), "i", id, "s", strconv.FormatInt(time.Now().UnixMilli(), 10), "d", "10000", "m", "1")
			if _, err := c.Write(b); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // long enough for the run
			leave(t, c, true)
		}
		send()
		time.Sleep(2500 * time.Millisecond) // over the deadline of the class, 2 s
		send()
		if n := interpreter.Runs()[body]; n != 1 {
			t.Errorf("%s: %d runs, want 1", name, n)
		}
	}
}

// Guards against a second run of such a request at the other process of a hot restart, which did not know the ids of the first one.
func TestIDThatComesAgainAfterAHotRestart(t *testing.T) {
	t.Parallel()
	for name, oldStays := range map[string]bool{"the old process has left": false, "both processes": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newPairService(t, shortWindow)
			edit := d.Edit
			d.Edit = func(text string) string {
				return strings.ReplaceAll(edit(text), `"effect":"pure"`, `"effect":"side_effect"`)
			}
			old := d.Start()
			old.AwaitReady(t)
			attempt := func(n int) string {
				id := fmt.Sprintf("%016x", 0xabc0+n)
				a, err := client.Do(client.MessagePack, d.Addr, client.Request{Class: "krog", ID: id, Body: []byte(id), Timeout: 900 * time.Millisecond})
				if err != nil {
					t.Fatal(err)
				}
				return a.Outcome
			}
			next := old
			for n := range 10 {
				if got := attempt(n); got != "served" {
					t.Fatalf("first attempt %d: %s", n, got)
				}
				if n == 4 { // the successor learns of the first five when it starts, and of the others as they run
					next = d.Start()
					next.AwaitReady(t)
				}
			}
			if !oldStays {
				old.Leave(t)
			}
			for n := range 10 {
				for range 4 { // new connections reach either process
					if got := attempt(n); got == "served" || got == "refused" {
						t.Errorf("attempt %d again: %s, want a failure", n, got)
					}
				}
			}
			for body, n := range d.Runs() {
				if n != 1 {
					t.Errorf("%s: %d runs", body, n)
				}
			}
		})
	}
}
