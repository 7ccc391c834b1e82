package idempotency

import "time"

// Terms are the settings of a class that determine how long its runs are retained.
type Terms struct {
	Window   time.Duration // maximum distance between the arrivals of a run and of an attempt that repeats it
	Deadline time.Duration // longest time between an attempt's arrival and its answer
}

// ReadDelay is how long after its arrival an attempt may still be read, beside the time that its caller waits. Keys are kept that long
// after the last moment at which an attempt with them can arrive.
const ReadDelay = 2 * time.Second

// Retention returns how long after the arrival of a run a further attempt of its request may still be read: the last attempt within the
// window is past its deadline then, even if it is read late.
func (t Terms) Retention() time.Duration { return t.Window + t.Deadline + ReadDelay }

// Max returns the longer of each of two terms.
func (t Terms) Max(other Terms) Terms {
	return Terms{max(t.Window, other.Window), max(t.Deadline, other.Deadline)}
}

// ClassTerms holds the terms of the idempotent classes in force, by class name.
//
// A run is retained by the longest terms that were in force since it arrived. Terms that become longer apply to earlier runs at once:
// otherwise their records would expire while a client may still repeat them. Terms that become shorter apply to later runs only.
type ClassTerms map[string]Terms

// Longest returns the longest window and the longest deadline of all classes.
func (c ClassTerms) Longest() (longest Terms) {
	for _, terms := range c {
		longest = longest.Max(terms)
	}
	return longest
}

// Of returns the terms of a class. If the class is not known, because the name is empty or the class was renamed or removed, it returns
// the longest terms of all classes: a retry of the run may arrive under any of them.
func (c ClassTerms) Of(class string) Terms {
	if terms, ok := c[class]; ok {
		return terms
	}
	return c.Longest()
}

// OfRecord returns the terms of a stored run, whose class is not stored: those of all classes that had its window when the store was last
// in use, by the classes of that time. If none had it, it returns the longest terms, as the run may be of any class.
func (c ClassTerms) OfRecord(window time.Duration, lastInUse ClassTerms) Terms {
	terms, found := Terms{}, false
	for class, old := range lastInUse {
		if old.Window == window {
			terms, found = terms.Max(old).Max(c.Of(class)), true
		}
	}
	if !found {
		return lastInUse.Longest().Max(c.Longest())
	}
	return terms
}

// Extend returns the record with the given terms applied to it, and whether that changes it. Shorter terms change nothing.
func (r Record) Extend(terms Terms) (Record, bool) {
	ranAt := r.ReceivedAt
	if r.State == Moved { // a router may have it run elsewhere from then on
		ranAt = r.RecordedAt
	}
	window, expiresAt := max(r.Window, terms.Window), max(r.ExpiresAt, ranAt+terms.Retention())
	extended := window != r.Window || expiresAt != r.ExpiresAt
	r.Window, r.ExpiresAt = window, expiresAt
	return r, extended
}
