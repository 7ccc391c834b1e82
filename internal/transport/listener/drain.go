package listener

import (
	"io"
	"time"

	"silverpath/internal/transport/linger"
)

const (
	// idleCheckInterval is between two looks for connections that have idled for too long.
	idleCheckInterval = 250 * time.Millisecond
	// lingerTimeout and maxLingerBytes bound what is read of a connection after its last answer: long enough for the peer's kernel to
	// acknowledge it on a line within one zone, short beside the time for which a slot is waited for.
	lingerTimeout  = 50 * time.Millisecond
	maxLingerBytes = 64 << 10
	// endPollInterval is between two looks at connections that EndConnections waits for.
	endPollInterval = 2 * time.Millisecond
)

// CloseGracefully closes a connection on which all answers are written, so that they arrive: it reads on, up to a bound, what the peer
// still sends, since a close over unread bytes would reset the connection. R holds what was read of it already, or is nil. It is a
// handler's last call.
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

// notifyIdle asks the peers of connections that have idled for too long to leave, until done.
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

// notifyDrain asks the peers of the selected connections to leave, each once. Selected is called under the lock.
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
		go notice() // a slow peer must not hold up the others
	}
}

// Drain asks every peer, and those still to come, to leave. Connections are accepted on until Close.
func (l *Listener) Drain() {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.notifyDrain(func(*Slot) bool { return true })
}

// Close has no more connections accepted than those that wait already; open ones go on. The socket closes at once where Serve does not
// run, or another process accepts who waits, and soon after otherwise.
func (l *Listener) Close() {
	l.mu.Lock()
	again, serving := l.closed, l.serving
	l.closed = true
	if !again {
		l.closedAt = time.Now()
	}
	l.mu.Unlock()
	if socket, ok := l.ln.(deadlineSetter); ok && serving && !l.shared {
		if !again {
			_ = socket.SetDeadline(time.Now().Add(-time.Second))
		}
		return
	}
	l.ln.Close()
}

// EndConnections closes the open connections within the timeout: each as soon as all that came on it is read and answered. What is read
// from then on is not handled. It returns once their handlers have ended, or the timeout is over; what is left then ends with the
// process.
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
