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
		code, out, message := run(t, "", args...)
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
	for _, set := range []struct {
		file  string
		after bool
	}{{"testdata/cells/bad.json", false}, {"testdata/cells/unfollowing.json", true}} {
		text, err := os.ReadFile(set.file)
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
			if set.after {
				args = append(args, "--after", mapFile)
			}
			command(args...)
		}
	}
	same(t, "testdata/cells/commands.txt", masked(got.String(), dir))
}

// The move, abort and publish commands write the same bytes to a map file as an earlier build did, except for
// times.
func TestCellsCommandsWriteTheSameFiles(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile("testdata/cells/map.json")
	if err != nil {
		t.Fatal(err)
	}
	path, folder := filepath.Join(dir, "map.json"), filepath.Join(dir, "versions")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, args := range [][]string{
		{"cells", "move", "--map", path, "--tenant", "kvizmojster", "--to", "b", "--shard", "2"},
		{"cells", "abort", "--map", path, "--tenant", "kvizmojster"},
		{"cells", "abort", "--map", path, "--tenant", "krcmarski-kviz"},
		{"cells", "publish", "--map", path, "--to", folder},
		{"cells", "publish", "--map", path, "--to", folder},
	} {
		code, out, message := run(t, "", args...)
		fmt.Fprintf(&got, "$ %s\n[exit %d]\n%s%s", strings.Join(args, " "), code, out, message)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&got, "map file:\n%s", written)
	list, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range list {
		text, err := os.ReadFile(filepath.Join(folder, f.Name()))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%s: as the map file: %v\n", f.Name(), string(text) == string(written))
	}
	same(t, "testdata/cells/written.txt", masked(got.String(), dir))
}

var (
	dayAndTime = regexp.MustCompile(`\d{4}-\d\d-\d\d \d\d:\d\d:\d\d`)
	presentMS  = regexp.MustCompile(`\b1[78]\d{11}\b`)
)

// masked replaces the parts of a text that differ in every run: the temporary directory and current times.
func masked(text, dir string) string {
	text = dayAndTime.ReplaceAllString(strings.ReplaceAll(text, dir, "DIR"), "TIME")
	return presentMS.ReplaceAllStringFunc(text, func(ms string) string {
		if strings.HasPrefix(ms, "1700000") { // a constant of the fixture
			return ms
		}
		return "MS"
	})
}

// same fails the test at the first line in which got differs from a file.
func same(t *testing.T, file, got string) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	a, b := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range a {
		if i >= len(b) || a[i] != b[i] {
			t.Fatalf("%s:%d: got %q, want %q", file, i+1, strings.Join(b[min(i, len(b)):min(i+1, len(b))], ""), a[i])
		}
	}
	if len(b) > len(a) {
		t.Fatalf("%s: %d extra lines, the first is %q", file, len(b)-len(a), b[len(a)])
	}
}
