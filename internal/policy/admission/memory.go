package admission

import (
	"fmt"
	"time"
)

// MemoryStages configures a [MemoryGovernor]. Each field is the used fraction at which a stage begins. It applies to the memory that
// requests book on the machine and to the memory of the process. A field of 0 takes its default.
type MemoryStages struct {
	Tight    float64 // large bodies are rejected, and reads are not cached for other requests
	Scarce   float64 // pools of lower weight admit no requests
	Critical float64 // only cheap calls and repeats of executed requests are admitted
}

// MemoryStage is a level of memory shortage.
type MemoryStage int

// The memory stages in ascending order.
const (
	Plenty MemoryStage = iota
	Tight
	Scarce
	Critical
)

// String returns the name of a stage as it appears in the status and the log.
func (s MemoryStage) String() string { return [...]string{"plenty", "tight", "scarce", "critical"}[s] }

// The decision module rejects all new requests at 0.9 of the booked memory. The stages begin below that, so that requests of low
// priority are rejected first.
const (
	defaultTight    = 0.70
	defaultScarce   = 0.80
	defaultCritical = 0.88
	// A stage ends once memory use has been stageHysteresis below its threshold for stageExitDelay. The rejections of a stage themselves
	// lower memory use, so without hysteresis the stage would end and begin repeatedly.
	stageHysteresis = 0.06
	stageExitDelay  = time.Second
)

func (m MemoryStages) withDefaults() MemoryStages {
	setDefault(&m.Tight, defaultTight)
	setDefault(&m.Scarce, defaultScarce)
	setDefault(&m.Critical, defaultCritical)
	return m
}

// setDefault sets a field that is 0 to its default.
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

// MemoryGovernor decides which requests and bodies are rejected when memory is short.
type MemoryGovernor struct {
	cfg             MemoryStages
	stage           MemoryStage
	belowSince      time.Duration // time since which memory use is below the threshold less the hysteresis; 0: it is not
	booked, process float64       // used fractions
}

// NewMemoryGovernor returns a governor in the stage Plenty.
func NewMemoryGovernor(m MemoryStages) *MemoryGovernor {
	return &MemoryGovernor{cfg: m.withDefaults()}
}

// Tick takes the used fractions of booked and process memory. A higher stage begins at once. Stages end one at a time.
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

// threshold returns the used fraction at which a stage begins.
func (g *MemoryGovernor) threshold(s MemoryStage) float64 {
	switch s {
	case Tight:
		return g.cfg.Tight
	case Scarce:
		return g.cfg.Scarce
	}
	return g.cfg.Critical
}

// Stage returns the current stage.
func (g *MemoryGovernor) Stage() MemoryStage { return g.stage }

// Admits reports whether a request of a pool may be queued. rank is the position of the pool among all pools by weight, from 0 to 1.
func (g *MemoryGovernor) Admits(rank float64) bool {
	switch g.stage {
	case Scarce:
		return rank >= 0.5
	case Critical: // memory that became free is for the pool of the highest weight; the stage ends later
		return rank >= 1 && max(g.booked, g.process) < g.cfg.Critical
	}
	return true
}

// MaxBody returns the largest body that is accepted in a stage, in the unit of largest, the limit without memory shortage.
func (s MemoryStage) MaxBody(largest int) int {
	switch s {
	case Plenty:
		return largest
	case Tight:
		return largest / 2
	}
	return largest / 4
}
