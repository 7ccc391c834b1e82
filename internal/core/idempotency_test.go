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

var idempotentClass = silverpath.Class{Name: "oddaja", Effect: silverpath.Idempotent, Deadline: 4 * time.Second,
	IdempotencyWindow: 10 * time.Second}

func attemptAt(id string, receivedAt time.Time) *task {
	return &task{Request: Request{ID: id, Class: "oddaja", Key: "k", ReceivedAt: receivedAt,
		Deadline: receivedAt.Add(4 * time.Second)}, class: idempotentClass}
}

// Guards against a second run of a request whose attempt was read late, when its window seemed over. The attempt is a duplicate if
// it reached the machine within the window of the run, also if it reached the machine before the attempt that ran.
func TestAttemptReadLateIsADuplicate(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := attemptAt("a", t0)
	k.resolve(first, 0, t0)
	if !k.markStarted(first) {
		t.Fatal("the first attempt may not run")
	}
	k.markEnded(first.execution, silverpath.OK, []byte("done"), t0.Add(time.Second))
	k.evictExpired(t0.Add(idempotentClass.IdempotencyWindow + 3900*time.Millisecond))
	for _, offset := range []time.Duration{-time.Second, time.Second, idempotentClass.IdempotencyWindow} {
		late := attemptAt("b", t0.Add(offset))
		k.resolve(late, 0, t0.Add(offset+3900*time.Millisecond))
		if late.duplicateOf == nil || late.duplicateOf.requestID != "a" {
			t.Errorf("received %v after the run: duplicate of %v, want a", offset, late.duplicateOf)
		}
	}
	next := attemptAt("c", t0.Add(idempotentClass.IdempotencyWindow+time.Second))
	if k.resolve(next, 0, next.ReceivedAt); next.duplicateOf != nil || !k.markStarted(next) {
		t.Error("an attempt after the window may not run")
	}
}

// Guards against a request that gets the result of another one with the same key. Such a request is a key conflict while the other
// is queued, runs or has ended. It does not take over the key, and later attempts of the other request still get their result.
func TestKeyConflict(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := attemptAt("a", t0)
	first.Body = []byte("sheet")
	k.resolve(first, 0, t0)
	check := func(state string) {
		t.Helper()
		otherBody, otherTenant, duplicate := attemptAt("b", t0.Add(time.Second)), attemptAt("c", t0.Add(time.Second)), attemptAt("d", t0.Add(time.Second))
		otherBody.Body, otherTenant.Body, duplicate.Body = []byte("another sheet"), []byte("sheet"), []byte("sheet")
		otherTenant.Tenant = "other"
		for _, x := range []*task{otherBody, otherTenant} {
			if !k.resolve(x, 0, t0.Add(time.Second)) || !x.keyConflict || x.duplicateOf != nil || x.execution != nil {
				t.Errorf("%s: %s is not a key conflict", state, x.ID)
			}
		}
		if k.resolve(duplicate, 0, t0.Add(time.Second)); duplicate.keyConflict || duplicate.duplicateOf != first.execution {
			t.Errorf("%s: a duplicate is not linked to the execution of a", state)
		}
	}
	check("queued")
	k.markStarted(first)
	check("running")
	k.markEnded(first.execution, silverpath.OK, []byte("done"), t0)
	check("ended")
}

// A request of a tenant that the settings do not list is rejected before it takes capacity.
func TestUnknownTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Config{MemoryMB: 64, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
			Cores: 1, MemoryKB: 1e9, MaxRunsPerCore: 8, Classes: []silverpath.Class{idempotentClass},
			Tenants: []silverpath.Tenant{{Name: "acme", Rate: 10}}}})
		if err != nil {
			t.Fatal(err)
		}
		r := &recordingRunner{core: c}
		if err := c.Attach(r, nil); err != nil {
			t.Fatal(err)
		}
		now := time.Now()
		var got []Answer
		c.Serve(Request{ID: "a", Class: "oddaja", Tenant: "nobody", ReceivedAt: now, Deadline: now.Add(time.Second), MemoryKB: 1},
			func(a Answer) { got = append(got, a) })
		if len(got) != 1 || got[0].Outcome != Invalid || len(r.runs) != 0 {
			t.Fatalf("answers %v, want one Invalid; runs %v, want none", got, r.runs)
		}
		c.Stop()
	})
}

// Guards against an attempt that never ran and erases the record of an earlier run under its key. A late attempt would then run
// again.
func TestForgottenAttemptLeavesTheLatestRun(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := attemptAt("a", t0)
	k.resolve(first, 0, t0)
	k.markStarted(first)
	k.markEnded(first.execution, silverpath.OK, []byte("done"), t0)
	next := attemptAt("b", t0.Add(idempotentClass.IdempotencyWindow+time.Second))
	k.resolve(next, 0, next.ReceivedAt)
	k.removeUnstarted(next.execution)
	late := attemptAt("c", t0.Add(idempotentClass.IdempotencyWindow-time.Second))
	if k.resolve(late, 0, next.ReceivedAt); late.duplicateOf != first.execution {
		t.Fatal("the record of the run is lost")
	}
}

// The memory of keys and results is limited. When the table is full, new keys are rejected until older ones expire.
func TestKeysAreBounded(t *testing.T) {
	k, t0 := newKeyTable(64<<10), time.Unix(1000, 0)
	n := 0
	for ; n < 10000; n++ {
		r := attemptAt(fmt.Sprint(n), t0)
		r.Key = r.ID
		if !k.resolve(r, 0, t0) {
			break
		}
		k.markStarted(r)
		k.markEnded(r.execution, silverpath.OK, make([]byte, 4096), t0)
	}
	if n == 10000 || k.bytes > 64<<10+8192 {
		t.Fatalf("%d keys accepted, %d bytes used", n, k.bytes)
	}
	k.evictExpired(t0.Add(time.Minute))
	if len(k.entries) != 0 || k.bytes != 0 {
		t.Fatalf("%d entries and %d bytes remain, want none", len(k.entries), k.bytes)
	}
}

// recordingRunner records the ids of the requests that it is asked to run, and ends none of them.
type recordingRunner struct {
	core *Core
	runs []string
}

func (r *recordingRunner) Run(id, _ string, _ []byte) { r.runs = append(r.runs, id) }
func (r *recordingRunner) Resume(string, []byte)      {}
func (r *recordingRunner) Probe()                     {}

// Even if the module or its host asks for it by mistake, the core starts no second run of a request with effects, no run after the
// drain window and no run of an answered request. The counter guard counts these cases.
func TestNoEffectRunsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Config{MemoryMB: 64, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
			Cores: 4, MemoryKB: 10000, MaxRunsPerCore: 8, Classes: []silverpath.Class{idempotentClass}}})
		if err != nil {
			t.Fatal(err)
		}
		m := &recordingRunner{core: c}
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
		answersA := send("a")
		answersB := send("b") // joins the run of a
		for _, id := range []string{"a", "b"} {
			c.mu.Lock()
			(*host)(c).Run(id)
			c.performActions()
			c.mu.Unlock()
			synctest.Wait()
		}
		if len(m.runs) != 1 || c.stats.Get("guard") != 1 {
			t.Fatalf("runs %v, want 1; guard counter %d, want 1", m.runs, c.stats.Get("guard"))
		}
		c.RunEnded("a", silverpath.OK, 0, nil)
		time.Sleep(2 * time.Second)
		if len(answersA) != 1 || len(answersB) != 1 {
			t.Fatalf("%d and %d answers, want 1 each", len(answersA), len(answersB))
		}
		c.Stop()
	})
}

// A request that is not idempotent has no key that would reveal a second run. If its run ends without an answer and the module
// asks for another run, the core starts none, because the request was started before.
func TestStartedRequestIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Config{MemoryMB: 64, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
			Cores: 4, MemoryKB: 10000, MaxRunsPerCore: 8, Classes: []silverpath.Class{
				{Name: "pay", Objective: time.Second, Deadline: time.Second, Weight: 1, Effect: silverpath.NonIdempotent}}}})
		if err != nil {
			t.Fatal(err)
		}
		m := &recordingRunner{core: c}
		if err := c.Attach(m, nil); err != nil {
			t.Fatal(err)
		}
		answers := make(chan Answer, 2)
		now := time.Now()
		go c.Serve(Request{Front: "test", ID: "a", Class: "pay", ReceivedAt: now, Deadline: now.Add(time.Second), MemoryKB: 1},
			func(a Answer) { answers <- a })
		synctest.Wait()
		c.mu.Lock()
		c.tasks["a"].running = false // as if the end of the run had been lost
		(*host)(c).Run("a")
		c.performActions()
		c.mu.Unlock()
		synctest.Wait()
		if len(m.runs) != 1 || c.stats.Get("guard") != 1 {
			t.Errorf("runs %v, want 1; guard counter %d, want 1", m.runs, c.stats.Get("guard"))
		}
		if len(answers) != 1 {
			t.Fatalf("%d answers, want 1", len(answers))
		}
		if a := <-answers; a.Outcome != Failed {
			t.Errorf("answer %v, want Failed: the request may have run", a.Outcome)
		}
		time.Sleep(2 * time.Second)
		c.Stop()
	})
}

// Guards against running out of memory: requests above the limit on requests in progress are rejected at once.
func TestRequestsInHandAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := New(Config{MemoryMB: 64, Log: log.New(io.Discard, "", 0), Settings: silverpath.Settings{
			Cores: 1, MemoryKB: 1e9, MaxRunsPerCore: 1000, Classes: []silverpath.Class{idempotentClass}}})
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Attach(&recordingRunner{core: c}, nil); err != nil {
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
			t.Fatalf("answers %v, want Invalid and Rejected", got)
		}
		c.RunEnded("a", silverpath.OK, 0, nil)
		time.Sleep(2 * time.Second)
		c.Stop()
	})
}

// Guards against a second run when operators rename a class between two attempts. The attempt under the new name is a duplicate,
// whether the first attempt is queued, runs or has ended.
func TestRetryUnderARenamedClass(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	first := attemptAt("a", t0)
	k.resolve(first, 0, t0)
	check := func(state string) {
		t.Helper()
		next := attemptAt("b", t0.Add(300*time.Millisecond))
		next.Class, next.class.Name = "oddaja-next", "oddaja-next"
		if !k.resolve(next, 0, next.ReceivedAt) || next.keyConflict || next.duplicateOf == nil || next.duplicateOf.requestID != "a" {
			t.Errorf("%s: duplicate of %+v, want a", state, next.duplicateOf)
		}
	}
	check("queued")
	k.markStarted(first)
	check("running")
	k.markEnded(first.execution, silverpath.Canceled, nil, t0.Add(time.Second))
	check("ended with unknown outcome")
}

// Guards against a peer that fills the table with questions about ever new keys, after which every new key would be rejected. Questions get
// a part of the table, and give it back when their marks expire.
func TestQuestionsLeaveRoomForRuns(t *testing.T) {
	k, t0 := newKeyTable(1<<20), time.Unix(1000, 0)
	marked := 0
	for i := range 10000 {
		question := attemptAt(fmt.Sprint("q", i), t0)
		question.Key, question.OnlyIfKnown = fmt.Sprint("question ", i), true
		if k.resolve(question, 0, t0) {
			marked++
		}
	}
	if marked < 100 || k.bytes > k.maxBytes*2/3 {
		t.Errorf("%d questions take %d of %d bytes", marked, k.bytes, k.maxBytes)
	}
	if first := attemptAt("a", t0); !k.resolve(first, 0, t0) || !k.markStarted(first) {
		t.Error("a new key may not run beside the questions")
	}
	k.evictExpired(t0.Add(time.Minute))
	if k.limitedBytes != 0 {
		t.Errorf("%d bytes of marks are left after they expired", k.limitedBytes)
	}
}
