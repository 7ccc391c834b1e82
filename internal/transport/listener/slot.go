package listener

import (
	"net"
	"time"

	"silverpath/internal/events"
)

const (
	// MessageTimeout is how long a peer may take to send its first message, counted from the connect, and each further message, counted
	// from its first byte. After that the connection is closed without an answer to the message. Over a slow line the largest request
	// takes a few hundred milliseconds.
	MessageTimeout = 2 * time.Second
	// MessagesPerYield is how many messages a reading goroutine handles before it yields to others. Otherwise a peer that always has more
	// to send would occupy the only core for the 10 ms after which the Go scheduler preempts a goroutine, and forty such peers would
	// delay operators' calls by half a second.
	MessagesPerYield = 2
	// maxLinesPerWindow is how many lines about peers are logged per second. A flood of the service must not flood its log.
	maxLinesPerWindow = 1
)

// Slot is a connection's place in the budget. The handler of the connection reports messages and requests in flight to it.
type Slot struct {
	id      uint64
	owner   *Listener
	conn    net.Conn
	evicted chan struct{} // closed when the reserve evicts the connection

	// Guarded by owner.mu:
	onDrain       func()    // asks the peer to close the connection; nil: not possible
	onEvict       func()    // sends a last notification before an eviction; nil: none
	drainNotified bool      // onDrain was called
	inFlight      int       // requests without a written answer
	lastActivity  time.Time // when a message last began or ended, or inFlight was set
	messages      int       // number of complete messages received
	handling      bool      // the last message is being handled
	closing       bool      // evicted or in a lingering close: no further message is handled
	lingerUntil   time.Time // latest time of the close; zero if the close has not begun
}

// BeginMessage records that a complete message was received, and reports whether it may be handled. It returns false if the slot was
// evicted before. Then the message must not be handled, since its answer would not arrive.
func (s *Slot) BeginMessage() bool {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	if s.closing {
		return false
	}
	s.messages++
	s.handling, s.lastActivity = true, time.Now()
	return true
}

// EndMessage records that the last message was handled: it is answered, or its request is in flight.
func (s *Slot) EndMessage() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.handling, s.lastActivity = false, time.Now()
}

// SetInFlight sets the number of requests on the connection without a written answer. While it is not 0, the connection is not idle.
func (s *Slot) SetInFlight(n int) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.inFlight, s.lastActivity = n, time.Now()
}

// AdmitsWork reports whether the connection may carry requests for work. It returns false if the reserve keeps the connection for cheap
// calls. Without a reserve it returns true.
func (s *Slot) AdmitsWork() bool {
	l := s.owner
	if l.reserve == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve.AdmitWork(s.id)
}

// ThrottleCheapCall is called before a cheap call is answered. If the peer has exceeded its share of the reserve, ThrottleCheapCall sleeps
// before it returns. Other connections are not delayed.
func (s *Slot) ThrottleCheapCall() {
	l := s.owner
	if l.reserve == nil {
		return
	}
	l.mu.Lock()
	wait := l.reserve.CheapCall(time.Since(l.startedAt), s.id)
	l.mu.Unlock()
	if wait > 0 {
		l.stats.Inc("paced", l.name)
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-s.evicted: // the slot is needed now, so the wait ends early
		}
	}
}

// OnDrain sets the function that asks the peer to close the connection. The function is called when a drain starts, and when the
// connection has been idle too long. If a drain is already in progress, OnDrain calls it at once. If no function is set, only an eviction
// or EndConnections closes the connection.
func (s *Slot) OnDrain(notice func()) {
	s.owner.mu.Lock()
	s.onDrain = notice
	draining := s.owner.draining
	s.owner.mu.Unlock()
	if draining {
		notice()
	}
}

// OnEvict sets a function that sends a last notification to the peer before an idle connection is closed. It is called only if the
// peer has sent a message. It must not wait for a slow peer.
func (s *Slot) OnEvict(notice func()) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.onEvict = notice
}

// LogPeer logs an event about the peer. Events beyond maxLinesPerWindow per second are only counted.
func (s *Slot) LogPeer(event string, values ...any) {
	l := s.owner
	l.mu.Lock()
	now := time.Now()
	if now.Sub(l.logWindowStart) >= time.Second {
		l.logWindowStart, l.linesInWindow = now, 0
	}
	l.linesInWindow++
	n := l.linesInWindow
	l.mu.Unlock()
	if n <= maxLinesPerWindow {
		events.Log(l.log, event, values...)
	} else {
		l.stats.Inc("unlogged", l.name)
	}
}
