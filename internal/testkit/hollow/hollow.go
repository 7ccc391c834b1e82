// Package hollow has processes of the fleet that are all control and no work: a router, a server and a caller whose health checks, map,
// documents, slow start, shares and counters are by the program's own code, with no requests, interpreter or client's front behind them. Many
// share one process of the system, each with its own state, connections, counters and address of the loopback range. It is no part of
// the service: tests and the lab stand a fleet up with it that would not fit on the machine else.
package hollow

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"sync"
	"sync/atomic"

	"silverpath/internal/transport/msgpackrpc"
)

// IP is the address of the loopback range that the nth of a kind has: kinds are 0 to 31, and each has 65,536.
func IP(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", 64+kind, n>>8&0xff, n&0xff) }

// Traffic counts what went over the connections of one process.
type Traffic struct {
	Opened   atomic.Int64 // by it and to it
	In, Out  atomic.Int64 // bytes
	Messages atomic.Int64 // writes, each of which is one message whole
}

// Count is what a Traffic had counted at a moment.
type Count struct{ Opened, In, Out, Messages int64 }

// Now reads the counters.
func (t *Traffic) Now() Count {
	return Count{t.Opened.Load(), t.In.Load(), t.Out.Load(), t.Messages.Load()}
}

// Add is the sum of two.
func (c Count) Add(d Count) Count {
	return Count{c.Opened + d.Opened, c.In + d.In, c.Out + d.Out, c.Messages + d.Messages}
}

// Sub is what was counted since d.
func (c Count) Sub(d Count) Count {
	return Count{c.Opened - d.Opened, c.In - d.In, c.Out - d.Out, c.Messages - d.Messages}
}

// conn is a connection that is counted.
type conn struct {
	*net.TCPConn
	t *Traffic
}

func (c conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.t.In.Add(int64(n))
	return n, err
}

func (c conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.t.Out.Add(int64(n))
	c.t.Messages.Add(1)
	return n, err
}

// countingListener is a listener whose connections are counted.
type countingListener struct {
	*net.TCPListener
	t *Traffic
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.t.Opened.Add(1)
	return conn{c, l.t}, nil
}

func listen(ip string, t *Traffic) (countingListener, error) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(ip)})
	return countingListener{ln, t}, err
}

// dial opens a connection to a server's front from an address of its own.
func (t *Traffic) dial(ctx context.Context, ip, to string) (*msgpackrpc.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	c, err := d.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	t.Opened.Add(1)
	return msgpackrpc.NewConn(conn{c.(*net.TCPConn), t}), nil
}

// running is what runs in a process until it is closed.
type running struct {
	ctx    context.Context
	cancel context.CancelFunc
	all    sync.WaitGroup
}

func run() *running {
	r := &running{}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

func (r *running) keep(f func(context.Context)) { r.all.Go(func() { f(r.ctx) }) }

func (r *running) end() {
	r.cancel()
	r.all.Wait()
}

// silent is the log of a hollow process.
func silent() *log.Logger { return log.New(io.Discard, "", 0) }
