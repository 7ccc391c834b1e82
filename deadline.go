package silverpath

// Deadlines. A request has up to three time limits: its latency objective, until which an answer earns the
// full weight; its deadline, at which its client stops waiting; and, if it carries no deadline, the
// observed time after which callers cancel. Every request is answered before its deadline and before the
// process is stopped, at least with a failure.
//
// Inputs: objective and deadline of the class, the request's own deadline and expected work, cancelled
// requests.

import (
	"slices"
	"time"
)

const (
	// callerTimeoutBeta is the weight of the old average in callerTimeoutRatio at each cancelled request. With
	// it, five cancellations change the average noticeably.
	callerTimeoutBeta = 0.8
	// deadlineMargin is how long before its deadline a request is answered: one tick to notice the deadline
	// and one to deliver the answer.
	deadlineMargin = 2 * tickInterval
	// stopMargin is how long before the process is stopped all requests are answered. A request that arrives
	// in the meantime still has its own deadlineMargin.
	stopMargin = 4 * tickInterval
)

// latencyObjective returns the time until which an answer to a new request earns its full weight. Each tier
// below the first gets a smaller part of the objective, because the tiers above it work within the same
// objective.
func (s *Shedder) latencyObjective(r *request) time.Duration {
	c := r.class
	stretch := seconds(c.ObjectiveStretch * r.expectedWork)
	objective := r.receivedAt + min(c.Objective+stretch, c.Deadline)/time.Duration(1+s.settings.Tier)
	if r.Deadline == 0 {
		callerTimeout := time.Duration(s.callerTimeoutRatio.Value() * float64(c.Deadline))
		objective = min(objective, r.receivedAt+callerTimeout)
	}
	return objective
}

// updateCallerTimeout records how long a caller waited for an attempt that it cancelled. Callers may cancel
// long before the client stops waiting and then try another server; an answer after that is wasted work.
// One average covers all callers, because each of hundreds of callers is observed too rarely. The average
// may be too long, since cancellations are noticed late, or too short for retries. It applies only to
// requests that carry no deadline, because broken connections and cancelled hedges suggest a timeout that
// no caller has.
func (s *Shedder) updateCallerTimeout(r *request) {
	waited := float64(s.now-r.receivedAt) / float64(r.class.Deadline)
	s.callerTimeoutRatio.Add(min(1, waited), callerTimeoutBeta)
}

// answerBy returns the time by which a request must be answered.
func (s *Shedder) answerBy(r *request) time.Duration {
	latest := r.deadline - deadlineMargin
	if s.stopAt != 0 {
		latest = min(latest, s.stopAt-stopMargin)
	}
	return latest
}

// answerExpired answers, at each tick, the requests whose answer is due: with a rejection if they never
// ran, otherwise with a failure.
func (s *Shedder) answerExpired() {
	for _, r := range slices.Clone(s.requests) {
		if r.answered || s.now < s.answerBy(r) {
			continue
		}
		r.expired = true
		if r.state == queued && !r.started {
			s.reject(r, reasonForecast)
		} else {
			s.fail(r)
		}
	}
}
