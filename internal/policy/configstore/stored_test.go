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

// Members of a group are upgraded one after the other, and each applies the same log: one that read a change otherwise, or wrote
// another snapshot, would hold other rules than its peers without anybody noticing. A change, what it makes of a document, the no that
// it gets, and the whole book at the end stand in testdata as the program wrote them before its names were changed.
func TestLogOfChangesGivesTheSameBook(t *testing.T) {
	b := NewStore()
	play(t, "testdata/book.txt", func(line string) string {
		if line == "book" {
			return text(t, b)
		}
		if name, is := strings.CutPrefix(line, "waits "); is {
			return fmt.Sprintf("%q", b.WaitingFor(b.Documents[name]))
		}
		if name, is := strings.CutPrefix(line, "refused "); is {
			who, why := b.RefusedBy(b.Documents[name])
			return fmt.Sprintf("%q %q", who, why)
		}
		if name, is := strings.CutPrefix(line, "listed "); is {
			return text(t, b.Documents[name].Summary())
		}
		var c Change
		if err := json.Unmarshal([]byte(line), &c); err != nil {
			t.Fatal(err)
		}
		d, err := b.Apply(c)
		if err != nil {
			return "no: " + err.Error()
		}
		return text(t, d)
	})
	// A snapshot is read as it was written, and goes on alike.
	var again Store
	if err := json.Unmarshal([]byte(text(t, b)), &again); err != nil {
		t.Fatal(err)
	}
	if text(t, &again) != text(t, b) {
		t.Error("read again it is another one")
	}
}

// What a process is told and what it says of itself are a wire between builds as well.
func TestProcessReadsAndReportsTheSame(t *testing.T) {
	h := NewReplica("router-1#00000001", map[string]int{"map": 2, "routing": 1})
	h.CheckParts = func(string, map[string]string, bool) error { return nil }
	h.Disabled.Pacing = true
	check := func(_, text string) error {
		if strings.Contains(text, "bad") {
			return fmt.Errorf("it is bad")
		}
		return nil
	}
	terms := lease.Terms{TTL: 3 * time.Second, Drift: 0.05}
	now, index := time.Second, uint64(0)
	var want PartsRequest
	acts := func(take []Update) string {
		var b strings.Builder
		for _, x := range take {
			fmt.Fprintf(&b, "acts on %s %v of format %d, whole %v, parts %v; ", x.Doc, x.Revision.ID, x.Revision.Format, x.Complete, slices.Sorted(maps.Keys(x.Parts)))
		}
		return b.String()
	}
	play(t, "testdata/process.txt", func(line string) string {
		now += time.Second
		switch line {
		case "says":
			return text(t, h.Report())
		case "has":
			return text(t, h.KnownVersions()) + " " + text(t, h.CompleteVersions()) + " " + text(t, h.ActiveVersions()) + " " + text(t, h.OutdatedVersions())
		case "stops":
			return fmt.Sprintf("%q, current %v, asks every %v, until %v", h.StopReason(now), h.IsCurrent(), h.PollInterval(), h.ConfirmedUntil())
		case "wants":
			w, at, ok := h.NextRequest(now)
			want = w
			return fmt.Sprintf("%s %v %v", text(t, w), at, ok)
		case "vain":
			h.RequestFailed()
			return ""
		case "offs":
			return fmt.Sprint(h.TakeMismatches())
		case "again":
			h.Redeliver("map")
			return ""
		}
		if got, is := strings.CutPrefix(line, "got "); is {
			var a struct {
				ID    ID              `json:"id"`
				Parts map[string]Part `json:"parts"`
			}
			if err := json.Unmarshal([]byte(got), &a); err != nil {
				t.Fatal(err)
			}
			return acts(h.ReceiveParts(now, want, a.ID, a.Parts, check))
		}
		var docs map[string]View
		if err := json.Unmarshal([]byte(line), &docs); err != nil {
			t.Fatal(err)
		}
		index++
		return acts(h.Receive(now, index, terms, docs, check))
	})
}

// play gives each line of a file that begins with "< " to a function and compares what it returns with the line that follows.
func play(t *testing.T, file string, do func(line string) string) {
	t.Helper()
	f, err := os.Open(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	n := 0
	for lines.Scan() {
		line, is := strings.CutPrefix(lines.Text(), "< ")
		if !is {
			t.Fatalf("%s: not an input: %q", file, lines.Text())
		}
		lines.Scan()
		if got := "> " + do(line); got != lines.Text() {
			t.Fatalf("%s: %s\n got %s\nwant %s", file, line, got, lines.Text())
		}
		n++
	}
	if lines.Err() != nil || n < 20 {
		t.Fatalf("%s: %d inputs, error %v", file, n, lines.Err())
	}
}

func text(t *testing.T, v any) string {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
