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
	"silverpath/internal/policy/admission"
	"silverpath/internal/transport/bufferpool"
	"silverpath/internal/transport/listener"
)

// This file implements calls between processes of the program, such as quorum members and the owners of controllers. A call uses the
// same messages as a request for work: its method takes the place of the class. Calls do not pass through a core, and their bodies may
// be longer.

const (
	// MaxCallBody is the largest body of a call or of its result, in bytes. It is several times the size of the cell map of the
	// largest fleet.
	MaxCallBody = 1 << 20
	// maxCallsInFlight is the largest number of calls in flight on a connection: twice the caller's MaxInFlight.
	maxCallsInFlight = 64
	// maxCountedMethods is the largest number of methods that have a counter each. A group has about twenty.
	maxCountedMethods = 64
	// callBodyMemory bounds the memory of the bodies of all calls of a CallServer, in bytes. It holds sixty of the largest.
	callBodyMemory = 64 << 20
)

// Call is one request between processes.
type Call struct {
	Method string
	Fields map[string]string
	Body   []byte
}

// CallResult is the answer to a call: a body or an error code, with optional fields.
type CallResult struct {
	Error  string // code that the caller acts on; empty: no error
	Body   []byte
	Fields []string // alternating names and values
}

// CallHandler starts a call and returns a function that completes it. The handler is called for the calls of a connection in the order
// of their arrival. The returned function runs concurrently with later calls. The context is cancelled when the connection ends.
type CallHandler func(ctx context.Context, call Call) (finish func() CallResult)

// CallServer serves calls on connections from other processes.
type CallServer struct {
	name   string
	stats  *metrics.Counters
	handle CallHandler
	bodies *admission.BodyBudget

	mu      sync.Mutex
	methods map[string]bool // with a counter of their own, at most maxCountedMethods
}

// NewCallServer returns a server that passes calls to handle. Name labels its counters and log lines. Serve is the Handler to give to a
// listener.
func NewCallServer(name string, stats *metrics.Counters, handle CallHandler) *CallServer {
	return &CallServer{name: name, stats: stats, handle: handle, bodies: admission.NewBodyBudget(callBodyMemory), methods: map[string]bool{}}
}

// countCall counts a call under its method. The name comes from the peer, so the methods after the first maxCountedMethods are counted
// together: counters are never removed.
func (s *CallServer) countCall(method string) {
	s.mu.Lock()
	if !s.methods[method] {
		if len(s.methods) >= maxCountedMethods {
			method = "unknown"
		} else {
			s.methods[method] = true
		}
	}
	s.mu.Unlock()
	s.stats.Inc("words", s.name, method)
}

// callConn is one connection from another process.
type callConn struct {
	*CallServer
	conn net.Conn
	slot *listener.Slot

	mu       sync.Mutex // guards writes to conn, and inFlight
	inFlight int
	pending  sync.WaitGroup // calls without a written result
}

// Serve reads and answers the calls of one connection until it ends. It returns after every result is written or its write has failed.
func (s *CallServer) Serve(conn net.Conn, slot *listener.Slot) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	c := &callConn{CallServer: s, conn: conn, slot: slot}
	err := c.readCalls(ctx, r)
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded) && slot.Evicted():
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		cancel() // the caller has closed the connection
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.stats.Inc("too_slow", s.name)
	case errors.Is(err, bufferpool.ErrNoMemory):
		s.stats.Inc("turned_away", s.name, "body_memory")
	case errors.Is(err, errMalformed):
		s.stats.Inc("malformed", s.name)
		slot.LogPeer("listener.connection_closed", s.name, conn.RemoteAddr(), err)
	}
	c.pending.Wait() // earlier calls are answered as long as the peer reads
	slot.CloseGracefully(r)
}

// readCalls reads calls and starts each of them. It returns nil if the slot was evicted when a call arrived; that call is not handled.
func (c *callConn) readCalls(ctx context.Context, r *bufio.Reader) error {
	d := decoder{r: r, maxBody: MaxCallBody}
	c.conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
	for {
		if _, err := r.Peek(1); err != nil {
			return err
		}
		c.conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
		d.reservation = c.bodies.Reserve()
		m, err := d.message()
		if err != nil {
			d.reservation.Release()
			return err
		}
		c.conn.SetReadDeadline(time.Time{})
		if !c.slot.BeginMessage() {
			d.reservation.Release()
			return nil
		}
		if err := c.startCall(ctx, m, d.reservation.Release); err != nil {
			return err
		}
		c.slot.EndMessage()
	}
}

// startCall passes a call to the handler and starts a goroutine that completes it and writes its result. It calls onOver once the message's
// body is not used any more. It returns an error if the connection has more than maxCallsInFlight calls.
func (c *callConn) startCall(ctx context.Context, m message, onOver func()) error {
	if m.kind != request || m.method == methodProbe { // a probe or notification comes from a misdirected balancer and is ignored
		onOver()
		return nil
	}
	c.mu.Lock()
	c.inFlight++
	inFlight := c.inFlight
	c.slot.SetInFlight(inFlight)
	c.mu.Unlock()
	if inFlight > maxCallsInFlight {
		onOver()
		return malformed("too many calls in flight: %d", inFlight)
	}
	c.countCall(m.method)
	finish := c.handle(ctx, Call{m.method, m.fields, m.body})
	c.pending.Go(func() {
		result := finish()
		onOver()
		c.writeResult(m.id, result)
	})
	return nil
}

// writeResult writes the result of a call. If the write fails, it closes the connection, which ends the reading goroutine.
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

// appendCallResult encodes the answer to a call.
func appendCallResult(b []byte, id uint64, result CallResult) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	if result.Error != "" {
		return appendNil(appendFields(appendStr(appendArray(b, 2), result.Error), result.Fields))
	}
	return appendFields(appendBin(appendArray(appendNil(b), 2), result.Body), result.Fields)
}

// DialCalls opens a connection for calls, whose results may have MaxCallBody bytes. The caller must close it.
func DialCalls(ctx context.Context, addr string) (*Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(conn, MaxCallBody), nil
}

// Call sends a call. The channel receives the reply. If the connection ends first, the channel is closed without a reply, and the call
// may have been handled.
func (c *Conn) Call(call Call) (<-chan Reply, error) {
	fields := make([]string, 0, 2*len(call.Fields))
	for k, v := range call.Fields {
		fields = append(fields, k, v)
	}
	_, reply, err := c.Send(func(id uint64) []byte { return AppendRequest(nil, id, call.Method, call.Body, fields...) })
	return reply, err
}

// ReadMessage reads the next message of either direction and returns its encoded bytes, of which there are at most maxBytes. Tests
// use it in fault-injecting relays that delay, drop or duplicate whole messages.
func ReadMessage(r *bufio.Reader, maxBytes int) ([]byte, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	var recorded recorder
	recorded.r, recorded.maxBytes = r, maxBytes
	in := bufio.NewReaderSize(&recorded, 16) // does not read past the message: recorder.Read returns one byte at a time
	err := decoder{r: in, maxBody: maxBytes}.skip(0)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return recorded.bytes, err
}

// recorder is a reader that returns one byte at a time and records the bytes that it returned.
type recorder struct {
	r        *bufio.Reader
	bytes    []byte
	maxBytes int
}

// Read reads one byte. It fails once maxBytes were recorded.
func (rec *recorder) Read(p []byte) (int, error) {
	if len(rec.bytes) >= rec.maxBytes {
		return 0, malformed("message exceeds %d bytes", rec.maxBytes)
	}
	next, err := rec.r.ReadByte()
	if err != nil {
		return 0, err
	}
	p[0], rec.bytes = next, append(rec.bytes, next)
	return 1, nil
}
