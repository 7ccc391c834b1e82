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

// The interpreter of the overload scenarios. Its knee is lower than its number of cores, and the service is configured with
// the cores alone.
const (
	cores        = 16
	knee         = 12
	meanRunWork  = 60 * time.Millisecond // mean work of a run
	meanReadWork = 13 * time.Millisecond // work of reading a request
)

var overloadSite = Site{Cores: cores, MemoryKB: 16000, ProcMB: 96, Sockets: 1024}

// scenario is one overload scenario, which lasts scenarioTime.
type scenario struct {
	name           string
	script         []builtinworker.Fault
	kneeMoves      []kneeMove    // when the knee moves, and by which factor of its initial value
	customReadWork time.Duration // work of reading a request; 0: meanReadWork
}

type kneeMove struct {
	at     time.Duration
	factor float64
}

const scenarioTime = 30 * time.Second

var scenarios = []scenario{
	{name: "150%"},
	{name: "150%, 9.9 times slower from 10 s to 20 s", script: []builtinworker.Fault{{At: 10 * time.Second, For: 10 * time.Second, Speed: 1 / 9.9}}},
	{name: "150%, memory filled from 5 s on", script: []builtinworker.Fault{{At: 5 * time.Second, Memory: 0.75}}},
	{name: "150%, point halved at 10 s, doubled at 20 s",
		script:    []builtinworker.Fault{{At: 10 * time.Second, For: 10 * time.Second, Knee: 0.5}},
		kneeMoves: []kneeMove{{10 * time.Second, 0.5}, {20 * time.Second, 1}},
		// With meanReadWork, reading the requests alone would exceed half the knee, and no limit on runs would help.
		customReadWork: 3 * time.Millisecond},
}

func startInterpreter(cfg builtinworker.Config) (*builtinworker.Interpreter, error) {
	cfg.Listen, cfg.Cores, cfg.Audit, cfg.MaxRunsPerCore = "127.0.0.1:0", cores, true, 8
	if cfg.Shape.Knee == 0 {
		cfg.Shape = builtinworker.Shape{Knee: knee, Thrash: 1, Speed: 1}
	}
	cfg.DefaultClass = builtinworker.Class{MinWork: meanRunWork * 11 / 15, MaxWork: meanRunWork * 19 / 15}
	cfg.MemoryKB, cfg.RunFactor, cfg.Seed = overloadSite.MemoryKB, 4, 5
	return builtinworker.Listen(cfg)
}

// capacity returns how many requests a second the interpreter can read and run.
func (sc scenario) capacity() float64 { return knee / (meanRunWork + sc.readWork()).Seconds() }

func (sc scenario) readWork() time.Duration {
	if sc.customReadWork > 0 {
		return sc.customReadWork
	}
	return meanReadWork
}

// edgeWithFixedLimit returns an edge file with a fixed concurrency limit. Set to the knee, which only the stand-in interpreter
// knows, it is the ideal limit.
func edgeWithFixedLimit(limit float64) string {
	return strings.Replace(string(deploy.Edge), `"limit": {"least": 2}`, fmt.Sprintf(`"limit": {"least": 1, "fixed": %.1f}`, limit), 1)
}

// scenarioResult is the result of one variant in one scenario.
type scenarioResult struct {
	variant     string
	res         *Result
	failure     string
	maxMemory   float64
	cpu         time.Duration
	convergence []time.Duration // after each move of the knee, the time until the limit stays within 15% of it
	limits      []float64       // once a second
	err         error
}

func runScenario(t testing.TB, bin, variant string, sc scenario) scenarioResult {
	out := scenarioResult{variant: variant}
	i, err := startInterpreter(builtinworker.Config{ReadWork: sc.readWork()})
	if err != nil {
		out.err = err
		return out
	}
	defer i.Close()
	rate := 1.5 * sc.capacity()
	edge := map[string]string{"off": "", "on": string(deploy.Edge), "knows": edgeWithFixedLimit(knee)}[variant]
	p, err := Start(bin, t.TempDir(), overloadSite, i.Addr(), edge)
	if err != nil {
		out.err = err
		return out
	}
	i.ScheduleFaults(sc.script)
	stop := make(chan struct{})
	var watcher sync.WaitGroup
	if edge != "" {
		watcher.Go(func() { out.watchLimit(p, i, stop) })
	}
	if variant == "knows" {
		for _, pt := range sc.kneeMoves {
			limit := pt.factor * knee
			time.AfterFunc(pt.at, func() { _ = p.Reload(edgeWithFixedLimit(limit)) })
		}
	}
	before := p.CPU()
	out.res, out.err = Load{Rate: rate, For: scenarioTime, MemoryKB: 32, Seed: 7}.Run(p, i)
	out.cpu = p.CPU() - before
	close(stop)
	watcher.Wait()
	out.failure, out.maxMemory = i.Failure()
	counters, err := p.Stop()
	if err != nil && out.err == nil {
		out.err = fmt.Errorf("%w\n%s", err, p.Log())
	}
	if n := counters["guard"]; n > 0 {
		out.res.Violations = append(out.res.Violations, fmt.Sprintf("guard: %d", n))
	}
	return out
}

// watchLimit polls the service's status until stop is closed and records its limit and how long it takes to follow the knee.
func (r *scenarioResult) watchLimit(proc *Process, i *builtinworker.Interpreter, stop <-chan struct{}) {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	startedAt, lastKnee, movedAt := time.Now(), i.Knee(), time.Now()
	var nearSince time.Time
	done := false
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		body, err := client.Status(client.MessagePack, proc.Platform)
		if err != nil {
			continue
		}
		var st struct {
			Limit struct{ All float64 }
		}
		if json.Unmarshal(body, &st) != nil {
			continue
		}
		if n := int(time.Since(startedAt) / time.Second); n >= len(r.limits) {
			r.limits = append(r.limits, math.Round(10*st.Limit.All)/10)
		}
		if k := i.Knee(); k != lastKnee {
			lastKnee, movedAt, nearSince, done = k, time.Now(), time.Time{}, false
		}
		deviation := math.Abs(st.Limit.All-lastKnee) / lastKnee
		switch {
		case deviation > 0.15:
			nearSince = time.Time{}
		case nearSince.IsZero():
			nearSince = time.Now()
		case !done && time.Since(nearSince) >= time.Second: // the limit's own probes leave the 15% for less than a second
			r.convergence = append(r.convergence, nearSince.Sub(movedAt))
			done = true
		}
	}
}

// Overload runs every scenario with pools off, with pools on, and with pools and a limit fixed at the knee. The three variants
// run concurrently.
func Overload(b *testing.B) {
	bin, err := Build(b.TempDir())
	if err != nil {
		b.Fatal(err)
	}
	variants := []string{"off", "on", "knows"}
	fmt.Printf("\n%.0f requests a second, %.0f s each; point of collapse %d runs, %d cores told\n", 1.5*scenarios[0].capacity(), scenarioTime.Seconds(), knee, cores)
	fmt.Println("| scenario | pools | worth | lestvica | krog | oddaja | refused | refusal p50 | p99 | told over 100 ms late | cheap n | p50 | p99 | p99.9 | max | cheap lost | died | memory | CPU | rules broken |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for n, sc := range scenarios {
		results := make([]scenarioResult, len(variants))
		var wg sync.WaitGroup
		for k, v := range variants {
			wg.Go(func() { results[k] = runScenario(b, bin, v, sc) })
		}
		wg.Wait()
		for _, r := range results {
			if r.err != nil {
				b.Fatalf("%s, pools %s: %v", sc.name, r.variant, r.err)
			}
			q := r.res
			share := func(c string) float64 { return float64(q.ByClass[c][0]) / float64(max(1, q.ByClass[c][1])) }
			failure := r.failure
			if failure == "" {
				failure = "no"
			}
			fmt.Printf("| %s | %s | %.3f | %.2f | %.2f | %.2f | %.2f | %v | %v | %.3f | %d | %v | %v | %v | %v | %d | %s | %.2f | %.2f s | %d |\n",
				sc.name, r.variant, q.ServedWorth/q.OfferedWorth, share("lestvica"), share("krog"), share("oddaja"),
				float64(q.Refused)/float64(q.Sent), Percentile(q.Refusals, 50), Percentile(q.Refusals, 99), float64(q.RefusedLate)/float64(max(1, q.Refused)), q.Cheap.TotalCount(),
				Percentile(q.Cheap, 50), Percentile(q.Cheap, 99), Percentile(q.Cheap, 99.9), Percentile(q.Cheap, 100), q.CheapLost+q.CheapWrong,
				failure, r.maxMemory, r.cpu.Seconds(), len(q.Violations))
			if len(q.Violations) > 0 {
				fmt.Println("  broken:", q.Violations[:min(3, len(q.Violations))])
			}
			b.ReportMetric(q.ServedWorth/q.OfferedWorth, fmt.Sprintf("worth-%d-%s", n, r.variant))
			if r.variant == "on" {
				fmt.Printf("  limit by second %v; within 15%% after %v\n", r.limits, r.convergence)
			}
		}
	}
}
