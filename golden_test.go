package silverpath_test

import (
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"silverpath"
)

// Plays thirty random days of the checker, a third of them with pools and a third with reconfigurations,
// late starts and requests rejected unread, and compares the actions requested from the host with a golden
// file: for each day their number and digest. The file was generated before the decisions were split into
// files by rule.
//
// Run `go test . -run TestDecisionsOfRandomDays -update` to regenerate the file in a commit that changes
// decisions on purpose.

var update = flag.Bool("update", false, "regenerate testdata/random-days.golden")

const goldenDays = 30

// recorder passes all actions on to the checker and records them, together with those that the checker
// ignores.
type recorder struct {
	*checker
	lines []string
}

func (r *recorder) record(format string, a ...any) {
	r.lines = append(r.lines, fmt.Sprint(r.now, " ")+fmt.Sprintf(format, a...))
}

func (r *recorder) Run(id string) { r.record("run %s", id); r.checker.Run(id) }
func (r *recorder) Reject(id string, after time.Duration, final bool) {
	r.record("refuse %s %v %v", id, after, final)
	r.checker.Reject(id, after, final)
}
func (r *recorder) Fail(id string) { r.record("fail %s", id); r.checker.Fail(id) }
func (r *recorder) Join(id string) { r.record("join %s", id); r.checker.Join(id) }
func (r *recorder) Stop(id string) { r.record("stop %s", id); r.checker.Stop(id) }
func (r *recorder) Call(id string, timeout time.Duration) {
	r.record("call %s %v", id, timeout)
	r.checker.Call(id, timeout)
}
func (r *recorder) SkipCall(id string) { r.record("skip %s", id); r.checker.SkipCall(id) }
func (r *recorder) RememberKey(id string, d time.Duration) {
	r.record("keep %s %v", id, d)
	r.checker.RememberKey(id, d)
}
func (r *recorder) ForgetKey(id string)           { r.record("forget %s", id); r.checker.ForgetKey(id) }
func (r *recorder) Health(good bool)              { r.record("health %v", good) }
func (r *recorder) Signal(value float64)          { r.record("signal %v", value); r.checker.Signal(value) }
func (r *recorder) CloseIdle(after time.Duration) { r.record("close idle %v", after) }
func (r *recorder) Wake(after time.Duration)      { r.record("wake %v", after); r.checker.Wake(after) }
func (r *recorder) Log(text string)               { r.record("log %s", text) }

// twoPools are pools with two queues: one for reads, which has a third of the runs, and one for all other
// classes.
type twoPools struct {
	recorder *recorder
	places   map[string]silverpath.Place
	isRead   map[string]bool
	runLimit float64
}

func (p *twoPools) Moved(_ time.Duration, id, class string, to silverpath.Place) {
	p.recorder.record("moved %s %s %d", id, class, to)
	p.places[id], p.isRead[id] = to, class == "read"
	if to == silverpath.PlaceFinished {
		delete(p.places, id)
	}
}

func (p *twoPools) Tick(_ time.Duration, runLimit float64, _ silverpath.Gauges) {
	p.recorder.record("ceiling %v", runLimit)
	p.runLimit = runLimit
}

func (p *twoPools) count(place silverpath.Place, reads bool) (n float64) {
	for id, at := range p.places {
		if at == place && p.isRead[id] == reads {
			n++
		}
	}
	return n
}

func (p *twoPools) HasCapacity(_ time.Duration, class string) bool {
	return p.count(silverpath.PlaceOnCores, class == "read") < p.Concurrency(class)
}
func (p *twoPools) Admits(class string) bool {
	return class != "read" || p.count(silverpath.PlaceQueued, true) < 8
}
func (p *twoPools) Concurrency(class string) float64 {
	if class == "read" {
		return max(1, p.runLimit/3)
	}
	return max(1, p.runLimit*2/3)
}
func (p *twoPools) Queue(class string) string {
	if class == "read" {
		return "reads"
	}
	return "others"
}

// recordDay plays one day and returns the recorded actions. The seed selects the kind of the day: plain
// (0), with pools (1), or with reconfigurations, late starts and requests rejected unread (2).
func recordDay(t *testing.T, seed uint64) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 30))
	kind := seed % 3
	r := &recorder{checker: &checker{sendsDeadline: seed%2 == 0, set: randomSettings(rng), rng: rng, byID: map[string]*trackedRequest{},
		expiry: map[string]time.Duration{}}}
	shed, err := silverpath.New(0, r.set, r)
	if err != nil {
		t.Fatal(err)
	}
	r.shedder = shed
	if kind == 1 {
		shed.UsePools(&twoPools{recorder: r, places: map[string]silverpath.Place{}, isRead: map[string]bool{}, runLimit: float64(r.set.Cores)})
	}
	rate := 0.3 + 0.7*rng.Float64()
	for n := 0; r.stopAt == 0 || r.now < r.stopAt; r.now += stepInterval {
		if r.drainStartedAt == 0 && r.now >= 14*time.Second {
			r.drainStartedAt, r.stopAt = r.now, r.now+time.Duration(500+rng.IntN(3000))*time.Millisecond
			shed.Drain(r.now, r.stopAt)
		}
		if rng.IntN(400) == 0 {
			r.hung = !r.hung
		}
		load := rate
		if r.now > 7*time.Second { // the overload ends and is logged
			load = rate / 20
		}
		for range 3 {
			if rng.Float64() < load && (r.stopAt == 0 || r.now < r.stopAt-200*time.Millisecond) {
				n++
				r.arrive(n)
			}
		}
		if kind == 2 {
			r.applyOperatorEvents(t)
		}
		r.advance()
	}
	return r.lines
}

// applyOperatorEvents applies the events of operators and of the platform that are due now. Only the runs whose seed selects kind 2 have
// such events.
func (r *recorder) applyOperatorEvents(t *testing.T) {
	t.Helper()
	switch r.now {
	case time.Second:
		r.shedder.RunnerStarted(r.now, 300*time.Millisecond, true)
	case 2 * time.Second, 9 * time.Second:
		set := r.set
		set.Cores, set.MemoryKB, set.Servers = set.Cores+1, set.MemoryKB*0.9, set.Servers/2
		set.Tenants = append([]silverpath.Tenant{{Name: "nobody", Rate: 5}}, set.Tenants...)
		set.Classes = append([]silverpath.Class{{Name: "newcomer", Deadline: time.Second, Weight: 2}}, set.Classes...)
		if err := r.shedder.Reconfigure(r.now, set); err != nil {
			t.Fatal(err)
		}
	case 3 * time.Second:
		set := r.set
		set.Cores = 0
		r.record("retune %v", r.shedder.Reconfigure(r.now, set))
	case 5 * time.Second:
		if err := r.shedder.Reconfigure(r.now, r.set); err != nil {
			t.Fatal(err)
		}
	}
	if r.rng.IntN(50) == 0 {
		r.shedder.RejectedUnread(r.now, []string{"read", "book", "unknown"}[r.rng.IntN(3)], r.rng.IntN(30))
	}
}

func TestDecisionsOfRandomDays(t *testing.T) {
	const file = "testdata/random-days.golden"
	var b strings.Builder
	for seed := range uint64(goldenDays) {
		lines := recordDay(t, seed)
		sum := fnv.New64a()
		io.WriteString(sum, strings.Join(lines, "\n"))
		fmt.Fprintf(&b, "day %d: %d actions, digest %016x\n", seed, len(lines), sum.Sum64())
		for _, l := range lines {
			if strings.Contains(l, " log ") || strings.Contains(l, " retune ") {
				fmt.Fprintf(&b, "  %s\n", l)
			}
		}
	}
	got := b.String()
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	if len(gotLines) != len(wantLines) {
		t.Errorf("%d lines, want %d as in the golden file", len(gotLines), len(wantLines))
	}
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("line %d is\n%s\nwant, from the golden file,\n%s", i+1, gotLines[i], wantLines[i])
		}
	}
}
