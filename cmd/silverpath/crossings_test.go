package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Every row of docs/design/crossings.md names code and tests that exist, or states that it has no test.
func TestCrossings(t *testing.T) {
	doc, err := os.ReadFile("../../docs/design/crossings.md")
	if err != nil {
		t.Fatal(err)
	}
	var tests strings.Builder
	err = filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, "_test.go") {
			text, err := os.ReadFile(path)
			tests.Write(text)
			return err
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	testSource := tests.String()
	codePattern, testPattern, rulePattern := regexp.MustCompile("`([a-z_]+(?:/[a-z_]+)+\\.go):([A-Za-z]+)`"), regexp.MustCompile("`(Test[A-Za-z]+)`"), regexp.MustCompile(`"([^"]+)"`)
	rows := 0
	for _, row := range strings.Split(string(doc), "\n") {
		cells := strings.Split(row, " | ")
		if !strings.HasPrefix(row, "| ") || len(cells) != 5 || strings.HasPrefix(row, "| what comes") || strings.HasPrefix(row, "| ---") {
			if strings.HasPrefix(row, "| ") && len(cells) != 5 {
				t.Errorf("row does not have five cells: %s", row)
			}
			continue
		}
		rows++
		places := codePattern.FindAllStringSubmatch(cells[3], -1)
		for _, m := range places {
			text, err := os.ReadFile("../../internal/" + m[1])
			if err != nil || !regexp.MustCompile(`(?m)^func (\([^)]*\) )?`+m[2]+`\(`).Match(text) {
				t.Errorf("%s is not declared in %s: %s", m[2], m[1], row)
			}
		}
		if len(places) == 0 {
			t.Errorf("row names no code: %s", row)
		}
		n := 0
		for _, m := range testPattern.FindAllStringSubmatch(cells[4], -1) {
			if n++; !strings.Contains(testSource, "func "+m[1]+"(") {
				t.Errorf("test %s does not exist: %s", m[1], row)
			}
		}
		for _, m := range rulePattern.FindAllStringSubmatch(cells[4], -1) {
			if n++; !strings.Contains(testSource, `{"`+m[1]+`", func(s *testService)`) {
				t.Errorf("rule %q does not exist: %s", m[1], row)
			}
		}
		if n == 0 && !strings.HasPrefix(cells[4], "none") {
			t.Errorf("row names no test and does not state that it has none: %s", row)
		}
	}
	if rows < 40 {
		t.Errorf("%d rows, want at least 40", rows)
	}
}
