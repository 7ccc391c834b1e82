package capacity

import (
	"fmt"
)

// addFollowerLines adds the lines of a process that applies the group's documents.
func (b *lineBuilder) addFollowerLines() {
	b.add(newLine("follower", "state: documents", "", 0, "", pkgsConfigSync, "a router's: map, routing, classes; a server's: classes, pools", ""), inAllConditions(unscaled(3)))
	b.add(newLine("follower", "memory", "MB", 0, "", pkgsConfigSync, "in that of servers and routers", ""), inAllConditions(unmeasured))
	b.add(newLine("follower", "descriptors", "", 0, "", pkgsConfigSync, "a connection to the member that leads", ""), inAllConditions(unscaled(1)))
	b.add(newLine("follower", "messages", "1/s", 0, "", pkgsConfigSync, "words to the group and their answers", ""), conditionFuncs{
		Rest: unscaled(b.groupMessages(b.limits.PollsAtRest)), Burst: unscaled(b.groupMessages(b.limits.PollsWhileChanging)), Partitioned: unscaled(2 * 1000 / b.limits.GroupRetryInterval)})
	cpu := b.controlSeries("router.cpu.followers", b.followerCount)
	b.add(newLine("follower", "processor", "core", b.target.Control.Cores, budgetCore, pkgsConfigSync, "a router's or server's part in the group's rules, a router without servers as measured", ""),
		conditionFuncs{Rest: cpu, Partitioned: assumedAsAtRest(cpu)})
	traffic := sum(b.controlSeries("router.bytes_in.followers", b.followerCount), b.controlSeries("router.bytes_out.followers", b.followerCount))
	b.add(newLine("follower", "bytes, in and out", "KB/s", b.target.Control.Bandwidth, budgetBytes, pkgsConfigSync, "words that bring no news", ""), conditionFuncs{Rest: traffic, Partitioned: assumedAsAtRest(traffic)})
}

// addLeaderLines adds the lines of the leading member, except those of addLeaderChangesLines and addSnapshotLines.
func (b *lineBuilder) addLeaderLines() {
	b.add(newLine("leader", "state: processes that are registered", "", b.limits.MaxProcesses, "configstore.MaxProcesses", pkgsConfigStore,
		"servers and routers; a zone that was off for under a lease comes back beside its old starts, which haven't lapsed",
		"a process beyond the bound can't register: it begins nothing exclusive"), conditionFuncs{
		Rest: scaled(b.followerCount), ZoneRecovering: scaled(b.followerCount * (1 + 1/b.target.Zones))})
	b.add(newLine("leader", "messages", "1/s", 0, "", pkgsMember, "words of followers and their answers, heartbeats", ""), conditionFuncs{
		Rest: func(s float64) Estimate {
			return assumed(b.followerCount*s*b.groupMessages(b.limits.PollsAtRest) + 2*(b.members()-1)*1000/b.target.Assumed.HeartbeatInterval)
		},
		Burst: func(s float64) Estimate {
			return assumed(b.followerCount*s*b.groupMessages(b.limits.PollsWhileChanging) + 2*(b.members()-1)*1000/b.target.Assumed.HeartbeatInterval)
		},
	})
	cpu := b.series("leader.cpu.followers", b.followerCount*b.rateFactor("leader.cpu.followers"))
	b.add(newLine("leader", "processor", "core", 1, "a core of its machine", pkgsMember,
		"in a burst also by assumed.burst_changes_per_s, as many times what was measured as there are more followers; a zone coming back: its processes register within a minute", ""), conditionFuncs{
		Rest: cpu, Partitioned: assumedAsAtRest(cpu),
		Burst:          sum(cpu, b.increase("leader.cpu.changes", 3600*b.target.Assumed.BurstChanges, 0, b.followerCount)),
		ZoneRecovering: sum(cpu, b.increase("leader.cpu.restarts", b.followerCount/b.target.Zones, 0, 0))})
	b.add(newLine("leader", "time to share the cells out, in one go", "ms", b.limits.ElectionTicks*b.target.Assumed.HeartbeatInterval, "member.electionTicks × assumed.tick_ms", "internal/policy/quota, internal/controlplane/quorum/member",
		b.byPartsMode("as a map comes, or a time in it", "each second")+", with routers that have most_routers: what there is, by the map, and who gets what; nothing else is done meanwhile",
		"the other members hear nothing for an election's time and elect another leader, which does the same"),
		inAllConditions(sum(b.series("leader.wholes.tenants", b.entries), b.series("leader.targets.tenants", b.entries))))
	b.add(newLine("leader", "memory", "MB", 0, "", pkgsMember, "resident", ""), inAllConditions(b.series("leader.resident.followers", b.followerCount)))
	var recoveryBytes estimateFunc // nil, as at rest, for a map as one document
	bytesOut := b.series("leader.bytes_out.followers", b.followerCount*b.rateFactor("leader.bytes_out.followers"))
	if b.limits.hasParts() {
		recoveryBytes = sum(bytesOut, func(s float64) Estimate {
			return assumed(b.partsMessageSize(s) * (b.followerCount - b.target.Servers) / b.target.Zones * s / (b.limits.RequestSpread / 1000) / kb)
		})
	}
	b.add(newLine("leader", "bytes out", "KB/s", b.target.Assumed.MachineBandwidth, "assumed.machine_kb_per_s", pkgsMember,
		b.byPartsMode("in a burst also the changed tenant's part to each router; a zone coming back: the whole map to each of its routers, within the two seconds in which they draw their moments",
			"in a burst also the whole map to each router"), ""), conditionFuncs{
		Rest: bytesOut,
		Burst: sum(bytesOut, func(s float64) Estimate {
			return assumed(b.changeMessageSize(s) * (b.followerCount - b.target.Servers) * s * b.target.Assumed.BurstChanges / kb)
		}),
		ZoneRecovering: recoveryBytes,
	})
	b.add(withCost(newLine("leader", "entries of its log in the hour apart", "", b.limits.CompactAfterEntries, "member.compactEvery", pkgsConfigStore,
		"changes_per_day for day.regions_apart_s: each is put, said to be held by each router, and advanced"+b.byPartsMode("; routers that say so at one time share an entry, which is not reckoned", ""), ""),
		"the members of the other side are brought up by a snapshot"+b.byPartsMode(", in chunks", ", which has to fit one word")), conditionFuncs{
		Rest: unmeasured, Peak: unmeasured, Burst: unmeasured, ZoneRecovering: unmeasured, Partitioned: func(s float64) Estimate {
			return assumed(b.target.Changes * s / 86400 * b.target.Failures.PartitionDuration * (b.routers*s + 2))
		}})
	b.add(newLine("leader", "syncs of its disk", "1/s", 0, "", "internal/controlplane/quorum/member, bbolt", "in a burst as many times what was measured as there are more followers", ""), conditionFuncs{
		Rest: b.series("leader.syncs.followers", b.followerCount), Burst: b.increase("member.syncs.changes", 3600*b.target.Assumed.BurstChanges, 0, b.followerCount)})
}

// addLeaderChangesLines adds the lines of the leading member that depend on document changes and connections.
func (b *lineBuilder) addLeaderChangesLines() {
	for _, doc := range []string{"routing", "map"} {
		for _, quantile := range []string{"p50", "p99", "worst"} {
			budget, budgetSource := 0.0, ""
			if quantile == "worst" {
				budget, budgetSource = 1000*b.target.InForceWithin, "in_force_s"
			}
			activation := b.series("leader.force_"+quantile+".followers."+doc, b.followerCount)
			b.add(newLine("leader", "a change of "+doc+" in force everywhere, "+quantile, "ms", budget, budgetSource, pkgsConfigStore, "by followers; of a small document", ""),
				conditionFuncs{Rest: activation, Burst: unmeasured, ZoneRecovering: unmeasured, Partitioned: unmeasured})
		}
	}
	b.add(newLine("leader", "a change of routing in force everywhere, worst, regions far apart", "ms", 1000*b.target.InForceWithin, "in_force_s", pkgsConfigStore,
		"with assumed.region_delay_ms on the way of each word of a follower", ""),
		conditionFuncs{Rest: func(float64) Estimate {
			return b.results.At("leader.force_worst.delay.routing", b.target.Assumed.RegionDelay)
		}, Burst: unmeasured, ZoneRecovering: unmeasured, Partitioned: unmeasured})
	b.add(newLine("leader", "a map's change until it holds", "ms", 1000*b.target.InForceWithin, "in_force_s", "internal/policy/cells", "announced two of assumed.map_lease_ms and the skew ahead", ""),
		inAllConditions(unscaled(2*b.target.Assumed.MapLease+b.target.Assumed.MapSkew)))
	connections := func(s float64) float64 { return b.followerCount*s + b.members() + 1 }
	b.add(withCost(newLine("leader", "descriptors: connections", "", b.limits.MaxMemberConnections, "member.memberMost", pkgsMember+", internal/transport/listener", "one of each follower, members and owners", ""),
		"connections that idled longest give way, and words need new ones"), inAllConditions(func(s float64) Estimate { return assumed(connections(s)) }))
	reconnects := func(pollsPerLease float64) estimateFunc {
		return func(s float64) Estimate {
			if b.limits.MaxMemberConnections == 0 || connections(s) <= b.limits.MaxMemberConnections {
				return assumed(0)
			}
			return assumed(b.followerCount * s * pollsPerLease / b.lease)
		}
	}
	opened := func(s float64) Estimate {
		e := b.results.At("leader.opened.followers", b.followerCount*b.rateFactor("leader.opened.followers")*s)
		if e.Basis == NotMeasured || e.RelativeError != 0 { // reconnects start at the connection limit, which a linear fit does not show
			return reconnects(b.limits.PollsAtRest)(s)
		}
		return e
	}
	b.add(newLine("leader", "connections made for words", "1/s", b.limits.MaxMemberConnections/b.limits.IdleGrace*1000, "member.memberMost over front.idleGrace", pkgsMember+", internal/transport/listener",
		"where it has not a place for each follower, and a place is given up once it idled for 100 ms",
		"followers wait for a place, and begin nothing exclusive once a lease is over"), conditionFuncs{Rest: opened, Burst: reconnects(b.limits.PollsWhileChanging)})
}

// addMemberLines adds the lines of a member that does not lead.
func (b *lineBuilder) addMemberLines() {
	b.add(newLine("member", "processor", "core", 1, "a core of its machine", pkgsMember, "of a member that doesn't lead", ""), inAllConditions(b.series("member.cpu.followers", b.followerCount*b.rateFactor("member.cpu.followers"))))
	b.add(newLine("member", "messages", "1/s", 0, "", pkgsMember, "heartbeats and their answers", ""), inAllConditions(unscaled(2*1000/b.target.Assumed.HeartbeatInterval)))

	b.add(newLine("member", "state: processes that are registered", "", 0, "", pkgsConfigStore, "as the leader's, by the log", ""), inAllConditions(scaled(b.followerCount)))
	b.add(newLine("member", "memory", "MB", 0, "", pkgsMember, "of a member that doesn't lead", ""), inAllConditions(unmeasured))
	b.add(newLine("member", "bytes, in and out", "KB/s", 0, "", pkgsMember, "of a member that doesn't lead", ""), inAllConditions(unmeasured))
	b.add(newLine("member", "descriptors: connections", "", 0, "", pkgsMember, "to and from each other member", ""), inAllConditions(unscaled(2*(b.members()-1))))
}

// addSnapshotLines adds the line of the size of a group snapshot.
func (b *lineBuilder) addSnapshotLines() {
	if b.limits.hasParts() {
		b.add(newLine("leader", "bytes of a snapshot of the group", "KB", b.limits.MaxSnapshotSize/kb, "member.longestSnapshot", "internal/controlplane/quorum/member, internal/policy/statemachine",
			"the map in force once, each process that is registered, and in a burst a change of one tenant",
			"a member that fell behind, or a new one, can't be brought up: group.snapshot_unsent"), conditionFuncs{
			Rest: func(s float64) Estimate {
				return assumed((b.partsMessageSize(s) + b.followerCount*s*b.limits.ProcessMessageSize) / kb)
			},
			Burst: func(s float64) Estimate {
				return assumed((b.partsMessageSize(s) + b.changeMessageSize(s) + b.followerCount*s*b.limits.ProcessMessageSize) / kb)
			},
		})
	} else {
		b.add(newLine("leader", "bytes of a snapshot of the group", "KB", (b.limits.MaxCallBody-b.limits.RequestOverhead)/kb, "msgpackrpc.LongestWord less member.roomForRest", "internal/controlplane/quorum/member, internal/policy/statemachine",
			fmt.Sprintf("the map in force and %.0f before it, and each process that is registered, where that was measured", b.limits.MaxHistory),
			"a member that fell behind, or a new one, can't be brought up: group.word_too_long"), inAllConditions(func(s float64) Estimate {
			e := assumed((1 + b.limits.MaxHistory) * b.mapMessageSize(s) / kb)
			if processes := b.results.At("member.snapshot_size.followers", b.followerCount*s); processes.Basis != NotMeasured {
				e = e.add(processes)
			}
			return e
		}))
	}
}
