package capacity

import (
	"fmt"
)

// follower has the lines of whatever acts on the group's documents.
func (b *lineBuilder) follower() {
	b.add(newLine("follower", "state: documents", "", 0, "", inRules, "a router's: map, routing, classes; a server's: classes, pools", ""), always(fixed(3)))
	b.add(newLine("follower", "memory", "MB", 0, "", inRules, "in that of servers and routers", ""), always(unmeasured))
	b.add(newLine("follower", "descriptors", "", 0, "", inRules, "a connection to the member that leads", ""), always(fixed(1)))
	b.add(newLine("follower", "messages", "1/s", 0, "", inRules, "words to the group and their answers", ""), figures{
		Rest: fixed(b.groupMessages(b.p.PollsAtRest)), Burst: fixed(b.groupMessages(b.p.PollsWhileChanging)), Apart: fixed(2 * 1000 / b.p.GroupRetryInterval)})
	own := b.control("router.cpu.followers", b.followerCount)
	b.add(newLine("follower", "processor", "core", b.t.Control.Core, budgetCore, inRules, "a router's or server's part in the group's rules, a router without servers as measured", ""),
		figures{Rest: own, Apart: asAtRest(own)})
	talk := sum(b.control("router.bytes_in.followers", b.followerCount), b.control("router.bytes_out.followers", b.followerCount))
	b.add(newLine("follower", "bytes, in and out", "KB/s", b.t.Control.Bytes, budgetBytes, inRules, "words that bring no news", ""), figures{Rest: talk, Apart: asAtRest(talk)})
}

// leader has the lines of the member that leads, but those of changes.
func (b *lineBuilder) leader() {
	b.add(newLine("leader", "state: processes that are registered", "", b.p.MaxProcesses, "configstore.MaxProcesses", inBook,
		"servers and routers; a zone that was off for under a lease comes back beside its old starts, which haven't lapsed",
		"a process beyond the bound can't register: it begins nothing exclusive"), figures{
		Rest: counted(b.followerCount), ZoneBack: counted(b.followerCount * (1 + 1/b.t.Zones))})
	b.add(newLine("leader", "messages", "1/s", 0, "", inMember, "words of followers and their answers, heartbeats", ""), figures{
		Rest: func(s float64) Estimate {
			return assumed(b.followerCount*s*b.groupMessages(b.p.PollsAtRest) + 2*(b.members()-1)*1000/b.t.Assumed.Tick)
		},
		Burst: func(s float64) Estimate {
			return assumed(b.followerCount*s*b.groupMessages(b.p.PollsWhileChanging) + 2*(b.members()-1)*1000/b.t.Assumed.Tick)
		},
	})
	leads := b.series("leader.cpu.followers", b.followerCount*b.rateFactor("leader.cpu.followers"))
	b.add(newLine("leader", "processor", "core", 1, "a core of its machine", inMember,
		"in a burst also by assumed.burst_changes_per_s, as many times what was measured as there are more followers; a zone coming back: its processes register within a minute", ""), figures{
		Rest: leads, Apart: asAtRest(leads),
		Burst:    sum(leads, b.increase("leader.cpu.changes", 3600*b.t.Assumed.BurstChanges, 0, b.followerCount)),
		ZoneBack: sum(leads, b.increase("leader.cpu.restarts", b.followerCount/b.t.Zones, 0, 0))})
	b.add(newLine("leader", "time to share the cells out, in one go", "ms", b.p.ElectionTicks*b.t.Assumed.Tick, "member.electionTicks × assumed.tick_ms", "internal/policy/quota, internal/controlplane/quorum/member",
		b.either("as a map comes, or a time in it", "each second")+", with routers that have most_routers: what there is, by the map, and who gets what; nothing else is done meanwhile",
		"the other members hear nothing for an election's time and elect another leader, which does the same"),
		always(sum(b.series("leader.wholes.tenants", b.entries), b.series("leader.targets.tenants", b.entries))))
	b.add(newLine("leader", "memory", "MB", 0, "", inMember, "resident", ""), always(b.series("leader.resident.followers", b.followerCount)))
	var starts figure // of one text nothing is reckoned
	said := b.series("leader.bytes_out.followers", b.followerCount*b.rateFactor("leader.bytes_out.followers"))
	if b.p.inParts() {
		starts = sum(said, func(s float64) Estimate {
			return assumed(b.partsMessageSize(s) * (b.followerCount - b.t.Servers) / b.t.Zones * s / (b.p.RequestSpread / 1000) / kb)
		})
	}
	b.add(newLine("leader", "bytes out", "KB/s", b.t.Assumed.MachineBytes, "assumed.machine_kb_per_s", inMember,
		b.either("in a burst also the changed tenant's part to each router; a zone coming back: the whole map to each of its routers, within the two seconds in which they draw their moments",
			"in a burst also the whole map to each router"), ""), figures{
		Rest: said,
		Burst: sum(said, func(s float64) Estimate {
			return assumed(b.changeMessageSize(s) * (b.followerCount - b.t.Servers) * s * b.t.Assumed.BurstChanges / kb)
		}),
		ZoneBack: starts,
	})
	b.add(costing(newLine("leader", "entries of its log in the hour apart", "", b.p.CompactAfterEntries, "member.compactEvery", inBook,
		"changes_per_day for day.regions_apart_s: each is put, said to be held by each router, and advanced"+b.either("; routers that say so at one time share an entry, which is not reckoned", ""), ""),
		"the members of the other side are brought up by a snapshot"+b.either(", in chunks", ", which has to fit one word")), figures{
		Rest: unmeasured, Peak: unmeasured, Burst: unmeasured, ZoneBack: unmeasured, Apart: func(s float64) Estimate {
			return assumed(b.t.Changes * s / 86400 * b.t.Day.Apart * (b.routers*s + 2))
		}})
	b.add(newLine("leader", "syncs of its disk", "1/s", 0, "", "internal/controlplane/quorum/member, bbolt", "in a burst as many times what was measured as there are more followers", ""), figures{
		Rest: b.series("leader.syncs.followers", b.followerCount), Burst: b.increase("member.syncs.changes", 3600*b.t.Assumed.BurstChanges, 0, b.followerCount)})
}

// leaderChanges has the lines of the member that leads that go with changes and connections.
func (b *lineBuilder) leaderChanges() {
	for _, doc := range []string{"routing", "map"} {
		for _, q := range []string{"p50", "p99", "worst"} {
			budget, of := 0.0, ""
			if q == "worst" {
				budget, of = 1000*b.t.InForce, "in_force_s"
			}
			force := b.series("leader.force_"+q+".followers."+doc, b.followerCount)
			b.add(newLine("leader", "a change of "+doc+" in force everywhere, "+q, "ms", budget, of, inBook, "by followers; of a small document", ""),
				figures{Rest: force, Burst: unmeasured, ZoneBack: unmeasured, Apart: unmeasured})
		}
	}
	b.add(newLine("leader", "a change of routing in force everywhere, worst, regions far apart", "ms", 1000*b.t.InForce, "in_force_s", inBook,
		"with assumed.region_delay_ms on the way of each word of a follower", ""),
		figures{Rest: func(float64) Estimate { return b.r.At("leader.force_worst.delay.routing", b.t.Assumed.RegionDelay) }, Burst: unmeasured, ZoneBack: unmeasured, Apart: unmeasured})
	b.add(newLine("leader", "a map's change until it holds", "ms", 1000*b.t.InForce, "in_force_s", "internal/policy/cells", "announced two of assumed.map_lease_ms and the skew ahead", ""),
		always(fixed(2*b.t.Assumed.MapLease+b.t.Assumed.MapSkew)))
	conns := func(s float64) float64 { return b.followerCount*s + b.members() + 1 }
	b.add(costing(newLine("leader", "descriptors: connections", "", b.p.MaxMemberConnections, "member.memberMost", inMember+", internal/transport/listener", "one of each follower, members and owners", ""),
		"connections that idled longest give way, and words need new ones"), always(func(s float64) Estimate { return assumed(conns(s)) }))
	made := func(times float64) figure {
		return func(s float64) Estimate {
			if b.p.MaxMemberConnections == 0 || conns(s) <= b.p.MaxMemberConnections {
				return assumed(0)
			}
			return assumed(b.followerCount * s * times / b.lease)
		}
	}
	opened := func(s float64) Estimate {
		e := b.r.At("leader.opened.followers", b.followerCount*b.rateFactor("leader.opened.followers")*s)
		if e.Basis == NotMeasured || e.Off != 0 { // it begins where the places end, which no slope has
			return made(b.p.PollsAtRest)(s)
		}
		return e
	}
	b.add(newLine("leader", "connections made for words", "1/s", b.p.MaxMemberConnections/b.p.IdleGrace*1000, "member.memberMost over front.idleGrace", inMember+", internal/transport/listener",
		"where it has not a place for each follower, and a place is given up once it idled for 100 ms",
		"followers wait for a place, and begin nothing exclusive once a lease is over"), figures{Rest: opened, Burst: made(b.p.PollsWhileChanging)})
}

// member has the lines of a member that doesn't lead.
func (b *lineBuilder) member() {
	b.add(newLine("member", "processor", "core", 1, "a core of its machine", inMember, "of a member that doesn't lead", ""), always(b.series("member.cpu.followers", b.followerCount*b.rateFactor("member.cpu.followers"))))
	b.add(newLine("member", "messages", "1/s", 0, "", inMember, "heartbeats and their answers", ""), always(fixed(2*1000/b.t.Assumed.Tick)))

	b.add(newLine("member", "state: processes that are registered", "", 0, "", inBook, "as the leader's, by the log", ""), always(counted(b.followerCount)))
	b.add(newLine("member", "memory", "MB", 0, "", inMember, "of a member that doesn't lead", ""), always(unmeasured))
	b.add(newLine("member", "bytes, in and out", "KB/s", 0, "", inMember, "of a member that doesn't lead", ""), always(unmeasured))
	b.add(newLine("member", "descriptors: connections", "", 0, "", inMember, "to and from each other member", ""), always(fixed(2*(b.members()-1))))
}

// snapshot has the line of a snapshot of the group.
func (b *lineBuilder) snapshot() {
	if b.p.inParts() {
		b.add(newLine("leader", "bytes of a snapshot of the group", "KB", b.p.MaxSnapshotSize/kb, "member.longestSnapshot", "internal/controlplane/quorum/member, internal/policy/statemachine",
			"the map in force once, each process that is registered, and in a burst a change of one tenant",
			"a member that fell behind, or a new one, can't be brought up: group.snapshot_unsent"), figures{
			Rest: func(s float64) Estimate {
				return assumed((b.partsMessageSize(s) + b.followerCount*s*b.p.ProcessMessageSize) / kb)
			},
			Burst: func(s float64) Estimate {
				return assumed((b.partsMessageSize(s) + b.changeMessageSize(s) + b.followerCount*s*b.p.ProcessMessageSize) / kb)
			},
		})
	} else {
		b.add(newLine("leader", "bytes of a snapshot of the group", "KB", (b.p.MaxCallBody-b.p.RequestOverhead)/kb, "msgpackrpc.LongestWord less member.roomForRest", "internal/controlplane/quorum/member, internal/policy/statemachine",
			fmt.Sprintf("the map in force and %.0f before it, and each process that is registered, where that was measured", b.p.MaxHistory),
			"a member that fell behind, or a new one, can't be brought up: group.word_too_long"), always(func(s float64) Estimate {
			e := assumed((1 + b.p.MaxHistory) * b.mapMessageSize(s) / kb)
			if users := b.r.At("member.snapshot_size.followers", b.followerCount*s); users.Basis != NotMeasured {
				e = e.plus(users)
			}
			return e
		}))
	}
}
