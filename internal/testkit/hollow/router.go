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
	Name  string
	Group *quorum.Client // its own
	Docs  []string
	Site  silverpath.Settings // whose classes the group's are checked against
	Took  func(doc string)    // called once it acts on a new version; nil: nobody is told
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
	if f.follows, err = newFollower(cfg, nil, nil, &agreed{src, loaded, nil}, &f.Stats); err != nil {
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
type agreed struct {
	src   *proxy.GroupSource
	told  func(time.Time)
	share configwatch.QuotaClient
}

// newFollower has the documents checked and taken as the service has them. Retune takes classes up, and reroute how a router chooses.
func newFollower(cfg FollowerConfig, retune func(silverpath.Settings) error, reroute func(settings.Router), a *agreed, s *metrics.Counters) (*configwatch.Watcher, error) {
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
		own[configstore.DocMap] = configwatch.Document{Format: configstore.PartsFormat, Check: a.src.Check, Apply: a.src.Apply, CheckParts: a.src.CheckParts, ApplyParts: a.src.ApplyParts}
		set.OnConfirmed, set.MaxClockSkew, set.Quota = a.told, a.src.MaxClockSkew, a.share
	}
	for _, name := range cfg.Docs {
		d, ok := own[name]
		if !ok {
			return nil, fmt.Errorf("%s: this process has no use for %q", cfg.Name, name)
		}
		d.Format = max(d.Format, 1)
		if take, parts := d.Apply, d.ApplyParts; cfg.Took != nil {
			took := func(err error) error {
				if err == nil {
					cfg.Took(name)
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
	Name     string
	IP       string // of the loopback range: its connections to servers come from there
	Settings silverpath.Settings
	MemoryMB float64
	Sockets  int
	Map      string // its file; empty: the group's
	Probe    time.Duration
	Group    *quorum.Client
	Docs     []string // of the group
	Most     int      // routers that share the cells; 0: it knows nothing of others
	Within   time.Duration
	Took     func(doc string)
}

// Router is a router without clients: its health checks, map and documents and its part in the cells are those of the real one.
type Router struct {
	Traffic
	Stats metrics.Counters
	core  *core.Core
	fleet *proxy.Runner
	run   *running
	group *quorum.Client
}

var errNoMap = errors.New("neither a file nor the group has a map for it")

// NewRouter starts one.
func NewRouter(cfg RouterConfig) (*Router, error) {
	r := &Router{run: run(), group: cfg.Group}
	l := silent()
	var err error
	r.core, err = core.New(core.Config{Name: cfg.Name, Settings: cfg.Settings, MemoryMB: cfg.MemoryMB, Log: l, Stats: &r.Stats})
	if err != nil {
		return nil, err
	}
	var src proxy.Source
	var mu sync.Mutex // of the fleet, which the follower comes before
	runner := func() *proxy.Runner {
		mu.Lock()
		defer mu.Unlock()
		return r.fleet
	}
	ways := loadbalancer.Config{}
	var follows *configwatch.Watcher
	if cfg.Map != "" {
		src, err = proxy.OpenFileSource(cfg.Map, "")
	}
	if err != nil {
		return nil, err
	}
	if cfg.Group != nil {
		a, err := proxy.OpenGroupSource("")
		if err != nil {
			return nil, err
		}
		told := func(asked time.Time) {
			a.Confirm(asked)
			if f := runner(); f != nil {
				f.Reload()
			}
		}
		reroute := func(next settings.Router) {
			if f := runner(); f != nil {
				f.Retune(next.Routing, next.Probe)
				return
			}
			ways, cfg.Probe = next.Routing, next.Probe
		}
		var share configwatch.QuotaClient
		if cfg.Most > 0 {
			share = sharing{runner}
		}
		of := &agreed{a, told, share}
		if src == nil {
			src = a
		} else {
			of = nil
		}
		follows, err = newFollower(FollowerConfig{Name: cfg.Name, Group: cfg.Group, Docs: cfg.Docs, Site: cfg.Settings, Took: cfg.Took}, r.core.Reconfigure, reroute, of, &r.Stats)
		if err != nil {
			return nil, err
		}
		r.core.SetBlockRule(follows.StopReasonFor)
		ctx, cancel := context.WithTimeout(r.run.ctx, max(cfg.Within, time.Second))
		follows.WaitCurrent(ctx)
		cancel()
	}
	if src == nil {
		return nil, errNoMap
	}
	f, err := proxy.New(proxy.Config{
		Name: cfg.Name, Source: src, LoadBalancing: ways, Cores: cfg.Settings.Cores, HealthCheckInterval: cfg.Probe, MaxConnections: cfg.Sockets,
		Dial: func(ctx context.Context, addr string) (*msgpackrpc.Conn, error) { return r.dial(ctx, cfg.IP, addr) },
	}, r.core, l, &r.Stats)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", cfg.Name, err)
	}
	if cfg.Most > 0 {
		f.ShareQuota(cfg.Most, false)
	}
	mu.Lock()
	r.fleet = f
	mu.Unlock()
	if err := r.core.Attach(f, nil); err != nil {
		return nil, err
	}
	if follows != nil {
		r.run.keep(follows.Run)
	}
	r.run.keep(f.Maintain)
	return r, nil
}

// States are the servers as it knows them.
func (r *Router) States() []loadbalancer.ServerState {
	list, _ := r.fleet.States()
	return list
}

// Close ends it and waits until nothing of it runs.
func (r *Router) Close() {
	r.core.Drain(0)
	r.core.Stop()
	r.run.end()
	r.fleet.Close()
	if r.group != nil {
		r.group.Close()
	}
}

// sharing is a router that shares its cells with others, once it is there.
type sharing struct{ fleet func() *proxy.Runner }

func (s sharing) QuotaRequest() (quota.Request, func(quota.Grant, lease.Terms)) {
	if f := s.fleet(); f != nil {
		return f.QuotaRequest()
	}
	return quota.Request{}, func(quota.Grant, lease.Terms) {}
}
