package service

import (
	"errors"
	"fmt"

	"silverpath/internal/storage/idempotencystore"
)

// storeMemoryDivisor is the divisor of limits.memory_mb that gives the most a store's records may take: pages of its file that the
// kernel keeps in memory count against the same limit.
const storeMemoryDivisor = 4

// openStore has the runs of idempotent requests outlive the process, where the edge file sets a store up.
func (s *Service) openStore() (err error) {
	set := s.cfg.Edge.Store
	if set == nil {
		return nil
	}
	if s.restartLink != nil {
		return errors.New("store: not beside another process of the service (LB_SOCKET_FD)")
	}
	size := set.SizeMB
	if size == 0 {
		size = s.cfg.MemoryMB / storeMemoryDivisor / 2
	}
	if size > s.cfg.MemoryMB/storeMemoryDivisor {
		return fmt.Errorf("store.size_mb: over a quarter of limits.memory_mb: %v", size)
	}
	s.store, err = idempotencystore.Open(idempotencystore.Config{
		Dir: set.Dir, Name: s.cfg.Name, MaxBytes: int(size * (1 << 20)), ResultReserve: int(set.ResultKB * (1 << 10)), GroupCommitDelay: set.CommitDelay,
		Log: s.log, Stats: s.stats,
	}, s.core)
	if err != nil {
		return fmt.Errorf("store.dir: %w", err)
	}
	if wrap := s.hooks.WrapStore; wrap != nil {
		s.core.UseStore(wrap(s.store))
	} else {
		s.core.UseStore(s.store)
	}
	s.core.AddStatus("store", s.store.Status)
	s.tasks = append(s.tasks, s.store.Run)
	return nil
}
