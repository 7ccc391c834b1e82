// Package harness runs processes of the program for tests and for the lab: it starts them, follows their logs, stops and
// wakes them, and ends them. It is no part of the service.
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
	lineAdded chan struct{} // closed, and made anew, with every line
	ended     chan struct{} // closed at the log's end
	endedAt   time.Time     // when the log ended, or the process was stopped before
	stoppedAt time.Time     // since when it is stopped; zero: it is not
}

// Start starts a process and follows its standard error. It does not outlive the one that started it.
func Start(cmd *exec.Cmd) (*Process, error) {
	p := &Process{cmd: cmd, lineAdded: make(chan struct{}), ended: make(chan struct{})}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	errs, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", cmd.Path, err)
	}
	go p.follow(errs)
	return p, nil
}

func (p *Process) follow(r io.Reader) {
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

// Await waits for a line of the log that has all of some texts, and returns it. From is the number of lines to pass over.
func (p *Process) Await(within time.Duration, from int, texts ...string) (string, error) {
	end := time.NewTimer(within)
	defer end.Stop()
	for {
		p.mu.Lock()
		lineAdded := p.lineAdded
		for ; from < len(p.lines); from++ {
			if line := p.lines[from]; hasAll(line, texts) {
				p.mu.Unlock()
				return line, nil
			}
		}
		p.mu.Unlock()
		select {
		case <-lineAdded:
		case <-p.ended:
			p.mu.Lock()
			more := from < len(p.lines)
			p.mu.Unlock()
			if !more {
				return "", fmt.Errorf("it ended without %q:\n%s", texts, p.Log())
			}
		case <-end.C:
			return "", fmt.Errorf("no %q within %v:\n%s", texts, within, p.Log())
		}
	}
}

func hasAll(line string, texts []string) bool {
	for _, t := range texts {
		if !strings.Contains(line, t) {
			return false
		}
	}
	return true
}

// Lines is the number of lines in the log.
func (p *Process) Lines() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lines)
}

// TextAfter waits for what follows a text in the log, up to the next space.
func (p *Process) TextAfter(within time.Duration, text string) (string, error) {
	line, err := p.Await(within, 0, text)
	if err != nil {
		return "", err
	}
	_, rest, _ := strings.Cut(line, text)
	word, _, _ := strings.Cut(rest, " ")
	return word, nil
}

// Log is all that the process has logged.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Pid is the process's number.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// Freeze stops the process where it is, and returns once the system says that it is stopped.
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

// Stopped reports whether the process is stopped, or gone.
func (p *Process) Stopped() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return true
	}
	rest := stat[bytes.LastIndexByte(stat, ')')+1:]
	return len(rest) > 1 && (rest[1] == 'T' || rest[1] == 'Z')
}

// Wake has it go on.
func (p *Process) Wake() {
	p.mu.Lock()
	p.stoppedAt = time.Time{}
	p.mu.Unlock()
	_ = p.Signal(syscall.SIGCONT)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
	_ = p.cmd.Wait()
}

// Until is when it last did anything: its end, or, of one that was ended while it was stopped, when it was stopped; now where it has
// not ended.
func (p *Process) Until() time.Time {
	select {
	case <-p.ended:
		return p.endedAt
	default:
		return time.Now()
	}
}

// Ended is closed once the process has said its last.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// Wait waits for its end and returns how it ended.
func (p *Process) Wait() error {
	<-p.ended
	return p.cmd.Wait()
}

// Leave sends SIGTERM and waits for the end.
func (p *Process) Leave() error {
	_ = p.Signal(syscall.SIGTERM)
	return p.Wait()
}

// CPU is the time that the process has had on the processors, by /proc in hundredths of a second.
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
