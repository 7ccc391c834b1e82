package loadbalancer

import (
	"math"
	"time"
)

// Retry budgets. Inputs: first attempts, and how an attempt ended. Retries are limited to a ratio of first attempts, so that a fault
// of all servers does not multiply their load: each first attempt adds ratio tokens, each retry takes one. Unused tokens are kept for
// the first attempts of budgetWindowSeconds only, and at least budgetMinTokens, so that a router with few requests can retry at all. Hedged
// requests have a budget of their own by the same rule.
//
// A request that must take effect at most once is retried only where the attempt before is proven not to have run; any other also
// where it failed or its connection broke. A timeout is never followed by a retry: there is no time left, and the server has too much.
const (
	budgetWindowSeconds = 10.0 // seconds' worth of first attempts; a burst of failures after a quiet hour finds no more
	budgetMinTokens     = 2.0  // retries; one request may need both
)

// retryBudget is a token bucket that first attempts fill.
type retryBudget struct {
	ratio     float64 // tokens for each first attempt
	tokens    float64
	rate      float64 // first attempts a second, a moving average
	updatedAt time.Duration
}

// deposit counts a first attempt.
func (b *retryBudget) deposit(now time.Duration) {
	if dt := (now - b.updatedAt).Seconds(); dt > 0 {
		b.rate *= math.Exp(-dt / budgetWindowSeconds)
		b.updatedAt = now
	}
	b.rate += 1 / budgetWindowSeconds
	b.tokens = min(b.tokens+b.ratio, max(budgetMinTokens, b.ratio*b.rate*budgetWindowSeconds))
}

// withdraw takes a token, and reports false where there is none.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// FirstAttempt records that a request makes its first attempt, which both budgets are ratios of.
func (b *Balancer) FirstAttempt(now time.Duration) {
	b.retries.deposit(now)
	b.hedges.deposit(now)
}

// AllowRetry reports whether an attempt that ended so may be followed by another one elsewhere, and takes it from the budget. Safe says
// that the request may run more than once; final that the server said that no other attempt is of use.
func (b *Balancer) AllowRetry(o Outcome, safe, final bool) bool {
	if o == Served || final || !safe && !o.NeverRan() || o == TimedOut {
		return false
	}
	if !b.retries.withdraw() {
		b.counts.RetriesSpent++
		return false
	}
	b.counts.Retried++
	return true
}
