package service

import (
	"fmt"

	"silverpath/internal/proxy"
)

// asRouter makes the service a router: the fleet is its runner, and it has no interpreter and nothing below.
func (s *Service) asRouter(b Budget) error {
	src, err := s.routerRules()
	if err != nil {
		return err
	}
	set := s.cfg.Edge.Fleet
	r := set.Routing
	r.Seed = uint64(s.cfg.Seed)
	s.fleet, err = proxy.New(proxy.Config{Name: s.cfg.Name, Source: src, LoadBalancing: r, Cores: s.cfg.Server.Cores, HealthCheckInterval: set.Probe, MaxConnections: b.Upstream},
		s.core, s.log, s.stats)
	if err != nil {
		return fmt.Errorf("fleet.map: %w", err)
	}
	if most := s.cfg.Edge.Rules; most != nil && most.Most > 0 {
		s.fleet.ShareQuota(most.Most, set.State != "") // whose lock one process has
	}
	s.core.AddStatus("fleet", s.fleet.Status)
	s.keep = append(s.keep, s.fleet.Maintain)
	s.recoverRouter()
	return s.core.Attach(s.fleet, nil)
}
