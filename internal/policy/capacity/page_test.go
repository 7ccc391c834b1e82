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

var update = flag.Bool("update", false, "rewrite the tables of docs/CAPACITY.md")

const pagePath = "../../../docs/CAPACITY.md"

// loadTarget returns the built-in target with a modification.
func loadTarget(t *testing.T, modify func(*capacity.Target)) capacity.Target {
	t.Helper()
	parsed, err := settings.ParseTarget(deploy.Target)
	if err != nil {
		t.Fatal(err)
	}
	if modify != nil {
		modify(&parsed)
	}
	return parsed
}

// computePlan computes the plan of a target from a built-in file of results.
func computePlan(t *testing.T, target capacity.Target, resultsFile string, limits capacity.ProgramLimits) capacity.Plan {
	t.Helper()
	r, err := results.Read(resultsFile)
	if err != nil {
		t.Fatal(err)
	}
	got, err := capacity.Compute(target, r, limits)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// The tables of docs/CAPACITY.md equal those computed from the built-in results. "go test ./internal/policy/capacity -update" rewrites them.
func TestPage(t *testing.T) {
	data, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	tables := computePlan(t, loadTarget(t, nil), results.Scale, capacity.Current).Tables()
	tables = append(tables, computePlan(t, loadTarget(t, nil), results.ScaleBeforeParts, capacity.BeforeParts).BreakingTable("was"))
	for _, reading := range []struct {
		name   string
		change func(*capacity.Target)
	}{
		{"pick", func(x *capacity.Target) { x.Readings.CallersPickServers = true }},
		{"routes", func(x *capacity.Target) { x.Readings.RoutesBesideTenants = true }},
		{"added", func(x *capacity.Target) { x.Readings.ControlAdded = true }},
	} {
		tables = append(tables, capacity.Compare(reading.name, computePlan(t, loadTarget(t, nil), results.Scale, capacity.Current), computePlan(t, loadTarget(t, reading.change), results.Scale, capacity.Current)))
	}
	want, err := capacity.Fill(string(data), tables)
	if err != nil {
		t.Fatal(err)
	}
	if want == string(data) {
		return
	}
	if *update {
		if err := os.WriteFile(pagePath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	pageLines, wantLines := strings.Split(string(data), "\n"), strings.Split(want, "\n")
	for i := range wantLines {
		if i >= len(pageLines) || pageLines[i] != wantLines[i] {
			t.Fatalf("docs/CAPACITY.md, line %d: the page differs from the computed line\n%s", i+1, wantLines[i])
		}
	}
	t.Fatal("docs/CAPACITY.md: the page has more lines than the computed page")
}

// Every field of the target's file is described in docs/CAPACITY.md.
func TestFieldsAreOnThePage(t *testing.T) {
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(text), "## The target's file")
	if !ok {
		t.Fatal("docs/CAPACITY.md has no section \"The target's file\"")
	}
	var fields map[string]any
	if err := json.Unmarshal(deploy.Target, &fields); err != nil {
		t.Fatal(err)
	}
	for key, v := range fields {
		inner, ok := v.(map[string]any)
		if !ok {
			if !strings.Contains(section, "`"+key+"`") {
				t.Errorf("%s is not described in docs/CAPACITY.md", key)
			}
			continue
		}
		for name := range inner {
			if !strings.Contains(section, "`"+key+"."+name+"`") && !strings.Contains(section, "`."+name+"`") {
				t.Errorf("%s.%s is not described in docs/CAPACITY.md", key, name)
			}
		}
	}
}

// Fill reports a page without the marker of a table, and a marker without a table.
func TestFill(t *testing.T) {
	table := capacity.Table{Name: "a", Head: []string{"x", "y"}, Rows: [][]string{{"1", "a|b"}}}
	const good = "text\n<!-- capacity:a -->\nold\n<!-- /capacity -->\nmore\n"
	got, err := capacity.Fill(good, []capacity.Table{table})
	if want := "text\n<!-- capacity:a -->\n| x | y |\n| --- | --- |\n| 1 | a\\|b |\n<!-- /capacity -->\nmore\n"; err != nil || got != want {
		t.Errorf("filled page %q, error %v", got, err)
	}
	for text, want := range map[string]string{
		"text": `no marker for the table "a"`, "<!-- capacity:a -->\nold\n": `the marker of the table "a" has no end`,
		good + "<!-- capacity:b -->\n<!-- /capacity -->\n": `no table for the marker "b"`,
	} {
		if _, err := capacity.Fill(text, []capacity.Table{table}); err == nil || err.Error() != want {
			t.Errorf("page %q: error %v, want %s", text, err, want)
		}
	}
}

// staticSource is a map source that always returns the same map.
type staticSource struct{ m *cells.Map }

func (f staticSource) Load(*cells.Map) (*cells.Map, time.Time, error) { return f.m, time.Now(), nil }

// The sizes in Current and the report interval equal those of the program. The sizes of entries are for names of 11 and 12 letters.
func TestSizes(t *testing.T) {
	makeMap := func(servers, tenants int) *cells.Map {
		m := &cells.Map{Version: 1, KeyWindow: time.Second, Lease: time.Second, CallerTimeout: time.Second, Cells: []cells.Cell{{Name: "cell-001", Capacity: 430}}}
		for i := range servers {
			m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("10.20.101.%03d:4001", i), Cell: "cell-001",
				Weight: 1, JoinsAt: 1767225600000})
		}
		for i := range tenants {
			m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%05d", i), Rate: 11.5,
				Homes: []cells.Home{{Cell: "cell-001", ShardSize: 8, Since: 1767225600000}}})
		}
		return m
	}
	documentSize := func(m *cells.Map) int { return len(settings.FormatCells(m)) }
	messageSize := func(m *cells.Map) int {
		b, err := json.Marshal(string(settings.FormatCells(m)))
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	statusSize := func(m *cells.Map) int {
		r, err := proxy.New(proxy.Config{Name: "r", Cores: 1, HealthCheckInterval: time.Second, MaxConnections: 8, Source: staticSource{m}}, nil, log.New(io.Discard, "", 0), &metrics.Counters{})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		return len(r.Status())
	}
	limits := capacity.Current
	for _, tc := range []struct {
		name           string
		size           func(*cells.Map) int
		server, tenant float64
	}{
		{"document", documentSize, limits.ServerTextSize, limits.TenantTextSize},
		{"message", messageSize, limits.ServerMessageSize, limits.TenantMessageSize},
		{"status", statusSize, limits.ServerStatusSize, 0},
		{"status of tenants that have moved", func(m *cells.Map) int {
			for i := range m.Tenants {
				m.Tenants[i].Homes = append(m.Tenants[i].Homes, cells.Home{Cell: "cell-001", ShardSize: 8, Since: 1767225600001})
			}
			return statusSize(m)
		}, limits.ServerStatusSize, limits.TenantStatusSize},
	} {
		base := tc.size(makeMap(10, 10))
		if n := float64(tc.size(makeMap(20, 10))-base) / 10; n != tc.server {
			t.Errorf("%s: %v bytes per server, Current has %v", tc.name, n, tc.server)
		}
		if n := float64(tc.size(makeMap(10, 20))-base) / 10; n != tc.tenant {
			t.Errorf("%s: %v bytes per tenant, Current has %v", tc.name, n, tc.tenant)
		}
	}
	// A map in parts: its entries, as texts and within a message, and the rest of a part.
	partsSize := func(m *cells.Map) (n int) {
		for _, text := range settings.SplitCells(m) {
			n += len(text)
		}
		return n
	}
	partsMessageSize := func(m *cells.Map) (n int) {
		for _, text := range settings.SplitCells(m) {
			n += configstore.EncodedSize(text)
		}
		return n
	}
	// Enough entries that every part has one already: each further entry also adds a comma.
	const manyTenants, moreTenants = 6000, 12000
	for _, tc := range []struct {
		name           string
		size           func(*cells.Map) int
		server, tenant float64
	}{
		{"part", partsSize, limits.ServerPartTextSize, limits.TenantPartTextSize},
		{"part within a message", partsMessageSize, limits.ServerPartMessageSize, limits.TenantPartMessageSize},
	} {
		base := tc.size(makeMap(900, manyTenants))
		if n := float64(tc.size(makeMap(990, manyTenants))-base) / 90; n != tc.server {
			t.Errorf("%s: %v bytes per server, Current has %v", tc.name, n, tc.server)
		}
		if n := float64(tc.size(makeMap(900, moreTenants))-base) / (moreTenants - manyTenants); n != tc.tenant {
			t.Errorf("%s: %v bytes per tenant, Current has %v", tc.name, n, tc.tenant)
		}
	}
	jsonSize := func(v any) int {
		b, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	const version, digest = 1234567, 12345678901234567890
	emptyParts := map[string]configstore.Part{"t00": {Version: version, Digest: digest, Text: `{"tenants":[]}`}}
	size := jsonSize(emptyParts)
	emptyParts["t01"] = emptyParts["t00"]
	if n := float64(jsonSize(emptyParts) - size); n != limits.PartMessageSize {
		t.Errorf("part without entries: %v bytes, Current has %v", n, limits.PartMessageSize)
	}
	// Registered processes, each of which has prepared one map revision.
	makeStore := func(processes int) (store *configstore.Store, reports map[string]configstore.ProcessReport) {
		store, reports = configstore.NewStore(), map[string]configstore.ProcessReport{}
		for i := range processes {
			name := fmt.Sprintf("server-%04d#0a1b2c3d", i)
			store.Processes[name] = &configstore.Process{Name: name, Formats: map[string]int{configstore.DocMap: 2, configstore.DocRouting: 1, configstore.DocClasses: 1},
				Prepared: map[string]int{configstore.DocMap: version}, Quiesced: map[string]int{}}
			reports[name] = configstore.ProcessReport{AgeMS: 512, ActiveVersions: map[string]int{configstore.DocMap: version, configstore.DocRouting: 123, configstore.DocClasses: 12},
				Goodput: configstore.Goodput{Offered: 123456.5, Served: 123455.25}}
		}
		return store, reports
	}
	snapshotSize := func(processes int) int {
		s := statemachine.New(1)
		s.Config, _ = makeStore(processes)
		b, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	configViewSize := func(processes int) int {
		store, reports := makeStore(processes)
		return jsonSize(quorum.ConfigView{Store: store.Summary(), Reports: reports})
	}
	if n := float64(snapshotSize(20)-snapshotSize(10)) / 10; n != limits.ProcessMessageSize {
		t.Errorf("snapshot: %v bytes per process, Current has %v", n, limits.ProcessMessageSize)
	}
	if n := float64(configViewSize(20)-configViewSize(10)) / 10; n != limits.ProcessReadMessageSize {
		t.Errorf("reply with the configuration store: %v bytes per process, Current has %v", n, limits.ProcessReadMessageSize)
	}
	extraHome := makeMap(900, manyTenants)
	size = partsSize(extraHome)
	extraHome.Tenants[3].Homes = append(extraHome.Tenants[3].Homes, cells.Home{Cell: "cell-001", ShardSize: 8, Since: 1767225600001})
	if n := float64(partsSize(extraHome) - size); n != limits.HomePartTextSize {
		t.Errorf("part: %v bytes per additional home, Current has %v", n, limits.HomePartTextSize)
	}

	moved := makeMap(10, 10)
	base := documentSize(moved)
	moved.Tenants[3].Homes = append(moved.Tenants[3].Homes, cells.Home{Cell: "cell-001", ShardSize: 8, Since: 1767225600001})
	if n := float64(documentSize(moved) - base); n != limits.HomeTextSize {
		t.Errorf("document: %v bytes per additional home, Current has %v", n, limits.HomeTextSize)
	}
	if got := float64(loadreport.Interval.Milliseconds()); got != limits.ReportInterval {
		t.Errorf("report interval: %v ms, Current has %v", got, limits.ReportInterval)
	}
}

// The sizes computed for the target's map in parts agree with encoded data: a snapshot, a reply with the configuration store, the growth of a
// sync reply by a change of one tenant, and the fullest part.
func TestCountedInParts(t *testing.T) {
	fleet := loadTarget(t, nil)
	p := computePlan(t, fleet, results.Scale, capacity.Current)
	lineBytes := func(role, figure string, condition capacity.Condition) float64 {
		for _, l := range p.Lines {
			if l.Role == role && l.Figure == figure {
				return float64(l.Estimates[condition].Value) * 1024
			}
		}
		t.Fatal("no line for the figure ", figure)
		return 0
	}
	m := &cells.Map{Version: 1, KeyWindow: time.Second, Lease: time.Second, CallerTimeout: time.Second, Cells: []cells.Cell{{Name: "cell-001", Capacity: 430}}}
	for i := range int(fleet.Servers) {
		m.Servers = append(m.Servers, cells.Server{Name: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("10.20.101.%03d:4001", i), Cell: "cell-001", Weight: 1, JoinsAt: 1767225600000})
	}
	for i := range int(fleet.Tenants) {
		m.Tenants = append(m.Tenants, cells.Tenant{Name: fmt.Sprintf("tenant-%05d", i), Rate: 11.5, Homes: []cells.Home{{Cell: "cell-001", ShardSize: 8, Since: 1767225600000}}})
	}
	s := statemachine.New(1)
	apply := func(c configstore.Change) {
		t.Helper()
		if r := s.Apply(statemachine.Command{Config: &c}); r.Error != "" {
			t.Fatal(r.Error)
		}
	}
	texts := settings.SplitCells(m)
	batches := configstore.Batches(texts)
	for _, batch := range batches {
		apply(configstore.Change{Op: configstore.OpLoadDraft, Doc: configstore.DocMap, Draft: "a", Parts: batch})
	}
	apply(configstore.Change{Op: configstore.OpPropose, Doc: configstore.DocMap, Draft: "a", Digest: configstore.TextsDigest(texts)})
	apply(configstore.Change{Op: configstore.OpAdvance, Doc: configstore.DocMap, Version: 1, Stage: configstore.StageProposed})
	reports := map[string]configstore.ProcessReport{}
	for i := range int(fleet.Servers + float64(p.Routers)) {
		process := configstore.Process{Name: fmt.Sprintf("server-%04d#0a1b2c3d", i), Formats: map[string]int{configstore.DocMap: 2, configstore.DocRouting: 1, configstore.DocClasses: 1}}
		apply(configstore.Change{Op: configstore.OpRegister, Process: &process})
		reports[process.Name] = configstore.ProcessReport{AgeMS: 512, ActiveVersions: map[string]int{configstore.DocMap: 1, configstore.DocRouting: 123, configstore.DocClasses: 12}, Goodput: configstore.Goodput{Offered: 123456.5, Served: 123455.25}}
	}
	checkSize := func(name string, size int, estimate float64) {
		t.Helper()
		t.Logf("%s: %d bytes, computed %.0f", name, size, estimate)
		if deviation := float64(size)/estimate - 1; deviation > 0.01 || deviation < -0.1 { // the computed sizes assume more digits in versions
			t.Errorf("%s: %d bytes, computed %.0f", name, size, estimate)
		}
	}
	jsonSize := func(v any) int {
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
	checkSize("snapshot", len(b), lineBytes("leader", "bytes of a snapshot of the group", capacity.Rest))
	checkSize("reply with the configuration store", jsonSize(quorum.ConfigView{Store: s.Config.Summary(), Reports: reports}), lineBytes("tool", "bytes of one reading of the rules", capacity.Rest))
	if n := lineBytes("tool", "words of a first import", capacity.Rest) / 1024; math.Abs(float64(len(batches))-n) > 1 {
		t.Errorf("first import: %d messages, computed %v", len(batches), n)
	}
	total, fullest := 0, 0
	for name, text := range texts {
		total += len(text)
		if name[0] == 't' && name != cells.TopName {
			fullest = max(fullest, len(text))
		}
	}
	for _, b := range p.BreakingPoints {
		switch b.Name {
		case "leader: the map as one document":
			checkSize("map", total, float64(b.NeededAtTarget.Value)*1024)
		case "leader: the fullest part of the map":
			checkSize("fullest part", fullest, float64(b.NeededAtTarget.Value)*1024)
		}
	}
	// The mean over all parts of the growth of a reply by a change of the part's first tenant.
	original, replyGrowth := texts, 0
	document, process := s.Config.Documents[configstore.DocMap], s.Config.Processes["server-0000#0a1b2c3d"]
	replySize := func(d *configstore.Document) int {
		return jsonSize(quorum.ConfigSyncReply{Docs: map[string]configstore.View{configstore.DocMap: d.ViewFor(process, []int{1}, 1)}})
	}
	for i := range cells.TenantParts {
		name := cells.TenantPartName(i)
		changed := map[string]string{cells.TopName: `{"version":1234567,"epoch":0}`, name: strings.Replace(original[name], "11.5", "12.5", 1)}
		revisionParts := map[string]configstore.Part{}
		for name, text := range changed {
			revisionParts[name] = configstore.Part{Version: 2, Digest: configstore.PartDigest(text), Text: text}
		}
		next := *document
		next.Proposed, next.Stage = &configstore.Revision{ID: configstore.ID{Version: 2}, Format: 2, InParts: true, Parts: revisionParts}, configstore.StageProposed
		replyGrowth += replySize(&next) - replySize(document)
	}
	checkSize("a tenant's change", replyGrowth/cells.TenantParts, lineBytes("router", "bytes in, the map with each change", capacity.Burst)/fleet.Assumed.BurstChanges)
}
