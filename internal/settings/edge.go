package settings

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/loadbalancer"
)

// Edge is the content of an edge file, which configures the features beyond the platform's interface. In the zero value all of them
// are off.
type Edge struct {
	Enabled     bool // there is an edge file
	Status      bool // the fronts answer status requests
	Cell        bool // the process is a server of a cell, behind routers: see docs/cells.md
	Pools       admission.Config
	Reserve     *admission.ReserveConfig // nil: no reserve
	Router      *Router                  // nil: the process is not a router
	Commands    *Commands                // nil: fenced commands are off
	ConfigWatch *ConfigWatch             // nil: the process applies only its own files
	Store       *Store                   // nil: records of runs are lost when the process exits
	Heartbeat   *Heartbeat               // nil: no heartbeat
}

// Heartbeat configures a heartbeat on disk (JSON key "life"): see docs/recovery.md.
type Heartbeat struct {
	File     string
	ValidFor time.Duration // how long after a durable heartbeat idempotent requests may start
}

// Store configures the durable store of idempotent requests (JSON key "store"): see docs/durable.md.
type Store struct {
	Dir         string
	SizeMB      float64       // size of all records; 0: an eighth of the memory
	ResultKB    float64       // reserved for the result of each run in progress
	CommitDelay time.Duration // how long a commit waits for further records if more are expected
}

// Commands configures a server that executes fenced commands of the leased controllers (JSON key "orders"): see docs/duties.md.
type Commands struct {
	State string // path of the file that preserves the latest command across a restart
	Group GroupRef
}

// Router configures a router (JSON key "fleet"): see docs/cells.md.
type Router struct {
	Map           string        // path of the cell map; empty: the group has the map
	State         string        // path of the file that preserves the last valid map across a restart; empty: none
	ProbeInterval time.Duration // interval of health checks
	Routing       loadbalancer.Config
}

// sameExceptPools reports whether two edge files are equal apart from Commands and the parameters of the pools, which may change at a
// reload.
func (e Edge) sameExceptPools(other Edge) bool {
	return e.Enabled == other.Enabled && e.Status == other.Status && e.Cell == other.Cell && e.HasPools() == other.HasPools() &&
		reflect.DeepEqual(e.Reserve, other.Reserve) && reflect.DeepEqual(e.Router, other.Router) &&
		reflect.DeepEqual(e.ConfigWatch, other.ConfigWatch) && reflect.DeepEqual(e.Store, other.Store) &&
		reflect.DeepEqual(e.Heartbeat, other.Heartbeat)
}

// HasPools reports whether the edge file configures any pools.
func (e Edge) HasPools() bool { return len(e.Pools.Pools) > 0 }

// LoadEdge reads an edge file and validates it against the settings of the site. An error names the file and the field.
func LoadEdge(path string, site silverpath.Settings) (Edge, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Edge{}, fmt.Errorf("edge file: %w", err)
	}
	e, err := ParseEdge(data, site)
	if err != nil {
		return e, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// ParseEdge parses the text of an edge file and validates it against the settings of the site.
func ParseEdge(data []byte, site silverpath.Settings) (Edge, error) {
	var err error
	f := parseObject(data, &err)
	if err != nil {
		return Edge{}, err
	}
	f.rejectUnknown("status", "cell", "pools", "limit", "memory", "reserve", "fleet", "orders", "rules", "store", "life")
	e := Edge{Enabled: true, Status: true}
	if f.v.Exists("status") {
		e.Status = f.boolean("status")
	}
	e.Cell = f.boolean("cell")
	limit, memory, reserve := f.object("limit"), f.object("memory"), f.object("reserve")
	e.Pools = readPools(f, site)
	e.Reserve = readReserve(reserve)
	e.ConfigWatch = readConfigWatch(f.object("rules"))
	e.Router = readRouter(f.object("fleet"), e.ConfigWatch)
	e.Commands = readCommands(f.object("orders"))
	e.Store = readStore(f.object("store"))
	e.Heartbeat = readHeartbeat(f.object("life"))
	if e.Heartbeat != nil && e.Router != nil {
		f.fail("life", "not supported on a router: it runs no requests")
	}
	if e.Store != nil && e.Router != nil {
		f.fail("store", "not supported on a router: it runs no requests")
	}
	switch {
	case err != nil:
		return e, err
	case !e.HasPools() && (limit.v != nil || memory.v != nil):
		return e, errors.New("pools: none, but a limit or a memory is set up for them")
	}
	if e.HasPools() {
		if err := e.Pools.Check(); err != nil {
			return e, err
		}
	}
	if e.Reserve != nil {
		return e, e.Reserve.Check()
	}
	return e, nil
}

// readCommands reads the configuration of fenced commands. It returns nil if the object is absent.
func readCommands(f fields) *Commands {
	if f.v == nil {
		return nil
	}
	f.rejectUnknown("state", "group", "members")
	commands := &Commands{State: f.text("state"), Group: f.group()}
	if commands.State == "" {
		f.fail("state", "missing")
	}
	return commands
}

// readReserve reads the share of connections reserved for cheap calls and the rates of these calls. It returns nil if the object is absent.
func readReserve(f fields) *admission.ReserveConfig {
	if f.v == nil {
		return nil
	}
	f.rejectUnknown("connections", "cheap_per_s", "cheap_each_per_s")
	return &admission.ReserveConfig{
		Connections: f.number("connections"), CheapRate: f.number("cheap_per_s"),
		CheapRatePerPeer: f.number("cheap_each_per_s"),
	}
}

// Bounds of a heartbeat's validity. A shorter one expires during a slow write; a longer one makes a restarted process wait.
const (
	minHeartbeatValid     = 200 * time.Millisecond
	maxHeartbeatValid     = time.Minute
	defaultHeartbeatValid = 2 * time.Second
)

// readHeartbeat reads the configuration of the heartbeat. It returns nil if the object is absent.
func readHeartbeat(f fields) *Heartbeat {
	if f.v == nil {
		return nil
	}
	f.rejectUnknown("file", "valid_ms")
	heartbeat := &Heartbeat{File: f.text("file"), ValidFor: time.Duration(f.integer("valid_ms")) * time.Millisecond}
	switch {
	case heartbeat.File == "":
		f.fail("file", "missing")
	case f.v.Exists("valid_ms") && (heartbeat.ValidFor < minHeartbeatValid || heartbeat.ValidFor > maxHeartbeatValid):
		f.fail("valid_ms", "not from 200 to 60000: %v", heartbeat.ValidFor.Milliseconds())
	}
	if heartbeat.ValidFor == 0 {
		heartbeat.ValidFor = defaultHeartbeatValid
	}
	return heartbeat
}

// Bounds and defaults of a store.
const (
	maxStoreMB         = 1 << 16
	maxResultKB        = 1024
	defaultResultKB    = 16 // several results of the platform's usual size
	maxCommitDelay     = 100 * time.Millisecond
	defaultCommitDelay = 500 * time.Microsecond // docs/results/durable.md compares the throughput and latency of several delays
)

// readStore reads the configuration of the durable store. It returns nil if the object is absent.
func readStore(f fields) *Store {
	if f.v == nil {
		return nil
	}
	f.rejectUnknown("dir", "size_mb", "result_kb", "gather_us")
	store := &Store{Dir: f.text("dir"), SizeMB: f.number("size_mb"), ResultKB: f.number("result_kb"), CommitDelay: f.micros("gather_us")}
	switch {
	case store.Dir == "":
		f.fail("dir", "missing")
	case !(store.SizeMB >= 0 && store.SizeMB <= maxStoreMB):
		f.fail("size_mb", "not from 0 to 65536: %v", store.SizeMB)
	case !(store.ResultKB >= 0 && store.ResultKB <= maxResultKB):
		f.fail("result_kb", "not from 0 to 1024: %v", store.ResultKB)
	case store.CommitDelay < 0 || store.CommitDelay > maxCommitDelay:
		f.fail("gather_us", "not from 0 to 100000: %v", store.CommitDelay.Microseconds())
	}
	if store.ResultKB == 0 {
		store.ResultKB = defaultResultKB
	}
	if !f.v.Exists("gather_us") {
		store.CommitDelay = defaultCommitDelay
	}
	return store
}

// readPools reads the pools of a site, their concurrency limit and their memory stages.
func readPools(f fields, site silverpath.Settings) (config admission.Config) {
	f.each("pools", func(_ int, p fields) {
		p.rejectUnknown("name", "classes", "weight", "floor")
		pool := admission.Pool{Name: p.text("name"), Weight: p.number("weight"), Floor: p.number("floor")}
		for i, k := range p.array("classes") {
			name, err := k.StringBytes()
			if err != nil {
				p.fail(fmt.Sprintf("classes[%d]", i), "not a string")
				return
			}
			if !slices.ContainsFunc(site.Classes, func(c silverpath.Class) bool { return c.Name == string(name) }) {
				p.fail(fmt.Sprintf("classes[%d]", i), "no class of the site: %q", name)
				return
			}
			pool.Classes = append(pool.Classes, string(name))
		}
		config.Pools = append(config.Pools, pool)
	})
	limit, memory := f.object("limit"), f.object("memory")
	limit.rejectUnknown("least", "start", "fixed")
	config.Limit = admission.Bounds{Min: limit.number("least"), Start: limit.number("start"), Fixed: limit.number("fixed")}
	memory.rejectUnknown("tight", "scarce", "critical")
	config.Memory = admission.MemoryStages{Tight: memory.number("tight"), Scarce: memory.number("scarce"), Critical: memory.number("critical")}
	return config
}

// readRouter reads the configuration of a router. It returns nil if the object is absent. The map comes either from a file or from the
// group.
func readRouter(f fields, watch *ConfigWatch) *Router {
	if f.v == nil {
		return nil
	}
	f.rejectUnknown("map", "state", "probe_ms", "retries", "hedges", "most_out", "panic", "slow_start_ms")
	router := readRouting(f)
	router.Map, router.State = f.text("map"), f.text("state")
	switch fromGroup := watch.Watches(configstore.DocMap); {
	case router.Map == "" && !fromGroup:
		f.fail("map", "missing")
	case router.Map != "" && fromGroup:
		f.fail("map", "set, although rules.documents takes the map from the group")
	}
	return &router
}

// readRouting reads how a router balances load, retries and checks health.
func readRouting(f fields) Router {
	router := Router{
		ProbeInterval: time.Duration(f.integer("probe_ms")) * time.Millisecond,
		Routing: loadbalancer.Config{
			RetryRatio: f.number("retries"), HedgeRatio: f.number("hedges"), MaxEjectedRatio: f.number("most_out"), PanicThreshold: f.number("panic"),
			SlowStart: time.Duration(f.integer("slow_start_ms")) * time.Millisecond,
		},
	}
	for key, v := range map[string]float64{"retries": router.Routing.RetryRatio, "hedges": router.Routing.HedgeRatio,
		"most_out": router.Routing.MaxEjectedRatio, "panic": router.Routing.PanicThreshold} {
		if !(v >= 0 && v <= 1) {
			f.fail(key, "not from 0 to 1: %v", v)
		}
	}
	if router.ProbeInterval < 0 || router.Routing.SlowStart < 0 {
		f.fail("probe_ms", "this or slow_start_ms is negative")
	}
	if router.ProbeInterval == 0 {
		router.ProbeInterval = 500 * time.Millisecond
	}
	return router
}

// rejectUnknown records an error for the first member of the object whose key is not known.
func (f fields) rejectUnknown(known ...string) {
	if f.v == nil {
		return
	}
	f.v.GetObject().Visit(func(key []byte, _ *fastjson.Value) {
		if !slices.Contains(known, string(key)) {
			f.fail(string(key), "unknown")
		}
	})
}
