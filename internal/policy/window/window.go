// Package window holds the running statistics that the module's decisions are built on: a rolling window of buckets, an
// exponential moving average and a token bucket. Every parameter is passed in, and so is the time, as the module's clock tells
// it: it never goes backwards. None of them is safe for concurrent use.
package window

import "time"

// Bucket is what was added to a Rolling window during one of its equal parts.
type Bucket struct {
	Sum   float64
	Count int
}

// Rolling is a window of equal buckets over the most recent past.
type Rolling struct {
	buckets []Bucket
	width   time.Duration
	current int64 // number of the bucket that is written to, counted from the clock's zero
}

// NewRolling returns a window of n buckets, each of the given width.
func NewRolling(n int, width time.Duration) *Rolling {
	return &Rolling{buckets: make([]Bucket, n), width: width}
}

// Add records v in the bucket that now falls into.
func (w *Rolling) Add(now time.Duration, v float64) {
	w.advance(now)
	b := w.bucket(w.current)
	b.Sum += v
	b.Count++
}

// Each calls f with every complete bucket of the window, the oldest first. The one that is still written to is left out, since a
// part of its time says nothing of a rate.
func (w *Rolling) Each(now time.Duration, f func(Bucket)) {
	w.advance(now)
	count := int64(len(w.buckets))
	for i := w.current - count + 1; i < w.current; i++ {
		f(*w.bucket(i))
	}
}

// bucket returns the place of the bucket of that number.
func (w *Rolling) bucket(number int64) *Bucket {
	count := int64(len(w.buckets))
	return &w.buckets[((number%count)+count)%count]
}

// advance empties the buckets that have left the window since the last call.
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

// Average is an exponential moving average; its zero value starts at 0.
type Average struct{ value float64 }

// Add moves the average towards v, keeping the share beta of what it was.
func (a *Average) Add(v, beta float64) { a.value = a.value*beta + v*(1-beta) }

// Value returns the average.
func (a *Average) Value() float64 { return a.value }

// TokenBucket holds tokens that come at a steady rate, in tokens a second, up to a burst.
type TokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

// NewTokenBucket returns a full bucket with a rate in tokens a second.
func NewTokenBucket(now time.Duration, rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst, refilledAt: now}
}

// Take takes a token and reports whether there was one.
func (b *TokenBucket) Take(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
