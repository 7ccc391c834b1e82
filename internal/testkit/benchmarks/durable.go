package benchmarks

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"silverpath/internal/builtinworker"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/idempotency"
	"silverpath/internal/storage/idempotencystore"
	"silverpath/internal/transport/client"
)

// Durable measures a service with an idempotency store on disk: its correctness when it is killed and restarted under load,
// the cost of the store, and the time to start with many records.
func Durable(b *testing.B) {
	b.Run("kills", durableKills)
	b.Run("cost", durableCost)
	b.Run("scale", durableScale)
}

// buildTestBinary builds the test executable of the command silverpath, which can inject faults into its store. It returns the path and
// the environment that makes the executable run as the service.
func buildTestBinary(b *testing.B) (bin string, env []string) {
	bin = filepath.Join(b.TempDir(), "silverpath.test")
	if out, err := exec.Command("go", "test", "-c", "-o", bin, "silverpath/cmd/silverpath").CombinedOutput(); err != nil {
		b.Fatalf("failed to build the test executable: %v\n%s", err, out)
	}
	return bin, []string{"SILVERPATH_RUN=1"}
}

// writeStoreEdge writes an edge file for a service with an idempotency store in dir and returns its path. It creates the store if dir
// does not exist.
func writeStoreEdge(b *testing.B, dir, name string, sizeMB int, gather time.Duration) string {
	file := filepath.Join(b.TempDir(), "edge.json")
	text := fmt.Sprintf(`{"store":{"dir":%q,"size_mb":%d,"gather_us":%d}}`, dir, sizeMB, gather.Microseconds())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	if _, err := os.Stat(dir); err != nil {
		if err := idempotencystore.Init(dir, name); err != nil {
			b.Fatal(err)
		}
	}
	return file
}

// durableKills kills and restarts a service under load, with and without a store. It counts the requests that ran twice or got
// different answers.
func durableKills(b *testing.B) {
	bin, env := buildTestBinary(b)
	const times = 200
	fmt.Println("\n| runs are kept | killed | sheets | tries | served | failed or refused | no answer | run twice or told otherwise | failed after their window |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, stored := range []bool{false, true} {
		s := NewShared(b, bin, env, false)
		s.Timeout = 900 * time.Millisecond
		s.Edit = func(text string) string { return strings.ReplaceAll(text, `"deadline":4400000`, `"deadline":1000000`) }
		if stored {
			s.Args = []string{"--edge", writeStoreEdge(b, filepath.Join(b.TempDir(), "keys"), "lab", 8, 0)}
		}
		rng := rand.New(rand.NewPCG(1, 10))
		g := s.Start()
		g.AwaitReady(b)
		l := s.Load(8, 4, 500*time.Millisecond, 5)
		for range times {
			time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
			g.Kill()
			g = s.Start()
			g.AwaitReady(b)
		}
		mismatches := l.End()
		failedAfterWindow := 0
		if stored { // a key that never got a result runs as a new one after its window
			time.Sleep(2*time.Second + time.Second + 2500*time.Millisecond)
			for _, key := range l.Unserved() {
				if a, err := client.Do(client.MessagePack, s.Addr, client.Request{Class: "oddaja", Key: key, Body: []byte(key), Timeout: 900 * time.Millisecond}); err != nil || a.Outcome != "served" {
					failedAfterWindow++
				}
			}
		}
		g.Kill()
		fmt.Printf("| %v | %d | %d | %d | %d | %d | %d | %d | %d |\n", stored, times, l.Asked(), len(l.Times), l.Served, l.Refused, l.Unanswered, len(mismatches), failedAfterWindow)
		if stored && len(mismatches) > 0 {
			b.Error(mismatches[:min(5, len(mismatches))])
		}
	}
}

// durableCost measures the throughput, the latency and the disk writes with and without a store, for several numbers of clients.
func durableCost(b *testing.B) {
	bin, env := buildTestBinary(b)
	fmt.Println("\n| store | clients | sheets/s | p50 ms | p99 ms | not served | syncs a sheet | sheets a commit | KB written a sheet |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, clients := range []int{1, 16, 64} {
		for _, c := range []struct {
			name   string
			stored bool
			gather time.Duration
			disk   string
		}{{"off", false, 0, ""}, {"on, gathers nothing", true, 0, ""}, {"on", true, 500 * time.Microsecond, ""},
			{"on, gathers 2 ms", true, 2 * time.Millisecond, ""}, {"on, 20 ms more a commit", true, 500 * time.Microsecond, "commit 20ms"}} {
			durableLoad(b, bin, env, clients, c.name, c.stored, c.gather, c.disk)
		}
	}
}

// durableLoad measures one combination of store and number of clients and prints a row of the table. Each client sends requests
// with new keys one after the other on its own connection.
func durableLoad(b *testing.B, bin string, env []string, clients int, name string, stored bool, gather time.Duration, diskFault string) {
	interpreter, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 128, Shape: builtinworker.Shape{Knee: 128, Thrash: 1, Speed: 1},
		DefaultClass: builtinworker.Class{MinWork: time.Millisecond, MaxWork: 3 * time.Millisecond}, MemoryKB: 1 << 20, RunFactor: 4, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	defer interpreter.Close()
	faultFile := filepath.Join(b.TempDir(), "fault")
	if diskFault != "" {
		if err := os.WriteFile(faultFile, []byte(diskFault), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	dir := b.TempDir()
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, []byte(Site{Cores: 128, MemoryKB: 1 << 20, ProcMB: 512, Sockets: 512}.config(interpreter.Addr())), 0o600); err != nil {
		b.Fatal(err)
	}
	args := []string{"serve", "--config", file}
	if stored {
		args = append(args, "--edge", writeStoreEdge(b, filepath.Join(dir, "keys"), "lab", 128, gather))
	}
	cmd := exec.Command(bin, args...)
	cmd.Env = append(append(os.Environ(), env...), "SILVERPATH_STORE="+faultFile)
	p, err := launch(cmd)
	if err != nil {
		b.Fatal(err)
	}
	defer p.Kill()
	if _, err := p.Await(startTimeout, 0, "phase serving"); err != nil {
		b.Fatal(err)
	}
	p.readAddresses()
	var mu sync.Mutex
	var times []time.Duration
	var notServed atomic.Int64
	var wg sync.WaitGroup
	const span = 4 * time.Second
	startTime := time.Now()
	for c := range clients {
		wg.Go(func() {
			conn, err := client.Dial(p.Platform)
			if err != nil {
				notServed.Add(1)
				return
			}
			defer conn.Close()
			for n := 0; time.Since(startTime) < span; n++ {
				key, sent := fmt.Sprintf("%d-%d", c, n), time.Now()
				a := <-conn.Do(client.Request{Class: "oddaja", Key: key, Body: []byte(key), Timeout: 4 * time.Second})
				mu.Lock()
				if a.Outcome == "served" {
					times = append(times, time.Since(sent))
				} else {
					notServed.Add(1)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(startTime)
	bytesWritten := p.bytesWritten()
	counters, err := p.Stop()
	if err != nil {
		b.Error(err)
	}
	slices.Sort(times)
	quantile := func(q float64) float64 {
		if len(times) == 0 {
			return 0
		}
		return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
	}
	n := max(1, len(times))
	commits := counters["store.commits"]
	fmt.Printf("| %s | %d | %.0f | %.1f | %.1f | %d | %.2f | %.1f | %.1f |\n", name, clients, float64(len(times))/elapsed.Seconds(), quantile(0.5), quantile(0.99), notServed.Load(),
		2*float64(commits)/float64(n), float64(counters["store.changes"])/2/float64(max(1, commits)), float64(bytesWritten)/1024/float64(n))
}

// bytesWritten returns the number of bytes that the process has written to disks.
func (p *Process) bytesWritten() (n int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/io", p.Pid()))
	if _, rest, ok := strings.Cut(string(text), "\nwrite_bytes: "); ok {
		_, _ = fmt.Sscan(rest, &n)
	}
	return n
}

// emptyRecords ignores the stored records and has none of its own.
type emptyRecords struct{}

func (emptyRecords) Restore([]idempotency.Record, idempotency.ClassTerms, func(time.Duration) time.Time) {
}
func (emptyRecords) Records(func(time.Time) time.Duration) (l []idempotency.Record) { return l }
func (emptyRecords) LongestWindow() time.Duration                                   { return 0 }
func (emptyRecords) Terms() idempotency.ClassTerms                                  { return nil }

// fillStore creates a store in dir with the given number of records, which have their results. The number is a multiple of 1000.
func fillStore(b *testing.B, dir string, records int) {
	if err := idempotencystore.Init(dir, "lab"); err != nil {
		b.Fatal(err)
	}
	s, err := idempotencystore.Open(idempotencystore.Config{Dir: dir, Name: "lab", MaxBytes: 1 << 31, ResultReserve: 128, Log: log.New(io.Discard, "", 0), Stats: &metrics.Counters{}}, emptyRecords{})
	if err != nil {
		b.Fatal(err)
	}
	go s.Run(context.Background())
	<-s.Loaded()
	var wg sync.WaitGroup
	for from := 0; from < records; from += 1000 {
		for i := from; i < from+1000; i++ {
			now := time.Now()
			r := idempotency.Record{Key: fmt.Sprintf("\x00key-%d", i), ID: fmt.Sprintf("%016x", i), Window: 20 * time.Minute}
			wg.Add(1)
			v := s.LogIntent(&r, now, now.Add(20*time.Minute), time.Hour, func(error) {})
			r.Result = make([]byte, 100)
			if v.Action != idempotency.Execute {
				b.Fatal(v)
			}
			s.LogResult(&r, now, now.Add(20*time.Minute), func(error) { wg.Done() })
		}
		wg.Wait()
	}
	s.Close()
}

// durableScale measures how long a service takes to start and to serve its first requests with up to a million live keys.
func durableScale(b *testing.B) {
	bin, env := buildTestBinary(b)
	fmt.Println("\n| live keys | MB on disk | MB resident | front open ms | first read ms | all read within | first new sheet ms |")
	fmt.Println("|---|---|---|---|---|---|---|")
	for _, records := range []int{0, 10_000, 100_000, 1_000_000} {
		dir := filepath.Join(b.TempDir(), "keys")
		fillStore(b, dir, records)
		interpreter, err := builtinworker.Listen(builtinworker.Config{Listen: "127.0.0.1:0", Cores: 8, Shape: builtinworker.Shape{Knee: 8, Thrash: 1, Speed: 1},
			DefaultClass: builtinworker.Class{MinWork: time.Millisecond, MaxWork: time.Millisecond}, MemoryKB: 1 << 16, RunFactor: 4, Seed: 1})
		if err != nil {
			b.Fatal(err)
		}
		file := filepath.Join(b.TempDir(), "config.json")
		text := strings.ReplaceAll(Site{Cores: 8, MemoryKB: 1 << 16, ProcMB: 8192, Sockets: 256}.config(interpreter.Addr()), `"memory_span":13170000`, `"memory_span":1200000000`)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		cmd := exec.Command(bin, "serve", "--config", file, "--edge", writeStoreEdge(b, dir, "lab", 1024, 0))
		cmd.Env = append(os.Environ(), env...)
		startTime := time.Now()
		p, err := launch(cmd)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := p.Await(startTimeout, 0, "msgpack: listening"); err != nil {
			b.Fatal(err)
		}
		openTime := time.Since(startTime)
		p.readAddresses()
		untilServed := func(class, key string) time.Duration {
			for n := 0; ; n++ {
				a, err := client.Do(client.MessagePack, p.Platform, client.Request{Class: class, Key: key, Body: []byte(key), Timeout: time.Second})
				if err == nil && a.Outcome == "served" || time.Since(startTime) > time.Minute {
					return time.Since(startTime)
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
		firstRead := untilServed("krog", "")
		firstExecution := untilServed("oddaja", "new")
		if _, err := p.Await(time.Minute, 0, "taken up"); err != nil {
			b.Fatal(err)
		}
		_, resident := p.Usage()
		size := int64(0)
		if s, err := os.Stat(filepath.Join(dir, "keys.db")); err == nil {
			size = s.Size()
		}
		fmt.Printf("| %d | %d | %d | %d | %d | %s | %d |\n", records, size>>20, resident>>20, openTime.Milliseconds(), firstRead.Milliseconds(), p.loadedIn(), firstExecution.Milliseconds())
		p.Kill()
		interpreter.Close()
	}
}

// loadedIn returns the load time of the store as the service logs it, or "never".
func (p *Process) loadedIn() string {
	line, err := p.Await(time.Second, 0, "taken up within ")
	if err != nil {
		return "never"
	}
	_, rest, _ := strings.Cut(line, "taken up within ")
	loadTime, _, _ := strings.Cut(rest, ",")
	return loadTime
}
