package scgi

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"sync"
	"syscall"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/metrics"
	"silverpath/internal/transport/bufferpool"
)

const (
	// maxResultBytes bounds the result of a run. The MessagePack-RPC front has the same bound.
	maxResultBytes = 64 << 10
	// dialTimeout bounds connecting to the application server. It is short because the server is nearby and a refused connection,
	// unlike a timeout, proves that nothing ran.
	dialTimeout = time.Second
)

// Events receives the events of an Upstream. The core implements it.
type Events interface {
	RunnerReady()
	RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte)
	// Gauges reports the readings that Probe requested.
	Gauges(g silverpath.Gauges)
}

// Upstream is a core.Runner that executes runs on an SCGI application server, with one connection for each run. Such a server does not
// report its load, so Upstream estimates the gauges from the number of runs in progress and the configured number of cores.
type Upstream struct {
	addr        string
	cores       int
	timeout     time.Duration
	events      Events
	log         *log.Logger
	stats       *metrics.Counters
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	connections chan struct{} // semaphore: one token for each connection in use

	mu      sync.Mutex
	running int
}

var _ core.Runner = (*Upstream)(nil)

// NewUpstream returns a runner that uses the application server at addr over at most maxConns connections. A run without a complete
// response after the timeout fails.
func NewUpstream(addr string, cores, maxConns int, timeout time.Duration, events Events, l *log.Logger, s *metrics.Counters) *Upstream {
	return &Upstream{
		addr: addr, cores: max(1, cores), timeout: timeout, events: events, log: l, stats: s,
		dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, connections: make(chan struct{}, max(1, maxConns)),
	}
}

// ReportUp reports to the core that runs can be started. It returns at once, because there is no link to establish first.
func (u *Upstream) ReportUp(context.Context) { u.events.RunnerReady() }

// Run starts a run of a request and returns at once. Events.RunEnded reports the end of the run.
func (u *Upstream) Run(id, class string, body []byte) {
	u.mu.Lock()
	u.running++
	u.mu.Unlock()
	go func() {
		startedAt := time.Now()
		outcome, result := u.run(id, class, body)
		u.mu.Lock()
		u.running--
		u.mu.Unlock()
		u.events.RunEnded(id, outcome, time.Since(startedAt), result)
	}()
}

// Resume is never called, because the runs of an application server make no calls to a lower tier through the core.
func (u *Upstream) Resume(string, []byte) {}

// Probe reports the gauges with Events.Gauges.
func (u *Upstream) Probe() {
	u.mu.Lock()
	n := float64(u.running)
	u.mu.Unlock()
	u.events.Gauges(silverpath.Gauges{CPU: min(1, n/float64(u.cores)), RunnableTasks: n, Connections: n})
}

// run sends one request to the application server and returns its outcome and result. The outcome NotStarted proves that nothing ran,
// so a later attempt may run. After any other failure the effect may have taken place.
func (u *Upstream) run(id, class string, body []byte) (silverpath.Outcome, []byte) {
	u.connections <- struct{}{}
	defer func() { <-u.connections }()
	ctx, cancel := context.WithTimeout(context.Background(), u.timeout)
	defer cancel()
	conn, err := u.dial(ctx, "tcp", u.addr)
	if err != nil {
		u.stats.Inc("upstream", "unreachable")
		events.Log(u.log, "upstream.unreachable", err)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return silverpath.NotStarted, nil // a refused connection proves that nothing ran
		}
		return silverpath.Failed, nil
	}
	defer conn.Close()
	a, err := u.exchange(conn, id, class, body)
	switch {
	case err != nil:
		// A broken connection does not prove that nothing ran: the effect may have taken place.
		u.stats.Inc("upstream", "broken")
		events.Log(u.log, "upstream.broken", id, err)
		return silverpath.Failed, nil
	case a.status/100 != 2:
		u.stats.Inc("upstream", fmt.Sprintf("status_%d", a.status))
		return silverpath.Failed, nil
	}
	return silverpath.OK, a.body
}

// exchange writes the request of a run and reads the response, within the timeout.
func (u *Upstream) exchange(conn net.Conn, id, class string, body []byte) (response, error) {
	conn.SetDeadline(time.Now().Add(u.timeout))
	b := bufferpool.Get()
	defer bufferpool.Put(b)
	*b = appendMessage(*b, body, "REQUEST_METHOD", "POST", "REQUEST_URI", "/"+class, "PATH_INFO", "/"+class,
		"SCRIPT_NAME", "", "HTTP_X_REQUEST_CLASS", class, "HTTP_X_REQUEST_ID", id)
	if _, err := conn.Write(*b); err != nil {
		return response{}, fmt.Errorf("writing the request: %w", err)
	}
	r := bufferpool.GetReader(conn)
	defer bufferpool.PutReader(r)
	return readResponse(r, maxResultBytes)
}
