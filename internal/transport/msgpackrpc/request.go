package msgpackrpc

import (
	"strconv"
	"sync"
	"time"

	"silverpath"
	"silverpath/internal/core"
)

// handle processes one message. It returns an error for a malformed message, which ends the connection.
func (c *frontConn) handle(m message, requests *sync.WaitGroup) error {
	switch {
	case m.kind == notification:
		if m.method == methodCancel {
			c.cancel(m.id)
		}
		return nil
	case m.method == methodProbe:
		c.stats.Inc("probes", Name)
		c.slot.ThrottleCheapCall()
		c.respondToProbe(m)
		return nil
	}
	c.mu.Lock()
	c.lastTakenID = max(c.lastTakenID, m.id)
	c.mu.Unlock()
	switch {
	case m.status:
		c.stats.Inc("status", Name)
		c.slot.ThrottleCheapCall()
		c.writeAnswer(m.id, core.Answer{Outcome: core.Served, Body: c.core.Status()})
		return nil
	case m.skipped:
		c.writeAnswer(m.id, c.skippedAnswer)
		return nil
	}
	if class, _ := c.core.Class(m.method); !c.slot.AdmitsWork() && class.Effect != silverpath.Idempotent {
		// This connection is reserved for calls that start no run. An idempotent request is not rejected here: it may be the retry of a
		// request that has already run.
		c.stats.Inc("turned_away", Name, "reserve")
		c.writeAnswer(m.id, core.Answer{Outcome: core.Rejected, RetryAfter: c.core.RetryAfter()})
		c.notifyDrain()
		return nil
	}
	return c.serve(m, requests)
}

// cancel drops a request in flight whose caller no longer waits. A request that was answered in the meantime is ignored.
func (c *frontConn) cancel(id uint64) {
	c.stats.Inc("give_up", Name)
	c.mu.Lock()
	requestID := c.pending[id]
	delete(c.pending, id)
	c.slot.SetInFlight(len(c.pending) + c.writingAnswers)
	c.mu.Unlock()
	if requestID != "" {
		c.core.CallerDisconnected(requestID)
	}
}

// serve passes a request for work to the core, in a goroutine of its own. It rejects or fails a request that has an invalid field, is
// meant for another incarnation of this server, or exceeds maxInFlightServed. It returns an error if the message id is already in use.
func (c *frontConn) serve(m message, requests *sync.WaitGroup) error {
	r, badField := mapRequest(m, time.Now(), c.core)
	if r.RulesID != "" {
		r.RulesSource = c.conn.RemoteAddr().String()
	}
	c.mu.Lock()
	if _, duplicate := c.pending[m.id]; duplicate {
		c.mu.Unlock()
		return malformed("message id %d is already in flight", m.id)
	}
	tooMany := len(c.pending) >= maxInFlightServed
	if badField == "" && !tooMany {
		c.pending[m.id] = r.ID
		c.slot.SetInFlight(len(c.pending) + c.writingAnswers)
	}
	c.mu.Unlock()
	switch {
	case badField == core.ReasonBoot:
		c.stats.Inc("turned_away", Name, badField)
		c.writeAnswer(m.id, core.Answer{Outcome: core.Rejected, RetryAfter: c.core.RetryAfter(), Reason: badField})
	case badField != "":
		c.stats.Inc("bad_field", Name, badField)
		c.writeAnswer(m.id, core.Answer{Outcome: core.Failed})
	case tooMany:
		c.stats.Inc("turned_away", Name, "too_many_open")
		c.writeAnswer(m.id, core.Answer{Outcome: core.Rejected, RetryAfter: c.core.RetryAfter()})
	default:
		c.start(m.id, r, requests)
	}
	return nil
}

// start passes a request to the core in a goroutine, which answers the message with the given id.
func (c *frontConn) start(id uint64, r core.Request, requests *sync.WaitGroup) {
	requests.Go(func() {
		c.core.Serve(r, func(a core.Answer) { c.respond(id, r.ID, a) })
	})
}

// mapRequest converts a message to a request of the core. BadField is the first field that is missing or out of bounds, core.ReasonBoot
// for a request that is meant for another incarnation of this server, or empty if the request is valid.
func mapRequest(m message, now time.Time, c *core.Core) (r core.Request, badField string) {
	f := m.fields
	receivedAt, ok := parseReceivedAt(f[fieldReceivedAt], now)
	if !ok {
		return r, fieldReceivedAt
	}
	timeout, ok := requestTimeout(f[fieldTimeout], m.method, c)
	if !ok {
		return r, fieldTimeout
	}
	memoryKB, ok := parseMemory(f[fieldMemory])
	if !ok {
		return r, fieldMemory
	}
	if id := f[fieldID]; id == "" || len(id) > maxIDBytes {
		return r, fieldID
	}
	rank, ok := parseRank(f[fieldRank])
	if !ok {
		return r, fieldRank
	}
	caller, ok := parseCaller(f[fieldCaller])
	if !ok {
		return r, fieldCaller
	}
	incarnation, inCell := c.StartStamp()
	if inCell && f[FieldIncarnation] != "" && f[FieldIncarnation] != strconv.FormatInt(incarnation, 10) {
		return r, core.ReasonBoot
	}
	r = core.Request{
		Front: Name, ID: f[fieldID], Class: m.method, Tenant: f[fieldTenant], Key: f[fieldKey], Object: f[fieldObject],
		Caller: caller, MemoryKB: memoryKB, Rank: rank, Body: m.body, ReceivedAt: receivedAt, Deadline: receivedAt.Add(timeout),
	}
	if inCell && r.Key != "" {
		r.OnlyIfKnown, r.RulesID = f[fieldKnownOnly] == FlagSet, f[FieldConfigID]
	}
	return r, ""
}

// requestTimeout parses how long the caller waits, counted from when the balancer received the request. If the field is missing, it
// returns the deadline of the class.
func requestTimeout(text, class string, c *core.Core) (timeout time.Duration, ok bool) {
	if classSettings, known := c.Class(class); text == "" && known {
		return classSettings.Deadline.Truncate(time.Millisecond), true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxTimeout.Milliseconds() {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// parseReceivedAt parses the time at which the balancer received a request. The balancer's clock may be ahead by up to maxClockSkew.
func parseReceivedAt(text string, now time.Time) (time.Time, bool) {
	ms, err := strconv.ParseInt(text, 10, 64)
	return time.UnixMilli(ms), err == nil && ms >= 0 && ms <= now.Add(maxClockSkew).UnixMilli()
}

// parseMemory parses the kilobytes of memory to reserve for a request.
func parseMemory(text string) (kb float64, ok bool) {
	kb, err := strconv.ParseFloat(text, 64)
	return kb, err == nil && kb > 0 && kb < maxMemoryKB
}

// parseRank parses a rank. A missing rank is 0.
func parseRank(text string) (rank float64, ok bool) {
	if text == "" {
		return 0, true
	}
	rank, err := strconv.ParseFloat(text, 64)
	return rank, err == nil && rank >= 0 && rank < 1
}

// parseCaller parses the number of a caller. A missing number is 0.
func parseCaller(text string) (caller int, ok bool) {
	if text == "" {
		return 0, true
	}
	caller, err := strconv.Atoi(text)
	return caller, err == nil && caller >= 0
}
