package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
	"silverpath/internal/policy/admission"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/loadbalancer"
)

// Edge sets up what goes beyond the platform, from a file of the operator's own. The zero value is all off.
type Edge struct {
	On          bool // an edge file was given
	Status      bool // fronts answer status requests
	Cell        bool // serves in a cell, behind routers: see docs/cells.md
	Pools       admission.Config
	Reserve     *admission.ReserveConfig // nil: none
	Router      *Router                  // nil: it is no router
	Commands    *Commands                // nil: it takes no orders of the fleet
	ConfigWatch *ConfigWatch             // nil: it acts on its own files alone
	Store       *Store                   // nil: what ran is forgotten with the process
	Heartbeat   *Heartbeat               // nil: it leaves no signs of life
}

// Heartbeat sets up signs of life: see docs/recovery.md.
type Heartbeat struct {
	File  string
	Valid time.Duration // for so long after a sign that lasts, what has an effect may begin
}

// Store sets up where the runs of keyed requests outlive the process: see docs/durable.md.
type Store struct {
	Dir         string
	SizeMB      float64       // of all records; 0: an eighth of the memory
	ResultKB    float64       // set aside for each result that is to come
	CommitDelay time.Duration // how long a commit waits for more that could go with it, where more is to be expected
}

// Commands sets up a server that takes orders of the fleet: see docs/duties.md.
type Commands struct {
	State string // the file that keeps the latest over a restart
	Group GroupRef
}

// Router sets up a router: see docs/cells.md.
type Router struct {
	Map     string // the file with the cell map
	State   string // the file that keeps the last good map over a restart; empty: none
	Probe   time.Duration
	Routing loadbalancer.Config
}

// PoolsOn reports whether there are pools.
func (e Edge) PoolsOn() bool { return len(e.Pools.Pools) > 0 }

// LoadEdge reads an edge file for a site with the given settings.
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

// ParseEdge reads an edge file. It is checked whole: a field that is not known is an error, as the file is nobody
// else's.
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
	reserve.only("connections", "cheap_per_s", "cheap_each_per_s")
	if reserve.v != nil {
		e.Reserve = &admission.ReserveConfig{
			Connections: reserve.number("connections"), CheapRate: reserve.number("cheap_per_s"),
			CheapRatePerPeer: reserve.number("cheap_each_per_s"),
		}
	}
	e.ConfigWatch = readRules(f.object("rules"))
	e.Router = readFleet(f.object("fleet"), e.ConfigWatch)
	if o := f.object("orders"); o.v != nil {
		o.only("state", "group", "members")
		e.Commands = &Commands{State: o.text("state"), Group: o.group()}
		if e.Commands.State == "" {
			o.fail("state", "missing")
		}
	}
	e.Store = readStore(f.object("store"))
	e.Heartbeat = readLife(f.object("life"))
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

func readLife(f fields) *Heartbeat {
	if f.v == nil {
		return nil
	}
	f.only("file", "valid_ms")
	set := &Heartbeat{File: f.text("file"), Valid: time.Duration(f.integer("valid_ms")) * time.Millisecond}
	switch {
	case set.File == "":
		f.fail("file", "missing")
	case f.v.Exists("valid_ms") && (set.Valid < 200*time.Millisecond || set.Valid > time.Minute):
		f.fail("valid_ms", "not from 200 to 60000: %v", set.Valid.Milliseconds())
	}
	if set.Valid == 0 {
		set.Valid = 2 * time.Second
	}
	return set
}

func readStore(f fields) *Store {
	if f.v == nil {
		return nil
	}
	f.only("dir", "size_mb", "result_kb", "gather_us")
	set := &Store{Dir: f.text("dir"), SizeMB: f.number("size_mb"), ResultKB: f.number("result_kb"), CommitDelay: f.micros("gather_us")}
	switch {
	case set.Dir == "":
		f.fail("dir", "missing")
	case !(set.SizeMB >= 0 && set.SizeMB <= 1<<16):
		f.fail("size_mb", "not from 0 to 65536: %v", set.SizeMB)
	case !(set.ResultKB >= 0 && set.ResultKB <= 1024):
		f.fail("result_kb", "not from 0 to 1024: %v", set.ResultKB)
	case set.CommitDelay < 0 || set.CommitDelay > 100*time.Millisecond:
		f.fail("gather_us", "not from 0 to 100000: %v", set.CommitDelay.Microseconds())
	}
	if set.ResultKB == 0 {
		set.ResultKB = 16
	}
	if !f.v.Exists("gather_us") {
		set.CommitDelay = 500 * time.Microsecond // docs/results/durable.md
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

func readFleet(f fields, rules *ConfigWatch) *Router {
	if f.v == nil {
		return nil
	}
	f.only("map", "state", "probe_ms", "retries", "hedges", "most_out", "panic", "slow_start_ms")
	set := readRouting(f)
	set.Map, set.State = f.text("map"), f.text("state")
	switch agreed := rules.Uses(configstore.DocMap); {
	case set.Map == "" && !agreed:
		f.fail("map", "missing")
	case set.Map != "" && agreed:
		f.fail("map", "the group has it: rules.documents names it too")
	}
	return &set
}

// readRouting reads how a router chooses and tries.
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

// only names the first member of an object that is not one of those given.
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
