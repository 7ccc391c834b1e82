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

// This file carries words between processes of the program over the same messages as the platform's front: a request
// of a method with fields and a body, and its answer. What differs is that they belong to no core, and how long a body
// may be.

const (
	// MaxCallBody bounds the body of a word, in bytes: a map of a whole fleet with room to spare.
	MaxCallBody      = 1 << 20
	maxCallsInFlight = 64 // open on a connection
)

// Call is one request between processes.
type Call struct {
	Method string
	Fields map[string]string
	Body   []byte
}

// CallResult is the answer to a word: a body, or what is wrong in a word, each with fields, given as name and value in turn.
type CallResult struct {
	Error  string // empty: none
	Body   []byte
	Fields []string
}

// CallServer serves connections of other processes.
type CallServer struct {
	name   string
	stats  *metrics.Counters
	handle func(ctx context.Context, w Call) func() CallResult
}

// NewCallServer returns a front of words. Answer is called with the words of a connection in their order; what it returns is
// called beside the words that follow. The context ends with the connection.
func NewCallServer(name string, s *metrics.Counters, handle func(ctx context.Context, w Call) func() CallResult) *CallServer {
	return &CallServer{name, s, handle}
}

// Serve is the life of one connection.
func (f *CallServer) Serve(conn net.Conn, slot *listener.Slot) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	d := decoder{r: r, maxBody: MaxCallBody}
	var mu sync.Mutex // of writing, and of open
	var pending sync.WaitGroup
	var err error
	n := 0
	conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
	for err == nil {
		if _, err = r.Peek(1); err != nil {
			break
		}
		conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout))
		var m message
		if m, err = d.message(); err != nil {
			break
		}
		conn.SetReadDeadline(time.Time{})
		if !slot.BeginMessage() {
			break // its place was given up as this came
		}
		if m.kind != request || m.method == methodProbe {
			slot.EndMessage()
			continue // nobody who speaks so belongs here, and no harm is done
		}
		mu.Lock()
		if n++; n > maxCallsInFlight {
			err = malformed("%d words open", n)
		}
		slot.SetInFlight(n)
		mu.Unlock()
		if err != nil {
			break
		}
		f.stats.Inc("words", f.name, m.method)
		finish := f.handle(ctx, Call{m.method, m.fields, m.body})
		pending.Go(func() {
			v := finish()
			b := appendCallResult(nil, m.id, v)
			mu.Lock()
			defer mu.Unlock()
			conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := conn.Write(b); err != nil {
				conn.Close() // the reader ends
			}
			n--
			slot.SetInFlight(n)
		})
		slot.EndMessage()
	}
	switch {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded) && slot.Evicted():
	case err == io.EOF, errors.Is(err, net.ErrClosed):
		cancel() // whoever asked has left
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.stats.Inc("too_slow", f.name)
	case errors.Is(err, errMalformed):
		f.stats.Inc("malformed", f.name)
		slot.LogPeer("front.closed", f.name, conn.RemoteAddr(), err)
	}
	pending.Wait() // what was asked before is answered, as long as the other side may read
	slot.CloseGracefully(r)
}

func appendCallResult(b []byte, id uint64, v CallResult) []byte {
	b = appendUint(appendUint(appendArray(b, 4), uint64(response)), id)
	if v.Error != "" {
		return appendNil(appendFields(appendText(appendArray(b, 2), v.Error), v.Fields))
	}
	return appendFields(appendBin(appendArray(appendNil(b), 2), v.Body), v.Fields)
}

// DialCalls opens a connection for words.
func DialCalls(ctx context.Context, addr string) (*Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(conn, MaxCallBody), nil
}

// Call sends a word. The channel gets the reply, or is closed without one.
func (c *Conn) Call(w Call) (<-chan Reply, error) {
	fields := make([]string, 0, 2*len(w.Fields))
	for k, v := range w.Fields {
		fields = append(fields, k, v)
	}
	_, reply, err := c.Send(func(id uint64) []byte { return AppendRequest(nil, id, w.Method, w.Body, fields...) })
	return reply, err
}

// ReadMessage reads one whole message of either direction as it stands on the wire, of at most so many bytes, for what
// stands between two processes and understands neither.
func ReadMessage(r *bufio.Reader, maxBytes int) ([]byte, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	var recorded recorder
	recorded.r, recorded.maxBytes = r, maxBytes
	in := bufio.NewReaderSize(&recorded, 16) // reads ahead no further than a value's own bytes: copier gives one at a time
	err := decoder{r: in, maxBody: maxBytes}.skip(0)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return recorded.bytes, err
}

// recorder reads byte by byte and keeps what it read.
type recorder struct {
	r        *bufio.Reader
	bytes    []byte
	maxBytes int
}

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
