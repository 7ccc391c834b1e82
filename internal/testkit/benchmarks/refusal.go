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

// baselineEnv is the environment variable with the path of an earlier build of the service, which is measured beside this one.
const baselineEnv = "SILVERPATH_BASELINE"

// sendAtRate calls send at a fixed rate for the duration d on the given number of worker goroutines. It returns the number of
// calls, the number whose outcome was want, and the histogram of their times in microseconds. A time counts from when the
// call was due.
func sendAtRate(rate float64, d time.Duration, workers int, send func(worker int) string, want string) (sent, matching int, h *hdrhistogram.Histogram) {
	h = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	startedAt := time.Now()
	for w := range workers {
		wg.Go(func() {
			for n := w; ; n += workers {
				due := startedAt.Add(time.Duration(float64(n) / rate * float64(time.Second)))
				if due.Sub(startedAt) >= d {
					return
				}
				time.Sleep(time.Until(due))
				out := send(w)
				took := time.Since(due)
				mu.Lock()
				sent++
				if out == want {
					matching++
				}
				_ = h.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return sent, matching, h
}

// Refusal measures the CPU time of a refusal and of a health check while runs occupy every core of the interpreter.
func Refusal(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	type variant struct{ name, bin, edgeText string }
	variants := []variant{{"off", bin, ""}, {"on", bin, string(deploy.Edge)}}
	if old := os.Getenv(baselineEnv); old != "" {
		variants = append([]variant{{"before", old, ""}}, variants...)
	}
	fmt.Println("\n| program | call | a second | sent | as wanted | CPU each | p50 | p99 | max |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, v := range variants {
		i, err := builtinworker.Listen(builtinworker.Config{
			Listen: "127.0.0.1:0", Cores: cores, Shape: builtinworker.Shape{Knee: cores, Speed: 1},
			DefaultClass: builtinworker.Class{MinWork: 100 * time.Millisecond, MaxWork: 100 * time.Millisecond}, MemoryKB: overloadSite.MemoryKB, RunFactor: 4,
		})
		if err != nil {
			b.Fatal(err)
		}
		p, err := Start(v.bin, b.TempDir(), overloadSite, i.Addr(), v.edgeText)
		if err != nil {
			b.Fatal(err)
		}
		conns := make([]*client.Conn, 4)
		for k := range conns {
			if conns[k], err = client.Dial(p.Platform); err != nil {
				b.Fatal(err)
			}
		}
		q := client.Request{Class: "lestvica", Timeout: requestTimeout, Body: []byte("x"), MemoryKB: 1}
		sendOnOpen := func(w int) string { return (<-conns[w%len(conns)].Do(q)).Outcome }
		warmUp := func() { sendAtRate(1500, 3*time.Second, 400, sendOnOpen, "") } // the interpreter's capacity is 160 requests a second
		warmUp()
		for _, c := range []struct {
			name    string
			rate    float64
			workers int
			send    func(int) string
			want    string
		}{
			{"refusal, open connection", 5000, 100, sendOnOpen, "refused"},
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
			sent, matching, h := sendAtRate(c.rate, 4*time.Second, c.workers, c.send, c.want)
			cpuPerCall := (p.CPU() - before) / time.Duration(max(1, sent))
			fmt.Printf("| %s | %s | %.0f | %d | %d | %v | %v | %v | %v |\n", v.name, c.name, c.rate, sent, matching, cpuPerCall.Round(time.Microsecond/10),
				Percentile(h, 50), Percentile(h, 99), Percentile(h, 100))
			b.ReportMetric(float64(cpuPerCall.Nanoseconds())/1000, fmt.Sprintf("us/%s-%s", v.name, strings.NewReplacer(" ", "-", ",", "").Replace(c.name)))
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

// Probes opens 500 connections that send only health checks, as fast as they are answered, to a service under 150% of its
// load capacity. It measures the goodput and the latency of the cheap calls of a peer that sends few.
func Probes(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	fmt.Println("\n| pools and reserve | flood answered a second | worth | cheap n | p50 | p99 | p99.9 | max | lost |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, edge := range []string{"", string(deploy.Edge)} {
		i, err := startInterpreter(builtinworker.Config{ReadWork: meanReadWork})
		if err != nil {
			b.Fatal(err)
		}
		p, err := Start(bin, b.TempDir(), overloadSite, i.Addr(), edge)
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
		r, err := Load{Rate: 1.5 * scenarios[0].capacity(), For: d, MemoryKB: 32, Seed: 7}.Run(p, i)
		if err != nil {
			b.Fatal(err)
		}
		wg.Wait()
		name := "off"
		if edge != "" {
			name = "on"
		}
		fmt.Printf("| %s | %.0f | %.3f | %d | %v | %v | %v | %v | %d |\n", name, float64(answered)/d.Seconds(), r.ServedWorth/r.OfferedWorth,
			r.Cheap.TotalCount(), Percentile(r.Cheap, 50), Percentile(r.Cheap, 99), Percentile(r.Cheap, 99.9), Percentile(r.Cheap, 100), r.CheapLost+r.CheapWrong)
		b.ReportMetric(float64(Percentile(r.Cheap, 100).Microseconds())/1000, "ms/cheap-max-"+name)
		if len(r.Violations) > 0 {
			b.Errorf("rules violated: %v", r.Violations[:min(3, len(r.Violations))])
		}
		if _, err := p.Stop(); err != nil {
			b.Fatal(err)
		}
		i.Close()
	}
}
