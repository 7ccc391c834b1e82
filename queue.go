package silverpath

// Queue: which request runs next, which is rejected and which is paused. Queued and paused requests are
// ordered by the weight that they can still earn per unit of work, and ties by the earlier latency
// objective. In this order, each request starts if there is capacity. Otherwise its finish time is forecast
// from the work ahead of it, and a request that would finish after its objective is rejected at once: its
// answer would not be used, and its caller can still try another server. A request that was started is
// never rejected.
//
// Inputs: goal weights, expected work, objectives, deadlines, slowdown, runLimit, typical time of calls.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// pauseRatio is the multiple of runLimit above which runs on the cores are paused. A lower ratio pauses
	// runs on the normal variation of calls that end at the same time.
	pauseRatio = 1.5
	// arrivalSlack is the share of its remaining time that the forecast for a new request must leave free if
	// pools have separate queues. Such a queue advances unevenly, and a rejection on arrival serves the caller
	// better than one after a wait.
	arrivalSlack = 0.2
)

// ranked returns the unanswered requests that are in one of the states, in descending order of earned
// weight.
func (s *Shedder) ranked(states ...requestState) []*request {
	var list []*request
	density := map[*request]float64{} // weight that can still be earned per second of work
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

// schedule starts the requests for which there is capacity and rejects those that cannot meet their
// objective. It is called after every event that may change either.
func (s *Shedder) schedule() {
	slowdown := s.slowdown()
	workAhead := map[string]float64{}    // seconds of work ahead of the next request, by queue
	requestCount := map[string]float64{} // open requests, by queue
	lastIndex := map[string]int{}        // index of the lowest-ranked request, by queue
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

// queueRejectionReason returns the rule that rejects a queued request: the bound on open requests, which is
// what the server survives, or the forecast.
func queueRejectionReason(overMaxRuns bool) rejectionReason {
	if overMaxRuns {
		return reasonGuard
	}
	return reasonForecast
}

// forecast returns the expected finish time of a request, from the seconds of work ahead of it, the seconds
// of its own work, and the number of concurrent runs of its queue.
func (s *Shedder) forecast(r *request, ahead, work, concurrency float64) time.Duration {
	delay := ahead/concurrency + work/min(1, concurrency) + max(0, r.class.typicalCallWait-r.callWait.Seconds())
	return s.now + seconds(delay)
}

// latestFinish returns the latest forecast with which a request stays queued.
func (s *Shedder) latestFinish(r *request, queue string) time.Duration {
	end := min(r.objective, s.answerBy(r))
	if queue != "" && r.arrivedAt == s.now {
		end -= time.Duration(arrivalSlack * float64(end-s.now))
	}
	return end
}

// pauseSurplus pauses the runs that earn least while more runs are on the cores than pauseRatio allows.
// Calls that end at the same time return their requests to the cores at once, and beyond some number of
// runs throughput falls steeply.
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

// queueOf returns the name of the queue in which a request waits. Without pools all requests share one
// queue.
func (s *Shedder) queueOf(r *request) string {
	if s.pools == nil {
		return ""
	}
	return s.pools.Queue(r.class.Name)
}

// concurrencyOf returns the number of concurrent runs available to the queue of a request.
func (s *Shedder) concurrencyOf(r *request) float64 {
	if s.pools == nil {
		return s.runLimit()
	}
	return s.pools.Concurrency(r.class.Name)
}
