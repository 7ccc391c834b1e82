package core

import (
	"fmt"
	"io"
	"log"
	"testing"
	"testing/synctest"
	"time"

	"silverpath"
)

var sheets = silverpath.Class{Name: "oddaja", Effect: silverpath.Idempotent, Deadline: 4 * time.Second, IdempotencyWindow: 10 * time.Second}

func tryAt(id string, reached time.Time) *task {
	return &task{Request: Request{ID: id, Class: "oddaja", Key: "k", ReceivedAt: reached, Deadline: reached.Add(4 * time.Second)}, class: sheets}
}

// An attempt that was read late found its window over, and ran again. It is a duplicate of the run inside whose window it reached
// the machine, however late it is read, and also when it reached the machine before the one that ran.
func TestAttemptReadLateIsADuplicate(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := tryAt("a", t0)
	k.resolve(first, 0, t0)
	if !k.markStarted(first) {
		t.Fatal("the first try may not run")
	}
	k.markEnded(first.execution, silverpath.OK, []byte("done"), t0.Add(time.Second))
	k.evictExpired(t0.Add(sheets.IdempotencyWindow + 3900*time.Millisecond))
	for _, reached := range []time.Duration{-time.Second, time.Second, sheets.IdempotencyWindow} {
		late := tryAt("b", t0.Add(reached))
		k.resolve(late, 0, t0.Add(reached+3900*time.Millisecond))
		if late.duplicateOf == nil || late.duplicateOf.requestID != "a" {
			t.Errorf("reached %v after: repeats %v", reached, late.duplicateOf)
		}
	}
	next := tryAt("c", t0.Add(sheets.IdempotencyWindow+time.Second))
	if k.resolve(next, 0, next.ReceivedAt); next.duplicateOf != nil || !k.markStarted(next) {
		t.Error("a try past the window may not run")
	}
}

// Two requests came with one key by mistake, and one had the other's result. What has the key of another request but is not the
// same gets no result of it, whether that is queued, runs or has run; it neither takes the key over nor keeps the next true
// attempt from its result.
func TestKeyConflict(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := tryAt("a", t0)
	first.Body = []byte("sheet")
	k.resolve(first, 0, t0)
	check := func(when string) {
		t.Helper()
		body, tenant, same := tryAt("b", t0.Add(time.Second)), tryAt("c", t0.Add(time.Second)), tryAt("d", t0.Add(time.Second))
		body.Body, tenant.Body, same.Body = []byte("another sheet"), []byte("sheet"), []byte("sheet")
		tenant.Tenant = "other"
		for _, x := range []*task{body, tenant} {
			if !k.resolve(x, 0, t0.Add(time.Second)) || !x.keyConflict || x.duplicateOf != nil || x.execution != nil {
				t.Errorf("%s: %s is taken for a try of a", when, x.ID)
			}
		}
		if k.resolve(same, 0, t0.Add(time.Second)); same.keyConflict || same.duplicateOf != first.execution {
			t.Errorf("%s: a true try is not linked", when)
		}
	}
	check("held")
	k.markStarted(first)
	check("running")
	k.markEnded(first.execution, silverpath.OK, []byte("done"), t0)
	check("done")
}

// Where the site names its tenants, one that it does not know is turned away before it takes a place.
func TestUnknownTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Config{MemoryMB: 64, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
			Cores: 1, MemoryKB: 1e9, MaxRunsPerCore: 8, Classes: []silverpath.Class{sheets},
			Tenants: []silverpath.Tenant{{Name: "acme", Rate: 10}}}})
		if err != nil {
			t.Fatal(err)
		}
		m := &misled{core: c}
		if err := c.Attach(m, nil); err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		var got []Answer
		c.Serve(Request{ID: "a", Class: "oddaja", Tenant: "nobody", ReceivedAt: now, Deadline: now.Add(time.Second), MemoryKB: 1},
			func(a Answer) { got = append(got, a) })
		if len(got) != 1 || got[0].Outcome != Invalid || len(m.runs) != 0 {
			t.Fatalf("answers %v, ran %v", got, m.runs)
		}
		c.Stop()
	})
}

// A newer attempt that never runs must not make the table forget what did: else a late attempt would run again.
func TestForgottenAttemptLeavesTheLatestRun(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := tryAt("a", t0)
	k.resolve(first, 0, t0)
	k.markStarted(first)
	k.markEnded(first.execution, silverpath.OK, []byte("done"), t0)
	next := tryAt("b", t0.Add(sheets.IdempotencyWindow+time.Second))
	k.resolve(next, 0, next.ReceivedAt)
	k.removeUnstarted(next.execution)
	late := tryAt("c", t0.Add(sheets.IdempotencyWindow-time.Second))
	if k.resolve(late, 0, next.ReceivedAt); late.duplicateOf != first.execution {
		t.Fatal("the run is forgotten")
	}
}

// Keys and results are bounded: at the bound new keys are turned away, until those before them expire.
func TestKeysAreBounded(t *testing.T) {
	k, t0 := newKeyTable(64<<10), time.Unix(1000, 0)
	n := 0
	for ; n < 10000; n++ {
		r := tryAt(fmt.Sprint(n), t0)
		r.Key = r.ID
		if !k.resolve(r, 0, t0) {
			break
		}
		k.markStarted(r)
		k.markEnded(r.execution, silverpath.OK, make([]byte, 4096), t0)
	}
	if n == 10000 || k.bytes > 64<<10+8192 {
		t.Fatalf("%d keys, %d bytes", n, k.bytes)
	}
	k.evictExpired(t0.Add(time.Minute))
	if len(k.entries) != 0 || k.bytes != 0 {
		t.Fatalf("%d entries and %d bytes are left", len(k.entries), k.bytes)
	}
}

// misled asks for what the rules forbid, as a mistaken module would.
type misled struct {
	core *Core
	runs []string
}

func (m *misled) Run(id, _ string, _ []byte) { m.runs = append(m.runs, id) }
func (m *misled) Resume(string, []byte)      {}
func (m *misled) Probe()                     {}

// Whatever the module asks for, by a mistake of its own or of the host's, the core starts no second run of a request with an
// effect, none after the drain window, and none whose answer is settled; the counter guard shows it.
func TestNoEffectRunsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Config{MemoryMB: 64, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
			Cores: 4, MemoryKB: 10000, MaxRunsPerCore: 8, Classes: []silverpath.Class{sheets}}})
		if err != nil {
			t.Fatal(err)
		}
		m := &misled{core: c}
		if err := c.Attach(m, nil); err != nil {
			t.Fatal(err)
		}
		send := func(id string) chan Answer {
			answers := make(chan Answer, 2)
			now := time.Now()
			go c.Serve(Request{Front: "test", ID: id, Class: "oddaja", Key: "k", ReceivedAt: now, Deadline: now.Add(time.Second), MemoryKB: 1},
				func(a Answer) { answers <- a })
			synctest.Wait()
			return answers
		}
		a := send("a")
		b := send("b") // joins a
		for _, id := range []string{"a", "b"} {
			c.mu.Lock()
			(*host)(c).Run(id)
			c.performActions()
			c.mu.Unlock()
			synctest.Wait()
		}
		if len(m.runs) != 1 || c.stats.Get("guard") != 1 {
			t.Fatalf("ran %v, guard %d", m.runs, c.stats.Get("guard"))
		}
		c.RunEnded("a", silverpath.OK, 0, nil)
		time.Sleep(2 * time.Second)
		if len(a) != 1 || len(b) != 1 {
			t.Fatalf("%d and %d answers", len(a), len(b))
		}
		c.Stop()
	})
}

// A request that is not idempotent has no key by which a second run would be noticed. Should its run ever be over without an
// answer, and the module ask for another, the core starts none: that it was started is enough.
func TestStartedRequestIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Config{MemoryMB: 64, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
			Cores: 4, MemoryKB: 10000, MaxRunsPerCore: 8, Classes: []silverpath.Class{
				{Name: "pay", Objective: time.Second, Deadline: time.Second, Weight: 1, Effect: silverpath.NonIdempotent}}}})
		if err != nil {
			t.Fatal(err)
		}
		m := &misled{core: c}
		if err := c.Attach(m, nil); err != nil {
			t.Fatal(err)
		}
		answers := make(chan Answer, 2)
		now := time.Now()
		go c.Serve(Request{Front: "test", ID: "a", Class: "pay", ReceivedAt: now, Deadline: now.Add(time.Second), MemoryKB: 1},
			func(a Answer) { answers <- a })
		synctest.Wait()
		c.mu.Lock()
		c.tasks["a"].running = false // its end was lost
		(*host)(c).Run("a")
		c.performActions()
		c.mu.Unlock()
		synctest.Wait()
		if len(m.runs) != 1 || c.stats.Get("guard") != 1 {
			t.Errorf("ran %v, guard %d", m.runs, c.stats.Get("guard"))
		}
		if len(answers) != 1 {
			t.Fatalf("%d answers", len(answers))
		}
		if a := <-answers; a.Outcome != Failed {
			t.Errorf("answered %v: it may have run", a.Outcome)
		}
		time.Sleep(2 * time.Second)
		c.Stop()
	})
}

// More requests in hand than the process has memory for would end it: what is beyond the bound is rejected at once.
func TestRequestsInHandAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Config{MemoryMB: 64, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
			Cores: 1, MemoryKB: 1e9, MaxRunsPerCore: 1000, Classes: []silverpath.Class{sheets}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Attach(&misled{core: c}, nil); err != nil {
			t.Fatal(err)
		}
		c.maxTasks = 1
		now := time.Now()
		var got []Answer
		for _, id := range []string{"a", "a", "b"} {
			go c.Serve(Request{ID: id, Class: "oddaja", ReceivedAt: now, Deadline: now.Add(time.Second), MemoryKB: 1},
				func(a Answer) { got = append(got, a) })
			synctest.Wait()
		}
		if len(got) != 2 || got[0].Outcome != Invalid || got[1].Outcome != Rejected {
			t.Fatalf("answers %v", got)
		}
		c.RunEnded("a", silverpath.OK, 0, nil)
		time.Sleep(2 * time.Second)
		c.Stop()
	})
}

// Operators gave a class another name while its requests were retried, and the retry ran again. The attempt under the new name is
// one of the same request, whether the first one is queued, runs or has ended.
func TestRetryUnderARenamedClass(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := tryAt("a", t0)
	k.resolve(first, 0, t0)
	check := func(when string) {
		t.Helper()
		next := tryAt("b", t0.Add(300*time.Millisecond))
		next.Class, next.class.Name = "oddaja-next", "oddaja-next"
		if !k.resolve(next, 0, next.ReceivedAt) || next.keyConflict || next.duplicateOf == nil || next.duplicateOf.requestID != "a" {
			t.Errorf("%s: repeats %+v", when, next.duplicateOf)
		}
	}
	check("held")
	k.markStarted(first)
	check("running")
	k.markEnded(first.execution, silverpath.Canceled, nil, t0.Add(time.Second))
	check("ended, who knows how")
}
