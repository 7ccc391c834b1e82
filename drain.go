package silverpath

// Graceful shutdown. From the notice to leave on, health checks fail, so that callers go elsewhere; what
// reached the machine before, or within DrainGrace after it, may still run; the rest is rejected, which
// promises that it never ran. All requests are answered stopMargin before the process is stopped
// (deadline.go).
//
// Inputs: times of the notice and of the stop, DrainGrace, when a request reached the machine.

import "time"

// Drain is the notice to leave; the process is stopped at stop. A second notice moves the stop only.
func (s *Shedder) Drain(now, stop time.Duration) {
	s.advanceClock(now)
	if s.stopAt == 0 {
		s.drainStartedAt = now
	}
	s.stopAt = max(1, stop)
	s.host.Health(false)
	s.host.Log("draining")
	s.answerExpired()
	s.schedule()
}

// drainAllows reports whether a request may start: always, unless the server drains and it came after
// limitMargin of the grace. What the core checks at the whole grace, on reading and before a run, are
// backstops of this.
func (s *Shedder) drainAllows(r *request) bool {
	grace := time.Duration(limitMargin * float64(s.settings.DrainGrace))
	return s.stopAt == 0 || r.receivedAt <= s.drainStartedAt+grace
}
