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

// Most is the number of requests that a balancer has open on a connection.
const Most = 32

// Conn is a balancer's end of a connection: it carries many requests at a time, with ids that rise.
type Conn struct {
	conn    net.Conn
	longest int // bytes of a result
	writing sync.Mutex

	mu     sync.Mutex
	next   uint64
	open   map[uint64]chan Reply
	called bool // told to bring no more
	broken bool
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
func NewConn(conn net.Conn) *Conn { return newConn(conn, longestResult) }

func newConn(conn net.Conn, longest int) *Conn {
	c := &Conn{conn: conn, longest: longest, open: map[uint64]chan Reply{}}
	go c.read()
	return c
}

// Close ends the connection; what is open on it gets no reply.
func (c *Conn) Close() { c.conn.Close() }

// Room reports whether the connection takes one more request, and whether it will ever take any.
func (c *Conn) Room() (room, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable = !c.broken && !c.called
	return usable && len(c.open) < Most, usable
}

func (c *Conn) read() {
	r := bufio.NewReader(c.conn)
	for {
		a, err := readReply(r, c.longest)
		c.mu.Lock()
		if err != nil {
			c.broken = true
			for id, reply := range c.open {
				delete(c.open, id)
				close(reply)
			}
			c.mu.Unlock()
			c.conn.Close()
			return
		}
		if a.Notification != "" {
			c.called = c.called || a.Notification == lastCall || a.Untaken()
			for id, reply := range c.open {
				if a.Untaken() && id > a.ID {
					delete(c.open, id)
					reply <- Reply{ID: id, Notification: lastTaken} // it has room for one
				}
			}
			last := c.called && len(c.open) == 0
			c.mu.Unlock()
			if last {
				c.conn.Close()
			}
			continue
		}
		reply := c.open[a.ID]
		delete(c.open, a.ID)
		last := c.called && len(c.open) == 0
		c.mu.Unlock()
		if reply != nil {
			reply <- a
		}
		if last { // everything on it has been answered
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
	if c.called || len(c.open) >= Most {
		c.mu.Unlock()
		return 0, nil, ErrFull
	}
	c.next++
	id = c.next
	c.open[id] = ch
	c.mu.Unlock()
	if err = c.write(message(id)); err != nil {
		c.conn.Close() // the reader closes what else is open
		return id, nil, fmt.Errorf("writing: %w", err)
	}
	return id, ch, nil
}

// GiveUp tells that nobody waits for a request any more; its reply is dropped.
func (c *Conn) GiveUp(id uint64) {
	c.mu.Lock()
	open := c.open[id] != nil && !c.broken
	delete(c.open, id)
	c.mu.Unlock()
	if open {
		c.writing.Lock()
		defer c.writing.Unlock()
		c.write(AppendGiveUp(nil, id)) // where it fails the reader ends
	}
}

// write writes a message whole, under the writing lock.
func (c *Conn) write(b []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b)
	return err
}

// Try is a request as a balancer sends it.
type Try struct {
	ID, Class, Tenant, Key string
	Reached                time.Time
	Wait                   time.Duration
	HeldKB, Rank           float64
	Caller                 int
	Body                   []byte
	Known                  bool   // only where the key is known
	Boot                   int64  // the start of the service that is meant; 0: any
	Rules                  string // the document by which it goes there; empty: none is named
}

// Append appends the try as a message.
func (t Try) Append(b []byte, id uint64) []byte {
	fields := append(make([]string, 0, 22), "i", t.ID, "s", strconv.FormatInt(t.Reached.UnixMilli(), 10),
		"f", strconv.Itoa(t.Caller), "d", strconv.FormatInt(t.Wait.Milliseconds(), 10),
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
	if t.Known {
		fields = append(fields, "n", "1")
	}
	if t.Boot != 0 {
		fields = append(fields, "b", strconv.FormatInt(t.Boot, 10))
	}
	if t.Rules != "" {
		fields = append(fields, "g", t.Rules)
	}
	return AppendRequest(b, id, t.Class, t.Body, fields...)
}
