// Package client is a client of either front, for the command line: it sends requests, or one status request, and says what came of
// them.
package client

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silverpath/internal/transport/msgpackrpc"
	"silverpath/internal/transport/scgi"
)

// The fronts, by their names on the command line (--front).
const (
	Platform = msgpackrpc.Name
	SCGI     = scgi.Name
)

// Request is what is sent. All attempts with the same idempotency key are one request.
type Request struct {
	Class, Tenant, Key string
	Body               []byte
	Timeout            time.Duration // how long the caller waits
	ID                 string        // 16 hexadecimal digits; empty: a new one. SCGI has the service make them
	MemoryKB           float64       // memory to book; 0: 1
}

// Reply is the answer, whichever front it came from.
type Reply struct {
	Outcome    string // served, refused or failed
	Body       []byte
	RetryAfter time.Duration // refused: when to come back
}

// dialTimeout is how long a connection may take, and how much longer than its request an answer is waited for.
const dialTimeout = 2 * time.Second

// newID returns 16 random hexadecimal digits.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Conn is a connection to the MessagePack-RPC front that carries many requests at a time.
type Conn struct{ *msgpackrpc.Conn }

// Dial opens a connection to the MessagePack-RPC front. Its owner closes it.
func Dial(addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := msgpackrpc.Dial(ctx, addr)
	return &Conn{c}, err
}

// dialLong is Dial for answers as long as a call's: the status of a router has a line for each server.
func dialLong(addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := msgpackrpc.DialCalls(ctx, addr)
	return &Conn{c}, err
}

// send writes one message made for the next id. The channel gets the reply, or is closed without one.
func (c *Conn) send(message func(id uint64) []byte) <-chan Reply {
	out := make(chan Reply, 1)
	_, in, err := c.Send(message)
	if err != nil {
		close(out)
		return out
	}
	go func() {
		defer close(out)
		a, ok := <-in
		if !ok {
			return
		}
		switch a.Error {
		case "":
			out <- Reply{Outcome: "served", Body: a.Body}
		case msgpackrpc.ErrorFull:
			ms, _ := strconv.Atoi(a.Fields[msgpackrpc.FieldRetryAfter])
			out <- Reply{Outcome: "refused", RetryAfter: time.Duration(ms) * time.Millisecond}
		default:
			out <- Reply{Outcome: "failed"}
		}
	}()
	return out
}

// Do sends a request. The channel gets the reply, or is closed without one.
func (c *Conn) Do(q Request) <-chan Reply {
	t := msgpackrpc.Attempt{ID: q.ID, Class: q.Class, Tenant: q.Tenant, Key: q.Key, ReceivedAt: time.Now(), Timeout: q.Timeout,
		MemoryKB: q.MemoryKB, Body: q.Body}
	if t.ID == "" {
		t.ID = newID()
	}
	if t.MemoryKB == 0 {
		t.MemoryKB = 1
	}
	return c.send(func(id uint64) []byte { return t.Append(nil, id) })
}

// Probe sends a health check; a healthy service's reply is served. Measurements call it.
func (c *Conn) Probe() <-chan Reply {
	return c.send(func(id uint64) []byte { return msgpackrpc.AppendProbe(nil, id) })
}

// Status asks for the state of the service, as JSON in the body.
func (c *Conn) Status() <-chan Reply {
	return c.send(func(id uint64) []byte { return msgpackrpc.AppendStatus(nil, id) })
}

// doSCGI sends one request on a connection of its own, as SCGI has it.
func doSCGI(addr string, body []byte, wait time.Duration, headers ...string) (Reply, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return Reply{}, fmt.Errorf("connecting: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(wait + dialTimeout))
	if _, err := conn.Write(scgi.AppendRequest(nil, body, headers...)); err != nil {
		return Reply{}, fmt.Errorf("asking: %w", err)
	}
	a, err := scgi.ReadReply(bufio.NewReader(conn))
	if err != nil {
		return Reply{}, err
	}
	switch a.Status {
	case 200:
		return Reply{Outcome: "served", Body: a.Body}, nil
	case 503:
		return Reply{Outcome: "refused", RetryAfter: a.RetryAfter}, nil
	}
	return Reply{Outcome: "failed", Body: a.Body}, nil
}

// headers are the SCGI headers of a request.
func headers(q Request) []string {
	h := []string{"REQUEST_METHOD", "POST", "PATH_INFO", "/" + q.Class,
		"HTTP_X_TIMEOUT_MS", strconv.FormatInt(q.Timeout.Milliseconds(), 10)}
	if q.Tenant != "" {
		h = append(h, "HTTP_X_TENANT", q.Tenant)
	}
	if q.Key != "" {
		h = append(h, "HTTP_IDEMPOTENCY_KEY", q.Key)
	}
	return h
}

// errNoAnswer is of a request that may have run.
var errNoAnswer = errors.New("the connection ended without an answer")

// Do sends one request to a front on a connection of its own, and waits for the reply. An error says that none came.
func Do(front, addr string, q Request) (Reply, error) {
	if front == SCGI {
		return doSCGI(addr, q.Body, q.Timeout, headers(q)...)
	}
	return doOn(Dial, addr, q.Timeout, func(c *Conn) <-chan Reply { return c.Do(q) })
}

// doOn does so by way of send, on a connection that dial opens.
func doOn(dial func(string) (*Conn, error), addr string, timeout time.Duration, send func(*Conn) <-chan Reply) (Reply, error) {
	c, err := dial(addr)
	if err != nil {
		return Reply{}, err
	}
	defer c.Close()
	select {
	case a, ok := <-send(c):
		if !ok {
			return a, errNoAnswer
		}
		return a, nil
	case <-time.After(timeout + dialTimeout):
		return Reply{}, fmt.Errorf("no answer within %v", timeout+dialTimeout)
	}
}

// Status asks a front for the state of the service, as JSON. An error says also that the service gives none.
func Status(front, addr string) ([]byte, error) {
	var a Reply
	var err error
	if front == SCGI {
		a, err = doSCGI(addr, nil, dialTimeout, "REQUEST_METHOD", "GET", "PATH_INFO", "/"+msgpackrpc.StatusMethod)
	} else {
		a, err = doOn(dialLong, addr, dialTimeout, (*Conn).Status)
	}
	switch {
	case err != nil:
		return nil, err
	case a.Outcome != "served":
		return nil, errors.New("the service gives no status: see \"status\" in its edge file")
	}
	return a.Body, nil
}

// Plan is what Run sends: Count requests, one every Interval by the clock, whatever becomes of those before.
type Plan struct {
	Front, Addr string
	Request     Request
	Count       int
	Interval    time.Duration // 0: each after the answer of the one before
}

// Run sends what is planned, prints every answer and a summary, and reports how many were served. The times count
// from the moment at which a request was to be sent, so that a stall is seen by all that it holds up.
func Run(p Plan, out io.Writer) (served int, err error) {
	type result struct {
		n    int
		took time.Duration
		a    Reply
		err  error
	}
	results := make(chan result)
	startedAt := time.Now()
	go func() {
		var wg sync.WaitGroup
		for n := range p.Count {
			due := time.Now()
			if p.Interval > 0 {
				due = startedAt.Add(time.Duration(n) * p.Interval)
				time.Sleep(time.Until(due))
			}
			send := func() {
				a, err := Do(p.Front, p.Addr, p.Request)
				results <- result{n + 1, time.Since(due), a, err}
			}
			if p.Interval <= 0 {
				send()
				continue
			}
			wg.Go(send)
		}
		wg.Wait()
		close(results)
	}()
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	outcomes := map[string]int{}
	for r := range results {
		what := r.a.Outcome
		switch {
		case r.err != nil:
			what, err = "no answer", r.err
			fmt.Fprintf(out, "%d: no answer after %v: %v\n", r.n, r.took.Round(time.Microsecond), r.err)
		case what == "refused":
			fmt.Fprintf(out, "%d: refused after %v, come back in %v\n", r.n, r.took.Round(time.Microsecond), r.a.RetryAfter)
		default:
			fmt.Fprintf(out, "%d: %s after %v: %s\n", r.n, what, r.took.Round(time.Microsecond), r.a.Body)
		}
		outcomes[what]++
		_ = h.RecordValue(r.took.Microseconds())
	}
	quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	fmt.Fprintf(out, "%d asked: %d served, %d refused, %d failed, %d without an answer; p50 %v, p99 %v, longest %v\n",
		p.Count, outcomes["served"], outcomes["refused"], outcomes["failed"], outcomes["no answer"],
		quantile(50), quantile(99), time.Duration(h.Max())*time.Microsecond)
	return outcomes["served"], err
}
