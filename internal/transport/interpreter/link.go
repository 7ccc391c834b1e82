// Package interpreter is the link to the platform's interpreter, which does the work: JSON objects, one to each line, commands one
// way and notices the other. It keeps the link open, takes up the notices where the last link ended, and starts again the runs whose
// start a broken link may have lost; the interpreter knows each by its id and starts none twice.
package interpreter

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
	"silverpath/internal/events"
	"silverpath/internal/metrics"
)

// Events is what a Link reports runs to: the core. Its calls come one at a time, and must not block.
type Events interface {
	// Started says how long ago the interpreter started, and whether it did so without what it had cached. It comes before RunnerReady.
	Started(withoutCache bool, ago time.Duration)
	// RunnerReady says that the link is live: runs can be started.
	RunnerReady()
	// RunNeedsCall says that a run waits for a call below with this body; Resume hands it the reply.
	RunNeedsCall(id string, body []byte)
	// RunEnded says how a run ended, after how long, and its result where it succeeded.
	RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte)
	// Gauges tells the readings that Probe asked for.
	Gauges(g silverpath.Gauges)
}

// Commands and notices, by their "type", and the references of the TOP command. The words are the platform's.
const (
	commandConnect = "CONNECT" // take up the notices after number n
	commandApply   = "APPLY"   // start a run; nothing happens where it was started before
	commandResolve = "RESOLVE" // the reply to a run's call below
	commandTop     = "TOP"     // tell the gauges

	noticeBanner = "BANNER" // the first: the interpreter's state, and for how long it has been up
	noticeTops   = "TOPS"   // the gauges
	noticeAwait  = "AWAIT"  // a run waits for a call below
	noticeValue  = "VALUE"  // a run has ended
	noticeError  = "ERROR"  // a command was refused
	noticeTrace  = "TRACE"  // for people

	refTick = "tick" // of a TOP that only asks for the gauges
	// refSync is of the TOP whose answer shows that all earlier notices have been read.
	refSync = "sync"
	// refRedirect is of the one whose answer shows that all earlier commands have arrived.
	refRedirect = "move"
)

const (
	maxLineBytes = 1 << 20
	maxTookMs    = 1 << 40 // milliseconds, so that times stay within their type
	writeTimeout = 2 * time.Second
	minBackoff   = 5 * time.Millisecond // after a live link broke; doubles with each attempt that fails
	maxBackoff   = time.Second          // also the longest time for a connection
	// redirectTimeout is how long a link that is left for another address may take to show that its commands have arrived.
	redirectTimeout = 500 * time.Millisecond
	// silenceTimeout and minSilentProbes are when a live link on which nothing comes is taken to be broken. Its gauges are asked for
	// forty times a second, so that silence is never a want of news; and a process that stood still itself has asked only once.
	silenceTimeout  = 10 * time.Second
	minSilentProbes = 40
)

// Link runs requests on the interpreter. It is the core's Runner.
type Link struct {
	gauges []string // their names, in the order of their values
	events Events
	log    *log.Logger
	stats  *metrics.Counters
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	wake   chan struct{} // has a token while commands may be queued

	mu               sync.Mutex
	addr             string
	cancelLink       context.CancelFunc // ends the present link, or the wait for the next
	runs             map[string]*run    // whose end was not read
	queue            []command          // to be written
	live             bool               // the notices that this link missed have all been read
	redirecting      bool               // this link is left for another address
	lastNotice       int64              // number of the last notice read, on any link
	brokeAt          time.Time          // when the last live link broke; zero where it was left
	lastReceived     time.Time          // when something came last on the present link
	unansweredProbes int                // since then
	silent           bool               // this link is given up as nothing comes on it
}

// run is one whose end was not read.
type run struct {
	applyLine  []byte // starts it
	sent       bool   // written, or to be written, on the present link or one before it
	sentBefore bool   // on more than one link
}

// command is a line to be written.
type command struct {
	line       []byte
	resolve    bool // kept for the next link where this one breaks before it is written
	lastOnLink bool // what comes after it waits for the next link
}

// New returns a link to the interpreter at addr, whose gauges come in the order of the names; Maintain opens it and holds it open.
func New(addr string, gauges []string, events Events, l *log.Logger, s *metrics.Counters) *Link {
	return &Link{
		addr: addr, gauges: gauges, events: events, log: l, stats: s, runs: map[string]*run{}, cancelLink: func() {},
		wake: make(chan struct{}, 1), dial: (&net.Dialer{Timeout: maxBackoff}).DialContext,
	}
}

// jsonLine returns a JSON object of texts, given as name and value in turn, as a line.
func jsonLine(pairs ...string) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	for i := 0; i < len(pairs); i += 2 {
		o.Set(pairs[i], a.NewString(pairs[i+1]))
	}
	return append(o.MarshalTo(nil), '\n')
}

// Run starts a run of a request. While the link is down it waits for the next one.
func (l *Link) Run(id, class string, body []byte) {
	line := jsonLine("type", commandApply, "job", id, "kind", class, "data", base64.StdEncoding.EncodeToString(body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = &run{applyLine: line, sent: l.live}
	if l.live {
		l.enqueue(command{line: line})
	}
}

// Resume hands a run the reply to its call below.
func (l *Link) Resume(id string, reply []byte) {
	line := jsonLine("type", commandResolve, "job", id, "data", base64.StdEncoding.EncodeToString(reply))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id] != nil {
		l.enqueue(command{line: line, resolve: true})
	}
}

// Probe asks for the gauges, which Events gets, and gives up a link that is silent.
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
	l.enqueue(command{line: jsonLine("type", commandTop, "ref", refTick)})
}

// enqueue has a command written once the link is live. It is called under the lock.
func (l *Link) enqueue(c command) {
	l.queue = append(l.queue, c)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Redirect leaves the interpreter's address for a new one. The interpreter is the same: its runs go on and its notices keep their
// numbers. A live link is left once all that was written to it is known to have arrived, so that no command is lost with it; what comes
// meanwhile waits for the new one.
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
		l.enqueue(command{line: jsonLine("type", commandTop, "ref", refRedirect), lastOnLink: true})
		time.AfterFunc(redirectTimeout, l.cancelLink)
	default:
		l.cancelLink() // nothing but CONNECT was written
	}
}

// Maintain holds the link open until the context ends. It is called once.
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

// connect is the life of one link: CONNECT, then a writer beside the reading of notices until either fails. It reports whether the link
// came to be live, and whether it was left for another address.
func (l *Link) connect(ctx context.Context, addr string) (live, left bool, err error) {
	conn, err := l.dial(ctx, "tcp", addr)
	if err != nil {
		return false, false, fmt.Errorf("connecting: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	l.mu.Lock()
	connectLine := fmt.Appendf(nil, `{"type":"%s","n":%d}`+"\n", commandConnect, l.lastNotice)
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
	unwritten := l.queue[:0]
	for _, c := range l.queue {
		if c.resolve {
			unwritten = append(unwritten, c)
		}
	}
	l.queue = unwritten
	return live, left, err
}
