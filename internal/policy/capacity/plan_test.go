package capacity

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"
)

// small is a target that can be worked by hand.
func smallTarget() Target {
	return Target{
		Servers: 100, Callers: 50, CallerServices: 5, Requests: 8000, Routes: 10, Tenants: 1000, Added: 2, Regions: 2, Zones: 5, Changes: 864, InForce: 8,
		Control: Control{Core: 0.01, Memory: 32, Bytes: 20, Machines: 6}, Day: Day{Fail: 4, Restart: 30, RackEvery: 7, ZoneEvery: 60, Apart: 3600},
		Assumed: Assumptions{Utilisation: 0.5, ServerRequests: 200, RouterRequest: 500, CallerConnections: 3, Sockets: 1024, Probe: 500, Lease: 3000,
			MapLease: 3000, MapSkew: 500, Tick: 50, BurstChanges: 1, Sheets: 0.5, Window: 10, RackServers: 5, RegionDelay: 30, MachineBytes: 125000},
	}
}

// line is a series of base + per × at, measured once at each size; the last one is what the slope is held against.
func linearSeries(name string, base, per float64, at ...float64) Series {
	s := Series{Name: name}
	for _, x := range at {
		s.Points = append(s.Points, Point{x, []float64{base + per*x}})
	}
	if f, err := Draw(s.Points, 1); err == nil {
		s.Fit = f
	}
	return s
}

func approxEqual(a Number, b float64) bool { return math.Abs(float64(a)-b) <= 1e-6*max(1, math.Abs(b)) }

func compute(t *testing.T, target Target, r Results) Plan {
	t.Helper()
	p, err := Compute(target, r, BeforeParts)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func (p Plan) findLine(role, figure string) Line {
	i := slices.IndexFunc(p.Lines, func(l Line) bool { return l.Role == role && l.Figure == figure })
	return p.Lines[i]
}

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
		{func(x *Target) { x.Control.Core = 1.5 }, "control.core: over 1: 1.5"},
		{func(x *Target) { x.Zones = 2.5 }, "zones: not a whole number: 2.5"},
		{func(x *Target) { x.Regions = 1.5 }, "regions: not a whole number: 1.5"},
		{func(x *Target) { x.Regions = 6 }, "regions: over the zones, of which there are 5: 6"},
		{func(x *Target) { x.Day.RackEvery = 0 }, "day.rack_every_days: not above 0: 0"},
		{func(x *Target) { x.Assumed.Sockets = 10 }, "assumed.sockets: under 64: 10"},
		{func(x *Target) { x.Assumed.MachineBytes = math.Inf(1) }, "assumed.machine_kb_per_s: not a number"},
	} {
		invalid := smallTarget()
		c.change(&invalid)
		if err := invalid.Check(); err == nil || err.Error() != c.want {
			t.Errorf("%v, want %s", err, c.want)
		}
		if _, err := Compute(invalid, Results{}, BeforeParts); err == nil {
			t.Errorf("computed: %s", c.want)
		}
	}
	zeros := smallTarget()
	zeros.Changes, zeros.Day.Fail, zeros.Routes = 0, 0, 0
	if err := zeros.Check(); err != nil {
		t.Error(err)
	}
}

func TestAt(t *testing.T) {
	poorFit := linearSeries("wrong", 0, 1, 1, 2, 4, 8)
	poorFit.Fit.Off = 0.5
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
		t.Errorf("%+v", sum)
	}
	if sum := r.At("a", 2).add(r.At("none", 1)); sum.Basis != NotMeasured {
		t.Errorf("%+v", sum)
	}
}

// What is foretold goes on from what was measured last, so a fit that misses there does not jump.
func TestForetoldGoesOn(t *testing.T) {
	s := linearSeries("a", 0, 1, 1, 2, 4, 8)
	s.Points[3].Values = []float64{10}
	e := Results{Series: []Series{s}}.At("a", 16)
	if !approxEqual(e.Value, 18) {
		t.Errorf("%v", e.Value)
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
		{0.5, 40, 0, "foretold ×0"},  // its base alone
		{1000, 40, math.Inf(1), ""},  // beyond 20 times
		{1.2, 200, 0.01, "foretold"}, // 1 + 0.1 × 2, below what was measured
	} {
		share, e := lowestShareOver(c.budget, at(c.x))
		if math.Abs(share-c.share) > 1e-6 && share != c.share || c.budget != 0.5 && !strings.HasPrefix(e.String(), c.basis) {
			t.Errorf("%v of %v: %v, %s", c.budget, c.x, share, e)
		}
	}
	if share, _ := lowestShareOver(1, func(float64) Estimate { return notMeasured() }); !math.IsNaN(share) {
		t.Errorf("nothing was measured: %v", share)
	}
	// Over the budget within what was measured, and nothing known beyond.
	withoutFit := Results{Series: []Series{{Name: "a", Points: []Point{{10, []float64{1}}, {20, []float64{3}}}}}}
	if share, e := lowestShareOver(2, func(s float64) Estimate { return withoutFit.At("a", 100*s) }); math.Abs(share-0.15) > 1e-6 || e.Basis != Measured {
		t.Errorf("%v, %v", share, e)
	}
}

// A case worked by hand. Routers: 8,000 requests a second at 0.5 of a core; a request takes 100 µs over a base of 0.1, and health checks of 100
// servers 0.2 of a core: 0.3 are left, (0.3 - 0.1) / 0.0001 = 2,000 a second; the time added is within 2 ms at 1,000, and not at 2,000. With a zone lost
// 8,000 / 1,000 = 8 routers in four zones, 2 in each: 10 in all.
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
		t.Fatalf("%v routers: %+v", p.Routers, p.Sizing)
	}
	want := map[string]float64{
		"requests a second of a server, all zones there": 80, "requests a second of a server, a zone lost": 100, "servers for the peak, a zone lost": 100,
		"share of the peak that the target's servers carry, a zone lost":       1,
		"requests a second of a router, by its core, were control free":        4000,
		"requests a second of a router, by its core, beside its health checks": 2000,
		"requests a second of a router, by the time that it adds":              1000,
		"routers for the peak, a zone lost":                                    10,
		"routers for the callers' connections, a zone lost":                    5, // 150 over 590
		"routers that are reckoned with":                                       10,
	}
	for _, s := range p.Sizing {
		if !approxEqual(s.Estimate.Value, want[s.Name]) {
			t.Errorf("%s: %v, want %v", s.Name, s.Estimate.Value, want[s.Name])
		}
		delete(want, s.Name)
	}
	if len(want) > 0 {
		t.Errorf("missing: %v", want)
	}
	// Ten callers, 0.005 + 0.001 × 10; the budget of 0.01 is passed at five of them.
	if e := p.findLine("server", "processor, health checks").Estimates[Rest]; !approxEqual(e.Value, 0.015) || e.Basis != Measured {
		t.Errorf("%+v", e)
	}
	if b, ok := p.findBreakingPoint("server: processor, health checks"); !ok || b.Stops || !approxEqual(b.Share, 0.5) || !approxEqual(b.NeededAtTarget.Value, 0.015) {
		t.Errorf("%+v", b)
	}
	// 110 followers, of which 80 were measured.
	if e := p.findLine("leader", "processor").Estimates[Rest]; !approxEqual(e.Value, 0.11) || e.String() != "foretold ×1.38" {
		t.Errorf("%+v, %s", e, e)
	}
	// Of a router's peak: 8,000 over eight that are left.
	if e := p.findLine("router", "processor, requests").Estimates[Peak]; !approxEqual(e.Value, 0.2) {
		t.Errorf("%+v", e)
	}
	// The map: 1,000 × 195 + 100 × 154 bytes of 262,144.
	if b, ok := p.findBreakingPoint("leader: the map as one document"); !ok || !b.Stops || !approxEqual(b.Share, 262144/210400.0) {
		t.Errorf("%+v", b)
	}
	// 17 of 1,000 × 222 + 100 × 177 bytes, and half a KB of each of 110 that are registered.
	if b, ok := p.findBreakingPoint("leader: bytes of a snapshot of the group"); !ok || !approxEqual(b.Share, (1048576-4096)/(17*239700.0+110*512)) {
		t.Errorf("%+v", b)
	}
	if e := p.findLine("leader", "connections made for words").Estimates[Rest]; !approxEqual(e.Value, 220) || e.Basis != Measured {
		t.Errorf("%+v", e)
	}
	// Of 110 followers and six more connections none gives way at 128 places.
	if e := p.findLine("leader", "connections made for words").Estimates[Burst]; !approxEqual(e.Value, 0) {
		t.Errorf("%+v", e)
	}
	// 10 × 239,700 bytes in ten seconds, by a tenth of what is asked each second: the share's square passes 20 KB/s.
	if b, ok := p.findBreakingPoint("router: bytes in, the map with each change"); !ok || !approxEqual(b.Share, math.Sqrt(20*1024/239700.0)) || !approxEqual(b.NeededAtTarget.Value, 239700.0/1024) {
		t.Errorf("%+v", b)
	}
	// A machine that fails with one server: 80 a second for half a second; half of them are sheets, for ten seconds.
	if c := p.DailyCosts[2]; !approxEqual(c.RetriedRequests, 40) || !approxEqual(c.FailedWithoutStore, 400) || !approxEqual(c.FailedWithStore, 400) || c.Connections != 10 || c.PerDay != 4 {
		t.Errorf("%+v", c)
	}
	if c := p.DailyCosts[1]; c.RetriedRequests != 0 || !approxEqual(c.FailedWithoutStore, 400) || c.FailedWithStore != 0 || c.Commits != 2 {
		t.Errorf("%+v", c)
	}
	// 100 servers, two of five zones on the smaller side; 36 changes in the hour, each 12 entries.
	if e := p.findLine("owner", "state: open items of the keeper").Estimates[Partitioned]; !approxEqual(e.Value, 40) {
		t.Errorf("%+v", e)
	}
	if e := p.findLine("leader", "entries of its log in the hour apart").Estimates[Partitioned]; !approxEqual(e.Value, 432) {
		t.Errorf("%+v", e)
	}
	if c := p.DailyCosts[0]; c.PerDay != 864 || c.Commits != 12 {
		t.Errorf("%+v", c)
	}
	// Five zones in two regions, three in the first; a member in each.
	var regions []int
	for _, m := range p.Machines {
		regions = append(regions, m.Region)
	}
	if !slices.Equal(regions, []int{1, 1, 1, 2, 2, 2}) {
		t.Errorf("regions %v", regions)
	}
}

// What stops comes first, each part by its share.
func TestOrderOfBreaks(t *testing.T) {
	p := compute(t, smallTarget(), Results{Series: []Series{linearSeries("leader.cpu.followers", 0, 1, 10, 20, 40, 80), linearSeries("router.cpu.servers", 0, 0.1, 10, 20, 40, 80)}})
	for i, b := range p.BreakingPoints[1:] {
		if previous := p.BreakingPoints[i]; !previous.Stops && b.Stops || previous.Stops == b.Stops && previous.Share > b.Share {
			t.Errorf("%s, %v, comes before %s, %v", previous.Name, previous.Share, b.Name, b.Share)
		}
	}
	if first := p.BreakingPoints[0]; first.Name != "router: processor, health checks, of a whole core" || !approxEqual(first.Share, 0.1) {
		t.Errorf("%+v", first)
	}
	if last := p.BreakingPoints[len(p.BreakingPoints)-1]; last.Stops {
		t.Errorf("%+v", last)
	}
	// Nothing else is left out where health checks take all: the routers are those of a control that were free.
	if p.Routers != 10 { // 8,000 over 0.5 / 500 µs = 1,000: eight, two in each of four zones, and in the fifth
		t.Errorf("%v routers", p.Routers)
	}
	withoutLimits := BeforeParts
	withoutLimits.MaxTextSize, withoutLimits.MaxHistory = 0, 0
	unbounded, err := Compute(smallTarget(), Results{}, withoutLimits)
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := unbounded.findBreakingPoint("leader: the map as one document"); ok {
		t.Error("a bound that there is not")
	}
}

// Nothing is made up for what was not measured: it is said by name, stands as null in JSON and as a dash for people.
func TestMissing(t *testing.T) {
	p := compute(t, smallTarget(), Results{})
	if e := p.findLine("server", "processor, health checks").Estimates[Rest]; e.Basis != NotMeasured || e.tableCell() != "–" {
		t.Errorf("%+v", e)
	}
	if !slices.Contains(p.UnknownBudgets, "server: processor, health checks") {
		t.Errorf("%v", p.UnknownBudgets)
	}
	if _, ok := p.findBreakingPoint("server: processor, health checks"); ok {
		t.Error("it breaks somewhere")
	}
	data, err := json.Marshal(p)
	if err != nil || !strings.Contains(string(data), `"value":null,"basis":"not measured"`) || strings.Contains(string(data), "NaN") {
		t.Errorf("%v, %.300s", err, data)
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
	other.Readings = Readings{CallersPick: true, RoutesBeside: true, ControlAdded: true}
	p := compute(t, other, r)
	if n := p.findLine("server", "state: callers it knows").Estimates[Rest].Value; float64(n) != float64(p.Routers)+50 {
		t.Errorf("%v callers", n)
	}
	if n := p.findLine("router", "state: entries of servers and tenants").Estimates[Rest].Value; n != 1110 {
		t.Errorf("%v entries", n)
	}
	baseCPU, otherCPU := base.findLine("server", "processor, health checks").Estimates[Rest].Value, p.findLine("server", "processor, health checks").Estimates[Rest].Value
	if !approxEqual(baseCPU, 0.005+0.001*float64(base.Routers)) || !approxEqual(otherCPU, 0.001*(float64(p.Routers)+50)) {
		t.Errorf("%v, %v", baseCPU, otherCPU)
	}
	rows := Compare("x", base, p).Rows
	if !slices.ContainsFunc(rows, func(r []string) bool { return r[0] == "leader: the map as one document" && r[1] != r[2] }) {
		t.Errorf("%v", rows)
	}
	if len(Compare("x", base, base).Rows) > 0 {
		t.Error("it differs from itself")
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
		"series[0].points[0].values: empty":                       {{Name: "a", Points: []Point{{At: 1}}}},
		"series[0].points[1].at: not above the previous point: 1": {{Name: "a", Points: []Point{{1, []float64{1}}, {1, []float64{1}}}}},
	} {
		if err := (Results{Series: bad}).Check(); err == nil || err.Error() != want {
			t.Errorf("%v, want %s", err, want)
		}
	}
}

// What was measured at another pace counts as many times: checks each second where the target has two, a lease of 6 s where it has 3.
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
		{"server", "processor, health checks", ZoneRecovering, 0.005 + 0.001*20 + 50.0/500, Measured}, // a round of 50 ms each 500
		{"router", "processor, the map from a file", Rest, 0.002, Extrapolated},                       // twice as often
		{"leader", "processor", Rest, 0.1 + 0.001*220, Measured},
		{"leader", "processor", Burst, 0.1 + 0.001*220 + 0.001*3600*2, Assumed}, // one a second, twice the followers
		{"leader", "processor", ZoneRecovering, 0.1 + 0.001*220 + 0.01*22, Assumed},
		{"leader", "processor", Partitioned, 0.1 + 0.001*220, Assumed},
	} {
		if e := p.findLine(c.role, c.figure).Estimates[c.k]; !approxEqual(e.Value, c.value) || e.Basis != c.basis {
			t.Errorf("%s: %s, %s: %+v, want %v", c.role, c.figure, c.k, e, c.value)
		}
	}
	// A rack of five: 80 a second each, for 1.5 s.
	if c := p.DailyCosts[3]; !approxEqual(c.RetriedRequests, 600) || !approxEqual(c.DetectionTime.Value, 1500) || c.DetectionTime.Basis != Measured {
		t.Errorf("%+v", c)
	}
}

// What a request's route takes among all tenants counts for the core and the time: 100 µs over a core's 0.5 of 100 µs a request, and 0.1 of 2 ms.
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
	// 8,000 over 1,000: eight, two in each zone; 1,000 a second each with a zone lost.
	if e := p.findLine("router", "processor, requests").Estimates[Peak]; p.Routers != 10 || !approxEqual(e.Value, 0.2) {
		t.Errorf("%v routers, %+v", p.Routers, e)
	}
	if e := p.findLine("router", "time added to a request, p99").Estimates[Peak]; !approxEqual(e.Value, 1.6) {
		t.Errorf("%+v", e)
	}
	// 200 ms each hundred seconds.
	if e := p.findLine("router", "processor, checking new maps").Estimates[Rest]; !approxEqual(e.Value, 0.002) {
		t.Errorf("%+v", e)
	}
	// 2 ms a tenant, of ten ticks of 50.
	if b, ok := p.findBreakingPoint("leader: time to share the cells out, in one go"); !ok || !b.Stops || !approxEqual(b.Share, 0.25) {
		t.Errorf("%+v", b)
	}
}

// The same of a map in parts: 100 bytes a tenant and 104 a server, as words 116 and 120, in 290 parts of 68 bytes.
func TestInPartsByHand(t *testing.T) {
	p, err := Compute(smallTarget(), Results{}, Current)
	if err != nil {
		t.Fatal(err)
	}
	if p.Routers != 10 { // 8,000 over 0.5 / 500 µs: eight, two in each of four zones, and in the fifth
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
		if b, _ := p.findBreakingPoint(what); float64(b.Bound) != bound || !math.IsInf(float64(b.Share), 1) { // over 20 times 132 and 116
			t.Errorf("%s: %+v", what, b)
		}
	}
	// An answer has no whole map.
	if b, ok := p.findBreakingPoint("follower: the map in force and the next one in one answer"); ok {
		t.Errorf("%+v", b)
	}
	// 1,000 in 256 parts: 3.9 and four times its root, 11.8 in all, of 100 bytes; after a year of 864 moves a day 1,231.9 and 140.4 of 54.
	mean, moves := 1000/256.0, 365*864/256.0
	fullest := (mean+4*math.Sqrt(mean))*100 + (moves+4*math.Sqrt(moves))*54
	if b, _ := p.findBreakingPoint("leader: the fullest part of the map after a year of moves"); !approxEqual(b.NeededAtTarget.Value, fullest/1024) || b.Share > 1 || !strings.Contains(b.Consequence, "after 315 days") {
		t.Errorf("%+v, want %v", b, fullest/1024)
	}
	if b, _ := p.findBreakingPoint("leader: the fullest part of the map"); !approxEqual(b.NeededAtTarget.Value, (mean+4*math.Sqrt(mean))*100/1024) || b.Share < 1 {
		t.Errorf("%+v", b)
	}
	if b, _ := p.findBreakingPoint("leader: a snapshot while a whole map is put on another and a third is drafted"); !approxEqual(b.NeededAtTarget.Value, (3*mapSize+110*134)/1024.0) {
		t.Errorf("%+v", b)
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
	// Where the leader's words were measured, a zone's two routers that start have the map within two seconds.
	p, err = Compute(smallTarget(), Results{Series: []Series{linearSeries("leader.bytes_out.followers", 0, 0.5, 50, 100, 200, 400)}}, Current)
	if err != nil {
		t.Fatal(err)
	}
	out := p.findLine("leader", "bytes out")
	if !approxEqual(out.Estimates[Rest].Value, 55) || !approxEqual(out.Estimates[ZoneRecovering].Value, 55+mapSize*2/2/1024.0) || !approxEqual(out.Estimates[Burst].Value, 55+changeSize*10/1024) {
		t.Errorf("%+v", out.Estimates)
	}
}

// What was measured before documents went in parts counts for the program as it was; of today's what it does otherwise since is left out.
func TestSince(t *testing.T) {
	r := Results{Program: commitsBeforeParts[0], Machine: "m", Series: []Series{
		linearSeries("server.cpu.callers", 0.005, 0.001, 2, 4, 8, 16), linearSeries("leader.cpu.followers", 0, 0.001, 10, 20, 40, 80), linearSeries("router.cpu.servers", 0, 0.001, 10, 20, 40, 80),
		linearSeries("router.cpu.requests", 0.1, 0.0001, 500, 1000, 2000, 4000), linearSeries("router.opened.servers", 0, 2, 30, 60, 120, 240, 930),
	}}
	last := &r.Series[4].Points[4]
	last.Values = []float64{696} // 930 servers were asked late
	largeTarget := smallTarget()
	largeTarget.Servers = 930
	for _, c := range []struct {
		program ProgramLimits
		commit  string
		known   bool // what the leader spends
	}{{BeforeParts, commitsBeforeParts[0], true}, {Current, commitsBeforeParts[0], false}, {Current, "later", true}} {
		r.Program = c.commit
		p, err := Compute(smallTarget(), r, c.program)
		if err != nil {
			t.Fatal(err)
		}
		if measured := p.findLine("leader", "processor").Estimates[Rest].Basis != NotMeasured; measured != c.known {
			t.Errorf("by %s: the leader's processor is known: %v", c.commit, measured)
		}
		if measured := p.findLine("router", "processor, health checks").Estimates[Rest].Basis != NotMeasured; measured != c.known {
			t.Errorf("by %s: a router's health checks are known: %v", c.commit, measured)
		}
		if p.findLine("server", "processor, health checks").Estimates[Rest].Basis == NotMeasured || p.findLine("router", "processor, requests").Estimates[Peak].Basis == NotMeasured {
			t.Errorf("by %s: what is as it was is not known", c.commit)
		}
		if p, err = Compute(largeTarget, r, c.program); err != nil {
			t.Fatal(err)
		}
		if e := p.findLine("router", "connections made for health checks").Estimates[Rest]; c.known && !approxEqual(e.Value, 696) || !c.known && (!approxEqual(e.Value, 1860) || e.Basis != Extrapolated || e.RelativeError != 0) {
			t.Errorf("by %s: %+v", c.commit, e)
		}
		if excluded := strings.Contains(p.Measured, "; 2 series left out"); excluded == c.known {
			t.Errorf("by %s: %s", c.commit, p.Measured)
		}
	}
	if len(r.Series) != 5 || len(r.Series[4].Points) != 5 {
		t.Error("the results were changed")
	}
	for _, x := range changedSeries {
		if x.prefix == "" || x.reason == "" {
			t.Errorf("%+v", x)
		}
	}
}

// What is of no real process says so; a process at rest that was measured by itself is what control is added to; a slope that is not
// believed does not say how many connections a leader is asked for.
func TestWhatWasMeasured(t *testing.T) {
	probed := linearSeries("server.cpu.callers", 0.02, 0.001, 5, 10, 20, 40)
	probed.Role, probed.Figure = "server", "cpu"
	simulated := linearSeries("router.parse.tenants", 0, 0.1, 250, 500, 1000, 2000)
	simulated.Of = "simulated"
	hollow := linearSeries("router.follows.tenants", 0, 0.1, 250, 500, 1000, 2000)
	hollow.Of = "hollow"
	opened := linearSeries("leader.opened.followers", 0, 1, 10, 20, 40, 80)
	opened.Fit.Off = 0.5
	r := Results{Series: []Series{probed, simulated, hollow, opened, {Name: "server.cpu.rest", Points: []Point{{0, []float64{0.004}}}}}}
	controlAdded := smallTarget()
	controlAdded.Readings.ControlAdded = true
	p := compute(t, controlAdded, r)
	if e := p.findLine("server", "processor, health checks").Estimates[Rest]; !approxEqual(e.Value, 0.02+0.01-0.004) {
		t.Errorf("%+v", e)
	}
	if e := p.findLine("router", "time to check a new map").Estimates[Rest]; e.tableCell() != "200 m(s)" || e.String() != "measured, simulated" {
		t.Errorf("%s, %s", e.tableCell(), e)
	}
	if e := r.At("router.follows.tenants", 500); e.tableCell() != "50 m(h)" {
		t.Errorf("%s", e.tableCell())
	}
	// Of 110 followers none needs a new connection; the slope has 110.
	if e := p.findLine("leader", "connections made for words").Estimates[Rest]; e.Value != 0 || e.Basis != Assumed {
		t.Errorf("%+v", e)
	}
	// Over its budget without any caller: what it needs at the target stands for it.
	withoutAdded := compute(t, smallTarget(), r)
	if b, ok := withoutAdded.findBreakingPoint("server: processor, health checks"); !ok || !b.AtAnySize || b.Share != 0 || !approxEqual(b.AtShare.Value, 0.03) {
		t.Errorf("%+v", b)
	}
}
