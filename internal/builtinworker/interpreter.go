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

// Class is the amount of work of the runs of one class.
type Class struct {
	MinWork, MaxWork time.Duration // duration of a run below the knee at speed 1, uniformly distributed between the two
}

// Fault is a temporary change of the machine. Fields that are 0 change nothing.
type Fault struct {
	At, For    time.Duration // start, counted from ScheduleFaults, and duration; For 0: permanent
	Speed      float64       // factor on the speed
	Knee       float64       // factor on the knee
	Memory     float64       // share of the memory in use in addition to the booked one
	Disconnect bool          // close the connection to the service once, at the start of the fault
}

// Config configures an interpreter.
type Config struct {
	Listen         string // TCP address, on loopback
	Cores          int
	Shape          Shape
	Classes        map[string]Class
	DefaultClass   Class         // for classes that are not in Classes
	ReadWork       time.Duration // work of reading one request; 0: reading takes no time
	MemoryKB       float64
	RunFactor      float64 // memory of a run as a multiple of the memory of its queued request
	MaxRunsPerCore float64 // the machine fails if the mean number of runs per core in failureWindow exceeds this; 0: no limit
	Seed           uint64
	Audit          bool // count the runs by body: see Runs
}

const (
	maxBufferedNotices = 4000
	maxEndedJobs       = 100_000 // ended runs that are kept, so that a repeated APPLY does not run them again
	maxLineBytes       = 64 << 10
	failureWindow      = 3 * time.Second
	gaugeInterval      = 100 * time.Millisecond // minimum interval between samples of runs and busy cores
)

// Interpreter is a stand-in interpreter that executes runs on a simulated machine. It is safe for concurrent use.
type Interpreter struct {
	cfg       Config
	ln        net.Listener
	startedAt time.Time

	mu              sync.Mutex
	machine         *Machine
	rng             *rand.Rand
	timer           *time.Timer
	conn            net.Conn
	sendQueue       chan []byte
	lastNoticeID    int64
	notices         []notice
	jobs            map[string]*job
	endedJobs       []string           // ended runs, oldest first
	reservedKB      map[string]float64 // booked memory by request
	bookedKB        float64
	faultMemory     float64 // share of the memory that faults use
	readsRunning    int
	pendingReads    []*read
	runCounts       map[string]int // by body, if Audit is set
	failure         string         // why the machine failed; empty: it has not
	runSamples      []runSample
	lastBusySeconds float64
	lastSampleAt    time.Duration
	coreUse         float64
	peakMemory      float64 // largest share of the memory in use so far
	closed          bool
}

// runSample is the integral of the number of runs over time, at one time.
type runSample struct {
	at   time.Duration
	runs float64
}

// notice is a numbered message to the service. The last maxBufferedNotices are kept and sent again after a reconnection.
type notice struct {
	id   int64
	line []byte
}

// job is a run, or the reading of a request.
type job struct {
	body    []byte
	class   string
	started time.Duration
	extraKB float64 // booked for the run in addition to the memory of its request
	read    *read   // nil for a run
}

// read is the reading of a request. Done is closed when it ends.
type read struct {
	id   string
	done chan struct{}
}

// Listen starts an interpreter, which runs until Close. It returns an error if it fails to listen on the address.
func Listen(cfg Config) (*Interpreter, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in interpreter: %w", err)
	}
	i := &Interpreter{
		cfg: cfg, ln: ln, startedAt: time.Now(), machine: NewMachine(cfg.Cores, cfg.Shape),
		rng:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		jobs: map[string]*job{}, reservedKB: map[string]float64{}, runCounts: map[string]int{},
	}
	go i.accept()
	return i, nil
}

// Addr returns the address that services connect to.
func (i *Interpreter) Addr() string { return i.ln.Addr().String() }

// Close stops the interpreter and closes its connection.
func (i *Interpreter) Close() {
	i.ln.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closed = true
	if i.timer != nil {
		i.timer.Stop()
	}
	if i.conn != nil {
		i.conn.Close()
	}
}

// elapsed returns the time since the start, which is the clock of the machine.
func (i *Interpreter) elapsed() time.Duration { return time.Since(i.startedAt) }

// ScheduleFaults schedules a script of faults and returns at once.
func (i *Interpreter) ScheduleFaults(script []Fault) {
	for _, fault := range script {
		time.AfterFunc(fault.At, func() { i.applyFault(fault, true) })
		if fault.For > 0 {
			time.AfterFunc(fault.At+fault.For, func() { i.applyFault(fault, false) })
		}
	}
}

// applyFault starts or ends a fault.
func (i *Interpreter) applyFault(fault Fault, begins bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	shape := i.machine.Shape()
	for _, f := range []struct {
		factor float64
		target *float64
	}{{fault.Speed, &shape.Speed}, {fault.Knee, &shape.Knee}} {
		switch {
		case f.factor > 0 && begins:
			*f.target *= f.factor
		case f.factor > 0:
			*f.target /= f.factor
		}
	}
	if begins {
		i.faultMemory += fault.Memory
		if fault.Disconnect && i.conn != nil {
			i.conn.Close()
		}
	} else {
		i.faultMemory -= fault.Memory
	}
	i.advance()
	i.machine.SetShape(i.elapsed(), shape)
	i.setTimer()
}

// Knee returns the current knee of the machine. Tests compare it with a service's concurrency limit; the protocol does not reveal it.
func (i *Interpreter) Knee() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.machine.Shape().Knee
}

// Running returns the number of runs and reads in progress.
func (i *Interpreter) Running() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.machine.Running()
}

// Failure returns why the machine failed, or "" if it has not, and the largest share of the memory in use so far.
func (i *Interpreter) Failure() (why string, memory float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.failure, i.peakMemory
}

// Runs returns the number of runs by request body. It is empty unless Config.Audit is set.
func (i *Interpreter) Runs() map[string]int {
	i.mu.Lock()
	defer i.mu.Unlock()
	counts := make(map[string]int, len(i.runCounts))
	for body, n := range i.runCounts {
		counts[body] = n
	}
	return counts
}

// Ran reports whether a request with this body was run. It returns false unless Config.Audit is set.
func (i *Interpreter) Ran(body string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.runCounts[body] > 0
}

// Read simulates the platform reading a request from the network: each core reads one request at a time, which takes ReadWork, and
// then the memory of the request is booked. A caller calls Read before it writes the request to the service; Read blocks until the
// request has been read.
func (i *Interpreter) Read(id string, kb float64) {
	r := &read{id: id, done: make(chan struct{})}
	i.mu.Lock()
	if i.cfg.ReadWork <= 0 {
		i.reserve(id, kb)
		i.mu.Unlock()
		return
	}
	i.pendingReads = append(i.pendingReads, r)
	i.advance()
	i.startReads()
	i.setTimer()
	i.mu.Unlock()
	<-r.done
	i.mu.Lock()
	i.reserve(id, kb)
	i.mu.Unlock()
}

// reserve books the memory of a request.
func (i *Interpreter) reserve(id string, kb float64) {
	i.reservedKB[id] = kb
	i.bookedKB += kb
}

// Release releases the memory of a request. A caller calls it when the request has been answered.
func (i *Interpreter) Release(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.bookedKB -= i.reservedKB[id]
	delete(i.reservedKB, id)
}

// startReads starts pending reads while there are cores that read nothing.
func (i *Interpreter) startReads() {
	for i.readsRunning < i.cfg.Cores && len(i.pendingReads) > 0 {
		r := i.pendingReads[0]
		i.pendingReads = i.pendingReads[1:]
		i.readsRunning++
		name := "read " + r.id
		i.jobs[name] = &job{read: r}
		i.machine.Add(i.elapsed(), name, i.cfg.ReadWork)
	}
}

// advance advances the machine to the present and sends a notice for each run that has ended. The caller holds mu.
func (i *Interpreter) advance() {
	now := i.elapsed()
	for _, id := range i.machine.Advance(now) {
		j := i.jobs[id]
		if j.read != nil {
			delete(i.jobs, id)
			i.readsRunning--
			close(j.read.done)
			i.startReads()
			continue
		}
		i.bookedKB -= j.extraKB
		body := append([]byte(j.class+": "), j.body...)
		if i.cfg.Audit { // make the results of two runs of the same body differ
			body = fmt.Appendf(body, " #%d.%d", i.cfg.Seed, i.lastNoticeID)
		}
		i.notify(`"type":"VALUE"`, fmt.Sprintf(`"job":%q,"state":"PASS","took":%.3f,"data":"%s"`, id,
			(now-j.started).Seconds()*1000, base64.StdEncoding.EncodeToString(body)))
		j.body = nil // the job stays known until maxEndedJobs later ones have ended; its body is not needed
		if i.endedJobs = append(i.endedJobs, id); len(i.endedJobs) > maxEndedJobs {
			delete(i.jobs, i.endedJobs[0])
			i.endedJobs = i.endedJobs[1:]
		}
	}
	i.sampleGauges(now)
}

// sampleGauges updates the gauges and records the first failure of the machine: memory in use above 1, or too many runs per core.
func (i *Interpreter) sampleGauges(now time.Duration) {
	runs, busy := i.machine.UsageIntegrals()
	if d := now - i.lastSampleAt; d >= gaugeInterval {
		i.coreUse = (busy - i.lastBusySeconds) / d.Seconds() / float64(i.cfg.Cores)
		i.lastBusySeconds, i.lastSampleAt = busy, now
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
		if oldest := i.runSamples[0]; now-oldest.at >= failureWindow {
			mean := (runs - oldest.runs) / (now - oldest.at).Seconds() / float64(i.cfg.Cores)
			if mean > i.cfg.MaxRunsPerCore {
				i.failure = fmt.Sprintf("overload: %.1f runs per core", mean)
			}
		}
	}
}

// memory returns the share of the memory in use.
func (i *Interpreter) memory() float64 {
	if i.cfg.MemoryKB <= 0 {
		return i.faultMemory
	}
	return i.faultMemory + i.bookedKB/i.cfg.MemoryKB
}

// setTimer sets the timer to the next end of a run.
func (i *Interpreter) setTimer() {
	at, found := i.machine.NextEnd()
	if !found || i.closed {
		return
	}
	wait := max(0, at-i.elapsed())
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

// ---- Protocol ----

// notify numbers a notice, keeps it and sends it if a service is connected.
func (i *Interpreter) notify(kind, rest string) {
	i.lastNoticeID++
	line := fmt.Appendf(nil, `{%s,"n":%d,%s}`+"\n", kind, i.lastNoticeID, rest)
	i.notices = append(i.notices, notice{i.lastNoticeID, line})
	if excess := len(i.notices) - maxBufferedNotices; excess > 0 {
		i.notices = slices.Delete(i.notices, 0, excess)
	}
	i.send(line)
}

// send queues a line for the connected service. If the queue is full, send closes the connection.
func (i *Interpreter) send(line []byte) {
	if i.sendQueue == nil {
		return
	}
	select {
	case i.sendQueue <- line:
	default: // the service does not read; it gets the kept notices when it reconnects
		i.conn.Close()
		i.sendQueue = nil
	}
}

// accept accepts connections until Close.
func (i *Interpreter) accept() {
	for {
		conn, err := i.ln.Accept()
		if err != nil {
			return
		}
		go i.serve(conn)
	}
}

// serve reads the commands of one connection until it closes or a command is malformed.
func (i *Interpreter) serve(conn net.Conn) {
	defer conn.Close()
	sendQueue := make(chan []byte, 2*maxBufferedNotices)
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case line := <-sendQueue:
				if _, err := conn.Write(line); err != nil {
					conn.Close()
					return
				}
			case <-done:
				return
			}
		}
	}()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLineBytes)
	var p fastjson.Parser
	for lines.Scan() {
		v, err := p.ParseBytes(lines.Bytes())
		if err != nil || !i.handleCommand(conn, sendQueue, v) {
			return
		}
	}
}

// handleCommand executes one command. It returns false if the command is malformed or unknown.
func (i *Interpreter) handleCommand(conn net.Conn, sendQueue chan []byte, v *fastjson.Value) bool {
	id := string(v.GetStringBytes("job"))
	i.mu.Lock()
	defer i.mu.Unlock()
	i.advance()
	defer i.setTimer()
	switch string(v.GetStringBytes("type")) {
	case "CONNECT":
		if i.conn != nil && i.conn != conn {
			i.conn.Close()
		}
		i.conn, i.sendQueue = conn, sendQueue
		i.send(fmt.Appendf(nil, `{"type":"BANNER","state":"LOADED","took":%d}`+"\n", i.elapsed().Milliseconds()))
		after := v.GetInt64("n")
		for _, n := range i.notices {
			if n.id > after {
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
		i.startRun(id, string(v.GetStringBytes("kind")), body)
	case "RESOLVE": // runs of this interpreter make no calls
		i.send(fmt.Appendf(nil, `{"type":"ERROR","state":"RESOLVE","job":%q}`+"\n", id))
	default:
		return false
	}
	return true
}

// startRun starts a run unless a run with this ID is known.
func (i *Interpreter) startRun(id, class string, body []byte) {
	if i.jobs[id] != nil {
		return
	}
	c, known := i.cfg.Classes[class]
	if !known {
		c = i.cfg.DefaultClass
	}
	work := c.MinWork
	if c.MaxWork > c.MinWork {
		work += time.Duration(i.rng.Int64N(int64(c.MaxWork - c.MinWork)))
	}
	j := &job{body: body, class: class, started: i.elapsed(), extraKB: i.reservedKB[id] * max(0, i.cfg.RunFactor-1)}
	i.jobs[id] = j
	i.bookedKB += j.extraKB
	if i.cfg.Audit {
		i.runCounts[string(body)]++
	}
	i.machine.Add(i.elapsed(), id, work)
}
