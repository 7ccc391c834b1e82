package msgpackrpc

import (
	"bufio"
	"errors"
	"io"
	"log"
	"net"
	"os"
	"runtime"
	"sync"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/transport/bufferpool"
	"silverpath/internal/transport/linger"
	"silverpath/internal/transport/listener"
)

// Front serves the connections of balancers and routers for a core.
type Front struct {
	core   *core.Core
	log    *log.Logger
	stats  *metrics.Counters
	writes *metrics.Timing // durations of writes
}

// New returns a front for a core. Serve is the Handler to give to a listener.
func New(c *core.Core, l *log.Logger, s *metrics.Counters) *Front {
	return &Front{c, l, s, s.Timing("write", Name)}
}

// frontConn is one connection from a balancer or router.
type frontConn struct {
	*Front
	conn net.Conn
	slot *listener.Slot
	peer *linger.ResetDetector // used only by the reading goroutine

	mu             sync.Mutex
	pending        map[uint64]string // request ids of requests in flight, by message id
	writingAnswers int               // number of answers being written
	lastTakenID    uint64            // message id of the last request taken
	drainNotified  bool              // methodDrain was sent
	broken         bool              // a write failed: nothing more is written

	writing sync.Mutex // held while a message is written

	skippedAnswer core.Answer // answer to the last request that the decoder skipped; used only by the reading goroutine
}

// Serve reads and answers the messages of one connection until it ends. It returns after every answer is written or its write has failed.
func (f *Front) Serve(conn net.Conn, slot *listener.Slot) {
	c := &frontConn{Front: f, conn: conn, slot: slot, peer: linger.NewResetDetector(conn), pending: map[uint64]string{}}
	slot.OnDrain(c.notifyDrain)
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	_, inCell := f.core.StartStamp()
	if inCell {
		slot.OnEvict(c.notifyLastTaken)
	}
	d := decoder{r: r, statusEnabled: f.core.ServesStatus(), inCell: inCell, keepField: isServedField, rejects: func(class string) (rejected bool) {
		c.skippedAnswer, rejected = f.core.RejectsUnread(Name, class)
		return rejected
	}}
	var requests sync.WaitGroup
	err := c.readMessages(r, d, &requests)
	// An incomplete or malformed message is not a request. Earlier requests are still answered, as long as the peer reads.
	switch {
	case err == nil || errors.Is(err, io.EOF) || errors.Is(err, os.ErrDeadlineExceeded) && slot.Evicted():
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.stats.Inc("too_slow", Name)
	case errors.Is(err, errMalformed) || errors.Is(err, io.ErrUnexpectedEOF):
		f.stats.Inc("malformed", Name)
		slot.LogPeer("listener.connection_closed", Name, conn.RemoteAddr(), err)
	default:
		c.abort()
	}
	requests.Wait()
	slot.CloseGracefully(r)
}

// errReset is returned by readMessages if the peer has reset the connection while messages were unread. They are not handled: their sender
// has left, and no answer would arrive.
var errReset = errors.New("reset by the peer")

// readMessages reads and handles messages. It returns nil if the slot was evicted when a message arrived; that message is not handled.
// It returns io.EOF if the stream ended between two messages, and errReset or the error of the read if the connection broke.
func (c *frontConn) readMessages(r *bufio.Reader, d decoder, requests *sync.WaitGroup) error {
	c.conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout)) // a peer that sends nothing does not keep its slot
	for n := 1; ; n++ {
		if n%listener.MessagesPerYield == 0 {
			runtime.Gosched()
		}
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
		if c.peer.Reset() {
			c.stats.Inc("unread_reset", Name)
			return errReset
		}
		err = c.handle(m, requests)
		if r.Buffered() == 0 { // otherwise the slot must not be evicted: buffered bytes do not show as unread on the socket
			c.slot.EndMessage()
		}
		if err != nil {
			return err
		}
	}
}

// abort closes a connection on which no answer can be sent any more, and reports each request in flight to the core as abandoned. It is
// called by the reading goroutine, and when the write of an answer fails: a peer that closed its connection in order is only then known
// to have left, as it might have closed just its sending half.
func (c *frontConn) abort() {
	c.conn.Close()
	c.mu.Lock()
	pending := c.pending
	c.pending, c.broken = map[uint64]string{}, true
	c.slot.SetInFlight(0)
	c.mu.Unlock()
	for _, id := range pending {
		c.core.CallerDisconnected(id)
	}
}

// notifyDrain asks the balancer, once, to send no more requests on this connection. The balancer closes the connection when all its
// requests are answered. The listener calls notifyDrain in a drain and when a connection has been idle too long.
func (c *frontConn) notifyDrain() {
	c.mu.Lock()
	notified := c.drainNotified
	c.drainNotified = true
	c.mu.Unlock()
	if !notified {
		c.write(func(b []byte) []byte {
			return appendArray(appendStr(appendUint(appendArray(b, 3), uint64(notification)), methodDrain), 0)
		})
	}
}

// notifyLastTaken sends a router the message id of the last request taken on this connection; no later one is taken. Without it, a
// request that crosses the close would fail, since it might have run. The listener calls it before it closes the connection.
func (c *frontConn) notifyLastTaken() {
	c.mu.Lock()
	id := c.lastTakenID
	c.mu.Unlock()
	if !c.writing.TryLock() {
		return // the write of an answer is blocked: the peer does not read
	}
	defer c.writing.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(lastTakenTimeout))
	_, _ = c.conn.Write(appendUint(appendArray(appendStr(appendUint(appendArray(nil, 3), uint64(notification)), methodLastTaken), 1), id))
}

// write writes the message that message appends to a pooled buffer. If the write fails, it aborts the connection, and nothing more is written.
func (c *frontConn) write(message func([]byte) []byte) {
	if err := c.writeMessage(message); err != nil {
		c.stats.Inc("write_failed", Name)
		c.abort()
	}
}

// writeMessage writes a message, unless the connection is broken.
func (c *frontConn) writeMessage(message func([]byte) []byte) error {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken {
		return nil
	}
	*b = message(*b)
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	startedAt := time.Now()
	_, err := c.conn.Write(*b)
	c.writes.Record(time.Since(startedAt))
	return err
}
