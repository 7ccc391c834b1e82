package core

import (
	"testing"
	"time"
)

// Two attempts belong together by how far apart they reached the machine, whichever was read first.
func TestWithinWindow(t *testing.T) {
	const window = 2 * time.Second
	ran := time.Now()
	for apart, want := range map[time.Duration]bool{0: true, window: true, window + windowSlack: true, window + windowSlack + 1: false} {
		for _, reached := range []time.Time{ran.Add(apart), ran.Add(-apart)} {
			if got := withinWindow(reached, ran, window); got != want {
				t.Errorf("%v after the run: %v", reached.Sub(ran), got)
			}
		}
	}
}
