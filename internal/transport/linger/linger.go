// Package linger implements the lingering close of TCP connections. If a connection is closed while received bytes are unread, the kernel
// resets it, and the peer may lose an answer that is still in transit. A lingering close therefore shuts down the sending half first,
// reads and discards input for a bounded time, and only then closes the connection.
package linger

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseWrite shuts down the sending half of a connection and reports whether that succeeded. It fails for connections that do not support
// half-close, such as in-memory pipes.
func CloseWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Close performs a lingering close. A connection's handler calls it as its last step, after all output is written. Close reads and discards
// input until the peer closes its side, the timeout expires or maxBytes bytes have been read. It reads from r, the connection's buffered
// reader, or from conn if r is nil. A connection that does not support half-close is closed at once.
func Close(conn net.Conn, r io.Reader, timeout time.Duration, maxBytes int64) {
	defer conn.Close()
	if !CloseWrite(conn) {
		return
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	if r == nil {
		r = conn
	}
	_, _ = io.CopyN(io.Discard, r, maxBytes)
}

// State is the state of a connection as reported by Peek.
type State int

// The states that Peek reports.
const (
	Unknown State = iota // the connection has no socket
	Idle                 // open, without unread bytes
	Unread               // open, with received bytes that have not been read
	Closed               // closed by the peer, or failed
)

// Peek returns the state of a connection. It does not block and does not consume input.
func Peek(conn net.Conn) State {
	s, ok := conn.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT); {
		case err == unix.EAGAIN || err == unix.EINTR:
			state = Idle
		case err == nil && n > 0:
			state = Unread
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// ResetDetector tells whether the peer of a connection has reset it. The kernel still delivers bytes that arrived before a reset, so a reader
// learns of it only after the last of them. It is used by one goroutine.
type ResetDetector struct {
	raw   syscall.RawConn // nil: the connection has no socket
	poll  func(fd uintptr)
	fds   [1]unix.PollFd
	reset bool
}

// NewResetDetector returns a detector for a connection. For a connection without a socket, such as an in-memory pipe, it detects nothing.
func NewResetDetector(conn net.Conn) *ResetDetector {
	d := &ResetDetector{}
	if s, ok := conn.(syscall.Conn); ok {
		d.raw, _ = s.SyscallConn()
	}
	d.poll = func(fd uintptr) { // made once: a closure for each call would be allocated
		d.fds[0] = unix.PollFd{Fd: int32(fd)}
		n, err := unix.Poll(d.fds[:], 0)
		d.reset = err == nil && n > 0 && d.fds[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
	}
	return d
}

// Reset reports whether the connection was reset. It does not block and does not consume input. After both sides have shut down their sending
// halves it reports true as well.
func (d *ResetDetector) Reset() bool {
	if d.raw == nil {
		return false
	}
	d.reset = true // stays if the connection is closed here
	_ = d.raw.Control(d.poll)
	return d.reset
}
