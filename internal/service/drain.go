package service

import (
	"fmt"
	"sync"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/settings"
)

// Timing of a drain. The platform stops the process stop_ms after the shutdown signal.
const (
	// exitMargin is the time between the exit of the process and the stop by the platform. The module answers the remaining
	// requests 100 ms before the stop.
	exitMargin = 60 * time.Millisecond
	// idleCloseLead is the time before the exit at which the process starts to close connections without a pending answer, each in
	// an orderly way. Otherwise idle peers would see a reset when the process exits.
	idleCloseLead = 60 * time.Millisecond
	// drainServeRatio is the fraction of the drain window (rules.drain_grace) in which peers are served as before. Callers learn of
	// the drain seconds late; the rest of the window is the time for them to leave.
	drainServeRatio = 0.8
	// acceptGrace is the time for which connections are still accepted after peers were asked to leave. A client may have started
	// to connect before it received that notification.
	acceptGrace = 50 * time.Millisecond
	// idleCheckInterval is the interval between two checks for pending answers and open connections. It also covers the time that an
	// answer takes to reach the kernel after it was counted.
	idleCheckInterval = 100 * time.Millisecond
	// idleChecksToExit is the number of consecutive checks that must find nothing pending before the drain ends.
	idleChecksToExit = 2
)

// The platform stops a process that has a successor replacedGrace after the longest deadline of its classes, of which it counts
// at most maxReplacedDeadline.
const (
	replacedGrace       = 700 * time.Millisecond
	maxReplacedDeadline = 3 * time.Second
)

// drainDelay returns the time between the shutdown signal and the request to peers to leave. Peers are served as before during it.
func drainDelay(c settings.Config) time.Duration {
	return min(time.Duration(drainServeRatio*float64(c.Server.DrainGrace)), c.StopTimeout/2)
}

// drain shuts the service down after the shutdown signal. For drainDelay it serves requests as before, because callers learn of
// the drain seconds late and the process that takes over may still be warming up. Then it asks peers to leave, and accepts
// connections for another acceptGrace, because some may already be in progress. After that, connections are refused: a refused
// connection proves that nothing ran, so the caller can safely go elsewhere, at no cost to this process. The drain ends once no
// answer is pending and no connection is open, or exitMargin before the stop. The error gives the number of unanswered requests.
func (s *Service) drain() error {
	startedAt := time.Now()
	stop, delay := s.stopTimeout(), s.drainDelay
	if s.core.SuccessorReady() {
		// The successor accepts new connections from now on, including those of peers that are asked to leave here.
		events.Log(s.log, "hotrestart.successor")
		s.loadReporter.Stop()
		delay = 0
		s.closeListeners()
	}
	s.core.Drain(stop)
	time.Sleep(min(delay, stop/2))
	for _, l := range s.listeners {
		l.Drain()
	}
	time.Sleep(min(acceptGrace, stop/4))
	return s.waitUntilIdle(startedAt, stop)
}

// stopTimeout returns the time between the shutdown signal and the stop of the process by the platform.
func (s *Service) stopTimeout() time.Duration {
	if s.restartLink == nil {
		return s.cfg.StopTimeout
	}
	return min(s.cfg.StopTimeout, min(s.core.MaxDeadline(), maxReplacedDeadline)+replacedGrace)
}

// waitUntilIdle waits until no answer is pending and no connection is open. Shortly before the stop it closes the remaining connections
// and answers the remaining requests.
//
// The platform keeps an inherited socket open, so the socket never refuses a connection: a connection waits in the backlog until
// a process accepts it. Therefore this process accepts connections until just before its exit, unless a successor does, and asks
// these peers to leave.
func (s *Service) waitUntilIdle(startedAt time.Time, stop time.Duration) error {
	exitAt := startedAt.Add(stop - s.exitMargin)
	accepting := s.restartLink != nil && !s.core.SuccessorReady()
	if !accepting {
		s.closeListeners()
	}
	exit := time.NewTimer(time.Until(exitAt))
	defer exit.Stop()
	closeIdle := time.NewTimer(time.Until(exitAt.Add(-idleCloseLead)))
	defer closeIdle.Stop()
	var closing sync.WaitGroup
	defer closing.Wait()
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for idleChecks := 0; idleChecks < idleChecksToExit || accepting; {
		select {
		case <-exit.C:
			if err := s.answerPending(); err != nil {
				s.core.Stop()
				return err
			}
			idleChecks, accepting = idleChecksToExit, false
		case <-closeIdle.C: // EndConnections closes each connection as soon as it is idle, until the exit
			for _, l := range s.listeners {
				closing.Go(func() { l.EndConnections(idleCloseLead) })
			}
		case <-tick.C:
			idleChecks++
			if accepting && (s.core.SuccessorReady() || time.Now().After(exitAt.Add(-2*idleCheckInterval))) {
				accepting = false
				s.closeListeners()
			}
			if s.core.PendingAnswers() > 0 || s.connections() > 0 {
				idleChecks = 0
			}
		}
	}
	s.core.Stop()
	return nil
}

// answerPending answers all pending requests just before the exit. Normally the module has answered them earlier, but it may not have
// been scheduled on an overloaded machine, or its interpreter may be down. If requests are still unanswered after half of
// exitMargin, answerPending returns an error with their number.
func (s *Service) answerPending() error {
	if s.core.PendingAnswers() > 0 {
		s.core.AnswerAll()
		for giveUpAt := time.Now().Add(s.exitMargin / 2); s.core.PendingAnswers() > 0 && time.Now().Before(giveUpAt); {
			time.Sleep(time.Millisecond)
		}
	}
	if n := s.core.PendingAnswers(); n > 0 {
		return fmt.Errorf("drain: %d requests were not answered before the end", n)
	}
	return nil
}

// closeListeners closes the listeners of all fronts. Connections that already wait in the backlog are still accepted, and open
// connections stay open. Further calls have no effect.
func (s *Service) closeListeners() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// connections returns the number of open connections on all fronts.
func (s *Service) connections() int {
	n := 0
	for _, l := range s.listeners {
		n += l.Connections()
	}
	return n
}
