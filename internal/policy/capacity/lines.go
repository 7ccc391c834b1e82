package capacity

type figure = func(share float64) Estimate

// figures are a figure in each condition; what is left out is as at rest.
type figures map[Condition]figure

// always is a figure that is the same in all conditions.
func always(f figure) figures { return figures{Rest: f} }

func counted(v float64) figure { return func(share float64) Estimate { return assumed(v * share) } }

func fixed(v float64) figure { return func(float64) Estimate { return assumed(v) } }

// asAtRest is a figure that is taken to be as at rest, and was not measured in this condition.
func asAtRest(f figure) figure {
	return func(share float64) Estimate {
		e := f(share)
		if e.Basis != NotMeasured {
			e.Basis = Assumed
		}
		return e
	}
}

func sum(list ...figure) figure {
	return func(share float64) Estimate {
		e := list[0](share)
		for _, f := range list[1:] {
			e = e.plus(f(share))
		}
		return e
	}
}

// kb is bytes of a KB, here as in what was measured.
const kb = 1024

// Places in the code.
const (
	inProbes  = "internal/transport/msgpackrpc, internal/proxy"
	inRules   = "internal/controlplane/configwatch, internal/controlplane/quorum"
	inMember  = "internal/controlplane/quorum/member"
	inBook    = "internal/policy/configstore, internal/controlplane/quorum/member"
	inFleet   = "internal/proxy, internal/policy/loadbalancer"
	inBudget  = "internal/transport/listener, internal/service"
	inOwner   = "internal/controlplane/runner, internal/policy/controller"
	inReports = "internal/transport/loadreport"
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
	a := c.t.Assumed
	b := &lineBuilder{planner: c, probers: c.probersPerServer(), followerCount: c.followers(), probesPerSecond: 1000 / a.Probe, lease: a.Lease / 1000,
		entries: c.t.entries()}
	probes := b.paced("router.cpu.servers", c.t.Servers)
	b.server()
	b.router(probes)
	b.routerMap()
	b.caller(probes)
	b.follower()
	b.leader()
	b.leaderChanges()
	b.member()
	b.owner()
	b.announce()
	b.snapshot()
	b.tool()
	return b.list
}

// series is a measured figure by its size at the target.
func (b *lineBuilder) series(name string, at float64) figure {
	return func(share float64) Estimate { return b.r.At(name, at*share) }
}

// control is a figure of control, all of it or what is above a process without any: see Readings.ControlAdded.
func (b *lineBuilder) control(name string, at float64) figure {
	return func(share float64) Estimate { return b.controlled(name, at*share) }
}

// paced is a figure of control that grows with how often it is done: see rateFactor.
func (b *lineBuilder) paced(name string, at float64) figure {
	return b.control(name, at*b.rateFactor(name))
}

// repeated is a figure of control whose cost, and not its size, counts so many times. What a map costs does not grow evenly by its tenants.
func (b *lineBuilder) repeated(name string, at float64) figure {
	return func(share float64) Estimate {
		e, n := b.r.At(name, at*share), b.rateFactor(name)
		if base := b.r.base(name); n != 1 && e.Basis != NotMeasured {
			e.Value = Number(base + (float64(e.Value)-base)*n)
			e.Basis, e.Factor = Foretold, max(e.Factor, n)
		}
		if b.t.Readings.ControlAdded {
			e.Value = Number(max(0, float64(e.Value)-b.r.base(name)))
		}
		return e
	}
}

// groupMessages are the messages a second between a process and the group, each with its answer, at so many in a lease.
func (b *lineBuilder) groupMessages(times float64) float64 { return 2 * times / b.lease }

// either is one of two texts, by whether a map goes in parts.
func (b *lineBuilder) either(parts, whole string) string {
	if b.p.inParts() {
		return parts
	}
	return whole
}

// add takes a line up, with its figure in each condition.
func (b *lineBuilder) add(l Line, of figures) {
	l.At, l.of = map[Condition]Estimate{}, map[Condition]figure{}
	for _, k := range Conditions {
		f := of[k]
		if f == nil {
			f = of[Rest]
		}
		l.of[k], l.At[k] = f, f(1)
	}
	b.list = append(b.list, l)
}

// newLine is a line without its figures. Budget 0 is none; stops says what stops where it is passed, empty where it only costs too much.
func newLine(role, figure, unit string, budget float64, of string, carried, says, stops string) Line {
	return Line{Role: role, Figure: figure, Unit: unit, Budget: Number(budget), BudgetOf: of, Carried: carried, Says: says, stops: stops}
}

// costing is a line whose budget, where it is passed, means what the text says.
func costing(l Line, text string) Line {
	l.costs = text
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
	if c.t.Readings.CallersPick {
		return c.t.Servers
	}
	return c.routers
}

func (c *planner) callerConns() figure {
	if c.t.Readings.CallersPick {
		return counted(c.t.Servers)
	}
	return fixed(c.t.Assumed.CallerConnections)
}

// smallerSideZones is how many zones lie in the regions but the first, which has the most: the side without a majority.
func (c *planner) smallerSideZones() float64 {
	n := 0.0
	for z := 1; z <= int(c.t.Zones); z++ {
		if c.region(z) != 1 {
			n++
		}
	}
	return n
}

// rateFactor is how many times as often something is done at the target as it was where a series was measured: a health check twice as often
// counts as twice as many servers or callers.
func (c *planner) rateFactor(name string) float64 {
	s, ok := c.r.find(name)
	if !ok {
		return 1
	}
	n := 1.0
	if check := s.Fixed["check_ms"]; check > 0 {
		n *= check / c.t.Assumed.Probe
	}
	if lease := s.Fixed["lease_ms"]; lease > 0 && s.Varies == "tenants" {
		n *= lease / c.t.Assumed.MapLease
	} else if lease > 0 {
		n *= lease / c.t.Assumed.Lease
	}
	return n
}

// increase is by how much a series at a size is above what it has at another one, for as many followers as are given; 0: those that it was
// measured with.
func (c *planner) increase(name string, at, from, followers float64) figure {
	return func(share float64) Estimate {
		e, base := c.r.At(name, at*share), c.r.At(name, from)
		if s, _ := c.r.find(name); e.Basis != NotMeasured && base.Basis != NotMeasured {
			times := 1.0
			if n := s.Fixed["followers"]; n > 0 && followers > 0 {
				times = followers * share / n
			}
			e.Value, e.Basis = max(0, e.Value-base.Value)*Number(times), Assumed
			return e
		}
		return notMeasured()
	}
}

// route is what finding a request's route takes by the tenants in the map, in µs; nothing where it was not measured.
func (c *planner) route(share float64) Estimate {
	e := c.r.At("router.route.tenants", c.t.entries()*share)
	if e.Basis == NotMeasured {
		return Estimate{Basis: Measured}
	}
	return e
}

// routeNote says whether that time is counted.
func (c *planner) routeNote() string {
	if _, ok := c.r.find("router.route.tenants"); !ok {
		return "without the time to find a route among all tenants, which was not measured"
	}
	return "with the time to find a route among all tenants"
}
