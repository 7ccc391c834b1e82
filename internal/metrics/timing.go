package metrics

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Timing is a histogram of times, from a microsecond to a minute. It is safe for concurrent use.
type Timing struct {
	Name string // its parts joined by dots
	mu   sync.Mutex
	h    *hdrhistogram.Histogram
}

func newTiming(name string) *Timing {
	return &Timing{Name: name, h: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2)}
}

// Record adds a time. One beyond a minute counts as a minute.
func (t *Timing) Record(d time.Duration) {
	t.mu.Lock()
	_ = t.h.RecordValue(min(int64(time.Minute/time.Microsecond), max(0, d.Microseconds())))
	t.mu.Unlock()
}

// Quantile returns the time that the given percentage of the recorded times do not exceed, from 0 to 100, and how many times were
// recorded.
func (t *Timing) Quantile(quantile float64) (time.Duration, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(t.h.ValueAtQuantile(quantile)) * time.Microsecond, t.h.TotalCount()
}

// Print writes the timing as a line.
func (t *Timing) Print(w io.Writer) {
	p50, n := t.Quantile(50)
	p99, _ := t.Quantile(99)
	p999, _ := t.Quantile(99.9)
	longest, _ := t.Quantile(100)
	fmt.Fprintf(w, "timing %s n=%d p50=%v p99=%v p99.9=%v max=%v\n", t.Name, n, p50, p99, p999, longest)
}
