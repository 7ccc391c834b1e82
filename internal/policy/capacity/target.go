package capacity

import (
	"fmt"
	"math"
)

// Target has the load of a fleet, the budgets of its control, the readings of ambiguous terms, and assumptions for what was not measured.
// Its settings file is deploy/target.json; docs/CAPACITY.md gives the source of each value.
type Target struct {
	Servers        float64
	Callers        float64 // processes that send requests
	CallerServices float64 // services that the callers belong to
	Requests       float64 // a second at the peak, of the whole fleet
	Routes         float64
	Tenants        float64
	AddedLatency   float64 // ms added to a request, 99th percentile
	Regions, Zones float64
	Changes        float64 // of configuration per day
	InForceWithin  float64 // s within which a change of configuration is in force everywhere
	Control        Control
	Failures       FailureRates
	Readings       Readings
	Assumed        Assumptions
}

// Control has the budgets of the control plane: what it may cost each service, and the machines that are reserved for it.
type Control struct {
	Cores     float64 // fraction of one core, per service
	Memory    float64 // MB
	Bandwidth float64 // KB/s, in and out together
	Machines  float64 // reserved for control
}

// FailureRates has the rates of failures and restarts.
type FailureRates struct {
	MachineFailures, Restarts float64 // machines per day
	RackFailureInterval       float64 // days between failures of a rack
	ZoneFailureInterval       float64 // days between failures of a zone
	PartitionDuration         float64 // s of a network partition between regions
}

// Readings chooses between interpretations of ambiguous terms of the target: see docs/questions.md.
type Readings struct {
	CallersPickServers  bool // callers pick among servers as routers do; otherwise they pick among routers
	RoutesBesideTenants bool // routes are map entries in addition to those of tenants; otherwise they are some of these
	ControlAdded        bool // control costs what it adds to a process without it; otherwise all that a process uses without requests
}

// Assumptions has values that were not measured. Each is a field of the settings file.
type Assumptions struct {
	Utilisation       float64 // fraction of a core, or of ServerRequests, in use at the peak
	ServerRequests    float64 // requests a second that a server can execute
	RouterRequestTime float64 // µs of processor time of a router per request, if not measured
	CallerConnections float64 // connections that a caller keeps, each to another router
	Sockets           float64 // the setting limits.sockets of a process
	ProbeInterval     float64 // ms between two health checks of a server
	GroupLease        float64 // ms, of the quorum group
	MapLease, MapSkew float64 // ms, of the cell map
	HeartbeatInterval float64 // ms between two heartbeats of the group
	BurstChanges      float64 // changes a second in a burst
	KeyedFraction     float64 // fraction of requests that have an idempotency key
	KeyWindow         float64 // s, the key window: a request with a key may be repeated within it
	RackServers       float64 // servers of a rack
	RegionDelay       float64 // ms of a round trip between regions
	MachineBandwidth  float64 // KB/s of a machine's network
}

// Check returns an error that names the first invalid field as the settings file does.
func (t Target) Check() error {
	for _, f := range t.fields() {
		switch {
		case math.IsNaN(f.value) || math.IsInf(f.value, 0):
			return fmt.Errorf("%s: not a number", f.name)
		case f.value < f.min || f.min == 0 && f.value == 0 && !f.zeroAllowed:
			if f.min == 0 {
				return fmt.Errorf("%s: not above 0: %v", f.name, f.value)
			}
			return fmt.Errorf("%s: under %v: %v", f.name, f.min, f.value)
		case f.max > 0 && f.value > f.max:
			return fmt.Errorf("%s: over %v: %v", f.name, f.max, f.value)
		}
	}
	if t.Regions > t.Zones {
		return fmt.Errorf("regions: more than the %v zones: %v", t.Zones, t.Regions)
	}
	if t.Zones != math.Trunc(t.Zones) {
		return fmt.Errorf("zones: not a whole number: %v", t.Zones)
	}
	if t.Regions != math.Trunc(t.Regions) {
		return fmt.Errorf("regions: not a whole number: %v", t.Regions)
	}
	return nil
}

// field is a number of the settings file and its valid range.
type field struct {
	name        string
	value       float64
	min, max    float64 // max 0 means none
	zeroAllowed bool    // 0 is valid, where min is 0
}

// fields returns all numbers of the target by their names in the settings file.
func (t Target) fields() []field {
	c, d, a := t.Control, t.Failures, t.Assumed
	return []field{
		{"servers", t.Servers, 1, 0, false}, {"callers", t.Callers, 1, 0, false}, {"caller_services", t.CallerServices, 1, 0, false},
		{"requests_per_s", t.Requests, 0, 0, false}, {"routes", t.Routes, 0, 0, true}, {"tenants", t.Tenants, 1, 0, false},
		{"added_p99_ms", t.AddedLatency, 0, 0, false}, {"regions", t.Regions, 1, 0, false}, {"zones", t.Zones, 2, 0, false},
		{"changes_per_day", t.Changes, 0, 0, true}, {"in_force_s", t.InForceWithin, 0, 0, false},
		{"control.core", c.Cores, 0, 1, false}, {"control.memory_mb", c.Memory, 0, 0, false}, {"control.kb_per_s", c.Bandwidth, 0, 0, false},
		{"control.machines", c.Machines, 1, 0, false},
		{"day.machines_fail", d.MachineFailures, 0, 0, true}, {"day.restarts", d.Restarts, 0, 0, true}, {"day.rack_every_days", d.RackFailureInterval, 0, 0, false},
		{"day.zone_every_days", d.ZoneFailureInterval, 0, 0, false}, {"day.regions_apart_s", d.PartitionDuration, 0, 0, true},
		{"assumed.utilisation", a.Utilisation, 0, 1, false}, {"assumed.server_requests_per_s", a.ServerRequests, 0, 0, false},
		{"assumed.router_request_us", a.RouterRequestTime, 0, 0, false}, {"assumed.caller_connections", a.CallerConnections, 1, 0, false},
		{"assumed.sockets", a.Sockets, 64, 0, false}, {"assumed.probe_ms", a.ProbeInterval, 0, 0, false}, {"assumed.lease_ms", a.GroupLease, 0, 0, false},
		{"assumed.map_lease_ms", a.MapLease, 0, 0, false}, {"assumed.map_skew_ms", a.MapSkew, 0, 0, true}, {"assumed.tick_ms", a.HeartbeatInterval, 0, 0, false},
		{"assumed.burst_changes_per_s", a.BurstChanges, 0, 0, true}, {"assumed.sheets", a.KeyedFraction, 0, 1, true},
		{"assumed.window_s", a.KeyWindow, 0, 0, false}, {"assumed.rack_servers", a.RackServers, 1, 0, false},
		{"assumed.region_delay_ms", a.RegionDelay, 0, 0, true}, {"assumed.machine_kb_per_s", a.MachineBandwidth, 0, 0, false},
	}
}

// entries returns the number of map entries for tenants and routes.
func (t Target) entries() float64 {
	if t.Readings.RoutesBesideTenants {
		return t.Tenants + t.Routes
	}
	return max(t.Tenants, t.Routes)
}
