package capacity

import (
	"math"
)

// addRouterLines adds the lines of a router, except those of addRouterMapLines. probesCPU is the processor time of its health checks.
func (b *lineBuilder) addRouterLines(probesCPU estimateFunc) {
	b.add(newLine("router", "state: entries of servers and tenants", "", 0, "", pkgsRouting, "the map and a table of servers; counted", ""), inAllConditions(scaled(b.target.Servers+b.entries)))
	b.add(newLine("router", "messages", "1/s", 0, "", pkgsHealthChecks+", "+pkgsConfigSync, "a probe of each server and its answer each assumed.probe_ms, words to the group", ""), conditionFuncs{
		Rest: func(s float64) Estimate {
			return assumed(2*b.target.Servers*s*b.probesPerSecond + b.groupMessages(b.limits.PollsAtRest))
		},
		Burst: func(s float64) Estimate {
			return assumed(2*b.target.Servers*s*b.probesPerSecond + b.groupMessages(b.limits.PollsWhileChanging))
		},
		Partitioned: func(s float64) Estimate {
			return assumed(2*b.target.Servers*s*b.probesPerSecond + 2*1000/b.limits.GroupRetryInterval)
		},
	})
	totalCPU := b.series("router.cpu.servers", b.target.Servers*b.rateFactor("router.cpu.servers"))
	b.add(newLine("router", "processor, health checks", "core", b.target.Control.Cores, budgetCore, pkgsRouting, "of all servers; apart: as at rest, what nobody answers costs a wait", ""),
		conditionFuncs{Rest: probesCPU, Partitioned: assumedAsAtRest(probesCPU)})
	b.add(newLine("router", "processor, health checks, of a whole core", "core", 1, "a core: GOMAXPROCS is 1", pkgsRouting, "the same figure against all that a router has",
		"a router does nothing but health checks"), conditionFuncs{Rest: totalCPU, Partitioned: assumedAsAtRest(totalCPU)})
	b.add(newLine("router", "processor, the map from a file", "core", b.target.Control.Cores, budgetCore, "internal/proxy, internal/settings",
		b.byPartsMode("looked at each third of the map's lease, and read where it has changed", "read again each third of the map's lease"), ""),
		inAllConditions(b.costScaledSeries("router.cpu.tenants.file", b.entries)))
	b.add(newLine("router", "processor, requests", "core", b.target.Assumed.Utilisation, "assumed.utilisation", "internal/core, "+pkgsRouting, "its part of the peak, a zone lost; by requests with few tenants, "+b.routeNote(), ""),
		conditionFuncs{Rest: unmeasured, Peak: sum(b.series("router.cpu.requests", b.requestsPerRouter), func(s float64) Estimate { return b.routeTime(s).scale(b.requestsPerRouter / 1e6) }), Burst: unmeasured, ZoneRecovering: unmeasured, Partitioned: unmeasured})
}

// addRouterMapLines adds the lines of a router that depend on new maps, memory, connections and requests.
func (b *lineBuilder) addRouterMapLines() {
	checkTime := sum(b.series("router.parse.tenants", b.entries), b.series("router.follows.tenants", b.entries))
	b.add(newLine("router", "time to check a new map", "ms", 1000*b.target.InForceWithin, "in_force_s", "internal/settings, internal/policy/cells",
		"read, and whether it may follow the one in force: the decision's own time, a part of each change's way"+b.byPartsMode("; of a whole map, from a file: from the group only changed parts are read", ""), ""), inAllConditions(checkTime))
	checkCPU := func(changesPerSecond float64) estimateFunc {
		return func(s float64) Estimate { return checkTime(s).scale(changesPerSecond * s / 1000) }
	}
	b.add(newLine("router", "processor, checking new maps", "core", b.target.Control.Cores, budgetCore, "internal/settings, internal/policy/cells", b.byPartsMode("of a whole map, from a file, once", "once")+" for each of changes_per_day; in a burst assumed.burst_changes_per_s", ""),
		conditionFuncs{Rest: checkCPU(b.target.Changes / 86400), Burst: checkCPU(b.target.Assumed.BurstChanges)})
	b.add(newLine("router", "memory, by servers", "MB", b.target.Control.Memory, budgetMemory, pkgsRouting, "resident", ""), inAllConditions(b.controlSeries("router.resident.servers", b.target.Servers)))
	b.add(newLine("router", "memory, by tenants", "MB", b.target.Control.Memory, budgetMemory, "internal/proxy, internal/policy/cells", "resident, the map from a file", ""),
		inAllConditions(b.controlSeries("router.resident.tenants.file", b.entries)))
	b.add(newLine("router", "memory, by tenants, the map from the group", "MB", b.target.Control.Memory, budgetMemory, "internal/proxy, internal/controlplane/configwatch", "resident", ""),
		inAllConditions(b.controlSeries("router.resident.tenants.group", b.entries)))
	b.add(newLine("router", "bytes, in and out, health checks", "KB/s", b.target.Control.Bandwidth, budgetBytes, pkgsRouting, "", ""),
		inAllConditions(sum(b.rateScaledSeries("router.bytes_in.servers", b.target.Servers), b.rateScaledSeries("router.bytes_out.servers", b.target.Servers))))
	changeBytes := func(changesPerSecond float64) estimateFunc {
		return func(s float64) Estimate { return assumed(b.changeMessageSize(s) * changesPerSecond * s / kb) }
	}
	b.add(newLine("router", "bytes in, the map with each change", "KB/s", b.target.Control.Bandwidth, budgetBytes, pkgsConfigSync,
		b.byPartsMode("the changed tenant's part", "the whole map")+" as a word has it, for each of changes_per_day, taken as spread evenly; in a burst assumed.burst_changes_per_s", ""),
		conditionFuncs{Rest: changeBytes(b.target.Changes / 86400), Burst: changeBytes(b.target.Assumed.BurstChanges)})
	if b.limits.hasParts() {
		b.add(newLine("router", "bytes in, the map as it starts", "KB", 0, "", pkgsConfigSync, "all parts", ""), inAllConditions(func(s float64) Estimate { return assumed(b.partsMessageSize(s) / kb) }))
		b.add(newLine("router", "askings for the map as it starts", "", 0, "", pkgsConfigSync, "for the manifest, and for parts by name, each answered with configstore.MaxPartsAnswerSize at most; the first at a moment drawn within two seconds", ""),
			inAllConditions(func(s float64) Estimate {
				return assumed(1 + math.Ceil(b.partsMessageSize(s)/b.limits.MaxPartsAnswerSize))
			}))
	}
	b.add(newLine("router", "descriptors: connections to servers", "", b.descriptorsForConnections()*b.limits.UpstreamShare, "2 of 5 of assumed.sockets less the spare ones", pkgsRouting+", internal/service",
		"one to each server while it has requests there", "servers beyond the bound get no connection: their sheets fail"), inAllConditions(scaled(b.target.Servers)))
	b.add(newLine("router", "connections made for health checks", "1/s", 0, "", pkgsRouting, "each check has its own", ""), inAllConditions(b.series("router.opened.servers", b.target.Servers*b.rateFactor("router.opened.servers"))))
	for _, quantile := range []struct {
		name         string
		budget       float64
		budgetSource string
	}{{"p50", 0, ""}, {"p99", b.target.AddedLatency, "added_p99_ms"}} {
		added := sum(b.series("router.added_"+quantile.name+".requests", b.requestsPerRouter), func(s float64) Estimate { return b.routeTime(s).scale(1.0 / 1000) })
		b.add(newLine("router", "time added to a request, "+quantile.name, "ms", quantile.budget, quantile.budgetSource, "internal/core, "+pkgsRouting, "at its part of the peak, a zone lost; by requests with few tenants, "+b.routeNote(), ""),
			conditionFuncs{Rest: unmeasured, Peak: added, Burst: unmeasured, ZoneRecovering: unmeasured, Partitioned: unmeasured})
	}
	b.add(newLine("router", "time until it is ready", "ms", 0, "", "internal/service", "by tenants in the map, from a file", ""), inAllConditions(b.series("router.ready.tenants.file", b.entries)))
}
