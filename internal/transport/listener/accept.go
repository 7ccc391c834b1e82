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
	// acceptRetryDelay follows a failure to accept: out of descriptors, only time or an eviction brings one.
	acceptRetryDelay = 10 * time.Millisecond
	// acceptErrorInterval is the least time between two log lines that accepting fails.
	acceptErrorInterval = time.Second
	// acceptBacklogTimeout is for how long after Close connections are accepted that wait already, however many come: clients wait
	// a second for a connection before they go elsewhere.
	acceptBacklogTimeout = time.Second
)

// Serve accepts connections until Close, and returns once none waits any more; their handlers may still run. It is called once.
func (l *Listener) Serve() {
	done := make(chan struct{})
	defer close(done)
	go l.notifyIdle(done)
	admission := l.stats.Timing("room", l.name)
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
		l.awaitCapacity() // only now, so that no idle connection is closed for one that may never come
		admission.Record(time.Since(accepted))
		l.start(conn)
	}
}

// acceptFailed waits before the next attempt. Without a descriptor for who waits it evicts a connection for it.
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

// start gives a connection a slot and runs its handler, after which the slot is released.
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

// release takes back the slot of a connection whose handler has ended.
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

// accept waits for the next connection. Once the listener is closing it accepts who waits already, whose first bytes may lie on this
// machine: to close the socket over them would lose their requests. Then it closes the socket and returns net.ErrClosed.
func (l *Listener) accept() (net.Conn, error) {
	conn, err := l.ln.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	l.mu.Lock()
	expired := time.Since(l.closedAt) > l.acceptBacklogFor
	l.mu.Unlock()
	socket := l.ln.(deadlineSetter)
	if expired || !hasPending(l.ln) {
		l.ln.Close()
		return nil, net.ErrClosed
	}
	_ = socket.SetDeadline(time.Now().Add(l.acceptBacklogFor))
	conn, err = l.ln.Accept()
	_ = socket.SetDeadline(time.Now().Add(-time.Second))
	if err == nil {
		l.stats.Inc("accepted_last", l.name)
	}
	return conn, err
}

// hasPending reports whether a connection waits to be accepted.
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

// deadlineSetter is a listener whose Accept can be given a deadline, as one of TCP can.
type deadlineSetter interface{ SetDeadline(t time.Time) error }
