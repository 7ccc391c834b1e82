package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"silverpath/internal/metrics"
	"silverpath/internal/transport/bufferpool"
	"silverpath/internal/transport/listener"
)

// This file has calls between processes of the program, members of the group and owners of its controllers among them. They go over
// the same messages as requests for work: a request whose method is the call's, with its fields and body, and its answer. They
// belong to no core, and bodies may be longer.

const (
	// MaxCallBody bounds the body of a call or its result, in bytes: a cell map of the largest fleet several times over.
	MaxCallBody = 1 << 20
	// maxCallsInFlight bounds the calls in flight on a connection: twice the MaxInFlight of the other end.
	maxCallsInFlight = 64
)

// Call is one request between processes.
type Call struct {
	Method string
	Fields map[string]string
	Body   []byte
}

// CallResult is the answer to a call: a body, or an error code, each with fields, given as name and value in turn.
type CallResult struct {
	Error  string // a code that the caller decides by; empty: none
	Body   []byte
	Fields []string
}

// CallHandler takes a call and returns what finishes it. It is called with the calls of a connection in their order; what it returns
// runs beside the calls that follow. The context ends with the connection.
type CallHandler func(ctx context.Context, call Call) (finish func() CallResult)

// CallServer serves connections of other processes.
type CallServer struct {
	name   string
	stats  *metrics.Counters
	handle CallHandler
}

// NewCallServer returns a server of calls, whose name stands in counters and log lines. Its Serve is given to a listener.
func NewCallServer(name string, s *metrics.Counters, handle CallHandler) *CallServer {
	return &CallServer{name, s, handle}
}

// callConn is one connection of another process.
type callConn struct {
	*CallServer
	conn net.Conn
	slot *listener.Slot

	mu       sync.Mutex // of writing, and of inFlight
	inFlight int
	pending  sync.WaitGroup // calls without a written result
}

// Serve reads the calls of one connection until it ends, and answers them. It returns once every result is written, or can't be.
func (f *CallServer) Serve(conn net.Conn, slot *listener.Slot) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	c := &callConn{CallServer: f, conn: conn, slot: slot}
	err := c.readCalls(ctx, r)
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded) && slot.Evicted():
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		cancel() // the caller has left
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.stats.Inc("too_slow", f.name)
	case errors.Is(err, errMalformed):
		f.stats.Inc("malformed", f.name)
		slot.LogPeer("listener.connection_closed", f.name, conn.RemoteAddr(), err)
	}
	c.pending.Wait() // what was called before is answered, as long as the other side reads
	slot.CloseGracefully(r)
}

// readCalls handles one call after another. It returns nil where the slot was evicted as a call came, which is not handled then.
func (c *callConn) readCalls(ctx context.Context, r *bufio.Reader) error {
	d := decoder{r: r, maxBody: MaxCallBody}
	c.conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
	for {
		if _, err := r.Peek(1); err != nil {
			return err
		}
		c.conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
		m, err := d.message()
		if err != nil {
			return err
		}
		c.conn.SetReadDeadline(time.Time{})
		if !c.slot.BeginMessage() {
			return nil
		}
		if m.kind == request && m.method != methodProbe { // else it is a balancer that has lost its way, and does no harm
			if err := c.begin(ctx, m); err != nil {
				return err
			}
		}
		c.slot.EndMessage()
	}
}

// begin hands a call to the handler and has its result written once it is finished.
func (c *callConn) begin(ctx context.Context, m message) error {
	c.mu.Lock()
	c.inFlight++
	n := c.inFlight
	c.slot.SetInFlight(n)
	c.mu.Unlock()
	if n > maxCallsInFlight {
		return malformed("%d calls in flight", n)
	}
	c.stats.Inc("words", c.name, m.method)
	finish := c.handle(ctx, Call{m.method, m.fields, m.body})
	c.pending.Go(func() { c.writeResult(m.id, finish()) })
	return nil
}

// writeResult writes the result of a call. Where that fails the connection is closed, so that its reading goroutine ends.
func (c *callConn) writeResult(id uint64, result CallResult) {
	b := appendCallResult(nil, id, result)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.conn.Write(b); err != nil {
		c.conn.Close()
	}
	c.inFlight--
	c.slot.SetInFlight(c.inFlight)
}

// appendCallResult appends the answer to a call.
func appendCallResult(b []byte, id uint64, result CallResult) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	if result.Error != "" {
		return appendNil(appendFields(appendText(appendArray(b, 2), result.Error), result.Fields))
	}
	return appendFields(appendBin(appendArray(appendNil(b), 2), result.Body), result.Fields)
}

// DialCalls opens a connection for calls. Its owner closes it.
func DialCalls(ctx context.Context, addr string) (*Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(conn, MaxCallBody), nil
}

// Call sends a call. The channel gets the reply, or is closed without one: then the call may have been handled.
func (c *Conn) Call(call Call) (<-chan Reply, error) {
	fields := make([]string, 0, 2*len(call.Fields))
	for k, v := range call.Fields {
		fields = append(fields, k, v)
	}
	_, reply, err := c.Send(func(id uint64) []byte { return AppendRequest(nil, id, call.Method, call.Body, fields...) })
	return reply, err
}

// ReadMessage reads one whole message of either direction as it stands on the wire, of at most maxBytes. Faults that tests put
// between two processes hold back, drop or repeat whole messages by it.
func ReadMessage(r *bufio.Reader, maxBytes int) ([]byte, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	var recorded recorder
	recorded.r, recorded.maxBytes = r, maxBytes
	in := bufio.NewReaderSize(&recorded, 16) // reads no further ahead than the message: the recorder gives a byte at a time
	err := decoder{r: in, maxBody: maxBytes}.skip(0)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return recorded.bytes, err
}

// recorder is a reader that gives one byte at a time and keeps all that it gave.
type recorder struct {
	r        *bufio.Reader
	bytes    []byte
	maxBytes int
}

// Read gives the next byte.
func (c *recorder) Read(p []byte) (int, error) {
	if len(c.bytes) >= c.maxBytes {
		return 0, malformed("a message over %d bytes", c.maxBytes)
	}
	x, err := c.r.ReadByte()
	if err != nil {
		return 0, err
	}
	p[0], c.bytes = x, append(c.bytes, x)
	return 1, nil
}
