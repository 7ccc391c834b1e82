// Package metrics implements the counters and timings of a process. Fronts, clients and controllers update them; the JSON status, the
// SNMP agent, the admin API and SIGUSR1 expose them. Their names are part of the external interface, since operators' tools read
// them.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
)

// Counters is a set of named counters and timings. The zero value is ready to use. It is safe for concurrent use.
type Counters struct {
	mu      sync.Mutex
	values  map[string]uint64
	timings map[string]*Timing
}

// counterName joins the parts of a name with dots and replaces whitespace with underscores. A part may come from a request; without
// the replacement a line break in it could forge a line of the printed counters.
func counterName(parts []string) string {
	return strings.Join(strings.Fields(strings.Join(parts, ".")), "_")
}

// Add adds n to the counter whose name has the given parts, for example event, front and class.
func (c *Counters) Add(n uint64, parts ...string) {
	key := counterName(parts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.values == nil {
		c.values = map[string]uint64{}
	}
	c.values[key] += n
}

// Set sets the counter to n. It is used for gauges, such as a size or a state.
func (c *Counters) Set(n uint64, parts ...string) {
	key := counterName(parts)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.values == nil {
		c.values = map[string]uint64{}
	}
	c.values[key] = n
}

// Inc adds 1 to the counter.
func (c *Counters) Inc(parts ...string) { c.Add(1, parts...) }

// Get returns the value of the counter, or 0 if it does not exist.
func (c *Counters) Get(parts ...string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[counterName(parts)]
}

// Snapshot returns a copy of all counters.
func (c *Counters) Snapshot() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.values)
}

// Timing returns the timing with the given name and creates it at the first call. Callers that record often should keep the result.
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

// Timings returns all timings, sorted by name.
func (c *Counters) Timings() []*Timing {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*Timing
	for _, key := range slices.Sorted(maps.Keys(c.timings)) {
		list = append(list, c.timings[key])
	}
	return list
}

// Print writes all counters and then all timings, one per line and each sorted by name. It ignores write errors, since it writes to
// the log of the process.
func (c *Counters) Print(w io.Writer) {
	counters := c.Snapshot()
	for _, key := range slices.Sorted(maps.Keys(counters)) {
		fmt.Fprintf(w, "counter %s %d\n", key, counters[key])
	}
	for _, t := range c.Timings() {
		t.Print(w)
	}
}
