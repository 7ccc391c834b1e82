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

// Shared is a service whose processes share one listening address and one directory.
type Shared struct {
	Addr string
	Dir  string
	// Edit changes the configuration text of processes started later; nil leaves it unchanged.
	Edit func(text string) string
	// Args and Env are added to the arguments and the environment of processes started later.
	Args, Env []string
	// Timeout is the timeout that clients send with a request.
	Timeout time.Duration

	t             testing.TB
	bin           string
	env           []string
	inheritSocket bool // processes inherit the socket; otherwise each process opens the address
	socket        *os.File
	mu            sync.Mutex
	interpreters  []*builtinworker.Interpreter // one per process, so that each counts only the runs of its process
}

// NewShared prepares a shared service for the binary bin, whose processes get env added to their environment.
// If inheritSocket is set, the processes inherit one listening socket; otherwise each process opens the
// address itself.
func NewShared(t testing.TB, bin string, env []string, inheritSocket bool) *Shared {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	s := &Shared{Addr: ln.Addr().String(), Dir: t.TempDir(), t: t, bin: bin, env: env, inheritSocket: inheritSocket, Timeout: 4 * time.Second}
	if inheritSocket {
		if s.socket, err = ln.(*net.TCPListener).File(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.socket.Close() })
	}
	return s
}

// allInterpreters returns the interpreters created so far.
func (s *Shared) allInterpreters() []*builtinworker.Interpreter {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.interpreters)
}

// Runs returns the number of runs of each request body, summed over all processes.
func (s *Shared) Runs() map[string]int {
	all := map[string]int{}
	for _, m := range s.allInterpreters() {
		for body, n := range m.Runs() {
			all[body] += n
		}
	}
	return all
}

// Generation is one process of a shared service.
type Generation struct {
	*Process
	File string // path of its configuration
}

// Start starts a further process with its own interpreter and returns once its management address is
// listening.
func (s *Shared) Start() *Generation {
	m, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Thrash: 1, Speed: 1},
		DefaultClass: builtinworker.Class{MinWork: time.Millisecond, MaxWork: 40 * time.Millisecond},
		MemoryKB:     1 << 16, RunFactor: 4, Seed: uint64(len(s.allInterpreters()) + 1), Audit: true})
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(m.Close)
	s.mu.Lock()
	s.interpreters = append(s.interpreters, m)
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
	if s.inheritSocket {
		cmd.Env = append(cmd.Env, "LB_SOCKET_FD=3")
		cmd.ExtraFiles = []*os.File{s.socket}
	}
	p, err := launch(cmd)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(p.Kill)
	if _, err := p.Await(startTimeout, 0, "mgmt: listening on "); err != nil {
		s.t.Fatalf("process did not log its management address: %v", err)
	}
	p.readAddresses()
	return &Generation{p, file}
}

// Call sends a management request and returns the HTTP status, or 0 if there was no answer, and the response
// body.
func Call(addr, request string) (int, string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, request+" HTTP/1.1\r\nHost: x\r\n\r\n")
	b, _ := io.ReadAll(conn)
	if len(b) < 12 {
		return 0, ""
	}
	code, _ := strconv.Atoi(string(b[9:12]))
	_, body, _ := strings.Cut(string(b), "\r\n\r\n")
	return code, strings.TrimSpace(body)
}

// Call sends a management request to the process and returns the HTTP status, or 0 if there was no answer.
func (p *Process) Call(text string) int {
	code, _ := Call(p.Mgmt, text)
	return code
}

// AwaitReady waits until the readiness check of the process succeeds and fails the test after 20 s.
func (p *Process) AwaitReady(t testing.TB) {
	for deadline := time.Now().Add(20 * time.Second); p.Call("GET /api/ready") != 200; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("process not ready after 20s; its log:\n%s", p.Log())
		}
	}
}

// Leave stops the process and reports a test error unless it exits cleanly.
func (p *Process) Leave(t testing.TB) {
	if _, err := p.Stop(); err != nil {
		t.Errorf("process exited with %v; its log:\n%s", err, p.Log())
	}
}

// Usage returns the number of open file descriptors of the process and its resident unshared memory in bytes.
func (p *Process) Usage() (descriptors, memory int) {
	pid := p.Pid()
	descriptorList, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var whole, resident, shared int
	_, _ = fmt.Sscan(string(statm), &whole, &resident, &shared)
	return len(descriptorList), (resident - shared) * os.Getpagesize()
}

// KeyedLoad is a load of requests with idempotency keys, each sent several times on separate connections.
type KeyedLoad struct {
	Served, Refused int
	Unanswered      int      // connections that were refused or ended without an answer
	Violations      []string // violations of the rules, one text each
	Times           []time.Duration
	Attempts        []Attempt

	s        *Shared
	stop     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	results  map[string]string
	finished map[string]bool
}

// Attempt is one attempt with its answer, for checks of the history.
type Attempt struct {
	Key, Outcome, Body string
	From, To           time.Time
}

// Load starts the given number of concurrent clients. Each sends one request after the other, each in 1 to
// tries parallel attempts that start after a random time of up to pause.
func (s *Shared) Load(clients, tries int, pause time.Duration, seed uint64) *KeyedLoad {
	l := &KeyedLoad{s: s, stop: make(chan struct{}), results: map[string]string{}, finished: map[string]bool{}}
	for c := range clients {
		l.wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				default:
				}
				key := fmt.Sprintf("sheet-%d-%d", c, n)
				var attempts sync.WaitGroup
				for try := range 1 + rng.IntN(tries) {
					wait := time.Duration(rng.Int64N(int64(pause)))
					attempts.Go(func() {
						time.Sleep(wait)
						l.SendAttempt(key, fmt.Sprintf("%08x%04x%04x", c, n, try))
					})
				}
				attempts.Wait()
			}
		})
	}
	return l
}

// SendAttempt sends one attempt on a new connection and records its outcome. A refusal of a request that ran before
// the attempt was sent, or a result that differs from an earlier one, is a violation.
func (l *KeyedLoad) SendAttempt(key, id string) {
	sent := time.Now()
	ranBefore := slices.ContainsFunc(l.s.allInterpreters(), func(m *builtinworker.Interpreter) bool { return m.Ran(key) })
	conn, err := net.DialTimeout("tcp", l.s.Addr, time.Second)
	if err == nil {
		defer conn.Close()
		conn.SetDeadline(sent.Add(l.s.Timeout + 2*time.Second))
		_, err = conn.Write(msgpackrpc.AppendRequest(nil, 1, "oddaja", []byte(key), "i", id, "k", key,
			"s", strconv.FormatInt(sent.UnixMilli(), 10), "d", strconv.FormatInt(l.s.Timeout.Milliseconds(), 10), "m", "1"))
	}
	r := msgpackrpc.Reply{Notification: "none"}
	for in := bufio.NewReader(conn); err == nil && r.Notification != ""; {
		r, err = msgpackrpc.ReadReply(in)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Times = append(l.Times, time.Since(sent))
	l.finished[key] = true
	outcome := map[bool]string{true: "refused", false: "failed"}[r.Error == msgpackrpc.ErrorFull]
	if err == nil && r.Error == "" {
		outcome = "served"
	}
	l.Attempts = append(l.Attempts, Attempt{key, outcome, string(r.Body), sent, time.Now()})
	switch first := l.results[key]; {
	case err != nil:
		l.Unanswered++
	case r.Error != "":
		l.Refused++
		if r.Error == msgpackrpc.ErrorFull && ranBefore {
			l.Violations = append(l.Violations, key+" was refused after it had run")
		}
	default:
		l.Served++
		if first != "" && first != string(r.Body) {
			l.Violations = append(l.Violations, fmt.Sprintf("%s was answered with %q and later with %q", key, first, r.Body))
		}
		l.results[key] = string(r.Body)
	}
}

// End stops the load, adds each request that ran more than once to the violations, and returns all
// violations.
func (l *KeyedLoad) End() []string {
	close(l.stop)
	l.wg.Wait()
	for key, n := range l.s.Runs() {
		if n > 1 {
			l.Violations = append(l.Violations, fmt.Sprintf("%s was run %d times", key, n))
		}
	}
	return l.Violations
}

// WithoutEachKey returns, for each key in a JSON text, the text without that key. The keys of the result are the
// dotted paths of the removed keys.
func WithoutEachKey(text string) map[string]string {
	list := map[string]string{}
	var visit func(path []string, v *fastjson.Value)
	visit = func(path []string, v *fastjson.Value) {
		if v.Type() == fastjson.TypeObject {
			v.GetObject().Visit(func(key []byte, m *fastjson.Value) {
				at := append(slices.Clone(path), string(key))
				reduced := fastjson.MustParse(text)
				reduced.Get(path...).Del(string(key))
				list[strings.Join(at, ".")] = string(reduced.MarshalTo(nil))
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

// AnyRanTwice reports whether any request has run more than once.
func (l *KeyedLoad) AnyRanTwice() bool {
	for _, n := range l.s.Runs() {
		if n > 1 {
			return true
		}
	}
	return false
}

// Asked returns the number of requests of which at least one attempt has finished.
func (l *KeyedLoad) Asked() int { return len(l.finished) }

// Unserved returns the requests of which no attempt was served.
func (l *KeyedLoad) Unserved() (list []string) {
	for key := range l.finished {
		if l.results[key] == "" {
			list = append(list, key)
		}
	}
	return list
}
