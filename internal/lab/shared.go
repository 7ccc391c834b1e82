package lab

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/msgpackrpc"
)

// Plant is an interpreter with an address for each process of a service: at each it tells only of the runs that were begun
// there. It notes how often each sheet was run, and every run of a sheet has a result of its own.
type Plant struct {
	mu    sync.Mutex
	runs  map[string]int // by sheet
	since map[string]time.Time
	rng   *rand.Rand
	most  time.Duration // that a run takes
}

// Runs is how often each sheet was run.
func (p *Plant) Runs() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := map[string]int{}
	for sheet, n := range p.runs {
		all[sheet] = n
	}
	return all
}

func (p *Plant) ranBefore(sheet string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ran := p.since[sheet]
	return ran && t.Before(at)
}

// begin notes a run, and returns its result and how long it takes.
func (p *Plant) begin(sheet string) (string, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[sheet]++
	if p.runs[sheet] == 1 {
		p.since[sheet] = time.Now()
	}
	return fmt.Sprintf("%s run %d", sheet, p.runs[sheet]), time.Duration(1 + p.rng.Int64N(int64(p.most)))
}

// Open returns a new address of the interpreter.
func (p *Plant) Open(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		n := 0 // of the last notice at this address; under the lock of the link
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.link(conn, &n)
			conn.Close()
		}
	}()
	return ln.Addr().String()
}

func (p *Plant) link(conn net.Conn, n *int) {
	var mu sync.Mutex
	say := func(count int, format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		if *n += count; count > 0 {
			args = append([]any{*n}, args...)
		}
		fmt.Fprintf(conn, format+"\n", args...)
	}
	for s := bufio.NewScanner(conn); s.Scan(); {
		v := fastjson.MustParse(s.Text())
		switch job := string(v.GetStringBytes("job")); string(v.GetStringBytes("type")) {
		case "CONNECT":
			say(0, `{"type":"BANNER","state":"LOADED","took":60000}`)
		case "TOP":
			say(0, `{"type":"TOPS","ref":"%s","gauges":[0.1,1,0.1,1]}`, v.GetStringBytes("ref"))
		case "APPLY":
			body, _ := base64.StdEncoding.DecodeString(string(v.GetStringBytes("data")))
			result, takes := p.begin(string(body))
			time.AfterFunc(takes, func() {
				say(1, `{"type":"VALUE","n":%d,"job":"%s","state":"PASS","took":5,"data":"%s"}`, job,
					base64.StdEncoding.EncodeToString([]byte(result)))
			})
		}
	}
}

// Shared is a service whose processes inherit one listening socket and share one folder.
type Shared struct {
	Addr  string
	Dir   string
	Plant *Plant
	// Edit changes the configuration of processes to be started; nil: as it is.
	Edit func(text string) string

	t      testing.TB
	bin    string
	env    []string
	held   bool // the socket is; else each process opens the address
	socket *os.File
	n      int
}

// Inherit prepares such a service, of a program that is started with more environment. Where the socket is not held, each
// process opens the address by itself.
func Inherit(t testing.TB, bin string, env []string, held bool, seed uint64, most time.Duration) *Shared {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Shared{Addr: ln.Addr().String(), Dir: t.TempDir(), t: t, bin: bin, env: env, held: held,
		Plant: &Plant{runs: map[string]int{}, since: map[string]time.Time{}, rng: rand.New(rand.NewPCG(seed, 1)), most: most}}
	if held {
		if s.socket, err = ln.(*net.TCPListener).File(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.socket.Close() })
	}
	return s
}

// Generation is one process of a shared service.
type Generation struct {
	File string // its configuration
	cmd  *exec.Cmd
	mgmt string
	mu   sync.Mutex
	log  bytes.Buffer
	over chan struct{}
}

// Start starts a further process and returns once it has logged where operators call.
func (s *Shared) Start() *Generation {
	s.n++
	g := &Generation{File: filepath.Join(s.t.TempDir(), "config.json"), over: make(chan struct{})}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"vm":%q,"mgmt":"127.0.0.1:0","stop_ms":1000,
 "limits":{"memory_mb":64,"sockets":256},"settings":{
 "classes":[{"name":"oddaja","target":900000,"deadline":1000000,"worth":3,"effect":"token","memory_span":2000000}],
 "family_info":{"below":"none","callers":2,"cpus":8,"gauges":["core_use","on_cores","heap_share","links"],"key_kb":0.1,
 "memory_kb":65536,"run_factor":1},"rules":{"cold_from":1,"fall_multiple":8,"overload_for":3000000,"drain_grace":500000},
 "limits":{"retry_after":true,"max_retry_after":100000},"servers":1}}`, s.Addr, s.Plant.Open(s.t))
	if s.Edit != nil {
		text = s.Edit(text)
	}
	if err := os.WriteFile(g.File, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	g.cmd = exec.Command(s.bin, "serve")
	g.cmd.Env = append(append(os.Environ(), s.env...), "LB_CONFIG="+g.File, "TMPDIR="+s.Dir)
	if s.held {
		g.cmd.Env = append(g.cmd.Env, "LB_SOCKET_FD=3")
		g.cmd.ExtraFiles = []*os.File{s.socket}
	}
	log, err := g.cmd.StderrPipe()
	if err == nil {
		err = g.cmd.Start()
	}
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(g.Kill)
	told := make(chan string, 1)
	go func() {
		defer close(g.over)
		for lines := bufio.NewScanner(log); lines.Scan(); {
			g.mu.Lock()
			fmt.Fprintln(&g.log, lines.Text())
			g.mu.Unlock()
			if _, addr, ok := strings.Cut(lines.Text(), "mgmt: listening on "); ok {
				told <- addr
			}
		}
		g.cmd.Wait()
	}()
	select {
	case g.mgmt = <-told:
	case <-time.After(20 * time.Second):
		s.t.Fatalf("no process:\n%s", g.Log())
	}
	return g
}

// Log is what the process has logged.
func (g *Generation) Log() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.log.String()
}

// Call makes an operator's call and returns the status, 0 for none, and the line that says why.
func Call(addr, text string) (int, string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(conn, text+" HTTP/1.1\r\nHost: x\r\n\r\n")
	b, _ := io.ReadAll(conn)
	if len(b) < 12 {
		return 0, ""
	}
	code, _ := strconv.Atoi(string(b[9:12]))
	_, why, _ := strings.Cut(string(b), "\r\n\r\n")
	return code, strings.TrimSpace(why)
}

// Call makes an operator's call and returns the status.
func (g *Generation) Call(text string) int {
	code, _ := Call(g.mgmt, text)
	return code
}

// Ready waits until the process says that it is.
func (g *Generation) Ready(t testing.TB) {
	for deadline := time.Now().Add(20 * time.Second); g.Call("GET /api/ready") != 200; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not ready:\n%s", g.Log())
		}
	}
}

// Signal sends a signal.
func (g *Generation) Signal(s syscall.Signal) { g.cmd.Process.Signal(s) }

// Kill ends the process at once.
func (g *Generation) Kill() {
	g.cmd.Process.Kill()
	<-g.over
}

// Leave tells the process to leave and waits until it has, in good order.
func (g *Generation) Leave(t testing.TB) {
	g.Signal(syscall.SIGTERM)
	select {
	case <-g.over:
	case <-time.After(20 * time.Second):
		t.Fatalf("it does not leave:\n%s", g.Log())
	}
	if code := g.cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("exit code %d:\n%s", code, g.Log())
	}
}

// Usage is what the process has open, and its memory in bytes.
func (g *Generation) Usage() (descriptors, memory int) {
	pid := g.cmd.Process.Pid
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var whole, resident, shared int
	fmt.Sscan(string(statm), &whole, &resident, &shared)
	return len(open), (resident - shared) * os.Getpagesize()
}

// Sheets is clients that send sheets, each several times, on connections of their own.
type Sheets struct {
	Served, Refused int
	Unheard         int      // connections that were refused, or ended without an answer
	Wrong           []string // what must not be
	Times           []time.Duration

	s       *Shared
	stop    chan struct{}
	all     sync.WaitGroup
	mu      sync.Mutex
	results map[string]string
}

// Load begins to send, by so many clients at once, up to so many tries of each sheet, with pauses of up to the given time.
func (s *Shared) Load(clients, tries int, pause time.Duration, seed uint64) *Sheets {
	l := &Sheets{s: s, stop: make(chan struct{}), results: map[string]string{}}
	for c := range clients {
		l.all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				sheet := fmt.Sprintf("sheet-%d-%d", c, n)
				var all sync.WaitGroup
				for try := range 1 + rng.IntN(tries) {
					wait := time.Duration(rng.Int64N(int64(pause)))
					all.Go(func() {
						time.Sleep(wait)
						l.Ask(sheet, fmt.Sprintf("%08x%04x%04x", c, n, try))
					})
				}
				all.Wait()
			}
		})
	}
	return l
}

// Ask makes one try on a new connection.
func (l *Sheets) Ask(sheet, id string) {
	sent := time.Now()
	conn, err := net.DialTimeout("tcp", l.s.Addr, time.Second)
	if err == nil {
		defer conn.Close()
		conn.SetDeadline(sent.Add(3 * time.Second))
		_, err = conn.Write(msgpackrpc.AppendRequest(nil, 1, "oddaja", []byte(sheet), "i", id, "k", sheet,
			"s", strconv.FormatInt(sent.UnixMilli(), 10), "d", "1000", "m", "1"))
	}
	r := msgpackrpc.Reply{Notification: "none"}
	for in := bufio.NewReader(conn); err == nil && r.Notification != ""; {
		r, err = msgpackrpc.ReadReply(in)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Times = append(l.Times, time.Since(sent))
	switch first := l.results[sheet]; {
	case err != nil:
		l.Unheard++
	case r.Error != "":
		l.Refused++
		if r.Error == "Full" && l.s.Plant.ranBefore(sheet, sent) {
			l.Wrong = append(l.Wrong, sheet+" had run and was refused")
		}
	default:
		l.Served++
		if first != "" && first != string(r.Body) {
			l.Wrong = append(l.Wrong, fmt.Sprintf("%s: %q and %q", sheet, first, r.Body))
		}
		l.results[sheet] = string(r.Body)
	}
}

// End stops the load and says what must not be, whatever happened.
func (l *Sheets) End() []string {
	close(l.stop)
	l.all.Wait()
	for sheet, n := range l.s.Plant.Runs() {
		if n > 1 {
			l.Wrong = append(l.Wrong, fmt.Sprintf("%s was run %d times", sheet, n))
		}
	}
	return l.Wrong
}
