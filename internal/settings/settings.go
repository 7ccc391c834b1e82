// Package settings parses and validates all JSON configuration: configurations of processes, edge files, files of group processes,
// cell maps, documents of the group and the capacity target. The JSON keys are those of the public documentation, while types and
// fields have the terms of the code. A validation error is one line that starts with the path of the field.
//
// Unknown keys of a configuration and of the module's settings are ignored, because sites add keys of their own. In the other files an
// unknown key is an error.
package settings

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
)

// fields reads the members of one object and records the first error, which starts with the path of the member. An absent or null
// member reads as the zero value. Unknown members are ignored unless rejectUnknown is called.
type fields struct {
	path string          // path of the object with a trailing dot; empty: the top level
	v    *fastjson.Value // nil: the object is absent
	err  *error          // first error, shared by all objects of a file
}

// parseObject parses the text of a JSON object. It stores a parse error in err, and reading members stores their first error there.
func parseObject(data []byte, err *error) fields {
	v, parseErr := fastjson.ParseBytes(data)
	switch {
	case parseErr != nil:
		*err = fmt.Errorf("not JSON: %w", parseErr)
	case v.Type() != fastjson.TypeObject:
		*err = errors.New("not a JSON object")
	}
	return fields{"", v, err}
}

// fail records an error of a member unless an earlier error is recorded.
func (f fields) fail(key, format string, args ...any) {
	if *f.err == nil {
		*f.err = fmt.Errorf("%s%s: %s", f.path, key, fmt.Sprintf(format, args...))
	}
}

// onLookup is called with the path of every member that is read. Only tests set it, to check that each member has a kind.
var onLookup func(path string)

// get returns a member, or nil if it is absent or null. A value of another type is an error.
func (f fields) get(key string, want fastjson.Type) *fastjson.Value {
	if onLookup != nil {
		onLookup(f.path + key)
	}
	if f.v == nil {
		return nil
	}
	v := f.v.Get(key)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	if v.Type() != want {
		f.fail(key, "a %v where a %v belongs", v.Type(), want)
		return nil
	}
	return v
}

// object returns a member that is an object. Members of an absent object read as zero values.
func (f fields) object(key string) fields {
	return fields{f.path + key + ".", f.get(key, fastjson.TypeObject), f.err}
}

// array returns the elements of a member that is an array.
func (f fields) array(key string) []*fastjson.Value {
	return f.get(key, fastjson.TypeArray).GetArray()
}

// each calls fn with the index and the fields of every object in an array.
func (f fields) each(key string, fn func(int, fields)) {
	for i, v := range f.array(key) {
		if v.Type() != fastjson.TypeObject {
			f.fail(fmt.Sprintf("%s[%d]", key, i), "not an object")
			return
		}
		fn(i, fields{fmt.Sprintf("%s%s[%d].", f.path, key, i), v, f.err})
	}
}

// text returns a member that is a string.
func (f fields) text(key string) string {
	return string(f.get(key, fastjson.TypeString).GetStringBytes())
}

// number returns a member that is a number.
func (f fields) number(key string) float64 {
	if v := f.get(key, fastjson.TypeNumber); v != nil {
		return v.GetFloat64()
	}
	return 0
}

// integer returns a member that is a whole number.
func (f fields) integer(key string) int64 {
	v := f.get(key, fastjson.TypeNumber)
	if v == nil {
		return 0
	}
	n := v.GetFloat64()
	if n != math.Trunc(n) || math.Abs(n) > 1<<53 {
		f.fail(key, "not a whole number: %v", v)
		return 0
	}
	return int64(n)
}

// micros returns a member that is a whole number of microseconds, capped to what a time.Duration can represent.
func (f fields) micros(key string) time.Duration {
	return time.Duration(min(f.integer(key), math.MaxInt64/1000)) * time.Microsecond
}

// boolean returns a member that is true or false.
func (f fields) boolean(key string) bool {
	if onLookup != nil {
		onLookup(f.path + key)
	}
	if f.v == nil {
		return false
	}
	switch v := f.v.Get(key); {
	case v == nil, v.Type() == fastjson.TypeNull, v.Type() == fastjson.TypeFalse:
		return false
	case v.Type() == fastjson.TypeTrue:
		return true
	default:
		f.fail(key, "neither true nor false")
		return false
	}
}

// enum returns the value that meanings has for a string member, or the zero value if the member is absent or empty.
func enum[T any](f fields, key string, meanings map[string]T) T {
	text := f.text(key)
	v, ok := meanings[text]
	if !ok && text != "" {
		f.fail(key, "unknown: %q", text)
	}
	return v
}

// Parse parses the module's settings that the simulator or the platform sends at the start. It also returns the names of the gauges,
// in the order of the readings.
func Parse(text string) (silverpath.Settings, []string, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return silverpath.Settings{}, nil, fmt.Errorf("reading the settings: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return silverpath.Settings{}, nil, fmt.Errorf("reading the settings: not an object")
	}
	s, gauges := readSettings(fields{"", v, &err})
	return s, gauges, err
}

// readSettings reads the module's settings and the names of the gauges.
func readSettings(p fields) (silverpath.Settings, []string) {
	s := readSite(p)
	s.ClassMix = classMix(p.object("scoring_mix"))
	family := p.object("family_info")
	s.Classes = readClasses(p, family)
	p.each("tenants", func(_ int, t fields) {
		s.Tenants = append(s.Tenants, silverpath.Tenant{Name: t.text("name"), Rate: t.number("allowance_per_s")})
	})
	var gauges []string
	for _, g := range family.array("gauges") {
		gauges = append(gauges, string(g.GetStringBytes()))
	}
	return s, gauges
}

// readSite reads the settings that describe the machine, the callers and the tier below.
func readSite(p fields) silverpath.Settings {
	f, rules, limits := p.object("family_info"), p.object("rules"), p.object("limits")
	s := silverpath.Settings{
		Cores: int(f.integer("cpus")), MemoryKB: f.number("memory_kb"),
		RunFactor: f.number("run_factor"), KeyKB: f.number("key_kb"),
		Cold: f.boolean("cold"), ColdSpeed: rules.number("cold_from"), WarmupTime: rules.micros("warm_within"),
		MaxRunsPerCore: rules.number("fall_multiple"), RunsWindow: rules.micros("overload_for"),
		DrainGrace:   rules.micros("drain_grace"),
		WeightByWork: p.text("worth_by") == "work", OverQuotaWeight: 1,
		Servers: int(p.integer("servers")), Callers: int(f.integer("callers")), Tier: int(p.integer("tier")),
		FreshFor:   f.micros("fresh_for"),
		RetryAfter: limits.boolean("retry_after"), MaxRetryAfter: limits.micros("max_retry_after"),
		CallQuota: f.number("dep_share"), CallWindow: f.micros("dep_window"), CallLinger: f.micros("linger"),
		Readiness: f.boolean("readiness"), KeepAlive: f.micros("keepalive_max"),
		MarksRetries: p.object("client_habits").boolean("marks_retry"),
		Preemption: enum(f, "preemption", map[string]silverpath.Preemption{
			"none": silverpath.PreemptNone, "drop": silverpath.PreemptDrop, "pause": silverpath.PreemptPause}),
		Signal: enum(f, "say", map[string]silverpath.Signal{
			"none": silverpath.SignalNone, "level": silverpath.SignalLevel,
			"credit": silverpath.SignalCredit, "weight": silverpath.SignalWeight}),
		Dependency: enum(f, "below", map[string]silverpath.Dependency{
			"none": silverpath.DependencyNone, "shared": silverpath.DependencyShared,
			"tier": silverpath.DependencyTier}),
	}
	if p.get("over_share_worth", fastjson.TypeNumber) != nil {
		s.OverQuotaWeight = p.number("over_share_worth")
	}
	return s
}

// classMix returns the share of the worst class in the score, from 0 to 1. It is 0 if the settings give no shares.
func classMix(mix fields) float64 {
	total := 0.0
	for _, component := range []string{"whole", "worst_class", "worst_tenant", "worst_window"} {
		total += mix.number(component)
	}
	if total <= 0 {
		return 0
	}
	return mix.number("worst_class") / total
}

// readClasses reads the classes. Two arrays of family, parallel to the list of classes, have each class's CallsDependency and
// DegradedWeight.
func readClasses(p, family fields) (list []silverpath.Class) {
	n := len(p.array("classes"))
	perClass := func(key string) []*fastjson.Value {
		values := family.array(key)
		if len(values) != 0 && len(values) != n {
			family.fail(key, "%d values for %d classes", len(values), n)
			return nil
		}
		return values
	}
	calls, degradedWeights := perClass("calls_by_class"), perClass("worth_without")
	p.each("classes", func(i int, c fields) {
		class := readClass(c)
		if len(calls) > 0 {
			class.CallsDependency = calls[i].GetBool()
		}
		if len(degradedWeights) > 0 {
			class.DegradedWeight = degradedWeights[i].GetFloat64()
		}
		list = append(list, class)
	})
	return list
}

// readClass reads one class.
func readClass(c fields) silverpath.Class {
	return silverpath.Class{
		Name: c.text("name"), Objective: c.micros("target"), ObjectiveStretch: c.number("aim_stretch"),
		Deadline: c.micros("deadline"), Weight: c.number("worth"), LateWeight: c.number("late_worth"),
		Effect: enum(c, "effect", map[string]silverpath.Effect{
			"pure": silverpath.Safe, "token": silverpath.Idempotent, "side_effect": silverpath.NonIdempotent}),
		IdempotencyWindow: c.micros("memory_span"),
	}
}

// Gauges converts a set of readings to the module's gauges. Values has one value for each name of names, in the same order.
func Gauges(names []string, values []float64) silverpath.Gauges {
	var g silverpath.Gauges
	for i, name := range names {
		switch name {
		case "core_use":
			g.CPU = values[i]
		case "on_cores":
			g.RunnableTasks = values[i]
		case "heap_share":
			g.Memory = values[i]
		case "links":
			g.Connections = values[i]
		}
	}
	return g
}
