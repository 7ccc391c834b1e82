package capacity

import (
	"slices"
	"strings"
)

// commitsBeforeParts lists the commits without document parts that results were measured on.
var commitsBeforeParts = []string{"d8bae39"}

// changedSeries lists series, by the prefix of their names, whose results from commitsBeforeParts do not apply to the current program, each
// with the change that is the reason.
var changedSeries = []struct{ prefix, reason string }{
	{"router.cpu.servers", "servers are not sorted on each answer to a health check"},
	{"router.allocations.", "as above, and a map is read only if it changed"},
	{"router.resident.", "a map has an index and shares unchanged parts with the previous map"},
	{"router.cpu.tenants", "a file is read only if it changed"},
	{"router.ready.tenants", "the state derived from a map is kept per part"},
	{"router.parse.", "a map is indexed when it is read, and only changed parts are read from a group"},
	{"router.follows.", "only parts that two maps do not share are compared"},
	{"router.route", "a tenant and the servers of its cell are found by an index"},
	{"router.find.", "a server is found by an index"},
	{"router.round.", "health is evaluated at the end of a round, not on each answer"},
	{"router.states.", "as above"},
	{"router.cpu.followers", "the connection to the group is kept open"},
	{"router.opened.followers", "as above"},
	{"leader.wholes.", "computed from an index when a map arrives, not every second"},
	{"leader.targets.", "as above"},
	{"leader.cpu.", "connections are kept open, waiting reads share one confirmation, and only changed parts are sent"},
	{"leader.opened.", "connections are kept open"},
	{"leader.bytes_", "only changed parts are sent"},
	{"leader.resident.", "each process has a connection that is kept open"},
	{"leader.refused.", "the limit of processes is four times as high"},
	{"leader.force_", "connections are kept open, and only changed parts are sent"},
	{"leader.syncs.", "reports that arrive together share one log entry"},
	{"member.cpu.", "as above"},
	{"member.bytes_", "as above"},
	{"member.resident.", "as above, and the history has no texts of parts"},
	{"member.snapshot", "it has each part once, and no texts of superseded versions"},
	{"tool.", "a map is split into parts"},
}

// truncatedSeries lists series whose results from commitsBeforeParts apply only up to a size. Above it, routers of those commits sent fewer
// health checks than configured: they sorted all servers on each answer to a health check and fell behind.
var truncatedSeries = []struct {
	name    string
	maxSize float64
}{
	{"router.bytes_in.servers", 240}, {"router.bytes_out.servers", 240}, {"router.opened.servers", 240}, {"router.messages.servers", 240},
}

// applicableTo returns the results that apply to a program with the given limits, and the number of series left out.
func (r Results) applicableTo(limits ProgramLimits) (Results, int) {
	if !limits.hasParts() || !slices.Contains(commitsBeforeParts, r.Program) {
		return r, 0
	}
	all := r.Series
	r.Series = slices.DeleteFunc(slices.Clone(all), func(s Series) bool {
		return slices.ContainsFunc(changedSeries, func(x struct{ prefix, reason string }) bool { return strings.HasPrefix(s.Name, x.prefix) })
	})
	for i, s := range r.Series {
		for _, x := range truncatedSeries {
			if s.Name == x.name {
				s.Points = slices.DeleteFunc(slices.Clone(s.Points), func(p Point) bool { return p.Size > x.maxSize })
				s.Fit, _ = FitPoints(s.Points, 1) // nil if too few sizes are left
				r.Series[i] = s
			}
		}
	}
	return r, len(all) - len(r.Series)
}
