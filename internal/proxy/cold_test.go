package proxy

import (
	"context"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"silverpath"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/slowstart"
	"silverpath/internal/transport/listener"
	"silverpath/internal/transport/msgpackrpc"
)

// countingRunner is a runner whose runs take 20 ms each and are counted.
type countingRunner struct {
	*core.Core
	mu   sync.Mutex
	runs int
}

func (w *countingRunner) Run(id, _ string, body []byte) {
	w.mu.Lock()
	w.runs++
	w.mu.Unlock()
	time.AfterFunc(20*time.Millisecond, func() { w.RunEnded(id, silverpath.OK, 20*time.Millisecond, body) })
}
func (w *countingRunner) Resume(string, []byte) {}
func (w *countingRunner) Probe()                { w.Gauges(silverpath.Gauges{}) }

// Twenty routers each have far more keyed requests and reads to send than a warming server has capacity for. The server's slow start must
// keep the requests in flight from all routers together within its capacity, without stopping them. The case without a slow start shows
// that the load is high enough to exceed it: each router alone would send as much as it has.
func TestTwentyRoutersAndAWarmingServer(t *testing.T) {
	for _, cold := range []bool{true, false} {
		t.Run(fmt.Sprint("cold ", cold), func(t *testing.T) {
			quiet, counters := log.New(io.Discard, "", 0), &metrics.Counters{}
			settings := silverpath.Settings{Cores: 2, MemoryKB: 1e6, MaxRunsPerCore: 8, RunsWindow: time.Second, RetryAfter: true, MaxRetryAfter: time.Second,
				ColdSpeed: 0.25, WarmupTime: time.Hour, Callers: 20, Classes: classes, Cold: true}
			capacity, _ := slowstart.Capacity(settings, 0)
			c, err := core.New(core.Config{MemoryMB: 256, Log: quiet, Stats: counters, Cell: true, Settings: settings})
			if err != nil {
				t.Fatal(err)
			}
			w := &countingRunner{Core: c}
			if err := c.Attach(w, nil); err != nil {
				t.Fatal(err)
			}
			c.Started(cold, 0)
			c.RunnerReady()
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := listener.New("s", ln, 1000, c.IdleAfter, msgpackrpc.New(c, quiet, counters).Serve, quiet, counters)
			go l.Serve()
			ctx, cancel := context.WithCancel(t.Context())
			var senders, maintainers sync.WaitGroup
			for n := range 20 {
				events := &fakeCore{answers: map[string]core.Answer{}}
				r, err := New(Config{Name: fmt.Sprint("r", n), Cores: 64, HealthCheckInterval: 50 * time.Millisecond, MaxConnections: 100, Source: fixedMap{&cells.Map{
					Version: 1, KeyWindow: 10 * time.Second, Lease: time.Hour, CallerTimeout: 4 * time.Second, Cells: []cells.Cell{{Name: "a"}},
					Servers: []cells.Server{{Name: "s", Addr: ln.Addr().String(), Cell: "a", Weight: 1, JoinsAt: time.Now().UnixMilli()}},
					Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}},
				}}}, events, quiet, &metrics.Counters{})
				if err != nil {
					t.Fatal(err)
				}
				maintainers.Go(func() { r.Maintain(ctx) })
				for k := range 10 { // concurrent requests of each router
					senders.Go(func() {
						for i := 0; ctx.Err() == nil; i++ {
							req := core.Request{ID: fmt.Sprintf("%d-%d-%d", n, k, i), Class: "read", ReceivedAt: time.Now(), Deadline: time.Now().Add(4 * time.Second), MemoryKB: 1}
							if k%2 == 0 {
								req.Class, req.Key = "sheet", req.ID
							}
							class, _ := events.Class(req.Class)
							r.route(req, class)
							time.Sleep(time.Millisecond)
						}
					})
				}
			}
			maxPending, limit := 0, capacity+2*math.Sqrt(capacity)+2
			for deadline := time.Now().Add(3 * time.Minute); ; time.Sleep(100 * time.Microsecond) {
				maxPending = max(maxPending, c.PendingAnswers()) // requests that were received and not answered yet
				w.mu.Lock()
				runs := w.runs
				w.mu.Unlock()
				if runs >= 150 && (cold || float64(maxPending) > limit) {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("only %d runs within 3 minutes", runs)
				}
			}
			cancel()
			senders.Wait()
			maintainers.Wait()
			l.Close()
			c.Stop()
			t.Logf("most requests in flight: %d; capacity %.1f, with tolerance %.1f", maxPending, capacity, limit)
			if exceeded := float64(maxPending) > limit; exceeded == cold {
				t.Errorf("%d requests in flight with a slow start: %v", maxPending, cold)
			}
		})
	}
}
