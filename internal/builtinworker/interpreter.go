package builtinworker

import (
	"bufio"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fastjson"
)

// Class is the work of the requests of one class.
type Class struct {
	MinWork, MaxWork time.Duration // of a run on a core of its own at speed 1, drawn evenly between the two
}

// Fault changes the machine for a time. What is 0 stays as it is.
type Fault struct {
	At, For time.Duration // from the start of the script; For 0: for good
	Speed   float64       // factor on the speed
	Knee    float64       // factor on the point of collapse
	Memory  float64       // share of the memory that is filled besides what is booked
	Cut     bool          // the link to the service is broken, once
}

// Config sets up an interpreter.
type Config struct {
	Listen         string // an address on loopback
	Cores          int
	Shape          Shape
	Classes        map[string]Class
	Other          Class         // for the classes that are not named
	ReadWork       time.Duration // reading one request takes so much of the cores: see Read
	MemoryKB       float64
	RunFactor      float64 // memory of a run as a multiple of its held memory
	MaxRunsPerCore float64 // the machine dies with more runs a core than this, in the mean of failureWindow; 0: it never does
	Seed           uint64
	Audit          bool // keep count of runs by body: see Runs
}

const (
	maxNotices    = 4000
	maxEndedJobs  = 100_000 // ended ones, of which it is known that they ran
	maxLineBytes  = 64 << 10
	failureWindow = 3 * time.Second
	gaugeInterval = 100 * time.Millisecond // over which cores count as busy
)

// Interpreter plays the platform's interpreter: it owns the cores and does the work of requests. It is safe for concurrent use.
type Interpreter struct {
	cfg       Config
	ln        net.Listener
	startedAt time.Time

	mu           sync.Mutex
	machine      *Machine
	rng          *rand.Rand
	timer        *time.Timer
	link         net.Conn
	out          chan []byte
	lastNotice   int64
	notices      []notice
	jobs         map[string]*job
	endedJobs    []string           // ended runs, the oldest first
	reservedKB   map[string]float64 // kilobytes booked, by request
	bookedKB     float64
	extraMemory  float64 // part of the memory that faults fill
	readsRunning int
	unread       []*read
	runs         map[string]int // by body
	failure      string         // why the machine died
	runSamples   []runSample
	lastBusy     float64
	lastAt       time.Duration
	coreUse      float64
	peakMemory   float64 // the largest part of the memory in use so far
	closed       bool
}

type runSample struct {
	at   time.Duration
	runs float64
}

type notice struct {
	n    int64
	line []byte
}

type job struct {
	body    []byte
	class   string
	started time.Duration
	kb      float64 // booked for the run beyond what its request holds
	read    *read   // not a run but the reading of a request
}

type read struct {
	id   string
	done chan struct{}
}

// Listen starts an interpreter. Its owner closes it.
func Listen(cfg Config) (*Interpreter, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in interpreter: %w", err)
	}
	i := &Interpreter{
		cfg: cfg, ln: ln, startedAt: time.Now(), machine: NewMachine(cfg.Cores, cfg.Shape),
		rng:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		jobs: map[string]*job{}, reservedKB: map[string]float64{}, runs: map[string]int{},
	}
	go i.accept()
	return i, nil
}

// Addr is the address that services connect to.
func (i *Interpreter) Addr() string { return i.ln.Addr().String() }

// Close ends the interpreter.
func (i *Interpreter) Close() {
	i.ln.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	if i.timer != nil {
		i.timer.Stop()
	}
	if i.link != nil {
		i.link.Close()
	}
}

func (i *Interpreter) clock() time.Duration { return time.Since(i.startedAt) }

// Play runs a script of faults from now on.
func (i *Interpreter) Play(script []Fault) {
	for _, t := range script {
		time.AfterFunc(t.At, func() { i.applyFault(t, true) })
		if t.For > 0 {
			time.AfterFunc(t.At+t.For, func() { i.applyFault(t, false) })
		}
	}
}

func (i *Interpreter) applyFault(t Fault, begins bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	shape := i.machine.Shape()
	for _, f := range []struct {
		by float64
		to *float64
	}{{t.Speed, &shape.Speed}, {t.Knee, &shape.Knee}} {
		switch {
		case f.by > 0 && begins:
			*f.to *= f.by
		case f.by > 0:
			*f.to /= f.by
		}
	}
	if begins {
		i.extraMemory += t.Memory
		if t.Cut && i.link != nil {
			i.link.Close()
		}
	} else {
		i.extraMemory -= t.Memory
	}
	i.advance()
	i.machine.Reshape(i.clock(), shape)
	i.setTimer()
}

// Knee is the point of collapse, which services are not told.
func (i *Interpreter) Knee() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.machine.Shape().Knee
}

// Running is the number of runs and readings on the cores.
func (i *Interpreter) Running() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.machine.Running()
}

// Failure returns why the machine died, empty while it has not, and the largest part of the memory that was in use so far.
func (i *Interpreter) Failure() (why string, memory float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failure, i.peakMemory
}

// Runs returns how often each body was run, where runs are audited.
func (i *Interpreter) Runs() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	all := make(map[string]int, len(i.runs))
	for body, n := range i.runs {
		all[body] = n
	}
	return all
}

// Ran reports whether a body was run, where runs are audited.
func (i *Interpreter) Ran(body string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.runs[body] > 0
}

// Read takes a request in as the platform's network does: it costs the cores work, one request a core at a
// time, and then its memory is booked. It returns when the request has been read and is to be written to the service.
func (i *Interpreter) Read(id string, kb float64) {
	r := &read{id: id, done: make(chan struct{})}
	i.mu.Lock()
	if i.cfg.ReadWork <= 0 {
		i.reserve(id, kb)
		i.mu.Unlock()
		return
	}
	i.unread = append(i.unread, r)
	i.advance()
	i.startReads()
	i.setTimer()
	i.mu.Unlock()
	<-r.done
	i.mu.Lock()
	i.reserve(id, kb)
	i.mu.Unlock()
}

func (i *Interpreter) reserve(id string, kb float64) {
	i.reservedKB[id] = kb
	i.bookedKB += kb
}

// Release ends the booking of a request: it is answered.
func (i *Interpreter) Release(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.bookedKB -= i.reservedKB[id]
	delete(i.reservedKB, id)
}

func (i *Interpreter) startReads() {
	for i.readsRunning < i.cfg.Cores && len(i.unread) > 0 {
		r := i.unread[0]
		i.unread = i.unread[1:]
		i.readsRunning++
		name := "read " + r.id
		i.jobs[name] = &job{read: r}
		i.machine.Add(i.clock(), name, i.cfg.ReadWork)
	}
}

// advance brings the machine up to now and notifies of the runs that ended. It is called under the lock.
func (i *Interpreter) advance() {
	now := i.clock()
	for _, id := range i.machine.Advance(now) {
		j := i.jobs[id]
		if j.read != nil {
			delete(i.jobs, id)
			i.readsRunning--
			close(j.read.done)
			i.startReads()
			continue
		}
		i.bookedKB -= j.kb
		body := append([]byte(j.class+": "), j.body...)
		if i.cfg.Audit { // so that the results of two runs of one body differ
			body = fmt.Appendf(body, " #%d.%d", i.cfg.Seed, i.lastNotice)
		}
		i.notify(`"type":"VALUE"`, fmt.Sprintf(`"job":%q,"state":"PASS","took":%.3f,"data":"%s"`, id,
			(now-j.started).Seconds()*1000, base64.StdEncoding.EncodeToString(body)))
		j.body = nil // that it ran is kept for long, what it was asked is not
		if i.endedJobs = append(i.endedJobs, id); len(i.endedJobs) > maxEndedJobs {
			delete(i.jobs, i.endedJobs[0])
			i.endedJobs = i.endedJobs[1:]
		}
	}
	i.sampleGauges(now)
}

// sampleGauges keeps the gauges, and notes whether the machine has died.
func (i *Interpreter) sampleGauges(now time.Duration) {
	runs, busy := i.machine.Integrals()
	if d := now - i.lastAt; d >= gaugeInterval {
		i.coreUse = (busy - i.lastBusy) / d.Seconds() / float64(i.cfg.Cores)
		i.lastBusy, i.lastAt = busy, now
		i.runSamples = append(i.runSamples, runSample{now, runs})
	}
	for len(i.runSamples) > 1 && now-i.runSamples[1].at >= failureWindow {
		i.runSamples = i.runSamples[1:]
	}
	memory := i.memory()
	i.peakMemory = max(i.peakMemory, memory)
	if i.failure != "" {
		return
	}
	if memory > 1 {
		i.failure = fmt.Sprintf("memory: %.2f", memory)
	}
	if len(i.runSamples) > 0 && i.cfg.MaxRunsPerCore > 0 {
		if first := i.runSamples[0]; now-first.at >= failureWindow {
			mean := (runs - first.runs) / (now - first.at).Seconds() / float64(i.cfg.Cores)
			if mean > i.cfg.MaxRunsPerCore {
				i.failure = fmt.Sprintf("crowd: %.1f runs a core", mean)
			}
		}
	}
}

func (i *Interpreter) memory() float64 {
	if i.cfg.MemoryKB <= 0 {
		return i.extraMemory
	}
	return i.extraMemory + i.bookedKB/i.cfg.MemoryKB
}

// setTimer sets the timer to the end of the next run.
func (i *Interpreter) setTimer() {
	at, found := i.machine.NextEnd()
	if !found || i.closed {
		return
	}
	wait := max(0, at-i.clock())
	if i.timer == nil {
		i.timer = time.AfterFunc(wait, func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.advance()
			i.setTimer()
		})
		return
	}
	i.timer.Reset(wait)
}

// ---- The protocol ----

// notify gives a notice its number, keeps it and sends it where there is a link.
func (i *Interpreter) notify(kind, rest string) {
	i.lastNotice++
	line := fmt.Appendf(nil, `{%s,"n":%d,%s}`+"\n", kind, i.lastNotice, rest)
	i.notices = append(i.notices, notice{i.lastNotice, line})
	if over := len(i.notices) - maxNotices; over > 0 {
		i.notices = slices.Delete(i.notices, 0, over)
	}
	i.send(line)
}

func (i *Interpreter) send(line []byte) {
	if i.out == nil {
		return
	}
	select {
	case i.out <- line:
	default: // who reads nothing loses its link; the notices are kept
		i.link.Close()
		i.out = nil
	}
}

func (i *Interpreter) accept() {
	for {
		conn, err := i.ln.Accept()
		if err != nil {
			return
		}
		go i.serve(conn)
	}
}

// serve is the life of one link.
func (i *Interpreter) serve(conn net.Conn) {
	defer conn.Close()
	out := make(chan []byte, 2*maxNotices)
	over := make(chan struct{})
	defer close(over)
	go func() {
		for {
			select {
			case line := <-out:
				if _, err := conn.Write(line); err != nil {
					conn.Close()
					return
				}
			case <-over:
				return
			}
		}
	}()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLineBytes)
	var p fastjson.Parser
	for lines.Scan() {
		v, err := p.ParseBytes(lines.Bytes())
		if err != nil || !i.execute(conn, out, v) {
			return
		}
	}
}

// execute carries out one command; false for what is none.
func (i *Interpreter) execute(conn net.Conn, out chan []byte, v *fastjson.Value) bool {
	id := string(v.GetStringBytes("job"))
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance()
	defer i.setTimer()
	switch string(v.GetStringBytes("type")) {
	case "CONNECT":
		if i.link != nil && i.link != conn {
			i.link.Close()
		}
		i.link, i.out = conn, out
		i.send(fmt.Appendf(nil, `{"type":"BANNER","state":"LOADED","took":%d}`+"\n", i.clock().Milliseconds()))
		after := v.GetInt64("n")
		for _, n := range i.notices {
			if n.n > after {
				i.send(n.line)
			}
		}
	case "TOP":
		i.send(fmt.Appendf(nil, `{"type":"TOPS","ref":%q,"gauges":[%.4f,%d,%.4f,0]}`+"\n",
			v.GetStringBytes("ref"), i.coreUse, i.machine.Running(), i.memory()))
	case "APPLY":
		body, err := base64.StdEncoding.DecodeString(string(v.GetStringBytes("data")))
		if err != nil {
			return false
		}
		i.apply(id, string(v.GetStringBytes("kind")), body)
	case "RESOLVE": // no run of this interpreter waits for a call
		i.send(fmt.Appendf(nil, `{"type":"ERROR","state":"RESOLVE","job":%q}`+"\n", id))
	default:
		return false
	}
	return true
}

func (i *Interpreter) apply(id, class string, body []byte) {
	if i.jobs[id] != nil {
		return
	}
	c, known := i.cfg.Classes[class]
	if !known {
		c = i.cfg.Other
	}
	work := c.MinWork
	if c.MaxWork > c.MinWork {
		work += time.Duration(i.rng.Int64N(int64(c.MaxWork - c.MinWork)))
	}
	j := &job{body: body, class: class, started: i.clock(), kb: i.reservedKB[id] * max(0, i.cfg.RunFactor-1)}
	i.jobs[id] = j
	i.bookedKB += j.kb
	if i.cfg.Audit {
		i.runs[string(body)]++
	}
	i.machine.Add(i.clock(), id, work)
}
