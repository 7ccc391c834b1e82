package benchmarks

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"

	"silverpath/deploy"
	"silverpath/internal/builtinworker"
	"silverpath/internal/transport/client"
)

// The machine of the overload: its point of collapse lies under its cores, which is all that a service is told.
const (
	cores = 16
	knee  = 12
	work  = 60 * time.Millisecond // of a run, in the mean
	read  = 13 * time.Millisecond // of the reading of a request
)

var site = Site{Cores: cores, MemoryKB: 16000, ProcMB: 96, Sockets: 1024}

// scenario is one evening.
type scenario struct {
	name   string
	script []builtinworker.Fault
	points []point       // when the point of collapse moves, and how
	read   time.Duration // work of reading a request; 0: the usual
}

type point struct {
	at time.Duration
	by float64
}

const evening = 30 * time.Second

var scenarios = []scenario{
	{name: "150%"},
	{name: "150%, 9.9 times slower from 10 s to 20 s", script: []builtinworker.Fault{{At: 10 * time.Second, For: 10 * time.Second, Speed: 1 / 9.9}}},
	{name: "150%, memory filled from 5 s on", script: []builtinworker.Fault{{At: 5 * time.Second, Memory: 0.75}}},
	{name: "150%, point halved at 10 s, doubled at 20 s",
		script: []builtinworker.Fault{{At: 10 * time.Second, For: 10 * time.Second, Knee: 0.5}},
		points: []point{{10 * time.Second, 0.5}, {20 * time.Second, 1}},
		// Where reading takes its usual part, what is read alone is past half the point, and no limit on runs helps.
		read: 3 * time.Millisecond},
}

func machine(cfg builtinworker.Config) (*builtinworker.Interpreter, error) {
	cfg.Listen, cfg.Cores, cfg.Audit, cfg.MaxRunsPerCore = "127.0.0.1:0", cores, true, 8
	if cfg.Shape.Knee == 0 {
		cfg.Shape = builtinworker.Shape{Knee: knee, Thrash: 1, Speed: 1}
	}
	cfg.Other = builtinworker.Class{MinWork: work * 11 / 15, MaxWork: work * 19 / 15}
	cfg.MemoryKB, cfg.RunFactor, cfg.Seed = site.MemoryKB, 4, 5
	return builtinworker.Listen(cfg)
}

// capacity is the requests a second that the machine can read and run.
func (sc scenario) capacity() float64 { return knee / (work + sc.reading()).Seconds() }

func (sc scenario) reading() time.Duration {
	if sc.read > 0 {
		return sc.read
	}
	return read
}

// fixedAt is an edge file whose limit is what only the stand-in knows: the point of collapse.
func fixedAt(limit float64) string {
	return strings.Replace(string(deploy.Edge), `"limit": {"least": 2}`, fmt.Sprintf(`"limit": {"least": 1, "fixed": %.1f}`, limit), 1)
}

// played is what one variant made of one scenario.
type played struct {
	variant string
	res     *Result
	fell    string
	most    float64
	cpu     time.Duration
	near    []time.Duration // after each move of the point, until the limit is within 15% of it and stays so
	limits  []float64       // each second
	err     error
}

func play(t testing.TB, bin, variant string, sc scenario) played {
	out := played{variant: variant}
	i, err := machine(builtinworker.Config{ReadWork: sc.reading()})
	if err != nil {
		out.err = err
		return out
	}
	defer i.Close()
	rate := 1.5 * sc.capacity()
	edge := map[string]string{"off": "", "on": string(deploy.Edge), "knows": fixedAt(knee)}[variant]
	p, err := Start(bin, t.TempDir(), site, i.Addr(), edge)
	if err != nil {
		out.err = err
		return out
	}
	i.Play(sc.script)
	stop := make(chan struct{})
	var watch sync.WaitGroup
	if edge != "" {
		watch.Go(func() { out.watch(p, i, stop) })
	}
	if variant == "knows" {
		for _, pt := range sc.points {
			limit := pt.by * knee
			time.AfterFunc(pt.at, func() { _ = p.Reload(fixedAt(limit)) })
		}
	}
	before := p.CPU()
	out.res, out.err = Load{Rate: rate, For: evening, HeldKB: 32, Seed: 7}.Run(p, i)
	out.cpu = p.CPU() - before
	close(stop)
	watch.Wait()
	out.fell, out.most = i.Failure()
	counters, err := p.Stop()
	if err != nil && out.err == nil {
		out.err = fmt.Errorf("%w\n%s", err, p.Log())
	}
	if n := counters["guard"]; n > 0 {
		out.res.Broken = append(out.res.Broken, fmt.Sprintf("guard: %d", n))
	}
	return out
}

// watch reads the limit off status requests.
func (p *played) watch(proc *Process, i *builtinworker.Interpreter, stop <-chan struct{}) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	began, last, moved := time.Now(), i.Knee(), time.Now()
	var since time.Time
	done := false
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		body, err := client.Status(client.Platform, proc.Platform)
		if err != nil {
			continue
		}
		var st struct {
			Limit struct{ All float64 }
		}
		if json.Unmarshal(body, &st) != nil {
			continue
		}
		if n := int(time.Since(began) / time.Second); n >= len(p.limits) {
			p.limits = append(p.limits, math.Round(10*st.Limit.All)/10)
		}
		if k := i.Knee(); k != last {
			last, moved, since, done = k, time.Now(), time.Time{}, false
		}
		off := math.Abs(st.Limit.All-last) / last
		switch {
		case off > 0.15:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case !done && time.Since(since) >= time.Second: // for a second: a probe goes further for less
			p.near = append(p.near, since.Sub(moved))
			done = true
		}
	}
}

// Overload runs every scenario with pools on, off, and with a limit that knows the point of collapse, side by side.
func Overload(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	variants := []string{"off", "on", "knows"}
	fmt.Printf("\n%.0f requests a second, %.0f s each; point of collapse %d runs, %d cores told\n", 1.5*scenarios[0].capacity(), evening.Seconds(), knee, cores)
	fmt.Println("| scenario | pools | worth | lestvica | krog | oddaja | refused | refusal p50 | p99 | told over 100 ms late | cheap n | p50 | p99 | p99.9 | max | cheap lost | died | memory | CPU | rules broken |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for n, sc := range scenarios {
		results := make([]played, len(variants))
		var wg sync.WaitGroup
		for k, v := range variants {
			wg.Go(func() { results[k] = play(b, bin, v, sc) })
		}
		wg.Wait()
		for _, r := range results {
			if r.err != nil {
				b.Fatalf("%s, pools %s: %v", sc.name, r.variant, r.err)
			}
			q := r.res
			share := func(c string) float64 { return float64(q.ByClass[c][0]) / float64(max(1, q.ByClass[c][1])) }
			died := r.fell
			if died == "" {
				died = "no"
			}
			fmt.Printf("| %s | %s | %.3f | %.2f | %.2f | %.2f | %.2f | %v | %v | %.3f | %d | %v | %v | %v | %v | %d | %s | %.2f | %.2f s | %d |\n",
				sc.name, r.variant, q.Worth/q.Asked, share("lestvica"), share("krog"), share("oddaja"),
				float64(q.Refused)/float64(q.Sent), At(q.Refusals, 50), At(q.Refusals, 99), float64(q.ToldLate)/float64(max(1, q.Refused)), q.Cheap.TotalCount(),
				At(q.Cheap, 50), At(q.Cheap, 99), At(q.Cheap, 99.9), At(q.Cheap, 100), q.CheapLost+q.CheapWrong,
				died, r.most, r.cpu.Seconds(), len(q.Broken))
			if len(q.Broken) > 0 {
				fmt.Println("  broken:", q.Broken[:min(3, len(q.Broken))])
			}
			b.ReportMetric(q.Worth/q.Asked, fmt.Sprintf("worth-%d-%s", n, r.variant))
			if r.variant == "on" {
				fmt.Printf("  limit by second %v; within 15%% after %v\n", r.limits, r.near)
			}
		}
	}
}
