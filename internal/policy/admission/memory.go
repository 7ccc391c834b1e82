package admission

import (
	"fmt"
	"time"
)

// Memory sets up the governor: shares of a memory at which a stage begins, of the one that requests book on the
// machine and of the process's own alike. 0 is the default.
type Memory struct {
	Tight    float64 // from here on large bodies are not taken and reads are not kept for others
	Scarce   float64 // the pools of less weight take no more in
	Critical float64 // only what is cheap and the repeats of what has run are taken
}

// Stage is how short memory is.
type Stage int

const (
	Plenty Stage = iota
	Tight
	Scarce
	Critical
)

func (s Stage) String() string { return [...]string{"plenty", "tight", "scarce", "critical"}[s] }

// The defaults. The module's own guard stands at 0.9 of the booked memory, so the stages before it are what makes
// memory give way in an order.
const (
	tightAt    = 0.70
	scarceAt   = 0.80
	criticalAt = 0.88
	// relief is how far under a stage's begin the memory must be, and for how long, before the stage is left: a
	// stage that turns requests away frees the memory that it needs to end.
	relief    = 0.06
	reliefFor = time.Second
)

func (m Memory) complete() Memory {
	for _, f := range []struct {
		to *float64
		by float64
	}{{&m.Tight, tightAt}, {&m.Scarce, scarceAt}, {&m.Critical, criticalAt}} {
		if *f.to == 0 {
			*f.to = f.by
		}
	}
	return m
}

func (m Memory) check() error {
	m = m.complete()
	for _, f := range []struct {
		name string
		v    float64
	}{{"tight", m.Tight}, {"scarce", m.Scarce}, {"critical", m.Critical}} {
		if !(f.v > 0 && f.v <= 1) {
			return fmt.Errorf("memory.%s: not over 0 and up to 1: %v", f.name, f.v)
		}
	}
	if m.Scarce < m.Tight {
		return fmt.Errorf("memory.scarce: under memory.tight: %v", m.Scarce)
	}
	if m.Critical < m.Scarce {
		return fmt.Errorf("memory.critical: under memory.scarce: %v", m.Critical)
	}
	return nil
}

// Governor decides what gives way first when memory is short.
type Governor struct {
	cfg             Memory
	stage           Stage
	calmSince       time.Duration // the memory has been under the stage's relief since; 0: it is not
	booked, process float64
}

// NewGovernor returns a governor that has seen nothing yet.
func NewGovernor(m Memory) *Governor { return &Governor{cfg: m.complete()} }

// Tick is told how much of either memory is in use. A stage is entered at once and left one at a time.
func (g *Governor) Tick(now time.Duration, booked, process float64) {
	g.booked, g.process = booked, process
	used := max(booked, process)
	for s := Critical; s > g.stage; s-- {
		if used >= g.begin(s) {
			g.stage, g.calmSince = s, 0
			return
		}
	}
	if g.stage == Plenty || used >= g.begin(g.stage)-relief {
		g.calmSince = 0
		return
	}
	if g.calmSince == 0 {
		g.calmSince = max(1, now)
	} else if now-g.calmSince >= reliefFor {
		g.stage, g.calmSince = g.stage-1, 0
	}
}

func (g *Governor) begin(s Stage) float64 {
	switch s {
	case Tight:
		return g.cfg.Tight
	case Scarce:
		return g.cfg.Scarce
	}
	return g.cfg.Critical
}

// Stage is how short memory is.
func (g *Governor) Stage() Stage { return g.stage }

// Admits reports whether a request of a pool may wait; the rank is its pool's among the others, from 0 to 1.
func (g *Governor) Admits(rank float64) bool {
	switch g.stage {
	case Scarce:
		return rank >= 0.5
	case Critical: // what the stage has freed goes to the pool of most weight; the stage itself ends later
		return rank >= 1 && max(g.booked, g.process) < g.cfg.Critical
	}
	return true
}

// Body is the largest body that is taken in a stage, of the largest that there is.
func (s Stage) Body(most int) int {
	switch s {
	case Plenty:
		return most
	case Tight:
		return most / 2
	}
	return most / 4
}
