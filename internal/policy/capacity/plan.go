package capacity

import (
	"fmt"
	"math"
	"slices"
)

// Condition is an operating state of the fleet.
type Condition string

// Conditions lists all conditions in the order of the tables.
var Conditions = []Condition{Rest, Peak, Burst, ZoneRecovering, Partitioned}

// The conditions that figures are estimated in.
const (
	Rest           Condition = "at rest"
	Peak           Condition = "at the peak"
	Burst          Condition = "in a burst of changes"
	ZoneRecovering Condition = "while a zone comes back"
	Partitioned    Condition = "while regions don't hear each other"
)

// Line is one figure of one role.
type Line struct {
	Role         string                 `json:"role"`
	Figure       string                 `json:"figure"`
	Unit         string                 `json:"unit"`
	Estimates    map[Condition]Estimate `json:"at"`
	Budget       Number                 `json:"budget"` // 0: none
	BudgetSource string                 `json:"budget_of,omitempty"`
	CarriedBy    string                 `json:"carried_by"`
	Note         string                 `json:"says,omitempty"` // what the figure assumes or counts

	atShare       map[Condition]func(share float64) Estimate
	stopsWhenOver string // what stops once the budget is exceeded; empty: exceeding it only costs too much
	costWhenOver  string // what exceeding it costs; empty: "over" and BudgetSource
}

// Sizing is one step of the computation of how many servers and routers the peak needs.
type Sizing struct {
	Name     string   `json:"what"`
	Unit     string   `json:"unit"`
	Estimate Estimate `json:"is"`
	Note     string   `json:"says"`
}

// BreakingPoint is the share of the target at which a figure exceeds a budget or a bound.
type BreakingPoint struct {
	Name           string   `json:"what"`
	Stops          bool     `json:"stops"`
	Share          Number   `json:"share"` // of the target; null: not exceeded up to maxShare
	AtAnySize      bool     `json:"at_any_size,omitempty"`
	NeededAtTarget Estimate `json:"needed"`
	Bound          Number   `json:"bound"`
	Unit           string   `json:"unit"`
	AtShare        Estimate `json:"by"` // the estimate at Share
	Consequence    string   `json:"says"`
	CarriedBy      string   `json:"carried_by"`
}

// Cost is the cost of one kind of failure, restart or change, each time that it takes place.
type Cost struct {
	Event              string   `json:"what"`
	PerDay             Number   `json:"a_day"`
	Servers            Number   `json:"servers"`
	DetectionTime      Estimate `json:"known"`                // ms until routers treat the server as dead
	RetriedRequests    Number   `json:"requests_tried_again"` // at the peak
	FailedWithoutStore Number   `json:"sheets_without_store"` // requests with a key that fail at the peak
	FailedWithStore    Number   `json:"sheets_with_store"`    // the same, if servers store results
	Commits            Number   `json:"commits"`              // of the group
	MapVersions        Number   `json:"versions"`             // of the map
	Connections        Number   `json:"connects"`             // of routers to servers
}

// Machine is a machine that is reserved for the control plane.
type Machine struct {
	Zone   int      `json:"zone"`
	Region int      `json:"region"`
	Runs   string   `json:"runs"`
	Core   Estimate `json:"core"` // processor time, in cores
}

// Plan is the result of Compute.
type Plan struct {
	Target         Target          `json:"-"`
	Routers        Number          `json:"routers"`
	Measured       string          `json:"measured"` // the commit and machine of the results
	Lines          []Line          `json:"lines"`
	Sizing         []Sizing        `json:"sizing"`
	Machines       []Machine       `json:"machines"`
	DailyCosts     []Cost          `json:"day"`
	BreakingPoints []BreakingPoint `json:"breaks"`  // those that stop something first, each group by ascending share
	UnknownBudgets []string        `json:"unknown"` // budgets of figures that were not measured far enough
}

// planner has the inputs and intermediate values that the parts of a plan share.
type planner struct {
	target            Target
	results           Results
	limits            ProgramLimits
	routers           float64
	requestsPerRouter float64 // requests a second at the peak with a zone lost
}

// Compute returns the plan of a target from results and the program's limits. It returns the error of t.Check.
func Compute(t Target, r Results, limits ProgramLimits) (Plan, error) {
	if err := t.Check(); err != nil {
		return Plan{}, err
	}
	r, excluded := r.applicableTo(limits)
	c := &planner{target: t, results: r, limits: limits}
	out := Plan{Target: t, Sizing: c.sizing()}
	out.Routers = Number(c.routers)
	if r.Program != "" {
		out.Measured = r.Program + ", " + r.Machine
		if excluded > 0 {
			out.Measured += fmt.Sprintf("; %d series left out, of what the program does otherwise since", excluded)
		}
	}
	out.Lines = c.lines()
	out.Machines = c.machines(out.Lines)
	out.DailyCosts = c.dailyCosts()
	out.BreakingPoints, out.UnknownBudgets = c.breakingPoints(out.Lines)
	return out, nil
}

// controlEstimate estimates the cost of control by a series. With Readings.ControlAdded the baseline of the series is subtracted.
func (c *planner) controlEstimate(name string, at float64) Estimate {
	e := c.results.At(name, at)
	if c.target.Readings.ControlAdded {
		e.Value = Number(max(0, float64(e.Value)-c.results.baseline(name)))
	}
	return e
}

// sizing computes how many servers and routers the peak needs with a zone lost. It sets c.routers and c.requestsPerRouter.
func (c *planner) sizing() (list []Sizing) {
	target, assumptions := c.target, c.target.Assumed
	remaining := (target.Zones - 1) / target.Zones
	acrossZones := func(n float64) float64 { return target.Zones * math.Ceil(n/(target.Zones-1)-1e-9) }
	add := func(name, unit string, e Estimate, note string) { list = append(list, Sizing{name, unit, e, note}) }
	add("requests a second of a server, all zones there", "1/s", assumed(target.Requests/target.Servers), "the peak over the target's servers")
	add("requests a second of a server, a zone lost", "1/s", assumed(target.Requests/(target.Servers*remaining)), "the peak over those that are left")
	add("servers for the peak, a zone lost", "", assumed(acrossZones(target.Requests/(assumptions.ServerRequests*assumptions.Utilisation))),
		"assumed.server_requests_per_s at assumed.utilisation; as many in each zone")
	add("share of the peak that the target's servers carry, a zone lost", "",
		assumed(min(1, target.Servers*remaining*assumptions.ServerRequests*assumptions.Utilisation/target.Requests)), "the same, of the servers that the target has")

	// The capacity of a router: by its core with and without the cost of health checks, by the added latency and by its connections.
	control := c.results.At("router.cpu.servers", target.Servers*c.rateFactor("router.cpu.servers"))
	byCoreWithoutControl, byCore := c.requestsPerCore(assumptions.Utilisation), notMeasured()
	if control.Basis != NotMeasured {
		byCore = c.requestsPerCore(assumptions.Utilisation - float64(control.Value)).add(control.scale(0))
	}
	add("requests a second of a router, by its core, were control free", "1/s", byCoreWithoutControl, "up to assumed.utilisation of a core, "+c.routeNote())
	add("requests a second of a router, by its core, beside its health checks", "1/s", byCore, "less what router.cpu.servers says of all servers; 0: nothing is left")
	byTime := c.largestWithin("router.added_p99.requests", target.AddedLatency-float64(c.routeTime(1).Value)/1000)
	add("requests a second of a router, by the time that it adds", "1/s", byTime, "the largest that was measured at which it is within added_p99_ms, "+c.routeNote())
	perRouter := byCoreWithoutControl
	for _, e := range []Estimate{byCore, byTime} {
		if e.Basis != NotMeasured && e.Value > 0 && e.Value < perRouter.Value {
			perRouter = e
		}
	}
	routersForPeak := perRouter
	routersForPeak.Value = Number(acrossZones(target.Requests / float64(perRouter.Value)))
	add("routers for the peak, a zone lost", "", routersForPeak, "the least of these that is above 0; as many in each zone")
	routersForConnections := assumed(acrossZones(target.Callers * assumptions.CallerConnections / (c.descriptorsForConnections() * c.limits.CallerShare)))
	note := "callers × assumed.caller_connections over a router's places for callers, by assumed.sockets"
	if target.Readings.CallersPickServers {
		routersForConnections, note = assumed(0), "callers pick among servers: none comes to a router"
	}
	add("routers for the callers' connections, a zone lost", "", routersForConnections, note)
	planned := routersForPeak
	if routersForConnections.Value > routersForPeak.Value {
		planned = routersForConnections
	}
	add("routers that are reckoned with", "", planned, "the larger of the two")
	c.routers = max(1, float64(planned.Value))
	c.requestsPerRouter = target.Requests / (c.routers * remaining)
	return list
}

// requestsPerCore returns the requests a second that a router can take with a fraction of a core.
func (c *planner) requestsPerCore(cores float64) Estimate {
	cores, route := max(0, cores), float64(c.routeTime(1).Value)/1e6
	s, ok := c.results.find("router.cpu.requests")
	if !ok {
		return assumed(cores / (c.target.Assumed.RouterRequestTime/1e6 + route))
	}
	last := s.Points[len(s.Points)-1].Size
	share, e := lowestShareOver(cores, func(share float64) Estimate {
		e := c.results.At(s.Name, share*last)
		e.Value += Number(route * share * last)
		return e
	})
	switch {
	case math.IsNaN(share) || math.IsInf(share, 0):
		return notMeasured()
	case share == 0: // less than its use without requests
		return Estimate{Basis: Measured, Series: s.Name}
	}
	e.Value = Number(share * last)
	return e
}

// largestWithin returns the largest measured size at which a series is within a budget. It neither interpolates nor extrapolates, because the
// difference of two quantiles is not monotonic.
func (c *planner) largestWithin(name string, budget float64) Estimate {
	s, _ := c.results.find(name)
	for _, p := range slices.Backward(s.Points) {
		if p.Median() <= budget {
			return Estimate{Value: Number(p.Size), Basis: Measured, Series: name}
		}
	}
	return notMeasured()
}

// descriptorsForConnections returns the descriptors that a process has for connections of callers and to servers.
func (c *planner) descriptorsForConnections() float64 {
	s := c.target.Assumed.Sockets
	return max(8, s-c.limits.ReservedDescriptors-min(max(math.Floor(s/16), 4), c.limits.MaxAdminConnections))
}

// mapTextSize returns the bytes of a map as one document at a share of the target.
func (c *planner) mapTextSize(share float64) float64 {
	return share * (c.target.entries()*c.limits.TenantTextSize + c.target.Servers*c.limits.ServerTextSize)
}

// mapMessageSize returns the bytes of such a map within a message.
func (c *planner) mapMessageSize(share float64) float64 {
	return share * (c.target.entries()*c.limits.TenantMessageSize + c.target.Servers*c.limits.ServerMessageSize)
}

// partsTextSize returns the bytes of the texts of all parts of a map at a share of the target.
func (c *planner) partsTextSize(share float64) float64 {
	return share * (c.target.entries()*c.limits.TenantPartTextSize + c.target.Servers*c.limits.ServerPartTextSize)
}

// partsMessageSize returns the bytes of all parts of a map within a message.
func (c *planner) partsMessageSize(share float64) float64 {
	return share*(c.target.entries()*c.limits.TenantPartMessageSize+c.target.Servers*c.limits.ServerPartMessageSize) + c.limits.partCount()*c.limits.PartMessageSize
}

// changeMessageSize returns the bytes of a change of one tenant within a message: the whole map, or in parts the tenant's part and the
// part with the version.
func (c *planner) changeMessageSize(share float64) float64 {
	if !c.limits.hasParts() {
		return c.mapMessageSize(share)
	}
	return 2*c.limits.PartMessageSize + share*c.target.entries()*c.limits.TenantPartMessageSize/c.limits.TenantParts
}

// fullestPart returns the number of items in the fullest part when n items are hashed evenly into the tenant parts of a map: four standard
// deviations above the mean.
func (c *planner) fullestPart(n float64) float64 {
	mean := n / c.limits.TenantParts
	return mean + 4*math.Sqrt(mean)
}

// statusSize returns the bytes of a router's status at a share of the target.
func (c *planner) statusSize(share float64) float64 {
	return share * (c.target.entries()*c.limits.TenantStatusSize + c.target.Servers*c.limits.ServerStatusSize)
}

// probersPerServer returns the number of processes that pick among servers and probe each.
func (c *planner) probersPerServer() float64 {
	if c.target.Readings.CallersPickServers {
		return c.target.Callers + c.routers
	}
	return c.routers
}

// followers returns the number of processes that apply documents of the group.
func (c *planner) followers() float64 {
	if c.target.Readings.CallersPickServers {
		return c.target.Servers + c.routers + c.target.Callers
	}
	return c.target.Servers + c.routers
}

// members returns the number of members of the group: an odd number, at most 5, and at most one per zone and per control machine.
func (c *planner) members() float64 {
	n := min(c.target.Zones, c.target.Control.Machines, 5)
	if math.Mod(n, 2) == 0 {
		n--
	}
	return max(1, n)
}
