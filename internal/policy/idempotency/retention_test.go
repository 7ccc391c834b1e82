package idempotency

import (
	"testing"
	"time"
)

// A stored run, whose class is not stored, follows the classes that had its window when the store was last in use, and all classes if none
// had it.
func TestTermsOfAStoredRun(t *testing.T) {
	terms := func(seconds time.Duration) Terms { return Terms{seconds * time.Second, time.Second} }
	lastInUse := ClassTerms{"a": terms(10), "b": terms(20), "c": terms(20)}
	for name, c := range map[string]struct {
		current   ClassTerms
		lastInUse ClassTerms
		window    time.Duration // in seconds
		want      Terms
	}{
		"unchanged":              {lastInUse, lastInUse, 10, terms(10)},
		"its class grows":        {ClassTerms{"a": terms(15), "b": terms(90)}, lastInUse, 10, terms(15)},
		"its class shrinks":      {ClassTerms{"a": terms(5), "b": terms(90)}, lastInUse, 10, terms(10)},
		"one of two grows":       {ClassTerms{"b": terms(20), "c": terms(30)}, lastInUse, 20, terms(30)},
		"its class was renamed":  {ClassTerms{"new": terms(40), "b": terms(20)}, lastInUse, 10, terms(40)},
		"a window of no class":   {ClassTerms{"a": terms(15), "b": terms(90)}, lastInUse, 7, terms(90)},
		"a file without classes": {ClassTerms{"a": terms(15), "b": terms(90)}, nil, 15, terms(90)},
	} {
		if got := c.current.OfRecord(c.window*time.Second, c.lastInUse); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
	run := Record{State: Completed, RecordedAt: time.Second, ReceivedAt: 2 * time.Second, ExpiresAt: 15 * time.Second, Window: 10 * time.Second}
	if r, extended := run.Extend(terms(20)); !extended || r.Window != 20*time.Second || r.ExpiresAt != 25*time.Second {
		t.Errorf("a run with a longer window: %+v", r)
	}
	if r, extended := run.Extend(terms(5)); extended || r.Window != run.Window || r.ExpiresAt != run.ExpiresAt {
		t.Errorf("a run with a shorter window: %+v", r)
	}
	run.State = Moved
	if r, _ := run.Extend(terms(20)); r.ExpiresAt != 24*time.Second {
		t.Errorf("a moved key with a longer window: %+v", r)
	}
}
