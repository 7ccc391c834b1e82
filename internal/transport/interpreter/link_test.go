package interpreter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/metrics"
)

// eventRecorder records the events that a Link reports to the core.
type eventRecorder struct {
	mu      sync.Mutex
	events  []string
	started []string
}

func (r *eventRecorder) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf(format, args...))
}
func (r *eventRecorder) RunnerReady() { r.record("ready") }
func (r *eventRecorder) Started(cold bool, ago time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started = append(r.started, fmt.Sprintf("%v %v", cold, ago))
}
func (r *eventRecorder) RunNeedsCall(id string, body []byte) { r.record("needs call %s %q", id, body) }
func (r *eventRecorder) RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte) {
	r.record("ended %s %d %v %q", id, o, spent, result)
}
func (r *eventRecorder) Gauges(g silverpath.Gauges) { r.record("gauges %v %v", g.CPU, g.RunnableTasks) }

func (r *eventRecorder) takeEvents() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.events
	r.events = nil
	return l
}

// fakeInterpreter is the server side of one link.
type fakeInterpreter struct {
	t        *testing.T
	conn     net.Conn
	commands chan string
}

func (f *fakeInterpreter) send(lines ...string) {
	f.t.Helper()
	for _, l := range lines {
		if _, err := f.conn.Write([]byte(l + "\n")); err != nil {
			f.t.Fatal(err)
		}
	}
	synctest.Wait()
}

// expectCommands checks the commands received since the last check.
func (f *fakeInterpreter) expectCommands(want ...string) {
	f.t.Helper()
	synctest.Wait()
	var got []string
	for len(f.commands) > 0 {
		got = append(got, <-f.commands)
	}
	if !slices.Equal(got, want) {
		f.t.Fatalf("commands %q, want %q", got, want)
	}
}

// withLink runs a test in simulated time with a Link. Each call of accept returns the server side of the Link's next connection.
func withLink(t *testing.T, test func(l *Link, events *eventRecorder, accept func() *fakeInterpreter)) {
	synctest.Test(t, func(t *testing.T) {
		events := &eventRecorder{}
		l := New("127.0.0.1:1", []string{"core_use", "on_cores"}, events, log.New(io.Discard, "", 0), &metrics.Counters{})
		conns := make(chan net.Conn, 8)
		l.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			conns <- far
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); l.Maintain(ctx) }()
		var interpreters []*fakeInterpreter
		test(l, events, func() *fakeInterpreter {
			interp := &fakeInterpreter{t: t, conn: <-conns, commands: make(chan string, 100)}
			interpreters = append(interpreters, interp)
			go func() {
				s := bufio.NewScanner(interp.conn)
				for s.Scan() {
					interp.commands <- s.Text()
				}
			}()
			return interp
		})
		cancel()
		for _, interp := range interpreters {
			interp.conn.Close()
		}
		<-done
	})
}

const topSync = `{"type":"TOP","ref":"sync"}`
const topTick = `{"type":"TOP","ref":"tick"}`
const topsSync = `{"type":"TOPS","ref":"sync","gauges":[0.5,3,0,0]}`
const banner = `{"type":"BANNER","state":"EMPTY","took":5}`

func applyCommand(id string) string {
	return `{"type":"APPLY","job":"` + id + `","kind":"krog","data":"eA=="}`
}

func TestRun(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		interp := accept()
		interp.expectCommands(`{"type":"CONNECT","n":0}`)
		time.Sleep(time.Minute) // the interpreter may start long after this process
		l.Run("a", "krog", []byte("x"))
		interp.expectCommands()
		interp.send(banner)
		interp.expectCommands(topSync)
		interp.send(topsSync)
		interp.expectCommands(applyCommand("a"), topTick)
		interp.send(`{"type":"TRACE","n":1,"state":"hello"}`, `{"type":"AWAIT","n":2,"job":"a","data":"AGFzaw=="}`)
		l.Resume("a", []byte("\x00re"))
		interp.expectCommands(`{"type":"RESOLVE","job":"a","data":"AHJl"}`)
		interp.send(`{"type":"VALUE","n":3,"job":"a","state":"PASS","took":12,"data":"b2s="}`)
		want := []string{"ready", "gauges 0.5 3", `needs call a "\x00ask"`, `ended a 0 12ms "ok"`}
		if got := events.takeEvents(); !slices.Equal(got, want) {
			t.Fatalf("events %q, want %q", got, want)
		}
		if want := []string{"true 5ms"}; !slices.Equal(events.started, want) {
			t.Fatalf("reported starts %q, want %q", events.started, want)
		}
	})
}

// ERROR, NOOP, KILLED and FAIL each end a run with its outcome. A refused start and NOOP mean that the run never ran. The end of a run that
// has already ended is ignored.
func TestRunOutcomes(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		interp := accept()
		interp.send(banner, topsSync)
		for _, id := range []string{"a", "b", "c", "d"} {
			l.Run(id, "krog", []byte("x"))
		}
		interp.send(`{"type":"ERROR","state":"APPLY","job":"a"}`, `{"type":"VALUE","n":1,"job":"b","state":"NOOP","took":0}`,
			`{"type":"VALUE","n":2,"job":"c","state":"KILLED","took":1}`, `{"type":"VALUE","n":3,"job":"d","state":"FAIL","took":1}`,
			`{"type":"ERROR","state":"RESOLVE","job":"d"}`)
		want := []string{"ready", "gauges 0.5 3", `ended a 7 0s ""`, `ended b 7 0s ""`, `ended c 6 1ms ""`, `ended d 1 1ms ""`}
		if got := events.takeEvents(); !slices.Equal(got, want) {
			t.Fatalf("events %q, want %q", got, want)
		}
	})
}

// A new link resumes the notices after the last one read, ignores duplicates, and resends starts only after it has read all missed
// notices. Otherwise a start lost with the old link would lose its request, or a run that has ended would be started again.
func TestReconnect(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		interp := accept()
		interp.send(banner, topsSync)
		l.Run("a", "krog", []byte("x"))
		l.Run("b", "krog", []byte("x"))
		interp.send(`{"type":"VALUE","n":1,"job":"z","state":"PASS","took":1}`, `{"type":"AWAIT","n":2,"job":"b","data":""}`)
		interp.conn.Close()
		synctest.Wait()
		l.Resume("b", []byte("re")) // while there is no link
		l.Run("c", "krog", []byte("x"))
		time.Sleep(time.Second)
		events.takeEvents()
		interp = accept()
		interp.expectCommands(`{"type":"CONNECT","n":2}`)
		interp.send(`{"type":"BANNER","state":"LOADED","took":3600000}`)
		interp.send(`{"type":"AWAIT","n":2,"job":"b","data":""}`, `{"type":"VALUE","n":3,"job":"a","state":"PASS","took":1}`)
		interp.expectCommands(topSync)
		interp.send(topsSync)
		synctest.Wait()
		var got []string
		for len(interp.commands) > 0 {
			got = append(got, <-interp.commands)
		}
		slices.Sort(got[:2])
		if want := []string{applyCommand("b"), applyCommand("c"), `{"type":"RESOLVE","job":"b","data":"cmU="}`, topTick}; !slices.Equal(got, want) {
			t.Fatalf("commands %q, want %q", got, want)
		}
		if got, want := events.takeEvents(), []string{`ended a 0 1ms ""`, "ready", "gauges 0.5 3"}; !slices.Equal(got, want) {
			t.Fatalf("events %q, want %q", got, want)
		}
	})
}

// An interpreter that restarted after the link broke has lost its runs and numbers notices from 1 again. The lost runs fail, none is
// started twice, and the new notices are not taken for duplicates. A request that arrived while the link was down is started.
func TestInterpreterRestarts(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		interp := accept()
		interp.send(banner, topsSync)
		l.Run("a", "krog", []byte("x"))
		interp.send(`{"type":"AWAIT","n":7,"job":"a","data":""}`)
		interp.conn.Close()
		synctest.Wait()
		l.Run("b", "krog", []byte("x"))
		time.Sleep(time.Second)
		events.takeEvents()
		interp = accept()
		interp.send(banner, topsSync) // the interpreter started 5 ms ago
		interp.expectCommands(`{"type":"CONNECT","n":7}`, topSync, applyCommand("b"), topTick)
		interp.send(`{"type":"VALUE","n":1,"job":"b","state":"PASS","took":1}`)
		want := []string{`ended a 1 0s ""`, "ready", "gauges 0.5 3", `ended b 0 1ms ""`}
		if got := events.takeEvents(); !slices.Equal(got, want) {
			t.Fatalf("events %q, want %q", got, want)
		}
	})
}

// A malformed notice closes the link, and a new one is opened. A line longer than the reader's buffer is read completely.
func TestLines(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		for _, bad := range []string{"{", "[]}", `{"type":"VALUE","n":1,"job":"a","state":"ODD"}`, `{"type":"AWAIT","n":2,"job":"a","data":"*"}`} {
			interp := accept()
			interp.send(bad)
			synctest.Wait()
			if _, err := interp.conn.Write([]byte("x")); err == nil {
				t.Fatalf("the link is still open after %q", bad)
			}
		}
		interp := accept()
		interp.send(banner, topsSync, `{"type":"TRACE","n":3,"state":"`+strings.Repeat("x", 100<<10)+`"}`,
			`{"type":"AWAIT","n":4,"job":"a","data":"eA=="}`)
		if got := events.takeEvents(); !slices.Contains(got, `needs call a "x"`) {
			t.Fatalf("events %q", got)
		}
	})
}

// The end of a run that cannot be parsed fails the run at once, so that its callers do not wait for another end. The next link resumes
// after that notice.
func TestMalformedEnds(t *testing.T) {
	for _, bad := range []string{
		`{"type":"VALUE","n":1,"job":"a","state":"ODD","data":"eA=="}`, `{"type":"VALUE","n":1,"job":"a","data":"eA=="}`,
		`{"type":"VALUE","n":1,"job":"a","state":"PASS","data":"*"}`, `{"type":"AWAIT","n":1,"job":"a","data":"eA"}`,
	} {
		withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
			interp := accept()
			interp.send(banner, topsSync)
			l.Run("a", "krog", []byte("x"))
			events.takeEvents()
			interp.send(bad)
			if got, want := events.takeEvents(), []string{`ended a 1 0s ""`}; !slices.Equal(got, want) {
				t.Fatalf("%s: events %q, want %q", bad, got, want)
			}
			interp = accept()
			interp.expectCommands(`{"type":"CONNECT","n":1}`)
		})
	}
}

// A link that receives nothing while the gauges are requested is closed, and the next link resumes its notices. A link that answers stays
// open, and so does one that is silent because this process itself was suspended.
func TestSilentLink(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		interp := accept()
		interp.send(banner, topsSync)
		probeFor := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
				l.Probe()
				synctest.Wait()
				for len(interp.commands) > 0 {
					<-interp.commands
				}
			}
		}
		interp.send(`{"type":"TRACE","n":5,"state":"x"}`)
		probeFor(silenceTimeout - time.Second)
		interp.send(topsSync)
		probeFor(silenceTimeout - time.Second)
		interp.send(topsSync)
		time.Sleep(time.Hour) // this process is suspended and sends no probes
		probeFor(500 * time.Millisecond)
		if n := l.stats.Get("interpreter", "silent"); n != 0 {
			t.Fatalf("a link that answers was closed %d times as silent", n)
		}
		interp.send(topsSync)
		probeFor(silenceTimeout + time.Second)
		if n := l.stats.Get("interpreter", "silent"); n != 1 {
			t.Fatalf("a silent link was closed %d times, want 1", n)
		}
		interp = accept()
		interp.expectCommands(`{"type":"CONNECT","n":5}`)
		interp.send(`{"type":"BANNER","state":"LOADED","took":3600000}`, topsSync)
		if got := events.takeEvents(); !slices.Contains(got, "ready") {
			t.Fatalf("events %q", got)
		}
	})
}

// A run whose only start was refused never ran. A run whose start was sent on two links may have run after the first start, so a refusal of
// the second reports it as failed.
func TestRefusedStart(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		interp := accept()
		interp.send(banner, topsSync)
		l.Run("a", "krog", []byte("x"))
		interp.conn.Close()
		interp = accept()
		interp.send(`{"type":"BANNER","state":"LOADED","took":3600000}`, topsSync)
		l.Run("b", "krog", []byte("x"))
		events.takeEvents()
		interp.send(`{"type":"ERROR","state":"APPLY","job":"a"}`, `{"type":"ERROR","state":"APPLY","job":"b"}`,
			`{"type":"ERROR","state":"APPLY","job":"unknown"}`)
		if got, want := events.takeEvents(), []string{`ended a 1 0s ""`, `ended b 7 0s ""`}; !slices.Equal(got, want) {
			t.Fatalf("events %q, want %q", got, want)
		}
	})
}

const topRedirect = `{"type":"TOP","ref":"move"}`

// A redirect leads to the same interpreter at another address. The old link is closed once all its commands have arrived, and a notice in
// transit is read completely. Commands queued in the meantime are sent on the new link. Runs and notice numbers continue, even if the
// uptime in the new BANNER looks like a restart.
func TestRedirect(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		interp := accept()
		interp.send(banner, topsSync)
		l.Run("a", "krog", []byte("x"))
		l.Run("b", "krog", []byte("x"))
		interp.send(`{"type":"AWAIT","n":1,"job":"a","data":""}`)
		interp.expectCommands(`{"type":"CONNECT","n":0}`, topSync, topTick, applyCommand("a"), applyCommand("b"))
		l.Resume("a", []byte("re"))
		interp.conn.Write([]byte(`{"type":"VALUE","n":2,"job":`)) // a partly received notice
		l.Redirect("127.0.0.1:2")
		l.Run("c", "krog", []byte("x"))
		interp.expectCommands(`{"type":"RESOLVE","job":"a","data":"cmU="}`, topRedirect)
		interp.send(`"b","state":"PASS","took":1}`)
		l.Redirect("127.0.0.1:3") // before the first redirect is done
		interp.send(`{"type":"TOPS","ref":"move","gauges":[0,0]}`)
		events.takeEvents()
		interp = accept()
		interp.expectCommands(`{"type":"CONNECT","n":2}`)
		interp.send(banner, topsSync)
		var got []string
		synctest.Wait()
		for len(interp.commands) > 0 {
			got = append(got, <-interp.commands)
		}
		slices.Sort(got[1:3])
		if want := []string{topSync, applyCommand("a"), applyCommand("c"), topTick}; !slices.Equal(got, want) {
			t.Fatalf("commands %q, want %q", got, want)
		}
		interp.send(`{"type":"VALUE","n":3,"job":"a","state":"PASS","took":1}`)
		if got, want := events.takeEvents(), []string{"ready", "gauges 0.5 3", `ended a 0 1ms ""`}; !slices.Equal(got, want) {
			t.Fatalf("events %q, want %q", got, want)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.addr != "127.0.0.1:3" || l.redirecting {
			t.Fatalf("address %s, redirecting %v", l.addr, l.redirecting)
		}
	})
}

// After Redirect, a link that does not answer is closed after redirectTimeout. A link that is not live yet is closed at once, and a wait
// before the next connection attempt ends at once.
func TestRedirectFromDeadLink(t *testing.T) {
	withLink(t, func(l *Link, events *eventRecorder, accept func() *fakeInterpreter) {
		interp := accept()
		interp.send(banner, topsSync)
		start := time.Now()
		l.Redirect("127.0.0.1:2")
		accept()
		if d := time.Since(start); d != redirectTimeout {
			t.Fatalf("connected to the new address after %v", d)
		}
		l.Redirect("127.0.0.1:3") // before its BANNER
		interp = accept()
		if d := time.Since(start); d != redirectTimeout {
			t.Fatalf("connected to the new address after %v", d)
		}
		interp.expectCommands(`{"type":"CONNECT","n":0}`)
		for range 12 { // until the backoff has reached its maximum
			interp.conn.Close()
			interp = accept()
		}
		interp.conn.Close()
		synctest.Wait()
		start = time.Now()
		l.Redirect("127.0.0.1:4")
		interp = accept()
		if d := time.Since(start); d != 0 {
			t.Fatalf("dialed after %v, want at once", d)
		}
		interp.send(banner, topsSync)
		if got := events.takeEvents(); !slices.Contains(got, "ready") {
			t.Fatalf("events %q", got)
		}
	})
}

// For any input, the reader returns once the link is closed. It neither panics nor reports the end of a run that was not started.
func FuzzNotices(f *testing.F) {
	pass := `{"type":"VALUE","n":3,"job":"a","state":"PASS","took":12,"data":"b2s="}`
	f.Add(banner + "\n" + topsSync + "\n" + pass + "\n" + pass + "\n")
	f.Add(banner + "\n" + `{"type":"TRACE","n":1,"state":"x"}` + "\n" + pass[:40])
	f.Add(`{"type":"BANNER","state":"EMPTY","took":-1}` + "\n" + `{"type":"BANNER","state":4,"took":9223372036854775807}` + "\n")
	f.Add(`{"type":"VALUE","n":-3,"job":"a","state":"PASS","took":1e300}` + "\n")
	f.Add(`{"type":"TOPS","ref":"sync","gauges":[1e999,-1,"x",null]}` + "\n")
	f.Add(`{"type":"AWAIT","n":4,"job":7,"data":"===="}` + "\n")
	f.Add(`{"type":"ERROR","state":"no such","job":"a"}` + "\n[]\n")
	f.Fuzz(func(t *testing.T, in string) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		go func() {
			io.WriteString(far, in)
			far.Close()
		}()
		events := &eventRecorder{}
		l := New("", []string{"core_use", "on_cores"}, events, log.New(io.Discard, "", 0), &metrics.Counters{})
		if l.readLoop(near) == nil {
			t.Fatal("no error at the end of the link")
		}
		for _, line := range events.takeEvents() {
			if strings.HasPrefix(line, "ended") {
				t.Fatalf("reported the end of a run that was not started: %s", line)
			}
		}
	})
}

// Notices corrupted by a generator with a fixed seed are an error or ignored, never a panic.
func TestGarbage(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	lines := []string{banner, topsSync, `{"type":"VALUE","n":3,"job":"a","state":"PASS","took":12,"data":"b2s="}`}
	for range 5000 {
		b := []byte(lines[rng.IntN(len(lines))])
		for range 1 + rng.IntN(3) {
			b[rng.IntN(len(b))] = byte(rng.Uint32())
		}
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		l := New("", []string{"core_use"}, &eventRecorder{}, log.New(io.Discard, "", 0), &metrics.Counters{})
		go func() { far.Write(append(b, '\n')); far.Close() }()
		if l.readLoop(near) == nil {
			t.Fatal("no error at the end of the link")
		}
	}
}
