package silverpath

// Calls to the dependency. A request that stands at a call makes it, waits, or goes on without it. What lies
// below is either one service that all servers share, in which each has a quota of calls in its hands, or
// another tier of servers that run this module.
//
//   - Shared: a slow dependency does less in all, so the number of calls out at once (maxSharedCalls) falls
//     as calls take longer than their base, as TCP does with its window; and the time that calls may take,
//     all together, is reserved in the quota before they are made (reservedCallTime), so that it holds even
//     if each takes its whole time.
//   - Tier: the number out at once (maxTierCalls) falls when the tier rejects calls, and grows as they
//     succeed. The calls most needed go first, which the tier below doesn't know.
//
// Inputs: outcome and duration of each call, quota and its window, weight of a degraded answer, time left.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// callTimeBeta is the part of the typical call time kept at each call: five calls show a change.
	callTimeBeta = 0.8
	// baseCallTimeRise is the part of its distance to the typical time that the base rises by at each call. A
	// dependency that is slow for good is taken for granted only after thousands of calls.
	baseCallTimeRise = 0.0005
	// slowCallRatio is how many times their base calls take on average when the dependency counts as overloaded.
	// Found by trial; lowering it makes calls fewer over their ordinary spread.
	slowCallRatio = 2
	// minCallQuotaRatio is the part of the quota that maxSharedCalls keeps: where calls are slow for another
	// reason than their number, fewer calls don't make them quicker.
	minCallQuotaRatio = 0.25
	// callLimitDecrease and callLimitIncrease move the limits of calls: a factor at a sign of overload, a number
	// of calls at each success. Multiplicative decrease and additive increase, so that servers that share a
	// dependency converge.
	callLimitDecrease, callLimitIncrease = 0.8, 0.1
	// maxTierCallsPerCore bounds the calls out to a tier below. Found by trial; raising it lets a server that
	// has its requests wait below take in more than it can finish.
	maxTierCallsPerCore = 4
	// firstCallBackoff is the wait before a failed call is made again; it doubles each time. Found by trial;
	// lowering it calls an overloaded dependency again before it has worked anything off.
	firstCallBackoff = 50 * time.Millisecond
)

// neverRetry is when a call may be made again that must not be.
const neverRetry = time.Duration(math.MaxInt64)

// finishedCall is the time, with what may linger, that a finished call was in the dependency's hands.
type finishedCall struct{ endedAt, duration time.Duration }

// adaptSharedCalls moves the number of calls out at once by what one took, in seconds. Below one, calls keep
// a distance. Whatever makes calls slow is met the same way; where their number isn't the reason, it falls to
// minCallQuotaRatio of the quota.
func (s *Shedder) adaptSharedCalls(callSeconds float64) {
	if s.typicalCallTime == 0 {
		s.typicalCallTime, s.baseCallTime, s.maxSharedCalls = callSeconds, callSeconds, float64(s.settings.Cores)
	}
	s.typicalCallTime = s.typicalCallTime*callTimeBeta + callSeconds*(1-callTimeBeta)
	s.baseCallTime = min(s.typicalCallTime, s.baseCallTime+(s.typicalCallTime-s.baseCallTime)*baseCallTimeRise)
	if s.callsAreSlow() {
		s.maxSharedCalls = max(minCallQuotaRatio*s.settings.CallQuota, s.maxSharedCalls*callLimitDecrease)
	} else {
		s.maxSharedCalls = min(float64(s.settings.Cores), s.maxSharedCalls+callLimitIncrease)
	}
	s.nextCallAt = s.now + seconds(callSeconds*max(0, 1/s.maxSharedCalls-1))
}

// callsAreSlow reports whether calls take so much longer than their base that the dependency must be
// overloaded.
func (s *Shedder) callsAreSlow() bool { return s.typicalCallTime > slowCallRatio*s.baseCallTime }

// adaptTierCalls moves the number of calls to a tier below: down as it rejects them, at most once for each
// time that a call typically takes, so that one round of rejections counts once, and up as they succeed.
func (s *Shedder) adaptTierCalls(outcome Outcome) {
	switch {
	case outcome == OK:
		s.maxTierCalls = min(maxTierCallsPerCore*float64(s.settings.Cores), s.maxTierCalls+callLimitIncrease)
	case outcome == Overloaded && s.now >= s.nextTierDecrease:
		s.maxTierCalls = max(1, s.maxTierCalls*callLimitDecrease)
		s.nextTierDecrease = s.now + seconds(s.typicalCallTime)
	}
}

// reservedCallTime is the time that calls have had in the dependency's hands within its window, with those
// that are out counted to their timeout. A call given up lingers there for CallLinger.
func (s *Shedder) reservedCallTime() time.Duration {
	s.finishedCalls = slices.DeleteFunc(s.finishedCalls, func(c finishedCall) bool {
		return c.endedAt+s.settings.CallWindow < s.now
	})
	total := time.Duration(0)
	for _, c := range s.finishedCalls {
		total += c.duration
	}
	for _, r := range s.requests {
		if r.state == calling {
			total += r.callDeadline - r.stateSince + s.settings.CallLinger
		}
	}
	return total
}

// callTimeout is how much of the wanted time a call made now may take: 0 or less if none may be made.
func (s *Shedder) callTimeout(wanted time.Duration) time.Duration {
	if s.settings.Dependency != DependencyShared {
		if float64(s.stateCount[calling]+1) > s.maxTierCalls {
			return 0
		}
		return wanted
	}
	if s.typicalCallTime > 0 &&
		(s.stateCount[calling] >= int(math.Ceil(s.maxSharedCalls)) || s.now < s.nextCallAt) {
		return 0
	}
	quota := time.Duration(limitMargin * s.settings.CallQuota * float64(s.settings.CallWindow))
	return min(wanted, quota-s.reservedCallTime()-s.settings.CallLinger)
}

// scheduleCallRetry decides when a call that failed may be made again: never, if it may have had an effect
// that must not come twice; at once, if a reply broke off for the first time, as that says nothing of what
// lies below; else after the backoff.
func (s *Shedder) scheduleCallRetry(now time.Duration, r *request, outcome Outcome) {
	r.nextCallAt = now + r.backoff
	switch {
	case r.class.Effect != Safe && !outcome.NeverRan():
		r.nextCallAt = neverRetry
	case outcome == Disconnected && r.backoff == firstCallBackoff:
		r.nextCallAt = now
	}
	r.backoff *= 2
}

// decideCalls decides for every request that stands at a call, the one that loses most without it first: make
// it, go without, or wait.
func (s *Shedder) decideCalls() {
	var list []*request
	for _, r := range s.requests {
		if r.state == awaitingCall && !r.answered {
			list = append(list, r)
		}
	}
	slices.SortStableFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.lossWithoutCall(), a.lossWithoutCall()), cmp.Compare(a.objective, b.objective))
	})
	for _, r := range list {
		remaining := s.callBy(r) - s.now
		switch {
		case s.shouldAbandonCall(r, remaining):
			s.skipCallOrFail(r)
		case s.now >= r.nextCallAt:
			s.makeCallIfAllowed(r, remaining)
		}
	}
}

// callBy is when the call of a request must have ended. To a tier below, where a late answer earns nothing,
// that is its objective: from then on the call is work for nobody, here and below. Where the call can be left
// out, there must be time to finish without it.
func (s *Shedder) callBy(r *request) time.Duration {
	latest := s.answerBy(r)
	if r.class.LateWeight == 0 && s.settings.Dependency == DependencyTier {
		latest = min(latest, r.objective)
	}
	if r.canSkipCall() {
		workAfterCall := seconds(r.expectedWork * s.slowdown() / 2)
		latest = min(latest, r.objective-workAfterCall)
	}
	return latest
}

// shouldAbandonCall reports whether a request stands at its call in vain.
func (s *Shedder) shouldAbandonCall(r *request, remaining time.Duration) bool {
	if r.nextCallAt == neverRetry || remaining <= 0 || s.settings.Dependency == DependencyNone {
		return true
	}
	return r.canSkipCall() && (s.skippingEarnsMore(r, remaining) || r.backoff > firstCallBackoff)
}

// makeCallIfAllowed makes a call if it may take as long as calls typically do.
func (s *Shedder) makeCallIfAllowed(r *request, remaining time.Duration) {
	timeout := s.callTimeout(remaining)
	if timeout < min(seconds(s.typicalCallTime), remaining) || timeout <= 0 {
		return
	}
	r.callDeadline = s.now + timeout
	s.setState(r, calling)
	s.host.Call(r.ID, timeout)
}

// skippingEarnsMore reports whether leaving a call out earns more than making it: it ends within the time
// left with probability 1-exp(-left/typical), against DegradedWeight, which is certain.
func (s *Shedder) skippingEarnsMore(r *request, remaining time.Duration) bool {
	return remaining.Seconds() < -s.typicalCallTime*math.Log1p(-min(1, r.class.DegradedWeight))
}

// canSkipCall reports whether the request's class can be answered without its call.
func (r *request) canSkipCall() bool { return r.class.DegradedWeight > 0 }

// lossWithoutCall is the weight that a unit of the request's work loses without its call.
func (r *request) lossWithoutCall() float64 {
	return r.class.Weight * r.tenantWeight * (1 - r.class.DegradedWeight)
}

func (s *Shedder) skipCallOrFail(r *request) {
	if !r.canSkipCall() {
		s.fail(r)
		return
	}
	s.setState(r, running)
	s.host.SkipCall(r.ID)
}
