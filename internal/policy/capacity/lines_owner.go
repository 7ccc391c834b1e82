package capacity

import (
	"fmt"
	"math"
	"strings"
)

// addOwnerLines adds the lines of the process that owns the leased controllers (duties) of the fleet.
func (b *lineBuilder) addOwnerLines() {
	zoneServers, minorityServers := b.target.Servers/b.target.Zones, b.target.Servers*b.minorityZones()/b.target.Zones
	b.add(newLine("owner", "state: open items of the keeper", "", b.limits.MaxOpenItems, "duties.mostOpen", pkgsOwner,
		"a zone that is gone asks for each of its servers; apart: the watcher takes the servers of the smaller side for gone, and asks for each",
		"requests beyond the bound are told no, moves among them"), conditionFuncs{
		Rest: unscaled(1), Burst: scaled(60 * b.target.Assumed.BurstChanges), ZoneRecovering: scaled(zoneServers), Partitioned: scaled(minorityServers)})
	b.add(newLine("owner", "messages", "1/s", 0, "", pkgsOwner, "the status of each router, asked once a second, and its answer", ""), inAllConditions(scaled(2*b.routers)))
	b.add(newLine("owner", "bytes in, routers' status", "KB/s", b.target.Assumed.MachineBandwidth, "assumed.machine_kb_per_s", pkgsOwner, b.byPartsMode("all servers of each router, and tenants that have ever moved, taken for all", "all servers and tenants of each router"), ""), inAllConditions(func(s float64) Estimate {
		return assumed(b.routers * s * b.statusSize(s) / kb)
	}))

	for _, f := range []string{"processor, core", "memory, MB"} {
		name, unit, _ := strings.Cut(f, ", ")
		b.add(newLine("owner", name, unit, 0, "", pkgsOwner, "it reads the status of each router once a second", ""), inAllConditions(unmeasured))
	}
	b.add(newLine("owner", "descriptors: connections", "", 0, "", pkgsOwner, "one for each status that is asked for, and one to the group", ""), inAllConditions(scaled(b.routers)))
}

// addToolLines adds the lines of an operator's command.
func (b *lineBuilder) addToolLines() {
	b.add(newLine("tool", "messages", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "for one command: a reading of the rules, the change, and readings until it is in force", ""), inAllConditions(unscaled(3)))
	b.add(newLine("tool", "descriptors", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "a connection to each member that it tries", ""), inAllConditions(unscaled(b.members())))
	if b.limits.hasParts() {
		b.add(newLine("tool", "words of a first import", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "parts of half of configstore.maxTextSize each, into a draft", ""), inAllConditions(func(s float64) Estimate {
			return assumed(math.Ceil(2 * b.partsTextSize(s) / b.limits.MaxTextSize))
		}))
		summarySize := func(processFactor float64) estimateFunc {
			return func(s float64) Estimate {
				return assumed((b.limits.partCount()*b.limits.PartMessageSize + b.followerCount*processFactor*s*b.limits.ProcessReadMessageSize) / kb)
			}
		}
		b.add(newLine("tool", "bytes of one reading of the rules", "KB", b.limits.MaxCallBody/kb, "msgpackrpc.LongestWord", "cmd/silverpath, internal/controlplane/quorum",
			"each part's name, version and digest, and each process that is registered, with what was heard of it; small documents and the latest texts of theirs that are over, up to 128 KB of each, are not reckoned",
			"rules put, diff, who and history get no answer: no document can be changed by command"), conditionFuncs{Rest: summarySize(1), ZoneRecovering: summarySize(1 + 1/b.target.Zones)})
	} else {
		b.add(newLine("tool", "bytes of one reading of the rules", "KB", b.limits.MaxCallBody/kb, "msgpackrpc.LongestWord", "cmd/silverpath, internal/controlplane/quorum",
			fmt.Sprintf("the map in force and %.0f before it; rules put, diff, who and history all read them", b.limits.MaxHistory),
			"rules put, diff, who and history get no answer: no document can be changed by command"), inAllConditions(func(s float64) Estimate {
			return assumed((1 + b.limits.MaxHistory) * b.mapMessageSize(s) / kb)
		}))
	}
}
