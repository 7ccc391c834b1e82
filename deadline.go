package silverpath

// Deadlines. A request has three times: its latency objective, up to which an answer earns its full weight;
// its deadline, at which its client stops waiting; and, where it doesn't tell how long its caller waits, the
// patience that callers have shown. Every request is answered before its deadline and before the process is
// stopped, if only with a failure.
//
// Inputs: objective and deadline of the class, the request's own deadline and expected work, cancelled
// requests.

import (
	"slices"
	"time"
)

const (
	// callerTimeoutBeta is the part of the callers' patience kept at each cancelled request: five show a change.
	callerTimeoutBeta = 0.8
	// deadlineMargin is how long before its deadline a request is answered: a tick to notice, and one for the
	// answer's way.
	deadlineMargin = 2 * tickInterval
	// stopMargin is how long before the stop of the process all requests are answered: what comes in the
	// meantime has its own deadlineMargin still.
	stopMargin = 4 * tickInterval
)

// latencyObjective is the time up to which an answer to a new request earns its full weight. Each tier below
// the first has a smaller part of the objective, since the tiers above work within it too.
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

// updateCallerTimeout notes how long a caller waited for an attempt that it cancelled. Callers may cancel long
// before the client stops waiting and then try elsewhere; what can't be answered by then is work for nobody.
// There is one figure for all: of hundreds of callers each is seen too seldom. It may be too long, since
// notices come late, or too short for retries. It is used only where a request doesn't tell its deadline:
// broken connections and cancelled hedges would teach a patience that nobody has.
func (s *Shedder) updateCallerTimeout(r *request) {
	waited := float64(s.now-r.receivedAt) / float64(r.class.Deadline)
	s.callerTimeoutRatio.Add(min(1, waited), callerTimeoutBeta)
}

// answerBy is when a request must have been answered.
func (s *Shedder) answerBy(r *request) time.Duration {
	latest := r.deadline - deadlineMargin
	if s.stopAt != 0 {
		latest = min(latest, s.stopAt-stopMargin)
	}
	return latest
}

// answerExpired answers, at each tick, the requests that must be answered now: with a rejection if they never
// ran.
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
