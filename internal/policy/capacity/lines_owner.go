package capacity

import (
	"fmt"
	"math"
	"strings"
)

// owner has the lines of the owner of the fleet's duties.
func (b *lineBuilder) owner() {
	gone, other := b.t.Servers/b.t.Zones, b.t.Servers*b.smallerSideZones()/b.t.Zones
	b.add(newLine("owner", "state: open items of the keeper", "", b.p.MaxOpenItems, "duties.mostOpen", inOwner,
		"a zone that is gone asks for each of its servers; apart: the watcher takes the servers of the smaller side for gone, and asks for each",
		"requests beyond the bound are told no, moves among them"), figures{
		Rest: fixed(1), Burst: counted(60 * b.t.Assumed.BurstChanges), ZoneBack: counted(gone), Apart: counted(other)})
	b.add(newLine("owner", "messages", "1/s", 0, "", inOwner, "the status of each router, asked once a second, and its answer", ""), always(counted(2*b.routers)))
	b.add(newLine("owner", "bytes in, routers' status", "KB/s", b.t.Assumed.MachineBytes, "assumed.machine_kb_per_s", inOwner, b.either("all servers of each router, and tenants that have ever moved, taken for all", "all servers and tenants of each router"), ""), always(func(s float64) Estimate {
		return assumed(b.routers * s * b.statusSize(s) / kb)
	}))

	for _, f := range []string{"processor, core", "memory, MB"} {
		name, unit, _ := strings.Cut(f, ", ")
		b.add(newLine("owner", name, unit, 0, "", inOwner, "it reads the status of each router once a second", ""), always(unmeasured))
	}
	b.add(newLine("owner", "descriptors: connections", "", 0, "", inOwner, "one for each status that is asked for, and one to the group", ""), always(counted(b.routers)))
}

// tool has the lines of an operator's command.
func (b *lineBuilder) tool() {
	b.add(newLine("tool", "messages", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "for one command: a reading of the rules, the change, and readings until it is in force", ""), always(fixed(3)))
	b.add(newLine("tool", "descriptors", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "a connection to each member that it tries", ""), always(fixed(b.members())))
	if b.p.inParts() {
		b.add(newLine("tool", "words of a first import", "", 0, "", "cmd/silverpath, internal/controlplane/quorum", "parts of half of configstore.maxTextSize each, into a draft", ""), always(func(s float64) Estimate {
			return assumed(math.Ceil(2 * b.partsTextSize(s) / b.p.MaxTextSize))
		}))
		reading := func(more float64) figure {
			return func(s float64) Estimate {
				return assumed((b.p.parts()*b.p.PartMessageSize + b.followerCount*more*s*b.p.ProcessReadMessageSize) / kb)
			}
		}
		b.add(newLine("tool", "bytes of one reading of the rules", "KB", b.p.MaxCallBody/kb, "msgpackrpc.LongestWord", "cmd/silverpath, internal/controlplane/quorum",
			"each part's name, version and digest, and each process that is registered, with what was heard of it; small documents and the latest texts of theirs that are over, up to 128 KB of each, are not reckoned",
			"rules put, diff, who and history get no answer: no document can be changed by command"), figures{Rest: reading(1), ZoneBack: reading(1 + 1/b.t.Zones)})
	} else {
		b.add(newLine("tool", "bytes of one reading of the rules", "KB", b.p.MaxCallBody/kb, "msgpackrpc.LongestWord", "cmd/silverpath, internal/controlplane/quorum",
			fmt.Sprintf("the map in force and %.0f before it; rules put, diff, who and history all read them", b.p.MaxHistory),
			"rules put, diff, who and history get no answer: no document can be changed by command"), always(func(s float64) Estimate {
			return assumed((1 + b.p.MaxHistory) * b.mapMessageSize(s) / kb)
		}))
	}
}
