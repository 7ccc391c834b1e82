// Package hollow implements hollow processes: a router, a server, a follower and a caller that run the program's own code for health checks,
// the cell map, documents, slow start, quotas and counters, but have no interpreter and no client front and do no work. Many of
// them share one operating system process, each with its own state, connections, counters and loopback address. The package is not part of
// the service: tests and the lab use it to start fleets that would otherwise not fit on the machine.
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

// IP returns the loopback address of the nth process of a kind. Kinds are 0 to 31, and each has 65,536 addresses.
func IP(kind, n int) string { return fmt.Sprintf("127.%d.%d.%d", 64+kind, n>>8&0xff, n&0xff) }

// Traffic counts the connections, bytes and messages of one process.
type Traffic struct {
	Opened   atomic.Int64 // connections that the process opened or accepted
	In, Out  atomic.Int64 // bytes
	Messages atomic.Int64 // writes; each write is one whole message
}

// TrafficCounts holds the values of a Traffic's counters at one moment.
type TrafficCounts struct{ Opened, In, Out, Messages int64 }

// Counts returns the current values of the counters.
func (t *Traffic) Counts() TrafficCounts {
	return TrafficCounts{t.Opened.Load(), t.In.Load(), t.Out.Load(), t.Messages.Load()}
}

// Add returns the sum of c and d.
func (c TrafficCounts) Add(d TrafficCounts) TrafficCounts {
	return TrafficCounts{c.Opened + d.Opened, c.In + d.In, c.Out + d.Out, c.Messages + d.Messages}
}

// Sub returns the difference of c and the earlier count d.
func (c TrafficCounts) Sub(d TrafficCounts) TrafficCounts {
	return TrafficCounts{c.Opened - d.Opened, c.In - d.In, c.Out - d.Out, c.Messages - d.Messages}
}

// countedConn is a TCP connection that adds its reads and writes to a Traffic.
type countedConn struct {
	*net.TCPConn
	t *Traffic
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.t.In.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.t.Out.Add(int64(n))
	c.t.Messages.Add(1)
	return n, err
}

// countingListener is a TCP listener whose accepted connections are counted in a Traffic.
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
	return countedConn{c, l.t}, nil
}

func listen(ip string, t *Traffic) (countingListener, error) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.ParseIP(ip)})
	return countingListener{ln, t}, err
}

// dial connects to a server's front at the address to, with ip as the local address.
func (t *Traffic) dial(ctx context.Context, ip, to string) (*msgpackrpc.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	c, err := d.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, fmt.Errorf("failed to dial: %w", err)
	}
	t.Opened.Add(1)
	return msgpackrpc.NewConn(countedConn{c.(*net.TCPConn), t}), nil
}

// taskGroup runs the goroutines of one hollow process. Stopping it cancels their context and waits for them.
type taskGroup struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func newTaskGroup() *taskGroup {
	g := &taskGroup{}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	return g
}

func (g *taskGroup) start(f func(context.Context)) { g.wg.Go(func() { f(g.ctx) }) }

func (g *taskGroup) stop() {
	g.cancel()
	g.wg.Wait()
}

// discardLog returns a logger that discards its output.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }
