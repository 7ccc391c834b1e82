package loadbalancer

import "time"

// Outlier ejection and the circuit breaker. Inputs: the outcome and duration of each attempt. A server whose failure ratio, a moving
// average, reaches ejectionThreshold after at least minAttempts is ejected: its circuit is open and it gets no attempts of
// requests without an idempotency key; those with one belong to their home and are sent there all the same (homes.go). After
// baseEjection, doubled at each ejection that follows without a success between and at most maxEjection, its circuit is half open: it
// gets one attempt at a time. The first that ends then, also one from before the ejection, settles it: where it is served or rejected, the
// circuit is closed and the server's ramp begins (SlowStart of Config); else it is ejected again. That too many of a cell are ejected at once is handled where a server is chosen: selection.go.
const (
	ejectionThreshold = 0.5             // ratio of failed attempts; with half of them, clients see the fault
	minAttempts       = 8               // fewer are too small a sample to judge a server by
	baseEjection      = 2 * time.Second // as long as a process takes to restart
	maxEjection       = time.Minute     // a server that was repaired is back in use within it
	maxDoublings      = 10              // of baseEjection; more would not be reached, and overflow in the end

	failureDecay   = 0.9                    // weight of the past in a server's failure ratio; the last ten attempts or so count
	latencyDecay   = 0.9                    // and in its latency
	initialLatency = 100 * time.Millisecond // assumed of a server that has not answered yet: neither preferred nor avoided
	failurePenalty = 2                      // times its latency, at least, that a failed attempt counts as having taken
)

// Circuit says whether a server gets attempts.
type Circuit int

// The states of a server's circuit breaker.
const (
	CircuitClosed   Circuit = iota // it gets attempts
	CircuitOpen                    // it is ejected and gets none without a key
	CircuitHalfOpen                // it gets one at a time, to see
)

// String is the state's name in the status of a router.
func (c Circuit) String() string { return [...]string{"closed", "open", "half"}[c] }

// Acquire is asked at the moment at which an attempt goes to a server that Pick or CheckHome named, and counts it as in flight where it
// reports true. It reports false where the server's slow start has no capacity left by now: many may have been told at once that
// there is capacity for one. Each attempt that was acquired has to be ended by Done.
func (b *Balancer) Acquire(now time.Duration, name string) bool {
	if s := b.servers[name]; s != nil && !s.warmup.HasCapacity(now, s.inFlight) {
		return false
	}
	b.started(name)
	return true
}

// started counts an attempt that goes to a server.
func (b *Balancer) started(name string) {
	if s := b.servers[name]; s != nil {
		s.inFlight++
		if s.circuit == CircuitHalfOpen {
			s.trialInFlight = true
		}
	}
}

// Done records how an attempt ended and how long it took. Read says that it had no idempotency key: its latency counts towards the
// hedge delay.
func (b *Balancer) Done(now time.Duration, name string, o Outcome, took time.Duration, read bool) {
	s := b.servers[name]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	s.trialInFlight = false
	failed := 0.0
	switch o {
	case Served:
		s.latency = s.latency*latencyDecay + took.Seconds()*(1-latencyDecay)
		if read {
			b.latency.add(took.Seconds())
		}
	case Rejected: // it works, but is overloaded: its latency is that of no work
	case ConnectFailed, NotSent:
		failed = 1
		b.Unreachable(now, name)
	case Failed, ConnectionLost, TimedOut:
		failed = 1
		// A failure is no fast answer: it counts as slow. Else a server that fails at once would attract every request.
		s.latency = s.latency*latencyDecay + max(failurePenalty*s.latency, took.Seconds())*(1-latencyDecay)
	}
	s.attempts++
	s.failureRatio = s.failureRatio*failureDecay + failed*(1-failureDecay)
	b.updateCircuit(now, s, failed > 0)
}

func (b *Balancer) updateCircuit(now time.Duration, s *server, failed bool) {
	switch {
	case s.circuit == CircuitHalfOpen && failed:
		b.eject(now, s)
	case s.circuit == CircuitHalfOpen:
		s.circuit, s.ejections, s.failureRatio, s.upSince = CircuitClosed, 0, 0, now
	case s.circuit == CircuitClosed && s.attempts >= minAttempts && s.failureRatio >= ejectionThreshold:
		b.eject(now, s)
	}
}

func (b *Balancer) eject(now time.Duration, s *server) {
	b.counts.Ejected++
	s.circuit = CircuitOpen
	s.openUntil = now + min(maxEjection, baseEjection<<min(s.ejections, maxDoublings))
	s.ejections++
}

// resetAttempts forgets what attempts at an earlier process of a server have shown.
func (s *server) resetAttempts() {
	s.attempts, s.failureRatio, s.circuit, s.ejections, s.latency = 0, 0, CircuitClosed, 0, initialLatency.Seconds()
}
