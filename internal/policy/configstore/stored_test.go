package configstore

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"silverpath/internal/policy/lease"
)

// Members of a group are upgraded one after another and apply the same log. A member that read a change differently, or wrote another
// snapshot, would silently diverge from its peers. The golden file has changes as older builds wrote them, the resulting documents, the
// errors and the final store.
func TestLogOfChangesGivesTheSameBook(t *testing.T) {
	store := NewStore()
	replayGolden(t, "testdata/book.txt", func(line string) string {
		if line == "book" {
			return marshal(t, store)
		}
		if name, ok := strings.CutPrefix(line, "waits "); ok {
			return fmt.Sprintf("%q", store.WaitingFor(store.Documents[name]))
		}
		if name, ok := strings.CutPrefix(line, "refused "); ok {
			process, reason := store.RefusedBy(store.Documents[name])
			return fmt.Sprintf("%q %q", process, reason)
		}
		if name, ok := strings.CutPrefix(line, "listed "); ok {
			return marshal(t, store.Documents[name].Summary())
		}
		var c Change
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			t.Fatal(err)
		}
		doc, err := store.Apply(c)
		if err != nil {
			return "no: " + err.Error()
		}
		return marshal(t, doc)
	})
	// A snapshot is decoded without a loss.
	var decoded Store
	if err := json.Unmarshal([]byte(marshal(t, store)), &decoded); err != nil {
		t.Fatal(err)
	}
	if marshal(t, &decoded) != marshal(t, store) {
		t.Error("the decoded snapshot differs")
	}
}

// The answers that a process reads, and its reports, are exchanged between builds of different versions.
func TestProcessReadsAndReportsTheSame(t *testing.T) {
	replica := NewReplica("router-1#00000001", map[string]int{"map": 2, "routing": 1})
	replica.CheckParts = func(string, map[string]string, bool) error { return nil }
	replica.Disabled.Pacing = true
	check := func(_, text string) error {
		if strings.Contains(text, "bad") {
			return fmt.Errorf("it is bad")
		}
		return nil
	}
	terms := lease.Terms{TTL: 3 * time.Second, Drift: 0.05}
	now, index := time.Second, uint64(0)
	var lastRequest PartsRequest
	format := func(updates []Update) string {
		var out strings.Builder
		for _, update := range updates {
			fmt.Fprintf(&out, "acts on %s %v of format %d, whole %v, parts %v; ", update.Doc, update.Revision.ID, update.Revision.Format, update.Complete, slices.Sorted(maps.Keys(update.Parts)))
		}
		return out.String()
	}
	replayGolden(t, "testdata/process.txt", func(line string) string {
		now += time.Second
		switch line {
		case "says":
			return marshal(t, replica.Report())
		case "has":
			return marshal(t, replica.KnownVersions()) + " " + marshal(t, replica.CompleteVersions()) + " " + marshal(t, replica.ActiveVersions()) + " " + marshal(t, replica.OutdatedVersions())
		case "stops":
			return fmt.Sprintf("%q, current %v, asks every %v, until %v", replica.StopReason(now), replica.IsCurrent(), replica.PollInterval(), replica.ConfirmedUntil())
		case "wants":
			request, retryAt, ok := replica.NextRequest(now)
			lastRequest = request
			return fmt.Sprintf("%s %v %v", marshal(t, request), retryAt, ok)
		case "vain":
			replica.RequestFailed()
			return ""
		case "offs":
			return fmt.Sprint(replica.TakeMismatches())
		case "again":
			replica.Redeliver("map")
			return ""
		}
		if got, ok := strings.CutPrefix(line, "got "); ok {
			var answer struct {
				ID    ID              `json:"id"`
				Parts map[string]Part `json:"parts"`
			}
			if err := json.Unmarshal([]byte(got), &answer); err != nil {
				t.Fatal(err)
			}
			return format(replica.ReceiveParts(now, lastRequest, answer.ID, answer.Parts, check))
		}
		var docs map[string]View
		if err := json.Unmarshal([]byte(line), &docs); err != nil {
			t.Fatal(err)
		}
		index++
		return format(replica.Receive(now, index, terms, docs, check))
	})
}

// replayGolden passes each line of a file that begins with "< " to handle, and compares the result with the line that follows.
func replayGolden(t *testing.T, file string, handle func(line string) string) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	inputs := 0
	for lines.Scan() {
		line, ok := strings.CutPrefix(lines.Text(), "< ")
		if !ok {
			t.Fatalf("%s: not an input: %q", file, lines.Text())
		}
		lines.Scan()
		if got := "> " + handle(line); got != lines.Text() {
			t.Fatalf("%s: %s\n got %s\nwant %s", file, line, got, lines.Text())
		}
		inputs++
	}
	if lines.Err() != nil || inputs < 20 {
		t.Fatalf("%s: %d inputs, error %v", file, inputs, lines.Err())
	}
}

func marshal(t *testing.T, v any) string {
	t.Helper()
	encoded, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(encoded)
}
