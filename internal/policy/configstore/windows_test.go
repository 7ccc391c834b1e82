package configstore

import (
	"testing"
	"time"
)

// A class keeps a longer window until the window and a caller's patience are over, also if the same settings come again, if the class is
// away for a while, or if several changes follow each other. Longer windows are in effect at once.
func TestWindowTransitions(t *testing.T) {
	const second = time.Second
	windows := func(w time.Duration) map[string]ClassWindow { return map[string]ClassWindow{"a": {w, 2 * second}} }
	for name, c := range map[string]struct {
		changes map[time.Duration]map[string]ClassWindow // by their time
		want    map[time.Duration]time.Duration          // window by time
	}{
		"grows":        {map[time.Duration]map[string]ClassWindow{1: windows(30 * second)}, map[time.Duration]time.Duration{1: 30 * second}},
		"shrinks":      {map[time.Duration]map[string]ClassWindow{1: windows(5 * second)}, map[time.Duration]time.Duration{1: 10 * second, 12 * second: 10 * second, 12*second + 1: 5 * second}},
		"comes again":  {map[time.Duration]map[string]ClassWindow{1: windows(5 * second), 8 * second: windows(5 * second)}, map[time.Duration]time.Duration{12 * second: 10 * second, 12*second + 1: 5 * second}},
		"is away":      {map[time.Duration]map[string]ClassWindow{1: {}, 8 * second: windows(5 * second)}, map[time.Duration]time.Duration{12 * second: 10 * second, 12*second + 1: 5 * second}},
		"shrinks more": {map[time.Duration]map[string]ClassWindow{1: windows(5 * second), 10 * second: windows(second)}, map[time.Duration]time.Duration{12 * second: 10 * second, 13 * second: 5 * second, 17 * second: second}},
	} {
		transitions := WindowTransitions{}.Change(0, windows(10*second))
		for at := time.Duration(0); at <= 20*second; at += second {
			for _, now := range []time.Duration{at, at + 1} {
				if next, ok := c.changes[now]; ok {
					transitions = transitions.Change(now, next)
				}
				if want, ok := c.want[now]; ok && transitions.Window(now, "a") != want {
					t.Errorf("%s: window %v at %v, want %v", name, transitions.Window(now, "a"), now, want)
				}
			}
		}
		if end, ok := transitions.NextEnd(20 * second); ok {
			t.Errorf("%s: a window of earlier settings ends at %v, want none left", name, end)
		}
	}
}
