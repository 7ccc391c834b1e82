package admission

import (
	"testing"
	"time"
)

// A memory stage is entered at once and left one at a time, and does not swing about its bound.
func TestMemoryStagesEnterAtOnceAndLeaveOneByOne(t *testing.T) {
	g := NewMemoryGovernor(MemoryStages{})
	changes, last := 0, Plenty
	at := func(now time.Duration, booked, process float64) MemoryStage {
		g.Tick(now, booked, process)
		if g.Stage() != last {
			changes, last = changes+1, g.Stage()
		}
		return g.Stage()
	}
	if at(0, 0.5, 0.2) != Plenty || at(1, 0.95, 0.2) != Critical || at(2, 0.1, 0.95) != Critical {
		t.Fatalf("stage %v", g.Stage())
	}
	if at(3, 0.95, 0.2); g.Admits(1) {
		t.Error("a critical stage takes something new")
	}
	for now := time.Second; now < 30*time.Second; now += tickInterval { // about the bound of Scarce
		at(now, 0.80+0.015*float64(int(now/tickInterval)%3-1), 0)
	}
	if g.Stage() != Scarce || changes > 4 {
		t.Errorf("stage %v after %d changes", g.Stage(), changes)
	}
	if g.Admits(0) || !g.Admits(1) || Scarce.MaxBody(2048) != 512 {
		t.Error("scarce: the pools of less weight go first, and large bodies")
	}
	for now := 30 * time.Second; now < 40*time.Second; now += tickInterval {
		at(now, 0.2, 0.2)
	}
	if g.Stage() != Plenty {
		t.Errorf("stage %v in the end", g.Stage())
	}
}
