package core

import (
	"testing"
	"time"
)

// Two attempts belong together if they reached the machine within a window of each other, whichever was read first.
func TestWithinWindow(t *testing.T) {
	const window = 2 * time.Second
	ranAt := time.Now()
	for distance, want := range map[time.Duration]bool{0: true, window: true, window + windowSlack: true, window + windowSlack + 1: false} {
		for _, receivedAt := range []time.Time{ranAt.Add(distance), ranAt.Add(-distance)} {
			if got := withinWindow(receivedAt, ranAt, window); got != want {
				t.Errorf("received %v after the run: within the window is %v", receivedAt.Sub(ranAt), got)
			}
		}
	}
}
