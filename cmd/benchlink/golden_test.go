package main

import (
	"bufio"
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// The decisions of the module, seen from outside: a scripted host with a fixed seed plays arrivals, runs, calls below, callers
// that leave, timers, drains and restarts to the program on the simulator's wire, and obeys what it answers. What both sides
// said is held against a file: the first lines in full, the rest as a digest for every few hundred lines, so that a change of
// any decision shows, and about where. The file was taken from the program before its decisions were split into files by
// rule. `go test ./cmd/benchlink -run TestDecisions -update` writes it anew, for a commit that means to decide otherwise.

var update = flag.Bool("update", false, "write testdata/decisions.golden anew")

const (
	goldenFile  = "testdata/decisions.golden"
	goldenHead  = 600 // lines of the transcript that stand in the file in full
	goldenBlock = 250 // lines of one digest
	batchStep   = 5000
	batches     = 9000 // 45 s
)

// A site is the settings of one instance and how it is loaded.
type site struct {
	who     int
	params  string
	classes []string
	repeats bool    // the platform tells of repeats
	told    bool    // requests tell their work and how long their caller waits
	rate    float64 // arrivals in a batch, at rest
	peak    float64 // the same while it is crowded
	work    int64   // mean work of a request, in microseconds
	halt    string
	tenants []string
	calls   float64 // chance that a run comes to a call
}

const (
	classesOf = `"classes":[` +
		`{"name":"read","target":300000,"deadline":900000,"worth":1,"late_worth":0.2,"effect":"pure"},` +
		`{"name":"book","target":500000,"deadline":1500000,"worth":3,"effect":"token","memory_span":2500000},` +
		`{"name":"pay","target":600000,"deadline":1500000,"worth":5,"effect":"side_effect","aim_stretch":2}]`
	rulesOf = `"rules":{"fall_multiple":9,"overload_for":2000000,"drain_grace":400000,"cold_from":0.3,"warm_within":4000000},` +
		`"limits":{"retry_after":true,"max_retry_after":2000000}`
	gaugesOf = `"gauges":["core_use","on_cores","heap_share","links"]`
)

var sites = []site{
	{
		who: 1, classes: []string{"read", "book", "pay"}, repeats: true, told: true, rate: 0.2, peak: 1.4, work: 9000,
		halt: "pause", tenants: []string{"north", "south"}, calls: 0.5,
		params: `{` + classesOf + `,` + rulesOf + `,"tenants":[{"name":"north","allowance_per_s":40},{"name":"south","allowance_per_s":9}],` +
			`"over_share_worth":0.1,"worth_by":"work","scoring_mix":{"whole":0.6,"worst_class":0.4},"servers":2,` +
			`"family_info":{"cpus":2,"memory_kb":6000,"run_factor":3,"key_kb":6,"callers":40,"fresh_for":700000,` +
			`"dep_share":3,"dep_window":1500000,"linger":20000,"keepalive_max":2000000,"preemption":"pause","say":"weight",` +
			`"below":"shared","calls_by_class":[true,true,true],"worth_without":[0.5,0,0],` + gaugesOf + `,"cold":COLD}}`,
	},
	{
		who: 2, classes: []string{"read", "book", "pay"}, repeats: true, rate: 0.15, peak: 1.1, work: 11000, halt: "drop", calls: 0.4,
		params: `{` + classesOf + `,` + rulesOf + `,"servers":3,"tier":1,` +
			`"family_info":{"cpus":2,"memory_kb":2500,"run_factor":4,"key_kb":9,"callers":6,` +
			`"keepalive_max":1000000,"preemption":"drop","say":"credit","below":"tier",` +
			`"calls_by_class":[true,true,true],"worth_without":[0,0,0],` + gaugesOf + `,"cold":COLD}}`,
	},
	{
		who: 3, classes: []string{"read", "pay"}, told: true, rate: 0.1, peak: 0.9, work: 8000, halt: "none", calls: 0.02,
		params: `{` + classesOf + `,` + rulesOf + `,"servers":1,"scoring_mix":{"whole":1,"worst_class":1},` +
			`"family_info":{"cpus":1,"memory_kb":9000,"run_factor":2,"key_kb":2,"callers":900,` +
			`"keepalive_max":3000000,"preemption":"none","say":"level","below":"none",` + gaugesOf + `,"cold":COLD}}`,
	},
}

// A task is one request as the scripted host knows it.
type task struct {
	id, class   string
	state       string // held, running, stopping, paused, at a call, calling, echo
	left        int64  // work, in microseconds
	size        int64
	ends        int64 // when its call ends, or its echo
	outcome     string
	calls       bool // it comes to a call when half of its work is done
	answered    bool
	gone        bool
	startedCall int64
}

// A scriptedHost plays one site. It knows nothing of how the module decides.
type scriptedHost struct {
	site
	rng     *rand.Rand
	tasks   []*task // in order of arrival
	past    []*task // over, of the classes that can be repeated
	kept    map[string]int64
	serial  int
	timers  []int64
	busy    float64
	stopAt  int64
	started int64
}

// events is what happens at the host in one step.
func (h *scriptedHost) events(now int64, number int) (list []string) {
	second := number / 200
	if h.stopAt > 0 && now >= h.stopAt {
		h.tasks, h.past, h.kept, h.timers, h.stopAt, h.started = nil, nil, map[string]int64{}, nil, 0, now
		return []string{"KILL", h.launch(number, true)}
	}
	if h.stopAt == 0 && (second == 17+h.who/2 || second == 36) && number%200 == 40*h.who {
		h.stopAt = now + 1200000
		list = append(list, fmt.Sprintf("QUIESCE\tdrop_dead=%d", h.stopAt))
	}
	list = append(list, h.work(now, second)...)
	rate := h.rate
	if phase := second % 15; phase >= 2 && phase < 8 {
		rate = h.peak
	}
	for rate > 0 && h.rng.Float64() < rate {
		rate--
		list = append(list, h.arrival(now))
	}
	for _, t := range h.tasks {
		if !t.gone && !t.answered && h.rng.IntN(400) == 0 {
			t.gone = true
			list = append(list, "CANCELLED_BY_CLIENT\tcorr="+t.id)
		}
	}
	h.tasks = slices.DeleteFunc(h.tasks, func(t *task) bool { return t.gone && (t.state == "held" || t.state == "paused" || t.state == "echo") })
	due := 0
	for _, at := range h.timers {
		if at <= now {
			due++
		}
	}
	h.timers = slices.DeleteFunc(h.timers, func(at int64) bool { return at <= now })
	for range due {
		list = append(list, fmt.Sprintf("TIMER\thandle=tick\tmetrics=%.3f,%d,%.2f,%d", h.busy, h.count("running", "stopping")+h.rng.IntN(2),
			float64(len(h.tasks))/100, 10+h.rng.IntN(5)))
	}
	return list
}

func (h *scriptedHost) count(states ...string) (n int) {
	for _, t := range h.tasks {
		if slices.Contains(states, t.state) {
			n++
		}
	}
	return n
}

// work lets a step pass on the cores and below.
func (h *scriptedHost) work(now int64, second int) (list []string) {
	cores, n := int64(2), int64(h.count("running", "stopping"))
	if h.who == 3 {
		cores = 1
	}
	part := int64(batchStep)
	if n > cores {
		part = batchStep * cores / n
	}
	if second == 7 {
		part /= 3 // the machine is slow by itself
	}
	h.busy = 0.9*h.busy + 0.1*min(1, float64(n)/float64(cores))
	over := func(t *task, outcome string) string {
		t.outcome = outcome
		h.past = append(h.past, t)
		h.tasks = slices.DeleteFunc(h.tasks, func(x *task) bool { return x == t })
		return fmt.Sprintf("WOUND_UP\tcorr=%s\tstate_code=%s\tspent=%d", t.id, outcome, t.size)
	}
	for _, t := range slices.Clone(h.tasks) {
		switch t.state {
		case "running":
			t.left -= part
			if t.calls && t.left < t.size/2 {
				t.calls, t.state = false, "at a call"
				list = append(list, "BLOCKED\tcorr="+t.id)
			} else if t.left <= 0 {
				outcome := "Ok"
				if h.rng.IntN(30) == 0 {
					outcome = "Failed"
				}
				list = append(list, over(t, outcome))
			}
		case "stopping":
			switch {
			case t.answered || t.gone:
				list = append(list, over(t, "Canceled"))
			case h.halt == "pause":
				t.state = "paused"
				list = append(list, fmt.Sprintf("WOUND_UP\tcorr=%s\tstate_code=Canceled\tspent=%d", t.id, t.size-t.left))
			default:
				t.state, t.left = "held", t.size
				list = append(list, fmt.Sprintf("WOUND_UP\tcorr=%s\tstate_code=Canceled\tspent=%d", t.id, t.size-t.left))
			}
		case "at a call", "calling":
			if t.answered || t.gone {
				list = append(list, over(t, "Canceled"))
			} else if t.state == "calling" && now >= t.ends {
				t.state = "at a call"
				if t.outcome == "Ok" {
					t.state = "running"
				}
				list = append(list, fmt.Sprintf("CALL_ENDED\tcorr=%s\tstate_code=%s\tspent=%d", t.id, t.outcome, now-t.startedCall))
			}
		case "never started":
			list = append(list, over(t, "Ignored"))
		case "echo":
			if now >= t.ends {
				list = append(list, over(t, "Ok"))
			}
		}
	}
	return list
}

func (h *scriptedHost) arrival(now int64) string {
	h.serial++
	size := h.work64()
	t := &task{
		id: fmt.Sprintf("%08d-0000-4000-8000-%012d", h.serial, h.who), class: h.classes[h.rng.IntN(len(h.classes))],
		state: "held", left: size, size: size, calls: h.rng.Float64() < h.calls,
	}
	line := fmt.Sprintf("SUBMIT\tcorr=%s\tfootprint=%d.5\tclass=%s\tfrom=%d\tstanding=%.3f", t.id, 5+h.rng.IntN(60), t.class,
		h.rng.IntN(20), h.rng.Float64())
	if h.told {
		line += fmt.Sprintf("\tdrop_dead=%d\texpected=%d", now+200000+int64(h.rng.IntN(1300000)), size*int64(70+h.rng.IntN(60))/100)
	}
	if h.rng.IntN(3) == 0 {
		line += fmt.Sprintf("\tunread_for=%d", h.rng.IntN(60000))
	}
	if len(h.tenants) > 0 {
		line += "\taccount=" + h.tenants[h.rng.IntN(len(h.tenants))]
	}
	if h.repeats && t.class == "read" {
		line += fmt.Sprintf("\ttarget_key=%016x", h.rng.IntN(30))
	}
	if first := h.repeated(now, t.class); h.repeats && first != "" && h.rng.IntN(3) == 0 {
		line += "\tagain_by_client=1\trepeats=" + first
	}
	h.tasks = append(h.tasks, t)
	return line
}

// work64 draws the work of a request: many small ones, few large ones.
func (h *scriptedHost) work64() int64 {
	size := h.site.work/2 + int64(h.rng.IntN(int(h.site.work)))
	if h.rng.IntN(12) == 0 {
		size *= 9
	}
	return size
}

// repeated is a kept request of the class that is in hand or has been run.
func (h *scriptedHost) repeated(now int64, class string) string {
	var ids []string
	for _, list := range [][]*task{h.tasks, h.past} {
		for _, t := range list {
			if t.class == class && h.kept[t.id] > now && (t.outcome == "Ok" || t.outcome == "") {
				ids = append(ids, t.id)
			}
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[h.rng.IntN(len(ids))]
}

func (h *scriptedHost) launch(number int, cold bool) string {
	return fmt.Sprintf("LAUNCH\tsalt=%d\tparams=%s", 100+number, strings.Replace(h.params, "COLD", fmt.Sprint(cold), 1))
}

// obey carries out one action.
func (h *scriptedHost) obey(now int64, name string, fields map[string]string) {
	var span int64
	for _, f := range []string{"span", "patience", "hold_for"} {
		if v, ok := fields[f]; ok {
			fmt.Sscan(v, &span)
		}
	}
	id := fields["corr"]
	switch name {
	case "DEFER":
		h.timers = append(h.timers, now+span)
		return
	case "STORE_KEY":
		h.kept[id] = now + span
		return
	case "DROP_KEY":
		delete(h.kept, id)
		return
	}
	i := slices.IndexFunc(h.tasks, func(t *task) bool { return t.id == id })
	if i < 0 {
		return
	}
	t := h.tasks[i]
	switch name {
	case "EXECUTE":
		if t.state == "held" || t.state == "paused" {
			t.state = "running"
			if t.size == t.left && h.rng.IntN(150) == 0 {
				t.state = "never started"
			}
		}
	case "TAKE_OFF":
		if t.state == "running" {
			t.state = "stopping"
		}
	case "PUSH_BACK":
		h.tasks = slices.Delete(h.tasks, i, i+1)
	case "REPORT_FAILURE":
		t.answered = true
		if t.state == "held" || t.state == "paused" || t.state == "echo" {
			h.tasks = slices.Delete(h.tasks, i, i+1)
		}
	case "ECHO":
		t.state, t.ends = "echo", now+int64(1+h.rng.IntN(30))*batchStep
	case "DO_WITHOUT":
		t.state = "running"
	case "ASK_BELOW":
		h.call(now, t, span)
	}
}

// call draws how a call goes: now and then what lies below is slow, refuses or breaks.
func (h *scriptedHost) call(now int64, t *task, patience int64) {
	took := int64(1+h.rng.IntN(6)) * batchStep
	t.outcome = "Ok"
	if second := now / 1000000 % 15; second >= 5 && second <= 12 {
		took *= 9
		if h.rng.IntN(3) == 0 {
			t.outcome, took = "QueueFull", batchStep
		}
	}
	if h.rng.IntN(15) == 0 {
		t.outcome = []string{"Failed", "ConnectError", "ResetByPeer"}[h.rng.IntN(3)]
	}
	if took > patience {
		t.outcome, took = "TimedOut", patience
	}
	t.state, t.startedCall, t.ends = "calling", now, now+took
}

// A transcript keeps the head of what was said, the log lines, a digest of each block and how often each line was of which kind.
type transcript struct {
	head    []string
	notes   []string // what the module logs, in full
	digests []string
	block   []string
	kinds   map[string]int
	lines   int
}

func (r *transcript) add(mark, line string) {
	r.lines++
	name, _, _ := strings.Cut(line, "\t")
	r.kinds[mark+" "+name]++
	line = mark + " " + strings.ReplaceAll(line, "\t", " ")
	if len(r.head) < goldenHead {
		r.head = append(r.head, line)
	}
	if name == "NOTE_DOWN" {
		r.notes = append(r.notes, fmt.Sprintf("line %d: %s", r.lines, line))
	}
	if r.block = append(r.block, line); len(r.block) == goldenBlock {
		r.close()
	}
}

func (r *transcript) close() {
	sum := fnv.New64a()
	io.WriteString(sum, strings.Join(r.block, "\n"))
	r.digests = append(r.digests, fmt.Sprintf("digest of the lines up to %d: %016x", r.lines, sum.Sum64()))
	r.block = nil
}

func (r *transcript) text() string {
	r.close()
	var kinds []string
	for kind, n := range r.kinds {
		kinds = append(kinds, fmt.Sprintf("count of %s: %d", kind, n))
	}
	slices.Sort(kinds)
	return strings.Join(slices.Concat(r.head, r.notes, r.digests, kinds), "\n") + "\n"
}

// play runs the program and the scripted hosts against each other.
func play(t *testing.T) *transcript {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	if other := os.Getenv("BENCHLINK_PROGRAM"); other != "" {
		exe = other // another build, to compare with
	}
	cmd := exec.Command(exe)
	cmd.Env = append(os.Environ(), "BENCHLINK_RUN=1")
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := false
	t.Cleanup(func() {
		if !ended {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
	said := &transcript{kinds: map[string]int{}}
	hosts := map[string]*scriptedHost{}
	for _, s := range sites {
		hosts[fmt.Sprint(s.who)] = &scriptedHost{site: s, rng: rand.New(rand.NewPCG(30, uint64(s.who))), kept: map[string]int64{}}
	}
	replies := bufio.NewScanner(out)
	replies.Buffer(nil, 1<<20)
	for number := range batches {
		now := int64(1000000 + number*batchStep)
		lines := []string{fmt.Sprintf("CLOCK\tsim_time=%d", now)}
		for _, s := range sites {
			h := hosts[fmt.Sprint(s.who)]
			list := []string{h.launch(0, false)}
			if number > 0 {
				list = h.events(now, number)
			}
			if len(list) > 0 {
				lines = append(append(lines, fmt.Sprintf("SELECT\twho=%d", s.who)), list...)
			}
		}
		lines = append(lines, "GO")
		for _, l := range lines {
			said.add(">", l)
		}
		if _, err := io.WriteString(in, strings.Join(lines, "\n")+"\n"); err != nil {
			t.Fatal(err)
		}
		var speaks *scriptedHost
		for {
			if !replies.Scan() {
				t.Fatalf("the program ended in batch %d: %v", number, replies.Err())
			}
			said.add("<", replies.Text())
			parts := strings.Split(replies.Text(), "\t")
			fields := map[string]string{}
			for _, p := range parts[1:] {
				key, value, _ := strings.Cut(p, "=")
				fields[key] = value
			}
			if parts[0] == "EOR" {
				break
			}
			if parts[0] == "CONTEXT" {
				speaks = hosts[fields["who"]]
				continue
			}
			speaks.obey(now, parts[0], fields)
		}
	}
	in.Close()
	ended = true
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	return said
}

func TestDecisions(t *testing.T) {
	said := play(t)
	for _, action := range []string{"EXECUTE", "TAKE_OFF", "DROP_KEY", "KEEPALIVE", "STORE_KEY", "ASK_BELOW", "PUBLISH", "ECHO", "DEFER",
		"PUSH_BACK", "REPORT_FAILURE", "DO_WITHOUT", "REPORT_HEALTH", "NOTE_DOWN"} {
		if said.kinds["< "+action] < 5 {
			t.Errorf("%d times %s: the script no longer reaches what asks for it", said.kinds["< "+action], action)
		}
	}
	if n := said.kinds["< FAULT"]; n > 0 {
		t.Errorf("%d faults", n)
	}
	got := said.text()
	if *update {
		if err := os.MkdirAll(filepath.Dir(goldenFile), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(goldenFile, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	want, lines := strings.Split(string(data), "\n"), strings.Split(got, "\n")
	if len(want) != len(lines) {
		t.Errorf("%d lines, the file has %d", len(lines), len(want))
	}
	for i := range min(len(want), len(lines)) {
		if lines[i] != want[i] {
			t.Fatalf("line %d is\n%s\nthe file says\n%s", i+1, lines[i], want[i])
		}
	}
}
