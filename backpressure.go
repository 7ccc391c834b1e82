package silverpath

// Backpressure: signals that keep callers from sending requests that would be rejected, and the idle
// timeout of their connections. The pressure, from 0 to 1, integrates the difference between the share of
// rejected arrivals and targetRejectionRatio. Callers receive it as a level, a credit or a weight (Signal).
//
// Inputs: arrivals and rejections in each sampleInterval, the number of callers, their keep-alive time.

import "time"

const (
	// targetRejectionRatio is the share of rejected arrivals at which the pressure stays constant. It is above
	// zero because without rejections the module cannot detect spare capacity.
	targetRejectionRatio = 0.25
	// pressureGain is the change of the pressure per sampleInterval for a rejected share of 1 above the
	// target. A higher gain makes callers oscillate, because a signal takes a second or more to act.
	pressureGain = 0.15
	// minAdvertisedWeight is the lowest probability that is sent to callers, so that they keep trying the
	// server.
	minAdvertisedWeight = 0.1
)

// updatePressure updates, at each sample, the pressure and the signal that callers follow. A level holds
// requests back from all servers, so a local fault does not raise it; credit and weight redirect requests
// to other servers.
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
	case SignalLevel: // at most 1-1/classes, so that callers never hold back the class with the highest weight
		s.host.Signal(s.pressure * (1 - 1/float64(len(s.classes))))
	case SignalCredit: // from maxRuns down to the number of cores
		maxRequests := max(s.maxRuns()*(1-s.pressure), float64(s.settings.Cores))
		s.host.Signal(maxRequests / float64(max(1, s.settings.Callers)))
	case SignalWeight:
		s.host.Signal(max(1-s.pressure, minAdvertisedWeight))
	}
}

// updateIdleTimeout sets how long a connection may stay idle. An open connection takes core time and a slot
// in a limited table, a new one takes work to set up, and neither cost is known. Connections are therefore
// kept if the mean caller returns within its own keep-alive time, and are closed after at most a
// sampleInterval otherwise. This prevents many callers with little traffic each from filling the table; it
// is a disadvantage if a few callers out of very many send nearly all requests.
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
