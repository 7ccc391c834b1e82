package main

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// TestMain runs main instead of the tests if SILVERPATH_RUN is set, so that tests start this binary as the
// program.
func TestMain(m *testing.M) {
	if os.Getenv("SILVERPATH_RUN") != "" {
		installTestHooks()
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runCommand executes the program with LB_CONFIG set to config. It returns the exit code, standard output and
// standard error.
func runCommand(t testing.TB, config string, args ...string) (code int, out, message string) {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	var stdout, stderr bytes.Buffer
	cmd := exec.Command(exe, args...)
	cmd.Env = append(os.Environ(), "SILVERPATH_RUN=1", "LB_CONFIG="+config)
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	var exit *exec.ExitError
	if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), stdout.String(), stderr.String()
}

func TestCommands(t *testing.T) {
	if code, out, _ := runCommand(t, "", "version"); code != 0 || !strings.HasPrefix(out, "silverpath ") {
		t.Errorf("version: exit code %d, output %q", code, out)
	}
	code, out, message := runCommand(t, "../../deploy/scgi.json", "check")
	if code != 0 || !strings.Contains(out, "SCGI front: 127.0.0.1:4000") {
		t.Errorf("check: exit code %d, output %q, message %q", code, out, message)
	}
}

// An invalid configuration ends serve and check with exit code 1 and one line that names the field.
func TestBadConfiguration(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"name":"n1","listen":"nowhere"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ config, want string }{
		{"/nowhere/config.json", "silverpath: LB_CONFIG: "},
		{bad, "silverpath: " + bad + ": listen: not an address and port: \"nowhere\"\n"},
	} {
		for _, command := range []string{"serve", "check"} {
			code, out, message := runCommand(t, c.config, command)
			if code != 1 || out != "" || !strings.HasPrefix(message, c.want) || strings.Count(message, "\n") != 1 {
				t.Errorf("%s with %q: exit code %d, output %q, message %q", command, c.config, code, out, message)
			}
		}
	}
}

// An invalid environment variable ends serve with exit code 1, also with a valid configuration. The last line
// names the variable.
func TestBadEnvironment(t *testing.T) {
	for name, values := range map[string]map[string]string{
		"LB_SOCKET_FD": {"x": `LB_SOCKET_FD: no descriptor above 2: "x"`, "2": `LB_SOCKET_FD: no descriptor above 2: "2"`,
			"99": "LB_SOCKET_FD: descriptor 99: "},
		"LB_MGMT": {"nowhere": `LB_MGMT: not an address and port: "nowhere"`},
	} {
		for value, want := range values {
			t.Run(name+" "+value, func(t *testing.T) {
				t.Setenv(name, value)
				code, _, message := runCommand(t, writeServerConfig(t, "n1", "127.0.0.1:1"), "serve")
				if last := message[strings.LastIndex(strings.TrimSpace(message), "\n")+1:]; code != 1 || !strings.Contains(last, want) {
					t.Errorf("exit code %d, message %q", code, message)
				}
			})
		}
	}
}

// Without a configuration, serve uses the built-in worker and serves every class on both fronts. The ask and
// status commands print the answers.
func TestFirstStart(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(exe, "serve", "--listen", "127.0.0.1:0", "--scgi", "127.0.0.1:0")
	cmd.Env = append(os.Environ(), "SILVERPATH_RUN=1", "LB_CONFIG=")
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Wait() }()
	defer func() { _ = cmd.Process.Signal(syscall.SIGTERM) }()
	addrs := map[string]string{}
	builtinWorker := false
	lines := bufio.NewScanner(log)
	for lines.Scan() && !strings.Contains(lines.Text(), "phase serving") {
		for _, front := range []string{"msgpack", "scgi"} {
			if _, addr, ok := strings.Cut(lines.Text(), front+": listening on "); ok {
				addrs[front] = addr
			}
		}
		builtinWorker = builtinWorker || strings.Contains(lines.Text(), "the built-in worker")
	}
	go func() { _, _ = io.Copy(io.Discard, log) }()
	if len(addrs) != 2 || !builtinWorker {
		t.Fatalf("fronts listen on %v, log names the built-in worker: %v", addrs, builtinWorker)
	}
	for front, addr := range addrs {
		for _, class := range []string{"krog", "lestvica", "oddaja"} {
			code, out, message := runCommand(t, "", "ask", "--front", front, "--addr", addr, "--class", class, "--key", front, "--body", "x", "--count", "2")
			if code != 0 || !strings.Contains(out, class+": x") || !strings.Contains(out, "2 asked: 2 served") {
				t.Errorf("%s over %s: exit code %d, output %q, message %q", class, front, code, out, message)
			}
		}
		code, out, message := runCommand(t, "", "status", "--front", front, "--addr", addr)
		if code != 0 || !strings.Contains(out, `"phase":"serving"`) {
			t.Errorf("status over %s: exit code %d, output %q, message %q", front, code, out, message)
		}
	}
	if code, _, message := runCommand(t, "", "ask", "--addr", addrs["msgpack"], "--class", "nothing"); code == 0 || strings.Count(message, "\n") != 1 {
		t.Errorf("unknown class: exit code %d, message %q", code, message)
	}
}
