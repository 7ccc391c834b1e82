// Package settings is the one reader of settings: configurations, edge files, the group's files, cell maps, documents of the group and
// the capacity target, all JSON. The keys are those of the pages; the types and fields have the terms of the code. Whatever is no good
// is one error of one line that names the field by its path.
//
// A configuration and the module's settings are read leniently, since sites differ and add keys; files of the operator's own are
// checked whole, and an unknown key in them is an error.
package settings

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
)

// fields reads the members of one object and keeps the first error, which names the member by its path. Absent and null members are
// the zero value; unknown ones are never looked at, unless only is called.
type fields struct {
	path string          // of the object, with a dot at its end; empty: the whole file
	v    *fastjson.Value // nil: the object is absent
	err  *error          // the first, shared by all objects of a file
}

// object parses the text of a JSON object. Err gets the first error, now or as members are read.
func object(data []byte, err *error) fields {
	v, bad := fastjson.ParseBytes(data)
	switch {
	case bad != nil:
		*err = fmt.Errorf("not JSON: %w", bad)
	case v.Type() != fastjson.TypeObject:
		*err = errors.New("not a JSON object")
	}
	return fields{"", v, err}
}

// fail notes what is wrong with a member, unless something was wrong before.
func (f fields) fail(key, format string, args ...any) {
	if *f.err == nil {
		*f.err = fmt.Errorf("%s%s: %s", f.path, key, fmt.Sprintf(format, args...))
	}
}

// lookedUp is told the path of every member that is looked for, in tests only: they hold the pages against it.
var lookedUp func(path string)

// get returns a member, nil where it is absent or null. A value of another type is an error.
func (f fields) get(key string, want fastjson.Type) *fastjson.Value {
	if lookedUp != nil {
		lookedUp(f.path + key)
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

// object returns a member that is an object; reading an absent one gives zero values.
func (f fields) object(key string) fields {
	return fields{f.path + key + ".", f.get(key, fastjson.TypeObject), f.err}
}

// array returns the elements of a member that is an array.
func (f fields) array(key string) []*fastjson.Value {
	return f.get(key, fastjson.TypeArray).GetArray()
}

// each calls fn with every object of an array.
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

// micros returns a member that is a whole number of microseconds.
func (f fields) micros(key string) time.Duration {
	return time.Duration(min(f.integer(key), math.MaxInt64/1000)) * time.Microsecond
}

// flag returns a member that is true or false.
func (f fields) flag(key string) bool {
	if lookedUp != nil {
		lookedUp(f.path + key)
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

// enum returns the meaning of a member that is one of some words; an absent one means the zero value.
func enum[T any](f fields, key string, meanings map[string]T) T {
	text := f.text(key)
	v, ok := meanings[text]
	if !ok && text != "" {
		f.fail(key, "unknown: %q", text)
	}
	return v
}

// Parse reads the module's settings, as the simulator and the platform give them at a start, and the names of the gauges, in the order
// in which readings come.
func Parse(text string) (silverpath.Settings, []string, error) {
	v, err := fastjson.Parse(text)
	if err != nil {
		return silverpath.Settings{}, nil, fmt.Errorf("reading the settings: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return silverpath.Settings{}, nil, fmt.Errorf("reading the settings: not an object")
	}
	s, gauges := read(fields{"", v, &err})
	return s, gauges, err
}

// read fills the module's Settings from the object that the simulator and the platform give, and returns the names of the gauges.
func read(p fields) (silverpath.Settings, []string) {
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

// readSite reads what the settings say of the machine, the callers and the lower tier.
func readSite(p fields) silverpath.Settings {
	f, rules, limits := p.object("family_info"), p.object("rules"), p.object("limits")
	s := silverpath.Settings{
		Cores: int(f.integer("cpus")), MemoryKB: f.number("memory_kb"),
		RunFactor: f.number("run_factor"), KeyKB: f.number("key_kb"),
		Cold: f.flag("cold"), ColdSpeed: rules.number("cold_from"), WarmupTime: rules.micros("warm_within"),
		MaxRunsPerCore: rules.number("fall_multiple"), RunsWindow: rules.micros("overload_for"),
		DrainGrace:   rules.micros("drain_grace"),
		WeightByWork: p.text("worth_by") == "work", OverQuotaWeight: 1,
		Servers: int(p.integer("servers")), Callers: int(f.integer("callers")), Tier: int(p.integer("tier")),
		FreshFor:   f.micros("fresh_for"),
		RetryAfter: limits.flag("retry_after"), MaxRetryAfter: limits.micros("max_retry_after"),
		CallQuota: f.number("dep_share"), CallWindow: f.micros("dep_window"), CallLinger: f.micros("linger"),
		Readiness: f.flag("readiness"), KeepAlive: f.micros("keepalive_max"),
		MarksRetries: p.object("client_habits").flag("marks_retry"),
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

// classMix is the part of the worst class in the score, from 0 to 1; 0 where the settings name no parts.
func classMix(mix fields) float64 {
	total := 0.0
	for _, part := range []string{"whole", "worst_class", "worst_tenant", "worst_window"} {
		total += mix.number(part)
	}
	if total <= 0 {
		return 0
	}
	return mix.number("worst_class") / total
}

// readClasses reads the classes, with what the family says of each by its place in the list: whether its runs call below, and what
// they are worth without.
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
	calls, without := perClass("calls_by_class"), perClass("worth_without")
	p.each("classes", func(i int, c fields) {
		class := readClass(c)
		if len(calls) > 0 {
			class.CallsDependency = calls[i].GetBool()
		}
		if len(without) > 0 {
			class.DegradedWeight = without[i].GetFloat64()
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

// Gauges puts readings, in the order of the names that the settings gave, where the module looks for them. It is called with every
// set of readings; there are as many values as names.
func Gauges(names []string, values []float64) silverpath.Gauges {
	var g silverpath.Gauges
	for i, name := range names {
		switch name {
		case "core_use":
			g.CPU = values[i]
		case "on_cores":
			g.OnCores = values[i]
		case "heap_share":
			g.Memory = values[i]
		case "links":
			g.Connections = values[i]
		}
	}
	return g
}
