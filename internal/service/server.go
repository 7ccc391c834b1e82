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

// asServer makes the service a server: an interpreter or an SCGI application server does the work, and the vault is below.
func (s *Service) asServer(b Budget) error {
	if s.cfg.Worker {
		var err error
		if s.worker, err = worker(s.cfg); err != nil {
			return err
		}
		s.cfg.VM = s.worker.Addr()
		events.Log(s.log, "worker", s.cfg.VM)
	}
	if err := s.takeOrders(); err != nil {
		return err
	}
	if err := s.openStore(); err != nil {
		return err
	}
	if err := s.openLife(); err != nil {
		return err
	}
	if err := s.followRules(map[string]configwatch.Document{configstore.DocPools: s.poolsDocument()}, s.worth, nil, nil, nil); err != nil {
		return err
	}
	s.recover()
	cfg := s.cfg
	if cfg.SCGI.Upstream != "" {
		up := scgi.NewUpstream(cfg.SCGI.Upstream, cfg.Server.Cores, b.Upstream, cfg.SCGI.Timeout, s.core, s.log, s.stats)
		s.keep = append(s.keep, up.ReportUp)
		return s.core.Attach(up, nil)
	}
	s.link = interpreter.New(cfg.VM, cfg.Gauges, s.core, s.log, s.stats)
	s.keep = append(s.keep, s.link.Maintain)
	var below core.Caller
	if cfg.Vault != "" {
		s.below = vault.New(cfg.Vault, b.Vault)
		below = s.below
	}
	return s.core.Attach(s.link, below)
}

// takeOrders has the server take orders of the fleet by its management front, where an edge file says so.
func (s *Service) takeOrders() (err error) {
	set := s.cfg.Edge.Orders
	if set == nil {
		return nil
	}
	if s.cfg.Mgmt == "" {
		return errors.New("orders: there is no mgmt to take them at")
	}
	group := &quorum.Client{Group: set.Group.Name, Addrs: set.Group.Members}
	if s.orders, err = command.Open(set.State, s.cfg.Name, group, s.log); err != nil {
		return fmt.Errorf("orders.state: %w", err)
	}
	return nil
}

// storePart is the part of the memory that a store's records may take at the most: pages of its file count too.
const storePart = 4

// openStore has the runs of keyed requests outlive the process, where an edge file says so.
func (s *Service) openStore() (err error) {
	set := s.cfg.Edge.Store
	if set == nil {
		return nil
	}
	if s.pair != nil {
		return errors.New("store: not beside another process of the service (LB_SOCKET_FD)")
	}
	size := set.SizeMB
	if size == 0 {
		size = s.cfg.MemoryMB / storePart / 2
	}
	if size > s.cfg.MemoryMB/storePart {
		return fmt.Errorf("store.size_mb: over a quarter of limits.memory_mb: %v", size)
	}
	s.store, err = idempotencystore.Open(idempotencystore.Config{
		Dir: set.Dir, Name: s.cfg.Name, Bytes: int(size * (1 << 20)), Result: int(set.ResultKB * (1 << 10)), Gather: set.Gather,
		Log: s.log, Stats: s.stats,
	}, s.core)
	if err != nil {
		return fmt.Errorf("store.dir: %w", err)
	}
	if wrap := s.parts.Keeper; wrap != nil {
		s.core.UseStore(wrap(s.store))
	} else {
		s.core.UseStore(s.store)
	}
	s.core.AddStatus("store", s.store.Status)
	s.keep = append(s.keep, s.store.Keep)
	return nil
}

// worker starts the built-in worker: an interpreter whose work takes as long as the operators' own typically does.
func worker(cfg settings.Config) (*standin.Interpreter, error) {
	n := cfg.Server.Cores
	return standin.Listen(standin.Config{
		Listen: "127.0.0.1:0", Cores: n, Shape: standin.Shape{Knee: float64(n), Thrash: 1, Speed: 1},
		Other:    standin.Class{Least: 60 * time.Millisecond, Most: 100 * time.Millisecond},
		MemoryKB: cfg.Server.MemoryKB, RunFactor: cfg.Server.RunFactor, Seed: uint64(cfg.Seed),
	})
}
