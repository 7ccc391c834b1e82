package silverpath

// Log lines at the start and end of an overload or of slow calls, so that operators see both without a line
// for each request. An overload ends when nothing was rejected for windowLength. Calls are logged as slow,
// or as fast again, after they have been so for windowLength, because single call times vary widely.
//
// The line at the end of an overload has the number of rejections by rule. "the flight limit" is the
// concurrency limit of overload.go. "guards" are the guards of admission.go and the bound on open requests
// in queue.go. "the forecast" is the forecast of queue.go, with the expired requests of deadline.go and the
// requests that were rejected unread.

import "fmt"

// logTransitions logs, at each sample, the overloads and slow calls that began or ended since the last
// sample.
func (s *Shedder) logTransitions() {
	s.logOverload()
	s.logSlowCalls()
}

// logOverload logs the start of an overload, and its end with the number of rejections by rule.
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

// logSlowCalls logs a change of callsAreSlow that has lasted for windowLength.
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
