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
