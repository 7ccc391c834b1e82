package loadbalancer

import (
	"math"
	"time"
)

// Retry budgets. Inputs: first attempts, and the outcome of each attempt. Retries are limited to a ratio of first attempts, so that a
// fault of all servers does not multiply their load: each first attempt adds ratio tokens, and each retry takes one. The bucket holds at
// most the tokens of the first attempts of the last budgetWindowSeconds. Its size is at least budgetMinTokens, so that a router with few
// requests can retry. Hedged requests have their own budget by the same rule.
//
// A request that must take effect at most once is retried only if the previous attempt provably did not run. Any other request is also
// retried after a failure or a lost connection. A timeout is never retried: no time is left, and the server is overloaded.
const (
	budgetWindowSeconds = 10.0 // seconds of first attempts; a burst of failures after a quiet hour must not find more tokens
	budgetMinTokens     = 2.0  // retries; one request may need two
)

// retryBudget is a token bucket that is filled by first attempts.
type retryBudget struct {
	ratio     float64 // tokens per first attempt
	tokens    float64
	rate      float64 // first attempts a second, a moving average
	updatedAt time.Duration
}

// deposit adds the tokens of a first attempt.
func (b *retryBudget) deposit(now time.Duration) {
	if dt := (now - b.updatedAt).Seconds(); dt > 0 {
		b.rate *= math.Exp(-dt / budgetWindowSeconds)
		b.updatedAt = now
	}
	b.rate += 1 / budgetWindowSeconds
	b.tokens = min(b.tokens+b.ratio, max(budgetMinTokens, b.ratio*b.rate*budgetWindowSeconds))
}

// withdraw takes a token. It returns false if there is none.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// FirstAttempt records the first attempt of a request in the retry and hedge budgets.
func (b *Balancer) FirstAttempt(now time.Duration) {
	b.retries.deposit(now)
	b.hedges.deposit(now)
}

// AllowRetry reports whether an attempt with this outcome may be followed by another one elsewhere, and takes a token from the retry
// budget if so. Safe reports that the request may run more than once; final reports that the server ruled out another attempt.
func (b *Balancer) AllowRetry(o Outcome, safe, final bool) bool {
	if o == Served || final || !safe && !o.NeverRan() || o == TimedOut {
		return false
	}
	if !b.retries.withdraw() {
		b.counts.RetriesDenied++
		return false
	}
	b.counts.Retried++
	return true
}
