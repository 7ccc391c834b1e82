// Package builtinworker is a stand-in for the platform's interpreter. It implements the interpreter protocol over TCP, from the
// protocol's public description. A process that starts without a configuration runs its requests on it: each run echoes the body of
// its request after a typical run time. Tests and benchmarks use it as their interpreter and inject faults into it.
//
// machine.go models the machine without I/O, clocks or goroutines: every call passes the time since the start.
package builtinworker

import (
	"math"
	"time"
)

// Shape defines the throughput of a machine as a function of its concurrent runs. Up to Knee runs, each proceeds at Speed. Above the
// knee, total throughput falls: n runs together complete Speed × Knee / (1 + Thrash × (n/Knee - 1)) work-seconds a second.
type Shape struct {
	Knee   float64 // concurrent runs above which throughput falls; services have to discover it
	Thrash float64 // slope of the fall above the knee; 0: throughput stays constant
	Speed  float64 // work-seconds that one run completes a second, up to the knee
}

// Throughput returns the work-seconds that n concurrent runs complete a second.
func (s Shape) Throughput(n float64) float64 {
	if n <= s.Knee {
		return s.Speed * n
	}
	return s.Speed * s.Knee / (1 + s.Thrash*(n/s.Knee-1))
}

// Machine simulates a machine whose throughput is shared equally by its runs.
type Machine struct {
	shape         Shape
	now           time.Duration
	remainingWork map[string]float64 // work-seconds, by run
	order         []string           // runs in start order: makes the order of simultaneous ends deterministic
	runSeconds    float64            // integral of the number of runs over time
	busySeconds   float64            // integral over time of the number of busy cores, which never exceeds the field cores
	cores         float64
}

// NewMachine returns an idle machine. The number of cores only limits the busy cores of UsageIntegrals: throughput depends on shape
// alone.
func NewMachine(cores int, shape Shape) *Machine {
	return &Machine{shape: shape, remainingWork: map[string]float64{}, cores: float64(cores)}
}

// SetShape changes the shape of the machine at the given time.
func (m *Machine) SetShape(now time.Duration, shape Shape) {
	m.accrueWork(now)
	m.shape = shape
}

// Shape returns the current shape of the machine.
func (m *Machine) Shape() Shape { return m.shape }

// Running returns the number of runs in progress.
func (m *Machine) Running() int { return len(m.order) }

// Add starts a run with the given amount of work. It does nothing if a run with this ID is in progress.
func (m *Machine) Add(now time.Duration, id string, work time.Duration) {
	m.accrueWork(now)
	if _, running := m.remainingWork[id]; !running {
		m.remainingWork[id] = work.Seconds()
		m.order = append(m.order, id)
	}
}

// accrueWork advances the machine to the given time, up to which no run ends.
func (m *Machine) accrueWork(now time.Duration) {
	n := float64(len(m.order))
	if now <= m.now {
		return
	}
	dt := (now - m.now).Seconds()
	m.now = now
	m.runSeconds += n * dt
	m.busySeconds += min(n, m.cores) * dt
	if n == 0 {
		return
	}
	done := m.shape.Throughput(n) / n * dt
	for id := range m.remainingWork {
		m.remainingWork[id] -= done
	}
}

const workEpsilon = 1e-9 // work-seconds: a run with no more work left has ended

// NextEnd returns when the next run ends if no run is added and the shape stays the same. It returns false if no run will end.
func (m *Machine) NextEnd() (time.Duration, bool) {
	next := math.Inf(1)
	for _, w := range m.remainingWork {
		next = min(next, w)
	}
	rate := 0.0
	if n := float64(len(m.order)); n > 0 {
		rate = m.shape.Throughput(n) / n
	}
	if math.IsInf(next, 1) || rate <= 0 {
		return 0, false
	}
	return m.now + time.Duration(math.Ceil(max(0, next)/rate*1e9)), true
}

// Advance advances the machine to the given time and returns the runs that ended, in order of their ends.
func (m *Machine) Advance(now time.Duration) []string {
	var ended []string
	for {
		at, found := m.NextEnd()
		if !found || at > now {
			m.accrueWork(now)
			return ended
		}
		m.accrueWork(at)
		running := m.order[:0]
		for _, id := range m.order {
			if m.remainingWork[id] <= workEpsilon {
				delete(m.remainingWork, id)
				ended = append(ended, id)
			} else {
				running = append(running, id)
			}
		}
		m.order = running
	}
}

// UsageIntegrals returns the integrals of the number of runs and of the number of busy cores over time, in seconds since the start.
func (m *Machine) UsageIntegrals() (runs, busy float64) { return m.runSeconds, m.busySeconds }
