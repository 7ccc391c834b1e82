// Package loadreport reports this process and its health to the announce service. Each report is one UDP datagram.
package loadreport

import (
	"context"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"silverpath/internal/events"
)

// Interval is the time between two reports. The announce service expires an entry 3 s after the last report that arrived, and datagrams
// may be lost. If one report in four is lost, all 14 reports of a 3 s period are lost in about one of 10^8 periods.
const Interval = 200 * time.Millisecond

// Reporter sends the reports of one process.
type Reporter struct {
	name    string
	healthy func() bool
	log     *log.Logger
	dial    func(network, addr string) (net.Conn, error)

	mu         sync.Mutex
	addr       string
	silenced   bool
	redirected chan struct{}
}

// New returns a Reporter for the named service. It calls healthy for each report. With an empty address it sends nothing until Redirect
// sets one.
func New(addr, name string, healthy func() bool, l *log.Logger) *Reporter {
	return &Reporter{name: name, healthy: healthy, log: l, dial: net.Dial, addr: addr, redirected: make(chan struct{}, 1)}
}

// Redirect changes the destination of the reports and sends the next one at once. An empty address suspends them.
func (r *Reporter) Redirect(addr string) {
	r.mu.Lock()
	r.addr = addr
	r.mu.Unlock()
	select {
	case r.redirected <- struct{}{}:
	default:
	}
}

// Stop stops the reports permanently. It is called when another process of the same name takes over reporting.
func (r *Reporter) Stop() {
	r.mu.Lock()
	r.silenced = true
	r.mu.Unlock()
}

// failureLogInterval is the minimum time between two log lines about a failure to open the socket.
const failureLogInterval = 10 * time.Second

// Run sends reports until the context ends. It is called once. A report that cannot be sent is dropped, since the next one follows soon
// and the announce service may be down. If no socket can be opened, for lack of a descriptor or a route, Run tries again with the next
// report: without the retry the service would stay unlisted permanently.
func (r *Reporter) Run(ctx context.Context) {
	tick := time.NewTicker(Interval)
	defer tick.Stop()
	var conn net.Conn
	var failureLoggedAt time.Time
	current := ""
	for {
		r.mu.Lock()
		addr, silenced := r.addr, r.silenced
		r.mu.Unlock()
		if addr != current && conn != nil {
			conn.Close()
			conn = nil
		}
		current = addr
		if conn == nil && addr != "" {
			var err error
			if conn, err = r.dial("udp", addr); err != nil {
				conn = nil
				if time.Since(failureLoggedAt) >= failureLogInterval {
					failureLoggedAt = time.Now()
					events.Log(r.log, "loadreport.failed", err)
				}
			}
		}
		if conn != nil && !silenced {
			_, _ = conn.Write(report(r.name, r.healthy()))
		}
		select {
		case <-ctx.Done():
			if conn != nil {
				conn.Close()
			}
			return
		case <-r.redirected:
		case <-tick.C:
		}
	}
}

// report returns the payload of one report.
func report(name string, healthy bool) []byte {
	return fmt.Appendf(nil, "announce %s %t", name, healthy)
}
