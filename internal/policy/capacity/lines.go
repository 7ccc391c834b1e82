package capacity

import (
	"fmt"
	"math"
	"strings"
)

type figure = func(share float64) Estimate

// cells are a figure in each condition; what is left out is as at rest.
type cells map[Condition]figure

// always is a figure that is the same in all conditions.
func always(f figure) cells { return cells{Rest: f} }

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

// lines are the figures of all roles.
func (c *planner) lines() (list []Line) {
	t, a, p := c.t, c.t.Assumed, c.p
	asks, followers, perSecond := c.asks(), c.followers(), 1000/a.Probe
	series := func(name string, at float64) figure {
		return func(share float64) Estimate { return c.r.At(name, at*share) }
	}
	control := func(name string, at float64) figure {
		return func(share float64) Estimate { return c.controlled(name, at*share) }
	}
	paced := func(name string, at float64) figure { return control(name, at*c.pace(name)) }
	// What a map costs does not grow evenly by its tenants, so that here the cost is what counts so many times, and not the size.
	oftener := func(name string, at float64) figure {
		return func(share float64) Estimate {
			e, n := c.r.At(name, at*share), c.pace(name)
			if base := c.r.base(name); n != 1 && e.Basis != NotMeasured {
				e.Value = Number(base + (float64(e.Value)-base)*n)
				e.Basis, e.Factor = Foretold, max(e.Factor, n)
			}
			if c.t.Readings.ControlAdded {
				e.Value = Number(max(0, float64(e.Value)-c.r.base(name)))
			}
			return e
		}
	}
	add := func(l Line, of cells) {
		l.At, l.of = map[Condition]Estimate{}, map[Condition]figure{}
		for _, k := range Conditions {
			f := of[k]
			if f == nil {
				f = of[Rest]
			}
			l.of[k], l.At[k] = f, f(1)
		}
		list = append(list, l)
	}
	costing := func(l Line, text string) Line {
		l.costs = text
		return l
	}
	line := func(role, figure, unit string, budget float64, of string, carried, says, stops string) Line {
		return Line{Role: role, Figure: figure, Unit: unit, Budget: Number(budget), BudgetOf: of, Carried: carried, Says: says, stops: stops}
	}
	none := func(float64) Estimate { return notMeasured() }
	inParts := p.inParts()
	either := func(parts, whole string) string {
		if inParts {
			return parts
		}
		return whole
	}
	const cpu, memory, bytes = "control.core", "control.memory_mb", "control.kb_per_s"
	lease := a.Lease / 1000
	words := func(times float64) float64 { return 2 * times / lease }

	// A server. Its probes come from all who pick among servers.
	probed := paced("server.cpu.callers", asks)
	add(line("server", "state: callers it knows", "", p.Callers, "slowstart.maxCallers", "internal/policy/slowstart",
		"who picks among servers has an entry at each; counted", "callers beyond the bound get no part of a cold server"), always(counted(asks)))
	add(line("server", "messages", "1/s", 0, "", inProbes+", "+inRules+", "+inReports,
		"probes and their answers each assumed.probe_ms, words to the group, reports to the announce service; apart: the group is asked again each 100 ms", ""), cells{
		Rest:  func(s float64) Estimate { return assumed(2*asks*s*perSecond + words(p.RestPart) + 1000/p.Announce) },
		Burst: func(s float64) Estimate { return assumed(2*asks*s*perSecond + words(p.TurnPart) + 1000/p.Announce) },
		Apart: func(s float64) Estimate { return assumed(2*asks*s*perSecond + 2*1000/p.Unheard + 1000/p.Announce) },
	})
	add(line("server", "processor, health checks", "core", t.Control.Core, cpu, inProbes,
		"by who picks among servers; a zone coming back: cold, each has a part of it, by the decision's own time; apart: as at rest, the other side's don't come", ""), cells{
		Rest: probed, Apart: asAtRest(probed), ZoneBack: sum(probed, func(s float64) Estimate { return c.r.At("server.round.callers", asks*s).times(1 / a.Probe) })})
	add(line("server", "memory", "MB", t.Control.Memory, memory, inProbes, "resident, by who picks among servers", ""), always(control("server.resident.callers", asks)))
	in, out := paced("server.bytes_in.callers", asks), paced("server.bytes_out.callers", asks)
	add(line("server", "bytes, in and out", "KB/s", t.Control.Bytes, bytes, inProbes, "health checks alone", ""), cells{
		Rest: sum(in, out), Apart: asAtRest(sum(in, out))})
	add(costing(line("server", "descriptors: connections of who picks", "", c.places()*p.FrontShare, "3 of 5 of assumed.sockets less the spare ones", inBudget,
		"each keeps one for requests; a health check has one of its own for its time, which isn't counted here", ""),
		"connections that idle give way, and are made anew for each request"), always(counted(asks)))

	// A router.
	entries := t.entries()
	add(line("router", "state: entries of servers and tenants", "", 0, "", inFleet, "the map and a table of servers; counted", ""), always(counted(t.Servers+entries)))
	add(line("router", "messages", "1/s", 0, "", inProbes+", "+inRules, "a probe of each server and its answer each assumed.probe_ms, words to the group", ""), cells{
		Rest:  func(s float64) Estimate { return assumed(2*t.Servers*s*perSecond + words(p.RestPart)) },
		Burst: func(s float64) Estimate { return assumed(2*t.Servers*s*perSecond + words(p.TurnPart)) },
		Apart: func(s float64) Estimate { return assumed(2*t.Servers*s*perSecond + 2*1000/p.Unheard) },
	})
	whole := series("router.cpu.servers", t.Servers*c.pace("router.cpu.servers"))
	probes := paced("router.cpu.servers", t.Servers)
	add(line("router", "processor, health checks", "core", t.Control.Core, cpu, inFleet, "of all servers; apart: as at rest, what nobody answers costs a wait", ""),
		cells{Rest: probes, Apart: asAtRest(probes)})
	add(line("router", "processor, health checks, of a whole core", "core", 1, "a core: GOMAXPROCS is 1", inFleet, "the same figure against all that a router has",
		"a router does nothing but health checks"), cells{Rest: whole, Apart: asAtRest(whole)})
	add(line("router", "processor, the map from a file", "core", t.Control.Core, cpu, "internal/proxy, internal/settings",
		either("looked at each third of the map's lease, and read where it has changed", "read again each third of the map's lease"), ""),
		always(oftener("router.cpu.tenants.file", entries)))
	add(line("router", "processor, requests", "core", a.Utilisation, "assumed.utilisation", "internal/core, "+inFleet, "its part of the peak, a zone lost; by requests with few tenants, "+c.found(), ""),
		cells{Rest: none, Peak: sum(series("router.cpu.requests", c.each), func(s float64) Estimate { return c.route(s).times(c.each / 1e6) }), Burst: none, ZoneBack: none, Apart: none})
	check := sum(series("router.parse.tenants", entries), series("router.follows.tenants", entries))
	add(line("router", "time to check a new map", "ms", 1000*t.InForce, "in_force_s", "internal/settings, internal/policy/cells",
		"read, and whether it may follow the one in force: the decision's own time, a part of each change's way"+either("; of a whole map, from a file: from the group only changed parts are read", ""), ""), always(check))
	perCheck := func(perSecond float64) figure {
		return func(s float64) Estimate { return check(s).times(perSecond * s / 1000) }
	}
	add(line("router", "processor, checking new maps", "core", t.Control.Core, cpu, "internal/settings, internal/policy/cells", either("of a whole map, from a file, once", "once")+" for each of changes_per_day; in a burst assumed.burst_changes_per_s", ""),
		cells{Rest: perCheck(t.Changes / 86400), Burst: perCheck(a.BurstChanges)})
	add(line("router", "memory, by servers", "MB", t.Control.Memory, memory, inFleet, "resident", ""), always(control("router.resident.servers", t.Servers)))
	add(line("router", "memory, by tenants", "MB", t.Control.Memory, memory, "internal/proxy, internal/policy/cells", "resident, the map from a file", ""),
		always(control("router.resident.tenants.file", entries)))
	add(line("router", "memory, by tenants, the map from the group", "MB", t.Control.Memory, memory, "internal/proxy, internal/controlplane/configwatch", "resident", ""),
		always(control("router.resident.tenants.group", entries)))
	add(line("router", "bytes, in and out, health checks", "KB/s", t.Control.Bytes, bytes, inFleet, "", ""),
		always(sum(paced("router.bytes_in.servers", t.Servers), paced("router.bytes_out.servers", t.Servers))))
	perMap := func(changes float64) figure {
		return func(s float64) Estimate { return assumed(c.changeWord(s) * changes * s / kb) }
	}
	add(line("router", "bytes in, the map with each change", "KB/s", t.Control.Bytes, bytes, inRules,
		either("the changed tenant's part", "the whole map")+" as a word has it, for each of changes_per_day, taken as spread evenly; in a burst assumed.burst_changes_per_s", ""),
		cells{Rest: perMap(t.Changes / 86400), Burst: perMap(a.BurstChanges)})
	if inParts {
		add(line("router", "bytes in, the map as it starts", "KB", 0, "", inRules, "all parts", ""), always(func(s float64) Estimate { return assumed(c.partsWord(s) / kb) }))
		add(line("router", "askings for the map as it starts", "", 0, "", inRules, "for the manifest, and for parts by name, each answered with configstore.MaxPartsAnswerSize at most; the first at a moment drawn within two seconds", ""),
			always(func(s float64) Estimate { return assumed(1 + math.Ceil(c.partsWord(s)/p.SendBudget)) }))
	}
	add(line("router", "descriptors: connections to servers", "", c.places()*p.HomeShare, "2 of 5 of assumed.sockets less the spare ones", inFleet+", internal/service",
		"one to each server while it has requests there", "servers beyond the bound get no connection: their sheets fail"), always(counted(t.Servers)))
	add(line("router", "connections made for health checks", "1/s", 0, "", inFleet, "each check has its own", ""), always(series("router.opened.servers", t.Servers*c.pace("router.opened.servers"))))
	for _, q := range []struct {
		name   string
		budget float64
		of     string
	}{{"p50", 0, ""}, {"p99", t.Added, "added_p99_ms"}} {
		added := sum(series("router.added_"+q.name+".requests", c.each), func(s float64) Estimate { return c.route(s).times(1.0 / 1000) })
		add(line("router", "time added to a request, "+q.name, "ms", q.budget, q.of, "internal/core, "+inFleet, "at its part of the peak, a zone lost; by requests with few tenants, "+c.found(), ""),
			cells{Rest: none, Peak: added, Burst: none, ZoneBack: none, Apart: none})
	}
	add(line("router", "time until it is ready", "ms", 0, "", "internal/service", "by tenants in the map, from a file", ""), always(series("router.ready.tenants.file", entries)))

	// A caller.
	add(line("caller", "state: whom it knows", "", 0, "", "not this program's", "all routers, or all servers where it picks among these; counted", ""), always(counted(c.known())))
	add(line("caller", "descriptors", "", 0, "", "not this program's", "assumed.caller_connections, or one to each server where it picks among these", ""), always(c.callerConns()))
	if t.Readings.CallersPick {
		add(line("caller", "processor, health checks", "core", 0, "", inFleet, "as a router's: what picks among servers probes them", ""), always(probes))
	}

	for _, f := range []string{"processor, core", "memory, MB", "bytes, KB/s"} {
		name, unit, _ := strings.Cut(f, ", ")
		add(line("caller", name, unit, 0, "", "not this program's", "its own service's", ""), always(none))
	}

	// Whoever acts on the group's documents.
	add(line("follower", "state: documents", "", 0, "", inRules, "a router's: map, routing, classes; a server's: classes, pools", ""), always(fixed(3)))
	add(line("follower", "memory", "MB", 0, "", inRules, "in that of servers and routers", ""), always(none))
	add(line("follower", "descriptors", "", 0, "", inRules, "a connection to the member that leads", ""), always(fixed(1)))
	add(line("follower", "messages", "1/s", 0, "", inRules, "words to the group and their answers", ""), cells{
		Rest: fixed(words(p.RestPart)), Burst: fixed(words(p.TurnPart)), Apart: fixed(2 * 1000 / p.Unheard)})
	own := control("router.cpu.followers", followers)
	add(line("follower", "processor", "core", t.Control.Core, cpu, inRules, "a router's or server's part in the group's rules, a router without servers as measured", ""),
		cells{Rest: own, Apart: asAtRest(own)})
	talk := sum(control("router.bytes_in.followers", followers), control("router.bytes_out.followers", followers))
	add(line("follower", "bytes, in and out", "KB/s", t.Control.Bytes, bytes, inRules, "words that bring no news", ""), cells{Rest: talk, Apart: asAtRest(talk)})

	// The member that leads.
	add(line("leader", "state: processes that are registered", "", p.Users, "configstore.MaxProcesses", inBook,
		"servers and routers; a zone that was off for under a lease comes back beside its old starts, which haven't lapsed",
		"a process beyond the bound can't register: it begins nothing exclusive"), cells{
		Rest: counted(followers), ZoneBack: counted(followers * (1 + 1/t.Zones))})
	add(line("leader", "messages", "1/s", 0, "", inMember, "words of followers and their answers, heartbeats", ""), cells{
		Rest: func(s float64) Estimate {
			return assumed(followers*s*words(p.RestPart) + 2*(c.members()-1)*1000/a.Tick)
		},
		Burst: func(s float64) Estimate {
			return assumed(followers*s*words(p.TurnPart) + 2*(c.members()-1)*1000/a.Tick)
		},
	})
	leads := series("leader.cpu.followers", followers*c.pace("leader.cpu.followers"))
	add(line("leader", "processor", "core", 1, "a core of its machine", inMember,
		"in a burst also by assumed.burst_changes_per_s, as many times what was measured as there are more followers; a zone coming back: its processes register within a minute", ""), cells{
		Rest: leads, Apart: asAtRest(leads),
		Burst:    sum(leads, c.more("leader.cpu.changes", 3600*a.BurstChanges, 0, followers)),
		ZoneBack: sum(leads, c.more("leader.cpu.restarts", followers/t.Zones, 0, 0))})
	add(line("leader", "time to share the cells out, in one go", "ms", p.ElectionTicks*a.Tick, "member.electionTicks × assumed.tick_ms", "internal/policy/quota, internal/controlplane/quorum/member",
		either("as a map comes, or a time in it", "each second")+", with routers that have most_routers: what there is, by the map, and who gets what; nothing else is done meanwhile",
		"the other members hear nothing for an election's time and elect another leader, which does the same"),
		always(sum(series("leader.wholes.tenants", entries), series("leader.targets.tenants", entries))))
	add(line("leader", "memory", "MB", 0, "", inMember, "resident", ""), always(series("leader.resident.followers", followers)))
	var starts figure // of one text nothing is reckoned
	said := series("leader.bytes_out.followers", followers*c.pace("leader.bytes_out.followers"))
	if inParts {
		starts = sum(said, func(s float64) Estimate {
			return assumed(c.partsWord(s) * (followers - t.Servers) / t.Zones * s / (p.Spread / 1000) / kb)
		})
	}
	add(line("leader", "bytes out", "KB/s", a.MachineBytes, "assumed.machine_kb_per_s", inMember,
		either("in a burst also the changed tenant's part to each router; a zone coming back: the whole map to each of its routers, within the two seconds in which they draw their moments",
			"in a burst also the whole map to each router"), ""), cells{
		Rest: said,
		Burst: sum(said, func(s float64) Estimate {
			return assumed(c.changeWord(s) * (followers - t.Servers) * s * a.BurstChanges / kb)
		}),
		ZoneBack: starts,
	})
	add(costing(line("leader", "entries of its log in the hour apart", "", p.CompactEvery, "member.compactEvery", inBook,
		"changes_per_day for day.regions_apart_s: each is put, said to be held by each router, and advanced"+either("; routers that say so at one time share an entry, which is not reckoned", ""), ""),
		"the members of the other side are brought up by a snapshot"+either(", in chunks", ", which has to fit one word")), cells{
		Rest: none, Peak: none, Burst: none, ZoneBack: none, Apart: func(s float64) Estimate {
			return assumed(t.Changes * s / 86400 * t.Day.Apart * (c.routers*s + 2))
		}})
	add(line("leader", "syncs of its disk", "1/s", 0, "", "internal/controlplane/quorum/member, bbolt", "in a burst as many times what was measured as there are more followers", ""), cells{
		Rest: series("leader.syncs.followers", followers), Burst: c.more("member.syncs.changes", 3600*a.BurstChanges, 0, followers)})
	for _, doc := range []string{"routing", "map"} {
		for _, q := range []string{"p50", "p99", "worst"} {
			budget, of := 0.0, ""
			if q == "worst" {
				budget, of = 1000*t.InForce, "in_force_s"
			}
			force := series("leader.force_"+q+".followers."+doc, followers)
			add(line("leader", "a change of "+doc+" in force everywhere, "+q, "ms", budget, of, inBook, "by followers; of a small document", ""),
				cells{Rest: force, Burst: none, ZoneBack: none, Apart: none})
		}
	}
	add(line("leader", "a change of routing in force everywhere, worst, regions far apart", "ms", 1000*t.InForce, "in_force_s", inBook,
		"with assumed.region_delay_ms on the way of each word of a follower", ""),
		cells{Rest: func(float64) Estimate { return c.r.At("leader.force_worst.delay.routing", a.RegionDelay) }, Burst: none, ZoneBack: none, Apart: none})
	add(line("leader", "a map's change until it holds", "ms", 1000*t.InForce, "in_force_s", "internal/policy/cells", "announced two of assumed.map_lease_ms and the skew ahead", ""),
		always(fixed(2*a.MapLease+a.MapSkew)))
	conns := func(s float64) float64 { return followers*s + c.members() + 1 }
	add(costing(line("leader", "descriptors: connections", "", p.MemberConns, "member.memberMost", inMember+", internal/transport/listener", "one of each follower, members and owners", ""),
		"connections that idled longest give way, and words need new ones"), always(func(s float64) Estimate { return assumed(conns(s)) }))
	made := func(times float64) figure {
		return func(s float64) Estimate {
			if p.MemberConns == 0 || conns(s) <= p.MemberConns {
				return assumed(0)
			}
			return assumed(followers * s * times / lease)
		}
	}
	opened := func(s float64) Estimate {
		e := c.r.At("leader.opened.followers", followers*c.pace("leader.opened.followers")*s)
		if e.Basis == NotMeasured || e.Off != 0 { // it begins where the places end, which no slope has
			return made(p.RestPart)(s)
		}
		return e
	}
	add(line("leader", "connections made for words", "1/s", p.MemberConns/p.IdleGrace*1000, "member.memberMost over front.idleGrace", inMember+", internal/transport/listener",
		"where it has not a place for each follower, and a place is given up once it idled for 100 ms",
		"followers wait for a place, and begin nothing exclusive once a lease is over"), cells{Rest: opened, Burst: made(p.TurnPart)})

	add(line("member", "processor", "core", 1, "a core of its machine", inMember, "of a member that doesn't lead", ""), always(series("member.cpu.followers", followers*c.pace("member.cpu.followers"))))
	add(line("member", "messages", "1/s", 0, "", inMember, "heartbeats and their answers", ""), always(fixed(2*1000/a.Tick)))

	add(line("member", "state: processes that are registered", "", 0, "", inBook, "as the leader's, by the log", ""), always(counted(followers)))
	add(line("member", "memory", "MB", 0, "", inMember, "of a member that doesn't lead", ""), always(none))
	add(line("member", "bytes, in and out", "KB/s", 0, "", inMember, "of a member that doesn't lead", ""), always(none))
	add(line("member", "descriptors: connections", "", 0, "", inMember, "to and from each other member", ""), always(fixed(2*(c.members()-1))))

	// The owner of the fleet's duties.
	gone, other := t.Servers/t.Zones, t.Servers*c.smaller()/t.Zones
	add(line("owner", "state: open items of the keeper", "", p.OpenItems, "duties.mostOpen", inOwner,
		"a zone that is gone asks for each of its servers; apart: the watcher takes the servers of the smaller side for gone, and asks for each",
		"requests beyond the bound are told no, moves among them"), cells{
		Rest: fixed(1), Burst: counted(60 * a.BurstChanges), ZoneBack: counted(gone), Apart: counted(other)})
	add(line("owner", "messages", "1/s", 0, "", inOwner, "the status of each router, asked once a second, and its answer", ""), always(counted(2*c.routers)))
	add(line("owner", "bytes in, routers' status", "KB/s", a.MachineBytes, "assumed.machine_kb_per_s", inOwner, either("all servers of each router, and tenants that have ever moved, taken for all", "all servers and tenants of each router"), ""), always(func(s float64) Estimate {
		return assumed(c.routers * s * c.status(s) / kb)
	}))

	for _, f := range []string{"processor, core", "memory, MB"} {
		name, unit, _ := strings.Cut(f, ", ")
		add(line("owner", name, unit, 0, "", inOwner, "it reads the status of each router once a second", ""), always(none))
	}
	add(line("owner", "descriptors: connections", "", 0, "", inOwner, "one for each status that is asked for, and one to the group", ""), always(counted(c.routers)))

	// Reports by which callers learn of servers.
	add(line("announce", "messages", "1/s", 0, "", inReports, "five reports a second of each server, as the service hears them", ""), always(counted(t.Servers*1000/p.Announce)))
	add(line("announce", "bytes", "KB/s", 0, "", inReports, "a datagram of 28 bytes of headers, 14 of words and a name of 11", ""), always(counted(t.Servers*1000/p.Announce*(28+p.Report+11)/kb)))

	if inParts {
		add(line("leader", "bytes of a snapshot of the group", "KB", p.LongestSnapshot/kb, "member.longestSnapshot", "internal/controlplane/quorum/member, internal/policy/statemachine",
			"the map in force once, each process that is registered, and in a burst a change of one tenant",
			"a member that fell behind, or a new one, can't be brought up: group.snapshot_unsent"), cells{
			Rest: func(s float64) Estimate { return assumed((c.partsWord(s) + followers*s*p.UserWord) / kb) },
			Burst: func(s float64) Estimate {
				return assumed((c.partsWord(s) + c.changeWord(s) + followers*s*p.UserWord) / kb)
			},
		})
	} else {
		add(line("leader", "bytes of a snapshot of the group", "KB", (p.LongestWord-p.WordRest)/kb, "msgpackrpc.LongestWord less member.roomForRest", "internal/controlplane/quorum/member, internal/policy/statemachine",
			fmt.Sprintf("the map in force and %.0f before it, and each process that is registered, where that was measured", p.History),
			"a member that fell behind, or a new one, can't be brought up: group.word_too_long"), always(func(s float64) Estimate {
			e := assumed((1 + p.History) * c.mapWord(s) / kb)
			if users := c.r.At("member.snapshot_size.followers", followers*s); users.Basis != NotMeasured {
				e = e.plus(users)
			}
			return e
		}))
	}
	add(line("tool", "messages", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "for one command: a reading of the rules, the change, and readings until it is in force", ""), always(fixed(3)))
	add(line("tool", "descriptors", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "a connection to each member that it tries", ""), always(fixed(c.members())))
	if inParts {
		add(line("tool", "words of a first import", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "parts of half of configstore.maxTextSize each, into a draft", ""), always(func(s float64) Estimate {
			return assumed(math.Ceil(2 * c.partsText(s) / p.LongestText))
		}))
		reading := func(more float64) figure {
			return func(s float64) Estimate {
				return assumed((p.parts()*p.PartWord + followers*more*s*p.UserReadWord) / kb)
			}
		}
		add(line("tool", "bytes of one reading of the rules", "KB", p.LongestWord/kb, "msgpackrpc.LongestWord", "cmd/silverpath, internal/controlplane/quorum",
			"each part's name, version and digest, and each process that is registered, with what was heard of it; small documents and the latest texts of theirs that are over, up to 128 KB of each, are not reckoned",
			"rules put, diff, who and history get no answer: no document can be changed by command"), cells{Rest: reading(1), ZoneBack: reading(1 + 1/t.Zones)})
	} else {
		add(line("tool", "bytes of one reading of the rules", "KB", p.LongestWord/kb, "msgpackrpc.LongestWord", "cmd/silverpath, internal/controlplane/quorum",
			fmt.Sprintf("the map in force and %.0f before it; rules put, diff, who and history all read them", p.History),
			"rules put, diff, who and history get no answer: no document can be changed by command"), always(func(s float64) Estimate {
			return assumed((1 + p.History) * c.mapWord(s) / kb)
		}))
	}
	return list
}

// known is how many a caller picks among.
func (c *planner) known() float64 {
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

// smaller is how many zones lie in the regions but the first, which has the most: the side without a majority.
func (c *planner) smaller() float64 {
	n := 0.0
	for z := 1; z <= int(c.t.Zones); z++ {
		if c.region(z) != 1 {
			n++
		}
	}
	return n
}

// pace is how many times as often something is done at the target as it was where a series was measured: a health check twice as often
// counts as twice as many servers or callers.
func (c *planner) pace(name string) float64 {
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

// more is by how much a series at a size is above what it has at another one, for as many followers as are given; 0: those that it was
// measured with.
func (c *planner) more(name string, at, from, followers float64) figure {
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

// found says whether it is counted.
func (c *planner) found() string {
	if _, ok := c.r.find("router.route.tenants"); !ok {
		return "without the time to find a route among all tenants, which was not measured"
	}
	return "with the time to find a route among all tenants"
}
