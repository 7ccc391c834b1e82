package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"time"
)

// Conn is a balancer's end of a connection: it carries many requests at a time, with ids that rise.
type Conn struct {
	conn      net.Conn
	maxResult int // bytes of a result
	writing   sync.Mutex

	mu       sync.Mutex
	lastID   uint64                // of the last request sent
	pending  map[uint64]chan Reply // of requests in flight, by id; each has room for its one reply
	draining bool                  // the server asked for no more requests
	broken   bool
}

// errBroken says that nothing can be sent on a connection any more.
var errBroken = errors.New("the connection is broken")

// ErrFull says that a connection has MaxInFlight requests in flight, or that its server asked for no more: another connection may
// take the request.
var ErrFull = errors.New("the connection takes no more")

// Dial opens a connection to a service's front. Its owner closes it.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return NewConn(conn), nil
}

// NewConn returns a Conn on an open connection, and reads it until it ends.
func NewConn(conn net.Conn) *Conn { return newConn(conn, maxResult) }

// newConn is NewConn for results of at most maxResult bytes.
func newConn(conn net.Conn, maxResult int) *Conn {
	c := &Conn{conn: conn, maxResult: maxResult, pending: map[uint64]chan Reply{}}
	go c.read()
	return c
}

// Close ends the connection; requests in flight get no reply.
func (c *Conn) Close() { c.conn.Close() }

// Capacity reports whether the connection takes one more request now, and whether it will take any more at all.
func (c *Conn) Capacity() (hasCapacity, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable = !c.broken && !c.draining
	return usable && len(c.pending) < MaxInFlight, usable
}

// read hands out replies until the connection ends; then every request in flight has its channel closed without one.
func (c *Conn) read() {
	r := bufio.NewReader(c.conn)
	for {
		a, err := readReply(r, c.maxResult)
		if err != nil {
			c.fail()
			return
		}
		if a.Notification != "" {
			c.notified(a)
			continue
		}
		c.mu.Lock()
		reply := c.pending[a.ID]
		delete(c.pending, a.ID)
		done := c.draining && len(c.pending) == 0
		c.mu.Unlock()
		if reply != nil {
			reply <- a
		}
		if done { // everything on it has been answered
			c.conn.Close()
		}
	}
}

// fail closes the connection and the channel of every request in flight.
func (c *Conn) fail() {
	c.mu.Lock()
	c.broken = true
	for id, reply := range c.pending {
		delete(c.pending, id)
		close(reply)
	}
	c.mu.Unlock()
	c.conn.Close()
}

// notified takes a notification: no more is sent after methodDrain and methodLastTaken, and by the latter requests with a higher id
// are replied to as unprocessed.
func (c *Conn) notified(a Reply) {
	c.mu.Lock()
	c.draining = c.draining || a.Notification == methodDrain || a.Unprocessed()
	for id, reply := range c.pending {
		if a.Unprocessed() && id > a.ID {
			delete(c.pending, id)
			reply <- Reply{ID: id, Notification: methodLastTaken}
		}
	}
	done := c.draining && len(c.pending) == 0
	c.mu.Unlock()
	if done {
		c.conn.Close()
	}
}

// Send writes one message, which message makes for the next id. The channel gets the reply, or is closed without one: then the
// request may have run. An error, ErrFull among them, says that the message was not written whole, so that nothing of it ran.
func (c *Conn) Send(message func(id uint64) []byte) (id uint64, reply <-chan Reply, err error) {
	ch := make(chan Reply, 1)
	c.writing.Lock() // so that ids rise on the wire
	defer c.writing.Unlock()
	c.mu.Lock()
	if c.broken {
		c.mu.Unlock()
		return 0, nil, errBroken
	}
	if c.draining || len(c.pending) >= MaxInFlight {
		c.mu.Unlock()
		return 0, nil, ErrFull
	}
	c.lastID++
	id = c.lastID
	c.pending[id] = ch
	c.mu.Unlock()
	if err = c.write(message(id)); err != nil {
		c.conn.Close() // the reader closes what else is open
		return id, nil, fmt.Errorf("writing: %w", err)
	}
	return id, ch, nil
}

// Cancel tells the server that nobody waits for a request any more; its reply is dropped.
func (c *Conn) Cancel(id uint64) {
	c.mu.Lock()
	pending := c.pending[id] != nil && !c.broken
	delete(c.pending, id)
	c.mu.Unlock()
	if pending {
		c.writing.Lock()
		defer c.writing.Unlock()
		_ = c.write(AppendCancel(nil, id)) // where it fails, the connection breaks, and the reading goroutine meets that
	}
}

// write writes a message whole, under the writing lock.
func (c *Conn) write(b []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b)
	return err
}

// Attempt is one attempt of a request, as a balancer or router sends it.
type Attempt struct {
	ID, Class, Tenant string
	Key               string        // idempotency key; empty: none
	ReceivedAt        time.Time     // by the balancer, from its caller
	Timeout           time.Duration // from then until the caller waits no longer
	MemoryKB          float64       // memory that the server books for it
	Rank              float64       // from 0 to under 1
	Caller            int
	Body              []byte
	KnownOnly         bool   // answered only from a result on record; nothing runs
	Incarnation       int64  // of the server that is meant, see FieldIncarnation; 0: any
	ConfigID          string // the document by which it goes there; empty: none is named
}

// maxAttemptFields is the number of names and values of an attempt that has all fields.
const maxAttemptFields = 22

// Append appends the attempt as a message with an id.
func (t Attempt) Append(b []byte, id uint64) []byte {
	fields := append(make([]string, 0, maxAttemptFields), fieldID, t.ID, fieldReceivedAt, strconv.FormatInt(t.ReceivedAt.UnixMilli(), 10),
		fieldCaller, strconv.Itoa(t.Caller), fieldTimeout, strconv.FormatInt(t.Timeout.Milliseconds(), 10),
		fieldMemory, strconv.FormatFloat(t.MemoryKB, 'f', 2, 64))
	if t.Tenant != "" {
		fields = append(fields, fieldTenant, t.Tenant)
	}
	if t.Rank > 0 {
		fields = append(fields, fieldRank, strconv.FormatFloat(t.Rank, 'f', 4, 64))
	}
	if t.Key != "" {
		fields = append(fields, fieldKey, t.Key)
	}
	if t.KnownOnly {
		fields = append(fields, fieldKnownOnly, FlagSet)
	}
	if t.Incarnation != 0 {
		fields = append(fields, FieldIncarnation, strconv.FormatInt(t.Incarnation, 10))
	}
	if t.ConfigID != "" {
		fields = append(fields, FieldConfigID, t.ConfigID)
	}
	return AppendRequest(b, id, t.Class, t.Body, fields...)
}
