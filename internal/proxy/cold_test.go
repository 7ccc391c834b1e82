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

// counting is a worker whose runs take a while, and count.
type counting struct {
	*core.Core
	mu   sync.Mutex
	runs int
}

func (w *counting) Run(id, _ string, body []byte) {
	w.mu.Lock()
	w.runs++
	w.mu.Unlock()
	time.AfterFunc(20*time.Millisecond, func() { w.RunEnded(id, silverpath.OK, 20*time.Millisecond, body) })
}
func (w *counting) Resume(string, []byte) {}
func (w *counting) Probe()                { w.Gauges(silverpath.Gauges{}) }

// Twenty routers that each have far more to send than a cold server takes, keyed requests and reads, by sockets: what is in flight of all of
// them stays within what the server takes while it is cold, and they do send. With each router by itself, as before, it does not.
func TestTwentyRoutersAndAWarmingServer(t *testing.T) {
	for _, cold := range []bool{true, false} {
		t.Run(fmt.Sprint("cold ", cold), func(t *testing.T) {
			quiet, counters := log.New(io.Discard, "", 0), &metrics.Counters{}
			set := silverpath.Settings{Cores: 2, MemoryKB: 1e6, MaxRunsPerCore: 8, RunsWindow: time.Second, RetryAfter: true, MaxRetryAfter: time.Second,
				ColdSpeed: 0.25, WarmupTime: time.Hour, Callers: 20, Classes: classes, Cold: true}
			whole, _ := slowstart.Capacity(set, 0)
			c, err := core.New(core.Config{MemoryMB: 256, Log: quiet, Stats: counters, Cell: true, Settings: set})
			if err != nil {
				t.Fatal(err)
			}
			w := &counting{Core: c}
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
			var all, keeps sync.WaitGroup
			for n := range 20 {
				h := &router{ends: map[string]core.Answer{}}
				r, err := New(Config{Name: fmt.Sprint("r", n), Cores: 64, HealthCheckInterval: 50 * time.Millisecond, MaxConnections: 100, Source: fixedMap{&cells.Map{
					Version: 1, KeyWindow: 10 * time.Second, Lease: time.Hour, CallerTimeout: 4 * time.Second, Cells: []cells.Cell{{Name: "a"}},
					Servers: []cells.Server{{Name: "s", Addr: ln.Addr().String(), Cell: "a", Weight: 1, JoinsAt: time.Now().UnixMilli()}},
					Tenants: []cells.Tenant{{Homes: []cells.Home{{Cell: "a"}}}},
				}}}, h, quiet, &metrics.Counters{})
				if err != nil {
					t.Fatal(err)
				}
				keeps.Go(func() { r.Maintain(ctx) })
				for k := range 10 { // requests that each router wants out at once
					all.Go(func() {
						for i := 0; ctx.Err() == nil; i++ {
							q := core.Request{ID: fmt.Sprintf("%d-%d-%d", n, k, i), Class: "read", ReceivedAt: time.Now(), Deadline: time.Now().Add(4 * time.Second), MemoryKB: 1}
							if k%2 == 0 {
								q.Class, q.Key = "sheet", q.ID
							}
							class, _ := h.Class(q.Class)
							r.route(q, class)
							time.Sleep(time.Millisecond)
						}
					})
				}
			}
			most, allowed := 0, whole+2*math.Sqrt(whole)+2
			for deadline := time.Now().Add(3 * time.Minute); ; time.Sleep(100 * time.Microsecond) {
				most = max(most, c.PendingAnswers()) // read, and not answered
				w.mu.Lock()
				runs := w.runs
				w.mu.Unlock()
				if runs >= 150 && (cold || float64(most) > allowed) {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("%d runs", runs)
				}
			}
			cancel()
			all.Wait()
			keeps.Wait()
			l.Close()
			c.Stop()
			t.Logf("most out at once: %d; it takes %.1f, with chance %.1f", most, whole, allowed)
			if over := float64(most) > allowed; over == cold {
				t.Errorf("%d out at once where it says that it is cold: %v", most, cold)
			}
		})
	}
}
