package silverpath

// Graceful shutdown. From the drain notice on, health checks fail, so that callers use other servers.
// Requests that reached the machine before the notice, or within DrainGrace after it, may still run; later
// ones are rejected, which guarantees that they never ran. All requests are answered stopMargin before the
// process is stopped (deadline.go).
//
// Inputs: times of the notice and of the stop, DrainGrace, the time at which a request reached the machine.

import "time"

// Drain starts the graceful shutdown of a server whose process is stopped at stop. A second call changes
// only the time of the stop.
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

// drainAllows reports whether a request may start: always, unless the server drains and the request reached
// the machine after limitMargin of the grace period. The host checks the whole grace period as a backstop,
// when it reads a request and before a run.
func (s *Shedder) drainAllows(r *request) bool {
	grace := time.Duration(limitMargin * float64(s.settings.DrainGrace))
	return s.stopAt == 0 || r.receivedAt <= s.drainStartedAt+grace
}
