package capacity

import (
	"strings"
)

// server has the lines of a server. Its probes come from all who pick among servers.
func (b *lineBuilder) server() {
	probed := b.paced("server.cpu.callers", b.probers)
	b.add(newLine("server", "state: callers it knows", "", b.p.MaxCallers, "slowstart.maxCallers", "internal/policy/slowstart",
		"who picks among servers has an entry at each; counted", "callers beyond the bound get no part of a cold server"), always(counted(b.probers)))
	b.add(newLine("server", "messages", "1/s", 0, "", inProbes+", "+inRules+", "+inReports,
		"probes and their answers each assumed.probe_ms, words to the group, reports to the announce service; apart: the group is asked again each 100 ms", ""), figures{
		Rest: func(s float64) Estimate {
			return assumed(2*b.probers*s*b.probesPerSecond + b.groupMessages(b.p.PollsAtRest) + 1000/b.p.ReportInterval)
		},
		Burst: func(s float64) Estimate {
			return assumed(2*b.probers*s*b.probesPerSecond + b.groupMessages(b.p.PollsWhileChanging) + 1000/b.p.ReportInterval)
		},
		Apart: func(s float64) Estimate {
			return assumed(2*b.probers*s*b.probesPerSecond + 2*1000/b.p.GroupRetryInterval + 1000/b.p.ReportInterval)
		},
	})
	b.add(newLine("server", "processor, health checks", "core", b.t.Control.Core, budgetCore, inProbes,
		"by who picks among servers; a zone coming back: cold, each has a part of it, by the decision's own time; apart: as at rest, the other side's don't come", ""), figures{
		Rest: probed, Apart: asAtRest(probed), ZoneBack: sum(probed, func(s float64) Estimate {
			return b.r.At("server.round.callers", b.probers*s).times(1 / b.t.Assumed.Probe)
		})})
	b.add(newLine("server", "memory", "MB", b.t.Control.Memory, budgetMemory, inProbes, "resident, by who picks among servers", ""), always(b.control("server.resident.callers", b.probers)))
	in, out := b.paced("server.bytes_in.callers", b.probers), b.paced("server.bytes_out.callers", b.probers)
	b.add(newLine("server", "bytes, in and out", "KB/s", b.t.Control.Bytes, budgetBytes, inProbes, "health checks alone", ""), figures{
		Rest: sum(in, out), Apart: asAtRest(sum(in, out))})
	b.add(costing(newLine("server", "descriptors: connections of who picks", "", b.descriptorsForConnections()*b.p.CallerShare, "3 of 5 of assumed.sockets less the spare ones", inBudget,
		"each keeps one for requests; a health check has one of its own for its time, which isn't counted here", ""),
		"connections that idle give way, and are made anew for each request"), always(counted(b.probers)))
}

// caller has the lines of a process that sends requests.
func (b *lineBuilder) caller(probes figure) {
	b.add(newLine("caller", "state: whom it knows", "", 0, "", "not this program's", "all routers, or all servers where it picks among these; counted", ""), always(counted(b.callerTargets())))
	b.add(newLine("caller", "descriptors", "", 0, "", "not this program's", "assumed.caller_connections, or one to each server where it picks among these", ""), always(b.callerConns()))
	if b.t.Readings.CallersPick {
		b.add(newLine("caller", "processor, health checks", "core", 0, "", inFleet, "as a router's: what picks among servers probes them", ""), always(probes))
	}

	for _, f := range []string{"processor, core", "memory, MB", "bytes, KB/s"} {
		name, unit, _ := strings.Cut(f, ", ")
		b.add(newLine("caller", name, unit, 0, "", "not this program's", "its own service's", ""), always(unmeasured))
	}
}

// announce has the lines of reports, by which callers learn of servers.
func (b *lineBuilder) announce() {
	b.add(newLine("announce", "messages", "1/s", 0, "", inReports, "five reports a second of each server, as the service hears them", ""), always(counted(b.t.Servers*1000/b.p.ReportInterval)))
	b.add(newLine("announce", "bytes", "KB/s", 0, "", inReports, "a datagram of 28 bytes of headers, 14 of words and a name of 11", ""), always(counted(b.t.Servers*1000/b.p.ReportInterval*(28+b.p.ReportSize+11)/kb)))
}
