package silverpath

// Retry advice: how long a rejected caller should wait before a retry (Retry-After), and whether it should
// try another server. If all servers are overloaded alike, trying another one only moves the load, and each
// attempt costs a server the work of reading it; callers are then advised to retry this server soon. If the
// fault is local to this server, other servers may do better, and callers are advised to stay away for the
// longest time that they follow.
//
// Inputs: faultIsLocal, RetryAfter and MaxRetryAfter from the settings.

import "time"

const (
	// sharedOverloadDivisor divides MaxRetryAfter while all servers are overloaded. A smaller divisor leaves
	// the server idle between the rounds of retries.
	sharedOverloadDivisor = 5
	// failoverEvery is the interval of failover: every failoverEvery-th request that is rejected for a local
	// fault may try another server. If all did, they would try one server after another with the same fault,
	// and each attempt costs a server the work of reading it.
	failoverEvery = 2
)

// retryAdvice returns how long the caller of a rejected request should wait before a retry, 0 for no
// advice, and whether the rejection is final: the caller should not try another server.
func (s *Shedder) retryAdvice(r *request) (after time.Duration, final bool) {
	local := s.faultIsLocal()
	if s.settings.RetryAfter {
		after = s.settings.MaxRetryAfter / sharedOverloadDivisor
		if local {
			after = s.settings.MaxRetryAfter
		}
	}
	return after, !local || r.seq%failoverEvery != 0
}
