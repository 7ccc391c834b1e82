package recovery

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A request would run twice if work began later than the restarted process assumes. A process writes heartbeats to a disk that stalls and
// fails, begins work while MayExecute allows it, and dies. The machine then stays on or reboots, or the disk is moved to another machine.
// Work must never have begun later than Downtime assumes. The second check shows that the simulation finds violations without the rule
// that the latest durable heartbeat must be valid.
func TestNothingRunsLaterThanARestartAssumes(t *testing.T) {
	const day = 24 * time.Hour
	simulate := func(t *rapid.T, requireValid bool) (late time.Duration) {
		terms := LeaseTerms{Interval: 250 * time.Millisecond, Validity: time.Second}
		// Durations are drawn uniformly: rapid prefers short durations, which find no violation.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		randomDuration := func(limit time.Duration) time.Duration { return 1 + time.Duration(rng.Int64N(int64(limit))) }
		uptime := randomDuration(day) // of the machine when the process starts; the simulated time is counted from the same boot
		lease, now, lastBegan := NewHeartbeatLease(terms), uptime, time.Duration(-1)
		var durable Heartbeat
		var writeEnds time.Duration // end of the write in progress
		writing, writeFails := false, false
		for range 1 + rng.IntN(60) {
			if writing && now >= writeEnds {
				if !writeFails {
					durable = Heartbeat{"s", "m", "b", lease.writeStarted, terms.Validity}
				}
				lease.HeartbeatWritten(!writeFails)
				writing = false
			}
			if lease.HeartbeatDue(now) {
				writing, writeFails = true, rng.IntN(4) == 0
				writeEnds = now + randomDuration(3*time.Second)
			}
			if lease.MayExecute(now) || !requireValid && lease.durable {
				lastBegan = now
			}
			now += randomDuration(500 * time.Millisecond)
		}
		if writing && !writeFails && rng.IntN(2) == 0 { // the write may be durable although its end was not reported
			durable = Heartbeat{"s", "m", "b", lease.writeStarted, terms.Validity}
		}
		died := now
		next, outage := Heartbeat{"s", "m", "b", 0, terms.Validity}, randomDuration(day)
		switch rng.IntN(4) {
		case 0:
			next.SinceBoot = died + outage
		case 1:
			next.Boot, next.SinceBoot = "c", randomDuration(outage)
		case 2: // the disk was moved to another machine, which has been up for a day
			next.Machine, next.Boot, next.SinceBoot = "n", "d", day
		case 3:
			next.Name, next.SinceBoot = "another", died+outage
		}
		minDowntime, evidence := durable.Downtime(next)
		if evidence == NoEvidence && minDowntime != 0 {
			t.Fatalf("downtime %v without evidence, want 0", minDowntime)
		}
		if lastBegan < 0 {
			return 0
		}
		return minDowntime - (died + outage - lastBegan)
	}
	rapid.Check(t, func(t *rapid.T) {
		if late := simulate(t, true); late > 0 {
			t.Fatalf("work began %v later than the restarted process assumes", late)
		}
	})
	found := false
	rapid.Check(t, func(t *rapid.T) { found = simulate(t, false) > 0 || found })
	if !found {
		t.Error("no violation was found without the validity rule")
	}
}

// For every set of used and met prerequisites, work is allowed only if all its prerequisites are met, each state allows the work of the
// states before it, and exactly the used but unmet prerequisites are listed as waits.
func TestWorkOpensOnlyWithItsPrerequisites(t *testing.T) {
	for _, role := range []Role{Server, Router} {
		for uses := range 1 << prerequisites {
			var list []Prerequisite
			for n := range prerequisites {
				if uses&(1<<n) != 0 {
					list = append(list, n)
				}
			}
			for met := range 1 << prerequisites {
				if met&^uses != 0 {
					continue
				}
				p := NewProgress(0, role, list...)
				for i, n := range list {
					p.Update(time.Duration(i+1), map[Prerequisite]bool{n: met&(1<<n) != 0})
				}
				lacks := func(n Prerequisite) bool { return uses&(1<<n) != 0 && met&(1<<n) == 0 }
				v := p.Snapshot(time.Minute)
				if p.Allows(IdempotentRequests) && (lacks(RulesConfirmed) || role == Server && (lacks(StoreRead) || lacks(WindowOver) || lacks(HeartbeatsDurable)) || role == Router && lacks(MapKnown)) ||
					p.Allows(FullCapacity) && !p.Allows(IdempotentRequests) || p.Allows(IdempotentRequests) && !p.Allows(Reads) || p.Allows(Replays) && role == Server && lacks(StoreRead) {
					t.Fatalf("role %v with prerequisites %v, of which %b are met, allows work whose prerequisites are unmet", role, list, met)
				}
				if v.State != map[bool]State{true: FullService}[p.Allows(FullCapacity)] && v.State != map[bool]State{true: ReadsAndEffects}[p.Allows(IdempotentRequests)] &&
					v.State != map[bool]State{true: ReadsOnly}[p.Allows(Reads)] {
					t.Fatalf("state %v does not match the allowed work", v.State)
				}
				for n := range prerequisites {
					if waits := slices.ContainsFunc(v.Waits, func(w Wait) bool { return w.Prerequisite == n }); waits != lacks(n) {
						t.Fatalf("prerequisite %v: listed as a wait: %v, unmet: %v", n, waits, lacks(n))
					}
				}
			}
		}
	}
}

// A source file that writes new state to disk could be added without a decision whether a restart may trust that state. Every source file
// that writes to disk must be listed in StateTable, and every file in StateTable must write to disk.
func TestEveryFileThatWritesHasItsTrust(t *testing.T) {
	writes := map[string]bool{"atomicfile.Write": true, "bbolt.Open": true, "os.Rename": true, "os.Link": true, "os.WriteFile": true,
		"os.Create": true, "os.CreateTemp": true, "os.OpenFile": true}
	root, found := filepath.Join("..", "..", ".."), map[string]bool{}
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		name := filepath.ToSlash(strings.TrimPrefix(path, root+string(os.PathSeparator)))
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		for _, outside := range []string{"internal/testkit/benchmarks/", "internal/testkit/harness/", "internal/testkit/standin/"} { // code of tests and benchmarks
			if strings.HasPrefix(name, outside) {
				return nil
			}
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := n.(*ast.CallExpr); ok {
				if sel, ok := call.Fun.(*ast.SelectorExpr); ok {
					if x, ok := sel.X.(*ast.Ident); ok && writes[fmt.Sprintf("%s.%s", x.Name, sel.Sel.Name)] {
						found[name] = true
					}
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	has := map[string]bool{}
	for _, l := range StateTable {
		for _, w := range l.Files {
			if has[w] = true; !found[w] {
				t.Errorf("%s does not write to disk, but is listed in the entry %q", w, l.Name)
			}
		}
		if l.Name == "" || l.Reason == "" {
			t.Errorf("entry without a name or a reason: %+v", l)
		}
	}
	for name := range found {
		if !has[name] {
			t.Errorf("%s writes to disk, but is not listed in StateTable", name)
		}
	}
	if len(found) < 8 {
		t.Errorf("found only %d files that write to disk, want at least 8", len(found))
	}
}

// Guards against a period without unknown runs that begins too early: the longer of the windows of both processes counts, also one that a
// reload brings. A period that has ended does not begin again.
func TestUnknownRuns(t *testing.T) {
	const second = time.Second
	runs := NewUnknownRuns(5*second, 10*second)
	if got := runs.Remaining(4 * second); got != 6*second {
		t.Errorf("%v remain, want 6s", got)
	}
	if got := runs.Extended(20*second, 9*second).Remaining(9 * second); got != 11*second {
		t.Errorf("extended: %v remain, want 11s", got)
	}
	if got := runs.Extended(20*second, 10*second).Remaining(10 * second); got > 0 {
		t.Errorf("extended after its end: %v remain, want none", got)
	}
	var recent RecentRetention
	for _, c := range []struct{ now, retention, want time.Duration }{{0, 5, 5}, {1, 10, 10}, {2, 5, 10}, {11, 5, 10}, {12, 5, 5}, {13, 4, 5}} {
		if got := recent.Update(c.now*second, c.retention*second); got != c.want*second {
			t.Errorf("recent retention %v at %v, want %v", got, c.now*second, c.want*second)
		}
	}
}
