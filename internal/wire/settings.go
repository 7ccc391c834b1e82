package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"silverpath"
)

// params is the part of the start-up settings that is used; unknown keys are disregarded.
type params struct {
	Classes []struct {
		Name       string  `json:"name"`
		Target     int64   `json:"target"`
		AimStretch float64 `json:"aim_stretch"`
		Deadline   int64   `json:"deadline"`
		Worth      float64 `json:"worth"`
		LateWorth  float64 `json:"late_worth"`
		Effect     string  `json:"effect"`
		MemorySpan int64   `json:"memory_span"`
	} `json:"classes"`
	ClientHabits struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"client_habits"`
	Family struct {
		Below        string    `json:"below"`
		Callers      int       `json:"callers"`
		CallsByClass []bool    `json:"calls_by_class"`
		Cold         bool      `json:"cold"`
		CPUs         int       `json:"cpus"`
		DepShare     float64   `json:"dep_share"`
		DepWindow    int64     `json:"dep_window"`
		FreshFor     int64     `json:"fresh_for"`
		Gauges       []string  `json:"gauges"`
		KeepaliveMax int64     `json:"keepalive_max"`
		KeyKB        float64   `json:"key_kb"`
		Linger       int64     `json:"linger"`
		MemoryKB     float64   `json:"memory_kb"`
		Preemption   string    `json:"preemption"`
		Readiness    bool      `json:"readiness"`
		RunFactor    float64   `json:"run_factor"`
		Say          string    `json:"say"`
		WorthWithout []float64 `json:"worth_without"`
	} `json:"family_info"`
	Limits struct {
		MaxRetryAfter int64 `json:"max_retry_after"`
		RetryAfter    bool  `json:"retry_after"`
	} `json:"limits"`
	OverShareWorth *float64 `json:"over_share_worth"`
	Rules          struct {
		ColdFrom     float64 `json:"cold_from"`
		DrainGrace   int64   `json:"drain_grace"`
		FallMultiple float64 `json:"fall_multiple"`
		OverloadFor  int64   `json:"overload_for"`
		WarmWithin   int64   `json:"warm_within"`
	} `json:"rules"`
	ScoringMix map[string]float64 `json:"scoring_mix"`
	Servers    int                `json:"servers"`
	Tenants    []struct {
		Name          string  `json:"name"`
		AllowancePerS float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	Tier    int    `json:"tier"`
	WorthBy string `json:"worth_by"`
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// choose looks a word up and names the field where it is unknown; an absent word is the first meaning.
func choose[T any](field, word string, meanings map[string]T) (T, error) {
	v, ok := meanings[word]
	if !ok && word != "" {
		return v, fmt.Errorf("%s: unknown: %q", field, word)
	}
	return v, nil
}

// parseSettings reads the start-up settings and the names of the gauges.
func parseSettings(text string) (silverpath.Settings, []string, error) {
	var p params
	if err := json.Unmarshal([]byte(text), &p); err != nil {
		return silverpath.Settings{}, nil, fmt.Errorf("reading the settings: %w", err)
	}
	f, rules := p.Family, p.Rules
	s := silverpath.Settings{
		Cores: f.CPUs, MemoryKB: f.MemoryKB, RunFactor: f.RunFactor, KeyKB: f.KeyKB,
		Cold: f.Cold, ColdFrom: rules.ColdFrom, WarmWithin: us(rules.WarmWithin),
		CrowdLimit: rules.FallMultiple, CrowdWindow: us(rules.OverloadFor), DrainGrace: us(rules.DrainGrace),
		WorthByWork: p.WorthBy == "work", OverShareWorth: 1,
		Servers: p.Servers, Callers: f.Callers, Tier: p.Tier, FreshFor: us(f.FreshFor),
		Advice: p.Limits.RetryAfter, MaxAdvice: us(p.Limits.MaxRetryAfter),
		CallShare: f.DepShare, CallWindow: us(f.DepWindow), CallLinger: us(f.Linger),
		Readiness: f.Readiness, KeepAlive: us(f.KeepaliveMax), MarksRetries: p.ClientHabits.MarksRetry,
	}
	if p.OverShareWorth != nil {
		s.OverShareWorth = *p.OverShareWorth
	}
	total := 0.0
	for _, part := range []string{"whole", "worst_class", "worst_tenant", "worst_window"} {
		total += p.ScoringMix[part]
	}
	if total > 0 {
		s.ClassMix = p.ScoringMix["worst_class"] / total
	}
	var err error
	if s.Halt, err = choose("preemption", f.Preemption, map[string]silverpath.Halt{
		"none": silverpath.HaltNone, "drop": silverpath.HaltDrop, "pause": silverpath.HaltPause}); err != nil {
		return s, nil, err
	}
	if s.Signal, err = choose("say", f.Say, map[string]silverpath.Signal{
		"none": silverpath.SignalNone, "level": silverpath.SignalLevel,
		"credit": silverpath.SignalCredit, "weight": silverpath.SignalWeight}); err != nil {
		return s, nil, err
	}
	if s.Dependency, err = choose("below", f.Below, map[string]silverpath.Dependency{
		"none": silverpath.DependencyNone, "shared": silverpath.DependencyShared,
		"tier": silverpath.DependencyTier}); err != nil {
		return s, nil, err
	}
	if n := len(f.CallsByClass); n != 0 && n != len(p.Classes) {
		return s, nil, fmt.Errorf("calls_by_class: %d values for %d classes", n, len(p.Classes))
	}
	if n := len(f.WorthWithout); n != 0 && n != len(p.Classes) {
		return s, nil, fmt.Errorf("worth_without: %d values for %d classes", n, len(p.Classes))
	}
	for i, c := range p.Classes {
		effect, err := choose("effect", c.Effect, map[string]silverpath.Effect{
			"pure": silverpath.Safe, "token": silverpath.Keyed, "side_effect": silverpath.Unsafe})
		if err != nil {
			return s, nil, err
		}
		class := silverpath.Class{
			Name: c.Name, Aim: us(c.Target), AimStretch: c.AimStretch, Deadline: us(c.Deadline),
			Worth: c.Worth, LateWorth: c.LateWorth, Effect: effect, KeyWindow: us(c.MemorySpan),
		}
		if len(f.CallsByClass) > 0 {
			class.CallsBelow = f.CallsByClass[i]
		}
		if len(f.WorthWithout) > 0 {
			class.WithoutCall = f.WorthWithout[i]
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range p.Tenants {
		s.Tenants = append(s.Tenants, silverpath.Tenant{Name: t.Name, Rate: t.AllowancePerS})
	}
	return s, f.Gauges, nil
}
