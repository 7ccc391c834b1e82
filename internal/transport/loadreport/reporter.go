// Package loadreport tells the announce service that this process is there and whether it is healthy, in one UDP datagram a report.
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

// Interval is the time between two reports. An entry of the announce service lapses 3 s after the last report that arrived, and a good
// part of them may be lost on the way: with one in four lost, all of the 14 that make up such a stretch are lost about once in 10^8
// stretches.
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

// New returns a Reporter for the service of a name, whose health is asked for with each report. An empty address is none.
func New(addr, name string, healthy func() bool, l *log.Logger) *Reporter {
	return &Reporter{name: name, healthy: healthy, log: l, dial: net.Dial, addr: addr, redirected: make(chan struct{}, 1)}
}

// Redirect sends the reports to another address from now on, the next one at once; an empty one ends them.
func (r *Reporter) Redirect(addr string) {
	r.mu.Lock()
	r.addr = addr
	r.mu.Unlock()
	select {
	case r.redirected <- struct{}{}:
	default:
	}
}

// Silence ends the reports for good: another process of the same name reports from now on.
func (r *Reporter) Silence() {
	r.mu.Lock()
	r.silenced = true
	r.mu.Unlock()
}

// failureLogInterval is the least time between two log lines that no report can be sent.
const failureLogInterval = 10 * time.Second

// Run reports until the context ends; it is called once. A report that can't be sent is dropped: the next one comes soon, and the
// announce service may be down. Where there is no socket to send by, as no descriptor or no route is left, the next report tries again
// to have one: a service that gave up here would stay unknown for good.
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

// report is the text of a report.
func report(name string, healthy bool) []byte {
	return fmt.Appendf(nil, "announce %s %t", name, healthy)
}
