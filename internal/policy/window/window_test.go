package window

import (
	"testing"
	"time"
)

// sum returns the sum and the number of the values in the complete buckets of the window.
func sum(w *Rolling, now time.Duration) (s float64, n int) {
	w.Each(now, func(b Bucket) { s += b.Sum; n += b.Count })
	return s, n
}

func TestRollingLeavesOutTheBucketBeingWritten(t *testing.T) {
	w := NewRolling(5, 100*time.Millisecond)
	w.Add(250*time.Millisecond, 3)
	if s, _ := sum(w, 299*time.Millisecond); s != 0 {
		t.Fatalf("the current bucket was included: sum %v, want 0", s)
	}
	if s, n := sum(w, 300*time.Millisecond); s != 3 || n != 1 {
		t.Fatalf("the complete bucket has sum %v, count %d, want 3 and 1", s, n)
	}
}

func TestRollingForgets(t *testing.T) {
	w := NewRolling(5, 100*time.Millisecond)
	w.Add(0, 3)
	if s, _ := sum(w, 499*time.Millisecond); s != 3 {
		t.Fatalf("within the window: sum %v, want 3", s)
	}
	if s, _ := sum(w, 500*time.Millisecond); s != 0 {
		t.Fatalf("after the window: sum %v, want 0", s)
	}
	w.Add(510*time.Millisecond, 4)
	if s, _ := sum(w, time.Hour); s != 0 {
		t.Fatalf("after a long pause: sum %v, want 0", s)
	}
}

func TestAverage(t *testing.T) {
	var a Average
	a.Add(1, 0.95)
	if got := a.Value(); got < 0.0499 || got > 0.0501 {
		t.Fatalf("got %v, want 0.05", got)
	}
}
