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

// half is one process of a pair, without sockets or goroutines: its core's table and decisions, and what it wrote.
type half struct {
	c     *Core
	stamp int64
	alone bool // as its core was told
	tries map[string][]*task
}

// world is two places, what is on the wire between them, and what has run since both were last empty.
type world struct {
	t      rapid.TB
	procs  [2]*half
	linked bool
	link   [2]int
	mute   [2]bool                 // nothing can be written any more
	wire   [2][]hotrestart.Message // to the process in that place
	marks  map[int64]bool
	ran    map[string]string // the result of the one run of a key
	now    time.Time
	seq    int
}

func (w *world) start(i int) {
	if w.procs[0] == nil && w.procs[1] == nil {
		w.ran = map[string]string{} // a service that starts from nothing knows nothing
	}
	c, err := New(Config{Name: "n", MemoryMB: 64, Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{},
		Settings: silverpath.Settings{Cores: 1, MemoryKB: 1e6, Classes: []silverpath.Class{sheets}},
		Pair: &PairConfig{Wake: func() {}, Shared: func(bool) {},
			Flush: func(int) error { return nil }, MarkUnnotified: func() error { return nil }}})
	if err != nil {
		w.t.Fatal(err)
	}
	w.seq++
	h := &half{c: c, stamp: int64(w.seq), tries: map[string][]*task{}}
	w.procs[i] = h
	c.PairPlaced(h.stamp, i)
	c.RunnerReady()
	w.look(i)
}

// look is what a process does that has no link: it sees whether the other place is empty.
func (w *world) look(i int) {
	h := w.procs[i]
	if h == nil || w.linked {
		return
	}
	if w.procs[1-i] != nil {
		h.alone = false
		h.c.PairOther()
	} else if !h.alone {
		h.alone = true
		w.gone(i)
	}
}

func (w *world) gone(i int) {
	w.procs[i].c.PairAlone(func(stamp int64) bool { return w.marks[stamp] })
	w.poll(i)
}

// flush writes what a process has to send. It reports whether it did, on that link.
func (w *world) flush(i, link int) bool {
	h := w.procs[i]
	if h == nil || !w.linked || link != w.link[i] || w.mute[i] {
		return false
	}
	out, err := h.c.PairOut(link)
	if err != nil {
		w.t.Fatal(err)
	}
	w.wire[1-i] = append(w.wire[1-i], out...)
	return true
}

func (w *world) connect() {
	if w.linked || w.procs[0] == nil || w.procs[1] == nil {
		return
	}
	w.linked, w.mute = true, [2]bool{}
	for i, h := range w.procs {
		w.wire[i] = nil
		w.link[i] = h.c.PairLinked()
	}
	w.flush(0, w.link[0])
	w.flush(1, w.link[1])
}

// deliver has a process read one message.
func (w *world) deliver(i int) {
	if w.procs[i] == nil || len(w.wire[i]) == 0 {
		return
	}
	h, m := w.procs[i], w.wire[i][0]
	w.wire[i] = w.wire[i][1:]
	clear, marks, err := h.c.PairMessage(m)
	if err != nil {
		switch {
		case errors.Is(err, hotrestart.ErrPeerReplaced):
			w.gone(i)
			w.cut(i)
			h.c.PairOther()
		case errors.Is(err, hotrestart.ErrStaleIdentity):
			w.cut(i)
		default:
			w.t.Fatalf("a message is refused: %v", err)
		}
		return
	}
	if clear && w.flush(i, w.link[i]) && h.c.PairMarks() == marks {
		delete(w.marks, h.stamp)
	}
	w.poll(i)
	w.flush(i, w.link[i])
}

// cut ends the link; the one who ended it reads no more, the other all that was written.
func (w *world) cut(by int) {
	if !w.linked {
		return
	}
	other := 1 - by
	broke := false
	for w.linked && w.procs[other] != nil && len(w.wire[other]) > 0 {
		rest := w.wire[other]
		m := rest[0]
		w.wire[other] = rest[1:]
		if _, _, err := w.procs[other].c.PairMessage(m); err != nil {
			if broke = true; errors.Is(err, hotrestart.ErrPeerReplaced) {
				w.gone(other)
			}
			break
		}
	}
	w.linked = false
	unread := len(w.wire[by]) > 0
	w.wire = [2][]hotrestart.Message{}
	for i, h := range w.procs {
		if h != nil {
			h.c.PairCut(i == by && unread || i == other && broke)
			w.poll(i)
		}
	}
}

func (w *world) kill(i int) {
	if w.procs[i] == nil {
		return
	}
	w.procs[i] = nil
	if w.linked {
		w.wire[i] = nil
		w.cut(i)
	}
}

// try brings a try of a key to a process.
func (w *world) try(i int, key string) {
	h := w.procs[i]
	if h == nil || h.c.Phase() != lifecycle.Serving && h.c.Phase() != lifecycle.Evacuated {
		return
	}
	w.seq++
	t := &task{class: sheets, wake: make(chan struct{}, 1), Request: Request{ID: fmt.Sprint("t", w.seq), Class: "oddaja", Key: key,
		ReceivedAt: w.now, Deadline: w.now.Add(4 * time.Second), Body: []byte(key)}}
	h.c.mu.Lock()
	h.c.pair.coordinator.BeginClaim(keyOf(sheets, &t.Request))
	h.c.mu.Unlock()
	h.tries[key] = append(h.tries[key], t)
	w.poll(i)
	w.flush(i, w.link[i])
}

// poll lets tries that wait for their key go on where they may, as the core's claim does: one of each key, as their
// goroutines wake in any order, or all.
func (w *world) poll(i int, all ...bool) {
	h := w.procs[i]
	if h == nil {
		return
	}
	c := h.c
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, list := range h.tries {
		var waiting []*task
		for n, t := range list {
			if n > 0 && len(all) == 0 {
				waiting = append(waiting, t)
				continue
			}
			f := hotrestart.Execution{Key: keyOf(sheets, &t.Request), ID: t.ID, Fingerprint: c.keys.fingerprint(t), ReceivedAt: w.now.UnixNano(),
				ExpiresAt: w.now.Add(time.Hour).UnixNano(), Window: sheets.IdempotencyWindow}
			v := c.pair.coordinator.CheckClaim(f)
			c.applyPairEffects()
			if v == hotrestart.Pending {
				waiting = append(waiting, t)
				continue
			}
			if v == hotrestart.Granted {
				if !c.keys.resolve(t, 0, w.now) || t.keyConflict {
					w.t.Fatalf("%s is not entered", key)
				}
				if t.duplicateOf != nil && t.duplicateOf.done && t.duplicateOf.succeeded && string(t.duplicateOf.result) != w.ran[key] {
					w.t.Fatalf("a repeat of %s gets %q, the run's result is %q", key, t.duplicateOf.result, w.ran[key])
				}
			}
			c.pair.coordinator.EndClaim(f.Key, f.ReceivedAt)
			c.applyPairEffects()
		}
		h.tries[key] = waiting
	}
}

// find returns a process's own run of a key, where it is at a stage.
func (w *world) find(i int, stage hotrestart.Stage, key string) *execution {
	if w.procs[i] == nil || w.procs[i].c.keys.entries["\x00"+key] == nil {
		return nil
	}
	e := w.procs[i].c.keys.entries["\x00"+key]
	for _, f := range []*execution{e.queued, e.latest} {
		if f != nil && !f.peerOwned && f.forPeer().Stage == stage {
			return f
		}
	}
	return nil
}

// step plays one step, where it can be.
func (w *world) step(do string, i int, key string) {
	held, running := w.find(i, hotrestart.Queued, key), w.find(i, hotrestart.Running, key)
	switch {
	case do == "start" && w.procs[i] == nil:
		w.start(i)
	case do == "kill":
		w.kill(i)
	case do == "connect":
		w.connect()
	case do == "cut":
		w.cut(i)
	case do == "deliver":
		w.deliver(i)
	case do == "look":
		w.look(i)
	case do == "heal":
		w.heal()
	case do == "poll":
		w.poll(i)
		w.flush(i, w.link[i])
	case do == "try":
		w.try(i, key)
	case (do == "run" || do == "runcut") && held != nil:
		w.run(i, held, do == "runcut")
	case (do == "end" || do == "fail") && running != nil:
		w.end(i, running, do == "end")
	case do == "drop" && held != nil:
		w.drop(i, held)
	case do == "mute" && w.linked:
		w.mute[i] = true
		w.procs[i].c.PairWriteClosed(w.link[i])
	case do == "evacuate" && w.procs[i] != nil:
		w.procs[i].c.lifecycle.apply(lifecycle.Evacuate)
		w.procs[i].c.notifyEvacuated()
	case do == "rejoin" && w.procs[i] != nil:
		w.procs[i].c.lifecycle.apply(lifecycle.Rejoin)
		w.procs[i].c.notifyEvacuated()
	}
}

// run begins a run, as far as the other process has to hear of it first.
func (w *world) run(i int, f *execution, cutBefore bool) {
	c := w.procs[i].c
	t := &task{class: sheets, execution: f, Request: Request{ID: f.requestID, Class: "oddaja", Key: f.entry.key[1:]}}
	c.mu.Lock()
	if !c.keys.markStarted(t) {
		w.t.Fatalf("%s does not start", t.Key)
	}
	note, link := c.notifyStart(f)
	c.mu.Unlock()
	if cutBefore {
		w.cut(1 - i)
	}
	if note == hotrestart.NoticeByLink && !w.flush(i, link) {
		c.updatePair(func(s *hotrestart.Coordinator) { s.NoticeLost() })
		note = hotrestart.NoticeByMark
	}
	if note == hotrestart.NoticeByMark {
		w.marks[w.procs[i].stamp] = true
	}
	if first, twice := w.ran[t.Key]; twice {
		w.t.Fatalf("%s runs twice: %q is there", t.Key, first)
	}
	w.ran[t.Key] = "result of " + f.requestID
}

func (w *world) end(i int, f *execution, ok bool) {
	c := w.procs[i].c
	c.mu.Lock()
	out := silverpath.Failed
	if ok {
		out = silverpath.OK
	}
	c.keys.markEnded(f, out, []byte("result of "+f.requestID), w.now)
	c.notifyEnd(f)
	c.mu.Unlock()
	w.flush(i, w.link[i])
}

func (w *world) drop(i int, f *execution) {
	c := w.procs[i].c
	c.mu.Lock()
	c.releaseKey(&task{class: sheets, execution: f})
	c.mu.Unlock()
	w.flush(i, w.link[i])
}

// heal gives the two, or the one, all the time they need.
func (w *world) heal() {
	for range 20 {
		if w.mute != [2]bool{} { // the other sees the end of those bytes, and ends the link
			for i := range 2 {
				for len(w.wire[i]) > 0 {
					w.deliver(i)
				}
			}
			w.cut(0)
			w.mute = [2]bool{}
		}
		w.look(0)
		w.look(1)
		w.connect()
		for i := range 2 {
			w.flush(i, w.link[i])
			for len(w.wire[i]) > 0 {
				w.deliver(i)
			}
			w.poll(i, true)
		}
	}
}

// Whatever the order in which processes start, die, lose their link or go silent, and attempts come to either: no key runs twice,
// no duplicate gets another result than the run's, and in the end there is one elder, both are ready, and both say the same of an
// evacuation.
func TestRandomOrdersOfAPair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, marks: map[int64]bool{}, ran: map[string]string{}, now: time.Now()}
		w.start(0)
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "place")
			do := rapid.SampledFrom([]string{"start", "kill", "connect", "connect", "cut", "deliver", "deliver", "deliver", "deliver",
				"try", "try", "run", "run", "runcut", "end", "fail", "drop", "look", "look", "evacuate", "rejoin", "heal", "mute", "poll",
				"poll"}).Draw(t, "step")
			w.step(do, i, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"))
		}
		w.heal()
		elders, alive := 0, 0
		for i, h := range w.procs {
			if h == nil {
				continue
			}
			alive++
			if r := h.c.PairRole(); r == hotrestart.Predecessor || r == hotrestart.Sole {
				elders++
			}
			if p := h.c.Phase(); p != lifecycle.Serving && p != lifecycle.Evacuated {
				t.Fatalf("place %d is %v, and %v", i, p, h.c.PairRole())
			}
			for key, list := range h.tries {
				if len(list) > 0 {
					t.Fatalf("place %d: a try of %s still waits", i, key)
				}
			}
		}
		if alive > 0 && elders != 1 {
			t.Fatalf("%d elders of %d", elders, alive)
		}
		if alive == 2 && w.procs[0].c.Health() != w.procs[1].c.Health() {
			t.Fatal("one is evacuated and the other is not")
		}
	})
}

// The orders that random ones seldom come to, each with what must not happen in it: a step, its place, and a key. After
// "held" the key is in the hold of that process and would run there, after "none" it is not, and "sees" is not blind.
func TestRareOrdersOfAPair(t *testing.T) {
	for name, script := range map[string]string{
		"the elder runs without a link, dies, and the repeat goes to the younger": "start1 heal0 cut0 try0a run0a kill0 look1 try1a none1a heal1",
		"the link breaks as the elder's note is written":                          "start1 heal0 try0a runcut0a kill0 look1 try1a none1a heal1",
		"what was marked is told on the next link":                                "start1 heal0 cut0 try0a run0a heal0 kill0 look1 try1b held1b try1a none1a",
		"two tries have a grant, the first is turned away, and the elder runs the key": "start1 heal0 try1a try1a deliver0 deliver1 drop1a " +
			"deliver0 try0a run0a poll1 none1a heal0",
		"a grant is lost with the link":                                         "start1 heal0 try1a deliver0 cut1 heal0 held1a",
		"a process starts beside one that knows nothing of a dead one":          "try0a run0a start1 kill0 start0 kill1 start1 heal0 try0a try1a heal0 none0a none1a",
		"the younger runs what it was said to hold, and dies":                   "start1 heal0 try1a deliver0 deliver1 cut0 heal0 run1a kill1 look0 try0a none0a",
		"the younger gives the link up with a note unread, and the elder dies":  "start1 heal0 try0a run0a cut1 kill0 look1 try1a none1a",
		"the elder leaves in good order, and a third is in its place at once":   "start1 heal0 try0a run0a end0a heal0 kill0 start0 connect0 deliver1 sees1 heal0 sees0 sees1",
		"blindness is passed on":                                                "start1 heal0 cut0 try0a run0a kill0 look1 start0 heal0 kill1 look0 try0a none0a",
		"the elder's writes fail, the link stays, and it dies":                  "start1 heal0 mute0 try0a run0a try0b run0b end0b kill0 look1 try1a none1a",
		"the elder dies with a run under way, and what it never ran is run":     "start1 heal0 try0a run0a try0b heal0 kill0 look1 try1a none1a try1b held1b",
		"the younger dies with a run that it was granted, and a third knows it": "start1 heal0 try1a heal0 run1a kill1 look0 try0a none0a start1 heal0 try1a none1a",
	} {
		t.Run(name, func(t *testing.T) {
			w := &world{t: t, marks: map[int64]bool{}, ran: map[string]string{}, now: time.Now()}
			w.start(0)
			for _, step := range strings.Fields(script) {
				n := strings.IndexAny(step, "01")
				do, i, key := step[:n], int(step[n]-'0'), step[n+1:]
				held := w.find(i, hotrestart.Queued, key) != nil
				if needs := do == "run" || do == "runcut" || do == "drop" || do == "held"; needs && !held || do == "none" && held {
					t.Fatalf("%s: held is %v", step, held)
				}
				if do == "sees" && w.procs[i].c.pair.coordinator.UnknownUntil() != 0 {
					t.Fatalf("%s: it takes itself for blind", step)
				}
				w.step(do, i, key)
				if h := w.procs[i]; h != nil && w.mute[i] && len(h.c.pair.outbox) > 0 {
					t.Fatalf("%s: %d messages are kept for nobody", step, len(h.c.pair.outbox))
				}
			}
		})
	}
}

// Operators are answered whoever holds the core's lock, and so is the health that follows.
func TestOperatorsWaitForNoLock(t *testing.T) {
	w := &world{t: t, marks: map[int64]bool{}, ran: map[string]string{}, now: time.Now()}
	w.start(0)
	c := w.procs[0].c
	c.mu.Lock()
	defer c.mu.Unlock()
	over := make(chan string)
	go func() {
		said := ""
		for _, call := range []func() (bool, string){c.Ready, c.Evacuate, c.Ready, c.Rejoin, c.Ready} {
			yes, _ := call()
			said += fmt.Sprint(yes, c.Health(), " ")
		}
		over <- said
	}()
	select {
	case said := <-over:
		if said != "true true true false false false true true true true " {
			t.Error(said)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("an operator waits for the core's lock")
	}
}
