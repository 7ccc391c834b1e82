package silverpath

// Queue: who runs next, who can't make it, and who gives way. Queued and paused requests stand in the order
// of the weight that they still earn for the work; ties go by the nearer latency objective. Going down that
// order, each is started if there is capacity. Otherwise its end is forecast behind what stands before it,
// and a request that would end after its objective is rejected at once: nobody would use its answer, and its
// caller can still go elsewhere. One that has started is never rejected.
//
// Inputs: goal weights, expected work, objectives, deadlines, slowdown, the limit of runs, typical time of
// calls.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pauseRatio is how many times the runLimit runs on the cores before any is paused. Found by trial; lowering
	// it pauses runs over the ordinary swing of calls that end together.
	pauseRatio = 1.5
	// arrivalSlack is the part of a newcomer's time that the forecast must leave free where pools have queues
	// of their own. Such a queue moves on unevenly, and a caller is better told on arrival than after waiting in
	// vain.
	arrivalSlack = 0.2
)

// ranked returns the unanswered requests in one of the states, the best first.
func (s *Shedder) ranked(states ...requestState) []*request {
	var list []*request
	density := map[*request]float64{} // weight still to be earned, for each second of work where that counts
	for _, r := range s.requests {
		if r.answered || !slices.Contains(states, r.state) {
			continue
		}
		list = append(list, r)
		density[r] = r.class.goalWeight * r.tenantWeight
		if s.now > r.objective {
			density[r] *= r.class.LateWeight
		}
		if !s.settings.WeightByWork {
			density[r] /= r.expectedWork
		}
	}
	slices.SortFunc(list, func(a, b *request) int {
		return cmp.Or(cmp.Compare(density[b], density[a]), cmp.Compare(a.objective, b.objective), a.seq-b.seq)
	})
	return list
}

// schedule starts what there is capacity for and rejects what can't make its objective. It is called after
// every event that may have changed either.
func (s *Shedder) schedule() {
	slowdown := s.slowdown()
	workAhead := map[string]float64{}    // seconds of work before the next request, by queue
	requestCount := map[string]float64{} // requests in hand, by queue
	lastIndex := map[string]int{}        // place of the least ranked request, by queue
	for _, r := range s.requests {
		requestCount[s.queueOf(r)]++
		switch r.state {
		case running, preempting, awaitingCall, calling:
			workAhead[s.queueOf(r)] += s.remainingWork(r, slowdown)
		}
	}
	s.pauseSurplus()
	list := s.ranked(queued, paused)
	for i, r := range list {
		lastIndex[s.queueOf(r)] = i
	}
	for i, r := range list {
		queue, concurrency := s.queueOf(r), s.concurrencyOf(r)
		if s.hasCapacity(r) {
			s.startRun(r)
			if r.state == running {
				workAhead[queue] += s.remainingWork(r, slowdown)
				continue
			}
		}
		work := s.remainingWork(r, slowdown)
		finish := s.forecast(r, workAhead[queue], work, concurrency)
		overMaxRuns := i == lastIndex[queue] && requestCount[queue] > s.maxRuns()*min(1, concurrency/s.runLimit())
		if r.state == queued && !r.started && (overMaxRuns || finish > s.latestFinish(r, queue)) {
			requestCount[queue]--
			s.reject(r, queueRejectionReason(overMaxRuns))
			continue
		}
		workAhead[queue] += work
	}
}

// queueRejectionReason names what rejected a queued request: there are more than the server survives, or its
// forecast.
func queueRejectionReason(overMaxRuns bool) rejectionReason {
	if overMaxRuns {
		return reasonGuard
	}
	return reasonForecast
}

// forecast is when a request is expected to finish that has so many seconds of work before it and of its own,
// with so many runs of its queue at once.
func (s *Shedder) forecast(r *request, ahead, work, concurrency float64) time.Duration {
	delay := ahead/concurrency + work/min(1, concurrency) + max(0, r.class.typicalCallWait-r.callWait.Seconds())
	return s.now + seconds(delay)
}

// latestFinish is the forecast up to which a request stays queued.
func (s *Shedder) latestFinish(r *request, queue string) time.Duration {
	end := min(r.objective, s.answerBy(r))
	if queue != "" && r.arrivedAt == s.now {
		end -= time.Duration(arrivalSlack * float64(end-s.now))
	}
	return end
}

// pauseSurplus pauses the runs that earn least while there are more on the cores than keep them busy: calls
// that end together bring their requests back at once, and past some number throughput falls steeply.
func (s *Shedder) pauseSurplus() {
	surplus := s.stateCount[running] - int(math.Ceil(pauseRatio*s.runLimit()))
	if s.settings.Preemption != PreemptPause || surplus <= 0 {
		return
	}
	list := s.ranked(running)
	for _, r := range list[max(0, len(list)-surplus):] {
		s.preempt(r)
	}
}

// queueOf names the queue in which a request waits: with pools each has its own.
func (s *Shedder) queueOf(r *request) string {
	if s.pools == nil {
		return ""
	}
	return s.pools.Queue(r.class.Name)
}

// concurrencyOf is the number of runs at once that a request's queue has.
func (s *Shedder) concurrencyOf(r *request) float64 {
	if s.pools == nil {
		return s.runLimit()
	}
	return s.pools.Concurrency(r.class.Name)
}
