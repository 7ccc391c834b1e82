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

// Conn is the balancer's end of a connection. It carries up to MaxInFlight requests at a time, with increasing message ids.
type Conn struct {
	conn      net.Conn
	maxResult int        // largest result, in bytes
	writing   sync.Mutex // held for each write; serializes messages

	mu       sync.Mutex
	lastID   uint64                // message id of the last request sent
	pending  map[uint64]chan Reply // requests in flight by message id; each channel buffers one reply
	draining bool                  // the server asked for no more requests
	broken   bool                  // a read failed: nothing more is sent
}

// errBroken is returned by Send after reading from the connection has failed.
var errBroken = errors.New("connection is broken")

// ErrFull is returned by Send if the connection has MaxInFlight requests in flight, or if the server asked for no more requests on it.
// The request can be sent on another connection.
var ErrFull = errors.New("connection accepts no more requests")

// Dial opens a connection to a server's MessagePack-RPC front. The caller must close it.
func Dial(ctx context.Context, addr string) (*Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("failed to connect: %w", err)
	}
	return NewConn(conn), nil
}

// NewConn returns a Conn on an open connection and starts a goroutine that reads replies until the connection ends.
func NewConn(conn net.Conn) *Conn { return newConn(conn, maxResultBytes) }

// newConn is NewConn for results of at most maxResult bytes.
func newConn(conn net.Conn, maxResult int) *Conn {
	c := &Conn{conn: conn, maxResult: maxResult, pending: map[uint64]chan Reply{}}
	go c.read()
	return c
}

// Close closes the connection. Requests in flight get no reply.
func (c *Conn) Close() { c.conn.Close() }

// Capacity reports whether the connection can take another request now, and whether it is usable: neither broken nor draining.
func (c *Conn) Capacity() (hasCapacity, usable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	usable = !c.broken && !c.draining
	return usable && len(c.pending) < MaxInFlight, usable
}

// read delivers replies until the connection ends. It then closes the channels of the requests still in flight.
func (c *Conn) read() {
	r := bufio.NewReader(c.conn)
	for {
		a, err := readReply(r, c.maxResult)
		if err != nil {
			c.fail()
			return
		}
		if a.Notification != "" {
			c.handleNotification(a)
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
		if done { // all requests on the connection are answered
			c.conn.Close()
		}
	}
}

// fail closes the connection and the channel of every request in flight, and has Send return errBroken.
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

// handleNotification handles a notification. After methodDrain or methodLastTaken nothing more is sent. After methodLastTaken, requests
// with a higher id than the notification's get a reply that is Unprocessed.
func (c *Conn) handleNotification(a Reply) {
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

// Send calls message with the next id and writes the message that it returns. The channel receives the reply. If the connection ends
// first, the channel is closed without a reply, and the request may have run. After an error, such as ErrFull, the message was not
// written completely, and the request has not run.
func (c *Conn) Send(message func(id uint64) []byte) (id uint64, reply <-chan Reply, err error) {
	ch := make(chan Reply, 1)
	c.writing.Lock() // keeps the ids increasing on the wire
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
		c.conn.Close() // the reading goroutine then closes the channels of all requests
		return id, nil, fmt.Errorf("failed to write message: %w", err)
	}
	return id, ch, nil
}

// Cancel notifies the server that the caller no longer waits for a request, and discards its reply.
func (c *Conn) Cancel(id uint64) {
	c.mu.Lock()
	pending := c.pending[id] != nil && !c.broken
	delete(c.pending, id)
	c.mu.Unlock()
	if pending {
		c.writing.Lock()
		defer c.writing.Unlock()
		_ = c.write(AppendCancel(nil, id)) // a failed write breaks the connection, which the reading goroutine detects
	}
}

// write writes a complete message. It is called with the writing lock held.
func (c *Conn) write(b []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(b)
	return err
}

// Attempt is one attempt of a request, as a balancer or router sends it.
type Attempt struct {
	ID, Class, Tenant string
	Key               string        // idempotency key; empty: none
	ReceivedAt        time.Time     // when the balancer received the request from its caller
	Timeout           time.Duration // how long the caller waits, counted from ReceivedAt
	MemoryKB          float64       // memory that the server reserves for the attempt
	Rank              float64       // rank among requests of its class, at least 0 and below 1
	Caller            int           // number of the caller
	Body              []byte
	KnownOnly         bool   // answer only from a recorded result; run nothing
	Incarnation       int64  // incarnation of the server that the attempt is meant for, see FieldIncarnation; 0: any
	ConfigID          string // configuration document that the attempt was routed by, see FieldConfigID; empty: none
}

// maxAttemptFields is the number of field names and values of an attempt with all fields set.
const maxAttemptFields = 22

// Append encodes the attempt as a request with this message id.
func (a Attempt) Append(b []byte, id uint64) []byte {
	fields := append(make([]string, 0, maxAttemptFields), fieldID, a.ID, fieldReceivedAt, strconv.FormatInt(a.ReceivedAt.UnixMilli(), 10),
		fieldCaller, strconv.Itoa(a.Caller), fieldTimeout, strconv.FormatInt(a.Timeout.Milliseconds(), 10),
		fieldMemory, strconv.FormatFloat(a.MemoryKB, 'f', 2, 64))
	if a.Tenant != "" {
		fields = append(fields, fieldTenant, a.Tenant)
	}
	if a.Rank > 0 {
		fields = append(fields, fieldRank, strconv.FormatFloat(a.Rank, 'f', 4, 64))
	}
	if a.Key != "" {
		fields = append(fields, fieldKey, a.Key)
	}
	if a.KnownOnly {
		fields = append(fields, fieldKnownOnly, FlagSet)
	}
	if a.Incarnation != 0 {
		fields = append(fields, FieldIncarnation, strconv.FormatInt(a.Incarnation, 10))
	}
	if a.ConfigID != "" {
		fields = append(fields, FieldConfigID, a.ConfigID)
	}
	return AppendRequest(b, id, a.Class, a.Body, fields...)
}
