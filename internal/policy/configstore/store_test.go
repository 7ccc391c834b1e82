package configstore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/lease"
)

// world is a group, as one that never fails, with processes that act on one document: what is on the way may take long, come in
// another order, or not at all, and a process may be cut off. Times are in ticks.
type world struct {
	store   *Store
	monitor *ProcessMonitor
	index   uint64
	procs   []*proc
	now     time.Duration
	wrong   string
	out     guards
}

// guards that can be left out.
type guards struct {
	noLease bool // a process goes on though it was not confirmed
	noWait  bool // the leader does not wait for those who are silent
	noTurn  bool // nobody stops before the new begins
	noIndex bool // an answer that knows less is taken too
}

type proc struct {
	h       *Replica
	rate    float64 // of its clock
	answers []answer
	acts    uint64 // digest of the text that it acts on
	worth   Goodput
}

type answer struct {
	asked time.Duration
	index uint64
	docs  map[string]View
}

var worldTerms = lease.Terms{TTL: 12, Drift: 0.05}

func newWorld(n int, out guards) *world {
	w := &world{store: NewStore(), monitor: NewProcessMonitor(worldTerms), out: out}
	w.monitor.StartLeading(0)
	for i := range n {
		w.procs = append(w.procs, &proc{h: NewReplica(fmt.Sprint("p", i), map[string]int{"d": 1}), rate: []float64{0.95, 1.05, 1}[i%3]})
	}
	_ = w.apply(Change{Op: OpPropose, Doc: "d", Text: "old", Author: "t"})
	for _, p := range w.procs {
		w.ask(p)
	}
	for range 6 {
		w.due()
		for _, p := range w.procs {
			w.answer(p, 0)
			w.ask(p)
		}
	}
	for _, p := range w.procs {
		p.answers = nil
	}
	return w
}

// apply is refused as often as not: a play says what becomes of the store, and asserts that.
func (w *world) apply(c Change) error {
	w.index++
	_, err := w.store.Apply(c)
	return err
}

func (w *world) due() {
	for _, c := range w.monitor.Proposals(w.store, w.now) {
		_ = w.apply(c)
		if c.Op == OpExpire {
			w.monitor.Unregistered(c.Author)
		}
	}
	if w.out.noWait {
		if d := w.store.Documents["d"]; d.Proposed != nil {
			for name, u := range w.store.Processes {
				if h := w.monitor.reports[name]; h != nil && w.now-h.ReceivedAt > 2 && u.Quiesced["d"] != d.Proposed.ID.Version {
					_ = w.apply(Change{Op: OpExpire, Author: name})
				}
			}
		}
	}
}

func (p *proc) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * p.rate)
}

// ask has a process ask; the group hears it at once, and the answer is on its way.
func (w *world) ask(p *proc) {
	s := p.h.Report()
	if !w.monitor.Observe(p.h.Name, w.now, p.h.ActiveVersions(), p.worth, "") {
		return
	}
	if w.store.HasNews(s) {
		op := OpReport
		if w.store.Processes[p.h.Name] == nil {
			op = OpRegister
		}
		_ = w.apply(Change{Op: op, Process: &s})
	}
	d := w.store.Documents["d"]
	v := View{Active: d.Active, Proposed: d.Proposed, Stage: d.Stage}
	p.answers = append(p.answers, answer{p.clock(w.now), w.index, map[string]View{"d": v}})
}

// answer has one of the answers on the way arrive.
func (w *world) answer(p *proc, i int) {
	if i < 0 || i >= len(p.answers) {
		return
	}
	a := p.answers[i]
	p.answers = slices.Delete(slices.Clone(p.answers), i, i+1)
	index := a.index
	if w.out.noIndex {
		index = 1 << 40
	}
	for _, t := range p.h.Receive(a.asked, index, worldTerms, a.docs, func(string, string) error { return nil }) {
		p.acts = t.Revision.ID.Digest
	}
}

// check looks whether two processes begin what excludes each other, now.
func (w *world) check() {
	var acts uint64
	for _, p := range w.procs {
		why := p.h.StopReason(p.clock(w.now))
		if why == StopUnconfirmed && w.out.noLease || why == StopQuiescing && w.out.noTurn {
			why = ""
		}
		if why != "" || p.acts == 0 {
			continue
		}
		if acts != 0 && acts != p.acts && w.wrong == "" {
			w.wrong = fmt.Sprintf("at %d", w.now)
		}
		acts = p.acts
	}
}

// step does one of what can happen, by a number.
func (w *world) step(n int) {
	p := w.procs[n%len(w.procs)]
	switch n / len(w.procs) {
	case 0:
		w.ask(p)
	case 1:
		w.answer(p, 0)
	case 2:
		w.answer(p, len(p.answers)-1)
	case 3:
		w.now += []time.Duration{1, 3, 6}[n%3]
	case 4:
		w.due()
	case 5:
		if d := w.store.Documents["d"]; d.Proposed == nil {
			text := "new"
			if d.Active != nil && d.Active.Text == "new" {
				text = "old"
			}
			_ = w.apply(Change{Op: OpPropose, Doc: "d", Version: d.Active.ID.Version, Text: text, Exclusive: true, AllowRejected: true, Author: "t"})
		} else if n%2 == 0 {
			_ = w.apply(Change{Op: OpWithdraw, Doc: "d", Version: d.Proposed.ID.Version})
		}
	}
	w.check()
}

const kindsOfSteps = 6

// Whatever is lost, late, or in another order, by clocks that run apart by the drift: no two processes begin by versions that
// exclude each other. Each guard that is left out is missed.
func TestNeverTwoAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		out  guards
		harm bool
	}{
		{"all guards", guards{}, false},
		{"no lease", guards{noLease: true}, true},
		{"no wait for the silent", guards{noWait: true}, true},
		{"nobody stops", guards{noTurn: true}, true},
		{"answers in any order", guards{noIndex: true}, true},
	} {
		found, forced := "", 0
		for seed := range uint64(4000) {
			w := newWorld(3, c.out)
			rng := rand.New(rand.NewPCG(seed, 19))
			for range 200 {
				w.step(rng.IntN(kindsOfSteps * 3))
			}
			forced = max(forced, w.store.Documents["d"].Active.ID.Version)
			if w.wrong != "" {
				found = fmt.Sprint("seed ", seed, " ", w.wrong)
				break
			}
		}
		if (found != "") != c.harm {
			t.Errorf("%s: %q", c.name, found)
		}
		if forced < 2 {
			t.Errorf("%s: no change ever came into force", c.name)
		}
	}
}

// All orders up to a length from the moment at which one process of two has stopped for a change; the other is about to hear of
// it, or to be cut off.
func TestAllOrdersOfQuiescing(t *testing.T) {
	for _, c := range []struct {
		name string
		out  guards
		harm bool
	}{
		{"all guards", guards{}, false}, {"no lease", guards{noLease: true}, true},
		{"no wait for the silent", guards{noWait: true}, true}, {"nobody stops", guards{noTurn: true}, true},
	} {
		const length = 6
		found, walked := "", 0
		play := func(path []int) *world {
			w := newWorld(2, c.out)
			_ = w.apply(Change{Op: OpPropose, Doc: "d", Version: 1, Text: "new", Exclusive: true, Author: "t"})
			for _, p := range w.procs {
				w.ask(p)
				w.answer(p, 0)
				w.ask(p)
				w.answer(p, 0)
			}
			w.now += 3
			w.due()
			for range 2 { // one has stopped, and said so
				w.ask(w.procs[0])
				w.answer(w.procs[0], 0)
			}
			for _, n := range path {
				if n == 6 {
					w.now += 13 // 1 more: longer than a lease and what the leader waits
				}
				w.step(n)
			}
			return w
		}
		var walk func(path []int)
		walk = func(path []int) {
			if found != "" {
				return
			}
			walked++
			if w := play(path); w.wrong != "" {
				found = fmt.Sprint(path, " ", w.wrong)
				return
			}
			if len(path) == length {
				return
			}
			for _, n := range []int{0, 1, 4, 3, 6, 8} { // each asks, each is answered, time passes, the leader looks
				walk(append(slices.Clone(path), n))
			}
		}
		walk(nil)
		if (found != "") != c.harm {
			t.Errorf("%s: %q after %d", c.name, found, walked)
		}
	}
}

func put(version int, text string) Change {
	return Change{Op: OpPropose, Doc: "d", Version: version, Text: text, Author: "t"}
}

// What a book says no to, and what becomes of versions.
func TestStore(t *testing.T) {
	b := NewStore()
	must := func(c Change) {
		t.Helper()
		if _, err := b.Apply(c); err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
	}
	not := func(c Change, want error, words string) {
		t.Helper()
		if _, err := b.Apply(c); err == nil || want != nil && !errors.Is(err, want) || !strings.Contains(fmt.Sprint(err), words) {
			t.Errorf("%+v: %v, want %v %s", c, err, want, words)
		}
	}
	advance := func(version int, stage Stage) Change {
		return Change{Op: OpAdvance, Doc: "d", Version: version, Stage: stage, At: 1}
	}
	join := func(name string, format int) {
		must(Change{Op: OpRegister, Process: &Process{Name: name, Formats: map[string]int{"d": format}}})
	}
	say := func(name string, holds, stopped int) {
		must(Change{Op: OpReport, Process: &Process{Name: name, Prepared: map[string]int{"d": holds}, Quiesced: map[string]int{"d": stopped}}})
	}
	join("a", 1)
	join("b", 1)
	not(put(1, "one"), ErrStaleBase, "0 of d, not 1")
	must(put(0, "one"))
	not(put(0, "two"), ErrChangePending, "version 1 of d is proposed")
	not(advance(1, StageProposed), ErrNotReady, "a does not hold it yet")
	say("a", 1, 0)
	say("b", 1, 0)
	not(advance(1, StageQuiescing), ErrNoSuchChange, "")
	must(advance(1, StageProposed))
	not(put(1, "one"), nil, "says the same")
	c := put(1, "two")
	c.Exclusive = true
	must(c)
	say("a", 1, 2) // holds another, and says that it has stopped before it was time
	say("b", 2, 2)
	not(advance(2, StageProposed), ErrNotReady, "a does not hold it yet")
	say("a", 2, 2)
	must(advance(2, StageProposed))
	if d := b.Documents["d"]; d.Stage != StageQuiescing || d.Active.Text != "one" {
		t.Fatalf("%+v", d)
	}
	not(advance(2, StageQuiescing), ErrNotReady, "a has not stopped yet")
	say("a", 2, 2)
	say("b", 2, 2)
	join("late", 1) // acts on nothing, and has to stop as well
	not(advance(2, StageQuiescing), ErrNotReady, "late has not stopped yet")
	must(Change{Op: OpExpire, Author: "late"})
	must(Change{Op: OpHold, Doc: "d", Version: 2, Reason: "noon"})
	not(advance(2, StageQuiescing), ErrNotReady, "held: noon")
	must(Change{Op: OpRelease, Doc: "d", Version: 2})
	must(advance(2, StageQuiescing))
	not(Change{Op: OpWithdraw, Doc: "d", Version: 2}, ErrNoSuchChange, "not under way")
	must(Change{Op: OpRevert, Doc: "d", Version: 2, Reason: "worse"})
	if d := b.Documents["d"]; d.Proposed.Text != "one" || d.Proposed.ID.Version != 3 || !d.Proposed.Exclusive || d.Proposed.RevertsTo != 1 {
		t.Errorf("%+v", d.Proposed)
	}
	must(Change{Op: OpWithdraw, Doc: "d", Version: 3})
	if d := b.Documents["d"]; d.Active.Outcome != "" || d.Proposed != nil {
		t.Errorf("%+v", d.Active)
	}
	must(Change{Op: OpRevert, Doc: "d", Version: 2})
	say("a", 4, 0)
	say("b", 4, 0)
	must(advance(4, StageProposed))
	say("a", 4, 4)
	say("b", 4, 4)
	must(advance(4, StageQuiescing))
	not(put(4, "two"), ErrRejectedBefore, "")
	again := put(4, "two")
	again.AllowRejected = true
	must(again)
	must(Change{Op: OpWithdraw, Doc: "d", Version: 5})
	// Two builds side by side: who does not read a format is not handed it, and nothing comes into force over its head.
	newer := put(4, "three")
	newer.Format = 2
	must(newer)
	join("a", 2)
	say("a", 6, 0)
	not(advance(6, StageProposed), ErrNotReady, "b reads format 1, and this is 2")
	if d := b.Documents["d"]; d.IsOfferedTo(b.Processes["b"]) || !d.IsOfferedTo(b.Processes["a"]) {
		t.Error("handed to one that can't read it")
	}
	join("b", 2)
	say("b", 6, 0)
	must(advance(6, StageProposed))
	for n := range 40 { // what is kept is bounded
		d := b.Documents["d"]
		must(put(d.Active.ID.Version, fmt.Sprint("text", n)))
		say("a", d.HighestVersion, 0)
		say("b", d.HighestVersion, 0)
		must(advance(d.HighestVersion, StageProposed))
	}
	if d := b.Documents["d"]; len(d.History) != maxHistory || d.Revision(d.HighestVersion) != d.Active || d.Revision(1) != nil {
		t.Errorf("%d versions kept", len(d.History))
	}
	not(put(b.Documents["d"].Active.ID.Version, strings.Repeat("x", maxTextSize+1)), nil, "bytes")
}

// A change that may be bad acts at a part of the processes first, and is taken back where less is served; one that turns out bad
// once it is in force is taken back within its time; a good one stays. The same again is not taken without a word.
func TestRolloutIsObserved(t *testing.T) {
	for _, c := range []struct {
		name             string
		part             float64
		trial, force     float64 // what the change serves in its trial and once in force, of 1
		text, ended, why string
	}{
		{"good", 0.25, 1, 1, "new", "", ""},
		{"bad in its trial", 0.25, 0.5, 0.5, "old", "withdrawn: 5", "made things worse"},
		{"bad once in force", 0.25, 1, 0.6, "old", "taken back: 6", "made things worse"},
		{"bad all at once", 0, 1, 0.6, "old", "taken back: 6", "made things worse"},
		{"a little worse", 0.25, 0.98, 0.98, "new", "", ""},
	} {
		w := newWorld(8, guards{})
		w.monitor.terms, worldTerms.TTL = lease.Terms{TTL: 300 * time.Millisecond}, 300*time.Millisecond
		var proposed, over time.Duration
		for n := 0; n < 600; n++ {
			w.now += 20 * time.Millisecond
			for _, p := range w.procs {
				d, share := w.store.Documents["d"], 1.0
				if p.acts == NewID(1, []byte("new")).Digest {
					if share = c.trial; d.Active.Text == "new" {
						share = c.force
					}
				}
				p.worth.Offered += 2
				p.worth.Served += 2 * share
				w.ask(p)
				w.answer(p, 0)
			}
			w.due()
			if n == 100 {
				proposed = w.now
				_ = w.apply(Change{Op: OpPropose, Doc: "d", Version: 1, Text: "new", Author: "t", Rollout: &RolloutPolicy{CanaryRatio: c.part, ObserveMS: 2000, MaxLoss: 0.05}})
			}
			if n == 110 && c.part > 0 {
				if d := w.store.Documents["d"]; d.Stage != StageCanary || len(d.Proposed.Canaries) != 2 {
					t.Errorf("%s: %+v", c.name, d)
				}
			}
			if d := w.store.Documents["d"]; n > 100 && over == 0 && d.Proposed == nil && d.Active.Text == "old" {
				over = w.now - proposed
			}
		}
		worldTerms.TTL = 12
		d := w.store.Documents["d"]
		ended := ""
		for _, e := range d.History {
			if e.Text == "new" {
				ended = e.Outcome
			}
		}
		if d.Active.Text != c.text || !strings.HasPrefix(ended, c.ended) || d.Proposed != nil {
			t.Errorf("%s: in force %q, %q", c.name, d.Active.Text, ended)
		}
		if c.text == "old" && over > 4*time.Second {
			t.Errorf("%s: taken back after %v", c.name, over)
		}
		if _, err := w.store.Apply(put(d.Active.ID.Version, "new")); c.why != "" && !strings.Contains(fmt.Sprint(err), c.why) {
			t.Errorf("%s: the same again: %v", c.name, err)
		}
	}
}

// Differences are told by names, and each has a kind.
func TestDiff(t *testing.T) {
	old := `{"version":1,"tenants":[{"name":"a","rate":1,"homes":[{"cell":"x"}]},{"name":"b","rate":2}]}`
	text := `{"version":2,"tenants":[{"name":"b","rate":3},{"name":"a","rate":1,"homes":[{"cell":"x"},{"cell":"y","from_ms":5}]}]}`
	list, err := Diff(DocMap, old, text)
	got := ""
	for _, d := range list {
		got += fmt.Sprintf("%s %s>%s %s; ", d.Path, d.Old, d.New, d.Kind)
	}
	if err != nil || got != `tenants[a].homes[1].cell >"y" announced; tenants[a].homes[1].from_ms >5 announced; tenants[b].rate 2>3 shared; version 1>2 free; ` {
		t.Errorf("%s %v", got, err)
	}
	if HasExclusive(list) || FirstDependent(list) != "tenants[a].homes[1].cell" {
		t.Error("a move stops everybody, or may be tried by a part")
	}
	for text, excludes := range map[string]bool{`{"classes":[{"name":"a","effect":"token"}]}`: true, `{"classes":[{"name":"a","worth":1}]}`: true,
		`{"format":2}`: false, `{"new":2}`: true} {
		list, err := Diff(DocClasses, "", text)
		if err != nil || HasExclusive(list) != excludes {
			t.Errorf("%s: %+v, %v", text, list, err)
		}
	}
	if _, err := Diff(DocMap, "{", "{}"); err == nil {
		t.Error("half a document")
	}
	for _, c := range []struct{ old, next, now, until time.Duration }{{5, 7, 7, 0}, {7, 5, 7, 9}, {5, 5, 5, 0}} {
		if now, until := TransitionWindow(c.old, c.next, 2); now != c.now || until != c.until {
			t.Errorf("%+v: %v, %v", c, now, until)
		}
	}
}
