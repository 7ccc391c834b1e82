package admission

import (
	"fmt"
	"time"
)

// MemoryStages sets up the governor of memory: shares of a memory at which a stage begins, of the one that requests book on the
// machine and of the process's own alike. 0 is the default.
type MemoryStages struct {
	Tight    float64 // from here on large bodies are not taken and reads are not cached for others
	Scarce   float64 // the pools of less weight take no more in
	Critical float64 // only what is cheap and the repeats of what has run are taken
}

// MemoryStage is how short memory is.
type MemoryStage int

// The stages, in order.
const (
	Plenty MemoryStage = iota
	Tight
	Scarce
	Critical
)

// String names a stage, in the words of the status and the log.
func (s MemoryStage) String() string { return [...]string{"plenty", "tight", "scarce", "critical"}[s] }

// The decision module's own guard stands at 0.9 of the booked memory, so the stages before it are what makes memory give way in an
// order.
const (
	defaultTight    = 0.70
	defaultScarce   = 0.80
	defaultCritical = 0.88
	// stageHysteresis is how far below a stage's begin the memory must be, and stageHoldTime for how long, before the stage is left:
	// a stage that turns requests away frees the memory that it needs to end.
	stageHysteresis = 0.06
	stageExitDelay  = time.Second
)

func (m MemoryStages) withDefaults() MemoryStages {
	setDefault(&m.Tight, defaultTight)
	setDefault(&m.Scarce, defaultScarce)
	setDefault(&m.Critical, defaultCritical)
	return m
}

// setDefault sets a field that is 0.
func setDefault(field *float64, value float64) {
	if *field == 0 {
		*field = value
	}
}

func (m MemoryStages) check() error {
	m = m.withDefaults()
	for _, f := range []struct {
		name  string
		value float64
	}{{"tight", m.Tight}, {"scarce", m.Scarce}, {"critical", m.Critical}} {
		if !(f.value > 0 && f.value <= 1) {
			return fmt.Errorf("memory.%s: not over 0 and up to 1: %v", f.name, f.value)
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

// MemoryGovernor decides what gives way first when memory is short.
type MemoryGovernor struct {
	cfg             MemoryStages
	stage           MemoryStage
	belowSince      time.Duration // the memory has been below the stage's begin, less the hysteresis, since; 0: it is not
	booked, process float64       // shares in use
}

// NewMemoryGovernor returns a governor that has seen nothing yet.
func NewMemoryGovernor(m MemoryStages) *MemoryGovernor {
	return &MemoryGovernor{cfg: m.withDefaults()}
}

// Tick is told how much of either memory is in use, as shares. A stage is entered at once and left one at a time.
func (g *MemoryGovernor) Tick(now time.Duration, booked, process float64) {
	g.booked, g.process = booked, process
	used := max(booked, process)
	for s := Critical; s > g.stage; s-- {
		if used >= g.threshold(s) {
			g.stage, g.belowSince = s, 0
			return
		}
	}
	if g.stage == Plenty || used >= g.threshold(g.stage)-stageHysteresis {
		g.belowSince = 0
		return
	}
	if g.belowSince == 0 {
		g.belowSince = max(1, now)
	} else if now-g.belowSince >= stageExitDelay {
		g.stage, g.belowSince = g.stage-1, 0
	}
}

// threshold is the share at which a stage begins.
func (g *MemoryGovernor) threshold(s MemoryStage) float64 {
	switch s {
	case Tight:
		return g.cfg.Tight
	case Scarce:
		return g.cfg.Scarce
	}
	return g.cfg.Critical
}

// Stage is how short memory is.
func (g *MemoryGovernor) Stage() MemoryStage { return g.stage }

// Admits reports whether a request of a pool may wait; the rank is its pool's among the others, from 0 to 1.
func (g *MemoryGovernor) Admits(rank float64) bool {
	switch g.stage {
	case Scarce:
		return rank >= 0.5
	case Critical: // what the stage has freed goes to the pool of most weight; the stage itself ends later
		return rank >= 1 && max(g.booked, g.process) < g.cfg.Critical
	}
	return true
}

// MaxBody is the largest body that is taken in a stage, in the unit of the largest that there is.
func (s MemoryStage) MaxBody(largest int) int {
	switch s {
	case Plenty:
		return largest
	case Tight:
		return largest / 2
	}
	return largest / 4
}
