package silverpath

// Calls to the dependency. A request that needs a call makes it, waits, or continues without it. The
// dependency is either one service that all servers share, with a quota of concurrent calls for each
// server, or another tier of servers that run this module.
//
//   - Shared: the throughput of a slow dependency falls, so the limit of concurrent calls (maxSharedCalls)
//     falls as calls take longer than their base time, as TCP does with its window. The time that all calls
//     may take is reserved in the quota before they are made (reservedCallTime), so the quota holds even if
//     each call takes its whole timeout.
//   - Tier: the limit of concurrent calls (maxTierCalls) falls when the tier rejects calls, and grows as
//     calls succeed. The calls that save most weight go first; the tier below does not know this order.
//
// Inputs: outcome and duration of each call, quota and its window, weight of a degraded answer, remaining
// time.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// callTimeBeta is the weight of the old average in typicalCallTime at each call. With it, five calls
	// change the average noticeably.
	callTimeBeta = 0.8
	// baseCallTimeRise is the fraction of its distance to the typical time by which the base time rises at
	// each call. The time of a permanently slow dependency becomes the base only after thousands of calls.
	baseCallTimeRise = 0.0005
	// slowCallRatio is the ratio of typical to base call time above which the dependency counts as overloaded.
	// A lower ratio would reduce the number of calls on normal variation of their duration.
	slowCallRatio = 2
	// minCallQuotaRatio is the fraction of the quota below which maxSharedCalls does not fall: if calls are
	// slow for another reason than their number, fewer calls do not make them faster.
	minCallQuotaRatio = 0.25
	// callLimitDecrease is the factor applied to a limit of calls at a sign of overload; callLimitIncrease is
	// the number of calls added at each success. Multiplicative decrease and additive increase let servers
	// that share a dependency converge.
	callLimitDecrease, callLimitIncrease = 0.8, 0.1
	// maxTierCallsPerCore bounds the concurrent calls to a tier below. With a higher bound, a server whose
	// requests wait for the tier below admits more than it can finish.
	maxTierCallsPerCore = 4
	// firstCallBackoff is the delay before a failed call is made again; it doubles each time. A shorter delay
	// calls an overloaded dependency again before its backlog has shrunk.
	firstCallBackoff = 50 * time.Millisecond
)

// neverRetry is the nextCallAt of a request whose call must not be made again.
const neverRetry = time.Duration(math.MaxInt64)

// finishedCall records when a call ended and how long it occupied the dependency, CallLinger included.
type finishedCall struct{ endedAt, duration time.Duration }

// adaptSharedCalls adapts maxSharedCalls to the duration of a call, in seconds. Below a limit of 1, calls
// are spaced out in time. Any cause of slow calls lowers the limit; if their number is not the cause, the
// limit falls to minCallQuotaRatio of the quota.
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

// callsAreSlow reports whether calls take so much longer than their base time that the dependency counts as
// overloaded.
func (s *Shedder) callsAreSlow() bool { return s.typicalCallTime > slowCallRatio*s.baseCallTime }

// adaptTierCalls adapts maxTierCalls to the outcome of a call. A rejection lowers it, at most once per
// typical call time, so that one round of rejections counts once; a success raises it.
func (s *Shedder) adaptTierCalls(outcome Outcome) {
	switch {
	case outcome == OK:
		s.maxTierCalls = min(maxTierCallsPerCore*float64(s.settings.Cores), s.maxTierCalls+callLimitIncrease)
	case outcome == Overloaded && s.now >= s.nextTierDecrease:
		s.maxTierCalls = max(1, s.maxTierCalls*callLimitDecrease)
		s.nextTierDecrease = s.now + seconds(s.typicalCallTime)
	}
}

// reservedCallTime returns the time that calls occupy the dependency within CallWindow. Calls in progress
// count up to their timeout plus CallLinger, because an abandoned call occupies the dependency for that
// long.
func (s *Shedder) reservedCallTime() time.Duration {
	s.finishedCalls = slices.DeleteFunc(s.finishedCalls, func(c finishedCall) bool {
		return c.endedAt+s.settings.CallWindow < s.now
	})
	total := s.unknownCallTime()
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

// noteCallWindow records since when finished calls are known if new settings lengthen CallWindow. Earlier
// calls were forgotten by the shorter window.
func (s *Shedder) noteCallWindow(next Settings) {
	if next.CallWindow > s.settings.CallWindow {
		s.callsKnownSince = max(s.callsKnownSince, s.now-s.settings.CallWindow)
	}
}

// unknownCallTime returns the most that forgotten calls may have occupied the dependency within CallWindow:
// the quota for the part of the window in which calls are not known.
func (s *Shedder) unknownCallTime() time.Duration {
	unknown := max(0, s.callsKnownSince-(s.now-s.settings.CallWindow))
	return time.Duration(limitMargin * s.settings.CallQuota * float64(unknown))
}

// callTimeout returns the timeout, at most wanted, of a call made now; it is 0 or less if no call is
// allowed.
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

// scheduleCallRetry sets when a failed call may be made again: never, if it may have had an effect that
// must not be repeated; at once, if the connection broke for the first time, because that does not indicate
// an overloaded dependency; otherwise after the backoff.
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

// decideCalls decides for every request that waits for a call whether it makes the call, continues without
// it, or keeps waiting. Requests that lose most weight without their call come first.
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

// callBy returns the time by which the call of a request must have ended. For a tier below, if a late
// answer earns nothing, this is at the latest the latency objective: after it the call is wasted work on
// both tiers. If the call can be skipped, callBy leaves time to finish the request without it.
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

// shouldAbandonCall reports whether a request should stop waiting for its call.
func (s *Shedder) shouldAbandonCall(r *request, remaining time.Duration) bool {
	if r.nextCallAt == neverRetry || remaining <= 0 || s.settings.Dependency == DependencyNone {
		return true
	}
	return r.canSkipCall() && (s.skippingEarnsMore(r, remaining) || r.backoff > firstCallBackoff)
}

// makeCallIfAllowed makes a call if the limits allow a timeout of at least the typical call time, or of all
// the remaining time if that is shorter.
func (s *Shedder) makeCallIfAllowed(r *request, remaining time.Duration) {
	timeout := s.callTimeout(remaining)
	if timeout < min(seconds(s.typicalCallTime), remaining) || timeout <= 0 {
		return
	}
	r.callDeadline = s.now + timeout
	s.setState(r, calling)
	s.host.Call(r.ID, timeout)
}

// skippingEarnsMore reports whether skipping a call earns more weight than making it. A call ends within
// the remaining time with probability 1-exp(-remaining/typical); skipping it earns DegradedWeight with
// certainty.
func (s *Shedder) skippingEarnsMore(r *request, remaining time.Duration) bool {
	return remaining.Seconds() < -s.typicalCallTime*math.Log1p(-min(1, r.class.DegradedWeight))
}

// canSkipCall reports whether the class of the request allows an answer without the call.
func (r *request) canSkipCall() bool { return r.class.DegradedWeight > 0 }

// lossWithoutCall returns the weight per unit of work that the request loses without its call.
func (r *request) lossWithoutCall() float64 {
	return r.class.Weight * r.tenantWeight * (1 - r.class.DegradedWeight)
}

// skipCallOrFail continues a request without its call, or fails it if the call must not be skipped.
func (s *Shedder) skipCallOrFail(r *request) {
	if !r.canSkipCall() {
		s.fail(r)
		return
	}
	s.setState(r, running)
	s.host.SkipCall(r.ID)
}
