package settings

import (
	"fmt"
	"os"

	"github.com/valyala/fastjson"

	"silverpath/internal/policy/capacity"
)

// LoadTarget reads the target of a fleet's capacity: see docs/CAPACITY.md.
func LoadTarget(path string) (capacity.Target, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return capacity.Target{}, err
	}
	t, err := ParseTarget(data)
	if err != nil {
		return t, fmt.Errorf("%s: %w", path, err)
	}
	return t, nil
}

// ParseTarget reads the text of such a file. It is checked whole: a field that is not known, or missing, is an error, since a size
// that nobody gave would be taken for none.
func ParseTarget(data []byte) (capacity.Target, error) {
	var t capacity.Target
	var err error
	f := object(data, &err)
	if err != nil {
		return t, err
	}
	t.Readings = readReadings(part(f, "readings"))
	numbers(f, []size{
		{"servers", &t.Servers}, {"callers", &t.Callers}, {"caller_services", &t.CallerServices}, {"requests_per_s", &t.Requests},
		{"routes", &t.Routes}, {"tenants", &t.Tenants}, {"added_p99_ms", &t.Added}, {"regions", &t.Regions}, {"zones", &t.Zones},
		{"changes_per_day", &t.Changes}, {"in_force_s", &t.InForce},
	}, "control", "day", "readings", "assumed")
	numbers(part(f, "control"), []size{
		{"core", &t.Control.Core}, {"memory_mb", &t.Control.Memory}, {"kb_per_s", &t.Control.Bytes}, {"machines", &t.Control.Machines},
	})
	numbers(part(f, "day"), []size{
		{"machines_fail", &t.Day.Fail}, {"restarts", &t.Day.Restart}, {"rack_every_days", &t.Day.RackEvery},
		{"zone_every_days", &t.Day.ZoneEvery}, {"regions_apart_s", &t.Day.Apart},
	})
	a := &t.Assumed
	numbers(part(f, "assumed"), []size{
		{"utilisation", &a.Utilisation}, {"server_requests_per_s", &a.ServerRequests}, {"router_request_us", &a.RouterRequest},
		{"caller_connections", &a.CallerConnections}, {"sockets", &a.Sockets}, {"probe_ms", &a.Probe}, {"lease_ms", &a.Lease},
		{"map_lease_ms", &a.MapLease}, {"map_skew_ms", &a.MapSkew}, {"tick_ms", &a.Tick}, {"burst_changes_per_s", &a.BurstChanges},
		{"sheets", &a.Sheets}, {"window_s", &a.Window}, {"rack_servers", &a.RackServers}, {"region_delay_ms", &a.RegionDelay},
		{"machine_kb_per_s", &a.MachineBytes},
	})
	if err != nil {
		return t, err
	}
	return t, t.Check()
}

// readReadings reads how the target's words are to be understood.
func readReadings(f fields) capacity.Readings {
	f.only("callers_pick_servers", "routes_beside_tenants", "control_is_what_is_added")
	return capacity.Readings{CallersPick: f.flag("callers_pick_servers"), RoutesBeside: f.flag("routes_beside_tenants"),
		ControlAdded: f.flag("control_is_what_is_added")}
}

// part reads an object that has to be there.
func part(f fields, key string) fields {
	o := f.object(key)
	if o.v == nil {
		f.fail(key, "missing")
	}
	return o
}

// size is one number of the target, by its key.
type size struct {
	key string
	v   *float64
}

// numbers reads sizes that all have to be there, beside which there is nothing but the others.
func numbers(f fields, list []size, others ...string) {
	for _, s := range list {
		others = append(others, s.key)
	}
	f.only(others...)
	for _, s := range list {
		if f.v != nil && f.get(s.key, fastjson.TypeNumber) == nil {
			f.fail(s.key, "missing")
		}
		*s.v = f.number(s.key)
	}
}
