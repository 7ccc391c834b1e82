// Package linger closes TCP connections so that what was written on them arrives. A close over bytes that nobody has read makes the
// kernel reset the connection, and the other side may lose an answer that is on its way: so the sending half ends first, what still
// comes is read for a bounded time, and only then the connection closes.
package linger

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseWrite closes the sending half of a connection. It reports whether that succeeded: a pipe in memory has no halves.
func CloseWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Close closes a connection on which all that was to be written is written. What still comes is read, by r where that holds a buffer
// of the connection, and thrown away, until the other side closes it too, the timeout is over or maxBytes have come. It is called
// by a connection's handler as its last step.
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

// State is what Peek finds on a connection.
type State int

// What Peek finds.
const (
	Unknown State = iota // it has no socket to look at
	Idle                 // open, and nothing has come that was not read
	Unread               // bytes have come and were not read
	Closed               // the other side has closed it, or it is broken
)

// Peek looks at a connection without waiting and without reading from it.
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
