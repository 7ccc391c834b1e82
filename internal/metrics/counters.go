// Package metrics has the counters and timings of a process. Fronts, clients and controllers count by it; the state as JSON, SNMP, the
// admin API and SIGUSR1 show them. Their names are a wire: operators' tools read them.
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

// counterName joins the parts of a name by dots. A part may come off the wire, so that blanks in it are replaced: it must not forge a
// line of its own.
func counterName(parts []string) string {
	return strings.Join(strings.Fields(strings.Join(parts, ".")), "_")
}

// Add adds n to the counter with the given parts of a name, such as event, front and class.
func (c *Counters) Add(n uint64, parts ...string) {
	key := counterName(parts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]uint64{}
	}
	c.n[key] += n
}

// Set sets the counter to n: for what is measured and not counted, such as a size or a state.
func (c *Counters) Set(n uint64, parts ...string) {
	key := counterName(parts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]uint64{}
	}
	c.n[key] = n
}

// Inc adds 1 to the counter.
func (c *Counters) Inc(parts ...string) { c.Add(1, parts...) }

// Get returns the counter's value, 0 for one that was never added to.
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

// Timing returns the timing of a name, a new one at the first call. Callers that record often keep it.
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

// Timings returns all timings in the order of their names.
func (c *Counters) Timings() []*Timing {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Timing
	for _, key := range slices.Sorted(maps.Keys(c.timings)) {
		list = append(list, c.timings[key])
	}
	return list
}

// Print writes every counter and every timing, a line each, in the order of their names. Write errors are dropped: it writes to the
// process's log.
func (c *Counters) Print(w io.Writer) {
	all := c.Snapshot()
	for _, key := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(w, "counter %s %d\n", key, all[key])
	}
	for _, t := range c.Timings() {
		t.Print(w)
	}
}
