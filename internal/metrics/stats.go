// Package metrics counts what the service takes in, sends and answers. It belongs to no wire: every front, the
// signal handler and any agent that reports figures read the same counters.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Counters is a set of named counters. The zero value is ready; it is safe for concurrent use.
type Counters struct {
	mu      sync.Mutex
	n       map[string]uint64
	timings map[string]*Timing
}

// counterName joins the parts of a counter's name. A part may come off the wire, so blanks in it are replaced.
func counterName(parts []string) string {
	return strings.Join(strings.Fields(strings.Join(parts, ".")), "_")
}

// Add adds to the counter with the given parts of a name, such as front, class and outcome.
func (c *Counters) Add(n uint64, parts ...string) {
	key := counterName(parts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]uint64{}
	}
	c.n[key] += n
}

// Set sets the counter: of what is measured and not counted.
func (c *Counters) Set(n uint64, parts ...string) {
	key := counterName(parts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]uint64{}
	}
	c.n[key] = n
}

// Inc adds 1.
func (c *Counters) Inc(parts ...string) { c.Add(1, parts...) }

// Get returns a counter's value, 0 for one never added to.
func (c *Counters) Get(parts ...string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n[counterName(parts)]
}

// Snapshot returns a copy of all counters.
func (c *Counters) Snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.n)
}

// Timing returns the histogram of a name, a new one at first.
func (c *Counters) Timing(parts ...string) *Timing {
	key := counterName(parts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timings == nil {
		c.timings = map[string]*Timing{}
	}
	if c.timings[key] == nil {
		c.timings[key] = newTiming(key)
	}
	return c.timings[key]
}

// Timings returns all histograms in the order of their names.
func (c *Counters) Timings() []*Timing {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Timing
	for _, key := range slices.Sorted(maps.Keys(c.timings)) {
		list = append(list, c.timings[key])
	}
	return list
}

// Print writes every counter and every timing, a line each, in the order of their names.
func (c *Counters) Print(w io.Writer) {
	all := c.Snapshot()
	for _, key := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(w, "counter %s %d\n", key, all[key])
	}
	for _, t := range c.Timings() {
		t.Print(w)
	}
}
