// Package admin serves the API for operators and for the leased controllers: HTTP/1.1 with one request per connection. It takes none of
// the core's locks and has its own connections and buffers, so that it stays available to operators while clients overload the process.
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
	// MaxConnections is the maximum number of concurrent connections. A further connection evicts the oldest stalled one, so that
	// callers that never complete a request block nobody else.
	MaxConnections = 24
	minConnections = 4
	// descriptorsPerConnection is the number of descriptors that a process needs for each admin connection: see ConnectionLimit.
	descriptorsPerConnection = 16

	readTimeout  = 5 * time.Second // to receive a request
	writeTimeout = 2 * time.Second // to send its response
	// minEvictionAge is the age at which a connection without unread bytes may be evicted. It gives every request that time to arrive.
	// Callers that never complete a request and reconnect at once can thereby delay a complete one, but not evict it: fifty of them
	// delay it by three times this age.
	minEvictionAge = 50 * time.Millisecond
	// maxEvictionAge is the age at which a connection may be evicted even if it has unread bytes, so that a caller that keeps sending
	// single bytes is evicted too.
	maxEvictionAge = 500 * time.Millisecond
	// capacityPollInterval is the interval of checks for a stalled connection while no connection closes.
	capacityPollInterval = minEvictionAge / 10
	// lingerTimeout and maxLingerBytes bound the lingering close, which reads from a caller after its response. Closing a connection
	// with unread bytes would reset it, and the response could be lost.
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
	// rejectionLogInterval is the minimum interval between log lines about rejected requests. The counters count all of them.
	rejectionLogInterval = time.Second
	// acceptRetryDelay is the delay after a failed accept, in which the process may release descriptors if it had none left.
	acceptRetryDelay = 10 * time.Millisecond
)

// Operator executes the requests of operators. No method blocks. Each returns whether the action was done or the condition is met, and
// the reason in one line, which is the body of the response.
type Operator interface {
	Ready() (bool, string)
	Evacuate() (bool, string)
	Rejoin() (bool, string)
}

// Commands executes fenced commands: requests with a controller's name, the epoch of its lease and the step of its plan.
type Commands interface {
	// Execute calls perform if the fence accepts the command, else it returns the reason. It may wait for the disk and for the group.
	Execute(action, controller string, epoch, step uint64, perform func() (bool, string)) (accepted bool, reason string)
}

// ConnectionLimit returns the maximum number of concurrent admin connections of a process with the given limit on descriptors.
func ConnectionLimit(descriptors int) int {
	return min(max(descriptors/descriptorsPerConnection, minConnections), MaxConnections)
}

// Server serves the admin API on one address.
type Server struct {
	ln       net.Listener
	maxConns int
	op       Operator
	commands Commands // nil: queries are ignored, and every request is an operator's
	snapshot func() (string, error)
	log      *log.Logger
	stats    *metrics.Counters
	latency  *metrics.Timing

	mu                sync.Mutex
	conns             []*clientConn // in the order in which they were accepted
	rejectionLoggedAt time.Time
	closed            bool
	released          chan struct{}
}

// clientConn is a connection of a caller.
type clientConn struct {
	conn       net.Conn
	acceptedAt time.Time
	evicted    bool
}

// Listen opens the address for at most maxConns concurrent connections. It returns the error of the listener. The caller has to call
// Serve or Close.
func Listen(addr string, maxConns int, op Operator, l *log.Logger, s *metrics.Counters) (*Server, error) {
	ln, err := (&net.ListenConfig{KeepAlive: -1}).Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Server{ln: ln, maxConns: maxConns, op: op, log: l, stats: s, latency: s.Timing("call", Name), released: make(chan struct{}, 1)}, nil
}

// SetCommands sets the executor of fenced commands. It must be called before Serve.
func (s *Server) SetCommands(c Commands) { s.commands = c }

// SetSnapshots sets the function that writes a copy of the store and returns its path. It must be called before Serve.
func (s *Server) SetSnapshots(snapshot func() (path string, err error)) { s.snapshot = snapshot }

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.ln.Addr() }

// Close stops Serve and closes all connections. Callers may repeat the requests that this interrupts.
func (s *Server) Close() {
	s.ln.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, c := range s.conns {
		c.conn.Close()
	}
}

// Serve accepts connections until Close.
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
		c := &clientConn{conn: conn}
		s.awaitCapacity()
		c.acceptedAt = time.Now()
		s.mu.Lock()
		s.conns = append(s.conns, c)
		if s.closed {
			conn.Close()
		}
		s.mu.Unlock()
		go s.serve(c)
	}
}

// awaitCapacity waits until there are fewer than maxConns connections. It evicts the oldest stalled connection if there is one.
func (s *Server) awaitCapacity() {
	for {
		s.mu.Lock()
		if len(s.conns) < s.maxConns || s.closed {
			s.mu.Unlock()
			return
		}
		i := slices.IndexFunc(s.conns, (*clientConn).stalled)
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

// stalled reports whether a connection may be evicted because its request has not arrived in time. Unread bytes postpone that to
// maxEvictionAge: the connection waits for its goroutine, which may not have been scheduled yet on a busy core.
func (c *clientConn) stalled() bool {
	age := time.Since(c.acceptedAt)
	return age >= maxEvictionAge || age >= minEvictionAge && linger.Peek(c.conn) != linger.Unread
}

// release closes a connection, removes it from the list and wakes awaitCapacity.
func (s *Server) release(c *clientConn) {
	c.conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = slices.DeleteFunc(s.conns, func(other *clientConn) bool { return other == c })
	select {
	case s.released <- struct{}{}:
	default:
	}
}

// serve reads one request, sends the response and closes the connection.
func (s *Server) serve(c *clientConn) {
	defer s.release(c)
	conn := c.conn
	conn.SetReadDeadline(time.Now().Add(readTimeout))
	r := bufio.NewReaderSize(conn, maxHeadBytes)
	req, err := readRequest(r)
	receivedAt := time.Now()
	var rejected *rejection
	switch {
	case err == nil:
		s.dispatch(conn, req)
		s.latency.Record(time.Since(receivedAt))
	case errors.As(err, &rejected):
		s.reject(conn, rejected)
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.reject(conn, &rejection{408, "too_slow", "no whole call came within 5 s"})
	default: // the caller has closed the connection, or it was evicted
		if s.mu.Lock(); !c.evicted {
			s.stats.Inc("cut_short", Name)
		}
		s.mu.Unlock()
		return
	}
	if err == nil && r.Buffered() > 0 {
		s.stats.Inc("pipelined", Name) // one request per connection: further ones are ignored
	}
	linger.Close(conn, nil, lingerTimeout, maxLingerBytes)
}
