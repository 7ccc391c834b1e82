// Package client is a command-line client for both fronts. It sends requests or a status request, and reports the outcome.
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

// Names of the fronts on the command line (--front).
const (
	MessagePack = msgpackrpc.Name
	SCGI        = scgi.Name
)

// Request is a request to send. Requests with the same idempotency key are attempts of one request.
type Request struct {
	Class, Tenant, Key string
	Body               []byte
	Timeout            time.Duration // how long the caller waits
	ID                 string        // 16 hexadecimal digits; empty: a random id; SCGI: unused, the service assigns one
	MemoryKB           float64       // memory to reserve; 0: 1 KB
}

// Reply is the answer to a request, from either front.
type Reply struct {
	Outcome    string // served, refused or failed
	Body       []byte
	RetryAfter time.Duration // refused: delay before a retry
}

// dialTimeout is the timeout for opening a connection. It is also added to a request's timeout when waiting for the answer.
const dialTimeout = 2 * time.Second

// newID returns 16 random hexadecimal digits.
func newID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Conn is a connection to the MessagePack-RPC front. It carries many requests at a time.
type Conn struct{ *msgpackrpc.Conn }

// Dial opens a connection to the MessagePack-RPC front. The caller must close it.
func Dial(addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := msgpackrpc.Dial(ctx, addr)
	return &Conn{c}, err
}

// dialLong is like Dial, but answers may have up to msgpackrpc.MaxCallBody bytes. The status of a router, with a line per server,
// may exceed the usual bound.
func dialLong(addr string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	c, err := msgpackrpc.DialCalls(ctx, addr)
	return &Conn{c}, err
}

// send sends the message that message returns for the next id. The channel receives the reply, or is closed without one if the message
// could not be sent or the connection ended.
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

// Do sends a request. The channel receives the reply, or is closed without one if the request could not be sent or the connection ended.
func (c *Conn) Do(q Request) <-chan Reply {
	attempt := msgpackrpc.Attempt{ID: q.ID, Class: q.Class, Tenant: q.Tenant, Key: q.Key, ReceivedAt: time.Now(), Timeout: q.Timeout,
		MemoryKB: q.MemoryKB, Body: q.Body}
	if attempt.ID == "" {
		attempt.ID = newID()
	}
	if attempt.MemoryKB == 0 {
		attempt.MemoryKB = 1
	}
	return c.send(func(id uint64) []byte { return attempt.Append(nil, id) })
}

// Probe sends a health check. The reply of a healthy service has the outcome "served". Measurements use it.
func (c *Conn) Probe() <-chan Reply {
	return c.send(func(id uint64) []byte { return msgpackrpc.AppendProbe(nil, id) })
}

// Status requests the state of the service. The body of the reply is JSON.
func (c *Conn) Status() <-chan Reply {
	return c.send(func(id uint64) []byte { return msgpackrpc.AppendStatus(nil, id) })
}

// doSCGI sends one request on a new connection and reads the answer. SCGI has one request per connection.
func doSCGI(addr string, body []byte, timeout time.Duration, headers ...string) (Reply, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return Reply{}, fmt.Errorf("failed to connect: %w", err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(timeout + dialTimeout))
	if _, err := conn.Write(scgi.AppendRequest(nil, body, headers...)); err != nil {
		return Reply{}, fmt.Errorf("failed to write request: %w", err)
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

// headers returns the SCGI headers of a request as alternating names and values.
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

// errNoAnswer is returned if the connection ended without an answer. The request may have run.
var errNoAnswer = errors.New("connection closed without an answer")

// Do sends one request to a front on a new connection and waits for the reply. It returns an error if no reply arrived.
func Do(front, addr string, q Request) (Reply, error) {
	if front == SCGI {
		return doSCGI(addr, q.Body, q.Timeout, headers(q)...)
	}
	return doOn(Dial, addr, q.Timeout, func(c *Conn) <-chan Reply { return c.Do(q) })
}

// doOn opens a connection with dial, sends a request on it with send, and waits for the reply until timeout plus dialTimeout.
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

// Status requests the state of the service as JSON from a front. It also returns an error if the service does not serve its status.
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
		return nil, errors.New("service does not serve its status: see \"status\" in its edge file")
	}
	return a.Body, nil
}

// Plan describes the requests that Run sends: Count requests, one per Interval, on a schedule that does not wait for earlier answers.
type Plan struct {
	Front, Addr string
	Request     Request
	Count       int
	Interval    time.Duration // 0: send each request after the previous answer
}

// Run sends the requests of a plan, prints every answer and a summary to out, and returns how many were served. If requests got no
// answer, it returns the error of one of them. Latencies count from when a request was due, so that a stall shows in the latency of every
// request that it delayed.
func Run(p Plan, out io.Writer) (served int, err error) {
	type result struct {
		n       int
		latency time.Duration
		reply   Reply
		err     error
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
		outcome := r.reply.Outcome
		switch {
		case r.err != nil:
			outcome, err = "no answer", r.err
			fmt.Fprintf(out, "%d: no answer after %v: %v\n", r.n, r.latency.Round(time.Microsecond), r.err)
		case outcome == "refused":
			fmt.Fprintf(out, "%d: refused after %v, retry after %v\n", r.n, r.latency.Round(time.Microsecond), r.reply.RetryAfter)
		default:
			fmt.Fprintf(out, "%d: %s after %v: %s\n", r.n, outcome, r.latency.Round(time.Microsecond), r.reply.Body)
		}
		outcomes[outcome]++
		_ = h.RecordValue(r.latency.Microseconds())
	}
	quantile := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	fmt.Fprintf(out, "%d asked: %d served, %d refused, %d failed, %d without an answer; p50 %v, p99 %v, longest %v\n",
		p.Count, outcomes["served"], outcomes["refused"], outcomes["failed"], outcomes["no answer"],
		quantile(50), quantile(99), time.Duration(h.Max())*time.Microsecond)
	return outcomes["served"], err
}
