package metrics

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Timing is a histogram of durations from 1 µs to 1 minute. It is safe for concurrent use.
type Timing struct {
	Name      string // the name's parts, joined by dots
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newTiming(name string) *Timing {
	return &Timing{Name: name, histogram: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
}

// Record adds a duration. Durations above one minute count as one minute.
func (t *Timing) Record(d time.Duration) {
	t.mu.Lock()
	_ = t.histogram.RecordValue(min(int64(time.Minute/time.Microsecond), max(0, d.Microseconds())))
	t.mu.Unlock()
}

// Percentile returns the duration that the given percentage (0 to 100) of the recorded durations do not exceed, and the number of
// recorded durations.
func (t *Timing) Percentile(percent float64) (time.Duration, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.histogram.ValueAtQuantile(percent)) * time.Microsecond, t.histogram.TotalCount()
}

// Print writes the count, the main quantiles and the maximum as one line.
func (t *Timing) Print(w io.Writer) {
	p50, n := t.Percentile(50)
	p99, _ := t.Percentile(99)
	p999, _ := t.Percentile(99.9)
	maximum, _ := t.Percentile(100)
	fmt.Fprintf(w, "timing %s n=%d p50=%v p99=%v p99.9=%v max=%v\n", t.Name, n, p50, p99, p999, maximum)
}
