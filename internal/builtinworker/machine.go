// Package builtinworker is an interpreter of the project's own, which speaks the platform's protocol over real sockets, written
// from its public description. A start without a configuration has its work done by it: what came is sent back, after as long as
// the operators' own work typically takes. Tests and measurements use it as the interpreter too, with faults put into it.
//
// This file is its machine: no I/O, no clock, no goroutine. Time comes in with every call, counted from the start.
package builtinworker

import (
	"math"
	"time"
)

// Shape is how a machine's throughput depends on what runs on it. Up to Knee runs each has a core of Speed; past it
// every further run takes from all of them: n runs get Speed × Knee / (1 + Thrash × (n/Knee - 1)) done together.
type Shape struct {
	Knee   float64 // the point of collapse, in runs: what a service has to find out by itself
	Thrash float64 // how steeply throughput falls past it; 0: not at all
	Speed  float64 // work-seconds that a core does in a second
}

// Throughput is the work-seconds that n runs get done in a second.
func (s Shape) Throughput(n float64) float64 {
	if n <= s.Knee {
		return s.Speed * n
	}
	return s.Speed * s.Knee / (1 + s.Thrash*(n/s.Knee-1))
}

// Machine is a machine whose cores are shared evenly by all that runs on them.
type Machine struct {
	shape       Shape
	now         time.Duration
	left        map[string]float64 // work-seconds
	order       []string           // of starting, so that ends at one time come in a fixed order
	runSeconds  float64            // runs × seconds so far
	busySeconds float64            // busy cores × seconds so far, of the cores told
	cores       float64
}

// NewMachine returns an idle machine that says that it has the given cores.
func NewMachine(cores int, shape Shape) *Machine {
	return &Machine{shape: shape, left: map[string]float64{}, cores: float64(cores)}
}

// Reshape changes the machine from a time on.
func (p *Machine) Reshape(now time.Duration, shape Shape) {
	p.elapse(now)
	p.shape = shape
}

// Shape returns how the machine is.
func (p *Machine) Shape() Shape { return p.shape }

// Running is the number of runs on the cores.
func (p *Machine) Running() int { return len(p.order) }

// Add starts a run of the given work.
func (p *Machine) Add(now time.Duration, id string, work time.Duration) {
	p.elapse(now)
	if _, runs := p.left[id]; !runs {
		p.left[id] = work.Seconds()
		p.order = append(p.order, id)
	}
}

// elapse lets the time pass in which nothing ends.
func (p *Machine) elapse(now time.Duration) {
	n := float64(len(p.order))
	if now <= p.now {
		return
	}
	dt := (now - p.now).Seconds()
	p.now = now
	p.runSeconds += n * dt
	p.busySeconds += min(n, p.cores) * dt
	if n == 0 {
		return
	}
	done := p.shape.Throughput(n) / n * dt
	for id := range p.left {
		p.left[id] -= done
	}
}

const minWork = 1e-9 // work-seconds below which a run has ended

// NextEnd is when the next run ends if nothing changes; false where none will.
func (p *Machine) NextEnd() (time.Duration, bool) {
	next := math.Inf(1)
	for _, w := range p.left {
		next = min(next, w)
	}
	each := 0.0
	if n := float64(len(p.order)); n > 0 {
		each = p.shape.Throughput(n) / n
	}
	if math.IsInf(next, 1) || each <= 0 {
		return 0, false
	}
	return p.now + time.Duration(math.Ceil(max(0, next)/each*1e9)), true
}

// Advance lets time pass and returns the runs that ended, in the order in which they did.
func (p *Machine) Advance(now time.Duration) []string {
	var ended []string
	for {
		at, found := p.NextEnd()
		if !found || at > now {
			p.elapse(now)
			return ended
		}
		p.elapse(at)
		running := p.order[:0]
		for _, id := range p.order {
			if p.left[id] <= minWork {
				delete(p.left, id)
				ended = append(ended, id)
			} else {
				running = append(running, id)
			}
		}
		p.order = running
	}
}

// Integrals returns runs × seconds and busy cores × seconds since the start.
func (p *Machine) Integrals() (runs, busy float64) { return p.runSeconds, p.busySeconds }
