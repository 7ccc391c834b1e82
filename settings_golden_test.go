package silverpath_test

import (
	"math"
	"testing"
	"time"

	"silverpath"
)

// The texts of settings errors must not change: operators read them in reload errors and in the log.
func TestImpossibleSettingsTexts(t *testing.T) {
	for _, c := range []struct {
		change func(*silverpath.Settings)
		want   string
	}{
		{func(s *silverpath.Settings) { s.Cores = 0 }, "Cores: none"},
		{func(s *silverpath.Settings) { s.MemoryKB = 0 }, "MemoryKB: none"},
		{func(s *silverpath.Settings) { s.MemoryKB = math.NaN() }, "MemoryKB: none"},
		{func(s *silverpath.Settings) { s.MemoryKB = math.Inf(1) }, "MemoryKB: not a number of 0 or more: +Inf"},
		{func(s *silverpath.Settings) { s.Classes = nil }, "Classes: none"},
		{func(s *silverpath.Settings) { s.Servers = -1 }, "Servers: negative: -1"},
		{func(s *silverpath.Settings) { s.Callers = -2 }, "Callers: negative: -2"},
		{func(s *silverpath.Settings) { s.Tier = -3 }, "Tier: negative: -3"},
		{func(s *silverpath.Settings) { s.RunFactor = -1 }, "RunFactor: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.KeyKB = math.NaN() }, "KeyKB: not a number of 0 or more: NaN"},
		{func(s *silverpath.Settings) { s.ColdSpeed = -0.5 }, "ColdFrom: not a number of 0 or more: -0.5"},
		{func(s *silverpath.Settings) { s.MaxRunsPerCore = -1 }, "CrowdLimit: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.OverQuotaWeight = -1 }, "OverShareWorth: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.ClassMix = -1 }, "ClassMix: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.CallQuota = -1 }, "CallShare: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.WarmupTime = -1 }, "WarmWithin: negative, or longer than a year: -1ns"},
		{func(s *silverpath.Settings) { s.RunsWindow = -1 }, "CrowdWindow: negative, or longer than a year: -1ns"},
		{func(s *silverpath.Settings) { s.DrainGrace = -time.Second }, "DrainGrace: negative, or longer than a year: -1s"},
		{func(s *silverpath.Settings) { s.FreshFor = -1 }, "FreshFor: negative, or longer than a year: -1ns"},
		{func(s *silverpath.Settings) { s.MaxRetryAfter = -1 }, "MaxAdvice: negative, or longer than a year: -1ns"},
		{func(s *silverpath.Settings) { s.CallWindow = -1 }, "CallWindow: negative, or longer than a year: -1ns"},
		{func(s *silverpath.Settings) { s.CallLinger = -1 }, "CallLinger: negative, or longer than a year: -1ns"},
		{func(s *silverpath.Settings) { s.KeepAlive = 367 * 24 * time.Hour }, "KeepAlive: negative, or longer than a year: 8808h0m0s"},
		{func(s *silverpath.Settings) { s.Classes[1].Name = "read" }, `Classes[1].Name: "read" given twice`},
		{func(s *silverpath.Settings) { s.Classes[0].Deadline = 0 }, "Classes[0].Deadline: none"},
		{func(s *silverpath.Settings) { s.Classes[0].Deadline = 367 * 24 * time.Hour }, "Classes[0].Deadline: negative, or longer than a year: 8808h0m0s"},
		{func(s *silverpath.Settings) { s.Classes[0].Objective = -1 }, "Classes[0].Aim: negative, or longer than a year: -1ns"},
		{func(s *silverpath.Settings) { s.Classes[0].IdempotencyWindow = -1 }, "Classes[0].KeyWindow: negative, or longer than a year: -1ns"},
		{func(s *silverpath.Settings) { s.Classes[0].ObjectiveStretch = -1 }, "Classes[0].AimStretch: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.Classes[0].Weight = -1 }, "Classes[0].Worth: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.Classes[0].LateWeight = -1 }, "Classes[0].LateWorth: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.Classes[0].DegradedWeight = -1 }, "Classes[0].WithoutCall: not a number of 0 or more: -1"},
		{func(s *silverpath.Settings) { s.Tenants[0].Rate = -1 }, "Tenants[0].Rate: not a number of 0 or more: -1"},
	} {
		set := silverpath.Settings{Cores: 1, MemoryKB: 1, Tenants: []silverpath.Tenant{{Name: "t", Rate: 1}},
			Classes: []silverpath.Class{{Name: "read", Deadline: 1}, {Name: "pay", Deadline: 1}}}
		c.change(&set)
		_, err := silverpath.New(0, set, idleHost{})
		if want := "silverpath: impossible settings: " + c.want; err == nil || err.Error() != want {
			t.Errorf("New returned error %v, want %s", err, want)
		}
	}
	if _, err := silverpath.New(0, silverpath.Settings{}, nil); err == nil || err.Error() != "silverpath: no host" {
		t.Errorf("New returned error %v without a host", err)
	}
}
