package configstore

import "time"

// Windows of classes that shrink. Inputs: the windows and deadlines of the classes in each new version of the settings, and the time at
// which it comes. Clients may still act on the old window for a while, so a class keeps it until no request that ran under it can be
// repeated.

// ClassWindow is the window in which requests of a class may be repeated.
type ClassWindow struct {
	Window   time.Duration // 0 if requests of the class may not be repeated
	Deadline time.Duration // how long a caller waits
}

// WindowTransitions has the windows of the latest version of the settings, and those of earlier versions that are still in effect. It is
// immutable; the zero value has no classes. All times are from one monotonic clock.
type WindowTransitions struct {
	target map[string]ClassWindow  // of the latest version, by class
	held   map[string][]heldWindow // of earlier versions, by class
}

// heldWindow is a window of an earlier version, with the time until which it is in effect.
type heldWindow struct {
	window time.Duration
	until  time.Duration
}

// Change returns the transitions after a new version of the settings with the given windows, by class. A version with the same windows as
// the one before does not prolong the transitions in progress.
func (t WindowTransitions) Change(now time.Duration, next map[string]ClassWindow) WindowTransitions {
	changed := WindowTransitions{target: next, held: map[string][]heldWindow{}}
	for class, list := range t.held {
		for _, h := range list {
			if now < h.until {
				changed.held[class] = append(changed.held[class], h)
			}
		}
	}
	for class, old := range t.target {
		window, remaining := TransitionWindow(old.Window, next[class].Window, max(old.Deadline, next[class].Deadline))
		if remaining > 0 {
			changed.held[class] = append(changed.held[class], heldWindow{window, now + remaining})
		}
	}
	return changed
}

// Window returns the window of a class that is in effect now: the longest of its own and of those of earlier versions that have not ended.
func (t WindowTransitions) Window(now time.Duration, class string) time.Duration {
	longest := t.target[class].Window
	for _, h := range t.held[class] {
		if now < h.until {
			longest = max(longest, h.window)
		}
	}
	return longest
}

// NextEnd returns the time at which the next window of an earlier version ends, and false if none is in effect.
func (t WindowTransitions) NextEnd(now time.Duration) (next time.Duration, ok bool) {
	for _, list := range t.held {
		for _, h := range list {
			if now < h.until && (!ok || h.until < next) {
				next, ok = h.until, true
			}
		}
	}
	return next, ok
}
