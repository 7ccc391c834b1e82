package configstore

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// The kind of a field decides whether a change of it applies at once, waits for a window, or quiesces all processes, and rules diff prints
// it. A field without a kind would count as exclusive and stop the fleet. The golden file lists the kind of each field.
func TestFieldsKeepTheirKinds(t *testing.T) {
	var lines []string
	for field, kind := range fieldKinds {
		lines = append(lines, field+" "+kind.String())
	}
	slices.Sort(lines)
	compareWithFile(t, "testdata/kinds.txt", strings.Join(lines, "\n")+"\n")
	if got := KindOf("map", "servers[s1].addr"); got.String() != "announced" {
		t.Errorf("kind of a server's address: %v", got)
	}
	if got := KindOf("map", "servers[3].colour"); got.String() != "unknown" {
		t.Errorf("kind of a field that does not exist: %v", got)
	}
}

// rules diff prints differences as JSON, and they decide whether a change is exclusive.
func TestDifferencesAreWrittenAsTheyWere(t *testing.T) {
	list, err := Diff("map", `{"version":1,"window_ms":5,"cells":[{"name":"a","capacity":4},{"name":"b","capacity":4}],"servers":[{"name":"s1","addr":"x"}]}`,
		`{"version":2,"window_ms":6,"cells":[{"name":"a","capacity":5}],"servers":[{"name":"s1","addr":"y"}],"colour":["red"]}`)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	const want = `[{"path":"cells[a].capacity","old":"4","new":"5","kind":"shared"},{"path":"cells[b].capacity","old":"4","kind":"shared"},` +
		`{"path":"cells[b].name","old":"\"b\"","kind":"exclusive"},{"path":"colour[0]","new":"\"red\"","kind":"unknown"},` +
		`{"path":"servers[s1].addr","old":"\"x\"","new":"\"y\"","kind":"announced"},{"path":"version","old":"1","new":"2","kind":"free"},` +
		`{"path":"window_ms","old":"5","new":"6","kind":"monotone"}]`
	if string(encoded) != want || !HasExclusive(list) || FirstDependent(list) != "cells[a].capacity" {
		t.Errorf("exclusive %v, first dependent %q, got %s", HasExclusive(list), FirstDependent(list), encoded)
	}
}

// Verdicts are names of counters and part of the status of routers and servers. The text of an ID is sent on the wire.
func TestNamesOfVerdicts(t *testing.T) {
	got := fmt.Sprintln(VerdictValid, VerdictOutdated, VerdictConflicting, VerdictSettling, StopUnconfirmed, StopClockSkew, StopQuiescing, MonitorAuthor, StageProposed, StageCanary, StageQuiescing)
	if got != "good behind contradicted quiet unconfirmed clock turning the watch proposed trial turning\n" {
		t.Error(got)
	}
	id := NewID(7, []byte("text"))
	if got := id.String(); got != "7.80a69b9688ccaf52" {
		t.Error(got)
	}
	terms := Terms{Lease: 5 * time.Second, ClockSkew: time.Second, ClockDrift: 0.05, ProbeInterval: 500 * time.Millisecond, ProbeTimeout: time.Second, OverlapWindow: time.Minute}
	if got := fmt.Sprint(terms.DetectionBound(), terms.ConflictBound()); got != "3.157894736s 6.263157894s" {
		t.Error(got)
	}
}

func compareWithFile(t *testing.T, file, got string) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range wantLines {
		if i >= len(gotLines) || wantLines[i] != gotLines[i] {
			t.Fatalf("%s:%d: got %q, want %q", file, i+1, strings.Join(gotLines[min(i, len(gotLines)):min(i+1, len(gotLines))], ""), wantLines[i])
		}
	}
	if len(gotLines) > len(wantLines) {
		t.Fatalf("%s: %d unexpected lines, first %q", file, len(gotLines)-len(wantLines), gotLines[len(wantLines)])
	}
}
