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

// How long a router waits for the group's documents as it starts. One that has kept a map serves by that if the group is silent;
// one without has nothing to serve by, and is given the time in which a group elects a leader anew.
const (
	firstConfigWait = 2 * time.Second
	firstMapWait    = 20 * time.Second
)

// routerConfigSource has a router act on the group's documents and returns where its cell map comes from: the group, where the
// map is among the documents, else a file. Where it is the group, the call waits until the map is current, or the wait is over.
func (s *Service) routerConfigSource() (proxy.Source, error) {
	set := s.cfg.Edge.Router
	role := roleConfig{
		documents: map[string]configwatch.Document{configstore.DocRouting: s.routingDocument()},
		goodput:   s.routerGoodput,
	}
	if !s.cfg.Edge.ConfigWatch.Uses(configstore.DocMap) {
		if err := s.watchConfig(role); err != nil {
			return nil, err
		}
		src, err := proxy.OpenFileSource(set.Map, set.State)
		if err != nil {
			return nil, fmt.Errorf("fleet.state: %w", err)
		}
		return src, nil
	}
	src, err := proxy.OpenGroupSource(set.State)
	if err != nil {
		return nil, fmt.Errorf("fleet.state: %w", err)
	}
	role.documents[configstore.DocMap] = configwatch.Document{
		Format: configstore.PartsFormat, Check: src.Check, Apply: src.Apply, CheckParts: src.CheckParts, ApplyParts: src.ApplyParts,
	}
	role.confirmed = func(requestedAt time.Time) {
		src.Confirm(requestedAt)
		if s.router != nil {
			s.router.Reload()
		}
	}
	role.clockSkew = src.MaxClockSkew
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

// routingDocument is how a router applies the document of its load balancing: before it has a proxy, the proxy starts with it.
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
			s.cfg.Edge.Router.Routing, s.cfg.Edge.Router.Probe = next.Routing, next.Probe
			return nil
		}
		s.router.Retune(next.Routing, next.Probe)
		return nil
	}}
}

// routerGoodput is the goodput of the proxy, none before there is one.
func (s *Service) routerGoodput() configstore.Goodput {
	if s.router == nil {
		return configstore.Goodput{}
	}
	return s.router.Goodput()
}

// quotaClient asks the group for the quota of a router's proxy, and for nothing before there is one.
type quotaClient struct{ s *Service }

// QuotaRequest is called by the config watch before each poll of the group; what it returns takes the answer.
func (q quotaClient) QuotaRequest() (quota.Request, func(quota.Grant, lease.Terms)) {
	if q.s.router == nil {
		return quota.Request{}, func(quota.Grant, lease.Terms) {}
	}
	return q.s.router.QuotaRequest()
}
