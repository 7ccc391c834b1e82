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
	"silverpath/internal/settings"
	"silverpath/internal/transport/bufferpool"
	"silverpath/internal/transport/linger"
	"silverpath/internal/transport/listener"
)

// Name is the front's name in counters and log lines.
const Name = "scgi"

// The headers that a request is mapped from; a web front makes them of the HTTP headers X-Request-Class and so on, or sets them
// itself. docs/scgi.md says what each means.
const (
	headerClass    = "HTTP_X_REQUEST_CLASS"
	headerTenant   = "HTTP_X_TENANT"
	headerDeadline = "HTTP_X_TIMEOUT_MS"
	headerCaller   = "HTTP_X_CALLER"
	headerRank     = "HTTP_X_RANK"
	headerKey      = "HTTP_IDEMPOTENCY_KEY"
)

const (
	// writeTimeout is how long a web front may take nothing of its answer before it loses it.
	writeTimeout = 2 * time.Second
	// lingerTimeout and maxLingerBytes bound what is read of a client after an answer that did not wait for all that it sends: as much
	// as a web front has buffered by then.
	lingerTimeout  = time.Second
	maxLingerBytes = 1 << 20
	// maxTimeout bounds HTTP_X_TIMEOUT_MS; the platform's deadlines are seconds.
	maxTimeout = time.Hour
	// maxKeyBytes bounds an idempotency key, which is kept for the whole window.
	maxKeyBytes = 128
)

// Front serves web fronts on a core.
type Front struct {
	core        *core.Core
	cfg         settings.SCGI
	log         *log.Logger
	stats       *metrics.Counters
	writeTiming *metrics.Timing
	idSalt      uint64
	seq         atomic.Uint64
}

// New returns the front of a core. Request ids are made from the seed. Its Serve is given to a listener.
func New(c *core.Core, cfg settings.SCGI, seed int64, l *log.Logger, s *metrics.Counters) *Front {
	return &Front{core: c, cfg: cfg, log: l, stats: s, writeTiming: s.Timing("write", Name), idSalt: rand.New(rand.NewPCG(uint64(seed), 1)).Uint64()}
}

// newID returns a request id of 16 hexadecimal digits that no other request of this process has.
func (f *Front) newID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], f.idSalt^f.seq.Add(1)*0x9e3779b97f4a7c15) // odd factor: never twice
	return fmt.Sprintf("%x", b)
}

// rejection is the answer to a request that never reaches the core.
type rejection struct {
	status, text string // of the answer
	counter      string // of its kind
}

// Error returns the text of the answer.
func (r *rejection) Error() string { return r.text }

// statusOf has the status of each outcome of the core.
var statusOf = map[core.Outcome]string{
	core.Served: "200 OK", core.Rejected: "503 Service Unavailable", core.Failed: "502 Bad Gateway",
	core.Expired: "504 Gateway Timeout", core.Invalid: "422 Unprocessable Content",
}

// Serve reads the one request of a connection, answers it and closes the connection.
func (f *Front) Serve(conn net.Conn, slot *listener.Slot) {
	defer conn.Close()
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
	m, err := readHead(r)
	if err == nil && f.isStatusRequest(m.headers) {
		f.stats.Inc("status", Name)
		slot.PaceCheapCall()
		f.write(conn, statusOf[core.Served], f.core.Status(), "application/json", "Cache-Control", "no-store")
		linger.Close(conn, r, lingerTimeout, maxLingerBytes)
		return
	}
	maxBody := f.core.MaxBody(f.cfg.MaxBody)
	if class, known := f.class(m.headers); err == nil && known {
		if class.Effect == silverpath.Idempotent { // it may be the repeat of one that has run, which is never rejected
			maxBody = f.cfg.MaxBody
		}
		if a, rejected := f.rejectUnread(class, slot); rejected {
			f.writeAnswer(conn, a)
			if uint64(r.Buffered()) < m.size { // else all has come, and a plain close resets nothing
				linger.Close(conn, r, lingerTimeout, maxLingerBytes)
			}
			return
		}
	}
	if err == nil {
		err = m.readBody(r, maxBody)
	}
	var q core.Request
	if err == nil {
		q, err = f.mapRequest(m, time.Now(), conn.RemoteAddr())
	}
	if err != nil {
		f.reject(conn, r, slot, err)
		return
	}
	if !slot.BeginMessage() {
		return // evicted as it came: nothing of it ran
	}
	conn.SetReadDeadline(time.Time{})
	slot.SetInFlight(1)
	f.awaitAnswer(conn, r, q, func() { // the slot may go to whoever has more need of it
		slot.SetInFlight(0)
		slot.EndMessage()
	})
}

// rejectUnread reports whether a request is rejected by its headers alone, so that its body need not be read: the core takes none of
// its class now, or the connection is one of the reserve's and the request no repeat.
func (f *Front) rejectUnread(class silverpath.Class, slot *listener.Slot) (core.Answer, bool) {
	a, rejected := f.core.RejectsUnread(Name, class.Name)
	if !rejected && !slot.AdmitsWork() && class.Effect != silverpath.Idempotent {
		f.stats.Inc("turned_away", Name, "reserve")
		return core.Answer{Outcome: core.Rejected, RetryAfter: f.core.RetryAfter()}, true
	}
	return a, rejected
}

// reject answers what could not be read as a request. Who has closed the connection, or broken off, gets no answer.
func (f *Front) reject(conn net.Conn, r *bufio.Reader, slot *listener.Slot, err error) {
	var p *rejection
	switch {
	case errors.As(err, &p):
	case errors.Is(err, errMalformed):
		p = &rejection{"400 Bad Request", err.Error(), "malformed"}
	case errors.Is(err, errTooLarge):
		p = &rejection{"413 Content Too Large", err.Error(), "too_large"}
	case errors.Is(err, io.EOF): // opened and closed again
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

// awaitAnswer leads one request through the core and watches meanwhile whether its caller leaves, which it does by closing its
// connection; the run of an idempotent request goes on then, and a retry gets its result. OnWritten is called once the answer is
// written.
func (f *Front) awaitAnswer(conn net.Conn, r *bufio.Reader, q core.Request, onWritten func()) {
	answered := make(chan struct{})
	go f.core.Serve(q, func(a core.Answer) {
		f.writeAnswer(conn, a, "X-Request-Id", q.ID)
		close(answered)
		if !linger.CloseWrite(conn) {
			conn.Close()
		}
		conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		onWritten()
	})
	var err error
	for n := 0; err == nil; n++ { // what comes after a request means nothing
		if _, err = r.Discard(1); n == maxLingerBytes {
			f.stats.Inc("surplus", Name)
			<-answered // its answer is still to come, and nothing more is read
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
	f.core.CallerGone(q.ID)
}

// writeAnswer writes the answer of the core.
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

// write writes an answer, with headers given as name and value in turn.
func (f *Front) write(conn net.Conn, status string, body []byte, contentType string, headers ...string) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	*b = appendResponse(*b, status, body, contentType, headers...)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	startedAt := time.Now()
	_, err := conn.Write(*b)
	f.writeTiming.Record(time.Since(startedAt))
	if err != nil {
		f.stats.Inc("write_failed", Name)
	}
}
