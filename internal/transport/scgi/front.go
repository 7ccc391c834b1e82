package scgi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/admission"
	"silverpath/internal/settings"
	"silverpath/internal/transport/bufferpool"
	"silverpath/internal/transport/linger"
	"silverpath/internal/transport/listener"
)

// Name is the name of this front in counters and log lines.
const Name = "scgi"

// The SCGI headers that mapRequest evaluates. A web server derives them from the HTTP headers X-Request-Class and so on, or sets them
// itself. docs/scgi.md defines each.
const (
	headerClass   = "HTTP_X_REQUEST_CLASS"
	headerTenant  = "HTTP_X_TENANT"
	headerTimeout = "HTTP_X_TIMEOUT_MS"
	headerCaller  = "HTTP_X_CALLER"
	headerRank    = "HTTP_X_RANK"
	headerKey     = "HTTP_IDEMPOTENCY_KEY"
)

const (
	// writeTimeout bounds the write of a response. A web server that does not read its response in this time does not get it.
	writeTimeout = 2 * time.Second
	// lingerTimeout and maxLingerBytes bound the lingering close after a response that was sent before the whole request was read. They
	// cover what a web server has buffered by then.
	lingerTimeout  = time.Second
	maxLingerBytes = 1 << 20
	// maxTimeout bounds HTTP_X_TIMEOUT_MS. The platform's deadlines are a few seconds.
	maxTimeout = time.Hour
	// maxKeyBytes bounds an idempotency key, which is kept in memory for the whole key window.
	maxKeyBytes = 128
	// maxTenantBytes bounds the name of a tenant. It is the longest that servers accept from a router: a longer one is malformed
	// there, and ends a connection that other requests share.
	maxTenantBytes = 512
)

// Front serves the SCGI requests of web servers on a core.
type Front struct {
	core      *core.Core
	cfg       settings.SCGI
	log       *log.Logger
	stats     *metrics.Counters
	writeTime *metrics.Timing
	bodies    *admission.BodyBudget
	salt      uint64
	seq       atomic.Uint64
}

// New returns an SCGI front for a core. The seed determines the request IDs, and bodies bounds the memory of the bodies. A listener calls
// Serve for each connection.
func New(c *core.Core, cfg settings.SCGI, bodies *admission.BodyBudget, seed int64, l *log.Logger, s *metrics.Counters) *Front {
	return &Front{core: c, cfg: cfg, log: l, stats: s, writeTime: s.Timing("write", Name), bodies: bodies,
		salt: rand.New(rand.NewPCG(uint64(seed), 1)).Uint64()}
}

// newID returns a request ID of 16 hexadecimal digits that is unique in this front.
func (f *Front) newID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], f.salt^f.seq.Add(1)*0x9e3779b97f4a7c15) // the odd factor keeps the IDs distinct
	return fmt.Sprintf("%x", b)
}

// rejection is the response to a request that never reaches the core.
type rejection struct {
	status, text string // of the response
	counter      string // the counter to increment
}

// Error returns the text of the response.
func (r *rejection) Error() string { return r.text }

// statusOf maps each outcome of the core to the status of the response.
var statusOf = map[core.Outcome]string{
	core.Served: "200 OK", core.Rejected: "503 Service Unavailable", core.Failed: "502 Bad Gateway",
	core.Expired: "504 Gateway Timeout", core.Invalid: "422 Unprocessable Content",
}

// Serve reads the request of a connection, answers it and closes the connection. It rejects a request by its headers alone if
// rejectUnread reports so or if the stated size of the body is too large.
func (f *Front) Serve(conn net.Conn, slot *listener.Slot) {
	defer conn.Close()
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
	m, err := readHead(r)
	if err == nil && f.answerByHead(conn, r, slot, m) {
		return
	}
	reservation := f.bodies.Reserve()
	var q core.Request
	if err == nil {
		q, err = f.readRequest(conn, r, m, reservation)
	}
	if err != nil {
		reservation.Release()
		f.reject(conn, r, slot, err)
		return
	}
	if !slot.BeginMessage() {
		reservation.Release()
		return // the connection was evicted meanwhile, and the request never ran
	}
	if r.Buffered() == 0 && f.callerLeft(conn) {
		reservation.Release()
		f.stats.Inc("dropped", Name)
		return // before its request was passed to the core, so it never ran
	}
	conn.SetReadDeadline(time.Time{})
	slot.SetInFlight(1)
	f.awaitAnswer(conn, r, q, reservation.Release, func() { // from here on the listener may evict the connection
		slot.SetInFlight(0)
		slot.EndMessage()
	})
}

// callerLeft reports whether the caller has closed its connection, or reset it if callers that close their sending half still wait.
func (f *Front) callerLeft(conn net.Conn) bool {
	if f.cfg.HalfClose {
		return linger.NewResetDetector(conn).Reset()
	}
	return linger.Peek(conn) == linger.Closed
}

// answerByHead answers a request that needs no body: a status request, or one that is rejected by its headers alone. It reports whether it
// did.
func (f *Front) answerByHead(conn net.Conn, r *bufio.Reader, slot *listener.Slot, m message) bool {
	if f.isStatusRequest(m.headers) {
		f.stats.Inc("status", Name)
		slot.ThrottleCheapCall()
		f.write(conn, statusOf[core.Served], f.core.Status(), "application/json", "Cache-Control", "no-store")
		linger.Close(conn, r, lingerTimeout, maxLingerBytes)
		return true
	}
	class, known := f.class(m.headers)
	if !known {
		return false
	}
	a, rejected := f.rejectUnread(class, slot)
	if !rejected {
		return false
	}
	f.writeAnswer(conn, a)
	if uint64(r.Buffered()) < m.bodySize { // otherwise the whole body has arrived, and a plain close causes no reset
		linger.Close(conn, r, lingerTimeout, maxLingerBytes)
	}
	return true
}

// readRequest reads the body of a request and converts it to a request of the core. If the reservation has no room for the body, the error
// is a *memoryError.
func (f *Front) readRequest(conn net.Conn, r *bufio.Reader, m message, reservation *admission.BodyReservation) (core.Request, error) {
	class, known := f.class(m.headers)
	idempotent := known && class.Effect == silverpath.Idempotent
	maxBody := f.cfg.MaxBody
	if !idempotent { // a retry of a request that has run is never rejected
		maxBody = f.core.MaxBody(maxBody)
	}
	err := m.readBody(r, maxBody, reservation)
	if errors.Is(err, bufferpool.ErrNoMemory) {
		err = &memoryError{idempotent}
	}
	if err != nil {
		return core.Request{}, err
	}
	return f.mapRequest(m, time.Now(), conn.RemoteAddr())
}

// memoryError is the error of a request whose body does not fit into the memory for bodies at the moment.
type memoryError struct{ idempotent bool }

// Error returns the reason for the log.
func (e *memoryError) Error() string { return bufferpool.ErrNoMemory.Error() }

// answer returns the answer to the request. An idempotent one may be the retry of a request that has run, so it fails and is not
// rejected.
func (e *memoryError) answer(retryAfter time.Duration) core.Answer {
	if e.idempotent {
		return core.Answer{Outcome: core.Failed}
	}
	return core.Answer{Outcome: core.Rejected, RetryAfter: retryAfter}
}

// rejectUnread reports whether a request is rejected by its headers alone, so that its body need not be read, and returns the answer. It
// rejects a request if the core accepts none of its class at the moment, or if the connection belongs to the reserve and the class is
// not idempotent.
func (f *Front) rejectUnread(class silverpath.Class, slot *listener.Slot) (core.Answer, bool) {
	a, rejected := f.core.RejectsUnread(Name, class.Name)
	if !rejected && !slot.AdmitsWork() && class.Effect != silverpath.Idempotent {
		f.stats.Inc("turned_away", Name, "reserve")
		return core.Answer{Outcome: core.Rejected, RetryAfter: f.core.RetryAfter()}, true
	}
	return a, rejected
}

// reject responds to a request that could not be read or mapped. A client that closed or broke the connection gets no response.
func (f *Front) reject(conn net.Conn, r *bufio.Reader, slot *listener.Slot, err error) {
	var p *rejection
	var noMemory *memoryError
	switch {
	case errors.As(err, &noMemory):
		f.stats.Inc("turned_away", Name, "body_memory")
		f.writeAnswer(conn, noMemory.answer(f.core.RetryAfter()))
		linger.Close(conn, r, lingerTimeout, maxLingerBytes)
		return
	case errors.As(err, &p):
	case errors.Is(err, errMalformed):
		p = &rejection{"400 Bad Request", err.Error(), "malformed"}
	case errors.Is(err, errTooLarge):
		p = &rejection{"413 Content Too Large", err.Error(), "too_large"}
	case errors.Is(err, io.EOF): // closed without sending anything
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		p = &rejection{"408 Request Timeout", fmt.Sprintf("no whole request came within %v", listener.MessageTimeout), "too_slow"}
	default:
		f.stats.Inc("cut_short", Name)
		return
	}
	f.stats.Inc(p.counter, Name)
	slot.LogPeer("scgi.unread", Name, p.status, conn.RemoteAddr(), p.text)
	f.write(conn, p.status, []byte(p.text+"\n"), "text/plain")
	linger.Close(conn, r, lingerTimeout, maxLingerBytes)
}

// awaitAnswer passes a request to the core and writes its answer. Meanwhile it reads from the connection to detect that the caller
// closes it. The run of an idempotent request then goes on, and a retry gets its result. The function onWritten is called once the
// answer is written, and onOver once the request is over, which may be after awaitAnswer has returned.
func (f *Front) awaitAnswer(conn net.Conn, r *bufio.Reader, q core.Request, onOver, onWritten func()) {
	answered := make(chan struct{})
	go func() {
		defer onOver()
		f.core.Serve(q, func(a core.Answer) {
			f.writeAnswer(conn, a, "X-Request-Id", q.ID)
			close(answered)
			if !linger.CloseWrite(conn) {
				conn.Close()
			}
			conn.SetReadDeadline(time.Now().Add(lingerTimeout))
			onWritten()
		})
	}()
	var err error
	for n := 0; err == nil; n++ { // bytes after the request are discarded
		if _, err = r.Discard(1); n == maxLingerBytes {
			f.stats.Inc("surplus", Name)
			<-answered // nothing more is read, but the answer is still written
			return
		}
	}
	select {
	case <-answered:
		return
	default:
	}
	if errors.Is(err, io.EOF) && f.cfg.HalfClose {
		<-answered
		return
	}
	f.stats.Inc("dropped", Name)
	f.core.CallerDisconnected(q.ID)
}

// writeAnswer writes an answer of the core as a response. A rejection gets a Retry-After header of at least 1 s.
func (f *Front) writeAnswer(conn net.Conn, a core.Answer, headers ...string) {
	if a.Outcome == core.Rejected {
		retryAfter := max(1, int64((a.RetryAfter+time.Second-1)/time.Second))
		headers = append(headers, "Retry-After", strconv.FormatInt(retryAfter, 10))
		if a.Final {
			headers = append(headers, "X-Retry-Elsewhere", "no")
		}
	}
	body, contentType := a.Body, "application/octet-stream"
	if a.Outcome != core.Served {
		body, contentType = []byte(a.Outcome.String()+"\n"), "text/plain"
	}
	f.write(conn, statusOf[a.Outcome], body, contentType, headers...)
}

// write writes a response. Headers are alternating names and values. A failed write is only counted.
func (f *Front) write(conn net.Conn, status string, body []byte, contentType string, headers ...string) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	*b = appendResponse(*b, status, body, contentType, headers...)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	startedAt := time.Now()
	_, err := conn.Write(*b)
	f.writeTime.Record(time.Since(startedAt))
	if err != nil {
		f.stats.Inc("write_failed", Name)
	}
}
