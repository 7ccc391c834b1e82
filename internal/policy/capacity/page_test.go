package capacity_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"silverpath/deploy"
	"silverpath/docs/results"
	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/metrics"
	"silverpath/internal/policy/capacity"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/proxy"
	"silverpath/internal/settings"
	"silverpath/internal/transport/loadreport"
)

var update = flag.Bool("update", false, "write the tables of docs/CAPACITY.md anew")

const page = "../../../docs/CAPACITY.md"

func target(t *testing.T, change func(*capacity.Target)) capacity.Target {
	t.Helper()
	of, err := settings.ParseTarget(deploy.Target)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&of)
	}
	return of
}

func plan(t *testing.T, of capacity.Target, from string, p capacity.ProgramLimits) capacity.Plan {
	t.Helper()
	r, err := results.Read(from)
	if err != nil {
		t.Fatal(err)
	}
	got, err := capacity.Compute(of, r, p)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// The tables of the page are those that the computation has on the results that are kept: go test ./internal/policy/capacity -update writes them.
func TestPage(t *testing.T) {
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	tables := plan(t, target(t, nil), results.Scale, capacity.Current).Tables()
	tables = append(tables, plan(t, target(t, nil), results.Was, capacity.BeforeParts).BreakingTable("was"))
	for _, other := range []struct {
		name   string
		change func(*capacity.Target)
	}{
		{"pick", func(x *capacity.Target) { x.Readings.CallersPick = true }},
		{"routes", func(x *capacity.Target) { x.Readings.RoutesBeside = true }},
		{"added", func(x *capacity.Target) { x.Readings.ControlAdded = true }},
	} {
		tables = append(tables, capacity.Compare(other.name, plan(t, target(t, nil), results.Scale, capacity.Current), plan(t, target(t, other.change), results.Scale, capacity.Current)))
	}
	want, err := capacity.Fill(string(data), tables)
	if err != nil {
		t.Fatal(err)
	}
	if want == string(data) {
		return
	}
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	is, should := strings.Split(string(data), "\n"), strings.Split(want, "\n")
	for i := range should {
		if i >= len(is) || is[i] != should[i] {
			t.Fatalf("docs/CAPACITY.md, line %d: the page and the computation differ, which says\n%s", i+1, should[i])
		}
	}
	t.Fatal("docs/CAPACITY.md: the page is longer than the computation")
}

// Every field of the target's file is on the page.
func TestFieldsAreOnThePage(t *testing.T) {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, part, ok := strings.Cut(string(text), "## The target's file")
	if !ok {
		t.Fatal("no part for the file")
	}
	var all map[string]any
	if err := json.Unmarshal(deploy.Target, &all); err != nil {
		t.Fatal(err)
	}
	for key, v := range all {
		inner, ok := v.(map[string]any)
		if !ok {
			if !strings.Contains(part, "`"+key+"`") {
				t.Errorf("%s is not on the page", key)
			}
			continue
		}
		for name := range inner {
			if !strings.Contains(part, "`"+key+"."+name+"`") && !strings.Contains(part, "`."+name+"`") {
				t.Errorf("%s.%s is not on the page", key, name)
			}
		}
	}
}

// A page that lacks a table, or has one that nobody computes, is found.
func TestFill(t *testing.T) {
	table := capacity.Table{Name: "a", Head: []string{"x", "y"}, Rows: [][]string{{"1", "a|b"}}}
	const good = "text\n<!-- capacity:a -->\nold\n<!-- /capacity -->\nmore\n"
	got, err := capacity.Fill(good, []capacity.Table{table})
	if want := "text\n<!-- capacity:a -->\n| x | y |\n| --- | --- |\n| 1 | a\\|b |\n<!-- /capacity -->\nmore\n"; err != nil || got != want {
		t.Errorf("%q, %v", got, err)
	}
	for bad, want := range map[string]string{
		"text": `no marker for the table "a"`, "<!-- capacity:a -->\nold\n": `the marker of the table "a" has no end`,
		good + "<!-- capacity:b -->\n<!-- /capacity -->\n": `no table for the marker "b"`,
	} {
		if _, err := capacity.Fill(bad, []capacity.Table{table}); err == nil || err.Error() != want {
			t.Errorf("%q: %v, want %s", bad, err, want)
		}
	}
}

type fixed struct{ m *cells.Map }

func (f fixed) Load(*cells.Map) (*cells.Map, time.Time, error) { return f.m, time.Now(), nil }

// What an entry takes of a document, a word, a status and a report is what the program writes, for names of eleven and twelve letters.
func TestSizes(t *testing.T) {
	of := func(servers, tenants int) *cells.Map {
		m := &cells.Map{Version: 1, KeyWindow: time.Second, Lease: time.Second, CallerTimeout: time.Second, Cells: []cells.Cell{{Name: "cell-001", Capacity: 430}}}
		for i := range servers {
			m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("10.20.101.%03d:4001", i), Cell: "cell-001",
				Weight: 1, JoinsAt: 1767225600000})
		}
		for i := range tenants {
			m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%05d", i), Rate: 11.5,
				Homes: []cells.Home{{Cell: "cell-001", Shard: 8, Since: 1767225600000}}})
		}
		return m
	}
	text := func(m *cells.Map) int { return len(settings.FormatCells(m)) }
	word := func(m *cells.Map) int {
		b, err := json.Marshal(string(settings.FormatCells(m)))
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	status := func(m *cells.Map) int {
		r, err := proxy.New(proxy.Config{Name: "r", Cores: 1, HealthCheckInterval: time.Second, MaxConnections: 8, Source: fixed{m}}, nil, log.New(io.Discard, "", 0), &metrics.Counters{})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		return len(r.Status())
	}
	p := capacity.Current
	for _, c := range []struct {
		name           string
		size           func(*cells.Map) int
		server, tenant float64
	}{
		{"document", text, p.ServerTextSize, p.TenantTextSize},
		{"word", word, p.ServerMessageSize, p.TenantMessageSize},
		{"status", status, p.ServerStatusSize, 0},
		{"status of tenants that have moved", func(m *cells.Map) int {
			for i := range m.Tenants {
				m.Tenants[i].Homes = append(m.Tenants[i].Homes, cells.Home{Cell: "cell-001", Shard: 8, Since: 1767225600001})
			}
			return status(m)
		}, p.ServerStatusSize, p.TenantStatusSize},
	} {
		base := c.size(of(10, 10))
		if n := float64(c.size(of(20, 10))-base) / 10; n != c.server {
			t.Errorf("%s: %v bytes a server, the table has %v", c.name, n, c.server)
		}
		if n := float64(c.size(of(10, 20))-base) / 10; n != c.tenant {
			t.Errorf("%s: %v bytes a tenant, the table has %v", c.name, n, c.tenant)
		}
	}
	// Of a map in parts: its entries, as texts and within a word, and the rest of a part.
	plain := func(m *cells.Map) (n int) {
		for _, text := range settings.SplitCells(m) {
			n += len(text)
		}
		return n
	}
	inWords := func(m *cells.Map) (n int) {
		for _, text := range settings.SplitCells(m) {
			n += configstore.EncodedSize(text)
		}
		return n
	}
	// Beyond the first entry of a part each has a comma.
	const many, more = 6000, 12000
	for _, c := range []struct {
		name           string
		size           func(*cells.Map) int
		server, tenant float64
	}{
		{"part", plain, p.ServerPartTextSize, p.TenantPartTextSize},
		{"part within a word", inWords, p.ServerPartMessageSize, p.TenantPartMessageSize},
	} {
		base := c.size(of(900, many))
		if n := float64(c.size(of(990, many))-base) / 90; n != c.server {
			t.Errorf("%s: %v bytes a server, the table has %v", c.name, n, c.server)
		}
		if n := float64(c.size(of(900, more))-base) / (more - many); n != c.tenant {
			t.Errorf("%s: %v bytes a tenant, the table has %v", c.name, n, c.tenant)
		}
	}
	wrote := func(v any) int {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	const version, digest = 1234567, 12345678901234567890
	bare := map[string]configstore.Part{"t00": {Version: version, Digest: digest, Text: `{"tenants":[]}`}}
	size := wrote(bare)
	bare["t01"] = bare["t00"]
	if n := float64(wrote(bare) - size); n != p.PartMessageSize {
		t.Errorf("%v bytes of a part without entries, the table has %v", n, p.PartMessageSize)
	}
	// A process that is registered: of one map under way it has said that it holds it.
	book := func(users int) (b *configstore.Store, heard map[string]configstore.ProcessReport) {
		b, heard = configstore.NewStore(), map[string]configstore.ProcessReport{}
		for i := range users {
			name := fmt.Sprintf("server-%04d#0a1b2c3d", i)
			b.Processes[name] = &configstore.Process{Name: name, Formats: map[string]int{configstore.DocMap: 2, configstore.DocRouting: 1, configstore.DocClasses: 1},
				Prepared: map[string]int{configstore.DocMap: version}, Quiesced: map[string]int{}}
			heard[name] = configstore.ProcessReport{AgeMS: 512, ActiveVersions: map[string]int{configstore.DocMap: version, configstore.DocRouting: 123, configstore.DocClasses: 12},
				Goodput: configstore.Goodput{Offered: 123456.5, Served: 123455.25}}
		}
		return b, heard
	}
	snapshot := func(users int) int {
		s := statemachine.New(1)
		s.Config, _ = book(users)
		b, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	read := func(users int) int {
		b, heard := book(users)
		return wrote(quorum.ConfigView{Store: b.Summary(), Reports: heard})
	}
	if n := float64(snapshot(20)-snapshot(10)) / 10; n != p.ProcessMessageSize {
		t.Errorf("a snapshot: %v bytes a process, the table has %v", n, p.ProcessMessageSize)
	}
	if n := float64(read(20)-read(10)) / 10; n != p.ProcessReadMessageSize {
		t.Errorf("a reading of the rules: %v bytes a process, the table has %v", n, p.ProcessReadMessageSize)
	}
	further := of(900, many)
	size = plain(further)
	further.Tenants[3].Homes = append(further.Tenants[3].Homes, cells.Home{Cell: "cell-001", Shard: 8, Since: 1767225600001})
	if n := float64(plain(further) - size); n != p.HomePartTextSize {
		t.Errorf("part: %v bytes a further home, the table has %v", n, p.HomePartTextSize)
	}

	moved := of(10, 10)
	base := text(moved)
	moved.Tenants[3].Homes = append(moved.Tenants[3].Homes, cells.Home{Cell: "cell-001", Shard: 8, Since: 1767225600001})
	if n := float64(text(moved) - base); n != p.HomeTextSize {
		t.Errorf("document: %v bytes a further home, the table has %v", n, p.HomeTextSize)
	}
	if got := float64(loadreport.Interval.Milliseconds()); got != p.ReportInterval {
		t.Errorf("reports each %v ms, the table has %v", got, p.ReportInterval)
	}
}

// What is counted of the target's map in parts is what the program writes of one: a snapshot, a reading of the rules, an answer that tells
// of a tenant's change (less one that tells of none), and the fullest part.
func TestCountedInParts(t *testing.T) {
	of := target(t, nil)
	p := plan(t, of, results.Scale, capacity.Current)
	at := func(role, figure string, k capacity.Condition) float64 {
		for _, l := range p.Lines {
			if l.Role == role && l.Figure == figure {
				return float64(l.Estimates[k].Value) * 1024
			}
		}
		t.Fatal("no line ", figure)
		return 0
	}
	m := &cells.Map{Version: 1, KeyWindow: time.Second, Lease: time.Second, CallerTimeout: time.Second, Cells: []cells.Cell{{Name: "cell-001", Capacity: 430}}}
	for i := range int(of.Servers) {
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("10.20.101.%03d:4001", i), Cell: "cell-001", Weight: 1, JoinsAt: 1767225600000})
	}
	for i := range int(of.Tenants) {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%05d", i), Rate: 11.5, Homes: []cells.Home{{Cell: "cell-001", Shard: 8, Since: 1767225600000}}})
	}
	s := statemachine.New(1)
	do := func(c configstore.Change) {
		t.Helper()
		if r := s.Apply(statemachine.Command{Config: &c}); r.Error != "" {
			t.Fatal(r.Error)
		}
	}
	texts := settings.SplitCells(m)
	batches := configstore.Batches(texts)
	for _, one := range batches {
		do(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: "a", Parts: one})
	}
	do(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Draft: "a", Digest: configstore.TextsDigest(texts)})
	do(configstore.Change{Op: configstore.OpAdvance, Doc: configstore.DocMap, Version: 1, Stage: configstore.StageProposed})
	heard := map[string]configstore.ProcessReport{}
	for i := range int(of.Servers + float64(p.Routers)) {
		u := configstore.Process{Name: fmt.Sprintf("server-%04d#0a1b2c3d", i), Formats: map[string]int{configstore.DocMap: 2, configstore.DocRouting: 1, configstore.DocClasses: 1}}
		do(configstore.Change{Op: configstore.OpRegister, Process: &u})
		heard[u.Name] = configstore.ProcessReport{AgeMS: 512, ActiveVersions: map[string]int{configstore.DocMap: 1, configstore.DocRouting: 123, configstore.DocClasses: 12}, Goodput: configstore.Goodput{Offered: 123456.5, Served: 123455.25}}
	}
	within := func(what string, is int, want float64) {
		t.Helper()
		t.Logf("%s: %d bytes, counted %.0f", what, is, want)
		if off := float64(is)/want - 1; off > 0.01 || off < -0.1 { // small versions are shorter than what is counted
			t.Errorf("%s: %d bytes, counted %.0f", what, is, want)
		}
	}
	wrote := func(v any) int {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	within("snapshot", len(b), at("leader", "bytes of a snapshot of the group", capacity.Rest))
	within("reading", wrote(quorum.ConfigView{Store: s.Config.Summary(), Reports: heard}), at("tool", "bytes of one reading of the rules", capacity.Rest))
	if n := at("tool", "words of a first import", capacity.Rest) / 1024; math.Abs(float64(len(batches))-n) > 1 {
		t.Errorf("%d words of a first import, counted %v", len(batches), n)
	}
	all, fullest := 0, 0
	for name, text := range texts {
		all += len(text)
		if name[0] == 't' && name != cells.TopName {
			fullest = max(fullest, len(text))
		}
	}
	for _, x := range p.BreakingPoints {
		switch x.Name {
		case "leader: the map as one document":
			within("map", all, float64(x.NeededAtTarget.Value)*1024)
		case "leader: the fullest part of the map":
			within("fullest part", fullest, float64(x.NeededAtTarget.Value)*1024)
		}
	}
	// Of all tenants the mean answer: a change of each part's first tenant.
	before, sum := texts, 0
	d, u := s.Config.Documents[configstore.DocMap], s.Config.Processes["server-0000#0a1b2c3d"]
	tell := func(d *configstore.Document) int {
		return wrote(quorum.ConfigSyncReply{Docs: map[string]configstore.View{configstore.DocMap: d.ViewFor(u, []int{1}, 1)}})
	}
	for i := range cells.TenantParts {
		name := cells.TenantPartName(i)
		changed := map[string]string{cells.TopName: `{"version":1234567,"epoch":0}`, name: strings.Replace(before[name], "11.5", "12.5", 1)}
		over := map[string]configstore.Part{}
		for name, text := range changed {
			over[name] = configstore.Part{Version: 2, Digest: configstore.PartDigest(text), Text: text}
		}
		next := *d
		next.Proposed, next.Stage = &configstore.Revision{ID: configstore.ID{Version: 2}, Format: 2, InParts: true, Parts: over}, configstore.StageProposed
		sum += tell(&next) - tell(d)
	}
	within("a tenant's change", sum/cells.TenantParts, at("router", "bytes in, the map with each change", capacity.Burst)/of.Assumed.BurstChanges)
}
