package core

import (
	"math"
	"runtime/metrics"
	"time"

	"github.com/valyala/fastjson"

	"silverpath/internal/policy/admission"
)

// ServesStatus reports whether fronts answer status requests.
func (c *Core) ServesStatus() bool { return c.servesStatus }

// Status returns the state of the service as a JSON object. It reads the view and never waits for a decision of the module.
func (c *Core) Status() []byte {
	v := c.View()
	var a fastjson.Arena
	o := a.NewObject()
	o.Set("name", a.NewString(c.name))
	o.Set("phase", a.NewString(v.Phase.String()))
	o.Set("health", boolean(&a, v.Health))
	o.Set("up_s", a.NewNumberFloat64(time.Since(c.startedAt).Round(time.Millisecond).Seconds()))
	o.Set("owed", a.NewNumberInt(v.PendingAnswers))
	o.Set("in_hand", a.NewNumberInt(v.InProgress))
	g := a.NewObject()
	for i, name := range []string{"core_use", "on_cores", "memory"} {
		g.Set(name, a.NewNumberFloat64(v.Gauges[i]))
	}
	o.Set("gauges", g)
	if v.Pools != nil {
		setPools(&a, o, v.Pools)
	}
	o.Set("timings", c.timings(&a))
	allocs := []metrics.Sample{{Name: "/gc/heap/allocs:objects"}}
	if metrics.Read(allocs); allocs[0].Value.Kind() == metrics.KindUint64 {
		o.Set("allocations", a.NewNumberFloat64(float64(allocs[0].Value.Uint64())))
	}
	if c.cell {
		o.Set("rules", c.rulesStatus(&a))
	}
	for name, part := range c.statusParts {
		if p, err := fastjson.ParseBytes(part()); err == nil {
			o.Set(name, p)
		}
	}
	return o.MarshalTo(nil)
}

// setPools adds the run limit, the memory and each pool to the status.
func setPools(a *fastjson.Arena, o *fastjson.Value, p *admission.Snapshot) {
	o.Set("limit", numberObject(a, "runs", p.RunLimit, "all", p.TotalLimit, "ceiling", p.Ceiling, "on_cores", float64(p.Running)))
	o.Get("limit").Set("belief", a.NewString(p.Diagnosis))
	o.Set("memory", numberObject(a, "booked", p.BookedMemory, "process", p.ProcessMemory))
	o.Get("memory").Set("stage", a.NewString(p.Memory.String()))
	list := a.NewArray()
	for i, q := range p.Pools {
		e := numberObject(a, "weight", q.Weight, "floor", q.Floor, "used", float64(q.Running), "waiting", float64(q.Queued),
			"want", q.Demand, "claim", q.Entitlement, "granted", float64(q.Started), "lent", float64(q.Borrowed),
			"turned", float64(q.Rejected))
		e.Set("name", a.NewString(q.Name))
		e.Set("starving", boolean(a, q.Starving))
		list.SetArrayItem(i, e)
	}
	o.Set("pools", list)
}

// timings returns the latency quantiles that the process measures itself, followed by those of the Go runtime.
func (c *Core) timings(a *fastjson.Arena) *fastjson.Value {
	times := a.NewObject()
	for _, t := range c.stats.Timings() {
		p50, n := t.Percentile(50)
		p99, _ := t.Percentile(99)
		longest, _ := t.Percentile(100)
		times.Set(t.Name, numberObject(a, "n", float64(n), "p50_us", float64(p50.Microseconds()),
			"p99_us", float64(p99.Microseconds()), "max_us", float64(longest.Microseconds())))
	}
	for _, h := range []struct{ name, metric string }{
		{"run_queue", "/sched/latencies:seconds"}, {"collector", "/sched/pauses/total/gc:seconds"},
	} {
		n, p50, p99, longest := quantiles(h.metric)
		times.Set(h.name, numberObject(a, "n", float64(n), "p50_us", p50*1e6, "p99_us", p99*1e6, "max_us", longest*1e6))
	}
	return times
}

func boolean(a *fastjson.Arena, b bool) *fastjson.Value {
	if b {
		return a.NewTrue()
	}
	return a.NewFalse()
}

// quantiles reads a runtime histogram of scheduling latency or GC pauses and returns its count and its quantiles in seconds.
func quantiles(metric string) (n uint64, p50, p99, longest float64) {
	sample := []metrics.Sample{{Name: metric}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0, 0, 0, 0
	}
	h := sample[0].Value.Float64Histogram()
	for _, count := range h.Counts {
		n += count
	}
	cumulative := uint64(0)
	for i, count := range h.Counts {
		if count == 0 {
			continue
		}
		cumulative += count
		upper := h.Buckets[i+1]
		if math.IsInf(upper, 1) {
			upper = h.Buckets[i]
		}
		if p50 == 0 && cumulative*2 >= n {
			p50 = upper
		}
		if p99 == 0 && cumulative*100 >= n*99 {
			p99 = upper
		}
		longest = upper
	}
	return n, p50, p99, longest
}

// numberObject returns a JSON object built from alternating names and float64 values.
func numberObject(a *fastjson.Arena, pairs ...any) *fastjson.Value {
	o := a.NewObject()
	for i := 0; i < len(pairs); i += 2 {
		o.Set(pairs[i].(string), a.NewNumberFloat64(pairs[i+1].(float64)))
	}
	return o
}
