// Package announce tells the announce service that this one is there, in one UDP datagram a report.
package announce

import (
	"context"
	"fmt"
	"net"
	"time"
)

// Every is the time between reports: three may be lost before the entry lapses.
const Every = 700 * time.Millisecond

// Keep reports under the given name until the context ends. A report that can't be sent is let go: the next
// one comes soon, and the announce service may be down.
func Keep(ctx context.Context, addr, name string, good func() bool) error {
	conn, err := net.Dial("udp", addr)
	if err != nil {
		return fmt.Errorf("announce: %w", err)
	}
	defer conn.Close()
	tick := time.NewTicker(Every)
	defer tick.Stop()
	for {
		conn.Write(report(name, good()))
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func report(name string, good bool) []byte { return fmt.Appendf(nil, "announce %s %t", name, good) }
