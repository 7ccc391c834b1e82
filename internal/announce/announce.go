// Package announce tells the announce service that this one is there, in one UDP datagram a report.
package announce

import (
	"context"
	"fmt"
	"log"
	"net"
	"sync"
	"time"

	"silverpath/internal/events"
)

// Every is the time between reports. An entry lapses 3 s after the last report that arrived, and a good part of
// them may be lost on the way: with one in four lost, all of the 14 that make up such a stretch are lost about
// once in 10^8 stretches.
const Every = 200 * time.Millisecond

// Reporter sends the reports.
type Reporter struct {
	name string
	good func() bool
	log  *log.Logger

	mu    sync.Mutex
	addr  string
	quiet bool
	moved chan struct{}
}

// New returns a Reporter for the service of that name; good tells its health. An empty address is none.
func New(addr, name string, good func() bool, l *log.Logger) *Reporter {
	return &Reporter{name: name, good: good, log: l, addr: addr, moved: make(chan struct{}, 1)}
}

// Move sends the reports to another address from now on, the next one at once.
func (r *Reporter) Move(addr string) {
	r.mu.Lock()
	r.addr = addr
	r.mu.Unlock()
	select {
	case r.moved <- struct{}{}:
	default:
	}
}

// Quiet ends the reports: another process of the same name reports from now on.
func (r *Reporter) Quiet() {
	r.mu.Lock()
	r.quiet = true
	r.mu.Unlock()
}

// Keep reports until the context ends. A report that can't be sent is let go: the next one comes soon, and the
// announce service may be down.
func (r *Reporter) Keep(ctx context.Context) {
	tick := time.NewTicker(Every)
	defer tick.Stop()
	var conn net.Conn
	at := ""
	for {
		r.mu.Lock()
		addr, quiet := r.addr, r.quiet
		r.mu.Unlock()
		if addr != at {
			if conn != nil {
				conn.Close()
			}
			conn, at = r.dial(addr), addr
		}
		if conn != nil && !quiet {
			conn.Write(report(r.name, r.good()))
		}
		select {
		case <-ctx.Done():
			if conn != nil {
				conn.Close()
			}
			return
		case <-r.moved:
		case <-tick.C:
		}
	}
}

func (r *Reporter) dial(addr string) net.Conn {
	if addr == "" {
		return nil
	}
	conn, err := net.Dial("udp", addr)
	if err != nil {
		events.Say(r.log, "announce.failed", err)
		return nil
	}
	return conn
}

func report(name string, good bool) []byte { return fmt.Appendf(nil, "announce %s %t", name, good) }
