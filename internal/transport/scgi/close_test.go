package scgi

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// trackingListener is a listener whose connections record, when they are closed, whether the peer had closed its side before. After
// CloseWrite a connection ignores read deadlines, so that the tests do not depend on the speed of the machine.
type trackingListener struct {
	*net.TCPListener
	conns chan *trackingConn
}

type trackingConn struct {
	*net.TCPConn
	mu                  sync.Mutex
	writeClosed, gotEOF bool
	once                sync.Once
	closed              chan bool // receives gotEOF at the first Close
}

func newTrackingListener(t *testing.T) *trackingListener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &trackingListener{ln.(*net.TCPListener), make(chan *trackingConn, 1000)}
}

func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c := &trackingConn{TCPConn: conn, closed: make(chan bool, 1)}
	l.conns <- c
	return c, nil
}

func (c *trackingConn) CloseWrite() error {
	c.mu.Lock()
	c.writeClosed = true
	c.mu.Unlock()
	_ = c.TCPConn.SetReadDeadline(time.Time{})
	return c.TCPConn.CloseWrite()
}

func (c *trackingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writeClosed {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *trackingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gotEOF = c.gotEOF || errors.Is(err, io.EOF)
	return n, err
}

func (c *trackingConn) Close() error {
	err := c.TCPConn.Close()
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closed <- c.gotEOF
	})
	return err
}

// sendWhileReading sends a request, reads its response and only then sends more bytes. The server must read those bytes before it closes
// the connection, because a close with unread bytes resets the connection, and the reset could discard the response.
func (l *trackingListener) sendWhileReading(t *testing.T, raw []byte) Reply {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := conn.Write(raw); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(conn)
	a, err := ReadReply(r)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("status %d: error %v after the response, want EOF", a.Status, err)
	}
	conn.Write([]byte("more"))
	conn.(*net.TCPConn).CloseWrite()
	if gotEOF := <-(<-l.conns).closed; !gotEOF {
		t.Errorf("status %d: the server closed the connection before the client did", a.Status)
	}
	return a
}
