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
	// maxResult bounds a result, in bytes, as on the MessagePack-RPC front.
	maxResultBytes = 64 << 10
	// dialTimeout is how long an application server may take for a connection: it is next door, and a refused one proves more.
	dialTimeout = time.Second
)

// Events is what an Upstream reports runs to: the core.
type Events interface {
	RunnerReady()
	RunEnded(id string, o silverpath.Outcome, spent time.Duration, result []byte)
	// Gauges tells the readings that Probe asked for.
	Gauges(g silverpath.Gauges)
}

// Upstream is a core.Runner for sites whose work is done by an SCGI application server: one connection for each run. Such a server
// tells nothing of its cores, so that the gauges are what is seen from here: the runs under way, for each core of the settings.
type Upstream struct {
	addr        string
	cores       int
	timeout     time.Duration
	events      Events
	log         *log.Logger
	stats       *metrics.Counters
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	connections chan struct{} // has a token for each connection in use

	mu      sync.Mutex
	running int
}

var _ core.Runner = (*Upstream)(nil)

// NewUpstream returns a runner on the application server at addr, with at most the given number of connections.
// A run that has no answer after the timeout is taken to have failed.
func NewUpstream(addr string, cores, maxConns int, timeout time.Duration, events Events, l *log.Logger, s *metrics.Counters) *Upstream {
	return &Upstream{
		addr: addr, cores: max(1, cores), timeout: timeout, events: events, log: l, stats: s,
		dial: (&net.Dialer{Timeout: dialTimeout}).DialContext, connections: make(chan struct{}, max(1, maxConns)),
	}
}

// ReportUp tells the core that runs can be started: there is no link to wait for. It returns at once.
func (u *Upstream) ReportUp(context.Context) { u.events.RunnerReady() }

// Run starts a run of a request; Ended tells its end.
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

// Resume is never called: an application server's runs wait for no call below.
func (u *Upstream) Resume(string, []byte) {}

// Probe reports the gauges.
func (u *Upstream) Probe() {
	u.mu.Lock()
	n := float64(u.running)
	u.mu.Unlock()
	u.events.Gauges(silverpath.Gauges{CPU: min(1, n/float64(u.cores)), OnCores: n, Connections: n})
}

// run makes one request of the application server. Ignored says that nothing ran for certain, so that a later attempt may run; after
// any other failure the effect may have taken place.
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
			return silverpath.NotStarted, nil // proof that nothing ran
		}
		return silverpath.Failed, nil
	}
	defer conn.Close()
	a, err := u.exchange(conn, id, class, body)
	switch {
	case err != nil:
		// A connection that breaks proves nothing: the effect may have taken place.
		u.stats.Inc("upstream", "broken")
		events.Log(u.log, "upstream.broken", id, err)
		return silverpath.Failed, nil
	case a.status/100 != 2:
		u.stats.Inc("upstream", fmt.Sprintf("status_%d", a.status))
		return silverpath.Failed, nil
	}
	return silverpath.OK, a.body
}

// exchange writes the request of a run and reads the answer, within the timeout.
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
