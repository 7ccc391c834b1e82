package idempotency

import "time"

// Terms are the settings of a class that determine how long its runs are retained.
type Terms struct {
	Window   time.Duration // maximum distance between the arrivals of a run and of an attempt that repeats it
	Deadline time.Duration // longest time between an attempt's arrival and its answer
}

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
