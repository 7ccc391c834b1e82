package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The test program runs main itself when told to.
func TestMain(m *testing.M) {
	if os.Getenv("SILVERPATH_RUN") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func run(t *testing.T, env string, args ...string) (code int, out, message string) {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(exe, args...)
	cmd.Env = append(os.Environ(), "SILVERPATH_RUN=1", "LB_CONFIG="+env)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

func TestCommands(t *testing.T) {
	if code, out, _ := run(t, "", "version"); code != 0 || !strings.HasPrefix(out, "silverpath ") {
		t.Errorf("version: exit code %d, output %q", code, out)
	}
	code, out, message := run(t, "../../deploy/scgi.json", "check")
	if code != 0 || !strings.Contains(out, "SCGI front: 127.0.0.1:4000") {
		t.Errorf("check: exit code %d, output %q, message %q", code, out, message)
	}
}

// What can't be served is one plain line that names the field, and a non-zero exit.
func TestBadConfiguration(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"name":"n1","listen":"nowhere"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ env, want string }{
		{"", "silverpath: no configuration: set LB_CONFIG or give --config\n"},
		{"/nowhere/config.json", "silverpath: LB_CONFIG: "},
		{bad, "silverpath: " + bad + ": listen: not an address and port: \"nowhere\"\n"},
	} {
		for _, command := range []string{"serve", "check"} {
			code, out, message := run(t, c.env, command)
			if code != 1 || out != "" || !strings.HasPrefix(message, c.want) || strings.Count(message, "\n") != 1 {
				t.Errorf("%s with %q: exit code %d, output %q, message %q", command, c.env, code, out, message)
			}
		}
	}
}
