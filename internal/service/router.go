package service

import (
	"fmt"

	"silverpath/internal/proxy"
)

// buildRouter makes the service a router: the proxy to the fleet does the work, and there is no interpreter and no vault.
func (s *Service) buildRouter(b DescriptorBudget) error {
	src, err := s.routerConfigSource()
	if err != nil {
		return err
	}
	set := s.cfg.Edge.Router
	r := set.Routing
	r.Seed = uint64(s.cfg.Seed)
	s.router, err = proxy.New(proxy.Config{Name: s.cfg.Name, Source: src, LoadBalancing: r, Cores: s.cfg.Server.Cores, HealthCheckInterval: set.Probe, MaxConnections: b.Upstream},
		s.core, s.log, s.stats)
	if err != nil {
		return fmt.Errorf("fleet.map: %w", err)
	}
	if watch := s.cfg.Edge.ConfigWatch; watch != nil && watch.MaxRouters > 0 {
		s.router.ShareQuota(watch.MaxRouters, set.State != "") // one process at a time has the lock of its state
	}
	s.core.AddStatus("fleet", s.router.Status)
	s.tasks = append(s.tasks, s.router.Maintain)
	s.trackRouterRecovery()
	return s.core.Attach(s.router, nil)
}
