// Package linger ends TCP connections so that what was written on them arrives. A plain close over bytes that were not read
// resets the connection, and the reset may overtake an answer on its way or take it out of the other side's buffer. A
// lingering close ends the sending half first, reads what still comes for a bounded time, and only then closes.
package linger

import (
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseWrite ends the sending half of a connection. It reports whether the connection has halves: a pipe in memory has none.
func CloseWrite(conn net.Conn) bool {
	half, ok := conn.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil
}

// Close ends a connection on which all that was to be written is written. What still comes is read, by r where that holds a
// buffer of the connection, and thrown away until the other side ends it too, the time is over or as many bytes have come.
func Close(conn net.Conn, r io.Reader, timeout time.Duration, maxBytes int64) {
	defer conn.Close()
	if !CloseWrite(conn) {
		return
	}
	conn.SetReadDeadline(time.Now().Add(timeout))
	if r == nil {
		r = conn
	}
	io.CopyN(io.Discard, r, maxBytes)
}

// State is what a look at a connection shows, without taking anything from it.
type State int

const (
	Unknown State = iota // it can't be looked at
	Idle                 // open, and nothing has come
	Unread               // bytes have come and were not read
	Closed               // the other side has ended it, or it is broken
)

// Peek looks at a connection without waiting.
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
