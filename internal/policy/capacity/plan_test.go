package capacity

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"
)

// smallTarget returns a target whose plan can be computed by hand.
func smallTarget() Target {
	return Target{
		Servers: 100, Callers: 50, CallerServices: 5, Requests: 8000, Routes: 10, Tenants: 1000, AddedLatency: 2, Regions: 2, Zones: 5, Changes: 864, InForceWithin: 8,
		Control: Control{Cores: 0.01, Memory: 32, Bandwidth: 20, Machines: 6}, Failures: FailureRates{MachineFailures: 4, Restarts: 30, RackFailureInterval: 7, ZoneFailureInterval: 60, PartitionDuration: 3600},
		Assumed: Assumptions{Utilisation: 0.5, ServerRequests: 200, RouterRequestTime: 500, CallerConnections: 3, Sockets: 1024, ProbeInterval: 500, GroupLease: 3000,
			MapLease: 3000, MapSkew: 500, HeartbeatInterval: 50, BurstChanges: 1, KeyedFraction: 0.5, KeyWindow: 10, RackServers: 5, RegionDelay: 30, MachineBandwidth: 125000},
	}
}

// linearSeries returns a series of base + per × size with one value per size. Its fit is checked against the last size.
func linearSeries(name string, base, per float64, at ...float64) Series {
	s := Series{Name: name}
	for _, x := range at {
		s.Points = append(s.Points, Point{x, []float64{base + per*x}})
	}
	if f, err := FitPoints(s.Points, 1); err == nil {
		s.Fit = f
	}
	return s
}

// approxEqual reports whether a differs from b by at most 1e-6, relative to b if b is above 1.
func approxEqual(a Number, b float64) bool { return math.Abs(float64(a)-b) <= 1e-6*max(1, math.Abs(b)) }

// compute returns the plan of a target for the program without parts.
func compute(t *testing.T, target Target, r Results) Plan {
	t.Helper()
	p, err := Compute(target, r, BeforeParts)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// findLine returns the line of a figure, which must exist.
func (p Plan) findLine(role, figure string) Line {
	i := slices.IndexFunc(p.Lines, func(l Line) bool { return l.Role == role && l.Figure == figure })
	return p.Lines[i]
}

// findBreakingPoint returns a breaking point by its name.
func (p Plan) findBreakingPoint(what string) (BreakingPoint, bool) {
	i := slices.IndexFunc(p.BreakingPoints, func(b BreakingPoint) bool { return b.Name == what })
	if i < 0 {
		return BreakingPoint{}, false
	}
	return p.BreakingPoints[i], true
}

func TestTargetNamesTheBadField(t *testing.T) {
	if err := smallTarget().Check(); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		change func(*Target)
		want   string
	}{
		{func(x *Target) { x.Servers = 0 }, "servers: under 1: 0"},
		{func(x *Target) { x.Requests = -1 }, "requests_per_s: not above 0: -1"},
		{func(x *Target) { x.Changes = -1 }, "changes_per_day: not above 0: -1"},
		{func(x *Target) { x.Tenants = math.NaN() }, "tenants: not a number"},
		{func(x *Target) { x.Control.Cores = 1.5 }, "control.core: over 1: 1.5"},
		{func(x *Target) { x.Zones = 2.5 }, "zones: not a whole number: 2.5"},
		{func(x *Target) { x.Regions = 1.5 }, "regions: not a whole number: 1.5"},
		{func(x *Target) { x.Regions = 6 }, "regions: more than the 5 zones: 6"},
		{func(x *Target) { x.Failures.RackFailureInterval = 0 }, "day.rack_every_days: not above 0: 0"},
		{func(x *Target) { x.Assumed.Sockets = 10 }, "assumed.sockets: under 64: 10"},
		{func(x *Target) { x.Assumed.MachineBandwidth = math.Inf(1) }, "assumed.machine_kb_per_s: not a number"},
	} {
		invalid := smallTarget()
		c.change(&invalid)
		if err := invalid.Check(); err == nil || err.Error() != c.want {
			t.Errorf("Check: %v, want %s", err, c.want)
		}
		if _, err := Compute(invalid, Results{}, BeforeParts); err == nil {
			t.Errorf("Compute accepted a target with the error %q", c.want)
		}
	}
	zeros := smallTarget()
	zeros.Changes, zeros.Failures.MachineFailures, zeros.Routes = 0, 0, 0
	if err := zeros.Check(); err != nil {
		t.Error(err)
	}
}

func TestAt(t *testing.T) {
	poorFit := linearSeries("wrong", 0, 1, 1, 2, 4, 8)
	poorFit.Fit.RelativeError = 0.5
	r := Results{Series: []Series{linearSeries("a", 3, 2, 1, 2, 4, 8, 16), poorFit, {Name: "bare", Points: []Point{{1, []float64{5}}, {3, []float64{9, 7, 8}}}}}}
	for _, c := range []struct {
		name  string
		at    float64
		value float64
		basis string
	}{
		{"a", 2, 7, "measured"}, {"a", 3, 9, "measured"}, {"a", 16, 35, "measured"}, {"a", 64, 131, "foretold ×4"}, {"a", 0.5, 4, "foretold ×0.031"},
		{"wrong", 16, 16, "foretold ×2, not believed (off by 50%)"}, {"bare", 2, 6.5, "measured"}, {"bare", 3, 8, "measured"},
		{"bare", 4, math.NaN(), "not measured"}, {"none", 1, math.NaN(), "not measured"}, {"a", math.Inf(1), math.NaN(), "not measured"},
	} {
		e := r.At(c.name, c.at)
		if e.String() != c.basis || !approxEqual(e.Value, c.value) && !(math.IsNaN(c.value) && math.IsNaN(float64(e.Value))) {
			t.Errorf("%s at %v: %v, %s; want %v, %s", c.name, c.at, e.Value, e, c.value, c.basis)
		}
	}
	sum := r.At("a", 64).add(assumed(9))
	if sum.Basis != Assumed || !approxEqual(sum.Value, 140) || sum.Factor != 4 {
		t.Errorf("Assumed sum beyond the measured sizes: %+v", sum)
	}
	if sum := r.At("a", 2).add(r.At("none", 1)); sum.Basis != NotMeasured {
		t.Errorf("sum with a series that was not measured: %+v", sum)
	}
}

// Extrapolation continues from the last measured value: the fit's error there does not cause a jump.
func TestForetoldGoesOn(t *testing.T) {
	s := linearSeries("a", 0, 1, 1, 2, 4, 8)
	s.Points[3].Values = []float64{10}
	e := Results{Series: []Series{s}}.At("a", 16)
	if !approxEqual(e.Value, 18) {
		t.Errorf("extrapolated value %v, want 18", e.Value)
	}
}

func TestPasses(t *testing.T) {
	r := Results{Series: []Series{linearSeries("a", 1, 0.1, 10, 20, 40, 80)}}
	at := func(x float64) func(float64) Estimate { return func(s float64) Estimate { return r.At("a", x*s) } }
	for _, c := range []struct {
		budget, x, share float64
		basis            string
	}{
		{5, 40, 1, "measured"},       // 1 + 0.1 × 40
		{3, 40, 0.5, "measured"},     // 1 + 0.1 × 20
		{17, 40, 4, "foretold ×2"},   // 1 + 0.1 × 160
		{0.5, 40, 0, "foretold ×0"},  // the base alone exceeds the budget
		{1000, 40, math.Inf(1), ""},  // not exceeded at 20 times the target
		{1.2, 200, 0.01, "foretold"}, // 1 + 0.1 × 2, below the measured sizes
	} {
		share, e := lowestShareOver(c.budget, at(c.x))
		if math.Abs(share-c.share) > 1e-6 && share != c.share || c.budget != 0.5 && !strings.HasPrefix(e.String(), c.basis) {
			t.Errorf("budget %v, size %v: share %v, %s", c.budget, c.x, share, e)
		}
	}
	if share, _ := lowestShareOver(1, func(float64) Estimate { return notMeasured() }); !math.IsNaN(share) {
		t.Errorf("figure without measurements: share %v, want NaN", share)
	}
	// The budget is exceeded within the measured sizes of a series without a fit, which has no estimate beyond them.
	withoutFit := Results{Series: []Series{{Name: "a", Points: []Point{{10, []float64{1}}, {20, []float64{3}}}}}}
	if share, e := lowestShareOver(2, func(s float64) Estimate { return withoutFit.At("a", 100*s) }); math.Abs(share-0.15) > 1e-6 || e.Basis != Measured {
		t.Errorf("series without a fit: share %v, estimate %v, want 0.15 and a measured one", share, e)
	}
}

// A plan computed by hand. The peak is 8,000 requests a second. A router may use 0.5 of a core: health checks of 100 servers take 0.2, the base
// 0.1 and a request 100 µs, which leaves (0.3 - 0.1) / 0.0001 = 2,000 requests a second. The added latency is within 2 ms at 1,000 a second but
// not at 2,000. With a zone lost, 8,000 / 1,000 = 8 routers are needed in four zones: 2 in each zone, 10 in all.
func TestByHand(t *testing.T) {
	r := Results{Program: "p", Machine: "m", Series: []Series{
		linearSeries("router.cpu.requests", 0.1, 0.0001, 500, 1000, 2000, 4000),
		linearSeries("router.cpu.servers", 0.1, 0.001, 25, 50, 100, 200),
		linearSeries("router.added_p99.requests", 0.5, 0.001, 500, 1000, 2000, 4000),
		linearSeries("server.cpu.callers", 0.005, 0.001, 2, 4, 8, 16),
		linearSeries("leader.cpu.followers", 0, 0.001, 10, 20, 40, 80),
		linearSeries("member.snapshot_size.followers", 0, 0.5, 50, 100, 200, 400),
		linearSeries("leader.opened.followers", 0, 2, 50, 100, 200, 400),
	}}
	p := compute(t, smallTarget(), r)
	if p.Routers != 10 {
		t.Fatalf("%v routers, want 10: %+v", p.Routers, p.Sizing)
	}
	want := map[string]float64{
		"requests a second of a server, all zones there": 80, "requests a second of a server, a zone lost": 100, "servers for the peak, a zone lost": 100,
		"share of the peak that the target's servers carry, a zone lost":       1,
		"requests a second of a router, by its core, were control free":        4000,
		"requests a second of a router, by its core, beside its health checks": 2000,
		"requests a second of a router, by the time that it adds":              1000,
		"routers for the peak, a zone lost":                                    10,
		"routers for the callers' connections, a zone lost":                    5, // 150 connections, 590 descriptors a router
		"routers that are reckoned with":                                       10,
	}
	for _, s := range p.Sizing {
		if !approxEqual(s.Estimate.Value, want[s.Name]) {
			t.Errorf("%s: %v, want %v", s.Name, s.Estimate.Value, want[s.Name])
		}
		delete(want, s.Name)
	}
	if len(want) > 0 {
		t.Errorf("missing from the sizing: %v", want)
	}
	// Ten routers probe each server: 0.005 + 0.001 × 10. Five reach the budget of 0.01.
	if e := p.findLine("server", "processor, health checks").Estimates[Rest]; !approxEqual(e.Value, 0.015) || e.Basis != Measured {
		t.Errorf("server health checks: %+v", e)
	}
	if b, ok := p.findBreakingPoint("server: processor, health checks"); !ok || b.Stops || !approxEqual(b.Share, 0.5) || !approxEqual(b.NeededAtTarget.Value, 0.015) {
		t.Errorf("breaking point of server health checks: %+v", b)
	}
	// 110 followers; up to 80 were measured.
	if e := p.findLine("leader", "processor").Estimates[Rest]; !approxEqual(e.Value, 0.11) || e.String() != "foretold ×1.38" {
		t.Errorf("leader processor: %+v, %s", e, e)
	}
	// A router at the peak: 8,000 requests over the eight routers left.
	if e := p.findLine("router", "processor, requests").Estimates[Peak]; !approxEqual(e.Value, 0.2) {
		t.Errorf("router processor for requests: %+v", e)
	}
	// The map: 1,000 × 195 + 100 × 154 bytes; the limit is 262,144.
	if b, ok := p.findBreakingPoint("leader: the map as one document"); !ok || !b.Stops || !approxEqual(b.Share, 262144/210400.0) {
		t.Errorf("breaking point of the map: %+v", b)
	}
	// 17 versions of 1,000 × 222 + 100 × 177 bytes, and half a KB for each of 110 registered processes.
	if b, ok := p.findBreakingPoint("leader: bytes of a snapshot of the group"); !ok || !approxEqual(b.Share, (1048576-4096)/(17*239700.0+110*512)) {
		t.Errorf("breaking point of the snapshot: %+v", b)
	}
	if e := p.findLine("leader", "connections made for words").Estimates[Rest]; !approxEqual(e.Value, 220) || e.Basis != Measured {
		t.Errorf("leader connections made at rest: %+v", e)
	}
	// The limit of 128 connections exceeds those of 110 followers, five members and an owner: none is replaced.
	if e := p.findLine("leader", "connections made for words").Estimates[Burst]; !approxEqual(e.Value, 0) {
		t.Errorf("leader connections made in a burst: %+v", e)
	}
	// One change a second of a map of 239,700 bytes. The rate and the size both grow with the share, so the load grows with its square; the
	// budget is 20 KB/s.
	if b, ok := p.findBreakingPoint("router: bytes in, the map with each change"); !ok || !approxEqual(b.Share, math.Sqrt(20*1024/239700.0)) || !approxEqual(b.NeededAtTarget.Value, 239700.0/1024) {
		t.Errorf("breaking point of the bytes of map changes: %+v", b)
	}
	// A machine with one server fails: 80 requests a second are retried for half a second; half of 80 a second have a key, for ten seconds.
	if c := p.DailyCosts[2]; !approxEqual(c.RetriedRequests, 40) || !approxEqual(c.FailedWithoutStore, 400) || !approxEqual(c.FailedWithStore, 400) || c.Connections != 10 || c.PerDay != 4 {
		t.Errorf("machine failure: %+v", c)
	}
	if c := p.DailyCosts[1]; c.RetriedRequests != 0 || !approxEqual(c.FailedWithoutStore, 400) || c.FailedWithStore != 0 || c.Commits != 2 {
		t.Errorf("orderly restart: %+v", c)
	}
	// 100 servers, with two of five zones on the minority side; 36 changes in the hour, 12 log entries each.
	if e := p.findLine("owner", "state: open items of the keeper").Estimates[Partitioned]; !approxEqual(e.Value, 40) {
		t.Errorf("open items in a partition: %+v", e)
	}
	if e := p.findLine("leader", "entries of its log in the hour apart").Estimates[Partitioned]; !approxEqual(e.Value, 432) {
		t.Errorf("log entries in a partition: %+v", e)
	}
	if c := p.DailyCosts[0]; c.PerDay != 864 || c.Commits != 12 {
		t.Errorf("change of the map: %+v", c)
	}
	// Five zones with a member each, three of them in the first of two regions; the sixth machine is in the last zone.
	var regions []int
	for _, m := range p.Machines {
		regions = append(regions, m.Region)
	}
	if !slices.Equal(regions, []int{1, 1, 1, 2, 2, 2}) {
		t.Errorf("regions of the machines: %v", regions)
	}
}

// Breaking points that stop something come first; each group is in ascending order of share.
func TestOrderOfBreaks(t *testing.T) {
	p := compute(t, smallTarget(), Results{Series: []Series{linearSeries("leader.cpu.followers", 0, 1, 10, 20, 40, 80), linearSeries("router.cpu.servers", 0, 0.1, 10, 20, 40, 80)}})
	for i, b := range p.BreakingPoints[1:] {
		if previous := p.BreakingPoints[i]; !previous.Stops && b.Stops || previous.Stops == b.Stops && previous.Share > b.Share {
			t.Errorf("%s (share %v) is listed before %s (share %v)", previous.Name, previous.Share, b.Name, b.Share)
		}
	}
	if first := p.BreakingPoints[0]; first.Name != "router: processor, health checks, of a whole core" || !approxEqual(first.Share, 0.1) {
		t.Errorf("first breaking point: %+v, want the router's processor for health checks at a share of 0.1", first)
	}
	if last := p.BreakingPoints[len(p.BreakingPoints)-1]; last.Stops {
		t.Errorf("last breaking point stops something: %+v", last)
	}
	// If health checks use a whole core, the number of routers is that for control without cost.
	if p.Routers != 10 { // 8,000 over 0.5 / 500 µs = 1,000: eight routers with a zone lost, two in each of five zones
		t.Errorf("%v routers, want 10", p.Routers)
	}
	withoutLimits := BeforeParts
	withoutLimits.MaxTextSize, withoutLimits.MaxHistory = 0, 0
	unbounded, err := Compute(smallTarget(), Results{}, withoutLimits)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := unbounded.findBreakingPoint("leader: the map as one document"); ok {
		t.Error("a limit of 0 has a breaking point")
	}
}

// A figure that was not measured gets no value: it is listed as unknown, null in JSON and a dash in tables.
func TestMissing(t *testing.T) {
	p := compute(t, smallTarget(), Results{})
	if e := p.findLine("server", "processor, health checks").Estimates[Rest]; e.Basis != NotMeasured || e.tableCell() != "–" {
		t.Errorf("figure without measurements: %+v", e)
	}
	if !slices.Contains(p.UnknownBudgets, "server: processor, health checks") {
		t.Errorf("unknown budgets: %v", p.UnknownBudgets)
	}
	if _, ok := p.findBreakingPoint("server: processor, health checks"); ok {
		t.Error("a figure without measurements has a breaking point")
	}
	data, err := json.Marshal(p)
	if err != nil || !strings.Contains(string(data), `"value":null,"basis":"not measured"`) || strings.Contains(string(data), "NaN") {
		t.Errorf("JSON of the plan: error %v, %.300s", err, data)
	}
	for _, l := range p.Lines {
		for condition, e := range l.Estimates {
			if e.Basis == Measured || e.Basis == Extrapolated || e.Basis == NotMeasured != math.IsNaN(float64(e.Value)) {
				t.Errorf("%s: %s, %s: %+v", l.Role, l.Figure, condition, e)
			}
		}
	}
}

func TestReadings(t *testing.T) {
	r := Results{Series: []Series{linearSeries("server.cpu.callers", 0.005, 0.001, 2, 4, 8, 16)}}
	base := compute(t, smallTarget(), r)
	other := smallTarget()
	other.Readings = Readings{CallersPickServers: true, RoutesBesideTenants: true, ControlAdded: true}
	p := compute(t, other, r)
	if n := p.findLine("server", "state: callers it knows").Estimates[Rest].Value; float64(n) != float64(p.Routers)+50 {
		t.Errorf("callers that a server knows: %v", n)
	}
	if n := p.findLine("router", "state: entries of servers and tenants").Estimates[Rest].Value; n != 1110 {
		t.Errorf("entries of the map: %v, want 1110", n)
	}
	baseCPU, otherCPU := base.findLine("server", "processor, health checks").Estimates[Rest].Value, p.findLine("server", "processor, health checks").Estimates[Rest].Value
	if !approxEqual(baseCPU, 0.005+0.001*float64(base.Routers)) || !approxEqual(otherCPU, 0.001*(float64(p.Routers)+50)) {
		t.Errorf("server health checks: %v, with the other readings %v", baseCPU, otherCPU)
	}
	rows := Compare("x", base, p).Rows
	if !slices.ContainsFunc(rows, func(r []string) bool { return r[0] == "leader: the map as one document" && r[1] != r[2] }) {
		t.Errorf("rows of Compare: %v", rows)
	}
	if len(Compare("x", base, base).Rows) > 0 {
		t.Error("Compare finds differences between equal plans")
	}
}

func TestShort(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 12: "12", 1234567: "1,234,567", 999.4: "999", 12.34: "12.3", 1.5: "1.50", 0.01234: "0.012", -1234: "-1,234", 1000: "1,000"} {
		if got := short(v); got != want {
			t.Errorf("%v: %s, want %s", v, got, want)
		}
	}
}

func TestResultsCheck(t *testing.T) {
	good := Series{Name: "a", Points: []Point{{1, []float64{1}}, {2, []float64{1}}}}
	for want, bad := range map[string][]Series{
		"series[0].name: missing":                                 {{}},
		`series[1].name: "a" given twice`:                         {good, good},
		"series[0].points[0].values: empty":                       {{Name: "a", Points: []Point{{Size: 1}}}},
		"series[0].points[1].at: not above the previous point: 1": {{Name: "a", Points: []Point{{1, []float64{1}}, {1, []float64{1}}}}},
	} {
		if err := (Results{Series: bad}).Check(); err == nil || err.Error() != want {
			t.Errorf("Check: %v, want %s", err, want)
		}
	}
}

// Results measured at another rate are scaled: health checks every second where the target has two a second, a lease of 6 s where it has 3 s.
func TestPace(t *testing.T) {
	withConditions := func(s Series, varies string, fixed map[string]float64) Series {
		s.Varies, s.Fixed = varies, fixed
		return s
	}
	r := Results{Series: []Series{
		withConditions(linearSeries("server.cpu.callers", 0.005, 0.001, 5, 10, 20, 40), "callers", map[string]float64{"check_ms": 1000}),
		linearSeries("server.round.callers", 0, 5, 5, 10, 20, 40),
		withConditions(linearSeries("router.cpu.tenants.file", 0, 1e-6, 500, 1000, 2000, 4000), "tenants", map[string]float64{"lease_ms": 6000}),
		withConditions(linearSeries("leader.cpu.followers", 0.1, 0.001, 40, 80, 160, 320), "followers", map[string]float64{"lease_ms": 6000}),
		withConditions(linearSeries("leader.cpu.changes", 0.2, 0.001, 0, 900, 1800, 3600), "changes", map[string]float64{"followers": 55}),
		withConditions(linearSeries("leader.cpu.restarts", 0.3, 0.01, 5, 20, 40, 80), "restarts", map[string]float64{"followers": 40}),
		linearSeries("router.dead_after.servers_lost.silent", 1000, 100, 1, 5, 20, 40),
	}}
	p := compute(t, smallTarget(), r)
	if p.Routers != 10 {
		t.Fatal(p.Routers)
	}
	for _, c := range []struct {
		role, figure string
		k            Condition
		value        float64
		basis        Basis
	}{
		{"server", "processor, health checks", Rest, 0.005 + 0.001*20, Measured},
		{"server", "processor, health checks", ZoneRecovering, 0.005 + 0.001*20 + 50.0/500, Measured}, // a round of 50 ms every 500 ms
		{"router", "processor, the map from a file", Rest, 0.002, Extrapolated},                       // twice as often
		{"leader", "processor", Rest, 0.1 + 0.001*220, Measured},
		{"leader", "processor", Burst, 0.1 + 0.001*220 + 0.001*3600*2, Assumed}, // one change a second, twice the followers
		{"leader", "processor", ZoneRecovering, 0.1 + 0.001*220 + 0.01*22, Assumed},
		{"leader", "processor", Partitioned, 0.1 + 0.001*220, Assumed},
	} {
		if e := p.findLine(c.role, c.figure).Estimates[c.k]; !approxEqual(e.Value, c.value) || e.Basis != c.basis {
			t.Errorf("%s: %s, %s: %+v, want %v", c.role, c.figure, c.k, e, c.value)
		}
	}
	// A rack of five servers: 80 requests a second each, for 1.5 s.
	if c := p.DailyCosts[3]; !approxEqual(c.RetriedRequests, 600) || !approxEqual(c.DetectionTime.Value, 1500) || c.DetectionTime.Basis != Measured {
		t.Errorf("rack failure: %+v", c)
	}
}

// The time to find a route among all tenants is part of both the processor time and the latency of a request: 100 µs in addition to 100 µs
// of processor time, of 0.5 core, and 0.1 ms of the 2 ms that may be added.
func TestRouteAmongAllTenants(t *testing.T) {
	r := Results{Series: []Series{
		linearSeries("router.cpu.requests", 0, 0.0001, 500, 1000, 2000, 4000),
		linearSeries("router.added_p99.requests", 0.5, 0.001, 500, 1000, 2000, 4000),
		linearSeries("router.route.tenants", 0, 0.1, 250, 500, 1000, 2000),
		linearSeries("router.parse.tenants", 0, 0.05, 250, 500, 1000, 2000),
		linearSeries("router.follows.tenants", 0, 0.15, 250, 500, 1000, 2000),
		linearSeries("leader.wholes.tenants", 0, 1.5, 250, 500, 1000, 2000),
		linearSeries("leader.targets.tenants", 0, 0.5, 250, 500, 1000, 2000),
	}}
	p := compute(t, smallTarget(), r)
	for _, s := range p.Sizing {
		if want, ok := map[string]float64{
			"requests a second of a router, by its core, were control free": 2500, "requests a second of a router, by the time that it adds": 1000,
		}[s.Name]; ok && !approxEqual(s.Estimate.Value, want) {
			t.Errorf("%s: %v, want %v", s.Name, s.Estimate.Value, want)
		}
	}
	// 8,000 over 1,000: eight routers with a zone lost, two in each zone; each then has 1,000 requests a second.
	if e := p.findLine("router", "processor, requests").Estimates[Peak]; p.Routers != 10 || !approxEqual(e.Value, 0.2) {
		t.Errorf("%v routers, processor for requests %+v", p.Routers, e)
	}
	if e := p.findLine("router", "time added to a request, p99").Estimates[Peak]; !approxEqual(e.Value, 1.6) {
		t.Errorf("added latency p99: %+v", e)
	}
	// 200 ms per change, one change every 100 s.
	if e := p.findLine("router", "processor, checking new maps").Estimates[Rest]; !approxEqual(e.Value, 0.002) {
		t.Errorf("processor for checking new maps: %+v", e)
	}
	// 2 ms per tenant; the budget is ten ticks of 50 ms.
	if b, ok := p.findBreakingPoint("leader: time to share the cells out, in one go"); !ok || !b.Stops || !approxEqual(b.Share, 0.25) {
		t.Errorf("breaking point of the time to share out cells: %+v", b)
	}
}

// A plan for a map in parts, computed by hand: 100 bytes per tenant and 104 per server, 116 and 120 within a message, in 290 parts of 68 bytes.
func TestInPartsByHand(t *testing.T) {
	p, err := Compute(smallTarget(), Results{}, Current)
	if err != nil {
		t.Fatal(err)
	}
	if p.Routers != 10 { // 8,000 over 0.5 / 500 µs: eight routers with a zone lost, two in each of five zones
		t.Fatal(p.Routers)
	}
	const mapSize = 1000*116 + 100*120 + 290*68 // 147,720
	checkShare := func(name string, want float64) {
		t.Helper()
		if b, ok := p.findBreakingPoint(name); !ok || math.Abs(float64(b.Share)-want) > 1e-6*want {
			t.Errorf("%s: %+v, want %v", name, b, want)
		}
	}
	checkShare("leader: the map as one document", 16777216/(1000*100+100*104.0))
	checkShare("owner: the keeper's journal in one answer", 1048576/(3*(1000*222+100*177.0)))
	checkShare("owner: the keeper's next map in one entry of the log", 458752/(1000*222+100*177.0))
	checkShare("leader: askings that wait at one time", 8192/(110*1.2))
	for what, bound := range map[string]float64{"leader: state: processes that are registered": 4096, "leader: descriptors: connections": 4608} {
		if b, _ := p.findBreakingPoint(what); float64(b.Bound) != bound || !math.IsInf(float64(b.Share), 1) { // above 20 times 132 and 116
			t.Errorf("%s: %+v", what, b)
		}
	}
	// No reply has the whole map.
	if b, ok := p.findBreakingPoint("follower: the map in force and the next one in one answer"); ok {
		t.Errorf("whole map in one answer in spite of parts: %+v", b)
	}
	// 1,000 tenants in 256 parts are 3.9 tenants a part on average. The fullest part is assumed to have the mean plus four times its square
	// root, 11.8 tenants of 100 bytes each. After a year with 864 moves a day it also has 1,231.9 + 140.4 former homes of 54 bytes each.
	mean, moves := 1000/256.0, 365*864/256.0
	fullest := (mean+4*math.Sqrt(mean))*100 + (moves+4*math.Sqrt(moves))*54
	if b, _ := p.findBreakingPoint("leader: the fullest part of the map after a year of moves"); !approxEqual(b.NeededAtTarget.Value, fullest/1024) || b.Share > 1 || !strings.Contains(b.Consequence, "after 315 days") {
		t.Errorf("fullest part after a year: %+v, want %v KB", b, fullest/1024)
	}
	if b, _ := p.findBreakingPoint("leader: the fullest part of the map"); !approxEqual(b.NeededAtTarget.Value, (mean+4*math.Sqrt(mean))*100/1024) || b.Share < 1 {
		t.Errorf("fullest part: %+v", b)
	}
	if b, _ := p.findBreakingPoint("leader: a snapshot while a whole map is put on another and a third is drafted"); !approxEqual(b.NeededAtTarget.Value, (3*mapSize+110*134)/1024.0) {
		t.Errorf("snapshot during a change of the whole map: %+v", b)
	}
	changeSize := 2*68 + 1000*116/256.0
	for _, c := range []struct {
		role, figure string
		k            Condition
		want         float64
	}{
		{"router", "bytes in, the map with each change", Rest, changeSize * 0.01 / 1024},
		{"router", "bytes in, the map with each change", Burst, changeSize / 1024},
		{"router", "bytes in, the map as it starts", Rest, mapSize / 1024.0},
		{"router", "askings for the map as it starts", Rest, 2},
		{"leader", "bytes of a snapshot of the group", Rest, (mapSize + 110*134) / 1024.0},
		{"leader", "bytes of a snapshot of the group", Burst, (mapSize + changeSize + 110*134) / 1024.0},
		{"tool", "bytes of one reading of the rules", Rest, (290*68 + 110*268) / 1024.0},
		{"tool", "bytes of one reading of the rules", ZoneRecovering, (290*68 + 132*268) / 1024.0},
		{"tool", "words of a first import", Rest, 1},
		{"leader", "connections made for words", Burst, 0},
	} {
		if e := p.findLine(c.role, c.figure).Estimates[c.k]; !approxEqual(e.Value, c.want) || e.Basis != Assumed {
			t.Errorf("%s: %s, %s: %+v, want %v", c.role, c.figure, c.k, e, c.want)
		}
	}
	// If the bytes sent by the leader were measured, the two routers of a returning zone add the whole map each within two seconds.
	p, err = Compute(smallTarget(), Results{Series: []Series{linearSeries("leader.bytes_out.followers", 0, 0.5, 50, 100, 200, 400)}}, Current)
	if err != nil {
		t.Fatal(err)
	}
	out := p.findLine("leader", "bytes out")
	if !approxEqual(out.Estimates[Rest].Value, 55) || !approxEqual(out.Estimates[ZoneRecovering].Value, 55+mapSize*2/2/1024.0) || !approxEqual(out.Estimates[Burst].Value, 55+changeSize*10/1024) {
		t.Errorf("bytes sent by the leader: %+v", out.Estimates)
	}
}

// Results of a commit without document parts apply to the limits of that program. For the current limits, series that changed since are left
// out and truncated series are cut.
func TestSince(t *testing.T) {
	r := Results{Program: commitsBeforeParts[0], Machine: "m", Series: []Series{
		linearSeries("server.cpu.callers", 0.005, 0.001, 2, 4, 8, 16), linearSeries("leader.cpu.followers", 0, 0.001, 10, 20, 40, 80), linearSeries("router.cpu.servers", 0, 0.001, 10, 20, 40, 80),
		linearSeries("router.cpu.requests", 0.1, 0.0001, 500, 1000, 2000, 4000), linearSeries("router.opened.servers", 0, 2, 30, 60, 120, 240, 930),
	}}
	last := &r.Series[4].Points[4]
	last.Values = []float64{696} // below 2 × 930: health checks of 930 servers fell behind
	largeTarget := smallTarget()
	largeTarget.Servers = 930
	for _, c := range []struct {
		program ProgramLimits
		commit  string
		known   bool // whether changed series are measured
	}{{BeforeParts, commitsBeforeParts[0], true}, {Current, commitsBeforeParts[0], false}, {Current, "later", true}} {
		r.Program = c.commit
		p, err := Compute(smallTarget(), r, c.program)
		if err != nil {
			t.Fatal(err)
		}
		if measured := p.findLine("leader", "processor").Estimates[Rest].Basis != NotMeasured; measured != c.known {
			t.Errorf("results of %s: leader processor measured: %v", c.commit, measured)
		}
		if measured := p.findLine("router", "processor, health checks").Estimates[Rest].Basis != NotMeasured; measured != c.known {
			t.Errorf("results of %s: router health checks measured: %v", c.commit, measured)
		}
		if p.findLine("server", "processor, health checks").Estimates[Rest].Basis == NotMeasured || p.findLine("router", "processor, requests").Estimates[Peak].Basis == NotMeasured {
			t.Errorf("results of %s: an unchanged series is left out", c.commit)
		}
		if p, err = Compute(largeTarget, r, c.program); err != nil {
			t.Fatal(err)
		}
		if e := p.findLine("router", "connections made for health checks").Estimates[Rest]; c.known && !approxEqual(e.Value, 696) || !c.known && (!approxEqual(e.Value, 1860) || e.Basis != Extrapolated || e.RelativeError != 0) {
			t.Errorf("results of %s: connections for health checks: %+v", c.commit, e)
		}
		if excluded := strings.Contains(p.Measured, "; 2 series left out"); excluded == c.known {
			t.Errorf("results of %s: %s", c.commit, p.Measured)
		}
	}
	if len(r.Series) != 5 || len(r.Series[4].Points) != 5 {
		t.Error("Compute modified the results")
	}
	for _, x := range changedSeries {
		if x.prefix == "" || x.reason == "" {
			t.Errorf("incomplete entry of changedSeries: %+v", x)
		}
	}
}

// Estimates from hollow processes and simulations are marked; the cost of control is what exceeds a process measured at rest; an unreliable
// fit is not used for the connections that a leader accepts.
func TestWhatWasMeasured(t *testing.T) {
	probed := linearSeries("server.cpu.callers", 0.02, 0.001, 5, 10, 20, 40)
	probed.Role, probed.Figure = "server", "cpu"
	simulated := linearSeries("router.parse.tenants", 0, 0.1, 250, 500, 1000, 2000)
	simulated.MeasuredOn = "simulated"
	hollow := linearSeries("router.follows.tenants", 0, 0.1, 250, 500, 1000, 2000)
	hollow.MeasuredOn = "hollow"
	opened := linearSeries("leader.opened.followers", 0, 1, 10, 20, 40, 80)
	opened.Fit.RelativeError = 0.5
	r := Results{Series: []Series{probed, simulated, hollow, opened, {Name: "server.cpu.rest", Points: []Point{{0, []float64{0.004}}}}}}
	controlAdded := smallTarget()
	controlAdded.Readings.ControlAdded = true
	p := compute(t, controlAdded, r)
	if e := p.findLine("server", "processor, health checks").Estimates[Rest]; !approxEqual(e.Value, 0.02+0.01-0.004) {
		t.Errorf("health checks above the process at rest: %+v", e)
	}
	if e := p.findLine("router", "time to check a new map").Estimates[Rest]; e.tableCell() != "200 m(s)" || e.String() != "measured, simulated" {
		t.Errorf("time to check a new map: %s, %s", e.tableCell(), e)
	}
	if e := r.At("router.follows.tenants", 500); e.tableCell() != "50 m(h)" {
		t.Errorf("hollow series: %s", e.tableCell())
	}
	// 110 followers fit in the connection limit, so none reconnects; the unreliable fit would give 110.
	if e := p.findLine("leader", "connections made for words").Estimates[Rest]; e.Value != 0 || e.Basis != Assumed {
		t.Errorf("leader connections with an unreliable fit: %+v", e)
	}
	// The budget is exceeded without any caller: the breaking point has the estimate at the target.
	withoutAdded := compute(t, smallTarget(), r)
	if b, ok := withoutAdded.findBreakingPoint("server: processor, health checks"); !ok || !b.AtAnySize || b.Share != 0 || !approxEqual(b.AtShare.Value, 0.03) {
		t.Errorf("breaking point below the smallest share: %+v", b)
	}
}
