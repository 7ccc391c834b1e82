// Package conformance holds the one suite of rule tests. It knows no wire: it runs unchanged over every front, by a
// stand-in caller for each, and checks what the operators' four rules ask of the whole path from a connection
// to the answer on it.
package conformance

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/idempotency"
	"silverpath/internal/policy/lifecycle"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/storage/idempotencystore"
	"silverpath/internal/testkit/benchmarks"
	"silverpath/internal/testkit/pipes"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
	"silverpath/internal/transport/scgi"
)

// ---- Stand-ins ----

// try is one try of a request as a caller makes it; reply is what the caller reads.
type try struct {
	class, key, body string
	wait             time.Duration
}

type reply struct {
	outcome core.Outcome
	body    string
	retry   time.Duration
	at      time.Time
}

// driver is a stand-in caller of one front.
type driver struct {
	name  string
	serve func(e *edge) listener.Handler
	// write brings a try on a new connection, read takes its answer, and garble writes what is no request.
	write  func(t try, seq int) []byte
	read   func(r *bufio.Reader) (reply, error)
	garble []byte
	// retryFloor is the least stay away that the front can express.
	retryFloor time.Duration
}

var drivers = []driver{{
	name: "msgpack",
	serve: func(e *edge) listener.Handler {
		return msgpackrpc.New(e.core, e.log, e.stats).Serve
	},
	write: func(t try, seq int) []byte {
		fields := []string{"i", fmt.Sprintf("%016x", seq), "s", strconv.FormatInt(time.Now().UnixMilli(), 10),
			"d", strconv.FormatInt(t.wait.Milliseconds(), 10), "m", "20", "f", "1", "t", "acme", "p", "0.5"}
		if t.key != "" {
			fields = append(fields, "k", t.key)
		}
		return msgpackrpc.AppendRequest(nil, 1, t.class, []byte(t.body), fields...)
	},
	read: func(r *bufio.Reader) (reply, error) {
		for {
			a, err := msgpackrpc.ReadReply(r)
			if err != nil || a.Notification == "" {
				ms, _ := strconv.Atoi(a.Fields["w"])
				out := map[string]core.Outcome{"": core.Served, "Full": core.Rejected, "Error": core.Failed}[a.Error]
				return reply{outcome: out, body: string(a.Body), retry: time.Duration(ms) * time.Millisecond}, err
			}
		}
	},
	garble:     []byte("\xc1garbage"),
	retryFloor: time.Millisecond,
}, {
	name: "scgi",
	serve: func(e *edge) listener.Handler {
		return scgi.New(e.core, settings.SCGI{MaxBody: 2048, RequestKB: 20}, 1, e.log, e.stats).Serve
	},
	write: func(t try, _ int) []byte {
		headers := []string{"REQUEST_METHOD", "POST", "PATH_INFO", "/" + t.class, "HTTP_X_TENANT", "acme",
			"HTTP_X_TIMEOUT_MS", strconv.FormatInt(t.wait.Milliseconds(), 10)}
		if t.key != "" {
			headers = append(headers, "HTTP_IDEMPOTENCY_KEY", t.key)
		}
		return scgi.AppendRequest(nil, []byte(t.body), headers...)
	},
	read: func(r *bufio.Reader) (reply, error) {
		a, err := scgi.ReadReply(r)
		out := map[int]core.Outcome{200: core.Served, 503: core.Rejected, 502: core.Failed, 504: core.Failed,
			404: core.Rejected, 408: core.Failed, 422: core.Failed}[a.Status]
		if out == core.Served && a.Status != 200 {
			err = fmt.Errorf("status %d", a.Status)
		}
		body := ""
		if a.Status == 200 {
			body = string(a.Body)
		}
		return reply{outcome: out, body: body, retry: a.RetryAfter}, err
	},
	garble:     []byte("12x:garbage"),
	retryFloor: time.Second,
}}

// caller is one connection of a stand-in caller.
type caller struct {
	conn    net.Conn
	replies chan reply // every answer that comes; closed at the connection's end
}

func (c *caller) drop() { c.conn.Close() }

// engine is the stand-in interpreter: it notes what is run, and runs end when the test says so.
type engine struct {
	core *core.Core
	mu   sync.Mutex
	runs []run
	busy float64
}

type run struct{ id, class, body string }

func (e *engine) Run(id, class string, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run{id, class, string(body)})
}
func (e *engine) Resume(id string, reply []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run{id, "resume", string(reply)})
}
func (e *engine) Probe() {
	e.mu.Lock()
	busy := e.busy
	e.mu.Unlock()
	e.core.Gauges(silverpath.Gauges{CPU: busy, OnCores: busy * 2})
}

func (e *engine) seen() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// vault is the stand-in for what lies below: it answers calls as told, in order.
type vault struct {
	mu    sync.Mutex
	ends  []silverpath.Outcome
	calls []string
	delay time.Duration
}

func (v *vault) Call(ctx context.Context, id string, patience time.Duration, body []byte, _ bool) (silverpath.Outcome, []byte) {
	v.mu.Lock()
	v.calls = append(v.calls, string(body))
	end := silverpath.OK
	if len(v.ends) > 0 {
		end, v.ends = v.ends[0], v.ends[1:]
	}
	delay := v.delay
	v.mu.Unlock()
	select {
	case <-time.After(min(delay, patience)):
	case <-ctx.Done():
		return silverpath.Canceled, nil
	}
	if delay > patience {
		return silverpath.TimedOut, nil
	}
	return end, append([]byte("re:"), body...)
}

func (v *vault) seen() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.calls)
}

const (
	deadline = 4 * time.Second
	window   = 10 * time.Second
	grace    = 2 * time.Second
	stopTime = 5 * time.Second
)

var site = silverpath.Settings{
	Cores: 2, MemoryKB: 20000, RunFactor: 4, KeyKB: 5, MaxRunsPerCore: 8, RunsWindow: 3 * time.Second,
	DrainGrace: grace, RetryAfter: true, MaxRetryAfter: time.Second, Servers: 2, Callers: 2,
	Signal: silverpath.SignalCredit, Dependency: silverpath.DependencyTier,
	Classes: []silverpath.Class{
		{Name: "lestvica", Objective: 1800 * time.Millisecond, Deadline: deadline, Weight: 1, CallsDependency: true},
		{Name: "oddaja", Objective: 1800 * time.Millisecond, Deadline: deadline, Weight: 3, Effect: silverpath.Idempotent,
			IdempotencyWindow: window, CallsDependency: true},
		{Name: "zapis", Objective: 1800 * time.Millisecond, Deadline: time.Minute, Weight: 1, LateWeight: 0.5, CallsDependency: true},
	},
}

// edge is a whole service in memory, but for the parts that the stand-ins take.
type edge struct {
	t       *testing.T
	driver  driver
	core    *core.Core
	worker  *core.Core // the one whose engine does the work: core itself, or a server's behind a router
	engine  *engine
	vault   *vault
	log     *log.Logger
	stats   *metrics.Counters
	pipes   *pipes.Listener
	ln      *listener.Listener
	callers []*caller
	seq     int
}

func (e *edge) send(t try) *caller {
	e.t.Helper()
	if t.wait == 0 {
		t.wait = deadline
	}
	e.seq++
	return e.raw(e.driver.write(t, e.seq))
}

func (e *edge) raw(b []byte) *caller {
	e.t.Helper()
	near := e.pipes.Dial()
	c := &caller{conn: near, replies: make(chan reply, 8)}
	e.callers = append(e.callers, c)
	go near.Write(b)
	go func() {
		defer close(c.replies)
		r := bufio.NewReader(near)
		for {
			a, err := e.driver.read(r)
			if err != nil {
				return
			}
			a.at = time.Now()
			c.replies <- a
		}
	}()
	synctest.Wait()
	return c
}

// none checks that no answer has come, one that exactly one has, with the outcome and the body.
func (e *edge) none(c *caller) {
	e.t.Helper()
	synctest.Wait()
	select {
	case a, ok := <-c.replies:
		e.t.Fatalf("answer %v %q (%v) where none is due", a.outcome, a.body, ok)
	default:
	}
}

func (e *edge) one(c *caller, want core.Outcome, body string) reply {
	e.t.Helper()
	synctest.Wait()
	select {
	case a, ok := <-c.replies:
		if !ok {
			e.t.Fatalf("lost: the connection ended without an answer")
		}
		if a.outcome != want || a.body != body {
			e.t.Fatalf("answer %v %q, want %v %q", a.outcome, a.body, want, body)
		}
		return a
	default:
		e.t.Fatalf("no answer, want %v %q", want, body)
	}
	return reply{}
}

// ran checks what the engine was given, by body, and returns the runs.
func (e *edge) ran(want ...string) []run {
	e.t.Helper()
	synctest.Wait()
	var got []string
	runs := e.engine.seen()
	for _, r := range runs {
		got = append(got, r.body)
	}
	if !slices.Equal(got, want) {
		e.t.Fatalf("ran %q, want %q", got, want)
	}
	return runs
}

func (e *edge) end(r run, o silverpath.Outcome, result string) {
	e.worker.RunEnded(r.id, o, time.Millisecond, []byte(result))
	synctest.Wait()
}

func (e *edge) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// cases is the suite.
var cases = []struct {
	name string
	test func(e *edge)
}{
	{"served with the run's result, unchanged", func(e *edge) {
		body := "a\x00b\r\n\xff"
		c := e.send(try{class: "lestvica", body: body})
		e.none(c)
		e.end(e.ran(body)[0], silverpath.OK, "\x00result\r\n")
		e.one(c, core.Served, "\x00result\r\n")
	}},
	{"a failed run fails", func(e *edge) {
		c := e.send(try{class: "lestvica", body: "x"})
		e.end(e.ran("x")[0], silverpath.Failed, "")
		e.one(c, core.Failed, "")
	}},
	{"an unknown class is turned away unrun", func(e *edge) {
		e.one(e.send(try{class: "nothing", body: "x"}), core.Rejected, "")
		e.ran()
	}},
	{"one answer by the due time while the run goes on", func(e *edge) {
		c := e.send(try{class: "oddaja", key: "k", body: "x", wait: time.Second})
		began := time.Now()
		r := e.ran("x")[0]
		e.pass(1050 * time.Millisecond)
		if a := e.one(c, core.Failed, ""); a.at.Sub(began) > time.Second {
			e.t.Fatalf("answered %v after it was sent, due after 1s", a.at.Sub(began))
		}
		e.end(r, silverpath.OK, "late")
		e.pass(deadline)
		select {
		case a, ok := <-c.replies:
			if ok {
				e.t.Fatalf("a second answer: %v %q", a.outcome, a.body)
			}
		default:
		}
	}},
	{"what is due as it is read is answered at once and not run", func(e *edge) {
		e.one(e.send(try{class: "oddaja", key: "k", body: "x", wait: 15 * time.Millisecond}), core.Failed, "")
		e.one(e.send(try{class: "lestvica", body: "y", wait: time.Millisecond}), core.Failed, "")
		e.ran()
		a := e.send(try{class: "oddaja", key: "k", body: "x"}) // nothing of it ran
		e.end(e.ran("x")[0], silverpath.OK, "done")
		e.one(a, core.Served, "done")
		e.one(e.send(try{class: "oddaja", key: "k", body: "x", wait: 15 * time.Millisecond}), core.Served, "done")
	}},
	{"a run that ended late serves the retry", func(e *edge) {
		c := e.send(try{class: "oddaja", key: "k", body: "x", wait: time.Second})
		r := e.ran("x")[0]
		e.pass(1050 * time.Millisecond)
		e.one(c, core.Failed, "")
		e.end(r, silverpath.OK, "late")
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Served, "late")
		e.ran("x")
	}},
	{"a repeat joins the run under way", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		b := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.none(b)
		e.end(e.ran("x")[0], silverpath.OK, "done")
		e.one(a, core.Served, "done")
		e.one(b, core.Served, "done")
		e.ran("x")
	}},
	{"a joined try fails in time when the run does not end", func(e *edge) {
		e.send(try{class: "oddaja", key: "k", body: "x"})
		b := e.send(try{class: "oddaja", key: "k", body: "x", wait: time.Second})
		e.pass(time.Second)
		e.one(b, core.Failed, "")
		e.ran("x")
	}},
	{"a repeat inside the window takes the result, one after it runs", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.end(e.ran("x")[0], silverpath.OK, "done")
		e.one(a, core.Served, "done")
		e.pass(window - 10*time.Millisecond)
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		e.ran("x")
		e.pass(200 * time.Millisecond)
		c := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.end(e.ran("x", "x")[1], silverpath.OK, "again")
		e.one(c, core.Served, "again")
	}},
	{"the window's last moment still belongs to it, the one past it and its slack does not", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.end(e.ran("x")[0], silverpath.OK, "done")
		e.one(a, core.Served, "done")
		e.pass(window)
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		e.pass(50 * time.Millisecond)
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		e.ran("x")
		e.pass(time.Millisecond)
		e.send(try{class: "oddaja", key: "k", body: "x"})
		e.ran("x", "x")
	}},
	{"inside the window a first try that failed, was given up or runs on is not run again", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "fails", body: "x"})
		e.end(e.ran("x")[0], silverpath.Failed, "")
		e.one(a, core.Failed, "")
		b := e.send(try{class: "oddaja", key: "leaves", body: "y"})
		e.ran("x", "y")
		b.drop()
		e.pass(50 * time.Millisecond)
		e.pass(window - 100*time.Millisecond)
		e.one(e.send(try{class: "oddaja", key: "fails", body: "x"}), core.Failed, "")
		c := e.send(try{class: "oddaja", key: "leaves", body: "y"})
		e.none(c)
		e.end(e.ran("x", "y")[1], silverpath.OK, "done")
		e.one(c, core.Served, "done")
		e.ran("x", "y")
	}},
	{"another key, or the same in another class, is another request", func(e *edge) {
		e.send(try{class: "oddaja", key: "k", body: "x"})
		e.send(try{class: "oddaja", key: "l", body: "y"})
		e.end(e.ran("x", "y")[0], silverpath.OK, "") // there are two cores
		e.send(try{class: "lestvica", key: "k", body: "z"})
		e.ran("x", "y", "z")
	}},
	{"the caller drops while its oddaja runs; the retry gets that run's result", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		r := e.ran("x")[0]
		a.drop()
		e.pass(50 * time.Millisecond)
		b := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.none(b)
		e.end(r, silverpath.OK, "done")
		e.one(b, core.Served, "done")
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		e.ran("x")
	}},
	{"the caller drops and the run ends before the retry", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		r := e.ran("x")[0]
		a.drop()
		e.end(r, silverpath.OK, "done")
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		e.ran("x")
	}},
	{"a failed effect is not run again", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.end(e.ran("x")[0], silverpath.Failed, "")
		e.one(a, core.Failed, "")
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Failed, "")
		e.ran("x")
	}},
	{"an effect that never ran may run at the next try", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.end(e.ran("x")[0], silverpath.NotStarted, "")
		e.one(a, core.Failed, "")
		b := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.end(e.ran("x", "x")[1], silverpath.OK, "done")
		e.one(b, core.Served, "done")
	}},
	{"a run stopped since its caller left leaves no answer owed and no second run", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.end(e.ran("x")[0], silverpath.Canceled, "")
		e.one(a, core.Failed, "")
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Failed, "")
		e.ran("x")
	}},
	{"a call goes below and its reply back, both unchanged", func(e *edge) {
		c := e.send(try{class: "oddaja", key: "k", body: "x"})
		r := e.ran("x")[0]
		e.worker.RunNeedsCall(r.id, []byte("\x00ask"))
		e.ran("x", "re:\x00ask")
		e.end(r, silverpath.OK, "done")
		e.one(c, core.Served, "done")
	}},
	{"a call of an effect is made again only with proof that it never ran", func(e *edge) {
		e.vault.ends = []silverpath.Outcome{silverpath.Overloaded, silverpath.Unreachable, silverpath.Failed}
		c := e.send(try{class: "oddaja", key: "k", body: "x"})
		r := e.ran("x")[0]
		e.worker.RunNeedsCall(r.id, []byte("ask"))
		e.pass(time.Second)
		if n := len(e.vault.seen()); n != 3 {
			e.t.Fatalf("%d calls, want 3: two proved that they never ran, the third did not", n)
		}
		e.one(c, core.Failed, "")
		e.ran("x")
	}},
	{"a call that does not end is given up in time for the answer", func(e *edge) {
		e.vault.delay = time.Hour
		c := e.send(try{class: "lestvica", body: "x", wait: time.Second})
		e.worker.RunNeedsCall(e.ran("x")[0].id, []byte("ask"))
		e.pass(time.Second)
		e.one(c, core.Failed, "")
	}},
	{"what can't be served in time is refused at once, with a time to come back", func(e *edge) {
		e.engine.mu.Lock()
		e.engine.busy = 1
		e.engine.mu.Unlock()
		e.pass(8 * time.Second) // the smoothed gauge follows slowly
		var all []*caller
		for i := range 60 {
			all = append(all, e.send(try{class: "lestvica", body: strconv.Itoa(i)}))
			e.pass(2 * time.Millisecond)
		}
		refused := 0
		for _, c := range all {
			select {
			case a := <-c.replies:
				if a.outcome != core.Rejected || a.retry < e.driver.retryFloor {
					e.t.Fatalf("answer %v, come back after %v", a.outcome, a.retry)
				}
				refused++
			default:
			}
		}
		if refused == 0 {
			e.t.Fatal("nothing of 60 requests on 2 cores was refused")
		}
		runs := e.engine.seen()
		if most := site.Cores * int(site.MaxRunsPerCore); len(runs) == 0 || len(runs) > most {
			e.t.Fatalf("%d runs at once, the server survives %d", len(runs), most)
		}
		for _, r := range runs {
			e.end(r, silverpath.OK, "")
		}
		e.pass(deadline)
		if n := e.core.PendingAnswers(); n != 0 {
			e.t.Fatalf("%d answers still owed", n)
		}
	}},
	{"drain: what was read is answered, and what comes inside the window may run", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		r := e.ran("x")[0]
		e.core.Drain(stopTime)
		e.pass(grace / 2)
		b := e.send(try{class: "lestvica", body: "y"})
		runs := e.ran("x", "y")
		e.end(r, silverpath.OK, "done")
		e.one(a, core.Served, "done")
		e.end(runs[1], silverpath.OK, "done")
		e.one(b, core.Served, "done")
		select {
		case <-e.core.Idle():
		default:
			e.t.Fatal("everything is answered, and the core does not say so")
		}
	}},
	{"drain: nothing that comes after the window is run", func(e *edge) {
		e.core.Drain(stopTime)
		e.pass(grace + 50*time.Millisecond)
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Rejected, "")
		e.one(e.send(try{class: "lestvica", body: "y"}), core.Rejected, "")
		e.ran()
	}},
	{"drain: what was written inside the window and is read after it is not run", func(e *edge) {
		e.core.Drain(stopTime)
		e.pass(grace / 2)
		e.seq++
		early := e.driver.write(try{class: "oddaja", key: "early", body: "x", wait: deadline}, e.seq)
		e.pass(grace/2 - 50*time.Millisecond)
		e.seq++
		late := e.driver.write(try{class: "oddaja", key: "k", body: "x", wait: deadline}, e.seq)
		e.pass(100 * time.Millisecond)
		e.one(e.raw(late), core.Rejected, "")
		e.one(e.raw(early), core.Rejected, "")
		e.ran()
	}},
	{"drain: a retry after the window still gets the result of what ran", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.core.Drain(stopTime)
		e.end(e.ran("x")[0], silverpath.OK, "done")
		e.one(a, core.Served, "done")
		e.pass(grace + 50*time.Millisecond)
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		e.ran("x")
	}},
	{"drain: all is answered before the stop although runs go on", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x", wait: time.Minute})
		e.core.Drain(stopTime)
		e.pass(stopTime - 60*time.Millisecond)
		e.one(a, core.Failed, "")
		if !e.core.Stop() {
			e.t.Fatal("an answer is still owed")
		}
	}},
	{"drain: all is answered before the stop although a call below is out", func(e *edge) {
		e.vault.delay = time.Hour
		a := e.send(try{class: "zapis", body: "x", wait: time.Minute})
		e.worker.RunNeedsCall(e.ran("x")[0].id, []byte("ask"))
		e.pass(time.Second)
		e.core.Drain(stopTime)
		e.pass(stopTime - 60*time.Millisecond)
		e.one(a, core.Failed, "")
		if !e.core.Stop() {
			e.t.Fatal("an answer is still owed")
		}
	}},
	{"garbage ends its own connection and nothing else", func(e *edge) {
		a := e.send(try{class: "lestvica", body: "x"})
		g := e.raw(e.driver.garble)
		e.pass(time.Second)
		for range g.replies { // whatever it is told, its connection ends
		}
		if n := e.stats.Get("malformed", e.driver.name); n != 1 {
			e.t.Fatalf("%d malformed counted, want 1", n)
		}
		e.end(e.ran("x")[0], silverpath.OK, "done")
		e.one(a, core.Served, "done")
	}},
	{"the key of another request brings no result of it, and takes nothing from it", func(e *edge) {
		a := e.send(try{class: "oddaja", key: "k", body: "x"})
		e.one(e.send(try{class: "oddaja", key: "k", body: "another"}), core.Failed, "")
		e.end(e.ran("x")[0], silverpath.OK, "done")
		e.one(a, core.Served, "done")
		e.one(e.send(try{class: "oddaja", key: "k", body: "another"}), core.Failed, "")
		e.one(e.send(try{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		e.ran("x")
	}},
	{"who says nothing, or half of something, is answered or closed within 3 s", func(e *edge) {
		whole := e.driver.write(try{class: "oddaja", key: "k", body: "body"}, 1)
		began := time.Now()
		var all []*caller
		for _, b := range [][]byte{nil, whole[:1], whole[:len(whole)/2], whole[:len(whole)-1]} {
			all = append(all, e.raw(b))
		}
		good := e.send(try{class: "lestvica", body: "x", wait: time.Minute})
		for _, c := range all {
			for range c.replies { // whatever it is told, its connection ends
			}
		}
		if d := time.Since(began); d > 3*time.Second {
			e.t.Fatalf("closed after %v", d)
		}
		e.end(e.ran("x")[0], silverpath.OK, "done")
		e.one(good, core.Served, "done")
	}},
	{"requests cut at any byte are never run", func(e *edge) {
		whole := e.driver.write(try{class: "oddaja", key: "k", body: "body", wait: deadline}, 1)
		for n := range len(whole) {
			e.raw(whole[:n]).drop()
		}
		e.pass(time.Second)
		e.ran()
		if n := e.core.PendingAnswers(); n != 0 {
			e.t.Fatalf("%d answers owed to nobody", n)
		}
	}},
}

// role is what the suite runs on, unchanged: the service as the platform has it, through a router, with pools and a
// reserve, and as the older and the newer of two processes.
type role struct {
	name   string
	routed bool
	pools  *admission.Config
	pair   hotrestart.Role
	keeps  bool // its runs, on a disk
}

var roles = []role{
	{"", false, nil, 0, false},
	{" through a router", true, nil, 0, false},
	{" that keeps its runs", false, nil, 0, true},
	{" that keeps its runs, through a router", true, nil, 0, true},
	{" with pools", false, &admission.Config{Pools: []admission.Pool{
		{Name: "sheets", Classes: []string{"oddaja"}, Weight: 10, Floor: 0.3}, {Name: "others", Weight: 1, Floor: 0.1}}}, 0, false},
	{" as the elder of two", false, nil, hotrestart.Predecessor, false},
	{" as the younger of two", false, nil, hotrestart.Successor, false},
}

func TestRules(t *testing.T) {
	for _, d := range drivers {
		for _, role := range roles {
			t.Run(d.name+role.name, func(t *testing.T) {
				for _, c := range cases {
					t.Run(c.name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { play(t, d, role, c.test) })
					})
				}
			})
		}
	}
}

// fixed is the source of a map that does not change.
type fixed struct{ *cells.Map }

func (f fixed) Load(*cells.Map) (*cells.Map, time.Time, error) { return f.Map, time.Now(), nil }

// route puts a server of its own behind the edge's core, which becomes a router's. It returns what ends both.
func (e *edge) route(keeps bool) func() {
	var err error
	e.worker, err = core.New(core.Config{Settings: site, MemoryMB: 64, Log: e.log, Stats: &metrics.Counters{}, Cell: true})
	if err != nil {
		e.t.Fatal(err)
	}
	unkeep := func() {}
	if keeps { // before the first probe asks since when its runs are known
		unkeep = e.keep()
	}
	back := pipes.Listen()
	ln := listener.New("back", back, 1000, e.worker.IdleAfter, msgpackrpc.New(e.worker, e.log, e.stats).Serve, e.log, e.stats)
	go ln.Serve()
	r, err := proxy.New(proxy.Config{
		Source: fixed{&cells.Map{
			Version: 1, KeyWindow: window, Lease: time.Hour, CallerTimeout: deadline, Cells: []cells.Cell{{Name: "a"}},
			Servers: []cells.Server{{Name: "s0", Addr: "pipe", Cell: "a", Weight: 1, JoinsAt: time.Now().UnixMilli()}},
			Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}},
		}},
		Cores: 64, HealthCheckInterval: time.Second, MaxConnections: 100,
		Dial: func(context.Context, string) (*msgpackrpc.Conn, error) { return msgpackrpc.NewConn(back.Dial()), nil },
	}, e.core, e.log, e.stats)
	if err != nil {
		e.t.Fatal(err)
	}
	if err := e.core.Attach(r, nil); err != nil {
		e.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go r.Maintain(ctx)
	return func() {
		unkeep()
		cancel()
		r.Close()
		ln.Close()
		e.worker.Stop()
		time.Sleep(2 * time.Hour)
	}
}

// keep has the edge's runs kept on a disk. It returns what ends that.
func (e *edge) keep() func() {
	began, clock := time.Now(), idempotencystore.Now
	idempotencystore.Now = func() idempotency.Clock {
		return idempotency.Clock{Boot: "bubble", SinceBoot: time.Hour + time.Since(began)}
	}
	dir := e.t.TempDir()
	if err := idempotencystore.Init(dir, "edge"); err != nil {
		e.t.Fatal(err)
	}
	s, err := idempotencystore.Open(idempotencystore.Config{Dir: dir, Name: "edge", MaxBytes: 8 << 20, ResultReserve: 1 << 10, Log: e.log, Stats: e.stats}, e.worker)
	if err != nil {
		e.t.Fatal(err)
	}
	e.worker.UseStore(s)
	go s.Run(context.Background())
	<-s.Loaded()
	return func() {
		s.Close()
		idempotencystore.Now = clock
		if n := e.stats.Get("runs", "oddaja", "ok"); n > 0 && e.stats.Get("store", "commits") == 0 {
			e.t.Errorf("%d sheets ran and nothing was kept", n)
		}
	}
}

// beside starts another process of the service, idle, beside the edge's core. It returns what ends it.
func (e *edge) beside(w *benchmarks.Couple, as role) func() {
	other, err := core.New(core.Config{Settings: site, MemoryMB: 64, Log: e.log, Stats: &metrics.Counters{}, Pair: w.End(1)})
	if err == nil {
		err = other.Attach(&engine{core: other}, e.vault)
	}
	if err != nil {
		e.t.Fatal(err)
	}
	first := 0
	if as.pair == hotrestart.Successor {
		first = 1
	}
	w.Join(e.core, other, first)
	other.RunnerReady()
	synctest.Wait()
	if r := e.core.PairRole(); r != as.pair || other.Phase() != lifecycle.Serving {
		e.t.Fatalf("%v, beside one that is %v", r, other.Phase())
	}
	return func() {
		w.Close()
		other.Stop()
		time.Sleep(time.Minute)
	}
}

// play runs one case on a new edge.
func play(t *testing.T, d driver, as role, test func(*edge)) {
	p, routed := as.pools, as.routed
	e := &edge{
		t: t, driver: d, log: log.New(io.Discard, "", 0), stats: &metrics.Counters{}, vault: &vault{},
		pipes: pipes.Listen(),
	}
	var err error
	var pair *core.PairConfig
	couple := benchmarks.NewCouple()
	if as.pair != 0 {
		pair = couple.End(0)
	}
	e.core, err = core.New(core.Config{Settings: site, MemoryMB: 64, Log: e.log, Stats: e.stats, Pools: p, Pair: pair})
	if err != nil {
		t.Fatal(err)
	}
	e.worker = e.core
	if routed {
		defer e.route(as.keeps)()
	} else if as.keeps {
		defer e.keep()()
	}
	e.engine = &engine{core: e.worker}
	if err := e.worker.Attach(e.engine, e.vault); err != nil {
		t.Fatal(err)
	}
	if as.pair != 0 {
		defer e.beside(couple, as)()
	}
	e.worker.RunnerReady()
	synctest.Wait()
	e.ln = listener.New(d.name, e.pipes, 1000, e.core.IdleAfter, d.serve(e), e.log, e.stats)
	if p != nil {
		e.ln.Reserve(admission.ReserveConfig{})
	}
	go e.ln.Serve()
	defer func() {
		for _, c := range e.callers {
			c.drop()
		}
		for _, r := range e.engine.seen() { // so that every goroutine ends
			e.worker.RunEnded(r.id, silverpath.Failed, 0, nil)
		}
		time.Sleep(time.Minute)
		e.core.Stop()
		e.ln.Close()
		for _, r := range e.engine.seen() {
			e.worker.RunEnded(r.id, silverpath.Failed, 0, nil)
		}
	}()
	test(e)
}
