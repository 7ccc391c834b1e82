package scgi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
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

// The headers that a request is mapped from; a web front makes them of the HTTP headers X-Request-Class and so
// on, or sets them itself.
const (
	headerClass    = "HTTP_X_REQUEST_CLASS"
	headerTenant   = "HTTP_X_TENANT"
	headerDeadline = "HTTP_X_TIMEOUT_MS"
	headerCaller   = "HTTP_X_CALLER"
	headerRank     = "HTTP_X_RANK"
	headerKey      = "HTTP_IDEMPOTENCY_KEY"
)

const (
	writeTimeout = 2 * time.Second
	// lingerTimeout and maxLingerBytes bound what is read of a client after an answer that did not wait for all that it sends.
	lingerTimeout  = time.Second
	maxLingerBytes = 1 << 20 // bytes
	maxTimeout     = time.Hour
	maxKeyBytes    = 128
)

// Front serves web fronts.
type Front struct {
	core   *core.Core
	cfg    settings.SCGI
	log    *log.Logger
	stats  *metrics.Counters
	writes *metrics.Timing
	salt   uint64
	seq    atomic.Uint64
}

// New returns the front of a core. The seed makes its request ids.
func New(c *core.Core, cfg settings.SCGI, seed int64, l *log.Logger, s *metrics.Counters) *Front {
	return &Front{core: c, cfg: cfg, log: l, stats: s, writes: s.Timing("write", Name), salt: rand.New(rand.NewPCG(uint64(seed), 1)).Uint64()}
}

// newID returns an id of 16 hexadecimal digits that no other request of this process has.
func (f *Front) newID() string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], f.salt^f.seq.Add(1)*0x9e3779b97f4a7c15) // odd factor: never twice
	return fmt.Sprintf("%x", b)
}

// rejection is an answer to a request that never reached the core.
type rejection struct {
	status, text string
	counter      string
}

func (p *rejection) Error() string { return p.text }

var statusOf = map[core.Outcome]string{
	core.Served: "200 OK", core.Rejected: "503 Service Unavailable", core.Failed: "502 Bad Gateway",
	core.Expired: "504 Gateway Timeout", core.Invalid: "422 Unprocessable Content",
}

// Serve is the life of one connection, which carries one request.
func (f *Front) Serve(conn net.Conn, slot *listener.Slot) {
	defer conn.Close()
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
	m, err := readHead(r)
	if err == nil && f.asksStatus(m.headers) {
		f.stats.Inc("status", Name)
		slot.PaceCheapCall()
		f.write(conn, statusOf[core.Served], f.core.Status(), "application/json", "Cache-Control", "no-store")
		linger.Close(conn, r, lingerTimeout, maxLingerBytes)
		return
	}
	if err == nil {
		maxBody := f.core.MaxBody(f.cfg.MaxBody)
		if class, known := f.class(m.headers); known {
			if class.Effect == silverpath.Idempotent { // it may be the repeat of a sheet that has run, which is never refused
				maxBody = f.cfg.MaxBody
			}
			a, rejected := f.core.RejectsUnread(Name, class.Name)
			if !rejected && !slot.AdmitsWork() && class.Effect != silverpath.Idempotent {
				// What is left of the connections is for what is cheap, and a sheet may be: the repeat of one that has run.
				f.stats.Inc("turned_away", Name, "reserve")
				a, rejected = core.Answer{Outcome: core.Rejected, RetryAfter: f.core.RetryAfter()}, true
			}
			if rejected {
				f.writeAnswer(conn, a)
				if uint64(r.Buffered()) < m.size { // else all has come, and a plain close resets nothing
					linger.Close(conn, r, lingerTimeout, maxLingerBytes)
				}
				return
			}
		}
		err = m.readBody(r, maxBody)
	}
	if err == nil {
		var q core.Request
		if q, err = f.mapRequest(m, time.Now(), conn.RemoteAddr()); err == nil {
			if !slot.BeginMessage() {
				return // its place was given up as it came: nothing of it ran
			}
			conn.SetReadDeadline(time.Time{})
			slot.SetInFlight(1)
			f.awaitAnswer(conn, r, q, func() { // its place may now go to whoever has more need of it
				slot.SetInFlight(0)
				slot.EndMessage()
			})
			return
		}
	}
	var p *rejection
	switch {
	case errors.As(err, &p):
	case errors.Is(err, errMalformed):
		p = &rejection{"400 Bad Request", err.Error(), "malformed"}
	case errors.Is(err, errTooLarge):
		p = &rejection{"413 Content Too Large", err.Error(), "too_large"}
	case err == io.EOF:
		return // opened and closed again
	case errors.Is(err, os.ErrDeadlineExceeded):
		p = &rejection{"408 Request Timeout", fmt.Sprintf("no whole request came within %v", listener.MessageTimeout), "too_slow"}
	default:
		f.stats.Inc("cut_short", Name)
		return // it broke off: nobody is there to be answered
	}
	f.stats.Inc(p.counter, Name)
	slot.LogPeer("scgi.unread", Name, p.status, conn.RemoteAddr(), p.text)
	f.write(conn, p.status, []byte(p.text+"\n"), "text/plain")
	linger.Close(conn, r, lingerTimeout, maxLingerBytes)
}

// awaitAnswer leads one request through the core and watches meanwhile whether its caller leaves. A caller that
// closes its connection has left; the run of a keyed request goes on, and a retry takes its result. Rest is called once
// the answer is written.
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
			<-answered // its answer is still owed, and nothing more is read
			return
		}
	}
	select {
	case <-answered:
		return
	default:
	}
	if err == io.EOF && f.cfg.HalfClose {
		<-answered
		return
	}
	f.stats.Inc("dropped", Name)
	f.core.CallerGone(q.ID)
}

// writeAnswer writes the answer of a request.
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

// write writes an answer. A peer that takes nothing for writeTimeout loses it.
func (f *Front) write(conn net.Conn, status string, body []byte, contentType string, headers ...string) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	*b = appendResponse(*b, status, body, contentType, headers...)
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	startedAt := time.Now()
	_, err := conn.Write(*b)
	f.writes.Record(time.Since(startedAt))
	if err != nil {
		f.stats.Inc("write_failed", Name)
	}
}

// mapRequest makes a request of an SCGI message.
func (f *Front) mapRequest(m message, now time.Time, from net.Addr) (core.Request, error) {
	bad := func(header string) (core.Request, error) {
		return core.Request{}, &rejection{"400 Bad Request", fmt.Sprintf("%s is %q", header, m.headers[header]), "bad_header"}
	}
	class, known := f.class(m.headers)
	if !known {
		return core.Request{}, &rejection{"404 Not Found", fmt.Sprintf("no class %q", class.Name), "unknown_class"}
	}
	q := core.Request{
		Front: Name, ID: f.newID(), Class: class.Name, Tenant: f.cfg.Tenant, MemoryKB: f.cfg.HeldKB,
		ReceivedAt: now, Body: m.body, Key: m.headers[headerKey],
	}
	if t := m.headers[headerTenant]; t != "" {
		q.Tenant = t
	}
	if len(q.Key) > maxKeyBytes {
		return bad(headerKey)
	}
	timeout := class.Deadline
	if f.cfg.Deadline > 0 {
		timeout = f.cfg.Deadline
	}
	if v, ok := m.headers[headerDeadline]; ok {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return bad(headerDeadline)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	q.Deadline = now.Add(timeout)
	var err error
	if v, ok := m.headers[headerCaller]; ok {
		if q.Caller, err = strconv.Atoi(v); err != nil || q.Caller < 0 {
			return bad(headerCaller)
		}
	} else {
		q.Caller = callerOf(m.headers["REMOTE_ADDR"], from)
	}
	if v, ok := m.headers[headerRank]; ok {
		if q.Rank, err = strconv.ParseFloat(v, 64); err != nil || !(q.Rank >= 0 && q.Rank < 1) {
			return bad(headerRank)
		}
	}
	return q, nil
}

// statusPath asks for the state of the service, where the core tells it and no class has that name.
const statusPath = "/status"

func (f *Front) asksStatus(h map[string]string) bool {
	if h["PATH_INFO"] != statusPath || h[headerClass] != "" || !f.core.ServesStatus() {
		return false
	}
	_, known := f.core.Class(statusPath[1:])
	return !known
}

// class finds the class: the header, else the path's first part, else the configured one.
func (f *Front) class(h map[string]string) (silverpath.Class, bool) {
	name := h[headerClass]
	if name == "" {
		path := h["PATH_INFO"]
		if path == "" {
			path, _, _ = strings.Cut(h["REQUEST_URI"], "?")
		}
		name, _, _ = strings.Cut(strings.TrimPrefix(path, "/"), "/")
	}
	if name == "" {
		name = f.cfg.Class
	}
	class, known := f.core.Class(name)
	if !known {
		class.Name = name
	}
	return class, known
}

// callerOf numbers a caller by its address, the web front's own where it names none.
func callerOf(remote string, from net.Addr) int {
	if remote == "" && from != nil {
		remote, _, _ = net.SplitHostPort(from.String())
	}
	h := fnv.New32a()
	io.WriteString(h, remote)
	return int(h.Sum32() >> 1)
}
