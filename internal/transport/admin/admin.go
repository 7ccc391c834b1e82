// Package admin is the API for operators and for the fleet's controllers: HTTP/1.1, one call a connection. It takes none of the
// core's locks and has its own few connections and buffers, so that a crowd of clients keeps no operator out.
package admin

import (
	"bufio"
	"context"
	"errors"
	"log"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"silverpath/internal/metrics"
	"silverpath/internal/transport/linger"
)

// Name is the front's name in counters and log lines.
const Name = "mgmt"

const (
	// MaxConnections is the most connections at once. A further one takes the place of the one that has been unfinished for longest,
	// so that callers that never finish keep nobody out.
	MaxConnections = 24
	minConnections = 4
	// descriptorsPerConnection is how many of the process's descriptors there must be for each connection here.
	descriptorsPerConnection = 16

	callTimeout  = 5 * time.Second // for a call to come whole
	writeTimeout = 2 * time.Second // for its answer to be taken
	// minCallTime is for a call to come whole before its place may be taken. Callers that never finish and come back at once can so
	// hold up one that does, but not push it out: of fifty, for three times that.
	minCallTime = 50 * time.Millisecond
	// maxCallTime is the same for one that always has a byte more to send.
	maxCallTime = 500 * time.Millisecond
	// capacityPollInterval is between two looks for a place while none is released.
	capacityPollInterval = minCallTime / 10
	// lingerTimeout and maxLingerBytes bound what is read of a caller after its answer: a close over unread bytes would reset the
	// connection, and the answer might be lost with it.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
	// badCallLogInterval is the least time between two log lines about bad calls; the counters have them all.
	badCallLogInterval = time.Second
	// acceptRetryDelay follows a failure to accept: out of descriptors, some will be released.
	acceptRetryDelay = 10 * time.Millisecond
)

// Operator does what is called for. No method blocks. Each says whether it was done, or is so, and why in one line.
type Operator interface {
	Ready() (bool, string)
	Evacuate() (bool, string)
	Rejoin() (bool, string)
}

// Commands takes the fleet's commands: calls that name a controller, the epoch of its lease and the step of its plan.
type Commands interface {
	// Execute carries out a command by perform, or returns why not. It may wait for a disk, and for the group.
	Execute(action, controller string, epoch, step uint64, perform func() (bool, string)) (accepted bool, reason string)
}

// ConnectionLimit is the number of connections at once of a process with so many descriptors.
func ConnectionLimit(descriptors int) int {
	return min(max(descriptors/descriptorsPerConnection, minConnections), MaxConnections)
}

// Server answers operators at one address.
type Server struct {
	ln       net.Listener
	maxConns int
	op       Operator
	commands Commands // nil: none are taken
	snapshot func() (string, error)
	log      *log.Logger
	stats    *metrics.Counters
	callTime *metrics.Timing

	mu              sync.Mutex
	conns           []*callerConn // in the order of their coming
	badCallLoggedAt time.Time
	closed          bool
	released        chan struct{}
}

type callerConn struct {
	conn       net.Conn
	acceptedAt time.Time
	evicted    bool
}

// Listen opens the address, for at most maxConns connections at once. Serve must follow, or Close.
func Listen(addr string, maxConns int, op Operator, l *log.Logger, s *metrics.Counters) (*Server, error) {
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{ln: ln, maxConns: maxConns, op: op, log: l, stats: s, callTime: s.Timing("call", Name), released: make(chan struct{}, 1)}, nil
}

// SetCommands sets what takes the fleet's commands. It is called before Serve.
func (s *Server) SetCommands(o Commands) { s.commands = o }

// SetSnapshots sets what makes a copy of the store and returns its path. It is called before Serve.
func (s *Server) SetSnapshots(make func() (path string, err error)) { s.snapshot = make }

// Addr returns the address listened on.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close ends Serve. Calls under way are cut off: they can be made again.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, p := range s.conns {
		p.conn.Close()
	}
}

// Serve accepts calls until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			s.stats.Inc("accept_failed", Name)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.stats.Inc("connections", Name)
		p := &callerConn{conn: conn}
		s.awaitCapacity()
		p.acceptedAt = time.Now()
		s.mu.Lock()
		s.conns = append(s.conns, p)
		if s.closed {
			conn.Close()
		}
		s.mu.Unlock()
		go s.serve(p)
	}
}

// awaitCapacity waits until there is a place. The caller that has been unfinished for longest is evicted, once its time is over.
func (s *Server) awaitCapacity() {
	for {
		s.mu.Lock()
		if len(s.conns) < s.maxConns || s.closed {
			s.mu.Unlock()
			return
		}
		i := slices.IndexFunc(s.conns, (*callerConn).stalled)
		if i >= 0 {
			victim := s.conns[i]
			s.conns = slices.Delete(s.conns, i, i+1)
			victim.evicted = true
			victim.conn.Close()
		}
		s.mu.Unlock()
		if i >= 0 {
			s.stats.Inc("evicted", Name)
			continue
		}
		timer := time.NewTimer(capacityPollInterval)
		select {
		case <-timer.C:
		case <-s.released:
			timer.Stop()
		}
	}
}

// stalled reports whether a call has had its time to come whole. One of which bytes lie unread waits for the service, not the service
// for it: on a busy core its goroutine may have had no turn yet.
func (p *callerConn) stalled() bool {
	age := time.Since(p.acceptedAt)
	return age >= maxCallTime || age >= minCallTime && linger.Peek(p.conn) != linger.Unread
}

// release closes a connection and has its place free.
func (s *Server) release(p *callerConn) {
	p.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = slices.DeleteFunc(s.conns, func(q *callerConn) bool { return q == p })
	select {
	case s.released <- struct{}{}:
	default:
	}
}

// serve reads one call, answers it and closes its connection.
func (s *Server) serve(p *callerConn) {
	defer s.release(p)
	conn := p.conn
	conn.SetReadDeadline(time.Now().Add(callTimeout))
	r := bufio.NewReaderSize(conn, maxHeadBytes)
	c, err := readCall(r)
	receivedAt := time.Now()
	var bad *rejection
	switch {
	case err == nil:
		s.dispatch(conn, c)
		s.callTime.Record(time.Since(receivedAt))
	case errors.As(err, &bad):
		s.reject(conn, bad)
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.reject(conn, &rejection{408, "too_slow", "no whole call came within 5 s"})
	default: // the caller has left, or its place was taken
		if s.mu.Lock(); !p.evicted {
			s.stats.Inc("cut_short", Name)
		}
		s.mu.Unlock()
		return
	}
	if err == nil && r.Buffered() > 0 {
		s.stats.Inc("pipelined", Name) // one call a connection: what follows it is not made
	}
	linger.Close(conn, nil, lingerTimeout, maxLingerBytes)
}
