// Package settings is the one reader of JSON settings: it fills the module's Settings for the simulator's
// adapter and for the service alike, and reads the service's own configuration around them.
package settings

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"

	"silverpath"
)

// fields reads the members of one object and keeps the first error, which names the field. Absent and null
// members are the zero value and unknown ones are never looked at, since sites differ and add keys.
type fields struct {
	path string
	v    *fastjson.Value
	err  *error
}

// object parses the text of a JSON object. Err gets the first error, now or as its members are read.
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

func (f fields) fail(key, format string, args ...any) {
	if *f.err == nil {
		*f.err = fmt.Errorf("%s%s: %s", f.path, key, fmt.Sprintf(format, args...))
	}
}

// asked hears of every member that is looked for, in tests only.
var asked func(path string)

// get returns a member, nil where it is absent or null. A value of another type is an error.
func (f fields) get(key string, want fastjson.Type) *fastjson.Value {
	if asked != nil {
		asked(f.path + key)
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

func (f fields) object(key string) fields {
	return fields{f.path + key + ".", f.get(key, fastjson.TypeObject), f.err}
}

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

func (f fields) text(key string) string {
	return string(f.get(key, fastjson.TypeString).GetStringBytes())
}

func (f fields) number(key string) float64 {
	if v := f.get(key, fastjson.TypeNumber); v != nil {
		return v.GetFloat64()
	}
	return 0
}

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

func (f fields) micros(key string) time.Duration {
	return time.Duration(min(f.integer(key), math.MaxInt64/1000)) * time.Microsecond
}

func (f fields) flag(key string) bool {
	if asked != nil {
		asked(f.path + key)
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

// word looks a word up; an absent one is the first meaning.
func word[T any](f fields, key string, meanings map[string]T) T {
	w := f.text(key)
	v, ok := meanings[w]
	if !ok && w != "" {
		f.fail(key, "unknown: %q", w)
	}
	return v
}

// Parse reads the start-up settings and the names of the gauges.
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

// read fills the module's Settings from the simulator's object.
func read(p fields) (silverpath.Settings, []string) {
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
		Preemption: word(f, "preemption", map[string]silverpath.Preemption{
			"none": silverpath.PreemptNone, "drop": silverpath.PreemptDrop, "pause": silverpath.PreemptPause}),
		Signal: word(f, "say", map[string]silverpath.Signal{
			"none": silverpath.SignalNone, "level": silverpath.SignalLevel,
			"credit": silverpath.SignalCredit, "weight": silverpath.SignalWeight}),
		Dependency: word(f, "below", map[string]silverpath.Dependency{
			"none": silverpath.DependencyNone, "shared": silverpath.DependencyShared,
			"tier": silverpath.DependencyTier}),
	}
	if p.get("over_share_worth", fastjson.TypeNumber) != nil {
		s.OverQuotaWeight = p.number("over_share_worth")
	}
	mix, total := p.object("scoring_mix"), 0.0
	for _, part := range []string{"whole", "worst_class", "worst_tenant", "worst_window"} {
		total += mix.number(part)
	}
	if total > 0 {
		s.ClassMix = mix.number("worst_class") / total
	}
	calls, without, classes := f.array("calls_by_class"), f.array("worth_without"), p.array("classes")
	if n := len(calls); n != 0 && n != len(classes) {
		f.fail("calls_by_class", "%d values for %d classes", n, len(classes))
		calls = nil
	}
	if n := len(without); n != 0 && n != len(classes) {
		f.fail("worth_without", "%d values for %d classes", n, len(classes))
		without = nil
	}
	p.each("classes", func(i int, c fields) {
		class := readClass(c)
		if len(calls) > 0 {
			class.CallsDependency = calls[i].GetBool()
		}
		if len(without) > 0 {
			class.DegradedWeight = without[i].GetFloat64()
		}
		s.Classes = append(s.Classes, class)
	})
	p.each("tenants", func(_ int, t fields) {
		s.Tenants = append(s.Tenants, silverpath.Tenant{Name: t.text("name"), Rate: t.number("allowance_per_s")})
	})
	var gauges []string
	for _, g := range f.array("gauges") {
		gauges = append(gauges, string(g.GetStringBytes()))
	}
	return s, gauges
}

func readClass(c fields) silverpath.Class {
	return silverpath.Class{
		Name: c.text("name"), Objective: c.micros("target"), ObjectiveStretch: c.number("aim_stretch"),
		Deadline: c.micros("deadline"), Weight: c.number("worth"), LateWeight: c.number("late_worth"),
		Effect: word(c, "effect", map[string]silverpath.Effect{
			"pure": silverpath.Safe, "token": silverpath.Idempotent, "side_effect": silverpath.NonIdempotent}),
		IdempotencyWindow: c.micros("memory_span"),
	}
}

// Gauges puts readings, in the order of the names that the settings gave, where the module looks for them.
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
