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

// PowerLoss measures a fleet of twelve servers and three routers that goes dark as a whole, again and again under load, with every
// sheet sent again: what its processes keep is all that there is. Each machine has been switched on for five seconds as they start.
func PowerLoss(b *testing.B) {
	losses := 60
	if n, err := strconv.Atoi(os.Getenv("SILVERPATH_LOSSES")); err == nil {
		losses = n
	}
	bin, _ := tested(b)
	fmt.Println("\n| kept | losses | sheets | run twice | told otherwise | first read ms, p50, worst | first new sheet ms, p50, worst | written a server at rest |")
	fmt.Println("|---|---|---|---|---|---|---|---|")
	for _, c := range []struct {
		name        string
		store, life bool
		losses      int
	}{{"nothing", false, false, 3}, {"signs of life", false, true, 3}, {"signs of life and runs", true, true, losses}} {
		darken(b, bin, c.name, c.store, c.life, c.losses)
	}
}

// dark is a fleet that loses power.
type dark struct {
	*Fleet
	mu      sync.Mutex
	results map[string]string // of sheets, as they were first told
	wrong   []string
}

// on has processes that are started from now on find their machine switched on for the nth time.
func on(n int) {
	_ = os.Setenv("SILVERPATH_RUN", "1")
	_ = os.Setenv("SILVERPATH_BOOT", fmt.Sprintf("boot-%d 5s machine", n))
}

func darken(b *testing.B, bin, name string, keeps, lives bool, losses int) {
	defer func() { _ = os.Unsetenv("SILVERPATH_RUN") }()
	defer func() { _ = os.Unsetenv("SILVERPATH_BOOT") }()
	on(0)
	edge := func(dir string) string {
		parts := []string{`"cell":true`}
		if keeps {
			keys := filepath.Join(dir, "keys")
			if _, err := os.Stat(keys); err != nil {
				if err := idempotencystore.Init(keys, "lab"); err != nil {
					b.Fatal(err)
				}
			}
			parts = append(parts, fmt.Sprintf(`"store":{"dir":%q,"size_mb":8}`, keys))
		}
		if lives {
			parts = append(parts, fmt.Sprintf(`"life":{"file":%q}`, filepath.Join(dir, "life")))
		}
		return "{" + strings.Join(parts, ",") + "}"
	}
	fl, err := NewFleetWith(bin, b.TempDir(), 12, 3, []string{"a", "b", "c"}, []cells.Tenant{{Name: "t", Rate: 1000, Homes: []cells.Home{{Cell: "a"}}},
		{Name: "u", Rate: 1000, Homes: []cells.Home{{Cell: "b"}}}}, edge)
	if err != nil {
		b.Fatal(err)
	}
	d := &dark{Fleet: fl, results: map[string]string{}}
	defer d.Stop()
	rng := rand.New(rand.NewPCG(1, 20))
	if lives && !keeps { // their first start proves nothing
		time.Sleep(20 * time.Second)
	}
	syncs := d.Servers[0].written()
	time.Sleep(2 * time.Second)
	syncs = d.Servers[0].written() - syncs
	var reads, sheets []time.Duration
	for n := range losses {
		stop := make(chan struct{})
		var all sync.WaitGroup
		for c := range 12 {
			all.Go(func() { d.load(stop, fmt.Sprintf("%d-%d", n, c), rand.New(rand.NewPCG(uint64(n), uint64(c)))) })
		}
		time.Sleep(time.Duration(400+rng.IntN(400)) * time.Millisecond)
		read, sheet, err := d.loss(n+1, rng)
		if err != nil {
			b.Fatal(err)
		}
		reads, sheets = append(reads, read), append(sheets, sheet)
		close(stop)
		all.Wait()
	}
	twice, _ := d.Twice()
	slices.Sort(reads)
	slices.Sort(sheets)
	ms := func(l []time.Duration) string {
		return fmt.Sprintf("%d, %d", l[len(l)/2].Milliseconds(), l[len(l)-1].Milliseconds())
	}
	fmt.Printf("| %s | %d | %d | %d | %d | %s | %s | %d bytes/s |\n", name, losses, len(d.results), twice, len(d.wrong), ms(reads), ms(sheets), syncs/2)
	if keeps && (twice > 0 || len(d.wrong) > 0) {
		b.Error(twice, d.wrong[:min(4, len(d.wrong))])
	}
}

// loss ends all processes at one moment and starts them anew in any order. It returns how long after the start of the last one the
// first read and the first new sheet were served.
func (d *dark) loss(n int, rng *rand.Rand) (read, sheet time.Duration, err error) {
	all := append(slices.Clone(d.Routers), d.Servers...)
	for _, p := range all {
		_ = p.Signal(9)
	}
	for _, p := range all {
		p.Kill()
	}
	on(n)
	errs := make(chan error, len(all))
	var wg sync.WaitGroup
	for _, i := range rng.Perm(len(all)) {
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
			errs <- d.restartAt(i-len(d.Routers), 0)
		})
	}
	began := time.Now()
	first := func(class string, out *time.Duration) func() {
		return func() {
			for k := 0; time.Since(began) < time.Minute; k++ {
				d.mu.Lock()
				to := d.Routers[k%len(d.Routers)].Platform
				d.mu.Unlock()
				q := client.Request{Class: class, Tenant: "t", Body: fmt.Appendf(nil, "%s-first-%d-%d", class, n, k), Timeout: time.Second}
				if class == "oddaja" {
					q.Key = string(q.Body)
				}
				if a, err := client.Do(client.Platform, to, q); err == nil && a.Outcome == "served" {
					*out = time.Since(began)
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
			*out = time.Minute
		}
	}
	wg.Go(first("krog", &read))
	wg.Go(first("oddaja", &sheet))
	wg.Wait()
	for range all {
		if e := <-errs; e != nil && err == nil {
			err = e
		}
	}
	time.Sleep(200 * time.Millisecond)
	return read, sheet, err
}

// load sends sheets, each several times, by whatever router is there.
func (d *dark) load(stop chan struct{}, name string, rng *rand.Rand) {
	for n := 0; ; n++ {
		sheet := fmt.Sprintf("oddaja-%s-%d", name, n)
		for range 1 + rng.IntN(4) {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond):
			}
			d.mu.Lock()
			to := d.Routers[rng.IntN(len(d.Routers))].Platform
			d.mu.Unlock()
			a, err := client.Do(client.Platform, to, client.Request{Class: "oddaja", Tenant: []string{"t", "u"}[n%2], Key: sheet, Body: []byte(sheet), Timeout: 2 * time.Second})
			if err != nil || a.Outcome != "served" {
				continue
			}
			d.mu.Lock()
			if first := d.results[sheet]; first != "" && first != string(a.Body) {
				d.wrong = append(d.wrong, fmt.Sprintf("%s: %q and %q", sheet, first, a.Body))
			}
			d.results[sheet] = string(a.Body)
			d.mu.Unlock()
		}
	}
}
