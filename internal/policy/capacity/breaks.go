package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// breakingPoints returns, for each budget or bound that is exceeded, the lowest share of the target's load at which that happens. Bounds
// whose excess stops a function come first, then budgets that are only overspent; each group is in ascending order of share. unknown names the budgets without enough measurements.
func (c *planner) breakingPoints(lines []Line) (list []BreakingPoint, unknown []string) {
	unknown = []string{}
	for _, l := range lines {
		if l.Budget == 0 || math.IsNaN(float64(l.Budget)) {
			continue
		}
		lowest, found := BreakingPoint{Share: Number(math.Inf(1))}, false
		for i, condition := range Conditions {
			if slices.ContainsFunc(Conditions[:i], func(other Condition) bool { return l.Estimates[other] == l.Estimates[condition] }) {
				continue // same estimate as in an earlier condition
			}
			share, atShare := lowestShareOver(float64(l.Budget), l.atShare[condition])
			if math.IsNaN(share) {
				continue
			}
			if share == 0 {
				atShare = l.Estimates[condition] // the baseline alone exceeds the budget: report the estimate at the target
			}
			if b := (BreakingPoint{
				Name: l.Role + ": " + l.Figure, Stops: l.stopsWhenOver != "", Share: Number(share), AtAnySize: share == 0, NeededAtTarget: l.Estimates[condition], Bound: l.Budget,
				Unit: l.Unit, AtShare: atShare, Consequence: consequence(l, condition), CarriedBy: l.CarriedBy,
			}); !found || b.Share < lowest.Share {
				lowest, found = b, true
			}
		}
		if !found {
			unknown = append(unknown, l.Role+": "+l.Figure)
			continue
		}
		list = append(list, lowest)
	}
	list = append(list, c.fixedBounds()...)
	slices.SortStableFunc(list, func(a, b BreakingPoint) int {
		if a.Stops != b.Stops {
			if a.Stops {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Share, b.Share), strings.Compare(a.Name, b.Name))
	})
	return list, unknown
}

// consequence describes what happens in a condition once a line exceeds its budget.
func consequence(l Line, condition Condition) string {
	text := l.stopsWhenOver
	if text == "" {
		text = cmp.Or(l.costWhenOver, "over "+l.BudgetSource)
	}
	if condition != Rest {
		text += ", " + string(condition)
	}
	return text
}

// fixedBounds returns the breaking points of bounds that have no line, computed from the sizes of encoded data.
func (c *planner) fixedBounds() (list []BreakingPoint) {
	limits, maxMessage := c.limits, c.limits.MaxCallBody
	addGrowing := func(name string, needed func(share float64) float64, bound float64, unit, carriedBy, consequence string) {
		if bound <= 0 {
			return // the program has no such bound
		}
		share, atShare := lowestShareOver(bound, func(s float64) Estimate { return assumed(needed(s)) })
		list = append(list, BreakingPoint{Name: name, Stops: true, Share: Number(share), AtAnySize: share == 0, NeededAtTarget: assumed(needed(1)), Bound: Number(bound), Unit: unit, AtShare: atShare, Consequence: consequence, CarriedBy: carriedBy})
	}
	add := func(name string, needed, bound float64, unit, carriedBy, consequence string) {
		if bound <= 0 {
			return
		}
		share := Number(bound / needed)
		list = append(list, BreakingPoint{Name: name, Stops: true, Share: share, NeededAtTarget: assumed(needed), Bound: Number(bound), Unit: unit, AtShare: assumed(bound), Consequence: consequence, CarriedBy: carriedBy})
	}
	const movesAssumption = "were each change a move, as homes of the past stay and nothing takes them out"
	if limits.hasParts() {
		add("leader: the map as one document", c.partsTextSize(1)/kb, limits.MaxDocumentSize/kb, "KB", "internal/policy/configstore", "the map is refused")
		addGrowing("leader: what a week of moves adds to the map", func(s float64) float64 { return 7 * c.target.Changes * s * limits.HomePartTextSize / kb }, limits.MaxDocumentSize/kb, "KB", "internal/policy/cells",
			"the map is refused, whatever its size before: "+movesAssumption)
		fullestSize := func(s, days float64) float64 {
			return (c.fullestPart(c.target.entries()*s)*limits.TenantPartTextSize + c.fullestPart(c.target.Changes*s*days)*limits.HomePartTextSize) / kb
		}
		addGrowing("leader: the fullest part of the map", func(s float64) float64 { return fullestSize(s, 0) }, limits.MaxPartSize/kb, "KB", "internal/policy/configstore", "the map is refused")
		days := 0.0
		for c.target.Changes > 0 && fullestSize(1, days) <= limits.MaxPartSize/kb && days < 3650 {
			days++
		}
		addGrowing("leader: the fullest part of the map after a year of moves", func(s float64) float64 { return fullestSize(s, 365) }, limits.MaxPartSize/kb, "KB", "internal/policy/cells",
			fmt.Sprintf("a move of a tenant in that part is refused, at the target after %.0f days: %s", days, movesAssumption))
		followers := c.followers()
		addGrowing("leader: a snapshot while a whole map is put on another and a third is drafted",
			func(s float64) float64 { return (3*c.partsMessageSize(s) + followers*s*limits.ProcessMessageSize) / kb }, limits.MaxSnapshotSize/kb, "KB", pkgsMember,
			"a member that fell behind, or a new one, can't be brought up until then: group.snapshot_unsent")
		add("leader: askings that wait at one time", followers*(1+1/c.target.Zones), limits.MaxPendingReads, "", pkgsMember, "a process beyond the bound is told to ask elsewhere")
		add("owner: the keeper's next map in one entry of the log", c.mapMessageSize(1)/kb, limits.MaxCommandSize/kb, "KB", pkgsOwner,
			"the keeper can't write down what it means to do: no move, no server taken out")
	} else {
		add("leader: the map as one document", c.mapTextSize(1)/kb, limits.MaxTextSize/kb, "KB", "internal/policy/configstore", "the map is refused")
		add("leader: what a week of moves adds to the map", 7*c.target.Changes*limits.HomeTextSize/kb, limits.MaxTextSize/kb, "KB", "internal/policy/cells",
			"the map is refused, whatever its size before: "+movesAssumption)
		add("follower: the map in force and the next one in one answer", 2*c.mapMessageSize(1)/kb, maxMessage/kb, "KB", pkgsConfigSync,
			"a process that starts while a change is under way gets no answer: it is unconfirmed")
	}
	add("owner: the keeper's journal in one answer", 3*c.mapMessageSize(1)/kb, maxMessage/kb, "KB", pkgsOwner,
		"the keeper reads its journal no more: no move, no server taken out (the map in force, the plan, the last write)")
	precondition := ""
	if limits.hasParts() {
		precondition = "once every tenant has moved: "
	}
	add("owner: a router's status in one answer", c.statusSize(1)/kb, limits.MaxStatusBody/kb, "KB", "internal/transport/msgpackrpc, internal/controlplane/runner",
		precondition+"no router reports: the watcher is unsure of all servers, a roll sees no worth; silverpath status fails")
	add("leader: documents", float64(documentCount), limits.MaxDocuments, "", "internal/policy/configstore", "a further document is refused")
	return list
}

// documentCount is the number of documents: map, routing, classes and pools.
const documentCount = 4

// machines returns the machines reserved for control and the processes on each.
func (c *planner) machines(lines []Line) (list []Machine) {
	lineEstimate := func(role, figure string, condition Condition) Estimate {
		for _, l := range lines {
			if l.Role == role && l.Figure == figure {
				return l.Estimates[condition]
			}
		}
		return notMeasured()
	}
	members := int(c.members())
	for i := range int(c.target.Control.Machines) {
		zone := i%int(c.target.Zones) + 1
		m := Machine{Zone: zone, Region: c.region(zone)}
		switch {
		case i == 0:
			m.Runs, m.Core = "member, that leads here; owner of duties", lineEstimate("leader", "processor", Burst)
		case i < members:
			m.Runs, m.Core = "member", lineEstimate("member", "processor", Rest)
			if m.Region != c.region(1) || i == members-1 {
				m.Runs += "; owner of duties, that waits"
			}
		default:
			m.Runs, m.Core = "an empty member to be added where one is lost; operators' tools", notMeasured()
			m.Zone, m.Region = int(c.target.Zones), c.region(int(c.target.Zones))
		}
		list = append(list, m)
	}
	return list
}

// region returns the region of a zone, both counted from 1. Where zones do not divide evenly, the first regions have one more.
func (c *planner) region(zone int) int {
	return int(math.Floor(float64(zone-1)*c.target.Regions/c.target.Zones)) + 1
}

// dailyCosts returns the cost of each kind of failure, restart and change.
func (c *planner) dailyCosts() (list []Cost) {
	target, assumptions := c.target, c.target.Assumed
	requestsPerServer := target.Requests / target.Servers
	add := func(event string, perDay, servers, groupCommits, mapVersions float64, silent bool) {
		keyedRequests := servers * requestsPerServer * assumptions.KeyedFraction * assumptions.KeyWindow
		cost := Cost{Event: event, PerDay: Number(perDay), Servers: Number(servers), FailedWithoutStore: Number(keyedRequests), Commits: Number(groupCommits),
			MapVersions: Number(mapVersions), Connections: Number(servers * c.routers), DetectionTime: notMeasured()}
		if silent {
			// Routers choose the server until they detect the failure. If the detection time was not measured, one health check interval
			// is assumed.
			if cost.DetectionTime = c.results.At("router.dead_after.servers_lost.silent", servers); cost.DetectionTime.Basis == NotMeasured {
				cost.DetectionTime = assumed(assumptions.ProbeInterval)
			}
			cost.RetriedRequests = Number(servers * requestsPerServer * float64(cost.DetectionTime.Value) / 1000)
			cost.FailedWithStore = Number(keyedRequests) // the store is lost with the disk of the machine
		}
		list = append(list, cost)
	}
	const (
		commitsPerRestart    = 2 // the previous start's registration expires; the new start registers
		commitsPerLostServer = 5 // registration expires; request to the keeper, its intent, its completion; map in force
	)
	add("a change of the map", target.Changes, 0, c.routers+2, 1, false) // commits: proposal, a report of each router, advance
	add("a server is restarted or replaced, in good order", target.Failures.Restarts, 1, commitsPerRestart, 0, false)
	add("a machine fails, with one server", target.Failures.MachineFailures, 1, commitsPerLostServer, 1, true)
	add("a rack or switch", 1/target.Failures.RackFailureInterval, assumptions.RackServers, commitsPerLostServer*assumptions.RackServers, assumptions.RackServers, true)
	zoneServers := target.Servers / target.Zones
	add("a zone", 1/target.Failures.ZoneFailureInterval, zoneServers, commitsPerLostServer*zoneServers+c.routers/target.Zones, zoneServers, true)
	return list
}
