package service

import (
	"fmt"
	"sync"
	"time"

	"silverpath/internal/events"
)

// drain leads from the notice to the end. Callers hear of it seconds late, and whoever takes over may be cold yet:
// for most of the window in which requests may still be run they are served as before. Then peers are asked to
// leave, and new connections are taken only for as long as one may already be under way: a refused connection
// proves that nothing ran, so its caller goes elsewhere without a request having cost a reading here.
func (s *Service) drain() error {
	startedAt := time.Now()
	stop, delay := s.cfg.StopTimeout, s.drainDelay
	if s.restartLink != nil {
		// The platform stops a process that another one takes over from after the longest deadline.
		stop = min(stop, min(s.core.MaxDeadline(), maxReplacedDeadline)+replacedGrace)
	}
	if s.core.Successor() {
		// Whoever connects from now on is taken by the other process, and whoever is told to leave here goes there.
		events.Log(s.log, "handover.successor")
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
	// A socket that the platform holds refuses nobody: who connects then waits, unread. So while no other process takes
	// such connections they are taken here, and told to go elsewhere.
	listening := s.restartLink != nil && !s.core.Successor()
	lastAccept := startedAt.Add(stop - s.exitMargin - 2*settleInterval)
	if !listening {
		s.closeListeners()
	}
	end := time.NewTimer(stop - s.exitMargin - time.Since(startedAt))
	defer end.Stop()
	closeIdle := time.NewTimer(stop - s.exitMargin - idleCloseLead - time.Since(startedAt))
	defer closeIdle.Stop()
	var closing sync.WaitGroup
	defer closing.Wait()
	tick := time.NewTicker(settleInterval)
	defer tick.Stop()
	quietTicks := 0
	for quietTicks < 2 || listening {
		select {
		case <-end.C:
			if s.core.PendingAnswers() > 0 {
				s.core.AnswerAll()
				for lastAnswer := time.Now().Add(s.exitMargin / 2); s.core.PendingAnswers() > 0 && time.Now().Before(lastAnswer); {
					time.Sleep(time.Millisecond)
				}
			}
			if n := s.core.PendingAnswers(); n > 0 {
				s.core.Stop()
				return fmt.Errorf("drain: %d requests were not answered before the end", n)
			}
			quietTicks, listening = 2, false
		case <-closeIdle.C: // what comes to rest until the end is ended then
			for _, l := range s.listeners {
				closing.Go(func() { l.EndConnections(idleCloseLead) })
			}
		case <-tick.C:
			quietTicks++
			if listening && (s.core.Successor() || time.Now().After(lastAccept)) {
				listening = false
				s.closeListeners()
			}
			if s.core.PendingAnswers() > 0 || s.connections() > 0 {
				quietTicks = 0
			}
		}
	}
	s.core.Stop()
	return nil
}

func (s *Service) closeListeners() {
	for _, l := range s.listeners {
		l.Close()
	}
}

func (s *Service) connections() int {
	n := 0
	for _, l := range s.listeners {
		n += l.Connections()
	}
	return n
}
