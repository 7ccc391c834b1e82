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
	book  *Book
	watch *Watch
	index uint64
	procs []*proc
	now   time.Duration
	wrong string
	out   guards
}

// guards that can be left out.
type guards struct {
	noLease bool // a process goes on though it was not confirmed
	noWait  bool // the leader does not wait for those who are silent
	noTurn  bool // nobody stops before the new begins
	noIndex bool // an answer that knows less is taken too
}

type proc struct {
	h       *Holder
	rate    float64 // of its clock
	answers []answer
	acts    uint64 // digest of the text that it acts on
	worth   Worth
}

type answer struct {
	asked time.Duration
	index uint64
	docs  map[string]View
}

var worldTerms = lease.Terms{TTL: 12, Drift: 0.05}

func newWorld(n int, out guards) *world {
	w := &world{book: NewBook(), watch: NewWatch(worldTerms), out: out}
	w.watch.Lead(0)
	for i := range n {
		w.procs = append(w.procs, &proc{h: NewHolder(fmt.Sprint("p", i), map[string]int{"d": 1}), rate: []float64{0.95, 1.05, 1}[i%3]})
	}
	w.apply(Change{Op: Put, Doc: "d", Text: "old", By: "t"})
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

func (w *world) apply(c Change) error {
	w.index++
	_, err := w.book.Apply(c)
	return err
}

func (w *world) due() {
	for _, c := range w.watch.Due(w.book, w.now) {
		w.apply(c)
		if c.Op == Lapse {
			w.watch.Lapsed(c.By)
		}
	}
	if w.out.noWait {
		if d := w.book.Docs["d"]; d.Next != nil {
			for name, u := range w.book.Users {
				if h := w.watch.heard[name]; h != nil && w.now-h.At > 2 && u.Stopped["d"] != d.Next.ID.Version {
					w.apply(Change{Op: Lapse, By: name})
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
	s := p.h.Says()
	if !w.watch.Heard(p.h.Who, w.now, p.h.Acts(), p.worth, "") {
		return
	}
	if w.book.New(s) {
		op := Say
		if w.book.Users[p.h.Who] == nil {
			op = Join
		}
		w.apply(Change{Op: op, User: &s})
	}
	d := w.book.Docs["d"]
	v := View{Force: d.Force, Next: d.Next, Stage: d.Stage}
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
	for _, t := range p.h.Told(a.asked, index, worldTerms, a.docs, func(string, string) error { return nil }) {
		p.acts = t.Entry.ID.Digest
	}
}

// check looks whether two processes begin what excludes each other, now.
func (w *world) check() {
	var acts uint64
	for _, p := range w.procs {
		why := p.h.Stops(p.clock(w.now))
		if why == Unconfirmed && w.out.noLease || why == StopsToTurn && w.out.noTurn {
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
		if d := w.book.Docs["d"]; d.Next == nil {
			text := "new"
			if d.Force != nil && d.Force.Text == "new" {
				text = "old"
			}
			w.apply(Change{Op: Put, Doc: "d", Version: d.Force.ID.Version, Text: text, Exclusive: true, Again: true, By: "t"})
		} else if n%2 == 0 {
			w.apply(Change{Op: Withdraw, Doc: "d", Version: d.Next.ID.Version})
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
			forced = max(forced, w.book.Docs["d"].Force.ID.Version)
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
func TestAllOrdersOfATurn(t *testing.T) {
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
			w.apply(Change{Op: Put, Doc: "d", Version: 1, Text: "new", Exclusive: true, By: "t"})
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
	return Change{Op: Put, Doc: "d", Version: version, Text: text, By: "t"}
}

// What a book says no to, and what becomes of versions.
func TestBook(t *testing.T) {
	b := NewBook()
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
		return Change{Op: Advance, Doc: "d", Version: version, Stage: stage, At: 1}
	}
	join := func(name string, format int) {
		must(Change{Op: Join, User: &User{Name: name, Reads: map[string]int{"d": format}}})
	}
	say := func(name string, holds, stopped int) {
		must(Change{Op: Say, User: &User{Name: name, Holds: map[string]int{"d": holds}, Stopped: map[string]int{"d": stopped}}})
	}
	join("a", 1)
	join("b", 1)
	not(put(1, "one"), ErrBase, "0 of d, not 1")
	must(put(0, "one"))
	not(put(0, "two"), ErrUnder, "version 1 of d is proposed")
	not(advance(1, Proposed), ErrWaits, "a does not hold it yet")
	say("a", 1, 0)
	say("b", 1, 0)
	not(advance(1, Turning), ErrNone, "")
	must(advance(1, Proposed))
	not(put(1, "one"), nil, "says the same")
	c := put(1, "two")
	c.Exclusive = true
	must(c)
	say("a", 1, 2) // holds another, and says that it has stopped before it was time
	say("b", 2, 2)
	not(advance(2, Proposed), ErrWaits, "a does not hold it yet")
	say("a", 2, 2)
	must(advance(2, Proposed))
	if d := b.Docs["d"]; d.Stage != Turning || d.Force.Text != "one" {
		t.Fatalf("%+v", d)
	}
	not(advance(2, Turning), ErrWaits, "a has not stopped yet")
	say("a", 2, 2)
	say("b", 2, 2)
	join("late", 1) // acts on nothing, and has to stop as well
	not(advance(2, Turning), ErrWaits, "late has not stopped yet")
	must(Change{Op: Lapse, By: "late"})
	must(Change{Op: Hold, Doc: "d", Version: 2, Why: "noon"})
	not(advance(2, Turning), ErrWaits, "held: noon")
	must(Change{Op: Release, Doc: "d", Version: 2})
	must(advance(2, Turning))
	not(Change{Op: Withdraw, Doc: "d", Version: 2}, ErrNone, "not under way")
	must(Change{Op: TakeBack, Doc: "d", Version: 2, Why: "worse"})
	if d := b.Docs["d"]; d.Next.Text != "one" || d.Next.ID.Version != 3 || !d.Next.Exclusive || d.Next.Back != 1 {
		t.Errorf("%+v", d.Next)
	}
	must(Change{Op: Withdraw, Doc: "d", Version: 3})
	if d := b.Docs["d"]; d.Force.Ended != "" || d.Next != nil {
		t.Errorf("%+v", d.Force)
	}
	must(Change{Op: TakeBack, Doc: "d", Version: 2})
	say("a", 4, 0)
	say("b", 4, 0)
	must(advance(4, Proposed))
	say("a", 4, 4)
	say("b", 4, 4)
	must(advance(4, Turning))
	not(put(4, "two"), ErrBad, "")
	again := put(4, "two")
	again.Again = true
	must(again)
	must(Change{Op: Withdraw, Doc: "d", Version: 5})
	// Two builds side by side: who does not read a format is not handed it, and nothing comes into force over its head.
	newer := put(4, "three")
	newer.Format = 2
	must(newer)
	join("a", 2)
	say("a", 6, 0)
	not(advance(6, Proposed), ErrWaits, "b reads format 1, and this is 2")
	if d := b.Docs["d"]; d.Handed(b.Users["b"]) || !d.Handed(b.Users["a"]) {
		t.Error("handed to one that can't read it")
	}
	join("b", 2)
	say("b", 6, 0)
	must(advance(6, Proposed))
	for n := range 40 { // what is kept is bounded
		d := b.Docs["d"]
		must(put(d.Force.ID.Version, fmt.Sprint("text", n)))
		say("a", d.Top, 0)
		say("b", d.Top, 0)
		must(advance(d.Top, Proposed))
	}
	if d := b.Docs["d"]; len(d.History) != mostHistory || d.Find(d.Top) != d.Force || d.Find(1) != nil {
		t.Errorf("%d versions kept", len(d.History))
	}
	not(put(b.Docs["d"].Force.ID.Version, strings.Repeat("x", longestText+1)), nil, "bytes")
}

// A change that may be bad acts at a part of the processes first, and is taken back where less is served; one that turns out bad
// once it is in force is taken back within its time; a good one stays. The same again is not taken without a word.
func TestWatched(t *testing.T) {
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
		w.watch.terms, worldTerms.TTL = lease.Terms{TTL: 300 * time.Millisecond}, 300*time.Millisecond
		var proposed, over time.Duration
		for n := 0; n < 600; n++ {
			w.now += 20 * time.Millisecond
			for _, p := range w.procs {
				d, share := w.book.Docs["d"], 1.0
				if p.acts == Name(1, []byte("new")).Digest {
					if share = c.trial; d.Force.Text == "new" {
						share = c.force
					}
				}
				p.worth.Asked += 2
				p.worth.Served += 2 * share
				w.ask(p)
				w.answer(p, 0)
			}
			w.due()
			if n == 100 {
				proposed = w.now
				w.apply(Change{Op: Put, Doc: "d", Version: 1, Text: "new", By: "t", Try: &Try{Part: c.part, For: 2000, Worse: 0.05}})
			}
			if n == 110 && c.part > 0 {
				if d := w.book.Docs["d"]; d.Stage != Trial || len(d.Next.Canaries) != 2 {
					t.Errorf("%s: %+v", c.name, d)
				}
			}
			if d := w.book.Docs["d"]; n > 100 && over == 0 && d.Next == nil && d.Force.Text == "old" {
				over = w.now - proposed
			}
		}
		worldTerms.TTL = 12
		d := w.book.Docs["d"]
		ended := ""
		for _, e := range d.History {
			if e.Text == "new" {
				ended = e.Ended
			}
		}
		if d.Force.Text != c.text || !strings.HasPrefix(ended, c.ended) || d.Next != nil {
			t.Errorf("%s: in force %q, %q", c.name, d.Force.Text, ended)
		}
		if c.text == "old" && over > 4*time.Second {
			t.Errorf("%s: taken back after %v", c.name, over)
		}
		if _, err := w.book.Apply(put(d.Force.ID.Version, "new")); c.why != "" && !strings.Contains(fmt.Sprint(err), c.why) {
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
	if Excludes(list) || Bound(list) != "tenants[a].homes[1].cell" {
		t.Error("a move stops everybody, or may be tried by a part")
	}
	for text, excludes := range map[string]bool{`{"classes":[{"name":"a","effect":"token"}]}`: true, `{"classes":[{"name":"a","worth":1}]}`: true,
		`{"format":2}`: false, `{"new":2}`: true} {
		list, err := Diff(DocClasses, "", text)
		if err != nil || Excludes(list) != excludes {
			t.Errorf("%s: %+v, %v", text, list, err)
		}
	}
	if _, err := Diff(DocMap, "{", "{}"); err == nil {
		t.Error("half a document")
	}
	for _, c := range []struct{ old, next, now, until time.Duration }{{5, 7, 7, 0}, {7, 5, 7, 9}, {5, 5, 5, 0}} {
		if now, until := Window(c.old, c.next, 2); now != c.now || until != c.until {
			t.Errorf("%+v: %v, %v", c, now, until)
		}
	}
}
