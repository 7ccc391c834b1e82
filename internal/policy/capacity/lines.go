package capacity

type estimateFunc = func(share float64) Estimate

// figures are a figure in each condition; what is left out is as at rest.
type conditionFuncs map[Condition]estimateFunc

// always is a figure that is the same in all conditions.
func inAllConditions(f estimateFunc) conditionFuncs { return conditionFuncs{Rest: f} }

func proportional(v float64) estimateFunc {
	return func(share float64) Estimate { return assumed(v * share) }
}

func unscaled(v float64) estimateFunc { return func(float64) Estimate { return assumed(v) } }

// asAtRest is a figure that is taken to be as at rest, and was not measured in this condition.
func assumedAsAtRest(f estimateFunc) estimateFunc {
	return func(share float64) Estimate {
		e := f(share)
		if e.Basis != NotMeasured {
			e.Basis = Assumed
		}
		return e
	}
}

func sum(terms ...estimateFunc) estimateFunc {
	return func(share float64) Estimate {
		e := terms[0](share)
		for _, f := range terms[1:] {
			e = e.add(f(share))
		}
		return e
	}
}

// kb is bytes of a KB, here as in what was measured.
const kb = 1024

// Places in the code.
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

// lineBuilder collects the figures of all roles, and has what several of them are computed from.
type lineBuilder struct {
	*planner
	probers         float64 // processes that pick among servers, and so probe each
	followerCount   float64 // processes that act on documents
	probesPerSecond float64 // of a server by each of its probers
	lease           float64 // seconds, of the group
	entries         float64 // of the map
	list            []Line
}

// lines are the figures of all roles.
func (c *planner) lines() []Line {
	a := c.target.Assumed
	b := &lineBuilder{planner: c, probers: c.probersPerServer(), followerCount: c.followers(), probesPerSecond: 1000 / a.Probe, lease: a.Lease / 1000,
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

// series is a measured figure by its size at the target.
func (b *lineBuilder) series(name string, at float64) estimateFunc {
	return func(share float64) Estimate { return b.results.At(name, at*share) }
}

// control is a figure of control, all of it or what is above a process without any: see Readings.ControlAdded.
func (b *lineBuilder) controlSeries(name string, at float64) estimateFunc {
	return func(share float64) Estimate { return b.controlEstimate(name, at*share) }
}

// paced is a figure of control that grows with how often it is done: see rateFactor.
func (b *lineBuilder) rateScaledSeries(name string, at float64) estimateFunc {
	return b.controlSeries(name, at*b.rateFactor(name))
}

// repeated is a figure of control whose cost, and not its size, counts so many times. What a map costs does not grow evenly by its tenants.
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

// groupMessages are the messages a second between a process and the group, each with its answer, at so many in a lease.
func (b *lineBuilder) groupMessages(pollsPerLease float64) float64 {
	return 2 * pollsPerLease / b.lease
}

// either is one of two texts, by whether a map goes in parts.
func (b *lineBuilder) byPartsMode(inParts, asOneDocument string) string {
	if b.limits.hasParts() {
		return inParts
	}
	return asOneDocument
}

// add takes a line up, with its figure in each condition.
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

// newLine is a line without its figures. Budget 0 is none; stops says what stops where it is passed, empty where it only costs too much.
func newLine(role, figure, unit string, budget float64, budgetSource string, carriedBy, note, stopsWhenOver string) Line {
	return Line{Role: role, Figure: figure, Unit: unit, Budget: Number(budget), BudgetSource: budgetSource, CarriedBy: carriedBy, Note: note, stopsWhenOver: stopsWhenOver}
}

// costing is a line whose budget, where it is passed, means what the text says.
func withCost(l Line, cost string) Line {
	l.costWhenOver = cost
	return l
}

// unmeasured is a figure of which nothing was measured.
func unmeasured(float64) Estimate { return notMeasured() }

// Budgets of control, by their fields of the target's file.
const (
	budgetCore   = "control.core"
	budgetMemory = "control.memory_mb"
	budgetBytes  = "control.kb_per_s"
)

// callerTargets is how many a caller picks among.
func (c *planner) callerTargets() float64 {
	if c.target.Readings.CallersPick {
		return c.target.Servers
	}
	return c.routers
}

func (c *planner) callerConnections() estimateFunc {
	if c.target.Readings.CallersPick {
		return proportional(c.target.Servers)
	}
	return unscaled(c.target.Assumed.CallerConnections)
}

// smallerSideZones is how many zones lie in the regions but the first, which has the most: the side without a majority.
func (c *planner) minorityZones() float64 {
	n := 0.0
	for zone := 1; zone <= int(c.target.Zones); zone++ {
		if c.region(zone) != 1 {
			n++
		}
	}
	return n
}

// rateFactor is how many times as often something is done at the target as it was where a series was measured: a health check twice as often
// counts as twice as many servers or callers.
func (c *planner) rateFactor(name string) float64 {
	s, ok := c.results.find(name)
	if !ok {
		return 1
	}
	factor := 1.0
	if check := s.Fixed["check_ms"]; check > 0 {
		factor *= check / c.target.Assumed.Probe
	}
	if lease := s.Fixed["lease_ms"]; lease > 0 && s.Varies == "tenants" {
		factor *= lease / c.target.Assumed.MapLease
	} else if lease > 0 {
		factor *= lease / c.target.Assumed.Lease
	}
	return factor
}

// increase is by how much a series at a size is above what it has at another one, for as many followers as are given; 0: those that it was
// measured with.
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

// route is what finding a request's route takes by the tenants in the map, in µs; nothing where it was not measured.
func (c *planner) routeTime(share float64) Estimate {
	e := c.results.At("router.route.tenants", c.target.entries()*share)
	if e.Basis == NotMeasured {
		return Estimate{Basis: Measured}
	}
	return e
}

// routeNote says whether that time is counted.
func (c *planner) routeNote() string {
	if _, ok := c.results.find("router.route.tenants"); !ok {
		return "without the time to find a route among all tenants, which was not measured"
	}
	return "with the time to find a route among all tenants"
}
