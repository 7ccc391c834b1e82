package service

import (
	"errors"
	"fmt"
	"time"

	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/follow"
	"silverpath/internal/interp"
	"silverpath/internal/orders"
	"silverpath/internal/quorum"
	"silverpath/internal/rulebook"
	"silverpath/internal/scgi"
	"silverpath/internal/settings"
	"silverpath/internal/standin"
	"silverpath/internal/vault"
)

// asServer makes the service a server: an interpreter or an SCGI application server does the work, and the vault is below.
func (s *Service) asServer(b Budget) error {
	if s.cfg.Worker {
		var err error
		if s.worker, err = worker(s.cfg); err != nil {
			return err
		}
		s.cfg.VM = s.worker.Addr()
		events.Say(s.log, "worker", s.cfg.VM)
	}
	if err := s.takeOrders(); err != nil {
		return err
	}
	if err := s.followRules(map[string]follow.Document{rulebook.DocPools: s.poolsDocument()}, s.worth, nil, nil, nil); err != nil {
		return err
	}
	cfg := s.cfg
	if cfg.SCGI.Upstream != "" {
		up := scgi.NewUpstream(cfg.SCGI.Upstream, cfg.Server.Cores, b.Upstream, cfg.SCGI.Timeout, s.core, s.log, s.stats)
		s.keep = append(s.keep, up.Keep)
		return s.core.Attach(up, nil)
	}
	s.link = interp.New(cfg.VM, cfg.Gauges, s.core, s.log, s.stats)
	s.keep = append(s.keep, s.link.Keep)
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
	if s.orders, err = orders.Open(set.State, s.cfg.Name, group, s.log); err != nil {
		return fmt.Errorf("orders.state: %w", err)
	}
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
