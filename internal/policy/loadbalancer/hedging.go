package loadbalancer

import (
	"slices"
	"time"
)

// Hedged requests (Dean and Barroso, "The Tail at Scale", 2013). Inputs: the latencies of reads that were served. A request that may
// run more than once and waits longer than hedgeQuantile of recent reads took gets a second attempt elsewhere, within the hedge
// budget: retrybudget.go. Nothing is hedged until a quarter of latencySamples is there.
const (
	hedgeQuantile    = 0.95 // one request in twenty waits as long, as many as the budget pays for
	latencySamples   = 256  // reads; the quantile rests on the twelve slowest
	minSamples       = latencySamples / 4
	quantileInterval = latencySamples / 8 // new samples until the quantile is taken again, as that sorts them all
)

// latencyQuantile is the hedgeQuantile of recent latencies, over a ring of samples.
type latencyQuantile struct {
	samples  []float64 // seconds
	next     int       // the oldest sample
	added    int       // since the quantile was taken
	quantile time.Duration
}

func (l *latencyQuantile) add(seconds float64) {
	l.added++
	if len(l.samples) < latencySamples {
		l.samples = append(l.samples, seconds)
		return
	}
	l.samples[l.next] = seconds
	l.next = (l.next + 1) % latencySamples
}

func (l *latencyQuantile) get() (time.Duration, bool) {
	if len(l.samples) < minSamples {
		return 0, false
	}
	if l.added >= quantileInterval {
		sorted := slices.Clone(l.samples)
		slices.Sort(sorted)
		l.quantile = time.Duration(sorted[int(hedgeQuantile*float64(len(sorted)-1))] * float64(time.Second))
		l.added = 0
	}
	return l.quantile, true
}

// HedgeDelay is how long a request that may run more than once waits for its answer before it is hedged; false while too few latencies
// are known.
func (b *Balancer) HedgeDelay() (time.Duration, bool) { return b.latency.get() }

// AllowHedge reports whether a hedged request may be sent, and takes it from the budget.
func (b *Balancer) AllowHedge() bool {
	if !b.hedges.withdraw() {
		b.counts.HedgesSpent++
		return false
	}
	b.counts.Hedged++
	return true
}
