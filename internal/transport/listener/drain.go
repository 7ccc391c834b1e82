package listener

import (
	"io"
	"time"

	"silverpath/internal/transport/linger"
)

const (
	// idleCheckInterval is the interval between checks for connections that have been idle too long.
	idleCheckInterval = 250 * time.Millisecond
	// lingerTimeout and maxLingerBytes bound the lingering close, which reads from a connection after its last answer. The timeout is
	// long enough for the peer's kernel to acknowledge the answer within one zone, and short compared with the wait for a slot.
	lingerTimeout  = 50 * time.Millisecond
	maxLingerBytes = 64 << 10
	// endPollInterval is the interval at which EndConnections checks the connections that it waits for.
	endPollInterval = 2 * time.Millisecond
)

// CloseGracefully closes a connection whose answers are all written, in a way that lets them arrive. It reads what the peer still sends,
// up to a bound, since closing a socket with unread bytes would reset the connection. R is a reader that may have buffered bytes of the
// connection, or nil. A handler must call CloseGracefully last.
func (s *Slot) CloseGracefully(r io.Reader) {
	s.owner.mu.Lock()
	s.closing = true
	if s.lingerUntil.IsZero() {
		s.lingerUntil = time.Now().Add(s.owner.lingerTimeout)
	}
	remaining := time.Until(s.lingerUntil)
	s.owner.mu.Unlock()
	linger.Close(s.conn, r, remaining, maxLingerBytes)
}

// notifyIdle asks the peers of connections that have been idle too long to close them. It runs until done is closed.
func (l *Listener) notifyIdle(done <-chan struct{}) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		timeout := l.idleTimeout()
		if timeout <= 0 {
			continue
		}
		l.notifyDrain(func(s *Slot) bool { return s.idle(timeout) })
	}
}

// notifyDrain asks the peers of the selected connections to close them, at most once per connection. Selected is called with l.mu held.
func (l *Listener) notifyDrain(selected func(*Slot) bool) {
	l.mu.Lock()
	var notices []func()
	for s := range l.slots {
		if !s.drainNotified && !s.closing && s.onDrain != nil && selected(s) {
			s.drainNotified = true
			notices = append(notices, s.onDrain)
		}
	}
	l.mu.Unlock()
	for _, notice := range notices {
		go notice() // a slow peer must not delay the others
	}
}

// Drain asks the peers of all present and future connections to close them. Connections are accepted until Close.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.notifyDrain(func(*Slot) bool { return true })
}

// Close stops accepting connections, except for those in the backlog. Open connections continue. The socket is closed at once if Serve was
// not called or if another process accepts from the same socket; otherwise Serve closes it after accepting the backlog.
func (l *Listener) Close() {
	l.mu.Lock()
	alreadyClosed, serving := l.closed, l.serving
	l.closed = true
	if !alreadyClosed {
		l.closedAt = time.Now()
	}
	l.mu.Unlock()
	if socket, ok := l.ln.(deadlineSetter); ok && serving && !l.shared {
		if !alreadyClosed {
			_ = socket.SetDeadline(time.Now().Add(-time.Second))
		}
		return
	}
	l.ln.Close()
}

// EndConnections closes each open connection as soon as all that arrived on it is read and answered. Messages read after that are not
// handled. It returns when all handlers have ended or the timeout has passed. Connections left then are closed when the process exits.
func (l *Listener) EndConnections(timeout time.Duration) {
	deadline := time.Now().Add(timeout)
	for {
		left := time.Until(deadline)
		l.mu.Lock()
		n := len(l.slots)
		open := make([]*Slot, 0, n)
		for s := range l.slots {
			if !s.closing {
				open = append(open, s)
			}
		}
		l.mu.Unlock()
		if n == 0 || left <= 0 {
			return
		}
		for _, s := range open {
			s.evict(0)
		}
		time.Sleep(min(left, endPollInterval))
	}
}
