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

// roundTrip encodes a store as JSON and returns the decoded result.
func roundTrip(t interface{ Fatal(...any) }, store *Store) *Store {
	encoded, err := json.Marshal(store)
	if err != nil {
		t.Fatal(err)
	}
	decoded := NewStore()
	if err := json.Unmarshal(encoded, decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

func textsOf(parts map[string]Part) map[string]string {
	texts := map[string]string{}
	for name, p := range parts {
		texts[name] = p.Text
	}
	return texts
}

// TestStoreInParts compares a store that has a document in parts with a plain map of texts, over any sequence of proposals, drafts,
// withdrawals, advances and JSON round trips. The document's digest covers all parts, and each part has the version in which it last
// changed.
func TestStoreInParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		var active, proposed map[string]string // the expected contents; proposed is nil if no change is pending
		changedIn := map[string]int{}
		draftID, draftParts := "", map[string]string{}
		drawParts := func(label string) map[string]string {
			return rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}), rapid.SampledFrom([]string{"1", "2", "3"}), 1, 4).Draw(t, label)
		}
		mergedWithActive := func(changed map[string]string) map[string]string {
			merged := maps.Clone(active)
			if merged == nil {
				merged = map[string]string{}
			}
			maps.Copy(merged, changed)
			return merged
		}
		doc := func() *Document {
			if d := store.Documents["d"]; d != nil {
				return d
			}
			return &Document{}
		}
		activeVersion := func() int {
			if d := doc(); d.Active != nil {
				return d.Active.ID.Version
			}
			return 0
		}
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				c := Change{Op: OpPropose, Doc: "d", Version: activeVersion(), Parts: drawParts("changed")}
				merged := mergedWithActive(c.Parts)
				c.Digest = TextsDigest(merged)
				wrongDigest := rapid.Bool().Draw(t, "wrong digest")
				if wrongDigest {
					c.Digest++
				}
				_, err := store.Apply(c)
				if ok := proposed == nil && !wrongDigest && !maps.Equal(merged, active); ok != (err == nil) {
					t.Fatalf("proposal of %v on %v, wrong digest %v: error %v", c.Parts, active, wrongDigest, err)
				} else if ok {
					proposed, draftID = merged, ""
				}
			},
			"load a draft": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "draft")
				parts := drawParts("loaded")
				if _, err := store.Apply(Change{Op: OpLoadDraft, Doc: "d", Draft: id, Parts: parts}); err != nil {
					t.Fatal(err)
				}
				if id != draftID {
					draftID, draftParts = id, map[string]string{}
				}
				maps.Copy(draftParts, parts)
			},
			"propose a draft": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "draft")
				merged := mergedWithActive(draftParts)
				_, err := store.Apply(Change{Op: OpPropose, Doc: "d", Version: activeVersion(), Draft: id, Digest: TextsDigest(merged)})
				if ok := proposed == nil && id == draftID && !maps.Equal(merged, active); ok != (err == nil) {
					t.Fatalf("proposal of draft %q, loaded draft %q: error %v", id, draftID, err)
				} else if ok {
					proposed, draftID = merged, ""
				}
			},
			"withdraw": func(t *rapid.T) {
				if proposed == nil {
					t.Skip()
				}
				if _, err := store.Apply(Change{Op: OpWithdraw, Doc: "d", Version: doc().Proposed.ID.Version}); err != nil {
					t.Fatal(err)
				}
				proposed = nil
			},
			"advance": func(t *rapid.T) {
				if proposed == nil {
					t.Skip()
				}
				for name, text := range proposed {
					if active[name] != text {
						changedIn[name] = doc().Proposed.ID.Version
					}
				}
				if _, err := store.Apply(Change{Op: OpAdvance, Doc: "d", Version: doc().Proposed.ID.Version, Stage: StageProposed}); err != nil {
					t.Fatal(err)
				}
				active, proposed = proposed, nil
			},
			"write and read": func(t *rapid.T) { store = roundTrip(t, store) },
			"a whole text": func(t *rapid.T) {
				if _, err := store.Apply(Change{Op: OpPropose, Doc: "d", Version: activeVersion(), Text: "{}"}); err == nil && (active != nil || proposed != nil) {
					t.Fatal("a text without parts was accepted for a document in parts")
				} else if err == nil {
					store = NewStore()
					draftID = ""
				}
			},
			"": func(t *rapid.T) {
				d := doc()
				if (d.Active == nil) != (active == nil) || (d.Proposed == nil) != (proposed == nil) {
					t.Fatalf("active or proposed revision missing or unexpected: %+v", d)
				}
				if active != nil {
					if texts := textsOf(d.Active.Parts); !maps.Equal(texts, active) || d.Active.ID.Digest != TextsDigest(active) || !d.Active.InParts || d.Active.Format != 2 {
						t.Fatalf("active parts %v, want %v", texts, active)
					}
					for name, p := range d.Active.Parts {
						if p.Version != changedIn[name] {
							t.Fatalf("part %s changed in version %d, want %d", name, p.Version, changedIn[name])
						}
					}
				}
				if proposed != nil {
					_, merged, ok := d.PartsAt(d.Proposed.ID.Version)
					if texts := textsOf(merged); !ok || !maps.Equal(texts, proposed) || d.Proposed.ID.Digest != TextsDigest(proposed) {
						t.Fatalf("proposed parts %v, want %v", texts, proposed)
					}
					for name, p := range d.Proposed.Parts {
						if active[name] == p.Text {
							t.Fatalf("proposed part %s equals the active one", name)
						}
					}
				}
				if d.Draft != nil && (draftID != d.Draft.ID || !maps.Equal(d.Draft.Parts, draftParts)) || (d.Draft == nil) != (draftID == "") {
					t.Fatalf("draft %+v, want %s %v", d.Draft, draftID, draftParts)
				}
				for _, revision := range d.History {
					if revision.Parts != nil || len(revision.ChangedParts) == 0 {
						t.Fatalf("archived revision has parts or no list of changed parts: %+v", revision)
					}
				}
			},
		})
	})
}

// Each exceeded limit is reported in one line, for drafts as for proposals.
func TestPartsFit(t *testing.T) {
	large := strings.Repeat("x", MaxPartSize)
	manyParts := func(count int, text string) map[string]string {
		parts := map[string]string{}
		for i := range count {
			parts[fmt.Sprintf("p%04d", i)] = text
		}
		return parts
	}
	store := NewStore()
	for _, c := range []struct {
		want  string
		parts map[string]string
	}{
		{"d: part a: 65537 bytes, of 1 to 65536", map[string]string{"a": large + "x"}},
		{"d: part a: 0 bytes", map[string]string{"a": ""}},
		{"d: 1025 parts, of at most 1024", manyParts(1025, "x")},
		{"a part's name", map[string]string{strings.Repeat("n", 65): "x"}},
		{"a part's name", map[string]string{"": "x"}},
		{"a part's name", map[string]string{"a\x00b": "x"}},
		{"bytes in one change, of at most 262144", manyParts(4, large)},
	} {
		for _, op := range []Op{OpPropose, OpLoadDraft} {
			_, err := store.Apply(Change{Op: op, Doc: "d", Draft: map[Op]string{OpLoadDraft: "x"}[op], Parts: c.parts, Digest: TextsDigest(c.parts)})
			if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: error %v, want %q", op, err, c.want)
			}
		}
	}
	// The limit of a document applies to a whole draft, and a draft that another one replaced can't be proposed.
	loadDraft := func(id string, parts map[string]string) error {
		_, err := store.Apply(Change{Op: OpLoadDraft, Doc: "d", Draft: id, Parts: parts})
		return err
	}
	var err error
	drafts := 0
	for ; err == nil && drafts < 1000; drafts++ {
		err = loadDraft("x", map[string]string{fmt.Sprintf("q%03d", drafts): large})
	}
	if err == nil || !strings.Contains(err.Error(), "of at most 16777216") || drafts != 256 {
		t.Errorf("draft limit reached after %d parts: error %v", drafts, err)
	}
	if err := loadDraft("y", map[string]string{"a": "{}"}); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Apply(Change{Op: OpPropose, Doc: "d", Draft: "x"}); !errors.Is(err, ErrNoSuchChange) {
		t.Error(err)
	}
	proposal := Change{Op: OpPropose, Doc: "d", Draft: "y", Digest: TextsDigest(map[string]string{"a": "{}"})}
	if _, err := store.Apply(proposal); err != nil {
		t.Error(err)
	}
	// Each batch is within the limits of one change.
	for _, batch := range Batches(manyParts(30, large[:20000])) {
		if err := CheckChangeSize("d", batch); err != nil || textsSize(batch) > maxTextSize/2 {
			t.Error(textsSize(batch), err)
		}
	}
}

// A process of an older build is not offered a document in parts, and the change waits for it by name. A document without parts can be
// replaced by a version in parts.
func TestPartsAndOlderBuilds(t *testing.T) {
	store := NewStore()
	mustApply := func(c Change) *Document {
		t.Helper()
		d, err := store.Apply(c)
		if err != nil {
			t.Fatal(err)
		}
		return d
	}
	mustApply(Change{Op: OpPropose, Doc: "d", Text: `{"a":1}`})
	mustApply(Change{Op: OpAdvance, Doc: "d", Version: 1, Stage: StageProposed})
	for name, format := range map[string]int{"old": 1, "new": 2} {
		mustApply(Change{Op: OpRegister, Process: &Process{Name: name, Formats: map[string]int{"d": format}}})
	}
	parts := map[string]string{"x": `{"a":1}`, "y": `{}`}
	d := mustApply(Change{Op: OpPropose, Doc: "d", Version: 1, Parts: parts, Digest: TextsDigest(parts)})
	mustApply(Change{Op: OpReport, Process: &Process{Name: "new", Prepared: map[string]int{"d": 2}}})
	if waiting := store.WaitingFor(d); waiting != "old reads format 1, and this is 2" {
		t.Error(waiting)
	}
	if view := d.ViewFor(store.Processes["old"], []int{1}, 0); view.Proposed != nil || view.Stage != "" || view.Active.ID.Version != 1 {
		t.Errorf("%+v", view)
	}
	if view := d.ViewFor(store.Processes["new"], []int{1}, 0); view.Proposed == nil || len(view.Proposed.Parts) != 2 || view.Active.Text != "" {
		t.Errorf("%+v", view)
	}
	replica := NewReplica("new", map[string]int{"d": 2})
	delivered := map[string]string{}
	replica.CheckParts = func(_ string, changed map[string]string, complete bool) error {
		if !complete || !maps.Equal(changed, parts) {
			t.Errorf("CheckParts got %v, complete %v", changed, complete)
		}
		return nil
	}
	deliver := func(index uint64, process *Process) {
		view := d.ViewFor(process, replica.KnownVersions()["d"], replica.CompleteVersions()["d"])
		for _, update := range replica.Receive(time.Duration(index), index, lease.Terms{TTL: time.Second}, map[string]View{"d": view}, func(string, string) error { return nil }) {
			if update.Revision.Text != "" {
				delivered = map[string]string{"whole": update.Revision.Text}
				continue
			}
			if update.Complete {
				delivered = map[string]string{}
			}
			maps.Copy(delivered, update.Parts)
		}
	}
	deliver(1, store.Processes["new"])
	if delivered["whole"] != `{"a":1}` || replica.Report().Prepared["d"] != 2 {
		t.Errorf("%v, %+v", delivered, replica.Report())
	}
	mustApply(Change{Op: OpExpire, Author: "old"})
	mustApply(Change{Op: OpAdvance, Doc: "d", Version: 2, Stage: StageProposed})
	deliver(2, store.Processes["new"])
	if !maps.Equal(delivered, parts) {
		t.Errorf("%v", delivered)
	}
}

// testFleet is a leader with processes that act on a document in parts. Answers may be delayed, duplicated, reordered, corrupted, lost, or
// come from an older state of the leader.
type testFleet struct {
	rng         *rand.Rand
	store       *Store
	index       uint64
	staleStates []staleState // of a former leader that still answers
	textsByID   map[ID]map[string]string
	processes   []*fleetProcess
	now         time.Duration
	failure     string
}

type staleState struct {
	store *Store
	index uint64
}

type fleetProcess struct {
	replica          *Replica
	texts            map[string]string // contents that the process acts on, from its updates
	activeID         ID
	answers          []func() // not delivered yet
	requestsInFlight int      // requests for parts
}

const docInParts = "d"

func newTestFleet(seed uint64, n int, disabled DisabledGuards) *testFleet {
	f := &testFleet{rng: rand.New(rand.NewPCG(seed, 7)), store: NewStore(), textsByID: map[ID]map[string]string{}}
	for i := range n {
		p := &fleetProcess{replica: NewReplica(fmt.Sprint("p", i), map[string]int{docInParts: 2}), texts: map[string]string{}}
		p.replica.Disabled = disabled
		p.replica.CheckParts = func(_ string, changed map[string]string, complete bool) error {
			merged := p.withUpdate(changed, complete)
			for id, texts := range f.textsByID {
				if id.Digest == TextsDigest(merged) && maps.Equal(texts, merged) {
					return nil
				}
			}
			f.fail("%s checked a mix of versions", p.replica.Name)
			return nil
		}
		f.processes = append(f.processes, p)
	}
	f.proposeOrFinish()
	return f
}

func (f *testFleet) fail(format string, args ...any) {
	if f.failure == "" {
		f.failure = fmt.Sprintf(format, args...)
	}
}

func (p *fleetProcess) withUpdate(changed map[string]string, complete bool) map[string]string {
	merged := map[string]string{}
	if !complete {
		maps.Copy(merged, p.texts)
	}
	maps.Copy(merged, changed)
	return merged
}

func (f *testFleet) apply(c Change) bool {
	f.index++
	_, err := f.store.Apply(c)
	return err == nil
}

// proposeOrFinish proposes a change, or advances or withdraws the pending one.
func (f *testFleet) proposeOrFinish() {
	d := f.store.Documents[docInParts]
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
	merged, version := map[string]string{}, 0
	if d != nil && d.Active != nil {
		merged, version = textsOf(d.Active.Parts), d.Active.ID.Version
	}
	changed := map[string]string{}
	for range 1 + f.rng.IntN(3) {
		changed[fmt.Sprint("part", f.rng.IntN(6))] = fmt.Sprint("text ", f.rng.IntN(5))
	}
	maps.Copy(merged, changed)
	if f.rng.IntN(16) == 0 { // more than an answer carries
		for i := range 3 {
			name := fmt.Sprint("large", i)
			merged[name] = fmt.Sprint(f.rng.IntN(5), strings.Repeat("z", MaxViewSize/3))
			changed[name] = merged[name]
		}
	}
	if f.apply(Change{Op: OpPropose, Doc: docInParts, Version: version, Parts: changed, Digest: TextsDigest(merged)}) {
		f.textsByID[f.store.Documents[docInParts].Proposed.ID] = merged
	}
}

// wireCopy returns a copy that was encoded and decoded as JSON.
func wireCopy[T any](value T) (copied T) {
	b, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(b, &copied)
	}
	if err != nil {
		panic(err)
	}
	return copied
}

// corrupt changes the text or the digest of a part, or removes a part.
func (f *testFleet) corrupt(parts map[string]Part) {
	if len(parts) == 0 {
		return
	}
	name := slices.Sorted(maps.Keys(parts))[f.rng.IntN(len(parts))]
	part := parts[name]
	switch f.rng.IntN(3) {
	case 0:
		if part.Text != "" {
			part.Text += "!"
		}
		parts[name] = part
	case 1:
		part.Digest++
		parts[name] = part
	case 2:
		delete(parts, name)
	}
}

// poll sends a process's poll and queues the answer, which may come from an older state of the leader unless reliable is set.
func (f *testFleet) poll(p *fleetProcess, reliable bool) {
	store, index := f.store, f.index
	if !reliable && len(f.staleStates) > 0 && f.rng.IntN(6) == 0 {
		stale := f.staleStates[f.rng.IntN(len(f.staleStates))]
		store, index = stale.store, stale.index
	}
	d := store.Documents[docInParts]
	requestedAt := f.now
	process := &Process{Formats: map[string]int{docInParts: 2}}
	view := wireCopy(d.ViewFor(process, p.replica.KnownVersions()[docInParts], p.replica.CompleteVersions()[docInParts]))
	if !reliable && f.rng.IntN(8) == 0 {
		if view.Active != nil {
			f.corrupt(view.Active.Parts)
		}
		if view.Proposed != nil {
			f.corrupt(view.Proposed.Parts)
		}
	}
	p.answers = append(p.answers, func() {
		f.applyUpdates(p, p.replica.Receive(requestedAt, index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: view}, func(string, string) error { return nil }))
	})
}

// requestParts sends a process's request for parts, if it has one, and queues the answer.
func (f *testFleet) requestParts(p *fleetProcess, reliable bool) {
	request, _, ok := p.replica.NextRequest(f.now)
	if !ok {
		return
	}
	if p.requestsInFlight++; p.requestsInFlight > 1 {
		f.fail("%s has two requests in flight", p.replica.Name)
	}
	id, allParts, ok := f.store.Documents[docInParts].PartsAt(request.Version)
	parts := wireCopy(SelectParts(allParts, request.Names))
	if !reliable && f.rng.IntN(6) == 0 {
		f.corrupt(parts)
	}
	answered := false
	p.answers = append(p.answers, func() {
		if answered {
			return // a request ends once, even if its answer is duplicated
		}
		answered = true
		p.requestsInFlight--
		if !ok {
			p.replica.RequestFailed()
			return
		}
		f.applyUpdates(p, p.replica.ReceiveParts(f.now, request, id, parts, func(string, string) error { return nil }))
	})
}

// applyUpdates applies updates to a process, and checks that it then has exactly the contents of a version.
func (f *testFleet) applyUpdates(p *fleetProcess, list []Update) {
	for _, update := range list {
		if update.Revision.ID.Version < p.activeID.Version {
			f.fail("%s went back to %v from %v", p.replica.Name, update.Revision.ID, p.activeID)
		}
		p.texts, p.activeID = p.withUpdate(update.Parts, update.Complete), update.Revision.ID
		if wantTexts := f.textsByID[update.Revision.ID]; !maps.Equal(wantTexts, p.texts) {
			f.fail("%s acts on a mix of versions as %v", p.replica.Name, update.Revision.ID)
		}
	}
	d := f.store.Documents[docInParts]
	if prepared := p.replica.Report().Prepared[docInParts]; d.Proposed != nil && prepared == d.Proposed.ID.Version && p.replica.docs[docInParts].proposedParts.id == d.Proposed.ID {
		if gotTexts := textsOf(p.replica.docs[docInParts].proposedParts.parts); !maps.Equal(gotTexts, f.textsByID[d.Proposed.ID]) {
			f.fail("%s reports %d as prepared, but has other texts", p.replica.Name, prepared)
		}
	}
}

func (f *testFleet) step() {
	p := f.processes[f.rng.IntN(len(f.processes))]
	switch f.rng.IntN(9) {
	case 0:
		f.proposeOrFinish()
	case 1:
		if f.rng.IntN(4) == 0 {
			f.staleStates = append(f.staleStates, staleState{wireCopy(f.store), f.index})
			f.staleStates = f.staleStates[max(0, len(f.staleStates)-3):]
		}
	case 2, 3:
		f.poll(p, false)
	case 4:
		f.requestParts(p, false)
	case 5:
		f.now += 5 * time.Second
	case 6: // an answer is lost; a lost answer to a request for parts is reported as RequestFailed
		if len(p.answers) > 0 && p.requestsInFlight == 0 {
			p.answers = p.answers[1:]
		} else if p.requestsInFlight > 0 && f.rng.IntN(3) == 0 {
			p.answers, p.requestsInFlight = nil, 0
			p.replica.RequestFailed()
		}
	default: // an answer is delivered, and may be delivered again
		if len(p.answers) == 0 {
			return
		}
		i := f.rng.IntN(len(p.answers))
		answer := p.answers[i]
		if f.rng.IntN(5) > 0 {
			p.answers = slices.Delete(p.answers, i, i+1)
		}
		answer()
	}
}

// settle delivers all answers in order until every process acts on the active version. It returns false after that many rounds.
func (f *testFleet) settle(rounds int) bool {
	for range rounds {
		settled := true
		for _, p := range f.processes {
			f.now += time.Second
			f.poll(p, true)
			f.requestParts(p, true)
			for len(p.answers) > 0 {
				answer := p.answers[0]
				p.answers = p.answers[1:]
				answer()
			}
			active := f.store.Documents[docInParts].Active
			settled = settled && (active == nil || p.activeID == active.ID && p.replica.ConfirmedUntil() > f.now)
		}
		if settled {
			return true
		}
	}
	return false
}

// Answers are lost, duplicated, delayed, reordered, corrupted, or sent by a former leader. A process must never act on a mix of versions,
// report a mix as prepared, or go back to an older version, and all processes must reach the active version once answers arrive in order.
// Without one of the guards the test must fail. Parts that changed since another version are also detected by the digest over all parts,
// so SinceCheck alone can be disabled.
func TestNeverAMix(t *testing.T) {
	for _, c := range []struct {
		name        string
		disabled    DisabledGuards
		wantFailure bool
	}{
		{"all guards", DisabledGuards{}, false},
		{"no digest check of all parts", DisabledGuards{SumCheck: true}, true},
		{"no digest check of a text", DisabledGuards{TextCheck: true}, true},
		{"no index check", DisabledGuards{IndexCheck: true}, true},
		{"no base version check", DisabledGuards{SinceCheck: true}, false},
		{"no base version check, no digest check of all parts", DisabledGuards{SinceCheck: true, SumCheck: true}, true},
	} {
		failure, highestVersion, mismatches, activeVersions := "", 0, 0, 0
		for seed := range uint64(150) {
			f := newTestFleet(seed, 3, c.disabled)
			for range 300 {
				f.step()
			}
			for _, p := range f.processes {
				for _, mismatch := range p.replica.TakeMismatches() {
					mismatches += mismatch.Count
				}
			}
			if active := f.store.Documents[docInParts].Active; active != nil {
				highestVersion = max(highestVersion, active.ID.Version)
			}
			if f.failure == "" && !c.wantFailure && !f.settle(100) {
				f.fail("processes did not reach the active version: %d, want %v", f.processes[0].activeID.Version, f.store.Documents[docInParts].Active.ID)
			}
			if f.failure != "" {
				failure = fmt.Sprint("seed ", seed, " ", f.failure)
				break
			}
			for _, p := range f.processes {
				activeVersions += p.activeID.Version
			}
		}
		if (failure != "") != c.wantFailure {
			t.Errorf("%s: failure %q", c.name, failure)
		}
		if !c.wantFailure && (highestVersion < 5 || mismatches < 100 || activeVersions == 0) {
			t.Errorf("%s: too few events to test anything: %d versions activated, %d mismatches", c.name, highestVersion, mismatches)
		}
	}
}

// With digest checks disabled, a wrong Since leads to a mix of versions. This constructs the case with two versions in between.
func TestSinceAnotherVersion(t *testing.T) {
	for _, disabled := range []DisabledGuards{{}, {SinceCheck: true, SumCheck: true}} {
		f := newTestFleet(1, 1, disabled)
		p := f.processes[0]
		activate := func(parts, texts map[string]string) {
			if !f.apply(Change{Op: OpPropose, Doc: docInParts, Version: f.store.Documents[docInParts].Active.ID.Version, Parts: parts, Digest: TextsDigest(texts)}) {
				t.Fatal("proposal was rejected")
			}
			doc := f.store.Documents[docInParts]
			f.textsByID[doc.Proposed.ID] = texts
			f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: doc.Proposed.ID.Version, Stage: StageProposed})
		}
		doc := f.store.Documents[docInParts]
		f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 1, Stage: StageProposed})
		f.settle(10)
		texts := textsOf(doc.Active.Parts)
		for i := range 2 {
			texts = maps.Clone(texts)
			name := fmt.Sprint("new", i)
			texts[name] = "x"
			activate(map[string]string{name: "x"}, texts)
		}
		view := wireCopy(doc.ViewFor(&Process{Formats: map[string]int{docInParts: 2}}, nil, 2)) // changes since 2, sent to a process that has 1
		if view.Since != 2 || len(view.Active.Parts) != 1 {
			t.Fatalf("view %+v, want the changes since version 2, with 1 part", view)
		}
		f.applyUpdates(p, p.replica.Receive(f.now, f.index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: view}, func(string, string) error { return nil }))
		if failed := f.failure != ""; failed != disabled.SinceCheck {
			t.Errorf("%+v: %q", disabled, f.failure)
		}
		if !disabled.SinceCheck && (p.activeID.Version != 1 || p.replica.TakeMismatches()[docInParts].Count == 0 || p.replica.OutdatedVersions()[docInParts] != 1 || !f.settle(10)) {
			t.Errorf("mismatch not detected or not recovered from, acts on %v", p.activeID)
		}
	}
}

// 1000 processes that start at once spread their first requests for parts: each tenth of the interval gets at most 125 requests, 25%
// more than in an even spread. After failures the delay between requests grows up to 32 seconds. After an answer with a part that the
// process needs, it sends the next request at once.
func TestRequestsArePaced(t *testing.T) {
	for _, disabled := range []DisabledGuards{{}, {Pacing: true}} {
		f := newTestFleet(3, 1000, disabled)
		f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 1, Stage: StageProposed})
		large := map[string]string{}
		for i := range 8 {
			large[fmt.Sprint("large", i)] = strings.Repeat("z", MaxPartSize/3)
		}
		doc := f.store.Documents[docInParts]
		texts := textsOf(doc.Active.Parts)
		maps.Copy(texts, large)
		f.apply(Change{Op: OpLoadDraft, Doc: docInParts, Draft: "x", Parts: large})
		if !f.apply(Change{Op: OpPropose, Doc: docInParts, Version: 1, Draft: "x", Digest: TextsDigest(texts)}) ||
			!f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 2, Stage: StageProposed}) {
			t.Fatal("proposal was rejected")
		}
		const tenth = initialBackoff / 10
		var requests [10]int
		for _, p := range f.processes {
			f.poll(p, true)
			p.answers[0]()
			if p.replica.ConfirmedUntil() != 0 || p.replica.StopReason(0) != StopUnconfirmed {
				t.Fatal("process is confirmed without the active version")
			}
			for now := time.Duration(0); ; now += time.Millisecond {
				if _, at, ok := p.replica.NextRequest(now); ok {
					requests[min(9, now/tenth)]++
					break
				} else if at == 0 {
					t.Fatal("process has no request to send")
				}
			}
		}
		busiest := slices.Max(requests[:])
		if isSpread := busiest < 125; isSpread == disabled.Pacing {
			t.Errorf("%+v: requests per tenth of the interval: %v", disabled, requests)
		}
		if disabled.Pacing {
			continue
		}
		p, now := f.processes[0], initialBackoff
		var pauses []time.Duration
		for range 12 {
			p.replica.RequestFailed()
			start := now
			for {
				if _, at, ok := p.replica.NextRequest(now); ok {
					break
				} else if at <= now {
					t.Fatal("NextRequest returned no later time")
				} else {
					now = at
				}
			}
			pauses = append(pauses, now-start)
		}
		if sum := func(pauses []time.Duration) (total time.Duration) {
			for _, pause := range pauses {
				total += pause
			}
			return total
		}; sum(pauses[6:]) < 2*sum(pauses[:3]) || slices.Max(pauses) > initialBackoff<<maxDoublings {
			t.Errorf("pauses after failures: %v", pauses)
		}
		id, parts, _ := doc.PartsAt(2)
		request, _ := p.replica.nextMissing()
		p.replica.ReceiveParts(now, request, id, Manifest(parts), nil)
		if _, _, ok := p.replica.NextRequest(now); !ok {
			t.Error("process waits after a useful answer")
		}
	}
}

// An exclusive change pauses only what it affects: a class whose effect changes, or the tenants of a cell that is added or removed. Any
// other exclusive change pauses everything.
func TestScopeOf(t *testing.T) {
	for _, c := range []struct {
		doc, before, after string
		want               []string
	}{
		{DocClasses, `{"classes":[{"name":"a","effect":"safe"},{"name":"b","effect":"safe"}]}`, `{"classes":[{"name":"a","effect":"keyed"},{"name":"b","effect":"safe","worth":2}]}`, []string{"class:a"}},
		{DocClasses, `{"classes":[{"name":"a","effect":"safe"}]}`, `{"classes":[{"name":"b","effect":"safe"}]}`, []string{"class:a", "class:b"}},
		{DocClasses, `{"classes":[{"name":"a"}]}`, `{"classes":[{"name":"a","new":1}]}`, nil}, // unknown field
		{DocMap, `{"cells":[{"name":"x"}]}`, `{"cells":[{"name":"x"},{"name":"y"}]}`, []string{"cell:y"}},
		{DocMap, `{"cells":[{"name":"x"}]}`, `{"cells":[{"name":"x"},{"name":"y]"}]}`, nil}, // the path can't be parsed, so its kind is unknown
		{DocMap, `{"cells":[{"name":"x"}]}`, `{"cells":[{"name":"y"}],"skew_ms":5}`, nil},
		{DocMap, `{"version":1}`, `{"version":2}`, nil},
	} {
		list, err := Diff(c.doc, c.before, c.after)
		if got := ScopeOf(c.doc, list); err != nil || !slices.Equal(got, c.want) {
			t.Errorf("%s: scope %v, want %v, error %v", c.after, got, c.want, err)
		}
	}
	homes := func(cells ...string) string {
		s := ""
		for _, c := range cells {
			s += fmt.Sprintf(`,{"cell":%q}`, c)
		}
		return "[" + strings.TrimPrefix(s, ",") + "]"
	}
	before := `{"tenants":[{"name":"inside","homes":` + homes("x") + `},{"name":"former","homes":` + homes("x", "z") + `},{"name":"outside","homes":` + homes("z") + `}]}`
	after := `{"tenants":[{"name":"new","homes":` + homes("z", "x") + `}]}`
	var scope PauseScope
	scope.Add([]string{"cell:x"}, []string{before, after})
	scope.Add([]string{"class:k"}, nil)
	for tenant, paused := range map[string]bool{"inside": true, "former": true, "outside": false, "new": true, "unlisted": false} {
		if scope.Pauses("c", tenant) != paused || !scope.Pauses("k", tenant) {
			t.Errorf("tenant %s: paused %v", tenant, scope.Pauses("c", tenant))
		}
	}
	var unnamed PauseScope
	unnamed.Add([]string{"cell:x"}, []string{`{"tenants":[{"name":"","homes":` + homes("x") + `},{"name":"outside","homes":` + homes("z") + `}]}`})
	if !unnamed.Pauses("c", "unlisted") || unnamed.Pauses("c", "outside") {
		t.Error("tenants that the map does not name are in the cell and must pause, others must not")
	}
	var unknown PauseScope
	unknown.Add([]string{"cell:x"}, []string{"not JSON"})
	if !unknown.Pauses("c", "outside") {
		t.Error("tenants of the cell are unknown, but requests do not pause")
	}
	var everything PauseScope
	if everything.Add(nil, nil); !everything.Pauses("c", "outside") {
		t.Error("an empty scope does not pause everything")
	}
}

// A process pauses what a change affects from the start of quiescing until it acts on the new version: the tenants of a cell according to
// the old parts and to the new ones.
func TestReplicaPauseScopes(t *testing.T) {
	f := newTestFleet(1, 1, DisabledGuards{})
	doc := f.store.Documents[docInParts]
	version := 1
	f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: version, Stage: StageProposed})
	texts := textsOf(doc.Active.Parts)
	activate := func(exclusive bool, scope []string, parts map[string]string) {
		t.Helper()
		texts = maps.Clone(texts)
		maps.Copy(texts, parts)
		proposal := Change{Op: OpPropose, Doc: docInParts, Version: version, Exclusive: exclusive, Scope: scope, Parts: parts, Digest: TextsDigest(texts)}
		version++
		if !f.apply(proposal) || !f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: version, Stage: StageProposed}) {
			t.Fatal("proposal was rejected")
		}
		f.textsByID[ID{version, proposal.Digest}] = texts
	}
	first := map[string]string{"t": `{"tenants":[{"name":"former","homes":[{"cell":"x"}]},{"name":"outside","homes":[{"cell":"z"}]}]}`}
	for name := range texts {
		first[name] = `{}`
	}
	activate(false, nil, first)
	f.settle(5)
	activate(true, []string{"cell:x"}, map[string]string{"u": `{"tenants":[{"name":"inside","homes":[{"cell":"x"}]}]}`})
	f.settle(5)
	p := f.processes[0]
	scopes := p.replica.PauseScopes()
	if !p.replica.IsQuiesced() || len(scopes) != 1 || p.activeID.Version != 2 {
		t.Fatalf("%d scopes, acts on %v", len(scopes), p.activeID)
	}
	for tenant, paused := range map[string]bool{"former": true, "inside": true, "outside": false} {
		if scopes[0].Pauses("c", tenant) != paused {
			t.Errorf("tenant %s: paused %v", tenant, !paused)
		}
	}
	f.poll(p, true)
	p.answers[0]()
	if p.replica.PauseScopes()[0] != scopes[0] {
		t.Error("the scope is computed again at each answer")
	}
	f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: version, Stage: StageQuiescing})
	f.settle(5)
	if p.replica.IsQuiesced() || len(p.replica.PauseScopes()) != 0 || p.activeID.Version != 3 || f.failure != "" {
		t.Error("process still pauses, or has a failure; acts on", p.activeID, f.failure)
	}
}

// Without a change the size of an answer does not depend on the document's size. With a change it depends on the changed parts only.
func TestAnswersAtRest(t *testing.T) {
	size := func(parts int, changed bool) int {
		store := NewStore()
		texts := map[string]string{}
		for i := range parts {
			texts[fmt.Sprintf("p%03d", i)] = fmt.Sprintf(`{"n":%d,"x":%q}`, i, strings.Repeat("x", 60))
		}
		apply := func(c Change) {
			if _, err := store.Apply(c); err != nil {
				t.Fatal(err)
			}
		}
		apply(Change{Op: OpPropose, Doc: "d", Parts: texts, Digest: TextsDigest(texts)})
		apply(Change{Op: OpAdvance, Doc: "d", Version: 1, Stage: StageProposed})
		d := store.Documents["d"]
		known, base := []int{1}, 1
		if changed {
			texts["p000"] = `{"n":0}`
			apply(Change{Op: OpPropose, Doc: "d", Version: 1, Parts: map[string]string{"p000": texts["p000"]}, Digest: TextsDigest(texts)})
			apply(Change{Op: OpAdvance, Doc: "d", Version: 2, Stage: StageProposed})
		}
		encoded, err := json.Marshal(d.ViewFor(&Process{Formats: map[string]int{"d": 2}}, known, base))
		if err != nil {
			t.Fatal(err)
		}
		return len(encoded)
	}
	for _, changed := range []bool{false, true} {
		if small, large := size(10, changed), size(1000, changed); large-small > 4 || small-large > 4 {
			t.Errorf("answer has %d bytes for 10 parts, %d for 1000, changed %v", small, large, changed)
		}
	}
}

// A process that lacks texts of a change that quiesces does not know the tenants of an affected cell. It pauses everything until it
// has them.
func TestScopeOfMissingParts(t *testing.T) {
	f := newTestFleet(1, 1, DisabledGuards{})
	f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 1, Stage: StageProposed})
	f.settle(5)
	p, doc := f.processes[0], f.store.Documents[docInParts]
	texts := textsOf(doc.Active.Parts)
	changed := map[string]string{"t": `{"tenants":[{"name":"inside","homes":[{"cell":"x"}]},{"name":"outside","homes":[{"cell":"z"}]}]}`}
	for name := range texts {
		changed[name] = `{}` // replaces a text that is not JSON
	}
	maps.Copy(texts, changed)
	if !f.apply(Change{Op: OpPropose, Doc: docInParts, Version: 1, Parts: changed, Digest: TextsDigest(texts)}) || !f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 2, Stage: StageProposed}) {
		t.Fatal("proposal was rejected")
	}
	f.textsByID[doc.Active.ID] = texts
	f.settle(5)
	changed = map[string]string{"u": `{"tenants":[{"name":"new","homes":[{"cell":"x"}]}]}`}
	texts = maps.Clone(texts)
	maps.Copy(texts, changed)
	if !f.apply(Change{Op: OpPropose, Doc: docInParts, Version: 2, Exclusive: true, Scope: []string{"cell:x"}, Parts: changed, Digest: TextsDigest(texts)}) ||
		!f.apply(Change{Op: OpAdvance, Doc: docInParts, Version: 3, Stage: StageProposed}) {
		t.Fatal("proposal was rejected")
	}
	view := wireCopy(doc.ViewFor(&Process{Formats: map[string]int{docInParts: 2}}, p.replica.KnownVersions()[docInParts], p.replica.CompleteVersions()[docInParts]))
	parts := view.Proposed.Parts
	view.Proposed.Parts = Manifest(parts)
	f.applyUpdates(p, p.replica.Receive(f.now, f.index, lease.Terms{TTL: time.Second}, map[string]View{docInParts: view}, func(string, string) error { return nil }))
	for _, tenant := range []string{"inside", "new", "outside"} {
		if !p.replica.PauseScopes()[0].Pauses("c", tenant) {
			t.Errorf("tenant %s does not pause while texts of the change are missing", tenant)
		}
	}
	f.applyUpdates(p, p.replica.ReceiveParts(f.now, PartsRequest{Doc: docInParts, Version: 3, Names: []string{"u"}}, view.Proposed.ID, parts, func(string, string) error { return nil }))
	for tenant, paused := range map[string]bool{"inside": true, "new": true, "outside": false} {
		if p.replica.PauseScopes()[0].Pauses("c", tenant) != paused {
			t.Errorf("tenant %s: paused %v", tenant, !paused)
		}
	}
}
