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
	began := time.Now()
	stop, lead := s.cfg.Stop, s.lead
	if s.pair != nil {
		// The platform stops a process that another one takes over from after the longest deadline.
		stop = min(stop, min(s.core.MaxDeadline(), mostReplaced)+replacedGrace)
	}
	if s.core.Successor() {
		// Whoever connects from now on is taken by the other process, and whoever is told to leave here goes there.
		events.Log(s.log, "handover.successor")
		s.reporter.Silence()
		lead = 0
		s.closeListeners()
	}
	s.core.Drain(stop)
	time.Sleep(min(lead, stop/2))
	for _, l := range s.listeners {
		l.Drain()
	}
	time.Sleep(min(listenOn, stop/4))
	// A socket that the platform holds refuses nobody: who connects then waits, unread. So while no other process takes
	// such connections they are taken here, and told to go elsewhere.
	listening := s.pair != nil && !s.core.Successor()
	lastTaken := began.Add(stop - s.exitBefore - 2*settle)
	if !listening {
		s.closeListeners()
	}
	end := time.NewTimer(stop - s.exitBefore - time.Since(began))
	defer end.Stop()
	finish := time.NewTimer(stop - s.exitBefore - endFor - time.Since(began))
	defer finish.Stop()
	var ending sync.WaitGroup
	defer ending.Wait()
	tick := time.NewTicker(settle)
	defer tick.Stop()
	quiet := 0
	for quiet < 2 || listening {
		select {
		case <-end.C:
			if s.core.PendingAnswers() > 0 {
				s.core.AnswerAll()
				for last := time.Now().Add(s.exitBefore / 2); s.core.PendingAnswers() > 0 && time.Now().Before(last); {
					time.Sleep(time.Millisecond)
				}
			}
			if n := s.core.PendingAnswers(); n > 0 {
				s.core.Stop()
				return fmt.Errorf("drain: %d requests were not answered before the end", n)
			}
			quiet, listening = 2, false
		case <-finish.C: // what comes to rest until the end is ended then
			for _, l := range s.listeners {
				ending.Go(func() { l.EndConnections(endFor) })
			}
		case <-tick.C:
			quiet++
			if listening && (s.core.Successor() || time.Now().After(lastTaken)) {
				listening = false
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
