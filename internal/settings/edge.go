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

// Edge is an edge file: what goes beyond the platform, set up by the operator. The zero value is all off.
type Edge struct {
	On          bool // an edge file was given
	Status      bool // fronts answer status requests
	Cell        bool // serves in a cell, behind routers: see docs/cells.md
	Pools       admission.Config
	Reserve     *admission.ReserveConfig // nil: none
	Router      *Router                  // nil: it is no router
	Commands    *Commands                // nil: it takes no commands of the fleet
	ConfigWatch *ConfigWatch             // nil: it acts on its own files alone
	Store       *Store                   // nil: what ran is forgotten with the process
	Heartbeat   *Heartbeat               // nil: it leaves no heartbeat
}

// Heartbeat sets up a heartbeat on disk ("life"): see docs/recovery.md.
type Heartbeat struct {
	File  string
	Valid time.Duration // how long after one that is on disk idempotent requests may start
}

// Store sets up where the runs of idempotent requests outlive the process ("store"): see docs/durable.md.
type Store struct {
	Dir         string
	SizeMB      float64       // of all records; 0: an eighth of the memory
	ResultKB    float64       // set aside for each result that is to come
	CommitDelay time.Duration // how long a commit waits for more that could go with it, where more is to be expected
}

// Commands sets up a server that takes commands of the fleet's controllers ("orders"): see docs/duties.md.
type Commands struct {
	State string // the file that keeps the latest over a restart
	Group GroupRef
}

// Router sets up a router ("fleet"): see docs/cells.md.
type Router struct {
	Map     string // the file with the cell map
	State   string // the file that keeps the last good map over a restart; empty: none
	Probe   time.Duration
	Routing loadbalancer.Config
}

// sameExceptPools reports whether another edge file sets up the same, but for the shares of its pools, which may change at a reload,
// and for who commands the fleet.
func (e Edge) sameExceptPools(other Edge) bool {
	return e.On == other.On && e.Status == other.Status && e.Cell == other.Cell && e.PoolsOn() == other.PoolsOn() &&
		reflect.DeepEqual(e.Reserve, other.Reserve) && reflect.DeepEqual(e.Router, other.Router) &&
		reflect.DeepEqual(e.ConfigWatch, other.ConfigWatch) && reflect.DeepEqual(e.Store, other.Store) &&
		reflect.DeepEqual(e.Heartbeat, other.Heartbeat)
}

// PoolsOn reports whether there are pools.
func (e Edge) PoolsOn() bool { return len(e.Pools.Pools) > 0 }

// LoadEdge reads an edge file for a site with the given settings. An error names the file and the field.
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

// ParseEdge reads the text of an edge file for a site with the given settings.
func ParseEdge(data []byte, site silverpath.Settings) (Edge, error) {
	var err error
	f := object(data, &err)
	if err != nil {
		return Edge{}, err
	}
	f.only("status", "cell", "pools", "limit", "memory", "reserve", "fleet", "orders", "rules", "store", "life")
	e := Edge{On: true, Status: true}
	if f.v.Exists("status") {
		e.Status = f.flag("status")
	}
	e.Cell = f.flag("cell")
	limit, memory, reserve := f.object("limit"), f.object("memory"), f.object("reserve")
	e.Pools = readPools(f, site)
	e.Reserve = readReserve(reserve)
	e.ConfigWatch = readConfigWatch(f.object("rules"))
	e.Router = readRouter(f.object("fleet"), e.ConfigWatch)
	e.Commands = readCommands(f.object("orders"))
	e.Store = readStore(f.object("store"))
	e.Heartbeat = readHeartbeat(f.object("life"))
	if e.Heartbeat != nil && e.Router != nil {
		f.fail("life", "a router runs no sheets")
	}
	if e.Store != nil && e.Router != nil {
		f.fail("store", "a router keeps no runs")
	}
	switch {
	case err != nil:
		return e, err
	case !e.PoolsOn() && (limit.v != nil || memory.v != nil):
		return e, errors.New("pools: none, but a limit or a memory is set up for them")
	}
	if e.PoolsOn() {
		if err := e.Pools.Check(); err != nil {
			return e, err
		}
	}
	if e.Reserve != nil {
		return e, e.Reserve.Check()
	}
	return e, nil
}

// readCommands reads how a server takes the fleet's commands; nil: not at all.
func readCommands(f fields) *Commands {
	if f.v == nil {
		return nil
	}
	f.only("state", "group", "members")
	set := &Commands{State: f.text("state"), Group: f.group()}
	if set.State == "" {
		f.fail("state", "missing")
	}
	return set
}

// readReserve reads the part of the connections that is set aside for cheap calls; nil: none is.
func readReserve(f fields) *admission.ReserveConfig {
	if f.v == nil {
		return nil
	}
	f.only("connections", "cheap_per_s", "cheap_each_per_s")
	return &admission.ReserveConfig{
		Connections: f.number("connections"), CheapRate: f.number("cheap_per_s"),
		CheapRatePerPeer: f.number("cheap_each_per_s"),
	}
}

// Bounds of a heartbeat's validity: shorter ones would lapse at a slow write, longer ones keep a restarted process waiting.
const (
	minHeartbeatValid     = 200 * time.Millisecond
	maxHeartbeatValid     = time.Minute
	defaultHeartbeatValid = 2 * time.Second
)

// readHeartbeat reads the heartbeat on disk; nil: none.
func readHeartbeat(f fields) *Heartbeat {
	if f.v == nil {
		return nil
	}
	f.only("file", "valid_ms")
	set := &Heartbeat{File: f.text("file"), Valid: time.Duration(f.integer("valid_ms")) * time.Millisecond}
	switch {
	case set.File == "":
		f.fail("file", "missing")
	case f.v.Exists("valid_ms") && (set.Valid < minHeartbeatValid || set.Valid > maxHeartbeatValid):
		f.fail("valid_ms", "not from 200 to 60000: %v", set.Valid.Milliseconds())
	}
	if set.Valid == 0 {
		set.Valid = defaultHeartbeatValid
	}
	return set
}

// Bounds and defaults of a store.
const (
	maxStoreMB         = 1 << 16
	maxResultKB        = 1024
	defaultResultKB    = 16 // several of the platform's results
	maxCommitDelay     = 100 * time.Millisecond
	defaultCommitDelay = 500 * time.Microsecond // docs/results/durable.md has what it gains and costs
)

// readStore reads the store of idempotent requests; nil: none.
func readStore(f fields) *Store {
	if f.v == nil {
		return nil
	}
	f.only("dir", "size_mb", "result_kb", "gather_us")
	set := &Store{Dir: f.text("dir"), SizeMB: f.number("size_mb"), ResultKB: f.number("result_kb"), CommitDelay: f.micros("gather_us")}
	switch {
	case set.Dir == "":
		f.fail("dir", "missing")
	case !(set.SizeMB >= 0 && set.SizeMB <= maxStoreMB):
		f.fail("size_mb", "not from 0 to 65536: %v", set.SizeMB)
	case !(set.ResultKB >= 0 && set.ResultKB <= maxResultKB):
		f.fail("result_kb", "not from 0 to 1024: %v", set.ResultKB)
	case set.CommitDelay < 0 || set.CommitDelay > maxCommitDelay:
		f.fail("gather_us", "not from 0 to 100000: %v", set.CommitDelay.Microseconds())
	}
	if set.ResultKB == 0 {
		set.ResultKB = defaultResultKB
	}
	if !f.v.Exists("gather_us") {
		set.CommitDelay = defaultCommitDelay
	}
	return set
}

// readPools reads the pools of a site with their limit and memory stages.
func readPools(f fields, site silverpath.Settings) (set admission.Config) {
	f.each("pools", func(_ int, p fields) {
		p.only("name", "classes", "weight", "floor")
		one := admission.Pool{Name: p.text("name"), Weight: p.number("weight"), Floor: p.number("floor")}
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
			one.Classes = append(one.Classes, string(name))
		}
		set.Pools = append(set.Pools, one)
	})
	limit, memory := f.object("limit"), f.object("memory")
	limit.only("least", "start", "fixed")
	set.Limit = admission.Bounds{Min: limit.number("least"), Start: limit.number("start"), Fixed: limit.number("fixed")}
	memory.only("tight", "scarce", "critical")
	set.Memory = admission.MemoryStages{Tight: memory.number("tight"), Scarce: memory.number("scarce"), Critical: memory.number("critical")}
	return set
}

// readRouter reads how a router finds and treats its servers; nil: the process is no router. The map comes from a file or from the
// group, never from both.
func readRouter(f fields, watch *ConfigWatch) *Router {
	if f.v == nil {
		return nil
	}
	f.only("map", "state", "probe_ms", "retries", "hedges", "most_out", "panic", "slow_start_ms")
	set := readRouting(f)
	set.Map, set.State = f.text("map"), f.text("state")
	switch fromGroup := watch.Uses(configstore.DocMap); {
	case set.Map == "" && !fromGroup:
		f.fail("map", "missing")
	case set.Map != "" && fromGroup:
		f.fail("map", "the group has it: rules.documents names it too")
	}
	return &set
}

// readRouting reads how a router balances load and retries.
func readRouting(f fields) Router {
	set := Router{
		Probe: time.Duration(f.integer("probe_ms")) * time.Millisecond,
		Routing: loadbalancer.Config{
			RetryRatio: f.number("retries"), HedgeRatio: f.number("hedges"), MaxEjectedRatio: f.number("most_out"), PanicThreshold: f.number("panic"),
			SlowStart: time.Duration(f.integer("slow_start_ms")) * time.Millisecond,
		},
	}
	for key, v := range map[string]float64{"retries": set.Routing.RetryRatio, "hedges": set.Routing.HedgeRatio,
		"most_out": set.Routing.MaxEjectedRatio, "panic": set.Routing.PanicThreshold} {
		if !(v >= 0 && v <= 1) {
			f.fail(key, "not from 0 to 1: %v", v)
		}
	}
	if set.Probe < 0 || set.Routing.SlowStart < 0 {
		f.fail("probe_ms", "it or slow_start_ms is negative")
	}
	if set.Probe == 0 {
		set.Probe = 500 * time.Millisecond
	}
	return set
}

// only fails for the first member of the object that is not one of those known.
func (f fields) only(known ...string) {
	if f.v == nil {
		return
	}
	f.v.GetObject().Visit(func(key []byte, _ *fastjson.Value) {
		if !slices.Contains(known, string(key)) {
			f.fail(string(key), "unknown")
		}
	})
}
