// Package interpreter is the link to the interpreter, which does the work: JSON objects, one to each line. It keeps
// the link open, takes up the notices where the last link ended, and starts anew what a broken link lost.
package interpreter

import (
	"bufio"
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/settings"
	"silverpath/internal/transport/bufferpool"
)

// Events is who hears of runs: the core.
type Events interface {
	Started(cold bool, ago time.Duration) // before Up
	RunnerReady()
	RunNeedsCall(id string, body []byte)
	RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte)
	Gauges(g silverpath.Gauges)
}

const (
	maxLineBytes = 1 << 20
	maxTookMs    = 1 << 40 // milliseconds, so that times stay within their type
	writeTimeout = 2 * time.Second
	minBackoff   = 5 * time.Millisecond // after a live link broke; doubles with each try that fails
	maxBackoff   = time.Second
	syncRef      = "sync" // of the TOP whose answer shows that all earlier notices have been read
	redirectRef  = "move" // of the one whose answer shows that all earlier commands have arrived
	// redirectTimeout is how long a link that is left for another address may take to bring that answer.
	redirectTimeout = 500 * time.Millisecond
	// silenceTimeout and minSilentProbes are when a live link on which nothing comes is taken to be broken. Its gauges are asked for
	// forty times a second, so silence is never a want of news; and a process that stood still itself has asked only once.
	silenceTimeout  = 10 * time.Second
	minSilentProbes = 40
)

// Link runs requests on the interpreter. It is the core's Runner.
type Link struct {
	gauges []string
	events Events
	log    *log.Logger
	stats  *metrics.Counters
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)

	mu               sync.Mutex
	addr             string
	cancelLink       context.CancelFunc // ends the present link, or the wait for the next
	runs             map[string]*run    // runs whose end was not read
	queue            []command          // to be written
	wake             chan struct{}
	live             bool // the notices missed by this link have all been read
	redirecting      bool // this link is left for another address
	lastNotice       int64
	brokeAt          time.Time // when the last live link broke; zero where it was left
	lastReceived     time.Time // when something came last on the present link
	unansweredProbes int       // since then
	silent           bool      // this link is given up as nothing comes on it
}

type run struct {
	applyLine  []byte
	sent       bool
	sentBefore bool // sent on more than one link
}

type command struct {
	line       []byte
	resolve    bool
	lastOnLink bool // on its link: what comes after it waits for the next
}

// New returns a link to the interpreter at addr; Keep holds it open.
func New(addr string, gauges []string, events Events, l *log.Logger, s *metrics.Counters) *Link {
	return &Link{
		addr: addr, gauges: gauges, events: events, log: l, stats: s, runs: map[string]*run{}, cancelLink: func() {},
		wake: make(chan struct{}, 1), dial: (&net.Dialer{Timeout: maxBackoff}).DialContext,
	}
}

// jsonLine appends a JSON object, as a line, of strings by name.
func jsonLine(pairs ...string) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	for i := 0; i < len(pairs); i += 2 {
		o.Set(pairs[i], a.NewString(pairs[i+1]))
	}
	return append(o.MarshalTo(nil), '\n')
}

// Run starts a request. On a link that is down it is started once the next one is up.
func (l *Link) Run(id, class string, body []byte) {
	line := jsonLine("type", "APPLY", "job", id, "kind", class, "data", base64.StdEncoding.EncodeToString(body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = &run{applyLine: line, sent: l.live}
	if l.live {
		l.enqueue(command{line: line})
	}
}

// Resume hands a run the reply to its call.
func (l *Link) Resume(id string, reply []byte) {
	line := jsonLine("type", "RESOLVE", "job", id, "data", base64.StdEncoding.EncodeToString(reply))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id] != nil {
		l.enqueue(command{line: line, resolve: true})
	}
}

// Probe asks for the gauges.
func (l *Link) Probe() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.live {
		return
	}
	if l.unansweredProbes++; l.unansweredProbes > minSilentProbes && time.Since(l.lastReceived) >= silenceTimeout && !l.silent {
		l.silent = true
		l.stats.Inc("interpreter", "silent")
		l.cancelLink()
		return
	}
	l.enqueue(command{line: jsonLine("type", "TOP", "ref", "tick")})
}

func (l *Link) enqueue(c command) {
	l.queue = append(l.queue, c)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Redirect leaves the interpreter's address for a new one. The interpreter is the same: its runs go on and its
// notices keep their numbers. A live link is left once all that was written to it is known to have arrived, so
// that no command is lost with it; what comes meanwhile waits for the new one.
func (l *Link) Redirect(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr == l.addr {
		return
	}
	l.addr, l.brokeAt = addr, time.Time{}
	switch {
	case l.redirecting: // for whichever address was told last
	case l.live:
		l.redirecting = true
		l.enqueue(command{line: jsonLine("type", "TOP", "ref", redirectRef), lastOnLink: true})
		time.AfterFunc(redirectTimeout, l.cancelLink)
	default:
		l.cancelLink() // nothing but CONNECT was written
	}
}

// Maintain holds the link open until the context ends.
func (l *Link) Maintain(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		linkCtx, cancel := context.WithCancel(ctx)
		l.mu.Lock()
		addr := l.addr
		l.cancelLink = cancel
		l.mu.Unlock()
		wasLive, leaving, err := l.connect(linkCtx, addr)
		l.mu.Lock()
		redirected, next := leaving || addr != l.addr, l.addr
		l.mu.Unlock()
		switch {
		case ctx.Err() != nil:
		case redirected:
			l.stats.Inc("interpreter", "moved")
			events.Log(l.log, "interpreter.moved", addr, next)
			backoff = minBackoff
		default:
			l.stats.Inc("interpreter", "link_down")
			events.Log(l.log, "interpreter.link_down", err)
			if wasLive {
				backoff = minBackoff
			}
			select {
			case <-linkCtx.Done(): // the end, or a new address
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, maxBackoff)
		}
		cancel()
	}
}

// errSilent ends a link on which nothing comes.
var errSilent = fmt.Errorf("nothing was heard for %v", silenceTimeout)

// errRedirected ends a link that is left for another address.
var errRedirected = errors.New("left for another address")

// connect is the life of one link: CONNECT, then a writer beside the reading of notices until either fails. It
// reports whether the link came to be live, and whether it was being left.
func (l *Link) connect(ctx context.Context, addr string) (live, left bool, err error) {
	conn, err := l.dial(ctx, "tcp", addr)
	if err != nil {
		return false, false, fmt.Errorf("connecting: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	l.mu.Lock()
	connectLine := fmt.Appendf(nil, `{"type":"CONNECT","n":%d}`+"\n", l.lastNotice)
	l.mu.Unlock()
	if err := write(conn, connectLine); err != nil {
		conn.Close()
		return false, false, err
	}
	linkDone, written := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(written)
		l.write(conn, linkDone)
	}()
	err = l.read(conn)
	conn.Close()
	close(linkDone)
	<-written
	l.mu.Lock()
	defer l.mu.Unlock()
	live, left = l.live || l.redirecting, l.redirecting
	if l.silent {
		err = errSilent
	}
	l.silent = false
	if l.live && !l.redirecting {
		l.brokeAt = time.Now()
	}
	l.live, l.redirecting = false, false
	// What was not written goes out on the next link: replies as they are, runs by being started anew there.
	kept := l.queue[:0]
	for _, c := range l.queue {
		if c.resolve {
			kept = append(kept, c)
		}
	}
	l.queue = kept
	return live, left, err
}

func write(conn net.Conn, b []byte) error {
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := conn.Write(b); err != nil {
		return fmt.Errorf("writing: %w", err)
	}
	return nil
}

// write sends what is queued once the link is live, several commands at a time.
func (l *Link) write(conn net.Conn, linkDone <-chan struct{}) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	for {
		select {
		case <-linkDone:
			return
		case <-l.wake:
		}
		for {
			l.mu.Lock()
			n := 0
			*b = (*b)[:0]
			for l.live && n < len(l.queue) && (n == 0 || len(*b)+len(l.queue[n].line) <= bufferpool.Size) {
				*b = append(*b, l.queue[n].line...)
				l.live = !l.queue[n].lastOnLink
				n++
			}
			l.queue = l.queue[n:]
			l.mu.Unlock()
			if n == 0 {
				break
			}
			if err := write(conn, *b); err != nil {
				conn.Close() // the reader reports it
				return
			}
		}
	}
}

// read reads notices until the link fails.
func (l *Link) read(conn net.Conn) error {
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	var p fastjson.Parser
	var long []byte
	for {
		line, err := readLine(r, &long)
		if err != nil {
			return fmt.Errorf("reading: %w", err)
		}
		l.mu.Lock()
		l.lastReceived, l.unansweredProbes = time.Now(), 0
		l.mu.Unlock()
		v, err := p.ParseBytes(line)
		if err != nil {
			return fmt.Errorf("a notice that is not JSON: %w", err)
		}
		if err := l.handleNotice(conn, v); err != nil {
			return err
		}
	}
}

// readLine returns a line, valid until the next call. It grows beyond the reader's buffer only for long ones.
func readLine(r *bufio.Reader, long *[]byte) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	*long = (*long)[:0]
	for {
		*long = append(*long, line...)
		if len(*long) > maxLineBytes {
			return nil, errors.New("a line without end")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return *long, err
		}
		line, err = r.ReadSlice('\n')
	}
}

var commandNames = []string{"CONNECT", "APPLY", "RESOLVE", "TOP"}

var outcomeOf = map[string]silverpath.Outcome{
	"PASS": silverpath.OK, "FAIL": silverpath.Failed, "KILLED": silverpath.Canceled, "NOOP": silverpath.NotStarted,
}

// handleNotice takes one notice. What a former link has brought already is passed over by its number.
func (l *Link) handleNotice(conn net.Conn, v *fastjson.Value) error {
	kind, id := string(v.GetStringBytes("type")), string(v.GetStringBytes("job"))
	if v.Exists("n") && kind != "BANNER" {
		n := v.GetInt64("n")
		l.mu.Lock()
		duplicate := n <= l.lastNotice
		l.lastNotice = max(l.lastNotice, n)
		l.mu.Unlock()
		if duplicate {
			return nil
		}
	}
	var data []byte
	if d := v.GetStringBytes("data"); len(d) > 0 {
		data = make([]byte, base64.StdEncoding.DecodedLen(len(d)))
		n, err := base64.StdEncoding.Decode(data, d)
		if err != nil {
			l.ended(id, silverpath.Failed, 0, nil) // its number is passed, so that it comes no more
			return fmt.Errorf("%s: data: %w", kind, err)
		}
		data = data[:n]
	}
	switch kind {
	case "BANNER":
		events.Log(l.log, "interpreter.up", string(v.GetStringBytes("state")), v.GetInt64("took"))
		ago := time.Duration(min(max(0, v.GetInt64("took")), maxTookMs)) * time.Millisecond
		l.detectRestart(ago)
		l.events.Started(string(v.GetStringBytes("state")) == "EMPTY", ago)
		return write(conn, jsonLine("type", "TOP", "ref", syncRef))
	case "TOPS":
		switch string(v.GetStringBytes("ref")) {
		case syncRef:
			l.becomeLive()
			l.events.RunnerReady()
		case redirectRef:
			return errRedirected
		}
		l.readings(v.GetArray("gauges"))
	case "AWAIT":
		l.events.RunNeedsCall(id, data)
	case "VALUE":
		outcome, ok := outcomeOf[string(v.GetStringBytes("state"))]
		if !ok {
			l.ended(id, silverpath.Failed, 0, nil) // likewise: nobody else will tell how the run ended
			return fmt.Errorf("VALUE: state: unknown: %q", v.GetStringBytes("state"))
		}
		l.ended(id, outcome, time.Duration(v.GetFloat64("took")*float64(time.Millisecond)), data)
	case "ERROR":
		command := string(v.GetStringBytes("state"))
		if !slices.Contains(commandNames, command) {
			command = "other" // counters are bounded, what comes off a wire is not
		}
		l.stats.Inc("interpreter", "error", command)
		events.Log(l.log, "interpreter.refused", command, id)
		l.mu.Lock()
		j := l.runs[id]
		l.mu.Unlock()
		if j != nil {
			outcome := silverpath.Failed
			if command == "APPLY" && !j.sentBefore {
				outcome = silverpath.NotStarted // its only start was refused: it never ran
			}
			l.ended(id, outcome, 0, nil)
		}
	case "TRACE":
	default:
		l.stats.Inc("interpreter", "unknown_notice")
	}
	return nil
}

// detectRestart is told how long ago the interpreter started. One that started after the last link broke knows no run
// of ours and numbers its notices anew: what was started on the old one may have had its effect and has no end
// any more, so it fails; starting it again could run an effect twice.
func (l *Link) detectRestart(ago time.Duration) {
	l.mu.Lock()
	var lost []string
	if !l.brokeAt.IsZero() && ago < time.Since(l.brokeAt) {
		l.lastNotice = 0
		l.queue = nil // replies to calls of runs that are gone
		for id, j := range l.runs {
			if j.sent {
				lost = append(lost, id)
			}
		}
	}
	l.mu.Unlock()
	if len(lost) > 0 {
		l.stats.Add(uint64(len(lost)), "interpreter", "runs_lost")
		events.Log(l.log, "interpreter.restarted", len(lost))
	}
	for _, id := range lost {
		l.ended(id, silverpath.Failed, 0, nil)
	}
}

// becomeLive makes a link live: every notice of former links has been read, so a run without an end either goes on
// there, and starting it again does nothing, or its start was lost.
func (l *Link) becomeLive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = true
	if len(l.runs) > 0 {
		events.Log(l.log, "interpreter.link_up", len(l.runs))
	}
	replies := l.queue
	l.queue = nil
	for _, j := range l.runs {
		j.sent, j.sentBefore = true, j.sent
		l.queue = append(l.queue, command{line: j.applyLine})
	}
	l.queue = append(l.queue, replies...)
	l.enqueue(command{line: jsonLine("type", "TOP", "ref", "tick")})
}

func (l *Link) ended(id string, o silverpath.Outcome, spent time.Duration, result []byte) {
	l.mu.Lock()
	known := l.runs[id] != nil
	delete(l.runs, id)
	l.mu.Unlock()
	if known {
		l.events.RunEnded(id, o, spent, result)
	}
}

func (l *Link) readings(values []*fastjson.Value) {
	if len(values) < len(l.gauges) {
		l.stats.Inc("interpreter", "short_gauges")
		return
	}
	numbers := make([]float64, len(values))
	for i, v := range values {
		n, err := strconv.ParseFloat(v.String(), 64)
		if err != nil || n != n || n < 0 {
			l.stats.Inc("interpreter", "bad_gauge")
			return
		}
		numbers[i] = n
	}
	l.events.Gauges(settings.Gauges(l.gauges, numbers))
}
