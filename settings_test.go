package silverpath

import (
	"math"
	"slices"
	"strings"
	"testing"
)

func TestImpossibleSettings(t *testing.T) {
	for field, f := range map[string]func(*Settings){
		"Cores":                  func(s *Settings) { s.Cores = 0 },
		"MemoryKB":               func(s *Settings) { s.MemoryKB = 0 },
		"Classes":                func(s *Settings) { s.Classes = nil },
		"Aim":                    func(s *Settings) { s.Classes[0].Objective = -1 },
		"Name":                   func(s *Settings) { s.Classes[1].Name = "read" },
		"MaxAdvice":              func(s *Settings) { s.MaxRetryAfter = -1 },
		"CallShare":              func(s *Settings) { s.CallQuota = math.NaN() },
		"KeyKB":                  func(s *Settings) { s.KeyKB = math.Inf(1) },
		"ColdFrom":               func(s *Settings) { s.ColdSpeed = -0.1 },
		"Classes[1].Worth":       func(s *Settings) { s.Classes[1].Weight = math.NaN() },
		"Classes[2].WithoutCall": func(s *Settings) { s.Classes[2].DegradedWeight = math.Inf(1) },
		"Classes[0].Deadline":    func(s *Settings) { s.Classes[0].Deadline = 0 },
		"Classes[0].KeyWindow":   func(s *Settings) { s.Classes[0].IdempotencyWindow = -1 },
		"Tenants[0].Rate":        func(s *Settings) { s.Tenants = []Tenant{{Rate: math.Inf(1)}} },
		"Servers":                func(s *Settings) { s.Servers = -1 },
		"WarmWithin":             func(s *Settings) { s.WarmupTime = 1 << 62 },
	} {
		set := testSettings()
		set.Classes = slices.Clone(set.Classes)
		f(&set)
		if _, err := New(0, set, &scriptHost{}); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: New returned error %v", field, err)
		}
	}
}
