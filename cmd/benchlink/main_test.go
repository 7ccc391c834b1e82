package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// TestMain runs main instead of the tests if BENCHLINK_RUN is set, so that tests can start the test binary as benchlink.
func TestMain(m *testing.M) {
	if os.Getenv("BENCHLINK_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// run starts benchlink with the input in and returns its exit code and what it wrote to standard output and standard error.
func run(t *testing.T, in string) (code int, out, message string) {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(exe)
	cmd.Env = append(os.Environ(), "BENCHLINK_RUN=1")
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(in), &stdout, &stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

func TestCleanEnd(t *testing.T) {
	code, out, message := run(t, "CLOCK\tsim_time=1\nGO\n")
	if code != 0 || out != "EOR\n" || message != "" {
		t.Errorf("exit code %d, output %q, message %q", code, out, message)
	}
}

func TestUnreadableLine(t *testing.T) {
	code, out, message := run(t, "CLOCK\tsim_time=1\nGO\nCLOCK\tsim_time=x\nGO\n")
	if code != 1 || out != "EOR\n" || message != "benchlink: line 3: CLOCK: field sim_time: not an integer: \"x\"\n" {
		t.Errorf("exit code %d, output %q, message %q", code, out, message)
	}
}
