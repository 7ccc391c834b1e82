// Package conformance holds the suite that tests the operators' four rules on the whole path from a connection to the
// answer on it. The cases are independent of the wire protocol: each runs unchanged on every front, through a stand-in
// caller of that front.
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

// attempt is one attempt of a request by a caller, and reply is the answer that the caller reads.
type attempt struct {
	class, key, body string
	timeout          time.Duration
}

type reply struct {
	outcome    core.Outcome
	body       string
	retryAfter time.Duration
	at         time.Time
}

// driver is a stand-in caller of one front.
type driver struct {
	name  string
	serve func(s *testService) listener.Handler
	// write encodes an attempt, read decodes its answer, and malformed holds bytes that are not a valid request.
	write     func(t attempt, seq int) []byte
	read      func(r *bufio.Reader) (reply, error)
	malformed []byte
	// retryFloor is the shortest retry delay that the front can express.
	retryFloor time.Duration
}

var drivers = []driver{{
	name: "msgpack",
	serve: func(s *testService) listener.Handler {
		return msgpackrpc.New(s.core, s.log, s.stats).Serve
	},
	write: func(t attempt, seq int) []byte {
		fields := []string{"i", fmt.Sprintf("%016x", seq), "s", strconv.FormatInt(time.Now().UnixMilli(), 10),
			"d", strconv.FormatInt(t.timeout.Milliseconds(), 10), "m", "20", "f", "1", "t", "acme", "p", "0.5"}
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
				return reply{outcome: out, body: string(a.Body), retryAfter: time.Duration(ms) * time.Millisecond}, err
			}
		}
	},
	malformed:  []byte("\xc1garbage"),
	retryFloor: time.Millisecond,
}, {
	name: "scgi",
	serve: func(s *testService) listener.Handler {
		return scgi.New(s.core, settings.SCGI{MaxBody: 2048, RequestKB: 20}, admission.NewBodyBudget(1<<20), 1, s.log, s.stats).Serve
	},
	write: func(t attempt, _ int) []byte {
		headers := []string{"REQUEST_METHOD", "POST", "PATH_INFO", "/" + t.class, "HTTP_X_TENANT", "acme",
			"HTTP_X_TIMEOUT_MS", strconv.FormatInt(t.timeout.Milliseconds(), 10)}
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
		return reply{outcome: out, body: body, retryAfter: a.RetryAfter}, err
	},
	malformed:  []byte("12x:garbage"),
	retryFloor: time.Second,
}}

// testCaller is one connection of a stand-in caller.
type testCaller struct {
	conn    net.Conn
	replies chan reply // receives each answer; closed when the connection ends
}

func (c *testCaller) disconnect() { c.conn.Close() }

// fakeInterpreter is a stand-in interpreter. It records the runs that it is given and leaves ending them to the test.
type fakeInterpreter struct {
	core *core.Core
	mu   sync.Mutex
	runs []run
	cpu  float64
}

type run struct{ id, class, body string }

func (f *fakeInterpreter) Run(id, class string, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run{id, class, string(body)})
}
func (f *fakeInterpreter) Resume(id string, reply []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs = append(f.runs, run{id, "resume", string(reply)})
}
func (f *fakeInterpreter) Probe() {
	f.mu.Lock()
	busy := f.cpu
	f.mu.Unlock()
	f.core.Gauges(silverpath.Gauges{CPU: busy, RunnableTasks: busy * 2})
}

func (f *fakeInterpreter) received() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs)
}

// fakeDependency is a stand-in dependency. It ends calls after delay with the given outcomes in order, and then with OK.
type fakeDependency struct {
	mu       sync.Mutex
	outcomes []silverpath.Outcome
	calls    []string
	delay    time.Duration
}

func (f *fakeDependency) Call(ctx context.Context, id string, patience time.Duration, body []byte, _ bool) (silverpath.Outcome, []byte) {
	f.mu.Lock()
	f.calls = append(f.calls, string(body))
	end := silverpath.OK
	if len(f.outcomes) > 0 {
		end, f.outcomes = f.outcomes[0], f.outcomes[1:]
	}
	delay := f.delay
	f.mu.Unlock()
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

func (f *fakeDependency) received() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

const (
	deadline   = 4 * time.Second
	keyWindow  = 10 * time.Second
	drainGrace = 2 * time.Second
	stopAfter  = 5 * time.Second
)

var serviceSettings = silverpath.Settings{
	Cores: 2, MemoryKB: 20000, RunFactor: 4, KeyKB: 5, MaxRunsPerCore: 8, RunsWindow: 3 * time.Second,
	DrainGrace: drainGrace, RetryAfter: true, MaxRetryAfter: time.Second, Servers: 2, Callers: 2,
	Signal: silverpath.SignalCredit, Dependency: silverpath.DependencyTier,
	Classes: []silverpath.Class{
		{Name: "lestvica", Objective: 1800 * time.Millisecond, Deadline: deadline, Weight: 1, CallsDependency: true},
		{Name: "oddaja", Objective: 1800 * time.Millisecond, Deadline: deadline, Weight: 3, Effect: silverpath.Idempotent,
			IdempotencyWindow: keyWindow, CallsDependency: true},
		{Name: "zapis", Objective: 1800 * time.Millisecond, Deadline: time.Minute, Weight: 1, LateWeight: 0.5, CallsDependency: true},
	},
}

// testService is a whole service in memory, except for the parts that the stand-ins replace.
type testService struct {
	t           *testing.T
	driver      driver
	core        *core.Core
	worker      *core.Core // the core whose interpreter does the work: core itself, or that of the server behind a router
	interpreter *fakeInterpreter
	dependency  *fakeDependency
	log         *log.Logger
	stats       *metrics.Counters
	pipes       *pipes.Listener
	ln          *listener.Listener
	callers     []*testCaller
	seq         int
}

func (s *testService) send(t attempt) *testCaller {
	s.t.Helper()
	if t.timeout == 0 {
		t.timeout = deadline
	}
	s.seq++
	return s.sendBytes(s.driver.write(t, s.seq))
}

func (s *testService) sendBytes(b []byte) *testCaller {
	s.t.Helper()
	conn := s.pipes.Dial()
	c := &testCaller{conn: conn, replies: make(chan reply, 8)}
	s.callers = append(s.callers, c)
	go conn.Write(b)
	go func() {
		defer close(c.replies)
		r := bufio.NewReader(conn)
		for {
			a, err := s.driver.read(r)
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

// expectNoReply checks that no answer has arrived. expectReply checks that an answer with this outcome and body has arrived
// and returns it.
func (s *testService) expectNoReply(c *testCaller) {
	s.t.Helper()
	synctest.Wait()
	select {
	case a, ok := <-c.replies:
		s.t.Fatalf("unexpected answer %v %q (received: %v)", a.outcome, a.body, ok)
	default:
	}
}

func (s *testService) expectReply(c *testCaller, want core.Outcome, body string) reply {
	s.t.Helper()
	synctest.Wait()
	select {
	case a, ok := <-c.replies:
		if !ok {
			s.t.Fatalf("the connection ended without an answer")
		}
		if a.outcome != want || a.body != body {
			s.t.Fatalf("answer %v %q, want %v %q", a.outcome, a.body, want, body)
		}
		return a
	default:
		s.t.Fatalf("no answer, want %v %q", want, body)
	}
	return reply{}
}

// expectRuns checks the bodies of all runs that the interpreter was given, in order, and returns the runs.
func (s *testService) expectRuns(want ...string) []run {
	s.t.Helper()
	synctest.Wait()
	var got []string
	runs := s.interpreter.received()
	for _, r := range runs {
		got = append(got, r.body)
	}
	if !slices.Equal(got, want) {
		s.t.Fatalf("runs %q, want %q", got, want)
	}
	return runs
}

func (s *testService) endRun(r run, outcome silverpath.Outcome, result string) {
	s.worker.RunEnded(r.id, outcome, time.Millisecond, []byte(result))
	synctest.Wait()
}

func (s *testService) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// cases are the cases of the suite.
var cases = []struct {
	name string
	test func(s *testService)
}{
	{"served with the run's result, unchanged", func(s *testService) {
		body := "a\x00b\r\n\xff"
		c := s.send(attempt{class: "lestvica", body: body})
		s.expectNoReply(c)
		s.endRun(s.expectRuns(body)[0], silverpath.OK, "\x00result\r\n")
		s.expectReply(c, core.Served, "\x00result\r\n")
	}},
	{"a failed run fails", func(s *testService) {
		c := s.send(attempt{class: "lestvica", body: "x"})
		s.endRun(s.expectRuns("x")[0], silverpath.Failed, "")
		s.expectReply(c, core.Failed, "")
	}},
	{"an unknown class is rejected and not run", func(s *testService) {
		s.expectReply(s.send(attempt{class: "nothing", body: "x"}), core.Rejected, "")
		s.expectRuns()
	}},
	{"exactly one answer arrives by the deadline while the run continues", func(s *testService) {
		c := s.send(attempt{class: "oddaja", key: "k", body: "x", timeout: time.Second})
		startedAt := time.Now()
		r := s.expectRuns("x")[0]
		s.advance(1050 * time.Millisecond)
		if a := s.expectReply(c, core.Failed, ""); a.at.Sub(startedAt) > time.Second {
			s.t.Fatalf("answered after %v, want at most 1s", a.at.Sub(startedAt))
		}
		s.endRun(r, silverpath.OK, "late")
		s.advance(deadline)
		select {
		case a, ok := <-c.replies:
			if ok {
				s.t.Fatalf("a second answer: %v %q", a.outcome, a.body)
			}
		default:
		}
	}},
	{"a request that is already due when it is read is answered at once and not run", func(s *testService) {
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x", timeout: 15 * time.Millisecond}), core.Failed, "")
		s.expectReply(s.send(attempt{class: "lestvica", body: "y", timeout: time.Millisecond}), core.Failed, "")
		s.expectRuns()
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"}) // the earlier attempt did not run
		s.endRun(s.expectRuns("x")[0], silverpath.OK, "done")
		s.expectReply(a, core.Served, "done")
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x", timeout: 15 * time.Millisecond}), core.Served, "done")
	}},
	{"a run that ends after the deadline serves the retry", func(s *testService) {
		c := s.send(attempt{class: "oddaja", key: "k", body: "x", timeout: time.Second})
		r := s.expectRuns("x")[0]
		s.advance(1050 * time.Millisecond)
		s.expectReply(c, core.Failed, "")
		s.endRun(r, silverpath.OK, "late")
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Served, "late")
		s.expectRuns("x")
	}},
	{"a repeat joins the run in progress", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		b := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.expectNoReply(b)
		s.endRun(s.expectRuns("x")[0], silverpath.OK, "done")
		s.expectReply(a, core.Served, "done")
		s.expectReply(b, core.Served, "done")
		s.expectRuns("x")
	}},
	{"an attempt that joined a run fails at its deadline if the run does not end", func(s *testService) {
		s.send(attempt{class: "oddaja", key: "k", body: "x"})
		b := s.send(attempt{class: "oddaja", key: "k", body: "x", timeout: time.Second})
		s.advance(time.Second)
		s.expectReply(b, core.Failed, "")
		s.expectRuns("x")
	}},
	{"a repeat inside the key window gets the stored result, and one after the window runs", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.endRun(s.expectRuns("x")[0], silverpath.OK, "done")
		s.expectReply(a, core.Served, "done")
		s.advance(keyWindow - 10*time.Millisecond)
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		s.expectRuns("x")
		s.advance(200 * time.Millisecond)
		c := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.endRun(s.expectRuns("x", "x")[1], silverpath.OK, "again")
		s.expectReply(c, core.Served, "again")
	}},
	{"the key window and its slack include their last moment, and 1 ms later a repeat runs", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.endRun(s.expectRuns("x")[0], silverpath.OK, "done")
		s.expectReply(a, core.Served, "done")
		s.advance(keyWindow)
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		s.advance(50 * time.Millisecond)
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		s.expectRuns("x")
		s.advance(time.Millisecond)
		s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.expectRuns("x", "x")
	}},
	{"inside the key window a first attempt that failed, was abandoned or still runs is not run again", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "fails", body: "x"})
		s.endRun(s.expectRuns("x")[0], silverpath.Failed, "")
		s.expectReply(a, core.Failed, "")
		b := s.send(attempt{class: "oddaja", key: "leaves", body: "y"})
		s.expectRuns("x", "y")
		b.disconnect()
		s.advance(50 * time.Millisecond)
		s.advance(keyWindow - 100*time.Millisecond)
		s.expectReply(s.send(attempt{class: "oddaja", key: "fails", body: "x"}), core.Failed, "")
		c := s.send(attempt{class: "oddaja", key: "leaves", body: "y"})
		s.expectNoReply(c)
		s.endRun(s.expectRuns("x", "y")[1], silverpath.OK, "done")
		s.expectReply(c, core.Served, "done")
		s.expectRuns("x", "y")
	}},
	{"another key, or the same key in another class, is another request", func(s *testService) {
		s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.send(attempt{class: "oddaja", key: "l", body: "y"})
		s.endRun(s.expectRuns("x", "y")[0], silverpath.OK, "") // there are two cores
		s.send(attempt{class: "lestvica", key: "k", body: "z"})
		s.expectRuns("x", "y", "z")
	}},
	{"the caller disconnects while its oddaja runs, and the retry gets that run's result", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		r := s.expectRuns("x")[0]
		a.disconnect()
		s.advance(50 * time.Millisecond)
		b := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.expectNoReply(b)
		s.endRun(r, silverpath.OK, "done")
		s.expectReply(b, core.Served, "done")
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		s.expectRuns("x")
	}},
	{"the caller disconnects, the run ends, and the retry gets its result", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		r := s.expectRuns("x")[0]
		a.disconnect()
		s.endRun(r, silverpath.OK, "done")
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		s.expectRuns("x")
	}},
	{"a failed request with an effect is not run again", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.endRun(s.expectRuns("x")[0], silverpath.Failed, "")
		s.expectReply(a, core.Failed, "")
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Failed, "")
		s.expectRuns("x")
	}},
	{"a request with an effect that never started may run at the next attempt", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.endRun(s.expectRuns("x")[0], silverpath.NotStarted, "")
		s.expectReply(a, core.Failed, "")
		b := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.endRun(s.expectRuns("x", "x")[1], silverpath.OK, "done")
		s.expectReply(b, core.Served, "done")
	}},
	{"a canceled run fails its request, and the retry does not run again", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.endRun(s.expectRuns("x")[0], silverpath.Canceled, "")
		s.expectReply(a, core.Failed, "")
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Failed, "")
		s.expectRuns("x")
	}},
	{"a call to the dependency and its reply are passed on unchanged", func(s *testService) {
		c := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		r := s.expectRuns("x")[0]
		s.worker.RunNeedsCall(r.id, []byte("\x00ask"))
		s.expectRuns("x", "re:\x00ask")
		s.endRun(r, silverpath.OK, "done")
		s.expectReply(c, core.Served, "done")
	}},
	{"a call of a request with an effect is retried only if it provably never ran", func(s *testService) {
		s.dependency.outcomes = []silverpath.Outcome{silverpath.Overloaded, silverpath.Unreachable, silverpath.Failed}
		c := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		r := s.expectRuns("x")[0]
		s.worker.RunNeedsCall(r.id, []byte("ask"))
		s.advance(time.Second)
		if n := len(s.dependency.received()); n != 3 {
			s.t.Fatalf("%d calls, want 3: the first two provably never ran, the third may have", n)
		}
		s.expectReply(c, core.Failed, "")
		s.expectRuns("x")
	}},
	{"a call that does not end is abandoned in time for the answer", func(s *testService) {
		s.dependency.delay = time.Hour
		c := s.send(attempt{class: "lestvica", body: "x", timeout: time.Second})
		s.worker.RunNeedsCall(s.expectRuns("x")[0].id, []byte("ask"))
		s.advance(time.Second)
		s.expectReply(c, core.Failed, "")
	}},
	{"a request that can't be served in time is refused at once with a retry delay", func(s *testService) {
		s.interpreter.mu.Lock()
		s.interpreter.cpu = 1
		s.interpreter.mu.Unlock()
		s.advance(8 * time.Second) // until the smoothed gauge has followed
		var all []*testCaller
		for i := range 60 {
			all = append(all, s.send(attempt{class: "lestvica", body: strconv.Itoa(i)}))
			s.advance(2 * time.Millisecond)
		}
		refused := 0
		for _, c := range all {
			select {
			case a := <-c.replies:
				if a.outcome != core.Rejected || a.retryAfter < s.driver.retryFloor {
					s.t.Fatalf("answer %v with retry delay %v, want a rejection with at least the front's shortest retry delay", a.outcome, a.retryAfter)
				}
				refused++
			default:
			}
		}
		if refused == 0 {
			s.t.Fatal("none of 60 requests on 2 cores was refused")
		}
		runs := s.interpreter.received()
		if most := serviceSettings.Cores * int(serviceSettings.MaxRunsPerCore); len(runs) == 0 || len(runs) > most {
			s.t.Fatalf("%d concurrent runs, want 1 to %d", len(runs), most)
		}
		for _, r := range runs {
			s.endRun(r, silverpath.OK, "")
		}
		s.advance(deadline)
		if n := s.core.PendingAnswers(); n != 0 {
			s.t.Fatalf("%d answers still pending", n)
		}
	}},
	{"drain: accepted requests are answered, and requests within the grace period may run", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		r := s.expectRuns("x")[0]
		s.core.Drain(stopAfter)
		s.advance(drainGrace / 2)
		b := s.send(attempt{class: "lestvica", body: "y"})
		runs := s.expectRuns("x", "y")
		s.endRun(r, silverpath.OK, "done")
		s.expectReply(a, core.Served, "done")
		s.endRun(runs[1], silverpath.OK, "done")
		s.expectReply(b, core.Served, "done")
		select {
		case <-s.core.Idle():
		default:
			s.t.Fatal("every request is answered, but Idle is not closed")
		}
	}},
	{"drain: requests that arrive after the grace period are not run", func(s *testService) {
		s.core.Drain(stopAfter)
		s.advance(drainGrace + 50*time.Millisecond)
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Rejected, "")
		s.expectReply(s.send(attempt{class: "lestvica", body: "y"}), core.Rejected, "")
		s.expectRuns()
	}},
	{"drain: requests written within the grace period and read after it are not run", func(s *testService) {
		s.core.Drain(stopAfter)
		s.advance(drainGrace / 2)
		s.seq++
		early := s.driver.write(attempt{class: "oddaja", key: "early", body: "x", timeout: deadline}, s.seq)
		s.advance(drainGrace/2 - 50*time.Millisecond)
		s.seq++
		late := s.driver.write(attempt{class: "oddaja", key: "k", body: "x", timeout: deadline}, s.seq)
		s.advance(100 * time.Millisecond)
		s.expectReply(s.sendBytes(late), core.Rejected, "")
		s.expectReply(s.sendBytes(early), core.Rejected, "")
		s.expectRuns()
	}},
	{"drain: a retry after the grace period still gets the result of the run", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.core.Drain(stopAfter)
		s.endRun(s.expectRuns("x")[0], silverpath.OK, "done")
		s.expectReply(a, core.Served, "done")
		s.advance(drainGrace + 50*time.Millisecond)
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		s.expectRuns("x")
	}},
	{"drain: every request is answered before the stop although its run continues", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x", timeout: time.Minute})
		s.core.Drain(stopAfter)
		s.advance(stopAfter - 60*time.Millisecond)
		s.expectReply(a, core.Failed, "")
		if !s.core.Stop() {
			s.t.Fatal("an answer is still owed")
		}
	}},
	{"drain: every request is answered before the stop although its call to the dependency is pending", func(s *testService) {
		s.dependency.delay = time.Hour
		a := s.send(attempt{class: "zapis", body: "x", timeout: time.Minute})
		s.worker.RunNeedsCall(s.expectRuns("x")[0].id, []byte("ask"))
		s.advance(time.Second)
		s.core.Drain(stopAfter)
		s.advance(stopAfter - 60*time.Millisecond)
		s.expectReply(a, core.Failed, "")
		if !s.core.Stop() {
			s.t.Fatal("an answer is still owed")
		}
	}},
	{"malformed input closes its own connection and no other", func(s *testService) {
		a := s.send(attempt{class: "lestvica", body: "x"})
		g := s.sendBytes(s.driver.malformed)
		s.advance(time.Second)
		for range g.replies { // wait for the connection's end, with or without an answer
		}
		if n := s.stats.Get("malformed", s.driver.name); n != 1 {
			s.t.Fatalf("malformed counter is %d, want 1", n)
		}
		s.endRun(s.expectRuns("x")[0], silverpath.OK, "done")
		s.expectReply(a, core.Served, "done")
	}},
	{"a different request with the same key fails and leaves the first one's result in place", func(s *testService) {
		a := s.send(attempt{class: "oddaja", key: "k", body: "x"})
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "another"}), core.Failed, "")
		s.endRun(s.expectRuns("x")[0], silverpath.OK, "done")
		s.expectReply(a, core.Served, "done")
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "another"}), core.Failed, "")
		s.expectReply(s.send(attempt{class: "oddaja", key: "k", body: "x"}), core.Served, "done")
		s.expectRuns("x")
	}},
	{"a connection that sends nothing or part of a request is closed within 3 s", func(s *testService) {
		whole := s.driver.write(attempt{class: "oddaja", key: "k", body: "body"}, 1)
		startedAt := time.Now()
		var all []*testCaller
		for _, b := range [][]byte{nil, whole[:1], whole[:len(whole)/2], whole[:len(whole)-1]} {
			all = append(all, s.sendBytes(b))
		}
		good := s.send(attempt{class: "lestvica", body: "x", timeout: time.Minute})
		for _, c := range all {
			for range c.replies { // wait for the connection's end, with or without an answer
			}
		}
		if d := time.Since(startedAt); d > 3*time.Second {
			s.t.Fatalf("closed after %v, want at most 3s", d)
		}
		s.endRun(s.expectRuns("x")[0], silverpath.OK, "done")
		s.expectReply(good, core.Served, "done")
	}},
	{"requests truncated at any byte are never run", func(s *testService) {
		whole := s.driver.write(attempt{class: "oddaja", key: "k", body: "body", timeout: deadline}, 1)
		for n := range len(whole) {
			s.sendBytes(whole[:n]).disconnect()
		}
		s.advance(time.Second)
		s.expectRuns()
		if n := s.core.PendingAnswers(); n != 0 {
			s.t.Fatalf("%d answers pending for closed connections", n)
		}
	}},
}

// variant is a setup of the service on which the suite runs unchanged: a plain service, a server behind a router, a server
// with an idempotency store, a service with pools and a reserve, and the predecessor or the successor of a hot restart.
type variant struct {
	name    string
	routed  bool
	pools   *admission.Config
	pair    hotrestart.Role
	durable bool // the service keeps an idempotency store on disk
}

var variants = []variant{
	{"", false, nil, 0, false},
	{" through a router", true, nil, 0, false},
	{" with an idempotency store", false, nil, 0, true},
	{" with an idempotency store, through a router", true, nil, 0, true},
	{" with pools", false, &admission.Config{Pools: []admission.Pool{
		{Name: "sheets", Classes: []string{"oddaja"}, Weight: 10, Floor: 0.3}, {Name: "others", Weight: 1, Floor: 0.1}}}, 0, false},
	{" as the predecessor", false, nil, hotrestart.Predecessor, false},
	{" as the successor", false, nil, hotrestart.Successor, false},
}

func TestRules(t *testing.T) {
	for _, d := range drivers {
		for _, v := range variants {
			t.Run(d.name+v.name, func(t *testing.T) {
				for _, c := range cases {
					t.Run(c.name, func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) { runCase(t, d, v, c.test) })
					})
				}
			})
		}
	}
}

// fixedSource is the source of a map that does not change.
type fixedSource struct{ *cells.Map }

func (f fixedSource) Load(*cells.Map) (*cells.Map, time.Time, error) { return f.Map, time.Now(), nil }

// startServer starts a server and makes the service's core a router in front of it. The returned function stops both.
func (s *testService) startServer(durable bool) func() {
	var err error
	s.worker, err = core.New(core.Config{Settings: serviceSettings, MemoryMB: 64, Log: s.log, Stats: &metrics.Counters{}, Cell: true})
	if err != nil {
		s.t.Fatal(err)
	}
	closeStore := func() {}
	if durable { // must come before the router's first health check, which asks since when the store's runs are known
		closeStore = s.openStore()
	}
	pipe := pipes.Listen()
	serverLn := listener.New("back", pipe, 1000, s.worker.IdleAfter, msgpackrpc.New(s.worker, s.log, s.stats).Serve, s.log, s.stats)
	go serverLn.Serve()
	r, err := proxy.New(proxy.Config{
		Source: fixedSource{&cells.Map{
			Version: 1, KeyWindow: keyWindow, Lease: time.Hour, CallerTimeout: deadline, Cells: []cells.Cell{{Name: "a"}},
			Servers: []cells.Server{{Name: "s0", Addr: "pipe", Cell: "a", Weight: 1, JoinsAt: time.Now().UnixMilli()}},
			Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}},
		}},
		Cores: 64, HealthCheckInterval: time.Second, MaxConnections: 100,
		Dial: func(context.Context, string) (*msgpackrpc.Conn, error) { return msgpackrpc.NewConn(pipe.Dial()), nil },
	}, s.core, s.log, s.stats)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := s.core.Attach(r, nil); err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go r.Maintain(ctx)
	return func() {
		closeStore()
		cancel()
		r.Close()
		serverLn.Close()
		s.worker.Stop()
		time.Sleep(2 * time.Hour)
	}
}

// openStore attaches an idempotency store to the worker. The returned function closes the store.
func (s *testService) openStore() func() {
	startedAt, clock := time.Now(), idempotencystore.Now
	idempotencystore.Now = func() idempotency.Clock {
		return idempotency.Clock{Boot: "bubble", SinceBoot: time.Hour + time.Since(startedAt)}
	}
	dir := s.t.TempDir()
	if err := idempotencystore.Init(dir, "edge"); err != nil {
		s.t.Fatal(err)
	}
	store, err := idempotencystore.Open(idempotencystore.Config{Dir: dir, Name: "edge", MaxBytes: 8 << 20, ResultReserve: 1 << 10, Log: s.log, Stats: s.stats}, s.worker)
	if err != nil {
		s.t.Fatal(err)
	}
	s.worker.UseStore(store)
	go store.Run(context.Background())
	<-store.Loaded()
	return func() {
		store.Close()
		idempotencystore.Now = clock
		if n := s.stats.Get("runs", "oddaja", "ok"); n > 0 && s.stats.Get("store", "commits") == 0 {
			s.t.Errorf("%d oddaja requests ran, but the store committed nothing", n)
		}
	}
}

// startOther starts an idle second process of the service as the peer of a hot restart. The returned function stops it.
func (s *testService) startOther(link *benchmarks.PairLink, v variant) func() {
	other, err := core.New(core.Config{Settings: serviceSettings, MemoryMB: 64, Log: s.log, Stats: &metrics.Counters{}, Pair: link.End(1)})
	if err == nil {
		err = other.Attach(&fakeInterpreter{core: other}, s.dependency)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	first := 0
	if v.pair == hotrestart.Successor {
		first = 1
	}
	link.Join(s.core, other, first)
	other.RunnerReady()
	synctest.Wait()
	if r := s.core.PairRole(); r != v.pair || other.Phase() != lifecycle.Serving {
		s.t.Fatalf("role %v with a peer in phase %v, want the variant's role and a serving peer", r, other.Phase())
	}
	return func() {
		link.Close()
		other.Stop()
		time.Sleep(time.Minute)
	}
}

// runCase runs one case on a new service.
func runCase(t *testing.T, d driver, v variant, test func(*testService)) {
	pools, routed := v.pools, v.routed
	s := &testService{
		t: t, driver: d, log: log.New(io.Discard, "", 0), stats: &metrics.Counters{}, dependency: &fakeDependency{},
		pipes: pipes.Listen(),
	}
	var err error
	var pair *core.PairConfig
	link := benchmarks.NewPairLink()
	if v.pair != 0 {
		pair = link.End(0)
	}
	s.core, err = core.New(core.Config{Settings: serviceSettings, MemoryMB: 64, Log: s.log, Stats: s.stats, Pools: pools, Pair: pair})
	if err != nil {
		t.Fatal(err)
	}
	s.worker = s.core
	if routed {
		defer s.startServer(v.durable)()
	} else if v.durable {
		defer s.openStore()()
	}
	s.interpreter = &fakeInterpreter{core: s.worker}
	if err := s.worker.Attach(s.interpreter, s.dependency); err != nil {
		t.Fatal(err)
	}
	if v.pair != 0 {
		defer s.startOther(link, v)()
	}
	s.worker.RunnerReady()
	synctest.Wait()
	s.ln = listener.New(d.name, s.pipes, 1000, s.core.IdleAfter, d.serve(s), s.log, s.stats)
	if pools != nil {
		s.ln.Reserve(admission.ReserveConfig{})
	}
	go s.ln.Serve()
	defer func() {
		for _, c := range s.callers {
			c.disconnect()
		}
		for _, r := range s.interpreter.received() { // so that every goroutine ends
			s.worker.RunEnded(r.id, silverpath.Failed, 0, nil)
		}
		time.Sleep(time.Minute)
		s.core.Stop()
		s.ln.Close()
		for _, r := range s.interpreter.received() {
			s.worker.RunEnded(r.id, silverpath.Failed, 0, nil)
		}
	}()
	test(s)
}
