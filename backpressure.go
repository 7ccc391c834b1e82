package silverpath

// Backpressure: what callers are told so that they don't send what would be rejected, and how long their
// connections stay open. The pressure, from 0 to 1, is the integral of the share of arrivals that is rejected
// over targetRejectionRatio. It reaches callers as a level, a credit or a weight (Signal).
//
// Inputs: arrivals and rejections of each sampleInterval, the number of callers, their keep-alive time.

import "time"

const (
	// targetRejectionRatio is the share of rejected arrivals at which the pressure stands still. Some are
	// rejected on purpose: with none, the module couldn't tell that more could be served.
	targetRejectionRatio = 0.25
	// pressureGain is how far the pressure moves in a sampleInterval for a share of 1 over the target. Found by
	// trial; raising it makes callers come and go in waves, since what they are told takes a second or more to
	// act.
	pressureGain = 0.15
	// minAdvertisedWeight is the least probability that callers are given, so that a server is still tried.
	minAdvertisedWeight = 0.1
)

// updatePressure sets, at each sample, the value that callers heed. A level rejects requests wherever they
// go, so a fault of this server's own doesn't raise it; credit and weight send them elsewhere.
func (s *Shedder) updatePressure() {
	rejectedShare := s.rejections / max(1, s.arrivals)
	s.arrivalRate.Add(s.arrivals/sampleInterval.Seconds(), cpuBeta)
	s.arrivals, s.rejections = 0, 0
	if s.settings.Signal == SignalLevel && s.faultIsLocal() {
		rejectedShare = 0
	}
	s.updateIdleTimeout()
	s.pressure = min(max(0, s.pressure+pressureGain*(rejectedShare-targetRejectionRatio)), 1)
	switch s.settings.Signal {
	case SignalLevel: // never the class of the highest weight
		s.host.Signal(s.pressure * (1 - 1/float64(len(s.classes))))
	case SignalCredit: // from all that may be in hand down to what keeps the cores busy
		maxRequests := max(s.maxRuns()*(1-s.pressure), float64(s.settings.Cores))
		s.host.Signal(maxRequests / float64(max(1, s.settings.Callers)))
	case SignalWeight:
		s.host.Signal(max(1-s.pressure, minAdvertisedWeight))
	}
}

// updateIdleTimeout decides how long a connection may stay idle. An open one takes a part of the cores and of
// a limited table, a new one costs work, and neither price is known: connections are kept where the mean
// caller is back before it would close its own, else closed at once. This guards against a table that many
// callers fill, each with little traffic; it could hurt where a few callers of very many send nearly all.
func (s *Shedder) updateIdleTimeout() {
	timeout := time.Duration(0)
	if float64(s.settings.Callers) > s.arrivalRate.Value()*s.settings.KeepAlive.Seconds() {
		timeout = min(sampleInterval, s.settings.KeepAlive)
	}
	if timeout != s.idleTimeout {
		s.idleTimeout = timeout
		s.host.CloseIdle(timeout)
	}
}
