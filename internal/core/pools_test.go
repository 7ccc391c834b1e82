package core

import (
	"fmt"
	"io"
	"log"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
)

// busyRunner never ends a run and reports that all cores are busy.
type busyRunner struct {
	core   *Core
	mu     sync.Mutex
	runs   int
	memory float64
}

func (r *busyRunner) Run(string, string, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs++
}
func (r *busyRunner) Resume(string, []byte) {}
func (r *busyRunner) Probe() {
	r.mu.Lock()
	memory := r.memory
	r.mu.Unlock()
	r.core.Gauges(silverpath.Gauges{CPU: 1, RunnableTasks: 2, Memory: memory})
}

// testWithPools runs a test on a core with pools, in simulated time.
func testWithPools(t *testing.T, cfg admission.Config, test func(c *Core, r *busyRunner, s *metrics.Counters, logged func() string)) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var lines strings.Builder
		counters, class := &metrics.Counters{}, idempotentClass
		class.Objective, class.Weight = 3*time.Second, 3
		c, err := New(Config{
			Name: "n1", Status: true, MemoryMB: 512, Pools: &cfg, Stats: counters,
			Log: log.New(lockedWriter{&mu, &lines}, "", 0),
			Settings: silverpath.Settings{Cores: 2, MemoryKB: 10000, RunFactor: 4, MaxRunsPerCore: 8, RetryAfter: true,
				MaxRetryAfter: time.Second, DrainGrace: 500 * time.Millisecond, Classes: []silverpath.Class{
					{Name: "lestvica", Objective: 500 * time.Millisecond, Deadline: 4 * time.Second, Weight: 1}, class}},
		})
		if err != nil {
			t.Fatal(err)
		}
		r := &busyRunner{core: c}
		if err := c.Attach(r, nil); err != nil {
			t.Fatal(err)
		}
		c.RunnerReady()
		test(c, r, counters, func() string {
			mu.Lock()
			defer mu.Unlock()
			return lines.String()
		})
		time.Sleep(time.Minute)
		c.Stop()
		for i := range 2000 {
			c.RunEnded(fmt.Sprint("a", i), silverpath.Failed, 0, nil)
		}
		time.Sleep(time.Minute)
	})
}

type lockedWriter struct {
	mu *sync.Mutex
	io.Writer
}

func (w lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Writer.Write(b)
}

func twoPools() admission.Config {
	return admission.Config{Limit: admission.Bounds{Fixed: 2}, Pools: []admission.Pool{
		{Name: "sheets", Classes: []string{"oddaja"}, Weight: 10, Floor: 0.5}, {Name: "others", Weight: 1}}}
}

func serveAsync(c *Core, id, class string, answer func(Answer)) {
	now := time.Now()
	go c.Serve(Request{Front: "test", ID: id, Class: class, MemoryKB: 1, ReceivedAt: now, Deadline: now.Add(4 * time.Second)}, answer)
}

// Guards against a flood that takes the cores because its requests are rejected only after they are read. While a class is
// rejected on arrival, its gate is closed and further requests are rejected unread, which is reported to the module. Requests of
// idempotent classes may be duplicates and are always read.
func TestGateClosesInAFlood(t *testing.T) {
	testWithPools(t, twoPools(), func(c *Core, r *busyRunner, s *metrics.Counters, _ func() string) {
		for round := range 10 { // so that the module has an estimate of a run's duration
			for i := range 2 {
				serveAsync(c, fmt.Sprintf("w%d-%d", round, i), "lestvica", func(Answer) {})
			}
			time.Sleep(400 * time.Millisecond)
			for i := range 2 {
				c.RunEnded(fmt.Sprintf("w%d-%d", round, i), silverpath.OK, 400*time.Millisecond, nil)
			}
			synctest.Wait()
		}
		rejections := make(chan Answer, 5000)
		for i := range 200 {
			serveAsync(c, fmt.Sprint("a", i), "lestvica", func(a Answer) { rejections <- a })
		}
		synctest.Wait()
		a, closed := c.RejectsUnread("test", "lestvica")
		want := <-rejections // unread requests get the module's latest rejection
		if !closed || a.Outcome != Rejected || a.RetryAfter != want.RetryAfter || a.Final != want.Final || a.RetryAfter <= 0 {
			t.Errorf("answer %+v, gate closed: %v, after %d rejections", a, closed, len(rejections))
		}
		if _, closed := c.RejectsUnread("test", "oddaja"); closed {
			t.Error("the gate of an idempotent class is closed")
		}
		time.Sleep(25 * time.Millisecond)
		if _, closed := c.RejectsUnread("test", "lestvica"); closed {
			t.Error("the gate is still closed after a tick")
		}
		time.Sleep(50 * time.Millisecond)
		if n := s.Get("unread", "test", "lestvica"); n != 1 {
			t.Errorf("counter unread is %d, want 1", n)
		}
		if n := c.currentGates()["lestvica"].unread.Load(); n != 0 {
			t.Errorf("%d unread rejections are not reported to the module", n)
		}
	})
}

// The status shows the pools, and the log shows their changes.
func TestStatusAndLog(t *testing.T) {
	testWithPools(t, twoPools(), func(c *Core, r *busyRunner, _ *metrics.Counters, logged func() string) {
		for i := range 6 {
			serveAsync(c, fmt.Sprint("a", i), "lestvica", func(Answer) {})
		}
		r.mu.Lock()
		r.memory = 0.85
		r.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		status := string(c.Status())
		for _, want := range []string{`"name":"n1"`, `"phase":"serving"`, `"stage":"scarce"`, `"belief":"fixed"`,
			`"name":"sheets"`, `"name":"others"`, `"runs":2`, `"lock_wait"`, `"decide"`} {
			if !strings.Contains(status, want) {
				t.Errorf("%s is missing from the status %s", want, status)
			}
		}
		if l := logged(); !strings.Contains(l, "admission: memory scarce: 0.85 booked") || !strings.Contains(l, "admission: limit 2.0") {
			t.Errorf("log is %q", l)
		}
		if c.MaxBody(2048) != 512 {
			t.Errorf("the largest body is %d bytes, want 512", c.MaxBody(2048))
		}
		invalid := twoPools()
		invalid.Pools[0].Floor = 3
		if err := c.ReloadPools(invalid); err == nil || c.ReloadPools(twoPools()) != nil {
			t.Errorf("reload of invalid pools returned %v, or reload of valid pools failed", err)
		}
	})
}

// At 95% booked memory no new request is admitted, but duplicates of an ended run get its stored result. They are neither rejected
// nor run again.
func TestDuplicatesWhileMemoryIsCritical(t *testing.T) {
	testWithPools(t, twoPools(), func(c *Core, r *busyRunner, _ *metrics.Counters, _ func() string) {
		serve := func(id, key string) Answer {
			answers := make(chan Answer, 1)
			now := time.Now()
			go c.Serve(Request{Front: "test", ID: id, Class: "oddaja", Key: key, MemoryKB: 1, ReceivedAt: now, Deadline: now.Add(4 * time.Second)},
				func(a Answer) { answers <- a })
			synctest.Wait()
			select {
			case a := <-answers:
				return a
			default:
				return Answer{Outcome: -1}
			}
		}
		if a := serve("s1", "k1"); a.Outcome != -1 {
			t.Fatalf("answer %+v before the run has ended", a)
		}
		c.RunEnded("s1", silverpath.OK, time.Millisecond, []byte("scored"))
		synctest.Wait()
		r.mu.Lock()
		r.memory = 0.95
		r.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		for i := range 20 {
			if a := serve(fmt.Sprint("new", i), fmt.Sprint("other", i)); a.Outcome != Rejected || a.RetryAfter == 0 {
				t.Fatalf("a new request: answer %+v, want Rejected", a)
			}
			if a := serve(fmt.Sprint("again", i), "k1"); a.Outcome != Served || string(a.Body) != "scored" {
				t.Fatalf("a duplicate: answer %+v, want the stored result", a)
			}
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.runs != 1 {
			t.Errorf("%d runs, want 1", r.runs)
		}
	})
}

// A drain starts while the idempotent pool's runs are borrowed by another pool. An idempotent request that arrives within the
// drain window runs as soon as a borrower ends, a later one does not run, and every request is answered.
func TestDrainWhileConcurrencyIsLent(t *testing.T) {
	testWithPools(t, twoPools(), func(c *Core, r *busyRunner, _ *metrics.Counters, _ func() string) {
		var mu sync.Mutex
		got := map[string]Outcome{}
		send := func(id, class string) {
			serveAsync(c, id, class, func(a Answer) {
				mu.Lock()
				defer mu.Unlock()
				got[id] = a.Outcome
			})
			synctest.Wait()
		}
		send("a0", "lestvica")
		send("a1", "lestvica")
		if p := c.pools.Snapshot(c.clock()).Pools; p[1].Running != 2 {
			t.Fatalf("the borrowing pool has %d of 2 runs", p[1].Running)
		}
		c.Drain(5 * time.Second)
		send("s0", "oddaja")
		c.RunEnded("a0", silverpath.OK, time.Millisecond, []byte("x"))
		synctest.Wait()
		if p := c.pools.Snapshot(c.clock()).Pools; p[0].Running != 1 {
			t.Errorf("the lending pool has %d runs after a borrower has ended, want 1", p[0].Running)
		}
		c.RunEnded("a1", silverpath.OK, time.Millisecond, []byte("x"))
		c.RunEnded("s0", silverpath.OK, time.Millisecond, []byte("x"))
		time.Sleep(time.Second) // past the drain window
		send("s1", "oddaja")
		mu.Lock()
		defer mu.Unlock()
		want := map[string]Outcome{"a0": Served, "a1": Served, "s0": Served, "s1": Rejected}
		for id, o := range want {
			if got[id] != o {
				t.Errorf("%s: %v, want %v", id, got[id], o)
			}
		}
		if c.PendingAnswers() != 0 {
			t.Errorf("%d pending answers, want 0", c.PendingAnswers())
		}
	})
}
