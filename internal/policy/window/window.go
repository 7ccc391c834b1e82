// Package window implements the running statistics of the decision rules: a rolling window of buckets, an exponential moving
// average and a token bucket. All parameters and the current time are passed in; the time must not decrease. The types are not
// safe for concurrent use.
package window

import "time"

// Bucket holds the sum and the number of the values added during one of the equal parts of a Rolling window.
type Bucket struct {
	Sum   float64
	Count int
}

// Rolling is a window of equal buckets over the most recent period.
type Rolling struct {
	buckets []Bucket
	width   time.Duration
	current int64 // number of the bucket that is written to, counted from time zero
}

// NewRolling returns a window of n buckets, each of the given width.
func NewRolling(n int, width time.Duration) *Rolling {
	return &Rolling{buckets: make([]Bucket, n), width: width}
}

// Add records v in the bucket that contains the time now.
func (w *Rolling) Add(now time.Duration, v float64) {
	w.advance(now)
	b := w.bucket(w.current)
	b.Sum += v
	b.Count++
}

// Each calls f with every complete bucket of the window, the oldest first. It omits the bucket that is still written to, because
// a partial bucket does not give a rate.
func (w *Rolling) Each(now time.Duration, f func(Bucket)) {
	w.advance(now)
	count := int64(len(w.buckets))
	for i := w.current - count + 1; i < w.current; i++ {
		f(*w.bucket(i))
	}
}

// bucket returns the bucket with the given number.
func (w *Rolling) bucket(number int64) *Bucket {
	count := int64(len(w.buckets))
	return &w.buckets[((number%count)+count)%count]
}

// advance clears the buckets that have left the window since the last call.
func (w *Rolling) advance(now time.Duration) {
	newest := int64(now / w.width)
	if newest <= w.current {
		return
	}
	first := max(w.current+1, newest-int64(len(w.buckets))+1)
	for i := first; i <= newest; i++ {
		*w.bucket(i) = Bucket{}
	}
	w.current = newest
}

// Average is an exponential moving average. Its zero value has the average 0.
type Average struct{ value float64 }

// Add moves the average towards v; beta is the weight of the old average.
func (a *Average) Add(v, beta float64) { a.value = a.value*beta + v*(1-beta) }

// Value returns the average.
func (a *Average) Value() float64 { return a.value }

// TokenBucket holds up to burst tokens and refills at a steady rate, in tokens per second.
type TokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

// NewTokenBucket returns a full bucket. The rate is in tokens per second.
func NewTokenBucket(now time.Duration, rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// Take removes a token and reports whether one was available.
func (b *TokenBucket) Take(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
