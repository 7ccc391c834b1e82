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
	firstConfigWait = 2 * time.Second // a router that has kept a map waits so long for the group as it starts
	firstMapWait    = 20 * time.Second
)

// watchConfig has the process act on documents of a group, where an edge file says so. Own says what it does with those that
// only its role uses.
func (s *Service) watchConfig(documents map[string]configwatch.Document, worth func() configstore.Goodput, confirmed func(time.Time), skew func() time.Duration, share configwatch.QuotaClient) error {
	set := s.cfg.Edge.ConfigWatch
	if set == nil {
		return nil
	}
	watched := map[string]configwatch.Document{}
	for i, name := range set.Documents {
		d, ok := documents[name]
		if name == configstore.DocClasses {
			d, ok = configwatch.Document{Format: 1, Check: s.checkClasses, Apply: s.applyClasses}, true
		}
		if !ok {
			return fmt.Errorf("rules.documents[%d]: this process has no use for %q", i, name)
		}
		watched[name] = d
	}
	s.configWatch = configwatch.New(configwatch.Config{
		Name: s.cfg.Name, Group: &quorum.Client{Group: set.Group.Name, Addrs: set.Group.Members}, Documents: watched, Goodput: worth, OnConfirmed: confirmed, MaxClockSkew: skew, Quota: share,
		Log: s.log, Stats: s.stats,
	})
	s.core.SetBlockRule(s.configWatch.StopReasonFor)
	s.core.AddStatus("follows", s.configWatch.Status)
	s.tasks = append(s.tasks, s.configWatch.Run)
	return nil
}

func (s *Service) checkClasses(text string) error {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	_, err := settings.ParseClasses(text, s.cfg.Server)
	return err
}

// applyClasses takes up the group's classes. A window that is shorter than before holds at its old length until what ran by that
// can't come again.
func (s *Service) applyClasses(text string) error {
	s.settingsMu.Lock()
	defer s.settingsMu.Unlock()
	next, err := settings.ParseClasses(text, s.cfg.Server)
	if err != nil {
		return err
	}
	s.classesGeneration++
	s.classesFromGroup = true
	generation, delay := s.classesGeneration, time.Duration(0)
	interim := next
	interim.Classes = append(next.Classes[:0:0], next.Classes...)
	for i, k := range interim.Classes {
		for _, old := range s.cfg.Server.Classes {
			if old.Name == k.Name {
				window, until := configstore.TransitionWindow(old.IdempotencyWindow, k.IdempotencyWindow, max(old.Deadline, k.Deadline))
				interim.Classes[i].IdempotencyWindow, delay = window, max(delay, until)
			}
		}
	}
	if err := s.core.Reconfigure(interim); err != nil {
		return err
	}
	s.cfg.Server = interim
	if delay > 0 {
		time.AfterFunc(delay, func() {
			s.settingsMu.Lock()
			defer s.settingsMu.Unlock()
			if s.classesGeneration != generation { // others have come meanwhile
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
	events.Log(s.log, "reload.settings", classes(interim))
	return nil
}

// worthTotals is what this server was asked for and has served since its start, by the counters of its fronts.
func (s *Service) worthTotals() (w configstore.Goodput) {
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
		s.settingsMu.Lock()
		defer s.settingsMu.Unlock()
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
		s.settingsMu.Lock()
		defer s.settingsMu.Unlock()
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

// routerConfigSource has a router act on the group's documents, and returns where its map is from.
func (s *Service) routerConfigSource() (proxy.Source, error) {
	set := s.cfg.Edge.Router
	rules := s.cfg.Edge.ConfigWatch
	documents := map[string]configwatch.Document{
		configstore.DocRouting: {Format: 1, Check: func(text string) error {
			_, err := settings.ParseRouting(text)
			return err
		}, Apply: func(text string) error {
			next, err := settings.ParseRouting(text)
			if err != nil {
				return err
			}
			next.Routing.Seed = uint64(s.cfg.Seed)
			if s.router == nil { // it starts with them
				set.Routing, set.Probe = next.Routing, next.Probe
				return nil
			}
			s.router.Retune(next.Routing, next.Probe)
			return nil
		}},
	}
	worth := func() (w configstore.Goodput) {
		if s.router != nil {
			w = s.router.Goodput()
		}
		return w
	}
	if !rules.Uses(configstore.DocMap) {
		if err := s.watchConfig(documents, worth, nil, nil, nil); err != nil {
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
	documents[configstore.DocMap] = configwatch.Document{Format: configstore.PartsFormat, Check: src.Check, Apply: src.Apply, CheckParts: src.CheckParts, ApplyParts: src.ApplyParts}
	err = s.watchConfig(documents, worth, func(requestedAt time.Time) {
		src.Confirm(requestedAt)
		if s.router != nil {
			s.router.Reload()
		}
	}, src.MaxClockSkew, newQuotaSharer(s, rules.MaxRouters))
	if err != nil {
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

// quotaSharer is a router that shares its cells with others, once it is there.
type quotaSharer struct{ s *Service }

func newQuotaSharer(s *Service, most int) configwatch.QuotaClient {
	if most == 0 {
		return nil
	}
	return quotaSharer{s}
}

func (p quotaSharer) QuotaRequest() (quota.Request, func(quota.Grant, lease.Terms)) {
	if p.s.router == nil {
		return quota.Request{}, func(quota.Grant, lease.Terms) {}
	}
	return p.s.router.QuotaRequest()
}
