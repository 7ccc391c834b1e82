package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"silverpath/internal/policy/lease"
)

// again is what comes out of a book that was written and read.
func again(t interface{ Fatal(...any) }, b *Book) *Book {
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	out := NewBook()
	if err := json.Unmarshal(text, out); err != nil {
		t.Fatal(err)
	}
	return out
}

func textsOf(parts map[string]Part) map[string]string {
	texts := map[string]string{}
	for name, p := range parts {
		texts[name] = p.Text
	}
	return texts
}

// A book with a document in parts says what a plain list of texts says, whatever is put, drafted, withdrawn and advanced, and
// whenever it is written and read between; its digest names the whole, and each part the version in which it changed.
func TestBookInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook()
		var force, next map[string]string // what it has to say; next nil: nothing is under way
		since := map[string]int{}
		draft, drafted := "", map[string]string{}
		some := func(label string) map[string]string {
			return rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.SampledFrom([]string{"1", "2", "3"}), 1, 4).Draw(t, label)
		}
		onto := func(changed map[string]string) map[string]string {
			all := maps.Clone(force)
			if all == nil {
				all = map[string]string{}
			}
			maps.Copy(all, changed)
			return all
		}
		doc := func() *Doc {
			if d := b.Docs["d"]; d != nil {
				return d
			}
			return &Doc{}
		}
		version := func() int {
			if d := doc(); d.Force != nil {
				return d.Force.ID.Version
			}
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				c := Change{Op: Put, Doc: "d", Version: version(), Parts: some("changed")}
				all := onto(c.Parts)
				c.Digest = SumOf(all)
				wrong := rapid.Bool().Draw(t, "wrong")
				if wrong {
					c.Digest++
				}
				_, err := b.Apply(c)
				if ok := next == nil && !wrong && !maps.Equal(all, force); ok != (err == nil) {
					t.Fatalf("%v of %v, wrong %v: %v", c.Parts, force, wrong, err)
				} else if ok {
					next, draft = all, ""
				}
			},
			"load": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "draft")
				parts := some("loaded")
				if _, err := b.Apply(Change{Op: Load, Doc: "d", Draft: id, Parts: parts}); err != nil {
					t.Fatal(err)
				}
				if id != draft {
					draft, drafted = id, map[string]string{}
				}
				maps.Copy(drafted, parts)
			},
			"put a draft": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "draft")
				all := onto(drafted)
				_, err := b.Apply(Change{Op: Put, Doc: "d", Version: version(), Draft: id, Digest: SumOf(all)})
				if ok := next == nil && id == draft && !maps.Equal(all, force); ok != (err == nil) {
					t.Fatalf("%s of %s: %v", id, draft, err)
				} else if ok {
					next, draft = all, ""
				}
			},
			"withdraw": func(t *rapid.T) {
				if next == nil {
					t.Skip()
				}
				if _, err := b.Apply(Change{Op: Withdraw, Doc: "d", Version: doc().Next.ID.Version}); err != nil {
					t.Fatal(err)
				}
				next = nil
			},
			"advance": func(t *rapid.T) {
				if next == nil {
					t.Skip()
				}
				for name, text := range next {
					if force[name] != text {
						since[name] = doc().Next.ID.Version
					}
				}
				if _, err := b.Apply(Change{Op: Advance, Doc: "d", Version: doc().Next.ID.Version, Stage: Proposed}); err != nil {
					t.Fatal(err)
				}
				force, next = next, nil
			},
			"written and read": func(t *rapid.T) { b = again(t, b) },
			"a whole text": func(t *rapid.T) {
				if _, err := b.Apply(Change{Op: Put, Doc: "d", Version: version(), Text: "{}"}); err == nil && (force != nil || next != nil) {
					t.Fatal("put on parts")
				} else if err == nil {
					b = NewBook()
					draft = ""
				}
			},
			"": func(t *rapid.T) {
				d := doc()
				if (d.Force == nil) != (force == nil) || (d.Next == nil) != (next == nil) {
					t.Fatalf("%+v", d)
				}
				if force != nil {
					if got := textsOf(d.Force.Parts); !maps.Equal(got, force) || d.Force.ID.Digest != SumOf(force) || !d.Force.Split || d.Force.Format != 2 {
						t.Fatalf("in force %v, not %v", got, force)
					}
					for name, p := range d.Force.Parts {
						if p.Version != since[name] {
							t.Fatalf("%s changed in %d, not in %d", name, p.Version, since[name])
						}
					}
				}
				if next != nil {
					_, all, ok := d.At(d.Next.ID.Version)
					if got := textsOf(all); !ok || !maps.Equal(got, next) || d.Next.ID.Digest != SumOf(next) {
						t.Fatalf("under way %v, not %v", got, next)
					}
					for name, p := range d.Next.Parts {
						if force[name] == p.Text {
							t.Fatalf("%s is carried and is as in force", name)
						}
					}
				}
				if d.Draft != nil && (draft != d.Draft.ID || !maps.Equal(d.Draft.Parts, drafted)) || (d.Draft == nil) != (draft == "") {
					t.Fatalf("draft %+v, not %s %v", d.Draft, draft, drafted)
				}
				for _, e := range d.History {
					if e.Parts != nil || len(e.Changed) == 0 {
						t.Fatalf("kept %+v", e)
					}
				}
			},
		})
	})
}

// The bounds are named in one line, and hold for drafts as for changes.
func TestPartsFit(t *testing.T) {
	big := strings.Repeat("x", LongestPart)
	many := func(n int, text string) map[string]string {
		all := map[string]string{}
		for i := range n {
			all[fmt.Sprintf("p%04d", i)] = text
		}
		return all
	}
	b := NewBook()
	for _, c := range []struct {
		why   string
		parts map[string]string
	}{
		{"d: part a: 65537 bytes, of 1 to 65536", map[string]string{"a": big + "x"}},
		{"d: part a: 0 bytes", map[string]string{"a": ""}},
		{"d: 1025 parts, of at most 1024", many(1025, "x")},
		{"a part's name", map[string]string{strings.Repeat("n", 65): "x"}},
		{"a part's name", map[string]string{"": "x"}},
		{"a part's name", map[string]string{"a\x00b": "x"}},
		{"bytes in one change, of at most 262144", many(4, big)},
	} {
		for _, op := range []Op{Put, Load} {
			_, err := b.Apply(Change{Op: op, Doc: "d", Draft: map[Op]string{Load: "x"}[op], Parts: c.parts, Digest: SumOf(c.parts)})
			if err == nil || !strings.Contains(err.Error(), c.why) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v, not %q", op, err, c.why)
			}
		}
	}
	// A draft is bounded as a whole, and one that another one has ended can't be put.
	load := func(id string, parts map[string]string) error {
		_, err := b.Apply(Change{Op: Load, Doc: "d", Draft: id, Parts: parts})
		return err
	}
	var err error
	n := 0
	for ; err == nil && n < 1000; n++ {
		err = load("x", map[string]string{fmt.Sprintf("q%03d", n): big})
	}
	if err == nil || !strings.Contains(err.Error(), "of at most 16777216") || n != 256 {
		t.Errorf("after %d: %v", n, err)
	}
	if err := load("y", map[string]string{"a": "{}"}); err != nil {
		t.Fatal(err)
	}
	if _, err := b.Apply(Change{Op: Put, Doc: "d", Draft: "x"}); !errors.Is(err, ErrNone) {
		t.Error(err)
	}
	put := Change{Op: Put, Doc: "d", Draft: "y", Digest: SumOf(map[string]string{"a": "{}"})}
	if _, err := b.Apply(put); err != nil {
		t.Error(err)
	}
	// What is loaded in batches is within the bounds of one change.
	for _, one := range Batches(many(30, big[:20000])) {
		if err := FitsChange("d", one); err != nil || sizeOf(one) > longestText/2 {
			t.Error(sizeOf(one), err)
		}
	}
}

// A process of an older build is not handed a document in parts, and is waited for by name; a text of today's is the base of the
// first version in parts.
func TestPartsAndOlderBuilds(t *testing.T) {
	b := NewBook()
	must := func(c Change) *Doc {
		t.Helper()
		d, err := b.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	must(Change{Op: Put, Doc: "d", Text: `{"a":1}`})
	must(Change{Op: Advance, Doc: "d", Version: 1, Stage: Proposed})
	for name, format := range map[string]int{"old": 1, "new": 2} {
		must(Change{Op: Join, User: &User{Name: name, Reads: map[string]int{"d": format}}})
	}
	parts := map[string]string{"x": `{"a":1}`, "y": `{}`}
	d := must(Change{Op: Put, Doc: "d", Version: 1, Parts: parts, Digest: SumOf(parts)})
	must(Change{Op: Say, User: &User{Name: "new", Holds: map[string]int{"d": 2}}})
	if w := b.Waits(d); w != "old reads format 1, and this is 2" {
		t.Error(w)
	}
	if v := d.Tell(b.Users["old"], []int{1}, 0); v.Next != nil || v.Stage != "" || v.Force.ID.Version != 1 {
		t.Errorf("%+v", v)
	}
	if v := d.Tell(b.Users["new"], []int{1}, 0); v.Next == nil || len(v.Next.Parts) != 2 || v.Force.Text != "" {
		t.Errorf("%+v", v)
	}
	h := NewHolder("new", map[string]int{"d": 2})
	handed := map[string]string{}
	h.CheckParts = func(_ string, changed map[string]string, whole bool) error {
		if !whole || !maps.Equal(changed, parts) {
			t.Errorf("checked %v, %v", changed, whole)
		}
		return nil
	}
	tell := func(index uint64, of *User) {
		v := d.Tell(of, h.Has()["d"], h.Bases()["d"])
		for _, took := range h.Told(time.Duration(index), index, lease.Terms{TTL: time.Second}, map[string]View{"d": v}, func(string, string) error { return nil }) {
			if took.Entry.Text != "" {
				handed = map[string]string{"whole": took.Entry.Text}
				continue
			}
			if took.Whole {
				handed = map[string]string{}
			}
			maps.Copy(handed, took.Parts)
		}
	}
	tell(1, b.Users["new"])
	if handed["whole"] != `{"a":1}` || h.Says().Holds["d"] != 2 {
		t.Errorf("%v, %+v", handed, h.Says())
	}
	must(Change{Op: Lapse, By: "old"})
	must(Change{Op: Advance, Doc: "d", Version: 2, Stage: Proposed})
	tell(2, b.Users["new"])
	if !maps.Equal(handed, parts) {
		t.Errorf("%v", handed)
	}
}

// fleet is a leader with holders of a document in parts, and words between them that come late, twice, in another order, with a part
// that is not what it was, from an older state of the leader, or not at all.
type fleet struct {
	rng     *rand.Rand
	book    *Book
	index   uint64
	older   []state // that a leader of before goes on with
	truth   map[ID]map[string]string
	holders []*holding
	now     time.Duration
	wrong   string
}

type state struct {
	book  *Book
	index uint64
}

type holding struct {
	h      *Holder
	says   map[string]string // what the process acts on, by what it was handed
	acts   ID
	words  []func() // answers on the way
	asking int      // askings of parts that are under way
}

const docInParts = "d"

func newFleet(seed uint64, n int, out Guards) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), book: NewBook(), truth: map[ID]map[string]string{}}
	for i := range n {
		p := &holding{h: NewHolder(fmt.Sprint("p", i), map[string]int{docInParts: 2}), says: map[string]string{}}
		p.h.Out = out
		p.h.CheckParts = func(_ string, changed map[string]string, whole bool) error {
			all := p.with(changed, whole)
			for id, texts := range f.truth {
				if id.Digest == SumOf(all) && maps.Equal(texts, all) {
					return nil
				}
			}
			f.say("%s checked a mix", p.h.Who)
			return nil
		}
		f.holders = append(f.holders, p)
	}
	f.change()
	return f
}

func (f *fleet) say(format string, args ...any) {
	if f.wrong == "" {
		f.wrong = fmt.Sprintf(format, args...)
	}
}

func (p *holding) with(changed map[string]string, whole bool) map[string]string {
	all := map[string]string{}
	if !whole {
		maps.Copy(all, p.says)
	}
	maps.Copy(all, changed)
	return all
}

func (f *fleet) apply(c Change) bool {
	f.index++
	_, err := f.book.Apply(c)
	return err == nil
}

// change puts a change, or has the one that is under way come into force or be withdrawn.
func (f *fleet) change() {
	d := f.book.Docs[docInParts]
	if d != nil && d.Next != nil {
		n := d.Next.ID.Version
		switch f.rng.IntN(4) {
		case 0:
			f.apply(Change{Op: Withdraw, Doc: docInParts, Version: n})
		default:
			f.apply(Change{Op: Advance, Doc: docInParts, Version: n, Stage: Proposed})
		}
		return
	}
	all, version := map[string]string{}, 0
	if d != nil && d.Force != nil {
		all, version = textsOf(d.Force.Parts), d.Force.ID.Version
	}
	changed := map[string]string{}
	for range 1 + f.rng.IntN(3) {
		changed[fmt.Sprint("part", f.rng.IntN(6))] = fmt.Sprint("text ", f.rng.IntN(5))
	}
	maps.Copy(all, changed)
	if f.rng.IntN(16) == 0 { // beyond what an answer carries
		for i := range 3 {
			name := fmt.Sprint("large", i)
			all[name] = fmt.Sprint(f.rng.IntN(5), strings.Repeat("z", TellBudget/3))
			changed[name] = all[name]
		}
	}
	if f.apply(Change{Op: Put, Doc: docInParts, Version: version, Parts: changed, Digest: SumOf(all)}) {
		f.truth[f.book.Docs[docInParts].Next.ID] = all
	}
}

// copied is something that went over the wire.
func copied[T any](v T) (out T) {
	b, err := json.Marshal(v)
	if err == nil {
		err = json.Unmarshal(b, &out)
	}
	if err != nil {
		panic(err)
	}
	return out
}

// spoil changes a part in a word, or leaves one out.
func (f *fleet) spoil(parts map[string]Part) {
	if len(parts) == 0 {
		return
	}
	name := slices.Sorted(maps.Keys(parts))[f.rng.IntN(len(parts))]
	p := parts[name]
	switch f.rng.IntN(3) {
	case 0:
		if p.Text != "" {
			p.Text += "!"
		}
		parts[name] = p
	case 1:
		p.Digest++
		parts[name] = p
	case 2:
		delete(parts, name)
	}
}

// ask has a process ask what is in force; an answer is on its way, of this leader or of one that knows less.
func (f *fleet) ask(p *holding, clean bool) {
	book, index := f.book, f.index
	if !clean && len(f.older) > 0 && f.rng.IntN(6) == 0 {
		was := f.older[f.rng.IntN(len(f.older))]
		book, index = was.book, was.index
	}
	d := book.Docs[docInParts]
	asked := f.now
	u := &User{Reads: map[string]int{docInParts: 2}}
	v := copied(d.Tell(u, p.h.Has()[docInParts], p.h.Bases()[docInParts]))
	if !clean && f.rng.IntN(8) == 0 {
		if v.Force != nil {
			f.spoil(v.Force.Parts)
		}
		if v.Next != nil {
			f.spoil(v.Next.Parts)
		}
	}
	p.words = append(p.words, func() {
		f.take(p, p.h.Told(asked, index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: v}, func(string, string) error { return nil }))
	})
}

// fetch has a process ask for parts, where it wants some.
func (f *fleet) fetch(p *holding, clean bool) {
	w, _, ok := p.h.Wants(f.now)
	if !ok {
		return
	}
	if p.asking++; p.asking > 1 {
		f.say("%s asks twice at once", p.h.Who)
	}
	id, all, ok := f.book.Docs[docInParts].At(w.Version)
	parts := copied(Send(all, w.Names))
	if !clean && f.rng.IntN(6) == 0 {
		f.spoil(parts)
	}
	ended := false
	p.words = append(p.words, func() {
		if ended {
			return // its end comes to it once
		}
		ended = true
		p.asking--
		if !ok {
			p.h.Vain()
			return
		}
		f.take(p, p.h.Got(f.now, w, id, parts, func(string, string) error { return nil }))
	})
}

// take has a process act on what it was handed, and looks whether that is what a version says.
func (f *fleet) take(p *holding, list []Took) {
	for _, t := range list {
		if t.Entry.ID.Version < p.acts.Version {
			f.say("%s acts on %v after %v", p.h.Who, t.Entry.ID, p.acts)
		}
		p.says, p.acts = p.with(t.Parts, t.Whole), t.Entry.ID
		if want := f.truth[t.Entry.ID]; !maps.Equal(want, p.says) {
			f.say("%s acts on a mix as %v", p.h.Who, t.Entry.ID)
		}
	}
	d := f.book.Docs[docInParts]
	if n := p.h.Says().Holds[docInParts]; d.Next != nil && n == d.Next.ID.Version && p.h.docs[docInParts].then.id == d.Next.ID {
		if got := textsOf(p.h.docs[docInParts].then.parts); !maps.Equal(got, f.truth[d.Next.ID]) {
			f.say("%s says that it holds %d, and has another text", p.h.Who, n)
		}
	}
}

func (f *fleet) step() {
	p := f.holders[f.rng.IntN(len(f.holders))]
	switch f.rng.IntN(9) {
	case 0:
		f.change()
	case 1:
		if f.rng.IntN(4) == 0 {
			f.older = append(f.older, state{copied(f.book), f.index})
			f.older = f.older[max(0, len(f.older)-3):]
		}
	case 2, 3:
		f.ask(p, false)
	case 4:
		f.fetch(p, false)
	case 5:
		f.now += 5 * time.Second
	case 6: // lost: of an asking for parts the process hears that it had no answer
		if len(p.words) > 0 && p.asking == 0 {
			p.words = p.words[1:]
		} else if p.asking > 0 && f.rng.IntN(3) == 0 {
			p.words, p.asking = nil, 0
			p.h.Vain()
		}
	default: // one that is on the way comes, and may come again
		if len(p.words) == 0 {
			return
		}
		i := f.rng.IntN(len(p.words))
		word := p.words[i]
		if f.rng.IntN(5) > 0 {
			p.words = slices.Delete(p.words, i, i+1)
		}
		word()
	}
}

// settle has everything come in its order, until all act on what is in force or so many words were said.
func (f *fleet) settle(words int) bool {
	for range words {
		done := true
		for _, p := range f.holders {
			f.now += time.Second
			f.ask(p, true)
			f.fetch(p, true)
			for len(p.words) > 0 {
				word := p.words[0]
				p.words = p.words[1:]
				word()
			}
			force := f.book.Docs[docInParts].Force
			done = done && (force == nil || p.acts == force.ID && p.h.Until() > f.now)
		}
		if done {
			return true
		}
	}
	return false
}

// Whatever is lost, doubled, late, in another order, spoilt on the way or from a leader of before: nobody acts on a mix that no
// version had, or says that he holds one, or goes back; and once words come in their order all act on what is in force. Each guard
// that is left out is missed. What was told since another version is found by the digest too: left out alone it is not missed.
func TestNeverAMix(t *testing.T) {
	for _, c := range []struct {
		name string
		out  Guards
		harm bool
	}{
		{"all guards", Guards{}, false},
		{"no digest of the whole", Guards{NoSum: true}, true},
		{"no digest of a text", Guards{NoText: true}, true},
		{"answers in any order", Guards{NoIndex: true}, true},
		{"put on any version", Guards{NoSince: true}, false},
		{"put on any version, no digest of the whole", Guards{NoSince: true, NoSum: true}, true},
	} {
		found, forced, offs, took := "", 0, 0, 0
		for seed := range uint64(150) {
			f := newFleet(seed, 3, c.out)
			for range 300 {
				f.step()
			}
			for _, p := range f.holders {
				for _, off := range p.h.Offs() {
					offs += off.Times
				}
			}
			if force := f.book.Docs[docInParts].Force; force != nil {
				forced = max(forced, force.ID.Version)
			}
			if f.wrong == "" && !c.harm && !f.settle(100) {
				f.say("they have not all what is in force: %d of %v", f.holders[0].acts.Version, f.book.Docs[docInParts].Force.ID)
			}
			if f.wrong != "" {
				found = fmt.Sprint("seed ", seed, " ", f.wrong)
				break
			}
			for _, p := range f.holders {
				took += p.acts.Version
			}
		}
		if (found != "") != c.harm {
			t.Errorf("%s: %q", c.name, found)
		}
		if !c.harm && (forced < 5 || offs < 100 || took == 0) {
			t.Errorf("%s: %d versions came into force, %d things didn't follow: nothing was shown", c.name, forced, offs)
		}
	}
}

// A missed Since is what makes a mix where digests can't be looked at: shown by hand, with two versions between.
func TestSinceAnotherVersion(t *testing.T) {
	for _, out := range []Guards{{}, {NoSince: true, NoSum: true}} {
		f := newFleet(1, 1, out)
		p := f.holders[0]
		version := func(parts, all map[string]string) {
			if !f.apply(Change{Op: Put, Doc: docInParts, Version: f.book.Docs[docInParts].Force.ID.Version, Parts: parts, Digest: SumOf(all)}) {
				t.Fatal("not put")
			}
			d := f.book.Docs[docInParts]
			f.truth[d.Next.ID] = all
			f.apply(Change{Op: Advance, Doc: docInParts, Version: d.Next.ID.Version, Stage: Proposed})
		}
		d := f.book.Docs[docInParts]
		f.apply(Change{Op: Advance, Doc: docInParts, Version: 1, Stage: Proposed})
		f.settle(10)
		all := textsOf(d.Force.Parts)
		for i := range 2 {
			all = maps.Clone(all)
			name := fmt.Sprint("new", i)
			all[name] = "x"
			version(map[string]string{name: "x"}, all)
		}
		v := copied(d.Tell(&User{Reads: map[string]int{docInParts: 2}}, nil, 2)) // what changed since 2, to one that has 1
		if v.Since != 2 || len(v.Force.Parts) != 1 {
			t.Fatalf("%+v", v)
		}
		f.take(p, p.h.Told(f.now, f.index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: v}, func(string, string) error { return nil }))
		if harm := f.wrong != ""; harm != out.NoSince {
			t.Errorf("%+v: %q", out, f.wrong)
		}
		if !out.NoSince && (p.acts.Version != 1 || p.h.Offs()[docInParts].Times == 0 || p.h.Old()[docInParts] != 1 || !f.settle(10)) {
			t.Errorf("acts on %v", p.acts)
		}
	}
}

// A thousand that come back in one moment ask for parts at a thousand moments: in no tenth of the spread a quarter more than its
// part. One that gets nothing waits longer each time, up to half a minute and a little, and one that gets something goes on at once.
func TestPaced(t *testing.T) {
	for _, out := range []Guards{{}, {NoPace: true}} {
		f := newFleet(3, 1000, out)
		f.apply(Change{Op: Advance, Doc: docInParts, Version: 1, Stage: Proposed})
		big := map[string]string{}
		for i := range 8 {
			big[fmt.Sprint("large", i)] = strings.Repeat("z", LongestPart/3)
		}
		d := f.book.Docs[docInParts]
		all := textsOf(d.Force.Parts)
		maps.Copy(all, big)
		f.apply(Change{Op: Load, Doc: docInParts, Draft: "x", Parts: big})
		if !f.apply(Change{Op: Put, Doc: docInParts, Version: 1, Draft: "x", Digest: SumOf(all)}) ||
			!f.apply(Change{Op: Advance, Doc: docInParts, Version: 2, Stage: Proposed}) {
			t.Fatal("not put")
		}
		const tenth = firstSpread / 10
		var asked [10]int
		for _, p := range f.holders {
			f.ask(p, true)
			p.words[0]()
			if p.h.Until() != 0 || p.h.Stops(0) != Unconfirmed {
				t.Fatal("it is confirmed without what is in force")
			}
			for now := time.Duration(0); ; now += time.Millisecond {
				if _, at, ok := p.h.Wants(now); ok {
					asked[min(9, now/tenth)]++
					break
				} else if at == 0 {
					t.Fatal("it wants nothing")
				}
			}
		}
		most := slices.Max(asked[:])
		if spread := most < 125; spread == out.NoPace {
			t.Errorf("%+v: %v", out, asked)
		}
		if out.NoPace {
			continue
		}
		p, now := f.holders[0], firstSpread
		var waits []time.Duration
		for range 12 {
			p.h.Vain()
			from := now
			for {
				if _, at, ok := p.h.Wants(now); ok {
					break
				} else if at <= now {
					t.Fatal("no time")
				} else {
					now = at
				}
			}
			waits = append(waits, now-from)
		}
		if sum := func(list []time.Duration) (n time.Duration) {
			for _, d := range list {
				n += d
			}
			return n
		}; sum(waits[6:]) < 2*sum(waits[:3]) || slices.Max(waits) > firstSpread<<mostDoubled {
			t.Errorf("%v", waits)
		}
		id, whole, _ := d.At(2)
		w, _ := p.h.wants()
		p.h.Got(now, w, id, Manifest(whole), nil)
		if _, _, ok := p.h.Wants(now); !ok {
			t.Error("it waits though it got something")
		}
	}
}

// What stops at a change that excludes is what it touches: a class whose effect changes, tenants that live in a cell that comes or
// goes, all for whatever else.
func TestTouches(t *testing.T) {
	for _, c := range []struct {
		doc, old, text string
		touches        []string
	}{
		{DocClasses, `{"classes":[{"name":"a","effect":"safe"},{"name":"b","effect":"safe"}]}`, `{"classes":[{"name":"a","effect":"keyed"},{"name":"b","effect":"safe","worth":2}]}`, []string{"class:a"}},
		{DocClasses, `{"classes":[{"name":"a","effect":"safe"}]}`, `{"classes":[{"name":"b","effect":"safe"}]}`, []string{"class:a", "class:b"}},
		{DocClasses, `{"classes":[{"name":"a"}]}`, `{"classes":[{"name":"a","new":1}]}`, nil}, // not in the table
		{DocMap, `{"cells":[{"name":"x"}]}`, `{"cells":[{"name":"x"},{"name":"y"}]}`, []string{"cell:y"}},
		{DocMap, `{"cells":[{"name":"x"}]}`, `{"cells":[{"name":"x"},{"name":"y]"}]}`, nil}, // its path has no kind
		{DocMap, `{"cells":[{"name":"x"}]}`, `{"cells":[{"name":"y"}],"skew_ms":5}`, nil},
		{DocMap, `{"version":1}`, `{"version":2}`, nil},
	} {
		list, err := Diff(c.doc, c.old, c.text)
		if got := Touches(c.doc, list); err != nil || !slices.Equal(got, c.touches) {
			t.Errorf("%s: %v, not %v, %v", c.text, got, c.touches, err)
		}
	}
	homes := func(cells ...string) string {
		s := ""
		for _, c := range cells {
			s += fmt.Sprintf(`,{"cell":%q}`, c)
		}
		return "[" + strings.TrimPrefix(s, ",") + "]"
	}
	old := `{"tenants":[{"name":"in","homes":` + homes("x") + `},{"name":"was","homes":` + homes("x", "z") + `},{"name":"out","homes":` + homes("z") + `}]}`
	text := `{"tenants":[{"name":"comes","homes":` + homes("z", "x") + `}]}`
	var touched Touched
	touched.Touch([]string{"cell:x"}, []string{old, text})
	touched.Touch([]string{"class:k"}, nil)
	for tenant, stops := range map[string]bool{"in": true, "was": true, "out": false, "comes": true, "nobody": false} {
		if touched.Stops("c", tenant) != stops || !touched.Stops("k", tenant) {
			t.Errorf("%s: %v", tenant, touched.Stops("c", tenant))
		}
	}
	var rest Touched
	rest.Touch([]string{"cell:x"}, []string{`{"tenants":[{"name":"","homes":` + homes("x") + `},{"name":"out","homes":` + homes("z") + `}]}`})
	if !rest.Stops("c", "anybody") || rest.Stops("c", "out") {
		t.Error("those that are not named live in the cell")
	}
	var blind Touched
	blind.Touch([]string{"cell:x"}, []string{"not here"})
	if !blind.Stops("c", "out") {
		t.Error("nobody knows who lives there, and it goes on")
	}
	var all Touched
	if all.Touch(nil, nil); !all.Stops("c", "out") {
		t.Error("everything is touched")
	}
}

// A process stops what a change touches from when it is told that it turns until it acts on the new: those that live in a cell by
// the parts before as by those after.
func TestHolderTouched(t *testing.T) {
	f := newFleet(1, 1, Guards{})
	d := f.book.Docs[docInParts]
	version := 1
	f.apply(Change{Op: Advance, Doc: docInParts, Version: version, Stage: Proposed})
	all := textsOf(d.Force.Parts)
	put := func(exclusive bool, touches []string, parts map[string]string) {
		t.Helper()
		all = maps.Clone(all)
		maps.Copy(all, parts)
		c := Change{Op: Put, Doc: docInParts, Version: version, Exclusive: exclusive, Touches: touches, Parts: parts, Digest: SumOf(all)}
		version++
		if !f.apply(c) || !f.apply(Change{Op: Advance, Doc: docInParts, Version: version, Stage: Proposed}) {
			t.Fatal("not put")
		}
		f.truth[ID{version, c.Digest}] = all
	}
	first := map[string]string{"t": `{"tenants":[{"name":"was","homes":[{"cell":"x"}]},{"name":"out","homes":[{"cell":"z"}]}]}`}
	for name := range all {
		first[name] = `{}`
	}
	put(false, nil, first)
	f.settle(5)
	put(true, []string{"cell:x"}, map[string]string{"u": `{"tenants":[{"name":"in","homes":[{"cell":"x"}]}]}`})
	f.settle(5)
	p := f.holders[0]
	touched := p.h.Touched()
	if !p.h.Turning() || len(touched) != 1 || p.acts.Version != 2 {
		t.Fatalf("%d touched, acts on %v", len(touched), p.acts)
	}
	for tenant, stops := range map[string]bool{"was": true, "in": true, "out": false} {
		if touched[0].Stops("c", tenant) != stops {
			t.Errorf("%s stops: %v", tenant, !stops)
		}
	}
	f.ask(p, true)
	p.words[0]()
	if p.h.Touched()[0] != touched[0] {
		t.Error("who lives there is worked out again at every word")
	}
	f.apply(Change{Op: Advance, Doc: docInParts, Version: version, Stage: Turning})
	f.settle(5)
	if p.h.Turning() || len(p.h.Touched()) != 0 || p.acts.Version != 3 || f.wrong != "" {
		t.Error("it still stops, or acts on", p.acts, f.wrong)
	}
}

// At rest an answer is as long whatever the document is; for a change it has what changed.
func TestAnswersAtRest(t *testing.T) {
	size := func(parts int, change bool) int {
		b := NewBook()
		all := map[string]string{}
		for i := range parts {
			all[fmt.Sprintf("p%03d", i)] = fmt.Sprintf(`{"n":%d,"x":%q}`, i, strings.Repeat("x", 60))
		}
		apply := func(c Change) {
			if _, err := b.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		apply(Change{Op: Put, Doc: "d", Parts: all, Digest: SumOf(all)})
		apply(Change{Op: Advance, Doc: "d", Version: 1, Stage: Proposed})
		d := b.Docs["d"]
		has, base := []int{1}, 1
		if change {
			all["p000"] = `{"n":0}`
			apply(Change{Op: Put, Doc: "d", Version: 1, Parts: map[string]string{"p000": all["p000"]}, Digest: SumOf(all)})
			apply(Change{Op: Advance, Doc: "d", Version: 2, Stage: Proposed})
		}
		text, err := json.Marshal(d.Tell(&User{Reads: map[string]int{"d": 2}}, has, base))
		if err != nil {
			t.Fatal(err)
		}
		return len(text)
	}
	for _, change := range []bool{false, true} {
		if few, many := size(10, change), size(1000, change); many-few > 4 || few-many > 4 {
			t.Errorf("%d bytes of 10 parts, %d of 1000, change %v", few, many, change)
		}
	}
}

// One that has not the texts of a change that turns can't know who lives in a cell that it touches: all stops, until it has them.
func TestTouchedUnseen(t *testing.T) {
	f := newFleet(1, 1, Guards{})
	f.apply(Change{Op: Advance, Doc: docInParts, Version: 1, Stage: Proposed})
	f.settle(5)
	p, d := f.holders[0], f.book.Docs[docInParts]
	all := textsOf(d.Force.Parts)
	changed := map[string]string{"t": `{"tenants":[{"name":"in","homes":[{"cell":"x"}]},{"name":"out","homes":[{"cell":"z"}]}]}`}
	for name := range all {
		changed[name] = `{}` // what is there is no JSON
	}
	maps.Copy(all, changed)
	if !f.apply(Change{Op: Put, Doc: docInParts, Version: 1, Parts: changed, Digest: SumOf(all)}) || !f.apply(Change{Op: Advance, Doc: docInParts, Version: 2, Stage: Proposed}) {
		t.Fatal("not put")
	}
	f.truth[d.Force.ID] = all
	f.settle(5)
	changed = map[string]string{"u": `{"tenants":[{"name":"comes","homes":[{"cell":"x"}]}]}`}
	all = maps.Clone(all)
	maps.Copy(all, changed)
	if !f.apply(Change{Op: Put, Doc: docInParts, Version: 2, Exclusive: true, Touches: []string{"cell:x"}, Parts: changed, Digest: SumOf(all)}) ||
		!f.apply(Change{Op: Advance, Doc: docInParts, Version: 3, Stage: Proposed}) {
		t.Fatal("not put")
	}
	v := copied(d.Tell(&User{Reads: map[string]int{docInParts: 2}}, p.h.Has()[docInParts], p.h.Bases()[docInParts]))
	whole := v.Next.Parts
	v.Next.Parts = Manifest(whole)
	f.take(p, p.h.Told(f.now, f.index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: v}, func(string, string) error { return nil }))
	for _, tenant := range []string{"in", "comes", "out"} {
		if !p.h.Touched()[0].Stops("c", tenant) {
			t.Errorf("%s goes on, and the change's texts are not here", tenant)
		}
	}
	f.take(p, p.h.Got(f.now, Want{Doc: docInParts, Version: 3, Names: []string{"u"}}, v.Next.ID, whole, func(string, string) error { return nil }))
	for tenant, stops := range map[string]bool{"in": true, "comes": true, "out": false} {
		if p.h.Touched()[0].Stops("c", tenant) != stops {
			t.Errorf("%s stops: %v", tenant, !stops)
		}
	}
}
