package service

import (
	"errors"
	"fmt"
	"time"

	"silverpath/internal/policy/idempotency"
	"silverpath/internal/storage/heartbeat"
)

// openHeartbeat starts writing a heartbeat to disk, if the edge file configures one (life). Idempotent requests start only while the
// last heartbeat is valid. The heartbeat of a killed process therefore tells the next process the latest time at which the killed
// one can have started a request. Without a store the next process does not know which requests ran. After its start it fails
// requests with an unknown idempotency key, since running one could repeat its effect, until the window of every request that an
// earlier process may have run has ended.
func (s *Service) openHeartbeat() (err error) {
	config := s.cfg.Edge.Heartbeat
	if config == nil {
		return nil
	}
	if s.restartLink != nil {
		return errors.New("life: not supported with hot restart (LB_SOCKET_FD)")
	}
	if s.heartbeat, err = heartbeat.Open(config.File, s.cfg.Name, config.ValidFor, s.log, s.stats); err != nil {
		return fmt.Errorf("life.file: %w", err)
	}
	downtime, _ := s.heartbeat.Downtime()
	s.stats.Set(uint64(downtime.Milliseconds()), "life", "dark_ms")
	s.core.SetUnknownRunsUntil(time.Now().Add(-downtime).UnixMilli())
	valid := s.heartbeat.MayExecute
	if wrap := s.hooks.WrapHeartbeat; wrap != nil {
		valid = wrap(valid)
	}
	s.core.AddGate(func(time.Duration) idempotency.Decision {
		switch {
		case s.store == nil && s.unknownRunsRemaining() > 0:
			return idempotency.Decision{Action: idempotency.Fail, Reason: idempotency.ReasonIncomplete}
		case !valid():
			return idempotency.Decision{Action: idempotency.Reject, Reason: "no_sign_of_life", RetryAfter: config.ValidFor / 2}
		}
		return idempotency.Decision{}
	})
	s.tasks = append(s.tasks, s.heartbeat.Run)
	return nil
}

// unknownRunsRemaining returns how much longer a client may repeat an idempotent request that an earlier process may have run and that
// no store recorded: the longest idempotency window less the time for which no process has run any request.
func (s *Service) unknownRunsRemaining() time.Duration {
	downtime, _ := s.heartbeat.Downtime()
	return s.core.LongestWindow() - downtime
}
