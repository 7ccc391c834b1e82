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

// MaxInFlight is the number of requests that a balancer has open on a connection.
const MaxInFlight = 32

// Conn is a balancer's end of a connection: it carries many requests at a time, with ids that rise.
type Conn struct {
	conn      net.Conn
	maxResult int // bytes of a result
	writing   sync.Mutex

	mu       sync.Mutex
	lastID   uint64
	pending  map[uint64]chan Reply
	draining bool // told to bring no more
	broken   bool
}

var errBroken = errors.New("the connection is broken")

// ErrFull says that a connection has as many requests open as it may, or was told to bring no more.
var ErrFull = errors.New("the connection takes no more")

// Dial opens a connection to a service's front.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connecting: %w", err)
	}
	return NewConn(conn), nil
}

// NewConn serves an open connection.
func NewConn(conn net.Conn) *Conn { return newConn(conn, maxResult) }

func newConn(conn net.Conn, maxResult int) *Conn {
	c := &Conn{conn: conn, maxResult: maxResult, pending: map[uint64]chan Reply{}}
	go c.read()
	return c
}

// Close ends the connection; what is open on it gets no reply.
func (c *Conn) Close() { c.conn.Close() }

// Capacity reports whether the connection takes one more request, and whether it will ever take any.
func (c *Conn) Capacity() (hasCapacity, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable = !c.broken && !c.draining
	return usable && len(c.pending) < MaxInFlight, usable
}

func (c *Conn) read() {
	r := bufio.NewReader(c.conn)
	for {
		a, err := readReply(r, c.maxResult)
		c.mu.Lock()
		if err != nil {
			c.broken = true
			for id, reply := range c.pending {
				delete(c.pending, id)
				close(reply)
			}
			c.mu.Unlock()
			c.conn.Close()
			return
		}
		if a.Notification != "" {
			c.draining = c.draining || a.Notification == methodDrain || a.Unprocessed()
			for id, reply := range c.pending {
				if a.Unprocessed() && id > a.ID {
					delete(c.pending, id)
					reply <- Reply{ID: id, Notification: methodLastTaken} // it has room for one
				}
			}
			done := c.draining && len(c.pending) == 0
			c.mu.Unlock()
			if done {
				c.conn.Close()
			}
			continue
		}
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

// Send writes one message made for the next id. The channel gets the reply, or is closed without one. An error says that
// the message was not written whole, so that nothing of it ran.
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

// Cancel tells that nobody waits for a request any more; its reply is dropped.
func (c *Conn) Cancel(id uint64) {
	c.mu.Lock()
	pending := c.pending[id] != nil && !c.broken
	delete(c.pending, id)
	c.mu.Unlock()
	if pending {
		c.writing.Lock()
		defer c.writing.Unlock()
		c.write(AppendCancel(nil, id)) // where it fails the reader ends
	}
}

// write writes a message whole, under the writing lock.
func (c *Conn) write(b []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b)
	return err
}

// Attempt is a request as a balancer sends it.
type Attempt struct {
	ID, Class, Tenant, Key string
	ReceivedAt             time.Time
	Timeout                time.Duration
	HeldKB, Rank           float64
	Caller                 int
	Body                   []byte
	KnownOnly              bool   // only where the key is known
	Incarnation            int64  // the start of the service that is meant; 0: any
	ConfigID               string // the document by which it goes there; empty: none is named
}

// Append appends the try as a message.
func (t Attempt) Append(b []byte, id uint64) []byte {
	fields := append(make([]string, 0, 22), "i", t.ID, "s", strconv.FormatInt(t.ReceivedAt.UnixMilli(), 10),
		"f", strconv.Itoa(t.Caller), "d", strconv.FormatInt(t.Timeout.Milliseconds(), 10),
		"m", strconv.FormatFloat(t.HeldKB, 'f', 2, 64))
	if t.Tenant != "" {
		fields = append(fields, "t", t.Tenant)
	}
	if t.Rank > 0 {
		fields = append(fields, "p", strconv.FormatFloat(t.Rank, 'f', 4, 64))
	}
	if t.Key != "" {
		fields = append(fields, "k", t.Key)
	}
	if t.KnownOnly {
		fields = append(fields, "n", "1")
	}
	if t.Incarnation != 0 {
		fields = append(fields, "b", strconv.FormatInt(t.Incarnation, 10))
	}
	if t.ConfigID != "" {
		fields = append(fields, "g", t.ConfigID)
	}
	return AppendRequest(b, id, t.Class, t.Body, fields...)
}
