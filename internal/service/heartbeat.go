package service

import (
	"errors"
	"fmt"
	"time"

	"silverpath/internal/policy/idempotency"
	"silverpath/internal/policy/recovery"
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
	retention := s.core.LongestWindow
	if s.store != nil {
		retention = nil // the store knows the runs and their windows
	}
	if s.heartbeat, err = heartbeat.Open(config.File, s.cfg.Name, config.ValidFor, retention, s.log, s.stats); err != nil {
		return fmt.Errorf("life.file: %w", err)
	}
	unknownRuns := recovery.NewUnknownRuns(s.core.LongestWindow(), s.heartbeat.PreviousRetention())
	s.unknownRuns.Store(&unknownRuns)
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
// no store recorded, by the longest windows of that process and of this one.
func (s *Service) unknownRunsRemaining() time.Duration {
	downtime, _ := s.heartbeat.Downtime()
	return s.unknownRuns.Load().Remaining(downtime)
}

// extendUnknownRuns applies windows that have become longer to the time in which unknown keys fail. The caller holds settingsMu.
func (s *Service) extendUnknownRuns() {
	if s.heartbeat == nil {
		return
	}
	downtime, _ := s.heartbeat.Downtime()
	extended := s.unknownRuns.Load().Extended(s.core.LongestWindow(), downtime)
	s.unknownRuns.Store(&extended)
}
