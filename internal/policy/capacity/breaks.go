package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// breaks are where budgets and bounds are passed: what stops something before what only costs too much, each by the share of the target,
// the lowest first. What can't be said, as nothing was measured, is named apart.
func (c *planner) breaks(lines []Line) (list []Break, unknown []string) {
	unknown = []string{}
	for _, l := range lines {
		if l.Budget == 0 || math.IsNaN(float64(l.Budget)) {
			continue
		}
		least, some := Break{Share: Number(math.Inf(1))}, false
		for i, k := range Conditions {
			if slices.ContainsFunc(Conditions[:i], func(other Condition) bool { return l.At[other] == l.At[k] }) {
				continue // as in one before
			}
			share, by := firstShareOver(float64(l.Budget), l.of[k])
			if math.IsNaN(share) {
				continue
			}
			if share == 0 {
				by = l.At[k] // its base alone is over: what it needs at the target says more
			}
			if b := (Break{
				What: l.Role + ": " + l.Figure, Stops: l.stops != "", Share: Number(share), Any: share == 0, Needed: l.At[k], Bound: l.Budget,
				Unit: l.Unit, By: by, Says: says(l, k), In: l.Carried,
			}); !some || b.Share < least.Share {
				least, some = b, true
			}
		}
		if !some {
			unknown = append(unknown, l.Role+": "+l.Figure)
			continue
		}
		list = append(list, least)
	}
	list = append(list, c.fixedBounds()...)
	slices.SortStableFunc(list, func(a, b Break) int {
		if a.Stops != b.Stops {
			if a.Stops {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Share, b.Share), strings.Compare(a.What, b.What))
	})
	return list, unknown
}

// says is what the passing of a line's budget means.
func says(l Line, k Condition) string {
	text := l.stops
	if text == "" {
		text = cmp.Or(l.costs, "over "+l.BudgetOf)
	}
	if k != Rest {
		text += ", " + string(k)
	}
	return text
}

// fixedBounds are bounds that no line has, from the sizes of what is written.
func (c *planner) fixedBounds() (list []Break) {
	p, word := c.p, c.p.MaxCallBody
	grows := func(what string, needed func(share float64) float64, bound float64, unit, in, says string) {
		if bound <= 0 {
			return // there is none
		}
		share, by := firstShareOver(bound, func(s float64) Estimate { return assumed(needed(s)) })
		list = append(list, Break{What: what, Stops: true, Share: Number(share), Any: share == 0, Needed: assumed(needed(1)), Bound: Number(bound), Unit: unit, By: by, Says: says, In: in})
	}
	add := func(what string, needed, bound float64, unit, in, says string) {
		if bound <= 0 {
			return
		}
		share := Number(bound / needed)
		list = append(list, Break{What: what, Stops: true, Share: share, Needed: assumed(needed), Bound: Number(bound), Unit: unit, By: assumed(bound), Says: says, In: in})
	}
	const asIfMoves = "were each change a move, as homes of the past stay and nothing takes them out"
	if p.inParts() {
		add("leader: the map as one document", c.partsTextSize(1)/kb, p.MaxDocumentSize/kb, "KB", "internal/policy/configstore", "the map is refused")
		grows("leader: what a week of moves adds to the map", func(s float64) float64 { return 7 * c.t.Changes * s * p.HomePartTextSize / kb }, p.MaxDocumentSize/kb, "KB", "internal/policy/cells",
			"the map is refused, whatever its size before: "+asIfMoves)
		part := func(s, days float64) float64 {
			return (c.fullest(c.t.entries()*s)*p.TenantPartTextSize + c.fullest(c.t.Changes*s*days)*p.HomePartTextSize) / kb
		}
		grows("leader: the fullest part of the map", func(s float64) float64 { return part(s, 0) }, p.MaxPartSize/kb, "KB", "internal/policy/configstore", "the map is refused")
		days := 0.0
		for c.t.Changes > 0 && part(1, days) <= p.MaxPartSize/kb && days < 3650 {
			days++
		}
		grows("leader: the fullest part of the map after a year of moves", func(s float64) float64 { return part(s, 365) }, p.MaxPartSize/kb, "KB", "internal/policy/cells",
			fmt.Sprintf("a move of a tenant in that part is refused, at the target after %.0f days: %s", days, asIfMoves))
		followers := c.followers()
		grows("leader: a snapshot while a whole map is put on another and a third is drafted",
			func(s float64) float64 { return (3*c.partsMessageSize(s) + followers*s*p.ProcessMessageSize) / kb }, p.MaxSnapshotSize/kb, "KB", inMember,
			"a member that fell behind, or a new one, can't be brought up until then: group.snapshot_unsent")
		add("leader: askings that wait at one time", followers*(1+1/c.t.Zones), p.MaxPendingReads, "", inMember, "a process beyond the bound is told to ask elsewhere")
		add("owner: the keeper's next map in one entry of the log", c.mapMessageSize(1)/kb, p.MaxCommandSize/kb, "KB", inOwner,
			"the keeper can't write down what it means to do: no move, no server taken out")
	} else {
		add("leader: the map as one document", c.mapTextSize(1)/kb, p.MaxTextSize/kb, "KB", "internal/policy/configstore", "the map is refused")
		add("leader: what a week of moves adds to the map", 7*c.t.Changes*p.HomeTextSize/kb, p.MaxTextSize/kb, "KB", "internal/policy/cells",
			"the map is refused, whatever its size before: "+asIfMoves)
		add("follower: the map in force and the next one in one answer", 2*c.mapMessageSize(1)/kb, word/kb, "KB", inRules,
			"a process that starts while a change is under way gets no answer: it is unconfirmed")
	}
	add("owner: the keeper's journal in one answer", 3*c.mapMessageSize(1)/kb, word/kb, "KB", inOwner,
		"the keeper reads its journal no more: no move, no server taken out (the map in force, the plan, the last write)")
	moved := ""
	if p.inParts() {
		moved = "once every tenant has moved: "
	}
	add("owner: a router's status in one answer", c.statusSize(1)/kb, p.MaxStatusBody/kb, "KB", "internal/transport/msgpackrpc, internal/controlplane/runner",
		moved+"no router reports: the watcher is unsure of all servers, a roll sees no worth; silverpath status fails")
	add("leader: documents", float64(documents), p.MaxDocuments, "", "internal/policy/configstore", "a further document is refused")
	return list
}

// documents that there are: map, routing, classes, pools.
const documents = 4

// machines are those that are set aside for control, and what stands on them.
func (c *planner) machines(lines []Line) (list []Machine) {
	at := func(role, figure string, k Condition) Estimate {
		for _, l := range lines {
			if l.Role == role && l.Figure == figure {
				return l.At[k]
			}
		}
		return notMeasured()
	}
	members := int(c.members())
	for i := range int(c.t.Control.Machines) {
		zone := i%int(c.t.Zones) + 1
		m := Machine{Zone: zone, Region: c.region(zone)}
		switch {
		case i == 0:
			m.Runs, m.Core = "member, that leads here; owner of duties", at("leader", "processor", Burst)
		case i < members:
			m.Runs, m.Core = "member", at("member", "processor", Rest)
			if m.Region != c.region(1) || i == members-1 {
				m.Runs += "; owner of duties, that waits"
			}
		default:
			m.Runs, m.Core = "an empty member to be added where one is lost; operators' tools", notMeasured()
			m.Zone, m.Region = int(c.t.Zones), c.region(int(c.t.Zones))
		}
		list = append(list, m)
	}
	return list
}

// region is where a zone lies: the first of them have the more zones.
func (c *planner) region(zone int) int {
	return int(math.Floor(float64(zone-1)*c.t.Regions/c.t.Zones)) + 1
}

// dailyCosts is what failures and restarts cost.
func (c *planner) dailyCosts() (list []Cost) {
	t, a := c.t, c.t.Assumed
	rate := t.Requests / t.Servers
	add := func(what string, day, servers, commits, versions float64, dead bool) {
		sheets := servers * rate * a.Sheets * a.Window
		cost := Cost{What: what, Day: Number(day), Servers: Number(servers), Sheets: Number(sheets), Commits: Number(commits),
			Versions: Number(versions), Connects: Number(servers * c.routers), Known: notMeasured()}
		if dead {
			// Until then it goes on to be chosen. Where that was not measured: for one health check.
			if cost.Known = c.r.At("router.dead_after.servers_lost.silent", servers); cost.Known.Basis == NotMeasured {
				cost.Known = assumed(a.Probe)
			}
			cost.Late = Number(servers * rate * float64(cost.Known.Value) / 1000)
			cost.Stored = Number(sheets) // the disk is gone with the machine
		}
		list = append(list, cost)
	}
	const (
		restart = 2 // commits: the old start lapses, the new one joins
		gone    = 5 // one lapses; asked of the keeper, intended, done; in force
	)
	add("a change of the map", t.Changes, 0, c.routers+2, 1, false) // put, held by each router, advanced
	add("a server is restarted or replaced, in good order", t.Day.Restart, 1, restart, 0, false)
	add("a machine fails, with one server", t.Day.Fail, 1, gone, 1, true)
	add("a rack or switch", 1/t.Day.RackEvery, a.RackServers, gone*a.RackServers, a.RackServers, true)
	zone := t.Servers / t.Zones
	add("a zone", 1/t.Day.ZoneEvery, zone, gone*zone+c.routers/t.Zones, zone, true)
	return list
}
