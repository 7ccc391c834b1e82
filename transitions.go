package silverpath

// Log lines where an overload, or a slow dependency, begins and ends, so that who is on call sees both, and
// never a line for each request. An overload lasts until nothing was rejected for windowLength; calls count
// as slow, or as quick again, once they have been so for windowLength, since single calls swing far.
//
// The line at the end of an overload says which rule rejected how many: "the flight limit" is the
// concurrency limit of overload.go, "guards" are those of admission.go with the bound on requests in hand of
// queue.go, and "the forecast" is the one of queue.go with the expired requests of deadline.go and those
// rejected unread.

import "fmt"

// logTransitions logs, at each sample, what has begun or ended since the last one.
func (s *Shedder) logTransitions() {
	s.logOverload()
	s.logSlowCalls()
}

func (s *Shedder) logOverload() {
	overloaded := s.everRejected && s.now-s.lastRejection < windowLength
	switch {
	case overloaded == s.loggedOverload:
		return
	case overloaded:
		s.host.Log(fmt.Sprintf("overload begins: CPU %.2f, %d in hand", s.cpu.Value(), len(s.requests)))
	default:
		s.host.Log(fmt.Sprintf("overload ends: refused %d by the flight limit, %d by guards, %d by the forecast",
			s.rejectedBy[reasonConcurrencyLimit], s.rejectedBy[reasonGuard], s.rejectedBy[reasonForecast]))
		s.rejectedBy = [rejectionReasonCount]int{}
	}
	s.loggedOverload = overloaded
}

func (s *Shedder) logSlowCalls() {
	slow := s.callsAreSlow()
	if slow == s.loggedSlowCalls {
		s.slowCallsConfirmedAt = s.now
	} else if s.now-s.slowCallsConfirmedAt >= windowLength {
		s.loggedSlowCalls = slow
		s.host.Log(fmt.Sprintf("calls slow: %v, they take %.2f s and took %.2f s", slow,
			s.typicalCallTime, s.baseCallTime))
	}
}
