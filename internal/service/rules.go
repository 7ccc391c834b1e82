package service

import (
	"context"
	"errors"
	"fmt"
	"time"

	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/core"
	"silverpath/internal/events"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/transport/msgpackrpc"
	"silverpath/internal/transport/scgi"
)

const (
	hearWithin = 2 * time.Second // a router that has kept a map waits so long for the group as it starts
	mapWithin  = 20 * time.Second
)

// followRules has the process act on documents of a group, where an edge file says so. Own says what it does with those that
// only its role uses.
func (s *Service) followRules(own map[string]configwatch.Document, worth func() configstore.Goodput, told func(time.Time), skew func() time.Duration, share configwatch.QuotaClient) error {
	set := s.cfg.Edge.Rules
	if set == nil {
		return nil
	}
	docs := map[string]configwatch.Document{}
	for i, name := range set.Docs {
		d, ok := own[name]
		if name == configstore.DocClasses {
			d, ok = configwatch.Document{Format: 1, Check: s.checkClasses, Apply: s.takeClasses}, true
		}
		if !ok {
			return fmt.Errorf("rules.documents[%d]: this process has no use for %q", i, name)
		}
		docs[name] = d
	}
	s.follow = configwatch.New(configwatch.Config{
		Name: s.cfg.Name, Group: &quorum.Client{Group: set.Group.Name, Addrs: set.Group.Members}, Documents: docs, Goodput: worth, OnConfirmed: told, MaxClockSkew: skew, Quota: share,
		Log: s.log, Stats: s.stats,
	})
	s.core.SetBlockRule(s.follow.StopReasonFor)
	s.core.AddStatus("follows", s.follow.Status)
	s.keep = append(s.keep, s.follow.Run)
	return nil
}

func (s *Service) checkClasses(text string) error {
	s.tuning.Lock()
	defer s.tuning.Unlock()
	_, err := settings.ParseClasses(text, s.cfg.Server)
	return err
}

// takeClasses takes up the group's classes. A window that is shorter than before holds at its old length until what ran by that
// can't come again.
func (s *Service) takeClasses(text string) error {
	s.tuning.Lock()
	defer s.tuning.Unlock()
	next, err := settings.ParseClasses(text, s.cfg.Server)
	if err != nil {
		return err
	}
	s.classes++
	s.agreed = true
	mine, wait := s.classes, time.Duration(0)
	now := next
	now.Classes = append(next.Classes[:0:0], next.Classes...)
	for i, k := range now.Classes {
		for _, old := range s.cfg.Server.Classes {
			if old.Name == k.Name {
				window, until := configstore.TransitionWindow(old.IdempotencyWindow, k.IdempotencyWindow, max(old.Deadline, k.Deadline))
				now.Classes[i].IdempotencyWindow, wait = window, max(wait, until)
			}
		}
	}
	if err := s.core.Reconfigure(now); err != nil {
		return err
	}
	s.cfg.Server = now
	if wait > 0 {
		time.AfterFunc(wait, func() {
			s.tuning.Lock()
			defer s.tuning.Unlock()
			if s.classes != mine { // others have come meanwhile
				return
			}
			if err := s.core.Reconfigure(next); err != nil {
				events.Log(s.log, "rules.bad", configstore.DocClasses, "", err)
				return
			}
			s.cfg.Server = next
			events.Log(s.log, "reload.settings", classes(next))
		})
	}
	events.Log(s.log, "reload.settings", classes(now))
	return nil
}

// worth is what this server was asked for and has served since its start, by the counters of its fronts.
func (s *Service) worth() (w configstore.Goodput) {
	for _, k := range s.core.Classes() {
		for _, front := range []string{msgpackrpc.Name, scgi.Name} {
			w.Offered += k.Weight * float64(s.stats.Get("read", front, k.Name))
			w.Served += k.Weight * float64(s.stats.Get("answered", front, k.Name, core.Served.String()))
		}
	}
	return w
}

// poolsDocument is what a server does with the document of its pools.
func (s *Service) poolsDocument() configwatch.Document {
	check := func(text string) error {
		s.tuning.Lock()
		defer s.tuning.Unlock()
		if !s.cfg.Edge.PoolsOn() {
			return errors.New("this server has no pools")
		}
		_, err := settings.ParsePools(text, s.cfg.Server)
		return err
	}
	return configwatch.Document{Format: 1, Check: check, Apply: func(text string) error {
		if err := check(text); err != nil {
			return err
		}
		s.tuning.Lock()
		defer s.tuning.Unlock()
		set, err := settings.ParsePools(text, s.cfg.Server)
		if err == nil {
			err = s.core.ReloadPools(set)
		}
		if err == nil {
			s.cfg.Edge.Pools = set
		}
		return err
	}}
}

// routerRules has a router act on the group's documents, and returns where its map is from.
func (s *Service) routerRules() (proxy.Source, error) {
	set := s.cfg.Edge.Fleet
	rules := s.cfg.Edge.Rules
	own := map[string]configwatch.Document{
		configstore.DocRouting: {Format: 1, Check: func(text string) error {
			_, err := settings.ParseRouting(text)
			return err
		}, Apply: func(text string) error {
			next, err := settings.ParseRouting(text)
			if err != nil {
				return err
			}
			next.Routing.Seed = uint64(s.cfg.Seed)
			if s.fleet == nil { // it starts with them
				set.Routing, set.Probe = next.Routing, next.Probe
				return nil
			}
			s.fleet.Retune(next.Routing, next.Probe)
			return nil
		}},
	}
	worth := func() (w configstore.Goodput) {
		if s.fleet != nil {
			w = s.fleet.Goodput()
		}
		return w
	}
	if !rules.Uses(configstore.DocMap) {
		if err := s.followRules(own, worth, nil, nil, nil); err != nil {
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
	own[configstore.DocMap] = configwatch.Document{Format: configstore.PartsFormat, Check: src.Check, Apply: src.Apply, CheckParts: src.CheckParts, ApplyParts: src.ApplyParts}
	err = s.followRules(own, worth, func(asked time.Time) {
		src.Confirm(asked)
		if s.fleet != nil {
			s.fleet.Reload()
		}
	}, src.MaxClockSkew, sharer(s, rules.Most))
	if err != nil {
		return nil, err
	}
	within := mapWithin
	if _, _, err := src.Load(nil); err == nil {
		within = hearWithin
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	s.follow.WaitCurrent(ctx)
	return src, nil
}

// sharing is a router that shares its cells with others, once it is there.
type sharing struct{ s *Service }

func sharer(s *Service, most int) configwatch.QuotaClient {
	if most == 0 {
		return nil
	}
	return sharing{s}
}

func (p sharing) QuotaRequest() (quota.Request, func(quota.Grant, lease.Terms)) {
	if p.s.fleet == nil {
		return quota.Request{}, func(quota.Grant, lease.Terms) {}
	}
	return p.s.fleet.QuotaRequest()
}
