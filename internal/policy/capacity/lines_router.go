package capacity

import (
	"math"
)

// router has the lines of a router, but those of new maps and requests; probes is the processor that its health checks take.
func (b *lineBuilder) router(probes figure) {
	b.add(newLine("router", "state: entries of servers and tenants", "", 0, "", inFleet, "the map and a table of servers; counted", ""), always(counted(b.t.Servers+b.entries)))
	b.add(newLine("router", "messages", "1/s", 0, "", inProbes+", "+inRules, "a probe of each server and its answer each assumed.probe_ms, words to the group", ""), figures{
		Rest: func(s float64) Estimate {
			return assumed(2*b.t.Servers*s*b.probesPerSecond + b.groupMessages(b.p.PollsAtRest))
		},
		Burst: func(s float64) Estimate {
			return assumed(2*b.t.Servers*s*b.probesPerSecond + b.groupMessages(b.p.PollsWhileChanging))
		},
		Apart: func(s float64) Estimate {
			return assumed(2*b.t.Servers*s*b.probesPerSecond + 2*1000/b.p.GroupRetryInterval)
		},
	})
	whole := b.series("router.cpu.servers", b.t.Servers*b.rateFactor("router.cpu.servers"))
	b.add(newLine("router", "processor, health checks", "core", b.t.Control.Core, budgetCore, inFleet, "of all servers; apart: as at rest, what nobody answers costs a wait", ""),
		figures{Rest: probes, Apart: asAtRest(probes)})
	b.add(newLine("router", "processor, health checks, of a whole core", "core", 1, "a core: GOMAXPROCS is 1", inFleet, "the same figure against all that a router has",
		"a router does nothing but health checks"), figures{Rest: whole, Apart: asAtRest(whole)})
	b.add(newLine("router", "processor, the map from a file", "core", b.t.Control.Core, budgetCore, "internal/proxy, internal/settings",
		b.either("looked at each third of the map's lease, and read where it has changed", "read again each third of the map's lease"), ""),
		always(b.repeated("router.cpu.tenants.file", b.entries)))
	b.add(newLine("router", "processor, requests", "core", b.t.Assumed.Utilisation, "assumed.utilisation", "internal/core, "+inFleet, "its part of the peak, a zone lost; by requests with few tenants, "+b.routeNote(), ""),
		figures{Rest: unmeasured, Peak: sum(b.series("router.cpu.requests", b.each), func(s float64) Estimate { return b.route(s).times(b.each / 1e6) }), Burst: unmeasured, ZoneBack: unmeasured, Apart: unmeasured})
}

// routerMap has the lines of a router that go with new maps, memory, connections and requests.
func (b *lineBuilder) routerMap() {
	check := sum(b.series("router.parse.tenants", b.entries), b.series("router.follows.tenants", b.entries))
	b.add(newLine("router", "time to check a new map", "ms", 1000*b.t.InForce, "in_force_s", "internal/settings, internal/policy/cells",
		"read, and whether it may follow the one in force: the decision's own time, a part of each change's way"+b.either("; of a whole map, from a file: from the group only changed parts are read", ""), ""), always(check))
	perCheck := func(changesPerSecond float64) figure {
		return func(s float64) Estimate { return check(s).times(changesPerSecond * s / 1000) }
	}
	b.add(newLine("router", "processor, checking new maps", "core", b.t.Control.Core, budgetCore, "internal/settings, internal/policy/cells", b.either("of a whole map, from a file, once", "once")+" for each of changes_per_day; in a burst assumed.burst_changes_per_s", ""),
		figures{Rest: perCheck(b.t.Changes / 86400), Burst: perCheck(b.t.Assumed.BurstChanges)})
	b.add(newLine("router", "memory, by servers", "MB", b.t.Control.Memory, budgetMemory, inFleet, "resident", ""), always(b.control("router.resident.servers", b.t.Servers)))
	b.add(newLine("router", "memory, by tenants", "MB", b.t.Control.Memory, budgetMemory, "internal/proxy, internal/policy/cells", "resident, the map from a file", ""),
		always(b.control("router.resident.tenants.file", b.entries)))
	b.add(newLine("router", "memory, by tenants, the map from the group", "MB", b.t.Control.Memory, budgetMemory, "internal/proxy, internal/controlplane/configwatch", "resident", ""),
		always(b.control("router.resident.tenants.group", b.entries)))
	b.add(newLine("router", "bytes, in and out, health checks", "KB/s", b.t.Control.Bytes, budgetBytes, inFleet, "", ""),
		always(sum(b.paced("router.bytes_in.servers", b.t.Servers), b.paced("router.bytes_out.servers", b.t.Servers))))
	perMap := func(changes float64) figure {
		return func(s float64) Estimate { return assumed(b.changeMessageSize(s) * changes * s / kb) }
	}
	b.add(newLine("router", "bytes in, the map with each change", "KB/s", b.t.Control.Bytes, budgetBytes, inRules,
		b.either("the changed tenant's part", "the whole map")+" as a word has it, for each of changes_per_day, taken as spread evenly; in a burst assumed.burst_changes_per_s", ""),
		figures{Rest: perMap(b.t.Changes / 86400), Burst: perMap(b.t.Assumed.BurstChanges)})
	if b.p.inParts() {
		b.add(newLine("router", "bytes in, the map as it starts", "KB", 0, "", inRules, "all parts", ""), always(func(s float64) Estimate { return assumed(b.partsMessageSize(s) / kb) }))
		b.add(newLine("router", "askings for the map as it starts", "", 0, "", inRules, "for the manifest, and for parts by name, each answered with configstore.MaxPartsAnswerSize at most; the first at a moment drawn within two seconds", ""),
			always(func(s float64) Estimate { return assumed(1 + math.Ceil(b.partsMessageSize(s)/b.p.MaxPartsAnswerSize)) }))
	}
	b.add(newLine("router", "descriptors: connections to servers", "", b.descriptorsForConnections()*b.p.UpstreamShare, "2 of 5 of assumed.sockets less the spare ones", inFleet+", internal/service",
		"one to each server while it has requests there", "servers beyond the bound get no connection: their sheets fail"), always(counted(b.t.Servers)))
	b.add(newLine("router", "connections made for health checks", "1/s", 0, "", inFleet, "each check has its own", ""), always(b.series("router.opened.servers", b.t.Servers*b.rateFactor("router.opened.servers"))))
	for _, q := range []struct {
		name   string
		budget float64
		of     string
	}{{"p50", 0, ""}, {"p99", b.t.Added, "added_p99_ms"}} {
		added := sum(b.series("router.added_"+q.name+".requests", b.each), func(s float64) Estimate { return b.route(s).times(1.0 / 1000) })
		b.add(newLine("router", "time added to a request, "+q.name, "ms", q.budget, q.of, "internal/core, "+inFleet, "at its part of the peak, a zone lost; by requests with few tenants, "+b.routeNote(), ""),
			figures{Rest: unmeasured, Peak: added, Burst: unmeasured, ZoneBack: unmeasured, Apart: unmeasured})
	}
	b.add(newLine("router", "time until it is ready", "ms", 0, "", "internal/service", "by tenants in the map, from a file", ""), always(b.series("router.ready.tenants.file", b.entries)))
}
