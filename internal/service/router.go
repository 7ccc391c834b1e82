package service

import (
	"fmt"

	"silverpath/internal/proxy"
)

// buildRouter opens the components of a router. A proxy forwards the requests to the servers of the fleet; a router has no
// interpreter and no vault.
func (s *Service) buildRouter(b DescriptorBudget) error {
	source, err := s.routerConfigSource()
	if err != nil {
		return err
	}
	config := s.cfg.Edge.Router
	routing := config.Routing
	routing.Seed = uint64(s.cfg.Seed)
	s.router, err = proxy.New(proxy.Config{Name: s.cfg.Name, Source: source, LoadBalancing: routing, Cores: s.cfg.Server.Cores, HealthCheckInterval: config.ProbeInterval, MaxConnections: b.Upstream},
		s.core, s.log, s.stats)
	if err != nil {
		return fmt.Errorf("fleet.map: %w", err)
	}
	if watch := s.cfg.Edge.ConfigWatch; watch != nil && watch.MaxRouters > 0 {
		s.router.EnableQuota(watch.MaxRouters, config.State != "") // a router with a state file locks it, so no other process can run under its name
	}
	s.core.AddStatus("fleet", s.router.Status)
	s.tasks = append(s.tasks, s.router.Maintain)
	s.trackRouterRecovery()
	return s.core.Attach(s.router, nil)
}
