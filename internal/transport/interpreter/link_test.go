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

// heard notes what the core would be told.
type heard struct {
	mu      sync.Mutex
	list    []string
	started []string
}

func (h *heard) note(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, fmt.Sprintf(format, args...))
}
func (h *heard) RunnerReady() { h.note("up") }
func (h *heard) Started(cold bool, ago time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = append(h.started, fmt.Sprintf("%v %v", cold, ago))
}
func (h *heard) RunNeedsCall(id string, body []byte) { h.note("awaits %s %q", id, body) }
func (h *heard) RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte) {
	h.note("ended %s %d %v %q", id, o, spent, result)
}
func (h *heard) Gauges(g silverpath.Gauges) { h.note("gauges %v %v", g.CPU, g.OnCores) }

func (h *heard) take() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.list
	h.list = nil
	return l
}

// machine is the stand-in interpreter's side of one link.
type machine struct {
	t    *testing.T
	conn net.Conn
	in   chan string
}

func (m *machine) say(lines ...string) {
	m.t.Helper()
	for _, l := range lines {
		if _, err := m.conn.Write([]byte(l + "\n")); err != nil {
			m.t.Fatal(err)
		}
	}
	synctest.Wait()
}

// reads checks the commands that have come.
func (m *machine) reads(want ...string) {
	m.t.Helper()
	synctest.Wait()
	var got []string
	for len(m.in) > 0 {
		got = append(got, <-m.in)
	}
	if !slices.Equal(got, want) {
		m.t.Fatalf("commands %q, want %q", got, want)
	}
}

// play runs a test with a link whose every connection is handed over as a machine.
func play(t *testing.T, test func(l *Link, h *heard, next func() *machine)) {
	synctest.Test(t, func(t *testing.T) {
		h := &heard{}
		l := New("127.0.0.1:1", []string{"core_use", "on_cores"}, h, log.New(io.Discard, "", 0), &metrics.Counters{})
		conns := make(chan net.Conn, 8)
		l.dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			conns <- far
			return near, nil
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); l.Maintain(ctx) }()
		var machines []*machine
		test(l, h, func() *machine {
			m := &machine{t: t, conn: <-conns, in: make(chan string, 100)}
			machines = append(machines, m)
			go func() {
				s := bufio.NewScanner(m.conn)
				for s.Scan() {
					m.in <- s.Text()
				}
			}()
			return m
		})
		cancel()
		for _, m := range machines {
			m.conn.Close()
		}
		<-done
	})
}

const sync0 = `{"type":"TOP","ref":"sync"}`
const tick = `{"type":"TOP","ref":"tick"}`
const tops = `{"type":"TOPS","ref":"sync","gauges":[0.5,3,0,0]}`
const banner = `{"type":"BANNER","state":"EMPTY","took":5}`

func apply(id string) string {
	return `{"type":"APPLY","job":"` + id + `","kind":"krog","data":"eA=="}`
}

func TestRun(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		m := next()
		m.reads(`{"type":"CONNECT","n":0}`)
		time.Sleep(time.Minute) // the interpreter may start long after the service
		l.Run("a", "krog", []byte("x"))
		m.reads()
		m.say(banner)
		m.reads(sync0)
		m.say(tops)
		m.reads(apply("a"), tick)
		m.say(`{"type":"TRACE","n":1,"state":"hello"}`, `{"type":"AWAIT","n":2,"job":"a","data":"AGFzaw=="}`)
		l.Resume("a", []byte("\x00re"))
		m.reads(`{"type":"RESOLVE","job":"a","data":"AHJl"}`)
		m.say(`{"type":"VALUE","n":3,"job":"a","state":"PASS","took":12,"data":"b2s="}`)
		want := []string{"up", "gauges 0.5 3", `awaits a "\x00ask"`, `ended a 0 12ms "ok"`}
		if got := h.take(); !slices.Equal(got, want) {
			t.Fatalf("heard %q, want %q", got, want)
		}
		if want := []string{"true 5ms"}; !slices.Equal(h.started, want) {
			t.Fatalf("the interpreter started %q, want %q", h.started, want)
		}
	})
}

// ERROR and NOOP end a run, which never ran if its only start was refused, and so does KILLED; what ends a run that is over already is passed over.
func TestRunOutcomes(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		m := next()
		m.say(banner, tops)
		for _, id := range []string{"a", "b", "c", "d"} {
			l.Run(id, "krog", []byte("x"))
		}
		m.say(`{"type":"ERROR","state":"APPLY","job":"a"}`, `{"type":"VALUE","n":1,"job":"b","state":"NOOP","took":0}`,
			`{"type":"VALUE","n":2,"job":"c","state":"KILLED","took":1}`, `{"type":"VALUE","n":3,"job":"d","state":"FAIL","took":1}`,
			`{"type":"ERROR","state":"RESOLVE","job":"d"}`)
		want := []string{"up", "gauges 0.5 3", `ended a 7 0s ""`, `ended b 7 0s ""`, `ended c 6 1ms ""`, `ended d 1 1ms ""`}
		if got := h.take(); !slices.Equal(got, want) {
			t.Fatalf("heard %q, want %q", got, want)
		}
	})
}

// A new link takes the notices up where the last one was read to, hears none twice, and starts again only what
// has no end once all that was missed is read: a start lost with the old link must not lose its request, and a
// run that ended meanwhile must not be started again.
func TestReconnect(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		m := next()
		m.say(banner, tops)
		l.Run("a", "krog", []byte("x"))
		l.Run("b", "krog", []byte("x"))
		m.say(`{"type":"VALUE","n":1,"job":"z","state":"PASS","took":1}`, `{"type":"AWAIT","n":2,"job":"b","data":""}`)
		m.conn.Close()
		synctest.Wait()
		l.Resume("b", []byte("re")) // while there is no link
		l.Run("c", "krog", []byte("x"))
		time.Sleep(time.Second)
		h.take()
		m = next()
		m.reads(`{"type":"CONNECT","n":2}`)
		m.say(`{"type":"BANNER","state":"LOADED","took":3600000}`)
		m.say(`{"type":"AWAIT","n":2,"job":"b","data":""}`, `{"type":"VALUE","n":3,"job":"a","state":"PASS","took":1}`)
		m.reads(sync0)
		m.say(tops)
		synctest.Wait()
		var got []string
		for len(m.in) > 0 {
			got = append(got, <-m.in)
		}
		slices.Sort(got[:2])
		if want := []string{apply("b"), apply("c"), `{"type":"RESOLVE","job":"b","data":"cmU="}`, tick}; !slices.Equal(got, want) {
			t.Fatalf("commands %q, want %q", got, want)
		}
		if got, want := h.take(), []string{`ended a 0 1ms ""`, "up", "gauges 0.5 3"}; !slices.Equal(got, want) {
			t.Fatalf("heard %q, want %q", got, want)
		}
	})
}

// An interpreter that started after the link broke knows none of its runs and numbers from 1 again: they fail,
// none is started twice, and its notices are heard. A request that came meanwhile is started there.
func TestInterpreterRestarts(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		m := next()
		m.say(banner, tops)
		l.Run("a", "krog", []byte("x"))
		m.say(`{"type":"AWAIT","n":7,"job":"a","data":""}`)
		m.conn.Close()
		synctest.Wait()
		l.Run("b", "krog", []byte("x"))
		time.Sleep(time.Second)
		h.take()
		m = next()
		m.say(banner, tops) // it started 5 ms ago
		m.reads(`{"type":"CONNECT","n":7}`, sync0, apply("b"), tick)
		m.say(`{"type":"VALUE","n":1,"job":"b","state":"PASS","took":1}`)
		want := []string{`ended a 1 0s ""`, "up", "gauges 0.5 3", `ended b 0 1ms ""`}
		if got := h.take(); !slices.Equal(got, want) {
			t.Fatalf("heard %q, want %q", got, want)
		}
	})
}

// A link that brings what is no notice is given up for a new one; a line longer than a buffer is read whole.
func TestLines(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		for _, bad := range []string{"{", "[]}", `{"type":"VALUE","n":1,"job":"a","state":"ODD"}`, `{"type":"AWAIT","n":2,"job":"a","data":"*"}`} {
			m := next()
			m.say(bad)
			synctest.Wait()
			if _, err := m.conn.Write([]byte("x")); err == nil {
				t.Fatalf("the link outlives %q", bad)
			}
		}
		m := next()
		m.say(banner, tops, `{"type":"TRACE","n":3,"state":"`+strings.Repeat("x", 100<<10)+`"}`,
			`{"type":"AWAIT","n":4,"job":"a","data":"eA=="}`)
		if got := h.take(); !slices.Contains(got, `awaits a "x"`) {
			t.Fatalf("heard %q", got)
		}
	})
}

// An end that can't be read is a failure at once, never a result, and the run's waiters wait no longer; the next link goes on
// after it.
func TestMalformedEnds(t *testing.T) {
	for _, bad := range []string{
		`{"type":"VALUE","n":1,"job":"a","state":"ODD","data":"eA=="}`, `{"type":"VALUE","n":1,"job":"a","data":"eA=="}`,
		`{"type":"VALUE","n":1,"job":"a","state":"PASS","data":"*"}`, `{"type":"AWAIT","n":1,"job":"a","data":"eA"}`,
	} {
		play(t, func(l *Link, h *heard, next func() *machine) {
			m := next()
			m.say(banner, tops)
			l.Run("a", "krog", []byte("x"))
			h.take()
			m.say(bad)
			if got, want := h.take(), []string{`ended a 1 0s ""`}; !slices.Equal(got, want) {
				t.Fatalf("%s: heard %q, want %q", bad, got, want)
			}
			m = next()
			m.reads(`{"type":"CONNECT","n":1}`)
		})
	}
}

// A link on which nothing comes while the gauges are asked for is taken to be broken, and the next one goes on where it
// ended. One that answers is not, nor is one whose service itself stood still.
func TestSilentLink(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		m := next()
		m.say(banner, tops)
		ask := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
				l.Probe()
				synctest.Wait()
				for len(m.in) > 0 {
					<-m.in
				}
			}
		}
		m.say(`{"type":"TRACE","n":5,"state":"x"}`)
		ask(silenceTimeout - time.Second)
		m.say(tops)
		ask(silenceTimeout - time.Second)
		m.say(tops)
		time.Sleep(time.Hour) // nobody asks
		ask(500 * time.Millisecond)
		if n := l.stats.Get("interpreter", "silent"); n != 0 {
			t.Fatalf("given up %d times while it answers", n)
		}
		m.say(tops)
		ask(silenceTimeout + time.Second)
		if n := l.stats.Get("interpreter", "silent"); n != 1 {
			t.Fatalf("given up %d times while it is silent", n)
		}
		m = next()
		m.reads(`{"type":"CONNECT","n":5}`)
		m.say(`{"type":"BANNER","state":"LOADED","took":3600000}`, tops)
		if got := h.take(); !slices.Contains(got, "up") {
			t.Fatalf("heard %q", got)
		}
	})
}

// A start that was refused on its only link never ran; one that went out on two may have run on the first.
func TestRefusedStart(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		m := next()
		m.say(banner, tops)
		l.Run("a", "krog", []byte("x"))
		m.conn.Close()
		m = next()
		m.say(`{"type":"BANNER","state":"LOADED","took":3600000}`, tops)
		l.Run("b", "krog", []byte("x"))
		h.take()
		m.say(`{"type":"ERROR","state":"APPLY","job":"a"}`, `{"type":"ERROR","state":"APPLY","job":"b"}`,
			`{"type":"ERROR","state":"APPLY","job":"nobody's"}`)
		if got, want := h.take(), []string{`ended a 1 0s ""`, `ended b 7 0s ""`}; !slices.Equal(got, want) {
			t.Fatalf("heard %q, want %q", got, want)
		}
	})
}

const move = `{"type":"TOP","ref":"move"}`

// A moved interpreter is the same one: the old link is left once all commands on it have arrived, a notice that
// was under way is read whole, what comes meanwhile goes out on the new link, and runs and numbers carry on,
// whatever the new link says of its age.
func TestRedirect(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		m := next()
		m.say(banner, tops)
		l.Run("a", "krog", []byte("x"))
		l.Run("b", "krog", []byte("x"))
		m.say(`{"type":"AWAIT","n":1,"job":"a","data":""}`)
		m.reads(`{"type":"CONNECT","n":0}`, sync0, tick, apply("a"), apply("b"))
		l.Resume("a", []byte("re"))
		m.conn.Write([]byte(`{"type":"VALUE","n":2,"job":`)) // a notice under way
		l.Redirect("127.0.0.1:2")
		l.Run("c", "krog", []byte("x"))
		m.reads(`{"type":"RESOLVE","job":"a","data":"cmU="}`, move)
		m.say(`"b","state":"PASS","took":1}`)
		l.Redirect("127.0.0.1:3") // before the first move is done
		m.say(`{"type":"TOPS","ref":"move","gauges":[0,0]}`)
		h.take()
		m = next()
		m.reads(`{"type":"CONNECT","n":2}`)
		m.say(banner, tops)
		var got []string
		synctest.Wait()
		for len(m.in) > 0 {
			got = append(got, <-m.in)
		}
		slices.Sort(got[1:3])
		if want := []string{sync0, apply("a"), apply("c"), tick}; !slices.Equal(got, want) {
			t.Fatalf("commands %q, want %q", got, want)
		}
		m.say(`{"type":"VALUE","n":3,"job":"a","state":"PASS","took":1}`)
		if got, want := h.take(), []string{"up", "gauges 0.5 3", `ended a 0 1ms ""`}; !slices.Equal(got, want) {
			t.Fatalf("heard %q, want %q", got, want)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.addr != "127.0.0.1:3" || l.redirecting {
			t.Fatalf("address %s, leaving %v", l.addr, l.redirecting)
		}
	})
}

// A link that is left and brings no answer is cut after a while; one that is not live yet is cut at once, and so
// is a wait for the next try.
func TestRedirectFromDeadLink(t *testing.T) {
	play(t, func(l *Link, h *heard, next func() *machine) {
		m := next()
		m.say(banner, tops)
		began := time.Now()
		l.Redirect("127.0.0.1:2")
		next()
		if d := time.Since(began); d != redirectTimeout {
			t.Fatalf("left after %v", d)
		}
		l.Redirect("127.0.0.1:3") // before its BANNER
		m = next()
		if d := time.Since(began); d != redirectTimeout {
			t.Fatalf("left after %v", d)
		}
		m.reads(`{"type":"CONNECT","n":0}`)
		for range 12 { // until the wait has grown to its longest
			m.conn.Close()
			m = next()
		}
		m.conn.Close()
		synctest.Wait()
		began = time.Now()
		l.Redirect("127.0.0.1:4")
		m = next()
		if d := time.Since(began); d != 0 {
			t.Fatalf("dialed after %v", d)
		}
		m.say(banner, tops)
		if got := h.take(); !slices.Contains(got, "up") {
			t.Fatalf("heard %q", got)
		}
	})
}

// Whatever a link brings, reading it ends with the link, and neither panics nor tells of a run that is not ours.
func FuzzNotices(f *testing.F) {
	pass := `{"type":"VALUE","n":3,"job":"a","state":"PASS","took":12,"data":"b2s="}`
	f.Add(banner + "\n" + tops + "\n" + pass + "\n" + pass + "\n")
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
		h := &heard{}
		l := New("", []string{"core_use", "on_cores"}, h, log.New(io.Discard, "", 0), &metrics.Counters{})
		if l.read(near) == nil {
			t.Fatal("the end of a link is no error")
		}
		for _, line := range h.take() {
			if strings.HasPrefix(line, "ended") {
				t.Fatalf("told that a run ended which was not started: %s", line)
			}
		}
	})
}

// Garbage, from a fixed seed, in the place of notices is an error or passed over, never a panic.
func TestGarbage(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 6))
	lines := []string{banner, tops, `{"type":"VALUE","n":3,"job":"a","state":"PASS","took":12,"data":"b2s="}`}
	for range 5000 {
		b := []byte(lines[rnd.IntN(len(lines))])
		for range 1 + rnd.IntN(3) {
			b[rnd.IntN(len(b))] = byte(rnd.Uint32())
		}
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		l := New("", []string{"core_use"}, &heard{}, log.New(io.Discard, "", 0), &metrics.Counters{})
		go func() { far.Write(append(b, '\n')); far.Close() }()
		if l.read(near) == nil {
			t.Fatal("the end of a link is no error")
		}
	}
}
