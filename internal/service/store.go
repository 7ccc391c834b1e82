package service

import (
	"errors"
	"fmt"

	"silverpath/internal/storage/idempotencystore"
)

// storeMemoryDivisor gives the maximum size of a store's records as a fraction of limits.memory_mb. The size is limited because
// pages of the store's file in the kernel's page cache count against the same memory limit.
const storeMemoryDivisor = 4

// openStore opens the store that keeps the runs of idempotent requests across restarts, if the edge file configures one.
func (s *Service) openStore() (err error) {
	config := s.cfg.Edge.Store
	if config == nil {
		return nil
	}
	if s.restartLink != nil {
		return errors.New("store: not supported with hot restart (LB_SOCKET_FD)")
	}
	size := config.SizeMB
	if size == 0 {
		size = s.cfg.MemoryMB / storeMemoryDivisor / 2
	}
	if size > s.cfg.MemoryMB/storeMemoryDivisor {
		return fmt.Errorf("store.size_mb: %v is more than a quarter of limits.memory_mb", size)
	}
	s.store, err = idempotencystore.Open(idempotencystore.Config{
		Dir: config.Dir, Name: s.cfg.Name, MaxBytes: int(size * (1 << 20)), ResultReserve: int(config.ResultKB * (1 << 10)), GroupCommitDelay: config.CommitDelay,
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
