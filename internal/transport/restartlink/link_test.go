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

// runRecorder notes what is run; runs end when the test says so.
type runRecorder struct {
	core *core.Core
	mu   sync.Mutex
	runs []string
}

func (w *runRecorder) Run(id, _ string, _ []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, id)
}
func (w *runRecorder) Resume(string, []byte) {}
func (w *runRecorder) Probe()                { w.core.Gauges(silverpath.Gauges{}) }

func (w *runRecorder) ran() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.runs...)
}

// process is a process of the service, in this one.
type process struct {
	*runRecorder
	link  *Link
	stats *metrics.Counters
	die   func() // as a process does: its link and its slot are gone
}

func start(t *testing.T, dir string) *process {
	t.Helper()
	s := &metrics.Counters{}
	l := log.New(io.Discard, "", 0)
	p, err := Open(dir, "n1", l, s)
	if err != nil {
		t.Fatal(err)
	}
	c, err := core.New(core.Config{Name: "n1", MemoryMB: 64, Log: l, Stats: s, Pair: p.CoreConfig(func(bool) {}),
		Settings: silverpath.Settings{Cores: 4, MemoryKB: 1e6, MaxRunsPerCore: 8, Classes: []silverpath.Class{{Name: "oddaja",
			Objective: 20 * time.Second, Deadline: 30 * time.Second, Weight: 1, Effect: silverpath.Idempotent, IdempotencyWindow: 10 * time.Second}}}})
	if err != nil {
		t.Fatal(err)
	}
	w := &runRecorder{core: c}
	if err := c.Attach(w, nil); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(c); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go p.Run(ctx)
	c.RunnerReady()
	q := &process{runRecorder: w, link: p, stats: s}
	q.die = sync.OnceFunc(func() {
		c.Stop()
		cancel()
		<-p.Released()
	})
	t.Cleanup(q.die)
	return q
}

func await(t *testing.T, what string, yes func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !yes(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in 20 s: %s", what)
		}
	}
}

func (p *process) serves() bool { return p.core.Phase() == lifecycle.Serving }

func (p *process) attempt(id, key string, reached time.Time) chan core.Answer {
	answer := make(chan core.Answer, 1)
	go p.core.Serve(core.Request{Front: "test", ID: id, Class: "oddaja", Key: key, MemoryKB: 1, Body: []byte(key),
		ReceivedAt: reached, Deadline: time.Now().Add(20 * time.Second)}, func(a core.Answer) { answer <- a })
	return answer
}

func want(t *testing.T, what string, answer chan core.Answer, out core.Outcome, body string) {
	t.Helper()
	select {
	case a := <-answer:
		if a.Outcome != out || string(a.Body) != body {
			t.Errorf("%s: %v %q, want %v %q", what, a.Outcome, a.Body, out, body)
		}
	case <-time.After(25 * time.Second):
		t.Fatalf("%s: no answer", what)
	}
}

// A retry reaches the newer process while its first attempt runs in the older one, after it ended there, or after the older one has left.
// Run again it would take effect twice: it gets the first run's result, and so does one the other way round.
func TestRetryAtEitherProcessGetsTheRunsResult(t *testing.T) {
	dir := t.TempDir()
	a := start(t, dir)
	await(t, "the first serves", a.serves)
	now := time.Now()
	first := a.attempt("a1", "k", now)
	await(t, "the run begins", func() bool { return len(a.ran()) == 1 })
	b := start(t, dir)
	await(t, "the second serves", b.serves)
	if r, s := a.core.PairRole(), b.core.PairRole(); r != hotrestart.Predecessor || s != hotrestart.Successor || !a.core.Successor() || b.core.Successor() {
		t.Fatalf("%v and %v", r, s)
	}
	during := b.attempt("b1", "k", now)
	await(t, "the repeat is linked", func() bool { return b.stats.Get("repeats", "test", "oddaja") == 1 })
	a.core.RunEnded("a1", silverpath.OK, time.Millisecond, []byte("done"))
	want(t, "the first", first, core.Served, "done")
	want(t, "a repeat meanwhile", during, core.Served, "done")
	want(t, "a repeat afterwards", b.attempt("b2", "k", now), core.Served, "done")

	other := b.attempt("b3", "l", now)
	await(t, "the younger runs what it was granted", func() bool { return len(b.ran()) == 1 })
	back := a.attempt("a2", "l", now)
	await(t, "the repeat is linked", func() bool { return a.stats.Get("repeats", "test", "oddaja") == 1 })
	b.core.RunEnded("b3", silverpath.OK, time.Millisecond, []byte("more"))
	want(t, "the younger's", other, core.Served, "more")
	want(t, "the elder's repeat", back, core.Served, "more")

	a.die()
	await(t, "the second is alone", func() bool { return b.core.PairRole() == hotrestart.Sole })
	want(t, "a repeat after the elder has left", b.attempt("b4", "k", now), core.Served, "done")
	want(t, "and of its own", b.attempt("b5", "l", now), core.Served, "more")
	if len(a.ran()) != 1 || len(b.ran()) != 1 {
		t.Errorf("%v and %v ran", a.ran(), b.ran())
	}
	fresh := b.attempt("b6", "m", now)
	await(t, "new keys run at once", func() bool { return len(b.ran()) == 2 })
	b.core.RunEnded("b6", silverpath.OK, 0, nil)
	want(t, "a new key", fresh, core.Served, "")
}

// The link is cut while both serve. The predecessor runs on and leaves a mark, the successor waits for a key that it does not know. Then
// the link is back and all is known. If the predecessor dies before, the successor fails what it can't know, rather than run it twice.
func TestRunsWithoutALinkLeaveAMark(t *testing.T) {
	for _, back := range []bool{true, false} {
		t.Run(fmt.Sprint("back ", back), func(t *testing.T) {
			dir := t.TempDir()
			a := start(t, dir)
			b := start(t, dir)
			await(t, "both serve", func() bool { return a.serves() && b.serves() })
			b.link.writeMu.Lock() // the younger does not come to speak on the next link
			a.link.writeMu.Lock()
			a.link.conn.Close()
			a.link.writeMu.Unlock()
			now := time.Now()
			first := a.attempt("a1", "k", now)
			await(t, "the elder runs on", func() bool { return len(a.ran()) == 1 })
			marks, _ := filepath.Glob(filepath.Join(dir, "*.mark.*"))
			if len(marks) != 1 {
				t.Errorf("marks: %v", marks)
			}
			waits := b.attempt("b1", "l", now)
			if back {
				b.link.writeMu.Unlock()
				await(t, "the key is granted on the next link", func() bool { return len(b.ran()) == 1 })
				b.core.RunEnded("b1", silverpath.OK, 0, []byte("l"))
				want(t, "who waited", waits, core.Served, "l")
				a.core.RunEnded("a1", silverpath.OK, 0, []byte("k"))
				want(t, "the elder's", first, core.Served, "k")
				want(t, "its repeat", b.attempt("b2", "k", now), core.Served, "k")
				await(t, "the mark is gone", func() bool { _, err := os.Stat(marks[0]); return os.IsNotExist(err) })
				return
			}
			a.die()
			b.link.writeMu.Unlock()
			want(t, "who waited", waits, core.Failed, "")
			want(t, "a repeat of what it can't know", b.attempt("b2", "k", now), core.Failed, "")
			fresh := b.attempt("b3", "n", now.Add(11*time.Second)) // past the window of all that the elder may have run
			await(t, "what comes after the window is run", func() bool { return len(b.ran()) == 1 })
			b.core.RunEnded("b3", silverpath.OK, 0, nil)
			want(t, "what comes after the window", fresh, core.Served, "")
		})
	}
}

// The link comes back and all is listed, but before the mark is removed another run begins without a link. Removed all the same, the mark
// would be missing for that run, and a successor would run it again: so it is removed only if nothing needed it since.
func TestMarkStaysForARunThatBeganSince(t *testing.T) {
	dir := t.TempDir()
	a := start(t, dir)
	b := start(t, dir)
	await(t, "both serve", func() bool { return a.serves() && b.serves() })
	b.link.writeMu.Lock() // the successor does not come to speak on the next link
	defer b.link.writeMu.Unlock()
	a.link.writeMu.Lock()
	a.link.conn.Close()
	a.link.writeMu.Unlock()
	a.attempt("a1", "k", time.Now())
	await(t, "the predecessor runs on", func() bool { return len(a.ran()) == 1 })
	mark, listed := a.link.slots.markPath(a.link.startedAt), a.core.PairMarks()
	a.attempt("a2", "l", time.Now())
	await(t, "and runs another one", func() bool { return len(a.ran()) == 2 })
	a.link.clearMark(listed)
	if _, err := os.Stat(mark); err != nil {
		t.Errorf("the mark of the second run: %v", err)
	}
	a.link.clearMark(a.core.PairMarks())
	if _, err := os.Stat(mark); !os.IsNotExist(err) {
		t.Errorf("a mark that nothing needs: %v", err)
	}
	a.core.RunEnded("a1", silverpath.OK, 0, nil)
	a.core.RunEnded("a2", silverpath.OK, 0, nil)
}

// A third process starts while two live. It has no slot and is not ready until one of the two is gone; files of dead processes are in
// nobody's way.
func TestThirdProcessWaitsForASlot(t *testing.T) {
	dir := t.TempDir()
	stale := start(t, dir)
	stale.link.slots.markPath(1)
	if err := os.WriteFile(stale.link.slots.markPath(1), nil, 0o600); err != nil {
		t.Fatal(err)
	}
	stale.die()
	if ln, err := net.Listen("unix", filepath.Join(dir, stale.link.slots.stem+".0.sock")); err != nil {
		t.Fatal(err)
	} else {
		ln.(*net.UnixListener).SetUnlinkOnClose(false)
		ln.Close() // a socket that nobody listens on
	}
	a := start(t, dir)
	await(t, "the first serves beside stale files", a.serves)
	b := start(t, dir)
	await(t, "the second serves", b.serves)
	c := start(t, dir)
	time.Sleep(5 * peerCheckInterval)
	if ready, why := c.core.Ready(); ready || !strings.Contains(why, "another process") || c.stats.Get("handover", "third") != 1 {
		t.Fatalf("the third is ready: %q", why)
	}
	a.die()
	await(t, "the third has the place", c.serves)
	if b.core.PairRole() != hotrestart.Predecessor || c.core.PairRole() != hotrestart.Successor {
		t.Errorf("%v and %v", b.core.PairRole(), c.core.PairRole())
	}
}

// The predecessor leaves just as the successor writes to it. Were what it had written lost with the link, the successor would not know
// what ran, and fail new keys: it is read all the same.
func TestPredecessorLeavesAsTheSuccessorWrites(t *testing.T) {
	for n := range 15 {
		dir := t.TempDir()
		a := start(t, dir)
		b := start(t, dir)
		await(t, "both serve", func() bool { return a.serves() && b.serves() })
		over := make(chan struct{})
		go func() {
			defer close(over)
			for i := range 200 {
				if i%2 == 0 {
					b.core.Evacuate()
				} else {
					b.core.Rejoin()
				}
				time.Sleep(20 * time.Microsecond)
			}
		}()
		time.Sleep(time.Duration(n) * 50 * time.Microsecond)
		a.die()
		await(t, "the second is alone", func() bool { return b.core.PairRole() == hotrestart.Sole })
		<-over
		fresh := b.attempt("b1", "k", time.Now())
		select {
		case answer := <-fresh:
			t.Fatalf("round %d: a new key is answered %v, unrun", n, answer.Outcome)
		case <-time.After(5 * time.Millisecond):
		}
		b.core.RunEnded("b1", silverpath.OK, 0, nil)
		want(t, "a new key", fresh, core.Served, "")
		b.die()
	}
}

var samples = []hotrestart.Message{
	{Kind: hotrestart.Hello, StartedAt: 1764576000123456789, PeerStartedAt: 5, EvacuationSeq: 3, UnknownUntil: 9, Sole: true, Ready: true},
	{Kind: hotrestart.Status, Evacuated: true},
	{Kind: hotrestart.SyncComplete},
	{Kind: hotrestart.Run, Execution: hotrestart.Execution{Key: "oddaja\x00k", ID: "9b1f", Fingerprint: 1 << 63, ReceivedAt: -1, ExpiresAt: 7,
		Window: time.Second, Stage: hotrestart.Succeeded, Result: []byte("result")}},
	{Kind: hotrestart.Claim, Execution: hotrestart.Execution{Key: "k"}},
}

// A third process takes a dead one's slot before anybody saw it free, and the other one takes it for the dead one. It says who it is before
// it leaves the link: the other learns it from nothing else.
func TestProcessTakenForAnotherSaysWhoItIs(t *testing.T) {
	dir := t.TempDir()
	other, err := openSlots(dir, "n1")
	if err != nil {
		t.Fatal(err)
	}
	defer other.close()
	if place, ok := other.take(); !ok || place != 0 {
		t.Fatal(place, ok)
	}
	ln, err := net.Listen("unix", other.socketPath(0))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	start(t, dir)
	for n := range 3 { // links
		conn, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn.Write(appendMessage(nil, hotrestart.Message{Kind: hotrestart.Hello, StartedAt: 1, PeerStartedAt: 7, Sole: true}))
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		m, _, err := readMessage(bufio.NewReader(conn), nil)
		if err != nil || m.Kind != hotrestart.Hello || m.StartedAt == 0 {
			t.Errorf("link %d: %+v, %v", n, m, err)
		}
		conn.Close()
	}
}

// Frames are read from whatever pieces they come in, and a cut one is an error.
func TestFramesInPiecesAndCut(t *testing.T) {
	var all []byte
	for _, m := range samples {
		all = appendMessage(all, m)
	}
	r := bufio.NewReaderSize(oneByte{bytes.NewReader(all)}, 16)
	var frame []byte
	for _, m := range samples {
		got, f, err := readMessage(r, frame)
		if frame = f; err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("%+v, %v, want %+v", got, err, m)
		}
	}
	whole := appendMessage(nil, samples[3])
	for i := 1; i < len(whole); i++ {
		if _, _, err := readMessage(bufio.NewReader(bytes.NewReader(whole[:i])), nil); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("cut at %d: %v", i, err)
		}
	}
	for _, bad := range []string{"\xff\xff\xff\xff", "\x00\x00\x00\x02\x01\x01", "\x00\x00\x00\x03\x02\x01\x00",
		"\x00\x00\x00\x03\x01\x09\x00", "\x00\x00\x00\x04\x01\x01\x00\x00", "\x00\x00\x00\x04\x01\x05\x00\x00", "\x00\x00\x00\x03\x01\x03\x00"} {
		if _, _, err := readMessage(bufio.NewReader(strings.NewReader(bad)), nil); !errors.Is(err, errFrame) {
			t.Errorf("%q: %v", bad, err)
		}
	}
}

type oneByte struct{ r io.Reader }

func (o oneByte) Read(b []byte) (int, error) { return o.r.Read(b[:min(1, len(b))]) }

func FuzzFrame(f *testing.F) {
	for _, m := range samples {
		f.Add(appendMessage(nil, m)[4:])
	}
	f.Add([]byte{1, 4, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := parseMessage(b)
		if err != nil {
			return
		}
		again, err := parseMessage(appendMessage(nil, m)[4:])
		if err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("%+v becomes %+v, %v", m, again, err)
		}
	})
}
