package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"silverpath/internal/ask"
	"silverpath/internal/keyed"
	"silverpath/internal/lab"
	"silverpath/internal/store"
)

// storeProgram gives this test's program a disk that fails as a file says, for as long as the file is there: BOUNDARY ACTION, where
// the boundary may be * and the action is a time to wait, kill:N for the end at the Nth time, or the text of an error. And it has
// the machine be switched on when the environment says, which is another time for each name.
func storeProgram() {
	store.Unpromised = os.Getenv("SILVERPATH_UNPROMISED") != ""
	if name, ago, ok := strings.Cut(os.Getenv("SILVERPATH_BOOT"), " "); ok {
		began := time.Now()
		up, _ := time.ParseDuration(ago)
		store.Now = func() keyed.Clock { return keyed.Clock{Boot: name, Now: up + time.Since(began)} }
	}
	file := os.Getenv("SILVERPATH_STORE")
	if file == "" {
		return
	}
	var met atomic.Int64
	store.Fault = func(boundary string) error {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil
		}
		at, action, _ := strings.Cut(string(text), " ")
		if at != "*" && at != boundary {
			return nil
		}
		if nth, kills := strings.CutPrefix(action, "kill:"); kills {
			if n, _ := strconv.ParseInt(nth, 10, 64); met.Add(1) == n {
				syscall.Kill(os.Getpid(), syscall.SIGKILL)
				select {}
			}
			return nil
		}
		if d, err := time.ParseDuration(action); err == nil {
			time.Sleep(d)
			return nil
		}
		return fmt.Errorf("%s", action)
	}
}

// durable is a service whose runs are kept, started again and again at one address.
type durable struct {
	*lab.Shared
	t     *testing.T
	dir   string // the store's
	fault string // the file that says how the disk fails
}

func newDurable(t *testing.T, env ...string) *durable {
	t.Helper()
	if testing.Short() {
		t.Skip("real processes")
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	d := &durable{t: t, dir: filepath.Join(t.TempDir(), "keys"), fault: filepath.Join(t.TempDir(), "fault")}
	d.Shared = lab.Inherit(t, exe, append([]string{"SILVERPATH_RUN=1", "SILVERPATH_STORE=" + d.fault}, env...), false)
	d.Wait = 900 * time.Millisecond
	d.Args = []string{"--edge", write(t, "edge.json", fmt.Sprintf(`{"store":{"dir":%q,"size_mb":8}}`, d.dir))}
	d.Edit = func(text string) string {
		return strings.NewReplacer(`"deadline":4400000`, `"deadline":1000000`, `"target":1800000`, `"target":900000`).Replace(text)
	}
	if err := store.Init(d.dir, "lab"); err != nil {
		t.Fatal(err)
	}
	return d
}

// disk has the disk fail as a text says; empty: well again.
func (d *durable) disk(text string) {
	if text == "" {
		os.Remove(d.fault)
		return
	}
	next := d.fault + ".next" // whole, as the program reads it at any moment
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	if err := os.Rename(next, d.fault); err != nil {
		d.t.Fatal(err)
	}
}

// up starts the service and waits until it serves with all that is kept read.
func (d *durable) up(env ...string) *lab.Generation {
	d.t.Helper()
	d.Env = env
	g := d.Start()
	if _, err := g.Await(20*time.Second, 0, "store: ", "taken up"); err != nil {
		d.t.Fatal(err)
	}
	g.Ready(d.t)
	return g
}

// ask makes one try of a sheet.
func (d *durable) ask(key, body string) ask.Reply {
	a, err := ask.Once(ask.Platform, d.Addr, ask.Request{Class: "oddaja", Key: key, Body: []byte(body), Wait: d.Wait})
	if err != nil {
		a.Outcome = "lost"
	}
	return a
}

// again has sheets that were served asked for once more, all at once, and says what must not be.
func (d *durable) again(served map[string]string) (wrong []string) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for key, body := range served {
		all.Go(func() {
			a := d.ask(key, key)
			mu.Lock()
			defer mu.Unlock()
			if a.Outcome != "served" || string(a.Body) != body {
				wrong = append(wrong, fmt.Sprintf("%s: %s %q, was served %q", key, a.Outcome, a.Body, body))
			}
		})
	}
	all.Wait()
	return wrong
}

// serve has sheets served and returns their results.
func (d *durable) serve(name string, n int) map[string]string {
	d.t.Helper()
	served := map[string]string{}
	for i := range n {
		key := fmt.Sprintf("%s-%d", name, i)
		a := d.ask(key, key)
		if a.Outcome != "served" {
			d.t.Fatalf("%s: %s %s", key, a.Outcome, a.Body)
		}
		served[key] = string(a.Body)
	}
	return served
}

// A server is killed again and again under load, at any moment, with every sheet sent again: none runs twice, no two answers
// differ, nothing that ran is refused. Without the promise sheets run twice.
func TestKilledAndStartedAnew(t *testing.T) {
	t.Parallel()
	play := func(t *testing.T, seed uint64, times int, enough func(l *lab.Sheets) bool, env ...string) []string {
		d := newDurable(t, env...)
		rng := rand.New(rand.NewPCG(seed, 10))
		g := d.up()
		l := d.Load(8, 4, 500*time.Millisecond, seed)
		for range times {
			time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
			g.Kill()
			g = d.up()
			if enough != nil && enough(l) {
				break
			}
		}
		time.Sleep(300 * time.Millisecond)
		wrong := l.End()
		if l.Served < 50 {
			t.Errorf("only %d served", l.Served)
		}
		return wrong
	}
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("promised ", seed), func(t *testing.T) {
			t.Parallel()
			for _, w := range play(t, seed, 6, nil) {
				t.Error(w)
			}
		})
	}
	t.Run("unpromised", func(t *testing.T) {
		t.Parallel()
		if w := play(t, 9, 40, (*lab.Sheets).Harmed, "SILVERPATH_UNPROMISED=1"); len(w) == 0 {
			t.Error("without promises nothing ran twice: this test finds no harm")
		}
	})
}

// Killed at each of the first boundaries of what is written, and by boundary of what happens seldom, and twice over in the
// recovery: what was served before is answered the same, and nothing runs twice.
func TestKilledAtEveryBoundary(t *testing.T) {
	t.Parallel()
	for _, at := range []string{"commit kill:1", "commit kill:2", "commit kill:3", "commit kill:4", "committed kill:1", "committed kill:2",
		"committed kill:3", "committed kill:4", "loading kill:1", "rewrite kill:1", "rewrite.written kill:1", "rewrite.synced kill:1",
		"rewrite.renamed kill:1", "rewrite.done kill:1", "snapshot kill:1", "snapshot.written kill:1"} {
		t.Run(at, func(t *testing.T) {
			t.Parallel()
			d := newDurable(t)
			g := d.up()
			served := d.serve("before", 10)
			g.Kill()
			d.disk(at)
			boot := func(n int) string { return fmt.Sprintf("SILVERPATH_BOOT=%d 1s", n) } // it was switched off: all is written anew
			killed := 0
			for n := range 2 {
				d.Env = []string{boot(n)}
				g = d.Start()
				if strings.HasPrefix(at, "snapshot") {
					g.Ready(t)
					g.Call("POST /api/snapshot")
				} else {
					for i := 0; i < 20; i++ {
						select {
						case <-g.Ended():
							i = 20
						default:
							key := fmt.Sprintf("during-%d-%d", killed, i)
							d.ask(key, key)
						}
					}
				}
				select {
				case <-g.Ended():
					killed++
				case <-time.After(2 * time.Second):
					t.Fatalf("it was not killed:\n%s", g.Log())
				}
			}
			d.disk("")
			d.up(boot(2))
			for _, w := range d.again(served) {
				t.Error(w)
			}
			for i := range 40 { // what was under way is not run again
				key := fmt.Sprintf("during-%d-%d", i/20, i%20)
				d.ask(key, key)
			}
			d.serve("after", 3)
			for body, n := range d.Runs() {
				if n > 1 {
					t.Errorf("%s ran %d times", body, n)
				}
			}
		})
	}
}
