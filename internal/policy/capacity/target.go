package capacity

import (
	"fmt"
	"math"
)

// Target is what a fleet has to carry, what may be spent on it, how its words are read, and what is taken for granted where nothing
// was measured. Its settings file is deploy/target.json; docs/CAPACITY.md says where each figure comes from.
type Target struct {
	Servers        float64
	Callers        float64 // processes that ask
	CallerServices float64 // the services that they belong to
	Requests       float64 // a second, at the peak
	Routes         float64
	Tenants        float64
	Added          float64 // ms that are added to a request, for 99 of 100
	Regions, Zones float64
	Changes        float64 // of configuration, a day
	InForce        float64 // s within which each is in force everywhere
	Control        Control
	Day            Day
	Readings       Readings
	Assumed        Assumptions
}

// Control is what may be spent on it.
type Control struct {
	Core     float64 // of one, by a service
	Memory   float64 // MB
	Bytes    float64 // KB/s, in and out together
	Machines float64 // that are set aside
}

// Day is what fails and is restarted.
type Day struct {
	Fail, Restart float64 // machines, a day
	RackEvery     float64 // days
	ZoneEvery     float64 // days
	Apart         float64 // s for which regions don't hear each other
}

// Readings are how the target's words are taken where they leave it open: docs/questions.md.
type Readings struct {
	CallersPick  bool // a caller picks among servers by itself, as a router does; else it picks among routers
	RoutesBeside bool // routes are entries of the map beside the tenants' own; else some of these
	ControlAdded bool // control is what is added to a process without it; else all that a process spends without requests
}

// Assumptions are what is taken for granted. Each is a field of the settings file.
type Assumptions struct {
	Utilisation       float64 // of a core, or of what a server can do, at the peak
	ServerRequests    float64 // a second, that a server can do
	RouterRequest     float64 // µs of the processor for a request, where none was measured
	CallerConnections float64 // that a caller keeps, to different routers
	Sockets           float64 // limits.sockets of a process
	Probe             float64 // ms between two health checks of a server
	Lease             float64 // ms, of the group
	MapLease, MapSkew float64 // ms, of the map
	Tick              float64 // ms, of the group's heartbeat
	BurstChanges      float64 // a second, in a burst
	Sheets            float64 // of all requests, the part that is keyed
	Window            float64 // s in which a sheet may come again
	RackServers       float64
	RegionDelay       float64 // ms, there and back between regions
	MachineBytes      float64 // KB/s that a machine's network carries
}

// Check names the first field that can't be, as it stands in the settings file.
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
		return fmt.Errorf("regions: over the zones, of which there are %v: %v", t.Zones, t.Regions)
	}
	if t.Zones != math.Trunc(t.Zones) {
		return fmt.Errorf("zones: not a whole number: %v", t.Zones)
	}
	if t.Regions != math.Trunc(t.Regions) {
		return fmt.Errorf("regions: not a whole number: %v", t.Regions)
	}
	return nil
}

type field struct {
	name        string
	value       float64
	min, max    float64
	zeroAllowed bool // 0 can be, where the least is 0
}

func (t Target) fields() []field {
	c, d, a := t.Control, t.Day, t.Assumed
	return []field{
		{"servers", t.Servers, 1, 0, false}, {"callers", t.Callers, 1, 0, false}, {"caller_services", t.CallerServices, 1, 0, false},
		{"requests_per_s", t.Requests, 0, 0, false}, {"routes", t.Routes, 0, 0, true}, {"tenants", t.Tenants, 1, 0, false},
		{"added_p99_ms", t.Added, 0, 0, false}, {"regions", t.Regions, 1, 0, false}, {"zones", t.Zones, 2, 0, false},
		{"changes_per_day", t.Changes, 0, 0, true}, {"in_force_s", t.InForce, 0, 0, false},
		{"control.core", c.Core, 0, 1, false}, {"control.memory_mb", c.Memory, 0, 0, false}, {"control.kb_per_s", c.Bytes, 0, 0, false},
		{"control.machines", c.Machines, 1, 0, false},
		{"day.machines_fail", d.Fail, 0, 0, true}, {"day.restarts", d.Restart, 0, 0, true}, {"day.rack_every_days", d.RackEvery, 0, 0, false},
		{"day.zone_every_days", d.ZoneEvery, 0, 0, false}, {"day.regions_apart_s", d.Apart, 0, 0, true},
		{"assumed.utilisation", a.Utilisation, 0, 1, false}, {"assumed.server_requests_per_s", a.ServerRequests, 0, 0, false},
		{"assumed.router_request_us", a.RouterRequest, 0, 0, false}, {"assumed.caller_connections", a.CallerConnections, 1, 0, false},
		{"assumed.sockets", a.Sockets, 64, 0, false}, {"assumed.probe_ms", a.Probe, 0, 0, false}, {"assumed.lease_ms", a.Lease, 0, 0, false},
		{"assumed.map_lease_ms", a.MapLease, 0, 0, false}, {"assumed.map_skew_ms", a.MapSkew, 0, 0, true}, {"assumed.tick_ms", a.Tick, 0, 0, false},
		{"assumed.burst_changes_per_s", a.BurstChanges, 0, 0, true}, {"assumed.sheets", a.Sheets, 0, 1, true},
		{"assumed.window_s", a.Window, 0, 0, false}, {"assumed.rack_servers", a.RackServers, 1, 0, false},
		{"assumed.region_delay_ms", a.RegionDelay, 0, 0, true}, {"assumed.machine_kb_per_s", a.MachineBytes, 0, 0, false},
	}
}

// entries is how many entries the map has for tenants and routes.
func (t Target) entries() float64 {
	if t.Readings.RoutesBeside {
		return t.Tenants + t.Routes
	}
	return max(t.Tenants, t.Routes)
}
