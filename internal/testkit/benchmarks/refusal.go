package benchmarks

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"silverpath/deploy"
	"silverpath/internal/builtinworker"
	"silverpath/internal/transport/client"
)

// baseline is the environment variable that names an earlier build of the service, to be measured beside this one.
const baseline = "SILVERPATH_BASELINE"

// flood sends by the clock for a while, on as many goroutines as keep up with it, and returns how many were sent, how
// many came out as wanted, and the times from the intended moment.
func flood(rate float64, d time.Duration, workers int, one func(worker int) string, want string) (sent, as int, h *hdrhistogram.Histogram) {
	h = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for w := range workers {
		wg.Go(func() {
			for n := w; ; n += workers {
				due := began.Add(time.Duration(float64(n) / rate * float64(time.Second)))
				if due.Sub(began) >= d {
					return
				}
				time.Sleep(time.Until(due))
				out := one(w)
				took := time.Since(due)
				mu.Lock()
				sent++
				if out == want {
					as++
				}
				_ = h.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sent, as, h
}

// Refusal measures the processor time of a refusal and of a cheap call, while every core of the machine is taken by
// runs that don't end.
func Refusal(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	type variant struct{ name, bin, edge string }
	variants := []variant{{"off", bin, ""}, {"on", bin, string(deploy.Edge)}}
	if old := os.Getenv(baseline); old != "" {
		variants = append([]variant{{"before", old, ""}}, variants...)
	}
	fmt.Println("\n| program | call | a second | sent | as wanted | CPU each | p50 | p99 | max |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, v := range variants {
		i, err := builtinworker.Listen(builtinworker.Config{
			Listen: "127.0.0.1:0", Cores: cores, Shape: builtinworker.Shape{Knee: cores, Speed: 1},
			Other: builtinworker.Class{MinWork: 100 * time.Millisecond, MaxWork: 100 * time.Millisecond}, MemoryKB: site.MemoryKB, RunFactor: 4,
		})
		if err != nil {
			b.Fatal(err)
		}
		p, err := Start(v.bin, b.TempDir(), site, i.Addr(), v.edge)
		if err != nil {
			b.Fatal(err)
		}
		conns := make([]*client.Conn, 4)
		for k := range conns {
			if conns[k], err = client.Dial(p.Platform); err != nil {
				b.Fatal(err)
			}
		}
		q := client.Request{Class: "lestvica", Timeout: patience, Body: []byte("x"), MemoryKB: 1}
		onOpen := func(w int) string { return (<-conns[w%len(conns)].Do(q)).Outcome }
		warm := func() { flood(1500, 3*time.Second, 400, onOpen, "") } // the machine does 160 a second
		warm()
		for _, c := range []struct {
			name    string
			rate    float64
			workers int
			one     func(int) string
			want    string
		}{
			{"refusal, open connection", 5000, 100, onOpen, "refused"},
			{"refusal, new SCGI connection", 5000, 100, func(int) string {
				a, err := client.Do(client.SCGI, p.SCGI, q)
				if err != nil {
					return err.Error()
				}
				return a.Outcome
			}, "refused"},
			{"health check, open connection", 300, 4, func(w int) string { return (<-conns[w%len(conns)].Probe()).Outcome }, "served"},
			{"health check, new connection", 300, 16, func(int) string {
				if good, err := probe(p.Platform); err != nil || !good {
					return fmt.Sprint(err)
				}
				return "served"
			}, "served"},
		} {
			before := p.CPU()
			sent, as, h := flood(c.rate, 4*time.Second, c.workers, c.one, c.want)
			each := (p.CPU() - before) / time.Duration(max(1, sent))
			fmt.Printf("| %s | %s | %.0f | %d | %d | %v | %v | %v | %v |\n", v.name, c.name, c.rate, sent, as, each.Round(time.Microsecond/10),
				At(h, 50), At(h, 99), At(h, 100))
			b.ReportMetric(float64(each.Nanoseconds())/1000, fmt.Sprintf("us/%s-%s", v.name, strings.NewReplacer(" ", "-", ",", "").Replace(c.name)))
		}
		for _, c := range conns {
			c.Close()
		}
		if _, err := p.Stop(); err != nil {
			b.Fatal(err)
		}
		i.Close()
	}
}

// Probes sends 500 connections that only probe, at full speed, at a service under 150% of its capacity, and measures
// what a quiet peer sees of it.
func Probes(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	fmt.Println("\n| pools and reserve | flood answered a second | worth | cheap n | p50 | p99 | p99.9 | max | lost |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, edge := range []string{"", string(deploy.Edge)} {
		i, err := machine(builtinworker.Config{ReadWork: read})
		if err != nil {
			b.Fatal(err)
		}
		p, err := Start(bin, b.TempDir(), site, i.Addr(), edge)
		if err != nil {
			b.Fatal(err)
		}
		const d = 10 * time.Second
		end := time.Now().Add(d)
		var mu sync.Mutex
		var wg sync.WaitGroup
		answered := 0
		for range 500 {
			wg.Go(func() {
				for time.Now().Before(end) {
					c, err := client.Dial(p.Platform)
					if err != nil {
						time.Sleep(time.Millisecond)
						continue
					}
					for n := 0; time.Now().Before(end); n++ {
						if a, ok := <-c.Probe(); !ok || a.Outcome != "served" {
							break
						}
						mu.Lock()
						answered++
						mu.Unlock()
					}
					c.Close()
				}
			})
		}
		r, err := Load{Rate: 1.5 * scenarios[0].capacity(), For: d, HeldKB: 32, Seed: 7}.Run(p, i)
		if err != nil {
			b.Fatal(err)
		}
		wg.Wait()
		name := "off"
		if edge != "" {
			name = "on"
		}
		fmt.Printf("| %s | %.0f | %.3f | %d | %v | %v | %v | %v | %d |\n", name, float64(answered)/d.Seconds(), r.Worth/r.Asked,
			r.Cheap.TotalCount(), At(r.Cheap, 50), At(r.Cheap, 99), At(r.Cheap, 99.9), At(r.Cheap, 100), r.CheapLost+r.CheapWrong)
		b.ReportMetric(float64(At(r.Cheap, 100).Microseconds())/1000, "ms/cheap-max-"+name)
		if len(r.Broken) > 0 {
			b.Errorf("rules broken: %v", r.Broken[:min(3, len(r.Broken))])
		}
		if _, err := p.Stop(); err != nil {
			b.Fatal(err)
		}
		i.Close()
	}
}
