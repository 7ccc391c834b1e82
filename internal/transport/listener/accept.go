package listener

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"silverpath/internal/events"
)

const (
	// acceptRetryDelay is the pause after a failed accept. If the process is out of descriptors, one becomes free only with time or by
	// an eviction.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptErrorInterval is the least time between two log lines about failed accepts.
	acceptErrorInterval = time.Second
	// acceptBacklogTimeout is for how long after Close connections in the backlog are still accepted, regardless of their number.
	// Clients wait a second for a connection before they try another server.
	acceptBacklogTimeout = time.Second
)

// Serve accepts connections until Close and then those in the backlog. Their handlers may still run when it returns. It must be called
// only once.
func (l *Listener) Serve() {
	done := make(chan struct{})
	defer close(done)
	go l.notifyIdle(done)
	slotWait := l.stats.Timing("room", l.name)
	l.mu.Lock()
	l.serving = true
	l.mu.Unlock()
	for {
		conn, err := l.accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			l.acceptFailed(err)
			continue
		}
		l.stats.Inc("connections", l.name)
		accepted := time.Now()
		l.awaitCapacity() // after accepting, so that no idle connection is evicted before a new one has arrived
		slotWait.Record(time.Since(accepted))
		l.start(conn)
	}
}

// acceptFailed counts and logs a failed accept and waits before the next attempt. If the process or the system is out of descriptors, it
// evicts an idle connection to free one.
func (l *Listener) acceptFailed(err error) {
	l.stats.Inc("accept_failed", l.name)
	if now := time.Now(); now.Sub(l.acceptErrorLoggedAt) >= acceptErrorInterval {
		l.acceptErrorLoggedAt = now
		events.Log(l.log, "listener.accept_failed", l.name, err)
	}
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		l.evictOne()
	}
	time.Sleep(acceptRetryDelay)
}

// start assigns a slot to a connection and runs its handler in a new goroutine, which then releases the slot.
func (l *Listener) start(conn net.Conn) {
	s := &Slot{owner: l, conn: conn, lastActivity: time.Now(), evicted: make(chan struct{})}
	l.mu.Lock()
	l.lastID++
	s.id = l.lastID
	l.slots[s] = true
	if l.reserve != nil {
		l.reserve.Opened(time.Since(l.startedAt), s.id)
		l.slotByID[s.id] = s
	}
	l.handlers.Add(1)
	l.mu.Unlock()
	go func() {
		defer l.handlers.Done()
		defer l.release(s)
		l.handle(conn, s)
	}()
}

// release closes a connection whose handler has returned, and removes its slot.
func (l *Listener) release(s *Slot) {
	s.conn.Close()
	l.mu.Lock()
	delete(l.slots, s)
	if l.reserve != nil {
		l.reserve.Closed(s.id)
		delete(l.slotByID, s.id)
	}
	l.mu.Unlock()
	select {
	case l.released <- struct{}{}:
	default:
	}
}

// accept waits for the next connection. After Close it accepts the connections in the backlog, since the kernel may hold their first
// requests, which closing the socket would lose. It then closes the socket and returns net.ErrClosed.
func (l *Listener) accept() (net.Conn, error) {
	conn, err := l.ln.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	l.mu.Lock()
	expired := time.Since(l.closedAt) > l.acceptBacklogTimeout
	l.mu.Unlock()
	socket := l.ln.(deadlineSetter)
	if expired || !hasPending(l.ln) {
		l.ln.Close()
		return nil, net.ErrClosed
	}
	_ = socket.SetDeadline(time.Now().Add(l.acceptBacklogTimeout))
	conn, err = l.ln.Accept()
	_ = socket.SetDeadline(time.Now().Add(-time.Second))
	if err == nil {
		l.stats.Inc("accepted_last", l.name)
	}
	return conn, err
}

// hasPending reports whether the listener's backlog holds a connection.
func hasPending(ln net.Listener) bool {
	s, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	_ = raw.Control(func(fd uintptr) { n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) })
	return n > 0
}

// deadlineSetter is a listener that supports a deadline for Accept, such as net.TCPListener.
type deadlineSetter interface{ SetDeadline(t time.Time) error }
