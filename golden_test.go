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

// Thirty random days of the checker's are played to the module, a third of them with pools and a third with new settings,
// late starts and floods turned away unread, and all that it asks of its host is held against a file: for each day the number of actions
// and their digest. The file was taken from the program before its decisions were split into files by rule.
// `go test . -run TestDecisionsOfRandomDays -update` writes it anew, for a commit that means to decide otherwise.

var update = flag.Bool("update", false, "write testdata/random-days.golden anew")

const goldenDays = 30

// A recorder passes everything on to the checker and writes it down, with what the checker does not write.
type recorder struct {
	*checker
	lines []string
}

func (r *recorder) note(format string, a ...any) {
	r.lines = append(r.lines, fmt.Sprint(r.now, " ")+fmt.Sprintf(format, a...))
}

func (r *recorder) Run(id string) { r.note("run %s", id); r.checker.Run(id) }
func (r *recorder) Reject(id string, after time.Duration, final bool) {
	r.note("refuse %s %v %v", id, after, final)
	r.checker.Reject(id, after, final)
}
func (r *recorder) Fail(id string) { r.note("fail %s", id); r.checker.Fail(id) }
func (r *recorder) Join(id string) { r.note("join %s", id); r.checker.Join(id) }
func (r *recorder) Stop(id string) { r.note("stop %s", id); r.checker.Stop(id) }
func (r *recorder) Call(id string, patience time.Duration) {
	r.note("call %s %v", id, patience)
	r.checker.Call(id, patience)
}
func (r *recorder) SkipCall(id string) { r.note("skip %s", id); r.checker.SkipCall(id) }
func (r *recorder) RememberKey(id string, d time.Duration) {
	r.note("keep %s %v", id, d)
	r.checker.RememberKey(id, d)
}
func (r *recorder) ForgetKey(id string)           { r.note("forget %s", id); r.checker.ForgetKey(id) }
func (r *recorder) Health(good bool)              { r.note("health %v", good) }
func (r *recorder) Signal(value float64)          { r.note("signal %v", value); r.checker.Signal(value) }
func (r *recorder) CloseIdle(after time.Duration) { r.note("close idle %v", after) }
func (r *recorder) Wake(after time.Duration)      { r.note("wake %v", after); r.checker.Wake(after) }
func (r *recorder) Log(text string)               { r.note("log %s", text) }

// narrow are pools with two lines: one for reads, which has a third of the runs, and one for the rest.
type narrow struct {
	r     *recorder
	in    map[string]silverpath.Place
	reads map[string]bool
	runs  float64
}

func (p *narrow) Moved(_ time.Duration, id, class string, to silverpath.Place) {
	p.r.note("moved %s %s %d", id, class, to)
	p.in[id], p.reads[id] = to, class == "read"
	if to == silverpath.PlaceOver {
		delete(p.in, id)
	}
}

func (p *narrow) Tick(_ time.Duration, ceiling float64, _ silverpath.Gauges) {
	p.r.note("ceiling %v", ceiling)
	p.runs = ceiling
}

func (p *narrow) count(place silverpath.Place, reads bool) (n float64) {
	for id, at := range p.in {
		if at == place && p.reads[id] == reads {
			n++
		}
	}
	return n
}

func (p *narrow) HasCapacity(_ time.Duration, class string) bool {
	return p.count(silverpath.PlaceOnCores, class == "read") < p.Concurrency(class)
}
func (p *narrow) Admits(class string) bool {
	return class != "read" || p.count(silverpath.PlaceWaiting, true) < 8
}
func (p *narrow) Concurrency(class string) float64 {
	if class == "read" {
		return max(1, p.runs/3)
	}
	return max(1, p.runs*2/3)
}
func (p *narrow) Queue(class string) string {
	if class == "read" {
		return "reads"
	}
	return "others"
}

// recordDay plays one day. The kind of the day is 0 plain, 1 with pools, 2 with new settings, starts and floods.
func recordDay(t *testing.T, seed uint64) []string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 30))
	kind := seed % 3
	r := &recorder{checker: &checker{tellsDue: seed%2 == 0, set: randomSettings(rng), rng: rng, jobs: map[string]*job{},
		keys: map[string]time.Duration{}}}
	shed, err := silverpath.New(0, r.set, r)
	if err != nil {
		t.Fatal(err)
	}
	r.shed = shed
	if kind == 1 {
		shed.UsePools(&narrow{r: r, in: map[string]silverpath.Place{}, reads: map[string]bool{}, runs: float64(r.set.Cores)})
	}
	rate := 0.3 + 0.7*rng.Float64()
	for n := 0; r.stopAt == 0 || r.now < r.stopAt; r.now += step {
		if r.drainAt == 0 && r.now >= 14*time.Second {
			r.drainAt, r.stopAt = r.now, r.now+time.Duration(500+rng.IntN(3000))*time.Millisecond
			shed.Drain(r.now, r.stopAt)
		}
		if rng.IntN(400) == 0 {
			r.hung = !r.hung
		}
		load := rate
		if r.now > 7*time.Second { // the overload ends, and its log line comes
			load = rate / 20
		}
		for range 3 {
			if rng.Float64() < load && (r.stopAt == 0 || r.now < r.stopAt-200*time.Millisecond) {
				n++
				r.arrive(n)
			}
		}
		if kind == 2 {
			r.operate(t)
		}
		r.advance()
	}
	return r.lines
}

// operate is what operators and the platform do on a day of kind 2.
func (r *recorder) operate(t *testing.T) {
	t.Helper()
	switch r.now {
	case time.Second:
		r.shed.Started(r.now, 300*time.Millisecond, true)
	case 2 * time.Second, 9 * time.Second:
		set := r.set
		set.Cores, set.MemoryKB, set.Servers = set.Cores+1, set.MemoryKB*0.9, set.Servers/2
		set.Tenants = append([]silverpath.Tenant{{Name: "nobody", Rate: 5}}, set.Tenants...)
		set.Classes = append([]silverpath.Class{{Name: "newcomer", Deadline: time.Second, Weight: 2}}, set.Classes...)
		if err := r.shed.Reconfigure(r.now, set); err != nil {
			t.Fatal(err)
		}
	case 3 * time.Second:
		set := r.set
		set.Cores = 0
		r.note("retune %v", r.shed.Reconfigure(r.now, set))
	case 5 * time.Second:
		if err := r.shed.Reconfigure(r.now, r.set); err != nil {
			t.Fatal(err)
		}
	}
	if r.rng.IntN(50) == 0 {
		r.shed.RejectedUnread(r.now, []string{"read", "book", "unknown"}[r.rng.IntN(3)], r.rng.IntN(30))
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
	gots, wants := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	if len(gots) != len(wants) {
		t.Errorf("%d lines, the file has %d", len(gots), len(wants))
	}
	for i := range min(len(gots), len(wants)) {
		if gots[i] != wants[i] {
			t.Fatalf("line %d is\n%s\nthe file says\n%s", i+1, gots[i], wants[i])
		}
	}
}
