package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"silverpath/internal/transport/client"
)

// The files in testdata/durable were written by an earlier build: killed.db and the heartbeat
// file "life" by a service that was killed during a run, closed.db by one that closed its store cleanly. Their
// times count from the boot with the ID "golden" of the machine "golden-machine". The newest record was written
// 1 h and 500 ms after that boot, and every record is relevant for 13 s.
const (
	sameStart    = "SILVERPATH_BOOT=golden 1h2s golden-machine"
	nextStart    = "SILVERPATH_BOOT=next 2s golden-machine"
	muchLater    = "SILVERPATH_BOOT=next 9h golden-machine"
	otherMachine = "SILVERPATH_BOOT=golden 1h2s other-machine"
)

// copyFixture copies a file of testdata/durable to a path where the test may change it.
func copyFixture(t *testing.T, name, to string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "durable", name))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return to
}

// databaseEntries returns the raw entries of a database file, by bucket and key.
func databaseEntries(t *testing.T, path string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true, Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	entries := map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				entries[fmt.Sprintf("%s %x", name, k)] = fmt.Sprintf("%x", v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return entries
}

// runAfterBoot runs a command of the program on the machine, boot and uptime that start sets. In the returned
// output DIR replaces dir, and # replaces two values that differ in every run: the ID of a new store and the
// time since the heartbeat.
func runAfterBoot(t *testing.T, start, dir string, args ...string) string {
	t.Helper()
	name, value, _ := strings.Cut(start, "=")
	t.Setenv(name, value)
	_, out, message := runCommand(t, "", args...)
	text := strings.ReplaceAll(out+message, dir, "DIR")
	text = regexp.MustCompile(`store [0-9a-f]{16}`).ReplaceAllStringFunc(text, func(s string) string {
		if s == "store 9acbc6b3623ae8fa" {
			return s
		}
		return "store #"
	})
	return regexp.MustCompile(`for \d+(\.\d+)?s at the least, by process`).ReplaceAllString(text, "for #s at the least, by process")
}

// Operators inspect files that an earlier build wrote, and tools read the output. Guards against a record, a
// store header or a heartbeat that is decoded differently, and against a renamed state: the output is
// compared literally.
func TestCommandsOnFilesOfAnEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	killed, closed := copyFixture(t, "killed.db", filepath.Join(dir, "killed", "keys.db")), copyFixture(t, "closed.db", filepath.Join(dir, "closed", "keys.db"))
	life := copyFixture(t, "life", filepath.Join(dir, "life"))
	other, next := filepath.Join(dir, "other"), filepath.Join(dir, "next")
	torn := filepath.Join(dir, "torn")
	if err := os.WriteFile(torn, []byte(`{"sign":{"Name":"lab","Machine":"golden-machine","Boot":"golden","Up":1,"Valid":400000000},"sum":4236047623}`), 0o600); err != nil {
		t.Fatal(err)
	}
	const done = `{"seq":1,"state":"done","key":"\u0000done-0","id":"599fd7f59d7b54e3","window_ms":10000,"reached_ms":3600022,"until_ms":3613022,"result_bytes":19}
{"seq":2,"state":"done","key":"\u0000done-1","id":"130fb6013326afcb","window_ms":10000,"reached_ms":3600065,"until_ms":3613065,"result_bytes":19}
{"seq":3,"state":"running","key":"\u0000promised-0","id":"ff75a9b0e044a794","window_ms":10000,"reached_ms":3600073,"until_ms":3613073,"result_bytes":0}
`
	for _, c := range []struct {
		start string
		args  []string
		want  string
	}{
		{sameStart, []string{"store", "dump", "--dir", killed}, done},
		{sameStart, []string{"store", "dump", "--dir", filepath.Dir(closed)}, done +
			`{"seq":4,"state":"moved","key":"\u0000moved-0","id":"aaaaaaaaaaaaaaaa","window_ms":10000,"reached_ms":3613500,"until_ms":3613500,"result_bytes":0}
`},
		{sameStart, []string{"store", "check", "--dir", killed}, `DIR/killed/keys.db: store 9acbc6b3623ae8fa of lab, format 1, 32 KB
  whole: true, closed in good order: false, from the machine's present start: true
  3 records, 0 KB
  done: 2
  running: 1
`},
		{nextStart, []string{"store", "check", "--dir", closed}, `DIR/closed/keys.db: store 9acbc6b3623ae8fa of lab, format 1, 32 KB
  whole: true, closed in good order: true, from the machine's present start: false
  4 records, 0 KB
  done: 2
  moved: 1
  running: 1
`},
		{nextStart, []string{"store", "import", "--dir", next, "--name", "lab2", "--from", killed, "--whole"},
			"silverpath: DIR/killed/keys.db: it is a copy of a store in use, and so not whole\n"},
		{otherMachine, []string{"store", "import", "--dir", other, "--name", "lab2", "--from", closed}, "4 records\n"},
		{otherMachine, []string{"store", "import", "--dir", other, "--name", "lab2", "--from", closed}, "silverpath: DIR/other/keys.db: there is one already\n"},
		{otherMachine, []string{"store", "check", "--dir", other}, `DIR/other/keys.db: store # of lab2, format 1, 32 KB
  whole: false, closed in good order: true, from the machine's present start: true
  4 records, 0 KB
  done: 2
  failed: 1
  moved: 1
`},
		{nextStart, []string{"store", "import", "--dir", next, "--name", "lab2", "--from", closed, "--whole"}, "4 records\n"},
		// The same machine has booted since: the last record counts as if it had been written at that boot.
		{nextStart, []string{"store", "dump", "--dir", next}, `{"seq":1,"state":"done","key":"\u0000done-0","id":"599fd7f59d7b54e3","window_ms":10000,"reached_ms":-478,"until_ms":12521,"result_bytes":19}
{"seq":2,"state":"done","key":"\u0000done-1","id":"130fb6013326afcb","window_ms":10000,"reached_ms":-435,"until_ms":12564,"result_bytes":19}
{"seq":3,"state":"failed","key":"\u0000promised-0","id":"ff75a9b0e044a794","window_ms":10000,"reached_ms":-427,"until_ms":12572,"result_bytes":0}
{"seq":4,"state":"moved","key":"\u0000moved-0","id":"aaaaaaaaaaaaaaaa","window_ms":10000,"reached_ms":12999,"until_ms":12999,"result_bytes":0}
`},
		{sameStart, []string{"store", "compact", "--dir", filepath.Dir(killed)}, "32 KB, were 32\n"},
		{sameStart, []string{"recover", "inspect", killed, life, torn, dir}, `DIR/killed/keys.db: runs of keyed requests of lab, trusted: trusted
  store 9acbc6b3623ae8fa, 3 records, 0 KB
  done: 2
  running: 1
  whole: true, closed in good order: false, from the machine's present start: true
DIR/life: sign of life of lab, trusted: trusted
  of the machine "golden-machine", 1h0m0.01s after it was switched on
  seen from here and now: nothing was begun for #s at the least, by process
DIR/torn: sign of life, trusted: never
  wrong: DIR/torn: its checksum is not of what it says
DIR: unknown, trusted: never
  wrong: nothing that this program writes
silverpath: some of it can't be trusted: keep it as it is
`},
		{otherMachine, []string{"recover", "inspect", "--json", life, closed}, `[
  {
    "path": "DIR/life",
    "kind": "sign of life",
    "of": "lab",
    "says": [
      "of the machine \"golden-machine\", 1h0m0.01s after it was switched on",
      "seen from here and now: nothing was begun for 0s at the least, by nothing"
    ],
    "trust": "trusted"
  },
  {
    "path": "DIR/closed/keys.db",
    "kind": "runs of keyed requests",
    "of": "lab",
    "says": [
      "store 9acbc6b3623ae8fa, 4 records, 0 KB",
      "done: 2",
      "moved: 1",
      "running: 1",
      "whole: true, closed in good order: true, from the machine's present start: true"
    ],
    "trust": "trusted"
  }
]
`},
	} {
		if got := runAfterBoot(t, c.start, dir, c.args...); got != c.want {
			t.Errorf("%s: %v prints\n%s\nwant\n%s", c.start, c.args, got, c.want)
		}
	}
	// Compaction rewrites every record. The bytes have to equal those of the earlier build.
	before := databaseEntries(t, filepath.Join("testdata", "durable", "killed.db"))
	if after := databaseEntries(t, killed); len(before) != 4 || !maps.Equal(before, after) {
		t.Errorf("entries after compaction: %v, want %v", after, before)
	}
}

// extendTimeouts gives requests the whole time of their class, so that they do not fail on the slow disk of a
// busy machine.
func extendTimeouts(d *durableService) {
	d.Timeout = 4 * time.Second
	d.Edit = func(text string) string {
		return strings.Replace(text, `"memory_span":2000000`, `"memory_span":10000000`, 1)
	}
}

// A newer build starts on the store directory of an older one. If it misread a run, a result or a mark, a
// request would take effect twice or be lost. The test repeats each request after every kind of start.
func TestServiceOnStoreOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	for _, start := range []string{sameStart, nextStart, muchLater, otherMachine} {
		for _, file := range []string{"killed.db", "closed.db"} {
			t.Run(file+" "+start, func(t *testing.T) {
				d := newDurableService(t)
				extendTimeouts(d)
				path := copyFixture(t, file, filepath.Join(d.dir, "keys.db"))
				g := d.startLoaded(start)
				type answer struct{ outcome, body string }
				newRun := func(key string) answer { return answer{"served", "oddaja: " + key + " #1."} }
				want := map[string]answer{"done-0": {"served", "oddaja: done-0 #1.0"}, "done-1": {"served", "oddaja: done-1 #1.1"},
					"promised-0": {"failed", ""}, "moved-0": {"refused", ""}, "withdrawn-0": newRun("withdrawn-0"), "new": newRun("new")}
				runs := map[string]int{"withdrawn-0": 1, "new": 1}
				if file == "killed.db" { // that key had not been requested yet
					want["moved-0"], runs["moved-0"] = newRun("moved-0"), 1
				}
				if start == muchLater { // every window is over
					for key := range want {
						want[key], runs[key] = newRun(key), 1
					}
				}
				isNewRun := func(key string) bool { return strings.HasSuffix(want[key].body, "#1.") }
				keys := slices.SortedFunc(maps.Keys(want), func(a, b string) int { // stored keys first: their windows expire
					return strings.Compare(fmt.Sprint(isNewRun(a), a), fmt.Sprint(isNewRun(b), b))
				})
				for _, key := range keys {
					w, a := want[key], d.sendAttempt(key, key)
					same := string(a.Body) == w.body
					if isNewRun(key) { // a new run, numbered in order; a busy machine's slow disk refuses it before it begins
						for end := time.Now().Add(20 * time.Second); a.Outcome == "refused" && time.Now().Before(end); a = d.sendAttempt(key, key) {
							time.Sleep(100 * time.Millisecond)
						}
						same = strings.HasPrefix(string(a.Body), w.body)
					}
					if a.Outcome != w.outcome || !same {
						t.Errorf("%s: %s %q, want %s %q", key, a.Outcome, a.Body, w.outcome, w.body)
					}
				}
				if got := d.Runs(); !maps.Equal(got, runs) {
					t.Errorf("%v ran, want %v", got, runs)
				}
				var status struct{ Store map[string]any }
				text, err := client.Status(client.MessagePack, d.Addr)
				if err == nil {
					err = json.Unmarshal(text, &status)
				}
				if err != nil {
					t.Fatalf("%s: %v", text, err)
				}
				if names := slices.Sorted(maps.Keys(status.Store)); !slices.Equal(names, []string{"bytes", "expected", "known", "limit", "live", "loaded",
					"pace_us", "phase", "reserved"}) || status.Store["phase"] != "open" || status.Store["known"] != true {
					t.Errorf("status of the store: %v, want phase open, known true and exactly the listed fields", status.Store)
				}
				g.Leave(t)
				// The earlier build has to read what this one wrote: the header by field names, a record by
				// byte offsets.
				entries := databaseEntries(t, path)
				var header []byte
				fmt.Sscanf(entries["meta 6d657461"], "%x", &header)
				machine, boot := "golden-machine", strings.Fields(strings.TrimPrefix(start, "SILVERPATH_BOOT="))[0]
				if start == otherMachine {
					machine = "other-machine" // its boot has the same name and a later time, so no times are shifted
				}
				if !regexp.MustCompile(`^\{"format":1,"id":"9acbc6b3623ae8fa","name":"lab","machine":"` + machine + `","boot":"` + boot +
					`","since_ns":-?\d+,"whole":true,"wall_ms":\d+,"clean":true\}$`).Match(header) {
					t.Errorf("store header %s", header)
				}
				recordsByState := map[byte]int{}
				for name, text := range entries {
					if !strings.HasPrefix(name, "keys ") {
						continue
					}
					var b []byte
					fmt.Sscanf(text, "%x", &b)
					want := crc32.Checksum(b[4:], crc32.MakeTable(crc32.Castagnoli))
					if sum, _ := strconv.ParseUint(fmt.Sprintf("%x", b[:4]), 16, 32); uint32(sum) != want {
						t.Errorf("%s: checksum %x, want %x", name, sum, want)
					}
					recordsByState[b[4]]++
				}
				wantStates := map[byte]int{3: 2 + len(runs)}
				switch start {
				case muchLater:
					wantStates[3] = len(runs)
				case nextStart:
					wantStates[4] = 1
				default:
					wantStates[2] = 1
				}
				if file == "closed.db" && start != muchLater {
					wantStates[5] = 1
				}
				if !maps.Equal(recordsByState, wantStates) {
					t.Errorf("records by state: %v, want %v", recordsByState, wantStates)
				}
			})
		}
	}
}

// A service starts with the heartbeat file of an earlier build. If it misread the file, it would take a short
// outage for a long one and run again what may have run, or a long one for a short one and serve nothing
// without a reason.
func TestServiceOnSignOfLifeOfAnEarlierBuild(t *testing.T) {
	t.Parallel()
	for start, want := range map[string]string{
		sameStart:    `heartbeat: nothing that has an effect was begun for \d+(\.\d+)?s at the least, by process\n`,
		muchLater:    `heartbeat: nothing that has an effect was begun for 9h0m\d\S*s at the least, by machine\n`,
		otherMachine: `heartbeat: nothing that has an effect was begun for 0s at the least, by nothing\n`,
	} {
		t.Run(start, func(t *testing.T) {
			d := newDurableService(t)
			d.configureHeartbeat(400*time.Millisecond, true)
			path := copyFixture(t, "life", filepath.Join(filepath.Dir(d.dir), "life"))
			g := d.startLoaded(start)
			if !regexp.MustCompile(want).MatchString(g.Log()) {
				t.Errorf("want %s in\n%s", want, g.Log())
			}
			g.Leave(t)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			fields := strings.Fields(strings.TrimPrefix(start, "SILVERPATH_BOOT="))
			m := regexp.MustCompile(`^\{"sign":(\{"Name":"lab","Machine":"` + fields[2] + `","Boot":"` + fields[0] +
				`","Up":\d+,"Valid":400000000\}),"sum":(\d+)\}$`).FindSubmatch(text)
			if m == nil {
				t.Fatalf("heartbeat file %s", text)
			}
			if sum, _ := strconv.ParseUint(string(m[2]), 10, 32); uint32(sum) != crc32.ChecksumIEEE(m[1]) {
				t.Errorf("checksum %d, want %d", sum, crc32.ChecksumIEEE(m[1]))
			}
		})
	}
}

// A store directory and a heartbeat file belong to one service. A service of another name does not start on
// them, and its error message names the owner.
func TestFilesOfAnotherServiceOfAnEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	copyFixture(t, "closed.db", filepath.Join(dir, "keys", "keys.db"))
	copyFixture(t, "life", filepath.Join(dir, "life"))
	for edge, want := range map[string]string{
		fmt.Sprintf(`{"store":{"dir":%q,"size_mb":8}}`, filepath.Join(dir, "keys")):    `DIR/keys/keys.db: it is of the service "lab", not of "n1"`,
		fmt.Sprintf(`{"life":{"file":%q,"valid_ms":400}}`, filepath.Join(dir, "life")): `DIR/life: it is of the service "lab", not of "n1"`,
	} {
		exe, err := os.Executable()
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second) // a service that starts despite the file does not exit
		defer cancel()
		cmd := exec.CommandContext(ctx, exe, "serve", "--edge", writeFile(t, "edge.json", edge))
		cmd.Env = append(os.Environ(), "SILVERPATH_RUN=1", "LB_CONFIG="+writeServerConfig(t, "n1", "127.0.0.1:1"))
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != 1 || !strings.Contains(strings.ReplaceAll(string(out), dir, "DIR"), want) {
			t.Errorf("exit code %d, message %q, want %q", code, out, want)
		}
	}
}
