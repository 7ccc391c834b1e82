package settings

import (
	"fmt"
	"os"

	"github.com/valyala/fastjson"

	"silverpath/internal/policy/capacity"
)

// LoadTarget reads the capacity target of a fleet from a file: see docs/CAPACITY.md. An error names the file and the field.
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

// ParseTarget parses and validates the text of a capacity target. An unknown or missing field is an error: a missing number would
// otherwise be read as 0.
func ParseTarget(data []byte) (capacity.Target, error) {
	var t capacity.Target
	var err error
	f := parseObject(data, &err)
	if err != nil {
		return t, err
	}
	t.Readings = readReadings(requireObject(f, "readings"))
	requireNumbers(f, []numberField{
		{"servers", &t.Servers}, {"callers", &t.Callers}, {"caller_services", &t.CallerServices}, {"requests_per_s", &t.Requests},
		{"routes", &t.Routes}, {"tenants", &t.Tenants}, {"added_p99_ms", &t.AddedLatency}, {"regions", &t.Regions}, {"zones", &t.Zones},
		{"changes_per_day", &t.Changes}, {"in_force_s", &t.InForceWithin},
	}, "control", "day", "readings", "assumed")
	requireNumbers(requireObject(f, "control"), []numberField{
		{"core", &t.Control.Cores}, {"memory_mb", &t.Control.Memory}, {"kb_per_s", &t.Control.Bandwidth}, {"machines", &t.Control.Machines},
	})
	requireNumbers(requireObject(f, "day"), []numberField{
		{"machines_fail", &t.Failures.MachineFailures}, {"restarts", &t.Failures.Restarts}, {"rack_every_days", &t.Failures.RackFailureInterval},
		{"zone_every_days", &t.Failures.ZoneFailureInterval}, {"regions_apart_s", &t.Failures.PartitionDuration},
	})
	a := &t.Assumed
	requireNumbers(requireObject(f, "assumed"), []numberField{
		{"utilisation", &a.Utilisation}, {"server_requests_per_s", &a.ServerRequests}, {"router_request_us", &a.RouterRequestTime},
		{"caller_connections", &a.CallerConnections}, {"sockets", &a.Sockets}, {"probe_ms", &a.ProbeInterval}, {"lease_ms", &a.GroupLease},
		{"map_lease_ms", &a.MapLease}, {"map_skew_ms", &a.MapSkew}, {"tick_ms", &a.HeartbeatInterval}, {"burst_changes_per_s", &a.BurstChanges},
		{"sheets", &a.KeyedFraction}, {"window_s", &a.KeyWindow}, {"rack_servers", &a.RackServers}, {"region_delay_ms", &a.RegionDelay},
		{"machine_kb_per_s", &a.MachineBandwidth},
	})
	if err != nil {
		return t, err
	}
	return t, t.Check()
}

// readReadings reads which interpretation of the target's ambiguous terms applies.
func readReadings(f fields) capacity.Readings {
	f.rejectUnknown("callers_pick_servers", "routes_beside_tenants", "control_is_what_is_added")
	return capacity.Readings{CallersPickServers: f.boolean("callers_pick_servers"), RoutesBesideTenants: f.boolean("routes_beside_tenants"),
		ControlAdded: f.boolean("control_is_what_is_added")}
}

// requireObject returns a member that is an object and records an error if it is absent.
func requireObject(f fields, key string) fields {
	o := f.object(key)
	if o.v == nil {
		f.fail(key, "missing")
	}
	return o
}

// numberField is a numeric field of the target: its key and where its value is stored.
type numberField struct {
	key string
	v   *float64
}

// requireNumbers reads required numbers. A key that is neither in list nor in others is an error.
func requireNumbers(f fields, list []numberField, others ...string) {
	for _, s := range list {
		others = append(others, s.key)
	}
	f.rejectUnknown(others...)
	for _, s := range list {
		if f.v != nil && f.get(s.key, fastjson.TypeNumber) == nil {
			f.fail(s.key, "missing")
		}
		*s.v = f.number(s.key)
	}
}
