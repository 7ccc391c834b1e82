package statemachine

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// The log and the snapshot of a member outlive the build that wrote them, and during an upgrade a group has members of several builds. If
// a renamed identifier changed the stored format, an upgraded member would diverge from the others. An earlier build wrote results.jsonl
// and snapshot from the log in commands.jsonl. This build must come to the same results and the same bytes, and restore the snapshot.
func TestStoredFormatIsThatOfEarlierBuilds(t *testing.T) {
	commands, results, snapshot := lines(t, "testdata/commands.jsonl"), lines(t, "testdata/results.jsonl"), fixture(t, "testdata/snapshot")
	s := New(1)
	if len(commands) != len(results) {
		t.Fatalf("%d commands, %d results", len(commands), len(results))
	}
	for i, line := range commands {
		var c Command
		if err := json.Unmarshal(line, &c); err != nil {
			t.Fatalf("command %d: %v", i+1, err)
		}
		got, err := json.Marshal(s.Apply(c))
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, results[i]) {
			t.Errorf("result of command %d\n%s\n got %s\nwant %s", i+1, line, got, results[i])
		}
	}
	got, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, snapshot) {
		t.Errorf("snapshot\n got %s\nwant %s", got, snapshot)
	}
	restored, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, snapshot) {
		t.Errorf("snapshot of the restored state\n got %s\nwant %s", again, snapshot)
	}
}

// Members of other builds read the commands in logs and messages: decoding and encoding a command must not change its bytes.
func TestCommandFormatIsThatOfEarlierBuilds(t *testing.T) {
	for i, line := range lines(t, "testdata/written.jsonl") {
		var c Command
		if err := json.Unmarshal(line, &c); err != nil {
			t.Fatalf("command %d: %v", i+1, err)
		}
		got, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, line) {
			t.Errorf("command %d\n got %s\nwant %s", i+1, got, line)
		}
	}
}

func fixture(t *testing.T, path string) []byte {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func lines(t *testing.T, path string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSuffix(fixture(t, path), []byte("\n")), []byte("\n"))
}
