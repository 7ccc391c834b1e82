package service

import (
	"errors"
	"fmt"
	"time"

	"silverpath/internal/policy/idempotency"
	"silverpath/internal/storage/heartbeat"
)

// openHeartbeat has the service leave a heartbeat on disk, where the edge file sets one up (life). Idempotent requests start only
// while the last heartbeat is valid, so that what a killed process may have run ended by a time that the next one can read. Where
// no store keeps what ran, requests with an unknown idempotency key fail after a start until none can come again that an earlier
// process may have run: to run one could repeat its effect.
func (s *Service) openHeartbeat() (err error) {
	set := s.cfg.Edge.Heartbeat
	if set == nil {
		return nil
	}
	if s.restartLink != nil {
		return errors.New("life: not beside another process of the service (LB_SOCKET_FD)")
	}
	if s.heartbeat, err = heartbeat.Open(set.File, s.cfg.Name, set.Valid, s.log, s.stats); err != nil {
		return fmt.Errorf("life.file: %w", err)
	}
	downtime, _ := s.heartbeat.Downtime()
	s.stats.Set(uint64(downtime.Milliseconds()), "life", "dark_ms")
	s.core.SetUnknownRunsUntil(time.Now().Add(-downtime).UnixMilli())
	lasts := s.heartbeat.MayExecute
	if wrap := s.hooks.WrapHeartbeat; wrap != nil {
		lasts = wrap(lasts)
	}
	s.core.AddGate(func(time.Duration) idempotency.Decision {
		switch {
		case s.store == nil && s.unknownRunsFor() > 0:
			return idempotency.Decision{Action: idempotency.Fail, Reason: idempotency.ReasonIncomplete}
		case !lasts():
			return idempotency.Decision{Action: idempotency.Reject, Reason: "no_sign_of_life", RetryAfter: set.Valid / 2}
		}
		return idempotency.Decision{}
	})
	s.tasks = append(s.tasks, s.heartbeat.Run)
	return nil
}

// unknownRunsFor is for how long from now on an idempotent request may be repeated that an earlier process may have run, where
// no store knows of it: the longest idempotency window, less the downtime before this start.
func (s *Service) unknownRunsFor() time.Duration {
	downtime, _ := s.heartbeat.Downtime()
	return s.core.LongestWindow() - downtime
}
