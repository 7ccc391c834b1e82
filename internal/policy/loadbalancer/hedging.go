package loadbalancer

import (
	"slices"
	"time"
)

// Hedged requests (Dean and Barroso, "The Tail at Scale", 2013). Inputs: the latencies of served reads. A request that may run more than
// once, and that has waited longer than the hedgeQuantile of recent read latencies, gets a second attempt elsewhere within the hedge
// budget (retrybudget.go). Nothing is hedged before minSamples latencies are known.
const (
	hedgeQuantile    = 0.95 // one request in twenty waits longer, which matches the default hedge budget
	latencySamples   = 256  // reads; about twelve of them are above the quantile
	minSamples       = latencySamples / 4
	quantileInterval = latencySamples / 8 // new samples between two computations of the quantile, each of which sorts all samples
)

// latencyQuantile computes the hedgeQuantile of recent latencies from a ring of samples.
type latencyQuantile struct {
	samples  []float64 // seconds
	next     int       // index of the oldest sample
	added    int       // samples since the quantile was computed
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

// HedgeDelay returns how long a request that may run more than once waits for its answer before it is hedged. It returns false while too
// few latencies are known.
func (b *Balancer) HedgeDelay() (time.Duration, bool) { return b.latency.get() }

// AllowHedge reports whether the hedge budget has a token for a hedged request, and takes it.
func (b *Balancer) AllowHedge() bool {
	if !b.hedges.withdraw() {
		b.counts.HedgesDenied++
		return false
	}
	b.counts.Hedged++
	return true
}
