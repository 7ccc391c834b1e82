// Package interpreter is the client of the platform's interpreter, which executes the requests. The protocol is one JSON object a line:
// commands are sent and notices are received. The package keeps the link open, resumes the notices where the last link ended, and resends
// the start of each run that a broken link may have lost. The interpreter identifies a run by its ID and starts none twice.
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

// Events receives what a Link reports. The core implements it. Its methods are called one at a time and must not block.
type Events interface {
	// Started reports how long ago the interpreter started and whether its cache was empty then. It is called before RunnerReady.
	Started(withoutCache bool, ago time.Duration)
	// RunnerReady reports that the link is live and runs can be started.
	RunnerReady()
	// RunNeedsCall reports that a run waits for a dependency call with this body. Resume sends it the reply.
	RunNeedsCall(id string, body []byte)
	// RunEnded reports the outcome of a run, its duration, and its result if it succeeded.
	RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte)
	// Gauges reports the gauge values that Probe requested.
	Gauges(g silverpath.Gauges)
}

// The types of commands and notices, and the references of the TOP command. The platform's protocol defines the types.
const (
	commandConnect = "CONNECT" // resume the notices after number n
	commandApply   = "APPLY"   // start a run; no effect if the run was started before
	commandResolve = "RESOLVE" // the reply to a run's dependency call
	commandTop     = "TOP"     // request the gauges

	noticeBanner = "BANNER" // the first notice: the interpreter's state and uptime
	noticeTops   = "TOPS"   // the gauges
	noticeAwait  = "AWAIT"  // a run waits for a dependency call
	noticeValue  = "VALUE"  // a run has ended
	noticeError  = "ERROR"  // a command was refused
	noticeTrace  = "TRACE"  // diagnostic output

	refTick = "tick" // marks a TOP that only requests the gauges
	// refSync marks the TOP whose answer shows that all earlier notices have been read.
	refSync = "sync"
	// refRedirect marks the TOP whose answer shows that all earlier commands have arrived.
	refRedirect = "move"
)

const (
	maxLineBytes = 1 << 20
	maxUptimeMs  = 1 << 40 // milliseconds; keeps the conversion to a time.Duration from overflowing
	writeTimeout = 2 * time.Second
	minBackoff   = 5 * time.Millisecond // after a live link broke; doubled after each failed attempt
	maxBackoff   = time.Second          // also the dial timeout
	// redirectTimeout is how long Redirect waits for the old link to confirm that its commands have arrived.
	redirectTimeout = 500 * time.Millisecond
	// silenceTimeout and minSilentProbes set when a live link that receives nothing is considered broken: both must be exceeded. The gauges
	// are requested forty times a second, so a working link is never silent. The probe count prevents closing a working link after this
	// process itself was suspended for longer than silenceTimeout: it has then sent only one probe.
	silenceTimeout  = 10 * time.Second
	minSilentProbes = 40
)

// Link runs requests on the interpreter. It is the core's Runner.
type Link struct {
	gauges []string // names, in the order of the values in TOPS
	events Events
	log    *log.Logger
	stats  *metrics.Counters
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	wake   chan struct{} // holds a token while commands may be queued

	mu               sync.Mutex
	addr             string
	cancelLink       context.CancelFunc // ends the current link, or the wait before the next one
	runs             map[string]*run    // by ID; runs whose end has not been read
	queue            []command          // commands that have not been written
	live             bool               // all notices that earlier links missed have been read
	redirecting      bool               // the link is being moved to another address
	lastNotice       int64              // number of the last notice read on any link
	brokeAt          time.Time          // when the last live link broke; zero after a redirect
	lastReceived     time.Time          // when the current link last received a line
	unansweredProbes int                // probes sent since lastReceived
	silent           bool               // the link is being closed because it receives nothing
}

// run is a run whose end has not been read.
type run struct {
	applyLine  []byte // the APPLY command that starts the run
	sent       bool   // the start was queued or written on the current link or an earlier one
	sentBefore bool   // the start was sent on more than one link
}

// command is a queued line.
type command struct {
	line       []byte
	resolve    bool // a RESOLVE; kept for the next link if this one breaks before it is written
	lastOnLink bool // later commands wait for the next link
}

// New returns a link to the interpreter at addr. The parameter gauges lists the names of the gauges in the order in which the interpreter
// sends their values. Maintain opens the link and keeps it open.
func New(addr string, gauges []string, events Events, l *log.Logger, s *metrics.Counters) *Link {
	return &Link{
		addr: addr, gauges: gauges, events: events, log: l, stats: s, runs: map[string]*run{}, cancelLink: func() {},
		wake: make(chan struct{}, 1), dial: (&net.Dialer{Timeout: maxBackoff}).DialContext,
	}
}

// jsonLine returns a line with a JSON object of string fields. The arguments alternate between names and values.
func jsonLine(pairs ...string) []byte {
	var a fastjson.Arena
	o := a.NewObject()
	for i := 0; i < len(pairs); i += 2 {
		o.Set(pairs[i], a.NewString(pairs[i+1]))
	}
	return append(o.MarshalTo(nil), '\n')
}

// Run starts a run of a request. While the link is down, the start waits for the next link.
func (l *Link) Run(id, class string, body []byte) {
	line := jsonLine("type", commandApply, "job", id, "kind", class, "data", base64.StdEncoding.EncodeToString(body))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] = &run{applyLine: line, sent: l.live}
	if l.live {
		l.enqueue(command{line: line})
	}
}

// Resume sends a run the reply to its dependency call. It does nothing if the run has ended.
func (l *Link) Resume(id string, reply []byte) {
	line := jsonLine("type", commandResolve, "job", id, "data", base64.StdEncoding.EncodeToString(reply))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[id] != nil {
		l.enqueue(command{line: line, resolve: true})
	}
}

// Probe requests the gauges, which are reported to Events. If the link has been silent for too long, Probe closes it instead.
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

// enqueue queues a command to be written once the link is live. The caller holds l.mu.
func (l *Link) enqueue(c command) {
	l.queue = append(l.queue, c)
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Redirect moves the link to a new address of the same interpreter, so runs continue and notices keep their numbers. A live link is closed
// once the interpreter confirms that all written commands have arrived, so that none is lost, or after redirectTimeout. Commands that are
// queued in the meantime wait for the new link.
func (l *Link) Redirect(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if addr == l.addr {
		return
	}
	l.addr, l.brokeAt = addr, time.Time{}
	switch {
	case l.redirecting: // the redirect in progress connects to the most recent address
	case l.live:
		l.redirecting = true
		l.enqueue(command{line: jsonLine("type", commandTop, "ref", refRedirect), lastOnLink: true})
		time.AfterFunc(redirectTimeout, l.cancelLink)
	default:
		l.cancelLink() // only CONNECT has been written, so no command can be lost
	}
}

// Maintain keeps the link open until the context ends. It is called once.
func (l *Link) Maintain(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		linkCtx, cancel := context.WithCancel(ctx)
		l.mu.Lock()
		addr := l.addr
		l.cancelLink = cancel
		l.mu.Unlock()
		becameLive, closedByRedirect, err := l.serveLink(linkCtx, addr)
		l.mu.Lock()
		redirected, next := closedByRedirect || addr != l.addr, l.addr
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
			if becameLive {
				backoff = minBackoff
			}
			select {
			case <-linkCtx.Done(): // the context ended, or Redirect was called
			case <-time.After(backoff):
			}
			backoff = min(2*backoff, maxBackoff)
		}
		cancel()
	}
}

// errSilent closes a link that has received nothing for silenceTimeout.
var errSilent = fmt.Errorf("no notice received for %v", silenceTimeout)

// errRedirected closes a link that was moved to another address by Redirect.
var errRedirected = errors.New("link redirected to another address")

// serveLink opens one link and serves it until it fails: it sends CONNECT, then reads notices while a second goroutine writes commands. It
// reports whether the link became live, whether it was closed by Redirect, and the error that ended it.
func (l *Link) serveLink(ctx context.Context, addr string) (live, redirected bool, err error) {
	conn, err := l.dial(ctx, "tcp", addr)
	if err != nil {
		return false, false, fmt.Errorf("failed to connect to the interpreter: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	l.mu.Lock()
	connectLine := fmt.Appendf(nil, `{"type":"%s","n":%d}`+"\n", commandConnect, l.lastNotice)
	l.mu.Unlock()
	if err := writeWithTimeout(conn, connectLine); err != nil {
		conn.Close()
		return false, false, err
	}
	linkDone, writerDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(writerDone)
		l.writeLoop(conn, linkDone)
	}()
	err = l.readLoop(conn)
	conn.Close()
	close(linkDone)
	<-writerDone
	l.mu.Lock()
	defer l.mu.Unlock()
	live, redirected = l.live || l.redirecting, l.redirecting
	if l.silent {
		err = errSilent
	}
	l.silent = false
	if l.live && !l.redirecting {
		l.brokeAt = time.Now()
	}
	l.live, l.redirecting = false, false
	// Replies that were not written are sent on the next link. Starts of runs are dropped here, since becomeLive resends them.
	unsentReplies := l.queue[:0]
	for _, c := range l.queue {
		if c.resolve {
			unsentReplies = append(unsentReplies, c)
		}
	}
	l.queue = unsentReplies
	return live, redirected, err
}
