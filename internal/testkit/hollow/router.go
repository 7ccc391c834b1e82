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
	Group     *quorum.Client // not shared with other processes; Close closes it
	Docs      []string
	Site      silverpath.Settings // settings against which the group's classes document is validated
	OnApplied func(doc string)    // called after a new version of a document is applied; may be nil
}

// Follower is a process that only follows and applies documents of a group.
type Follower struct {
	Stats   metrics.Counters
	tasks   *taskGroup
	group   *quorum.Client
	watcher *configwatch.Watcher
}

// NewFollower starts a follower. It returns an error if cfg.Docs lists a document that a follower can't apply.
func NewFollower(cfg FollowerConfig) (*Follower, error) {
	src, err := proxy.OpenGroupSource("")
	if err != nil {
		return nil, err
	}
	f := &Follower{tasks: newTaskGroup(), group: cfg.Group}
	confirmed := func(requestedAt time.Time) { // a router also reloads its map after each answer of the group
		src.Confirm(requestedAt)
		_, _, _ = src.Load(nil)
	}
	if f.watcher, err = newWatcher(cfg, nil, nil, &groupMap{src, confirmed, nil}, &f.Stats); err != nil {
		return nil, err
	}
	f.tasks.start(f.watcher.Run)
	return f, nil
}

// AppliedVersion returns the version of a document that the follower acts on, or 0 if there is none.
func (f *Follower) AppliedVersion(doc string) int {
	var s struct{ Acts map[string]int }
	if json.Unmarshal(f.watcher.Status(), &s) != nil {
		return 0
	}
	return s.Acts[doc]
}

// Close stops the follower and waits until its goroutine has ended.
func (f *Follower) Close() {
	f.tasks.stop()
	f.group.Close()
}

// groupMap holds what a process that follows the group's cell map needs for it.
type groupMap struct {
	source    *proxy.GroupSource
	confirmed func(time.Time)
	quota     configwatch.QuotaClient
}

// newWatcher returns a watcher that checks and applies cfg.Docs the way the service does. It applies a classes document with
// reconfigure and a routing document with updateRouting; either may be nil. The map can be followed only if gm is not nil. It returns an error for a document that
// the process can't apply.
func newWatcher(cfg FollowerConfig, reconfigure func(silverpath.Settings) error, updateRouting func(settings.Router), gm *groupMap, s *metrics.Counters) (*configwatch.Watcher, error) {
	var mu sync.Mutex
	site := cfg.Site
	documents := map[string]configwatch.Document{
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
				if err == nil && reconfigure != nil {
					err = reconfigure(next)
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
				if err == nil && updateRouting != nil {
					updateRouting(next)
				}
				return err
			}},
	}
	watchCfg := configwatch.Config{Name: cfg.Name, Group: cfg.Group, Documents: map[string]configwatch.Document{}, Log: discardLog(), Stats: s}
	if gm != nil {
		documents[configstore.DocMap] = configwatch.Document{Format: configstore.PartsFormat, Check: gm.source.Check, Apply: gm.source.Apply, CheckParts: gm.source.CheckParts, ApplyParts: gm.source.ApplyParts}
		watchCfg.OnConfirmed, watchCfg.MaxClockSkew, watchCfg.Quota = gm.confirmed, gm.source.MaxClockSkew, gm.quota
	}
	for _, name := range cfg.Docs {
		d, ok := documents[name]
		if !ok {
			return nil, fmt.Errorf("%s: can't follow document %q: not used by this process", cfg.Name, name)
		}
		d.Format = max(d.Format, 1)
		if apply, applyParts := d.Apply, d.ApplyParts; cfg.OnApplied != nil {
			notify := func(err error) error {
				if err == nil {
					cfg.OnApplied(name)
				}
				return err
			}
			d.Apply = func(text string) error { return notify(apply(text)) }
			if applyParts != nil {
				d.ApplyParts = func(id configstore.ID, changed map[string]string, whole bool) error {
					return notify(applyParts(id, changed, whole))
				}
			}
		}
		watchCfg.Documents[name] = d
	}
	return configwatch.New(watchCfg), nil
}

// RouterConfig sets up a Router.
type RouterConfig struct {
	Name                string
	IP                  string // loopback address from which it connects to servers
	Settings            silverpath.Settings
	MemoryMB            float64
	Sockets             int
	Map                 string // path of the map's file; empty: the group's map
	HealthCheckInterval time.Duration
	Group               *quorum.Client
	Docs                []string         // the group's documents to follow
	MaxRouters          int              // number of routers that share the cells' quotas; 0: no sharing
	StartTimeout        time.Duration    // how long NewRouter waits for current documents, at least 1 s
	OnApplied           func(doc string) // called after a new version of a document is applied; may be nil
}

// Router is a router without clients. Its health checks, map, documents and quotas are handled by the service's own code.
type Router struct {
	Traffic
	Stats metrics.Counters
	core  *core.Core
	proxy *proxy.Runner
	tasks *taskGroup
	group *quorum.Client
}

var errNoMap = errors.New("no source of the cell map: neither a map file nor a group is set")

// NewRouter starts a router. It returns an error if the settings or the map's file are invalid, if there is neither a map's file nor a group,
// or if the router can't follow one of the documents.
func NewRouter(cfg RouterConfig) (*Router, error) {
	r := &Router{tasks: newTaskGroup(), group: cfg.Group}
	logger := discardLog()
	var err error
	r.core, err = core.New(core.Config{Name: cfg.Name, Settings: cfg.Settings, MemoryMB: cfg.MemoryMB, Log: logger, Stats: &r.Stats})
	if err != nil {
		return nil, err
	}
	start := &routerStartup{router: r, cfg: cfg}
	if err := start.openSources(); err != nil {
		return nil, err
	}
	p, err := proxy.New(proxy.Config{
		Name: cfg.Name, Source: start.source, LoadBalancing: start.loadBalancing, Cores: cfg.Settings.Cores,
		HealthCheckInterval: start.cfg.HealthCheckInterval, MaxConnections: cfg.Sockets,
		Dial: func(ctx context.Context, addr string) (*msgpackrpc.Conn, error) { return r.dial(ctx, cfg.IP, addr) },
	}, r.core, logger, &r.Stats)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", cfg.Name, err)
	}
	if cfg.MaxRouters > 0 {
		p.EnableQuota(cfg.MaxRouters, false)
	}
	start.mu.Lock()
	r.proxy = p
	start.mu.Unlock()
	if err := r.core.Attach(p, nil); err != nil {
		return nil, err
	}
	if start.watcher != nil {
		r.tasks.start(start.watcher.Run)
	}
	r.tasks.start(p.Maintain)
	return r, nil
}

// routerStartup holds the state of NewRouter. The documents are followed before the proxy exists, since they can change its configuration.
type routerStartup struct {
	router        *Router
	cfg           RouterConfig
	mu            sync.Mutex // guards router.proxy: the watcher runs before the proxy is set
	source        proxy.Source
	loadBalancing loadbalancer.Config
	watcher       *configwatch.Watcher // nil without a group
}

// proxy returns the router's proxy, or nil while it doesn't exist yet.
func (s *routerStartup) proxy() *proxy.Runner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.router.proxy
}

// openSources opens the source of the map, which is a file or the group, and follows the group's documents if a group is set.
func (s *routerStartup) openSources() (err error) {
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

// follow sets up the watcher of the group's documents and waits until it has their current versions, for at most StartTimeout.
func (s *routerStartup) follow() error {
	source, err := proxy.OpenGroupSource("")
	if err != nil {
		return err
	}
	gm := &groupMap{source: source, confirmed: func(requestedAt time.Time) {
		source.Confirm(requestedAt)
		if f := s.proxy(); f != nil {
			f.Reload()
		}
	}}
	if s.cfg.MaxRouters > 0 {
		gm.quota = deferredQuota{s.proxy}
	}
	if s.source == nil {
		s.source = source
	} else {
		gm = nil
	}
	r := s.router
	s.watcher, err = newWatcher(FollowerConfig{Name: s.cfg.Name, Group: s.cfg.Group, Docs: s.cfg.Docs, Site: s.cfg.Settings, OnApplied: s.cfg.OnApplied},
		r.core.Reconfigure, s.updateRouting, gm, &r.Stats)
	if err != nil {
		return err
	}
	r.core.SetBlockRule(s.watcher.StopReasonFor)
	ctx, cancel := context.WithTimeout(r.tasks.ctx, max(s.cfg.StartTimeout, time.Second))
	defer cancel()
	s.watcher.WaitCurrent(ctx)
	return nil
}

// updateRouting applies a routing document to the proxy, or to the proxy's future configuration if there is no proxy yet.
func (s *routerStartup) updateRouting(next settings.Router) {
	if f := s.proxy(); f != nil {
		f.Retune(next.Routing, next.ProbeInterval)
		return
	}
	s.loadBalancing, s.cfg.HealthCheckInterval = next.Routing, next.ProbeInterval
}

// States returns the servers of the map and their state as the router sees it.
func (r *Router) States() []loadbalancer.ServerState {
	list, _ := r.proxy.States()
	return list
}

// Close stops the router and waits until all its goroutines have ended.
func (r *Router) Close() {
	r.core.Drain(0)
	r.core.Stop()
	r.tasks.stop()
	r.proxy.Close()
	if r.group != nil {
		r.group.Close()
	}
}

// deferredQuota is the quota client of a router whose proxy may not exist yet. Until it does, it requests nothing and ignores grants.
type deferredQuota struct{ proxy func() *proxy.Runner }

func (q deferredQuota) QuotaRequest() (quota.Request, func(quota.Grant, lease.Terms)) {
	if p := q.proxy(); p != nil {
		return p.QuotaRequest()
	}
	return quota.Request{}, func(quota.Grant, lease.Terms) {}
}
