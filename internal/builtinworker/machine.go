// Package builtinworker is an interpreter of the project's own, which speaks the platform's protocol over real sockets, written
// from its public description. A start without a configuration has its work done by it: what came is sent back, after as long as
// the operators' own work typically takes. Tests and measurements use it as the interpreter too, with troubles put into it.
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

// Plant is a machine whose cores are shared evenly by all that runs on them.
type Plant struct {
	shape Shape
	now   time.Duration
	left  map[string]float64 // work-seconds
	order []string           // of starting, so that ends at one time come in a fixed order
	area  float64            // runs × seconds so far
	busy  float64            // busy cores × seconds so far, of the cores told
	cores float64
}

// NewPlant returns an idle machine that says that it has the given cores.
func NewPlant(cores int, shape Shape) *Plant {
	return &Plant{shape: shape, left: map[string]float64{}, cores: float64(cores)}
}

// Reshape changes the machine from a time on.
func (p *Plant) Reshape(now time.Duration, shape Shape) {
	p.pass(now)
	p.shape = shape
}

// Shape returns how the machine is.
func (p *Plant) Shape() Shape { return p.shape }

// Running is the number of runs on the cores.
func (p *Plant) Running() int { return len(p.order) }

// Add starts a run of the given work.
func (p *Plant) Add(now time.Duration, id string, work time.Duration) {
	p.pass(now)
	if _, runs := p.left[id]; !runs {
		p.left[id] = work.Seconds()
		p.order = append(p.order, id)
	}
}

// pass lets the time pass in which nothing ends.
func (p *Plant) pass(now time.Duration) {
	n := float64(len(p.order))
	if now <= p.now {
		return
	}
	dt := (now - p.now).Seconds()
	p.now = now
	p.area += n * dt
	p.busy += min(n, p.cores) * dt
	if n == 0 {
		return
	}
	done := p.shape.Throughput(n) / n * dt
	for id := range p.left {
		p.left[id] -= done
	}
}

const settled = 1e-9 // work-seconds below which a run has ended

// Next is when the next run ends if nothing changes; false where none will.
func (p *Plant) Next() (time.Duration, bool) {
	least := math.Inf(1)
	for _, w := range p.left {
		least = min(least, w)
	}
	each := 0.0
	if n := float64(len(p.order)); n > 0 {
		each = p.shape.Throughput(n) / n
	}
	if math.IsInf(least, 1) || each <= 0 {
		return 0, false
	}
	return p.now + time.Duration(math.Ceil(max(0, least)/each*1e9)), true
}

// Advance lets time pass and returns the runs that ended, in the order in which they did.
func (p *Plant) Advance(now time.Duration) []string {
	var ended []string
	for {
		at, some := p.Next()
		if !some || at > now {
			p.pass(now)
			return ended
		}
		p.pass(at)
		kept := p.order[:0]
		for _, id := range p.order {
			if p.left[id] <= settled {
				delete(p.left, id)
				ended = append(ended, id)
			} else {
				kept = append(kept, id)
			}
		}
		p.order = kept
	}
}

// Integrals returns runs × seconds and busy cores × seconds since the start.
func (p *Plant) Integrals() (runs, busy float64) { return p.area, p.busy }
