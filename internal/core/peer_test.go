package core

import (
	"errors"
	"fmt"
	"io"
	"log"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silverpath"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/hotrestart"
	"silverpath/internal/policy/lifecycle"
)

// process is one process of a pair, without sockets or goroutines: its core and the attempts that wait for their key.
type process struct {
	c         *Core
	startedAt int64
	toldAlone bool // whether the core was last told that it is alone
	attempts  map[string][]*task
}

// pairSim simulates two slots, the messages in flight between their processes, and the runs since both slots were last empty.
type pairSim struct {
	t           rapid.TB
	procs       [2]*process
	linked      bool
	linkID      [2]int
	writeClosed [2]bool                 // the link cannot be written to any more
	inFlight    [2][]hotrestart.Message // by the slot of the receiver
	marks       map[int64]bool
	results     map[string]string // by key; each key runs at most once
	now         time.Time
	lastID      int
}

func (w *pairSim) start(i int) {
	if w.procs[0] == nil && w.procs[1] == nil {
		w.results = map[string]string{} // a service that starts with both slots empty has no earlier runs
	}
	c, err := New(Config{Name: "n", MemoryMB: 64, Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{},
		Settings: silverpath.Settings{Cores: 1, MemoryKB: 1e6, Classes: []silverpath.Class{idempotentClass}},
		Pair: &PairConfig{Wake: func() {}, Shared: func(bool) {},
			Flush: func(int) error { return nil }, MarkUnnotified: func() error { return nil }}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.lastID++
	proc := &process{c: c, startedAt: int64(w.lastID), attempts: map[string][]*task{}}
	w.procs[i] = proc
	c.PairSlotTaken(proc.startedAt, i)
	c.RunnerReady()
	w.checkPeerSlot(i)
}

// checkPeerSlot simulates the check of the other slot by a process without a link.
func (w *pairSim) checkPeerSlot(i int) {
	proc := w.procs[i]
	if proc == nil || w.linked {
		return
	}
	if w.procs[1-i] != nil {
		proc.toldAlone = false
		proc.c.PairPeerPresent()
	} else if !proc.toldAlone {
		proc.toldAlone = true
		w.reportPeerGone(i)
	}
}

func (w *pairSim) reportPeerGone(i int) {
	w.procs[i].c.PairPeerAbsent(func(startedAt int64) bool { return w.marks[startedAt] })
	w.pollClaims(i)
}

// flush moves the outbox of a process to the link. It returns false if the link is closed or was replaced.
func (w *pairSim) flush(i, linkID int) bool {
	proc := w.procs[i]
	if proc == nil || !w.linked || linkID != w.linkID[i] || w.writeClosed[i] {
		return false
	}
	out, err := proc.c.PairTakeOutbox(linkID)
	if err != nil {
		w.t.Fatal(err)
	}
	w.inFlight[1-i] = append(w.inFlight[1-i], out...)
	return true
}

func (w *pairSim) connect() {
	if w.linked || w.procs[0] == nil || w.procs[1] == nil {
		return
	}
	w.linked, w.writeClosed = true, [2]bool{}
	for i, proc := range w.procs {
		w.inFlight[i] = nil
		w.linkID[i] = proc.c.PairLinkUp()
	}
	w.flush(0, w.linkID[0])
	w.flush(1, w.linkID[1])
}

// deliver passes one message to a process.
func (w *pairSim) deliver(i int) {
	if w.procs[i] == nil || len(w.inFlight[i]) == 0 {
		return
	}
	proc, m := w.procs[i], w.inFlight[i][0]
	w.inFlight[i] = w.inFlight[i][1:]
	clearMark, marks, err := proc.c.PairMessage(m)
	if err != nil {
		switch {
		case errors.Is(err, hotrestart.ErrPeerReplaced):
			w.reportPeerGone(i)
			w.cutLink(i)
			proc.c.PairPeerPresent()
		case errors.Is(err, hotrestart.ErrStaleIdentity):
			w.cutLink(i)
		default:
			w.t.Fatalf("message rejected: %v", err)
		}
		return
	}
	if clearMark && w.flush(i, w.linkID[i]) && proc.c.PairMarks() == marks {
		delete(w.marks, proc.startedAt)
	}
	w.pollClaims(i)
	w.flush(i, w.linkID[i])
}

// cutLink closes the link. The process that closes it reads no more messages, and the other reads everything that was written.
func (w *pairSim) cutLink(by int) {
	if !w.linked {
		return
	}
	other := 1 - by
	failed := false
	for w.linked && w.procs[other] != nil && len(w.inFlight[other]) > 0 {
		pending := w.inFlight[other]
		m := pending[0]
		w.inFlight[other] = pending[1:]
		if _, _, err := w.procs[other].c.PairMessage(m); err != nil {
			if failed = true; errors.Is(err, hotrestart.ErrPeerReplaced) {
				w.reportPeerGone(other)
			}
			break
		}
	}
	w.linked = false
	unreadAtCutter := len(w.inFlight[by]) > 0
	w.inFlight = [2][]hotrestart.Message{}
	for i, proc := range w.procs {
		if proc != nil {
			proc.c.PairLinkDown(i == by && unreadAtCutter || i == other && failed)
			w.pollClaims(i)
		}
	}
}

func (w *pairSim) kill(i int) {
	if w.procs[i] == nil {
		return
	}
	w.procs[i] = nil
	if w.linked {
		w.inFlight[i] = nil
		w.cutLink(i)
	}
}

// addAttempt passes an attempt with the given key to a process.
func (w *pairSim) addAttempt(i int, key string) {
	proc := w.procs[i]
	if proc == nil || proc.c.Phase() != lifecycle.Serving && proc.c.Phase() != lifecycle.Evacuated {
		return
	}
	w.lastID++
	t := &task{class: idempotentClass, wake: make(chan struct{}, 1), Request: Request{ID: fmt.Sprint("t", w.lastID), Class: "oddaja", Key: key,
		ReceivedAt: w.now, Deadline: w.now.Add(4 * time.Second), Body: []byte(key)}}
	proc.c.mu.Lock()
	proc.c.pair.coordinator.BeginClaim(keyOf(idempotentClass, &t.Request))
	proc.c.mu.Unlock()
	proc.attempts[key] = append(proc.attempts[key], t)
	w.pollClaims(i)
	w.flush(i, w.linkID[i])
}

// pollClaims checks the claims of attempts that wait for their key, as Core.awaitKey does: the first attempt of each key, or all.
// With the first attempt only, the others stay as goroutines that have not woken yet.
func (w *pairSim) pollClaims(i int, all ...bool) {
	proc := w.procs[i]
	if proc == nil {
		return
	}
	c := proc.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range proc.attempts {
		var waiting []*task
		for n, t := range list {
			if n > 0 && len(all) == 0 {
				waiting = append(waiting, t)
				continue
			}
			claim := hotrestart.Execution{Key: keyOf(idempotentClass, &t.Request), ID: t.ID, Fingerprint: c.keys.fingerprint(t),
				ReceivedAt: w.now.UnixNano(),
				ExpiresAt:  w.now.Add(time.Hour).UnixNano(), Window: idempotentClass.IdempotencyWindow}
			v := c.pair.coordinator.CheckClaim(claim)
			c.applyPairEffects()
			if v == hotrestart.Pending {
				waiting = append(waiting, t)
				continue
			}
			if v == hotrestart.Granted {
				if !c.keys.resolve(t, 0, w.now) || t.keyConflict {
					w.t.Fatalf("key %s is granted but cannot be added", key)
				}
				if t.duplicateOf != nil && t.duplicateOf.done && t.duplicateOf.succeeded && string(t.duplicateOf.result) != w.results[key] {
					w.t.Fatalf("a duplicate of key %s gets result %q, want %q", key, t.duplicateOf.result, w.results[key])
				}
			}
			c.pair.coordinator.EndClaim(claim.Key, claim.ReceivedAt)
			c.applyPairEffects()
		}
		proc.attempts[key] = waiting
	}
}

// ownExecution returns a process's own execution of a key if it is at the given stage.
func (w *pairSim) ownExecution(i int, stage hotrestart.Stage, key string) *execution {
	if w.procs[i] == nil || w.procs[i].c.keys.entries["\x00"+key] == nil {
		return nil
	}
	e := w.procs[i].c.keys.entries["\x00"+key]
	for _, x := range []*execution{e.queued, e.latest} {
		if x != nil && !x.peerOwned && x.forPeer().Stage == stage {
			return x
		}
	}
	return nil
}

// step performs one action if it is possible.
func (w *pairSim) step(action string, i int, key string) {
	queued, running := w.ownExecution(i, hotrestart.Queued, key), w.ownExecution(i, hotrestart.Running, key)
	switch {
	case action == "start" && w.procs[i] == nil:
		w.start(i)
	case action == "kill":
		w.kill(i)
	case action == "connect":
		w.connect()
	case action == "cut":
		w.cutLink(i)
	case action == "deliver":
		w.deliver(i)
	case action == "check":
		w.checkPeerSlot(i)
	case action == "settle":
		w.settle()
	case action == "poll":
		w.pollClaims(i)
		w.flush(i, w.linkID[i])
	case action == "send":
		w.addAttempt(i, key)
	case (action == "run" || action == "runcut") && queued != nil:
		w.startRun(i, queued, action == "runcut")
	case (action == "end" || action == "fail") && running != nil:
		w.endRun(i, running, action == "end")
	case action == "drop" && queued != nil:
		w.dropRequest(i, queued)
	case action == "failwrites" && w.linked:
		w.writeClosed[i] = true
		w.procs[i].c.PairWriteClosed(w.linkID[i])
	case action == "evacuate" && w.procs[i] != nil:
		w.procs[i].c.lifecycle.apply(lifecycle.Evacuate)
		w.procs[i].c.notifyEvacuated()
	case action == "rejoin" && w.procs[i] != nil:
		w.procs[i].c.lifecycle.apply(lifecycle.Rejoin)
		w.procs[i].c.notifyEvacuated()
	}
}

// startRun starts a run after the required notice to the other process. With cutFirst, the link breaks before the notice is
// written.
func (w *pairSim) startRun(i int, x *execution, cutFirst bool) {
	c := w.procs[i].c
	t := &task{class: idempotentClass, execution: x, Request: Request{ID: x.requestID, Class: "oddaja", Key: x.entry.key[1:]}}
	c.mu.Lock()
	if !c.keys.markStarted(t) {
		w.t.Fatalf("key %s does not start", t.Key)
	}
	notice, linkID := c.notifyStart(x)
	c.mu.Unlock()
	if cutFirst {
		w.cutLink(1 - i)
	}
	if notice == hotrestart.NoticeByLink && !w.flush(i, linkID) {
		c.updatePair(func(s *hotrestart.Coordinator) { s.NoticeLost() })
		notice = hotrestart.NoticeByMark
	}
	if notice == hotrestart.NoticeByMark {
		w.marks[w.procs[i].startedAt] = true
	}
	if first, twice := w.results[t.Key]; twice {
		w.t.Fatalf("key %s runs twice: the first run has result %q", t.Key, first)
	}
	w.results[t.Key] = "result of " + x.requestID
}

func (w *pairSim) endRun(i int, x *execution, ok bool) {
	c := w.procs[i].c
	c.mu.Lock()
	outcome := silverpath.Failed
	if ok {
		outcome = silverpath.OK
	}
	c.keys.markEnded(x, outcome, []byte("result of "+x.requestID), w.now)
	c.notifyEnd(x)
	c.mu.Unlock()
	w.flush(i, w.linkID[i])
}

func (w *pairSim) dropRequest(i int, x *execution) {
	c := w.procs[i].c
	c.mu.Lock()
	c.releaseKey(&task{class: idempotentClass, execution: x})
	c.mu.Unlock()
	w.flush(i, w.linkID[i])
}

// settle runs 20 rounds in which both processes, or the only one, check their slots, connect, deliver all messages and poll all
// claims: enough to reach a stable state.
func (w *pairSim) settle() {
	for range 20 {
		if w.writeClosed != [2]bool{} { // the peer reads to the end of the stream and closes the link
			for i := range 2 {
				for len(w.inFlight[i]) > 0 {
					w.deliver(i)
				}
			}
			w.cutLink(0)
			w.writeClosed = [2]bool{}
		}
		w.checkPeerSlot(0)
		w.checkPeerSlot(1)
		w.connect()
		for i := range 2 {
			w.flush(i, w.linkID[i])
			for len(w.inFlight[i]) > 0 {
				w.deliver(i)
			}
			w.pollClaims(i, true)
		}
	}
}

// Whatever the order in which processes start and die, links break or go silent, and attempts arrive at either process: no key
// runs twice, every duplicate gets the result of the run, and finally there is one predecessor, both processes are ready, and both
// agree on whether they are evacuated.
func TestRandomOrdersOfAPair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &pairSim{t: t, marks: map[int64]bool{}, results: map[string]string{}, now: time.Now()}
		w.start(0)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "place")
			action := rapid.SampledFrom([]string{"start", "kill", "connect", "connect", "cut", "deliver", "deliver", "deliver", "deliver",
				"send", "send", "run", "run", "runcut", "end", "fail", "drop", "check", "check", "evacuate", "rejoin", "settle", "failwrites", "poll",
				"poll"}).Draw(t, "step")
			w.step(action, i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
		}
		w.settle()
		predecessors, alive := 0, 0
		for i, proc := range w.procs {
			if proc == nil {
				continue
			}
			alive++
			if r := proc.c.PairRole(); r == hotrestart.Predecessor || r == hotrestart.Sole {
				predecessors++
			}
			if p := proc.c.Phase(); p != lifecycle.Serving && p != lifecycle.Evacuated {
				t.Fatalf("slot %d is in phase %v with role %v", i, p, proc.c.PairRole())
			}
			for key, list := range proc.attempts {
				if len(list) > 0 {
					t.Fatalf("slot %d: an attempt of key %s still waits", i, key)
				}
			}
		}
		if alive > 0 && predecessors != 1 {
			t.Fatalf("%d predecessors among %d processes, want 1", predecessors, alive)
		}
		if alive == 2 && w.procs[0].c.Health() != w.procs[1].c.Health() {
			t.Fatal("one process is evacuated and the other is not")
		}
	})
}

// Orders that random ones rarely reach. A step is an action, a slot and a key. Step "queued" requires that the key is queued in
// that process and would run there, "absent" that it is not, and "complete" that the process knows all runs.
func TestRareOrdersOfAPair(t *testing.T) {
	for name, script := range map[string]string{
		"predecessor runs without a link and dies, successor gets the retry": "start1 settle0 cut0 send0a run0a kill0 check1 send1a absent1a settle1",
		"link breaks while the predecessor writes its notice":                "start1 settle0 send0a runcut0a kill0 check1 send1a absent1a settle1",
		"marked runs are listed on the next link":                            "start1 settle0 cut0 send0a run0a settle0 kill0 check1 send1b queued1b send1a absent1a",
		"first of two granted attempts is rejected, predecessor runs the key": "start1 settle0 send1a send1a deliver0 deliver1 drop1a " +
			"deliver0 send0a run0a poll1 absent1a settle0",
		"grant is lost with the link":                                         "start1 settle0 send1a deliver0 cut1 settle0 queued1a",
		"process starts beside one that does not know the runs of a dead one": "send0a run0a start1 kill0 start0 kill1 start1 settle0 send0a send1a settle0 absent0a absent1a",
		"successor runs a key that is listed as queued there, and dies":       "start1 settle0 send1a deliver0 deliver1 cut0 settle0 run1a kill1 check0 send0a absent0a",
		"successor closes the link with an unread notice, predecessor dies":   "start1 settle0 send0a run0a cut1 kill0 check1 send1a absent1a",
		"predecessor shuts down, a third process takes its slot at once":      "start1 settle0 send0a run0a end0a settle0 kill0 start0 connect0 deliver1 complete1 settle0 complete0 complete1",
		"unknown runs are passed on to the next process":                      "start1 settle0 cut0 send0a run0a kill0 check1 start0 settle0 kill1 check0 send0a absent0a",
		"predecessor's writes fail, the link stays, and it dies":              "start1 settle0 failwrites0 send0a run0a send0b run0b end0b kill0 check1 send1a absent1a",
		"predecessor dies during a run, its queued request may run":           "start1 settle0 send0a run0a send0b settle0 kill0 check1 send1a absent1a send1b queued1b",
		"successor dies during a granted run, a third process learns of it":   "start1 settle0 send1a settle0 run1a kill1 check0 send0a absent0a start1 settle0 send1a absent1a",
	} {
		t.Run(name, func(t *testing.T) {
			w := &pairSim{t: t, marks: map[int64]bool{}, results: map[string]string{}, now: time.Now()}
			w.start(0)
			for _, step := range strings.Fields(script) {
				n := strings.IndexAny(step, "01")
				action, i, key := step[:n], int(step[n]-'0'), step[n+1:]
				queued := w.ownExecution(i, hotrestart.Queued, key) != nil
				if needsQueued := action == "run" || action == "runcut" || action == "drop" || action == "queued"; needsQueued && !queued || action == "absent" && queued {
					t.Fatalf("step %s: the key is queued: %v", step, queued)
				}
				if action == "complete" && w.procs[i].c.pair.coordinator.UnknownUntil() != 0 {
					t.Fatalf("step %s: the process does not know all runs", step)
				}
				w.step(action, i, key)
				if proc := w.procs[i]; proc != nil && w.writeClosed[i] && len(proc.c.pair.outbox) > 0 {
					t.Fatalf("step %s: %d messages are kept for a closed link", step, len(proc.c.pair.outbox))
				}
			}
		})
	}
}

// Operators' commands and readiness must not wait for the core's lock.
func TestOperatorsWaitForNoLock(t *testing.T) {
	w := &pairSim{t: t, marks: map[int64]bool{}, results: map[string]string{}, now: time.Now()}
	w.start(0)
	c := w.procs[0].c
	c.mu.Lock()
	defer c.mu.Unlock()
	done := make(chan string)
	go func() {
		got := ""
		for _, command := range []func() (bool, string){c.Ready, c.Evacuate, c.Ready, c.Rejoin, c.Ready} {
			ok, _ := command()
			got += fmt.Sprint(ok, c.Health(), " ")
		}
		done <- got
	}()
	select {
	case got := <-done:
		if got != "true true true false false false true true true true " {
			t.Error(got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("an operator's command waits for the core's lock")
	}
}
