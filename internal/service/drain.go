package service

import (
	"fmt"
	"sync"
	"time"

	"silverpath/internal/events"
	"silverpath/internal/settings"
)

// The times of a drain, counted back from the moment at which the platform stops the process: stop_ms after the notice to leave.
const (
	// exitMargin is how long before the stop the process has ended. The module answers what is left 100 ms before the stop.
	exitMargin = 60 * time.Millisecond
	// idleCloseLead is for how long before the exit connections without a pending answer are closed one by one, so that a peer
	// that rests on one sees its end in good order and not a reset.
	idleCloseLead = 60 * time.Millisecond
	// drainServeRatio is the part of the drain window (rules.drain_grace) in which peers are served as before. Callers hear of the
	// drain seconds late; the rest of the window is for them to leave.
	drainServeRatio = 0.8
	// acceptGrace is how long connections are still accepted after peers were asked to leave: one may be under way already.
	acceptGrace = 50 * time.Millisecond
	// settleInterval is between two looks at whether all is answered, and as long as an answer may be on its way to the kernel
	// after the last one was counted.
	settleInterval = 100 * time.Millisecond
	// quietLooks is after how many looks in a row at which nothing was left the drain is over.
	quietLooks = 2
)

// A process that another one replaces is stopped replacedGrace after the longest deadline of a class, which counts as no more
// than maxReplacedDeadline: these are the platform's numbers.
const (
	replacedGrace       = 700 * time.Millisecond
	maxReplacedDeadline = 3 * time.Second
)

// drainDelay is how long after the notice to leave peers are served as before, until they are asked to leave too.
func drainDelay(c settings.Config) time.Duration {
	return min(time.Duration(drainServeRatio*float64(c.Server.DrainGrace)), c.StopTimeout/2)
}

// drain leads from the notice to leave to the end. Callers hear of it seconds late, and whoever takes over may be warming up yet:
// for drainDelay requests are served as before. Then peers are asked to leave, and for acceptGrace connections are still accepted
// that may be under way: a refused connection proves that nothing ran, so that its caller goes elsewhere at no cost here. The
// drain is over once nothing is left, or exitMargin before the stop; the error says how many requests had no answer then.
func (s *Service) drain() error {
	startedAt := time.Now()
	stop, delay := s.stopTimeout(), s.drainDelay
	if s.core.Successor() {
		// Who connects from now on is accepted by the process that replaces this one, and who is asked to leave goes there.
		events.Log(s.log, "hotrestart.successor")
		s.loadReporter.Silence()
		delay = 0
		s.closeListeners()
	}
	s.core.Drain(stop)
	time.Sleep(min(delay, stop/2))
	for _, l := range s.listeners {
		l.Drain()
	}
	time.Sleep(min(acceptGrace, stop/4))
	return s.settle(startedAt, stop)
}

// stopTimeout is how long after the notice to leave the platform stops the process.
func (s *Service) stopTimeout() time.Duration {
	if s.restartLink == nil {
		return s.cfg.StopTimeout
	}
	return min(s.cfg.StopTimeout, min(s.core.MaxDeadline(), maxReplacedDeadline)+replacedGrace)
}

// settle waits until nothing is left that is owed an answer or connected, and ends what is left shortly before the stop.
//
// A socket that the platform holds refuses nobody: who connects to it waits, unread, until some process accepts. So while no other
// process does, connections are accepted here until just before the end, and told to go elsewhere.
func (s *Service) settle(startedAt time.Time, stop time.Duration) error {
	exitAt := startedAt.Add(stop - s.exitMargin)
	accepting := s.restartLink != nil && !s.core.Successor()
	if !accepting {
		s.closeListeners()
	}
	exit := time.NewTimer(time.Until(exitAt))
	defer exit.Stop()
	closeIdle := time.NewTimer(time.Until(exitAt.Add(-idleCloseLead)))
	defer closeIdle.Stop()
	var closing sync.WaitGroup
	defer closing.Wait()
	tick := time.NewTicker(settleInterval)
	defer tick.Stop()
	for quiet := 0; quiet < quietLooks || accepting; {
		select {
		case <-exit.C:
			if err := s.answerRest(); err != nil {
				s.core.Stop()
				return err
			}
			quiet, accepting = quietLooks, false
		case <-closeIdle.C: // a connection that comes to rest from here to the exit is closed then
			for _, l := range s.listeners {
				closing.Go(func() { l.EndConnections(idleCloseLead) })
			}
		case <-tick.C:
			quiet++
			if accepting && (s.core.Successor() || time.Now().After(exitAt.Add(-2*settleInterval))) {
				accepting = false
				s.closeListeners()
			}
			if s.core.PendingAnswers() > 0 || s.connections() > 0 {
				quiet = 0
			}
		}
	}
	s.core.Stop()
	return nil
}

// answerRest has all pending requests answered at the last moment. The module should have done so before: it may have had no turn,
// on a machine without a core to spare, or with its interpreter gone. It returns an error where answers are left after half of
// exitMargin.
func (s *Service) answerRest() error {
	if s.core.PendingAnswers() > 0 {
		s.core.AnswerAll()
		for until := time.Now().Add(s.exitMargin / 2); s.core.PendingAnswers() > 0 && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	}
	if n := s.core.PendingAnswers(); n > 0 {
		return fmt.Errorf("drain: %d requests were not answered before the end", n)
	}
	return nil
}

// closeListeners has all fronts accept no more than who waits already; a second call changes nothing.
func (s *Service) closeListeners() {
	for _, l := range s.listeners {
		l.Close()
	}
}

// connections is the number of open connections of all fronts.
func (s *Service) connections() int {
	n := 0
	for _, l := range s.listeners {
		n += l.Connections()
	}
	return n
}
