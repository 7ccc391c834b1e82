package benchmarks

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/builtinworker"
	"silverpath/internal/transport/msgpackrpc"
)

// Shared is a service whose processes inherit one listening socket and share one folder.
type Shared struct {
	Addr string
	Dir  string
	// Edit changes the configuration of processes to be started; nil: as it is.
	Edit func(text string) string
	// Args are more arguments of processes to be started, and Env more of their environment.
	Args, Env []string
	// Wait is how long clients wait for an answer.
	Wait time.Duration

	t        testing.TB
	bin      string
	env      []string
	held     bool // the socket is; else each process opens the address
	socket   *os.File
	mu       sync.Mutex
	machines []*builtinworker.Interpreter // an address of the interpreter for each process: it tells only of the runs begun there
}

// Inherit prepares such a service, of a program that is started with more environment. Where the socket is not held, each
// process opens the address by itself.
func Inherit(t testing.TB, bin string, env []string, held bool) *Shared {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Shared{Addr: ln.Addr().String(), Dir: t.TempDir(), t: t, bin: bin, env: env, held: held, Wait: 4 * time.Second}
	if held {
		if s.socket, err = ln.(*net.TCPListener).File(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.socket.Close() })
	}
	return s
}

// all are the machines by now.
func (s *Shared) all() []*builtinworker.Interpreter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.machines)
}

// Runs is how often each sheet was run, in all processes together.
func (s *Shared) Runs() map[string]int {
	all := map[string]int{}
	for _, m := range s.all() {
		for sheet, n := range m.Runs() {
			all[sheet] += n
		}
	}
	return all
}

// Generation is one process of a shared service.
type Generation struct {
	*Process
	File string // its configuration
}

// Start starts a further process and returns once operators can call it.
func (s *Shared) Start() *Generation {
	m, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Thrash: 1, Speed: 1},
		Other:    builtinworker.Class{MinWork: time.Millisecond, MaxWork: 40 * time.Millisecond},
		MemoryKB: 1 << 16, RunFactor: 4, Seed: uint64(len(s.all()) + 1), Audit: true})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(m.Close)
	s.mu.Lock()
	s.machines = append(s.machines, m)
	s.mu.Unlock()
	text := strings.NewReplacer(`"listen":"127.0.0.1:0","mgmt"`, fmt.Sprintf(`"listen":%q,"mgmt"`, s.Addr),
		`"scgi":{"listen":"127.0.0.1:0","deadline_ms":4400},`, "", `"stop_ms":3000`, `"stop_ms":1000`,
		`"memory_span":13170000`, `"memory_span":2000000`).Replace(
		Site{Cores: 8, MemoryKB: 1 << 16, ProcMB: 64, Sockets: 256}.config(m.Addr()))
	if s.Edit != nil {
		text = s.Edit(text)
	}
	file := filepath.Join(s.t.TempDir(), "config.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(s.bin, append([]string{"serve"}, s.Args...)...)
	cmd.Env = append(append(append(os.Environ(), s.env...), s.Env...), "LB_CONFIG="+file, "TMPDIR="+s.Dir)
	if s.held {
		cmd.Env = append(cmd.Env, "LB_SOCKET_FD=3")
		cmd.ExtraFiles = []*os.File{s.socket}
	}
	p, err := launch(cmd)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Kill)
	if _, err := p.Await(comeUp, 0, "mgmt: listening on "); err != nil {
		s.t.Fatalf("no process: %v", err)
	}
	p.found()
	return &Generation{p, file}
}

// Call makes an operator's call and returns the status, 0 for none, and the line that says why.
func Call(addr, text string) (int, string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, text+" HTTP/1.1\r\nHost: x\r\n\r\n")
	b, _ := io.ReadAll(conn)
	if len(b) < 12 {
		return 0, ""
	}
	code, _ := strconv.Atoi(string(b[9:12]))
	_, why, _ := strings.Cut(string(b), "\r\n\r\n")
	return code, strings.TrimSpace(why)
}

// Call makes an operator's call and returns the status.
func (p *Process) Call(text string) int {
	code, _ := Call(p.Mgmt, text)
	return code
}

// Ready waits until the process says that it is.
func (p *Process) Ready(t testing.TB) {
	for deadline := time.Now().Add(20 * time.Second); p.Call("GET /api/ready") != 200; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not ready:\n%s", p.Log())
		}
	}
}

// Leave tells the process to leave and waits until it has, in good order.
func (p *Process) Leave(t testing.TB) {
	if _, err := p.Stop(); err != nil {
		t.Errorf("it left with %v:\n%s", err, p.Log())
	}
}

// Usage is what the process has open, and its memory in bytes.
func (p *Process) Usage() (descriptors, memory int) {
	pid := p.Pid()
	open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var whole, resident, shared int
	_, _ = fmt.Sscan(string(statm), &whole, &resident, &shared)
	return len(open), (resident - shared) * os.Getpagesize()
}

// Sheets is clients that send sheets, each several times, on connections of their own.
type Sheets struct {
	Served, Refused int
	Unheard         int      // connections that were refused, or ended without an answer
	Wrong           []string // what must not be
	Times           []time.Duration
	Tries           []Tried

	s       *Shared
	stop    chan struct{}
	all     sync.WaitGroup
	mu      sync.Mutex
	results map[string]string
	asked   map[string]bool
}

// Tried is one try with its answer, for those who check histories.
type Tried struct {
	Sheet, Outcome, Body string
	From, To             time.Time
}

// Load begins to send, by so many clients at once, up to so many tries of each sheet, with pauses of up to the given time.
func (s *Shared) Load(clients, tries int, pause time.Duration, seed uint64) *Sheets {
	l := &Sheets{s: s, stop: make(chan struct{}), results: map[string]string{}, asked: map[string]bool{}}
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
	ran := slices.ContainsFunc(l.s.all(), func(m *builtinworker.Interpreter) bool { return m.Ran(sheet) })
	conn, err := net.DialTimeout("tcp", l.s.Addr, time.Second)
	if err == nil {
		defer conn.Close()
		conn.SetDeadline(sent.Add(l.s.Wait + 2*time.Second))
		_, err = conn.Write(msgpackrpc.AppendRequest(nil, 1, "oddaja", []byte(sheet), "i", id, "k", sheet,
			"s", strconv.FormatInt(sent.UnixMilli(), 10), "d", strconv.FormatInt(l.s.Wait.Milliseconds(), 10), "m", "1"))
	}
	r := msgpackrpc.Reply{Notification: "none"}
	for in := bufio.NewReader(conn); err == nil && r.Notification != ""; {
		r, err = msgpackrpc.ReadReply(in)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Times = append(l.Times, time.Since(sent))
	l.asked[sheet] = true
	outcome := map[bool]string{true: "refused", false: "failed"}[r.Error == msgpackrpc.ErrorFull]
	if err == nil && r.Error == "" {
		outcome = "served"
	}
	l.Tries = append(l.Tries, Tried{sheet, outcome, string(r.Body), sent, time.Now()})
	switch first := l.results[sheet]; {
	case err != nil:
		l.Unheard++
	case r.Error != "":
		l.Refused++
		if r.Error == msgpackrpc.ErrorFull && ran {
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
	for sheet, n := range l.s.Runs() {
		if n > 1 {
			l.Wrong = append(l.Wrong, fmt.Sprintf("%s was run %d times", sheet, n))
		}
	}
	return l.Wrong
}

// Without returns a JSON text without each of its keys in turn, by the key's path.
func Without(text string) map[string]string {
	list := map[string]string{}
	var visit func(path []string, v *fastjson.Value)
	visit = func(path []string, v *fastjson.Value) {
		if v.Type() == fastjson.TypeObject {
			v.GetObject().Visit(func(key []byte, m *fastjson.Value) {
				at := append(slices.Clone(path), string(key))
				less := fastjson.MustParse(text)
				less.Get(path...).Del(string(key))
				list[strings.Join(at, ".")] = string(less.MarshalTo(nil))
				visit(at, m)
			})
		}
		for i, m := range v.GetArray() {
			visit(append(slices.Clone(path), strconv.Itoa(i)), m)
		}
	}
	visit(nil, fastjson.MustParse(text))
	return list
}

// Harmed reports whether some sheet has run twice by now.
func (l *Sheets) Harmed() bool {
	for _, n := range l.s.Runs() {
		if n > 1 {
			return true
		}
	}
	return false
}

// Asked is the number of sheets of which any try was answered.
func (l *Sheets) Asked() int { return len(l.asked) }

// Unserved are the sheets of which no try was served.
func (l *Sheets) Unserved() (list []string) {
	for sheet := range l.asked {
		if l.results[sheet] == "" {
			list = append(list, sheet)
		}
	}
	return list
}
