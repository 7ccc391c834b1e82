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
	"silverpath/internal/transport/listener"
)

// Front serves balancers.
type Front struct {
	core   *core.Core
	log    *log.Logger
	stats  *metrics.Counters
	writes *metrics.Timing
}

// New returns the front of a core. Its Serve is given to a listener.
func New(c *core.Core, l *log.Logger, s *metrics.Counters) *Front {
	return &Front{c, l, s, s.Timing("write", Name)}
}

// client is one connection of a balancer.
type client struct {
	*Front
	conn net.Conn
	slot *listener.Slot

	mu             sync.Mutex
	pending        map[uint64]string // ids of requests in flight, by message id
	writingAnswers int               // answers that are being written
	lastTakenID    uint64            // message id of the last request taken
	drainNotified  bool              // methodDrain was sent
	broken         bool              // a write failed: nothing more is written

	writing sync.Mutex // one message at a time

	skippedAnswer core.Answer // to the request that the decoder skipped just now; only the reading goroutine uses it
}

// Serve reads the messages of one connection until it ends, and answers them. It returns once every answer is written, or can't be.
func (f *Front) Serve(conn net.Conn, slot *listener.Slot) {
	c := &client{Front: f, conn: conn, slot: slot, pending: map[uint64]string{}}
	slot.OnDrain(c.notifyDrain)
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	_, inCell := f.core.StartStamp()
	if inCell {
		slot.OnEvict(c.notifyLastTaken)
	}
	d := decoder{r: r, statusEnabled: f.core.ServesStatus(), inCell: inCell, rejects: func(class string) (rejected bool) {
		c.skippedAnswer, rejected = f.core.RejectsUnread(Name, class)
		return rejected
	}}
	var requests sync.WaitGroup
	err := c.readMessages(r, d, &requests)
	// Half a message is no request, and costs nobody an answer: what came before it is answered as long as the other side reads.
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

// readMessages handles one message after another. It returns nil where the slot was evicted as a message came, of which then
// nothing runs; io.EOF at a clean end.
func (c *client) readMessages(r *bufio.Reader, d decoder, requests *sync.WaitGroup) error {
	c.conn.SetReadDeadline(time.Now().Add(listener.MessageTimeout)) // who connects and sends nothing keeps no place
	for n := 1; ; n++ {
		if n%listener.MessagesPerTurn == 0 {
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
		err = c.handle(m, requests)
		if r.Buffered() == 0 { // else more has been read already, which a look at the socket does not show
			c.slot.EndMessage()
		}
		if err != nil {
			return err
		}
	}
}

// abort closes a connection on which nobody can be answered any more, and lets the core know of each request in flight.
func (c *client) abort() {
	c.conn.Close()
	c.mu.Lock()
	pending := c.pending
	c.pending, c.broken = map[uint64]string{}, true
	c.slot.SetInFlight(0)
	c.mu.Unlock()
	for _, id := range pending {
		c.core.CallerGone(id)
	}
}

// notifyDrain asks the balancer, once, to send no more on this connection; it closes it when all is answered. The listener calls it
// in a drain and where a connection idles.
func (c *client) notifyDrain() {
	c.mu.Lock()
	notified := c.drainNotified
	c.drainNotified = true
	c.mu.Unlock()
	if !notified {
		c.write(func(b []byte) []byte {
			return appendArray(appendText(appendUint(appendArray(b, 3), uint64(notification)), methodDrain), 0)
		})
	}
}

// notifyLastTaken tells a router up to which message id requests on this connection were taken; none is from now on. Without it a
// request that crosses the close would fail, as it might have run. The listener calls it before it closes the connection.
func (c *client) notifyLastTaken() {
	c.mu.Lock()
	id := c.lastTakenID
	c.mu.Unlock()
	if !c.writing.TryLock() {
		return // an answer is stuck in it: the peer reads nothing
	}
	defer c.writing.Unlock()
	c.conn.SetWriteDeadline(time.Now().Add(lastTakenTimeout))
	_, _ = c.conn.Write(appendUint(appendArray(appendText(appendUint(appendArray(nil, 3), uint64(notification)), methodLastTaken), 1), id))
}

// write writes one message, which message appends to a pooled buffer. After an error nothing more is written: the reading
// goroutine meets the closed connection and aborts.
func (c *client) write(message func([]byte) []byte) {
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken {
		return
	}
	*b = message(*b)
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	startedAt := time.Now()
	_, err := c.conn.Write(*b)
	c.writes.Record(time.Since(startedAt))
	if err != nil {
		c.stats.Inc("write_failed", Name)
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
		c.conn.Close()
	}
}
