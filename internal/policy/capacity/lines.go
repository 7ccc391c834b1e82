package capacity

// estimateFunc estimates a figure at a share of the target.
type estimateFunc = func(share float64) Estimate

// conditionFuncs has the estimate of a figure in each condition. A condition that is left out has that of Rest.
type conditionFuncs map[Condition]estimateFunc

// inAllConditions returns f for every condition.
func inAllConditions(f estimateFunc) conditionFuncs { return conditionFuncs{Rest: f} }

// scaled returns an assumed value of v at the target, in proportion to the share.
func scaled(v float64) estimateFunc { return func(s float64) Estimate { return assumed(v * s) } }

// unscaled returns an assumed value of v at every share.
func unscaled(v float64) estimateFunc { return func(float64) Estimate { return assumed(v) } }

// assumedAsAtRest returns f, measured at rest, as an assumption for a condition in which it was not measured.
func assumedAsAtRest(f estimateFunc) estimateFunc {
	return func(share float64) Estimate {
		e := f(share)
		if e.Basis != NotMeasured {
			e.Basis = Assumed
		}
		return e
	}
}

// sum returns the sum of all terms.
func sum(terms ...estimateFunc) estimateFunc {
	return func(share float64) Estimate {
		e := terms[0](share)
		for _, f := range terms[1:] {
			e = e.add(f(share))
		}
		return e
	}
}

// kb is the number of bytes in a KB, as in the results.
const kb = 1024

// The packages that a figure depends on, as the column "carried by" lists them.
const (
	pkgsHealthChecks = "internal/transport/msgpackrpc, internal/proxy"
	pkgsConfigSync   = "internal/controlplane/configwatch, internal/controlplane/quorum"
	pkgsMember       = "internal/controlplane/quorum/member"
	pkgsConfigStore  = "internal/policy/configstore, internal/controlplane/quorum/member"
	pkgsRouting      = "internal/proxy, internal/policy/loadbalancer"
	pkgsConnections  = "internal/transport/listener, internal/service"
	pkgsOwner        = "internal/controlplane/runner, internal/policy/controller"
	pkgsLoadReport   = "internal/transport/loadreport"
)

// lineBuilder collects the lines of all roles and has the values that several lines share.
type lineBuilder struct {
	*planner
	probers         float64 // processes that pick among servers and therefore probe each server
	followerCount   float64 // processes that apply documents of the group
	probesPerSecond float64 // to one server from one prober
	lease           float64 // of the group, in seconds
	entries         float64 // tenants and routes in the map
	list            []Line
}

// lines returns the lines of all roles.
func (c *planner) lines() []Line {
	a := c.target.Assumed
	b := &lineBuilder{planner: c, probers: c.probersPerServer(), followerCount: c.followers(), probesPerSecond: 1000 / a.ProbeInterval, lease: a.GroupLease / 1000,
		entries: c.target.entries()}
	probesCPU := b.rateScaledSeries("router.cpu.servers", c.target.Servers)
	b.addServerLines()
	b.addRouterLines(probesCPU)
	b.addRouterMapLines()
	b.addCallerLines(probesCPU)
	b.addFollowerLines()
	b.addLeaderLines()
	b.addLeaderChangesLines()
	b.addMemberLines()
	b.addOwnerLines()
	b.addAnnounceLines()
	b.addSnapshotLines()
	b.addToolLines()
	return b.list
}

// series estimates by a series, whose size at the target is at.
func (b *lineBuilder) series(name string, at float64) estimateFunc {
	return func(share float64) Estimate { return b.results.At(name, at*share) }
}

// controlSeries estimates the cost of control by a series: see controlEstimate.
func (b *lineBuilder) controlSeries(name string, at float64) estimateFunc {
	return func(share float64) Estimate { return b.controlEstimate(name, at*share) }
}

// rateScaledSeries is controlSeries at a size multiplied by rateFactor.
func (b *lineBuilder) rateScaledSeries(name string, at float64) estimateFunc {
	return b.controlSeries(name, at*b.rateFactor(name))
}

// costScaledSeries is controlSeries with the cost above the baseline, instead of the size, multiplied by rateFactor: the cost of a map is not
// linear in its tenants.
func (b *lineBuilder) costScaledSeries(name string, at float64) estimateFunc {
	return func(share float64) Estimate {
		e, n := b.results.At(name, at*share), b.rateFactor(name)
		if base := b.results.baseline(name); n != 1 && e.Basis != NotMeasured {
			e.Value = Number(base + (float64(e.Value)-base)*n)
			e.Basis, e.Factor = Extrapolated, max(e.Factor, n)
		}
		if b.target.Readings.ControlAdded {
			e.Value = Number(max(0, float64(e.Value)-b.results.baseline(name)))
		}
		return e
	}
}

// groupMessages returns the requests and replies a second between one process and the group at a number of polls per lease.
func (b *lineBuilder) groupMessages(polls float64) float64 { return 2 * polls / b.lease }

// byPartsMode returns inParts if the program splits maps into parts, else asOneDocument.
func (b *lineBuilder) byPartsMode(inParts, asOneDocument string) string {
	if b.limits.hasParts() {
		return inParts
	}
	return asOneDocument
}

// add appends a line with its estimate in each condition.
func (b *lineBuilder) add(l Line, funcs conditionFuncs) {
	l.Estimates, l.atShare = map[Condition]Estimate{}, map[Condition]estimateFunc{}
	for _, condition := range Conditions {
		f := funcs[condition]
		if f == nil {
			f = funcs[Rest]
		}
		l.atShare[condition], l.Estimates[condition] = f, f(1)
	}
	b.list = append(b.list, l)
}

// newLine returns a line without estimates. A budget of 0 means none; stopsWhenOver says what stops once the budget is exceeded, and is empty
// if exceeding it only costs too much.
func newLine(role, figure, unit string, budget float64, budgetSource string, carriedBy, note, stopsWhenOver string) Line {
	return Line{Role: role, Figure: figure, Unit: unit, Budget: Number(budget), BudgetSource: budgetSource, CarriedBy: carriedBy, Note: note, stopsWhenOver: stopsWhenOver}
}

// withCost returns the line with a text that says what exceeding its budget costs.
func withCost(l Line, cost string) Line {
	l.costWhenOver = cost
	return l
}

// unmeasured is the estimate of a figure without measurements.
func unmeasured(float64) Estimate { return notMeasured() }

// The budgets of control, by their names in the target's file.
const (
	budgetCore   = "control.core"
	budgetMemory = "control.memory_mb"
	budgetBytes  = "control.kb_per_s"
)

// callerTargets returns the number of servers or routers that a caller picks among.
func (c *planner) callerTargets() float64 {
	if c.target.Readings.CallersPickServers {
		return c.target.Servers
	}
	return c.routers
}

// callerConnections estimates the connections that a caller keeps open.
func (c *planner) callerConnections() estimateFunc {
	if c.target.Readings.CallersPickServers {
		return scaled(c.target.Servers)
	}
	return unscaled(c.target.Assumed.CallerConnections)
}

// minorityZones returns the number of zones outside region 1, which has the most zones: the side without a quorum in a partition.
func (c *planner) minorityZones() float64 {
	n := 0.0
	for zone := 1; zone <= int(c.target.Zones); zone++ {
		if c.region(zone) != 1 {
			n++
		}
	}
	return n
}

// rateFactor returns how many times more often an activity takes place at the target than in the measurement of a series. A caller may
// multiply the size by it: health checks at twice the rate cost as much as twice the servers or callers.
func (c *planner) rateFactor(name string) float64 {
	s, ok := c.results.find(name)
	if !ok {
		return 1
	}
	factor := 1.0
	if check := s.Fixed["check_ms"]; check > 0 {
		factor *= check / c.target.Assumed.ProbeInterval
	}
	if lease := s.Fixed["lease_ms"]; lease > 0 && s.Varies == "tenants" {
		factor *= lease / c.target.Assumed.MapLease
	} else if lease > 0 {
		factor *= lease / c.target.Assumed.GroupLease
	}
	return factor
}

// increase estimates by how much a series at size at exceeds its value at size baseline, scaled from the followers of the measurement to the
// given number. 0 followers means no scaling.
func (c *planner) increase(name string, at, baseline, followers float64) estimateFunc {
	return func(share float64) Estimate {
		e, base := c.results.At(name, at*share), c.results.At(name, baseline)
		if s, _ := c.results.find(name); e.Basis != NotMeasured && base.Basis != NotMeasured {
			factor := 1.0
			if n := s.Fixed["followers"]; n > 0 && followers > 0 {
				factor = followers * share / n
			}
			e.Value, e.Basis = max(0, e.Value-base.Value)*Number(factor), Assumed
			return e
		}
		return notMeasured()
	}
}

// routeTime estimates the time to find a request's route, in µs, by the tenants in the map. It is 0 if it was not measured.
func (c *planner) routeTime(share float64) Estimate {
	e := c.results.At("router.route.tenants", c.target.entries()*share)
	if e.Basis == NotMeasured {
		return Estimate{Basis: Measured}
	}
	return e
}

// routeNote says whether routeTime is included in a figure.
func (c *planner) routeNote() string {
	if _, ok := c.results.find("router.route.tenants"); !ok {
		return "without the time to find a route among all tenants, which was not measured"
	}
	return "with the time to find a route among all tenants"
}
