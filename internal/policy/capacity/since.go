package capacity

import (
	"slices"
	"strings"
)

// commitsBeforeParts are the programs, by commit, that figures were measured on before documents went in parts.
var commitsBeforeParts = []string{"d8bae39"}

// changedSeries is what the program does otherwise than these did, by how its series begin, and why. What was measured of it says nothing of the program as it is.
var changedSeries = []struct{ prefix, reason string }{
	{"router.cpu.servers", "servers are no longer sorted at each answer to a health check"},
	{"router.allocations.", "as above, and a map is read where it has changed"},
	{"router.resident.", "a map has an index, and its parts are shared with the one before"},
	{"router.cpu.tenants", "a file is read where it has changed"},
	{"router.ready.tenants", "what is known of a map is kept part by part"},
	{"router.parse.", "a map is indexed as it is read, and from a group only changed parts are read"},
	{"router.follows.", "only what two maps do not share is compared"},
	{"router.route", "a tenant and its cell's servers are found by an index"},
	{"router.find.", "a server is found by an index"},
	{"router.round.", "health is looked through at the end of a round, not at each answer"},
	{"router.states.", "as above"},
	{"router.cpu.followers", "a connection to the group stays"},
	{"router.opened.followers", "as above"},
	{"leader.wholes.", "worked out as a map comes, from an index, not each second"},
	{"leader.targets.", "as above"},
	{"leader.cpu.", "connections stay, all that wait share one confirming, and parts are told of that changed"},
	{"leader.opened.", "connections stay"},
	{"leader.bytes_", "parts are told of that changed"},
	{"leader.resident.", "each process has a connection that stays"},
	{"leader.refused.", "there may be four times as many processes"},
	{"leader.force_", "connections stay, and parts are told of that changed"},
	{"leader.syncs.", "what is said at one time is one entry"},
	{"member.cpu.", "as above"},
	{"member.bytes_", "as above"},
	{"member.resident.", "as above, and history has no texts of parts"},
	{"member.snapshot", "it has each part once, and no texts of what is over"},
	{"tool.", "a map goes in parts"},
}

// truncatedSeries are series that say nothing of larger sizes: there a router of before came late with its health checks, as it sorted all servers
// at each answer, so that it sent fewer than it was set to.
var truncatedSeries = []struct {
	name    string
	maxSize float64
}{
	{"router.bytes_in.servers", 240}, {"router.bytes_out.servers", 240}, {"router.opened.servers", 240}, {"router.messages.servers", 240},
}

// applicableTo are the results as far as they say something of a program, and how many series do not.
func (r Results) applicableTo(p ProgramLimits) (Results, int) {
	if !p.hasParts() || !slices.Contains(commitsBeforeParts, r.Program) {
		return r, 0
	}
	all := r.Series
	r.Series = slices.DeleteFunc(slices.Clone(all), func(s Series) bool {
		return slices.ContainsFunc(changedSeries, func(x struct{ prefix, reason string }) bool { return strings.HasPrefix(s.Name, x.prefix) })
	})
	for i, s := range r.Series {
		for _, x := range truncatedSeries {
			if s.Name == x.name {
				s.Points = slices.DeleteFunc(slices.Clone(s.Points), func(p Point) bool { return p.At > x.maxSize })
				s.Fit, _ = Draw(s.Points, 1) // none of too few sizes
				r.Series[i] = s
			}
		}
	}
	return r, len(all) - len(r.Series)
}
