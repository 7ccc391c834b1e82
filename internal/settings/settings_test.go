package settings

import (
	"strings"
	"testing"
	"time"

	"silverpath"
)

const moduleSettings = `{"classes":[{"name":"read","target":1000000,"deadline":3000000,"worth":1,"effect":"pure"},` +
	`{"name":"pay","target":1000000,"deadline":3000000,"worth":3,"effect":"token","memory_span":9000000}],` +
	`"family_info":{"below":"tier","cpus":2,"memory_kb":10000.5,"run_factor":4,"key_kb":5,"say":"credit","cold":true,` +
	`"preemption":"none","gauges":["core_use","on_cores"],"calls_by_class":[true,false],"unknown":{}},` +
	`"rules":{"fall_multiple":6,"overload_for":2000000,"drain_grace":1000000},"limits":{"retry_after":true,"max_retry_after":1000000},` +
	`"scoring_mix":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.1},"tenants":[{"name":"acme","allowance_per_s":12.5}]}`

const config = `{"name":"n3","listen":"127.0.0.4:8080","vm":"127.1.0.1:7300","announce":"127.2.0.1:2379","vault":"127.1.0.2:9042",` +
	`"seed":"8c1f30d27a5be964","stop_ms":3200,"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":` + moduleSettings + `}`

func TestConfig(t *testing.T) {
	c, err := ParseConfig([]byte(config), "other", "other")
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.StopTimeout != 3200*time.Millisecond || c.Descriptors != 1024 || c.MemoryMB != 192 || c.Seed == 0 ||
		c.SCGI.Listen != "" || len(c.Gauges) != 2 {
		t.Errorf("%+v", c)
	}
	s := c.Server
	if s.Cores != 2 || s.MemoryKB != 10000.5 || !s.Cold || s.Signal != silverpath.SignalCredit || !s.RetryAfter ||
		s.Dependency != silverpath.DependencyTier || s.ClassMix != 0.2 || s.OverQuotaWeight != 1 ||
		s.Classes[1].Effect != silverpath.Idempotent || s.Classes[1].IdempotencyWindow != 9*time.Second || !s.Classes[0].CallsDependency ||
		s.Tenants[0].Rate != 12.5 {
		t.Errorf("%+v", s)
	}
	if c, err = ParseConfig([]byte(strings.Replace(config, `"name":"n3","listen":"127.0.0.4:8080",`, "", 1)), "n9", "127.0.0.1:1"); err != nil || c.Name != "n9" || c.Listen != "127.0.0.1:1" {
		t.Errorf("name %q, listen %q, error %v", c.Name, c.Listen, err)
	}
}

// The error for an invalid configuration is one line that names the field.
func TestBadConfig(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`{"name"`, `["name"`, "not JSON"},
		{`"127.0.0.4:8080"`, `"localhost"`, `listen: not an address and port: "localhost"`},
		{`"127.0.0.4:8080"`, `8080`, "listen: a number where a string belongs"},
		{`"vm":"127.1.0.1:7300"`, `"vm":""`, "vm: not an address"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed: not a hexadecimal"},
		{`"stop_ms":3200`, `"stop_ms":0`, "stop_ms: not above 0"},
		{`"stop_ms":3200`, `"stop_ms":1.5`, "stop_ms: not a whole number"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb: under 16"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets: under 64"},
		{`"settings":`, `"setting":`, "settings: missing"},
		{`"cpus":2`, `"cpus":0`, "Cores: none"},
		{`"cpus":2`, `"cpus":"2"`, "settings.family_info.cpus: a string where a number belongs"},
		{`"say":"credit"`, `"say":"shout"`, `settings.family_info.say: unknown: "shout"`},
		{`"effect":"token"`, `"effect":"odd"`, `settings.classes[1].effect: unknown`},
		{`"calls_by_class":[true,false]`, `"calls_by_class":[true]`, "settings.family_info.calls_by_class: 1 values for 2 classes"},
		{`"stop_ms"`, `"scgi":{"listen":"x"},"stop_ms"`, "scgi.listen: not an address"},
		{`"stop_ms"`, `"scgi":{"held_kb":-1},"stop_ms"`, "scgi.held_kb"},
		{`"stop_ms"`, `"snmp":{"listen":"127.0.0.1:1161"},"stop_ms"`, "snmp.community: missing"},
		{`"stop_ms"`, `"scgi":{"half_close":1},"stop_ms"`, "scgi.half_close: neither true nor false"},
	} {
		text := strings.Replace(config, c.old, c.new, 1)
		if text == config {
			t.Fatalf("%s is not in the configuration", c.old)
		}
		_, err := ParseConfig([]byte(text), "", "")
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one with %q", c.new, err, c.want)
		}
	}
}

func FuzzConfig(f *testing.F) {
	f.Add(config)
	f.Add(`{"settings":{"classes":[1]}}`)
	f.Fuzz(func(t *testing.T, text string) {
		if c, err := ParseConfig([]byte(text), "n", "127.0.0.1:1"); err == nil && c.Server.Cores <= 0 {
			t.Fatal("a configuration without cores is accepted")
		}
	})
}

// The error for an invalid edge file is one line that names the field.
func TestBadEdge(t *testing.T) {
	site, err := ParseConfig([]byte(config), "", "")
	if err != nil {
		t.Fatal(err)
	}
	class := site.Server.Classes[0].Name
	good := `{"pools":[{"name":"a","classes":["` + class + `"],"weight":2,"floor":0.5},{"name":"b","weight":1,"floor":0.5}],
		"limit":{"least":2},"memory":{"tight":0.5},"reserve":{"cheap_per_s":100}}`
	e, err := ParseEdge([]byte(good), site.Server)
	if err != nil || !e.Enabled || !e.Status || !e.HasPools() || e.Reserve == nil || e.Pools.Limit.Min != 2 {
		t.Fatalf("%+v, %v", e, err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`{"pools"`, `["pools"`, "not JSON"},
		{`"pools":`, `"pool":`, "pool: unknown"},
		{`"weight":2`, `"wieght":2`, "pools[0].wieght: unknown"},
		{`"weight":2`, `"weight":"2"`, "pools[0].weight: a string where a number belongs"},
		{`"weight":2`, `"weight":-2`, "pools[0].weight: not a number of 0 or more"},
		{`["` + class + `"]`, `["nothing"]`, `pools[0].classes[0]: no class of the site: "nothing"`},
		{`["` + class + `"]`, `[7]`, `pools[0].classes[0]: not a string`},
		{`"floor":0.5}]`, `"floor":0.6}]`, "pools[0].floor, pools[1].floor: add up to 1.1"},
		{`"least":2`, `"least":-2`, "limit.least"},
		{`"tight":0.5`, `"tight":1.5`, "memory.tight"},
		{`"cheap_per_s":100`, `"cheap_per_s":0.5`, "reserve.cheap_per_s"},
		{`"limit"`, `"status":1,"limit"`, "status: neither true nor false"},
		{`"limit"`, `"fleet":{"probe_ms":5},"limit"`, "fleet.map: missing"},
		{`"limit"`, `"fleet":{"map":"x","retries":2},"limit"`, "fleet.retries: not from 0 to 1: 2"},
		{`"limit"`, `"fleet":{"map":"x","speed":2},"limit"`, "fleet.speed: unknown"},
		{`"limit"`, `"cell":1,"limit"`, "cell: neither true nor false"},
		{good[1:strings.Index(good, `"limit"`)], "", "pools: none, but a limit or a memory is set up"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%s is not in the file", c.old)
		}
		if _, err := ParseEdge([]byte(text), site.Server); err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one with %q", c.new, err, c.want)
		}
	}
}
