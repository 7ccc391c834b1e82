package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"silverpath"
	"silverpath/internal/controlplane/configwatch"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/core"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/loadbalancer"
	"silverpath/internal/policy/quota"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/transport/msgpackrpc"
)

// FollowerConfig sets up a Follower.
type FollowerConfig struct {
	Name      string
	Group     *quorum.Client // its own
	Docs      []string
	Site      silverpath.Settings // whose classes the group's are checked against
	OnApplied func(doc string)    // called once it acts on a new version; nil: nobody is told
}

// Follower is a process that acts on documents of a group, and does nothing else.
type Follower struct {
	Stats   metrics.Counters
	run     *running
	group   *quorum.Client
	follows *configwatch.Watcher
}

// NewFollower starts one.
func NewFollower(cfg FollowerConfig) (*Follower, error) {
	src, err := proxy.OpenGroupSource("")
	if err != nil {
		return nil, err
	}
	f := &Follower{run: run(), group: cfg.Group}
	loaded := func(asked time.Time) { // as a router reloads its map once the group has answered
		src.Confirm(asked)
		_, _, _ = src.Load(nil)
	}
	if f.follows, err = newFollower(cfg, nil, nil, &groupMap{src, loaded, nil}, &f.Stats); err != nil {
		return nil, err
	}
	f.run.keep(f.follows.Run)
	return f, nil
}

// Acts is the version of a document that it acts on, 0 for none.
func (f *Follower) Acts(doc string) int {
	var s struct{ Acts map[string]int }
	if json.Unmarshal(f.follows.Status(), &s) != nil {
		return 0
	}
	return s.Acts[doc]
}

// Close ends it and waits until nothing of it runs.
func (f *Follower) Close() {
	f.run.end()
	f.group.Close()
}

// agreed is what a follower of the map has besides.
type groupMap struct {
	source    *proxy.GroupSource
	confirmed func(time.Time)
	quota     configwatch.QuotaClient
}

// newFollower has the documents checked and taken as the service has them. Retune takes classes up, and reroute how a router chooses.
func newFollower(cfg FollowerConfig, retune func(silverpath.Settings) error, reroute func(settings.Router), a *groupMap, s *metrics.Counters) (*configwatch.Watcher, error) {
	var mu sync.Mutex
	site := cfg.Site
	own := map[string]configwatch.Document{
		configstore.DocClasses: {
			Check: func(text string) error {
				mu.Lock()
				defer mu.Unlock()
				_, err := settings.ParseClasses(text, site)
				return err
			},
			Apply: func(text string) error {
				mu.Lock()
				defer mu.Unlock()
				next, err := settings.ParseClasses(text, site)
				if err == nil && retune != nil {
					err = retune(next)
				}
				if err == nil {
					site = next
				}
				return err
			}},
		configstore.DocRouting: {
			Check: func(text string) error {
				_, err := settings.ParseRouting(text)
				return err
			},
			Apply: func(text string) error {
				next, err := settings.ParseRouting(text)
				if err == nil && reroute != nil {
					reroute(next)
				}
				return err
			}},
	}
	set := configwatch.Config{Name: cfg.Name, Group: cfg.Group, Documents: map[string]configwatch.Document{}, Log: silent(), Stats: s}
	if a != nil {
		own[configstore.DocMap] = configwatch.Document{Format: configstore.PartsFormat, Check: a.source.Check, Apply: a.source.Apply, CheckParts: a.source.CheckParts, ApplyParts: a.source.ApplyParts}
		set.OnConfirmed, set.MaxClockSkew, set.Quota = a.confirmed, a.source.MaxClockSkew, a.quota
	}
	for _, name := range cfg.Docs {
		d, ok := own[name]
		if !ok {
			return nil, fmt.Errorf("%s: this process has no use for %q", cfg.Name, name)
		}
		d.Format = max(d.Format, 1)
		if take, parts := d.Apply, d.ApplyParts; cfg.OnApplied != nil {
			took := func(err error) error {
				if err == nil {
					cfg.OnApplied(name)
				}
				return err
			}
			d.Apply = func(text string) error { return took(take(text)) }
			if parts != nil {
				d.ApplyParts = func(id configstore.ID, changed map[string]string, whole bool) error {
					return took(parts(id, changed, whole))
				}
			}
		}
		set.Documents[name] = d
	}
	return configwatch.New(set), nil
}

// RouterConfig sets up a Router.
type RouterConfig struct {
	Name                string
	IP                  string // of the loopback range: its connections to servers come from there
	Settings            silverpath.Settings
	MemoryMB            float64
	Sockets             int
	Map                 string // its file; empty: the group's
	HealthCheckInterval time.Duration
	Group               *quorum.Client
	Docs                []string // of the group
	MaxRouters          int      // routers that share the cells; 0: it knows nothing of others
	StartTimeout        time.Duration
	OnApplied           func(doc string)
}

// Router is a router without clients: its health checks, map and documents and its part in the cells are those of the real one.
type Router struct {
	Traffic
	Stats metrics.Counters
	core  *core.Core
	proxy *proxy.Runner
	run   *running
	group *quorum.Client
}

var errNoMap = errors.New("neither a file nor the group has a map for it")

// NewRouter starts one. An error says why it can't: its settings, its map's file, or that it has no source of a map.
func NewRouter(cfg RouterConfig) (*Router, error) {
	r := &Router{run: run(), group: cfg.Group}
	l := silent()
	var err error
	r.core, err = core.New(core.Config{Name: cfg.Name, Settings: cfg.Settings, MemoryMB: cfg.MemoryMB, Log: l, Stats: &r.Stats})
	if err != nil {
		return nil, err
	}
	start := &routerStart{router: r, cfg: cfg}
	if err := start.openSources(); err != nil {
		return nil, err
	}
	f, err := proxy.New(proxy.Config{
		Name: cfg.Name, Source: start.source, LoadBalancing: start.loadBalancing, Cores: cfg.Settings.Cores,
		HealthCheckInterval: start.cfg.HealthCheckInterval, MaxConnections: cfg.Sockets,
		Dial: func(ctx context.Context, addr string) (*msgpackrpc.Conn, error) { return r.dial(ctx, cfg.IP, addr) },
	}, r.core, l, &r.Stats)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", cfg.Name, err)
	}
	if cfg.MaxRouters > 0 {
		f.ShareQuota(cfg.MaxRouters, false)
	}
	start.mu.Lock()
	r.proxy = f
	start.mu.Unlock()
	if err := r.core.Attach(f, nil); err != nil {
		return nil, err
	}
	if start.follower != nil {
		r.run.keep(start.follower.Run)
	}
	r.run.keep(f.Maintain)
	return r, nil
}

// routerStart is a router that is being started: its documents come before its proxy, and may set that up.
type routerStart struct {
	router        *Router
	cfg           RouterConfig
	mu            sync.Mutex // guards the router's proxy, which the follower comes before
	source        proxy.Source
	loadBalancing loadbalancer.Config
	follower      *configwatch.Watcher // nil: it acts on no documents
}

// proxy is the router's, nil before there is one.
func (s *routerStart) proxy() *proxy.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.proxy
}

// openSources opens the source of the map, a file or the group, and follows the group's documents where it has a group.
func (s *routerStart) openSources() (err error) {
	if s.cfg.Map != "" {
		if s.source, err = proxy.OpenFileSource(s.cfg.Map, ""); err != nil {
			return err
		}
	}
	if s.cfg.Group != nil {
		if err := s.follow(); err != nil {
			return err
		}
	}
	if s.source == nil {
		return errNoMap
	}
	return nil
}

// follow acts on the group's documents from now on, and waits until it has the present ones, or for StartTimeout.
func (s *routerStart) follow() error {
	source, err := proxy.OpenGroupSource("")
	if err != nil {
		return err
	}
	of := &groupMap{source: source, confirmed: func(asked time.Time) {
		source.Confirm(asked)
		if f := s.proxy(); f != nil {
			f.Reload()
		}
	}}
	if s.cfg.MaxRouters > 0 {
		of.quota = deferredQuota{s.proxy}
	}
	if s.source == nil {
		s.source = source
	} else {
		of = nil
	}
	r := s.router
	s.follower, err = newFollower(FollowerConfig{Name: s.cfg.Name, Group: s.cfg.Group, Docs: s.cfg.Docs, Site: s.cfg.Settings, OnApplied: s.cfg.OnApplied},
		r.core.Reconfigure, s.reroute, of, &r.Stats)
	if err != nil {
		return err
	}
	r.core.SetBlockRule(s.follower.StopReasonFor)
	ctx, cancel := context.WithTimeout(r.run.ctx, max(s.cfg.StartTimeout, time.Second))
	defer cancel()
	s.follower.WaitCurrent(ctx)
	return nil
}

// reroute takes up how a router chooses, in the proxy or for it.
func (s *routerStart) reroute(next settings.Router) {
	if f := s.proxy(); f != nil {
		f.Retune(next.Routing, next.Probe)
		return
	}
	s.loadBalancing, s.cfg.HealthCheckInterval = next.Routing, next.Probe
}

// States are the servers as it knows them.
func (r *Router) States() []loadbalancer.ServerState {
	list, _ := r.proxy.States()
	return list
}

// Close ends it and waits until nothing of it runs.
func (r *Router) Close() {
	r.core.Drain(0)
	r.core.Stop()
	r.run.end()
	r.proxy.Close()
	if r.group != nil {
		r.group.Close()
	}
}

// sharing is a router that shares its cells with others, once it is there.
type deferredQuota struct{ router func() *proxy.Runner }

func (s deferredQuota) QuotaRequest() (quota.Request, func(quota.Grant, lease.Terms)) {
	if f := s.router(); f != nil {
		return f.QuotaRequest()
	}
	return quota.Request{}, func(quota.Grant, lease.Terms) {}
}
