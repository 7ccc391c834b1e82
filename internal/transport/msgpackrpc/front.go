// Package msgpackrpc is the platform's front: MessagePack-RPC over TCP. It parses, maps and writes; what
// becomes of a request is the core's and the module's.
package msgpackrpc

import (
	"errors"
	"io"
	"log"
	"net"
	"os"
	"runtime"
	"strconv"
	"sync"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/transport/bufferpool"
	"silverpath/internal/transport/listener"
)

// Name is the front's name in counters and log lines.
const Name = "msgpack"

const (
	// StatusMethod asks for the state of the service as JSON, where the core tells it.
	StatusMethod = "status"

	methodProbe  = "probe"
	methodCancel = "giveUp"
	methodDrain  = "lastCall"
	// methodLastTaken is said to routers before a connection at rest is ended: the number of the last message on it that was taken.
	// What crosses the end with a higher one was not and never will be, so that it may be sent again, sheets too.
	methodLastTaken = "lastTaken"
	errorFull       = "Full"
	errorFailed     = "Error"

	// SlowStartProbeIntervals is for how many of its probes' intervals a router goes by its part of a server that is cold.
	SlowStartProbeIntervals = 3

	maxInFlightServed = 64 // requests on a connection; balancers keep to half of that
	writeTimeout      = 2 * time.Second
	lastTakenTimeout  = 10 * time.Millisecond // of notifyLastTaken: whoever takes nothing hears nothing
	maxClockSkew      = 10 * time.Second      // by which a balancer's clock may be ahead
	maxTimeout        = time.Hour
	maxTerm           = time.Hour // of those that a router names
)

// Front serves balancers.
type Front struct {
	core   *core.Core
	log    *log.Logger
	stats  *metrics.Counters
	writes *metrics.Timing
}

// New returns the front of a core.
func New(c *core.Core, l *log.Logger, s *metrics.Counters) *Front {
	return &Front{c, l, s, s.Timing("write", Name)}
}

// client is one connection of a balancer.
type client struct {
	*Front
	conn net.Conn
	slot *listener.Slot

	mu             sync.Mutex
	pending        map[uint64]string // request ids by message id
	writingAnswers int               // answers that are being written
	lastTakenID    uint64            // number of the last request taken
	drainNotified  bool              // notifyDrain was sent
	broken         bool

	writing sync.Mutex

	skippedAnswer core.Answer // of the request passed over unread just now; the reader's own
}

// Serve is the life of one connection.
func (f *Front) Serve(conn net.Conn, slot *listener.Slot) {
	c := &client{Front: f, conn: conn, slot: slot, pending: map[uint64]string{}}
	slot.OnDrain(c.notifyDrain)
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	_, inCell := f.core.StartStamp()
	if inCell {
		slot.OnEvict(c.notifyLastTaken)
	}
	d := decoder{r: r, statusEnabled: f.core.ServesStatus(), inCell: inCell, rejects: func(class string) (rejected bool) {
		c.skippedAnswer, rejected = f.core.RejectsUnread(Name, class)
		return rejected
	}}
	var requests sync.WaitGroup
	var err error
	conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout)) // who connects and says nothing keeps no place
	for n := 1; err == nil; n++ {
		if n%listener.MessagesPerTurn == 0 {
			runtime.Gosched()
		}
		if _, err = r.Peek(1); err != nil {
			break
		}
		conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
		var m message
		if m, err = d.message(); err != nil {
			break
		}
		conn.SetReadDeadline(time.Time{})
		if !slot.BeginMessage() {
			break // its place was given up as this came: nothing of it ran
		}
		err = c.handle(m, &requests)
		if r.Buffered() == 0 {
			slot.EndMessage()
		} // else more has been read already, which nobody can see on the connection
	}
	// What comes to a half is no request. It costs nobody an answer: what was asked before it is answered as long as the
	// other side may read.
	switch {
	case err == nil || err == io.EOF || errors.Is(err, os.ErrDeadlineExceeded) && slot.Evicted():
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.stats.Inc("too_slow", Name)
	case errors.Is(err, errMalformed) || errors.Is(err, io.ErrUnexpectedEOF):
		f.stats.Inc("malformed", Name)
		slot.LogPeer("front.closed", Name, conn.RemoteAddr(), err)
	default:
		c.abort()
	}
	requests.Wait()
	slot.CloseGracefully(r)
}

// handle does what one message asks.
func (c *client) handle(m message, requests *sync.WaitGroup) error {
	switch {
	case m.kind == notification:
		if m.method == methodCancel {
			c.stats.Inc("give_up", Name)
			c.mu.Lock()
			id := c.pending[m.id]
			delete(c.pending, m.id)
			c.slot.SetInFlight(len(c.pending) + c.writingAnswers)
			c.mu.Unlock()
			if id != "" {
				c.core.CallerGone(id)
			}
		}
		return nil
	case m.method == methodProbe:
		c.stats.Inc("probes", Name)
		c.slot.PaceCheapCall()
		c.respondToProbe(m)
		return nil
	}
	c.mu.Lock()
	c.lastTakenID = max(c.lastTakenID, m.id)
	c.mu.Unlock()
	if m.status {
		c.stats.Inc("status", Name)
		c.slot.PaceCheapCall()
		c.reply(m.id, core.Answer{Outcome: core.Served, Body: c.core.Status()})
		return nil
	}
	if m.skipped {
		c.reply(m.id, c.skippedAnswer)
		return nil
	}
	if k, _ := c.core.Class(m.method); !c.slot.AdmitsWork() && k.Effect != silverpath.Idempotent {
		// What is left of the connections is for what is cheap, and a sheet may be: the repeat of one that has run.
		c.stats.Inc("turned_away", Name, "reserve")
		c.reply(m.id, core.Answer{Outcome: core.Rejected, RetryAfter: c.core.RetryAfter()})
		c.notifyDrain()
		return nil
	}
	r, problem := mapRequest(m, time.Now(), c.core)
	if r.RulesID != "" {
		r.RulesSource = c.conn.RemoteAddr().String()
	}
	c.mu.Lock()
	if _, duplicate := c.pending[m.id]; duplicate {
		c.mu.Unlock()
		return malformed("message id %d given twice", m.id)
	}
	tooMany := len(c.pending) >= maxInFlightServed
	if problem == "" && !tooMany {
		c.pending[m.id] = r.ID
		c.slot.SetInFlight(len(c.pending) + c.writingAnswers)
	}
	c.mu.Unlock()
	switch {
	case problem == core.ReasonBoot:
		c.stats.Inc("turned_away", Name, problem)
		c.reply(m.id, core.Answer{Outcome: core.Rejected, RetryAfter: c.core.RetryAfter(), Reason: problem})
	case problem != "":
		c.stats.Inc("bad_field", Name, problem)
		c.reply(m.id, core.Answer{Outcome: core.Failed})
	case tooMany:
		c.stats.Inc("turned_away", Name, "too_many_open")
		c.reply(m.id, core.Answer{Outcome: core.Rejected, RetryAfter: c.core.RetryAfter()})
	default:
		requests.Add(1)
		go func() {
			defer requests.Done()
			c.core.Serve(r, func(a core.Answer) { c.respond(m.id, r.ID, a) })
		}()
	}
	return nil
}

// respondToProbe answers a health check. A router says with it by which rules it goes, and hears what else is known of them.
func (c *client) respondToProbe(m message) {
	var fields []string
	if id := m.fields["g"]; id != "" {
		ms := func(key string) time.Duration {
			n, _ := strconv.ParseInt(m.fields[key], 10, 64)
			return time.Duration(max(0, min(n, maxTerm.Milliseconds()))) * time.Millisecond
		}
		c.core.ObserveRules(id, m.fields["gn"], configstore.Terms{Lease: ms("gl"), ClockSkew: ms("gs"), ProbeInterval: ms("gp"), ProbeTimeout: ms("gw"), OverlapWindow: ms("gd")})
		fields = c.core.RulesNotice()
		inFlight, _ := strconv.Atoi(m.fields["fl"])
		if share, warming := c.core.SlowStart(m.fields["gn"], inFlight, SlowStartProbeIntervals*max(ms("gp"), time.Millisecond)); warming {
			fields = append(fields, "c", strconv.Itoa(share))
		}
	}
	c.write(func(b []byte) []byte { return appendHealth(b, m.id, c.core.Health(), c.withServerState(fields)) })
}

// abort gives up the connection: nobody can be answered on it any more.
func (c *client) abort() {
	c.conn.Close()
	c.mu.Lock()
	pending := c.pending
	c.pending, c.broken = map[uint64]string{}, true
	c.slot.SetInFlight(0)
	c.mu.Unlock()
	for _, id := range pending {
		c.core.CallerGone(id)
	}
}

// mapRequest reads the fields of a request. The problem names the first field that is no good.
func mapRequest(m message, now time.Time, c *core.Core) (r core.Request, problem string) {
	f := m.fields
	stamp, err := strconv.ParseInt(f["s"], 10, 64)
	if err != nil || stamp < 0 || stamp > now.Add(maxClockSkew).UnixMilli() {
		return r, "s"
	}
	timeoutMs, err := strconv.ParseInt(f["d"], 10, 64)
	switch k, known := c.Class(m.method); {
	case f["d"] == "" && known:
		timeoutMs = k.Deadline.Milliseconds()
	case err != nil || timeoutMs < 0 || timeoutMs > maxTimeout.Milliseconds():
		return r, "d"
	}
	reservedKB, err := strconv.ParseFloat(f["m"], 64)
	if err != nil || !(reservedKB > 0 && reservedKB < 2000) {
		return r, "m"
	}
	if f["i"] == "" {
		return r, "i"
	}
	rank, err := strconv.ParseFloat(f["p"], 64)
	if f["p"] != "" && (err != nil || !(rank >= 0 && rank < 1)) {
		return r, "p"
	}
	caller, err := strconv.Atoi(f["f"])
	if f["f"] != "" && (err != nil || caller < 0) {
		return r, "f"
	}
	incarnation, inCell := c.StartStamp()
	if inCell && f["b"] != "" && f["b"] != strconv.FormatInt(incarnation, 10) {
		return r, core.ReasonBoot
	}
	receivedAt := time.UnixMilli(stamp)
	configID := ""
	if inCell && f["k"] != "" {
		configID = f["g"]
	}
	return core.Request{
		Front: Name, ID: f["i"], Class: m.method, Tenant: f["t"], Key: f["k"], Object: f["o"],
		Caller: caller, MemoryKB: reservedKB, Rank: rank, Body: m.body, OnlyIfKnown: inCell && f["n"] == "1" && f["k"] != "",
		RulesID:    configID,
		ReceivedAt: receivedAt, Deadline: receivedAt.Add(time.Duration(timeoutMs) * time.Millisecond),
	}, ""
}

// withServerState appends the free value, where the module has set one.
func (c *client) withServerState(pairs []string) []string {
	if v, ok := c.core.Signal(); ok {
		pairs = append(pairs, "v", strconv.FormatFloat(v, 'f', -1, 64))
	}
	if incarnation, inCell := c.core.StartStamp(); inCell {
		pairs = append(pairs, "b", strconv.FormatInt(incarnation, 10))
		if c.core.Cold() {
			pairs = append(pairs, "cs", "1")
		}
		if lastRun := c.core.UnknownRunsUntil(); lastRun != 0 {
			pairs = append(pairs, "l", strconv.FormatInt(lastRun, 10))
		}
	}
	return pairs
}

// respond writes the answer of an open request. One that was given up is owed none, and its number may by now be
// another request's.
func (c *client) respond(id uint64, requestID string, a core.Answer) {
	c.mu.Lock()
	pending := c.pending[id] == requestID
	if pending {
		delete(c.pending, id)
		c.writingAnswers++ // until it is written the connection is not idle
	}
	c.mu.Unlock()
	if !pending {
		return
	}
	c.reply(id, a)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writingAnswers--
	c.slot.SetInFlight(len(c.pending) + c.writingAnswers)
}

func (c *client) reply(id uint64, a core.Answer) {
	c.write(func(b []byte) []byte { return appendAnswer(b, id, a, c.withServerState(nil)) })
}

func appendAnswer(b []byte, id uint64, a core.Answer, fields []string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	switch a.Outcome {
	case core.Served:
		b = appendArray(appendNil(b), 2)
		return appendFields(appendBin(b, a.Body), fields)
	case core.Rejected:
		if a.RetryAfter > 0 {
			fields = append(fields, "w", strconv.FormatInt(max(1, a.RetryAfter.Milliseconds()), 10))
		}
		if a.Final {
			fields = append(fields, "l", "1")
		}
		if a.Reason != "" {
			fields = append(fields, "x", a.Reason)
		}
		b = appendText(appendArray(b, 2), errorFull)
	default:
		b = appendText(appendArray(b, 2), errorFailed)
	}
	return appendNil(appendFields(b, fields))
}

func appendHealth(b []byte, id uint64, healthy bool, fields []string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	return appendFields(appendBool(appendArray(appendNil(b), 2), healthy), fields)
}

// notifyDrain tells the balancer to bring no more on this connection; it closes it once all is answered.
func (c *client) notifyDrain() {
	c.mu.Lock()
	notified := c.drainNotified
	c.drainNotified = true
	c.mu.Unlock()
	if !notified {
		c.write(func(b []byte) []byte {
			return appendArray(appendText(appendUint(appendArray(b, 3), uint64(notification)), methodDrain), 0)
		})
	}
}

// notifyLastTaken tells a router up to which number requests on this connection were taken. None is from now on.
func (c *client) notifyLastTaken() {
	c.mu.Lock()
	id := c.lastTakenID
	c.mu.Unlock()
	if !c.writing.TryLock() {
		return // something is stuck in it
	}
	defer c.writing.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(lastTakenTimeout))
	c.conn.Write(appendUint(appendArray(appendText(appendUint(appendArray(nil, 3), uint64(notification)), methodLastTaken), 1), id))
}

// write writes one message. A peer that takes nothing for writeTimeout loses its connection.
func (c *client) write(message func([]byte) []byte) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken {
		return
	}
	*b = message(*b)
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	startedAt := time.Now()
	_, err := c.conn.Write(*b)
	c.writes.Record(time.Since(startedAt))
	if err != nil {
		c.stats.Inc("write_failed", Name)
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
		c.conn.Close() // the reader gives up what is open
	}
}
