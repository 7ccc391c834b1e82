package restartlink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/lifecycle"
)

// runRecorder records the started runs. The test ends them.
type runRecorder struct {
	core *core.Core
	mu   sync.Mutex
	runs []string
}

func (r *runRecorder) Run(id, _ string, _ []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, id)
}
func (r *runRecorder) Resume(string, []byte) {}
func (r *runRecorder) Probe()                { r.core.Gauges(silverpath.Gauges{}) }

func (r *runRecorder) ran() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs...)
}

// process is one process of the service, simulated within the test process.
type process struct {
	*runRecorder
	link  *Link
	stats *metrics.Counters
	kill  func() // simulates the death of the process: closes its link and releases its slot
}

// startProcess starts a process of the service with its slots in dir. The test's cleanup kills it.
func startProcess(t *testing.T, dir string) *process {
	t.Helper()
	s := &metrics.Counters{}
	l := log.New(io.Discard, "", 0)
	link, err := Open(dir, "n1", l, s)
	if err != nil {
		t.Fatal(err)
	}
	c, err := core.New(core.Config{Name: "n1", MemoryMB: 64, Log: l, Stats: s, Pair: link.CoreConfig(func(bool) {}),
		Settings: silverpath.Settings{Cores: 4, MemoryKB: 1e6, MaxRunsPerCore: 8, Classes: []silverpath.Class{{Name: "oddaja",
			Objective: 20 * time.Second, Deadline: 30 * time.Second, Weight: 1, Effect: silverpath.Idempotent, IdempotencyWindow: 10 * time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	recorder := &runRecorder{core: c}
	if err := c.Attach(recorder, nil); err != nil {
		t.Fatal(err)
	}
	if err := link.Start(c); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go link.Run(ctx)
	c.RunnerReady()
	p := &process{runRecorder: recorder, link: link, stats: s}
	p.kill = sync.OnceFunc(func() {
		c.Stop()
		cancel()
		<-link.Released()
	})
	t.Cleanup(p.kill)
	return p
}

// await waits until the condition holds, and fails the test after 20 s.
func await(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 20 s: %s", description)
		}
	}
}

func (p *process) serves() bool { return p.core.Phase() == lifecycle.Serving }

// attempt sends a request with a key, received at the given time, and returns the channel that gets its answer.
func (p *process) attempt(id, key string, receivedAt time.Time) chan core.Answer {
	answer := make(chan core.Answer, 1)
	go p.core.Serve(core.Request{Front: "test", ID: id, Class: "oddaja", Key: key, MemoryKB: 1, Body: []byte(key),
		ReceivedAt: receivedAt, Deadline: time.Now().Add(20 * time.Second)}, func(a core.Answer) { answer <- a })
	return answer
}

// expectAnswer waits for an answer and checks its outcome and body.
func expectAnswer(t *testing.T, name string, answer chan core.Answer, outcome core.Outcome, body string) {
	t.Helper()
	select {
	case a := <-answer:
		if a.Outcome != outcome || string(a.Body) != body {
			t.Errorf("%s: %v %q, want %v %q", name, a.Outcome, a.Body, outcome, body)
		}
	case <-time.After(25 * time.Second):
		t.Fatalf("%s: no answer within 25 s", name)
	}
}

// A retry reaches the successor while the first attempt runs in the predecessor, after that run has ended, or after the predecessor has
// exited. A second run would take effect twice, so the retry must get the result of the first. The same holds for a retry that reaches the
// predecessor.
func TestRetryAtEitherProcessGetsTheRunsResult(t *testing.T) {
	dir := t.TempDir()
	predecessor := startProcess(t, dir)
	await(t, "the first process serves", predecessor.serves)
	now := time.Now()
	first := predecessor.attempt("a1", "k", now)
	await(t, "the run begins", func() bool { return len(predecessor.ran()) == 1 })
	successor := startProcess(t, dir)
	await(t, "the second process serves", successor.serves)
	if r, s := predecessor.core.PairRole(), successor.core.PairRole(); r != hotrestart.Predecessor || s != hotrestart.Successor ||
		!predecessor.core.SuccessorReady() || successor.core.SuccessorReady() {
		t.Fatalf("roles %v and %v", r, s)
	}
	retry := successor.attempt("b1", "k", now)
	await(t, "the retry at the successor waits for the run", func() bool { return successor.stats.Get("repeats", "test", "oddaja") == 1 })
	predecessor.core.RunEnded("a1", silverpath.OK, time.Millisecond, []byte("done"))
	expectAnswer(t, "the first attempt", first, core.Served, "done")
	expectAnswer(t, "a retry during the run", retry, core.Served, "done")
	expectAnswer(t, "a retry after the run", successor.attempt("b2", "k", now), core.Served, "done")

	grantedRequest := successor.attempt("b3", "l", now)
	await(t, "the successor runs the key that it was granted", func() bool { return len(successor.ran()) == 1 })
	retryAtPredecessor := predecessor.attempt("a2", "l", now)
	await(t, "the retry at the predecessor waits for the run", func() bool { return predecessor.stats.Get("repeats", "test", "oddaja") == 1 })
	successor.core.RunEnded("b3", silverpath.OK, time.Millisecond, []byte("more"))
	expectAnswer(t, "the successor's attempt", grantedRequest, core.Served, "more")
	expectAnswer(t, "its retry at the predecessor", retryAtPredecessor, core.Served, "more")

	predecessor.kill()
	await(t, "the successor is alone", func() bool { return successor.core.PairRole() == hotrestart.Sole })
	expectAnswer(t, "a retry after the predecessor has exited", successor.attempt("b4", "k", now), core.Served, "done")
	expectAnswer(t, "a retry of the successor's own run", successor.attempt("b5", "l", now), core.Served, "more")
	if len(predecessor.ran()) != 1 || len(successor.ran()) != 1 {
		t.Errorf("predecessor ran %v and successor ran %v, want one run each", predecessor.ran(), successor.ran())
	}
	newRequest := successor.attempt("b6", "m", now)
	await(t, "a new key runs at once", func() bool { return len(successor.ran()) == 2 })
	successor.core.RunEnded("b6", silverpath.OK, 0, nil)
	expectAnswer(t, "a new key", newRequest, core.Served, "")
}

// The link breaks while both processes serve. The predecessor continues to run requests and creates a mark, a file which says that
// the successor may not know all runs. The successor's request for an unknown key waits. Once the link is restored, the successor knows all runs. If the predecessor dies before that, the successor fails
// requests that the predecessor may have run, rather than run them twice.
func TestRunsWithoutALinkLeaveAMark(t *testing.T) {
	for _, linkRestored := range []bool{true, false} {
		t.Run(fmt.Sprint("link restored ", linkRestored), func(t *testing.T) {
			dir := t.TempDir()
			predecessor := startProcess(t, dir)
			successor := startProcess(t, dir)
			await(t, "both serve", func() bool { return predecessor.serves() && successor.serves() })
			successor.link.writeMu.Lock() // keeps the successor from writing on the next link
			predecessor.link.writeMu.Lock()
			predecessor.link.conn.Close()
			predecessor.link.writeMu.Unlock()
			now := time.Now()
			first := predecessor.attempt("a1", "k", now)
			await(t, "the predecessor runs without a link", func() bool { return len(predecessor.ran()) == 1 })
			marks, _ := filepath.Glob(filepath.Join(dir, "*.mark.*"))
			if len(marks) != 1 {
				t.Errorf("marks %v, want one", marks)
			}
			waiting := successor.attempt("b1", "l", now)
			if linkRestored {
				successor.link.writeMu.Unlock()
				await(t, "the key is granted on the next link", func() bool { return len(successor.ran()) == 1 })
				successor.core.RunEnded("b1", silverpath.OK, 0, []byte("l"))
				expectAnswer(t, "the waiting request", waiting, core.Served, "l")
				predecessor.core.RunEnded("a1", silverpath.OK, 0, []byte("k"))
				expectAnswer(t, "the predecessor's attempt", first, core.Served, "k")
				expectAnswer(t, "its retry at the successor", successor.attempt("b2", "k", now), core.Served, "k")
				await(t, "the mark is gone", func() bool { _, err := os.Stat(marks[0]); return os.IsNotExist(err) })
				return
			}
			predecessor.kill()
			successor.link.writeMu.Unlock()
			expectAnswer(t, "the waiting request", waiting, core.Failed, "")
			expectAnswer(t, "a retry of a run that the successor does not know", successor.attempt("b2", "k", now), core.Failed, "")
			newRequest := successor.attempt("b3", "n", now.Add(11*time.Second)) // past the window of any run of the predecessor
			await(t, "a request received after the window is run", func() bool { return len(successor.ran()) == 1 })
			successor.core.RunEnded("b3", silverpath.OK, 0, nil)
			expectAnswer(t, "a request received after the window", newRequest, core.Served, "")
		})
	}
}

// The link is restored and all runs are listed, but another run begins without a link before the mark is removed. If the mark were removed
// then, a successor would run that request again, so it is removed only if no run has required it since the listing.
func TestMarkStaysForARunThatBeganSince(t *testing.T) {
	dir := t.TempDir()
	predecessor := startProcess(t, dir)
	successor := startProcess(t, dir)
	await(t, "both serve", func() bool { return predecessor.serves() && successor.serves() })
	successor.link.writeMu.Lock() // keeps the successor from writing on the next link
	defer successor.link.writeMu.Unlock()
	predecessor.link.writeMu.Lock()
	predecessor.link.conn.Close()
	predecessor.link.writeMu.Unlock()
	predecessor.attempt("a1", "k", time.Now())
	await(t, "the predecessor runs the first request without a link", func() bool { return len(predecessor.ran()) == 1 })
	mark, listed := predecessor.link.slots.markPath(predecessor.link.startedAt), predecessor.core.PairMarks()
	predecessor.attempt("a2", "l", time.Now())
	await(t, "the predecessor runs the second request without a link", func() bool { return len(predecessor.ran()) == 2 })
	predecessor.link.clearMark(listed)
	if _, err := os.Stat(mark); err != nil {
		t.Errorf("the mark was removed although the second run requires it: %v", err)
	}
	predecessor.link.clearMark(predecessor.core.PairMarks())
	if _, err := os.Stat(mark); !os.IsNotExist(err) {
		t.Errorf("the mark was not removed although no run requires it: %v", err)
	}
	predecessor.core.RunEnded("a1", silverpath.OK, 0, nil)
	predecessor.core.RunEnded("a2", silverpath.OK, 0, nil)
}

// A third process starts while two are alive. It has no slot and is not ready until one of the two exits. Files left by dead processes must
// not prevent a start.
func TestThirdProcessWaitsForASlot(t *testing.T) {
	dir := t.TempDir()
	dead := startProcess(t, dir)
	dead.link.slots.markPath(1)
	if err := os.WriteFile(dead.link.slots.markPath(1), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	dead.kill()
	if ln, err := net.Listen("unix", filepath.Join(dir, dead.link.slots.stem+".0.sock")); err != nil {
		t.Fatal(err)
	} else {
		ln.(*net.UnixListener).SetUnlinkOnClose(false)
		ln.Close() // leaves a socket file without a listener
	}
	predecessor := startProcess(t, dir)
	await(t, "the first process serves despite stale files", predecessor.serves)
	successor := startProcess(t, dir)
	await(t, "the second process serves", successor.serves)
	third := startProcess(t, dir)
	time.Sleep(5 * peerCheckInterval)
	if ready, why := third.core.Ready(); ready || !strings.Contains(why, "another process") || third.stats.Get("handover", "third") != 1 {
		t.Fatalf("the third process is ready, or not counted as waiting for a slot: reason %q", why)
	}
	predecessor.kill()
	await(t, "the third process takes the free slot and serves", third.serves)
	if successor.core.PairRole() != hotrestart.Predecessor || third.core.PairRole() != hotrestart.Successor {
		t.Errorf("roles %v and %v", successor.core.PairRole(), third.core.PairRole())
	}
}

// The predecessor exits while the successor writes to it, so the successor's write fails. If the predecessor's unread messages were then
// discarded with the link, the successor would not know all runs and would fail new keys. It must read them before it gives up the link.
func TestPredecessorLeavesAsTheSuccessorWrites(t *testing.T) {
	for round := range 15 {
		dir := t.TempDir()
		predecessor := startProcess(t, dir)
		successor := startProcess(t, dir)
		await(t, "both serve", func() bool { return predecessor.serves() && successor.serves() })
		writesDone := make(chan struct{})
		go func() {
			defer close(writesDone)
			for i := range 200 {
				if i%2 == 0 {
					successor.core.Evacuate()
				} else {
					successor.core.Rejoin()
				}
				time.Sleep(20 * time.Microsecond)
			}
		}()
		time.Sleep(time.Duration(round) * 50 * time.Microsecond)
		predecessor.kill()
		await(t, "the successor is alone", func() bool { return successor.core.PairRole() == hotrestart.Sole })
		<-writesDone
		newRequest := successor.attempt("b1", "k", time.Now())
		select {
		case answer := <-newRequest:
			t.Fatalf("round %d: a new key is answered %v without a run", round, answer.Outcome)
		case <-time.After(5 * time.Millisecond):
		}
		successor.core.RunEnded("b1", silverpath.OK, 0, nil)
		expectAnswer(t, "a new key", newRequest, core.Served, "")
		successor.kill()
	}
}

var sampleMessages = []hotrestart.Message{
	{Kind: hotrestart.Hello, StartedAt: 1764576000123456789, PeerStartedAt: 5, EvacuationSeq: 3, UnknownUntil: 9, Sole: true, Ready: true},
	{Kind: hotrestart.Status, Evacuated: true},
	{Kind: hotrestart.SyncComplete},
	{Kind: hotrestart.Run, Execution: hotrestart.Execution{Key: "oddaja\x00k", ID: "9b1f", Fingerprint: 1 << 63, ReceivedAt: -1, ExpiresAt: 7,
		Window: time.Second, Stage: hotrestart.Succeeded, Result: []byte("result")}},
	{Kind: hotrestart.Claim, Execution: hotrestart.Execution{Key: "k"}},
}

// A third process takes the slot of a dead one before the peer has seen the slot free, so the peer expects the dead process there. The
// third process must send its Hello before it closes the link, since the peer learns of the replacement only from it.
func TestProcessTakenForAnotherSaysWhoItIs(t *testing.T) {
	dir := t.TempDir()
	peerSlots, err := openSlots(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer peerSlots.close()
	if slot, ok := peerSlots.take(); !ok || slot != 0 {
		t.Fatal(slot, ok)
	}
	ln, err := net.Listen("unix", peerSlots.socketPath(0))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	startProcess(t, dir)
	for link := range 3 { // each iteration is one link
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(appendMessage(nil, hotrestart.Message{Kind: hotrestart.Hello, StartedAt: 1, PeerStartedAt: 7, Sole: true}))
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		m, _, err := readMessage(bufio.NewReader(conn), nil)
		if err != nil || m.Kind != hotrestart.Hello || m.StartedAt == 0 {
			t.Errorf("link %d: got %+v, %v, want a Hello of the process", link, m, err)
		}
		conn.Close()
	}
}

// Frames are read correctly however the input is fragmented. A truncated or malformed frame is an error.
func TestFramesInPiecesAndCut(t *testing.T) {
	var all []byte
	for _, m := range sampleMessages {
		all = appendMessage(all, m)
	}
	r := bufio.NewReaderSize(oneByteReader{bytes.NewReader(all)}, 16)
	var frame []byte
	for _, m := range sampleMessages {
		got, f, err := readMessage(r, frame)
		if frame = f; err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("read %+v, %v, want %+v", got, err, m)
		}
	}
	whole := appendMessage(nil, sampleMessages[3])
	for i := 1; i < len(whole); i++ {
		if _, _, err := readMessage(bufio.NewReader(bytes.NewReader(whole[:i])), nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("frame truncated at byte %d: %v, want io.ErrUnexpectedEOF", i, err)
		}
	}
	for _, bad := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x02\x01\x01", "\x00\x00\x00\x03\x02\x01\x00",
		"\x00\x00\x00\x03\x01\x09\x00", "\x00\x00\x00\x04\x01\x01\x00\x00", "\x00\x00\x00\x04\x01\x05\x00\x00", "\x00\x00\x00\x03\x01\x03\x00"} {
		if _, _, err := readMessage(bufio.NewReader(strings.NewReader(bad)), nil); !errors.Is(err, errFrame) {
			t.Errorf("%q: %v, want errFrame", bad, err)
		}
	}
}

type oneByteReader struct{ r io.Reader }

func (o oneByteReader) Read(b []byte) (int, error) { return o.r.Read(b[:min(1, len(b))]) }

func FuzzFrame(f *testing.F) {
	for _, m := range sampleMessages {
		f.Add(appendMessage(nil, m)[4:])
	}
	f.Add([]byte{1, 4, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := parseMessage(b)
		if err != nil {
			return
		}
		reparsed, err := parseMessage(appendMessage(nil, m)[4:])
		if err != nil || !reflect.DeepEqual(reparsed, m) {
			t.Fatalf("message %+v is parsed back as %+v, %v", m, reparsed, err)
		}
	})
}
