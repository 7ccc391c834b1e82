package admission

import (
	"testing"
	"time"
)

// Memory stages begin at once and end one at a time. Memory use that fluctuates around a threshold does not change the stage repeatedly.
func TestMemoryStagesEnterAtOnceAndLeaveOneByOne(t *testing.T) {
	g := NewMemoryGovernor(MemoryStages{})
	changes, lastStage := 0, Plenty
	tick := func(now time.Duration, booked, process float64) MemoryStage {
		g.Tick(now, booked, process)
		if g.Stage() != lastStage {
			changes, lastStage = changes+1, g.Stage()
		}
		return g.Stage()
	}
	if tick(0, 0.5, 0.2) != Plenty || tick(1, 0.95, 0.2) != Critical || tick(2, 0.1, 0.95) != Critical {
		t.Fatalf("stage %v, want critical", g.Stage())
	}
	if tick(3, 0.95, 0.2); g.Admits(1) {
		t.Error("the critical stage admits a new request")
	}
	for now := time.Second; now < 30*time.Second; now += tickInterval { // around the threshold of Scarce
		tick(now, 0.80+0.015*float64(int(now/tickInterval)%3-1), 0)
	}
	if g.Stage() != Scarce || changes > 4 {
		t.Errorf("stage %v after %d changes, want scarce after at most 4", g.Stage(), changes)
	}
	if g.Admits(0) || !g.Admits(1) || Scarce.MaxBody(2048) != 512 {
		t.Error("scarce: want pools of lower weight rejected, pools of higher weight admitted and bodies limited to a quarter")
	}
	for now := 30 * time.Second; now < 40*time.Second; now += tickInterval {
		tick(now, 0.2, 0.2)
	}
	if g.Stage() != Plenty {
		t.Errorf("final stage %v, want plenty", g.Stage())
	}
}
