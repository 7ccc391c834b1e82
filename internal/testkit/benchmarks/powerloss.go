package benchmarks

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath/internal/policy/cells"
	"silverpath/internal/storage/idempotencystore"
	"silverpath/internal/transport/client"
)

// PowerLoss measures a fleet of twelve servers and three routers that repeatedly loses power as a whole under load, while oddaja
// requests are repeated. Only what the processes keep on disk survives. The processes find that their machine booted 5 s before they start.
func PowerLoss(b *testing.B) {
	losses := 60
	if n, err := strconv.Atoi(os.Getenv("SILVERPATH_LOSSES")); err == nil {
		losses = n
	}
	bin, _ := buildTestBinary(b)
	fmt.Println("\n| kept | losses | sheets | run twice | told otherwise | first read ms, p50, worst | first new sheet ms, p50, worst | written a server at rest |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		name             string
		store, heartbeat bool
		losses           int
	}{{"nothing", false, false, 3}, {"signs of life", false, true, 3}, {"signs of life and runs", true, true, losses}} {
		measurePowerLoss(b, bin, c.name, c.store, c.heartbeat, c.losses)
	}
}

// powerLossFleet is a fleet that loses power.
type powerLossFleet struct {
	*Fleet
	mu      sync.Mutex
	results map[string]string // the last result that a client received of each oddaja request, by key
	wrong   []string
}

// setBoot makes processes that are started from now on find the nth boot of their machine.
func setBoot(n int) {
	_ = os.Setenv("SILVERPATH_RUN", "1")
	_ = os.Setenv("SILVERPATH_BOOT", fmt.Sprintf("boot-%d 5s machine", n))
}

func measurePowerLoss(b *testing.B, bin, name string, store, heartbeat bool, losses int) {
	defer func() { _ = os.Unsetenv("SILVERPATH_RUN") }()
	defer func() { _ = os.Unsetenv("SILVERPATH_BOOT") }()
	setBoot(0)
	edge := func(dir string) string {
		parts := []string{`"cell":true`}
		if store {
			keys := filepath.Join(dir, "keys")
			if _, err := os.Stat(keys); err != nil {
				if err := idempotencystore.Init(keys, "lab"); err != nil {
					b.Fatal(err)
				}
			}
			parts = append(parts, fmt.Sprintf(`"store":{"dir":%q,"size_mb":8}`, keys))
		}
		if heartbeat {
			parts = append(parts, fmt.Sprintf(`"life":{"file":%q}`, filepath.Join(dir, "life")))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	fl, err := NewFleetWith(bin, b.TempDir(), 12, 3, []string{"a", "b", "c"}, []cells.Tenant{{Name: "t", Rate: 1000, Homes: []cells.Home{{Cell: "a"}}},
		{Name: "u", Rate: 1000, Homes: []cells.Home{{Cell: "b"}}}}, edge)
	if err != nil {
		b.Fatal(err)
	}
	d := &powerLossFleet{Fleet: fl, results: map[string]string{}}
	defer d.Stop()
	rng := rand.New(rand.NewPCG(1, 20))
	if heartbeat && !store { // wait until keyed requests run: without a store they fail for a key window after a first start
		time.Sleep(20 * time.Second)
	}
	writtenBytes := d.Servers[0].bytesWritten()
	time.Sleep(2 * time.Second)
	writtenBytes = d.Servers[0].bytesWritten() - writtenBytes
	var readTimes, keyedTimes []time.Duration
	for n := range losses {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for c := range 12 {
			wg.Go(func() { d.sendKeyed(stop, fmt.Sprintf("%d-%d", n, c), rand.New(rand.NewPCG(uint64(n), uint64(c)))) })
		}
		time.Sleep(time.Duration(400+rng.IntN(400)) * time.Millisecond)
		read, keyed, err := d.loseAndRestart(n+1, rng)
		if err != nil {
			b.Fatal(err)
		}
		readTimes, keyedTimes = append(readTimes, read), append(keyedTimes, keyed)
		close(stop)
		wg.Wait()
	}
	twice, _ := d.CountRepeatedRuns()
	slices.Sort(readTimes)
	slices.Sort(keyedTimes)
	ms := func(l []time.Duration) string {
		return fmt.Sprintf("%d, %d", l[len(l)/2].Milliseconds(), l[len(l)-1].Milliseconds())
	}
	fmt.Printf("| %s | %d | %d | %d | %d | %s | %s | %d bytes/s |\n", name, losses, len(d.results), twice, len(d.wrong), ms(readTimes), ms(keyedTimes), writtenBytes/2)
	if store && (twice > 0 || len(d.wrong) > 0) {
		b.Error(twice, d.wrong[:min(4, len(d.wrong))])
	}
}

// loseAndRestart kills all processes at once and restarts them in random order. It returns the times from the start of the last process
// until the first read and until the first new request with a key were served. A time is a minute if no such request was served.
func (d *powerLossFleet) loseAndRestart(n int, rng *rand.Rand) (firstRead, firstKeyed time.Duration, err error) {
	processes := append(slices.Clone(d.Routers), d.Servers...)
	for _, p := range processes {
		_ = p.Signal(9)
	}
	for _, p := range processes {
		p.Kill()
	}
	setBoot(n)
	errs := make(chan error, len(processes))
	var wg sync.WaitGroup
	for _, i := range rng.Perm(len(processes)) {
		time.Sleep(time.Duration(rng.IntN(40)) * time.Millisecond)
		wg.Go(func() {
			if i < len(d.Routers) {
				old := d.Routers[i]
				p, err := start(d.bin, d.sub(fmt.Sprint("r", i)), "route", d.routerSite(), "", fmt.Sprintf(`{"fleet":{"map":%q,"state":%q,"probe_ms":200}}`,
					d.MapFile, filepath.Join(d.sub(fmt.Sprint("r", i)), "state.db")), "--listen", old.Platform)
				if err == nil {
					d.mu.Lock()
					d.Routers[i] = p
					d.mu.Unlock()
				}
				errs <- err
				return
			}
			errs <- d.restartUncounted(i-len(d.Routers), 0)
		})
	}
	startedAt := time.Now()
	timeFirstServed := func(class string, out *time.Duration) func() {
		return func() {
			for k := 0; time.Since(startedAt) < time.Minute; k++ {
				d.mu.Lock()
				to := d.Routers[k%len(d.Routers)].Platform
				d.mu.Unlock()
				q := client.Request{Class: class, Tenant: "t", Body: fmt.Appendf(nil, "%s-first-%d-%d", class, n, k), Timeout: time.Second}
				if class == "oddaja" {
					q.Key = string(q.Body)
				}
				if a, err := client.Do(client.MessagePack, to, q); err == nil && a.Outcome == "served" {
					*out = time.Since(startedAt)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			*out = time.Minute
		}
	}
	wg.Go(timeFirstServed("krog", &firstRead))
	wg.Go(timeFirstServed("oddaja", &firstKeyed))
	wg.Wait()
	for range processes {
		if e := <-errs; e != nil && err == nil {
			err = e
		}
	}
	time.Sleep(200 * time.Millisecond)
	return firstRead, firstKeyed, err
}

// sendKeyed sends oddaja requests, each one to four times and through random routers, until stop is closed.
func (d *powerLossFleet) sendKeyed(stop chan struct{}, name string, rng *rand.Rand) {
	for n := 0; ; n++ {
		key := fmt.Sprintf("oddaja-%s-%d", name, n)
		for range 1 + rng.IntN(4) {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
			}
			d.mu.Lock()
			to := d.Routers[rng.IntN(len(d.Routers))].Platform
			d.mu.Unlock()
			a, err := client.Do(client.MessagePack, to, client.Request{Class: "oddaja", Tenant: []string{"t", "u"}[n%2], Key: key, Body: []byte(key), Timeout: 2 * time.Second})
			if err != nil || a.Outcome != "served" {
				continue
			}
			d.mu.Lock()
			if previous := d.results[key]; previous != "" && previous != string(a.Body) {
				d.wrong = append(d.wrong, fmt.Sprintf("%s: %q and %q", key, previous, a.Body))
			}
			d.results[key] = string(a.Body)
			d.mu.Unlock()
		}
	}
}
