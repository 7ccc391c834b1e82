package capacity

import (
	"strings"
)

// addServerLines adds the lines of a server. Every process that picks among servers probes it.
func (b *lineBuilder) addServerLines() {
	probesCPU := b.rateScaledSeries("server.cpu.callers", b.probers)
	b.add(newLine("server", "state: callers it knows", "", b.limits.MaxCallers, "slowstart.maxCallers", "internal/policy/slowstart",
		"who picks among servers has an entry at each; counted", "callers beyond the bound get no part of a cold server"), inAllConditions(scaled(b.probers)))
	b.add(newLine("server", "messages", "1/s", 0, "", pkgsHealthChecks+", "+pkgsConfigSync+", "+pkgsLoadReport,
		"probes and their answers each assumed.probe_ms, words to the group, reports to the announce service; apart: the group is asked again each 100 ms", ""), conditionFuncs{
		Rest: func(s float64) Estimate {
			return assumed(2*b.probers*s*b.probesPerSecond + b.groupMessages(b.limits.PollsAtRest) + 1000/b.limits.ReportInterval)
		},
		Burst: func(s float64) Estimate {
			return assumed(2*b.probers*s*b.probesPerSecond + b.groupMessages(b.limits.PollsWhileChanging) + 1000/b.limits.ReportInterval)
		},
		Partitioned: func(s float64) Estimate {
			return assumed(2*b.probers*s*b.probesPerSecond + 2*1000/b.limits.GroupRetryInterval + 1000/b.limits.ReportInterval)
		},
	})
	b.add(newLine("server", "processor, health checks", "core", b.target.Control.Cores, budgetCore, pkgsHealthChecks,
		"by who picks among servers; a zone coming back: cold, each has a part of it, by the decision's own time; apart: as at rest, the other side's don't come", ""), conditionFuncs{
		Rest: probesCPU, Partitioned: assumedAsAtRest(probesCPU), ZoneRecovering: sum(probesCPU, func(s float64) Estimate {
			return b.results.At("server.round.callers", b.probers*s).scale(1 / b.target.Assumed.ProbeInterval)
		})})
	b.add(newLine("server", "memory", "MB", b.target.Control.Memory, budgetMemory, pkgsHealthChecks, "resident, by who picks among servers", ""), inAllConditions(b.controlSeries("server.resident.callers", b.probers)))
	in, out := b.rateScaledSeries("server.bytes_in.callers", b.probers), b.rateScaledSeries("server.bytes_out.callers", b.probers)
	b.add(newLine("server", "bytes, in and out", "KB/s", b.target.Control.Bandwidth, budgetBytes, pkgsHealthChecks, "health checks alone", ""), conditionFuncs{
		Rest: sum(in, out), Partitioned: assumedAsAtRest(sum(in, out))})
	b.add(withCost(newLine("server", "descriptors: connections of who picks", "", b.descriptorsForConnections()*b.limits.CallerShare, "3 of 5 of assumed.sockets less the spare ones", pkgsConnections,
		"each keeps one for requests; a health check has one of its own for its time, which isn't counted here", ""),
		"connections that idle give way, and are made anew for each request"), inAllConditions(scaled(b.probers)))
}

// addCallerLines adds the lines of a process that sends requests.
func (b *lineBuilder) addCallerLines(probesCPU estimateFunc) {
	b.add(newLine("caller", "state: whom it knows", "", 0, "", "not this program's", "all routers, or all servers where it picks among these; counted", ""), inAllConditions(scaled(b.callerTargets())))
	b.add(newLine("caller", "descriptors", "", 0, "", "not this program's", "assumed.caller_connections, or one to each server where it picks among these", ""), inAllConditions(b.callerConnections()))
	if b.target.Readings.CallersPickServers {
		b.add(newLine("caller", "processor, health checks", "core", 0, "", pkgsRouting, "as a router's: what picks among servers probes them", ""), inAllConditions(probesCPU))
	}

	for _, f := range []string{"processor, core", "memory, MB", "bytes, KB/s"} {
		name, unit, _ := strings.Cut(f, ", ")
		b.add(newLine("caller", name, unit, 0, "", "not this program's", "its own service's", ""), inAllConditions(unmeasured))
	}
}

// addAnnounceLines adds the lines of the load reports by which callers discover servers.
func (b *lineBuilder) addAnnounceLines() {
	b.add(newLine("announce", "messages", "1/s", 0, "", pkgsLoadReport, "five reports a second of each server, as the service hears them", ""), inAllConditions(scaled(b.target.Servers*1000/b.limits.ReportInterval)))
	b.add(newLine("announce", "bytes", "KB/s", 0, "", pkgsLoadReport, "a datagram of 28 bytes of headers, 14 of words and a name of 11", ""), inAllConditions(scaled(b.target.Servers*1000/b.limits.ReportInterval*(28+b.limits.ReportSize+11)/kb)))
}
