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
func again(t interface{ Fatal(...any) }, b *Store) *Store {
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	out := NewStore()
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
func TestStoreInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewStore()
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
		doc := func() *Document {
			if d := b.Documents["d"]; d != nil {
				return d
			}
			return &Document{}
		}
		version := func() int {
			if d := doc(); d.Active != nil {
				return d.Active.ID.Version
			}
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				c := Change{Op: OpPropose, Doc: "d", Version: version(), Parts: some("changed")}
				all := onto(c.Parts)
				c.Digest = TextsDigest(all)
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
				if _, err := b.Apply(Change{Op: OpLoadDraft, Doc: "d", Draft: id, Parts: parts}); err != nil {
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
				_, err := b.Apply(Change{Op: OpPropose, Doc: "d", Version: version(), Draft: id, Digest: TextsDigest(all)})
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
				if _, err := b.Apply(Change{Op: OpWithdraw, Doc: "d", Version: doc().Proposed.ID.Version}); err != nil {
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
						since[name] = doc().Proposed.ID.Version
					}
				}
				if _, err := b.Apply(Change{Op: OpAdvance, Doc: "d", Version: doc().Proposed.ID.Version, Stage: StageProposed}); err != nil {
					t.Fatal(err)
				}
				force, next = next, nil
			},
			"written and read": func(t *rapid.T) { b = again(t, b) },
			"a whole text": func(t *rapid.T) {
				if _, err := b.Apply(Change{Op: OpPropose, Doc: "d", Version: version(), Text: "{}"}); err == nil && (force != nil || next != nil) {
					t.Fatal("put on parts")
				} else if err == nil {
					b = NewStore()
					draft = ""
				}
			},
			"": func(t *rapid.T) {
				d := doc()
				if (d.Active == nil) != (force == nil) || (d.Proposed == nil) != (next == nil) {
					t.Fatalf("%+v", d)
				}
				if force != nil {
					if got := textsOf(d.Active.Parts); !maps.Equal(got, force) || d.Active.ID.Digest != TextsDigest(force) || !d.Active.InParts || d.Active.Format != 2 {
						t.Fatalf("in force %v, not %v", got, force)
					}
					for name, p := range d.Active.Parts {
						if p.Version != since[name] {
							t.Fatalf("%s changed in %d, not in %d", name, p.Version, since[name])
						}
					}
				}
				if next != nil {
					_, all, ok := d.PartsAt(d.Proposed.ID.Version)
					if got := textsOf(all); !ok || !maps.Equal(got, next) || d.Proposed.ID.Digest != TextsDigest(next) {
						t.Fatalf("under way %v, not %v", got, next)
					}
					for name, p := range d.Proposed.Parts {
						if force[name] == p.Text {
							t.Fatalf("%s is carried and is as in force", name)
						}
					}
				}
				if d.Draft != nil && (draft != d.Draft.ID || !maps.Equal(d.Draft.Parts, drafted)) || (d.Draft == nil) != (draft == "") {
					t.Fatalf("draft %+v, not %s %v", d.Draft, draft, drafted)
				}
				for _, e := range d.History {
					if e.Parts != nil || len(e.ChangedParts) == 0 {
						t.Fatalf("kept %+v", e)
					}
				}
			},
		})
	})
}

// The bounds are named in one line, and hold for drafts as for changes.
func TestPartsFit(t *testing.T) {
	big := strings.Repeat("x", MaxPartSize)
	many := func(n int, text string) map[string]string {
		all := map[string]string{}
		for i := range n {
			all[fmt.Sprintf("p%04d", i)] = text
		}
		return all
	}
	b := NewStore()
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
		for _, op := range []Op{OpPropose, OpLoadDraft} {
			_, err := b.Apply(Change{Op: op, Doc: "d", Draft: map[Op]string{OpLoadDraft: "x"}[op], Parts: c.parts, Digest: TextsDigest(c.parts)})
			if err == nil || !strings.Contains(err.Error(), c.why) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: %v, not %q", op, err, c.why)
			}
		}
	}
	// A draft is bounded as a whole, and one that another one has ended can't be put.
	load := func(id string, parts map[string]string) error {
		_, err := b.Apply(Change{Op: OpLoadDraft, Doc: "d", Draft: id, Parts: parts})
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
	if _, err := b.Apply(Change{Op: OpPropose, Doc: "d", Draft: "x"}); !errors.Is(err, ErrNoSuchChange) {
		t.Error(err)
	}
	put := Change{Op: OpPropose, Doc: "d", Draft: "y", Digest: TextsDigest(map[string]string{"a": "{}"})}
	if _, err := b.Apply(put); err != nil {
		t.Error(err)
	}
	// What is loaded in batches is within the bounds of one change.
	for _, one := range Batches(many(30, big[:20000])) {
		if err := CheckChangeSize("d", one); err != nil || textsSize(one) > maxTextSize/2 {
			t.Error(textsSize(one), err)
		}
	}
}

// A process of an older build is not handed a document in parts, and is waited for by name; a text of today's is the base of the
// first version in parts.
func TestPartsAndOlderBuilds(t *testing.T) {
	b := NewStore()
	must := func(c Change) *Document {
		t.Helper()
		d, err := b.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	must(Change{Op: OpPropose, Doc: "d", Text: `{"a":1}`})
	must(Change{Op: OpAdvance, Doc: "d", Version: 1, Stage: StageProposed})
	for name, format := range map[string]int{"old": 1, "new": 2} {
		must(Change{Op: OpRegister, Process: &Process{Name: name, Formats: map[string]int{"d": format}}})
	}
	parts := map[string]string{"x": `{"a":1}`, "y": `{}`}
	d := must(Change{Op: OpPropose, Doc: "d", Version: 1, Parts: parts, Digest: TextsDigest(parts)})
	must(Change{Op: OpReport, Process: &Process{Name: "new", Prepared: map[string]int{"d": 2}}})
	if w := b.WaitingFor(d); w != "old reads format 1, and this is 2" {
		t.Error(w)
	}
	if v := d.ViewFor(b.Processes["old"], []int{1}, 0); v.Proposed != nil || v.Stage != "" || v.Active.ID.Version != 1 {
		t.Errorf("%+v", v)
	}
	if v := d.ViewFor(b.Processes["new"], []int{1}, 0); v.Proposed == nil || len(v.Proposed.Parts) != 2 || v.Active.Text != "" {
		t.Errorf("%+v", v)
	}
	h := NewReplica("new", map[string]int{"d": 2})
	handed := map[string]string{}
	h.CheckParts = func(_ string, changed map[string]string, whole bool) error {
		if !whole || !maps.Equal(changed, parts) {
			t.Errorf("checked %v, %v", changed, whole)
		}
		return nil
	}
	tell := func(index uint64, of *Process) {
		v := d.ViewFor(of, h.KnownVersions()["d"], h.CompleteVersions()["d"])
		for _, took := range h.Receive(time.Duration(index), index, lease.Terms{TTL: time.Second}, map[string]View{"d": v}, func(string, string) error { return nil }) {
			if took.Revision.Text != "" {
				handed = map[string]string{"whole": took.Revision.Text}
				continue
			}
			if took.Complete {
				handed = map[string]string{}
			}
			maps.Copy(handed, took.Parts)
		}
	}
	tell(1, b.Processes["new"])
	if handed["whole"] != `{"a":1}` || h.Report().Prepared["d"] != 2 {
		t.Errorf("%v, %+v", handed, h.Report())
	}
	must(Change{Op: OpExpire, Author: "old"})
	must(Change{Op: OpAdvance, Doc: "d", Version: 2, Stage: StageProposed})
	tell(2, b.Processes["new"])
	if !maps.Equal(handed, parts) {
		t.Errorf("%v", handed)
	}
}

// fleet is a leader with holders of a document in parts, and words between them that come late, twice, in another order, with a part
// that is not what it was, from an older state of the leader, or not at all.
type fleet struct {
	rng     *rand.Rand
	book    *Store
	index   uint64
	older   []state // that a leader of before goes on with
	truth   map[ID]map[string]string
	holders []*holding
	now     time.Duration
	wrong   string
}

type state struct {
	book  *Store
	index uint64
}

type holding struct {
	h      *Replica
	says   map[string]string // what the process acts on, by what it was handed
	acts   ID
	words  []func() // answers on the way
	asking int      // askings of parts that are under way
}

const docInParts = "d"

func newFleet(seed uint64, n int, out DisabledGuards) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), book: NewStore(), truth: map[ID]map[string]string{}}
	for i := range n {
		p := &holding{h: NewReplica(fmt.Sprint("p", i), map[string]int{docInParts: 2}), says: map[string]string{}}
		p.h.Disabled = out
		p.h.CheckParts = func(_ string, changed map[string]string, whole bool) error {
			all := p.with(changed, whole)
			for id, texts := range f.truth {
				if id.Digest == TextsDigest(all) && maps.Equal(texts, all) {
					return nil
				}
			}
			f.say("%s checked a mix", p.h.Name)
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
	d := f.book.Documents[docInParts]
	if d != nil && d.Proposed != nil {
		n := d.Proposed.ID.Version
		switch f.rng.IntN(4) {
		case 0:
			f.apply(Change{Op: OpWithdraw, Doc: docInParts, Version: n})
		default:
			f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: n, Stage: StageProposed})
		}
		return
	}
	all, version := map[string]string{}, 0
	if d != nil && d.Active != nil {
		all, version = textsOf(d.Active.Parts), d.Active.ID.Version
	}
	changed := map[string]string{}
	for range 1 + f.rng.IntN(3) {
		changed[fmt.Sprint("part", f.rng.IntN(6))] = fmt.Sprint("text ", f.rng.IntN(5))
	}
	maps.Copy(all, changed)
	if f.rng.IntN(16) == 0 { // beyond what an answer carries
		for i := range 3 {
			name := fmt.Sprint("large", i)
			all[name] = fmt.Sprint(f.rng.IntN(5), strings.Repeat("z", MaxViewSize/3))
			changed[name] = all[name]
		}
	}
	if f.apply(Change{Op: OpPropose, Doc: docInParts, Version: version, Parts: changed, Digest: TextsDigest(all)}) {
		f.truth[f.book.Documents[docInParts].Proposed.ID] = all
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
	d := book.Documents[docInParts]
	asked := f.now
	u := &Process{Formats: map[string]int{docInParts: 2}}
	v := copied(d.ViewFor(u, p.h.KnownVersions()[docInParts], p.h.CompleteVersions()[docInParts]))
	if !clean && f.rng.IntN(8) == 0 {
		if v.Active != nil {
			f.spoil(v.Active.Parts)
		}
		if v.Proposed != nil {
			f.spoil(v.Proposed.Parts)
		}
	}
	p.words = append(p.words, func() {
		f.take(p, p.h.Receive(asked, index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: v}, func(string, string) error { return nil }))
	})
}

// fetch has a process ask for parts, where it wants some.
func (f *fleet) fetch(p *holding, clean bool) {
	w, _, ok := p.h.NextRequest(f.now)
	if !ok {
		return
	}
	if p.asking++; p.asking > 1 {
		f.say("%s asks twice at once", p.h.Name)
	}
	id, all, ok := f.book.Documents[docInParts].PartsAt(w.Version)
	parts := copied(SelectParts(all, w.Names))
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
			p.h.RequestFailed()
			return
		}
		f.take(p, p.h.ReceiveParts(f.now, w, id, parts, func(string, string) error { return nil }))
	})
}

// take has a process act on what it was handed, and looks whether that is what a version says.
func (f *fleet) take(p *holding, list []Update) {
	for _, t := range list {
		if t.Revision.ID.Version < p.acts.Version {
			f.say("%s acts on %v after %v", p.h.Name, t.Revision.ID, p.acts)
		}
		p.says, p.acts = p.with(t.Parts, t.Complete), t.Revision.ID
		if want := f.truth[t.Revision.ID]; !maps.Equal(want, p.says) {
			f.say("%s acts on a mix as %v", p.h.Name, t.Revision.ID)
		}
	}
	d := f.book.Documents[docInParts]
	if n := p.h.Report().Prepared[docInParts]; d.Proposed != nil && n == d.Proposed.ID.Version && p.h.docs[docInParts].proposedParts.id == d.Proposed.ID {
		if got := textsOf(p.h.docs[docInParts].proposedParts.parts); !maps.Equal(got, f.truth[d.Proposed.ID]) {
			f.say("%s says that it holds %d, and has another text", p.h.Name, n)
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
			p.h.RequestFailed()
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
			force := f.book.Documents[docInParts].Active
			done = done && (force == nil || p.acts == force.ID && p.h.ConfirmedUntil() > f.now)
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
		out  DisabledGuards
		harm bool
	}{
		{"all guards", DisabledGuards{}, false},
		{"no digest of the whole", DisabledGuards{SumCheck: true}, true},
		{"no digest of a text", DisabledGuards{TextCheck: true}, true},
		{"answers in any order", DisabledGuards{IndexCheck: true}, true},
		{"put on any version", DisabledGuards{SinceCheck: true}, false},
		{"put on any version, no digest of the whole", DisabledGuards{SinceCheck: true, SumCheck: true}, true},
	} {
		found, forced, offs, took := "", 0, 0, 0
		for seed := range uint64(150) {
			f := newFleet(seed, 3, c.out)
			for range 300 {
				f.step()
			}
			for _, p := range f.holders {
				for _, off := range p.h.TakeMismatches() {
					offs += off.Count
				}
			}
			if force := f.book.Documents[docInParts].Active; force != nil {
				forced = max(forced, force.ID.Version)
			}
			if f.wrong == "" && !c.harm && !f.settle(100) {
				f.say("they have not all what is in force: %d of %v", f.holders[0].acts.Version, f.book.Documents[docInParts].Active.ID)
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
	for _, out := range []DisabledGuards{{}, {SinceCheck: true, SumCheck: true}} {
		f := newFleet(1, 1, out)
		p := f.holders[0]
		version := func(parts, all map[string]string) {
			if !f.apply(Change{Op: OpPropose, Doc: docInParts, Version: f.book.Documents[docInParts].Active.ID.Version, Parts: parts, Digest: TextsDigest(all)}) {
				t.Fatal("not put")
			}
			d := f.book.Documents[docInParts]
			f.truth[d.Proposed.ID] = all
			f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: d.Proposed.ID.Version, Stage: StageProposed})
		}
		d := f.book.Documents[docInParts]
		f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 1, Stage: StageProposed})
		f.settle(10)
		all := textsOf(d.Active.Parts)
		for i := range 2 {
			all = maps.Clone(all)
			name := fmt.Sprint("new", i)
			all[name] = "x"
			version(map[string]string{name: "x"}, all)
		}
		v := copied(d.ViewFor(&Process{Formats: map[string]int{docInParts: 2}}, nil, 2)) // what changed since 2, to one that has 1
		if v.Since != 2 || len(v.Active.Parts) != 1 {
			t.Fatalf("%+v", v)
		}
		f.take(p, p.h.Receive(f.now, f.index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: v}, func(string, string) error { return nil }))
		if harm := f.wrong != ""; harm != out.SinceCheck {
			t.Errorf("%+v: %q", out, f.wrong)
		}
		if !out.SinceCheck && (p.acts.Version != 1 || p.h.TakeMismatches()[docInParts].Count == 0 || p.h.OutdatedVersions()[docInParts] != 1 || !f.settle(10)) {
			t.Errorf("acts on %v", p.acts)
		}
	}
}

// A thousand that come back in one moment ask for parts at a thousand moments: in no tenth of the spread a quarter more than its
// part. One that gets nothing waits longer each time, up to half a minute and a little, and one that gets something goes on at once.
func TestRequestsArePaced(t *testing.T) {
	for _, out := range []DisabledGuards{{}, {Pacing: true}} {
		f := newFleet(3, 1000, out)
		f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 1, Stage: StageProposed})
		big := map[string]string{}
		for i := range 8 {
			big[fmt.Sprint("large", i)] = strings.Repeat("z", MaxPartSize/3)
		}
		d := f.book.Documents[docInParts]
		all := textsOf(d.Active.Parts)
		maps.Copy(all, big)
		f.apply(Change{Op: OpLoadDraft, Doc: docInParts, Draft: "x", Parts: big})
		if !f.apply(Change{Op: OpPropose, Doc: docInParts, Version: 1, Draft: "x", Digest: TextsDigest(all)}) ||
			!f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 2, Stage: StageProposed}) {
			t.Fatal("not put")
		}
		const tenth = initialBackoff / 10
		var asked [10]int
		for _, p := range f.holders {
			f.ask(p, true)
			p.words[0]()
			if p.h.ConfirmedUntil() != 0 || p.h.StopReason(0) != StopUnconfirmed {
				t.Fatal("it is confirmed without what is in force")
			}
			for now := time.Duration(0); ; now += time.Millisecond {
				if _, at, ok := p.h.NextRequest(now); ok {
					asked[min(9, now/tenth)]++
					break
				} else if at == 0 {
					t.Fatal("it wants nothing")
				}
			}
		}
		most := slices.Max(asked[:])
		if spread := most < 125; spread == out.Pacing {
			t.Errorf("%+v: %v", out, asked)
		}
		if out.Pacing {
			continue
		}
		p, now := f.holders[0], initialBackoff
		var waits []time.Duration
		for range 12 {
			p.h.RequestFailed()
			from := now
			for {
				if _, at, ok := p.h.NextRequest(now); ok {
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
		}; sum(waits[6:]) < 2*sum(waits[:3]) || slices.Max(waits) > initialBackoff<<maxDoublings {
			t.Errorf("%v", waits)
		}
		id, whole, _ := d.PartsAt(2)
		w, _ := p.h.nextMissing()
		p.h.ReceiveParts(now, w, id, Manifest(whole), nil)
		if _, _, ok := p.h.NextRequest(now); !ok {
			t.Error("it waits though it got something")
		}
	}
}

// What stops at a change that excludes is what it touches: a class whose effect changes, tenants that live in a cell that comes or
// goes, all for whatever else.
func TestScopeOf(t *testing.T) {
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
		if got := ScopeOf(c.doc, list); err != nil || !slices.Equal(got, c.touches) {
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
	var touched PauseScope
	touched.Add([]string{"cell:x"}, []string{old, text})
	touched.Add([]string{"class:k"}, nil)
	for tenant, stops := range map[string]bool{"in": true, "was": true, "out": false, "comes": true, "nobody": false} {
		if touched.Pauses("c", tenant) != stops || !touched.Pauses("k", tenant) {
			t.Errorf("%s: %v", tenant, touched.Pauses("c", tenant))
		}
	}
	var rest PauseScope
	rest.Add([]string{"cell:x"}, []string{`{"tenants":[{"name":"","homes":` + homes("x") + `},{"name":"out","homes":` + homes("z") + `}]}`})
	if !rest.Pauses("c", "anybody") || rest.Pauses("c", "out") {
		t.Error("those that are not named live in the cell")
	}
	var blind PauseScope
	blind.Add([]string{"cell:x"}, []string{"not here"})
	if !blind.Pauses("c", "out") {
		t.Error("nobody knows who lives there, and it goes on")
	}
	var all PauseScope
	if all.Add(nil, nil); !all.Pauses("c", "out") {
		t.Error("everything is touched")
	}
}

// A process stops what a change touches from when it is told that it turns until it acts on the new: those that live in a cell by
// the parts before as by those after.
func TestReplicaPauseScopes(t *testing.T) {
	f := newFleet(1, 1, DisabledGuards{})
	d := f.book.Documents[docInParts]
	version := 1
	f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: version, Stage: StageProposed})
	all := textsOf(d.Active.Parts)
	put := func(exclusive bool, touches []string, parts map[string]string) {
		t.Helper()
		all = maps.Clone(all)
		maps.Copy(all, parts)
		c := Change{Op: OpPropose, Doc: docInParts, Version: version, Exclusive: exclusive, Scope: touches, Parts: parts, Digest: TextsDigest(all)}
		version++
		if !f.apply(c) || !f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: version, Stage: StageProposed}) {
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
	touched := p.h.PauseScopes()
	if !p.h.IsQuiesced() || len(touched) != 1 || p.acts.Version != 2 {
		t.Fatalf("%d touched, acts on %v", len(touched), p.acts)
	}
	for tenant, stops := range map[string]bool{"was": true, "in": true, "out": false} {
		if touched[0].Pauses("c", tenant) != stops {
			t.Errorf("%s stops: %v", tenant, !stops)
		}
	}
	f.ask(p, true)
	p.words[0]()
	if p.h.PauseScopes()[0] != touched[0] {
		t.Error("who lives there is worked out again at every word")
	}
	f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: version, Stage: StageQuiescing})
	f.settle(5)
	if p.h.IsQuiesced() || len(p.h.PauseScopes()) != 0 || p.acts.Version != 3 || f.wrong != "" {
		t.Error("it still stops, or acts on", p.acts, f.wrong)
	}
}

// At rest an answer is as long whatever the document is; for a change it has what changed.
func TestAnswersAtRest(t *testing.T) {
	size := func(parts int, change bool) int {
		b := NewStore()
		all := map[string]string{}
		for i := range parts {
			all[fmt.Sprintf("p%03d", i)] = fmt.Sprintf(`{"n":%d,"x":%q}`, i, strings.Repeat("x", 60))
		}
		apply := func(c Change) {
			if _, err := b.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		apply(Change{Op: OpPropose, Doc: "d", Parts: all, Digest: TextsDigest(all)})
		apply(Change{Op: OpAdvance, Doc: "d", Version: 1, Stage: StageProposed})
		d := b.Documents["d"]
		has, base := []int{1}, 1
		if change {
			all["p000"] = `{"n":0}`
			apply(Change{Op: OpPropose, Doc: "d", Version: 1, Parts: map[string]string{"p000": all["p000"]}, Digest: TextsDigest(all)})
			apply(Change{Op: OpAdvance, Doc: "d", Version: 2, Stage: StageProposed})
		}
		text, err := json.Marshal(d.ViewFor(&Process{Formats: map[string]int{"d": 2}}, has, base))
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
func TestScopeOfMissingParts(t *testing.T) {
	f := newFleet(1, 1, DisabledGuards{})
	f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 1, Stage: StageProposed})
	f.settle(5)
	p, d := f.holders[0], f.book.Documents[docInParts]
	all := textsOf(d.Active.Parts)
	changed := map[string]string{"t": `{"tenants":[{"name":"in","homes":[{"cell":"x"}]},{"name":"out","homes":[{"cell":"z"}]}]}`}
	for name := range all {
		changed[name] = `{}` // what is there is no JSON
	}
	maps.Copy(all, changed)
	if !f.apply(Change{Op: OpPropose, Doc: docInParts, Version: 1, Parts: changed, Digest: TextsDigest(all)}) || !f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 2, Stage: StageProposed}) {
		t.Fatal("not put")
	}
	f.truth[d.Active.ID] = all
	f.settle(5)
	changed = map[string]string{"u": `{"tenants":[{"name":"comes","homes":[{"cell":"x"}]}]}`}
	all = maps.Clone(all)
	maps.Copy(all, changed)
	if !f.apply(Change{Op: OpPropose, Doc: docInParts, Version: 2, Exclusive: true, Scope: []string{"cell:x"}, Parts: changed, Digest: TextsDigest(all)}) ||
		!f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 3, Stage: StageProposed}) {
		t.Fatal("not put")
	}
	v := copied(d.ViewFor(&Process{Formats: map[string]int{docInParts: 2}}, p.h.KnownVersions()[docInParts], p.h.CompleteVersions()[docInParts]))
	whole := v.Proposed.Parts
	v.Proposed.Parts = Manifest(whole)
	f.take(p, p.h.Receive(f.now, f.index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: v}, func(string, string) error { return nil }))
	for _, tenant := range []string{"in", "comes", "out"} {
		if !p.h.PauseScopes()[0].Pauses("c", tenant) {
			t.Errorf("%s goes on, and the change's texts are not here", tenant)
		}
	}
	f.take(p, p.h.ReceiveParts(f.now, PartsRequest{Doc: docInParts, Version: 3, Names: []string{"u"}}, v.Proposed.ID, whole, func(string, string) error { return nil }))
	for tenant, stops := range map[string]bool{"in": true, "comes": true, "out": false} {
		if p.h.PauseScopes()[0].Pauses("c", tenant) != stops {
			t.Errorf("%s stops: %v", tenant, !stops)
		}
	}
}
