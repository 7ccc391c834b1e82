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

	probe    = "probe"
	giveUp   = "giveUp"
	lastCall = "lastCall"
	// lastTaken is said to routers before a connection at rest is ended: the number of the last message on it that was taken.
	// What crosses the end with a higher one was not and never will be, so that it may be sent again, sheets too.
	lastTaken = "lastTaken"
	full      = "Full"
	failed    = "Error"

	// SlowStartTerms is for how many of its probes' intervals a router goes by its part of a server that is cold.
	SlowStartTerms = 3

	mostOpen     = 64 // requests on a connection; balancers keep to half of that
	writeTimeout = 2 * time.Second
	byeTimeout   = 10 * time.Millisecond // of lastTaken: whoever takes nothing hears nothing
	mostAhead    = 10 * time.Second      // by which a balancer's clock may be ahead
	longestWait  = time.Hour
	mostTerm     = time.Hour // of those that a router names
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

	mu     sync.Mutex
	open   map[uint64]string // request ids by message id
	unsent int               // answers that are being written
	last   uint64            // number of the last request taken
	called bool              // lastCall was sent
	broken bool

	writing sync.Mutex

	refusal core.Answer // of the request passed over unread just now; the reader's own
}

// Serve is the life of one connection.
func (f *Front) Serve(conn net.Conn, slot *listener.Slot) {
	c := &client{Front: f, conn: conn, slot: slot, open: map[uint64]string{}}
	slot.OnDrain(c.lastCall)
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	_, cell := f.core.Boot()
	if cell {
		slot.OnEvict(c.lastTaken)
	}
	d := decoder{r: r, status: f.core.TellsStatus(), cell: cell, shut: func(class string) (shut bool) {
		c.refusal, shut = f.core.Shut(Name, class)
		return shut
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
		err = c.take(m, &requests)
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
		c.fail()
	}
	requests.Wait()
	slot.CloseGracefully(r)
}

// take does what one message asks.
func (c *client) take(m message, requests *sync.WaitGroup) error {
	switch {
	case m.kind == notification:
		if m.method == giveUp {
			c.stats.Inc("give_up", Name)
			c.mu.Lock()
			id := c.open[m.id]
			delete(c.open, m.id)
			c.slot.SetInFlight(len(c.open) + c.unsent)
			c.mu.Unlock()
			if id != "" {
				c.core.Gone(id)
			}
		}
		return nil
	case m.method == probe:
		c.stats.Inc("probes", Name)
		c.slot.PaceCheapCall()
		c.probed(m)
		return nil
	}
	c.mu.Lock()
	c.last = max(c.last, m.id)
	c.mu.Unlock()
	if m.status {
		c.stats.Inc("status", Name)
		c.slot.PaceCheapCall()
		c.reply(m.id, core.Answer{Outcome: core.Served, Body: c.core.Status()})
		return nil
	}
	if m.unread {
		c.reply(m.id, c.refusal)
		return nil
	}
	if k, _ := c.core.Class(m.method); !c.slot.AdmitsWork() && k.Effect != silverpath.Idempotent {
		// What is left of the connections is for what is cheap, and a sheet may be: the repeat of one that has run.
		c.stats.Inc("turned_away", Name, "reserve")
		c.reply(m.id, core.Answer{Outcome: core.Refused, Wait: c.core.Advice()})
		c.lastCall()
		return nil
	}
	r, problem := mapRequest(m, time.Now(), c.core)
	if r.Rules != "" {
		r.Source = c.conn.RemoteAddr().String()
	}
	c.mu.Lock()
	if _, twice := c.open[m.id]; twice {
		c.mu.Unlock()
		return malformed("message id %d given twice", m.id)
	}
	many := len(c.open) >= mostOpen
	if problem == "" && !many {
		c.open[m.id] = r.ID
		c.slot.SetInFlight(len(c.open) + c.unsent)
	}
	c.mu.Unlock()
	switch {
	case problem == core.WhyBoot:
		c.stats.Inc("turned_away", Name, problem)
		c.reply(m.id, core.Answer{Outcome: core.Refused, Wait: c.core.Advice(), Why: problem})
	case problem != "":
		c.stats.Inc("bad_field", Name, problem)
		c.reply(m.id, core.Answer{Outcome: core.Failed})
	case many:
		c.stats.Inc("turned_away", Name, "too_many_open")
		c.reply(m.id, core.Answer{Outcome: core.Refused, Wait: c.core.Advice()})
	default:
		requests.Add(1)
		go func() {
			defer requests.Done()
			c.core.Serve(r, func(a core.Answer) { c.answer(m.id, r.ID, a) })
		}()
	}
	return nil
}

// probed answers a health check. A router says with it by which rules it goes, and hears what else is known of them.
func (c *client) probed(m message) {
	var told []string
	if id := m.fields["g"]; id != "" {
		ms := func(key string) time.Duration {
			n, _ := strconv.ParseInt(m.fields[key], 10, 64)
			return time.Duration(max(0, min(n, mostTerm.Milliseconds()))) * time.Millisecond
		}
		c.core.Heard(id, m.fields["gn"], configstore.Terms{Lease: ms("gl"), Skew: ms("gs"), Probe: ms("gp"), Wait: ms("gw"), Dual: ms("gd")})
		told = c.core.RulesTold()
		flying, _ := strconv.Atoi(m.fields["fl"])
		if part, cold := c.core.SlowStart(m.fields["gn"], flying, SlowStartTerms*max(ms("gp"), time.Millisecond)); cold {
			told = append(told, "c", strconv.Itoa(part))
		}
	}
	c.write(func(b []byte) []byte { return appendProbe(b, m.id, c.core.Health(), c.signal(told)) })
}

// fail gives up the connection: nobody can be answered on it any more.
func (c *client) fail() {
	c.conn.Close()
	c.mu.Lock()
	ids := c.open
	c.open, c.broken = map[uint64]string{}, true
	c.slot.SetInFlight(0)
	c.mu.Unlock()
	for _, id := range ids {
		c.core.Gone(id)
	}
}

// mapRequest reads the fields of a request. The problem names the first field that is no good.
func mapRequest(m message, now time.Time, c *core.Core) (r core.Request, problem string) {
	f := m.fields
	stamp, err := strconv.ParseInt(f["s"], 10, 64)
	if err != nil || stamp < 0 || stamp > now.Add(mostAhead).UnixMilli() {
		return r, "s"
	}
	wait, err := strconv.ParseInt(f["d"], 10, 64)
	switch k, known := c.Class(m.method); {
	case f["d"] == "" && known:
		wait = k.Deadline.Milliseconds()
	case err != nil || wait < 0 || wait > longestWait.Milliseconds():
		return r, "d"
	}
	held, err := strconv.ParseFloat(f["m"], 64)
	if err != nil || !(held > 0 && held < 2000) {
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
	boot, cell := c.Boot()
	if cell && f["b"] != "" && f["b"] != strconv.FormatInt(boot, 10) {
		return r, core.WhyBoot
	}
	reached := time.UnixMilli(stamp)
	rules := ""
	if cell && f["k"] != "" {
		rules = f["g"]
	}
	return core.Request{
		Front: Name, ID: f["i"], Class: m.method, Tenant: f["t"], Key: f["k"], Object: f["o"],
		Caller: caller, HeldKB: held, Rank: rank, Body: m.body, Known: cell && f["n"] == "1" && f["k"] != "",
		Rules:   rules,
		Reached: reached, Due: reached.Add(time.Duration(wait) * time.Millisecond),
	}, ""
}

// signal appends the free value, where the module has set one.
func (c *client) signal(pairs []string) []string {
	if v, ok := c.core.Signal(); ok {
		pairs = append(pairs, "v", strconv.FormatFloat(v, 'f', -1, 64))
	}
	if boot, cell := c.core.Boot(); cell {
		pairs = append(pairs, "b", strconv.FormatInt(boot, 10))
		if c.core.Cold() {
			pairs = append(pairs, "cs", "1")
		}
		if ran := c.core.Ran(); ran != 0 {
			pairs = append(pairs, "l", strconv.FormatInt(ran, 10))
		}
	}
	return pairs
}

// answer writes the answer of an open request. One that was given up is owed none, and its number may by now be
// another request's.
func (c *client) answer(id uint64, request string, a core.Answer) {
	c.mu.Lock()
	open := c.open[id] == request
	if open {
		delete(c.open, id)
		c.unsent++ // until it is written the connection is not idle
	}
	c.mu.Unlock()
	if !open {
		return
	}
	c.reply(id, a)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent--
	c.slot.SetInFlight(len(c.open) + c.unsent)
}

func (c *client) reply(id uint64, a core.Answer) {
	c.write(func(b []byte) []byte { return appendAnswer(b, id, a, c.signal(nil)) })
}

func appendAnswer(b []byte, id uint64, a core.Answer, fields []string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	switch a.Outcome {
	case core.Served:
		b = appendArray(appendNil(b), 2)
		return appendFields(appendBin(b, a.Body), fields)
	case core.Refused:
		if a.Wait > 0 {
			fields = append(fields, "w", strconv.FormatInt(max(1, a.Wait.Milliseconds()), 10))
		}
		if a.Final {
			fields = append(fields, "l", "1")
		}
		if a.Why != "" {
			fields = append(fields, "x", a.Why)
		}
		b = appendText(appendArray(b, 2), full)
	default:
		b = appendText(appendArray(b, 2), failed)
	}
	return appendNil(appendFields(b, fields))
}

func appendProbe(b []byte, id uint64, good bool, fields []string) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	return appendFields(appendBool(appendArray(appendNil(b), 2), good), fields)
}

// lastCall tells the balancer to bring no more on this connection; it closes it once all is answered.
func (c *client) lastCall() {
	c.mu.Lock()
	called := c.called
	c.called = true
	c.mu.Unlock()
	if !called {
		c.write(func(b []byte) []byte {
			return appendArray(appendText(appendUint(appendArray(b, 3), uint64(notification)), lastCall), 0)
		})
	}
}

// lastTaken tells a router up to which number requests on this connection were taken. None is from now on.
func (c *client) lastTaken() {
	c.mu.Lock()
	last := c.last
	c.mu.Unlock()
	if !c.writing.TryLock() {
		return // something is stuck in it
	}
	defer c.writing.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(byeTimeout))
	c.conn.Write(appendUint(appendArray(appendText(appendUint(appendArray(nil, 3), uint64(notification)), lastTaken), 1), last))
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
	began := time.Now()
	_, err := c.conn.Write(*b)
	c.writes.Record(time.Since(began))
	if err != nil {
		c.stats.Inc("write_failed", Name)
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
		c.conn.Close() // the reader gives up what is open
	}
}
