package listener

import (
	"net"
	"time"

	"silverpath/internal/events"
)

const (
	// MessageTimeout is how long a peer has for its first whole message from its connecting, and for each further one from its first
	// byte. Who needs longer gets no answer but a close. A slow line needs some hundred milliseconds for the largest request.
	MessageTimeout = 2 * time.Second
	// MessagesPerTurn is how many messages a connection has taken before the others have their turn. A peer that always has more to
	// send would otherwise keep the one core for the 10 ms that the Go scheduler leaves a goroutine, and forty of them would keep
	// operators waiting for half a second.
	MessagesPerTurn = 2
	// maxLinesPerWindow is how many lines about peers are logged in a second: who floods the service must not flood its log.
	maxLinesPerWindow = 1
)

// Slot is a connection's place in the budget. Its handler says on it what comes and goes.
type Slot struct {
	id      uint64
	owner   *Listener
	conn    net.Conn
	evicted chan struct{} // closed as the reserve evicts the connection

	// Under the owner's lock:
	onDrain       func()    // asks the peer to leave; nil: nobody can ask it
	onEvict       func()    // tells the peer what was taken, before the close; nil: nothing is told
	drainNotified bool      // onDrain was called
	inFlight      int       // requests without a written answer
	lastActivity  time.Time // when something came or went last
	messages      int       // whole messages that came
	handling      bool      // the last of them is being handled
	closing       bool      // evicted, or lingering: nothing that comes is taken any more
	lingerUntil   time.Time // when the connection closes at the latest; zero while it is not closing
}

// BeginMessage notes that a whole message has come, and reports whether it may be handled. It is false where the slot was evicted
// before: then nothing of the message may run, since the answer would not arrive.
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

// EndMessage notes that the last message is handled: it is answered, or its request is in flight.
func (s *Slot) EndMessage() {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.handling, s.lastActivity = false, time.Now()
}

// SetInFlight notes how many requests on the connection have no written answer. While there is one, the slot is not evicted.
func (s *Slot) SetInFlight(n int) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.inFlight, s.lastActivity = n, time.Now()
}

// AdmitsWork reports whether the connection may carry requests for work, or is one of those that the reserve keeps for cheap calls.
// Without a reserve every connection may.
func (s *Slot) AdmitsWork() bool {
	l := s.owner
	if l.reserve == nil {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve.AdmitWork(s.id)
}

// PaceCheapCall is called before a cheap call is answered. It waits where the peer makes more of them than its part of the reserve,
// and holds up nobody else.
func (s *Slot) PaceCheapCall() {
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
		case <-s.evicted: // the slot is needed now, not when its turn comes
		}
	}
}

// OnDrain sets how the peer is asked to leave: in a drain, at once where one is under way, and when the connection idles too long.
// Where nothing is set the connection is only closed by an eviction or at the end.
func (s *Slot) OnDrain(notice func()) {
	s.owner.mu.Lock()
	s.onDrain = notice
	draining := s.owner.draining
	s.owner.mu.Unlock()
	if draining {
		notice()
	}
}

// OnEvict sets what is sent last before the slot is evicted, to a peer that has sent anything. It must not wait for a slow peer.
func (s *Slot) OnEvict(notice func()) {
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	s.onEvict = notice
}

// LogPeer logs an event about the peer. Beyond maxLinesPerWindow a second events are only counted.
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
