// Package pipes provides a listener whose connections are in-memory pipes, for tests in simulated time.
package pipes

import (
	"net"
	"sync"
)

// Listener is a net.Listener. Clients connect with Dial.
type Listener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Listen returns an open listener.
func Listen() *Listener {
	return &Listener{conns: make(chan net.Conn, 8), done: make(chan struct{})}
}

// Dial returns the client end of a new connection. Accept returns the other end.
func (l *Listener) Dial() net.Conn {
	near, far := net.Pipe()
	l.conns <- far
	return near
}

// Accept returns the next connection. After Close it returns net.ErrClosed.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. It may be called more than once. Open connections stay open.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns a placeholder address, which cannot be dialed.
func (l *Listener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
