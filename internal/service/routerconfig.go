package service

import (
	"context"
	"fmt"
	"time"

	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
)

// Timeouts for the group's documents at the start of a router. A router with a stored map serves from that map if the group does
// not answer. A router without a stored map can't serve at all, so its timeout is long enough for the group to elect a new leader.
const (
	firstConfigWait = 2 * time.Second
	firstMapWait    = 20 * time.Second
)

// routerConfigSource starts to watch the group's documents for a router and returns the source of its cell map: the group if the
// map is one of the watched documents, a file otherwise. If the source is the group, routerConfigSource waits until the map is
// current or the timeout has passed.
func (s *Service) routerConfigSource() (proxy.Source, error) {
	config := s.cfg.Edge.Router
	role := roleConfig{
		documents: map[string]configwatch.Document{configstore.DocRouting: s.routingDocument()},
		goodput:   s.routerGoodput,
	}
	if !s.cfg.Edge.ConfigWatch.Watches(configstore.DocMap) {
		if err := s.watchConfig(role); err != nil {
			return nil, err
		}
		src, err := proxy.OpenFileSource(config.Map, config.State)
		if err != nil {
			return nil, fmt.Errorf("fleet.state: %w", err)
		}
		return src, nil
	}
	src, err := proxy.OpenGroupSource(config.State)
	if err != nil {
		return nil, fmt.Errorf("fleet.state: %w", err)
	}
	role.documents[configstore.DocMap] = configwatch.Document{
		Format: configstore.PartsFormat, Check: src.Check, Apply: src.Apply, CheckParts: src.CheckParts, ApplyParts: src.ApplyParts,
	}
	role.onConfirmed = func(requestedAt time.Time) {
		src.Confirm(requestedAt)
		if s.router != nil {
			s.router.Reload()
		}
	}
	role.maxClockSkew = src.MaxClockSkew
	if s.cfg.Edge.ConfigWatch.MaxRouters > 0 {
		role.quota = quotaClient{s}
	}
	if err := s.watchConfig(role); err != nil {
		return nil, err
	}
	wait := firstMapWait
	if _, _, err := src.Load(nil); err == nil {
		wait = firstConfigWait
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	s.configWatch.WaitCurrent(ctx)
	return src, nil
}

// routingDocument returns the functions with which a router checks and applies the group's load balancing document. A document
// that arrives before the proxy exists becomes part of the proxy's initial configuration.
func (s *Service) routingDocument() configwatch.Document {
	check := func(text string) error {
		_, err := settings.ParseRouting(text)
		return err
	}
	return configwatch.Document{Format: 1, Check: check, Apply: func(text string) error {
		next, err := settings.ParseRouting(text)
		if err != nil {
			return err
		}
		next.Routing.Seed = uint64(s.cfg.Seed)
		if s.router == nil {
			s.cfg.Edge.Router.Routing, s.cfg.Edge.Router.ProbeInterval = next.Routing, next.ProbeInterval
			return nil
		}
		s.router.Retune(next.Routing, next.ProbeInterval)
		return nil
	}}
}

// routerGoodput returns the goodput of the proxy, or zero before the proxy exists.
func (s *Service) routerGoodput() configstore.Goodput {
	if s.router == nil {
		return configstore.Goodput{}
	}
	return s.router.Goodput()
}

// quotaClient requests quota from the group for the proxy of a router. Before the proxy exists its requests are empty.
type quotaClient struct{ s *Service }

// QuotaRequest returns the quota request to send with the next poll of the group, and the function that applies the answer. The
// config watcher calls it before each poll.
func (q quotaClient) QuotaRequest() (quota.Request, func(quota.Grant, lease.Terms)) {
	if q.s.router == nil {
		return quota.Request{}, func(quota.Grant, lease.Terms) {}
	}
	return q.s.router.QuotaRequest()
}
