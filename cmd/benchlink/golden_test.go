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

var update = flag.Bool("update", false, "rewrite testdata/decisions.golden")

const (
	goldenFile    = "testdata/decisions.golden"
	goldenHead    = 600  // lines of the transcript that the file has in full
	goldenBlock   = 250  // lines per digest
	batchInterval = 5000 // microseconds between batches
	batchCount    = 9000 // 45 s of simulated time
)

// site holds the settings of one instance and the load that it gets.
type site struct {
	instance      int
	params        string
	classes       []string
	marksRepeats  bool    // the platform marks repeated requests
	sendsDeadline bool    // requests carry their expected work and their caller's deadline
	arrivalRate   float64 // mean arrivals per batch outside a peak
	peakRate      float64 // mean arrivals per batch during a peak
	work          int64   // mean work of a request, in microseconds
	preemption    string  // what the host does with a run that is taken off its core: pause, drop or none
	tenants       []string
	callChance    float64 // probability that a run makes an upstream call
}

const (
	classesJSON = `"classes":[` +
		`{"name":"read","target":300000,"deadline":900000,"worth":1,"late_worth":0.2,"effect":"pure"},` +
		`{"name":"book","target":500000,"deadline":1500000,"worth":3,"effect":"token","memory_span":2500000},` +
		`{"name":"pay","target":600000,"deadline":1500000,"worth":5,"effect":"side_effect","aim_stretch":2}]`
	rulesJSON = `"rules":{"fall_multiple":9,"overload_for":2000000,"drain_grace":400000,"cold_from":0.3,"warm_within":4000000},` +
		`"limits":{"retry_after":true,"max_retry_after":2000000}`
	gaugesJSON = `"gauges":["core_use","on_cores","heap_share","links"]`
)

var sites = []site{
	{
		instance: 1, classes: []string{"read", "book", "pay"}, marksRepeats: true, sendsDeadline: true, arrivalRate: 0.2, peakRate: 1.4, work: 9000,
		preemption: "pause", tenants: []string{"north", "south"}, callChance: 0.5,
		params: `{` + classesJSON + `,` + rulesJSON + `,"tenants":[{"name":"north","allowance_per_s":40},{"name":"south","allowance_per_s":9}],` +
			`"over_share_worth":0.1,"worth_by":"work","scoring_mix":{"whole":0.6,"worst_class":0.4},"servers":2,` +
			`"family_info":{"cpus":2,"memory_kb":6000,"run_factor":3,"key_kb":6,"callers":40,"fresh_for":700000,` +
			`"dep_share":3,"dep_window":1500000,"linger":20000,"keepalive_max":2000000,"preemption":"pause","say":"weight",` +
			`"below":"shared","calls_by_class":[true,true,true],"worth_without":[0.5,0,0],` + gaugesJSON + `,"cold":COLD}}`,
	},
	{
		instance: 2, classes: []string{"read", "book", "pay"}, marksRepeats: true, arrivalRate: 0.15, peakRate: 1.1, work: 11000,
		preemption: "drop", callChance: 0.4,
		params: `{` + classesJSON + `,` + rulesJSON + `,"servers":3,"tier":1,` +
			`"family_info":{"cpus":2,"memory_kb":2500,"run_factor":4,"key_kb":9,"callers":6,` +
			`"keepalive_max":1000000,"preemption":"drop","say":"credit","below":"tier",` +
			`"calls_by_class":[true,true,true],"worth_without":[0,0,0],` + gaugesJSON + `,"cold":COLD}}`,
	},
	{
		instance: 3, classes: []string{"read", "pay"}, sendsDeadline: true, arrivalRate: 0.1, peakRate: 0.9, work: 8000,
		preemption: "none", callChance: 0.02,
		params: `{` + classesJSON + `,` + rulesJSON + `,"servers":1,"scoring_mix":{"whole":1,"worst_class":1},` +
			`"family_info":{"cpus":1,"memory_kb":9000,"run_factor":2,"key_kb":2,"callers":900,` +
			`"keepalive_max":3000000,"preemption":"none","say":"level","below":"none",` + gaugesJSON + `,"cold":COLD}}`,
	},
}

// task is the scripted host's state of one request.
type task struct {
	id, class     string
	state         string // queued, running, preempting, paused, blocked, calling, echo (joined to another run) or never started
	remaining     int64  // remaining work, in microseconds
	work          int64  // total work, in microseconds
	endsAt        int64  // when its call ends, or the run that it joined
	outcome       string
	willCall      bool // it makes an upstream call when half of its work is done
	answered      bool
	gone          bool // the caller disconnected
	callStartedAt int64
}

// scriptedHost simulates the host of one site. It does not depend on how the module decides.
type scriptedHost struct {
	site
	rng        *rand.Rand
	tasks      []*task          // unfinished, in order of arrival
	finished   []*task          // in the order in which they finished
	keyExpiry  map[string]int64 // by request ID, when the stored key expires
	lastSerial int              // serial number of the latest request
	timers     []int64          // due times
	coreUse    float64          // smoothed
	killAt     int64            // when a drain ends in a restart; 0: no drain
	startedAt  int64
}

// step returns the lines of one batch: what happened at the host since the previous one.
func (h *scriptedHost) step(now int64, batch int) (list []string) {
	second := batch / 200
	if h.killAt > 0 && now >= h.killAt {
		h.tasks, h.finished, h.keyExpiry, h.timers, h.killAt, h.startedAt = nil, nil, map[string]int64{}, nil, 0, now
		return []string{"KILL", h.launch(batch, true)}
	}
	if h.killAt == 0 && (second == 17+h.instance/2 || second == 36) && batch%200 == 40*h.instance {
		h.killAt = now + 1200000
		list = append(list, fmt.Sprintf("QUIESCE\tdrop_dead=%d", h.killAt))
	}
	list = append(list, h.advance(now, second)...)
	rate := h.arrivalRate
	if phase := second % 15; phase >= 2 && phase < 8 {
		rate = h.peakRate
	}
	for rate > 0 && h.rng.Float64() < rate {
		rate--
		list = append(list, h.submit(now))
	}
	for _, t := range h.tasks {
		if !t.gone && !t.answered && h.rng.IntN(400) == 0 {
			t.gone = true
			list = append(list, "CANCELLED_BY_CLIENT\tcorr="+t.id)
		}
	}
	h.tasks = slices.DeleteFunc(h.tasks, func(t *task) bool { return t.gone && (t.state == "queued" || t.state == "paused" || t.state == "echo") })
	dueTimers := 0
	for _, at := range h.timers {
		if at <= now {
			dueTimers++
		}
	}
	h.timers = slices.DeleteFunc(h.timers, func(at int64) bool { return at <= now })
	for range dueTimers {
		list = append(list, fmt.Sprintf("TIMER\thandle=tick\tmetrics=%.3f,%d,%.2f,%d", h.coreUse, h.count("running", "preempting")+h.rng.IntN(2),
			float64(len(h.tasks))/100, 10+h.rng.IntN(5)))
	}
	return list
}

// count returns the number of tasks in one of the states.
func (h *scriptedHost) count(states ...string) (n int) {
	for _, t := range h.tasks {
		if slices.Contains(states, t.state) {
			n++
		}
	}
	return n
}

// advance advances the runs and upstream calls by one batch and returns the lines of those that ended.
func (h *scriptedHost) advance(now int64, second int) (list []string) {
	cores, n := int64(2), int64(h.count("running", "preempting"))
	if h.instance == 3 {
		cores = 1
	}
	runTime := int64(batchInterval)
	if n > cores {
		runTime = batchInterval * cores / n
	}
	if second == 7 {
		runTime /= 3 // the machine is slow, whatever the load
	}
	h.coreUse = 0.9*h.coreUse + 0.1*min(1, float64(n)/float64(cores))
	finish := func(t *task, outcome string) string {
		t.outcome = outcome
		h.finished = append(h.finished, t)
		h.tasks = slices.DeleteFunc(h.tasks, func(x *task) bool { return x == t })
		return fmt.Sprintf("WOUND_UP\tcorr=%s\tstate_code=%s\tspent=%d", t.id, outcome, t.work)
	}
	for _, t := range slices.Clone(h.tasks) {
		switch t.state {
		case "running":
			t.remaining -= runTime
			if t.willCall && t.remaining < t.work/2 {
				t.willCall, t.state = false, "blocked"
				list = append(list, "BLOCKED\tcorr="+t.id)
			} else if t.remaining <= 0 {
				outcome := "Ok"
				if h.rng.IntN(30) == 0 {
					outcome = "Failed"
				}
				list = append(list, finish(t, outcome))
			}
		case "preempting":
			switch {
			case t.answered || t.gone:
				list = append(list, finish(t, "Canceled"))
			case h.preemption == "pause":
				t.state = "paused"
				list = append(list, fmt.Sprintf("WOUND_UP\tcorr=%s\tstate_code=Canceled\tspent=%d", t.id, t.work-t.remaining))
			default:
				t.state, t.remaining = "queued", t.work
				list = append(list, fmt.Sprintf("WOUND_UP\tcorr=%s\tstate_code=Canceled\tspent=%d", t.id, t.work-t.remaining))
			}
		case "blocked", "calling":
			if t.answered || t.gone {
				list = append(list, finish(t, "Canceled"))
			} else if t.state == "calling" && now >= t.endsAt {
				t.state = "blocked"
				if t.outcome == "Ok" {
					t.state = "running"
				}
				list = append(list, fmt.Sprintf("CALL_ENDED\tcorr=%s\tstate_code=%s\tspent=%d", t.id, t.outcome, now-t.callStartedAt))
			}
		case "never started":
			list = append(list, finish(t, "Ignored"))
		case "echo":
			if now >= t.endsAt {
				list = append(list, finish(t, "Ok"))
			}
		}
	}
	return list
}

// submit adds a request of random class, work and attributes, and returns its line.
func (h *scriptedHost) submit(now int64) string {
	h.lastSerial++
	work := h.work()
	t := &task{
		id: fmt.Sprintf("%08d-0000-4000-8000-%012d", h.lastSerial, h.instance), class: h.classes[h.rng.IntN(len(h.classes))],
		state: "queued", remaining: work, work: work, willCall: h.rng.Float64() < h.callChance,
	}
	line := fmt.Sprintf("SUBMIT\tcorr=%s\tfootprint=%d.5\tclass=%s\tfrom=%d\tstanding=%.3f", t.id, 5+h.rng.IntN(60), t.class,
		h.rng.IntN(20), h.rng.Float64())
	if h.sendsDeadline {
		line += fmt.Sprintf("\tdrop_dead=%d\texpected=%d", now+200000+int64(h.rng.IntN(1300000)), work*int64(70+h.rng.IntN(60))/100)
	}
	if h.rng.IntN(3) == 0 {
		line += fmt.Sprintf("\tunread_for=%d", h.rng.IntN(60000))
	}
	if len(h.tenants) > 0 {
		line += "\taccount=" + h.tenants[h.rng.IntN(len(h.tenants))]
	}
	if h.marksRepeats && t.class == "read" {
		line += fmt.Sprintf("\ttarget_key=%016x", h.rng.IntN(30))
	}
	if repeatedID := h.pickRepeated(now, t.class); h.marksRepeats && repeatedID != "" && h.rng.IntN(3) == 0 {
		line += "\tagain_by_client=1\trepeats=" + repeatedID
	}
	h.tasks = append(h.tasks, t)
	return line
}

// work draws the work of a request, in microseconds, around the site's mean. One request in twelve is nine times as large.
func (h *scriptedHost) work() int64 {
	work := h.site.work/2 + int64(h.rng.IntN(int(h.site.work)))
	if h.rng.IntN(12) == 0 {
		work *= 9
	}
	return work
}

// pickRepeated returns the ID of a random request of the class that is unfinished or succeeded and whose key is stored, or "" if there is
// none.
func (h *scriptedHost) pickRepeated(now int64, class string) string {
	var ids []string
	for _, list := range [][]*task{h.tasks, h.finished} {
		for _, t := range list {
			if t.class == class && h.keyExpiry[t.id] > now && (t.outcome == "Ok" || t.outcome == "") {
				ids = append(ids, t.id)
			}
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[h.rng.IntN(len(ids))]
}

// launch returns the line that starts the instance.
func (h *scriptedHost) launch(batch int, cold bool) string {
	return fmt.Sprintf("LAUNCH\tsalt=%d\tparams=%s", 100+batch, strings.Replace(h.params, "COLD", fmt.Sprint(cold), 1))
}

// apply carries out one action of the module.
func (h *scriptedHost) apply(now int64, name string, fields map[string]string) {
	var duration int64
	for _, f := range []string{"span", "patience", "hold_for"} {
		if v, ok := fields[f]; ok {
			fmt.Sscan(v, &duration)
		}
	}
	id := fields["corr"]
	switch name {
	case "DEFER":
		h.timers = append(h.timers, now+duration)
		return
	case "STORE_KEY":
		h.keyExpiry[id] = now + duration
		return
	case "DROP_KEY":
		delete(h.keyExpiry, id)
		return
	}
	i := slices.IndexFunc(h.tasks, func(t *task) bool { return t.id == id })
	if i < 0 {
		return
	}
	t := h.tasks[i]
	switch name {
	case "EXECUTE":
		if t.state == "queued" || t.state == "paused" {
			t.state = "running"
			if t.work == t.remaining && h.rng.IntN(150) == 0 {
				t.state = "never started"
			}
		}
	case "TAKE_OFF":
		if t.state == "running" {
			t.state = "preempting"
		}
	case "PUSH_BACK":
		h.tasks = slices.Delete(h.tasks, i, i+1)
	case "REPORT_FAILURE":
		t.answered = true
		if t.state == "queued" || t.state == "paused" || t.state == "echo" {
			h.tasks = slices.Delete(h.tasks, i, i+1)
		}
	case "ECHO":
		t.state, t.endsAt = "echo", now+int64(1+h.rng.IntN(30))*batchInterval
	case "DO_WITHOUT":
		t.state = "running"
	case "ASK_BELOW":
		h.startCall(now, t, duration)
	}
}

// startCall starts an upstream call and draws its duration and outcome: the upstream is slow, refuses or fails now and then.
func (h *scriptedHost) startCall(now int64, t *task, timeout int64) {
	duration := int64(1+h.rng.IntN(6)) * batchInterval
	t.outcome = "Ok"
	if second := now / 1000000 % 15; second >= 5 && second <= 12 {
		duration *= 9
		if h.rng.IntN(3) == 0 {
			t.outcome, duration = "QueueFull", batchInterval
		}
	}
	if h.rng.IntN(15) == 0 {
		t.outcome = []string{"Failed", "ConnectError", "ResetByPeer"}[h.rng.IntN(3)]
	}
	if duration > timeout {
		t.outcome, duration = "TimedOut", timeout
	}
	t.state, t.callStartedAt, t.endsAt = "calling", now, now+duration
}

// transcript records the lines of both directions: the first ones and the module's log lines in full, a digest of each block, and the
// number of lines of each kind.
type transcript struct {
	head     []string
	logLines []string // lines that the module logs, in full
	digests  []string
	block    []string
	counts   map[string]int
	lines    int
}

// add records one line; direction is > to the program or < from it.
func (r *transcript) add(direction, line string) {
	r.lines++
	name, _, _ := strings.Cut(line, "\t")
	r.counts[direction+" "+name]++
	line = direction + " " + strings.ReplaceAll(line, "\t", " ")
	if len(r.head) < goldenHead {
		r.head = append(r.head, line)
	}
	if name == "NOTE_DOWN" {
		r.logLines = append(r.logLines, fmt.Sprintf("line %d: %s", r.lines, line))
	}
	if r.block = append(r.block, line); len(r.block) == goldenBlock {
		r.closeBlock()
	}
}

// closeBlock ends the current block and adds its digest.
func (r *transcript) closeBlock() {
	sum := fnv.New64a()
	io.WriteString(sum, strings.Join(r.block, "\n"))
	r.digests = append(r.digests, fmt.Sprintf("digest of the lines up to %d: %016x", r.lines, sum.Sum64()))
	r.block = nil
}

// text returns the transcript in the form of the golden file.
func (r *transcript) text() string {
	r.closeBlock()
	var kinds []string
	for kind, n := range r.counts {
		kinds = append(kinds, fmt.Sprintf("count of %s: %d", kind, n))
	}
	slices.Sort(kinds)
	return strings.Join(slices.Concat(r.head, r.logLines, r.digests, kinds), "\n") + "\n"
}

// runScript runs the program with one scripted host per site for all batches and returns the transcript.
func runScript(t *testing.T) *transcript {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	if otherProgram := os.Getenv("BENCHLINK_PROGRAM"); otherProgram != "" {
		exe = otherProgram // a different build to compare with
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
	exited := false
	t.Cleanup(func() {
		if !exited {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
	record := &transcript{counts: map[string]int{}}
	hosts := map[string]*scriptedHost{}
	for _, s := range sites {
		hosts[fmt.Sprint(s.instance)] = &scriptedHost{site: s, rng: rand.New(rand.NewPCG(30, uint64(s.instance))), keyExpiry: map[string]int64{}}
	}
	replies := bufio.NewScanner(out)
	replies.Buffer(nil, 1<<20)
	for batch := range batchCount {
		now := int64(1000000 + batch*batchInterval)
		lines := []string{fmt.Sprintf("CLOCK\tsim_time=%d", now)}
		for _, s := range sites {
			h := hosts[fmt.Sprint(s.instance)]
			list := []string{h.launch(0, false)}
			if batch > 0 {
				list = h.step(now, batch)
			}
			if len(list) > 0 {
				lines = append(append(lines, fmt.Sprintf("SELECT\twho=%d", s.instance)), list...)
			}
		}
		lines = append(lines, "GO")
		for _, l := range lines {
			record.add(">", l)
		}
		if _, err := io.WriteString(in, strings.Join(lines, "\n")+"\n"); err != nil {
			t.Fatal(err)
		}
		var sender *scriptedHost
		for {
			if !replies.Scan() {
				t.Fatalf("the program closed its output in batch %d: %v", batch, replies.Err())
			}
			record.add("<", replies.Text())
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
				sender = hosts[fields["who"]]
				continue
			}
			sender.apply(now, parts[0], fields)
		}
	}
	in.Close()
	exited = true
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
	return record
}

// TestDecisions guards against unintended changes of the module's decisions. A scripted host with a fixed seed sends arrivals, ends of
// runs and upstream calls, disconnects, timers, drains and restarts to the program over the simulator's wire and carries out the
// actions that the program returns. The lines of both directions are compared with a golden file: the first ones in full, the others
// by a digest per block, which shows the approximate place of a difference. The file was recorded before the decisions were split into
// one file per rule. A commit that changes decisions on purpose rewrites the file by
// `go test ./cmd/benchlink -run TestDecisions -update`.
func TestDecisions(t *testing.T) {
	record := runScript(t)
	for _, action := range []string{"EXECUTE", "TAKE_OFF", "DROP_KEY", "KEEPALIVE", "STORE_KEY", "ASK_BELOW", "PUBLISH", "ECHO", "DEFER",
		"PUSH_BACK", "REPORT_FAILURE", "DO_WITHOUT", "REPORT_HEALTH", "NOTE_DOWN"} {
		if record.counts["< "+action] < 5 {
			t.Errorf("%d lines %s, want 5 or more: the script no longer triggers this action", record.counts["< "+action], action)
		}
	}
	if n := record.counts["< FAULT"]; n > 0 {
		t.Errorf("%d FAULT lines, want none", n)
	}
	got := record.text()
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
		t.Errorf("the transcript has %d lines, the golden file %d", len(lines), len(want))
	}
	for i := range min(len(want), len(lines)) {
		if lines[i] != want[i] {
			t.Fatalf("line %d is\n%s\nthe golden file has\n%s", i+1, lines[i], want[i])
		}
	}
}
