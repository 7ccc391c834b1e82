// Package harness runs processes of the program for tests and for the lab. It starts, suspends, resumes and kills them and
// follows their logs. It is not part of the service.
package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a running process of the program.
type Process struct {
	cmd       *exec.Cmd
	mu        sync.Mutex
	log       bytes.Buffer
	lines     []string
	lineAdded chan struct{} // closed and replaced with every line
	ended     chan struct{} // closed at the end of the log
	endedAt   time.Time     // when the log ended, or when the process was stopped if it was killed while stopped
	stoppedAt time.Time     // when Freeze stopped the process; zero if it is not stopped
}

// Start starts a process and follows its standard error as its log. The kernel kills the process if this one dies.
func Start(cmd *exec.Cmd) (*Process, error) {
	p := &Process{cmd: cmd, lineAdded: make(chan struct{}), ended: make(chan struct{})}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("failed to start %s: %w", cmd.Path, err)
	}
	go p.followLog(stderr)
	return p, nil
}

// followLog reads the log until its end.
func (p *Process) followLog(r io.Reader) {
	defer func() {
		p.mu.Lock()
		if p.endedAt = time.Now(); !p.stoppedAt.IsZero() {
			p.endedAt = p.stoppedAt
		}
		p.mu.Unlock()
		close(p.ended)
	}()
	in := bufio.NewReader(r)
	for {
		line, err := in.ReadString('\n')
		if line != "" {
			p.mu.Lock()
			p.log.WriteString(line)
			p.lines = append(p.lines, strings.TrimSuffix(line, "\n"))
			close(p.lineAdded)
			p.lineAdded = make(chan struct{})
			p.mu.Unlock()
		}
		if err != nil {
			return
		}
	}
}

// Await waits for a line of the log that contains all the texts, and returns it. It skips the first from lines. It returns an error if the
// log ends, or if no such line is logged within the given time.
func (p *Process) Await(within time.Duration, from int, texts ...string) (string, error) {
	timeout := time.NewTimer(within)
	defer timeout.Stop()
	for {
		p.mu.Lock()
		lineAdded := p.lineAdded
		for ; from < len(p.lines); from++ {
			if line := p.lines[from]; containsAll(line, texts) {
				p.mu.Unlock()
				return line, nil
			}
		}
		p.mu.Unlock()
		select {
		case <-lineAdded:
		case <-p.ended:
			p.mu.Lock()
			unread := from < len(p.lines)
			p.mu.Unlock()
			if !unread {
				return "", fmt.Errorf("the process ended without a log line with %q:\n%s", texts, p.Log())
			}
		case <-timeout.C:
			return "", fmt.Errorf("no log line with %q within %v:\n%s", texts, within, p.Log())
		}
	}
}

func containsAll(line string, texts []string) bool {
	for _, t := range texts {
		if !strings.Contains(line, t) {
			return false
		}
	}
	return true
}

// LineCount returns the number of lines in the log.
func (p *Process) LineCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lines)
}

// TextAfter waits for a log line that contains text, and returns the word that follows text directly, up to the next space.
func (p *Process) TextAfter(within time.Duration, text string) (string, error) {
	line, err := p.Await(within, 0, text)
	if err != nil {
		return "", err
	}
	_, rest, _ := strings.Cut(line, text)
	value, _, _ := strings.Cut(rest, " ")
	return value, nil
}

// Log returns everything that the process has logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Freeze suspends the process with SIGSTOP. It returns once the kernel reports the process as stopped, or after about 1 s.
func (p *Process) Freeze() {
	_ = p.Signal(syscall.SIGSTOP)
	for range 1000 {
		if p.Stopped() {
			break
		}
		time.Sleep(time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stoppedAt.IsZero() {
		p.stoppedAt = time.Now()
	}
}

// Stopped reports whether the process is stopped or has ended.
func (p *Process) Stopped() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return true
	}
	rest := stat[bytes.LastIndexByte(stat, ')')+1:]
	return len(rest) > 1 && (rest[1] == 'T' || rest[1] == 'Z')
}

// Resume resumes a process that Freeze has suspended.
func (p *Process) Resume() {
	p.mu.Lock()
	p.stoppedAt = time.Time{}
	p.mu.Unlock()
	_ = p.Signal(syscall.SIGCONT)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
	_ = p.cmd.Wait()
}

// LastActiveAt returns the last time at which the process could act. For a process that has ended it is the end, or the time of Freeze if the
// process was killed while it was suspended. For a process that has not ended it is the current time.
func (p *Process) LastActiveAt() time.Time {
	select {
	case <-p.ended:
		return p.endedAt
	default:
		return time.Now()
	}
}

// Ended returns a channel that is closed at the end of the process's log.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits for the end of the process and returns the error of exec.Cmd.Wait.
func (p *Process) Wait() error {
	<-p.ended
	return p.cmd.Wait()
}

// Leave sends SIGTERM and waits for the end of the process, as Wait does.
func (p *Process) Leave() error {
	_ = p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// CPU returns the processor time that the process has used, with the 10 ms resolution of /proc. It returns 0 if the process is gone.
func (p *Process) CPU() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return 0
	}
	f := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
