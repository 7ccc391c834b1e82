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

// simulation is a group that never fails, with processes that act on one document. Answers may be delayed, reordered or lost, and a process
// may be cut off. Times are in ticks.
type simulation struct {
	store     *Store
	monitor   *ProcessMonitor
	index     uint64
	processes []*simProcess
	now       time.Duration
	failure   string
	disabled  guards
}

// guards selects guards that are disabled.
type guards struct {
	noLease      bool // a process continues without confirmation
	noExpiryWait bool // the leader expires silent processes too early
	noQuiesce    bool // processes do not stop before the new version begins
	noIndexCheck bool // an answer from an older index is accepted
}

type simProcess struct {
	replica      *Replica
	clockRate    float64 // ratio to the leader's clock
	answers      []delayedAnswer
	activeDigest uint64 // digest of the text that the process acts on
	goodput      Goodput
}

type delayedAnswer struct {
	requestedAt time.Duration
	index       uint64
	docs        map[string]View
}

var simTerms = lease.Terms{TTL: 12, Drift: 0.05}

func newSimulation(n int, disabled guards) *simulation {
	s := &simulation{store: NewStore(), monitor: NewProcessMonitor(simTerms), disabled: disabled}
	s.monitor.StartLeading(0)
	for i := range n {
		s.processes = append(s.processes, &simProcess{replica: NewReplica(fmt.Sprint("p", i), map[string]int{"d": 1}), clockRate: []float64{0.95, 1.05, 1}[i%3]})
	}
	_ = s.apply(Change{Op: OpPropose, Doc: "d", Text: "old", Author: "t"})
	for _, p := range s.processes {
		s.poll(p)
	}
	for range 6 {
		s.runMonitor()
		for _, p := range s.processes {
			s.deliver(p, 0)
			s.poll(p)
		}
	}
	for _, p := range s.processes {
		p.answers = nil
	}
	return s
}

// apply applies a change. Callers may ignore the error: a random action is often rejected, and tests check the resulting store.
func (s *simulation) apply(c Change) error {
	s.index++
	_, err := s.store.Apply(c)
	return err
}

func (s *simulation) runMonitor() {
	for _, change := range s.monitor.Proposals(s.store, s.now) {
		_ = s.apply(change)
		if change.Op == OpExpire {
			s.monitor.Unregistered(change.Author)
		}
	}
	if s.disabled.noExpiryWait {
		if doc := s.store.Documents["d"]; doc.Proposed != nil {
			for name, process := range s.store.Processes {
				if report := s.monitor.reports[name]; report != nil && s.now-report.ReceivedAt > 2 && process.Quiesced["d"] != doc.Proposed.ID.Version {
					_ = s.apply(Change{Op: OpExpire, Author: name})
				}
			}
		}
	}
}

func (p *simProcess) localTime(now time.Duration) time.Duration {
	return time.Duration(float64(now) * p.clockRate)
}

// poll sends a process's report to the group and queues the answer.
func (s *simulation) poll(p *simProcess) {
	report := p.replica.Report()
	if !s.monitor.Observe(p.replica.Name, s.now, p.replica.ActiveVersions(), p.goodput, "") {
		return
	}
	if s.store.NeedsRecording(report) {
		op := OpReport
		if s.store.Processes[p.replica.Name] == nil {
			op = OpRegister
		}
		_ = s.apply(Change{Op: op, Process: &report})
	}
	doc := s.store.Documents["d"]
	view := View{Active: doc.Active, Proposed: doc.Proposed, Stage: doc.Stage}
	p.answers = append(p.answers, delayedAnswer{p.localTime(s.now), s.index, map[string]View{"d": view}})
}

// deliver delivers one of the queued answers.
func (s *simulation) deliver(p *simProcess, i int) {
	if i < 0 || i >= len(p.answers) {
		return
	}
	received := p.answers[i]
	p.answers = slices.Delete(slices.Clone(p.answers), i, i+1)
	index := received.index
	if s.disabled.noIndexCheck {
		index = 1 << 40
	}
	for _, update := range p.replica.Receive(received.requestedAt, index, simTerms, received.docs, func(string, string) error { return nil }) {
		p.activeDigest = update.Revision.ID.Digest
	}
}

// checkExclusion records a failure if two processes may begin work under different versions now.
func (s *simulation) checkExclusion() {
	var activeDigest uint64
	for _, p := range s.processes {
		reason := p.replica.StopReason(p.localTime(s.now))
		if reason == StopUnconfirmed && s.disabled.noLease || reason == StopQuiescing && s.disabled.noQuiesce {
			reason = ""
		}
		if reason != "" || p.activeDigest == 0 {
			continue
		}
		if activeDigest != 0 && activeDigest != p.activeDigest && s.failure == "" {
			s.failure = fmt.Sprintf("two versions at tick %d", s.now)
		}
		activeDigest = p.activeDigest
	}
}

// step does the action with this number.
func (s *simulation) step(action int) {
	p := s.processes[action%len(s.processes)]
	switch action / len(s.processes) {
	case 0:
		s.poll(p)
	case 1:
		s.deliver(p, 0)
	case 2:
		s.deliver(p, len(p.answers)-1)
	case 3:
		s.now += []time.Duration{1, 3, 6}[action%3]
	case 4:
		s.runMonitor()
	case 5:
		if doc := s.store.Documents["d"]; doc.Proposed == nil {
			text := "new"
			if doc.Active != nil && doc.Active.Text == "new" {
				text = "old"
			}
			_ = s.apply(Change{Op: OpPropose, Doc: "d", Version: doc.Active.ID.Version, Text: text, Exclusive: true, AllowRejected: true, Author: "t"})
		} else if action%2 == 0 {
			_ = s.apply(Change{Op: OpWithdraw, Doc: "d", Version: doc.Proposed.ID.Version})
		}
	}
	s.checkExclusion()
}

const actionKinds = 6

// Answers are lost, delayed or reordered, and clocks differ by the maximum drift. No two processes may begin work under versions that
// exclude each other. With any one guard disabled, the test must find a failure.
func TestNeverTwoAtOnce(t *testing.T) {
	for _, c := range []struct {
		name        string
		disabled    guards
		wantFailure bool
	}{
		{"all guards", guards{}, false},
		{"no lease check", guards{noLease: true}, true},
		{"no wait before expiry", guards{noExpiryWait: true}, true},
		{"no quiescing", guards{noQuiesce: true}, true},
		{"no index check", guards{noIndexCheck: true}, true},
	} {
		failure, highestVersion := "", 0
		for seed := range uint64(4000) {
			sim := newSimulation(3, c.disabled)
			rng := rand.New(rand.NewPCG(seed, 19))
			for range 200 {
				sim.step(rng.IntN(actionKinds * 3))
			}
			highestVersion = max(highestVersion, sim.store.Documents["d"].Active.ID.Version)
			if sim.failure != "" {
				failure = fmt.Sprint("seed ", seed, " ", sim.failure)
				break
			}
		}
		if (failure != "") != c.wantFailure {
			t.Errorf("%s: failure %q", c.name, failure)
		}
		if highestVersion < 2 {
			t.Errorf("%s: no change became active", c.name)
		}
	}
}

// All orders of actions up to a length, starting when one of two processes has quiesced for a change. The other one has yet to receive the
// change, or is cut off.
func TestAllOrdersOfQuiescing(t *testing.T) {
	for _, c := range []struct {
		name        string
		disabled    guards
		wantFailure bool
	}{
		{"all guards", guards{}, false}, {"no lease check", guards{noLease: true}, true},
		{"no wait before expiry", guards{noExpiryWait: true}, true}, {"no quiescing", guards{noQuiesce: true}, true},
	} {
		const length = 6
		failure, paths := "", 0
		replay := func(path []int) *simulation {
			sim := newSimulation(2, c.disabled)
			_ = sim.apply(Change{Op: OpPropose, Doc: "d", Version: 1, Text: "new", Exclusive: true, Author: "t"})
			for _, p := range sim.processes {
				sim.poll(p)
				sim.deliver(p, 0)
				sim.poll(p)
				sim.deliver(p, 0)
			}
			sim.now += 3
			sim.runMonitor()
			for range 2 { // the first process has quiesced and reported it
				sim.poll(sim.processes[0])
				sim.deliver(sim.processes[0], 0)
			}
			for _, n := range path {
				if n == 6 {
					sim.now += 13 // step adds 1: in total longer than a lease and the leader's wait
				}
				sim.step(n)
			}
			return sim
		}
		var explore func(path []int)
		explore = func(path []int) {
			if failure != "" {
				return
			}
			paths++
			if sim := replay(path); sim.failure != "" {
				failure = fmt.Sprint(path, " ", sim.failure)
				return
			}
			if len(path) == length {
				return
			}
			for _, n := range []int{0, 1, 4, 3, 6, 8} { // poll and delivery of each process, time, monitor
				explore(append(slices.Clone(path), n))
			}
		}
		explore(nil)
		if (failure != "") != c.wantFailure {
			t.Errorf("%s: failure %q after %d orders", c.name, failure, paths)
		}
	}
}

func newProposal(version int, text string) Change {
	return Change{Op: OpPropose, Doc: "d", Version: version, Text: text, Author: "t"}
}

// A store rejects changes that are stale, concurrent, unchanged, rejected before, too large or not ready. Other changes pass all stages.
func TestStore(t *testing.T) {
	store := NewStore()
	mustApply := func(change Change) {
		t.Helper()
		if _, err := store.Apply(change); err != nil {
			t.Fatalf("%+v: unexpected error %v", change, err)
		}
	}
	wantError := func(change Change, want error, text string) {
		t.Helper()
		if _, err := store.Apply(change); err == nil || want != nil && !errors.Is(err, want) || !strings.Contains(fmt.Sprint(err), text) {
			t.Errorf("%+v: error %v, want %v with text %q", change, err, want, text)
		}
	}
	advance := func(version int, stage Stage) Change {
		return Change{Op: OpAdvance, Doc: "d", Version: version, Stage: stage, At: 1}
	}
	register := func(name string, format int) {
		mustApply(Change{Op: OpRegister, Process: &Process{Name: name, Formats: map[string]int{"d": format}}})
	}
	report := func(name string, prepared, quiesced int) {
		mustApply(Change{Op: OpReport, Process: &Process{Name: name, Prepared: map[string]int{"d": prepared}, Quiesced: map[string]int{"d": quiesced}}})
	}
	register("a", 1)
	register("b", 1)
	wantError(newProposal(1, "one"), ErrStaleBase, "0 of d, not 1")
	mustApply(newProposal(0, "one"))
	wantError(newProposal(0, "two"), ErrChangePending, "version 1 of d is proposed")
	wantError(advance(1, StageProposed), ErrNotReady, "a does not hold it yet")
	report("a", 1, 0)
	report("b", 1, 0)
	wantError(advance(1, StageQuiescing), ErrNoSuchChange, "")
	mustApply(advance(1, StageProposed))
	wantError(newProposal(1, "one"), nil, "says the same")
	exclusive := newProposal(1, "two")
	exclusive.Exclusive = true
	mustApply(exclusive)
	report("a", 1, 2) // prepared another version, and reports quiescing before the stage
	report("b", 2, 2)
	wantError(advance(2, StageProposed), ErrNotReady, "a does not hold it yet")
	report("a", 2, 2)
	mustApply(advance(2, StageProposed))
	if doc := store.Documents["d"]; doc.Stage != StageQuiescing || doc.Active.Text != "one" {
		t.Fatalf("%+v", doc)
	}
	wantError(advance(2, StageQuiescing), ErrNotReady, "a has not stopped yet")
	report("a", 2, 2)
	report("b", 2, 2)
	register("late", 1) // acts on no document, and must quiesce as well
	wantError(advance(2, StageQuiescing), ErrNotReady, "late has not stopped yet")
	mustApply(Change{Op: OpExpire, Author: "late"})
	mustApply(Change{Op: OpHold, Doc: "d", Version: 2, Reason: "noon"})
	wantError(advance(2, StageQuiescing), ErrNotReady, "held: noon")
	mustApply(Change{Op: OpRelease, Doc: "d", Version: 2})
	mustApply(advance(2, StageQuiescing))
	wantError(Change{Op: OpWithdraw, Doc: "d", Version: 2}, ErrNoSuchChange, "not under way")
	mustApply(Change{Op: OpRevert, Doc: "d", Version: 2, Reason: "worse"})
	if doc := store.Documents["d"]; doc.Proposed.Text != "one" || doc.Proposed.ID.Version != 3 || !doc.Proposed.Exclusive || doc.Proposed.RevertsTo != 1 {
		t.Errorf("%+v", doc.Proposed)
	}
	mustApply(Change{Op: OpWithdraw, Doc: "d", Version: 3})
	if doc := store.Documents["d"]; doc.Active.Outcome != "" || doc.Proposed != nil {
		t.Errorf("%+v", doc.Active)
	}
	mustApply(Change{Op: OpRevert, Doc: "d", Version: 2})
	report("a", 4, 0)
	report("b", 4, 0)
	mustApply(advance(4, StageProposed))
	report("a", 4, 4)
	report("b", 4, 4)
	mustApply(advance(4, StageQuiescing))
	wantError(newProposal(4, "two"), ErrRejectedBefore, "")
	proposal := newProposal(4, "two")
	proposal.AllowRejected = true
	mustApply(proposal)
	mustApply(Change{Op: OpWithdraw, Doc: "d", Version: 5})
	// Two builds side by side: a process that does not read a format is not offered it, and the change waits for the process.
	newerFormat := newProposal(4, "three")
	newerFormat.Format = 2
	mustApply(newerFormat)
	register("a", 2)
	report("a", 6, 0)
	wantError(advance(6, StageProposed), ErrNotReady, "b reads format 1, and this is 2")
	if doc := store.Documents["d"]; doc.IsOfferedTo(store.Processes["b"]) || !doc.IsOfferedTo(store.Processes["a"]) {
		t.Error("offered to a process that can't read it, or not to one that can")
	}
	register("b", 2)
	report("b", 6, 0)
	mustApply(advance(6, StageProposed))
	for n := range 40 { // the history is bounded
		doc := store.Documents["d"]
		mustApply(newProposal(doc.Active.ID.Version, fmt.Sprint("text", n)))
		report("a", doc.HighestVersion, 0)
		report("b", doc.HighestVersion, 0)
		mustApply(advance(doc.HighestVersion, StageProposed))
	}
	if doc := store.Documents["d"]; len(doc.History) != maxHistory || doc.Revision(doc.HighestVersion) != doc.Active || doc.Revision(1) != nil {
		t.Errorf("%d versions in the history, or a wrong revision", len(doc.History))
	}
	wantError(newProposal(store.Documents["d"].Active.ID.Version, strings.Repeat("x", maxTextSize+1)), nil, "bytes")
}

// A change with a rollout acts at canaries first, and is withdrawn if goodput is lower there. A change that lowers goodput once it is
// active is reverted within its observation time; a good one stays. Reverted contents are accepted again only with AllowRejected.
func TestRolloutIsObserved(t *testing.T) {
	for _, c := range []struct {
		name                       string
		canaryRatio                float64
		canaryServed, activeServed float64 // ratio of load served under the change: at canaries, and once it is active
		text, outcome, wantErr     string
	}{
		{"good", 0.25, 1, 1, "new", "", ""},
		{"worse at canaries", 0.25, 0.5, 0.5, "old", "withdrawn: 5", "made things worse"},
		{"worse once active", 0.25, 1, 0.6, "old", "taken back: 6", "made things worse"},
		{"worse without canaries", 0, 1, 0.6, "old", "taken back: 6", "made things worse"},
		{"slightly worse", 0.25, 0.98, 0.98, "new", "", ""},
	} {
		sim := newSimulation(8, guards{})
		sim.monitor.terms, simTerms.TTL = lease.Terms{TTL: 300 * time.Millisecond}, 300*time.Millisecond
		var proposedAt, revertedAfter time.Duration
		for n := 0; n < 600; n++ {
			sim.now += 20 * time.Millisecond
			for _, p := range sim.processes {
				d, served := sim.store.Documents["d"], 1.0
				if p.activeDigest == NewID(1, []byte("new")).Digest {
					if served = c.canaryServed; d.Active.Text == "new" {
						served = c.activeServed
					}
				}
				p.goodput.Offered += 2
				p.goodput.Served += 2 * served
				sim.poll(p)
				sim.deliver(p, 0)
			}
			sim.runMonitor()
			if n == 100 {
				proposedAt = sim.now
				_ = sim.apply(Change{Op: OpPropose, Doc: "d", Version: 1, Text: "new", Author: "t", Rollout: &RolloutPolicy{CanaryRatio: c.canaryRatio, ObserveMS: 2000, MaxLoss: 0.05}})
			}
			if n == 110 && c.canaryRatio > 0 {
				if d := sim.store.Documents["d"]; d.Stage != StageCanary || len(d.Proposed.Canaries) != 2 {
					t.Errorf("%s: no canary stage with two canaries: %+v", c.name, d)
				}
			}
			if d := sim.store.Documents["d"]; n > 100 && revertedAfter == 0 && d.Proposed == nil && d.Active.Text == "old" {
				revertedAfter = sim.now - proposedAt
			}
		}
		simTerms.TTL = 12
		d := sim.store.Documents["d"]
		outcome := ""
		for _, revision := range d.History {
			if revision.Text == "new" {
				outcome = revision.Outcome
			}
		}
		if d.Active.Text != c.text || !strings.HasPrefix(outcome, c.outcome) || d.Proposed != nil {
			t.Errorf("%s: active %q, outcome %q", c.name, d.Active.Text, outcome)
		}
		if c.text == "old" && revertedAfter > 4*time.Second {
			t.Errorf("%s: reverted after %v", c.name, revertedAfter)
		}
		if _, err := sim.store.Apply(newProposal(d.Active.ID.Version, "new")); c.wantErr != "" && !strings.Contains(fmt.Sprint(err), c.wantErr) {
			t.Errorf("%s: same contents proposed again: error %v", c.name, err)
		}
	}
}

// Differences have paths with element names, and a kind each.
func TestDiff(t *testing.T) {
	old := `{"version":1,"tenants":[{"name":"a","rate":1,"homes":[{"cell":"x"}]},{"name":"b","rate":2}]}`
	text := `{"version":2,"tenants":[{"name":"b","rate":3},{"name":"a","rate":1,"homes":[{"cell":"x"},{"cell":"y","from_ms":5}]}]}`
	list, err := Diff(DocMap, old, text)
	formatted := ""
	for _, d := range list {
		formatted += fmt.Sprintf("%s %s>%s %s; ", d.Path, d.Old, d.New, d.Kind)
	}
	if err != nil || formatted != `tenants[a].homes[1].cell >"y" announced; tenants[a].homes[1].from_ms >5 announced; tenants[b].rate 2>3 shared; version 1>2 free; ` {
		t.Errorf("differences %s, error %v", formatted, err)
	}
	if HasExclusive(list) || FirstDependent(list) != "tenants[a].homes[1].cell" {
		t.Error("a tenant's move counts as exclusive, or the first dependent field is wrong")
	}
	for text, exclusive := range map[string]bool{`{"classes":[{"name":"a","effect":"token"}]}`: true, `{"classes":[{"name":"a","worth":1}]}`: true,
		`{"format":2}`: false, `{"new":2}`: true} {
		list, err := Diff(DocClasses, "", text)
		if err != nil || HasExclusive(list) != exclusive {
			t.Errorf("%s: differences %+v, error %v", text, list, err)
		}
	}
	if _, err := Diff(DocMap, "{", "{}"); err == nil {
		t.Error("an incomplete text was accepted")
	}
	for _, c := range []struct{ old, next, now, until time.Duration }{{5, 7, 7, 0}, {7, 5, 7, 9}, {5, 5, 5, 0}} {
		if now, until := TransitionWindow(c.old, c.next, 2); now != c.now || until != c.until {
			t.Errorf("%+v: window %v, until %v", c, now, until)
		}
	}
}
