package service

import (
	"errors"
	"fmt"
	"time"

	"silverpath/internal/controlplane/command"
	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
	"silverpath/internal/storage/idempotencystore"
	"silverpath/internal/testkit/standin"
	"silverpath/internal/transport/interpreter"
	"silverpath/internal/transport/scgi"
	"silverpath/internal/transport/vault"
)

// buildServer makes the service a server: an interpreter or an SCGI application server does the work, and the vault is below.
func (s *Service) buildServer(b DescriptorBudget) error {
	if s.cfg.BuiltinWorker {
		var err error
		if s.builtinWorker, err = startBuiltinWorker(s.cfg); err != nil {
			return err
		}
		s.cfg.Interpreter = s.builtinWorker.Addr()
		events.Log(s.log, "worker", s.cfg.Interpreter)
	}
	if err := s.openCommands(); err != nil {
		return err
	}
	if err := s.openStore(); err != nil {
		return err
	}
	if err := s.openHeartbeat(); err != nil {
		return err
	}
	if err := s.watchConfig(map[string]configwatch.Document{configstore.DocPools: s.poolsDocument()}, s.worthTotals, nil, nil, nil); err != nil {
		return err
	}
	s.trackServerRecovery()
	cfg := s.cfg
	if cfg.SCGI.Upstream != "" {
		up := scgi.NewUpstream(cfg.SCGI.Upstream, cfg.Server.Cores, b.Upstream, cfg.SCGI.Timeout, s.core, s.log, s.stats)
		s.tasks = append(s.tasks, up.ReportUp)
		return s.core.Attach(up, nil)
	}
	s.interpreter = interpreter.New(cfg.Interpreter, cfg.Gauges, s.core, s.log, s.stats)
	s.tasks = append(s.tasks, s.interpreter.Maintain)
	var below core.Caller
	if cfg.Vault != "" {
		s.vault = vault.New(cfg.Vault, b.Vault)
		below = s.vault
	}
	return s.core.Attach(s.interpreter, below)
}

// openCommands has the server take orders of the fleet by its management front, where an edge file says so.
func (s *Service) openCommands() (err error) {
	set := s.cfg.Edge.Commands
	if set == nil {
		return nil
	}
	if s.cfg.Admin == "" {
		return errors.New("orders: there is no mgmt to take them at")
	}
	group := &quorum.Client{Group: set.Group.Name, Addrs: set.Group.Members}
	if s.commands, err = command.Open(set.State, s.cfg.Name, group, s.log); err != nil {
		return fmt.Errorf("orders.state: %w", err)
	}
	return nil
}

// maxStoreShare is the part of the memory that a store's records may take at the most: pages of its file count too.
const maxStoreShare = 4

// openStore has the runs of keyed requests outlive the process, where an edge file says so.
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
		size = s.cfg.MemoryMB / maxStoreShare / 2
	}
	if size > s.cfg.MemoryMB/maxStoreShare {
		return fmt.Errorf("store.size_mb: over a quarter of limits.memory_mb: %v", size)
	}
	s.store, err = idempotencystore.Open(idempotencystore.Config{
		Dir: set.Dir, Name: s.cfg.Name, Bytes: int(size * (1 << 20)), Result: int(set.ResultKB * (1 << 10)), Gather: set.CommitDelay,
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
	s.tasks = append(s.tasks, s.store.Keep)
	return nil
}

// startBuiltinWorker starts the built-in worker: an interpreter whose work takes as long as the operators' own typically does.
func startBuiltinWorker(cfg settings.Config) (*standin.Interpreter, error) {
	n := cfg.Server.Cores
	return standin.Listen(standin.Config{
		Listen: "127.0.0.1:0", Cores: n, Shape: standin.Shape{Knee: float64(n), Thrash: 1, Speed: 1},
		Other:    standin.Class{Least: 60 * time.Millisecond, Most: 100 * time.Millisecond},
		MemoryKB: cfg.Server.MemoryKB, RunFactor: cfg.Server.RunFactor, Seed: uint64(cfg.Seed),
	})
}
