// Package pipes is a listener whose connections are pipes in memory, for tests in simulated time.
package pipes

import (
	"net"
	"sync"
)

// Listener is a net.Listener; its peers connect by Dial.
type Listener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn, 8), done: make(chan struct{})}
}

// Dial returns the near end of a new connection.
func (l *Listener) Dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// Accept waits for the next connection, or the listener's end.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr is no address that anybody could dial.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
