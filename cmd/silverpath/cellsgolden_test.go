package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// Guards against a renamed struct field that changes the output of the cells commands: two outputs are
// formatted from field names, and such a change once reached operators' scripts. The output and the exit code
// of each command, for valid and invalid maps, have to equal testdata/cells/commands.txt.
func TestCellsCommandsWriteWhatTheyWrote(t *testing.T) {
	const mapFile, nextFile = "testdata/cells/map.json", "testdata/cells/next.json"
	dir := t.TempDir()
	var got strings.Builder
	command := func(args ...string) {
		t.Helper()
		code, out, message := runCommand(t, "", args...)
		fmt.Fprintf(&got, "$ %s\n[exit %d]\n%s%s", strings.Join(args, " "), code, out, message)
	}
	command("cells", "check", "--map", mapFile)
	command("cells", "check", "--map", nextFile, "--after", mapFile)
	command("cells", "show", "--map", mapFile)
	command("cells", "show", "--json", "--map", mapFile)
	for _, plan := range [][]string{
		{"--tenant", "kvizmojster", "--to", "b", "--json"}, {"--tenant", "krcmarski-kviz", "--to", "a", "--shard", "1"},
		{"--tenant", "krcmarski-kviz", "--to", "c"}, {"--tenant", "nobody", "--to", "a"}, {"--tenant", "kvizmojster", "--to", "z"},
		{"--tenant", "kvizmojster", "--to", "a"}, {"--tenant", "kvizmojster", "--to", "b", "--shard", "9"},
		{"--tenant", "pametna-glava", "--to", "a"},
	} {
		command(append([]string{"cells", "plan", "--map", mapFile}, plan...)...)
	}
	for _, fixture := range []struct {
		file       string
		followsMap bool
	}{{"testdata/cells/bad.json", false}, {"testdata/cells/unfollowing.json", true}} {
		text, err := os.ReadFile(fixture.file)
		if err != nil {
			t.Fatal(err)
		}
		var texts map[string]string
		if err := json.Unmarshal(text, &texts); err != nil {
			t.Fatal(err)
		}
		for _, name := range slices.Sorted(maps.Keys(texts)) {
			path := filepath.Join(dir, name+".json")
			if err := os.WriteFile(path, []byte(texts[name]), 0o600); err != nil {
				t.Fatal(err)
			}
			args := []string{"cells", "check", "--map", path}
			if fixture.followsMap {
				args = append(args, "--after", mapFile)
			}
			command(args...)
		}
	}
	compareWithFile(t, "testdata/cells/commands.txt", maskVolatile(got.String(), dir))
}

// The move, abort and publish commands write the same bytes to a map file as an earlier build did, except for
// times.
func TestCellsCommandsWriteTheSameFiles(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile("testdata/cells/map.json")
	if err != nil {
		t.Fatal(err)
	}
	mapPath, versionsDir := filepath.Join(dir, "map.json"), filepath.Join(dir, "versions")
	if err := os.WriteFile(mapPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, args := range [][]string{
		{"cells", "move", "--map", mapPath, "--tenant", "kvizmojster", "--to", "b", "--shard", "2"},
		{"cells", "abort", "--map", mapPath, "--tenant", "kvizmojster"},
		{"cells", "abort", "--map", mapPath, "--tenant", "krcmarski-kviz"},
		{"cells", "publish", "--map", mapPath, "--to", versionsDir},
		{"cells", "publish", "--map", mapPath, "--to", versionsDir},
	} {
		code, out, message := runCommand(t, "", args...)
		fmt.Fprintf(&got, "$ %s\n[exit %d]\n%s%s", strings.Join(args, " "), code, out, message)
	}
	written, err := os.ReadFile(mapPath)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "map file:\n%s", written)
	entries, err := os.ReadDir(versionsDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range entries {
		text, err := os.ReadFile(filepath.Join(versionsDir, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s: as the map file: %v\n", f.Name(), string(text) == string(written))
	}
	compareWithFile(t, "testdata/cells/written.txt", maskVolatile(got.String(), dir))
}

var (
	dateTimePattern      = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d`)
	currentMillisPattern = regexp.MustCompile(`\b1[78]\d{11}\b`)
)

// maskVolatile replaces the parts of a text that differ in every run: the temporary directory and current
// times.
func maskVolatile(text, dir string) string {
	text = dateTimePattern.ReplaceAllString(strings.ReplaceAll(text, dir, "DIR"), "TIME")
	return currentMillisPattern.ReplaceAllStringFunc(text, func(ms string) string {
		if strings.HasPrefix(ms, "1700000") { // a constant of the fixture
			return ms
		}
		return "MS"
	})
}

// compareWithFile fails the test at the first line in which got differs from a file.
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
		t.Fatalf("%s: %d extra lines, the first is %q", file, len(gotLines)-len(wantLines), gotLines[len(wantLines)])
	}
}
