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

// Class is the work of one class of requests.
type Class struct {
	Least, Most time.Duration // on a core of its own at speed 1, drawn evenly between the two
}

// Trouble changes the machine for a time. What is 0 stays as it is.
type Trouble struct {
	At, For time.Duration // from the start of the script; For 0: for good
	Speed   float64       // factor on the speed
	Knee    float64       // factor on the point of collapse
	Memory  float64       // share of the memory that is filled besides what is booked
	Cut     bool          // the link to the service is broken, once
}

// Config sets up an interpreter.
type Config struct {
	Listen    string // an address on loopback
	Cores     int
	Shape     Shape
	Classes   map[string]Class
	Other     Class         // for the classes that are not named
	ReadWork  time.Duration // reading one request takes so much of the cores: see Read
	MemoryKB  float64
	RunFactor float64 // memory of a run as a multiple of its held memory
	Fall      float64 // the machine falls with more than so many runs a core in the mean of 3 s; 0: it never does
	Seed      uint64
	Audit     bool // keep count of runs by body: see Runs
}

const (
	keptNotices = 4000
	keptJobs    = 100_000 // ended ones, of which it is known that they ran
	longestLine = 64 << 10
	fallWindow  = 3 * time.Second
	gaugeSpan   = 100 * time.Millisecond // over which cores count as busy
)

// Interpreter is a stand-in for the platform's interpreter: it owns the cores and does the work of requests.
type Interpreter struct {
	cfg   Config
	ln    net.Listener
	began time.Time

	mu       sync.Mutex
	plant    *Plant
	rng      *rand.Rand
	timer    *time.Timer
	link     net.Conn
	out      chan []byte
	n        int64
	notices  []notice
	jobs     map[string]*job
	over     []string           // ended runs, the oldest first
	held     map[string]float64 // kilobytes booked, by request
	booked   float64
	filled   float64 // share of the memory
	reading  int
	unread   []*read
	runs     map[string]int // by body
	fell     string         // why the machine fell
	crowd    []point
	lastBusy float64
	lastAt   time.Duration
	coreUse  float64
	most     float64 // share of the memory, at the most
	closed   bool
}

type point struct {
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

// Listen starts an interpreter.
func Listen(cfg Config) (*Interpreter, error) {
	ln, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in interpreter: %w", err)
	}
	i := &Interpreter{
		cfg: cfg, ln: ln, began: time.Now(), plant: NewPlant(cfg.Cores, cfg.Shape),
		rng:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		jobs: map[string]*job{}, held: map[string]float64{}, runs: map[string]int{},
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

func (i *Interpreter) clock() time.Duration { return time.Since(i.began) }

// Play runs a script of troubles from now on.
func (i *Interpreter) Play(script []Trouble) {
	for _, t := range script {
		time.AfterFunc(t.At, func() { i.trouble(t, true) })
		if t.For > 0 {
			time.AfterFunc(t.At+t.For, func() { i.trouble(t, false) })
		}
	}
}

func (i *Interpreter) trouble(t Trouble, begins bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	shape := i.plant.Shape()
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
		i.filled += t.Memory
		if t.Cut && i.link != nil {
			i.link.Close()
		}
	} else {
		i.filled -= t.Memory
	}
	i.step()
	i.plant.Reshape(i.clock(), shape)
	i.arm()
}

// Knee is the point of collapse, which services are not told.
func (i *Interpreter) Knee() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.plant.Shape().Knee
}

// Running is the number of runs and readings on the cores.
func (i *Interpreter) Running() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.plant.Running()
}

// Fell says why the machine fell, empty while it has not, and the largest share of the memory in use so far.
func (i *Interpreter) Fell() (why string, memory float64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.fell, i.most
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
func (i *Interpreter) Read(id string, heldKB float64) {
	r := &read{id: id, done: make(chan struct{})}
	i.mu.Lock()
	if i.cfg.ReadWork <= 0 {
		i.book(id, heldKB)
		i.mu.Unlock()
		return
	}
	i.unread = append(i.unread, r)
	i.step()
	i.nextRead()
	i.arm()
	i.mu.Unlock()
	<-r.done
	i.mu.Lock()
	i.book(id, heldKB)
	i.mu.Unlock()
}

func (i *Interpreter) book(id string, kb float64) {
	i.held[id] = kb
	i.booked += kb
}

// Release ends the booking of a request: it is answered.
func (i *Interpreter) Release(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.booked -= i.held[id]
	delete(i.held, id)
}

func (i *Interpreter) nextRead() {
	for i.reading < i.cfg.Cores && len(i.unread) > 0 {
		r := i.unread[0]
		i.unread = i.unread[1:]
		i.reading++
		name := "read " + r.id
		i.jobs[name] = &job{read: r}
		i.plant.Add(i.clock(), name, i.cfg.ReadWork)
	}
}

// step brings the machine up to now, under the lock.
func (i *Interpreter) step() {
	now := i.clock()
	for _, id := range i.plant.Advance(now) {
		j := i.jobs[id]
		if j.read != nil {
			delete(i.jobs, id)
			i.reading--
			close(j.read.done)
			i.nextRead()
			continue
		}
		i.booked -= j.kb
		body := append([]byte(j.class+": "), j.body...)
		if i.cfg.Audit { // so that the results of two runs of one body differ
			body = fmt.Appendf(body, " #%d.%d", i.cfg.Seed, i.n)
		}
		i.say(`"type":"VALUE"`, fmt.Sprintf(`"job":%q,"state":"PASS","took":%.3f,"data":"%s"`, id,
			(now-j.started).Seconds()*1000, base64.StdEncoding.EncodeToString(body)))
		j.body = nil // that it ran is kept for long, what it was asked is not
		if i.over = append(i.over, id); len(i.over) > keptJobs {
			delete(i.jobs, i.over[0])
			i.over = i.over[1:]
		}
	}
	i.watch(now)
}

// watch keeps the gauges, and notes whether the machine has fallen.
func (i *Interpreter) watch(now time.Duration) {
	runs, busy := i.plant.Integrals()
	if d := now - i.lastAt; d >= gaugeSpan {
		i.coreUse = (busy - i.lastBusy) / d.Seconds() / float64(i.cfg.Cores)
		i.lastBusy, i.lastAt = busy, now
		i.crowd = append(i.crowd, point{now, runs})
	}
	for len(i.crowd) > 1 && now-i.crowd[1].at >= fallWindow {
		i.crowd = i.crowd[1:]
	}
	share := i.memory()
	i.most = max(i.most, share)
	if i.fell != "" {
		return
	}
	if share > 1 {
		i.fell = fmt.Sprintf("memory: %.2f", share)
	}
	if len(i.crowd) > 0 && i.cfg.Fall > 0 {
		if first := i.crowd[0]; now-first.at >= fallWindow {
			mean := (runs - first.runs) / (now - first.at).Seconds() / float64(i.cfg.Cores)
			if mean > i.cfg.Fall {
				i.fell = fmt.Sprintf("crowd: %.1f runs a core", mean)
			}
		}
	}
}

func (i *Interpreter) memory() float64 {
	if i.cfg.MemoryKB <= 0 {
		return i.filled
	}
	return i.filled + i.booked/i.cfg.MemoryKB
}

// arm sets the timer to the next end.
func (i *Interpreter) arm() {
	at, some := i.plant.Next()
	if !some || i.closed {
		return
	}
	wait := max(0, at-i.clock())
	if i.timer == nil {
		i.timer = time.AfterFunc(wait, func() {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.step()
			i.arm()
		})
		return
	}
	i.timer.Reset(wait)
}

// ---- The protocol ----

// say gives a notice its number, keeps it and sends it where there is a link.
func (i *Interpreter) say(kind, rest string) {
	i.n++
	line := fmt.Appendf(nil, `{%s,"n":%d,%s}`+"\n", kind, i.n, rest)
	i.notices = append(i.notices, notice{i.n, line})
	if over := len(i.notices) - keptNotices; over > 0 {
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
	out := make(chan []byte, 2*keptNotices)
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
	lines.Buffer(nil, longestLine)
	var p fastjson.Parser
	for lines.Scan() {
		v, err := p.ParseBytes(lines.Bytes())
		if err != nil || !i.command(conn, out, v) {
			return
		}
	}
}

// command carries one command out; false for what is none.
func (i *Interpreter) command(conn net.Conn, out chan []byte, v *fastjson.Value) bool {
	id := string(v.GetStringBytes("job"))
	i.mu.Lock()
	defer i.mu.Unlock()
	i.step()
	defer i.arm()
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
			v.GetStringBytes("ref"), i.coreUse, i.plant.Running(), i.memory()))
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
	work := c.Least
	if c.Most > c.Least {
		work += time.Duration(i.rng.Int64N(int64(c.Most - c.Least)))
	}
	j := &job{body: body, class: class, started: i.clock(), kb: i.held[id] * max(0, i.cfg.RunFactor-1)}
	i.jobs[id] = j
	i.booked += j.kb
	if i.cfg.Audit {
		i.runs[string(body)]++
	}
	i.plant.Add(i.clock(), id, work)
}
