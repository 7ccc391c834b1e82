package loadbalancer

import "time"

// Outlier ejection and the circuit breaker. Inputs: the outcome and duration of each attempt. A server is ejected when its failure ratio,
// a moving average, reaches ejectionThreshold after at least minAttempts. Its circuit is then open and it gets no attempts of requests
// without an idempotency key. Requests with a key are still sent to their home (homes.go). After baseEjection the circuit is half open
// at the next Pick that considers the server, and the server gets one attempt at a time; the time doubles with each ejection that follows without a success between, up to
// maxEjection. The first attempt that ends while the circuit is half open, even one that began before the ejection, decides: if it is
// served or rejected, the circuit closes and the server's ramp begins (Config.SlowStart); otherwise the server is ejected again.
// selection.go handles the case that too many servers of a cell are ejected at once.
const (
	ejectionThreshold = 0.5             // ratio of failed attempts; at a half, clients notice the fault
	minAttempts       = 8               // fewer are too small a sample
	baseEjection      = 2 * time.Second // about the time of a process restart
	maxEjection       = time.Minute     // bounds how long a repaired server stays unused
	maxDoublings      = 10              // of baseEjection; maxEjection is reached before, and more would overflow

	failureDecay   = 0.9                    // weight of the previous failure ratio in the moving average, which spans about ten attempts
	latencyDecay   = 0.9                    // weight of the previous latency in the moving average
	initialLatency = 100 * time.Millisecond // of a server that has not answered yet, so that it is neither preferred nor avoided
	failurePenalty = 2                      // a failed attempt counts as at least this multiple of the server's latency
)

// Circuit is the state of a server's circuit breaker.
type Circuit int

// The states of a server's circuit breaker.
const (
	CircuitClosed   Circuit = iota // the server gets attempts
	CircuitOpen                    // the server is ejected and gets only requests with an idempotency key, unless a panic ignores ejection
	CircuitHalfOpen                // the server gets one trial attempt at a time
)

// String returns the state's name in a router's status.
func (c Circuit) String() string { return [...]string{"closed", "open", "half"}[c] }

// Acquire counts an attempt as in flight to a server. It is called immediately before the attempt is sent to a server that Pick returned
// or CheckHome accepted. It returns false, and counts nothing, if the server's slow-start grant is used up: several requests may have
// passed Pick or CheckHome while there was capacity for only one. Each acquired attempt must be ended by Done.
func (b *Balancer) Acquire(now time.Duration, name string) bool {
	if s := b.servers[name]; s != nil && !s.warmup.HasCapacity(now, s.inFlight) {
		return false
	}
	b.started(name)
	return true
}

// started counts an attempt as in flight to a server.
func (b *Balancer) started(name string) {
	if s := b.servers[name]; s != nil {
		s.inFlight++
		if s.circuit == CircuitHalfOpen {
			s.trialInFlight = true
		}
	}
}

// Done records the outcome and the duration of an attempt. Read reports that the request had no idempotency key; the latency of a served
// read counts towards the hedge delay.
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
	case Rejected: // the server is up but overloaded; a rejection does no work, so its duration is not a latency sample
	case ConnectFailed, NotSent:
		failed = 1
		b.Unreachable(now, name)
	case Failed, ConnectionLost, TimedOut:
		failed = 1
		// A failure counts as slow even if it was fast. Otherwise a server that fails at once would attract every request.
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

// resetAttempts clears the statistics of attempts at a server's previous process.
func (s *server) resetAttempts() {
	s.attempts, s.failureRatio, s.circuit, s.ejections, s.latency = 0, 0, CircuitClosed, 0, initialLatency.Seconds()
}
