package main

import (
	"os/exec"
	"strings"
	"testing"
)

// CI skips the tests that KNOWN-RED.txt lists. The script known-red prints a pattern of exactly these tests.
// It fails if there are more than three, if one does not exist, or if a line lacks its cause or issue.
func TestKnownRed(t *testing.T) {
	names := writeFile(t, "names", "TestOne\nTestTwo\nTestThree\nTestFour\nTestOneMore\n")
	for text, want := range map[string]string{
		"":                            "",
		"# nothing\n\n":               "",
		"TestOne | late | issue 24\n": "^(TestOne)$",
		"TestOne | late, by a pause | issue 24\n# second\nTestTwo | x | issue 5":                                          "^(TestOne|TestTwo)$",
		"TestOne | late | issue 24\nTestTwo | late | issue 24\nTestThree | late | issue 24\nTestFour | late | issue 24\n": "error: over three tests",
		"TestOne | late\n":                       "error: not 'TestName",
		"TestOne |  | issue 24\n":                "error: not 'TestName",
		"TestOne | late | soon\n":                "error: not 'TestName",
		"TestOne/part | late | issue 24\n":       "error: not 'TestName",
		"Test.* | late | issue 24\n":             "error: not 'TestName",
		"TestOn | late | issue 24\n":             "error: no test has the name TestOn",
		"TestFive | late | issue 24\n":           "error: no test has the name TestFive",
		" TestOne | late | issue 24\n":           "error: not 'TestName",
		"TestOne | late | issue 24 | and more\n": "error: not 'TestName",
	} {
		out, err := exec.Command("../../.ci/known-red", writeFile(t, "KNOWN-RED.txt", text), names).CombinedOutput()
		got := strings.TrimSpace(string(out))
		if problem, wantError := strings.CutPrefix(want, "error: "); wantError {
			if err == nil || !strings.Contains(got, problem) {
				t.Errorf("%q: output %q, error %v; want an error with %q", text, got, err, problem)
			}
		} else if err != nil || got != want {
			t.Errorf("%q: output %q, error %v; want %q", text, got, err, want)
		}
	}
	if out, err := exec.Command("../../.ci/known-red", "/nowhere", names).CombinedOutput(); err != nil || len(out) > 0 {
		t.Errorf("missing KNOWN-RED.txt: output %q, error %v", out, err)
	}
}
